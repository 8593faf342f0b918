#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdbool.h>

#include "lod.h"

#define SECOND_MS 1000

/*
 * Simulates 1 s of a burst in which a plan is requested each ms, with a batch
 * every batch_ms and plans that take took_ms each. Returns the total time spent
 * on planning, ms.
 */
static int64_t simulate_planning_ms(struct lod_plan *p, int64_t took_ms,
				    int64_t batch_ms)
{
	int64_t next_batch = SECOND_MS;
	int64_t now = SECOND_MS;
	int64_t total_ms = 0;

	while (now < 2 * SECOND_MS) {
		if (now >= next_batch)
			next_batch += batch_ms;
		if (lod_plan_wait_ms(p, next_batch - now, now) > 0) {
			now++;
			continue;
		}
		now += took_ms;
		total_ms += took_ms;
		lod_record_plan(p, (double)took_ms, now);
		now++;
	}
	return total_ms;
}

/* Guards against a job that waits although the leader is idle. */
static void idle_leader_plans_immediately(void **state)
{
	struct lod_plan p = {0};

	lod_record_plan(&p, 0.5, SECOND_MS);
	assert_int_equal(lod_plan_wait_ms(&p, 0, SECOND_MS + 5), 0);
}

/*
 * Guards against starts that just miss a batch of commands and wait for the
 * next one.
 */
static void plan_runs_just_before_next_batch(void **state)
{
	struct lod_plan p = {0};

	assert_int_equal(lod_plan_wait_ms(&p, 20, SECOND_MS), 19);
	assert_int_equal(lod_plan_wait_ms(&p, 1, SECOND_MS), 0);
}

/*
 * Guards against a long backlog that is planned so often that the leader has no
 * time left for orders.
 */
static void planning_long_backlog_leaves_time_for_orders(void **state)
{
	struct lod_plan p = {0};

	/* The duration of a plan is unknown at the start of a burst. */
	simulate_planning_ms(&p, 15, 10);
	p.ended_ms = 0;
	assert_in_range(simulate_planning_ms(&p, 15, 10), 15, SECOND_MS / 7);
}

/*
 * Guards against capacity that stays unused because plans take long and are
 * therefore delayed for a long time.
 */
static void plan_delay_is_bounded(void **state)
{
	struct lod_plan p = {0};
	int i;

	for (i = 0; i < 20; i++)
		lod_record_plan(&p, 5000, SECOND_MS);
	assert_in_range(lod_plan_wait_ms(&p, 0, SECOND_MS), 1, 150);
}

/*
 * Guards against long delays of plans after a process pause, which made a
 * single plan take long.
 */
static void process_pause_does_not_delay_later_plans(void **state)
{
	struct lod_plan p = {0};
	int i;

	lod_record_plan(&p, 12000, SECOND_MS);
	for (i = 0; i < 10; i++)
		lod_record_plan(&p, 0.5, SECOND_MS);
	assert_in_range(lod_plan_wait_ms(&p, 0, SECOND_MS), 0, 20);
}

/*
 * Guards against workers that count as unreachable although their answers are
 * in the leader's socket buffers.
 */
static void lagging_leader_extends_answer_timeout(void **state)
{
	assert_int_equal(lod_answer_timeout_ms(400, 5000, 0), 400);
	/* One loop iteration to send, and three until the answer is read. */
	assert_true(lod_answer_timeout_ms(400, 5000, 150) >= 400 + 3 * 150);
	/* A lost worker is detected while its lease is still valid. */
	assert_true(lod_answer_timeout_ms(400, 5000, 60000) <= 2500);
	assert_true(lod_answer_timeout_ms(400, 1000, 60000) <= 500);
	assert_int_equal(lod_answer_timeout_ms(2500, 1000, 60000), 2500);
}

/*
 * Guards against a call for each ended task while orders wait on a lagging
 * leader.
 */
static void lagging_leader_polls_workers_less_often(void **state)
{
	assert_int_equal(lod_poll_delay_ms(10, 0), 0);
	assert_true(lod_poll_delay_ms(1100, 100) > lod_poll_delay_ms(1100, 0));
	assert_true(lod_poll_delay_ms(9200, 60000) <= 250);
}

/* Guards against a leader that makes all calls while others are idle. */
static void calls_are_spread_over_other_replicas(void **state)
{
	int shares[4] = {0};
	uint32_t w;

	for (w = 0; w < 1000; w++)
		shares[lod_pick_relay(4, w, 0)]++;
	for (w = 0; w < 4; w++)
		assert_int_equal(shares[w], 250);
	assert_int_equal(lod_pick_relay(0, 5, 0), -1);
}

/* Guards against calls that are relayed by a lost replica again and again. */
static void lost_call_is_retried_by_another_replica(void **state)
{
	bool direct = false;
	uint32_t attempt;

	for (attempt = 0; attempt < 4; attempt++) {
		assert_int_not_equal(lod_pick_relay(4, 6, attempt),
				     lod_pick_relay(4, 6, attempt + 1));
		direct = direct || lod_pick_relay(4, 6, attempt) == -1;
	}
	assert_true(direct);
	assert_int_not_equal(lod_pick_relay(1, 6, 0), lod_pick_relay(1, 6, 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(idle_leader_plans_immediately),
		cmocka_unit_test(plan_runs_just_before_next_batch),
		cmocka_unit_test(planning_long_backlog_leaves_time_for_orders),
		cmocka_unit_test(plan_delay_is_bounded),
		cmocka_unit_test(process_pause_does_not_delay_later_plans),
		cmocka_unit_test(lagging_leader_extends_answer_timeout),
		cmocka_unit_test(lagging_leader_polls_workers_less_often),
		cmocka_unit_test(calls_are_spread_over_other_replicas),
		cmocka_unit_test(lost_call_is_retried_by_another_replica),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
