#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hub_int.h"
#include "jobs_make.h"

#define NOW_MS 100000
#define SEQUENCE 7

/* A leader whose log stores nothing until the test says so. */
struct rig {
	struct hub h;
	int acknowledged;
};

static struct rig *rig_of(struct hub *h)
{
	return (struct rig *)h;
}

static int setup(void **state)
{
	struct rig *r = g_new0(struct rig, 1);
	struct hub *h = &r->h;

	h->tmr = tmr_new_manual(NOW_MS);
	h->calls = g_hash_table_new(NULL, NULL);
	h->report_seqs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	h->jtb = jtb_new(NULL, NULL);
	h->wkr = wkr_new(&(struct wkr_config){.tmr = h->tmr, .jtb = h->jtb},
			 NULL, NULL);
	hub_log_init(h);
	jobs_config(h->jtb, 1, "p", 3);
	jobs_worker(h->jtb, "w", 16000, false);
	*state = r;
	return 0;
}

static int teardown(void **state)
{
	struct rig *r = *state;
	struct hub *h = &r->h;

	hub_log_free(h);
	g_hash_table_destroy(h->calls);
	g_hash_table_destroy(h->report_seqs);
	wkr_free(h->wkr);
	jtb_free(h->jtb);
	tmr_free(h->tmr);
	g_free(r);
	return 0;
}

static void resume(struct hub *h, struct hub_call *c)
{
	rig_of(h)->acknowledged++;
	hub_answer_status(h, c, 200);
}

/* A worker reports that it is to leave. */
static void report_draining(struct rig *r, uint64_t sequence)
{
	const struct jtb_worker *w = jtb_worker(r->h.jtb, "w");
	struct jtb_worker_info info = w->info;

	info.draining = true;
	hub_accept_report(&r->h, hub_call_new(&r->h, HUB_FROM_ENTRY), &info, 0,
			  sequence, 0, resume);
}

/* Stores what was proposed so far, as the log would. */
static void store(struct rig *r)
{
	struct hub *h = &r->h;
	uint64_t index = 1;
	struct hub_inflight *f = g_new0(struct hub_inflight, 1);

	f->waiters = h->batch_waiters;
	h->batch_waiters = g_array_new(FALSE, FALSE, sizeof(struct hub_waiter));
	g_hash_table_insert(h->proposals, g_memdup2(&index, sizeof(index)), f);
	jobs_worker(h->jtb, "w", 16000, true);
	hub_log_applied(h, index);
}

/*
 * Guards against a worker that ends with work: its report that it is to leave
 * comes again, and is acknowledged though it is not stored yet.
 */
static void repeated_report_waits_for_the_first(void **state)
{
	struct rig *r = *state;

	report_draining(r, SEQUENCE);
	report_draining(r, SEQUENCE);
	report_draining(r, SEQUENCE - 1);
	assert_int_equal(r->acknowledged, 0);
	store(r);
	assert_int_equal(r->acknowledged, 3);
}

/* Guards against an entry in the log for each copy of what is stored. */
static void repeat_of_what_is_stored_is_answered_at_once(void **state)
{
	struct rig *r = *state;

	report_draining(r, SEQUENCE);
	store(r);
	report_draining(r, SEQUENCE);
	assert_int_equal(r->acknowledged, 2);
	assert_int_equal(r->h.batch_waiters->len, 0);
}

/*
 * Guards against a worker that is never used: an earlier lifetime of the same id
 * announced its end, and the announcement comes after the next one has begun.
 */
static void late_end_of_an_earlier_lifetime_changes_nothing(void **state)
{
	struct rig *r = *state;
	struct hub *h = &r->h;

	hub_accept_leave(h, hub_call_new(h, HUB_FROM_ENTRY), "w", resume);
	assert_int_equal(bat_count(&h->batch), 0);
	jobs_worker(h->jtb, "w", 16000, true);
	hub_accept_leave(h, hub_call_new(h, HUB_FROM_ENTRY), "w", resume);
	assert_int_equal(bat_count(&h->batch), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			repeated_report_waits_for_the_first, setup, teardown),
		cmocka_unit_test_setup_teardown(
			repeat_of_what_is_stored_is_answered_at_once, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			late_end_of_an_earlier_lifetime_changes_nothing, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
