#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdbool.h>

#include "lod.h"

#define SECOND_MS 1000

/*
 * Plans one second of a burst in which something changes each ms, with batches
 * every batch_ms; returns the time that plans of took_ms each came to.
 */
static int64_t planned_ms(struct lod_plan *p, int64_t took_ms, int64_t batch_ms)
{
	int64_t batch = SECOND_MS;
	int64_t now = SECOND_MS;
	int64_t sum = 0;

	while (now < 2 * SECOND_MS) {
		if (now >= batch)
			batch += batch_ms;
		if (lod_plan_wait_ms(p, batch - now, now) > 0) {
			now++;
			continue;
		}
		now += took_ms;
		sum += took_ms;
		lod_planned(p, (double)took_ms, now);
		now++;
	}
	return sum;
}

/* Guards against a job that waits on an idle leader. */
static void an_idle_leader_plans_at_once(void **state)
{
	struct lod_plan p = {0};

	lod_planned(&p, 0.5, SECOND_MS);
	assert_int_equal(lod_plan_wait_ms(&p, 0, SECOND_MS + 5), 0);
}

/* Guards against starts that just miss a batch and wait for the next one. */
static void a_plan_is_made_just_before_the_batch(void **state)
{
	struct lod_plan p = {0};

	assert_int_equal(lod_plan_wait_ms(&p, 20, SECOND_MS), 19);
	assert_int_equal(lod_plan_wait_ms(&p, 1, SECOND_MS), 0);
}

/* Guards against a backlog that is planned so often that nothing is ordered. */
static void a_long_backlog_leaves_time_for_orders(void **state)
{
	struct lod_plan p = {0};

	/* the first plans of a burst come before their cost is known */
	planned_ms(&p, 15, 10);
	p.ended_ms = 0;
	assert_in_range(planned_ms(&p, 15, 10), 15, SECOND_MS / 7);
}

/* Guards against room that stays free since plans are put off too long. */
static void no_plan_is_put_off_for_long(void **state)
{
	struct lod_plan p = {0};
	int i;

	for (i = 0; i < 20; i++)
		lod_planned(&p, 5000, SECOND_MS);
	assert_in_range(lod_plan_wait_ms(&p, 0, SECOND_MS), 1, 150);
}

/* Guards against a leader that plans seldom long after it has stood still. */
static void a_standstill_is_soon_forgotten(void **state)
{
	struct lod_plan p = {0};
	int i;

	lod_planned(&p, 12000, SECOND_MS);
	for (i = 0; i < 10; i++)
		lod_planned(&p, 0.5, SECOND_MS);
	assert_in_range(lod_plan_wait_ms(&p, 0, SECOND_MS), 0, 20);
}

/* Guards against workers taken for silent whose answers lie in our sockets. */
static void a_leader_that_is_behind_waits_longer_for_answers(void **state)
{
	assert_int_equal(lod_patience_ms(400, 5000, 0), 400);
	/* to the worker in one turn, and three until its answer is read */
	assert_true(lod_patience_ms(400, 5000, 150) >= 400 + 3 * 150);
	/* a worker that is gone is given up while its lease lasts */
	assert_true(lod_patience_ms(400, 5000, 60000) <= 2500);
	assert_true(lod_patience_ms(400, 1000, 60000) <= 500);
	assert_int_equal(lod_patience_ms(2500, 1000, 60000), 2500);
}

/* Guards against a call for each end while orders wait. */
static void a_leader_that_is_behind_gathers_more_ends(void **state)
{
	assert_int_equal(lod_gather_ms(10, 0), 0);
	assert_true(lod_gather_ms(1100, 100) > lod_gather_ms(1100, 0));
	assert_true(lod_gather_ms(9200, 60000) <= 250);
}

/* Guards against a leader that makes all calls while other replicas idle. */
static void other_replicas_make_the_calls(void **state)
{
	int shares[4] = {0};
	uint32_t w;

	for (w = 0; w < 1000; w++)
		shares[lod_carrier(4, w, 0)]++;
	for (w = 0; w < 4; w++)
		assert_int_equal(shares[w], 250);
	assert_int_equal(lod_carrier(0, 5, 0), -1);
}

/* Guards against calls that keep going by way of a replica that is lost. */
static void a_lost_call_goes_another_way(void **state)
{
	bool own = false;
	uint32_t turn;

	for (turn = 0; turn < 4; turn++) {
		assert_int_not_equal(lod_carrier(4, 6, turn),
				     lod_carrier(4, 6, turn + 1));
		own = own || lod_carrier(4, 6, turn) == -1;
	}
	assert_true(own);
	assert_int_not_equal(lod_carrier(1, 6, 0), lod_carrier(1, 6, 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_idle_leader_plans_at_once),
		cmocka_unit_test(a_plan_is_made_just_before_the_batch),
		cmocka_unit_test(a_long_backlog_leaves_time_for_orders),
		cmocka_unit_test(no_plan_is_put_off_for_long),
		cmocka_unit_test(a_standstill_is_soon_forgotten),
		cmocka_unit_test(
			a_leader_that_is_behind_waits_longer_for_answers),
		cmocka_unit_test(a_leader_that_is_behind_gathers_more_ends),
		cmocka_unit_test(other_replicas_make_the_calls),
		cmocka_unit_test(a_lost_call_goes_another_way),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
