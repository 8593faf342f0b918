#include "cns_int.h"
#include "pk.h"

typedef void (*cns_action_fn)(struct cns *c);
typedef void (*cns_step_fn)(struct cns *c, const struct cns_msg *m);

static void cns_load(struct cns *c, const struct cns_stored *stored);
static bool cns_check_term(struct cns *c, const struct cns_msg *m);
static void cns_reject_old_term(struct cns *c, const struct cns_msg *m);
static void cns_fill_ready(struct cns *c, struct cns_ready *rd);
static GPtrArray *cns_msgs_new(void);
static void cns_entry_clear(gpointer p);

static const char *const cns_states[CNS_ROLES] = {
	[CNS_NON_VOTER] = "outside",
	[CNS_FOLLOWER] = "follower",
	[CNS_PRE_CANDIDATE] = "pre-candidate",
	[CNS_CANDIDATE] = "candidate",
	[CNS_LEADER] = "leader",
};

static const char *const cns_events[CNS_EVENTS] = {
	[CNS_EV_TIMEOUT] = "timeout",
	[CNS_EV_PRE_WON] = "pre-won",
	[CNS_EV_WON] = "won",
	[CNS_EV_TIMEOUT_NOW] = "hand-over",
	[CNS_EV_LEADER_HEARD] = "leader-heard",
	[CNS_EV_QUORUM_LOST] = "quorum-lost",
	[CNS_EV_NEWER_TERM] = "newer-term",
	[CNS_EV_JOINED] = "joined",
	[CNS_EV_LEFT] = "left",
};

/* Actions of the state chart, in the order of cns_actions. */
static const char *const cns_action_names[] = {
	"follow", "ask-pre-votes", "ask-votes", "ask-votes-now", "lead",
};

static const cns_action_fn cns_actions[] = {
	cns_become_follower,	     cns_start_pre_vote, cns_start_election,
	cns_start_transfer_election, cns_become_leader,
};

static const struct cht_names cns_chart = {
	.states = cns_states,
	.n_states = CNS_ROLES,
	.events = cns_events,
	.n_events = CNS_EVENTS,
	.actions = cns_action_names,
	.n_actions = G_N_ELEMENTS(cns_action_names),
};

static const cns_step_fn cns_steps[CNS_KINDS] = {
	[CNS_VOTE_REQUEST] = cns_on_vote_request,
	[CNS_VOTE_RESPONSE] = cns_on_vote_response,
	[CNS_APPEND] = cns_on_append,
	[CNS_APPEND_RESPONSE] = cns_on_append_response,
	[CNS_SNAP] = cns_on_snap,
	[CNS_SNAP_RESPONSE] = cns_on_snap_response,
	[CNS_TIMEOUT_NOW] = cns_on_timeout_now,
};

/*
 * Creates a member that continues from the state read from disk; all of that
 * state counts as synced. The entries must follow the snapshot without a gap.
 */
struct cns *cns_new(const struct cns_config *config,
		    const struct cns_stored *stored)
{
	struct cns *c = g_new0(struct cns, 1);

	c->config = *config;
	c->chart = cht_builtin("voter", &cns_chart);
	c->role = cht_start(c->chart);
	c->rand = g_rand_new_with_seed(config->seed);
	c->now = config->now_ms;
	c->arrival_ms = c->now;
	c->heard_ms = c->now - config->election_ms;
	c->excused_ms = c->heard_ms - 1;
	c->confirmed_ms = c->heard_ms;
	c->paused_ms = c->heard_ms;
	c->log = cns_entries_new();
	c->changes = g_array_new(FALSE, TRUE, sizeof(struct cns_membership));
	c->reads = g_array_new(FALSE, TRUE, sizeof(struct cns_read_wait));
	c->reads_done = g_array_new(FALSE, TRUE, sizeof(struct cns_read));
	c->send_now = cns_msgs_new();
	c->send_after_sync = cns_msgs_new();
	c->chunks = g_byte_array_new();
	c->heartbeats = g_array_new(FALSE, TRUE, sizeof(struct cns_heartbeat));
	cns_load(c, stored);
	/*
	 * Messages received before the restart are forgotten, but a leader may
	 * still rely on this member to grant no vote for one election timeout.
	 * A fresh folder has made no such promise.
	 */
	c->no_vote_until = c->term ? c->now + config->election_ms : c->now;
	cns_reset_election_timeout(c);
	cns_members_changed(c);
	return c;
}

/* Frees a member and all work not yet returned by cns_ready. */
void cns_free(struct cns *c)
{
	int i;

	if (!c)
		return;
	for (i = 0; i < c->n_peers; i++)
		cns_snap_free(c->peers[i].snap);
	g_array_free(c->log, TRUE);
	g_array_free(c->changes, TRUE);
	g_array_free(c->reads, TRUE);
	g_array_free(c->heartbeats, TRUE);
	g_array_free(c->reads_done, TRUE);
	g_ptr_array_free(c->send_now, TRUE);
	g_ptr_array_free(c->send_after_sync, TRUE);
	g_byte_array_free(c->chunks, TRUE);
	cns_snap_free(c->snap);
	g_rand_free(c->rand);
	cht_free(c->chart);
	g_free(c);
}

/*
 * Writes the initial membership of a new fleet. The log must be empty, and the
 * owner must ensure that no other member does this or has done it before.
 */
void cns_bootstrap(struct cns *c, const struct cns_members *members)
{
	struct cns_entry e = {.index = 1, .term = 1, .kind = CNS_MEMBERS};
	struct pk_out o;
	struct lstr view;

	g_assert(cns_last(c) == 0 && c->term == 0);
	c->term = 1;
	c->vote_changed = true;
	pk_out_init(&o);
	cns_members_pack(members, &o);
	view = pk_out_view(&o);
	e.data = g_bytes_new(view.p, view.len);
	cns_append(c, &e);
	g_bytes_unref(e.data);
	pk_out_done(&o);
	c->election_due = c->now;
}

/*
 * Processes a message. A message addressed to another folder of this node is
 * dropped.
 */
void cns_step(struct cns *c, const struct cns_msg *m)
{
	if (m->to != c->config.id || m->kind >= CNS_KINDS)
		return;
	if (!cns_check_term(c, m))
		return;
	cns_steps[m->kind](c, m);
}

/*
 * Sets the arrival time of the messages processed from now on; between two
 * ticks it is ahead of the time of cns_tick. A leader relies on the election
 * timeout counting from the time its message was received.
 */
void cns_set_arrival_ms(struct cns *c, int64_t now_ms)
{
	c->arrival_ms = MAX(c->arrival_ms, now_ms);
}

/*
 * Advances the clock, which never goes back. A step longer than half the
 * election timeout means that the process was paused (SIGSTOP, a paused VM): a
 * message of the leader may lie unread in a socket, so the member waits for one
 * more election timeout. It does so only once until a leader is heard again:
 * voters whose ticks are always late would otherwise never elect one. Responses
 * to a vote request may lie unread as well, for a few ticks.
 */
void cns_tick(struct cns *c, int64_t now_ms)
{
	bool paused = now_ms - c->now > c->config.election_ms / 2;

	if (now_ms < c->now)
		return;
	c->now = now_ms;
	if (c->role == CNS_LEADER) {
		cns_check_quorum(c);
		if (c->role == CNS_LEADER && now_ms >= c->heartbeat_due)
			cns_send_heartbeats(c);
		return;
	}
	if (paused)
		c->paused_ms = now_ms;
	if (paused && c->excused_ms != c->heard_ms) {
		c->excused_ms = c->heard_ms;
		cns_reset_election_timeout(c);
	} else if (paused && c->late_ticks_left > 0) {
		c->late_ticks_left--;
		return;
	}
	/*
	 * A learner stands for no election, which would forget the old leader;
	 * it would go on naming one that is dead or cut off.
	 */
	if (c->role == CNS_NON_VOTER &&
	    now_ms - c->heard_ms > 2 * c->config.election_ms)
		c->leader = 0;
	if (now_ms >= c->election_due)
		cns_event(c, CNS_EV_TIMEOUT);
}

/*
 * Returns the pending work in rd; false if there is none. The owner does the
 * work and then calls cns_advance, with no other call in between.
 */
bool cns_ready(struct cns *c, struct cns_ready *rd)
{
	*rd = (struct cns_ready){
		.send_now = c->send_now,
		.vote_changed = c->vote_changed,
		.term = c->term,
		.vote = c->vote,
		.install = c->install ? c->snap : NULL,
		.send_after_sync = c->send_after_sync,
		.reads = c->reads_done,
	};
	cns_fill_ready(c, rd);
	if (rd->send_now->len || rd->vote_changed || rd->install ||
	    rd->entries->len || rd->send_after_sync->len ||
	    rd->committed->len || rd->reads->len)
		return true;
	g_array_free(rd->entries, TRUE);
	g_array_free(rd->committed, TRUE);
	return false;
}

/* Records that all work in rd is done and synced. */
void cns_advance(struct cns *c, struct cns_ready *rd)
{
	g_ptr_array_set_size(c->send_now, 0);
	g_ptr_array_set_size(c->send_after_sync, 0);
	g_array_set_size(c->reads_done, 0);
	c->vote_changed = false;
	c->install = false;
	c->stable = cns_last(c);
	if (rd->committed->len)
		c->delivered = g_array_index(rd->committed, struct cns_entry,
					     rd->committed->len - 1)
				       .index;
	g_array_free(rd->entries, TRUE);
	g_array_free(rd->committed, TRUE);
	if (c->role == CNS_LEADER)
		cns_advance_commit(c);
}

/* Passes an event to the state chart; returns false if the chart rejects it. */
bool cns_event(struct cns *c, enum cns_event ev)
{
	struct cht_step step;

	if (!cht_step(c->chart, c->role, ev, &step))
		return false;
	c->role = step.next;
	if (step.action != CHT_NONE)
		cns_actions[step.action](c);
	return true;
}

/* Returns a new message from this member in its current term. */
struct cns_msg *cns_msg_to(const struct cns *c, enum cns_kind kind, uint64_t to)
{
	struct cns_msg *m = g_new0(struct cns_msg, 1);

	m->kind = kind;
	m->from = c->config.id;
	m->to = to;
	m->term = c->term;
	return m;
}

/*
 * Queues a message. A message that is sent before the sync promises nothing
 * about the local disk: a leader's entries are sent while the leader syncs them
 * itself, which halves the latency of a command. It must not be sent before the
 * current term is synced: after a crash this member could lead again in the
 * same term, with other entries.
 */
void cns_send(struct cns *c, struct cns_msg *m, bool before_sync)
{
	before_sync = before_sync && !c->vote_changed;
	g_ptr_array_add(before_sync ? c->send_now : c->send_after_sync, m);
}

/*
 * Returns the state kept for another member; NULL if id is not a member or is
 * this member.
 */
struct cns_peer *cns_peer(struct cns *c, uint64_t id)
{
	int i;

	for (i = 0; i < c->n_peers; i++)
		if (c->peers[i].id == id)
			return &c->peers[i];
	return NULL;
}

/* Returns the role of this member. */
enum cns_role cns_role(const struct cns *c)
{
	return (enum cns_role)c->role;
}

/* Returns a role's name as in charts/voter.chart. */
const char *cns_role_name(enum cns_role role)
{
	return cns_states[role];
}

/*
 * Returns the time, in ms, at which the newest heartbeat acknowledged by a
 * quorum was sent. None of these voters votes for another candidate for one
 * election timeout after that, so nobody else leads until that time plus an
 * election timeout, unless leadership is being transferred. The time counts
 * from sending: a response may arrive late, and its sender's election timeout
 * began no earlier than the heartbeat was sent.
 */
int64_t cns_confirmed_ms(const struct cns *c)
{
	return c->confirmed_ms;
}

/*
 * Whether another member may become leader at any moment because of a
 * leadership transfer that this member started.
 */
bool cns_transfer_pending(const struct cns *c)
{
	return c->transfer_pending_until && c->now < c->transfer_pending_until;
}

/* Returns the current term of this member. */
uint64_t cns_term(const struct cns *c)
{
	return c->term;
}

/* Returns the commit index. */
uint64_t cns_commit(const struct cns *c)
{
	return c->commit;
}

/* Returns the id of the leader of the current term; 0 if it is not known. */
uint64_t cns_leader(const struct cns *c)
{
	return c->role == CNS_LEADER ? c->config.id : c->leader;
}

static void cns_load(struct cns *c, const struct cns_stored *stored)
{
	struct cns_members none = {0};
	guint i;

	c->term = stored->term;
	c->vote = stored->vote;
	if (stored->snap) {
		c->snap = cns_snap_new(stored->snap->index, stored->snap->term,
				       &stored->snap->members,
				       stored->snap->data);
		c->trim_index = c->snap->index;
		c->trim_term = c->snap->term;
		c->commit = c->snap->index;
		c->delivered = c->snap->index;
		none = c->snap->members;
	}
	cns_changes_reset(c, c->trim_index, &none);
	for (i = 0; stored->entries && i < stored->entries->len; i++)
		cns_append(c, &g_array_index(stored->entries, struct cns_entry,
					     i));
	c->stable = cns_last(c);
}

/*
 * Compares the message's term with the current one; returns false if the
 * message needs no further processing.
 */
static bool cns_check_term(struct cns *c, const struct cns_msg *m)
{
	if (m->term < c->term) {
		cns_reject_old_term(c, m);
		return false;
	}
	if (m->term == c->term)
		return true;
	if (m->kind == CNS_VOTE_REQUEST && m->pre_vote)
		return true;
	if (m->kind == CNS_VOTE_RESPONSE && m->pre_vote && m->ok)
		return true;
	/*
	 * A member that was partitioned or removed requests votes with a high
	 * term. While a leader is heard it must not depose it.
	 */
	if (m->kind == CNS_VOTE_REQUEST && !m->transfer &&
	    cns_leader_is_alive(c))
		return false;
	cns_adopt_term(c, m->term);
	return true;
}

/*
 * Responds to a message of an earlier term with the current term: a leader that
 * was paused, or a member that missed an election, would otherwise go on
 * forever.
 */
static void cns_reject_old_term(struct cns *c, const struct cns_msg *m)
{
	struct cns_msg *a;

	if (m->kind == CNS_VOTE_REQUEST) {
		a = cns_msg_to(c, CNS_VOTE_RESPONSE, m->from);
		a->pre_vote = m->pre_vote;
		cns_send(c, a, false);
	} else if (m->kind == CNS_APPEND || m->kind == CNS_SNAP) {
		cns_respond_append(c, m, false, 0);
	}
}

static void cns_fill_ready(struct cns *c, struct cns_ready *rd)
{
	uint64_t i;

	rd->entries = cns_entries_new();
	rd->committed = cns_entries_new();
	for (i = c->stable + 1; i <= cns_last(c); i++)
		cns_entries_add(rd->entries, cns_entry_at(c, i));
	for (i = c->delivered + 1; i <= c->commit; i++)
		cns_entries_add(rd->committed, cns_entry_at(c, i));
}

static GPtrArray *cns_msgs_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)cns_msg_free);
}

/*
 * Returns an empty list of entries; the list holds a reference to their data.
 */
GArray *cns_entries_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct cns_entry));

	g_array_set_clear_func(a, cns_entry_clear);
	return a;
}

/* Adds a copy of an entry that shares its data. */
void cns_entries_add(GArray *entries, const struct cns_entry *e)
{
	struct cns_entry copy = *e;

	g_bytes_ref(copy.data);
	g_array_append_val(entries, copy);
}

static void cns_entry_clear(gpointer p)
{
	struct cns_entry *e = p;

	g_bytes_unref(e->data);
}
