#include "adm_int.h"

/*
 * The decision about a request: run it, queue it, shift it to another zone or
 * refuse it. Refusals are final and are given as soon as it is known that the
 * request can't be served in time (fail fast), not after a useless wait.
 */

static struct adm_verdict adm_shift_or_refuse(struct adm *a, struct adm_pool *p,
					      struct adm_req *r, int64_t now);
static struct adm_verdict adm_enqueue_or_refuse(struct adm *a,
						struct adm_pool *p,
						struct adm_req *r, int64_t now,
						bool readmit);
static struct adm_verdict adm_refuse_expired(struct adm *a, struct adm_pool *p,
					     struct adm_req *r, int64_t now);
static struct adm_req *adm_next_startable(struct adm *a, struct adm_pool *p,
					  int64_t now, struct adm_target **t);
static size_t adm_pool_dispatch(struct adm *a, struct adm_pool *p, int64_t now,
				struct adm_verdict *out, size_t max);

/* Retry delay that is named when a pool has no usable target. */
#define ADM_NO_TARGETS_RETRY_AFTER ADM_SEC

/*
 * Longest time between two calls of adm_poll while requests wait. Some
 * conditions change with time only, without an event that triggers a call.
 */
#define ADM_POLL_INTERVAL_MAX (20 * ADM_MS)

/* Detaches a request from its flow; frees the flow if it is idle now. */
void adm_detach_flow(struct adm_pool *p, struct adm_req *r)
{
	struct adm_flow *f = r->flow;

	r->flow = NULL;
	if (f)
		adm_flow_free_if_idle(p, f);
}

/* Shifts a request whose pool has no usable target, or refuses it. */
static struct adm_verdict adm_shift_or_refuse(struct adm *a, struct adm_pool *p,
					      struct adm_req *r, int64_t now)
{
	int zone = adm_shift_pick_zone(a, p, r, now);

	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	return adm_refuse(a, p, r, ADM_NO_TARGETS, ADM_NO_TARGETS_RETRY_AFTER);
}

/*
 * Queues, shifts or refuses a request for which no slot is free.
 *
 * Load: saturation, where many more requests arrive than can run. Harm:
 * requests would wait and then miss their deadline, although their callers
 * could have been served elsewhere. Limit: the wait that fair queueing is
 * estimated to cause must not exceed the pool's longest wait, nor the deadline
 * less the 90th percentile of the service time of the request's size group.
 */
static struct adm_verdict adm_enqueue_or_refuse(struct adm *a,
						struct adm_pool *p,
						struct adm_req *r, int64_t now,
						bool readmit)
{
	int64_t wait = adm_queue_estimate_wait(a, p, r->flow);
	int64_t by_deadline = r->deadline -
			      (int64_t)adm_est_for(p, r->size_group)->high -
			      now;
	int64_t by_queue = r->offered_at + adm_max_wait(p, now) - now;
	bool too_late = wait > MIN(by_queue, by_deadline);
	int zone = -1;

	adm_shift_record_wait(p, now, wait);
	if (p->saturated || too_late)
		zone = adm_shift_pick_zone(a, p, r, now);
	if (zone >= 0)
		return adm_shift(a, p, r, zone);
	if (too_late)
		return adm_refuse(a, p, r,
				  by_deadline < by_queue ? ADM_DEADLINE_LOAD
							 : ADM_QUEUE_WAIT,
				  wait);
	if (adm_queue_full(a, p, r->flow))
		return adm_refuse(a, p, r, ADM_QUEUE_FULL, wait);
	if (!adm_queue_len(p))
		g_ptr_array_add(a->pools_waiting, p);
	adm_queue_add(a, p, r, readmit);
	a->stats.queued++;
	return (struct adm_verdict){.kind = ADM_QUEUED,
				    .ticket = adm_req_ticket(r),
				    .user = r->user};
}

/*
 * Decides about a request. readmit: the request had been admitted before, and
 * an attempt to run it has failed; it goes to the front of its queue.
 */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool readmit)
{
	struct adm_target *t = NULL;

	adm_recheck_due(p, now);
	if (readmit && now >= adm_latest_start(p, r))
		return adm_refuse_expired(a, p, r, now);
	if (adm_deadline_too_short(p, r, now))
		return adm_refuse(a, p, r, ADM_DEADLINE_SHORT, 0);
	if (!adm_usable_targets(p))
		return adm_shift_or_refuse(a, p, r, now);
	if (r->from_other_zone && !readmit && !adm_accept_shifted(a, p, now))
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
	return adm_enqueue_or_refuse(a, p, r, now, readmit);
}

/* Refuses a request that can no longer start in time. */
static struct adm_verdict adm_refuse_expired(struct adm *a, struct adm_pool *p,
					     struct adm_req *r, int64_t now)
{
	bool by_queue = now >= r->offered_at + p->spec.queue_us;

	return adm_refuse(
		a, p, r, by_queue ? ADM_QUEUE_WAIT : ADM_DEADLINE_LOAD,
		adm_queue_len(p) * adm_mean_service(p) / MAX(p->in_flight, 1));
}

/*
 * Returns the waiting request to start next and sets t to its target; NULL if
 * none can start. If no target suits the request whose turn it is, the first
 * one of the highest class may start instead (no head-of-line blocking).
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

/*
 * Starts, shifts and refuses waiting requests of a pool. Writes up to max
 * verdicts to out and returns their number.
 */
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
 * Decides about waiting requests. Writes up to max verdicts (run, shift or
 * refuse) to out and returns their number; the ticket of a refused request is
 * no longer valid. To be called after adm_done, adm_cancel and adm_target_set,
 * and at the latest at the time *next, us (ADM_NEVER: no request waits). If out
 * was filled, *next is now, as there may be more verdicts.
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
