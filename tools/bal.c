#include "bal.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "addr.h"

#define HEALTH_MS 200
#define HEALTH_TIMEOUT_S 1
/* Where there is no health page: so long after a failed connect. */
#define DOWN_MS 500

/* One address behind the balancer. */
struct bal_entry {
	struct bal *bal;
	char *name; /* IP:PORT, for the Host header */
	char *ip;
	uint16_t port;
	bool up;
	GQueue idle; /* struct evhttp_connection */
	int open;
	struct evhttp_connection *health;
	bool health_busy;
};

struct bal {
	struct bal_config config;
	struct bal_entry *entries;
	int n;
	int next;
	GQueue waiting; /* struct bal_call that found no free connection */
	GQueue dead; /* struct evhttp_connection to be freed outside of it */
};

/* A request until its answer. */
struct bal_call {
	struct bal *bal;
	enum evhttp_cmd_type method;
	char *uri;
	char *names[BAL_HEADERS_MAX];
	char *values[BAL_HEADERS_MAX];
	struct lstr body;
	int avoid;
	bal_fn fn;
	void *arg;
	int tries;
	int entry;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	uint64_t timer;
	bool began;
};

static void bal_answered(struct evhttp_request *req, void *arg);
static void bal_place(struct bal_call *c);
static void bal_health(void *arg, int64_t now);

static struct evhttp_connection *bal_connect(const struct bal *b,
					     const char *addr)
{
	struct evhttp_connection *conn;
	uint16_t port;
	char *ip = addr_split(addr, &port);

	conn = evhttp_connection_base_new(b->config.base, NULL, ip, port);
	g_free(ip);
	return conn;
}

/* Starts with all addresses up; health checks begin at once. */
struct bal *bal_new(const struct bal_config *config)
{
	struct bal *b = g_new0(struct bal, 1);
	char **admins = config->admins;
	int i;

	b->config = *config;
	b->n = (int)g_strv_length(config->entries);
	b->entries = g_new0(struct bal_entry, (gsize)b->n);
	for (i = 0; i < b->n; i++) {
		struct bal_entry *e = &b->entries[i];

		e->bal = b;
		e->name = config->entries[i];
		e->ip = addr_split(e->name, &e->port);
		e->up = true;
		if (!admins)
			continue;
		e->health = bal_connect(b, admins[i]);
		evhttp_connection_set_timeout(e->health, HEALTH_TIMEOUT_S);
		bal_health(e, 0);
		tmr_every(config->tmr, HEALTH_MS, bal_health, e);
	}
	return b;
}

/* Closes all connections; no call may be under way. */
void bal_free(struct bal *b)
{
	struct evhttp_connection *conn;
	int i;

	for (i = 0; i < b->n; i++) {
		while ((conn = g_queue_pop_head(&b->entries[i].idle)))
			evhttp_connection_free(conn);
		if (b->entries[i].health)
			evhttp_connection_free(b->entries[i].health);
		g_free(b->entries[i].ip);
	}
	while ((conn = g_queue_pop_head(&b->dead)))
		evhttp_connection_free(conn);
	g_free(b->entries);
	g_free(b);
}

static void bal_health_answered(struct evhttp_request *req, void *arg)
{
	struct bal_entry *e = arg;

	e->health_busy = false;
	e->up = req && evhttp_request_get_response_code(req) == HTTP_OK;
}

static void bal_health(void *arg, int64_t now)
{
	struct bal_entry *e = arg;
	struct evhttp_request *req;

	if (e->health_busy)
		return;
	e->health_busy = true;
	req = evhttp_request_new(bal_health_answered, e);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  "health");
	if (evhttp_make_request(e->health, req, EVHTTP_REQ_GET, "/health") != 0)
		e->health_busy = false;
}

/*
 * Sends a request; fn is called once with what came of it, from the loop,
 * never from within this call.
 */
void bal_send(struct bal *b, const struct bal_request *request, bal_fn fn,
	      void *arg)
{
	struct bal_call *c = g_new0(struct bal_call, 1);
	int i;

	c->bal = b;
	c->method = request->method;
	c->uri = g_strdup(request->uri);
	c->avoid = request->avoid;
	c->fn = fn;
	c->arg = arg;
	c->body = lstr_n(g_memdup2(request->body.p, request->body.len),
			 request->body.len);
	for (i = 0; i < BAL_HEADERS_MAX && request->headers[i].name; i++) {
		c->names[i] = g_strdup(request->headers[i].name);
		c->values[i] = g_strdup(request->headers[i].value);
	}
	bal_place(c);
}

static void bal_call_free(struct bal_call *c)
{
	int i;

	for (i = 0; i < BAL_HEADERS_MAX; i++) {
		g_free(c->names[i]);
		g_free(c->values[i]);
	}
	if (c->body.len)
		g_free((char *)c->body.p);
	g_free(c->uri);
	g_free(c);
}

static bool bal_has_room(const struct bal_entry *e)
{
	return e->idle.length || e->open < e->bal->config.conns;
}

/* The next address in turn that may take c; with none up any may be tried. */
static int bal_pick(struct bal *b, const struct bal_call *c)
{
	bool any_up = false;
	int others = 0;
	int i;

	for (i = 0; i < b->n; i++) {
		any_up |= b->entries[i].up;
		others += b->entries[i].up && i != c->avoid;
	}
	for (i = 0; i < b->n; i++) {
		int at = (b->next + i) % b->n;

		if (any_up && !b->entries[at].up)
			continue;
		if (others && at == c->avoid)
			continue;
		if (!bal_has_room(&b->entries[at]))
			continue;
		b->next = at + 1;
		return at;
	}
	return -1;
}

static void bal_bury(void *arg, int64_t now)
{
	struct bal *b = arg;
	struct evhttp_connection *conn;

	while ((conn = g_queue_pop_head(&b->dead)))
		evhttp_connection_free(conn);
}

/* Frees a connection once its own callback is over. */
static void bal_discard(struct bal *b, struct evhttp_connection *conn)
{
	if (b->dead.length == 0)
		tmr_once(b->config.tmr, 0, bal_bury, b);
	g_queue_push_tail(&b->dead, conn);
}

/* Gives the connection of c back, or away where it must not be used again. */
static void bal_release(struct bal_call *c, bool reuse)
{
	struct bal_entry *e = &c->bal->entries[c->entry];

	if (reuse) {
		g_queue_push_head(&e->idle, c->conn);
	} else {
		e->open--;
		bal_discard(c->bal, c->conn);
	}
	c->conn = NULL;
	c->req = NULL;
}

static void bal_finish(struct bal_call *c, const struct bal_answer *answer)
{
	struct bal *b = c->bal;
	struct bal_call *next;

	tmr_cancel(b->config.tmr, c->timer);
	c->fn(c->arg, answer);
	bal_call_free(c);
	next = g_queue_pop_head(&b->waiting);
	if (next)
		bal_place(next);
}

static void bal_timeout(void *arg, int64_t now)
{
	struct bal_call *c = arg;
	struct bal_answer answer = {
		.sent = true,
		.began = c->began,
		.address = c->entry,
	};

	evhttp_cancel_request(c->req);
	bal_release(c, false);
	bal_finish(c, &answer);
}

static int bal_head(struct evhttp_request *req, void *arg)
{
	struct bal_call *c = arg;

	c->began = true;
	return 0;
}

static void bal_unreached(void *arg, int64_t now)
{
	struct bal_answer answer = {.sent = false};

	bal_finish(arg, &answer);
}

static void bal_up_again(void *arg, int64_t now)
{
	struct bal_entry *e = arg;

	e->up = true;
}

/* No connection to that address: the next one, until all were tried. */
static void bal_not_connected(struct bal_call *c)
{
	struct bal *b = c->bal;
	struct bal_entry *e = &b->entries[c->entry];

	tmr_cancel(b->config.tmr, c->timer);
	bal_release(c, false);
	if (e->up && !e->health)
		tmr_once(b->config.tmr, DOWN_MS, bal_up_again, e);
	e->up = false;
	if (++c->tries < b->n)
		bal_place(c);
	else
		c->timer = tmr_once(b->config.tmr, 0, bal_unreached, c);
}

static void bal_dispatch(struct bal_call *c)
{
	struct evkeyvalq *headers;
	struct bal *b = c->bal;
	int i;

	c->req = evhttp_request_new(bal_answered, c);
	evhttp_request_set_header_cb(c->req, bal_head);
	headers = evhttp_request_get_output_headers(c->req);
	evhttp_add_header(headers, "Host", b->entries[c->entry].name);
	for (i = 0; i < BAL_HEADERS_MAX && c->names[i]; i++)
		evhttp_add_header(headers, c->names[i], c->values[i]);
	evbuffer_add(evhttp_request_get_output_buffer(c->req), c->body.p,
		     c->body.len);
	c->timer =
		tmr_once(b->config.tmr, b->config.timeout_ms, bal_timeout, c);
	if (evhttp_make_request(c->conn, c->req, c->method, c->uri) != 0)
		bal_not_connected(c);
}

/* Finds a connection for c, or lets it wait for one. */
static void bal_place(struct bal_call *c)
{
	struct bal *b = c->bal;
	struct bal_entry *e;

	c->entry = bal_pick(b, c);
	if (c->entry < 0) {
		g_queue_push_tail(&b->waiting, c);
		return;
	}
	e = &b->entries[c->entry];
	c->conn = g_queue_pop_head(&e->idle);
	if (!c->conn) {
		c->conn = bal_connect(b, e->name);
		e->open++;
	}
	bal_dispatch(c);
}

static enum bal_told bal_read_told(struct evkeyvalq *headers)
{
	const char *told = evhttp_find_header(headers, "Endive-Outcome");

	if (!told)
		return BAL_TOLD_NOTHING;
	if (strcmp(told, "ran") == 0)
		return BAL_TOLD_RAN;
	if (strcmp(told, "not-run") == 0)
		return BAL_TOLD_NOT_RUN;
	return BAL_TOLD_UNKNOWN;
}

/* Whether the answer left its connection fit for another request. */
static bool bal_reusable(struct evkeyvalq *headers)
{
	const char *connection = evhttp_find_header(headers, "Connection");

	if (connection && g_ascii_strcasecmp(connection, "close") == 0)
		return false;
	return evhttp_find_header(headers, "Content-Length") ||
	       evhttp_find_header(headers, "Transfer-Encoding");
}

/*
 * evhttp gives no request where it broke after it was sent, and one without a
 * status where no connection came about.
 */
static void bal_answered(struct evhttp_request *req, void *arg)
{
	struct bal_call *c = arg;
	struct bal_answer answer = {
		.sent = true,
		.began = c->began,
		.address = c->entry,
	};
	struct evkeyvalq *headers;
	struct evbuffer *in;

	if (!req) {
		bal_release(c, false);
		bal_finish(c, &answer);
		return;
	}
	answer.status = evhttp_request_get_response_code(req);
	if (answer.status == 0) {
		bal_not_connected(c);
		return;
	}
	headers = evhttp_request_get_input_headers(req);
	in = evhttp_request_get_input_buffer(req);
	answer.told = bal_read_told(headers);
	answer.retry_after = evhttp_find_header(headers, "Retry-After") != NULL;
	answer.body = lstr_n(evbuffer_pullup(in, -1), evbuffer_get_length(in));
	bal_release(c, bal_reusable(headers));
	bal_finish(c, &answer);
}
