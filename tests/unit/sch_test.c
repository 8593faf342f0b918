#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "sch.h"

#define PLAN_MS 100000

struct fixture {
	struct jtb *jtb;
	GHashTable *closed;
	GString *log; /* JOB.STEP.INDEX@WORKER of each start, in order */
	int unschedulable;
	int64_t wall;
	const char *upkeep_due;
	const char *lost_rack;
	bool keep_proposed; /* proposed starts are not committed */
	int64_t elapsed_ms; /* time since the first plan */
	const char *tickets; /* JOB@WORKER of each existing ticket */
};

static bool on_usable(void *arg, const struct jtb_worker *w)
{
	return !w->info.draining;
}

static bool on_upkeep_due(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return f->upkeep_due && strcmp(f->upkeep_due, w->info.id) == 0;
}

static bool on_rack_lost(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return f->lost_rack && strcmp(f->lost_rack, w->info.id) == 0;
}

static bool on_has_ticket(void *arg, const struct jtb_job *job, uint32_t turn,
			  uint32_t step, const struct jtb_worker *w)
{
	const struct fixture *f = arg;
	char *one = g_strdup_printf("%s@%s", job->spec.id, w->info.id);
	bool found = strstr(f->tickets, one) != NULL;

	g_free(one);
	return found;
}

static void on_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		     uint32_t attempt, struct jtb_worker *w)
{
	struct fixture *f = arg;

	g_string_append_printf(f->log, "%s.%u.%u@%s ", n->id, n->step, n->index,
			       w->info.id);
	if (f->keep_proposed)
		jtb_propose_start(job, n, w);
	else
		jobs_start(f->jtb, n->id, n->step, n->index, attempt,
			   w->info.id);
}

static void on_unschedulable(void *arg, const char *pool)
{
	struct fixture *f = arg;

	f->unschedulable++;
}

static void run_plan(struct fixture *f)
{
	struct sch_view v = {
		.jtb = f->jtb,
		.closed = f->closed,
		.now_ms = PLAN_MS + f->elapsed_ms,
		.wall_ms = f->wall,
		.arg = f,
		.usable = on_usable,
		.upkeep_due = on_upkeep_due,
		.rack_lost = on_rack_lost,
		.has_ticket = on_has_ticket,
		.start = on_start,
		.unschedulable = on_unschedulable,
	};

	g_string_truncate(f->log, 0);
	sch_plan(&v, "p");
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->jtb = jtb_new(NULL, NULL);
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	f->log = g_string_new(NULL);
	f->wall = JOBS_WALL_MS;
	jobs_config(f->jtb, 1, "p", 3);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	jtb_free(f->jtb);
	g_hash_table_destroy(f->closed);
	g_string_free(f->log, TRUE);
	g_free(f);
	return 0;
}

static void submit(struct fixture *f, const char *id, uint32_t count,
		   uint32_t cpu, uint32_t estimate_ms, uint32_t flags,
		   int64_t age_ms)
{
	struct jtb_step s = {.count = count,
			     .cpu = cpu,
			     .estimate_ms = estimate_ms,
			     .flags = flags};

	jobs_job(f->jtb, id, &s, 1, f->wall - age_ms);
}

/* Runs a job of one task that fails on a worker. */
static void fail_on(struct fixture *f, int n, const char *worker)
{
	char id[16];

	g_snprintf(id, sizeof(id), "f%d", n);
	submit(f, id, 1, 1000, 500, 0, 0);
	jobs_start(f->jtb, id, 0, 0, 1, worker);
	jobs_end(f->jtb, id, 0, 0, 1, worker, JTB_FAILED_RUN);
	jobs_cancel(f->jtb, id);
}

/* Returns the worker on which one more job is placed, or an empty string. */
static char *place_one(struct fixture *f)
{
	char *at;

	submit(f, "next", 1, 1000, 500, 0, 0);
	run_plan(f);
	at = strchr(f->log->str, '@');
	return at ? g_strstrip(at + 1) : f->log->str;
}

static void add_three_workers(struct fixture *f)
{
	jobs_worker(f->jtb, "w1", 16000, false);
	jobs_worker(f->jtb, "w2", 3000, false);
	jobs_worker(f->jtb, "w3", 3000, false);
	submit(f, "a", 2, 1000, 100000, 0, 0);
	jobs_start(f->jtb, "a", 0, 0, 1, "w2");
	jobs_start(f->jtb, "a", 0, 1, 1, "w3");
	submit(f, "b", 1, 7000, 100000, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
}

/*
 * Guards against a worker that fails every task and attracts all waiting jobs:
 * after three jobs in a row failed on it, it gets no fourth for a while.
 */
static void worker_that_fails_every_job_is_backed_off(void **state)
{
	struct fixture *f = *state;

	add_three_workers(f);
	fail_on(f, 1, "w1");
	fail_on(f, 2, "w1");
	fail_on(f, 3, "w1");
	assert_string_not_equal(place_one(f), "w1");
}

/*
 * A worker on which jobs fail now and then, with completed ones in between, is
 * not backed off from.
 */
static void completed_job_clears_a_worker(void **state)
{
	struct fixture *f = *state;
	int i;

	add_three_workers(f);
	for (i = 0; i < 12; i += 2) {
		char id[16];

		fail_on(f, i, "w1");
		fail_on(f, i + 1, "w1");
		g_snprintf(id, sizeof(id), "d%d", i);
		submit(f, id, 1, 1000, 500, 0, 0);
		jobs_start(f->jtb, id, 0, 0, 1, "w1");
		jobs_end(f->jtb, id, 0, 0, 1, "w1", JTB_DONE);
	}
	assert_string_equal(place_one(f), "w1");
}

/*
 * Guards against a long-running task without a run beside free capacity: a job
 * that fails at once wherever it runs made all workers of its pool suspect in
 * turn. A long-running task only waits out the pause of such a worker.
 */
static void long_running_task_waits_only_for_the_pause(void **state)
{
	struct fixture *f = *state;

	add_three_workers(f);
	fail_on(f, 1, "w1");
	fail_on(f, 2, "w1");
	fail_on(f, 3, "w1");
	submit(f, "l", 1, 8000, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	/* The task has failed before, and another one runs on the worker. */
	jobs_start(f->jtb, "l", 0, 0, 1, "w2");
	jobs_end(f->jtb, "l", 0, 0, 1, "w2", JTB_FAILED_RUN);
	submit(f, "m", 1, 100, 0, JTB_LONG_RUNNING, 0);
	jobs_start(f->jtb, "m", 0, 0, 1, "w1");
	f->elapsed_ms = 5000;
	run_plan(f);
	assert_string_equal(f->log->str, "l.0.0@w1 ");
}

/*
 * Guards against a pool that stops: jobs that fail wherever they run make all
 * its workers look faulty.
 */
static void failing_jobs_make_no_worker_backed_off(void **state)
{
	struct fixture *f = *state;
	const char *const workers[] = {"w1", "w2", "w3"};
	char id[16];
	int i;
	int w;

	add_three_workers(f);
	/*
	 * Each job counts against one worker at most, the one where it failed
	 * first.
	 */
	for (i = 0; i < 9; i++) {
		g_snprintf(id, sizeof(id), "bad%d", i);
		submit(f, id, 1, 1000, 500, 0, 0);
		for (w = 0; w < 3; w++) {
			jobs_start(f->jtb, id, 0, 0, (uint32_t)w + 1,
				   workers[(i + w) % 3]);
			jobs_end(f->jtb, id, 0, 0, (uint32_t)w + 1,
				 workers[(i + w) % 3], JTB_FAILED_RUN);
		}
		assert_int_equal(jtb_job(f->jtb, id)->state, JTB_FAILED);
	}
	assert_string_equal(place_one(f), "w1");
}

/* Returns the number of runs on a worker. */
static guint runs_on(struct fixture *f, const char *worker)
{
	return jtb_worker(f->jtb, worker)->runs->len;
}

/*
 * Starts a job of one task of four cores and completes the job before the
 * previous one.
 */
static void run_passing_job(struct fixture *f, int n)
{
	char id[16];
	const struct jtb_job *old;

	g_snprintf(id, sizeof(id), "p%d", n);
	submit(f, id, 1, 4000, 500, 0, 0);
	run_plan(f);
	g_snprintf(id, sizeof(id), "p%d", n - 2);
	old = jtb_job(f->jtb, id);
	if (old)
		jobs_end(f->jtb, id, 0, 0, 1,
			 jtb_step_state(old, 0, 0)
				 ->tasks[0]
				 .run->worker->info.id,
			 JTB_DONE);
}

/*
 * Guards against VMs that stay occupied after a burst: a trickle of jobs spread
 * over all four workers would keep each of them busy, while the next pool's
 * burst waits for VMs. Packed on one worker, it leaves three empty.
 */
static void remainder_of_a_burst_is_packed(void **state)
{
	static const char *const workers[] = {"w1", "w2", "w3", "w4"};
	struct fixture *f = *state;
	guint empty = 0;
	size_t w;
	int i;

	for (w = 0; w < G_N_ELEMENTS(workers); w++)
		jobs_worker(f->jtb, workers[w], 16000, false);
	submit(f, "burst", 12, 4000, 500, 0, 0);
	run_plan(f);
	for (i = 0; i < 12; i++) {
		const struct jtb_step_state *part =
			jtb_step_state(jtb_job(f->jtb, "burst"), 0, 0);

		run_passing_job(f, i);
		jobs_end(f->jtb, "burst", 0, (uint32_t)i, 1,
			 part->tasks[i].run->worker->info.id, JTB_DONE);
	}
	for (i = 12; i < 24; i++)
		run_passing_job(f, i);
	for (w = 0; w < G_N_ELEMENTS(workers); w++)
		empty += !runs_on(f, workers[w]);
	assert_int_equal(empty, 3);
}

/*
 * 10,000 jobs are cancelled while another one is submitted: that one starts
 * with the next plan, and each cancelled job has exactly one outcome.
 */
static void mass_cancellation_delays_no_start(void **state)
{
	struct fixture *f = *state;
	char id[16];
	int i;

	jobs_worker(f->jtb, "w1", 16000, false);
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		submit(f, id, 1, 4000, 1000, 0, 0);
	}
	run_plan(f);
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		jobs_cancel(f->jtb, id);
		if (i == 5000)
			submit(f, "urgent", 1, 4000, 1000, 0, 0);
	}
	for (i = 0; i < 10000; i++) {
		const struct jtb_job *j;

		g_snprintf(id, sizeof(id), "j%d", i);
		j = jtb_job(f->jtb, id);
		assert_int_equal(j->state, JTB_CANCELLED);
		if (j->n_runs)
			jobs_end(f->jtb, id, 0, 0, 1, "w1", JTB_STOPPED);
		assert_int_equal(j->state, JTB_CANCELLED);
	}
	run_plan(f);
	assert_string_equal(f->log->str, "urgent.0.0@w1 ");
}

/*
 * Guards against an idle pool with waiting jobs: many jobs that no worker can
 * ever run, or only a draining one, rank first, and a plan ended after forty
 * failed placements.
 */
static void unplaceable_long_running_jobs_delay_no_job(void **state)
{
	static char absent[] = "absent-label";
	struct fixture *f = *state;
	struct jtb_step s = {.count = 1,
			     .cpu = 1000,
			     .flags = JTB_LONG_RUNNING,
			     .label = absent};
	char id[16];
	int i;

	jobs_worker(f->jtb, "w1", 4000, false);
	jobs_worker(f->jtb, "w2", 64000, true);
	for (i = 0; i < 100; i++) {
		g_snprintf(id, sizeof(id), "never%d", i);
		jobs_job(f->jtb, id, &s, 1, f->wall);
		g_snprintf(id, sizeof(id), "large%d", i);
		submit(f, id, 1, 32000 + (uint32_t)i, 1000, JTB_LONG_RUNNING,
		       0);
	}
	submit(f, "a", 1, 1000, 1000, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
}

/*
 * Guards against capacity given to a job that is late already while another
 * could meet its objective: the estimates of its queue are twice too high, so
 * its objective is earlier than it looks.
 */
static void too_high_estimate_makes_objective_earlier(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 1000, false);
	submit(f, "sure", 1, 1000, 1000, 0, 0);
	submit(f, "high", 1, 1000, 500, 0, 700);
	jtb_job(f->jtb, "high")->estimate_ratio = 0.5;
	run_plan(f);
	assert_string_equal(f->log->str, "sure.0.0@w ");
}

/*
 * Guards against lost work: a task is placed on a VM that is about to be
 * switched off.
 */
static void closed_worker_gets_no_task(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_worker(f->jtb, "w2", 1000, false);
	g_hash_table_add(f->closed, (gpointer) "w1");
	submit(f, "s1", 2, 1000, 100, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "s1.0.0@w2 ");
}

/*
 * Guards against a long-running task without a run for a whole burst: short
 * tasks fill each gap at once, and two cores are never free at the same time.
 */
static void long_running_task_goes_first(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "s1", 2, 1000, 100, 0, 0);
	submit(f, "l1", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "l1.0.0@w ");
}

/*
 * Guards against a gang with a limit of tasks per worker that runs on one
 * worker, so that one fault ends all of it: no member was counted until all
 * were placed.
 */
static void gang_respects_limit_per_worker(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1,
			     .flags = JTB_GANG};

	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_job(f->jtb, "g", &s, 1, f->wall);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	jobs_worker(f->jtb, "w2", 2000, false);
	run_plan(f);
	assert_non_null(strstr(f->log->str, "@w1"));
	assert_non_null(strstr(f->log->str, "@w2"));
}

/*
 * Guards against exceeding the limit of tasks per worker: tasks that run
 * already were not counted.
 */
static void running_tasks_count_for_limit_per_worker(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1};

	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_job(f->jtb, "a", &s, 1, f->wall);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
	run_plan(f);
	assert_string_equal(f->log->str, "");
}

/*
 * Guards against estimates learned from durations that are too short: a run
 * ordered by an earlier leader counts from the change of leader, and one
 * resumed from saved progress runs only the rest.
 */
static void only_complete_runs_are_duration_samples(void **state)
{
	struct fixture *f = *state;
	struct jtb_run *run;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "a", 1, 1000, 100, 0, 0);
	run_plan(f);
	run = g_ptr_array_index(jtb_worker(f->jtb, "w")->runs, 0);
	run->ordered_ms = PLAN_MS;
	assert_true(sch_is_time_sample(run, JTB_DONE, PLAN_MS - 1));
	assert_false(sch_is_time_sample(run, JTB_DONE, PLAN_MS));
	assert_false(sch_is_time_sample(run, JTB_STOPPED, PLAN_MS - 1));
	run->attempt = 2;
	assert_false(sch_is_time_sample(run, JTB_DONE, PLAN_MS - 1));
	run->attempt = 1;
	run->job->spec.steps[0].flags = JTB_GANG;
	assert_false(sch_is_time_sample(run, JTB_DONE, PLAN_MS - 1));
}

/*
 * Guards against a use after free in the leader: a worker is removed while a
 * start for it is proposed, and the next plan counts that start on freed
 * memory.
 */
static void proposed_start_survives_removal_of_its_worker(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1};

	f->keep_proposed = true;
	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_job(f->jtb, "a", &s, 1, f->wall);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
	jobs_worker_lost(f->jtb, "w1", true);
	jobs_worker(f->jtb, "w2", 2000, false);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.1@w2 ");
}

/* Guards against short tasks that keep out a larger long-running one. */
static void worker_is_reserved_for_long_running_task(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "s1", 2, 1000, 100, 0, 0);
	run_plan(f);
	submit(f, "l1", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	submit(f, "s2", 2, 1000, 100, 0, 0);
	jobs_end(f->jtb, "s1", 0, 0, 1, "w", JTB_DONE);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	assert_int_equal(f->unschedulable, 1);
	jobs_end(f->jtb, "s1", 0, 1, 1, "w", JTB_DONE);
	run_plan(f);
	assert_string_equal(f->log->str, "l1.0.0@w ");
}

/*
 * Guards against nearly all jobs being late in a burst of several times the
 * capacity: each waits until it can't meet its objective any more and is then
 * served. Jobs that can meet it go first, the newest of them first of all.
 */
static void job_that_can_meet_its_objective_goes_first(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 1000, false);
	submit(f, "hopeless", 1, 1000, 1000, 0, 60000);
	submit(f, "late", 1, 1000, 1000, 0, 2500);
	submit(f, "old", 1, 1000, 1000, 0, 500);
	submit(f, "new", 1, 1000, 1000, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "new.0.0@w ");
	jobs_end(f->jtb, "new", 0, 0, 1, "w", JTB_DONE);
	run_plan(f);
	assert_string_equal(f->log->str, "old.0.0@w ");
	jobs_end(f->jtb, "old", 0, 0, 1, "w", JTB_DONE);
	run_plan(f);
	assert_string_equal(f->log->str, "late.0.0@w ");
}

/* Guards against many started jobs of which none finishes. */
static void started_job_goes_first(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 1000, false);
	submit(f, "begun", 2, 1000, 300, 0, 100);
	run_plan(f);
	submit(f, "new", 1, 1000, 300, 0, 0);
	jobs_end(f->jtb, "begun", 0, 0, 1, "w", JTB_DONE);
	run_plan(f);
	assert_string_equal(f->log->str, "begun.0.1@w ");
}

/* A task is not placed on a worker without enough free capacity. */
static void task_is_placed_only_where_it_fits(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 1500, false);
	jobs_worker(f->jtb, "w2", 900, true);
	submit(f, "a", 3, 1000, 300, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
}

/* A step with a limit of tasks per worker does not exceed it. */
static void limit_per_worker_is_respected(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 10, .max_per_worker = 1};

	jobs_worker(f->jtb, "w1", 9000, false);
	jobs_worker(f->jtb, "w2", 9000, false);
	jobs_job(f->jtb, "a", &s, 1, f->wall);
	run_plan(f);
	assert_int_equal(jtb_worker(f->jtb, "w1")->runs->len, 1);
	assert_int_equal(jtb_worker(f->jtb, "w2")->runs->len, 1);
	assert_int_equal(sch_min_workers(jtb_job(f->jtb, "a"), f->wall), 3);
}

/* The limit of tasks per worker counts proposed starts. */
static void proposed_tasks_count_for_limit_per_worker(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 10, .max_per_worker = 1};
	const struct jtb_step_state *part;

	f->keep_proposed = true;
	jobs_worker(f->jtb, "w1", 9000, false);
	jobs_worker(f->jtb, "w2", 9000, false);
	jobs_job(f->jtb, "a", &s, 1, f->wall);
	run_plan(f);
	part = &jtb_job(f->jtb, "a")->turns[0].steps[0];
	assert_int_equal(part->n_proposed, 2);
	run_plan(f);
	assert_int_equal(part->n_proposed, 2);
}

/*
 * Guards against a task that fails at once, is restarted at once on the same
 * worker, and uses up all its attempts within moments.
 */
static void ended_task_is_retried_after_a_delay(void **state)
{
	struct fixture *f = *state;
	struct jtb_task *task;

	jobs_worker(f->jtb, "w", 9000, false);
	submit(f, "a", 1, 100, 10, 0, 0);
	run_plan(f);
	jobs_end(f->jtb, "a", 0, 0, 1, "w", JTB_FAILED_RUN);
	task = &jtb_job(f->jtb, "a")->turns[0].steps[0].tasks[0];
	task->last_end_ms = PLAN_MS;
	run_plan(f);
	assert_string_equal(f->log->str, "");
	task->last_end_ms = 0;
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w ");
}

/* A task is not placed on a worker without the required label. */
static void task_needs_its_label(void **state)
{
	struct fixture *f = *state;
	char label[] = "kind-b";
	struct jtb_step s = {
		.count = 1, .cpu = 100, .estimate_ms = 10, .label = label};

	jobs_worker(f->jtb, "w1", 9000, false);
	jobs_job(f->jtb, "a", &s, 1, f->wall);
	run_plan(f);
	assert_string_equal(f->log->str, "");
}

/*
 * Guards against a part of a gang that occupies capacity and waits for members
 * that never start.
 */
static void gang_starts_whole_or_not_at_all(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 2000, false);
	submit(f, "g", 3, 1000, 300, JTB_GANG, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	jobs_worker(f->jtb, "w2", 1000, false);
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 3);
	/*
	 * One member has ended: the others go on, and no new member joins them.
	 */
	jobs_worker(f->jtb, "w3", 9000, false);
	jobs_end(f->jtb, "g", 0, 1, 1, "w1", JTB_LOST);
	run_plan(f);
	assert_string_equal(f->log->str, "");
}

/* A turn of a repeated job starts at its time, not before. */
static void turn_starts_at_its_time(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 1, .cpu = 100, .estimate_ms = 10};
	struct jtb_spec spec = {
		.id = "r",
		.queue = (char *)"q",
		.text = (char *)"t",
		.steps = &s,
		.n_steps = 1,
		.repeats = 2,
		.first_ms = JOBS_WALL_MS + 1000,
		.every_ms = 5000,
	};
	struct pk_out o;

	jobs_worker(f->jtb, "w", 2000, false);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, f->wall);
	jobs_apply(f->jtb, &o);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	f->wall += 1000;
	run_plan(f);
	assert_string_equal(f->log->str, "r.0.0@w ");
}

/* A long-running task isn't placed on a VM that is due for upkeep. */
static void vm_due_for_upkeep_is_avoided(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 16000, false);
	jobs_worker(f->jtb, "w2", 8000, false);
	f->upkeep_due = "w1";
	submit(f, "l", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "l.0.0@w2 ");
}

/*
 * Submits n jobs that no worker can ever run; accepted 60 s ago, they rank
 * first among the late jobs.
 */
static void submit_unplaceable(struct fixture *f, int n, struct jtb_step *s)
{
	char id[16];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "x%d", i);
		jobs_job(f->jtb, id, s, 1, f->wall - 60000);
	}
}

/*
 * Guards against an idle pool whose jobs wait for ever: before them rank many
 * that no worker can run, as each needs a label that no worker has, or is
 * larger than every worker. A failed placement was taken as a sign that the
 * pool is full.
 */
static void unplaceable_jobs_delay_no_job(void **state)
{
	struct fixture *f = *state;
	char label[] = "kind-none";
	struct jtb_step labelled = {
		.count = 1, .cpu = 100, .estimate_ms = 10, .label = label};
	struct jtb_step large = {.count = 1, .cpu = 5000, .estimate_ms = 10};

	jobs_worker(f->jtb, "w", 2000, false);
	submit_unplaceable(f, 60, &labelled);
	submit(f, "a", 1, 1000, 1000, 0, 60000);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w ");
	large.flags = JTB_LONG_RUNNING;
	jobs_end(f->jtb, "a", 0, 0, 1, "w", JTB_DONE);
	jobs_job(f->jtb, "y", &large, 1, f->wall);
	submit(f, "b", 1, 1000, 1000, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "b.0.0@w ");
}

/*
 * Guards against an idle pool whose jobs wait for ever: before them rank many
 * that would fit on a worker if a long-running task didn't occupy a part of it.
 */
static void large_jobs_delay_no_small_job(void **state)
{
	struct fixture *f = *state;
	struct jtb_step large = {.count = 1, .cpu = 2000, .estimate_ms = 10};

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "l", 1, 500, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	submit_unplaceable(f, 60, &large);
	submit(f, "a", 1, 1000, 1000, 0, 60000);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w ");
}

/*
 * Guards against a long-running task that never starts beside free capacity:
 * its worker is reserved for another long-running task, which can never fit, as
 * a third one occupies half of the worker until it is cancelled.
 */
static void worker_is_reserved_only_if_task_can_fit(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "held", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	submit(f, "large", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	submit(f, "small", 1, 500, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "small.0.0@w ");
}

/*
 * Guards against a long-running task that never starts: all workers of its pool
 * are closed, and none can be drained, as too much of its step is without a run
 * already. No VM was requested, as a pool without a usable worker was skipped.
 */
static void closed_pool_reports_missing_capacity(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	g_hash_table_add(f->closed, (gpointer) "w");
	submit(f, "s", 1, 1000, 100, 0, 0);
	run_plan(f);
	assert_int_equal(f->unschedulable, 0);
	submit(f, "l", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	assert_int_equal(f->unschedulable, 1);
}

/*
 * Guards against a repeated gang with a limit of tasks per worker that starts
 * only once: its pool shrinks below what it needs after its first turn, as only
 * that turn was considered.
 */
static void limit_per_worker_holds_for_each_turn(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 100,
			     .estimate_ms = 10,
			     .max_per_worker = 1,
			     .flags = JTB_GANG};
	struct jtb_spec spec = {
		.id = "r",
		.queue = (char *)"q",
		.text = (char *)"t",
		.steps = &s,
		.n_steps = 1,
		.repeats = 2,
		.first_ms = JOBS_WALL_MS,
		.every_ms = 5000,
	};
	struct pk_out o;

	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_worker(f->jtb, "w2", 2000, false);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, f->wall);
	jobs_apply(f->jtb, &o);
	run_plan(f);
	jobs_end(f->jtb, "r", 0, 0, 1, "w1", JTB_DONE);
	jobs_end(f->jtb, "r", 0, 0, 1, "w2", JTB_DONE);
	assert_int_equal(jtb_job(f->jtb, "r")->turns_done, 1);
	f->wall += 5000;
	assert_int_equal(sch_min_workers(jtb_job(f->jtb, "r"), f->wall), 2);
}

/*
 * Guards against a gang on idle processors that never starts: it was placed as
 * if each member needed a processor of its own.
 */
static void gang_on_idle_processors_needs_no_cpu(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "g", 4, 1000, 300, JTB_GANG | JTB_BEST_EFFORT, 0);
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 4);
	assert_int_equal(jtb_worker(f->jtb, "w")->proposed_cpu, 0);
}

/*
 * Guards against a long-running gang that never starts: its lack of capacity
 * was not reported, so its pool got no other VM.
 */
static void long_running_gang_reports_missing_capacity(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "g", 3, 1000, 0, JTB_GANG | JTB_LONG_RUNNING, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	assert_int_equal(f->unschedulable, 1);
}

/* Makes the queue require advice, with these tickets. */
static void require_tickets(struct fixture *f, const char *tickets)
{
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");

	q->advised = true;
	f->tickets = tickets;
}

/*
 * Guards against starts that are refused one after another for lack of a
 * ticket. A task without one waits, does not count as a sign that the pool is
 * full, and so neither delays other jobs nor requests a VM.
 */
static void job_without_ticket_waits_and_delays_no_job(void **state)
{
	struct fixture *f = *state;
	char id[16];
	int i;

	jobs_worker(f->jtb, "w1", 1000, false);
	jobs_worker(f->jtb, "w2", 8000, false);
	require_tickets(f, "");
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "n%d", i);
		submit(f, id, 1, 1000, 300, JTB_LONG_RUNNING, 0);
	}
	submit(f, "g", 2, 1000, 300, JTB_GANG, 0);
	submit(f, "y", 1, 1000, 300, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	assert_int_equal(f->unschedulable, 0);
	require_tickets(f, "y@w1");
	run_plan(f);
	assert_string_equal(f->log->str, "y.0.0@w1 ");
	/* The only worker with a ticket is full: capacity is missing now. */
	require_tickets(f, "n0@w1");
	run_plan(f);
	assert_string_equal(f->log->str, "");
	assert_int_equal(f->unschedulable, 1);
}

/* All members of a gang need a ticket for the workers where they run. */
static void gang_runs_where_it_has_tickets(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 1000, false);
	jobs_worker(f->jtb, "w2", 8000, false);
	require_tickets(f, "g@w1");
	submit(f, "g", 2, 1000, 300, JTB_GANG, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	require_tickets(f, "g@w1 g@w2");
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 2);
}

/*
 * A worker without a ticket for the last step planned is usable for a queue
 * that requires no advice.
 */
static void exclusion_ends_with_its_step(void **state)
{
	struct fixture *f = *state;
	struct jtb_queue *q;

	jobs_worker(f->jtb, "w1", 8000, false);
	jobs_worker(f->jtb, "w2", 1000, false);
	require_tickets(f, "x@w2");
	submit(f, "x", 1, 1000, 300, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "x.0.0@w2 ");
	q = (struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");
	q->advised = false;
	submit(f, "y", 1, 1000, 300, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "y.0.0@w1 ");
}

/* Adds a worker with a number of cores in a rack. */
static void add_worker_in_rack(struct fixture *f, const char *id,
			       const char *rack, int cores)
{
	char *labels[] = {(char *)"kind-a", (char *)rack, NULL};
	struct jtb_worker_info info = {
		.id = (char *)id,
		.pool = (char *)"p",
		.addr = (char *)"127.0.0.1:1",
		.zone = (char *)"z",
		.labels = labels,
		.cpu = (uint32_t)cores * 1000,
		.mem_mb = 64000,
	};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(f->jtb, &o);
}

static void submit_gang(struct fixture *f, const char *id, uint32_t count,
			const char *data_rack)
{
	struct jtb_step s = {.count = count,
			     .cpu = 1000,
			     .estimate_ms = 500,
			     .flags = JTB_GANG | JTB_RACK_SENSITIVE,
			     .rack = (char *)data_rack};

	jobs_job(f->jtb, id, &s, 1, f->wall);
}

/*
 * Guards against a gang that takes three times as long as its members are
 * spread over racks.
 */
static void gang_runs_on_one_rack(void **state)
{
	struct fixture *f = *state;

	add_worker_in_rack(f, "w1", "r1", 4);
	add_worker_in_rack(f, "w2", "r1", 1);
	add_worker_in_rack(f, "w3", "r2", 3);
	add_worker_in_rack(f, "w4", "r2", 3);
	submit_gang(f, "g", 6, NULL);
	run_plan(f);
	assert_null(strstr(f->log->str, "@w1"));
	assert_null(strstr(f->log->str, "@w2"));
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 6);
	/*
	 * The rack of its data is chosen, though another has more free
	 * capacity.
	 */
	add_worker_in_rack(f, "w5", "r3", 9);
	submit_gang(f, "d", 3, "r1");
	run_plan(f);
	assert_null(strstr(f->log->str, "@w5"));
	assert_int_equal(jtb_job(f->jtb, "d")->n_runs, 3);
	/* The rack of its data is full by now: any other is chosen. */
	submit_gang(f, "e", 3, "r1");
	run_plan(f);
	assert_string_equal(f->log->str, "e.0.0@w5 e.0.1@w5 e.0.2@w5 ");
	/*
	 * Both racks fit two tasks, and the one with more free capacity is
	 * chosen.
	 */
	submit_gang(f, "f", 2, NULL);
	run_plan(f);
	assert_string_equal(f->log->str, "f.0.0@w5 f.0.1@w5 ");
}

/*
 * A gang that no rack can hold now, but one could when empty, waits no longer
 * than a spread start would cost it, and doesn't delay other jobs meanwhile.
 */
static void gang_waits_a_limited_time_for_one_rack(void **state)
{
	struct fixture *f = *state;

	add_worker_in_rack(f, "w1", "r1", 4);
	add_worker_in_rack(f, "w2", "r2", 4);
	submit(f, "a", 1, 1000, 300, 0, 0);
	jobs_start(f->jtb, "a", 0, 0, 1, "w1");
	submit(f, "b", 1, 1000, 300, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w2");
	submit_gang(f, "g", 4, NULL);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	f->elapsed_ms = 900;
	run_plan(f);
	assert_string_equal(f->log->str, "");
	f->elapsed_ms = 1000;
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 4);
}

/* A gang starts on one rack if that gets free while the gang waits. */
static void gang_starts_on_a_rack_that_gets_free(void **state)
{
	struct fixture *f = *state;

	add_worker_in_rack(f, "w1", "r1", 4);
	add_worker_in_rack(f, "w2", "r2", 3);
	submit(f, "a", 1, 1000, 300, 0, 0);
	jobs_start(f->jtb, "a", 0, 0, 1, "w1");
	submit_gang(f, "g", 4, NULL);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_DONE);
	f->elapsed_ms = 500;
	run_plan(f);
	assert_null(strstr(f->log->str, "@w2"));
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 4);
}

/* A gang that no rack can hold even when empty is spread without a wait. */
static void gang_larger_than_a_rack_is_spread_at_once(void **state)
{
	struct fixture *f = *state;

	add_worker_in_rack(f, "w1", "r1", 4);
	add_worker_in_rack(f, "w2", "r2", 4);
	submit_gang(f, "g", 6, NULL);
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 6);
}

/* Counts one crash against task 0 of a job, which then waits. */
static void mark_suspect(struct fixture *f, const char *id)
{
	struct jtb_blame blame;
	struct jtb_name n = {0};
	struct pk_out o;

	jobs_worker(f->jtb, "lost", 16000, false);
	jobs_start(f->jtb, id, 0, 0, 1, "lost");
	jtb_blame_init(&blame);
	g_strlcpy(n.id, id, sizeof(n.id));
	g_array_append_val(blame.suspects, n);
	pk_out_init(&o);
	jtb_put_worker_crashed(&o, "lost", true, &blame, JOBS_WALL_MS);
	jobs_apply(f->jtb, &o);
	jtb_blame_clear(&blame);
}

/* Sets for how long the run of a job has been listed by its worker. */
static void set_observed(struct fixture *f, const char *id, int64_t ms)
{
	struct jtb_run *run =
		jtb_job(f->jtb, id)->turns[0].steps[0].tasks[0].run;

	assert_non_null(run);
	run->first_running_ms = 1;
	run->last_running_ms = 1 + ms;
}

/*
 * Guards against tasks that become suspects beside the one that crashes their
 * worker: a suspect task is retried in isolation.
 */
static void suspect_task_is_retried_in_isolation(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 16000, false);
	jobs_worker(f->jtb, "w2", 16000, false);
	submit(f, "a", 1, 1000, 500, 0, 0);
	mark_suspect(f, "a");
	f->elapsed_ms = 1000;
	submit(f, "b", 1, 1000, 500, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w2 ");
	/*
	 * Without the reservation the task would go to the fullest worker that
	 * fits.
	 */
	submit(f, "c", 1, 1000, 500, 0, 0);
	set_observed(f, "b", SCH_JUST_STARTED_MS);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_string_equal(f->log->str, "c.0.0@w1 ");
	submit(f, "d", 14, 1000, 500, 0, 0);
	submit(f, "e", 1, 1000, 500, 0, 0);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_null(strstr(f->log->str, "@w2"));
	/*
	 * The suspect has been observed running, and its worker is usable
	 * again.
	 */
	set_observed(f, "a", SCH_JUST_STARTED_MS);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_non_null(strstr(f->log->str, "@w2"));
}

/*
 * Guards against an innocent task that is retried on one idle worker after
 * another of a rack without power, and is blamed for the loss of each.
 */
static void isolated_retry_avoids_a_rack_that_lost_a_worker(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 16000, false);
	jobs_worker(f->jtb, "w2", 16000, false);
	submit(f, "b", 1, 1000, 500, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
	set_observed(f, "b", SCH_JUST_STARTED_MS);
	submit(f, "a", 1, 1000, 500, 0, 0);
	mark_suspect(f, "a");
	f->elapsed_ms = 1000;
	f->lost_rack = "w2";
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
}

/*
 * Guards against a suspect task that never runs as new tasks start on all
 * workers all the time: a worker is reserved until its starts have been
 * observed running.
 */
static void worker_is_reserved_for_isolated_retry(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 16000, false);
	submit(f, "a", 1, 1000, 500, 0, 0);
	mark_suspect(f, "a");
	f->elapsed_ms = 1000;
	submit(f, "b", 1, 1000, 500, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
	run_plan(f);
	assert_string_equal(f->log->str, "");
	submit(f, "c", 1, 1000, 500, 0, 0);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_string_equal(f->log->str, "");
	set_observed(f, "b", SCH_JUST_STARTED_MS);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
}

/*
 * Guards against a suspect gang that crashes a worker with tasks of others: it
 * is retried in isolation.
 */
static void suspect_gang_is_retried_in_isolation(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 16000, false);
	jobs_worker(f->jtb, "w2", 16000, false);
	submit(f, "g", 2, 1000, 500, JTB_GANG, 0);
	mark_suspect(f, "g");
	f->elapsed_ms = 1000;
	submit(f, "b", 1, 1000, 500, 0, 0);
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
	run_plan(f);
	assert_string_equal(f->log->str, "g.0.0@w2 g.0.1@w2 ");
	submit(f, "c", 1, 1000, 500, 0, 0);
	f->elapsed_ms += 100;
	run_plan(f);
	assert_string_equal(f->log->str, "c.0.0@w1 ");
}

static void submit_of(struct fixture *f, const char *org, const char *id,
		      uint32_t count, uint32_t flags)
{
	struct jtb_step s = {.count = count,
			     .cpu = 1000,
			     .estimate_ms = 1000,
			     .flags = flags};

	jobs_job_of(f->jtb, org, id, &s, 1, f->wall);
}

/*
 * Guards against one organisation's burst taking a pool from the others beyond
 * its limit.
 */
static void burst_beyond_a_limit_delays_no_other_organisation(void **state)
{
	struct fixture *f = *state;
	int i;

	jobs_config_limit(f->jtb, 2, "big", 3000);
	jobs_worker(f->jtb, "w1", 8000, false);
	submit_of(f, "small", "s", 4, 0);
	for (i = 0; i < 20; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "b%d", i);
		submit_of(f, "big", id, 8, 0);
	}
	f->keep_proposed = true;
	run_plan(f);
	assert_int_equal(jtb_worker(f->jtb, "w1")->proposed_cpu, 7000);
	assert_int_equal(jtb_step_state(jtb_job(f->jtb, "s"), 0, 0)->n_proposed,
			 4);
	assert_int_equal(f->unschedulable, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "");
}

/*
 * Guards against a pool that keeps room free, or looks full, for a step that
 * waits for its organisation's limit alone.
 */
static void step_at_its_limit_holds_back_no_other_job(void **state)
{
	struct fixture *f = *state;

	jobs_config_limit(f->jtb, 2, "org", 1000);
	jobs_worker(f->jtb, "w1", 2000, false);
	submit_of(f, "org", "a", 1, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
	submit_of(f, "org", "l", 3, JTB_LONG_RUNNING);
	submit_of(f, "other", "b", 1, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "b.0.0@w1 ");
	assert_int_equal(f->unschedulable, 0);
}

/* Guards against a gang of which only some members fit into a limit. */
static void gang_starts_within_its_limit_or_not_at_all(void **state)
{
	struct fixture *f = *state;

	jobs_config_limit(f->jtb, 2, "org", 3000);
	jobs_worker(f->jtb, "w1", 8000, false);
	submit_of(f, "org", "a", 1, 0);
	run_plan(f);
	submit_of(f, "org", "g", 3, JTB_GANG);
	run_plan(f);
	assert_string_equal(f->log->str, "");
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_DONE);
	run_plan(f);
	assert_int_equal(jtb_job(f->jtb, "g")->n_runs, 3);
}

/*
 * Guards against work that waits for ever beside a free pool, since a run that
 * was lost still counts against the limit.
 */
static void work_starts_as_soon_as_its_limit_has_room(void **state)
{
	struct fixture *f = *state;

	jobs_config_limit(f->jtb, 2, "org", 1000);
	jobs_worker(f->jtb, "w1", 8000, false);
	submit_of(f, "org", "a", 2, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
	run_plan(f);
	assert_string_equal(f->log->str, "");
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_LOST);
	f->elapsed_ms = 1000;
	run_plan(f);
	assert_string_equal(f->log->str, "a.0.0@w1 ");
}

/* Makes a worker slow, or sound again, by what tasks of other jobs took there. */
static void set_speed(struct fixture *f, const char *worker, int64_t took_ms)
{
	struct slw *s = &jtb_worker(f->jtb, worker)->speed;
	uint64_t job;

	*s = (struct slw){0};
	for (job = 100; job < 104; job++)
		slw_record(s, 500, took_ms, job, PLAN_MS + f->elapsed_ms);
}

static void add_empty_workers(struct fixture *f)
{
	jobs_worker(f->jtb, "w1", 4000, false);
	jobs_worker(f->jtb, "w2", 4000, false);
	jobs_worker(f->jtb, "w3", 4000, false);
}

/*
 * Guards against a job that is late by its last task, on a worker that takes
 * six times as long: it gets a task only where no other has room, one at a time.
 */
static void slow_worker_gets_what_no_other_can_take(void **state)
{
	struct fixture *f = *state;

	add_empty_workers(f);
	set_speed(f, "w2", 3000);
	submit(f, "a", 8, 1000, 500, 0, 0);
	run_plan(f);
	assert_null(strstr(f->log->str, "@w2"));
	submit(f, "b", 4, 1000, 500, 0, 0);
	run_plan(f);
	assert_string_equal(f->log->str, "b.0.0@w2 ");
}

/* Guards against a gang that never starts beside the cores of a slow worker. */
static void gang_starts_on_a_slow_worker_if_it_must(void **state)
{
	struct fixture *f = *state;

	add_empty_workers(f);
	set_speed(f, "w2", 3000);
	submit(f, "a", 12, 1000, 500, JTB_GANG, 0);
	run_plan(f);
	assert_non_null(strstr(f->log->str, "a.0.11@"));
}

/* A slow worker without a task for a while is tried with one. */
static void slow_worker_is_tried_again(void **state)
{
	struct fixture *f = *state;

	add_empty_workers(f);
	set_speed(f, "w2", 3000);
	f->elapsed_ms = 6000;
	submit(f, "a", 9, 1000, 500, 0, 0);
	run_plan(f);
	assert_non_null(strstr(f->log->str, "@w2"));
}

/* Where most workers of a pool seem slow, the work takes longer. */
static void no_worker_is_avoided_where_most_seem_slow(void **state)
{
	struct fixture *f = *state;

	add_empty_workers(f);
	set_speed(f, "w1", 3000);
	set_speed(f, "w2", 3000);
	submit(f, "a", 12, 1000, 500, 0, 0);
	run_plan(f);
	assert_non_null(strstr(f->log->str, "@w1"));
	assert_non_null(strstr(f->log->str, "@w2"));
}

/*
 * Guards against a task that waits beside free cores: another task of its step
 * is done by an end that came late, and has a newer run until that is stopped.
 */
static void newer_run_of_a_done_task_holds_back_no_other(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w1", 4000, false);
	jobs_worker(f->jtb, "w2", 4000, false);
	submit(f, "a", 2, 1000, 500, 0, 0);
	jobs_start(f->jtb, "a", 0, 0, 1, "w1");
	jobs_start(f->jtb, "a", 0, 1, 1, "w1");
	jobs_worker_lost(f->jtb, "w1", false);
	jobs_start(f->jtb, "a", 0, 0, 2, "w2");
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_DONE);
	f->elapsed_ms = 1000;
	run_plan(f);
	assert_non_null(strstr(f->log->str, "a.0.1@"));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(too_high_estimate_makes_objective_earlier),
		T(unplaceable_long_running_jobs_delay_no_job),
		T(mass_cancellation_delays_no_start),
		T(worker_that_fails_every_job_is_backed_off),
		T(completed_job_clears_a_worker),
		T(long_running_task_waits_only_for_the_pause),
		T(failing_jobs_make_no_worker_backed_off),
		T(remainder_of_a_burst_is_packed),
		T(closed_worker_gets_no_task),
		T(long_running_task_goes_first),
		T(gang_respects_limit_per_worker),
		T(running_tasks_count_for_limit_per_worker),
		T(only_complete_runs_are_duration_samples),
		T(proposed_start_survives_removal_of_its_worker),
		T(worker_is_reserved_for_long_running_task),
		T(job_that_can_meet_its_objective_goes_first),
		T(started_job_goes_first),
		T(task_is_placed_only_where_it_fits),
		T(limit_per_worker_is_respected),
		T(proposed_tasks_count_for_limit_per_worker),
		T(ended_task_is_retried_after_a_delay),
		T(task_needs_its_label),
		T(gang_starts_whole_or_not_at_all),
		T(turn_starts_at_its_time),
		T(vm_due_for_upkeep_is_avoided),
		T(gang_on_idle_processors_needs_no_cpu),
		T(long_running_gang_reports_missing_capacity),
		T(unplaceable_jobs_delay_no_job),
		T(large_jobs_delay_no_small_job),
		T(worker_is_reserved_only_if_task_can_fit),
		T(closed_pool_reports_missing_capacity),
		T(limit_per_worker_holds_for_each_turn),
		T(job_without_ticket_waits_and_delays_no_job),
		T(gang_runs_where_it_has_tickets),
		T(exclusion_ends_with_its_step),
		T(gang_runs_on_one_rack),
		T(gang_waits_a_limited_time_for_one_rack),
		T(gang_starts_on_a_rack_that_gets_free),
		T(gang_larger_than_a_rack_is_spread_at_once),
		T(suspect_task_is_retried_in_isolation),
		T(isolated_retry_avoids_a_rack_that_lost_a_worker),
		T(worker_is_reserved_for_isolated_retry),
		T(suspect_gang_is_retried_in_isolation),
		T(burst_beyond_a_limit_delays_no_other_organisation),
		T(step_at_its_limit_holds_back_no_other_job),
		T(gang_starts_within_its_limit_or_not_at_all),
		T(work_starts_as_soon_as_its_limit_has_room),
		T(newer_run_of_a_done_task_holds_back_no_other),
		T(slow_worker_gets_what_no_other_can_take),
		T(gang_starts_on_a_slow_worker_if_it_must),
		T(slow_worker_is_tried_again),
		T(no_worker_is_avoided_where_most_seem_slow),
	};

	return cmocka_run_group_tests_name("sch", tests, NULL, NULL);
}
