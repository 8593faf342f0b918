#include "cns_int.h"

#include <stdlib.h>

/*
 * Bytes of commands on their way to a quorum. It is made for 34,000 changes a
 * day that come in bursts; beyond it a client is refused at once instead of
 * being held until it gives up, and a leader without followers stays small.
 */
#define CNS_OPEN_MAX (8u << 20)
/* Heartbeats without any progress before a batch is sent again. */
#define CNS_RESEND_BEATS 2

static enum cns_refusal cns_may_propose(const struct cns *c, size_t len);

static struct cns_msg *cns_batch(struct cns *c, struct cns_peer *p);
static bool cns_may_send(const struct cns *c, const struct cns_peer *p);
static void cns_resend(struct cns *c, struct cns_peer *p);
static void cns_matched(struct cns *c, struct cns_peer *p, uint64_t index);
static void cns_take_entries(struct cns *c, const struct cns_msg *m);
static uint64_t cns_hint(const struct cns *c, const struct cns_msg *m);
static uint64_t cns_quorum_of(const struct cns *c,
			      uint64_t (*of)(const struct cns_peer *p),
			      uint64_t own);
static int cns_highest_first(const void *a, const void *b);
static uint64_t cns_peer_match(const struct cns_peer *p);
static uint64_t cns_peer_round(const struct cns_peer *p);

/*
 * Puts a command into the log. It is accepted only once it comes out as
 * committed at this index with the term of now.
 */
enum cns_refusal cns_propose(struct cns *c, struct lstr cmd, uint64_t *index)
{
	enum cns_refusal r = cns_may_propose(c, cmd.len);

	if (r != CNS_DONE)
		return r;
	cns_put(c, CNS_COMMAND, g_bytes_new(cmd.p, cmd.len));
	*index = cns_last(c);
	return CNS_DONE;
}

/*
 * Asks for a read that sees every command accepted before now. The answer
 * comes with cns_ready, once a quorum has confirmed that we still lead: a
 * leader that was cut off would else serve what others have since replaced.
 */
enum cns_refusal cns_read(struct cns *c, uint64_t tag)
{
	struct cns_read_wait w = {.tag = tag};

	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	w.round = c->round + 1;
	g_array_append_val(c->reads, w);
	c->beat_due = c->now;
	cns_beat(c);
	cns_reads_check(c);
	return CNS_DONE;
}

/*
 * Chart action: begins to lead with an entry of the new term, since entries
 * of earlier terms are committed only through one of our own.
 */
void cns_lead(struct cns *c)
{
	int i;

	c->leader = c->config.id;
	c->hand_over_end = 0;
	c->hands_over_until = 0;
	c->sure_ms = c->now - c->config.election_ms;
	g_array_set_size(c->beats, 0);
	c->open_bytes = 0;
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
	cns_put(c, CNS_NOOP, g_bytes_new(NULL, 0));
	cns_beat(c);
}

/* A heartbeat to every member; sends again what got no answer. */
void cns_beat(struct cns *c)
{
	struct cns_beat_sent sent;
	struct cns_msg *m;
	int i;

	c->beat_due = c->now + c->config.beat_ms;
	c->round++;
	sent = (struct cns_beat_sent){.round = c->round, .ms = c->now};
	g_array_append_val(c->beats, sent);
	for (i = 0; i < c->n_peers; i++) {
		struct cns_peer *p = &c->peers[i];
		bool held = p->match >= c->trim_index;

		m = cns_msg_to(c, CNS_APPEND, p->id);
		m->index = held ? p->match : 0;
		m->log_term = cns_term_at(c, m->index);
		m->commit = c->commit;
		m->round = c->round;
		cns_send(c, m, true);
		cns_resend(c, p);
		cns_feed(c, p);
	}
	cns_hand_over_go(c);
	cns_sure_check(c);
}

/* Sends a member what it lacks, as far as its window allows. */
void cns_feed(struct cns *c, struct cns_peer *p)
{
	struct cns_msg *m;

	if (p->feed != CNS_CHUNKS && p->next <= c->trim_index && c->snap) {
		p->feed = CNS_CHUNKS;
		p->offset = 0;
		p->n_window = 0;
	}
	if (p->feed == CNS_CHUNKS) {
		cns_feed_snap(c, p);
		return;
	}
	while (cns_may_send(c, p)) {
		m = cns_batch(c, p);
		p->window[p->n_window++] = m->index + m->entries->len;
		p->next = m->index + m->entries->len + 1;
		p->sent_round = c->round;
		p->progress_ms = c->now;
		cns_send(c, m, true);
	}
}

/* Feeds every member. */
void cns_feed_all(struct cns *c)
{
	int i;

	for (i = 0; i < c->n_peers; i++)
		cns_feed(c, &c->peers[i]);
}

/*
 * Commits what a quorum holds on disk, by counting, and only up to an entry of
 * our own term: an older entry on a quorum can still be overwritten by a
 * leader that never saw it.
 */
void cns_count(struct cns *c)
{
	uint64_t n = cns_quorum_of(c, cns_peer_match, c->stable);

	if (n <= c->commit || cns_term_at(c, n) != c->term)
		return;
	cns_commit_to(c, n);
	cns_reads_check(c);
	cns_beat(c);
	/* Removed, and it is final: only now may we stop leading. */
	if (!cns_is_voter(c, c->config.id) && cns_changed_at(c) <= c->commit)
		cns_event(c, CNS_EV_LEFT);
}

/* Entries or a heartbeat from the leader of this term. */
void cns_on_append(struct cns *c, const struct cns_msg *m)
{
	if (!cns_event(c, CNS_EV_LEADER_HEARD))
		return;
	cns_heard(c, m);
	if (m->index < c->commit && !m->entries) {
		cns_answer_append(c, m, true, c->commit);
		return;
	}
	if (m->index >= c->trim_index &&
	    (m->index > cns_last(c) ||
	     cns_term_at(c, m->index) != m->log_term)) {
		cns_answer_append(c, m, false, cns_hint(c, m));
		return;
	}
	cns_take_entries(c, m);
}

/* A member's answer to entries or a heartbeat. */
void cns_on_append_answer(struct cns *c, const struct cns_msg *m)
{
	struct cns_peer *p = cns_peer(c, m->from);

	if (c->role != CNS_LEADER || !p)
		return;
	p->heard_ms = c->now;
	p->round = MAX(p->round, m->round);
	if (m->ok) {
		cns_matched(c, p, m->index);
	} else if (m->prev > p->match && p->feed != CNS_CHUNKS &&
		   m->prev < p->next) {
		p->feed = CNS_PROBE;
		p->next = MAX(p->match, m->index) + 1;
		p->n_window = 0;
	}
	cns_sure_check(c);
	cns_reads_check(c);
	cns_feed(c, p);
}

/* Notes that the leader of this term lives. */
void cns_heard(struct cns *c, const struct cns_msg *m)
{
	c->leader = m->from;
	c->heard_ms = MAX(c->now, c->at);
	cns_rearm(c);
	c->deadline += c->heard_ms - c->now;
}

/* Answers an append or a whole snapshot, after what it promises is synced. */
void cns_answer_append(struct cns *c, const struct cns_msg *m, bool ok,
		       uint64_t index)
{
	struct cns_msg *a = cns_msg_to(c, CNS_APPEND_ANSWER, m->from);

	a->ok = ok;
	a->index = index;
	a->prev = m->index;
	a->round = m->round;
	cns_send(c, a, false);
}

/* Notes the newest heartbeat that a quorum has answered. */
void cns_sure_check(struct cns *c)
{
	uint64_t round = cns_quorum_of(c, cns_peer_round, c->round);
	guint n = 0;

	while (n < c->beats->len &&
	       g_array_index(c->beats, struct cns_beat_sent, n).round <= round)
		c->sure_ms =
			g_array_index(c->beats, struct cns_beat_sent, n++).ms;
	if (n)
		g_array_remove_range(c->beats, 0, n);
}

/* Gives out the reads that a quorum has confirmed. */
void cns_reads_check(struct cns *c)
{
	uint64_t round = cns_quorum_of(c, cns_peer_round, c->round);
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

/* Ends the reads that wait: we don't lead any more. */
void cns_reads_fail(struct cns *c)
{
	struct cns_read done = {0};
	guint i;

	for (i = 0; i < c->reads->len; i++) {
		done.tag = g_array_index(c->reads, struct cns_read_wait, i).tag;
		g_array_append_val(c->reads_done, done);
	}
	g_array_set_size(c->reads, 0);
}

/* How far a member's disk is known to follow the leader's log. */
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

static enum cns_refusal cns_may_propose(const struct cns *c, size_t len)
{
	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	if (c->hand_over_end || c->open_bytes + len > CNS_OPEN_MAX)
		return CNS_BUSY;
	return CNS_DONE;
}

/* Appends an entry of our term; takes data over. */
void cns_put(struct cns *c, enum cns_entry_kind kind, GBytes *data)
{
	struct cns_entry e = {
		.index = cns_last(c) + 1,
		.term = c->term,
		.kind = kind,
		.data = data,
	};

	c->open_bytes += g_bytes_get_size(data);
	cns_append(c, &e);
	g_bytes_unref(data);
	cns_feed_all(c);
}

static bool cns_may_send(const struct cns *c, const struct cns_peer *p)
{
	int limit = p->feed == CNS_STREAM ? CNS_WINDOW : 1;

	return p->next <= cns_last(c) && p->next > c->trim_index &&
	       p->n_window < limit;
}

static struct cns_msg *cns_batch(struct cns *c, struct cns_peer *p)
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
		const struct cns_entry *e = cns_at(c, i);

		bytes += g_bytes_get_size(e->data);
		if (bytes > CNS_CHUNK_MAX && m->entries->len)
			break;
		cns_entries_add(m->entries, e);
	}
	return m;
}

/*
 * Falls back to probing where batches or their answers were lost, or where a
 * newcomer turned out to have less than it was first sent. While no heartbeat
 * sent after them is answered, they are only under way: a copy would be one
 * more for a member that is slow, and keep it behind.
 */
static void cns_resend(struct cns *c, struct cns_peer *p)
{
	int64_t patience = CNS_RESEND_BEATS * c->config.beat_ms;

	if (!p->n_window && p->next == p->match + 1)
		return;
	if (c->now - p->progress_ms < patience || p->round <= p->sent_round)
		return;
	p->feed = p->feed == CNS_CHUNKS ? CNS_CHUNKS : CNS_PROBE;
	p->next = p->match + 1;
	p->n_window = 0;
}

/* A member's disk follows our log up to index. */
static void cns_matched(struct cns *c, struct cns_peer *p, uint64_t index)
{
	int left = 0;
	int i;

	if (p->feed == CNS_CHUNKS && p->snap && index < p->snap->index)
		return;
	for (i = 0; p->feed != CNS_CHUNKS && i < p->n_window; i++)
		if (p->window[i] > index)
			p->window[left++] = p->window[i];
	if (index > p->match || p->feed == CNS_CHUNKS)
		p->progress_ms = c->now;
	p->match = MAX(p->match, index);
	p->next = MAX(p->next, p->match + 1);
	if (p->feed != CNS_PROBE || !left) {
		p->n_window = left;
		p->feed = CNS_STREAM;
		cns_snap_free(p->snap);
		p->snap = NULL;
	}
	cns_count(c);
	cns_hand_over_go(c);
}

/* Takes what we lack; the entry before the first is known to be the same. */
static void cns_take_entries(struct cns *c, const struct cns_msg *m)
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
		cns_cut(c, e->index);
		cns_append(c, e);
	}
	cns_commit_to(c, MIN(m->commit, match));
	cns_answer_append(c, m, true, MAX(match, c->commit));
}

/* The last entry that can be the same as the leader's, for its next try. */
static uint64_t cns_hint(const struct cns *c, const struct cns_msg *m)
{
	uint64_t i = MIN(m->index, cns_last(c));

	while (i > c->commit && cns_term_at(c, i) > m->log_term)
		i--;
	if (i == m->index && i > c->commit)
		i--;
	return i;
}

/* The highest value that a quorum of voters has reached. */
static uint64_t cns_quorum_of(const struct cns *c,
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
	qsort(v, (size_t)n, sizeof(v[0]), cns_highest_first);
	return n >= cns_quorum(c) ? v[cns_quorum(c) - 1] : 0;
}

static int cns_highest_first(const void *a, const void *b)
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
