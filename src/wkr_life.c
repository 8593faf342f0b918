#include "wkr_int.h"

/*
 * Lifetimes of workers that start again under the id that they had. Orders name
 * a worker by its id, so that whatever is still on its way to the earlier
 * process is taken by the next one, which has seen neither fence nor stop.
 */

static void wkr_drop_expired(GPtrArray *late, int64_t now);
static gboolean wkr_is_expired(gpointer id, gpointer kept, gpointer arg);
static void wkr_expect_late(struct wkr_session *s, GPtrArray *late);

/*
 * Remembers a run that is over and of which an order was not answered. The
 * process that ran it refuses a late start; the next one under its id wouldn't.
 */
void wkr_record_late(struct wkr_session *s, const struct jtb_run *run)
{
	int64_t now = tmr_now(s->k->config.tmr);
	struct wkr_stale_start *late;

	if (!s->started_ms ||
	    (!run->orders_unanswered && run->phase != WKR_SENT))
		return;
	wkr_drop_expired(s->late, now);
	late = g_new0(struct wkr_stale_start, 1);
	jtb_name_of(run, &late->name);
	late->attempt = run->attempt;
	late->at_ms = now;
	g_ptr_array_add(s->late, late);
}

/*
 * The worker has confirmed that it will never accept a start. Its next lifetime
 * would, so the start is remembered until it can't arrive any more.
 */
void wkr_confirm_stale(struct wkr_session *s, struct wkr_stale_start *stale)
{
	guint at;

	if (!g_ptr_array_find(s->stale, stale, &at))
		return;
	if (s->started_ms)
		g_ptr_array_add(s->late, g_ptr_array_steal_index(s->stale, at));
	else
		g_ptr_array_remove_index(s->stale, at);
}

/* Drops starts that are too old to arrive. */
static void wkr_drop_expired(GPtrArray *late, int64_t now)
{
	guint i;

	for (i = late->len; i > 0; i--) {
		const struct wkr_stale_start *l =
			g_ptr_array_index(late, i - 1);

		if (now - l->at_ms > WKR_LATE_MS)
			g_ptr_array_remove_index(late, i - 1);
	}
}

/*
 * Keeps the starts that may still arrive under a worker's id beyond its
 * session, as the worker may start again under that id.
 */
void wkr_keep_departed(struct wkr_session *s)
{
	GPtrArray *kept;

	if (!s->started_ms)
		return;
	wkr_expect_late(s, s->late);
	if (!s->stale->len)
		return;
	g_hash_table_foreach_remove(s->k->departed, wkr_is_expired, s);
	kept = g_ptr_array_new_with_free_func(g_free);
	while (s->stale->len)
		g_ptr_array_add(kept, g_ptr_array_steal_index(s->stale, 0));
	g_hash_table_replace(s->k->departed, g_strdup(s->w->info.id), kept);
}

/* Whether all starts kept for a worker's id are too old to arrive. */
static gboolean wkr_is_expired(gpointer id, gpointer kept, gpointer arg)
{
	const struct wkr_session *s = arg;
	GPtrArray *late = kept;

	wkr_drop_expired(late, tmr_now(s->k->config.tmr));
	return late->len == 0;
}

/* Takes over what may still arrive from an earlier session under this id. */
void wkr_take_departed(struct wkr_session *s)
{
	GPtrArray *kept = g_hash_table_lookup(s->k->departed, s->w->info.id);

	if (!kept)
		return;
	wkr_expect_late(s, kept);
	s->late_until = tmr_now(s->k->config.tmr) + WKR_LATE_MS +
			s->k->config.hold_max_ms;
	g_hash_table_remove(s->k->departed, s->w->info.id);
}

/*
 * Moves starts that may still arrive to those that the worker must be told not
 * to accept before it gets a lease or work.
 */
static void wkr_expect_late(struct wkr_session *s, GPtrArray *late)
{
	guint i;

	wkr_drop_expired(late, tmr_now(s->k->config.tmr));
	while (late->len)
		g_ptr_array_add(s->stale, g_ptr_array_steal_index(late, 0));
	for (i = 0; i < s->stale->len; i++) {
		struct wkr_stale_start *stale = g_ptr_array_index(s->stale, i);

		stale->stopping = false;
	}
}

/*
 * Begins the session anew with a worker whose next lifetime is in the job
 * table: nothing that was known of the process holds for this one. It is polled
 * at once, so that it sees the fence.
 */
void wkr_begin_lifetime(struct wkr_session *s)
{
	int64_t now = tmr_now(s->k->config.tmr);
	bool known = s->started_ms != 0;
	guint i;

	s->started_ms = s->w->info.started_ms;
	s->superseded = false;
	/* The same process, of which the start was not known. */
	if (!known)
		return;
	wkr_session_cancel(s);
	wkr_expect_late(s, s->late);
	s->polled = false;
	s->lists_ends = false;
	s->ack_withheld = false;
	/* its lease is counted from here, as no other may have been granted */
	s->state = (struct evd_worker){.granted_at = now};
	s->retry_ms = WKR_RETRY_MIN_MS;
	s->backoff_until = 0;
	s->await_end_no = 0;
	s->abandoned = false;
	s->w->restarted_ms = now;
	s->k->stats.restarts++;
	for (i = 0; i < s->w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(s->w->runs, i);

		/* a call in flight was cancelled, and may have been made */
		run->orders_unanswered += run->phase == WKR_SENT;
		run->phase = WKR_NEW;
		run->may_have_started = true;
		run->first_running_ms = 0;
		run->last_running_ms = 0;
		run->percent = -1;
		run->ordered_ms = now;
		run->stop_wanted = true;
	}
	s->doubted_ms = 0;
	s->late_until = now + WKR_LATE_MS + s->k->config.hold_max_ms;
}

/*
 * Whether an order to an earlier lifetime may still give a worker a lease: it
 * was counted by the clock of the earlier process, so that this one may hold it
 * for as long as workers accept. An expired lease of ours says nothing then.
 */
bool wkr_awaits_late_order(const struct wkr_session *s, int64_t now)
{
	return now <= s->late_until;
}

/*
 * Records a call without an answer: the worker may have started again under its
 * id. The next process would take a lease from us with a start that is still on
 * its way, and forget its own first ends by the earlier lifetime's
 * acknowledgement; tasks would run twice either way.
 */
void wkr_doubt_lifetime(struct wkr_session *s)
{
	if (s->started_ms)
		s->doubted_ms = tmr_now(s->k->config.tmr);
}

/*
 * Whether a worker may be in a later lifetime than it last showed. An answer to
 * an order doesn't name the lifetime, so it disproves nothing that a list has
 * shown.
 */
bool wkr_may_have_restarted(const struct wkr_session *s)
{
	return s->started_ms && (s->state.failed_since || !s->polled ||
				 s->doubted_ms || s->superseded);
}

/*
 * Returns the end up to which the worker may forget its ends; 0: none. Ends are
 * numbered anew in each lifetime and a hold names none, so that the number of
 * one lifetime would make the next forget ends that nobody has read. A process
 * has ends only of starts that it carried out: while the lifetime that lists
 * show has carried out all starts, the next one has nothing to forget.
 */
uint64_t wkr_ack_no(const struct wkr_session *s)
{
	guint i;

	if (!s->started_ms)
		return s->w->last_end_no;
	if (!s->lists_ends || wkr_may_have_restarted(s))
		return 0;
	for (i = 0; i < s->w->runs->len; i++)
		if (evd_may_be_of_successor(g_ptr_array_index(s->w->runs, i),
					    s->k->led_since, s->shown_ms))
			return 0;
	return s->w->last_end_no;
}

/*
 * Whether a list is of the lifetime that the session is with. A later one is
 * told by the worker's next report, which also says what the worker is now:
 * until then it gets neither lease nor work.
 */
bool wkr_is_lifetime(struct wkr_session *s, const struct wkr_report *r)
{
	if (!s->started_ms || r->started_ms == s->started_ms) {
		s->superseded = false;
		return true;
	}
	s->k->stats.foreign_lists++;
	s->superseded |= r->started_ms > s->started_ms;
	msg(MSG_WKR_FOREIGN,
	    "worker=%s addr=%s started_ms=%" PRId64 " listed_ms=%" PRId64,
	    s->w->info.id, s->w->info.addr, s->started_ms, r->started_ms);
	return false;
}

/*
 * Returns the names, struct jtb_name, of a worker's runs whose start may still
 * arrive at its next lifetime.
 */
GArray *wkr_reachable_runs(const struct jtb_worker *w)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		struct jtb_name n = {0};

		if (!evd_may_reach_successor(run))
			continue;
		jtb_name_of(run, &n);
		g_array_append_val(out, n);
	}
	return out;
}

/*
 * Whether evidence that a worker is over says nothing: it is older than the
 * worker's lifetime, or its next lifetime is proposed.
 */
bool wkr_evidence_is_outdated(const struct jtb_worker *w, int64_t as_of_ms)
{
	return w->restart_proposed ||
	       (w->restarted_ms && as_of_ms < w->restarted_ms);
}
