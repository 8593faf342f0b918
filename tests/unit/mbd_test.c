#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "mbd.h"

#define LIMIT 10000
#define HOLDS 4

/* Connections that end their hold when it is released. */
struct fixture {
	struct mbd *budget;
	struct mbd_hold holds[HOLDS];
};

static void release(void *arg)
{
	struct mbd_hold *h = arg;

	mbd_hold_end(h);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	size_t i;

	f->budget = mbd_new(LIMIT);
	for (i = 0; i < HOLDS; i++)
		mbd_hold_begin(&f->holds[i], f->budget, release, &f->holds[i]);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < HOLDS; i++)
		mbd_hold_end(&f->holds[i]);
	mbd_free(f->budget);
	g_free(f);
	return 0;
}

static void within_limit_nothing_is_released(void **state)
{
	struct fixture *f = *state;

	mbd_hold_set(&f->holds[0], LIMIT - 10, true);
	mbd_hold_set(&f->holds[1], 10, true);
	assert_true(mbd_reclaim(f->budget, &f->holds[1]));
	assert_int_equal(mbd_stats(f->budget).held, LIMIT);
	assert_int_equal(mbd_stats(f->budget).released, 0);
}

/* Guards against small holds that are released for the sake of large ones. */
static void largest_hold_is_released_first(void **state)
{
	struct fixture *f = *state;

	mbd_hold_set(&f->holds[0], 100, true);
	mbd_hold_set(&f->holds[1], 8000, true);
	mbd_hold_set(&f->holds[2], 2500, true);
	assert_true(mbd_reclaim(f->budget, &f->holds[0]));
	assert_int_equal(f->holds[0].bytes, 100);
	assert_int_equal(f->holds[1].bytes, 0);
	assert_int_equal(f->holds[2].bytes, 2500);
}

/* Of holds of one size the one goes that has had it for longest. */
static void older_hold_of_a_size_is_released_first(void **state)
{
	struct fixture *f = *state;

	mbd_hold_set(&f->holds[2], 4200, true);
	mbd_hold_set(&f->holds[0], 4300, true);
	mbd_hold_set(&f->holds[1], 4400, true);
	assert_true(mbd_reclaim(f->budget, NULL));
	assert_int_equal(f->holds[2].bytes, 0);
	assert_int_equal(f->holds[0].bytes, 4300);
	assert_int_equal(f->holds[1].bytes, 4400);
}

/* Guards against requests cut off while they are carried out. */
static void unreleasable_hold_counts_and_stays(void **state)
{
	struct fixture *f = *state;

	mbd_hold_set(&f->holds[0], 9000, false);
	mbd_hold_set(&f->holds[1], 2000, true);
	mbd_hold_set(&f->holds[2], 500, false);
	assert_true(mbd_reclaim(f->budget, &f->holds[2]));
	assert_int_equal(f->holds[0].bytes, 9000);
	assert_int_equal(f->holds[1].bytes, 0);
	mbd_hold_set(&f->holds[2], 2000, false);
	assert_false(mbd_reclaim(f->budget, &f->holds[2]));
	mbd_hold_set(&f->holds[0], 9000, true);
	assert_true(mbd_reclaim(f->budget, &f->holds[2]));
	assert_int_equal(f->holds[0].bytes, 0);
}

/* The holder that asks is told to go rather than released under its caller. */
static void own_hold_is_never_released(void **state)
{
	struct fixture *f = *state;

	mbd_hold_set(&f->holds[0], 9000, true);
	mbd_hold_set(&f->holds[1], 1500, true);
	assert_false(mbd_reclaim(f->budget, &f->holds[0]));
	assert_int_equal(f->holds[0].bytes, 9000);
	assert_int_equal(f->holds[1].bytes, 1500);
}

/* A part's holds count in the whole, and only give way to one another. */
static void part_counts_in_the_whole(void **state)
{
	struct fixture *f = *state;
	struct mbd *part = mbd_part_new(f->budget, 2);
	struct mbd_hold a;
	struct mbd_hold b;

	mbd_hold_begin(&a, part, release, &a);
	mbd_hold_begin(&b, part, release, &b);
	mbd_hold_set(&f->holds[0], 4000, true);
	mbd_hold_set(&a, 4500, true);
	assert_int_equal(mbd_stats(f->budget).held, 8500);
	assert_true(mbd_reclaim(part, NULL));
	mbd_hold_set(&b, 2100, true);
	assert_true(mbd_reclaim(f->budget, NULL));
	assert_int_equal(f->holds[0].bytes, 0);
	assert_int_equal(a.bytes, 4500);
	assert_true(mbd_reclaim(part, &b));
	assert_int_equal(a.bytes, 0);
	assert_int_equal(b.bytes, 2100);
	assert_int_equal(mbd_stats(f->budget).held, 2100);
	mbd_hold_end(&b);
	mbd_free(part);
}

/* Guards against an estimate below what a buffer's blocks take. */
static void buffer_counts_with_its_blocks(void **state)
{
	struct evbuffer *b = evbuffer_new();
	char bytes[300] = {0};
	size_t i;

	assert_int_equal(mbd_buffer_bytes(b), 0);
	evbuffer_add(b, bytes, 1);
	assert_in_range(mbd_buffer_bytes(b), 512, 1024);
	for (i = 0; i < 1000; i++)
		evbuffer_add(b, bytes, sizeof(bytes));
	assert_in_range(mbd_buffer_bytes(b), 300001, 310000);
	evbuffer_free(b);
}

static void limit_is_a_part_of_the_memory(void **state)
{
	assert_int_equal(mbd_limit(64 << 20), 16 << 20);
	assert_in_range(mbd_limit(0), 1 << 20, UINT64_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			within_limit_nothing_is_released, setup, teardown),
		cmocka_unit_test_setup_teardown(largest_hold_is_released_first,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			older_hold_of_a_size_is_released_first, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			unreleasable_hold_counts_and_stays, setup, teardown),
		cmocka_unit_test_setup_teardown(own_hold_is_never_released,
						setup, teardown),
		cmocka_unit_test_setup_teardown(part_counts_in_the_whole, setup,
						teardown),
		cmocka_unit_test(buffer_counts_with_its_blocks),
		cmocka_unit_test(limit_is_a_part_of_the_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
