#ifndef CNS_H
#define CNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/*
 * Consensus among a few voters on one log, without input or output: messages,
 * time and disk writes go in and come out as values. The owner calls cns_step,
 * cns_tick and the requests, then cns_ready until it says that nothing is left
 * to do, each time followed by cns_advance.
 */
struct cns;

/* Bytes of entries or of a snapshot in one message. */
#define CNS_CHUNK_MAX (256u << 10)
/* Voters and learners: eleven voters, and four replaced at a time. */
#define CNS_MEMBERS_MAX 15

/*
 * A member is a data folder, named by the random number it was made with: a
 * node that lost its folder comes back as another member.
 */
struct cns_member {
	uint64_t id;
	char name[32]; /* node */
	char addr[64]; /* where clients reach it */
	bool voter; /* else a learner: gets the log and doesn't count */
};

struct cns_members {
	/*
	 * Of the fleet's state: drawn when it is begun and again when it is
	 * recovered without a majority; folders of another lineage hold other
	 * entries at the same places.
	 */
	uint64_t lineage;
	int n;
	struct cns_member m[CNS_MEMBERS_MAX];
};

enum cns_entry_kind {
	CNS_COMMAND,
	CNS_MEMBERS, /* data: cns_members_pack */
	CNS_NOOP, /* a new leader's first */
};

struct cns_entry {
	uint64_t index;
	uint64_t term;
	enum cns_entry_kind kind;
	GBytes *data;
};

/* The state after the entry at index. */
struct cns_snap {
	uint64_t index;
	uint64_t term;
	struct cns_members members;
	GBytes *data;
};

enum cns_kind {
	CNS_VOTE_ASK,
	CNS_VOTE_ANSWER,
	CNS_APPEND,
	CNS_APPEND_ANSWER,
	CNS_SNAP,
	CNS_SNAP_ANSWER,
	CNS_HAND_OVER,
	CNS_KINDS
};

/* A message between two members; fields a kind doesn't use are zero. */
struct cns_msg {
	enum cns_kind kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	/*
	 * vote: the asker's last entry; append: the entry before the first;
	 * answer: the last entry known to be the same, or where to try next;
	 * snapshot: its last entry
	 */
	uint64_t index;
	uint64_t log_term; /* term of the entry at index */
	uint64_t commit;
	uint64_t round; /* of the leader's heartbeats, echoed */
	uint64_t prev; /* answer: index of the append it answers */
	uint64_t offset; /* snapshot: of data; answer: bytes held */
	uint64_t total; /* snapshot: bytes of the whole */
	bool ok;
	bool pre; /* a vote that binds nobody */
	bool now; /* asked for by the leader itself */
	struct cns_members members; /* snapshot */
	GArray *entries; /* struct cns_entry; NULL: none */
	GBytes *data; /* snapshot: a part of it */
};

enum cns_role {
	CNS_OUTSIDE,
	CNS_FOLLOWER,
	CNS_PRE_CANDIDATE,
	CNS_CANDIDATE,
	CNS_LEADER,
	CNS_ROLES
};

struct cns_config {
	uint64_t id;
	uint32_t seed; /* of the election timeouts */
	int64_t now_ms;
	int64_t beat_ms; /* between heartbeats */
	int64_t election_ms; /* shortest patience; the longest is twice it */
};

/* What the disk held at the start. */
struct cns_stored {
	uint64_t term;
	uint64_t vote;
	struct cns_snap *snap; /* NULL: none */
	GArray *entries; /* struct cns_entry in order; NULL: none */
};

/* A read that was asked for; false: leadership was lost, ask again. */
struct cns_read {
	uint64_t tag;
	uint64_t index; /* to be applied before the read is served */
	bool ok;
};

/*
 * What the owner must do, in the order of the fields. Late messages promise
 * what the writes hold and go only once these are synced.
 */
struct cns_ready {
	GPtrArray *early; /* struct cns_msg to send at once */
	bool vote_changed; /* write term and vote */
	uint64_t term;
	uint64_t vote;
	const struct cns_snap *install; /* write; the log starts after it */
	GArray *entries; /* struct cns_entry to write */
	GPtrArray *late; /* struct cns_msg to send once all is synced */
	GArray *committed; /* struct cns_entry to apply, after install */
	GArray *reads; /* struct cns_read */
};

enum cns_refusal {
	CNS_DONE,
	CNS_NOT_LEADER,
	CNS_BUSY, /* too much not yet committed, or leadership moves */
	CNS_NOT_CAUGHT_UP,
	CNS_NO_SUCH_MEMBER,
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
enum cns_refusal cns_remove(struct cns *c, uint64_t id);
enum cns_refusal cns_hand_over(struct cns *c);
const struct cns_snap *cns_compact(struct cns *c, uint64_t index, GBytes *data);

enum cns_role cns_role(const struct cns *c);
const char *cns_role_name(enum cns_role role);
const char *cns_refusal_name(enum cns_refusal refusal);
int64_t cns_sure(const struct cns *c);
bool cns_hands_over(const struct cns *c);
void cns_clock(struct cns *c, int64_t now_ms);
uint64_t cns_term(const struct cns *c);
uint64_t cns_commit(const struct cns *c);
uint64_t cns_last(const struct cns *c);
uint64_t cns_leader(const struct cns *c);
uint64_t cns_match(const struct cns *c, uint64_t id);
const struct cns_members *cns_members(const struct cns *c);
const struct cns_member *cns_find(const struct cns_members *s, uint64_t id);

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
