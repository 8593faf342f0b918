#include "adm_int.h"

#include <string.h>

/* Default for adm_config.queue_max, requests. */
#define ADM_QUEUE_MAX_DEFAULT 20000

/* Default for adm_config.choices, targets. */
#define ADM_CHOICES_DEFAULT 2

/* Bounds of the retry delay that a refusal names, before jitter. */
#define ADM_RETRY_AFTER_MIN_MS 50
#define ADM_RETRY_AFTER_MAX_MS 30000

static const char *const adm_reason_names[ADM_REASONS] = {
	[ADM_OK] = "ok",
	[ADM_NO_POOL] = "no-pool",
	[ADM_NO_TARGETS] = "no-targets",
	[ADM_DEADLINE_SHORT] = "deadline-short",
	[ADM_DEADLINE_LOAD] = "deadline-load",
	[ADM_QUEUE_WAIT] = "queue-wait",
	[ADM_QUEUE_FULL] = "queue-full",
	[ADM_ZONE_FULL] = "zone-full",
	[ADM_MAY_HAVE_RUN] = "may-have-run",
	[ADM_RETRY_BUDGET] = "retry-budget",
	[ADM_RETRY_COUNT] = "retry-count",
};

static void adm_pool_free(gpointer pool);
static void adm_req_destroy(gpointer req);
static struct adm_pool *adm_pool_new(void);
static struct adm_target *adm_target_new(struct adm_pool *p, uint64_t handle,
					 uint32_t pool);
static void adm_target_remove(struct adm *a, struct adm_target *t);
static void adm_target_free(struct adm_pool *p, struct adm_target *t);
static uint64_t adm_hash(struct lstr s);
static void adm_release_slot(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, const struct adm_result *res,
			     int64_t now);
static uint32_t adm_retry_after_ms(struct adm *a, enum adm_reason reason,
				   int64_t wait_us);

/* Returns a new instance without pools and targets; adm_free frees it. */
struct adm *adm_new(const struct adm_config *config)
{
	struct adm *a = g_new0(struct adm, 1);

	a->conf = *config;
	if (!a->conf.queue_max)
		a->conf.queue_max = ADM_QUEUE_MAX_DEFAULT;
	if (!a->conf.choices)
		a->conf.choices = ADM_CHOICES_DEFAULT;
	a->rng = config->seed * 2 + 1;
	a->pools = g_ptr_array_new_with_free_func(adm_pool_free);
	a->targets = g_hash_table_new(g_int64_hash, g_int64_equal);
	a->reqs = g_ptr_array_new_with_free_func(adm_req_destroy);
	a->free_reqs = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	a->pools_waiting = g_ptr_array_new();
	return a;
}

/* Frees the instance and drops the requests it holds without a verdict. */
void adm_free(struct adm *a)
{
	if (!a)
		return;
	g_ptr_array_free(a->pools, TRUE);
	g_hash_table_destroy(a->targets);
	g_ptr_array_free(a->reqs, TRUE);
	g_array_free(a->free_reqs, TRUE);
	g_ptr_array_free(a->pools_waiting, TRUE);
	g_free(a);
}

/*
 * Sets the numbers of entry VMs in the own zone (entries, including this one)
 * and in all other zones together (entries_elsewhere).
 */
void adm_set_entries(struct adm *a, int entries, int entries_elsewhere)
{
	a->conf.entries = entries;
	a->conf.entries_elsewhere = entries_elsewhere;
}

static struct adm_pool *adm_pool_new(void)
{
	struct adm_pool *p = g_new0(struct adm_pool, 1);
	int i;

	for (i = 0; i < ADM_LISTS; i++)
		p->lists[i] = g_ptr_array_new();
	p->targets = g_ptr_array_new();
	p->flows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	return p;
}

static void adm_pool_free(gpointer pool)
{
	struct adm_pool *p = pool;
	int i;

	if (!p)
		return;
	g_ptr_array_foreach(p->targets, (GFunc)(void (*)(void))g_free, NULL);
	g_ptr_array_free(p->targets, TRUE);
	for (i = 0; i < ADM_LISTS; i++)
		g_ptr_array_free(p->lists[i], TRUE);
	for (i = 0; i < ADM_CLASSES; i++)
		adm_heap_clear(&p->ready[i]);
	adm_heap_clear(&p->recheck);
	adm_heap_clear(&p->expiry);
	g_hash_table_destroy(p->flows);
	g_free(p);
}

/*
 * Adds a pool or changes its limits. Returns false, and changes nothing, if
 * pool is ADM_POOLS_MAX or more or if a limit of spec is out of range.
 */
bool adm_pool_set(struct adm *a, uint32_t pool,
		  const struct adm_pool_spec *spec)
{
	struct adm_pool *p;

	if (pool >= ADM_POOLS_MAX || spec->slots < 1 || spec->conns < 1 ||
	    spec->queue_us < 0 || spec->deadline_us < 1)
		return false;
	if (pool >= a->pools->len)
		g_ptr_array_set_size(a->pools, (gint)pool + 1);
	p = a->pools->pdata[pool];
	if (!p) {
		p = adm_pool_new();
		p->tokens = ADM_BUDGET_MAX;
		a->pools->pdata[pool] = p;
		a->highest_priority = MAX(a->highest_priority, spec->priority);
	}
	p->spec = *spec;
	a->highest_priority = MAX(a->highest_priority, spec->priority);
	return true;
}

/* Returns the pool with this number, or NULL. */
struct adm_pool *adm_pool_find(const struct adm *a, uint32_t pool)
{
	return pool < a->pools->len ? a->pools->pdata[pool] : NULL;
}

static struct adm_target *adm_target_new(struct adm_pool *p, uint64_t handle,
					 uint32_t pool)
{
	struct adm_target *t = g_new0(struct adm_target, 1);

	t->handle = handle;
	t->pool = pool;
	t->latency_ratio = 1;
	t->counted_as = -1;
	t->list = ADM_LIST_NONE;
	t->recheck.pos = -1;
	t->pool_index = (int)p->targets->len;
	g_ptr_array_add(p->targets, t);
	return t;
}

static void adm_target_free(struct adm_pool *p, struct adm_target *t)
{
	adm_target_unlist(p, t);
	g_ptr_array_remove_index_fast(p->targets, (guint)t->pool_index);
	if (t->pool_index < (int)p->targets->len)
		((struct adm_target *)p->targets->pdata[t->pool_index])
			->pool_index = t->pool_index;
	g_free(t);
}

/*
 * Removes a target, so that its handle is unknown. The record is freed once no
 * request runs on the target.
 */
static void adm_target_remove(struct adm *a, struct adm_target *t)
{
	struct adm_pool *p = adm_pool_find(a, t->pool);

	t->state = ADM_REMOVED;
	g_hash_table_remove(a->targets, &t->handle);
	adm_target_unlist(p, t);
	if (!t->in_flight)
		adm_target_free(p, t);
}

/*
 * Adds, changes or removes a target. After this call nothing is placed on a
 * target whose state is not ADM_SERVING. A handle that is set again after
 * ADM_REMOVED, or for another pool, counts as a new target without history.
 * Returns false if the pool is unknown.
 */
bool adm_target_set(struct adm *a, int64_t now, uint64_t handle,
		    const struct adm_target_spec *spec)
{
	struct adm_pool *p = adm_pool_find(a, spec->pool);
	struct adm_target *t = g_hash_table_lookup(a->targets, &handle);

	if (!p)
		return false;
	if (t && (spec->state == ADM_REMOVED || t->pool != spec->pool)) {
		adm_target_remove(a, t);
		t = NULL;
	}
	if (spec->state == ADM_REMOVED)
		return true;
	if (!t) {
		t = adm_target_new(p, handle, spec->pool);
		g_hash_table_insert(a->targets, &t->handle, t);
	}
	t->state = spec->state;
	t->lease_until = spec->lease_until_us;
	adm_target_classify(p, t, now);
	return true;
}

/*
 * Records how many slots of a target are busy, as reported by the target
 * outside of an answer. Ignores an unknown handle and a negative number.
 */
void adm_target_set_busy(struct adm *a, int64_t now, uint64_t handle, int busy)
{
	struct adm_target *t = g_hash_table_lookup(a->targets, &handle);
	struct adm_pool *p;

	if (!t || busy < 0)
		return;
	p = adm_pool_find(a, t->pool);
	adm_share_reported(p, t, now, busy);
	adm_target_classify(p, t, now);
}

/*
 * Returns a pseudo-random number from 0 to below - 1, uniformly distributed
 * (xorshift generator with the seed of adm_config); 0 if below is 0.
 */
uint32_t adm_random(struct adm *a, uint32_t below)
{
	a->rng ^= a->rng << 13;
	a->rng ^= a->rng >> 7;
	a->rng ^= a->rng << 17;
	return below ? (uint32_t)((a->rng >> 32) * below >> 32) : 0;
}

/*
 * Returns the FNV-1a hash of a caller's name, which identifies the caller. Two
 * callers with the same hash share one flow.
 */
static uint64_t adm_hash(struct lstr s)
{
	uint64_t h = UINT64_C(0xcbf29ce484222325);
	size_t i;

	for (i = 0; i < s.len; i++)
		h = (h ^ (unsigned char)s.p[i]) * UINT64_C(0x100000001b3);
	return h;
}

/* Returns a cleared request record, reusing a free one if possible. */
struct adm_req *adm_req_new(struct adm *a)
{
	struct adm_req *r;
	uint32_t index = a->reqs->len;
	uint32_t gen;

	if (a->free_reqs->len) {
		index = g_array_index(a->free_reqs, uint32_t,
				      a->free_reqs->len - 1);
		g_array_set_size(a->free_reqs, a->free_reqs->len - 1);
		r = a->reqs->pdata[index];
		gen = r->gen;
		memset(r, 0, sizeof(*r));
		r->gen = gen;
	} else {
		r = g_new0(struct adm_req, 1);
		g_ptr_array_add(a->reqs, r);
	}
	r->index = index;
	r->expiry.pos = -1;
	return r;
}

/* Returns a request record to the free list and invalidates its ticket. */
void adm_req_free(struct adm *a, struct adm_req *r)
{
	r->state = ADM_REQ_FREE;
	r->target = NULL;
	r->gen++;
	g_array_append_val(a->free_reqs, r->index);
}

static void adm_req_destroy(gpointer req)
{
	g_free(req);
}

/*
 * Returns the ticket of a request: its generation and index. The index is
 * counted from 1, so that no ticket is 0.
 */
adm_ticket adm_req_ticket(const struct adm_req *r)
{
	return (uint64_t)r->gen << 32 | (r->index + 1);
}

/* Returns the request that a ticket identifies, or NULL if it has ended. */
struct adm_req *adm_req_find(const struct adm *a, adm_ticket ticket)
{
	uint32_t index = (uint32_t)ticket - 1;
	struct adm_req *r;

	if (index >= a->reqs->len)
		return NULL;
	r = a->reqs->pdata[index];
	if (r->state == ADM_REQ_FREE || r->gen != ticket >> 32)
		return NULL;
	return r;
}

/*
 * Decides about a new request. Each verdict about the request has user in its
 * .user. The caller must act on a verdict other than ADM_QUEUED immediately.
 */
struct adm_verdict adm_offer(struct adm *a, int64_t now,
			     const struct adm_request *request, void *user)
{
	struct adm_pool *p = adm_pool_find(a, request->pool);
	struct adm_req *r = adm_req_new(a);
	struct adm_verdict v;

	a->stats.offered++;
	r->pool = request->pool;
	r->user = user;
	if (!p)
		return adm_refuse(a, p, r, ADM_NO_POOL, 0);
	r->caller = adm_hash(request->caller);
	r->class = request->class;
	r->offered_at = now;
	r->deadline = request->deadline_us ? request->deadline_us
					   : now + p->spec.deadline_us;
	r->repeatable = request->repeatable;
	r->no_shift = request->shifted;
	r->from_other_zone = request->shifted;
	r->size_group = adm_size_group(request->size_hint);
	adm_demand_record(p, now);
	v = adm_admit(a, p, r, now, false);
	if (v.kind != ADM_REFUSE)
		adm_budget_credit(p);
	return v;
}

/* Starts a request on a target, where it holds a slot until adm_done. */
struct adm_verdict adm_start(struct adm *a, int64_t now, struct adm_req *r,
			     struct adm_target *t)
{
	struct adm_pool *p = adm_pool_find(a, r->pool);

	r->state = ADM_REQ_RUNNING;
	r->target = t;
	t->in_flight++;
	p->in_flight++;
	p->starts_since_slow_probe++;
	a->stats.in_flight++;
	a->stats.started++;
	a->stats.probes += r->probe;
	adm_flow_charge(p, r);
	adm_target_classify(p, t, now);
	return (struct adm_verdict){.kind = ADM_RUN,
				    .ticket = adm_req_ticket(r),
				    .target = t->handle,
				    .user = r->user};
}

/*
 * Returns the delay in ms after which a refused caller may retry; 0: don't
 * retry. The delay is the time to drain the current queue, within bounds, plus
 * a random jitter of up to half of it: callers that were refused together would
 * otherwise retry together (thundering herd).
 */
static uint32_t adm_retry_after_ms(struct adm *a, enum adm_reason reason,
				   int64_t wait_us)
{
	int64_t ms = wait_us / ADM_MS;

	if (reason == ADM_DEADLINE_SHORT || reason == ADM_MAY_HAVE_RUN ||
	    reason == ADM_NO_POOL)
		return 0;
	ms = CLAMP(ms, ADM_RETRY_AFTER_MIN_MS, ADM_RETRY_AFTER_MAX_MS);
	return (uint32_t)ms + adm_random(a, (uint32_t)ms / 2);
}

/* Refuses a request with the given reason and ends it. */
struct adm_verdict adm_refuse(struct adm *a, struct adm_pool *p,
			      struct adm_req *r, enum adm_reason reason,
			      int64_t wait_us)
{
	struct adm_verdict v = {.kind = ADM_REFUSE,
				.reason = reason,
				.ticket = adm_req_ticket(r),
				.user = r->user};

	v.retry_after_ms = adm_retry_after_ms(a, reason, wait_us);
	a->stats.refused[reason]++;
	if (p)
		adm_detach_flow(p, r);
	adm_req_free(a, r);
	return v;
}

/*
 * Releases the slot of an attempt that has ended, and records the outcome in
 * the estimates of its pool, its target and its flow.
 */
static void adm_release_slot(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, const struct adm_result *res,
			     int64_t now)
{
	struct adm_target *t = r->target;
	bool ok = res->outcome == ADM_DONE_OK;

	t->in_flight--;
	p->in_flight--;
	a->stats.in_flight--;
	adm_health_record(a, p, t, r, res, now);
	if (ok)
		adm_est_record(p, r->size_group, res->service_us, now);
	if (res->outcome == ADM_DONE_BUSY)
		adm_share_refused(p, t, now);
	else if (res->outcome == ADM_DONE_CANCELLED ||
		 res->outcome == ADM_DONE_TIMEOUT)
		adm_share_abandoned(p, t, now);
	else if (res->busy >= 0)
		adm_share_reported(p, t, now, res->busy);
	adm_flow_settle(p, r, MAX(res->service_us, 0));
	if (t->state != ADM_REMOVED)
		adm_target_classify(p, t, now);
	else if (!t->in_flight)
		adm_target_free(p, t);
	r->target = NULL;
	r->probe = false;
}

/* Ends an attempt on a target or in another zone and records its outcome. */
void adm_end_attempt(struct adm *a, int64_t now, struct adm_req *r,
		     const struct adm_result *res)
{
	struct adm_pool *p = adm_pool_find(a, r->pool);

	if (r->state == ADM_REQ_SHIFTED)
		adm_shift_done(a, p, r, res->outcome, now);
	else
		adm_release_slot(a, p, r, res, now);
	adm_detach_flow(p, r);
	switch (res->outcome) {
	case ADM_DONE_OK:
		a->stats.done_ok++;
		break;
	case ADM_DONE_BUSY:
		a->stats.done_busy++;
		break;
	case ADM_DONE_CANCELLED:
		a->stats.cancelled++;
		break;
	case ADM_DONE_UNSENT:
	case ADM_DONE_FAILED:
	case ADM_DONE_TIMEOUT:
		a->stats.done_failed++;
		break;
	}
}

/*
 * Ends a request that ran or was shifted. Returns false if the request is
 * queued or has already ended.
 */
bool adm_done(struct adm *a, int64_t now, adm_ticket ticket,
	      const struct adm_result *result)
{
	struct adm_req *r = adm_req_find(a, ticket);

	if (!r || r->state == ADM_REQ_QUEUED)
		return false;
	adm_end_attempt(a, now, r, result);
	adm_req_free(a, r);
	return true;
}

/*
 * Cancels a request whose caller has left. A queued request is removed
 * immediately, so that a flood of cancellations leaves no abandoned work in the
 * queue; a running one releases its slot. Returns false if the request has
 * already ended.
 */
bool adm_cancel(struct adm *a, int64_t now, adm_ticket ticket)
{
	const struct adm_result cancelled = {.outcome = ADM_DONE_CANCELLED,
					     .busy = -1};
	struct adm_req *r = adm_req_find(a, ticket);
	struct adm_pool *p;

	if (!r)
		return false;
	if (r->state != ADM_REQ_QUEUED)
		return adm_done(a, now, ticket, &cancelled);
	p = adm_pool_find(a, r->pool);
	adm_queue_remove(a, p, r);
	adm_detach_flow(p, r);
	adm_req_free(a, r);
	a->stats.cancelled++;
	return true;
}

/* Returns the counters and current values. */
struct adm_stats adm_stats(const struct adm *a)
{
	return a->stats;
}

/*
 * Returns the name of a reason as used in logs, metrics and answers; "unknown"
 * for a value that is no reason.
 */
const char *adm_reason_name(enum adm_reason reason)
{
	return reason >= 0 && reason < ADM_REASONS ? adm_reason_names[reason]
						   : "unknown";
}
