#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "wkr.h"

#define NOW_MS 100000
#define LEASE_MS 5000

static const struct evd_moment now = {
	.now_ms = NOW_MS,
	.led_since_ms = NOW_MS - 60000,
};

/* Each kind of evidence has a distinct name in the logs. */
static void every_kind_has_a_distinct_name(void **state)
{
	int i;
	int j;

	for (i = 0; i < EVD_KINDS; i++) {
		assert_non_null(evd_name(i));
		for (j = 0; j < i; j++)
			assert_string_not_equal(evd_name(i), evd_name(j));
	}
}

/* Shows a run at 10 percent in n lists, one each step_ms. */
static void show_run(struct jtb_run *run, int n, int64_t step_ms)
{
	int i;

	for (i = 0; i < n; i++)
		evd_record_running(run, 10, run->last_running_ms + step_ms);
}

/* Guards against a run that never ends: lists show it without progress. */
static void run_without_progress_stands_still(void **state)
{
	struct jtb_run run = {.percent = -1};

	show_run(&run, 9, 500);
	assert_false(evd_stands_still(&run, 4000));
	show_run(&run, 1, 500);
	assert_true(evd_stands_still(&run, 4000));
	evd_record_running(&run, 11, run.last_running_ms + 500);
	assert_false(evd_stands_still(&run, 4000));
}

/*
 * Guards against the stop of a run that goes on: its worker answered nothing
 * for a while, or another replica led.
 */
static void unseen_run_does_not_stand_still(void **state)
{
	struct jtb_run run = {.percent = -1};

	show_run(&run, 2, 500);
	show_run(&run, 1, 60000);
	assert_false(evd_stands_still(&run, 4000));
}

/*
 * A worker that was unreachable for long may return: only its leases have
 * expired, and the evidence is not permanent.
 */
static void expired_lease_is_not_permanent_evidence(void **state)
{
	struct evd_worker w = {.granted_at = NOW_MS - 2 * LEASE_MS,
			       .failed_since = NOW_MS - LEASE_MS};
	struct evd e;

	assert_true(evd_lease_over(&w, LEASE_MS, &now, &e));
	assert_int_equal(e.why, EVD_LEASE);
	assert_int_equal(e.as_of_ms, w.granted_at);
	assert_false(evd_is_permanent(&e));
}

/*
 * Guards against a task that runs twice: its worker is partitioned while one
 * list of VMs lacks the worker's row.
 */
static void absence_from_one_list_is_not_evidence(void **state)
{
	struct evd_vm vm = {.asked_ms = NOW_MS - 10, .absent_ms = 0};
	struct evd e;

	assert_false(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
	/* several right behind it */
	vm.absent_ms = 599;
	assert_false(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
	vm.absent_ms = 600;
	assert_true(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
	assert_int_equal(e.why, EVD_VM_NONE);
	assert_true(evd_is_permanent(&e));
}

/*
 * Guards against a task that runs twice: its worker is partitioned while the
 * list does not name the worker on a VM that is up.
 */
static void list_without_worker_names_is_not_evidence(void **state)
{
	struct evd_vm vm = {.asked_ms = NOW_MS - 10,
			    .absent_ms = 9000,
			    .worker_unknown = true};
	struct evd e;

	assert_false(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
}

/*
 * A list requested before the worker became unreachable is no evidence; a later
 * one that has its VM as not up is.
 */
static void list_from_before_the_failure_is_not_evidence(void **state)
{
	struct evd_vm vm = {.asked_ms = NOW_MS - 600, .listed = true};
	struct evd e;

	assert_false(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
	assert_false(evd_vm_over(&vm, 0, &now, &e));
	assert_true(evd_vm_over(&vm, NOW_MS - 700, &now, &e));
	assert_int_equal(e.why, EVD_VM_DOWN);
	vm.up = true;
	assert_false(evd_vm_over(&vm, NOW_MS - 700, &now, &e));
}

/*
 * A list that has the worker's VM up is no evidence, even if it does not name
 * the worker.
 */
static void listed_vm_that_is_up_is_not_evidence(void **state)
{
	struct evd_vm vm = {
		.asked_ms = NOW_MS - 10, .listed = true, .up = true};
	struct evd e;

	vm.absent_ms = 9000;
	assert_false(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
}

/* A worker is over once its VM is listed with another worker. */
static void another_worker_on_the_vm_is_evidence(void **state)
{
	struct evd_vm vm = {.asked_ms = NOW_MS - 10,
			    .listed = true,
			    .up = true,
			    .other = true};
	struct evd e;

	assert_true(evd_vm_over(&vm, NOW_MS - 500, &now, &e));
	assert_int_equal(e.why, EVD_VM_OTHER);
}

/*
 * Guards against a VM given up by one list that is looked at again: time counts
 * from list to list, an outage between two lists counts as one interval, and a
 * list that has the VM again ends the count.
 */
static void only_new_lists_show_that_a_vm_is_gone(void **state)
{
	struct evd_absence a = {0};
	int64_t asked = NOW_MS - 1;
	int lists = 0;
	int i;

	for (i = 0; i < 1000; i++)
		assert_false(evd_vm_gone(&a, false, asked, NOW_MS + 100 * i));
	asked = NOW_MS + 100000;
	assert_false(evd_vm_gone(&a, false, asked, asked));
	while (!evd_vm_gone(&a, false, asked, asked)) {
		asked += 800;
		lists++;
	}
	assert_int_equal(lists, 6);
	assert_false(evd_vm_gone(&a, true, asked + 800, asked + 800));
	assert_false(evd_vm_gone(&a, false, asked + 1600, asked + 1600));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(run_without_progress_stands_still),
		cmocka_unit_test(unseen_run_does_not_stand_still),
		cmocka_unit_test(every_kind_has_a_distinct_name),
		cmocka_unit_test(expired_lease_is_not_permanent_evidence),
		cmocka_unit_test(absence_from_one_list_is_not_evidence),
		cmocka_unit_test(list_without_worker_names_is_not_evidence),
		cmocka_unit_test(list_from_before_the_failure_is_not_evidence),
		cmocka_unit_test(listed_vm_that_is_up_is_not_evidence),
		cmocka_unit_test(another_worker_on_the_vm_is_evidence),
		cmocka_unit_test(only_new_lists_show_that_a_vm_is_gone),
	};

	return cmocka_run_group_tests_name("evd", tests, NULL, NULL);
}
