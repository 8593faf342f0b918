#include "sch_int.h"

/*
 * Isolated retries. A task that may have crashed its worker is retried alone:
 * on a worker where no other job's task has just started, and which gets
 * nothing else until the task has been observed running. If that worker crashes
 * as well, the task is to blame, otherwise it is cleared; tasks that run beside
 * it become suspects in neither case.
 */

/*
 * How long a worker stays reserved for an isolated retry after the last plan
 * that asked for it, ms.
 */
#define SCH_RETRY_RESERVE_MS 500

/*
 * Lowers the score of a worker for an isolated retry if its rack has just lost
 * another one; more than all that raises a score.
 */
#define SCH_LOST_RACK_SCORE 8

/*
 * At most one in this many workers of a pool is reserved for isolated retries.
 */
#define SCH_RETRY_WORKERS_SHARE 4

static bool sch_just_started(const struct jtb_run *run);
static guint sch_count_just_started(const struct jtb_worker *w,
				    const struct jtb_job *job);
static bool sch_is_quiet(const struct jtb_worker *w, const struct jtb_job *job);
static void sch_reserve_for_retry(struct sch_pool *p, const struct jtb_job *job,
				  const struct jtb_step *s, bool failed_before);

/*
 * Whether a task is suspected of having crashed a worker; for a gang, whether
 * any of its members is.
 */
bool sch_is_suspect_task(const struct jtb_job *job, uint32_t step,
			 uint32_t index)
{
	bool gang = job->spec.steps[step].flags & JTB_GANG;
	guint i;

	for (i = 0; job->suspects && i < job->suspects->len; i++) {
		const struct jtb_suspect *s =
			&g_array_index(job->suspects, struct jtb_suspect, i);

		/*
		 * A single crash shared with other workers, such as a rack that
		 * lost its power, does not make a task suspect.
		 */
		if (s->step == step && (gang || s->index == index) &&
		    (s->crashes > s->correlated_crashes || s->crashes > 1))
			return true;
	}
	return false;
}

/*
 * Returns for how long a run has been observed running, ms, or a value of enum
 * sch_observed.
 */
int64_t sch_observed_ms(const struct jtb_run *run)
{
	int64_t seen = run->last_running_ms - run->first_running_ms;

	if (run->inherited &&
	    (!run->first_running_ms || seen < SCH_JUST_STARTED_MS))
		return SCH_UNKNOWN;
	return run->first_running_ms ? seen : SCH_NOT_OBSERVED;
}

/* Whether a run has just started, or has not been observed running yet. */
static bool sch_just_started(const struct jtb_run *run)
{
	int64_t seen = sch_observed_ms(run);

	return seen != SCH_UNKNOWN && seen < SCH_JUST_STARTED_MS;
}

/*
 * Returns the number of runs of other jobs on a worker that have just started.
 */
static guint sch_count_just_started(const struct jtb_worker *w,
				    const struct jtb_job *job)
{
	guint n = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		n += run->job != job && sch_just_started(run);
	}
	return n;
}

/*
 * Whether no other job has a run just started, or a start proposed, on a
 * worker.
 */
static bool sch_is_quiet(const struct jtb_worker *w, const struct jtb_job *job)
{
	bool own = w->isolated_for == job->seq + 1 && w->isolated_started;
	bool planned = w->proposed_cpu || w->proposed_mem || w->proposed_gpus;

	return (own || !planned) && !sch_count_just_started(w, job);
}

/*
 * Continues or ends an isolated retry on a worker: it ends once all runs of the
 * job there are over or have been observed running for long enough.
 */
void sch_update_isolation(const struct sch_pool *p, struct jtb_worker *w)
{
	bool active = w->proposed_cpu || w->proposed_mem || w->proposed_gpus;
	guint i;

	if (!w->isolated_for || !w->isolated_started)
		return;
	for (i = 0; i < w->runs->len && !active; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		active = run->job->seq + 1 == w->isolated_for &&
			 sch_just_started(run);
	}
	if (active)
		w->isolated_ms = p->v->now_ms;
	else
		w->isolated_for = 0;
}

/* Whether a worker is reserved for an isolated retry of another job. */
bool sch_is_reserved_for_retry(const struct sch_pool *p,
			       const struct jtb_worker *w,
			       const struct jtb_job *job)
{
	return w->isolated_for && w->isolated_for != job->seq + 1 &&
	       p->v->now_ms - w->isolated_ms < SCH_RETRY_RESERVE_MS;
}

/*
 * Returns the worker for the isolated retry of a task: of those without recent
 * starts, the one whose loss would cost least. A rack that has just lost a
 * worker comes last: when it loses its power, its idle workers look the best
 * until an order to them goes unanswered, and an innocent task that is retried
 * there is blamed again each time. Returns NULL if there is no worker; one is
 * then reserved until its recent starts have been observed running.
 * failed_before: an earlier attempt of the task failed.
 */
struct jtb_worker *sch_place_isolated(struct sch_pool *p,
				      const struct jtb_job *job,
				      const struct jtb_step *s,
				      bool failed_before)
{
	struct jtb_worker *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double score = -(double)w->used_cpu / MAX(1, w->info.cpu);

		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_is_backed_off(p, w, s, failed_before) ||
		    sch_is_reserved(p, w) ||
		    sch_is_reserved_for_retry(p, w, job) ||
		    !sch_is_quiet(w, job))
			continue;
		if (sch_runs_long_running(w))
			score -= 2;
		if (w->isolated_for == job->seq + 1)
			score += 4;
		if (p->v->rack_lost && p->v->rack_lost(p->v->arg, w))
			score -= SCH_LOST_RACK_SCORE;
		if (best && score <= best_score)
			continue;
		best = w;
		best_score = score;
	}
	if (best)
		sch_start_isolated(p, best, job);
	else
		sch_reserve_for_retry(p, job, s, failed_before);
	return best;
}

/*
 * Marks a worker as reserved for the isolated retry of a job that starts there
 * now.
 */
void sch_start_isolated(const struct sch_pool *p, struct jtb_worker *w,
			const struct jtb_job *job)
{
	w->isolated_for = job->seq + 1;
	w->isolated_ms = p->v->now_ms;
	w->isolated_started = true;
}

/*
 * Excludes the workers with recent starts of other jobs, for the isolated retry
 * of a gang.
 */
void sch_exclude_busy(struct sch_pool *p, const struct jtb_job *job)
{
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->excluded = w->excluded || !sch_is_quiet(w, job);
	}
	/* makes the next step determine its excluded workers anew */
	p->excluded = true;
}

/*
 * Reserves the worker with the fewest recent starts, so that no more are added:
 * at full load new tasks would otherwise start on every worker all the time.
 */
static void sch_reserve_for_retry(struct sch_pool *p, const struct jtb_job *job,
				  const struct jtb_step *s, bool failed_before)
{
	struct jtb_worker *best = NULL;
	guint best_starts = 0;
	guint reserved = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		guint starts = sch_count_just_started(w, job);

		if (sch_is_reserved_for_retry(p, w, job)) {
			reserved++;
			continue;
		}
		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_is_backed_off(p, w, s, failed_before) ||
		    sch_is_reserved(p, w))
			continue;
		if (w->isolated_for == job->seq + 1) {
			w->isolated_ms = p->v->now_ms;
			return;
		}
		if (best && starts >= best_starts)
			continue;
		best = w;
		best_starts = starts;
	}
	if (!best ||
	    reserved >= MAX(1, p->workers->len / SCH_RETRY_WORKERS_SHARE))
		return;
	best->isolated_for = job->seq + 1;
	best->isolated_ms = p->v->now_ms;
	best->isolated_started = false;
}
