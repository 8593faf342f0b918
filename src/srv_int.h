#ifndef SRV_INT_H
#define SRV_INT_H

#include <evhtp/evhtp.h>
#include <sys/queue.h>

#include "acc.h"
#include "hfd.h"
#include "mbd.h"
#include "srv.h"

/*
 * Files of the HTTP server, each using only those before it: srv_room (what
 * connections hold, and which must go where there is no room), srv (requests
 * and answers).
 */

/* Retry-After of a refusal, s: most connections are free sooner. */
#define SRV_RETRY_AFTER_S "1"

/* What a connection is at. */
enum srv_state {
	SRV_IDLE, /* nothing of a request has arrived */
	SRV_BUSY, /* a request arrives, or an answer waits to be read */
	SRV_SERVED, /* its request is with the server's owner */
	SRV_STATES
};

struct srv {
	struct srv_config config;
	const struct srv_ops *ops;
	void *arg;
	evhtp_t *htp;
	struct acc acc;
	GHashTable *conns; /* all struct srv_conn */
	GQueue queues[SRV_STATES]; /* of struct srv_conn, the longest first */
	struct srv_stats stats;
	bool draining;
	bool accepting;
	uint64_t watch_timer;
};

/* A caller's connection. */
struct srv_conn {
	struct srv *s;
	evhtp_connection_t *ev;
	size_t header_bytes;
	unsigned int header_count;
	struct srv_req *req; /* the request that is not answered yet */
	struct hfd feed;
	struct evbuffer *unparsed; /* received but not passed to libevhtp yet */
	bufferevent_data_cb evhtp_read; /* libevhtp's read callback */
	uint64_t feed_timer;
	enum srv_state state;
	GList link; /* in the queue of its state */
	int64_t since_ms; /* when it entered its state */
	bool over_limit; /* its request is refused with a 503 */
	bool has_request; /* libevhtp has a request, up to its last byte sent */
	bool reading; /* the socket is read */
	uint64_t parsed_bytes; /* what the head of its request takes */
	uint64_t unread_bytes; /* in the kernel, as of the last look */
	struct mbd_hold hold;
	char ip[48];
};

struct srv_req {
	struct srv_conn *conn;
	evhtp_request_t *ev;
	char *uri;
	void *user;
	uint64_t held_bytes; /* what the owner holds for it, beyond srv */
	bool streaming;
	bool backlogged; /* the caller reads too slowly; ops->writable is due */
};

/* srv_room */
void srv_room_begin(struct srv_conn *c);
void srv_room_end(struct srv_conn *c);
void srv_room_update(struct srv_conn *c);
bool srv_room_make(struct srv_conn *c);
void srv_room_count_head(struct srv_conn *c, const evhtp_request_t *ev);
bool srv_is_idle(const struct srv_conn *c);
int srv_served_max(const struct srv *s);
void srv_evict(struct srv *s);
void srv_watch_unread(struct srv *s);
evhtp_res srv_reject(struct srv_conn *c, int status, const char *reason);

#endif
