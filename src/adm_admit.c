#include "adm_int.h"

/*
 * What becomes of a request that is offered: it runs, waits, goes to another
 * zone or is refused, and a refusal is final and given at once. Nobody is kept
 * waiting for an answer that is known already.
 */

static struct adm_verdict adm_no_targets(struct adm *a, struct adm_pool *p,
					 struct adm_req *r, int64_t now);
static struct adm_verdict adm_wait_or_leave(struct adm *a, struct adm_pool *p,
					    struct adm_req *r, int64_t now,
					    bool again);
static struct adm_verdict adm_expire(struct adm *a, struct adm_pool *p,
				     struct adm_req *r, int64_t now);
static struct adm_req *adm_startable(struct adm *a, struct adm_pool *p,
				     int64_t now, struct adm_target **t);
static size_t adm_pump(struct adm *a, struct adm_pool *p, int64_t now,
		       struct adm_verdict *out, size_t max);

/* When to come back to a pool that has no target at all. */
#define ADM_NO_TARGETS_LATER ADM_SEC

/* While requests wait, conditions that come by time alone are seen by then. */
#define ADM_POLL_LATEST (20 * ADM_MS)

/* Lets go of a request's place among its caller's. */
void adm_leave_flow(struct adm_pool *p, struct adm_req *r)
{
	struct adm_flow *f = r->flow;

	r->flow = NULL;
	if (f)
		adm_flow_release(p, f);
}

static struct adm_verdict adm_no_targets(struct adm *a, struct adm_pool *p,
					 struct adm_req *r, int64_t now)
{
	int zone = adm_shift_zone(a, p, r, now);

	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	return adm_give_up(a, p, r, ADM_NO_TARGETS, ADM_NO_TARGETS_LATER);
}

/*
 * No slot is free now. Load: full saturation, where far more comes than can
 * run. Harm: requests that wait and then miss their deadline, while their
 * callers could have gone elsewhere. Limit: the measured wait in fair turns
 * against the pool's longest wait, and against the deadline less the time that
 * nine in ten of its group need.
 */
static struct adm_verdict adm_wait_or_leave(struct adm *a, struct adm_pool *p,
					    struct adm_req *r, int64_t now,
					    bool again)
{
	int64_t wait = adm_queue_wait(a, p, r->flow);
	int64_t by_deadline =
		r->deadline - (int64_t)adm_est_for(p, r->size)->high - now;
	int64_t by_queue = r->since + adm_longest_wait(p, now) - now;
	bool late = wait > MIN(by_queue, by_deadline);
	int zone = -1;

	adm_shift_note(p, now, wait);
	if (p->hot || late)
		zone = adm_shift_zone(a, p, r, now);
	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	if (late)
		return adm_give_up(a, p, r,
				   by_deadline < by_queue ? ADM_DEADLINE_LOAD
							  : ADM_QUEUE_WAIT,
				   wait);
	if (adm_queue_full(a, p, r->flow))
		return adm_give_up(a, p, r, ADM_QUEUE_FULL, wait);
	if (!adm_queue_len(p))
		g_ptr_array_add(a->waiting, p);
	adm_queue_put(a, p, r, again);
	a->stats.queued++;
	return (struct adm_verdict){.kind = ADM_QUEUED,
				    .ticket = adm_ticket_of(r),
				    .user = r->user};
}

/* Decides about a request; again: it had a slot before and was sent back. */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool again)
{
	struct adm_target *t = NULL;

	adm_wake(p, now);
	if (again && now >= adm_latest_start(p, r))
		return adm_expire(a, p, r, now);
	if (adm_too_short(p, r, now))
		return adm_give_up(a, p, r, ADM_DEADLINE_SHORT, 0);
	if (!adm_targets_ok(p))
		return adm_no_targets(a, p, r, now);
	if (r->from_away && !again && !adm_room_take(a, p, now))
		return adm_give_up(a, p, r, ADM_ZONE_FULL, adm_mean(p));
	r->flow = adm_flow_of(p, r->caller, r->class);
	if (!adm_queue_len(p))
		t = adm_place(a, p, r, now, &r->probe);
	if (t) {
		adm_shift_note(p, now, 0);
		return adm_run(a, now, r, t);
	}
	if (r->from_away)
		return adm_give_up(a, p, r, ADM_ZONE_FULL, adm_mean(p));
	return adm_wait_or_leave(a, p, r, now, again);
}

static struct adm_verdict adm_expire(struct adm *a, struct adm_pool *p,
				     struct adm_req *r, int64_t now)
{
	bool by_queue = now >= r->since + p->spec.queue_us;

	return adm_give_up(
		a, p, r, by_queue ? ADM_QUEUE_WAIT : ADM_DEADLINE_LOAD,
		adm_queue_len(p) * adm_mean(p) / MAX(p->in_flight, 1));
}

/*
 * The waiting request to start, and where. If the one whose turn it is finds
 * no target that suits it, the first of the highest class may go before it.
 */
static struct adm_req *adm_startable(struct adm *a, struct adm_pool *p,
				     int64_t now, struct adm_target **t)
{
	struct adm_req *r = adm_queue_next(p);
	struct adm_req *other;

	*t = adm_place(a, p, r, now, &r->probe);
	if (*t)
		return r;
	other = adm_queue_highest(p);
	if (other == r)
		return NULL;
	*t = adm_place(a, p, other, now, &other->probe);
	return *t ? other : NULL;
}

/* Starts and ends waiting requests of a pool, as far as out has place. */
static size_t adm_pump(struct adm *a, struct adm_pool *p, int64_t now,
		       struct adm_verdict *out, size_t max)
{
	struct adm_target *t;
	struct adm_req *r;
	size_t n = 0;

	adm_wake(p, now);
	while (n < max && (r = adm_queue_expired(p, now))) {
		adm_queue_drop(a, p, r);
		out[n++] = adm_expire(a, p, r, now);
	}
	while (n < max && !adm_targets_ok(p) && (r = adm_queue_next(p))) {
		adm_queue_drop(a, p, r);
		out[n++] = adm_no_targets(a, p, r, now);
	}
	while (n < max && adm_queue_len(p)) {
		r = adm_startable(a, p, now, &t);
		if (!r)
			break;
		adm_queue_passed(p, r->class);
		adm_queue_drop(a, p, r);
		a->stats.wait_us += (uint64_t)(now - r->since);
		out[n++] = adm_run(a, now, r, t);
	}
	return n;
}

/*
 * Gives what has become of waiting requests: to be run, to be shifted or
 * refused; a refused one is named by its ticket, which is over then. Call it
 * after adm_done, adm_cancel and adm_target_set, and at the latest at *next
 * (ADM_NEVER: nothing waits); at once again where out was filled.
 */
size_t adm_poll(struct adm *a, int64_t now, struct adm_verdict *out, size_t max,
		int64_t *next)
{
	size_t n = 0;
	guint i = 0;

	*next = ADM_NEVER;
	while (i < a->waiting->len) {
		struct adm_pool *p = a->waiting->pdata[i];

		n += adm_pump(a, p, now, out + n, max - n);
		if (!adm_queue_len(p)) {
			g_ptr_array_remove_index_fast(a->waiting, i);
			continue;
		}
		*next = MIN(*next, p->expiry.v[0]->key);
		*next = MIN(*next, now + ADM_POLL_LATEST);
		if (p->wake.n)
			*next = MIN(*next, p->wake.v[0]->key);
		i++;
	}
	if (n == max)
		*next = now;
	return n;
}
