#include "gat_int.h"

static void gat_up(void *arg, struct wire_conn *conn);
static void gat_recv(void *arg, struct wire_conn *conn, struct lstr payload);
static void gat_down(void *arg, struct wire_conn *conn, const GError *why);
static void gat_on_leader(struct gat_core *core, struct pk_in *in);
static void gat_choose(struct gat *g);

const struct wire_ops gat_wire_ops = {
	.up = gat_up,
	.recv = gat_recv,
	.down = gat_down,
};

/* Adds a control daemon to those that may lead. */
void gat_core_add(struct gat *g, const char *addr)
{
	struct gat_core *core;

	if (g_hash_table_contains(g->cores, addr))
		return;
	core = g_new0(struct gat_core, 1);
	core->g = g;
	core->addr = g_strdup(addr);
	g_hash_table_insert(g->cores, core->addr, core);
	core->conn = wire_dial(g->wire, addr, &gat_wire_ops, core);
}

/* Frees what is kept of a control daemon. */
void gat_core_free(gpointer p)
{
	struct gat_core *core = p;

	g_free(core->addr);
	g_free(core);
}

/* A control daemon is reached. */
static void gat_up(void *arg, struct wire_conn *conn)
{
	/* A replica speaks first. */
}

/* A control daemon answers, or says who leads. */
static void gat_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct gat_core *core = arg;
	struct pk_in in;

	if (!pk_in_init(&in, payload))
		return;
	switch (pk_get_u(&in)) {
	case PROTO_LEADER:
		gat_on_leader(core, &in);
		break;
	case PROTO_ANSWER:
		gat_call_answer(core->g, &in);
		break;
	default:
		break;
	}
	pk_in_done(&in);
}

/* A control daemon is lost: what waits there is sent to another. */
static void gat_down(void *arg, struct wire_conn *conn, const GError *why)
{
	struct gat_core *core = arg;
	struct gat *g = core->g;
	GHashTableIter it;
	struct gat_call *c;

	core->term = 0;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->core != core)
			continue;
		c->core = NULL;
		c->since_ms = tmr_now(g->tmr);
	}
	gat_choose(g);
}

/* A replica tells who leads; only its word on itself counts. */
static void gat_on_leader(struct gat_core *core, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	struct lstr leader = pk_get_str(in);
	struct pk_in addrs = pk_get_arr(in);

	if (!pk_in_ok(in))
		return;
	core->term = lstr_eq(leader, lstr_from(core->addr)) ? term : 0;
	while (pk_in_left(&addrs)) {
		char *addr = lstr_dup(pk_get_str(&addrs));

		if (pk_in_ok(&addrs) && *addr)
			gat_core_add(core->g, addr);
		g_free(addr);
	}
	gat_choose(core->g);
}

/* The leader is who says so in the highest term. */
static void gat_choose(struct gat *g)
{
	struct gat_core *best = NULL;
	struct gat_core *core;
	struct gat_call *c;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->cores);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&core))
		if (core->term && wire_is_up(core->conn) &&
		    (!best || core->term > best->term))
			best = core;
	if (best != g->leader)
		msg(MSG_GAT_LEADER, "addr=%s term=%" PRIu64,
		    best ? best->addr : "none", best ? best->term : 0);
	if (g->leader && !best)
		g->leaderless_ms = tmr_now(g->tmr);
	if (!g->leader && best)
		cnt_time_ms(&g->leaderless, tmr_now(g->tmr) - g->leaderless_ms);
	g->leader = best;
	if (!best)
		return;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->core == best)
			continue;
		g->counts[GAT_AGAIN]++;
		gat_call_send(g, c);
	}
}
