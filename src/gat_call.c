#include "gat_int.h"

/*
 * How long a call that may have reached a lost leader waits for the next
 * leader, ms. A change of leader usually takes longer; the caller then retries
 * with the same id, which is safe at any entry daemon.
 */
#define GAT_LEADER_WAIT_MS 400
/* A leader answers within about 20 ms; one that takes this long is stalled. */
#define GAT_ANSWER_TIMEOUT_MS 1500
/*
 * Bounds of Retry-After while no leader is known. An election takes about a
 * second; one that has lasted longer is expected to last about as long again.
 * Callers that retry too early use up their retries.
 */
#define GAT_RETRY_MIN_S 1
#define GAT_RETRY_MAX_S 4

static struct gat_call *gat_call_new(struct gat *g, struct srv_req *r);
static char *gat_credentials(const struct gat *g, const struct srv_req *r);
static void gat_call_refuse(struct gat *g, struct gat_call *c);

/* Forwards a caller's request to the leader, or refuses it if there is none. */
void gat_on_request(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = gat_call_new(g, r);

	g->counts[GAT_REQUESTS]++;
	if (g->leader)
		gat_call_send(g, c);
	else
		gat_call_refuse(g, c);
}

/* Records a request until it is answered. Returns its call. */
static struct gat_call *gat_call_new(struct gat *g, struct srv_req *r)
{
	struct gat_call *c = g_new0(struct gat_call, 1);
	struct srv_req_info info = srv_info(r);
	const char *host = srv_header(r, "Host");
	const char *timeout = NULL;
	char *colon;

	if (g->config.timeout_header)
		timeout = srv_header(r, g->config.timeout_header);
	c->id = g->next_id++;
	c->req = r;
	c->received_ms = tmr_now(g->tmr);
	c->routed_ms = c->received_ms;
	c->timeout_ms = timeout ? strtoll(timeout, NULL, 10) : 0;
	c->host = g_strdup(host ? host : "");
	colon = strrchr(c->host, ':');
	if (colon)
		*colon = '\0';
	c->path = g_strdup(info.path);
	c->method = g_strdup(info.method);
	c->credentials = gat_credentials(g, r);
	c->body = srv_take_body(r);
	srv_set_user(r, c);
	g_hash_table_insert(g->calls, &c->id, c);
	return c;
}

/*
 * Returns the header with the caller's key, or "". Several such headers are
 * joined by a newline, which no key can hold: a proxy before this daemon may
 * have checked another of them than the leader would.
 */
static char *gat_credentials(const struct gat *g, const struct srv_req *r)
{
	GArray *headers;
	GString *out = g_string_new(NULL);
	guint n = 0;
	guint i;

	if (!g->config.key_header)
		return g_string_free(out, FALSE);
	headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	srv_headers(r, headers);
	for (i = 0; i < headers->len; i++) {
		const struct ups_header *h =
			&g_array_index(headers, struct ups_header, i);

		if (g_ascii_strcasecmp(h->name, g->config.key_header) != 0)
			continue;
		if (n++)
			g_string_append_c(out, '\n');
		g_string_append(out, h->value);
	}
	g_array_free(headers, TRUE);
	return g_string_free(out, FALSE);
}

/* Frees a call. */
void gat_call_free(gpointer p)
{
	struct gat_call *c = p;

	g_free(c->host);
	g_free(c->path);
	g_free(c->method);
	g_free(c->credentials);
	g_bytes_unref(c->body);
	g_free(c);
}

/* Sends a call to the replica that leads as far as is known. */
void gat_call_send(struct gat *g, struct gat_call *c)
{
	struct pk_out o;
	gsize len;
	const char *p = g_bytes_get_data(c->body, &len);

	pk_out_init(&o);
	pk_arr(&o, 7);
	pk_u(&o, PROTO_CALL);
	pk_u(&o, c->id);
	pk_cstr(&o, c->method);
	pk_cstr(&o, c->host);
	pk_cstr(&o, c->path);
	pk_str(&o, lstr_n(p ? p : "", len));
	pk_cstr(&o, c->credentials);
	c->routed_ms = tmr_now(g->tmr);
	if (wire_send(g->leader->conn, pk_out_view(&o))) {
		c->replica = g->leader;
		c->sent = true;
		/* a leader that reads nothing leaves the copy with us */
		srv_count(c->req, pk_out_view(&o).len);
	}
	pk_out_done(&o);
}

/* Returns a replica's answer to the caller of its request. */
void gat_call_answer(struct gat *g, struct pk_in *in)
{
	uint64_t id = pk_get_u(in);
	int status = (int)pk_get_u(in);
	uint64_t after = pk_get_u(in);
	struct lstr type = pk_get_str(in);
	struct lstr body = pk_get_str(in);
	struct gat_call *c = g_hash_table_lookup(g->calls, &id);
	struct ups_header h[3];
	char type_text[64];
	char retry_after_text[24];
	struct evbuffer *buf;
	size_t n = 0;

	if (!pk_in_ok(in) || !c)
		return;
	if (status == 421) {
		/* the replica does not lead and has not run the call */
		c->replica = NULL;
		c->routed_ms = tmr_now(g->tmr);
		return;
	}
	if (body.len) {
		g_snprintf(type_text, sizeof(type_text), LSTR_FMT,
			   LSTR_ARG(type));
		h[n++] = (struct ups_header){(char *)"Content-Type", type_text};
	}
	if (after) {
		g_snprintf(retry_after_text, sizeof(retry_after_text),
			   "%" PRIu64, after);
		h[n++] = (struct ups_header){(char *)"Retry-After",
					     retry_after_text};
	}
	if (status == 401 && g->config.key_scheme)
		h[n++] = (struct ups_header){(char *)"WWW-Authenticate",
					     (char *)g->config.key_scheme};
	buf = evbuffer_new();
	evbuffer_add(buf, body.p, body.len);
	g->counts[GAT_ANSWERS]++;
	g->counts[GAT_RETRY_LATER] += after > 0;
	cnt_time_ms(&g->answers, tmr_now(g->tmr) - c->received_ms);
	srv_reply(c->req, status, h, n, buf);
	evbuffer_free(buf);
	g_hash_table_remove(g->calls, &id);
}

/* Resends calls that have no replica, and refuses those that have timed out. */
void gat_calls_tick(struct gat *g, int64_t now)
{
	GList *all = g_hash_table_get_values(g->calls);
	GList *i;

	for (i = all; i; i = i->next) {
		struct gat_call *c = i->data;
		int64_t waited_ms = now - c->routed_ms;

		if (!c->replica && g->leader && waited_ms > GAT_TICK_MS)
			gat_call_send(g, c);
		else if (waited_ms > (c->replica ? GAT_ANSWER_TIMEOUT_MS
						 : GAT_LEADER_WAIT_MS))
			gat_call_refuse(g, c);
	}
	g_list_free(all);
}

/* Discards the call of a caller that has disconnected. */
void gat_on_disconnect(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = srv_user(r);

	if (c)
		g_hash_table_remove(g->calls, &c->id);
}

/*
 * Refuses a call with its final answer. A call that was never sent has not run
 * and may be retried (503). The outcome of any other call is unknown, and the
 * caller retries it with its id (504).
 */
static void gat_call_refuse(struct gat *g, struct gat_call *c)
{
	char text[16];
	struct ups_header after = {(char *)"Retry-After", text};
	int64_t leaderless_s =
		(tmr_now(g->tmr) - g->leaderless_since_ms) / 1000;

	g_snprintf(text, sizeof(text), "%d",
		   (int)CLAMP(leaderless_s, GAT_RETRY_MIN_S, GAT_RETRY_MAX_S));

	g->counts[c->sent ? GAT_UNKNOWN : GAT_REFUSED]++;
	cnt_time_ms(&g->refusals, tmr_now(g->tmr) - c->received_ms);
	msg_job_fails(c->sent ? MSG_GAT_UNKNOWN : MSG_GAT_REFUSED, c->path,
		      "method=%s path=%s why=\"no leader\" held_ms=%" PRId64,
		      c->method, c->path, tmr_now(g->tmr) - c->received_ms);
	srv_reply(c->req, c->sent ? 504 : 503, &after, 1, NULL);
	g_hash_table_remove(g->calls, &c->id);
}
