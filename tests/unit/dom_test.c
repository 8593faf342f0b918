#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "dom.h"

#define ZONES 5
#define JOBS 2000

/* Orders zones by a rule and returns their names, the first in front. */
static const char *order(const char *way, struct dom_zone *zones, uint32_t n,
			 uint32_t wanted, uint64_t job)
{
	static char text[64];
	struct dom_step step = {.wanted = wanted, .job = job};
	uint32_t i;

	dom_order(dom_find_way(way), zones, n, &step);
	text[0] = '\0';
	for (i = 0; i < n; i++)
		g_strlcat(text, zones[i].name, sizeof(text));
	return text;
}

/* A job is lost with each zone that one of its tasks is in. */
static void zone_with_tasks_of_the_job_goes_first(void **state)
{
	struct dom_zone zones[] = {{.name = "a", .room = 9},
				   {.name = "b", .room = 2, .runs = 1},
				   {.name = "c", .room = 9, .caller = true}};

	assert_string_equal(order("away", zones, 3, 4, 1), "bac");
}

/* The zone of the data goes before all others that have room. */
static void zone_of_the_data_goes_first(void **state)
{
	struct dom_zone zones[] = {{.name = "a", .room = 9, .runs = 3},
				   {.name = "b", .room = 1, .data = true},
				   {.name = "c", .data = true}};

	assert_string_equal(order("away", zones, 3, 4, 1), "bac");
}

/* The caller's zone counts only among those that hold all that is left. */
static void caller_counts_among_zones_that_hold_the_step(void **state)
{
	struct dom_zone full[] = {{.name = "a", .room = 3, .caller = true},
				  {.name = "b", .room = 4}};
	struct dom_zone free[] = {{.name = "a", .room = 4},
				  {.name = "b", .room = 4, .caller = true}};

	assert_string_equal(order("near", full, 2, 4, 1), "ba");
	assert_string_equal(order("near", free, 2, 4, 1), "ba");
	assert_string_equal(order("near", free, 2, 4, 2), "ba");
	assert_string_equal(order("away", free, 2, 4, 1), "ab");
	assert_string_equal(order("away", free, 2, 4, 2), "ab");
}

/* Where no zone holds a step, the roomiest come first: fewest are needed. */
static void fewest_zones_are_used(void **state)
{
	struct dom_zone zones[] = {{.name = "a", .room = 1},
				   {.name = "b", .room = 7},
				   {.name = "c", .room = 0},
				   {.name = "d", .room = 3}};

	assert_string_equal(order("zones", zones, 4, 10, 1), "bdac");
}

/*
 * Guards against a zone whose loss stops one queue while others lose nothing:
 * jobs of two queues come by turns, and each queue's jobs are to be spread.
 */
static void jobs_of_each_queue_are_spread(void **state)
{
	static const char *const names[ZONES] = {"a", "b", "c", "d", "e"};
	int firsts[2][ZONES] = {{0}};
	uint64_t job;
	int i;

	for (job = 0; job < JOBS; job++) {
		struct dom_zone zones[ZONES] = {0};

		for (i = 0; i < ZONES; i++) {
			zones[i].name = names[i];
			zones[i].room = 4;
		}
		firsts[job % 2]
		      [order("zones", zones, ZONES, 4, job)[0] - 'a']++;
	}
	for (i = 0; i < 2 * ZONES; i++) {
		int n = firsts[i % 2][i / 2];

		/* an even share, give or take a quarter */
		assert_in_range(n, JOBS / 2 / ZONES * 3 / 4,
				JOBS / 2 / ZONES * 5 / 4);
	}
}

/* Rules are found by name. */
static void rules_are_found_by_name(void **state)
{
	assert_false(dom_find_way("none")->zones);
	assert_true(dom_find_way("racks")->racks);
	assert_ptr_equal(dom_find_way(DOM_DEFAULT), dom_find_way("away"));
	assert_null(dom_find_way("halls"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(zone_with_tasks_of_the_job_goes_first),
		cmocka_unit_test(zone_of_the_data_goes_first),
		cmocka_unit_test(caller_counts_among_zones_that_hold_the_step),
		cmocka_unit_test(fewest_zones_are_used),
		cmocka_unit_test(jobs_of_each_queue_are_spread),
		cmocka_unit_test(rules_are_found_by_name),
	};

	return cmocka_run_group_tests_name("dom", tests, NULL, NULL);
}
