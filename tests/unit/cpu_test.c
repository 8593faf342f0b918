#include "cpu.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

/* Works for about a millisecond. */
static void spend(void)
{
	gint64 until = g_get_monotonic_time() + 1000;

	while (g_get_monotonic_time() < until)
		;
}

/* Guards against work that is charged to its caller as well. */
static void test_inner_work_is_charged_once(void **state)
{
	uint64_t log = cpu_used_us(CPU_LOG);
	uint64_t apply = cpu_used_us(CPU_APPLY);
	gint64 from = g_get_monotonic_time();
	enum cpu_kind before = cpu_enter(CPU_LOG);
	enum cpu_kind outer;
	uint64_t took;

	spend();
	outer = cpu_enter(CPU_APPLY);
	assert_int_equal(outer, CPU_LOG);
	spend();
	cpu_leave(outer);
	cpu_leave(before);
	took = (uint64_t)(g_get_monotonic_time() - from);
	log = cpu_used_us(CPU_LOG) - log;
	apply = cpu_used_us(CPU_APPLY) - apply;
	assert_true(log > 0);
	assert_true(apply > 0);
	assert_true(log + apply <= took + 2);
}

/* Guards against a kind that operators don't see. */
static void test_every_kind_is_told(void **state)
{
	GString *out = g_string_new(NULL);
	int i;

	cpu_text(out);
	for (i = CPU_LOOP + 1; i < CPU_KINDS; i++) {
		char *line = g_strdup_printf(
			"endive_work_seconds_total{kind=\"%s\"} ", cpu_name(i));

		assert_non_null(strstr(out->str, line));
		g_free(line);
	}
	g_string_free(out, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_inner_work_is_charged_once),
		cmocka_unit_test(test_every_kind_is_told),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
