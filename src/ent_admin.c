#include "ent_int.h"

#include "cnt.h"
#include "err.h"

static void ent_admin_request(void *arg, struct srv_req *r);
static void ent_admin_client_left(void *arg, struct srv_req *r);
static void ent_admin_announce(struct ent *e, struct srv_req *r);
static void ent_admin_health(struct ent *e, struct srv_req *r);
static void ent_admin_metrics(struct ent *e, struct srv_req *r);
static void ent_admin_status(struct ent *e, struct srv_req *r);
static void ent_admin_target_line(void *arg, const struct tgt *t);

const struct srv_ops ent_admin_ops = {
	.request = ent_admin_request,
	.disconnected = ent_admin_client_left,
};

static const struct {
	const char *path;
	const char *method;
	void (*fn)(struct ent *e, struct srv_req *r);
} ent_admin_pages[] = {
	{"/announce", "POST", ent_admin_announce},
	{"/health", "GET", ent_admin_health},
	{"/metrics", "GET", ent_admin_metrics},
	{"/status", "GET", ent_admin_status},
};

static const struct cnt_def ent_count_defs[ENT_COUNTS] = {
	[ENT_REQUESTS] = {"endive_requests_total", "counter",
			  "Callers' requests taken."},
	[ENT_RAN] = {"endive_answers_ran_total", "counter",
		     "Requests answered by a target."},
	[ENT_NOT_RUN] = {"endive_answers_not_run_total", "counter",
			 "Requests refused; no target has begun them."},
	[ENT_UNKNOWN] = {"endive_answers_unknown_total", "counter",
			 "Requests whose outcome is unknown."},
	[ENT_TRUNCATED] = {"endive_answers_cut_total", "counter",
			   "Answers in parts that were cut."},
	[ENT_CALLER_LEFT] = {"endive_callers_left_total", "counter",
			     "Callers who left before their answer."},
	[ENT_RETRIES] = {"endive_retries_total", "counter",
			 "Requests sent to another target."},
	[ENT_SHIFTED_OUT] = {"endive_shifted_out_total", "counter",
			     "Requests sent to another zone."},
	[ENT_SHIFTED_IN] = {"endive_shifted_in_total", "counter",
			    "Requests taken from another zone."},
	[ENT_REPLAYED] = {"endive_answers_replayed_total", "counter",
			  "Answers given again for an idempotency key."},
	[ENT_ANNOUNCED] = {"endive_announcements_total", "counter",
			   "Targets' announcements taken."},
	[ENT_ANNOUNCE_REFUSED] = {"endive_announcements_refused_total",
				  "counter", "Targets' announcements refused."},
};

static const struct cnt_def ent_gauge_defs[] = {
	{"endive_targets", "gauge", "Targets known."},
	{"endive_pending", "gauge", "Requests without their answer."},
	{"endive_caller_connections", "gauge", "Callers' connections."},
	{"endive_target_connections", "gauge", "Connections to targets."},
	{"endive_config_version", "gauge", "Version of the view in force."},
	{"endive_config_age_ms", "gauge", "Time since a voter was heard."},
	{"endive_wire_bytes_in", "counter", "Bytes from own processes."},
	{"endive_wire_bytes_out", "counter", "Bytes to own processes."},
	{"endive_wire_refused_total", "counter",
	 "Connections refused for their key or bytes."},
};

static void ent_admin_request(void *arg, struct srv_req *r)
{
	struct srv_req_info info = srv_info(r);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ent_admin_pages); i++) {
		if (strcmp(info.path, ent_admin_pages[i].path) != 0)
			continue;
		if (strcmp(info.method, ent_admin_pages[i].method) != 0)
			srv_reply_text(r, 405, "method not allowed");
		else
			ent_admin_pages[i].fn(arg, r);
		return;
	}
	srv_reply_text(r, 404, "no such page");
}

static void ent_admin_client_left(void *arg, struct srv_req *r)
{
	/* Nothing to do: every page is answered at once. */
}

static void ent_admin_announce(struct ent *e, struct srv_req *r)
{
	struct evbuffer *body = srv_body(r);
	size_t len = evbuffer_get_length(body);
	struct lstr form = lstr_n(evbuffer_pullup(body, -1), len);
	struct tgt_info info;
	GError *err = NULL;
	char *text;

	if (!tgt_parse_form(form, &info, &err) ||
	    !tgt_announce(e->targets, tmr_now(e->tmr), &info, &err)) {
		e->counts[ENT_ANNOUNCE_REFUSED]++;
		srv_reply_text(r, err->code == ERR_CONFLICT ? 409 : 400,
			       err->message);
		g_clear_error(&err);
		tgt_info_clear(&info);
		return;
	}
	e->counts[ENT_ANNOUNCED]++;
	adm_target_set_busy(e->adm, ent_now_us(e),
			    tgt_find(e->targets, info.name)->id, info.busy);
	/*
	 * A daemon that shuts down offers no home, so the target announces
	 * itself to another of its daemons.
	 */
	text = g_strdup_printf("home=%s\ninterval_ms=%d",
			       e->draining ? "" : e->config.admin,
			       TGT_ANNOUNCE_INTERVAL_MS);
	srv_reply_text(r, 200, text);
	g_free(text);
	tgt_info_clear(&info);
	ent_poll_admission(e);
}

/* Health check of the load balancer: fails first when the daemon shuts down. */
static void ent_admin_health(struct ent *e, struct srv_req *r)
{
	if (e->draining)
		srv_reply_text(r, 503, "draining");
	else if (!e->view)
		srv_reply_text(r, 503, "no configuration yet");
	else
		srv_reply_text(r, 200, "ok");
}

static void ent_admin_metrics(struct ent *e, struct srv_req *r)
{
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; version=0.0.4"};
	struct wire_stats ws = wire_stats(e->wire);
	struct srv_stats ss = srv_stats(e->callers);
	uint64_t gauges[] = {
		tgt_count(e->targets),
		e->requests->len,
		ss.open,
		ups_stats(e->ups).open,
		e->view ? e->view->version : 0,
		e->voter_heard ? (uint64_t)(tmr_now(e->tmr) - e->voter_heard)
			       : 0,
		ws.bytes_in,
		ws.bytes_out,
		ws.refused,
	};
	GString *out = g_string_new("");
	struct evbuffer *body = evbuffer_new();

	G_STATIC_ASSERT(G_N_ELEMENTS(gauges) == G_N_ELEMENTS(ent_gauge_defs));
	cnt_text(out, ent_count_defs, e->counts, ENT_COUNTS, "");
	cnt_text(out, ent_gauge_defs, gauges, G_N_ELEMENTS(gauges), "");
	mbd_append_metrics(e->memory, out);
	cnt_process(out);
	evbuffer_add(body, out->str, out->len);
	g_string_free(out, TRUE);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
}

/* Status page for operators and tests: a line for each value and target. */
static void ent_admin_status(struct ent *e, struct srv_req *r)
{
	GString *out = g_string_new("");
	int64_t now = tmr_now(e->tmr);

	g_string_append_printf(
		out,
		"node=%s\nzone=%s\nversion=%" G_GUINT64_FORMAT
		"\nversion_age_ms=%" G_GINT64_FORMAT
		"\nvoter_heard_ms=%" G_GINT64_FORMAT
		"\ndraining=%d\nkey_epoch=%" G_GINT64_MODIFIER
		"x\nkey_keepers=%u\nkey_keeper=%d\nkey_records="
		"%" G_GUINT64_FORMAT,
		e->config.node, e->config.zone, e->view ? e->view->version : 0,
		e->view ? now - e->view_since : -1,
		e->voter_heard ? now - e->voter_heard : -1, e->draining,
		idm_epoch(e->idm), idm_replica_count(e->idm),
		idm_is_replica(e->idm), idm_stats(e->idm).records);
	tgt_foreach(e->targets, ent_admin_target_line, out);
	srv_reply_text(r, 200, out->str);
	g_string_free(out, TRUE);
}

static void ent_admin_target_line(void *arg, const struct tgt *t)
{
	g_string_append_printf(arg, "\ntarget=%s state=%s addr=%s home=%s",
			       t->info.name, tgt_state_name(t->state),
			       t->info.addr, t->home ? t->home : "us");
}
