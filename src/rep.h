#ifndef REP_H
#define REP_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cns.h"
#include "key.h"
#include "lstr.h"
#include "pk.h"
#include "tmr.h"
#include "wire.h"

/*
 * A replica: consensus, data folder and connections to the other replicas,
 * found from a few seeds. The state machine is the owner's: commands come out
 * of rep in the same order on every replica.
 */
struct rep;

struct rep_ops {
	/* a command is final; index is its place in the log */
	void (*apply)(void *arg, uint64_t index, struct lstr cmd);
	/* false: the bytes are no snapshot of ours */
	bool (*restore)(void *arg, struct lstr snap);
	void (*snapshot)(void *arg, struct pk_out *o);
	/* we lead and hold all that was accepted before, or we don't lead */
	void (*lead)(void *arg, bool leading, uint64_t term);
	/* a read asked for with rep_read; false: leadership was lost */
	void (*read_done)(void *arg, uint64_t tag, bool ok);
	/* a message that isn't between replicas; its kind is read already */
	void (*message)(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in);
	/* a connection that came in is gone */
	void (*gone)(void *arg, struct wire_conn *conn);
};

struct rep_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct keyring *keys;
	const char *node;
	const char *zone;
	const char *addr; /* IP:PORT, for replicas and entry daemons */
	const char *data; /* folder */
	char **seeds; /* IP:PORT of replicas to ask first */
	bool bootstrap; /* the fleet begins: seeds are its first voters */
	long long voters_min; /* never fewer by our own doing */
	int conns_max; /* with own processes, both ways; 0: not bounded */
};

/* What of a quorum a replica can see. */
struct rep_quorum {
	int voters;
	int reached; /* of these, that were heard of late; us too */
	int needed;
	int64_t leaderless_ms; /* 0: a leader is known */
};

struct rep *rep_new(const struct rep_config *config, const struct rep_ops *ops,
		    void *arg, GError **err);
void rep_free(struct rep *r);
void rep_set_seeds(struct rep *r, char **seeds);
bool rep_propose(struct rep *r, struct lstr cmd, uint64_t *index);
bool rep_read(struct rep *r, uint64_t tag);
void rep_kick(struct rep *r);
void rep_hand_over(struct rep *r);
bool rep_leading(const struct rep *r);
bool rep_failed(const struct rep *r);
int64_t rep_sure_ms(const struct rep *r);
bool rep_hands_over(const struct rep *r);
uint64_t rep_term(const struct rep *r);
char *rep_leader_addr(const struct rep *r);
void rep_others(const struct rep *r, GPtrArray *out);
bool rep_send_to(struct rep *r, const char *addr, struct lstr payload);
const struct cns_members *rep_members(const struct rep *r);
struct rep_quorum rep_quorum(const struct rep *r);
struct wire_stats rep_wire_stats(const struct rep *r);
const struct cnt_times *rep_sync_times(const struct rep *r);
const struct cnt_times *rep_leaderless(const struct rep *r);
uint64_t rep_syncs(const struct rep *r);
int64_t rep_sync_us(const struct rep *r);

#endif
