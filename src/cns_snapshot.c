#include "cns_int.h"

static void cns_trim(struct cns *c, uint64_t index);
static void cns_install(struct cns *c, const struct cns_msg *m);
static bool cns_chunk_fits(const struct cns *c, const struct cns_msg *m);

/* Returns a new snapshot that shares data. */
struct cns_snap *cns_snap_new(uint64_t index, uint64_t term,
			      const struct cns_members *members, GBytes *data)
{
	struct cns_snap *s = g_new0(struct cns_snap, 1);

	s->index = index;
	s->term = term;
	s->members = *members;
	s->data = g_bytes_ref(data);
	return s;
}

/* Frees a snapshot; does nothing if it is NULL. */
void cns_snap_free(struct cns_snap *s)
{
	if (!s)
		return;
	g_bytes_unref(s->data);
	g_free(s);
}

/*
 * Replaces the entries up to index, which must have been applied, by a snapshot
 * of the owner's state after that entry. The last CNS_ENTRIES_KEPT entries stay
 * for members that are only slightly behind. The caller writes the returned
 * snapshot to disk; it is valid until the next call.
 */
const struct cns_snap *cns_compact(struct cns *c, uint64_t index, GBytes *data)
{
	uint64_t term = cns_term_at(c, index);

	g_assert(index <= c->delivered && index > c->trim_index);
	cns_snap_free(c->snap);
	c->snap = cns_snap_new(index, term, cns_members_at(c, index), data);
	if (index > c->trim_index + CNS_ENTRIES_KEPT)
		cns_trim(c, index - CNS_ENTRIES_KEPT);
	return c->snap;
}

/* Sends the next chunk of a snapshot; only one is in flight at a time. */
void cns_send_snap_chunk(struct cns *c, struct cns_peer *p)
{
	struct cns_msg *m;
	gsize total;
	gsize len;

	if (p->n_inflight)
		return;
	if (!p->snap)
		p->snap = cns_snap_new(c->snap->index, c->snap->term,
				       &c->snap->members, c->snap->data);
	total = g_bytes_get_size(p->snap->data);
	len = MIN(total - p->offset, CNS_CHUNK_MAX);
	m = cns_msg_to(c, CNS_SNAP, p->id);
	m->index = p->snap->index;
	m->log_term = p->snap->term;
	m->members = p->snap->members;
	m->round = c->round;
	m->offset = p->offset;
	m->total = total;
	m->data = g_bytes_new_from_bytes(p->snap->data, p->offset, len);
	p->n_inflight = 1;
	p->sent_round = c->round;
	p->progress_ms = c->now;
	cns_send(c, m, true);
}

/* Processes a chunk of the leader's snapshot. */
void cns_on_snap(struct cns *c, const struct cns_msg *m)
{
	struct cns_msg *a;

	if (!cns_event(c, CNS_EV_LEADER_HEARD))
		return;
	cns_record_leader(c, m);
	if (m->index <= c->commit) {
		cns_respond_append(c, m, true, c->commit);
		return;
	}
	/*
	 * The entry is in the log already, and entries after it may have been
	 * acknowledged.
	 */
	if (cns_term_at(c, m->index) == m->log_term) {
		cns_commit_to(c, m->index);
		cns_respond_append(c, m, true, m->index);
		return;
	}
	if (cns_chunk_fits(c, m)) {
		gsize len;
		gconstpointer p = g_bytes_get_data(m->data, &len);

		if (m->offset == 0)
			g_byte_array_set_size(c->chunks, 0);
		c->chunks_index = m->index;
		c->chunks_term = m->log_term;
		g_byte_array_append(c->chunks, p, (guint)len);
		if (c->chunks->len == m->total) {
			cns_install(c, m);
			return;
		}
	}
	a = cns_msg_to(c, CNS_SNAP_RESPONSE, m->from);
	a->index = m->index;
	a->round = m->round;
	a->offset = c->chunks_index == m->index && c->chunks_term == m->log_term
			    ? c->chunks->len
			    : 0;
	cns_send(c, a, false);
}

/* Processes a member's response to a snapshot chunk. */
void cns_on_snap_response(struct cns *c, const struct cns_msg *m)
{
	struct cns_peer *p = cns_peer(c, m->from);

	if (c->role != CNS_LEADER || !p)
		return;
	p->heard_ms = c->now;
	p->round = MAX(p->round, m->round);
	cns_update_confirmed(c);
	cns_complete_reads(c);
	if (p->mode != CNS_CHUNKS || !p->snap || p->snap->index != m->index ||
	    m->offset >= g_bytes_get_size(p->snap->data))
		return;
	p->offset = m->offset;
	p->n_inflight = 0;
	cns_replicate(c, p);
}

/* Whether a chunk is the next one, or the first of a newer snapshot. */
static bool cns_chunk_fits(const struct cns *c, const struct cns_msg *m)
{
	if (m->offset + g_bytes_get_size(m->data) > m->total)
		return false;
	if (m->offset == 0)
		return true;
	return c->chunks_index == m->index && c->chunks_term == m->log_term &&
	       c->chunks->len == m->offset;
}

/* Replaces the log by the complete snapshot. */
static void cns_install(struct cns *c, const struct cns_msg *m)
{
	GByteArray *whole = c->chunks;
	GBytes *data = g_byte_array_free_to_bytes(whole);

	c->chunks = g_byte_array_new();
	c->chunks_index = 0;
	cns_snap_free(c->snap);
	c->snap = cns_snap_new(m->index, m->log_term, &m->members, data);
	g_bytes_unref(data);
	c->install = true;
	g_array_set_size(c->log, 0);
	c->trim_index = m->index;
	c->trim_term = m->log_term;
	c->stable = m->index;
	c->commit = m->index;
	c->delivered = m->index;
	cns_changes_reset(c, m->index, &m->members);
	cns_members_changed(c);
	cns_respond_append(c, m, true, m->index);
}

/* Drops the entries up to index from memory. */
static void cns_trim(struct cns *c, uint64_t index)
{
	uint64_t term = cns_term_at(c, index);

	g_array_remove_range(c->log, 0, (guint)(index - c->trim_index));
	c->trim_index = index;
	c->trim_term = term;
	while (c->changes->len > 1 &&
	       g_array_index(c->changes, struct cns_membership, 1).index <=
		       index)
		g_array_remove_index(c->changes, 0);
}
