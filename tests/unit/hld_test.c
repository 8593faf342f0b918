#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hld.h"
#include "jobs_make.h"

#define NOW_MS 100000

struct fixture {
	struct jtb *jtb;
	GHashTable *closed;
	GHashTable *moving;
	GHashTable *upkeep;
	enum hld_reason worker_reason; /* reason why every worker is unusable */
	enum hld_reason run_reason; /* reason given for every run */
	struct sch_view sch;
	struct hld_view view;
	int started;
	bool keep_proposed; /* proposed starts are not committed */
	const char *ticket; /* the only worker with a ticket; NULL: none */
	GString *reports; /* TASK:REASON of each report */
	struct hld_sum sum;
};

static enum hld_reason on_worker_reason(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return w->info.draining ? HLD_DRAINING : f->worker_reason;
}

static bool on_usable(void *arg, const struct jtb_worker *w)
{
	return on_worker_reason(arg, w) == HLD_NONE;
}

static enum hld_reason on_run(void *arg, const struct jtb_run *run)
{
	const struct fixture *f = arg;

	return f->run_reason;
}

static bool on_upkeep_due(void *arg, const struct jtb_worker *w)
{
	return false;
}

static bool on_has_ticket(void *arg, const struct jtb_job *job, uint32_t turn,
			  uint32_t step, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return g_strcmp0(f->ticket, w->info.id) == 0;
}

static void on_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		     uint32_t attempt, struct jtb_worker *w)
{
	struct fixture *f = arg;

	f->started++;
	jtb_propose_start(job, n, w);
	if (!f->keep_proposed)
		jobs_start(f->jtb, n->id, n->step, n->index, attempt,
			   w->info.id);
}

static void on_unschedulable(void *arg, const char *pool)
{
}

static void on_report(void *arg, const struct jtb_job *job,
		      const struct jtb_name *n, enum hld_reason why,
		      int64_t reason_ms, int64_t pending_ms)
{
	struct fixture *f = arg;

	if (n)
		g_string_append_printf(f->reports, "%s.%u:%s ", job->spec.id,
				       n->index, hld_name(why));
	else
		g_string_append_printf(f->reports, "%s:%s ", job->spec.id,
				       hld_name(why));
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->jtb = jtb_new(NULL, NULL);
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	f->moving = g_hash_table_new(g_str_hash, g_str_equal);
	f->upkeep = g_hash_table_new(g_str_hash, g_str_equal);
	f->reports = g_string_new(NULL);
	f->run_reason = HLD_RUNS;
	f->sch = (struct sch_view){
		.jtb = f->jtb,
		.closed = f->closed,
		.now_ms = NOW_MS,
		.wall_ms = JOBS_WALL_MS,
		.arg = f,
		.usable = on_usable,
		.upkeep_due = on_upkeep_due,
		.has_ticket = on_has_ticket,
		.start = on_start,
		.unschedulable = on_unschedulable,
	};
	f->view = (struct hld_view){
		.sch = &f->sch,
		.moving = f->moving,
		.upkeep = f->upkeep,
		.worker_reason = on_worker_reason,
		.run = on_run,
	};
	jobs_config(f->jtb, 1, "p", 3);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	jtb_free(f->jtb);
	g_hash_table_destroy(f->closed);
	g_hash_table_destroy(f->moving);
	g_hash_table_destroy(f->upkeep);
	g_string_free(f->reports, TRUE);
	g_free(f);
	return 0;
}

static void submit(struct fixture *f, const char *id, struct jtb_step s)
{
	s.count = MAX(s.count, 1);
	s.cpu = s.cpu ? s.cpu : 1000;
	s.estimate_ms = 100;
	jobs_job(f->jtb, id, &s, 1, JOBS_WALL_MS);
}

static enum hld_reason reason_of(struct fixture *f, const char *id,
				 uint32_t step, uint32_t index)
{
	struct jtb_name n = {.step = step, .index = index};

	g_strlcpy(n.id, id, sizeof(n.id));
	return hld_task(&f->view, jtb_job(f->jtb, id), &n);
}

/* A task has the reason HLD_NONE if and only if a plan would start it. */
static void task_without_reason_is_started(void **state)
{
	struct fixture *f = *state;

	submit(f, "a", (struct jtb_step){0});
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NO_WORKER);
	jobs_worker(f->jtb, "w", 2000, false);
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NONE);
	f->keep_proposed = true;
	sch_plan(&f->sch, "p");
	assert_int_equal(f->started, 1);
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_PROPOSED);
	jobs_start(f->jtb, "a", 0, 0, 1, "w");
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_RUNS);
	f->run_reason = HLD_ENDING;
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_ENDING);
	jobs_end(f->jtb, "a", 0, 0, 1, "w", JTB_LOST);
	jtb_job(f->jtb, "a")->turns[0].steps[0].tasks[0].last_end_ms = NOW_MS;
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_JUST_ENDED);
	f->sch.now_ms += 1000;
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NONE);
	jobs_start(f->jtb, "a", 0, 0, 2, "w");
	jobs_end(f->jtb, "a", 0, 0, 2, "w", JTB_DONE);
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_OVER);
}

/* The worker nearest to taking a task gives the reason. */
static void nearest_worker_gives_the_reason(void **state)
{
	struct fixture *f = *state;
	char label[] = "kind-none";

	jobs_worker(f->jtb, "w1", 2000, false);
	submit(f, "label", (struct jtb_step){.label = label});
	assert_int_equal(reason_of(f, "label", 0, 0), HLD_NO_LABEL);
	submit(f, "large", (struct jtb_step){.cpu = 3000});
	assert_int_equal(reason_of(f, "large", 0, 0), HLD_TOO_LARGE);
	jobs_worker(f->jtb, "w2", 4000, true);
	assert_int_equal(reason_of(f, "large", 0, 0), HLD_DRAINING);
	submit(f, "a", (struct jtb_step){0});
	f->worker_reason = HLD_UNREACHABLE;
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_UNREACHABLE);
	f->worker_reason = HLD_BACKED_OFF;
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_BACKED_OFF);
	f->worker_reason = HLD_NONE;
	g_hash_table_add(f->closed, (gpointer) "w1");
	g_hash_table_add(f->moving, (gpointer) "w1");
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_MOVING);
	g_hash_table_add(f->upkeep, (gpointer) "w1");
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_UPKEEP);
	g_hash_table_remove_all(f->closed);
	submit(f, "pair", (struct jtb_step){.count = 2, .max_per_worker = 1});
	jobs_start(f->jtb, "pair", 0, 0, 1, "w1");
	assert_int_equal(reason_of(f, "pair", 0, 1), HLD_WORKER_LIMIT);
	submit(f, "l",
	       (struct jtb_step){.cpu = 1500, .flags = JTB_LONG_RUNNING});
	assert_int_equal(reason_of(f, "l", 0, 0), HLD_NO_CAPACITY);
	/* The waiting long-running task has the worker reserved. */
	sch_plan(&f->sch, "p");
	assert_int_equal(f->started, 0);
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_RESERVED);
}

/* A task that is not due yet, or not any more, is not pending. */
static void task_not_due_is_not_pending(void **state)
{
	struct fixture *f = *state;
	struct jtb_step steps[] = {
		{.count = 1, .cpu = 1000, .estimate_ms = 10},
		{.count = 1, .cpu = 1000, .estimate_ms = 10, .after = 1},
	};

	jobs_worker(f->jtb, "w", 2000, false);
	jobs_job(f->jtb, "two", steps, 2, JOBS_WALL_MS);
	assert_int_equal(reason_of(f, "two", 1, 0), HLD_EARLIER_STEP);
	assert_false(hld_is_pending(HLD_EARLIER_STEP));
	jtb_job(f->jtb, "two")->spec.repeats = 1;
	jtb_job(f->jtb, "two")->spec.first_ms = JOBS_WALL_MS + 1;
	assert_int_equal(reason_of(f, "two", 0, 0), HLD_NOT_DUE);
	jobs_cancel(f->jtb, "two");
	assert_int_equal(reason_of(f, "two", 0, 0), HLD_OVER);
}

/* A gang that does not fit as a whole has a reason for each member. */
static void gang_is_pending_as_a_whole(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "g", (struct jtb_step){.count = 3, .flags = JTB_GANG});
	assert_int_equal(reason_of(f, "g", 0, 0), HLD_NO_GANG_CAPACITY);
	assert_int_equal(jtb_worker(f->jtb, "w")->proposed_cpu, 0);
	jobs_start(f->jtb, "g", 0, 0, 1, "w");
	assert_int_equal(reason_of(f, "g", 0, 1), HLD_GANG);
}

static void scan(struct fixture *f, int64_t after_ms)
{
	f->sch.now_ms += after_ms;
	g_string_truncate(f->reports, 0);
	hld_scan_all(&f->view, &f->sum, on_report, f);
}

/*
 * Each long-running task, and each job, is reported once it has been pending
 * for long, again when the reason changes, and otherwise seldom.
 */
static void long_pending_work_is_reported(void **state)
{
	struct fixture *f = *state;
	char label[] = "kind-none";

	submit(f, "l",
	       (struct jtb_step){.count = 2, .flags = JTB_LONG_RUNNING});
	submit(f, "s", (struct jtb_step){.count = 5, .label = label});
	scan(f, 0);
	assert_string_equal(f->reports->str, "");
	assert_int_equal(f->sum.tasks[HLD_NO_WORKER], 7);
	scan(f, 3000);
	assert_string_equal(f->reports->str,
			    "l.0:no-worker l.1:no-worker s:no-worker ");
	assert_int_equal(f->sum.longest_ms, 3000);
	scan(f, 1000);
	assert_string_equal(f->reports->str, "");
	jobs_worker(f->jtb, "w", 1000, false);
	jobs_start(f->jtb, "l", 0, 0, 1, "w");
	scan(f, 1000);
	assert_string_equal(f->reports->str, "l.1:no-room s:no-label ");
	assert_int_equal(f->sum.tasks[HLD_NO_CAPACITY], 1);
	assert_int_equal(f->sum.tasks[HLD_NO_LABEL], 5);
	assert_int_equal(f->sum.longest_ms, 5000);
	scan(f, 11000);
	assert_string_equal(f->reports->str, "l.1:no-room s:no-label ");
	/* A new leader counts from its own first scan. */
	hld_clear(f->jtb);
	scan(f, 0);
	assert_string_equal(f->reports->str, "");
	assert_int_equal(f->sum.longest_ms, 0);
}

/* The metrics show pending tasks by reason and the longest pending time. */
static void metrics_show_pending_tasks(void **state)
{
	struct fixture *f = *state;
	GString *out = g_string_new(NULL);

	submit(f, "a", (struct jtb_step){.count = 3});
	jobs_worker(f->jtb, "w", 1000, false);
	jobs_start(f->jtb, "a", 0, 0, 1, "w");
	f->worker_reason = HLD_UNREACHABLE;
	scan(f, 0);
	scan(f, 1500);
	hld_append_metrics(&f->sum, out);
	assert_non_null(
		strstr(out->str, "\nendive_held_tasks{why=\"unreached\"} 2\n"));
	assert_non_null(strstr(
		out->str, "\nendive_held_tasks{why=\"lease-not-over\"} 1\n"));
	assert_non_null(
		strstr(out->str, "\nendive_held_longest_seconds 0.0\n"));
	jobs_worker_lost(f->jtb, "w", false);
	scan(f, 0);
	scan(f, 1500);
	g_string_truncate(out, 0);
	hld_append_metrics(&f->sum, out);
	assert_non_null(
		strstr(out->str, "\nendive_held_longest_seconds 1.5\n"));
	g_string_free(out, TRUE);
}

/*
 * A task of a queue that requires advice waits for a ticket, then for the
 * worker that has it.
 */
static void task_without_ticket_waits_for_one(void **state)
{
	struct fixture *f = *state;
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");

	jobs_worker(f->jtb, "w1", 2000, false);
	jobs_worker(f->jtb, "w2", 500, false);
	q->advised = true;
	submit(f, "a", (struct jtb_step){0});
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NO_TICKET);
	scan(f, 0);
	assert_int_equal(f->sum.tasks[HLD_NO_TICKET], 1);
	f->ticket = "w1";
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NONE);
	submit(f, "b", (struct jtb_step){0});
	jobs_start(f->jtb, "b", 0, 0, 1, "w1");
	submit(f, "c", (struct jtb_step){.cpu = 1500});
	assert_int_equal(reason_of(f, "c", 0, 0), HLD_NO_CAPACITY);
}

/*
 * A gang that fits on two racks and waits for one has the reason
 * HLD_WAITS_FOR_RACK.
 */
static void gang_waiting_for_a_rack_has_that_reason(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .flags = JTB_GANG | JTB_RACK_SENSITIVE};

	jobs_worker(f->jtb, "w", 2000, false);
	submit(f, "g", s);
	assert_int_equal(reason_of(f, "g", 0, 0), HLD_NONE);
	jtb_job(f->jtb, "g")->rack_wait_since_ms = NOW_MS;
	assert_int_equal(reason_of(f, "g", 0, 0), HLD_WAITS_FOR_RACK);
}

/* Each reason has a distinct name in logs and metrics. */
static void every_reason_has_a_distinct_name(void **state)
{
	int i;
	int j;

	for (i = 0; i < HLD_REASONS; i++)
		for (j = 0; j < i; j++)
			assert_string_not_equal(hld_name(i), hld_name(j));
	assert_true(hld_limit_ms(HLD_NONE) > 0);
	assert_true(hld_is_pending(HLD_NONE) && !hld_is_pending(HLD_RUNS));
}

/* Work at its organisation's limit says so, beside a pool with room. */
static void organisation_at_its_limit_is_the_reason(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2, .cpu = 1000, .estimate_ms = 100};

	jobs_config_limit(f->jtb, 2, "org", 1000);
	jobs_worker(f->jtb, "w", 8000, false);
	jobs_job_of(f->jtb, "org", "a", &s, 1, JOBS_WALL_MS);
	assert_int_equal(reason_of(f, "a", 0, 0), HLD_NONE);
	jobs_start(f->jtb, "a", 0, 0, 1, "w");
	assert_int_equal(reason_of(f, "a", 0, 1), HLD_ORG_LIMIT);
	assert_true(hld_is_pending(HLD_ORG_LIMIT));
	jobs_end(f->jtb, "a", 0, 0, 1, "w", JTB_DONE);
	assert_int_equal(reason_of(f, "a", 0, 1), HLD_NONE);
}

/* Guards against an organisation whose waiting work is counted as another's. */
static void pending_tasks_count_for_their_organisation(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 3, .cpu = 1000, .estimate_ms = 100};
	struct quo_use *u;

	jobs_config_limit(f->jtb, 2, "org", 1000);
	jobs_worker(f->jtb, "w", 1000, false);
	jobs_job_of(f->jtb, "org", "a", &s, 1, JOBS_WALL_MS);
	jobs_job(f->jtb, "b", &s, 1, JOBS_WALL_MS);
	u = quo_use(jtb_usage(f->jtb), "org");
	scan(f, 0);
	assert_int_equal(u->waiting, 3);
	assert_int_equal(u->at_limit, 0);
	jobs_start(f->jtb, "a", 0, 0, 1, "w");
	scan(f, 0);
	assert_int_equal(u->waiting, 2);
	assert_int_equal(u->at_limit, 2);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(task_without_reason_is_started),
		T(nearest_worker_gives_the_reason),
		T(task_not_due_is_not_pending),
		T(gang_is_pending_as_a_whole),
		T(long_pending_work_is_reported),
		T(metrics_show_pending_tasks),
		T(task_without_ticket_waits_for_one),
		T(gang_waiting_for_a_rack_has_that_reason),
		cmocka_unit_test(every_reason_has_a_distinct_name),
		T(organisation_at_its_limit_is_the_reason),
		T(pending_tasks_count_for_their_organisation),
	};

	return cmocka_run_group_tests_name("hld", tests, NULL, NULL);
}
