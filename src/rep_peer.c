#include "rep_int.h"

/* Connections and hello messages between replicas. */

static bool rep_reached(const struct rep *r, const struct cns_member *m,
			int64_t now);
static void rep_on_hello(struct rep *r, struct pk_in *in);
static void rep_on_leader_told(struct rep *r, struct pk_in *in);

/* Whether a member was heard recently and still has the same folder. */
static bool rep_reached(const struct rep *r, const struct cns_member *m,
			int64_t now)
{
	const struct rep_peer *p = g_hash_table_lookup(r->peers, m->addr);

	return m->id == r->id ||
	       (p && p->id == m->id && now - p->heard_ms <= REP_SILENCE_MS);
}

/*
 * Adds to out the addresses of the other members, voters or learners, that are
 * reachable and keep up with what is sent to them, in a fixed order. The
 * addresses are copies to be freed.
 */
void rep_reachable_members(const struct rep *r, GPtrArray *out)
{
	const struct cns_members *s = cns_members(r->cns);
	int64_t now = tmr_now(r->config.tmr);
	int i;

	for (i = 0; i < s->n; i++) {
		const struct cns_member *m = &s->m[i];
		const struct rep_peer *p =
			g_hash_table_lookup(r->peers, m->addr);

		if (m->id != r->id && rep_reached(r, m, now) &&
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
		if (!s->m[i].voter) {
			q.learners++;
			continue;
		}
		q.votes |= s->m[i].id == r->id;
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
	if (rep_told_leader(r)) {
		msg(MSG_REP_OUTSIDE,
		    "role=%s term=%" G_GUINT64_FORMAT " leader=%s",
		    cns_role_name(cns_role(r->cns)), r->told_term,
		    r->told_leader);
		return;
	}
	q = rep_quorum(r);
	msg(MSG_REP_LEADERLESS,
	    "role=%s term=%" G_GUINT64_FORMAT " for_ms=%" G_GINT64_FORMAT
	    " voters=%d reached=%d needed=%d",
	    cns_role_name(cns_role(r->cns)), cns_term(r->cns), q.leaderless_ms,
	    q.voters, q.reached, q.needed);
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
	int64_t now = tmr_now(r->config.tmr);
	char *key;

	if (!pk_in_ok(in) || !node.len)
		return;
	key = lstr_dup(addr);
	p = rep_peer_at(r, key);
	g_free(key);
	if (!p)
		return;
	if (p->id != id || now - p->heard_ms > REP_SILENCE_MS)
		p->since_ms = now;
	p->id = id;
	p->heard_ms = now;
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

/* Reads which replica leads, as a peer knows it. */
static void rep_on_leader_told(struct rep *r, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	struct lstr addr = pk_get_str(in);

	if (!pk_in_ok(in) || !addr.len || term < r->told_term)
		return;
	g_free(r->told_leader);
	r->told_leader = lstr_dup(addr);
	r->told_term = term;
}

/*
 * Returns the address of the leader that peers told of, or NULL. It is told
 * again only when it changes, so that it holds as long as the leader is
 * connected; no term older than this replica's own counts.
 */
const char *rep_told_leader(const struct rep *r)
{
	const struct rep_peer *p =
		r->told_leader ? g_hash_table_lookup(r->peers, r->told_leader)
			       : NULL;

	return p && wire_is_up(p->conn) && r->told_term >= cns_term(r->cns)
		       ? p->addr
		       : NULL;
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
		rep_on_leader_told(p->r, &in);
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
