#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fleet_make.h"

#define POOLS 5

/*
 * Returns a site of 13 racks with four VMs each in three zones, with five
 * pools.
 */
static struct flt *make_site(void)
{
	struct flt *f = fleet_make(3, 13, 4);
	int i;

	for (i = 0; i < POOLS; i++)
		fleet_pool(f, 8, 2, false);
	return f;
}

static void check_every_pool(const struct flt *f)
{
	int i;

	for (i = 1; i < (int)f->pools->len; i++) {
		const struct flt_pool *p = flt_pool(f, i);

		assert_true(p->serving >= p->budget.wanted);
		assert_true(flt_margin(p) >= 1);
	}
}

static void pools_are_filled_and_spread(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = make_site();

	assert_int_equal(fleet_replan(f, &c), POOLS * 8);
	check_every_pool(f);
	assert_int_equal(flt_largest_loss(flt_pool(f, 1)), 1);
	assert_int_equal(fleet_replan(f, &c), 0);
	flt_free(f);
}

/*
 * Guards against plans that also even out the spread: after the loss of a rack
 * each missing VM must cost one move, and work that the loss did not affect
 * must not be moved.
 */
static void lost_rack_costs_one_move_for_each_missing_vm(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = make_site();
	int lacking = 0;
	int i;

	fleet_replan(f, &c);
	flt_fail_rack(f, 2);
	for (i = 1; i <= POOLS; i++)
		lacking += MAX(0, 8 - flt_pool(f, i)->serving);
	assert_true(lacking > 0);
	assert_int_equal(fleet_replan(f, &c), lacking);
	check_every_pool(f);
	flt_free(f);
}

/*
 * Guards against a second loss right after the repair of a lost rack, of a VM
 * that has just joined: the pool still keeps its budget then, and the next plan
 * refills it from spare VMs.
 */
static void second_loss_right_after_a_repair(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = make_site();
	int i;

	fleet_replan(f, &c);
	flt_fail_rack(f, 0);
	fleet_replan(f, &c);
	for (i = (int)f->vms->len - 1; flt_vm(f, i)->pool != 1; i--)
		;
	flt_vm_event(f, i, FLT_FAIL);
	assert_true(flt_pool(f, 1)->serving >= flt_floor(flt_pool(f, 1)));
	assert_int_equal(fleet_replan(f, &c), 1);
	check_every_pool(f);
	flt_free(f);
}

/*
 * Guards against refilling the pools of a partitioned zone, which serves on its
 * own side: a third of the fleet would move, and move back later.
 */
static void partitioned_zone_moves_nothing_while_floors_hold(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 4);
	struct pln *p;

	fleet_pool(f, 9, 4, true);
	fleet_replan(f, &c);
	flt_set_partitioned(f, 1, true);
	p = fleet_plan(f, &c, NULL);
	assert_int_equal(pln_moves(p)->len, 0);
	assert_int_equal(pln_shortages(p)->len, 0);
	pln_free(p);
	flt_set_partitioned(f, 1, false);
	check_every_pool(f);
	flt_free(f);
}

static void pool_survives_the_loss_of_a_zone(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 4);
	int pool = fleet_pool(f, 9, 2, true);

	fleet_replan(f, &c);
	check_every_pool(f);
	flt_fail_zone(f, 0);
	assert_true(flt_pool(f, pool)->serving >= 7);
	flt_free(f);
}

/*
 * With no spare VM, surplus VMs of a pool whose wanted number has dropped go to
 * another pool directly, with one move for each VM.
 */
static void surplus_vms_move_directly(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 12, 2);
	int a = fleet_pool(f, 18, 4, false);
	int b = fleet_pool(f, 6, 2, false);
	struct flt_budget budget = flt_pool(f, a)->budget;

	fleet_replan(f, &c);
	assert_int_equal(flt_pool(f, FLT_SPARE)->size, 0);
	budget.wanted = 12;
	flt_set_budget(f, a, &budget);
	flt_vm_event(f, 0, FLT_FAIL);
	flt_vm_event(f, 1, FLT_FAIL);
	fleet_replan(f, &c);
	assert_true(flt_pool(f, b)->serving >= 6);
	check_every_pool(f);
	flt_free(f);
}

/*
 * With no spare VM, a pool of higher priority is filled to its floor with VMs
 * that the other pool may lack, never with those that the other's budget needs.
 */
static void priority_pool_gets_vms_the_other_may_lack(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 12, 1);
	int a = fleet_pool(f, 12, 3, false);
	int b = fleet_pool(f, 4, 0, false);
	struct flt_budget budget = flt_pool(f, a)->budget;
	struct pln *p;

	budget.priority = 9;
	flt_set_budget(f, a, &budget);
	fleet_replan(f, &c);
	assert_int_equal(flt_pool(f, a)->serving, 12);
	budget.priority = -1;
	flt_set_budget(f, a, &budget);
	p = fleet_plan(f, &c, NULL);
	assert_true(pln_shortages(p)->len > 0);
	assert_true(fleet_survives(pln_after(p), a));
	pln_free(p);
	fleet_replan(f, &c);
	assert_int_equal(flt_pool(f, b)->serving, 2);
	assert_int_equal(flt_margin(flt_pool(f, a)), 0);
	assert_true(fleet_survives(f, a));
	flt_free(f);
}

/*
 * Guards against plans that move VMs for ever: all spare VMs are in one rack,
 * so none of them lets the pool survive the loss of that rack. Moves that do
 * not help are undone, and the shortage is reported instead.
 */
static void moves_that_do_not_help_are_undone(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(1, 1, 9);
	struct pln *p;

	fleet_pool(f, 2, 1, false);
	p = fleet_plan(f, &c, NULL);
	assert_int_equal(pln_moves(p)->len, 2);
	assert_int_equal(flt_pool(pln_after(p), 1)->size, 2);
	assert_int_equal(pln_shortages(p)->len, 1);
	pln_free(p);
	flt_free(f);
}

/*
 * Guards against an outdated plan: a move is refused if its VM has failed, is
 * in a partitioned zone, or is needed in its pool by then.
 */
static void outdated_move_is_refused(void **state)
{
	struct flt *f = make_site();
	int i;

	flt_vm_event(f, 7, FLT_FAIL);
	assert_int_equal(flt_move(f, 7, 1), FLT_NOT_UP);
	flt_set_partitioned(f, 0, true);
	assert_int_equal(flt_move(f, 0, 1), FLT_PARTITIONED);
	flt_set_partitioned(f, 0, false);
	for (i = 8; i < 16; i++)
		flt_assign(f, i, 1);
	assert_int_equal(flt_move(f, 8, 2), FLT_BUDGET);
	flt_free(f);
}

static void limits_hold_in_each_failure_domain(void **state)
{
	struct flt *f = fleet_make(2, 4, 3);
	int pool = fleet_pool(f, 12, 8, false);
	struct flt_budget b = flt_pool(f, pool)->budget;
	int i;

	for (i = 0; i < 12; i++)
		flt_assign(f, i, pool);
	b.missing_rack = 1;
	b.missing_zone = 2;
	flt_set_budget(f, pool, &b);
	assert_int_equal(flt_claim(f, 0, 1), FLT_OK);
	assert_int_equal(flt_claim(f, 1, 1), FLT_RACK_BUDGET);
	assert_int_equal(flt_claim(f, 6, 1), FLT_OK);
	b.missing_rack = 2;
	flt_set_budget(f, pool, &b);
	assert_int_equal(flt_claim(f, 7, 1), FLT_ZONE_BUDGET);
	assert_int_equal(flt_hold(f, 7, false), FLT_ZONE_BUDGET);
	assert_int_equal(flt_hold(f, 3, false), FLT_OK);
	flt_free(f);
}

/* An operator's hold remains in force after the VM failed and came back. */
static void hold_remains_after_a_failure(void **state)
{
	struct flt *f = make_site();

	assert_int_equal(flt_hold(f, 3, false), FLT_OK);
	flt_vm_event(f, 3, FLT_FAIL);
	flt_vm_event(f, 3, FLT_BOOTED);
	flt_vm_event(f, 3, FLT_HEALTHY);
	assert_int_equal(flt_vm(f, 3)->state, FLT_HELD);
	flt_unhold(f, 3);
	assert_int_equal(flt_vm(f, 3)->state, FLT_UP);
	flt_free(f);
}

/*
 * A wave has as many VMs of a pool in maintenance as the budget allows when one
 * more VM fails. They will come back, but until then the next failure would
 * break the budget: the plan adds one VM at once, and only one.
 */
static void failure_during_a_wave_is_repaired_at_once(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 1);
	int pool = fleet_pool(f, 10, 2, false);
	int i;

	for (i = 0; i < 12; i++)
		flt_assign(f, i, pool);
	for (i = 0; i < 3; i++)
		assert_int_equal(flt_claim(f, i, 1), FLT_OK);
	assert_int_equal(fleet_replan(f, &c), 0);
	flt_vm_event(f, 5, FLT_FAIL);
	assert_int_equal(fleet_replan(f, &c), 1);
	flt_free(f);
}

static void weights_decide_the_number_of_lent_vms(void **state)
{
	struct pln_config harrowgate = fleet_harrowgate();
	struct pln_config jadranski = fleet_jadranski();
	struct flt *f = make_site();

	fleet_replan(f, &harrowgate);
	assert_int_equal(pln_lend(f, &harrowgate, 1, 6), 0);
	assert_true(pln_lend(f, &jadranski, 1, 6) > 0);
	flt_free(f);
}

static void packed_fleet_is_restored(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = make_site();
	struct pk_out a;
	struct pk_out b;
	struct flt *g;
	GError *err = NULL;

	fleet_replan(f, &c);
	flt_fail_rack(f, 4);
	flt_set_partitioned(f, 2, true);
	flt_claim(f, 3, 77);
	pk_out_init(&a);
	pk_out_init(&b);
	flt_pack(f, &a);
	g = flt_unpack(pk_out_view(&a), NULL);
	assert_non_null(g);
	flt_pack(g, &b);
	assert_true(lstr_eq(pk_out_view(&a), pk_out_view(&b)));
	assert_int_equal(flt_margin(flt_pool(f, 2)),
			 flt_margin(flt_pool(g, 2)));
	assert_null(flt_unpack(lstr_n(a.buf.data, a.buf.size - 3), &err));
	g_error_free(err);
	pk_out_done(&a);
	pk_out_done(&b);
	flt_free(f);
	flt_free(g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(pools_are_filled_and_spread),
		cmocka_unit_test(lost_rack_costs_one_move_for_each_missing_vm),
		cmocka_unit_test(second_loss_right_after_a_repair),
		cmocka_unit_test(
			partitioned_zone_moves_nothing_while_floors_hold),
		cmocka_unit_test(pool_survives_the_loss_of_a_zone),
		cmocka_unit_test(surplus_vms_move_directly),
		cmocka_unit_test(priority_pool_gets_vms_the_other_may_lack),
		cmocka_unit_test(moves_that_do_not_help_are_undone),
		cmocka_unit_test(outdated_move_is_refused),
		cmocka_unit_test(limits_hold_in_each_failure_domain),
		cmocka_unit_test(hold_remains_after_a_failure),
		cmocka_unit_test(failure_during_a_wave_is_repaired_at_once),
		cmocka_unit_test(weights_decide_the_number_of_lent_vms),
		cmocka_unit_test(packed_fleet_is_restored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
