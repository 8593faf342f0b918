#include "cns_int.h"

static void cns_ask(struct cns *c, bool pre, bool now);
static void cns_tally(struct cns *c, enum cns_event won);

/* Sets the next election timeout, anywhere in once to twice the patience. */
void cns_rearm(struct cns *c)
{
	int64_t e = c->config.election_ms;

	c->deadline = c->now + e + g_rand_int_range(c->rand, 0, (gint32)e + 1);
}

/* Whether a leader lives as far as we can tell; nobody else gets our vote. */
bool cns_hears_leader(const struct cns *c)
{
	if (c->role == CNS_LEADER)
		return true;
	if (c->now < c->quiet_until)
		return true;
	return c->leader && c->now - c->heard_ms < c->config.election_ms;
}

/* Goes over to a term that somebody else has reached. */
void cns_newer_term(struct cns *c, uint64_t term)
{
	g_assert(term > c->term);
	c->term = term;
	c->vote = 0;
	c->vote_changed = true;
	c->leader = 0;
	cns_event(c, CNS_EV_NEWER_TERM);
}

/* Chart action: gives up what a leader or candidate holds. */
void cns_follow(struct cns *c)
{
	if (c->leader == c->config.id)
		c->leader = 0;
	c->hand_over_end = 0;
	cns_reads_fail(c);
	cns_rearm(c);
}

/* Chart action: asks who would vote for us, which binds nobody. */
void cns_ask_pre_votes(struct cns *c)
{
	c->leader = 0;
	cns_ask(c, true, false);
	cns_tally(c, CNS_EV_PRE_WON);
}

/* Chart action: stands for election in a new term. */
void cns_ask_votes(struct cns *c)
{
	c->term++;
	c->vote = c->config.id;
	c->vote_changed = true;
	c->leader = 0;
	cns_ask(c, false, c->hand_over_asked);
	c->hand_over_asked = false;
	cns_tally(c, CNS_EV_WON);
}

/* Chart action: as cns_ask_votes, the old leader having asked for it. */
void cns_ask_votes_now(struct cns *c)
{
	c->hand_over_asked = true;
	cns_ask_votes(c);
}

/*
 * Answers a request for a vote. It goes out after the vote is synced: a voter
 * that forgot it in a crash would vote again in the same term, and two leaders
 * would each commit what the other overwrites.
 */
void cns_on_vote_ask(struct cns *c, const struct cns_msg *m)
{
	uint64_t last_term = cns_term_at(c, cns_last(c));
	struct cns_msg *a = cns_msg_to(c, CNS_VOTE_ANSWER, m->from);

	/* A shorter log may lack entries that were told to be accepted. */
	a->ok = m->log_term > last_term ||
		(m->log_term == last_term && m->index >= cns_last(c));
	a->pre = m->pre;
	if (m->pre) {
		a->ok = a->ok && m->term > c->term && !cns_hears_leader(c);
		if (a->ok)
			a->term = m->term;
	} else {
		a->ok = a->ok && (!c->vote || c->vote == m->from) &&
			c->role != CNS_LEADER;
		if (a->ok) {
			c->vote = m->from;
			c->vote_changed = true;
			cns_rearm(c);
		}
	}
	cns_send(c, a, false);
}

/* Counts an answer to a request for a vote. */
void cns_on_vote_answer(struct cns *c, const struct cns_msg *m)
{
	struct cns_peer *p = cns_peer(c, m->from);

	if (!p || !m->ok)
		return;
	if (m->pre && c->role == CNS_PRE_CANDIDATE && m->term == c->term + 1) {
		p->granted = true;
		cns_tally(c, CNS_EV_PRE_WON);
	} else if (!m->pre && c->role == CNS_CANDIDATE && m->term == c->term) {
		p->granted = true;
		cns_tally(c, CNS_EV_WON);
	}
}

/* The leader asks us to stand for election at once. */
void cns_on_hand_over(struct cns *c, const struct cns_msg *m)
{
	bool old = c->at - c->now > c->config.election_ms / 2 ||
		   c->now - c->slept_ms < c->config.election_ms;

	/*
	 * Who stood still can't tell how long ago it was asked, and the leader
	 * has perhaps gone on since.
	 */
	if (!old)
		cns_event(c, CNS_EV_HAND_OVER);
}

/*
 * A leader that doesn't hear a quorum for as long as others wait before they
 * elect steps down: it must neither answer clients for ever nor let them wait.
 */
void cns_check_quorum(struct cns *c)
{
	int heard = cns_is_voter(c, c->config.id);
	int i;

	if (c->hand_over_end && c->now >= c->hand_over_end)
		c->hand_over_end = 0;
	for (i = 0; i < c->n_peers; i++)
		if (cns_is_voter(c, c->peers[i].id) &&
		    c->now - c->peers[i].heard_ms < c->config.election_ms)
			heard++;
	if (heard < cns_quorum(c))
		cns_event(c, CNS_EV_QUORUM_LOST);
}

/*
 * Starts moving leadership to the voter that has most of the log of those we
 * hear, so that a planned stop costs no election timeout. Commands are refused
 * meanwhile, for one patience at most.
 */
enum cns_refusal cns_hand_over(struct cns *c)
{
	struct cns_peer *best = NULL;
	int i;

	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	for (i = 0; i < c->n_peers; i++) {
		struct cns_peer *p = &c->peers[i];

		/* The dead often have as much, and would only cost time. */
		if (cns_is_voter(c, p->id) &&
		    c->now - p->heard_ms < c->config.election_ms &&
		    (!best || p->match > best->match))
			best = p;
	}
	if (!best)
		return CNS_NO_SUCH_MEMBER;
	c->hand_over_to = best->id;
	c->hand_over_end = c->now + c->config.election_ms;
	/* It is asked until then, and a word may be on its way for as long. */
	c->hands_over_until = c->hand_over_end + 2 * c->config.election_ms;
	cns_hand_over_go(c);
	return CNS_DONE;
}

/* Tells the heir to stand once it has all of our log. */
void cns_hand_over_go(struct cns *c)
{
	const struct cns_peer *p = cns_peer(c, c->hand_over_to);

	if (!c->hand_over_end || !p || p->match < cns_last(c))
		return;
	cns_send(c, cns_msg_to(c, CNS_HAND_OVER, p->id), true);
}

static void cns_ask(struct cns *c, bool pre, bool now)
{
	int64_t e = c->config.election_ms;
	struct cns_msg *m;
	int i;

	/*
	 * Two that ask at once split the votes. No leader is being waited for
	 * now, so the next try comes sooner than the first did.
	 */
	c->deadline = c->now + e / 4 + g_rand_int_range(c->rand, 0, (gint32)e);
	c->late_turns = CNS_LATE_TURNS +
			g_rand_int_range(c->rand, 0, CNS_LATE_TURNS + 1);
	for (i = 0; i < c->n_peers; i++) {
		c->peers[i].granted = false;
		if (!cns_is_voter(c, c->peers[i].id))
			continue;
		m = cns_msg_to(c, CNS_VOTE_ASK, c->peers[i].id);
		m->pre = pre;
		m->now = now;
		m->term = pre ? c->term + 1 : c->term;
		m->index = cns_last(c);
		m->log_term = cns_term_at(c, cns_last(c));
		cns_send(c, m, false);
	}
}

static void cns_tally(struct cns *c, enum cns_event won)
{
	int votes = cns_is_voter(c, c->config.id);
	int i;

	for (i = 0; i < c->n_peers; i++)
		if (c->peers[i].granted && cns_is_voter(c, c->peers[i].id))
			votes++;
	if (votes >= cns_quorum(c))
		cns_event(c, won);
}
