#include "rep_int.h"

/*
 * Automatic membership changes: describes the members to vtp, which decides, and
 * carries out what it decides. Only the leader does this.
 */

static bool rep_add_learner(struct rep *r, int64_t now);
static void rep_describe(struct rep *r, const struct cns_members *s,
			 int64_t now, struct vtp_member *out);
static void rep_describe_peer(struct rep *r, const struct cns_members *s,
			      const struct rep_peer *p, int64_t now,
			      struct vtp_member *m);
static int64_t rep_even_ms(struct rep *r, const struct cns_members *s,
			   int64_t now);
static void rep_log_waiting(struct rep *r, const struct cns_member *m,
			    enum cns_refusal refusal, int64_t now);

/* How a decided change is carried out. */
static const struct {
	const char *name;
	enum cns_refusal (*apply)(struct cns *c, uint64_t id);
} rep_changes[VTP_KINDS] = {
	[VTP_PROMOTE] = {"voter", cns_promote},
	[VTP_DEMOTE] = {"learner", cns_demote},
	[VTP_REMOVE] = {"removed", cns_remove},
};

/*
 * Starts the next change of the membership, if there is one. A new member that
 * cannot be added yet must not keep other changes from being made.
 */
void rep_update_members(struct rep *r, int64_t now)
{
	const struct cns_members s = *cns_members(r->cns);
	struct vtp_member m[CNS_MEMBERS_MAX];
	const struct cns_member *changed;
	struct vtp_change change;
	enum cns_refusal refusal;

	if (rep_add_learner(r, now))
		return;
	rep_describe(r, &s, now, m);
	change = vtp_next(&(struct vtp_group){
		.way = r->config.voters,
		.m = m,
		.n = s.n,
		.full = s.n == CNS_MEMBERS_MAX,
		.voters_min = (int)r->config.voters_min,
		.even_ms = rep_even_ms(r, &s, now),
	});
	if (change.kind == VTP_NONE)
		return;
	changed = cns_find_member(&s, change.id);
	refusal = rep_changes[change.kind].apply(r->cns, change.id);
	if (refusal == CNS_OK)
		msg(MSG_CTL_MEMBER,
		    "does=%s addr=%s zone=%s folder=%016" G_GINT64_MODIFIER
		    "x why=\"%s\"",
		    rep_changes[change.kind].name, changed->addr,
		    rep_zone_of(r, changed), change.id, change.why);
	else if (change.kind == VTP_PROMOTE)
		rep_log_waiting(r, changed, refusal, now);
}

/* Adds a peer that isn't a member as a learner; false if there is none. */
static bool rep_add_learner(struct rep *r, int64_t now)
{
	GHashTableIter it;
	struct rep_peer *p;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p)) {
		struct cns_member m = {.id = p->id};

		if (!p->id || now - p->heard_ms > REP_SILENCE_MS ||
		    cns_find_member(cns_members(r->cns), p->id))
			continue;
		g_strlcpy(m.addr, p->addr, sizeof(m.addr));
		g_strlcpy(m.name, p->addr, sizeof(m.name));
		if (cns_add_learner(r->cns, &m) != CNS_OK)
			continue;
		msg(MSG_CTL_MEMBER, "does=learner addr=%s why=\"it is new\"",
		    m.addr);
		return true;
	}
	return false;
}

/* Describes each member as this replica, the leader, sees it. */
static void rep_describe(struct rep *r, const struct cns_members *s,
			 int64_t now, struct vtp_member *out)
{
	int i;

	for (i = 0; i < s->n; i++) {
		const struct cns_member *m = &s->m[i];
		const struct rep_peer *p =
			g_hash_table_lookup(r->peers, m->addr);

		out[i] = (struct vtp_member){
			.id = m->id,
			.zone = rep_zone_of(r, m),
			.voter = m->voter,
			.self = m->id == r->id,
		};
		if (p)
			rep_describe_peer(r, s, p, now, &out[i]);
		else if (m->id != r->id && strcmp(m->addr, r->config.addr) == 0)
			/* this replica itself has taken the old one's place */
			out[i].folder_lost = out[i].successor = true;
	}
}

/* Describes the member at a peer's address. */
static void rep_describe_peer(struct rep *r, const struct cns_members *s,
			      const struct rep_peer *p, int64_t now,
			      struct vtp_member *m)
{
	int64_t silent_ms = now - p->heard_ms;
	bool reached = p->id == m->id && silent_ms <= REP_SILENCE_MS;

	m->silent_ms = silent_ms > REP_SILENCE_MS ? silent_ms : 0;
	m->folder_lost = p->id && p->id != m->id;
	m->successor = m->folder_lost && cns_find_member(s, p->id);
	if (!reached)
		return;
	m->steady_ms = MAX(1, now - p->since_ms);
	m->ready = !m->voter && cns_is_caught_up(r->cns, m->id);
}

/* Returns for how long the number of voters has been even, ms. */
static int64_t rep_even_ms(struct rep *r, const struct cns_members *s,
			   int64_t now)
{
	int voters = 0;
	int i;

	for (i = 0; i < s->n; i++)
		voters += s->m[i].voter;
	if (voters % 2 || !r->even_since_ms)
		r->even_since_ms = now;
	return now - r->even_since_ms;
}

/* Logs at intervals why a learner cannot be promoted yet. */
static void rep_log_waiting(struct rep *r, const struct cns_member *m,
			    enum cns_refusal refusal, int64_t now)
{
	if (now - r->learner_log_ms < REP_LEARNER_LOG_MS)
		return;
	r->learner_log_ms = now;
	msg(MSG_REP_LEARNER,
	    "addr=%s why=\"%s\" match=%" PRIu64 " commit=%" PRIu64
	    " last=%" PRIu64,
	    m->addr, cns_refusal_name(refusal), cns_match(r->cns, m->id),
	    cns_commit(r->cns), cns_last(r->cns));
}

/*
 * Returns a member's availability zone as its connection told it; "" if it was
 * never connected to this replica.
 */
const char *rep_zone_of(const struct rep *r, const struct cns_member *m)
{
	const struct rep_peer *p = g_hash_table_lookup(r->peers, m->addr);

	if (m->id == r->id)
		return r->config.zone;
	return p ? wire_zone(p->conn) : "";
}
