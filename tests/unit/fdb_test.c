#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <sys/resource.h>

#include "err.h"
#include "fdb.h"

static const struct fdb_demand demands[FDB_PARTS] = {
	[FDB_FILES] = {.min = 32},
	[FDB_PEERS] = {.min = 96, .weight = 1},
	[FDB_OPERATORS] = {.min = 16},
	[FDB_CALLERS] = {.min = 32, .weight = 4},
	[FDB_TARGETS] = {.min = 48, .weight = 8},
};

/* Guards against shares that together exceed the limit. */
static void shares_never_exceed_limit(void **state)
{
	struct fdb f;
	int limit;
	int sum;
	size_t i;

	for (limit = 224; limit < 10000; limit += 37) {
		assert_true(fdb_split(&f, limit, demands, NULL));
		for (sum = 0, i = 0; i < FDB_PARTS; i++) {
			assert_true(f.share[i] >= demands[i].min);
			sum += f.share[i];
		}
		assert_in_range(sum, limit - FDB_PARTS, limit);
	}
	assert_int_equal(f.share[FDB_FILES], 32);
}

/* Guards against a daemon that starts but can't open its data folder. */
static void too_low_limit_is_rejected_with_both_numbers(void **state)
{
	struct fdb f;
	GError *err = NULL;

	assert_false(fdb_split(&f, 223, demands, &err));
	assert_true(g_error_matches(err, ERR_DOMAIN, ERR_INPUT));
	assert_non_null(strstr(err->message, "223"));
	assert_non_null(strstr(err->message, "224"));
	g_error_free(err);
}

/* Guards against dividing more descriptors than the process may open. */
static void lower_limit_applies(void **state)
{
	struct rlimit old;
	struct rlimit few;

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &old), 0);
	few = old;
	few.rlim_cur = 300;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &few), 0);
	assert_int_equal(fdb_limit(0, 0), 300);
	assert_int_equal(fdb_limit(4324, 200), 300);
	assert_int_equal(fdb_limit(400, 200), 200);
	assert_int_equal(fdb_limit(100, 200), 0);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &old), 0);
}

static void metrics_list_every_part(void **state)
{
	const struct fdb_use use[FDB_PARTS] = {[FDB_TARGETS] = {7, 3}};
	GString *out = g_string_new(NULL);
	struct fdb f;

	assert_true(fdb_split(&f, 1000, demands, NULL));
	fdb_append_metrics(&f, use, out);
	assert_non_null(strstr(out->str, "endive_descriptors_limit 1000\n"));
	assert_non_null(strstr(out->str, "_share{part=\"files\"} 32\n"));
	assert_non_null(strstr(out->str, "_used{part=\"targets\"} 7\n"));
	assert_non_null(strstr(out->str, "_total{part=\"targets\"} 3\n"));
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shares_never_exceed_limit),
		cmocka_unit_test(too_low_limit_is_rejected_with_both_numbers),
		cmocka_unit_test(lower_limit_applies),
		cmocka_unit_test(metrics_list_every_part),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
