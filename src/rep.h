#ifndef REP_H
#define REP_H

/* Replica of a replicated state machine (Raft). */

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cns.h"
#include "key.h"
#include "lstr.h"
#include "pk.h"
#include "tmr.h"
#include "vtp.h"
#include "wire.h"

/*
 * A replica: a Raft voter with its data folder and its connections to the other
 * replicas, which are discovered from a few seed addresses. The state machine
 * belongs to the owner: committed commands are applied in the same order on
 * every replica.
 */
struct rep;

struct rep_ops {
	/* a command is committed; index is its log index */
	void (*apply)(void *arg, uint64_t index, struct lstr cmd);
	/* false: the bytes are not a valid snapshot */
	bool (*restore)(void *arg, struct lstr snap);
	void (*snapshot)(void *arg, struct pk_out *o);
	/*
	 * Leadership was gained or lost. When leading is true, all commands
	 * accepted by earlier leaders are applied.
	 */
	void (*leadership_changed)(void *arg, bool leading, uint64_t term);
	/*
	 * a read requested with rep_read is done; ok is false if leadership was
	 * lost
	 */
	void (*read_done)(void *arg, uint64_t tag, bool ok);
	/* a message that is not between replicas; its kind is already read */
	void (*message)(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in);
	/* an accepted connection was closed */
	void (*closed)(void *arg, struct wire_conn *conn);
};

struct rep_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct keyring *keys;
	const char *node;
	const char *zone;
	const char *addr; /* IP:PORT, for replicas and entry daemons */
	const char *data; /* folder */
	char **seeds; /* IP:PORT of the replicas to contact first */
	/* creates a new fleet whose first voters are the seeds */
	bool bootstrap;
	/* how the number of voters is chosen */
	const struct vtp *voters;
	/* voters are not made fewer than this: 2 x losses + 1 */
	long long voters_min;
	/* connections with own processes, both directions; 0: no limit */
	int conns_max;
	struct mbd *memory; /* of all connections; NULL: not bounded */
};

/* The state of the quorum as seen by one replica. */
struct rep_quorum {
	int voters;
	int learners;
	bool votes; /* this replica is a voter */
	int reached; /* voters heard recently, including this replica */
	int needed;
	/* time without a known leader; 0: a leader is known */
	int64_t leaderless_ms;
};

struct rep *rep_new(const struct rep_config *config, const struct rep_ops *ops,
		    void *arg, GError **err);
void rep_free(struct rep *r);
void rep_set_seeds(struct rep *r, char **seeds);
bool rep_propose(struct rep *r, struct lstr cmd, uint64_t *index);
bool rep_read(struct rep *r, uint64_t tag);
void rep_schedule_pump(struct rep *r);
void rep_transfer_leadership(struct rep *r);
bool rep_leading(const struct rep *r);
bool rep_is_storing(const struct rep *r);
bool rep_failed(const struct rep *r);
int64_t rep_confirmed_ms(const struct rep *r);
bool rep_transfer_pending(const struct rep *r);
uint64_t rep_term(const struct rep *r);
char *rep_leader_addr(const struct rep *r);
char *rep_leader_hint(const struct rep *r);
void rep_reachable_members(const struct rep *r, GPtrArray *out);
bool rep_send_to(struct rep *r, const char *addr, struct lstr payload);
const struct cns_members *rep_members(const struct rep *r);
struct rep_quorum rep_quorum(const struct rep *r);
struct wire_stats rep_wire_stats(const struct rep *r);
const struct cnt_times *rep_sync_times(const struct rep *r);
const struct cnt_times *rep_leaderless_times(const struct rep *r);
uint64_t rep_syncs(const struct rep *r);
int64_t rep_sync_us(const struct rep *r);

#endif
