#ifndef RLY_H
#define RLY_H

/* Relaying of a leader's calls to workers through other replicas. */

#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"
#include "tmr.h"
#include "ups.h"
#include "wire.h"

/*
 * The leader decides which orders are given and what an answer means, as for
 * calls that it makes itself; the relay, a replica that does not lead, only
 * speaks HTTP. Calls and answers travel in batches, so that a relayed call
 * costs the leader a small part of what its own calls do.
 *
 *
 * An order that a relay writes late is like one delayed by the network: it
 * carries the leader's fence and the end of its lease, and a worker ignores it
 * after either has passed. A relay also drops calls that reach it late by its
 * own clock, that it cannot write within the call's time limit, or that were
 * issued in an earlier term.
 */
struct rly; /* the leader's side */
struct rly_call;
struct rly_relay; /* the relay's side */

/* Callbacks of the leader's side. */
struct rly_ops {
	/* sends a message to the replica at addr; false: not possible */
	bool (*send)(void *arg, const char *addr, struct lstr payload);
};

/* Sends answers back over the connection on which the calls arrived. */
typedef bool (*rly_send_fn)(struct wire_conn *conn, struct lstr payload);

/* Counters since the start. */
struct rly_stats {
	uint64_t calls;
	uint64_t lost; /* no relay reported their end */
	uint64_t relayed; /* relayed for other replicas */
	uint64_t dropped; /* of these, arrived too late to be made */
};

struct rly *rly_new(struct tmr *tmr, const struct rly_ops *ops, void *arg);
void rly_free(struct rly *r);
void rly_set_term(struct rly *r, uint64_t term);
void rly_drop_unsent(struct rly *r);
void rly_request_clock(struct rly *r, const char *relay);
bool rly_is_ready(const struct rly *r, const char *relay);
struct rly_call *rly_start(struct rly *r, const char *relay,
			   const struct ups_request *q,
			   const struct ups_ops *ops, void *arg);
void rly_cancel(struct rly_call *c);
void rly_on_answers(struct rly *r, const char *relay, struct pk_in *in);
struct rly_stats rly_stats(const struct rly *r);

struct rly_relay *rly_relay_new(struct tmr *tmr, struct ups *ups,
				rly_send_fn send);
void rly_relay_free(struct rly_relay *r);
void rly_relay_on_calls(struct rly_relay *r, struct wire_conn *conn,
			uint64_t own_term, struct pk_in *in);
void rly_relay_on_disconnect(struct rly_relay *r, const struct wire_conn *conn);
void rly_relay_cancel_all(struct rly_relay *r);
struct rly_stats rly_relay_stats(const struct rly_relay *r);

#endif
