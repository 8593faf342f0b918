#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gcm.h"

#define BATCHES 100

/* Batches sent in a second of commands, each stored after so long. */
static int batches(struct gcm *g, int64_t took_ms)
{
	int64_t now;
	int n = 0;

	for (now = 1000; now < 2000; now++) {
		if (gcm_wait_ms(g, now))
			continue;
		gcm_sent(g, now);
		gcm_stored(g, took_ms);
		n++;
	}
	return n;
}

static void the_first_batch_waits_for_nothing(void **state)
{
	struct gcm g = {0};

	assert_int_equal(gcm_wait_ms(&g, 1000), 0);
}

static void a_fast_log_is_not_waited_for(void **state)
{
	struct gcm g = {0};

	assert_int_equal(batches(&g, 1), 200);
}

/*
 * In a burst the log of a busy leader takes 20 ms for a batch. One every 5 ms
 * kept its loop at syncs, and ends of runs waited for their turn.
 */
static void a_slow_log_gets_fewer_and_larger_batches(void **state)
{
	struct gcm g = {0};

	assert_in_range(batches(&g, 20), 30, 45);
}

/* A disk that takes seconds for a while must not hold the next batch as long. */
static void no_batch_waits_long(void **state)
{
	struct gcm g = {0};
	int i;

	for (i = 0; i < BATCHES; i++)
		gcm_stored(&g, 5000);
	gcm_sent(&g, 1000);
	assert_int_equal(gcm_wait_ms(&g, 1000), 50);
	assert_int_equal(gcm_wait_ms(&g, 1050), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_first_batch_waits_for_nothing),
		cmocka_unit_test(a_fast_log_is_not_waited_for),
		cmocka_unit_test(a_slow_log_gets_fewer_and_larger_batches),
		cmocka_unit_test(no_batch_waits_long),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
