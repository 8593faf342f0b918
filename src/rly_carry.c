#include "rly.h"

#include "proto.h"

/*
 * Time for which answers are collected into one message, ms. A message for each
 * would cost the leader as much as making the calls itself.
 */
#define RLY_FLUSH_DELAY_MS 3
/* Size from which collected answers are sent at once, bytes. */
#define RLY_ANSWERS_FLUSH_BYTES (128u << 10)
/*
 * A batch whose timestamp is older than this by our clock is dropped, ms: this
 * replica or the leader was stalled, and the leader may have been replaced. The
 * limit allows for the round trip and some iterations of both event loops.
 */
#define RLY_BATCH_AGE_MAX_MS 400

/* A leader's connection and the answers not sent back over it yet. */
struct rly_session {
	struct rly_relay *r;
	struct wire_conn *conn;
	struct pk_out answers; /* packed one after another */
	uint32_t n_answers;
	uint64_t flush_timer;
};

/* A call that is being made for a leader. */
struct rly_relayed_call {
	struct rly_session *s;
	uint64_t id;
	struct ups_call *call;
	struct evbuffer *body;
	int64_t deadline_ms; /* the request is not written after that */
};

struct rly_relay {
	struct tmr *tmr;
	struct ups *ups;
	rly_send_fn send;
	GHashTable *sessions; /* connection: struct rly_session */
	GHashTable *calls; /* struct rly_relayed_call */
	struct rly_stats stats;
};

static struct rly_session *rly_session_get(struct rly_relay *r,
					   struct wire_conn *conn);
static void rly_session_free(gpointer arg);
static bool rly_batch_expired(const struct rly_relay *r, int64_t stamp_ms);
static bool rly_start_call(struct rly_session *s, struct pk_in *fields,
			   bool expired);
static bool rly_may_write(void *arg);
static void rly_on_end(void *arg, enum ups_end end, const struct ups_answer *a);
static void rly_queue_answer(struct rly_session *s, uint64_t id,
			     enum ups_end end, int status, struct lstr body);
static void rly_schedule_flush(struct rly_session *s);
static void rly_flush_answers(void *arg, int64_t now);
static void rly_relayed_call_free(gpointer arg);

static const struct ups_ops rly_ups_ops = {
	.may_write = rly_may_write,
	.end = rly_on_end,
};

/* Returns the relay's side, which makes calls over ups; ups must outlive it. */
struct rly_relay *rly_relay_new(struct tmr *tmr, struct ups *ups,
				rly_send_fn send)
{
	struct rly_relay *r = g_new0(struct rly_relay, 1);

	r->tmr = tmr;
	r->ups = ups;
	r->send = send;
	r->sessions = g_hash_table_new_full(NULL, NULL, NULL, rly_session_free);
	r->calls =
		g_hash_table_new_full(NULL, NULL, rly_relayed_call_free, NULL);
	return r;
}

/* Frees the relay's side and cancels its open calls. */
void rly_relay_free(struct rly_relay *r)
{
	if (!r)
		return;
	rly_relay_cancel_all(r);
	g_hash_table_destroy(r->calls);
	g_hash_table_destroy(r->sessions);
	g_free(r);
}

/*
 * Handles a leader's batch: [term, our clock as the leader estimates it,
 * calls]. If the term has ended or the batch is late, no call is made, and each
 * is answered with UPS_NO_CONNECTION. An empty batch requests our clock.
 */
void rly_relay_on_calls(struct rly_relay *r, struct wire_conn *conn,
			uint64_t own_term, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	int64_t stamp_ms = pk_get_i(in);
	struct pk_in calls = pk_get_arr(in);
	struct rly_session *s = rly_session_get(r, conn);
	bool expired;

	if (!pk_in_ok(in))
		return;
	expired = rly_batch_expired(r, stamp_ms) || term < own_term;
	rly_schedule_flush(s);
	while (pk_in_ok(&calls) && pk_in_left(&calls)) {
		struct pk_in fields = pk_get_arr(&calls);

		r->stats.relayed++;
		r->stats.dropped += expired;
		if (!rly_start_call(s, &fields, expired))
			return;
	}
}

/* Cancels the calls of a leader's connection that was closed. */
void rly_relay_on_disconnect(struct rly_relay *r, const struct wire_conn *conn)
{
	GHashTableIter it;
	struct rly_relayed_call *c;

	g_hash_table_iter_init(&it, r->calls);
	while (g_hash_table_iter_next(&it, (gpointer *)&c, NULL))
		if (c->s->conn == conn)
			g_hash_table_iter_remove(&it);
	g_hash_table_remove(r->sessions, conn);
}

/* Cancels all calls: this replica now leads, or shuts down. */
void rly_relay_cancel_all(struct rly_relay *r)
{
	g_hash_table_remove_all(r->calls);
}

/* Returns the counters since the start. */
struct rly_stats rly_relay_stats(const struct rly_relay *r)
{
	return r->stats;
}

/* Returns a connection's record, which is created if there is none. */
static struct rly_session *rly_session_get(struct rly_relay *r,
					   struct wire_conn *conn)
{
	struct rly_session *s = g_hash_table_lookup(r->sessions, conn);

	if (s)
		return s;
	s = g_new0(struct rly_session, 1);
	s->r = r;
	s->conn = conn;
	pk_out_init(&s->answers);
	g_hash_table_insert(r->sessions, conn, s);
	return s;
}

/* Frees a connection's record. */
static void rly_session_free(gpointer arg)
{
	struct rly_session *s = arg;

	tmr_cancel(s->r->tmr, s->flush_timer);
	pk_out_done(&s->answers);
	g_free(s);
}

/*
 * Whether a batch took too long to arrive. Its timestamp is our own clock as
 * estimated by the leader, so that even the first batch after a process pause
 * is recognised as late. A timestamp in the future is from before a restart of
 * the clock.
 */
static bool rly_batch_expired(const struct rly_relay *r, int64_t stamp_ms)
{
	int64_t age_ms = tmr_now(r->tmr) - stamp_ms;

	return age_ms < 0 || age_ms > RLY_BATCH_AGE_MAX_MS;
}

/*
 * Starts one call of a batch, or answers it at once if the batch has expired.
 * Returns false if the call is malformed.
 */
static bool rly_start_call(struct rly_session *s, struct pk_in *fields,
			   bool expired)
{
	uint64_t id = pk_get_u(fields);
	char *addr = lstr_dup(pk_get_str(fields));
	char *uri = lstr_dup(pk_get_str(fields));
	struct ups_request q = {
		.addr = addr,
		.method = EVHTTP_REQ_POST,
		.uri = uri,
	};
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	struct pk_in pairs;
	struct lstr body;
	struct rly_relayed_call *c;
	bool ok;
	guint i;

	q.timeout_ms = pk_get_i(fields);
	q.connect_ms = pk_get_i(fields);
	q.urgent = pk_get_bool(fields);
	q.max_answer = pk_get_i(fields);
	pairs = pk_get_arr(fields);
	while (pk_in_ok(&pairs) && pk_in_left(&pairs)) {
		struct ups_header h;

		h.name = lstr_dup(pk_get_str(&pairs));
		h.value = lstr_dup(pk_get_str(&pairs));
		g_array_append_val(headers, h);
	}
	body = pk_get_str(fields);
	ok = pk_in_ok(fields) && pk_in_ok(&pairs) && strchr(addr, ':');
	q.headers = (const struct ups_header *)headers->data;
	q.n_headers = headers->len;
	if (ok && expired) {
		rly_queue_answer(s, id, UPS_NO_CONNECTION, 0, lstr_n("", 0));
	} else if (ok) {
		c = g_new0(struct rly_relayed_call, 1);
		c->s = s;
		c->id = id;
		c->body = evbuffer_new();
		c->deadline_ms = tmr_now(s->r->tmr) + q.timeout_ms;
		evbuffer_add(c->body, body.p, body.len);
		q.body = c->body;
		g_hash_table_add(s->r->calls, c);
		c->call = ups_start(s->r->ups, &q, &rly_ups_ops, c);
	}
	for (i = 0; i < headers->len; i++) {
		g_free(g_array_index(headers, struct ups_header, i).name);
		g_free(g_array_index(headers, struct ups_header, i).value);
	}
	g_array_free(headers, TRUE);
	g_free(addr);
	g_free(uri);
	return ok;
}

/*
 * Whether a call may still be written. After a pause of this process, a call
 * whose connection was established meanwhile would be written before its
 * timeout is checked; the leader has long since had it made another way.
 */
static bool rly_may_write(void *arg)
{
	const struct rly_relayed_call *c = arg;

	return tmr_now(c->s->r->tmr) <= c->deadline_ms;
}

/* Queues the answer of a call that has ended for the leader. */
static void rly_on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct rly_relayed_call *c = arg;
	struct lstr body = {0};

	c->call = NULL;
	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	rly_queue_answer(c->s, c->id, end, a->status,
			 body.p ? body : lstr_n("", 0));
	g_hash_table_remove(c->s->r->calls, c);
}

/* Queues an answer, and sends all at once from a certain size. */
static void rly_queue_answer(struct rly_session *s, uint64_t id,
			     enum ups_end end, int status, struct lstr body)
{
	pk_arr(&s->answers, 4);
	pk_u(&s->answers, id);
	pk_u(&s->answers, end);
	pk_u(&s->answers, (uint64_t)MAX(status, 0));
	pk_str(&s->answers, body);
	s->n_answers++;
	if (s->answers.buf.size > RLY_ANSWERS_FLUSH_BYTES)
		rly_flush_answers(s, 0);
	else
		rly_schedule_flush(s);
}

/* Schedules sending of the queued answers, with any that follow until then. */
static void rly_schedule_flush(struct rly_session *s)
{
	if (!s->flush_timer)
		s->flush_timer = tmr_once(s->r->tmr, RLY_FLUSH_DELAY_MS,
					  rly_flush_answers, s);
}

/* Sends our clock and the queued answers: [kind, clock, answers]. */
static void rly_flush_answers(void *arg, int64_t now)
{
	struct rly_session *s = arg;
	struct pk_out o;

	tmr_cancel(s->r->tmr, s->flush_timer);
	s->flush_timer = 0;
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CARRIED);
	pk_i(&o, tmr_now(s->r->tmr));
	pk_arr(&o, s->n_answers);
	msgpack_sbuffer_write(&o.buf, s->answers.buf.data, s->answers.buf.size);
	s->r->send(s->conn, pk_out_view(&o));
	pk_out_done(&o);
	msgpack_sbuffer_clear(&s->answers.buf);
	s->n_answers = 0;
}

/* Frees a call, and cancels it if it is open. */
static void rly_relayed_call_free(gpointer arg)
{
	struct rly_relayed_call *c = arg;

	if (c->call)
		ups_cancel(c->call);
	evbuffer_free(c->body);
	g_free(c);
}
