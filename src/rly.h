#ifndef RLY_H
#define RLY_H

#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"
#include "tmr.h"
#include "ups.h"
#include "wire.h"

/*
 * Calls to workers that other replicas make for the leader. The leader decides
 * what is ordered and what an answer means, as for calls of its own; another
 * replica, the carrier, only speaks HTTP. Calls and answers go in batches, so
 * that a call costs the leader a small part of what one of its own does.
 *
 * An order that a carrier writes late is as one that the network held up: it
 * has the leader's fence and the end of its lease on it, and means nothing to
 * a worker after either. A carrier also drops what reached it late by its own
 * clock, what it can't write within the call's limit, and what was given out
 * under a term that is over.
 */
struct rly; /* the leader's side */
struct rly_call;
struct rly_carry; /* the carrier's side */

/* How the leader's side reaches carriers. */
struct rly_ops {
	/* sends a message to the replica at an address; false: it can't be */
	bool (*send)(void *arg, const char *addr, struct lstr payload);
};

/* Sends answers back over the connection that calls came in on. */
typedef bool (*rly_tell)(struct wire_conn *conn, struct lstr payload);

/* Counters since the start. */
struct rly_stats {
	uint64_t calls;
	uint64_t lost; /* no carrier told what became of them */
	uint64_t carried; /* for others */
	uint64_t dropped; /* of these, that came too late */
};

struct rly *rly_new(struct tmr *tmr, const struct rly_ops *ops, void *arg);
void rly_free(struct rly *r);
void rly_lead(struct rly *r, uint64_t term);
void rly_rest(struct rly *r);
void rly_ask(struct rly *r, const char *carrier);
bool rly_ready(const struct rly *r, const char *carrier);
struct rly_call *rly_start(struct rly *r, const char *carrier,
			   const struct ups_request *q,
			   const struct ups_ops *ops, void *arg);
void rly_cancel(struct rly_call *c);
void rly_answers(struct rly *r, const char *carrier, struct pk_in *in);
struct rly_stats rly_stats(const struct rly *r);

struct rly_carry *rly_carry_new(struct tmr *tmr, struct ups *ups,
				rly_tell tell);
void rly_carry_free(struct rly_carry *r);
void rly_carry_calls(struct rly_carry *r, struct wire_conn *conn,
		     uint64_t own_term, struct pk_in *in);
void rly_carry_gone(struct rly_carry *r, const struct wire_conn *conn);
void rly_carry_drop(struct rly_carry *r);
struct rly_stats rly_carry_stats(const struct rly_carry *r);

#endif
