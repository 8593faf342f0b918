#include "adm_int.h"

/*
 * Which target gets a request: the best of a few taken at random from those
 * that have a free slot as far as we know. Targets are kept in lists by what
 * they may get, so that a decision costs the same with 50 and with 575.
 *
 * Load: several entry VMs that place at once on the same targets. Harm: if all
 * took the single best one they would meet there (herding). Limit: two choices
 * take off most of the load that pure chance would pile up; more bring little
 * and herd again when knowledge is old.
 */

/* A slot of a target that batch work leaves free, from so many slots on. */
#define ADM_RESERVE_MIN_SLOTS 4

/*
 * A slow target is tried now and then, else we would never see it recover:
 * each about once a second, at most one in 200 starts (0.5 % stays out of the
 * 99th percentile of callers' waits), but after ten seconds anyhow.
 */
#define ADM_SLOW_PROBE_INTERVAL ADM_SEC
#define ADM_SLOW_PROBE_STARTS 200
#define ADM_SLOW_PROBE_INTERVAL_MAX (10 * ADM_SEC)

/*
 * A probe of an ejected target may fail, so that it is made with a request
 * that may be repeated and isn't urgent; a pool that has none such is probed
 * with any after this time.
 */
#define ADM_PROBE_ANY_AFTER (10 * ADM_SEC)

#define ADM_TARGET_FROM_NODE(n)                                               \
	((struct adm_target *)((char *)(n)-G_STRUCT_OFFSET(struct adm_target, \
							   recheck)))

static void adm_count_health(struct adm_pool *p, struct adm_target *t,
			     bool takes);
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

/* Targets that take work and are not ejected. */
int adm_usable_targets(const struct adm_pool *p)
{
	return p->n_health[ADM_HEALTHY] + p->n_health[ADM_SLOW];
}

static void adm_count_health(struct adm_pool *p, struct adm_target *t,
			     bool takes)
{
	if (t->counted_as >= 0)
		p->n_health[t->counted_as]--;
	t->counted_as = takes ? (int)t->health : -1;
	if (takes)
		p->n_health[t->health]++;
}

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
 * Puts a target where it belongs now, and sets when to look again. A target
 * that leaves, is drained or whose lease lapsed is in no list from this call
 * on; the lease needs no message, so that it also ends work on a VM that is
 * cut off from control and neighbours.
 */
void adm_target_classify(struct adm_pool *p, struct adm_target *t, int64_t now)
{
	bool takes = t->state == ADM_SERVING && now < t->lease_until;
	enum adm_list to = ADM_LIST_NONE;
	int64_t again = t->lease_until;

	adm_count_health(p, t, takes);
	if (!takes) {
		again = ADM_NEVER;
	} else if (t->health == ADM_EJECTED) {
		if (now < t->ejected_until)
			again = MIN(again, t->ejected_until);
		else if (!t->in_flight)
			to = ADM_LIST_PROBE;
	} else if (adm_has_free_slot(p, t, now)) {
		to = t->health == ADM_SLOW ? ADM_LIST_SLOW : ADM_LIST_FAST;
	} else {
		again = MIN(again, adm_next_slot_free_at(p, t, now));
	}
	adm_list_move(p, t, to);
	if (again == ADM_NEVER)
		adm_heap_remove(&p->recheck, &t->recheck);
	else
		adm_heap_put(&p->recheck, &t->recheck, MAX(again, now + 1));
}

/* Takes a target out of all lists. */
void adm_target_unlist(struct adm_pool *p, struct adm_target *t)
{
	adm_count_health(p, t, false);
	adm_list_move(p, t, ADM_LIST_NONE);
	adm_heap_remove(&p->recheck, &t->recheck);
}

/* Files anew the targets whose time has come. */
void adm_recheck_due(struct adm_pool *p, int64_t now)
{
	struct adm_heap_node *n;

	while (p->recheck.len && p->recheck.nodes[0]->key <= now) {
		n = p->recheck.nodes[0];
		adm_target_classify(p, ADM_TARGET_FROM_NODE(n), now);
	}
}

/*
 * Whether a target suits this very request: for batch work not the last free
 * slot. Load: archive reprocessing
 * that runs for minutes, then a storm. Harm: urgent work would wait until the
 * first of it ends. Limit: one slot of a target, an eighth; when batch work
 * has been passed as often as allowed it may have that too.
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

/* Whether a target is the one that has just failed a request. */
static bool adm_is_last_target(const struct adm_req *r,
			       const struct adm_target *t)
{
	return r->has_last_target && t->handle == r->last_target;
}

/*
 * One taken at random; the target that has just failed the request only where
 * the list has no other. To have it wait for another instead would hold up all
 * that wait behind it, with slots free.
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

/* The better of some taken at random; NULL where none of them suits. */
static struct adm_target *adm_best_of_sample(struct adm *a,
					     const struct adm_pool *p,
					     const struct adm_req *r,
					     enum adm_list l, int64_t now)
{
	const GPtrArray *list = p->lists[l];
	struct adm_target *best = NULL;
	double best_score = 0;
	int looks = MAX(a->conf.choices, 4);
	int left = a->conf.choices;

	while (list->len && left > 0 && looks-- > 0) {
		struct adm_target *t = adm_draw_target(a, list, r);
		double score;

		if (t == best)
			continue;
		if (!adm_may_use_slot(p, t, r, now))
			continue;
		left--;
		score = (t->in_flight + adm_others_busy(t, now) + 1) *
			adm_health_penalty(t);
		if (best && score >= best_score)
			continue;
		best = t;
		best_score = score;
	}
	return best;
}

/* An ejected target whose time is over, if this request may try it. */
static struct adm_target *adm_pick_probe(struct adm *a,
					 const struct adm_pool *p,
					 const struct adm_req *r, int64_t now)
{
	const GPtrArray *list = p->lists[ADM_LIST_PROBE];
	struct adm_target *t;

	bool fit = r->repeatable && r->class != ADM_URGENT;

	if (!list->len || r->has_last_target)
		return NULL;
	t = list->pdata[adm_random(a, list->len)];
	if (!fit && now < t->ejected_until + ADM_PROBE_ANY_AFTER)
		return NULL;
	return t;
}

/* A slow target to be tried again, if this request has the time for it. */
static struct adm_target *adm_pick_slow_probe(struct adm *a,
					      const struct adm_pool *p,
					      const struct adm_req *r,
					      int64_t now)
{
	const GPtrArray *list = p->lists[ADM_LIST_SLOW];
	int64_t since = now - p->slow_probed_at;
	double need = adm_est_for(p, r->size_group)->mean;
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
	    now + (int64_t)(1.5 * need * t->latency_ratio) > r->deadline)
		return NULL;
	return t;
}

/*
 * Whether a slow target is better than waiting. Load: saturation with some
 * targets slow. Harm: given work as soon as the others are full, a target ten
 * times slower holds its share of all callers up for ten times as long.
 * Limit: no more extra time there than a request would now wait in the queue;
 * so one that is a little slow still carries load when that is needed.
 */
static bool adm_slow_beats_wait(const struct adm_pool *p,
				const struct adm_target *t,
				const struct adm_req *r, int64_t now)
{
	double usual = adm_est_for(p, r->size_group)->mean;
	double wait;

	if (!p->n_health[ADM_HEALTHY])
		return true;
	if (now + (int64_t)(usual * t->latency_ratio) > r->deadline)
		return false;
	wait = p->est[0].mean * (adm_queue_len(p) + 1) / MAX(p->in_flight, 1);
	return usual * (t->latency_ratio - 1) < wait;
}

/*
 * The target to send a request to now, or NULL where it must wait. Sets probe
 * where the target is tried after an ejection.
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
	 * Load: one target dead, the rest slow. Harm: the dead one stands
	 * alone among the fast, and each attempt would go there again until
	 * the request is given up. A slow answer is better than none.
	 */
	if (slow && (t || adm_slow_beats_wait(p, slow, r, now)))
		return slow;
	return t;
}
