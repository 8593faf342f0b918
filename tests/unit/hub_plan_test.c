#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hub_int.h"
#include "jobs_make.h"

#define ESTIMATE_MS 2000
/* Three times the estimate. */
#define TIMEOUT_MS 6000

/*
 * Guards against a run that hangs for ever, and against the stop of one whose
 * progress just wasn't read for a while.
 */
static void run_hangs_by_its_lists_only(void **state)
{
	struct jtb_step step = {
		.count = 1, .cpu = 1000, .estimate_ms = ESTIMATE_MS};
	struct jtb *t = jtb_new(NULL, NULL);
	struct jtb_name n = {.id = "a"};
	struct jtb_run *run;

	jobs_config(t, 1, "p", 3);
	jobs_worker(t, "w", 16000, false);
	jobs_job(t, "a", &step, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w");
	run = jtb_find_run(t, &n, 1, "w");
	run->pace = 100;
	evd_record_running(run, 10, 1000);
	evd_record_running(run, 10, 1000 + 10 * TIMEOUT_MS);
	assert_false(hub_run_hung(run));
	run->still_ms = TIMEOUT_MS;
	assert_false(hub_run_hung(run));
	run->still_ms = TIMEOUT_MS + 1;
	assert_true(hub_run_hung(run));
	jtb_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(run_hangs_by_its_lists_only),
	};

	return cmocka_run_group_tests_name("hub_plan", tests, NULL, NULL);
}
