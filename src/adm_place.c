#include "adm_int.h"

/*
 * Load balancing: the choice of a target for a request, which is the best of a
 * few that are drawn at random from the targets believed to have a free slot
 * (power of two choices). Targets are in lists by the requests that they may
 * get, so that a decision costs the same with 50 targets and with 575.
 *
 * Load: several entry VMs place requests on the same targets at the same time.
 * Harm: if each of them took the single best target, they would all take the
 * same one (herding). Limit: comparing two targets removes most of the
 * imbalance of a random choice; comparing more gains little, and causes herding
 * again when the information about targets is old.
 */

/* Targets with at least this many slots keep one of them free of batch work. */
#define ADM_RESERVE_MIN_SLOTS 4

/*
 * A slow target gets an occasional probe request, as otherwise its recovery
 * would not be noticed. Limits: about one probe per second and target, and at
 * most one in 200 starts, so that probes (0.5 %) don't affect the 99th
 * percentile of callers' latency; a probe is always allowed 10 s after the
 * last one.
 */
#define ADM_SLOW_PROBE_INTERVAL ADM_SEC
#define ADM_SLOW_PROBE_STARTS 200
#define ADM_SLOW_PROBE_INTERVAL_MAX (10 * ADM_SEC)

/*
 * Ejected targets are probed with requests that are repeatable and not urgent,
 * as the probe may fail. A pool without such requests is probed with any
 * request when this time has passed since the end of the ejection.
 */
#define ADM_PROBE_ANY_AFTER (10 * ADM_SEC)

#define ADM_TARGET_FROM_NODE(n)                                               \
	((struct adm_target *)((char *)(n)-G_STRUCT_OFFSET(struct adm_target, \
							   recheck)))

static void adm_count_health(struct adm_pool *p, struct adm_target *t,
			     bool accepts);
static void adm_list_move(struct adm_pool *p, struct adm_target *t,
			  enum adm_list to);
static struct adm_target *adm_draw_target(struct adm *a, const GPtrArray *list,
					  const struct adm_req *r);
static bool adm_may_use_slot(const struct adm_pool *p,
			     const struct adm_target *t,
			     const struct adm_req *r, int64_t now);
static struct adm_target *adm_best_of_sample(struct adm *a,
					     const struct adm_pool *p,
					     const struct adm_req *r,
					     enum adm_list l, int64_t now);
static struct adm_target *adm_pick_probe(struct adm *a,
					 const struct adm_pool *p,
					 const struct adm_req *r, int64_t now);
static struct adm_target *adm_pick_slow_probe(struct adm *a,
					      const struct adm_pool *p,
					      const struct adm_req *r,
					      int64_t now);
static bool adm_slow_beats_wait(const struct adm_pool *p,
				const struct adm_target *t,
				const struct adm_req *r, int64_t now);

/* Returns the number of targets that accept work and are not ejected. */
int adm_usable_targets(const struct adm_pool *p)
{
	return p->n_health[ADM_HEALTHY] + p->n_health[ADM_SLOW];
}

/* Updates the pool's numbers of targets by health after a change of one. */
static void adm_count_health(struct adm_pool *p, struct adm_target *t,
			     bool accepts)
{
	if (t->counted_as >= 0)
		p->n_health[t->counted_as]--;
	t->counted_as = accepts ? (int)t->health : -1;
	if (accepts)
		p->n_health[t->health]++;
}

/* Moves a target from its list to another one, in constant time. */
static void adm_list_move(struct adm_pool *p, struct adm_target *t,
			  enum adm_list to)
{
	GPtrArray *from;

	if (t->list == to)
		return;
	if (t->list != ADM_LIST_NONE) {
		from = p->lists[t->list];
		g_ptr_array_remove_index_fast(from, (guint)t->list_index);
		if (t->list_index < (int)from->len)
			((struct adm_target *)from->pdata[t->list_index])
				->list_index = t->list_index;
	}
	t->list = to;
	if (to == ADM_LIST_NONE)
		return;
	t->list_index = (int)p->lists[to]->len;
	g_ptr_array_add(p->lists[to], t);
}

/*
 * Moves a target to the list that matches its state, and schedules the next
 * check. A target that leaves, is drained or whose lease has expired is in no
 * list after this call. The expiry of a lease needs no message, so that it also
 * ends placements by an entry VM that is partitioned from the voters and from
 * the other entry VMs.
 */
void adm_target_classify(struct adm_pool *p, struct adm_target *t, int64_t now)
{
	bool accepts = t->state == ADM_SERVING && now < t->lease_until;
	enum adm_list to = ADM_LIST_NONE;
	int64_t recheck_at = t->lease_until;

	adm_count_health(p, t, accepts);
	if (!accepts) {
		recheck_at = ADM_NEVER;
	} else if (t->health == ADM_EJECTED) {
		if (now < t->ejected_until)
			recheck_at = MIN(recheck_at, t->ejected_until);
		else if (!t->in_flight)
			to = ADM_LIST_PROBE;
	} else if (adm_has_free_slot(p, t, now)) {
		to = t->health == ADM_SLOW ? ADM_LIST_SLOW : ADM_LIST_FAST;
	} else {
		recheck_at = MIN(recheck_at, adm_next_slot_free_at(p, t, now));
	}
	adm_list_move(p, t, to);
	if (recheck_at == ADM_NEVER)
		adm_heap_remove(&p->recheck, &t->recheck);
	else
		adm_heap_put(&p->recheck, &t->recheck,
			     MAX(recheck_at, now + 1));
}

/* Removes a target from all lists, counts and scheduled checks of its pool. */
void adm_target_unlist(struct adm_pool *p, struct adm_target *t)
{
	adm_count_health(p, t, false);
	adm_list_move(p, t, ADM_LIST_NONE);
	adm_heap_remove(&p->recheck, &t->recheck);
}

/* Classifies the targets again whose scheduled check is due. */
void adm_recheck_due(struct adm_pool *p, int64_t now)
{
	struct adm_heap_node *n;

	while (p->recheck.len && p->recheck.nodes[0]->key <= now) {
		n = p->recheck.nodes[0];
		adm_target_classify(p, ADM_TARGET_FROM_NODE(n), now);
	}
}

/*
 * Whether a request may use a slot of a target; batch work may not take the
 * last free one.
 *
 * Load: archive reprocessing that runs for minutes, followed by a storm. Harm:
 * urgent work would wait until the first batch request ends. Limit: one slot
 * per target, an eighth of the capacity at 8 slots; batch work that has reached
 * its limit of bypasses may take that slot too.
 */
static bool adm_may_use_slot(const struct adm_pool *p,
			     const struct adm_target *t,
			     const struct adm_req *r, int64_t now)
{
	if (r->class != ADM_BATCH || adm_queue_must_serve(p, ADM_BATCH))
		return true;
	if (p->spec.slots < ADM_RESERVE_MIN_SLOTS)
		return true;
	return t->in_flight + adm_others_busy(t, now) + 2 <= p->spec.slots;
}

/* Whether the last attempt of a request failed on this target. */
static bool adm_is_last_target(const struct adm_req *r,
			       const struct adm_target *t)
{
	return r->has_last_target && t->handle == r->last_target;
}

/*
 * Returns a random target of a list, which must not be empty. The target on
 * which the last attempt failed is returned only if the list has no other:
 * waiting for another target would cause head-of-line blocking while slots are
 * free.
 */
static struct adm_target *adm_draw_target(struct adm *a, const GPtrArray *list,
					  const struct adm_req *r)
{
	guint at = adm_random(a, list->len);
	struct adm_target *t = list->pdata[at];

	if (adm_is_last_target(r, t))
		t = list->pdata[(at + 1) % list->len];
	return t;
}

/*
 * Returns the best of adm_config.choices targets drawn from a list, which is
 * the one with the lowest load (busy slots weighted by its health); NULL if the
 * request may not use any of the targets drawn.
 */
static struct adm_target *adm_best_of_sample(struct adm *a,
					     const struct adm_pool *p,
					     const struct adm_req *r,
					     enum adm_list l, int64_t now)
{
	const GPtrArray *list = p->lists[l];
	struct adm_target *best = NULL;
	double best_load = 0;
	int draws_left = MAX(a->conf.choices, 4);
	int to_compare = a->conf.choices;

	while (list->len && to_compare > 0 && draws_left-- > 0) {
		struct adm_target *t = adm_draw_target(a, list, r);
		double load;

		if (t == best)
			continue;
		if (!adm_may_use_slot(p, t, r, now))
			continue;
		to_compare--;
		load = (t->in_flight + adm_others_busy(t, now) + 1) *
		       adm_health_penalty(t);
		if (best && load >= best_load)
			continue;
		best = t;
		best_load = load;
	}
	return best;
}

/*
 * Returns a target whose ejection time is over, if there is one and this
 * request may probe it, or NULL. Retries don't probe.
 */
static struct adm_target *adm_pick_probe(struct adm *a,
					 const struct adm_pool *p,
					 const struct adm_req *r, int64_t now)
{
	const GPtrArray *list = p->lists[ADM_LIST_PROBE];
	struct adm_target *t;
	bool suitable = r->repeatable && r->class != ADM_URGENT;

	if (!list->len || r->has_last_target)
		return NULL;
	t = list->pdata[adm_random(a, list->len)];
	if (!suitable && now < t->ejected_until + ADM_PROBE_ANY_AFTER)
		return NULL;
	return t;
}

/*
 * Returns a slow target that is due for a probe, if the deadline of this
 * request leaves 1.5 times the time expected there, or NULL. Urgent requests
 * don't probe.
 */
static struct adm_target *adm_pick_slow_probe(struct adm *a,
					      const struct adm_pool *p,
					      const struct adm_req *r,
					      int64_t now)
{
	const GPtrArray *list = p->lists[ADM_LIST_SLOW];
	int64_t since = now - p->slow_probed_at;
	double mean = adm_est_for(p, r->size_group)->mean;
	struct adm_target *t;

	if (!list->len || r->class == ADM_URGENT)
		return NULL;
	if (since < ADM_SLOW_PROBE_INTERVAL / (int64_t)list->len)
		return NULL;
	if (p->starts_since_slow_probe < ADM_SLOW_PROBE_STARTS &&
	    since < ADM_SLOW_PROBE_INTERVAL_MAX)
		return NULL;
	t = list->pdata[adm_random(a, list->len)];
	if (t->in_flight ||
	    now + (int64_t)(1.5 * mean * t->latency_ratio) > r->deadline)
		return NULL;
	return t;
}

/*
 * Whether a slow target is better for a request than waiting for another one.
 *
 * Load: saturation while some targets are slow. Harm: if it got requests as
 * soon as the other targets are full, a target ten times slower would delay its
 * share of all callers tenfold. Limit: the extra time on the slow target must
 * be less than the current wait in the queue, so that a slightly slow target
 * still carries load when it is needed.
 */
static bool adm_slow_beats_wait(const struct adm_pool *p,
				const struct adm_target *t,
				const struct adm_req *r, int64_t now)
{
	double mean = adm_est_for(p, r->size_group)->mean;
	double wait;

	if (!p->n_health[ADM_HEALTHY])
		return true;
	if (now + (int64_t)(mean * t->latency_ratio) > r->deadline)
		return false;
	wait = p->est[0].mean * (adm_queue_len(p) + 1) / MAX(p->in_flight, 1);
	return mean * (t->latency_ratio - 1) < wait;
}

/*
 * Returns the target to send a request to now, or NULL if the request must
 * wait. Sets probe to whether the request is a probe of an ejected target.
 */
struct adm_target *adm_pick_target(struct adm *a, struct adm_pool *p,
				   const struct adm_req *r, int64_t now,
				   bool *probe)
{
	struct adm_target *t = adm_pick_probe(a, p, r, now);
	struct adm_target *slow;

	*probe = t != NULL;
	if (t)
		return t;
	t = adm_pick_slow_probe(a, p, r, now);
	if (t) {
		p->slow_probed_at = now;
		p->starts_since_slow_probe = 0;
		return t;
	}
	t = adm_best_of_sample(a, p, r, ADM_LIST_FAST, now);
	if (t && !adm_is_last_target(r, t))
		return t;
	slow = adm_best_of_sample(a, p, r, ADM_LIST_SLOW, now);
	/*
	 * Load: one target is down, all others are slow. Harm: the target that
	 * is down is the only one in the fast list, and all attempts would go
	 * there until the request is refused. A slow answer is better than
	 * none.
	 */
	if (slow && (t || adm_slow_beats_wait(p, slow, r, now)))
		return slow;
	return t;
}
