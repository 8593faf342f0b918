#include "adm_int.h"

/*
 * Retries and hedged requests, limited by a retry budget (token bucket).
 *
 * Load: targets fail or are slow while the pool is busy. Harm: retries multiply
 * the load when there is the least capacity (retry storm), and keep the pool
 * overloaded after the original cause is gone; or a request that did run is
 * executed twice.
 */

/* Tokens that an accepted request adds to the retry budget. */
#define ADM_BUDGET_PER_REQUEST 0.1

/* Maximum number of retries of a request after failed attempts. */
#define ADM_RETRIES_MAX 2

/* Retry delay that is named when another attempt is refused. */
#define ADM_REFUSED_RETRY_AFTER ADM_SEC

static enum adm_reason adm_retry_check(struct adm_pool *p, struct adm_req *r,
				       enum adm_outcome outcome);
static bool adm_budget_spend(struct adm_pool *p);
static struct adm_verdict adm_refuse_hedge(enum adm_reason reason);
static struct adm_req *adm_hedge_new(struct adm *a, const struct adm_req *first,
				     int64_t now);

/* Adds the tokens for one accepted request to the retry budget. */
void adm_budget_credit(struct adm_pool *p)
{
	p->tokens = MIN(p->tokens + ADM_BUDGET_PER_REQUEST, ADM_BUDGET_MAX);
}

/* Takes one token for a retry or a hedge; returns false if there is none. */
static bool adm_budget_spend(struct adm_pool *p)
{
	if (p->tokens < 1)
		return false;
	p->tokens -= 1;
	return true;
}

/*
 * Returns why a request must not be attempted again, or ADM_OK. A request that
 * may have run is retried only if it is repeatable. A request that was refused
 * because of overload did not run and held no slot: it uses no token, and is
 * limited by the longest wait and its deadline like any waiting request.
 */
static enum adm_reason adm_retry_check(struct adm_pool *p, struct adm_req *r,
				       enum adm_outcome outcome)
{
	if (outcome == ADM_DONE_BUSY)
		return ADM_OK;
	if (outcome != ADM_DONE_UNSENT && !r->repeatable)
		return ADM_MAY_HAVE_RUN;
	if (++r->failed_attempts > ADM_RETRIES_MAX)
		return ADM_RETRY_COUNT;
	return adm_budget_spend(p) ? ADM_OK : ADM_RETRY_BUDGET;
}

/*
 * Ends an attempt as adm_done does, and decides about another attempt of the
 * same request. The verdict is as for adm_offer; the ticket stays the same,
 * unless the request is refused. A ticket that has ended or is queued is
 * refused with ADM_RETRY_COUNT and changes nothing.
 */
struct adm_verdict adm_retry(struct adm *a, int64_t now, adm_ticket ticket,
			     const struct adm_result *result)
{
	struct adm_req *r = adm_req_find(a, ticket);
	struct adm_pool *p;
	enum adm_reason reason;

	if (!r || r->state == ADM_REQ_QUEUED)
		return (struct adm_verdict){.kind = ADM_REFUSE,
					    .reason = ADM_RETRY_COUNT};
	p = adm_pool_find(a, r->pool);
	r->has_last_target = r->target != NULL;
	r->last_target = r->target ? r->target->handle : 0;
	adm_end_attempt(a, now, r, result);
	reason = adm_retry_check(p, r, result->outcome);
	if (reason != ADM_OK)
		return adm_refuse(a, p, r, reason, ADM_REFUSED_RETRY_AFTER);
	if (result->outcome != ADM_DONE_BUSY)
		a->stats.retries++;
	return adm_admit(a, p, r, now, true);
}

/* Refuses a hedge. Its first attempt continues; no refusal is counted. */
static struct adm_verdict adm_refuse_hedge(enum adm_reason reason)
{
	return (struct adm_verdict){.kind = ADM_REFUSE, .reason = reason};
}

/* Returns a new request record for a hedge of a running request. */
static struct adm_req *adm_hedge_new(struct adm *a, const struct adm_req *first,
				     int64_t now)
{
	struct adm_req *r = adm_req_new(a);

	r->pool = first->pool;
	r->caller = first->caller;
	r->class = first->class;
	r->deadline = first->deadline;
	r->offered_at = now;
	r->repeatable = first->repeatable;
	r->no_shift = true;
	r->size_group = first->size_group;
	r->user = first->user;
	r->has_last_target = true;
	r->last_target = first->target->handle;
	return r;
}

/*
 * Decides about a hedge, which is a second attempt in parallel to a running one
 * that takes long. The verdict is ADM_RUN, with a ticket for the hedge, or
 * ADM_REFUSE. The first answer is used; the other attempt must end with
 * ADM_DONE_CANCELLED. Hedges are refused while requests wait, as these need
 * free slots more.
 */
struct adm_verdict adm_hedge(struct adm *a, int64_t now, adm_ticket ticket)
{
	struct adm_req *first = adm_req_find(a, ticket);
	struct adm_target *t;
	struct adm_pool *p;
	struct adm_req *r;
	bool probe;

	if (!first || first->state != ADM_REQ_RUNNING)
		return adm_refuse_hedge(ADM_RETRY_COUNT);
	if (!first->repeatable)
		return adm_refuse_hedge(ADM_MAY_HAVE_RUN);
	p = adm_pool_find(a, first->pool);
	if (adm_queue_len(p))
		return adm_refuse_hedge(ADM_QUEUE_WAIT);
	adm_recheck_due(p, now);
	r = adm_hedge_new(a, first, now);
	t = adm_pick_target(a, p, r, now, &probe);
	if (!t || t == first->target) {
		adm_req_free(a, r);
		return adm_refuse_hedge(ADM_QUEUE_WAIT);
	}
	if (!adm_budget_spend(p)) {
		adm_req_free(a, r);
		return adm_refuse_hedge(ADM_RETRY_BUDGET);
	}
	a->stats.hedges++;
	r->flow = adm_flow_get(p, r->caller, r->class);
	r->probe = probe;
	return adm_start(a, now, r, t);
}
