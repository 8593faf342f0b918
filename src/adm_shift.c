#include "adm_int.h"

/*
 * Work shifted between zones. Load: a zone that has lost its targets or is
 * saturated. Harm: the work of a lost zone takes the next one down, then the
 * third; or it swings to and fro. Guards, each enough by itself against one
 * cause: the sender sends no more than its part of the room last heard, less
 * as that grows old; the receiver runs shifted work only from what its own
 * doesn't need, never queues it, and refuses at once; a request is shifted
 * once at most.
 */

/* A fifth of the slots is kept for the zone's own next burst. */
#define ADM_RESERVE_PARTS 5

/* Room is added up at most that often. */
#define ADM_INBOUND_REFRESH (50 * ADM_MS)

/*
 * Room is told about twice a second. It is believed in full for a second, so
 * that one lost message changes nothing, then less and less; after 5 s the
 * zone may be cut off or gone, and unknown room is none.
 */
#define ADM_REPORT_FRESH ADM_SEC
#define ADM_REPORT_STALE (5 * ADM_SEC)

/*
 * Saturated: a wait of half the longest allowed, for 100 ms, so that a burst
 * which the queue can take stays at home. No more: a tenth of it for a second.
 */
#define ADM_SATURATED_WAIT_PART 2
#define ADM_RECOVERED_WAIT_PART 10
#define ADM_SATURATED_AFTER (100 * ADM_MS)
#define ADM_RECOVERED_AFTER ADM_SEC

/*
 * A refusal takes an eighth off what we may have in a zone, and nothing is sent
 * there for a mean service time, at least 50 ms: a zone near its limit is full
 * at one moment and not at the next, by the square root of its slots busy.
 */
#define ADM_REFUSAL_CUT_PARTS 8
#define ADM_REFUSAL_PAUSE (50 * ADM_MS)

/*
 * The most we had in a zone is taken over that long: a little less than the
 * time between two tellings, as several of its VMs tell in each.
 */
#define ADM_PEAK_WINDOW (400 * ADM_MS)

static int adm_reduce_credit(int n);
static int adm_zone_credit_left(const struct adm_zone_credit *w, int64_t now);
static int adm_sum_free_slots(const struct adm *a, const struct adm_pool *p,
			      int64_t now, int *slots);

/* Notes how long requests wait, and turns shifting on or off with it. */
void adm_shift_record_wait(struct adm_pool *p, int64_t now, int64_t wait)
{
	int64_t edge =
		p->spec.queue_us / (p->saturated ? ADM_RECOVERED_WAIT_PART
						 : ADM_SATURATED_WAIT_PART);
	bool turn = p->saturated ? wait < edge : wait >= edge;

	if (!turn) {
		p->transition_since = 0;
		return;
	}
	if (!p->transition_since)
		p->transition_since = now;
	if (now - p->transition_since <
	    (p->saturated ? ADM_RECOVERED_AFTER : ADM_SATURATED_AFTER))
		return;
	p->saturated = !p->saturated;
	p->transition_since = 0;
}

/* How many more we may send to a zone now. */
static int adm_zone_credit_left(const struct adm_zone_credit *w, int64_t now)
{
	int64_t age = now - w->reported_at;
	int fresh = w->additional;

	if (!w->has_report || age >= ADM_REPORT_STALE || now < w->paused_until)
		return 0;
	if (age > ADM_REPORT_FRESH)
		fresh = (int)(fresh * (ADM_REPORT_STALE - age) /
			      (ADM_REPORT_STALE - ADM_REPORT_FRESH));
	return w->sustained + fresh - w->in_flight;
}

/* The zone with most room left for us, or -1. */
int adm_shift_pick_zone(struct adm *a, struct adm_pool *p,
			const struct adm_req *r, int64_t now)
{
	int best = -1;
	int most = 0;
	int z;

	if (r->no_shift)
		return -1;
	for (z = 0; z < ADM_ZONES_MAX; z++) {
		int left = adm_zone_credit_left(&p->zones[z], now);

		if (z == a->conf.zone || left <= most)
			continue;
		most = left;
		best = z;
	}
	return best;
}

/* Sends a request to another zone, for good. */
struct adm_verdict adm_shift(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int zone)
{
	struct adm_zone_credit *w = &p->zones[zone];
	r->state = ADM_REQ_SHIFTED;
	r->no_shift = true;
	r->zone = zone;
	w->in_flight++;
	w->peak = MAX(w->peak, w->in_flight);
	adm_detach_flow(p, r);
	a->stats.shifted++;
	a->stats.in_shift++;
	return (struct adm_verdict){.kind = ADM_SHIFT,
				    .ticket = adm_req_ticket(r),
				    .zone = zone,
				    .user = r->user};
}

static int adm_reduce_credit(int n)
{
	return n - (n + ADM_REFUSAL_CUT_PARTS - 1) / ADM_REFUSAL_CUT_PARTS;
}

/* A shifted request has ended; after a refusal we hold back. */
void adm_shift_done(struct adm *a, struct adm_pool *p, struct adm_req *r,
		    enum adm_outcome outcome, int64_t now)
{
	struct adm_zone_credit *w = &p->zones[r->zone];

	w->in_flight--;
	a->stats.in_shift--;
	if (outcome != ADM_DONE_BUSY && outcome != ADM_DONE_UNSENT)
		return;
	w->sustained = adm_reduce_credit(w->sustained);
	w->additional = adm_reduce_credit(w->additional);
	w->paused_until = now + MAX(adm_mean_service(p), ADM_REFUSAL_PAUSE);
}

/*
 * Takes in what another zone told about its room, as old as it is by now. All
 * entry VMs outside that zone may send at once, so each takes its part; what
 * doesn't divide is drawn by lot, else a small room would never be used. While
 * there is room at all, the most that we had there of late may run there again:
 * what just runs at the moment of telling is less by chance, and we would lose
 * places by each telling. Where there is none, places aren't filled again.
 */
void adm_zone_room(struct adm *a, int64_t now, uint32_t pool, int zone,
		   struct adm_room room, int64_t age_us)
{
	struct adm_pool *p = adm_pool_find(a, pool);
	uint32_t share =
		(uint32_t)MAX(a->conf.entries + a->conf.entries_away, 1);
	struct adm_zone_credit *w;

	if (!p || zone < 0 || zone >= ADM_ZONES_MAX)
		return;
	w = &p->zones[zone];
	if (w->has_report && now - age_us < w->reported_at)
		return;
	w->has_report = true;
	w->reported_at = now - age_us;
	if (!room.free) {
		w->sustained = w->in_flight;
		w->peak = w->in_flight;
	} else if (now - w->peak_since >= ADM_PEAK_WINDOW) {
		w->sustained = w->peak;
		w->peak = w->in_flight;
		w->peak_since = now;
	}
	w->additional = (int)(room.free / share);
	if (adm_random(a, share) < room.free % share)
		w->additional++;
}

static int adm_sum_free_slots(const struct adm *a, const struct adm_pool *p,
			      int64_t now, int *slots)
{
	double free_slots = 0;
	guint i;

	*slots = 0;
	for (i = 0; i < p->targets->len; i++) {
		const struct adm_target *t = p->targets->pdata[i];
		double room =
			p->spec.slots - t->in_flight - adm_others_busy(t, now);

		if (t->counted_as < 0 || t->health != ADM_HEALTHY)
			continue;
		*slots += p->spec.slots;
		free_slots += MAX(room, 0);
	}
	return (int)free_slots - *slots / ADM_RESERVE_PARTS;
}

/*
 * The room of our zone for a pool, to tell the others. It is the whole zone's
 * as this VM sees it, not this VM's part: the lowest that any VM of the zone
 * tells is to be believed, never the sum.
 */
struct adm_room adm_room(struct adm *a, int64_t now, uint32_t pool)
{
	struct adm_pool *p = adm_pool_find(a, pool);
	int slots = 0;
	int room;

	if (!p)
		return (struct adm_room){0};
	adm_recheck_due(p, now);
	room = adm_sum_free_slots(a, p, now, &slots);
	if (p->saturated || adm_queue_len(p))
		room = 0;
	return (struct adm_room){.slots = (uint32_t)slots,
				 .free = (uint32_t)MAX(room, 0)};
}

/* Whether a request of another zone may run here; takes its slot of the room. */
bool adm_accept_shifted(struct adm *a, struct adm_pool *p, int64_t now)
{
	int slots;

	if (p->saturated || adm_queue_len(p))
		return false;
	if (now - p->inbound_refreshed_at >= ADM_INBOUND_REFRESH ||
	    !p->inbound_refreshed_at) {
		p->inbound_left = adm_sum_free_slots(a, p, now, &slots);
		/*
		 * Others of our zone take in such work too. Twice the even
		 * part, as within one such time chance brings one VM more.
		 */
		if (p->inbound_left > 0)
			p->inbound_left = MAX(2 * p->inbound_left /
						      MAX(a->conf.entries, 1),
					      1);
		p->inbound_refreshed_at = now;
	}
	return p->inbound_left-- > 0;
}
