#include "jtb_int.h"

static void jtb_ignore_run(void *arg, struct jtb_run *run);
static void jtb_ignore_run_end(void *arg, struct jtb_run *run,
			       enum jtb_end how);
static void jtb_ignore_run_stop(void *arg, struct jtb_run *run);
static void jtb_ignore_late_end(void *arg, const struct jtb_worker *w,
				const struct jtb_name *n, uint32_t attempt,
				enum jtb_end how);
static void jtb_ignore_job(void *arg, struct jtb_job *job);
static void jtb_ignore_worker(void *arg, struct jtb_worker *w);
static void jtb_ignore_config(void *arg);

/* Callbacks that do nothing, for a table without an observer. */
static const struct jtb_watch jtb_ignore_all = {
	.run_began = jtb_ignore_run,
	.run_ends = jtb_ignore_run_end,
	.run_stops = jtb_ignore_run_stop,
	.late_end = jtb_ignore_late_end,
	.job_changed = jtb_ignore_job,
	.worker_changed = jtb_ignore_worker,
	.worker_removed = jtb_ignore_worker,
	.config_changed = jtb_ignore_config,
};

/* Creates an empty table; watch may be NULL for no callbacks. */
struct jtb *jtb_new(const struct jtb_watch *watch, void *arg)
{
	struct jtb *t = g_new0(struct jtb, 1);

	t->watch = watch ? watch : &jtb_ignore_all;
	t->arg = arg;
	t->config = jtb_config_new();
	t->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					jtb_job_free);
	t->live = g_ptr_array_new();
	t->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   jtb_worker_free);
	t->by_pool = jtb_index_new();
	t->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t->waves = g_ptr_array_new_with_free_func(jtb_wave_free);
	t->usage = quo_new();
	t->overrides = ovr_new();
	t->next_serial = 1;
	return t;
}

/* Frees a table without calling back. */
void jtb_free(struct jtb *t)
{
	if (!t)
		return;
	jtb_clear(t);
	jtb_config_free(t->config);
	g_hash_table_destroy(t->jobs);
	g_ptr_array_free(t->live, TRUE);
	g_hash_table_destroy(t->workers);
	g_hash_table_destroy(t->by_pool);
	g_hash_table_destroy(t->removed);
	g_ptr_array_free(t->waves, TRUE);
	quo_free(t->usage);
	ovr_free(t->overrides);
	g_free(t);
}

/* Empties a table without calling back; its configuration stays. */
void jtb_clear(struct jtb *t)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	g_hash_table_iter_init(&it, t->workers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		for (i = 0; i < w->runs->len; i++)
			g_free(g_ptr_array_index(w->runs, i));
		g_ptr_array_set_size(w->runs, 0);
	}
	g_ptr_array_set_size(t->live, 0);
	quo_clear(t->usage);
	ovr_clear(t->overrides);
	g_hash_table_remove_all(t->jobs);
	g_hash_table_remove_all(t->workers);
	g_hash_table_remove_all(t->by_pool);
	g_hash_table_remove_all(t->removed);
	g_ptr_array_set_size(t->waves, 0);
}

/* Returns the configuration in force; its version is 0 before the first. */
const struct jtb_config *jtb_config(const struct jtb *t)
{
	return t->config;
}

/* Returns the job of an id, or NULL. */
struct jtb_job *jtb_job(const struct jtb *t, const char *id)
{
	return g_hash_table_lookup(t->jobs, id);
}

/* Returns the worker of an id, or NULL. */
struct jtb_worker *jtb_worker(const struct jtb *t, const char *id)
{
	return g_hash_table_lookup(t->workers, id);
}

/* Returns all workers by id; the table owns the hash table. */
GHashTable *jtb_workers(const struct jtb *t)
{
	return t->workers;
}

/* Returns all jobs by id; the table owns the hash table. */
GHashTable *jtb_jobs(const struct jtb *t)
{
	return t->jobs;
}

/* Returns the jobs that have not ended or that still have runs. */
GPtrArray *jtb_live(const struct jtb *t)
{
	return t->live;
}

/* Returns all maintenance waves in order of arrival. */
GPtrArray *jtb_waves(const struct jtb *t)
{
	return t->waves;
}

/* Returns what runs for each organisation. */
struct quo *jtb_usage(const struct jtb *t)
{
	return t->usage;
}

/* Returns what operators ordered for a while. */
const struct ovr *jtb_overrides(const struct jtb *t)
{
	return t->overrides;
}

/* Returns the maintenance wave of a number, or NULL. */
struct jtb_wave *jtb_wave(const struct jtb *t, uint64_t no)
{
	guint i;

	for (i = 0; i < t->waves->len; i++) {
		struct jtb_wave *w = g_ptr_array_index(t->waves, i);

		if (w->no == no)
			return w;
	}
	return NULL;
}

/*
 * Whether a worker's lifetime that began at started_ms, 0 if not known, is
 * permanently over: the id was removed, and not started again since.
 */
bool jtb_lifetime_is_over(const struct jtb *t, const char *worker,
			  int64_t started_ms)
{
	const int64_t *last = g_hash_table_lookup(t->removed, worker);

	return last && started_ms <= *last;
}

/* Returns the queue of a name, or NULL. */
const struct jtb_queue *jtb_queue(const struct jtb_config *c, const char *name)
{
	return g_hash_table_lookup(c->queue_by_name, name);
}

/* Returns the queue of a host with the longest prefix of path, or NULL. */
const struct jtb_queue *jtb_route(const struct jtb_config *c, const char *host,
				  const char *path)
{
	char *lower = g_ascii_strdown(host, -1);
	const GPtrArray *of_host =
		g_hash_table_lookup(c->queues_by_host, lower);
	const struct jtb_queue *best = NULL;
	size_t best_len = 0;
	guint i;

	g_free(lower);
	for (i = 0; of_host && i < of_host->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(of_host, i);
		size_t len = strlen(q->prefix);

		if (strncmp(path, q->prefix, len) != 0)
			continue;
		if (!best || len > best_len) {
			best = q;
			best_len = len;
		}
	}
	return best;
}

/* Returns the pool of a name, or NULL. */
const struct jtb_pool *jtb_pool(const struct jtb_config *c, const char *name)
{
	return g_hash_table_lookup(c->pool_by_name, name);
}

/* Returns the pool a job runs in now; NULL if its queue was removed. */
const char *jtb_pool_of(const struct jtb *t, const struct jtb_job *job)
{
	const struct jtb_queue *q = jtb_queue(t->config, job->spec.queue);

	return q ? q->pool : NULL;
}

/* Counts the jobs of a queue that have no confirmed start yet. */
uint32_t jtb_count_pending(const struct jtb *t, const char *queue)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < t->live->len; i++) {
		const struct jtb_job *job = g_ptr_array_index(t->live, i);

		if (!jtb_job_ended(job) &&
		    (!job->started || job->start_unconfirmed) &&
		    strcmp(job->spec.queue, queue) == 0)
			n++;
	}
	return n;
}

/* Returns a task's run if attempt and worker id match, else NULL. */
struct jtb_run *jtb_find_run(const struct jtb *t, const struct jtb_name *name,
			     uint32_t attempt, const char *worker)
{
	const struct jtb_job *job = jtb_job(t, name->id);
	const struct jtb_task *task;

	if (!job)
		return NULL;
	task = jtb_task_at(job, name, false);
	if (!task || !task->run || task->run->attempt != attempt ||
	    strcmp(task->run->worker->info.id, worker) != 0)
		return NULL;
	return task->run;
}

/* Whether a stop of a run is wanted, proposed or committed. */
bool jtb_run_is_stopping(const struct jtb_run *run)
{
	return run->stop_wanted || run->stop_proposed || run->stopping;
}

/* Whether a task fits into a worker's free capacity, by committed runs only. */
bool jtb_fits(const struct jtb_worker *w, const struct jtb_step *s)
{
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;

	return w->used_cpu + cpu <= w->info.cpu &&
	       w->used_mem + s->mem_mb <= w->info.mem_mb &&
	       w->used_gpus + s->gpus <= w->info.gpus;
}

/*
 * Returns what a task of a step counts against its organisation's limit. Cores
 * count in full also where they take nothing from other work on the worker:
 * the limit is on what an organisation has running.
 */
struct org_amount jtb_step_amount(const struct jtb_step *s)
{
	return (struct org_amount){
		.cpu = s->cpu,
		.mem_mb = s->mem_mb,
		.gpus = s->gpus,
	};
}

/*
 * Returns the number of the first step of a job that could never run within the
 * limit of an organisation, or -1; o is NULL for work of no organisation.
 */
int jtb_oversized_step(const struct jtb_spec *spec, const struct org *o)
{
	uint32_t i;

	for (i = 0; i < spec->n_steps; i++) {
		const struct jtb_step *s = &spec->steps[i];
		struct org_amount amount = jtb_step_amount(s);

		if (!quo_ever_fits(o, &amount,
				   s->flags & JTB_GANG ? s->count : 1))
			return (int)i;
	}
	return -1;
}

/* Whether a worker's runs exceed its capacity, since that was reduced. */
bool jtb_is_overcommitted(const struct jtb_worker *w)
{
	return w->used_cpu > w->info.cpu || w->used_mem > w->info.mem_mb ||
	       w->used_gpus > w->info.gpus;
}

/* Returns a step's state in one turn; NULL if nothing of the turn started. */
struct jtb_step_state *jtb_step_state(const struct jtb_job *job, uint32_t turn,
				      uint32_t step)
{
	return job->turns[turn].steps ? &job->turns[turn].steps[step] : NULL;
}

/* Returns the checkpoint that a run's start carries, or NULL. */
const char *jtb_checkpoint(const struct jtb_run *run)
{
	struct jtb_name n;

	jtb_name_of(run, &n);
	return jtb_checkpoint_holder(run->job, &n)->checkpoint;
}

/*
 * Returns the task that a task's checkpoint is kept with. The checkpoint of any
 * member is valid for its gang, and all must start with the same one: kept by
 * each for itself they would differ after a member was lost without a report.
 */
struct jtb_task *jtb_checkpoint_holder(const struct jtb_job *job,
				       const struct jtb_name *n)
{
	struct jtb_name first = *n;

	if (job->spec.steps[n->step].flags & JTB_GANG)
		first.index = 0;
	return jtb_task_at(job, &first, false);
}

/*
 * Whether a run is of a gang of which another member has no run of the same
 * attempt, nor will have one: it has ended, or its start was not valid any more.
 */
bool jtb_gang_has_left(const struct jtb_run *run)
{
	const struct jtb_step *step = &run->job->spec.steps[run->step];
	const struct jtb_step_state *state =
		jtb_step_state(run->job, run->turn, run->step);
	uint32_t i;

	for (i = 0; step->flags & JTB_GANG && i < step->count; i++) {
		const struct jtb_task *task = &state->tasks[i];

		if (!task->start_proposed &&
		    (!task->run || task->run->attempt != run->attempt))
			return true;
	}
	return false;
}

/*
 * Whether a job ended more than retention_ms ago, by the leader's monotonic
 * clock. After a jump of the wall clock jobs would be forgotten too early, and
 * callers would be told that the job was never accepted. A new leader counts
 * from its first call for the job, so the job may be kept longer, never
 * shorter.
 */
bool jtb_may_forget(struct jtb_job *job, int64_t now_ms, int64_t retention_ms)
{
	if (!jtb_job_ended(job) || job->n_runs)
		return false;
	if (!job->ended_seen_ms)
		job->ended_seen_ms = now_ms;
	return now_ms - job->ended_seen_ms > retention_ms;
}

/* Returns when a turn of a job is due, ms since 1970; 0: immediately. */
int64_t jtb_turn_due(const struct jtb_job *job, uint32_t turn)
{
	if (!job->spec.repeats)
		return 0;
	return job->spec.first_ms + turn * job->spec.every_ms;
}

/* Whether a step's turn is due and all steps it depends on are done. */
bool jtb_step_due(const struct jtb_job *job, uint32_t turn, uint32_t step,
		  int64_t wall_ms)
{
	uint64_t after = job->spec.steps[step].after;

	return wall_ms >= jtb_turn_due(job, turn) &&
	       (after & job->turns[turn].done) == after;
}

/* Counts the runs of a job beyond the first run of each task. */
uint32_t jtb_count_reruns(const struct jtb_job *job)
{
	uint32_t again = 0;
	uint32_t t;
	uint32_t s;
	uint32_t i;

	for (t = 0; t < job->n_turns; t++) {
		const struct jtb_step_state *states = job->turns[t].steps;

		for (s = 0; states && s < job->spec.n_steps; s++)
			for (i = 0; i < job->spec.steps[s].count; i++)
				again += MAX(states[s].tasks[i].attempt, 1) - 1;
	}
	return again;
}

/* Returns the highest crash count of a job's tasks. */
uint32_t jtb_max_crashes(const struct jtb_job *job)
{
	uint32_t most = 0;
	guint i;

	for (i = 0; job->suspects && i < job->suspects->len; i++)
		most = MAX(most,
			   g_array_index(job->suspects, struct jtb_suspect, i)
				   .crashes);
	return most;
}

/* Returns the crash record of a task; NULL if it has none. */
const struct jtb_suspect *jtb_suspect(const struct jtb_job *job, uint32_t step,
				      uint32_t index)
{
	guint i;

	for (i = 0; job->suspects && i < job->suspects->len; i++) {
		const struct jtb_suspect *s =
			&g_array_index(job->suspects, struct jtb_suspect, i);

		if (s->step == step && s->index == index)
			return s;
	}
	return NULL;
}

/* Returns the crash record of a task; adds one if it has none. */
struct jtb_suspect *jtb_add_suspect(struct jtb_job *job, uint32_t step,
				    uint32_t index)
{
	struct jtb_suspect s = {.step = step, .index = index};

	if (!jtb_suspect(job, step, index)) {
		if (!job->suspects)
			job->suspects = g_array_new(FALSE, FALSE, sizeof(s));
		g_array_append_val(job->suspects, s);
	}
	return (struct jtb_suspect *)jtb_suspect(job, step, index);
}

/* Removes the crash record of a task. */
void jtb_remove_suspect(struct jtb_job *job, uint32_t step, uint32_t index)
{
	const struct jtb_suspect *s = jtb_suspect(job, step, index);

	if (s)
		g_array_remove_index_fast(
			job->suspects,
			(guint)(s - &g_array_index(job->suspects,
						   struct jtb_suspect, 0)));
}

/*
 * Returns a task; NULL if there is no such task. The state of a turn is
 * allocated on first use: with make unset a turn without it gives NULL.
 */
struct jtb_task *jtb_task_at(const struct jtb_job *job,
			     const struct jtb_name *n, bool make)
{
	struct jtb_turn *turn;
	uint32_t i;

	if (n->turn >= job->n_turns || n->step >= job->spec.n_steps ||
	    n->index >= job->spec.steps[n->step].count)
		return NULL;
	turn = &job->turns[n->turn];
	if (!turn->steps) {
		if (!make)
			return NULL;
		turn->steps = g_new0(struct jtb_step_state, job->spec.n_steps);
		for (i = 0; i < job->spec.n_steps; i++)
			turn->steps[i].tasks = g_new0(struct jtb_task,
						      job->spec.steps[i].count);
	}
	return &turn->steps[n->step].tasks[n->index];
}

/* Adds a job to the table, under the account of its organisation. */
void jtb_add_job(struct jtb *t, struct jtb_job *job)
{
	g_hash_table_insert(t->jobs, job->spec.id, job);
	if (!job->spec.org)
		return;
	job->use = quo_use(t->usage, job->spec.org);
	job->use->org = orgs_by_name(t->config->orgs, job->spec.org);
}

/*
 * Adds a run of a task and charges its size to the worker and to the job's
 * organisation.
 */
struct jtb_run *jtb_run_new(struct jtb *t, struct jtb_job *job,
			    const struct jtb_name *name, uint32_t attempt,
			    struct jtb_worker *w)
{
	const struct jtb_step *step = &job->spec.steps[name->step];
	struct jtb_task *task = jtb_task_at(job, name, true);
	struct jtb_run *run = g_new0(struct jtb_run, 1);
	struct org_amount amount = jtb_step_amount(step);

	*run = (struct jtb_run){
		.job = job,
		.worker = w,
		.turn = name->turn,
		.step = name->step,
		.index = name->index,
		.attempt = attempt,
		.serial = t->next_serial++,
		.percent = -1,
		.pace = 100,
		.pace_sent = 100,
		.metric_value = -1,
	};
	task->run = run;
	job->turns[name->turn].steps[name->step].n_runs++;
	job->n_runs++;
	g_ptr_array_add(w->runs, run);
	w->used_cpu += step->flags & JTB_BEST_EFFORT ? 0 : step->cpu;
	w->used_mem += step->mem_mb;
	w->used_gpus += step->gpus;
	quo_run_begins(job->use, &amount);
	if (job->use && step->flags & JTB_BEST_EFFORT)
		job->use->idle_cpu += step->cpu;
	return run;
}

/* No-op callback. */
static void jtb_ignore_run(void *arg, struct jtb_run *run)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_run_end(void *arg, struct jtb_run *run, enum jtb_end how)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_run_stop(void *arg, struct jtb_run *run)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_late_end(void *arg, const struct jtb_worker *w,
				const struct jtb_name *n, uint32_t attempt,
				enum jtb_end how)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_job(void *arg, struct jtb_job *job)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_worker(void *arg, struct jtb_worker *w)
{
	/* no-op */
}

/* No-op callback. */
static void jtb_ignore_config(void *arg)
{
	/* no-op */
}
