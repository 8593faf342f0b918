#include "rep_int.h"

/*
 * Connections and hello messages between replicas, and automatic membership
 * changes.
 */

static bool rep_may_remove(const struct cns_members *s,
			   const struct cns_member *m, const struct rep_peer *p,
			   int64_t now);
static bool rep_reached(const struct rep *r, const struct cns_member *m,
			int64_t now);
static bool rep_promote(struct rep *r, const struct cns_member *m, int64_t now);
static bool rep_remove_member(struct rep *r, uint64_t id, const char *why);
static void rep_on_hello(struct rep *r, struct pk_in *in);

/*
 * Adds new members and removes dead ones. If a node lost its folder, its old
 * member is removed as soon as the new one, with the same address, is a voter;
 * any other unreachable member is removed only after a new member has taken its
 * place. A leader that lost its own folder is not one of its own peers, and its
 * old member is removed as well. If the membership is full, the old member of a
 * lost folder is removed before the new one is added: the two would otherwise
 * wait for each other.
 */
void rep_update_members(struct rep *r, int64_t now)
{
	struct cns_members s = *cns_members(r->cns);
	GHashTableIter it;
	struct rep_peer *p;
	int voters = 0;
	int i;

	for (i = 0; i < s.n; i++)
		voters += s.m[i].voter;
	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p)) {
		struct cns_member m = {.id = p->id};

		if (!p->id || now - p->heard_ms > REP_SILENCE_MS ||
		    cns_find_member(&s, p->id))
			continue;
		g_strlcpy(m.addr, p->addr, sizeof(m.addr));
		g_strlcpy(m.name, p->addr, sizeof(m.name));
		/*
		 * A new member that cannot be added yet must not keep dead
		 * members from being removed.
		 */
		if (cns_add_learner(r->cns, &m) != CNS_OK)
			continue;
		msg(MSG_CTL_MEMBER, "does=learner addr=%s", m.addr);
		return;
	}
	for (i = 0; i < s.n; i++)
		if (!s.m[i].voter && rep_promote(r, &s.m[i], now))
			return;
	for (i = 0; i < s.n; i++) {
		if (s.m[i].id == r->id)
			continue;
		/*
		 * This replica is the new member itself; no peer reports it, as
		 * no peer is this replica.
		 */
		if (strcmp(s.m[i].addr, r->config.addr) == 0 &&
		    rep_remove_member(r, s.m[i].id,
				      "the folder of this replica was lost"))
			return;
		p = g_hash_table_lookup(r->peers, s.m[i].addr);
		if (!p)
			continue;
		if (p->id && p->id != s.m[i].id && cns_find_member(&s, p->id) &&
		    cns_find_member(&s, p->id)->voter &&
		    rep_remove_member(r, s.m[i].id, "its folder was lost"))
			return;
		if (rep_may_remove(&s, &s.m[i], p, now) &&
		    (!s.m[i].voter || voters > r->config.voters_min) &&
		    rep_remove_member(r, s.m[i].id, "replaced"))
			return;
	}
}

/*
 * Promotes a learner to a voter, or logs at intervals why it cannot be promoted
 * yet.
 */
static bool rep_promote(struct rep *r, const struct cns_member *m, int64_t now)
{
	enum cns_refusal refusal = cns_promote(r->cns, m->id);

	if (refusal == CNS_OK) {
		msg(MSG_CTL_MEMBER, "does=voter addr=%s", m->addr);
		return true;
	}
	if (now - r->learner_log_ms < REP_LEARNER_LOG_MS)
		return false;
	r->learner_log_ms = now;
	msg(MSG_REP_LEARNER,
	    "addr=%s why=\"%s\" match=%" PRIu64 " commit=%" PRIu64
	    " last=%" PRIu64,
	    m->addr, cns_refusal_name(refusal), cns_match(r->cns, m->id),
	    cns_commit(r->cns), cns_last(r->cns));
	return false;
}

/* Whether a member may be removed before another one has replaced it. */
static bool rep_may_remove(const struct cns_members *s,
			   const struct cns_member *m, const struct rep_peer *p,
			   int64_t now)
{
	bool full = s->n == CNS_MEMBERS_MAX;

	return now - p->heard_ms > REP_DEAD_MS ||
	       (full && p->id && p->id != m->id);
}

/* Whether a member was heard recently and still has the same folder. */
static bool rep_reached(const struct rep *r, const struct cns_member *m,
			int64_t now)
{
	const struct rep_peer *p = g_hash_table_lookup(r->peers, m->addr);

	return m->id == r->id ||
	       (p && p->id == m->id && now - p->heard_ms <= REP_SILENCE_MS);
}

/*
 * Adds to out the addresses of the other voters that are reachable and keep up
 * with what is sent to them, in a fixed order. The addresses are copies to be
 * freed.
 */
void rep_reachable_voters(const struct rep *r, GPtrArray *out)
{
	const struct cns_members *s = cns_members(r->cns);
	int64_t now = tmr_now(r->config.tmr);
	int i;

	for (i = 0; i < s->n; i++) {
		const struct cns_member *m = &s->m[i];
		const struct rep_peer *p =
			g_hash_table_lookup(r->peers, m->addr);

		if (m->voter && m->id != r->id && rep_reached(r, m, now) &&
		    wire_is_up(p->conn) &&
		    wire_backlog(p->conn) < REP_BACKLOG_MAX)
			g_ptr_array_add(out, g_strdup(m->addr));
	}
}

/*
 * Sends a message of the owner to another replica; returns false if it is not
 * connected.
 */
bool rep_send_to(struct rep *r, const char *addr, struct lstr payload)
{
	const struct rep_peer *p = g_hash_table_lookup(r->peers, addr);

	return p && wire_is_up(p->conn) && wire_send(p->conn, payload);
}

/* Returns the state of the quorum as this replica sees it. */
struct rep_quorum rep_quorum(const struct rep *r)
{
	const struct cns_members *s = cns_members(r->cns);
	int64_t now = tmr_now(r->config.tmr);
	struct rep_quorum q = {0};
	int i;

	for (i = 0; i < s->n; i++) {
		if (!s->m[i].voter)
			continue;
		q.voters++;
		q.reached += rep_reached(r, &s->m[i], now);
	}
	q.needed = q.voters / 2 + 1;
	if (!r->announced_leader)
		q.leaderless_ms = MAX(1, now - r->leaderless_ms);
	return q;
}

/*
 * Logs at intervals that no leader is known and what the quorum lacks: a fleet
 * that stopped because folders were lost would otherwise log nothing.
 */
void rep_log_leaderless(struct rep *r, int64_t now)
{
	struct rep_quorum q;

	if (r->announced_leader ||
	    now - MAX(r->leaderless_ms, r->leaderless_log_ms) <
		    REP_LEADERLESS_LOG_MS)
		return;
	r->leaderless_log_ms = now;
	q = rep_quorum(r);
	msg(MSG_REP_LEADERLESS,
	    "role=%s term=%" G_GUINT64_FORMAT " for_ms=%" G_GINT64_FORMAT
	    " voters=%d reached=%d needed=%d",
	    cns_role_name(cns_role(r->cns)), cns_term(r->cns), q.leaderless_ms,
	    q.voters, q.reached, q.needed);
}

/* Removes a member; returns false if the change cannot start now. */
static bool rep_remove_member(struct rep *r, uint64_t id, const char *why)
{
	if (cns_remove(r->cns, id) != CNS_OK)
		return false;
	msg(MSG_CTL_MEMBER,
	    "does=removed folder=%016" G_GINT64_MODIFIER "x why=\"%s\"", id,
	    why);
	return true;
}

/* Sends a hello with the id, name and address of this replica. */
void rep_send_hello(struct rep *r, struct wire_conn *conn)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_REPLICA);
	pk_u(&o, r->id);
	pk_cstr(&o, r->config.node);
	pk_cstr(&o, r->config.addr);
	wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
}

/* Handles another replica's hello. */
static void rep_on_hello(struct rep *r, struct pk_in *in)
{
	uint64_t id = pk_get_u(in);
	struct lstr node = pk_get_str(in);
	struct lstr addr = pk_get_str(in);
	struct rep_peer *p;
	char *key;

	if (!pk_in_ok(in) || !node.len)
		return;
	key = lstr_dup(addr);
	p = rep_peer_at(r, key);
	g_free(key);
	if (!p)
		return;
	p->id = id;
	p->heard_ms = tmr_now(r->config.tmr);
	/* Messages to this replica use only the connection opened from here. */
	wire_hurry(p->conn);
}

/* Sends the addresses of the leader and of the replicas on a connection. */
void rep_send_leader(struct rep *r, struct wire_conn *conn)
{
	const struct cns_members *s = cns_members(r->cns);
	const struct cns_member *m = cns_find_member(s, r->announced_leader);
	struct pk_out o;
	int i;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_LEADER);
	pk_u(&o, cns_term(r->cns));
	pk_cstr(&o, m ? m->addr : "");
	pk_arr(&o, (size_t)s->n);
	for (i = 0; i < s->n; i++)
		pk_cstr(&o, s->m[i].addr);
	wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
}

/* An accepted connection is up. */
void rep_in_up(void *arg, struct wire_conn *conn)
{
	struct rep *r = arg;

	g_ptr_array_add(r->conns, conn);
	rep_send_leader(r, conn);
}

/* Handles a message on an accepted connection. */
void rep_in_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct rep *r = arg;
	struct pk_in in;
	struct cns_msg *m;
	uint64_t kind;

	if (!pk_in_init(&in, payload))
		return;
	kind = pk_get_u(&in);
	switch (kind) {
	case PROTO_CNS:
		m = rep_is_storing(r) ? cns_msg_unpack(payload) : NULL;
		if (!m)
			break;
		cns_set_arrival_ms(r->cns, tmr_now(r->config.tmr));
		cns_step(r->cns, m);
		cns_msg_free(m);
		rep_schedule_pump(r);
		break;
	case PROTO_REPLICA:
		rep_on_hello(r, &in);
		break;
	default:
		r->ops->message(r->arg, conn, kind, &in);
		break;
	}
	pk_in_done(&in);
}

/* An accepted connection was closed. */
void rep_in_down(void *arg, struct wire_conn *conn, const GError *why)
{
	struct rep *r = arg;

	g_ptr_array_remove_fast(r->conns, conn);
	r->ops->closed(r->arg, conn);
}

/*
 * Whether a connection comes from the address of a replica, and so has
 * priority. Entry daemons that use up all other connections must not separate
 * the replicas, which form the quorum.
 */
bool rep_in_has_priority(void *arg, const char *ip)
{
	const struct rep *r = arg;
	GHashTableIter it;
	const char *addr;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, (gpointer *)&addr, NULL))
		if (wire_addr_is_of(addr, ip))
			return true;
	return false;
}

/* A connection to a peer is up: sends the hello. */
void rep_out_up(void *arg, struct wire_conn *conn)
{
	struct rep_peer *p = arg;

	rep_send_hello(p->r, conn);
}

/* Handles a message on a connection opened to a peer. */
void rep_out_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct rep_peer *p = arg;
	struct pk_in in;
	struct pk_in addrs;
	uint64_t kind;

	if (!pk_in_init(&in, payload))
		return;
	kind = pk_get_u(&in);
	if (kind != PROTO_LEADER) {
		p->r->ops->message(p->r->arg, conn, kind, &in);
	} else {
		pk_get_u(&in);
		pk_get_str(&in);
		addrs = pk_get_arr(&in);
		while (pk_in_left(&addrs)) {
			char *addr = lstr_dup(pk_get_str(&addrs));

			if (pk_in_ok(&addrs))
				rep_peer_at(p->r, addr);
			g_free(addr);
		}
	}
	pk_in_done(&in);
}

/* A connection to a peer was closed. */
void rep_out_down(void *arg, struct wire_conn *conn, const GError *why)
{
	/* The wire module reconnects; cns retransmits lost messages. */
}
