#ifndef GAT_INT_H
#define GAT_INT_H

#include <inttypes.h>
#include <stdlib.h>

#include "cnt.h"
#include "gat.h"
#include "msg.h"
#include "pk.h"
#include "proto.h"
#include "srv.h"
#include "tmr.h"
#include "wire.h"

/*
 * Files of the entry daemon, each using only those before it: gat_call (a
 * caller's request until its answer), gat_core (the replicas, and which of them
 * leads), gat (the daemon itself).
 */

/* Interval at which pending calls are checked for timeouts. */
#define GAT_TICK_MS 50

/* A replica (control daemon) and the connection to it. */
struct gat_replica {
	struct gat *g;
	char *addr;
	struct wire_conn *conn;
	uint64_t term; /* in which the replica claims to lead; 0: it does not */
};

/* A caller's request that is not answered yet. */
struct gat_call {
	uint64_t id;
	struct srv_req *req;
	/* the replica the call was sent to; NULL: it waits for a leader */
	struct gat_replica *replica;
	bool sent; /* the call may have been carried out */
	int64_t received_ms;
	int64_t routed_ms; /* time of the last change of replica */
	int64_t timeout_ms;
	char *host;
	char *path;
	char *method;
	char *credentials; /* header with the caller's key; "": none */
	GBytes *body;
};

enum gat_count {
	GAT_REQUESTS,
	GAT_ANSWERS,
	GAT_REFUSED,
	GAT_UNKNOWN,
	GAT_RESENT,
	GAT_RETRY_LATER,
	GAT_COUNTS
};

struct gat {
	struct gat_config config;
	struct tmr *tmr;
	struct mbd *memory; /* of all connections */
	struct wire *wire;
	struct srv *srv;
	struct srv *ready;
	struct srv *metrics;
	GHashTable *replicas; /* address: struct gat_replica */
	GHashTable *calls; /* id: struct gat_call */
	struct gat_replica *leader;
	int64_t leaderless_since_ms; /* while no leader is known */
	uint64_t next_id;
	uint64_t tick;
	int64_t drain_since_ms; /* start of the planned stop; 0: not draining */
	bool closing;
	uint64_t counts[GAT_COUNTS];
	struct cnt_times answers; /* time from a request to its answer */
	struct cnt_times refusals; /* for refusals and unknown outcomes */
	struct cnt_times leaderless; /* times without a known leader */
};

/* gat_call */
void gat_on_request(void *arg, struct srv_req *r);
void gat_call_free(gpointer p);
void gat_call_send(struct gat *g, struct gat_call *c);
void gat_call_answer(struct gat *g, struct pk_in *in);
void gat_calls_tick(struct gat *g, int64_t now);
void gat_on_disconnect(void *arg, struct srv_req *r);
/* gat_core */
extern const struct wire_ops gat_wire_ops;
void gat_replica_add(struct gat *g, const char *addr);
void gat_replica_free(gpointer p);

#endif
