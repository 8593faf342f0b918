#include "hub_int.h"

#include "proto.h"

/* Memory of a call without its body. */
#define HUB_CALL_BYTES 1024u
/* How long until a leader is elected, s, rounded up. */
#define HUB_ELECTION_S 1

static void hub_answer_wire(struct hub_call *c, const struct hub_answer *a);
static void hub_answer_http(struct hub_call *c, const struct hub_answer *a);

/*
 * Returns a new open call with one reference, released when the call is
 * answered or its client disconnects.
 */
struct hub_call *hub_call_new(struct hub *h, enum hub_origin origin)
{
	struct hub_call *c = g_new0(struct hub_call, 1);

	c->h = h;
	c->origin = origin;
	c->refs = 1;
	c->arrived_ms = tmr_now(h->tmr);
	mbd_hold_begin(&c->hold, h->memory, NULL, NULL);
	g_hash_table_add(h->calls, c);
	h->counts[HUB_CALLS]++;
	return c;
}

/* Releases a reference to a call, and frees the call with the last one. */
void hub_call_unref(struct hub_call *c)
{
	if (--c->refs > 0)
		return;
	g_hash_table_remove(c->h->calls, c);
	if (c->body)
		g_bytes_unref(c->body);
	mbd_hold_end(&c->hold);
	g_free(c->method);
	g_free(c->host);
	g_free(c->path);
	g_free(c->credentials);
	g_free(c->user);
	g_free(c);
}

/*
 * Counts the memory of a call that an entry daemon relayed. Returns false if
 * there is no room for it: while nothing can be decided, calls of many entry
 * daemons wait here, and each keeps its body.
 */
bool hub_call_fits(struct hub_call *c)
{
	mbd_hold_set(&c->hold, HUB_CALL_BYTES + hub_body(c).len, false);
	return mbd_reclaim(c->h->memory, &c->hold);
}

/*
 * Detaches a call from its client. A call that is not answered yet ends without
 * an answer.
 */
void hub_call_disconnect(struct hub_call *c)
{
	c->conn = NULL;
	c->req = NULL;
	if (c->answered)
		return;
	c->answered = true;
	hub_call_unref(c);
}

/* An entry daemon's connection was closed: disconnects its calls. */
void hub_conn_closed(struct hub *h, const struct wire_conn *conn)
{
	GList *all = g_hash_table_get_keys(h->calls);
	GList *i;

	for (i = all; i; i = i->next) {
		struct hub_call *c = i->data;

		if (c->conn == conn)
			hub_call_disconnect(c);
	}
	g_list_free(all);
}

/* Returns how a call reached the daemon. */
enum hub_origin hub_origin(const struct hub_call *c)
{
	return c->origin;
}

/* Returns the HTTP method of a call. */
const char *hub_method(const struct hub_call *c)
{
	return c->method;
}

/* Returns the host of a call, without a port. */
const char *hub_host(const struct hub_call *c)
{
	return c->host;
}

/* Returns the raw path of a call, without its query. */
const char *hub_path(const struct hub_call *c)
{
	return c->path;
}

/*
 * Returns the zone of the entry daemon that took a call, or NULL if the call
 * came to the control address.
 */
const char *hub_caller_zone(const struct hub_call *c)
{
	return c->conn ? wire_zone(c->conn) : NULL;
}

/* Returns the body of a call, valid as long as the call. */
struct lstr hub_body(const struct hub_call *c)
{
	gsize len = 0;
	const char *p = c->body ? g_bytes_get_data(c->body, &len) : NULL;

	return lstr_n(p ? p : "", len);
}

/* Returns the header with a caller's key, as the caller sent it, or "". */
struct lstr hub_credentials(const struct hub_call *c)
{
	return lstr_from(c->credentials ? c->credentials : "");
}

/* Attaches data to a call; g_free frees the data with the call. */
void hub_set_user(struct hub_call *c, void *user)
{
	c->user = user;
}

/* Returns the data attached to a call. */
void *hub_user(const struct hub_call *c)
{
	return c->user;
}

/* Answers a call; later answers to the same call are ignored. */
void hub_answer(struct hub *h, struct hub_call *c, const struct hub_answer *a)
{
	if (c->answered)
		return;
	c->answered = true;
	hub_record_time(h, HUB_ANSWER, tmr_now(h->tmr) - c->arrived_ms);
	if (c->conn)
		hub_answer_wire(c, a);
	else if (c->req)
		hub_answer_http(c, a);
	hub_call_unref(c);
}

/* Answers a call with a status and no body. */
void hub_answer_status(struct hub *h, struct hub_call *c, int status)
{
	hub_answer(h, c, &(struct hub_answer){.status = status});
}

/*
 * Refuses a call that no leader can carry out now, at once: a client that is
 * held uses up its time, and one that isn't told when to come back comes back
 * too often.
 */
void hub_answer_later(struct hub *h, struct hub_call *c)
{
	hub_answer(h, c,
		   &(struct hub_answer){.status = 503,
					.retry_after_s = HUB_ELECTION_S});
}

/* Answers a call with a status and a line of text that says why. */
void hub_answer_text(struct hub *h, struct hub_call *c, int status,
		     const char *text)
{
	hub_answer(h, c,
		   &(struct hub_answer){.status = status,
					.type = "text/plain; charset=utf-8",
					.body = lstr_from(text)});
}

/* Sends an answer to the entry daemon that relayed the call. */
static void hub_answer_wire(struct hub_call *c, const struct hub_answer *a)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 6);
	pk_u(&o, PROTO_ANSWER);
	pk_u(&o, c->no);
	pk_u(&o, (uint64_t)a->status);
	pk_u(&o, (uint64_t)a->retry_after_s);
	pk_cstr(&o, a->type ? a->type : "");
	pk_str(&o, a->body.p ? a->body : lstr_n("", 0));
	wire_send(c->conn, pk_out_view(&o));
	pk_out_done(&o);
}

/* Sends an answer to the client at the control address. */
static void hub_answer_http(struct hub_call *c, const struct hub_answer *a)
{
	struct ups_header h[3];
	char after[16];
	size_t n = 0;
	struct evbuffer *body = NULL;
	struct srv_req *req = c->req;

	if (a->type && a->body.len)
		h[n++] = (struct ups_header){(char *)"Content-Type",
					     (char *)a->type};
	if (a->location)
		h[n++] = (struct ups_header){(char *)"Location",
					     (char *)a->location};
	if (a->retry_after_s) {
		g_snprintf(after, sizeof(after), "%d", a->retry_after_s);
		h[n++] = (struct ups_header){(char *)"Retry-After", after};
	}
	if (a->body.len) {
		body = evbuffer_new();
		evbuffer_add(body, a->body.p, a->body.len);
	}
	c->req = NULL;
	srv_set_user(req, NULL);
	srv_reply(req, a->status, h, n, body);
	if (body)
		evbuffer_free(body);
}
