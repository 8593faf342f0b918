#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "sch.h"

#define PLAN_MS 100000

struct bed {
	struct jtb *jtb;
	GHashTable *closed;
	GString *log; /* JOB.STEP.INDEX@WORKER of each start, in order */
	int starved;
	int64_t wall;
	const char *leaving;
	bool proposes; /* starts stay on their way to the log */
	int64_t later_ms; /* since the first plan */
	const char *tickets; /* JOB@WORKER of each that there is */
};

static bool bed_usable(void *arg, const struct jtb_worker *w)
{
	return !w->info.draining;
}

static bool bed_leaving(void *arg, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return b->leaving && strcmp(b->leaving, w->info.id) == 0;
}

static bool bed_ticketed(void *arg, const struct jtb_job *job, uint32_t turn,
			 uint32_t step, const struct jtb_worker *w)
{
	const struct bed *b = arg;
	char *one = g_strdup_printf("%s@%s", job->spec.id, w->info.id);
	bool found = strstr(b->tickets, one) != NULL;

	g_free(one);
	return found;
}

static void bed_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w)
{
	struct bed *b = arg;

	g_string_append_printf(b->log, "%s.%u.%u@%s ", n->id, n->step, n->index,
			       w->info.id);
	if (b->proposes)
		jtb_propose_start(job, n, w);
	else
		jobs_start(b->jtb, n->id, n->step, n->index, attempt,
			   w->info.id);
}

static void bed_starved(void *arg, const char *pool)
{
	struct bed *b = arg;

	b->starved++;
}

static void plan(struct bed *b)
{
	struct sch_view v = {
		.jtb = b->jtb,
		.closed = b->closed,
		.now_ms = PLAN_MS + b->later_ms,
		.wall_ms = b->wall,
		.arg = b,
		.usable = bed_usable,
		.leaving = bed_leaving,
		.ticketed = bed_ticketed,
		.start = bed_start,
		.starved = bed_starved,
	};

	g_string_truncate(b->log, 0);
	sch_plan(&v, "p");
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);

	b->jtb = jtb_new(NULL, NULL);
	b->closed = g_hash_table_new(g_str_hash, g_str_equal);
	b->log = g_string_new(NULL);
	b->wall = JOBS_WALL_MS;
	jobs_config(b->jtb, 1, "p", 3);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	jtb_free(b->jtb);
	g_hash_table_destroy(b->closed);
	g_string_free(b->log, TRUE);
	g_free(b);
	return 0;
}

static void job(struct bed *b, const char *id, uint32_t count, uint32_t cpu,
		uint32_t guess_ms, uint32_t flags, int64_t age_ms)
{
	struct jtb_step s = {.count = count,
			     .cpu = cpu,
			     .estimate_ms = guess_ms,
			     .flags = flags};

	jobs_job(b->jtb, id, &s, 1, b->wall - age_ms);
}

/* Job N of one task fails on a worker. */
static void fail_on(struct bed *b, int n, const char *worker)
{
	char id[16];

	g_snprintf(id, sizeof(id), "f%d", n);
	job(b, id, 1, 1000, 500, 0, 0);
	jobs_start(b->jtb, id, 0, 0, 1, worker);
	jobs_end(b->jtb, id, 0, 0, 1, worker, JTB_FAILED_RUN);
	jobs_cancel(b->jtb, id);
}

/* Where one more job is put; three workers, the first is the fullest. */
static char *place_one(struct bed *b)
{
	char *at;

	job(b, "next", 1, 1000, 500, 0, 0);
	plan(b);
	at = strchr(b->log->str, '@');
	return at ? g_strstrip(at + 1) : b->log->str;
}

static void three_workers(struct bed *b)
{
	jobs_worker(b->jtb, "w1", 16000, false);
	jobs_worker(b->jtb, "w2", 3000, false);
	jobs_worker(b->jtb, "w3", 3000, false);
	job(b, "a", 2, 1000, 100000, 0, 0);
	jobs_start(b->jtb, "a", 0, 0, 1, "w2");
	jobs_start(b->jtb, "a", 0, 1, 1, "w3");
	job(b, "b", 1, 7000, 100000, 0, 0);
	jobs_start(b->jtb, "b", 0, 0, 1, "w1");
}

/* A worker on which three jobs in a row failed gets no fourth for a while. */
static void a_worker_that_fails_all_is_shunned(void **state)
{
	struct bed *b = *state;

	three_workers(b);
	fail_on(b, 1, "w1");
	fail_on(b, 2, "w1");
	fail_on(b, 3, "w1");
	assert_string_not_equal(place_one(b), "w1");
}

/* Now and then a job fails, with others done between: no black hole. */
static void what_is_done_clears_a_worker(void **state)
{
	struct bed *b = *state;
	int i;

	three_workers(b);
	for (i = 0; i < 12; i += 2) {
		char id[16];

		fail_on(b, i, "w1");
		fail_on(b, i + 1, "w1");
		g_snprintf(id, sizeof(id), "d%d", i);
		job(b, id, 1, 1000, 500, 0, 0);
		jobs_start(b->jtb, id, 0, 0, 1, "w1");
		jobs_end(b->jtb, id, 0, 0, 1, "w1", JTB_DONE);
	}
	assert_string_equal(place_one(b), "w1");
}

/*
 * Work that lasts is without a run though a worker has room: a job that fails
 * at once wherever it runs had all workers of its pool shunned in turn. What
 * lasts only waits out the pause of one that fails everything.
 */
static void what_lasts_waits_no_longer_than_a_pause(void **state)
{
	struct bed *b = *state;

	three_workers(b);
	fail_on(b, 1, "w1");
	fail_on(b, 2, "w1");
	fail_on(b, 3, "w1");
	job(b, "l", 1, 8000, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	/* it has failed before, and something runs there */
	jobs_start(b->jtb, "l", 0, 0, 1, "w2");
	jobs_end(b->jtb, "l", 0, 0, 1, "w2", JTB_FAILED_RUN);
	job(b, "m", 1, 100, 0, JTB_LONG_RUNNING, 0);
	jobs_start(b->jtb, "m", 0, 0, 1, "w1");
	b->later_ms = 5000;
	plan(b);
	assert_string_equal(b->log->str, "l.0.0@w1 ");
}

/*
 * Bad jobs fail wherever they run. Were the workers taken for black holes, the
 * whole pool would stand still.
 */
static void bad_jobs_shun_no_worker(void **state)
{
	struct bed *b = *state;
	const char *const workers[] = {"w1", "w2", "w3"};
	char id[16];
	int i;
	int w;

	three_workers(b);
	/* each blames one worker at most, where it failed first */
	for (i = 0; i < 9; i++) {
		g_snprintf(id, sizeof(id), "bad%d", i);
		job(b, id, 1, 1000, 500, 0, 0);
		for (w = 0; w < 3; w++) {
			jobs_start(b->jtb, id, 0, 0, (uint32_t)w + 1,
				   workers[(i + w) % 3]);
			jobs_end(b->jtb, id, 0, 0, (uint32_t)w + 1,
				 workers[(i + w) % 3], JTB_FAILED_RUN);
		}
		assert_int_equal(jtb_job(b->jtb, id)->state, JTB_FAILED);
	}
	assert_string_equal(place_one(b), "w1");
}

/* Tasks that run on a worker. */
static guint runs_on(struct bed *b, const char *worker)
{
	return jtb_worker(b->jtb, worker)->runs->len;
}

/* One task of four cores comes and is started; the one before last ends. */
static void pass(struct bed *b, int n)
{
	char id[16];
	const struct jtb_job *old;

	g_snprintf(id, sizeof(id), "p%d", n);
	job(b, id, 1, 4000, 500, 0, 0);
	plan(b);
	g_snprintf(id, sizeof(id), "p%d", n - 2);
	old = jtb_job(b->jtb, id);
	if (old)
		jobs_end(b->jtb, id, 0, 0, 1,
			 jtb_step_state(old, 0, 0)
				 ->tasks[0]
				 .run->worker->info.id,
			 JTB_DONE);
}

/*
 * A burst is over and a trickle goes on: callers of the next pool's burst wait
 * for VMs. Spread over all four workers of this pool the trickle would keep
 * each of them from being empty; it keeps one, and three can go.
 */
static void what_is_left_of_a_burst_frees_workers(void **state)
{
	static const char *const workers[] = {"w1", "w2", "w3", "w4"};
	struct bed *b = *state;
	guint empty = 0;
	size_t w;
	int i;

	for (w = 0; w < G_N_ELEMENTS(workers); w++)
		jobs_worker(b->jtb, workers[w], 16000, false);
	job(b, "burst", 12, 4000, 500, 0, 0);
	plan(b);
	for (i = 0; i < 12; i++) {
		const struct jtb_step_state *part =
			jtb_step_state(jtb_job(b->jtb, "burst"), 0, 0);

		pass(b, i);
		jobs_end(b->jtb, "burst", 0, (uint32_t)i, 1,
			 part->tasks[i].run->worker->info.id, JTB_DONE);
	}
	for (i = 12; i < 24; i++)
		pass(b, i);
	for (w = 0; w < G_N_ELEMENTS(workers); w++)
		empty += !runs_on(b, workers[w]);
	assert_int_equal(empty, 3);
}

/*
 * 10,000 jobs are cancelled while others come in between: one of these starts
 * with the very next plan, and each cancelled job has its one outcome.
 */
static void a_flood_of_cancels_delays_nothing(void **state)
{
	struct bed *b = *state;
	char id[16];
	int i;

	jobs_worker(b->jtb, "w1", 16000, false);
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		job(b, id, 1, 4000, 1000, 0, 0);
	}
	plan(b);
	for (i = 0; i < 10000; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		jobs_cancel(b->jtb, id);
		if (i == 5000)
			job(b, "urgent", 1, 4000, 1000, 0, 0);
	}
	for (i = 0; i < 10000; i++) {
		const struct jtb_job *j;

		g_snprintf(id, sizeof(id), "j%d", i);
		j = jtb_job(b->jtb, id);
		assert_int_equal(j->state, JTB_CANCELLED);
		if (j->n_runs)
			jobs_end(b->jtb, id, 0, 0, 1, "w1", JTB_STOPPED);
		assert_int_equal(j->state, JTB_CANCELLED);
	}
	plan(b);
	assert_string_equal(b->log->str, "urgent.0.0@w1 ");
}

/*
 * A pool stands idle beside work that it has room for: forty jobs that no
 * worker can ever take come before it, and a plan ended after so many that
 * found no room. The same if the only worker that could take them leaves.
 */
static void what_can_never_run_holds_nobody(void **state)
{
	static char nobody[] = "nobody-has-it";
	struct bed *b = *state;
	struct jtb_step s = {.count = 1,
			     .cpu = 1000,
			     .flags = JTB_LONG_RUNNING,
			     .label = nobody};
	char id[16];
	int i;

	jobs_worker(b->jtb, "w1", 4000, false);
	jobs_worker(b->jtb, "w2", 64000, true);
	for (i = 0; i < 100; i++) {
		g_snprintf(id, sizeof(id), "never%d", i);
		jobs_job(b->jtb, id, &s, 1, b->wall);
		g_snprintf(id, sizeof(id), "large%d", i);
		job(b, id, 1, 32000 + (uint32_t)i, 1000, JTB_LONG_RUNNING, 0);
	}
	job(b, "a", 1, 1000, 1000, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w1 ");
}

/*
 * Room goes to a job that is late already, while one beside it could be in
 * time: its guess is twice too high, as are all of its queue, so that it is due
 * earlier than it looks.
 */
static void a_job_with_a_guess_too_high_is_late_sooner(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 1000, false);
	job(b, "sure", 1, 1000, 1000, 0, 0);
	job(b, "high", 1, 1000, 500, 0, 700);
	jtb_job(b->jtb, "high")->estimate_ratio = 0.5;
	plan(b);
	assert_string_equal(b->log->str, "sure.0.0@w ");
}

/* Work is thrown away: it was given to a VM that is to be switched off. */
static void a_closed_worker_gets_nothing(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_worker(b->jtb, "w2", 1000, false);
	g_hash_table_add(b->closed, (gpointer) "w1");
	job(b, "s1", 2, 1000, 100, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "s1.0.0@w2 ");
}

/*
 * Work that serves for good is without a run for a whole burst: short work
 * fills each gap as soon as it opens, and two cores are never free at once.
 */
static void work_that_lasts_goes_first(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "s1", 2, 1000, 100, 0, 0);
	job(b, "l1", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "l1.0.0@w ");
}

/*
 * A gang whose members must be kept apart runs on one worker, and one fault
 * ends all of it: none of its members was counted until all had a place.
 */
static void a_gang_is_kept_apart(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1,
			     .flags = JTB_GANG};

	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_job(b->jtb, "g", &s, 1, b->wall);
	plan(b);
	assert_string_equal(b->log->str, "");
	jobs_worker(b->jtb, "w2", 2000, false);
	plan(b);
	assert_non_null(strstr(b->log->str, "@w1"));
	assert_non_null(strstr(b->log->str, "@w2"));
}

/* Tasks kept apart come together: what runs already isn't counted. */
static void what_runs_counts_for_what_is_kept_apart(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1};

	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_job(b->jtb, "a", &s, 1, b->wall);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w1 ");
	plan(b);
	assert_string_equal(b->log->str, "");
}

/*
 * All jobs of a queue are judged by times that were too short: a run that an
 * earlier leader ordered counts from the change of leader, one that goes on
 * from saved progress takes the rest alone.
 */
static void only_whole_runs_tell_a_tasks_time(void **state)
{
	struct bed *b = *state;
	struct jtb_run *run;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "a", 1, 1000, 100, 0, 0);
	plan(b);
	run = g_ptr_array_index(jtb_worker(b->jtb, "w")->runs, 0);
	run->ordered_ms = PLAN_MS;
	assert_true(sch_tells_time(run, JTB_DONE, PLAN_MS - 1));
	assert_false(sch_tells_time(run, JTB_DONE, PLAN_MS));
	assert_false(sch_tells_time(run, JTB_STOPPED, PLAN_MS - 1));
	run->attempt = 2;
	assert_false(sch_tells_time(run, JTB_DONE, PLAN_MS - 1));
	run->attempt = 1;
	run->job->spec.steps[0].flags = JTB_GANG;
	assert_false(sch_tells_time(run, JTB_DONE, PLAN_MS - 1));
}

/*
 * The leader crashes: a worker is over while a start for it is on its way to
 * the log, and the next plan counts that start on memory given back.
 */
static void a_start_on_its_way_outlives_its_worker(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 500,
			     .estimate_ms = 100,
			     .max_per_worker = 1};

	b->proposes = true;
	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_job(b->jtb, "a", &s, 1, b->wall);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w1 ");
	jobs_worker_lost(b->jtb, "w1", true);
	jobs_worker(b->jtb, "w2", 2000, false);
	plan(b);
	assert_string_equal(b->log->str, "a.0.1@w2 ");
}

static void a_worker_is_kept_free_for_it(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "s1", 2, 1000, 100, 0, 0);
	plan(b);
	job(b, "l1", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	job(b, "s2", 2, 1000, 100, 0, 0);
	jobs_end(b->jtb, "s1", 0, 0, 1, "w", JTB_DONE);
	plan(b);
	assert_string_equal(b->log->str, "");
	assert_int_equal(b->starved, 1);
	jobs_end(b->jtb, "s1", 0, 1, 1, "w", JTB_DONE);
	plan(b);
	assert_string_equal(b->log->str, "l1.0.0@w ");
}

/*
 * In a burst of several times the room nearly every job is late: each waits
 * until it can't be in time any more and is then served. What can still be in
 * time goes before what can't, and the newest of it first.
 */
static void what_can_be_in_time_goes_first(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 1000, false);
	job(b, "hopeless", 1, 1000, 1000, 0, 60000);
	job(b, "late", 1, 1000, 1000, 0, 2500);
	job(b, "old", 1, 1000, 1000, 0, 500);
	job(b, "new", 1, 1000, 1000, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "new.0.0@w ");
	jobs_end(b->jtb, "new", 0, 0, 1, "w", JTB_DONE);
	plan(b);
	assert_string_equal(b->log->str, "old.0.0@w ");
	jobs_end(b->jtb, "old", 0, 0, 1, "w", JTB_DONE);
	plan(b);
	assert_string_equal(b->log->str, "late.0.0@w ");
}

/* Many jobs are half done and none is finished. */
static void what_is_begun_is_finished_first(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 1000, false);
	job(b, "begun", 2, 1000, 300, 0, 100);
	plan(b);
	job(b, "new", 1, 1000, 300, 0, 0);
	jobs_end(b->jtb, "begun", 0, 0, 1, "w", JTB_DONE);
	plan(b);
	assert_string_equal(b->log->str, "begun.0.1@w ");
}

static void nothing_is_put_where_it_doesnt_fit(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 1500, false);
	jobs_worker(b->jtb, "w2", 900, true);
	job(b, "a", 3, 1000, 300, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w1 ");
}

static void tasks_are_kept_apart(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 10, .max_per_worker = 1};

	jobs_worker(b->jtb, "w1", 9000, false);
	jobs_worker(b->jtb, "w2", 9000, false);
	jobs_job(b->jtb, "a", &s, 1, b->wall);
	plan(b);
	assert_int_equal(jtb_worker(b->jtb, "w1")->runs->len, 1);
	assert_int_equal(jtb_worker(b->jtb, "w2")->runs->len, 1);
	assert_int_equal(sch_apart(jtb_job(b->jtb, "a"), b->wall), 3);
}

/* Nor beside one whose start is on its way to the log. */
static void proposed_tasks_are_kept_apart(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {
		.count = 3, .cpu = 100, .estimate_ms = 10, .max_per_worker = 1};
	const struct jtb_step_state *part;

	b->proposes = true;
	jobs_worker(b->jtb, "w1", 9000, false);
	jobs_worker(b->jtb, "w2", 9000, false);
	jobs_job(b->jtb, "a", &s, 1, b->wall);
	plan(b);
	part = &jtb_job(b->jtb, "a")->turns[0].steps[0];
	assert_int_equal(part->n_proposed, 2);
	plan(b);
	assert_int_equal(part->n_proposed, 2);
}

/*
 * A worker on which a task fails at once gets it back at once, and uses up all
 * its attempts before anybody can look.
 */
static void a_task_that_ended_waits_a_moment(void **state)
{
	struct bed *b = *state;
	struct jtb_task *task;

	jobs_worker(b->jtb, "w", 9000, false);
	job(b, "a", 1, 100, 10, 0, 0);
	plan(b);
	jobs_end(b->jtb, "a", 0, 0, 1, "w", JTB_FAILED_RUN);
	task = &jtb_job(b->jtb, "a")->turns[0].steps[0].tasks[0];
	task->last_end_ms = PLAN_MS;
	plan(b);
	assert_string_equal(b->log->str, "");
	task->last_end_ms = 0;
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w ");
}

static void a_label_is_required(void **state)
{
	struct bed *b = *state;
	char label[] = "kind-b";
	struct jtb_step s = {
		.count = 1, .cpu = 100, .estimate_ms = 10, .label = label};

	jobs_worker(b->jtb, "w1", 9000, false);
	jobs_job(b->jtb, "a", &s, 1, b->wall);
	plan(b);
	assert_string_equal(b->log->str, "");
}

/* Half a gang holds room and waits for the rest, which never comes. */
static void a_gang_starts_whole_or_not(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 2000, false);
	job(b, "g", 3, 1000, 300, JTB_GANG, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	jobs_worker(b->jtb, "w2", 1000, false);
	plan(b);
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 3);
	/* one of them is over: the rest goes on, and is not joined */
	jobs_worker(b->jtb, "w3", 9000, false);
	jobs_end(b->jtb, "g", 0, 1, 1, "w1", JTB_LOST);
	plan(b);
	assert_string_equal(b->log->str, "");
}

/* A repeated job starts at its time, not before. */
static void a_time_is_waited_for(void **state)
{
	struct bed *b = *state;
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

	jobs_worker(b->jtb, "w", 2000, false);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, b->wall);
	jobs_apply(b->jtb, &o);
	plan(b);
	assert_string_equal(b->log->str, "");
	b->wall += 1000;
	plan(b);
	assert_string_equal(b->log->str, "r.0.0@w ");
}

/* Work that lasts isn't put where it will have to leave again. */
static void a_vm_due_for_upkeep_is_avoided(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 16000, false);
	jobs_worker(b->jtb, "w2", 8000, false);
	b->leaving = "w1";
	job(b, "l", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "l.0.0@w2 ");
}

/* So many jobs that no worker can ever take; they are late soonest. */
static void impossible(struct bed *b, int n, struct jtb_step *s)
{
	char id[16];
	int i;

	for (i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "x%d", i);
		jobs_job(b->jtb, id, s, 1, b->wall - 60000);
	}
}

/*
 * A pool stands idle and its jobs wait for good: before them rank many that no
 * worker can take, as each asks for a label that none has, or for more than
 * any has. What failed to be placed was taken as a sign that the pool is full.
 */
static void work_for_nobody_holds_up_nobody(void **state)
{
	struct bed *b = *state;
	char label[] = "kind-none";
	struct jtb_step label_step = {
		.count = 1, .cpu = 100, .estimate_ms = 10, .label = label};
	struct jtb_step large = {.count = 1, .cpu = 5000, .estimate_ms = 10};

	jobs_worker(b->jtb, "w", 2000, false);
	impossible(b, 60, &label_step);
	job(b, "a", 1, 1000, 1000, 0, 60000);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w ");
	large.flags = JTB_LONG_RUNNING;
	jobs_end(b->jtb, "a", 0, 0, 1, "w", JTB_DONE);
	jobs_job(b->jtb, "y", &large, 1, b->wall);
	job(b, "b", 1, 1000, 1000, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "b.0.0@w ");
}

/*
 * The same by many jobs that one worker could take if work that lasts didn't
 * hold a part of it for good.
 */
static void large_work_doesnt_hold_up_small(void **state)
{
	struct bed *b = *state;
	struct jtb_step large = {.count = 1, .cpu = 2000, .estimate_ms = 10};

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "l", 1, 500, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	impossible(b, 60, &large);
	job(b, "a", 1, 1000, 1000, 0, 60000);
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w ");
}

/*
 * Work that lasts is without a run for good though a worker has room for it.
 * The worker is kept free for other work that lasts, which can't ever fit, as
 * a third holds half of the worker until it is cancelled.
 */
static void a_worker_is_kept_only_if_it_can_free_up(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "held", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	job(b, "large", 1, 1500, 0, JTB_LONG_RUNNING, 0);
	job(b, "small", 1, 500, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "small.0.0@w ");
}

/*
 * Work that lasts is without a run for good: all workers of its pool are
 * closed, and none of them can be emptied since so much of its step is away
 * already. Nobody asked for another VM, as a pool without a worker that may be
 * used wasn't looked at.
 */
static void a_pool_that_is_closed_asks_for_room(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	g_hash_table_add(b->closed, (gpointer) "w");
	job(b, "s", 1, 1000, 100, 0, 0);
	plan(b);
	assert_int_equal(b->starved, 0);
	job(b, "l", 1, 1000, 0, JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	assert_int_equal(b->starved, 1);
}

/*
 * A repeated gang whose members must be kept apart starts once and never
 * again: its pool shrinks below what it needs after its first time, since
 * only that was looked at.
 */
static void each_turn_is_kept_apart(void **state)
{
	struct bed *b = *state;
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

	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_worker(b->jtb, "w2", 2000, false);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, b->wall);
	jobs_apply(b->jtb, &o);
	plan(b);
	jobs_end(b->jtb, "r", 0, 0, 1, "w1", JTB_DONE);
	jobs_end(b->jtb, "r", 0, 0, 1, "w2", JTB_DONE);
	assert_int_equal(jtb_job(b->jtb, "r")->turns_done, 1);
	b->wall += 5000;
	assert_int_equal(sch_apart(jtb_job(b->jtb, "r"), b->wall), 2);
}

/*
 * A gang that runs on processors which others leave idle never starts: it was
 * placed as if each member needed a processor for itself.
 */
static void a_gang_that_fills_takes_no_processor(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "g", 4, 1000, 300, JTB_GANG | JTB_BEST_EFFORT, 0);
	plan(b);
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 4);
	assert_int_equal(jtb_worker(b->jtb, "w")->proposed_cpu, 0);
}

/*
 * A gang that lasts is without a run for good: nobody was told that it found
 * no room, so that its pool was given no other VM.
 */
static void a_gang_that_lasts_asks_for_room(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "g", 3, 1000, 0, JTB_GANG | JTB_LONG_RUNNING, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	assert_int_equal(b->starved, 1);
}

/* From now on starts of the queue need tickets, and there are these. */
static void need_tickets(struct bed *b, const char *tickets)
{
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");

	q->advised = true;
	b->tickets = tickets;
}

/*
 * A worker refuses one start after another for want of a ticket. What has none
 * waits; it says nothing of the pool's room, so that others go on behind it
 * and no VM comes for it.
 */
static void what_has_no_ticket_waits_and_holds_nobody_up(void **state)
{
	struct bed *b = *state;
	char id[16];
	int i;

	jobs_worker(b->jtb, "w1", 1000, false);
	jobs_worker(b->jtb, "w2", 8000, false);
	need_tickets(b, "");
	for (i = 0; i < 60; i++) {
		g_snprintf(id, sizeof(id), "n%d", i);
		job(b, id, 1, 1000, 300, JTB_LONG_RUNNING, 0);
	}
	job(b, "g", 2, 1000, 300, JTB_GANG, 0);
	job(b, "y", 1, 1000, 300, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	assert_int_equal(b->starved, 0);
	need_tickets(b, "y@w1");
	plan(b);
	assert_string_equal(b->log->str, "y.0.0@w1 ");
	/* the worker with the ticket is full: that is want of room */
	need_tickets(b, "n0@w1");
	plan(b);
	assert_string_equal(b->log->str, "");
	assert_int_equal(b->starved, 1);
}

/* All members of a gang need a ticket where they run. */
static void a_gang_runs_where_it_has_tickets(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 1000, false);
	jobs_worker(b->jtb, "w2", 8000, false);
	need_tickets(b, "g@w1");
	job(b, "g", 2, 1000, 300, JTB_GANG, 0);
	plan(b);
	assert_string_equal(b->log->str, "");
	need_tickets(b, "g@w1 g@w2");
	plan(b);
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 2);
}

/* A queue that needs no advice isn't held by what one with advice was. */
static void who_was_barred_for_one_step_isnt_for_the_next(void **state)
{
	struct bed *b = *state;
	struct jtb_queue *q;

	jobs_worker(b->jtb, "w1", 8000, false);
	jobs_worker(b->jtb, "w2", 1000, false);
	need_tickets(b, "x@w2");
	job(b, "x", 1, 1000, 300, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "x.0.0@w2 ");
	q = (struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");
	q->advised = false;
	job(b, "y", 1, 1000, 300, 0, 0);
	plan(b);
	assert_string_equal(b->log->str, "y.0.0@w1 ");
}

/* A worker of so many cores in a rack. */
static void in_rack(struct bed *b, const char *id, const char *rack, int cores)
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
	jobs_apply(b->jtb, &o);
}

static void gang(struct bed *b, const char *id, uint32_t count,
		 const char *data_rack)
{
	struct jtb_step s = {.count = count,
			     .cpu = 1000,
			     .estimate_ms = 500,
			     .flags = JTB_GANG | JTB_RACK_SENSITIVE,
			     .rack = (char *)data_rack};

	jobs_job(b->jtb, id, &s, 1, b->wall);
}

/* A gang takes three times as long, as its members are spread over racks. */
static void a_gang_runs_on_one_rack(void **state)
{
	struct bed *b = *state;

	in_rack(b, "w1", "r1", 4);
	in_rack(b, "w2", "r1", 1);
	in_rack(b, "w3", "r2", 3);
	in_rack(b, "w4", "r2", 3);
	gang(b, "g", 6, NULL);
	plan(b);
	assert_null(strstr(b->log->str, "@w1"));
	assert_null(strstr(b->log->str, "@w2"));
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 6);
	/* the rack of its data, though another has more room */
	in_rack(b, "w5", "r3", 9);
	gang(b, "d", 3, "r1");
	plan(b);
	assert_null(strstr(b->log->str, "@w5"));
	assert_int_equal(jtb_job(b->jtb, "d")->n_runs, 3);
	/* which is full by now: any other */
	gang(b, "e", 3, "r1");
	plan(b);
	assert_string_equal(b->log->str, "e.0.0@w5 e.0.1@w5 e.0.2@w5 ");
	/* the first has room for two, and this has more */
	gang(b, "f", 2, NULL);
	plan(b);
	assert_string_equal(b->log->str, "f.0.0@w5 f.0.1@w5 ");
}

/*
 * No rack has room for all, and one will: the gang waits, for no longer than
 * spreading would cost it, and holds nobody up meanwhile.
 */
static void a_gang_waits_a_while_for_one_rack(void **state)
{
	struct bed *b = *state;

	in_rack(b, "w1", "r1", 4);
	in_rack(b, "w2", "r2", 4);
	job(b, "a", 1, 1000, 300, 0, 0);
	jobs_start(b->jtb, "a", 0, 0, 1, "w1");
	job(b, "b", 1, 1000, 300, 0, 0);
	jobs_start(b->jtb, "b", 0, 0, 1, "w2");
	gang(b, "g", 4, NULL);
	plan(b);
	assert_string_equal(b->log->str, "");
	b->later_ms = 900;
	plan(b);
	assert_string_equal(b->log->str, "");
	b->later_ms = 1000;
	plan(b);
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 4);
}

/* A rack gets free while the gang waits for it. */
static void a_gang_that_waited_gets_its_rack(void **state)
{
	struct bed *b = *state;

	in_rack(b, "w1", "r1", 4);
	in_rack(b, "w2", "r2", 3);
	job(b, "a", 1, 1000, 300, 0, 0);
	jobs_start(b->jtb, "a", 0, 0, 1, "w1");
	gang(b, "g", 4, NULL);
	plan(b);
	assert_string_equal(b->log->str, "");
	jobs_end(b->jtb, "a", 0, 0, 1, "w1", JTB_DONE);
	b->later_ms = 500;
	plan(b);
	assert_null(strstr(b->log->str, "@w2"));
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 4);
}

/* No rack can ever hold it: to wait would help nobody. */
static void a_gang_larger_than_a_rack_is_spread_at_once(void **state)
{
	struct bed *b = *state;

	in_rack(b, "w1", "r1", 4);
	in_rack(b, "w2", "r2", 4);
	gang(b, "g", 6, NULL);
	plan(b);
	assert_int_equal(jtb_job(b->jtb, "g")->n_runs, 6);
}

/* One crash is counted against task 0 of a job, which then waits. */
static void suspect(struct bed *b, const char *id)
{
	struct jtb_blame blame;
	struct jtb_name n = {0};
	struct pk_out o;

	jobs_worker(b->jtb, "gone", 16000, false);
	jobs_start(b->jtb, id, 0, 0, 1, "gone");
	jtb_blame_init(&blame);
	g_strlcpy(n.id, id, sizeof(n.id));
	g_array_append_val(blame.suspects, n);
	pk_out_init(&o);
	jtb_put_worker_crashed(&o, "gone", true, &blame, JOBS_WALL_MS);
	jobs_apply(b->jtb, &o);
	jtb_blame_clear(&blame);
}

/* A run of a job has been listed by its worker for so long. */
static void seen(struct bed *b, const char *id, int64_t ms)
{
	struct jtb_run *run =
		jtb_job(b->jtb, id)->turns[0].steps[0].tasks[0].run;

	assert_non_null(run);
	run->first_running_ms = 1;
	run->last_running_ms = 1 + ms;
}

/* Innocent tasks are suspected with the one that crashes its worker. */
static void a_suspect_is_tried_alone(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 16000, false);
	jobs_worker(b->jtb, "w2", 16000, false);
	job(b, "a", 1, 1000, 500, 0, 0);
	suspect(b, "a");
	b->later_ms = 1000;
	job(b, "b", 1, 1000, 500, 0, 0);
	jobs_start(b->jtb, "b", 0, 0, 1, "w1");
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w2 ");
	/* the fullest worker that has room would take it else */
	job(b, "c", 1, 1000, 500, 0, 0);
	seen(b, "b", SCH_FRESH_MS);
	b->later_ms += 100;
	plan(b);
	assert_string_equal(b->log->str, "c.0.0@w1 ");
	job(b, "d", 14, 1000, 500, 0, 0);
	job(b, "e", 1, 1000, 500, 0, 0);
	b->later_ms += 100;
	plan(b);
	assert_null(strstr(b->log->str, "@w2"));
	/* it has worked there, and the rest of the pool may go on */
	seen(b, "a", SCH_FRESH_MS);
	b->later_ms += 100;
	plan(b);
	assert_non_null(strstr(b->log->str, "@w2"));
}

/* A suspect never runs: new work begins on all workers at every moment. */
static void a_worker_is_kept_until_it_is_calm(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 16000, false);
	job(b, "a", 1, 1000, 500, 0, 0);
	suspect(b, "a");
	b->later_ms = 1000;
	job(b, "b", 1, 1000, 500, 0, 0);
	jobs_start(b->jtb, "b", 0, 0, 1, "w1");
	plan(b);
	assert_string_equal(b->log->str, "");
	job(b, "c", 1, 1000, 500, 0, 0);
	b->later_ms += 100;
	plan(b);
	assert_string_equal(b->log->str, "");
	seen(b, "b", SCH_FRESH_MS);
	b->later_ms += 100;
	plan(b);
	assert_string_equal(b->log->str, "a.0.0@w1 ");
}

/* A gang of which a member is suspected takes others with it. */
static void a_suspected_gang_is_tried_alone(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w1", 16000, false);
	jobs_worker(b->jtb, "w2", 16000, false);
	job(b, "g", 2, 1000, 500, JTB_GANG, 0);
	suspect(b, "g");
	b->later_ms = 1000;
	job(b, "b", 1, 1000, 500, 0, 0);
	jobs_start(b->jtb, "b", 0, 0, 1, "w1");
	plan(b);
	assert_string_equal(b->log->str, "g.0.0@w2 g.0.1@w2 ");
	job(b, "c", 1, 1000, 500, 0, 0);
	b->later_ms += 100;
	plan(b);
	assert_string_equal(b->log->str, "c.0.0@w1 ");
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_job_with_a_guess_too_high_is_late_sooner),
		T(what_can_never_run_holds_nobody),
		T(a_flood_of_cancels_delays_nothing),
		T(a_worker_that_fails_all_is_shunned),
		T(what_is_done_clears_a_worker),
		T(what_lasts_waits_no_longer_than_a_pause),
		T(bad_jobs_shun_no_worker),
		T(what_is_left_of_a_burst_frees_workers),
		T(a_closed_worker_gets_nothing),
		T(work_that_lasts_goes_first),
		T(a_gang_is_kept_apart),
		T(what_runs_counts_for_what_is_kept_apart),
		T(only_whole_runs_tell_a_tasks_time),
		T(a_start_on_its_way_outlives_its_worker),
		T(a_worker_is_kept_free_for_it),
		T(what_can_be_in_time_goes_first),
		T(what_is_begun_is_finished_first),
		T(nothing_is_put_where_it_doesnt_fit),
		T(tasks_are_kept_apart),
		T(proposed_tasks_are_kept_apart),
		T(a_task_that_ended_waits_a_moment),
		T(a_label_is_required),
		T(a_gang_starts_whole_or_not),
		T(a_time_is_waited_for),
		T(a_vm_due_for_upkeep_is_avoided),
		T(a_gang_that_fills_takes_no_processor),
		T(a_gang_that_lasts_asks_for_room),
		T(work_for_nobody_holds_up_nobody),
		T(large_work_doesnt_hold_up_small),
		T(a_worker_is_kept_only_if_it_can_free_up),
		T(a_pool_that_is_closed_asks_for_room),
		T(each_turn_is_kept_apart),
		T(what_has_no_ticket_waits_and_holds_nobody_up),
		T(a_gang_runs_where_it_has_tickets),
		T(who_was_barred_for_one_step_isnt_for_the_next),
		T(a_gang_runs_on_one_rack),
		T(a_gang_waits_a_while_for_one_rack),
		T(a_gang_that_waited_gets_its_rack),
		T(a_gang_larger_than_a_rack_is_spread_at_once),
		T(a_suspect_is_tried_alone),
		T(a_worker_is_kept_until_it_is_calm),
		T(a_suspected_gang_is_tried_alone),
	};

	return cmocka_run_group_tests_name("sch", tests, NULL, NULL);
}
