#include "sch.h"

/*
 * What a job needs, and what it can still achieve, by its caller's estimates.
 */

/* A job that takes longer than this many times its objective has no value. */
#define SCH_WORTHLESS_FACTOR 3

/*
 * Returns the ratio of a job's expected task times to its caller's estimates.
 */
static double sch_time_scale(const struct jtb_job *job)
{
	return job->scale > 0 ? job->scale : 1;
}

/* Returns the time within which a job must complete for its full value, ms. */
int64_t sch_objective_ms(const struct jtb_queue *q, const struct jtb_job *job)
{
	return (int64_t)(q->stretch * job->chain_ms * sch_time_scale(job)) +
	       q->slack_ms;
}

/*
 * Returns what a job can still achieve if it gets all the capacity it can use
 * from now on.
 */
enum sch_chance sch_chance(const struct jtb_queue *q, const struct jtb_job *job,
			   int64_t wall_ms)
{
	double left = job->work > 0
			      ? sch_remaining_work(job, wall_ms) / job->work
			      : 1;
	int64_t age = wall_ms - job->accepted_ms;
	int64_t limit = sch_objective_ms(q, job);
	int64_t need = (int64_t)(job->chain_ms * sch_time_scale(job) * left);

	if (age + need <= limit)
		return SCH_IN_TIME;
	return age + need <= SCH_WORTHLESS_FACTOR * limit ? SCH_LATE
							  : SCH_WORTHLESS;
}

/*
 * Returns the core-seconds of a job that are not done, by its estimates, over
 * all turns that are due.
 */
double sch_remaining_work(const struct jtb_job *job, int64_t wall_ms)
{
	double undone = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall_ms >= jtb_turn_due(job, t); t++) {
		const struct jtb_turn *turn = &job->turns[t];
		double left = job->work;

		for (s = 0; turn->parts && s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];

			left -= turn->parts[s].n_done * (step->cpu / 1000.0) *
				(step->guess_ms / 1000.0);
		}
		undone += MAX(left, 0);
	}
	return undone;
}

/*
 * Returns the least number of workers that a job needs for its steps with a
 * limit of tasks per worker, in any turn that is due: a gang of a later turn is
 * placed whole or not at all, like that of the first.
 */
uint32_t sch_min_workers(const struct jtb_job *job, int64_t wall_ms)
{
	uint32_t most = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall_ms >= jtb_turn_due(job, t); t++) {
		const struct jtb_turn *turn = &job->turns[t];

		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			uint32_t left = step->count;

			if (!step->per_worker ||
			    !jtb_step_due(job, t, s, wall_ms))
				continue;
			left -= turn->parts ? turn->parts[s].n_done : 0;
			most = MAX(most, (left + step->per_worker - 1) /
						 step->per_worker);
		}
	}
	return most;
}

/*
 * Returns the number of cores that a job could use now, for running tasks and
 * those that are due. Tasks that need much memory also occupy the cores that
 * belong to it; core_mb is a worker's memory per core.
 */
double sch_usable_cores(const struct jtb_job *job, int64_t wall_ms,
			double core_mb)
{
	double cores = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns; t++) {
		const struct jtb_turn *turn = &job->turns[t];

		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			uint32_t done = turn->parts ? turn->parts[s].n_done : 0;

			if (step->flags & JTB_FILLS ||
			    !jtb_step_due(job, t, s, wall_ms))
				continue;
			cores +=
				(step->count - done) *
				MAX(step->cpu / 1000.0, step->mem_mb / core_mb);
		}
	}
	return cores;
}

/* Whether a job has a step that runs until it is cancelled. */
bool sch_is_long_running(const struct jtb_job *job)
{
	uint32_t s;

	for (s = 0; s < job->spec.n_steps; s++)
		if (job->spec.steps[s].flags & JTB_LASTS)
			return true;
	return false;
}

/* Whether a long-running task runs on a worker. */
bool sch_runs_long_running(const struct jtb_worker *w)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);

		if (r->job->spec.steps[r->step].flags & JTB_LASTS)
			return true;
	}
	return false;
}

/*
 * Whether the time from the order to the end of a run is a valid sample of its
 * task's duration. led_ms is when this leader's term began: when an earlier
 * leader ordered a run isn't known.
 */
bool sch_is_time_sample(const struct jtb_run *run, enum jtb_end how,
			int64_t led_ms)
{
	uint32_t flags = run->job->spec.steps[run->step].flags;

	if (how != JTB_DONE || flags & (JTB_LASTS | JTB_GANG | JTB_FILLS))
		return false;
	/*
	 * A later attempt may resume from saved progress and run only the rest.
	 */
	return run->attempt == 1 && run->ordered_ms > led_ms;
}
