#include "adm_int.h"

/*
 * Shifting of requests between zones.
 *
 * Load: a zone has lost its targets or is saturated. Harm: its load overloads
 * the next zone, and then the third (cascading overload), or oscillates between
 * zones. Each of these limits is sufficient against one cause: a sender shifts
 * no more than its share of the capacity last reported, and less as the report
 * ages; a receiver runs shifted requests only on slots that its own requests
 * don't need, never queues them, and refuses them at once; a request is shifted
 * at most once.
 */

/* A fifth of the slots is reserved for the next burst of the own zone. */
#define ADM_RESERVE_PARTS 5

/* Shortest time between two computations of the capacity for shifted work. */
#define ADM_INBOUND_REFRESH (50 * ADM_MS)

/*
 * Zones report their spare capacity about twice a second. A report is used in
 * full for 1 s, so that the loss of one message has no effect, and then to a
 * linearly decreasing part. After 5 s the zone may be partitioned or down, and
 * unknown capacity counts as none.
 */
#define ADM_REPORT_FRESH ADM_SEC
#define ADM_REPORT_STALE (5 * ADM_SEC)

/*
 * A pool counts as saturated when requests wait for half of its longest wait or
 * more during 100 ms, so that a burst which the queue can absorb stays in its
 * zone. It has recovered when the wait is below a tenth of the longest wait
 * during 1 s. The hysteresis prevents oscillation.
 */
#define ADM_SATURATED_WAIT_PART 2
#define ADM_RECOVERED_WAIT_PART 10
#define ADM_SATURATED_AFTER (100 * ADM_MS)
#define ADM_RECOVERED_AFTER ADM_SEC

/*
 * Multiplicative decrease: a refusal reduces the credit for a zone by an eighth
 * and pauses shifting to it for the mean service time, at least 50 ms. The
 * cut is small, as a zone near its limit is full at one moment and not at the
 * next: its number of busy slots varies by about the square root of it.
 */
#define ADM_REFUSAL_CUT_PARTS 8
#define ADM_REFUSAL_PAUSE (50 * ADM_MS)

/*
 * Window for the peak of requests in flight in a zone: a little less than the
 * time between two reports, as several VMs of the zone report in each interval.
 */
#define ADM_PEAK_WINDOW (400 * ADM_MS)

static int adm_reduce_credit(int credit);
static int adm_zone_credit_left(const struct adm_zone_credit *credit,
				int64_t now);
static int adm_sum_free_slots(const struct adm *a, const struct adm_pool *p,
			      int64_t now, int *slots);

/*
 * Records the wait of a request, in us, and enables or disables shifting for
 * the pool accordingly.
 */
void adm_shift_record_wait(struct adm_pool *p, int64_t now, int64_t wait)
{
	int64_t threshold =
		p->spec.queue_us / (p->saturated ? ADM_RECOVERED_WAIT_PART
						 : ADM_SATURATED_WAIT_PART);
	bool crossed = p->saturated ? wait < threshold : wait >= threshold;

	if (!crossed) {
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

/* Returns how many more requests may be shifted to a zone now. */
static int adm_zone_credit_left(const struct adm_zone_credit *credit,
				int64_t now)
{
	int64_t age = now - credit->reported_at;
	int additional = credit->additional;

	if (!credit->has_report || age >= ADM_REPORT_STALE ||
	    now < credit->paused_until)
		return 0;
	if (age > ADM_REPORT_FRESH)
		additional = (int)(additional * (ADM_REPORT_STALE - age) /
				   (ADM_REPORT_STALE - ADM_REPORT_FRESH));
	return credit->sustained + additional - credit->in_flight;
}

/* Returns the zone with the most credit left for a request, or -1. */
int adm_shift_pick_zone(struct adm *a, struct adm_pool *p,
			const struct adm_req *r, int64_t now)
{
	int best = -1;
	int best_left = 0;
	int z;

	if (r->no_shift)
		return -1;
	for (z = 0; z < ADM_ZONES_MAX; z++) {
		int left = adm_zone_credit_left(&p->zones[z], now);

		if (z == a->conf.zone || left <= best_left)
			continue;
		best_left = left;
		best = z;
	}
	return best;
}

/* Shifts a request to another zone; it is never shifted again. */
struct adm_verdict adm_shift(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int zone)
{
	struct adm_zone_credit *credit = &p->zones[zone];

	r->state = ADM_REQ_SHIFTED;
	r->no_shift = true;
	r->zone = zone;
	credit->in_flight++;
	credit->peak = MAX(credit->peak, credit->in_flight);
	adm_detach_flow(p, r);
	a->stats.shifted++;
	a->stats.in_shift++;
	return (struct adm_verdict){.kind = ADM_SHIFT,
				    .ticket = adm_req_ticket(r),
				    .zone = zone,
				    .user = r->user};
}

/* Returns the credit that is left after a refusal. */
static int adm_reduce_credit(int credit)
{
	return credit -
	       (credit + ADM_REFUSAL_CUT_PARTS - 1) / ADM_REFUSAL_CUT_PARTS;
}

/*
 * Ends a shifted request. If the zone refused it or was not reached, its credit
 * is reduced and shifting to it is paused.
 */
void adm_shift_done(struct adm *a, struct adm_pool *p, struct adm_req *r,
		    enum adm_outcome outcome, int64_t now)
{
	struct adm_zone_credit *credit = &p->zones[r->zone];

	credit->in_flight--;
	a->stats.in_shift--;
	if (outcome != ADM_DONE_BUSY && outcome != ADM_DONE_UNSENT)
		return;
	credit->sustained = adm_reduce_credit(credit->sustained);
	credit->additional = adm_reduce_credit(credit->additional);
	credit->paused_until =
		now + MAX(adm_mean_service(p), ADM_REFUSAL_PAUSE);
}

/*
 * Applies a report of another zone's spare capacity, which is age_us old.
 * Outdated reports and unknown pools and zones are ignored.
 *
 * All entry VMs outside that zone may shift to it simultaneously, so that each
 * uses an equal share; the remainder of the division is assigned at random, as
 * otherwise a small capacity would never be used.
 *
 * If there is spare capacity, this VM may keep as many requests in flight in
 * the zone as its recent peak, in addition to its share. The number in flight
 * at the time of the report may be lower by chance, and using it would lose
 * credit with each report. Without spare capacity, requests that end aren't
 * replaced.
 */
void adm_set_zone_capacity(struct adm *a, int64_t now, uint32_t pool, int zone,
			   struct adm_spare_capacity capacity, int64_t age_us)
{
	struct adm_pool *p = adm_pool_find(a, pool);
	uint32_t senders =
		(uint32_t)MAX(a->conf.entries + a->conf.entries_elsewhere, 1);
	struct adm_zone_credit *credit;

	if (!p || zone < 0 || zone >= ADM_ZONES_MAX)
		return;
	credit = &p->zones[zone];
	if (credit->has_report && now - age_us < credit->reported_at)
		return;
	credit->has_report = true;
	credit->reported_at = now - age_us;
	if (!capacity.free) {
		credit->sustained = credit->in_flight;
		credit->peak = credit->in_flight;
	} else if (now - credit->peak_since >= ADM_PEAK_WINDOW) {
		credit->sustained = credit->peak;
		credit->peak = credit->in_flight;
		credit->peak_since = now;
	}
	credit->additional = (int)(capacity.free / senders);
	if (adm_random(a, senders) < capacity.free % senders)
		credit->additional++;
}

/*
 * Returns the free slots of a pool's healthy targets less the reserve, which
 * may be negative, and sets slots to the number of all their slots.
 */
static int adm_sum_free_slots(const struct adm *a, const struct adm_pool *p,
			      int64_t now, int *slots)
{
	double free_slots = 0;
	guint i;

	*slots = 0;
	for (i = 0; i < p->targets->len; i++) {
		const struct adm_target *t = p->targets->pdata[i];
		double unused =
			p->spec.slots - t->in_flight - adm_others_busy(t, now);

		if (t->counted_as < 0 || t->health != ADM_HEALTHY)
			continue;
		*slots += p->spec.slots;
		free_slots += MAX(unused, 0);
	}
	return (int)free_slots - *slots / ADM_RESERVE_PARTS;
}

/*
 * Returns the spare capacity of the own zone for a pool, for the report to
 * other zones; none for an unknown pool. It is this VM's estimate for the whole
 * zone and not a share of it: receivers must use the lowest report of the
 * zone's VMs, never the sum.
 */
struct adm_spare_capacity adm_spare_capacity(struct adm *a, int64_t now,
					     uint32_t pool)
{
	struct adm_pool *p = adm_pool_find(a, pool);
	int slots = 0;
	int spare;

	if (!p)
		return (struct adm_spare_capacity){0};
	adm_recheck_due(p, now);
	spare = adm_sum_free_slots(a, p, now, &slots);
	if (p->saturated || adm_queue_len(p))
		spare = 0;
	return (struct adm_spare_capacity){.slots = (uint32_t)slots,
					   .free = (uint32_t)MAX(spare, 0)};
}

/*
 * Whether a request that was shifted to this zone may run here. If so, it is
 * deducted from the capacity for shifted requests.
 */
bool adm_accept_shifted(struct adm *a, struct adm_pool *p, int64_t now)
{
	int slots;

	if (p->saturated || adm_queue_len(p))
		return false;
	if (now - p->inbound_refreshed_at >= ADM_INBOUND_REFRESH ||
	    !p->inbound_refreshed_at) {
		p->inbound_left = adm_sum_free_slots(a, p, now, &slots);
		/*
		 * The other entry VMs of the zone accept shifted requests
		 * too. This VM uses twice an equal share, as arrivals are
		 * uneven within one refresh interval.
		 */
		if (p->inbound_left > 0)
			p->inbound_left = MAX(2 * p->inbound_left /
						      MAX(a->conf.entries, 1),
					      1);
		p->inbound_refreshed_at = now;
	}
	return p->inbound_left-- > 0;
}
