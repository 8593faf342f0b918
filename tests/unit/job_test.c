#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "job.h"

#define LEASE_MS 10000
#define MARGIN_MS 2000
#define WORKERS 4

static const struct job_size whole = {16000, 64000, 0};
static const struct job_size quarter = {4000, 16000, 0};
static const struct job_size quota = {1000000, 4000000, 0};

/* Fixture: a job table with its output and clock. */
struct fixture {
	struct jobs *j;
	struct job_out out;
	int64_t now;
};

/* Creates a table: four workers in pool 0, none in pool 1, and two teams. */
static struct fixture *fixture_new(void)
{
	struct job_config c = {
		.waiting_max = 20000,
		.oldest_every = 8,
		.stops_max = 2,
		.suspect_after = 3,
		.margin_ms = MARGIN_MS,
	};
	struct fixture *f = g_new0(struct fixture, 1);
	int i;

	f->j = jobs_new(&c);
	job_out_init(&f->out);
	job_set_pool(f->j, 0);
	job_set_pool(f->j, 1);
	job_set_team(f->j, 0, &quota);
	job_set_team(f->j, 1, &quota);
	for (i = 0; i < WORKERS; i++) {
		job_set_worker(f->j, i, 0, &whole, &f->out);
		job_renew_lease(f->j, i, LEASE_MS);
	}
	return f;
}

static void fixture_free(struct fixture *f)
{
	jobs_free(f->j);
	job_out_done(&f->out);
	g_free(f);
}

static void fixture_step(struct fixture *f)
{
	while (!job_schedule(f->j, f->now, 100, &f->out))
		;
}

static struct job_spec spec(uint64_t id, enum job_class cls,
			    const struct job_size *size)
{
	return (struct job_spec){
		.id = id,
		.cls = cls,
		.size = *size,
		.idempotent = true,
		.checkpoints = true,
	};
}

static void fixture_submit(struct fixture *f, uint64_t id, enum job_class cls,
			   const struct job_size *size)
{
	struct job_spec s = spec(id, cls, size);

	assert_int_equal(job_submit(f->j, &s, f->now, &f->out), JOB_OK);
}

static struct job_status fixture_status(const struct fixture *f, uint64_t id)
{
	struct job_status s;

	assert_true(job_status(f->j, id, &s));
	return s;
}

static void fixture_report(struct fixture *f, uint64_t id, enum job_event ev)
{
	job_report_end(f->j, id, fixture_status(f, id).attempt, ev, false,
		       &f->out);
}

/* Counts the outcomes reported for a job. */
static int fixture_count_outcomes(const struct fixture *f, uint64_t id)
{
	int n = 0;
	guint i;

	for (i = 0; i < f->out.outcomes->len; i++)
		n += g_array_index(f->out.outcomes, struct job_outcome, i)
			     .job == id;
	return n;
}

/* Replaces the table by one restored from its serialized form. */
static void fixture_restart(struct fixture *f)
{
	struct pk_out o;

	pk_out_init(&o);
	jobs_pack(f->j, &o);
	jobs_free(f->j);
	f->j = jobs_unpack(pk_out_view(&o), NULL);
	assert_non_null(f->j);
	pk_out_done(&o);
}

static void unschedulable_job_is_refused_on_submission(void **state)
{
	struct fixture *f = fixture_new();
	struct job_size large = {16001, 1, 0};
	struct job_size accel = {1, 1, 1};
	struct job_size over = {1000001, 1, 0};
	struct job_spec s = spec(1, JOB_NORMAL, &large);

	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_TOO_LARGE);
	s.size = accel;
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_OVER_QUOTA);
	s.size = over;
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_OVER_QUOTA);
	s.size = quarter;
	s.pool = 1;
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_TOO_LARGE);
	s.pool = 7;
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_UNKNOWN_POOL);
	s.pool = 0;
	s.team = 9;
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_UNKNOWN_TEAM);
	assert_int_equal(job_count(f->j, JOB_WAITING), 0);
	assert_int_equal(f->out.audit->len, 6);
	fixture_free(f);
}

/*
 * Guards against a job that waits permanently: the only worker large enough for
 * it is moved to another pool.
 */
static void job_is_refused_when_its_last_worker_leaves(void **state)
{
	struct fixture *f = fixture_new();
	struct job_size larger = {32000, 64000, 0};

	job_set_worker(f->j, 9, 0, &larger, &f->out);
	fixture_submit(f, 1, JOB_NORMAL, &larger);
	job_set_worker(f->j, 9, 1, &larger, &f->out);
	assert_int_equal(fixture_status(f, 1).state, JOB_REFUSED);
	assert_int_equal(fixture_status(f, 1).reason, JOB_TOO_LARGE);
	assert_int_equal(fixture_count_outcomes(f, 1), 1);
	fixture_free(f);
}

/*
 * Archive jobs use all workers when an urgent job arrives: the stop order is
 * sent in the same step, and the urgent job starts on the worker's reply, ahead
 * of all other waiting jobs.
 */
static void urgent_job_preempts_archive_job(void **state)
{
	struct fixture *f = fixture_new();
	struct job_order *act;
	uint64_t id;

	for (id = 1; id <= 40; id++)
		fixture_submit(f, id, JOB_ARCHIVE, &quarter);
	fixture_step(f);
	assert_int_equal(job_count(f->j, JOB_RUNNING), 16);
	job_out_clear(&f->out);
	fixture_submit(f, 100, JOB_URGENT, &quarter);
	fixture_step(f);
	assert_int_equal(f->out.urgent->len, 1);
	act = &g_array_index(f->out.urgent, struct job_order, 0);
	assert_int_equal(act->kind, JOB_ORDER_STOP);
	fixture_report(f, act->job, JOB_STOPPED);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 100).state, JOB_RUNNING);
	assert_int_equal(job_count(f->j, JOB_RUNNING), 16);
	fixture_free(f);
}

/*
 * Guards against urgent jobs of a burst that wait for one another: with one
 * stop at a time, the last of eight would wait for eight rounds of stop and
 * reply. All stops are sent in one step.
 */
static void burst_of_urgent_jobs_preempts_in_one_step(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t id;

	for (id = 1; id <= 40; id++)
		fixture_submit(f, id, JOB_ARCHIVE, &quarter);
	fixture_step(f);
	for (id = 100; id < 108; id++)
		fixture_submit(f, id, JOB_URGENT, &quarter);
	fixture_step(f);
	assert_int_equal(job_count(f->j, JOB_STOPPING), 8);
	fixture_step(f);
	assert_int_equal(job_count(f->j, JOB_STOPPING), 8);
	for (id = 1; id <= 16; id++)
		if (fixture_status(f, id).state == JOB_STOPPING)
			fixture_report(f, id, JOB_STOPPED);
	fixture_step(f);
	for (id = 100; id < 108; id++)
		assert_int_equal(fixture_status(f, id).state, JOB_RUNNING);
	fixture_free(f);
}

/*
 * Guards against starvation of archive jobs by a constant stream of urgent
 * jobs: they are preempted twice at most, and the oldest one goes first after
 * every eight placements.
 */
static void urgent_jobs_do_not_starve_archive_jobs(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t next = 1000;
	uint64_t id;
	guint i;
	int t;

	for (id = 1; id <= 6; id++)
		fixture_submit(f, id, JOB_ARCHIVE, &whole);
	for (t = 0; t < 400; t++) {
		fixture_submit(f, next++, JOB_URGENT, &whole);
		fixture_submit(f, next++, JOB_URGENT, &whole);
		job_out_clear(&f->out);
		fixture_step(f);
		for (i = 0; i < f->out.urgent->len; i++) {
			struct job_order *act = &g_array_index(
				f->out.urgent, struct job_order, i);

			fixture_report(f, act->job,
				       act->kind == JOB_ORDER_STOP
					       ? JOB_STOPPED
					       : JOB_COMPLETE);
		}
		for (id = 1; t % 3 == 0 && id <= 6; id++)
			if (fixture_status(f, id).state == JOB_RUNNING)
				fixture_report(f, id, JOB_COMPLETE);
	}
	for (id = 1; id <= 6; id++) {
		assert_int_equal(fixture_status(f, id).state, JOB_FINISHED);
		assert_true(fixture_status(f, id).stops <= 2);
	}
	fixture_free(f);
}

/*
 * Guards against starvation of a large job by small jobs that use all capacity
 * as it becomes free. Small jobs have to wait after a while, until a worker is
 * empty.
 */
static void small_jobs_do_not_starve_a_large_job(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t next = 10;
	uint64_t done = 10;
	int t;

	for (t = 0; t < 16; t++)
		fixture_submit(f, next++, JOB_NORMAL, &quarter);
	fixture_step(f);
	fixture_submit(f, 1, JOB_ARCHIVE, &whole);
	for (t = 0; t < 2000; t++) {
		fixture_submit(f, next++, JOB_NORMAL, &quarter);
		while (fixture_status(f, done).state != JOB_RUNNING)
			done++;
		fixture_report(f, done++, JOB_COMPLETE);
		fixture_step(f);
		if (fixture_status(f, 1).state == JOB_RUNNING)
			break;
	}
	assert_int_equal(fixture_status(f, 1).state, JOB_RUNNING);
	fixture_free(f);
}

/*
 * Guards against a stalled pool: the only worker large enough for the oldest
 * job is drained, so letting small jobs wait would not help it.
 */
static void job_without_a_worker_blocks_no_other(void **state)
{
	struct fixture *f = fixture_new();
	struct job_size larger = {32000, 64000, 0};
	uint64_t id;

	job_set_worker(f->j, 9, 0, &larger, &f->out);
	job_renew_lease(f->j, 9, LEASE_MS);
	job_drain(f->j, 9, true);
	fixture_submit(f, 1, JOB_NORMAL, &larger);
	for (id = 10; id < 210; id++) {
		fixture_submit(f, id, JOB_NORMAL, &quarter);
		fixture_step(f);
		assert_int_equal(fixture_status(f, id).state, JOB_RUNNING);
		fixture_report(f, id, JOB_COMPLETE);
	}
	fixture_free(f);
}

/* A priority set by the duty officer applies from the next placement on. */
static void new_priority_applies_to_the_next_placement(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(300, JOB_NORMAL, &whole);
	uint64_t id;

	for (id = 1; id <= 200; id++)
		fixture_submit(f, id, JOB_NORMAL, &whole);
	fixture_step(f);
	s.team = 1;
	job_submit(f->j, &s, 0, &f->out);
	job_set_priority(f->j, 1, JOB_NORMAL, 7);
	fixture_report(f, 1, JOB_COMPLETE);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 300).state, JOB_RUNNING);
	fixture_free(f);
}

static void exhausted_quota_blocks_only_its_team(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(10, JOB_NORMAL, &quarter);

	job_set_team(f->j, 0, &whole);
	fixture_submit(f, 1, JOB_URGENT, &whole);
	fixture_submit(f, 2, JOB_URGENT, &whole);
	s.team = 1;
	job_submit(f->j, &s, 0, &f->out);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 2).state, JOB_WAITING);
	assert_int_equal(fixture_status(f, 10).state, JOB_RUNNING);
	fixture_report(f, 1, JOB_COMPLETE);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 2).state, JOB_RUNNING);
	fixture_free(f);
}

/* Runs jobs 1..n; all jobs on bad_worker fail, and bad_job everywhere. */
static void run_failing(struct fixture *f, int n, int bad_worker,
			uint64_t bad_job)
{
	struct job_status s;
	uint64_t id;
	int t;

	for (t = 0; t < 60; t++) {
		fixture_step(f);
		for (id = 1; id <= (uint64_t)n; id++) {
			s = fixture_status(f, id);
			if (s.state != JOB_RUNNING)
				continue;
			fixture_report(f, id,
				       s.worker == bad_worker || id == bad_job
					       ? JOB_FAIL
					       : JOB_COMPLETE);
		}
	}
}

/*
 * Guards against a black hole worker: it fails every job it starts, so it is
 * always the first to be free and attracts all waiting jobs. After three
 * different jobs it gets no more; these run elsewhere and none is refused.
 */
static void black_hole_worker_is_suspected(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t id;

	for (id = 1; id <= 30; id++)
		fixture_submit(f, id, JOB_NORMAL, &whole);
	run_failing(f, 30, 2, 0);
	assert_true(job_is_suspect(f->j, 2));
	assert_int_equal(job_count(f->j, JOB_FINISHED), 30);
	assert_int_equal(job_count(f->j, JOB_REFUSED), 0);
	fixture_free(f);
}

/*
 * A job that fails everywhere is refused after three workers, which the audit
 * line names, and none of these workers becomes suspect.
 */
static void job_failing_on_three_workers_is_refused(void **state)
{
	struct fixture *f = fixture_new();
	const char *text;
	uint64_t id;
	int w;

	for (id = 1; id <= 30; id++)
		fixture_submit(f, id, JOB_NORMAL, &whole);
	run_failing(f, 30, -1, 5);
	assert_int_equal(fixture_status(f, 5).state, JOB_REFUSED);
	assert_int_equal(fixture_status(f, 5).reason, JOB_FAILED_REPEATEDLY);
	assert_int_equal(job_count(f->j, JOB_FINISHED), 29);
	for (w = 0; w < WORKERS; w++)
		assert_false(job_is_suspect(f->j, w));
	text = g_ptr_array_index(f->out.audit, f->out.audit->len - 1);
	assert_non_null(strstr(text, "job 5 refused: failed on workers"));
	fixture_free(f);
}

/*
 * Guards against workers that become suspect by several jobs that fail
 * everywhere: each job is refused, and its failures no longer count against the
 * workers.
 */
static void failing_jobs_make_no_worker_suspect(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t id;
	int w;

	for (id = 1; id <= 6; id++) {
		fixture_submit(f, id, JOB_NORMAL, &whole);
		run_failing(f, (int)id, -1, id);
		assert_int_equal(fixture_status(f, id).state, JOB_REFUSED);
	}
	for (w = 0; w < WORKERS; w++)
		assert_false(job_is_suspect(f->j, w));
	fixture_free(f);
}

/* Drains all workers except one. */
static void drain_others(struct fixture *f, int worker)
{
	int w;

	for (w = 0; w < WORKERS; w++)
		job_drain(f->j, w, w != worker);
}

/*
 * Guards against jobs that are refused for the failures of black hole workers:
 * three of them, one after the other, fail job 1 before they become suspect and
 * job 2 after. Failures on suspect workers must not count against a job.
 */
static void black_hole_workers_fail_no_job(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t filler = 10;
	int w;

	fixture_submit(f, 1, JOB_URGENT, &quarter);
	fixture_submit(f, 2, JOB_URGENT, &quarter);
	for (w = 0; w < 3; w++) {
		drain_others(f, w);
		fixture_submit(f, filler, JOB_NORMAL, &quarter);
		fixture_submit(f, filler + 1, JOB_NORMAL, &quarter);
		fixture_step(f);
		fixture_report(f, 1, JOB_FAIL);
		fixture_report(f, filler, JOB_FAIL);
		fixture_report(f, filler + 1, JOB_FAIL);
		assert_true(job_is_suspect(f->j, w));
		fixture_report(f, 2, JOB_FAIL);
		job_cancel(f->j, filler++, &f->out);
		job_cancel(f->j, filler++, &f->out);
	}
	drain_others(f, 3);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 1).state, JOB_RUNNING);
	assert_int_equal(fixture_status(f, 2).state, JOB_RUNNING);
	fixture_free(f);
}

/*
 * Guards against a healthy worker that becomes suspect over weeks, by rare
 * failures with successes in between.
 */
static void success_resets_failures_of_a_worker(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t id;

	drain_others(f, 0);
	for (id = 1; id <= 12; id++) {
		fixture_submit(f, id, JOB_NORMAL, &whole);
		fixture_step(f);
		fixture_report(f, id, id % 2 ? JOB_FAIL : JOB_COMPLETE);
		job_cancel(f->j, id, &f->out);
	}
	assert_false(job_is_suspect(f->j, 0));
	fixture_free(f);
}

/*
 * Guards against work done twice: a non-idempotent job that started and failed
 * is refused with that reason. If it had not started, it runs elsewhere.
 */
static void started_non_idempotent_job_is_not_retried(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);

	s.idempotent = false;
	job_submit(f->j, &s, 0, &f->out);
	s.id = 2;
	job_submit(f->j, &s, 0, &f->out);
	fixture_step(f);
	job_report_end(f->j, 1, 1, JOB_FAIL, true, &f->out);
	job_report_end(f->j, 2, 1, JOB_FAIL, false, &f->out);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 1).state, JOB_REFUSED);
	assert_int_equal(fixture_status(f, 1).reason, JOB_NOT_IDEMPOTENT);
	assert_int_equal(fixture_status(f, 2).state, JOB_RUNNING);
	fixture_free(f);
}

/*
 * Guards against a non-idempotent job that runs twice: its worker is
 * partitioned, the lease expires, and the worker's clock may be two seconds
 * behind. The job waits that long; an idempotent job starts elsewhere at once.
 */
static void non_idempotent_job_waits_for_the_clock_margin(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(2, JOB_NORMAL, &whole);
	int w;

	fixture_submit(f, 1, JOB_NORMAL, &whole);
	s.idempotent = false;
	job_submit(f->j, &s, 0, &f->out);
	fixture_step(f);
	for (w = 2; w < WORKERS; w++)
		job_renew_lease(f->j, w, 10 * LEASE_MS);
	assert_true(fixture_status(f, 2).worker < 2);
	f->now = LEASE_MS + 1;
	fixture_step(f);
	assert_int_equal(fixture_status(f, 1).state, JOB_RUNNING);
	assert_int_equal(fixture_status(f, 2).state, JOB_LOST);
	f->now = LEASE_MS + MARGIN_MS;
	fixture_step(f);
	assert_int_equal(fixture_status(f, 2).state, JOB_LOST);
	f->now++;
	fixture_step(f);
	assert_int_equal(fixture_status(f, 2).state, JOB_RUNNING);
	assert_int_equal(fixture_status(f, 2).attempt, 2);
	fixture_free(f);
}

/*
 * A cancellation and a completion cross on the network. The worker's first
 * report decides the outcome, which is reported once; a later one is ignored.
 */
static void cancellation_races_with_completion(void **state)
{
	struct fixture *f = fixture_new();

	fixture_submit(f, 1, JOB_NORMAL, &quarter);
	fixture_submit(f, 2, JOB_NORMAL, &quarter);
	fixture_step(f);
	job_cancel(f->j, 1, &f->out);
	job_cancel(f->j, 2, &f->out);
	job_cancel(f->j, 2, &f->out);
	fixture_report(f, 1, JOB_COMPLETE);
	fixture_report(f, 1, JOB_STOPPED);
	fixture_report(f, 2, JOB_STOPPED);
	fixture_report(f, 2, JOB_COMPLETE);
	assert_int_equal(fixture_status(f, 1).state, JOB_FINISHED);
	assert_int_equal(fixture_status(f, 2).state, JOB_CANCELLED);
	assert_int_equal(fixture_count_outcomes(f, 1), 1);
	assert_int_equal(fixture_count_outcomes(f, 2), 1);
	fixture_free(f);
}

/*
 * Guards against an urgent job delayed by a flood: it is submitted among 10,000
 * cancellations. It starts in the next step, its order is sent before every
 * stop order, and each cancelled job gets one outcome.
 */
static void cancellation_flood_does_not_delay_urgent_job(void **state)
{
	struct fixture *f = fixture_new();
	uint64_t id;

	for (id = 1; id <= 10000; id++)
		fixture_submit(f, id, JOB_ARCHIVE, &quarter);
	fixture_step(f);
	job_out_clear(&f->out);
	for (id = 1; id <= 10000; id++) {
		job_cancel(f->j, id, &f->out);
		if (id == 5000)
			fixture_submit(f, 20000, JOB_URGENT, &quarter);
	}
	for (id = 1; id <= 16; id++)
		if (fixture_status(f, id).state == JOB_CANCELLING)
			fixture_report(f, id, JOB_STOPPED);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 20000).state, JOB_RUNNING);
	assert_int_equal(f->out.urgent->len, 1);
	assert_int_equal(job_count(f->j, JOB_CANCELLED), 10000);
	assert_int_equal(f->out.outcomes->len, 10000);
	fixture_free(f);
}

/*
 * Guards against an overloaded worker: a job uses ten times its declared size.
 * The job is throttled, not another one on the worker, and the worker is
 * charged with the actual usage, so that it gets no further job.
 */
static void job_of_tenfold_usage_is_throttled(void **state)
{
	struct fixture *f = fixture_new();
	struct job_size small = {1000, 1000, 0};
	struct job_size tenfold = {13000, 10000, 0};
	struct job_order *act;
	int w;

	for (w = 1; w < WORKERS; w++)
		job_drain(f->j, w, true);
	fixture_submit(f, 1, JOB_NORMAL, &quarter);
	fixture_submit(f, 2, JOB_NORMAL, &small);
	fixture_step(f);
	job_out_clear(&f->out);
	job_report_usage(f->j, 2, 1, &tenfold, &f->out);
	assert_int_equal(f->out.orders->len, 1);
	act = &g_array_index(f->out.orders, struct job_order, 0);
	assert_int_equal(act->kind, JOB_ORDER_THROTTLE);
	assert_int_equal(act->job, 2);
	fixture_submit(f, 3, JOB_NORMAL, &small);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 3).state, JOB_WAITING);
	fixture_free(f);
}

/*
 * The daemon restarts while a start and a stop order are on the network. Both
 * are sent again with their old keys and nothing else is; a resubmission
 * changes nothing.
 */
static void restart_resends_orders_with_their_keys(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);

	fixture_submit(f, 1, JOB_NORMAL, &quarter);
	fixture_submit(f, 2, JOB_NORMAL, &quarter);
	fixture_step(f);
	fixture_submit(f, 3, JOB_NORMAL, &quarter);
	job_cancel(f->j, 2, &f->out);
	fixture_restart(f);
	job_out_clear(&f->out);
	job_resend(f->j, &f->out);
	assert_int_equal(f->out.orders->len, 2);
	assert_int_equal(g_array_index(f->out.orders, struct job_order, 0).job,
			 1);
	assert_int_equal(
		g_array_index(f->out.orders, struct job_order, 1).attempt, 1);
	assert_int_equal(job_submit(f->j, &s, 0, &f->out), JOB_OK);
	assert_int_equal(job_count(f->j, JOB_RUNNING), 1);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 3).state, JOB_RUNNING);
	assert_false(job_forget(f->j, 3));
	fixture_report(f, 3, JOB_COMPLETE);
	assert_true(job_forget(f->j, 3));
	fixture_free(f);
}

/*
 * Guards against voters whose tables diverge: workers join a pool in any order,
 * and a voter restored from a snapshot must choose the same worker as one that
 * applied the joins.
 */
static void restored_table_chooses_the_same_worker(void **state)
{
	struct fixture *f = fixture_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);
	int worker;

	job_set_worker(f->j, 9, 1, &whole, &f->out);
	job_set_worker(f->j, 5, 1, &whole, &f->out);
	job_renew_lease(f->j, 9, LEASE_MS);
	job_renew_lease(f->j, 5, LEASE_MS);
	s.pool = 1;
	job_submit(f->j, &s, 0, &f->out);
	fixture_step(f);
	worker = fixture_status(f, 1).worker;
	fixture_report(f, 1, JOB_COMPLETE);
	fixture_restart(f);
	s.id = 2;
	job_submit(f->j, &s, 0, &f->out);
	fixture_step(f);
	assert_int_equal(fixture_status(f, 2).worker, worker);
	fixture_free(f);
}

static void truncated_table_is_refused(void **state)
{
	struct fixture *f = fixture_new();
	struct pk_out o;
	GError *err = NULL;

	fixture_submit(f, 1, JOB_NORMAL, &quarter);
	pk_out_init(&o);
	jobs_pack(f->j, &o);
	assert_null(jobs_unpack(lstr_n(o.buf.data, o.buf.size - 2), &err));
	g_error_free(err);
	pk_out_done(&o);
	fixture_free(f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unschedulable_job_is_refused_on_submission),
		cmocka_unit_test(job_is_refused_when_its_last_worker_leaves),
		cmocka_unit_test(urgent_job_preempts_archive_job),
		cmocka_unit_test(burst_of_urgent_jobs_preempts_in_one_step),
		cmocka_unit_test(urgent_jobs_do_not_starve_archive_jobs),
		cmocka_unit_test(small_jobs_do_not_starve_a_large_job),
		cmocka_unit_test(job_without_a_worker_blocks_no_other),
		cmocka_unit_test(new_priority_applies_to_the_next_placement),
		cmocka_unit_test(exhausted_quota_blocks_only_its_team),
		cmocka_unit_test(black_hole_worker_is_suspected),
		cmocka_unit_test(job_failing_on_three_workers_is_refused),
		cmocka_unit_test(failing_jobs_make_no_worker_suspect),
		cmocka_unit_test(black_hole_workers_fail_no_job),
		cmocka_unit_test(success_resets_failures_of_a_worker),
		cmocka_unit_test(started_non_idempotent_job_is_not_retried),
		cmocka_unit_test(non_idempotent_job_waits_for_the_clock_margin),
		cmocka_unit_test(cancellation_races_with_completion),
		cmocka_unit_test(cancellation_flood_does_not_delay_urgent_job),
		cmocka_unit_test(job_of_tenfold_usage_is_throttled),
		cmocka_unit_test(restart_resends_orders_with_their_keys),
		cmocka_unit_test(restored_table_chooses_the_same_worker),
		cmocka_unit_test(truncated_table_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
