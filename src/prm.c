#include "prm.h"

#include <string.h>

#include "sch_int.h"

/*
 * Load: the VMs of a pool are full with work that can wait, and a job of a queue
 * that goes first comes. Harm: it waits for their ends and is late. Rule: where
 * waiting any longer would make it late, runs of queues behind it make room:
 * those that save their progress, then those that have just begun. Bounded are
 * the work that is thrown away, the times that a task is stopped, and the jobs
 * that it happens to: the oldest of those behind always goes on.
 */

/* Time that a stop, its report and the next start take together, ms. */
#define PRM_MARGIN_MS 600
/* A long-running task gets this time to find room by itself, ms. */
#define PRM_LASTING_WAIT_MS 1000
/* A run has just begun up to this part of its estimate. */
#define PRM_BEGUN_PART 4
/* Work since its last checkpoint that a run loses at most, ms. */
#define PRM_CHECKPOINT_MS 2000
/* Part of a pool's cores that may be spent on work thrown away. */
#define PRM_BUDGET_PART 0.02
/* Time for which an unused budget is kept, ms. */
#define PRM_BUDGET_MS 10000
/* Tasks of a job that are stopped or fail until it is left alone. */
#define PRM_RERUNS_MAX 8
/* Tasks that one decision on a pool makes room for. */
#define PRM_TASKS_MAX 32

/* A pool with work of queues that go first, or of such behind them. */
struct prm_pool {
	GPtrArray *waiters; /* struct jtb_job that would be late */
	uint64_t oldest; /* seq of the job behind that is left alone */
	bool any_behind; /* work of a queue behind runs */
	double budget; /* that may be thrown away, core-ms */
	int64_t budget_ms; /* when it was updated */
};

/* A worker with the room it has, or will have once its stops are done. */
struct prm_place {
	struct jtb_worker *w;
	int64_t cpu;
	int64_t mem_mb;
	int64_t gpus;
	GPtrArray *victims; /* struct jtb_run, in the order they are stopped */
};

struct prm {
	GHashTable *pools; /* name: struct prm_pool */
	uint64_t version; /* of the configuration that names them */
};

/* One decision on a pool. */
struct prm_case {
	const struct prm_view *v;
	struct prm_pool *pool;
	const char *name;
	GArray *places; /* struct prm_place */
	GHashTable *worn; /* struct jtb_job: whether it has enough reruns */
	struct prm_result result;
};

static void prm_pool_free(gpointer p);
static void prm_reset_pools(struct prm *m, const struct jtb_config *config);
static struct prm_pool *prm_pool(struct prm *m, const char *name,
				 int64_t now_ms);
static void prm_sort_job(struct prm *m, const struct prm_view *v,
			 struct jtb_job *job);
static void prm_plan_pool(const struct prm_view *v, const char *name,
			  struct prm_pool *pool);
static void prm_update_budget(struct prm_case *c);
static void prm_find_places(struct prm_case *c);
static void prm_add_place(struct prm_case *c, struct jtb_worker *w);
static bool prm_may_stop(const struct prm_case *c, const struct jtb_run *run);
static bool prm_is_worn(const struct prm_case *c, struct jtb_job *job);
static double prm_loss(const struct prm_case *c, const struct jtb_run *run);
static gint prm_compare_runs(gconstpointer a, gconstpointer b, gpointer arg);
static bool prm_would_be_late(const struct prm_view *v,
			      const struct jtb_queue *q,
			      const struct jtb_job *job);
static void prm_serve_job(struct prm_case *c, struct jtb_job *job);
static bool prm_waits(const struct prm_view *v, const struct jtb_job *job);
static uint32_t prm_missing(const struct prm_view *v, const struct jtb_job *job,
			    uint32_t turn, uint32_t step);
static bool prm_serve_task(struct prm_case *c, const struct jtb_job *job,
			   const struct jtb_step *s);
static bool prm_fits(const struct prm_place *p, const struct jtb_step *s);
static void prm_free_run(struct prm_place *p, const struct jtb_run *run);
static guint prm_count_stops(const struct prm_case *c,
			     const struct prm_place *from,
			     const struct jtb_step *s, double *loss);
static void prm_take(struct prm_place *p, const struct jtb_step *s);

/* Returns preemption whose budgets are empty. */
struct prm *prm_new(void)
{
	struct prm *m = g_new0(struct prm, 1);

	m->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 prm_pool_free);
	return m;
}

/* Frees preemption; NULL is allowed. */
void prm_free(struct prm *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->pools);
	g_free(m);
}

/* Frees a pool. */
static void prm_pool_free(gpointer p)
{
	struct prm_pool *pool = p;

	g_ptr_array_free(pool->waiters, TRUE);
	g_free(pool);
}

/*
 * Becomes leader with empty budgets, as the leader before may have spent them.
 * How often a task was stopped is in the table.
 */
void prm_lead(struct prm *m)
{
	g_hash_table_remove_all(m->pools);
}

/* Stops what has to make room for work that goes first and would be late. */
void prm_plan(struct prm *m, const struct prm_view *v)
{
	GPtrArray *live = jtb_live(v->jtb);
	struct prm_pool *pool;
	GHashTableIter it;
	const char *name;
	guint i;

	prm_reset_pools(m, jtb_config(v->jtb));
	for (i = 0; i < live->len; i++)
		prm_sort_job(m, v, g_ptr_array_index(live, i));
	g_hash_table_iter_init(&it, m->pools);
	while (g_hash_table_iter_next(&it, (gpointer *)&name,
				      (gpointer *)&pool))
		if (pool->any_behind && pool->waiters->len)
			prm_plan_pool(v, name, pool);
}

/*
 * Forgets the jobs of the last plan, and the pools themselves with the
 * configuration that named them.
 */
static void prm_reset_pools(struct prm *m, const struct jtb_config *config)
{
	struct prm_pool *pool;
	GHashTableIter it;

	if (m->version != config->version)
		g_hash_table_remove_all(m->pools);
	m->version = config->version;
	g_hash_table_iter_init(&it, m->pools);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&pool)) {
		g_ptr_array_set_size(pool->waiters, 0);
		pool->oldest = UINT64_MAX;
		pool->any_behind = false;
	}
}

/* Returns a pool, which is added without budget if it is new. */
static struct prm_pool *prm_pool(struct prm *m, const char *name,
				 int64_t now_ms)
{
	struct prm_pool *pool = g_hash_table_lookup(m->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct prm_pool, 1);
	pool->waiters = g_ptr_array_new();
	pool->oldest = UINT64_MAX;
	pool->budget_ms = now_ms;
	g_hash_table_insert(m->pools, g_strdup(name), pool);
	return pool;
}

/*
 * Notes a job that goes first and would be late, or one behind that runs. A job
 * whose tasks need a ticket or an isolated retry to start is not noted: room
 * alone does not help it.
 */
static void prm_sort_job(struct prm *m, const struct prm_view *v,
			 struct jtb_job *job)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(v->jtb), job->spec.queue);
	struct prm_pool *pool;

	if (!q || jtb_job_ended(job))
		return;
	if (q->priority && job->n_runs) {
		pool = prm_pool(m, q->pool, v->now_ms);
		pool->any_behind = true;
		pool->oldest = MIN(pool->oldest, job->seq);
	} else if (!q->priority && !q->advised && !jtb_max_crashes(job) &&
		   prm_waits(v, job) && prm_would_be_late(v, q, job)) {
		g_ptr_array_add(prm_pool(m, q->pool, v->now_ms)->waiters, job);
	}
}

/* Decides on one pool. */
static void prm_plan_pool(const struct prm_view *v, const char *name,
			  struct prm_pool *pool)
{
	struct prm_case c = {.v = v, .pool = pool, .name = name};
	guint i;

	c.worn = g_hash_table_new(NULL, NULL);
	prm_find_places(&c);
	prm_update_budget(&c);
	for (i = 0; i < pool->waiters->len; i++)
		prm_serve_job(&c, g_ptr_array_index(pool->waiters, i));
	for (i = 0; i < c.places->len; i++)
		g_ptr_array_free(
			g_array_index(c.places, struct prm_place, i).victims,
			TRUE);
	g_array_free(c.places, TRUE);
	g_hash_table_destroy(c.worn);
	c.result.budget = pool->budget / 1000;
	if (c.result.waiting)
		v->decided(v->arg, name, &c.result);
}

/* Adds what has come to the budget of the pool since the last plan. */
static void prm_update_budget(struct prm_case *c)
{
	double rate = 0; /* core-ms a ms */
	guint i;

	for (i = 0; i < c->places->len; i++)
		rate += g_array_index(c->places, struct prm_place, i)
				.w->info.cpu /
			1000.0 * PRM_BUDGET_PART;
	if (c->pool->budget_ms)
		c->pool->budget +=
			rate *
			(double)MAX(0, c->v->now_ms - c->pool->budget_ms);
	c->pool->budget = MIN(c->pool->budget, rate * PRM_BUDGET_MS);
	c->pool->budget_ms = c->v->now_ms;
}

/* Finds the workers of the pool that may be assigned work. */
static void prm_find_places(struct prm_case *c)
{
	GHashTableIter it;
	struct jtb_worker *w;

	c->places = g_array_new(FALSE, FALSE, sizeof(struct prm_place));
	g_hash_table_iter_init(&it, jtb_workers(c->v->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, c->name) == 0 &&
		    !g_hash_table_contains(c->v->closed, w->info.id) &&
		    !w->isolated_for && c->v->usable(c->v->arg, w))
			prm_add_place(c, w);
}

/* Adds a worker with the room that it has once its stops are done. */
static void prm_add_place(struct prm_case *c, struct jtb_worker *w)
{
	struct prm_place p = {
		.w = w,
		.cpu = (int64_t)w->info.cpu - w->used_cpu - w->proposed_cpu,
		.mem_mb =
			(int64_t)w->info.mem_mb - w->used_mem - w->proposed_mem,
		.gpus = (int64_t)w->info.gpus - w->used_gpus - w->proposed_gpus,
		.victims = g_ptr_array_new(),
	};
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (run->stop_wanted || jtb_run_is_stopping(run))
			prm_free_run(&p, run);
		else if (prm_may_stop(c, run))
			g_ptr_array_add(p.victims, run);
	}
	g_ptr_array_sort_with_data(p.victims, prm_compare_runs, c);
	g_array_append_val(c->places, p);
}

/*
 * Whether a run may be stopped for any job. A long-running task may not: work
 * that lasts is stopped for upkeep and moves, which keep to its may-miss. A
 * member of a gang may not, since the others would wait for it in vain. A task
 * that has run before may not, so that none is stopped over and over.
 */
static bool prm_may_stop(const struct prm_case *c, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	const struct jtb_queue *q =
		jtb_queue(jtb_config(c->v->jtb), run->job->spec.queue);
	int64_t ran_ms = c->v->now_ms - run->ordered_ms;

	if (!q || !q->priority || run->attempt > 1 || run->inherited ||
	    run->job->seq == c->pool->oldest ||
	    s->flags & (JTB_LONG_RUNNING | JTB_GANG | JTB_BEST_EFFORT))
		return false;
	if (!(s->flags & JTB_CHECKPOINTS) &&
	    ran_ms * PRM_BEGUN_PART > s->estimate_ms)
		return false;
	return !prm_is_worn(c, run->job);
}

/* Whether so many tasks of a job have run again that it is left alone. */
static bool prm_is_worn(const struct prm_case *c, struct jtb_job *job)
{
	gpointer worn;

	if (!g_hash_table_lookup_extended(c->worn, job, NULL, &worn)) {
		worn = GINT_TO_POINTER(jtb_count_reruns(job) >= PRM_RERUNS_MAX);
		g_hash_table_insert(c->worn, job, worn);
	}
	return GPOINTER_TO_INT(worn) != 0;
}

/* Returns the work that is lost if a run stops, core-ms. */
static double prm_loss(const struct prm_case *c, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	int64_t lost_ms = MAX(0, c->v->now_ms - run->ordered_ms);

	if (s->flags & JTB_CHECKPOINTS)
		lost_ms = MIN(lost_ms, PRM_CHECKPOINT_MS);
	return s->cpu / 1000.0 * (double)lost_ms;
}

/* Compares runs: those that save their progress first, then the cheapest. */
static gint prm_compare_runs(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct prm_case *c = arg;
	const struct jtb_run *x = *(const struct jtb_run *const *)a;
	const struct jtb_run *y = *(const struct jtb_run *const *)b;
	bool x_saves = x->job->spec.steps[x->step].flags & JTB_CHECKPOINTS;
	bool y_saves = y->job->spec.steps[y->step].flags & JTB_CHECKPOINTS;
	double x_loss = prm_loss(c, x);
	double y_loss = prm_loss(c, y);

	if (x_saves != y_saves)
		return x_saves ? -1 : 1;
	if (x_loss != y_loss)
		return x_loss < y_loss ? -1 : 1;
	return (x->serial > y->serial) - (x->serial < y->serial);
}

/*
 * Whether a job can be in time, but not if it waits longer than a stop and a
 * start take. All time that a long-running task does not run is lost.
 */
static bool prm_would_be_late(const struct prm_view *v,
			      const struct jtb_queue *q,
			      const struct jtb_job *job)
{
	if (sch_is_long_running(job))
		return v->wall_ms - jtb_turn_due(job, 0) >= PRM_LASTING_WAIT_MS;
	return sch_chance(q, job, v->wall_ms) == SCH_IN_TIME &&
	       sch_chance(q, job, v->wall_ms + PRM_MARGIN_MS) != SCH_IN_TIME;
}

/* Makes room for the tasks of a job that are due and do not run. */
static void prm_serve_job(struct prm_case *c, struct jtb_job *job)
{
	uint32_t t;
	uint32_t s;
	uint32_t n;

	for (t = 0; t < job->n_turns && c->v->wall_ms >= jtb_turn_due(job, t);
	     t++)
		for (s = 0; s < job->spec.n_steps; s++)
			for (n = prm_missing(c->v, job, t, s); n; n--) {
				if (c->result.waiting++ >= PRM_TASKS_MAX ||
				    !prm_serve_task(c, job,
						    &job->spec.steps[s]))
					return;
				c->result.served++;
			}
}

/* Whether a job has a task that is due and does not run. */
static bool prm_waits(const struct prm_view *v, const struct jtb_job *job)
{
	uint32_t t;
	uint32_t s;

	for (t = 0; t < job->n_turns && v->wall_ms >= jtb_turn_due(job, t); t++)
		for (s = 0; s < job->spec.n_steps; s++)
			if (prm_missing(v, job, t, s))
				return true;
	return false;
}

/*
 * Returns how many tasks of a step are due and do not run. None of a gang,
 * which needs all its room at once, and of a step whose tasks must be kept
 * apart: who stops for one of them may stop in vain.
 */
static uint32_t prm_missing(const struct prm_view *v, const struct jtb_job *job,
			    uint32_t turn, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	const struct jtb_step_state *state = jtb_step_state(job, turn, step);
	struct org_amount each = jtb_step_amount(s);

	if (s->flags & (JTB_GANG | JTB_BEST_EFFORT) || s->max_per_worker ||
	    !jtb_step_due(job, turn, step, v->wall_ms) ||
	    !quo_may_start(job->use, &each, 1))
		return 0;
	return state ? s->count - state->n_done - state->n_runs -
			       state->n_proposed
		     : s->count;
}

/*
 * Makes room for a task where least work is lost; returns false if there is no
 * such place, or its loss is beyond the budget.
 */
static bool prm_serve_task(struct prm_case *c, const struct jtb_job *job,
			   const struct jtb_step *s)
{
	struct prm_place *best = NULL;
	double best_loss = 0;
	guint best_n = 0;
	guint i;

	for (i = 0; i < c->places->len; i++) {
		struct prm_place *p =
			&g_array_index(c->places, struct prm_place, i);
		double loss = 0;
		guint n;

		if (s->label && !sch_has_label(p->w, s->label))
			continue;
		n = prm_count_stops(c, p, s, &loss);
		if (n == G_MAXUINT || (best && loss >= best_loss))
			continue;
		best = p;
		best_loss = loss;
		best_n = n;
	}
	if (!best || best_loss > c->pool->budget)
		return false;
	for (; best_n; best_n--) {
		struct jtb_run *run = g_ptr_array_index(best->victims, 0);

		g_ptr_array_remove_index(best->victims, 0);
		prm_free_run(best, run);
		c->result.stops++;
		c->v->stop(c->v->arg, run,
			   "a job that goes first would be late");
	}
	c->pool->budget -= best_loss;
	c->result.thrown += best_loss / 1000;
	prm_take(best, s);
	return true;
}

/*
 * Returns how many runs must stop on a worker for a task to fit, and what is
 * lost by that; G_MAXUINT: it would not fit after all of them.
 */
static guint prm_count_stops(const struct prm_case *c,
			     const struct prm_place *from,
			     const struct jtb_step *s, double *loss)
{
	struct prm_place p = *from;
	guint n;

	for (n = 0; !prm_fits(&p, s); n++) {
		const struct jtb_run *run;

		if (n == p.victims->len)
			return G_MAXUINT;
		run = g_ptr_array_index(p.victims, n);
		prm_free_run(&p, run);
		*loss += prm_loss(c, run);
	}
	return n;
}

/* Whether a task fits into the room of a place. */
static bool prm_fits(const struct prm_place *p, const struct jtb_step *s)
{
	return p->cpu >= s->cpu && p->mem_mb >= s->mem_mb && p->gpus >= s->gpus;
}

/* Adds what a run uses to the room of a place. */
static void prm_free_run(struct prm_place *p, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];

	p->cpu += s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	p->mem_mb += s->mem_mb;
	p->gpus += s->gpus;
}

/* Takes the room of a task. */
static void prm_take(struct prm_place *p, const struct jtb_step *s)
{
	p->cpu -= s->cpu;
	p->mem_mb -= s->mem_mb;
	p->gpus -= s->gpus;
}
