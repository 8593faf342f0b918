#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "crs.h"
#include "jobs_make.h"

#define NOW_MS 100000

/* Workers w1, w2, w3 and w9, each on a rack of its own. */
struct fixture {
	struct jtb *jtb;
	struct crs *crs;
	bool rack_unreachable;
	bool alive;
};

static int64_t on_observed_ms(void *arg, const struct jtb_run *run)
{
	return sch_observed_ms(run);
}

static bool on_rack_unreachable(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return f->rack_unreachable;
}

static bool on_alive(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return f->alive;
}

static const struct crs_ops crs_callbacks = {
	.observed_ms = on_observed_ms,
	.rack_unreachable = on_rack_unreachable,
	.alive = on_alive,
};

static void add_worker(struct fixture *f, const char *id, const char *rack)
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
	jobs_apply(f->jtb, &o);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->jtb = jtb_new(NULL, NULL);
	f->crs = crs_new(&crs_callbacks, f);
	jobs_config(f->jtb, 1, "p", 3);
	add_worker(f, "w1", "r1");
	add_worker(f, "w2", "r2");
	add_worker(f, "w3", "r3");
	add_worker(f, "w9", "r9");
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	crs_free(f->crs);
	jtb_free(f->jtb);
	g_free(f);
	return 0;
}

static void submit(struct fixture *f, const char *id, uint32_t count)
{
	struct jtb_step s = {.count = count, .cpu = 100, .estimate_ms = 500};

	jobs_job(f->jtb, id, &s, 1, JOBS_WALL_MS);
}

/*
 * Starts task 0 of a job on a worker that has listed it for seen_ms; negative:
 * that has not listed it.
 */
static struct jtb_run *start_run(struct fixture *f, const char *id,
				 uint32_t attempt, const char *w,
				 int64_t seen_ms)
{
	struct jtb_name n = {0};
	struct jtb_run *run;

	if (!jtb_job(f->jtb, id))
		submit(f, id, 1);
	g_strlcpy(n.id, id, sizeof(n.id));
	jobs_start(f->jtb, id, 0, 0, attempt, w);
	run = jtb_find_run(f->jtb, &n, attempt, w);
	assert_non_null(run);
	if (seen_ms >= 0) {
		run->first_running_ms = 1;
		run->last_running_ms = 1 + seen_ms;
	}
	return run;
}

/* Loses a worker and applies that to the job table. */
static void lose_worker(struct fixture *f, const char *id, bool crashed,
			int64_t at_ms)
{
	struct jtb_blame blame;
	struct pk_out o;

	crs_record_loss(f->crs, jtb_worker(f->jtb, id), crashed, NOW_MS + at_ms,
			&blame);
	pk_out_init(&o);
	jtb_put_worker_crashed(&o, id, crashed, &blame, JOBS_WALL_MS);
	jobs_apply(f->jtb, &o);
	jtb_blame_clear(&blame);
}

static uint32_t crashes(struct fixture *f, const char *id)
{
	return jtb_max_crashes(jtb_job(f->jtb, id));
}

static enum jtb_job_state state_of(struct fixture *f, const char *id)
{
	return jtb_job(f->jtb, id)->state;
}

/* Guards against a task that crashes one worker after another without end. */
static void sole_suspect_of_three_crashes_fails(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	assert_int_equal(crashes(f, "a"), 1);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	start_run(f, "a", 2, "w2", 50);
	lose_worker(f, "w2", true, 5000);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	start_run(f, "a", 3, "w3", 50);
	lose_worker(f, "w3", true, 10000);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/*
 * Guards against jobs that fail because they started beside the one that
 * crashes its workers, each time.
 */
static void tasks_started_together_do_not_fail(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	start_run(f, "b", 1, "w1", 100);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w2", -1);
	start_run(f, "b", 2, "w2", 100);
	lose_worker(f, "w2", true, 5000);
	start_run(f, "a", 3, "w3", -1);
	start_run(f, "b", 3, "w3", 100);
	lose_worker(f, "w3", true, 10000);
	assert_int_equal(crashes(f, "a"), 3);
	assert_int_equal(crashes(f, "b"), 3);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	assert_int_equal(state_of(f, "b"), JTB_RUNNING);
}

/*
 * Guards against jobs that become suspects though they had been running for
 * long beside the one that crashes the worker.
 */
static void observed_run_is_no_suspect(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", 3000);
	start_run(f, "b", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	assert_int_equal(crashes(f, "a"), 0);
	assert_int_equal(crashes(f, "b"), 1);
}

/*
 * Guards against a service that fails as workers crash on which it had been
 * running for long.
 */
static void observed_service_never_fails(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 1; i <= 6; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "v%d", i);
		add_worker(f, id, id);
		start_run(f, "a", (uint32_t)i, id, 4500);
		lose_worker(f, id, true, i * 10000);
	}
	assert_int_equal(crashes(f, "a"), 0);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
}

/*
 * Guards against a suspect that ran well since then and is blamed for a crash
 * days later.
 */
static void suspect_observed_running_is_cleared(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w2", 60000);
	lose_worker(f, "w2", true, 70000);
	assert_int_equal(crashes(f, "a"), 0);
}

/*
 * Guards against jobs that fail as their racks lose power, one after another.
 */
static void rack_failure_fails_no_job(void **state)
{
	struct fixture *f = *state;

	f->rack_unreachable = true;
	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w2", -1);
	lose_worker(f, "w2", true, 5000);
	start_run(f, "a", 3, "w3", -1);
	lose_worker(f, "w3", true, 10000);
	assert_int_equal(crashes(f, "a"), 3);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
}

/*
 * Guards against jobs that fail as a rack loses power: when its first worker is
 * lost, the loss of the second is not known yet.
 */
static void second_loss_on_a_rack_is_shared(void **state)
{
	struct fixture *f = *state;

	add_worker(f, "w4", "r1");
	add_worker(f, "w5", "r5");
	start_run(f, "a", 1, "w3", -1);
	lose_worker(f, "w3", true, 0);
	start_run(f, "a", 2, "w9", -1);
	lose_worker(f, "w9", true, 4000);
	start_run(f, "b", 1, "w1", -1);
	start_run(f, "a", 3, "w4", -1);
	lose_worker(f, "w1", true, 9000);
	lose_worker(f, "w4", true, 9100);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	start_run(f, "a", 4, "w5", -1);
	lose_worker(f, "w5", true, 19000);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/*
 * Guards against jobs that fail as workers are lost together, among them one on
 * which nothing had just started.
 */
static void unexplained_loss_makes_nearby_losses_shared(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w9", -1);
	lose_worker(f, "w9", true, 3000);
	start_run(f, "a", 3, "w2", -1);
	start_run(f, "b", 1, "w3", 60000);
	lose_worker(f, "w3", true, 9000);
	lose_worker(f, "w2", true, 9100);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
}

/*
 * Guards against a task that crashes workers without end while idle workers
 * exit as their VMs are moved.
 */
static void exit_of_idle_worker_is_no_unexplained_loss(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w9", -1);
	lose_worker(f, "w9", true, 3000);
	start_run(f, "a", 3, "w2", -1);
	lose_worker(f, "w3", true, 9000);
	lose_worker(f, "w2", true, 9100);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/*
 * Guards against retries on a rack that loses its power, and against a rack that
 * is avoided for good.
 */
static void rack_of_a_lost_worker_is_lost_for_a_while(void **state)
{
	struct fixture *f = *state;
	const struct jtb_worker *w;

	add_worker(f, "w4", "r1");
	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	w = jtb_worker(f->jtb, "w4");
	assert_true(crs_rack_lost(f->crs, w, NOW_MS + CRS_WINDOW_MS));
	assert_false(crs_rack_lost(f->crs, w, NOW_MS + CRS_WINDOW_MS + 1));
	assert_false(crs_rack_lost(f->crs, jtb_worker(f->jtb, "w2"), NOW_MS));
}

/* Loses so many workers of a rack without power just as a task starts there. */
static void crash_on_shared_losses(struct fixture *f, uint32_t first,
				   uint32_t n)
{
	uint32_t i;

	f->rack_unreachable = true;
	for (i = first; i < first + n; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "v%u", i);
		add_worker(f, id, "r");
		start_run(f, "a", i, id, -1);
		lose_worker(f, id, true, i * 10000);
	}
}

/*
 * Guards against a task that is restarted without end as all its crashes are
 * shared ones: no more than two starts follow its third crash.
 */
static void two_starts_follow_a_third_shared_crash(void **state)
{
	struct fixture *f = *state;

	crash_on_shared_losses(f, 1, 4);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	crash_on_shared_losses(f, 5, 1);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/*
 * Guards against a task that crashes its workers and is excused because half of
 * the losses came with others.
 */
static void fourth_crash_fails_a_task_if_half_were_its_own(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w9", -1);
	lose_worker(f, "w9", true, 4000);
	crash_on_shared_losses(f, 3, 1);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
	crash_on_shared_losses(f, 4, 1);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/*
 * Guards against jobs that fail as the workers where they had started are only
 * partitioned.
 */
static void unreachable_workers_fail_no_job(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", false, 0);
	start_run(f, "a", 2, "w2", -1);
	lose_worker(f, "w2", false, 9000);
	start_run(f, "a", 3, "w3", -1);
	lose_worker(f, "w3", false, 18000);
	assert_int_equal(crashes(f, "a"), 3);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
}

/*
 * Guards against isolated retries for a worker that is only partitioned and
 * known to be running.
 */
static void running_worker_makes_no_suspects(void **state)
{
	struct fixture *f = *state;

	f->alive = true;
	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", false, 0);
	assert_int_equal(crashes(f, "a"), 0);
	/* The end of the worker process counts as a crash in any case. */
	start_run(f, "a", 2, "w2", -1);
	lose_worker(f, "w2", true, 9000);
	assert_int_equal(crashes(f, "a"), 1);
}

/*
 * Guards against a job that fails for a run which the previous leader had
 * started long ago.
 */
static void inherited_run_does_not_fail_its_job(void **state)
{
	struct fixture *f = *state;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w9", -1);
	lose_worker(f, "w9", true, 4000);
	start_run(f, "a", 3, "w2", -1)->inherited = true;
	lose_worker(f, "w2", true, 9000);
	assert_int_equal(crashes(f, "a"), 3);
	assert_int_equal(state_of(f, "a"), JTB_RUNNING);
}

/*
 * Several members of a gang on one worker don't excuse each other: they are one
 * job.
 */
static void gang_members_are_one_suspect(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 500, .flags = JTB_GANG};
	uint32_t i;

	jobs_job(f->jtb, "g", &s, 1, JOBS_WALL_MS);
	for (i = 0; i < 3; i++)
		jobs_start(f->jtb, "g", 0, i, 1, "w1");
	lose_worker(f, "w1", true, 0);
	for (i = 0; i < 3; i++)
		jobs_start(f->jtb, "g", 0, i, 2, "w2");
	lose_worker(f, "w2", true, 9000);
	for (i = 0; i < 3; i++)
		jobs_start(f->jtb, "g", 0, i, 3, "w3");
	lose_worker(f, "w3", true, 18000);
	assert_int_equal(state_of(f, "g"), JTB_FAILED);
}

/*
 * Guards against crash counts that are lost with a change of leader, whose
 * table is read from a snapshot.
 */
static void snapshot_keeps_crash_counts(void **state)
{
	struct fixture *f = *state;
	struct pk_out o;

	start_run(f, "a", 1, "w1", -1);
	lose_worker(f, "w1", true, 0);
	start_run(f, "a", 2, "w2", -1);
	lose_worker(f, "w2", true, 4000);
	pk_out_init(&o);
	jtb_snapshot(f->jtb, &o);
	assert_true(jtb_restore(f->jtb, pk_out_view(&o)));
	pk_out_done(&o);
	assert_int_equal(crashes(f, "a"), 2);
	start_run(f, "a", 3, "w3", -1);
	lose_worker(f, "w3", true, 9000);
	assert_int_equal(state_of(f, "a"), JTB_FAILED);
}

/* Guards against a repeated job that crashes workers in each of its turns. */
static void crashes_of_all_turns_are_added(void **state)
{
	struct fixture *f = *state;
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
	jobs_apply(f->jtb, &o);
	jobs_start(f->jtb, "r", 0, 0, 1, "w1");
	lose_worker(f, "w1", true, 0);
	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w2");
	jobs_apply(f->jtb, &o);
	lose_worker(f, "w2", true, 9000);
	n.turn = 2;
	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w3");
	jobs_apply(f->jtb, &o);
	lose_worker(f, "w3", true, 18000);
	assert_int_equal(state_of(f, "r"), JTB_FAILED);
}

/*
 * Guards against a repeated job that fails by one crash counted for each of its
 * turns.
 */
static void one_crash_with_several_turns_counts_once(void **state)
{
	struct fixture *f = *state;
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
	jobs_apply(f->jtb, &o);
	for (n.turn = 0; n.turn < 4; n.turn++) {
		pk_out_init(&o);
		jtb_put_start(&o, &n, 1, "w1");
		jobs_apply(f->jtb, &o);
	}
	lose_worker(f, "w1", true, 0);
	assert_int_equal(crashes(f, "r"), 1);
	assert_int_equal(state_of(f, "r"), JTB_RUNNING);
}

#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(sole_suspect_of_three_crashes_fails),
		T(tasks_started_together_do_not_fail),
		T(observed_run_is_no_suspect),
		T(observed_service_never_fails),
		T(suspect_observed_running_is_cleared),
		T(rack_failure_fails_no_job),
		T(second_loss_on_a_rack_is_shared),
		T(unexplained_loss_makes_nearby_losses_shared),
		T(exit_of_idle_worker_is_no_unexplained_loss),
		T(rack_of_a_lost_worker_is_lost_for_a_while),
		T(two_starts_follow_a_third_shared_crash),
		T(fourth_crash_fails_a_task_if_half_were_its_own),
		T(unreachable_workers_fail_no_job),
		T(running_worker_makes_no_suspects),
		T(inherited_run_does_not_fail_its_job),
		T(gang_members_are_one_suspect),
		T(snapshot_keeps_crash_counts),
		T(crashes_of_all_turns_are_added),
		T(one_crash_with_several_turns_counts_once),
	};

	return cmocka_run_group_tests_name("crs", tests, NULL, NULL);
}
