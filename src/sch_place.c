#include "sch_int.h"

/*
 * Where a task may run: the workers of a pool, their free capacity and score.
 */

/* Different jobs that must fail on a worker in a row to make it suspect. */
#define SCH_SUSPECT_FAILS 3
/* Delay until a suspect worker is tried with one task, ms. */
#define SCH_SUSPECT_RETRY_MS 5000
/* Time without a failure after which a worker is no longer suspect, ms. */
#define SCH_SUSPECT_EXPIRE_MS 60000

static void sch_collect_workers(struct sch_pool *p);
static void sch_update_suspects(struct sch_pool *p);
static void sch_update_slow(struct sch_pool *p);
static struct jtb_worker *sch_place_by_zones(struct sch_pool *p,
					     const struct jtb_job *job,
					     uint32_t step, bool failed_before);
static struct jtb_worker *sch_best_of(struct sch_pool *p, GPtrArray *workers,
				      const struct jtb_job *job, uint32_t step,
				      bool failed_before);
static bool sch_fits_beside_long_running(const struct jtb_worker *w,
					 const struct jtb_step *s);
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s);

/* Initialises the state of a pool with its usable workers. */
void sch_pool_init(struct sch_pool *p, const struct sch_view *v,
		   const char *name)
{
	*p = (struct sch_pool){.v = v, .name = name};
	p->reserved = g_ptr_array_new();
	p->zones = sch_zones_new();
	sch_collect_workers(p);
}

/* Frees the state of a pool. */
void sch_pool_clear(struct sch_pool *p)
{
	g_ptr_array_free(p->workers, TRUE);
	g_ptr_array_free(p->reserved, TRUE);
	g_array_free(p->zones, TRUE);
}

/* Collects the workers of a pool that may be assigned work. */
static void sch_collect_workers(struct sch_pool *p)
{
	GPtrArray *all = jtb_pool_workers(p->v->jtb, p->name);
	guint i;

	p->workers = g_ptr_array_new();
	for (i = 0; all && i < all->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(all, i);

		if (!sch_usable(p->v, w))
			continue;
		w->excluded = false;
		sch_update_isolation(p, w);
		g_ptr_array_add(p->workers, w);
		sch_zones_add(p, w);
	}
	sch_update_suspects(p);
	sch_update_slow(p);
}

/*
 * Determines which workers are suspect. This handles a worker that fails every
 * task it starts: it always has the most free capacity and attracts all waiting
 * tasks, and without this check half of the jobs failed permanently on it. If
 * half of the workers or more are suspect, the jobs are the more likely cause,
 * and no worker is avoided.
 */
static void sch_update_suspects(struct sch_pool *p)
{
	guint n = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		if (w->failed_jobs != w->failed_jobs_seen)
			w->failed_jobs_changed_ms = p->v->now_ms;
		w->failed_jobs_seen = w->failed_jobs;
		n += sch_is_suspect_worker(w, p->v->now_ms);
	}
	p->avoid_suspects = n && 2 * n < p->workers->len;
}

/*
 * Determines whether slow workers are avoided: not where half of a pool seems
 * slow, as it is the work that takes longer then.
 */
static void sch_update_slow(struct sch_pool *p)
{
	guint n = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		n += slw_is_slow(&w->speed);
	}
	p->avoid_slow = n && 2 * n < p->workers->len;
}

/*
 * Whether a worker is too slow for a task now. It gets one at a time, and only
 * where no other worker has room; after a while without a task it is tried as if
 * it were not slow. A gang that fits nowhere else takes all its room, as it
 * starts as a whole or not at all. Tasks that run until they are cancelled don't
 * take longer.
 */
bool sch_is_too_slow(const struct sch_pool *p, const struct jtb_worker *w,
		     const struct jtb_step *s)
{
	if (!p->avoid_slow || s->flags & JTB_LONG_RUNNING ||
	    !slw_is_slow(&w->speed))
		return false;
	if (!(s->flags & JTB_GANG) &&
	    (w->runs->len || w->proposed_cpu || w->proposed_mem))
		return true;
	return p->skip_slow && !slw_is_due(&w->speed, p->v->now_ms);
}

/*
 * Whether several different jobs failed on a worker recently and none has
 * completed there since.
 */
bool sch_is_suspect_worker(const struct jtb_worker *w, int64_t now_ms)
{
	return w->failed_jobs >= SCH_SUSPECT_FAILS &&
	       now_ms - w->failed_jobs_changed_ms < SCH_SUSPECT_EXPIRE_MS;
}

/*
 * Whether a worker is not to get a task of a step now as it is suspect. It is
 * tried with one task at a time, never with one that has failed before; a task
 * that completes clears it. A long-running task never completes, and any time
 * without a run is lost: it only waits for the pause to pass, which is shorter
 * than the time that it may be without a run.
 */
bool sch_is_backed_off(const struct sch_pool *p, const struct jtb_worker *w,
		       const struct jtb_step *s, bool failed_before)
{
	bool in_pause =
		p->v->now_ms - w->failed_jobs_changed_ms < SCH_SUSPECT_RETRY_MS;

	if (!p->avoid_suspects || !sch_is_suspect_worker(w, p->v->now_ms))
		return false;
	if (s->flags & JTB_LONG_RUNNING)
		return in_pause;
	return failed_before || in_pause || w->runs->len || w->proposed_cpu;
}

/* Whether new work may be assigned to a worker. */
bool sch_usable(const struct sch_view *v, const struct jtb_worker *w)
{
	bool closed = g_hash_table_size(v->closed) &&
		      g_hash_table_contains(v->closed, w->info.id);

	return !closed && v->usable(v->arg, w);
}

/*
 * Returns the best worker for a task of a step, or NULL. failed_before: an
 * earlier attempt of the task failed.
 */
struct jtb_worker *sch_place(struct sch_pool *p, const struct jtb_job *job,
			     uint32_t step, bool failed_before)
{
	struct jtb_worker *best;

	p->skip_slow = p->avoid_slow;
	best = sch_place_by_zones(p, job, step, failed_before);
	p->skip_slow = false;
	return best || !p->avoid_slow
		       ? best
		       : sch_place_by_zones(p, job, step, failed_before);
}

/* Returns the best worker of the first zone that has one, or NULL. */
static struct jtb_worker *sch_place_by_zones(struct sch_pool *p,
					     const struct jtb_job *job,
					     uint32_t step, bool failed_before)
{
	struct jtb_worker *best = NULL;
	guint i;

	if (!p->n_order)
		return sch_best_of(p, p->workers, job, step, failed_before);
	for (i = 0; i < p->n_order && !best; i++)
		best = sch_best_of(p, sch_zone_workers(p, i), job, step,
				   failed_before);
	if (best)
		sch_placed_near(p, best);
	return best;
}

/* Returns the best of these workers for a task of a step, or NULL. */
static struct jtb_worker *sch_best_of(struct sch_pool *p, GPtrArray *workers,
				      const struct jtb_job *job, uint32_t step,
				      bool failed_before)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_score = 0;
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(workers, i);
		double score;

		if (!sch_fits(w, s) || !sch_allowed(w, s) ||
		    sch_is_backed_off(p, w, s, failed_before) ||
		    sch_is_too_slow(p, w, s) || sch_is_reserved(p, w) ||
		    sch_is_reserved_for_retry(p, w, job) ||
		    (p->rack && g_strcmp0(sch_rack_of(w), p->rack) != 0))
			continue;
		score = sch_score(p, w, s) + sch_near_score(p, w);
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
 * Finds workers for all tasks of a step at once, on one rack or, if rack is
 * NULL, on any, and fills places with one worker per task. Returns false if not
 * all of them fit. Capacity is reserved only while the search lasts.
 */
bool sch_place_gang(struct sch_pool *p, const struct jtb_job *job,
		    uint32_t turn, uint32_t step, const char *rack,
		    GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	struct jtb_worker *w = NULL;
	guint i;

	g_ptr_array_set_size(places, 0);
	p->rack = rack;
	sch_count_step_tasks(p, job, turn, step);
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
 * Reserves a worker for a long-running task that did not fit: the worker gets
 * nothing else until the task fits, and is the same one in every plan.
 * Otherwise short tasks, which fill each gap as soon as it opens, would for
 * ever keep out a task that needs two cores at once. Other long-running tasks
 * never give up their capacity: a worker reserved while they occupy too much of
 * it would stay reserved for ever, and be lost to tasks that do fit.
 */
void sch_reserve_worker(struct sch_pool *p, const struct jtb_job *job,
			uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct jtb_worker *best = NULL;
	double best_free = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		double free_cpu =
			(double)w->info.cpu - w->used_cpu - w->proposed_cpu;

		if (!sch_fits_beside_long_running(w, s) || !sch_allowed(w, s) ||
		    sch_is_backed_off(p, w, s, true) || sch_is_reserved(p, w) ||
		    sch_is_reserved_for_retry(p, w, job))
			continue;
		if (w->reserved_for == job->seq + 1)
			free_cpu += w->info.cpu;
		if (best && free_cpu <= best_free)
			continue;
		best = w;
		best_free = free_cpu;
	}
	if (!best)
		return;
	best->reserved_for = job->seq + 1;
	best->reserved_ms = p->v->now_ms;
	g_ptr_array_add(p->reserved, best);
}

/* Whether a worker is reserved for a long-running task in this plan. */
bool sch_is_reserved(const struct sch_pool *p, const struct jtb_worker *w)
{
	return g_ptr_array_find(p->reserved, w, NULL);
}

/*
 * Excludes the workers that have no ticket for a step of a queue that requires
 * advice, as they would refuse a start without one. Returns false if no worker
 * has one. The step then waits for advice, which does not show that the pool is
 * full: it must neither end the plan nor make the pool ask for VMs.
 */
bool sch_apply_tickets(struct sch_pool *p, const struct jtb_job *job,
		       uint32_t turn, uint32_t step)
{
	bool advised = p->queue->advised && p->v->has_ticket;
	bool any = !advised;
	guint i;

	if (!advised && !p->excluded)
		return true;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		w->excluded = advised &&
			      !p->v->has_ticket(p->v->arg, job, turn, step, w);
		any = any || !w->excluded;
	}
	p->excluded = advised;
	return any;
}

/* Whether a worker may run a step, regardless of its free capacity. */
bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s)
{
	if (w->excluded || (s->label && !sch_has_label(w, s->label)))
		return false;
	return !s->max_per_worker || w->tasks_of_step < s->max_per_worker;
}

/* Whether a task fits into a worker's free capacity. */
bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;

	return w->used_cpu + w->proposed_cpu + cpu <= w->info.cpu &&
	       w->used_mem + w->proposed_mem + s->mem_mb <= w->info.mem_mb &&
	       w->used_gpus + w->proposed_gpus + s->gpus <= w->info.gpus;
}

/*
 * Whether a task would fit on a worker with only its long-running tasks left.
 */
static bool sch_fits_beside_long_running(const struct jtb_worker *w,
					 const struct jtb_step *s)
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
 * Scores a worker for a task; the highest score wins. Tasks are packed: the
 * fullest worker that fits goes first. If tasks were spread, after a burst each
 * VM of a pool would keep a last task for as long as tasks take, and the next
 * burst would wait for all of them; with packing the other VMs are empty at
 * once. A packed worker that fails takes more tasks with it, and as many fewer
 * workers have any to lose. The rack of the data counts for more than packing.
 */
static double sch_score(struct sch_pool *p, const struct jtb_worker *w,
			const struct jtb_step *s)
{
	double cpu = w->info.cpu ? w->info.cpu : 1;
	double score = (w->used_cpu + w->proposed_cpu) / cpu;
	guint i;

	if (s->rack && sch_has_label(w, s->rack))
		score += 10;
	if (s->flags & JTB_LONG_RUNNING && p->v->upkeep_due(p->v->arg, w))
		score -= 20;
	/*
	 * Long-running tasks are kept together, so that most VMs are free of
	 * them and can follow the load to other pools.
	 */
	if (s->flags & JTB_LONG_RUNNING && sch_runs_long_running(w))
		score += 3;
	if (!(s->flags & JTB_BEST_EFFORT) && !s->slo_ms)
		return score;
	/*
	 * Tasks that use idle processors disturb serving tasks on the same
	 * worker.
	 */
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
 * Counts for each worker the tasks of a step that it runs or is about to run.
 * This is done once before the step's tasks are placed: counting anew for each
 * task and worker blocked the event loop with a large step.
 */
void sch_count_step_tasks(struct sch_pool *p, const struct jtb_job *job,
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
 * Whether a task of this size or smaller has not fitted on any worker in this
 * plan: free capacity only shrinks during a plan, so a larger task need not be
 * tried. This makes plans fast in bursts in which hundreds of jobs wait for a
 * full pool. Ending the plan after a number of failed placements instead left
 * the jobs behind them unplanned for ever where the first ones can never be
 * placed, and late jobs come first.
 */
bool sch_is_no_fit(const struct sch_pool *p, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	uint32_t i;

	for (i = 0; i < p->n_no_fits; i++)
		if (cpu >= p->no_fits[i].cpu &&
		    s->mem_mb >= p->no_fits[i].mem_mb &&
		    s->gpus >= p->no_fits[i].gpus)
			return true;
	return false;
}

/*
 * Records that a task did not fit on any worker, if lack of free capacity is
 * the only reason.
 */
void sch_record_no_fit(struct sch_pool *p, const struct jtb_step *s)
{
	guint i;

	if (p->n_no_fits == SCH_NO_FIT_MAX || sch_is_no_fit(p, s))
		return;
	for (i = 0; i < p->workers->len; i++) {
		struct jtb_worker *w = g_ptr_array_index(p->workers, i);

		if (sch_fits(w, s) && !sch_is_too_slow(p, w, s) &&
		    !sch_is_reserved(p, w) && !w->isolated_for)
			return;
	}
	p->no_fits[p->n_no_fits++] = (struct sch_no_fit){
		.cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu,
		.mem_mb = s->mem_mb,
		.gpus = s->gpus,
	};
}
