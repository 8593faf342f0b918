#include "adv.h"

/*
 * Calls are slow (about 100 ms, and some ms for each worker in the query) and
 * sequential, so a query covers only what tasks wait for. The step that a plan
 * would start next is queried first. A query lists as many workers as have
 * capacity for the step's tasks, given the share of workers approved before in
 * its queue, and enough more for ADV_SPARE_APPROVALS further approvals: with
 * half of all workers approved, one call in 64 for a single task then yields no
 * ticket.
 */
#define ADV_SPARE_APPROVALS 2
/*
 * Least limit of workers in one query: enough for one task with half of the
 * workers approved.
 */
#define ADV_NAMES_MIN 6
/* Least share of approved workers that is assumed: 1 in 20. */
#define ADV_SHARE_MIN 0.05
/*
 * Number of queried workers after which the weight of older answers is halved.
 */
#define ADV_SHARE_WINDOW 200
/*
 * How long before its turn a step is queried, ms, if its tickets do not expire:
 * several calls, which overlap with the run time of the preceding steps.
 */
#define ADV_LEAD_TIME_MS 20000
/*
 * A ticket is renewed when it expires within twice the time of a call for
 * ADV_TYPICAL_NAMES workers plus ADV_RENEW_MARGIN_MS.
 */
#define ADV_TYPICAL_NAMES 30
#define ADV_RENEW_MARGIN_MS 1000
/*
 * A task is placed only if its ticket remains valid for this long, ms: its
 * start first goes through the log, which takes 5 to 100 ms, and may be sent
 * twice.
 */
#define ADV_PLACE_MARGIN_MS 600
/*
 * Delay before a rejected query or a refused ticket is queried again, doubled
 * each time up to the maximum.
 */
#define ADV_BACKOFF_MIN_MS 500
#define ADV_BACKOFF_MAX_MS 16000
/* Interval between removals of steps and workers that are over, ms. */
#define ADV_PRUNE_INTERVAL_MS 1000
/* Size of "ID.TURN.STEP". */
#define ADV_KEY_MAX (JTB_ID_MAX + 24)
/*
 * A step that needs no query is skipped for this long, ms. In a burst hundreds
 * of steps wait for capacity, with tickets or without workers left to query,
 * and checking all workers for each of them in each poll would take too much of
 * the leader's time. The delay is no longer than a call.
 */
#define ADV_SKIP_MS 200

/* What the service answered for a worker. */
enum adv_verdict_kind {
	ADV_DENIED, /* the worker may never run the step */
	ADV_APPROVED,
	ADV_INVALIDATED, /* the worker refused its ticket */
};

/* What is known of a worker for a step. */
struct adv_verdict {
	enum adv_verdict_kind kind;
	char *ticket;
	int64_t until_ms; /* when the ticket expires */
	int64_t retry_at_ms; /* invalidated: earliest time of the next query */
	uint32_t refusals;
};

/* What is known of a step. */
struct adv_step {
	struct jtb_name name;
	GHashTable *verdicts; /* worker's id: struct adv_verdict */
	uint32_t n_approved;
	int64_t valid_ms;
	int64_t retry_at_ms; /* rejected: earliest time of the next query */
	int64_t skip_until_ms; /* no query needed: not checked before */
	int64_t backoff_ms; /* delay after the last rejection */
};

/*
 * Workers queried and approved in a queue, to estimate the share of approvals.
 */
struct adv_share {
	double queried;
	double approved;
};

struct adv {
	const struct jtb *jtb;
	GHashTable *steps; /* "ID.TURN.STEP": struct adv_step */
	GHashTable *shares; /* queue's name: struct adv_share */
	struct jtb_name cached_name; /* of the step looked up last */
	struct adv_step *cached_step; /* result of that lookup; may be NULL */
	bool cache_valid;
	uint64_t config_version; /* configuration that any_advised is from */
	bool any_advised; /* a queue needs advice */
	/* pool's name: its usable workers, in this poll */
	GHashTable *usable_workers;
	int64_t pruned_ms;
};

/* A step that lacks tickets, and what its urgency depends on. */
struct adv_candidate {
	struct jtb_job *job;
	const struct jtb_queue *queue;
	uint32_t turn;
	uint32_t step;
	bool overdue; /* its job can no longer meet its deadline */
	bool due;
	bool blocked; /* none of its tasks can be started */
	double urgency;
	int64_t start_in_ms; /* estimated time until the step may start */
	bool has_capacity; /* a worker that can be queried has free capacity */
	/* tasks that the workers with tickets have no capacity for */
	uint32_t missing;
};

/* A worker that can be queried for a step. */
struct adv_choice {
	const struct jtb_worker *w;
	uint32_t capacity;
	bool approved_before; /* expected to be approved again */
};

static GArray *adv_list_jobs(struct adv *a, int64_t wall_ms);
static bool adv_step_waiting(struct adv *a, const struct adv_candidate *c,
			     int64_t now_ms, int64_t wall_ms);
static bool adv_is_most_urgent(const struct adv_candidate *c);
static int adv_cmp_urgency(gconstpointer a, gconstpointer b);
static GPtrArray *adv_list_usable(struct adv *a, const struct sch_view *v,
				  const char *name);
static void adv_list_free(gpointer p);
static void adv_scan_job(struct adv *a, const struct sch_view *v,
			 const struct adv_candidate *job_info,
			 struct adv_candidate *best);
static void adv_estimate_starts(const struct jtb_job *job, uint32_t turn,
				int64_t wall_ms, int64_t *out);
static bool adv_needs_query(struct adv *a, const struct sch_view *v,
			    struct adv_candidate *c);
static bool adv_check_tickets(struct adv *a, const struct sch_view *v,
			      const struct adv_candidate *c,
			      uint64_t *capacity);
static bool adv_check_choices(struct adv *a, const struct sch_view *v,
			      struct adv_candidate *c);
static uint32_t adv_open_tasks(const struct adv_candidate *c);
static GArray *adv_list_choices(struct adv *a, const struct sch_view *v,
				const struct adv_candidate *c);
static void adv_fill_query(struct adv *a, const struct sch_view *v,
			   const struct adv_candidate *c,
			   struct adv_query *out);
static bool adv_precedes(const struct adv_candidate *a,
			 const struct adv_candidate *b);
static bool adv_has_label(const struct adv_candidate *c,
			  const struct jtb_worker *w);
static uint32_t adv_worker_capacity(const struct adv_candidate *c,
				    const struct jtb_worker *w);
static uint32_t adv_count_fitting(uint32_t all, uint32_t used, uint32_t each);
static uint32_t adv_count_running(const struct adv_candidate *c,
				  const struct jtb_worker *w);
static int64_t adv_issued_ms(const struct adv_query *query, int64_t sent_ms,
			     int64_t now_ms);
static uint32_t adv_names_max(const struct jtb_queue *q);
static bool adv_turn_started(const struct jtb_job *job, uint32_t turn);
static int64_t adv_lead_time_ms(const struct jtb_queue *q);
static int64_t adv_renew_ms(const struct jtb_queue *q);
static int adv_cmp_choices(gconstpointer a, gconstpointer b);
static struct adv_step *adv_find_step(struct adv *a, const struct jtb_name *n);
static struct adv_step *adv_ensure_step(struct adv *a,
					const struct jtb_name *n);
static struct adv_verdict *adv_find_verdict(const struct adv_step *s,
					    const char *worker);
static void adv_set_verdict(struct adv_step *s, const char *worker,
			    const char *ticket, int64_t until_ms);
static double adv_approval_share(struct adv *a, const char *queue);
static void adv_update_share(struct adv *a, const struct adv_query *query,
			     uint32_t queried, uint32_t approved);
static void adv_prune(struct adv *a, int64_t now_ms);
static bool adv_step_over(const struct adv *a, const struct adv_step *s);
static void adv_step_key(const struct jtb_name *n, char *out);
static struct jtb_name adv_step_name(const struct jtb_job *job, uint32_t turn,
				     uint32_t step);
static void adv_step_free(gpointer p);
static void adv_verdict_free(gpointer p);

/* Returns an empty collection of tickets; t must outlive it. */
struct adv *adv_new(const struct jtb *t)
{
	struct adv *a = g_new0(struct adv, 1);

	a->jtb = t;
	a->usable_workers = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, adv_list_free);
	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 adv_step_free);
	a->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

/* Frees all tickets. */
void adv_free(struct adv *a)
{
	if (!a)
		return;
	g_hash_table_destroy(a->steps);
	g_hash_table_destroy(a->shares);
	g_hash_table_destroy(a->usable_workers);
	g_free(a);
}

/*
 * Drops all tickets when leadership changes. Tickets are not in the log, as
 * each can be obtained again at the cost of a call.
 */
void adv_clear(struct adv *a)
{
	a->cache_valid = false;
	g_hash_table_remove_all(a->steps);
}

/* Whether any queue needs advice; in most installations none does. */
bool adv_needed(struct adv *a)
{
	const struct jtb_config *c = jtb_config(a->jtb);
	guint i;

	if (a->config_version == c->version)
		return a->any_advised;
	a->config_version = c->version;
	a->any_advised = false;
	for (i = 0; i < c->queues->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(c->queues, i);

		a->any_advised = a->any_advised || q->advised;
	}
	return a->any_advised;
}

/*
 * Sets out to the next query, for the most urgent step that lacks tickets.
 * Returns false if no query is needed. Designed for bursts in which many more
 * steps wait for advice than the service can answer for.
 */
bool adv_next_query(struct adv *a, const struct sch_view *v,
		    struct adv_query *out)
{
	struct adv_candidate best = {0};
	GArray *jobs;
	guint i;

	adv_prune(a, v->now_ms);
	if (!adv_needed(a))
		return false;
	g_hash_table_remove_all(a->usable_workers);
	jobs = adv_list_jobs(a, v->wall_ms);
	g_array_sort(jobs, adv_cmp_urgency);
	for (i = 0; i < jobs->len && !adv_is_most_urgent(&best); i++) {
		const struct adv_candidate *c =
			&g_array_index(jobs, struct adv_candidate, i);

		/* steps of overdue jobs never precede the others */
		if (best.job && c->overdue && !best.overdue)
			break;
		adv_scan_job(a, v, c, &best);
	}
	g_array_free(jobs, TRUE);
	if (!best.job)
		return false;
	adv_fill_query(a, v, &best, out);
	return true;
}

/*
 * Stores an answer. A worker that was queried and is not in rows may never run
 * the step.
 */
void adv_accept_answer(struct adv *a, const struct adv_query *query,
		       const GPtrArray *rows, int64_t sent_ms, int64_t now_ms)
{
	struct adv_step *s = adv_ensure_step(a, &query->step);
	int64_t issued_ms = adv_issued_ms(query, sent_ms, now_ms);
	int64_t until_ms =
		query->valid_ms ? issued_ms + query->valid_ms : INT64_MAX;
	uint32_t queried = 0;
	uint32_t approved = 0;
	guint i;
	guint r;

	s->valid_ms = query->valid_ms;
	s->retry_at_ms = 0;
	s->skip_until_ms = 0;
	s->backoff_ms = 0;
	for (i = 0; i < query->workers->len; i++) {
		const char *id = g_ptr_array_index(query->workers, i);
		bool first = !adv_find_verdict(s, id);
		const char *ticket = NULL;

		for (r = 0; r < rows->len; r++) {
			const struct adv_row *row = g_ptr_array_index(rows, r);

			if (strcmp(row->worker, id) == 0)
				ticket = row->ticket;
		}
		queried += first;
		approved += first && ticket;
		adv_set_verdict(s, id, ticket, until_ms);
	}
	adv_update_share(a, query, queried, approved);
}

/*
 * The service rejected a query. The step is queried again at growing intervals,
 * so that other steps get their turn, and is never given up, as its job was
 * accepted.
 */
void adv_reject_query(struct adv *a, const struct adv_query *query,
		      int64_t now_ms)
{
	struct adv_step *s = adv_ensure_step(a, &query->step);

	s->backoff_ms = s->backoff_ms
				? MIN(2 * s->backoff_ms, ADV_BACKOFF_MAX_MS)
				: ADV_BACKOFF_MIN_MS;
	s->retry_at_ms = now_ms + s->backoff_ms;
}

/*
 * A worker refused a start because of its ticket, so another ticket is
 * requested. The delay doubles each time, since a worker that refuses every
 * ticket would otherwise be sent one start after another.
 */
void adv_drop_ticket(struct adv *a, const struct jtb_run *run, int64_t now_ms)
{
	struct jtb_name n = adv_step_name(run->job, run->turn, run->step);
	struct adv_step *s = adv_find_step(a, &n);
	struct adv_verdict *verdict =
		s ? adv_find_verdict(s, run->worker->info.id) : NULL;

	if (!verdict || verdict->kind != ADV_APPROVED)
		return;
	s->n_approved--;
	s->skip_until_ms = 0;
	verdict->kind = ADV_INVALIDATED;
	verdict->retry_at_ms =
		now_ms + MIN(ADV_BACKOFF_MIN_MS << MIN(verdict->refusals, 16),
			     ADV_BACKOFF_MAX_MS);
	verdict->refusals++;
}

/*
 * Forgets what was answered for a worker: tickets are valid for one lifetime,
 * and the next one under the same id may be allowed other steps.
 */
void adv_forget_worker(struct adv *a, const char *worker)
{
	GHashTableIter it;
	struct adv_step *s;

	g_hash_table_iter_init(&it, a->steps);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&s)) {
		const struct adv_verdict *verdict = adv_find_verdict(s, worker);

		if (!verdict)
			continue;
		s->n_approved -= verdict->kind == ADV_APPROVED;
		s->skip_until_ms = 0;
		g_hash_table_remove(s->verdicts, worker);
	}
}

/* Returns the ticket of a worker for a step; NULL: none is valid at now_ms. */
const char *adv_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		       uint32_t step, const struct jtb_worker *w,
		       int64_t now_ms)
{
	struct jtb_name n = adv_step_name(job, turn, step);
	const struct adv_step *s = adv_find_step(a, &n);
	const struct adv_verdict *verdict =
		s && s->n_approved ? adv_find_verdict(s, w->info.id) : NULL;

	return verdict && verdict->kind == ADV_APPROVED &&
			       verdict->until_ms > now_ms
		       ? verdict->ticket
		       : NULL;
}

/* Whether a task of a step may be placed on a worker now. */
bool adv_has_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		    uint32_t step, const struct jtb_worker *w, int64_t now_ms)
{
	struct jtb_name n = adv_step_name(job, turn, step);
	const struct adv_step *s = adv_find_step(a, &n);
	int64_t margin_ms = ADV_PLACE_MARGIN_MS;

	if (!s || !s->n_approved)
		return false;
	/* tickets valid for less than the margin are still used */
	if (s->valid_ms)
		margin_ms = MIN(margin_ms, s->valid_ms / 4);
	return adv_ticket(a, job, turn, step, w, now_ms + margin_ms) != NULL;
}

/*
 * Returns how many steps are due and have no ticket, so that they cannot start.
 */
uint32_t adv_waiting(struct adv *a, int64_t now_ms, int64_t wall_ms)
{
	GArray *jobs = adv_list_jobs(a, wall_ms);
	uint32_t n = 0;
	guint i;

	for (i = 0; i < jobs->len; i++) {
		struct adv_candidate c =
			g_array_index(jobs, struct adv_candidate, i);

		for (c.turn = 0; c.turn < c.job->n_turns; c.turn++)
			for (c.step = 0; c.step < c.job->spec.n_steps; c.step++)
				n += adv_step_waiting(a, &c, now_ms, wall_ms);
	}
	g_array_free(jobs, TRUE);
	return n;
}

/* Returns how many steps anything is stored about. */
uint32_t adv_step_count(const struct adv *a)
{
	return g_hash_table_size(a->steps);
}

/* Frees the contents of a query. */
void adv_query_clear(struct adv_query *query)
{
	if (query->workers)
		g_ptr_array_free(query->workers, TRUE);
	*query = (struct adv_query){0};
}

/* Frees a row of an answer. */
void adv_row_free(gpointer p)
{
	struct adv_row *row = p;

	g_free(row->worker);
	g_free(row->ticket);
	g_free(row);
}

/*
 * Returns the jobs that need advice, with the fields that all their steps
 * share.
 */
static GArray *adv_list_jobs(struct adv *a, int64_t wall_ms)
{
	GPtrArray *live = jtb_live(a->jtb);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct adv_candidate));
	guint i;

	for (i = 0; adv_needed(a) && i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);
		struct adv_candidate c = {.job = job};

		c.queue = jtb_queue(jtb_config(a->jtb), job->spec.queue);
		if (!c.queue || !c.queue->advised || jtb_job_ended(job))
			continue;
		c.urgency = sch_urgency(c.queue, job, wall_ms);
		c.overdue = !sch_is_long_running(job) && !job->spec.repeats &&
			    sch_chance(c.queue, job, wall_ms) != SCH_IN_TIME;
		g_array_append_val(out, c);
	}
	return out;
}

/* Whether a step is due, has tasks to start and has no ticket. */
static bool adv_step_waiting(struct adv *a, const struct adv_candidate *c,
			     int64_t now_ms, int64_t wall_ms)
{
	const struct jtb_step_state *part =
		jtb_step_state(c->job, c->turn, c->step);
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find_step(a, &n);
	GHashTableIter it;
	struct adv_verdict *verdict;

	if (c->job->turns[c->turn].done & (1ULL << c->step) ||
	    !jtb_step_due(c->job, c->turn, c->step, wall_ms) ||
	    (part && part->n_done + part->n_runs + part->n_proposed >=
			     c->job->spec.steps[c->step].count))
		return false;
	if (!s)
		return true;
	g_hash_table_iter_init(&it, s->verdicts);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&verdict))
		if (verdict->kind == ADV_APPROVED && verdict->until_ms > now_ms)
			return false;
	return true;
}

/* Whether no later step can precede this one. */
static bool adv_is_most_urgent(const struct adv_candidate *c)
{
	return c->job && c->due && c->blocked && c->has_capacity;
}

/*
 * Orders jobs: those that are not overdue first, then in the order in which a
 * plan starts them.
 */
static int adv_cmp_urgency(gconstpointer a, gconstpointer b)
{
	const struct adv_candidate *x = a;
	const struct adv_candidate *y = b;

	if (x->overdue != y->overdue)
		return x->overdue ? 1 : -1;
	return (x->urgency < y->urgency) - (x->urgency > y->urgency);
}

/* Returns the usable workers of a pool; computed once in each poll. */
static GPtrArray *adv_list_usable(struct adv *a, const struct sch_view *v,
				  const char *name)
{
	GPtrArray *pool = g_hash_table_lookup(a->usable_workers, name);
	GHashTableIter it;
	struct jtb_worker *w;

	if (pool)
		return pool;
	pool = g_ptr_array_new();
	g_hash_table_insert(a->usable_workers, g_strdup(name), pool);
	g_hash_table_iter_init(&it, jtb_workers(a->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, name) == 0 &&
		    !g_hash_table_contains(v->closed, w->info.id) &&
		    v->usable(v->arg, w))
			g_ptr_array_add(pool, w);
	return pool;
}

/* Frees the list of a pool's workers. */
static void adv_list_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

/*
 * Compares the steps of a job that are due, or will be soon, with the best step
 * so far.
 */
static void adv_scan_job(struct adv *a, const struct sch_view *v,
			 const struct adv_candidate *job_info,
			 struct adv_candidate *best)
{
	const struct jtb_job *job = job_info->job;
	int64_t lead_time_ms = adv_lead_time_ms(job_info->queue);
	int64_t start_in_ms[JTB_STEPS_MAX];
	uint64_t all = ~0ULL >> (JTB_STEPS_MAX - job->spec.n_steps);
	struct adv_candidate c = *job_info;
	bool started;

	for (c.turn = 0; c.turn < job->n_turns; c.turn++) {
		if (jtb_turn_due(job, c.turn) - v->wall_ms > lead_time_ms)
			break;
		/* in a job with many repeats nearly all turns are complete */
		if (job->turns[c.turn].done == all)
			continue;
		adv_estimate_starts(job, c.turn, v->wall_ms, start_in_ms);
		started = adv_turn_started(job, c.turn);
		for (c.step = 0; c.step < job->spec.n_steps; c.step++) {
			c.start_in_ms = start_in_ms[c.step];
			if (job->turns[c.turn].done & (1ULL << c.step) ||
			    c.start_in_ms > lead_time_ms)
				continue;
			c.due = jtb_step_due(job, c.turn, c.step, v->wall_ms);
			if (job->spec.steps[c.step].after && !c.due && !started)
				continue;
			if (adv_needs_query(a, v, &c) && adv_precedes(&c, best))
				*best = c;
		}
	}
}

/* Estimates in how many ms each step of a turn may start. */
static void adv_estimate_starts(const struct jtb_job *job, uint32_t turn,
				int64_t wall_ms, int64_t *out)
{
	uint64_t done = job->turns[turn].done;
	uint32_t s;
	uint32_t p;

	for (s = 0; s < job->spec.n_steps; s++) {
		out[s] = MAX(0, jtb_turn_due(job, turn) - wall_ms);
		for (p = 0; p < s; p++)
			if (job->spec.steps[s].after & ~done & (1ULL << p))
				out[s] = MAX(
					out[s],
					out[p] +
						job->spec.steps[p].estimate_ms);
	}
}

/*
 * Whether a step lacks tickets and has workers left to query. For a step that
 * is due, capacity that is in use does not count: if the workers with tickets
 * are full, those with free capacity are queried.
 */
static bool adv_needs_query(struct adv *a, const struct sch_view *v,
			    struct adv_candidate *c)
{
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	struct adv_step *s = adv_find_step(a, &n);
	bool gang = c->job->spec.steps[c->step].flags & JTB_GANG;
	uint32_t open = adv_open_tasks(c);
	uint64_t capacity;
	bool any;

	if (!open || (s && MAX(s->retry_at_ms, s->skip_until_ms) > v->now_ms))
		return false;
	any = adv_check_tickets(a, v, c, &capacity);
	c->blocked = gang ? capacity < open : !any;
	c->missing = open - (uint32_t)MIN(open, capacity);
	if (c->missing && adv_check_choices(a, v, c))
		return true;
	adv_ensure_step(a, &n)->skip_until_ms = v->now_ms + ADV_SKIP_MS;
	return false;
}

/*
 * Whether a step has valid tickets. Sets capacity to the number of tasks that
 * the workers whose tickets need no renewal have capacity for.
 */
static bool adv_check_tickets(struct adv *a, const struct sch_view *v,
			      const struct adv_candidate *c, uint64_t *capacity)
{
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find_step(a, &n);
	const GPtrArray *pool = adv_list_usable(a, v, c->queue->pool);
	int64_t renew_before_ms = v->now_ms + adv_renew_ms(c->queue);
	bool any = false;
	guint i;

	*capacity = 0;
	for (i = 0; s && s->n_approved && i < pool->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(pool, i);
		const struct adv_verdict *verdict =
			adv_find_verdict(s, w->info.id);

		if (!verdict || verdict->kind != ADV_APPROVED ||
		    verdict->until_ms <= v->now_ms || !adv_has_label(c, w))
			continue;
		any = true;
		*capacity += verdict->until_ms > renew_before_ms
				     ? adv_worker_capacity(c, w)
				     : 0;
	}
	return any;
}

/*
 * Whether any worker is left to query. Sets has_capacity if one of them has
 * free capacity.
 */
static bool adv_check_choices(struct adv *a, const struct sch_view *v,
			      struct adv_candidate *c)
{
	GArray *choices = adv_list_choices(a, v, c);
	bool any = choices->len > 0;
	guint i;

	c->has_capacity = false;
	for (i = 0; i < choices->len && !c->has_capacity; i++)
		c->has_capacity =
			g_array_index(choices, struct adv_choice, i).capacity;
	g_array_free(choices, TRUE);
	return any;
}

/*
 * Returns how many tasks of a step need a ticket. A long-running task may end
 * at any moment, and its next start cannot wait for a call.
 */
static uint32_t adv_open_tasks(const struct adv_candidate *c)
{
	const struct jtb_step_state *part =
		jtb_step_state(c->job, c->turn, c->step);
	const struct jtb_step *step = &c->job->spec.steps[c->step];
	uint32_t open = step->count;

	if (part)
		open -= MIN(open,
			    part->n_done + part->n_runs + part->n_proposed);
	return step->flags & JTB_LONG_RUNNING ? MAX(open, 1) : open;
}

/*
 * Returns the workers to query for a step: those nothing is known of, and those
 * whose ticket expires soon or was refused. While the step can start tasks with
 * the tickets it has, only workers with free capacity are listed: others would
 * lengthen the call without an immediate use.
 */
static GArray *adv_list_choices(struct adv *a, const struct sch_view *v,
				const struct adv_candidate *c)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct adv_choice));
	struct jtb_name n = adv_step_name(c->job, c->turn, c->step);
	const struct adv_step *s = adv_find_step(a, &n);
	const GPtrArray *pool = adv_list_usable(a, v, c->queue->pool);
	int64_t renew_before_ms = v->now_ms + adv_renew_ms(c->queue);
	guint i;

	for (i = 0; i < pool->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(pool, i);
		const struct adv_verdict *verdict =
			s ? adv_find_verdict(s, w->info.id) : NULL;
		struct adv_choice choice = {.w = w,
					    .approved_before = verdict != NULL};

		if (!adv_has_label(c, w) ||
		    (verdict && (verdict->kind == ADV_DENIED ||
				 (verdict->kind == ADV_APPROVED &&
				  verdict->until_ms > renew_before_ms) ||
				 verdict->retry_at_ms > v->now_ms)))
			continue;
		choice.capacity = adv_worker_capacity(c, w);
		if (choice.capacity || c->blocked)
			g_array_append_val(out, choice);
	}
	return out;
}

/*
 * Fills in a query: the workers with the most capacity, as many as are needed.
 */
static void adv_fill_query(struct adv *a, const struct sch_view *v,
			   const struct adv_candidate *c, struct adv_query *out)
{
	GArray *choices = adv_list_choices(a, v, c);
	double share = adv_approval_share(a, c->job->spec.queue);
	uint32_t max_names = adv_names_max(c->queue);
	double expected = 0;
	double spare = 0;
	guint i;

	g_array_sort(choices, adv_cmp_choices);
	*out = (struct adv_query){
		.step = adv_step_name(c->job, c->turn, c->step),
		.workers = g_ptr_array_new_with_free_func(g_free),
		.valid_ms = c->queue->advice_valid_ms,
	};
	for (i = 0; i < choices->len && i < max_names; i++) {
		const struct adv_choice *w =
			&g_array_index(choices, struct adv_choice, i);

		if (expected >= c->missing)
			spare += w->approved_before ? 1 : share;
		else
			expected += MAX(w->capacity, 1) *
				    (w->approved_before ? 1 : share);
		g_ptr_array_add(out->workers, g_strdup(w->w->info.id));
		if (spare >= ADV_SPARE_APPROVALS)
			break;
	}
	g_array_free(choices, TRUE);
	out->takes_ms = c->queue->advice_ms +
			(int64_t)c->queue->advice_each_ms * out->workers->len;
}

/*
 * Whether step a is queried before step b; jobs are compared in their order.
 * Steps that are due come first, since other steps will be blocked only later;
 * then blocked steps, since the others could only run faster; then steps with
 * free capacity, as the tickets of others may expire before there is capacity.
 */
static bool adv_precedes(const struct adv_candidate *a,
			 const struct adv_candidate *b)
{
	if (!b->job)
		return true;
	if (a->blocked != b->blocked && (a->due || b->due))
		return a->blocked ? a->due : !b->due;
	if (a->due != b->due)
		return a->due;
	if (a->blocked != b->blocked)
		return a->blocked;
	if (a->has_capacity != b->has_capacity)
		return a->has_capacity;
	if (a->urgency != b->urgency)
		return a->urgency > b->urgency;
	return a->start_in_ms < b->start_in_ms;
}

/* Whether a worker has the label that a step needs. */
static bool adv_has_label(const struct adv_candidate *c,
			  const struct jtb_worker *w)
{
	const char *label = c->job->spec.steps[c->step].label;

	return !label ||
	       g_strv_contains((const char *const *)w->info.labels, label);
}

/*
 * Returns how many tasks of a step a worker has capacity for: now, or later if
 * the step is not due.
 */
static uint32_t adv_worker_capacity(const struct adv_candidate *c,
				    const struct jtb_worker *w)
{
	const struct jtb_step *s = &c->job->spec.steps[c->step];
	uint32_t now = c->due;
	uint32_t cpu = s->flags & JTB_BEST_EFFORT ? 0 : s->cpu;
	uint32_t capacity = s->count;

	capacity = MIN(capacity,
		       adv_count_fitting(w->info.cpu,
					 now * (w->used_cpu + w->proposed_cpu),
					 cpu));
	capacity = MIN(capacity,
		       adv_count_fitting(w->info.mem_mb,
					 now * (w->used_mem + w->proposed_mem),
					 s->mem_mb));
	capacity =
		MIN(capacity,
		    adv_count_fitting(w->info.gpus,
				      now * (w->used_gpus + w->proposed_gpus),
				      s->gpus));
	if (s->max_per_worker)
		capacity = MIN(capacity, s->max_per_worker -
						 MIN(s->max_per_worker,
						     adv_count_running(c, w)));
	return capacity;
}

/* Returns how often each fits into the unused rest of all. */
static uint32_t adv_count_fitting(uint32_t all, uint32_t used, uint32_t each)
{
	if (!each)
		return UINT32_MAX;
	return used < all ? (all - used) / each : 0;
}

/* Returns how many tasks of a step run on a worker. */
static uint32_t adv_count_running(const struct adv_candidate *c,
				  const struct jtb_worker *w)
{
	uint32_t n = 0;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		n += run->job == c->job && run->turn == c->turn &&
		     run->step == c->step;
	}
	return n;
}

/*
 * Estimates when the tickets of an answer were issued, which the answer does
 * not say. The estimate is the time of the call, or, if the call had to wait,
 * the time of the answer less the expected duration of the call. That deduction
 * is limited to a quarter of the tickets' validity: otherwise short tickets
 * would have expired on arrival and the step would be queried in vain for ever.
 * A ticket that has expired nevertheless is refused by its worker and dropped.
 */
static int64_t adv_issued_ms(const struct adv_query *query, int64_t sent_ms,
			     int64_t now_ms)
{
	return MAX(sent_ms, now_ms - MIN(query->takes_ms, query->valid_ms / 4));
}

/*
 * Returns how many workers a query may list. With too many, the tickets would
 * have used up half of their validity when the answer arrives; ADV_NAMES_MIN
 * are always allowed.
 */
static uint32_t adv_names_max(const struct jtb_queue *q)
{
	int64_t max_names = ADV_NAMES_MAX;

	if (q->advice_valid_ms && q->advice_each_ms)
		max_names = ((int64_t)q->advice_valid_ms / 2 - q->advice_ms) /
			    q->advice_each_ms;
	return (uint32_t)CLAMP(max_names, ADV_NAMES_MIN, ADV_NAMES_MAX);
}

/*
 * Whether any task of a turn is running or done. Steps that follow other steps
 * are queried only from then on: while the first step waits for capacity, their
 * tickets would expire unused and be renewed again and again.
 */
static bool adv_turn_started(const struct jtb_job *job, uint32_t turn)
{
	const struct jtb_step_state *parts = job->turns[turn].steps;
	uint32_t s;

	for (s = 0; parts && s < job->spec.n_steps; s++)
		if (parts[s].n_runs + parts[s].n_done)
			return true;
	return false;
}

/*
 * Returns how long before its turn a step is queried; its tickets must remain
 * valid for longer.
 */
static int64_t adv_lead_time_ms(const struct jtb_queue *q)
{
	if (!q->advice_valid_ms)
		return ADV_LEAD_TIME_MS;
	return MIN(ADV_LEAD_TIME_MS, q->advice_valid_ms / 2);
}

/* Returns how long before it expires a ticket is renewed. */
static int64_t adv_renew_ms(const struct jtb_queue *q)
{
	int64_t call_ms =
		q->advice_ms + (int64_t)q->advice_each_ms * ADV_TYPICAL_NAMES;

	return MIN(q->advice_valid_ms / 2, 2 * call_ms + ADV_RENEW_MARGIN_MS);
}

/*
 * Orders workers: those with capacity first, then those approved before, then
 * by capacity.
 */
static int adv_cmp_choices(gconstpointer a, gconstpointer b)
{
	const struct adv_choice *x = a;
	const struct adv_choice *y = b;

	if (!x->capacity != !y->capacity)
		return x->capacity ? -1 : 1;
	if (x->approved_before != y->approved_before)
		return x->approved_before ? -1 : 1;
	if (x->capacity != y->capacity)
		return x->capacity > y->capacity ? -1 : 1;
	return strcmp(x->w->info.id, y->w->info.id);
}

/*
 * Returns what is known of a step, or NULL. The last lookup is cached, since a
 * plan asks for each worker of a pool in turn.
 */
static struct adv_step *adv_find_step(struct adv *a, const struct jtb_name *n)
{
	char key[ADV_KEY_MAX];

	if (a->cache_valid && jtb_name_equal(&a->cached_name, n))
		return a->cached_step;
	adv_step_key(n, key);
	a->cached_step = g_hash_table_lookup(a->steps, key);
	a->cached_name = *n;
	a->cache_valid = true;
	return a->cached_step;
}

/* Returns the entry of a step, which is created if there is none. */
static struct adv_step *adv_ensure_step(struct adv *a, const struct jtb_name *n)
{
	struct adv_step *s = adv_find_step(a, n);
	char key[ADV_KEY_MAX];

	if (s)
		return s;
	s = g_new0(struct adv_step, 1);
	s->name = *n;
	s->verdicts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    adv_verdict_free);
	adv_step_key(n, key);
	g_hash_table_insert(a->steps, g_strdup(key), s);
	a->cache_valid = false;
	return s;
}

/* Returns what is known of a worker for a step, or NULL. */
static struct adv_verdict *adv_find_verdict(const struct adv_step *s,
					    const char *worker)
{
	return g_hash_table_lookup(s->verdicts, worker);
}

/*
 * Stores the answer for a worker; ticket NULL: the worker may not run the step.
 */
static void adv_set_verdict(struct adv_step *s, const char *worker,
			    const char *ticket, int64_t until_ms)
{
	struct adv_verdict *verdict = adv_find_verdict(s, worker);

	if (!verdict) {
		verdict = g_new0(struct adv_verdict, 1);
		g_hash_table_insert(s->verdicts, g_strdup(worker), verdict);
	}
	s->n_approved -= verdict->kind == ADV_APPROVED;
	s->n_approved += ticket != NULL;
	g_free(verdict->ticket);
	verdict->ticket = g_strdup(ticket);
	verdict->kind = ticket ? ADV_APPROVED : ADV_DENIED;
	verdict->until_ms = until_ms;
	verdict->retry_at_ms = 0;
}

/* Returns the share of workers approved in a queue; half if not known. */
static double adv_approval_share(struct adv *a, const char *queue)
{
	const struct adv_share *s = g_hash_table_lookup(a->shares, queue);

	if (!s)
		return 0.5;
	return MAX((s->approved + 1) / (s->queried + 2), ADV_SHARE_MIN);
}

/*
 * Updates the share of approved workers; the newest answers have the most
 * weight.
 */
static void adv_update_share(struct adv *a, const struct adv_query *query,
			     uint32_t queried, uint32_t approved)
{
	const struct jtb_job *job = jtb_job(a->jtb, query->step.id);
	struct adv_share *s;

	if (!job || !queried)
		return;
	s = g_hash_table_lookup(a->shares, job->spec.queue);
	if (!s) {
		s = g_new0(struct adv_share, 1);
		g_hash_table_insert(a->shares, g_strdup(job->spec.queue), s);
	}
	s->queried += queried;
	s->approved += approved;
	if (s->queried > ADV_SHARE_WINDOW) {
		s->queried /= 2;
		s->approved /= 2;
	}
}

/* Removes steps and workers that are over. */
static void adv_prune(struct adv *a, int64_t now_ms)
{
	GHashTableIter steps;
	GHashTableIter verdicts;
	struct adv_step *s;
	struct adv_verdict *verdict;
	char *id;

	if (now_ms - a->pruned_ms < ADV_PRUNE_INTERVAL_MS)
		return;
	a->pruned_ms = now_ms;
	a->cache_valid = false;
	g_hash_table_iter_init(&steps, a->steps);
	while (g_hash_table_iter_next(&steps, NULL, (gpointer *)&s)) {
		if (adv_step_over(a, s)) {
			g_hash_table_iter_remove(&steps);
			continue;
		}
		g_hash_table_iter_init(&verdicts, s->verdicts);
		while (g_hash_table_iter_next(&verdicts, (gpointer *)&id,
					      (gpointer *)&verdict)) {
			if (jtb_worker(a->jtb, id))
				continue;
			s->n_approved -= verdict->kind == ADV_APPROVED;
			g_hash_table_iter_remove(&verdicts);
		}
	}
}

/* Whether no task of a step will be started any more. */
static bool adv_step_over(const struct adv *a, const struct adv_step *s)
{
	const struct jtb_job *job = jtb_job(a->jtb, s->name.id);

	return !job || jtb_job_ended(job) || s->name.turn >= job->n_turns ||
	       job->turns[s->name.turn].done & (1ULL << s->name.step);
}

/* Writes the key of a step to out, of ADV_KEY_MAX bytes. */
static void adv_step_key(const struct jtb_name *n, char *out)
{
	g_snprintf(out, ADV_KEY_MAX, "%s.%u.%u", n->id, n->turn, n->step);
}

/* Returns the name of a step. */
static struct jtb_name adv_step_name(const struct jtb_job *job, uint32_t turn,
				     uint32_t step)
{
	struct jtb_name n = {.turn = turn, .step = step};

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	return n;
}

/* Frees the entry of a step. */
static void adv_step_free(gpointer p)
{
	struct adv_step *s = p;

	g_hash_table_destroy(s->verdicts);
	g_free(s);
}

/* Frees what is known of a worker. */
static void adv_verdict_free(gpointer p)
{
	struct adv_verdict *verdict = p;

	g_free(verdict->ticket);
	g_free(verdict);
}
