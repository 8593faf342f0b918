#include "flo_int.h"

static void flo_move_free(gpointer p);
static void flo_pool_free(gpointer p);
static void flo_spread(struct flo *f, int64_t now);
static void flo_go_on(struct flo *f, int64_t now);
static void flo_go_on_move(struct flo *f, struct flo_move *m, int64_t now);
static void flo_another_came(struct flo_move *m, const struct vms_vm *vm,
			     int64_t now);
static bool flo_empty(struct flo *f, struct flo_move *m, int64_t now);
static void flo_fill(struct flo *f, int64_t now);
static bool flo_needs(const struct flo *f, const struct flo_pool *p);
static struct flo_pool *flo_neediest(const struct flo *f);
static bool flo_give(struct flo *f, struct flo_pool *to, int64_t now);
static struct flo_move *flo_begin(struct flo *f, const struct vms_vm *vm,
				  struct flo_pool *from, struct flo_pool *to,
				  int64_t now);
static bool flo_makes_way(const struct flo *f, const struct flo_move *m,
			  const struct jtb_run *run, int64_t now);
static struct flo_pool *flo_giver(const struct flo *f,
				  const struct flo_pool *to);

/* Pools of jtb's configuration over the VMs of vms; both must outlive it. */
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
	return f;
}

/* Frees it. */
void flo_free(struct flo *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_vm);
	g_ptr_array_free(f->moves, TRUE);
	g_ptr_array_free(f->pools, TRUE);
	g_free(f);
}

/*
 * A new leader knows of no moves; the list shows those that were agreed. What
 * it saw of rates when it last led is long over.
 */
void flo_lead(struct flo *f)
{
	guint i;

	g_hash_table_remove_all(f->by_vm);
	g_ptr_array_set_size(f->moves, 0);
	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		p->rate = 0;
		p->rate_slow = 0;
		p->rate_jobs = 0;
		p->spare_ms = 0;
	}
}

/* Looks at all pools and goes on with all moves. */
void flo_tick(struct flo *f, int64_t now_ms, int64_t wall_ms)
{
	if (!vms_listed_ms(f->vms))
		return;
	flo_go_on(f, now_ms);
	flo_measure(f, now_ms, wall_ms);
	flo_rank(f);
	flo_fill(f, now_ms);
	flo_spread(f, now_ms);
	/* what is empty already is ordered in this tick */
	flo_go_on(f, now_ms);
	f->ticked_ms = now_ms;
}

/* Work that lasts found no room in a pool. */
void flo_starved(struct flo *f, const char *pool, int64_t now_ms)
{
	flo_pool_at(f, pool)->starved_ms = now_ms;
}

/* The service answered an order. */
void flo_answered(struct flo *f, const char *vm, enum vms_answer answer,
		  int64_t now_ms)
{
	struct flo_move *m = flo_move_of(f, vm);

	if (!m || m->agreed_ms)
		return;
	if (answer == VMS_YES)
		m->agreed_ms = now_ms;
	else if (answer != VMS_UNANSWERED && answer != VMS_SLOW_DOWN)
		m->over = true;
}

/* The lifetime on a VM that was ordered away; NULL: it wasn't. */
const char *flo_worker(const struct flo *f, const char *vm)
{
	const struct flo_move *m = flo_move_of(f, vm);

	return m && m->ordered_ms ? m->worker : NULL;
}

/* Whether a VM is on its way to another pool. */
bool flo_holds(const struct flo *f, const char *vm)
{
	return flo_move_of(f, vm) != NULL;
}

/*
 * Whether a VM could be away for a while without harm: it is switched off, or
 * nothing runs on it and its pool has room to spare; and no pool is in need.
 */
bool flo_spared(const struct flo *f, const char *name)
{
	const struct vms_vm *vm = vms_find(f->vms, name);
	const struct flo_pool *p = vm ? flo_pool(f, vm->pool) : NULL;
	const struct jtb_worker *w;

	if (!p || flo_neediest(f))
		return false;
	if (p->standby)
		return true;
	w = jtb_worker(f->jtb, vm->worker);
	return w && !w->runs->len && p->vms > flo_least_vms(p) &&
	       p->cores - vm->cpu / 1000.0 >= p->load * FLO_SPARE;
}

/*
 * Adds the ids of workers that get nothing new since they are being emptied to
 * a set, which borrows them until flo is told or looks at anything again.
 */
void flo_closed(const struct flo *f, GHashTable *ids)
{
	guint i;

	for (i = 0; i < f->moves->len; i++) {
		const struct flo_move *m = g_ptr_array_index(f->moves, i);

		if (!m->over)
			g_hash_table_add(ids, m->worker);
	}
}

/* VMs on their way. */
guint flo_moving(const struct flo *f)
{
	return f->moves->len;
}

/* All pools, struct flo_pool, as last seen. */
GPtrArray *flo_pools(const struct flo *f)
{
	return f->pools;
}

/* What was seen of a pool, or NULL. */
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

/* Frees what is known of a pool. */
static void flo_pool_free(gpointer p)
{
	struct flo_pool *pool = p;

	g_free(pool->name);
	g_array_free(pool->picks, TRUE);
	g_free(pool);
}

/* The move that a VM is on, or NULL. */
struct flo_move *flo_move_of(const struct flo *f, const char *vm)
{
	return g_hash_table_lookup(f->by_vm, vm);
}

/* What is known of a pool, begun here if it is new. */
struct flo_pool *flo_pool_at(struct flo *f, const char *name)
{
	struct flo_pool *p = (struct flo_pool *)flo_pool(f, name);

	if (p)
		return p;
	p = g_new0(struct flo_pool, 1);
	p->name = g_strdup(name);
	p->picks = g_array_new(FALSE, FALSE, sizeof(struct flo_pick));
	g_ptr_array_add(f->pools, p);
	return p;
}

/* VMs that nobody has needed for a while are switched off. */
static void flo_spread(struct flo *f, int64_t now)
{
	struct flo_pool *off = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby)
			off = p;
	}
	for (i = 0; off && i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		const struct vms_vm *vm;

		if (p->standby || !p->spare_ms ||
		    now - p->spare_ms < FLO_IDLE_MS)
			continue;
		while (p->vms > flo_least_vms(p) &&
		       p->cores * (p->vms - 1) / p->vms >
			       MAX(p->load * FLO_SPARE, flo_least(p)) &&
		       (vm = flo_choose(p)))
			flo_begin(f, vm, p, off, now);
	}
}

/* Takes each move one step further. */
static void flo_go_on(struct flo *f, int64_t now)
{
	guint i;

	for (i = f->moves->len; i > 0; i--) {
		struct flo_move *m = g_ptr_array_index(f->moves, i - 1);

		flo_go_on_move(f, m, now);
		if (!m->over)
			continue;
		g_hash_table_remove(f->by_vm, m->vm);
		g_ptr_array_remove_index_fast(f->moves, i - 1);
	}
}

/* Orders a move once its VM is empty; gives up what lasts too long. */
static void flo_go_on_move(struct flo *f, struct flo_move *m, int64_t now)
{
	const struct vms_vm *vm = vms_find(f->vms, m->vm);

	if (!vm) {
		m->over = true;
		return;
	}
	if (!m->agreed_ms && strcmp(vm->worker, m->worker) != 0)
		flo_another_came(m, vm, now);
	if (m->over)
		return;
	if (m->agreed_ms) {
		if (vm->state == VMS_UP && strcmp(vm->pool, m->to) == 0)
			m->over = true;
		if (now - m->agreed_ms > FLO_LISTED_MS)
			m->over = true;
		return;
	}
	if (!m->ordered_ms && !flo_empty(f, m, now))
		return;
	if (m->ordered_ms && now - m->from_ms > FLO_GIVE_UP_MS) {
		m->over = true;
		return;
	}
	if (!m->ordered_ms || now - m->ordered_ms > FLO_AGAIN_MS) {
		m->ordered_ms = now;
		f->ops->order(f->arg, m->vm, m->to);
	}
}

/*
 * The lifetime that was emptied is over before we heard that the move is done.
 * It is, if the list says so: until it is through the old worker gets nothing,
 * as before. Else the VM failed by itself, and another worker may have got work.
 */
static void flo_another_came(struct flo_move *m, const struct vms_vm *vm,
			     int64_t now)
{
	if (m->ordered_ms &&
	    (vm->state == VMS_MOVING || strcmp(vm->pool, m->to) == 0))
		m->agreed_ms = now;
	else
		m->over = true;
}

/* Whether nothing runs on a VM any more; it is given up if that lasts. */
static bool flo_empty(struct flo *f, struct flo_move *m, int64_t now)
{
	struct jtb_worker *w = jtb_worker(f->jtb, m->worker);
	guint i;

	if (!w || !w->runs->len)
		return !w || (w->proposed_cpu == 0 && w->proposed_mem == 0);
	if (now - m->from_ms > FLO_PATIENCE_MS) {
		m->over = true;
		return false;
	}
	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_run_is_stopping(run) && flo_makes_way(f, m, run, now))
			f->ops->stop(f->arg, run, "its VM is needed elsewhere");
	}
	return false;
}

/*
 * Whether a run is stopped so that its VM can go. What saves its progress
 * loses none by it and goes on elsewhere; a gang would lose all its members.
 */
static bool flo_makes_way(const struct flo *f, const struct flo_move *m,
			  const struct jtb_run *run, int64_t now)
{
	uint32_t flags = run->job->spec.steps[run->step].flags;

	if (flags & JTB_LONG_RUNNING)
		return f->ops->may_stop(f->arg, run);
	return m->urgent && flags & JTB_CHECKPOINTS && !(flags & JTB_GANG) &&
	       flo_left_ms(run, now) > FLO_STOP_MS;
}

/* Gives VMs to the pools that need them most, as far as there are some. */
static void flo_fill(struct flo *f, int64_t now)
{
	struct flo_pool *p;

	while ((p = flo_neediest(f)))
		if (!flo_give(f, p, now))
			break;
}

/* Whether a pool has less room than it should have. */
static bool flo_needs(const struct flo *f, const struct flo_pool *p)
{
	if (p->load * FLO_ROOM > p->cores)
		return true;
	if (p->apart && p->vms <= p->apart)
		return true;
	/* also work that counts nothing is owed, and runs on one VM at last */
	if (p->due && !p->vms)
		return true;
	return !p->coming && p->starved_ms &&
	       f->ticked_ms - p->starved_ms < FLO_STARVED_MS;
}

/* The pool with the least room for its load, if it has too little. */
static struct flo_pool *flo_neediest(const struct flo *f)
{
	struct flo_pool *best = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby || !flo_needs(f, p))
			continue;
		if (!best || p->load * best->cores > best->load * p->cores)
			best = p;
	}
	return best;
}

/* Begins to move one VM to a pool; false: none can be spared. */
static bool flo_give(struct flo *f, struct flo_pool *to, int64_t now)
{
	struct flo_pool *from = flo_giver(f, to);
	const struct vms_vm *vm = from ? flo_choose(from) : NULL;

	if (!vm)
		return false;
	flo_begin(f, vm, from, to, now)->urgent = true;
	return true;
}

/* Begins to empty a VM, to be moved from one pool to another. */
static struct flo_move *flo_begin(struct flo *f, const struct vms_vm *vm,
				  struct flo_pool *from, struct flo_pool *to,
				  int64_t now)
{
	struct flo_move *m = g_new0(struct flo_move, 1);

	m->vm = g_strdup(vm->name);
	m->worker = g_strdup(vm->worker);
	m->from = g_strdup(from->name);
	m->to = g_strdup(to->name);
	m->from_ms = now;
	g_ptr_array_add(f->moves, m);
	g_hash_table_insert(f->by_vm, m->vm, m);
	g_array_set_size(from->picks, from->picks->len - 1);
	from->cores -= vm->cpu / 1000.0;
	from->vms--;
	from->going++;
	to->cores += vm->cpu / 1000.0;
	to->vms++;
	to->coming++;
	return m;
}

/*
 * VMs that are switched off go first. Then those of pools with room to spare,
 * the last to have been busy before the others: where load goes round, it is
 * the last to be busy again.
 */
static struct flo_pool *flo_giver(const struct flo *f,
				  const struct flo_pool *to)
{
	struct flo_pool *best = NULL;
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		struct flo_pool *p = g_ptr_array_index(f->pools, i);
		double one = p->vms ? p->cores / p->vms : 0;

		if (p == to || !p->vms || !flo_choose(p))
			continue;
		if (p->standby)
			return p;
		if (p->vms <= flo_least_vms(p) ||
		    p->cores - one < p->load * FLO_SPARE)
			continue;
		if (!best || p->busy_ms > best->busy_ms)
			best = p;
	}
	return best;
}
