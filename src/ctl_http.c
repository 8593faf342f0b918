#include "ctl_int.h"

#include "cnt.h"

#define CTL_HTTP_BODY_MAX 1024
#define CTL_HTTP_SLOW_MS 5000

static void ctl_http_request(void *arg, struct srv_req *r);
static void ctl_http_gone(void *arg, struct srv_req *r);
static void ctl_http_metrics(struct ctl *c, struct srv_req *r);

static const struct srv_ops ctl_http_ops = {
	.request = ctl_http_request,
	.disconnected = ctl_http_gone,
};

static const struct cnt_def ctl_count_defs[CTL_COUNTS] = {
	[CTL_COMMANDS] = {"endive_commands_total", "counter",
			  "Commands answered after commit."},
	[CTL_REFUSED] = {"endive_commands_refused_total", "counter",
			 "Commands not taken."},
	[CTL_UNKNOWN] = {"endive_commands_unknown_total", "counter",
			 "Commands whose outcome was unknown."},
	[CTL_QUERIES] = {"endive_queries_total", "counter", "Queries."},
	[CTL_PUSHES] = {"endive_views_sent_total", "counter",
			"Views sent to entry daemons."},
	[CTL_ELECTIONS] = {"endive_elections_won_total", "counter",
			   "Times this voter became leader."},
	[CTL_SNAPSHOTS] = {"endive_snapshots_total", "counter",
			   "Snapshots written."},
	[CTL_SYNCS] = {"endive_syncs_total", "counter",
		       "Syncs of the data folder."},
};

static const struct cnt_def ctl_gauge_defs[] = {
	{"endive_voter_leads", "gauge", "1 while this voter leads."},
	{"endive_voter_term", "gauge", "Term."},
	{"endive_voter_commit", "gauge", "Last committed entry."},
	{"endive_voter_last", "gauge", "Last entry."},
	{"endive_config_version", "gauge", "Version of the view."},
	{"endive_nodes", "gauge", "Entry daemons known."},
	{"endive_wire_bytes_in", "counter", "Bytes from own processes."},
	{"endive_wire_bytes_out", "counter", "Bytes to own processes."},
	{"endive_wire_refused_total", "counter",
	 "Connections refused for their key or bytes."},
};

/* Starts the HTTP server for the health page and /metrics. */
bool ctl_http_open(struct ctl *c, GError **err)
{
	struct srv_config config = {
		.base = c->config.base,
		.tmr = c->tmr,
		.addr = c->config.http,
		.max_body = CTL_HTTP_BODY_MAX,
		.memory = c->memory,
		.io_timeout_ms = CTL_HTTP_SLOW_MS,
		.max_conns = c->config.descriptors.share[FDB_OPERATORS],
	};

	c->srv = srv_new(&config, &ctl_http_ops, c, err);
	return c->srv != NULL;
}

static void ctl_http_request(void *arg, struct srv_req *r)
{
	struct ctl *c = arg;
	struct srv_req_info info = srv_info(r);

	if (strcmp(info.path, "/metrics") == 0)
		ctl_http_metrics(c, r);
	else if (strcmp(info.path, "/health") != 0)
		srv_reply_text(r, 404, "no such page");
	else if (cns_leader(c->cns))
		srv_reply_text(r, 200, "ok");
	else
		srv_reply_text(r, 503, "no leader");
}

static void ctl_http_gone(void *arg, struct srv_req *r)
{
	/* Every request is answered immediately. */
}

static void ctl_http_metrics(struct ctl *c, struct srv_req *r)
{
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; version=0.0.4"};
	struct wire_stats ws = wire_stats(c->wire);
	uint64_t gauges[] = {
		cns_role(c->cns) == CNS_LEADER,
		cns_term(c->cns),
		cns_commit(c->cns),
		cns_last(c->cns),
		fst_version(c->fst),
		g_hash_table_size(c->nodes),
		ws.bytes_in,
		ws.bytes_out,
		ws.refused,
	};
	GString *out = g_string_new("");
	struct evbuffer *body = evbuffer_new();

	G_STATIC_ASSERT(G_N_ELEMENTS(gauges) == G_N_ELEMENTS(ctl_gauge_defs));
	cnt_text(out, ctl_count_defs, c->counts, CTL_COUNTS, "");
	cnt_text(out, ctl_gauge_defs, gauges, G_N_ELEMENTS(gauges), "");
	mbd_append_metrics(c->memory, out);
	cnt_process(out);
	evbuffer_add(body, out->str, out->len);
	g_string_free(out, TRUE);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
}
