#include "jtb_int.h"

/*
 * Starts that are proposed to the log and not yet committed. Only the leader
 * has them. They keep it from assigning a task or a worker's capacity twice
 * until the start is committed.
 */

/* Called for each task with a proposed start. */
typedef void (*jtb_proposal_fn)(struct jtb_step_state *state,
				struct jtb_task *task,
				const struct jtb_worker *w);

static void jtb_each_proposal(struct jtb_job *job, jtb_proposal_fn fn,
			      const struct jtb_worker *w);
static void jtb_drop_proposal(struct jtb_step_state *state,
			      struct jtb_task *task,
			      const struct jtb_worker *w);
static void jtb_clear_proposal_worker(struct jtb_step_state *state,
				      struct jtb_task *task,
				      const struct jtb_worker *w);

/* Records a proposed start of a task and reserves its size on the worker. */
void jtb_propose_start(struct jtb_job *job, const struct jtb_name *n,
		       struct jtb_worker *w)
{
	const struct jtb_step *step = &job->spec.steps[n->step];
	struct org_amount amount = jtb_step_amount(step);
	struct jtb_task *task = jtb_task_at(job, n, true);

	g_assert(!task->start_proposed && !task->run && !task->done);
	task->start_proposed = true;
	task->proposed_worker = w;
	job->turns[n->turn].steps[n->step].n_proposed++;
	w->proposed_cpu += step->flags & JTB_BEST_EFFORT ? 0 : step->cpu;
	w->proposed_mem += step->mem_mb;
	w->proposed_gpus += step->gpus;
	if (job->use)
		quo_add(&job->use->proposed, &amount);
}

/*
 * Drops a task's proposed start once the log delivers it, whether the start
 * applies or not. w is NULL if the worker was removed meanwhile.
 */
void jtb_drop_proposed_start(struct jtb_job *job, const struct jtb_name *n,
			     struct jtb_worker *w)
{
	const struct jtb_step *step = &job->spec.steps[n->step];
	struct org_amount amount = jtb_step_amount(step);
	struct jtb_task *task = jtb_task_at(job, n, true);

	task->start_proposed = false;
	job->turns[n->turn].steps[n->step].n_proposed--;
	if (job->use)
		quo_sub(&job->use->proposed, &amount);
	if (!w)
		return;
	w->proposed_cpu -= step->flags & JTB_BEST_EFFORT ? 0 : step->cpu;
	w->proposed_mem -= step->mem_mb;
	w->proposed_gpus -= step->gpus;
}

/*
 * Drops everything that is proposed: starts, stops and removals of workers, and
 * what lists of an earlier term showed. Called as leadership is lost or begins.
 */
void jtb_drop_proposals(struct jtb *t)
{
	GHashTableIter it;
	struct jtb_worker *w;
	struct jtb_job *job;
	guint i;

	g_hash_table_iter_init(&it, t->workers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		w->proposed_cpu = 0;
		w->proposed_mem = 0;
		w->proposed_gpus = 0;
		w->removal_proposed = false;
		w->restart_proposed = false;
		w->restarted_ms = 0;
		w->absence = (struct evd_absence){0};
		w->removal_evidence = (struct evd){0};
		for (i = 0; i < w->runs->len; i++) {
			struct jtb_run *run = g_ptr_array_index(w->runs, i);

			run->stop_proposed = false;
			run->end_evidence = (struct evd){0};
		}
	}
	quo_clear_proposed(t->usage);
	/* ended jobs too: the log may still deliver their starts */
	g_hash_table_iter_init(&it, t->jobs);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job))
		jtb_each_proposal(job, jtb_drop_proposal, NULL);
}

/*
 * Begins a term: which starts workers have accepted was known to the leader
 * before, and is not in the log. A job counts as started again as soon as a
 * worker lists a run of it or answers the repeated start.
 */
void jtb_doubt_starts(struct jtb *t)
{
	guint i;

	for (i = 0; i < t->live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(t->live, i);

		job->start_unconfirmed = job->started && !job->begun;
	}
}

/* Clears the worker of all starts that are proposed on a removed worker. */
void jtb_clear_proposals_on(struct jtb *t, const struct jtb_worker *w)
{
	guint i;

	for (i = 0; i < t->live->len; i++)
		jtb_each_proposal(g_ptr_array_index(t->live, i),
				  jtb_clear_proposal_worker, w);
}

/* Calls fn for each task of a job that has a proposed start. */
static void jtb_each_proposal(struct jtb_job *job, jtb_proposal_fn fn,
			      const struct jtb_worker *w)
{
	uint32_t t;
	uint32_t s;
	uint32_t i;

	for (t = 0; t < job->n_turns; t++) {
		for (s = 0; job->turns[t].steps && s < job->spec.n_steps; s++) {
			struct jtb_step_state *state = &job->turns[t].steps[s];

			for (i = 0;
			     state->n_proposed && i < job->spec.steps[s].count;
			     i++)
				if (state->tasks[i].start_proposed)
					fn(state, &state->tasks[i], w);
		}
	}
}

/* Drops the proposed start of a task. */
static void jtb_drop_proposal(struct jtb_step_state *state,
			      struct jtb_task *task, const struct jtb_worker *w)
{
	task->start_proposed = false;
	state->n_proposed--;
}

/* Clears the worker of a proposed start. */
static void jtb_clear_proposal_worker(struct jtb_step_state *state,
				      struct jtb_task *task,
				      const struct jtb_worker *w)
{
	if (task->proposed_worker == w)
		task->proposed_worker = NULL;
}
