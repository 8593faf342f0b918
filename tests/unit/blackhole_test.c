#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "sch.h"

#define WORKERS 6
#define JOBS 200
/* Duration of a task, in steps of one second; a worker holds four tasks. */
#define TASK_STEPS 20
#define STEPS 1200

/* The scenario of the trace blackhole, on the job table and the scheduler. */
struct fixture {
	struct jtb *jtb;
	int64_t now;
	GArray *ends; /* struct end */
};

struct end {
	struct jtb_name name;
	uint32_t attempt;
	char worker[8];
	int64_t at_ms;
};

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
	struct fixture *f = arg;
	struct end e = {.name = *n, .attempt = attempt};

	/* A worker that is suspect is tried with one task at a time. */
	if (w->fails >= 3)
		assert_int_equal(w->runs->len, 0);
	g_strlcpy(e.worker, w->info.id, sizeof(e.worker));
	e.at_ms =
		f->now + (strcmp(e.worker, "w3") == 0 ? 1 : TASK_STEPS) * 1000;
	jobs_start(f->jtb, n->id, n->step, n->index, attempt, w->info.id);
	g_array_append_val(f->ends, e);
}

static void run_plan(struct fixture *f)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v = {
		.jtb = f->jtb,
		.closed = closed,
		.now_ms = f->now,
		.wall_ms = JOBS_WALL_MS + f->now,
		.arg = f,
		.usable = on_usable,
		.upkeep_due = on_upkeep_due,
		.start = on_start,
		.unschedulable = on_unschedulable,
	};

	sch_plan(&v, "p");
	g_hash_table_destroy(closed);
}

/* Ends the tasks whose time is over: on worker w3 they fail. */
static void end_due_tasks(struct fixture *f)
{
	guint i;

	for (i = f->ends->len; i > 0; i--) {
		struct end e = g_array_index(f->ends, struct end, i - 1);

		if (f->now < e.at_ms)
			continue;
		g_array_remove_index_fast(f->ends, i - 1);
		jobs_end(f->jtb, e.name.id, 0, 0, e.attempt, e.worker,
			 strcmp(e.worker, "w3") == 0 ? JTB_FAILED_RUN
						     : JTB_DONE);
	}
}

/*
 * Worker w3 fails every task it starts, so that it always has the most free
 * capacity and attracts all waiting tasks. Every job completes on other
 * workers, and none fails.
 */
static void black_hole_worker_fails_no_job(void **state)
{
	struct fixture f = {.jtb = jtb_new(NULL, NULL), .now = 100000};
	struct jtb_step s = {.count = 1, .cpu = 4000, .guess_ms = 20000};
	int completed = 0;
	char id[16];
	int i;

	f.ends = g_array_new(FALSE, FALSE, sizeof(struct end));
	jobs_config(f.jtb, 1, "p", 3);
	for (i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		jobs_worker(f.jtb, id, 16000, false);
	}
	for (i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		jobs_job(f.jtb, id, &s, 1, JOBS_WALL_MS + f.now);
	}
	for (i = 0; i < STEPS; i++) {
		f.now += 1000;
		end_due_tasks(&f);
		run_plan(&f);
	}
	for (i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		completed += jtb_job(f.jtb, id)->state == JTB_COMPLETED;
	}
	g_array_free(f.ends, TRUE);
	jtb_free(f.jtb);
	assert_int_equal(completed, JOBS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(black_hole_worker_fails_no_job),
	};

	return cmocka_run_group_tests_name("blackhole", tests, NULL, NULL);
}
