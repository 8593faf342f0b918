#include "gat_int.h"

/* Nothing heard on a connection for so long: it has gone silent. */
#define GAT_SILENCE_MS 800
/* A planned stop: the balancer looks once a second and wants two misses. */
#define GAT_LEAVE_MS 2600
/* Kept of the grace so that the last answers are out before the end. */
#define GAT_GRACE_REST_MS 700
#define GAT_SLOW_MS 15000

static bool gat_open_http(struct gat *g, GError **err);
static void gat_on_ready(void *arg, struct srv_req *r);
static void gat_on_metrics(void *arg, struct srv_req *r);
static void gat_tell_descriptors(const struct gat *g, GString *out);
static void gat_no_gone(void *arg, struct srv_req *r);
static void gat_tick(void *arg, int64_t now);
static void gat_tick_drain(struct gat *g, int64_t now);

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
		.conns_max = config->descriptors->share[FDB_PEERS],
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
		.max_bytes = (uint64_t)g->config.bodies_max,
		.slow_ms = GAT_SLOW_MS,
		.max_conns = g->config.descriptors->share[FDB_CALLERS],
	};

	g->srv = srv_new(&c, &gat_srv_ops, g, err);
	if (!g->srv)
		return false;
	/* the balancer and whoever reads metrics, half each */
	c.max_conns = g->config.descriptors->share[FDB_OPERATORS] / 2;
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

/* Answers whether this daemon takes requests. */
static void gat_on_ready(void *arg, struct srv_req *r)
{
	const struct gat *g = arg;

	srv_reply(r, g->leader && !g->drain_from ? 200 : 503, NULL, 0, NULL);
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
	gat_tell_descriptors(g, text);
	cnt_process(text);
	evbuffer_add(body, text->str, text->len);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
	g_string_free(text, TRUE);
}

/* Appends how many descriptors each part has in use, and may have. */
static void gat_tell_descriptors(const struct gat *g, GString *out)
{
	struct srv_stats callers = srv_stats(g->srv);
	struct srv_stats metrics = srv_stats(g->metrics);
	struct srv_stats ready =
		g->ready ? srv_stats(g->ready) : (struct srv_stats){0};
	struct wire_stats peers = wire_stats(g->wire);
	const struct fdb_use use[FDB_PARTS] = {
		[FDB_PEERS] = {peers.open, peers.crowded},
		[FDB_OPERATORS] = {metrics.open + ready.open,
				   metrics.crowded + ready.crowded},
		[FDB_CALLERS] = {callers.open, callers.crowded},
	};

	fdb_text(g->config.descriptors, use, out);
}

/* For answers that are whole before a caller can leave. */
static void gat_no_gone(void *arg, struct srv_req *r)
{
	/* answered at once */
}

/* What is looked after from time to time. */
static void gat_tick(void *arg, int64_t now)
{
	struct gat *g = arg;

	gat_calls_tick(g, now);
	if (g->drain_from)
		gat_tick_drain(g, now);
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
