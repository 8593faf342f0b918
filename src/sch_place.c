#include "sch_int.h"

/* Where a task may run: the workers of a pool, their room, and which is best. */

/* Different jobs that fail on a worker in a row until it is suspect. */
#define SCH_SUSPECT 3
/* A suspect worker is tried with one task after so long, ms, */
#define SCH_TRY_MS 5000
/* and is suspect no more if nothing has failed on it for so long, ms. */
#define SCH_TRUST_MS 60000

static void sch_workers(struct sch_pool *p);
static void sch_suspects(struct sch_pool *p);
static bool sch_could_fit(const struct jtb_worker *w, const struct jtb_step *s);
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s);

/* Begins to look at a pool: its workers that may be given work. */
void sch_pool_init(struct sch_pool *p, const struct sch_view *v,
		   const char *name)
{
	*p = (struct sch_pool){.v = v, .name = name};
	p->kept = g_ptr_array_new();
	sch_workers(p);
}

/* Ends it. */
void sch_pool_done(struct sch_pool *p)
{
	g_ptr_array_free(p->workers, TRUE);
	g_ptr_array_free(p->kept, TRUE);
}

/* The workers of a pool that may be given work. */
static void sch_workers(struct sch_pool *p)
{
	GHashTableIter it;
	struct jtb_worker *w;

	p->workers = g_ptr_array_new();
	g_hash_table_iter_init(&it, jtb_workers(p->v->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, p->name) == 0 && sch_usable(p->v, w)) {
			w->excluded = false;
			sch_trial_look(p, w);
			g_ptr_array_add(p->workers, w);
		}
	sch_suspects(p);
}

/*
 * Made for the worker that fails whatever it starts: it is always free first,
 * draws in all that waits, and half of the jobs failed for good on it. Were
 * more than half of the workers suspect, the jobs would rather be at fault, and
 * none is shunned.
 */
static void sch_suspects(struct sch_pool *p)
{
	guint n = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		if (w->failed_jobs != w->failed_jobs_seen)
			w->failed_jobs_changed_ms = p->v->now_ms;
		w->failed_jobs_seen = w->failed_jobs;
		n += sch_suspect(w, p->v->now_ms);
	}
	p->suspects = n && 2 * n < p->workers->len;
}

/* Whether different jobs failed on a worker lately, and none was done since. */
bool sch_suspect(const struct jtb_worker *w, int64_t now_ms)
{
	return w->failed_jobs >= SCH_SUSPECT &&
	       now_ms - w->failed_jobs_changed_ms < SCH_TRUST_MS;
}

/*
 * Whether a worker gets nothing of a step now as it is suspect. It is tried with
 * one task at a time, never one that has failed before; one that is done clears
 * it. What lasts is never done, and each moment without it is lost: it only
 * waits out the pause, which is shorter than it may be without a run.
 */
bool sch_shunned(const struct sch_pool *p, const struct jtb_worker *w,
		 const struct jtb_step *s, bool again)
{
	bool pause = p->v->now_ms - w->failed_jobs_changed_ms < SCH_TRY_MS;

	if (!p->suspects || !sch_suspect(w, p->v->now_ms))
		return false;
	if (s->flags & JTB_LONG_RUNNING)
		return pause;
	return again || pause || w->runs->len || w->proposed_cpu;
}

/* Whether new work may be given to a worker. */
bool sch_usable(const struct sch_view *v, const struct jtb_worker *w)
{
	return !g_hash_table_contains(v->closed, w->info.id) &&
	       v->usable(v->arg, w);
}

/* The best worker for a task of the step, or NULL. again: it has failed. */
struct jtb_worker *sch_place(struct sch_pool *p, const struct jtb_job *job,
			     uint32_t step, bool again)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double score;

		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_shunned(p, w, s, again) || sch_is_kept(p, w) ||
		    sch_reserved(p, w, job) ||
		    (p->rack && g_strcmp0(sch_rack_of(w), p->rack) != 0))
			continue;
		score = sch_score(p, w, s);
		if (w->reserved_for == job->seq + 1)
			score += 20;
		if (!best || score > best_score) {
			best = w;
			best_score = score;
		}
	}
	return best;
}

/*
 * Workers for all tasks of a step at once, one each in places, on one rack or,
 * for NULL, on any; false: not all of them have room. Room is taken while the
 * others are looked for.
 */
bool sch_places(struct sch_pool *p, const struct jtb_job *job, uint32_t turn,
		uint32_t step, const char *rack, GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	struct jtb_worker *w = NULL;
	guint i;

	g_ptr_array_set_size(places, 0);
	p->rack = rack;
	sch_count_same(p, job, turn, step);
	while (places->len < s->count && (w = sch_place(p, job, step, true))) {
		w->proposed_cpu += cpu;
		w->proposed_mem += s->mem_mb;
		w->proposed_gpus += s->gpus;
		w->tasks_of_step++;
		g_ptr_array_add(places, w);
	}
	p->rack = NULL;
	for (i = 0; i < places->len; i++) {
		w = g_ptr_array_index(places, i);
		w->proposed_cpu -= cpu;
		w->proposed_mem -= s->mem_mb;
		w->proposed_gpus -= s->gpus;
	}
	return places->len == s->count;
}

/*
 * Work that lasts found no room: one worker gets nothing else until it fits,
 * the same in every plan. Short work that fills each gap as soon as it opens
 * would else keep out for good what needs two cores at once. Other work that
 * lasts never makes room: a worker kept free beside too much of it would stay
 * so for good, and have no room for what does fit.
 */
void sch_keep(struct sch_pool *p, const struct jtb_job *job, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_room = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double room =
			(double)w->info.cpu - w->used_cpu - w->proposed_cpu;

		if (!sch_could_fit(w, s) || !sch_allowed(w, s) ||
		    sch_shunned(p, w, s, true) || sch_is_kept(p, w) ||
		    sch_reserved(p, w, job))
			continue;
		if (w->reserved_for == job->seq + 1)
			room += w->info.cpu;
		if (best && room <= best_room)
			continue;
		best = w;
		best_room = room;
	}
	if (!best)
		return;
	best->reserved_for = job->seq + 1;
	best->reserved_ms = p->v->now_ms;
	g_ptr_array_add(p->kept, best);
}

/* Whether a worker is kept free for work that lasts in this plan. */
bool sch_is_kept(const struct sch_pool *p, const struct jtb_worker *w)
{
	return g_ptr_array_find(p->kept, w, NULL);
}

/*
 * Bars the workers that have no ticket for a step of a queue with advice: a
 * start without one is refused. False: none has one. The step then waits for
 * advice, which says nothing of the pool's room; it must neither end the plan
 * as full nor have VMs come.
 */
bool sch_tickets(struct sch_pool *p, const struct jtb_job *job, uint32_t turn,
		 uint32_t step)
{
	bool advised = p->queue->advised && p->v->ticketed;
	bool any = !advised;
	guint i;

	if (!advised && !p->barred)
		return true;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->excluded = advised &&
			      !p->v->ticketed(p->v->arg, job, turn, step, w);
		any = any || !w->excluded;
	}
	p->barred = advised;
	return any;
}

/* Whether a worker may run the step at all, room or not. */
bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s)
{
	if (w->excluded || (s->label && !sch_has_label(w, s->label)))
		return false;
	return !s->max_per_worker || w->tasks_of_step < s->max_per_worker;
}

/* Whether a task fits into what a worker has left. */
bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;

	return w->used_cpu + w->proposed_cpu + cpu <= w->info.cpu &&
	       w->used_mem + w->proposed_mem + s->mem_mb <= w->info.mem_mb &&
	       w->used_gpus + w->proposed_gpus + s->gpus <= w->info.gpus;
}

/* Whether a task fits beside what runs on a worker until it is cancelled. */
static bool sch_could_fit(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint64_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	uint64_t mem_mb = s->mem_mb;
	uint64_t gpus = s->gpus;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);
		const struct jtb_step *other = &r->job->spec.steps[r->step];

		if (!(other->flags & JTB_LONG_RUNNING) ||
		    jtb_run_is_stopping(r))
			continue;
		cpu += other->flags & JTB_BEST_EFFORT ? 0 : other->cpu;
		mem_mb += other->mem_mb;
		gpus += other->gpus;
	}
	return cpu <= w->info.cpu && mem_mb <= w->info.mem_mb &&
	       gpus <= w->info.gpus;
}

/*
 * Packs: the fullest worker that has room. Where tasks are spread, each VM of a
 * pool whose burst is over has a last task on it for as long as tasks take, and
 * the next burst waits for all of these; packed, the others are empty at once. A
 * worker that fails takes more with it, and as many fewer have anything to
 * lose. Where the data is counts for more than that.
 */
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s)
{
	double cpu = w->info.cpu ? w->info.cpu : 1;
	double score = (w->used_cpu + w->proposed_cpu) / cpu;
	guint i;

	if (s->rack && sch_has_label(w, s->rack))
		score += 10;
	if (s->flags & JTB_LONG_RUNNING && p->v->leaving(p->v->arg, w))
		score -= 20;
	/*
	 * Work that lasts keeps together, so that most VMs are free of it and
	 * can follow the load to other pools.
	 */
	if (s->flags & JTB_LONG_RUNNING && sch_has_lasting(w))
		score += 3;
	if (!(s->flags & JTB_BEST_EFFORT) && !s->slo_ms)
		return score;
	/* What fills idle processors disturbs what serves beside it. */
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *r = g_ptr_array_index(w->runs, i);
		const struct jtb_step *other = &r->job->spec.steps[r->step];

		if (s->flags & JTB_BEST_EFFORT && other->slo_ms)
			score -= 2;
		if (s->flags & JTB_BEST_EFFORT &&
		    other->flags & JTB_BEST_EFFORT)
			score -= 0.5;
		if (s->slo_ms && other->flags & JTB_BEST_EFFORT)
			score -= 2;
	}
	return score;
}

/* Whether a worker has a label. */
bool sch_has_label(const struct jtb_worker *w, const char *label)
{
	return g_strv_contains((const char *const *)w->info.labels, label);
}

/*
 * Counts for each worker how many tasks of a step it runs or is about to run:
 * once before the step's tasks are placed, since to count for each task and
 * worker held the loop up with a large step.
 */
void sch_count_same(struct sch_pool *p, const struct jtb_job *job,
		    uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t i;

	if (!job->spec.steps[step].max_per_worker)
		return;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->tasks_of_step = 0;
	}
	for (i = 0; part && i < job->spec.steps[step].count; i++) {
		const struct jtb_task *task = &part->tasks[i];

		if (task->run)
			task->run->worker->tasks_of_step++;
		else if (task->start_proposed && task->proposed_worker)
			task->proposed_worker->tasks_of_step++;
	}
}

/*
 * Whether tasks of that size have found no room in this plan: rooms only
 * shrink while it goes on, so that no larger one needs to be tried. Made for
 * bursts in which hundreds of jobs wait for a full pool. To end the plan after
 * so many of them instead left those behind unlooked at for good where the
 * first ones can never be placed, and it is the late ones that come first.
 */
bool sch_missed(const struct sch_pool *p, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	uint32_t i;

	for (i = 0; i < p->n_misses; i++)
		if (cpu >= p->misses[i].cpu &&
		    s->mem_mb >= p->misses[i].mem_mb &&
		    s->gpus >= p->misses[i].gpus)
			return true;
	return false;
}

/* Remembers that a task found no place, if it was for want of room alone. */
void sch_miss(struct sch_pool *p, const struct jtb_step *s)
{
	guint i;

	if (p->n_misses == SCH_MISSES_MAX || sch_missed(p, s))
		return;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		if (sch_fits(w, s) && !sch_is_kept(p, w) && !w->isolated_for)
			return;
	}
	p->misses[p->n_misses++] = (struct sch_miss){
		.cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu,
		.mem_mb = s->mem_mb,
		.gpus = s->gpus,
	};
}
