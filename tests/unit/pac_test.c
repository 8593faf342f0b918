#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "pac.h"

#define BOUND_MS 100

struct bed {
	struct jtb *jtb;
	struct jtb_worker *w;
	struct jtb_run *serves;
	struct jtb_run *fills;
	int changes;
	int64_t now;
};

static void bed_pace(void *arg, struct jtb_run *run, int percent)
{
	struct bed *b = arg;

	run->pace = percent;
	b->changes++;
}

static const struct pac_ops bed_ops = {.pace = bed_pace};

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	struct jtb_step serves = {.count = 1,
				  .cpu = 1000,
				  .flags = JTB_LONG_RUNNING,
				  .slo_ms = BOUND_MS};
	struct jtb_step fills = {.count = 1,
				 .cpu = 1000,
				 .flags = JTB_LONG_RUNNING | JTB_BEST_EFFORT};
	struct jtb_name n = {.id = "s"};

	b->jtb = jtb_new(NULL, NULL);
	jobs_config(b->jtb, 1, "p", 3);
	jobs_worker(b->jtb, "w", 4000, false);
	jobs_job(b->jtb, "s", &serves, 1, JOBS_WALL_MS);
	jobs_job(b->jtb, "f", &fills, 1, JOBS_WALL_MS);
	jobs_start(b->jtb, "s", 0, 0, 1, "w");
	jobs_start(b->jtb, "f", 0, 0, 1, "w");
	b->w = jtb_worker(b->jtb, "w");
	b->serves = jtb_find_run(b->jtb, &n, 1, "w");
	g_strlcpy(n.id, "f", sizeof(n.id));
	b->fills = jtb_find_run(b->jtb, &n, 1, "w");
	b->serves->percent = 100;
	b->fills->percent = 100;
	b->now = 10000;
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	jtb_free(b->jtb);
	g_free(b);
	return 0;
}

static void look(struct bed *b, int tail_ms, int64_t after_ms)
{
	b->now += after_ms;
	b->serves->metric_value = tail_ms;
	pac_look(b->w, b->now, &bed_ops, b);
}

/*
 * Users of what serves wait too long for as long as something fills beside it.
 * The bound may be missed for 4 s at most: by then what fills stands still.
 */
static void what_fills_stands_still_in_time(void **state)
{
	struct bed *b = *state;
	int64_t from = b->now;

	while (b->fills->pace > 0 && b->now - from < 4000)
		look(b, 150, 500);
	assert_int_equal(b->fills->pace, 0);
	assert_true(b->now - from <= 2500);
	assert_int_equal(b->serves->pace, 100);
}

static void it_is_given_back_in_small_steps(void **state)
{
	struct bed *b = *state;
	int i;

	b->fills->pace = 0;
	look(b, 30, 500);
	assert_int_equal(b->fills->pace, 15);
	for (i = 0; i < 10; i++)
		look(b, 30, 500);
	assert_int_equal(b->fills->pace, 100);
}

/* Between the two marks nothing changes, so that it doesn't swing. */
static void near_its_bound_nothing_changes(void **state)
{
	struct bed *b = *state;

	b->fills->pace = 50;
	look(b, 80, 500);
	look(b, 85, 500);
	assert_int_equal(b->changes, 0);
}

/* A figure of before a change says nothing of after it. */
static void a_change_is_waited_for(void **state)
{
	struct bed *b = *state;

	look(b, 150, 500);
	look(b, 150, 100);
	look(b, 150, 100);
	assert_int_equal(b->changes, 1);
	assert_int_equal(b->fills->pace, 50);
}

/* What has just begun, or tells no figure, slows nobody down. */
static void what_doesnt_serve_yet_counts_not(void **state)
{
	struct bed *b = *state;

	b->serves->percent = 50;
	look(b, 500, 500);
	b->serves->percent = 100;
	look(b, -1, 500);
	assert_int_equal(b->fills->pace, 100);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(what_fills_stands_still_in_time),
		T(it_is_given_back_in_small_steps),
		T(near_its_bound_nothing_changes),
		T(a_change_is_waited_for),
		T(what_doesnt_serve_yet_counts_not),
	};

	return cmocka_run_group_tests_name("pac", tests, NULL, NULL);
}
