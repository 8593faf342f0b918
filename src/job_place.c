#include "job_int.h"

/* Jobs of a queue that are looked at for one that has room. */
#define JOB_LOOK_AHEAD 16
/* Urgent jobs of each team for which room is made in one step. */
#define JOB_URGENT_MAX 64
/* Turns of the oldest job, without room for it, before others are held. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

static bool job_usable(const struct job_worker *w);
static bool job_fits_when_empty(const struct jobs *j, const struct job_pool *p,
				const struct job *b);
static struct job *job_oldest(const struct jobs *j, const struct job_pool *p);
static struct job *job_best(struct jobs *j, struct job_pool *p, int *worker,
			    struct job **urgent);
static struct job *job_first(const struct jobs *j, const struct job_pool *p,
			     const GQueue *q, int *worker);
static bool job_stopping(const struct jobs *j, const struct job_pool *p);
static bool job_in_quota(const struct jobs *j, const struct job *b);
static int job_priority(const struct jobs *j, const struct job *b);
static int job_room(const struct jobs *j, const struct job_pool *p,
		    const struct job *b);
static bool job_may_stop(const struct jobs *j, const struct job *b);
static void job_make_room(struct jobs *j, struct job_pool *p,
			  struct job_out *out);
static GPtrArray *job_urgent(struct jobs *j, const struct job_pool *p);
static gint job_by_rank(gconstpointer a, gconstpointer b, gpointer jobs);
static struct job_size job_soon_left(const struct job_worker *w);
static int job_make_room_for(struct jobs *j, struct job_pool *p, struct job *b,
			     struct job_size *left, struct job_out *out);
static int job_stops(const struct jobs *j, const struct job_worker *w,
		     const struct job_size *size, struct job_size left);
static void job_place(struct jobs *j, struct job *b, int worker,
		      struct job_out *out);

/*
 * A worker whose lease has run out may still be running its tasks on the far
 * side of a cut, until its own clock says the same. An idempotent job may run
 * a second time and starts elsewhere at once; any other waits until the lease
 * and the largest difference of clocks are over.
 */
void job_expire(struct jobs *j, int64_t now_ms, struct job_out *out)
{
	struct job_worker *w;
	struct job *b;
	GList *next;
	GList *l;
	guint i;

	for (i = 0; i < j->workers->len; i++) {
		w = job_worker(j, (int)i);
		if (!w->up || w->lease_ms >= now_ms)
			continue;
		w->up = false;
		while ((b = g_queue_pop_head(&w->jobs))) {
			b->ends_ms = w->lease_ms + j->config.margin_ms;
			g_queue_push_tail(&j->lost, b);
			b->link = j->lost.tail;
			job_event(j, b, JOB_LOSE, out);
			if (b->spec.idempotent && b->state == JOB_LOST)
				job_event(j, b, JOB_ENDED, out);
		}
	}
	for (l = j->lost.head; l; l = next) {
		next = l->next;
		b = l->data;
		if (b->ends_ms < now_ms)
			job_event(j, b, JOB_ENDED, out);
	}
}

/*
 * Places what waits in a pool. After every oldest_every placements comes the
 * turn of the job that has waited longest, whatever its rank: urgent work may
 * come in for days, and archive work must still finish. If that job is large
 * and small ones keep taking the room, they are held after JOB_HOLD_TURNS of
 * its turns, until it fits; urgent work is not.
 */
int job_fill(struct jobs *j, struct job_pool *p, int budget,
	     struct job_out *out)
{
	struct job *urgent = NULL;
	struct job *b;
	int worker;
	bool hold;

	for (; budget > 0; budget--) {
		hold = false;
		worker = -1;
		b = p->placed >= j->config.oldest_every && !p->owed
			    ? job_oldest(j, p)
			    : NULL;
		if (b)
			worker = job_room(j, p, b);
		if (b && worker < 0)
			hold = p->placed >= j->config.oldest_every *
						    JOB_HOLD_TURNS &&
			       job_fits_when_empty(j, p, b);
		if (worker >= 0)
			p->placed = 0;
		else
			b = job_best(j, p, &worker, &urgent);
		if (worker < 0 || (hold && b->spec.cls != JOB_URGENT)) {
			p->dirty = false;
			break;
		}
		p->placed++;
		/* Else the oldest would take what was stopped for another. */
		p->owed = b->spec.cls == JOB_URGENT ? MAX(0, p->owed - 1) : 0;
		job_place(j, b, worker, out);
	}
	if (!p->dirty && urgent)
		job_make_room(j, p, out);
	return budget;
}

/* Whether a worker gets new work at all. */
static bool job_usable(const struct job_worker *w)
{
	return w->up && !w->drained && !w->suspect;
}

/*
 * Whether holding others can help a job: with its only large worker drained
 * or down the whole pool would stand still for nothing.
 */
static bool job_fits_when_empty(const struct jobs *j, const struct job_pool *p,
				const struct job *b)
{
	const struct job_worker *w;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		w = job_worker(j, g_array_index(p->workers, int, i));
		if (job_usable(w) && job_fits(&b->spec.size, &w->capacity))
			return true;
	}
	return false;
}

static struct job *job_oldest(const struct jobs *j, const struct job_pool *p)
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
 * The job of highest rank that has room, among the first of each team and
 * class. While stops for an urgent one are under way, what ranks below it
 * takes none of the room that they free.
 */
static struct job *job_best(struct jobs *j, struct job_pool *p, int *worker,
			    struct job **urgent)
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
		b = job_first(j, p, q, &at);
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
	    job_stopping(j, p))
		*worker = -1;
	return best;
}

/*
 * The first job of a queue that has room. A few behind one without room are
 * tried, else a large job would hold up its team while its worker is drained;
 * not those at least as large, which makes the usual case one look.
 */
static struct job *job_first(const struct jobs *j, const struct job_pool *p,
			     const GQueue *q, int *worker)
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
		*worker = job_room(j, p, b);
		if (*worker >= 0)
			return b;
		if (b->failed_on.n == 0)
			tried = b;
	}
	return NULL;
}

static bool job_stopping(const struct jobs *j, const struct job_pool *p)
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

static bool job_in_quota(const struct jobs *j, const struct job *b)
{
	const struct job_team *team = job_team(j, b->spec.team);
	struct job_size left = team->quota;

	job_add(&left, &team->used, -1);
	return job_fits(&b->spec.size, &left);
}

static int job_priority(const struct jobs *j, const struct job *b)
{
	return job_team(j, b->spec.team)->priority[b->spec.cls];
}

/*
 * The worker with least room left over on which a job may start, or -1. Not
 * one that it failed on: a second failure there would teach nothing.
 */
static int job_room(const struct jobs *j, const struct job_pool *p,
		    const struct job *b)
{
	struct job_size left;
	int64_t least = INT64_MAX;
	int best = -1;
	guint i;

	for (i = 0; i < p->workers->len; i++) {
		int at = g_array_index(p->workers, int, i);
		const struct job_worker *w = job_worker(j, at);

		if (!job_usable(w) ||
		    (job_fails_has(&b->failed_on, (uint64_t)at) &&
		     b->failed_on.n < (int)p->workers->len))
			continue;
		left = w->capacity;
		job_add(&left, &w->used, -1);
		if (!job_fits(&b->spec.size, &left) || left.cpu_milli >= least)
			continue;
		least = left.cpu_milli;
		best = at;
	}
	return best;
}

/*
 * Whether a job may be stopped for urgent work. What was stopped stops_max
 * times already is spared: else a steady trickle of urgent work would start
 * it again and again and it would never finish. Work that is neither
 * idempotent nor able to go on is never stopped.
 */
static bool job_may_stop(const struct jobs *j, const struct job *b)
{
	return b->spec.cls == JOB_ARCHIVE && b->state == JOB_RUNNING &&
	       b->stops < j->config.stops_max &&
	       (b->spec.idempotent || b->spec.checkpoints);
}

/*
 * Stops archive work for all urgent jobs that wait without room, in one go:
 * made one by one, the tenth of a burst would wait for ten rounds of stop and
 * reply. Room that earlier stops are about to free is reckoned with first.
 */
static void job_make_room(struct jobs *j, struct job_pool *p,
			  struct job_out *out)
{
	struct job_size *left = g_new0(struct job_size, p->workers->len);
	GPtrArray *urgent = job_urgent(j, p);
	int owed = 0;
	guint i;

	for (i = 0; i < p->workers->len; i++)
		left[i] = job_soon_left(
			job_worker(j, g_array_index(p->workers, int, i)));
	for (i = 0; i < urgent->len; i++)
		owed += job_make_room_for(j, p, urgent->pdata[i], left, out);
	p->owed = MAX(p->owed, owed);
	g_ptr_array_free(urgent, TRUE);
	g_free(left);
}

/* The first urgent jobs that wait, highest rank first. */
static GPtrArray *job_urgent(struct jobs *j, const struct job_pool *p)
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
	g_ptr_array_sort_with_data(urgent, job_by_rank, j);
	return urgent;
}

static gint job_by_rank(gconstpointer a, gconstpointer b, gpointer jobs)
{
	const struct job *ja = *(struct job *const *)a;
	const struct job *jb = *(struct job *const *)b;
	int more = job_priority(jobs, jb) - job_priority(jobs, ja);

	return more ? more : (ja->seq < jb->seq ? -1 : 1);
}

/* Room on a worker once all that is being stopped has stopped. */
static struct job_size job_soon_left(const struct job_worker *w)
{
	struct job_size left = w->capacity;
	GList *l;

	if (!job_usable(w))
		return (struct job_size){0};
	job_add(&left, &w->used, -1);
	for (l = w->jobs.head; l; l = l->next)
		if (((struct job *)l->data)->state == JOB_STOPPING)
			job_add(&left, &((struct job *)l->data)->used, 1);
	return left;
}

/* Stops on the worker where fewest must stop; 1: there will be room. */
static int job_make_room_for(struct jobs *j, struct job_pool *p, struct job *b,
			     struct job_size *left, struct job_out *out)
{
	int fewest = INT_MAX;
	struct job_worker *w;
	int stops;
	int best = -1;
	guint i;
	GList *l;

	for (i = 0; i < p->workers->len; i++) {
		w = job_worker(j, g_array_index(p->workers, int, i));
		stops = job_stops(j, w, &b->spec.size, left[i]);
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

		if (!job_may_stop(j, a))
			continue;
		a->stops++;
		fewest--;
		job_add(&left[best], &a->used, 1);
		job_event(j, a, JOB_PREEMPT, out);
	}
	job_add(&left[best], &b->spec.size, -1);
	return 1;
}

/* Jobs of a worker that must stop to make room for a size; -1: not enough. */
static int job_stops(const struct jobs *j, const struct job_worker *w,
		     const struct job_size *size, struct job_size left)
{
	int stops = 0;
	GList *l;

	if (!job_usable(w))
		return -1;
	for (l = w->jobs.head; l && !job_fits(size, &left); l = l->next) {
		if (!job_may_stop(j, l->data))
			continue;
		job_add(&left, &((struct job *)l->data)->used, 1);
		stops++;
	}
	return job_fits(size, &left) ? stops : -1;
}

static void job_place(struct jobs *j, struct job *b, int worker,
		      struct job_out *out)
{
	struct job_worker *w = job_worker(j, worker);

	b->worker = worker;
	b->attempt++;
	b->used = b->spec.size;
	job_add(&w->used, &b->used, 1);
	job_add(&job_team(j, b->spec.team)->used, &b->used, 1);
	b->turn = ++j->turns;
	job_event(j, b, JOB_PLACE, out);
	g_queue_push_tail(&w->jobs, b);
	b->link = w->jobs.tail;
}
