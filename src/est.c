#include "est.h"

#include <math.h>

/* Least weight of completed tasks for which a queue's regression is used. */
#define EST_MIN_TASKS 20.0
/* Share of their weight that older tasks lose with each new one. */
#define EST_DECAY 0.002
/*
 * Variance of the logarithm of estimates below which no slope can be
 * determined.
 */
#define EST_MIN_VARIANCE 0.02
/* Limit of the factor, up and down, as the regression is only a prediction. */
#define EST_SCALE_MAX 5.0

/*
 * Sums over the completed tasks of a queue, with exponential decay; x: log of
 * the estimate, y: log of the time taken.
 */
struct est_regression {
	double n;
	double x;
	double y;
	double xx;
	double xy;
};

struct est {
	GHashTable *regressions; /* struct est_regression by queue */
};

/* Returns a new estimator without any samples. */
struct est *est_new(void)
{
	struct est *e = g_new0(struct est, 1);

	e->regressions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return e;
}

/* Frees the estimator; e may be NULL. */
void est_free(struct est *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->regressions);
	g_free(e);
}

/*
 * Drops all samples, for a new leader: the queues may have changed since this
 * replica last led.
 */
void est_clear(struct est *e)
{
	g_hash_table_remove_all(e->regressions);
}

/*
 * Records that a task of a queue completed after took_ms where its caller had
 * given estimate_ms. A sample without an estimate or a time is ignored.
 */
void est_learn(struct est *e, const char *queue, uint32_t estimate_ms,
	       int64_t took_ms)
{
	struct est_regression *r = g_hash_table_lookup(e->regressions, queue);
	double x;
	double y;

	if (!estimate_ms || took_ms <= 0)
		return;
	if (!r) {
		r = g_new0(struct est_regression, 1);
		g_hash_table_insert(e->regressions, g_strdup(queue), r);
	}
	x = log(estimate_ms);
	y = log((double)took_ms);
	r->n = r->n * (1 - EST_DECAY) + 1;
	r->x = r->x * (1 - EST_DECAY) + x;
	r->y = r->y * (1 - EST_DECAY) + y;
	r->xx = r->xx * (1 - EST_DECAY) + x * x;
	r->xy = r->xy * (1 - EST_DECAY) + x * y;
}

/* Whether enough tasks of a queue have completed to correct its estimates. */
bool est_is_learned(const struct est *e, const char *queue)
{
	const struct est_regression *r =
		g_hash_table_lookup(e->regressions, queue);

	return r && r->n >= EST_MIN_TASKS;
}

/*
 * Returns the factor from an estimate to the time that such a task takes; 1 if
 * there are too few samples.
 */
double est_scale(const struct est *e, const char *queue, uint32_t estimate_ms)
{
	const struct est_regression *r =
		g_hash_table_lookup(e->regressions, queue);
	double mean_x;
	double mean_y;
	double variance;
	double slope = 1;
	double x;

	if (!r || r->n < EST_MIN_TASKS || !estimate_ms)
		return 1;
	mean_x = r->x / r->n;
	mean_y = r->y / r->n;
	variance = r->xx / r->n - mean_x * mean_x;
	if (variance > EST_MIN_VARIANCE)
		slope = CLAMP((r->xy / r->n - mean_x * mean_y) / variance, 0,
			      1);
	x = log(estimate_ms);
	return CLAMP(exp(mean_y + slope * (x - mean_x) - x), 1 / EST_SCALE_MAX,
		     EST_SCALE_MAX);
}
