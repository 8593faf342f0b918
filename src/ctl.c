#include "ctl_int.h"

#include "err.h"
#include "msg.h"

/* Interval of cns_tick. */
#define CTL_TICK_MS 20
/* Interval at which members, entry daemons and VM moves are checked. */
#define CTL_MAINTAIN_MS 250
/* Maximum wait for a leadership transfer at shutdown. */
#define CTL_DRAIN_MS 1000

static void ctl_in_up(void *arg, struct wire_conn *conn);
static void ctl_in_recv(void *arg, struct wire_conn *conn, struct lstr payload);
static void ctl_in_down(void *arg, struct wire_conn *conn, const GError *why);
static bool ctl_in_has_priority(void *arg, const char *ip);
static void ctl_out_up(void *arg, struct wire_conn *conn);
static void ctl_out_recv(void *arg, struct wire_conn *conn,
			 struct lstr payload);
static void ctl_out_down(void *arg, struct wire_conn *conn, const GError *why);
static void ctl_handle_message(struct ctl *c, struct ctl_conn *cc,
			       struct lstr payload, struct pk_in *in);
static void ctl_handle_cns(struct ctl *c, const struct ctl_conn *cc,
			   struct lstr payload);
static void ctl_tick(void *arg, int64_t now);
static void ctl_maintain(void *arg, int64_t now);

/*
 * Accepted connections: voters that send to this one, entry daemons, clients.
 */
static const struct wire_ops ctl_in_ops = {
	.up = ctl_in_up,
	.recv = ctl_in_recv,
	.down = ctl_in_down,
	.goes_first = ctl_in_has_priority,
};

/* Connections opened to the other voters, for messages to them. */
static const struct wire_ops ctl_out_ops = {
	.up = ctl_out_up,
	.recv = ctl_out_recv,
	.down = ctl_out_down,
};

/*
 * Starts a voter on the event loop of config; the objects that config refers to
 * must outlive the voter. Returns NULL with the step that failed.
 */
struct ctl *ctl_new(const struct ctl_config *config, GError **err)
{
	struct ctl *c = g_new0(struct ctl, 1);
	guint i;

	c->config = *config;
	c->peers = g_ptr_array_new_with_free_func(ctl_peer_free);
	c->conns = g_ptr_array_new_with_free_func(g_free);
	c->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 ctl_node_free);
	c->commands = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    ctl_request_free);
	c->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   ctl_request_free);
	c->tmr = tmr_new(config->base);
	c->memory = mbd_new(mbd_limit((uint64_t)config->memory));
	c->fst = fst_new();
	c->wire = wire_new(&(struct wire_config){
		.base = config->base,
		.tmr = c->tmr,
		.keys = config->keys,
		.node = config->node,
		.zone = config->zone,
		.silence_ms = config->silence_ms,
		.memory = c->memory,
		.conns_max = config->descriptors.share[FDB_PEERS],
		.conns_kept = MIN(CNS_MEMBERS_MAX,
				  config->descriptors.share[FDB_PEERS] / 2),
	});
	if (!ctl_peers_read(c, err) || !ctl_voter_open(c, err) ||
	    !ctl_http_open(c, err) ||
	    wire_listen(c->wire, config->listen, &ctl_in_ops, c, err) != 0) {
		ctl_free(c);
		return NULL;
	}
	for (i = 0; i < c->peers->len; i++) {
		struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		p->conn = wire_dial(c->wire, p->addr, &ctl_out_ops, p);
	}
	tmr_every(c->tmr, CTL_TICK_MS, ctl_tick, c);
	tmr_every(c->tmr, CTL_MAINTAIN_MS, ctl_maintain, c);
	msg(MSG_START, "node=%s zone=%s listen=%s", config->node, config->zone,
	    config->listen);
	return c;
}

/* Closes a voter immediately; everything it acknowledged is on disk. */
void ctl_free(struct ctl *c)
{
	if (!c)
		return;
	if (c->srv)
		srv_free(c->srv);
	wire_free(c->wire);
	mbd_free(c->memory);
	vot_free(c->vot);
	mvr_free(c->mover);
	fst_free(c->fst);
	g_hash_table_destroy(c->commands);
	g_hash_table_destroy(c->queries);
	g_hash_table_destroy(c->nodes);
	g_ptr_array_free(c->conns, TRUE);
	g_ptr_array_free(c->peers, TRUE);
	tmr_free(c->tmr);
	g_free(c);
}

/*
 * Whether a connection comes from the address of a voter, and so has priority:
 * entry daemons must not use up all connections.
 */
static bool ctl_in_has_priority(void *arg, const char *ip)
{
	const struct ctl *c = arg;
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		const struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		if (wire_addr_is_of(p->addr, ip))
			return true;
	}
	return false;
}

/* Starts a planned stop: transfers leadership, then ends the event loop. */
void ctl_drain(struct ctl *c)
{
	if (c->drain_end)
		return;
	c->drain_end = tmr_now(c->tmr) + CTL_DRAIN_MS;
	if (!vot_is_full(c->vot))
		cns_transfer_leadership(c->cns);
	ctl_pump(c);
}

/* Whether the event loop ended because the data folder failed. */
bool ctl_failed(const struct ctl *c)
{
	return vot_failed(c->vot);
}

static void ctl_tick(void *arg, int64_t now)
{
	struct ctl *c = arg;

	if (!vot_is_full(c->vot))
		cns_tick(c->cns, now);
	ctl_pump(c);
	if (c->drain_end && (c->role != CNS_LEADER || now >= c->drain_end)) {
		msg(MSG_STOP, "node=%s", c->config.node);
		event_base_loopbreak(c->config.base);
	}
}

static void ctl_maintain(void *arg, int64_t now)
{
	struct ctl *c = arg;

	if (!vot_is_full(c->vot)) {
		ctl_update_members(c);
		ctl_nodes_tick(c, now);
		ctl_moves_tick(c, now);
	}
	ctl_pump(c);
}

static void ctl_in_up(void *arg, struct wire_conn *conn)
{
	struct ctl *c = arg;
	struct ctl_conn *cc = g_new0(struct ctl_conn, 1);

	cc->conn = conn;
	wire_set_user(conn, cc);
	g_ptr_array_add(c->conns, cc);
}

static void ctl_in_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct ctl_conn *cc = wire_user(conn);
	struct pk_in in;

	if (!pk_in_init(&in, payload))
		return;
	ctl_handle_message(arg, cc, payload, &in);
	pk_in_done(&in);
}

static void ctl_in_down(void *arg, struct wire_conn *conn, const GError *why)
{
	struct ctl *c = arg;
	struct ctl_conn *cc = wire_user(conn);

	if (!cc)
		return;
	if (cc->node && cc->node->conn == conn)
		cc->node->conn = NULL;
	ctl_client_closed(c, conn);
	wire_set_user(conn, NULL);
	g_ptr_array_remove_fast(c->conns, cc);
}

static void ctl_out_up(void *arg, struct wire_conn *conn)
{
	struct ctl_peer *p = arg;

	ctl_send_voter(p->ctl, conn);
}

static void ctl_out_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	/* Voters respond on the connections that they open themselves. */
}

static void ctl_out_down(void *arg, struct wire_conn *conn, const GError *why)
{
	/* The wire module reconnects; cns retransmits lost messages. */
}

static void ctl_handle_message(struct ctl *c, struct ctl_conn *cc,
			       struct lstr payload, struct pk_in *in)
{
	bool peer = wire_role(cc->conn) == KEY_PEER;

	switch (pk_get_u(in)) {
	case PROTO_CNS:
		if (peer && cc->peer)
			ctl_handle_cns(c, cc, payload);
		break;
	case PROTO_VOTER:
		if (peer)
			ctl_on_voter(c, cc, in);
		break;
	case PROTO_FOLLOW:
		if (peer)
			ctl_on_follow(c, cc, in);
		break;
	case PROTO_SUBMIT:
		ctl_on_submit(c, cc->conn, in);
		break;
	case PROTO_QUERY:
		ctl_on_query(c, cc->conn, in);
		break;
	default:
		break;
	}
}

/*
 * Processes a consensus message. A voter whose fleet was recovered without it,
 * or that belongs to another fleet, holds other entries at the same indexes;
 * its messages are ignored.
 */
static void ctl_handle_cns(struct ctl *c, const struct ctl_conn *cc,
			   struct lstr payload)
{
	struct cns_msg *m;

	if (!ctl_same_lineage(c, cc->peer) || vot_is_full(c->vot))
		return;
	m = cns_msg_unpack(payload);
	if (!m)
		return;
	if (m->from == cc->peer->id)
		cns_step(c->cns, m);
	cns_msg_free(m);
	ctl_schedule_pump(c);
}
