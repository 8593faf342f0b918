#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "prm.h"
#include "sch.h"

#define WORKER_CPU 8000
#define NOW_MS 100000
/* Age at which a job of 1 s in jobs_make.h has no time left to wait. */
#define AGE_MS 900

struct fixture {
	struct jtb *jtb;
	struct prm *prm;
	GHashTable *closed;
	GString *stops; /* JOB.INDEX of each stop, in order */
	GString *starts; /* JOB.INDEX of each start, in order */
	struct prm_result result;
	int64_t now;
};

static struct jtb_queue *queue(const char *name, uint32_t priority)
{
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);

	*q = (struct jtb_queue){.name = g_strdup(name),
				.host = g_strdup("h"),
				.prefix = g_strdup_printf("/%s/", name),
				.pool = g_strdup("p"),
				.attempts = 3,
				.stretch = 1.5,
				.slack_ms = 500,
				.priority = priority};
	return q;
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct jtb_config *c = jtb_config_new();
	struct jtb_pool *p = g_new0(struct jtb_pool, 1);
	struct pk_out o;

	f->jtb = jtb_new(NULL, NULL);
	f->prm = prm_new();
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	f->stops = g_string_new(NULL);
	f->starts = g_string_new(NULL);
	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	p->name = g_strdup("p");
	jtb_config_add_pool(c, p);
	jtb_config_add_queue(c, queue("first", 0));
	jtb_config_add_queue(c, queue("behind", 1));
	pk_out_init(&o);
	jtb_put_config(&o, c);
	jobs_apply(f->jtb, &o);
	jtb_config_free(c);
	jobs_worker(f->jtb, "w", WORKER_CPU, false);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	jtb_free(f->jtb);
	prm_free(f->prm);
	g_hash_table_destroy(f->closed);
	g_string_free(f->stops, TRUE);
	g_string_free(f->starts, TRUE);
	g_free(f);
	return 0;
}

/* Accepts a job of tasks of 1 s on 4 cores, age_ms ago. */
static struct jtb_job *submit(struct fixture *f, const char *name,
			      const char *id, uint32_t count, uint32_t flags,
			      int64_t age_ms)
{
	struct jtb_step s = {.count = count,
			     .cpu = 4000,
			     .estimate_ms = 1000,
			     .flags = flags};
	struct jtb_spec spec = {.queue = (char *)name,
				.text = (char *)"text",
				.steps = &s,
				.n_steps = 1};
	struct pk_out o;

	g_strlcpy(spec.id, id, sizeof(spec.id));
	pk_out_init(&o);
	jtb_put_job(&o, &spec, JOBS_WALL_MS + f->now - age_ms);
	jobs_apply(f->jtb, &o);
	return jtb_job(f->jtb, id);
}

/* Starts a task, which has run for so long. */
static struct jtb_run *start(struct fixture *f, const char *id, uint32_t index,
			     uint32_t attempt, int64_t ran_ms)
{
	struct jtb_name n = {.index = index};
	struct jtb_run *run;

	jobs_start(f->jtb, id, 0, index, attempt, "w");
	g_strlcpy(n.id, id, sizeof(n.id));
	run = jtb_find_run(f->jtb, &n, attempt, "w");
	assert_non_null(run);
	run->ordered_ms = NOW_MS + f->now - ran_ms;
	return run;
}

static bool on_usable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool on_upkeep_due(void *arg, const struct jtb_worker *w)
{
	return false;
}

static void on_unschedulable(void *arg, const char *pool)
{
}

static void on_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct fixture *f = arg;

	run->stop_wanted = true;
	g_string_append_printf(f->stops, "%s.%u ", run->job->spec.id,
			       run->index);
}

static void on_decided(void *arg, const char *pool, const struct prm_result *r)
{
	struct fixture *f = arg;

	f->result = *r;
}

static void on_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		     uint32_t attempt, struct jtb_worker *w)
{
	struct fixture *f = arg;

	g_string_append_printf(f->starts, "%s.%u ", n->id, n->index);
	jtb_propose_start(job, n, w);
}

static void decide(struct fixture *f)
{
	struct prm_view v = {.jtb = f->jtb,
			     .closed = f->closed,
			     .now_ms = NOW_MS + f->now,
			     .wall_ms = JOBS_WALL_MS + f->now,
			     .arg = f,
			     .usable = on_usable,
			     .stop = on_stop,
			     .decided = on_decided};

	g_string_truncate(f->stops, 0);
	prm_plan(f->prm, &v);
}

/* Lets the budget of the pool fill, before there are runs. */
static void fill_budget(struct fixture *f)
{
	submit(f, "behind", "old", 1, JTB_GANG, 0);
	start(f, "old", 0, 1, 0);
	decide(f);
	f->now += 60000;
	decide(f);
	jobs_end(f->jtb, "old", 0, 0, 1, "w", JTB_DONE);
}

/* Guards against a first job that is late behind work that can wait. */
static void what_would_be_late_gets_room(void **state)
{
	struct fixture *f = *state;

	fill_budget(f);
	submit(f, "behind", "eldest", 1, 0, 0);
	start(f, "eldest", 0, 1, 100);
	submit(f, "behind", "saves", 1, JTB_CHECKPOINTS, 0);
	start(f, "saves", 0, 1, 100);
	submit(f, "first", "urgent", 1, 0, 300);
	decide(f);
	assert_string_equal(f->stops->str, "");
	f->now += 200;
	decide(f);
	assert_string_equal(f->stops->str, "saves.0 ");
	assert_int_equal(f->result.served, 1);
	decide(f);
	assert_string_equal(f->stops->str, "");
}

/* What saves its progress stops before what has just begun; no more than fits. */
static void what_saves_its_progress_stops_first(void **state)
{
	struct fixture *f = *state;

	jobs_worker(f->jtb, "w", 4 * 4000, false);
	fill_budget(f);
	submit(f, "behind", "eldest", 1, JTB_CHECKPOINTS, 0);
	start(f, "eldest", 0, 1, 100);
	submit(f, "behind", "begun", 1, 0, 0);
	start(f, "begun", 0, 1, 100);
	submit(f, "behind", "saves", 1, JTB_CHECKPOINTS, 0);
	start(f, "saves", 0, 1, 500);
	submit(f, "behind", "far", 1, 0, 0);
	start(f, "far", 0, 1, 500);
	submit(f, "first", "urgent", 3, 0, AGE_MS);
	decide(f);
	assert_string_equal(f->stops->str, "saves.0 begun.0 ");
	assert_int_equal(f->result.served, 2);
	assert_int_equal(f->result.waiting, 3);
}

/* Each row is work that a stop would harm for good: it must go on. */
static void what_must_go_on_is_not_stopped(void **state)
{
	static const struct {
		const char *queue;
		uint32_t flags;
		uint32_t attempt;
		bool inherited;
		bool stops;
	} cases[] = {
		{"behind", JTB_CHECKPOINTS, 1, false,
		 true}, /* for comparison */
		{"behind", JTB_LONG_RUNNING | JTB_CHECKPOINTS, 1, false, false},
		{"behind", JTB_GANG | JTB_CHECKPOINTS, 1, false, false},
		{"behind", JTB_CHECKPOINTS, 2, false,
		 false}, /* stopped before */
		{"behind", JTB_CHECKPOINTS, 1, true,
		 false}, /* its age is unknown */
		{"behind", 0, 1, false, false}, /* half done */
		{"first", JTB_CHECKPOINTS, 1, false, false},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture *f;

		teardown(state);
		setup(state);
		f = *state;
		fill_budget(f);
		submit(f, "behind", "eldest", 1, 0, 0);
		start(f, "eldest", 0, 1, 900);
		submit(f, cases[i].queue, "other", 1, cases[i].flags, 0);
		start(f, "other", 0, cases[i].attempt, 300)->inherited =
			cases[i].inherited;
		submit(f, "first", "urgent", 1, 0, AGE_MS);
		decide(f);
		assert_int_equal(f->result.waiting, 1);
		assert_string_equal(f->stops->str,
				    cases[i].stops ? "other.0 " : "");
	}
}

/* Guards against a job all of whose tasks are stopped one after the other. */
static void a_job_that_ran_again_often_is_left_alone(void **state)
{
	uint32_t again;

	for (again = 7; again <= 8; again++) {
		struct fixture *f;
		uint32_t i;

		teardown(state);
		setup(state);
		f = *state;
		fill_budget(f);
		submit(f, "behind", "eldest", 1, 0, 0);
		start(f, "eldest", 0, 1, 900);
		submit(f, "behind", "worn", 9, JTB_CHECKPOINTS, 0);
		for (i = 0; i < again; i++) {
			start(f, "worn", i, 2, 0);
			jobs_end(f->jtb, "worn", 0, i, 2, "w", JTB_DONE);
		}
		start(f, "worn", again, 1, 300);
		submit(f, "first", "urgent", 1, 0, AGE_MS);
		decide(f);
		assert_string_equal(f->stops->str, again < 8 ? "worn.7 " : "");
	}
}

/* Guards against work without end that is thrown away for a stream of others. */
static void work_thrown_away_is_bounded(void **state)
{
	struct fixture *f = *state;
	char id[16];
	double thrown = 0;
	int stops = 0;
	int i;

	fill_budget(f);
	submit(f, "behind", "eldest", 1, 0, 0);
	start(f, "eldest", 0, 1, 900);
	for (i = 0; i < 50; i++) {
		g_snprintf(id, sizeof(id), "b%d", i);
		submit(f, "behind", id, 1, JTB_CHECKPOINTS, 0);
		start(f, id, 0, 1, 300);
		g_snprintf(id, sizeof(id), "u%d", i);
		submit(f, "first", id, 1, 0, AGE_MS);
		decide(f);
		stops += f->stops->len > 0;
		thrown += f->result.thrown;
		jobs_cancel(f->jtb, id);
		g_snprintf(id, sizeof(id), "b%d", i);
		jobs_end(f->jtb, id, 0, 0, 1, "w", JTB_DONE);
		f->now += 1000;
	}
	/* 2 % of 8 cores for the 50 s, and for 10 s before them */
	assert_true(thrown <= 0.02 * 8 * 60);
	assert_in_range(stops, 4, 8);
}

/* A new leader doesn't know what the one before threw away. */
static void a_new_leader_begins_without_budget(void **state)
{
	struct fixture *f = *state;

	fill_budget(f);
	prm_lead(f->prm);
	submit(f, "behind", "eldest", 1, 0, 0);
	start(f, "eldest", 0, 1, 900);
	submit(f, "behind", "saves", 1, JTB_CHECKPOINTS, 0);
	start(f, "saves", 0, 1, 300);
	submit(f, "first", "urgent", 1, 0, AGE_MS);
	decide(f);
	assert_int_equal(f->result.waiting, 1);
	assert_string_equal(f->stops->str, "");
}

/* Guards against room that was made and goes to the work that was stopped. */
static void the_queue_that_goes_first_is_planned_first(void **state)
{
	struct fixture *f = *state;
	struct sch_view v = {.jtb = f->jtb,
			     .closed = f->closed,
			     .now_ms = NOW_MS,
			     .wall_ms = JOBS_WALL_MS,
			     .arg = f,
			     .usable = on_usable,
			     .upkeep_due = on_upkeep_due,
			     .start = on_start,
			     .unschedulable = on_unschedulable};

	submit(f, "behind", "begun", 2, 0, 0);
	start(f, "begun", 0, 1, 0);
	submit(f, "first", "urgent", 1, 0, 0);
	sch_plan(&v, "p");
	assert_string_equal(f->starts->str, "urgent.0 ");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(what_would_be_late_gets_room,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			what_saves_its_progress_stops_first, setup, teardown),
		cmocka_unit_test_setup_teardown(what_must_go_on_is_not_stopped,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			a_job_that_ran_again_often_is_left_alone, setup,
			teardown),
		cmocka_unit_test_setup_teardown(work_thrown_away_is_bounded,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			a_new_leader_begins_without_budget, setup, teardown),
		cmocka_unit_test_setup_teardown(
			the_queue_that_goes_first_is_planned_first, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
