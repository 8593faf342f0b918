#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "jtb_int.h"

static int setup(void **state)
{
	struct jtb *t = jtb_new(NULL, NULL);

	jobs_config(t, 1, "p", 2);
	jobs_worker(t, "w1", 16000, false);
	jobs_worker(t, "w2", 16000, false);
	*state = t;
	return 0;
}

static int teardown(void **state)
{
	jtb_free(*state);
	return 0;
}

static void two_steps(struct jtb *t, const char *id)
{
	struct jtb_step steps[2] = {
		{.count = 2, .cpu = 1000, .estimate_ms = 100},
		{.count = 1, .cpu = 500, .estimate_ms = 100, .after = 1},
	};

	jobs_job(t, id, steps, 2, JOBS_WALL_MS);
}

/*
 * Guards against a new leader that reports jobs as started though no worker has
 * their tasks: of a start in the log it doesn't know whether one took it.
 */
static void start_is_unconfirmed_for_a_new_leader(void **state)
{
	static const struct {
		enum jtb_end how;
		uint32_t pending;
	} cases[] = {
		{JTB_LOST, 1},	  {JTB_DONE, 0},	  {JTB_FAILED_RUN, 0},
		{JTB_STOPPED, 0}, {JTB_LEASE_EXPIRED, 0}, {JTB_GANG_BROKEN, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct jtb *t = jtb_new(NULL, NULL);
		struct jtb *copy = jtb_new(NULL, NULL);
		struct pk_out o;

		jobs_config(t, 1, "p", 3);
		jobs_worker(t, "w1", 16000, false);
		two_steps(t, "a");
		jobs_start(t, "a", 0, 0, 1, "w1");
		jtb_doubt_starts(t);
		assert_int_equal(jtb_count_pending(t, "q"), 1);
		jobs_end(t, "a", 0, 0, 1, "w1", cases[i].how);
		jtb_doubt_starts(t);
		assert_int_equal(jtb_count_pending(t, "q"), cases[i].pending);
		pk_out_init(&o);
		jtb_snapshot(t, &o);
		assert_true(jtb_restore(copy, pk_out_view(&o)));
		jtb_doubt_starts(copy);
		assert_int_equal(jtb_count_pending(copy, "q"),
				 cases[i].pending);
		pk_out_done(&o);
		jtb_free(copy);
		jtb_free(t);
	}
}

/*
 * Guards against done and failed tasks that don't count as started, in data of
 * versions that didn't keep which jobs have begun.
 */
static void earlier_data_shows_what_has_begun(void **state)
{
	static const struct {
		enum jtb_end how;
		uint32_t pending;
	} cases[] = {{JTB_LOST, 1}, {JTB_DONE, 0}, {JTB_FAILED_RUN, 0}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct jtb *t = jtb_new(NULL, NULL);
		msgpack_object_array *job;
		msgpack_unpacked u;
		msgpack_packer p;
		struct pk_out o;
		struct pk_out old;

		jobs_config(t, 1, "p", 3);
		jobs_worker(t, "w1", 16000, false);
		two_steps(t, "a");
		jobs_start(t, "a", 0, 0, 1, "w1");
		jobs_end(t, "a", 0, 0, 1, "w1", cases[i].how);
		pk_out_init(&o);
		pk_out_init(&old);
		jtb_snapshot(t, &o);
		msgpack_unpacked_init(&u);
		assert_true(
			msgpack_unpack_next(&u, o.buf.data, o.buf.size, NULL));
		job = &u.data.via.array.ptr[5].via.array.ptr[0].via.array;
		assert_int_equal(job->size, 9);
		job->size = 8;
		msgpack_packer_init(&p, &old.buf, msgpack_sbuffer_write);
		msgpack_pack_object(&p, u.data);
		assert_true(jtb_restore(t, pk_out_view(&old)));
		jtb_doubt_starts(t);
		assert_int_equal(jtb_count_pending(t, "q"), cases[i].pending);
		msgpack_unpacked_destroy(&u);
		pk_out_done(&o);
		pk_out_done(&old);
		jtb_free(t);
	}
}

/* Guards against a count that leaves out a run whose end is known late. */
static void late_end_confirms_a_start(void **state)
{
	struct jtb *t = *state;
	struct jtb_name n = {.id = "a"};
	struct pk_out o;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_LOST);
	jtb_doubt_starts(t);
	assert_int_equal(jtb_count_pending(t, "q"), 1);
	pk_out_init(&o);
	jtb_put_end(&o, "w1", 7, &n, 1, JTB_LEASE_EXPIRED, lstr_n("", 0), 1);
	jobs_apply(t, &o);
	assert_int_equal(jtb_count_pending(t, "q"), 0);
}

static void job_runs_its_steps_in_order(void **state)
{
	struct jtb *t = *state;
	const struct jtb_job *job;

	two_steps(t, "a");
	job = jtb_job(t, "a");
	assert_int_equal(job->state, JTB_QUEUED);
	assert_int_equal(jtb_count_pending(t, "q"), 1);
	jobs_start(t, "a", 0, 0, 1, "w1");
	assert_int_equal(job->state, JTB_RUNNING);
	assert_int_equal(jtb_count_pending(t, "q"), 0);
	/* the second step doesn't start before the first is done */
	jobs_start(t, "a", 1, 0, 1, "w1");
	assert_int_equal(job->n_runs, 1);
	jobs_start(t, "a", 0, 1, 1, "w2");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	jobs_end(t, "a", 0, 1, 1, "w2", JTB_DONE);
	jobs_start(t, "a", 1, 0, 1, "w2");
	jobs_end(t, "a", 1, 0, 1, "w2", JTB_DONE);
	assert_int_equal(job->state, JTB_COMPLETED);
	assert_int_equal(jtb_live(t)->len, 0);
	assert_int_equal(jtb_worker(t, "w2")->used_cpu, 0);
}

/*
 * Guards against a task that runs twice: two leaders each proposed a start of
 * it, both are committed, and only the first may apply.
 */
static void second_start_of_a_running_task_is_ignored(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_start(t, "a", 0, 0, 1, "w2");
	jobs_start(t, "a", 0, 0, 2, "w2");
	assert_int_equal(jtb_worker(t, "w1")->runs->len, 1);
	assert_int_equal(jtb_worker(t, "w2")->runs->len, 0);
}

/* An attempt's number is never reused, however the attempt ended. */
static void attempt_numbers_are_not_reused(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 3, "w1");
	jobs_end(t, "a", 0, 0, 3, "w1", JTB_LOST);
	jobs_start(t, "a", 0, 0, 3, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
	jobs_start(t, "a", 0, 0, 4, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
}

/*
 * Guards against a task of a cancelled job that starts seconds after the
 * caller got the answer to its cancellation: its start was proposed before the
 * cancellation was committed.
 */
static void task_of_a_cancelled_job_is_not_started(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_cancel(t, "a");
	jobs_start(t, "a", 0, 1, 1, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
	assert_int_equal(jtb_job(t, "a")->state, JTB_CANCELLED);
	/* the job stays in the live list until its runs have ended */
	assert_int_equal(jtb_live(t)->len, 1);
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_STOPPED);
	assert_int_equal(jtb_live(t)->len, 0);
}

static void job_fails_with_its_last_attempt(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_FAILED_RUN);
	assert_int_equal(jtb_job(t, "a")->state, JTB_RUNNING);
	/* a run that was lost with its worker is no failed attempt */
	jobs_start(t, "a", 0, 0, 2, "w1");
	jobs_worker_lost(t, "w1", false);
	jobs_start(t, "a", 0, 0, 3, "w2");
	jobs_end(t, "a", 0, 0, 3, "w2", JTB_FAILED_RUN);
	assert_int_equal(jtb_job(t, "a")->state, JTB_FAILED);
	jobs_start(t, "a", 0, 0, 4, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
}

/* An end that is reported again, or of an earlier run, changes nothing. */
static void repeated_ends_change_nothing(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_LOST);
	jobs_start(t, "a", 0, 0, 2, "w2");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	jobs_end(t, "a", 0, 0, 2, "w1", JTB_DONE);
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
	assert_int_equal(jtb_job(t, "a")->turns[0].steps[0].n_done, 0);
}

/*
 * Guards against a task that runs twice: it was done on a worker that was
 * unreachable afterwards, and its run was ended as lost.
 */
static void late_success_counts(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_worker_lost(t, "w1", false);
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	assert_int_equal(jtb_job(t, "a")->turns[0].steps[0].n_done, 1);
	jobs_start(t, "a", 0, 0, 2, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
}

/*
 * Guards against too many attempts of a task: one failed on a worker that was
 * unreachable afterwards, and the run was ended as lost.
 */
static void late_failure_counts(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_worker_lost(t, "w1", false);
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_FAILED_RUN);
	/* the worker reports the same end again */
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_FAILED_RUN);
	assert_int_equal(jtb_job(t, "a")->state, JTB_RUNNING);
	jobs_start(t, "a", 0, 0, 2, "w2");
	jobs_end(t, "a", 0, 0, 2, "w2", JTB_FAILED_RUN);
	assert_int_equal(jtb_job(t, "a")->state, JTB_FAILED);
}

/*
 * Guards against a second run that goes on, or that fails the task, after the
 * first one was reported late as done.
 */
static void late_end_stops_newer_run(void **state)
{
	struct jtb *t = *state;
	const struct jtb_step_state *step_state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_worker_lost(t, "w1", false);
	jobs_start(t, "a", 0, 0, 2, "w2");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	step_state = &jtb_job(t, "a")->turns[0].steps[0];
	assert_int_equal(step_state->n_done, 1);
	assert_true(step_state->tasks[0].run->stopping);
	jobs_end(t, "a", 0, 0, 2, "w2", JTB_FAILED_RUN);
	assert_int_equal(step_state->n_done, 1);
	assert_int_equal(step_state->tasks[0].failures, 1);
	assert_int_equal(jtb_job(t, "a")->state, JTB_RUNNING);
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
}

/* The end of a run is accepted only from the worker that has the run. */
static void end_from_another_worker_changes_nothing(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w2");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	assert_int_equal(jtb_job(t, "a")->turns[0].steps[0].n_done, 0);
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
}

/*
 * Guards against new tasks on a draining worker: a start that is committed
 * after the worker reported draining is ignored, and so is an older report
 * that it is ready.
 */
static void draining_worker_gets_no_tasks(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_worker(t, "w1", 16000, true);
	jobs_start(t, "a", 0, 0, 1, "w1");
	assert_int_equal(jtb_worker(t, "w1")->runs->len, 0);
	jobs_worker(t, "w1", 16000, false);
	assert_true(jtb_worker(t, "w1")->info.draining);
}

/*
 * Guards against a task that runs twice: its start was in the log as the
 * worker announced its shutdown, and may have reached the worker since.
 */
static void leaving_worker_keeps_its_runs(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_worker_leaving(t, "w1");
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
	assert_true(jtb_worker(t, "w1")->info.draining);
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_STOPPED);
	jobs_start(t, "a", 0, 0, 2, "w1");
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
	jobs_worker_leaving(t, "w1");
	assert_null(jtb_worker(t, "w1"));
	assert_true(jtb_lifetime_is_over(t, "w1", 0));
}

/* A late report of a worker that was removed doesn't add it again. */
static void removed_worker_is_not_added_again(void **state)
{
	struct jtb *t = *state;

	jobs_worker_lost(t, "w1", true);
	jobs_worker(t, "w1", 16000, false);
	assert_null(jtb_worker(t, "w1"));
	assert_true(jtb_lifetime_is_over(t, "w1", 0));
}

static void older_configuration_changes_nothing(void **state)
{
	struct jtb *t = *state;

	jobs_config(t, 5, "p5", 1);
	jobs_config(t, 4, "p4", 1);
	jobs_config(t, 5, "other", 1);
	assert_int_equal(jtb_config(t)->version, 5);
	assert_string_equal(jtb_queue(jtb_config(t), "q")->pool, "p5");
}

static void add_queue(struct jtb_config *c, const char *name, const char *host,
		      const char *prefix)
{
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);

	q->name = g_strdup(name);
	q->host = g_strdup(host);
	q->prefix = g_strdup(prefix);
	q->pool = g_strdup("p");
	jtb_config_add_queue(c, q);
}

/*
 * Guards against a leader too busy to serve the log: with thousands of queues,
 * each plan searched all of them linearly for every pending job.
 */
static void queue_is_found_among_thousands(void **state)
{
	struct jtb_config *c = jtb_config_new();
	char name[32];
	int i;

	for (i = 0; i < 3000; i++) {
		g_snprintf(name, sizeof(name), "q%d", i);
		add_queue(c, name, i % 2 ? "Odd.example" : "even.example",
			  "/a/");
	}
	add_queue(c, "long", "ODD.example", "/a/b/");
	add_queue(c, "q7", "late.example", "/");
	assert_string_equal(jtb_queue(c, "q2999")->name, "q2999");
	assert_string_equal(jtb_queue(c, "q7")->host, "Odd.example");
	assert_null(jtb_queue(c, "q3000"));
	assert_string_equal(jtb_route(c, "odd.EXAMPLE", "/a/b/1")->name,
			    "long");
	assert_string_equal(jtb_route(c, "odd.example", "/a/c")->name, "q1");
	assert_string_equal(jtb_route(c, "even.example", "/a/b/1")->name, "q0");
	assert_null(jtb_route(c, "even.example", "/b"));
	assert_null(jtb_route(c, "none.example", "/a/"));
	jtb_config_free(c);
}

/* Applies a configuration with one advised queue, packed as 12 or 13 fields. */
static void apply_advised_config(struct jtb *t, uint64_t version, size_t fields)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, JTB_CMD_CONFIG);
	pk_arr(&o, 4);
	pk_u(&o, version);
	pk_cstr(&o, "doc");
	pk_arr(&o, 1);
	pk_arr(&o, fields);
	pk_cstr(&o, "q");
	pk_cstr(&o, "h");
	pk_cstr(&o, "/q/");
	pk_cstr(&o, "p");
	pk_u(&o, 3000);
	pk_u(&o, 600);
	pk_u(&o, 0);
	pk_u(&o, 3);
	pk_f(&o, 1.5);
	pk_bool(&o, true);
	pk_u(&o, 200);
	pk_u(&o, 5);
	if (fields > 12)
		pk_u(&o, 20000);
	pk_arr(&o, 0);
	jobs_apply(t, &o);
}

/*
 * Guards against a data folder of an older version that can't be read: its
 * configuration has no validity of tickets.
 */
static void configuration_without_ticket_validity_is_read(void **state)
{
	struct jtb *t = *state;
	struct jtb *u = jtb_new(NULL, NULL);
	const struct jtb_queue *q;
	struct pk_out o;
	bool ok;

	apply_advised_config(t, 8, 12);
	q = jtb_queue(jtb_config(t), "q");
	assert_int_equal(jtb_config(t)->version, 8);
	assert_true(q->advised);
	assert_int_equal(q->advice_each_ms, 5);
	assert_int_equal(q->advice_valid_ms, 0);
	apply_advised_config(t, 9, 13);
	assert_int_equal(jtb_queue(jtb_config(t), "q")->advice_valid_ms, 20000);
	pk_out_init(&o);
	jtb_snapshot(t, &o);
	ok = jtb_restore(u, pk_out_view(&o));
	pk_out_done(&o);
	assert_true(ok);
	assert_int_equal(jtb_queue(jtb_config(u), "q")->advice_valid_ms, 20000);
	jtb_free(u);
}

/* After a change of a queue's pool no task starts in the old pool. */
static void start_in_the_old_pool_is_ignored(void **state)
{
	struct jtb *t = *state;

	two_steps(t, "a");
	jobs_config(t, 2, "elsewhere", 2);
	jobs_start(t, "a", 0, 0, 1, "w1");
	assert_int_equal(jtb_job(t, "a")->n_runs, 0);
}

static void one_done_task_completes_its_gang(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 3, .cpu = 1, .flags = JTB_GANG};

	jobs_job(t, "g", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "g", 0, 0, 1, "w1");
	jobs_start(t, "g", 0, 1, 1, "w1");
	jobs_start(t, "g", 0, 2, 1, "w2");
	jobs_end(t, "g", 0, 1, 1, "w1", JTB_DONE);
	assert_int_equal(jtb_job(t, "g")->state, JTB_COMPLETED);
}

/*
 * Guards against a gang whose members differ in their checkpoints after an
 * upgrade: versions before kept one for each, and a lost member had none.
 */
static void gang_of_an_earlier_version_has_one_checkpoint(void **state)
{
	static const char *const values[][2] = {{"v", NULL}, {NULL, "v"}};
	struct jtb_step s = {.count = 2, .cpu = 1, .flags = JTB_GANG};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		struct jtb *t = jtb_new(NULL, NULL);
		struct jtb *copy = jtb_new(NULL, NULL);
		struct jtb_step_state *state_of;
		struct pk_out o;
		guint k;

		jobs_config(t, 1, "p", 2);
		jobs_worker(t, "w1", 16000, false);
		jobs_job(t, "g", &s, 1, JOBS_WALL_MS);
		jobs_start(t, "g", 0, 0, 1, "w1");
		jobs_start(t, "g", 0, 1, 1, "w1");
		state_of = jtb_step_state(jtb_job(t, "g"), 0, 0);
		for (k = 0; k < 2; k++)
			state_of->tasks[k].checkpoint = g_strdup(values[i][k]);
		pk_out_init(&o);
		jtb_snapshot(t, &o);
		assert_true(jtb_restore(copy, pk_out_view(&o)));
		state_of = jtb_step_state(jtb_job(copy, "g"), 0, 0);
		for (k = 0; k < 2; k++)
			assert_string_equal(
				jtb_checkpoint(state_of->tasks[k].run), "v");
		pk_out_done(&o);
		jtb_free(copy);
		jtb_free(t);
	}
}

static void long_running_job_never_fails(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 1, .cpu = 1, .flags = JTB_LONG_RUNNING};
	uint32_t i;

	jobs_job(t, "l", &s, 1, JOBS_WALL_MS);
	for (i = 1; i < 10; i++) {
		jobs_start(t, "l", 0, 0, i, "w1");
		jobs_end(t, "l", 0, 0, i, "w1",
			 i % 2 ? JTB_FAILED_RUN : JTB_DONE);
	}
	assert_int_equal(jtb_job(t, "l")->state, JTB_RUNNING);
}

/* A job that has not ended, or that still has runs, is never forgotten. */
static void only_ended_jobs_are_forgotten(void **state)
{
	struct jtb *t = *state;
	struct pk_out o;

	two_steps(t, "a");
	two_steps(t, "b");
	jobs_start(t, "b", 0, 0, 1, "w1");
	jobs_cancel(t, "b");
	pk_out_init(&o);
	jtb_put_forget(&o, "a");
	jobs_apply(t, &o);
	/* b is cancelled, but one of its runs has not ended yet */
	pk_out_init(&o);
	jtb_put_forget(&o, "b");
	jobs_apply(t, &o);
	assert_non_null(jtb_job(t, "a"));
	assert_non_null(jtb_job(t, "b"));
	jobs_end(t, "b", 0, 0, 1, "w1", JTB_STOPPED);
	pk_out_init(&o);
	jtb_put_forget(&o, "b");
	jobs_apply(t, &o);
	assert_null(jtb_job(t, "b"));
	assert_int_equal(jtb_live(t)->len, 1);
}

/*
 * Guards against an overcommitted worker: a start is proposed, its job is
 * cancelled, and leadership is lost and regained before the start is
 * committed. Its capacity was then released twice.
 */
static void change_of_leader_releases_capacity_once(void **state)
{
	struct jtb *t = *state;
	struct jtb_worker *w = jtb_worker(t, "w1");
	struct jtb_name n = {.id = "a"};

	two_steps(t, "a");
	jtb_propose_start(jtb_job(t, "a"), &n, w);
	assert_int_equal(w->proposed_cpu, 1000);
	jobs_cancel(t, "a");
	jtb_drop_proposals(t);
	assert_int_equal(w->proposed_cpu, 0);
	jobs_start(t, "a", 0, 0, 1, "w1");
	assert_int_equal(w->proposed_cpu, 0);
}

/*
 * Guards against a task that runs twice: one list of an earlier term and one of
 * this term lack the VM of a worker that is cut off, and lists in between, read
 * by another leader, had it.
 */
static void lists_of_an_earlier_term_count_for_nothing(void **state)
{
	struct jtb *t = *state;
	struct jtb_worker *w = jtb_worker(t, "w1");

	w->absence = (struct evd_absence){.asked_ms = 1, .shown_ms = 600};
	jtb_drop_proposals(t);
	assert_int_equal(w->absence.shown_ms, 0);
	assert_int_equal(w->absence.asked_ms, 0);
}

/*
 * Guards against answers that a job was never accepted: the leader's wall clock
 * jumped ahead, and a job that had just ended was forgotten.
 */
static void job_is_kept_across_a_jump_of_the_wall_clock(void **state)
{
	struct jtb *t = *state;
	struct jtb_job *job;

	two_steps(t, "a");
	job = jtb_job(t, "a");
	assert_false(jtb_may_forget(job, 1000, 500));
	assert_false(jtb_may_forget(job, 9000, 500));
	jobs_cancel(t, "a");
	job->ended_ms = 1;
	assert_false(jtb_may_forget(job, 10000, 500));
	assert_false(jtb_may_forget(job, 10500, 500));
	assert_true(jtb_may_forget(job, 10501, 500));
}

/*
 * Guards against a maintenance wave that goes on after it was reported as
 * completed: a state of a VM from an earlier leader is committed after a later
 * state.
 */
static void vm_state_of_a_wave_never_goes_back(void **state)
{
	struct jtb *t = *state;
	struct jtb_wave *w = jtb_wave_new(3);
	struct pk_out o;

	jtb_wave_add(w, "vm1");
	pk_out_init(&o);
	jtb_put_wave(&o, w);
	jobs_apply(t, &o);
	jtb_wave_free(w);
	pk_out_init(&o);
	jtb_put_vm(&o, 3, "vm1", JTB_VM_DONE, NULL);
	jobs_apply(t, &o);
	assert_true(jtb_wave(t, 3)->completed);
	pk_out_init(&o);
	jtb_put_vm(&o, 3, "vm1", JTB_VM_BEGUN, "w1");
	jobs_apply(t, &o);
	assert_true(jtb_wave(t, 3)->completed);
}

/*
 * Guards against a maintenance wave that never ends: a wave completes as the
 * last of its VMs is done, and this one has no VM.
 */
static void wave_without_vms_is_completed(void **state)
{
	struct jtb *t = *state;
	struct jtb_wave *w = jtb_wave_new(3);
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_wave(&o, w);
	jobs_apply(t, &o);
	jtb_wave_free(w);
	assert_true(jtb_wave(t, 3)->completed);
}

static GBytes *snapshot(const struct jtb *t)
{
	struct pk_out o;
	GBytes *b;

	pk_out_init(&o);
	jtb_snapshot(t, &o);
	b = g_bytes_new(pk_out_view(&o).p, pk_out_view(&o).len);
	pk_out_done(&o);
	return b;
}

/*
 * Guards against a job that is lost as a replica is replaced: a replica that
 * starts from a snapshot must hold the same table as the others.
 */
static void snapshot_holds_the_whole_table(void **state)
{
	struct jtb *t = *state;
	struct jtb *u = jtb_new(NULL, NULL);
	struct jtb_wave *w = jtb_wave_new(3);
	struct pk_out o;
	GBytes *a;
	GBytes *b;
	bool ok;

	two_steps(t, "a");
	jobs_start(t, "a", 0, 0, 2, "w1");
	jobs_start(t, "a", 0, 1, 1, "w2");
	jobs_end(t, "a", 0, 1, 1, "w2", JTB_DONE);
	jobs_worker_lost(t, "w9", true);
	jtb_wave_add(w, "vm1");
	pk_out_init(&o);
	jtb_put_wave(&o, w);
	jobs_apply(t, &o);
	jtb_wave_free(w);
	a = snapshot(t);
	ok = jtb_restore(u, lstr_n(g_bytes_get_data(a, NULL),
				   g_bytes_get_size(a)));
	assert_true(ok);
	b = snapshot(u);
	assert_int_equal(g_bytes_get_size(a), g_bytes_get_size(b));
	jobs_end(u, "a", 0, 0, 2, "w1", JTB_DONE);
	jobs_start(u, "a", 1, 0, 1, "w1");
	assert_int_equal(jtb_job(u, "a")->n_runs, 1);
	assert_int_equal(jtb_worker(u, "w1")->used_cpu, 500);
	assert_true(jtb_lifetime_is_over(u, "w9", 0));
	assert_non_null(jtb_wave(u, 3));
	g_bytes_unref(a);
	g_bytes_unref(b);
	jtb_free(u);
}

/* Starts a long-running job of four tasks. */
static struct jtb_job *start_service(struct jtb *t, uint32_t may_miss)
{
	struct jtb_step s = {.count = 4,
			     .cpu = 1000,
			     .may_miss = may_miss,
			     .flags = JTB_LONG_RUNNING};
	uint32_t i;

	jobs_job(t, "l", &s, 1, JOBS_WALL_MS);
	for (i = 0; i < s.count; i++)
		jobs_start(t, "l", 0, i, 1, "w1");
	return jtb_job(t, "l");
}

/*
 * Guards against a service that loses too many tasks at once: two leaders each
 * proposed to stop one.
 */
static void stops_respect_the_unavailable_limit(void **state)
{
	struct jtb *t = *state;
	const struct jtb_task *tasks =
		start_service(t, 2)->turns[0].steps[0].tasks;

	jobs_stop(t, "l", 3, 2, "w1");
	assert_false(tasks[3].run->stopping);
	jobs_stop(t, "l", 0, 1, "w1");
	jobs_stop(t, "l", 1, 1, "w1");
	jobs_stop(t, "l", 2, 1, "w1");
	assert_true(tasks[0].run->stopping && tasks[1].run->stopping);
	assert_false(tasks[2].run->stopping);
	/* a further stop has to wait until one of them runs again */
	jobs_end(t, "l", 0, 0, 1, "w1", JTB_STOPPED);
	jobs_stop(t, "l", 2, 1, "w1");
	assert_false(tasks[2].run->stopping);
	jobs_start(t, "l", 0, 0, 2, "w2");
	assert_false(tasks[0].run->stopping);
	jobs_stop(t, "l", 2, 1, "w1");
	assert_true(tasks[2].run->stopping);
}

/* The limit of stopped tasks also holds in a table restored from a snapshot. */
static void snapshot_holds_committed_stops(void **state)
{
	struct jtb *t = *state;
	struct jtb *u = jtb_new(NULL, NULL);
	const struct jtb_task *tasks;
	GBytes *a;

	start_service(t, 1);
	jobs_stop(t, "l", 1, 1, "w1");
	a = snapshot(t);
	assert_true(jtb_restore(u, lstr_n(g_bytes_get_data(a, NULL),
					  g_bytes_get_size(a))));
	tasks = jtb_job(u, "l")->turns[0].steps[0].tasks;
	assert_true(tasks[1].run->stopping && !tasks[0].run->stopping);
	jobs_stop(u, "l", 0, 1, "w1");
	assert_false(tasks[0].run->stopping);
	g_bytes_unref(a);
	jtb_free(u);
}

/* A proposed stop is dropped as leadership changes. */
static void proposed_stop_is_dropped_with_the_leader(void **state)
{
	struct jtb *t = *state;
	struct jtb_run *run =
		start_service(t, 1)->turns[0].steps[0].tasks[0].run;

	run->stop_proposed = true;
	assert_true(jtb_run_is_stopping(run));
	jtb_drop_proposals(t);
	assert_false(jtb_run_is_stopping(run));
}

/*
 * Guards against an overcommitted worker: its capacity was reduced after the
 * start was proposed.
 */
static void start_beyond_reduced_capacity_is_ignored(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 3, .cpu = 1000};

	jobs_job(t, "a", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_worker(t, "w1", 1500, false);
	jobs_start(t, "a", 0, 1, 1, "w1");
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
	jobs_worker(t, "w1", 2000, false);
	jobs_start(t, "a", 0, 1, 1, "w1");
	assert_int_equal(jtb_job(t, "a")->n_runs, 2);
}

/* Guards against a replica with part of the table: a truncated snapshot. */
static void truncated_snapshot_is_refused(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 2, .cpu = 1000};
	GBytes *b;
	gsize size;
	const char *bytes;
	gsize n;

	jobs_worker(t, "w1", 16000, false);
	jobs_job(t, "a", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w1");
	b = snapshot(t);
	bytes = g_bytes_get_data(b, &size);
	for (n = 0; n < size; n++) {
		struct jtb *other = jtb_new(NULL, NULL);

		assert_false(jtb_restore(other, lstr_n(bytes, n)));
		jtb_free(other);
	}
	g_bytes_unref(b);
}

/* Jobs restored from a snapshot are listed in order of acceptance. */
static void snapshot_keeps_the_order_of_jobs(void **state)
{
	struct jtb *t = *state;
	char id[8];
	GBytes *a;
	guint i;
	bool ok;

	for (i = 0; i < 50; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		two_steps(t, id);
	}
	a = snapshot(t);
	ok = jtb_restore(t, lstr_n(g_bytes_get_data(a, NULL),
				   g_bytes_get_size(a)));
	assert_true(ok);
	for (i = 0; i < 50; i++) {
		const struct jtb_job *job = g_ptr_array_index(jtb_live(t), i);

		assert_int_equal(job->seq, i);
	}
	g_bytes_unref(a);
}

static void task_names_parse_as_formatted(void **state)
{
	struct jtb_name n = {
		.id = "5c0e7a21d94b36f8", .turn = 1, .step = 2, .index = 33};
	struct jtb_name back;
	char text[64];

	jtb_name_format(&n, text, sizeof(text));
	assert_string_equal(text, "5c0e7a21d94b36f8.1.2.33");
	assert_true(jtb_name_parse(lstr_from(text), &back));
	assert_int_equal(back.index, 33);
	assert_false(jtb_name_parse(LSTR("a.1.2"), &back));
	assert_false(jtb_name_parse(LSTR("a.1.2.x"), &back));
	assert_false(jtb_name_parse(LSTR(".1.2.3"), &back));
	assert_false(jtb_name_parse(LSTR("a.1.2.3.4"), &back));
}

/*
 * Guards against a task that is never started: a malformed command stands
 * before its start in a batch, and the rest of the batch was skipped. The start
 * stayed proposed permanently, and a proposed task is not planned again.
 */
static void malformed_command_skips_only_itself(void **state)
{
	struct jtb *t = *state;
	struct jtb_name n = {.id = "a"};
	struct pk_out o;

	two_steps(t, "a");
	jtb_propose_start(jtb_job(t, "a"), &n, jtb_worker(t, "w1"));
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_arr(&o, 1);
	pk_u(&o, 99);
	pk_u(&o, 7);
	pk_arr(&o, 1);
	pk_cstr(&o, "not a command");
	jtb_put_start(&o, &n, 1, "w1");
	assert_false(jtb_apply(t, pk_out_view(&o)));
	pk_out_done(&o);
	assert_non_null(jtb_step_state(jtb_job(t, "a"), 0, 0)->tasks[0].run);
	assert_false(
		jtb_step_state(jtb_job(t, "a"), 0, 0)->tasks[0].start_proposed);
}

static const struct quo_use *use_of(const struct jtb *t, const char *org)
{
	GPtrArray *all = quo_list(jtb_usage(t));
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct quo_use *u = g_ptr_array_index(all, i);

		if (strcmp(u->name, org) == 0)
			return u;
	}
	return NULL;
}

/*
 * Guards against work beyond a usage limit: two leaders may each have proposed
 * a start that fits by itself.
 */
static void start_beyond_the_limit_is_not_committed(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 3, .cpu = 1000, .estimate_ms = 100};

	jobs_config_limit(t, 2, "org", 2000);
	jobs_job_of(t, "org", "a", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_start(t, "a", 0, 1, 1, "w2");
	jobs_start(t, "a", 0, 2, 1, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 2);
	assert_int_equal(use_of(t, "org")->running.cpu, 2000);
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	jobs_start(t, "a", 0, 2, 2, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 2);
	assert_int_equal(use_of(t, "org")->runs, 2);
}

/*
 * Guards against work beyond a usage limit after a change of leader: what runs
 * on a silent worker counts until its end is certain, also in a table that
 * starts from a snapshot.
 */
static void usage_survives_a_snapshot(void **state)
{
	struct jtb *t = *state;
	struct jtb *u = jtb_new(NULL, NULL);
	struct jtb_step s = {
		.count = 2, .cpu = 1000, .mem_mb = 10, .estimate_ms = 100};
	const struct org *org;
	GBytes *bytes;
	gsize len;
	const char *p;

	jobs_config_limit(t, 2, "org", 2000);
	jobs_job_of(t, "org", "a", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w1");
	bytes = snapshot(t);
	p = g_bytes_get_data(bytes, &len);
	assert_true(jtb_restore(u, lstr_n(p, len)));
	assert_int_equal(use_of(u, "org")->running.cpu, 1000);
	assert_int_equal(use_of(u, "org")->running.mem_mb, 10);
	org = use_of(u, "org")->org;
	assert_non_null(org);
	assert_int_equal(org->limit.cpu, 2000);
	assert_string_equal(jtb_job(u, "a")->spec.org, "org");
	jobs_worker_lost(u, "w1", true);
	assert_int_equal(use_of(u, "org")->running.cpu, 0);
	g_bytes_unref(bytes);
	jtb_free(u);
}

/* Guards against runs that are stopped, or counted wrong, as a limit falls. */
static void lowered_limit_stops_nothing_and_starts_nothing(void **state)
{
	struct jtb *t = *state;
	struct jtb_step s = {.count = 4, .cpu = 1000, .estimate_ms = 100};

	jobs_config_limit(t, 2, "org", 3000);
	jobs_job_of(t, "org", "a", &s, 1, JOBS_WALL_MS);
	jobs_start(t, "a", 0, 0, 1, "w1");
	jobs_start(t, "a", 0, 1, 1, "w1");
	jobs_config_limit(t, 3, "org", 1000);
	assert_true(quo_is_over(use_of(t, "org")));
	assert_int_equal(jtb_job(t, "a")->n_runs, 2);
	jobs_start(t, "a", 0, 2, 1, "w2");
	jobs_end(t, "a", 0, 0, 1, "w1", JTB_DONE);
	assert_false(quo_is_over(use_of(t, "org")));
	jobs_start(t, "a", 0, 2, 1, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 1);
	/* without the organisation its work goes on, and has no limit */
	jobs_config(t, 4, "p", 3);
	jobs_start(t, "a", 0, 2, 2, "w2");
	assert_int_equal(jtb_job(t, "a")->n_runs, 2);
}

/*
 * Guards against jobs accepted that could never run within their organisation's
 * limit, and against jobs refused that could.
 */
static void step_larger_than_its_limit_is_found(void **state)
{
	struct jtb_step steps[] = {
		{.count = 9, .cpu = 1000},
		{.count = 3, .cpu = 1000, .flags = JTB_GANG},
		{.count = 1, .cpu = 4000, .mem_mb = 70},
	};
	struct jtb_spec spec = {.steps = steps, .n_steps = 3};
	struct org *org = org_new("org");

	assert_int_equal(jtb_oversized_step(&spec, NULL), -1);
	assert_int_equal(jtb_oversized_step(&spec, org), -1);
	org->limit.cpu = 4000;
	assert_int_equal(jtb_oversized_step(&spec, org), -1);
	org->limit.cpu = 3000;
	assert_int_equal(jtb_oversized_step(&spec, org), 2);
	org->limit.cpu = 2999;
	assert_int_equal(jtb_oversized_step(&spec, org), 1);
	org->limit.cpu = 999;
	assert_int_equal(jtb_oversized_step(&spec, org), 0);
	org->limit = (struct org_amount){.mem_mb = 69};
	assert_int_equal(jtb_oversized_step(&spec, org), 2);
	org_free(org);
}

/*
 * Guards against data folders of earlier versions that can't be read, and
 * against their queues asking for keys that nobody has.
 */
static void configuration_without_organisations_is_read(void **state)
{
	struct jtb *t = *state;
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, JTB_CMD_CONFIG);
	pk_arr(&o, 4);
	pk_u(&o, 9);
	pk_cstr(&o, "doc");
	pk_arr(&o, 1);
	pk_arr(&o, 13);
	pk_cstr(&o, "old");
	pk_cstr(&o, "h");
	pk_cstr(&o, "/old/");
	pk_cstr(&o, "p");
	pk_u(&o, 3000);
	pk_u(&o, 600);
	pk_u(&o, 0);
	pk_u(&o, 3);
	pk_f(&o, 1.5);
	pk_bool(&o, false);
	pk_u(&o, 0);
	pk_u(&o, 0);
	pk_u(&o, 0);
	pk_arr(&o, 0);
	jobs_apply(t, &o);
	assert_int_equal(jtb_config(t)->version, 9);
	assert_true(jtb_queue(jtb_config(t), "old")->open);
	assert_int_equal(orgs_count(jtb_config(t)->orgs), 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

/*
 * Guards against a replica that acknowledges a worker's report of draining or
 * of a changed description before the table has it.
 */
static void changed_worker_info_needs_an_update(void **state)
{
	char *labels[] = {(char *)"kind-a", (char *)"rack-1", NULL};
	char *others[] = {(char *)"kind-a", (char *)"rack-2", NULL};
	const struct jtb_worker_info known = {.id = (char *)"w",
					      .pool = (char *)"p",
					      .addr = (char *)"127.0.0.1:1",
					      .labels = labels,
					      .cpu = 16000,
					      .mem_mb = 64000};
	struct jtb_worker_info reported = known;

	assert_true(jtb_worker_info_is_current(&known, &reported));
	reported.draining = true;
	assert_false(jtb_worker_info_is_current(&known, &reported));
	/* once draining is stored, an older report needs no update */
	assert_true(jtb_worker_info_is_current(&reported, &known));
	reported = known;
	reported.pool = (char *)"q";
	assert_false(jtb_worker_info_is_current(&known, &reported));
	reported = known;
	reported.addr = (char *)"127.0.0.1:2";
	assert_false(jtb_worker_info_is_current(&known, &reported));
	reported = known;
	reported.mem_mb = 32000;
	assert_false(jtb_worker_info_is_current(&known, &reported));
	reported = known;
	reported.labels = others;
	assert_false(jtb_worker_info_is_current(&known, &reported));
}

/* Compares the index of workers by pool with a recount of all workers. */
static void check_index(const struct jtb *t, const char *const *pools, int n)
{
	GHashTableIter it;
	const struct jtb_worker *w;
	guint indexed = 0;
	int i;

	for (i = 0; i < n; i++) {
		const GPtrArray *in_pool = jtb_pool_workers(t, pools[i]);

		indexed += in_pool ? in_pool->len : 0;
	}
	assert_int_equal(indexed, g_hash_table_size(jtb_workers(t)));
	g_hash_table_iter_init(&it, jtb_workers(t));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		GPtrArray *in_pool = jtb_pool_workers(t, w->info.pool);

		assert_ptr_equal(g_ptr_array_index(in_pool, w->index_in_pool),
				 w);
	}
}

/* Puts a worker into a pool, from a start of its process. */
static void put_into_pool(struct jtb *t, const char *id, const char *pool,
			  int64_t started_ms)
{
	char *labels[] = {NULL};
	struct jtb_worker_info info = {
		.id = (char *)id,
		.pool = (char *)pool,
		.addr = (char *)"127.0.0.1:1",
		.zone = (char *)"z",
		.labels = labels,
		.cpu = 1000,
		.started_ms = started_ms,
	};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(t, &o);
}

/*
 * Guards against plans that miss a worker or see a freed one: the workers by
 * pool are what a recount gives, after any workers came, changed their pool,
 * began another lifetime, were lost or left, and after a snapshot.
 */
static void workers_by_pool_are_what_a_recount_gives(void **state)
{
	static const char *const pools[] = {"p", "q1", "q2", "q3"};
	struct jtb *t = *state;
	GRand *rand = g_rand_new_with_seed(5);
	struct pk_out o;
	char id[8];
	int i;

	for (i = 0; i < 2000; i++) {
		int no = g_rand_int_range(rand, 0, 40);

		g_snprintf(id, sizeof(id), "i%d", no);
		switch (g_rand_int_range(rand, 0, 8)) {
		case 0:
			jobs_worker_lost(t, id, true);
			break;
		case 1:
			jobs_worker_lost(t, id, false);
			break;
		case 2:
			jobs_worker_leaving(t, id);
			break;
		case 3:
			pk_out_init(&o);
			jtb_snapshot(t, &o);
			assert_true(jtb_restore(t, pk_out_view(&o)));
			pk_out_done(&o);
			break;
		default:
			put_into_pool(t, id,
				      pools[g_rand_int_range(rand, 0, 4)],
				      g_rand_int_range(rand, 0, 3) * i);
		}
		check_index(t, pools, G_N_ELEMENTS(pools));
	}
	assert_true(g_hash_table_size(jtb_workers(t)) > 2);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(workers_by_pool_are_what_a_recount_gives),
		T(job_runs_its_steps_in_order),
		T(start_is_unconfirmed_for_a_new_leader),
		T(earlier_data_shows_what_has_begun),
		T(late_end_confirms_a_start),
		T(second_start_of_a_running_task_is_ignored),
		T(attempt_numbers_are_not_reused),
		T(task_of_a_cancelled_job_is_not_started),
		T(job_fails_with_its_last_attempt),
		T(repeated_ends_change_nothing),
		T(late_success_counts),
		T(late_failure_counts),
		T(late_end_stops_newer_run),
		T(end_from_another_worker_changes_nothing),
		T(draining_worker_gets_no_tasks),
		T(changed_worker_info_needs_an_update),
		T(leaving_worker_keeps_its_runs),
		T(removed_worker_is_not_added_again),
		T(older_configuration_changes_nothing),
		T(configuration_without_ticket_validity_is_read),
		T(queue_is_found_among_thousands),
		T(start_in_the_old_pool_is_ignored),
		T(one_done_task_completes_its_gang),
		T(gang_of_an_earlier_version_has_one_checkpoint),
		T(malformed_command_skips_only_itself),
		T(long_running_job_never_fails),
		T(only_ended_jobs_are_forgotten),
		T(change_of_leader_releases_capacity_once),
		T(lists_of_an_earlier_term_count_for_nothing),
		T(job_is_kept_across_a_jump_of_the_wall_clock),
		T(vm_state_of_a_wave_never_goes_back),
		T(wave_without_vms_is_completed),
		T(snapshot_holds_the_whole_table),
		T(truncated_snapshot_is_refused),
		T(start_beyond_reduced_capacity_is_ignored),
		T(stops_respect_the_unavailable_limit),
		T(snapshot_holds_committed_stops),
		T(proposed_stop_is_dropped_with_the_leader),
		T(snapshot_keeps_the_order_of_jobs),
		T(task_names_parse_as_formatted),
		T(start_beyond_the_limit_is_not_committed),
		T(usage_survives_a_snapshot),
		T(lowered_limit_stops_nothing_and_starts_nothing),
		T(step_larger_than_its_limit_is_found),
		T(configuration_without_organisations_is_read),
	};

	return cmocka_run_group_tests_name("jtb", tests, NULL, NULL);
}
