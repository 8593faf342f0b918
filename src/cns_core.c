#include "cns_int.h"
#include "pk.h"

typedef void (*cns_action_fn)(struct cns *c);
typedef void (*cns_step_fn)(struct cns *c, const struct cns_msg *m);

static void cns_load(struct cns *c, const struct cns_stored *stored);
static bool cns_step_term(struct cns *c, const struct cns_msg *m);
static void cns_step_old(struct cns *c, const struct cns_msg *m);
static void cns_give_entries(struct cns *c, struct cns_ready *rd);
static GPtrArray *cns_msgs_new(void);
static void cns_entry_clear(gpointer p);

static const char *const cns_states[CNS_ROLES] = {
	[CNS_OUTSIDE] = "outside",
	[CNS_FOLLOWER] = "follower",
	[CNS_PRE_CANDIDATE] = "pre-candidate",
	[CNS_CANDIDATE] = "candidate",
	[CNS_LEADER] = "leader",
};

static const char *const cns_events[CNS_EVENTS] = {
	[CNS_EV_TIMEOUT] = "timeout",
	[CNS_EV_PRE_WON] = "pre-won",
	[CNS_EV_WON] = "won",
	[CNS_EV_HAND_OVER] = "hand-over",
	[CNS_EV_LEADER_HEARD] = "leader-heard",
	[CNS_EV_QUORUM_LOST] = "quorum-lost",
	[CNS_EV_NEWER_TERM] = "newer-term",
	[CNS_EV_JOINED] = "joined",
	[CNS_EV_LEFT] = "left",
};

/* Actions of the chart, by the order of their names. */
static const char *const cns_action_names[] = {
	"follow", "ask-pre-votes", "ask-votes", "ask-votes-now", "lead",
};

static const cns_action_fn cns_actions[] = {
	cns_follow,	   cns_ask_pre_votes, cns_ask_votes,
	cns_ask_votes_now, cns_lead,
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
	[CNS_VOTE_ASK] = cns_on_vote_ask,
	[CNS_VOTE_ANSWER] = cns_on_vote_answer,
	[CNS_APPEND] = cns_on_append,
	[CNS_APPEND_ANSWER] = cns_on_append_answer,
	[CNS_SNAP] = cns_on_snap,
	[CNS_SNAP_ANSWER] = cns_on_snap_answer,
	[CNS_HAND_OVER] = cns_on_hand_over,
};

/*
 * A member that goes on from what its disk held; all of it counts as synced.
 * Entries must follow the snapshot without a gap.
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
	c->at = c->now;
	c->heard_ms = c->now - config->election_ms;
	c->spared_ms = c->heard_ms - 1;
	c->sure_ms = c->heard_ms;
	c->slept_ms = c->heard_ms;
	c->log = cns_entries_new();
	c->changes = g_array_new(FALSE, TRUE, sizeof(struct cns_change));
	c->reads = g_array_new(FALSE, TRUE, sizeof(struct cns_read_wait));
	c->reads_done = g_array_new(FALSE, TRUE, sizeof(struct cns_read));
	c->early = cns_msgs_new();
	c->late = cns_msgs_new();
	c->chunks = g_byte_array_new();
	c->beats = g_array_new(FALSE, TRUE, sizeof(struct cns_beat_sent));
	cns_load(c, stored);
	/*
	 * What we heard before we began is forgotten: a leader may still count
	 * on the patience that we owe it. A fresh folder owes none.
	 */
	c->quiet_until = c->term ? c->now + config->election_ms : c->now;
	cns_rearm(c);
	cns_members_changed(c);
	return c;
}

/* Frees a member and everything it has not given out. */
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
	g_array_free(c->beats, TRUE);
	g_array_free(c->reads_done, TRUE);
	g_ptr_array_free(c->early, TRUE);
	g_ptr_array_free(c->late, TRUE);
	g_byte_array_free(c->chunks, TRUE);
	cns_snap_free(c->snap);
	g_rand_free(c->rand);
	cht_free(c->chart);
	g_free(c);
}

/*
 * Makes the first members of a new fleet; only on an empty log, and the owner
 * has made sure that nobody else does it or has done it before.
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
	c->deadline = c->now;
}

/* Takes in a message; one for another folder of this node is dropped. */
void cns_step(struct cns *c, const struct cns_msg *m)
{
	if (m->to != c->config.id || m->kind >= CNS_KINDS)
		return;
	if (!cns_step_term(c, m))
		return;
	cns_steps[m->kind](c, m);
}

/*
 * The time at which the messages of this turn are taken in; between two ticks
 * it is ahead of theirs. A leader counts on our patience from when we heard it.
 */
void cns_clock(struct cns *c, int64_t now_ms)
{
	c->at = MAX(c->at, now_ms);
}

/*
 * Moves the clock, which never goes back. A step longer than half of the
 * patience means that we stood still (SIGSTOP, a paused VM): then the leader
 * was perhaps heard and lies unread in a socket, so we wait once more. Not
 * again until a leader was heard: voters whose turns all come late would else
 * never elect one. Votes asked for may lie unread as well, for a few turns.
 */
void cns_tick(struct cns *c, int64_t now_ms)
{
	bool slept = now_ms - c->now > c->config.election_ms / 2;

	if (now_ms < c->now)
		return;
	c->now = now_ms;
	if (c->role == CNS_LEADER) {
		cns_check_quorum(c);
		if (c->role == CNS_LEADER && now_ms >= c->beat_due)
			cns_beat(c);
		return;
	}
	if (slept)
		c->slept_ms = now_ms;
	if (slept && c->spared_ms != c->heard_ms) {
		c->spared_ms = c->heard_ms;
		cns_rearm(c);
	} else if (slept && c->late_turns > 0) {
		c->late_turns--;
		return;
	}
	if (now_ms >= c->deadline)
		cns_event(c, CNS_EV_TIMEOUT);
}

/*
 * What is to be done now; false where nothing is. The owner does it, then
 * calls cns_advance, without any other call between.
 */
bool cns_ready(struct cns *c, struct cns_ready *rd)
{
	*rd = (struct cns_ready){
		.early = c->early,
		.vote_changed = c->vote_changed,
		.term = c->term,
		.vote = c->vote,
		.install = c->install ? c->snap : NULL,
		.late = c->late,
		.reads = c->reads_done,
	};
	cns_give_entries(c, rd);
	if (rd->early->len || rd->vote_changed || rd->install ||
	    rd->entries->len || rd->late->len || rd->committed->len ||
	    rd->reads->len)
		return true;
	g_array_free(rd->entries, TRUE);
	g_array_free(rd->committed, TRUE);
	return false;
}

/* All of rd is done and synced. */
void cns_advance(struct cns *c, struct cns_ready *rd)
{
	g_ptr_array_set_size(c->early, 0);
	g_ptr_array_set_size(c->late, 0);
	g_array_set_size(c->reads_done, 0);
	c->vote_changed = false;
	c->install = false;
	c->stable = cns_last(c);
	if (rd->committed->len)
		c->handed = g_array_index(rd->committed, struct cns_entry,
					  rd->committed->len - 1)
				    .index;
	g_array_free(rd->entries, TRUE);
	g_array_free(rd->committed, TRUE);
	if (c->role == CNS_LEADER)
		cns_count(c);
}

/* Takes an event to the chart; false where the chart rejects it. */
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

/* A message from us to a member, of our term. */
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
 * Queues a message. Early ones promise nothing about our own disk: a leader's
 * entries travel while it syncs them itself, which halves the time of a change.
 * Not before our term is synced, though: after a crash we could lead in it
 * once more, with other entries.
 */
void cns_send(struct cns *c, struct cns_msg *m, bool early)
{
	early = early && !c->vote_changed;
	g_ptr_array_add(early ? c->early : c->late, m);
}

/* What we know of a member; NULL: not a member, or us. */
struct cns_peer *cns_peer(struct cns *c, uint64_t id)
{
	int i;

	for (i = 0; i < c->n_peers; i++)
		if (c->peers[i].id == id)
			return &c->peers[i];
	return NULL;
}

/* What part this member plays. */
enum cns_role cns_role(const struct cns *c)
{
	return (enum cns_role)c->role;
}

/* A role's name as in charts/voter.chart. */
const char *cns_role_name(enum cns_role role)
{
	return cns_states[role];
}

/*
 * When we sent the newest heartbeat that a quorum has answered, ms. From then
 * on for one patience none of these votes for another, so that until then plus
 * a patience nobody else leads, unless we hand over. It counts from sending:
 * an answer may come late, and its sender's patience began when it was sent.
 */
int64_t cns_sure(const struct cns *c)
{
	return c->sure_ms;
}

/* Whether another may begin to lead at any moment because we asked it to. */
bool cns_hands_over(const struct cns *c)
{
	return c->hands_over_until && c->now < c->hands_over_until;
}

/* The term this member is in. */
uint64_t cns_term(const struct cns *c)
{
	return c->term;
}

/* Index of the last entry known to be committed. */
uint64_t cns_commit(const struct cns *c)
{
	return c->commit;
}

/* Id of the leader of this term; 0 where it is not known. */
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
		c->handed = c->snap->index;
		none = c->snap->members;
	}
	cns_changes_reset(c, c->trim_index, &none);
	for (i = 0; stored->entries && i < stored->entries->len; i++)
		cns_append(c, &g_array_index(stored->entries, struct cns_entry,
					     i));
	c->stable = cns_last(c);
}

/* Compares terms; false: the message is dealt with. */
static bool cns_step_term(struct cns *c, const struct cns_msg *m)
{
	if (m->term < c->term) {
		cns_step_old(c, m);
		return false;
	}
	if (m->term == c->term)
		return true;
	if (m->kind == CNS_VOTE_ASK && m->pre)
		return true;
	if (m->kind == CNS_VOTE_ANSWER && m->pre && m->ok)
		return true;
	/*
	 * A member that missed everything, or was removed, asks with a high
	 * term: while we hear a leader it must not push it out.
	 */
	if (m->kind == CNS_VOTE_ASK && !m->now && cns_hears_leader(c))
		return false;
	cns_newer_term(c, m->term);
	return true;
}

/*
 * A message of a term that is over. Its sender is told ours: a leader that was
 * frozen, or a member that missed an election, else goes on for ever.
 */
static void cns_step_old(struct cns *c, const struct cns_msg *m)
{
	struct cns_msg *a;

	if (m->kind == CNS_VOTE_ASK) {
		a = cns_msg_to(c, CNS_VOTE_ANSWER, m->from);
		a->pre = m->pre;
		cns_send(c, a, false);
	} else if (m->kind == CNS_APPEND || m->kind == CNS_SNAP) {
		cns_answer_append(c, m, false, 0);
	}
}

static void cns_give_entries(struct cns *c, struct cns_ready *rd)
{
	uint64_t i;

	rd->entries = cns_entries_new();
	rd->committed = cns_entries_new();
	for (i = c->stable + 1; i <= cns_last(c); i++)
		cns_entries_add(rd->entries, cns_at(c, i));
	for (i = c->handed + 1; i <= c->commit; i++)
		cns_entries_add(rd->committed, cns_at(c, i));
}

static GPtrArray *cns_msgs_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)cns_msg_free);
}

/* A list of entries that holds on to their data. */
GArray *cns_entries_new(void)
{
	GArray *a = g_array_new(FALSE, FALSE, sizeof(struct cns_entry));

	g_array_set_clear_func(a, cns_entry_clear);
	return a;
}

/* Adds an entry; its data is shared. */
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
