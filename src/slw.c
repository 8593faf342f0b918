#include "slw.h"

#include <glib.h>
#include <math.h>

/*
 * Load: some workers take several times as long for a task as others, and say
 * nothing of it. Harm: a job is as late as its last task; packing fills slow
 * workers like any other, and as tasks stay there longest, nearly every job of
 * a burst has one there. Rule: a worker whose tasks took twice the time expected
 * in the mean, over several jobs, gets a task only where no other worker has
 * room, one at a time. What is expected is learned from all workers for each
 * queue, so that a queue that takes longer than its callers say makes no worker
 * slow; a single job counts once, so that a bad job doesn't either.
 */

/* Ratio of the time taken to the time expected from which a worker is slow. */
#define SLW_RATIO 2.0
/* Jobs that must have told so. */
#define SLW_MIN_JOBS 3
/* Weight of a new sample. */
#define SLW_NEW_WEIGHT 0.3
/* Largest ratio that one sample counts for, either way. */
#define SLW_RATIO_MAX 8.0
/* Time without a sample after which a slow worker is tried again, ms. */
#define SLW_RETRY_MS 5000

/*
 * Records a task that completed after took_ms where expected_ms was expected.
 * Further tasks of the same job in a row are ignored: they may all be longer.
 */
void slw_record(struct slw *s, double expected_ms, int64_t took_ms,
		uint64_t job, int64_t now_ms)
{
	double sample;

	if (expected_ms <= 0 || took_ms <= 0 || s->last_job == job + 1)
		return;
	sample = CLAMP(log((double)took_ms / expected_ms), -log(SLW_RATIO_MAX),
		       log(SLW_RATIO_MAX));
	s->log_ratio = s->jobs ? s->log_ratio + SLW_NEW_WEIGHT *
							(sample - s->log_ratio)
			       : sample;
	s->jobs = MIN(s->jobs + 1, SLW_MIN_JOBS);
	s->last_job = job + 1;
	s->sampled_ms = now_ms;
}

/* Returns how many times as long as expected tasks take on a worker. */
double slw_ratio(const struct slw *s)
{
	return s->jobs < SLW_MIN_JOBS ? 1 : exp(s->log_ratio);
}

/* Whether a worker is slow. */
bool slw_is_slow(const struct slw *s)
{
	return slw_ratio(s) >= SLW_RATIO;
}

/* Whether a slow worker is to be tried again, as it may have recovered. */
bool slw_is_due(const struct slw *s, int64_t now_ms)
{
	return now_ms - s->sampled_ms >= SLW_RETRY_MS;
}
