#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hub_int.h"
#include "jobs_make.h"

#define NOW_MS 100000

/* A leader with a worker whose VM lists lack. */
struct rig {
	struct hub h;
	struct event_base *base;
	struct jtb_worker *w;
};

static int setup(void **state)
{
	struct rig *r = g_new0(struct rig, 1);
	struct hub *h = &r->h;

	r->base = event_base_new();
	h->tmr = tmr_new_manual(NOW_MS);
	h->jtb = jtb_new(NULL, NULL);
	h->vms = vms_new(&(struct vms_config){.base = r->base, .tmr = h->tmr},
			 NULL, NULL);
	jobs_config(h->jtb, 1, "p", 3);
	jobs_worker(h->jtb, "w", 16000, false);
	r->w = jtb_worker(h->jtb, "w");
	*state = r;
	return 0;
}

static int teardown(void **state)
{
	struct rig *r = *state;

	vms_free(r->h.vms);
	jtb_free(r->h.jtb);
	tmr_free(r->h.tmr);
	event_base_free(r->base);
	g_free(r);
	return 0;
}

/*
 * Reads a list that was requested then; returns for how long lists have lacked
 * the worker, which has been silent since.
 */
static int64_t absent_ms(struct rig *r, int64_t asked, int64_t since,
			 bool has_vm)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	struct evd_vm out;

	if (has_vm) {
		struct vms_vm *vm = g_new0(struct vms_vm, 1);

		vm->name = g_strdup("vm");
		vm->pool = g_strdup("p");
		vm->worker = g_strdup("w");
		g_ptr_array_add(list, vm);
	}
	vms_put_list(r->h.vms, list, asked);
	hub_vm_worker_evidence(&r->h, r->w, since, &out);
	return out.absent_ms;
}

/*
 * Guards against a task that runs twice: what counts as absence of its worker is
 * older than its silence, a single list, or lists right behind each other.
 */
static void absence_counts_between_lists_of_the_silence(void **state)
{
	struct rig *r = *state;

	assert_int_equal(absent_ms(r, NOW_MS, 0, false), 0);
	assert_int_equal(absent_ms(r, NOW_MS + 700, NOW_MS + 800, false), 0);
	assert_int_equal(absent_ms(r, NOW_MS + 1400, NOW_MS + 800, false), 0);
	assert_int_equal(absent_ms(r, NOW_MS + 1410, NOW_MS + 800, false), 10);
	assert_int_equal(absent_ms(r, NOW_MS + 2100, NOW_MS + 800, false), 700);
	assert_int_equal(absent_ms(r, NOW_MS + 2800, NOW_MS + 800, true), 0);
	assert_int_equal(absent_ms(r, NOW_MS + 3500, NOW_MS + 800, false), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			absence_counts_between_lists_of_the_silence, setup,
			teardown),
	};

	return cmocka_run_group_tests_name("hub_vm", tests, NULL, NULL);
}
