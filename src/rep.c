#include "rep_int.h"

static bool rep_open(struct rep *r, GError **err);
static uint64_t rep_new_id(const struct rep_config *config);
static uint64_t rep_seed_id(const char *addr);
static bool rep_is_seed(const struct rep_config *config, const char *addr);
static void rep_bootstrap(struct rep *r);
static void rep_peer_free(gpointer arg);
static void rep_pump(struct rep *r);
static void rep_pump_timer(void *arg, int64_t now);
static void rep_send(void *arg, const struct cns_msg *m);
static bool rep_is_bulk(const struct cns_msg *m);
static struct wire_conn *rep_conn_to(struct rep *r, uint64_t id);
static bool rep_restore(void *arg, struct lstr snap, GError **err);
static void rep_apply(void *arg, const struct cns_entry *e);
static void rep_snapshot(void *arg, struct pk_out *o);
static void rep_read_done(void *arg, const struct cns_read *c);
static void rep_watch(struct rep *r);
static void rep_spare_disk(struct rep *r);
static void rep_failed_now(void *arg, const GError *why);
static void rep_tick(void *arg, int64_t now);
static void rep_upkeep(void *arg, int64_t now);

static const struct vot_ops rep_vot_ops = {
	.send = rep_send,
	.apply = rep_apply,
	.restore = rep_restore,
	.snapshot = rep_snapshot,
	.read_done = rep_read_done,
	.failed = rep_failed_now,
};

/* Replicas and entry daemons that dialled us. */
static const struct wire_ops rep_in_ops = {
	.up = rep_in_up,
	.recv = rep_in_recv,
	.down = rep_in_down,
	.goes_first = rep_in_goes_first,
};

/* Replicas that we dialled. */
static const struct wire_ops rep_out_ops = {
	.up = rep_out_up,
	.recv = rep_out_recv,
	.down = rep_out_down,
};

/*
 * Starts a replica on config's loop; config's parts must outlive it. NULL
 * with the step that failed.
 */
struct rep *rep_new(const struct rep_config *config, const struct rep_ops *ops,
		    void *arg, GError **err)
{
	struct rep *r = g_new0(struct rep, 1);
	char **p;

	r->config = *config;
	r->ops = ops;
	r->arg = arg;
	r->seeds = g_strdupv(config->seeds);
	r->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 rep_peer_free);
	r->conns = g_ptr_array_new();
	r->wire = wire_new(&(struct wire_config){
		.base = config->base,
		.tmr = config->tmr,
		.keys = config->keys,
		.node = config->node,
		.zone = config->zone,
		.silence_ms = REP_SILENCE_MS,
		.conns_max = config->conns_max,
		.conns_kept = MIN(CNS_MEMBERS_MAX, config->conns_max / 2),
	});
	if (!rep_open(r, err) ||
	    wire_listen(r->wire, config->addr, &rep_in_ops, r, err) != 0) {
		rep_free(r);
		return NULL;
	}
	for (p = r->seeds; *p; p++)
		rep_peer_at(r, *p);
	r->leaderless_ms = tmr_now(config->tmr);
	r->tick = tmr_every(config->tmr, REP_TICK_MS, rep_tick, r);
	r->upkeep = tmr_every(config->tmr, REP_UPKEEP_MS, rep_upkeep, r);
	rep_kick(r);
	return r;
}

/* Ends a replica at once; what it promised is on its disk. */
void rep_free(struct rep *r)
{
	if (!r)
		return;
	tmr_cancel(r->config.tmr, r->tick);
	tmr_cancel(r->config.tmr, r->upkeep);
	tmr_cancel(r->config.tmr, r->pump_timer);
	wire_free(r->wire);
	vot_free(r->vot);
	g_hash_table_destroy(r->peers);
	g_ptr_array_free(r->conns, TRUE);
	g_strfreev(r->seeds);
	g_free(r);
}

/* Other addresses to ask for the fleet, from changed settings. */
void rep_set_seeds(struct rep *r, char **seeds)
{
	char **p;

	g_strfreev(r->seeds);
	r->seeds = g_strdupv(seeds);
	for (p = r->seeds; *p; p++)
		rep_peer_at(r, *p);
}

/*
 * Puts a command into the log; index tells where it comes out if it is
 * accepted. False: we don't lead, or too much is on its way.
 */
bool rep_propose(struct rep *r, struct lstr cmd, uint64_t *index)
{
	if (cns_propose(r->cns, cmd, index) != CNS_DONE)
		return false;
	rep_kick(r);
	return true;
}

/* Asks for a read of all that was accepted before now. */
bool rep_read(struct rep *r, uint64_t tag)
{
	if (cns_read(r->cns, tag) != CNS_DONE)
		return false;
	rep_kick(r);
	return true;
}

/*
 * Does the rest soon: what comes in within one turn of the loop shares a sync,
 * so that a burst of commands costs few of them.
 */
void rep_kick(struct rep *r)
{
	if (!r->pump_timer)
		r->pump_timer = tmr_once(r->config.tmr, 0, rep_pump_timer, r);
}

/* Moves leadership to another replica, for a planned stop or a slow disk. */
void rep_hand_over(struct rep *r)
{
	cns_hand_over(r->cns);
	rep_kick(r);
}

/* Whether we lead and hold all that was accepted before. */
bool rep_leading(const struct rep *r)
{
	return r->leading;
}

/* Whether the data folder failed: the process must end. */
bool rep_failed(const struct rep *r)
{
	return vot_failed(r->vot);
}

/*
 * When we last knew that we lead, on the timer service's clock: for one
 * patience after it nobody else does, unless we hand over.
 */
int64_t rep_sure_ms(const struct rep *r)
{
	return cns_sure(r->cns);
}

/* Whether another may begin to lead since we asked it to. */
bool rep_hands_over(const struct rep *r)
{
	return cns_hands_over(r->cns);
}

/* The term we are in; of all leaders only one ever has it. */
uint64_t rep_term(const struct rep *r)
{
	return cns_term(r->cns);
}

/* Address of the leader, to be freed; NULL: not known. */
char *rep_leader_addr(const struct rep *r)
{
	const struct cns_member *m =
		cns_find(cns_members(r->cns), cns_leader(r->cns));

	return m ? g_strdup(m->addr) : NULL;
}

/* The members as this replica knows them. */
const struct cns_members *rep_members(const struct rep *r)
{
	return cns_members(r->cns);
}

/* Connections with own processes. */
struct wire_stats rep_wire_stats(const struct rep *r)
{
	return wire_stats(r->wire);
}

/* Syncs since the start. */
uint64_t rep_syncs(const struct rep *r)
{
	return vot_syncs(r->vot);
}

/* How long syncs took. */
const struct cnt_times *rep_sync_times(const struct rep *r)
{
	return vot_sync_times(r->vot);
}

/* How long no leader was known, each time that one was found. */
const struct cnt_times *rep_leaderless(const struct rep *r)
{
	return &r->leaderless;
}

/* Moving mean of a sync's time, us. */
int64_t rep_sync_us(const struct rep *r)
{
	return vot_sync_us(r->vot);
}

/* Opens the data folder and begins to listen. */
static bool rep_open(struct rep *r, GError **err)
{
	struct vot_config config = {
		.node = r->config.node,
		.data = r->config.data,
		.new_id = rep_new_id(&r->config),
		.now_ms = tmr_now(r->config.tmr),
		.beat_ms = REP_BEAT_MS,
		.election_ms = REP_ELECTION_MS,
		.snap_entries = REP_SNAP_ENTRIES,
		.snap_bytes = REP_SNAP_BYTES,
	};

	r->vot = vot_open(&config, &rep_vot_ops, r, err);
	if (!r->vot)
		return false;
	r->cns = vot_cns(r->vot);
	r->id = vot_id(r->vot);
	rep_bootstrap(r);
	return true;
}

/*
 * A seed of a fleet that begins has an id that the other seeds can work out,
 * so that all of them begin with the same members without a word. A folder
 * that is empty for any other reason gets a random one: its machine may have
 * promised something before, and must come back as somebody else.
 */
static uint64_t rep_new_id(const struct rep_config *config)
{
	uint64_t id = 0;

	if (config->bootstrap && rep_is_seed(config, config->addr))
		return rep_seed_id(config->addr);
	while (id == 0)
		randombytes_buf(&id, sizeof(id));
	return id;
}

/* The id of the replica at a seed's address. */
static uint64_t rep_seed_id(const char *addr)
{
	uint64_t id;

	crypto_generichash((unsigned char *)&id, sizeof(id),
			   (const unsigned char *)addr, strlen(addr), NULL, 0);
	return id ? id : 1;
}

/* Whether an address is among the seeds. */
static bool rep_is_seed(const struct rep_config *config, const char *addr)
{
	return g_strv_contains((const char *const *)config->seeds, addr);
}

/* Makes the seeds the first members. */
static void rep_bootstrap(struct rep *r)
{
	struct cns_members members = {.lineage = 1};
	char **p;

	if (!r->config.bootstrap || cns_last(r->cns) != 0 ||
	    cns_term(r->cns) != 0 || r->id != rep_seed_id(r->config.addr) ||
	    !rep_is_seed(&r->config, r->config.addr))
		return;
	for (p = r->seeds; *p && members.n < CNS_MEMBERS_MAX; p++) {
		struct cns_member *m = &members.m[members.n++];

		m->id = rep_seed_id(*p);
		m->voter = true;
		g_strlcpy(m->addr, *p, sizeof(m->addr));
		g_strlcpy(m->name, *p, sizeof(m->name));
	}
	cns_bootstrap(r->cns, &members);
}

/* The peer at an address, begun here if it is new. */
struct rep_peer *rep_peer_at(struct rep *r, const char *addr)
{
	struct rep_peer *p = g_hash_table_lookup(r->peers, addr);

	if (p || strcmp(addr, r->config.addr) == 0)
		return p;
	p = g_new0(struct rep_peer, 1);
	p->r = r;
	p->addr = g_strdup(addr);
	p->heard_ms = tmr_now(r->config.tmr);
	g_hash_table_insert(r->peers, p->addr, p);
	p->conn = wire_dial(r->wire, addr, &rep_out_ops, p);
	return p;
}

/* Closes the connection to a peer. */
static void rep_peer_free(gpointer arg)
{
	struct rep_peer *p = arg;

	g_free(p->addr);
	g_free(p);
}

/* Has all that is due done at the end of this turn of the loop. */
static void rep_pump(struct rep *r)
{
	enum cpu_kind before = cpu_enter(CPU_LOG);

	vot_pump(r->vot);
	rep_watch(r);
	rep_spare_disk(r);
	cpu_leave(before);
}

/* Does all that is due. */
static void rep_pump_timer(void *arg, int64_t now)
{
	struct rep *r = arg;

	r->pump_timer = 0;
	rep_pump(r);
}

/* Sends a message of the log to another replica. */
static void rep_send(void *arg, const struct cns_msg *m)
{
	struct wire_conn *conn = rep_conn_to(arg, m->to);
	struct pk_out o;

	if (!conn || (rep_is_bulk(m) && wire_backlog(conn) > REP_BACKLOG_MAX))
		return;
	pk_out_init(&o);
	cns_msg_pack(m, &o);
	if (pk_out_view(&o).len <= WIRE_PAYLOAD_MAX)
		wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
}

/* Whether a message carries a part of the log or of a snapshot. */
static bool rep_is_bulk(const struct cns_msg *m)
{
	return m->entries || m->data;
}

/* A connection that we dialled to the member's address, if it is up. */
static struct wire_conn *rep_conn_to(struct rep *r, uint64_t id)
{
	const struct cns_member *m = cns_find(cns_members(r->cns), id);
	GHashTableIter it;
	struct rep_peer *p;

	if (m) {
		p = rep_peer_at(r, m->addr);
		return p && wire_is_up(p->conn) ? p->conn : NULL;
	}
	/* A newcomer answers a leader whose members it doesn't know yet. */
	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
		if (p->id == id && wire_is_up(p->conn))
			return p->conn;
	return NULL;
}

/* The owner's state is read from a snapshot. */
static bool rep_restore(void *arg, struct lstr snap, GError **err)
{
	struct rep *r = arg;

	if (r->ops->restore(r->arg, snap))
		return true;
	err_set(err, ERR_CORRUPT, "restore", NULL,
		"the snapshot can't be read");
	return false;
}

/* An entry was agreed on. */
static void rep_apply(void *arg, const struct cns_entry *e)
{
	struct rep *r = arg;
	gsize len;
	const char *p = g_bytes_get_data(e->data, &len);

	if (e->kind == CNS_COMMAND)
		r->ops->apply(r->arg, e->index, lstr_n(p, len));
	/*
	 * All that earlier leaders accepted lies before our own first entry;
	 * deciding earlier would overlook some of it.
	 */
	if (e->kind == CNS_NOOP && e->term == cns_term(r->cns) &&
	    cns_role(r->cns) == CNS_LEADER && !r->leading) {
		r->leading = true;
		r->lead_term = e->term;
		r->ops->lead(r->arg, true, e->term);
	}
}

/* The owner's state is written into a snapshot. */
static void rep_snapshot(void *arg, struct pk_out *o)
{
	struct rep *r = arg;

	r->ops->snapshot(r->arg, o);
}

/* A read may be answered, or can't be. */
static void rep_read_done(void *arg, const struct cns_read *c)
{
	struct rep *r = arg;

	r->ops->read_done(r->arg, c->tag, c->ok);
}

/* Tells owner, entry daemons and log when leadership has changed. */
static void rep_watch(struct rep *r)
{
	enum cns_role role = cns_role(r->cns);
	uint64_t term = cns_term(r->cns);
	uint64_t leader = cns_leader(r->cns);
	guint i;

	if (r->leading && (role != CNS_LEADER || term != r->lead_term)) {
		r->leading = false;
		r->ops->lead(r->arg, false, term);
	}
	if (role != r->role || term != r->role_term) {
		msg(MSG_CTL_ROLE, "role=%s term=%" G_GUINT64_FORMAT,
		    cns_role_name(role), term);
		r->role = role;
		r->role_term = term;
	}
	if (!r->leading && role == CNS_LEADER)
		leader = 0;
	if (leader == r->told_leader)
		return;
	if (!leader)
		r->leaderless_ms = tmr_now(r->config.tmr);
	else if (!r->told_leader)
		cnt_time_ms(&r->leaderless,
			    tmr_now(r->config.tmr) - r->leaderless_ms);
	r->told_leader = leader;
	for (i = 0; i < r->conns->len; i++)
		rep_tell_leader(r, g_ptr_array_index(r->conns, i));
}

/* Gives leadership to a replica whose disk is faster, or may be. */
static void rep_spare_disk(struct rep *r)
{
	int64_t now = tmr_now(r->config.tmr);

	if (vot_syncs(r->vot) == r->syncs)
		return;
	r->syncs = vot_syncs(r->vot);
	r->slow_syncs = vot_last_sync_us(r->vot) > REP_SLOW_SYNC_US
				? r->slow_syncs + 1
				: 0;
	if (!r->leading || r->slow_syncs < REP_SLOW_SYNCS ||
	    now - r->slow_ms < REP_SLOW_PAUSE_MS)
		return;
	r->slow_ms = now;
	msg(MSG_CTL_MEMBER, "does=hand-over why=\"slow disk\" sync_us=%" PRId64,
	    vot_sync_us(r->vot));
	rep_hand_over(r);
}

/* The folder failed: nobody gets an answer any more. */
static void rep_failed_now(void *arg, const GError *why)
{
	struct rep *r = arg;

	if (r->leading) {
		r->leading = false;
		r->ops->lead(r->arg, false, cns_term(r->cns));
	}
	event_base_loopbreak(r->config.base);
}

/* Time passes for elections and heartbeats. */
static void rep_tick(void *arg, int64_t now)
{
	struct rep *r = arg;

	cns_tick(r->cns, now);
	/*
	 * Between a newcomer's first vote and the old member's end one more
	 * lost disk is one too many: each step follows the one before at once.
	 */
	if (cns_role(r->cns) == CNS_LEADER)
		rep_members_tick(r, now);
	rep_pump(r);
}

/* What is looked after from time to time. */
static void rep_upkeep(void *arg, int64_t now)
{
	struct rep *r = arg;
	const struct cns_members *s = cns_members(r->cns);
	GHashTableIter it;
	struct rep_peer *p;
	int i;

	for (i = 0; i < s->n; i++)
		rep_peer_at(r, s->m[i].addr);
	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
		if (wire_is_up(p->conn))
			rep_hello(r, p->conn);
	rep_missed_tick(r, now);
	rep_pump(r);
}
