#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "msg_rate.h"

#define JOBS 2000

/* Asks for a line of each job; tells which are written. */
static unsigned int ask(struct msg_rate *r, int64_t second, bool *written)
{
	unsigned int n = 0;
	char job[24];
	int i;

	msg_rate_second(r, second);
	for (i = 0; i < JOBS; i++) {
		g_snprintf(job, sizeof(job), "%016x", i * 7919);
		written[i] = msg_rate_take(r, job, MSG_SAMPLED);
		n += written[i];
	}
	return n;
}

static void a_calm_second_leaves_nothing_out(void **state)
{
	struct msg_rate r = {0};
	int i;

	assert_int_equal(msg_rate_second(&r, 1), 0);
	for (i = 0; i < 40; i++)
		assert_true(msg_rate_take(&r, "j", MSG_SAMPLED));
	assert_int_equal(msg_rate_second(&r, 2), 0);
	assert_true(msg_rate_take(&r, "other", MSG_SAMPLED));
}

/*
 * An engineer follows one job through a busy minute: its acceptance was logged
 * and its runs and its end were not, as each line took its chance by itself.
 * Of a job that is shown by a message with many lines all lines are there.
 */
static void a_job_is_shown_whole_or_not_at_all(void **state)
{
	struct msg_rate starts = {0};
	struct msg_rate ends = {0};
	static bool first[JOBS];
	static bool start[JOBS];
	static bool end[JOBS];
	unsigned int n;
	char job[24];
	int i;
	int k;

	ask(&starts, 1, first);
	ask(&ends, 1, first);
	/* each job has three starts, and one end */
	msg_rate_second(&starts, 2);
	for (k = 0; k < 3; k++)
		for (i = 0; i < JOBS; i++) {
			g_snprintf(job, sizeof(job), "%016x", i * 7919);
			msg_rate_take(&starts, job, MSG_SAMPLED);
		}
	n = ask(&starts, 3, start);
	assert_in_range(n, 5, 40);
	n = ask(&ends, 2, end);
	assert_in_range(n, 25, 100);
	for (i = 0; i < JOBS; i++)
		assert_true(!start[i] || end[i]);
	ask(&starts, 4, first);
	ask(&starts, 5, end);
	for (i = 0; i < JOBS; i++)
		assert_true(!start[i] || end[i]);
}

static void a_failure_is_written_beside_a_flood(void **state)
{
	struct msg_rate r = {0};
	static bool written[JOBS];

	ask(&r, 1, written);
	ask(&r, 2, written);
	msg_rate_second(&r, 3);
	assert_true(msg_rate_take(&r, "fails", MSG_FAILURE));
	assert_true(r.written < 200);
}

static void no_second_writes_more_than_its_most(void **state)
{
	struct msg_rate r = {0};
	unsigned int n = 0;
	static bool written[JOBS];
	int i;

	assert_int_equal(ask(&r, 1, written), 200);
	assert_int_equal(msg_rate_second(&r, 2), JOBS - 200);
	for (i = 0; i < JOBS; i++)
		n += msg_rate_take(&r, "fails", MSG_FAILURE);
	assert_int_equal(n, 200);
	assert_int_equal(msg_rate_second(&r, 3), JOBS - 200);
	for (n = 0, i = 0; i < JOBS; i++)
		n += msg_rate_take(&r, NULL, MSG_PLAIN);
	assert_int_equal(n, 50);
}

/* After a flood all jobs are shown again. */
static void a_flood_that_is_over_hides_nothing(void **state)
{
	struct msg_rate r = {0};
	static bool written[JOBS];

	ask(&r, 1, written);
	msg_rate_second(&r, 5);
	assert_int_equal(r.share, MSG_RATE_ALL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_calm_second_leaves_nothing_out),
		cmocka_unit_test(a_job_is_shown_whole_or_not_at_all),
		cmocka_unit_test(a_failure_is_written_beside_a_flood),
		cmocka_unit_test(no_second_writes_more_than_its_most),
		cmocka_unit_test(a_flood_that_is_over_hides_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
