#include "cns.h"
#include "pk.h"
#include "proto.h"

#define CNS_MEMBER_FIELDS 4
#define CNS_ENTRY_FIELDS 3
#define CNS_MSG_FIELDS 18

static void cns_put_members(const struct cns_members *s, struct pk_out *o);
static bool cns_get_members(struct pk_in *in, struct cns_members *out);
static bool cns_get_text(struct pk_in *in, char *out, size_t cap);
static void cns_get_entries(struct pk_in *in, struct cns_msg *m);
static GBytes *cns_get_bytes(struct pk_in *in);

/* Packs a membership as one array. */
void cns_members_pack(const struct cns_members *s, struct pk_out *o)
{
	cns_put_members(s, o);
}

/*
 * Decodes a membership packed by cns_members_pack; returns false if the bytes
 * are malformed.
 */
bool cns_members_unpack(struct lstr bytes, struct cns_members *out)
{
	struct pk_in in;
	bool ok;

	if (!pk_in_init(&in, bytes))
		return false;
	ok = cns_get_members(&in, out);
	pk_in_done(&in);
	return ok;
}

/* Packs a message for the wire, starting with PROTO_CNS. */
void cns_msg_pack(const struct cns_msg *m, struct pk_out *o)
{
	guint n = m->entries ? m->entries->len : 0;
	gsize len = 0;
	const char *p = m->data ? g_bytes_get_data(m->data, &len) : "";
	guint i;

	pk_arr(o, CNS_MSG_FIELDS);
	pk_u(o, PROTO_CNS);
	pk_u(o, m->kind);
	pk_u(o, m->from);
	pk_u(o, m->to);
	pk_u(o, m->term);
	pk_u(o, m->index);
	pk_u(o, m->log_term);
	pk_u(o, m->commit);
	pk_u(o, m->round);
	pk_u(o, m->prev);
	pk_u(o, m->offset);
	pk_u(o, m->total);
	pk_bool(o, m->ok);
	pk_bool(o, m->pre_vote);
	pk_bool(o, m->transfer);
	cns_put_members(&m->members, o);
	pk_arr(o, n);
	for (i = 0; i < n; i++) {
		const struct cns_entry *e =
			&g_array_index(m->entries, struct cns_entry, i);
		gsize e_len;
		const char *e_p = g_bytes_get_data(e->data, &e_len);

		pk_arr(o, CNS_ENTRY_FIELDS);
		pk_u(o, e->term);
		pk_u(o, e->kind);
		pk_str(o, lstr_n(e_p ? e_p : "", e_len));
	}
	pk_str(o, lstr_n(p ? p : "", len));
}

/* Decodes a message packed by cns_msg_pack; returns NULL if it is malformed. */
struct cns_msg *cns_msg_unpack(struct lstr bytes)
{
	struct cns_msg *m;
	struct pk_in members;
	struct pk_in in;
	bool ok;

	if (!pk_in_init(&in, bytes))
		return NULL;
	m = g_new0(struct cns_msg, 1);
	ok = pk_get_u(&in) == PROTO_CNS;
	m->kind = (enum cns_kind)pk_get_u(&in);
	m->from = pk_get_u(&in);
	m->to = pk_get_u(&in);
	m->term = pk_get_u(&in);
	m->index = pk_get_u(&in);
	m->log_term = pk_get_u(&in);
	m->commit = pk_get_u(&in);
	m->round = pk_get_u(&in);
	m->prev = pk_get_u(&in);
	m->offset = pk_get_u(&in);
	m->total = pk_get_u(&in);
	m->ok = pk_get_bool(&in);
	m->pre_vote = pk_get_bool(&in);
	m->transfer = pk_get_bool(&in);
	members = pk_get_arr(&in);
	ok = cns_get_members(&members, &m->members) && ok;
	cns_get_entries(&in, m);
	m->data = cns_get_bytes(&in);
	ok = ok && pk_in_ok(&in) && (unsigned int)m->kind < CNS_KINDS;
	pk_in_done(&in);
	if (ok)
		return m;
	cns_msg_free(m);
	return NULL;
}

/* Returns a copy of a message; entries and data are shared. */
struct cns_msg *cns_msg_copy(const struct cns_msg *m)
{
	struct cns_msg *copy = g_new(struct cns_msg, 1);
	guint i;

	*copy = *m;
	if (m->data)
		g_bytes_ref(m->data);
	if (!m->entries)
		return copy;
	copy->entries = cns_entries_new();
	for (i = 0; i < m->entries->len; i++)
		cns_entries_add(copy->entries,
				&g_array_index(m->entries, struct cns_entry,
					       i));
	return copy;
}

/* Frees a message and drops its references to entries and data. */
void cns_msg_free(struct cns_msg *m)
{
	if (!m)
		return;
	if (m->entries)
		g_array_free(m->entries, TRUE);
	if (m->data)
		g_bytes_unref(m->data);
	g_free(m);
}

static void cns_put_members(const struct cns_members *s, struct pk_out *o)
{
	int i;

	pk_arr(o, s->n + 1);
	pk_u(o, s->lineage);
	for (i = 0; i < s->n; i++) {
		pk_arr(o, CNS_MEMBER_FIELDS);
		pk_u(o, s->m[i].id);
		pk_cstr(o, s->m[i].name);
		pk_cstr(o, s->m[i].addr);
		pk_bool(o, s->m[i].voter);
	}
}

static bool cns_get_members(struct pk_in *in, struct cns_members *out)
{
	bool ok = pk_in_left(in) <= CNS_MEMBERS_MAX + 1;

	*out = (struct cns_members){.lineage = pk_get_u(in)};
	while (ok && pk_in_left(in)) {
		struct pk_in one = pk_get_arr(in);
		struct cns_member *m = &out->m[out->n++];

		m->id = pk_get_u(&one);
		ok = cns_get_text(&one, m->name, sizeof(m->name)) &&
		     cns_get_text(&one, m->addr, sizeof(m->addr));
		m->voter = pk_get_bool(&one);
		ok = ok && pk_in_ok(&one);
	}
	return ok && pk_in_ok(in);
}

static bool cns_get_text(struct pk_in *in, char *out, size_t cap)
{
	struct lstr s = pk_get_str(in);

	if (s.len >= cap)
		return false;
	memcpy(out, s.p, s.len);
	out[s.len] = '\0';
	return true;
}

/*
 * Decodes the entries; their indexes are consecutive from m->index, so that a
 * message cannot contain a gap.
 */
static void cns_get_entries(struct pk_in *in, struct cns_msg *m)
{
	struct pk_in list = pk_get_arr(in);
	uint64_t index = m->index;

	if (!pk_in_left(&list))
		return;
	m->entries = cns_entries_new();
	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct cns_entry e = {0};

		e.index = ++index;
		e.term = pk_get_u(&one);
		e.kind = (enum cns_entry_kind)pk_get_u(&one);
		e.data = cns_get_bytes(&one);
		in->bad = in->bad || !pk_in_ok(&one);
		cns_entries_add(m->entries, &e);
		g_bytes_unref(e.data);
	}
}

static GBytes *cns_get_bytes(struct pk_in *in)
{
	struct lstr s = pk_get_str(in);

	return g_bytes_new(s.p, s.len);
}
