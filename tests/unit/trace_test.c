#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "replay.h"

/* Replays a trace with each user's weights; its expectations hold for both. */
static void replay_with_all_weights(const char *name)
{
	struct pln_config users[] = {fleet_harrowgate(), fleet_jadranski()};
	char *path = g_strdup_printf("tests/traces/%s.trace", name);
	struct replay *r;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(users); i++) {
		r = replay_trace(path, &users[i], false);
		if (r->failed)
			print_error("%s\n", r->failed);
		assert_null(r->failed);
		replay_free(r);
	}
	g_free(path);
}

static void housing_rush_with_a_lost_rack(void **state)
{
	replay_with_all_weights("rush");
}

static void flare_with_a_partitioned_zone(void **state)
{
	replay_with_all_weights("flare");
}

static void wave_with_a_bad_image(void **state)
{
	replay_with_all_weights("badimage");
}

static void black_hole_worker(void **state)
{
	replay_with_all_weights("blackhole");
}

static void cancellation_flood(void **state)
{
	replay_with_all_weights("cancelflood");
}

static void second_vm_lost_right_after_repair(void **state)
{
	replay_with_all_weights("secondloss");
}

static void malformed_trace_is_refused_with_its_line(void **state)
{
	const char *const bad[] = {"verb\n", "00:00 verb\n", "00:60:00 verb\n",
				   "00:00:05 a\n00:00:04 b\n"};
	GError *err = NULL;
	GArray *lines;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		assert_null(trc_read(lstr_from(bad[i]), &err));
		assert_non_null(strstr(err->message, "line "));
		g_clear_error(&err);
	}
	lines = trc_read(LSTR("# only\n\n01:02:03  a  b # c\n"), NULL);
	assert_int_equal(lines->len, 1);
	assert_int_equal(g_array_index(lines, struct trc_line, 0).at_ms,
			 3723000);
	assert_int_equal(g_array_index(lines, struct trc_line, 0).n, 2);
	trc_free(lines);
	assert_null(trc_load("tests/traces/none.trace", &err));
	g_error_free(err);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(housing_rush_with_a_lost_rack),
		cmocka_unit_test(flare_with_a_partitioned_zone),
		cmocka_unit_test(wave_with_a_bad_image),
		cmocka_unit_test(black_hole_worker),
		cmocka_unit_test(cancellation_flood),
		cmocka_unit_test(second_vm_lost_right_after_repair),
		cmocka_unit_test(malformed_trace_is_refused_with_its_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
