#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jobs_make.h"
#include "upk.h"

#define NOW_MS 100000
/* One tick of the owner, ms; each list is asked for just before it. */
#define STEP_MS 100
#define WAVE 3
/* Time of the wave: long enough that one VM at a time is in time. */
#define WITHIN_MS 1000000

/* A fleet of VMs with a worker each, and what upkeep asked for. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct jtb *jtb;
	struct vms *vms;
	struct upk *upk;
	int64_t now;
	GPtrArray *list; /* struct vms_vm, what the next list shows */
	int orders;
	int stops;
	int done;
	char ordered[32]; /* the last */
	bool unreached; /* no worker answers */
	const char *held;
	bool spared; /* nobody would miss any VM */
	bool slow_log; /* what is noted as done isn't final yet */
};

static void bed_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct bed *b = arg;

	b->stops++;
	run->stop_wanted = true;
}

static void bed_order(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm)
{
	struct bed *b = arg;

	b->orders++;
	g_strlcpy(b->ordered, vm->vm, sizeof(b->ordered));
}

static void bed_note(void *arg, struct jtb_wave *w, struct jtb_wave_vm *vm,
		     enum jtb_vm_state state, const char *worker_before)
{
	struct bed *b = arg;
	struct pk_out o;

	b->done += state == JTB_VM_DONE;
	if (b->slow_log && state == JTB_VM_DONE)
		return;
	pk_out_init(&o);
	jtb_put_vm(&o, w->no, vm->vm, state, worker_before);
	jobs_apply(b->jtb, &o);
}

static bool bed_held(void *arg, const char *vm)
{
	const struct bed *b = arg;

	return b->held && strcmp(b->held, vm) == 0;
}

static bool bed_spared(void *arg, const char *vm)
{
	const struct bed *b = arg;

	return b->spared;
}

static bool bed_reached(void *arg, const struct jtb_worker *w)
{
	const struct bed *b = arg;

	return !b->unreached;
}

static const struct upk_ops bed_ops = {
	.stop = bed_stop,
	.order = bed_order,
	.note = bed_note,
	.held = bed_held,
	.spared = bed_spared,
	.reached = bed_reached,
};

static void vm_add(struct bed *b, const char *name, const char *worker)
{
	struct vms_vm *vm = g_new0(struct vms_vm, 1);

	vm->name = g_strdup(name);
	vm->pool = g_strdup("p");
	vm->worker = g_strdup(worker);
	vm->state = VMS_UP;
	vm->cpu = 16000;
	vm->mem_mb = 64000;
	g_ptr_array_add(b->list, vm);
	jobs_worker(b->jtb, worker, 16000, false);
}

static struct vms_vm *vm_of(struct bed *b, const char *name)
{
	guint i;

	for (i = 0; i < b->list->len; i++) {
		struct vms_vm *vm = g_ptr_array_index(b->list, i);

		if (strcmp(vm->name, name) == 0)
			return vm;
	}
	fail();
	return NULL;
}

/* A list is asked for and comes in, then upkeep goes on. */
static void tick(struct bed *b)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(vms_vm_free);
	guint i;

	for (i = 0; i < b->list->len; i++) {
		struct vms_vm *vm =
			g_memdup2(g_ptr_array_index(b->list, i), sizeof(*vm));

		vm->name = g_strdup(vm->name);
		vm->pool = g_strdup(vm->pool);
		vm->worker = g_strdup(vm->worker);
		g_ptr_array_add(list, vm);
	}
	b->now += STEP_MS;
	vms_put_list(b->vms, list, b->now - 1);
	upk_tick(b->upk, b->now, JOBS_WALL_MS + b->now - NOW_MS);
}

static void ticks(struct bed *b, int n)
{
	while (n-- > 0)
		tick(b);
}

static void wave_no(struct bed *b, uint64_t no, uint32_t at_once,
		    int64_t within_ms)
{
	struct jtb_wave *w = jtb_wave_new(no);
	struct pk_out o;
	guint i;

	w->from_ms = JOBS_WALL_MS;
	w->within_ms = within_ms;
	w->at_once = at_once;
	for (i = 0; i < b->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(b->list, i);

		jtb_wave_add(w, vm->name);
	}
	pk_out_init(&o);
	jtb_put_wave(&o, w);
	jobs_apply(b->jtb, &o);
	jtb_wave_free(w);
}

static void wave(struct bed *b, uint32_t at_once, int64_t within_ms)
{
	wave_no(b, WAVE, at_once, within_ms);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);

	b->now = NOW_MS;
	b->base = event_base_new();
	b->tmr = tmr_new_manual(NOW_MS);
	b->jtb = jtb_new(NULL, NULL);
	b->vms = vms_new(&(struct vms_config){.base = b->base, .tmr = b->tmr},
			 NULL, NULL);
	b->upk = upk_new(b->jtb, b->vms, &bed_ops, b);
	b->list = g_ptr_array_new_with_free_func(vms_vm_free);
	jobs_config(b->jtb, 1, "p", 3);
	vm_add(b, "vm1", "w1");
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	upk_free(b->upk);
	vms_free(b->vms);
	jtb_free(b->jtb);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_ptr_array_free(b->list, TRUE);
	g_free(b);
	return 0;
}

static void short_job(struct bed *b, const char *id)
{
	struct jtb_step s = {.count = 1, .cpu = 1000, .estimate_ms = 500};

	jobs_job(b->jtb, id, &s, 1, JOBS_WALL_MS);
	jobs_start(b->jtb, id, 0, 0, 1, "w1");
}

/* Whether a worker gets nothing new. */
static bool closed(const struct bed *b, const char *worker)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	bool in;

	upk_closed(b->upk, ids);
	in = g_hash_table_contains(ids, worker);
	g_hash_table_destroy(ids);
	return in;
}

/*
 * Work is thrown away with its VM. The order goes out only once nothing runs
 * there any more, and what doesn't end by itself is stopped after a while.
 */
static void a_vm_is_emptied_before_its_upkeep(void **state)
{
	struct bed *b = *state;

	short_job(b, "a");
	wave(b, 1, WITHIN_MS);
	ticks(b, 10);
	assert_true(closed(b, "w1"));
	assert_int_equal(b->orders, 0);
	assert_int_equal(b->stops, 0);
	ticks(b, 30);
	assert_int_equal(b->stops, 1);
	assert_int_equal(b->orders, 0);
	jobs_end(b->jtb, "a", 0, 0, 1, "w1", JTB_STOPPED);
	ticks(b, 3);
	assert_int_equal(b->orders, 1);
	assert_string_equal(b->ordered, "vm1");
}

/*
 * A wave is told as completed with a VM that had no upkeep. The VM is listed
 * as up until its order is carried out, and in a list that was asked for
 * before.
 */
static void upkeep_is_over_once_a_later_list_shows_it(void **state)
{
	struct bed *b = *state;

	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_int_equal(b->orders, 1);
	ticks(b, 3);
	assert_int_equal(b->done, 0);
	upk_answered(b->upk, "vm1", VMS_UNANSWERED, b->now);
	ticks(b, 3);
	assert_int_equal(b->done, 0);
	/* agreed to after the newest list was asked for */
	upk_answered(b->upk, "vm1", VMS_YES, b->now + STEP_MS);
	tick(b);
	assert_int_equal(b->done, 0);
	vm_of(b, "vm1")->state = VMS_UPKEEP;
	ticks(b, 3);
	assert_int_equal(b->done, 0);
	vm_of(b, "vm1")->state = VMS_UP;
	tick(b);
	assert_int_equal(b->done, 1);
	assert_true(jtb_wave(b->jtb, WAVE)->completed);
}

/* A VM's order is agreed to, it is down for a tick, and up again. */
static void have_upkeep(struct bed *b, const char *vm)
{
	upk_answered(b->upk, vm, VMS_YES, b->now);
	vm_of(b, vm)->state = VMS_UPKEEP;
	tick(b);
	vm_of(b, vm)->state = VMS_UP;
}

/*
 * A wave stands still for good with VMs left: the next look came before the
 * table had it that a VM is done, took it for one that an earlier leader had
 * begun, and counted it as on its way from then on.
 */
static void a_vm_that_is_done_frees_its_place(void **state)
{
	struct bed *b = *state;
	struct pk_out o;

	vm_add(b, "vm2", "w2");
	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	have_upkeep(b, "vm1");
	b->slow_log = true;
	ticks(b, 10);
	/* noted once, and not ordered again meanwhile */
	assert_int_equal(b->done, 1);
	assert_int_equal(b->orders, 1);
	b->slow_log = false;
	pk_out_init(&o);
	jtb_put_vm(&o, WAVE, "vm1", JTB_VM_DONE, NULL);
	jobs_apply(b->jtb, &o);
	ticks(b, 5);
	assert_string_equal(b->ordered, "vm2");
}

/* The platform's calls are used up on a VM that is gone. */
static void a_vm_that_is_gone_isnt_ordered_again(void **state)
{
	struct bed *b = *state;
	int orders;

	vm_add(b, "vm2", "w2");
	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_string_equal(b->ordered, "vm1");
	b->slow_log = true;
	g_ptr_array_remove_index(b->list, 0);
	while (b->done == 0)
		tick(b);
	orders = b->orders;
	ticks(b, 20);
	assert_int_equal(b->orders, orders);
	assert_int_equal(b->done, 1);
}

/*
 * A VM is missing to its pool for good: it was the last of its wave, and with
 * the wave nobody looked at what was kept of it any more.
 */
static void the_last_vm_of_a_wave_is_let_go(void **state)
{
	struct bed *b = *state;

	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	have_upkeep(b, "vm1");
	ticks(b, 2);
	assert_true(jtb_wave(b->jtb, WAVE)->completed);
	assert_false(upk_holds(b->upk, "vm1"));
	assert_false(closed(b, "w1"));
}

/* Has a wave of six VMs go on for a while; how many are on their way. */
static int open_of_six(struct bed *b, int64_t within_ms)
{
	int open = 0;
	int i;

	for (i = 2; i <= 6; i++) {
		char vm[8];
		char w[8];

		g_snprintf(vm, sizeof(vm), "vm%d", i);
		g_snprintf(w, sizeof(w), "w%d", i);
		vm_add(b, vm, w);
	}
	wave(b, 2, within_ms);
	ticks(b, 5);
	for (i = 0; i < (int)b->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(b->list, i);

		open += upk_holds(b->upk, vm->name);
	}
	return open;
}

/*
 * More VMs are down at once than the operator allows: the wave is late, and
 * all the rest of it is wanted at once.
 */
static void a_late_wave_keeps_its_bound(void **state)
{
	assert_int_equal(open_of_six(*state, 1), 2);
}

/* The same where all must go within one round to be in time. */
static void a_wave_in_time_keeps_its_bound(void **state)
{
	assert_int_equal(open_of_six(*state, 12000), 2);
}

/*
 * Time is left, so that VMs go one by one, and the last of them in the middle
 * of the next burst. Those that nobody would miss go at once, within the bound.
 */
static void what_nobody_misses_goes_at_once(void **state)
{
	struct bed *b = *state;

	assert_int_equal(open_of_six(b, WITHIN_MS), 1);
	b->spared = true;
	ticks(b, 5);
	assert_true(upk_holds(b->upk, "vm2"));
	assert_false(upk_holds(b->upk, "vm3"));
}

/*
 * A wave is told as completed with a VM that had no upkeep: it had just been
 * switched on, and no list showed it yet. One that never comes back mustn't
 * hold up the wave for ever.
 */
static void a_vm_not_listed_for_a_moment_isnt_gone(void **state)
{
	struct bed *b = *state;
	struct vms_vm *vm;

	wave(b, 1, WITHIN_MS);
	vm = g_ptr_array_steal_index(b->list, 0);
	ticks(b, 20);
	assert_int_equal(b->done, 0);
	ticks(b, 60);
	assert_int_equal(b->done, 1);
	vms_vm_free(vm);
}

/*
 * Work is thrown away with its VM. A leader that is gone has ordered upkeep,
 * which may be carried out seconds later; the next must give the VM no work.
 */
static void a_vm_that_an_earlier_leader_ordered_gets_no_work(void **state)
{
	struct bed *b = *state;

	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_int_equal(b->orders, 1);
	upk_lead(b->upk);
	assert_true(closed(b, "w1"));
	/* and the order is given again, since nobody knows its answer */
	ticks(b, 2);
	assert_int_equal(b->orders, 2);
}

/*
 * Work is thrown away with its VM. The worker that was emptied ended, and
 * another has come up on the VM and got work before the order.
 */
static void another_lifetime_is_emptied_anew(void **state)
{
	struct bed *b = *state;

	short_job(b, "a");
	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_true(closed(b, "w1"));
	jobs_worker_lost(b->jtb, "w1", true);
	jobs_worker(b->jtb, "w1b", 16000, false);
	g_free(vm_of(b, "vm1")->worker);
	vm_of(b, "vm1")->worker = g_strdup("w1b");
	jobs_start(b->jtb, "a", 0, 0, 2, "w1b");
	ticks(b, 5);
	assert_int_equal(b->orders, 0);
	assert_true(closed(b, "w1b"));
}

/*
 * Work is thrown away with its VM, after the order: the VM failed by itself
 * before that was carried out, and came back with another worker.
 */
static void another_lifetime_after_the_order_is_emptied(void **state)
{
	struct bed *b = *state;

	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_int_equal(b->orders, 1);
	upk_answered(b->upk, "vm1", VMS_UNANSWERED, b->now);
	jobs_worker_lost(b->jtb, "w1", true);
	vm_of(b, "vm1")->state = VMS_DOWN;
	*vm_of(b, "vm1")->worker = '\0';
	ticks(b, 3);
	/* up again, and known before a list shows on which VM it is */
	jobs_worker(b->jtb, "w1b", 16000, false);
	assert_true(closed(b, "w1b"));
	g_free(vm_of(b, "vm1")->worker);
	vm_of(b, "vm1")->worker = g_strdup("w1b");
	vm_of(b, "vm1")->state = VMS_UP;
	short_job(b, "a");
	jobs_start(b->jtb, "a", 0, 0, 2, "w1b");
	tick(b);
	b->orders = 0;
	ticks(b, 10);
	assert_true(closed(b, "w1b"));
	assert_int_equal(b->orders, 0);
	jobs_end(b->jtb, "a", 0, 0, 2, "w1b", JTB_DONE);
	ticks(b, 10);
	assert_true(b->orders > 0);
	/* what the order ends is still the lifetime it was given for */
	assert_string_equal(upk_worker(b->upk, "vm1"), "w1");
	upk_answered(b->upk, "vm1", VMS_YES, b->now);
	ticks(b, 2);
	assert_int_equal(b->done, 1);
}

/*
 * Two waves name the same VMs. One is noted in the wave that didn't begin it:
 * more of that wave are down than it allows, and the other never ends.
 */
static void two_waves_share_no_vm(void **state)
{
	struct bed *b = *state;

	vm_add(b, "vm2", "w2");
	wave_no(b, WAVE, 1, WITHIN_MS);
	wave_no(b, WAVE + 1, 1, WITHIN_MS);
	ticks(b, 3);
	assert_int_equal(b->orders, 2);
	have_upkeep(b, "vm1");
	have_upkeep(b, "vm2");
	ticks(b, 10);
	have_upkeep(b, "vm1");
	have_upkeep(b, "vm2");
	ticks(b, 10);
	assert_int_equal(b->done, 4);
	assert_true(jtb_wave(b->jtb, WAVE)->completed);
	assert_true(jtb_wave(b->jtb, WAVE + 1)->completed);
	assert_false(upk_holds(b->upk, "vm1"));
	assert_false(upk_holds(b->upk, "vm2"));
}

/*
 * An image that never comes up: the wave must lose no VM more than may be down
 * at once, however late it is, and whoever leads.
 */
static void a_bad_image_takes_no_more_than_at_once(void **state)
{
	struct bed *b = *state;
	int i;

	for (i = 2; i <= 6; i++) {
		char vm[8];
		char w[8];

		g_snprintf(vm, sizeof(vm), "vm%d", i);
		g_snprintf(w, sizeof(w), "w%d", i);
		vm_add(b, vm, w);
	}
	wave(b, 2, 5000);
	ticks(b, 3);
	assert_int_equal(b->orders, 2);
	for (i = 0; i < (int)b->list->len; i++) {
		struct vms_vm *vm = g_ptr_array_index(b->list, i);

		if (!upk_holds(b->upk, vm->name))
			continue;
		upk_answered(b->upk, vm->name, VMS_YES, b->now);
		jobs_worker_lost(b->jtb, vm->worker, true);
		*vm->worker = '\0';
		vm->state = i ? VMS_DOWN : VMS_UPKEEP;
	}
	b->orders = 0;
	ticks(b, 100);
	upk_lead(b->upk);
	ticks(b, 100);
	for (i = 0; i < (int)b->list->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(b->list, i);

		assert_true((vm->state == VMS_UP) !=
			    upk_holds(b->upk, vm->name));
	}
	assert_int_equal(b->done, 0);
}

/*
 * A zone is cut off while a VM of it has its upkeep and another is being
 * emptied. Silence is held against nobody: nothing that lasts is stopped beside
 * it, nothing more is begun, and after the cut the wave goes on where it was.
 */
static void a_cut_is_waited_for(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;

	vm_add(b, "vm2", "w2");
	jobs_job(b->jtb, "l", &s, 1, JOBS_WALL_MS);
	jobs_start(b->jtb, "l", 0, 0, 1, "w1");
	jobs_start(b->jtb, "l", 0, 1, 1, "w2");
	part = &jtb_job(b->jtb, "l")->turns[0].steps[0];
	part->tasks[0].run->percent = 100;
	part->tasks[1].run->percent = 100;
	b->unreached = true;
	wave(b, 2, 1);
	ticks(b, 600);
	assert_int_equal(b->stops, 0);
	assert_int_equal(b->orders, 0);
	assert_int_equal(b->done, 0);
	b->unreached = false;
	ticks(b, 3);
	assert_int_equal(b->stops, 1);
}

/* Two VMs of a late wave, each with a task of what lasts; both are at work. */
static const struct jtb_step_state *lasting_on_two(struct bed *b)
{
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;

	vm_add(b, "vm2", "w2");
	jobs_job(b->jtb, "l", &s, 1, JOBS_WALL_MS);
	jobs_start(b->jtb, "l", 0, 0, 1, "w1");
	jobs_start(b->jtb, "l", 0, 1, 1, "w2");
	part = &jtb_job(b->jtb, "l")->turns[0].steps[0];
	part->tasks[0].run->percent = 100;
	part->tasks[1].run->percent = 100;
	wave(b, 2, 1);
	return part;
}

/*
 * VMs are being emptied when another task of what lasts is lost. What isn't
 * stopped yet goes on: were it stopped, too, our own act would break the
 * budget. Its VM is given back until the other is at work again.
 */
static void a_failure_while_emptying_gives_back(void **state)
{
	struct bed *b = *state;
	const struct jtb_step_state *part = lasting_on_two(b);

	tick(b);
	assert_true(closed(b, "w1"));
	assert_true(closed(b, "w2"));
	jobs_end(b->jtb, "l", 0, 1, 1, "w2", JTB_LOST);
	ticks(b, 50);
	assert_false(part->tasks[0].run->stop_wanted);
	assert_false(closed(b, "w1"));
	assert_string_equal(b->ordered, "vm2");
	have_upkeep(b, "vm2");
	ticks(b, 3);
	assert_false(part->tasks[0].run->stop_wanted);
	jobs_start(b->jtb, "l", 0, 1, 2, "w2");
	part->tasks[1].run->percent = 100;
	ticks(b, 3);
	assert_true(part->tasks[0].run->stop_wanted);
}

/*
 * A service is a task short for good, and its wave never ends: every VM that
 * could take the task is closed, and none of them can be emptied while it is
 * away.
 */
static void what_cant_be_emptied_isnt_closed(void **state)
{
	struct bed *b = *state;
	const struct jtb_step_state *part = lasting_on_two(b);

	part->tasks[1].run->percent = 10;
	ticks(b, 5);
	assert_true(part->tasks[1].run->stop_wanted);
	assert_true(closed(b, "w2"));
	assert_false(closed(b, "w1"));
	jobs_end(b->jtb, "l", 0, 1, 1, "w2", JTB_STOPPED);
	jobs_start(b->jtb, "l", 0, 1, 2, "w1");
	ticks(b, 2);
	assert_false(closed(b, "w1"));
	part->tasks[1].run->percent = 100;
	ticks(b, 2);
	assert_true(closed(b, "w1"));
}

/* Two leaders give one VM orders by turns. */
static void a_later_leader_has_taken_it_over(void **state)
{
	struct bed *b = *state;

	wave(b, 1, WITHIN_MS);
	ticks(b, 3);
	assert_int_equal(b->orders, 1);
	upk_answered(b->upk, "vm1", VMS_FENCED, b->now);
	ticks(b, 30);
	assert_int_equal(b->orders, 1);
}

/* What is on its way to another pool is left alone. */
static void a_vm_on_its_way_is_waited_for(void **state)
{
	struct bed *b = *state;

	b->held = "vm1";
	wave(b, 1, WITHIN_MS);
	ticks(b, 5);
	assert_int_equal(b->orders, 0);
	b->held = NULL;
	ticks(b, 5);
	assert_int_equal(b->orders, 1);
}

/*
 * A service falls under its availability budget: one of its tasks is ended for
 * upkeep while another is away, for whatever cause.
 */
static void work_that_lasts_keeps_its_budget(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 3,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	const struct jtb_step_state *part;
	struct jtb_run *run;
	uint32_t i;

	jobs_job(b->jtb, "l", &s, 1, JOBS_WALL_MS);
	for (i = 0; i < 3; i++)
		jobs_start(b->jtb, "l", 0, i, 1, "w1");
	part = &jtb_job(b->jtb, "l")->turns[0].steps[0];
	run = part->tasks[0].run;
	/* the others have begun and aren't at work yet */
	assert_false(upk_may_stop(b->upk, run));
	for (i = 0; i < 3; i++)
		part->tasks[i].run->percent = 100;
	assert_true(upk_may_stop(b->upk, run));
	part->tasks[1].run->stop_wanted = true;
	assert_false(upk_may_stop(b->upk, run));
	part->tasks[1].run->stop_wanted = false;
	b->unreached = true;
	assert_false(upk_may_stop(b->upk, run));
	b->unreached = false;
	jobs_end(b->jtb, "l", 0, 2, 1, "w1", JTB_LOST);
	assert_false(upk_may_stop(b->upk, run));
}

/*
 * Work that lasts is without a run for good, and the wave stands still. A wave
 * that is late closes all workers of a pool. A run on each of two has failed
 * meanwhile and can't begin anywhere; so the other run of each step may not be
 * stopped, and neither worker is ever empty.
 */
static void a_pool_is_not_closed_for_good(void **state)
{
	struct bed *b = *state;
	struct jtb_step s = {.count = 2,
			     .cpu = 1000,
			     .may_miss = 1,
			     .flags = JTB_LONG_RUNNING};
	bool open = false;
	int i;

	vm_add(b, "vm2", "w2");
	jobs_job(b->jtb, "a", &s, 1, JOBS_WALL_MS);
	jobs_job(b->jtb, "b", &s, 1, JOBS_WALL_MS);
	jobs_start(b->jtb, "a", 0, 0, 1, "w1");
	jobs_start(b->jtb, "b", 0, 1, 1, "w2");
	wave(b, 2, 1000);
	for (i = 0; i < 100 && !open; i++) {
		tick(b);
		open = !closed(b, "w1") || !closed(b, "w2");
	}
	assert_true(open);
	assert_int_equal(b->stops, 0);
	assert_int_equal(b->orders, 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_vm_is_emptied_before_its_upkeep),
		T(upkeep_is_over_once_a_later_list_shows_it),
		T(a_late_wave_keeps_its_bound),
		T(a_vm_that_is_done_frees_its_place),
		T(a_vm_that_is_gone_isnt_ordered_again),
		T(the_last_vm_of_a_wave_is_let_go),
		T(a_wave_in_time_keeps_its_bound),
		T(what_nobody_misses_goes_at_once),
		T(a_later_leader_has_taken_it_over),
		T(a_vm_not_listed_for_a_moment_isnt_gone),
		T(a_vm_that_an_earlier_leader_ordered_gets_no_work),
		T(another_lifetime_is_emptied_anew),
		T(another_lifetime_after_the_order_is_emptied),
		T(two_waves_share_no_vm),
		T(a_bad_image_takes_no_more_than_at_once),
		T(a_cut_is_waited_for),
		T(a_failure_while_emptying_gives_back),
		T(what_cant_be_emptied_isnt_closed),
		T(a_vm_on_its_way_is_waited_for),
		T(work_that_lasts_keeps_its_budget),
		T(a_pool_is_not_closed_for_good),
	};

	return cmocka_run_group_tests_name("upk", tests, NULL, NULL);
}
