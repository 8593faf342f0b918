#include "ent_int.h"

#include "msg.h"
#include "proto.h"

/* Interval at which this zone's spare capacity is sent to other zones, ms. */
#define ENT_CAPACITY_INTERVAL_MS 500

static void ent_peer_up(void *arg, struct wire_conn *c);
static void ent_peer_recv(void *arg, struct wire_conn *c, struct lstr payload);
static void ent_peer_down(void *arg, struct wire_conn *c, const GError *why);
static void ent_voter_up(void *arg, struct wire_conn *c);
static void ent_voter_recv(void *arg, struct wire_conn *c, struct lstr payload);
static void ent_voter_down(void *arg, struct wire_conn *c, const GError *why);
static void ent_recv_config(struct ent *e, struct wire_conn *c,
			    struct pk_in *in);
static void ent_recv_follow(struct ent *e, struct wire_conn *c,
			    struct pk_in *in);
static void ent_recv_targets(struct ent *e, struct wire_conn *c,
			     struct pk_in *in);
static void ent_recv_capacity(struct ent *e, struct wire_conn *c,
			      struct pk_in *in);
static void ent_send_follow(struct ent *e, struct wire_conn *c,
			    uint64_t version);
static uint64_t ent_version(const struct ent *e);
static void ent_send_config(struct ent *e, struct wire_conn *c);
static void ent_send_all_targets(struct ent *e, struct wire_conn *c);
static void ent_send_capacity(struct ent *e, struct wire_conn *c);
static void ent_capacity_tick(void *arg, int64_t now);

static const struct wire_ops ent_peer_ops = {
	.up = ent_peer_up,
	.recv = ent_peer_recv,
	.down = ent_peer_down,
};

static const struct wire_ops ent_voter_ops = {
	.up = ent_voter_up,
	.recv = ent_voter_recv,
	.down = ent_voter_down,
};

/* Handlers of messages between entry daemons. */
static const struct {
	enum proto_kind kind;
	void (*fn)(struct ent *e, struct wire_conn *c, struct pk_in *in);
} ent_handlers[] = {
	{PROTO_FOLLOW, ent_recv_follow},   {PROTO_CONFIG, ent_recv_config},
	{PROTO_TARGETS, ent_recv_targets}, {PROTO_ROOM, ent_recv_capacity},
	{PROTO_KEY, ent_key_recv},
};

/*
 * Listens for other entry daemons, and connects to the voters and to those
 * entry daemons whose address sorts after this one's; the others connect to
 * this daemon, so that each pair has one connection. False and err if it can't
 * listen.
 */
bool ent_peer_start(struct ent *e, GError **err)
{
	char **a;

	if (wire_listen(e->wire, e->config.wire, &ent_peer_ops, e, err) != 0)
		return false;
	for (a = e->config.voters; a && *a; a++)
		wire_dial(e->wire, *a, &ent_voter_ops, e);
	for (a = e->config.peers; a && *a; a++)
		if (strcmp(*a, e->config.wire) > 0)
			wire_dial(e->wire, *a, &ent_peer_ops, e);
	tmr_every(e->tmr, ENT_CAPACITY_INTERVAL_MS, ent_capacity_tick, e);
	return true;
}

/* Frees a peer. */
void ent_peer_free(gpointer p)
{
	struct ent_peer *peer = p;

	g_free(peer->node);
	g_free(peer->zone);
	g_free(peer->http);
	g_free(peer);
}

/*
 * Returns the index of a known zone; -1: no entry daemon of it was connected
 * yet.
 */
int ent_zone_find(struct ent *e, const char *zone)
{
	guint i;

	for (i = 0; i < e->zones->len; i++)
		if (strcmp(g_ptr_array_index(e->zones, i), zone) == 0)
			return (int)i;
	return -1;
}

/*
 * Returns the index of a zone in the admission control, adding the zone if
 * needed; -1: too many zones.
 */
int ent_zone_find_or_add(struct ent *e, const char *zone)
{
	int at = ent_zone_find(e, zone);

	if (at >= 0 || e->zones->len >= ADM_ZONES_MAX)
		return at;
	g_ptr_array_add(e->zones, g_strdup(zone));
	return (int)e->zones->len - 1;
}

/*
 * Returns the request address of an entry daemon of a zone, by round robin;
 * NULL: none is available.
 */
const char *ent_zone_addr(struct ent *e, int zone)
{
	const char *name = g_ptr_array_index(e->zones, (guint)zone);
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		guint at = (e->next_peer + i) % e->peers->len;
		const struct ent_peer *p = g_ptr_array_index(e->peers, at);

		if (!p->http || p->draining || !wire_is_up(p->conn) ||
		    strcmp(p->zone, name) != 0)
			continue;
		e->next_peer = at + 1;
		return p->http;
	}
	return NULL;
}

/* Sends a target whose home is this daemon to the zone's entry daemons. */
void ent_peer_send_target(struct ent *e, const struct tgt *t, bool expired)
{
	struct pk_out o;
	guint i;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_TARGETS);
	pk_bool(&o, false);
	pk_arr(&o, 1);
	tgt_pack(&o, &t->info, expired);
	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (p->zone && strcmp(p->zone, e->config.zone) == 0)
			wire_send(p->conn, pk_out_view(&o));
	}
	pk_out_done(&o);
}

/*
 * Reports the version in force to all peers, and sends the view to entry
 * daemons that have an older one.
 */
void ent_peer_send_view(struct ent *e)
{
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (!wire_is_up(p->conn))
			continue;
		ent_send_follow(e, p->conn, ent_version(e));
		if (p->http && p->version < e->view->version)
			ent_send_config(e, p->conn);
	}
}

/*
 * Sends this daemon's state to all entry daemons, and this zone's spare
 * capacity to those of other zones.
 */
void ent_peer_send_capacity(struct ent *e)
{
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (p->zone && wire_is_up(p->conn))
			ent_send_capacity(e, p->conn);
	}
}

static struct ent_peer *ent_peer_add(struct ent *e, struct wire_conn *c)
{
	struct ent_peer *p = g_new0(struct ent_peer, 1);

	p->conn = c;
	wire_set_user(c, p);
	g_ptr_array_add(e->peers, p);
	return p;
}

static void ent_peer_up(void *arg, struct wire_conn *c)
{
	struct ent *e = arg;
	struct ent_peer *p;

	if (wire_role(c) != KEY_PEER) {
		wire_close(c);
		return;
	}
	p = ent_peer_add(e, c);
	p->node = g_strdup(wire_node(c));
	p->zone = g_strdup(wire_zone(c));
	ent_send_follow(e, c, ent_version(e));
	ent_send_capacity(e, c);
	if (strcmp(p->zone, e->config.zone) == 0) {
		ent_send_all_targets(e, c);
		ent_key_peer_up(e, c);
	}
}

static void ent_peer_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct ent *e = arg;
	struct ent_peer *p = wire_user(c);

	if (!p)
		return;
	tgt_home_down(e->targets, tmr_now(e->tmr), p->node);
	if (strcmp(p->zone, e->config.zone) == 0)
		idm_peer_down(e->idm, tmr_now(e->tmr), p->node);
	wire_set_user(c, NULL);
	g_ptr_array_remove(e->peers, p);
	ent_count_entries(e);
}

static void ent_peer_recv(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct ent *e = arg;
	struct pk_in in;
	uint64_t kind;
	size_t i;

	if (!pk_in_init(&in, payload)) {
		msg(MSG_ENT_PEER_BAD, "peer=%s bytes=%zu", wire_node(c),
		    payload.len);
		return;
	}
	kind = pk_get_u(&in);
	for (i = 0; i < G_N_ELEMENTS(ent_handlers); i++)
		if (ent_handlers[i].kind == kind)
			ent_handlers[i].fn(e, c, &in);
	pk_in_done(&in);
}

static void ent_voter_up(void *arg, struct wire_conn *c)
{
	struct ent *e = arg;

	ent_peer_add(e, c);
	e->voter_heard = tmr_now(e->tmr);
	ent_send_follow(e, c, ent_version(e));
}

static void ent_voter_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct ent *e = arg;
	struct ent_peer *p = wire_user(c);

	if (!p)
		return;
	wire_set_user(c, NULL);
	g_ptr_array_remove(e->peers, p);
}

static void ent_voter_recv(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct ent *e = arg;
	struct pk_in in;

	e->voter_heard = tmr_now(e->tmr);
	if (!pk_in_init(&in, payload))
		return;
	if (pk_get_u(&in) == PROTO_CONFIG)
		ent_recv_config(e, c, &in);
	pk_in_done(&in);
}

static void ent_recv_config(struct ent *e, struct wire_conn *c,
			    struct pk_in *in)
{
	struct ent_peer *p = wire_user(c);
	uint64_t version = pk_get_u(in);
	struct lstr view = pk_get_str(in);

	if (!pk_in_ok(in))
		return;
	if (p && p->version < version)
		p->version = version;
	if ((!e->view || version > e->view->version) &&
	    !ent_view_apply(e, view, wire_node(c)))
		/*
		 * The changes don't apply to the view in force: request the
		 * whole view.
		 */
		ent_send_follow(e, c, 0);
}

/*
 * Handles a peer's report of its version; sends it the view if that is newer.
 */
static void ent_recv_follow(struct ent *e, struct wire_conn *c,
			    struct pk_in *in)
{
	struct ent_peer *p = wire_user(c);

	pk_get_str(in);
	pk_get_str(in);
	p->version = pk_get_u(in);
	if (pk_in_ok(in) && e->view && p->version < e->view->version)
		ent_send_config(e, c);
}

static void ent_recv_targets(struct ent *e, struct wire_conn *c,
			     struct pk_in *in)
{
	struct ent_peer *p = wire_user(c);
	int64_t now = tmr_now(e->tmr);
	bool whole_list = pk_get_bool(in);
	struct pk_in list = pk_get_arr(in);
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct tgt_info info;
	bool expired;

	while (pk_in_ok(&list) && pk_in_left(&list)) {
		if (!tgt_unpack(&list, &info, &expired))
			continue;
		g_hash_table_add(names, g_strdup(info.name));
		tgt_record_report(e->targets, now, p->node, &info, expired);
		tgt_info_clear(&info);
	}
	if (whole_list && pk_in_ok(in))
		tgt_home_list_done(e->targets, now, p->node, names);
	g_hash_table_destroy(names);
	ent_poll_admission(e);
}

static void ent_recv_capacity(struct ent *e, struct wire_conn *c,
			      struct pk_in *in)
{
	struct ent_peer *p = wire_user(c);
	bool known = p->http != NULL;
	int zone = ent_zone_find_or_add(e, p->zone);
	struct lstr http = pk_get_str(in);
	bool draining = pk_get_bool(in);
	struct pk_in list = pk_get_arr(in);

	if (!pk_in_ok(in))
		return;
	g_free(p->http);
	p->http = lstr_dup(http);
	p->draining = draining;
	if (!known)
		ent_count_entries(e);
	while (zone > 0 && pk_in_ok(&list) && pk_in_left(&list)) {
		struct pk_in item = pk_get_arr(&list);
		char *name = lstr_dup(pk_get_str(&item));
		const struct ent_pool *pool =
			g_hash_table_lookup(e->pools, name);
		struct adm_spare_capacity spare = {
			.slots = (uint32_t)pk_get_u(&item),
			.free = (uint32_t)pk_get_u(&item),
		};

		g_free(name);
		if (pool && pk_in_ok(&item))
			adm_set_zone_capacity(e->adm, ent_now_us(e), pool->id,
					      zone, spare, 0);
	}
}

static void ent_send_follow(struct ent *e, struct wire_conn *c,
			    uint64_t version)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_FOLLOW);
	pk_cstr(&o, e->config.node);
	pk_cstr(&o, e->config.zone);
	pk_u(&o, version);
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
}

static uint64_t ent_version(const struct ent *e)
{
	return e->view ? e->view->version : 0;
}

/*
 * Sends the view in force: only the changes it was received as if they apply to
 * the peer's version, since every entry daemon of a site forwards each change
 * to the others.
 */
static void ent_send_config(struct ent *e, struct wire_conn *c)
{
	const struct ent_peer *peer = wire_user(c);
	bool changes =
		peer && e->view_delta && peer->version >= e->view_delta_from;
	struct pk_out o;
	gsize len;
	const void *p =
		g_bytes_get_data(changes ? e->view_delta : e->view_bytes, &len);

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CONFIG);
	pk_u(&o, e->view->version);
	pk_str(&o, lstr_n(p, len));
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
}

static void ent_collect_own_target(void *arg, const struct tgt *t)
{
	GPtrArray *own = arg;

	if (!t->home && t->state != TGT_LAPSED)
		g_ptr_array_add(own, (gpointer)t);
}

static void ent_send_all_targets(struct ent *e, struct wire_conn *c)
{
	GPtrArray *own = g_ptr_array_new();
	struct pk_out o;
	guint i;

	tgt_foreach(e->targets, ent_collect_own_target, own);
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_TARGETS);
	pk_bool(&o, true);
	pk_arr(&o, own->len);
	for (i = 0; i < own->len; i++)
		tgt_pack(&o, &((struct tgt *)g_ptr_array_index(own, i))->info,
			 false);
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
	g_ptr_array_free(own, TRUE);
}

static void ent_send_capacity(struct ent *e, struct wire_conn *c)
{
	bool other_zone = strcmp(wire_zone(c), e->config.zone) != 0;
	guint n = other_zone ? g_hash_table_size(e->pools) : 0;
	GHashTableIter it;
	gpointer name;
	gpointer pool;
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_ROOM);
	pk_cstr(&o, e->config.listen);
	pk_bool(&o, e->draining);
	pk_arr(&o, n);
	g_hash_table_iter_init(&it, e->pools);
	while (n && g_hash_table_iter_next(&it, &name, &pool)) {
		struct adm_spare_capacity spare = adm_spare_capacity(
			e->adm, ent_now_us(e), ((struct ent_pool *)pool)->id);

		pk_arr(&o, 3);
		pk_cstr(&o, name);
		pk_u(&o, spare.slots);
		pk_u(&o, spare.free);
	}
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
}

/*
 * Sends spare capacity to other zones only: within the zone each daemon knows
 * the targets itself.
 */
static void ent_capacity_tick(void *arg, int64_t now)
{
	struct ent *e = arg;
	guint i;

	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (p->zone && strcmp(p->zone, e->config.zone) != 0)
			ent_send_capacity(e, p->conn);
	}
}
