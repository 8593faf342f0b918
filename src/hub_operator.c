#include "hub_int.h"

#include <math.h>

#include "msg.h"
#include "ovr.h"
#include "proto.h"
#include "qtb.h"

/*
 * Orders and queries of operators, who reach any replica over the connections
 * of own processes. Orders go through the log; the leader alone answers
 * queries, once a majority has confirmed it, but for the one on voters, which
 * is asked when there is no leader.
 */

static void hub_on_order(struct hub *h, struct wire_conn *conn,
			 struct pk_in *in);
static void hub_on_query(struct hub *h, struct wire_conn *conn,
			 struct pk_in *in);
static struct hub_call *hub_operator_call(struct hub *h, struct wire_conn *conn,
					  uint64_t request);
static bool hub_order_refused(struct hub *h, const struct wire_conn *conn,
			      const struct fcm_cmd *cmd,
			      struct fcm_result *out);
static void hub_order_stored(struct hub *h, struct hub_call *c);
static void hub_query_confirmed(struct hub *h, struct hub_call *c);
static void hub_query_pools(const struct hub *h, struct pk_out *result);
static void hub_query_orgs(const struct hub *h, struct pk_out *result);
static void hub_query_voters(const struct hub *h, struct pk_out *result);
static void hub_send_result(struct hub *h, struct wire_conn *conn,
			    uint64_t request, enum proto_result code,
			    struct lstr bytes);
static void hub_send_fcm_result(struct hub *h, struct wire_conn *conn,
				uint64_t request, const struct fcm_result *r);

/*
 * Handles a message of an operator's client; returns false if it is of another
 * kind.
 */
bool hub_operator_message(struct hub *h, struct wire_conn *conn, uint64_t kind,
			  struct pk_in *in)
{
	if (kind == PROTO_SUBMIT)
		hub_on_order(h, conn, in);
	else if (kind == PROTO_QUERY)
		hub_on_query(h, conn, in);
	else
		return false;
	return true;
}

/* Puts an order into the log, unless the leader knows that it is invalid. */
static void hub_on_order(struct hub *h, struct wire_conn *conn,
			 struct pk_in *in)
{
	uint64_t request = pk_get_u(in);
	struct lstr bytes = pk_get_str(in);
	struct fcm_result result = {.code = PROTO_REFUSED};
	struct ovr_order order = {
		.time_ms = hub_wall_ms(),
		.who = lstr_from(wire_key_name(conn)),
		.role = wire_role(conn),
		.cmd = bytes,
	};
	struct fcm_cmd cmd;
	struct pk_in body = {0};
	struct hub_call *c;

	if (!pk_in_ok(in))
		return;
	if (!h->leading) {
		hub_send_result(h, conn, request, PROTO_NOT_LEADER, LSTR(""));
		return;
	}
	if (!fcm_decode(&cmd, &body, bytes)) {
		result.text = g_strdup("the order is malformed");
		hub_send_fcm_result(h, conn, request, &result);
		fcm_result_clear(&result);
		pk_in_done(&body);
		return;
	}
	if (cmd.kind == FCM_FLOOR && h->config.vms && !vms_listed_ms(h->vms)) {
		/* a new leader knows no VM yet; the client asks again */
		hub_send_result(h, conn, request, PROTO_NO_QUORUM, LSTR(""));
	} else if (ovr_result(jtb_overrides(h->jtb), order.who, cmd.id,
			      &result) ||
		   hub_order_refused(h, conn, &cmd, &result)) {
		hub_send_fcm_result(h, conn, request, &result);
		fcm_result_clear(&result);
	} else {
		c = hub_operator_call(h, conn, request);
		c->path = lstr_dup(cmd.id);
		jtb_put_override(hub_append_command(h), &order);
		hub_commit(h, c, hub_order_stored);
	}
	pk_in_done(&body);
}

/*
 * Whether an order is refused before the log: of another kind or by a role that
 * may not give it, which would fill log and trail; or a floor above the VMs that
 * there are, of which only the leader's list tells.
 */
static bool hub_order_refused(struct hub *h, const struct wire_conn *conn,
			      const struct fcm_cmd *cmd, struct fcm_result *out)
{
	guint vms = vms_all(h->vms)->len;

	if (!ovr_takes(cmd->kind))
		out->text = g_strdup_printf(
			"%s is no order to a fleet that runs jobs",
			fcm_defs[cmd->kind].name);
	else if (wire_role(conn) < fcm_defs[cmd->kind].role) {
		out->code = PROTO_FORBIDDEN;
		out->text = g_strdup_printf("role %s may not order a %s",
					    key_role_name(wire_role(conn)),
					    fcm_defs[cmd->kind].name);
	} else if (cmd->kind == FCM_FLOOR && cmd->override.value > (int64_t)vms)
		out->text =
			g_strdup_printf("floor of pool \"" LSTR_FMT
					"\": %lld VMs, and there are %u",
					LSTR_ARG(cmd->override.name),
					(long long)cmd->override.value, vms);
	else
		return false;
	msg(MSG_HUB_OVERRIDE, "who=%s outcome=refused text=\"%s\"",
	    wire_key_name(conn), out->text);
	return true;
}

/* An order is stored: answers with its result. */
static void hub_order_stored(struct hub *h, struct hub_call *c)
{
	const struct ovr *o = jtb_overrides(h->jtb);
	struct fcm_result r = {.code = PROTO_OUTCOME_UNKNOWN};
	struct lstr who = lstr_from(wire_key_name(c->conn));

	if (!ovr_result(o, who, lstr_from(c->path), &r))
		r.text = g_strdup("the result is no longer kept");
	msg(MSG_HUB_OVERRIDE, "who=%s outcome=%s text=\"%s\"",
	    wire_key_name(c->conn), fcm_outcome_name(r.code), r.text);
	hub_send_fcm_result(h, c->conn, c->no, &r);
	fcm_result_clear(&r);
	hub_call_disconnect(c);
	hub_operator_tick(h);
	hub_mark_all_pools(h);
}

/* Answers a query, or waits until a majority has confirmed the leader. */
static void hub_on_query(struct hub *h, struct wire_conn *conn,
			 struct pk_in *in)
{
	uint64_t request = pk_get_u(in);
	struct lstr name = pk_get_str(in);
	struct lstr arg = pk_get_str(in);
	struct hub_call *c;
	struct pk_out o;

	if (!pk_in_ok(in))
		return;
	if (lstr_eq(name, LSTR("voters"))) {
		pk_out_init(&o);
		hub_query_voters(h, &o);
		hub_send_result(h, conn, request, PROTO_OK, pk_out_view(&o));
		pk_out_done(&o);
		return;
	}
	if (!h->leading) {
		hub_send_result(h, conn, request, PROTO_NOT_LEADER, LSTR(""));
		return;
	}
	c = hub_operator_call(h, conn, request);
	c->method = lstr_dup(name);
	c->path = lstr_dup(arg);
	hub_read(h, c, hub_query_confirmed);
}

/* Answers a query by what this leader has. */
static void hub_query_confirmed(struct hub *h, struct hub_call *c)
{
	struct lstr name = lstr_from(c->method);
	enum proto_result code = PROTO_OK;
	struct pk_out o;

	pk_out_init(&o);
	if (lstr_eq(name, LSTR("pools")))
		hub_query_pools(h, &o);
	else if (lstr_eq(name, LSTR("organisations")))
		hub_query_orgs(h, &o);
	else if (!ovr_query(jtb_overrides(h->jtb), name, lstr_from(c->path),
			    hub_wall_ms(), &o)) {
		code = PROTO_REFUSED;
		qtb_fail(&o, code, "a fleet that runs jobs has no such table");
	}
	hub_send_result(h, c->conn, c->no, code, pk_out_view(&o));
	pk_out_done(&o);
	hub_call_disconnect(c);
}

/* Lists the pools: what each needs, has, is given, and the operator's floor. */
static void hub_query_pools(const struct hub *h, struct pk_out *result)
{
	static const char *const cols[] = {"pool",  "jobs",  "load",   "used",
					   "cores", "vms",   "coming", "going",
					   "given", "floor", "left_ms"};
	const struct ovr *o = jtb_overrides(h->jtb);
	GPtrArray *pools = flo_pools(h->flo);
	int64_t now = hub_wall_ms();
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(pools, i);
		int64_t until = ovr_floor_until_ms(o, p->name, now);
		struct pk_out *row = qtb_row(&t);

		pk_cstr(row, p->name);
		pk_u(row, p->jobs);
		pk_i(row, (int64_t)p->load);
		pk_i(row, (int64_t)p->used);
		pk_i(row, (int64_t)p->cores);
		pk_u(row, p->vms);
		pk_u(row, p->coming);
		pk_u(row, p->going);
		pk_i(row, (int64_t)p->entitled);
		pk_u(row, ovr_floor(o, p->name, now));
		pk_i(row, until ? until - now : 0);
	}
	qtb_finish(&t, result);
}

/* Lists the organisations: weight, what runs, waits and was refused. */
static void hub_query_orgs(const struct hub *h, struct pk_out *result)
{
	static const char *const cols[] = {"organisation", "weight_milli",
					   "ordered",	   "cores",
					   "runs",	   "waiting",
					   "at_limit",	   "refused"};
	GPtrArray *list = quo_list(jtb_usage(h->jtb));
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < list->len; i++) {
		const struct quo_use *u = g_ptr_array_index(list, i);
		struct pk_out *row = qtb_row(&t);

		pk_cstr(row, u->name);
		pk_i(row, llround(quo_weight(u) * FCM_WEIGHT_UNIT));
		pk_bool(row, u->weight_override > 0);
		pk_i(row, (int64_t)u->running.cpu / 1000);
		pk_u(row, u->runs);
		pk_u(row, u->waiting);
		pk_u(row, u->at_limit);
		pk_u(row, u->refused);
	}
	qtb_finish(&t, result);
}

/* Lists the members of the quorum as this replica knows them. */
static void hub_query_voters(const struct hub *h, struct pk_out *result)
{
	static const char *const cols[] = {"address", "voter", "leads", "self"};
	const struct cns_members *s = rep_members(h->rep);
	char *leader = rep_leader_addr(h->rep);
	struct qtb t;
	int i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < s->n; i++) {
		struct pk_out *row = qtb_row(&t);

		pk_cstr(row, s->m[i].addr);
		pk_bool(row, s->m[i].voter);
		pk_bool(row, leader && strcmp(leader, s->m[i].addr) == 0);
		pk_bool(row, strcmp(h->config.wire, s->m[i].addr) == 0);
	}
	qtb_finish(&t, result);
	g_free(leader);
}

/* Puts the weights that operators ordered into the accounts. */
void hub_operator_tick(struct hub *h)
{
	const struct ovr *o = jtb_overrides(h->jtb);
	GPtrArray *list = quo_list(jtb_usage(h->jtb));
	int64_t now = hub_wall_ms();
	guint i;

	for (i = 0; i < list->len; i++) {
		struct quo_use *u = g_ptr_array_index(list, i);

		u->weight_override = ovr_weight(o, u->name, now);
	}
}

/*
 * Returns a call of an operator's client. If leadership is lost, the client
 * gets no answer and sends the same order again, which takes effect once.
 */
static struct hub_call *hub_operator_call(struct hub *h, struct wire_conn *conn,
					  uint64_t request)
{
	struct hub_call *c = hub_call_new(h, HUB_FROM_OPERATOR);

	c->conn = conn;
	c->no = request;
	return c;
}

/* Sends the result of an order. */
static void hub_send_fcm_result(struct hub *h, struct wire_conn *conn,
				uint64_t request, const struct fcm_result *r)
{
	struct pk_out o;

	pk_out_init(&o);
	fcm_result_pack(r, &o);
	hub_send_result(h, conn, request, r->code, pk_out_view(&o));
	pk_out_done(&o);
}

/* Sends an answer with the address of the leader, if one is known. */
static void hub_send_result(struct hub *h, struct wire_conn *conn,
			    uint64_t request, enum proto_result code,
			    struct lstr bytes)
{
	char *leader = rep_leader_hint(h->rep);
	struct pk_out o;

	if (code == PROTO_NOT_LEADER && !leader)
		code = PROTO_NO_QUORUM;
	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, PROTO_RESULT);
	pk_u(&o, request);
	pk_u(&o, code);
	pk_str(&o, bytes);
	pk_cstr(&o, leader ? leader : "");
	wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
	g_free(leader);
}
