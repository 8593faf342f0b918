#include "wkr_int.h"

static struct wkr_session *wkr_session_of(const struct jtb_worker *w);
static void wkr_session_free(gpointer p);
static void wkr_record_grant(struct wkr_session *s, int64_t until_ms,
			     int64_t now);
static bool wkr_has_leased_run(const struct wkr_session *s);
static const char *wkr_relay_of(const struct wkr_session *s);
static void wkr_call_cancel(struct wkr_call *c);
static void wkr_call_free(struct wkr_call *c);
static void wkr_on_call_end(void *arg, enum ups_end end,
			    const struct ups_answer *a);
static void wkr_ask_zone(struct wkr *k, const struct zon_zone *zone);
static bool wkr_may_ask(const struct wkr_session *s, int64_t now);
static void wkr_tick(void *arg, int64_t now);
static bool wkr_needs_poll(const struct wkr_session *s);
static void wkr_log_expiry(const struct wkr_session *s, const struct evd *e);

static const struct ups_ops wkr_ups_ops = {
	.end = wkr_on_call_end,
};

/*
 * Returns the sessions, idle until wkr_lead; the objects in config must outlive
 * them.
 */
struct wkr *wkr_new(const struct wkr_config *config, const struct wkr_ops *ops,
		    void *arg)
{
	struct wkr *k = g_new0(struct wkr, 1);

	k->config = *config;
	k->ops = ops;
	k->arg = arg;
	k->lease_ms = MIN(WKR_LEASE_MS, config->hold_max_ms);
	k->ups = ups_new(config->base, config->tmr);
	ups_set_idle_timeout(k->ups, WKR_REUSE_MS);
	ups_set_conns_max(k->ups, (unsigned int)config->conns_max);
	k->sessions = g_ptr_array_new_with_free_func(wkr_session_free);
	k->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	k->zones = zon_new();
	k->departed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	k->tick = tmr_every(config->tmr, 100, wkr_tick, k);
	return k;
}

/* Ends all sessions without any message to the workers. */
void wkr_free(struct wkr *k)
{
	if (!k)
		return;
	wkr_stop_leading(k);
	tmr_cancel(k->config.tmr, k->tick);
	ups_free(k->ups);
	g_ptr_array_free(k->sessions, TRUE);
	g_hash_table_destroy(k->runs);
	g_hash_table_destroy(k->departed);
	zon_free(k->zones);
	g_free(k);
}

/*
 * Begins a term as leader with a fencing token: polls every worker for its
 * runs.
 */
void wkr_lead(struct wkr *k, uint64_t fence)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	wkr_stop_leading(k);
	k->leading = true;
	k->fence = fence;
	k->led_since = tmr_now(k->config.tmr);
	g_hash_table_iter_init(&it, jtb_workers(k->config.jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		wkr_update_worker(k, w);
		for (i = 0; i < w->runs->len; i++) {
			struct jtb_run *run = g_ptr_array_index(w->runs, i);

			/* An earlier leader may have sent its start. */
			run->phase = WKR_NEW;
			run->may_have_started = true;
			run->inherited = true;
			run->orders_sent = 0;
			run->orders_unanswered = 0;
			run->end_evidence = (struct evd){0};
			/*
			 * Decisions of an earlier term of this replica are
			 * void.
			 */
			run->stop_wanted = run->stopping;
			run->percent = -1;
			run->still_ms = 0;
			run->ordered_ms = k->led_since;
			/* The pace that the last leader set isn't known. */
			if (run->job->spec.steps[run->step].flags &
			    JTB_BEST_EFFORT) {
				run->pace = WKR_INITIAL_PACE;
				run->pace_sent = -1;
			}
			wkr_add_run(k, run);
		}
	}
}

/* Ends the term as leader: no more orders are sent. */
void wkr_stop_leading(struct wkr *k)
{
	k->leading = false;
	g_ptr_array_set_size(k->sessions, 0);
	g_hash_table_remove_all(k->runs);
	g_hash_table_remove_all(k->departed);
	zon_clear(k->zones);
}

/* Opens the session with a worker that appeared, or updates it. */
void wkr_update_worker(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_session *s = wkr_session_of(w);

	if (!k->leading)
		return;
	if (!s) {
		s = g_new0(struct wkr_session, 1);
		s->k = k;
		s->w = w;
		s->calls = g_ptr_array_new();
		s->stale = g_ptr_array_new_with_free_func(g_free);
		s->late = g_ptr_array_new_with_free_func(g_free);
		s->started_ms = w->info.started_ms;
		s->retry_ms = WKR_RETRY_MIN_MS;
		w->owner = s;
		g_ptr_array_add(k->sessions, s);
		wkr_take_departed(s);
	} else if (s->started_ms != w->info.started_ms) {
		wkr_begin_lifetime(s);
	}
	s->zone = zon_zone(k->zones, w->info.zone);
	if (w->runs_lost_count != s->cleared)
		s->abandoned = false;
	if (!s->polled)
		wkr_send_hold(s);
}

/* Closes the session with a worker that is removed from the job table. */
void wkr_remove_worker(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_session *s = wkr_session_of(w);

	if (!s)
		return;
	wkr_keep_departed(s);
	g_ptr_array_remove_fast(k->sessions, s);
}

/* Adds a run that was added to the job table, and sends its start. */
void wkr_add_run(struct wkr *k, struct jtb_run *run)
{
	if (!k->leading)
		return;
	g_hash_table_insert(k->runs, &run->serial, run);
	wkr_schedule_orders(wkr_session_of(run->worker), 0);
}

/* Removes a run that is removed from the job table. */
void wkr_remove_run(struct wkr *k, struct jtb_run *run)
{
	struct wkr_session *s = wkr_session_of(run->worker);

	g_hash_table_remove(k->runs, &run->serial);
	if (s)
		wkr_record_late(s, run);
}

/* Stops a run as soon as its worker is reachable. */
void wkr_stop_run(struct wkr *k, struct jtb_run *run)
{
	struct wkr_session *s = wkr_session_of(run->worker);

	if (run->stop_wanted || !s)
		return;
	run->stop_wanted = true;
	wkr_schedule_orders(s, 0);
}

/* Sets the pace of a run, percent of its full speed. */
void wkr_set_pace(struct wkr *k, struct jtb_run *run, int percent)
{
	struct wkr_session *s = wkr_session_of(run->worker);

	if (run->pace == percent || !s)
		return;
	run->pace = percent;
	wkr_schedule_orders(s, 0);
}

/*
 * Continues the sessions that waited for ends to be committed, after commands
 * were applied.
 */
void wkr_on_commit(struct wkr *k)
{
	int64_t lag = tmr_lag_ms(k->config.tmr);
	guint i;

	for (i = 0; i < k->sessions->len; i++) {
		struct wkr_session *s = g_ptr_array_index(k->sessions, i);

		if (!s->await_end_no || s->w->last_end_no < s->await_end_no)
			continue;
		s->await_end_no = 0;
		wkr_schedule_hold(s, lod_poll_delay_ms(k->busy, lag));
	}
}

/* Polls a worker for its list now, unless a poll is in flight. */
void wkr_poll(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_session *s = wkr_session_of(w);

	if (k->leading && s)
		wkr_send_hold(s);
}

/* Records the worker's clock from its announcement. */
void wkr_set_clock(struct wkr *k, struct jtb_worker *w, int64_t clock_ms)
{
	struct wkr_session *s = wkr_session_of(w);

	if (!k->leading || !s || clock_ms <= 0)
		return;
	if (!s->state.clock_at) {
		s->state.clock_ms = clock_ms;
		s->state.clock_at = tmr_now(k->config.tmr);
	}
	if (s->state.failed_since)
		wkr_schedule_hold(s, 0);
}

/* Returns whether a worker may be assigned new work, and if not, why. */
enum wkr_availability wkr_availability(const struct wkr *k,
				       const struct jtb_worker *w)
{
	const struct wkr_session *s = wkr_session_of(w);

	if (w->info.draining)
		return WKR_DRAINING;
	if (!s || !s->polled || s->state.failed_since || s->abandoned ||
	    s->stale->len || s->superseded || w->restart_proposed ||
	    zon_is_silent(k->zones, s->zone))
		return WKR_UNREACHABLE;
	/*
	 * Each plan calls this for all workers, and most of them were never
	 * backed off from.
	 */
	if (!s->backoff_until)
		return WKR_AVAILABLE;
	return s->backoff_until > tmr_now(k->config.tmr) ? WKR_BACKED_OFF
							 : WKR_AVAILABLE;
}

/* Whether a worker may be assigned new work. */
bool wkr_usable(const struct wkr *k, const struct jtb_worker *w)
{
	return wkr_availability(k, w) == WKR_AVAILABLE;
}

/*
 * Returns since when a worker has been unreachable, on the clock of tmr; 0 if
 * it answered last time or was not polled yet.
 */
int64_t wkr_unreachable_since(const struct wkr *k, const struct jtb_worker *w)
{
	const struct wkr_session *s = wkr_session_of(w);

	return s ? s->state.failed_since : 0;
}

/* Whether a worker answered the last call. */
bool wkr_is_reachable(const struct wkr *k, const struct jtb_worker *w)
{
	const struct wkr_session *s = wkr_session_of(w);

	return s && s->polled && !s->state.failed_since;
}

/*
 * Returns for how long a run had been observed running when it was last listed,
 * ms, or a value of enum sch_observed.
 */
int64_t wkr_observed_ms(const struct wkr *k, const struct jtb_run *run)
{
	if ((run->phase == WKR_NEW && !run->may_have_started) ||
	    run->phase == WKR_OVER || run->phase == WKR_DROPPED)
		return SCH_NOT_SENT;
	return sch_observed_ms(run);
}

/* Returns the counters since the start. */
const struct wkr_stats *wkr_stats(const struct wkr *k)
{
	return &k->stats;
}

/*
 * Returns the client that makes the calls to workers; it also makes calls
 * relayed for other replicas.
 */
struct ups *wkr_ups(const struct wkr *k)
{
	return k->ups;
}

/*
 * Returns the numbers of connections to workers and of calls that wait for one.
 */
struct ups_stats wkr_conns(const struct wkr *k)
{
	return ups_stats(k->ups);
}

/* Returns the session with a worker, or NULL. */
static struct wkr_session *wkr_session_of(const struct jtb_worker *w)
{
	return w->owner;
}

/* Cancels all calls and timers of a session. */
void wkr_session_cancel(struct wkr_session *s)
{
	struct tmr *tmr = s->k->config.tmr;

	tmr_cancel(tmr, s->hold_timer);
	tmr_cancel(tmr, s->order_timer);
	s->hold_timer = 0;
	s->order_timer = 0;
	if (s->hold) {
		wkr_call_cancel(s->hold);
		s->hold = NULL;
	}
	while (s->calls->len) {
		struct wkr_call *c = g_ptr_array_steal_index_fast(s->calls, 0);

		wkr_call_cancel(c);
	}
}

/* Frees a session. */
static void wkr_session_free(gpointer p)
{
	struct wkr_session *s = p;

	wkr_session_cancel(s);
	s->w->owner = NULL;
	g_ptr_array_free(s->calls, TRUE);
	g_ptr_array_free(s->stale, TRUE);
	g_ptr_array_free(s->late, TRUE);
	g_free(s);
}

/* Encodes an order and sends it, directly or by a relay. */
void wkr_send_call(struct wkr_session *s, struct wkr_call *c,
		   const struct wkr_order *o, int64_t timeout_ms)
{
	const struct wkr_codec *codec = s->k->config.codec;
	struct ups_header headers[] = {
		{(char *)"Content-Type", (char *)codec->content_type},
		{(char *)codec->instance_header, s->w->info.id},
	};
	struct ups_request r = {
		.addr = s->w->info.addr,
		.method = EVHTTP_REQ_POST,
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.timeout_ms =
			lod_answer_timeout_ms(timeout_ms, s->k->lease_ms,
					      tmr_lag_ms(s->k->config.tmr)),
		.connect_ms = WKR_CONNECT_TIMEOUT_MS,
		.max_answer = WKR_ANSWER_MAX,
		/* Leases expire and cancelled runs go on while these wait. */
		.urgent = o->kind == WKR_HOLD || o->kind == WKR_STOP,
	};

	const char *relay;

	c->session = s;
	c->kind = o->kind;
	c->sent_ms = tmr_now(s->k->config.tmr);
	c->body = evbuffer_new();
	r.uri = codec->write(o, c->body);
	r.body = c->body;
	s->k->stats.orders[o->kind]++;
	if (o->until_ms)
		wkr_record_grant(s, o->until_ms, c->sent_ms);
	relay = wkr_relay_of(s);
	if (relay)
		c->rly =
			rly_start(s->k->config.rly, relay, &r, &wkr_ups_ops, c);
	else
		c->ups = ups_start(s->k->ups, &r, &wkr_ups_ops, c);
}

/*
 * Records a lease that is being sent: the newest one is valid for all runs of
 * the worker.
 */
static void wkr_record_grant(struct wkr_session *s, int64_t until_ms,
			     int64_t now)
{
	int64_t left = s->state.granted_at + s->k->lease_ms - now;

	if (s->state.granted_at > s->k->led_since && wkr_has_leased_run(s))
		cnt_time_ms(&s->k->stats.margin, MAX(0, left));
	s->state.granted_at = now;
	s->state.granted_until = MAX(s->state.granted_until, until_ms);
}

/* Whether any run on the worker depends on an earlier lease. */
static bool wkr_has_leased_run(const struct wkr_session *s)
{
	guint i;

	for (i = 0; i < s->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(s->w->runs, i);

		if (run->phase == WKR_ACCEPTED)
			return true;
	}
	return false;
}

/*
 * Returns the replica that relays the calls to a worker, or NULL if the leader
 * makes them itself.
 */
static const char *wkr_relay_of(const struct wkr_session *s)
{
	return s->k->config.rly ? s->k->ops->relay(s->k->arg, s->w, s->n_lost)
				: NULL;
}

/* Cancels a call without reporting its end, and frees it. */
static void wkr_call_cancel(struct wkr_call *c)
{
	if (c->ups)
		ups_cancel(c->ups);
	else
		rly_cancel(c->rly);
	wkr_call_free(c);
}

/* Frees a call. */
static void wkr_call_free(struct wkr_call *c)
{
	evbuffer_free(c->body);
	g_free(c);
}

/* Processes the end of a call, with or without an answer. */
static void wkr_on_call_end(void *arg, enum ups_end end,
			    const struct ups_answer *a)
{
	struct wkr_call *c = arg;
	struct wkr_session *s = c->session;
	struct lstr body = {0};
	enum wkr_answer answer;
	enum cpu_kind before =
		cpu_enter(c->kind == WKR_HOLD ? CPU_LISTS : CPU_ORDERS);
	int64_t clock_ms = 0;

	if (c->kind == WKR_HOLD)
		s->hold = NULL;
	else
		g_ptr_array_remove_fast(s->calls, c);
	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	if (end == UPS_WHOLE && c->kind != WKR_HOLD)
		cnt_time_ms(&s->k->stats.answers,
			    tmr_now(s->k->config.tmr) - c->sent_ms);
	if (end == UPS_NO_CONNECTION) {
		wkr_on_not_sent(s, c);
	} else if (end == UPS_LOST) {
		wkr_on_call_lost(s, c);
	} else if (end != UPS_WHOLE) {
		wkr_on_no_answer(s, c, end != UPS_NOT_SENT);
	} else if (c->kind == WKR_HOLD) {
		wkr_on_hold_end(s, a->status, body, c->sent_ms);
	} else {
		answer = s->k->config.codec->answer(a->status, body, &clock_ms);
		wkr_mark_reachable(s, clock_ms);
		wkr_on_answer(s, c, answer);
	}
	wkr_call_free(c);
	cpu_leave(before);
}

/*
 * Selects another route for the next call after one was lost or not answered.
 */
void wkr_next_route(struct wkr_session *s)
{
	s->n_lost++;
	s->lost_ms = tmr_now(s->k->config.tmr);
}

/*
 * Marks a worker as unreachable after a call without a valid answer; the next
 * retry waits longer.
 */
void wkr_mark_unreachable(struct wkr_session *s)
{
	wkr_next_route(s);
	if (!s->state.failed_since) {
		s->state.failed_since = tmr_now(s->k->config.tmr);
		msg(MSG_WKR_LOST, "worker=%s addr=%s runs=%u", s->w->info.id,
		    s->w->info.addr, s->w->runs->len);
	} else {
		s->retry_ms = MIN(2 * s->retry_ms, WKR_RETRY_MAX_MS);
	}
}

/*
 * Records that a worker stopped answering: its runs that were never sent are
 * given back, and its zone may count as silent from now on.
 */
void wkr_record_silent(struct wkr_session *s)
{
	if (s->polled)
		wkr_drop_unsent_runs(s);
	if (!zon_record_silent(s->k->zones, s->zone))
		return;
	s->k->stats.zones_silent++;
	wkr_ask_zone(s->k, s->zone);
}

/*
 * Asks some idle workers of a zone that seems to be cut off. One that answers
 * shows at once that the zone is there, and that its silent workers are lost by
 * themselves.
 */
static void wkr_ask_zone(struct wkr *k, const struct zon_zone *zone)
{
	int64_t now = tmr_now(k->config.tmr);
	guint asked = 0;
	guint i;

	for (i = 0; i < k->sessions->len; i++) {
		struct wkr_session *s = g_ptr_array_index(k->sessions, i);

		if (s->zone == zone && wkr_may_ask(s, now)) {
			wkr_send_hold(s);
			asked++;
		}
	}
	msg(MSG_WKR_ZONE_SILENT, "zone=%s in_row=%u asked=%u", zone->name,
	    zone->in_row, asked);
}

/* Whether a worker is idle and to be asked whether its zone is there. */
static bool wkr_may_ask(const struct wkr_session *s, int64_t now)
{
	return !s->hold && !s->hold_timer && !s->await_end_no &&
	       !s->state.failed_since && !s->w->runs->len &&
	       !s->w->restart_proposed && zon_take_ask(s->zone, now);
}

/*
 * Marks a worker as reachable after an answer; clock_ms is its clock, or 0 if
 * it was not reported.
 */
void wkr_mark_reachable(struct wkr_session *s, int64_t clock_ms)
{
	int64_t now = tmr_now(s->k->config.tmr);

	if (zon_record_answer(s->k->zones, s->zone))
		msg(MSG_WKR_ZONE_BACK, "zone=%s worker=%s", s->zone->name,
		    s->w->info.id);
	if (s->state.failed_since) {
		wkr_schedule_orders(s, 0);
		msg(MSG_WKR_BACK, "worker=%s away_ms=%" PRId64, s->w->info.id,
		    now - s->state.failed_since);
	}
	/*
	 * After the length of a lease without a lost call the first route is
	 * used again: otherwise each failure would leave more calls to the
	 * leader permanently.
	 */
	if (now - s->lost_ms > s->k->lease_ms)
		s->n_lost = 0;
	s->retry_ms = WKR_RETRY_MIN_MS;
	evd_record_answer(&s->state, clock_ms, now);
}

/*
 * Returns the end of a lease granted to a worker now, on its clock; 0 if the
 * clock is not known.
 */
int64_t wkr_lease_end(struct wkr_session *s)
{
	int64_t confirmed = MIN(tmr_now(s->k->config.tmr),
				s->k->ops->confirmed_ms(s->k->arg));

	return evd_lease_end(&s->state, confirmed, s->k->lease_ms);
}

/* Returns the point in time for evidence that is evaluated now. */
struct evd_moment wkr_moment(const struct wkr *k)
{
	return (struct evd_moment){
		.now_ms = tmr_now(k->config.tmr),
		.lag_ms = tmr_lag_ms(k->config.tmr),
		.led_since_ms = k->led_since,
	};
}

/* Reports that a worker process has ended, on evidence as of as_of_ms. */
void wkr_notify_ended(struct wkr_session *s, enum evd_why why, int64_t as_of_ms)
{
	struct evd_moment m = wkr_moment(s->k);
	struct evd e;

	evd_set(why, as_of_ms, &m, &e);
	s->k->ops->gone(s->k->arg, s->w, &e);
}

/* Checks all workers for expired leases, and polls those that need it. */
static void wkr_tick(void *arg, int64_t now)
{
	struct wkr *k = arg;
	struct evd_moment m = wkr_moment(k);
	enum cpu_kind before;
	struct evd e;
	guint i;

	if (!k->leading)
		return;
	before = cpu_enter(CPU_LISTS);
	k->busy = 0;
	for (i = k->sessions->len; i > 0; i--) {
		struct wkr_session *s = g_ptr_array_index(k->sessions, i - 1);

		k->busy += s->w->runs->len > 0;
		if (s->w->restart_proposed)
			continue;
		if (s->w->runs->len && !wkr_awaits_late_order(s, now) &&
		    evd_lease_over(&s->state, k->lease_ms, &m, &e)) {
			if (s->abandoned)
				continue;
			s->abandoned = true;
			s->cleared = s->w->runs_lost_count;
			k->stats.expired++;
			wkr_log_expiry(s, &e);
			wkr_record_stale_starts(s);
			k->ops->gone(k->arg, s->w, &e);
		} else if (wkr_needs_poll(s) || wkr_may_ask(s, now)) {
			wkr_send_hold(s);
		}
	}
	cpu_leave(before);
}

/* Whether a worker is to be polled, and no poll is in flight or scheduled. */
static bool wkr_needs_poll(const struct wkr_session *s)
{
	return !s->hold && !s->hold_timer && !s->await_end_no &&
	       (s->w->runs->len || s->stale->len || s->state.failed_since ||
		!s->polled);
}

/*
 * Logs that a worker is abandoned, and the times that its lease expiry was
 * computed from.
 */
static void wkr_log_expiry(const struct wkr_session *s, const struct evd *e)
{
	msg(MSG_WKR_LAPSED,
	    "worker=%s runs=%u silent_ms=%" PRId64 " answered_ms=%" PRId64
	    " granted_ms=%" PRId64 " clock_ms=%" PRId64 " clock_age_ms=%" PRId64
	    " until=%" PRId64 " lag_ms=%" PRId64,
	    s->w->info.id, s->w->runs->len, e->at_ms - s->state.failed_since,
	    s->state.answered_ms ? e->at_ms - s->state.answered_ms : -1,
	    e->at_ms - e->as_of_ms, s->state.clock_ms,
	    e->at_ms - s->state.clock_at, s->state.granted_until, e->lag_ms);
}
