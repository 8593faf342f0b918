#include "hub_int.h"

#include <time.h>

/* Size at which a batch is proposed without delay, bytes. */
#define HUB_BATCH_FLUSH_BYTES (256u << 10)
/*
 * Most bytes of several commands in one entry: a quarter of the longest message
 * between replicas. A single command is longer than that only if a caller's
 * body is.
 */
#define HUB_ENTRY_MAX_BYTES (1u << 20)
/*
 * Bytes of commands that wait for the log, beyond which callers are told to come
 * back: twice what the log takes before it is stored.
 */
#define HUB_BEHIND_BYTES (16u << 20)
/* Delay until a proposal that the log refused is repeated, ms. */
#define HUB_REFUSED_RETRY_MS 10

static void hub_schedule_flush(struct hub *h);
static void hub_on_flush_timer(void *arg, int64_t now);
static void hub_propose_batch(struct hub *h);
static bool hub_propose_entry(struct hub *h);
static GArray *hub_take_waiters(struct hub *h, guint n);
static void hub_start_read(struct hub *h);
static void hub_resume_waiters(struct hub *h, GArray *waiters, bool ok);
static GArray *hub_waiters_new(void);
static struct hub_inflight *hub_inflight_new(const struct hub *h,
					     GArray *waiters);
static void hub_inflight_free(struct hub_inflight *f);

/* Initialises the batch and the reads, with no commands. */
void hub_log_init(struct hub *h)
{
	bat_init(&h->batch);
	h->batch_waiters = hub_waiters_new();
	h->read_waiters = hub_waiters_new();
	h->proposals = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	h->reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
}

/* Frees the batch and the waiting calls, which get no result. */
void hub_log_free(struct hub *h)
{
	hub_log_abort(h);
	bat_done(&h->batch);
	g_array_free(h->batch_waiters, TRUE);
	g_array_free(h->read_waiters, TRUE);
	g_hash_table_destroy(h->proposals);
	g_hash_table_destroy(h->reads);
}

/* Returns the time of day, ms since 1970. */
int64_t hub_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Returns the buffer to pack the next command into; the command is proposed
 * with the batch.
 */
struct pk_out *hub_append_command(struct hub *h)
{
	hub_schedule_flush(h);
	return bat_add(&h->batch);
}

/*
 * Resumes a call once all commands packed so far are committed. If leadership
 * is lost before, the call ends without an answer, since its outcome is not
 * known.
 */
void hub_commit(struct hub *h, struct hub_call *c, hub_resume_fn resume)
{
	struct hub_waiter w = {
		.c = c,
		.resume = resume,
		.after = h->batch_proposed + bat_count(&h->batch),
	};

	c->refs++;
	g_array_append_val(h->batch_waiters, w);
	hub_schedule_flush(h);
}

/*
 * Refuses a call whose command would wait behind more than the log can take for
 * a while; returns false if there is room.
 */
bool hub_refuse_behind(struct hub *h, struct hub_call *c)
{
	if (bat_bytes(&h->batch) <= HUB_BEHIND_BYTES)
		return false;
	h->counts[HUB_BEHIND]++;
	hub_answer_later(h, c);
	return true;
}

/*
 * Resumes a call once a majority has confirmed that this replica leads: the
 * state it then reads is no older than the call, even after a network partition
 * or a process pause.
 */
void hub_read(struct hub *h, struct hub_call *c, hub_resume_fn resume)
{
	struct hub_waiter w = {.c = c, .resume = resume};

	c->refs++;
	g_array_append_val(h->read_waiters, w);
	hub_schedule_flush(h);
}

/* The entry at that log index was applied: resumes its calls. */
void hub_log_applied(struct hub *h, uint64_t index)
{
	struct hub_inflight *f = g_hash_table_lookup(h->proposals, &index);
	int64_t took_ms;

	if (!f)
		return;
	g_hash_table_remove(h->proposals, &index);
	took_ms = tmr_now(h->tmr) - f->started_ms;
	hub_record_time(h, HUB_COMMIT, took_ms);
	gcm_stored(&h->gcm, took_ms);
	hub_resume_waiters(h, f->waiters, true);
	hub_inflight_free(f);
}

/* The read of that tag may be served, or leadership was lost. */
void hub_log_read_done(struct hub *h, uint64_t tag, bool ok)
{
	struct hub_inflight *f = g_hash_table_lookup(h->reads, &tag);

	if (!f)
		return;
	g_hash_table_remove(h->reads, &tag);
	if (ok)
		hub_record_time(h, HUB_READ, tmr_now(h->tmr) - f->started_ms);
	hub_resume_waiters(h, f->waiters, ok);
	hub_inflight_free(f);
	if (ok && h->read_waiters->len)
		hub_schedule_flush(h);
}

/* Leadership was lost: ends all calls that wait for the log. */
void hub_log_abort(struct hub *h)
{
	GList *lists = g_hash_table_get_values(h->proposals);
	GList *i;

	lists = g_list_concat(lists, g_hash_table_get_values(h->reads));
	for (i = lists; i; i = i->next) {
		struct hub_inflight *f = i->data;

		hub_resume_waiters(h, f->waiters, false);
		hub_inflight_free(f);
	}
	g_list_free(lists);
	g_hash_table_remove_all(h->proposals);
	g_hash_table_remove_all(h->reads);
	hub_resume_waiters(h, h->batch_waiters, false);
	g_array_set_size(h->batch_waiters, 0);
	hub_resume_waiters(h, h->read_waiters, false);
	g_array_set_size(h->read_waiters, 0);
	bat_drop(&h->batch, bat_count(&h->batch));
	h->log_refused = false;
}

/* Schedules the proposal of the collected commands. */
static void hub_schedule_flush(struct hub *h)
{
	int64_t wait = gcm_wait_ms(&h->gcm, tmr_now(h->tmr));

	if (h->flush_timer)
		return;
	if (bat_bytes(&h->batch) > HUB_BATCH_FLUSH_BYTES)
		wait = 0;
	if (h->log_refused)
		wait = MAX(wait, HUB_REFUSED_RETRY_MS);
	h->flush_timer = tmr_once(h->tmr, wait, hub_on_flush_timer, h);
}

/* Proposes the collected commands and starts the next read. */
static void hub_on_flush_timer(void *arg, int64_t now)
{
	struct hub *h = arg;

	h->flush_timer = 0;
	gcm_sent(&h->gcm, now);
	if (!h->leading) {
		hub_log_abort(h);
		return;
	}
	hub_propose_batch(h);
	hub_start_read(h);
}

/*
 * Proposes the collected commands, in entries that fit into a message. What the
 * log takes no more of now, while leadership is handed over or too much is not
 * stored yet, is proposed later.
 */
static void hub_propose_batch(struct hub *h)
{
	h->log_refused = false;
	while (!h->log_refused &&
	       (bat_count(&h->batch) || h->batch_waiters->len))
		h->log_refused = !hub_propose_entry(h);
	if (h->log_refused)
		hub_schedule_flush(h);
}

/* Proposes the next entry; returns false if the log refuses it. */
static bool hub_propose_entry(struct hub *h)
{
	guint n = bat_fitting(&h->batch, HUB_ENTRY_MAX_BYTES);
	struct pk_out o;
	uint64_t index;
	bool ok;

	pk_out_init(&o);
	bat_pack(&h->batch, n, &o);
	ok = rep_propose(h->rep, pk_out_view(&o), &index);
	pk_out_done(&o);
	if (!ok)
		return false;
	h->counts[HUB_BATCHES]++;
	g_hash_table_insert(h->proposals, g_memdup2(&index, sizeof(index)),
			    hub_inflight_new(h, hub_take_waiters(h, n)));
	bat_drop(&h->batch, n);
	return true;
}

/*
 * Returns the calls that wait for the first n commands of the batch, and removes
 * them from those that wait for it.
 */
static GArray *hub_take_waiters(struct hub *h, guint n)
{
	GArray *all = h->batch_waiters;
	GArray *taken = hub_waiters_new();
	guint i;

	h->batch_proposed += n;
	for (i = 0; i < all->len; i++) {
		struct hub_waiter *w =
			&g_array_index(all, struct hub_waiter, i);

		if (w->after > h->batch_proposed)
			break;
		g_array_append_val(taken, *w);
	}
	g_array_remove_range(all, 0, i);
	return taken;
}

/*
 * Starts a read for all calls that arrived while the previous read was in
 * progress; only one read is in progress at a time.
 */
static void hub_start_read(struct hub *h)
{
	uint64_t tag = h->next_read_tag;

	if (!h->read_waiters->len || g_hash_table_size(h->reads))
		return;
	h->next_read_tag++;
	h->counts[HUB_READS]++;
	g_hash_table_insert(h->reads, g_memdup2(&tag, sizeof(tag)),
			    hub_inflight_new(h, h->read_waiters));
	h->read_waiters = hub_waiters_new();
	if (!rep_read(h->rep, tag))
		hub_log_read_done(h, tag, false);
}

/*
 * Resumes the waiting calls of an entry or a read, or ends them if it failed.
 */
static void hub_resume_waiters(struct hub *h, GArray *waiters, bool ok)
{
	guint i;

	for (i = 0; i < waiters->len; i++) {
		struct hub_waiter *w =
			&g_array_index(waiters, struct hub_waiter, i);

		if (ok && !w->c->answered)
			w->resume(h, w->c);
		else if (!ok && !w->c->answered &&
			 w->c->origin == HUB_FROM_CONTROL)
			hub_answer_later(h, w->c);
		else if (!ok && !w->c->answered) {
			h->counts[HUB_UNKNOWN_CALLS]++;
			hub_call_disconnect(w->c);
		}
		hub_call_unref(w->c);
	}
}

/* Returns an empty list of waiting calls. */
static GArray *hub_waiters_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct hub_waiter));
}

/*
 * Returns a record of a proposal or read that starts now; takes over waiters.
 */
static struct hub_inflight *hub_inflight_new(const struct hub *h,
					     GArray *waiters)
{
	struct hub_inflight *f = g_new0(struct hub_inflight, 1);

	f->waiters = waiters;
	f->started_ms = tmr_now(h->tmr);
	return f;
}

/* Frees a record with its list. */
static void hub_inflight_free(struct hub_inflight *f)
{
	g_array_free(f->waiters, TRUE);
	g_free(f);
}
