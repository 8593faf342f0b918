#include "adm_int.h"

/*
 * Targets that fail and targets that are slow, judged by what our own requests
 * met there. A target that fails everything at once is always idle, and any
 * rule that looks for idle targets would send it nearly all work; so failures
 * count, and their speed doesn't.
 */

/* Weight of an attempt in the share of failures: about the last eight. */
#define ADM_FAIL_WEIGHT (1.0 / 8)

/*
 * Five failures in a row: with one request in ten failing for reasons of its
 * own that happens once in 100,000, a dead target shows it within its slots.
 */
#define ADM_EJECT_CONSECUTIVE 5

/* Or more than half of the last ones, once there were enough to tell. */
#define ADM_EJECT_FAIL_RATE 0.5
#define ADM_EJECT_MIN_SAMPLES 16

/*
 * Ejected for a second at first, so that a restarted target is back soon; then
 * twice as long each time, up to 30 s, when a probe costs a caller at most two
 * tries a minute. A quarter of chance keeps entry VMs from probing at once.
 */
#define ADM_EJECT_MIN ADM_SEC
#define ADM_EJECT_MAX (30 * ADM_SEC)

/* Good answers in a row that end an ejection. */
#define ADM_PROBES_TO_RESTORE 3

/* A share of failures of 1 counts as being 17 times busier. */
#define ADM_FAIL_PENALTY 16.0

/*
 * Slow from 2.5 times the usual time on, no more below 1.6; between them
 * nothing changes, so that it doesn't flap. A sample weighs 1/16: a target ten
 * times slower is seen after three answers, a single long request in a mix
 * of long and short ones isn't taken for one. While slow there are few
 * samples, and each weighs 1/4.
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
			       const struct adm_req *r, int64_t service);

/* How much worse than an idle healthy target; 1 is as good. */
double adm_health_penalty(const struct adm_target *t)
{
	return t->latency_ratio * (1 + ADM_FAIL_PENALTY * t->fail_rate);
}

/*
 * Load: a fault of all targets, or requests that make every target fail. Harm:
 * ejecting one after the other crowds all work onto the last. Limit: half of
 * the targets that take work; beyond that the cause isn't in the targets, and
 * failing ones are only chosen later than others.
 */
static bool adm_may_eject(const struct adm_pool *p)
{
	int out = p->n_health[ADM_EJECTED];

	return 2 * (out + 1) <= adm_usable_targets(p) + out;
}

static void adm_eject(struct adm *a, struct adm_target *t, int64_t now)
{
	int64_t us = t->ejection_us ? 2 * t->ejection_us : ADM_EJECT_MIN;

	t->ejection_us = MIN(us, ADM_EJECT_MAX);
	t->health = ADM_EJECTED;
	t->probes_ok = 0;
	t->ejected_until = now + t->ejection_us +
			   adm_random(a, (uint32_t)(t->ejection_us / 4));
	a->stats.ejected++;
}

static void adm_record_failure(struct adm *a, struct adm_pool *p,
			       struct adm_target *t, bool probe, int64_t now)
{
	t->consecutive_fails++;
	t->samples++;
	t->fail_rate += ADM_FAIL_WEIGHT * (1 - t->fail_rate);
	if (t->health == ADM_EJECTED) {
		/* those still running from before the ejection tell no more */
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

/* Compares with the usual time of requests of the same declared size. */
static void adm_record_latency(const struct adm_pool *p, struct adm_target *t,
			       const struct adm_req *r, int64_t service)
{
	const struct adm_est *e = adm_est_for(p, r->size_group);
	double ratio = e->mean > 0 ? (double)service / e->mean : 1;
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
 * Notes how an attempt ended. Refusals for load and callers who left say
 * nothing about health.
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
	case ADM_DONE_LEFT:
		break;
	}
}
