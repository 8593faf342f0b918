#include "jtb_int.h"

/* Applies commands to the table, with the same result on every replica. */

/*
 * A job fails once one of its tasks has crashed 3 workers that were lost
 * without other workers, if the last of these crashes can only be due to that
 * job.
 */
#define JTB_CRASHES_SINGLE 3
/*
 * Crashes by one task that fail its job whichever job caused the last one, if
 * at least half of them were not shared with other workers.
 */
#define JTB_CRASHES_MAX 4
/*
 * Crashes by one task that fail its job in any case: at most two starts of a
 * task are allowed after its third crash.
 */
#define JTB_CRASHES_SHARED 5

typedef bool (*jtb_cmd_fn)(struct jtb *t, struct pk_in *in);

static bool jtb_apply_cmd(struct jtb *t, struct pk_in *cmd);
static bool jtb_apply_config(struct jtb *t, struct pk_in *in);
static bool jtb_apply_job(struct jtb *t, struct pk_in *in);
static bool jtb_apply_cancel(struct jtb *t, struct pk_in *in);
static bool jtb_apply_start(struct jtb *t, struct pk_in *in);
static bool jtb_may_start(const struct jtb *t, const struct jtb_job *job,
			  const struct jtb_task *task, const struct jtb_name *n,
			  uint32_t attempt, const struct jtb_worker *w);
static bool jtb_apply_stop(struct jtb *t, struct pk_in *in);
static bool jtb_may_stop(const struct jtb_run *run);
static bool jtb_apply_end(struct jtb *t, struct pk_in *in);
static void jtb_apply_late_end(struct jtb *t, const struct jtb_worker *w,
			       const struct jtb_name *n, uint32_t attempt,
			       enum jtb_end how, int64_t wall_ms);
static void jtb_confirm_start(struct jtb_job *job);
static void jtb_stop_newer_runs(struct jtb *t, struct jtb_job *job,
				const struct jtb_name *n);
static bool jtb_apply_worker(struct jtb *t, struct pk_in *in);
static bool jtb_info_is_outdated(const struct jtb *t,
				 const struct jtb_worker *w,
				 const struct jtb_worker_info *info);
static void jtb_replace_info(struct jtb *t, struct jtb_worker *w,
			     struct jtb_worker_info *info);
static bool jtb_restart_worker(struct jtb *t, struct jtb_worker *w,
			       struct jtb_worker_info *info, struct pk_in *in);
static void jtb_keep_runs(struct jtb *t, struct jtb_worker *w,
			  const GArray *kept);
static bool jtb_apply_worker_lost(struct jtb *t, struct pk_in *in);
static bool jtb_apply_worker_leaving(struct jtb *t, struct pk_in *in);
static void jtb_end_runs_lost(struct jtb *t, struct jtb_worker *w, bool all);
static void jtb_end_runs_crashed(struct jtb *t, struct jtb_worker *w,
				 const struct jtb_blame *blame, bool all,
				 int64_t wall_ms);
static bool jtb_task_on_worker(const struct jtb *t, const struct jtb_name *n,
			       const struct jtb_worker *w);
static bool jtb_is_repeated(const GArray *names, guint at);
static void jtb_count_crash(struct jtb *t, const struct jtb_worker *w,
			    const struct jtb_name *n, bool shared);
static void jtb_fail_crashing_job(struct jtb *t, const struct jtb_name *n,
				  bool single_job, int64_t wall_ms);
static void jtb_remove_worker(struct jtb *t, struct jtb_worker *w,
			      const char *id, bool permanent);
static bool jtb_apply_wave(struct jtb *t, struct pk_in *in);
static bool jtb_apply_vm(struct jtb *t, struct pk_in *in);
static bool jtb_apply_forget(struct jtb *t, struct pk_in *in);
static bool jtb_apply_override(struct jtb *t, struct pk_in *in);
static bool jtb_has_pool(const void *arg, const char *name);
static bool jtb_has_org(const void *arg, const char *name);
static struct ovr_names jtb_names(const struct jtb *t);
static void jtb_end_run(struct jtb *t, struct jtb_run *run, enum jtb_end how,
			int64_t wall_ms);
static void jtb_count_failures(struct jtb_worker *w, const struct jtb_job *job,
			       const struct jtb_task *task, enum jtb_end how);
static void jtb_finish_task(struct jtb *t, struct jtb_job *job,
			    const struct jtb_name *n, int64_t wall_ms);
static void jtb_fail_task(struct jtb *t, struct jtb_job *job,
			  const struct jtb_step *step, struct jtb_task *task,
			  int64_t wall_ms);
static void jtb_end_job(struct jtb *t, struct jtb_job *job,
			enum jtb_job_state state, int64_t wall_ms);
static void jtb_drop_live(struct jtb *t, struct jtb_job *job);
static void jtb_notify_job(struct jtb *t, struct jtb_job *job);

static const jtb_cmd_fn jtb_handlers[] = {
	[JTB_CMD_CONFIG] = jtb_apply_config,
	[JTB_CMD_JOB] = jtb_apply_job,
	[JTB_CMD_CANCEL] = jtb_apply_cancel,
	[JTB_CMD_START] = jtb_apply_start,
	[JTB_CMD_END] = jtb_apply_end,
	[JTB_CMD_WORKER] = jtb_apply_worker,
	[JTB_CMD_WORKER_LOST] = jtb_apply_worker_lost,
	[JTB_CMD_WAVE] = jtb_apply_wave,
	[JTB_CMD_VM] = jtb_apply_vm,
	[JTB_CMD_FORGET] = jtb_apply_forget,
	[JTB_CMD_STOP] = jtb_apply_stop,
	[JTB_CMD_WORKER_LEAVING] = jtb_apply_worker_leaving,
	[JTB_CMD_OVERRIDE] = jtb_apply_override,
};

/*
 * Applies a batch of commands; returns false if one is malformed. A malformed
 * command does nothing and the commands after it are applied all the same:
 * proposed starts, removals of workers and ends whose reports await storage
 * stay pending until their command is applied, else permanently.
 */
bool jtb_apply(struct jtb *t, struct lstr batch)
{
	struct pk_in in;
	bool ok = true;

	if (!pk_in_init(&in, batch))
		return false;
	while (pk_in_left(&in)) {
		struct pk_in one = in;
		struct pk_in cmd = pk_get_arr(&one);

		pk_skip(&in);
		ok = jtb_apply_cmd(t, &cmd) && ok;
	}
	pk_in_done(&in);
	return ok;
}

/* Applies one command; returns false if it is malformed. */
static bool jtb_apply_cmd(struct jtb *t, struct pk_in *cmd)
{
	uint64_t kind = pk_get_u(cmd);

	return pk_in_ok(cmd) && kind < G_N_ELEMENTS(jtb_handlers) &&
	       jtb_handlers[kind] && jtb_handlers[kind](t, cmd);
}

/* Puts a configuration in force, if it is newer. */
static bool jtb_apply_config(struct jtb *t, struct pk_in *in)
{
	struct jtb_config *c = jtb_unpack_config(in);
	struct ovr_names names;

	if (!c)
		return false;
	if (c->version <= t->config->version) {
		jtb_config_free(c);
		return true;
	}
	jtb_config_free(t->config);
	t->config = c;
	quo_set_orgs(t->usage, c->orgs);
	names = jtb_names(t);
	ovr_names_changed(t->overrides, &names);
	t->watch->config_changed(t->arg);
	return true;
}

/* Applies an operator's order. */
static bool jtb_apply_override(struct jtb *t, struct pk_in *in)
{
	struct ovr_names names = jtb_names(t);
	struct ovr_order order = {
		.time_ms = pk_get_i(in),
		.who = pk_get_str(in),
	};
	uint64_t role = pk_get_u(in);

	order.cmd = pk_get_str(in);
	if (!pk_in_ok(in) || role >= KEY_ROLES)
		return false;
	order.role = (enum key_role)role;
	ovr_apply(t->overrides, &order, &names);
	return true;
}

/* Returns the names that orders may use. */
static struct ovr_names jtb_names(const struct jtb *t)
{
	return (struct ovr_names){
		.has_pool = jtb_has_pool,
		.has_org = jtb_has_org,
		.arg = t->config,
	};
}

/* Whether a configuration has a pool whose VMs are not switched off. */
static bool jtb_has_pool(const void *arg, const char *name)
{
	const struct jtb_pool *p = jtb_pool(arg, name);

	return p && !p->standby;
}

/* Whether a configuration has an organisation. */
static bool jtb_has_org(const void *arg, const char *name)
{
	const struct jtb_config *c = arg;

	return orgs_by_name(c->orgs, name) != NULL;
}

/* Accepts a job, unless its id is in use. */
static bool jtb_apply_job(struct jtb *t, struct pk_in *in)
{
	int64_t wall_ms = pk_get_i(in);
	struct jtb_spec spec;
	struct jtb_job *job;

	if (!jtb_unpack_spec(in, &spec))
		return false;
	if (jtb_job(t, spec.id)) {
		jtb_spec_clear(&spec);
		return true;
	}
	job = jtb_job_new(&spec);
	job->accepted_ms = wall_ms;
	job->seq = t->next_seq++;
	jtb_add_job(t, job);
	g_ptr_array_add(t->live, job);
	jtb_notify_job(t, job);
	return true;
}

/* Cancels a job that has not ended. */
static bool jtb_apply_cancel(struct jtb *t, struct pk_in *in)
{
	struct lstr id = pk_get_str(in);
	int64_t wall_ms = pk_get_i(in);
	char *key = lstr_dup(id);
	struct jtb_job *job = jtb_job(t, key);

	g_free(key);
	if (job && !jtb_job_ended(job))
		jtb_end_job(t, job, JTB_CANCELLED, wall_ms);
	return pk_in_ok(in);
}

/* Starts a task on a worker, if that is still allowed. */
static bool jtb_apply_start(struct jtb *t, struct pk_in *in)
{
	struct jtb_name n;
	uint32_t attempt;
	struct jtb_worker *w;
	struct jtb_task *task;
	struct jtb_job *job;
	char *key;

	if (!jtb_unpack_name(in, &n))
		return false;
	attempt = (uint32_t)pk_get_u(in);
	key = lstr_dup(pk_get_str(in));
	w = jtb_worker(t, key);
	g_free(key);
	job = jtb_job(t, n.id);
	task = job ? jtb_task_at(job, &n, true) : NULL;
	if (task && task->start_proposed)
		jtb_drop_proposed_start(job, &n, w);
	if (!task || !w || !jtb_may_start(t, job, task, &n, attempt, w))
		return pk_in_ok(in);
	task->attempt = attempt;
	jtb_run_new(t, job, &n, attempt, w);
	job->started = true;
	if (job->state == JTB_QUEUED)
		job->state = JTB_RUNNING;
	t->watch->run_began(t->arg, task->run);
	return pk_in_ok(in);
}

/*
 * Whether a proposed start is still valid: a cancellation, an end, another
 * configuration with a lower limit, or a smaller worker may have been committed
 * before it.
 */
static bool jtb_may_start(const struct jtb *t, const struct jtb_job *job,
			  const struct jtb_task *task, const struct jtb_name *n,
			  uint32_t attempt, const struct jtb_worker *w)
{
	const struct jtb_queue *q = jtb_queue(t->config, job->spec.queue);
	const struct jtb_step *step = &job->spec.steps[n->step];
	struct org_amount amount = jtb_step_amount(step);
	uint64_t after = step->after;

	/* a gang's tasks start together or not at all: wkr_send_order */
	if (!(step->flags & JTB_GANG) &&
	    (!jtb_fits(w, step) || !quo_may_commit(job->use, &amount)))
		return false;
	if (jtb_job_ended(job) || task->done || task->run ||
	    attempt <= task->attempt || w->info.draining)
		return false;
	if ((after & job->turns[n->turn].done) != after)
		return false;
	return q && strcmp(q->pool, w->info.pool) == 0;
}

/* Stops a run of a long-running task, if enough other tasks still run. */
static bool jtb_apply_stop(struct jtb *t, struct pk_in *in)
{
	struct jtb_name n;
	uint32_t attempt;
	struct jtb_run *run;
	char *worker;

	if (!jtb_unpack_name(in, &n))
		return false;
	attempt = (uint32_t)pk_get_u(in);
	worker = lstr_dup(pk_get_str(in));
	run = jtb_find_run(t, &n, attempt, worker);
	g_free(worker);
	if (!run)
		return pk_in_ok(in);
	run->stop_proposed = false;
	if (run->stopping || !jtb_may_stop(run))
		return pk_in_ok(in);
	run->stopping = true;
	t->watch->run_stops(t->arg, run);
	return pk_in_ok(in);
}

/*
 * Whether few enough other tasks of a run's step are stopping or without a run
 * that this one may be stopped too. Checked as the command is applied, since
 * two leaders may each have proposed a stop.
 */
static bool jtb_may_stop(const struct jtb_run *run)
{
	const struct jtb_step *step = &run->job->spec.steps[run->step];
	const struct jtb_step_state *state =
		&run->job->turns[run->turn].steps[run->step];
	uint32_t unavailable = 0;
	uint32_t i;

	for (i = 0; i < step->count; i++) {
		const struct jtb_run *other = state->tasks[i].run;

		unavailable += other != run && (!other || other->stopping);
	}
	return unavailable < MAX(1, step->may_miss);
}

/* Ends a run and updates its task; accepts late ends of lost runs. */
static bool jtb_apply_end(struct jtb *t, struct pk_in *in)
{
	char *worker = lstr_dup(pk_get_str(in));
	uint64_t no = pk_get_u(in);
	struct jtb_worker *w = jtb_worker(t, worker);
	struct jtb_name n;
	struct jtb_run *run = NULL;
	struct jtb_task *task;
	uint32_t attempt = 0;
	uint64_t how = 0;
	struct lstr checkpoint = {0};
	int64_t wall_ms = 0;
	bool known = false;
	bool ok = jtb_unpack_name(in, &n);

	attempt = (uint32_t)pk_get_u(in);
	how = pk_get_u(in);
	checkpoint = pk_get_str(in);
	wall_ms = pk_get_i(in);
	ok = ok && pk_in_ok(in) && how < JTB_ENDS;
	/* the worker reported an end that was applied before */
	known = w && no <= w->last_end_no;
	if (ok && w && no)
		w->last_end_no = MAX(w->last_end_no, no);
	if (ok)
		run = jtb_find_run(t, &n, attempt, worker);
	g_free(worker);
	if (!run && ok && w && no && !known)
		jtb_apply_late_end(t, w, &n, attempt, (enum jtb_end)how,
				   wall_ms);
	if (!run)
		return ok;
	if (checkpoint.len) {
		task = jtb_checkpoint_holder(run->job, &n);
		g_free(task->checkpoint);
		task->checkpoint = lstr_dup(checkpoint);
	}
	jtb_end_run(t, run, (enum jtb_end)how, wall_ms);
	return true;
}

/*
 * Applies the end of a run that had been ended as lost when its worker's lease
 * expired, reported once the worker is reachable again. The report is
 * acknowledged, so it must count: else the task would run again although its
 * worker reported it as done, or be retried more often than its queue allows.
 */
static void jtb_apply_late_end(struct jtb *t, const struct jtb_worker *w,
			       const struct jtb_name *n, uint32_t attempt,
			       enum jtb_end how, int64_t wall_ms)
{
	struct jtb_job *job = jtb_job(t, n->id);
	struct jtb_task *task = job ? jtb_task_at(job, n, false) : NULL;
	const struct jtb_step *step = job ? &job->spec.steps[n->step] : NULL;

	if (!task || !attempt || attempt > task->attempt)
		return;
	jtb_confirm_start(job);
	if (task->done || (task->run && task->run->attempt == attempt))
		return;
	if (step->flags & JTB_LONG_RUNNING ||
	    (how != JTB_DONE && how != JTB_FAILED_RUN))
		return;
	t->watch->late_end(t->arg, w, n, attempt, how);
	if (how == JTB_FAILED_RUN) {
		jtb_fail_task(t, job, step, task, wall_ms);
		return;
	}
	jtb_remove_suspect(job, n->step, n->index);
	jtb_finish_task(t, job, n, wall_ms);
	jtb_stop_newer_runs(t, job, n);
}

/* Records that a worker reported the end of a run: its job has begun. */
static void jtb_confirm_start(struct jtb_job *job)
{
	job->begun = true;
	job->start_unconfirmed = false;
}

/* Stops newer runs of a task that is done, and of its gang. */
static void jtb_stop_newer_runs(struct jtb *t, struct jtb_job *job,
				const struct jtb_name *n)
{
	const struct jtb_step *step = &job->spec.steps[n->step];
	struct jtb_step_state *state = &job->turns[n->turn].steps[n->step];
	uint32_t i;

	for (i = 0; i < step->count; i++) {
		struct jtb_run *run = state->tasks[i].run;

		if (!run || run->stopping || !state->tasks[i].done ||
		    (i != n->index && !(step->flags & JTB_GANG)))
			continue;
		run->stopping = true;
		t->watch->run_stops(t->arg, run);
	}
}

/* Adds a worker or updates its description. */
static bool jtb_apply_worker(struct jtb *t, struct pk_in *in)
{
	struct jtb_worker_info info;
	struct jtb_worker *w;

	if (!jtb_unpack_info(in, &info))
		return false;
	w = jtb_worker(t, info.id);
	if (jtb_info_is_outdated(t, w, &info)) {
		jtb_worker_info_clear(&info);
		return true;
	}
	g_hash_table_remove(t->removed, info.id);
	if (w && w->info.started_ms && info.started_ms > w->info.started_ms)
		return jtb_restart_worker(t, w, &info, in);
	if (!w) {
		w = g_new0(struct jtb_worker, 1);
		w->runs = g_ptr_array_new();
		w->info = info;
		g_hash_table_insert(t->workers, w->info.id, w);
		jtb_index_add(t, w);
	} else {
		jtb_replace_info(t, w, &info);
	}
	t->watch->worker_changed(t->arg, w);
	return true;
}

/*
 * Whether a worker's description is of a lifetime that is over, or older than
 * the one that is known; w may be NULL.
 */
static bool jtb_info_is_outdated(const struct jtb *t,
				 const struct jtb_worker *w,
				 const struct jtb_worker_info *info)
{
	if (jtb_lifetime_is_over(t, info->id, info->started_ms))
		return true;
	if (!w)
		return false;
	return info->started_ms < w->info.started_ms ||
	       (info->started_ms == w->info.started_ms && w->info.draining &&
		!info->draining);
}

/* Replaces a worker's description; takes over the members of info. */
static void jtb_replace_info(struct jtb *t, struct jtb_worker *w,
			     struct jtb_worker_info *info)
{
	char *id;

	jtb_index_remove(t, w);
	id = g_steal_pointer(&w->info.id);
	g_free(info->id);
	jtb_worker_info_clear(&w->info);
	w->info = *info;
	/* the hash table's key is this string */
	w->info.id = id;
	jtb_index_add(t, w);
}

/*
 * Begins a later lifetime of a worker. The process before is over, and its runs
 * with it; but orders name only the worker's id. So runs whose start may still
 * arrive stay, as stopping, until the new process has listed that it has none
 * of them: it has seen neither a fence nor a stop, and their tasks would run
 * twice.
 */
static bool jtb_restart_worker(struct jtb *t, struct jtb_worker *w,
			       struct jtb_worker_info *info, struct pk_in *in)
{
	GArray *kept = g_array_new(FALSE, FALSE, sizeof(struct jtb_name));
	struct jtb_blame blame;
	bool ok = true;

	jtb_blame_init(&blame);
	if (pk_in_left(in)) {
		ok = jtb_unpack_names(in, kept);
		jtb_blame_clear(&blame);
		ok = jtb_unpack_blame(in, &blame) && ok;
	}
	if (!ok) {
		g_array_free(kept, TRUE);
		jtb_blame_clear(&blame);
		jtb_worker_info_clear(info);
		return false;
	}
	jtb_keep_runs(t, w, kept);
	g_array_free(kept, TRUE);
	jtb_end_runs_crashed(t, w, &blame, false,
			     pk_in_left(in) ? pk_get_i(in) : 0);
	jtb_blame_clear(&blame);
	jtb_replace_info(t, w, info);
	w->last_end_no = 0;
	w->failed_jobs = 0;
	w->last_failed_job = 0;
	w->speed = (struct slw){0};
	w->absence = (struct evd_absence){0};
	w->leaving = false;
	w->removal_proposed = false;
	w->restart_proposed = false;
	w->runs_lost_count++;
	t->watch->worker_changed(t->arg, w);
	return pk_in_ok(in);
}

/* Marks the runs of a worker that outlast its lifetime, as stopping. */
static void jtb_keep_runs(struct jtb *t, struct jtb_worker *w,
			  const GArray *kept)
{
	guint i;

	for (i = 0; i < kept->len; i++) {
		const struct jtb_name *n =
			&g_array_index(kept, struct jtb_name, i);
		struct jtb_run *run;

		if (!jtb_task_on_worker(t, n, w))
			continue;
		run = jtb_task_at(jtb_job(t, n->id), n, false)->run;
		run->earlier_life = true;
		run->stopping = true;
	}
}

/* Ends all runs of a worker as lost, and may remove the worker. */
static bool jtb_apply_worker_lost(struct jtb *t, struct pk_in *in)
{
	char *id = lstr_dup(pk_get_str(in));
	bool permanent = pk_get_bool(in);
	struct jtb_worker *w = jtb_worker(t, id);
	struct jtb_blame blame;
	bool ok = pk_in_ok(in);

	/* a worker that shut down as planned has no crash attribution */
	if (ok && pk_in_left(in)) {
		ok = jtb_unpack_blame(in, &blame);
		if (ok && w)
			jtb_end_runs_crashed(t, w, &blame, true, pk_get_i(in));
		jtb_blame_clear(&blame);
	} else if (ok && w) {
		jtb_end_runs_lost(t, w, true);
	}
	if (ok)
		jtb_remove_worker(t, w, id, permanent);
	g_free(id);
	return ok && pk_in_ok(in);
}

/*
 * Handles a worker that announced its shutdown. A start that was in the log at
 * that time may have reached the worker since, which runs on for seconds if the
 * confirmation of its shutdown is lost: the task would run there and elsewhere.
 * So the worker is removed only if it has no runs; else it is drained.
 */
static bool jtb_apply_worker_leaving(struct jtb *t, struct pk_in *in)
{
	char *id = lstr_dup(pk_get_str(in));
	struct jtb_worker *w = jtb_worker(t, id);
	bool ok = pk_in_ok(in);

	if (ok && w && w->runs->len) {
		w->info.draining = true;
		t->watch->worker_changed(t->arg, w);
	} else if (ok && w) {
		jtb_remove_worker(t, w, id, true);
	}
	g_free(id);
	return ok;
}

/*
 * Ends all runs of a worker as lost, but for those that outlast its lifetime
 * if it begins another.
 */
static void jtb_end_runs_lost(struct jtb *t, struct jtb_worker *w, bool all)
{
	guint i;

	for (i = w->runs->len; i > 0; i--) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i - 1);

		if (all || !run->earlier_life)
			jtb_end_run(t, run, JTB_LOST, 0);
	}
}

/* Ends all runs of a crashed worker and counts the crash for its tasks. */
static void jtb_end_runs_crashed(struct jtb *t, struct jtb_worker *w,
				 const struct jtb_blame *blame, bool all,
				 int64_t wall_ms)
{
	bool single_job = jtb_blame_single_job(blame);
	guint i;

	for (i = 0; i < blame->suspects->len; i++)
		if (!jtb_is_repeated(blame->suspects, i))
			jtb_count_crash(t, w,
					&g_array_index(blame->suspects,
						       struct jtb_name, i),
					blame->correlated);
	for (i = 0; i < blame->cleared->len; i++) {
		const struct jtb_name *n =
			&g_array_index(blame->cleared, struct jtb_name, i);

		if (jtb_task_on_worker(t, n, w))
			jtb_remove_suspect(jtb_job(t, n->id), n->step,
					   n->index);
	}
	jtb_end_runs_lost(t, w, all);
	for (i = 0; i < blame->suspects->len; i++)
		jtb_fail_crashing_job(
			t, &g_array_index(blame->suspects, struct jtb_name, i),
			single_job, wall_ms);
}

/* Whether a task runs on a worker. */
static bool jtb_task_on_worker(const struct jtb *t, const struct jtb_name *n,
			       const struct jtb_worker *w)
{
	const struct jtb_job *job = jtb_job(t, n->id);
	const struct jtb_task *task = job ? jtb_task_at(job, n, false) : NULL;

	return task && task->run && task->run->worker == w;
}

/* Whether an earlier entry of names is the same task, of any turn. */
static bool jtb_is_repeated(const GArray *names, guint at)
{
	const struct jtb_name *n = &g_array_index(names, struct jtb_name, at);
	guint i;

	for (i = 0; i < at; i++) {
		const struct jtb_name *o =
			&g_array_index(names, struct jtb_name, i);

		if (o->step == n->step && o->index == n->index &&
		    strcmp(o->id, n->id) == 0)
			return true;
	}
	return false;
}

/* Counts a crash of a worker for a task that ran on it. */
static void jtb_count_crash(struct jtb *t, const struct jtb_worker *w,
			    const struct jtb_name *n, bool shared)
{
	struct jtb_suspect *s;

	if (!jtb_task_on_worker(t, n, w))
		return;
	s = jtb_add_suspect(jtb_job(t, n->id), n->step, n->index);
	s->crashes++;
	s->correlated_crashes += shared;
}

/*
 * Fails a job whose task crashes the workers that start it: each further start
 * would cost a worker and all other tasks on it. A task that may only have been
 * starting next to the faulty one is retried in isolation.
 */
static void jtb_fail_crashing_job(struct jtb *t, const struct jtb_name *n,
				  bool single_job, int64_t wall_ms)
{
	struct jtb_job *job = jtb_job(t, n->id);
	const struct jtb_suspect *s =
		job ? jtb_suspect(job, n->step, n->index) : NULL;
	uint32_t single;

	if (!s || jtb_job_ended(job))
		return;
	single = s->crashes - s->correlated_crashes;
	if (s->crashes >= JTB_CRASHES_SHARED ||
	    (s->crashes >= JTB_CRASHES_MAX &&
	     single >= s->correlated_crashes) ||
	    (single_job && single >= JTB_CRASHES_SINGLE))
		jtb_end_job(t, job, JTB_FAILED, wall_ms);
}

/* Removes a worker, or records that all its runs were ended. */
static void jtb_remove_worker(struct jtb *t, struct jtb_worker *w,
			      const char *id, bool permanent)
{
	if (permanent)
		jtb_add_removed(t, id, w ? w->info.started_ms : 0);
	if (permanent && w) {
		t->watch->worker_removed(t->arg, w);
		jtb_clear_proposals_on(t, w);
		jtb_index_remove(t, w);
		g_hash_table_remove(t->workers, id);
	} else if (w) {
		w->runs_lost_count++;
		t->watch->worker_changed(t->arg, w);
	}
}

/* Records that a worker's lifetimes up to one start are over. */
void jtb_add_removed(struct jtb *t, const char *id, int64_t started_ms)
{
	const int64_t *last = g_hash_table_lookup(t->removed, id);

	if (!last || *last < started_ms)
		g_hash_table_replace(t->removed, g_strdup(id),
				     g_memdup2(&started_ms,
					       sizeof(started_ms)));
}

/* Adds a maintenance wave, unless its number is in use. */
static bool jtb_apply_wave(struct jtb *t, struct pk_in *in)
{
	struct jtb_wave *w = jtb_unpack_wave(in);

	if (!w)
		return false;
	/* without VMs no later command would complete it */
	if (!w->vms->len)
		w->completed = true;
	if (jtb_wave(t, w->no))
		jtb_wave_free(w);
	else
		g_ptr_array_add(t->waves, w);
	return true;
}

/*
 * Advances the upkeep of a VM; its state never goes back. Completes the wave
 * once all its VMs are done.
 */
static bool jtb_apply_vm(struct jtb *t, struct pk_in *in)
{
	struct jtb_wave *w = jtb_wave(t, pk_get_u(in));
	struct lstr vm = pk_get_str(in);
	uint64_t state = pk_get_u(in);
	struct lstr before = pk_get_str(in);
	bool all_done = true;
	guint i;

	if (!pk_in_ok(in) || state > JTB_VM_DONE)
		return false;
	for (i = 0; w && i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		if (lstr_eq(vm, lstr_from(v->vm)) && state > v->state) {
			v->state = (enum jtb_vm_state)state;
			g_free(v->worker_before);
			v->worker_before = before.len ? lstr_dup(before) : NULL;
		}
		all_done = all_done && v->state == JTB_VM_DONE;
	}
	if (w)
		w->completed = all_done;
	return true;
}

/* Removes a job that has ended and has no runs. */
static bool jtb_apply_forget(struct jtb *t, struct pk_in *in)
{
	char *id = lstr_dup(pk_get_str(in));
	struct jtb_job *job = jtb_job(t, id);

	if (job && jtb_job_ended(job) && job->n_runs == 0)
		g_hash_table_remove(t->jobs, id);
	g_free(id);
	return pk_in_ok(in);
}

/* Removes a run and updates its task, worker and job. */
static void jtb_end_run(struct jtb *t, struct jtb_run *run, enum jtb_end how,
			int64_t wall_ms)
{
	struct jtb_job *job = run->job;
	const struct jtb_step *step = &job->spec.steps[run->step];
	struct jtb_worker *w = run->worker;
	struct org_amount amount = jtb_step_amount(step);
	struct jtb_task *task;
	struct jtb_name n;

	jtb_name_of(run, &n);
	task = jtb_task_at(job, &n, false);
	t->watch->run_ends(t->arg, run, how);
	task->run = NULL;
	job->turns[run->turn].steps[run->step].n_runs--;
	job->n_runs--;
	g_ptr_array_remove_fast(w->runs, run);
	w->used_cpu -= step->flags & JTB_BEST_EFFORT ? 0 : step->cpu;
	w->used_mem -= step->mem_mb;
	w->used_gpus -= step->gpus;
	quo_run_ends(job->use, &amount);
	if (job->use && step->flags & JTB_BEST_EFFORT)
		job->use->idle_cpu -= step->cpu;
	g_free(run);
	if (how != JTB_LOST)
		jtb_confirm_start(job);
	jtb_count_failures(w, job, task, how);
	if (how == JTB_DONE)
		jtb_remove_suspect(job, n.step, n.index);
	if (how == JTB_DONE && !(step->flags & JTB_LONG_RUNNING))
		jtb_finish_task(t, job, &n, wall_ms);
	else if (how == JTB_FAILED_RUN)
		jtb_fail_task(t, job, step, task, wall_ms);
	if (jtb_job_ended(job))
		jtb_drop_live(t, job);
}

/*
 * Counts the different jobs that failed on a worker since its last success. A
 * task that failed before is not counted: it is more likely at fault itself.
 */
static void jtb_count_failures(struct jtb_worker *w, const struct jtb_job *job,
			       const struct jtb_task *task, enum jtb_end how)
{
	if (how == JTB_DONE) {
		w->failed_jobs = 0;
		w->last_failed_job = 0;
	} else if (how == JTB_FAILED_RUN && !task->failures &&
		   w->last_failed_job != job->seq + 1) {
		w->failed_jobs++;
		w->last_failed_job = job->seq + 1;
	}
}

/*
 * Marks a task as done; for a gang, all tasks of the step. Completes the step,
 * the turn and the job with their last task.
 */
static void jtb_finish_task(struct jtb *t, struct jtb_job *job,
			    const struct jtb_name *n, int64_t wall_ms)
{
	const struct jtb_step *step = &job->spec.steps[n->step];
	struct jtb_turn *turn = &job->turns[n->turn];
	struct jtb_step_state *state = &turn->steps[n->step];
	uint64_t all_steps = job->spec.n_steps == JTB_STEPS_MAX
				     ? UINT64_MAX
				     : (1ULL << job->spec.n_steps) - 1;
	uint32_t i;

	for (i = 0; i < step->count; i++) {
		if (i != n->index && !(step->flags & JTB_GANG))
			continue;
		if (!state->tasks[i].done)
			state->n_done++;
		state->tasks[i].done = true;
	}
	if (state->n_done < step->count)
		return;
	if (turn->done & (1ULL << n->step))
		return;
	turn->done |= 1ULL << n->step;
	if (turn->done == all_steps)
		job->turns_done++;
	if (job->turns_done == job->n_turns && !jtb_job_ended(job))
		jtb_end_job(t, job, JTB_COMPLETED, wall_ms);
	else
		jtb_notify_job(t, job);
}

/* Counts a failure of a task; fails its job after the last attempt. */
static void jtb_fail_task(struct jtb *t, struct jtb_job *job,
			  const struct jtb_step *step, struct jtb_task *task,
			  int64_t wall_ms)
{
	const struct jtb_queue *q = jtb_queue(t->config, job->spec.queue);

	task->failures++;
	if (step->flags & JTB_LONG_RUNNING || !q || jtb_job_ended(job) ||
	    task->done)
		return;
	if (task->failures >= MAX(1, q->attempts))
		jtb_end_job(t, job, JTB_FAILED, wall_ms);
}

/* Puts a job into a final state. */
static void jtb_end_job(struct jtb *t, struct jtb_job *job,
			enum jtb_job_state state, int64_t wall_ms)
{
	job->state = state;
	job->ended_ms = wall_ms;
	jtb_notify_job(t, job);
	jtb_drop_live(t, job);
}

/* Removes an ended job from the live list once it has no runs. */
static void jtb_drop_live(struct jtb *t, struct jtb_job *job)
{
	if (job->n_runs == 0)
		g_ptr_array_remove(t->live, job);
}

/* Calls back that a job changed. */
static void jtb_notify_job(struct jtb *t, struct jtb_job *job)
{
	t->watch->job_changed(t->arg, job);
}
