#include "mvr.h"

/*
 * A submitted step that had no effect is submitted again after this time, ms.
 */
#define MVR_RETRY_MS 1000

/* State of a move on this leader. */
struct mvr_move {
	uint64_t epoch;
	enum fst_phase phase;
	int64_t since_ms; /* when this leader first saw the phase */
	int64_t sent_ms; /* when its step was last submitted */
	bool sent; /* a step of this phase was submitted */
	bool seen; /* in the current mvr_run() */
};

struct mvr {
	const struct mvr_ops *ops;
	void *arg;
	GHashTable *moves; /* VM name: struct mvr_move */
};

static void mvr_advance_move(struct mvr *m, const struct fst *f,
			     const struct fst_member *vm, int64_t now_ms);
static struct mvr_move *mvr_get_move(struct mvr *m, const struct fst_member *vm,
				     int64_t now_ms);
static const char *mvr_find_pending_entry(const struct mvr *m,
					  const struct fst *f,
					  const struct fst_member *vm);
static int64_t mvr_grace_ms(const struct fst *f, const struct fst_member *vm);
static gboolean mvr_is_unseen(gpointer key, gpointer value, gpointer arg);

/* Creates a mover that knows no moves. */
struct mvr *mvr_new(const struct mvr_ops *ops, void *arg)
{
	struct mvr *m = g_new0(struct mvr, 1);

	m->ops = ops;
	m->arg = arg;
	m->moves =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

/* Frees a mover; NULL is allowed. */
void mvr_free(struct mvr *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->moves);
	g_free(m);
}

/*
 * Submits the steps that are due for all VMs being moved. Called periodically
 * on the leader.
 */
void mvr_run(struct mvr *m, const struct fst *f, int64_t now_ms)
{
	struct fst_member vm;
	guint i;

	for (i = 0; i < fst_member_count(f); i++) {
		fst_member(f, i, &vm);
		if (vm.to)
			mvr_advance_move(m, f, &vm, now_ms);
	}
	g_hash_table_foreach_remove(m->moves, mvr_is_unseen, NULL);
}

/* Whether a move was not seen in this run, so that it is removed. */
static gboolean mvr_is_unseen(gpointer key, gpointer value, gpointer arg)
{
	struct mvr_move *move = value;
	bool seen = move->seen;

	move->seen = false;
	return !seen;
}

/* Submits the next step of a VM's move if it is due. */
static void mvr_advance_move(struct mvr *m, const struct fst *f,
			     const struct fst_member *vm, int64_t now_ms)
{
	struct mvr_move *move = mvr_get_move(m, vm, now_ms);
	struct fcm_cmd cmd = {
		.kind = vm->phase == FST_RELEASING ? FCM_RELEASED : FCM_MOVED,
		.step = {.vm = lstr_from(vm->vm), .epoch = vm->epoch}};

	if (move->sent && now_ms < move->sent_ms + MVR_RETRY_MS)
		return;
	if (vm->phase == FST_RELEASING) {
		if (mvr_find_pending_entry(m, f, vm))
			return;
		cmd.step.reason = LSTR("every entry daemon of its zone "
				       "has let go");
	} else {
		/*
		 * Requests sent to the VM before its release may still be in
		 * flight; the VM joins its new pool once their deadline has
		 * passed.
		 */
		if (now_ms < move->since_ms + mvr_grace_ms(f, vm))
			return;
		cmd.step.reason = LSTR("no request of the old pool can be in "
				       "flight");
	}
	move->sent = true;
	move->sent_ms = now_ms;
	m->ops->submit(m->arg, &cmd);
}

/* Returns the state of a VM's move, started anew with each phase. */
static struct mvr_move *mvr_get_move(struct mvr *m, const struct fst_member *vm,
				     int64_t now_ms)
{
	struct mvr_move *move = g_hash_table_lookup(m->moves, vm->vm);

	if (!move) {
		move = g_new0(struct mvr_move, 1);
		g_hash_table_insert(m->moves, g_strdup(vm->vm), move);
	}
	if (move->epoch != vm->epoch || move->phase != vm->phase)
		*move = (struct mvr_move){.epoch = vm->epoch,
					  .phase = vm->phase,
					  .since_ms = now_ms};
	move->seen = true;
	return move;
}

/*
 * Returns the first entry daemon of the VM's zone that may still send requests
 * to the VM, or NULL. Entry daemons of other zones hand requests to this zone's
 * entry daemons and never send to the VM themselves, so a partitioned zone
 * delays no VM of another zone.
 */
static const char *mvr_find_pending_entry(const struct mvr *m,
					  const struct fst *f,
					  const struct fst_member *vm)
{
	const char *home = cfg_vm(fst_config(f), vm->vm)->zone;
	const char *node;
	const char *zone;
	guint i;

	for (i = 0; i < fst_node_count(f); i++) {
		fst_node(f, i, &node, &zone);
		if (strcmp(zone, home) == 0 &&
		    m->ops->applied_version(m->arg, node) < vm->since)
			return node;
	}
	return NULL;
}

/*
 * Returns the deadline of requests in the VM's pool, ms: the time for which a
 * request may be in flight after the VM's release.
 */
static int64_t mvr_grace_ms(const struct fst *f, const struct fst_member *vm)
{
	const struct cfg *c = fst_config(f);
	const struct cfg_obj *pool = cfg_find(c, CFG_POOL, vm->pool);

	return cfg_num(c, cfg_vm(c, vm->vm)->site, pool, CFG_POOL_DEADLINE);
}

/*
 * Returns what a VM's move waits for, as a text for operators; to be freed with
 * g_free.
 */
char *mvr_waits_for(const struct mvr *m, const struct fst *f, const char *vm)
{
	struct fst_member at;
	const char *node;
	guint i;

	for (i = 0; i < fst_member_count(f); i++) {
		fst_member(f, i, &at);
		if (strcmp(at.vm, vm) != 0)
			continue;
		if (!at.to)
			return g_strdup("nothing: it does not move");
		if (at.phase == FST_RELEASED)
			return g_strdup("requests in flight");
		node = mvr_find_pending_entry(m, f, &at);
		return node ? g_strdup_printf("entry daemon %s", node)
			    : g_strdup("the leader");
	}
	return g_strdup("nothing: no such VM");
}
