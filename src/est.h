#ifndef EST_H
#define EST_H

/* Task time estimation: corrects callers' estimates by regression. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Predicts how long tasks take from those that have completed. Callers'
 * estimates are mostly too low and too widely spread: on a day of 1,000 jobs
 * the estimates of one queue had a spread of 1.0 (standard deviation of the
 * logarithm) where the true times had 0.6, with a correlation of 0.6, and their
 * mean was too low by a factor of 1.6. A linear regression over the logarithms
 * for each queue corrects both.
 */
struct est;

struct est *est_new(void);
void est_free(struct est *e);
void est_clear(struct est *e);
void est_learn(struct est *e, const char *queue, uint32_t estimate_ms,
	       int64_t took_ms);
bool est_is_learned(const struct est *e, const char *queue);
double est_scale(const struct est *e, const char *queue, uint32_t estimate_ms);

#endif
