#include "mvr.h"

/* A step that brought nothing is decided again after this long, ms. */
#define MVR_RETRY_MS 1000

/* A move as this leader has seen it. */
struct mvr_move {
	uint64_t epoch;
	enum fst_phase phase;
	int64_t since_ms; /* when this leader first saw the phase */
	int64_t sent_ms;
	bool sent;
	bool seen; /* in the present run */
};

struct mvr {
	const struct mvr_ops *ops;
	void *arg;
	GHashTable *moves; /* VM -> struct mvr_move */
};

static void mvr_one(struct mvr *m, const struct fst *f,
		    const struct fst_member *vm, int64_t now_ms);
static struct mvr_move *mvr_move_of(struct mvr *m, const struct fst_member *vm,
				    int64_t now_ms);
static const char *mvr_holdout(const struct mvr *m, const struct fst *f,
			       const struct fst_member *vm);
static int64_t mvr_grace(const struct fst *f, const struct fst_member *vm);
static gboolean mvr_unseen(gpointer key, gpointer value, gpointer arg);

/* A mover without knowledge of any move. */
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

/* Decides for every VM on its way; called at the leader, now and then. */
void mvr_run(struct mvr *m, const struct fst *f, int64_t now_ms)
{
	struct fst_member vm;
	guint i;

	for (i = 0; i < fst_members(f); i++) {
		fst_member(f, i, &vm);
		if (vm.to)
			mvr_one(m, f, &vm, now_ms);
	}
	g_hash_table_foreach_remove(m->moves, mvr_unseen, NULL);
}

static gboolean mvr_unseen(gpointer key, gpointer value, gpointer arg)
{
	struct mvr_move *move = value;
	bool seen = move->seen;

	move->seen = false;
	return !seen;
}

static void mvr_one(struct mvr *m, const struct fst *f,
		    const struct fst_member *vm, int64_t now_ms)
{
	struct mvr_move *move = mvr_move_of(m, vm, now_ms);
	struct fcm_cmd cmd = {
		.kind = vm->phase == FST_RELEASING ? FCM_RELEASED : FCM_MOVED,
		.step = {.vm = lstr_from(vm->vm), .epoch = vm->epoch}};

	if (move->sent && now_ms < move->sent_ms + MVR_RETRY_MS)
		return;
	if (vm->phase == FST_RELEASING) {
		if (mvr_holdout(m, f, vm))
			return;
		cmd.step.reason = LSTR("every entry daemon of its zone "
				       "has let go");
	} else {
		/*
		 * Requests placed before the release are still in flight; the
		 * VM joins its new pool once none of them can be.
		 */
		if (now_ms < move->since_ms + mvr_grace(f, vm))
			return;
		cmd.step.reason = LSTR("no request of the old pool can be in "
				       "flight");
	}
	move->sent = true;
	move->sent_ms = now_ms;
	m->ops->submit(m->arg, &cmd);
}

static struct mvr_move *mvr_move_of(struct mvr *m, const struct fst_member *vm,
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
 * The first entry daemon of the VM's zone that may still place there. Those
 * of other zones hand requests to this zone's entry daemons and never place
 * here themselves, so a zone that is cut off keeps no other zone's VM.
 */
static const char *mvr_holdout(const struct mvr *m, const struct fst *f,
			       const struct fst_member *vm)
{
	const char *home = cfg_vm(fst_config(f), vm->vm)->zone;
	const char *node;
	const char *zone;
	guint i;

	for (i = 0; i < fst_nodes(f); i++) {
		fst_node(f, i, &node, &zone);
		if (strcmp(zone, home) == 0 &&
		    m->ops->works_by(m->arg, node) < vm->since)
			return node;
	}
	return NULL;
}

static int64_t mvr_grace(const struct fst *f, const struct fst_member *vm)
{
	const struct cfg *c = fst_config(f);
	const struct cfg_obj *pool = cfg_find(c, CFG_POOL, vm->pool);

	return cfg_num(c, cfg_vm(c, vm->vm)->site, pool, CFG_POOL_DEADLINE);
}

/* What a move waits for, in words for operators; freed with g_free. */
char *mvr_waits_for(const struct mvr *m, const struct fst *f, const char *vm)
{
	struct fst_member at;
	const char *node;
	guint i;

	for (i = 0; i < fst_members(f); i++) {
		fst_member(f, i, &at);
		if (strcmp(at.vm, vm) != 0)
			continue;
		if (!at.to)
			return g_strdup("nothing: it does not move");
		if (at.phase == FST_RELEASED)
			return g_strdup("requests in flight");
		node = mvr_holdout(m, f, &at);
		return node ? g_strdup_printf("entry daemon %s", node)
			    : g_strdup("the leader");
	}
	return g_strdup("nothing: no such VM");
}
