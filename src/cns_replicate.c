#include "cns_int.h"

#include <stdlib.h>

/*
 * Limit on the bytes of uncommitted commands. It is sized for 34,000 commands a
 * day that come in bursts; beyond it a client is refused immediately instead of
 * waiting until it times out, and the memory of a leader without followers
 * stays bounded.
 */
#define CNS_UNCOMMITTED_MAX (8u << 20)
/* Heartbeat intervals without progress before a batch is sent again. */
#define CNS_RETRANSMIT_BEATS 2

static enum cns_refusal cns_check_propose(const struct cns *c, size_t len);

static struct cns_msg *cns_make_batch(struct cns *c, struct cns_peer *p);
static bool cns_can_send(const struct cns *c, const struct cns_peer *p);
static void cns_retransmit(struct cns *c, struct cns_peer *p);
static void cns_record_match(struct cns *c, struct cns_peer *p, uint64_t index);
static void cns_append_entries(struct cns *c, const struct cns_msg *m);
static uint64_t cns_conflict_hint(const struct cns *c, const struct cns_msg *m);
static uint64_t cns_quorum_value(const struct cns *c,
				 uint64_t (*of)(const struct cns_peer *p),
				 uint64_t own);
static int cns_compare_descending(const void *a, const void *b);
static uint64_t cns_peer_match(const struct cns_peer *p);
static uint64_t cns_peer_round(const struct cns_peer *p);

/*
 * Appends a command to the log. It is accepted only once it is delivered as
 * committed at this index with the current term.
 */
enum cns_refusal cns_propose(struct cns *c, struct lstr cmd, uint64_t *index)
{
	enum cns_refusal r = cns_check_propose(c, cmd.len);

	if (r != CNS_OK)
		return r;
	cns_append_new(c, CNS_COMMAND, g_bytes_new(cmd.p, cmd.len));
	*index = cns_last(c);
	return CNS_OK;
}

/*
 * Requests a linearizable read, which sees every command accepted so far. The
 * result is delivered by cns_ready once a quorum has confirmed that this member
 * still leads: a leader that was partitioned would otherwise serve data that a
 * new leader has since replaced.
 */
enum cns_refusal cns_read(struct cns *c, uint64_t tag)
{
	struct cns_read_wait w = {.tag = tag};

	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	w.round = c->round + 1;
	g_array_append_val(c->reads, w);
	c->heartbeat_due = c->now;
	cns_send_heartbeats(c);
	cns_complete_reads(c);
	return CNS_OK;
}

/*
 * Chart action: becomes leader and appends a no-op entry of the new term, since
 * entries of earlier terms are committed only through one of the current term.
 */
void cns_become_leader(struct cns *c)
{
	int i;

	c->leader = c->config.id;
	c->transfer_end = 0;
	c->transfer_pending_until = 0;
	c->confirmed_ms = c->now - c->config.election_ms;
	g_array_set_size(c->heartbeats, 0);
	c->uncommitted_bytes = 0;
	for (i = 0; i < c->n_peers; i++) {
		struct cns_peer *p = &c->peers[i];

		cns_snap_free(p->snap);
		*p = (struct cns_peer){
			.id = p->id,
			.next = cns_last(c) + 1,
			.heard_ms = c->now,
			.progress_ms = c->now,
		};
	}
	cns_append_new(c, CNS_NOOP, g_bytes_new(NULL, 0));
	cns_send_heartbeats(c);
}

/*
 * Sends a heartbeat to every member and retransmits batches that were not
 * acknowledged.
 */
void cns_send_heartbeats(struct cns *c)
{
	struct cns_heartbeat sent;
	struct cns_msg *m;
	int i;

	c->heartbeat_due = c->now + c->config.heartbeat_ms;
	c->round++;
	sent = (struct cns_heartbeat){.round = c->round, .ms = c->now};
	g_array_append_val(c->heartbeats, sent);
	for (i = 0; i < c->n_peers; i++) {
		struct cns_peer *p = &c->peers[i];
		bool held = p->match >= c->trim_index;

		m = cns_msg_to(c, CNS_APPEND, p->id);
		m->index = held ? p->match : 0;
		m->log_term = cns_term_at(c, m->index);
		m->commit = c->commit;
		m->round = c->round;
		cns_send(c, m, true);
		cns_retransmit(c, p);
		cns_replicate(c, p);
	}
	cns_send_timeout_now(c);
	cns_update_confirmed(c);
}

/*
 * Sends a member the entries or the snapshot chunk that it lacks, as far as the
 * limit on batches in flight allows.
 */
void cns_replicate(struct cns *c, struct cns_peer *p)
{
	struct cns_msg *m;

	if (p->mode != CNS_CHUNKS && p->next <= c->trim_index && c->snap) {
		p->mode = CNS_CHUNKS;
		p->offset = 0;
		p->n_inflight = 0;
	}
	if (p->mode == CNS_CHUNKS) {
		cns_send_snap_chunk(c, p);
		return;
	}
	while (cns_can_send(c, p)) {
		m = cns_make_batch(c, p);
		p->inflight[p->n_inflight++] = m->index + m->entries->len;
		p->next = m->index + m->entries->len + 1;
		p->sent_round = c->round;
		p->progress_ms = c->now;
		cns_send(c, m, true);
	}
}

/* Sends every member the entries that it lacks. */
void cns_replicate_all(struct cns *c)
{
	int i;

	for (i = 0; i < c->n_peers; i++)
		cns_replicate(c, &c->peers[i]);
}

/*
 * Advances the commit index to the last entry that a quorum holds on disk, but
 * only if that entry is of the current term: an older entry on a quorum can
 * still be overwritten by a leader that never received it.
 */
void cns_advance_commit(struct cns *c)
{
	uint64_t n = cns_quorum_value(c, cns_peer_match, c->stable);

	if (n <= c->commit || cns_term_at(c, n) != c->term)
		return;
	cns_commit_to(c, n);
	cns_complete_reads(c);
	cns_send_heartbeats(c);
	/* This member's removal is committed: only now may it stop leading. */
	if (!cns_is_voter(c, c->config.id) && cns_members_index(c) <= c->commit)
		cns_event(c, CNS_EV_LEFT);
}

/* Processes entries or a heartbeat from the leader of the current term. */
void cns_on_append(struct cns *c, const struct cns_msg *m)
{
	if (!cns_event(c, CNS_EV_LEADER_HEARD))
		return;
	cns_record_leader(c, m);
	if (m->index < c->commit && !m->entries) {
		cns_respond_append(c, m, true, c->commit);
		return;
	}
	if (m->index >= c->trim_index &&
	    (m->index > cns_last(c) ||
	     cns_term_at(c, m->index) != m->log_term)) {
		cns_respond_append(c, m, false, cns_conflict_hint(c, m));
		return;
	}
	cns_append_entries(c, m);
}

/* Processes a member's response to entries or a heartbeat. */
void cns_on_append_response(struct cns *c, const struct cns_msg *m)
{
	struct cns_peer *p = cns_peer(c, m->from);

	if (c->role != CNS_LEADER || !p)
		return;
	p->heard_ms = c->now;
	p->round = MAX(p->round, m->round);
	if (m->ok) {
		cns_record_match(c, p, m->index);
	} else if (m->prev > p->match && p->mode != CNS_CHUNKS &&
		   m->prev < p->next) {
		p->mode = CNS_PROBE;
		p->next = MAX(p->match, m->index) + 1;
		p->n_inflight = 0;
	}
	cns_update_confirmed(c);
	cns_complete_reads(c);
	cns_replicate(c, p);
}

/*
 * Records a message from the leader of the current term and resets the election
 * timeout.
 */
void cns_record_leader(struct cns *c, const struct cns_msg *m)
{
	c->leader = m->from;
	c->heard_ms = MAX(c->now, c->arrival_ms);
	cns_reset_election_timeout(c);
	c->election_due += c->heard_ms - c->now;
}

/*
 * Responds to an append or to a complete snapshot; the response is sent after
 * the acknowledged entries are synced.
 */
void cns_respond_append(struct cns *c, const struct cns_msg *m, bool ok,
			uint64_t index)
{
	struct cns_msg *a = cns_msg_to(c, CNS_APPEND_RESPONSE, m->from);

	a->ok = ok;
	a->index = index;
	a->prev = m->index;
	a->round = m->round;
	cns_send(c, a, false);
}

/* Records the newest heartbeat acknowledged by a quorum. */
void cns_update_confirmed(struct cns *c)
{
	uint64_t round = cns_quorum_value(c, cns_peer_round, c->round);
	guint n = 0;

	while (n < c->heartbeats->len &&
	       g_array_index(c->heartbeats, struct cns_heartbeat, n).round <=
		       round)
		c->confirmed_ms =
			g_array_index(c->heartbeats, struct cns_heartbeat, n++)
				.ms;
	if (n)
		g_array_remove_range(c->heartbeats, 0, n);
}

/* Completes the reads for which a quorum has confirmed the leader. */
void cns_complete_reads(struct cns *c)
{
	uint64_t round = cns_quorum_value(c, cns_peer_round, c->round);
	struct cns_read done;
	guint i = 0;

	while (i < c->reads->len) {
		struct cns_read_wait *w =
			&g_array_index(c->reads, struct cns_read_wait, i);

		if (!w->index && cns_term_at(c, c->commit) == c->term)
			w->index = c->commit;
		if (!w->index || w->round > round) {
			i++;
			continue;
		}
		done = (struct cns_read){
			.tag = w->tag, .index = w->index, .ok = true};
		g_array_append_val(c->reads_done, done);
		g_array_remove_index(c->reads, i);
	}
}

/* Fails all pending reads because leadership was lost. */
void cns_fail_reads(struct cns *c)
{
	struct cns_read done = {0};
	guint i;

	for (i = 0; i < c->reads->len; i++) {
		done.tag = g_array_index(c->reads, struct cns_read_wait, i).tag;
		g_array_append_val(c->reads_done, done);
	}
	g_array_set_size(c->reads, 0);
}

/*
 * Returns the last index known to be on a member's disk; 0 if the member is
 * unknown.
 */
uint64_t cns_match(const struct cns *c, uint64_t id)
{
	int i;

	if (id == c->config.id)
		return c->stable;
	for (i = 0; i < c->n_peers; i++)
		if (c->peers[i].id == id)
			return c->peers[i].match;
	return 0;
}

static enum cns_refusal cns_check_propose(const struct cns *c, size_t len)
{
	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	if (c->transfer_end || c->uncommitted_bytes + len > CNS_UNCOMMITTED_MAX)
		return CNS_BUSY;
	return CNS_OK;
}

/* Appends an entry of the current term; takes ownership of data. */
void cns_append_new(struct cns *c, enum cns_entry_kind kind, GBytes *data)
{
	struct cns_entry e = {
		.index = cns_last(c) + 1,
		.term = c->term,
		.kind = kind,
		.data = data,
	};

	c->uncommitted_bytes += g_bytes_get_size(data);
	cns_append(c, &e);
	g_bytes_unref(data);
	cns_replicate_all(c);
}

static bool cns_can_send(const struct cns *c, const struct cns_peer *p)
{
	int limit = p->mode == CNS_STREAM ? CNS_INFLIGHT_MAX : 1;

	return p->next <= cns_last(c) && p->next > c->trim_index &&
	       p->n_inflight < limit;
}

static struct cns_msg *cns_make_batch(struct cns *c, struct cns_peer *p)
{
	struct cns_msg *m = cns_msg_to(c, CNS_APPEND, p->id);
	size_t bytes = 0;
	uint64_t i;

	m->index = p->next - 1;
	m->log_term = cns_term_at(c, m->index);
	m->commit = c->commit;
	m->round = c->round;
	m->entries = cns_entries_new();
	for (i = p->next; i <= cns_last(c); i++) {
		const struct cns_entry *e = cns_entry_at(c, i);

		bytes += g_bytes_get_size(e->data);
		if (bytes > CNS_CHUNK_MAX && m->entries->len)
			break;
		cns_entries_add(m->entries, e);
	}
	return m;
}

/*
 * Falls back to probing if batches or their responses were lost, or if a new
 * member turned out to have less of the log than was assumed. As long as no
 * heartbeat sent after the batches is acknowledged, the batches are only in
 * flight: a duplicate would be more load for a slow member and keep it behind.
 */
static void cns_retransmit(struct cns *c, struct cns_peer *p)
{
	int64_t timeout_ms = CNS_RETRANSMIT_BEATS * c->config.heartbeat_ms;

	if (!p->n_inflight && p->next == p->match + 1)
		return;
	if (c->now - p->progress_ms < timeout_ms || p->round <= p->sent_round)
		return;
	p->mode = p->mode == CNS_CHUNKS ? CNS_CHUNKS : CNS_PROBE;
	p->next = p->match + 1;
	p->n_inflight = 0;
}

/* Records that a member's disk matches the leader's log up to index. */
static void cns_record_match(struct cns *c, struct cns_peer *p, uint64_t index)
{
	int left = 0;
	int i;

	if (p->mode == CNS_CHUNKS && p->snap && index < p->snap->index)
		return;
	for (i = 0; p->mode != CNS_CHUNKS && i < p->n_inflight; i++)
		if (p->inflight[i] > index)
			p->inflight[left++] = p->inflight[i];
	if (index > p->match || p->mode == CNS_CHUNKS)
		p->progress_ms = c->now;
	p->match = MAX(p->match, index);
	p->next = MAX(p->next, p->match + 1);
	if (p->mode != CNS_PROBE || !left) {
		p->n_inflight = left;
		p->mode = CNS_STREAM;
		cns_snap_free(p->snap);
		p->snap = NULL;
	}
	cns_advance_commit(c);
	cns_send_timeout_now(c);
}

/*
 * Appends the missing entries of a message; the entry before the first is known
 * to match.
 */
static void cns_append_entries(struct cns *c, const struct cns_msg *m)
{
	guint n = m->entries ? m->entries->len : 0;
	uint64_t match = m->index + n;
	guint i;

	for (i = 0; i < n; i++) {
		const struct cns_entry *e =
			&g_array_index(m->entries, struct cns_entry, i);

		if (e->index <= c->commit ||
		    cns_term_at(c, e->index) == e->term)
			continue;
		cns_truncate(c, e->index);
		cns_append(c, e);
	}
	cns_commit_to(c, MIN(m->commit, match));
	cns_respond_append(c, m, true, MAX(match, c->commit));
}

/*
 * Returns the last entry that can match the leader's log, as a hint for the
 * leader's next probe.
 */
static uint64_t cns_conflict_hint(const struct cns *c, const struct cns_msg *m)
{
	uint64_t i = MIN(m->index, cns_last(c));

	while (i > c->commit && cns_term_at(c, i) > m->log_term)
		i--;
	if (i == m->index && i > c->commit)
		i--;
	return i;
}

/* Returns the highest value that a quorum of voters has reached. */
static uint64_t cns_quorum_value(const struct cns *c,
				 uint64_t (*of)(const struct cns_peer *p),
				 uint64_t own)
{
	uint64_t v[CNS_MEMBERS_MAX];
	int n = 0;
	int i;

	if (cns_is_voter(c, c->config.id))
		v[n++] = own;
	for (i = 0; i < c->n_peers; i++)
		if (cns_is_voter(c, c->peers[i].id))
			v[n++] = of(&c->peers[i]);
	qsort(v, (size_t)n, sizeof(v[0]), cns_compare_descending);
	return n >= cns_quorum(c) ? v[cns_quorum(c) - 1] : 0;
}

static int cns_compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

static uint64_t cns_peer_match(const struct cns_peer *p)
{
	return p->match;
}

static uint64_t cns_peer_round(const struct cns_peer *p)
{
	return p->round;
}
