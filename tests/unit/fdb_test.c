#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <sys/resource.h>

#include "err.h"
#include "fdb.h"

static const struct fdb_want wants[FDB_PARTS] = {
	[FDB_FILES] = {.least = 32},
	[FDB_PEERS] = {.least = 96, .weight = 1},
	[FDB_OPERATORS] = {.least = 16},
	[FDB_CALLERS] = {.least = 32, .weight = 4},
	[FDB_TARGETS] = {.least = 48, .weight = 8},
};

/* Guards against a part that takes what another needs. */
static void shares_never_add_up_to_more(void **state)
{
	struct fdb f;
	int limit;
	int sum;
	size_t i;

	for (limit = 224; limit < 10000; limit += 37) {
		assert_true(fdb_split(&f, limit, wants, NULL));
		for (sum = 0, i = 0; i < FDB_PARTS; i++) {
			assert_true(f.share[i] >= wants[i].least);
			sum += f.share[i];
		}
		assert_in_range(sum, limit - FDB_PARTS, limit);
	}
	assert_int_equal(f.share[FDB_FILES], 32);
}

/* Guards against a daemon that starts and can't keep its data folder. */
static void too_few_are_refused_with_both_figures(void **state)
{
	struct fdb f;
	GError *err = NULL;

	assert_false(fdb_split(&f, 223, wants, &err));
	assert_true(g_error_matches(err, ERR_DOMAIN, ERR_INPUT));
	assert_non_null(strstr(err->message, "223"));
	assert_non_null(strstr(err->message, "224"));
	g_error_free(err);
}

/* Guards against a daemon that counts on more than it may have. */
static void the_lesser_limit_counts(void **state)
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

static void each_part_is_told(void **state)
{
	const struct fdb_use use[FDB_PARTS] = {[FDB_TARGETS] = {7, 3}};
	GString *out = g_string_new(NULL);
	struct fdb f;

	assert_true(fdb_split(&f, 1000, wants, NULL));
	fdb_text(&f, use, out);
	assert_non_null(strstr(out->str, "endive_descriptors_limit 1000\n"));
	assert_non_null(strstr(out->str, "_share{part=\"files\"} 32\n"));
	assert_non_null(strstr(out->str, "_used{part=\"targets\"} 7\n"));
	assert_non_null(strstr(out->str, "_total{part=\"targets\"} 3\n"));
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(shares_never_add_up_to_more),
		cmocka_unit_test(too_few_are_refused_with_both_figures),
		cmocka_unit_test(the_lesser_limit_counts),
		cmocka_unit_test(each_part_is_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
