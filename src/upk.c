#include "upk.h"

#include "msg.h"

/*
 * Duration of one VM's upkeep cycle, from closing its worker to new work until
 * its successor accepts some: the remaining runs, the upkeep itself and the
 * first report of the new worker, ms.
 */
#define UPK_CYCLE_MS 7000
/* Divisor of the wave's time that gives the reserve for failures and delays. */
#define UPK_RESERVE_DIVISOR 4
/* An order that was not accepted is sent again after this time, ms. */
#define UPK_RETRY_MS 600
/* A worker reserved for long-running work is drained last for this long, ms. */
#define UPK_RESERVED_MS 1000
/*
 * A VM that no run has left for this long is returned to service, ms: a
 * long-running task on it waits for other tasks of its step, which may have no
 * other VM to run on.
 */
#define UPK_STUCK_MS 3000
/*
 * Runs that have not ended by then are stopped and started again elsewhere, ms.
 */
#define UPK_STOP_AFTER_MS 2500

/* Progress of one VM's upkeep, while it is drained or down. */
struct upk_drain {
	char *vm;
	char *worker; /* worker process that the order ends */
	/* worker that came up before the order was accepted; or NULL */
	char *new_worker;
	uint64_t wave;
	int64_t from_ms;
	int64_t progress_ms; /* when the number of its runs last fell */
	guint progress_runs; /* number of runs at that time */
	int64_t ordered_ms; /* when it was ordered; 0: not yet */
	int64_t accepted_ms; /* when the order was accepted; 0: not yet */
	bool recorded; /* JTB_VM_BEGUN is in the table or on its way there */
	/* lists since then that name no worker on the VM that answers */
	struct evd_absence nobody;
	bool fenced; /* a later leader gives the orders for it now */
	bool done_recorded; /* JTB_VM_DONE is on its way to the table */
	bool returning; /* it cannot be drained now and returns to service */
};

/* A VM that may be drained next. */
struct upk_candidate {
	const struct vms_vm *vm;
	double cost;
	guint index; /* index in its wave: at equal cost the lowest is first */
};

struct upk {
	struct jtb *jtb;
	const struct vms *vms;
	const struct upk_ops *ops;
	void *arg;
	GPtrArray *drains; /* struct upk_drain */
	GHashTable *by_vm; /* the same entries, by VM name */
};

static void upk_free_drain(gpointer p);
static struct upk_drain *upk_find_drain(const struct upk *u, const char *vm);
static struct upk_drain *upk_find_own_drain(const struct upk *u,
					    const struct jtb_wave *w,
					    const char *vm);
static void upk_add_ordered(const struct jtb_wave *w, GHashTable *ids);
static bool upk_is_worker_unknown(const struct upk *u,
				  const struct upk_drain *d);
static bool upk_is_standby(const struct upk *u, const struct vms_vm *vm);
static bool upk_may_begin(const struct upk *u, const struct upk_drain *d,
			  const struct vms_vm *vm);
static bool upk_is_worker_up(const struct upk *u, const struct vms_vm *vm);
static void upk_add_unlisted(const struct upk *u, GHashTable *ids);
static bool upk_note_new_worker(const struct upk *u, struct upk_drain *d,
				int64_t now);
static void upk_advance_wave(struct upk *u, struct jtb_wave *w, int64_t now,
			     int64_t wall);
static void upk_remove_finished(struct upk *u);
static void upk_reconcile(struct upk *u, struct jtb_wave *w, int64_t now);
static void upk_forget_absences(const struct jtb_wave *w);
static uint32_t upk_count_wanted(const struct jtb_wave *w, uint32_t remaining,
				 int64_t wall);
static uint32_t upk_start_drains(struct upk *u, struct jtb_wave *w,
				 uint32_t most, bool spare_only, int64_t now);
static int upk_compare_candidates(gconstpointer a, gconstpointer b);
static struct upk_drain *upk_add_drain(struct upk *u, const struct jtb_wave *w,
				       const char *vm, const char *worker,
				       int64_t now);
static double upk_drain_cost(const struct upk *u, const struct vms_vm *vm,
			     int64_t now);
static void upk_advance_drain(struct upk *u, struct jtb_wave *w,
			      struct upk_drain *d, struct jtb_wave_vm *v,
			      int64_t now);
static void upk_stop_runs(struct upk *u, struct jtb_worker *w, int64_t waited);
static bool upk_is_stuck(struct upk_drain *d, const struct jtb_worker *w,
			 int64_t now);
static bool upk_is_blocked(const struct upk *u, const struct jtb_worker *w);

/*
 * Creates the planner for the waves in jtb's table and the VMs in vms; both
 * must outlive it. The ops are called with arg.
 */
struct upk *upk_new(struct jtb *jtb, const struct vms *vms,
		    const struct upk_ops *ops, void *arg)
{
	struct upk *u = g_new0(struct upk, 1);

	u->jtb = jtb;
	u->vms = vms;
	u->ops = ops;
	u->arg = arg;
	u->drains = g_ptr_array_new_with_free_func(upk_free_drain);
	u->by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	return u;
}

/* Frees the planner; NULL is allowed. */
void upk_free(struct upk *u)
{
	if (!u)
		return;
	g_hash_table_destroy(u->by_vm);
	g_ptr_array_free(u->drains, TRUE);
	g_free(u);
}

/*
 * Resets the planner when this replica becomes leader: all state is derived
 * from the job table again.
 */
void upk_reset(struct upk *u)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	g_hash_table_remove_all(u->by_vm);
	g_ptr_array_set_size(u->drains, 0);
	for (i = 0; i < waves->len; i++)
		upk_forget_absences(g_ptr_array_index(waves, i));
}

/* Forgets the lists that an earlier term of this replica read. */
static void upk_forget_absences(const struct jtb_wave *w)
{
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		v->absence = (struct evd_absence){0};
	}
}

/*
 * Advances all waves that are not completed. Does nothing before the first VM
 * list; the list should be recent.
 */
void upk_tick(struct upk *u, int64_t now_ms, int64_t wall_ms)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	if (!vms_listed_ms(u->vms))
		return;
	upk_remove_finished(u);
	for (i = 0; i < waves->len; i++) {
		struct jtb_wave *w = g_ptr_array_index(waves, i);

		if (!w->completed)
			upk_advance_wave(u, w, now_ms, wall_ms);
	}
}

/*
 * Removes VMs that the table has as done, that are in no wave any more, or that
 * return to service.
 */
static void upk_remove_finished(struct upk *u)
{
	guint i;

	for (i = u->drains->len; i > 0; i--) {
		const struct upk_drain *d = g_ptr_array_index(u->drains, i - 1);
		const struct jtb_wave *w = jtb_wave(u->jtb, d->wave);
		const struct jtb_wave_vm *v =
			w ? jtb_wave_find(w, d->vm) : NULL;

		if (v && v->state != JTB_VM_DONE && !d->returning)
			continue;
		g_hash_table_remove(u->by_vm, d->vm);
		g_ptr_array_remove_index_fast(u->drains, i - 1);
	}
}

/* Processes the platform's answer to the order for a VM. */
void upk_answered(struct upk *u, const char *vm, enum vms_answer answer,
		  int64_t now_ms)
{
	struct upk_drain *d = upk_find_drain(u, vm);

	if (!d)
		return;
	if (answer == VMS_FENCED)
		d->fenced = true;
	else if (answer == VMS_ACCEPTED && !d->accepted_ms)
		d->accepted_ms = now_ms;
}

/*
 * Returns the id of the worker that the upkeep order of a VM ends, or NULL if
 * upkeep of that VM has not been recorded as begun.
 */
const char *upk_worker(const struct upk *u, const char *vm)
{
	const struct upk_drain *d = upk_find_drain(u, vm);

	return d && d->recorded ? d->worker : NULL;
}

/* Whether a VM is being drained or is down for its upkeep. */
bool upk_is_in_upkeep(const struct upk *u, const char *vm)
{
	return upk_find_drain(u, vm) != NULL;
}

/*
 * Whether a VM waits in a wave whose remaining time is less than two upkeep
 * cycles.
 */
bool upk_urgent(const struct upk *u, const char *vm, int64_t wall_ms)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	for (i = 0; i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);
		const struct jtb_wave_vm *v;

		if (w->completed ||
		    w->from_ms + w->within_ms - wall_ms >= 2 * UPK_CYCLE_MS)
			continue;
		v = jtb_wave_find(w, vm);
		if (v && v->state == JTB_VM_WAITING)
			return true;
	}
	return false;
}

/* Whether any wave isn't completed. */
bool upk_busy(const struct upk *u)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	guint i;

	for (i = 0; i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);

		if (!w->completed)
			return true;
	}
	return false;
}

/* Whether a worker's VM still waits for its upkeep in a wave. */
bool upk_due(const struct upk *u, const char *worker)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	const struct vms_vm *vm = vms_of_worker(u->vms, worker);
	guint i;

	for (i = 0; vm && i < waves->len; i++) {
		const struct jtb_wave *w = g_ptr_array_index(waves, i);
		const struct jtb_wave_vm *v =
			w->completed ? NULL : jtb_wave_find(w, vm->name);

		if (v && v->state == JTB_VM_WAITING)
			return true;
	}
	return false;
}

/*
 * Adds the ids of workers that get no new work because their VMs are being
 * drained. The set borrows the strings until the planner is called again or a
 * worker leaves the job table.
 */
void upk_add_closed(const struct upk *u, GHashTable *ids)
{
	GPtrArray *waves = jtb_waves(u->jtb);
	bool unlisted = false;
	guint i;

	for (i = 0; i < u->drains->len; i++) {
		const struct upk_drain *d = g_ptr_array_index(u->drains, i);

		g_hash_table_add(ids, d->worker);
		if (d->new_worker)
			g_hash_table_add(ids, d->new_worker);
		unlisted |= upk_is_worker_unknown(u, d);
	}
	if (unlisted)
		upk_add_unlisted(u, ids);
	/* An earlier leader may have ordered it; that order may arrive late. */
	for (i = 0; i < waves->len; i++)
		upk_add_ordered(g_ptr_array_index(waves, i), ids);
}

/*
 * Whether a VM's order may still be carried out while the worker on that VM is
 * unknown: the VM went down by itself before its order was accepted. The newest
 * list names no worker then, or still the one from before, which doesn't answer
 * any more.
 */
static bool upk_is_worker_unknown(const struct upk *u,
				  const struct upk_drain *d)
{
	const struct vms_vm *vm = vms_find(u->vms, d->vm);

	if (!d->recorded || d->accepted_ms || d->done_recorded ||
	    upk_is_standby(u, vm))
		return false;
	return !vm || !upk_is_worker_up(u, vm);
}

/* Whether a VM, or NULL, is in a pool whose VMs are switched off. */
static bool upk_is_standby(const struct upk *u, const struct vms_vm *vm)
{
	const struct jtb_pool *p =
		vm ? jtb_pool(jtb_config(u->jtb), vm->pool) : NULL;

	return p && p->standby;
}

/*
 * Whether the newest list tells enough of a VM to begin its upkeep: its worker
 * answers, or the list was requested since the drain began. During an outage of
 * the platform a VM may fail and come back unseen.
 */
static bool upk_may_begin(const struct upk *u, const struct upk_drain *d,
			  const struct vms_vm *vm)
{
	return vm && vm->state == VMS_UP &&
	       (upk_is_worker_up(u, vm) || vms_listed_ms(u->vms) > d->from_ms);
}

/* Whether the worker that the newest list names for a VM answers. */
static bool upk_is_worker_up(const struct upk *u, const struct vms_vm *vm)
{
	const struct jtb_worker *w = jtb_worker(u->jtb, vm->worker);

	return w && u->ops->is_reachable(u->arg, w);
}

/*
 * Adds the workers that are in no VM list yet. One of them may run on a VM with
 * an outstanding order, and its work would be lost with that VM. Such workers
 * wait only until the next list.
 */
static void upk_add_unlisted(const struct upk *u, GHashTable *ids)
{
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(u->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (!vms_of_worker(u->vms, w->info.id))
			g_hash_table_add(ids, w->info.id);
}

/* Adds the workers of a wave's VMs whose upkeep has been recorded as begun. */
static void upk_add_ordered(const struct jtb_wave *w, GHashTable *ids)
{
	guint i;

	for (i = 0; !w->completed && i < w->vms->len; i++) {
		const struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		if (v->state == JTB_VM_BEGUN && v->worker_before)
			g_hash_table_add(ids, v->worker_before);
	}
}

/*
 * Whether a run may be stopped. Of a long-running step at most may_miss tasks
 * may be unavailable at a time; if may_miss is 0, one.
 */
bool upk_may_stop(const struct upk *u, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];

	return !(s->flags & JTB_LONG_RUNNING) ||
	       upk_count_unavailable(u, run) < MAX(1, s->may_miss);
}

/*
 * Returns how many other tasks of a run's step are unavailable, for any reason.
 * A run below 100 percent has just begun and does not count as available.
 */
uint32_t upk_count_unavailable(const struct upk *u, const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	const struct jtb_step_state *part =
		&run->job->turns[run->turn].steps[run->step];
	uint32_t away = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		const struct jtb_run *other = part->tasks[i].run;

		if (other == run)
			continue;
		if (!other || jtb_run_is_stopping(other) ||
		    other->percent < 100 ||
		    !u->ops->is_reachable(u->arg, other->worker))
			away++;
	}
	return away;
}

/* Frees a VM's upkeep progress. */
static void upk_free_drain(gpointer p)
{
	struct upk_drain *d = p;

	g_free(d->vm);
	g_free(d->worker);
	g_free(d->new_worker);
	g_free(d);
}

/* Returns the upkeep progress of a VM, or NULL. */
static struct upk_drain *upk_find_drain(const struct upk *u, const char *vm)
{
	return g_hash_table_lookup(u->by_vm, vm);
}

/* Adds a VM to be drained, or one whose upkeep an earlier leader began. */
static struct upk_drain *upk_add_drain(struct upk *u, const struct jtb_wave *w,
				       const char *vm, const char *worker,
				       int64_t now)
{
	struct upk_drain *d = g_new0(struct upk_drain, 1);

	d->vm = g_strdup(vm);
	d->worker = g_strdup(worker);
	d->wave = w->no;
	d->from_ms = now;
	g_ptr_array_add(u->drains, d);
	g_hash_table_insert(u->by_vm, d->vm, d);
	return d;
}

/*
 * Returns the upkeep progress of a VM if it belongs to this wave, or NULL. A VM
 * that is in two waves is handled by one of them at a time.
 */
static struct upk_drain *upk_find_own_drain(const struct upk *u,
					    const struct jtb_wave *w,
					    const char *vm)
{
	struct upk_drain *d = upk_find_drain(u, vm);

	return d && d->wave == w->no ? d : NULL;
}

/* Advances one wave. */
static void upk_advance_wave(struct upk *u, struct jtb_wave *w, int64_t now,
			     int64_t wall)
{
	uint32_t remaining = 0;
	uint32_t in_progress = 0;
	uint32_t wanted;
	guint i;

	upk_reconcile(u, w, now);
	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		struct upk_drain *d = upk_find_own_drain(u, w, v->vm);

		remaining += v->state != JTB_VM_DONE;
		in_progress += d != NULL || v->state == JTB_VM_BEGUN;
		if (d)
			upk_advance_drain(u, w, d, v, now);
	}
	wanted = upk_count_wanted(w, remaining, wall);
	if (in_progress < wanted)
		in_progress += upk_start_drains(u, w, wanted - in_progress,
						false, now);
	/*
	 * At most one in each tick: a VM closed now is missing from its pool's
	 * capacity only from the next tick on.
	 */
	if (in_progress < w->at_once)
		upk_start_drains(u, w, 1, true, now);
}

/*
 * Reconciles the table with the VM list. A VM whose order was accepted is done
 * once a later list has it as up; a VM that later lists keep lacking is taken as
 * removed. Orders of an earlier leader are sent again: only an answer shows
 * that they arrived, and a repeated order has no further effect.
 */
static void upk_reconcile(struct upk *u, struct jtb_wave *w, int64_t now)
{
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		const struct vms_vm *vm = vms_find(u->vms, v->vm);
		struct upk_drain *d = upk_find_own_drain(u, w, v->vm);
		bool over = false;

		if (v->state == JTB_VM_DONE)
			continue;
		if (evd_vm_gone(&v->absence, vms_is_listed(u->vms, v->vm),
				vms_listed_ms(u->vms), now))
			over = true;
		else if (vm && v->state == JTB_VM_BEGUN && vm->state == VMS_UP)
			over = d && d->accepted_ms &&
			       vms_listed_ms(u->vms) > d->accepted_ms;
		if (over && (!d || !d->done_recorded)) {
			/*
			 * Not removed before the table has it as done, or it
			 * would be started again.
			 */
			if (d)
				d->done_recorded = true;
			u->ops->note(u->arg, w, v, JTB_VM_DONE, NULL);
		} else if (v->state == JTB_VM_BEGUN &&
			   !upk_find_drain(u, v->vm)) {
			d = upk_add_drain(
				u, w, v->vm,
				v->worker_before ? v->worker_before : "", now);
			d->recorded = true;
		}
	}
}

/*
 * Returns how many VMs should be in progress now: as few as complete the wave
 * in time, since each one reduces the capacity of its pool. VMs that can be
 * spared are started as soon as they are idle and are not counted here, so that
 * few are left for the time of the next burst.
 */
static uint32_t upk_count_wanted(const struct jtb_wave *w, uint32_t remaining,
				 int64_t wall)
{
	int64_t rest_ms = w->from_ms + w->within_ms -
			  w->within_ms / UPK_RESERVE_DIVISOR - wall;
	int64_t rounds = rest_ms / UPK_CYCLE_MS;
	uint32_t wanted;

	if (rounds < 1)
		return MIN(remaining, w->at_once);
	wanted = (uint32_t)((remaining + rounds - 1) / rounds);
	return MIN(MIN(wanted, remaining), w->at_once);
}

/*
 * Starts to drain at most `most` VMs, the cheapest first; returns how many were
 * started. spare_only: only VMs that can be down without being missed. The wave
 * is scanned once for all of them: a scan for each VM blocked the event loop
 * when a wave of hundreds of VMs began.
 */
static uint32_t upk_start_drains(struct upk *u, struct jtb_wave *w,
				 uint32_t most, bool spare_only, int64_t now)
{
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct upk_candidate));
	uint32_t n = 0;
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);
		const struct vms_vm *vm = vms_find(u->vms, v->vm);
		struct upk_candidate candidate = {.vm = vm, .index = i};

		if (v->state != JTB_VM_WAITING || !vm || vm->state != VMS_UP ||
		    upk_find_drain(u, v->vm) ||
		    u->ops->is_moving(u->arg, v->vm) ||
		    (spare_only && !u->ops->is_spare(u->arg, v->vm)))
			continue;
		candidate.cost = upk_drain_cost(u, vm, now);
		g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, upk_compare_candidates);
	for (i = 0; i < candidates->len && n < most; i++) {
		const struct vms_vm *vm =
			g_array_index(candidates, struct upk_candidate, i).vm;

		/* a wave may contain a VM twice */
		if (upk_find_drain(u, vm->name) ||
		    upk_is_blocked(u, jtb_worker(u->jtb, vm->worker)))
			continue;
		upk_add_drain(u, w, vm->name, vm->worker, now);
		n++;
	}
	g_array_free(candidates, TRUE);
	return n;
}

/* Orders candidates by ascending cost, then by index in the wave. */
static int upk_compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct upk_candidate *x = a;
	const struct upk_candidate *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return (x->index > y->index) - (x->index < y->index);
}

/*
 * Returns the cost of draining a VM. A run of long-running work, which must be
 * restarted elsewhere, costs more than another run.
 */
static double upk_drain_cost(const struct upk *u, const struct vms_vm *vm,
			     int64_t now)
{
	const struct jtb_worker *w = jtb_worker(u->jtb, vm->worker);
	double cost = 0;
	guint i;

	if (!w)
		return 0;
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		cost += s->flags & JTB_LONG_RUNNING ? 4 : 1;
	}
	/*
	 * Reserved for long-running work, which would have to wait again
	 * elsewhere.
	 */
	if (w->reserved_ms && now - w->reserved_ms < UPK_RESERVED_MS)
		cost += 100;
	return cost + (double)w->used_cpu / MAX(1, w->info.cpu);
}

/*
 * Drains a VM; orders its upkeep when no run is left on it. While its worker
 * isn't known, lists have to show first that no other one has come up there.
 */
static void upk_advance_drain(struct upk *u, struct jtb_wave *w,
			      struct upk_drain *d, struct jtb_wave_vm *v,
			      int64_t now)
{
	const struct vms_vm *vm = vms_find(u->vms, d->vm);
	struct jtb_worker *worker;
	bool empty;

	if (d->fenced || d->done_recorded || upk_note_new_worker(u, d, now))
		return;
	empty = evd_vm_empty(&d->nobody, !upk_is_worker_unknown(u, d),
			     vms_listed_ms(u->vms), now);
	worker = jtb_worker(u->jtb, d->new_worker ? d->new_worker : d->worker);
	/* Also runs that were being started when the worker was closed. */
	if (worker && worker->runs->len && !d->accepted_ms) {
		upk_stop_runs(u, worker, now - d->from_ms);
		/* upk_remove_finished() removes it in the next tick. */
		d->returning = !d->recorded && upk_is_blocked(u, worker) &&
			       upk_is_stuck(d, worker, now);
		return;
	}
	if (!d->recorded) {
		if (!upk_may_begin(u, d, vm))
			return;
		d->recorded = true;
		u->ops->note(u->arg, w, v, JTB_VM_BEGUN, d->worker);
		return;
	}
	if (v->state == JTB_VM_BEGUN && !d->accepted_ms && empty &&
	    (!d->ordered_ms || now - d->ordered_ms > UPK_RETRY_MS)) {
		d->ordered_ms = now;
		u->ops->order(u->arg, w, v);
	}
}

/*
 * Whether another worker came up by itself on a VM that is being drained; if
 * so, records it, and the drain starts again. This is possible also after the
 * order was sent, since the time at which it is carried out is unknown until it
 * is accepted. A worker that comes up after that is the result of the order.
 */
static bool upk_note_new_worker(const struct upk *u, struct upk_drain *d,
				int64_t now)
{
	const struct vms_vm *vm = vms_find(u->vms, d->vm);
	char **worker = d->recorded ? &d->new_worker : &d->worker;

	if (!vm || !*vm->worker || d->accepted_ms ||
	    strcmp(vm->worker, d->worker) == 0 ||
	    g_strcmp0(vm->worker, *worker) == 0)
		return false;
	g_free(*worker);
	*worker = g_strdup(vm->worker);
	d->from_ms = now;
	return true;
}

/*
 * Stops the runs on a worker: long-running ones as soon as their budget allows
 * it, others when they have taken too long.
 */
static void upk_stop_runs(struct upk *u, struct jtb_worker *w, int64_t waited)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		if (jtb_run_is_stopping(run))
			continue;
		if (s->flags & JTB_LONG_RUNNING ? upk_may_stop(u, run)
						: waited > UPK_STOP_AFTER_MS)
			u->ops->stop(u->arg, run, "upkeep");
	}
}

/* Whether no run has left a worker for UPK_STUCK_MS. */
static bool upk_is_stuck(struct upk_drain *d, const struct jtb_worker *w,
			 int64_t now)
{
	if (!d->progress_ms || w->runs->len < d->progress_runs) {
		d->progress_ms = now;
		d->progress_runs = w->runs->len;
	}
	return now - d->progress_ms > UPK_STUCK_MS;
}

/*
 * Whether a worker has a long-running run that may not be stopped now because
 * other tasks of its step are unavailable. Closing its VM would be of no use,
 * and could leave those other tasks without a VM to run on: then neither they
 * nor the wave would ever advance.
 */
static bool upk_is_blocked(const struct upk *u, const struct jtb_worker *w)
{
	guint i;

	for (i = 0; w && i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_run_is_stopping(run) && !upk_may_stop(u, run))
			return true;
	}
	return false;
}
