#include "adm_int.h"

/*
 * Service time estimates and the limits derived from them. Declared sizes may
 * be wrong by a factor of 10; therefore a size only selects the group of
 * requests that a request is measured with, and all times are measured.
 */

/* With fewer samples in a group, the estimate of all requests is used. */
#define ADM_EST_MIN_SAMPLES 16

/*
 * EWMA weight of a sample. With 1/64 the mean follows a change of the load
 * within about a hundred answers, which is some seconds at the rate of one
 * pool on one entry VM, and an outlier moves the mean by only 1.6 % of its
 * excess.
 */
#define ADM_EST_WEIGHT (1.0 / 64)

/*
 * Relative step of a percentile estimate. With 5 % it reaches a value twice as
 * high within 16 answers.
 */
#define ADM_EST_QUANTILE_STEP 0.05

/*
 * Demand is sampled eight times per longest wait (queue_us), as an EWMA of
 * weight 1/4 over about the last four samples: half a longest wait tells a
 * burst from sustained overload. An overload counts as over when demand is 5 %
 * below capacity, as a sample of a few dozen requests has an error of that
 * size.
 */
#define ADM_DEMAND_WINDOWS 8
#define ADM_DEMAND_WEIGHT 0.25
#define ADM_DEMAND_RECOVERED 0.95

/* Longest wait under sustained overload, in mean service times. */
#define ADM_OVERLOAD_WAIT_MEANS 2

/*
 * Age from which an estimate no longer causes refusals, so that requests run
 * and provide new samples.
 */
#define ADM_EST_STALE (10 * ADM_SEC)

/* Share of requests faster than adm_est.low, and slower than adm_est.high. */
#define ADM_EST_TAIL 0.1

static void adm_est_update(struct adm_est *e, double x, int64_t now);

/* Returns the size group of a declared size; 0 if none is declared. */
int adm_size_group(uint64_t size_hint)
{
	int group = 0;

	while (size_hint) {
		size_hint >>= 2;
		group++;
	}
	return MIN(group, ADM_SIZE_GROUPS - 1);
}

/*
 * Returns the estimate to use for a size group: its own, or that of all
 * requests if the group has too few samples.
 */
const struct adm_est *adm_est_for(const struct adm_pool *p, int size_group)
{
	if (size_group && p->est[size_group].n >= ADM_EST_MIN_SAMPLES)
		return &p->est[size_group];
	return &p->est[0];
}

/*
 * Adds a sample x, in us, to an estimate. Each sample moves the percentiles by
 * a small step up or down; the steps are weighted so that ADM_EST_TAIL of the
 * samples lies beyond each of them.
 */
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

/* Records the service time of a complete answer. */
void adm_est_record(struct adm_pool *p, int size_group, int64_t service_us,
		    int64_t now)
{
	double x = (double)MAX(service_us, 1);

	adm_est_update(&p->est[0], x, now);
	if (size_group)
		adm_est_update(&p->est[size_group], x, now);
}

/* Returns the mean service time of a pool, us; 0 before the first answer. */
int64_t adm_mean_service(const struct adm_pool *p)
{
	return (int64_t)p->est[0].mean;
}

/*
 * Returns the latest time at which a queued request may start.
 *
 * Load: saturation, where the queue has its maximum length. Harm: a slot spent
 * on an answer that misses its deadline is wasted, and delays the next request
 * beyond its deadline too. Limit: the deadline less the mean service time of
 * the size group; most requests that start later would miss their deadline.
 */
int64_t adm_latest_start(const struct adm_pool *p, const struct adm_req *r)
{
	int64_t mean = (int64_t)adm_est_for(p, r->size_group)->mean;
	int64_t by_queue = r->offered_at + p->spec.queue_us;

	return MIN(by_queue, r->deadline - mean);
}

/*
 * Counts an offered request, and at the end of a sampling window compares the
 * demand with the capacity of the slots held. The ratio is 0 unless requests
 * wait: with free slots, the slots in use reflect the demand and not the
 * capacity.
 */
void adm_demand_record(struct adm_pool *p, int64_t now)
{
	int64_t elapsed = now - p->demand_window_start;
	double capacity;
	double ratio = 0;

	p->demand_offered++;
	if (elapsed < p->spec.queue_us / ADM_DEMAND_WINDOWS)
		return;
	capacity = (double)elapsed * MAX(p->in_flight, 1);
	if (adm_queue_len(p))
		ratio = p->demand_offered * p->est[0].mean / capacity;
	p->demand_ratio += ADM_DEMAND_WEIGHT * (ratio - p->demand_ratio);
	p->demand_window_start = now;
	p->demand_offered = 0;
	if (p->demand_ratio < ADM_DEMAND_RECOVERED)
		p->overload_since = 0;
	else if (p->demand_ratio > 1 && !p->overload_since)
		p->overload_since = now;
}

/*
 * Returns how long a request may wait for a slot, in us, apart from its
 * deadline.
 *
 * Load: bursts, and sustained overload. In a burst, waiting up to the longest
 * wait of the pool is worthwhile. Harm: once demand has exceeded capacity for
 * that long, a long queue only makes each caller wait for the longest time
 * (standing queue). Limit under sustained overload: two mean service times, a
 * queue of twice the slots held, which still keeps all of them busy.
 */
int64_t adm_max_wait(const struct adm_pool *p, int64_t now)
{
	if (!p->overload_since || now - p->overload_since <= p->spec.queue_us)
		return p->spec.queue_us;
	return MIN(p->spec.queue_us,
		   ADM_OVERLOAD_WAIT_MEANS * adm_mean_service(p));
}

/*
 * Whether even an idle target would miss a request's deadline. This requires
 * that nine in ten requests of its size group take longer, as an attempt on an
 * idle slot costs no other caller anything. A stale estimate doesn't count:
 * after a period of slow targets, refusals would prevent new samples, and every
 * caller with a short deadline would be refused permanently.
 */
bool adm_deadline_too_short(const struct adm_pool *p, const struct adm_req *r,
			    int64_t now)
{
	const struct adm_est *e = adm_est_for(p, r->size_group);

	return now - e->sampled_at < ADM_EST_STALE &&
	       now + (int64_t)e->low > r->deadline;
}
