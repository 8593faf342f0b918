#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/event.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "tmr.h"

#define HOUR_MS 3600000
#define PERIOD_MS 10
/* Calls before the machine is suspended, and after it. */
#define CALLS 3
/* Looks at the clock in all; a timer that spins takes far more. */
#define LOOKS_MAX 200

static int64_t suspended_ms;
static int looks; /* at the clock that counts it */

/* The machine's clocks, as if it had been suspended for that long. */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = (int)syscall(SYS_clock_gettime, clock, ts);

	if (clock != CLOCK_BOOTTIME)
		return rc;
	ts->tv_sec += suspended_ms / 1000;
	looks++;
	return rc;
}

struct calls {
	struct event_base *base;
	int64_t at[2 * CALLS];
	int n;
};

static void called(void *arg, int64_t now)
{
	struct calls *c = arg;

	c->at[c->n++] = now;
	if (c->n % CALLS == 0)
		event_base_loopbreak(c->base);
}

/*
 * Two replicas give orders at once. The VM of a leader is suspended, as for a
 * move to another host, and meanwhile another is elected. Awake again, the old
 * leader must see that its word is long past; its clock didn't count the time
 * and said that it had been sure a moment ago.
 */
static void time_goes_on_while_the_machine_is_suspended(void **state)
{
	struct event_base *base = event_base_new();
	struct tmr *t = tmr_new(base);
	int64_t before;

	suspended_ms = 0;
	before = tmr_now(t);
	suspended_ms = HOUR_MS;
	assert_true(tmr_now(t) >= before + HOUR_MS);
	tmr_free(t);
	event_base_free(base);
}

/*
 * The loop waits by a clock that stands still during a suspension, and due
 * times are on one that doesn't. A timer that fell due meanwhile is called once
 * after it, goes on with its period, and doesn't keep the loop busy.
 */
static void a_timer_outlasts_a_suspension(void **state)
{
	struct calls c = {.base = event_base_new()};
	struct tmr *t = tmr_new(c.base);
	int i;

	suspended_ms = 0;
	looks = 0;
	tmr_every(t, PERIOD_MS, called, &c);
	event_base_dispatch(c.base);
	assert_int_equal(c.n, CALLS);
	suspended_ms = HOUR_MS;
	event_base_dispatch(c.base);
	assert_int_equal(c.n, 2 * CALLS);
	for (i = 1; i < c.n; i++)
		assert_true(c.at[i] >= c.at[i - 1] + PERIOD_MS);
	assert_true(c.at[CALLS] >= c.at[CALLS - 1] + HOUR_MS);
	assert_true(c.at[c.n - 1] < c.at[CALLS] + HOUR_MS);
	assert_true(looks < LOOKS_MAX);
	tmr_free(t);
	event_base_free(c.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(time_goes_on_while_the_machine_is_suspended),
		cmocka_unit_test(a_timer_outlasts_a_suspension),
	};

	return cmocka_run_group_tests_name("tmr", tests, NULL, NULL);
}
