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

/* A fleet with two pools, a wave over every VM, and the platform. */
struct rig {
	struct flt *f;
	struct wav *w;
	struct fake *p;
	struct wav_out out;
	int64_t now;
	bool restarts; /* the control daemon restarts after each tick */
};

static struct rig *rig_new_halting(int halt_after)
{
	struct rig *r = g_new0(struct rig, 1);
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

static struct rig *rig_new(void)
{
	return rig_new_halting(3);
}

static void rig_free(struct rig *r)
{
	flt_free(r->f);
	wav_free(r->w);
	fake_free(r->p);
	wav_out_done(&r->out);
	g_free(r);
}

/* Every restart forgets all but the bytes. */
static void rig_restart(struct rig *r)
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

static struct wav_status rig_status(const struct rig *r)
{
	struct wav_status s;

	wav_status(r->w, &s);
	return s;
}

static void rig_run(struct rig *r, int ticks)
{
	int i;

	while (ticks-- > 0 && rig_status(r).state != WAV_DONE) {
		r->now += TICK_MS;
		fake_tick(r->p, r->w, r->f, r->now, &r->out);
		for (i = 1; i < (int)r->f->pools->len; i++)
			assert_true(flt_pool(r->f, i)->serving >=
				    flt_floor(flt_pool(r->f, i)));
		if (r->restarts)
			rig_restart(r);
	}
}

static int rig_at(const struct rig *r, enum wav_step step)
{
	return rig_status(r).by_step[step];
}

static void rig_run_until(struct rig *r, enum wav_step step, int n)
{
	int i;

	for (i = 0; i < DAY_TICKS && rig_at(r, step) < n; i++)
		rig_run(r, 1);
	assert_true(rig_at(r, step) >= n);
}

static int rig_find(const struct rig *r, enum flt_state state, int pool)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (flt_vm(r->f, i)->state == state &&
		    flt_vm(r->f, i)->pool == pool)
			return i;
	return -1;
}

/* Runs until a VM of a pool reboots; which one. */
static int rig_reboot_begun(struct rig *r)
{
	int vm = -1;

	while (vm < 0) {
		rig_run(r, 1);
		vm = MAX(rig_find(r, FLT_REBOOTING, 1),
			 rig_find(r, FLT_REBOOTING, 2));
	}
	return vm;
}

static void rig_reboots(const struct rig *r, int most)
{
	int i;

	for (i = 0; i < VMS; i++)
		assert_true(r->p->reboots[i] <= most);
}

static void every_vm_is_maintained_once(void **state)
{
	struct rig *r = rig_new();
	int i;

	rig_run(r, DAY_TICKS);
	assert_int_equal(rig_status(r).state, WAV_DONE);
	for (i = 0; i < VMS; i++) {
		assert_int_equal(r->p->reboots[i], 1);
		assert_true(flt_vm(r->f, i)->maintained_ms > 0);
		assert_int_equal(flt_vm(r->f, i)->wave, FLT_NO_WAVE);
	}
	rig_free(r);
}

/*
 * The control daemon restarts after every single tick, and one in five acts
 * and replies is lost. Were an act forgotten, its VM would stay drained for
 * ever; were one repeated under a new key, the VM would reboot under work.
 */
static void restarts_repeat_none_and_forget_none(void **state)
{
	struct rig *r = rig_new();
	int i;

	r->restarts = true;
	r->p->lost_percent = 20;
	rig_run(r, 2 * DAY_TICKS);
	assert_int_equal(rig_status(r).state, WAV_DONE);
	for (i = 0; i < VMS; i++)
		assert_int_equal(r->p->reboots[i], 1);
	rig_free(r);
}

/*
 * VMs of a pool are draining when others of it fail. What is not rebooting
 * yet goes back to work at once: were it rebooted, the loss of one more rack
 * would break the budget, and our own act would be the cause.
 */
static void failure_while_draining_gives_back(void **state)
{
	struct rig *r = rig_new();
	int vm;

	rig_run_until(r, WAV_DRAIN, 1);
	vm = rig_find(r, FLT_DRAINING, 1);
	if (vm < 0)
		vm = rig_find(r, FLT_DRAINING, 2);
	assert_true(vm >= 0);
	while (flt_kept(r->f, vm) == FLT_OK)
		flt_vm_event(r->f, rig_find(r, FLT_UP, flt_vm(r->f, vm)->pool),
			     FLT_FAIL);
	wav_out_clear(&r->out);
	wav_tick(r->w, r->f, r->now + 1, &r->out);
	assert_true(rig_at(r, WAV_GIVE_BACK) >= 1);
	assert_int_equal(r->p->reboots[vm], 0);
	rig_free(r);
}

/*
 * A failure and the reply "drained" arrive between two ticks. The reply is
 * the last moment at which the VM can be had back, so the budget is looked at
 * there, too.
 */
static void reply_after_a_failure_does_not_reboot(void **state)
{
	struct rig *r = rig_new();
	struct wav_reply reply = {.ok = true};
	int vm;

	rig_run(r, 1);
	vm = rig_find(r, FLT_DRAINING, 1);
	reply.act = (struct wav_act){7, vm, WAV_DRAIN, 1};
	while (flt_kept(r->f, vm) == FLT_OK)
		flt_vm_event(r->f, rig_find(r, FLT_UP, 1), FLT_FAIL);
	wav_reply(r->w, r->f, &reply, r->now, &r->out);
	assert_int_equal(rig_at(r, WAV_REBOOT), 0);
	assert_int_equal(rig_at(r, WAV_GIVE_BACK), 1);
	rig_free(r);
}

/*
 * An image that never gets healthy: the wave must stop after the stated
 * number and lose no VM more than that, though budgets would allow more.
 */
static void bad_image_halts_after_the_stated_number(void **state)
{
	struct rig *r = rig_new();
	struct wav_status s;

	r->p->bad_percent = 100;
	rig_run(r, DAY_TICKS);
	s = rig_status(r);
	assert_int_equal(s.state, WAV_HALTED);
	assert_int_equal(s.by_step[WAV_FAILED], 3);
	assert_int_equal(s.by_step[WAV_WAITING], VMS - 3);
	assert_non_null(strstr(s.reason, "3 VMs failed"));
	assert_non_null(strstr(s.reason, "is not healthy"));
	rig_free(r);
}

/*
 * An image that passes the health check and fails under work a minute later.
 * The VMs have left the wave's hands by then and still count against it.
 */
static void failure_soon_after_return_counts(void **state)
{
	struct rig *r = rig_new();
	int i;
	int vm;

	for (i = 0; i < DAY_TICKS; i++) {
		rig_run(r, 1);
		for (vm = 0; vm < VMS; vm++)
			if (flt_vm(r->f, vm)->maintained_ms == r->now)
				flt_vm_event(r->f, vm, FLT_FAIL);
	}
	assert_int_equal(rig_status(r).state, WAV_HALTED);
	assert_int_equal(rig_at(r, WAV_MAINTAINED), 3);
	assert_non_null(strstr(rig_status(r).reason, "after its return"));
	rig_free(r);
}

static int rig_find_proving(const struct rig *r)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (flt_vm(r->f, i)->maintained_ms > r->now - 60000 &&
		    flt_vm(r->f, i)->maintained_ms > 0)
			return i;
	return -1;
}

/*
 * When the wave halts, other VMs are draining. They must not be rebooted
 * into the image that has just been found bad.
 */
static void halt_gives_back_what_drains(void **state)
{
	struct rig *r = rig_new_halting(1);
	int drains;
	int i;

	for (i = 0; i < DAY_TICKS; i++) {
		rig_run(r, 1);
		if (rig_at(r, WAV_DRAIN) && rig_find_proving(r) >= 0)
			break;
	}
	drains = rig_at(r, WAV_DRAIN);
	assert_true(drains > 0);
	flt_vm_event(r->f, rig_find_proving(r), FLT_FAIL);
	rig_run(r, 1);
	assert_int_equal(rig_status(r).state, WAV_HALTED);
	rig_run(r, 1);
	assert_int_equal(rig_at(r, WAV_DRAIN), 0);
	rig_run(r, HOUR_TICKS);
	assert_int_equal(rig_at(r, WAV_REBOOT), 0);
	rig_free(r);
}

static void abort_calls_back_what_drains(void **state)
{
	struct rig *r = rig_new();

	rig_run_until(r, WAV_DRAIN, 3);
	assert_true(wav_command(r->w, WAV_ABORT, LSTR("ana"), &r->out));
	rig_run(r, HOUR_TICKS);
	assert_int_equal(rig_status(r).state, WAV_ABORTED);
	assert_int_equal(rig_at(r, WAV_WAITING), VMS);
	rig_reboots(r, 0);
	rig_free(r);
}

/*
 * A rack is lost with VMs of the wave in it. That is no fault of the image:
 * the wave goes on elsewhere, and the VMs wait for their repair.
 */
static void lost_rack_does_not_halt(void **state)
{
	struct rig *r = rig_new();
	int vm = rig_reboot_begun(r);
	int rack;
	int i;

	rack = flt_vm(r->f, vm)->rack;
	flt_fail_rack(r->f, rack);
	rig_run(r, 1);
	assert_int_equal(rig_status(r).failures, 0);
	assert_int_equal(rig_at(r, WAV_FAILED), 0);
	for (i = 0; i < VMS; i++) {
		if (flt_vm(r->f, i)->rack != rack)
			continue;
		flt_vm_event(r->f, i, FLT_BOOTED);
		flt_vm_event(r->f, i, FLT_HEALTHY);
	}
	rig_run(r, DAY_TICKS);
	assert_int_equal(rig_status(r).state, WAV_DONE);
	assert_int_equal(rig_at(r, WAV_MAINTAINED), VMS);
	rig_free(r);
}

/*
 * A zone is cut off for hours. Nothing is taken down in it, nothing is told
 * to it, and its silence is not held against the image; after the cut the
 * wave goes on where it was.
 */
static void cut_zone_is_left_alone(void **state)
{
	struct rig *r = rig_new();
	int zone = flt_rack_of(r->f, rig_reboot_begun(r))->zone;
	const struct wav_act *act;
	guint i;
	int t;

	flt_cut(r->f, zone, true);
	for (t = 0; t < 6 * HOUR_TICKS; t++) {
		r->now += TICK_MS;
		wav_out_clear(&r->out);
		wav_tick(r->w, r->f, r->now, &r->out);
		for (i = 0; i < r->out.acts->len; i++) {
			act = &g_array_index(r->out.acts, struct wav_act, i);
			assert_false(flt_zone_of(r->f, act->vm)->cut);
		}
	}
	flt_cut(r->f, zone, false);
	wav_tick(r->w, r->f, r->now + 1, &r->out);
	for (t = 0; t < VMS; t++)
		if (flt_rack_of(r->f, t)->zone == zone)
			assert_int_not_equal(flt_vm(r->f, t)->state, FLT_DOWN);
	rig_run(r, DAY_TICKS);
	assert_int_equal(rig_status(r).state, WAV_DONE);
	rig_reboots(r, 1);
	rig_free(r);
}

/*
 * A VM fails in the hands of one wave and is repaired before that wave's next
 * tick. Another wave must not take it: the first would then see it drain and
 * go on with it as its own.
 */
static void vm_in_hand_is_not_taken_by_another_wave(void **state)
{
	struct rig *r = rig_new();
	int vm = rig_reboot_begun(r);

	flt_vm_event(r->f, vm, FLT_FAIL);
	flt_vm_event(r->f, vm, FLT_BOOTED);
	flt_vm_event(r->f, vm, FLT_HEALTHY);
	assert_int_equal(flt_take(r->f, vm, 8), FLT_TAKEN);
	assert_int_equal(flt_move(r->f, vm, 2), FLT_TAKEN);
	rig_free(r);
}

/*
 * The planner runs while a wave has VMs out. It must not replace what comes
 * back in minutes: each VM of the fleet would cost a move in every wave.
 */
static void planner_does_not_replace_what_a_wave_has_out(void **state)
{
	struct rig *r = rig_new();
	struct pln_config c = fleet_harrowgate();
	int vm = rig_reboot_begun(r);

	assert_int_equal(fleet_replan(r->f, &c), 0);
	while (flt_margin(flt_pool(r->f, flt_vm(r->f, vm)->pool)) >= 0)
		flt_vm_event(r->f, rig_find(r, FLT_UP, flt_vm(r->f, vm)->pool),
			     FLT_FAIL);
	assert_true(fleet_replan(r->f, &c) > 0);
	rig_free(r);
}

static void pause_takes_no_more_and_resume_goes_on(void **state)
{
	struct rig *r = rig_new();
	int waiting;

	rig_run_until(r, WAV_MAINTAINED, 2);
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ana"), &r->out));
	waiting = rig_at(r, WAV_WAITING);
	rig_run(r, HOUR_TICKS);
	assert_int_equal(rig_at(r, WAV_WAITING), waiting);
	assert_int_equal(rig_at(r, WAV_MAINTAINED), VMS - waiting);
	assert_true(wav_command(r->w, WAV_RESUME, LSTR("ana"), &r->out));
	rig_run(r, DAY_TICKS);
	assert_int_equal(rig_status(r).state, WAV_DONE);
	rig_reboots(r, 1);
	rig_free(r);
}

/* Operators resend commands whose answer was lost, and race each other. */
static void commands_sent_again_change_nothing(void **state)
{
	struct rig *r = rig_new();

	assert_true(wav_command(r->w, WAV_START, LSTR("ana"), &r->out));
	assert_int_equal(rig_status(r).state, WAV_RUNNING);
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ana"), &r->out));
	assert_true(wav_command(r->w, WAV_PAUSE, LSTR("ivo"), &r->out));
	assert_true(wav_command(r->w, WAV_START, LSTR("ana"), &r->out));
	assert_int_equal(rig_status(r).state, WAV_PAUSED);
	assert_true(wav_command(r->w, WAV_ABORT, LSTR("ivo"), &r->out));
	assert_false(wav_command(r->w, WAV_RESUME, LSTR("ana"), &r->out));
	rig_free(r);
}

/*
 * Two waves name the same VMs. Each VM is in the hands of one at a time, and
 * both together stay within the budget, since they count on the same fleet.
 */
static void two_waves_share_one_budget(void **state)
{
	struct rig *r = rig_new();
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
		rig_run(r, 1);
		fake_tick(p, other, r->f, r->now, &r->out);
		assert_true(flt_margin(flt_pool(r->f, 1)) >= 0);
		assert_true(flt_margin(flt_pool(r->f, 2)) >= 0);
		r->now += TICK_MS;
	}
	assert_int_equal(rig_at(r, WAV_MAINTAINED), VMS);
	for (i = 0; i < VMS; i++)
		assert_int_equal(r->p->reboots[i] + p->reboots[i], 2);
	wav_free(other);
	fake_free(p);
	rig_free(r);
}

/*
 * Work on a VM doesn't end within the drain's time. It is not cut off: the VM
 * goes back to work, and is left alone after three tries.
 */
static void drain_that_never_ends_cuts_nothing_off(void **state)
{
	struct rig *r = rig_new();

	r->p->step_ms = 60 * 60000;
	rig_run(r, 8 * DAY_TICKS);
	rig_reboots(r, 0);
	assert_true(rig_at(r, WAV_FAILED) > 0);
	assert_int_equal(rig_status(r).failures, 0);
	rig_free(r);
}

static void damaged_bytes_are_refused(void **state)
{
	struct rig *r = rig_new();
	struct pk_out o;
	GError *err = NULL;

	pk_out_init(&o);
	wav_pack(r->w, &o);
	assert_null(wav_unpack(lstr_n(o.buf.data, o.buf.size - 1), &err));
	g_error_free(err);
	pk_out_done(&o);
	rig_free(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_vm_is_maintained_once),
		cmocka_unit_test(restarts_repeat_none_and_forget_none),
		cmocka_unit_test(failure_while_draining_gives_back),
		cmocka_unit_test(reply_after_a_failure_does_not_reboot),
		cmocka_unit_test(bad_image_halts_after_the_stated_number),
		cmocka_unit_test(failure_soon_after_return_counts),
		cmocka_unit_test(halt_gives_back_what_drains),
		cmocka_unit_test(abort_calls_back_what_drains),
		cmocka_unit_test(lost_rack_does_not_halt),
		cmocka_unit_test(cut_zone_is_left_alone),
		cmocka_unit_test(vm_in_hand_is_not_taken_by_another_wave),
		cmocka_unit_test(planner_does_not_replace_what_a_wave_has_out),
		cmocka_unit_test(pause_takes_no_more_and_resume_goes_on),
		cmocka_unit_test(commands_sent_again_change_nothing),
		cmocka_unit_test(two_waves_share_one_budget),
		cmocka_unit_test(drain_that_never_ends_cuts_nothing_off),
		cmocka_unit_test(damaged_bytes_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
