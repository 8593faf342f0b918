#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "cnt.h"

/* The number on the line that begins so; fails the test if there is none. */
static double value_of(const GString *text, const char *begin)
{
	char **lines = g_strsplit(text->str, "\n", -1);
	double value = -1;
	char **l;

	for (l = lines; *l; l++)
		if (g_str_has_prefix(*l, begin))
			value = g_ascii_strtod(*l + strlen(begin), NULL);
	g_strfreev(lines);
	assert_true(value >= 0);
	return value;
}

static void each_bound_counts_what_took_no_longer(void **state)
{
	GString *text = g_string_new(NULL);
	struct cnt_times t = {0};

	cnt_time(&t, 0);
	cnt_time(&t, 0.001);
	cnt_time(&t, 0.002);
	cnt_time(&t, 0.7);
	cnt_time(&t, 3600);
	cnt_times_text(text, "x_seconds", "Some times", &t);
	assert_true(g_str_has_prefix(text->str,
				     "# HELP x_seconds Some times\n"
				     "# TYPE x_seconds histogram\n"));
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"0.001\"} "), 2,
			   0);
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"0.0025\"} "),
			   3, 0);
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"0.5\"} "), 3,
			   0);
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"1\"} "), 4, 0);
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"30\"} "), 4,
			   0);
	assert_float_equal(value_of(text, "x_seconds_bucket{le=\"+Inf\"} "), 5,
			   0);
	assert_float_equal(value_of(text, "x_seconds_count "), 5, 0);
	assert_float_equal(value_of(text, "x_seconds_sum "), 3600.703, 0.001);
	g_string_free(text, TRUE);
}

static void counters_tell_their_kind(void **state)
{
	const struct cnt_def defs[] = {{"a_total", "counter", "All of a"},
				       {"b", "gauge", "B now"}};
	const uint64_t values[] = {7, 8};
	GString *text = g_string_new(NULL);

	cnt_text(text, defs, values, 2, "zone=\"z\"");
	assert_string_equal(text->str, "# HELP a_total All of a\n"
				       "# TYPE a_total counter\n"
				       "a_total{zone=\"z\"} 7\n"
				       "# HELP b B now\n"
				       "# TYPE b gauge\n"
				       "b{zone=\"z\"} 8\n");
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_bound_counts_what_took_no_longer),
		cmocka_unit_test(counters_tell_their_kind),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
