#include "wkr_int.h"

/* What workers are told: starts, stops, paces, and their answers. */

static void wkr_orders_timer(void *arg, int64_t now);
static bool wkr_wants(const struct jtb_run *run, enum wkr_order_kind *kind);
static enum wkr_phase wkr_phase_after(const struct jtb_run *run,
				      const struct wkr_call *c);
static void wkr_late_asked(struct wkr_link *l, const struct wkr_call *c,
			   bool heard);
static void wkr_start_refused(struct wkr_link *l, struct jtb_run *run);
static bool wkr_drop(struct wkr_link *l, struct jtb_run *run);
static void wkr_again(struct wkr_link *l, const struct wkr_call *c, bool sent);
static void wkr_take_back(struct wkr_link *l, const struct wkr_call *c,
			  bool sent);

/* Sends what runs want ordered, as far as the window goes. */
void wkr_orders(struct wkr_link *l)
{
	guint window = wkr_window(l->k);
	enum wkr_order_kind kind;
	guint i;

	if (!l->known || l->is.failed_since || l->given_up || l->late->len)
		return;
	for (i = 0; i < l->w->runs->len && l->calls->len < window; i++) {
		struct jtb_run *run = g_ptr_array_index(l->w->runs, i);

		if (wkr_wants(run, &kind))
			wkr_order(l, run, kind);
	}
}

/*
 * Orders on their way to one worker at most. Each takes a connection, and one
 * more lists the worker's ends: where these are few, a connection that is idle
 * at one worker would be closed for an order to the next, and each order cost
 * a new one.
 */
guint wkr_window(const struct wkr *k)
{
	guint each = WKR_WINDOW + 1;

	if (k->config.conns_max && k->busy)
		each = MIN(each, (guint)k->config.conns_max / k->busy);
	return MAX(each, 2) - 1;
}

/* Looks for orders after so long. */
void wkr_orders_after(struct wkr_link *l, int64_t ms)
{
	if (!l || l->order_timer)
		return;
	l->order_timer = tmr_once(l->k->config.tmr, ms, wkr_orders_timer, l);
}

/* The time to look for orders has come. */
static void wkr_orders_timer(void *arg, int64_t now)
{
	struct wkr_link *l = arg;
	enum cpu_kind before = cpu_enter(CPU_ORDERS);

	l->order_timer = 0;
	wkr_orders(l);
	cpu_leave(before);
}

/* Whether a run has something to be ordered, and what. */
static bool wkr_wants(const struct jtb_run *run, enum wkr_order_kind *kind)
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
 * How far a run is after an order that the worker didn't take or never answered:
 * as far as before. A stop says nothing of a start that may come late; taken for
 * a run that is there, it would be over with the first list that lacks it, and
 * the task begin elsewhere before that start arrives.
 */
static enum wkr_phase wkr_phase_after(const struct jtb_run *run,
				      const struct wkr_call *c)
{
	if (c->kind == WKR_START)
		return WKR_NEW;
	return run->first_running_ms ? WKR_ON : c->before;
}

/* Sends one order for a run. */
void wkr_order(struct wkr_link *l, struct jtb_run *run,
	       enum wkr_order_kind kind)
{
	char task[JTB_ID_MAX + 40];
	struct jtb_name n;
	struct wkr_order o = {
		.kind = kind,
		.task = task,
		.attempt = run->attempt,
		.fence = l->k->fence,
		.percent = run->pace,
	};
	struct wkr_call *c;

	jtb_name_of(run, &n);
	jtb_name_format(&n, task, sizeof(task));
	if (kind == WKR_START) {
		const struct jtb_step_state *part =
			&run->job->turns[run->turn].steps[run->step];

		/*
		 * A worker that leaves gets nothing more, nor one that has
		 * shrunk below what it runs, and what needs a ticket isn't
		 * sent without: a new leader has none, and one may end on the
		 * way. What was never sent is simply over; else the worker
		 * must be told to forget it.
		 */
		bool barred = !l->k->ops->ticket(l->k->arg, run, &o.ticket) ||
			      l->w->info.draining || jtb_is_overcommitted(l->w);

		if (barred && wkr_drop(l, run))
			return;
		if (barred) {
			run->stop_wanted = true;
			o.kind = WKR_STOP;
			o.ticket = NULL;
		}
		o.text = run->job->spec.text;
		o.saved = part->tasks[run->index].checkpoint;
		o.until_ms = wkr_until(l);
	}
	c = g_new0(struct wkr_call, 1);
	c->serial = run->serial;
	c->percent = run->pace;
	c->before = run->phase;
	if (kind == WKR_PACE)
		run->pace_sent = run->pace;
	else
		run->phase = WKR_SENT;
	run->orders_sent += kind != WKR_PACE;
	g_ptr_array_add(l->calls, c);
	wkr_call_send(l, c, &o, WKR_ORDER_MS);
}

/* Orders the end of a run that the table doesn't have. */
void wkr_order_stop(struct wkr_link *l, const struct jtb_name *name,
		    uint32_t attempt, struct wkr_late *late)
{
	char task[JTB_ID_MAX + 40];
	struct wkr_order o = {
		.kind = WKR_STOP,
		.task = task,
		.attempt = attempt,
		.fence = l->k->fence,
	};
	struct wkr_call *c = g_new0(struct wkr_call, 1);

	jtb_name_format(name, task, sizeof(task));
	c->late = late;
	g_ptr_array_add(l->calls, c);
	wkr_call_send(l, c, &o, WKR_ORDER_MS);
}

/* Keeps, of a worker that is given up, which starts may still arrive. */
void wkr_keep_late(struct wkr_link *l)
{
	guint i;

	for (i = 0; i < l->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(l->w->runs, i);
		struct wkr_late *late;

		if (!evd_may_arrive(run))
			continue;
		late = g_new0(struct wkr_late, 1);
		jtb_name_of(run, &late->name);
		late->attempt = run->attempt;
		g_ptr_array_add(l->late, late);
	}
}

/* A worker answers again: starts that may still arrive are stopped first. */
void wkr_stop_late(struct wkr_link *l)
{
	guint window = wkr_window(l->k);
	guint i;

	for (i = 0; i < l->late->len && l->calls->len < window; i++) {
		struct wkr_late *late = g_ptr_array_index(l->late, i);

		if (late->asked)
			continue;
		late->asked = true;
		wkr_order_stop(l, &late->name, late->attempt, late);
	}
}

/* The call to stop a late start ended; heard: the worker will never take it. */
static void wkr_late_asked(struct wkr_link *l, const struct wkr_call *c,
			   bool heard)
{
	c->late->asked = false;
	if (heard)
		g_ptr_array_remove(l->late, c->late);
	wkr_hold_after(l, heard ? 0 : WKR_RETRY_MIN_MS);
}

/* A worker answered an order. */
void wkr_answered(struct wkr_link *l, const struct wkr_call *c,
		  enum wkr_answer answer)
{
	struct jtb_run *run = g_hash_table_lookup(l->k->runs, &c->serial);
	int64_t now = tmr_now(l->k->config.tmr);

	if (answer == WKR_OTHER_LIFE) {
		wkr_gone(l, EVD_LIFE, c->sent_ms);
		return;
	}
	if (answer == WKR_SICK)
		l->shun_until = now + WKR_SICK_MS;
	if (answer == WKR_NO_ROOM)
		l->shun_until = MAX(l->shun_until, now + WKR_FULL_MS);
	if (c->late)
		wkr_late_asked(l, c, answer == WKR_YES || answer == WKR_OLD);
	if (!run || c->kind == WKR_PACE) {
		if (run && answer != WKR_YES)
			run->pace_sent = -1;
		wkr_orders_after(l, answer == WKR_YES ? 0 : WKR_RETRY_MIN_MS);
		return;
	}
	run->phase = wkr_phase_after(run, c);
	/* nobody knows what it did */
	run->may_have_started |= answer == WKR_UNREADABLE;
	switch (answer) {
	case WKR_YES:
		run->phase = c->kind == WKR_START ? WKR_ON : WKR_OVER;
		run->job->start_unconfirmed &= c->kind != WKR_START;
		run->ordered_ms = now;
		wkr_hold_after(l, 0);
		break;
	case WKR_OLD:
		run->phase = WKR_OVER;
		run->ordered_ms = now;
		wkr_hold_after(l, 0);
		break;
	case WKR_NO_TICKET:
		if (c->kind == WKR_START) {
			l->k->stats.unticketed++;
			l->k->ops->ticket_refused(l->k->arg, run);
		}
		/* fall through */
	case WKR_NO_ROOM:
	case WKR_SICK:
	case WKR_MALFORMED:
		if (c->kind == WKR_START) {
			wkr_start_refused(l, run);
			break;
		}
		wkr_orders_after(l, WKR_RETRY_MIN_MS);
		return;
	default:
		wkr_orders_after(l, WKR_RETRY_MIN_MS);
		return;
	}
	wkr_orders(l);
}

/*
 * The worker didn't take it. Another copy of the order may still be on its
 * way, of a call that got no answer: then the worker must first be told to
 * take it never, else the task could run twice.
 */
static void wkr_start_refused(struct wkr_link *l, struct jtb_run *run)
{
	l->k->stats.refused++;
	if (!wkr_drop(l, run))
		run->stop_wanted = true;
}

/*
 * Gives a run up that was never on its worker; false: it may be. Nothing may be
 * ordered for it from now on: once its end is in the log the task is started
 * elsewhere, and an order that went out before that would make two of it.
 */
static bool wkr_drop(struct wkr_link *l, struct jtb_run *run)
{
	struct evd_moment m = wkr_moment(l->k);
	struct evd e;

	if (!evd_unsent(run, &m, &e))
		return false;
	run->phase = WKR_DROPPED;
	l->k->ops->lost(l->k->arg, run, &e);
	return true;
}

/* An order got no answer: it may have been carried out. */
void wkr_unanswered(struct wkr_link *l, const struct wkr_call *c, bool sent)
{
	l->k->stats.unanswered++;
	wkr_take_back(l, c, sent);
	/*
	 * One call lost among others that are answered says nothing of the
	 * worker: it goes on getting work, and just this call is repeated.
	 */
	if (l->is.ok_ms < c->sent_ms)
		wkr_failed(l);
	if (c->kind == WKR_HOLD || !l->hold)
		wkr_hold_after(l, l->retry_ms);
	wkr_orders_after(l, l->retry_ms);
}

/*
 * No connection was to be had here for a call, which says nothing of the
 * worker. Taken as its silence, work of workers that are well was given to
 * others; and one that had said that it ends was over while it still ran.
 */
void wkr_untried(struct wkr_link *l, const struct wkr_call *c)
{
	l->k->stats.untried++;
	wkr_again(l, c, false);
}

/*
 * The replica that was to make a call told nothing of it: it may have been
 * made, and says nothing of the worker either. Another makes the next one.
 */
void wkr_lost(struct wkr_link *l, const struct wkr_call *c)
{
	l->k->stats.unanswered++;
	wkr_again(l, c, true);
}

/* Repeats what a call asked for, by another way if there is one. */
static void wkr_again(struct wkr_link *l, const struct wkr_call *c, bool sent)
{
	wkr_next_way(l);
	wkr_take_back(l, c, sent);
	if (c->kind == WKR_HOLD)
		wkr_hold_after(l, WKR_RETRY_MIN_MS);
	wkr_orders_after(l, WKR_RETRY_MIN_MS);
}

/* What an order without an answer asked for is still to be asked for. */
static void wkr_take_back(struct wkr_link *l, const struct wkr_call *c,
			  bool sent)
{
	struct jtb_run *run = g_hash_table_lookup(l->k->runs, &c->serial);

	if (c->late)
		wkr_late_asked(l, c, false);
	if (run && c->kind == WKR_PACE) {
		run->pace_sent = -1;
	} else if (run) {
		run->phase = wkr_phase_after(run, c);
		run->orders_unanswered += sent;
		/* it may be there, or come to be there */
		run->may_have_started = run->may_have_started || sent;
	}
}
