#include "adm_int.h"

/*
 * Outlier detection: failing and slow targets are identified by the outcomes of
 * this entry VM's requests. A target that fails all requests immediately is
 * always idle, and would attract nearly all requests of a balancer that prefers
 * idle targets (black hole); therefore failures count against a target, and the
 * time they took is ignored.
 */

/* EWMA weight of an attempt in the failure rate: about the last eight count. */
#define ADM_FAIL_WEIGHT (1.0 / 8)

/*
 * Consecutive failures that eject a target. If one request in ten fails for
 * reasons of its own, five consecutive failures happen once in 100,000; a
 * target that is down is detected by fewer attempts than it has slots.
 */
#define ADM_EJECT_CONSECUTIVE 5

/* Failure rate that ejects a target with at least this many samples. */
#define ADM_EJECT_FAIL_RATE 0.5
#define ADM_EJECT_MIN_SAMPLES 16

/*
 * Length of an ejection: 1 s at first, so that a restarted target is used again
 * soon, then doubled each time up to 30 s, which limits failed probes to two
 * per minute. A random jitter of up to a quarter keeps entry VMs from probing
 * simultaneously.
 */
#define ADM_EJECT_MIN ADM_SEC
#define ADM_EJECT_MAX (30 * ADM_SEC)

/* Consecutive successful probes that end an ejection. */
#define ADM_PROBES_TO_RESTORE 3

/* A failure rate of 1 makes a target rank as if it were 17 times busier. */
#define ADM_FAIL_PENALTY 16.0

/*
 * A target counts as slow above 2.5 times the mean service time, and as healthy
 * again below 1.6 times; the hysteresis prevents flapping. The EWMA weight of a
 * sample is 1/16: a target ten times slower is detected after three answers,
 * while a single long request in a mix of long and short ones is not enough. A
 * slow target gets few samples, and each weighs 1/4.
 */
#define ADM_SLOW_ENTER 2.5
#define ADM_SLOW_LEAVE 1.6
#define ADM_LATENCY_WEIGHT (1.0 / 16)
#define ADM_LATENCY_WEIGHT_SLOW (1.0 / 4)
#define ADM_LATENCY_RATIO_MAX 100.0

static bool adm_may_eject(const struct adm_pool *p);
static void adm_eject(struct adm *a, struct adm_target *t, int64_t now);
static void adm_record_failure(struct adm *a, struct adm_pool *p,
			       struct adm_target *t, bool probe, int64_t now);
static void adm_record_success(struct adm *a, struct adm_target *t, bool probe);
static void adm_record_latency(const struct adm_pool *p, struct adm_target *t,
			       const struct adm_req *r, int64_t service_us);

/*
 * Returns the factor by which a target ranks lower than a healthy one with the
 * same number of busy slots; 1 for a target of usual latency without failures.
 */
double adm_health_penalty(const struct adm_target *t)
{
	return t->latency_ratio * (1 + ADM_FAIL_PENALTY * t->fail_rate);
}

/*
 * Whether one more target of a pool may be ejected.
 *
 * Load: a fault common to all targets, or requests that fail on every target.
 * Harm: ejecting one target after the other concentrates all load on the
 * remaining ones, down to the last (cascading overload). Limit: half of the
 * targets that accept work; if more of them fail, the cause is not in the
 * targets, and failing ones only rank lower than others.
 */
static bool adm_may_eject(const struct adm_pool *p)
{
	int ejected = p->n_health[ADM_EJECTED];

	return 2 * (ejected + 1) <= adm_usable_targets(p) + ejected;
}

/* Ejects a target, and doubles the length of its ejections up to the limit. */
static void adm_eject(struct adm *a, struct adm_target *t, int64_t now)
{
	int64_t length_us = t->ejection_us ? 2 * t->ejection_us : ADM_EJECT_MIN;

	t->ejection_us = MIN(length_us, ADM_EJECT_MAX);
	t->health = ADM_EJECTED;
	t->probes_ok = 0;
	t->ejected_until = now + t->ejection_us +
			   adm_random(a, (uint32_t)(t->ejection_us / 4));
	a->stats.ejected++;
}

/* Counts a failed attempt, and ejects the target if it failed too often. */
static void adm_record_failure(struct adm *a, struct adm_pool *p,
			       struct adm_target *t, bool probe, int64_t now)
{
	t->consecutive_fails++;
	t->samples++;
	t->fail_rate += ADM_FAIL_WEIGHT * (1 - t->fail_rate);
	if (t->health == ADM_EJECTED) {
		/* Attempts started before the ejection don't count. */
		if (probe)
			adm_eject(a, t, now);
		return;
	}
	if (t->consecutive_fails < ADM_EJECT_CONSECUTIVE &&
	    (t->fail_rate < ADM_EJECT_FAIL_RATE ||
	     t->samples < ADM_EJECT_MIN_SAMPLES))
		return;
	if (adm_may_eject(p))
		adm_eject(a, t, now);
}

/* Counts a successful attempt; enough successful probes end an ejection. */
static void adm_record_success(struct adm *a, struct adm_target *t, bool probe)
{
	t->consecutive_fails = 0;
	t->samples++;
	t->fail_rate -= ADM_FAIL_WEIGHT * t->fail_rate;
	if (t->health != ADM_EJECTED || !probe)
		return;
	if (++t->probes_ok < ADM_PROBES_TO_RESTORE)
		return;
	t->health = ADM_HEALTHY;
	t->fail_rate = 0;
	t->latency_ratio = 1;
	t->samples = 0;
	t->ejection_us /= 2;
	a->stats.restored++;
}

/*
 * Compares the service time of an attempt, in us, with the mean of its size
 * group, and marks the target as slow or as healthy again.
 */
static void adm_record_latency(const struct adm_pool *p, struct adm_target *t,
			       const struct adm_req *r, int64_t service_us)
{
	const struct adm_est *e = adm_est_for(p, r->size_group);
	double ratio = e->mean > 0 ? (double)service_us / e->mean : 1;
	bool slow = t->health == ADM_SLOW;

	ratio = MIN(ratio, ADM_LATENCY_RATIO_MAX);
	t->latency_ratio +=
		(slow ? ADM_LATENCY_WEIGHT_SLOW : ADM_LATENCY_WEIGHT) *
		(ratio - t->latency_ratio);
	if (t->health == ADM_HEALTHY && t->latency_ratio > ADM_SLOW_ENTER)
		t->health = ADM_SLOW;
	else if (slow && t->latency_ratio < ADM_SLOW_LEAVE)
		t->health = ADM_HEALTHY;
}

/*
 * Records the outcome of an attempt. Overload refusals and cancellations
 * say nothing about the health of a target, and are ignored.
 */
void adm_health_record(struct adm *a, struct adm_pool *p, struct adm_target *t,
		       const struct adm_req *r, const struct adm_result *res,
		       int64_t now)
{
	switch (res->outcome) {
	case ADM_DONE_OK:
		adm_record_success(a, t, r->probe);
		adm_record_latency(p, t, r, res->service_us);
		break;
	case ADM_DONE_UNSENT:
	case ADM_DONE_FAILED:
	case ADM_DONE_TIMEOUT:
		adm_record_failure(a, p, t, r->probe, now);
		break;
	case ADM_DONE_BUSY:
	case ADM_DONE_CANCELLED:
		break;
	}
}
