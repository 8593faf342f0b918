#include "adm_int.h"

/*
 * Queues of waiting requests, with fair queueing between callers: in each class
 * the flows (one per caller) are ordered by virtual time, which is the slot
 * time they have used. Slot time rather than the number of requests is used, so
 * that a caller with long requests gets no larger share of the pool than one
 * with short requests.
 */

/*
 * Maximum number of starts made ahead of a waiting lower class.
 *
 * Load: a storm, in which the requests of the duty officer alone fill the pool.
 * Harm: starvation of batch work. Limits: one start in 9 for normal work, which
 * slows urgent work down by an eighth at most; one in 17 for batch work, which
 * may be delayed and needs only enough to finish.
 */
static const int adm_bypass_max[ADM_CLASSES] = {
	[ADM_URGENT] = 0,
	[ADM_NORMAL] = 8,
	[ADM_BATCH] = 16,
};

/* One flow may hold an eighth of queue_max. */
#define ADM_FLOW_QUEUE_PARTS 8

static int64_t adm_flow_cost(const struct adm_pool *p, const struct adm_req *r);

#define ADM_FLOW_FROM_NODE(n)                                             \
	((struct adm_flow *)((char *)(n)-G_STRUCT_OFFSET(struct adm_flow, \
							 vtime)))
#define ADM_REQ_FROM_NODE(n)                                            \
	((struct adm_req *)((char *)(n)-G_STRUCT_OFFSET(struct adm_req, \
							expiry)))

/*
 * Returns the flow of a caller and class, creating it if necessary. A new flow
 * starts at the virtual time of the flow served last, so that a caller that was
 * idle has neither credit nor debt.
 */
struct adm_flow *adm_flow_get(struct adm_pool *p, uint64_t caller,
			      enum adm_class class)
{
	uint64_t key = caller * ADM_CLASSES + class;
	struct adm_flow *f = g_hash_table_lookup(p->flows, &key);

	if (f)
		return f;
	f = g_new0(struct adm_flow, 1);
	f->key = key;
	f->class = class;
	f->vtime.pos = -1;
	f->vtime.key = p->vtime[class];
	g_queue_init(&f->queue);
	g_hash_table_insert(p->flows, &f->key, f);
	return f;
}

/* Frees a flow that has no waiting and no running request. */
void adm_flow_free_if_idle(struct adm_pool *p, struct adm_flow *f)
{
	if (f->running || f->queue.length)
		return;
	g_hash_table_remove(p->flows, &f->key);
}

/* Returns the estimated slot time of a request, in us; at least 1. */
static int64_t adm_flow_cost(const struct adm_pool *p, const struct adm_req *r)
{
	return (int64_t)adm_est_for(p, r->size_group)->mean + 1;
}

/*
 * Charges a flow for a request that starts. The charge is the mean service time
 * of the request's size group; adm_flow_settle corrects it later.
 */
void adm_flow_charge(struct adm_pool *p, struct adm_req *r)
{
	struct adm_flow *f = r->flow;
	int64_t start = MAX(f->vtime.key, p->vtime[f->class]);

	r->cost = adm_flow_cost(p, r);
	f->running++;
	p->vtime[f->class] = start;
	f->vtime.key = start + r->cost;
	if (f->queue.length)
		adm_heap_put(&p->ready[f->class], &f->vtime, f->vtime.key);
}

/*
 * Replaces the charge for a request by its measured service time, in us.
 * Without this, a caller that declares small sizes for long requests would get
 * up to ten times its share.
 */
void adm_flow_settle(struct adm_pool *p, struct adm_req *r, int64_t service_us)
{
	struct adm_flow *f = r->flow;
	int64_t vtime = f->vtime.key + service_us - r->cost;

	f->running--;
	if (f->queue.length)
		adm_heap_put(&p->ready[f->class], &f->vtime, vtime);
	else
		f->vtime.key = vtime;
}

/* Adds a request to the queue of its flow, at its front or its end. */
void adm_queue_add(struct adm *a, struct adm_pool *p, struct adm_req *r,
		   bool front)
{
	struct adm_flow *f = r->flow;

	r->state = ADM_REQ_QUEUED;
	r->link.data = r;
	if (front)
		g_queue_push_head_link(&f->queue, &r->link);
	else
		g_queue_push_tail_link(&f->queue, &r->link);
	if (f->queue.length == 1)
		adm_heap_put(&p->ready[f->class], &f->vtime,
			     MAX(f->vtime.key, p->vtime[f->class]));
	p->n_queued[f->class]++;
	adm_heap_put(&p->expiry, &r->expiry, adm_latest_start(p, r));
	a->stats.in_queue++;
}

/* Removes a request from its queue, wherever it is in it. */
void adm_queue_remove(struct adm *a, struct adm_pool *p, struct adm_req *r)
{
	struct adm_flow *f = r->flow;

	g_queue_unlink(&f->queue, &r->link);
	if (!f->queue.length)
		adm_heap_remove(&p->ready[f->class], &f->vtime);
	p->n_queued[f->class]--;
	if (!p->n_queued[f->class])
		p->bypassed[f->class] = 0;
	adm_heap_remove(&p->expiry, &r->expiry);
	a->stats.in_queue--;
}

/*
 * Returns the request whose turn it is, without removing it; NULL if none
 * waits. It belongs to the highest class that waits, or to a lower one that has
 * reached its limit of bypasses, and in this class to the flow with the lowest
 * virtual time.
 */
struct adm_req *adm_queue_peek(struct adm_pool *p)
{
	int chosen = -1;
	int c;

	for (c = 0; c < ADM_CLASSES; c++) {
		if (!p->n_queued[c])
			continue;
		if (chosen < 0 || adm_queue_must_serve(p, c))
			chosen = c;
	}
	if (chosen < 0)
		return NULL;
	return g_queue_peek_head(
		&ADM_FLOW_FROM_NODE(p->ready[chosen].nodes[0])->queue);
}

/* Whether a class has reached its limit of bypasses and must be served next. */
bool adm_queue_must_serve(const struct adm_pool *p, enum adm_class class)
{
	return p->n_queued[class] &&
	       p->bypassed[class] >= adm_bypass_max[class];
}

/*
 * Returns the first request of the highest class that waits, ignoring bypass
 * limits. At least one request must be waiting.
 */
struct adm_req *adm_queue_peek_highest(struct adm_pool *p)
{
	int c = ADM_URGENT;

	while (!p->n_queued[c])
		c++;
	return g_queue_peek_head(
		&ADM_FLOW_FROM_NODE(p->ready[c].nodes[0])->queue);
}

/* Counts a start of a class as a bypass of the lower classes that wait. */
void adm_queue_count_bypass(struct adm_pool *p, enum adm_class class)
{
	int c;

	p->bypassed[class] = 0;
	for (c = class + 1; c < ADM_CLASSES; c++)
		if (p->n_queued[c])
			p->bypassed[c]++;
}

/* Returns a waiting request whose latest start has passed, or NULL. */
struct adm_req *adm_queue_expired(struct adm_pool *p, int64_t now)
{
	if (!p->expiry.len || p->expiry.nodes[0]->key > now)
		return NULL;
	return ADM_REQ_FROM_NODE(p->expiry.nodes[0]);
}

/* Returns the number of requests waiting in the pool, of all classes. */
int adm_queue_len(const struct adm_pool *p)
{
	return p->expiry.len;
}

/*
 * Whether the memory limit forbids to queue one more request of a flow.
 *
 * Load: a burst before any service time is measured, so that waits can't be
 * estimated. Harm: one caller or a low-priority pool uses all queue memory.
 * Limits: an eighth of it for one flow; the last quarter is reserved for pools
 * of the highest priority.
 */
bool adm_queue_full(const struct adm *a, const struct adm_pool *p,
		    const struct adm_flow *f)
{
	uint32_t max = a->conf.queue_max;

	if (f->queue.length >= 1 + max / ADM_FLOW_QUEUE_PARTS)
		return true;
	if (p->spec.priority < a->highest_priority)
		max -= max / 4;
	return a->stats.in_queue >= max;
}

/*
 * Returns how long one more request of a flow would wait, in us: the number of
 * requests ahead of it, divided by the rate at which the slots held by this
 * entry VM become free (slots held over mean service time, by Little's law).
 * Ahead of it are all requests of higher classes and, in its own class, those
 * that fair queueing serves first: one of each waiting flow for each of its
 * own.
 */
int64_t adm_queue_estimate_wait(const struct adm *a, const struct adm_pool *p,
				const struct adm_flow *f)
{
	int64_t flows = p->ready[f->class].len + (f->queue.length == 0);
	int64_t ahead = ((int64_t)f->queue.length + 1) * flows - 1;
	int slots_held = p->in_flight;
	int c;

	ahead = MIN(ahead, p->n_queued[f->class]);
	for (c = 0; c < (int)f->class; c++)
		ahead += p->n_queued[c];
	if (!slots_held)
		slots_held = adm_usable_targets(p) * p->spec.slots /
			     MAX(a->conf.entries, 1);
	return (ahead + 1) * adm_mean_service(p) / MAX(slots_held, 1);
}
