#include "gat_int.h"

/*
 * How long a call that may have reached a leader that is lost waits for the
 * next one, ms. A change of leader mostly takes longer; the caller then asks
 * again under the same id, which is safe at any entry daemon.
 */
#define GAT_LEADERLESS_MS 400
/* A leader answers within some 20 ms; one that doesn't stands still. */
#define GAT_ANSWER_MS 1500
/*
 * When callers are told to come back while no leader is known: an election
 * takes about a second; where it has taken longer already, it will about as
 * long again. Callers who come too early use up their tries.
 */
#define GAT_RETRY_MIN_S 1
#define GAT_RETRY_MAX_S 4

static struct gat_call *gat_call_new(struct gat *g, struct srv_req *r);
static void gat_give_up(struct gat *g, struct gat_call *c);

/* A caller's request: sent on, or refused at once. */
void gat_on_request(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = gat_call_new(g, r);

	g->counts[GAT_REQUESTS]++;
	if (g->leader)
		gat_call_send(g, c);
	else
		gat_give_up(g, c);
}

/* Begins to keep a request until its answer. */
static struct gat_call *gat_call_new(struct gat *g, struct srv_req *r)
{
	struct gat_call *c = g_new0(struct gat_call, 1);
	struct srv_req_info info = srv_info(r);
	const char *host = srv_header(r, "Host");
	const char *patience = NULL;
	struct evbuffer *body = srv_body(r);
	size_t len = evbuffer_get_length(body);
	char *colon;

	if (g->config.patience_header)
		patience = srv_header(r, g->config.patience_header);
	c->no = g->next_no++;
	c->req = r;
	c->came_ms = tmr_now(g->tmr);
	c->since_ms = c->came_ms;
	c->patience_ms = patience ? strtoll(patience, NULL, 10) : 0;
	c->host = g_strdup(host ? host : "");
	colon = strrchr(c->host, ':');
	if (colon)
		*colon = '\0';
	c->path = g_strdup(info.path);
	c->method = g_strdup(info.method);
	c->body = g_bytes_new(evbuffer_pullup(body, -1), len);
	srv_set_user(r, c);
	g_hash_table_insert(g->calls, &c->no, c);
	return c;
}

/* Forgets a request. */
void gat_call_free(gpointer p)
{
	struct gat_call *c = p;

	g_free(c->host);
	g_free(c->path);
	g_free(c->method);
	g_bytes_unref(c->body);
	g_free(c);
}

/* Sends a request to the control daemon that leads, by all we know. */
void gat_call_send(struct gat *g, struct gat_call *c)
{
	struct pk_out o;
	gsize len;
	const char *p = g_bytes_get_data(c->body, &len);

	pk_out_init(&o);
	pk_arr(&o, 6);
	pk_u(&o, PROTO_CALL);
	pk_u(&o, c->no);
	pk_cstr(&o, c->method);
	pk_cstr(&o, c->host);
	pk_cstr(&o, c->path);
	pk_str(&o, lstr_n(p ? p : "", len));
	c->since_ms = tmr_now(g->tmr);
	if (wire_send(g->leader->conn, pk_out_view(&o))) {
		c->core = g->leader;
		c->sent = true;
	}
	pk_out_done(&o);
}

/* An answer goes back to its caller. */
void gat_call_answer(struct gat *g, struct pk_in *in)
{
	uint64_t no = pk_get_u(in);
	int status = (int)pk_get_u(in);
	uint64_t after = pk_get_u(in);
	struct lstr type = pk_get_str(in);
	struct lstr body = pk_get_str(in);
	struct gat_call *c = g_hash_table_lookup(g->calls, &no);
	struct ups_header h[2];
	char type_text[64];
	char after_text[24];
	struct evbuffer *buf;
	size_t n = 0;

	if (!pk_in_ok(in) || !c)
		return;
	if (status == 421) {
		/* it doesn't lead, and did nothing */
		c->core = NULL;
		c->since_ms = tmr_now(g->tmr);
		return;
	}
	if (body.len) {
		g_snprintf(type_text, sizeof(type_text), LSTR_FMT,
			   LSTR_ARG(type));
		h[n++] = (struct ups_header){(char *)"Content-Type", type_text};
	}
	if (after) {
		g_snprintf(after_text, sizeof(after_text), "%" PRIu64, after);
		h[n++] = (struct ups_header){(char *)"Retry-After", after_text};
	}
	buf = evbuffer_new();
	evbuffer_add(buf, body.p, body.len);
	g->counts[GAT_ANSWERS]++;
	g->counts[GAT_TURNED_AWAY] += after > 0;
	cnt_time_ms(&g->answers, tmr_now(g->tmr) - c->came_ms);
	srv_reply(c->req, status, h, n, buf);
	evbuffer_free(buf);
	g_hash_table_remove(g->calls, &no);
}

/* Refuses requests that got no answer in time. */
void gat_calls_tick(struct gat *g, int64_t now)
{
	GList *all = g_hash_table_get_values(g->calls);
	GList *i;

	for (i = all; i; i = i->next) {
		struct gat_call *c = i->data;
		int64_t held = now - c->since_ms;

		if (!c->core && g->leader && held > GAT_TICK_MS)
			gat_call_send(g, c);
		else if (held > (c->core ? GAT_ANSWER_MS : GAT_LEADERLESS_MS))
			gat_give_up(g, c);
	}
	g_list_free(all);
}

/* A caller left: nobody waits for the answer. */
void gat_on_gone(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = srv_user(r);

	if (c)
		g_hash_table_remove(g->calls, &c->no);
}

/*
 * The final answer, at once: what was sent nowhere has not run and may come
 * again; of the rest nobody can say, and the caller asks again under its id.
 */
static void gat_give_up(struct gat *g, struct gat_call *c)
{
	char text[16];
	struct ups_header after = {(char *)"Retry-After", text};
	int64_t gone_s = (tmr_now(g->tmr) - g->leaderless_ms) / 1000;

	g_snprintf(text, sizeof(text), "%d",
		   (int)CLAMP(gone_s, GAT_RETRY_MIN_S, GAT_RETRY_MAX_S));

	g->counts[c->sent ? GAT_UNKNOWN : GAT_REFUSED]++;
	cnt_time_ms(&g->refusals, tmr_now(g->tmr) - c->came_ms);
	msg_job_fails(c->sent ? MSG_GAT_UNKNOWN : MSG_GAT_REFUSED, c->path,
		      "method=%s path=%s why=\"no leader\" held_ms=%" PRId64,
		      c->method, c->path, tmr_now(g->tmr) - c->came_ms);
	srv_reply(c->req, c->sent ? 504 : 503, &after, 1, NULL);
	g_hash_table_remove(g->calls, &c->no);
}
