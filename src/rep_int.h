#ifndef REP_INT_H
#define REP_INT_H

#include "rep.h"

#include <inttypes.h>
#include <sodium.h>
#include <time.h>

#include "cpu.h"
#include "err.h"
#include "msg.h"
#include "proto.h"
#include "vot.h"

/*
 * Between heartbeats, and the shortest patience with a silent leader: a
 * killed leader is replaced within 1.5 s, inside the shortest lease of work;
 * a sync of 100 ms on a slow disk doesn't cost a leader its place.
 */
#define REP_BEAT_MS 100
#define REP_ELECTION_MS 600
/* How finely the consensus' time runs. */
#define REP_TICK_MS 25
/* How often members are looked after, and seeds asked. */
#define REP_UPKEEP_MS 250
/* Nothing heard on a connection for so long: it has gone silent. */
#define REP_SILENCE_MS 800
/* A member not heard for so long may be replaced by one that has joined. */
#define REP_DEAD_MS 4000
/*
 * A leader whose disk takes so long for each of a few syncs in a row gives its
 * place to another, us: all that is decided waits for its disk, while a
 * quorum of others does without it. A sound disk takes 4 to 6 ms.
 */
#define REP_SLOW_SYNC_US 60000
#define REP_SLOW_SYNCS 2
/* Between two such changes, so that slow disks all round cost little. */
#define REP_SLOW_PAUSE_MS 3000
/*
 * Applied entries, or bytes of them, between snapshots. Entries are batches
 * of commands; a restart reads at most so much.
 */
#define REP_SNAP_ENTRIES 20000
#define REP_SNAP_BYTES (12u << 20)

/*
 * Between two lines of a replica that knows no leader: longer than any election
 * takes, so that each of them tells of a quorum that isn't there.
 */
#define REP_MISSED_MS 3000

/* Between two lines on a learner that isn't a voter yet. */
#define REP_LEARNER_MS 1000

/*
 * With so many bytes unsent no more of the log goes to a replica, as heartbeats
 * would queue behind it. All that consensus sends ahead of answers fits in.
 */
#define REP_BACKLOG_MAX (1u << 20)

/* Another replica that we know an address of. */
struct rep_peer {
	struct rep *r;
	char *addr;
	struct wire_conn *conn;
	uint64_t id; /* of its folder, as it told last; 0: not heard */
	int64_t heard_ms;
};

struct rep {
	struct rep_config config;
	const struct rep_ops *ops;
	void *arg;
	char **seeds;
	struct wire *wire;
	struct vot *vot;
	struct cns *cns; /* vot's */
	uint64_t id;
	GHashTable *peers; /* address: struct rep_peer */
	GPtrArray *conns; /* struct wire_conn that came in */
	uint64_t pump_timer;
	uint64_t tick;
	uint64_t upkeep;
	bool leading; /* as told to the owner */
	uint64_t lead_term;
	enum cns_role role;
	uint64_t role_term;
	uint64_t told_leader; /* 0: none is known */
	int64_t leaderless_ms; /* since when none is */
	int64_t missed_ms; /* when that was last logged */
	int64_t learner_ms; /* when a learner's wait was last logged */
	struct cnt_times leaderless; /* how long none was */
	uint64_t syncs; /* of vot, as last looked at */
	int slow_syncs; /* in a row */
	int64_t slow_ms; /* when leadership was last given up for it */
};

struct rep_peer *rep_peer_at(struct rep *r, const char *addr);
void rep_members_tick(struct rep *r, int64_t now);
void rep_missed_tick(struct rep *r, int64_t now);
void rep_hello(struct rep *r, struct wire_conn *conn);
void rep_tell_leader(struct rep *r, struct wire_conn *conn);
void rep_in_up(void *arg, struct wire_conn *conn);
void rep_in_recv(void *arg, struct wire_conn *conn, struct lstr payload);
void rep_in_down(void *arg, struct wire_conn *conn, const GError *why);
bool rep_in_goes_first(void *arg, const char *ip);
void rep_out_up(void *arg, struct wire_conn *conn);
void rep_out_recv(void *arg, struct wire_conn *conn, struct lstr payload);
void rep_out_down(void *arg, struct wire_conn *conn, const GError *why);

#endif
