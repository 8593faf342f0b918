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

struct rig {
	struct jobs *j;
	struct job_out out;
	int64_t now;
};

/* One pool of four workers, two teams. */
static struct rig *rig_new(void)
{
	struct job_config c = {
		.waiting_max = 20000,
		.oldest_every = 8,
		.stops_max = 2,
		.suspect_after = 3,
		.margin_ms = MARGIN_MS,
	};
	struct rig *r = g_new0(struct rig, 1);
	int i;

	r->j = jobs_new(&c);
	job_out_init(&r->out);
	job_set_pool(r->j, 0);
	job_set_pool(r->j, 1);
	job_set_team(r->j, 0, &quota);
	job_set_team(r->j, 1, &quota);
	for (i = 0; i < WORKERS; i++) {
		job_set_worker(r->j, i, 0, &whole, &r->out);
		job_lease(r->j, i, LEASE_MS);
	}
	return r;
}

static void rig_free(struct rig *r)
{
	jobs_free(r->j);
	job_out_done(&r->out);
	g_free(r);
}

static void rig_step(struct rig *r)
{
	while (!job_step(r->j, r->now, 100, &r->out))
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

static void rig_submit(struct rig *r, uint64_t id, enum job_class cls,
		       const struct job_size *size)
{
	struct job_spec s = spec(id, cls, size);

	assert_int_equal(job_submit(r->j, &s, r->now, &r->out), JOB_OK);
}

static struct job_status rig_status(const struct rig *r, uint64_t id)
{
	struct job_status s;

	assert_true(job_status(r->j, id, &s));
	return s;
}

static void rig_report(struct rig *r, uint64_t id, enum job_event ev)
{
	job_report(r->j, id, rig_status(r, id).attempt, ev, false, &r->out);
}

static int rig_told(const struct rig *r, uint64_t id)
{
	int n = 0;
	guint i;

	for (i = 0; i < r->out.told->len; i++)
		n += g_array_index(r->out.told, struct job_told, i).job == id;
	return n;
}

static void rig_restart(struct rig *r)
{
	struct pk_out o;

	pk_out_init(&o);
	jobs_pack(r->j, &o);
	jobs_free(r->j);
	r->j = jobs_unpack(pk_out_view(&o), NULL);
	assert_non_null(r->j);
	pk_out_done(&o);
}

static void can_never_run_is_refused_at_once(void **state)
{
	struct rig *r = rig_new();
	struct job_size large = {16001, 1, 0};
	struct job_size accel = {1, 1, 1};
	struct job_size over = {1000001, 1, 0};
	struct job_spec s = spec(1, JOB_NORMAL, &large);

	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_TOO_LARGE);
	s.size = accel;
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_QUOTA);
	s.size = over;
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_QUOTA);
	s.size = quarter;
	s.pool = 1;
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_TOO_LARGE);
	s.pool = 7;
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_UNKNOWN_POOL);
	s.pool = 0;
	s.team = 9;
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_UNKNOWN_TEAM);
	assert_int_equal(job_count(r->j, JOB_WAITING), 0);
	assert_int_equal(r->out.audit->len, 6);
	rig_free(r);
}

/*
 * A job is accepted, and then the only worker that is large enough leaves its
 * pool. The team is told now that it can't run, instead of waiting for ever.
 */
static void refused_when_its_last_worker_leaves(void **state)
{
	struct rig *r = rig_new();
	struct job_size larger = {32000, 64000, 0};

	job_set_worker(r->j, 9, 0, &larger, &r->out);
	rig_submit(r, 1, JOB_NORMAL, &larger);
	job_set_worker(r->j, 9, 1, &larger, &r->out);
	assert_int_equal(rig_status(r, 1).state, JOB_REFUSED);
	assert_int_equal(rig_status(r, 1).why, JOB_TOO_LARGE);
	assert_int_equal(rig_told(r, 1), 1);
	rig_free(r);
}

/*
 * Archive work fills every worker when urgent work comes. The stop goes out
 * in the same step, and the urgent job starts on the worker's reply, ahead of
 * whatever else waits.
 */
static void urgent_work_stops_archive_work(void **state)
{
	struct rig *r = rig_new();
	struct job_act *act;
	uint64_t id;

	for (id = 1; id <= 40; id++)
		rig_submit(r, id, JOB_ARCHIVE, &quarter);
	rig_step(r);
	assert_int_equal(job_count(r->j, JOB_RUNNING), 16);
	job_out_clear(&r->out);
	rig_submit(r, 100, JOB_URGENT, &quarter);
	rig_step(r);
	assert_int_equal(r->out.urgent->len, 1);
	act = &g_array_index(r->out.urgent, struct job_act, 0);
	assert_int_equal(act->kind, JOB_ACT_STOP);
	rig_report(r, act->job, JOB_STOPPED);
	rig_step(r);
	assert_int_equal(rig_status(r, 100).state, JOB_RUNNING);
	assert_int_equal(job_count(r->j, JOB_RUNNING), 16);
	rig_free(r);
}

/*
 * A burst of eight urgent jobs meets workers full of archive work. All stops
 * go out in one step; one after the other, the last would wait for eight
 * rounds of stop and reply.
 */
static void burst_of_urgent_work_is_made_room_for_in_one_step(void **state)
{
	struct rig *r = rig_new();
	uint64_t id;

	for (id = 1; id <= 40; id++)
		rig_submit(r, id, JOB_ARCHIVE, &quarter);
	rig_step(r);
	for (id = 100; id < 108; id++)
		rig_submit(r, id, JOB_URGENT, &quarter);
	rig_step(r);
	assert_int_equal(job_count(r->j, JOB_STOPPING), 8);
	rig_step(r);
	assert_int_equal(job_count(r->j, JOB_STOPPING), 8);
	for (id = 1; id <= 16; id++)
		if (rig_status(r, id).state == JOB_STOPPING)
			rig_report(r, id, JOB_STOPPED);
	rig_step(r);
	for (id = 100; id < 108; id++)
		assert_int_equal(rig_status(r, id).state, JOB_RUNNING);
	rig_free(r);
}

/*
 * Urgent work comes in without end. Archive work must still finish: it is
 * spared after two stops, and has its turn after every eight placements.
 */
static void archive_work_finishes_beside_urgent_work(void **state)
{
	struct rig *r = rig_new();
	uint64_t next = 1000;
	uint64_t id;
	guint i;
	int t;

	for (id = 1; id <= 6; id++)
		rig_submit(r, id, JOB_ARCHIVE, &whole);
	for (t = 0; t < 400; t++) {
		rig_submit(r, next++, JOB_URGENT, &whole);
		rig_submit(r, next++, JOB_URGENT, &whole);
		job_out_clear(&r->out);
		rig_step(r);
		for (i = 0; i < r->out.urgent->len; i++) {
			struct job_act *act = &g_array_index(r->out.urgent,
							     struct job_act, i);

			rig_report(r, act->job,
				   act->kind == JOB_ACT_STOP ? JOB_STOPPED
							     : JOB_COMPLETE);
		}
		for (id = 1; t % 3 == 0 && id <= 6; id++)
			if (rig_status(r, id).state == JOB_RUNNING)
				rig_report(r, id, JOB_COMPLETE);
	}
	for (id = 1; id <= 6; id++) {
		assert_int_equal(rig_status(r, id).state, JOB_FINISHED);
		assert_true(rig_status(r, id).stops <= 2);
	}
	rig_free(r);
}

/*
 * A large job waits while small ones keep taking what gets free. They are
 * held after a while, so that the workers empty for it.
 */
static void large_job_is_not_starved_by_small_ones(void **state)
{
	struct rig *r = rig_new();
	uint64_t next = 10;
	uint64_t done = 10;
	int t;

	for (t = 0; t < 16; t++)
		rig_submit(r, next++, JOB_NORMAL, &quarter);
	rig_step(r);
	rig_submit(r, 1, JOB_ARCHIVE, &whole);
	for (t = 0; t < 2000; t++) {
		rig_submit(r, next++, JOB_NORMAL, &quarter);
		while (rig_status(r, done).state != JOB_RUNNING)
			done++;
		rig_report(r, done++, JOB_COMPLETE);
		rig_step(r);
		if (rig_status(r, 1).state == JOB_RUNNING)
			break;
	}
	assert_int_equal(rig_status(r, 1).state, JOB_RUNNING);
	rig_free(r);
}

/* The duty officer's ranking holds for the very next placement. */
static void priorities_hold_at_once(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(300, JOB_NORMAL, &whole);
	uint64_t id;

	for (id = 1; id <= 200; id++)
		rig_submit(r, id, JOB_NORMAL, &whole);
	rig_step(r);
	s.team = 1;
	job_submit(r->j, &s, 0, &r->out);
	job_set_priority(r->j, 1, JOB_NORMAL, 7);
	rig_report(r, 1, JOB_COMPLETE);
	rig_step(r);
	assert_int_equal(rig_status(r, 300).state, JOB_RUNNING);
	rig_free(r);
}

static void quota_holds_a_team_back_and_nobody_else(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(10, JOB_NORMAL, &quarter);

	job_set_team(r->j, 0, &whole);
	rig_submit(r, 1, JOB_URGENT, &whole);
	rig_submit(r, 2, JOB_URGENT, &whole);
	s.team = 1;
	job_submit(r->j, &s, 0, &r->out);
	rig_step(r);
	assert_int_equal(rig_status(r, 2).state, JOB_WAITING);
	assert_int_equal(rig_status(r, 10).state, JOB_RUNNING);
	rig_report(r, 1, JOB_COMPLETE);
	rig_step(r);
	assert_int_equal(rig_status(r, 2).state, JOB_RUNNING);
	rig_free(r);
}

/* Runs jobs 1..n; those on one worker, or those of one id, fail. */
static void run_failing(struct rig *r, int n, int bad_worker, uint64_t bad_job)
{
	struct job_status s;
	uint64_t id;
	int t;

	for (t = 0; t < 60; t++) {
		rig_step(r);
		for (id = 1; id <= (uint64_t)n; id++) {
			s = rig_status(r, id);
			if (s.state != JOB_RUNNING)
				continue;
			rig_report(r, id,
				   s.worker == bad_worker || id == bad_job
					   ? JOB_FAIL
					   : JOB_COMPLETE);
		}
	}
}

/*
 * One worker fails whatever it starts, and it is always free first, so it
 * draws in all that waits. After three different jobs it gets nothing more;
 * the jobs run elsewhere, and none is blamed.
 */
static void black_hole_worker_is_found(void **state)
{
	struct rig *r = rig_new();
	uint64_t id;

	for (id = 1; id <= 30; id++)
		rig_submit(r, id, JOB_NORMAL, &whole);
	run_failing(r, 30, 2, 0);
	assert_true(job_is_suspect(r->j, 2));
	assert_int_equal(job_count(r->j, JOB_FINISHED), 30);
	assert_int_equal(job_count(r->j, JOB_REFUSED), 0);
	rig_free(r);
}

/*
 * One job fails wherever it runs. It is refused after three workers, named in
 * the evidence, and no worker is blamed for it.
 */
static void bad_job_is_refused_with_the_evidence(void **state)
{
	struct rig *r = rig_new();
	const char *text;
	uint64_t id;
	int w;

	for (id = 1; id <= 30; id++)
		rig_submit(r, id, JOB_NORMAL, &whole);
	run_failing(r, 30, -1, 5);
	assert_int_equal(rig_status(r, 5).state, JOB_REFUSED);
	assert_int_equal(rig_status(r, 5).why, JOB_BAD);
	assert_int_equal(job_count(r->j, JOB_FINISHED), 29);
	for (w = 0; w < WORKERS; w++)
		assert_false(job_is_suspect(r->j, w));
	text = g_ptr_array_index(r->out.audit, r->out.audit->len - 1);
	assert_non_null(strstr(text, "job 5 refused: failed on workers"));
	rig_free(r);
}

/*
 * Three bad jobs meet on the same workers. Each is refused; were their
 * failures left standing, the workers would be taken for black holes.
 */
static void several_bad_jobs_blame_no_worker(void **state)
{
	struct rig *r = rig_new();
	uint64_t id;
	int w;

	for (id = 1; id <= 6; id++) {
		rig_submit(r, id, JOB_NORMAL, &whole);
		run_failing(r, (int)id, -1, id);
		assert_int_equal(rig_status(r, id).state, JOB_REFUSED);
	}
	for (w = 0; w < WORKERS; w++)
		assert_false(job_is_suspect(r->j, w));
	rig_free(r);
}

/* Only one worker gets work. */
static void only_worker(struct rig *r, int worker)
{
	int w;

	for (w = 0; w < WORKERS; w++)
		job_drain(r->j, w, w != worker);
}

/*
 * Three black holes, one after the other, fail the same two jobs: job 1 before
 * each is found out, job 2 after. Neither is at fault; counting failures of
 * workers known to fail everything would refuse both.
 */
static void black_holes_spoil_no_job(void **state)
{
	struct rig *r = rig_new();
	uint64_t filler = 10;
	int w;

	rig_submit(r, 1, JOB_URGENT, &quarter);
	rig_submit(r, 2, JOB_URGENT, &quarter);
	for (w = 0; w < 3; w++) {
		only_worker(r, w);
		rig_submit(r, filler, JOB_NORMAL, &quarter);
		rig_submit(r, filler + 1, JOB_NORMAL, &quarter);
		rig_step(r);
		rig_report(r, 1, JOB_FAIL);
		rig_report(r, filler, JOB_FAIL);
		rig_report(r, filler + 1, JOB_FAIL);
		assert_true(job_is_suspect(r->j, w));
		rig_report(r, 2, JOB_FAIL);
		job_cancel(r->j, filler++, &r->out);
		job_cancel(r->j, filler++, &r->out);
	}
	only_worker(r, 3);
	rig_step(r);
	assert_int_equal(rig_status(r, 1).state, JOB_RUNNING);
	assert_int_equal(rig_status(r, 2).state, JOB_RUNNING);
	rig_free(r);
}

/*
 * A worker on which now and then a job fails, with successes between, is no
 * black hole; over weeks it would come to three failures all the same.
 */
static void successes_clear_a_worker(void **state)
{
	struct rig *r = rig_new();
	uint64_t id;

	only_worker(r, 0);
	for (id = 1; id <= 12; id++) {
		rig_submit(r, id, JOB_NORMAL, &whole);
		rig_step(r);
		rig_report(r, id, id % 2 ? JOB_FAIL : JOB_COMPLETE);
		job_cancel(r->j, id, &r->out);
	}
	assert_false(job_is_suspect(r->j, 0));
	rig_free(r);
}

/*
 * A non-idempotent job begins and fails. Running it again might do its work
 * twice, so it is refused with just that reason; if it had not begun, it runs
 * elsewhere.
 */
static void begun_and_not_idempotent_runs_no_second_time(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);

	s.idempotent = false;
	job_submit(r->j, &s, 0, &r->out);
	s.id = 2;
	job_submit(r->j, &s, 0, &r->out);
	rig_step(r);
	job_report(r->j, 1, 1, JOB_FAIL, true, &r->out);
	job_report(r->j, 2, 1, JOB_FAIL, false, &r->out);
	rig_step(r);
	assert_int_equal(rig_status(r, 1).state, JOB_REFUSED);
	assert_int_equal(rig_status(r, 1).why, JOB_UNSURE);
	assert_int_equal(rig_status(r, 2).state, JOB_RUNNING);
	rig_free(r);
}

/*
 * A worker is cut off and its lease runs out; its clock may be two seconds
 * behind. An idempotent job starts elsewhere at once. One that is not waits
 * until it can't be running any more.
 */
static void lost_lease_waits_for_the_margin(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(2, JOB_NORMAL, &whole);
	int w;

	rig_submit(r, 1, JOB_NORMAL, &whole);
	s.idempotent = false;
	job_submit(r->j, &s, 0, &r->out);
	rig_step(r);
	for (w = 2; w < WORKERS; w++)
		job_lease(r->j, w, 10 * LEASE_MS);
	assert_true(rig_status(r, 2).worker < 2);
	r->now = LEASE_MS + 1;
	rig_step(r);
	assert_int_equal(rig_status(r, 1).state, JOB_RUNNING);
	assert_int_equal(rig_status(r, 2).state, JOB_LOST);
	r->now = LEASE_MS + MARGIN_MS;
	rig_step(r);
	assert_int_equal(rig_status(r, 2).state, JOB_LOST);
	r->now++;
	rig_step(r);
	assert_int_equal(rig_status(r, 2).state, JOB_RUNNING);
	assert_int_equal(rig_status(r, 2).attempt, 2);
	rig_free(r);
}

/*
 * Cancel and completion cross on the way. Whichever the worker says is told,
 * once; the late other one changes nothing.
 */
static void cancel_races_completion(void **state)
{
	struct rig *r = rig_new();

	rig_submit(r, 1, JOB_NORMAL, &quarter);
	rig_submit(r, 2, JOB_NORMAL, &quarter);
	rig_step(r);
	job_cancel(r->j, 1, &r->out);
	job_cancel(r->j, 2, &r->out);
	job_cancel(r->j, 2, &r->out);
	rig_report(r, 1, JOB_COMPLETE);
	rig_report(r, 1, JOB_STOPPED);
	rig_report(r, 2, JOB_STOPPED);
	rig_report(r, 2, JOB_COMPLETE);
	assert_int_equal(rig_status(r, 1).state, JOB_FINISHED);
	assert_int_equal(rig_status(r, 2).state, JOB_CANCELLED);
	assert_int_equal(rig_told(r, 1), 1);
	assert_int_equal(rig_told(r, 2), 1);
	rig_free(r);
}

/*
 * 10,000 cancellations come between an urgent job's submission and the next
 * step. The urgent job starts in that step, sent before every stop, and each
 * cancellation gets its one answer.
 */
static void flood_of_cancellations_delays_nothing(void **state)
{
	struct rig *r = rig_new();
	uint64_t id;

	for (id = 1; id <= 10000; id++)
		rig_submit(r, id, JOB_ARCHIVE, &quarter);
	rig_step(r);
	job_out_clear(&r->out);
	for (id = 1; id <= 10000; id++) {
		job_cancel(r->j, id, &r->out);
		if (id == 5000)
			rig_submit(r, 20000, JOB_URGENT, &quarter);
	}
	for (id = 1; id <= 16; id++)
		if (rig_status(r, id).state == JOB_CANCELLING)
			rig_report(r, id, JOB_STOPPED);
	rig_step(r);
	assert_int_equal(rig_status(r, 20000).state, JOB_RUNNING);
	assert_int_equal(r->out.urgent->len, 1);
	assert_int_equal(job_count(r->j, JOB_CANCELLED), 10000);
	assert_int_equal(r->out.told->len, 10000);
	rig_free(r);
}

/*
 * A job uses ten times what it declared. Its worker gets nothing more on the
 * strength of the declared size, and the job is throttled, not its neighbour.
 */
static void tenfold_usage_is_throttled(void **state)
{
	struct rig *r = rig_new();
	struct job_size small = {1000, 1000, 0};
	struct job_size tenfold = {13000, 10000, 0};
	struct job_act *act;
	int w;

	for (w = 1; w < WORKERS; w++)
		job_drain(r->j, w, true);
	rig_submit(r, 1, JOB_NORMAL, &quarter);
	rig_submit(r, 2, JOB_NORMAL, &small);
	rig_step(r);
	job_out_clear(&r->out);
	job_usage(r->j, 2, 1, &tenfold, &r->out);
	assert_int_equal(r->out.acts->len, 1);
	act = &g_array_index(r->out.acts, struct job_act, 0);
	assert_int_equal(act->kind, JOB_ACT_THROTTLE);
	assert_int_equal(act->job, 2);
	rig_submit(r, 3, JOB_NORMAL, &small);
	rig_step(r);
	assert_int_equal(rig_status(r, 3).state, JOB_WAITING);
	rig_free(r);
}

/*
 * The daemon restarts with a start and a stop on the way. Both are sent again
 * under their old keys, nothing else is, and a resubmission changes nothing.
 */
static void restart_sends_again_under_the_old_keys(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);

	rig_submit(r, 1, JOB_NORMAL, &quarter);
	rig_submit(r, 2, JOB_NORMAL, &quarter);
	rig_step(r);
	rig_submit(r, 3, JOB_NORMAL, &quarter);
	job_cancel(r->j, 2, &r->out);
	rig_restart(r);
	job_out_clear(&r->out);
	job_resend(r->j, &r->out);
	assert_int_equal(r->out.acts->len, 2);
	assert_int_equal(g_array_index(r->out.acts, struct job_act, 0).job, 1);
	assert_int_equal(g_array_index(r->out.acts, struct job_act, 1).attempt,
			 1);
	assert_int_equal(job_submit(r->j, &s, 0, &r->out), JOB_OK);
	assert_int_equal(job_count(r->j, JOB_RUNNING), 1);
	rig_step(r);
	assert_int_equal(rig_status(r, 3).state, JOB_RUNNING);
	assert_false(job_forget(r->j, 3));
	rig_report(r, 3, JOB_COMPLETE);
	assert_true(job_forget(r->j, 3));
	rig_free(r);
}

/*
 * Workers join a pool in any order. A voter that was restored from a snapshot
 * must choose the same worker as one that saw them join, or the two would
 * hold different tables from then on.
 */
static void restored_table_chooses_the_same_worker(void **state)
{
	struct rig *r = rig_new();
	struct job_spec s = spec(1, JOB_NORMAL, &quarter);
	int worker;

	job_set_worker(r->j, 9, 1, &whole, &r->out);
	job_set_worker(r->j, 5, 1, &whole, &r->out);
	job_lease(r->j, 9, LEASE_MS);
	job_lease(r->j, 5, LEASE_MS);
	s.pool = 1;
	job_submit(r->j, &s, 0, &r->out);
	rig_step(r);
	worker = rig_status(r, 1).worker;
	rig_report(r, 1, JOB_COMPLETE);
	rig_restart(r);
	s.id = 2;
	job_submit(r->j, &s, 0, &r->out);
	rig_step(r);
	assert_int_equal(rig_status(r, 2).worker, worker);
	rig_free(r);
}

static void damaged_bytes_are_refused(void **state)
{
	struct rig *r = rig_new();
	struct pk_out o;
	GError *err = NULL;

	rig_submit(r, 1, JOB_NORMAL, &quarter);
	pk_out_init(&o);
	jobs_pack(r->j, &o);
	assert_null(jobs_unpack(lstr_n(o.buf.data, o.buf.size - 2), &err));
	g_error_free(err);
	pk_out_done(&o);
	rig_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(can_never_run_is_refused_at_once),
		cmocka_unit_test(refused_when_its_last_worker_leaves),
		cmocka_unit_test(urgent_work_stops_archive_work),
		cmocka_unit_test(
			burst_of_urgent_work_is_made_room_for_in_one_step),
		cmocka_unit_test(archive_work_finishes_beside_urgent_work),
		cmocka_unit_test(large_job_is_not_starved_by_small_ones),
		cmocka_unit_test(priorities_hold_at_once),
		cmocka_unit_test(quota_holds_a_team_back_and_nobody_else),
		cmocka_unit_test(black_hole_worker_is_found),
		cmocka_unit_test(bad_job_is_refused_with_the_evidence),
		cmocka_unit_test(several_bad_jobs_blame_no_worker),
		cmocka_unit_test(black_holes_spoil_no_job),
		cmocka_unit_test(successes_clear_a_worker),
		cmocka_unit_test(begun_and_not_idempotent_runs_no_second_time),
		cmocka_unit_test(lost_lease_waits_for_the_margin),
		cmocka_unit_test(cancel_races_completion),
		cmocka_unit_test(flood_of_cancellations_delays_nothing),
		cmocka_unit_test(tenfold_usage_is_throttled),
		cmocka_unit_test(restart_sends_again_under_the_old_keys),
		cmocka_unit_test(restored_table_chooses_the_same_worker),
		cmocka_unit_test(damaged_bytes_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
