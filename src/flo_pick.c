#include "flo_int.h"

/* Which VM a pool misses least. */

static int flo_pick_order(gconstpointer a, gconstpointer b);
static double flo_cost(const struct flo *f, const struct vms_vm *vm);

/* The VM of a pool that is missed least, or NULL. */
const struct vms_vm *flo_choose(const struct flo_pool *from)
{
	return from->picks->len ? g_array_index(from->picks, struct flo_pick,
						from->picks->len - 1)
					  .vm
				: NULL;
}

/*
 * Puts the VMs of each pool in the order in which they may be taken, once a
 * tick. To look through all of them for each that is taken held the loop up
 * just as a burst began.
 */
void flo_rank(struct flo *f)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		g_array_set_size(p->picks, 0);
	}
	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		struct flo_pick s = {.vm = vm, .place = i};

		if (vm->state != VMS_UP || flo_move_of(f, vm->name) ||
		    f->ops->held(f->arg, vm->name))
			continue;
		s.cost = flo_cost(f, vm);
		if (s.cost >= 0)
			g_array_append_val(flo_pool_at(f, vm->pool)->picks, s);
	}
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		g_array_sort(p->picks, flo_pick_order);
	}
}

/* Those missed least come last, where they are taken from. */
static int flo_pick_order(gconstpointer a, gconstpointer b)
{
	const struct flo_pick *x = a;
	const struct flo_pick *y = b;

	if (x->cost != y->cost)
		return x->cost > y->cost ? -1 : 1;
	return (x->place < y->place) - (x->place > y->place);
}

/*
 * What taking a VM away costs; below 0: it must stay. One that is kept free
 * for work that lasts looks idle and isn't. The VM that is empty soonest costs
 * least: until then it has room that nobody uses.
 */
static double flo_cost(const struct flo *f, const struct vms_vm *vm)
{
	const struct jtb_worker *w = jtb_worker(f->jtb, vm->worker);
	double cost = 0;
	double empty_ms = 0;
	guint i;

	if (!w)
		return *vm->worker ? -1 : 0;
	if (w->reserved_ms && f->ticked_ms - w->reserved_ms < FLO_KEPT_MS)
		return -1;
	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		const struct jtb_step *s = &run->job->spec.steps[run->step];

		/* Work that lasts stays where it is. */
		if (s->flags & JTB_LONG_RUNNING)
			return -1;
		if (!(s->flags & JTB_CHECKPOINTS))
			empty_ms =
				MAX(empty_ms, flo_left_ms(run, f->ticked_ms));
		cost += 1;
	}
	return cost + empty_ms;
}
