#ifndef SRV_H
#define SRV_H

/* HTTP server for callers' requests, over libevhtp. */

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "mbd.h"
#include "tmr.h"
#include "ups.h"

/*
 * Only whole requests are passed on, and each gets exactly one answer. Requests
 * that libevhtp accepts but that two parsers could read differently are refused
 * with a 4xx, and their connection is closed.
 */
struct srv;
struct srv_req;

struct srv_ops {
	/*
	 * A whole request has arrived; answer it now or later with srv_reply.
	 */
	void (*request)(void *arg, struct srv_req *r);
	/*
	 * The caller has disconnected before its answer; r must not be used
	 * again.
	 */
	void (*disconnected)(void *arg, struct srv_req *r);
	/* More of a streamed answer can be sent; may be NULL. */
	void (*writable)(void *arg, struct srv_req *r);
};

struct srv_config {
	struct event_base *base;
	struct tmr *tmr;
	const char *addr; /* IP:PORT */
	uint64_t max_body;
	struct mbd *memory; /* of all connections of the process */
	/* a sender that pauses for longer is disconnected */
	int64_t io_timeout_ms;
	int max_conns; /* the last few of them are only answered 503 */
};

struct srv_stats {
	uint64_t requests;
	uint64_t refused; /* requests rejected for framing or size */
	uint64_t crowded; /* connections refused or closed at the limit */
	uint64_t accept_failures; /* for want of a descriptor */
	uint64_t open; /* open connections */
	uint64_t pending; /* unanswered requests */
};

/* Parts of a request that forwarding it needs too. */
struct srv_req_info {
	const char *method;
	const char *uri; /* path and query, not decoded */
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
GBytes *srv_take_body(struct srv_req *r);
void srv_count(struct srv_req *r, uint64_t bytes);
void *srv_user(const struct srv_req *r);
void srv_set_user(struct srv_req *r, void *user);

void srv_reply(struct srv_req *r, int status, const struct ups_header *headers,
	       size_t n, struct evbuffer *body);
void srv_reply_text(struct srv_req *r, int status, const char *text);
bool srv_stream_start(struct srv_req *r, int status,
		      const struct ups_header *headers, size_t n);
bool srv_stream_part(struct srv_req *r, struct evbuffer *part);
void srv_stream_end(struct srv_req *r);
void srv_abort(struct srv_req *r);

#endif
