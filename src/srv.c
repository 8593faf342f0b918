#include "srv_int.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include "err.h"
#include "hdr.h"
#include "msg.h"

/* Header bytes of a request: four times what common clients send. */
#define SRV_HEADERS_MAX (16 << 10)
#define SRV_HEADERS_COUNT_MAX 100

/* Unsent bytes of a streamed answer from which the target has to wait. */
#define SRV_BACKLOG_MAX (256 << 10)

#define SRV_LISTEN_BACKLOG 1024

/* Interval at which connections that aren't read are looked at, ms. */
#define SRV_WATCH_MS 200

static evhtp_res srv_on_accept(evhtp_connection_t *ev, void *arg);
static void srv_on_accept_error(struct evconnlistener *l, void *arg);
static void srv_refuse_over_limit(struct srv_req *r);
static void srv_on_read(struct bufferevent *bev, void *arg);
static void srv_take_input(struct srv_conn *c);
static void srv_append(struct evbuffer *to, struct evbuffer *from);
static evhtp_res srv_on_body(evhtp_request_t *ev, struct evbuffer *part,
			     void *arg);
static void srv_feed(struct srv_conn *c);
static void srv_feed_timer(void *arg, int64_t now);
static evhtp_res srv_on_headers_start(evhtp_request_t *ev, void *arg);
static evhtp_res srv_on_header(evhtp_request_t *ev, evhtp_header_t *h,
			       void *arg);
static evhtp_res srv_on_headers(evhtp_request_t *ev, evhtp_headers_t *h,
				void *arg);
static evhtp_res srv_on_conn_end(evhtp_connection_t *ev, void *arg);
static evhtp_res srv_on_req_end(evhtp_request_t *ev, void *arg);
static evhtp_res srv_on_write(evhtp_connection_t *ev, void *arg);
static void srv_on_request(evhtp_request_t *ev, void *arg);
static const char *srv_request_error(evhtp_request_t *ev, int *status);
static void srv_watch(void *arg, int64_t now);
static void srv_req_end(struct srv_req *r);
static void srv_add_headers(struct srv_req *r, const struct ups_header *headers,
			    size_t n);

/*
 * Serves HTTP at config->addr. Returns NULL with ERR_IO if the address cannot
 * be opened. ops are called from the event loop, and from within srv_reply for
 * the next request of a connection.
 */
struct srv *srv_new(const struct srv_config *config, const struct srv_ops *ops,
		    void *arg, GError **err)
{
	struct srv *s = g_new0(struct srv, 1);
	struct timeval slow = {.tv_sec = config->io_timeout_ms / 1000,
			       .tv_usec =
				       (config->io_timeout_ms % 1000) * 1000};
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	s->config = *config;
	s->ops = ops;
	s->arg = arg;
	s->accepting = true;
	s->conns = g_hash_table_new(NULL, NULL);
	s->watch_timer = tmr_every(config->tmr, SRV_WATCH_MS, srv_watch, s);
	s->htp = evhtp_new(config->base, s);
	evhtp_enable_flag(s->htp, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_max_body_size(s->htp, config->max_body);
	evhtp_set_timeouts(s->htp, &slow, &slow);
	evhtp_set_post_accept_cb(s->htp, srv_on_accept, s);
	evhtp_set_gencb(s->htp, srv_on_request, s);
	if (evutil_parse_sockaddr_port(config->addr, (struct sockaddr *)&ss,
				       &len) == 0 &&
	    evhtp_bind_sockaddr(s->htp, (struct sockaddr *)&ss, (size_t)len,
				SRV_LISTEN_BACKLOG) == 0) {
		acc_init(&s->acc, config->tmr, s->htp->server, config->addr);
		evconnlistener_set_error_cb(s->htp->server,
					    srv_on_accept_error);
		return s;
	}
	err_set(err, ERR_IO, "listen", config->addr, "%s", g_strerror(errno));
	srv_free(s);
	return NULL;
}

/*
 * Closes all connections at once; ops->disconnected is called for unanswered
 * requests.
 */
void srv_free(struct srv *s)
{
	GList *conns;
	GList *i;

	if (!s)
		return;
	tmr_cancel(s->config.tmr, s->watch_timer);
	srv_stop_accepting(s);
	conns = g_hash_table_get_keys(s->conns);
	for (i = conns; i; i = i->next)
		evhtp_connection_free(((struct srv_conn *)i->data)->ev);
	g_list_free(conns);
	g_hash_table_destroy(s->conns);
	evhtp_free(s->htp);
	g_free(s);
}

/* Stops listening; open connections stay. */
void srv_stop_accepting(struct srv *s)
{
	if (!s->accepting)
		return;
	s->accepting = false;
	acc_done(&s->acc);
	evhtp_unbind_socket(s->htp);
}

/*
 * Closes idle connections at once and any other after its next answer. A
 * request that is being received is still read to its end.
 */
void srv_drain(struct srv *s)
{
	GList *conns = g_hash_table_get_keys(s->conns);
	GList *i;

	s->draining = true;
	for (i = conns; i; i = i->next) {
		struct srv_conn *c = i->data;

		if (srv_is_idle(c))
			evhtp_connection_free(c->ev);
	}
	g_list_free(conns);
}

/* Returns the counters since the start. */
struct srv_stats srv_stats(const struct srv *s)
{
	struct srv_stats st = s->stats;

	st.open = g_hash_table_size(s->conns);
	st.accept_failures = s->acc.failed;
	return st;
}

/* Returns the request line and the peer of a request. */
struct srv_req_info srv_info(const struct srv_req *r)
{
	const char *method = htparser_get_methodstr_m(r->ev->method);

	return (struct srv_req_info){
		.method = method ? method : "",
		.uri = r->uri,
		.path = r->ev->uri->path->full,
		.peer_ip = r->conn->ip,
		.http11 = r->ev->proto == EVHTP_PROTO_11,
	};
}

/* Returns the value of a request's header, or NULL. */
const char *srv_header(const struct srv_req *r, const char *name)
{
	return evhtp_header_find(r->ev->headers_in, name);
}

/* Appends the request's headers to out; they point into r. */
void srv_headers(const struct srv_req *r, GArray *out)
{
	evhtp_kv_t *kv;

	TAILQ_FOREACH(kv, r->ev->headers_in, next) {
		struct ups_header h = {kv->key, kv->val};

		g_array_append_val(out, h);
	}
}

/* Returns the whole body, which lives until the answer. */
struct evbuffer *srv_body(const struct srv_req *r)
{
	return r->ev->buffer_in;
}

/*
 * Moves a request's whole body out of it, so that it is held once. What it
 * takes is counted until the answer.
 */
GBytes *srv_take_body(struct srv_req *r)
{
	struct evbuffer *body = r->ev->buffer_in;
	size_t len = evbuffer_get_length(body);
	char *bytes = g_malloc(len);

	evbuffer_remove(body, bytes, len);
	srv_count(r, len);
	return g_bytes_new_take(bytes, len);
}

/* Counts bytes that the owner holds for a request until its answer. */
void srv_count(struct srv_req *r, uint64_t bytes)
{
	r->held_bytes += bytes;
	srv_room_update(r->conn);
}

/* Returns the owner's data of a request. */
void *srv_user(const struct srv_req *r)
{
	return r->user;
}

/* Sets the owner's data of a request. */
void srv_set_user(struct srv_req *r, void *user)
{
	r->user = user;
}

/*
 * Answers a request with a whole body (NULL: none) and frees it. The bytes of
 * body are moved out of it.
 */
void srv_reply(struct srv_req *r, int status, const struct ups_header *headers,
	       size_t n, struct evbuffer *body)
{
	struct srv_conn *c = r->conn;
	evhtp_request_t *ev = r->ev;

	srv_add_headers(r, headers, n);
	/* libevhtp would send a body with the answer to HEAD */
	if (body && ev->method != htp_method_HEAD)
		evbuffer_add_buffer(ev->buffer_out, body);
	srv_req_end(r);
	evhtp_send_reply(ev, (evhtp_res)status);
	srv_room_update(c);
}

/* Answers a request with a line of text. */
void srv_reply_text(struct srv_req *r, int status, const char *text)
{
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; charset=utf-8"};
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "%s\n", text);
	srv_reply(r, status, &type, 1, body);
	evbuffer_free(body);
}

/*
 * Starts a streamed answer with chunked encoding, so that a caller can detect a
 * truncated one by its missing last chunk. Returns false, with nothing sent, if
 * the caller speaks HTTP/1.0 and could not detect that.
 */
bool srv_stream_start(struct srv_req *r, int status,
		      const struct ups_header *headers, size_t n)
{
	if (r->ev->proto != EVHTP_PROTO_11)
		return false;
	srv_add_headers(r, headers, n);
	r->streaming = true;
	evhtp_send_reply_chunk_start(r->ev, (evhtp_res)status);
	return true;
}

/*
 * Sends a part of a streamed answer and empties it. Returns false if the next
 * part must wait for ops->writable.
 */
bool srv_stream_part(struct srv_req *r, struct evbuffer *part)
{
	struct evbuffer *out;

	if (evbuffer_get_length(part))
		evhtp_send_reply_chunk(r->ev, part);
	evbuffer_drain(part, evbuffer_get_length(part));
	out = bufferevent_get_output(r->conn->ev->bev);
	r->backlogged = evbuffer_get_length(out) > SRV_BACKLOG_MAX;
	srv_room_update(r->conn);
	return !r->backlogged;
}

/* Ends a streamed answer and frees its request. */
void srv_stream_end(struct srv_req *r)
{
	struct srv_conn *c = r->conn;
	evhtp_request_t *ev = r->ev;

	srv_req_end(r);
	evhtp_send_reply_chunk_end(ev);
	srv_room_update(c);
}

/*
 * Ends a request without its answer, or part of it, and frees it. The
 * connection is closed, so that the caller sees a truncated answer.
 */
void srv_abort(struct srv_req *r)
{
	evhtp_connection_t *ev = r->conn->ev;

	srv_req_end(r);
	evhtp_connection_free(ev);
}

/* Accepts a caller's connection, or refuses it at the limit. */
static evhtp_res srv_on_accept(evhtp_connection_t *ev, void *arg)
{
	struct srv *s = arg;
	struct srv_conn *c;
	const struct sockaddr *sa = ev->saddr;
	bufferevent_data_cb write;
	bufferevent_event_cb event;
	void *cb_arg;

	if ((int)g_hash_table_size(s->conns) >= srv_served_max(s))
		srv_evict(s);
	if ((int)g_hash_table_size(s->conns) >= s->config.max_conns) {
		s->stats.crowded++;
		return EVHTP_RES_ERROR;
	}
	c = g_new0(struct srv_conn, 1);
	c->s = s;
	c->ev = ev;
	c->unparsed = evbuffer_new();
	bufferevent_getcb(ev->bev, &c->evhtp_read, &write, &event, &cb_arg);
	bufferevent_setcb(ev->bev, srv_on_read, write, event, cb_arg);
	evutil_inet_ntop(
		sa->sa_family,
		sa->sa_family == AF_INET
			? (void *)&((struct sockaddr_in *)sa)->sin_addr
			: (void *)&((struct sockaddr_in6 *)sa)->sin6_addr,
		c->ip, sizeof(c->ip));
	c->over_limit = (int)g_hash_table_size(s->conns) >= srv_served_max(s);
	srv_room_begin(c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_headers_start,
				  (evhtp_hook)srv_on_headers_start, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_header,
				  (evhtp_hook)srv_on_header, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_headers,
				  (evhtp_hook)srv_on_headers, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_read,
				  (evhtp_hook)srv_on_body, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_connection_fini,
				  (evhtp_hook)srv_on_conn_end, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_request_fini,
				  (evhtp_hook)srv_on_req_end, c);
	evhtp_connection_set_hook(ev, evhtp_hook_on_write,
				  (evhtp_hook)srv_on_write, c);
	return EVHTP_RES_OK;
}

/* Pauses accepting after a failed accept. libevhtp passes its own argument. */
static void srv_on_accept_error(struct evconnlistener *l, void *arg)
{
	const evhtp_t *htp = arg;
	struct srv *s = htp->arg;

	acc_rest(&s->acc);
}

/* Handles received bytes: libevhtp gets those that it cannot misread. */
static void srv_on_read(struct bufferevent *bev, void *arg)
{
	const evhtp_connection_t *ev = arg;
	struct srv_conn *c = ev->hooks->on_connection_fini_arg;

	srv_take_input(c);
	srv_feed(c);
}

/* Moves received bytes out of libevhtp's reach until they are checked. */
static void srv_take_input(struct srv_conn *c)
{
	srv_append(c->unparsed, bufferevent_get_input(c->ev->bev));
}

/*
 * Moves all bytes of a buffer to the end of another. evbuffer_add_buffer would
 * hand over whole blocks, and a packet or chunk of one byte would then take a
 * kilobyte for as long as its request is held.
 */
static void srv_append(struct evbuffer *to, struct evbuffer *from)
{
	size_t len = evbuffer_get_length(from);

	evbuffer_add(to, evbuffer_pullup(from, -1), len);
	evbuffer_drain(from, len);
}

/* Collects a part of a body itself, so that libevhtp has nothing to add. */
static evhtp_res srv_on_body(evhtp_request_t *ev, struct evbuffer *part,
			     void *arg)
{
	srv_append(ev->buffer_in, part);
	return EVHTP_RES_OK;
}

/*
 * Passes received bytes to libevhtp as far as they are complete and valid. Its
 * read callbacks are deferred: bytes may have arrived that srv_on_read has not
 * seen yet, and libevhtp would parse them before those passed on here.
 */
static void srv_feed(struct srv_conn *c)
{
	struct srv *s = c->s;
	struct bufferevent *bev = c->ev->bev;
	enum hfd_verdict v = HFD_PASS;

	srv_take_input(c);
	while (v == HFD_PASS) {
		struct evbuffer *in = bufferevent_get_input(bev);

		/* a bufferevent lets only its socket append to its input */
		evbuffer_unfreeze(in, 0);
		v = hfd_step(&c->feed, c->unparsed, in);
		evbuffer_freeze(in, 0);
		if (v != HFD_PASS)
			break;
		c->evhtp_read(bev, c->ev);
		/* libevhtp may have closed the connection */
		if (!g_hash_table_contains(s->conns, c))
			return;
	}
	srv_room_update(c);
	if (v == HFD_WAIT) {
		if (!srv_room_make(c))
			mbd_release(&c->hold);
		return;
	}
	srv_reject(c, v == HFD_HEAD_TOO_LARGE ? 431 : 400,
		   v == HFD_HEAD_TOO_LARGE ? "headers too large" : "malformed");
	evhtp_connection_free(c->ev);
}

/* Continues with bytes received during the previous request. */
static void srv_feed_timer(void *arg, int64_t now)
{
	struct srv_conn *c = arg;

	c->feed_timer = 0;
	srv_feed(c);
}

/* Resets the counts of header bytes and fields. */
static evhtp_res srv_on_headers_start(evhtp_request_t *ev, void *arg)
{
	struct srv_conn *c = arg;

	c->header_bytes = 0;
	c->header_count = 0;
	c->parsed_bytes = 0;
	c->has_request = true;
	return EVHTP_RES_OK;
}

/* Counts a header field; refuses the request if there are too many bytes. */
static evhtp_res srv_on_header(evhtp_request_t *ev, evhtp_header_t *h,
			       void *arg)
{
	struct srv_conn *c = arg;

	c->header_bytes += h->klen + h->vlen;
	c->header_count++;
	if (c->header_bytes > SRV_HEADERS_MAX ||
	    c->header_count > SRV_HEADERS_COUNT_MAX)
		return srv_reject(c, 431, "headers too large");
	return EVHTP_RES_OK;
}

/* Checks a request's headers. */
static evhtp_res srv_on_headers(evhtp_request_t *ev, evhtp_headers_t *h,
				void *arg)
{
	struct srv_conn *c = arg;
	int status = 400;
	const char *reason = srv_request_error(ev, &status);

	if (reason)
		return srv_reject(c, status, reason);
	srv_room_count_head(c, ev);
	return EVHTP_RES_OK;
}

/*
 * Returns why a request is refused, or NULL. Two parsers must never disagree on
 * where its body ends, as the bytes after it would be another request (request
 * smuggling). libevhtp accepts a length together with an encoding, with an
 * empty body, and a request without Host.
 */
static const char *srv_request_error(evhtp_request_t *ev, int *status)
{
	struct hdr_framing f = {0};
	unsigned int hosts = 0;
	bool bad_name = false;
	evhtp_kv_t *kv;

	TAILQ_FOREACH(kv, ev->headers_in, next) {
		hdr_framing_add(&f, kv->key, kv->val);
		hosts += g_ascii_strcasecmp(kv->key, "Host") == 0;
		bad_name |= !hdr_name_ok(kv->key);
	}
	if (f.bad)
		return "conflicting or malformed length";
	if (bad_name)
		return "a header's name has bytes that no name has";
	if (f.chunked && ev->proto != EVHTP_PROTO_11)
		return "chunks in HTTP/1.0";
	if (hosts > 1 || (hosts == 0 && ev->proto == EVHTP_PROTO_11))
		return "one Host is wanted";
	/* libevhtp treats HTTP/3.0 as 1.0 */
	if (htparser_get_major(ev->conn->parser) != 1 ||
	    htparser_get_minor(ev->conn->parser) > 1) {
		*status = 505;
		return "HTTP/1.1 or HTTP/1.0 is wanted";
	}
	if (f.has_length && f.length > ev->htp->max_body_size) {
		*status = 413;
		return "body too large";
	}
	return NULL;
}

/* Frees a connection; the owner of a waiting request is notified. */
static evhtp_res srv_on_conn_end(evhtp_connection_t *ev, void *arg)
{
	struct srv_conn *c = arg;
	struct srv_req *r = c->req;

	if (r) {
		c->s->ops->disconnected(c->s->arg, r);
		srv_req_end(r);
	}
	/* libevhtp ends the request after the connection */
	evhtp_connection_unset_hook(ev, evhtp_hook_on_request_fini);
	srv_room_end(c);
	tmr_cancel(c->s->config.tmr, c->feed_timer);
	evbuffer_free(c->unparsed);
	g_free(c);
	return EVHTP_RES_OK;
}

/* Handles the end of a request and starts the connection's next one. */
static evhtp_res srv_on_req_end(evhtp_request_t *ev, void *arg)
{
	struct srv_conn *c = arg;
	struct srv_req *r = c->req;

	/* start the next request once libevhtp has freed this one */
	hfd_next(&c->feed);
	c->has_request = false;
	srv_room_update(c);
	if (evbuffer_get_length(c->unparsed) && !c->feed_timer)
		c->feed_timer =
			tmr_once(c->s->config.tmr, 0, srv_feed_timer, c);
	if (!r || r->ev != ev)
		return EVHTP_RES_OK;
	c->s->ops->disconnected(c->s->arg, r);
	srv_req_end(r);
	return EVHTP_RES_OK;
}

/* Has the owner of a streamed answer send more once output was written. */
static evhtp_res srv_on_write(evhtp_connection_t *ev, void *arg)
{
	struct srv_conn *c = arg;

	if (c->req && c->req->backlogged) {
		c->req->backlogged = false;
		srv_room_update(c);
		if (c->s->ops->writable)
			c->s->ops->writable(c->s->arg, c->req);
	}
	return EVHTP_RES_OK;
}

/* Passes a whole request to its owner, or refuses it over the limit. */
static void srv_on_request(evhtp_request_t *ev, void *arg)
{
	struct srv *s = arg;
	struct srv_conn *c = NULL;
	const char *query = (const char *)ev->uri->query_raw;
	struct srv_req *r;

	if (ev->conn->hooks)
		c = ev->conn->hooks->on_connection_fini_arg;
	g_assert(c && !c->req);
	r = g_new0(struct srv_req, 1);
	r->conn = c;
	r->ev = ev;
	r->uri = query && *query
			 ? g_strconcat(ev->uri->path->full, "?", query, NULL)
			 : g_strdup(ev->uri->path->full);
	c->req = r;
	s->stats.requests++;
	s->stats.pending++;
	c->over_limit = c->over_limit &&
			(int)g_hash_table_size(s->conns) > srv_served_max(s);
	srv_room_update(c);
	if (!mbd_reclaim(s->config.memory, &c->hold))
		c->over_limit = true;
	if (c->over_limit)
		srv_refuse_over_limit(r);
	else
		s->ops->request(s->arg, r);
}

/* Refuses a request at once, as there are too many connections or bytes. */
static void srv_refuse_over_limit(struct srv_req *r)
{
	static const struct ups_header headers[] = {
		{(char *)"Retry-After", (char *)SRV_RETRY_AFTER_S},
		{(char *)"Endive-Outcome", (char *)"not-run"},
	};

	r->conn->s->stats.crowded++;
	srv_reply(r, 503, headers, G_N_ELEMENTS(headers), NULL);
}

/* Looks at connections that libevhtp doesn't read. */
static void srv_watch(void *arg, int64_t now)
{
	srv_watch_unread(arg);
}

/* Ends and frees a request; its connection becomes idle. */
static void srv_req_end(struct srv_req *r)
{
	r->conn->req = NULL;
	r->conn->s->stats.pending--;
	g_free(r->uri);
	g_free(r);
}

/* Adds an answer's headers, and Connection: close where it is the last one. */
static void srv_add_headers(struct srv_req *r, const struct ups_header *headers,
			    size_t n)
{
	evhtp_headers_t *out = r->ev->headers_out;
	size_t i;

	for (i = 0; i < n; i++)
		evhtp_headers_add_header(out, evhtp_header_new(headers[i].name,
							       headers[i].value,
							       1, 1));
	if (r->conn->s->draining || r->conn->over_limit) {
		r->ev->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
		evhtp_headers_add_header(out, evhtp_header_new("Connection",
							       "close", 0, 0));
	}
}
