#include "adm_int.h"

/*
 * What becomes of a request that is offered: it runs, waits, goes to another
 * zone or is refused, and a refusal is final and given at once. Nobody is kept
 * waiting for an answer that is known already.
 */

static struct adm_verdict adm_shift_or_refuse(struct adm *a, struct adm_pool *p,
					      struct adm_req *r, int64_t now);
static struct adm_verdict adm_enqueue_or_refuse(struct adm *a,
						struct adm_pool *p,
						struct adm_req *r, int64_t now,
						bool again);
static struct adm_verdict adm_refuse_expired(struct adm *a, struct adm_pool *p,
					     struct adm_req *r, int64_t now);
static struct adm_req *adm_next_startable(struct adm *a, struct adm_pool *p,
					  int64_t now, struct adm_target **t);
static size_t adm_pool_dispatch(struct adm *a, struct adm_pool *p, int64_t now,
				struct adm_verdict *out, size_t max);

/* When to come back to a pool that has no target at all. */
#define ADM_NO_TARGETS_RETRY_AFTER ADM_SEC

/* While requests wait, conditions that come by time alone are seen by then. */
#define ADM_POLL_INTERVAL_MAX (20 * ADM_MS)

/* Lets go of a request's place among its caller's. */
void adm_detach_flow(struct adm_pool *p, struct adm_req *r)
{
	struct adm_flow *f = r->flow;

	r->flow = NULL;
	if (f)
		adm_flow_free_if_idle(p, f);
}

static struct adm_verdict adm_shift_or_refuse(struct adm *a, struct adm_pool *p,
					      struct adm_req *r, int64_t now)
{
	int zone = adm_shift_pick_zone(a, p, r, now);

	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	return adm_refuse(a, p, r, ADM_NO_TARGETS, ADM_NO_TARGETS_RETRY_AFTER);
}

/*
 * No slot is free now. Load: full saturation, where far more comes than can
 * run. Harm: requests that wait and then miss their deadline, while their
 * callers could have gone elsewhere. Limit: the measured wait in fair turns
 * against the pool's longest wait, and against the deadline less the time that
 * nine in ten of its group need.
 */
static struct adm_verdict adm_enqueue_or_refuse(struct adm *a,
						struct adm_pool *p,
						struct adm_req *r, int64_t now,
						bool again)
{
	int64_t wait = adm_queue_estimate_wait(a, p, r->flow);
	int64_t by_deadline = r->deadline -
			      (int64_t)adm_est_for(p, r->size_group)->high -
			      now;
	int64_t by_queue = r->offered_at + adm_max_wait(p, now) - now;
	bool late = wait > MIN(by_queue, by_deadline);
	int zone = -1;

	adm_shift_record_wait(p, now, wait);
	if (p->saturated || late)
		zone = adm_shift_pick_zone(a, p, r, now);
	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	if (late)
		return adm_refuse(a, p, r,
				  by_deadline < by_queue ? ADM_DEADLINE_LOAD
							 : ADM_QUEUE_WAIT,
				  wait);
	if (adm_queue_full(a, p, r->flow))
		return adm_refuse(a, p, r, ADM_QUEUE_FULL, wait);
	if (!adm_queue_len(p))
		g_ptr_array_add(a->pools_waiting, p);
	adm_queue_add(a, p, r, again);
	a->stats.queued++;
	return (struct adm_verdict){.kind = ADM_QUEUED,
				    .ticket = adm_req_ticket(r),
				    .user = r->user};
}

/* Decides about a request; again: it had a slot before and was sent back. */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool again)
{
	struct adm_target *t = NULL;

	adm_recheck_due(p, now);
	if (again && now >= adm_latest_start(p, r))
		return adm_refuse_expired(a, p, r, now);
	if (adm_deadline_too_short(p, r, now))
		return adm_refuse(a, p, r, ADM_DEADLINE_SHORT, 0);
	if (!adm_usable_targets(p))
		return adm_shift_or_refuse(a, p, r, now);
	if (r->from_other_zone && !again && !adm_accept_shifted(a, p, now))
		return adm_refuse(a, p, r, ADM_ZONE_FULL, adm_mean_service(p));
	r->flow = adm_flow_get(p, r->caller, r->class);
	if (!adm_queue_len(p))
		t = adm_pick_target(a, p, r, now, &r->probe);
	if (t) {
		adm_shift_record_wait(p, now, 0);
		return adm_start(a, now, r, t);
	}
	if (r->from_other_zone)
		return adm_refuse(a, p, r, ADM_ZONE_FULL, adm_mean_service(p));
	return adm_enqueue_or_refuse(a, p, r, now, again);
}

static struct adm_verdict adm_refuse_expired(struct adm *a, struct adm_pool *p,
					     struct adm_req *r, int64_t now)
{
	bool by_queue = now >= r->offered_at + p->spec.queue_us;

	return adm_refuse(
		a, p, r, by_queue ? ADM_QUEUE_WAIT : ADM_DEADLINE_LOAD,
		adm_queue_len(p) * adm_mean_service(p) / MAX(p->in_flight, 1));
}

/*
 * The waiting request to start, and where. If the one whose turn it is finds
 * no target that suits it, the first of the highest class may go before it.
 */
static struct adm_req *adm_next_startable(struct adm *a, struct adm_pool *p,
					  int64_t now, struct adm_target **t)
{
	struct adm_req *r = adm_queue_peek(p);
	struct adm_req *other;

	*t = adm_pick_target(a, p, r, now, &r->probe);
	if (*t)
		return r;
	other = adm_queue_peek_highest(p);
	if (other == r)
		return NULL;
	*t = adm_pick_target(a, p, other, now, &other->probe);
	return *t ? other : NULL;
}

/* Starts and ends waiting requests of a pool, as far as out has place. */
static size_t adm_pool_dispatch(struct adm *a, struct adm_pool *p, int64_t now,
				struct adm_verdict *out, size_t max)
{
	struct adm_target *t;
	struct adm_req *r;
	size_t n = 0;

	adm_recheck_due(p, now);
	while (n < max && (r = adm_queue_expired(p, now))) {
		adm_queue_remove(a, p, r);
		out[n++] = adm_refuse_expired(a, p, r, now);
	}
	while (n < max && !adm_usable_targets(p) && (r = adm_queue_peek(p))) {
		adm_queue_remove(a, p, r);
		out[n++] = adm_shift_or_refuse(a, p, r, now);
	}
	while (n < max && adm_queue_len(p)) {
		r = adm_next_startable(a, p, now, &t);
		if (!r)
			break;
		adm_queue_count_bypass(p, r->class);
		adm_queue_remove(a, p, r);
		a->stats.wait_us += (uint64_t)(now - r->offered_at);
		out[n++] = adm_start(a, now, r, t);
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
	while (i < a->pools_waiting->len) {
		struct adm_pool *p = a->pools_waiting->pdata[i];

		n += adm_pool_dispatch(a, p, now, out + n, max - n);
		if (!adm_queue_len(p)) {
			g_ptr_array_remove_index_fast(a->pools_waiting, i);
			continue;
		}
		*next = MIN(*next, p->expiry.nodes[0]->key);
		*next = MIN(*next, now + ADM_POLL_INTERVAL_MAX);
		if (p->recheck.len)
			*next = MIN(*next, p->recheck.nodes[0]->key);
		i++;
	}
	if (n == max)
		*next = now;
	return n;
}
