#ifndef WIRE_H
#define WIRE_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "key.h"
#include "lstr.h"
#include "mbd.h"
#include "tmr.h"

/*
 * Authenticated messages in length-framed TCP between our own processes. A
 * frame is a 4-byte big-endian length, the payload and a 16-byte tag keyed by
 * both sides' nonces, so that a frame of another connection never passes.
 */

/* Largest payload from an authenticated peer, bytes. */
#define WIRE_PAYLOAD_MAX (4u << 20)

struct wire;
struct wire_conn;

/* What happens on a connection; all from the loop, never from within a call. */
struct wire_ops {
	/* the peer has proved its key; messages may be sent from now on */
	void (*up)(void *arg, struct wire_conn *c);
	/* a whole message; payload is valid only during the call */
	void (*recv)(void *arg, struct wire_conn *c, struct lstr payload);
	/*
	 * the connection is gone; a dialled one comes up again by itself, an
	 * accepted one is freed after this call
	 */
	void (*down)(void *arg, struct wire_conn *c, const GError *why);
	/* whether who dials from there may take a kept place; NULL: nobody */
	bool (*goes_first)(void *arg, const char *ip);
};

/* Who we are, and the patience of every connection. */
struct wire_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct keyring *keys;
	const char *node; /* name of this process, one in the fleet */
	const char *zone;
	int64_t silence_ms; /* nothing heard for that long: the peer is gone */
	int conns_max; /* at once, both ways; 0: not bounded */
	int conns_kept; /* of these, for those who go first */
	struct mbd *memory; /* of all connections; NULL: not bounded */
};

struct wire *wire_new(const struct wire_config *config);
void wire_free(struct wire *w);
int wire_listen(struct wire *w, const char *addr, const struct wire_ops *ops,
		void *arg, GError **err);
struct wire_conn *wire_dial(struct wire *w, const char *addr,
			    const struct wire_ops *ops, void *arg);
bool wire_send(struct wire_conn *c, struct lstr payload);
void wire_hurry(struct wire_conn *c);
void wire_close(struct wire_conn *c);
size_t wire_backlog(const struct wire_conn *c);
bool wire_addr_is_of(const char *addr, const char *ip);
bool wire_is_up(const struct wire_conn *c);
const char *wire_node(const struct wire_conn *c);
const char *wire_zone(const struct wire_conn *c);
const char *wire_addr(const struct wire_conn *c);
const char *wire_key_name(const struct wire_conn *c);
enum key_role wire_role(const struct wire_conn *c);
void *wire_user(const struct wire_conn *c);
void wire_set_user(struct wire_conn *c, void *user);

/* Bytes in and out on all connections since the start, frames included. */
struct wire_stats {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t msgs_in;
	uint64_t msgs_out;
	uint64_t refused; /* wrong key, stale or bad frame, oversized */
	uint64_t crowded; /* of others' connections: there were too many */
	uint64_t open; /* connections now, both ways */
};
struct wire_stats wire_stats(const struct wire *w);

#endif
