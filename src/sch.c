#include "sch.h"

#include <stdlib.h>

/*
 * A run that was refused or lost is tried again after so long, ms: at once it
 * would mostly meet the same cause.
 */
#define SCH_AGAIN_MS 50
/*
 * Sizes of tasks that a plan remembers as finding no room. Beyond them each
 * step is tried on every worker, which only costs time.
 */
#define SCH_MISSES_MAX 40

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

/* What a task needs that no worker has left. */
struct sch_miss {
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gpus;
};

/* The workers of one pool, while it is planned. */
struct sch_pool {
	const struct sch_view *v;
	const char *name;
	GPtrArray *workers; /* struct jtb_worker that may be given work */
	GPtrArray *kept; /* of these, kept free for work that lasts */
	struct sch_miss misses[SCH_MISSES_MAX];
	uint32_t n_misses;
	uint32_t started;
};

static void sch_workers(struct sch_pool *p);
static void sch_nobody(struct sch_pool *p);
static bool sch_lasts_waiting(const struct jtb_job *job, int64_t wall_ms);
static GArray *sch_cands(struct sch_pool *p);
static void sch_rank(const struct sch_view *v, struct sch_cand *c);
static int sch_order(gconstpointer a, gconstpointer b);
static void sch_job(struct sch_pool *p, struct sch_cand *c);
static void sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);
static void sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);
static struct jtb_worker *sch_place(struct sch_pool *p,
				    const struct jtb_job *job, uint32_t step);
static void sch_keep(struct sch_pool *p, const struct jtb_job *job,
		     uint32_t step);
static bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s);
static bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s);
static bool sch_could_fit(const struct jtb_worker *w, const struct jtb_step *s);
static bool sch_missed(const struct sch_pool *p, const struct jtb_step *s);
static void sch_miss(struct sch_pool *p, const struct jtb_step *s);
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s);
static bool sch_has_lasting(const struct jtb_worker *w);
static bool sch_has_label(const struct jtb_worker *w, const char *label);
static void sch_count_same(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn, uint32_t step);

/*
 * Starts what a pool has room for, best first. Returns how many starts were
 * given out.
 */
uint32_t sch_plan(const struct sch_view *v, const char *pool)
{
	struct sch_pool p = {.v = v, .name = pool};
	GArray *cands;
	guint i;

	p.kept = g_ptr_array_new();
	sch_workers(&p);
	if (p.workers->len) {
		cands = sch_cands(&p);
		g_array_sort(cands, sch_order);
		for (i = 0; i < cands->len; i++)
			sch_job(&p, &g_array_index(cands, struct sch_cand, i));
		g_array_free(cands, TRUE);
	} else {
		sch_nobody(&p);
	}
	g_ptr_array_free(p.workers, TRUE);
	g_ptr_array_free(p.kept, TRUE);
	return p.started;
}

/* The workers of a pool that may be given work. */
static void sch_workers(struct sch_pool *p)
{
	GHashTableIter it;
	struct jtb_worker *w;

	p->workers = g_ptr_array_new();
	g_hash_table_iter_init(&it, jtb_workers(p->v->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, p->name) == 0 &&
		    !g_hash_table_contains(p->v->closed, w->info.id) &&
		    p->v->usable(p->v->arg, w))
			g_ptr_array_add(p->workers, w);
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

		if (jtb_ended(job) || !pool || strcmp(pool, p->name) != 0 ||
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
			const struct jtb_part *part = jtb_part(job, t, s);

			if (job->spec.steps[s].flags & JTB_LASTS &&
			    jtb_step_due(job, t, s, wall_ms) &&
			    (!part || part->n_runs + part->n_planned <
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

		if (jtb_ended(c.job))
			continue;
		c.queue = jtb_queue(config, c.job->spec.queue);
		if (!c.queue || strcmp(c.queue->pool, p->name) != 0)
			continue;
		sch_rank(p->v, &c);
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
static void sch_rank(const struct sch_view *v, struct sch_cand *c)
{
	const struct jtb_job *job = c->job;
	enum sch_chance chance = sch_chance(c->queue, job, v->wall_ms);

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

	for (t = 0; t < job->n_turns; t++) {
		if (p->v->wall_ms < jtb_turn_due(job, t))
			break;
		for (s = 0; s < job->spec.n_steps; s++) {
			if (job->turns[t].done & (1ULL << s) ||
			    !jtb_step_due(job, t, s, p->v->wall_ms))
				continue;
			if (!(job->spec.steps[s].flags & JTB_LASTS) &&
			    sch_missed(p, &job->spec.steps[s]))
				continue;
			if (job->spec.steps[s].flags & JTB_GANG)
				sch_gang(p, job, t, s);
			else
				sch_part(p, job, t, s);
		}
	}
}

/*
 * Whether tasks of that size have found no room in this plan: rooms only
 * shrink while it goes on, so that no larger one needs to be tried. Made for
 * bursts in which hundreds of jobs wait for a full pool. To end the plan after
 * so many of them instead left those behind unlooked at for good where the
 * first ones can never be placed, and it is the late ones that come first.
 */
static bool sch_missed(const struct sch_pool *p, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_FILLS ? 0 : s->cpu;
	uint32_t i;

	for (i = 0; i < p->n_misses; i++)
		if (cpu >= p->misses[i].cpu &&
		    s->mem_mb >= p->misses[i].mem_mb &&
		    s->gpus >= p->misses[i].gpus)
			return true;
	return false;
}

/* Remembers that a task found no place, if it was for want of room alone. */
static void sch_miss(struct sch_pool *p, const struct jtb_step *s)
{
	guint i;

	if (p->n_misses == SCH_MISSES_MAX || sch_missed(p, s))
		return;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		if (sch_fits(w, s) && !g_ptr_array_find(p->kept, w, NULL))
			return;
	}
	p->misses[p->n_misses++] = (struct sch_miss){
		.cpu = s->flags & JTB_FILLS ? 0 : s->cpu,
		.mem_mb = s->mem_mb,
		.gpus = s->gpus,
	};
}

/* Plans the tasks of one step that wait. */
static void sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_part *part = jtb_part(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	struct jtb_worker *w;

	if (part && part->n_done + part->n_runs + part->n_planned >= count)
		return;
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	sch_count_same(p, job, turn, step);
	for (n.index = 0; n.index < count; n.index++) {
		const struct jtb_task *task = NULL;

		part = jtb_part(job, turn, step);
		if (part)
			task = &part->tasks[n.index];
		if (task && (task->done || task->run || task->planned ||
			     p->v->now_ms - task->free_ms < SCH_AGAIN_MS))
			continue;
		w = sch_place(p, job, step);
		if (!w && job->spec.steps[step].flags & JTB_LASTS) {
			p->v->starved(p->v->arg, p->name);
			sch_keep(p, job, step);
		}
		if (!w) {
			sch_miss(p, &job->spec.steps[step]);
			return;
		}
		p->started++;
		w->same_step++;
		p->v->start(p->v->arg, job, &n, task ? task->attempt + 1 : 1,
			    w);
	}
}

/* All of a gang in one go, with one number, or none of it. */
static void sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_part *part = jtb_part(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	GPtrArray *places;
	uint32_t attempt = 0;
	bool room = true;
	uint32_t i;

	if (part && part->n_runs + part->n_planned + part->n_done)
		return;
	for (i = 0; part && i < count; i++) {
		attempt = MAX(attempt, part->tasks[i].attempt);
		if (p->v->now_ms - part->tasks[i].free_ms < SCH_AGAIN_MS)
			return;
	}
	places = g_ptr_array_new();
	sch_count_same(p, job, turn, step);
	for (i = 0; i < count && room; i++) {
		struct jtb_worker *w = sch_place(p, job, step);

		room = w != NULL;
		if (!room)
			break;
		/* taken while the others are looked for */
		w->plan_cpu += job->spec.steps[step].cpu;
		w->plan_mem += job->spec.steps[step].mem_mb;
		w->plan_gpus += job->spec.steps[step].gpus;
		w->same_step++;
		g_ptr_array_add(places, w);
	}
	for (i = 0; i < places->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(places, i);

		w->plan_cpu -= job->spec.steps[step].cpu;
		w->plan_mem -= job->spec.steps[step].mem_mb;
		w->plan_gpus -= job->spec.steps[step].gpus;
	}
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; room && n.index < count; n.index++) {
		p->started++;
		p->v->start(p->v->arg, job, &n, attempt + 1,
			    g_ptr_array_index(places, n.index));
	}
	g_ptr_array_free(places, TRUE);
	if (!room)
		sch_miss(p, &job->spec.steps[step]);
}

/* The best worker for a task of the step, or NULL. */
static struct jtb_worker *sch_place(struct sch_pool *p,
				    const struct jtb_job *job, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double score;

		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    g_ptr_array_find(p->kept, w, NULL))
			continue;
		score = sch_score(p, w, s);
		if (w->kept_for == job->seq + 1)
			score += 20;
		if (!best || score > best_score) {
			best = w;
			best_score = score;
		}
	}
	return best;
}

/*
 * Work that lasts found no room: one worker gets nothing else until it fits,
 * the same in every plan. Short work that fills each gap as soon as it opens
 * would else keep out for good what needs two cores at once. Other work that
 * lasts never makes room: a worker kept free beside too much of it would stay
 * so for good, and have no room for what does fit.
 */
static void sch_keep(struct sch_pool *p, const struct jtb_job *job,
		     uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_room = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double room = (double)w->info.cpu - w->used_cpu - w->plan_cpu;

		if (!sch_could_fit(w, s) || !sch_allowed(w, s) ||
		    g_ptr_array_find(p->kept, w, NULL))
			continue;
		if (w->kept_for == job->seq + 1)
			room += w->info.cpu;
		if (best && room <= best_room)
			continue;
		best = w;
		best_room = room;
	}
	if (!best)
		return;
	best->kept_for = job->seq + 1;
	best->kept_ms = p->v->now_ms;
	g_ptr_array_add(p->kept, best);
}

/* Whether a worker may run the step at all, room or not. */
static bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s)
{
	if (s->label && !sch_has_label(w, s->label))
		return false;
	return !s->per_worker || w->same_step < s->per_worker;
}

/* Whether a task fits into what a worker has left. */
static bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_FILLS ? 0 : s->cpu;

	return w->used_cpu + w->plan_cpu + cpu <= w->info.cpu &&
	       w->used_mem + w->plan_mem + s->mem_mb <= w->info.mem_mb &&
	       w->used_gpus + w->plan_gpus + s->gpus <= w->info.gpus;
}

/* Whether a task fits beside what runs on a worker until it is cancelled. */
static bool sch_could_fit(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint64_t cpu = s->flags & JTB_FILLS ? 0 : s->cpu;
	uint64_t mem_mb = s->mem_mb;
	uint64_t gpus = s->gpus;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);
		const struct jtb_step *other = &r->job->spec.steps[r->step];

		if (!(other->flags & JTB_LASTS) || r->stop)
			continue;
		cpu += other->flags & JTB_FILLS ? 0 : other->cpu;
		mem_mb += other->mem_mb;
		gpus += other->gpus;
	}
	return cpu <= w->info.cpu && mem_mb <= w->info.mem_mb &&
	       gpus <= w->info.gpus;
}

/*
 * Spreads: the worker with the most room left, so that one that fails takes
 * little with it; where the data is counts for more than that.
 */
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s)
{
	double cpu = w->info.cpu ? w->info.cpu : 1;
	double score = 1 - (w->used_cpu + w->plan_cpu) / cpu;
	guint i;

	if (s->rack && sch_has_label(w, s->rack))
		score += 10;
	if (s->flags & JTB_LASTS && p->v->leaving(p->v->arg, w))
		score -= 20;
	/*
	 * Work that lasts keeps together, so that most VMs are free of it and
	 * can follow the load to other pools.
	 */
	if (s->flags & JTB_LASTS && sch_has_lasting(w))
		score += 3;
	if (!(s->flags & JTB_FILLS) && !s->tail_ms)
		return score;
	/* What fills idle processors disturbs what serves beside it. */
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);
		const struct jtb_step *other = &r->job->spec.steps[r->step];

		if (s->flags & JTB_FILLS && other->tail_ms)
			score -= 2;
		if (s->flags & JTB_FILLS && other->flags & JTB_FILLS)
			score -= 0.5;
		if (s->tail_ms && other->flags & JTB_FILLS)
			score -= 2;
	}
	return score;
}

/* Whether work that lasts runs on a worker. */
static bool sch_has_lasting(const struct jtb_worker *w)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);

		if (r->job->spec.steps[r->step].flags & JTB_LASTS)
			return true;
	}
	return false;
}

/* Whether a worker has a label. */
static bool sch_has_label(const struct jtb_worker *w, const char *label)
{
	return g_strv_contains((const char *const *)w->info.labels, label);
}

/*
 * Counts for each worker how many tasks of a step it runs or is about to run:
 * once before the step's tasks are placed, since to count for each task and
 * worker took 100 ms for 400 tasks on 70 VMs.
 */
static void sch_count_same(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn, uint32_t step)
{
	const struct jtb_part *part = jtb_part(job, turn, step);
	uint32_t i;

	if (!job->spec.steps[step].per_worker)
		return;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->same_step = 0;
	}
	for (i = 0; part && i < job->spec.steps[step].count; i++) {
		const struct jtb_task *task = &part->tasks[i];

		if (task->run)
			task->run->worker->same_step++;
		else if (task->planned && task->planned_on)
			task->planned_on->same_step++;
	}
}
