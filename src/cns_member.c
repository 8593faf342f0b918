#include "cns_int.h"
#include "pk.h"

/*
 * Membership changes add or remove one member at a time: quorums of consecutive
 * memberships then always share a voter, so that two leaders cannot be elected
 * by sets that do not know of each other.
 */

static enum cns_refusal cns_check_change(const struct cns *c);
static void cns_propose_members(struct cns *c, const struct cns_members *s);
static bool cns_caught_up(const struct cns *c, struct cns_peer *p);
static enum cns_refusal cns_edit_members(const struct cns *c, uint64_t id,
					 struct cns_members *s,
					 struct cns_member **m);

/* Returns the text that logs give for a refusal. */
const char *cns_refusal_name(enum cns_refusal refusal)
{
	static const char *const names[] = {
		[CNS_OK] = "done",
		[CNS_NOT_LEADER] = "not the leader",
		[CNS_BUSY] = "another change isn't final yet",
		[CNS_NOT_CAUGHT_UP] = "behind",
		[CNS_NO_SUCH_MEMBER] = "no such member",
		[CNS_LEADS] = "it leads",
	};

	return names[refusal];
}

/* Returns the current membership, committed or not. */
const struct cns_members *cns_members(const struct cns *c)
{
	return &g_array_index(c->changes, struct cns_membership,
			      c->changes->len - 1)
			.members;
}

/* Returns the index of the entry that set the current membership. */
uint64_t cns_members_index(const struct cns *c)
{
	return g_array_index(c->changes, struct cns_membership,
			     c->changes->len - 1)
		.index;
}

/* Returns the membership that was in effect at index. */
const struct cns_members *cns_members_at(const struct cns *c, uint64_t index)
{
	guint i = c->changes->len - 1;

	while (i > 0 &&
	       g_array_index(c->changes, struct cns_membership, i).index >
		       index)
		i--;
	return &g_array_index(c->changes, struct cns_membership, i).members;
}

/* Returns the member with that id; NULL if there is none. */
const struct cns_member *cns_find_member(const struct cns_members *s,
					 uint64_t id)
{
	int i;

	for (i = 0; i < s->n; i++)
		if (s->m[i].id == id)
			return &s->m[i];
	return NULL;
}

/* Whether id is a voter, which counts towards a quorum. */
bool cns_is_voter(const struct cns *c, uint64_t id)
{
	const struct cns_member *m = cns_find_member(cns_members(c), id);

	return m && m->voter;
}

/*
 * Returns the number of voters that make a quorum: more than half. Exactly half
 * is not enough.
 */
int cns_quorum(const struct cns *c)
{
	const struct cns_members *s = cns_members(c);
	int voters = 0;
	int i;

	for (i = 0; i < s->n; i++)
		voters += s->m[i].voter;
	return voters / 2 + 1;
}

/* Adds a learner: a member that receives the log and has no vote. */
enum cns_refusal cns_add_learner(struct cns *c, const struct cns_member *m)
{
	enum cns_refusal r = cns_check_change(c);
	struct cns_members s = *cns_members(c);

	if (r != CNS_OK)
		return r;
	if (cns_find_member(&s, m->id))
		return CNS_OK;
	if (s.n == CNS_MEMBERS_MAX)
		return CNS_BUSY;
	s.m[s.n] = *m;
	s.m[s.n++].voter = false;
	cns_propose_members(c, &s);
	return CNS_OK;
}

/*
 * Makes a learner a voter once it has caught up; the caller repeats the call
 * until then. If the learner had a vote earlier, a second loss right after a
 * repair would leave a quorum that cannot commit until the new member has
 * received the whole log.
 */
enum cns_refusal cns_promote(struct cns *c, uint64_t id)
{
	struct cns_members s;
	struct cns_member *m;
	enum cns_refusal r = cns_edit_members(c, id, &s, &m);

	if (r != CNS_OK)
		return r;
	if (m->voter)
		return CNS_OK;
	if (!cns_caught_up(c, cns_peer(c, id)))
		return CNS_NOT_CAUGHT_UP;
	m->voter = true;
	cns_propose_members(c, &s);
	return CNS_OK;
}

/*
 * Whether a learner has caught up: it holds all committed entries, or it
 * reached within one election timeout the index that was the log's last at an
 * earlier check (Raft thesis, 4.2.1). Under a steady stream of commands a
 * learner is always a round trip behind, and a check that finds nothing missing
 * may not occur while the load lasts. The entries it lacks then delay a quorum
 * for no longer than an election would.
 */
static bool cns_caught_up(const struct cns *c, struct cns_peer *p)
{
	bool reached;
	bool in_time;

	if (!p)
		return false;
	reached = p->catch_up_to && p->match >= p->catch_up_to;
	in_time = c->now - p->catch_up_ms < c->config.election_ms;
	if (p->match >= c->commit || (reached && in_time))
		return true;
	if (reached || !p->catch_up_to) {
		p->catch_up_to = cns_last(c);
		p->catch_up_ms = c->now;
	}
	return false;
}

/*
 * Whether this member leads and another has caught up, so that cns_promote would
 * not refuse it as being behind.
 */
bool cns_is_caught_up(struct cns *c, uint64_t id)
{
	return c->role == CNS_LEADER && cns_caught_up(c, cns_peer(c, id));
}

/*
 * Makes a voter a learner, which receives the log as before. The leader keeps
 * its vote: without it, it would have to step down as soon as the change is
 * committed, and everybody would wait for an election; the caller chooses
 * another voter.
 */
enum cns_refusal cns_demote(struct cns *c, uint64_t id)
{
	struct cns_members s;
	struct cns_member *m;
	enum cns_refusal r = cns_edit_members(c, id, &s, &m);

	if (r != CNS_OK)
		return r;
	if (id == c->config.id)
		return CNS_LEADS;
	if (!m->voter)
		return CNS_OK;
	m->voter = false;
	cns_propose_members(c, &s);
	return CNS_OK;
}

/* Removes a member permanently. */
enum cns_refusal cns_remove(struct cns *c, uint64_t id)
{
	struct cns_members s;
	struct cns_member *m;
	enum cns_refusal r = cns_edit_members(c, id, &s, &m);

	if (r != CNS_OK)
		return r;
	*m = s.m[--s.n];
	cns_propose_members(c, &s);
	return CNS_OK;
}

/* Updates peers and role to the current membership. */
void cns_members_changed(struct cns *c)
{
	const struct cns_members *s = cns_members(c);
	struct cns_peer old[CNS_MEMBERS_MAX];
	int n_old = c->n_peers;
	int i;
	int j;

	memcpy(old, c->peers, sizeof(old));
	c->n_peers = 0;
	for (i = 0; i < s->n; i++) {
		struct cns_peer p = {
			.id = s->m[i].id,
			.next = 1,
			.heard_ms = c->now,
			.progress_ms = c->now,
		};

		if (p.id == c->config.id)
			continue;
		for (j = 0; j < n_old; j++) {
			if (old[j].id != p.id)
				continue;
			p = old[j];
			old[j].snap = NULL;
		}
		c->peers[c->n_peers++] = p;
	}
	for (j = 0; j < n_old; j++)
		cns_snap_free(old[j].snap);
	if (cns_is_voter(c, c->config.id))
		cns_event(c, CNS_EV_JOINED);
	else if (c->role != CNS_LEADER)
		cns_event(c, CNS_EV_LEFT);
}

/* Records the membership that the entry at index sets. */
void cns_changes_add(struct cns *c, uint64_t index, const struct cns_members *s)
{
	struct cns_membership change = {.index = index, .members = *s};

	g_array_append_val(c->changes, change);
}

/* Drops the memberships set by entries from an index on. */
void cns_changes_truncate(struct cns *c, uint64_t from)
{
	while (c->changes->len > 1 && cns_members_index(c) >= from)
		g_array_set_size(c->changes, c->changes->len - 1);
}

/* Replaces all recorded memberships by the one of a snapshot. */
void cns_changes_reset(struct cns *c, uint64_t index,
		       const struct cns_members *s)
{
	g_array_set_size(c->changes, 0);
	cns_changes_add(c, index, s);
}

/*
 * Checks whether a membership change may start. It must wait for the previous
 * one and for a committed entry of the current term: a change of an earlier
 * leader may otherwise take effect beside the new one, and the two sets would
 * differ by two members.
 */
static enum cns_refusal cns_check_change(const struct cns *c)
{
	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	if (c->transfer_end || cns_members_index(c) > c->commit ||
	    cns_term_at(c, c->commit) != c->term)
		return CNS_BUSY;
	return CNS_OK;
}

static void cns_propose_members(struct cns *c, const struct cns_members *s)
{
	struct pk_out o;
	struct lstr view;

	pk_out_init(&o);
	cns_members_pack(s, &o);
	view = pk_out_view(&o);
	cns_append_new(c, CNS_MEMBERS, g_bytes_new(view.p, view.len));
	pk_out_done(&o);
}

/*
 * Returns in s a copy of the membership to edit, and in m the member with that
 * id in it.
 */
static enum cns_refusal cns_edit_members(const struct cns *c, uint64_t id,
					 struct cns_members *s,
					 struct cns_member **m)
{
	enum cns_refusal r = cns_check_change(c);
	const struct cns_member *found;

	*s = *cns_members(c);
	found = cns_find_member(s, id);
	*m = found ? &s->m[found - s->m] : NULL;
	if (r == CNS_OK && !found)
		r = CNS_NO_SUCH_MEMBER;
	return r;
}
