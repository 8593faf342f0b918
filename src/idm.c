#include "idm.h"

#include "idm_int.h"

static void idm_drop_all(struct idm *m, int64_t now);
static void idm_propose(struct idm *m, int64_t now, struct idm_view *want);
static void idm_tick_view(struct idm *m, int64_t now);
static void idm_tick_reset(struct idm *m, int64_t now);
static uint64_t idm_mix(uint64_t x);

/* What each message does; from is the node that sent it. */
static void idm_on_ask(struct idm *m, int64_t now, const char *from,
		       struct pk_in *in);
static void idm_on_verdict(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in);
static void idm_on_finish(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in);
static void idm_on_finished(struct idm *m, int64_t now, const char *from,
			    struct pk_in *in);
static void idm_on_put_old(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in);
static void idm_on_sync_ok(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in);

static void (*const idm_handlers[])(struct idm *m, int64_t now,
				    const char *from, struct pk_in *in) = {
	[IDM_MSG_ASK] = idm_on_ask,
	[IDM_MSG_VERDICT] = idm_on_verdict,
	[IDM_MSG_FINISH] = idm_on_finish,
	[IDM_MSG_FINISHED] = idm_on_finished,
	[IDM_MSG_PUT] = idm_keep_put,
	[IDM_MSG_PUT_OK] = idm_keep_put_ok,
	[IDM_MSG_PUT_OLD] = idm_on_put_old,
	[IDM_MSG_SYNC] = idm_keep_sync,
	[IDM_MSG_SYNC_OK] = idm_on_sync_ok,
};

static void idm_peer_free(gpointer p)
{
	struct idm_peer *peer = p;

	g_free(peer->node);
	g_free(peer);
}

/* A memory that knows nothing yet and belongs to no view. */
struct idm *idm_new(const struct idm_config *config, const struct idm_ops *ops,
		    void *arg)
{
	struct idm *m = g_new0(struct idm, 1);

	m->config = *config;
	m->ops = ops;
	m->arg = arg;
	m->self = idm_keeper_name(config->node, config->boot);
	m->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   idm_record_free);
	m->by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 idm_peer_free);
	m->own = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				       idm_own_free);
	/*
	 * Not from 1 at each start: a verdict on an ask of the boot before
	 * would be taken for one on ours, and a caller get another's answer.
	 */
	m->next_ask = idm_mix(config->boot);
	m->started = -1;
	return m;
}

/* Frees the memory; open asks get no verdict. */
void idm_free(struct idm *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->own);
	g_hash_table_destroy(m->peers);
	g_hash_table_destroy(m->by_seq);
	g_hash_table_destroy(m->records);
	idm_view_free(m->view);
	g_free(m->self);
	g_free(m);
}

/* An empty view. */
struct idm_view *idm_view_new(uint64_t epoch, uint64_t number)
{
	struct idm_view *v = g_new0(struct idm_view, 1);

	v->epoch = epoch;
	v->number = number;
	v->keepers = g_ptr_array_new_with_free_func(g_free);
	return v;
}

/* A copy of a view. */
struct idm_view *idm_view_copy(const struct idm_view *v)
{
	struct idm_view *copy = idm_view_new(v->epoch, v->number);
	guint i;

	for (i = 0; i < v->keepers->len; i++)
		g_ptr_array_add(copy->keepers,
				g_strdup(g_ptr_array_index(v->keepers, i)));
	return copy;
}

/* Frees a view; NULL is allowed. */
void idm_view_free(struct idm_view *v)
{
	if (!v)
		return;
	g_ptr_array_free(v->keepers, TRUE);
	g_free(v);
}

/*
 * The voters agreed on a view. An older one than ours is let pass. With
 * another epoch all is forgotten: its keys can't be claimed any more, so
 * nothing that ran under them can run again.
 */
void idm_set_view(struct idm *m, int64_t now, const struct idm_view *view)
{
	struct idm_view *old;

	if (m->view && view->number <= m->view->number)
		return;
	if (!m->view || m->view->epoch != view->epoch) {
		idm_drop_all(m, now);
		/* Who begins a memory holds all of it. */
		m->complete = idm_has_keeper(view, m->self);
	} else if (!idm_has_keeper(view, m->self) && view->number > m->learnt) {
		/* From here on we may miss records. */
		m->complete = false;
		m->learning = false;
	}
	old = m->view;
	m->view = idm_view_copy(view);
	m->no_keeper_since = 0;
	idm_keep_view(m, now, old);
	idm_view_free(old);
	idm_own_resend(m, now);
}

/* An entry daemon of the zone is up. */
void idm_peer_up(struct idm *m, int64_t now, const char *node, uint64_t boot)
{
	struct idm_peer *p = g_hash_table_lookup(m->peers, node);

	if (!p) {
		p = g_new0(struct idm_peer, 1);
		p->node = g_strdup(node);
		g_hash_table_insert(m->peers, p->node, p);
	}
	p->boot = boot;
	p->up = true;
	p->since = now;
	p->synced = false;
	p->syncing = false;
	if (m->view && idm_first(m) && idm_keeper_up(m, m->self)) {
		char *keeper = idm_keeper_name(node, boot);

		/* It may have missed records while it was not heard. */
		if (idm_has_keeper(m->view, keeper))
			idm_keep_start_sync(m, p);
		g_free(keeper);
	}
	idm_own_resend(m, now);
}

/* An entry daemon of the zone is not heard any more. */
void idm_peer_down(struct idm *m, int64_t now, const char *node)
{
	struct idm_peer *p = g_hash_table_lookup(m->peers, node);
	char *first = NULL;

	if (!p)
		return;
	p->up = false;
	p->since = now;
	p->synced = false;
	p->syncing = false;
	/*
	 * A new keeper that loses the one it learns from has gaps from now
	 * on; it must learn again from the start.
	 */
	if (m->view && !idm_has_keeper(m->view, m->self) &&
	    g_strcmp0(idm_first_node(m, &first), node) == 0) {
		m->complete = false;
		m->learning = false;
	}
	g_free(first);
}

/* A message of another entry daemon's memory; what is not one is let pass. */
void idm_recv(struct idm *m, int64_t now, const char *from, struct lstr bytes)
{
	struct pk_in in;
	uint64_t kind;

	if (!pk_in_init(&in, bytes))
		return;
	kind = pk_get_u(&in);
	if (kind < G_N_ELEMENTS(idm_handlers) && idm_handlers[kind])
		idm_handlers[kind](m, now, from, &in);
	pk_in_done(&in);
}

/* Lets time pass: to be called every 100 ms or so. */
void idm_tick(struct idm *m, int64_t now)
{
	if (m->started < 0)
		m->started = now;
	idm_own_tick(m, now);
	idm_keep_tick(m, now);
	idm_tick_view(m, now);
	idm_tick_reset(m, now);
}

/* Counters since the start, and what is held now. */
struct idm_stats idm_stats(const struct idm *m)
{
	struct idm_stats s = m->stats;

	s.records = g_hash_table_size(m->records);
	s.bytes = m->bytes;
	return s;
}

/* Whether this daemon holds a whole copy of the memory in force. */
bool idm_is_keeper(const struct idm *m)
{
	return m->view && m->complete && idm_has_keeper(m->view, m->self);
}

/* The epoch of the memory; 0: none is known. */
uint64_t idm_epoch(const struct idm *m)
{
	return m->view ? m->view->epoch : 0;
}

/* How many keepers the view has. */
unsigned int idm_keepers(const struct idm *m)
{
	return m->view ? m->view->keepers->len : 0;
}

char *idm_keeper_name(const char *node, uint64_t boot)
{
	return g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", node, boot);
}

/* Whether this daemon is the first keeper of the view it knows. */
bool idm_first(const struct idm *m)
{
	return m->view && m->view->keepers->len &&
	       strcmp(g_ptr_array_index(m->view->keepers, 0), m->self) == 0;
}

/* The node of the first keeper; *freed must be freed. NULL: none. */
const char *idm_first_node(const struct idm *m, char **freed)
{
	char *slash;

	*freed = NULL;
	if (!m->view || m->view->keepers->len == 0)
		return NULL;
	*freed = g_strdup(g_ptr_array_index(m->view->keepers, 0));
	slash = strrchr(*freed, '/');
	*slash = '\0';
	return *freed;
}

struct idm_peer *idm_peer_of_keeper(const struct idm *m, const char *keeper)
{
	const char *slash = strrchr(keeper, '/');
	char *node = g_strndup(keeper, (gsize)(slash - keeper));
	struct idm_peer *p = g_hash_table_lookup(m->peers, node);
	char *name;

	g_free(node);
	if (!p)
		return NULL;
	name = idm_keeper_name(p->node, p->boot);
	if (strcmp(name, keeper) != 0)
		p = NULL;
	g_free(name);
	return p;
}

/* Whether a keeper, as it was when it became one, can be reached. */
bool idm_keeper_up(const struct idm *m, const char *keeper)
{
	const struct idm_peer *p;

	if (strcmp(keeper, m->self) == 0)
		return m->complete;
	p = idm_peer_of_keeper(m, keeper);
	return p && p->up;
}

void idm_send(struct idm *m, const char *node, struct pk_out *o)
{
	m->ops->send(m->arg, node, pk_out_view(o));
	pk_out_done(o);
}

static void idm_drop_all(struct idm *m, int64_t now)
{
	GPtrArray *asks = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_remove_all(m->by_seq);
	g_hash_table_remove_all(m->records);
	m->bytes = 0;
	g_hash_table_iter_init(&it, m->own);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(asks, value);
	for (i = 0; i < asks->len; i++) {
		struct idm_own *own = g_ptr_array_index(asks, i);

		if (!own->told)
			idm_own_verdict(m, now, own->ask, IDM_REFUSED,
					lstr_n("", 0));
	}
	g_ptr_array_free(asks, TRUE);
}

/* Whether a view has a keeper, as it was when it became one. */
bool idm_has_keeper(const struct idm_view *v, const char *keeper)
{
	return g_ptr_array_find_with_equal_func(v->keepers, keeper, g_str_equal,
						NULL);
}

static void idm_propose(struct idm *m, int64_t now, struct idm_view *want)
{
	if (m->proposed == 0 || now - m->proposed >= IDM_PROPOSE_MS) {
		m->proposed = now;
		m->ops->propose(m->arg, want);
	}
	idm_view_free(want);
}

/* Since when a keeper is not heard; 0: it is heard. */
static int64_t idm_keeper_down_since(const struct idm *m, const char *keeper)
{
	const struct idm_peer *p;

	if (idm_keeper_up(m, keeper))
		return 0;
	p = idm_peer_of_keeper(m, keeper);
	return p ? MAX(p->since, 1) : MAX(m->started, 1);
}

/*
 * Asks keepers out of the view that are not heard, if we are the first that
 * is, and in when a new one has learnt everything. Only whole copies may ask:
 * the voters can't know what a keeper holds.
 */
static void idm_tick_view(struct idm *m, int64_t now)
{
	struct idm_view *want;
	GHashTableIter it;
	gpointer value;
	bool change = false;
	guint i;

	if (!idm_is_keeper(m))
		return;
	want = idm_view_new(m->view->epoch, m->view->number + 1);
	for (i = 0; i < m->view->keepers->len; i++) {
		const char *k = g_ptr_array_index(m->view->keepers, i);
		int64_t since = idm_keeper_down_since(m, k);

		if (since && now - since > IDM_OUT_MS)
			change = true;
		else
			g_ptr_array_add(want->keepers, g_strdup(k));
	}
	if (!change && idm_first(m)) {
		g_hash_table_iter_init(&it, m->peers);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			struct idm_peer *p = value;
			char *k = idm_keeper_name(p->node, p->boot);

			if (p->up && p->synced && !change &&
			    want->keepers->len < IDM_KEEPERS_MAX &&
			    !idm_has_keeper(want, k)) {
				g_ptr_array_add(want->keepers, g_strdup(k));
				change = true;
			}
			g_free(k);
		}
	}
	if (change && want->keepers->len &&
	    strcmp(g_ptr_array_index(want->keepers, 0), m->self) == 0)
		idm_propose(m, now, want);
	else
		idm_view_free(want);
}

/*
 * Begins a new memory when no keeper of the old one is heard for long: the
 * whole zone was started anew. Its epoch differs, so keys of the old memory
 * are answered as unknown, never run again.
 */
static void idm_tick_reset(struct idm *m, int64_t now)
{
	struct idm_view *want;
	guint i;

	if (idm_is_keeper(m))
		return;
	for (i = 0; m->view && i < m->view->keepers->len; i++) {
		if (idm_keeper_up(m, g_ptr_array_index(m->view->keepers, i))) {
			m->no_keeper_since = 0;
			return;
		}
	}
	if (m->no_keeper_since == 0)
		m->no_keeper_since = MAX(now, 1);
	/* Where there was no memory yet, none can be lost. */
	if (now - m->no_keeper_since < (m->view ? IDM_RESET_MS : IDM_BEGIN_MS))
		return;
	want = idm_view_new(0, m->view ? m->view->number + 1 : 1);
	/* Mixed twice, so that no two (boot, number) give one sum. */
	want->epoch = idm_mix(idm_mix(m->config.boot) + want->number) | 1;
	g_ptr_array_add(want->keepers, g_strdup(m->self));
	idm_propose(m, now, want);
}

/* Spreads a number over all 64 bits (the finish of SplitMix64). */
static uint64_t idm_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15u;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static void idm_on_ask(struct idm *m, int64_t now, const char *from,
		       struct pk_in *in)
{
	uint64_t ask = pk_get_u(in);
	struct lstr key = pk_get_str(in);
	struct lstr digest = pk_get_str(in);

	if (pk_in_ok(in) && digest.len == IDM_DIGEST)
		idm_keep_ask(m, now, from, ask, key, digest);
}

static void idm_on_verdict(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in)
{
	uint64_t ask = pk_get_u(in);
	uint64_t verdict = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);

	if (pk_in_ok(in) && verdict <= IDM_WAIT)
		idm_own_verdict(m, now, ask, (enum idm_verdict)verdict, bytes);
}

static void idm_on_finish(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in)
{
	uint64_t ask = pk_get_u(in);
	struct lstr key = pk_get_str(in);
	uint64_t state = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);

	if (pk_in_ok(in) && state > IDM_CLAIMED && state <= IDM_FREE)
		idm_keep_finish(m, now, from, ask, key, (enum idm_state)state,
				bytes);
}

static void idm_on_finished(struct idm *m, int64_t now, const char *from,
			    struct pk_in *in)
{
	uint64_t ask = pk_get_u(in);

	if (pk_in_ok(in))
		idm_own_finished(m, ask);
}

/*
 * A keeper knows a newer view than we do. Nothing is done but wait for it:
 * claims that this keeper must hold stay without its word, so none is granted.
 */
static void idm_on_put_old(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in)
{
}

static void idm_on_sync_ok(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in)
{
	struct idm_peer *p = g_hash_table_lookup(m->peers, from);
	uint64_t number = pk_get_u(in);

	if (!p || !p->syncing || !m->view || number != m->view->number)
		return;
	p->syncing = false;
	p->synced = true;
}
