#include "wkr_int.h"

/*
 * Sends orders to workers (starts, stops and paces) and processes the answers.
 */

static void wkr_on_orders_timer(void *arg, int64_t now);
static bool wkr_may_start(const struct wkr_session *s,
			  const struct jtb_run *run);
static bool wkr_next_order(const struct jtb_run *run,
			   enum wkr_order_kind *kind);
static enum wkr_phase wkr_phase_before_order(const struct jtb_run *run,
					     const struct wkr_call *c);
static void wkr_on_stale_stop_end(struct wkr_session *s,
				  const struct wkr_call *c, bool acked);
static void wkr_count_route(struct wkr_session *s, const struct jtb_run *run,
			    const struct wkr_call *c);
static void wkr_on_start_refused(struct wkr_session *s, struct jtb_run *run);
static bool wkr_drop_unsent(struct wkr_session *s, struct jtb_run *run);
static void wkr_retry_call(struct wkr_session *s, const struct wkr_call *c,
			   bool sent);
static void wkr_undo_order(struct wkr_session *s, const struct wkr_call *c,
			   bool sent);

/* Sends the orders that runs need, as far as the window allows. */
void wkr_send_orders(struct wkr_session *s)
{
	guint window = wkr_window(s->k);
	enum wkr_order_kind kind;
	guint i;

	if (!s->polled || s->state.failed_since || s->abandoned ||
	    s->stale->len || s->superseded || s->w->restart_proposed)
		return;
	for (i = 0; i < s->w->runs->len && s->calls->len < window; i++) {
		struct jtb_run *run = g_ptr_array_index(s->w->runs, i);

		if (wkr_next_order(run, &kind) &&
		    (kind != WKR_START || wkr_may_start(s, run)))
			wkr_send_order(s, run, kind);
	}
}

/*
 * Whether a start may be sent now. A start brings a lease, which a worker in
 * doubt must not get. A first start waits while ends couldn't be acknowledged:
 * each would postpone the acknowledgement, and the ends would soon exceed what a
 * list holds. A repeated one doesn't, as the acknowledgement waits for its
 * answer.
 */
static bool wkr_may_start(const struct wkr_session *s,
			  const struct jtb_run *run)
{
	return !s->doubted_ms && (!s->ack_withheld || run->may_have_started);
}

/*
 * Returns how many orders may be in flight to one worker. Each uses a
 * connection, and the hold uses one more: where connections are scarce, an idle
 * connection to one worker would be closed for an order to the next, and each
 * order would need a new connection.
 */
guint wkr_window(const struct wkr *k)
{
	guint each = WKR_ORDER_WINDOW + 1;

	if (k->config.conns_max && k->busy)
		each = MIN(each, (guint)k->config.conns_max / k->busy);
	return MAX(each, 2) - 1;
}

/*
 * Schedules sending of orders after ms, unless that is scheduled; s may be
 * NULL.
 */
void wkr_schedule_orders(struct wkr_session *s, int64_t ms)
{
	if (!s || s->order_timer)
		return;
	s->order_timer = tmr_once(s->k->config.tmr, ms, wkr_on_orders_timer, s);
}

/* Sends orders when that is due. */
static void wkr_on_orders_timer(void *arg, int64_t now)
{
	struct wkr_session *s = arg;
	enum cpu_kind before = cpu_enter(CPU_ORDERS);

	s->order_timer = 0;
	wkr_send_orders(s);
	cpu_leave(before);
}

/* Whether a run needs an order, and which kind. */
static bool wkr_next_order(const struct jtb_run *run, enum wkr_order_kind *kind)
{
	if (run->phase == WKR_SENT || run->phase == WKR_OVER ||
	    run->phase == WKR_DROPPED)
		return false;
	if (run->stop_wanted) {
		*kind = WKR_STOP;
		return true;
	}
	if (run->phase == WKR_NEW) {
		*kind = WKR_START;
		return true;
	}
	*kind = WKR_PACE;
	return run->pace != run->pace_sent;
}

/*
 * Returns the phase of a run after an order that the worker rejected or did not
 * answer: the phase before it. A stop proves nothing about a start that may
 * arrive later: if the run counted as present, it would be over with the first
 * list without it, and the task would start elsewhere before that start
 * arrives.
 */
static enum wkr_phase wkr_phase_before_order(const struct jtb_run *run,
					     const struct wkr_call *c)
{
	if (c->kind == WKR_START)
		return WKR_NEW;
	return run->first_running_ms ? WKR_ACCEPTED : c->phase_before;
}

/* Sends one order for a run. */
void wkr_send_order(struct wkr_session *s, struct jtb_run *run,
		    enum wkr_order_kind kind)
{
	char task[JTB_ID_MAX + 40];
	struct jtb_name n;
	struct wkr_order o = {
		.kind = kind,
		.task = task,
		.attempt = run->attempt,
		.fence = s->k->fence,
		.percent = run->pace,
	};
	struct wkr_call *c;

	jtb_name_of(run, &n);
	jtb_name_format(&n, task, sizeof(task));
	if (kind == WKR_START) {
		/*
		 * No start is sent to a worker that is draining or has shrunk
		 * below its runs, nor without a required ticket: a new leader
		 * has no ticket, and one may expire meanwhile. Nor is one sent
		 * for an organisation whose limit has fallen below its runs, nor
		 * for a gang that another member has left, where it would wait
		 * alone. A run that was never sent is simply over; otherwise the
		 * worker must be told to forget it.
		 */
		bool withheld =
			!s->k->ops->ticket(s->k->arg, run, &o.ticket) ||
			s->w->info.draining || jtb_is_overcommitted(s->w) ||
			jtb_gang_has_left(run) || quo_is_over(run->job->use);

		if (withheld && wkr_drop_unsent(s, run))
			return;
		if (withheld) {
			run->stop_wanted = true;
			o.kind = WKR_STOP;
			o.ticket = NULL;
		}
		o.text = run->job->spec.text;
		o.saved = jtb_checkpoint(run);
		o.until_ms = wkr_lease_end(s);
	}
	c = g_new0(struct wkr_call, 1);
	c->serial = run->serial;
	c->percent = run->pace;
	c->phase_before = run->phase;
	if (kind == WKR_PACE)
		run->pace_sent = run->pace;
	else
		run->phase = WKR_SENT;
	run->orders_sent += kind != WKR_PACE;
	g_ptr_array_add(s->calls, c);
	wkr_send_call(s, c, &o, WKR_ORDER_TIMEOUT_MS);
	if (o.kind == WKR_START && run->orders_sent == 1)
		wkr_count_route(s, run, c);
}

/* Records by which route the first order of a run went. */
static void wkr_count_route(struct wkr_session *s, const struct jtb_run *run,
			    const struct wkr_call *c)
{
	if (c->rly)
		s->k->stats.starts_relayed++;
	else if (s->k->ops->direct)
		s->k->ops->direct(s->k->arg, run, s->n_lost);
}

/* Sends a stop for a run that the job table does not have. */
void wkr_send_stop(struct wkr_session *s, const struct jtb_name *name,
		   uint32_t attempt, struct wkr_stale_start *stale)
{
	char task[JTB_ID_MAX + 40];
	struct wkr_order o = {
		.kind = WKR_STOP,
		.task = task,
		.attempt = attempt,
		.fence = s->k->fence,
	};
	struct wkr_call *c = g_new0(struct wkr_call, 1);

	jtb_name_format(name, task, sizeof(task));
	c->stale = stale;
	g_ptr_array_add(s->calls, c);
	wkr_send_call(s, c, &o, WKR_ORDER_TIMEOUT_MS);
}

/* Records which starts may still arrive at a worker that is being abandoned. */
void wkr_record_stale_starts(struct wkr_session *s)
{
	guint i;

	for (i = 0; i < s->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(s->w->runs, i);
		struct wkr_stale_start *stale;

		if (!evd_may_arrive(run))
			continue;
		stale = g_new0(struct wkr_stale_start, 1);
		jtb_name_of(run, &stale->name);
		stale->attempt = run->attempt;
		stale->at_ms = tmr_now(s->k->config.tmr);
		g_ptr_array_add(s->stale, stale);
	}
}

/*
 * Sends stops for the starts that may still arrive, before anything else, when
 * an abandoned worker answers again.
 */
void wkr_stop_stale_starts(struct wkr_session *s)
{
	guint window = wkr_window(s->k);
	guint i;

	for (i = 0; i < s->stale->len && s->calls->len < window; i++) {
		struct wkr_stale_start *stale = g_ptr_array_index(s->stale, i);

		if (stale->stopping)
			continue;
		stale->stopping = true;
		wkr_send_stop(s, &stale->name, stale->attempt, stale);
	}
}

/*
 * Processes the end of a call that stops a stale start; acked: the worker will
 * never accept that start.
 */
static void wkr_on_stale_stop_end(struct wkr_session *s,
				  const struct wkr_call *c, bool acked)
{
	c->stale->stopping = false;
	if (acked)
		wkr_confirm_stale(s, c->stale);
	wkr_schedule_hold(s, acked ? 0 : WKR_RETRY_MIN_MS);
}

/* Processes a worker's answer to an order. */
void wkr_on_answer(struct wkr_session *s, const struct wkr_call *c,
		   enum wkr_answer answer)
{
	struct jtb_run *run = g_hash_table_lookup(s->k->runs, &c->serial);
	int64_t now = tmr_now(s->k->config.tmr);

	if (answer == WKR_OTHER_INSTANCE) {
		wkr_notify_ended(s, EVD_OTHER_INSTANCE, c->sent_ms);
		return;
	}
	if (answer == WKR_UNHEALTHY)
		s->backoff_until = now + WKR_UNHEALTHY_BACKOFF_MS;
	if (answer == WKR_NO_CAPACITY)
		s->backoff_until =
			MAX(s->backoff_until, now + WKR_FULL_BACKOFF_MS);
	if (c->stale)
		wkr_on_stale_stop_end(
			s, c, answer == WKR_YES || answer == WKR_RUN_OVER);
	if (!run || c->kind == WKR_PACE) {
		if (run && answer != WKR_YES)
			run->pace_sent = -1;
		wkr_schedule_orders(s,
				    answer == WKR_YES ? 0 : WKR_RETRY_MIN_MS);
		return;
	}
	run->phase = wkr_phase_before_order(run, c);
	/* The worker may have carried out the order. */
	run->may_have_started |= answer == WKR_UNREADABLE;
	switch (answer) {
	case WKR_YES:
		run->phase = c->kind == WKR_START ? WKR_ACCEPTED : WKR_OVER;
		run->job->start_unconfirmed &= c->kind != WKR_START;
		run->ordered_ms = now;
		wkr_schedule_hold(s, 0);
		break;
	case WKR_RUN_OVER:
		run->phase = WKR_OVER;
		run->ordered_ms = now;
		wkr_schedule_hold(s, 0);
		break;
	case WKR_NO_TICKET:
		if (c->kind == WKR_START) {
			s->k->stats.ticket_refusals++;
			s->k->ops->ticket_refused(s->k->arg, run);
		}
		/* fall through */
	case WKR_NO_CAPACITY:
	case WKR_UNHEALTHY:
	case WKR_MALFORMED:
		if (c->kind == WKR_START) {
			wkr_on_start_refused(s, run);
			break;
		}
		wkr_schedule_orders(s, WKR_RETRY_MIN_MS);
		return;
	default:
		wkr_schedule_orders(s, WKR_RETRY_MIN_MS);
		return;
	}
	wkr_send_orders(s);
}

/*
 * Processes a refused start. If another call with the same start got no answer,
 * that start may still arrive: the worker must first be told never to accept
 * it, otherwise the task could run twice.
 */
static void wkr_on_start_refused(struct wkr_session *s, struct jtb_run *run)
{
	s->k->stats.refused++;
	if (!wkr_drop_unsent(s, run))
		run->stop_wanted = true;
}

/*
 * Abandons a run that never reached its worker; returns false if it may have.
 * No order may be sent for it from now on: once its end is committed the task
 * is started elsewhere, and an order sent before that would make it run twice.
 */
static bool wkr_drop_unsent(struct wkr_session *s, struct jtb_run *run)
{
	struct evd_moment m = wkr_moment(s->k);
	struct evd e;

	if (!evd_unsent(run, &m, &e))
		return false;
	run->phase = WKR_DROPPED;
	s->k->ops->lost(s->k->arg, run, &e);
	return true;
}

/*
 * Gives back the runs whose start was never sent to a worker that fell silent.
 * Nothing of them can begin there, so that their tasks need not wait until its
 * lease is over. A gang's run stays: without it the others would be stopped,
 * also where the worker is back at once.
 */
void wkr_drop_unsent_runs(struct wkr_session *s)
{
	guint i;

	for (i = 0; i < s->w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(s->w->runs, i);
		uint32_t flags = run->job->spec.steps[run->step].flags;

		if (run->phase == WKR_NEW && !(flags & JTB_GANG) &&
		    wkr_drop_unsent(s, run))
			s->k->stats.dropped += !run->orders_sent;
	}
}

/*
 * Processes a call without an answer: it may have been carried out if it was
 * sent.
 */
void wkr_on_no_answer(struct wkr_session *s, const struct wkr_call *c,
		      bool sent)
{
	bool was_silent = s->state.failed_since != 0;

	s->k->stats.unanswered++;
	wkr_doubt_lifetime(s);
	wkr_undo_order(s, c, sent);
	/*
	 * A single lost call among answered ones is no sign of an unreachable
	 * worker: it keeps getting work, and only this call is repeated.
	 */
	if (s->state.answered_ms < c->sent_ms) {
		wkr_mark_unreachable(s);
		if (!was_silent)
			wkr_record_silent(s);
	}
	if (c->kind == WKR_HOLD || !s->hold)
		wkr_schedule_hold(s, s->retry_ms);
	wkr_schedule_orders(s, s->retry_ms);
}

/*
 * Processes a call for which this replica had no connection, which is no sign
 * of an unreachable worker. When it was treated as one, tasks of healthy
 * workers were started elsewhere, and a worker that had reported its exit
 * counted as over while it still ran.
 */
void wkr_on_not_sent(struct wkr_session *s, const struct wkr_call *c)
{
	s->k->stats.not_sent++;
	wkr_retry_call(s, c, false);
}

/*
 * Processes a relayed call whose relay reported nothing: the call may have been
 * made, and this is no sign of an unreachable worker either. The next call uses
 * another route.
 */
void wkr_on_call_lost(struct wkr_session *s, const struct wkr_call *c)
{
	s->k->stats.unanswered++;
	wkr_retry_call(s, c, true);
}

/* Schedules the repetition of a call, by another route if there is one. */
static void wkr_retry_call(struct wkr_session *s, const struct wkr_call *c,
			   bool sent)
{
	wkr_next_route(s);
	wkr_undo_order(s, c, sent);
	if (c->kind == WKR_HOLD)
		wkr_schedule_hold(s, WKR_RETRY_MIN_MS);
	wkr_schedule_orders(s, WKR_RETRY_MIN_MS);
}

/*
 * Restores the state before an order without an answer, so that the order is
 * sent again.
 */
static void wkr_undo_order(struct wkr_session *s, const struct wkr_call *c,
			   bool sent)
{
	struct jtb_run *run = g_hash_table_lookup(s->k->runs, &c->serial);

	if (c->stale)
		wkr_on_stale_stop_end(s, c, false);
	if (run && c->kind == WKR_PACE) {
		run->pace_sent = -1;
	} else if (run) {
		run->phase = wkr_phase_before_order(run, c);
		run->orders_unanswered += sent;
		/* The worker may have it, or may still receive it. */
		run->may_have_started = run->may_have_started || sent;
	}
}
