#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "crs.h"
#include "jobs_make.h"

#define NOW_MS 100000

/* Workers w1 to w3, each on a rack of its own unless told otherwise. */
struct bed {
	struct jtb *jtb;
	struct crs *crs;
	bool rack_silent;
	bool alive;
};

static int64_t bed_seen_ms(void *arg, const struct jtb_run *run)
{
	return sch_seen_ms(run);
}

static bool bed_rack_silent(void *arg, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return b->rack_silent;
}

static bool bed_alive(void *arg, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return b->alive;
}

static const struct crs_ops bed_ops = {
	.seen_ms = bed_seen_ms,
	.rack_silent = bed_rack_silent,
	.alive = bed_alive,
};

static void worker(struct bed *b, const char *id, const char *rack)
{
	char *labels[] = {(char *)"kind", (char *)rack, NULL};
	struct jtb_worker_info info = {
		.id = (char *)id,
		.pool = (char *)"p",
		.addr = (char *)"127.0.0.1:1",
		.zone = (char *)"z",
		.labels = labels,
		.cpu = 16000,
		.mem_mb = 64000,
	};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(b->jtb, &o);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);

	b->jtb = jtb_new(NULL, NULL);
	b->crs = crs_new(&bed_ops, b);
	jobs_config(b->jtb, 1, "p", 3);
	worker(b, "w1", "r1");
	worker(b, "w2", "r2");
	worker(b, "w3", "r3");
	worker(b, "w9", "r9");
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	crs_free(b->crs);
	jtb_free(b->jtb);
	g_free(b);
	return 0;
}

static void job(struct bed *b, const char *id, uint32_t count)
{
	struct jtb_step s = {.count = count, .cpu = 100, .estimate_ms = 500};

	jobs_job(b->jtb, id, &s, 1, JOBS_WALL_MS);
}

/* Task 0 of a job runs on a worker that has listed it for so long. */
static struct jtb_run *runs(struct bed *b, const char *id, uint32_t attempt,
			    const char *w, int64_t seen_ms)
{
	struct jtb_name n = {0};
	struct jtb_run *run;

	if (!jtb_job(b->jtb, id))
		job(b, id, 1);
	g_strlcpy(n.id, id, sizeof(n.id));
	jobs_start(b->jtb, id, 0, 0, attempt, w);
	run = jtb_find_run(b->jtb, &n, attempt, w);
	assert_non_null(run);
	if (seen_ms >= 0) {
		run->first_running_ms = 1;
		run->last_running_ms = 1 + seen_ms;
	}
	return run;
}

/* A worker is lost, and the table is told. */
static void lose(struct bed *b, const char *id, bool crashed, int64_t at_ms)
{
	struct jtb_blame blame;
	struct pk_out o;

	crs_lost(b->crs, jtb_worker(b->jtb, id), crashed, NOW_MS + at_ms,
		 &blame);
	pk_out_init(&o);
	jtb_put_worker_crashed(&o, id, crashed, &blame, JOBS_WALL_MS);
	jobs_apply(b->jtb, &o);
	jtb_blame_clear(&blame);
}

static uint32_t crashes(struct bed *b, const char *id)
{
	return jtb_max_crashes(jtb_job(b->jtb, id));
}

static enum jtb_job_state state_of(struct bed *b, const char *id)
{
	return jtb_job(b->jtb, id)->state;
}

/* Workers crash for ever under a task that nobody counts. */
static void a_task_alone_on_three_crashed_workers_is_given_up(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	assert_int_equal(crashes(b, "a"), 1);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
	runs(b, "a", 2, "w2", 50);
	lose(b, "w2", true, 5000);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
	runs(b, "a", 3, "w3", 50);
	lose(b, "w3", true, 10000);
	assert_int_equal(state_of(b, "a"), JTB_FAILED);
}

/* Innocent jobs fail with a guilty one that began beside them, each time. */
static void tasks_beside_another_that_began_are_not_given_up(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	runs(b, "b", 1, "w1", 100);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w2", -1);
	runs(b, "b", 2, "w2", 100);
	lose(b, "w2", true, 5000);
	runs(b, "a", 3, "w3", -1);
	runs(b, "b", 3, "w3", 100);
	lose(b, "w3", true, 10000);
	assert_int_equal(crashes(b, "a"), 3);
	assert_int_equal(crashes(b, "b"), 3);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
	assert_int_equal(state_of(b, "b"), JTB_RUNNING);
}

/* The same of what had been at work for long beside it. */
static void what_had_been_at_work_is_no_suspect(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", 3000);
	runs(b, "b", 1, "w1", -1);
	lose(b, "w1", true, 0);
	assert_int_equal(crashes(b, "a"), 0);
	assert_int_equal(crashes(b, "b"), 1);
}

/* A service fails as workers crash on which it had been at work. */
static void work_that_was_at_work_is_never_given_up(void **state)
{
	struct bed *b = *state;
	int i;

	for (i = 1; i <= 6; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "v%d", i);
		worker(b, id, id);
		runs(b, "a", (uint32_t)i, id, 4500);
		lose(b, id, true, i * 10000);
	}
	assert_int_equal(crashes(b, "a"), 0);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
}

/* A suspect that went on to work is blamed for a crash of days later. */
static void a_suspect_that_works_is_cleared(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w2", 60000);
	lose(b, "w2", true, 70000);
	assert_int_equal(crashes(b, "a"), 0);
}

/* Jobs fail as their racks lose power, one after the other. */
static void a_rack_without_power_is_nobodys_fault(void **state)
{
	struct bed *b = *state;

	b->rack_silent = true;
	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w2", -1);
	lose(b, "w2", true, 5000);
	runs(b, "a", 3, "w3", -1);
	lose(b, "w3", true, 10000);
	assert_int_equal(crashes(b, "a"), 3);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
}

/* The same where the first of a rack to go can't know of the second. */
static void the_second_of_a_rack_is_nobodys_fault(void **state)
{
	struct bed *b = *state;

	worker(b, "w4", "r1");
	worker(b, "w5", "r5");
	runs(b, "a", 1, "w3", -1);
	lose(b, "w3", true, 0);
	runs(b, "a", 2, "w9", -1);
	lose(b, "w9", true, 4000);
	runs(b, "b", 1, "w1", -1);
	runs(b, "a", 3, "w4", -1);
	lose(b, "w1", true, 9000);
	lose(b, "w4", true, 9100);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
	runs(b, "a", 4, "w5", -1);
	lose(b, "w5", true, 19000);
	assert_int_equal(state_of(b, "a"), JTB_FAILED);
}

/* The same where workers crash on which nothing had begun. */
static void a_crash_for_no_reason_excuses_those_near_it(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w9", -1);
	lose(b, "w9", true, 3000);
	runs(b, "a", 3, "w2", -1);
	runs(b, "b", 1, "w3", 60000);
	lose(b, "w3", true, 9000);
	lose(b, "w2", true, 9100);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
}

/* Workers crash under a task for ever while VMs are moved. */
static void the_end_of_an_idle_worker_excuses_nobody(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w9", -1);
	lose(b, "w9", true, 3000);
	runs(b, "a", 3, "w2", -1);
	lose(b, "w3", true, 9000);
	lose(b, "w2", true, 9100);
	assert_int_equal(state_of(b, "a"), JTB_FAILED);
}

/* A task is started three times more after three crashes. */
static void nobody_survives_four_crashes(void **state)
{
	struct bed *b = *state;
	int i;

	b->rack_silent = true;
	for (i = 1; i <= 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "v%d", i);
		worker(b, id, "r");
		assert_int_equal(i == 1 || state_of(b, "a") == JTB_RUNNING,
				 true);
		runs(b, "a", (uint32_t)i, id, -1);
		lose(b, id, true, i * 10000);
	}
	assert_int_equal(state_of(b, "a"), JTB_FAILED);
}

/* Workers that are only cut off fail the jobs that had begun on them. */
static void a_silent_worker_finds_nobody_guilty(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", false, 0);
	runs(b, "a", 2, "w2", -1);
	lose(b, "w2", false, 9000);
	runs(b, "a", 3, "w3", -1);
	lose(b, "w3", false, 18000);
	assert_int_equal(crashes(b, "a"), 3);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
}

/* Guards against tasks tried alone as their worker was cut off, and is there. */
static void a_worker_that_is_there_yet_makes_no_suspects(void **state)
{
	struct bed *b = *state;

	b->alive = true;
	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", false, 0);
	assert_int_equal(crashes(b, "a"), 0);
	/* a lifetime that is over is one all the same */
	runs(b, "a", 2, "w2", -1);
	lose(b, "w2", true, 9000);
	assert_int_equal(crashes(b, "a"), 1);
}

/* A job fails by what the leader before had started long ago. */
static void what_an_earlier_leader_started_is_not_found_guilty(void **state)
{
	struct bed *b = *state;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w9", -1);
	lose(b, "w9", true, 4000);
	runs(b, "a", 3, "w2", -1)->inherited = true;
	lose(b, "w2", true, 9000);
	assert_int_equal(crashes(b, "a"), 3);
	assert_int_equal(state_of(b, "a"), JTB_RUNNING);
}

/* Several members of a gang on one worker are one job. */
static void tasks_of_one_job_are_one_suspect(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 500, .flags = JTB_GANG};
	uint32_t i;

	jobs_job(b->jtb, "g", &s, 1, JOBS_WALL_MS);
	for (i = 0; i < 3; i++)
		jobs_start(b->jtb, "g", 0, i, 1, "w1");
	lose(b, "w1", true, 0);
	for (i = 0; i < 3; i++)
		jobs_start(b->jtb, "g", 0, i, 2, "w2");
	lose(b, "w2", true, 9000);
	for (i = 0; i < 3; i++)
		jobs_start(b->jtb, "g", 0, i, 3, "w3");
	lose(b, "w3", true, 18000);
	assert_int_equal(state_of(b, "g"), JTB_FAILED);
}

/* The next leader begins to count anew: its table came from a snapshot. */
static void a_snapshot_holds_what_is_counted(void **state)
{
	struct bed *b = *state;
	struct pk_out o;

	runs(b, "a", 1, "w1", -1);
	lose(b, "w1", true, 0);
	runs(b, "a", 2, "w2", -1);
	lose(b, "w2", true, 4000);
	pk_out_init(&o);
	jtb_snapshot(b->jtb, &o);
	assert_true(jtb_restore(b->jtb, pk_out_view(&o)));
	pk_out_done(&o);
	assert_int_equal(crashes(b, "a"), 2);
	runs(b, "a", 3, "w3", -1);
	lose(b, "w3", true, 9000);
	assert_int_equal(state_of(b, "a"), JTB_FAILED);
}

/* A repeated job crashes workers anew in each of its turns. */
static void turns_of_a_job_are_counted_together(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 1, .cpu = 100, .estimate_ms = 500};
	struct jtb_spec spec = {
		.id = "r",
		.queue = (char *)"q",
		.text = (char *)"t",
		.steps = &s,
		.n_steps = 1,
		.repeats = 3,
		.every_ms = 1000,
	};
	struct jtb_name n = {.id = "r", .turn = 1};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_job(&o, &spec, JOBS_WALL_MS);
	jobs_apply(b->jtb, &o);
	jobs_start(b->jtb, "r", 0, 0, 1, "w1");
	lose(b, "w1", true, 0);
	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w2");
	jobs_apply(b->jtb, &o);
	lose(b, "w2", true, 9000);
	n.turn = 2;
	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w3");
	jobs_apply(b->jtb, &o);
	lose(b, "w3", true, 18000);
	assert_int_equal(state_of(b, "r"), JTB_FAILED);
}

/* A repeated job fails by one crash that is counted for each of its turns. */
static void turns_on_one_worker_are_counted_once(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 1, .cpu = 100, .estimate_ms = 500};
	struct jtb_spec spec = {
		.id = "r",
		.queue = (char *)"q",
		.text = (char *)"t",
		.steps = &s,
		.n_steps = 1,
		.repeats = 4,
		.every_ms = 1000,
	};
	struct jtb_name n = {.id = "r"};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_job(&o, &spec, JOBS_WALL_MS);
	jobs_apply(b->jtb, &o);
	for (n.turn = 0; n.turn < 4; n.turn++) {
		pk_out_init(&o);
		jtb_put_start(&o, &n, 1, "w1");
		jobs_apply(b->jtb, &o);
	}
	lose(b, "w1", true, 0);
	assert_int_equal(crashes(b, "r"), 1);
	assert_int_equal(state_of(b, "r"), JTB_RUNNING);
}

#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_task_alone_on_three_crashed_workers_is_given_up),
		T(tasks_beside_another_that_began_are_not_given_up),
		T(what_had_been_at_work_is_no_suspect),
		T(work_that_was_at_work_is_never_given_up),
		T(a_suspect_that_works_is_cleared),
		T(a_rack_without_power_is_nobodys_fault),
		T(the_second_of_a_rack_is_nobodys_fault),
		T(a_crash_for_no_reason_excuses_those_near_it),
		T(the_end_of_an_idle_worker_excuses_nobody),
		T(nobody_survives_four_crashes),
		T(a_silent_worker_finds_nobody_guilty),
		T(a_worker_that_is_there_yet_makes_no_suspects),
		T(what_an_earlier_leader_started_is_not_found_guilty),
		T(tasks_of_one_job_are_one_suspect),
		T(a_snapshot_holds_what_is_counted),
		T(turns_of_a_job_are_counted_together),
		T(turns_on_one_worker_are_counted_once),
	};

	return cmocka_run_group_tests_name("crs", tests, NULL, NULL);
}
