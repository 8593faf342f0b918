#include "flo_int.h"

#include <math.h>

/*
 * Measures the capacity and the load of each pool from its VMs, its jobs and
 * the rate of new jobs.
 */

static void flo_measure_vms(struct flo *f);
static double flo_slowness(const struct jtb_worker *w);
static void flo_measure_jobs(struct flo *f, int64_t wall);
static guint flo_count_gang_vms(const struct flo *f, const struct flo_pool *p,
				const struct jtb_job *job, int64_t wall);
static double flo_tasks_per_vm(const struct flo_pool *p,
			       const struct jtb_step *step);
static double flo_add_job(struct flo_pool *p, const struct jtb_queue *q,
			  const struct jtb_job *job, int64_t wall);
static double flo_limited_cores(const struct jtb_job *job, double cores);
static double flo_running_cores(const struct jtb_job *job);
static bool flo_has_due_task(const struct jtb_job *job, int64_t wall);
static void flo_add_demand(struct flo_pool *p, enum sch_chance chance,
			   double cores);

/* Measures all pools. */
void flo_measure_pools(struct flo *f, int64_t now, int64_t wall)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->cores = 0;
		p->mem_mb = 0;
		p->used = 0;
		p->load = 0;
		p->in_time = 0;
		p->begun = 0;
		p->late = 0;
		p->floor = 0;
		p->long_running = 0;
		p->jobs = 0;
		p->due = 0;
		p->vms_at_once = 0;
		p->vms = 0;
		p->coming = 0;
		p->going = 0;
	}
	for (i = 0; i < c->pools->len; i++) {
		const struct jtb_pool *p = g_ptr_array_index(c->pools, i);

		flo_get_pool(f, p->name)->standby = p->standby;
		if (f->ops->floor && !p->standby)
			flo_get_pool(f, p->name)->floor =
				MIN(f->ops->floor(f->arg, p->name),
				    vms_all(f->vms)->len);
	}
	flo_measure_vms(f);
	flo_measure_jobs(f, wall);
	flo_update_rates(f, now, wall);
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (!p->standby && p->load > FLO_BUSY_SHARE * p->cores)
			p->busy_ms = now;
		if (p->cores <=
			    MAX(p->load * FLO_SPARE_FACTOR, flo_min_cores(p)) ||
		    !p->busy_ms || p->growing)
			p->spare_ms = 0;
		else if (!p->spare_ms)
			p->spare_ms = now;
	}
}

/* Adds up the capacity of each pool's VMs. */
static void flo_measure_vms(struct flo *f)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		const struct flo_move *m = flo_find_move(f, vm->name);
		const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
		struct flo_pool *p =
			flo_get_pool(f, m && !m->finished ? m->to : vm->pool);

		if (w)
			flo_get_pool(f, vm->pool)->used +=
				(w->used_cpu + w->proposed_cpu) / 1000.0;
		if (m && !m->finished)
			flo_get_pool(f, m->from)->going++;
		/*
		 * a VM in upkeep or being drained for it provides no capacity
		 */
		if (vm->state == VMS_DOWN ||
		    f->ops->is_pinned(f->arg, vm->name))
			continue;
		p->vms++;
		p->cores += flo_vm_cores(f, vm);
		p->mem_mb += vm->mem_mb;
		p->coming += vm->state == VMS_MOVING || (m && !m->finished);
	}
}

/*
 * Returns the cores that a VM counts with in its pool: a slow one does as much
 * as fewer cores would. A pool gains and loses the same cores with the VM: when
 * all cores of slow VMs were taken off, a pool that kept fast VMs had none left.
 */
double flo_vm_cores(const struct flo *f, const struct vms_vm *vm)
{
	const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);

	return vm->cpu / 1000.0 / (w ? flo_slowness(w) : 1);
}

/* Returns how many times as long as elsewhere tasks take on a worker. */
static double flo_slowness(const struct jtb_worker *w)
{
	return slw_is_slow(&w->speed) ? slw_ratio(&w->speed) : 1;
}

/* Adds up the load of each pool's jobs. */
static void flo_measure_jobs(struct flo *f, int64_t wall)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	GPtrArray *live = jtb_live(f->jtb);
	guint i;

	quo_reset_planned(jtb_usage(f->jtb));
	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const struct jtb_queue *q = jtb_queue(c, job->spec.queue);
		struct flo_pool *p;
		double cores;

		if (!q || jtb_job_ended(job))
			continue;
		p = flo_get_pool(f, q->pool);
		p->jobs++;
		p->due += flo_has_due_task(job, wall);
		p->vms_at_once =
			MAX(p->vms_at_once, sch_min_workers(job, wall));
		p->vms_at_once = MAX(p->vms_at_once,
				     flo_count_gang_vms(f, p, job, wall));
		cores = flo_add_job(p, q, job, wall);
		if (sch_is_long_running(job))
			p->long_running += cores;
		p->load += cores;
	}
}

/*
 * Adds a job to its pool's demand by what it can still achieve, and returns the
 * cores that it will need when a VM fetched now has arrived.
 * What waits will still wait then, and counts by its weight. Of what runs,
 * tasks with little time left will have ended. With these counted in full, a
 * pool kept VMs beyond the end of its burst while the next burst waited for
 * them; with these left out, VMs were moved away in the middle of a burst and
 * fetched again.
 */
static double flo_add_job(struct flo_pool *p, const struct jtb_queue *q,
			  const struct jtb_job *job, int64_t wall)
{
	static const double weights[] = {
		[SCH_IN_TIME] = 1,
		[SCH_LATE] = FLO_LATE_WEIGHT,
		[SCH_WORTHLESS] = 0,
	};
	enum sch_chance chance = flo_chance(q, job, wall);
	double core_mb = p->cores && p->mem_mb ? p->mem_mb / p->cores
					       : FLO_DEFAULT_CORE_MB;
	double usable =
		flo_limited_cores(job, sch_usable_cores(job, wall, core_mb));
	double runs;
	double left_ms;

	if (sch_is_long_running(job) || usable <= 0) {
		p->in_time += MAX(usable, 0);
		return usable;
	}
	runs = MIN(usable, flo_running_cores(job));
	left_ms = sch_remaining_work(job, wall) / usable * 1000;
	usable -= runs;
	runs *= MIN(1, left_ms / FLO_FETCH_MS);
	flo_add_demand(p, chance, usable + runs);
	if (chance == SCH_IN_TIME && job->started)
		p->begun += usable + runs;
	return usable * weights[chance] + runs;
}

/* Adds cores to a pool's demand; work of no use is no demand. */
static void flo_add_demand(struct flo_pool *p, enum sch_chance chance,
			   double cores)
{
	if (chance == SCH_IN_TIME)
		p->in_time += cores;
	else if (chance == SCH_LATE)
		p->late += cores;
}

/*
 * Returns the part of cores that a job may use within its organisation's limit,
 * beside the jobs before it. Load: an organisation submits several times its
 * limit. Harm: its pool would fetch VMs on which nothing may start.
 */
static double flo_limited_cores(const struct jtb_job *job, double cores)
{
	double left = quo_free_cores(job->use);

	if (left < 0)
		return cores;
	cores = MIN(cores, MAX(left, flo_running_cores(job)));
	job->use->planned_cores += cores;
	return cores;
}

/*
 * Returns the cores of a job's runs and of its starts that are not committed.
 */
static double flo_running_cores(const struct jtb_job *job)
{
	double cores = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns; t++)
		for (s = 0; job->turns[t].steps && s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			const struct jtb_step_state *part =
				&job->turns[t].steps[s];

			if (!(step->flags & JTB_BEST_EFFORT))
				cores += (part->n_runs + part->n_proposed) *
					 (step->cpu / 1000.0);
		}
	return cores;
}

/*
 * Returns how many mean VMs of a pool the largest due gang of a job needs: a
 * gang starts as a whole or not at all, whatever its weight. Returns 0 for a
 * gang that is larger than all VMs, for which VMs would wait for ever.
 */
static guint flo_count_gang_vms(const struct flo *f, const struct flo_pool *p,
				const struct jtb_job *job, int64_t wall)
{
	guint most = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; p->vms && t < job->n_turns && wall >= jtb_turn_due(job, t);
	     t++)
		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			double each;

			if (!(step->flags & JTB_GANG) ||
			    job->turns[t].done & 1ULL << s ||
			    !jtb_step_due(job, t, s, wall))
				continue;
			each = flo_tasks_per_vm(p, step);
			if (each >= 1)
				most = MAX(most, (guint)ceil(step->count /
							     floor(each)));
		}
	return most > vms_all(f->vms)->len ? 0 : most;
}

/* Returns how many tasks of a step fit on the mean VM of a pool. */
static double flo_tasks_per_vm(const struct flo_pool *p,
			       const struct jtb_step *step)
{
	double each = step->count;

	if (step->cpu && !(step->flags & JTB_BEST_EFFORT))
		each = MIN(each, p->cores * 1000 / p->vms / step->cpu);
	if (step->mem_mb)
		each = MIN(each, p->mem_mb / p->vms / step->mem_mb);
	return each;
}

/* Whether a job has tasks that could run now, whatever its weight. */
static bool flo_has_due_task(const struct jtb_job *job, int64_t wall)
{
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall >= jtb_turn_due(job, t); t++)
		for (s = 0; s < job->spec.n_steps; s++)
			if (!(job->turns[t].done & 1ULL << s) &&
			    jtb_step_due(job, t, s, wall))
				return true;
	return false;
}

/*
 * Returns what a job can still achieve. A repeated job is never late by the
 * time since it was accepted, as in plans.
 */
enum sch_chance flo_chance(const struct jtb_queue *q, const struct jtb_job *job,
			   int64_t wall)
{
	if (sch_is_long_running(job) || job->spec.repeats)
		return SCH_IN_TIME;
	return sch_chance(q, job, wall);
}

/*
 * Returns the number of VMs that a pool keeps without load: as many as one of
 * its steps needs at once, for tasks on separate workers or for a gang, and one
 * more so that one of them can have its upkeep; and no fewer than its operator
 * wants.
 */
guint flo_min_vms(const struct flo_pool *p)
{
	guint at_once = p->vms_at_once ? p->vms_at_once + 1 : 0;

	return MAX(MAX(FLO_MIN_VMS, at_once), p->floor);
}

/* Returns the cores that a pool keeps without load. */
double flo_min_cores(const struct flo_pool *p)
{
	return p->vms ? flo_min_vms(p) * p->cores / p->vms : 0;
}

/*
 * Returns the estimated remaining time of a run, ms: by its progress once there
 * is enough, by its caller's estimate before. Negative if it is overdue.
 */
int64_t flo_estimate_remaining_ms(const struct jtb_run *run, int64_t now)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	int64_t left;

	if (!run->first_running_ms)
		return s->estimate_ms;
	if (run->percent < FLO_MIN_PROGRESS_PERCENT)
		return s->estimate_ms - (now - run->first_running_ms);
	left = (run->progress_ms - run->first_running_ms) *
	       (100 - run->percent) / run->percent;
	return left - (now - run->progress_ms);
}
