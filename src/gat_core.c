#include "gat_int.h"

static void gat_replica_up(void *arg, struct wire_conn *conn);
static void gat_replica_recv(void *arg, struct wire_conn *conn,
			     struct lstr payload);
static void gat_replica_down(void *arg, struct wire_conn *conn,
			     const GError *why);
static void gat_on_leader(struct gat_replica *replica, struct pk_in *in);
static void gat_choose_leader(struct gat *g);

const struct wire_ops gat_wire_ops = {
	.up = gat_replica_up,
	.recv = gat_replica_recv,
	.down = gat_replica_down,
};

/* Adds a replica to those that may lead, and connects to it. */
void gat_replica_add(struct gat *g, const char *addr)
{
	struct gat_replica *replica;

	if (g_hash_table_contains(g->replicas, addr))
		return;
	replica = g_new0(struct gat_replica, 1);
	replica->g = g;
	replica->addr = g_strdup(addr);
	g_hash_table_insert(g->replicas, replica->addr, replica);
	replica->conn = wire_dial(g->wire, addr, &gat_wire_ops, replica);
}

/* Frees a replica's record. */
void gat_replica_free(gpointer p)
{
	struct gat_replica *replica = p;

	g_free(replica->addr);
	g_free(replica);
}

/* Handles a new connection to a replica: nothing to send. */
static void gat_replica_up(void *arg, struct wire_conn *conn)
{
	/* the replica sends the first message */
}

/* Handles a replica's message: an answer, or which replica leads. */
static void gat_replica_recv(void *arg, struct wire_conn *conn,
			     struct lstr payload)
{
	struct gat_replica *replica = arg;
	struct pk_in in;

	if (!pk_in_init(&in, payload))
		return;
	switch (pk_get_u(&in)) {
	case PROTO_LEADER:
		gat_on_leader(replica, &in);
		break;
	case PROTO_ANSWER:
		gat_call_answer(replica->g, &in);
		break;
	default:
		break;
	}
	pk_in_done(&in);
}

/* Handles a lost connection: calls sent to that replica wait for another. */
static void gat_replica_down(void *arg, struct wire_conn *conn,
			     const GError *why)
{
	struct gat_replica *replica = arg;
	struct gat *g = replica->g;
	GHashTableIter it;
	struct gat_call *c;

	replica->term = 0;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->replica != replica)
			continue;
		c->replica = NULL;
		c->routed_ms = tmr_now(g->tmr);
	}
	gat_choose_leader(g);
}

/*
 * Handles a replica's message on which replica leads. A replica's claim counts
 * for itself only.
 */
static void gat_on_leader(struct gat_replica *replica, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	struct lstr leader = pk_get_str(in);
	struct pk_in addrs = pk_get_arr(in);

	if (!pk_in_ok(in))
		return;
	replica->term = lstr_eq(leader, lstr_from(replica->addr)) ? term : 0;
	while (pk_in_left(&addrs)) {
		char *addr = lstr_dup(pk_get_str(&addrs));

		if (pk_in_ok(&addrs) && *addr)
			gat_replica_add(replica->g, addr);
		g_free(addr);
	}
	gat_choose_leader(replica->g);
}

/*
 * Chooses as leader the connected replica that claims to lead in the highest
 * term, and sends it the calls that wait.
 */
static void gat_choose_leader(struct gat *g)
{
	struct gat_replica *leader = NULL;
	struct gat_replica *replica;
	struct gat_call *c;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->replicas);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&replica))
		if (replica->term && wire_is_up(replica->conn) &&
		    (!leader || replica->term > leader->term))
			leader = replica;
	if (leader != g->leader)
		msg(MSG_GAT_LEADER, "addr=%s term=%" PRIu64,
		    leader ? leader->addr : "none", leader ? leader->term : 0);
	if (g->leader && !leader)
		g->leaderless_since_ms = tmr_now(g->tmr);
	if (!g->leader && leader)
		cnt_time_ms(&g->leaderless,
			    tmr_now(g->tmr) - g->leaderless_since_ms);
	g->leader = leader;
	if (!leader)
		return;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->replica == leader)
			continue;
		g->counts[GAT_RESENT]++;
		gat_call_send(g, c);
	}
}
