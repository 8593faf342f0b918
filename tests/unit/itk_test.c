#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "itk.h"

#define NOW_MS 1000000
#define CORES 100
#define CHAIN_MS 1000
#define OBJECTIVE_MS 2000
#define LIMIT_MS 6000

static bool none_stored(void *arg, const char *id)
{
	return false;
}

static bool all_stored(void *arg, const char *id)
{
	return true;
}

/* Begins a count of one pool "p" that is busy. */
static void count_pool(struct itk *k, double cores, double entitled)
{
	itk_count_begin(k);
	itk_count_pool(k, "p",
		       &(struct itk_capacity){.cores = cores,
					      .used = cores,
					      .load = 10 * cores,
					      .entitled = entitled});
}

static void count_work(struct itk *k, const char *org, double core_s)
{
	itk_count_job(k, &(struct itk_job){.id = "counted",
					   .pool = "p",
					   .org = org,
					   .weight = 1,
					   .core_s = core_s,
					   .bytes = 1});
}

static struct itk_verdict ask_at(struct itk *k, const char *id, const char *org,
				 int64_t now)
{
	const struct itk_job job = {.id = id,
				    .pool = "p",
				    .org = org,
				    .weight = 1,
				    .core_s = 10,
				    .bytes = 1};
	const struct itk_need need = {.known = true,
				      .chain_ms = CHAIN_MS,
				      .objective_ms = OBJECTIVE_MS,
				      .limit_ms = LIMIT_MS};
	struct itk_verdict v = itk_decide(k, &job, &need, now);

	if (!itk_refuses(v.why))
		itk_join(k, &job);
	return v;
}

static struct itk_verdict ask(struct itk *k, const char *org)
{
	static int n;
	char id[16];

	snprintf(id, sizeof(id), "%x", n++);
	return ask_at(k, id, org, NOW_MS);
}

static struct itk *new_way(const char *way)
{
	return itk_new(itk_way(way), (struct itk_bounds){0});
}

/* Submits ten times what a line can hold; returns how many were accepted. */
static int flood(struct itk *k, const char *org)
{
	int accepted = 0;
	int i;

	for (i = 0; i < 10 * CORES * LIMIT_MS / 1000 / 10; i++)
		accepted += !itk_refuses(ask(k, org).why);
	return accepted;
}

/* Failure: ten times the load is accepted, and most of it is of no use. */
static void flood_is_accepted_only_while_of_use(void **state)
{
	struct itk *k = new_way("organisation");
	struct itk *all = new_way("all");
	int useful = CORES * (LIMIT_MS - CHAIN_MS) / 1000 / 10;

	count_pool(k, CORES, 0);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_in_range(flood(k, "a"), useful, useful + 1);
	count_pool(all, CORES, 0);
	itk_count_end(all, none_stored, NULL, NOW_MS);
	assert_int_equal(flood(all, "a"), 600);
	itk_free(k);
	itk_free(all);
}

/* Failure: jobs accepted within one tick, or not yet stored, don't count. */
static void accepted_job_counts_until_stored(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, CORES, 0);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	flood(k, "a");
	assert_int_equal(ask(k, "a").why, ITK_LINE);
	count_pool(k, CORES, 0);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").why, ITK_LINE);
	/* the table has them, and they have ended */
	count_pool(k, CORES, 0);
	itk_count_end(k, all_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").why, ITK_ROOM);
	itk_free(k);
}

/* Failure: one organisation's flood has others' work refused. */
static void flood_refuses_only_its_own(void **state)
{
	struct itk *k = new_way("organisation");
	struct itk *pool = new_way("pool");

	count_pool(k, CORES, 0);
	count_work(k, "flood", 100000);
	count_work(k, "b", 200);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "flood").why, ITK_LINE);
	assert_int_equal(ask(k, "b").line_ms, 4000);
	assert_int_equal(ask(k, "new").line_ms, 0);
	count_pool(pool, CORES, 0);
	count_work(pool, "flood", 100000);
	itk_count_end(pool, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(pool, "new").why, ITK_LINE);
	itk_free(k);
	itk_free(pool);
}

/* Failure: a share that others leave unused is taken for used. */
static void unused_share_goes_to_the_others(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, CORES, 0);
	count_work(k, "a", 400);
	count_work(k, "idle", 1);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").line_ms, 4010);
	itk_free(k);
}

/* Failure: a limit lowered meanwhile lets a line grow that can't move. */
static void lowered_limit_lengthens_the_line(void **state)
{
	struct itk *k = new_way("organisation");
	struct itk_job job = {
		.id = "1", .pool = "p", .org = "a", .weight = 1, .core_s = 100};

	count_pool(k, CORES, 0);
	itk_count_job(k, &job);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").line_ms, 1000);
	job.limit_cores = 10;
	count_pool(k, CORES, 0);
	itk_count_job(k, &job);
	itk_count_end(k, all_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").line_ms, 10000);
	itk_free(k);
}

/* Failure: a limited organisation's work is taken for served before others'. */
static void limited_flood_takes_only_its_limit(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, CORES, 0);
	itk_count_job(k, &(struct itk_job){.id = "1",
					   .pool = "p",
					   .org = "flood",
					   .weight = 1,
					   .limit_cores = 10,
					   .core_s = 100000});
	count_work(k, "b", 450);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_in_range(ask(k, "b").line_ms, 5000, 5010);
	itk_free(k);
}

/* Failure: jobs are refused while VMs are on their way or idle elsewhere. */
static void room_that_comes_counts(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, CORES, 0);
	count_work(k, "a", 1000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").why, ITK_LINE);
	count_pool(k, CORES, 0);
	itk_count_pool(k, "standby", &(struct itk_capacity){.cores = 400});
	count_work(k, "a", 1000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").line_ms, 2000);
	count_pool(k, CORES, 400);
	count_work(k, "a", 1000);
	itk_count_end(k, all_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").line_ms, 2500);
	itk_free(k);
}

/* Failure: a pool whose VMs aren't known refuses all. */
static void pool_without_vms_accepts(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, 0, 0);
	count_work(k, "a", 1000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").why, ITK_UNKNOWN);
	itk_free(k);
}

/* Failure: a new leader refuses by what an earlier one knew. */
static void new_leader_accepts(void **state)
{
	struct itk *k = new_way("organisation");

	count_pool(k, CORES, 0);
	count_work(k, "a", 10000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(ask(k, "a").why, ITK_LINE);
	itk_reset(k);
	assert_int_equal(ask(k, "a").why, ITK_UNKNOWN);
	itk_free(k);
}

/* Failure: lasting work, or work of unlearned times, is refused. */
static void exempt_and_unknown_jobs_are_accepted(void **state)
{
	struct itk *k = new_way("organisation");
	const struct itk_job job = {
		.id = "1", .pool = "p", .org = "a", .weight = 1};

	count_pool(k, CORES, 0);
	count_work(k, "a", 10000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	assert_int_equal(
		itk_decide(k, &job,
			   &(struct itk_need){.exempt = true, .known = true},
			   NOW_MS)
			.why,
		ITK_EXEMPT);
	assert_int_equal(itk_decide(k, &job, &(struct itk_need){0}, NOW_MS).why,
			 ITK_UNKNOWN);
	itk_free(k);
}

/* Failure: callers refused later come back before those refused earlier. */
static void refused_return_in_order(void **state)
{
	struct itk *k = new_way("organisation");
	int64_t last = 0;
	int i;

	count_pool(k, CORES, 0);
	count_work(k, "a", 2000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	for (i = 0; i < 500; i++) {
		int64_t now = NOW_MS + i * 7;
		struct itk_verdict v = ask_at(k, "1", "a", now);
		int64_t back = now + v.retry_after_s * 1000;

		assert_int_equal(v.why, ITK_LINE);
		/* the line is too long by 20 s + 1 s - 2 s */
		assert_true(back >= NOW_MS + 19000 && back >= last);
		assert_in_range(v.retry_after_s, 1, 60);
		last = back;
	}
	itk_free(k);
}

/* Failure: a flood of accepted jobs takes all memory. */
static void memory_bounds_live_jobs(void **state)
{
	struct itk *k = itk_new(itk_way("all"),
				(struct itk_bounds){.jobs = 80, .bytes = 0});
	const struct itk_job job = {
		.id = "lasting", .pool = "p", .org = "a", .bytes = 1};

	assert_int_equal(flood(k, "a"), 70);
	assert_int_equal(ask(k, "a").why, ITK_MEMORY);
	assert_in_range(ask(k, "a").retry_after_s, 1, 60);
	assert_int_equal(itk_decide(k, &job, &(struct itk_need){.exempt = true},
				    NOW_MS)
				 .why,
			 ITK_EXEMPT);
	itk_count_begin(k);
	itk_count_end(k, all_stored, NULL, NOW_MS);
	assert_int_equal(flood(k, "a"), 70);
	itk_free(k);
	k = itk_new(itk_way("all"),
		    (struct itk_bounds){.jobs = 1000, .bytes = 160});
	assert_int_equal(flood(k, "a"), 140);
	itk_free(k);
}

/* Failure: work that will have expired before its turn lengthens the line. */
static void work_that_expires_in_line_is_not_counted(void **state)
{
	struct itk *k = new_way("organisation");
	struct itk_job job = {
		.id = "1", .pool = "p", .org = "a", .weight = 1, .core_s = 100};
	int n;
	int i;

	for (n = 0; n < 2; n++) {
		count_pool(k, CORES, 0);
		for (i = 0; i < 10; i++) {
			job.life_ms = i < 5 ? 10000 : 4500;
			itk_count_job(k, &job);
		}
		itk_count_end(k, none_stored, NULL, NOW_MS);
	}
	assert_int_equal(ask(k, "a").line_ms, 5000);
	itk_free(k);
}

/* Failure: accounts of organisations that are gone stay for ever. */
static void idle_accounts_go(void **state)
{
	struct itk *k = new_way("organisation");
	GString *text = g_string_new(NULL);

	count_pool(k, CORES, 0);
	count_work(k, "a", 1000);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	itk_append_metrics(k, text);
	assert_non_null(strstr(text->str,
			       "endive_pool_line_seconds{pool=\"p\"} 10.000"));
	itk_count_begin(k);
	itk_count_end(k, none_stored, NULL, NOW_MS);
	g_string_truncate(text, 0);
	itk_append_metrics(k, text);
	assert_null(strstr(text->str, "{pool="));
	g_string_free(text, TRUE);
	itk_free(k);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(flood_is_accepted_only_while_of_use),
		cmocka_unit_test(accepted_job_counts_until_stored),
		cmocka_unit_test(flood_refuses_only_its_own),
		cmocka_unit_test(unused_share_goes_to_the_others),
		cmocka_unit_test(lowered_limit_lengthens_the_line),
		cmocka_unit_test(limited_flood_takes_only_its_limit),
		cmocka_unit_test(room_that_comes_counts),
		cmocka_unit_test(pool_without_vms_accepts),
		cmocka_unit_test(new_leader_accepts),
		cmocka_unit_test(exempt_and_unknown_jobs_are_accepted),
		cmocka_unit_test(refused_return_in_order),
		cmocka_unit_test(memory_bounds_live_jobs),
		cmocka_unit_test(work_that_expires_in_line_is_not_counted),
		cmocka_unit_test(idle_accounts_go),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
