#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "upk.h"

#define NOW_MS 100000
/* Interval of upk_tick(), ms; each VM list is requested just before it. */
#define STEP_MS 100
#define WAVE 3
/* Ticks, with a list each, within which a VM that is gone is given up. */
#define GONE_TICKS 60
/* Duration of the wave, ms: enough time to do one VM at a time. */
#define WITHIN_MS 1000000

/* A fleet of VMs with a worker each, and what upk asked for. */
struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct jtb *jtb;
	struct vms *vms;
	struct upk *upk;
	int64_t now;
	GPtrArray *list; /* contents of the next list */
	int orders;
	int stops;
	int done;
	char ordered[32]; /* VM of the last order */
	bool unreached; /* no worker is reachable */
	const char *moving_vm;
	bool all_spare; /* every VM can be spared */
	bool log_delayed; /* recording a VM as done is not committed yet */
};

static void fixture_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct fixture *f = arg;

	f->stops++;
	run->stop_wanted = true;
}

static void fixture_order(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm)
{
	struct fixture *f = arg;

	f->orders++;
	g_strlcpy(f->ordered, vm->vm, sizeof(f->ordered));
}

static void fixture_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
			 enum jtb_vm_state state, const char *worker_before)
{
	struct fixture *f = arg;
	struct pk_out o;

	f->done += state == JTB_VM_DONE;
	if (f->log_delayed && state == JTB_VM_DONE)
		return;
	pk_out_init(&o);
	jtb_put_vm(&o, w->no, vm->vm, state, worker_before);
	jobs_apply(f->jtb, &o);
}

static bool fixture_is_moving(void *arg, const char *vm)
{
	const struct fixture *f = arg;

	return f->moving_vm && strcmp(f->moving_vm, vm) == 0;
}

static bool fixture_is_spare(void *arg, const char *vm)
{
	const struct fixture *f = arg;

	return f->all_spare;
}

static bool fixture_is_reachable(void *arg, const struct jtb_worker *w)
{
	const struct fixture *f = arg;

	return !f->unreached;
}

static const struct upk_ops fixture_ops = {
	.stop = fixture_stop,
	.order = fixture_order,
	.note = fixture_note,
	.is_moving = fixture_is_moving,
	.is_spare = fixture_is_spare,
	.is_reachable = fixture_is_reachable,
};

static void vm_add(struct fixture *f, const char *name, const char *worker)
{
	struct vms_vm *vm = g_new0(struct vms_vm, 1);

	vm->name = g_strdup(name);
	vm->pool = g_strdup("p");
	vm->worker = g_strdup(worker);
	vm->state = VMS_UP;
	vm->cpu = 16000;
	vm->mem_mb = 64000;
	g_ptr_array_add(f->list, vm);
	jobs_worker(f->jtb, worker, 16000, false);
}

static struct vms_vm *find_vm(struct fixture *f, const char *name)
{
	guint i;

	for (i = 0; i < f->list->len; i++) {
		struct vms_vm *vm = g_ptr_array_index(f->list, i);

		if (strcmp(vm->name, name) == 0)
			return vm;
	}
	fail();
	return NULL;
}

/* Runs a tick with the VM list that is there. */
static void tick_without_list(struct fixture *f)
{
	f->now += STEP_MS;
	upk_tick(f->upk, f->now, JOBS_WALL_MS + f->now - NOW_MS);
}

/* Delivers a new VM list, then runs a tick. */
static void tick(struct fixture *f)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	guint i;

	for (i = 0; i < f->list->len; i++) {
		struct vms_vm *vm =
			g_memdup2(g_ptr_array_index(f->list, i), sizeof(*vm));

		vm->name = g_strdup(vm->name);
		vm->pool = g_strdup(vm->pool);
		vm->worker = g_strdup(vm->worker);
		g_ptr_array_add(list, vm);
	}
	vms_put_list(f->vms, list, f->now + STEP_MS - 1);
	tick_without_list(f);
}

static void ticks(struct fixture *f, int n)
{
	while (n-- > 0)
		tick(f);
}

static void ticks_without_list(struct fixture *f, int n)
{
	while (n-- > 0)
		tick_without_list(f);
}

static void add_wave_no(struct fixture *f, uint64_t no, uint32_t at_once,
			int64_t within_ms)
{
	struct jtb_wave *w = jtb_wave_new(no);
	struct pk_out o;
	guint i;

	w->from_ms = JOBS_WALL_MS;
	w->within_ms = within_ms;
	w->at_once = at_once;
	for (i = 0; i < f->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(f->list, i);

		jtb_wave_add(w, vm->name);
	}
	pk_out_init(&o);
	jtb_put_wave(&o, w);
	jobs_apply(f->jtb, &o);
	jtb_wave_free(w);
}

static void add_wave(struct fixture *f, uint32_t at_once, int64_t within_ms)
{
	add_wave_no(f, WAVE, at_once, within_ms);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->now = NOW_MS;
	f->base = event_base_new();
	f->tmr = tmr_new_manual(NOW_MS);
	f->jtb = jtb_new(NULL, NULL);
	f->vms = vms_new(&(struct vms_config){.base = f->base, .tmr = f->tmr},
			 NULL, NULL);
	f->upk = upk_new(f->jtb, f->vms, &fixture_ops, f);
	f->list = g_ptr_array_new_with_free_func(vms_vm_free);
	jobs_config(f->jtb, 1, "p", 3);
	vm_add(f, "vm1", "w1");
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	upk_free(f->upk);
	vms_free(f->vms);
	jtb_free(f->jtb);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_ptr_array_free(f->list, TRUE);
	g_free(f);
	return 0;
}

static void add_short_job(struct fixture *f, const char *id)
{
	struct jtb_step s = {.count = 1, .cpu = 1000, .estimate_ms = 500};

	jobs_job(f->jtb, id, &s, 1, JOBS_WALL_MS);
	jobs_start(f->jtb, id, 0, 0, 1, "w1");
}

/* Whether a worker gets no new work. */
static bool is_closed(const struct fixture *f, const char *worker)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	bool found;

	upk_add_closed(f->upk, ids);
	found = g_hash_table_contains(ids, worker);
	g_hash_table_destroy(ids);
	return found;
}

/*
 * Guards against work lost with its VM: the order is sent only when no run is
 * left on it. Runs that do not end by themselves are stopped after a while.
 */
static void vm_is_drained_before_upkeep(void **state)
{
	struct fixture *f = *state;

	add_short_job(f, "a");
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 10);
	assert_true(is_closed(f, "w1"));
	assert_int_equal(f->orders, 0);
	assert_int_equal(f->stops, 0);
	ticks(f, 30);
	assert_int_equal(f->stops, 1);
	assert_int_equal(f->orders, 0);
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_STOPPED);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	assert_string_equal(f->ordered, "vm1");
}

/*
 * Guards against a wave that completes although a VM had no upkeep: the VM is
 * listed as up until its order is carried out, also in a list that was
 * requested before the order was accepted.
 */
static void upkeep_is_done_when_a_later_list_has_it(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	ticks(f, 3);
	assert_int_equal(f->done, 0);
	upk_answered(f->upk, "vm1", VMS_UNANSWERED, f->now);
	ticks(f, 3);
	assert_int_equal(f->done, 0);
	/* accepted after the newest list was requested */
	upk_answered(f->upk, "vm1", VMS_ACCEPTED, f->now + STEP_MS);
	tick(f);
	assert_int_equal(f->done, 0);
	find_vm(f, "vm1")->state = VMS_UPKEEP;
	ticks(f, 3);
	assert_int_equal(f->done, 0);
	find_vm(f, "vm1")->state = VMS_UP;
	tick(f);
	assert_int_equal(f->done, 1);
	assert_true(jtb_wave(f->jtb, WAVE)->completed);
}

/* Has a VM's order accepted; the VM is down for a tick and up again. */
static void do_upkeep(struct fixture *f, const char *vm)
{
	upk_answered(f->upk, vm, VMS_ACCEPTED, f->now);
	find_vm(f, vm)->state = VMS_UPKEEP;
	tick(f);
	find_vm(f, vm)->state = VMS_UP;
}

/*
 * Guards against a wave that stalls permanently: the tick before the table had
 * a VM as done took it for one that an earlier leader had begun, and counted it
 * as in progress from then on.
 */
static void done_vm_lets_the_wave_advance(void **state)
{
	struct fixture *f = *state;
	struct pk_out o;

	vm_add(f, "vm2", "w2");
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	do_upkeep(f, "vm1");
	f->log_delayed = true;
	ticks(f, 10);
	/* recorded once, and not ordered again meanwhile */
	assert_int_equal(f->done, 1);
	assert_int_equal(f->orders, 1);
	f->log_delayed = false;
	pk_out_init(&o);
	jtb_put_vm(&o, WAVE, "vm1", JTB_VM_DONE, NULL);
	jobs_apply(f->jtb, &o);
	ticks(f, 5);
	assert_string_equal(f->ordered, "vm2");
}

/* Guards against platform calls wasted on a VM that was removed. */
static void removed_vm_is_not_ordered_again(void **state)
{
	struct fixture *f = *state;
	int orders;

	vm_add(f, "vm2", "w2");
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_string_equal(f->ordered, "vm1");
	f->log_delayed = true;
	g_ptr_array_remove_index(f->list, 0);
	while (f->done == 0)
		tick(f);
	orders = f->orders;
	ticks(f, 20);
	assert_int_equal(f->orders, orders);
	assert_int_equal(f->done, 1);
}

/*
 * Guards against a VM that stays closed permanently: it was the last of its
 * wave, and the state of a completed wave was not updated any more.
 */
static void last_vm_of_a_wave_is_released(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	do_upkeep(f, "vm1");
	ticks(f, 2);
	assert_true(jtb_wave(f->jtb, WAVE)->completed);
	assert_false(upk_is_in_upkeep(f->upk, "vm1"));
	assert_false(is_closed(f, "w1"));
}

/* Runs a wave of six VMs for a few ticks; returns how many are in progress. */
static int in_progress_of_six(struct fixture *f, int64_t within_ms)
{
	int open = 0;
	int i;

	for (i = 2; i <= 6; i++) {
		char vm[8];
		char w[8];

		g_snprintf(vm, sizeof(vm), "vm%d", i);
		g_snprintf(w, sizeof(w), "w%d", i);
		vm_add(f, vm, w);
	}
	add_wave(f, 2, within_ms);
	ticks(f, 5);
	for (i = 0; i < (int)f->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(f->list, i);

		open += upk_is_in_upkeep(f->upk, vm->name);
	}
	return open;
}

/*
 * Guards against more VMs down at once than the operator allows: the wave is
 * past its time, and all remaining VMs are due at once.
 */
static void late_wave_keeps_its_limit(void **state)
{
	assert_int_equal(in_progress_of_six(*state, 1), 2);
}

/* The same for a wave that must do all VMs in one cycle to be in time. */
static void wave_in_time_keeps_its_limit(void **state)
{
	assert_int_equal(in_progress_of_six(*state, 12000), 2);
}

/*
 * Guards against VMs that are taken in the middle of the next burst: with time
 * left, VMs are done one by one. VMs that can be spared are done at once,
 * within the limit of the wave.
 */
static void spare_vms_are_done_at_once(void **state)
{
	struct fixture *f = *state;

	assert_int_equal(in_progress_of_six(f, WITHIN_MS), 1);
	f->all_spare = true;
	ticks(f, 5);
	assert_true(upk_is_in_upkeep(f->upk, "vm2"));
	assert_false(upk_is_in_upkeep(f->upk, "vm3"));
}

/*
 * Guards against a wave that completes although a VM had no upkeep: it had just
 * been switched on and was in no list yet. A VM that never comes back must not
 * block the wave.
 */
static void briefly_unlisted_vm_is_not_removed(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm;

	add_wave(f, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(f->list, 0);
	ticks(f, 20);
	assert_int_equal(f->done, 0);
	ticks(f, 60);
	assert_int_equal(f->done, 1);
	vms_vm_free(vm);
}

/*
 * Guards against a wave that completes although a new VM had no upkeep: no list
 * could be read for longer than a removal takes, and the last one was from
 * before the VM came.
 */
static void old_list_shows_no_removal(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm;

	add_wave(f, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(f->list, 0);
	tick(f);
	ticks_without_list(f, 10 * GONE_TICKS);
	assert_int_equal(f->done, 0);
	g_ptr_array_add(f->list, vm);
	ticks(f, 3);
	assert_string_equal(f->ordered, "vm1");
	do_upkeep(f, "vm1");
	ticks(f, 2);
	assert_true(jtb_wave(f->jtb, WAVE)->completed);
}

/*
 * Guards against an outage that counts as absence: a list on each side of it
 * lacks the VM, as the platform lists a new VM late. A VM that is gone for good
 * must not block the wave.
 */
static void outage_between_two_lists_shows_no_removal(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm;

	add_wave(f, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(f->list, 0);
	ticks(f, 2);
	ticks_without_list(f, 10 * GONE_TICKS);
	ticks(f, 3);
	assert_int_equal(f->done, 0);
	ticks(f, GONE_TICKS);
	assert_int_equal(f->done, 1);
	vms_vm_free(vm);
}

/*
 * Guards against absence that an earlier term saw: a replica that leads again
 * knows nothing of the lists in between.
 */
static void earlier_term_shows_no_removal(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm;

	add_wave(f, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(f->list, 0);
	ticks(f, GONE_TICKS - 10);
	upk_reset(f->upk);
	ticks(f, 20);
	assert_int_equal(f->done, 0);
	vms_vm_free(vm);
}

/*
 * Guards against a later wave that completes with the absence that ended an
 * earlier one: a VM that was removed came again under its name.
 */
static void removal_counts_for_one_wave_only(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm;

	add_wave(f, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(f->list, 0);
	ticks(f, GONE_TICKS + 10);
	assert_int_equal(f->done, 1);
	g_ptr_array_add(f->list, vm);
	add_wave_no(f, WAVE + 1, 1, WITHIN_MS);
	ticks_without_list(f, 5);
	assert_int_equal(f->done, 1);
	ticks(f, 3);
	assert_string_equal(f->ordered, "vm1");
}

/*
 * Guards against work lost with its VM: the order of a former leader may be
 * carried out seconds later, and the next leader must give the VM no work.
 */
static void vm_ordered_by_former_leader_gets_no_work(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	upk_reset(f->upk);
	assert_true(is_closed(f, "w1"));
	/* The order is sent again, since its answer is unknown. */
	ticks(f, 2);
	assert_int_equal(f->orders, 2);
}

/*
 * Guards against work lost with its VM: the worker being drained ended, and
 * another came up on the VM and got work before the order.
 */
static void new_worker_before_the_order_is_drained(void **state)
{
	struct fixture *f = *state;

	add_short_job(f, "a");
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_true(is_closed(f, "w1"));
	jobs_worker_lost(f->jtb, "w1", true);
	jobs_worker(f->jtb, "w1b", 16000, false);
	g_free(find_vm(f, "vm1")->worker);
	find_vm(f, "vm1")->worker = g_strdup("w1b");
	jobs_start(f->jtb, "a", 0, 0, 2, "w1b");
	ticks(f, 5);
	assert_int_equal(f->orders, 0);
	assert_true(is_closed(f, "w1b"));
}

/*
 * Guards against work lost with its VM: during an outage of the platform the VM
 * failed and came back, and its new worker, which no list has yet, has work.
 */
static void vm_is_not_ordered_by_an_old_list(void **state)
{
	struct fixture *f = *state;

	tick(f);
	ticks_without_list(f, GONE_TICKS);
	jobs_worker_lost(f->jtb, "w1", true);
	jobs_worker(f->jtb, "w1b", 16000, false);
	add_wave(f, 1, WITHIN_MS);
	ticks_without_list(f, 10 * GONE_TICKS);
	assert_int_equal(f->orders, 0);
	assert_false(is_closed(f, "w1b"));
	g_free(find_vm(f, "vm1")->worker);
	find_vm(f, "vm1")->worker = g_strdup("w1b");
	ticks(f, 4);
	assert_int_equal(f->orders, 1);
	assert_true(is_closed(f, "w1b"));
}

/*
 * Guards against work lost with its VM: it fails beside its order, which is
 * sent again after it has come back, and no list can be read meanwhile.
 */
static void unlisted_worker_waits_for_an_open_order(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	jobs_worker(f->jtb, "w1b", 16000, false);
	assert_false(is_closed(f, "w1b"));
	jobs_worker_lost(f->jtb, "w1", true);
	ticks_without_list(f, GONE_TICKS);
	assert_true(is_closed(f, "w1b"));
	upk_answered(f->upk, "vm1", VMS_ACCEPTED, f->now);
	assert_false(is_closed(f, "w1b"));
}

/*
 * Guards against a wave that ends without the upkeep of a VM whose row can't be
 * read.
 */
static void vm_in_an_unreadable_row_keeps_its_wave(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm = find_vm(f, "vm1");
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	add_wave(f, 1, WITHIN_MS);
	g_ptr_array_add(names, g_strdup("vm1"));
	vms_put_unreadable(f->vms, names);
	g_ptr_array_steal_index(f->list, 0);
	ticks(f, 10 * GONE_TICKS);
	assert_int_equal(f->done, 0);
	vms_put_unreadable(f->vms, g_ptr_array_new_with_free_func(g_free));
	ticks(f, 2 * GONE_TICKS);
	assert_int_equal(f->done, 1);
	g_ptr_array_add(f->list, vm);
}

/*
 * Guards against work lost with its VM: the list names no worker on it, as one
 * has just come up there, and that one has work.
 */
static void vm_without_a_named_worker_waits_for_a_list(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm = find_vm(f, "vm1");

	g_free(vm->worker);
	vm->worker = g_strdup("");
	tick(f);
	add_short_job(f, "a");
	add_wave(f, 1, WITHIN_MS);
	/* lists right behind each other may still lack it */
	ticks(f, 4);
	ticks_without_list(f, 2 * GONE_TICKS);
	assert_int_equal(f->orders, 0);
	assert_true(is_closed(f, "w1"));
	g_free(vm->worker);
	vm->worker = g_strdup("w1");
	ticks(f, 3);
	assert_int_equal(f->orders, 0);
	jobs_end(f->jtb, "a", 0, 0, 1, "w1", JTB_DONE);
	ticks(f, 2);
	assert_int_equal(f->orders, 1);
}

/* Guards against a wave that never ends: no worker comes up on its VM. */
static void vm_without_a_worker_has_its_upkeep(void **state)
{
	struct fixture *f = *state;
	struct vms_vm *vm = find_vm(f, "vm1");

	g_free(vm->worker);
	vm->worker = g_strdup("");
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 10);
	assert_true(f->orders > 0);
}

/* Guards against a wave that never ends: the worker on its VM is gone for good. */
static void vm_of_a_dead_worker_has_its_upkeep(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	jobs_worker_lost(f->jtb, "w1", true);
	ticks(f, 10);
	assert_true(f->orders > 0);
}

/*
 * Guards against work lost with its VM: its worker is silent again, after lists
 * had shown an earlier time that no other one was there.
 */
static void silence_of_a_worker_counts_anew(void **state)
{
	struct fixture *f = *state;
	int orders;

	add_wave(f, 1, WITHIN_MS);
	f->unreached = true;
	ticks(f, 10);
	assert_true(f->orders > 0);
	f->unreached = false;
	tick(f);
	f->unreached = true;
	orders = f->orders;
	ticks_without_list(f, GONE_TICKS);
	assert_int_equal(f->orders, orders);
}

/*
 * Guards against work lost with its VM after the order: the VM failed by itself
 * before the order was carried out and came back with another worker.
 */
static void new_worker_after_the_order_is_drained(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	upk_answered(f->upk, "vm1", VMS_UNANSWERED, f->now);
	jobs_worker_lost(f->jtb, "w1", true);
	find_vm(f, "vm1")->state = VMS_DOWN;
	*find_vm(f, "vm1")->worker = '\0';
	ticks(f, 3);
	/* up again, and connected before a list shows the worker's VM */
	jobs_worker(f->jtb, "w1b", 16000, false);
	assert_true(is_closed(f, "w1b"));
	g_free(find_vm(f, "vm1")->worker);
	find_vm(f, "vm1")->worker = g_strdup("w1b");
	find_vm(f, "vm1")->state = VMS_UP;
	add_short_job(f, "a");
	jobs_start(f->jtb, "a", 0, 0, 2, "w1b");
	tick(f);
	f->orders = 0;
	ticks(f, 10);
	assert_true(is_closed(f, "w1b"));
	assert_int_equal(f->orders, 0);
	jobs_end(f->jtb, "a", 0, 0, 2, "w1b", JTB_DONE);
	ticks(f, 10);
	assert_true(f->orders > 0);
	/* The order still ends the worker that it was given for. */
	assert_string_equal(upk_worker(f->upk, "vm1"), "w1");
	upk_answered(f->upk, "vm1", VMS_ACCEPTED, f->now);
	ticks(f, 2);
	assert_int_equal(f->done, 1);
}

/*
 * Guards against a VM that is recorded in the wave that did not begin it: then
 * more VMs of that wave are down than it allows, and the other wave never
 * completes.
 */
static void two_waves_with_the_same_vms(void **state)
{
	struct fixture *f = *state;

	vm_add(f, "vm2", "w2");
	add_wave_no(f, WAVE, 1, WITHIN_MS);
	add_wave_no(f, WAVE + 1, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 2);
	do_upkeep(f, "vm1");
	do_upkeep(f, "vm2");
	ticks(f, 10);
	do_upkeep(f, "vm1");
	do_upkeep(f, "vm2");
	ticks(f, 10);
	assert_int_equal(f->done, 4);
	assert_true(jtb_wave(f->jtb, WAVE)->completed);
	assert_true(jtb_wave(f->jtb, WAVE + 1)->completed);
	assert_false(upk_is_in_upkeep(f->upk, "vm1"));
	assert_false(upk_is_in_upkeep(f->upk, "vm2"));
}

/*
 * Guards against a bad image from which no VM comes up: the wave must lose no
 * more VMs than may be down at once, however late it is and whichever replica
 * leads.
 */
static void bad_image_costs_no_more_than_at_once(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 2; i <= 6; i++) {
		char vm[8];
		char w[8];

		g_snprintf(vm, sizeof(vm), "vm%d", i);
		g_snprintf(w, sizeof(w), "w%d", i);
		vm_add(f, vm, w);
	}
	add_wave(f, 2, 5000);
	ticks(f, 3);
	assert_int_equal(f->orders, 2);
	for (i = 0; i < (int)f->list->len; i++) {
		struct vms_vm *vm = g_ptr_array_index(f->list, i);

		if (!upk_is_in_upkeep(f->upk, vm->name))
			continue;
		upk_answered(f->upk, vm->name, VMS_ACCEPTED, f->now);
		jobs_worker_lost(f->jtb, vm->worker, true);
		*vm->worker = '\0';
		vm->state = i ? VMS_DOWN : VMS_UPKEEP;
	}
	f->orders = 0;
	ticks(f, 100);
	upk_reset(f->upk);
	ticks(f, 100);
	for (i = 0; i < (int)f->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(f->list, i);

		assert_true((vm->state == VMS_UP) !=
			    upk_is_in_upkeep(f->upk, vm->name));
	}
	assert_int_equal(f->done, 0);
}

/*
 * A zone is partitioned while one of its VMs has its upkeep and another is
 * being drained. An unreachable worker is not taken as failed: no long-running
 * run is stopped meanwhile and no VM is begun, and after the partition the wave
 * continues.
 */
static void partition_pauses_the_wave(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;

	vm_add(f, "vm2", "w2");
	jobs_job(f->jtb, "l", &s, 1, JOBS_WALL_MS);
	jobs_start(f->jtb, "l", 0, 0, 1, "w1");
	jobs_start(f->jtb, "l", 0, 1, 1, "w2");
	part = &jtb_job(f->jtb, "l")->turns[0].steps[0];
	part->tasks[0].run->percent = 100;
	part->tasks[1].run->percent = 100;
	f->unreached = true;
	add_wave(f, 2, 1);
	ticks(f, 600);
	assert_int_equal(f->stops, 0);
	assert_int_equal(f->orders, 0);
	assert_int_equal(f->done, 0);
	f->unreached = false;
	ticks(f, 3);
	assert_int_equal(f->stops, 1);
}

/* Two VMs of a late wave, each with a ready task of one long-running step. */
static const struct jtb_step_state *long_running_on_two_vms(struct fixture *f)
{
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;

	vm_add(f, "vm2", "w2");
	jobs_job(f->jtb, "l", &s, 1, JOBS_WALL_MS);
	jobs_start(f->jtb, "l", 0, 0, 1, "w1");
	jobs_start(f->jtb, "l", 0, 1, 1, "w2");
	part = &jtb_job(f->jtb, "l")->turns[0].steps[0];
	part->tasks[0].run->percent = 100;
	part->tasks[1].run->percent = 100;
	add_wave(f, 2, 1);
	return part;
}

/*
 * Guards against a budget broken by a stop: another task of a long-running step
 * is lost while VMs are being drained. The remaining run goes on, and its VM
 * returns to service until the lost task is ready again.
 */
static void failure_while_draining_returns_the_vm(void **state)
{
	struct fixture *f = *state;
	const struct jtb_step_state *part = long_running_on_two_vms(f);

	tick(f);
	assert_true(is_closed(f, "w1"));
	assert_true(is_closed(f, "w2"));
	jobs_end(f->jtb, "l", 0, 1, 1, "w2", JTB_LOST);
	ticks(f, 50);
	assert_false(part->tasks[0].run->stop_wanted);
	assert_false(is_closed(f, "w1"));
	assert_string_equal(f->ordered, "vm2");
	do_upkeep(f, "vm2");
	ticks(f, 3);
	assert_false(part->tasks[0].run->stop_wanted);
	jobs_start(f->jtb, "l", 0, 1, 2, "w2");
	part->tasks[1].run->percent = 100;
	ticks(f, 3);
	assert_true(part->tasks[0].run->stop_wanted);
}

/*
 * Guards against a service that stays one task short and a wave that never
 * completes: every VM that could run the task is closed, and none of them can
 * be drained while the task is unavailable.
 */
static void vm_that_cannot_be_drained_stays_open(void **state)
{
	struct fixture *f = *state;
	const struct jtb_step_state *part = long_running_on_two_vms(f);

	part->tasks[1].run->percent = 10;
	ticks(f, 5);
	assert_true(part->tasks[1].run->stop_wanted);
	assert_true(is_closed(f, "w2"));
	assert_false(is_closed(f, "w1"));
	jobs_end(f->jtb, "l", 0, 1, 1, "w2", JTB_STOPPED);
	jobs_start(f->jtb, "l", 0, 1, 2, "w1");
	ticks(f, 2);
	assert_false(is_closed(f, "w1"));
	part->tasks[1].run->percent = 100;
	ticks(f, 2);
	assert_true(is_closed(f, "w1"));
}

/* Guards against two leaders that give orders for one VM in turn. */
static void fenced_order_is_not_repeated(void **state)
{
	struct fixture *f = *state;

	add_wave(f, 1, WITHIN_MS);
	ticks(f, 3);
	assert_int_equal(f->orders, 1);
	upk_answered(f->upk, "vm1", VMS_FENCED, f->now);
	ticks(f, 30);
	assert_int_equal(f->orders, 1);
}

/* A VM that is being moved to another pool is not ordered. */
static void moving_vm_is_not_ordered(void **state)
{
	struct fixture *f = *state;

	f->moving_vm = "vm1";
	add_wave(f, 1, WITHIN_MS);
	ticks(f, 5);
	assert_int_equal(f->orders, 0);
	f->moving_vm = NULL;
	ticks(f, 5);
	assert_int_equal(f->orders, 1);
}

/*
 * Guards against a service below its availability budget: one of its tasks is
 * stopped for upkeep while another is unavailable for any reason.
 */
static void long_running_work_keeps_its_budget(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 3,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;
	struct jtb_run *run;
	uint32_t i;

	jobs_job(f->jtb, "l", &s, 1, JOBS_WALL_MS);
	for (i = 0; i < 3; i++)
		jobs_start(f->jtb, "l", 0, i, 1, "w1");
	part = &jtb_job(f->jtb, "l")->turns[0].steps[0];
	run = part->tasks[0].run;
	/* the other tasks have begun and are not ready yet */
	assert_false(upk_may_stop(f->upk, run));
	for (i = 0; i < 3; i++)
		part->tasks[i].run->percent = 100;
	assert_true(upk_may_stop(f->upk, run));
	part->tasks[1].run->stop_wanted = true;
	assert_false(upk_may_stop(f->upk, run));
	part->tasks[1].run->stop_wanted = false;
	f->unreached = true;
	assert_false(upk_may_stop(f->upk, run));
	f->unreached = false;
	jobs_end(f->jtb, "l", 0, 2, 1, "w1", JTB_LOST);
	assert_false(upk_may_stop(f->upk, run));
}

/*
 * Guards against a wave that closes all workers of a pool and stalls: a run on
 * each of two workers has failed and cannot start anywhere, so the other run of
 * each step may not be stopped and neither worker is ever drained.
 */
static void pool_is_not_closed_permanently(void **state)
{
	struct fixture *f = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	bool open = false;
	int i;

	vm_add(f, "vm2", "w2");
	jobs_job(f->jtb, "a", &s, 1, JOBS_WALL_MS);
	jobs_job(f->jtb, "b", &s, 1, JOBS_WALL_MS);
	jobs_start(f->jtb, "a", 0, 0, 1, "w1");
	jobs_start(f->jtb, "b", 0, 1, 1, "w2");
	add_wave(f, 2, 1000);
	for (i = 0; i < 100 && !open; i++) {
		tick(f);
		open = !is_closed(f, "w1") || !is_closed(f, "w2");
	}
	assert_true(open);
	assert_int_equal(f->stops, 0);
	assert_int_equal(f->orders, 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(vm_is_drained_before_upkeep),
		T(upkeep_is_done_when_a_later_list_has_it),
		T(late_wave_keeps_its_limit),
		T(done_vm_lets_the_wave_advance),
		T(removed_vm_is_not_ordered_again),
		T(last_vm_of_a_wave_is_released),
		T(wave_in_time_keeps_its_limit),
		T(spare_vms_are_done_at_once),
		T(fenced_order_is_not_repeated),
		T(briefly_unlisted_vm_is_not_removed),
		T(old_list_shows_no_removal),
		T(outage_between_two_lists_shows_no_removal),
		T(earlier_term_shows_no_removal),
		T(removal_counts_for_one_wave_only),
		T(vm_ordered_by_former_leader_gets_no_work),
		T(new_worker_before_the_order_is_drained),
		T(new_worker_after_the_order_is_drained),
		T(vm_is_not_ordered_by_an_old_list),
		T(unlisted_worker_waits_for_an_open_order),
		T(vm_in_an_unreadable_row_keeps_its_wave),
		T(vm_without_a_named_worker_waits_for_a_list),
		T(vm_without_a_worker_has_its_upkeep),
		T(vm_of_a_dead_worker_has_its_upkeep),
		T(silence_of_a_worker_counts_anew),
		T(two_waves_with_the_same_vms),
		T(bad_image_costs_no_more_than_at_once),
		T(partition_pauses_the_wave),
		T(failure_while_draining_returns_the_vm),
		T(vm_that_cannot_be_drained_stays_open),
		T(moving_vm_is_not_ordered),
		T(long_running_work_keeps_its_budget),
		T(pool_is_not_closed_permanently),
	};

	return cmocka_run_group_tests_name("upk", tests, NULL, NULL);
}
