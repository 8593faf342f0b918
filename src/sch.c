#include "sch_int.h"

#include <stdlib.h>

/* Between the urgencies of two ranks: more than there are ever jobs. */
#define SCH_RANK_STEP 1e12

/* Which jobs go before which. */
enum sch_rank {
	SCH_RANK_LASTS,
	SCH_RANK_BEGUN,
	SCH_RANK_NEW,
	SCH_RANK_LATE,
	SCH_RANK_HOPELESS,
};

/* A job that could go on, and how much it matters. */
struct sch_cand {
	struct jtb_job *job;
	const struct jtb_queue *queue;
	enum sch_rank rank;
	double value; /* higher goes first within a rank */
};

static void sch_nobody(struct sch_pool *p);
static bool sch_lasts_waiting(const struct jtb_job *job, int64_t wall_ms);
static GArray *sch_cands(struct sch_pool *p);
static void sch_rank(int64_t wall_ms, struct sch_cand *c);
static int sch_order(gconstpointer a, gconstpointer b);
static void sch_job(struct sch_pool *p, struct sch_cand *c);
static void sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);
static void sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);

/*
 * Starts what a pool has room for, best first. Returns how many starts were
 * given out.
 */
uint32_t sch_plan(const struct sch_view *v, const char *pool)
{
	struct sch_pool p;
	GArray *cands;
	guint i;

	sch_pool_init(&p, v, pool);
	if (p.workers->len) {
		cands = sch_cands(&p);
		g_array_sort(cands, sch_order);
		for (i = 0; i < cands->len; i++)
			sch_job(&p, &g_array_index(cands, struct sch_cand, i));
		g_array_free(cands, TRUE);
	} else {
		sch_nobody(&p);
	}
	sch_pool_done(&p);
	return p.started;
}

/*
 * A pool without a worker that may be given work starts nothing, and still
 * says that work that lasts waits in it: where all its workers are closed and
 * what runs on them may not be stopped before that work runs again, another
 * VM is the only way on.
 */
static void sch_nobody(struct sch_pool *p)
{
	GPtrArray *live = jtb_live(p->v->jtb);
	guint i;

	for (i = 0; i < live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(live, i);
		const char *pool = jtb_pool_of(p->v->jtb, job);

		if (jtb_job_ended(job) || !pool || strcmp(pool, p->name) != 0 ||
		    !sch_lasts_waiting(job, p->v->wall_ms))
			continue;
		p->v->starved(p->v->arg, p->name);
		return;
	}
}

/* Whether work that lasts is due and has no run on its way. */
static bool sch_lasts_waiting(const struct jtb_job *job, int64_t wall_ms)
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

/* The jobs of a pool that aren't over. */
static GArray *sch_cands(struct sch_pool *p)
{
	const struct jtb_config *config = jtb_config(p->v->jtb);
	GPtrArray *live = jtb_live(p->v->jtb);
	GArray *cands = g_array_new(FALSE, FALSE, sizeof(struct sch_cand));
	guint i;

	for (i = 0; i < live->len; i++) {
		struct sch_cand c = {.job = g_ptr_array_index(live, i)};

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
 * Made for bursts of several times the room. Work that lasts goes first: each
 * moment without it is lost for good. Then what is begun and can be in time,
 * so that few jobs are half done; then what can be in time, newest first: it
 * has the most time left for guesses that were wrong, and large and small jobs
 * fare alike, where the cheapest first would shut out the large for the whole
 * of a burst. What can't be in time any more waits behind all that can.
 */
static void sch_rank(int64_t wall_ms, struct sch_cand *c)
{
	const struct jtb_job *job = c->job;
	enum sch_chance chance = sch_chance(c->queue, job, wall_ms);

	if (sch_lasts(job))
		c->rank = SCH_RANK_LASTS;
	else if (job->spec.repeats || chance == SCH_IN_TIME)
		c->rank = job->started ? SCH_RANK_BEGUN : SCH_RANK_NEW;
	else
		c->rank =
			chance == SCH_LATE ? SCH_RANK_LATE : SCH_RANK_HOPELESS;
	c->value =
		c->rank == SCH_RANK_NEW ? (double)job->seq : -(double)job->seq;
}

/* Where a job stands in a plan's order: what is higher goes first. */
double sch_urgency(const struct jtb_queue *q, const struct jtb_job *job,
		   int64_t wall_ms)
{
	struct sch_cand c = {.job = (struct jtb_job *)job, .queue = q};

	sch_rank(wall_ms, &c);
	return c.value - c.rank * SCH_RANK_STEP;
}

/* Compares jobs by which goes first. */
static int sch_order(gconstpointer a, gconstpointer b)
{
	const struct sch_cand *x = a;
	const struct sch_cand *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->value != y->value)
		return x->value > y->value ? -1 : 1;
	return (x->job->seq > y->job->seq) - (x->job->seq < y->job->seq);
}

/* Starts what can be of a job. */
static void sch_job(struct sch_pool *p, struct sch_cand *c)
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
			    sch_missed(p, &job->spec.steps[s]))
				continue;
			if (job->spec.steps[s].flags & JTB_GANG)
				sch_gang(p, job, t, s);
			else
				sch_part(p, job, t, s);
		}
	}
}

/* Plans the tasks of one step that wait. */
static void sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	struct jtb_worker *w;

	if (part && part->n_done + part->n_runs + part->n_proposed >= count)
		return;
	if (!sch_tickets(p, job, turn, step))
		return;
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	sch_count_same(p, job, turn, step);
	for (n.index = 0; n.index < count; n.index++) {
		const struct jtb_task *task = NULL;

		part = jtb_step_state(job, turn, step);
		if (part)
			task = &part->tasks[n.index];
		if (task && (task->done || task->run || task->start_proposed ||
			     p->v->now_ms - task->last_end_ms < SCH_AGAIN_MS))
			continue;
		if (sch_suspected(job, step, n.index)) {
			w = sch_trial(p, job, &job->spec.steps[step],
				      task && task->failures);
			/* it waits, and says nothing of the pool's room */
			if (!w) {
				if (job->spec.steps[step].flags &
				    JTB_LONG_RUNNING)
					p->v->starved(p->v->arg, p->name);
				continue;
			}
		} else {
			w = sch_place(p, job, step, task && task->failures);
		}
		if (!w && job->spec.steps[step].flags & JTB_LONG_RUNNING) {
			p->v->starved(p->v->arg, p->name);
			sch_keep(p, job, step);
		}
		if (!w) {
			sch_miss(p, &job->spec.steps[step]);
			return;
		}
		p->started++;
		w->tasks_of_step++;
		p->v->start(p->v->arg, job, &n, task ? task->attempt + 1 : 1,
			    w);
	}
}

/* All of a gang in one go, with one number, or none of it. */
static void sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	bool trial = sch_suspected(job, step, 0);
	struct jtb_worker *w;
	GPtrArray *places;
	uint32_t attempt = 0;
	bool room;
	uint32_t i;

	if (part && part->n_runs + part->n_proposed + part->n_done)
		return;
	for (i = 0; part && i < count; i++) {
		attempt = MAX(attempt, part->tasks[i].attempt);
		if (p->v->now_ms - part->tasks[i].last_end_ms < SCH_AGAIN_MS)
			return;
	}
	if (!sch_tickets(p, job, turn, step))
		return;
	if (trial)
		sch_trial_bar(p, job);
	places = g_ptr_array_new();
	room = sch_one_rack(p, job, turn, step, places);
	if (!room && sch_waits_for_rack(p, job, step)) {
		g_ptr_array_free(places, TRUE);
		return;
	}
	if (!room)
		room = sch_places(p, job, turn, step, NULL, places);
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; room && n.index < count; n.index++) {
		w = g_ptr_array_index(places, n.index);
		if (trial)
			sch_trial_begin(p, w, job);
		p->started++;
		p->v->start(p->v->arg, job, &n, attempt + 1, w);
	}
	if (room)
		job->rack_wait_since_ms = 0;
	g_ptr_array_free(places, TRUE);
	if (room || trial)
		return;
	if (job->spec.steps[step].flags & JTB_LONG_RUNNING)
		p->v->starved(p->v->arg, p->name);
	sch_miss(p, &job->spec.steps[step]);
}
