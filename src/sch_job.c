#include "sch.h"

/* What a job needs, and what it can still reach, by its caller's guesses. */

/* A job that takes longer than so many times its objective is worth nothing. */
#define SCH_LATE_FACTOR 3

/* How much longer a job's work takes than its caller guessed. */
static double sch_scale(const struct jtb_job *job)
{
	return job->estimate_ratio > 0 ? job->estimate_ratio : 1;
}

/* How long a job may take to be worth all it can be, ms. */
int64_t sch_objective_ms(const struct jtb_queue *q, const struct jtb_job *job)
{
	return (int64_t)(q->stretch * job->critical_path_ms * sch_scale(job)) +
	       q->slack_ms;
}

/* What a job can still reach if it gets all the room it wants from now on. */
enum sch_chance sch_chance(const struct jtb_queue *q, const struct jtb_job *job,
			   int64_t wall_ms)
{
	double left = job->core_seconds > 0
			      ? sch_undone(job, wall_ms) / job->core_seconds
			      : 1;
	int64_t age = wall_ms - job->accepted_ms;
	int64_t limit = sch_objective_ms(q, job);
	int64_t need = (int64_t)(job->critical_path_ms * sch_scale(job) * left);

	if (age + need <= limit)
		return SCH_IN_TIME;
	return age + need <= SCH_LATE_FACTOR * limit ? SCH_LATE : SCH_HOPELESS;
}

/*
 * Core-seconds of a job that are not done, by its guesses, of all times that
 * it is due.
 */
double sch_undone(const struct jtb_job *job, int64_t wall_ms)
{
	double undone = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall_ms >= jtb_turn_due(job, t); t++) {
		const struct jtb_turn *turn = &job->turns[t];
		double left = job->core_seconds;

		for (s = 0; turn->steps && s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];

			left -= turn->steps[s].n_done * (step->cpu / 1000.0) *
				(step->estimate_ms / 1000.0);
		}
		undone += MAX(left, 0);
	}
	return undone;
}

/*
 * Workers that the tasks of a job's steps need which must be kept apart, in
 * any of the times that are due: a gang of a later one is placed whole or not
 * at all, as that of the first.
 */
uint32_t sch_apart(const struct jtb_job *job, int64_t wall_ms)
{
	uint32_t most = 0;
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall_ms >= jtb_turn_due(job, t); t++) {
		const struct jtb_turn *turn = &job->turns[t];

		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			uint32_t left = step->count;

			if (!step->max_per_worker ||
			    !jtb_step_due(job, t, s, wall_ms))
				continue;
			left -= turn->steps ? turn->steps[s].n_done : 0;
			most = MAX(most, (left + step->max_per_worker - 1) /
						 step->max_per_worker);
		}
	}
	return most;
}

/*
 * Cores that a job could use now: what runs of it, and what is due to. Tasks
 * that need much memory take the cores beside it with them; core_mb is the
 * memory that a worker has for each core.
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
			uint32_t done = turn->steps ? turn->steps[s].n_done : 0;

			if (step->flags & JTB_BEST_EFFORT ||
			    !jtb_step_due(job, t, s, wall_ms))
				continue;
			cores +=
				(step->count - done) *
				MAX(step->cpu / 1000.0, step->mem_mb / core_mb);
		}
	}
	return cores;
}

/* Whether work of a job runs until it is cancelled. */
bool sch_lasts(const struct jtb_job *job)
{
	uint32_t s;

	for (s = 0; s < job->spec.n_steps; s++)
		if (job->spec.steps[s].flags & JTB_LONG_RUNNING)
			return true;
	return false;
}

/* Whether work that lasts runs on a worker. */
bool sch_has_lasting(const struct jtb_worker *w)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);

		if (r->job->spec.steps[r->step].flags & JTB_LONG_RUNNING)
			return true;
	}
	return false;
}

/*
 * Whether a run that ended tells how long its task takes, from its order on.
 * led_ms: since when we lead; when an earlier leader ordered a run isn't known.
 */
bool sch_tells_time(const struct jtb_run *run, enum jtb_end how, int64_t led_ms)
{
	uint32_t flags = run->job->spec.steps[run->step].flags;

	if (how != JTB_DONE ||
	    flags & (JTB_LONG_RUNNING | JTB_GANG | JTB_BEST_EFFORT))
		return false;
	/* a later try may go on from saved progress, and take only the rest */
	return run->attempt == 1 && run->ordered_ms > led_ms;
}
