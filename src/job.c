#include "job_int.h"

#include "cht.h"

enum job_action {
	JOB_ACTION_START,
	JOB_ACTION_STOP,
	JOB_ACTION_QUEUE,
	JOB_ACTION_REPORT,
	JOB_ACTIONS
};

static const struct cht *job_chart(void);
static void job_free(gpointer job);
static GQueue *job_queue(struct jobs *j, const struct job *b);
static void job_action_start(struct jobs *j, struct job *b,
			     struct job_out *out);
static void job_action_stop(struct jobs *j, struct job *b, struct job_out *out);
static void job_action_queue(struct jobs *j, struct job *b,
			     struct job_out *out);
static void job_action_report(struct jobs *j, struct job *b,
			      struct job_out *out);
static void job_release(struct jobs *j, struct job *b);
static void job_add_order(const struct job *b, enum job_order_kind kind,
			  struct job_out *out);
static enum job_reason job_check_admission(const struct jobs *j,
					   const struct job_spec *spec);
static bool job_is_schedulable(const struct jobs *j, const struct job *b);
static void job_charge_usage(struct jobs *j, struct job *b,
			     const struct job_size *used);
static gint job_compare_seq(gconstpointer a, gconstpointer b);

static const char *const job_state_names[JOB_STATES] = {
	[JOB_WAITING] = "waiting",     [JOB_RUNNING] = "running",
	[JOB_STOPPING] = "stopping",   [JOB_CANCELLING] = "cancelling",
	[JOB_LOST] = "lost",	       [JOB_FINISHED] = "finished",
	[JOB_CANCELLED] = "cancelled", [JOB_REFUSED] = "refused",
};

static const char *const job_event_names[JOB_EVENTS] = {
	[JOB_PLACE] = "place",	   [JOB_COMPLETE] = "complete",
	[JOB_FAIL] = "fail",	   [JOB_REFUSE] = "refuse",
	[JOB_PREEMPT] = "preempt", [JOB_STOPPED] = "stopped",
	[JOB_CANCEL] = "cancel",   [JOB_LOSE] = "lose",
	[JOB_ENDED] = "ended",
};

static const char *const job_action_names[JOB_ACTIONS] = {
	[JOB_ACTION_START] = "start",
	[JOB_ACTION_STOP] = "stop",
	[JOB_ACTION_QUEUE] = "queue",
	[JOB_ACTION_REPORT] = "tell",
};

static void (*const job_action_handlers[JOB_ACTIONS])(struct jobs *j,
						      struct job *b,
						      struct job_out *out) = {
	[JOB_ACTION_START] = job_action_start,
	[JOB_ACTION_STOP] = job_action_stop,
	[JOB_ACTION_QUEUE] = job_action_queue,
	[JOB_ACTION_REPORT] = job_action_report,
};

static const char *const job_reason_texts[JOB_REASONS] = {
	[JOB_OK] = "accepted",
	[JOB_UNKNOWN_POOL] = "no such pool",
	[JOB_UNKNOWN_TEAM] = "no such team",
	[JOB_TOO_LARGE] = "too large for any worker of the pool",
	[JOB_OVER_QUOTA] = "larger than the team's whole quota",
	[JOB_QUEUE_FULL] = "too many jobs wait; submit again later",
	[JOB_FAILED_REPEATEDLY] = "failed on different workers",
	[JOB_NOT_IDEMPOTENT] = "began and failed, and is not idempotent",
};

/* Creates a table without pools, teams and workers. */
struct jobs *jobs_new(const struct job_config *config)
{
	struct jobs *j = g_new0(struct jobs, 1);

	g_assert(config->suspect_after <= JOB_FAILURES_MAX);
	j->config = *config;
	j->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 job_free);
	j->workers = g_array_new(FALSE, TRUE, sizeof(struct job_worker));
	j->teams = g_array_new(FALSE, TRUE, sizeof(struct job_team));
	j->pools = g_array_new(FALSE, TRUE, sizeof(struct job_pool));
	return j;
}

/* Frees the table and all jobs; j may be NULL. */
void jobs_free(struct jobs *j)
{
	guint i;
	guint q;

	if (!j)
		return;
	for (i = 0; i < j->workers->len; i++)
		g_queue_clear(&job_worker(j, (int)i)->jobs);
	for (i = 0; i < j->pools->len; i++) {
		struct job_pool *p = job_pool(j, (int)i);

		if (!p->known)
			continue;
		for (q = 0; q < p->queues->len; q++)
			if (p->queues->pdata[q])
				g_queue_free(p->queues->pdata[q]);
		g_ptr_array_free(p->queues, TRUE);
		g_array_free(p->workers, TRUE);
	}
	g_queue_clear(&j->lost);
	g_hash_table_destroy(j->by_id);
	g_array_free(j->workers, TRUE);
	g_array_free(j->teams, TRUE);
	g_array_free(j->pools, TRUE);
	g_free(j);
}

/* Adds a pool, unless it exists. */
void job_set_pool(struct jobs *j, int pool)
{
	struct job_pool *p;

	g_assert(pool >= 0 && pool <= JOB_NUMBER_MAX);
	if ((guint)pool >= j->pools->len)
		g_array_set_size(j->pools, (guint)pool + 1);
	p = job_pool(j, pool);
	if (p->known)
		return;
	p->known = true;
	p->workers = g_array_new(FALSE, FALSE, sizeof(int));
	p->queues = g_ptr_array_new();
}

/* Adds a team, or changes its quota. */
void job_set_team(struct jobs *j, int team, const struct job_size *quota)
{
	int cls;

	g_assert(team >= 0 && team <= JOB_NUMBER_MAX);
	if ((guint)team >= j->teams->len)
		g_array_set_size(j->teams, (guint)team + 1);
	if (!job_team(j, team)->known)
		for (cls = 0; cls < JOB_CLASSES; cls++)
			job_team(j, team)->priority[cls] = cls;
	job_team(j, team)->known = true;
	job_team(j, team)->quota = *quota;
}

/*
 * Adds a worker to a pool, or moves it there, and sets its capacity. Waiting
 * jobs that no worker of the pool it left can run any more are refused, since
 * they would wait permanently.
 */
void job_set_worker(struct jobs *j, int worker, int pool,
		    const struct job_size *capacity, struct job_out *out)
{
	struct job_worker *w;
	struct job_pool *old;
	GList *all;
	GList *l;
	guint i;

	g_assert(worker >= 0 && worker <= JOB_NUMBER_MAX);
	while ((guint)worker >= j->workers->len) {
		g_array_set_size(j->workers, j->workers->len + 1);
		job_worker(j, (int)j->workers->len - 1)->pool = -1;
	}
	w = job_worker(j, worker);
	w->capacity = *capacity;
	if (w->pool == pool)
		return;
	old = w->pool >= 0 ? job_pool(j, w->pool) : NULL;
	w->pool = pool;
	/* Sorted, so that a restored table chooses the same worker. */
	for (i = 0; i < job_pool(j, pool)->workers->len; i++)
		if (g_array_index(job_pool(j, pool)->workers, int, i) > worker)
			break;
	g_array_insert_val(job_pool(j, pool)->workers, i, worker);
	job_pool(j, pool)->dirty = true;
	if (!old)
		return;
	for (i = 0; i < old->workers->len; i++)
		if (g_array_index(old->workers, int, i) == worker)
			g_array_remove_index(old->workers, i--);
	all = job_list_sorted(j);
	for (l = all; l; l = l->next) {
		struct job *b = l->data;

		if (b->state != JOB_WAITING || job_is_schedulable(j, b))
			continue;
		b->reason = JOB_TOO_LARGE;
		job_apply_event(j, b, JOB_REFUSE, out);
	}
	g_list_free(all);
}

/*
 * Sets the priority of a team's jobs of a class, as the duty officer decides;
 * larger goes first. Queues are by team and class and the priority is read at
 * each placement, so a change applies from the next placement on, whichever
 * jobs are waiting.
 */
void job_set_priority(struct jobs *j, int team, enum job_class cls,
		      int priority)
{
	guint i;

	job_team(j, team)->priority[cls] = priority;
	for (i = 0; i < j->pools->len; i++)
		job_pool(j, (int)i)->dirty = true;
}

/* Extends a worker's lease; at its end the worker stops its jobs by itself. */
void job_renew_lease(struct jobs *j, int worker, int64_t until_ms)
{
	struct job_worker *w = job_worker(j, worker);

	w->lease_ms = MAX(w->lease_ms, until_ms);
	w->lease_valid = true;
	job_pool(j, w->pool)->dirty = true;
}

/* Sets whether a worker is drained: a drained worker gets no new jobs. */
void job_drain(struct jobs *j, int worker, bool drain)
{
	job_worker(j, worker)->drained = drain;
	job_pool(j, job_worker(j, worker)->pool)->dirty = true;
}

/*
 * Accepts a job, or returns why it is refused. A second submission of an id
 * gets the same answer, so that a caller may resend after a lost answer.
 */
enum job_reason job_submit(struct jobs *j, const struct job_spec *spec,
			   int64_t now_ms, struct job_out *out)
{
	struct job *b = job_find(j, spec->id);
	enum job_reason why;

	if (b)
		return b->state == JOB_REFUSED ? b->reason : JOB_OK;
	why = job_check_admission(j, spec);
	if (why != JOB_OK) {
		job_audit(out, "job %" G_GUINT64_FORMAT " refused: %s",
			  spec->id, job_reason_texts[why]);
		return why;
	}
	b = g_new0(struct job, 1);
	b->spec = *spec;
	b->used = spec->size;
	b->seq = ++j->seq;
	b->worker = -1;
	b->state = (enum job_state)cht_start(job_chart());
	j->counts[b->state]++;
	g_hash_table_insert(j->by_id, &b->spec.id, b);
	job_enqueue(j, b);
	return JOB_OK;
}

/*
 * Cancels a job. To bear floods of thousands, a cancellation takes constant
 * time in every state of the job, its stop order goes to the array that is sent
 * last, and it uses no bounded buffer that a later one could overflow.
 */
void job_cancel(struct jobs *j, uint64_t id, struct job_out *out)
{
	struct job *b = job_find(j, id);

	if (b)
		job_apply_event(j, b, JOB_CANCEL, out);
}

/*
 * Applies a worker's report of how an attempt ended: JOB_COMPLETE, JOB_STOPPED
 * or JOB_FAIL. begun matters for JOB_FAIL only: whether the job had started.
 * A late report, of an earlier attempt, is ignored.
 */
void job_report_end(struct jobs *j, uint64_t id, uint32_t attempt,
		    enum job_event ev, bool begun, struct job_out *out)
{
	struct job *b = job_find(j, id);

	g_assert(ev == JOB_COMPLETE || ev == JOB_STOPPED || ev == JOB_FAIL);
	if (!b || b->attempt != attempt)
		return;
	if (ev == JOB_COMPLETE && b->worker >= 0)
		job_worker(j, b->worker)->failed.n = 0;
	if (ev == JOB_FAIL && b->worker >= 0)
		job_handle_failure(j, b, begun, out);
	else
		job_apply_event(j, b, ev, out);
}

/*
 * Applies the actual usage of a job. Declared sizes are too low by a factor of
 * up to ten, so the job is charged with the larger of declared and actual size
 * from now on. If the worker is then over its capacity, the job that exceeds
 * its declared cpu most is throttled, which need not be the reported one;
 * urgent jobs are never throttled.
 */
void job_report_usage(struct jobs *j, uint64_t id, uint32_t attempt,
		      const struct job_size *used, struct job_out *out)
{
	struct job *b = job_find(j, id);
	struct job *worst = NULL;
	struct job_worker *w;
	GList *l;

	if (!b || b->attempt != attempt || b->worker < 0)
		return;
	job_charge_usage(j, b, used);
	w = job_worker(j, b->worker);
	if (job_fits(&w->used, &w->capacity))
		return;
	for (l = w->jobs.head; l; l = l->next) {
		struct job *at = l->data;

		if (!worst ||
		    at->used.cpu_milli - at->spec.size.cpu_milli >
			    worst->used.cpu_milli - worst->spec.size.cpu_milli)
			worst = at;
	}
	if (worst && worst->spec.cls != JOB_URGENT)
		job_add_order(worst, JOB_ORDER_THROTTLE, out);
}

/*
 * Handles expired leases and places waiting jobs, about budget of them at most,
 * to bound the time in the event loop. Returns true if nothing is left to do.
 */
bool job_schedule(struct jobs *j, int64_t now_ms, int budget,
		  struct job_out *out)
{
	guint i;

	job_expire_leases(j, now_ms, out);
	for (i = 0; i < j->pools->len && budget > 0; i++) {
		struct job_pool *p = job_pool(j, j->next_pool);

		if (p->known && p->dirty)
			budget = job_place_waiting(j, p, budget, out);
		if (budget > 0)
			j->next_pool = (j->next_pool + 1) % (int)j->pools->len;
	}
	return budget > 0;
}

/*
 * Repeats, after a restart, every order that may not have arrived. Each has its
 * old key, so that the worker executes it once.
 */
void job_resend(struct jobs *j, struct job_out *out)
{
	GList *all = job_list_sorted(j);
	GList *l;

	for (l = all; l; l = l->next) {
		struct job *b = l->data;

		if (b->state == JOB_RUNNING)
			job_add_order(b, JOB_ORDER_START, out);
		if (b->worker >= 0 &&
		    (b->state == JOB_STOPPING || b->state == JOB_CANCELLING))
			job_add_order(b, JOB_ORDER_STOP, out);
	}
	g_list_free(all);
}

/* Returns the status of a job in out; false if it was never accepted. */
bool job_status(const struct jobs *j, uint64_t id, struct job_status *out)
{
	const struct job *b = job_find(j, id);

	if (!b)
		return false;
	*out = (struct job_status){
		.state = b->state,
		.reason = b->reason,
		.worker = b->worker,
		.attempt = b->attempt,
		.stops = b->stops,
	};
	return true;
}

/* Whether a worker gets no jobs, since different jobs failed on it. */
bool job_is_suspect(const struct jobs *j, int worker)
{
	return job_worker(j, worker)->suspect;
}

/* Gives a suspect worker jobs again, after an operator repaired it. */
void job_clear_suspect(struct jobs *j, int worker)
{
	struct job_worker *w = job_worker(j, worker);

	w->suspect = false;
	w->failed.n = 0;
	job_pool(j, w->pool)->dirty = true;
}

/* Removes a job that has an outcome; returns false if it has none yet. */
bool job_forget(struct jobs *j, uint64_t id)
{
	struct job *b = job_find(j, id);

	if (!b || !cht_is_final(job_chart(), (int)b->state))
		return false;
	j->counts[b->state]--;
	g_hash_table_remove(j->by_id, &id);
	return true;
}

/* Counts the jobs in a state. */
int job_count(const struct jobs *j, enum job_state state)
{
	return j->counts[state];
}

/* Returns a reason as text for logs and answers. */
const char *job_reason_text(enum job_reason why)
{
	return job_reason_texts[why];
}

/* Returns a state's name as in the chart. */
const char *job_state_name(enum job_state state)
{
	return job_state_names[state];
}

/* Initializes the arrays. */
void job_out_init(struct job_out *out)
{
	out->urgent = g_array_new(FALSE, FALSE, sizeof(struct job_order));
	out->orders = g_array_new(FALSE, FALSE, sizeof(struct job_order));
	out->outcomes = g_array_new(FALSE, FALSE, sizeof(struct job_outcome));
	out->audit = g_ptr_array_new_with_free_func(g_free);
}

/* Empties the arrays. */
void job_out_clear(struct job_out *out)
{
	g_array_set_size(out->urgent, 0);
	g_array_set_size(out->orders, 0);
	g_array_set_size(out->outcomes, 0);
	g_ptr_array_set_size(out->audit, 0);
}

/* Frees the arrays. */
void job_out_done(struct job_out *out)
{
	g_array_free(out->urgent, TRUE);
	g_array_free(out->orders, TRUE);
	g_array_free(out->outcomes, TRUE);
	g_ptr_array_free(out->audit, TRUE);
}

/* Returns the state chart of a job, which is parsed on the first call. */
static const struct cht *job_chart(void)
{
	static struct cht *chart;
	const struct cht_names names = {
		.states = job_state_names,
		.n_states = JOB_STATES,
		.events = job_event_names,
		.n_events = JOB_EVENTS,
		.actions = job_action_names,
		.n_actions = JOB_ACTIONS,
	};

	if (!chart)
		chart = cht_builtin("job", &names);
	return chart;
}

/* Frees a job. */
static void job_free(gpointer job)
{
	g_free(job);
}

/* Returns the worker of a number, which must be in the table. */
struct job_worker *job_worker(const struct jobs *j, int worker)
{
	g_assert(worker >= 0 && (guint)worker < j->workers->len);
	return &g_array_index(j->workers, struct job_worker, worker);
}

/* Returns the team of a number, which must be in the table. */
struct job_team *job_team(const struct jobs *j, int team)
{
	g_assert(team >= 0 && (guint)team < j->teams->len);
	return &g_array_index(j->teams, struct job_team, team);
}

/* Returns the pool of a number, which must be in the table. */
struct job_pool *job_pool(const struct jobs *j, int pool)
{
	g_assert(pool >= 0 && (guint)pool < j->pools->len);
	return &g_array_index(j->pools, struct job_pool, pool);
}

/* Returns the job of an id, or NULL. */
struct job *job_find(const struct jobs *j, uint64_t id)
{
	return g_hash_table_lookup(j->by_id, &id);
}

/* Returns the queue for a job's pool, team and class; creates it if needed. */
static GQueue *job_queue(struct jobs *j, const struct job *b)
{
	GPtrArray *queues = job_pool(j, b->spec.pool)->queues;
	guint at = (guint)b->spec.team * JOB_CLASSES + b->spec.cls;

	if (at >= queues->len)
		g_ptr_array_set_size(queues, (gint)at + 1);
	if (!queues->pdata[at])
		queues->pdata[at] = g_queue_new();
	return queues->pdata[at];
}

/*
 * Applies an event to a job's state machine and runs the action of the
 * transition. Returns false if the event means nothing in the job's state.
 */
bool job_apply_event(struct jobs *j, struct job *b, enum job_event ev,
		     struct job_out *out)
{
	struct cht_step step;

	if (!cht_step(job_chart(), (int)b->state, (int)ev, &step))
		return false;
	if (b->state == JOB_WAITING && step.next != JOB_WAITING) {
		g_queue_delete_link(job_queue(j, b), b->link);
		b->link = NULL;
	}
	j->counts[b->state]--;
	b->state = (enum job_state)step.next;
	j->counts[b->state]++;
	if (step.action != CHT_NONE)
		job_action_handlers[step.action](j, b, out);
	return true;
}

/* Orders the start of a job. */
static void job_action_start(struct jobs *j, struct job *b, struct job_out *out)
{
	job_add_order(b, JOB_ORDER_START, out);
}

/* Orders the stop of a job. */
static void job_action_stop(struct jobs *j, struct job *b, struct job_out *out)
{
	job_add_order(b, JOB_ORDER_STOP, out);
}

/* Puts a job back into its queue. */
static void job_action_queue(struct jobs *j, struct job *b, struct job_out *out)
{
	job_release(j, b);
	job_enqueue(j, b);
}

/* Reports the outcome of a job. */
static void job_action_report(struct jobs *j, struct job *b,
			      struct job_out *out)
{
	struct job_outcome outcome = {
		.job = b->spec.id, .outcome = b->state, .reason = b->reason};

	job_release(j, b);
	g_array_append_val(out->outcomes, outcome);
}

/* Releases what a job uses of its worker's capacity and its team's quota. */
static void job_release(struct jobs *j, struct job *b)
{
	struct job_worker *w;

	if (b->worker < 0)
		return;
	w = job_worker(j, b->worker);
	job_add_size(&w->used, &b->used, -1);
	job_add_size(&job_team(j, b->spec.team)->used, &b->used, -1);
	g_queue_delete_link(b->lost_until_ms ? &j->lost : &w->jobs, b->link);
	b->link = NULL;
	b->lost_until_ms = 0;
	b->worker = -1;
	job_pool(j, w->pool)->dirty = true;
	job_pool(j, b->spec.pool)->dirty = true;
}

/* Queues a job by order of acceptance, so a stopped job keeps its position. */
void job_enqueue(struct jobs *j, struct job *b)
{
	GQueue *q = job_queue(j, b);
	GList *l = q->tail;

	while (l && ((struct job *)l->data)->seq > b->seq)
		l = l->prev;
	if (l) {
		g_queue_insert_after(q, l, b);
		b->link = l->next;
	} else {
		g_queue_push_head(q, b);
		b->link = q->head;
	}
	job_pool(j, b->spec.pool)->dirty = true;
}

/*
 * Adds an order for a job's worker. Starts of urgent jobs, and the stops that
 * preempt others for them, are sent before the orders of a flood of
 * cancellations.
 */
static void job_add_order(const struct job *b, enum job_order_kind kind,
			  struct job_out *out)
{
	struct job_order act = {
		.kind = kind,
		.job = b->spec.id,
		.attempt = b->attempt,
		.worker = b->worker,
	};

	bool urgent = b->state == JOB_STOPPING ||
		      (kind == JOB_ORDER_START && b->spec.cls == JOB_URGENT);

	g_array_append_val(urgent ? out->urgent : out->orders, act);
}

/* Refuses a job that can never run on submission, before it waits. */
static enum job_reason job_check_admission(const struct jobs *j,
					   const struct job_spec *spec)
{
	struct job probe = {.spec = *spec};

	if (spec->pool < 0 || (guint)spec->pool >= j->pools->len ||
	    !job_pool(j, spec->pool)->known)
		return JOB_UNKNOWN_POOL;
	if (spec->team < 0 || (guint)spec->team >= j->teams->len ||
	    !job_team(j, spec->team)->known)
		return JOB_UNKNOWN_TEAM;
	if (!job_fits(&spec->size, &job_team(j, spec->team)->quota))
		return JOB_OVER_QUOTA;
	if (!job_is_schedulable(j, &probe))
		return JOB_TOO_LARGE;
	if (j->counts[JOB_WAITING] >= j->config.waiting_max)
		return JOB_QUEUE_FULL;
	return JOB_OK;
}

/* Whether a job fits into the capacity of any worker of its pool. */
static bool job_is_schedulable(const struct jobs *j, const struct job *b)
{
	const GArray *workers = job_pool(j, b->spec.pool)->workers;
	guint i;

	for (i = 0; i < workers->len; i++)
		if (job_fits(&b->spec.size,
			     &job_worker(j, g_array_index(workers, int, i))
				      ->capacity))
			return true;
	return false;
}

/* Whether a size fits into a free capacity. */
bool job_fits(const struct job_size *a, const struct job_size *available)
{
	return a->cpu_milli <= available->cpu_milli &&
	       a->mem_mb <= available->mem_mb && a->accels <= available->accels;
}

/* Adds a size, or subtracts it if sign is -1. */
void job_add_size(struct job_size *to, const struct job_size *by, int sign)
{
	to->cpu_milli += sign * by->cpu_milli;
	to->mem_mb += sign * by->mem_mb;
	to->accels += sign * by->accels;
}

/* Charges a job with the larger of its declared and its actual size. */
static void job_charge_usage(struct jobs *j, struct job *b,
			     const struct job_size *used)
{
	struct job_worker *w = job_worker(j, b->worker);
	struct job_team *team = job_team(j, b->spec.team);

	job_add_size(&w->used, &b->used, -1);
	job_add_size(&team->used, &b->used, -1);
	b->used.cpu_milli = MAX(b->spec.size.cpu_milli, used->cpu_milli);
	b->used.mem_mb = MAX(b->spec.size.mem_mb, used->mem_mb);
	b->used.accels = MAX(b->spec.size.accels, used->accels);
	job_add_size(&w->used, &b->used, 1);
	job_add_size(&team->used, &b->used, 1);
}

/* Adds a line for the audit log. */
void job_audit(struct job_out *out, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_ptr_array_add(out->audit, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

/* Compares jobs by order of acceptance. */
static gint job_compare_seq(gconstpointer a, gconstpointer b)
{
	const struct job *ja = a;
	const struct job *jb = b;

	return ja->seq < jb->seq ? -1 : ja->seq > jb->seq;
}

/*
 * Returns all jobs in order of acceptance, so that every voter handles them in
 * the same order; freed with g_list_free.
 */
GList *job_list_sorted(const struct jobs *j)
{
	return g_list_sort(g_hash_table_get_values(j->by_id), job_compare_seq);
}
