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

/* How often calls on their way are looked after. */
#define GAT_TICK_MS 50

/* A replica. */
struct gat_core {
	struct gat *g;
	char *addr;
	struct wire_conn *conn;
	uint64_t term; /* in which it says that it leads; 0: it doesn't */
};

/* A caller's request whose answer is due. */
struct gat_call {
	uint64_t no;
	struct srv_req *req;
	struct gat_core *core; /* it was sent to; NULL: waits for a leader */
	bool sent; /* it may have been carried out */
	int64_t came_ms;
	int64_t since_ms; /* of the last change of core */
	int64_t patience_ms;
	char *host;
	char *path;
	char *method;
	GBytes *body;
};

enum gat_count {
	GAT_REQUESTS,
	GAT_ANSWERS,
	GAT_REFUSED,
	GAT_UNKNOWN,
	GAT_AGAIN,
	GAT_TURNED_AWAY,
	GAT_COUNTS
};

struct gat {
	struct gat_config config;
	struct tmr *tmr;
	struct wire *wire;
	struct srv *srv;
	struct srv *ready;
	struct srv *metrics;
	GHashTable *cores; /* address: struct gat_core */
	GHashTable *calls; /* no: struct gat_call */
	struct gat_core *leader;
	int64_t leaderless_ms; /* since; while there is no leader */
	uint64_t next_no;
	uint64_t tick;
	int64_t drain_from; /* 0: not draining */
	bool closing;
	uint64_t counts[GAT_COUNTS];
	struct cnt_times answers; /* a request's, until its answer */
	struct cnt_times refusals; /* the same of refused and unknown ones */
	struct cnt_times leaderless; /* how long no leader was known */
};

/* gat_call */
void gat_on_request(void *arg, struct srv_req *r);
void gat_call_free(gpointer p);
void gat_call_send(struct gat *g, struct gat_call *c);
void gat_call_answer(struct gat *g, struct pk_in *in);
void gat_calls_tick(struct gat *g, int64_t now);
void gat_on_gone(void *arg, struct srv_req *r);
/* gat_core */
extern const struct wire_ops gat_wire_ops;
void gat_core_add(struct gat *g, const char *addr);
void gat_core_free(gpointer p);

#endif
