#include "sch.h"

#include <stdlib.h>

/*
 * A run that was refused or lost is tried again after so long, ms: at once it
 * would mostly meet the same cause.
 */
#define SCH_AGAIN_MS 50
/* Jobs that fail to be placed in one plan until it ends: the pool is full. */
#define SCH_MISSES_MAX 40
/*
 * A gang that is slow on more than one rack takes about so many times as long
 * there: what the users' sites say.
 */
#define SCH_SPREAD_FACTOR 3
/* Longest that it waits for one rack, ms. */
#define SCH_RACK_WAIT_MS 1500
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

/* A rack, and how many tasks of a step fit there. */
struct sch_rack {
	const char *name;
	uint32_t fits;
	bool data; /* the step's data is there */
};

/* The workers of one pool, while it is planned. */
struct sch_pool {
	const struct sch_view *v;
	const char *name;
	GPtrArray *workers; /* struct jtb_worker that may be given work */
	GPtrArray *kept; /* of these, kept free for work that lasts */
	const struct jtb_queue *queue; /* of the job being planned */
	bool barred; /* some workers were, for the last step */
	const char *rack; /* that a gang is placed on; NULL: any */
	uint32_t started;
};

static void sch_workers(struct sch_pool *p);
static GArray *sch_cands(struct sch_pool *p);
static void sch_rank(int64_t wall_ms, struct sch_cand *c);
static int sch_order(gconstpointer a, gconstpointer b);
static bool sch_job(struct sch_pool *p, struct sch_cand *c);
static bool sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);
static bool sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step);
static bool sch_gang_places(struct sch_pool *p, const struct jtb_job *job,
			    uint32_t turn, uint32_t step, const char *rack,
			    GPtrArray *places);
static bool sch_one_rack(struct sch_pool *p, const struct jtb_job *job,
			 uint32_t turn, uint32_t step, GPtrArray *places);
static bool sch_waits_for_rack(struct sch_pool *p, struct jtb_job *job,
			       uint32_t step);
static GArray *sch_racks(struct sch_pool *p, const struct jtb_step *s,
			 bool now);
static uint32_t sch_fit_count(const struct jtb_worker *w,
			      const struct jtb_step *s, bool now);
static int sch_rack_order(gconstpointer a, gconstpointer b);
static const char *sch_rack_of(const struct jtb_worker *w);
static struct jtb_worker *sch_place(struct sch_pool *p,
				    const struct jtb_job *job, uint32_t step);
static void sch_keep(struct sch_pool *p, const struct jtb_job *job,
		     uint32_t step);
static bool sch_tickets(struct sch_pool *p, const struct jtb_job *job,
			uint32_t turn, uint32_t step);
static bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s);
static bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s);
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
	uint32_t misses = 0;
	guint i;

	p.kept = g_ptr_array_new();
	sch_workers(&p);
	cands = sch_cands(&p);
	g_array_sort(cands, sch_order);
	for (i = 0; i < cands->len && misses < SCH_MISSES_MAX; i++)
		if (!sch_job(&p, &g_array_index(cands, struct sch_cand, i)))
			misses++;
	g_array_free(cands, TRUE);
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
		    p->v->usable(p->v->arg, w)) {
			w->barred = false;
			g_ptr_array_add(p->workers, w);
		}
}

/* The jobs of a pool that aren't over. */
static GArray *sch_cands(struct sch_pool *p)
{
	const struct jtb_config *config = jtb_config(p->v->jtb);
	GPtrArray *live = jtb_live(p->v->jtb);
	GArray *cands = g_array_new(FALSE, FALSE, sizeof(struct sch_cand));
	guint i;

	for (i = 0; i < live->len && p->workers->len; i++) {
		struct sch_cand c = {.job = g_ptr_array_index(live, i)};

		if (jtb_ended(c.job))
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

/* Starts what can be of a job; false: something found no room. */
static bool sch_job(struct sch_pool *p, struct sch_cand *c)
{
	struct jtb_job *job = c->job;
	bool all = true;
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
			if (job->spec.steps[s].flags & JTB_GANG)
				all = sch_gang(p, job, t, s) && all;
			else
				all = sch_part(p, job, t, s) && all;
		}
	}
	return all;
}

/* Plans the tasks of one step that wait; false: one found no room. */
static bool sch_part(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_part *part = jtb_part(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	struct jtb_worker *w;

	if (part && part->n_done + part->n_runs + part->n_planned >= count)
		return true;
	if (!sch_tickets(p, job, turn, step))
		return true;
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
		if (!w)
			return false;
		p->started++;
		w->same_step++;
		p->v->start(p->v->arg, job, &n, task ? task->attempt + 1 : 1,
			    w);
	}
	return true;
}

/* All of a gang in one go, with one number, or none of it. */
static bool sch_gang(struct sch_pool *p, struct jtb_job *job, uint32_t turn,
		     uint32_t step)
{
	const struct jtb_part *part = jtb_part(job, turn, step);
	uint32_t count = job->spec.steps[step].count;
	struct jtb_name n = {.turn = turn, .step = step};
	GPtrArray *places;
	uint32_t attempt = 0;
	bool room;
	uint32_t i;

	if (part && part->n_runs + part->n_planned + part->n_done)
		return true;
	for (i = 0; part && i < count; i++) {
		attempt = MAX(attempt, part->tasks[i].attempt);
		if (p->v->now_ms - part->tasks[i].free_ms < SCH_AGAIN_MS)
			return true;
	}
	if (!sch_tickets(p, job, turn, step))
		return true;
	places = g_ptr_array_new();
	room = sch_one_rack(p, job, turn, step, places);
	if (!room && sch_waits_for_rack(p, job, step)) {
		g_ptr_array_free(places, TRUE);
		return true;
	}
	if (!room)
		room = sch_gang_places(p, job, turn, step, NULL, places);
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; room && n.index < count; n.index++) {
		p->started++;
		p->v->start(p->v->arg, job, &n, attempt + 1,
			    g_ptr_array_index(places, n.index));
	}
	if (room)
		job->rack_ms = 0;
	g_ptr_array_free(places, TRUE);
	return room;
}

/* A place for each of a gang, on one rack or, for NULL, on any. */
static bool sch_gang_places(struct sch_pool *p, const struct jtb_job *job,
			    uint32_t turn, uint32_t step, const char *rack,
			    GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	guint i;

	g_ptr_array_set_size(places, 0);
	sch_count_same(p, job, turn, step);
	p->rack = rack;
	while (places->len < s->count) {
		struct jtb_worker *w = sch_place(p, job, step);

		if (!w)
			break;
		/* taken while the others are looked for */
		w->plan_cpu += s->cpu;
		w->plan_mem += s->mem_mb;
		w->plan_gpus += s->gpus;
		w->same_step++;
		g_ptr_array_add(places, w);
	}
	p->rack = NULL;
	for (i = 0; i < places->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(places, i);

		w->plan_cpu -= s->cpu;
		w->plan_mem -= s->mem_mb;
		w->plan_gpus -= s->gpus;
	}
	return places->len == s->count;
}

/*
 * Places for a gang that is slow on more than one rack: on the rack of its
 * data, or else on the one with the most room that has enough.
 */
static bool sch_one_rack(struct sch_pool *p, const struct jtb_job *job,
			 uint32_t turn, uint32_t step, GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	GArray *racks;
	bool room = false;
	guint i;

	if (!(s->flags & JTB_ONE_RACK))
		return false;
	racks = sch_racks(p, s, true);
	for (i = 0; i < racks->len && !room; i++) {
		const struct sch_rack *r =
			&g_array_index(racks, struct sch_rack, i);

		if (r->fits < s->count)
			continue;
		room = sch_gang_places(p, job, turn, step, r->name, places);
	}
	g_array_free(racks, TRUE);
	return room;
}

/*
 * Whether a gang that found room on no single rack waits for it. Spread over
 * several it takes about three times as long: two times its guess more. So it
 * waits as long as that at most, and comes out no worse than twice what would
 * have been best, whenever a rack gets free; and for no longer than 1.5 s, as
 * its caller sees a job that stands still beside free room. Where no rack
 * could hold it even when empty, there is nothing to wait for.
 */
static bool sch_waits_for_rack(struct sch_pool *p, struct jtb_job *job,
			       uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	int64_t patience = MIN((int64_t)s->guess_ms * (SCH_SPREAD_FACTOR - 1),
			       SCH_RACK_WAIT_MS);
	GArray *racks;
	bool ever = false;
	guint i;

	if (!(s->flags & JTB_ONE_RACK))
		return false;
	racks = sch_racks(p, s, false);
	for (i = 0; i < racks->len && !ever; i++)
		ever = g_array_index(racks, struct sch_rack, i).fits >=
		       s->count;
	g_array_free(racks, TRUE);
	if (!ever)
		return false;
	if (!job->rack_ms)
		job->rack_ms = p->v->now_ms;
	return p->v->now_ms - job->rack_ms < patience;
}

/*
 * The racks of a pool with how many tasks of a step fit there, now or when
 * empty; that of its data first, then those with the most room.
 */
static GArray *sch_racks(struct sch_pool *p, const struct jtb_step *s, bool now)
{
	GArray *racks = g_array_new(FALSE, TRUE, sizeof(struct sch_rack));
	guint i;
	guint r;

	for (i = 0; i < p->workers->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		const char *name = sch_rack_of(w);
		struct sch_rack rack = {.name = name};

		if (!name || w->barred ||
		    (s->label && !sch_has_label(w, s->label)))
			continue;
		for (r = 0; r < racks->len; r++)
			if (strcmp(g_array_index(racks, struct sch_rack, r)
					   .name,
				   name) == 0)
				break;
		rack.data = s->rack && strcmp(s->rack, name) == 0;
		if (r == racks->len)
			g_array_append_val(racks, rack);
		g_array_index(racks, struct sch_rack, r).fits +=
			sch_fit_count(w, s, now);
	}
	g_array_sort(racks, sch_rack_order);
	return racks;
}

/* How many tasks of a step fit into a worker, now or when it is empty. */
static uint32_t sch_fit_count(const struct jtb_worker *w,
			      const struct jtb_step *s, bool now)
{
	uint32_t n = s->per_worker ? s->per_worker : JTB_TASKS_MAX;
	uint32_t cpu = now ? w->used_cpu + w->plan_cpu : 0;
	uint32_t mem = now ? w->used_mem + w->plan_mem : 0;
	uint32_t gpus = now ? w->used_gpus + w->plan_gpus : 0;

	if (s->cpu && !(s->flags & JTB_FILLS))
		n = MIN(n, (w->info.cpu - MIN(cpu, w->info.cpu)) / s->cpu);
	if (s->mem_mb)
		n = MIN(n, (w->info.mem_mb - MIN(mem, w->info.mem_mb)) /
				   s->mem_mb);
	if (s->gpus)
		n = MIN(n, (w->info.gpus - MIN(gpus, w->info.gpus)) / s->gpus);
	return n;
}

/* Orders racks: where they have enough, that of the data first. */
static int sch_rack_order(gconstpointer a, gconstpointer b)
{
	const struct sch_rack *x = a;
	const struct sch_rack *y = b;

	if (x->data != y->data)
		return x->data ? -1 : 1;
	if (x->fits != y->fits)
		return x->fits > y->fits ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* The rack that a worker is in, or NULL. */
static const char *sch_rack_of(const struct jtb_worker *w)
{
	char **labels = w->info.labels;

	return labels && labels[0] ? labels[1] : NULL;
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
		    g_ptr_array_find(p->kept, w, NULL) ||
		    (p->rack && g_strcmp0(sch_rack_of(w), p->rack) != 0))
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
 * would else keep out for good what needs two cores at once.
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

		if (w->info.cpu < s->cpu || w->info.mem_mb < s->mem_mb ||
		    w->info.gpus < s->gpus || !sch_allowed(w, s) ||
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

/*
 * Bars the workers that have no ticket for a step of a queue with advice: a
 * start without one is refused. False: none has one. The step then waits for
 * advice, which says nothing of the pool's room; it must neither end the plan
 * as full nor have VMs come.
 */
static bool sch_tickets(struct sch_pool *p, const struct jtb_job *job,
			uint32_t turn, uint32_t step)
{
	bool advised = p->queue->advised && p->v->ticketed;
	bool any = !advised;
	guint i;

	if (!advised && !p->barred)
		return true;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->barred = advised &&
			    !p->v->ticketed(p->v->arg, job, turn, step, w);
		any = any || !w->barred;
	}
	p->barred = advised;
	return any;
}

/* Whether a worker may run the step at all, room or not. */
static bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s)
{
	if (w->barred || (s->label && !sch_has_label(w, s->label)))
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
