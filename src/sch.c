#include "sch_int.h"

#include <stdlib.h>

/*
 * Distance between the urgencies of two ranks: more than the number of jobs
 * there can ever be.
 */
#define SCH_RANK_STEP 1e12

/* Priorities of queues that are told apart; those behind count as the last. */
#define SCH_PRIORITIES 16

/* A live job of the pool with its place in the planning order. */
struct sch_candidate {
	struct jtb_job *job;
	const struct jtb_queue *queue;
	enum shr_rank rank;
	unsigned int class_no; /* lower goes first */
	double value; /* higher goes first within a rank */
};

static void sch_report_waiting(struct sch_pool *p);
static bool sch_long_running_waits(const struct jtb_job *job, int64_t wall_ms);
static GArray *sch_collect_candidates(struct sch_pool *p);
static void sch_rank(int64_t wall_ms, struct sch_candidate *c);
static int sch_compare(gconstpointer a, gconstpointer b);
static void sch_apply_priorities(GArray *cands);
static void sch_begin_shares(const struct sch_view *v, GArray *cands);
static void sch_plan_by_shares(struct sch_pool *p, GArray *cands);
static void sch_start(struct sch_pool *p, struct jtb_job *job,
		      const struct jtb_name *n, uint32_t attempt,
		      struct jtb_worker *w);
static void sch_plan_job(struct sch_pool *p, struct sch_candidate *c);
static void sch_plan_step(struct sch_pool *p, struct jtb_job *job,
			  uint32_t turn, uint32_t step);
static uint32_t sch_count_waiting(const struct jtb_step_state *part,
				  uint32_t count);
static void sch_plan_tasks(struct sch_pool *p, struct jtb_job *job,
			   uint32_t turn, uint32_t step);
static void sch_plan_gang(struct sch_pool *p, struct jtb_job *job,
			  uint32_t turn, uint32_t step);

/*
 * Starts the tasks of a pool for which there is free capacity, by priority.
 * Returns how many starts were made.
 */
uint32_t sch_plan(const struct sch_view *v, const char *pool)
{
	struct sch_pool p;
	GArray *cands;
	guint i;

	sch_pool_init(&p, v, pool);
	if (p.workers->len) {
		cands = sch_collect_candidates(&p);
		if (v->shares)
			sch_begin_shares(v, cands);
		sch_apply_priorities(cands);
		g_array_sort(cands, sch_compare);
		if (v->shares)
			sch_plan_by_shares(&p, cands);
		for (i = 0; !v->shares && i < cands->len; i++)
			sch_plan_job(&p,
				     &g_array_index(cands, struct sch_candidate,
						    i));
		g_array_free(cands, TRUE);
	} else {
		sch_report_waiting(&p);
	}
	sch_pool_clear(&p);
	return p.started;
}

/*
 * A pool without a usable worker starts nothing, but still reports a waiting
 * long-running task: if all its workers are closed and cannot be drained before
 * that task runs again, another VM is the only way for it to start.
 */
static void sch_report_waiting(struct sch_pool *p)
{
	GPtrArray *live = jtb_live(p->v->jtb);
	guint i;

	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const char *pool = jtb_pool_of(p->v->jtb, job);

		if (jtb_job_ended(job) || !pool || strcmp(pool, p->name) != 0 ||
		    !sch_long_running_waits(job, p->v->wall_ms))
			continue;
		p->v->unschedulable(p->v->arg, p->name);
		return;
	}
}

/*
 * Whether a long-running task of a job is due and has neither a run nor a
 * proposed start.
 */
static bool sch_long_running_waits(const struct jtb_job *job, int64_t wall_ms)
{
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && wall_ms >= jtb_turn_due(job, t); t++)
		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step_state *part =
				jtb_step_state(job, t, s);

			if (job->spec.steps[s].flags & JTB_LONG_RUNNING &&
			    jtb_step_due(job, t, s, wall_ms) &&
			    (!part || part->n_runs + part->n_proposed <
					      job->spec.steps[s].count))
				return true;
		}
	return false;
}

/* Returns the live jobs of a pool, each with its rank. */
static GArray *sch_collect_candidates(struct sch_pool *p)
{
	const struct jtb_config *config = jtb_config(p->v->jtb);
	GPtrArray *live = jtb_live(p->v->jtb);
	GArray *cands = g_array_new(FALSE, FALSE, sizeof(struct sch_candidate));
	guint i;

	for (i = 0; i < live->len; i++) {
		struct sch_candidate c = {.job = g_ptr_array_index(live, i)};

		if (jtb_job_ended(c.job))
			continue;
		c.queue = jtb_queue(config, c.job->spec.queue);
		if (!c.queue || strcmp(c.queue->pool, p->name) != 0)
			continue;
		sch_rank(p->v->wall_ms, &c);
		g_array_append_val(cands, c);
	}
	return cands;
}

/*
 * Sets the rank of a job, and its value within the rank, for bursts of several
 * times the pool's capacity. Long-running tasks go first, as any time without a
 * run is lost permanently. Next come started jobs that can still meet their
 * objective, so that few jobs stay half done; then new jobs that can meet it,
 * newest first: these have the most time left to absorb wrong estimates, and
 * large and small jobs fare alike, whereas cheapest first would shut out large
 * jobs for a whole burst. Jobs that can no longer meet their objective come
 * after all that can.
 */
static void sch_rank(int64_t wall_ms, struct sch_candidate *c)
{
	const struct jtb_job *job = c->job;
	enum sch_chance chance = sch_chance(c->queue, job, wall_ms);

	if (sch_is_long_running(job))
		c->rank = SHR_LONG_RUNNING;
	else if (job->spec.repeats || chance == SCH_IN_TIME)
		c->rank = job->started ? SHR_STARTED : SHR_NEW;
	else
		c->rank = chance == SCH_LATE ? SHR_LATE : SHR_WORTHLESS;
	c->class_no = c->rank;
	c->value = c->rank == SHR_NEW ? (double)job->seq : -(double)job->seq;
}

/* Returns the position of a job in the planning order; higher goes first. */
double sch_urgency(const struct jtb_queue *q, const struct jtb_job *job,
		   int64_t wall_ms)
{
	struct sch_candidate c = {.job = (struct jtb_job *)job, .queue = q};

	sch_rank(wall_ms, &c);
	return c.value - c.rank * SCH_RANK_STEP;
}

/* Compares candidates in planning order. */
static int sch_compare(gconstpointer a, gconstpointer b)
{
	const struct sch_candidate *x = a;
	const struct sch_candidate *y = b;

	if (x->class_no != y->class_no)
		return x->class_no < y->class_no ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->value != y->value)
		return x->value > y->value ? -1 : 1;
	return (x->job->seq > y->job->seq) - (x->job->seq < y->job->seq);
}

/*
 * Reads what organisations have of all workers, and sets the classes of the
 * candidates by it.
 */
static void sch_begin_shares(const struct sch_view *v, GArray *cands)
{
	struct shr_input in = {.usage = jtb_usage(v->jtb), .now_ms = v->now_ms};
	struct sch_totals sums;
	guint i;

	if (v->totals)
		sums = *v->totals;
	else
		sch_sum_workers(v->jtb, &sums);
	in.total = sums.total;
	in.used = sums.used;
	shr_begin(v->shares, &in);
	for (i = 0; i < cands->len; i++) {
		struct sch_candidate *c =
			&g_array_index(cands, struct sch_candidate, i);

		c->class_no = shr_class(v->shares, c->job->use, c->rank);
	}
}

/* Adds up what all workers have and use. */
void sch_sum_workers(const struct jtb *jtb, struct sch_totals *out)
{
	GHashTableIter it;
	const struct jtb_worker *w;

	*out = (struct sch_totals){0};
	g_hash_table_iter_init(&it, jtb_workers(jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		out->total.cpu += w->info.cpu;
		out->total.mem_mb += w->info.mem_mb;
		out->total.gpus += w->info.gpus;
		out->used.cpu += w->used_cpu + w->proposed_cpu;
		out->used.mem_mb += w->used_mem + w->proposed_mem;
		out->used.gpus += w->used_gpus + w->proposed_gpus;
	}
}

/*
 * Where queues of a pool differ in priority, puts work that lasts and work that
 * can be in time in the order of their queues before anything else: a queue
 * that goes first has a new job run before a started one of a queue behind. Of
 * what is late, too, but never before what isn't.
 */
static void sch_apply_priorities(GArray *cands)
{
	static const unsigned int stages[SHR_RANKS] = {
		[SHR_LONG_RUNNING] = 0, [SHR_STARTED] = 1,   [SHR_NEW] = 1,
		[SHR_LATE] = 2,		[SHR_WORTHLESS] = 3,
	};
	struct sch_candidate *c;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	guint i;

	for (i = 0; i < cands->len; i++) {
		c = &g_array_index(cands, struct sch_candidate, i);
		least = MIN(least, c->queue->priority);
		most = MAX(most, c->queue->priority);
	}
	for (i = 0; least < most && i < cands->len; i++) {
		c = &g_array_index(cands, struct sch_candidate, i);
		c->class_no += SHR_CLASSES *
			       (MIN(c->queue->priority, SCH_PRIORITIES - 1) +
				SCH_PRIORITIES * stages[c->rank]);
	}
}

/* Plans sorted candidates in the order of their organisations' shares. */
static void sch_plan_by_shares(struct sch_pool *p, GArray *cands)
{
	struct shr *shares = p->v->shares;
	struct sch_candidate *c;
	guint i;

	for (i = 0; i < cands->len; i++) {
		c = &g_array_index(cands, struct sch_candidate, i);
		shr_add(shares, c->job->use, c->class_no, c);
	}
	while ((c = shr_next(shares))) {
		p->lacks_room = false;
		sch_plan_job(p, c);
		if (p->lacks_room)
			shr_wait(shares, c->job->use);
	}
	shr_end(shares, p->name);
}

/* Starts the tasks of a job that are due and fit. */
static void sch_plan_job(struct sch_pool *p, struct sch_candidate *c)
{
	struct jtb_job *job = c->job;
	uint32_t t;
	uint32_t s;

	p->queue = c->queue;
	for (t = 0; t < job->n_turns; t++) {
		if (p->v->wall_ms < jtb_turn_due(job, t))
			break;
		for (s = 0; s < job->spec.n_steps; s++) {
			if (job->turns[t].done & (1ULL << s) ||
			    !jtb_step_due(job, t, s, p->v->wall_ms))
				continue;
			if (!(job->spec.steps[s].flags & JTB_LONG_RUNNING) &&
			    !jtb_max_crashes(job) &&
			    sch_is_no_fit(p, &job->spec.steps[s])) {
				p->lacks_room = true;
				continue;
			}
			if (job->spec.steps[s].flags & JTB_GANG)
				sch_plan_gang(p, job, t, s);
			else
				sch_plan_step(p, job, t, s);
		}
	}
}

/*
 * Plans the waiting tasks of a step, each by itself. A step that waits for its
 * organisation's limit shows nothing about the pool's capacity: it must neither
 * keep other jobs out nor make the pool ask for VMs.
 */
static void sch_plan_step(struct sch_pool *p, struct jtb_job *job,
			  uint32_t turn, uint32_t step)
{
	uint32_t waiting = sch_count_waiting(jtb_step_state(job, turn, step),
					     job->spec.steps[step].count);
	struct org_amount amount = jtb_step_amount(&job->spec.steps[step]);

	if (!waiting || !quo_may_start(job->use, &amount, 1))
		return;
	if (!sch_apply_tickets(p, job, turn, step))
		return;
	sch_count_step_tasks(p, job, turn, step);
	sch_begin_zones(p, job, turn, step, waiting);
	sch_plan_tasks(p, job, turn, step);
	sch_end_zones(p);
}

/*
 * Returns the number of tasks of a step that neither run nor are done. Sums of
 * runs and ends don't tell it: a task whose end came late is done and has a
 * newer run until that one is stopped.
 */
static uint32_t sch_count_waiting(const struct jtb_step_state *part,
				  uint32_t count)
{
	uint32_t waiting = 0;
	uint32_t i;

	if (!part)
		return count;
	if (part->n_done >= count || part->n_runs + part->n_proposed >= count)
		return 0;
	for (i = 0; i < count; i++) {
		const struct jtb_task *t = &part->tasks[i];

		waiting += !t->done && !t->run && !t->start_proposed;
	}
	return waiting;
}

/* Starts the waiting tasks of a step as far as they fit. */
static void sch_plan_tasks(struct sch_pool *p, struct jtb_job *job,
			   uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part;
	uint32_t count = job->spec.steps[step].count;
	struct org_amount amount = jtb_step_amount(&job->spec.steps[step]);
	struct jtb_name n = {.turn = turn, .step = step};
	struct jtb_worker *w;

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; n.index < count; n.index++) {
		const struct jtb_task *task = NULL;

		if (!quo_may_start(job->use, &amount, 1))
			return;
		part = jtb_step_state(job, turn, step);
		if (part)
			task = &part->tasks[n.index];
		if (task &&
		    (task->done || task->run || task->start_proposed ||
		     p->v->now_ms - task->last_end_ms < SCH_RETRY_DELAY_MS))
			continue;
		if (sch_is_suspect_task(job, step, n.index)) {
			w = sch_place_isolated(p, job, &job->spec.steps[step],
					       task && task->failures);
			/*
			 * A suspect task that waits for its isolated retry does
			 * not show that the pool is full.
			 */
			if (!w) {
				if (job->spec.steps[step].flags &
				    JTB_LONG_RUNNING)
					p->v->unschedulable(p->v->arg, p->name);
				continue;
			}
		} else {
			w = sch_place(p, job, step, task && task->failures);
		}
		if (!w && job->spec.steps[step].flags & JTB_LONG_RUNNING) {
			p->v->unschedulable(p->v->arg, p->name);
			sch_reserve_worker(p, job, step);
		}
		if (!w) {
			p->lacks_room = true;
			sch_record_no_fit(p, &job->spec.steps[step]);
			return;
		}
		w->tasks_of_step++;
		sch_start(p, job, &n, task ? task->attempt + 1 : 1, w);
	}
}

/*
 * Plans a gang: starts all its tasks at once, with one attempt number, or none.
 */
static void sch_plan_gang(struct sch_pool *p, struct jtb_job *job,
			  uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	struct org_amount amount = jtb_step_amount(&job->spec.steps[step]);
	bool suspected = sch_is_suspect_task(job, step, 0);
	struct jtb_worker *w;
	GPtrArray *places;
	uint32_t attempt = 0;
	bool placed;
	uint32_t i;

	if (part && part->n_runs + part->n_proposed + part->n_done)
		return;
	if (!quo_may_start(job->use, &amount, count))
		return;
	for (i = 0; part && i < count; i++) {
		attempt = MAX(attempt, part->tasks[i].attempt);
		if (p->v->now_ms - part->tasks[i].last_end_ms <
		    SCH_RETRY_DELAY_MS)
			return;
	}
	if (!sch_apply_tickets(p, job, turn, step))
		return;
	if (suspected)
		sch_exclude_busy(p, job);
	places = g_ptr_array_new();
	placed = sch_place_on_one_rack(p, job, turn, step, places);
	if (!placed && sch_waits_for_rack(p, job, step)) {
		g_ptr_array_free(places, TRUE);
		return;
	}
	if (!placed)
		placed = sch_place_gang(p, job, turn, step, NULL, places);
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; placed && n.index < count; n.index++) {
		w = g_ptr_array_index(places, n.index);
		if (suspected)
			sch_start_isolated(p, w, job);
		sch_start(p, job, &n, attempt + 1, w);
	}
	if (placed)
		job->rack_wait_since_ms = 0;
	g_ptr_array_free(places, TRUE);
	if (placed || suspected)
		return;
	if (job->spec.steps[step].flags & JTB_LONG_RUNNING)
		p->v->unschedulable(p->v->arg, p->name);
	p->lacks_room = true;
	sch_record_no_fit(p, &job->spec.steps[step]);
}

/* Starts a task, and charges it to its organisation. */
static void sch_start(struct sch_pool *p, struct jtb_job *job,
		      const struct jtb_name *n, uint32_t attempt,
		      struct jtb_worker *w)
{
	struct org_amount amount = jtb_step_amount(&job->spec.steps[n->step]);

	/* idle processor time is taken from nobody */
	if (job->spec.steps[n->step].flags & JTB_BEST_EFFORT)
		amount.cpu = 0;
	p->started++;
	if (p->v->shares)
		shr_charge(p->v->shares, job->use, &amount);
	if (p->v->totals) {
		p->v->totals->used.cpu += amount.cpu;
		p->v->totals->used.mem_mb += amount.mem_mb;
		p->v->totals->used.gpus += amount.gpus;
	}
	p->v->start(p->v->arg, job, n, attempt, w);
}
