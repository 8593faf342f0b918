#include "rly.h"

#include "proto.h"

/*
 * Answers gather for so long, ms: with a message for each the leader's side
 * would cost as much as calls of its own.
 */
#define RLY_GATHER_MS 3
/* Bytes of answers that go at once. */
#define RLY_ANSWERS_MAX (128u << 10)
/*
 * Calls whose mark is so old by our clock are dropped, ms: this replica or the
 * leader stood still, and may have been replaced. It leaves room for the way
 * there and back and some turns of both loops.
 */
#define RLY_LATE_MS 400

/* A leader's connection: what it sent, and answers not sent back yet. */
struct rly_source {
	struct rly_carry *r;
	struct wire_conn *conn;
	struct pk_out answers; /* one after another */
	uint32_t n;
	uint64_t flush_timer;
};

/* A call that is being made. */
struct rly_job {
	struct rly_source *s;
	uint64_t no;
	struct ups_call *call;
	struct evbuffer *body;
	int64_t until_ms; /* not to be written later */
};

struct rly_carry {
	struct tmr *tmr;
	struct ups *ups;
	rly_tell tell;
	GHashTable *sources; /* connection: struct rly_source */
	GHashTable *jobs; /* struct rly_job */
	struct rly_stats stats;
};

static struct rly_source *rly_source_of(struct rly_carry *r,
					struct wire_conn *conn);
static void rly_source_free(gpointer arg);
static bool rly_is_late(const struct rly_carry *r, int64_t by_ms);
static bool rly_carry_one(struct rly_source *s, struct pk_in *row, bool late);
static bool rly_may(void *arg);
static void rly_on_end(void *arg, enum ups_end end, const struct ups_answer *a);
static void rly_answer(struct rly_source *s, uint64_t no, enum ups_end end,
		       int status, struct lstr body);
static void rly_answers_soon(struct rly_source *s);
static void rly_answers_go(void *arg, int64_t now);
static void rly_job_free(gpointer arg);

static const struct ups_ops rly_ups_ops = {
	.may = rly_may,
	.end = rly_on_end,
};

/* Makes calls for leaders over ups, which must outlive it. */
struct rly_carry *rly_carry_new(struct tmr *tmr, struct ups *ups, rly_tell tell)
{
	struct rly_carry *r = g_new0(struct rly_carry, 1);

	r->tmr = tmr;
	r->ups = ups;
	r->tell = tell;
	r->sources = g_hash_table_new_full(NULL, NULL, NULL, rly_source_free);
	r->jobs = g_hash_table_new_full(NULL, NULL, rly_job_free, NULL);
	return r;
}

/* Frees it; calls that are open are broken off. */
void rly_carry_free(struct rly_carry *r)
{
	if (!r)
		return;
	rly_carry_drop(r);
	g_hash_table_destroy(r->jobs);
	g_hash_table_destroy(r->sources);
	g_free(r);
}

/*
 * A leader's batch: [term, our clock as it knew it, calls]. Where its term is
 * over, or the batch is late, nothing of it is tried, and the leader is told so.
 * An empty one asks for our clock.
 */
void rly_carry_calls(struct rly_carry *r, struct wire_conn *conn,
		     uint64_t own_term, struct pk_in *in)
{
	uint64_t term = pk_get_u(in);
	int64_t by_ms = pk_get_i(in);
	struct pk_in rows = pk_get_arr(in);
	struct rly_source *s = rly_source_of(r, conn);
	bool late;

	if (!pk_in_ok(in))
		return;
	late = rly_is_late(r, by_ms) || term < own_term;
	rly_answers_soon(s);
	while (pk_in_ok(&rows) && pk_in_left(&rows)) {
		struct pk_in row = pk_get_arr(&rows);

		r->stats.carried++;
		r->stats.dropped += late;
		if (!rly_carry_one(s, &row, late))
			return;
	}
}

/* A leader's connection is gone: what it asked for is broken off. */
void rly_carry_gone(struct rly_carry *r, const struct wire_conn *conn)
{
	GHashTableIter it;
	struct rly_job *j;

	g_hash_table_iter_init(&it, r->jobs);
	while (g_hash_table_iter_next(&it, (gpointer *)&j, NULL))
		if (j->s->conn == conn)
			g_hash_table_iter_remove(&it);
	g_hash_table_remove(r->sources, conn);
}

/* Breaks off all calls: we lead now, or end. */
void rly_carry_drop(struct rly_carry *r)
{
	g_hash_table_remove_all(r->jobs);
}

/* Counters since the start. */
struct rly_stats rly_carry_stats(const struct rly_carry *r)
{
	return r->stats;
}

/* What is kept of a leader's connection, begun here if it is new. */
static struct rly_source *rly_source_of(struct rly_carry *r,
					struct wire_conn *conn)
{
	struct rly_source *s = g_hash_table_lookup(r->sources, conn);

	if (s)
		return s;
	s = g_new0(struct rly_source, 1);
	s->r = r;
	s->conn = conn;
	pk_out_init(&s->answers);
	g_hash_table_insert(r->sources, conn, s);
	return s;
}

/* Frees what is kept of a connection. */
static void rly_source_free(gpointer arg)
{
	struct rly_source *s = arg;

	tmr_cancel(s->r->tmr, s->flush_timer);
	pk_out_done(&s->answers);
	g_free(s);
}

/*
 * Whether a batch took long to get here. It is marked with our own clock as the
 * leader knew it, so that also the first one after a standstill is seen to be
 * late. A mark that is ahead is of a clock that began anew since.
 */
static bool rly_is_late(const struct rly_carry *r, int64_t by_ms)
{
	int64_t age_ms = tmr_now(r->tmr) - by_ms;

	return age_ms < 0 || age_ms > RLY_LATE_MS;
}

/* Begins one call of a batch; false: it can't be read. */
static bool rly_carry_one(struct rly_source *s, struct pk_in *row, bool late)
{
	uint64_t no = pk_get_u(row);
	char *addr = lstr_dup(pk_get_str(row));
	char *uri = lstr_dup(pk_get_str(row));
	struct ups_request q = {
		.addr = addr,
		.method = EVHTTP_REQ_POST,
		.uri = uri,
	};
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	struct pk_in pairs;
	struct lstr body;
	struct rly_job *j;
	bool ok;
	guint i;

	q.timeout_ms = pk_get_i(row);
	q.connect_ms = pk_get_i(row);
	q.urgent = pk_get_bool(row);
	q.max_answer = pk_get_i(row);
	pairs = pk_get_arr(row);
	while (pk_in_ok(&pairs) && pk_in_left(&pairs)) {
		struct ups_header h;

		h.name = lstr_dup(pk_get_str(&pairs));
		h.value = lstr_dup(pk_get_str(&pairs));
		g_array_append_val(headers, h);
	}
	body = pk_get_str(row);
	ok = pk_in_ok(row) && pk_in_ok(&pairs) && strchr(addr, ':');
	q.headers = (const struct ups_header *)headers->data;
	q.n_headers = headers->len;
	if (ok && late) {
		rly_answer(s, no, UPS_NO_ROOM, 0, lstr_n("", 0));
	} else if (ok) {
		j = g_new0(struct rly_job, 1);
		j->s = s;
		j->no = no;
		j->body = evbuffer_new();
		j->until_ms = tmr_now(s->r->tmr) + q.timeout_ms;
		evbuffer_add(j->body, body.p, body.len);
		q.body = j->body;
		g_hash_table_add(s->r->jobs, j);
		j->call = ups_start(s->r->ups, &q, &rly_ups_ops, j);
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
 * Whether a call may still be written. One whose connection came while this
 * replica stood still would else be written as it wakes, before its limit is
 * looked at: the leader has long had it made another way.
 */
static bool rly_may(void *arg)
{
	const struct rly_job *j = arg;

	return tmr_now(j->s->r->tmr) <= j->until_ms;
}

/* A call ended: the leader is told. */
static void rly_on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct rly_job *j = arg;
	struct lstr body = {0};

	j->call = NULL;
	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	rly_answer(j->s, j->no, end, a->status, body.p ? body : lstr_n("", 0));
	g_hash_table_remove(j->s->r->jobs, j);
}

/* Adds an answer to those that go next. */
static void rly_answer(struct rly_source *s, uint64_t no, enum ups_end end,
		       int status, struct lstr body)
{
	pk_arr(&s->answers, 4);
	pk_u(&s->answers, no);
	pk_u(&s->answers, end);
	pk_u(&s->answers, (uint64_t)MAX(status, 0));
	pk_str(&s->answers, body);
	s->n++;
	if (s->answers.buf.size > RLY_ANSWERS_MAX)
		rly_answers_go(s, 0);
	else
		rly_answers_soon(s);
}

/* Has what is to be told go with what else there is by then. */
static void rly_answers_soon(struct rly_source *s)
{
	if (!s->flush_timer)
		s->flush_timer =
			tmr_once(s->r->tmr, RLY_GATHER_MS, rly_answers_go, s);
}

/* Sends our clock and the answers gathered: [kind, clock, answers]. */
static void rly_answers_go(void *arg, int64_t now)
{
	struct rly_source *s = arg;
	struct pk_out o;

	tmr_cancel(s->r->tmr, s->flush_timer);
	s->flush_timer = 0;
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CARRIED);
	pk_i(&o, tmr_now(s->r->tmr));
	pk_arr(&o, s->n);
	msgpack_sbuffer_write(&o.buf, s->answers.buf.data, s->answers.buf.size);
	s->r->tell(s->conn, pk_out_view(&o));
	pk_out_done(&o);
	msgpack_sbuffer_clear(&s->answers.buf);
	s->n = 0;
}

/* Frees a call; one that is open is broken off. */
static void rly_job_free(gpointer arg)
{
	struct rly_job *j = arg;

	if (j->call)
		ups_cancel(j->call);
	evbuffer_free(j->body);
	g_free(j);
}
