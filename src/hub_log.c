#include "hub_int.h"

#include <time.h>

/* Bytes of a batch that goes at once. */
#define HUB_BATCH_MAX (256u << 10)

static void hub_flush_soon(struct hub *h);
static void hub_flush_timer(void *arg, int64_t now);
static void hub_flush(struct hub *h);
static void hub_flush_reads(struct hub *h);
static void hub_go_on(struct hub *h, GArray *waits, bool ok);
static GArray *hub_waits_new(void);
static struct hub_flight *hub_flight_new(const struct hub *h, GArray *waits);
static void hub_flight_free(struct hub_flight *f);

/* Begins without commands. */
void hub_log_init(struct hub *h)
{
	pk_out_init(&h->batch);
	h->batch_waits = hub_waits_new();
	h->read_waits = hub_waits_new();
	h->flights = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	h->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
}

/* Frees what waits; nobody is told. */
void hub_log_free(struct hub *h)
{
	hub_log_drop(h);
	pk_out_done(&h->batch);
	g_array_free(h->batch_waits, TRUE);
	g_array_free(h->read_waits, TRUE);
	g_hash_table_destroy(h->flights);
	g_hash_table_destroy(h->reads);
}

/* The time of day, ms since 1970. */
int64_t hub_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Where the next command is to be packed; it goes out with the batch. */
struct pk_out *hub_put(struct hub *h)
{
	h->batch_n++;
	hub_flush_soon(h);
	return &h->batch;
}

/*
 * Goes on with a call once all commands put so far are final. Where leadership
 * is lost before, the call ends without an answer: its outcome isn't known.
 */
void hub_commit(struct hub *h, struct hub_call *c, hub_then then)
{
	struct hub_wait w = {.c = c, .then = then};

	c->holds++;
	g_array_append_val(h->batch_waits, w);
	hub_flush_soon(h);
}

/*
 * Goes on with a call once a majority has confirmed that we lead: what it then
 * reads is no older than the call, even if we were cut off or stood still.
 */
void hub_read(struct hub *h, struct hub_call *c, hub_then then)
{
	struct hub_wait w = {.c = c, .then = then};

	c->holds++;
	g_array_append_val(h->read_waits, w);
	hub_flush_soon(h);
}

/* The batch at that place of the log was applied. */
void hub_log_applied(struct hub *h, uint64_t index)
{
	struct hub_flight *f = g_hash_table_lookup(h->flights, &index);
	int64_t took_ms;

	if (!f)
		return;
	g_hash_table_remove(h->flights, &index);
	took_ms = tmr_now(h->tmr) - f->since_ms;
	hub_time(h, HUB_COMMIT, took_ms);
	gcm_stored(&h->gcm, took_ms);
	hub_go_on(h, f->waits, true);
	hub_flight_free(f);
}

/* The read of that tag may be served, or leadership was lost. */
void hub_log_read(struct hub *h, uint64_t tag, bool ok)
{
	struct hub_flight *f = g_hash_table_lookup(h->reads, &tag);

	if (!f)
		return;
	g_hash_table_remove(h->reads, &tag);
	if (ok)
		hub_time(h, HUB_READ, tmr_now(h->tmr) - f->since_ms);
	hub_go_on(h, f->waits, ok);
	hub_flight_free(f);
	if (ok && h->read_waits->len)
		hub_flush_soon(h);
}

/* Leadership was lost: what waited for the log is let go. */
void hub_log_drop(struct hub *h)
{
	GList *lists = g_hash_table_get_values(h->flights);
	GList *i;

	lists = g_list_concat(lists, g_hash_table_get_values(h->reads));
	for (i = lists; i; i = i->next) {
		struct hub_flight *f = i->data;

		hub_go_on(h, f->waits, false);
		hub_flight_free(f);
	}
	g_list_free(lists);
	g_hash_table_remove_all(h->flights);
	g_hash_table_remove_all(h->reads);
	hub_go_on(h, h->batch_waits, false);
	g_array_set_size(h->batch_waits, 0);
	hub_go_on(h, h->read_waits, false);
	g_array_set_size(h->read_waits, 0);
	msgpack_sbuffer_clear(&h->batch.buf);
	h->batch_n = 0;
}

/* Has what was collected proposed within this turn of the loop. */
static void hub_flush_soon(struct hub *h)
{
	int64_t wait = gcm_wait_ms(&h->gcm, tmr_now(h->tmr));

	if (h->flush_timer)
		return;
	if (h->batch.buf.size > HUB_BATCH_MAX)
		wait = 0;
	h->flush_timer = tmr_once(h->tmr, wait, hub_flush_timer, h);
}

/* Proposes all commands that were collected, as one entry. */
static void hub_flush_timer(void *arg, int64_t now)
{
	struct hub *h = arg;

	h->flush_timer = 0;
	gcm_sent(&h->gcm, now);
	if (!h->leading) {
		hub_log_drop(h);
		return;
	}
	hub_flush(h);
	hub_flush_reads(h);
}

/* Proposes all commands gathered as one entry. */
static void hub_flush(struct hub *h)
{
	struct pk_out o;
	uint64_t index;
	bool ok;

	if (!h->batch_n && !h->batch_waits->len)
		return;
	pk_out_init(&o);
	pk_arr(&o, h->batch_n);
	msgpack_sbuffer_write(&o.buf, h->batch.buf.data, h->batch.buf.size);
	ok = rep_propose(h->rep, pk_out_view(&o), &index);
	pk_out_done(&o);
	if (!ok) {
		/* leadership is being handed over, or the log is full */
		hub_flush_soon(h);
		return;
	}
	h->counts[HUB_BATCHES]++;
	g_hash_table_insert(h->flights, g_memdup2(&index, sizeof(index)),
			    hub_flight_new(h, h->batch_waits));
	h->batch_waits = hub_waits_new();
	msgpack_sbuffer_clear(&h->batch.buf);
	h->batch_n = 0;
}

/* One read at a time stands for all that came while the last was asked. */
static void hub_flush_reads(struct hub *h)
{
	uint64_t tag = h->next_tag;

	if (!h->read_waits->len || g_hash_table_size(h->reads))
		return;
	h->next_tag++;
	h->counts[HUB_READS]++;
	g_hash_table_insert(h->reads, g_memdup2(&tag, sizeof(tag)),
			    hub_flight_new(h, h->read_waits));
	h->read_waits = hub_waits_new();
	if (!rep_read(h->rep, tag))
		hub_log_read(h, tag, false);
}

/* Tells all who waited for an entry whether it is stored. */
static void hub_go_on(struct hub *h, GArray *waits, bool ok)
{
	guint i;

	for (i = 0; i < waits->len; i++) {
		struct hub_wait *w = &g_array_index(waits, struct hub_wait, i);

		if (ok && !w->c->answered)
			w->then(h, w->c);
		else if (!ok && !w->c->answered && w->c->door == HUB_CONTROL)
			hub_status(h, w->c, 503);
		else if (!ok && !w->c->answered) {
			h->counts[HUB_UNKNOWN_CALLS]++;
			hub_call_gone(w->c);
		}
		hub_call_unref(w->c);
	}
}

/* Begins a list of who waits for an entry. */
static GArray *hub_waits_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct hub_wait));
}

/* Takes a list of those who wait for what goes out now. */
static struct hub_flight *hub_flight_new(const struct hub *h, GArray *waits)
{
	struct hub_flight *f = g_new0(struct hub_flight, 1);

	f->waits = waits;
	f->since_ms = tmr_now(h->tmr);
	return f;
}

/* Frees it with its list. */
static void hub_flight_free(struct hub_flight *f)
{
	g_array_free(f->waits, TRUE);
	g_free(f);
}
