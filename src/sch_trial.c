#include "sch_int.h"

/*
 * Tasks under which a worker may have crashed are tried alone: on a worker on
 * which nothing else has just begun, and which gets nothing else until they have
 * been seen at work. If it crashes as well they are guilty, if not they are
 * cleared, and what runs beside them is nobody's suspect in either case.
 */

/* A worker is kept for a trial so long after the last plan that wanted it, ms. */
#define SCH_TRIAL_MS 500

/* One in so many workers of a pool is kept for trials at most. */
#define SCH_TRIAL_SHARE 4

static bool sch_fresh(const struct jtb_run *run);
static guint sch_fresh_others(const struct jtb_worker *w,
			      const struct jtb_job *job);
static bool sch_calm(const struct jtb_worker *w, const struct jtb_job *job);
static void sch_reserve(struct sch_pool *p, const struct jtb_job *job,
			const struct jtb_step *s, bool again);

/* Whether a worker may have crashed under a task of a step; any of a gang. */
bool sch_suspected(const struct jtb_job *job, uint32_t step, uint32_t index)
{
	bool gang = job->spec.steps[step].flags & JTB_GANG;
	guint i;

	for (i = 0; job->suspects && i < job->suspects->len; i++) {
		const struct jtb_suspect *s =
			&g_array_index(job->suspects, struct jtb_suspect, i);

		/* one rack that lost its power is nobody's fault */
		if (s->step == step && (gang || s->index == index) &&
		    (s->crashes > s->correlated_crashes || s->crashes > 1))
			return true;
	}
	return false;
}

/* For how long a run has been seen at work, ms, or one of enum sch_seen. */
int64_t sch_seen_ms(const struct jtb_run *run)
{
	int64_t seen = run->last_running_ms - run->first_running_ms;

	if (run->inherited && (!run->first_running_ms || seen < SCH_FRESH_MS))
		return SCH_UNKNOWN;
	return run->first_running_ms ? seen : SCH_UNSEEN;
}

/* Whether a run has just begun, or isn't known to have. */
static bool sch_fresh(const struct jtb_run *run)
{
	int64_t seen = sch_seen_ms(run);

	return seen != SCH_UNKNOWN && seen < SCH_FRESH_MS;
}

/* Runs of other jobs on a worker that have just begun. */
static guint sch_fresh_others(const struct jtb_worker *w,
			      const struct jtb_job *job)
{
	guint n = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		n += run->job != job && sch_fresh(run);
	}
	return n;
}

/* Whether nothing of other jobs begins on a worker. */
static bool sch_calm(const struct jtb_worker *w, const struct jtb_job *job)
{
	bool own = w->isolated_for == job->seq + 1 && w->isolated_started;
	bool planned = w->proposed_cpu || w->proposed_mem || w->proposed_gpus;

	return (own || !planned) && !sch_fresh_others(w, job);
}

/*
 * Goes on with a trial on a worker, or ends it: once all that was tried is over,
 * or has been at work for long enough.
 */
void sch_trial_look(const struct sch_pool *p, struct jtb_worker *w)
{
	bool goes_on = w->proposed_cpu || w->proposed_mem || w->proposed_gpus;
	guint i;

	if (!w->isolated_for || !w->isolated_started)
		return;
	for (i = 0; i < w->runs->len && !goes_on; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		goes_on =
			run->job->seq + 1 == w->isolated_for && sch_fresh(run);
	}
	if (goes_on)
		w->isolated_ms = p->v->now_ms;
	else
		w->isolated_for = 0;
}

/* Whether a worker is kept for the trial of another job. */
bool sch_reserved(const struct sch_pool *p, const struct jtb_worker *w,
		  const struct jtb_job *job)
{
	return w->isolated_for && w->isolated_for != job->seq + 1 &&
	       p->v->now_ms - w->isolated_ms < SCH_TRIAL_MS;
}

/*
 * A worker for a task that is to be tried alone: of those that are calm the one
 * on which least would be lost, or NULL. Then one is kept until it is calm.
 */
struct jtb_worker *sch_trial(struct sch_pool *p, const struct jtb_job *job,
			     const struct jtb_step *s, bool again)
{
	struct jtb_worker *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double score = -(double)w->used_cpu / MAX(1, w->info.cpu);

		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_shunned(p, w, s, again) || sch_is_kept(p, w) ||
		    sch_reserved(p, w, job) || !sch_calm(w, job))
			continue;
		if (sch_has_lasting(w))
			score -= 2;
		if (w->isolated_for == job->seq + 1)
			score += 4;
		if (best && score <= best_score)
			continue;
		best = w;
		best_score = score;
	}
	if (best)
		sch_trial_begin(p, best, job);
	else
		sch_reserve(p, job, s, again);
	return best;
}

/* A worker is kept for a job of which something is started on it now. */
void sch_trial_begin(const struct sch_pool *p, struct jtb_worker *w,
		     const struct jtb_job *job)
{
	w->isolated_for = job->seq + 1;
	w->isolated_ms = p->v->now_ms;
	w->isolated_started = true;
}

/* For a gang that is tried: bars the workers on which something else begins. */
void sch_trial_bar(struct sch_pool *p, const struct jtb_job *job)
{
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->excluded = w->excluded || !sch_calm(w, job);
	}
	/* has the next step's bars worked out anew */
	p->barred = true;
}

/*
 * Keeps the worker on which least begins, so that it gets calm: at full load new
 * work would else begin on each at every moment.
 */
static void sch_reserve(struct sch_pool *p, const struct jtb_job *job,
			const struct jtb_step *s, bool again)
{
	struct jtb_worker *best = NULL;
	guint best_fresh = 0;
	guint kept = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		guint fresh = sch_fresh_others(w, job);

		if (sch_reserved(p, w, job)) {
			kept++;
			continue;
		}
		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_shunned(p, w, s, again) || sch_is_kept(p, w))
			continue;
		if (w->isolated_for == job->seq + 1) {
			w->isolated_ms = p->v->now_ms;
			return;
		}
		if (best && fresh >= best_fresh)
			continue;
		best = w;
		best_fresh = fresh;
	}
	if (!best || kept >= MAX(1, p->workers->len / SCH_TRIAL_SHARE))
		return;
	best->isolated_for = job->seq + 1;
	best->isolated_ms = p->v->now_ms;
	best->isolated_started = false;
}
