#include "hub_int.h"

#include <inttypes.h>

#include "err.h"
#include "msg.h"
#include "proto.h"

/* Interval of the periodic checks of runs and pools, ms. */
#define HUB_TICK_MS 200
/*
 * Longest wait at a planned stop until another replica takes over leadership.
 */
#define HUB_DRAIN_TIMEOUT_MS 1500
/* A client that pauses for longer within a request is disconnected. */
#define HUB_STALL_TIMEOUT_MS 15000

static char *hub_control_addr(const struct hub *h, const char *wire);
static bool hub_open_http(struct hub *h, GError **err);
static void hub_apply(void *arg, uint64_t index, struct lstr cmd);
static bool hub_restore(void *arg, struct lstr snap);
static void hub_snapshot(void *arg, struct pk_out *o);
static void hub_on_lead(void *arg, bool leading, uint64_t term);
static void hub_read_done(void *arg, uint64_t tag, bool ok);
static void hub_message(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in);
static void hub_on_wire_closed(void *arg, struct wire_conn *conn);
static void hub_on_request(void *arg, struct srv_req *r);
static void hub_on_disconnect(void *arg, struct srv_req *r);
static void hub_on_metrics(void *arg, struct srv_req *r);
static void hub_on_metrics_disconnect(void *arg, struct srv_req *r);
static void hub_tick(void *arg, int64_t now);

static const struct rep_ops hub_rep_ops = {
	.apply = hub_apply,
	.restore = hub_restore,
	.snapshot = hub_snapshot,
	.leadership_changed = hub_on_lead,
	.read_done = hub_read_done,
	.message = hub_message,
	.closed = hub_on_wire_closed,
};

static const struct srv_ops hub_srv_ops = {
	.request = hub_on_request,
	.disconnected = hub_on_disconnect,
};

static const struct srv_ops hub_metrics_ops = {
	.request = hub_on_metrics,
	.disconnected = hub_on_metrics_disconnect,
};

/*
 * Starts a control daemon on the event loop of config, whose parts must outlive
 * the daemon. Returns NULL and sets err if a step failed.
 */
struct hub *hub_new(const struct hub_config *config, GError **err)
{
	struct hub *h = g_new0(struct hub, 1);

	h->config = *config;
	h->tmr = tmr_new(config->base);
	h->memory = mbd_new(mbd_limit((uint64_t)config->memory));
	h->calls = g_hash_table_new(NULL, NULL);
	h->est = est_new();
	h->crs = crs_new(&hub_crs_ops, h);
	h->shares = shr_new(config->shares);
	h->itk = itk_new(config->intake, itk_bounds((uint64_t)config->memory));
	h->prm = prm_new();
	h->dirty_pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	h->report_seqs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	hub_log_init(h);
	h->jtb = jtb_new(&hub_watch, h);
	hub_relay_init(h);
	h->wkr = wkr_new(
		&(struct wkr_config){
			.base = config->base,
			.tmr = h->tmr,
			.codec = config->protocol->codec,
			.jtb = h->jtb,
			.hold_max_ms = config->hold_max_ms,
			.conns_max = config->descriptors->share[FDB_TARGETS] -
				     VMS_CONNS_MAX - ADV_CONNS_MAX,
			.rly = h->rly,
		},
		&hub_wkr_ops, h);
	h->relay_server = rly_relay_new(h->tmr, wkr_ups(h->wkr), wire_send);
	h->adv = adv_new(h->jtb);
	h->advice = adv_line_new(
		&(struct adv_config){
			.base = config->base,
			.tmr = h->tmr,
			.codec = config->protocol->advice_codec,
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
			.voters = config->voters,
			.voters_min = config->voters_min,
			.conns_max = config->descriptors->share[FDB_PEERS],
			.memory = h->memory,
		},
		&hub_rep_ops, h, err);
	if (!h->rep || !hub_open_http(h, err)) {
		hub_free(h);
		return NULL;
	}
	h->tick_timer = tmr_every(h->tmr, HUB_TICK_MS, hub_tick, h);
	msg(MSG_START, "node=%s zone=%s wire=%s control=%s bootstrap=%d",
	    config->node, config->zone, config->wire, config->control,
	    config->bootstrap);
	return h;
}

/* Stops the daemon at once; all that it acknowledged is on its disk. */
void hub_free(struct hub *h)
{
	if (!h)
		return;
	tmr_cancel(h->tmr, h->tick_timer);
	tmr_cancel(h->tmr, h->flush_timer);
	tmr_cancel(h->tmr, h->plan_timer);
	srv_free(h->srv);
	srv_free(h->metrics);
	rep_free(h->rep);
	mbd_free(h->memory);
	rly_relay_free(h->relay_server);
	wkr_free(h->wkr);
	hub_relay_free(h);
	hub_vm_free(h);
	adv_line_free(h->advice);
	adv_free(h->adv);
	hub_log_free(h);
	jtb_free(h->jtb);
	g_hash_table_destroy(h->calls);
	est_free(h->est);
	crs_free(h->crs);
	shr_free(h->shares);
	itk_free(h->itk);
	prm_free(h->prm);
	g_hash_table_destroy(h->dirty_pools);
	g_hash_table_destroy(h->report_seqs);
	tmr_free(h->tmr);
	g_free(h);
}

/* Begins a planned stop: hands over leadership, then ends the event loop. */
void hub_drain(struct hub *h)
{
	if (h->drain_until_ms)
		return;
	h->drain_until_ms = tmr_now(h->tmr) + HUB_DRAIN_TIMEOUT_MS;
	rep_transfer_leadership(h->rep);
}

/* Whether the event loop ended because the data folder failed. */
bool hub_failed(const struct hub *h)
{
	return rep_failed(h->rep);
}

/* Sets the seeds, after the settings have changed. */
void hub_set_seeds(struct hub *h, char **seeds)
{
	rep_set_seeds(h->rep, seeds);
}

/*
 * Sets the address of the advice service, after the settings have changed;
 * NULL: no service.
 */
void hub_set_advice(struct hub *h, const char *addr)
{
	adv_line_set_addr(h->advice, addr);
	if (h->leading)
		hub_mark_all_pools(h);
}

/* Whether this replica leads and has applied all entries accepted before. */
bool hub_leads(const struct hub *h)
{
	return h->leading;
}

/*
 * Returns the control address of the leader, as far as is known, to be freed by
 * the caller; NULL: not known, or this replica.
 */
char *hub_leader_control(const struct hub *h)
{
	char *addr = rep_leader_hint(h->rep);
	char *out = NULL;

	if (addr && strcmp(addr, h->config.wire) != 0)
		out = hub_control_addr(h, addr);
	g_free(addr);
	return out;
}

/*
 * Returns the address for a worker's next report, to be freed by the caller.
 * The leader names another replica, whose table has the worker as well:
 * thousands of reports without changes would otherwise take much of the
 * leader's time.
 */
char *hub_report_addr(const struct hub *h, const char *worker)
{
	guint n = h->peers->len;
	char *addr = NULL;

	if (h->leading && n)
		addr = hub_control_addr(
			h, g_ptr_array_index(h->peers, g_str_hash(worker) % n));
	return addr ? addr : g_strdup(h->config.control);
}

/*
 * Returns a replica's control address, to be freed by the caller, from its
 * address for own processes; NULL: not an address. Ports are the same on all
 * VMs.
 */
static char *hub_control_addr(const struct hub *h, const char *wire)
{
	const char *colon = strrchr(wire, ':');

	if (!colon)
		return NULL;
	return g_strdup_printf("%.*s%s", (int)(colon - wire), wire,
			       strrchr(h->config.control, ':'));
}

/* Returns the job table. */
const struct jtb *hub_jobs(const struct hub *h)
{
	return h->jtb;
}

/* Opens the control address and, if configured, the metrics address. */
static bool hub_open_http(struct hub *h, GError **err)
{
	struct srv_config c = {
		.base = h->config.base,
		.tmr = h->tmr,
		.addr = h->config.control,
		.max_body = (uint64_t)h->config.body_max,
		.memory = h->memory,
		.io_timeout_ms = HUB_STALL_TIMEOUT_MS,
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

/* Applies a committed command to the table. */
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

/* Loads the table from a snapshot. */
static bool hub_restore(void *arg, struct lstr snap)
{
	struct hub *h = arg;

	/* Sessions point to the workers that the snapshot replaces. */
	wkr_stop_leading(h->wkr);
	return jtb_restore(h->jtb, snap);
}

/* Writes the table into a snapshot. */
static void hub_snapshot(void *arg, struct pk_out *o)
{
	struct hub *h = arg;

	jtb_snapshot(h->jtb, o);
}

/* This replica became leader, or lost leadership. */
static void hub_on_lead(void *arg, bool leading, uint64_t term)
{
	struct hub *h = arg;

	if (leading) {
		hub_plan_lead(h, term);
	} else {
		hub_plan_step_down(h);
		hub_log_abort(h);
	}
}

/* A read may be answered from the table, or leadership was lost. */
static void hub_read_done(void *arg, uint64_t tag, bool ok)
{
	hub_log_read_done(arg, tag, ok);
}

/*
 * Handles a message: a call relayed by an entry daemon, or a relayed call to a
 * worker.
 */
static void hub_message(void *arg, struct wire_conn *conn, uint64_t kind,
			struct pk_in *in)
{
	struct hub *h = arg;
	enum cpu_kind before;
	struct hub_call *c;
	struct lstr body;

	if (kind == PROTO_CARRIED) {
		rly_on_answers(h->rly, wire_addr(conn), in);
		return;
	}
	if (kind == PROTO_CARRY) {
		rly_relay_on_calls(h->relay_server, conn, rep_term(h->rep), in);
		return;
	}
	if (kind != PROTO_CALL) {
		hub_operator_message(h, conn, kind, in);
		return;
	}
	before = cpu_enter(CPU_CALLERS);
	c = hub_call_new(h, HUB_FROM_ENTRY);
	c->conn = conn;
	c->no = pk_get_u(in);
	c->method = lstr_dup(pk_get_str(in));
	c->host = lstr_dup(pk_get_str(in));
	c->path = lstr_dup(pk_get_str(in));
	body = pk_get_str(in);
	c->body = g_bytes_new(body.p, body.len);
	/* entry daemons of versions without keys end here */
	if (pk_in_left(in))
		c->credentials = lstr_dup(pk_get_str(in));
	if (!pk_in_ok(in))
		hub_call_disconnect(c);
	else if (!h->leading)
		/* The entry daemon learns on the same connection who leads. */
		hub_answer_status(h, c, 421);
	else if (!hub_call_fits(c))
		hub_answer_later(h, c);
	else
		h->config.protocol->call(h, c);
	cpu_leave(before);
}

/*
 * A connection of an own process was closed: ends the calls that it waited for.
 */
static void hub_on_wire_closed(void *arg, struct wire_conn *conn)
{
	struct hub *h = arg;

	hub_conn_closed(h, conn);
	rly_relay_on_disconnect(h->relay_server, conn);
}

/* Handles a request at the control address. */
static void hub_on_request(void *arg, struct srv_req *r)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_BEATS);
	struct hub_call *c = hub_call_new(h, HUB_FROM_CONTROL);
	struct srv_req_info info = srv_info(r);

	c->req = r;
	srv_set_user(r, c);
	c->method = g_strdup(info.method);
	c->path = g_strdup(info.path);
	c->body = srv_take_body(r);
	h->config.protocol->call(h, c);
	cpu_leave(before);
}

/* The client of a request at the control address disconnected. */
static void hub_on_disconnect(void *arg, struct srv_req *r)
{
	struct hub_call *c = srv_user(r);

	if (c)
		hub_call_disconnect(c);
}

/* Answers with the metrics. */
static void hub_on_metrics(void *arg, struct srv_req *r)
{
	const struct hub *h = arg;
	GString *text = g_string_new(NULL);
	struct ups_header type = {(char *)"Content-Type",
				  (char *)"text/plain; version=0.0.4"};
	struct evbuffer *body = evbuffer_new();

	hub_write_metrics(h, text);
	evbuffer_add(body, text->str, text->len);
	srv_reply(r, 200, &type, 1, body);
	evbuffer_free(body);
	g_string_free(text, TRUE);
}

/* Required by srv_ops; metrics are answered before a client can disconnect. */
static void hub_on_metrics_disconnect(void *arg, struct srv_req *r)
{
	/* nothing to release */
}

/* Periodic work of every replica. */
static void hub_tick(void *arg, int64_t now)
{
	struct hub *h = arg;

	hub_relay_tick(h);
	hub_plan_tick(h, now);
	if (!h->drain_until_ms)
		return;
	if (!h->leading || now >= h->drain_until_ms) {
		msg(MSG_STOP, "node=%s", h->config.node);
		event_base_loopbreak(h->config.base);
	} else {
		rep_transfer_leadership(h->rep);
	}
}
