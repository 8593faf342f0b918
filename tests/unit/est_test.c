#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "est.h"

#define TOLERANCE 0.05

static int setup(void **state)
{
	*state = est_new();
	return 0;
}

static int teardown(void **state)
{
	est_free(*state);
	return 0;
}

static void learn(struct est *e, const char *queue, uint32_t estimate_ms,
		  int64_t took_ms, int n)
{
	while (n-- > 0)
		est_learn(e, queue, estimate_ms, took_ms);
}

static void assert_near(double value, double want)
{
	assert_true(value > want * (1 - TOLERANCE) &&
		    value < want * (1 + TOLERANCE));
}

/* Failure: jobs are refused by estimates that nothing has corrected yet. */
static void queue_is_learned_after_enough_tasks(void **state)
{
	learn(*state, "q", 100, 200, 10);
	assert_false(est_is_learned(*state, "q"));
	learn(*state, "q", 100, 200, 20);
	assert_true(est_is_learned(*state, "q"));
	assert_false(est_is_learned(*state, "other"));
}

/* The estimates of a queue with too few samples are not corrected. */
static void unknown_queue_is_not_scaled(void **state)
{
	learn(*state, "q", 100, 200, 10);
	assert_near(est_scale(*state, "q", 100), 1);
	assert_near(est_scale(*state, "other", 100), 1);
}

/*
 * Guards against jobs that look as if they could meet their objective, get
 * capacity, and are late: all estimates of their queue are too low by the same
 * factor.
 */
static void low_estimates_are_scaled(void **state)
{
	int i;

	for (i = 0; i < 40; i++) {
		est_learn(*state, "q", 100, 160);
		est_learn(*state, "q", 400, 640);
	}
	assert_near(est_scale(*state, "q", 100), 1.6);
	assert_near(est_scale(*state, "q", 1600), 1.6);
}

/* Estimates without any correlation give the mean time of the queue. */
static void uncorrelated_estimates_give_the_mean(void **state)
{
	int i;

	for (i = 0; i < 40; i++) {
		est_learn(*state, "q", 100, 400);
		est_learn(*state, "q", 1600, 400);
	}
	assert_near(est_scale(*state, "q", 200), 2);
	assert_near(est_scale(*state, "q", 800), 0.5);
}

/*
 * Estimates that are all nearly equal determine no slope: how the times vary
 * with them is chance.
 */
static void equal_estimates_give_no_slope(void **state)
{
	int i;

	for (i = 0; i < 40; i++) {
		est_learn(*state, "q", 100, 300);
		est_learn(*state, "q", 101, 200);
	}
	assert_near(est_scale(*state, "q", 1000), 2.44);
}

/* Estimates with a negative correlation are treated like those without any. */
static void negative_correlation_gives_the_mean(void **state)
{
	int i;

	for (i = 0; i < 40; i++) {
		est_learn(*state, "q", 100, 400);
		est_learn(*state, "q", 400, 100);
	}
	assert_near(est_scale(*state, "q", 800), 0.25);
}

/*
 * A step without an estimate, or a clock that did not advance, must not distort
 * the regression.
 */
static void invalid_samples_are_ignored(void **state)
{
	learn(*state, "q", 0, 100, 40);
	learn(*state, "q", 100, 0, 40);
	assert_near(est_scale(*state, "q", 100), 1);
	learn(*state, "q", 100, 200, 40);
	assert_near(est_scale(*state, "q", 100), 2);
	assert_near(est_scale(*state, "q", 0), 1);
}

/* When the work of a queue changes, older samples lose their weight. */
static void older_samples_decay(void **state)
{
	learn(*state, "q", 100, 100, 1000);
	learn(*state, "q", 100, 300, 4000);
	assert_near(est_scale(*state, "q", 100), 3);
}

/*
 * Guards against a queue whose jobs all look worthless because of one worker
 * that hangs.
 */
static void scale_is_limited(void **state)
{
	learn(*state, "q", 100, 100000, 40);
	assert_true(est_scale(*state, "q", 100) <= 5);
	est_clear(*state);
	assert_near(est_scale(*state, "q", 100), 1);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(queue_is_learned_after_enough_tasks),
		T(unknown_queue_is_not_scaled),
		T(low_estimates_are_scaled),
		T(uncorrelated_estimates_give_the_mean),
		T(negative_correlation_gives_the_mean),
		T(invalid_samples_are_ignored),
		T(equal_estimates_give_no_slope),
		T(older_samples_decay),
		T(scale_is_limited),
	};

	return cmocka_run_group_tests_name("est", tests, NULL, NULL);
}
