#include "job_int.h"

/* Jobs of a queue that are tried for one that fits on a worker. */
#define JOB_LOOK_AHEAD 16
/* Urgent jobs of each team for which others are preempted in one step. */
#define JOB_URGENT_MAX 64
/* Turns of the oldest job without free capacity before others wait for it. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

static bool job_worker_accepts(const struct job_worker *w);
static bool job_fits_when_empty(const struct jobs *j, const struct job_pool *p,
				const struct job *b);
static struct job *job_find_oldest(const struct jobs *j,
				   const struct job_pool *p);
static struct job *job_find_best(struct jobs *j, struct job_pool *p,
				 int *worker, struct job **urgent);
static struct job *job_find_first(const struct jobs *j,
				  const struct job_pool *p, const GQueue *q,
				  int *worker);
static bool job_any_stopping(const struct jobs *j, const struct job_pool *p);
static bool job_in_quota(const struct jobs *j, const struct job *b);
static int job_priority(const struct jobs *j, const struct job *b);
static int job_find_worker(const struct jobs *j, const struct job_pool *p,
			   const struct job *b);
static bool job_may_preempt(const struct jobs *j, const struct job *b);
static void job_preempt_for_urgent(struct jobs *j, struct job_pool *p,
				   struct job_out *out);
static GPtrArray *job_list_urgent(struct jobs *j, const struct job_pool *p);
static gint job_compare_priority(gconstpointer a, gconstpointer b,
				 gpointer jobs);
static struct job_size job_free_after_stops(const struct job_worker *w);
static int job_preempt_for(struct jobs *j, struct job_pool *p, struct job *b,
			   struct job_size *available, struct job_out *out);
static int job_count_stops(const struct jobs *j, const struct job_worker *w,
			   const struct job_size *size,
			   struct job_size available);
static void job_place(struct jobs *j, struct job *b, int worker,
		      struct job_out *out);

/*
 * Handles workers whose lease expired. Such a worker may be partitioned and
 * still run its jobs until its own clock reaches the end of the lease. An
 * idempotent job may run twice and is queued again at once; any other job waits
 * until the lease and the maximum clock difference have passed.
 */
void job_expire_leases(struct jobs *j, int64_t now_ms, struct job_out *out)
{
	struct job_worker *w;
	struct job *b;
	GList *next;
	GList *l;
	guint i;

	for (i = 0; i < j->workers->len; i++) {
		w = job_worker(j, (int)i);
		if (!w->lease_valid || w->lease_ms >= now_ms)
			continue;
		w->lease_valid = false;
		while ((b = g_queue_pop_head(&w->jobs))) {
			b->lost_until_ms = w->lease_ms + j->config.margin_ms;
			g_queue_push_tail(&j->lost, b);
			b->link = j->lost.tail;
			job_apply_event(j, b, JOB_LOSE, out);
			if (b->spec.idempotent && b->state == JOB_LOST)
				job_apply_event(j, b, JOB_ENDED, out);
		}
	}
	for (l = j->lost.head; l; l = next) {
		next = l->next;
		b = l->data;
		if (b->lost_until_ms < now_ms)
			job_apply_event(j, b, JOB_ENDED, out);
	}
}

/*
 * Places the waiting jobs of a pool and returns the budget that is left. After
 * every oldest_every placements the job that has waited longest goes first,
 * whatever its priority: urgent jobs may arrive for days, and archive jobs must
 * still finish. If that job is large and small jobs keep using the free
 * capacity, they wait for it after JOB_HOLD_TURNS of its turns, until it fits;
 * urgent jobs never wait for it.
 */
int job_place_waiting(struct jobs *j, struct job_pool *p, int budget,
		      struct job_out *out)
{
	struct job *urgent = NULL;
	struct job *b;
	int worker;
	bool hold;

	for (; budget > 0; budget--) {
		hold = false;
		worker = -1;
		b = p->placed_since_oldest >= j->config.oldest_every &&
				    !p->preempted_for
			    ? job_find_oldest(j, p)
			    : NULL;
		if (b)
			worker = job_find_worker(j, p, b);
		if (b && worker < 0)
			hold = p->placed_since_oldest >=
				       j->config.oldest_every *
					       JOB_HOLD_TURNS &&
			       job_fits_when_empty(j, p, b);
		if (worker >= 0)
			p->placed_since_oldest = 0;
		else
			b = job_find_best(j, p, &worker, &urgent);
		if (worker < 0 || (hold && b->spec.cls != JOB_URGENT)) {
			p->dirty = false;
			break;
		}
		p->placed_since_oldest++;
		/*
		 * While this is above 0 the oldest job has no turn: it would
		 * take the capacity that was freed for an urgent job.
		 */
		p->preempted_for = b->spec.cls == JOB_URGENT
					   ? MAX(0, p->preempted_for - 1)
					   : 0;
		job_place(j, b, worker, out);
	}
	if (!p->dirty && urgent)
		job_preempt_for_urgent(j, p, out);
	return budget;
}

/* Whether a worker may get new jobs. */
static bool job_worker_accepts(const struct job_worker *w)
{
	return w->lease_valid && !w->drained && !w->suspect;
}

/*
 * Whether a job fits on a worker that may get new jobs, once that is empty. If
 * not, as when its only large worker is drained or down, other jobs don't wait
 * for it: that would stall the whole pool without helping the job.
 */
static bool job_fits_when_empty(const struct jobs *j, const struct job_pool *p,
				const struct job *b)
{
	const struct job_worker *w;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		w = job_worker(j, g_array_index(p->workers, int, i));
		if (job_worker_accepts(w) &&
		    job_fits(&b->spec.size, &w->capacity))
			return true;
	}
	return false;
}

/* Returns the waiting job accepted first, within its team's quota, or NULL. */
static struct job *job_find_oldest(const struct jobs *j,
				   const struct job_pool *p)
{
	struct job *oldest = NULL;
	guint i;

	for (i = 0; i < p->queues->len; i++) {
		GQueue *q = p->queues->pdata[i];
		struct job *b = q ? g_queue_peek_head(q) : NULL;

		if (b && job_in_quota(j, b) &&
		    (!oldest || b->seq < oldest->seq))
			oldest = b;
	}
	return oldest;
}

/*
 * Returns the job of highest priority that fits on a worker, among the first
 * jobs of each team and class, and that worker. urgent is set to the urgent job
 * of highest priority that fits nowhere, or NULL. While jobs are stopping for
 * it, worker is -1 for jobs of lower priority, which would otherwise take the
 * capacity that the stops free.
 */
static struct job *job_find_best(struct jobs *j, struct job_pool *p,
				 int *worker, struct job **urgent)
{
	struct job *best = NULL;
	struct job *b;
	int rank;
	int at;
	guint i;

	*urgent = NULL;
	for (i = 0; i < p->queues->len; i++) {
		GQueue *q = p->queues->pdata[i];
		struct job *head = q ? g_queue_peek_head(q) : NULL;

		if (!head)
			continue;
		rank = job_priority(j, head);
		if (best && rank < job_priority(j, best))
			continue;
		b = job_find_first(j, p, q, &at);
		if (!b && head->spec.cls == JOB_URGENT &&
		    job_in_quota(j, head) &&
		    (!*urgent || rank > job_priority(j, *urgent)))
			*urgent = head;
		if (!b || (best && rank == job_priority(j, best) &&
			   b->seq > best->seq))
			continue;
		best = b;
		*worker = at;
	}
	if (*urgent && best &&
	    job_priority(j, *urgent) > job_priority(j, best) &&
	    job_any_stopping(j, p))
		*worker = -1;
	return best;
}

/*
 * Returns the first job of a queue that fits on a worker, or NULL. Behind a job
 * that doesn't fit a few more are tried, else a large job would block its team
 * while its worker is drained. Jobs at least as large are skipped, so that the
 * usual case needs a single search for a worker.
 */
static struct job *job_find_first(const struct jobs *j,
				  const struct job_pool *p, const GQueue *q,
				  int *worker)
{
	const struct job *tried = NULL;
	struct job *b;
	GList *l;
	int n = 0;

	for (l = q->head; l && n < JOB_LOOK_AHEAD; l = l->next, n++) {
		b = l->data;
		if (!job_in_quota(j, b) ||
		    (tried && job_fits(&tried->spec.size, &b->spec.size)))
			continue;
		*worker = job_find_worker(j, p, b);
		if (*worker >= 0)
			return b;
		if (b->failed_on.n == 0)
			tried = b;
	}
	return NULL;
}

/* Whether any job of a pool is being preempted. */
static bool job_any_stopping(const struct jobs *j, const struct job_pool *p)
{
	GList *l;
	guint i;

	for (i = 0; i < p->workers->len; i++)
		for (l = job_worker(j, g_array_index(p->workers, int, i))
				 ->jobs.head;
		     l; l = l->next)
			if (((struct job *)l->data)->state == JOB_STOPPING)
				return true;
	return false;
}

/* Whether a job fits into the unused part of its team's quota. */
static bool job_in_quota(const struct jobs *j, const struct job *b)
{
	const struct job_team *team = job_team(j, b->spec.team);
	struct job_size available = team->quota;

	job_add_size(&available, &team->used, -1);
	return job_fits(&b->spec.size, &available);
}

/* Returns the priority of a job, by its team and class. */
static int job_priority(const struct jobs *j, const struct job *b)
{
	return job_team(j, b->spec.team)->priority[b->spec.cls];
}

/*
 * Returns the worker with the least free cpu that a job fits on, or -1. Workers
 * it failed on are excluded, unless it failed on all workers of the pool: a
 * second failure there wouldn't show whether the job or the worker is at fault.
 */
static int job_find_worker(const struct jobs *j, const struct job_pool *p,
			   const struct job *b)
{
	struct job_size available;
	int64_t least = INT64_MAX;
	int best = -1;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		int at = g_array_index(p->workers, int, i);
		const struct job_worker *w = job_worker(j, at);

		if (!job_worker_accepts(w) ||
		    (job_failures_contain(&b->failed_on, (uint64_t)at) &&
		     b->failed_on.n < (int)p->workers->len))
			continue;
		available = w->capacity;
		job_add_size(&available, &w->used, -1);
		if (!job_fits(&b->spec.size, &available) ||
		    available.cpu_milli >= least)
			continue;
		least = available.cpu_milli;
		best = at;
	}
	return best;
}

/*
 * Whether a job may be preempted. A job is preempted stops_max times at most:
 * else a steady trickle of urgent jobs would restart it again and again, and it
 * would never finish. A job that is neither idempotent nor able to resume is
 * never preempted.
 */
static bool job_may_preempt(const struct jobs *j, const struct job *b)
{
	return b->spec.cls == JOB_ARCHIVE && b->state == JOB_RUNNING &&
	       b->stops < j->config.stops_max &&
	       (b->spec.idempotent || b->spec.checkpoints);
}

/*
 * Preempts archive jobs for all urgent jobs that fit nowhere, in one step: one
 * by one, the tenth of a burst would wait for ten rounds of stop and reply.
 * Capacity that earlier stops are about to free is used first.
 */
static void job_preempt_for_urgent(struct jobs *j, struct job_pool *p,
				   struct job_out *out)
{
	struct job_size *available = g_new0(struct job_size, p->workers->len);
	GPtrArray *urgent = job_list_urgent(j, p);
	int count = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++)
		available[i] = job_free_after_stops(
			job_worker(j, g_array_index(p->workers, int, i)));
	for (i = 0; i < urgent->len; i++)
		count +=
			job_preempt_for(j, p, urgent->pdata[i], available, out);
	p->preempted_for = MAX(p->preempted_for, count);
	g_ptr_array_free(urgent, TRUE);
	g_free(available);
}

/*
 * Returns the first waiting urgent jobs of each team, by descending priority;
 * freed with g_ptr_array_free.
 */
static GPtrArray *job_list_urgent(struct jobs *j, const struct job_pool *p)
{
	GPtrArray *urgent = g_ptr_array_new();
	GList *l;
	guint i;
	int n;

	for (i = JOB_URGENT; i < p->queues->len; i += JOB_CLASSES) {
		GQueue *q = p->queues->pdata[i];

		l = q ? q->head : NULL;
		for (n = 0; l && n < JOB_URGENT_MAX; n++, l = l->next)
			if (job_in_quota(j, l->data))
				g_ptr_array_add(urgent, l->data);
	}
	g_ptr_array_sort_with_data(urgent, job_compare_priority, j);
	return urgent;
}

/* Compares jobs by descending priority, then by order of acceptance. */
static gint job_compare_priority(gconstpointer a, gconstpointer b,
				 gpointer jobs)
{
	const struct job *ja = *(struct job *const *)a;
	const struct job *jb = *(struct job *const *)b;
	int more = job_priority(jobs, jb) - job_priority(jobs, ja);

	return more ? more : (ja->seq < jb->seq ? -1 : 1);
}

/* Returns the free capacity of a worker once all its stopping jobs stopped. */
static struct job_size job_free_after_stops(const struct job_worker *w)
{
	struct job_size available = w->capacity;
	GList *l;

	if (!job_worker_accepts(w))
		return (struct job_size){0};
	job_add_size(&available, &w->used, -1);
	for (l = w->jobs.head; l; l = l->next)
		if (((struct job *)l->data)->state == JOB_STOPPING)
			job_add_size(&available, &((struct job *)l->data)->used,
				     1);
	return available;
}

/*
 * Preempts jobs for one urgent job, on the worker where the fewest have to
 * stop. Returns 1 if the urgent job will fit, 0 if it can't.
 */
static int job_preempt_for(struct jobs *j, struct job_pool *p, struct job *b,
			   struct job_size *available, struct job_out *out)
{
	int fewest = INT_MAX;
	struct job_worker *w;
	int stops;
	int best = -1;
	guint i;
	GList *l;

	for (i = 0; i < p->workers->len; i++) {
		w = job_worker(j, g_array_index(p->workers, int, i));
		stops = job_count_stops(j, w, &b->spec.size, available[i]);
		if (stops < 0 || stops >= fewest)
			continue;
		fewest = stops;
		best = (int)i;
	}
	if (best < 0)
		return 0;
	w = job_worker(j, g_array_index(p->workers, int, best));
	for (l = w->jobs.head; l && fewest > 0; l = l->next) {
		struct job *a = l->data;

		if (!job_may_preempt(j, a))
			continue;
		a->stops++;
		fewest--;
		job_add_size(&available[best], &a->used, 1);
		job_apply_event(j, a, JOB_PREEMPT, out);
	}
	job_add_size(&available[best], &b->spec.size, -1);
	return 1;
}

/*
 * Counts the jobs of a worker that have to stop to free capacity for a size;
 * returns -1 if stopping all that may be preempted isn't enough.
 */
static int job_count_stops(const struct jobs *j, const struct job_worker *w,
			   const struct job_size *size,
			   struct job_size available)
{
	int stops = 0;
	GList *l;

	if (!job_worker_accepts(w))
		return -1;
	for (l = w->jobs.head; l && !job_fits(size, &available); l = l->next) {
		if (!job_may_preempt(j, l->data))
			continue;
		job_add_size(&available, &((struct job *)l->data)->used, 1);
		stops++;
	}
	return job_fits(size, &available) ? stops : -1;
}

/* Starts a new attempt of a job on a worker. */
static void job_place(struct jobs *j, struct job *b, int worker,
		      struct job_out *out)
{
	struct job_worker *w = job_worker(j, worker);

	b->worker = worker;
	b->attempt++;
	b->used = b->spec.size;
	job_add_size(&w->used, &b->used, 1);
	job_add_size(&job_team(j, b->spec.team)->used, &b->used, 1);
	b->placement = ++j->placements;
	job_apply_event(j, b, JOB_PLACE, out);
	g_queue_push_tail(&w->jobs, b);
	b->link = w->jobs.tail;
}
