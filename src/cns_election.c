#include "cns_int.h"

static void cns_request_votes(struct cns *c, bool pre, bool now);
static void cns_count_votes(struct cns *c, enum cns_event won);

/*
 * Sets the next election timeout at random, between one and two times
 * election_ms.
 */
void cns_reset_election_timeout(struct cns *c)
{
	int64_t e = c->config.election_ms;

	c->election_due =
		c->now + e + g_rand_int_range(c->rand, 0, (gint32)e + 1);
}

/*
 * Whether a leader is believed to be alive; if so, no other member gets this
 * member's vote.
 */
bool cns_leader_is_alive(const struct cns *c)
{
	if (c->role == CNS_LEADER)
		return true;
	if (c->now < c->no_vote_until)
		return true;
	return c->leader && c->now - c->heard_ms < c->config.election_ms;
}

/* Adopts a higher term seen in a message. */
void cns_adopt_term(struct cns *c, uint64_t term)
{
	g_assert(term > c->term);
	c->term = term;
	c->vote = 0;
	c->vote_changed = true;
	c->leader = 0;
	cns_event(c, CNS_EV_NEWER_TERM);
}

/* Chart action: steps down and drops the state of a leader or candidate. */
void cns_become_follower(struct cns *c)
{
	if (c->leader == c->config.id)
		c->leader = 0;
	c->transfer_end = 0;
	cns_fail_reads(c);
	cns_reset_election_timeout(c);
}

/*
 * Gives up leadership without a successor, as if the quorum had been lost; does
 * nothing on a member that does not lead.
 */
void cns_resign(struct cns *c)
{
	if (c->role == CNS_LEADER)
		cns_event(c, CNS_EV_QUORUM_LOST);
}

/* Chart action: starts a pre-vote. */
void cns_start_pre_vote(struct cns *c)
{
	c->leader = 0;
	cns_request_votes(c, true, false);
	cns_count_votes(c, CNS_EV_PRE_WON);
}

/* Chart action: starts an election in a new term. */
void cns_start_election(struct cns *c)
{
	c->term++;
	c->vote = c->config.id;
	c->vote_changed = true;
	c->leader = 0;
	cns_request_votes(c, false, c->transfer_requested);
	c->transfer_requested = false;
	cns_count_votes(c, CNS_EV_WON);
}

/* Chart action: as cns_start_election, on request of the old leader. */
void cns_start_transfer_election(struct cns *c)
{
	c->transfer_requested = true;
	cns_start_election(c);
}

/*
 * Responds to a vote request. The response is sent after the vote is synced: a
 * voter that forgot its vote in a crash would vote again in the same term, and
 * two leaders would each commit entries that the other overwrites.
 */
void cns_on_vote_request(struct cns *c, const struct cns_msg *m)
{
	uint64_t last_term = cns_term_at(c, cns_last(c));
	struct cns_msg *a = cns_msg_to(c, CNS_VOTE_RESPONSE, m->from);

	/* A shorter log may lack committed entries. */
	a->ok = m->log_term > last_term ||
		(m->log_term == last_term && m->index >= cns_last(c));
	a->pre_vote = m->pre_vote;
	if (m->pre_vote) {
		a->ok = a->ok && m->term > c->term && !cns_leader_is_alive(c);
		if (a->ok)
			a->term = m->term;
	} else {
		a->ok = a->ok && (!c->vote || c->vote == m->from) &&
			c->role != CNS_LEADER;
		if (a->ok) {
			c->vote = m->from;
			c->vote_changed = true;
			cns_reset_election_timeout(c);
		}
	}
	cns_send(c, a, false);
}

/* Counts a response to a vote request. */
void cns_on_vote_response(struct cns *c, const struct cns_msg *m)
{
	struct cns_peer *p = cns_peer(c, m->from);

	if (!p || !m->ok)
		return;
	if (m->pre_vote && c->role == CNS_PRE_CANDIDATE &&
	    m->term == c->term + 1) {
		p->vote_granted = true;
		cns_count_votes(c, CNS_EV_PRE_WON);
	} else if (!m->pre_vote && c->role == CNS_CANDIDATE &&
		   m->term == c->term) {
		p->vote_granted = true;
		cns_count_votes(c, CNS_EV_WON);
	}
}

/* The leader asks this member to start an election immediately. */
void cns_on_timeout_now(struct cns *c, const struct cns_msg *m)
{
	bool stale = c->arrival_ms - c->now > c->config.election_ms / 2 ||
		     c->now - c->paused_ms < c->config.election_ms;

	/*
	 * After a process pause the age of the request is unknown, and the
	 * leader may have resumed its work since it sent the request.
	 */
	if (!stale)
		cns_event(c, CNS_EV_TIMEOUT_NOW);
}

/*
 * Steps down if no quorum was heard for one election timeout, after which the
 * others elect a new leader: a leader without a quorum must neither keep
 * answering clients nor let them wait.
 */
void cns_check_quorum(struct cns *c)
{
	int heard = cns_is_voter(c, c->config.id);
	int i;

	if (c->transfer_end && c->now >= c->transfer_end)
		c->transfer_end = 0;
	for (i = 0; i < c->n_peers; i++)
		if (cns_is_voter(c, c->peers[i].id) &&
		    c->now - c->peers[i].heard_ms < c->config.election_ms)
			heard++;
	if (heard < cns_quorum(c))
		cns_event(c, CNS_EV_QUORUM_LOST);
}

/*
 * Starts a leadership transfer to the reachable voter whose log is most up to
 * date, so that a planned stop costs no election timeout. Commands are refused
 * during the transfer, for one election timeout at most.
 */
enum cns_refusal cns_transfer_leadership(struct cns *c)
{
	struct cns_peer *best = NULL;
	int i;

	if (c->role != CNS_LEADER)
		return CNS_NOT_LEADER;
	for (i = 0; i < c->n_peers; i++) {
		struct cns_peer *p = &c->peers[i];

		/*
		 * A dead member's log is often as up to date, and choosing it
		 * would only cost time.
		 */
		if (cns_is_voter(c, p->id) &&
		    c->now - p->heard_ms < c->config.election_ms &&
		    (!best || p->match > best->match))
			best = p;
	}
	if (!best)
		return CNS_NO_SUCH_MEMBER;
	c->transfer_target = best->id;
	c->transfer_end = c->now + c->config.election_ms;
	/*
	 * The request is repeated until transfer_end, and one may be in flight
	 * for up to two more election timeouts.
	 */
	c->transfer_pending_until = c->transfer_end + 2 * c->config.election_ms;
	cns_send_timeout_now(c);
	return CNS_OK;
}

/* Asks the transfer target to start an election once it has the whole log. */
void cns_send_timeout_now(struct cns *c)
{
	const struct cns_peer *p = cns_peer(c, c->transfer_target);

	if (!c->transfer_end || !p || p->match < cns_last(c))
		return;
	cns_send(c, cns_msg_to(c, CNS_TIMEOUT_NOW, p->id), true);
}

static void cns_request_votes(struct cns *c, bool pre, bool now)
{
	int64_t e = c->config.election_ms;
	struct cns_msg *m;
	int i;

	/*
	 * Two simultaneous candidates split the votes. No leader is expected
	 * now, so the next attempt comes sooner than the first did.
	 */
	c->election_due =
		c->now + e / 4 + g_rand_int_range(c->rand, 0, (gint32)e);
	c->late_ticks_left =
		CNS_LATE_TICKS_MIN +
		g_rand_int_range(c->rand, 0, CNS_LATE_TICKS_MIN + 1);
	for (i = 0; i < c->n_peers; i++) {
		c->peers[i].vote_granted = false;
		if (!cns_is_voter(c, c->peers[i].id))
			continue;
		m = cns_msg_to(c, CNS_VOTE_REQUEST, c->peers[i].id);
		m->pre_vote = pre;
		m->transfer = now;
		m->term = pre ? c->term + 1 : c->term;
		m->index = cns_last(c);
		m->log_term = cns_term_at(c, cns_last(c));
		cns_send(c, m, false);
	}
}

static void cns_count_votes(struct cns *c, enum cns_event won)
{
	int votes = cns_is_voter(c, c->config.id);
	int i;

	for (i = 0; i < c->n_peers; i++)
		if (c->peers[i].vote_granted && cns_is_voter(c, c->peers[i].id))
			votes++;
	if (votes >= cns_quorum(c))
		cns_event(c, won);
}
