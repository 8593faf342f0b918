#include "job_int.h"

#include "cht.h"

enum job_action {
	JOB_DO_START,
	JOB_DO_STOP,
	JOB_DO_QUEUE,
	JOB_DO_TELL,
	JOB_ACTIONS
};

static const struct cht *job_chart(void);
static void job_free(gpointer job);
static GQueue *job_queue(struct jobs *j, const struct job *b);
static void job_do_start(struct jobs *j, struct job *b, struct job_out *out);
static void job_do_stop(struct jobs *j, struct job *b, struct job_out *out);
static void job_do_queue(struct jobs *j, struct job *b, struct job_out *out);
static void job_do_tell(struct jobs *j, struct job *b, struct job_out *out);
static void job_release(struct jobs *j, struct job *b);
static void job_act(const struct job *b, enum job_act_kind kind,
		    struct job_out *out);
static enum job_why job_admit(const struct jobs *j,
			      const struct job_spec *spec);
static bool job_can_ever(const struct jobs *j, const struct job *b);
static void job_reckon(struct jobs *j, struct job *b,
		       const struct job_size *used);
static gint job_by_seq(gconstpointer a, gconstpointer b);

static const char *const job_states[JOB_STATES] = {
	[JOB_WAITING] = "waiting",     [JOB_RUNNING] = "running",
	[JOB_STOPPING] = "stopping",   [JOB_CANCELLING] = "cancelling",
	[JOB_LOST] = "lost",	       [JOB_FINISHED] = "finished",
	[JOB_CANCELLED] = "cancelled", [JOB_REFUSED] = "refused",
};

static const char *const job_events[JOB_EVENTS] = {
	[JOB_PLACE] = "place",	   [JOB_COMPLETE] = "complete",
	[JOB_FAIL] = "fail",	   [JOB_REFUSE] = "refuse",
	[JOB_PREEMPT] = "preempt", [JOB_STOPPED] = "stopped",
	[JOB_CANCEL] = "cancel",   [JOB_LOSE] = "lose",
	[JOB_ENDED] = "ended",
};

static const char *const job_actions[JOB_ACTIONS] = {
	[JOB_DO_START] = "start",
	[JOB_DO_STOP] = "stop",
	[JOB_DO_QUEUE] = "queue",
	[JOB_DO_TELL] = "tell",
};

static void (*const job_does[JOB_ACTIONS])(struct jobs *j, struct job *b,
					   struct job_out *out) = {
	[JOB_DO_START] = job_do_start,
	[JOB_DO_STOP] = job_do_stop,
	[JOB_DO_QUEUE] = job_do_queue,
	[JOB_DO_TELL] = job_do_tell,
};

static const char *const job_whys[JOB_WHYS] = {
	[JOB_OK] = "accepted",
	[JOB_UNKNOWN_POOL] = "no such pool",
	[JOB_UNKNOWN_TEAM] = "no such team",
	[JOB_TOO_LARGE] = "too large for any worker of the pool",
	[JOB_QUOTA] = "larger than the team's whole quota",
	[JOB_FULL] = "too many jobs wait; submit again later",
	[JOB_BAD] = "failed on different workers",
	[JOB_UNSURE] = "began and failed, and is not idempotent",
};

/* A table without pools, teams and workers. */
struct jobs *jobs_new(const struct job_config *config)
{
	struct jobs *j = g_new0(struct jobs, 1);

	g_assert(config->suspect_after <= JOB_FAILS_MAX);
	j->config = *config;
	j->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 job_free);
	j->workers = g_array_new(FALSE, TRUE, sizeof(struct job_worker));
	j->teams = g_array_new(FALSE, TRUE, sizeof(struct job_team));
	j->pools = g_array_new(FALSE, TRUE, sizeof(struct job_pool));
	return j;
}

/* Frees the table and every job. */
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

/* Makes a pool known. */
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

/* Makes a team known, or changes its quota. */
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
 * Puts a worker into a pool, or moves it there. What waits in the pool it
 * left and now fits none of its workers is refused, before it waits for ever.
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
	/* In order, so that a restored table chooses as the old one did. */
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
	all = job_sorted(j);
	for (l = all; l; l = l->next) {
		struct job *b = l->data;

		if (b->state != JOB_WAITING || job_can_ever(j, b))
			continue;
		b->why = JOB_TOO_LARGE;
		job_event(j, b, JOB_REFUSE, out);
	}
	g_list_free(all);
}

/*
 * The duty officer ranks a team's work of a class; larger goes first. Queues
 * are by team and class and the rank is read at each placement, so a change
 * holds for the very next one, whatever waits.
 */
void job_set_priority(struct jobs *j, int team, enum job_class cls,
		      int priority)
{
	guint i;

	job_team(j, team)->priority[cls] = priority;
	for (i = 0; i < j->pools->len; i++)
		job_pool(j, (int)i)->dirty = true;
}

/* A worker's lease: it runs tasks until then and stops them by itself. */
void job_lease(struct jobs *j, int worker, int64_t until_ms)
{
	struct job_worker *w = job_worker(j, worker);

	w->lease_ms = MAX(w->lease_ms, until_ms);
	w->up = true;
	job_pool(j, w->pool)->dirty = true;
}

/* A worker gets nothing new, or gets work again. */
void job_drain(struct jobs *j, int worker, bool drain)
{
	job_worker(j, worker)->drained = drain;
	job_pool(j, job_worker(j, worker)->pool)->dirty = true;
}

/*
 * Accepts a job or says why not. A second submission of an id gets the first
 * one's answer, so that a caller may resend when an answer was lost.
 */
enum job_why job_submit(struct jobs *j, const struct job_spec *spec,
			int64_t now_ms, struct job_out *out)
{
	struct job *b = job_find(j, spec->id);
	enum job_why why;

	if (b)
		return b->state == JOB_REFUSED ? b->why : JOB_OK;
	why = job_admit(j, spec);
	if (why != JOB_OK) {
		job_audit(out, "job %" G_GUINT64_FORMAT " refused: %s",
			  spec->id, job_whys[why]);
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
 * Cancels a job. Made for floods of thousands: each costs the same few
 * operations wherever the job stands, stops go to the array that is sent
 * last, and nothing is kept that a later one could push out.
 */
void job_cancel(struct jobs *j, uint64_t id, struct job_out *out)
{
	struct job *b = job_find(j, id);

	if (b)
		job_event(j, b, JOB_CANCEL, out);
}

/*
 * A worker says how an attempt ended: JOB_COMPLETE, JOB_STOPPED or JOB_FAIL,
 * then with whether the work had begun. A report of an earlier attempt is
 * late and changes nothing.
 */
void job_report(struct jobs *j, uint64_t id, uint32_t attempt,
		enum job_event ev, bool begun, struct job_out *out)
{
	struct job *b = job_find(j, id);

	g_assert(ev == JOB_COMPLETE || ev == JOB_STOPPED || ev == JOB_FAIL);
	if (!b || b->attempt != attempt)
		return;
	if (ev == JOB_COMPLETE && b->worker >= 0)
		job_worker(j, b->worker)->failed.n = 0;
	if (ev == JOB_FAIL && b->worker >= 0)
		job_failed(j, b, begun, out);
	else
		job_event(j, b, ev, out);
}

/*
 * What a job really uses, reported late. Declared sizes are off by up to ten
 * times, so the worker is reckoned with the larger of both from now on; if it
 * is over its capacity the job that went furthest over is throttled, not the
 * one that happens to be there.
 */
void job_usage(struct jobs *j, uint64_t id, uint32_t attempt,
	       const struct job_size *used, struct job_out *out)
{
	struct job *b = job_find(j, id);
	struct job *worst = NULL;
	struct job_worker *w;
	GList *l;

	if (!b || b->attempt != attempt || b->worker < 0)
		return;
	job_reckon(j, b, used);
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
		job_act(worst, JOB_ACT_THROTTLE, out);
}

/*
 * Sees leases run out and places what can be placed, at most about budget
 * jobs, so that the loop is never held for long. True: nothing is left to do.
 */
bool job_step(struct jobs *j, int64_t now_ms, int budget, struct job_out *out)
{
	guint i;

	job_expire(j, now_ms, out);
	for (i = 0; i < j->pools->len && budget > 0; i++) {
		struct job_pool *p = job_pool(j, j->next_pool);

		if (p->known && p->dirty)
			budget = job_fill(j, p, budget, out);
		if (budget > 0)
			j->next_pool = (j->next_pool + 1) % (int)j->pools->len;
	}
	return budget > 0;
}

/*
 * After a restart: every act that may not have arrived, under its old key,
 * which a worker does once.
 */
void job_resend(struct jobs *j, struct job_out *out)
{
	GList *all = job_sorted(j);
	GList *l;

	for (l = all; l; l = l->next) {
		struct job *b = l->data;

		if (b->state == JOB_RUNNING)
			job_act(b, JOB_ACT_START, out);
		if (b->worker >= 0 &&
		    (b->state == JOB_STOPPING || b->state == JOB_CANCELLING))
			job_act(b, JOB_ACT_STOP, out);
	}
	g_list_free(all);
}

/* How a job stands; false: never accepted. */
bool job_status(const struct jobs *j, uint64_t id, struct job_status *out)
{
	const struct job *b = job_find(j, id);

	if (!b)
		return false;
	*out = (struct job_status){
		.state = b->state,
		.why = b->why,
		.worker = b->worker,
		.attempt = b->attempt,
		.stops = b->stops,
	};
	return true;
}

/* Whether a worker gets nothing, since it fails everything. */
bool job_is_suspect(const struct jobs *j, int worker)
{
	return job_worker(j, worker)->suspect;
}

/* An operator has mended a worker that failed everything. */
void job_trust(struct jobs *j, int worker)
{
	struct job_worker *w = job_worker(j, worker);

	w->suspect = false;
	w->failed.n = 0;
	job_pool(j, w->pool)->dirty = true;
}

/* Forgets a job whose outcome has been told; false: it has none yet. */
bool job_forget(struct jobs *j, uint64_t id)
{
	struct job *b = job_find(j, id);

	if (!b || !cht_is_final(job_chart(), (int)b->state))
		return false;
	j->counts[b->state]--;
	g_hash_table_remove(j->by_id, &id);
	return true;
}

/* Jobs in a state. */
int job_count(const struct jobs *j, enum job_state state)
{
	return j->counts[state];
}

/* The reason in words. */
const char *job_why_text(enum job_why why)
{
	return job_whys[why];
}

/* The state's name as in the chart. */
const char *job_state_name(enum job_state state)
{
	return job_states[state];
}

/* Empty arrays. */
void job_out_init(struct job_out *out)
{
	out->urgent = g_array_new(FALSE, FALSE, sizeof(struct job_act));
	out->acts = g_array_new(FALSE, FALSE, sizeof(struct job_act));
	out->told = g_array_new(FALSE, FALSE, sizeof(struct job_told));
	out->audit = g_ptr_array_new_with_free_func(g_free);
}

/* Empties the arrays. */
void job_out_clear(struct job_out *out)
{
	g_array_set_size(out->urgent, 0);
	g_array_set_size(out->acts, 0);
	g_array_set_size(out->told, 0);
	g_ptr_array_set_size(out->audit, 0);
}

/* Frees the arrays. */
void job_out_done(struct job_out *out)
{
	g_array_free(out->urgent, TRUE);
	g_array_free(out->acts, TRUE);
	g_array_free(out->told, TRUE);
	g_ptr_array_free(out->audit, TRUE);
}

/* Read once; the table never changes after that. */
static const struct cht *job_chart(void)
{
	static struct cht *chart;
	const struct cht_names names = {
		.states = job_states,
		.n_states = JOB_STATES,
		.events = job_events,
		.n_events = JOB_EVENTS,
		.actions = job_actions,
		.n_actions = JOB_ACTIONS,
	};

	if (!chart)
		chart = cht_builtin("job", &names);
	return chart;
}

static void job_free(gpointer job)
{
	g_free(job);
}

struct job_worker *job_worker(const struct jobs *j, int worker)
{
	g_assert(worker >= 0 && (guint)worker < j->workers->len);
	return &g_array_index(j->workers, struct job_worker, worker);
}

struct job_team *job_team(const struct jobs *j, int team)
{
	g_assert(team >= 0 && (guint)team < j->teams->len);
	return &g_array_index(j->teams, struct job_team, team);
}

struct job_pool *job_pool(const struct jobs *j, int pool)
{
	g_assert(pool >= 0 && (guint)pool < j->pools->len);
	return &g_array_index(j->pools, struct job_pool, pool);
}

struct job *job_find(const struct jobs *j, uint64_t id)
{
	return g_hash_table_lookup(j->by_id, &id);
}

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

bool job_event(struct jobs *j, struct job *b, enum job_event ev,
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
		job_does[step.action](j, b, out);
	return true;
}

static void job_do_start(struct jobs *j, struct job *b, struct job_out *out)
{
	job_act(b, JOB_ACT_START, out);
}

static void job_do_stop(struct jobs *j, struct job *b, struct job_out *out)
{
	job_act(b, JOB_ACT_STOP, out);
}

static void job_do_queue(struct jobs *j, struct job *b, struct job_out *out)
{
	job_release(j, b);
	job_enqueue(j, b);
}

static void job_do_tell(struct jobs *j, struct job *b, struct job_out *out)
{
	struct job_told told = {
		.job = b->spec.id, .outcome = b->state, .why = b->why};

	job_release(j, b);
	g_array_append_val(out->told, told);
}

/* Gives back what a job holds of its worker and its team's quota. */
static void job_release(struct jobs *j, struct job *b)
{
	struct job_worker *w;

	if (b->worker < 0)
		return;
	w = job_worker(j, b->worker);
	job_add(&w->used, &b->used, -1);
	job_add(&job_team(j, b->spec.team)->used, &b->used, -1);
	g_queue_delete_link(b->ends_ms ? &j->lost : &w->jobs, b->link);
	b->link = NULL;
	b->ends_ms = 0;
	b->worker = -1;
	job_pool(j, w->pool)->dirty = true;
	job_pool(j, b->spec.pool)->dirty = true;
}

/* Back at its old place: a job that was stopped is not the last again. */
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

/* Starts of urgent work are sent before anything a flood has caused. */
static void job_act(const struct job *b, enum job_act_kind kind,
		    struct job_out *out)
{
	struct job_act act = {
		.kind = kind,
		.job = b->spec.id,
		.attempt = b->attempt,
		.worker = b->worker,
	};

	bool urgent = b->state == JOB_STOPPING ||
		      (kind == JOB_ACT_START && b->spec.cls == JOB_URGENT);

	g_array_append_val(urgent ? out->urgent : out->acts, act);
}

/* What can never run is refused now, not after a wait that has no end. */
static enum job_why job_admit(const struct jobs *j, const struct job_spec *spec)
{
	struct job probe = {.spec = *spec};

	if (spec->pool < 0 || (guint)spec->pool >= j->pools->len ||
	    !job_pool(j, spec->pool)->known)
		return JOB_UNKNOWN_POOL;
	if (spec->team < 0 || (guint)spec->team >= j->teams->len ||
	    !job_team(j, spec->team)->known)
		return JOB_UNKNOWN_TEAM;
	if (!job_fits(&spec->size, &job_team(j, spec->team)->quota))
		return JOB_QUOTA;
	if (!job_can_ever(j, &probe))
		return JOB_TOO_LARGE;
	if (j->counts[JOB_WAITING] >= j->config.waiting_max)
		return JOB_FULL;
	return JOB_OK;
}

static bool job_can_ever(const struct jobs *j, const struct job *b)
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

bool job_fits(const struct job_size *a, const struct job_size *room)
{
	return a->cpu_milli <= room->cpu_milli && a->mem_mb <= room->mem_mb &&
	       a->accels <= room->accels;
}

void job_add(struct job_size *to, const struct job_size *by, int sign)
{
	to->cpu_milli += sign * by->cpu_milli;
	to->mem_mb += sign * by->mem_mb;
	to->accels += sign * by->accels;
}

static void job_reckon(struct jobs *j, struct job *b,
		       const struct job_size *used)
{
	struct job_worker *w = job_worker(j, b->worker);
	struct job_team *team = job_team(j, b->spec.team);

	job_add(&w->used, &b->used, -1);
	job_add(&team->used, &b->used, -1);
	b->used.cpu_milli = MAX(b->spec.size.cpu_milli, used->cpu_milli);
	b->used.mem_mb = MAX(b->spec.size.mem_mb, used->mem_mb);
	b->used.accels = MAX(b->spec.size.accels, used->accels);
	job_add(&w->used, &b->used, 1);
	job_add(&team->used, &b->used, 1);
}

void job_audit(struct job_out *out, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_ptr_array_add(out->audit, g_strdup_vprintf(fmt, ap));
	va_end(ap);
}

static gint job_by_seq(gconstpointer a, gconstpointer b)
{
	const struct job *ja = a;
	const struct job *jb = b;

	return ja->seq < jb->seq ? -1 : ja->seq > jb->seq;
}

/* Every job in the order of acceptance, so that all voters do the same. */
GList *job_sorted(const struct jobs *j)
{
	return g_list_sort(g_hash_table_get_values(j->by_id), job_by_seq);
}
