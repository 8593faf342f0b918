#include "flo_int.h"

#include <math.h>

/*
 * Division of VMs among the pools while they together need more than all VMs
 * have. The rule is a struct div_way; this file gathers what it decides by.
 */

/* Weights of the callers of one pool. */
struct flo_callers {
	GHashTable *seen; /* struct quo_use with work of any use */
	double weights; /* sum of theirs */
	uint32_t priority; /* highest of queues with work; 0 is first */
};

static const struct div_way *flo_way(const struct flo *f);
static double flo_mean_vm_cores(const struct flo *f);
static double flo_cores_each(const struct flo_pool *p, double vm_cores);
static bool flo_is_scarce(const struct flo *f);
static void flo_set_wanted(struct flo *f, double vm_cores);
static GArray *flo_collect(struct flo *f, double vm_cores);
static double flo_mean_empty_ms(const struct flo_pool *p);
static void flo_weigh_callers(const struct flo *f, GArray *pools);
static void flo_add_caller(struct flo_callers *c, const struct jtb_queue *q,
			   const struct jtb_job *job, int64_t wall);
static void flo_set_entitled(struct flo *f, const GArray *pools, int64_t now);
static void flo_end_scarcity(struct flo *f, int64_t now);

/*
 * Divides the VMs and sets `entitled` of the pools. Returns struct div_pair, to
 * be freed, with indices for flo_divided_pool(); NULL while there are enough
 * VMs. short_of_vms: a pool is left short though all that have VMs to spare
 * gave them up.
 */
GArray *flo_divide(struct flo *f, bool short_of_vms, int64_t now)
{
	double vm_cores = flo_mean_vm_cores(f);
	GArray *pools;
	GArray *pairs;
	guint i;

	flo_set_wanted(f, vm_cores);
	if (!short_of_vms || vm_cores <= 0 || !flo_is_scarce(f)) {
		flo_end_scarcity(f, now);
		return NULL;
	}
	f->division.way = flo_way(f);
	flo_rank_for_division(f, now);
	pools = flo_collect(f, vm_cores);
	flo_weigh_callers(f, pools);
	pairs = div_plan(f->division.way, (struct div_pool *)pools->data,
			 pools->len);
	flo_set_entitled(f, pools, now);
	f->division.planned = 0;
	f->division.begun = 0;
	for (i = 0; i < pairs->len; i++)
		f->division.planned +=
			g_array_index(pairs, struct div_pair, i).count;
	g_array_free(pools, TRUE);
	return pairs;
}

/*
 * Returns the rule: that of the settings, else by the configuration.
 * Organisations are promised a part of all that is scarce, so also of VMs, by
 * whichever pool they ask. Where there are none, the pool that fetched VMs keeps
 * them, as an exchange between full pools costs more than it gains.
 */
static const struct div_way *flo_way(const struct flo *f)
{
	bool shared = orgs_count(jtb_config(f->jtb)->orgs) > 0;

	if (f->way)
		return f->way;
	return div_find_way(shared ? DIV_SHARED_WAY : DIV_PLAIN_WAY);
}

/* Returns the pool at an index of the last division: standby ones aside. */
struct flo_pool *flo_divided_pool(const struct flo *f, guint index)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (!p->standby && index-- == 0)
			return p;
	}
	g_assert_not_reached();
}

/* Returns the last division. */
const struct flo_division *flo_division(const struct flo *f)
{
	return &f->division;
}

/* Returns the cores of the mean VM of all; 0: there is none. */
static double flo_mean_vm_cores(const struct flo *f)
{
	GPtrArray *all = vms_all(f->vms);
	double cores = 0;
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);

		cores += vm->cpu / 1000.0;
	}
	return all->len ? cores / all->len : 0;
}

/*
 * Returns the cores of a pool's mean VM: that of all pools, vm_cores, where the
 * pool has no VM or none that reports its capacity.
 */
static double flo_cores_each(const struct flo_pool *p, double vm_cores)
{
	return p->vms && p->cores > 0 ? p->cores / p->vms : vm_cores;
}

/* Whether the pools together need more cores than all usable VMs have. */
static bool flo_is_scarce(const struct flo *f)
{
	double need = 0;
	double cores = 0;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby && !p->candidates->len)
			continue;
		need += p->load * FLO_TARGET_FACTOR;
		cores += p->cores;
	}
	return need > cores;
}

/* Sets how many VMs each pool's load asks for. */
static void flo_set_wanted(struct flo *f, double vm_cores)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		double each = flo_cores_each(p, vm_cores);

		p->wanted = 0;
		if (p->standby || each <= 0)
			continue;
		p->wanted = MAX((guint)ceil(p->load * FLO_TARGET_FACTOR / each),
				MIN(p->vms, flo_min_vms(p)));
	}
}

/* Returns the struct div_pool of all pools but standby ones. */
static GArray *flo_collect(struct flo *f, double vm_cores)
{
	GArray *pools = g_array_new(FALSE, TRUE, sizeof(struct div_pool));
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(f->pools, i);
		struct div_pool d = {
			.name = p->name,
			.held = p->vms,
			.movable = MIN(p->candidates->len, p->vms),
			.keep = flo_min_vms(p),
			.claim = MAX(p->floor, p->due ? 1 : 0),
			.vm_cores = flo_cores_each(p, vm_cores),
			.load = p->load,
			.in_time = p->in_time,
			.begun = p->begun,
			.late = p->late,
			.weight = 1,
			.empty_ms = flo_mean_empty_ms(p),
		};

		if (!p->standby)
			g_array_append_val(pools, d);
	}
	return pools;
}

/* Returns the mean time until a candidate of a pool is empty, ms. */
static double flo_mean_empty_ms(const struct flo_pool *p)
{
	double sum = 0;
	guint i;

	for (i = 0; i < p->candidates->len; i++)
		sum += g_array_index(p->candidates, struct flo_candidate, i)
			       .empty_ms;
	return p->candidates->len ? sum / p->candidates->len : 0;
}

/*
 * Sets each pool's weight to the mean of the organisations that wait or run
 * there, each counted once: with each job counted, an organisation's flood
 * would raise the weight of its pool.
 */
static void flo_weigh_callers(const struct flo *f, GArray *pools)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	GPtrArray *live = jtb_live(f->jtb);
	GHashTable *by_pool = g_hash_table_new(g_str_hash, g_str_equal);
	struct flo_callers *callers = g_new0(struct flo_callers, pools->len);
	guint i;

	for (i = 0; i < pools->len; i++) {
		callers[i].seen = g_hash_table_new(NULL, NULL);
		callers[i].priority = UINT32_MAX;
		g_hash_table_insert(
			by_pool,
			(char *)g_array_index(pools, struct div_pool, i).name,
			&callers[i]);
	}
	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const struct jtb_queue *q = jtb_queue(c, job->spec.queue);

		if (q && !jtb_job_ended(job))
			flo_add_caller(g_hash_table_lookup(by_pool, q->pool), q,
				       job, f->wall_ms);
	}
	for (i = 0; i < pools->len; i++) {
		struct div_pool *p = &g_array_index(pools, struct div_pool, i);
		guint n = g_hash_table_size(callers[i].seen);

		p->weight = n ? callers[i].weights / n : 1;
		p->priority = callers[i].priority;
		g_hash_table_destroy(callers[i].seen);
	}
	g_free(callers);
	g_hash_table_destroy(by_pool);
}

/* Counts a job's organisation; c may be NULL: the pool is not divided. */
static void flo_add_caller(struct flo_callers *c, const struct jtb_queue *q,
			   const struct jtb_job *job, int64_t wall)
{
	if (!c || sch_is_long_running(job))
		return;
	c->priority = MIN(c->priority, q->priority);
	if (!g_hash_table_contains(c->seen, job->use) &&
	    flo_chance(q, job, wall) != SCH_WORTHLESS) {
		g_hash_table_add(c->seen, job->use);
		c->weights += quo_weight(job->use);
	}
}

/* Takes over how many cores each pool should have. */
static void flo_set_entitled(struct flo *f, const GArray *pools, int64_t now)
{
	bool changed = !f->division.scarce;
	guint vms = 0;
	guint i;

	for (i = 0; i < pools->len; i++) {
		const struct div_pool *d =
			&g_array_index(pools, struct div_pool, i);
		struct flo_pool *p = flo_divided_pool(f, i);
		double cores = d->entitled * d->vm_cores;

		changed |= fabs(cores - p->entitled) >= d->vm_cores / 2;
		p->entitled = cores;
		p->entitled_vms = d->entitled;
		vms += d->held;
	}
	f->division.scarce = true;
	f->division.vms = vms;
	if (changed)
		f->division.changed_ms = now;
}

/* There are enough VMs: no pool is held to a share of them. */
static void flo_end_scarcity(struct flo *f, int64_t now)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->entitled = 0;
		p->entitled_vms = 0;
	}
	f->division.planned = 0;
	f->division.begun = 0;
	if (f->division.scarce)
		f->division.changed_ms = now;
	f->division.scarce = false;
}
