#include "ctl_int.h"

#include <sodium.h>
#include <stdio.h>

#include "err.h"
#include "msg.h"
#include "qtb.h"

static bool ctl_peer_add(struct ctl *c, const char *text, GError **err);
static struct ctl_peer *ctl_find_peer_by_name(struct ctl *c, struct lstr name);
static void ctl_bootstrap(struct ctl *c);
static bool ctl_all_peers_empty(const struct ctl *c);
static void ctl_add_members(struct ctl *c);
static void ctl_remove_members(struct ctl *c);
static void ctl_record_change(struct ctl *c, const char *what, const char *name,
			      uint64_t id);
static struct cns_member ctl_make_member(const char *name, const char *addr,
					 uint64_t id);

/*
 * Reads the list of all voters from the settings; returns false with ERR_INPUT
 * if this node is not in it or a node is in it twice.
 */
bool ctl_peers_read(struct ctl *c, GError **err)
{
	char **p;

	for (p = c->config.peers; *p; p++)
		if (!ctl_peer_add(c, *p, err))
			return false;
	if (c->addr)
		return true;
	err_set(err, ERR_INPUT, "read peers", NULL, "node %s is not among them",
		c->config.node);
	return false;
}

/* Frees a peer. */
void ctl_peer_free(gpointer p)
{
	struct ctl_peer *peer = p;

	g_free(peer->addr);
	g_free(peer);
}

/* Returns the peer whose folder has that id now; NULL if there is none. */
struct ctl_peer *ctl_find_peer(struct ctl *c, uint64_t id)
{
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

/* Whether a peer's state and this voter's can belong to the same fleet. */
bool ctl_same_lineage(const struct ctl *c, const struct ctl_peer *p)
{
	uint64_t ours = cns_members(c->cns)->lineage;

	return !ours || !p->lineage || ours == p->lineage;
}

/* Sends a voter the name, folder id, lineage and address of this one. */
void ctl_send_voter(struct ctl *c, struct wire_conn *conn)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, PROTO_VOTER);
	pk_cstr(&o, c->config.node);
	pk_u(&o, c->id);
	pk_u(&o, cns_members(c->cns)->lineage);
	pk_cstr(&o, c->addr);
	wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
}

/* Handles another voter's name, folder id and lineage. */
void ctl_on_voter(struct ctl *c, struct ctl_conn *conn, struct pk_in *in)
{
	struct ctl_peer *p = ctl_find_peer_by_name(c, pk_get_str(in));
	uint64_t id = pk_get_u(in);
	uint64_t lineage = pk_get_u(in);

	if (!pk_in_ok(in) || !p)
		return;
	conn->peer = p;
	p->id = id;
	p->lineage = lineage;
	if (ctl_same_lineage(c, p) || p->foreign_logged)
		return;
	p->foreign_logged = true;
	msg(MSG_CTL_FOREIGN,
	    "node=%s why=\"its folder holds the state of another fleet, or of "
	    "one recovered without it\" does=\"its messages are ignored; "
	    "remove its "
	    "folder\"",
	    p->name);
}

/* Updates the membership: creates a new fleet, adds and removes voters. */
void ctl_update_members(struct ctl *c)
{
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		if (wire_is_up(p->conn))
			ctl_send_voter(c, p->conn);
	}
	if (cns_last(c->cns) == 0) {
		ctl_bootstrap(c);
		return;
	}
	if (cns_role(c->cns) != CNS_LEADER)
		return;
	ctl_add_members(c);
	ctl_remove_members(c);
}

/* Packs the result of the query "voters". */
void ctl_query_voters(struct ctl *c, struct pk_out *out)
{
	static const char *const cols[] = {"voter",  "folder", "addr",
					   "kind",   "role",   "term",
					   "leader", "commit", "match"};
	const struct cns_members *s = cns_members(c->cns);
	const struct cns_member *leader =
		cns_find_member(s, cns_leader(c->cns));
	struct qtb t;
	int i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < s->n; i++) {
		const struct cns_member *m = &s->m[i];
		struct pk_out *o = qtb_row(&t);
		char id[20];

		g_snprintf(id, sizeof(id), "%016" G_GINT64_MODIFIER "x", m->id);
		pk_cstr(o, m->name);
		pk_cstr(o, id);
		pk_cstr(o, m->addr);
		pk_cstr(o, m->voter ? "voter" : "learner");
		pk_cstr(o, m->id == c->id ? cns_role_name(cns_role(c->cns))
			   : m == leader  ? "leader"
					  : "");
		pk_u(o, cns_term(c->cns));
		pk_cstr(o, leader ? leader->name : "");
		pk_u(o, cns_commit(c->cns));
		pk_u(o, cns_match(c->cns, m->id));
	}
	qtb_finish(&t, out);
}

static bool ctl_peer_add(struct ctl *c, const char *text, GError **err)
{
	struct lstr name;
	struct lstr addr;
	struct ctl_peer *p;

	lstr_cut(lstr_from(text), '=', &name, &addr);
	g_assert(name.len > 0 && name.len <= KEY_NAME_MAX);
	if (lstr_eq(name, lstr_from(c->config.node))) {
		c->addr = addr.p;
		return true;
	}
	if (ctl_find_peer_by_name(c, name)) {
		err_set(err, ERR_INPUT, "read peers", NULL,
			LSTR_FMT " stands twice", LSTR_ARG(name));
		return false;
	}
	p = g_new0(struct ctl_peer, 1);
	p->ctl = c;
	g_snprintf(p->name, sizeof(p->name), LSTR_FMT, LSTR_ARG(name));
	p->addr = lstr_dup(addr);
	g_ptr_array_add(c->peers, p);
	return true;
}

static struct ctl_peer *ctl_find_peer_by_name(struct ctl *c, struct lstr name)
{
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		if (lstr_eq(name, lstr_from(p->name)))
			return p;
	}
	return NULL;
}

/*
 * Creates a new fleet if the settings allow it. Only the voter that is first by
 * name does so, and only while every other voter is connected and reports that
 * it has no state: a voter that lost its folder must not create a second fleet
 * beside the first.
 */
static void ctl_bootstrap(struct ctl *c)
{
	struct cns_members s = {.n = 1};
	guint i;

	if (!c->config.initial || cns_term(c->cns) || !ctl_all_peers_empty(c))
		return;
	s.m[0] = ctl_make_member(c->config.node, c->addr, c->id);
	for (i = 0; i < c->peers->len && s.n < CNS_MEMBERS_MAX; i++) {
		const struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		s.m[s.n++] = ctl_make_member(p->name, p->addr, p->id);
	}
	randombytes_buf(&s.lineage, sizeof(s.lineage));
	cns_bootstrap(c->cns, &s);
	msg(MSG_CTL_MEMBER, "act=begin voters=%d", s.n);
}

static bool ctl_all_peers_empty(const struct ctl *c)
{
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		const struct ctl_peer *p = g_ptr_array_index(c->peers, i);

		if (!wire_is_up(p->conn) || !p->id || p->lineage ||
		    strcmp(p->name, c->config.node) < 0)
			return false;
	}
	return true;
}

/* Adds new members, first as learners; one change at a time. */
static void ctl_add_members(struct ctl *c)
{
	guint i;

	for (i = 0; i < c->peers->len; i++) {
		struct ctl_peer *p = g_ptr_array_index(c->peers, i);
		const struct cns_member *m =
			cns_find_member(cns_members(c->cns), p->id);
		struct cns_member learner;

		if (!p->id || !wire_is_up(p->conn) || !ctl_same_lineage(c, p) ||
		    (m && m->voter))
			continue;
		if (m) {
			if (cns_promote(c->cns, p->id) == CNS_OK)
				ctl_record_change(c, "promote", p->name, p->id);
			continue;
		}
		learner = ctl_make_member(p->name, p->addr, p->id);
		if (cns_add_learner(c->cns, &learner) == CNS_OK)
			ctl_record_change(c, "learn", p->name, p->id);
	}
}

/*
 * Removes a member once it is replaced: another folder of its node is a voter,
 * or the settings don't contain it. Members are added before any is removed:
 * while a reachable peer is not a voter yet, nothing is removed, so that there
 * are never fewer copies than before.
 */
static void ctl_remove_members(struct ctl *c)
{
	const struct cns_members s = *cns_members(c->cns);
	int i;
	guint k;

	for (k = 0; k < c->peers->len; k++) {
		const struct ctl_peer *p = g_ptr_array_index(c->peers, k);
		const struct cns_member *m = cns_find_member(&s, p->id);

		if (p->id && (!m || !m->voter))
			return;
	}
	for (i = 0; i < s.n; i++) {
		const struct cns_member *m = &s.m[i];
		const struct ctl_peer *p =
			ctl_find_peer_by_name(c, lstr_from(m->name));
		bool named = p && (!p->id || p->id == m->id);

		if (m->id == c->id || named)
			continue;
		if (cns_remove(c->cns, m->id) == CNS_OK)
			ctl_record_change(c, "remove", m->name, m->id);
	}
}

static void ctl_record_change(struct ctl *c, const char *what, const char *name,
			      uint64_t id)
{
	char *text =
		g_strdup_printf("voter %s: %s folder %016" G_GINT64_MODIFIER
				"x",
				name, what, id);
	char *note = g_strdup_printf("voter-%016" G_GINT64_MODIFIER
				     "x-%s-%" G_GUINT64_FORMAT,
				     id, what, cns_last(c->cns));

	msg(MSG_CTL_MEMBER, "act=%s node=%s folder=%016" G_GINT64_MODIFIER "x",
	    what, name, id);
	ctl_note(c, note, text);
	g_free(text);
	g_free(note);
}

static struct cns_member ctl_make_member(const char *name, const char *addr,
					 uint64_t id)
{
	struct cns_member m = {.id = id, .voter = true};

	g_strlcpy(m.name, name, sizeof(m.name));
	g_strlcpy(m.addr, addr, sizeof(m.addr));
	return m;
}
