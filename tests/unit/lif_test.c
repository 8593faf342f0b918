#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "jtb_int.h"
#include "lif.h"
#include "wkr.h"

#define FIRST_MS 1000000
#define NEXT_MS 2000000

/* Adds a worker's lifetime, or updates it; cpu in thousandths of a core. */
static void report(struct jtb *t, const char *id, int64_t started_ms,
		   uint32_t cpu)
{
	char *labels[] = {(char *)"kind-a", (char *)"rack-1", NULL};
	const struct jtb_worker_info info = {.id = (char *)id,
					     .pool = (char *)"p",
					     .addr = (char *)"127.0.0.1:1",
					     .zone = (char *)"z",
					     .labels = labels,
					     .cpu = cpu,
					     .mem_mb = 64000,
					     .started_ms = started_ms,
					     .leaves_at_ms = 77};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	jobs_apply(t, &o);
}

/* Starts worker "w" again, and keeps the run of that task if index is set. */
static void restart(struct jtb *t, int64_t started_ms, int index, bool crash)
{
	char *labels[] = {NULL};
	const struct jtb_worker_info info = {.id = (char *)"w",
					     .pool = (char *)"p",
					     .addr = (char *)"127.0.0.1:2",
					     .zone = (char *)"z",
					     .labels = labels,
					     .cpu = 8000,
					     .mem_mb = 64000,
					     .started_ms = started_ms};
	GArray *kept = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));
	struct jtb_name n = {.id = "a"};
	struct jtb_blame b;
	struct pk_out o;

	jtb_blame_init(&b);
	if (crash)
		g_array_append_val(b.suspects, n);
	n.index = (uint32_t)index;
	if (index >= 0)
		g_array_append_val(kept, n);
	pk_out_init(&o);
	jtb_put_worker_restarted(&o, &info, kept, &b, JOBS_WALL_MS);
	jobs_apply(t, &o);
	g_array_free(kept, TRUE);
	jtb_blame_clear(&b);
}

static int setup(void **state)
{
	struct jtb *t = jtb_new(NULL, NULL);
	struct jtb_step step = {.count = 3, .cpu = 1000, .estimate_ms = 100};

	jobs_config(t, 1, "p", 2);
	report(t, "w", FIRST_MS, 16000);
	jobs_job(t, "a", &step, 1, JOBS_WALL_MS);
	*state = t;
	return 0;
}

static int teardown(void **state)
{
	jtb_free(*state);
	return 0;
}

/* Guards against a late or foreign report that is taken for a restart. */
static void reports_are_told_apart(void **state)
{
	static const struct {
		int64_t known;
		int64_t reported;
		enum lif lif;
	} cases[] = {
		{0, 0, LIF_CURRENT},
		{0, 50, LIF_CURRENT},
		{50, 50, LIF_CURRENT},
		{50, 51, LIF_NEXT},
		{50, 49, LIF_EARLIER},
		{50, 0, LIF_MISSING},
		{0, WKR_START_DAMAGED, LIF_DAMAGED},
		{50, WKR_START_DAMAGED, LIF_DAMAGED},
		{0, NEXT_MS + 2 * 3600 * 1000, LIF_AHEAD},
		{50, NEXT_MS + 2 * 3600 * 1000, LIF_AHEAD},
		{50, NEXT_MS + 60 * 1000, LIF_NEXT},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(lif_judge(cases[i].known, cases[i].reported,
					   NEXT_MS),
				 cases[i].lif);
	for (i = 0; i < LIF_KINDS; i++)
		assert_non_null(lif_name((enum lif)i));
}

/*
 * Guards against ends of a worker's next lifetime that are taken for known ones
 * of the earlier, and against runs that nobody has.
 */
static void restart_ends_the_earlier_lifetime(void **state)
{
	struct jtb *t = *state;
	struct jtb_worker *w = jtb_worker(t, "w");

	jobs_start(t, "a", 0, 0, 1, "w");
	jobs_start(t, "a", 0, 1, 1, "w");
	jobs_end(t, "a", 0, 1, 1, "w", JTB_FAILED_RUN);
	assert_int_equal(w->last_end_no, 1);
	restart(t, NEXT_MS, -1, false);
	assert_ptr_equal(jtb_worker(t, "w"), w);
	assert_int_equal(w->runs->len, 0);
	assert_int_equal(w->last_end_no, 0);
	assert_int_equal(w->failed_jobs, 0);
	assert_int_equal(w->used_cpu, 0);
	assert_int_equal(w->info.cpu, 8000);
	assert_string_equal(w->info.addr, "127.0.0.1:2");
	jobs_start(t, "a", 0, 0, 2, "w");
	jobs_end(t, "a", 0, 0, 2, "w", JTB_DONE);
	assert_int_equal(jtb_job(t, "a")->turns[0].steps[0].n_done, 1);
	/* a later description of the earlier lifetime, however it came */
	report(t, "w", FIRST_MS, 16000);
	report(t, "w", 0, 16000);
	assert_int_equal(w->info.cpu, 8000);
}

/*
 * Guards against a task that runs twice: its start may still arrive at the next
 * lifetime, while the task is started elsewhere.
 */
static void run_that_may_arrive_outlasts_a_restart(void **state)
{
	struct jtb *t = *state;
	struct jtb_run *run;

	jobs_start(t, "a", 0, 0, 1, "w");
	jobs_start(t, "a", 0, 1, 1, "w");
	restart(t, NEXT_MS, 1, true);
	assert_int_equal(jtb_worker(t, "w")->runs->len, 1);
	run = g_ptr_array_index(jtb_worker(t, "w")->runs, 0);
	assert_int_equal(run->index, 1);
	assert_true(run->stopping);
	assert_int_equal(jtb_max_crashes(jtb_job(t, "a")), 1);
	report(t, "v", FIRST_MS, 16000);
	jobs_start(t, "a", 0, 1, 2, "v");
	assert_int_equal(jtb_worker(t, "v")->runs->len, 0);
	jobs_start(t, "a", 0, 0, 2, "v");
	assert_int_equal(jtb_worker(t, "v")->runs->len, 1);
}

/* Guards against a restarted worker that the fleet never uses again. */
static void removed_worker_comes_back_with_a_later_start(void **state)
{
	struct jtb *t = *state;

	jobs_worker_lost(t, "w", true);
	assert_true(jtb_lifetime_is_over(t, "w", FIRST_MS));
	assert_false(jtb_lifetime_is_over(t, "w", NEXT_MS));
	report(t, "w", FIRST_MS, 16000);
	assert_null(jtb_worker(t, "w"));
	report(t, "w", NEXT_MS, 16000);
	assert_non_null(jtb_worker(t, "w"));
}

/* Replaces a table by its snapshot, without the last fields of it and of w. */
static void restore(struct jtb *t, bool as_before)
{
	msgpack_unpacked u;
	msgpack_packer p;
	struct pk_out o;
	struct pk_out old;

	pk_out_init(&o);
	pk_out_init(&old);
	jtb_snapshot(t, &o);
	msgpack_unpacked_init(&u);
	assert_true(msgpack_unpack_next(&u, o.buf.data, o.buf.size, NULL));
	if (as_before) {
		msgpack_object_array *info = &u.data.via.array.ptr[2]
						      .via.array.ptr[0]
						      .via.array.ptr[1]
						      .via.array;

		assert_int_equal(u.data.via.array.size, 8);
		assert_int_equal(info->size, 11);
		u.data.via.array.size = 6;
		info->size = 9;
	}
	msgpack_packer_init(&p, &old.buf, msgpack_sbuffer_write);
	msgpack_pack_object(&p, u.data);
	assert_true(jtb_restore(t, pk_out_view(&old)));
	msgpack_unpacked_destroy(&u);
	pk_out_done(&o);
	pk_out_done(&old);
}

/*
 * Guards against replicas that differ, and a task that runs twice: one of them
 * has the table from a snapshot, and takes a run of an earlier lifetime, whose
 * start may still arrive, for one of the present lifetime.
 */
static void run_of_an_earlier_lifetime_outlasts_a_snapshot(void **state)
{
	struct jtb *t = *state;

	jobs_start(t, "a", 0, 0, 1, "w");
	jobs_start(t, "a", 0, 1, 1, "w");
	restart(t, NEXT_MS, 1, false);
	restore(t, false);
	restart(t, NEXT_MS + 1, -1, false);
	assert_int_equal(jtb_worker(t, "w")->runs->len, 1);
}

/* Guards against a later leader that knows other lifetimes than the last one. */
static void snapshot_holds_lifetimes(void **state)
{
	struct jtb *t = *state;

	report(t, "v", FIRST_MS, 16000);
	jobs_worker_lost(t, "v", true);
	restore(t, false);
	assert_int_equal(jtb_worker(t, "w")->info.started_ms, FIRST_MS);
	assert_int_equal(jtb_worker(t, "w")->info.leaves_at_ms, 77);
	assert_true(jtb_lifetime_is_over(t, "v", FIRST_MS));
	assert_false(jtb_lifetime_is_over(t, "v", NEXT_MS));
}

/* Guards against data folders of versions without lifetimes that aren't read. */
static void data_without_lifetimes_is_read(void **state)
{
	struct jtb *t = *state;

	report(t, "v", FIRST_MS, 16000);
	jobs_worker_lost(t, "v", true);
	restore(t, true);
	assert_int_equal(jtb_worker(t, "w")->info.started_ms, 0);
	assert_int_equal(jtb_worker(t, "w")->info.cpu, 16000);
	assert_true(jtb_lifetime_is_over(t, "v", 0));
	/* the first start that is reported is that of the lifetime we know */
	jobs_start(t, "a", 0, 0, 1, "w");
	report(t, "w", FIRST_MS, 16000);
	assert_int_equal(jtb_worker(t, "w")->runs->len, 1);
	assert_int_equal(jtb_worker(t, "w")->info.started_ms, FIRST_MS);
}

/* Guards against starts taken as over that the next lifetime may carry out. */
static void starts_that_reach_the_next_lifetime_are_known(void **state)
{
	static const struct {
		struct jtb_run run;
		bool may;
	} cases[] = {
		{{.phase = WKR_NEW}, false},
		{{.phase = WKR_NEW, .orders_sent = 1}, false},
		{{.phase = WKR_DROPPED, .orders_sent = 1}, false},
		{{.phase = WKR_SENT, .orders_sent = 1}, true},
		{{.phase = WKR_NEW,
		  .orders_sent = 1,
		  .orders_unanswered = 1,
		  .may_have_started = true},
		 true},
		/* answered by either lifetime, as no list has shown it */
		{{.phase = WKR_ACCEPTED, .orders_sent = 1}, true},
		{{.phase = WKR_ACCEPTED,
		  .orders_sent = 1,
		  .may_have_started = true,
		  .first_running_ms = 5},
		 false},
		{{.phase = WKR_ACCEPTED,
		  .orders_sent = 2,
		  .orders_unanswered = 1,
		  .may_have_started = true,
		  .first_running_ms = 5},
		 true},
		{{.phase = WKR_ACCEPTED,
		  .inherited = true,
		  .may_have_started = true,
		  .first_running_ms = 5},
		 true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(evd_may_reach_successor(&cases[i].run),
				 cases[i].may);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(reports_are_told_apart),
		T(restart_ends_the_earlier_lifetime),
		T(run_that_may_arrive_outlasts_a_restart),
		T(run_of_an_earlier_lifetime_outlasts_a_snapshot),
		T(removed_worker_comes_back_with_a_later_start),
		T(snapshot_holds_lifetimes),
		T(data_without_lifetimes_is_read),
		T(starts_that_reach_the_next_lifetime_are_known),
	};

	return cmocka_run_group_tests_name("lif", tests, NULL, NULL);
}
