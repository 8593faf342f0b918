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
#define ADM_ROOM_KEPT 5

/* Room is added up at most that often. */
#define ADM_ROOM_EVERY (50 * ADM_MS)

/*
 * Room is told about twice a second. It is believed in full for a second, so
 * that one lost message changes nothing, then less and less; after 5 s the
 * zone may be cut off or gone, and unknown room is none.
 */
#define ADM_ROOM_FRESH ADM_SEC
#define ADM_ROOM_STALE (5 * ADM_SEC)

/*
 * Saturated: a wait of half the longest allowed, for 100 ms, so that a burst
 * which the queue can take stays at home. No more: a tenth of it for a second.
 */
#define ADM_HOT_PART 2
#define ADM_COOL_PART 10
#define ADM_HOT_AFTER (100 * ADM_MS)
#define ADM_COOL_AFTER ADM_SEC

/*
 * A refusal takes an eighth off what we may have in a zone, and nothing is sent
 * there for a mean service time, at least 50 ms: a zone near its limit is full
 * at one moment and not at the next, by the square root of its slots busy.
 */
#define ADM_REFUSED_PART 8
#define ADM_REFUSED_PAUSE (50 * ADM_MS)

/*
 * The most we had in a zone is taken over that long: a little less than the
 * time between two tellings, as several of its VMs tell in each.
 */
#define ADM_PEAK_OVER (400 * ADM_MS)

static int adm_less(int n);
static int adm_away_left(const struct adm_away *w, int64_t now);
static int adm_room_sum(const struct adm *a, const struct adm_pool *p,
			int64_t now, int *slots);

/* Notes how long requests wait, and turns shifting on or off with it. */
void adm_shift_note(struct adm_pool *p, int64_t now, int64_t wait)
{
	int64_t edge =
		p->spec.queue_us / (p->hot ? ADM_COOL_PART : ADM_HOT_PART);
	bool turn = p->hot ? wait < edge : wait >= edge;

	if (!turn) {
		p->turned_at = 0;
		return;
	}
	if (!p->turned_at)
		p->turned_at = now;
	if (now - p->turned_at < (p->hot ? ADM_COOL_AFTER : ADM_HOT_AFTER))
		return;
	p->hot = !p->hot;
	p->turned_at = 0;
}

/* How many more we may send to a zone now. */
static int adm_away_left(const struct adm_away *w, int64_t now)
{
	int64_t age = now - w->heard_at;
	int fresh = w->fresh;

	if (!w->heard || age >= ADM_ROOM_STALE || now < w->not_before)
		return 0;
	if (age > ADM_ROOM_FRESH)
		fresh = (int)(fresh * (ADM_ROOM_STALE - age) /
			      (ADM_ROOM_STALE - ADM_ROOM_FRESH));
	return w->base + fresh - w->in_flight;
}

/* The zone with most room left for us, or -1. */
int adm_shift_zone(struct adm *a, struct adm_pool *p, const struct adm_req *r,
		   int64_t now)
{
	int best = -1;
	int most = 0;
	int z;

	if (r->shifted)
		return -1;
	for (z = 0; z < ADM_ZONES_MAX; z++) {
		int left = adm_away_left(&p->away[z], now);

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
	struct adm_away *w = &p->away[zone];
	r->state = ADM_REQ_SHIFTED;
	r->shifted = true;
	r->zone = zone;
	w->in_flight++;
	w->peak = MAX(w->peak, w->in_flight);
	adm_leave_flow(p, r);
	a->stats.shifted++;
	a->stats.in_shift++;
	return (struct adm_verdict){.kind = ADM_SHIFT,
				    .ticket = adm_ticket_of(r),
				    .zone = zone,
				    .user = r->user};
}

static int adm_less(int n)
{
	return n - (n + ADM_REFUSED_PART - 1) / ADM_REFUSED_PART;
}

/* A shifted request has ended; after a refusal we hold back. */
void adm_shift_done(struct adm *a, struct adm_pool *p, struct adm_req *r,
		    enum adm_outcome outcome, int64_t now)
{
	struct adm_away *w = &p->away[r->zone];

	w->in_flight--;
	a->stats.in_shift--;
	if (outcome != ADM_DONE_BUSY && outcome != ADM_DONE_UNSENT)
		return;
	w->base = adm_less(w->base);
	w->fresh = adm_less(w->fresh);
	w->not_before = now + MAX(adm_mean(p), ADM_REFUSED_PAUSE);
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
	struct adm_pool *p = adm_pool_of(a, pool);
	uint32_t share =
		(uint32_t)MAX(a->conf.entries + a->conf.entries_away, 1);
	struct adm_away *w;

	if (!p || zone < 0 || zone >= ADM_ZONES_MAX)
		return;
	w = &p->away[zone];
	if (w->heard && now - age_us < w->heard_at)
		return;
	w->heard = true;
	w->heard_at = now - age_us;
	if (!room.free) {
		w->base = w->in_flight;
		w->peak = w->in_flight;
	} else if (now - w->peak_from >= ADM_PEAK_OVER) {
		w->base = w->peak;
		w->peak = w->in_flight;
		w->peak_from = now;
	}
	w->fresh = (int)(room.free / share);
	if (adm_random(a, share) < room.free % share)
		w->fresh++;
}

static int adm_room_sum(const struct adm *a, const struct adm_pool *p,
			int64_t now, int *slots)
{
	double free_slots = 0;
	guint i;

	*slots = 0;
	for (i = 0; i < p->targets->len; i++) {
		const struct adm_target *t = p->targets->pdata[i];
		double room = p->spec.slots - t->mine - adm_others(t, now);

		if (t->counted < 0 || t->health != ADM_HEALTHY)
			continue;
		*slots += p->spec.slots;
		free_slots += MAX(room, 0);
	}
	return (int)free_slots - *slots / ADM_ROOM_KEPT;
}

/*
 * The room of our zone for a pool, to tell the others. It is the whole zone's
 * as this VM sees it, not this VM's part: the lowest that any VM of the zone
 * tells is to be believed, never the sum.
 */
struct adm_room adm_room(struct adm *a, int64_t now, uint32_t pool)
{
	struct adm_pool *p = adm_pool_of(a, pool);
	int slots = 0;
	int room;

	if (!p)
		return (struct adm_room){0};
	adm_wake(p, now);
	room = adm_room_sum(a, p, now, &slots);
	if (p->hot || adm_queue_len(p))
		room = 0;
	return (struct adm_room){.slots = (uint32_t)slots,
				 .free = (uint32_t)MAX(room, 0)};
}

/* Whether a request of another zone may run here; takes its slot of the room. */
bool adm_room_take(struct adm *a, struct adm_pool *p, int64_t now)
{
	int slots;

	if (p->hot || adm_queue_len(p))
		return false;
	if (now - p->room_at >= ADM_ROOM_EVERY || !p->room_at) {
		p->room = adm_room_sum(a, p, now, &slots);
		/*
		 * Others of our zone take in such work too. Twice the even
		 * part, as within one such time chance brings one VM more.
		 */
		if (p->room > 0)
			p->room = MAX(2 * p->room / MAX(a->conf.entries, 1), 1);
		p->room_at = now;
	}
	return p->room-- > 0;
}
