#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>

#include "jobs_make.h"
#include "sch.h"

#define ORGS 20
#define WORKERS 22
#define WORKER_CPU 64000
#define TASK_CPU 6200
#define TASKS 8
#define FIRST_TASKS 3 /* of the first organisation's jobs */
#define TASK_MS 1000
#define OBJECTIVE_MS 2000 /* of a job in jobs_make.h */
#define STEP_MS 100

/* A run of the replay. */
struct run {
	char id[JTB_ID_MAX + 1];
	uint32_t index;
	uint32_t attempt;
	char worker[16];
	int64_t ends_ms;
};

struct replay {
	struct jtb *jtb;
	struct shr *shares;
	GArray *runs; /* struct run */
	GString *order; /* jobs by the first start of each, or NULL */
	int64_t now; /* since the start of the replay */
	uint32_t n_jobs;
	uint64_t end_no;
};

static void config(struct jtb *t, uint32_t n, double weight_of_first)
{
	struct jtb_config *c = jtb_config_new();
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);
	struct jtb_pool *p = g_new0(struct jtb_pool, 1);
	struct pk_out o;
	uint32_t i;

	c->version = 1;
	c->document = g_bytes_new("doc", 3);
	*q = (struct jtb_queue){.name = g_strdup("q"),
				.host = g_strdup("h"),
				.prefix = g_strdup("/q/"),
				.pool = g_strdup("p"),
				.attempts = 3,
				.stretch = 1.5,
				.slack_ms = 500};
	p->name = g_strdup("p");
	jtb_config_add_queue(c, q);
	jtb_config_add_pool(c, p);
	for (i = 0; i < n; i++) {
		char name[16];
		struct org *org;

		g_snprintf(name, sizeof(name), "o%u", i);
		org = org_new(name);
		org->weight = i ? 1 : weight_of_first;
		jtb_config_add_org(c, org);
	}
	pk_out_init(&o);
	jtb_put_config(&o, c);
	jobs_apply(t, &o);
	jtb_config_free(c);
}

static void replay_init(struct replay *r, enum shr_method method, uint32_t orgs,
			uint32_t workers)
{
	char name[16];
	uint32_t i;

	*r = (struct replay){.jtb = jtb_new(NULL, NULL),
			     .shares = shr_new(method),
			     .runs = g_array_new(FALSE, FALSE,
						 sizeof(struct run)),
			     .order = g_string_new(NULL)};
	config(r->jtb, orgs, 1);
	for (i = 0; i < workers; i++) {
		g_snprintf(name, sizeof(name), "w%u", i);
		jobs_worker(r->jtb, name, WORKER_CPU, false);
	}
}

static void replay_clear(struct replay *r)
{
	jtb_free(r->jtb);
	shr_free(r->shares);
	g_array_free(r->runs, TRUE);
	g_string_free(r->order, TRUE);
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

static void on_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		     uint32_t attempt, struct jtb_worker *w)
{
	struct replay *r = arg;
	struct run run = {.index = n->index,
			  .attempt = attempt,
			  .ends_ms = r->now + TASK_MS};

	g_strlcpy(run.id, n->id, sizeof(run.id));
	g_strlcpy(run.worker, w->info.id, sizeof(run.worker));
	g_array_append_val(r->runs, run);
	if (n->index == 0)
		g_string_append_printf(r->order, "%s ", n->id);
	jobs_start(r->jtb, n->id, n->step, n->index, attempt, w->info.id);
}

static void plan(struct replay *r, struct shr *shares)
{
	struct sch_view v = {.jtb = r->jtb,
			     .closed =
				     g_hash_table_new(g_str_hash, g_str_equal),
			     .shares = shares,
			     .now_ms = 1000 + r->now,
			     .wall_ms = JOBS_WALL_MS + r->now,
			     .arg = r,
			     .usable = on_usable,
			     .upkeep_due = on_upkeep_due,
			     .start = on_start,
			     .unschedulable = on_unschedulable};

	sch_plan(&v, "p");
	g_hash_table_destroy(v.closed);
}

static void submit(struct replay *r, int org, const char *id, uint32_t count)
{
	struct jtb_step s = {
		.count = count, .cpu = TASK_CPU, .estimate_ms = TASK_MS};
	char name[16];
	char numbered[16];

	g_snprintf(name, sizeof(name), "o%d", org);
	g_snprintf(numbered, sizeof(numbered), "j%u", r->n_jobs++);
	jobs_job_of(r->jtb, org < 0 ? NULL : name, id ? id : numbered, &s, 1,
		    JOBS_WALL_MS + r->now);
}

static void end_runs(struct replay *r)
{
	guint i = 0;

	while (i < r->runs->len) {
		const struct run *run = &g_array_index(r->runs, struct run, i);
		struct jtb_name n = {.index = run->index};
		struct pk_out o;

		if (run->ends_ms > r->now) {
			i++;
			continue;
		}
		g_strlcpy(n.id, run->id, sizeof(n.id));
		pk_out_init(&o);
		jtb_put_end(&o, run->worker, ++r->end_no, &n, run->attempt,
			    JTB_DONE, lstr_n("", 0), JOBS_WALL_MS + r->now);
		jobs_apply(r->jtb, &o);
		g_array_remove_index(r->runs, i);
	}
}

/*
 * Plays 18 s in which the first organisation sends a small job each step,
 * times as many from second 1 to 13, and each other one a second. Returns the part of the others' jobs
 * that were done in time.
 */
static double others_in_time(enum shr_method method, uint32_t times)
{
	struct replay r;
	GHashTableIter it;
	const struct jtb_job *job;
	uint32_t good = 0;
	uint32_t all = 0;

	replay_init(&r, method, ORGS, WORKERS);
	for (r.now = 0; r.now < 18000; r.now += STEP_MS) {
		bool flood = r.now >= 1000 && r.now < 13000;
		uint32_t i;

		end_runs(&r);
		for (i = 1; i < ORGS; i++)
			if (r.now / STEP_MS % 10 == i % 10)
				submit(&r, (int)i, NULL, TASKS);
		for (i = 0; i < (flood ? times : 1); i++)
			submit(&r, 0, NULL, FIRST_TASKS);
		plan(&r, r.shares);
	}
	g_hash_table_iter_init(&it, jtb_jobs(r.jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
		if (strcmp(job->spec.org, "o0") == 0 ||
		    job->accepted_ms > JOBS_WALL_MS + r.now - OBJECTIVE_MS)
			continue;
		all++;
		good += job->state == JTB_COMPLETED &&
			job->ended_ms - job->accepted_ms <= OBJECTIVE_MS;
	}
	replay_clear(&r);
	return (double)good / all;
}

/* Guards against one organisation's flood making the others' jobs late. */
static void a_flood_costs_the_others_nothing(void **state)
{
	enum shr_method m;

	for (m = SHR_RUNNING; m < SHR_METHODS; m++)
		assert_true(others_in_time(m, 8) >=
			    others_in_time(m, 1) - 0.05);
	assert_true(others_in_time(SHR_BY_AGE, 8) <
		    others_in_time(SHR_BY_AGE, 1) - 0.05);
}

/* Guards against a change for deployments without organisations. */
static void without_organisations_the_order_is_as_before(void **state)
{
	enum shr_method m;

	for (m = 0; m < SHR_METHODS; m++) {
		struct replay r[2];
		int i;
		int k;

		for (i = 0; i < 2; i++) {
			replay_init(&r[i], m, 0, 2);
			for (r[i].now = 0; r[i].now < 5000;
			     r[i].now += STEP_MS) {
				end_runs(&r[i]);
				for (k = 0; k < r[i].now / STEP_MS % 3; k++)
					submit(&r[i], -1, NULL, 3 + k * 4);
				plan(&r[i], i ? r[i].shares : NULL);
			}
		}
		assert_true(r[0].order->len > 50);
		assert_string_equal(r[0].order->str, r[1].order->str);
		replay_clear(&r[0]);
		replay_clear(&r[1]);
	}
}

/* Two jobs of nobody between those of an organisation: each has its turns. */
static void work_of_nobody_is_one_account(void **state)
{
	struct replay r;

	replay_init(&r, SHR_RECENT, 1, 2);
	submit(&r, -1, "n1", 4);
	submit(&r, -1, "n2", 4);
	submit(&r, 0, "a1", 4);
	submit(&r, 0, "a2", 4);
	plan(&r, r.shares);
	assert_string_equal(r.order->str, "a2 n2 a1 n1 ");
	replay_clear(&r);
}

/*
 * Many small jobs that end at once after another must not win each free place
 * against an organisation that has just come.
 */
static void what_ran_a_moment_ago_counts(void **state)
{
	enum shr_method m;

	for (m = SHR_RUNNING; m <= SHR_RECENT; m++) {
		struct replay r;

		replay_init(&r, m, 2, 1);
		for (r.now = 0; r.now < 4000; r.now += 2 * TASK_MS) {
			submit(&r, 0, NULL, 10);
			plan(&r, r.shares);
			r.now += TASK_MS;
			end_runs(&r);
			r.now -= TASK_MS;
		}
		submit(&r, 1, "other", 10);
		submit(&r, 0, "again", 10);
		plan(&r, r.shares);
		assert_true(g_str_has_suffix(
			r.order->str, m == SHR_RECENT ? "other " : "again "));
		replay_clear(&r);
	}
}

/* Guards against a new leader that holds another's measurements for its own. */
static void a_new_leader_knows_what_runs_only(void **state)
{
	struct replay r;
	struct quo_use *u;

	replay_init(&r, SHR_RECENT, 2, 1);
	u = quo_use(jtb_usage(r.jtb), "o0");
	submit(&r, 0, NULL, 5);
	plan(&r, r.shares);
	r.now = 60000;
	plan(&r, r.shares);
	submit(&r, 1, NULL, 1);
	plan(&r, r.shares);
	assert_float_equal(u->share, 5 * 0.096875, 0.001);
	end_runs(&r);
	plan(&r, r.shares);
	assert_float_equal(u->share, 5 * 0.096875 / 2, 0.001);
	shr_lead(r.shares);
	plan(&r, r.shares);
	assert_float_equal(u->share, 0, 0.001);
	assert_float_equal(quo_use(jtb_usage(r.jtb), "o1")->share, 0.096875,
			   0.001);
	replay_clear(&r);
}

/* The decision that operators see names who has too much and who waits. */
static void the_decision_names_who_waits(void **state)
{
	struct replay r;
	struct shr_decision d;

	replay_init(&r, SHR_RUNNING, 2, 1);
	submit(&r, 0, NULL, 9);
	plan(&r, r.shares);
	shr_take_decision(r.shares, &d);
	assert_null(d.pool);
	submit(&r, 0, NULL, 9);
	submit(&r, 1, NULL, 9);
	plan(&r, r.shares);
	shr_take_decision(r.shares, &d);
	assert_string_equal(d.pool, "p");
	assert_string_equal(d.above.name, "o0");
	assert_string_equal(d.below.name, "o1");
	assert_float_equal(d.below.owed, 0.5, 0.001);
	assert_int_equal(d.jobs, 2);
	shr_take_decision(r.shares, &d);
	assert_null(d.pool);
	replay_clear(&r);
}

/* Guards against a weight that makes a sum or a ratio meaningless. */
static void odd_weights_are_bounded(void **state)
{
	static const double weights[] = {0, -1, NAN, INFINITY, 1e300, 1e-300};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(weights); i++) {
		struct org org = {.weight = weights[i]};
		struct quo_use u = {.org = &org};

		assert_true(quo_weight(&u) >= 1e-6);
		assert_true(quo_weight(&u) <= 1e6);
	}
	assert_true(quo_weight(NULL) == 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_flood_costs_the_others_nothing),
		cmocka_unit_test(without_organisations_the_order_is_as_before),
		cmocka_unit_test(work_of_nobody_is_one_account),
		cmocka_unit_test(what_ran_a_moment_ago_counts),
		cmocka_unit_test(a_new_leader_knows_what_runs_only),
		cmocka_unit_test(the_decision_names_who_waits),
		cmocka_unit_test(odd_weights_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
