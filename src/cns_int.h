#ifndef CNS_INT_H
#define CNS_INT_H

/* Declarations shared by the files of the Raft consensus library. */

#include "cht.h"
#include "cns.h"

/*
 * Batches in flight to one member. Four hide the network's latency; more would
 * only queue at a member that is behind and delay its heartbeats.
 */
#define CNS_INFLIGHT_MAX 4
/*
 * Entries kept in memory before a snapshot's index, so that members that are
 * only slightly behind do not need the snapshot.
 */
#define CNS_ENTRIES_KEPT 256

/*
 * Minimum number of late ticks that a candidate waits for votes: one until the
 * others have read the request, one until the candidate has read the response.
 * Up to as many again are added at random, since candidates that run in step
 * would otherwise split the votes forever.
 */
#define CNS_LATE_TICKS_MIN 2

enum cns_event {
	CNS_EV_TIMEOUT,
	CNS_EV_PRE_WON,
	CNS_EV_WON,
	CNS_EV_TIMEOUT_NOW,
	CNS_EV_LEADER_HEARD,
	CNS_EV_QUORUM_LOST,
	CNS_EV_NEWER_TERM,
	CNS_EV_JOINED,
	CNS_EV_LEFT,
	CNS_EVENTS
};

/* How a leader replicates its log to a member. */
enum cns_progress_mode {
	CNS_PROBE, /* one batch at a time, to find where the logs diverge */
	CNS_STREAM, /* up to CNS_INFLIGHT_MAX batches in flight */
	CNS_CHUNKS, /* snapshot transfer, one chunk at a time */
};

/* State kept for another member; most of it is used only by the leader. */
struct cns_peer {
	uint64_t id;
	bool vote_granted;
	enum cns_progress_mode mode;
	uint64_t match; /* last entry known to be on its disk */
	uint64_t next; /* first entry to send */
	uint64_t inflight[CNS_INFLIGHT_MAX]; /* last index of each batch sent */
	int n_inflight;
	uint64_t round; /* newest heartbeat round it acknowledged */
	uint64_t sent_round; /* heartbeat round when entries were last sent */
	int64_t heard_ms;
	int64_t progress_ms; /* time of the last send or acknowledgement */
	/* learner: index it must reach to be promoted; 0: none */
	uint64_t catch_up_to;
	int64_t catch_up_ms; /* time at which catch_up_to was set */
	/* snapshot being sent, kept even if a newer one is taken */
	struct cns_snap *snap;
	uint64_t offset;
};

/* The membership set by an entry of the log. */
struct cns_membership {
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
	int64_t arrival_ms; /* arrival time of the message being processed */
	int64_t heard_ms; /* time of the last message from the leader */
	/* value of heard_ms when a late tick was last excused */
	int64_t excused_ms;
	int late_ticks_left; /* late ticks left to wait for votes */
	/*
	 * grants no votes until then, as a leader may have been heard before
	 * the restart
	 */
	int64_t no_vote_until;
	int64_t paused_ms; /* time of the last process pause */
	int64_t election_due; /* time of the next election timeout */
	int64_t heartbeat_due;
	int64_t check_due;
	bool transfer_requested;
	/* end of a leadership transfer; 0: none is in progress */
	int64_t transfer_end;
	uint64_t transfer_target;
	/* the transfer target may become leader until then */
	int64_t transfer_pending_until;

	GArray *log; /* struct cns_entry, entries after trim_index */
	uint64_t trim_index;
	uint64_t trim_term;
	uint64_t stable; /* last index known to be on the local disk */
	uint64_t commit;
	uint64_t delivered; /* last index delivered to the owner */
	size_t uncommitted_bytes; /* bytes of uncommitted entries */
	struct cns_snap *snap; /* newest, or NULL */
	bool install; /* snap came from the leader and must be written */
	GByteArray *chunks; /* chunks of the snapshot being received */
	uint64_t chunks_index;
	uint64_t chunks_term;

	GArray *changes; /* struct cns_membership, oldest first; never empty */
	struct cns_peer peers[CNS_MEMBERS_MAX];
	int n_peers; /* all members except this one */

	uint64_t round;
	/* struct cns_heartbeat, not yet acknowledged by a quorum */
	GArray *heartbeats;
	/* send time of the newest heartbeat acknowledged by a quorum */
	int64_t confirmed_ms;
	GArray *reads; /* struct cns_read_wait */
	GArray *reads_done; /* struct cns_read */
	GPtrArray *send_now;
	GPtrArray *send_after_sync;
};

struct cns_heartbeat {
	uint64_t round;
	int64_t ms;
};

struct cns_read_wait {
	uint64_t tag;
	uint64_t index; /* 0: no entry of this term is committed */
	uint64_t round;
};

/* cns_core */
bool cns_event(struct cns *c, enum cns_event ev);
void cns_send(struct cns *c, struct cns_msg *m, bool before_sync);
struct cns_msg *cns_msg_to(const struct cns *c, enum cns_kind kind,
			   uint64_t to);
struct cns_peer *cns_peer(struct cns *c, uint64_t id);
/* cns_log */
uint64_t cns_term_at(const struct cns *c, uint64_t index);
const struct cns_entry *cns_entry_at(const struct cns *c, uint64_t index);
void cns_append(struct cns *c, const struct cns_entry *e);
void cns_truncate(struct cns *c, uint64_t from);
void cns_commit_to(struct cns *c, uint64_t index);
/* cns_election */
void cns_reset_election_timeout(struct cns *c);
bool cns_leader_is_alive(const struct cns *c);
void cns_adopt_term(struct cns *c, uint64_t term);
void cns_on_vote_request(struct cns *c, const struct cns_msg *m);
void cns_on_vote_response(struct cns *c, const struct cns_msg *m);
void cns_on_timeout_now(struct cns *c, const struct cns_msg *m);
void cns_start_pre_vote(struct cns *c);
void cns_start_election(struct cns *c);
void cns_start_transfer_election(struct cns *c);
void cns_become_follower(struct cns *c);
void cns_check_quorum(struct cns *c);
void cns_send_timeout_now(struct cns *c);
/* cns_replicate */
void cns_become_leader(struct cns *c);
void cns_append_new(struct cns *c, enum cns_entry_kind kind, GBytes *data);
void cns_send_heartbeats(struct cns *c);
void cns_replicate(struct cns *c, struct cns_peer *p);
void cns_replicate_all(struct cns *c);
void cns_advance_commit(struct cns *c);
void cns_on_append(struct cns *c, const struct cns_msg *m);
void cns_on_append_response(struct cns *c, const struct cns_msg *m);
void cns_record_leader(struct cns *c, const struct cns_msg *m);
void cns_respond_append(struct cns *c, const struct cns_msg *m, bool ok,
			uint64_t index);
void cns_complete_reads(struct cns *c);
void cns_update_confirmed(struct cns *c);
void cns_fail_reads(struct cns *c);
/* cns_snapshot */
void cns_send_snap_chunk(struct cns *c, struct cns_peer *p);
void cns_on_snap(struct cns *c, const struct cns_msg *m);
void cns_on_snap_response(struct cns *c, const struct cns_msg *m);
/* cns_member */
int cns_quorum(const struct cns *c);
bool cns_is_voter(const struct cns *c, uint64_t id);
void cns_members_changed(struct cns *c);
uint64_t cns_members_index(const struct cns *c);
void cns_changes_add(struct cns *c, uint64_t index,
		     const struct cns_members *s);
void cns_changes_truncate(struct cns *c, uint64_t from);
void cns_changes_reset(struct cns *c, uint64_t index,
		       const struct cns_members *s);
const struct cns_members *cns_members_at(const struct cns *c, uint64_t index);

#endif
