#include "rly.h"

#include "proto.h"

/* How often calls without a word of their carrier are looked for, ms. */
#define RLY_TICK_MS 50
/* What the way to a carrier and back may take beyond a call's limit, ms. */
#define RLY_WAY_MS 250
/* Bytes of a batch that goes at once. */
#define RLY_BATCH_MAX (128u << 10)

/*
 * A carrier that has told nothing for so long isn't given calls, ms: three times
 * as long as between two questions.
 */
#define RLY_HEARD_MS 600

/* A carrier: its clock, and calls for it that are not sent yet. */
struct rly_way {
	int64_t clock_ms; /* as it told last, */
	int64_t heard_ms; /* and when; 0: never */
	int64_t ahead_ms; /* its clock less ours, as far as is known */
	struct pk_out calls; /* one after another */
	GArray *nos; /* their numbers, uint64_t */
};

struct rly {
	struct tmr *tmr;
	const struct rly_ops *ops;
	void *arg;
	GHashTable *calls; /* number: struct rly_call */
	GHashTable *ways; /* address: struct rly_way */
	uint64_t term; /* in which we lead */
	struct evbuffer *body; /* of the answer that is being told */
	uint64_t next_no;
	uint64_t flush_timer;
	uint64_t tick;
	struct rly_stats stats;
};

struct rly_call {
	struct rly *r;
	uint64_t no;
	const struct ups_ops *ops;
	void *arg;
	int64_t until_ms; /* it is lost then */
};

static struct rly_way *rly_way_of(struct rly *r, const char *carrier);
static void rly_way_free(gpointer arg);
static void rly_heard(struct rly_way *w, int64_t clock_ms, int64_t now);
static void rly_put(struct rly_way *w, uint64_t no,
		    const struct ups_request *q);
static void rly_flush(void *arg, int64_t now);
static void rly_send(struct rly *r, const char *carrier, struct rly_way *w);
static void rly_clear(struct rly_way *w);
static void rly_tick(void *arg, int64_t now);
static void rly_end(struct rly *r, uint64_t no, enum ups_end end,
		    const struct ups_answer *a);

/* Calls by way of carriers that ops reaches. */
struct rly *rly_new(struct tmr *tmr, const struct rly_ops *ops, void *arg)
{
	struct rly *r = g_new0(struct rly, 1);

	r->tmr = tmr;
	r->ops = ops;
	r->arg = arg;
	r->next_no = 1;
	r->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	r->ways = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					rly_way_free);
	r->body = evbuffer_new();
	r->tick = tmr_every(tmr, RLY_TICK_MS, rly_tick, r);
	return r;
}

/* Frees it; calls that are open end without being told. */
void rly_free(struct rly *r)
{
	if (!r)
		return;
	tmr_cancel(r->tmr, r->tick);
	tmr_cancel(r->tmr, r->flush_timer);
	evbuffer_free(r->body);
	g_hash_table_destroy(r->ways);
	g_hash_table_destroy(r->calls);
	g_free(r);
}

/*
 * Has a carrier make a call. Its end is told once by ops->end, as by ups_start,
 * unless rly_cancel comes first; UPS_LOST where the carrier told none, and the
 * call may or may not have been made.
 */
struct rly_call *rly_start(struct rly *r, const char *carrier,
			   const struct ups_request *q,
			   const struct ups_ops *ops, void *arg)
{
	struct rly_way *w = rly_way_of(r, carrier);
	struct rly_call *c = g_new0(struct rly_call, 1);

	c->r = r;
	c->no = r->next_no++;
	c->ops = ops;
	c->arg = arg;
	c->until_ms = tmr_now(r->tmr) + q->timeout_ms + RLY_WAY_MS;
	g_hash_table_insert(r->calls, &c->no, c);
	rly_put(w, c->no, q);
	g_array_append_val(w->nos, c->no);
	r->stats.calls++;
	if (!r->flush_timer)
		r->flush_timer = tmr_once(r->tmr, 0, rly_flush, r);
	if (w->calls.buf.size > RLY_BATCH_MAX)
		rly_send(r, carrier, w);
	return c;
}

/* We lead in a term: calls go out under it. */
void rly_lead(struct rly *r, uint64_t term)
{
	rly_rest(r);
	r->term = term;
}

/*
 * We don't lead any more: what waits to be sent isn't. Under the term that we
 * know by then a carrier would take it for another leader's.
 */
void rly_rest(struct rly *r)
{
	GHashTableIter it;
	struct rly_way *w;

	g_hash_table_iter_init(&it, r->ways);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		rly_clear(w);
}

/*
 * Asks a replica for its clock, with which calls to it are marked. It is to be
 * asked often: one that tells nothing is given no calls.
 */
void rly_ask(struct rly *r, const char *carrier)
{
	rly_send(r, carrier, rly_way_of(r, carrier));
}

/* Whether a replica that was asked has answered of late. */
bool rly_ready(const struct rly *r, const char *carrier)
{
	const struct rly_way *w = g_hash_table_lookup(r->ways, carrier);

	return w && w->heard_ms &&
	       tmr_now(r->tmr) - w->heard_ms <= RLY_HEARD_MS;
}

/* Forgets a call: its end is not told. */
void rly_cancel(struct rly_call *c)
{
	g_hash_table_remove(c->r->calls, &c->no);
}

/*
 * A carrier tells its clock, and what became of calls:
 * [clock, [[number, end, status, body]...]]
 */
void rly_answers(struct rly *r, const char *carrier, struct pk_in *in)
{
	int64_t clock_ms = pk_get_i(in);
	struct pk_in rows = pk_get_arr(in);
	struct rly_way *w = g_hash_table_lookup(r->ways, carrier);

	if (!pk_in_ok(in) || !w)
		return;
	rly_heard(w, clock_ms, tmr_now(r->tmr));
	while (pk_in_ok(&rows) && pk_in_left(&rows)) {
		struct pk_in row = pk_get_arr(&rows);
		uint64_t no = pk_get_u(&row);
		uint64_t end = pk_get_u(&row);
		struct ups_answer a = {.status = (int)pk_get_u(&row)};
		struct lstr body = pk_get_str(&row);

		if (!pk_in_ok(&row) || end >= UPS_ENDS)
			return;
		evbuffer_add(r->body, body.p, body.len);
		a.body = r->body;
		rly_end(r, no, (enum ups_end)end, &a);
		evbuffer_drain(r->body, evbuffer_get_length(r->body));
	}
}

/*
 * A carrier told its clock. What an answer takes to be read makes the clock look
 * behind, never ahead: the largest difference is the best, so that answers which
 * lie in the sockets of a busy leader make no call look old. Clocks may differ
 * by 1 in 50 in how fast they go; one that goes back began anew.
 */
static void rly_heard(struct rly_way *w, int64_t clock_ms, int64_t now)
{
	int64_t ahead = clock_ms - now;

	if (w->heard_ms && clock_ms >= w->clock_ms)
		ahead = MAX(ahead, w->ahead_ms - (now - w->heard_ms) / 50);
	w->ahead_ms = ahead;
	w->clock_ms = clock_ms;
	w->heard_ms = now;
}

/* Counters since the start. */
struct rly_stats rly_stats(const struct rly *r)
{
	return r->stats;
}

/* What is kept of a carrier, begun here if it is new. */
static struct rly_way *rly_way_of(struct rly *r, const char *carrier)
{
	struct rly_way *w = g_hash_table_lookup(r->ways, carrier);

	if (w)
		return w;
	w = g_new0(struct rly_way, 1);
	pk_out_init(&w->calls);
	w->nos = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_hash_table_insert(r->ways, g_strdup(carrier), w);
	return w;
}

/* Frees what is kept of a carrier. */
static void rly_way_free(gpointer arg)
{
	struct rly_way *w = arg;

	pk_out_done(&w->calls);
	g_array_free(w->nos, TRUE);
	g_free(w);
}

/* [number, address, path, limit, limit to connect, urgent, most, headers, body] */
static void rly_put(struct rly_way *w, uint64_t no, const struct ups_request *q)
{
	size_t len = q->body ? evbuffer_get_length(q->body) : 0;
	size_t i;

	pk_arr(&w->calls, 9);
	pk_u(&w->calls, no);
	pk_cstr(&w->calls, q->addr);
	pk_cstr(&w->calls, q->uri);
	pk_i(&w->calls, q->timeout_ms);
	pk_i(&w->calls, q->connect_ms);
	pk_bool(&w->calls, q->urgent);
	pk_i(&w->calls, q->max_answer);
	pk_arr(&w->calls, 2 * q->n_headers);
	for (i = 0; i < q->n_headers; i++) {
		pk_cstr(&w->calls, q->headers[i].name);
		pk_cstr(&w->calls, q->headers[i].value);
	}
	pk_str(&w->calls,
	       lstr_n(len ? (char *)evbuffer_pullup(q->body, -1) : "", len));
}

/* Sends what this turn of the loop has gathered. */
static void rly_flush(void *arg, int64_t now)
{
	struct rly *r = arg;
	GHashTableIter it;
	char *carrier;
	struct rly_way *w;

	r->flush_timer = 0;
	g_hash_table_iter_init(&it, r->ways);
	while (g_hash_table_iter_next(&it, (gpointer *)&carrier,
				      (gpointer *)&w))
		if (w->nos->len)
			rly_send(r, carrier, w);
}

/*
 * Sends what there is for a carrier: [kind, term, its clock, calls]. Its clock is
 * as far as it is known, never ahead of what it shows; 0: not at all.
 */
static void rly_send(struct rly *r, const char *carrier, struct rly_way *w)
{
	int64_t by_ms = 0;
	struct pk_out o;
	guint i;

	if (w->heard_ms)
		by_ms = tmr_now(r->tmr) + w->ahead_ms;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_CARRY);
	pk_u(&o, r->term);
	pk_i(&o, by_ms);
	pk_arr(&o, w->nos->len);
	msgpack_sbuffer_write(&o.buf, w->calls.buf.data, w->calls.buf.size);
	if (!r->ops->send(r->arg, carrier, pk_out_view(&o))) {
		/* told as lost with the next tick: never from within a start */
		for (i = 0; i < w->nos->len; i++) {
			struct rly_call *c = g_hash_table_lookup(
				r->calls, &g_array_index(w->nos, uint64_t, i));

			if (c)
				c->until_ms = 0;
		}
	}
	pk_out_done(&o);
	rly_clear(w);
}

/* Forgets what was to be sent. */
static void rly_clear(struct rly_way *w)
{
	msgpack_sbuffer_clear(&w->calls.buf);
	g_array_set_size(w->nos, 0);
}

/* Ends calls of which no carrier has told anything in time. */
static void rly_tick(void *arg, int64_t now)
{
	struct rly *r = arg;
	GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter it;
	struct rly_call *c;
	guint i;

	g_hash_table_iter_init(&it, r->calls);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&c))
		if (now >= c->until_ms)
			g_array_append_val(lost, c->no);
	r->stats.lost += lost->len;
	for (i = 0; i < lost->len; i++)
		rly_end(r, g_array_index(lost, uint64_t, i), UPS_LOST,
			&(struct ups_answer){0});
	g_array_free(lost, TRUE);
}

/* Tells the end of a call, unless it is over for its owner. */
static void rly_end(struct rly *r, uint64_t no, enum ups_end end,
		    const struct ups_answer *a)
{
	struct rly_call *c = g_hash_table_lookup(r->calls, &no);
	struct rly_call copy;

	if (!c)
		return;
	copy = *c;
	g_hash_table_remove(r->calls, &no);
	copy.ops->end(copy.arg, end, a);
}
