#include "srv_int.h"

#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "tmr.h"

/* Memory of a connection without a request: libevhtp's, libevent's, ours. */
#define SRV_CONN_BYTES (7u << 10)
/* Memory of a request without its path, headers and bodies. */
#define SRV_REQ_BYTES (2u << 10)
/* Of a header field, beside its bytes: a list entry and two blocks. */
#define SRV_HEADER_BYTES 192u
/* libevhtp keeps a path whole, by parts and decoded. */
#define SRV_PATH_COPIES 4u

/*
 * Bytes of later requests that are read beside the one that is served or has
 * its answer unread. The rest waits in the kernel, and its sender with it.
 */
#define SRV_AHEAD_MAX (16u << 10)

/*
 * One in this many connections is reserved for callers that get a whole answer
 * (503) because the limit is reached; none if the limit is smaller than this.
 */
#define SRV_REFUSED_DIVISOR 16

/*
 * A connection that has been in its state for this long may be closed in favour
 * of another, ms; 0: never.
 */
static const int64_t srv_evict_after_ms[SRV_STATES] = {
	[SRV_IDLE] = 500,
	/* a head takes at most as long from clients that behave */
	[SRV_BUSY] = 3000,
};

static void srv_room_enter(struct srv_conn *c, enum srv_state state);
static uint64_t srv_room_bytes(const struct srv_conn *c);
static void srv_room_release(void *arg);
static void srv_room_read(struct srv_conn *c, bool read);
static bool srv_is_ahead(const struct srv_conn *c);
static bool srv_is_receiving(const struct srv_conn *c);
static bool srv_has_peer_closed(struct srv_conn *c);

/* Counts a new connection. */
void srv_room_begin(struct srv_conn *c)
{
	struct srv *s = c->s;

	mbd_hold_begin(&c->hold, s->config.memory, srv_room_release, c);
	g_hash_table_add(s->conns, c);
	c->link.data = c;
	c->reading = true;
	c->since_ms = tmr_now(s->config.tmr);
	g_queue_push_tail_link(&s->queues[c->state], &c->link);
	srv_room_update(c);
}

/* A connection ends. */
void srv_room_end(struct srv_conn *c)
{
	mbd_hold_end(&c->hold);
	g_queue_unlink(&c->s->queues[c->state], &c->link);
	g_hash_table_remove(c->s->conns, c);
}

/*
 * Counts anew what a connection holds, and reads on or stops; to be called
 * after each change of its buffers or its request.
 */
void srv_room_update(struct srv_conn *c)
{
	bool served = c->req && !c->req->backlogged;
	enum srv_state state = served		? SRV_SERVED
			       : srv_is_idle(c) ? SRV_IDLE
						: SRV_BUSY;

	if (state != c->state)
		srv_room_enter(c, state);
	/* libevhtp would drop a waiting connection that sends nothing */
	srv_room_read(c, !c->req && !srv_is_ahead(c));
	mbd_hold_set(&c->hold, srv_room_bytes(c), !served || srv_is_ahead(c));
}

/*
 * Has what all connections hold fit into memory. Returns false if this one must
 * go for it, and can be refused as its request has not arrived whole.
 */
bool srv_room_make(struct srv_conn *c)
{
	struct srv *s = c->s;
	bool fits = mbd_reclaim(s->config.memory, &c->hold);

	/* an owner that is told of a released request may end others */
	return !g_hash_table_contains(s->conns, c) || fits ||
	       !srv_is_receiving(c);
}

/* Counts the head of a request. */
void srv_room_count_head(struct srv_conn *c, const evhtp_request_t *ev)
{
	const char *query = (const char *)ev->uri->query_raw;
	uint64_t path =
		strlen(ev->uri->path->full) + (query ? strlen(query) : 0);
	evhtp_kv_t *kv;

	c->parsed_bytes = SRV_PATH_COPIES * path;
	TAILQ_FOREACH(kv, ev->headers_in, next)
		c->parsed_bytes += SRV_HEADER_BYTES + kv->klen + kv->vlen;
}

/* Whether nothing of another request has been received on a connection. */
bool srv_is_idle(const struct srv_conn *c)
{
	return !c->has_request && !c->req &&
	       evbuffer_get_length(c->unparsed) == 0 &&
	       evbuffer_get_length(bufferevent_get_input(c->ev->bev)) == 0;
}

/*
 * Returns the number of connections whose requests are served, out of
 * max_conns.
 */
int srv_served_max(const struct srv *s)
{
	return s->config.max_conns - s->config.max_conns / SRV_REFUSED_DIVISOR;
}

/*
 * Closes the connection that has been idle longest, or else the one whose
 * request has been arriving, or its answer been left unread, for longest.
 * Clients that keep connections would otherwise exclude others permanently.
 */
void srv_evict(struct srv *s)
{
	int64_t now = tmr_now(s->config.tmr);
	int state;

	for (state = 0; state < SRV_STATES; state++) {
		struct srv_conn *c = g_queue_peek_head(&s->queues[state]);

		if (!c || !srv_evict_after_ms[state] ||
		    now - c->since_ms < srv_evict_after_ms[state])
			continue;
		s->stats.crowded++;
		srv_room_release(c);
		return;
	}
}

/*
 * Looks at the connections that aren't read. A caller that has disconnected is
 * closed: its request would keep its place in the queue and be run in vain.
 * Bytes that wait in the kernel are counted, as the platform counts them.
 */
void srv_watch_unread(struct srv *s)
{
	GList *conns = g_hash_table_get_keys(s->conns);
	GList *i;

	for (i = conns; i; i = i->next) {
		struct srv_conn *c = i->data;

		if (c->reading)
			continue;
		if (srv_has_peer_closed(c))
			evhtp_connection_free(c->ev);
		else
			srv_room_update(c);
	}
	g_list_free(conns);
	mbd_reclaim(s->config.memory, NULL);
}

/*
 * Sends an error answer directly on the socket and has libevhtp close the
 * connection, since what follows on it is not reliable. The answer says that
 * the request was not run.
 */
evhtp_res srv_reject(struct srv_conn *c, int status, const char *reason)
{
	char text[512];
	int len;
	ssize_t sent;

	c->s->stats.refused++;
	len = g_snprintf(
		text, sizeof(text),
		"HTTP/1.1 %d Refused\r\n"
		"Endive-Outcome: not-run\r\n"
		"%s"
		"Content-Type: text/plain; charset=utf-8\r\n"
		"Content-Length: %zu\r\n"
		"Connection: close\r\n\r\n%s\n",
		status,
		status == 503 ? "Retry-After: " SRV_RETRY_AFTER_S "\r\n" : "",
		strlen(reason) + 1, reason);
	/* best effort: the close that follows says the same */
	sent = send(bufferevent_getfd(c->ev->bev), text, (size_t)len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	(void)sent;
	return EVHTP_RES_ERROR;
}

/* Moves a connection to the queue of another state. */
static void srv_room_enter(struct srv_conn *c, enum srv_state state)
{
	struct srv *s = c->s;

	g_queue_unlink(&s->queues[c->state], &c->link);
	c->state = state;
	c->since_ms = tmr_now(s->config.tmr);
	g_queue_push_tail_link(&s->queues[state], &c->link);
}

/* What a connection makes the process hold, bytes. */
static uint64_t srv_room_bytes(const struct srv_conn *c)
{
	struct bufferevent *bev = c->ev->bev;
	uint64_t bytes = SRV_CONN_BYTES + c->unread_bytes;

	bytes += mbd_buffer_bytes(c->unparsed);
	bytes += mbd_buffer_bytes(bufferevent_get_input(bev));
	bytes += mbd_buffer_bytes(bufferevent_get_output(bev));
	if (c->has_request && c->ev->request) {
		bytes += SRV_REQ_BYTES + c->parsed_bytes;
		bytes += mbd_buffer_bytes(c->ev->request->buffer_in);
		bytes += mbd_buffer_bytes(c->ev->request->buffer_out);
	}
	return c->req ? bytes + c->req->held_bytes : bytes;
}

/*
 * Closes a connection for want of room. A request that has not arrived whole is
 * refused, unless the refusal would get into an answer that isn't sent yet.
 */
static void srv_room_release(void *arg)
{
	struct srv_conn *c = arg;

	if (srv_is_receiving(c) &&
	    evbuffer_get_length(bufferevent_get_output(c->ev->bev)) == 0)
		srv_reject(c, 503, "no room; send it again");
	evhtp_connection_free(c->ev);
}

/* Starts or stops reading a connection. */
static void srv_room_read(struct srv_conn *c, bool read)
{
	if (read == c->reading)
		return;
	c->reading = read;
	c->unread_bytes = 0;
	if (read)
		bufferevent_enable(c->ev->bev, EV_READ);
	else
		bufferevent_disable(c->ev->bev, EV_READ);
}

/* Whether a caller sends more requests ahead than are read. */
static bool srv_is_ahead(const struct srv_conn *c)
{
	return c->feed.state == HFD_COMPLETE &&
	       evbuffer_get_length(c->unparsed) + c->unread_bytes >=
		       SRV_AHEAD_MAX;
}

/* Whether a request has begun to arrive and is not whole. */
static bool srv_is_receiving(const struct srv_conn *c)
{
	return !c->req && c->feed.state != HFD_COMPLETE && !srv_is_idle(c);
}

/* Whether the caller has closed its connection; counts unread bytes. */
static bool srv_has_peer_closed(struct srv_conn *c)
{
	evutil_socket_t fd = bufferevent_getfd(c->ev->bev);
	int unread = 0;
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
		return true;
	if (n > 0)
		ioctl(fd, FIONREAD, &unread);
	c->unread_bytes = (uint64_t)MAX(unread, 0);
	return false;
}
