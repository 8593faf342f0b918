#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hld.h"
#include "jobs_make.h"

#define NOW_MS 100000

struct bed {
	struct jtb *jtb;
	GHashTable *closed;
	GHashTable *moving;
	GHashTable *upkeep;
	enum hld_reason bar; /* of each worker */
	enum hld_reason run; /* how each run stands */
	struct sch_view sch;
	struct hld_view view;
	int started;
	bool proposes; /* starts stay on their way to the log */
	const char *ticket; /* the worker there is one for; NULL: none */
	GString *told; /* TASK:REASON of each line */
	struct hld_sum sum;
};

static enum hld_reason bed_bar(void *arg, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return w->info.draining ? HLD_DRAINING : b->bar;
}

static bool bed_usable(void *arg, const struct jtb_worker *w)
{
	return bed_bar(arg, w) == HLD_NONE;
}

static enum hld_reason bed_run(void *arg, const struct jtb_run *run)
{
	const struct bed *b = arg;

	return b->run;
}

static bool bed_leaving(void *arg, const struct jtb_worker *w)
{
	return false;
}

static bool bed_ticketed(void *arg, const struct jtb_job *job, uint32_t turn,
			 uint32_t step, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return g_strcmp0(b->ticket, w->info.id) == 0;
}

static void bed_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w)
{
	struct bed *b = arg;

	b->started++;
	jtb_propose_start(job, n, w);
	if (!b->proposes)
		jobs_start(b->jtb, n->id, n->step, n->index, attempt,
			   w->info.id);
}

static void bed_starved(void *arg, const char *pool)
{
}

static void bed_tell(void *arg, const struct jtb_job *job,
		     const struct jtb_name *n, enum hld_reason why,
		     int64_t why_ms, int64_t owed_ms)
{
	struct bed *b = arg;

	if (n)
		g_string_append_printf(b->told, "%s.%u:%s ", job->spec.id,
				       n->index, hld_name(why));
	else
		g_string_append_printf(b->told, "%s:%s ", job->spec.id,
				       hld_name(why));
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);

	b->jtb = jtb_new(NULL, NULL);
	b->closed = g_hash_table_new(g_str_hash, g_str_equal);
	b->moving = g_hash_table_new(g_str_hash, g_str_equal);
	b->upkeep = g_hash_table_new(g_str_hash, g_str_equal);
	b->told = g_string_new(NULL);
	b->run = HLD_RUNS;
	b->sch = (struct sch_view){
		.jtb = b->jtb,
		.closed = b->closed,
		.now_ms = NOW_MS,
		.wall_ms = JOBS_WALL_MS,
		.arg = b,
		.usable = bed_usable,
		.leaving = bed_leaving,
		.ticketed = bed_ticketed,
		.start = bed_start,
		.starved = bed_starved,
	};
	b->view = (struct hld_view){
		.sch = &b->sch,
		.moving = b->moving,
		.upkeep = b->upkeep,
		.bar = bed_bar,
		.run = bed_run,
	};
	jobs_config(b->jtb, 1, "p", 3);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	jtb_free(b->jtb);
	g_hash_table_destroy(b->closed);
	g_hash_table_destroy(b->moving);
	g_hash_table_destroy(b->upkeep);
	g_string_free(b->told, TRUE);
	g_free(b);
	return 0;
}

static void job(struct bed *b, const char *id, struct jtb_step s)
{
	s.count = MAX(s.count, 1);
	s.cpu = s.cpu ? s.cpu : 1000;
	s.estimate_ms = 100;
	jobs_job(b->jtb, id, &s, 1, JOBS_WALL_MS);
}

static enum hld_reason why(struct bed *b, const char *id, uint32_t step,
			   uint32_t index)
{
	struct jtb_name n = {.step = step, .index = index};

	g_strlcpy(n.id, id, sizeof(n.id));
	return hld_task(&b->view, jtb_job(b->jtb, id), &n);
}

/* What a plan would start has no reason, and what has none is started. */
static void none_is_what_a_plan_starts(void **state)
{
	struct bed *b = *state;

	job(b, "a", (struct jtb_step){0});
	assert_int_equal(why(b, "a", 0, 0), HLD_NO_WORKER);
	jobs_worker(b->jtb, "w", 2000, false);
	assert_int_equal(why(b, "a", 0, 0), HLD_NONE);
	b->proposes = true;
	sch_plan(&b->sch, "p");
	assert_int_equal(b->started, 1);
	assert_int_equal(why(b, "a", 0, 0), HLD_PROPOSED);
	jobs_start(b->jtb, "a", 0, 0, 1, "w");
	assert_int_equal(why(b, "a", 0, 0), HLD_RUNS);
	b->run = HLD_ENDING;
	assert_int_equal(why(b, "a", 0, 0), HLD_ENDING);
	jobs_end(b->jtb, "a", 0, 0, 1, "w", JTB_LOST);
	jtb_job(b->jtb, "a")->turns[0].steps[0].tasks[0].last_end_ms = NOW_MS;
	assert_int_equal(why(b, "a", 0, 0), HLD_JUST_ENDED);
	b->sch.now_ms += 1000;
	assert_int_equal(why(b, "a", 0, 0), HLD_NONE);
	jobs_start(b->jtb, "a", 0, 0, 2, "w");
	jobs_end(b->jtb, "a", 0, 0, 2, "w", JTB_DONE);
	assert_int_equal(why(b, "a", 0, 0), HLD_OVER);
}

/* The worker that comes nearest to taking a task says why it doesn't. */
static void the_nearest_worker_gives_the_reason(void **state)
{
	struct bed *b = *state;
	char label[] = "kind-none";

	jobs_worker(b->jtb, "w1", 2000, false);
	job(b, "label", (struct jtb_step){.label = label});
	assert_int_equal(why(b, "label", 0, 0), HLD_LABEL);
	job(b, "large", (struct jtb_step){.cpu = 3000});
	assert_int_equal(why(b, "large", 0, 0), HLD_TOO_LARGE);
	jobs_worker(b->jtb, "w2", 4000, true);
	assert_int_equal(why(b, "large", 0, 0), HLD_DRAINING);
	job(b, "a", (struct jtb_step){0});
	b->bar = HLD_UNREACHED;
	assert_int_equal(why(b, "a", 0, 0), HLD_UNREACHED);
	b->bar = HLD_SHUNNED;
	assert_int_equal(why(b, "a", 0, 0), HLD_SHUNNED);
	b->bar = HLD_NONE;
	g_hash_table_add(b->closed, (gpointer) "w1");
	g_hash_table_add(b->moving, (gpointer) "w1");
	assert_int_equal(why(b, "a", 0, 0), HLD_MOVING);
	g_hash_table_add(b->upkeep, (gpointer) "w1");
	assert_int_equal(why(b, "a", 0, 0), HLD_UPKEEP);
	g_hash_table_remove_all(b->closed);
	job(b, "pair", (struct jtb_step){.count = 2, .max_per_worker = 1});
	jobs_start(b->jtb, "pair", 0, 0, 1, "w1");
	assert_int_equal(why(b, "pair", 0, 1), HLD_APART);
	job(b, "l", (struct jtb_step){.cpu = 1500, .flags = JTB_LONG_RUNNING});
	assert_int_equal(why(b, "l", 0, 0), HLD_NO_ROOM);
	/* that lasts and waits: the worker is kept for it */
	sch_plan(&b->sch, "p");
	assert_int_equal(b->started, 0);
	assert_int_equal(why(b, "a", 0, 0), HLD_KEPT);
}

static void what_is_not_due_is_not_owed(void **state)
{
	struct bed *b = *state;
	struct jtb_step steps[] = {
		{.count = 1, .cpu = 1000, .estimate_ms = 10},
		{.count = 1, .cpu = 1000, .estimate_ms = 10, .after = 1},
	};

	jobs_worker(b->jtb, "w", 2000, false);
	jobs_job(b->jtb, "two", steps, 2, JOBS_WALL_MS);
	assert_int_equal(why(b, "two", 1, 0), HLD_STEP);
	assert_false(hld_is_owed(HLD_STEP));
	jtb_job(b->jtb, "two")->spec.repeats = 1;
	jtb_job(b->jtb, "two")->spec.first_ms = JOBS_WALL_MS + 1;
	assert_int_equal(why(b, "two", 0, 0), HLD_NOT_DUE);
	jobs_cancel(b->jtb, "two");
	assert_int_equal(why(b, "two", 0, 0), HLD_OVER);
}

static void a_gang_is_held_back_whole(void **state)
{
	struct bed *b = *state;

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "g", (struct jtb_step){.count = 3, .flags = JTB_GANG});
	assert_int_equal(why(b, "g", 0, 0), HLD_GANG_ROOM);
	assert_int_equal(jtb_worker(b->jtb, "w")->proposed_cpu, 0);
	jobs_start(b->jtb, "g", 0, 0, 1, "w");
	assert_int_equal(why(b, "g", 0, 1), HLD_GANG);
}

static void look(struct bed *b, int64_t after_ms)
{
	b->sch.now_ms += after_ms;
	g_string_truncate(b->told, 0);
	hld_look(&b->view, &b->sum, bed_tell, b);
}

/*
 * Of each task that lasts a line says what holds it back, once it did for
 * long, again as soon as that changes, and else seldom.
 */
static void what_waits_for_long_is_told(void **state)
{
	struct bed *b = *state;
	char label[] = "kind-none";

	job(b, "l", (struct jtb_step){.count = 2, .flags = JTB_LONG_RUNNING});
	job(b, "s", (struct jtb_step){.count = 5, .label = label});
	look(b, 0);
	assert_string_equal(b->told->str, "");
	assert_int_equal(b->sum.tasks[HLD_NO_WORKER], 7);
	look(b, 3000);
	assert_string_equal(b->told->str,
			    "l.0:no-worker l.1:no-worker s:no-worker ");
	assert_int_equal(b->sum.longest_ms, 3000);
	look(b, 1000);
	assert_string_equal(b->told->str, "");
	jobs_worker(b->jtb, "w", 1000, false);
	jobs_start(b->jtb, "l", 0, 0, 1, "w");
	look(b, 1000);
	assert_string_equal(b->told->str, "l.1:no-room s:no-label ");
	assert_int_equal(b->sum.tasks[HLD_NO_ROOM], 1);
	assert_int_equal(b->sum.tasks[HLD_LABEL], 5);
	assert_int_equal(b->sum.longest_ms, 5000);
	look(b, 11000);
	assert_string_equal(b->told->str, "l.1:no-room s:no-label ");
	/* a new leader counts anew */
	hld_forget(b->jtb);
	look(b, 0);
	assert_string_equal(b->told->str, "");
	assert_int_equal(b->sum.longest_ms, 0);
}

static void what_is_held_back_is_shown(void **state)
{
	struct bed *b = *state;
	GString *out = g_string_new(NULL);

	job(b, "a", (struct jtb_step){.count = 3});
	jobs_worker(b->jtb, "w", 1000, false);
	jobs_start(b->jtb, "a", 0, 0, 1, "w");
	b->bar = HLD_UNREACHED;
	look(b, 0);
	look(b, 1500);
	hld_text(&b->sum, out);
	assert_non_null(
		strstr(out->str, "\nendive_held_tasks{why=\"unreached\"} 2\n"));
	assert_non_null(strstr(
		out->str, "\nendive_held_tasks{why=\"lease-not-over\"} 1\n"));
	assert_non_null(
		strstr(out->str, "\nendive_held_longest_seconds 0.0\n"));
	jobs_worker_lost(b->jtb, "w", false);
	look(b, 0);
	look(b, 1500);
	g_string_truncate(out, 0);
	hld_text(&b->sum, out);
	assert_non_null(
		strstr(out->str, "\nendive_held_longest_seconds 1.5\n"));
	g_string_free(out, TRUE);
}

/* A task of a queue with advice waits for a ticket, then for that worker. */
static void what_has_no_ticket_waits_for_one(void **state)
{
	struct bed *b = *state;
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");

	jobs_worker(b->jtb, "w1", 2000, false);
	jobs_worker(b->jtb, "w2", 500, false);
	q->advised = true;
	job(b, "a", (struct jtb_step){0});
	assert_int_equal(why(b, "a", 0, 0), HLD_TICKET);
	look(b, 0);
	assert_int_equal(b->sum.tasks[HLD_TICKET], 1);
	b->ticket = "w1";
	assert_int_equal(why(b, "a", 0, 0), HLD_NONE);
	job(b, "b", (struct jtb_step){0});
	jobs_start(b->jtb, "b", 0, 0, 1, "w1");
	job(b, "c", (struct jtb_step){.cpu = 1500});
	assert_int_equal(why(b, "c", 0, 0), HLD_NO_ROOM);
}

/* A gang has room on two racks and waits a moment for one. */
static void a_gang_that_waits_for_a_rack_says_so(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .flags = JTB_GANG | JTB_RACK_SENSITIVE};

	jobs_worker(b->jtb, "w", 2000, false);
	job(b, "g", s);
	assert_int_equal(why(b, "g", 0, 0), HLD_NONE);
	jtb_job(b->jtb, "g")->rack_wait_since_ms = NOW_MS;
	assert_int_equal(why(b, "g", 0, 0), HLD_RACK);
}

static void each_reason_has_a_name(void **state)
{
	int i;
	int j;

	for (i = 0; i < HLD_REASONS; i++)
		for (j = 0; j < i; j++)
			assert_string_not_equal(hld_name(i), hld_name(j));
	assert_true(hld_most_ms(HLD_NONE) > 0);
	assert_true(hld_is_owed(HLD_NONE) && !hld_is_owed(HLD_RUNS));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(none_is_what_a_plan_starts),
		T(the_nearest_worker_gives_the_reason),
		T(what_is_not_due_is_not_owed),
		T(a_gang_is_held_back_whole),
		T(what_waits_for_long_is_told),
		T(what_is_held_back_is_shown),
		T(what_has_no_ticket_waits_for_one),
		T(a_gang_that_waits_for_a_rack_says_so),
		cmocka_unit_test(each_reason_has_a_name),
	};

	return cmocka_run_group_tests_name("hld", tests, NULL, NULL);
}
