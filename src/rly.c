#include "rly.h"

#include "proto.h"

/* Interval at which calls are checked for a missing report, ms. */
#define RLY_TICK_MS 50
/*
 * Time allowed for the messages to and from a relay beyond a call's own time
 * limit, ms.
 */
#define RLY_ROUND_TRIP_MS 250
/* Size from which a batch is sent at once, bytes. */
#define RLY_BATCH_FLUSH_BYTES (128u << 10)

/*
 * A relay that has sent nothing for this time gets no calls, ms: three times
 * the interval between two requests for its clock.
 */
#define RLY_PEER_TIMEOUT_MS 600

/*
 * A relay as the leader knows it: its clock, and the calls not sent to it yet.
 */
struct rly_peer {
	int64_t clock_ms; /* the relay's clock in its newest message */
	int64_t heard_ms; /* time of that message; 0: none yet */
	int64_t offset_ms; /* estimate of the relay's clock minus ours */
	struct pk_out calls; /* packed one after another */
	GArray *ids; /* their ids, uint64_t */
};

struct rly {
	struct tmr *tmr;
	const struct rly_ops *ops;
	void *arg;
	GHashTable *calls; /* id: struct rly_call */
	GHashTable *peers; /* address: struct rly_peer */
	uint64_t term; /* in which this replica leads */
	struct evbuffer *body; /* of the answer that is being delivered */
	uint64_t next_id;
	uint64_t flush_timer;
	uint64_t tick;
	struct rly_stats stats;
};

struct rly_call {
	struct rly *r;
	uint64_t id;
	const struct ups_ops *ops;
	void *arg;
	int64_t deadline_ms; /* the call counts as lost from then on */
};

static struct rly_peer *rly_peer_get(struct rly *r, const char *relay);
static void rly_peer_free(gpointer arg);
static void rly_peer_update_clock(struct rly_peer *p, int64_t clock_ms,
				  int64_t now);
static void rly_peer_queue_call(struct rly_peer *p, uint64_t id,
				const struct ups_request *q);
static void rly_flush(void *arg, int64_t now);
static void rly_send_batch(struct rly *r, const char *relay,
			   struct rly_peer *p);
static void rly_peer_clear(struct rly_peer *p);
static void rly_tick(void *arg, int64_t now);
static void rly_call_end(struct rly *r, uint64_t id, enum ups_end end,
			 const struct ups_answer *a);

/* Returns the leader's side of relaying; ops reaches the relays. */
struct rly *rly_new(struct tmr *tmr, const struct rly_ops *ops, void *arg)
{
	struct rly *r = g_new0(struct rly, 1);

	r->tmr = tmr;
	r->ops = ops;
	r->arg = arg;
	r->next_id = 1;
	r->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	r->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 rly_peer_free);
	r->body = evbuffer_new();
	r->tick = tmr_every(tmr, RLY_TICK_MS, rly_tick, r);
	return r;
}

/* Frees the leader's side. Open calls end without a callback. */
void rly_free(struct rly *r)
{
	if (!r)
		return;
	tmr_cancel(r->tmr, r->tick);
	tmr_cancel(r->tmr, r->flush_timer);
	evbuffer_free(r->body);
	g_hash_table_destroy(r->peers);
	g_hash_table_destroy(r->calls);
	g_free(r);
}

/*
 * Has a relay make a call. ops->end is called once with its end, as by
 * ups_start, unless rly_cancel comes first. The end is UPS_LOST if the relay
 * reported none; the call may or may not have been made then.
 */
struct rly_call *rly_start(struct rly *r, const char *relay,
			   const struct ups_request *q,
			   const struct ups_ops *ops, void *arg)
{
	struct rly_peer *p = rly_peer_get(r, relay);
	struct rly_call *c = g_new0(struct rly_call, 1);

	c->r = r;
	c->id = r->next_id++;
	c->ops = ops;
	c->arg = arg;
	c->deadline_ms = tmr_now(r->tmr) + q->timeout_ms + RLY_ROUND_TRIP_MS;
	g_hash_table_insert(r->calls, &c->id, c);
	rly_peer_queue_call(p, c->id, q);
	g_array_append_val(p->ids, c->id);
	r->stats.calls++;
	if (!r->flush_timer)
		r->flush_timer = tmr_once(r->tmr, 0, rly_flush, r);
	if (p->calls.buf.size > RLY_BATCH_FLUSH_BYTES)
		rly_send_batch(r, relay, p);
	return c;
}

/*
 * Sets the term in which this replica leads and sends calls. Calls not sent yet
 * are dropped.
 */
void rly_set_term(struct rly *r, uint64_t term)
{
	rly_drop_unsent(r);
	r->term = term;
}

/*
 * Drops the calls that are not sent yet when this replica loses the leadership.
 * With the term known by then, a relay would attribute them to another leader.
 */
void rly_drop_unsent(struct rly *r)
{
	GHashTableIter it;
	struct rly_peer *p;

	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p))
		rly_peer_clear(p);
}

/*
 * Requests a relay's clock, by which calls to it are timestamped. To be called
 * often: a relay that answers nothing gets no calls.
 */
void rly_request_clock(struct rly *r, const char *relay)
{
	rly_send_batch(r, relay, rly_peer_get(r, relay));
}

/* Whether a relay has answered a recent request. */
bool rly_is_ready(const struct rly *r, const char *relay)
{
	const struct rly_peer *p = g_hash_table_lookup(r->peers, relay);

	return p && p->heard_ms &&
	       tmr_now(r->tmr) - p->heard_ms <= RLY_PEER_TIMEOUT_MS;
}

/* Cancels a call: its end is not reported. */
void rly_cancel(struct rly_call *c)
{
	g_hash_table_remove(c->r->calls, &c->id);
}

/*
 * Handles a relay's message with its clock and the ends of calls: [clock, [[id,
 * end, status, body]...]]
 */
void rly_on_answers(struct rly *r, const char *relay, struct pk_in *in)
{
	int64_t clock_ms = pk_get_i(in);
	struct pk_in rows = pk_get_arr(in);
	struct rly_peer *p = g_hash_table_lookup(r->peers, relay);

	if (!pk_in_ok(in) || !p)
		return;
	rly_peer_update_clock(p, clock_ms, tmr_now(r->tmr));
	while (pk_in_ok(&rows) && pk_in_left(&rows)) {
		struct pk_in row = pk_get_arr(&rows);
		uint64_t id = pk_get_u(&row);
		uint64_t end = pk_get_u(&row);
		struct ups_answer a = {.status = (int)pk_get_u(&row)};
		struct lstr body = pk_get_str(&row);

		if (!pk_in_ok(&row) || end >= UPS_ENDS)
			return;
		evbuffer_add(r->body, body.p, body.len);
		a.body = r->body;
		rly_call_end(r, id, (enum ups_end)end, &a);
		evbuffer_drain(r->body, evbuffer_get_length(r->body));
	}
}

/*
 * Updates the estimate of a relay's clock. A delay in reading its message makes
 * the clock look behind, never ahead, so the largest difference is the best
 * estimate: answers that wait in the sockets of a busy leader make no call look
 * old. The rates of two clocks may differ by 1 in 50; a clock that went
 * backwards has been restarted.
 */
static void rly_peer_update_clock(struct rly_peer *p, int64_t clock_ms,
				  int64_t now)
{
	int64_t offset_ms = clock_ms - now;

	if (p->heard_ms && clock_ms >= p->clock_ms)
		offset_ms =
			MAX(offset_ms, p->offset_ms - (now - p->heard_ms) / 50);
	p->offset_ms = offset_ms;
	p->clock_ms = clock_ms;
	p->heard_ms = now;
}

/* Returns the counters since the start. */
struct rly_stats rly_stats(const struct rly *r)
{
	return r->stats;
}

/* Returns a relay's record, which is created if there is none. */
static struct rly_peer *rly_peer_get(struct rly *r, const char *relay)
{
	struct rly_peer *p = g_hash_table_lookup(r->peers, relay);

	if (p)
		return p;
	p = g_new0(struct rly_peer, 1);
	pk_out_init(&p->calls);
	p->ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(r->peers, g_strdup(relay), p);
	return p;
}

/* Frees a relay's record. */
static void rly_peer_free(gpointer arg)
{
	struct rly_peer *p = arg;

	pk_out_done(&p->calls);
	g_array_free(p->ids, TRUE);
	g_free(p);
}

/*
 * Queues a call for a relay: [id, address, path, time limit, connect limit,
 * urgent, largest answer, headers, body]
 */
static void rly_peer_queue_call(struct rly_peer *p, uint64_t id,
				const struct ups_request *q)
{
	size_t len = q->body ? evbuffer_get_length(q->body) : 0;
	size_t i;

	pk_arr(&p->calls, 9);
	pk_u(&p->calls, id);
	pk_cstr(&p->calls, q->addr);
	pk_cstr(&p->calls, q->uri);
	pk_i(&p->calls, q->timeout_ms);
	pk_i(&p->calls, q->connect_ms);
	pk_bool(&p->calls, q->urgent);
	pk_i(&p->calls, q->max_answer);
	pk_arr(&p->calls, 2 * q->n_headers);
	for (i = 0; i < q->n_headers; i++) {
		pk_cstr(&p->calls, q->headers[i].name);
		pk_cstr(&p->calls, q->headers[i].value);
	}
	pk_str(&p->calls,
	       lstr_n(len ? (char *)evbuffer_pullup(q->body, -1) : "", len));
}

/* Sends the calls queued in this iteration of the event loop. */
static void rly_flush(void *arg, int64_t now)
{
	struct rly *r = arg;
	GHashTableIter it;
	char *relay;
	struct rly_peer *p;

	r->flush_timer = 0;
	g_hash_table_iter_init(&it, r->peers);
	while (g_hash_table_iter_next(&it, (gpointer *)&relay, (gpointer *)&p))
		if (p->ids->len)
			rly_send_batch(r, relay, p);
}

/*
 * Sends a relay its queued calls: [kind, term, relay's clock, calls]. The clock
 * is the leader's estimate, which is never ahead of the real one; 0: not known.
 */
static void rly_send_batch(struct rly *r, const char *relay, struct rly_peer *p)
{
	int64_t relay_clock_ms = 0;
	struct pk_out o;
	guint i;

	if (p->heard_ms)
		relay_clock_ms = tmr_now(r->tmr) + p->offset_ms;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_CARRY);
	pk_u(&o, r->term);
	pk_i(&o, relay_clock_ms);
	pk_arr(&o, p->ids->len);
	msgpack_sbuffer_write(&o.buf, p->calls.buf.data, p->calls.buf.size);
	if (!r->ops->send(r->arg, relay, pk_out_view(&o))) {
		/* reported as lost by the next tick, never within rly_start */
		for (i = 0; i < p->ids->len; i++) {
			struct rly_call *c = g_hash_table_lookup(
				r->calls, &g_array_index(p->ids, uint64_t, i));

			if (c)
				c->deadline_ms = 0;
		}
	}
	pk_out_done(&o);
	rly_peer_clear(p);
}

/* Discards the queued calls. */
static void rly_peer_clear(struct rly_peer *p)
{
	msgpack_sbuffer_clear(&p->calls.buf);
	g_array_set_size(p->ids, 0);
}

/* Ends calls whose relay has not reported in time. */
static void rly_tick(void *arg, int64_t now)
{
	struct rly *r = arg;
	GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	struct rly_call *c;
	guint i;

	g_hash_table_iter_init(&it, r->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c))
		if (now >= c->deadline_ms)
			g_array_append_val(lost, c->id);
	r->stats.lost += lost->len;
	for (i = 0; i < lost->len; i++)
		rly_call_end(r, g_array_index(lost, uint64_t, i), UPS_LOST,
			     &(struct ups_answer){0});
	g_array_free(lost, TRUE);
}

/* Reports the end of a call, unless the call was cancelled or has ended. */
static void rly_call_end(struct rly *r, uint64_t id, enum ups_end end,
			 const struct ups_answer *a)
{
	struct rly_call *c = g_hash_table_lookup(r->calls, &id);
	struct rly_call copy;

	if (!c)
		return;
	copy = *c;
	g_hash_table_remove(r->calls, &id);
	copy.ops->end(copy.arg, end, a);
}
