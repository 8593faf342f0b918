#ifndef CNS_INT_H
#define CNS_INT_H

#include "cht.h"
#include "cns.h"

/*
 * Batches on the way to one member. Four hide a network's delay; more would
 * only queue at a member that is behind, and hold up its heartbeats.
 */
#define CNS_WINDOW 4
/* Entries kept behind a snapshot, for members only a little behind. */
#define CNS_KEEP 256

/*
 * Late ticks that a candidate waits at least: one until the others have read
 * the question, one until it has read the answer. As many again at random, for
 * candidates that run in step else split the votes for ever.
 */
#define CNS_LATE_TURNS 2

enum cns_event {
	CNS_EV_TIMEOUT,
	CNS_EV_PRE_WON,
	CNS_EV_WON,
	CNS_EV_HAND_OVER,
	CNS_EV_LEADER_HEARD,
	CNS_EV_QUORUM_LOST,
	CNS_EV_NEWER_TERM,
	CNS_EV_JOINED,
	CNS_EV_LEFT,
	CNS_EVENTS
};

/* How a leader feeds a member. */
enum cns_feed {
	CNS_PROBE, /* one batch, to find where the logs part */
	CNS_STREAM, /* up to CNS_WINDOW batches ahead of the answers */
	CNS_CHUNKS, /* one part of a snapshot at a time */
};

/* What we know of another member; most of it only while we lead. */
struct cns_peer {
	uint64_t id;
	bool granted;
	enum cns_feed feed;
	uint64_t match; /* last entry known to be on its disk */
	uint64_t next; /* first entry to send */
	uint64_t window[CNS_WINDOW]; /* last index of each batch sent */
	int n_window;
	uint64_t round; /* newest heartbeat it answered */
	uint64_t
		sent_round; /* newest heartbeat when it was last sent entries */
	int64_t heard_ms;
	int64_t progress_ms; /* when something was sent or answered last */
	uint64_t catch_up_to; /* learner: last entry as it was asked; 0: not */
	int64_t catch_up_ms; /* when that was */
	struct cns_snap *snap; /* being sent; kept though a newer is made */
	uint64_t offset;
};

/* The members as of an entry of the log. */
struct cns_change {
	uint64_t index;
	struct cns_members members;
};

struct cns {
	struct cns_config config;
	struct cht *chart;
	GRand *rand;
	int role;
	uint64_t term;
	uint64_t vote;
	bool vote_changed;
	uint64_t leader;
	int64_t now;
	int64_t at; /* when the message taken in now came */
	int64_t heard_ms; /* when the leader was heard last */
	int64_t spared_ms; /* heard_ms when a late tick was last excused */
	int late_turns; /* late ticks to wait for votes asked for */
	int64_t quiet_until; /* no votes: we may have heard one before */
	int64_t slept_ms; /* when we last stood still */
	int64_t deadline; /* of an election timeout */
	int64_t beat_due;
	int64_t check_due;
	bool hand_over_asked;
	int64_t hand_over_end; /* 0: no hand-over is on */
	uint64_t hand_over_to;
	int64_t hands_over_until; /* an heir may begin to lead until */

	GArray *log; /* struct cns_entry after trim_index */
	uint64_t trim_index;
	uint64_t trim_term;
	uint64_t stable; /* last index known to be on our disk */
	uint64_t commit;
	uint64_t handed; /* last index given out to be applied */
	size_t open_bytes; /* of commands not committed */
	struct cns_snap *snap; /* newest, or NULL */
	bool install; /* snap came from the leader and is to be written */
	GByteArray *chunks; /* snapshot coming in */
	uint64_t chunks_index;
	uint64_t chunks_term;

	GArray *changes; /* struct cns_change, oldest first; never empty */
	struct cns_peer peers[CNS_MEMBERS_MAX];
	int n_peers; /* all members but us */

	uint64_t round;
	GArray *beats; /* struct cns_beat_sent, not answered by a quorum */
	int64_t sure_ms; /* when the newest one that was, was sent */
	GArray *reads; /* struct cns_read_wait */
	GArray *reads_done; /* struct cns_read */
	GPtrArray *early;
	GPtrArray *late;
};

struct cns_beat_sent {
	uint64_t round;
	int64_t ms;
};

struct cns_read_wait {
	uint64_t tag;
	uint64_t index; /* 0: no entry of this term is committed yet */
	uint64_t round;
};

/* cns_core */
bool cns_event(struct cns *c, enum cns_event ev);
void cns_send(struct cns *c, struct cns_msg *m, bool early);
struct cns_msg *cns_msg_to(const struct cns *c, enum cns_kind kind,
			   uint64_t to);
struct cns_peer *cns_peer(struct cns *c, uint64_t id);
/* cns_log */
uint64_t cns_term_at(const struct cns *c, uint64_t index);
const struct cns_entry *cns_at(const struct cns *c, uint64_t index);
void cns_append(struct cns *c, const struct cns_entry *e);
void cns_cut(struct cns *c, uint64_t from);
void cns_commit_to(struct cns *c, uint64_t index);
/* cns_election */
void cns_rearm(struct cns *c);
bool cns_hears_leader(const struct cns *c);
void cns_newer_term(struct cns *c, uint64_t term);
void cns_on_vote_ask(struct cns *c, const struct cns_msg *m);
void cns_on_vote_answer(struct cns *c, const struct cns_msg *m);
void cns_on_hand_over(struct cns *c, const struct cns_msg *m);
void cns_ask_pre_votes(struct cns *c);
void cns_ask_votes(struct cns *c);
void cns_ask_votes_now(struct cns *c);
void cns_follow(struct cns *c);
void cns_check_quorum(struct cns *c);
void cns_hand_over_go(struct cns *c);
/* cns_replicate */
void cns_lead(struct cns *c);
void cns_put(struct cns *c, enum cns_entry_kind kind, GBytes *data);
void cns_beat(struct cns *c);
void cns_feed(struct cns *c, struct cns_peer *p);
void cns_feed_all(struct cns *c);
void cns_count(struct cns *c);
void cns_on_append(struct cns *c, const struct cns_msg *m);
void cns_on_append_answer(struct cns *c, const struct cns_msg *m);
void cns_heard(struct cns *c, const struct cns_msg *m);
void cns_answer_append(struct cns *c, const struct cns_msg *m, bool ok,
		       uint64_t index);
void cns_reads_check(struct cns *c);
void cns_sure_check(struct cns *c);
void cns_reads_fail(struct cns *c);
/* cns_snapshot */
void cns_feed_snap(struct cns *c, struct cns_peer *p);
void cns_on_snap(struct cns *c, const struct cns_msg *m);
void cns_on_snap_answer(struct cns *c, const struct cns_msg *m);
/* cns_member */
int cns_quorum(const struct cns *c);
bool cns_is_voter(const struct cns *c, uint64_t id);
void cns_members_changed(struct cns *c);
uint64_t cns_changed_at(const struct cns *c);
void cns_changes_add(struct cns *c, uint64_t index,
		     const struct cns_members *s);
void cns_changes_cut(struct cns *c, uint64_t from);
void cns_changes_reset(struct cns *c, uint64_t index,
		       const struct cns_members *s);
const struct cns_members *cns_members_at(const struct cns *c, uint64_t index);

#endif
