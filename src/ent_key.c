#include "ent_int.h"

#include <sodium.h>
#include <time.h>

#include "fcm.h"
#include "hdr.h"
#include "msg.h"

/* Largest answer body stored for callers that send a request again, bytes. */
#define ENT_STORED_BODY_MAX (64 << 10)

/*
 * Limit for a daemon's idempotency records, of the 64 MB of its memory limit,
 * bytes.
 */
#define ENT_KEY_STORE_MAX (24 << 20)

/* Kinds of PROTO_KEY messages. */
enum {
	ENT_KEY_BOOT,
	ENT_KEY_STORE
};

static void ent_key_send(void *arg, const char *node, struct lstr bytes);
static void ent_key_propose(void *arg, const struct idm_view *next_view);
static void ent_key_verdict(void *arg, void *user, enum idm_verdict v,
			    struct lstr bytes);
static void ent_key_timeout(void *arg, int64_t now);
static void ent_key_forward(struct ent_req *q, struct lstr zone);
static void ent_key_replay(struct ent_req *q, struct lstr bytes);
static void ent_key_digest(struct ent_req *q, uint8_t digest[IDM_DIGEST]);
static int64_t ent_wall_ms(void);

static const struct idm_ops ent_key_ops = {
	.send = ent_key_send,
	.propose = ent_key_propose,
	.verdict = ent_key_verdict,
};

/*
 * Answers where no claim was granted; "not-run" only if no request with the key
 * can have run.
 */
static const struct ent_refusal ent_key_refusals[] = {
	[IDM_INDETERMINATE] = {409, "unknown", "may-have-run", 0},
	[IDM_MISMATCH] = {422, "not-run", "key-of-another-request", 0},
	[IDM_REFUSED] = {503, "unknown", "key-memory-out-of-reach", 1000},
};

/* Creates this daemon's part of the zone's idempotency store. */
void ent_key_start(struct ent *e)
{
	randombytes_buf(&e->boot, sizeof(e->boot));
	e->idm = idm_new(
		&(struct idm_config){
			.node = e->config.node,
			.boot = e->boot,
			.max_bytes = ENT_KEY_STORE_MAX,
			.retention_ms = IDM_RETENTION_MS,
		},
		&ent_key_ops, e);
}

/* Applies the replicas that a changed fleet view names for this zone. */
void ent_key_update_view(struct ent *e)
{
	guint i;

	for (i = 0; i < e->view->key_replicas->len; i++) {
		const struct fvw_key_replicas *k =
			g_ptr_array_index(e->view->key_replicas, i);
		struct idm_view v = {
			.epoch = k->epoch,
			.number = k->number,
			.replicas = k->names,
		};

		if (strcmp(k->zone, e->config.zone) == 0)
			idm_set_view(e->idm, tmr_now(e->tmr), &v);
	}
}

/* Whether a request's key must be claimed before the request may run. */
bool ent_key_required(const struct ent_req *q)
{
	return !q->repeatable && srv_header(q->srv, HDR_KEY);
}

/*
 * Claims a request's key here, or forwards the request to the zone whose store
 * holds the key. A key that is too old for any store, or of a store that was
 * lost, may have run: it is never accepted as new.
 */
void ent_key_claim(struct ent_req *q)
{
	struct ent *e = q->e;
	struct lstr text = lstr_from(srv_header(q->srv, HDR_KEY));
	uint64_t epoch = idm_epoch(e->idm);
	uint8_t digest[IDM_DIGEST];
	struct idm_key key;
	enum idm_age age;

	if (!idm_key_parse(text, &key)) {
		ent_reply_refusal(
			q, &(struct ent_refusal){
				   400, "not-run",
				   "key-form: ask /endive/key for one", 0});
		return;
	}
	age = idm_key_age(&key, ent_wall_ms());
	if (age != IDM_AGE_OK) {
		ent_reply_refusal(
			q, age == IDM_AGE_OLD
				   ? &(struct ent_refusal){410, "unknown",
							   "key-expired", 0}
				   : &(struct ent_refusal){
					     400, "not-run",
					     "key-from-the-future", 0});
		return;
	}
	if (!lstr_eq(key.zone, lstr_from(e->config.zone))) {
		ent_key_forward(q, key.zone);
		return;
	}
	if (epoch != key.epoch) {
		ent_reply_refusal(
			q,
			epoch ? &(struct ent_refusal){409, "unknown",
						      "memory-lost", 0}
			      : &(struct ent_refusal){503, "unknown",
						      "no-key-memory", 1000});
		return;
	}
	ent_key_digest(q, digest);
	q->claim_timer =
		tmr_once(e->tmr, MAX(1, q->deadline_ms - tmr_now(e->tmr)),
			 ent_key_timeout, q);
	q->claim_id = idm_claim_new(e->idm, tmr_now(e->tmr), text, digest, q);
	/* idm_claim_send may free q. */
	idm_claim_send(e->idm, tmr_now(e->tmr), q->claim_id);
}

/*
 * Finishes a request's claim. A complete answer is stored if it is small
 * enough; for a larger one, later callers learn that the request ran and that
 * its answer was not stored.
 */
void ent_key_finish(struct ent_req *q, enum idm_state state,
		    const struct ups_answer *a)
{
	struct ent *e = q->e;
	uint64_t claim_id = q->claim_id;
	GArray *headers;
	struct pk_out o;
	size_t len;
	guint i;

	q->claim_id = 0;
	if (state != IDM_DONE || !a) {
		idm_claim_finish(e->idm, tmr_now(e->tmr), claim_id, state,
				 LSTR(""));
		return;
	}
	len = evbuffer_get_length(a->body);
	headers = ent_forwarded_headers(a->headers, a->n_headers);
	/*
	 * Of an answer in parts only the last is available here: not to be
	 * stored.
	 */
	if (q->in_parts || len > ENT_STORED_BODY_MAX)
		len = 0;
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, (uint64_t)a->status);
	pk_bool(&o, !q->in_parts && len == evbuffer_get_length(a->body));
	pk_arr(&o, 2 * headers->len);
	for (i = 0; i < headers->len; i++) {
		const struct ups_header *h =
			&g_array_index(headers, struct ups_header, i);

		pk_cstr(&o, h->name);
		pk_cstr(&o, h->value);
	}
	pk_str(&o, lstr_n(len ? evbuffer_pullup(a->body, -1) : NULL, len));
	idm_claim_finish(e->idm, tmr_now(e->tmr), claim_id, IDM_DONE,
			 pk_out_view(&o));
	pk_out_done(&o);
	g_array_free(headers, TRUE);
}

/*
 * Handles the end of a request forwarded to the zone that holds its key: sends
 * that zone's answer, or the failure, to the caller.
 */
void ent_key_forward_end(struct ent_req *q, enum ups_end end,
			 const struct ups_answer *a)
{
	const char *outcome = ups_header_find(a, HDR_OUTCOME);
	const char *replayed = ups_header_find(a, HDR_REPLAYED);
	GArray *headers;

	if (!q->srv || (end == UPS_WHOLE && q->in_parts)) {
		ent_reply_answer(q, a);
		return;
	}
	if (end != UPS_WHOLE) {
		if (q->streaming)
			srv_abort(q->srv);
		/*
		 * An earlier request with the key may have run there, whatever
		 * became of this one.
		 */
		if (q->streaming)
			ent_req_free(q);
		else
			ent_reply_refusal(
				q, &(struct ent_refusal){
					   end == UPS_TIMEOUT ? 504 : 503,
					   "unknown", "key-zone-out-of-reach",
					   1000});
		return;
	}
	headers = ent_forwarded_headers(a->headers, a->n_headers);
	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	ent_add_header(headers, HDR_OUTCOME, outcome ? outcome : "unknown");
	if (replayed)
		ent_add_header(headers, HDR_REPLAYED, replayed);
	srv_reply(q->srv, a->status, (void *)headers->data, headers->len,
		  a->body);
	g_array_free(headers, TRUE);
	ent_req_free(q);
}

/* GET /endive/key: answers with a new key of this zone's store. */
void ent_key_issue(struct ent *e, struct srv_req *srv)
{
	uint64_t epoch = idm_epoch(e->idm);
	uint64_t random_part[2];
	char *prefix;
	char *key;

	if (!epoch) {
		struct ups_header h[] = {
			{(char *)HDR_OUTCOME, (char *)"not-run"},
			{(char *)"Retry-After", (char *)"1"},
		};

		srv_reply(srv, 503, h, G_N_ELEMENTS(h), NULL);
		return;
	}
	randombytes_buf(random_part, sizeof(random_part));
	prefix = idm_key_prefix(e->config.zone, epoch, ent_wall_ms());
	key = g_strdup_printf("%s.%016" G_GINT64_MODIFIER
			      "x%016" G_GINT64_MODIFIER "x",
			      prefix, random_part[0], random_part[1]);
	srv_reply_text(srv, 200, key);
	g_free(key);
	g_free(prefix);
}

/* Sends this daemon's boot number to another entry daemon of the zone. */
void ent_key_peer_up(struct ent *e, struct wire_conn *c)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_KEY);
	pk_u(&o, ENT_KEY_BOOT);
	pk_u(&o, e->boot);
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
}

/* Handles a PROTO_KEY message from another entry daemon of the zone. */
void ent_key_recv(struct ent *e, struct wire_conn *c, struct pk_in *in)
{
	const struct ent_peer *p = wire_user(c);
	uint64_t kind = pk_get_u(in);
	struct lstr bytes;
	uint64_t boot;

	if (!p || strcmp(p->zone, e->config.zone) != 0)
		return;
	if (kind == ENT_KEY_BOOT) {
		boot = pk_get_u(in);
		if (pk_in_ok(in))
			idm_peer_up(e->idm, tmr_now(e->tmr), p->node, boot);
	} else if (kind == ENT_KEY_STORE) {
		bytes = pk_get_str(in);
		if (pk_in_ok(in))
			idm_recv(e->idm, tmr_now(e->tmr), p->node, bytes);
	}
}

static void ent_key_send(void *arg, const char *node, struct lstr bytes)
{
	struct ent *e = arg;
	struct pk_out o;
	guint i;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_KEY);
	pk_u(&o, ENT_KEY_STORE);
	pk_str(&o, bytes);
	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (p->node && strcmp(p->node, node) == 0)
			wire_send(p->conn, pk_out_view(&o));
	}
	pk_out_done(&o);
}

/*
 * Sends the proposal to every voter: only the leader accepts it, and the
 * command's id keeps it from being applied twice.
 */
static void ent_key_propose(void *arg, const struct idm_view *next_view)
{
	struct ent *e = arg;
	struct fcm_cmd cmd = {
		.kind = FCM_KEY_REPLICAS,
		.made_ms = ent_wall_ms(),
		.key_replicas = {.zone = lstr_from(e->config.zone),
				 .epoch = next_view->epoch,
				 .number = next_view->number,
				 .n = next_view->replicas->len},
	};
	struct pk_out bytes;
	struct pk_out o;
	char id[FCM_ID_MAX];
	guint i;

	g_snprintf(id, sizeof(id),
		   "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
		   e->config.node, e->boot, ++e->proposals);
	cmd.id = lstr_from(id);
	for (i = 0; i < next_view->replicas->len; i++)
		cmd.key_replicas.names[i] =
			lstr_from(g_ptr_array_index(next_view->replicas, i));
	pk_out_init(&bytes);
	fcm_encode(&cmd, &bytes);
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_SUBMIT);
	pk_u(&o, e->proposals);
	pk_str(&o, pk_out_view(&bytes));
	for (i = 0; i < e->peers->len; i++) {
		const struct ent_peer *p = g_ptr_array_index(e->peers, i);

		if (!p->node)
			wire_send(p->conn, pk_out_view(&o));
	}
	pk_out_done(&o);
	pk_out_done(&bytes);
}

static void ent_key_verdict(void *arg, void *user, enum idm_verdict v,
			    struct lstr bytes)
{
	struct ent_req *q = user;

	tmr_cancel(q->e->tmr, q->claim_timer);
	q->claim_timer = 0;
	if (v == IDM_GRANTED && q->srv) {
		ent_request_admission(q);
	} else if (v == IDM_GRANTED) {
		ent_req_free(q);
	} else if (v == IDM_REPLAY) {
		ent_key_replay(q, bytes);
	} else {
		ent_reply_refusal(q, &ent_key_refusals[v]);
	}
}

/*
 * Answers a caller whose deadline passed while another request with its key was
 * running.
 */
static void ent_key_timeout(void *arg, int64_t now)
{
	struct ent_req *q = arg;

	q->claim_timer = 0;
	ent_reply_refusal(q,
			  &(struct ent_refusal){504, "unknown",
						"another-sending-runs", 1000});
}

/* Forwards a request, once, to the zone whose store holds its key. */
static void ent_key_forward(struct ent_req *q, struct lstr zone)
{
	struct ent *e = q->e;
	char *name = lstr_dup(zone);
	int at = srv_header(q->srv, HDR_HOP) ? -1 : ent_zone_find(e, name);
	const char *addr = at > 0 ? ent_zone_addr(e, at) : NULL;

	g_free(name);
	if (!addr) {
		ent_reply_refusal(q, &(struct ent_refusal){
					     503, "unknown",
					     "key-zone-out-of-reach", 1000});
		return;
	}
	q->forwarded = true;
	e->counts[ENT_SHIFTED_OUT]++;
	ent_send(q, addr, true);
}

/* Sends the caller the stored answer to an earlier request with its key. */
static void ent_key_replay(struct ent_req *q, struct lstr bytes)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	GPtrArray *strings = g_ptr_array_new_with_free_func(g_free);
	struct evbuffer *body = evbuffer_new();
	struct pk_in in;
	struct pk_in list;
	struct lstr text;
	uint64_t status = 0;
	bool kept = false;
	char *s;

	if (pk_in_init(&in, bytes)) {
		status = pk_get_u(&in);
		kept = pk_get_bool(&in);
		list = pk_get_arr(&in);
		text = pk_get_str(&in);
		while (pk_in_ok(&list) && pk_in_left(&list)) {
			struct ups_header h;

			s = lstr_dup(pk_get_str(&list));
			g_ptr_array_add(strings, s);
			h.name = s;
			s = lstr_dup(pk_get_str(&list));
			g_ptr_array_add(strings, s);
			h.value = s;
			g_array_append_val(headers, h);
		}
		evbuffer_add(body, text.p, text.len);
		pk_in_done(&in);
	}
	q->e->counts[ENT_REPLAYED]++;
	if (!kept) {
		/* It ran, but its answer was not stored. */
		g_array_set_size(headers, 0);
		evbuffer_drain(body, evbuffer_get_length(body));
		evbuffer_add_printf(body, "ran: answer-not-kept\n");
		status = 409;
	}
	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	ent_add_header(headers, HDR_OUTCOME, "ran");
	ent_add_header(headers, HDR_REPLAYED, "yes");
	if (q->srv)
		srv_reply(q->srv, (int)status, (void *)headers->data,
			  headers->len, body);
	evbuffer_free(body);
	g_array_free(headers, TRUE);
	g_ptr_array_free(strings, TRUE);
	ent_req_free(q);
}

/*
 * Computes the digest of a request: a key used again with another digest is the
 * caller's error.
 */
static void ent_key_digest(struct ent_req *q, uint8_t digest[IDM_DIGEST])
{
	struct srv_req_info info = srv_info(q->srv);
	struct evbuffer *body = srv_body(q->srv);
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, IDM_DIGEST);
	crypto_generichash_update(&st, (const uint8_t *)info.method,
				  strlen(info.method) + 1);
	crypto_generichash_update(&st, (const uint8_t *)info.uri,
				  strlen(info.uri) + 1);
	crypto_generichash_update(&st, evbuffer_pullup(body, -1),
				  evbuffer_get_length(body));
	crypto_generichash_final(&st, digest, IDM_DIGEST);
}

static int64_t ent_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
