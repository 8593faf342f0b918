#include "gat_int.h"

/* A connection is closed after this time without any message. */
#define GAT_SILENCE_MS 800
/*
 * Time between the failing readiness check and the close of the callers'
 * listener. The load balancer checks once a second and needs two failed checks.
 */
#define GAT_DRAIN_NOTICE_MS 2600
/* Part of the grace period reserved for sending the last answers. */
#define GAT_GRACE_RESERVE_MS 700
#define GAT_CLIENT_TIMEOUT_MS 15000

static bool gat_open_http(struct gat *g, GError **err);
static void gat_on_ready(void *arg, struct srv_req *r);
static void gat_on_metrics(void *arg, struct srv_req *r);
static void gat_append_descriptors(const struct gat *g, GString *out);
static void gat_ignore_disconnect(void *arg, struct srv_req *r);
static void gat_tick(void *arg, int64_t now);
static void gat_drain_tick(struct gat *g, int64_t now);

static const struct srv_ops gat_srv_ops = {
	.request = gat_on_request,
	.disconnected = gat_on_disconnect,
};

static const struct srv_ops gat_ready_ops = {
	.request = gat_on_ready,
	.disconnected = gat_ignore_disconnect,
};

static const struct srv_ops gat_metrics_ops = {
	.request = gat_on_metrics,
	.disconnected = gat_ignore_disconnect,
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
	[GAT_RESENT] = {"endive_entry_again_total", "counter",
			"Requests sent to a second leader"},
	[GAT_RETRY_LATER] = {"endive_entry_turned_away_total", "counter",
			     "Answers of a leader that say when to come again"},
};

static const struct cnt_def gat_gauges[] = {
	{"endive_entry_open", "gauge", "Requests that wait for their answer"},
	{"endive_entry_leader", "gauge", "1 while a leader is known"},
};

/*
 * Starts an entry daemon on config's event loop. What config points to must
 * outlive it. Returns NULL, with err naming the step that failed, if an address
 * cannot be opened.
 */
struct gat *gat_new(const struct gat_config *config, GError **err)
{
	struct gat *g = g_new0(struct gat, 1);
	char **p;

	g->config = *config;
	g->next_id = 1;
	g->tmr = tmr_new(config->base);
	g->memory = mbd_new(mbd_limit((uint64_t)config->memory));
	g->leaderless_since_ms = tmr_now(g->tmr);
	g->replicas = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    gat_replica_free);
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
		gat_replica_add(g, *p);
	g->tick = tmr_every(g->tmr, GAT_TICK_MS, gat_tick, g);
	msg(MSG_START, "node=%s zone=%s callers=%s", config->node, config->zone,
	    config->callers);
	return g;
}

/* Frees the daemon at once; connections of waiting callers are closed. */
void gat_free(struct gat *g)
{
	if (!g)
		return;
	tmr_cancel(g->tmr, g->tick);
	srv_free(g->srv);
	srv_free(g->ready);
	srv_free(g->metrics);
	wire_free(g->wire);
	mbd_free(g->memory);
	g_hash_table_destroy(g->calls);
	g_hash_table_destroy(g->replicas);
	tmr_free(g->tmr);
	g_free(g);
}

/*
 * Begins a planned stop: readiness checks fail first, requests that are open
 * are answered, and the event loop ends once no request is left.
 */
void gat_drain(struct gat *g)
{
	if (g->drain_since_ms)
		return;
	g->drain_since_ms = tmr_now(g->tmr);
	msg(MSG_GAT_DRAIN, "node=%s open=%" PRIu64 " calls=%u", g->config.node,
	    srv_stats(g->srv).open, g_hash_table_size(g->calls));
}

/* Adds the replicas of changed settings to those that are contacted. */
void gat_add_seeds(struct gat *g, char **seeds)
{
	char **p;

	for (p = seeds; *p; p++)
		gat_replica_add(g, *p);
}

/* Opens the listeners for callers, readiness checks and metrics. */
static bool gat_open_http(struct gat *g, GError **err)
{
	struct srv_config c = {
		.base = g->config.base,
		.tmr = g->tmr,
		.addr = g->config.callers,
		.max_body = (uint64_t)g->config.body_max,
		.memory = g->memory,
		.io_timeout_ms = GAT_CLIENT_TIMEOUT_MS,
		.max_conns = g->config.descriptors->share[FDB_CALLERS],
	};

	g->srv = srv_new(&c, &gat_srv_ops, g, err);
	if (!g->srv)
		return false;
	/* half each for readiness checks and metrics */
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

/* Answers a readiness check: 200 if this daemon accepts requests, else 503. */
static void gat_on_ready(void *arg, struct srv_req *r)
{
	const struct gat *g = arg;

	srv_reply(r, g->leader && !g->drain_since_ms ? 200 : 503, NULL, 0,
		  NULL);
}

/* Answers a request for the metrics. */
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
	gat_append_descriptors(g, text);
	mbd_append_metrics(g->memory, text);
	cnt_process(text);
	evbuffer_add(body, text->str, text->len);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
	g_string_free(text, TRUE);
}

/* Appends, for each kind of connection, descriptors in use and their limit. */
static void gat_append_descriptors(const struct gat *g, GString *out)
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

	fdb_append_metrics(g->config.descriptors, use, out);
}

/* Ignores a disconnect: these requests are answered before one can happen. */
static void gat_ignore_disconnect(void *arg, struct srv_req *r)
{
	/* nothing is kept for the request */
}

/* Runs the periodic checks: call timeouts and the progress of a drain. */
static void gat_tick(void *arg, int64_t now)
{
	struct gat *g = arg;

	gat_calls_tick(g, now);
	if (g->drain_since_ms)
		gat_drain_tick(g, now);
}

/*
 * Closes the callers' listener once the load balancer has been notified, and
 * ends the event loop once no connection is open or the grace period ends.
 */
static void gat_drain_tick(struct gat *g, int64_t now)
{
	int64_t elapsed_ms = now - g->drain_since_ms;

	if (elapsed_ms > GAT_DRAIN_NOTICE_MS && !g->closing) {
		g->closing = true;
		srv_stop_accepting(g->srv);
		srv_drain(g->srv);
	}
	if ((g->closing && srv_stats(g->srv).open == 0) ||
	    elapsed_ms > g->config.grace_ms - GAT_GRACE_RESERVE_MS) {
		msg(MSG_STOP, "node=%s open=%" PRIu64, g->config.node,
		    srv_stats(g->srv).open);
		event_base_loopbreak(g->config.base);
	}
}
