#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "sim.h"

/* Short days, so that a few seeds fit into a check. */
#define DAY_MS 20000
#define SEEDS 4

static struct sim_config day(uint64_t seed)
{
	struct sim_config c = sim_defaults(seed);

	c.length_ms = DAY_MS;
	c.orgs = 0;
	return c;
}

/* The same day with organisations whose keys and limits change. */
static struct sim_config day_of_organisations(uint64_t seed)
{
	struct sim_config c = day(seed);

	c.orgs = 4;
	return c;
}

static void no_rule_is_broken_on_troubled_days(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_config c = day(seed);
		struct sim_result r = sim_play(&c);

		if (!sim_clean(&r))
			fail_msg("seed %u: %s", (unsigned)seed, r.first);
		assert_true(r.jobs > 100);
		assert_true(r.upkeeps > 0);
	}
}

/* The same where organisations wait at their limits most of the time. */
static void no_rule_is_broken_at_usage_limits(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_config c = day_of_organisations(seed);
		struct sim_result r;

		c.org_limit = seed % 2 ? 0.08 : 0.3;
		c.crashers = 0.01;
		r = sim_play(&c);
		if (!sim_clean(&r))
			fail_msg("seed %u: %s", (unsigned)seed, r.first);
		assert_true(r.jobs > 100);
	}
}

/*
 * Guards against a checker that takes a task for owed though its worker, cut off
 * until the run had lapsed, reported it done.
 */
static void an_end_told_after_a_lapse_counts(void **state)
{
	struct sim_config c = day_of_organisations(4);
	struct sim_result r;

	c.crashers = 0.01;
	c.power = 2;
	r = sim_play(&c);
	if (!sim_clean(&r))
		fail_msg("%s", r.first);
}

/* A checker that sees nothing proves nothing. */
static void the_checker_sees_a_doubled_task(void **state)
{
	struct sim_config c = day(1);
	struct sim_result r;

	c.break_rule = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_TWICE] > 0);
}

/*
 * Work stands still for good. A leader is lost with starts on their way to the
 * log, and the next one takes them for proposed yet: what gives them up with
 * leadership is taken out.
 */
static void the_checker_sees_a_start_that_stays_proposed(void **state)
{
	struct sim_config c = day(1);
	struct sim_result r;

	c.keep_proposed = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_IDLE] > 0);
	assert_non_null(strstr(r.first, "start-not-stored"));
}

/* And where nothing stands in its way and it isn't started. */
static void the_checker_sees_a_plan_that_isnt_made(void **state)
{
	struct sim_config c = day(1);
	struct sim_result r;

	c.no_plans_ms = DAY_MS / 2;
	r = sim_play(&c);
	assert_true(r.broken[SIM_IDLE] > 0);
	assert_non_null(strstr(r.first, ": none"));
}

/*
 * A VM is moved by a leader that was replaced. A cut holds its last orders up,
 * another leader orders about the same VMs, and the cut heals. The checker
 * must see it where the leader doesn't break its orders off.
 */
static void the_checker_sees_an_order_of_an_earlier_leader(void **state)
{
	struct sim_config c = day(1);
	struct sim_result r = sim_play(&c);

	assert_true(r.broken[SIM_ONE] == 0);
	c.orders_come_late = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_ONE] > 0);
}

/* A service loses two tasks at once: the next leader doesn't know of a stop. */
static void a_stop_is_known_to_the_next_leader(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_config c = day(seed);
		struct sim_result r;

		c.handover_ms = 1300;
		r = sim_play(&c);
		if (!sim_clean(&r))
			fail_msg("seed %u: %s", (unsigned)seed, r.first);
		assert_true(r.upkeeps > 0);
	}
}

/* Crashed workers all day long: a task crashes each that starts it. */
static void tasks_that_crash_their_workers_are_given_up(void **state)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_config c = day(seed);
		struct sim_result r;

		c.crashers = 0.01;
		c.power = 2;
		r = sim_play(&c);
		if (!sim_clean(&r))
			fail_msg("seed %u: %s", (unsigned)seed, r.first);
		assert_true(r.given_up > 0);
	}
}

/*
 * Guards against a checker that misses work beyond a usage limit after a change
 * of leader that forgot what runs.
 */
static void the_checker_sees_a_forgotten_account(void **state)
{
	struct sim_config c = day_of_organisations(1);
	struct sim_result r;

	c.org_limit = 0.08;
	r = sim_play(&c);
	assert_true(sim_clean(&r));
	c.forget_usage = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_QUOTA] > 0);
}

/* Guards against a checker that misses work held by a limit hardly used. */
static void the_checker_sees_work_held_below_its_limit(void **state)
{
	struct sim_config c = day_of_organisations(1);
	struct sim_result r;

	c.stuck_usage = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_IDLE] > 0);
	assert_non_null(strstr(r.first, "organisation-limit"));
}

/* Guards against a checker that misses a removed key that is obeyed. */
static void the_checker_sees_a_removed_key_obeyed(void **state)
{
	struct sim_config c = day_of_organisations(1);
	struct sim_result r;

	c.keep_keys = true;
	r = sim_play(&c);
	assert_true(r.broken[SIM_KEY] > 0);
}

static void a_day_is_the_same_each_time(void **state)
{
	struct sim_config c = day(7);
	struct sim_result a = sim_play(&c);
	struct sim_result b = sim_play(&c);

	assert_true(a.starts == b.starts && a.in_time == b.in_time &&
		    a.moves == b.moves);
}

/*
 * In its turn each pool is asked for twice its room while the others stand
 * idle; fixed pools leave a third of the jobs late. VMs that follow the load
 * serve more of them.
 */
static void vms_that_follow_the_load_serve_more(void **state)
{
	struct sim_config c = sim_defaults(3);
	struct sim_result moving;
	struct sim_result fixed;

	c.failovers = 0;
	c.crashes = 0;
	c.power = 0;
	c.shrinks = 0;
	c.crashers = 0;
	c.wave = false;
	moving = sim_play(&c);
	c.order = SIM_FIXED_POOLS;
	fixed = sim_play(&c);
	assert_true(moving.moves > 0 && fixed.moves == 0);
	assert_true(moving.worth > fixed.worth + 0.02);
}

/*
 * Guards against jobs that are late by their last task: one worker in ten takes
 * six times as long as the others and is packed like them.
 */
static void slow_workers_make_fewer_jobs_late(void **state)
{
	struct sim_config c = sim_defaults(2);
	struct sim_result ignored;
	struct sim_result learned;

	c.length_ms = DAY_MS;
	c.pools = 2;
	c.vms = 20;
	c.load = 0.25;
	c.burst = 2.5;
	c.cuts = 0;
	c.crashes = 0;
	c.power = 0;
	c.shrinks = 0;
	c.crashers = 0;
	c.failovers = 0;
	c.handover_ms = 0;
	c.orgs = 0;
	c.wave = false;
	c.slow_each = 10;
	c.slowness = 6;
	learned = sim_play(&c);
	c.ignore_speed = true;
	ignored = sim_play(&c);
	if (!sim_clean(&learned))
		fail_msg("%s", learned.first);
	assert_true(learned.late < ignored.late);
	assert_true(learned.worth > ignored.worth);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_rule_is_broken_on_troubled_days),
		cmocka_unit_test(no_rule_is_broken_at_usage_limits),
		cmocka_unit_test(an_end_told_after_a_lapse_counts),
		cmocka_unit_test(the_checker_sees_a_doubled_task),
		cmocka_unit_test(the_checker_sees_a_start_that_stays_proposed),
		cmocka_unit_test(the_checker_sees_a_plan_that_isnt_made),
		cmocka_unit_test(
			the_checker_sees_an_order_of_an_earlier_leader),
		cmocka_unit_test(a_stop_is_known_to_the_next_leader),
		cmocka_unit_test(tasks_that_crash_their_workers_are_given_up),
		cmocka_unit_test(the_checker_sees_a_forgotten_account),
		cmocka_unit_test(the_checker_sees_work_held_below_its_limit),
		cmocka_unit_test(the_checker_sees_a_removed_key_obeyed),
		cmocka_unit_test(a_day_is_the_same_each_time),
		cmocka_unit_test(vms_that_follow_the_load_serve_more),
		cmocka_unit_test(slow_workers_make_fewer_jobs_late),
	};

	return cmocka_run_group_tests_name("sim", tests, NULL, NULL);
}
