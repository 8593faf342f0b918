#include "adm_int.h"

/*
 * Measured service time, and what it allows. Declared sizes may be wrong by
 * 10x, so a size only says with which other requests one is measured together;
 * the times themselves are all measured.
 */

/* Below that many samples a group says less than all requests together. */
#define ADM_EST_MIN_SAMPLES 16

/*
 * Weight of a sample: 1/64 follows a change of the load within about a
 * hundred answers, some seconds at one pool's rate on one entry VM, and one
 * odd answer moves the mean by 1.6 % of its excess only.
 */
#define ADM_EST_WEIGHT (1.0 / 64)

/* Step of a quantile; 5 % reaches a value twice as high in 16 answers. */
#define ADM_EST_QUANTILE_STEP 0.05

/*
 * What is asked for is looked at eight times in the longest wait, and the last
 * four looks weigh most: half a longest wait tells a burst from overload that
 * stays. It is over once demand is 5 % below what can run, as one look at a
 * few dozen requests is off by that much.
 */
#define ADM_DEMAND_WINDOWS 8
#define ADM_DEMAND_WEIGHT 0.25
#define ADM_DEMAND_RECOVERED 0.95

/* Longest wait under lasting overload, in mean service times. */
#define ADM_OVERLOAD_WAIT_MEANS 2

/* Without an answer for that long, a request is let through to learn from. */
#define ADM_EST_STALE (10 * ADM_SEC)

/* Share of requests that are faster than low, and slower than high. */
#define ADM_EST_TAIL 0.1

static void adm_est_update(struct adm_est *e, double x, int64_t now);

/* The group a declared size falls into; 0 where none is declared. */
int adm_size_group(uint64_t hint)
{
	int bits = 0;

	while (hint) {
		hint >>= 2;
		bits++;
	}
	return MIN(bits, ADM_SIZE_GROUPS - 1);
}

/* The estimate to use for a group: its own, or that of all requests. */
const struct adm_est *adm_est_for(const struct adm_pool *p, int size)
{
	if (size && p->est[size].n >= ADM_EST_MIN_SAMPLES)
		return &p->est[size];
	return &p->est[0];
}

static void adm_est_update(struct adm_est *e, double x, int64_t now)
{
	double weight;

	e->sampled_at = now;

	if (e->n++ == 0) {
		e->mean = e->low = e->high = x;
		return;
	}
	weight = MAX(ADM_EST_WEIGHT, 1.0 / e->n);
	e->mean += weight * (x - e->mean);
	if (x < e->low)
		e->low *= 1 - ADM_EST_QUANTILE_STEP * (1 - ADM_EST_TAIL);
	else
		e->low *= 1 + ADM_EST_QUANTILE_STEP * ADM_EST_TAIL;
	if (x > e->high)
		e->high *= 1 + ADM_EST_QUANTILE_STEP * (1 - ADM_EST_TAIL);
	else
		e->high *= 1 - ADM_EST_QUANTILE_STEP * ADM_EST_TAIL;
}

/* Learns from an answer that a target gave in full. */
void adm_est_record(struct adm_pool *p, int size, int64_t service_us,
		    int64_t now)
{
	double x = (double)MAX(service_us, 1);

	adm_est_update(&p->est[0], x, now);
	if (size)
		adm_est_update(&p->est[size], x, now);
}

/* Mean service time of the pool in us; 0 before the first answer. */
int64_t adm_mean_service(const struct adm_pool *p)
{
	return (int64_t)p->est[0].mean;
}

/*
 * Last moment at which a queued request may start.
 * Load: saturation, where the queue is as long as it may be. Harm: a slot
 * spent on an answer that comes after its deadline helps nobody and makes the
 * next one late too. Limit: the deadline less the mean time of its group;
 * below that most would be late.
 */
int64_t adm_latest_start(const struct adm_pool *p, const struct adm_req *r)
{
	int64_t mean = (int64_t)adm_est_for(p, r->size_group)->mean;
	int64_t by_queue = r->offered_at + p->spec.queue_us;

	return MIN(by_queue, r->deadline - mean);
}

/*
 * Notes a request that is offered, and compares what is asked for with what
 * the slots we hold can do. Only while requests wait: with slots free, what
 * runs is what is asked for, and says nothing about what could run.
 */
void adm_demand_record(struct adm_pool *p, int64_t now)
{
	int64_t elapsed = now - p->demand_window_start;
	double could;
	double ratio = 0;

	p->demand_offered++;
	if (elapsed < p->spec.queue_us / ADM_DEMAND_WINDOWS)
		return;
	could = (double)elapsed * MAX(p->in_flight, 1);
	if (adm_queue_len(p))
		ratio = p->demand_offered * p->est[0].mean / could;
	p->demand_ratio += ADM_DEMAND_WEIGHT * (ratio - p->demand_ratio);
	p->demand_window_start = now;
	p->demand_offered = 0;
	if (p->demand_ratio < ADM_DEMAND_RECOVERED)
		p->overload_since = 0;
	else if (p->demand_ratio > 1 && !p->overload_since)
		p->overload_since = now;
}

/*
 * How long a request may be let wait for a slot, apart from its deadline.
 * Load: bursts, and overload that stays. A burst that ends is worth waiting
 * for, as long as the pool allows. Harm: when more than can run has come for
 * that long already, all a long queue does is make every caller wait for the
 * longest time. Limit then: two mean service times, a queue of twice the slots
 * held, which still keeps each of them busy.
 */
int64_t adm_max_wait(const struct adm_pool *p, int64_t now)
{
	if (!p->overload_since || now - p->overload_since <= p->spec.queue_us)
		return p->spec.queue_us;
	return MIN(p->spec.queue_us,
		   ADM_OVERLOAD_WAIT_MEANS * adm_mean_service(p));
}

/*
 * Whether a request can't be done in time even by an idle target. Only nine
 * in ten of its group being slower is proof enough: on an idle slot a try
 * costs nobody anything. What was measured long ago proves nothing: targets
 * that were slow for a while, and refusals since, would leave no answer to
 * learn from, and every caller with a short deadline would be refused for ever.
 */
bool adm_deadline_too_short(const struct adm_pool *p, const struct adm_req *r,
			    int64_t now)
{
	const struct adm_est *e = adm_est_for(p, r->size_group);

	return now - e->sampled_at < ADM_EST_STALE &&
	       now + (int64_t)e->low > r->deadline;
}
