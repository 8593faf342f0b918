#include "wkr_int.h"

/* What workers say they run: calls for their lists, and what they bring. */

static int64_t wkr_wait(const struct wkr_link *l);
static bool wkr_must_share(const struct wkr *k);
static void wkr_hold_timer(void *arg, int64_t now);
static void wkr_take(struct wkr_link *l, const struct wkr_report *r,
		     int64_t sent_ms);
static int64_t wkr_pause(const struct wkr_link *l, int64_t took_ms);
static void wkr_take_row(struct wkr_link *l, const struct wkr_row *row,
			 int64_t now);
static void wkr_stop_stray(struct wkr_link *l, const struct wkr_row *row);
static void wkr_take_missing(struct wkr_link *l, const struct wkr_report *r,
			     int64_t sent_ms);
static bool wkr_ended(const struct wkr_report *r, const struct jtb_run *run);

/*
 * Asks for the list, and renews the lease of all that runs there. A worker
 * that doesn't answer gets no lease: each that it might have heard would put
 * off the moment from which its work may be done elsewhere.
 */
void wkr_hold(struct wkr_link *l)
{
	struct wkr_order o = {
		.kind = WKR_HOLD,
		.fence = l->k->fence,
		.ack = l->w->last_end_no,
	};

	if (l->hold || l->await_no || !l->k->leading)
		return;
	tmr_cancel(l->k->config.tmr, l->hold_timer);
	l->hold_timer = 0;
	if (l->w->runs->len && !l->is.failed_since && !l->given_up &&
	    !l->late->len) {
		o.until_ms = wkr_until(l);
		o.wait_ms = l->known ? wkr_wait(l) : 0;
	}
	l->hold = g_new0(struct wkr_call, 1);
	wkr_call_send(l, l->hold, &o, o.wait_ms + WKR_ANSWER_MS);
}

/* How long the next call for the list may wait there, ms. */
static int64_t wkr_wait(const struct wkr_link *l)
{
	guint i;

	if (wkr_must_share(l->k))
		return 0;
	for (i = 0; i < l->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(l->w->runs, i);

		if (run->job->spec.steps[run->step].flags & JTB_LONG_RUNNING &&
		    run->percent < 100)
			return WKR_WAIT_FRESH_MS;
		if (jtb_suspect(run->job, run->step, run->index))
			return WKR_WAIT_FRESH_MS;
	}
	return WKR_WAIT_MS;
}

/* Asks for the list after so long. */
void wkr_hold_after(struct wkr_link *l, int64_t ms)
{
	if (l->hold_timer || l->hold)
		return;
	l->hold_timer = tmr_once(l->k->config.tmr, ms, wkr_hold_timer, l);
}

/* The time to ask for the list has come. */
static void wkr_hold_timer(void *arg, int64_t now)
{
	struct wkr_link *l = arg;
	enum cpu_kind before = cpu_enter(CPU_LISTS);

	l->hold_timer = 0;
	wkr_hold(l);
	cpu_leave(before);
}

/* A call for the list ended. */
void wkr_hold_done(struct wkr_link *l, int status, struct lstr body,
		   int64_t sent_ms)
{
	const struct wkr_codec *codec = l->k->config.codec;
	struct wkr_report r = {0};
	int64_t clock_ms = 0;
	enum wkr_answer answer;

	if (status == 200 && codec->report(body, &r)) {
		wkr_heard(l, r.clock_ms);
		wkr_take(l, &r, sent_ms);
		codec->report_done(&r);
		return;
	}
	answer = codec->answer(status, body, &clock_ms);
	if (answer == WKR_OTHER_LIFE) {
		wkr_gone(l, EVD_LIFE, sent_ms);
		return;
	}
	if (answer == WKR_SICK)
		l->shun_until = tmr_now(l->k->config.tmr) + WKR_SICK_MS;
	wkr_failed(l);
	wkr_hold_after(l, l->retry_ms);
}

/* Goes through what a worker listed. */
static void wkr_take(struct wkr_link *l, const struct wkr_report *r,
		     int64_t sent_ms)
{
	int64_t now = tmr_now(l->k->config.tmr);
	uint64_t last = 0;
	guint i;

	for (i = 0; i < r->rows->len; i++)
		wkr_take_row(l, &g_array_index(r->rows, struct wkr_row, i),
			     now);
	if (!r->partial)
		wkr_take_missing(l, r, sent_ms);
	l->known = true;
	for (i = 0; i < r->ends->len; i++)
		last = MAX(last, g_array_index(r->ends, struct wkr_end, i).no);
	if (last > l->w->last_end_no) {
		l->await_no = last;
		l->k->ops->ends(l->k->arg, l->w,
				(const struct wkr_end *)r->ends->data,
				r->ends->len);
	} else if (l->w->runs->len || l->late->len || last) {
		wkr_hold_after(l, wkr_pause(l, now - sent_ms));
	}
	l->k->ops->seen(l->k->arg, l->w);
	wkr_stop_late(l);
	wkr_orders(l);
}

/*
 * Whether connections are too few for each busy worker to hold one while it
 * waits for an end. Orders would find none then, and leases of others run out.
 */
static bool wkr_must_share(const struct wkr *k)
{
	guint most = (guint)k->config.conns_max;

	return ups_crowded(k->ups) || (most && k->busy > most / 2);
}

/* Until the next call for a list that brought nothing new, ms. */
static int64_t wkr_pause(const struct wkr_link *l, int64_t took_ms)
{
	if (wkr_must_share(l->k))
		return WKR_SHARE_PAUSE_MS;
	/* one that doesn't wait as it was asked must not spin us */
	return took_ms < WKR_PAUSE_MS ? WKR_PAUSE_MS : 0;
}

/* Takes one run of a worker's list. */
static void wkr_take_row(struct wkr_link *l, const struct wkr_row *row,
			 int64_t now)
{
	struct jtb_run *run = jtb_find_run(l->k->config.jtb, &row->name,
					   row->attempt, l->w->info.id);

	if (!run) {
		wkr_stop_stray(l, row);
		return;
	}
	if (!run->first_running_ms)
		run->first_running_ms = now;
	run->job->start_unconfirmed = false;
	run->last_running_ms = now;
	if (run->percent != row->percent) {
		run->percent = row->percent;
		run->progress_ms = now;
	}
	run->metric_value = row->figure;
	if (run->phase == WKR_NEW)
		run->phase = WKR_ON;
	run->may_have_started = true;
}

/*
 * A run that the table doesn't have: an order that came late, of a run that
 * was given up meanwhile. It must end before anybody sees two of it.
 */
static void wkr_stop_stray(struct wkr_link *l, const struct wkr_row *row)
{
	char task[JTB_ID_MAX + 40];

	jtb_name_format(&row->name, task, sizeof(task));
	msg(MSG_WKR_STRAY, "worker=%s task=%s attempt=%u does=stop",
	    l->w->info.id, task, row->attempt);
	wkr_order_stop(l, &row->name, row->attempt, NULL);
}

/*
 * A run that the worker had, or was told to forget, before it was asked, and
 * that it lists neither as running nor as ended, is over.
 * A list of which a row couldn't be read, or that tells only the first of many
 * ends, says nothing of that.
 */
static void wkr_take_missing(struct wkr_link *l, const struct wkr_report *r,
			     int64_t sent_ms)
{
	struct evd_moment m = wkr_moment(l->k);
	GPtrArray *over = g_ptr_array_new();
	struct evd e = {0};
	guint i;

	for (i = 0; i < l->w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(l->w->runs, i);
		struct jtb_name n;
		bool there = false;
		guint j;

		if (!evd_unlisted(run, sent_ms, &m, &e))
			continue;
		jtb_name_of(run, &n);
		for (j = 0; j < r->rows->len && !there; j++) {
			const struct wkr_row *row =
				&g_array_index(r->rows, struct wkr_row, j);

			there = row->attempt == run->attempt &&
				jtb_name_equal(&row->name, &n);
		}
		if (!there && !wkr_ended(r, run))
			g_ptr_array_add(over, run);
	}
	for (i = 0; i < over->len; i++)
		l->k->ops->lost(l->k->arg, g_ptr_array_index(over, i), &e);
	g_ptr_array_free(over, TRUE);
}

/* Whether a list tells the end of a run. */
static bool wkr_ended(const struct wkr_report *r, const struct jtb_run *run)
{
	struct jtb_name n;
	guint i;

	jtb_name_of(run, &n);
	for (i = 0; i < r->ends->len; i++) {
		const struct wkr_end *e =
			&g_array_index(r->ends, struct wkr_end, i);

		if (e->known && e->attempt == run->attempt &&
		    jtb_name_equal(&e->name, &n))
			return true;
	}
	return false;
}
