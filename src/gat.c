#include "gat.h"

#include <inttypes.h>
#include <stdlib.h>

#include "cnt.h"
#include "msg.h"
#include "pk.h"
#include "proto.h"
#include "srv.h"
#include "tmr.h"
#include "wire.h"

/* Nothing heard on a connection for so long: it has gone silent. */
#define GAT_SILENCE_MS 800
/* How often calls on their way are looked after. */
#define GAT_TICK_MS 50
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
/* A planned stop: the balancer looks once a second and wants two misses. */
#define GAT_LEAVE_MS 2600
/* Kept of the grace so that the last answers are out before the end. */
#define GAT_GRACE_REST_MS 700
/* Callers at once: what the descriptors of a small VM allow. */
#define GAT_CONNS_MAX 3000
#define GAT_SLOW_MS 15000

/* A replica. */
struct gat_core {
	struct gat *g;
	char *addr;
	struct wire_conn *conn;
	uint64_t term; /* in which it says that it leads; 0: it doesn't */
};

/* A caller's request whose answer is due. */
struct gat_call {
	uint64_t no;
	struct srv_req *req;
	struct gat_core *core; /* it was sent to; NULL: waits for a leader */
	bool sent; /* it may have been carried out */
	int64_t came_ms;
	int64_t since_ms; /* of the last change of core */
	int64_t patience_ms;
	char *host;
	char *path;
	char *method;
	GBytes *body;
};

enum gat_count {
	GAT_REQUESTS,
	GAT_ANSWERS,
	GAT_REFUSED,
	GAT_UNKNOWN,
	GAT_AGAIN,
	GAT_TURNED_AWAY,
	GAT_COUNTS
};

struct gat {
	struct gat_config config;
	struct tmr *tmr;
	struct wire *wire;
	struct srv *srv;
	struct srv *ready;
	struct srv *metrics;
	GHashTable *cores; /* address: struct gat_core */
	GHashTable *calls; /* no: struct gat_call */
	struct gat_core *leader;
	int64_t leaderless_ms; /* since; while there is no leader */
	uint64_t next_no;
	uint64_t tick;
	int64_t drain_from; /* 0: not draining */
	bool closing;
	uint64_t counts[GAT_COUNTS];
	struct cnt_times answers; /* a request's, until its answer */
	struct cnt_times refusals; /* the same of refused and unknown ones */
	struct cnt_times leaderless; /* how long no leader was known */
};

static bool gat_open_http(struct gat *g, GError **err);
static void gat_core_add(struct gat *g, const char *addr);
static void gat_core_free(gpointer p);
static void gat_up(void *arg, struct wire_conn *conn);
static void gat_recv(void *arg, struct wire_conn *conn, struct lstr payload);
static void gat_down(void *arg, struct wire_conn *conn, const GError *why);
static void gat_on_leader(struct gat_core *core, struct pk_in *in);
static void gat_on_answer(struct gat *g, struct pk_in *in);
static void gat_choose(struct gat *g);
static void gat_on_request(void *arg, struct srv_req *r);
static void gat_on_gone(void *arg, struct srv_req *r);
static void gat_on_ready(void *arg, struct srv_req *r);
static void gat_time(struct cnt_times *t, int64_t ms);
static void gat_on_metrics(void *arg, struct srv_req *r);
static void gat_no_gone(void *arg, struct srv_req *r);
static struct gat_call *gat_call_new(struct gat *g, struct srv_req *r);
static void gat_call_free(gpointer p);
static void gat_send(struct gat *g, struct gat_call *c);
static void gat_give_up(struct gat *g, struct gat_call *c);
static void gat_tick(void *arg, int64_t now);
static void gat_tick_calls(struct gat *g, int64_t now);
static void gat_tick_drain(struct gat *g, int64_t now);

static const struct wire_ops gat_wire_ops = {
	.up = gat_up,
	.recv = gat_recv,
	.down = gat_down,
};

static const struct srv_ops gat_srv_ops = {
	.request = gat_on_request,
	.gone = gat_on_gone,
};

static const struct srv_ops gat_ready_ops = {
	.request = gat_on_ready,
	.gone = gat_no_gone,
};

static const struct srv_ops gat_metrics_ops = {
	.request = gat_on_metrics,
	.gone = gat_no_gone,
};

static const struct cnt_def gat_counters[GAT_COUNTS] = {
	[GAT_REQUESTS] = {"endive_entry_requests_total", "counter",
			  "Requests of callers"},
	[GAT_ANSWERS] = {"endive_entry_answers_total", "counter",
			 "Answers of a leader given back"},
	[GAT_REFUSED] = {"endive_entry_refused_total", "counter",
			 "Requests refused that were sent nowhere"},
	[GAT_UNKNOWN] = {"endive_entry_unknown_total", "counter",
			 "Requests whose outcome can't be told"},
	[GAT_AGAIN] = {"endive_entry_again_total", "counter",
		       "Requests sent to a second leader"},
	[GAT_TURNED_AWAY] = {"endive_entry_turned_away_total", "counter",
			     "Answers of a leader that say when to come again"},
};

static const struct cnt_def gat_gauges[] = {
	{"endive_entry_open", "gauge", "Requests that wait for their answer"},
	{"endive_entry_leader", "gauge", "1 while a leader is known"},
};

/*
 * Starts an entry daemon on config's loop; config's parts must outlive it.
 * NULL with the step that failed.
 */
struct gat *gat_new(const struct gat_config *config, GError **err)
{
	struct gat *g = g_new0(struct gat, 1);
	char **p;

	g->config = *config;
	g->next_no = 1;
	g->tmr = tmr_new(config->base);
	g->leaderless_ms = tmr_now(g->tmr);
	g->cores = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 gat_core_free);
	g->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 gat_call_free);
	g->wire = wire_new(&(struct wire_config){
		.base = config->base,
		.tmr = g->tmr,
		.keys = config->keys,
		.node = config->node,
		.zone = config->zone,
		.silence_ms = GAT_SILENCE_MS,
	});
	if (!gat_open_http(g, err)) {
		gat_free(g);
		return NULL;
	}
	for (p = config->seeds; *p; p++)
		gat_core_add(g, *p);
	g->tick = tmr_every(g->tmr, GAT_TICK_MS, gat_tick, g);
	msg(MSG_START, "node=%s zone=%s callers=%s", config->node, config->zone,
	    config->callers);
	return g;
}

/* Ends it at once; callers that wait see their connections end. */
void gat_free(struct gat *g)
{
	if (!g)
		return;
	tmr_cancel(g->tmr, g->tick);
	srv_free(g->srv);
	srv_free(g->ready);
	srv_free(g->metrics);
	wire_free(g->wire);
	g_hash_table_destroy(g->calls);
	g_hash_table_destroy(g->cores);
	tmr_free(g->tmr);
	g_free(g);
}

/*
 * Planned stop: the balancer is told first; what is open is answered, and the
 * loop ends once nothing is.
 */
void gat_drain(struct gat *g)
{
	if (g->drain_from)
		return;
	g->drain_from = tmr_now(g->tmr);
	msg(MSG_GAT_DRAIN, "node=%s open=%" PRIu64 " calls=%u", g->config.node,
	    srv_stats(g->srv).open, g_hash_table_size(g->calls));
}

/* Other replicas to ask, from changed settings. */
void gat_set_seeds(struct gat *g, char **seeds)
{
	char **p;

	for (p = seeds; *p; p++)
		gat_core_add(g, *p);
}

/* Opens the addresses for callers, readiness and metrics. */
static bool gat_open_http(struct gat *g, GError **err)
{
	struct srv_config c = {
		.base = g->config.base,
		.tmr = g->tmr,
		.addr = g->config.callers,
		.max_body = (uint64_t)g->config.body_max,
		.slow_ms = GAT_SLOW_MS,
		.max_conns = GAT_CONNS_MAX,
	};

	g->srv = srv_new(&c, &gat_srv_ops, g, err);
	if (!g->srv)
		return false;
	if (g->config.ready) {
		c.addr = g->config.ready;
		g->ready = srv_new(&c, &gat_ready_ops, g, err);
		if (!g->ready)
			return false;
	}
	if (g->config.metrics) {
		c.addr = g->config.metrics;
		g->metrics = srv_new(&c, &gat_metrics_ops, g, err);
		if (!g->metrics)
			return false;
	}
	return true;
}

/* Adds a control daemon to those that may lead. */
static void gat_core_add(struct gat *g, const char *addr)
{
	struct gat_core *core;

	if (g_hash_table_contains(g->cores, addr))
		return;
	core = g_new0(struct gat_core, 1);
	core->g = g;
	core->addr = g_strdup(addr);
	g_hash_table_insert(g->cores, core->addr, core);
	core->conn = wire_dial(g->wire, addr, &gat_wire_ops, core);
}

/* Frees what is kept of a control daemon. */
static void gat_core_free(gpointer p)
{
	struct gat_core *core = p;

	g_free(core->addr);
	g_free(core);
}

/* A control daemon is reached. */
static void gat_up(void *arg, struct wire_conn *conn)
{
	/* A replica speaks first. */
}

/* A control daemon answers, or says who leads. */
static void gat_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct gat_core *core = arg;
	struct pk_in in;

	if (!pk_in_init(&in, payload))
		return;
	switch (pk_get_u(&in)) {
	case PROTO_LEADER:
		gat_on_leader(core, &in);
		break;
	case PROTO_ANSWER:
		gat_on_answer(core->g, &in);
		break;
	default:
		break;
	}
	pk_in_done(&in);
}

/* A control daemon is lost: what waits there is sent to another. */
static void gat_down(void *arg, struct wire_conn *conn, const GError *why)
{
	struct gat_core *core = arg;
	struct gat *g = core->g;
	GHashTableIter it;
	struct gat_call *c;

	core->term = 0;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->core != core)
			continue;
		c->core = NULL;
		c->since_ms = tmr_now(g->tmr);
	}
	gat_choose(g);
}

/* A replica tells who leads; only its word on itself counts. */
static void gat_on_leader(struct gat_core *core, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	struct lstr leader = pk_get_str(in);
	struct pk_in addrs = pk_get_arr(in);

	if (!pk_in_ok(in))
		return;
	core->term = lstr_eq(leader, lstr_from(core->addr)) ? term : 0;
	while (pk_in_left(&addrs)) {
		char *addr = lstr_dup(pk_get_str(&addrs));

		if (pk_in_ok(&addrs) && *addr)
			gat_core_add(core->g, addr);
		g_free(addr);
	}
	gat_choose(core->g);
}

/* The leader is who says so in the highest term. */
static void gat_choose(struct gat *g)
{
	struct gat_core *best = NULL;
	struct gat_core *core;
	struct gat_call *c;
	GHashTableIter it;

	g_hash_table_iter_init(&it, g->cores);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&core))
		if (core->term && wire_is_up(core->conn) &&
		    (!best || core->term > best->term))
			best = core;
	if (best != g->leader)
		msg(MSG_GAT_LEADER, "addr=%s term=%" PRIu64,
		    best ? best->addr : "none", best ? best->term : 0);
	if (g->leader && !best)
		g->leaderless_ms = tmr_now(g->tmr);
	if (!g->leader && best)
		gat_time(&g->leaderless, tmr_now(g->tmr) - g->leaderless_ms);
	g->leader = best;
	if (!best)
		return;
	g_hash_table_iter_init(&it, g->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c)) {
		if (c->core == best)
			continue;
		g->counts[GAT_AGAIN]++;
		gat_send(g, c);
	}
}

/* An answer goes back to its caller. */
static void gat_on_answer(struct gat *g, struct pk_in *in)
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
	gat_time(&g->answers, tmr_now(g->tmr) - c->came_ms);
	srv_reply(c->req, status, h, n, buf);
	evbuffer_free(buf);
	g_hash_table_remove(g->calls, &no);
}

/* A caller's request: sent on, or refused at once. */
static void gat_on_request(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = gat_call_new(g, r);

	g->counts[GAT_REQUESTS]++;
	if (g->leader)
		gat_send(g, c);
	else
		gat_give_up(g, c);
}

/* A caller left: nobody waits for the answer. */
static void gat_on_gone(void *arg, struct srv_req *r)
{
	struct gat *g = arg;
	struct gat_call *c = srv_user(r);

	if (c)
		g_hash_table_remove(g->calls, &c->no);
}

/* Answers whether this daemon takes requests. */
static void gat_on_ready(void *arg, struct srv_req *r)
{
	const struct gat *g = arg;

	srv_reply(r, g->leader && !g->drain_from ? 200 : 503, NULL, 0, NULL);
}

/* Counts how long something took. */
static void gat_time(struct cnt_times *t, int64_t ms)
{
	cnt_time(t, (double)ms / 1000);
}

/* Answers with the metrics. */
static void gat_on_metrics(void *arg, struct srv_req *r)
{
	const struct gat *g = arg;
	const uint64_t now[] = {srv_stats(g->srv).open, g->leader != NULL};
	GString *text = g_string_new(NULL);
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; version=0.0.4"};
	struct evbuffer *body = evbuffer_new();

	cnt_text(text, gat_counters, g->counts, GAT_COUNTS, "");
	cnt_text(text, gat_gauges, now, G_N_ELEMENTS(now), "");
	cnt_times_text(text, "endive_entry_answer_seconds",
		       "Requests, until a leader's answer", &g->answers);
	cnt_times_text(text, "endive_entry_refusal_seconds",
		       "Requests, until they were refused", &g->refusals);
	cnt_times_text(text, "endive_entry_leaderless_seconds",
		       "Times without a leader", &g->leaderless);
	cnt_process(text);
	evbuffer_add(body, text->str, text->len);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
	g_string_free(text, TRUE);
}

/* For answers that are whole before a caller can leave. */
static void gat_no_gone(void *arg, struct srv_req *r)
{
	/* answered at once */
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
static void gat_call_free(gpointer p)
{
	struct gat_call *c = p;

	g_free(c->host);
	g_free(c->path);
	g_free(c->method);
	g_bytes_unref(c->body);
	g_free(c);
}

/* Sends a request to the control daemon that leads, by all we know. */
static void gat_send(struct gat *g, struct gat_call *c)
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
	gat_time(&g->refusals, tmr_now(g->tmr) - c->came_ms);
	msg_job_fails(c->sent ? MSG_GAT_UNKNOWN : MSG_GAT_REFUSED, c->path,
		      "method=%s path=%s why=\"no leader\" held_ms=%" PRId64,
		      c->method, c->path, tmr_now(g->tmr) - c->came_ms);
	srv_reply(c->req, c->sent ? 504 : 503, &after, 1, NULL);
	g_hash_table_remove(g->calls, &c->no);
}

/* What is looked after from time to time. */
static void gat_tick(void *arg, int64_t now)
{
	struct gat *g = arg;

	gat_tick_calls(g, now);
	if (g->drain_from)
		gat_tick_drain(g, now);
}

/* Refuses requests that got no answer in time. */
static void gat_tick_calls(struct gat *g, int64_t now)
{
	GList *all = g_hash_table_get_values(g->calls);
	GList *i;

	for (i = all; i; i = i->next) {
		struct gat_call *c = i->data;
		int64_t held = now - c->since_ms;

		if (!c->core && g->leader && held > GAT_TICK_MS)
			gat_send(g, c);
		else if (held > (c->core ? GAT_ANSWER_MS : GAT_LEADERLESS_MS))
			gat_give_up(g, c);
	}
	g_list_free(all);
}

/* Ends once no request waits any more. */
static void gat_tick_drain(struct gat *g, int64_t now)
{
	int64_t passed = now - g->drain_from;

	if (passed > GAT_LEAVE_MS && !g->closing) {
		g->closing = true;
		srv_stop_accepting(g->srv);
		srv_drain(g->srv);
	}
	if ((g->closing && srv_stats(g->srv).open == 0) ||
	    passed > g->config.grace_ms - GAT_GRACE_REST_MS) {
		msg(MSG_STOP, "node=%s open=%" PRIu64, g->config.node,
		    srv_stats(g->srv).open);
		event_base_loopbreak(g->config.base);
	}
}
