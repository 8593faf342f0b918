#include "hub_int.h"

#include <inttypes.h>

#include "err.h"
#include "msg.h"
#include "proto.h"

/* How often runs and pools are looked after without a cause. */
#define HUB_TICK_MS 200
/* Longest wait for another replica to take leadership over at a stop. */
#define HUB_DRAIN_MS 1500
/* A sender that pauses for longer within a request is cut. */
#define HUB_SLOW_MS 15000

static char *hub_control_of(const struct hub *h, const char *wire);
static bool hub_open_http(struct hub *h, GError **err);
static void hub_apply(void *arg, uint64_t index, struct lstr cmd);
static bool hub_restore(void *arg, struct lstr snap);
static void hub_snapshot(void *arg, struct pk_out *o);
static void hub_lead(void *arg, bool leading, uint64_t term);
static void hub_read_done(void *arg, uint64_t tag, bool ok);
static void hub_message(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in);
static void hub_wire_gone(void *arg, struct wire_conn *conn);
static void hub_on_request(void *arg, struct srv_req *r);
static void hub_on_gone(void *arg, struct srv_req *r);
static void hub_on_metrics(void *arg, struct srv_req *r);
static void hub_no_gone(void *arg, struct srv_req *r);
static void hub_tick(void *arg, int64_t now);

static const struct rep_ops hub_rep_ops = {
	.apply = hub_apply,
	.restore = hub_restore,
	.snapshot = hub_snapshot,
	.lead = hub_lead,
	.read_done = hub_read_done,
	.message = hub_message,
	.gone = hub_wire_gone,
};

static const struct srv_ops hub_srv_ops = {
	.request = hub_on_request,
	.gone = hub_on_gone,
};

static const struct srv_ops hub_metrics_ops = {
	.request = hub_on_metrics,
	.gone = hub_no_gone,
};

/*
 * Starts a control daemon on config's loop; config's parts must outlive it.
 * NULL with the step that failed.
 */
struct hub *hub_new(const struct hub_config *config, GError **err)
{
	struct hub *h = g_new0(struct hub, 1);

	h->config = *config;
	h->tmr = tmr_new(config->base);
	h->calls = g_hash_table_new(NULL, NULL);
	h->est = est_new();
	h->crs = crs_new(&hub_crs_ops, h);
	h->dirty = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->heard =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	hub_log_init(h);
	h->jtb = jtb_new(&hub_watch, h);
	hub_carry_init(h);
	h->wkr = wkr_new(
		&(struct wkr_config){
			.base = config->base,
			.tmr = h->tmr,
			.codec = config->face->codec,
			.jtb = h->jtb,
			.hold_max_ms = config->hold_max_ms,
			.conns_max = config->descriptors->share[FDB_TARGETS] -
				     VMS_CONNS_MAX - ADV_CONNS_MAX,
			.rly = h->rly,
		},
		&hub_wkr_ops, h);
	h->carry = rly_carry_new(h->tmr, wkr_ups(h->wkr), wire_send);
	h->adv = adv_new(h->jtb);
	h->advice = adv_line_new(
		&(struct adv_config){
			.base = config->base,
			.tmr = h->tmr,
			.codec = config->face->advice_codec,
			.addr = config->advice,
		},
		h->adv, &hub_adv_ops, h);
	hub_vm_init(h);
	h->rep = rep_new(
		&(struct rep_config){
			.base = config->base,
			.tmr = h->tmr,
			.keys = config->keys,
			.node = config->node,
			.zone = config->zone,
			.addr = config->wire,
			.data = config->data,
			.seeds = config->seeds,
			.bootstrap = config->bootstrap,
			.voters_min = config->voters_min,
			.conns_max = config->descriptors->share[FDB_PEERS],
		},
		&hub_rep_ops, h, err);
	if (!h->rep || !hub_open_http(h, err)) {
		hub_free(h);
		return NULL;
	}
	h->tick = tmr_every(h->tmr, HUB_TICK_MS, hub_tick, h);
	msg(MSG_START, "node=%s zone=%s wire=%s control=%s bootstrap=%d",
	    config->node, config->zone, config->wire, config->control,
	    config->bootstrap);
	return h;
}

/* Ends it at once; what it promised is on its disk. */
void hub_free(struct hub *h)
{
	if (!h)
		return;
	tmr_cancel(h->tmr, h->tick);
	tmr_cancel(h->tmr, h->flush_timer);
	tmr_cancel(h->tmr, h->plan_timer);
	srv_free(h->srv);
	srv_free(h->metrics);
	rep_free(h->rep);
	rly_carry_free(h->carry);
	wkr_free(h->wkr);
	hub_carry_free(h);
	hub_vm_free(h);
	adv_line_free(h->advice);
	adv_free(h->adv);
	hub_log_free(h);
	jtb_free(h->jtb);
	g_hash_table_destroy(h->calls);
	est_free(h->est);
	crs_free(h->crs);
	g_hash_table_destroy(h->dirty);
	g_hash_table_destroy(h->heard);
	tmr_free(h->tmr);
	g_free(h);
}

/* Planned stop: hands leadership over, then ends the loop. */
void hub_drain(struct hub *h)
{
	if (h->drain_until)
		return;
	h->drain_until = tmr_now(h->tmr) + HUB_DRAIN_MS;
	rep_hand_over(h->rep);
}

/* Whether the loop ended because the data folder failed. */
bool hub_failed(const struct hub *h)
{
	return rep_failed(h->rep);
}

/* Other seeds, from changed settings. */
void hub_set_seeds(struct hub *h, char **seeds)
{
	rep_set_seeds(h->rep, seeds);
}

/* Another service for advice, from changed settings; NULL: none. */
void hub_set_advice(struct hub *h, const char *addr)
{
	adv_line_set_addr(h->advice, addr);
	if (h->leading)
		hub_plan_all(h);
}

/* Whether we lead and hold all that was accepted before. */
bool hub_leads(const struct hub *h)
{
	return h->leading;
}

/* Where operators and workers reach the leader, to be freed; NULL: not known. */
char *hub_leader_control(const struct hub *h)
{
	char *addr = rep_leader_addr(h->rep);
	char *out = NULL;

	if (addr && strcmp(addr, h->config.wire) != 0)
		out = hub_control_of(h, addr);
	g_free(addr);
	return out;
}

/*
 * Where a worker should report next, to be freed. A leader names another
 * replica, which knows the worker just as well: thousands of reports that say
 * nothing new would else take much of the leader's time.
 */
char *hub_reports_to(const struct hub *h, const char *worker)
{
	guint n = h->others->len;
	char *addr = NULL;

	if (h->leading && n)
		addr = hub_control_of(
			h,
			g_ptr_array_index(h->others, g_str_hash(worker) % n));
	return addr ? addr : g_strdup(h->config.control);
}

/*
 * Where a replica takes calls, by its address for own processes, to be freed;
 * NULL: that is no address. Ports are the same on all VMs.
 */
static char *hub_control_of(const struct hub *h, const char *wire)
{
	const char *colon = strrchr(wire, ':');

	if (!colon)
		return NULL;
	return g_strdup_printf("%.*s%s", (int)(colon - wire), wire,
			       strrchr(h->config.control, ':'));
}

/* The job table. */
const struct jtb *hub_jobs(const struct hub *h)
{
	return h->jtb;
}

/* Opens the control address and that of metrics. */
static bool hub_open_http(struct hub *h, GError **err)
{
	struct srv_config c = {
		.base = h->config.base,
		.tmr = h->tmr,
		.addr = h->config.control,
		.max_body = (uint64_t)h->config.body_max,
		.max_bytes = (uint64_t)h->config.bodies_max,
		.slow_ms = HUB_SLOW_MS,
		.max_conns = h->config.descriptors->share[FDB_CALLERS],
	};

	h->srv = srv_new(&c, &hub_srv_ops, h, err);
	if (!h->srv || !h->config.metrics)
		return h->srv != NULL;
	c.addr = h->config.metrics;
	c.max_conns = h->config.descriptors->share[FDB_OPERATORS];
	h->metrics = srv_new(&c, &hub_metrics_ops, h, err);
	return h->metrics != NULL;
}

/* A command that was agreed on: the table carries it out. */
static void hub_apply(void *arg, uint64_t index, struct lstr cmd)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_APPLY);

	if (!jtb_apply(h->jtb, cmd))
		msg(MSG_HUB_ODD, "what=command index=%" PRIu64, index);
	if (h->leading)
		wkr_on_commit(h->wkr);
	hub_log_applied(h, index);
	cpu_leave(before);
}

/* The table is read from a snapshot. */
static bool hub_restore(void *arg, struct lstr snap)
{
	struct hub *h = arg;

	/* sessions hang on the workers that are about to be replaced */
	wkr_stop_leading(h->wkr);
	return jtb_restore(h->jtb, snap);
}

/* The table is written into a snapshot. */
static void hub_snapshot(void *arg, struct pk_out *o)
{
	struct hub *h = arg;

	jtb_snapshot(h->jtb, o);
}

/* This replica begins or ends to lead. */
static void hub_lead(void *arg, bool leading, uint64_t term)
{
	struct hub *h = arg;

	if (leading) {
		hub_plan_lead(h, term);
	} else {
		hub_plan_rest(h);
		hub_log_drop(h);
	}
}

/* A read may be answered from the table. */
static void hub_read_done(void *arg, uint64_t tag, bool ok)
{
	hub_log_read(arg, tag, ok);
}

/* A call that an entry daemon passes on. */
static void hub_message(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in)
{
	struct hub *h = arg;
	enum cpu_kind before;
	struct hub_call *c;
	struct lstr body;

	if (kind == PROTO_CARRIED) {
		rly_answers(h->rly, wire_addr(conn), in);
		return;
	}
	if (kind == PROTO_CARRY) {
		rly_carry_calls(h->carry, conn, rep_term(h->rep), in);
		return;
	}
	if (kind != PROTO_CALL)
		return;
	before = cpu_enter(CPU_CALLERS);
	c = hub_call_new(h, HUB_CALLERS);
	c->conn = conn;
	c->no = pk_get_u(in);
	c->method = lstr_dup(pk_get_str(in));
	c->host = lstr_dup(pk_get_str(in));
	c->path = lstr_dup(pk_get_str(in));
	body = pk_get_str(in);
	c->body = g_bytes_new(body.p, body.len);
	if (!pk_in_ok(in))
		hub_call_gone(c);
	else if (!h->leading)
		/* the entry daemon learns who leads on the same connection */
		hub_status(h, c, 421);
	else
		h->config.face->call(h, c);
	cpu_leave(before);
}

/* An entry daemon's connection ended, with the calls it waited for. */
static void hub_wire_gone(void *arg, struct wire_conn *conn)
{
	struct hub *h = arg;

	hub_conn_gone(h, conn);
	rly_carry_gone(h->carry, conn);
}

/* A request at the control address. */
static void hub_on_request(void *arg, struct srv_req *r)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_BEATS);
	struct hub_call *c = hub_call_new(h, HUB_CONTROL);
	struct srv_req_info info = srv_info(r);
	struct evbuffer *body = srv_body(r);
	size_t len = evbuffer_get_length(body);

	c->req = r;
	srv_set_user(r, c);
	c->method = g_strdup(info.method);
	c->path = g_strdup(info.path);
	c->body = g_bytes_new(evbuffer_pullup(body, -1), len);
	h->config.face->call(h, c);
	cpu_leave(before);
}

/* Who sent a request at the control address left. */
static void hub_on_gone(void *arg, struct srv_req *r)
{
	struct hub_call *c = srv_user(r);

	if (c)
		hub_call_gone(c);
}

/* Answers with the metrics. */
static void hub_on_metrics(void *arg, struct srv_req *r)
{
	const struct hub *h = arg;
	GString *text = g_string_new(NULL);
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; version=0.0.4"};
	struct evbuffer *body = evbuffer_new();

	hub_tell_metrics(h, text);
	evbuffer_add(body, text->str, text->len);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
	g_string_free(text, TRUE);
}

/* For answers that are whole before anybody can leave. */
static void hub_no_gone(void *arg, struct srv_req *r)
{
	/* metrics are answered at once */
}

/* What is looked after from time to time. */
static void hub_tick(void *arg, int64_t now)
{
	struct hub *h = arg;

	hub_carry_tick(h);
	hub_plan_tick(h, now);
	if (!h->drain_until)
		return;
	if (!h->leading || now >= h->drain_until) {
		msg(MSG_STOP, "node=%s", h->config.node);
		event_base_loopbreak(h->config.base);
	} else {
		rep_hand_over(h->rep);
	}
}
