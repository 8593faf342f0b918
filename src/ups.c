#include "ups.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <errno.h>
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
 * An idle connection is used again only while its last answer is this young.
 * Something between may forget an idle connection: a request sent over it
 * would wait for its deadline with an outcome nobody knows. A new connection
 * costs one round trip, about a millisecond between our zones.
 */
#define UPS_REUSE_MS 250

/* Header bytes of an answer; as much as callers may send. */
#define UPS_HEADERS_MAX (16 << 10)

/* charts/connection.chart */
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
	GHashTable *hosts; /* address -> GPtrArray of idle ups_conn */
	GPtrArray *conns; /* all */
	GQueue idle; /* struct ups_conn of hosts, oldest first */
	GQueue waiting[2]; /* struct ups_call; [1]: urgent */
	guint most; /* of conns; 0: not bounded */
	uint64_t next_timer;
	struct ups_stats stats;
	int64_t reuse_ms;
	int64_t held_ms; /* 0: as long as the kernel likes */
	uint64_t tick;
};

/* A connection to a target; serves one call at a time. */
struct ups_conn {
	struct ups *u;
	char *addr;
	struct evhttp_connection *ev;
	enum ups_state state;
	struct ups_call *call;
	int64_t last; /* when its last answer was whole */
	GList link; /* in ups.idle */
};

/* What a call needs kept while it waits for a connection. */
struct ups_wait {
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
	struct ups_conn *conn; /* NULL: waits for one, or is over */
	struct ups_wait *wait; /* NULL: it doesn't wait for a connection */
	struct evhttp_request *req; /* NULL once evhttp is done with it */
	const struct ups_ops *ops;
	void *arg;
	enum evhttp_cmd_type method;
	int64_t max_answer;
	struct evbuffer *held;
	GArray *headers; /* struct ups_header */
	struct ups_answer answer;
	enum ups_end end;
	bool bad; /* the answer's framing can't be trusted */
	bool timed_out;
	bool passing_on;
	bool reused;
	bool over; /* the end was told, or is about to be */
	uint64_t connect_timer;
	uint64_t deadline_timer;
	uint64_t end_timer;
	struct event *write; /* calls that are asked for as they are written */
	bool refused;
};

static bool ups_get_conn(struct ups_call *call, const char *addr);
static void ups_send(struct ups_call *call, const struct ups_request *r);
static bool ups_lacks_descriptors(void);
static void ups_wait(struct ups_call *call, const struct ups_request *r);
static void ups_wait_free(struct ups_call *call);
static void ups_drop_waiting(GQueue *queue);
static void ups_next_soon(struct ups *u);
static void ups_next(void *arg, int64_t now);
static bool ups_next_one(struct ups *u, GQueue *queue);
static bool ups_has_room(const struct ups *u);
static void ups_evict(struct ups *u);
static void ups_unlist(struct ups_conn *c);
static struct ups_conn *ups_conn_take(struct ups *u, const char *addr);
static bool ups_conn_quiet(const struct ups_conn *c);
static struct ups_conn *ups_conn_open(struct ups *u, const char *addr);
static void ups_conn_free(struct ups_conn *c);
static void ups_conn_close(struct ups_conn *c);
static void ups_conn_abort(struct ups_conn *c);
static void ups_conn_put(struct ups_conn *c);
static int ups_conn_event(struct ups_conn *c, enum ups_event event);
static void ups_sent(struct evbuffer *buf, const struct evbuffer_cb_info *info,
		     void *arg);
static void ups_look(struct ups_conn *c);
static void ups_on_write(evutil_socket_t unused, short what, void *arg);
static void ups_conn_bound(struct ups_conn *c);
static bool ups_connected(const struct ups_conn *c);
static int ups_on_headers(struct evhttp_request *req, void *arg);
static bool ups_framing_ok(struct ups_call *call, struct evhttp_request *req);
static void ups_on_part(struct evhttp_request *req, void *arg);
static void ups_on_done(struct evhttp_request *req, void *arg);
static void ups_on_connect_time(void *arg, int64_t now);
static void ups_on_deadline(void *arg, int64_t now);
static void ups_stop_timers(struct ups_call *call);
static void ups_finish(struct ups_call *call, enum ups_end end);
static void ups_tell_end(void *arg, int64_t now);
static void ups_call_free(struct ups_call *call);
static void ups_headers_free(GArray *headers);
static void ups_tick(void *arg, int64_t now);

/* A caller of targets on this loop. */
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
	u->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_ptr_array_unref);
	u->conns = g_ptr_array_new();
	g_queue_init(&u->idle);
	g_queue_init(&u->waiting[false]);
	g_queue_init(&u->waiting[true]);
	u->tick = tmr_every(tmr, UPS_REUSE_MS, ups_tick, u);
	return u;
}

/* Frees it with its connections; calls still open end without being told. */
void ups_free(struct ups *u)
{
	size_t i;

	if (!u)
		return;
	tmr_cancel(u->tmr, u->tick);
	tmr_cancel(u->tmr, u->next_timer);
	for (i = 0; i < G_N_ELEMENTS(u->waiting); i++)
		ups_drop_waiting(&u->waiting[i]);
	while (u->idle.head)
		ups_unlist(u->idle.head->data);
	g_hash_table_destroy(u->hosts);
	while (u->conns->len) {
		struct ups_conn *c = g_ptr_array_steal_index_fast(u->conns, 0);

		if (c->call) {
			ups_conn_abort(c);
			ups_call_free(c->call);
		}
		ups_conn_free(c);
	}
	g_ptr_array_free(u->conns, TRUE);
	cht_free(u->chart);
	g_free(u);
}

/* Frees calls that wait for a connection, without telling them. */
static void ups_drop_waiting(GQueue *queue)
{
	struct ups_call *call;

	while ((call = g_queue_peek_head(queue)))
		ups_call_free(call);
}

/*
 * Sends a request. ops->end is told exactly once unless ups_cancel comes
 * first. Nothing is tried twice here: whether that is safe is not known here.
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
	call->held = evbuffer_new();
	call->headers = g_array_new(FALSE, TRUE, sizeof(struct ups_header));
	call->deadline_timer =
		tmr_once(u->tmr, r->timeout_ms, ups_on_deadline, call);
	if (ups_get_conn(call, r->addr))
		ups_send(call, r);
	else
		ups_wait(call, r);
	return call;
}

/* Gives a call a connection, an idle one or a new one, if there may be one. */
static bool ups_get_conn(struct ups_call *call, const char *addr)
{
	struct ups *u = call->u;

	call->conn = ups_conn_take(u, addr);
	call->reused = call->conn != NULL;
	if (!call->conn && ups_has_room(u))
		call->conn = ups_conn_open(u, addr);
	if (!call->conn)
		return false;
	call->conn->call = call;
	return true;
}

/* Sends a request over the connection that its call has. */
static void ups_send(struct ups_call *call, const struct ups_request *r)
{
	struct ups *u = call->u;
	struct evkeyvalq *out;
	size_t i;

	if (call->ops->may)
		call->write = event_new(u->base, -1, 0, ups_on_write, call);
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
					       ups_on_connect_time, call);
	if (evhttp_make_request(call->conn->ev, call->req, r->method, r->uri) !=
	    0) {
		/* evhttp has freed the request. */
		call->req = NULL;
		ups_finish(call, UPS_NOT_SENT);
	}
	/* a call that is over by now has no connection any more */
	if (call->conn && !call->reused)
		ups_conn_bound(call->conn);
	else if (call->over && call->end == UPS_NOT_SENT &&
		 ups_lacks_descriptors())
		call->end = UPS_NO_ROOM;
}

/*
 * Whether this process can't open a socket now. libevent tells no cause, and a
 * call that failed for it would else look like a target with a closed port.
 */
static bool ups_lacks_descriptors(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return true;
	close(fd);
	return false;
}

/* Keeps a request until there is a connection for it. */
static void ups_wait(struct ups_call *call, const struct ups_request *r)
{
	struct ups *u = call->u;
	struct ups_wait *w = g_new0(struct ups_wait, 1);
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
	call->wait = w;
	g_queue_push_tail_link(&u->waiting[w->urgent], &w->link);
	u->stats.waited++;
	ups_evict(u);
}

/* The call doesn't wait any more. */
static void ups_wait_free(struct ups_call *call)
{
	struct ups_wait *w = call->wait;

	if (!w)
		return;
	call->wait = NULL;
	g_queue_unlink(&call->u->waiting[w->urgent], &w->link);
	ups_headers_free(w->headers);
	g_free(w->addr);
	g_free(w->uri);
	g_free(w);
}

/* Looks for connections for those that wait, in the loop's next turn. */
static void ups_next_soon(struct ups *u)
{
	if (!u->next_timer &&
	    (u->waiting[true].length || u->waiting[false].length))
		u->next_timer = tmr_once(u->tmr, 0, ups_next, u);
}

/* Starts calls that waited, the urgent ones first. */
static void ups_next(void *arg, int64_t now)
{
	struct ups *u = arg;

	u->next_timer = 0;
	while (ups_next_one(u, &u->waiting[true]) ||
	       (!u->waiting[true].length &&
		ups_next_one(u, &u->waiting[false])))
		;
	if (u->waiting[true].length || u->waiting[false].length)
		ups_evict(u);
}

/* Starts the call that has waited longest; false: none, or no connection. */
static bool ups_next_one(struct ups *u, GQueue *queue)
{
	struct ups_call *call = g_queue_peek_head(queue);
	struct ups_wait *w;

	if (!call || !ups_get_conn(call, call->wait->addr))
		return false;
	w = call->wait;
	ups_send(call, &(struct ups_request){
			       .addr = w->addr,
			       .method = call->method,
			       .uri = w->uri,
			       .headers = (const void *)w->headers->data,
			       .n_headers = w->headers->len,
			       .body = w->body,
			       .connect_ms = w->connect_ms,
		       });
	ups_wait_free(call);
	return true;
}

/* Whether one more connection may be opened. */
static bool ups_has_room(const struct ups *u)
{
	return !u->most || u->conns->len < u->most;
}

/* Closes the connection that has been idle longest, for a call that waits. */
static void ups_evict(struct ups *u)
{
	struct ups_conn *c = g_queue_peek_head(&u->idle);

	if (!c)
		return;
	ups_unlist(c);
	u->stats.evicted++;
	ups_conn_event(c, UPS_EV_EXPIRED);
	ups_conn_close(c);
}

/* Takes an idle connection out of the lists. */
static void ups_unlist(struct ups_conn *c)
{
	GPtrArray *idle = g_hash_table_lookup(c->u->hosts, c->addr);

	g_queue_unlink(&c->u->idle, &c->link);
	g_ptr_array_remove(idle, c);
	if (idle->len == 0)
		g_hash_table_remove(c->u->hosts, c->addr);
}

/* Goes on reading an answer whose part call-back had asked to stop. */
void ups_more(struct ups_call *call)
{
	if (call->req && call->conn)
		bufferevent_enable(
			evhttp_connection_get_bufferevent(call->conn->ev),
			EV_READ);
}

/*
 * Gives up a call: ops->end is not told. The connection is closed, never used
 * again: its late answer would meet the next request.
 */
void ups_cancel(struct ups_call *call)
{
	if (call->conn) {
		ups_conn_abort(call->conn);
		ups_conn_event(call->conn, UPS_EV_CANCELLED);
		call->conn->call = NULL;
		ups_conn_close(call->conn);
		call->conn = NULL;
	}
	ups_call_free(call);
}

/*
 * Bytes of a call that wait here or that the target's side hasn't
 * acknowledged: a cut holds them up. -1: not known.
 */
int64_t ups_held(const struct ups_call *call)
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
 * Uses idle connections for longer, for callers whose requests may safely be
 * sent again.
 */
void ups_set_reuse(struct ups *u, int64_t ms)
{
	u->reuse_ms = ms;
}

/*
 * Bounds how long the kernel sends a request again that isn't acknowledged, ms;
 * for calls that must not arrive late. It holds while this process stands
 * still, and at its end.
 */
void ups_set_held(struct ups *u, int64_t ms)
{
	u->held_ms = ms;
}

/*
 * Bounds the connections there may be at once; calls beyond it wait, and the
 * connection that has been idle longest makes place for them. 0: no bound.
 */
void ups_set_most(struct ups *u, unsigned int most)
{
	u->most = most;
}

/* Whether urgent calls wait: those who hold a connection should be brief. */
bool ups_crowded(const struct ups *u)
{
	return u->waiting[true].length > 0;
}

/* Closes idle connections to a target that gets no new work. */
void ups_forget(struct ups *u, const char *addr)
{
	GPtrArray *idle;

	while ((idle = g_hash_table_lookup(u->hosts, addr))) {
		struct ups_conn *c = g_ptr_array_index(idle, idle->len - 1);

		ups_unlist(c);
		ups_conn_event(c, UPS_EV_EXPIRED);
		ups_conn_close(c);
	}
}

/* Counters since the start. */
struct ups_stats ups_stats(const struct ups *u)
{
	struct ups_stats s = u->stats;

	s.open = u->conns->len;
	s.idle = u->idle.length;
	s.waiting = u->waiting[false].length + u->waiting[true].length;
	return s;
}

/* The value of an answer's header, or NULL. */
const char *ups_header_find(const struct ups_answer *a, const char *name)
{
	size_t i;

	for (i = 0; i < a->n_headers; i++)
		if (g_ascii_strcasecmp(a->headers[i].name, name) == 0)
			return a->headers[i].value;
	return NULL;
}

/* The youngest idle connection, if it is young enough and still quiet. */
static struct ups_conn *ups_conn_take(struct ups *u, const char *addr)
{
	int64_t now = tmr_now(u->tmr);
	GPtrArray *idle;

	while ((idle = g_hash_table_lookup(u->hosts, addr))) {
		struct ups_conn *c = g_ptr_array_index(idle, idle->len - 1);

		if (now - c->last > u->reuse_ms)
			return NULL;
		ups_unlist(c);
		if (ups_conn_quiet(c)) {
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
 * Whether nothing waits on an idle connection, neither bytes nor its end. The
 * target may have closed it and the loop not have come to it yet: a request
 * sent then would fail with an outcome nobody knows.
 */
static bool ups_conn_quiet(const struct ups_conn *c)
{
	char byte;
	ssize_t n = recv(
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev)),
		&byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

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
	/* Never by itself: only the caller of ups knows what is safe. */
	evhttp_connection_set_retries(c->ev, 0);
	evbuffer_add_cb(bufferevent_get_output(
				evhttp_connection_get_bufferevent(c->ev)),
			ups_sent, c);
	g_ptr_array_add(u->conns, c);
	u->stats.connects++;
	return c;
}

static void ups_conn_free(struct ups_conn *c)
{
	evhttp_connection_free(c->ev);
	g_free(c->addr);
	g_free(c);
}

/* Frees a connection later: this may come from within evhttp's own code. */
static void ups_conn_late_free(void *arg, int64_t now)
{
	struct ups_conn *c = arg;
	struct ups *u = c->u;

	g_ptr_array_remove_fast(u->conns, c);
	ups_conn_free(c);
	ups_next_soon(u);
}

static void ups_conn_close(struct ups_conn *c)
{
	c->state = UPS_CLOSED;
	tmr_once(c->u->tmr, 0, ups_conn_late_free, c);
}

/*
 * Has a connection end with a reset. A plain close leaves what the target
 * hasn't acknowledged to the kernel, which goes on sending it: behind a cut
 * for as long as the cut lasts, and what was given up is carried out then. A
 * reset drops it.
 */
static void ups_conn_abort(struct ups_conn *c)
{
	const struct linger at_once = {.l_onoff = 1};
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
}

static void ups_conn_put(struct ups_conn *c)
{
	GPtrArray *idle = g_hash_table_lookup(c->u->hosts, c->addr);

	if (!idle) {
		idle = g_ptr_array_new();
		g_hash_table_insert(c->u->hosts, g_strdup(c->addr), idle);
	}
	c->last = tmr_now(c->u->tmr);
	c->link.data = c;
	g_ptr_array_add(idle, c);
	g_queue_push_tail_link(&c->u->idle, &c->link);
	ups_next_soon(c->u);
}

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
 * Bytes have left this process: from here on the target may have run the
 * request. evhttp tells no such thing, but its output buffer does.
 */
static void ups_sent(struct evbuffer *buf, const struct evbuffer_cb_info *info,
		     void *arg)
{
	struct ups_conn *c = arg;

	if (info->n_added && c->call && c->call->write)
		ups_look(c);
	if (info->n_deleted == 0 || c->state != UPS_CONNECTING || !c->call)
		return;
	tmr_cancel(c->u->tmr, c->call->connect_timer);
	ups_conn_event(c, UPS_EV_CONNECTED);
}

/*
 * A request is about to be written: on a new connection at once, by the
 * bufferevent that has just connected, so that this is the last moment to look;
 * on one that is there in the loop's next turn, and ups_on_write comes first.
 */
static void ups_look(struct ups_conn *c)
{
	struct ups_call *call = c->call;

	if (!call->refused && !call->ops->may(call->arg)) {
		call->refused = true;
		/* evhttp can't be stopped here, but its socket can */
		shutdown(bufferevent_getfd(
				 evhttp_connection_get_bufferevent(c->ev)),
			 SHUT_RDWR);
	}
	event_active(call->write, EV_WRITE, 0);
}

/*
 * Looks once more and writes the request in the same breath. What is left for
 * later would be written without a look, so it is given up; a request that is
 * asked for is far smaller than what a socket takes.
 */
static void ups_on_write(evutil_socket_t unused, short what, void *arg)
{
	struct ups_call *call = arg;
	struct bufferevent *bev;
	struct evbuffer *out;

	if (call->over)
		return;
	bev = evhttp_connection_get_bufferevent(call->conn->ev);
	out = bufferevent_get_output(bev);
	if (evbuffer_get_length(out) == 0)
		return;
	if (call->refused || !call->ops->may(call->arg)) {
		ups_finish(call, UPS_NOT_SENT);
		return;
	}
	evbuffer_unfreeze(out, 1);
	evbuffer_write(out, bufferevent_getfd(bev));
	evbuffer_freeze(out, 1);
	if (evbuffer_get_length(out))
		ups_finish(call, UPS_CUT);
}

/* Sets a new connection's bounds in the kernel. */
static void ups_conn_bound(struct ups_conn *c)
{
	unsigned int ms = (unsigned int)c->u->held_ms;
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	if (!ms || fd < 0)
		return;
	/* also what the end of this process would leave to the kernel */
	ups_conn_abort(c);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static bool ups_connected(const struct ups_conn *c)
{
	struct sockaddr_storage ss;
	socklen_t len = sizeof(ss);
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(c->ev));

	return fd >= 0 && getpeername(fd, (struct sockaddr *)&ss, &len) == 0;
}

static int ups_on_headers(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	struct evkeyval *kv;

	call->answer.status = evhttp_request_get_response_code(req);
	if (!ups_framing_ok(call, req)) {
		call->bad = true;
		return -1;
	}
	/* Now, not at the end: trailers would come in among them. */
	TAILQ_FOREACH(kv, evhttp_request_get_input_headers(req), next) {
		struct ups_header h = {g_strdup(kv->key), g_strdup(kv->value)};

		g_array_append_val(call->headers, h);
	}
	return 0;
}

/*
 * Whether the answer tells where it ends, in one way only. evhttp takes an
 * answer without length as whole when the peer closes: a target that dies
 * half-way would give a caller half an answer as a whole one. It also takes
 * the first of two lengths, and interim answers (1xx) as final.
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

static void ups_on_part(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	if (call->over)
		return;
	evbuffer_add_buffer(call->held, in);
	if (!call->passing_on &&
	    (int64_t)evbuffer_get_length(call->held) <= call->max_answer)
		return;
	call->answer.headers = (void *)call->headers->data;
	call->answer.n_headers = call->headers->len;
	call->answer.body = call->held;
	call->answer.reused = call->reused;
	if (!call->passing_on) {
		call->passing_on = true;
		call->ops->start(call->arg, &call->answer);
	}
	if (!call->over && !call->ops->part(call->arg, &call->answer))
		bufferevent_disable(
			evhttp_connection_get_bufferevent(call->conn->ev),
			EV_READ);
}

/* evhttp is done: with an answer, without one (NULL), or not connected. */
static void ups_on_done(struct evhttp_request *req, void *arg)
{
	struct ups_call *call = arg;
	enum ups_end end = UPS_WHOLE;

	call->req = NULL;
	if (call->over)
		return;
	if (!req || evhttp_request_get_response_code(req) == 0 || call->bad)
		end = call->bad		? UPS_BAD
		      : call->timed_out ? UPS_TIMEOUT
					: UPS_CUT;
	ups_finish(call, end);
}

static void ups_on_connect_time(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->connect_timer = 0;
	if (ups_connected(call->conn))
		return;
	call->timed_out = true;
	ups_finish(call, UPS_TIMEOUT);
}

static void ups_on_deadline(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->deadline_timer = 0;
	call->timed_out = true;
	ups_finish(call, UPS_TIMEOUT);
}

/*
 * A call that is over has no connection any more, and its other timers may be
 * due in the same turn: on a busy leader that ended the daemon, turn after
 * turn, with each new leader. Stopping them is enough, since the timer service
 * never calls what was cancelled.
 */
static void ups_stop_timers(struct ups_call *call)
{
	tmr_cancel(call->u->tmr, call->connect_timer);
	tmr_cancel(call->u->tmr, call->deadline_timer);
	call->connect_timer = 0;
	call->deadline_timer = 0;
}

/*
 * The call is over; its end is told from the loop, since this may run within
 * evhttp. A connection goes back to idle only after a whole answer with no
 * byte behind it; a byte too many would be taken for the next answer.
 */
static void ups_finish(struct ups_call *call, enum ups_end end)
{
	struct ups_conn *c = call->conn;
	struct bufferevent *bev;
	struct evhttp_request *req = call->req;
	bool sent;
	bool clean;

	if (call->over)
		return;
	call->over = true;
	ups_stop_timers(call);
	call->end_timer = tmr_once(call->u->tmr, 0, ups_tell_end, call);
	if (!c) {
		ups_wait_free(call);
		call->end = UPS_NO_ROOM;
		return;
	}
	bev = evhttp_connection_get_bufferevent(c->ev);
	sent = c->state == UPS_BUSY;
	call->req = NULL;
	call->end = sent ? end : UPS_NOT_SENT;
	clean = end == UPS_WHOLE && sent &&
		evbuffer_get_length(bufferevent_get_input(bev)) == 0;
	if (end == UPS_WHOLE && sent)
		ups_conn_event(c, UPS_EV_ANSWERED);
	else
		ups_conn_event(c, end == UPS_TIMEOUT ? UPS_EV_TIMEOUT
						     : UPS_EV_FAILED);
	if (!clean)
		ups_conn_abort(c);
	c->call = NULL;
	call->conn = NULL;
	if (req)
		evhttp_cancel_request(req);
	if (clean)
		ups_conn_put(c);
	else
		ups_conn_close(c);
}

static void ups_tell_end(void *arg, int64_t now)
{
	struct ups_call *call = arg;

	call->end_timer = 0;
	call->u->stats.ends[call->end]++;
	call->answer.headers = (void *)call->headers->data;
	call->answer.n_headers = call->headers->len;
	call->answer.body = call->held;
	call->answer.reused = call->reused;
	call->ops->end(call->arg, call->end, &call->answer);
	ups_call_free(call);
}

static void ups_call_free(struct ups_call *call)
{
	ups_stop_timers(call);
	ups_wait_free(call);
	tmr_cancel(call->u->tmr, call->end_timer);
	if (call->write)
		event_free(call->write);
	if (call->req) {
		/* evhttp frees the request; its call-backs must not come. */
		call->over = true;
		evhttp_cancel_request(call->req);
	}
	ups_headers_free(call->headers);
	evbuffer_free(call->held);
	g_free(call);
}

/* Frees a list of headers with their texts. */
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

/* Closes idle connections that are too old to be used again. */
static void ups_tick(void *arg, int64_t now)
{
	struct ups *u = arg;
	struct ups_conn *c;

	while ((c = g_queue_peek_head(&u->idle)) &&
	       now - c->last > u->reuse_ms) {
		ups_unlist(c);
		ups_conn_event(c, UPS_EV_EXPIRED);
		ups_conn_close(c);
	}
}
