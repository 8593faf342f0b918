#include "ctl_int.h"

#include "qtb.h"

/*
 * An entry daemon not heard for this long is removed from the list. Zones are
 * partitioned for up to an hour now and then, and their daemons must stay in
 * the list.
 */
#define CTL_NODE_EXPIRY_MS (2 * 3600 * 1000)

static void ctl_node_push(struct ctl *c, struct ctl_node *n);

/* Handles an entry daemon's report of the version of the view that it uses. */
void ctl_on_follow(struct ctl *c, struct ctl_conn *conn, struct pk_in *in)
{
	struct lstr name = pk_get_str(in);
	struct lstr zone = pk_get_str(in);
	uint64_t version = pk_get_u(in);
	struct ctl_node *n;
	char *key;

	if (!pk_in_ok(in))
		return;
	key = lstr_dup(name);
	n = g_hash_table_lookup(c->nodes, key);
	if (!n) {
		n = g_new0(struct ctl_node, 1);
		n->name = g_strdup(key);
		g_hash_table_insert(c->nodes, n->name, n);
	}
	g_free(key);
	if (n->conn != conn->conn) {
		n->conn = conn->conn;
		n->sent = 0;
	}
	/*
	 * The last changes did not apply to its view: it requests a full view.
	 */
	if (version == 0)
		n->sent = 0;
	conn->node = n;
	g_free(n->zone);
	n->zone = lstr_dup(zone);
	n->version = version;
	n->heard_ms = tmr_now(c->tmr);
	ctl_node_push(c, n);
}

/* Sends the view to every entry daemon that uses an older one. */
void ctl_push_views(struct ctl *c)
{
	GHashTableIter it;
	struct ctl_node *n;

	g_hash_table_iter_init(&it, c->nodes);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&n))
		ctl_node_push(c, n);
}

/*
 * Pushes the view to entry daemons at intervals. The leader pushes a new view
 * immediately, the other voters only here, and they find nothing to send if the
 * leader reached the daemon: a daemon that cannot reach the leader still
 * receives changes, and one that can is not sent each change by three voters.
 */
void ctl_nodes_tick(struct ctl *c, int64_t now)
{
	GHashTableIter it;
	struct ctl_node *n;

	ctl_push_views(c);
	g_hash_table_iter_init(&it, c->nodes);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&n)) {
		if (n->conn)
			n->heard_ms = now;
		else if (now - n->heard_ms > CTL_NODE_EXPIRY_MS)
			g_hash_table_iter_remove(&it);
	}
}

/* Packs the result of the query "nodes". */
void ctl_query_nodes(struct ctl *c, struct pk_out *out)
{
	static const char *const cols[] = {"node", "zone", "version",
					   "heard_ms"};
	int64_t now = tmr_now(c->tmr);
	GList *names = g_list_sort(g_hash_table_get_keys(c->nodes),
				   (GCompareFunc)strcmp);
	GList *at;
	struct qtb t;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (at = names; at; at = at->next) {
		const struct ctl_node *n =
			g_hash_table_lookup(c->nodes, at->data);
		struct pk_out *o = qtb_row(&t);

		pk_cstr(o, n->name);
		pk_cstr(o, n->zone);
		pk_u(o, n->version);
		pk_i(o, n->conn ? 0 : now - n->heard_ms);
	}
	g_list_free(names);
	qtb_finish(&t, out);
}

/* Frees an entry daemon's record. */
void ctl_node_free(gpointer p)
{
	struct ctl_node *n = p;

	g_free(n->name);
	g_free(n->zone);
	g_free(n);
}

static void ctl_node_push(struct ctl *c, struct ctl_node *n)
{
	uint64_t version = fst_version(c->fst);
	struct pk_out view;
	struct pk_out o;

	if (!n->conn || version <= n->version || version <= n->sent ||
	    !ctl_ensure_joined(c, n))
		return;
	pk_out_init(&view);
	fst_view_since(c->fst, lstr_from(n->zone), n->version, &view);
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CONFIG);
	pk_u(&o, version);
	pk_str(&o, pk_out_view(&view));
	if (pk_out_view(&o).len <= WIRE_PAYLOAD_MAX &&
	    wire_send(n->conn, pk_out_view(&o))) {
		n->sent = version;
		c->counts[CTL_PUSHES]++;
	}
	pk_out_done(&view);
	pk_out_done(&o);
}
