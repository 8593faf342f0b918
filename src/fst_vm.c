#include "fst_in.h"

/*
 * Which pool each VM belongs to. A VM has one pool at any moment; a move goes
 * through three steps, each fenced by the VM's epoch:
 *
 *   begin     the old pool keeps the VM, entry daemons place nothing new
 *   released  no entry daemon can place there any more
 *   moved     the VM belongs to the new pool
 *
 * Without the step between, an entry daemon that has not heard of the move
 * would place the old pool's work on a VM that another one already counts to
 * the new pool.
 */

static struct fst_vm *fst_vm_new(const char *name, const char *pool);
static struct fst_vm *fst_vm_wanted(struct fst_run *r, struct lstr name);
static int fst_vm_order(gconstpointer a, gconstpointer b);
static void fst_vm_begin(struct fst_run *r, struct fst_vm *vm, const char *to);
static void fst_vm_settle(struct fst_run *r, struct fst_vm *vm);
static struct fst_vm *fst_step_vm(struct fst_run *r);
static bool fst_member_fits(struct fst_run *r, const struct fst_vm *vm,
			    const struct cfg_vm *line, const struct cfg *next);
static bool fst_line_changed(const struct fst_run *r,
			     const struct cfg_vm *line);
static void fst_member_keep(struct fst_run *r, struct fst_vm *vm,
			    const struct cfg_vm *line);
static struct fst_vm *fst_member_add(struct fst_run *r,
				     const struct cfg_vm *line);
static void fst_member_remove(struct fst_run *r, struct fst_vm *vm);
static struct fst_vm *fst_gone_take(struct fst *f, const char *name);
static void fst_vm_set_drained(struct fst_run *r, struct fst_vm *vm,
			       bool drained);
static void fst_drain_target(struct fst_run *r);
static void fst_undrain_target(struct fst_run *r);
static int fst_drain_order(gconstpointer a, gconstpointer b);

static const char *const fst_phases[] = {
	[FST_SETTLED] = "settled",
	[FST_RELEASING] = "releasing",
	[FST_RELEASED] = "released",
};

/* The name of a phase as operators read it. */
const char *fst_phase_name(enum fst_phase phase)
{
	return fst_phases[phase];
}

static struct fst_vm *fst_vm_new(const char *name, const char *pool)
{
	struct fst_vm *vm = g_new0(struct fst_vm, 1);

	vm->name = g_strdup(name);
	vm->pool = g_strdup(pool);
	return vm;
}

/* Frees a VM's membership. */
void fst_vm_free(gpointer p)
{
	struct fst_vm *vm = p;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm->to);
	fst_stamp_clear(&vm->stamp);
	g_free(vm);
}

/* The VM of that name, or NULL. */
struct fst_vm *fst_vm_find(const struct fst *f, struct lstr name)
{
	guint low = 0;
	guint high = f->vms->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		struct fst_vm *vm = g_ptr_array_index(f->vms, mid);
		int c = lstr_cmp(name, lstr_from(vm->name));

		if (c == 0)
			return vm;
		if (c < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

static int fst_vm_order(gconstpointer a, gconstpointer b)
{
	const struct fst_vm *const *x = a;
	const struct fst_vm *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* How many VMs the configuration in force has. */
guint fst_members(const struct fst *f)
{
	return f->vms->len;
}

/* The membership of the VM at place i in order of name. */
void fst_member(const struct fst *f, guint i, struct fst_member *out)
{
	const struct fst_vm *vm = g_ptr_array_index(f->vms, i);

	*out = (struct fst_member){
		.vm = vm->name,
		.pool = vm->pool,
		.to = vm->to,
		.phase = vm->phase,
		.epoch = vm->epoch,
		.since = vm->since,
		.drained = vm->drained,
	};
}

static struct fst_vm *fst_vm_wanted(struct fst_run *r, struct lstr name)
{
	struct fst_vm *vm = fst_vm_find(r->f, name);

	if (!vm)
		fst_run_end(r, PROTO_REFUSED, "no VM " LSTR_FMT,
			    LSTR_ARG(name));
	return vm;
}

/* A VM, or one target by its name, gets no new work. */
void fst_do_drain(struct fst_run *r)
{
	const struct fcm_drain *d = &r->cmd->drain;
	struct fst_vm *vm;

	if (d->target) {
		fst_drain_target(r);
		return;
	}
	vm = fst_vm_wanted(r, d->name);
	if (!vm || fst_run_conflicts(r, &vm->stamp, d->base))
		return;
	if (vm->drained)
		fst_run_end(r, PROTO_OK, "was drained already");
	else
		fst_vm_set_drained(r, vm, true);
}

/* A drained VM or target may get work again. */
void fst_do_undrain(struct fst_run *r)
{
	const struct fcm_drain *d = &r->cmd->drain;
	struct fst_vm *vm;

	if (d->target) {
		fst_undrain_target(r);
		return;
	}
	vm = fst_vm_wanted(r, d->name);
	if (!vm || fst_run_conflicts(r, &vm->stamp, d->base))
		return;
	if (vm->drained)
		fst_vm_set_drained(r, vm, false);
	else
		fst_run_end(r, PROTO_OK, "was not drained");
}

static void fst_vm_set_drained(struct fst_run *r, struct fst_vm *vm,
			       bool drained)
{
	vm->drained = drained;
	fst_touch(r->f);
	vm->since = r->f->version;
	fst_stamp_set(&vm->stamp, r);
	fst_run_end(r, PROTO_OK, "%s %s", vm->name,
		    drained ? "gets no new work" : "may get work again");
}

/* Targets announce themselves, so there is no list to look the name up in. */
static void fst_drain_target(struct fst_run *r)
{
	const struct fcm_drain *d = &r->cmd->drain;
	struct fst_drain *drain;

	if (fst_drain_find(r->f, d->name)) {
		fst_run_end(r, PROTO_OK, "was drained already");
		return;
	}
	if (r->f->drains->len >= FST_DRAINS_MAX) {
		fst_run_end(r, PROTO_REFUSED,
			    "%d targets are drained; allowed: no more",
			    FST_DRAINS_MAX);
		return;
	}
	drain = g_new0(struct fst_drain, 1);
	drain->name = lstr_dup(d->name);
	fst_stamp_set(&drain->stamp, r);
	g_ptr_array_add(r->f->drains, drain);
	g_ptr_array_sort(r->f->drains, fst_drain_order);
	fst_touch(r->f);
	fst_run_end(r, PROTO_OK, "target %s gets no new work", drain->name);
}

static void fst_undrain_target(struct fst_run *r)
{
	struct lstr name = r->cmd->drain.name;
	struct fst_drain *drain = fst_drain_find(r->f, name);

	if (!drain) {
		fst_run_end(r, PROTO_OK, "was not drained");
		return;
	}
	g_ptr_array_remove(r->f->drains, drain);
	fst_touch(r->f);
	fst_run_end(r, PROTO_OK, "target " LSTR_FMT " may get work again",
		    LSTR_ARG(name));
}

/* The drained target of that name, or NULL. */
struct fst_drain *fst_drain_find(const struct fst *f, struct lstr name)
{
	guint i;

	for (i = 0; i < f->drains->len; i++) {
		struct fst_drain *d = g_ptr_array_index(f->drains, i);

		if (lstr_eq(name, lstr_from(d->name)))
			return d;
	}
	return NULL;
}

/* Frees the drain of a target. */
void fst_drain_free(gpointer p)
{
	struct fst_drain *d = p;

	g_free(d->name);
	fst_stamp_clear(&d->stamp);
	g_free(d);
}

static int fst_drain_order(gconstpointer a, gconstpointer b)
{
	const struct fst_drain *const *x = a;
	const struct fst_drain *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Begins the move of a VM, or calls it off where the old pool is named. */
void fst_do_move(struct fst_run *r)
{
	const struct fcm_move *m = &r->cmd->move;
	struct fst_vm *vm;
	char *to;

	vm = fst_vm_wanted(r, m->vm);
	if (!vm || fst_run_conflicts(r, &vm->stamp, m->base))
		return;
	to = lstr_dup(m->pool);
	if (!cfg_find(r->f->cfg, CFG_POOL, to)) {
		fst_run_end(r, PROTO_REFUSED, "no pool %s", to);
	} else if (g_str_equal(vm->pool, to) && !vm->to) {
		fst_run_end(r, PROTO_REFUSED, "belongs to %s already", to);
	} else if (g_str_equal(vm->pool, to)) {
		fst_vm_settle(r, vm);
		fst_stamp_set(&vm->stamp, r);
		fst_run_end(r, PROTO_OK, "move called off, %s stays in %s",
			    vm->name, to);
	} else if (vm->to) {
		fst_run_end(r, PROTO_REFUSED,
			    "moves to %s already; allowed: call that off by a "
			    "move to %s",
			    vm->to, vm->pool);
	} else {
		fst_vm_begin(r, vm, to);
		fst_stamp_set(&vm->stamp, r);
		fst_run_end(r, PROTO_OK, "%s leaves %s for %s, epoch %llu",
			    vm->name, vm->pool, to,
			    (unsigned long long)vm->epoch);
	}
	g_free(to);
}

static void fst_vm_begin(struct fst_run *r, struct fst_vm *vm, const char *to)
{
	vm->to = g_strdup(to);
	vm->phase = FST_RELEASING;
	vm->epoch++;
	fst_touch(r->f);
	vm->since = r->f->version;
}

/* Ends a move in either pool; its epoch is over. */
static void fst_vm_settle(struct fst_run *r, struct fst_vm *vm)
{
	g_free(vm->to);
	vm->to = NULL;
	vm->phase = FST_SETTLED;
	vm->epoch++;
	fst_touch(r->f);
	vm->since = r->f->version;
}

/*
 * The VM that a step belongs to. A step that a former leader decided for a
 * move that was called off since, and that comes late, would release the VM
 * for the next move while entry daemons still place on it: its epoch is an
 * older one, so it does nothing.
 */
static struct fst_vm *fst_step_vm(struct fst_run *r)
{
	const struct fcm_step *s = &r->cmd->step;
	struct fst_vm *vm;

	r->from = s->epoch;
	vm = fst_vm_wanted(r, s->vm);
	if (!vm)
		return NULL;
	if (vm->epoch == s->epoch && vm->phase != FST_SETTLED)
		return vm;
	fst_run_end(r, PROTO_CONFLICT, "%s is %s at epoch %llu", vm->name,
		    fst_phases[vm->phase], (unsigned long long)vm->epoch);
	return NULL;
}

/* Every entry daemon has let go of the VM, or provably can't place there. */
void fst_do_released(struct fst_run *r)
{
	struct fst_vm *vm = fst_step_vm(r);

	if (!vm)
		return;
	vm->phase = FST_RELEASED;
	fst_run_end(r, PROTO_OK, "%s released by %s", vm->name, vm->pool);
}

/* A released VM joins its new pool. */
void fst_do_moved(struct fst_run *r)
{
	struct fst_vm *vm = fst_step_vm(r);

	if (!vm)
		return;
	if (vm->phase != FST_RELEASED) {
		fst_run_end(r, PROTO_REFUSED, "%s is not released yet",
			    vm->name);
		return;
	}
	g_free(vm->pool);
	vm->pool = g_strdup(vm->to);
	fst_vm_settle(r, vm);
	fst_stamp_set(&vm->stamp, r);
	fst_run_end(r, PROTO_OK, "%s belongs to %s", vm->name, vm->pool);
}

/*
 * Whether each VM can keep or get its pool under the next configuration; the
 * first that can't ends the command.
 */
bool fst_members_fit(struct fst_run *r, const struct cfg *next)
{
	guint i;

	for (i = 0; i < r->f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(r->f->vms, i);
		const struct cfg_vm *line = cfg_vm(next, vm->name);

		if (line && !fst_member_fits(r, vm, line, next))
			return false;
	}
	return true;
}

static bool fst_member_fits(struct fst_run *r, const struct fst_vm *vm,
			    const struct cfg_vm *line, const struct cfg *next)
{
	const char *keep = vm->to ? vm->to : vm->pool;

	if (fst_line_changed(r, line) && vm->to &&
	    !g_str_equal(line->pool->name, vm->to)) {
		fst_run_end(r, PROTO_REFUSED,
			    "VM %s moves from %s to %s: wait for that, or call "
			    "it off, before its line names another pool",
			    vm->name, vm->pool, vm->to);
		return false;
	}
	if (!cfg_find(next, CFG_POOL, vm->pool) ||
	    !cfg_find(next, CFG_POOL, keep)) {
		fst_run_end(r, PROTO_REFUSED,
			    "VM %s belongs to pool %s%s%s: move it away before "
			    "the pool is removed",
			    vm->name, vm->pool, vm->to ? ", moves to " : "",
			    vm->to ? vm->to : "");
		return false;
	}
	return true;
}

/* A line that stays as it was must not take back an operator's move. */
static bool fst_line_changed(const struct fst_run *r, const struct cfg_vm *line)
{
	const struct cfg_vm *was =
		r->f->cfg ? cfg_vm(r->f->cfg, line->name) : NULL;

	return !was || !g_str_equal(was->pool->name, line->pool->name);
}

/*
 * Makes the VMs those of the next configuration, which fst_members_fit has
 * found fitting. Both lists are in order of name.
 */
void fst_members_take(struct fst_run *r, const struct cfg *next)
{
	struct fst *f = r->f;
	GPtrArray *old = f->vms;
	guint i;

	f->vms = g_ptr_array_new_with_free_func(fst_vm_free);
	g_ptr_array_set_free_func(old, NULL);
	for (i = 0; i < old->len; i++) {
		struct fst_vm *vm = g_ptr_array_index(old, i);
		const struct cfg_vm *line = cfg_vm(next, vm->name);

		if (line) {
			fst_member_keep(r, vm, line);
			g_ptr_array_add(f->vms, vm);
		} else {
			fst_member_remove(r, vm);
		}
	}
	for (i = 0; i < next->vms->len; i++) {
		const struct cfg_vm *line =
			&g_array_index(next->vms, struct cfg_vm, i);

		if (!f->cfg || !cfg_vm(f->cfg, line->name))
			g_ptr_array_add(f->vms, fst_member_add(r, line));
	}
	g_ptr_array_sort(f->vms, fst_vm_order);
	g_ptr_array_free(old, TRUE);
}

static void fst_member_keep(struct fst_run *r, struct fst_vm *vm,
			    const struct cfg_vm *line)
{
	const struct cfg_vm *was = cfg_vm(r->f->cfg, vm->name);

	/* Its old site's entry daemons are told by a whole view. */
	if (strcmp(was->site->name, line->site->name) != 0)
		r->f->whole_since = r->f->version;
	if (!fst_line_changed(r, line) || vm->to ||
	    g_str_equal(vm->pool, line->pool->name))
		return;
	fst_vm_begin(r, vm, line->pool->name);
	fst_stamp_set(&vm->stamp, r);
	fst_run_auto(r, "move %s from %s to %s: its line changed", vm->name,
		     vm->pool, vm->to);
}

/*
 * A name that was removed and comes back in another pool is moved there like
 * any VM: an entry daemon that was cut off all the while may still place the
 * old pool's work on it.
 */
static struct fst_vm *fst_member_add(struct fst_run *r,
				     const struct cfg_vm *line)
{
	struct fst_vm *vm = fst_gone_take(r->f, line->name);

	if (!vm) {
		vm = fst_vm_new(line->name, line->pool->name);
		vm->epoch = r->f->epoch_floor + 1;
		vm->since = r->f->version;
		fst_stamp_set(&vm->stamp, r);
		return vm;
	}
	vm->epoch++;
	vm->since = r->f->version;
	fst_stamp_set(&vm->stamp, r);
	if (g_str_equal(vm->pool, line->pool->name))
		return vm;
	if (!cfg_find(r->f->cfg, CFG_POOL, vm->pool)) {
		g_free(vm->pool);
		vm->pool = g_strdup(line->pool->name);
		return vm;
	}
	fst_vm_begin(r, vm, line->pool->name);
	fst_run_auto(r, "move %s from %s to %s: it came back", vm->name,
		     vm->pool, vm->to);
	return vm;
}

static void fst_member_remove(struct fst_run *r, struct fst_vm *vm)
{
	struct fst *f = r->f;
	const struct fst_vm *first;

	g_free(vm->to);
	vm->to = NULL;
	vm->phase = FST_SETTLED;
	vm->drained = false;
	vm->epoch++;
	vm->since = f->version;
	g_ptr_array_add(f->gone, vm);
	if (f->gone->len <= FST_GONE_MAX)
		return;
	first = g_ptr_array_index(f->gone, 0);
	f->epoch_floor = MAX(f->epoch_floor, first->epoch);
	f->whole_since = MAX(f->whole_since, first->since);
	g_ptr_array_remove_index(f->gone, 0);
}

static struct fst_vm *fst_gone_take(struct fst *f, const char *name)
{
	guint i;

	for (i = 0; i < f->gone->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->gone, i);

		if (g_str_equal(vm->name, name))
			return g_ptr_array_steal_index(f->gone, i);
	}
	return NULL;
}
