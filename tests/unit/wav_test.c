#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fake_platform.h"
#include "fleet_make.h"

#define TICK_MS 10000
#define HOUR_TICKS 360
#define DAY_TICKS (24 * HOUR_TICKS)
#define VMS 60

/* A fleet with two pools, a wave over all VMs, and the fake platform. */
struct fixture {
	struct flt *f;
	struct wav *w;
	struct fake *p;
	struct wav_out out;
	int64_t now;
	bool restarts; /* the control daemon is restarted after each tick */
};

static struct fixture *fixture_new_halting(int halt_after)
{
	struct fixture *r = g_new0(struct fixture, 1);
	struct pln_config plan = fleet_harrowgate();
	struct wav_config c = fake_wave_config();
	int vms[VMS];
	int i;

	c.halt_after = halt_after;
	r->f = fleet_make(3, 15, 4);
	fleet_pool(r->f, 24, 4, false);
	fleet_pool(r->f, 20, 12, true);
	fleet_replan(r->f, &plan);
	for (i = 0; i < VMS; i++)
		vms[i] = i;
	r->w = wav_new(7, &c, vms, VMS);
	r->p = fake_new(VMS, 5);
	wav_out_init(&r->out);
	r->now = 1000;
	assert_true(wav_command(r->w, WAV_START, LSTR("ana"), &r->out));
	return r;
}

static struct fixture *fixture_new(void)
{
	return fixture_new_halting(3);
}

static void fixture_free(struct fixture *r)
{
	flt_free(r->f);
	wav_free(r->w);
	fake_free(r->p);
	wav_out_done(&r->out);
	g_free(r);
}

/*
 * Replaces the fleet and the wave by what their packed bytes contain, as a
 * restart does.
 */
static void fixture_restart(struct fixture *r)
{
	struct pk_out o;

	pk_out_init(&o);
	flt_pack(r->f, &o);
	flt_free(r->f);
	r->f = flt_unpack(pk_out_view(&o), NULL);
	pk_out_done(&o);
	pk_out_init(&o);
	wav_pack(r->w, &o);
	wav_free(r->w);
	r->w = wav_unpack(pk_out_view(&o), NULL);
	pk_out_done(&o);
	assert_non_null(r->f);
	assert_non_null(r->w);
}

static struct wav_status fixture_status(const struct fixture *r)
{
	struct wav_status s;

	wav_status(r->w, &s);
	return s;
}

static void fixture_run(struct fixture *r, int ticks)
{
	int i;

	while (ticks-- > 0 && fixture_status(r).state != WAV_DONE) {
		r->now += TICK_MS;
		fake_tick(r->p, r->w, r->f, r->now, &r->out);
		for (i = 1; i < (int)r->f->pools->len; i++)
			assert_true(flt_pool(r->f, i)->serving >=
				    flt_floor(flt_pool(r->f, i)));
		if (r->restarts)
			fixture_restart(r);
	}
}

static int fixture_count_at(const struct fixture *r, enum wav_step step)
{
	return fixture_status(r).by_step[step];
}

static void fixture_run_until(struct fixture *r, enum wav_step step, int n)
{
	int i;

	for (i = 0; i < DAY_TICKS && fixture_count_at(r, step) < n; i++)
		fixture_run(r, 1);
	assert_true(fixture_count_at(r, step) >= n);
}

static int fixture_find_vm(const struct fixture *r, enum flt_state state,
			   int pool)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (flt_vm(r->f, i)->state == state &&
		    flt_vm(r->f, i)->pool == pool)
			return i;
	return -1;
}

/* Runs until a VM reboots; returns its index. */
static int fixture_run_until_reboot(struct fixture *r)
{
	int vm = -1;

	while (vm < 0) {
		fixture_run(r, 1);
		vm = MAX(fixture_find_vm(r, FLT_REBOOTING, 1),
			 fixture_find_vm(r, FLT_REBOOTING, 2));
	}
	return vm;
}

static void fixture_check_reboots(const struct fixture *r, int most)
{
	int i;

	for (i = 0; i < VMS; i++)
		assert_true(r->p->reboots[i] <= most);
}

static void each_vm_is_maintained_once(void **state)
{
	struct fixture *r = fixture_new();
	int i;

	fixture_run(r, DAY_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_DONE);
	for (i = 0; i < VMS; i++) {
		assert_int_equal(r->p->reboots[i], 1);
		assert_true(flt_vm(r->f, i)->maintained_ms > 0);
		assert_int_equal(flt_vm(r->f, i)->wave, FLT_NO_WAVE);
	}
	fixture_free(r);
}

/*
 * Guards against requests that a restart loses or repeats; here the control
 * daemon restarts after every tick, and one in five requests and replies is
 * lost. A lost request would leave its VM drained for ever; one repeated under
 * a new key would reboot the VM under work.
 */
static void restarts_neither_repeat_nor_lose_requests(void **state)
{
	struct fixture *r = fixture_new();
	int i;

	r->restarts = true;
	r->p->lost_percent = 20;
	fixture_run(r, 2 * DAY_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_DONE);
	for (i = 0; i < VMS; i++)
		assert_int_equal(r->p->reboots[i], 1);
	fixture_free(r);
}

/*
 * Guards against reboots after a failure: VMs of a pool are draining when
 * others of the pool fail. A VM that is not rebooting yet returns to service at
 * once; were it rebooted, the loss of one more rack would break the budget.
 */
static void failure_while_draining_returns_the_vm(void **state)
{
	struct fixture *r = fixture_new();
	int vm;

	fixture_run_until(r, WAV_DRAIN, 1);
	vm = fixture_find_vm(r, FLT_DRAINING, 1);
	if (vm < 0)
		vm = fixture_find_vm(r, FLT_DRAINING, 2);
	assert_true(vm >= 0);
	while (flt_check_budget(r->f, vm) == FLT_OK)
		flt_vm_event(r->f,
			     fixture_find_vm(r, FLT_UP, flt_vm(r->f, vm)->pool),
			     FLT_FAIL);
	wav_out_clear(&r->out);
	wav_tick(r->w, r->f, r->now + 1, &r->out);
	assert_true(fixture_count_at(r, WAV_GIVE_BACK) >= 1);
	assert_int_equal(r->p->reboots[vm], 0);
	fixture_free(r);
}

/*
 * Guards against a failure that arrives with the reply "drained" between two
 * ticks: the reply is the last moment at which the VM can return to service, so
 * the budget must be checked there, too.
 */
static void reply_after_a_failure_does_not_reboot(void **state)
{
	struct fixture *r = fixture_new();
	struct wav_reply reply = {.ok = true};
	int vm;

	fixture_run(r, 1);
	vm = fixture_find_vm(r, FLT_DRAINING, 1);
	reply.request = (struct wav_request){7, vm, WAV_DRAIN, 1};
	while (flt_check_budget(r->f, vm) == FLT_OK)
		flt_vm_event(r->f, fixture_find_vm(r, FLT_UP, 1), FLT_FAIL);
	wav_reply(r->w, r->f, &reply, r->now, &r->out);
	assert_int_equal(fixture_count_at(r, WAV_REBOOT), 0);
	assert_int_equal(fixture_count_at(r, WAV_GIVE_BACK), 1);
	fixture_free(r);
}

/*
 * Guards against a bad image: if no VM gets healthy, the wave must halt after
 * halt_after failures and lose no more VMs, though budgets would allow more.
 */
static void bad_image_halts_after_the_stated_number(void **state)
{
	struct fixture *r = fixture_new();
	struct wav_status s;

	r->p->bad_percent = 100;
	fixture_run(r, DAY_TICKS);
	s = fixture_status(r);
	assert_int_equal(s.state, WAV_HALTED);
	assert_int_equal(s.by_step[WAV_FAILED], 3);
	assert_int_equal(s.by_step[WAV_WAITING], VMS - 3);
	assert_non_null(strstr(s.reason, "3 VMs failed"));
	assert_non_null(strstr(s.reason, "is not healthy"));
	fixture_free(r);
}

/*
 * Guards against an image that passes the health check and fails under work a
 * minute later: VMs that have already returned still count against it.
 */
static void failure_soon_after_return_counts(void **state)
{
	struct fixture *r = fixture_new();
	int i;
	int vm;

	for (i = 0; i < DAY_TICKS; i++) {
		fixture_run(r, 1);
		for (vm = 0; vm < VMS; vm++)
			if (flt_vm(r->f, vm)->maintained_ms == r->now)
				flt_vm_event(r->f, vm, FLT_FAIL);
	}
	assert_int_equal(fixture_status(r).state, WAV_HALTED);
	assert_int_equal(fixture_count_at(r, WAV_MAINTAINED), 3);
	assert_non_null(strstr(fixture_status(r).reason, "after its return"));
	fixture_free(r);
}

static int fixture_find_unproven(const struct fixture *r)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (flt_vm(r->f, i)->maintained_ms > r->now - 60000 &&
		    flt_vm(r->f, i)->maintained_ms > 0)
			return i;
	return -1;
}

/*
 * Guards against draining VMs that are rebooted into a bad image after the wave
 * has halted.
 */
static void halt_returns_draining_vms(void **state)
{
	struct fixture *r = fixture_new_halting(1);
	int drains;
	int i;

	for (i = 0; i < DAY_TICKS; i++) {
		fixture_run(r, 1);
		if (fixture_count_at(r, WAV_DRAIN) &&
		    fixture_find_unproven(r) >= 0)
			break;
	}
	drains = fixture_count_at(r, WAV_DRAIN);
	assert_true(drains > 0);
	flt_vm_event(r->f, fixture_find_unproven(r), FLT_FAIL);
	fixture_run(r, 1);
	assert_int_equal(fixture_status(r).state, WAV_HALTED);
	fixture_run(r, 1);
	assert_int_equal(fixture_count_at(r, WAV_DRAIN), 0);
	fixture_run(r, HOUR_TICKS);
	assert_int_equal(fixture_count_at(r, WAV_REBOOT), 0);
	fixture_free(r);
}

static void abort_returns_draining_vms(void **state)
{
	struct fixture *r = fixture_new();

	fixture_run_until(r, WAV_DRAIN, 3);
	assert_true(wav_command(r->w, WAV_ABORT, LSTR("ana"), &r->out));
	fixture_run(r, HOUR_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_ABORTED);
	assert_int_equal(fixture_count_at(r, WAV_WAITING), VMS);
	fixture_check_reboots(r, 0);
	fixture_free(r);
}

/*
 * A rack is lost with VMs of the wave in it. That is no fault of the image: the
 * wave goes on elsewhere, and the VMs wait for their repair.
 */
static void lost_rack_does_not_halt(void **state)
{
	struct fixture *r = fixture_new();
	int vm = fixture_run_until_reboot(r);
	int rack;
	int i;

	rack = flt_vm(r->f, vm)->rack;
	flt_fail_rack(r->f, rack);
	fixture_run(r, 1);
	assert_int_equal(fixture_status(r).failures, 0);
	assert_int_equal(fixture_count_at(r, WAV_FAILED), 0);
	for (i = 0; i < VMS; i++) {
		if (flt_vm(r->f, i)->rack != rack)
			continue;
		flt_vm_event(r->f, i, FLT_BOOTED);
		flt_vm_event(r->f, i, FLT_HEALTHY);
	}
	fixture_run(r, DAY_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_DONE);
	assert_int_equal(fixture_count_at(r, WAV_MAINTAINED), VMS);
	fixture_free(r);
}

/*
 * A zone is partitioned for hours. No VM is taken down in it, no request is
 * sent to it, and missing replies do not count against the image; after the
 * partition the wave continues.
 */
static void partitioned_zone_is_left_alone(void **state)
{
	struct fixture *r = fixture_new();
	int zone = flt_rack_of(r->f, fixture_run_until_reboot(r))->zone;
	const struct wav_request *request;
	guint i;
	int t;

	flt_set_partitioned(r->f, zone, true);
	for (t = 0; t < 6 * HOUR_TICKS; t++) {
		r->now += TICK_MS;
		wav_out_clear(&r->out);
		wav_tick(r->w, r->f, r->now, &r->out);
		for (i = 0; i < r->out.requests->len; i++) {
			request = &g_array_index(r->out.requests,
						 struct wav_request, i);
			assert_false(
				flt_zone_of(r->f, request->vm)->partitioned);
		}
	}
	flt_set_partitioned(r->f, zone, false);
	wav_tick(r->w, r->f, r->now + 1, &r->out);
	for (t = 0; t < VMS; t++)
		if (flt_rack_of(r->f, t)->zone == zone)
			assert_int_not_equal(flt_vm(r->f, t)->state, FLT_DOWN);
	fixture_run(r, DAY_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_DONE);
	fixture_check_reboots(r, 1);
	fixture_free(r);
}

/*
 * Guards against a second wave that takes a VM which failed during the first
 * wave's maintenance and was repaired before the first wave's next tick: the
 * first would see it drain and continue with it as its own.
 */
static void vm_in_maintenance_is_refused_to_another_wave(void **state)
{
	struct fixture *r = fixture_new();
	int vm = fixture_run_until_reboot(r);

	flt_vm_event(r->f, vm, FLT_FAIL);
	flt_vm_event(r->f, vm, FLT_BOOTED);
	flt_vm_event(r->f, vm, FLT_HEALTHY);
	assert_int_equal(flt_claim(r->f, vm, 8), FLT_IN_WAVE);
	assert_int_equal(flt_move(r->f, vm, 2), FLT_IN_WAVE);
	fixture_free(r);
}

/*
 * Guards against moves that replace VMs which are in maintenance and return in
 * minutes: each VM of the fleet would cost a move in every wave.
 */
static void planner_does_not_replace_vms_in_maintenance(void **state)
{
	struct fixture *r = fixture_new();
	struct pln_config c = fleet_harrowgate();
	int vm = fixture_run_until_reboot(r);

	assert_int_equal(fleet_replan(r->f, &c), 0);
	while (flt_margin(flt_pool(r->f, flt_vm(r->f, vm)->pool)) >= 0)
		flt_vm_event(r->f,
			     fixture_find_vm(r, FLT_UP, flt_vm(r->f, vm)->pool),
			     FLT_FAIL);
	assert_true(fleet_replan(r->f, &c) > 0);
	fixture_free(r);
}

static void paused_wave_starts_no_drain_until_resumed(void **state)
{
	struct fixture *r = fixture_new();
	int waiting;

	fixture_run_until(r, WAV_MAINTAINED, 2);
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ana"), &r->out));
	waiting = fixture_count_at(r, WAV_WAITING);
	fixture_run(r, HOUR_TICKS);
	assert_int_equal(fixture_count_at(r, WAV_WAITING), waiting);
	assert_int_equal(fixture_count_at(r, WAV_MAINTAINED), VMS - waiting);
	assert_true(wav_command(r->w, WAV_RESUME, LSTR("ana"), &r->out));
	fixture_run(r, DAY_TICKS);
	assert_int_equal(fixture_status(r).state, WAV_DONE);
	fixture_check_reboots(r, 1);
	fixture_free(r);
}

/*
 * Operators send commands again when an answer was lost, and race with each
 * other.
 */
static void repeated_commands_change_nothing(void **state)
{
	struct fixture *r = fixture_new();

	assert_true(wav_command(r->w, WAV_START, LSTR("ana"), &r->out));
	assert_int_equal(fixture_status(r).state, WAV_RUNNING);
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ana"), &r->out));
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ivo"), &r->out));
	assert_true(wav_command(r->w, WAV_START, LSTR("ana"), &r->out));
	assert_int_equal(fixture_status(r).state, WAV_PAUSED);
	assert_true(wav_command(r->w, WAV_ABORT, LSTR("ivo"), &r->out));
	assert_false(wav_command(r->w, WAV_RESUME, LSTR("ana"), &r->out));
	fixture_free(r);
}

/*
 * Guards against two waves with the same VMs that together break a budget: each
 * VM is in one wave's maintenance at a time, and both count on the same fleet.
 */
static void two_waves_share_one_budget(void **state)
{
	struct fixture *r = fixture_new();
	struct wav_config c = fake_wave_config();
	struct fake *p = fake_new(VMS, 9);
	int vms[VMS];
	struct wav *other;
	int i;

	for (i = 0; i < VMS; i++)
		vms[i] = VMS - 1 - i;
	other = wav_new(8, &c, vms, VMS);
	assert_true(wav_command(other, WAV_START, LSTR("ivo"), &r->out));
	for (i = 0; i < 2 * DAY_TICKS; i++) {
		fixture_run(r, 1);
		fake_tick(p, other, r->f, r->now, &r->out);
		assert_true(flt_margin(flt_pool(r->f, 1)) >= 0);
		assert_true(flt_margin(flt_pool(r->f, 2)) >= 0);
		r->now += TICK_MS;
	}
	assert_int_equal(fixture_count_at(r, WAV_MAINTAINED), VMS);
	for (i = 0; i < VMS; i++)
		assert_int_equal(r->p->reboots[i] + p->reboots[i], 2);
	wav_free(other);
	fake_free(p);
	fixture_free(r);
}

/*
 * Guards against interrupting work that does not end within the drain timeout:
 * the VM returns to service, and the wave gives up on it after three drains.
 */
static void drain_timeout_returns_the_vm(void **state)
{
	struct fixture *r = fixture_new();

	r->p->step_ms = 60 * 60000;
	fixture_run(r, 8 * DAY_TICKS);
	fixture_check_reboots(r, 0);
	assert_true(fixture_count_at(r, WAV_FAILED) > 0);
	assert_int_equal(fixture_status(r).failures, 0);
	fixture_free(r);
}

static void damaged_bytes_are_refused(void **state)
{
	struct fixture *r = fixture_new();
	struct pk_out o;
	GError *err = NULL;

	pk_out_init(&o);
	wav_pack(r->w, &o);
	assert_null(wav_unpack(lstr_n(o.buf.data, o.buf.size - 1), &err));
	g_error_free(err);
	pk_out_done(&o);
	fixture_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_vm_is_maintained_once),
		cmocka_unit_test(restarts_neither_repeat_nor_lose_requests),
		cmocka_unit_test(failure_while_draining_returns_the_vm),
		cmocka_unit_test(reply_after_a_failure_does_not_reboot),
		cmocka_unit_test(bad_image_halts_after_the_stated_number),
		cmocka_unit_test(failure_soon_after_return_counts),
		cmocka_unit_test(halt_returns_draining_vms),
		cmocka_unit_test(abort_returns_draining_vms),
		cmocka_unit_test(lost_rack_does_not_halt),
		cmocka_unit_test(partitioned_zone_is_left_alone),
		cmocka_unit_test(vm_in_maintenance_is_refused_to_another_wave),
		cmocka_unit_test(planner_does_not_replace_vms_in_maintenance),
		cmocka_unit_test(paused_wave_starts_no_drain_until_resumed),
		cmocka_unit_test(repeated_commands_change_nothing),
		cmocka_unit_test(two_waves_share_one_budget),
		cmocka_unit_test(drain_timeout_returns_the_vm),
		cmocka_unit_test(damaged_bytes_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
