#include "idm.h"

#include "idm_int.h"

static void idm_shift(int64_t *since, int64_t now, int64_t by_ms);
static void idm_drop_all(struct idm *m, int64_t now);
static void idm_propose(struct idm *m, int64_t now, struct idm_view *next_view);
static void idm_tick_view(struct idm *m, int64_t now);
static void idm_tick_reset(struct idm *m, int64_t now);
static uint64_t idm_mix64(uint64_t x);

/* Message handlers; from is the node that sent the message. */
static void idm_on_claim(struct idm *m, int64_t now, const char *from,
			 struct pk_in *in);
static void idm_on_verdict(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in);
static void idm_on_finish(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in);
static void idm_on_finish_ack(struct idm *m, int64_t now, const char *from,
			      struct pk_in *in);
static void idm_on_put_stale(struct idm *m, int64_t now, const char *from,
			     struct pk_in *in);
static void idm_on_sync_ack(struct idm *m, int64_t now, const char *from,
			    struct pk_in *in);

static void (*const idm_handlers[])(struct idm *m, int64_t now,
				    const char *from, struct pk_in *in) = {
	[IDM_MSG_CLAIM] = idm_on_claim,
	[IDM_MSG_VERDICT] = idm_on_verdict,
	[IDM_MSG_FINISH] = idm_on_finish,
	[IDM_MSG_FINISH_ACK] = idm_on_finish_ack,
	[IDM_MSG_PUT] = idm_replica_recv_put,
	[IDM_MSG_PUT_ACK] = idm_replica_recv_put_ack,
	[IDM_MSG_PUT_STALE] = idm_on_put_stale,
	[IDM_MSG_SYNC] = idm_replica_recv_sync,
	[IDM_MSG_SYNC_ACK] = idm_on_sync_ack,
};

static void idm_peer_free(gpointer p)
{
	struct idm_peer *peer = p;

	g_free(peer->node);
	g_free(peer);
}

/* Creates an idempotency store without records that belongs to no view. */
struct idm *idm_new(const struct idm_config *config, const struct idm_ops *ops,
		    void *arg)
{
	struct idm *m = g_new0(struct idm, 1);

	m->config = *config;
	m->ops = ops;
	m->arg = arg;
	m->self = idm_replica_name(config->node, config->boot);
	m->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   idm_record_free);
	m->by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 idm_peer_free);
	m->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  idm_claim_free);
	/*
	 * Claim ids must not restart from 1: a verdict on a claim of the
	 * previous boot would be taken for one on a new claim, and a caller
	 * would get the answer to another request.
	 */
	m->next_claim = idm_mix64(config->boot);
	m->started = -1;
	return m;
}

/* Frees the store; pending claims get no verdict. */
void idm_free(struct idm *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->claims);
	g_hash_table_destroy(m->peers);
	g_hash_table_destroy(m->by_seq);
	g_hash_table_destroy(m->records);
	idm_view_free(m->view);
	g_free(m->self);
	g_free(m);
}

/* Returns a view without replicas. */
struct idm_view *idm_view_new(uint64_t epoch, uint64_t number)
{
	struct idm_view *v = g_new0(struct idm_view, 1);

	v->epoch = epoch;
	v->number = number;
	v->replicas = g_ptr_array_new_with_free_func(g_free);
	return v;
}

/* Returns a deep copy of a view. */
struct idm_view *idm_view_copy(const struct idm_view *v)
{
	struct idm_view *copy = idm_view_new(v->epoch, v->number);
	guint i;

	for (i = 0; i < v->replicas->len; i++)
		g_ptr_array_add(copy->replicas,
				g_strdup(g_ptr_array_index(v->replicas, i)));
	return copy;
}

/* Frees a view; NULL is allowed. */
void idm_view_free(struct idm_view *v)
{
	if (!v)
		return;
	g_ptr_array_free(v->replicas, TRUE);
	g_free(v);
}

/*
 * Applies a view that the voters agreed on, unless it is older than the current
 * one. A view of another epoch drops all records: keys of the old epoch can't
 * be claimed any more, so nothing that ran under them can run again.
 */
void idm_set_view(struct idm *m, int64_t now, const struct idm_view *view)
{
	struct idm_view *old;

	if (m->view && view->number <= m->view->number)
		return;
	if (!m->view || m->view->epoch != view->epoch) {
		idm_drop_all(m, now);
		/* The replica that creates a store holds all of it. */
		m->complete = idm_has_replica(view, m->self);
	} else if (!idm_has_replica(view, m->self) &&
		   view->number > m->received_view) {
		/*
		 * Not a replica of this view, so records may be missed from now
		 * on.
		 */
		m->complete = false;
		m->receiving = false;
	}
	old = m->view;
	m->view = idm_view_copy(view);
	m->no_replica_since = 0;
	idm_replica_view_changed(m, now, old);
	idm_view_free(old);
	idm_claim_resend_all(m, now);
}

/* Records that an entry daemon of the zone has connected. */
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
	if (m->view && idm_is_primary(m) && idm_replica_up(m, m->self)) {
		char *replica = idm_replica_name(node, boot);

		/*
		 * The replica may have missed records while it was
		 * disconnected.
		 */
		if (idm_has_replica(m->view, replica))
			idm_replica_start_sync(m, p);
		g_free(replica);
	}
	idm_claim_resend_all(m, now);
}

/* Records that an entry daemon of the zone has disconnected. */
void idm_peer_down(struct idm *m, int64_t now, const char *node)
{
	struct idm_peer *p = g_hash_table_lookup(m->peers, node);
	char *primary = NULL;

	if (!p)
		return;
	p->up = false;
	p->since = now;
	p->synced = false;
	p->syncing = false;
	/*
	 * A new replica that loses the primary during its synchronisation
	 * misses records from now on and must be synchronised again.
	 */
	if (m->view && !idm_has_replica(m->view, m->self) &&
	    g_strcmp0(idm_primary_node(m, &primary), node) == 0) {
		m->complete = false;
		m->receiving = false;
	}
	g_free(primary);
}

/*
 * Handles a message from another entry daemon's store; a malformed one is
 * ignored.
 */
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

/*
 * Doesn't count the time in which this process stood still, to be called before
 * the next tick: it showed nothing of peers that couldn't be reached just
 * before it, and what they have sent since may not have been read yet.
 */
void idm_resumed(struct idm *m, int64_t now, int64_t paused_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		idm_shift(&((struct idm_peer *)value)->since, now, paused_ms);
	g_hash_table_iter_init(&it, m->records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		idm_shift(&((struct idm_record *)value)->owner_down_since, now,
			  paused_ms);
	g_hash_table_iter_init(&it, m->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		idm_shift(&((struct idm_claim *)value)->since, now, paused_ms);
	idm_shift(&m->no_replica_since, now, paused_ms);
}

/* Moves a time, 0 if there is none, by that much, at most to now. */
static void idm_shift(int64_t *since, int64_t now, int64_t by_ms)
{
	if (*since)
		*since = MIN(*since + by_ms, now);
}

/* Runs the timeouts; to be called about every 100 ms. */
void idm_tick(struct idm *m, int64_t now)
{
	if (m->started < 0)
		m->started = now;
	idm_claim_tick(m, now);
	idm_replica_tick(m, now);
	idm_tick_view(m, now);
	idm_tick_reset(m, now);
}

/* Returns counters since the start and the size of what is held now. */
struct idm_stats idm_stats(const struct idm *m)
{
	struct idm_stats s = m->stats;

	s.records = g_hash_table_size(m->records);
	s.bytes = m->bytes;
	return s;
}

/* Whether this daemon holds a complete replica of the current view. */
bool idm_is_replica(const struct idm *m)
{
	return m->view && m->complete && idm_has_replica(m->view, m->self);
}

/* Returns the epoch of the store; 0: none is known. */
uint64_t idm_epoch(const struct idm *m)
{
	return m->view ? m->view->epoch : 0;
}

/* Returns the number of replicas in the view. */
unsigned int idm_replica_count(const struct idm *m)
{
	return m->view ? m->view->replicas->len : 0;
}

/* Returns a replica's name, NODE/BOOT, to be freed with g_free. */
char *idm_replica_name(const char *node, uint64_t boot)
{
	return g_strdup_printf("%s/%" G_GINT64_MODIFIER "x", node, boot);
}

/* Whether this daemon is the primary of the view it knows. */
bool idm_is_primary(const struct idm *m)
{
	return m->view && m->view->replicas->len &&
	       strcmp(g_ptr_array_index(m->view->replicas, 0), m->self) == 0;
}

/* Returns the primary's node, valid until *freed is freed; NULL: none. */
const char *idm_primary_node(const struct idm *m, char **freed)
{
	char *slash;

	*freed = NULL;
	if (!m->view || m->view->replicas->len == 0)
		return NULL;
	*freed = g_strdup(g_ptr_array_index(m->view->replicas, 0));
	slash = strrchr(*freed, '/');
	*slash = '\0';
	return *freed;
}

/*
 * Returns the peer that is a replica; NULL: unknown, or restarted since it
 * became one.
 */
struct idm_peer *idm_peer_of_replica(const struct idm *m, const char *replica)
{
	const char *slash = strrchr(replica, '/');
	char *node = g_strndup(replica, (gsize)(slash - replica));
	struct idm_peer *p = g_hash_table_lookup(m->peers, node);
	char *name;

	g_free(node);
	if (!p)
		return NULL;
	name = idm_replica_name(p->node, p->boot);
	if (strcmp(name, replica) != 0)
		p = NULL;
	g_free(name);
	return p;
}

/* Whether a replica can be reached and was not restarted since it joined. */
bool idm_replica_up(const struct idm *m, const char *replica)
{
	const struct idm_peer *p;

	if (strcmp(replica, m->self) == 0)
		return m->complete;
	p = idm_peer_of_replica(m, replica);
	return p && p->up;
}

/* Sends a packed message to a node and frees the message. */
void idm_send(struct idm *m, const char *node, struct pk_out *o)
{
	m->ops->send(m->arg, node, pk_out_view(o));
	pk_out_done(o);
}

static void idm_drop_all(struct idm *m, int64_t now)
{
	GPtrArray *pending = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_remove_all(m->by_seq);
	g_hash_table_remove_all(m->records);
	m->bytes = 0;
	g_hash_table_iter_init(&it, m->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(pending, value);
	for (i = 0; i < pending->len; i++) {
		struct idm_claim *claim = g_ptr_array_index(pending, i);

		if (!claim->decided)
			idm_claim_set_verdict(m, now, claim->id, IDM_REFUSED,
					      lstr_n("", 0));
	}
	g_ptr_array_free(pending, TRUE);
}

/* Whether a view contains a replica, matched by node and boot. */
bool idm_has_replica(const struct idm_view *v, const char *replica)
{
	return g_ptr_array_find_with_equal_func(v->replicas, replica,
						g_str_equal, NULL);
}

static void idm_propose(struct idm *m, int64_t now, struct idm_view *next_view)
{
	if (m->proposed == 0 || now - m->proposed >= IDM_PROPOSE_INTERVAL_MS) {
		m->proposed = now;
		m->ops->propose(m->arg, next_view);
	}
	idm_view_free(next_view);
}

/* Returns the time at which contact to a replica was lost, ms; 0: connected. */
static int64_t idm_replica_down_since(const struct idm *m, const char *replica)
{
	const struct idm_peer *p;

	if (idm_replica_up(m, replica))
		return 0;
	p = idm_peer_of_replica(m, replica);
	return p ? MAX(p->since, 1) : MAX(m->started, 1);
}

/*
 * Proposes a view without the replicas that can't be reached, if this daemon is
 * the first one left, or with a new replica that has all records. Only complete
 * replicas propose: the voters can't know what a replica holds.
 */
static void idm_tick_view(struct idm *m, int64_t now)
{
	struct idm_view *next_view;
	GHashTableIter it;
	gpointer value;
	bool change = false;
	guint i;

	if (!idm_is_replica(m))
		return;
	next_view = idm_view_new(m->view->epoch, m->view->number + 1);
	for (i = 0; i < m->view->replicas->len; i++) {
		const char *k = g_ptr_array_index(m->view->replicas, i);
		int64_t since = idm_replica_down_since(m, k);

		if (since && now - since > IDM_REPLICA_TIMEOUT_MS)
			change = true;
		else
			g_ptr_array_add(next_view->replicas, g_strdup(k));
	}
	if (!change && idm_is_primary(m)) {
		g_hash_table_iter_init(&it, m->peers);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			struct idm_peer *p = value;
			char *k = idm_replica_name(p->node, p->boot);

			if (p->up && p->synced && !change &&
			    next_view->replicas->len < IDM_REPLICAS_MAX &&
			    !idm_has_replica(next_view, k)) {
				g_ptr_array_add(next_view->replicas,
						g_strdup(k));
				change = true;
			}
			g_free(k);
		}
	}
	if (change && next_view->replicas->len &&
	    strcmp(g_ptr_array_index(next_view->replicas, 0), m->self) == 0)
		idm_propose(m, now, next_view);
	else
		idm_view_free(next_view);
}

/*
 * Proposes a new store when no replica of the old one could be reached for
 * long, since the whole zone was restarted. Its epoch differs, so keys of the
 * old store are answered as unknown and never run again.
 */
static void idm_tick_reset(struct idm *m, int64_t now)
{
	struct idm_view *next_view;
	guint i;

	if (idm_is_replica(m))
		return;
	for (i = 0; m->view && i < m->view->replicas->len; i++) {
		if (idm_replica_up(m,
				   g_ptr_array_index(m->view->replicas, i))) {
			m->no_replica_since = 0;
			return;
		}
	}
	if (m->no_replica_since == 0)
		m->no_replica_since = MAX(now, 1);
	/* Without an earlier store, none can be lost. */
	if (now - m->no_replica_since <
	    (m->view ? IDM_RESET_TIMEOUT_MS : IDM_BOOTSTRAP_DELAY_MS))
		return;
	next_view = idm_view_new(0, m->view ? m->view->number + 1 : 1);
	/*
	 * Mixed twice, so that no two (boot, number) pairs give the same sum.
	 */
	next_view->epoch =
		idm_mix64(idm_mix64(m->config.boot) + next_view->number) | 1;
	g_ptr_array_add(next_view->replicas, g_strdup(m->self));
	idm_propose(m, now, next_view);
}

/* Spreads a number over all 64 bits (the finaliser of SplitMix64). */
static uint64_t idm_mix64(uint64_t x)
{
	x += 0x9e3779b97f4a7c15u;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static void idm_on_claim(struct idm *m, int64_t now, const char *from,
			 struct pk_in *in)
{
	uint64_t claim_id = pk_get_u(in);
	struct lstr key = pk_get_str(in);
	struct lstr digest = pk_get_str(in);

	if (pk_in_ok(in) && digest.len == IDM_DIGEST)
		idm_replica_claim(m, now, from, claim_id, key, digest);
}

static void idm_on_verdict(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in)
{
	uint64_t claim_id = pk_get_u(in);
	uint64_t verdict = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);

	if (pk_in_ok(in) && verdict <= IDM_QUEUED)
		idm_claim_set_verdict(m, now, claim_id,
				      (enum idm_verdict)verdict, bytes);
}

static void idm_on_finish(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in)
{
	uint64_t claim_id = pk_get_u(in);
	struct lstr key = pk_get_str(in);
	uint64_t state = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);

	if (pk_in_ok(in) && state > IDM_CLAIMED && state <= IDM_FREE)
		idm_replica_finish(m, now, from, claim_id, key,
				   (enum idm_state)state, bytes);
}

static void idm_on_finish_ack(struct idm *m, int64_t now, const char *from,
			      struct pk_in *in)
{
	uint64_t claim_id = pk_get_u(in);

	if (pk_in_ok(in))
		idm_claim_finish_acked(m, claim_id);
}

/*
 * Handles the reply of a replica that knows a newer view. Nothing to do but
 * wait for that view: the replica has not acknowledged the record, so no claim
 * that needs it is granted.
 */
static void idm_on_put_stale(struct idm *m, int64_t now, const char *from,
			     struct pk_in *in)
{
}

static void idm_on_sync_ack(struct idm *m, int64_t now, const char *from,
			    struct pk_in *in)
{
	struct idm_peer *p = g_hash_table_lookup(m->peers, from);
	uint64_t number = pk_get_u(in);

	if (!p || !p->syncing || !m->view || number != m->view->number)
		return;
	p->syncing = false;
	p->synced = true;
}
