#include "adm_int.h"

/*
 * Waiting requests: for each class, flows (one a caller) in order of the slot
 * time they have had. Slot time, not requests, so that a caller of long work
 * gets no more of the pool than one of short work.
 */

/*
 * Starts that may go ahead of a class that waits. Load: a storm, where the
 * duty officer's work alone fills the pool. Harm: archive work that never
 * ends. Limit: one start in 9 for normal work keeps urgent work within an
 * eighth of its best; batch work may wait, one in 17 is enough to finish.
 */
static const int adm_bypass_max[ADM_CLASSES] = {
	[ADM_URGENT] = 0,
	[ADM_NORMAL] = 8,
	[ADM_BATCH] = 16,
};

/* One caller may hold an eighth of the memory for queues. */
#define ADM_FLOW_QUEUE_PARTS 8

static int64_t adm_flow_cost(const struct adm_pool *p, const struct adm_req *r);

#define ADM_FLOW_FROM_NODE(n)                                             \
	((struct adm_flow *)((char *)(n)-G_STRUCT_OFFSET(struct adm_flow, \
							 vtime)))
#define ADM_REQ_FROM_NODE(n)                                            \
	((struct adm_req *)((char *)(n)-G_STRUCT_OFFSET(struct adm_req, \
							expiry)))

/*
 * The flow of a caller. One that is not known starts level with whoever is
 * served now: neither punished nor rewarded for having been away.
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

/* Forgets a flow that has nothing waiting and nothing running. */
void adm_flow_free_if_idle(struct adm_pool *p, struct adm_flow *f)
{
	if (f->running || f->queue.length)
		return;
	g_hash_table_remove(p->flows, &f->key);
}

static int64_t adm_flow_cost(const struct adm_pool *p, const struct adm_req *r)
{
	return (int64_t)adm_est_for(p, r->size_group)->mean + 1;
}

/* Charges a caller in advance with what a request of its group costs. */
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
 * Puts the measured time in the place of the charge. Harm prevented: a caller
 * who declares small sizes for long work would else get ten times its share.
 */
void adm_flow_settle(struct adm_pool *p, struct adm_req *r, int64_t service)
{
	struct adm_flow *f = r->flow;
	int64_t vtime = f->vtime.key + service - r->cost;

	f->running--;
	if (f->queue.length)
		adm_heap_put(&p->ready[f->class], &f->vtime, vtime);
	else
		f->vtime.key = vtime;
}

/* Lets a request wait; in front where it had a slot and was sent back. */
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

/* Takes a request out of the queue, whatever its place. */
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
 * The request to start next: the highest class, unless a lower one has been
 * passed as often as allowed; in it the caller with the least slot time.
 */
struct adm_req *adm_queue_peek(struct adm_pool *p)
{
	int pick = -1;
	int c;

	for (c = 0; c < ADM_CLASSES; c++) {
		if (!p->n_queued[c])
			continue;
		if (pick < 0 || adm_queue_must_serve(p, c))
			pick = c;
	}
	if (pick < 0)
		return NULL;
	return g_queue_peek_head(
		&ADM_FLOW_FROM_NODE(p->ready[pick].nodes[0])->queue);
}

/* Whether a class was passed so often that the next start is its own. */
bool adm_queue_must_serve(const struct adm_pool *p, enum adm_class class)
{
	return p->n_queued[class] &&
	       p->bypassed[class] >= adm_bypass_max[class];
}

/* The first of the highest class that waits. */
struct adm_req *adm_queue_peek_highest(struct adm_pool *p)
{
	int c = ADM_URGENT;

	while (!p->n_queued[c])
		c++;
	return g_queue_peek_head(
		&ADM_FLOW_FROM_NODE(p->ready[c].nodes[0])->queue);
}

/* Notes a start of one class that went ahead of the lower ones. */
void adm_queue_count_bypass(struct adm_pool *p, enum adm_class class)
{
	int c;

	p->bypassed[class] = 0;
	for (c = class + 1; c < ADM_CLASSES; c++)
		if (p->n_queued[c])
			p->bypassed[c]++;
}

/* A request that must not start any more, or NULL. */
struct adm_req *adm_queue_expired(struct adm_pool *p, int64_t now)
{
	if (!p->expiry.len || p->expiry.nodes[0]->key > now)
		return NULL;
	return ADM_REQ_FROM_NODE(p->expiry.nodes[0]);
}

/* Requests that wait in this pool. */
int adm_queue_len(const struct adm_pool *p)
{
	return p->expiry.len;
}

/*
 * Whether memory forbids to queue one more. Load: a burst before any service
 * time is known, so that no wait can be foretold. Harm: one caller, or a pool
 * of low priority, holding all memory. Limits: an eighth for a caller; the
 * last quarter is kept for pools of the highest priority.
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
 * How long one more request of a flow would wait, in us: those that go before
 * it, at the rate at which the slots we hold come free (slots held over mean
 * service time, by Little's law). Of its own class those go before it that
 * fair turns put there: each waiting caller once for every own one.
 */
int64_t adm_queue_estimate_wait(const struct adm *a, const struct adm_pool *p,
				const struct adm_flow *f)
{
	int64_t flows = p->ready[f->class].len + (f->queue.length == 0);
	int64_t ahead = ((int64_t)f->queue.length + 1) * flows - 1;
	int held = p->in_flight;
	int c;

	ahead = MIN(ahead, p->n_queued[f->class]);
	for (c = 0; c < (int)f->class; c++)
		ahead += p->n_queued[c];
	if (!held)
		held = adm_usable_targets(p) * p->spec.slots /
		       MAX(a->conf.entries, 1);
	return (ahead + 1) * adm_mean_service(p) / MAX(held, 1);
}
