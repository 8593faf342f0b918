#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "gcm.h"

#define BATCHES 100

/*
 * Returns the number of batches sent in one second of commands, where each is
 * committed after took_ms.
 */
static int count_batches(struct gcm *g, int64_t took_ms)
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

/* The first batch is sent at once. */
static void first_batch_is_sent_at_once(void **state)
{
	struct gcm g = {0};

	assert_int_equal(gcm_wait_ms(&g, 1000), 0);
}

/* A fast log gets a batch every 5 ms. */
static void fast_log_gets_batches_at_the_least_interval(void **state)
{
	struct gcm g = {0};

	assert_int_equal(count_batches(&g, 1), 200);
}

/*
 * Guards against a busy leader whose log takes 20 ms for a batch in a burst:
 * one batch every 5 ms kept its event loop at syncs and delayed the ends of
 * runs.
 */
static void slow_log_gets_fewer_batches(void **state)
{
	struct gcm g = {0};

	assert_in_range(count_batches(&g, 20), 30, 45);
}

/*
 * A disk that takes seconds for a while must not delay the next batch for as
 * long.
 */
static void wait_is_limited(void **state)
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
		cmocka_unit_test(first_batch_is_sent_at_once),
		cmocka_unit_test(fast_log_gets_batches_at_the_least_interval),
		cmocka_unit_test(slow_log_gets_fewer_batches),
		cmocka_unit_test(wait_is_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
