#include "fst_in.h"

/*
 * Pool membership and drains of VMs. A VM belongs to one pool at any time. A
 * move has three steps, each fenced by the VM's epoch:
 *
 *   begin     the VM stays in the old pool and gets no new work
 *   released  no entry daemon can place work on the VM any more
 *   moved     the VM belongs to the new pool
 *
 * Without the second step, an entry daemon that has not received the move yet
 * would place work of the old pool on a VM that another entry daemon already
 * uses for the new pool.
 */

static struct fst_vm *fst_vm_new(const char *name, const char *pool);
static struct fst_vm *fst_require_vm(struct fst_exec *ex, struct lstr name);
static int fst_compare_vms(gconstpointer a, gconstpointer b);
static void fst_vm_begin_move(struct fst_exec *ex, struct fst_vm *vm,
			      const char *to);
static void fst_vm_end_move(struct fst_exec *ex, struct fst_vm *vm);
static struct fst_vm *fst_find_moving_vm(struct fst_exec *ex);
static bool fst_vm_fits_config(struct fst_exec *ex, const struct fst_vm *vm,
			       const struct cfg_vm *conf,
			       const struct cfg *next);
static bool fst_vm_pool_changed(const struct fst_exec *ex,
				const struct cfg_vm *conf);
static void fst_update_vm(struct fst_exec *ex, struct fst_vm *vm,
			  const struct cfg_vm *conf);
static struct fst_vm *fst_add_vm(struct fst_exec *ex,
				 const struct cfg_vm *conf);
static void fst_remove_vm(struct fst_exec *ex, struct fst_vm *vm);
static struct fst_vm *fst_reclaim_removed_vm(struct fst *f, const char *name);
static void fst_vm_set_drained(struct fst_exec *ex, struct fst_vm *vm,
			       bool drained);
static void fst_drain_target(struct fst_exec *ex);
static void fst_undrain_target(struct fst_exec *ex);
static int fst_compare_drains(gconstpointer a, gconstpointer b);

static const char *const fst_phase_names[] = {
	[FST_SETTLED] = "settled",
	[FST_RELEASING] = "releasing",
	[FST_RELEASED] = "released",
};

/* Returns the name of a phase as shown to operators. */
const char *fst_phase_name(enum fst_phase phase)
{
	return fst_phase_names[phase];
}

static struct fst_vm *fst_vm_new(const char *name, const char *pool)
{
	struct fst_vm *vm = g_new0(struct fst_vm, 1);

	vm->name = g_strdup(name);
	vm->pool = g_strdup(pool);
	return vm;
}

/* Frees the record of a VM (struct fst_vm). */
void fst_vm_free(gpointer p)
{
	struct fst_vm *vm = p;

	g_free(vm->name);
	g_free(vm->pool);
	g_free(vm->to);
	fst_stamp_clear(&vm->stamp);
	g_free(vm);
}

/* Returns the VM of that name, or NULL. */
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

static int fst_compare_vms(gconstpointer a, gconstpointer b)
{
	const struct fst_vm *const *x = a;
	const struct fst_vm *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Returns the number of VMs in the configuration in force. */
guint fst_member_count(const struct fst *f)
{
	return f->vms->len;
}

/* Returns in out the membership of the i-th VM in order of name. */
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

static struct fst_vm *fst_require_vm(struct fst_exec *ex, struct lstr name)
{
	struct fst_vm *vm = fst_vm_find(ex->f, name);

	if (!vm)
		fst_exec_finish(ex, PROTO_REFUSED, "no VM " LSTR_FMT,
				LSTR_ARG(name));
	return vm;
}

/* Handles FCM_DRAIN: a VM, or one target by its name, gets no new work. */
void fst_handle_drain(struct fst_exec *ex)
{
	const struct fcm_drain *d = &ex->cmd->drain;
	struct fst_vm *vm;

	if (d->target) {
		fst_drain_target(ex);
		return;
	}
	vm = fst_require_vm(ex, d->name);
	if (!vm || fst_exec_has_conflict(ex, &vm->stamp, d->base))
		return;
	if (vm->drained)
		fst_exec_finish(ex, PROTO_OK, "was drained already");
	else
		fst_vm_set_drained(ex, vm, true);
}

/* Handles FCM_UNDRAIN: a drained VM or target may get work again. */
void fst_handle_undrain(struct fst_exec *ex)
{
	const struct fcm_drain *d = &ex->cmd->drain;
	struct fst_vm *vm;

	if (d->target) {
		fst_undrain_target(ex);
		return;
	}
	vm = fst_require_vm(ex, d->name);
	if (!vm || fst_exec_has_conflict(ex, &vm->stamp, d->base))
		return;
	if (vm->drained)
		fst_vm_set_drained(ex, vm, false);
	else
		fst_exec_finish(ex, PROTO_OK, "was not drained");
}

static void fst_vm_set_drained(struct fst_exec *ex, struct fst_vm *vm,
			       bool drained)
{
	vm->drained = drained;
	fst_bump_version(ex->f);
	vm->since = ex->f->version;
	fst_stamp_update(&vm->stamp, ex);
	fst_exec_finish(ex, PROTO_OK, "%s %s", vm->name,
			drained ? "gets no new work" : "may get work again");
}

/*
 * Drains a target. Its name is not checked: targets announce themselves, so
 * the state has no list of them.
 */
static void fst_drain_target(struct fst_exec *ex)
{
	const struct fcm_drain *d = &ex->cmd->drain;
	struct fst_drain *drain;

	if (fst_drain_find(ex->f, d->name)) {
		fst_exec_finish(ex, PROTO_OK, "was drained already");
		return;
	}
	if (ex->f->drains->len >= FST_DRAINS_MAX) {
		fst_exec_finish(ex, PROTO_REFUSED,
				"%d targets are drained; allowed: no more",
				FST_DRAINS_MAX);
		return;
	}
	drain = g_new0(struct fst_drain, 1);
	drain->name = lstr_dup(d->name);
	fst_stamp_update(&drain->stamp, ex);
	g_ptr_array_add(ex->f->drains, drain);
	g_ptr_array_sort(ex->f->drains, fst_compare_drains);
	fst_bump_version(ex->f);
	fst_exec_finish(ex, PROTO_OK, "target %s gets no new work",
			drain->name);
}

static void fst_undrain_target(struct fst_exec *ex)
{
	struct lstr name = ex->cmd->drain.name;
	struct fst_drain *drain = fst_drain_find(ex->f, name);

	if (!drain) {
		fst_exec_finish(ex, PROTO_OK, "was not drained");
		return;
	}
	g_ptr_array_remove(ex->f->drains, drain);
	fst_bump_version(ex->f);
	fst_exec_finish(ex, PROTO_OK, "target " LSTR_FMT " may get work again",
			LSTR_ARG(name));
}

/* Returns the drain of the target of that name, or NULL. */
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

/* Frees the drain of a target (struct fst_drain). */
void fst_drain_free(gpointer p)
{
	struct fst_drain *d = p;

	g_free(d->name);
	fst_stamp_clear(&d->stamp);
	g_free(d);
}

static int fst_compare_drains(gconstpointer a, gconstpointer b)
{
	const struct fst_drain *const *x = a;
	const struct fst_drain *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/*
 * Handles FCM_MOVE: begins the move of a VM to another pool, or cancels its
 * move if the command names the VM's present pool.
 */
void fst_handle_move(struct fst_exec *ex)
{
	const struct fcm_move *m = &ex->cmd->move;
	struct fst_vm *vm;
	char *to;

	vm = fst_require_vm(ex, m->vm);
	if (!vm || fst_exec_has_conflict(ex, &vm->stamp, m->base))
		return;
	to = lstr_dup(m->pool);
	if (!cfg_find(ex->f->cfg, CFG_POOL, to)) {
		fst_exec_finish(ex, PROTO_REFUSED, "no pool %s", to);
	} else if (g_str_equal(vm->pool, to) && !vm->to) {
		fst_exec_finish(ex, PROTO_REFUSED, "belongs to %s already", to);
	} else if (g_str_equal(vm->pool, to)) {
		fst_vm_end_move(ex, vm);
		fst_stamp_update(&vm->stamp, ex);
		fst_exec_finish(ex, PROTO_OK, "move called off, %s stays in %s",
				vm->name, to);
	} else if (vm->to) {
		fst_exec_finish(
			ex, PROTO_REFUSED,
			"moves to %s already; allowed: call that off by a "
			"move to %s",
			vm->to, vm->pool);
	} else {
		fst_vm_begin_move(ex, vm, to);
		fst_stamp_update(&vm->stamp, ex);
		fst_exec_finish(ex, PROTO_OK, "%s leaves %s for %s, epoch %llu",
				vm->name, vm->pool, to,
				(unsigned long long)vm->epoch);
	}
	g_free(to);
}

static void fst_vm_begin_move(struct fst_exec *ex, struct fst_vm *vm,
			      const char *to)
{
	vm->to = g_strdup(to);
	vm->phase = FST_RELEASING;
	vm->epoch++;
	fst_bump_version(ex->f);
	vm->since = ex->f->version;
}

/* Ends a move, completed or cancelled; the next epoch fences late steps. */
static void fst_vm_end_move(struct fst_exec *ex, struct fst_vm *vm)
{
	g_free(vm->to);
	vm->to = NULL;
	vm->phase = FST_SETTLED;
	vm->epoch++;
	fst_bump_version(ex->f);
	vm->since = ex->f->version;
}

/*
 * Returns the moving VM that a step refers to, or NULL with the result set.
 * The epoch fences delayed steps: a step that a former leader submitted for a
 * move cancelled since would otherwise release the VM for the next move while
 * entry daemons still place work on it.
 */
static struct fst_vm *fst_find_moving_vm(struct fst_exec *ex)
{
	const struct fcm_move_step *s = &ex->cmd->step;
	struct fst_vm *vm;

	ex->from = s->epoch;
	vm = fst_require_vm(ex, s->vm);
	if (!vm)
		return NULL;
	if (vm->epoch == s->epoch && vm->phase != FST_SETTLED)
		return vm;
	fst_exec_finish(ex, PROTO_CONFLICT, "%s is %s at epoch %llu", vm->name,
			fst_phase_names[vm->phase],
			(unsigned long long)vm->epoch);
	return NULL;
}

/*
 * Handles FCM_RELEASED: every entry daemon has released the VM or provably
 * can't place work on it.
 */
void fst_handle_released(struct fst_exec *ex)
{
	struct fst_vm *vm = fst_find_moving_vm(ex);

	if (!vm)
		return;
	vm->phase = FST_RELEASED;
	fst_exec_finish(ex, PROTO_OK, "%s released by %s", vm->name, vm->pool);
}

/* Handles FCM_MOVED: a released VM joins its new pool. */
void fst_handle_moved(struct fst_exec *ex)
{
	struct fst_vm *vm = fst_find_moving_vm(ex);

	if (!vm)
		return;
	if (vm->phase != FST_RELEASED) {
		fst_exec_finish(ex, PROTO_REFUSED, "%s is not released yet",
				vm->name);
		return;
	}
	g_free(vm->pool);
	vm->pool = g_strdup(vm->to);
	fst_vm_end_move(ex, vm);
	fst_stamp_update(&vm->stamp, ex);
	fst_exec_finish(ex, PROTO_OK, "%s belongs to %s", vm->name, vm->pool);
}

/*
 * Returns whether the pool and the move of each VM are possible under the
 * next configuration. The first VM that does not fit sets the result.
 */
bool fst_vms_fit_config(struct fst_exec *ex, const struct cfg *next)
{
	guint i;

	for (i = 0; i < ex->f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(ex->f->vms, i);
		const struct cfg_vm *conf = cfg_vm(next, vm->name);

		if (conf && !fst_vm_fits_config(ex, vm, conf, next))
			return false;
	}
	return true;
}

static bool fst_vm_fits_config(struct fst_exec *ex, const struct fst_vm *vm,
			       const struct cfg_vm *conf,
			       const struct cfg *next)
{
	const char *final_pool = vm->to ? vm->to : vm->pool;

	if (fst_vm_pool_changed(ex, conf) && vm->to &&
	    !g_str_equal(conf->pool->name, vm->to)) {
		fst_exec_finish(
			ex, PROTO_REFUSED,
			"VM %s moves from %s to %s: wait for that, or call "
			"it off, before its line names another pool",
			vm->name, vm->pool, vm->to);
		return false;
	}
	if (!cfg_find(next, CFG_POOL, vm->pool) ||
	    !cfg_find(next, CFG_POOL, final_pool)) {
		fst_exec_finish(
			ex, PROTO_REFUSED,
			"VM %s belongs to pool %s%s%s: move it away before "
			"the pool is removed",
			vm->name, vm->pool, vm->to ? ", moves to " : "",
			vm->to ? vm->to : "");
		return false;
	}
	return true;
}

/*
 * Returns whether the configuration names another pool for a VM than the last
 * one did. An unchanged line must not revert an operator's move.
 */
static bool fst_vm_pool_changed(const struct fst_exec *ex,
				const struct cfg_vm *conf)
{
	const struct cfg_vm *prev =
		ex->f->cfg ? cfg_vm(ex->f->cfg, conf->name) : NULL;

	return !prev || !g_str_equal(prev->pool->name, conf->pool->name);
}

/*
 * Updates the VMs to those of the next configuration, which has passed
 * fst_vms_fit_config. Both lists are in order of name.
 */
void fst_update_vms(struct fst_exec *ex, const struct cfg *next)
{
	struct fst *f = ex->f;
	GPtrArray *old = f->vms;
	guint i;

	f->vms = g_ptr_array_new_with_free_func(fst_vm_free);
	g_ptr_array_set_free_func(old, NULL);
	for (i = 0; i < old->len; i++) {
		struct fst_vm *vm = g_ptr_array_index(old, i);
		const struct cfg_vm *conf = cfg_vm(next, vm->name);

		if (conf) {
			fst_update_vm(ex, vm, conf);
			g_ptr_array_add(f->vms, vm);
		} else {
			fst_remove_vm(ex, vm);
		}
	}
	for (i = 0; i < next->vms->len; i++) {
		const struct cfg_vm *conf =
			&g_array_index(next->vms, struct cfg_vm, i);

		if (!f->cfg || !cfg_vm(f->cfg, conf->name))
			g_ptr_array_add(f->vms, fst_add_vm(ex, conf));
	}
	g_ptr_array_sort(f->vms, fst_compare_vms);
	g_ptr_array_free(old, TRUE);
}

static void fst_update_vm(struct fst_exec *ex, struct fst_vm *vm,
			  const struct cfg_vm *conf)
{
	const struct cfg_vm *prev = cfg_vm(ex->f->cfg, vm->name);

	/* The old site's entry daemons learn of it by a full view. */
	if (strcmp(prev->site->name, conf->site->name) != 0)
		ex->f->full_view_since = ex->f->version;
	if (!fst_vm_pool_changed(ex, conf) || vm->to ||
	    g_str_equal(vm->pool, conf->pool->name))
		return;
	fst_vm_begin_move(ex, vm, conf->pool->name);
	fst_stamp_update(&vm->stamp, ex);
	fst_audit_automatic(ex, "move %s from %s to %s: its line changed",
			    vm->name, vm->pool, vm->to);
}

/*
 * Adds a VM of the next configuration. A VM that was removed and is added
 * again in another pool is moved there step by step, since an entry daemon
 * that was partitioned all that time may still place work of the old pool on
 * it.
 */
static struct fst_vm *fst_add_vm(struct fst_exec *ex, const struct cfg_vm *conf)
{
	struct fst_vm *vm = fst_reclaim_removed_vm(ex->f, conf->name);

	if (!vm) {
		vm = fst_vm_new(conf->name, conf->pool->name);
		vm->epoch = ex->f->epoch_floor + 1;
		vm->since = ex->f->version;
		fst_stamp_update(&vm->stamp, ex);
		return vm;
	}
	vm->epoch++;
	vm->since = ex->f->version;
	fst_stamp_update(&vm->stamp, ex);
	if (g_str_equal(vm->pool, conf->pool->name))
		return vm;
	if (!cfg_find(ex->f->cfg, CFG_POOL, vm->pool)) {
		g_free(vm->pool);
		vm->pool = g_strdup(conf->pool->name);
		return vm;
	}
	fst_vm_begin_move(ex, vm, conf->pool->name);
	fst_audit_automatic(ex, "move %s from %s to %s: it came back", vm->name,
			    vm->pool, vm->to);
	return vm;
}

/*
 * Moves a VM to the list of removed ones. Evicting the oldest record there
 * raises epoch_floor, so that a VM added again never reuses an epoch.
 */
static void fst_remove_vm(struct fst_exec *ex, struct fst_vm *vm)
{
	struct fst *f = ex->f;
	const struct fst_vm *first;

	g_free(vm->to);
	vm->to = NULL;
	vm->phase = FST_SETTLED;
	vm->drained = false;
	vm->epoch++;
	vm->since = f->version;
	g_ptr_array_add(f->removed, vm);
	if (f->removed->len <= FST_REMOVED_MAX)
		return;
	first = g_ptr_array_index(f->removed, 0);
	f->epoch_floor = MAX(f->epoch_floor, first->epoch);
	f->full_view_since = MAX(f->full_view_since, first->since);
	g_ptr_array_remove_index(f->removed, 0);
}

/* Takes the VM of that name from the list of removed ones; NULL: none. */
static struct fst_vm *fst_reclaim_removed_vm(struct fst *f, const char *name)
{
	guint i;

	for (i = 0; i < f->removed->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->removed, i);

		if (g_str_equal(vm->name, name))
			return g_ptr_array_steal_index(f->removed, i);
	}
	return NULL;
}
