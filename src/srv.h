#ifndef SRV_H
#define SRV_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "tmr.h"
#include "ups.h"

/*
 * Serving HTTP over libevhtp: whole requests come in, each gets exactly one
 * answer. What libevhtp lets through but two readers could take differently
 * is refused here with a 4xx and the connection closed.
 */
struct srv;
struct srv_req;

struct srv_ops {
	/* a whole request; answer now or later with srv_reply */
	void (*request)(void *arg, struct srv_req *r);
	/* the caller has left before its answer; r must not be used again */
	void (*gone)(void *arg, struct srv_req *r);
	/* room again for more of an answer passed on in parts; may be NULL */
	void (*room)(void *arg, struct srv_req *r);
};

struct srv_config {
	struct event_base *base;
	struct tmr *tmr;
	const char *addr; /* IP:PORT */
	uint64_t max_body;
	uint64_t max_bytes; /* of all bodies not answered yet; 0: no bound */
	int64_t slow_ms; /* a sender that pauses for longer is cut */
	int max_conns; /* the last few of these are only told to come again */
};

struct srv_stats {
	uint64_t requests;
	uint64_t refused; /* framing or size, before any request was made */
	uint64_t crowded; /* connections refused or closed to make room */
	uint64_t unaccepted; /* tries to take one, for want of a descriptor */
	uint64_t open; /* connections now */
	uint64_t pending; /* requests without their answer now */
	uint64_t bytes; /* of bodies that came or are to come for these */
	uint64_t too_many_bytes; /* requests refused for the bound on that */
};

/* Fields of a request that serving and calling share. */
struct srv_req_info {
	const char *method;
	const char *uri; /* path and query, raw */
	const char *path;
	const char *peer_ip;
	bool http11;
};

struct srv *srv_new(const struct srv_config *config, const struct srv_ops *ops,
		    void *arg, GError **err);
void srv_free(struct srv *s);
void srv_stop_accepting(struct srv *s);
void srv_drain(struct srv *s);
struct srv_stats srv_stats(const struct srv *s);

struct srv_req_info srv_info(const struct srv_req *r);
const char *srv_header(const struct srv_req *r, const char *name);
void srv_headers(const struct srv_req *r, GArray *out);
struct evbuffer *srv_body(const struct srv_req *r);
void *srv_user(const struct srv_req *r);
void srv_set_user(struct srv_req *r, void *user);

void srv_reply(struct srv_req *r, int status, const struct ups_header *headers,
	       size_t n, struct evbuffer *body);
void srv_reply_text(struct srv_req *r, int status, const char *text);
bool srv_part_start(struct srv_req *r, int status,
		    const struct ups_header *headers, size_t n);
bool srv_part(struct srv_req *r, struct evbuffer *part);
void srv_part_end(struct srv_req *r);
void srv_abort(struct srv_req *r);

#endif
