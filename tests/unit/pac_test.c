#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "pac.h"

#define BOUND_MS 100

struct fixture {
	struct jtb *jtb;
	struct jtb_worker *w;
	struct jtb_run *serving;
	struct jtb_run *best_effort;
	int changes;
	int64_t now;
};

static void on_pace(void *arg, struct jtb_run *run, int percent)
{
	struct fixture *f = arg;

	run->pace = percent;
	f->changes++;
}

static const struct pac_ops pac_callbacks = {.pace = on_pace};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct jtb_step serving = {.count = 1,
				   .cpu = 1000,
				   .flags = JTB_LASTS,
				   .tail_ms = BOUND_MS};
	struct jtb_step best_effort = {
		.count = 1, .cpu = 1000, .flags = JTB_LASTS | JTB_FILLS};
	struct jtb_name n = {.id = "s"};

	f->jtb = jtb_new(NULL, NULL);
	jobs_config(f->jtb, 1, "p", 3);
	jobs_worker(f->jtb, "w", 4000, false);
	jobs_job(f->jtb, "s", &serving, 1, JOBS_WALL_MS);
	jobs_job(f->jtb, "f", &best_effort, 1, JOBS_WALL_MS);
	jobs_start(f->jtb, "s", 0, 0, 1, "w");
	jobs_start(f->jtb, "f", 0, 0, 1, "w");
	f->w = jtb_worker(f->jtb, "w");
	f->serving = jtb_find_run(f->jtb, &n, 1, "w");
	g_strlcpy(n.id, "f", sizeof(n.id));
	f->best_effort = jtb_find_run(f->jtb, &n, 1, "w");
	f->serving->percent = 100;
	f->best_effort->percent = 100;
	f->now = 10000;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	jtb_free(f->jtb);
	g_free(f);
	return 0;
}

static void update(struct fixture *f, int tail_ms, int64_t after_ms)
{
	f->now += after_ms;
	f->serving->figure = tail_ms;
	pac_update(f->w, f->now, &pac_callbacks, f);
}

/*
 * Guards against users of a serving task who wait too long while a best-effort
 * task runs beside it. The bound may be exceeded for 4 s at most: by then the
 * best-effort task is paused.
 */
static void best_effort_task_is_paused_in_time(void **state)
{
	struct fixture *f = *state;
	int64_t from = f->now;

	while (f->best_effort->pace > 0 && f->now - from < 4000)
		update(f, 150, 500);
	assert_int_equal(f->best_effort->pace, 0);
	assert_true(f->now - from <= 2500);
	assert_int_equal(f->serving->pace, 100);
}

/* The pace of a paused task is increased in small steps. */
static void pace_is_increased_in_small_steps(void **state)
{
	struct fixture *f = *state;
	int i;

	f->best_effort->pace = 0;
	update(f, 30, 500);
	assert_int_equal(f->best_effort->pace, 15);
	for (i = 0; i < 10; i++)
		update(f, 30, 500);
	assert_int_equal(f->best_effort->pace, 100);
}

/*
 * Between the two thresholds nothing changes, so that the pace doesn't
 * oscillate.
 */
static void near_the_bound_nothing_changes(void **state)
{
	struct fixture *f = *state;

	f->best_effort->pace = 50;
	update(f, 80, 500);
	update(f, 85, 500);
	assert_int_equal(f->changes, 0);
}

/* A figure from before a change does not cause another one. */
static void figure_from_before_a_change_is_ignored(void **state)
{
	struct fixture *f = *state;

	update(f, 150, 500);
	update(f, 150, 100);
	update(f, 150, 100);
	assert_int_equal(f->changes, 1);
	assert_int_equal(f->best_effort->pace, 50);
}

/*
 * A serving task that is still starting, or reports no figure, slows nothing
 * down.
 */
static void task_not_serving_yet_is_ignored(void **state)
{
	struct fixture *f = *state;

	f->serving->percent = 50;
	update(f, 500, 500);
	f->serving->percent = 100;
	update(f, -1, 500);
	assert_int_equal(f->best_effort->pace, 100);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(best_effort_task_is_paused_in_time),
		T(pace_is_increased_in_small_steps),
		T(near_the_bound_nothing_changes),
		T(figure_from_before_a_change_is_ignored),
		T(task_not_serving_yet_is_ignored),
	};

	return cmocka_run_group_tests_name("pac", tests, NULL, NULL);
}
