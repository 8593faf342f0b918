#include "flo_int.h"

#include <math.h>

/* What each pool has and needs, by its VMs, its jobs and how these come. */

static void flo_measure_vms(struct flo *f);
static void flo_measure_jobs(struct flo *f, int64_t wall);
static guint flo_gang_vms(const struct flo *f, const struct flo_pool *p,
			  const struct jtb_job *job, int64_t wall);
static double flo_on_one(const struct flo_pool *p, const struct jtb_step *step);
static double flo_cores(const struct flo_pool *p, const struct jtb_queue *q,
			const struct jtb_job *job, int64_t wall);
static double flo_at_work(const struct jtb_job *job);
static bool flo_due(const struct jtb_job *job, int64_t wall);
static double flo_weight(const struct jtb_queue *q, const struct jtb_job *job,
			 int64_t wall);

/* Takes stock of all pools, before anything is decided. */
void flo_measure(struct flo *f, int64_t now, int64_t wall)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->cores = 0;
		p->mem_mb = 0;
		p->used = 0;
		p->load = 0;
		p->lasting = 0;
		p->jobs = 0;
		p->due = 0;
		p->apart = 0;
		p->vms = 0;
		p->coming = 0;
		p->going = 0;
	}
	for (i = 0; i < c->pools->len; i++) {
		const struct jtb_pool *p = g_ptr_array_index(c->pools, i);

		flo_pool_at(f, p->name)->standby = p->standby;
	}
	flo_measure_vms(f);
	flo_measure_jobs(f, wall);
	flo_rate(f, now, wall);
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (!p->standby && p->load > FLO_BUSY * p->cores)
			p->busy_ms = now;
		if (p->cores <= MAX(p->load * FLO_SPARE, flo_least(p)) ||
		    !p->busy_ms || p->grows)
			p->spare_ms = 0;
		else if (!p->spare_ms)
			p->spare_ms = now;
	}
}

/* Adds up the room of each pool's VMs. */
static void flo_measure_vms(struct flo *f)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		const struct flo_move *m = flo_move_of(f, vm->name);
		const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
		struct flo_pool *p =
			flo_pool_at(f, m && !m->over ? m->to : vm->pool);

		if (w)
			flo_pool_at(f, vm->pool)->used +=
				(w->used_cpu + w->proposed_cpu) / 1000.0;
		if (m && !m->over)
			flo_pool_at(f, m->from)->going++;
		/* one that is being emptied for its upkeep gives no room */
		if (vm->state == VMS_DOWN || f->ops->held(f->arg, vm->name))
			continue;
		p->vms++;
		p->cores += vm->cpu / 1000.0;
		p->mem_mb += vm->mem_mb;
		p->coming += vm->state == VMS_MOVING || (m && !m->over);
	}
}

/* Adds up what the jobs of each pool need. */
static void flo_measure_jobs(struct flo *f, int64_t wall)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	GPtrArray *live = jtb_live(f->jtb);
	guint i;

	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const struct jtb_queue *q = jtb_queue(c, job->spec.queue);
		struct flo_pool *p;
		double cores;

		if (!q || jtb_job_ended(job))
			continue;
		p = flo_pool_at(f, q->pool);
		p->jobs++;
		p->due += flo_due(job, wall);
		p->apart = MAX(p->apart, sch_apart(job, wall));
		p->apart = MAX(p->apart, flo_gang_vms(f, p, job, wall));
		cores = flo_cores(p, q, job, wall);
		if (sch_lasts(job))
			p->lasting += cores;
		p->load += cores;
	}
}

/*
 * Cores that a job will need once a VM that is fetched now has come: what waits
 * is still there then, as far as it has a chance to be worth something. Of what
 * runs most will have ended that hasn't much left. Counted as if it went on, a
 * pool kept VMs beyond the end of its burst while the next burst waited for
 * them; left out, VMs left in the middle of a burst and were fetched again.
 */
static double flo_cores(const struct flo_pool *p, const struct jtb_queue *q,
			const struct jtb_job *job, int64_t wall)
{
	double core_mb =
		p->cores && p->mem_mb ? p->mem_mb / p->cores : FLO_CORE_MB;
	double usable = sch_usable_cores(job, wall, core_mb);
	double runs;
	double left_ms;

	if (sch_lasts(job) || usable <= 0)
		return usable;
	runs = MIN(usable, flo_at_work(job));
	left_ms = sch_undone(job, wall) / usable * 1000;
	return (usable - runs) * flo_weight(q, job, wall) +
	       runs * MIN(1, left_ms / FLO_FETCH_MS);
}

/* Cores of a job's runs, and of its starts that aren't final. */
static double flo_at_work(const struct jtb_job *job)
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
 * VMs of a pool's kind that the largest gang of a job needs which is due: it
 * starts whole or not at all, whatever it is worth. 0 for one that is larger
 * than all VMs, and for which they would wait for good.
 */
static guint flo_gang_vms(const struct flo *f, const struct flo_pool *p,
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
			each = flo_on_one(p, step);
			if (each >= 1)
				most = MAX(most, (guint)ceil(step->count /
							     floor(each)));
		}
	return most > vms_all(f->vms)->len ? 0 : most;
}

/* How many tasks of a step the mean VM of a pool holds. */
static double flo_on_one(const struct flo_pool *p, const struct jtb_step *step)
{
	double each = step->count;

	if (step->cpu && !(step->flags & JTB_BEST_EFFORT))
		each = MIN(each, p->cores * 1000 / p->vms / step->cpu);
	if (step->mem_mb)
		each = MIN(each, p->mem_mb / p->vms / step->mem_mb);
	return each;
}

/* Whether a job has tasks that could run now, whatever they are worth. */
static bool flo_due(const struct jtb_job *job, int64_t wall)
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
 * How much a job's wish for room counts beside one that can be in time. What
 * is repeated by the clock is never late by when it was accepted, and goes by
 * the same rule as in plans.
 */
static double flo_weight(const struct jtb_queue *q, const struct jtb_job *job,
			 int64_t wall)
{
	static const double weights[] = {
		[SCH_IN_TIME] = 1,
		[SCH_LATE] = FLO_LATE,
		[SCH_HOPELESS] = 0,
	};

	if (sch_lasts(job) || job->spec.repeats)
		return 1;
	return weights[sch_chance(q, job, wall)];
}

/*
 * VMs that a pool keeps without load: as many as keep its tasks apart that
 * must be, and one more, so that one of them can have its upkeep.
 */
guint flo_least_vms(const struct flo_pool *p)
{
	return MAX(FLO_LEAST, p->apart ? p->apart + 1 : 0);
}

/* Cores that a pool keeps without load. */
double flo_least(const struct flo_pool *p)
{
	return p->vms ? flo_least_vms(p) * p->cores / p->vms : 0;
}

/*
 * How much longer a run is likely to go on, ms: by its progress once there is
 * some, by its caller's guess before. Below 0: it is overdue.
 */
int64_t flo_left_ms(const struct jtb_run *run, int64_t now)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	int64_t left;

	if (!run->first_running_ms)
		return s->estimate_ms;
	if (run->percent < FLO_TOLD_PERCENT)
		return s->estimate_ms - (now - run->first_running_ms);
	left = (run->progress_ms - run->first_running_ms) *
	       (100 - run->percent) / run->percent;
	return left - (now - run->progress_ms);
}
