#include "wkr_int.h"

static struct wkr_link *wkr_link_of(const struct jtb_worker *w);
static void wkr_link_close(struct wkr_link *l);
static void wkr_link_free(gpointer p);
static void wkr_granted(struct wkr_link *l, int64_t until_ms, int64_t now);
static bool wkr_holds_any(const struct wkr_link *l);
static const char *wkr_carrier(const struct wkr_link *l);
static void wkr_call_cancel(struct wkr_call *c);
static void wkr_call_free(struct wkr_call *c);
static void wkr_on_end(void *arg, enum ups_end end, const struct ups_answer *a);
static void wkr_tick(void *arg, int64_t now);
static void wkr_tell_lapse(const struct wkr_link *l, const struct evd *e);

static const struct ups_ops wkr_ups_ops = {
	.end = wkr_on_end,
};

/* Sessions that rest until wkr_lead; config's parts must outlive them. */
struct wkr *wkr_new(const struct wkr_config *config, const struct wkr_ops *ops,
		    void *arg)
{
	struct wkr *k = g_new0(struct wkr, 1);

	k->config = *config;
	k->ops = ops;
	k->arg = arg;
	k->lease_ms = MIN(WKR_LEASE_MS, config->hold_max_ms);
	k->ups = ups_new(config->base, config->tmr);
	ups_set_reuse(k->ups, WKR_REUSE_MS);
	ups_set_most(k->ups, (unsigned int)config->conns_max);
	k->links = g_ptr_array_new_with_free_func(wkr_link_free);
	k->runs = g_hash_table_new(g_int64_hash, g_int64_equal);
	k->tick = tmr_every(config->tmr, 100, wkr_tick, k);
	return k;
}

/* Ends all sessions; the workers are told nothing. */
void wkr_free(struct wkr *k)
{
	if (!k)
		return;
	wkr_rest(k);
	tmr_cancel(k->config.tmr, k->tick);
	ups_free(k->ups);
	g_ptr_array_free(k->links, TRUE);
	g_hash_table_destroy(k->runs);
	g_free(k);
}

/* We lead: every worker is asked what it runs. */
void wkr_lead(struct wkr *k, uint64_t fence)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	wkr_rest(k);
	k->leading = true;
	k->fence = fence;
	k->led_since = tmr_now(k->config.tmr);
	g_hash_table_iter_init(&it, jtb_workers(k->config.jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		wkr_worker(k, w);
		for (i = 0; i < w->runs->len; i++) {
			struct jtb_run *run = g_ptr_array_index(w->runs, i);

			/* An earlier leader may have ordered it. */
			run->phase = WKR_NEW;
			run->may_be_there = true;
			run->inherited = true;
			run->sends = 0;
			run->unanswered = 0;
			run->over = (struct evd){0};
			/* what we decided when we led before is over */
			run->stop = run->stopping;
			run->percent = -1;
			run->ordered_ms = k->led_since;
			/* what the last leader told it isn't known */
			if (run->job->spec.steps[run->step].flags & JTB_FILLS) {
				run->pace = WKR_PACE_UNKNOWN;
				run->pace_told = -1;
			}
			wkr_run(k, run);
		}
	}
}

/* We don't lead any more: nothing more is ordered. */
void wkr_rest(struct wkr *k)
{
	k->leading = false;
	g_ptr_array_set_size(k->links, 0);
	g_hash_table_remove_all(k->runs);
}

/* A worker came or told something new. */
void wkr_worker(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_link *l = wkr_link_of(w);

	if (!k->leading)
		return;
	if (!l) {
		l = g_new0(struct wkr_link, 1);
		l->k = k;
		l->w = w;
		l->calls = g_ptr_array_new();
		l->late = g_ptr_array_new_with_free_func(g_free);
		l->retry_ms = WKR_RETRY_MIN_MS;
		w->owner = l;
		g_ptr_array_add(k->links, l);
	}
	if (w->cleared != l->cleared)
		l->given_up = false;
	if (!l->known)
		wkr_hold(l);
}

/* A worker leaves the table. */
void wkr_forget(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_link *l = wkr_link_of(w);

	if (l)
		g_ptr_array_remove_fast(k->links, l);
}

/* A run is in the table: it is ordered now. */
void wkr_run(struct wkr *k, struct jtb_run *run)
{
	if (!k->leading)
		return;
	g_hash_table_insert(k->runs, &run->serial, run);
	wkr_orders_after(wkr_link_of(run->worker), 0);
}

/* A run leaves the table. */
void wkr_run_over(struct wkr *k, struct jtb_run *run)
{
	g_hash_table_remove(k->runs, &run->serial);
}

/* Ends a run as soon as its worker can be told. */
void wkr_stop(struct wkr *k, struct jtb_run *run)
{
	struct wkr_link *l = wkr_link_of(run->worker);

	if (run->stop || !l)
		return;
	run->stop = true;
	wkr_orders_after(l, 0);
}

/* Lets a run work at that share of its speed, percent. */
void wkr_pace(struct wkr *k, struct jtb_run *run, int percent)
{
	struct wkr_link *l = wkr_link_of(run->worker);

	if (run->pace == percent || !l)
		return;
	run->pace = percent;
	wkr_orders_after(l, 0);
}

/* Commands were applied: sessions that waited for their ends go on. */
void wkr_stored(struct wkr *k)
{
	int64_t lag = tmr_lag_ms(k->config.tmr);
	guint i;

	for (i = 0; i < k->links->len; i++) {
		struct wkr_link *l = g_ptr_array_index(k->links, i);

		if (!l->await_no || l->w->end_no < l->await_no)
			continue;
		l->await_no = 0;
		wkr_hold_after(l, lod_poll_delay_ms(k->busy, lag));
	}
}

/* Asks a worker for its list now, unless it is being asked. */
void wkr_ask(struct wkr *k, struct jtb_worker *w)
{
	struct wkr_link *l = wkr_link_of(w);

	if (k->leading && l)
		wkr_hold(l);
}

/* A worker's clock, as it told with its announcement. */
void wkr_clock(struct wkr *k, struct jtb_worker *w, int64_t clock_ms)
{
	struct wkr_link *l = wkr_link_of(w);

	if (!k->leading || !l || clock_ms <= 0)
		return;
	if (!l->is.clock_at) {
		l->is.clock_ms = clock_ms;
		l->is.clock_at = tmr_now(k->config.tmr);
	}
	if (l->is.failed_since)
		wkr_hold_after(l, 0);
}

/* What keeps a worker from being given new work. */
enum wkr_bar wkr_bar(const struct wkr *k, const struct jtb_worker *w)
{
	const struct wkr_link *l = wkr_link_of(w);

	if (w->info.draining)
		return WKR_DRAINS;
	if (!l || !l->known || l->is.failed_since || l->given_up ||
	    l->late->len)
		return WKR_UNHEARD;
	/* each plan asks this of all workers, and most were never shunned */
	if (!l->shun_until)
		return WKR_FREE;
	return l->shun_until > tmr_now(k->config.tmr) ? WKR_SHUNNED : WKR_FREE;
}

/* Whether new work may be given to a worker. */
bool wkr_usable(const struct wkr *k, const struct jtb_worker *w)
{
	return wkr_bar(k, w) == WKR_FREE;
}

/* Since when a worker hasn't answered; 0: it has, or wasn't asked yet. */
int64_t wkr_silent_since(const struct wkr *k, const struct jtb_worker *w)
{
	const struct wkr_link *l = wkr_link_of(w);

	return l ? l->is.failed_since : 0;
}

/* Whether a worker has answered last time. */
bool wkr_reached(const struct wkr *k, const struct jtb_worker *w)
{
	const struct wkr_link *l = wkr_link_of(w);

	return l && l->known && !l->is.failed_since;
}

/*
 * For how long a run had been seen at work when it was last listed, ms, or one
 * of enum sch_seen.
 */
int64_t wkr_seen_ms(const struct wkr *k, const struct jtb_run *run)
{
	if ((run->phase == WKR_NEW && !run->may_be_there) ||
	    run->phase == WKR_OVER || run->phase == WKR_DROPPED)
		return SCH_NOT_SENT;
	return sch_seen_ms(run);
}

/* Counters since the start. */
const struct wkr_stats *wkr_stats(const struct wkr *k)
{
	return &k->stats;
}

/* Over what calls to workers go; they may be others' as well. */
struct ups *wkr_ups(const struct wkr *k)
{
	return k->ups;
}

/* Connections to workers, and calls that wait for one. */
struct ups_stats wkr_conns(const struct wkr *k)
{
	return ups_stats(k->ups);
}

/* The session with a worker, or NULL. */
static struct wkr_link *wkr_link_of(const struct jtb_worker *w)
{
	return w->owner;
}

/* Ends all calls and timers of a session. */
static void wkr_link_close(struct wkr_link *l)
{
	struct tmr *tmr = l->k->config.tmr;

	tmr_cancel(tmr, l->hold_timer);
	tmr_cancel(tmr, l->order_timer);
	l->hold_timer = 0;
	l->order_timer = 0;
	if (l->hold) {
		wkr_call_cancel(l->hold);
		l->hold = NULL;
	}
	while (l->calls->len) {
		struct wkr_call *c = g_ptr_array_steal_index_fast(l->calls, 0);

		wkr_call_cancel(c);
	}
}

/* Frees a session. */
static void wkr_link_free(gpointer p)
{
	struct wkr_link *l = p;

	wkr_link_close(l);
	l->w->owner = NULL;
	g_ptr_array_free(l->calls, TRUE);
	g_ptr_array_free(l->late, TRUE);
	g_free(l);
}

/* Writes an order and sends it. */
void wkr_call_send(struct wkr_link *l, struct wkr_call *c,
		   const struct wkr_order *o, int64_t timeout_ms)
{
	const struct wkr_codec *codec = l->k->config.codec;
	struct ups_header headers[] = {
		{(char *)"Content-Type", (char *)codec->content_type},
		{(char *)codec->life_header, l->w->info.id},
	};
	struct ups_request r = {
		.addr = l->w->info.addr,
		.method = EVHTTP_REQ_POST,
		.headers = headers,
		.n_headers = G_N_ELEMENTS(headers),
		.timeout_ms =
			lod_answer_timeout_ms(timeout_ms, l->k->lease_ms,
					      tmr_lag_ms(l->k->config.tmr)),
		.connect_ms = WKR_CONNECT_MS,
		.max_answer = WKR_ANSWER_MAX,
		/* leases end and cancelled work runs on while these wait */
		.urgent = o->kind == WKR_HOLD || o->kind == WKR_STOP,
	};

	const char *carrier;

	c->link = l;
	c->kind = o->kind;
	c->sent_ms = tmr_now(l->k->config.tmr);
	c->body = evbuffer_new();
	r.uri = codec->write(o, c->body);
	r.body = c->body;
	l->k->stats.orders[o->kind]++;
	if (o->until_ms)
		wkr_granted(l, o->until_ms, c->sent_ms);
	carrier = wkr_carrier(l);
	if (carrier)
		c->rly = rly_start(l->k->config.rly, carrier, &r, &wkr_ups_ops,
				   c);
	else
		c->ups = ups_start(l->k->ups, &r, &wkr_ups_ops, c);
}

/* A lease goes out: all that runs there lives by the newest one. */
static void wkr_granted(struct wkr_link *l, int64_t until_ms, int64_t now)
{
	int64_t left = l->is.granted_at + l->k->lease_ms - now;

	if (l->is.granted_at > l->k->led_since && wkr_holds_any(l))
		cnt_time_ms(&l->k->stats.margin, MAX(0, left));
	l->is.granted_at = now;
	l->is.granted_until = MAX(l->is.granted_until, until_ms);
}

/* Whether anything runs there under an earlier lease. */
static bool wkr_holds_any(const struct wkr_link *l)
{
	guint i;

	for (i = 0; i < l->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(l->w->runs, i);

		if (run->phase == WKR_ON)
			return true;
	}
	return false;
}

/* The replica that makes the calls to a worker, or NULL: we do. */
static const char *wkr_carrier(const struct wkr_link *l)
{
	return l->k->config.rly ? l->k->ops->carrier(l->k->arg, l->w, l->turn)
				: NULL;
}

/* Gives a call up without a word of its end, and frees it. */
static void wkr_call_cancel(struct wkr_call *c)
{
	if (c->ups)
		ups_cancel(c->ups);
	else
		rly_cancel(c->rly);
	wkr_call_free(c);
}

/* Ends a call. */
static void wkr_call_free(struct wkr_call *c)
{
	evbuffer_free(c->body);
	g_free(c);
}

/* A call ended, with an answer or without. */
static void wkr_on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct wkr_call *c = arg;
	struct wkr_link *l = c->link;
	struct lstr body = {0};
	enum wkr_answer answer;
	enum cpu_kind before =
		cpu_enter(c->kind == WKR_HOLD ? CPU_LISTS : CPU_ORDERS);
	int64_t clock_ms = 0;

	if (c->kind == WKR_HOLD)
		l->hold = NULL;
	else
		g_ptr_array_remove_fast(l->calls, c);
	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	if (end == UPS_WHOLE && c->kind != WKR_HOLD)
		cnt_time_ms(&l->k->stats.answers,
			    tmr_now(l->k->config.tmr) - c->sent_ms);
	if (end == UPS_NO_ROOM) {
		wkr_untried(l, c);
	} else if (end == UPS_LOST) {
		wkr_lost(l, c);
	} else if (end != UPS_WHOLE) {
		wkr_unanswered(l, c, end != UPS_NOT_SENT);
	} else if (c->kind == WKR_HOLD) {
		wkr_hold_done(l, a->status, body, c->sent_ms);
	} else {
		answer = l->k->config.codec->answer(a->status, body, &clock_ms);
		wkr_heard(l, clock_ms);
		wkr_answered(l, c, answer);
	}
	wkr_call_free(c);
	cpu_leave(before);
}

/* A call was lost or got no answer: the next goes another way. */
void wkr_next_way(struct wkr_link *l)
{
	l->turn++;
	l->turned_ms = tmr_now(l->k->config.tmr);
}

/* A worker gave no good answer: the next try waits longer. */
void wkr_failed(struct wkr_link *l)
{
	wkr_next_way(l);
	if (!l->is.failed_since) {
		l->is.failed_since = tmr_now(l->k->config.tmr);
		msg(MSG_WKR_LOST, "worker=%s addr=%s runs=%u", l->w->info.id,
		    l->w->info.addr, l->w->runs->len);
	} else {
		l->retry_ms = MIN(2 * l->retry_ms, WKR_RETRY_MAX_MS);
	}
}

/* A worker answered, and may have told its clock. */
void wkr_heard(struct wkr_link *l, int64_t clock_ms)
{
	int64_t now = tmr_now(l->k->config.tmr);

	if (l->is.failed_since) {
		wkr_orders_after(l, 0);
		msg(MSG_WKR_BACK, "worker=%s away_ms=%" PRId64, l->w->info.id,
		    now - l->is.failed_since);
	}
	/*
	 * After a lease's time without a loss the first way is tried again: with
	 * each failure more calls would else stay with the leader for good.
	 */
	if (now - l->turned_ms > l->k->lease_ms)
		l->turn = 0;
	l->retry_ms = WKR_RETRY_MIN_MS;
	evd_heard(&l->is, clock_ms, now);
}

/* End of a lease given to a worker now, on its clock; 0: that isn't known. */
int64_t wkr_until(struct wkr_link *l)
{
	int64_t sure =
		MIN(tmr_now(l->k->config.tmr), l->k->ops->sure(l->k->arg));

	return evd_until(&l->is, sure, l->k->lease_ms);
}

/* What evidence that is found now is judged by. */
struct evd_moment wkr_moment(const struct wkr *k)
{
	return (struct evd_moment){
		.now_ms = tmr_now(k->config.tmr),
		.lag_ms = tmr_lag_ms(k->config.tmr),
		.led_since_ms = k->led_since,
	};
}

/* A worker's lifetime is over, on evidence as of some moment. */
void wkr_gone(struct wkr_link *l, enum evd_why why, int64_t as_of_ms)
{
	struct evd_moment m = wkr_moment(l->k);
	struct evd e;

	evd_of(why, as_of_ms, &m, &e);
	l->k->ops->gone(l->k->arg, l->w, &e);
}

/* Looks for workers whose leases ran out. */
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
	for (i = k->links->len; i > 0; i--) {
		struct wkr_link *l = g_ptr_array_index(k->links, i - 1);

		k->busy += l->w->runs->len > 0;
		if (l->w->runs->len &&
		    evd_lease_over(&l->is, k->lease_ms, &m, &e)) {
			if (l->given_up)
				continue;
			l->given_up = true;
			l->cleared = l->w->cleared;
			k->stats.lapses++;
			wkr_tell_lapse(l, &e);
			wkr_keep_late(l);
			k->ops->gone(k->arg, l->w, &e);
		} else if (!l->hold && !l->hold_timer && !l->await_no &&
			   (l->w->runs->len || l->late->len ||
			    l->is.failed_since || !l->known)) {
			wkr_hold(l);
		}
	}
	cpu_leave(before);
}

/* A worker is given up: how long its leases have been over, and by what. */
static void wkr_tell_lapse(const struct wkr_link *l, const struct evd *e)
{
	msg(MSG_WKR_LAPSED,
	    "worker=%s runs=%u silent_ms=%" PRId64 " answered_ms=%" PRId64
	    " granted_ms=%" PRId64 " clock_ms=%" PRId64 " clock_age_ms=%" PRId64
	    " until=%" PRId64 " lag_ms=%" PRId64,
	    l->w->info.id, l->w->runs->len, e->at_ms - l->is.failed_since,
	    l->is.ok_ms ? e->at_ms - l->is.ok_ms : -1, e->at_ms - e->as_of_ms,
	    l->is.clock_ms, e->at_ms - l->is.clock_at, l->is.granted_until,
	    e->lag_ms);
}
