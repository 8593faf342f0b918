#include "idm_int.h"

/*
 * Memory that a record takes beside its answer, bytes: names, tables and
 * allocations, as idm_bench reports it by the growth of the process for each
 * record.
 */
#define IDM_RECORD_COST 400

static struct idm_record *idm_new_record(struct idm *m, struct lstr key,
					 struct lstr digest);
static void idm_claim_record(struct idm *m, int64_t now, struct idm_record *r,
			     const char *owner, uint64_t claim_id);
static void idm_set_bytes(struct idm *m, struct idm_record *r,
			  struct lstr bytes);
static void idm_replicate(struct idm *m, int64_t now, struct idm_record *r);
static void idm_pack_record(struct pk_out *o, const struct idm_record *r);
static void idm_apply_record(struct idm *m, int64_t now, struct pk_in *in);
static void idm_replicated(struct idm *m, int64_t now, struct idm_record *r);
static void idm_regrant_record(struct idm *m, int64_t now,
			       struct idm_record *r);
static void idm_send_verdict(struct idm *m, int64_t now, const char *node,
			     uint64_t claim_id, int verdict, struct lstr bytes);
static void idm_send_finish_ack(struct idm *m, const char *node,
				uint64_t claim_id);
static void idm_enqueue_waiter(struct idm *m, int64_t now, struct idm_record *r,
			       const char *node, uint64_t claim_id);
static void idm_dequeue_waiter(struct idm_record *r, const char *node,
			       uint64_t claim_id);
static void idm_answer_waiters(struct idm *m, int64_t now,
			       struct idm_record *r);
static void idm_remove_record(struct idm *m, struct idm_record *r);
static bool idm_owner_failed(struct idm *m, int64_t now, struct idm_record *r);
static GPtrArray *idm_all_records(struct idm *m);
static bool idm_is_added(const struct idm *m, const struct idm_peer *p,
			 const struct idm_view *old);

static void idm_waiter_free(gpointer p)
{
	struct idm_waiter *w = p;

	g_free(w->node);
	g_free(w);
}

/* Frees a record and its waiters. */
void idm_record_free(gpointer p)
{
	struct idm_record *r = p;

	if (r->waiters)
		g_ptr_array_free(r->waiters, TRUE);
	if (r->bytes)
		g_bytes_unref(r->bytes);
	g_free(r->owner);
	g_free(r->key);
	g_free(r);
}

/*
 * Handles a claim that a node sent to this daemon as the primary. If this
 * daemon is not the primary, it does not reply: the node learns of the right
 * one, or refuses the claim itself after its timeout.
 */
void idm_replica_claim(struct idm *m, int64_t now, const char *from,
		       uint64_t claim_id, struct lstr key, struct lstr digest)
{
	char *name = lstr_dup(key);
	struct idm_record *r = g_hash_table_lookup(m->records, name);
	gsize len = 0;
	const void *p;

	g_free(name);
	if (!idm_is_primary(m) || !m->complete)
		return;
	if (!r) {
		/*
		 * No key is evicted to free memory: its request could run
		 * twice.
		 */
		if (m->bytes + IDM_RECORD_COST > m->config.max_bytes) {
			idm_send_verdict(m, now, from, claim_id, IDM_REFUSED,
					 lstr_n("", 0));
			return;
		}
		r = idm_new_record(m, key, digest);
		idm_claim_record(m, now, r, from, claim_id);
		return;
	}
	if (memcmp(r->digest, digest.p, IDM_DIGEST) != 0) {
		idm_send_verdict(m, now, from, claim_id, IDM_MISMATCH,
				 lstr_n("", 0));
		return;
	}
	switch (r->state) {
	case IDM_CLAIMED:
		if (strcmp(r->owner, from) != 0 || r->claim_id != claim_id)
			idm_enqueue_waiter(m, now, r, from, claim_id);
		else if (r->unacked == 0)
			idm_send_verdict(m, now, from, claim_id, IDM_GRANTED,
					 lstr_n("", 0));
		break;
	case IDM_DONE:
	case IDM_UNKNOWN:
		/*
		 * Answered only once all replicas hold the record; see
		 * idm_replicated.
		 */
		if (r->unacked) {
			idm_enqueue_waiter(m, now, r, from, claim_id);
			break;
		}
		p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";
		idm_send_verdict(m, now, from, claim_id,
				 r->state == IDM_DONE ? IDM_REPLAY
						      : IDM_INDETERMINATE,
				 lstr_n(p, len));
		break;
	case IDM_FREE:
		idm_enqueue_waiter(m, now, r, from, claim_id);
		break;
	}
}

/*
 * Handles the outcome that the owner of a claim reports; from another node, it
 * only withdraws that node's queued claim. The owner gets an acknowledgement
 * once all replicas hold the outcome; until then it sends the outcome again to
 * each new primary.
 */
void idm_replica_finish(struct idm *m, int64_t now, const char *from,
			uint64_t claim_id, struct lstr key,
			enum idm_state state, struct lstr bytes)
{
	static const uint8_t no_digest[IDM_DIGEST];
	char *name = lstr_dup(key);
	struct idm_record *r = g_hash_table_lookup(m->records, name);

	g_free(name);
	if (!idm_is_primary(m) || !m->complete)
		return;
	if (r && (strcmp(r->owner, from) != 0 || r->claim_id != claim_id)) {
		idm_dequeue_waiter(r, from, claim_id);
		idm_send_finish_ack(m, from, claim_id);
		return;
	}
	if (r && r->state != IDM_CLAIMED && r->state != IDM_UNKNOWN) {
		r->ack_finish = true;
		if (r->unacked == 0)
			idm_send_finish_ack(m, from, claim_id);
		return;
	}
	if (!r) {
		/*
		 * Unknown to the primary, but another replica may hold a claim
		 * that the primary missed and that was never granted; the
		 * outcome must reach that replica too.
		 */
		r = idm_new_record(m, key, lstr_n(no_digest, IDM_DIGEST));
		r->owner = g_strdup(from);
		r->claim_id = claim_id;
	}
	r->state = state;
	r->ack_finish = true;
	if (state == IDM_DONE)
		idm_set_bytes(m, r, bytes);
	idm_replicate(m, now, r);
}

/* Applies the current state of a record sent by the primary. */
void idm_replica_recv_put(struct idm *m, int64_t now, const char *from,
			  struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	uint64_t seq = pk_get_u(in);
	struct pk_in rec = pk_get_arr(in);
	bool stale;
	struct pk_out o;

	if (!pk_in_ok(in))
		return;
	/*
	 * A primary that was partitioned does not know that it has been
	 * replaced. Without this acknowledgement it grants nothing.
	 */
	stale = m->view && number < m->view->number;
	if (!stale) {
		if (!m->complete && !m->receiving)
			return;
		idm_apply_record(m, now, &rec);
	}
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, stale ? IDM_MSG_PUT_STALE : IDM_MSG_PUT_ACK);
	pk_u(&o, number);
	pk_u(&o, seq);
	idm_send(m, from, &o);
}

/* Handles a replica's acknowledgement of the record sent with seq. */
void idm_replica_recv_put_ack(struct idm *m, int64_t now, const char *from,
			      struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	uint64_t seq = pk_get_u(in);
	struct idm_record *r;
	guint i;

	if (!pk_in_ok(in) || !idm_is_primary(m) || number != m->view->number)
		return;
	r = g_hash_table_lookup(m->by_seq, &seq);
	if (!r)
		return;
	for (i = 1; i < m->view->replicas->len; i++) {
		const struct idm_peer *p = idm_peer_of_replica(
			m, g_ptr_array_index(m->view->replicas, i));

		if (p && strcmp(p->node, from) == 0)
			r->unacked &= ~(1u << i);
	}
	if (r->unacked)
		return;
	g_hash_table_remove(m->by_seq, &r->seq);
	idm_replicated(m, now, r);
}

/* Receives records from the primary, for a replica that is to hold all. */
void idm_replica_recv_sync(struct idm *m, int64_t now, const char *from,
			   struct pk_in *in)
{
	uint64_t number = pk_get_u(in);
	bool first = pk_get_bool(in);
	bool last = pk_get_bool(in);
	struct pk_in list = pk_get_arr(in);
	struct pk_out o;

	if (!pk_in_ok(in) || !m->view || number < m->view->number)
		return;
	/*
	 * A complete replica keeps its records and only adds to them, since the
	 * sender may fail before the last message.
	 */
	if (first && !m->complete) {
		g_hash_table_remove_all(m->by_seq);
		g_hash_table_remove_all(m->records);
		m->bytes = 0;
		m->receiving = true;
	}
	if (!m->complete && !m->receiving)
		return;
	while (pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in rec = pk_get_arr(&list);

		idm_apply_record(m, now, &rec);
	}
	if (!last)
		return;
	m->receiving = false;
	m->complete = true;
	m->received_view = number;
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, IDM_MSG_SYNC_ACK);
	pk_u(&o, number);
	idm_send(m, from, &o);
}

/*
 * Handles a change of view. The primary sends again what some replica of the
 * new view may lack: records in flight and, if it was not the primary before,
 * records that its predecessor may have had in flight.
 */
void idm_replica_view_changed(struct idm *m, int64_t now,
			      const struct idm_view *old)
{
	GPtrArray *all;
	GHashTableIter it;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_peer *p = value;
		bool incomplete = !p->synced && idm_is_added(m, p, old);

		p->syncing = false;
		p->synced = false;
		/*
		 * The new replica was disconnected and came back between its
		 * synchronisation and this view. Until it is synchronised it
		 * acknowledges nothing, and no claim would ever be granted.
		 */
		if (incomplete && idm_is_primary(m) && m->complete && p->up)
			idm_replica_start_sync(m, p);
	}
	if (!idm_is_primary(m) || !m->complete)
		return;
	all = idm_all_records(m);
	for (i = 0; i < all->len; i++) {
		struct idm_record *r = g_ptr_array_index(all, i);

		if (r->unacked || r->state == IDM_CLAIMED ||
		    now - r->changed < IDM_IN_FLIGHT_MS)
			idm_replicate(m, now, r);
	}
	g_ptr_array_free(all, TRUE);
}

/* Whether a peer is a replica now and was none in the old view. */
static bool idm_is_added(const struct idm *m, const struct idm_peer *p,
			 const struct idm_view *old)
{
	char *k = idm_replica_name(p->node, p->boot);
	bool added = idm_has_replica(m->view, k) &&
		     !(old && idm_has_replica(old, k));

	g_free(k);
	return added;
}

/* Sends all records to a node that is to hold them or may lack some. */
void idm_replica_start_sync(struct idm *m, struct idm_peer *p)
{
	GPtrArray *all = idm_all_records(m);
	bool first = true;
	guint i = 0;

	p->syncing = true;
	p->synced = false;
	do {
		size_t bytes = 0;
		guint n = i;
		struct pk_out o;

		while (n < all->len && bytes < IDM_SYNC_BATCH_BYTES) {
			const struct idm_record *r = g_ptr_array_index(all, n);

			bytes += IDM_RECORD_COST;
			bytes += r->bytes ? g_bytes_get_size(r->bytes) : 0;
			n++;
		}
		pk_out_init(&o);
		pk_arr(&o, 5);
		pk_u(&o, IDM_MSG_SYNC);
		pk_u(&o, m->view->number);
		pk_bool(&o, first);
		pk_bool(&o, n == all->len);
		pk_arr(&o, n - i);
		for (; i < n; i++)
			idm_pack_record(&o, g_ptr_array_index(all, i));
		idm_send(m, p->node, &o);
		first = false;
	} while (i < all->len);
	g_ptr_array_free(all, TRUE);
}

/*
 * Removes expired records, marks claims of failed owners as unknown, and
 * synchronises a node as another replica if the view has too few.
 */
void idm_replica_tick(struct idm *m, int64_t now)
{
	GPtrArray *all;
	GHashTableIter it;
	gpointer value;
	guint i;

	all = idm_all_records(m);
	for (i = 0; i < all->len; i++) {
		struct idm_record *r = g_ptr_array_index(all, i);

		if (r->state != IDM_CLAIMED &&
		    now - r->changed > m->config.retention_ms) {
			idm_remove_record(m, r);
		} else if (idm_is_primary(m) && r->state == IDM_CLAIMED &&
			   idm_owner_failed(m, now, r)) {
			r->state = IDM_UNKNOWN;
			idm_replicate(m, now, r);
		}
	}
	g_ptr_array_free(all, TRUE);
	if (!idm_is_primary(m) || !m->complete ||
	    m->view->replicas->len >= IDM_REPLICAS_MAX)
		return;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct idm_peer *p = value;

		if (p->up && !p->syncing && !p->synced)
			idm_replica_start_sync(m, p);
	}
}

static GPtrArray *idm_all_records(struct idm *m)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, m->records);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	return all;
}

static struct idm_record *idm_new_record(struct idm *m, struct lstr key,
					 struct lstr digest)
{
	struct idm_record *r = g_new0(struct idm_record, 1);

	r->key = lstr_dup(key);
	memcpy(r->digest, digest.p, IDM_DIGEST);
	g_hash_table_insert(m->records, r->key, r);
	m->bytes += IDM_RECORD_COST;
	return r;
}

static uint64_t idm_node_boot(const struct idm *m, const char *node)
{
	const struct idm_peer *p = g_hash_table_lookup(m->peers, node);

	if (strcmp(node, m->config.node) == 0)
		return m->config.boot;
	return p ? p->boot : 0;
}

static void idm_claim_record(struct idm *m, int64_t now, struct idm_record *r,
			     const char *owner, uint64_t claim_id)
{
	char *name = g_strdup(owner);

	g_free(r->owner);
	r->owner = name;
	r->boot = idm_node_boot(m, name);
	r->claim_id = claim_id;
	r->state = IDM_CLAIMED;
	r->ack_finish = false;
	r->owner_down_since = 0;
	idm_replicate(m, now, r);
}

static void idm_set_bytes(struct idm *m, struct idm_record *r,
			  struct lstr bytes)
{
	if (r->bytes) {
		m->bytes -= g_bytes_get_size(r->bytes);
		g_bytes_unref(r->bytes);
	}
	r->bytes = g_bytes_new(bytes.p, bytes.len);
	m->bytes += bytes.len;
}

/*
 * Sends a record to every other replica of the view. The effects of the change
 * (a grant, answers to queued claims) take place only when all replicas hold
 * it, so that any surviving replica knows it.
 */
static void idm_replicate(struct idm *m, int64_t now, struct idm_record *r)
{
	GHashTableIter it;
	gpointer value;
	struct pk_out o;
	guint i;

	g_hash_table_remove(m->by_seq, &r->seq);
	r->changed = now;
	r->seq = ++m->next_seq;
	r->unacked = 0;
	for (i = 1; i < m->view->replicas->len; i++)
		r->unacked |= 1u << i;
	if (r->unacked)
		g_hash_table_insert(m->by_seq, &r->seq, r);
	/*
	 * Nodes being synchronised get it too; their acknowledgements do not
	 * count yet.
	 */
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct idm_peer *p = value;
		char *k = idm_replica_name(p->node, p->boot);
		bool replica = idm_has_replica(m->view, k);

		g_free(k);
		if (!p->up || !(replica || p->syncing || p->synced))
			continue;
		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, IDM_MSG_PUT);
		pk_u(&o, m->view->number);
		pk_u(&o, r->seq);
		idm_pack_record(&o, r);
		idm_send(m, p->node, &o);
	}
	if (r->unacked == 0)
		idm_replicated(m, now, r);
}

static void idm_pack_record(struct pk_out *o, const struct idm_record *r)
{
	gsize len = 0;
	const void *p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";

	pk_arr(o, 7);
	pk_cstr(o, r->key);
	pk_str(o, lstr_n(r->digest, IDM_DIGEST));
	pk_u(o, r->state);
	pk_cstr(o, r->owner);
	pk_u(o, r->boot);
	pk_u(o, r->claim_id);
	pk_str(o, lstr_n(p, len));
}

static void idm_apply_record(struct idm *m, int64_t now, struct pk_in *in)
{
	struct lstr key = pk_get_str(in);
	struct lstr digest = pk_get_str(in);
	uint64_t state = pk_get_u(in);
	struct lstr owner = pk_get_str(in);
	uint64_t boot = pk_get_u(in);
	uint64_t claim_id = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);
	struct idm_record *r;
	char *name;

	if (!pk_in_ok(in) || digest.len != IDM_DIGEST || state > IDM_FREE)
		return;
	name = lstr_dup(key);
	r = g_hash_table_lookup(m->records, name);
	g_free(name);
	if (state == IDM_FREE) {
		if (r)
			idm_remove_record(m, r);
		return;
	}
	if (!r)
		r = idm_new_record(m, key, digest);
	memcpy(r->digest, digest.p, IDM_DIGEST);
	r->state = (enum idm_state)state;
	g_free(r->owner);
	r->owner = lstr_dup(owner);
	r->boot = boot;
	r->claim_id = claim_id;
	r->changed = now;
	idm_set_bytes(m, r, bytes);
}

/*
 * Carries out the effects of a record that all replicas of the view now hold.
 */
static void idm_replicated(struct idm *m, int64_t now, struct idm_record *r)
{
	if (r->state != IDM_CLAIMED && r->ack_finish)
		idm_send_finish_ack(m, r->owner, r->claim_id);
	switch (r->state) {
	case IDM_CLAIMED:
		idm_send_verdict(m, now, r->owner, r->claim_id, IDM_GRANTED,
				 lstr_n("", 0));
		break;
	case IDM_DONE:
	case IDM_UNKNOWN:
		idm_answer_waiters(m, now, r);
		break;
	case IDM_FREE:
		idm_regrant_record(m, now, r);
		break;
	}
}

/*
 * Grants a request that was not run to the next queued claim, or removes its
 * record if there is none.
 */
static void idm_regrant_record(struct idm *m, int64_t now, struct idm_record *r)
{
	struct idm_waiter *w;

	if (!r->waiters || r->waiters->len == 0) {
		idm_remove_record(m, r);
		return;
	}
	w = g_ptr_array_steal_index(r->waiters, 0);
	idm_claim_record(m, now, r, w->node, w->claim_id);
	idm_waiter_free(w);
}

static void idm_answer_waiters(struct idm *m, int64_t now, struct idm_record *r)
{
	GPtrArray *waiters = r->waiters;
	gsize len = 0;
	const void *p = r->bytes ? g_bytes_get_data(r->bytes, &len) : "";
	GBytes *held = r->bytes ? g_bytes_ref(r->bytes) : NULL;
	int verdict = r->state == IDM_DONE ? IDM_REPLAY : IDM_INDETERMINATE;
	guint i;

	r->waiters = NULL;
	for (i = 0; waiters && i < waiters->len; i++) {
		const struct idm_waiter *w = g_ptr_array_index(waiters, i);

		idm_send_verdict(m, now, w->node, w->claim_id, verdict,
				 lstr_n(p, len));
	}
	if (waiters)
		g_ptr_array_free(waiters, TRUE);
	if (held)
		g_bytes_unref(held);
}

static void idm_send_verdict(struct idm *m, int64_t now, const char *node,
			     uint64_t claim_id, int verdict, struct lstr bytes)
{
	struct pk_out o;

	if (strcmp(node, m->config.node) == 0) {
		idm_claim_set_verdict(m, now, claim_id,
				      (enum idm_verdict)verdict, bytes);
		return;
	}
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, IDM_MSG_VERDICT);
	pk_u(&o, claim_id);
	pk_u(&o, (uint64_t)verdict);
	pk_str(&o, bytes);
	idm_send(m, node, &o);
}

static void idm_send_finish_ack(struct idm *m, const char *node,
				uint64_t claim_id)
{
	struct pk_out o;

	if (strcmp(node, m->config.node) == 0) {
		idm_claim_finish_acked(m, claim_id);
		return;
	}
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, IDM_MSG_FINISH_ACK);
	pk_u(&o, claim_id);
	idm_send(m, node, &o);
}

static void idm_enqueue_waiter(struct idm *m, int64_t now, struct idm_record *r,
			       const char *node, uint64_t claim_id)
{
	struct idm_waiter *w;

	idm_dequeue_waiter(r, node, claim_id);
	if (!r->waiters)
		r->waiters = g_ptr_array_new_with_free_func(idm_waiter_free);
	w = g_new(struct idm_waiter, 1);
	*w = (struct idm_waiter){.node = g_strdup(node), .claim_id = claim_id};
	g_ptr_array_add(r->waiters, w);
	idm_send_verdict(m, now, node, claim_id, IDM_QUEUED, lstr_n("", 0));
}

static void idm_dequeue_waiter(struct idm_record *r, const char *node,
			       uint64_t claim_id)
{
	guint i;

	for (i = 0; r->waiters && i < r->waiters->len; i++) {
		const struct idm_waiter *w = g_ptr_array_index(r->waiters, i);

		if (w->claim_id == claim_id && strcmp(w->node, node) == 0) {
			g_ptr_array_remove_index(r->waiters, i);
			return;
		}
	}
}

static void idm_remove_record(struct idm *m, struct idm_record *r)
{
	m->bytes -= IDM_RECORD_COST;
	m->bytes -= r->bytes ? g_bytes_get_size(r->bytes) : 0;
	g_hash_table_remove(m->by_seq, &r->seq);
	g_hash_table_remove(m->records, r->key);
}

/*
 * Whether the owner of a claim can no longer report an outcome: it was
 * restarted, or was disconnected for too long. Its request may have run.
 */
static bool idm_owner_failed(struct idm *m, int64_t now, struct idm_record *r)
{
	const struct idm_peer *p;

	if (strcmp(r->owner, m->config.node) == 0)
		return r->boot != m->config.boot;
	p = g_hash_table_lookup(m->peers, r->owner);
	if (p && p->up)
		return p->boot != r->boot;
	if (r->owner_down_since == 0)
		r->owner_down_since = now;
	return now - r->owner_down_since > IDM_OWNER_TIMEOUT_MS;
}
