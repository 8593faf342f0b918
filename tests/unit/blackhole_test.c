#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "sch.h"

#define WORKERS 6
#define JOBS 200
/* Four tasks on a worker, each for so many steps of a second. */
#define TASK_STEPS 20
#define STEPS 1200

/* The trace blackhole, on the job table and scheduler. */
struct bed {
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

static bool bed_usable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool bed_leaving(void *arg, const struct jtb_worker *w)
{
	return false;
}

static void bed_starved(void *arg, const char *pool)
{
}

static void bed_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w)
{
	struct bed *b = arg;
	struct end e = {.name = *n, .attempt = attempt};

	/* once it is found it is tried with one task at a time */
	if (w->failed_jobs >= 3)
		assert_int_equal(w->runs->len, 0);
	g_strlcpy(e.worker, w->info.id, sizeof(e.worker));
	e.at_ms =
		b->now + (strcmp(e.worker, "w3") == 0 ? 1 : TASK_STEPS) * 1000;
	jobs_start(b->jtb, n->id, n->step, n->index, attempt, w->info.id);
	g_array_append_val(b->ends, e);
}

static void plan(struct bed *b)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v = {
		.jtb = b->jtb,
		.closed = closed,
		.now_ms = b->now,
		.wall_ms = JOBS_WALL_MS + b->now,
		.arg = b,
		.usable = bed_usable,
		.leaving = bed_leaving,
		.start = bed_start,
		.starved = bed_starved,
	};

	sch_plan(&v, "p");
	g_hash_table_destroy(closed);
}

/* What is due ends: on worker 3 it fails. */
static void work(struct bed *b)
{
	guint i;

	for (i = b->ends->len; i > 0; i--) {
		struct end e = g_array_index(b->ends, struct end, i - 1);

		if (b->now < e.at_ms)
			continue;
		g_array_remove_index_fast(b->ends, i - 1);
		jobs_end(b->jtb, e.name.id, 0, 0, e.attempt, e.worker,
			 strcmp(e.worker, "w3") == 0 ? JTB_FAILED_RUN
						     : JTB_DONE);
	}
}

/*
 * Worker 3 fails whatever it starts, and so it is always free first and draws
 * in all that waits. Every job finishes elsewhere, and none fails.
 */
static void black_hole_worker_fails_no_job(void **state)
{
	struct bed b = {.jtb = jtb_new(NULL, NULL), .now = 100000};
	struct jtb_step s = {.count = 1, .cpu = 4000, .estimate_ms = 20000};
	int completed = 0;
	char id[16];
	int i;

	b.ends = g_array_new(FALSE, FALSE, sizeof(struct end));
	jobs_config(b.jtb, 1, "p", 3);
	for (i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		jobs_worker(b.jtb, id, 16000, false);
	}
	for (i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		jobs_job(b.jtb, id, &s, 1, JOBS_WALL_MS + b.now);
	}
	for (i = 0; i < STEPS; i++) {
		b.now += 1000;
		work(&b);
		plan(&b);
	}
	for (i = 0; i < JOBS; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		completed += jtb_job(b.jtb, id)->state == JTB_COMPLETED;
	}
	g_array_free(b.ends, TRUE);
	jtb_free(b.jtb);
	assert_int_equal(completed, JOBS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(black_hole_worker_fails_no_job),
	};

	return cmocka_run_group_tests_name("blackhole", tests, NULL, NULL);
}
