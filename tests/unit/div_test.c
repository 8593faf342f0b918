#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "div.h"

#define CORES 64.0

/* Returns a pool of VMs of 64 cores, all of them movable. */
static struct div_pool pool(const char *name, guint held, double in_time,
			    double late)
{
	return (struct div_pool){
		.name = name,
		.held = held,
		.movable = held,
		.keep = MIN(3, held),
		.claim = 1,
		.vm_cores = CORES,
		.load = in_time + 0.4 * late,
		.in_time = in_time,
		.late = late,
		.weight = 1,
	};
}

/* Divides two pools; returns the VMs that the first gives to the second. */
static guint given(const char *way, struct div_pool *pools)
{
	GArray *pairs = div_plan(div_find_way(way), pools, 2);
	guint n = 0;
	guint i;

	for (i = 0; i < pairs->len; i++) {
		const struct div_pair *p =
			&g_array_index(pairs, struct div_pair, i);

		assert_int_equal(p->from, 0);
		n += p->count;
	}
	g_array_free(pairs, TRUE);
	return n;
}

static const char *const dividing_ways[] = {"ratio", "marginal", "max-min"};

/*
 * Guards against a pool that holds nearly all VMs for late work while another's
 * jobs could be in time.
 */
static void late_work_gives_way_to_work_in_time(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dividing_ways); i++) {
		struct div_pool pools[] = {pool("billing", 269, 1000, 15000),
					   pool("desk", 15, 32000, 0)};

		assert_true(given(dividing_ways[i], pools) > 50);
	}
}

/* The rule of before leaves them where they are. */
static void first_come_moves_nothing(void **state)
{
	struct div_pool pools[] = {pool("billing", 269, 1000, 15000),
				   pool("desk", 15, 32000, 0)};

	assert_int_equal(given("first-come", pools), 0);
	assert_int_equal(pools[1].entitled, 15);
}

/* Guards against VMs that are taken from work in time for late work. */
static void late_work_takes_nothing_from_work_in_time(void **state)
{
	static const char *const ways[] = {"marginal", "max-min"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		struct div_pool pools[] = {pool("desk", 100, 6400, 0),
					   pool("billing", 10, 0, 20000)};

		assert_int_equal(given(ways[i], pools), 0);
	}
}

/* Guards against moves whose cost exceeds their gain. */
static void nearly_even_pools_exchange_nothing(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dividing_ways); i++) {
		struct div_pool pools[] = {pool("a", 105, 9000, 0),
					   pool("b", 95, 9000, 0)};

		assert_int_equal(given(dividing_ways[i], pools), 0);
	}
}

/* Guards against a plan that takes VMs which have just come, or are needed. */
static void vms_that_must_stay_are_not_given(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dividing_ways); i++) {
		struct div_pool pools[] = {pool("billing", 200, 0, 15000),
					   pool("desk", 10, 32000, 0)};

		pools[0].movable = 30;
		assert_true(given(dividing_ways[i], pools) <= 30);
		pools[0].movable = 200;
		pools[0].keep = 180;
		assert_true(given(dividing_ways[i], pools) <= 20);
	}
}

/* Guards against an operator's floor that the load of others overrides. */
static void claim_is_met_before_all_needs(void **state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dividing_ways); i++) {
		struct div_pool pools[] = {pool("desk", 100, 20000, 0),
					   pool("ordered", 2, 0, 0)};

		pools[1].claim = 12;
		assert_int_equal(given(dividing_ways[i], pools), 10);
	}
}

/* Guards against work that is stopped half done for work that has not begun. */
static void begun_work_in_time_keeps_its_vms(void **state)
{
	struct div_pool pools[] = {pool("billing", 200, 12800, 0),
				   pool("desk", 10, 32000, 0)};

	pools[0].begun = 190 * CORES;
	assert_int_equal(given("marginal", pools), 10);
}

/* The callers' weight decides between pools of the same demand. */
static void weight_decides_between_equals(void **state)
{
	static const char *const ways[] = {"marginal", "max-min"};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		struct div_pool pools[] = {pool("a", 100, 12000, 0),
					   pool("b", 100, 12000, 0)};

		pools[1].weight = 4;
		assert_true(given(ways[i], pools) > 10);
	}
}

/* Priority 0 goes first where nothing else decides. */
static void priority_breaks_a_tie(void **state)
{
	struct div_pool pools[] = {pool("giver", 100, 0, 20000),
				   pool("later", 10, 5000, 0),
				   pool("first", 10, 5000, 0)};
	GArray *pairs;

	pools[0].movable = 11;
	pools[1].priority = 1;
	pairs = div_plan(div_find_way("marginal"), pools, 3);
	assert_int_equal(pools[1].entitled, 15);
	assert_int_equal(pools[2].entitled, 16);
	g_array_free(pairs, TRUE);
}

/* An unknown rule is no rule. */
static void rules_are_found_by_name(void **state)
{
	g_autofree char *names = div_way_names();

	assert_string_equal(names, "first-come, ratio, marginal, max-min");
	assert_null(div_find_way("none"));
	assert_non_null(div_find_way(DIV_SHARED_WAY));
	assert_non_null(div_find_way(DIV_PLAIN_WAY));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(late_work_gives_way_to_work_in_time),
		cmocka_unit_test(first_come_moves_nothing),
		cmocka_unit_test(late_work_takes_nothing_from_work_in_time),
		cmocka_unit_test(nearly_even_pools_exchange_nothing),
		cmocka_unit_test(vms_that_must_stay_are_not_given),
		cmocka_unit_test(claim_is_met_before_all_needs),
		cmocka_unit_test(begun_work_in_time_keeps_its_vms),
		cmocka_unit_test(weight_decides_between_equals),
		cmocka_unit_test(priority_breaks_a_tie),
		cmocka_unit_test(rules_are_found_by_name),
	};

	return cmocka_run_group_tests_name("div", tests, NULL, NULL);
}
