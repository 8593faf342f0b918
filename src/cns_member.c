#include "cns_int.h"
#include "pk.h"

/*
 * Members change one at a time: quorums of neighbouring sets then always share
 * a voter, so that no two leaders are elected by sets that don't know of each
 * other.
 */

static enum cns_refusal cns_may_change(const struct cns *c);
static void cns_change(struct cns *c, const struct cns_members *s);
static bool cns_caught_up(const struct cns *c, struct cns_peer *p);
static enum cns_refusal cns_edit(const struct cns *c, uint64_t id,
				 struct cns_members *s, struct cns_member **m);

/* Why a request was refused, in the words of logs. */
const char *cns_refusal_name(enum cns_refusal refusal)
{
	static const char *const names[] = {
		[CNS_DONE] = "done",
		[CNS_NOT_LEADER] = "not the leader",
		[CNS_BUSY] = "another change isn't final yet",
		[CNS_NOT_CAUGHT_UP] = "behind",
		[CNS_NO_SUCH_MEMBER] = "no such member",
	};

	return names[refusal];
}

/* The members of now, committed or not. */
const struct cns_members *cns_members(const struct cns *c)
{
	return &g_array_index(c->changes, struct cns_change,
			      c->changes->len - 1)
			.members;
}

/* Index of the entry that made the members of now. */
uint64_t cns_changed_at(const struct cns *c)
{
	return g_array_index(c->changes, struct cns_change, c->changes->len - 1)
		.index;
}

/* The members as of the entry at index. */
const struct cns_members *cns_members_at(const struct cns *c, uint64_t index)
{
	guint i = c->changes->len - 1;

	while (i > 0 &&
	       g_array_index(c->changes, struct cns_change, i).index > index)
		i--;
	return &g_array_index(c->changes, struct cns_change, i).members;
}

/* The member with that id, or NULL. */
const struct cns_member *cns_find(const struct cns_members *s, uint64_t id)
{
	int i;

	for (i = 0; i < s->n; i++)
		if (s->m[i].id == id)
			return &s->m[i];
	return NULL;
}

/* Whether id counts for quorums. */
bool cns_is_voter(const struct cns *c, uint64_t id)
{
	const struct cns_member *m = cns_find(cns_members(c), id);

	return m && m->voter;
}

/* Voters that decide: more than half. Two halves never decide. */
int cns_quorum(const struct cns *c)
{
	const struct cns_members *s = cns_members(c);
	int voters = 0;
	int i;

	for (i = 0; i < s->n; i++)
		voters += s->m[i].voter;
	return voters / 2 + 1;
}

/* Adds a member that gets the log and doesn't count yet. */
enum cns_refusal cns_add_learner(struct cns *c, const struct cns_member *m)
{
	enum cns_refusal r = cns_may_change(c);
	struct cns_members s = *cns_members(c);

	if (r != CNS_DONE)
		return r;
	if (cns_find(&s, m->id))
		return CNS_DONE;
	if (s.n == CNS_MEMBERS_MAX)
		return CNS_BUSY;
	s.m[s.n] = *m;
	s.m[s.n++].voter = false;
	cns_change(c, &s);
	return CNS_DONE;
}

/*
 * Makes a learner a voter once it has caught up; to be asked again and again.
 * Counted before, a second loss right after a repair would leave a quorum that
 * can't commit until the newcomer has everything.
 */
enum cns_refusal cns_promote(struct cns *c, uint64_t id)
{
	struct cns_members s;
	struct cns_member *m;
	enum cns_refusal r = cns_edit(c, id, &s, &m);

	if (r != CNS_DONE)
		return r;
	if (m->voter)
		return CNS_DONE;
	if (!cns_caught_up(c, cns_peer(c, id)))
		return CNS_NOT_CAUGHT_UP;
	m->voter = true;
	cns_change(c, &s);
	return CNS_DONE;
}

/*
 * Whether a learner holds all that is committed, or else all that there was at
 * an earlier look, less than a patience ago (Raft, 4.2.1). Under a steady
 * stream of commands it is always a round trip behind, and a look that finds
 * nothing missing may not come for as long as the load lasts. What it lacks
 * then holds a quorum up for no longer than an election would.
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

/* Takes a member out for good. */
enum cns_refusal cns_remove(struct cns *c, uint64_t id)
{
	struct cns_members s;
	struct cns_member *m;
	enum cns_refusal r = cns_edit(c, id, &s, &m);

	if (r != CNS_DONE)
		return r;
	*m = s.m[--s.n];
	cns_change(c, &s);
	return CNS_DONE;
}

/* Matches peers and role to the members of now. */
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

/* Notes the members that the entry at index makes. */
void cns_changes_add(struct cns *c, uint64_t index, const struct cns_members *s)
{
	struct cns_change change = {.index = index, .members = *s};

	g_array_append_val(c->changes, change);
}

/* Forgets the members that entries from an index on made. */
void cns_changes_cut(struct cns *c, uint64_t from)
{
	while (c->changes->len > 1 && cns_changed_at(c) >= from)
		g_array_set_size(c->changes, c->changes->len - 1);
}

/* Starts anew with the members of a snapshot. */
void cns_changes_reset(struct cns *c, uint64_t index,
		       const struct cns_members *s)
{
	g_array_set_size(c->changes, 0);
	cns_changes_add(c, index, s);
}

/*
 * A change must wait for the one before, and for an entry of our own term: a
 * change of an earlier leader may else come alive beside ours, and the two
 * sets would differ by two.
 */
static enum cns_refusal cns_may_change(const struct cns *c)
{
	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	if (c->hand_over_end || cns_changed_at(c) > c->commit ||
	    cns_term_at(c, c->commit) != c->term)
		return CNS_BUSY;
	return CNS_DONE;
}

static void cns_change(struct cns *c, const struct cns_members *s)
{
	struct pk_out o;
	struct lstr view;

	pk_out_init(&o);
	cns_members_pack(s, &o);
	view = pk_out_view(&o);
	cns_put(c, CNS_MEMBERS, g_bytes_new(view.p, view.len));
	pk_out_done(&o);
}

/* Gives a copy of the members to be changed, and the place of one in it. */
static enum cns_refusal cns_edit(const struct cns *c, uint64_t id,
				 struct cns_members *s, struct cns_member **m)
{
	enum cns_refusal r = cns_may_change(c);
	const struct cns_member *found;

	*s = *cns_members(c);
	found = cns_find(s, id);
	*m = found ? &s->m[found - s->m] : NULL;
	if (r == CNS_DONE && !found)
		r = CNS_NO_SUCH_MEMBER;
	return r;
}
