#ifndef SLW_H
#define SLW_H

/* Slow workers: how long tasks take on a worker against the same elsewhere. */

#include <stdbool.h>
#include <stdint.h>

/* What the ends of tasks have told of a worker's speed. */
struct slw {
	/* mean logarithm of the time taken to the time expected; decayed */
	double log_ratio;
	uint32_t jobs; /* jobs that it is a mean of, up to SLW_MIN_JOBS */
	uint64_t last_job; /* number + 1 of the job of the last sample */
	int64_t sampled_ms; /* last sample */
};

void slw_record(struct slw *s, double expected_ms, int64_t took_ms,
		uint64_t job, int64_t now_ms);
double slw_ratio(const struct slw *s);
bool slw_is_slow(const struct slw *s);
bool slw_is_due(const struct slw *s, int64_t now_ms);

#endif
