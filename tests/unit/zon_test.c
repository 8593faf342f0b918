#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "zon.h"

/* Workers of a zone fall silent without an answer in between. */
static void fall_silent(struct zon *z, struct zon_zone *zone)
{
	int i;

	for (i = 1; i < ZON_SILENT_WORKERS; i++)
		assert_false(zon_record_silent(z, zone));
	assert_true(zon_record_silent(z, zone));
	assert_false(zon_record_silent(z, zone));
}

/* A zone is silent from the first workers in a row until one answers. */
static void zone_is_silent_until_a_worker_answers(void **state)
{
	struct zon *z = zon_new();
	struct zon_zone *a = zon_zone(z, "a");
	struct zon_zone *b = zon_zone(z, "b");

	assert_ptr_equal(zon_zone(z, "a"), a);
	assert_false(zon_is_silent(z, a));
	fall_silent(z, a);
	assert_true(zon_is_silent(z, a));
	assert_false(zon_is_silent(z, b));
	assert_true(zon_record_answer(z, a));
	assert_false(zon_record_answer(z, a));
	assert_false(zon_is_silent(z, a));
	zon_free(z);
}

/*
 * Guards against a zone that gets no work as a rack of it loses its power: the
 * workers of other racks answer in between.
 */
static void crashes_between_answers_make_no_zone_silent(void **state)
{
	struct zon *z = zon_new();
	struct zon_zone *a = zon_zone(z, "a");
	int i;

	zon_zone(z, "b");
	for (i = 0; i < 20; i++) {
		assert_false(zon_record_silent(z, a));
		assert_false(zon_record_silent(z, a));
		assert_false(zon_record_answer(z, a));
	}
	assert_false(zon_is_silent(z, a));
	zon_free(z);
}

/*
 * Guards against work that waits everywhere: a leader that reaches no worker
 * of any zone is cut off itself.
 */
static void no_zone_is_silent_if_all_are(void **state)
{
	struct zon *z = zon_new();
	struct zon_zone *a = zon_zone(z, "a");
	struct zon_zone *b = zon_zone(z, "b");

	fall_silent(z, a);
	fall_silent(z, b);
	assert_false(zon_is_silent(z, a));
	assert_false(zon_is_silent(z, b));
	zon_record_answer(z, b);
	assert_true(zon_is_silent(z, a));
	zon_clear(z);
	assert_false(zon_is_silent(z, a));
	zon_free(z);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(zone_is_silent_until_a_worker_answers),
		cmocka_unit_test(crashes_between_answers_make_no_zone_silent),
		cmocka_unit_test(no_zone_is_silent_if_all_are),
	};

	return cmocka_run_group_tests_name("zon", tests, NULL, NULL);
}
