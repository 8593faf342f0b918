#include "ups.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <errno.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cht.h"
#include "hdr.h"
#include "msg.h"

/*
 * An idle connection is reused only for this time after its last answer, ms. A
 * device on the path may drop an idle connection silently: a request sent over
 * it would wait for its deadline with an unknown outcome. A new connection
 * costs one round trip, about a millisecond between the zones.
 */
#define UPS_REUSE_MS 250

/* Header bytes of an answer; the same limit as for callers' requests. */
#define UPS_HEADERS_MAX (16 << 10)

/* state chart: charts/connection.chart */
enum ups_state {
	UPS_CONNECTING,
	UPS_BUSY,
	UPS_IDLE,
	UPS_CLOSED
};
enum ups_event {
	UPS_EV_CONNECTED,
	UPS_EV_FAILED,
	UPS_EV_TIMEOUT,
	UPS_EV_ANSWERED,
	UPS_EV_CANCELLED,
	UPS_EV_REUSE,
	UPS_EV_EXPIRED,
};
enum ups_action {
	UPS_DO_RETRY,
	UPS_DO_DELIVER,
	UPS_DO_UNKNOWN
};

static const char *const ups_states[] = {"connecting", "busy", "idle",
					 "closed"};
static const char *const ups_events[] = {"connected", "failed",	   "timeout",
					 "answered",  "cancelled", "reuse",
					 "expired"};
static const char *const ups_actions[] = {"retry-elsewhere", "deliver",
					  "outcome-unknown"};

struct ups {
	struct event_base *base;
	struct tmr *tmr;
	struct cht *chart;
	GHashTable *idle_by_addr; /* address: GPtrArray of idle ups_conn */
	GPtrArray *conns; /* all struct ups_conn */
	GQueue idle; /* struct ups_conn, longest idle first */
	GQueue waiting[2]; /* struct ups_call; [1]: urgent ones */
	guint conns_max; /* limit of conns; 0: none */
	uint64_t dispatch_timer;
	struct ups_stats stats;
	int64_t reuse_ms;
	int64_t user_timeout_ms; /* TCP_USER_TIMEOUT; 0: kernel default */
	uint64_t tick;
};

/* A connection to a target, which serves one call at a time. */
struct ups_conn {
	struct ups *u;
	char *addr;
	struct evhttp_connection *ev;
	enum ups_state state;
	struct ups_call *call;
	int64_t answered_ms; /* time of its last whole answer */
	GList link; /* in ups.idle */
};

/* A call's request while it waits for a connection. */
struct ups_pending {
	char *addr;
	char *uri;
	GArray *headers; /* struct ups_header */
	struct evbuffer *body;
	int64_t connect_ms;
	bool urgent;
	GList link; /* in ups.waiting */
};

struct ups_call {
	struct ups *u;
	struct ups_conn *conn; /* NULL: waits for a connection, or has ended */
	struct ups_pending *pending; /* NULL: does not wait for a connection */
	struct evhttp_request *req; /* NULL once evhttp has finished with it */
	const struct ups_ops *ops;
	void *arg;
	enum evhttp_cmd_type method;
	int64_t max_answer;
	struct evbuffer *buffered;
	GArray *headers; /* struct ups_header */
	struct ups_answer answer;
	enum ups_end end;
	bool malformed; /* the answer's framing is not reliable */
	bool timed_out;
	bool streaming;
	bool reused;
	bool ended; /* the end is reported or scheduled to be */
	uint64_t connect_timer;
	uint64_t deadline_timer;
	uint64_t end_timer;
	struct event *write_event; /* for calls with ops->may_write */
	bool write_refused;
};

static bool ups_assign_conn(struct ups_call *call, const char *addr);
static void ups_send(struct ups_call *call, const struct ups_request *r);
static bool ups_lacks_descriptors(void);
static void ups_enqueue(struct ups_call *call, const struct ups_request *r);
static void ups_dequeue(struct ups_call *call);
static void ups_free_waiting(GQueue *queue);
static void ups_schedule_dispatch(struct ups *u);
static void ups_dispatch(void *arg, int64_t now);
static bool ups_dispatch_one(struct ups *u, GQueue *queue);
static bool ups_may_connect(const struct ups *u);
static void ups_evict_idle(struct ups *u);
static void ups_conn_remove_idle(struct ups_conn *c);
static struct ups_conn *ups_conn_reuse(struct ups *u, const char *addr);
static bool ups_conn_is_reusable(const struct ups_conn *c);
static struct ups_conn *ups_conn_open(struct ups *u, const char *addr);
static void ups_conn_free(struct ups_conn *c);
static void ups_conn_close(struct ups_conn *c);
static void ups_conn_reset_on_close(struct ups_conn *c);
static void ups_conn_add_idle(struct ups_conn *c);
static int ups_conn_event(struct ups_conn *c, enum ups_event event);
static void ups_on_output(struct evbuffer *buf,
			  const struct evbuffer_cb_info *info, void *arg);
static void ups_check_write(struct ups_conn *c);
static void ups_on_write(evutil_socket_t unused, short what, void *arg);
static void ups_conn_set_limits(struct ups_conn *c);
static bool ups_conn_is_connected(const struct ups_conn *c);
static int ups_on_headers(struct evhttp_request *req, void *arg);
static bool ups_framing_ok(struct ups_call *call, struct evhttp_request *req);
static void ups_on_part(struct evhttp_request *req, void *arg);
static void ups_refuse_answer(struct ups_call *call);
static void ups_on_refused(void *arg, int64_t now);
static void ups_on_done(struct evhttp_request *req, void *arg);
static void ups_on_connect_timeout(void *arg, int64_t now);
static void ups_on_deadline(void *arg, int64_t now);
static void ups_stop_timers(struct ups_call *call);
static void ups_finish(struct ups_call *call, enum ups_end end);
static void ups_report_end(void *arg, int64_t now);
static void ups_call_free(struct ups_call *call);
static void ups_headers_free(GArray *headers);
static void ups_tick(void *arg, int64_t now);

/* Returns an HTTP client for targets on this event loop. */
struct ups *ups_new(struct event_base *base, struct tmr *tmr)
{
	const struct cht_names names = {
		.states = ups_states,
		.n_states = G_N_ELEMENTS(ups_states),
		.events = ups_events,
		.n_events = G_N_ELEMENTS(ups_events),
		.actions = ups_actions,
		.n_actions = G_N_ELEMENTS(ups_actions),
	};
	struct ups *u = g_new0(struct ups, 1);

	u->base = base;
	u->tmr = tmr;
	u->reuse_ms = UPS_REUSE_MS;
	u->chart = cht_builtin("connection", &names);
	u->idle_by_addr =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	u->conns = g_ptr_array_new();
	g_queue_init(&u->idle);
	g_queue_init(&u->waiting[false]);
	g_queue_init(&u->waiting[true]);
	u->tick = tmr_every(tmr, UPS_REUSE_MS, ups_tick, u);
	return u;
}

/* Frees the client and its connections. Open calls end without a callback. */
void ups_free(struct ups *u)
{
	size_t i;

	if (!u)
		return;
	tmr_cancel(u->tmr, u->tick);
	tmr_cancel(u->tmr, u->dispatch_timer);
	for (i = 0; i < G_N_ELEMENTS(u->waiting); i++)
		ups_free_waiting(&u->waiting[i]);
	while (u->idle.head)
		ups_conn_remove_idle(u->idle.head->data);
	g_hash_table_destroy(u->idle_by_addr);
	while (u->conns->len) {
		struct ups_conn *c = g_ptr_array_steal_index_fast(u->conns, 0);

		if (c->call) {
			ups_conn_reset_on_close(c);
			ups_call_free(c->call);
		}
		ups_conn_free(c);
	}
	g_ptr_array_free(u->conns, TRUE);
	cht_free(u->chart);
	g_free(u);
}

/* Frees calls that wait for a connection, without a callback. */
static void ups_free_waiting(GQueue *queue)
{
	struct ups_call *call;

	while ((call = g_queue_peek_head(queue)))
		ups_call_free(call);
}

/*
 * Sends a request. ops->end is called exactly once unless ups_cancel comes
 * first. Nothing is retried here, since only the owner of the call knows
 * whether that is safe.
 */
struct ups_call *ups_start(struct ups *u, const struct ups_request *r,
			   const struct ups_ops *ops, void *arg)
{
	struct ups_call *call = g_new0(struct ups_call, 1);

	call->u = u;
	call->ops = ops;
	call->arg = arg;
	call->method = r->method;
	call->max_answer = r->max_answer;
	call->buffered = evbuffer_new();
	call->headers = g_array_new(FALSE, TRUE, sizeof(struct ups_header));
	call->deadline_timer =
		tmr_once(u->tmr, r->timeout_ms, ups_on_deadline, call);
	if (ups_assign_conn(call, r->addr))
		ups_send(call, r);
	else
		ups_enqueue(call, r);
	return call;
}

/*
 * Assigns a call an idle or new connection. Returns false if none is available.
 */
static bool ups_assign_conn(struct ups_call *call, const char *addr)
{
	struct ups *u = call->u;

	call->conn = ups_conn_reuse(u, addr);
	call->reused = call->conn != NULL;
	if (!call->conn && ups_may_connect(u))
		call->conn = ups_conn_open(u, addr);
	if (!call->conn)
		return false;
	call->conn->call = call;
	return true;
}

/* Sends a request over the connection assigned to its call. */
static void ups_send(struct ups_call *call, const struct ups_request *r)
{
	struct ups *u = call->u;
	struct evkeyvalq *out;
	size_t i;

	if (call->ops->may_write)
		call->write_event =
			event_new(u->base, -1, 0, ups_on_write, call);
	call->req = evhttp_request_new(ups_on_done, call);
	evhttp_request_set_header_cb(call->req, ups_on_headers);
	evhttp_request_set_chunked_cb(call->req, ups_on_part);
	out = evhttp_request_get_output_headers(call->req);
	evhttp_add_header(out, "Host", r->addr);
	for (i = 0; i < r->n_headers; i++)
		evhttp_add_header(out, r->headers[i].name, r->headers[i].value);
	if (r->body && evbuffer_get_length(r->body))
		evbuffer_add_buffer_reference(
			evhttp_request_get_output_buffer(call->req), r->body);
	if (!call->reused)
		call->connect_timer = tmr_once(u->tmr, r->connect_ms,
					       ups_on_connect_timeout, call);
	if (evhttp_make_request(call->conn->ev, call->req, r->method, r->uri) !=
	    0) {
		/* evhttp has freed the request */
		call->req = NULL;
		ups_finish(call, UPS_NOT_SENT);
	}
	/* a call that has ended has no connection */
	if (call->conn && !call->reused)
		ups_conn_set_limits(call->conn);
	else if (call->ended && call->end == UPS_NOT_SENT &&
		 ups_lacks_descriptors())
		call->end = UPS_NO_CONNECTION;
}

/*
 * Whether this process cannot open a socket now. libevent reports no cause, and
 * a call that failed for this reason would look like a target with a closed
 * port.
 */
static bool ups_lacks_descriptors(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return true;
	close(fd);
	return false;
}

/* Queues a request until a connection is available. */
static void ups_enqueue(struct ups_call *call, const struct ups_request *r)
{
	struct ups *u = call->u;
	struct ups_pending *w = g_new0(struct ups_pending, 1);
	size_t i;

	w->addr = g_strdup(r->addr);
	w->uri = g_strdup(r->uri);
	w->headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	for (i = 0; i < r->n_headers; i++) {
		struct ups_header h = {g_strdup(r->headers[i].name),
				       g_strdup(r->headers[i].value)};

		g_array_append_val(w->headers, h);
	}
	w->body = r->body;
	w->connect_ms = r->connect_ms;
	w->urgent = r->urgent;
	w->link.data = call;
	call->pending = w;
	g_queue_push_tail_link(&u->waiting[w->urgent], &w->link);
	u->stats.waited++;
	ups_evict_idle(u);
}

/* Removes a call from the queue of those that wait for a connection. */
static void ups_dequeue(struct ups_call *call)
{
	struct ups_pending *w = call->pending;

	if (!w)
		return;
	call->pending = NULL;
	g_queue_unlink(&call->u->waiting[w->urgent], &w->link);
	ups_headers_free(w->headers);
	g_free(w->addr);
	g_free(w->uri);
	g_free(w);
}

/* Schedules ups_dispatch for the loop's next iteration if calls wait. */
static void ups_schedule_dispatch(struct ups *u)
{
	if (!u->dispatch_timer &&
	    (u->waiting[true].length || u->waiting[false].length))
		u->dispatch_timer = tmr_once(u->tmr, 0, ups_dispatch, u);
}

/* Starts calls that wait for a connection, urgent ones first. */
static void ups_dispatch(void *arg, int64_t now)
{
	struct ups *u = arg;

	u->dispatch_timer = 0;
	while (ups_dispatch_one(u, &u->waiting[true]) ||
	       (!u->waiting[true].length &&
		ups_dispatch_one(u, &u->waiting[false])))
		;
	if (u->waiting[true].length || u->waiting[false].length)
		ups_evict_idle(u);
}

/*
 * Starts the call that has waited longest in a queue. Returns false if there is
 * none or no connection is available.
 */
static bool ups_dispatch_one(struct ups *u, GQueue *queue)
{
	struct ups_call *call = g_queue_peek_head(queue);
	struct ups_pending *w;

	if (!call || !ups_assign_conn(call, call->pending->addr))
		return false;
	w = call->pending;
	ups_send(call, &(struct ups_request){
			       .addr = w->addr,
			       .method = call->method,
			       .uri = w->uri,
			       .headers = (const void *)w->headers->data,
			       .n_headers = w->headers->len,
			       .body = w->body,
			       .connect_ms = w->connect_ms,
		       });
	ups_dequeue(call);
	return true;
}

/* Whether the limit allows another connection. */
static bool ups_may_connect(const struct ups *u)
{
	return !u->conns_max || u->conns->len < u->conns_max;
}

/*
 * Closes the connection idle longest, to make one available for a waiting call.
 */
static void ups_evict_idle(struct ups *u)
{
	struct ups_conn *c = g_queue_peek_head(&u->idle);

	if (!c)
		return;
	ups_conn_remove_idle(c);
	u->stats.evicted++;
	ups_conn_event(c, UPS_EV_EXPIRED);
	ups_conn_close(c);
}

/* Removes a connection from the lists of idle ones. */
static void ups_conn_remove_idle(struct ups_conn *c)
{
	GPtrArray *idle = g_hash_table_lookup(c->u->idle_by_addr, c->addr);

	g_queue_unlink(&c->u->idle, &c->link);
	g_ptr_array_remove(idle, c);
	if (idle->len == 0)
		g_hash_table_remove(c->u->idle_by_addr, c->addr);
}

/* Resumes reading an answer that the part callback had stopped. */
void ups_resume(struct ups_call *call)
{
	if (call->req && call->conn)
		bufferevent_enable(
			evhttp_connection_get_bufferevent(call->conn->ev),
			EV_READ);
}

/*
 * Cancels a call: ops->end is not called. Its connection is closed and never
 * reused, since a late answer would be taken for that of the next request.
 */
void ups_cancel(struct ups_call *call)
{
	if (call->conn) {
		ups_conn_reset_on_close(call->conn);
		ups_conn_event(call->conn, UPS_EV_CANCELLED);
		call->conn->call = NULL;
		ups_conn_close(call->conn);
		call->conn = NULL;
	}
	ups_call_free(call);
}

/*
 * Returns the number of a call's bytes that are queued here or that the target
 * has not acknowledged, for instance as a network partition delays them; -1:
 * not known.
 */
int64_t ups_unacked_bytes(const struct ups_call *call)
{
	struct bufferevent *bev;
	int queued = 0;

	if (!call->conn)
		return -1;
	bev = evhttp_connection_get_bufferevent(call->conn->ev);
	if (bufferevent_getfd(bev) < 0 ||
	    ioctl(bufferevent_getfd(bev), SIOCOUTQ, &queued) != 0)
		return -1;
	return queued +
	       (int64_t)evbuffer_get_length(bufferevent_get_output(bev));
}

/*
 * Sets how long idle connections are reused, ms; for clients whose requests may
 * safely be sent again.
 */
void ups_set_idle_timeout(struct ups *u, int64_t ms)
{
	u->reuse_ms = ms;
}

/*
 * Sets how long the kernel retransmits data that is not acknowledged, ms; for
 * calls that must not arrive late. The limit also holds while this process is
 * stalled and after its end.
 */
void ups_set_user_timeout(struct ups *u, int64_t ms)
{
	u->user_timeout_ms = ms;
}

/*
 * Sets the limit of open connections; 0: none. Calls beyond it wait, and the
 * connection idle longest is closed for them.
 */
void ups_set_conns_max(struct ups *u, unsigned int conns_max)
{
	u->conns_max = conns_max;
}

/* Whether urgent calls wait: calls that hold a connection should end soon. */
bool ups_urgent_waiting(const struct ups *u)
{
	return u->waiting[true].length > 0;
}

/* Closes idle connections to a target that gets no new work. */
void ups_close_idle(struct ups *u, const char *addr)
{
	GPtrArray *idle;

	while ((idle = g_hash_table_lookup(u->idle_by_addr, addr))) {
		struct ups_conn *c = g_ptr_array_index(idle, idle->len - 1);

		ups_conn_remove_idle(c);
		ups_conn_event(c, UPS_EV_EXPIRED);
		ups_conn_close(c);
	}
}

/* Returns the counters since the start. */
struct ups_stats ups_stats(const struct ups *u)
{
	struct ups_stats s = u->stats;

	s.open = u->conns->len;
	s.idle = u->idle.length;
	s.waiting = u->waiting[false].length + u->waiting[true].length;
	return s;
}

/* Returns the value of an answer's header, or NULL. */
const char *ups_header_find(const struct ups_answer *a, const char *name)
{
	size_t i;

	for (i = 0; i < a->n_headers; i++)
		if (g_ascii_strcasecmp(a->headers[i].name, name) == 0)
			return a->headers[i].value;
	return NULL;
}

/*
 * Returns the idle connection to a target that was used last, if it is recent
 * enough and still reusable, or NULL.
 */
static struct ups_conn *ups_conn_reuse(struct ups *u, const char *addr)
{
	int64_t now = tmr_now(u->tmr);
	GPtrArray *idle;

	while ((idle = g_hash_table_lookup(u->idle_by_addr, addr))) {
		struct ups_conn *c = g_ptr_array_index(idle, idle->len - 1);

		if (now - c->answered_ms > u->reuse_ms)
			return NULL;
		ups_conn_remove_idle(c);
		if (ups_conn_is_reusable(c)) {
			ups_conn_event(c, UPS_EV_REUSE);
			u->stats.reuses++;
			return c;
		}
		ups_conn_event(c, UPS_EV_FAILED);
		ups_conn_close(c);
	}
	return NULL;
}

/*
 * Whether an idle connection has neither bytes nor its end to be read. The
 * target may have closed it before the event loop noticed: a request sent then
 * would fail with an unknown outcome.
 */
static bool ups_conn_is_reusable(const struct ups_conn *c)
{
	char byte;
	ssize_t n = recv(
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev)),
		&byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Opens a connection to a target; it is not established yet. */
static struct ups_conn *ups_conn_open(struct ups *u, const char *addr)
{
	struct ups_conn *c = g_new0(struct ups_conn, 1);
	const char *colon = strrchr(addr, ':');
	char *ip = g_strndup(addr, (gsize)(colon - addr));

	c->u = u;
	c->addr = g_strdup(addr);
	c->state = UPS_CONNECTING;
	c->ev = evhttp_connection_base_new(
		u->base, NULL, ip,
		(unsigned short)g_ascii_strtoull(colon + 1, NULL, 10));
	g_free(ip);
	evhttp_connection_set_max_headers_size(c->ev, UPS_HEADERS_MAX);
	/* no retries: only the owner of a call knows whether they are safe */
	evhttp_connection_set_retries(c->ev, 0);
	evbuffer_add_cb(bufferevent_get_output(
				evhttp_connection_get_bufferevent(c->ev)),
			ups_on_output, c);
	g_ptr_array_add(u->conns, c);
	u->stats.connects++;
	return c;
}

/* Frees a connection. */
static void ups_conn_free(struct ups_conn *c)
{
	evhttp_connection_free(c->ev);
	g_free(c->addr);
	g_free(c);
}

/*
 * Frees a connection from the loop, since a close may come from within evhttp.
 */
static void ups_conn_free_deferred(void *arg, int64_t now)
{
	struct ups_conn *c = arg;
	struct ups *u = c->u;

	g_ptr_array_remove_fast(u->conns, c);
	ups_conn_free(c);
	ups_schedule_dispatch(u);
}

/* Closes a connection in the loop's next iteration. */
static void ups_conn_close(struct ups_conn *c)
{
	c->state = UPS_CLOSED;
	tmr_once(c->u->tmr, 0, ups_conn_free_deferred, c);
}

/*
 * Has a connection end with a reset. After a plain close the kernel continues
 * to send what the target has not acknowledged: during a network partition
 * until it heals, and a request that was given up is carried out then. A reset
 * discards those bytes.
 */
static void ups_conn_reset_on_close(struct ups_conn *c)
{
	const struct linger reset = {.l_onoff = 1};
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/* Makes a connection available for reuse. */
static void ups_conn_add_idle(struct ups_conn *c)
{
	GPtrArray *idle = g_hash_table_lookup(c->u->idle_by_addr, c->addr);

	if (!idle) {
		idle = g_ptr_array_new();
		g_hash_table_insert(c->u->idle_by_addr, g_strdup(c->addr),
				    idle);
	}
	c->answered_ms = tmr_now(c->u->tmr);
	c->link.data = c;
	g_ptr_array_add(idle, c);
	g_queue_push_tail_link(&c->u->idle, &c->link);
	ups_schedule_dispatch(c->u);
}

/* Applies an event to a connection's state. Returns the chart's action. */
static int ups_conn_event(struct ups_conn *c, enum ups_event event)
{
	struct cht_step step;

	if (!cht_step(c->u->chart, (int)c->state, (int)event, &step))
		g_error("connection: event %s in state %s", ups_events[event],
			ups_states[c->state]);
	c->state = (enum ups_state)step.next;
	return step.action;
}

/*
 * Notes changes of a connection's output. Once bytes have left this process,
 * the target may have run the request. evhttp does not report this, but its
 * output buffer does.
 */
static void ups_on_output(struct evbuffer *buf,
			  const struct evbuffer_cb_info *info, void *arg)
{
	struct ups_conn *c = arg;

	if (info->n_added && c->call && c->call->write_event)
		ups_check_write(c);
	if (info->n_deleted == 0 || c->state != UPS_CONNECTING || !c->call)
		return;
	tmr_cancel(c->u->tmr, c->call->connect_timer);
	ups_conn_event(c, UPS_EV_CONNECTED);
}

/*
 * Asks ops->may_write as a request is queued for writing. On a new connection
 * the bufferevent that has just connected writes at once, so this is the last
 * moment to check. On a reused one the request is written in the loop's next
 * iteration, after ups_on_write.
 */
static void ups_check_write(struct ups_conn *c)
{
	struct ups_call *call = c->call;

	if (!call->write_refused && !call->ops->may_write(call->arg)) {
		call->write_refused = true;
		/* evhttp cannot be stopped here, but its socket can */
		shutdown(bufferevent_getfd(
				 evhttp_connection_get_bufferevent(c->ev)),
			 SHUT_RDWR);
	}
	event_active(call->write_event, EV_WRITE, 0);
}

/*
 * Asks ops->may_write again and writes the request at once. Bytes left over
 * would be written later without a check, so such a call ends; a request with
 * ops->may_write is far smaller than a socket's buffer.
 */
static void ups_on_write(evutil_socket_t unused, short what, void *arg)
{
	struct ups_call *call = arg;
	struct bufferevent *bev;
	struct evbuffer *out;

	if (call->ended)
		return;
	bev = evhttp_connection_get_bufferevent(call->conn->ev);
	out = bufferevent_get_output(bev);
	if (evbuffer_get_length(out) == 0)
		return;
	if (call->write_refused || !call->ops->may_write(call->arg)) {
		ups_finish(call, UPS_NOT_SENT);
		return;
	}
	evbuffer_unfreeze(out, 1);
	evbuffer_write(out, bufferevent_getfd(bev));
	evbuffer_freeze(out, 1);
	if (evbuffer_get_length(out))
		ups_finish(call, UPS_TRUNCATED);
}

/* Sets the kernel's limits on a new connection. */
static void ups_conn_set_limits(struct ups_conn *c)
{
	unsigned int ms = (unsigned int)c->u->user_timeout_ms;
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	if (!ms || fd < 0)
		return;
	/* also for data that the end of this process leaves to the kernel */
	ups_conn_reset_on_close(c);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

/* Whether a connection is established. */
static bool ups_conn_is_connected(const struct ups_conn *c)
{
	struct sockaddr_storage ss;
	socklen_t len = sizeof(ss);
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	return fd >= 0 && getpeername(fd, (struct sockaddr *)&ss, &len) == 0;
}

/* Checks an answer's framing and copies its headers. */
static int ups_on_headers(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	struct evkeyval *kv;

	call->answer.status = evhttp_request_get_response_code(req);
	if (!ups_framing_ok(call, req)) {
		call->malformed = true;
		return -1;
	}
	/* copied now: at the end, trailers would be among them */
	TAILQ_FOREACH(kv, evhttp_request_get_input_headers(req), next) {
		struct ups_header h = {g_strdup(kv->key), g_strdup(kv->value)};

		g_array_append_val(call->headers, h);
	}
	return 0;
}

/*
 * Whether the answer's framing defines its end, in one way only. evhttp takes
 * an answer without a length as whole when the peer closes, so a target that
 * dies part-way would give a caller half an answer as a whole one. It also uses
 * the first of two lengths, and takes interim answers (1xx) as final.
 */
static bool ups_framing_ok(struct ups_call *call, struct evhttp_request *req)
{
	int status = evhttp_request_get_response_code(req);
	struct hdr_framing f = {0};
	struct evkeyval *kv;

	TAILQ_FOREACH(kv, evhttp_request_get_input_headers(req), next)
		hdr_framing_add(&f, kv->key, kv->value);
	if (f.bad || status < 200 || status > 999)
		return false;
	if (call->method == EVHTTP_REQ_HEAD || status == 204 || status == 304)
		return true;
	return f.chunked || f.has_length;
}

/* Buffers a part of an answer, or passes it on if the answer is too large. */
static void ups_on_part(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	if (call->ended)
		return;
	evbuffer_add_buffer(call->buffered, in);
	if (!call->streaming &&
	    (int64_t)evbuffer_get_length(call->buffered) <= call->max_answer)
		return;
	if (!call->ops->start) {
		ups_refuse_answer(call);
		return;
	}
	call->answer.headers = (void *)call->headers->data;
	call->answer.n_headers = call->headers->len;
	call->answer.body = call->buffered;
	call->answer.reused = call->reused;
	if (!call->streaming) {
		call->streaming = true;
		call->ops->start(call->arg, &call->answer);
	}
	if (!call->ended && !call->ops->part(call->arg, &call->answer))
		bufferevent_disable(
			evhttp_connection_get_bufferevent(call->conn->ev),
			EV_READ);
}

/*
 * Stops reading an answer that is longer than its caller takes, and ends the
 * call from the event loop, as this runs within evhttp.
 */
static void ups_refuse_answer(struct ups_call *call)
{
	struct ups_conn *c = call->conn;

	if (call->malformed) {
		evbuffer_drain(call->buffered,
			       evbuffer_get_length(call->buffered));
		return;
	}
	call->malformed = true;
	msg(MSG_UPS_TOO_LONG, "addr=%s bytes=%zu limit=%" PRId64, c->addr,
	    evbuffer_get_length(call->buffered), call->max_answer);
	evbuffer_drain(call->buffered, evbuffer_get_length(call->buffered));
	bufferevent_disable(evhttp_connection_get_bufferevent(c->ev), EV_READ);
	tmr_cancel(call->u->tmr, call->deadline_timer);
	call->deadline_timer = tmr_once(call->u->tmr, 0, ups_on_refused, call);
}

/* Ends a call whose answer is too long. */
static void ups_on_refused(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->deadline_timer = 0;
	ups_finish(call, UPS_MALFORMED);
}

/*
 * Handles the end of a request in evhttp: with an answer, without one (req is
 * NULL), or not connected.
 */
static void ups_on_done(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	enum ups_end end = UPS_WHOLE;

	call->req = NULL;
	if (call->ended)
		return;
	if (!req || evhttp_request_get_response_code(req) == 0 ||
	    call->malformed)
		end = call->malformed	? UPS_MALFORMED
		      : call->timed_out ? UPS_TIMEOUT
					: UPS_TRUNCATED;
	ups_finish(call, end);
}

/* Ends a call whose connection is not established in time. */
static void ups_on_connect_timeout(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->connect_timer = 0;
	if (ups_conn_is_connected(call->conn))
		return;
	call->timed_out = true;
	ups_finish(call, UPS_TIMEOUT);
}

/* Ends a call at its time limit. */
static void ups_on_deadline(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->deadline_timer = 0;
	call->timed_out = true;
	ups_finish(call, UPS_TIMEOUT);
}

/*
 * Cancels a call's timers. A call that has ended has no connection, but its
 * other timers may expire in the same loop iteration; on a busy leader that
 * crashed the daemon, and each next leader in turn. Cancelling is enough, since
 * the timer service never calls a cancelled timer.
 */
static void ups_stop_timers(struct ups_call *call)
{
	tmr_cancel(call->u->tmr, call->connect_timer);
	tmr_cancel(call->u->tmr, call->deadline_timer);
	call->connect_timer = 0;
	call->deadline_timer = 0;
}

/*
 * Ends a call. Its end is reported from the event loop, since this may run
 * within evhttp. A connection becomes idle only after a whole answer with no
 * byte behind it: an excess byte would be taken for the next answer.
 */
static void ups_finish(struct ups_call *call, enum ups_end end)
{
	struct ups_conn *c = call->conn;
	struct bufferevent *bev;
	struct evhttp_request *req = call->req;
	bool sent;
	bool reusable;

	if (call->ended)
		return;
	call->ended = true;
	ups_stop_timers(call);
	call->end_timer = tmr_once(call->u->tmr, 0, ups_report_end, call);
	if (!c) {
		ups_dequeue(call);
		call->end = UPS_NO_CONNECTION;
		return;
	}
	bev = evhttp_connection_get_bufferevent(c->ev);
	sent = c->state == UPS_BUSY;
	call->req = NULL;
	call->end = sent ? end : UPS_NOT_SENT;
	reusable = end == UPS_WHOLE && sent &&
		   evbuffer_get_length(bufferevent_get_input(bev)) == 0;
	if (end == UPS_WHOLE && sent)
		ups_conn_event(c, UPS_EV_ANSWERED);
	else
		ups_conn_event(c, end == UPS_TIMEOUT ? UPS_EV_TIMEOUT
						     : UPS_EV_FAILED);
	if (!reusable)
		ups_conn_reset_on_close(c);
	c->call = NULL;
	call->conn = NULL;
	if (req)
		evhttp_cancel_request(req);
	if (reusable)
		ups_conn_add_idle(c);
	else
		ups_conn_close(c);
}

/* Calls ops->end and frees the call. */
static void ups_report_end(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->end_timer = 0;
	call->u->stats.ends[call->end]++;
	call->answer.headers = (void *)call->headers->data;
	call->answer.n_headers = call->headers->len;
	call->answer.body = call->buffered;
	call->answer.reused = call->reused;
	call->ops->end(call->arg, call->end, &call->answer);
	ups_call_free(call);
}

/* Frees a call without a callback. */
static void ups_call_free(struct ups_call *call)
{
	ups_stop_timers(call);
	ups_dequeue(call);
	tmr_cancel(call->u->tmr, call->end_timer);
	if (call->write_event)
		event_free(call->write_event);
	if (call->req) {
		/* evhttp frees the request; its callbacks must not run */
		call->ended = true;
		evhttp_cancel_request(call->req);
	}
	ups_headers_free(call->headers);
	evbuffer_free(call->buffered);
	g_free(call);
}

/* Frees a list of headers with their strings. */
static void ups_headers_free(GArray *headers)
{
	guint i;

	for (i = 0; i < headers->len; i++) {
		struct ups_header *h =
			&g_array_index(headers, struct ups_header, i);

		g_free(h->name);
		g_free(h->value);
	}
	g_array_free(headers, TRUE);
}

/* Closes idle connections that are too old for reuse. */
static void ups_tick(void *arg, int64_t now)
{
	struct ups *u = arg;
	struct ups_conn *c;

	while ((c = g_queue_peek_head(&u->idle)) &&
	       now - c->answered_ms > u->reuse_ms) {
		ups_conn_remove_idle(c);
		ups_conn_event(c, UPS_EV_EXPIRED);
		ups_conn_close(c);
	}
}
