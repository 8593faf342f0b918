#include "flo_int.h"

/* Ranks the VMs of each pool by the cost of moving them away. */

static int flo_compare_candidates(gconstpointer a, gconstpointer b);
static void flo_clear_candidates(struct flo *f);
static void flo_sort_candidates(struct flo *f);
static bool flo_may_move(const struct flo *f, const struct vms_vm *vm);
static double flo_move_cost(const struct flo *f, const struct vms_vm *vm);
static bool flo_has_work_in_time(const struct flo *f, const struct vms_vm *vm);

/* Returns the cheapest candidate of a pool, or NULL. */
const struct vms_vm *flo_best_candidate(const struct flo_pool *from)
{
	return from->candidates->len
		       ? g_array_index(from->candidates, struct flo_candidate,
				       from->candidates->len - 1)
				 .vm
		       : NULL;
}

/*
 * Sorts the candidates of each pool by cost, once a tick. Scanning all VMs for
 * each move blocked the event loop at the beginning of a burst.
 */
void flo_rank_candidates(struct flo *f)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	flo_clear_candidates(f);
	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		struct flo_candidate candidate = {.vm = vm, .index = i};

		if (!flo_may_move(f, vm))
			continue;
		candidate.cost = flo_move_cost(f, vm);
		if (candidate.cost >= 0)
			g_array_append_val(
				flo_get_pool(f, vm->pool)->candidates,
				candidate);
	}
	flo_sort_candidates(f);
}

/*
 * Sorts the candidates for a division among pools that all need their VMs. VMs
 * without work that can be in time go first. VMs that have just come stay, and
 * so does one that would not be empty in time: no new work goes there while it
 * is waited for.
 */
void flo_rank_for_division(struct flo *f, int64_t now)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	flo_clear_candidates(f);
	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		struct flo_candidate candidate = {.vm = vm, .index = i};

		if (!flo_may_move(f, vm) || flo_came_lately(f, vm->name, now))
			continue;
		candidate.empty_ms = flo_move_cost(f, vm);
		if (candidate.empty_ms < 0 ||
		    candidate.empty_ms > FLO_DRAIN_TIMEOUT_MS)
			continue;
		candidate.cost = candidate.empty_ms;
		if (flo_has_work_in_time(f, vm))
			candidate.cost += FLO_DRAIN_TIMEOUT_MS;
		g_array_append_val(flo_get_pool(f, vm->pool)->candidates,
				   candidate);
	}
	flo_sort_candidates(f);
}

static void flo_clear_candidates(struct flo *f)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		g_array_set_size(p->candidates, 0);
	}
}

static void flo_sort_candidates(struct flo *f)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		g_array_sort(p->candidates, flo_compare_candidates);
	}
}

/*
 * Whether a VM is up where it is listed, not in upkeep and not being moved.
 */
static bool flo_may_move(const struct flo *f, const struct vms_vm *vm)
{
	return vm->state == VMS_UP && !flo_find_move(f, vm->name) &&
	       !flo_came_unseen(f, vm->name) &&
	       !f->ops->is_pinned(f->arg, vm->name);
}

/*
 * Whether it is known which worker is on a VM: the listed one answers, or the VM
 * is in a pool whose VMs are switched off. Where a worker should be and the list
 * names none, or one that is gone, another may have come up since.
 */
bool flo_knows_worker(const struct flo *f, const struct vms_vm *vm)
{
	const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
	const struct flo_pool *p = flo_pool(f, vm->pool);

	if (!*vm->worker)
		return p && p->standby;
	return w && f->ops->is_reachable(f->arg, w);
}

/* Whether a run on a VM belongs to a job that can still be in time. */
static bool flo_has_work_in_time(const struct flo *f, const struct vms_vm *vm)
{
	const struct jtb_config *c = jtb_config(f->jtb);
	const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
	guint i;

	for (i = 0; w && i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_queue *q = jtb_queue(c, run->job->spec.queue);

		if (q && flo_chance(q, run->job, f->wall_ms) == SCH_IN_TIME)
			return true;
	}
	return false;
}

/* Orders by descending cost: the cheapest is taken from the end. */
static int flo_compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct flo_candidate *x = a;
	const struct flo_candidate *y = b;

	if (x->cost != y->cost)
		return x->cost > y->cost ? -1 : 1;
	return (x->index < y->index) - (x->index > y->index);
}

/*
 * Returns the cost of moving a VM away, negative if it must stay. A worker that
 * is reserved for long-running work looks idle but is not. The VM that is empty
 * soonest costs least, since the free capacity of a VM that is being drained
 * stays unused.
 */
static double flo_move_cost(const struct flo *f, const struct vms_vm *vm)
{
	const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
	double cost = 0;
	double empty_ms = 0;
	guint i;

	if (!flo_knows_worker(f, vm))
		return -1;
	if (!w)
		return 0;
	if (w->reserved_ms && f->ticked_ms - w->reserved_ms < FLO_RESERVED_MS)
		return -1;
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		/* Long-running work stays where it is. */
		if (s->flags & JTB_LONG_RUNNING)
			return -1;
		if (!(s->flags & JTB_CHECKPOINTS))
			empty_ms = MAX(empty_ms, flo_estimate_remaining_ms(
							 run, f->ticked_ms));
		cost += 1;
	}
	return cost + empty_ms;
}
