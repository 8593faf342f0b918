#include "adm_int.h"

/*
 * Second attempts. Load: targets failing or slow while the pool is busy. Harm:
 * each failure sent again doubles the load just when there is least room, and
 * the pool stays down after its cause is gone; or work that did run, runs
 * twice.
 */

/* What one request taken in adds to the budget. */
#define ADM_BUDGET_PER_REQUEST 0.1

/* Attempts of one request that failed. */
#define ADM_RETRIES_MAX 2

/* When to come back after the budget was spent. */
#define ADM_BUDGET_RETRY_AFTER ADM_SEC

static enum adm_reason adm_retry_check(struct adm_pool *p, struct adm_req *r,
				       enum adm_outcome outcome);
static bool adm_budget_spend(struct adm_pool *p);
static struct adm_verdict adm_refuse_hedge(enum adm_reason reason);
static struct adm_req *adm_hedge_new(struct adm *a, const struct adm_req *first,
				     int64_t now);

/* A request was taken in. */
void adm_budget_credit(struct adm_pool *p)
{
	p->tokens = MIN(p->tokens + ADM_BUDGET_PER_REQUEST, ADM_BUDGET_MAX);
}

static bool adm_budget_spend(struct adm_pool *p)
{
	if (p->tokens < 1)
		return false;
	p->tokens -= 1;
	return true;
}

/*
 * What forbids another attempt; ADM_OK: nothing. What may have reached a
 * target goes again only where twice is the same as once. What a target
 * refused for load did not run and held no slot; it draws on no budget, and
 * ends like any waiting request by its longest wait or deadline.
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
 * Ends an attempt as adm_done does, and asks for another one in place of it.
 * The verdict is as for adm_offer; the ticket changes only by a refusal.
 */
struct adm_verdict adm_retry(struct adm *a, int64_t now, adm_ticket ticket,
			     const struct adm_result *result)
{
	struct adm_req *r = adm_req_find(a, ticket);
	struct adm_pool *p;
	enum adm_reason why;

	if (!r || r->state == ADM_REQ_QUEUED)
		return (struct adm_verdict){.kind = ADM_REFUSE,
					    .reason = ADM_RETRY_COUNT};
	p = adm_pool_find(a, r->pool);
	r->has_last_target = r->target != NULL;
	r->last_target = r->target ? r->target->handle : 0;
	adm_end_attempt(a, now, r, result);
	why = adm_retry_check(p, r, result->outcome);
	if (why != ADM_OK)
		return adm_refuse(a, p, r, why, ADM_BUDGET_RETRY_AFTER);
	if (result->outcome != ADM_DONE_BUSY)
		a->stats.retries++;
	return adm_admit(a, p, r, now, true);
}

/* A hedge that isn't made; its first attempt goes on, nobody is refused. */
static struct adm_verdict adm_refuse_hedge(enum adm_reason reason)
{
	return (struct adm_verdict){.kind = ADM_REFUSE, .reason = reason};
}

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
 * A second attempt beside a running one, for a caller who has waited long. It
 * has a ticket of its own; the first answer counts, the other attempt ends
 * with ADM_DONE_LEFT. Refused when requests wait: a slot is worth more to
 * them.
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
