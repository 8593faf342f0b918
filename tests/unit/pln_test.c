#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fleet_make.h"

#define POOLS 5

/* A site of today: 13 racks of four in three zones, five pools. */
static struct flt *site_of_today(void)
{
	struct flt *f = fleet_make(3, 13, 4);
	int i;

	for (i = 0; i < POOLS; i++)
		fleet_pool(f, 8, 2, false);
	return f;
}

static void every_pool_keeps(const struct flt *f)
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
	struct flt *f = site_of_today();

	assert_int_equal(fleet_replan(f, &c), POOLS * 8);
	every_pool_keeps(f);
	assert_int_equal(flt_largest_loss(flt_pool(f, 1)), 1);
	assert_int_equal(fleet_replan(f, &c), 0);
	flt_free(f);
}

/*
 * A rack is lost. Callers of the pools in it see fewer VMs until others join;
 * each lacking VM must cost one move, since a plan that evens out as it goes
 * would move work that nothing has happened to.
 */
static void lost_rack_costs_one_move_a_vm(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = site_of_today();
	int lacking = 0;
	int i;

	fleet_replan(f, &c);
	flt_fail_rack(f, 2);
	for (i = 1; i <= POOLS; i++)
		lacking += MAX(0, 8 - flt_pool(f, i)->serving);
	assert_true(lacking > 0);
	assert_int_equal(fleet_replan(f, &c), lacking);
	every_pool_keeps(f);
	flt_free(f);
}

/*
 * Right after the repair of a lost rack a VM that has just joined is lost,
 * too. The pool still has its budget in that moment, and the next plan fills
 * it again out of what is spare.
 */
static void second_loss_after_repair(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = site_of_today();
	int i;

	fleet_replan(f, &c);
	flt_fail_rack(f, 0);
	fleet_replan(f, &c);
	for (i = (int)f->vms->len - 1; flt_vm(f, i)->pool != 1; i--)
		;
	flt_vm_event(f, i, FLT_FAIL);
	assert_true(flt_pool(f, 1)->serving >= flt_floor(flt_pool(f, 1)));
	assert_int_equal(fleet_replan(f, &c), 1);
	every_pool_keeps(f);
	flt_free(f);
}

/*
 * A zone is cut off for an hour. It serves on its own side; were its pools
 * refilled at once, a third of the fleet would move, and move back later.
 */
static void cut_zone_moves_nothing_while_floors_hold(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 4);
	struct pln *p;

	fleet_pool(f, 9, 4, true);
	fleet_replan(f, &c);
	flt_cut(f, 1, true);
	p = fleet_plan(f, &c, NULL);
	assert_int_equal(pln_moves(p)->len, 0);
	assert_int_equal(pln_shortages(p)->len, 0);
	pln_free(p);
	flt_cut(f, 1, false);
	every_pool_keeps(f);
	flt_free(f);
}

static void pool_survives_the_zone_it_asked_for(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 4);
	int pool = fleet_pool(f, 9, 2, true);

	fleet_replan(f, &c);
	every_pool_keeps(f);
	flt_fail_zone(f, 0);
	assert_true(flt_pool(f, pool)->serving >= 7);
	flt_free(f);
}

/*
 * The wanted number of one pool has dropped and no VM is spare. The other
 * pool gets the surplus straight from the first, with one move for each VM.
 */
static void surplus_is_shared_where_it_stands(void **state)
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
	every_pool_keeps(f);
	flt_free(f);
}

/*
 * The duty officer ranks one pool above the other while nothing is spare. It
 * is filled to its floor out of what the other may lack, never out of what
 * the other's own budget needs.
 */
static void priority_takes_what_the_other_may_lack(void **state)
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
 * One rack holds every spare VM, so none of them brings the pool through the
 * loss of that rack. Moves that don't help are taken back, else each plan
 * would move some more of them for ever; the shortage is told instead.
 */
static void moves_that_do_not_help_are_taken_back(void **state)
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
 * A VM of the plan fails, is cut off or is needed where it is before its move
 * is carried out. The move is refused then: the plan was made for a fleet
 * that is no longer so.
 */
static void move_is_checked_again_when_done(void **state)
{
	struct flt *f = site_of_today();
	int i;

	flt_vm_event(f, 7, FLT_FAIL);
	assert_int_equal(flt_move(f, 7, 1), FLT_NOT_UP);
	flt_cut(f, 0, true);
	assert_int_equal(flt_move(f, 0, 1), FLT_CUT_OFF);
	flt_cut(f, 0, false);
	for (i = 8; i < 16; i++)
		flt_put(f, i, 1);
	assert_int_equal(flt_move(f, 8, 2), FLT_BUDGET);
	flt_free(f);
}

static void declared_limits_hold_in_each_domain(void **state)
{
	struct flt *f = fleet_make(2, 4, 3);
	int pool = fleet_pool(f, 12, 8, false);
	struct flt_budget b = flt_pool(f, pool)->budget;
	int i;

	for (i = 0; i < 12; i++)
		flt_put(f, i, pool);
	b.missing_rack = 1;
	b.missing_zone = 2;
	flt_set_budget(f, pool, &b);
	assert_int_equal(flt_take(f, 0, 1), FLT_OK);
	assert_int_equal(flt_take(f, 1, 1), FLT_RACK_BUDGET);
	assert_int_equal(flt_take(f, 6, 1), FLT_OK);
	b.missing_rack = 2;
	flt_set_budget(f, pool, &b);
	assert_int_equal(flt_take(f, 7, 1), FLT_ZONE_BUDGET);
	assert_int_equal(flt_hold(f, 7, false), FLT_ZONE_BUDGET);
	assert_int_equal(flt_hold(f, 3, false), FLT_OK);
	flt_free(f);
}

/* An operator's hold is still there after the VM failed and came back. */
static void hold_outlives_a_failure(void **state)
{
	struct flt *f = site_of_today();

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
 * A wave has as much of a pool out as its budget allows when one more VM
 * fails. What is out comes back, but until then the next failure would break
 * the budget: the plan brings a VM at once, and only one.
 */
static void failure_beside_a_wave_is_repaired_at_once(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = fleet_make(3, 15, 1);
	int pool = fleet_pool(f, 10, 2, false);
	int i;

	for (i = 0; i < 12; i++)
		flt_put(f, i, pool);
	for (i = 0; i < 3; i++)
		assert_int_equal(flt_take(f, i, 1), FLT_OK);
	assert_int_equal(fleet_replan(f, &c), 0);
	flt_vm_event(f, 5, FLT_FAIL);
	assert_int_equal(fleet_replan(f, &c), 1);
	flt_free(f);
}

static void weights_decide_what_is_lent(void **state)
{
	struct pln_config harrowgate = fleet_harrowgate();
	struct pln_config jadranski = fleet_jadranski();
	struct flt *f = site_of_today();

	fleet_replan(f, &harrowgate);
	assert_int_equal(pln_lend(f, &harrowgate, 1, 6), 0);
	assert_true(pln_lend(f, &jadranski, 1, 6) > 0);
	flt_free(f);
}

static void fleet_comes_back_from_its_bytes(void **state)
{
	struct pln_config c = fleet_harrowgate();
	struct flt *f = site_of_today();
	struct pk_out a;
	struct pk_out b;
	struct flt *g;
	GError *err = NULL;

	fleet_replan(f, &c);
	flt_fail_rack(f, 4);
	flt_cut(f, 2, true);
	flt_take(f, 3, 77);
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
		cmocka_unit_test(lost_rack_costs_one_move_a_vm),
		cmocka_unit_test(second_loss_after_repair),
		cmocka_unit_test(cut_zone_moves_nothing_while_floors_hold),
		cmocka_unit_test(pool_survives_the_zone_it_asked_for),
		cmocka_unit_test(surplus_is_shared_where_it_stands),
		cmocka_unit_test(priority_takes_what_the_other_may_lack),
		cmocka_unit_test(moves_that_do_not_help_are_taken_back),
		cmocka_unit_test(move_is_checked_again_when_done),
		cmocka_unit_test(declared_limits_hold_in_each_domain),
		cmocka_unit_test(hold_outlives_a_failure),
		cmocka_unit_test(failure_beside_a_wave_is_repaired_at_once),
		cmocka_unit_test(weights_decide_what_is_lent),
		cmocka_unit_test(fleet_comes_back_from_its_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
