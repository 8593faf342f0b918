#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "slw.h"

/* Records tasks of so many jobs, each with a time against 1000 ms expected. */
static void record(struct slw *s, int jobs, int64_t took_ms)
{
	static uint64_t job;
	int i;

	for (i = 0; i < jobs; i++)
		slw_record(s, 1000, took_ms, job++, 1);
}

/* A worker is slow once several jobs tell so, and sound once others do. */
static void several_jobs_tell_that_a_worker_is_slow(void **state)
{
	struct slw s = {0};

	record(&s, 2, 6000);
	assert_false(slw_is_slow(&s));
	record(&s, 1, 6000);
	assert_true(slw_is_slow(&s));
	assert_true(slw_ratio(&s) > 5 && slw_ratio(&s) < 7);
	record(&s, 4, 1000);
	assert_false(slw_is_slow(&s));
}

/* Guards against a worker that is avoided for one job of long tasks. */
static void one_bad_job_makes_no_worker_slow(void **state)
{
	struct slw s = {0};
	int i;

	record(&s, 3, 1000);
	for (i = 0; i < 20; i++)
		slw_record(&s, 1000, 60000, 900, 1);
	assert_false(slw_is_slow(&s));
}

/* Guards against a worker that is avoided since its tasks are uneven. */
static void uneven_tasks_make_no_worker_slow(void **state)
{
	struct slw s = {0};
	int i;

	for (i = 0; i < 100; i++) {
		record(&s, 1, i % 2 ? 400 : 2500);
		assert_false(slw_is_slow(&s));
	}
}

/* Times that aren't known say nothing. */
static void sample_without_a_time_is_ignored(void **state)
{
	struct slw s = {0};

	slw_record(&s, 0, 1000, 1, 1);
	slw_record(&s, 1000, 0, 2, 1);
	assert_int_equal(s.jobs, 0);
}

/* A slow worker is tried again some time after its last sample. */
static void slow_worker_is_due_after_a_while(void **state)
{
	struct slw s = {0};

	record(&s, 3, 6000);
	assert_false(slw_is_due(&s, 1000));
	assert_true(slw_is_due(&s, 60000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(several_jobs_tell_that_a_worker_is_slow),
		cmocka_unit_test(one_bad_job_makes_no_worker_slow),
		cmocka_unit_test(uneven_tasks_make_no_worker_slow),
		cmocka_unit_test(sample_without_a_time_is_ignored),
		cmocka_unit_test(slow_worker_is_due_after_a_while),
	};

	return cmocka_run_group_tests_name("slw", tests, NULL, NULL);
}
