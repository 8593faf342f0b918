#include "flo_int.h"

static void flo_move_free(gpointer p);
static void flo_pool_free(gpointer p);
static void flo_switch_off_idle(struct flo *f, int64_t now);
static void flo_advance_moves(struct flo *f, int64_t now);
static void flo_advance_move(struct flo *f, struct flo_move *m, int64_t now);
static bool flo_is_move_done(const struct flo *f, const struct flo_move *m,
			     const struct vms_vm *vm);
static void flo_give_up(struct flo *f, struct flo_move *m, int64_t now);
static void flo_order_move(struct flo *f, struct flo_move *m,
			   const struct vms_vm *vm, int64_t now);
static void flo_handle_worker_change(struct flo_move *m,
				     const struct vms_vm *vm, int64_t now);
static bool flo_drain(struct flo *f, struct flo_move *m, int64_t now);
static void flo_supply_pools(struct flo *f, int64_t now);
static bool flo_is_short(const struct flo *f, const struct flo_pool *p);
static struct flo_pool *flo_find_neediest(const struct flo *f);
static bool flo_supply_pool(struct flo *f, struct flo_pool *to, int64_t now);
static void flo_divide_vms(struct flo *f, int64_t now);
static void flo_move_pair(struct flo *f, const struct div_pair *pair,
			  int64_t now);
static struct flo_move *flo_start_move(struct flo *f, const struct vms_vm *vm,
				       struct flo_pool *from,
				       struct flo_pool *to,
				       enum flo_cause cause, int64_t now);
static bool flo_is_preemptible(const struct flo *f, const struct flo_move *m,
			       const struct jtb_run *run, int64_t now);
static struct flo_pool *flo_find_donor(const struct flo *f,
				       const struct flo_pool *to);

/*
 * Creates the autoscaler for the pools of jtb's configuration and the VMs in
 * vms; both must outlive it. The ops are called with arg.
 */
struct flo *flo_new(struct jtb *jtb, const struct vms *vms,
		    const struct flo_ops *ops, void *arg)
{
	struct flo *f = g_new0(struct flo, 1);

	f->jtb = jtb;
	f->vms = vms;
	f->ops = ops;
	f->arg = arg;
	f->moves = g_ptr_array_new_with_free_func(flo_move_free);
	f->by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	f->pools = g_ptr_array_new_with_free_func(flo_pool_free);
	flo_came_init(f);
	flo_set_way(f, NULL);
	return f;
}

/*
 * Sets the rule by which VMs are divided while there are too few; NULL: it
 * follows from the configuration.
 */
void flo_set_way(struct flo *f, const struct div_way *way)
{
	f->way = way;
	f->division = (struct flo_division){.way = way};
}

/* Frees the autoscaler; NULL is allowed. */
void flo_free(struct flo *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_vm);
	g_hash_table_destroy(f->came);
	g_ptr_array_free(f->moves, TRUE);
	g_ptr_array_free(f->pools, TRUE);
	g_free(f);
}

/*
 * Resets the autoscaler when this replica becomes leader. Moves are dropped,
 * since the VM list shows those that were accepted; rates from an earlier
 * leadership are outdated. VMs are divided anew by the table and the VM list.
 */
void flo_reset(struct flo *f)
{
	guint i;

	g_hash_table_remove_all(f->by_vm);
	g_hash_table_remove_all(f->came);
	g_ptr_array_set_size(f->moves, 0);
	flo_set_way(f, f->way);
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->rate = 0;
		p->rate_slow = 0;
		p->rate_jobs = 0;
		p->spare_ms = 0;
		p->entitled = 0;
		p->entitled_vms = 0;
	}
}

/*
 * Measures all pools, starts moves and advances those in progress. Does nothing
 * before the first VM list.
 */
void flo_tick(struct flo *f, int64_t now_ms, int64_t wall_ms)
{
	if (!vms_listed_ms(f->vms))
		return;
	f->wall_ms = wall_ms;
	flo_advance_moves(f, now_ms);
	flo_came_update(f, now_ms);
	flo_measure_pools(f, now_ms, wall_ms);
	flo_rank_candidates(f);
	flo_supply_pools(f, now_ms);
	flo_switch_off_idle(f, now_ms);
	flo_divide_vms(f, now_ms);
	/* VMs that are already empty are ordered in this tick. */
	flo_advance_moves(f, now_ms);
	f->ticked_ms = now_ms;
}

/* Records that long-running work found too little free capacity in a pool. */
void flo_report_unschedulable(struct flo *f, const char *pool, int64_t now_ms)
{
	flo_get_pool(f, pool)->unschedulable_ms = now_ms;
}

/*
 * Processes the platform's answer to the move order for a VM. A refusal may
 * mean that an earlier order without an answer is being carried out.
 */
void flo_answered(struct flo *f, const char *vm, enum vms_answer answer,
		  int64_t now_ms)
{
	struct flo_move *m = flo_find_move(f, vm);

	if (!m || m->accepted_ms)
		return;
	if (answer == VMS_ACCEPTED) {
		m->accepted_ms = now_ms;
	} else if (answer != VMS_UNANSWERED && answer != VMS_RATE_LIMITED) {
		m->finished = true;
		flo_came_give_up(f, vm, m->ordered_ms);
	}
}

/*
 * Returns the id of the worker that the move order of a VM ends, or NULL if no
 * move of that VM was ordered.
 */
const char *flo_worker(const struct flo *f, const char *vm)
{
	const struct flo_move *m = flo_find_move(f, vm);

	return m && m->ordered_ms ? m->worker : NULL;
}

/* Whether a VM is being drained for a move or moved. */
bool flo_is_moving(const struct flo *f, const char *vm)
{
	return flo_find_move(f, vm) != NULL;
}

/*
 * Whether a VM can be down for a while without harm: no pool is short of VMs,
 * and the VM is switched off or is idle in a pool with spare capacity.
 */
bool flo_is_spare(const struct flo *f, const char *name)
{
	const struct vms_vm *vm = vms_find(f->vms, name);
	const struct flo_pool *p = vm ? flo_pool(f, vm->pool) : NULL;
	const struct jtb_worker *w;

	if (!p || flo_find_neediest(f))
		return false;
	if (p->standby)
		return true;
	w = jtb_worker(f->jtb, vm->worker);
	return w && !w->runs->len && p->vms > flo_min_vms(p) &&
	       p->cores - flo_vm_cores(f, vm) >= p->load * FLO_SPARE_FACTOR;
}

/*
 * Adds the ids of workers that get no new work because their VMs are to be
 * moved. The set borrows the strings until the autoscaler is called again.
 */
void flo_add_closed(const struct flo *f, GHashTable *ids)
{
	guint i;

	for (i = 0; i < f->moves->len; i++) {
		const struct flo_move *m = g_ptr_array_index(f->moves, i);

		if (!m->finished)
			g_hash_table_add(ids, m->worker);
	}
}

/* Returns the number of moves in progress. */
guint flo_count_moves(const struct flo *f)
{
	return f->moves->len;
}

/* Returns all pools, struct flo_pool, as last measured. */
GPtrArray *flo_pools(const struct flo *f)
{
	return f->pools;
}

/* Returns the last measurements of a pool, or NULL. */
const struct flo_pool *flo_pool(const struct flo *f, const char *name)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (strcmp(p->name, name) == 0)
			return p;
	}
	return NULL;
}

/* Frees a move. */
static void flo_move_free(gpointer p)
{
	struct flo_move *m = p;

	g_free(m->vm);
	g_free(m->worker);
	g_free(m->from);
	g_free(m->to);
	g_free(m);
}

/* Frees a pool's measurements. */
static void flo_pool_free(gpointer p)
{
	struct flo_pool *pool = p;

	g_free(pool->name);
	g_array_free(pool->candidates, TRUE);
	g_free(pool);
}

/* Returns the move of a VM, or NULL. */
struct flo_move *flo_find_move(const struct flo *f, const char *vm)
{
	return g_hash_table_lookup(f->by_vm, vm);
}

/* Returns a pool, added if it is new. */
struct flo_pool *flo_get_pool(struct flo *f, const char *name)
{
	struct flo_pool *p = (struct flo_pool *)flo_pool(f, name);

	if (p)
		return p;
	p = g_new0(struct flo_pool, 1);
	p->name = g_strdup(name);
	p->candidates = g_array_new(FALSE, FALSE, sizeof(struct flo_candidate));
	g_ptr_array_add(f->pools, p);
	return p;
}

/*
 * Starts to switch off VMs of pools that have had excess capacity for
 * FLO_IDLE_MS.
 */
static void flo_switch_off_idle(struct flo *f, int64_t now)
{
	struct flo_pool *standby = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby)
			standby = p;
	}
	for (i = 0; standby && i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		const struct vms_vm *vm;

		if (p->standby || !p->spare_ms ||
		    now - p->spare_ms < FLO_IDLE_MS)
			continue;
		while (p->vms > flo_min_vms(p) &&
		       p->cores * (p->vms - 1) / p->vms >
			       MAX(p->load * FLO_SPARE_FACTOR,
				   flo_min_cores(p)) &&
		       (vm = flo_best_candidate(p)))
			flo_start_move(f, vm, p, standby, FLO_IDLE, now);
	}
}

/* Advances all moves and removes those that are finished. */
static void flo_advance_moves(struct flo *f, int64_t now)
{
	guint i;

	for (i = f->moves->len; i > 0; i--) {
		struct flo_move *m = g_ptr_array_index(f->moves, i - 1);

		flo_advance_move(f, m, now);
		if (!m->finished)
			continue;
		g_hash_table_remove(f->by_vm, m->vm);
		g_ptr_array_remove_index_fast(f->moves, i - 1);
	}
}

/*
 * Advances a move: orders it once its VM is empty, and finishes it when it is
 * done or has taken too long.
 */
static void flo_advance_move(struct flo *f, struct flo_move *m, int64_t now)
{
	const struct vms_vm *vm = vms_find(f->vms, m->vm);

	/* an order may be carried out although one list lacks the VM */
	m->finished |= evd_vm_gone(&m->absence, vms_is_listed(f->vms, m->vm),
				   vms_listed_ms(f->vms), now);
	m->finished |= !vm && !m->ordered_ms;
	if (vm && !m->accepted_ms && strcmp(vm->worker, m->worker) != 0)
		flo_handle_worker_change(m, vm, now);
	if (m->finished)
		return;
	if (m->accepted_ms)
		m->finished = flo_is_move_done(f, m, vm);
	else if (m->ordered_ms && now - m->from_ms > FLO_GIVE_UP_MS)
		flo_give_up(f, m, now);
	else if (vm)
		flo_order_move(f, m, vm, now);
}

/*
 * Whether the newest list, requested after a move was accepted, shows it as
 * done, or still doesn't FLO_LIST_TIMEOUT_MS later; vm may be NULL.
 */
static bool flo_is_move_done(const struct flo *f, const struct flo_move *m,
			     const struct vms_vm *vm)
{
	if (vm && vm->state == VMS_UP && strcmp(vm->pool, m->to) == 0)
		return true;
	return vms_listed_ms(f->vms) - m->accepted_ms > FLO_LIST_TIMEOUT_MS;
}

/*
 * Gives up a move without an answer once its last order can't be carried out
 * any more. Its VM would otherwise stay without work for as long as the
 * platform can't be reached.
 */
static void flo_give_up(struct flo *f, struct flo_move *m, int64_t now)
{
	if (now - m->ordered_ms <= FLO_ORDER_OPEN_MS)
		return;
	m->finished = true;
	flo_came_give_up(f, m->vm, m->ordered_ms);
}

/*
 * Orders a move once its VM is empty, and again until it is answered. A VM whose
 * worker doesn't answer may have another one by now: it isn't ordered, and stays
 * if it wasn't before.
 */
static void flo_order_move(struct flo *f, struct flo_move *m,
			   const struct vms_vm *vm, int64_t now)
{
	if (!flo_knows_worker(f, vm)) {
		m->finished = !m->ordered_ms;
		return;
	}
	if (!m->ordered_ms && !flo_drain(f, m, now))
		return;
	if (m->ordered_ms && now - m->ordered_ms <= FLO_RETRY_MS)
		return;
	m->ordered_ms = now;
	f->ops->order(f->arg, m->vm, m->to);
}

/*
 * Handles a change of the worker on a VM before its order was accepted. If the
 * list has the VM as moving or in its new pool, the move was carried out and
 * its answer was lost: it counts as accepted, and the old worker stays closed
 * until the move is done. Otherwise the VM failed by itself and its new worker
 * may have got work: the move is abandoned.
 */
static void flo_handle_worker_change(struct flo_move *m,
				     const struct vms_vm *vm, int64_t now)
{
	if (m->ordered_ms &&
	    (vm->state == VMS_MOVING || strcmp(vm->pool, m->to) == 0))
		m->accepted_ms = now;
	else
		m->finished = true;
}

/*
 * Whether a VM is empty. Stops runs that may be stopped; abandons the move
 * after FLO_DRAIN_TIMEOUT_MS.
 */
static bool flo_drain(struct flo *f, struct flo_move *m, int64_t now)
{
	struct jtb_worker *w = jtb_worker(f->jtb, m->worker);
	guint i;

	if (!w || !w->runs->len)
		return !w || (w->proposed_cpu == 0 && w->proposed_mem == 0);
	if (now - m->from_ms > FLO_DRAIN_TIMEOUT_MS) {
		m->finished = true;
		flo_came_hold(f, m->vm, now);
		return false;
	}
	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_run_is_stopping(run) &&
		    flo_is_preemptible(f, m, run, now))
			f->ops->stop(f->arg, run, "its VM is needed elsewhere");
	}
	return false;
}

/*
 * Whether a run may be stopped so that its VM can be moved. A run that saves
 * its progress loses none and continues elsewhere; a gang would lose all its
 * members.
 */
static bool flo_is_preemptible(const struct flo *f, const struct flo_move *m,
			       const struct jtb_run *run, int64_t now)
{
	uint32_t flags = run->job->spec.steps[run->step].flags;

	if (flags & JTB_LONG_RUNNING)
		return f->ops->may_stop(f->arg, run);
	return m->cause != FLO_IDLE && flags & JTB_CHECKPOINTS &&
	       !(flags & JTB_GANG) &&
	       flo_estimate_remaining_ms(run, now) > FLO_STOP_COST_MS;
}

/*
 * Moves VMs to the pools that are short of them, the neediest first, until no
 * VM is available.
 */
static void flo_supply_pools(struct flo *f, int64_t now)
{
	struct flo_pool *p;

	while ((p = flo_find_neediest(f)))
		if (!flo_supply_pool(f, p, now))
			break;
}

/* Whether a pool has too few VMs. */
static bool flo_is_short(const struct flo *f, const struct flo_pool *p)
{
	if (p->load * FLO_TARGET_FACTOR > p->cores)
		return true;
	if (p->vms_at_once && p->vms <= p->vms_at_once)
		return true;
	/* Work of weight 0 must run as well, and needs one VM for that. */
	if (p->due && !p->vms)
		return true;
	if (p->vms < p->floor)
		return true;
	return !p->coming && p->unschedulable_ms &&
	       f->ticked_ms - p->unschedulable_ms < FLO_UNSCHEDULABLE_MS;
}

/*
 * Returns the pool with the highest ratio of load to cores among those that are
 * short, or NULL.
 */
static struct flo_pool *flo_find_neediest(const struct flo *f)
{
	struct flo_pool *best = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby || !flo_is_short(f, p))
			continue;
		if (!best || p->load * best->cores > best->load * p->cores)
			best = p;
	}
	return best;
}

/* Starts to move one VM to a pool; returns false if no pool can give one up. */
static bool flo_supply_pool(struct flo *f, struct flo_pool *to, int64_t now)
{
	struct flo_pool *from = flo_find_donor(f, to);
	const struct vms_vm *vm = from ? flo_best_candidate(from) : NULL;

	if (!vm)
		return false;
	flo_start_move(f, vm, from, to, FLO_SHORT, now);
	return true;
}

/*
 * Divides the VMs if pools are left short of them and together need more than
 * there is.
 */
static void flo_divide_vms(struct flo *f, int64_t now)
{
	GArray *pairs = flo_divide(f, flo_find_neediest(f) != NULL, now);
	guint i;

	for (i = 0; pairs && i < pairs->len; i++)
		flo_move_pair(f, &g_array_index(pairs, struct div_pair, i),
			      now);
	if (pairs)
		g_array_free(pairs, TRUE);
}

/* Starts the moves of one pair of a division, the giver's cheapest VMs. */
static void flo_move_pair(struct flo *f, const struct div_pair *pair,
			  int64_t now)
{
	struct flo_pool *from = flo_divided_pool(f, pair->from);
	struct flo_pool *to = flo_divided_pool(f, pair->to);
	const struct vms_vm *vm;
	guint i;

	for (i = 0; i < pair->count && (vm = flo_best_candidate(from)); i++) {
		flo_start_move(f, vm, from, to, FLO_DIVIDED, now);
		f->division.begun++;
	}
}

/* Starts to drain a VM for a move from one pool to another. */
static struct flo_move *flo_start_move(struct flo *f, const struct vms_vm *vm,
				       struct flo_pool *from,
				       struct flo_pool *to,
				       enum flo_cause cause, int64_t now)
{
	struct flo_move *m = g_new0(struct flo_move, 1);
	double cores = flo_vm_cores(f, vm);

	m->vm = g_strdup(vm->name);
	m->worker = g_strdup(vm->worker);
	m->from = g_strdup(from->name);
	m->to = g_strdup(to->name);
	m->from_ms = now;
	m->cause = cause;
	f->moves_begun[cause]++;
	g_ptr_array_add(f->moves, m);
	g_hash_table_insert(f->by_vm, m->vm, m);
	g_array_set_size(from->candidates, from->candidates->len - 1);
	from->cores -= cores;
	from->vms--;
	from->going++;
	to->cores += cores;
	to->vms++;
	to->coming++;
	return m;
}

/*
 * Returns the pool that gives up a VM, or NULL. Standby pools come first, then
 * pools with excess capacity, the most recently busy first: where load rotates
 * among the pools, that one is the last to be busy again.
 */
static struct flo_pool *flo_find_donor(const struct flo *f,
				       const struct flo_pool *to)
{
	struct flo_pool *best = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		double per_vm = p->vms ? p->cores / p->vms : 0;

		if (p == to || !p->vms || !flo_best_candidate(p))
			continue;
		if (p->standby)
			return p;
		if (p->vms <= flo_min_vms(p) ||
		    p->cores - per_vm < p->load * FLO_SPARE_FACTOR)
			continue;
		if (!best || p->busy_ms > best->busy_ms)
			best = p;
	}
	return best;
}
