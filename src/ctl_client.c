#include "ctl_int.h"

#include <time.h>

#include "fcm.h"
#include "msg.h"
#include "qtb.h"

static int64_t ctl_clock_ms(void);
static void ctl_send_result(struct ctl *c, struct wire_conn *conn,
			    uint64_t request, enum proto_result code,
			    struct lstr bytes);
static enum proto_result ctl_refusal_code(const struct ctl *c);
static void ctl_request_add(GHashTable *table, uint64_t key,
			    struct ctl_request *req);

/* Proposes a command; the leader adds time and sender to its log entry. */
enum cns_refusal ctl_propose(struct ctl *c, struct lstr sender,
			     enum key_role role, struct lstr cmd,
			     uint64_t *index)
{
	enum cns_refusal r;
	struct pk_out o;

	if (vot_is_full(c->vot))
		return CNS_NOT_LEADER;
	pk_out_init(&o);
	fst_entry_pack(&o, ctl_clock_ms(), sender, role, cmd);
	r = cns_propose(c->cns, pk_out_view(&o), index);
	pk_out_done(&o);
	ctl_schedule_pump(c);
	return r;
}

/*
 * Handles a client's command, which is answered once it is committed and
 * applied.
 */
void ctl_on_submit(struct ctl *c, struct wire_conn *conn, struct pk_in *in)
{
	uint64_t request = pk_get_u(in);
	struct lstr cmd = pk_get_str(in);
	struct ctl_request *req;
	uint64_t index = 0;

	if (!pk_in_ok(in))
		return;
	if (wire_role(conn) < KEY_OPERATE) {
		c->counts[CTL_REFUSED]++;
		ctl_send_result(c, conn, request, PROTO_FORBIDDEN, LSTR(""));
		return;
	}
	if (ctl_propose(c, lstr_from(wire_key_name(conn)), wire_role(conn), cmd,
			&index) != CNS_OK) {
		c->counts[CTL_REFUSED]++;
		ctl_send_result(c, conn, request, ctl_refusal_code(c),
				LSTR(""));
		return;
	}
	req = g_new0(struct ctl_request, 1);
	req->conn = conn;
	req->request = request;
	req->term = cns_term(c->cns);
	ctl_request_add(c->commands, index, req);
}

/*
 * Handles a client's query. Operators base decisions on the results, so queries
 * are answered by a leader that a quorum has just confirmed. Only "voters"
 * returns what this voter knows, since it is asked when there is no leader.
 */
void ctl_on_query(struct ctl *c, struct wire_conn *conn, struct pk_in *in)
{
	uint64_t request = pk_get_u(in);
	struct lstr name = pk_get_str(in);
	struct lstr arg = pk_get_str(in);
	struct ctl_request *req;
	struct pk_out o;

	if (!pk_in_ok(in))
		return;
	c->counts[CTL_QUERIES]++;
	if (lstr_eq(name, LSTR("voters"))) {
		pk_out_init(&o);
		ctl_query_voters(c, &o);
		ctl_send_result(c, conn, request, PROTO_OK, pk_out_view(&o));
		pk_out_done(&o);
		return;
	}
	if (cns_role(c->cns) != CNS_LEADER || vot_is_full(c->vot)) {
		ctl_send_result(c, conn, request, ctl_refusal_code(c),
				LSTR(""));
		return;
	}
	req = g_new0(struct ctl_request, 1);
	req->conn = conn;
	req->request = request;
	req->name = lstr_dup(name);
	req->arg = lstr_dup(arg);
	ctl_request_add(c->queries, ++c->next_tag, req);
	cns_read(c->cns, c->next_tag);
	ctl_schedule_pump(c);
}

/* Answers the client that waits for an applied entry. */
void ctl_answer_command(struct ctl *c, const struct cns_entry *e,
			struct lstr result)
{
	struct ctl_request *req = g_hash_table_lookup(c->commands, &e->index);
	struct fcm_result r;

	if (!req)
		return;
	if (req->term != e->term) {
		/* Another leader's entry replaced this one. */
		ctl_send_result(c, req->conn, req->request,
				PROTO_OUTCOME_UNKNOWN, LSTR(""));
		c->counts[CTL_UNKNOWN]++;
	} else if (fcm_result_unpack(&r, result)) {
		ctl_send_result(c, req->conn, req->request, r.code, result);
		fcm_result_clear(&r);
		c->counts[CTL_COMMANDS]++;
	}
	g_hash_table_remove(c->commands, &e->index);
}

/*
 * Answers a query after a quorum has confirmed the leader, or refuses it if
 * leadership was lost.
 */
void ctl_read_done(struct ctl *c, const struct cns_read *r)
{
	struct ctl_request *req = g_hash_table_lookup(c->queries, &r->tag);
	enum proto_result code = PROTO_OK;
	struct qtb_in t;
	struct pk_out o;

	if (!req)
		return;
	pk_out_init(&o);
	if (!r->ok)
		code = ctl_refusal_code(c);
	else if (strcmp(req->name, "nodes") == 0)
		ctl_query_nodes(c, &o);
	else
		fst_query(c->fst, lstr_from(req->name), lstr_from(req->arg),
			  &o);
	if (r->ok && qtb_read(&t, pk_out_view(&o))) {
		code = t.code;
		qtb_read_done(&t);
	}
	ctl_send_result(c, req->conn, req->request, code, pk_out_view(&o));
	pk_out_done(&o);
	g_hash_table_remove(c->queries, &r->tag);
}

/*
 * Answers all pending commands with an unknown outcome when leadership is lost:
 * the next leader may or may not have them. A client that repeats a command
 * with the same id learns its result.
 */
void ctl_fail_commands(struct ctl *c)
{
	GHashTableIter it;
	struct ctl_request *req;

	g_hash_table_iter_init(&it, c->commands);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&req)) {
		ctl_send_result(c, req->conn, req->request,
				PROTO_OUTCOME_UNKNOWN, LSTR(""));
		c->counts[CTL_UNKNOWN]++;
	}
	g_hash_table_remove_all(c->commands);
}

/* Detaches a closed connection from its pending requests. */
void ctl_client_closed(struct ctl *c, const struct wire_conn *conn)
{
	GHashTable *const tables[] = {c->commands, c->queries};
	GHashTableIter it;
	struct ctl_request *req;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		g_hash_table_iter_init(&it, tables[i]);
		while (g_hash_table_iter_next(&it, NULL, (gpointer *)&req))
			if (req->conn == conn)
				req->conn = NULL;
	}
}

/* Frees a pending request. */
void ctl_request_free(gpointer p)
{
	struct ctl_request *req = p;

	g_free(req->name);
	g_free(req->arg);
	g_free(req);
}

/* Packs a note command for the audit trail; id identifies the command. */
void ctl_note_pack(struct pk_out *o, const char *id, const char *text)
{
	struct fcm_cmd cmd = {
		.kind = FCM_NOTE,
		.id = lstr_from(id),
		.made_ms = ctl_clock_ms(),
		.note = {.text = lstr_from(text)},
	};

	fcm_encode(&cmd, o);
}

/* Records an automatic action of this leader in the audit trail. */
void ctl_note(struct ctl *c, const char *id, const char *text)
{
	struct pk_out o;
	uint64_t index;

	pk_out_init(&o);
	ctl_note_pack(&o, id, text);
	ctl_propose(c, lstr_from(c->config.node), KEY_PEER, pk_out_view(&o),
		    &index);
	pk_out_done(&o);
}

static int64_t ctl_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Returns why this voter cannot do a request now; in each case nothing has been
 * done.
 */
static enum proto_result ctl_refusal_code(const struct ctl *c)
{
	uint64_t leader = cns_leader(c->cns);

	return leader && leader != c->id ? PROTO_NOT_LEADER : PROTO_NO_QUORUM;
}

static void ctl_send_result(struct ctl *c, struct wire_conn *conn,
			    uint64_t request, enum proto_result code,
			    struct lstr bytes)
{
	const struct cns_member *leader =
		cns_find_member(cns_members(c->cns), cns_leader(c->cns));
	struct pk_out o;

	if (!conn)
		return;
	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, PROTO_RESULT);
	pk_u(&o, request);
	pk_u(&o, code);
	pk_str(&o, bytes);
	pk_cstr(&o, leader ? leader->addr : "");
	if (pk_out_view(&o).len <= WIRE_PAYLOAD_MAX)
		wire_send(conn, pk_out_view(&o));
	pk_out_done(&o);
}

static void ctl_request_add(GHashTable *table, uint64_t key,
			    struct ctl_request *req)
{
	uint64_t *k = g_new(uint64_t, 1);

	*k = key;
	g_hash_table_insert(table, k, req);
}
