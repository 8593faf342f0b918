#ifndef REP_INT_H
#define REP_INT_H

/* Declarations shared by the files of the Raft replica. */

#include "rep.h"

#include <inttypes.h>
#include <sodium.h>
#include <time.h>

#include "cpu.h"
#include "err.h"
#include "msg.h"
#include "proto.h"
#include "vot.h"
#include "vtp.h"

/*
 * Heartbeat interval and minimum election timeout: a killed leader is replaced
 * within 1.5 s, which is less than the shortest lease of a run, and a sync of
 * 100 ms on a slow disk does not cost a leader its leadership.
 */
#define REP_HEARTBEAT_MS 100
#define REP_ELECTION_MS 600
/* Interval of cns_tick. */
#define REP_TICK_MS 25
/* Interval at which connections to members and seeds are checked. */
#define REP_MAINTAIN_MS 250
/* A connection without any message for this long counts as dead. */
#define REP_SILENCE_MS 800
/*
 * A leader whose disk takes longer than this for each of REP_SLOW_SYNCS syncs
 * in a row transfers leadership to another replica: every decision waits for
 * the leader's disk, while a quorum of the others can do without it. A healthy
 * disk takes 4 to 6 ms. The unit is us.
 */
#define REP_SLOW_SYNC_US 60000
#define REP_SLOW_SYNCS 2
/*
 * Minimum time between two such transfers, which limits their cost if all disks
 * are slow.
 */
#define REP_TRANSFER_INTERVAL_MS 3000
/*
 * Applied entries, or bytes of them, between snapshots. Entries are batches of
 * commands; a restart reads at most this much.
 */
#define REP_SNAP_ENTRIES 20000
#define REP_SNAP_BYTES (12u << 20)

/*
 * Interval of the log line of a replica that knows no leader. It is longer than
 * any election takes, so that each line reports a missing quorum.
 */
#define REP_LEADERLESS_LOG_MS 3000

/* Interval of the log line on a learner that cannot be promoted yet. */
#define REP_LEARNER_LOG_MS 1000

/*
 * With more unsent bytes than this on a connection, no further log entries are
 * sent to the replica, as heartbeats would queue behind them. All that
 * consensus sends ahead of responses fits into this limit.
 */
#define REP_BACKLOG_MAX (1u << 20)

/* Another replica whose address is known. */
struct rep_peer {
	struct rep *r;
	char *addr;
	struct wire_conn *conn;
	uint64_t id; /* folder id from its last hello; 0: none received */
	int64_t heard_ms;
	int64_t since_ms; /* heard without a gap since then */
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
	GPtrArray *conns; /* struct wire_conn, accepted connections */
	uint64_t pump_timer;
	uint64_t tick_timer;
	uint64_t maintain_timer;
	bool leading; /* leadership last reported to the owner */
	uint64_t lead_term;
	enum cns_role role;
	uint64_t role_term;
	uint64_t announced_leader; /* leader last announced; 0: none is known */
	/*
	 * the leader of the latest term that a peer told of, for replicas that
	 * are no members and hear nothing of it themselves; or NULL
	 */
	char *told_leader;
	uint64_t told_term;
	int64_t leaderless_ms; /* time since when no leader is known */
	int64_t leaderless_log_ms; /* time of the last log line about it */
	int64_t learner_log_ms; /* time of the last log line about a learner */
	int64_t even_since_ms; /* the number of voters is even since then */
	/* histogram of the times without a known leader */
	struct cnt_times leaderless;
	uint64_t syncs; /* value of vot_syncs at the last check */
	int slow_syncs; /* number of slow syncs in a row */
	/* time of the last leadership transfer because of slow syncs */
	int64_t transfer_ms;
};

struct rep_peer *rep_peer_at(struct rep *r, const char *addr);
void rep_update_members(struct rep *r, int64_t now);
const char *rep_zone_of(const struct rep *r, const struct cns_member *m);
const char *rep_told_leader(const struct rep *r);
void rep_log_leaderless(struct rep *r, int64_t now);
void rep_send_hello(struct rep *r, struct wire_conn *conn);
void rep_send_leader(struct rep *r, struct wire_conn *conn);
void rep_in_up(void *arg, struct wire_conn *conn);
void rep_in_recv(void *arg, struct wire_conn *conn, struct lstr payload);
void rep_in_down(void *arg, struct wire_conn *conn, const GError *why);
bool rep_in_has_priority(void *arg, const char *ip);
void rep_out_up(void *arg, struct wire_conn *conn);
void rep_out_recv(void *arg, struct wire_conn *conn, struct lstr payload);
void rep_out_down(void *arg, struct wire_conn *conn, const GError *why);

#endif
