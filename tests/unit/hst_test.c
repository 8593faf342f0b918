#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <stdlib.h>

#include "hst.h"

#define SEED 20261202
#define VALUES 6000

static int compare_values(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/*
 * Returns a random value of any magnitude, so that buckets of every width are
 * used.
 */
static uint64_t random_value(GRand *rand)
{
	uint64_t v = (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);

	return v >> (g_rand_int(rand) % 64);
}

static void percentiles_have_the_stated_error(void **state)
{
	static const size_t permille[] = {0, 11, 250, 500, 900, 990, 999, 1000};
	static const unsigned bits[] = {1, 4, HST_BITS, HST_BITS_MAX};
	GRand *rand = g_rand_new_with_seed(SEED);
	uint64_t values[VALUES];
	size_t b;
	size_t i;

	for (b = 0; b < G_N_ELEMENTS(bits); b++) {
		struct hst *h = hst_new(bits[b]);

		for (i = 0; i < VALUES; i++) {
			values[i] = random_value(rand);
			hst_add(h, values[i]);
		}
		qsort(values, VALUES, sizeof(values[0]), compare_values);
		for (i = 0; i < G_N_ELEMENTS(permille); i++) {
			size_t rank = (permille[i] * VALUES + 999) / 1000;
			uint64_t exact = values[rank ? rank - 1 : 0];
			uint64_t got =
				hst_percentile(h, (double)permille[i] / 10);

			assert_true(got >= exact);
			assert_true(got - exact <= exact >> bits[b]);
		}
		assert_true(hst_min(h) == values[0]);
		assert_true(hst_max(h) == values[VALUES - 1]);
		hst_free(h);
	}
	g_rand_free(rand);
}

static void merge_equals_adding_to_one_histogram(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct hst *parts[2] = {hst_new(HST_BITS), hst_new(HST_BITS)};
	struct hst *all = hst_new(HST_BITS);
	struct hst *coarse = hst_new(HST_BITS - 1);
	int i;

	for (i = 0; i < VALUES; i++) {
		uint64_t v = random_value(rand);

		hst_add(parts[i % 3 == 0], v);
		hst_add(all, v);
	}
	assert_true(hst_merge(parts[0], parts[1]));
	assert_false(hst_merge(parts[0], coarse));
	assert_int_equal(hst_count(parts[0]), VALUES);
	for (i = 0; i <= 100; i++)
		assert_true(hst_percentile(parts[0], i) ==
			    hst_percentile(all, i));
	assert_true(hst_min(parts[0]) == hst_min(all));
	assert_true(hst_max(parts[0]) == hst_max(all));
	hst_free(parts[0]);
	hst_free(parts[1]);
	hst_free(all);
	hst_free(coarse);
	g_rand_free(rand);
}

/*
 * Guards against a rank that a rounding error raises by one: 1.1 * 6000 / 100
 * is computed as slightly more than 66.
 */
static void rounding_error_does_not_raise_the_rank(void **state)
{
	struct hst *h = hst_new(HST_BITS_MAX);
	uint64_t v;

	for (v = 1; v <= VALUES; v++)
		hst_add(h, v);
	assert_int_equal(hst_percentile(h, 1.1), 66);
	hst_free(h);
}

static void empty_and_extreme_values(void **state)
{
	struct hst *h = hst_new(HST_BITS);

	assert_int_equal(hst_percentile(h, 50), 0);
	assert_int_equal(hst_min(h), 0);
	assert_true(hst_mean(h) == 0);
	hst_add(h, 0);
	hst_add(h, UINT64_MAX);
	assert_int_equal(hst_percentile(h, 50), 0);
	assert_true(hst_percentile(h, 100) == UINT64_MAX);
	hst_reset(h);
	assert_int_equal(hst_count(h), 0);
	hst_add(h, 127);
	hst_add(h, 129);
	assert_int_equal(hst_percentile(h, 50), 127);
	assert_true(hst_mean(h) == 128);
	hst_free(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(percentiles_have_the_stated_error),
		cmocka_unit_test(merge_equals_adding_to_one_histogram),
		cmocka_unit_test(rounding_error_does_not_raise_the_rank),
		cmocka_unit_test(empty_and_extreme_values),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
