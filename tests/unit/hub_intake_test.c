#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "hub_int.h"
#include "jobs_make.h"

#define NOW_MS 100000
#define CORES 16
/* Core-seconds of a job; its objective is 1.5 * 1 s + 0.5 s. */
#define JOB_CORES 4
/*
 * Jobs before one whose chain of 1 s still fits three times the objective: 5 s
 * of 16 cores.
 */
#define JOBS_OF_USE 20
#define FLOOD 200

/* A leader that knows its line, without a log to agree with others. */
struct rig {
	struct hub h;
	struct event_base *base;
	char vms[8];
	int next;
};

static bool is_reachable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static bool is_pinned(void *arg, const char *vm)
{
	return false;
}

static void list_vms(struct rig *r)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	struct vms_vm *vm = g_new0(struct vms_vm, 1);

	vm->name = g_strdup("vm");
	vm->pool = g_strdup("p");
	vm->worker = g_strdup("w");
	vm->state = VMS_UP;
	vm->cpu = CORES * 1000;
	vm->mem_mb = 64000;
	g_ptr_array_add(list, vm);
	vms_put_list(r->h.vms, list, tmr_now(r->h.tmr));
}

static int setup(void **state)
{
	static const struct flo_ops flo_ops = {.is_reachable = is_reachable,
					       .is_pinned = is_pinned};
	struct rig *r = g_new0(struct rig, 1);
	struct hub *h = &r->h;
	int i;

	r->base = event_base_new();
	h->tmr = tmr_new_manual(NOW_MS);
	h->calls = g_hash_table_new(NULL, NULL);
	h->jtb = jtb_new(NULL, NULL);
	h->est = est_new();
	h->itk = itk_new(itk_way("organisation"), (struct itk_bounds){0});
	h->vms = vms_new(&(struct vms_config){.base = r->base, .tmr = h->tmr},
			 NULL, NULL);
	h->flo = flo_new(h->jtb, h->vms, &flo_ops, NULL);
	h->config.vms = r->vms;
	h->lead_since_ms = NOW_MS - 10000;
	hub_log_init(h);
	jobs_config(h->jtb, 1, "p", 3);
	jobs_worker(h->jtb, "w", CORES * 1000, false);
	for (i = 0; i < 40; i++)
		est_learn(h->est, "q", 1000, 1000);
	list_vms(r);
	flo_tick(h->flo, NOW_MS, hub_wall_ms());
	hub_intake_tick(h, NOW_MS);
	*state = r;
	return 0;
}

static int teardown(void **state)
{
	struct rig *r = *state;
	struct hub *h = &r->h;

	hub_log_free(h);
	g_list_free_full(g_hash_table_get_keys(h->calls),
			 (GDestroyNotify)hub_call_disconnect);
	g_hash_table_destroy(h->calls);
	flo_free(h->flo);
	vms_free(h->vms);
	itk_free(h->itk);
	est_free(h->est);
	jtb_free(h->jtb);
	tmr_free(h->tmr);
	event_base_free(r->base);
	g_free(r);
	return 0;
}

static void resume(struct hub *h, struct hub_call *c)
{
	hub_answer_status(h, c, 200);
}

/* Submits a job; returns whether it was accepted. */
static bool submit(struct rig *r, const char *id, uint32_t flags,
		   uint32_t repeats)
{
	struct jtb_step step = {.count = JOB_CORES,
				.cpu = 1000,
				.estimate_ms = 1000,
				.flags = flags};
	struct jtb_spec spec = {.queue = (char *)"q",
				.text = (char *)"text",
				.steps = &step,
				.n_steps = 1,
				.repeats = repeats};
	uint32_t before = bat_count(&r->h.batch);
	guint open = g_hash_table_size(r->h.calls);

	g_strlcpy(spec.id, id, sizeof(spec.id));
	hub_submit(&r->h, hub_call_new(&r->h, HUB_FROM_ENTRY), &spec, resume);
	/* an answered call is freed: nothing of it may be in the log */
	assert_int_equal(bat_count(&r->h.batch) - before,
			 g_hash_table_size(r->h.calls) - open);
	return bat_count(&r->h.batch) > before;
}

static bool submit_next(struct rig *r)
{
	char id[16];

	snprintf(id, sizeof(id), "%x", r->next++);
	return submit(r, id, 0, 0);
}

static int flood(struct rig *r)
{
	int accepted = 0;
	int i;

	for (i = 0; i < FLOOD; i++)
		accepted += submit_next(r);
	return accepted;
}

/*
 * Failure: ten times the load within one tick is accepted and put into the log,
 * though most of it can't be of use any more.
 */
static void flood_is_proposed_only_while_of_use(void **state)
{
	struct rig *r = *state;

	assert_in_range(flood(r), JOBS_OF_USE, JOBS_OF_USE + 1);
	hub_intake_tick(&r->h, NOW_MS);
	assert_int_equal(flood(r), 0);
}

/* Failure: a copy of an accepted job is refused, and the job runs. */
static void copy_of_accepted_job_is_not_refused(void **state)
{
	struct rig *r = *state;

	flood(r);
	assert_true(submit(r, "0", 0, 0));
}

/* Failure: lasting or timed work is refused for the line of other work. */
static void lasting_and_timed_work_is_accepted(void **state)
{
	struct rig *r = *state;

	flood(r);
	assert_true(submit(r, "a0", JTB_LONG_RUNNING, 0));
	assert_true(submit(r, "a1", 0, 2));
}

/* Failure: a leader refuses though it doesn't know the line. */
static void leader_that_does_not_know_accepts(void **state)
{
	struct rig *r = *state;

	flood(r);
	assert_false(submit_next(r));
	r->h.lead_since_ms = NOW_MS - 1000;
	assert_true(submit_next(r));
	r->h.lead_since_ms = NOW_MS - 10000;
	r->h.config.vms = NULL;
	assert_true(submit_next(r));
	r->h.config.vms = r->vms;
	assert_false(submit_next(r));
	est_clear(r->h.est);
	assert_true(submit_next(r));
}

/* Whether a configuration of that version is put into the log. */
static bool configure(struct rig *r, uint64_t version)
{
	struct jtb_config *c = jtb_config_new();
	guint before = bat_count(&r->h.batch);

	c->version = version;
	c->document = g_bytes_new("doc", 3);
	hub_accept_config(&r->h, hub_call_new(&r->h, HUB_FROM_CONTROL), c,
			  resume);
	jtb_config_free(c);
	return bat_count(&r->h.batch) > before;
}

/* Guards against a line of commands that grows while the log takes none. */
static void nothing_is_added_while_the_log_is_behind(void **state)
{
	struct rig *r = *state;
	char *text = g_malloc0(1 << 20);
	int i;

	assert_true(submit_next(r));
	for (i = 0; i < 20; i++)
		pk_str(hub_append_command(&r->h), lstr_n(text, 1 << 20));
	assert_false(submit_next(r));
	assert_false(configure(r, 2));
	hub_log_abort(&r->h);
	assert_true(submit_next(r));
	assert_false(configure(r, 1));
	assert_true(configure(r, 2));
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			flood_is_proposed_only_while_of_use, setup, teardown),
		cmocka_unit_test_setup_teardown(
			copy_of_accepted_job_is_not_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
			lasting_and_timed_work_is_accepted, setup, teardown),
		cmocka_unit_test_setup_teardown(
			leader_that_does_not_know_accepts, setup, teardown),
		cmocka_unit_test_setup_teardown(
			nothing_is_added_while_the_log_is_behind, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
