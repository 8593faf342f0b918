#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "jobs_make.h"
#include "sch.h"

/*
 * Where the tasks of a job start in a pool of three zones, a to c, of two racks
 * each with two workers of four cores: names say zone, rack and worker.
 */

#define ZONES 3
#define RACKS 2
#define RACK_WORKERS 2
#define CORES 4

struct fixture {
	struct jtb *jtb;
	GHashTable *closed;
	const char *way;
	int zones[ZONES]; /* tasks started there by the last plan */
	GHashTable *racks; /* racks that they started in */
	const char *cut; /* zone that gets no work, or NULL */
};

static bool on_usable(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return !f->cut || strcmp(w->info.zone, f->cut) != 0;
}

static bool on_upkeep_due(void *arg, const struct jtb_worker *w)
{
	return false;
}

static void on_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		     uint32_t attempt, struct jtb_worker *w)
{
	struct fixture *f = arg;

	f->zones[w->info.zone[0] - 'a']++;
	g_hash_table_add(f->racks, w->info.labels[1]);
	jobs_start(f->jtb, n->id, n->step, n->index, attempt, w->info.id);
}

static void on_unschedulable(void *arg, const char *pool)
{
}

static void run_plan(struct fixture *f)
{
	struct sch_view v = {
		.jtb = f->jtb,
		.closed = f->closed,
		.domains = dom_find_way(f->way),
		.now_ms = 100000,
		.wall_ms = JOBS_WALL_MS,
		.arg = f,
		.usable = on_usable,
		.upkeep_due = on_upkeep_due,
		.start = on_start,
		.unschedulable = on_unschedulable,
	};

	memset(f->zones, 0, sizeof(f->zones));
	g_hash_table_remove_all(f->racks);
	sch_plan(&v, "p");
}

static void add_worker(struct fixture *f, int zone, int rack, int no)
{
	char id[16];
	char name[2] = {(char)('a' + zone), '\0'};
	char rack_name[8];
	char *labels[] = {(char *)"kind-a", rack_name, NULL};
	struct jtb_worker_info info = {
		.id = id,
		.pool = (char *)"p",
		.addr = (char *)"127.0.0.1:1",
		.zone = name,
		.labels = labels,
		.cpu = CORES * 1000,
		.mem_mb = 64000,
	};
	struct pk_out o;

	g_snprintf(rack_name, sizeof(rack_name), "%s%d", name, rack);
	g_snprintf(id, sizeof(id), "%s-%d", rack_name, no);
	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(f->jtb, &o);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int i;

	f->jtb = jtb_new(NULL, NULL);
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	f->racks = g_hash_table_new(g_str_hash, g_str_equal);
	f->way = DOM_DEFAULT;
	jobs_config(f->jtb, 1, "p", 3);
	for (i = 0; i < ZONES * RACKS * RACK_WORKERS; i++)
		add_worker(f, i % ZONES, i / ZONES % RACKS, i / ZONES / RACKS);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	jtb_free(f->jtb);
	g_hash_table_destroy(f->closed);
	g_hash_table_destroy(f->racks);
	g_free(f);
	return 0;
}

/* Hands in a job of one step, or of two that run side by side. */
static void submit(struct fixture *f, const char *id, const char *zone,
		   uint32_t n_steps, struct jtb_step step)
{
	struct jtb_step steps[2] = {step, step};
	struct jtb_spec spec = {
		.queue = (char *)"q",
		.text = (char *)"text",
		.zone = (char *)zone,
		.steps = steps,
		.n_steps = n_steps,
	};
	struct pk_out o;

	g_strlcpy(spec.id, id, sizeof(spec.id));
	pk_out_init(&o);
	jtb_put_job(&o, &spec, JOBS_WALL_MS);
	jobs_apply(f->jtb, &o);
}

static struct jtb_step tasks(uint32_t count, uint32_t flags)
{
	return (struct jtb_step){.count = count,
				 .cpu = 1000,
				 .estimate_ms = 500,
				 .flags = flags};
}

static int zones_used(const struct fixture *f)
{
	return (f->zones[0] > 0) + (f->zones[1] > 0) + (f->zones[2] > 0);
}

/*
 * Guards against a job that is late whichever zone is cut off, as its tasks lie
 * in all of them.
 */
static void tasks_of_a_job_start_in_one_zone(void **state)
{
	struct fixture *f = *state;
	int i;
	char id[8];

	for (i = 0; i < 3; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		submit(f, id, NULL, 1, tasks(10, 0));
		run_plan(f);
		assert_int_equal(zones_used(f), 1);
	}
}

/*
 * Guards against callers who lose their work together with their connection,
 * and bear alone what the loss of their zone costs.
 */
static void tasks_start_away_from_their_caller(void **state)
{
	struct fixture *f = *state;

	submit(f, "x", "c", 1, tasks(8, 0));
	run_plan(f);
	assert_int_equal(f->zones[2], 0);
	f->way = "near";
	submit(f, "y", "b", 1, tasks(8, 0));
	run_plan(f);
	assert_int_equal(f->zones[1], 8);
}

/* Tasks beyond the room of one zone go to as few others as hold them. */
static void wide_job_uses_as_few_zones_as_hold_it(void **state)
{
	struct fixture *f = *state;

	submit(f, "x", "a", 1, tasks(20, 0));
	run_plan(f);
	assert_int_equal(f->zones[0] + f->zones[1] + f->zones[2], 20);
	assert_int_equal(zones_used(f), 2);
}

/* A zone that gets no work is not asked, whoever is there. */
static void tasks_go_elsewhere_if_their_zone_is_cut_off(void **state)
{
	struct fixture *f = *state;

	f->cut = "c";
	submit(f, "x", "c", 1, tasks(8, 0));
	run_plan(f);
	assert_int_equal(f->zones[2], 0);
	assert_int_equal(zones_used(f), 1);
}

/*
 * Guards against a task that runs again in a further zone: its worker is lost,
 * and the next leader has only the table.
 */
static void next_leader_places_near_the_running_tasks(void **state)
{
	struct fixture *f = *state;
	struct pk_out o;
	guint i;
	int zone;

	submit(f, "x", NULL, 1, tasks(8, 0));
	run_plan(f);
	zone = f->zones[0] ? 0 : f->zones[1] ? 1 : 2;
	pk_out_init(&o);
	jtb_snapshot(f->jtb, &o);
	assert_true(jtb_restore(f->jtb, pk_out_view(&o)));
	pk_out_done(&o);
	for (i = 0; i < 8; i++) {
		const struct jtb_job *job = jtb_job(f->jtb, "x");
		const struct jtb_task *t = &job->turns[0].steps[0].tasks[i];

		if (t->run && g_str_has_suffix(t->run->worker->info.id, "0-0"))
			jobs_end(f->jtb, "x", 0, i, 1, t->run->worker->info.id,
				 JTB_LOST);
	}
	run_plan(f);
	assert_int_equal(zones_used(f), 1);
	assert_true(f->zones[zone] > 0);
}

/* Steps that run side by side share their zone while it has room. */
static void steps_of_a_job_share_a_zone(void **state)
{
	struct fixture *f = *state;

	submit(f, "x", NULL, 2, tasks(8, 0));
	run_plan(f);
	assert_int_equal(f->zones[0] + f->zones[1] + f->zones[2], 16);
	assert_int_equal(zones_used(f), 1);
}

/* Tasks run where their data is, whoever handed them in. */
static void tasks_start_at_their_data(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = tasks(8, 0);

	s.rack = (char *)"b1";
	submit(f, "x", "a", 1, s);
	run_plan(f);
	assert_int_equal(f->zones[1], 8);
	assert_true(g_hash_table_contains(f->racks, "b1"));
	assert_int_equal(g_hash_table_size(f->racks), 1);
}

/*
 * Guards against tasks kept apart that share a zone only because a rule for
 * other tasks asks for it: each worker takes one, so that all are used.
 */
static void tasks_kept_apart_go_by_their_own_rule(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = tasks(12, 0);

	s.max_per_worker = 1;
	submit(f, "x", "a", 1, s);
	run_plan(f);
	assert_int_equal(zones_used(f), 3);
}

/*
 * Guards against a rack's loss that holds up every job of its zone: with this
 * rule the tasks of a job are kept in one rack of a zone that is in use.
 */
static void tasks_of_a_job_start_in_one_rack(void **state)
{
	struct fixture *f = *state;

	f->way = "racks";
	submit(f, "x", NULL, 1, tasks(5, 0));
	run_plan(f);
	assert_int_equal(zones_used(f), 1);
	assert_int_equal(g_hash_table_size(f->racks), 1);
}

/*
 * Guards against a zone whose loss in a burst holds nearly every job: a pool
 * of three zones that is three quarters full.
 */
static void lost_zone_holds_a_share_of_the_jobs(void **state)
{
	static const char *const callers[ZONES] = {"a", "b", "c"};
	struct fixture *f = *state;
	char id[8];
	int held = 0;
	int i;

	for (i = 0; i < 9; i++) {
		g_snprintf(id, sizeof(id), "j%d", i);
		submit(f, id, callers[i % ZONES], 1, tasks(4, 0));
	}
	run_plan(f);
	for (i = 0; i < 9; i++) {
		const struct jtb_job *job;
		bool hit = false;
		guint t;

		g_snprintf(id, sizeof(id), "j%d", i);
		job = jtb_job(f->jtb, id);
		for (t = 0; t < 4; t++)
			hit |= job->turns[0]
				       .steps[0]
				       .tasks[t]
				       .run->worker->info.zone[0] == 'a';
		held += hit;
	}
	/* a zone holds at most four such jobs, two of each rack */
	assert_in_range(held, 1, 4);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(tasks_of_a_job_start_in_one_zone),
		T(tasks_start_away_from_their_caller),
		T(wide_job_uses_as_few_zones_as_hold_it),
		T(tasks_go_elsewhere_if_their_zone_is_cut_off),
		T(next_leader_places_near_the_running_tasks),
		T(steps_of_a_job_share_a_zone),
		T(tasks_start_at_their_data),
		T(tasks_kept_apart_go_by_their_own_rule),
		T(tasks_of_a_job_start_in_one_rack),
		T(lost_zone_holds_a_share_of_the_jobs),
	};

	return cmocka_run_group_tests_name("sch_zone", tests, NULL, NULL);
}
