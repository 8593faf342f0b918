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
static void rep_report_leadership(struct rep *r);
static void rep_transfer_if_slow(struct rep *r);
static void rep_on_full(void *arg, bool full);
static void rep_on_failed(void *arg, const GError *why);
static void rep_tick(void *arg, int64_t now);
static void rep_maintain(void *arg, int64_t now);

static const struct vot_ops rep_vot_ops = {
	.send = rep_send,
	.apply = rep_apply,
	.restore = rep_restore,
	.snapshot = rep_snapshot,
	.read_done = rep_read_done,
	.full = rep_on_full,
	.failed = rep_on_failed,
};

/* Accepted connections, from replicas and entry daemons. */
static const struct wire_ops rep_in_ops = {
	.up = rep_in_up,
	.recv = rep_in_recv,
	.down = rep_in_down,
	.goes_first = rep_in_has_priority,
};

/* Connections opened to other replicas. */
static const struct wire_ops rep_out_ops = {
	.up = rep_out_up,
	.recv = rep_out_recv,
	.down = rep_out_down,
};

/*
 * Starts a replica on the event loop of config; the objects that config refers
 * to must outlive the replica. Returns NULL with the step that failed.
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
		.memory = config->memory,
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
	r->tick_timer = tmr_every(config->tmr, REP_TICK_MS, rep_tick, r);
	r->maintain_timer =
		tmr_every(config->tmr, REP_MAINTAIN_MS, rep_maintain, r);
	rep_schedule_pump(r);
	return r;
}

/* Closes a replica immediately; everything it acknowledged is on disk. */
void rep_free(struct rep *r)
{
	if (!r)
		return;
	tmr_cancel(r->config.tmr, r->tick_timer);
	tmr_cancel(r->config.tmr, r->maintain_timer);
	tmr_cancel(r->config.tmr, r->pump_timer);
	wire_free(r->wire);
	vot_free(r->vot);
	g_hash_table_destroy(r->peers);
	g_ptr_array_free(r->conns, TRUE);
	g_strfreev(r->seeds);
	g_free(r->told_leader);
	g_free(r);
}

/* Replaces the seed addresses, after a change of the settings. */
void rep_set_seeds(struct rep *r, char **seeds)
{
	char **p;

	g_strfreev(r->seeds);
	r->seeds = g_strdupv(seeds);
	for (p = r->seeds; *p; p++)
		rep_peer_at(r, *p);
}

/*
 * Appends a command to the log; index is its log index if it is accepted.
 * Returns false if this replica is not the leader or too much is uncommitted.
 */
bool rep_propose(struct rep *r, struct lstr cmd, uint64_t *index)
{
	if (vot_is_full(r->vot) || cns_propose(r->cns, cmd, index) != CNS_OK)
		return false;
	rep_schedule_pump(r);
	return true;
}

/*
 * Requests a linearizable read; returns false if this replica is not the
 * leader.
 */
bool rep_read(struct rep *r, uint64_t tag)
{
	if (vot_is_full(r->vot) || cns_read(r->cns, tag) != CNS_OK)
		return false;
	rep_schedule_pump(r);
	return true;
}

/*
 * Schedules vot_pump at the end of this iteration of the event loop: everything
 * that arrives within one iteration shares a sync, so that a burst of commands
 * needs few syncs.
 */
void rep_schedule_pump(struct rep *r)
{
	if (!r->pump_timer)
		r->pump_timer = tmr_once(r->config.tmr, 0, rep_pump_timer, r);
}

/*
 * Transfers leadership to another replica, before a planned stop or because of
 * a slow disk.
 */
void rep_transfer_leadership(struct rep *r)
{
	if (vot_is_full(r->vot))
		return;
	cns_transfer_leadership(r->cns);
	rep_schedule_pump(r);
}

/*
 * Whether this replica leads and has applied everything accepted by earlier
 * leaders.
 */
bool rep_leading(const struct rep *r)
{
	return r->leading;
}

/*
 * Whether this replica stores entries, so that its state keeps up with the
 * leader's; false while its disk is full.
 */
bool rep_is_storing(const struct rep *r)
{
	return !vot_is_full(r->vot);
}

/* Whether the data folder failed; if so, the process must end. */
bool rep_failed(const struct rep *r)
{
	return vot_failed(r->vot);
}

/*
 * Returns the time at which leadership was last confirmed by a quorum, on the
 * clock of the timer service, ms. For one election timeout after it nobody else
 * leads, unless leadership is being transferred.
 */
int64_t rep_confirmed_ms(const struct rep *r)
{
	return cns_confirmed_ms(r->cns);
}

/*
 * Whether another replica may become leader because of a leadership transfer
 * that this replica started.
 */
bool rep_transfer_pending(const struct rep *r)
{
	return cns_transfer_pending(r->cns);
}

/* Returns the current term; at most one leader is ever elected in a term. */
uint64_t rep_term(const struct rep *r)
{
	return cns_term(r->cns);
}

/* Returns the address of the leader, to be freed; NULL if it is not known. */
char *rep_leader_addr(const struct rep *r)
{
	const struct cns_member *m =
		cns_find_member(cns_members(r->cns), cns_leader(r->cns));

	return m ? g_strdup(m->addr) : NULL;
}

/*
 * Returns the address of a replica that may lead, to be freed, or NULL: the
 * leader, or, while this replica hears of none, the one that its peers told of.
 * It serves to send callers on. What this replica knows may be long out of date
 * then, so that it must answer nothing from it.
 */
char *rep_leader_hint(const struct rep *r)
{
	char *addr = rep_leader_addr(r);

	return addr ? addr : g_strdup(rep_told_leader(r));
}

/* Returns the membership as this replica knows it. */
const struct cns_members *rep_members(const struct rep *r)
{
	return cns_members(r->cns);
}

/* Returns statistics of the connections with own processes. */
struct wire_stats rep_wire_stats(const struct rep *r)
{
	return wire_stats(r->wire);
}

/* Returns the number of syncs since the start. */
uint64_t rep_syncs(const struct rep *r)
{
	return vot_syncs(r->vot);
}

/* Returns the histogram of sync durations. */
const struct cnt_times *rep_sync_times(const struct rep *r)
{
	return vot_sync_times(r->vot);
}

/*
 * Returns the histogram of the times without a known leader, each counted when
 * a leader was found.
 */
const struct cnt_times *rep_leaderless_times(const struct rep *r)
{
	return &r->leaderless;
}

/* Returns the moving mean of the duration of a sync, us. */
int64_t rep_sync_us(const struct rep *r)
{
	return vot_sync_us(r->vot);
}

/*
 * Opens the data folder and writes the initial membership if this is a seed of
 * a new fleet.
 */
static bool rep_open(struct rep *r, GError **err)
{
	struct vot_config config = {
		.node = r->config.node,
		.data = r->config.data,
		.new_id = rep_new_id(&r->config),
		.now_ms = tmr_now(r->config.tmr),
		.heartbeat_ms = REP_HEARTBEAT_MS,
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
 * Returns the id for a new folder. The id of a seed of a new fleet is derived
 * from its address, so that all seeds start with the same membership without
 * exchanging messages. A folder that is empty for any other reason gets a
 * random id: the machine may have acknowledged something before and must join
 * as another member.
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

/* Returns the id derived from a seed's address. */
static uint64_t rep_seed_id(const char *addr)
{
	uint64_t id;

	crypto_generichash((unsigned char *)&id, sizeof(id),
			   (const unsigned char *)addr, strlen(addr), NULL, 0);
	return id ? id : 1;
}

/* Whether an address is one of the seeds. */
static bool rep_is_seed(const struct rep_config *config, const char *addr)
{
	return g_strv_contains((const char *const *)config->seeds, addr);
}

/*
 * Writes the seeds as the initial membership, if this is a seed of a new fleet.
 */
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

/*
 * Returns the peer at an address, which is created if it is new; NULL for this
 * replica's own address.
 */
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

/* Frees a peer. */
static void rep_peer_free(gpointer arg)
{
	struct rep_peer *p = arg;

	g_free(p->addr);
	g_free(p);
}

/*
 * Does all pending consensus work, at the end of an iteration of the event
 * loop. The owner learns of a lost lead before anything is applied: entries of
 * the next leader may have the indexes of commands that the owner still waits
 * for.
 */
static void rep_pump(struct rep *r)
{
	enum cpu_kind before = cpu_enter(CPU_LOG);

	rep_report_leadership(r);
	vot_pump(r->vot);
	rep_report_leadership(r);
	rep_transfer_if_slow(r);
	cpu_leave(before);
}

/* Timer callback: does all pending consensus work. */
static void rep_pump_timer(void *arg, int64_t now)
{
	struct rep *r = arg;

	r->pump_timer = 0;
	rep_pump(r);
}

/* Sends a consensus message to another replica. */
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

/* Whether a message carries log entries or a snapshot chunk. */
static bool rep_is_bulk(const struct cns_msg *m)
{
	return m->entries || m->data;
}

/*
 * Returns the connection opened to the member's address; NULL if it is not up.
 */
static struct wire_conn *rep_conn_to(struct rep *r, uint64_t id)
{
	const struct cns_member *m = cns_find_member(cns_members(r->cns), id);
	GHashTableIter it;
	struct rep_peer *p;

	if (m) {
		p = rep_peer_at(r, m->addr);
		return p && wire_is_up(p->conn) ? p->conn : NULL;
	}
	/*
	 * A new member responds to a leader although it does not know the
	 * membership yet.
	 */
	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
		if (p->id == id && wire_is_up(p->conn))
			return p->conn;
	return NULL;
}

/* Restores the owner's state from a snapshot. */
static bool rep_restore(void *arg, struct lstr snap, GError **err)
{
	struct rep *r = arg;

	if (r->ops->restore(r->arg, snap))
		return true;
	err_set(err, ERR_CORRUPT, "restore", NULL,
		"the snapshot can't be read");
	return false;
}

/* Applies a committed entry. */
static void rep_apply(void *arg, const struct cns_entry *e)
{
	struct rep *r = arg;
	gsize len;
	const char *p = g_bytes_get_data(e->data, &len);

	if (e->kind == CNS_COMMAND)
		r->ops->apply(r->arg, e->index, lstr_n(p, len));
	/*
	 * Everything accepted by earlier leaders precedes this leader's no-op
	 * entry; decisions made before it is applied could miss some of that.
	 */
	if (e->kind == CNS_NOOP && e->term == cns_term(r->cns) &&
	    cns_role(r->cns) == CNS_LEADER && !r->leading) {
		r->leading = true;
		r->lead_term = e->term;
		r->ops->leadership_changed(r->arg, true, e->term);
	}
}

/* Writes the owner's state into a snapshot. */
static void rep_snapshot(void *arg, struct pk_out *o)
{
	struct rep *r = arg;

	r->ops->snapshot(r->arg, o);
}

/* Reports the result of a read to the owner. */
static void rep_read_done(void *arg, const struct cns_read *c)
{
	struct rep *r = arg;

	r->ops->read_done(r->arg, c->tag, c->ok);
}

/*
 * Reports a change of leadership to the owner, to connected daemons and in the
 * log.
 */
static void rep_report_leadership(struct rep *r)
{
	enum cns_role role = cns_role(r->cns);
	uint64_t term = cns_term(r->cns);
	uint64_t leader = cns_leader(r->cns);
	guint i;

	if (r->leading && (role != CNS_LEADER || term != r->lead_term)) {
		r->leading = false;
		r->ops->leadership_changed(r->arg, false, term);
	}
	if (role != r->role || term != r->role_term) {
		msg(MSG_CTL_ROLE, "role=%s term=%" G_GUINT64_FORMAT,
		    cns_role_name(role), term);
		r->role = role;
		r->role_term = term;
	}
	if ((!r->leading && role == CNS_LEADER) || vot_is_full(r->vot))
		leader = 0;
	if (leader == r->announced_leader)
		return;
	if (!leader)
		r->leaderless_ms = tmr_now(r->config.tmr);
	else if (!r->announced_leader)
		cnt_time_ms(&r->leaderless,
			    tmr_now(r->config.tmr) - r->leaderless_ms);
	r->announced_leader = leader;
	for (i = 0; i < r->conns->len; i++)
		rep_send_leader(r, g_ptr_array_index(r->conns, i));
}

/*
 * Transfers leadership if the last syncs were slow, as another replica's disk
 * may be faster.
 */
static void rep_transfer_if_slow(struct rep *r)
{
	int64_t now = tmr_now(r->config.tmr);

	if (vot_syncs(r->vot) == r->syncs)
		return;
	r->syncs = vot_syncs(r->vot);
	r->slow_syncs = vot_last_sync_us(r->vot) > REP_SLOW_SYNC_US
				? r->slow_syncs + 1
				: 0;
	if (!r->leading || r->slow_syncs < REP_SLOW_SYNCS ||
	    now - r->transfer_ms < REP_TRANSFER_INTERVAL_MS)
		return;
	r->transfer_ms = now;
	msg(MSG_CTL_MEMBER, "does=hand-over why=\"slow disk\" sync_us=%" PRId64,
	    vot_sync_us(r->vot));
	rep_transfer_leadership(r);
}

/*
 * The disk has no space, or has some again. Without space this replica is no
 * part of the quorum: it neither leads nor says who does.
 */
static void rep_on_full(void *arg, bool full)
{
	struct rep *r = arg;

	if (full && r->leading) {
		r->leading = false;
		r->ops->leadership_changed(r->arg, false, cns_term(r->cns));
	}
	rep_report_leadership(r);
}

/*
 * The data folder failed: reports the loss of leadership and ends the event
 * loop, so that no request is answered any more.
 */
static void rep_on_failed(void *arg, const GError *why)
{
	struct rep *r = arg;

	if (r->leading) {
		r->leading = false;
		r->ops->leadership_changed(r->arg, false, cns_term(r->cns));
	}
	event_base_loopbreak(r->config.base);
}

/* Timer callback: advances the consensus clock. */
static void rep_tick(void *arg, int64_t now)
{
	struct rep *r = arg;

	if (vot_is_full(r->vot)) {
		rep_pump(r);
		return;
	}
	cns_tick(r->cns, now);
	/*
	 * Between the promotion of a new member and the removal of the one it
	 * replaces, the loss of one more disk can cost the quorum: each step
	 * must follow the previous one without delay.
	 */
	if (cns_role(r->cns) == CNS_LEADER)
		rep_update_members(r, now);
	rep_pump(r);
}

/*
 * Timer callback: connects to all members, sends hellos to the connected peers
 * and logs a missing leader.
 */
static void rep_maintain(void *arg, int64_t now)
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
			rep_send_hello(r, p->conn);
	rep_log_leaderless(r, now);
	rep_pump(r);
}
