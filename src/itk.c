#include "itk_int.h"

#include <math.h>

/*
 * Load: for many seconds callers submit several times what the VMs can do.
 * Harm: all is accepted and waits, and most of it ends when it is of no use any
 * more; its callers learn that last, and live jobs take all memory. Rule: a job
 * that can't be of use any more in its organisation's place in line is refused
 * at once, with the time when the line will be short enough for it. Each error
 * of the estimate makes the line shorter than it is, and so accepts.
 */

/* Longest Retry-After, s. Who returns later has another plan by then. */
#define ITK_RETRY_MAX_S 60
/* Part of the process's memory that live jobs may take. */
#define ITK_MEMORY_PART 8
/* Least memory of a live job with its entry in the log, bytes. */
#define ITK_JOB_BYTES 2048
/* Part of the bounds that only work which is never refused may use. */
#define ITK_RESERVED_PART 8
/* Jobs refused for memory that return in each second. */
#define ITK_MEMORY_RETURNS 50

/* An accepted job that the table may not have yet. */
struct itk_joining {
	struct itk_job job; /* its strings belong to it */
};

static struct itk_pool *itk_pool(struct itk *k, const char *name);
static void itk_pool_free(gpointer p);
static void itk_account_clear(gpointer p);
static struct itk_account *itk_account(struct itk_pool *p, const char *org);
static void itk_add(struct itk *k, const struct itk_job *job);
static bool itk_expires(const struct itk_pool *p, const struct itk_account *a,
			const struct itk_job *job);
static void itk_prune(struct itk *k, int64_t now_ms);
static void itk_pool_prune(struct itk_pool *p, int64_t now_ms);
static void itk_set_rooms(struct itk *k);
static bool itk_memory_is_full(const struct itk *k, const struct itk_job *job,
			       bool exempt);
static enum itk_why itk_why_of(struct itk *k, const struct itk_job *job,
			       const struct itk_need *need, double line_s);
static int itk_return(int64_t *last_ms, int64_t from_ms, int64_t now_ms);
static int itk_line_return(struct itk_account *a, const struct itk_job *job,
			   double line_s, int64_t excess_ms, int64_t now_ms);
static void itk_joining_free(gpointer p);
static void itk_record_refusal(struct itk *k, const struct itk_job *job,
			       enum itk_why why);

static const char *const itk_why_names[ITK_WHYS] = {
	[ITK_ROOM] = "room", [ITK_UNKNOWN] = "unknown", [ITK_EXEMPT] = "exempt",
	[ITK_LINE] = "line", [ITK_MEMORY] = "memory",
};

/* Returns the name of a reason. */
const char *itk_why_name(enum itk_why why)
{
	return itk_why_names[why];
}

/* Whether a job is refused for that reason. */
bool itk_refuses(enum itk_why why)
{
	return why == ITK_LINE || why == ITK_MEMORY;
}

/* Returns the bounds of live jobs in a process of that memory, bytes; 0: none. */
struct itk_bounds itk_bounds(uint64_t memory)
{
	uint64_t bytes = memory / ITK_MEMORY_PART;

	return (struct itk_bounds){.jobs = bytes / ITK_JOB_BYTES,
				   .bytes = bytes};
}

/* Returns an intake control in which nothing waits; way NULL: accepts all. */
struct itk *itk_new(const struct itk_way *way, struct itk_bounds bounds)
{
	struct itk *k = g_new0(struct itk, 1);

	k->way = way ? way : itk_way("all");
	k->bounds = bounds;
	k->pools = g_ptr_array_new_with_free_func(itk_pool_free);
	k->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	k->joining = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   itk_joining_free);
	k->refused_orgs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return k;
}

/* Frees an intake control; k may be NULL. */
void itk_free(struct itk *k)
{
	if (!k)
		return;
	g_hash_table_destroy(k->by_name);
	g_ptr_array_free(k->pools, TRUE);
	g_hash_table_destroy(k->joining);
	g_hash_table_destroy(k->refused_orgs);
	g_free(k);
}

/* Drops all accounts, for a new leader; counters stay. */
void itk_reset(struct itk *k)
{
	g_hash_table_remove_all(k->joining);
	g_hash_table_remove_all(k->by_name);
	g_ptr_array_set_size(k->pools, 0);
	k->live = (struct itk_bounds){0};
	k->counted_ms = 0;
	k->memory_return_ms = 0;
}

/* Begins to count anew the pools and the work that waits. */
void itk_count_begin(struct itk *k)
{
	guint i;
	guint j;

	k->live = (struct itk_bounds){0};
	for (i = 0; i < k->pools->len; i++) {
		struct itk_pool *p = g_ptr_array_index(k->pools, i);

		p->capacity = (struct itk_capacity){0};
		p->core_s = 0;
		p->has_limits = false;
		p->counted = false;
		for (j = 0; j < p->accounts->len; j++)
			g_array_index(p->accounts, struct itk_account, j)
				.core_s = 0;
	}
}

/* Counts the capacity of a pool. */
void itk_count_pool(struct itk *k, const char *pool,
		    const struct itk_capacity *c)
{
	struct itk_pool *p = itk_pool(k, pool);

	p->capacity = *c;
	p->counted = true;
}

/* Counts a live job, and its work as far as that waits. */
void itk_count_job(struct itk *k, const struct itk_job *job)
{
	itk_add(k, job);
}

/*
 * Ends a count. Jobs that were accepted and that the table lacks stay in it.
 * Accounts and pools without work go, so that their number stays bounded.
 */
void itk_count_end(struct itk *k, itk_stored_fn stored, void *arg,
		   int64_t now_ms)
{
	GHashTableIter it;
	struct itk_joining *j;

	g_hash_table_iter_init(&it, k->joining);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&j)) {
		if (stored(arg, j->job.id))
			g_hash_table_iter_remove(&it);
		else
			itk_add(k, &j->job);
	}
	itk_prune(k, now_ms);
	itk_set_rooms(k);
	k->counted_ms = now_ms;
}

/* Whether a job was accepted and the table may not have it yet. */
bool itk_is_joining(const struct itk *k, const char *id)
{
	return g_hash_table_contains(k->joining, id);
}

/*
 * Decides whether a job is accepted; itk_join must follow if it is, so that the
 * next decision counts it.
 */
struct itk_verdict itk_decide(struct itk *k, const struct itk_job *job,
			      const struct itk_need *need, int64_t now_ms)
{
	struct itk_pool *p = g_hash_table_lookup(k->by_name, job->pool);
	guint i = p ? GPOINTER_TO_UINT(g_hash_table_lookup(p->by_org, job->org))
		    : 0;
	struct itk_account *a =
		i ? &g_array_index(p->accounts, struct itk_account, i - 1)
		  : NULL;
	struct itk_verdict v = {.age_ms = k->counted_ms ? now_ms - k->counted_ms
							: 0};
	double line_s = -1;

	if (k->way->line_s && k->counted_ms && p && p->room > 0)
		line_s = a ? k->way->line_s(p, a)
			   : k->way->line_s(p, &(struct itk_account){
						       .weight = job->weight});
	v.line_ms = line_s > 0 ? (int64_t)(line_s * 1000) : 0;
	v.why = itk_why_of(k, job, need, line_s);
	if (!itk_refuses(v.why))
		return v;
	itk_record_refusal(k, job, v.why);
	if (v.why == ITK_MEMORY) {
		v.retry_after_s = itk_return(&k->memory_return_ms,
					     k->memory_return_ms +
						     1000 / ITK_MEMORY_RETURNS,
					     now_ms);
		return v;
	}
	g_assert(p);
	v.retry_after_s =
		itk_line_return(a ? a : itk_account(p, job->org), job, line_s,
				v.line_ms + need->chain_ms - need->objective_ms,
				now_ms);
	return v;
}

/* Returns why a job is accepted or refused; line_s < 0: not known. */
static enum itk_why itk_why_of(struct itk *k, const struct itk_job *job,
			       const struct itk_need *need, double line_s)
{
	if (itk_memory_is_full(k, job, need->exempt))
		return ITK_MEMORY;
	if (need->exempt)
		return ITK_EXEMPT;
	if (!need->known || line_s < 0)
		return ITK_UNKNOWN;
	return line_s * 1000 + (double)need->chain_ms > (double)need->limit_ms
		       ? ITK_LINE
		       : ITK_ROOM;
}

/*
 * Whether the bounds leave no memory for a job. Load: more jobs are accepted
 * than can end. Harm: the process is killed for its memory, and with it all
 * that was accepted waits for the next leader, which meets the same. The last
 * part is kept for exempt work, which nobody sends in floods.
 */
static bool itk_memory_is_full(const struct itk *k, const struct itk_job *job,
			       bool exempt)
{
	struct itk_bounds most = k->bounds;

	if (!exempt) {
		most.jobs -= most.jobs / ITK_RESERVED_PART;
		most.bytes -= most.bytes / ITK_RESERVED_PART;
	}
	return (most.jobs && k->live.jobs >= most.jobs) ||
	       (most.bytes && k->live.bytes + job->bytes > most.bytes);
}

/* Counts a refusal. */
static void itk_record_refusal(struct itk *k, const struct itk_job *job,
			       enum itk_why why)
{
	uint64_t *n = g_hash_table_lookup(k->refused_orgs, job->org);

	if (!n) {
		n = g_new0(uint64_t, 1);
		g_hash_table_insert(k->refused_orgs, g_strdup(job->org), n);
	}
	(*n)++;
	k->refused[why]++;
}

/*
 * Returns the Retry-After, s, of a job refused for its line, which is too long
 * by excess_ms for its full use. The work of the job refused before it comes
 * first, unless all of the present line will have been served by then: what was
 * promised longer ago than that may no longer be wanted, and room would stay
 * empty.
 */
static int itk_line_return(struct itk_account *a, const struct itk_job *job,
			   double line_s, int64_t excess_ms, int64_t now_ms)
{
	int64_t served_ms = now_ms + (int64_t)(line_s * 1000);
	double rate = a->core_s > 0 ? a->core_s / line_s : 0;
	int64_t work_ms = rate > 0 ? (int64_t)(job->core_s / rate * 1000) : 0;
	int64_t after_ms = MIN(a->return_ms + work_ms, served_ms);

	return itk_return(&a->return_ms, MAX(now_ms + excess_ms, after_ms),
			  now_ms);
}

/*
 * Returns the Retry-After, s, of a job that is to return at from_ms or later,
 * and notes its return. Whole seconds from the moment of the refusal: the least
 * number that keeps the order of returns, as refusals differ in their moment.
 */
static int itk_return(int64_t *last_ms, int64_t from_ms, int64_t now_ms)
{
	int64_t wait_ms = MAX(from_ms, *last_ms) - now_ms;
	int64_t s = CLAMP((wait_ms + 999) / 1000, 1, ITK_RETRY_MAX_S);

	*last_ms = now_ms + s * 1000;
	return (int)s;
}

/* Adds an accepted job to its line at once. */
void itk_join(struct itk *k, const struct itk_job *job)
{
	struct itk_joining *j;

	if (itk_is_joining(k, job->id))
		return;
	itk_add(k, job);
	j = g_new0(struct itk_joining, 1);
	j->job = *job;
	j->job.id = g_strdup(job->id);
	j->job.pool = g_strdup(job->pool);
	j->job.org = g_strdup(job->org);
	g_hash_table_insert(k->joining, (gpointer)j->job.id, j);
}

/* Frees an accepted job. */
static void itk_joining_free(gpointer p)
{
	struct itk_joining *j = p;

	g_free((gpointer)j->job.id);
	g_free((gpointer)j->job.pool);
	g_free((gpointer)j->job.org);
	g_free(j);
}

/* Adds a live job, and its work to its account. */
static void itk_add(struct itk *k, const struct itk_job *job)
{
	struct itk_pool *p;
	struct itk_account *a;

	k->live.jobs++;
	k->live.bytes += job->bytes;
	if (!(job->core_s > 0) || !isfinite(job->core_s))
		return;
	p = itk_pool(k, job->pool);
	a = itk_account(p, job->org);
	a->weight = job->weight;
	a->limit_cores = job->limit_cores;
	if (itk_expires(p, a, job))
		return;
	a->core_s += job->core_s;
	p->core_s += job->core_s;
	p->has_limits |= job->limit_cores > 0;
}

/*
 * Whether a waiting job will be of no use when its turn comes: the line is
 * shorter by its work. By the least rate that its organisation gets, which
 * makes the line rather too short.
 */
static bool itk_expires(const struct itk_pool *p, const struct itk_account *a,
			const struct itk_job *job)
{
	double rate = p->weights > 0 ? p->room * a->weight / p->weights : 0;

	return job->life_ms && rate > 0 &&
	       a->core_s * 1000 > rate * (double)job->life_ms;
}

/* Returns a pool, added if it is new. */
static struct itk_pool *itk_pool(struct itk *k, const char *name)
{
	struct itk_pool *p = g_hash_table_lookup(k->by_name, name);

	if (p)
		return p;
	p = g_new0(struct itk_pool, 1);
	p->name = g_strdup(name);
	p->accounts = g_array_new(FALSE, TRUE, sizeof(struct itk_account));
	g_array_set_clear_func(p->accounts, itk_account_clear);
	p->by_org = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(k->pools, p);
	g_hash_table_insert(k->by_name, p->name, p);
	return p;
}

/* Frees a pool. */
static void itk_pool_free(gpointer ptr)
{
	struct itk_pool *p = ptr;

	g_hash_table_destroy(p->by_org);
	g_array_free(p->accounts, TRUE);
	g_free(p->name);
	g_free(p);
}

/* Frees what an account holds. */
static void itk_account_clear(gpointer p)
{
	struct itk_account *a = p;

	g_free(a->org);
}

/* Returns an organisation's account in a pool, added if it is new. */
static struct itk_account *itk_account(struct itk_pool *p, const char *org)
{
	guint i = GPOINTER_TO_UINT(g_hash_table_lookup(p->by_org, org));
	struct itk_account a = {.weight = 1};

	if (i)
		return &g_array_index(p->accounts, struct itk_account, i - 1);
	a.org = g_strdup(org);
	g_array_append_val(p->accounts, a);
	g_hash_table_insert(p->by_org, a.org,
			    GUINT_TO_POINTER(p->accounts->len));
	return &g_array_index(p->accounts, struct itk_account,
			      p->accounts->len - 1);
}

/* Drops accounts without work and returns, and pools that are gone. */
static void itk_prune(struct itk *k, int64_t now_ms)
{
	guint i;

	for (i = k->pools->len; i-- > 0;) {
		struct itk_pool *p = g_ptr_array_index(k->pools, i);

		itk_pool_prune(p, now_ms);
		if (p->counted || p->accounts->len)
			continue;
		g_hash_table_remove(k->by_name, p->name);
		g_ptr_array_remove_index_fast(k->pools, i);
	}
}

/*
 * Drops a pool's accounts that have no work, and nobody sent away to return, and
 * adds up the weights of those with work.
 */
static void itk_pool_prune(struct itk_pool *p, int64_t now_ms)
{
	guint i;

	p->weights = 0;
	for (i = p->accounts->len; i-- > 0;) {
		struct itk_account *a =
			&g_array_index(p->accounts, struct itk_account, i);

		p->weights += a->core_s > 0 ? a->weight : 0;
		if (a->core_s > 0 || a->return_ms > now_ms)
			continue;
		g_hash_table_remove(p->by_org, a->org);
		g_array_remove_index_fast(p->accounts, i);
		if (i < p->accounts->len)
			g_hash_table_insert(p->by_org, a->org,
					    GUINT_TO_POINTER(i + 1));
	}
}

/*
 * Sets the cores that serve each pool's line. VMs that are idle elsewhere can
 * come, and count in full for each pool. While the pools together need more
 * than there is, a pool's part of all VMs counts although it doesn't have them
 * yet: by the division, or without one by load or an even part, whichever is
 * more, as another pool may end its work soon.
 */
static void itk_set_rooms(struct itk *k)
{
	struct itk_capacity all = {0};
	double idle = 0;
	guint wanting = 0;
	guint i;

	for (i = 0; i < k->pools->len; i++) {
		const struct itk_pool *p = g_ptr_array_index(k->pools, i);

		all.cores += p->capacity.cores;
		all.load += p->capacity.load;
		wanting += p->capacity.load > 0;
		idle += MAX(0, p->capacity.cores - p->capacity.used);
	}
	for (i = 0; i < k->pools->len; i++) {
		struct itk_pool *p = g_ptr_array_index(k->pools, i);
		const struct itk_capacity *c = &p->capacity;
		double come = idle - MAX(0, c->cores - c->used);
		double part = c->load > 0 ? MAX(all.cores * c->load / all.load,
						all.cores / wanting)
					  : 0;

		p->room = c->entitled > 0 ? MAX(c->cores, c->entitled)
					  : MAX(c->cores + come, part);
	}
}

/* Returns how many jobs were refused for a reason. */
uint64_t itk_count_refused(const struct itk *k, enum itk_why why)
{
	return k->refused[why];
}
