#ifndef CNS_H
#define CNS_H

/* Raft consensus: replicates one log among a few voters. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/*
 * State of one Raft member. The library does no input or output: messages, time
 * and disk writes are passed in and out as values. The owner calls cns_step,
 * cns_tick and the request functions, then calls cns_ready until it returns
 * false, each time followed by cns_advance.
 */
struct cns;

/* Largest number of bytes of entries or of a snapshot in one message. */
#define CNS_CHUNK_MAX (256u << 10)
/* Voters and learners: eleven voters, and four replaced at a time. */
#define CNS_MEMBERS_MAX 15

/*
 * A member of the cluster. A member is one data folder, identified by the
 * random number that it was created with: a node that lost its folder rejoins
 * as another member.
 */
struct cns_member {
	uint64_t id;
	char name[32]; /* node */
	char addr[64]; /* address for clients */
	bool voter; /* false: a learner, which gets the log but has no vote */
};

struct cns_members {
	/*
	 * Random number that identifies the history of the fleet's state. It is
	 * drawn when the fleet is created and again when the fleet is recovered
	 * without a majority; folders of another lineage hold other entries at
	 * the same indexes.
	 */
	uint64_t lineage;
	int n;
	struct cns_member m[CNS_MEMBERS_MAX];
};

enum cns_entry_kind {
	CNS_COMMAND,
	CNS_MEMBERS, /* membership change; data: cns_members_pack */
	CNS_NOOP, /* first entry of a new leader's term */
};

struct cns_entry {
	uint64_t index;
	uint64_t term;
	enum cns_entry_kind kind;
	GBytes *data;
};

/* A snapshot: the state after the entry at index. */
struct cns_snap {
	uint64_t index;
	uint64_t term;
	struct cns_members members;
	GBytes *data;
};

enum cns_kind {
	CNS_VOTE_REQUEST,
	CNS_VOTE_RESPONSE,
	CNS_APPEND,
	CNS_APPEND_RESPONSE,
	CNS_SNAP,
	CNS_SNAP_RESPONSE,
	CNS_TIMEOUT_NOW,
	CNS_KINDS
};

/* A message between two members. Fields that a kind does not use are zero. */
struct cns_msg {
	enum cns_kind kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	/*
	 * Log index. Vote request: the candidate's last entry; append: the
	 * entry before the first one sent; append response: the last entry
	 * known to match, or where the leader should probe next; snapshot: the
	 * last entry it covers.
	 */
	uint64_t index;
	uint64_t log_term; /* term of the entry at index */
	uint64_t commit;
	uint64_t round; /* heartbeat round of the leader, echoed in responses */
	uint64_t prev; /* response: index of the append it responds to */
	/* snapshot: offset of data; response: bytes received */
	uint64_t offset;
	uint64_t total; /* snapshot: total size in bytes */
	bool ok;
	/* part of a pre-vote, in which a grant does not count as a vote */
	bool pre_vote;
	bool transfer; /* election started by a leadership transfer */
	struct cns_members members; /* snapshot */
	GArray *entries; /* struct cns_entry; NULL: none */
	GBytes *data; /* snapshot: a chunk of its data */
};

enum cns_role {
	CNS_NON_VOTER,
	CNS_FOLLOWER,
	CNS_PRE_CANDIDATE,
	CNS_CANDIDATE,
	CNS_LEADER,
	CNS_ROLES
};

struct cns_config {
	uint64_t id;
	uint32_t seed; /* seed of the random election timeouts */
	int64_t now_ms;
	int64_t heartbeat_ms; /* heartbeat interval */
	/* minimum election timeout; the maximum is twice as long */
	int64_t election_ms;
};

/* The persistent state read from disk at startup. */
struct cns_stored {
	uint64_t term;
	uint64_t vote;
	struct cns_snap *snap; /* NULL: none */
	GArray *entries; /* struct cns_entry in order; NULL: none */
};

/*
 * Result of cns_read; ok is false if leadership was lost: the read must be
 * requested again.
 */
struct cns_read {
	uint64_t tag;
	uint64_t index; /* must be applied before the read is served */
	bool ok;
};

/*
 * The work that the owner must do, in the order of the fields. The messages in
 * send_after_sync acknowledge the writes and may be sent only after these are
 * synced.
 */
struct cns_ready {
	GPtrArray *send_now; /* struct cns_msg to send immediately */
	bool vote_changed; /* term and vote must be written */
	uint64_t term;
	uint64_t vote;
	/* snapshot to write; the log starts after it */
	const struct cns_snap *install;
	GArray *entries; /* struct cns_entry to write */
	GPtrArray *send_after_sync; /* struct cns_msg to send after the sync */
	GArray *committed; /* struct cns_entry to apply, after install */
	GArray *reads; /* struct cns_read */
};

enum cns_refusal {
	CNS_OK,
	CNS_NOT_LEADER,
	CNS_BUSY, /* too many uncommitted bytes, or a leadership transfer */
	CNS_NOT_CAUGHT_UP,
	CNS_NO_SUCH_MEMBER,
	CNS_LEADS, /* the leader keeps its vote */
};

struct cns *cns_new(const struct cns_config *config,
		    const struct cns_stored *stored);
void cns_free(struct cns *c);
void cns_bootstrap(struct cns *c, const struct cns_members *members);
void cns_step(struct cns *c, const struct cns_msg *m);
void cns_tick(struct cns *c, int64_t now_ms);
bool cns_ready(struct cns *c, struct cns_ready *rd);
void cns_advance(struct cns *c, struct cns_ready *rd);

enum cns_refusal cns_propose(struct cns *c, struct lstr cmd, uint64_t *index);
enum cns_refusal cns_read(struct cns *c, uint64_t tag);
enum cns_refusal cns_add_learner(struct cns *c, const struct cns_member *m);
enum cns_refusal cns_promote(struct cns *c, uint64_t id);
bool cns_is_caught_up(struct cns *c, uint64_t id);
enum cns_refusal cns_demote(struct cns *c, uint64_t id);
enum cns_refusal cns_remove(struct cns *c, uint64_t id);
enum cns_refusal cns_transfer_leadership(struct cns *c);
void cns_resign(struct cns *c);
const struct cns_snap *cns_compact(struct cns *c, uint64_t index, GBytes *data);

enum cns_role cns_role(const struct cns *c);
const char *cns_role_name(enum cns_role role);
const char *cns_refusal_name(enum cns_refusal refusal);
int64_t cns_confirmed_ms(const struct cns *c);
bool cns_transfer_pending(const struct cns *c);
void cns_set_arrival_ms(struct cns *c, int64_t now_ms);
uint64_t cns_term(const struct cns *c);
uint64_t cns_commit(const struct cns *c);
uint64_t cns_last(const struct cns *c);
uint64_t cns_leader(const struct cns *c);
uint64_t cns_match(const struct cns *c, uint64_t id);
const struct cns_members *cns_members(const struct cns *c);
const struct cns_member *cns_find_member(const struct cns_members *s,
					 uint64_t id);

struct pk_out;
struct pk_in;
void cns_members_pack(const struct cns_members *s, struct pk_out *o);
bool cns_members_unpack(struct lstr bytes, struct cns_members *out);
void cns_msg_pack(const struct cns_msg *m, struct pk_out *o);
struct cns_msg *cns_msg_unpack(struct lstr bytes);
struct cns_msg *cns_msg_copy(const struct cns_msg *m);
void cns_msg_free(struct cns_msg *m);
GArray *cns_entries_new(void);
void cns_entries_add(GArray *entries, const struct cns_entry *e);
struct cns_snap *cns_snap_new(uint64_t index, uint64_t term,
			      const struct cns_members *members, GBytes *data);
void cns_snap_free(struct cns_snap *s);

#endif
