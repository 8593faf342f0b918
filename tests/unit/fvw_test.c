#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fvw.h"

static struct fvw *make_view(void)
{
	struct fvw *v = fvw_new(7);
	struct fvw_pool draft = {
		.name = g_strdup("a-draft"),
		.service = g_strdup("z"),
		.slots = 8,
		.conns = 64,
	};
	struct fvw_pool check = {
		.name = g_strdup("b-check"),
		.service = g_strdup("c"),
		.slots = 8,
		.conns = 64,
	};
	struct fvw_vm vm = {.name = g_strdup("w1"), .pool = 1, .epoch = 3};

	g_array_append_val(v->pools, draft);
	g_array_append_val(v->pools, check);
	g_array_append_val(v->vms, vm);
	g_ptr_array_add(v->drained, g_strdup("w1:8080"));
	fvw_index(v);
	return v;
}

static void packed_view_unpacks_unchanged(void **state)
{
	struct fvw *v = make_view();
	struct fvw *got;
	struct pk_out o;
	GError *err = NULL;

	pk_out_init(&o);
	fvw_pack(v, &o);
	got = fvw_unpack(pk_out_view(&o), &err);
	assert_non_null(got);
	assert_int_equal(got->version, 7);
	assert_string_equal(fvw_pool_for_service(got, LSTR("z"))->name,
			    "a-draft");
	assert_null(fvw_pool_for_service(got, LSTR("a-draft")));
	assert_int_equal(fvw_vm(got, LSTR("w1"))->epoch, 3);
	assert_null(fvw_vm(got, LSTR("w")));
	assert_true(fvw_target_drained(got, LSTR("w1:8080")));
	fvw_free(got);
	fvw_free(v);
	pk_out_done(&o);
}

static void assert_refused(const struct fvw *v)
{
	struct pk_out o;
	GError *err = NULL;

	pk_out_init(&o);
	fvw_pack(v, &o);
	assert_null(fvw_unpack(pk_out_view(&o), &err));
	assert_non_null(err);
	g_clear_error(&err);
	pk_out_done(&o);
}

/*
 * Guards against placing requests by another pool's limits: a neighbour of
 * another release sends a view with two pools of one service, or with a VM in
 * a pool that does not exist. The view must be rejected completely.
 */
static void inconsistent_view_is_rejected(void **state)
{
	struct fvw *v = make_view();
	struct fvw_vm *vm = &g_array_index(v->vms, struct fvw_vm, 0);
	struct fvw_pool *p = &g_array_index(v->pools, struct fvw_pool, 0);

	vm->pool = 2;
	assert_refused(v);
	vm->pool = 1;
	p->service[0] = 'c';
	assert_refused(v);
	p->service[0] = 'z';
	p->name[0] = 'c';
	assert_refused(v);
	fvw_free(v);
}

/*
 * Guards against leaving a VM in its former pool: a voter sends a delta from
 * version 7, but the entry daemon has version 6, since the delta from 6 to 7
 * was lost. The delta must be rejected; the entry daemon's next report to the
 * voter then brings it all missing changes.
 */
static void delta_applies_to_its_base_only(void **state)
{
	struct fvw *old = make_view();
	struct fvw *changed = fvw_new(9);
	struct fvw_vm w1 = {
		.name = g_strdup("w1"), .pool = 0, .epoch = 4, .drained = true};
	struct fvw_vm w2 = {.name = g_strdup("w2"), .pool = 1, .epoch = 1};
	GPtrArray *removed = g_ptr_array_new();
	struct fvw *got;
	struct pk_out o;
	GError *err = NULL;

	g_array_append_val(changed->vms, w1);
	g_array_append_val(changed->vms, w2);
	g_ptr_array_add(removed, "w0");
	pk_out_init(&o);
	fvw_delta_pack(changed, 7, false, removed, &o);
	assert_int_equal(fvw_delta_from(pk_out_view(&o)), 7);
	got = fvw_update(old, pk_out_view(&o), &err);
	assert_non_null(got);
	assert_int_equal(got->version, 9);
	assert_int_equal(got->vms->len, 2);
	assert_int_equal(fvw_vm(got, LSTR("w1"))->epoch, 4);
	assert_int_equal(got->drained->len, 0);
	assert_string_equal(fvw_pool_for_service(got, LSTR("c"))->name,
			    "b-check");
	fvw_free(got);
	old->version = 6;
	assert_null(fvw_update(old, pk_out_view(&o), &err));
	g_clear_error(&err);
	assert_null(fvw_update(NULL, pk_out_view(&o), &err));
	g_clear_error(&err);
	pk_out_done(&o);
	g_ptr_array_free(removed, TRUE);
	fvw_free(changed);
	fvw_free(old);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(packed_view_unpacks_unchanged),
		cmocka_unit_test(inconsistent_view_is_rejected),
		cmocka_unit_test(delta_applies_to_its_base_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
