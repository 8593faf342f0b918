#include "wkr_int.h"

/* Polls workers for the runs that they list, and processes the lists. */

static int64_t wkr_hold_wait_ms(const struct wkr_session *s);
static bool wkr_conns_scarce(const struct wkr *k);
static void wkr_on_hold_timer(void *arg, int64_t now);
static void wkr_process_report(struct wkr_session *s,
			       const struct wkr_report *r, int64_t sent_ms);
static int64_t wkr_hold_delay_ms(const struct wkr_session *s, int64_t took_ms);
static void wkr_process_row(struct wkr_session *s, const struct wkr_row *row,
			    int64_t now);
static void wkr_stop_unknown(struct wkr_session *s, const struct wkr_row *row);
static void wkr_process_missing(struct wkr_session *s,
				const struct wkr_report *r, int64_t sent_ms);
static bool wkr_report_has_end(const struct wkr_report *r,
			       const struct jtb_run *run);

/*
 * Sends a hold, which asks for the worker's list and renews the lease of all
 * its runs. An unreachable worker gets no lease: any lease that it might have
 * received would postpone the time from which its tasks may be started
 * elsewhere.
 */
void wkr_send_hold(struct wkr_session *s)
{
	struct wkr_order o = {
		.kind = WKR_HOLD,
		.fence = s->k->fence,
		.ack = wkr_ack_no(s),
	};
	bool withheld = s->ack_withheld;

	if (s->hold || s->await_end_no || !s->k->leading ||
	    s->w->restart_proposed)
		return;
	s->ack_withheld = s->lists_ends && !o.ack;
	if (s->ack_withheld)
		s->k->stats.acks_withheld++;
	tmr_cancel(s->k->config.tmr, s->hold_timer);
	s->hold_timer = 0;
	if (s->w->runs->len && !s->state.failed_since && !s->abandoned &&
	    !s->doubted_ms && !s->stale->len && !s->superseded) {
		o.until_ms = wkr_lease_end(s);
		o.wait_ms =
			s->polled && !s->ack_withheld ? wkr_hold_wait_ms(s) : 0;
	}
	s->hold = g_new0(struct wkr_call, 1);
	wkr_send_call(s, s->hold, &o, o.wait_ms + WKR_HOLD_TIMEOUT_MS);
	if (withheld && !s->ack_withheld)
		wkr_schedule_orders(s, 0);
}

/* Returns how long the next hold may wait on the worker, ms. */
static int64_t wkr_hold_wait_ms(const struct wkr_session *s)
{
	guint i;

	if (wkr_conns_scarce(s->k))
		return 0;
	for (i = 0; i < s->w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(s->w->runs, i);

		if (run->job->spec.steps[run->step].flags & JTB_LONG_RUNNING &&
		    run->percent < 100)
			return WKR_WAIT_STARTING_MS;
		if (jtb_suspect(run->job, run->step, run->index))
			return WKR_WAIT_STARTING_MS;
	}
	return WKR_HOLD_WAIT_MS;
}

/* Schedules a hold after ms, unless one is scheduled or in flight. */
void wkr_schedule_hold(struct wkr_session *s, int64_t ms)
{
	if (s->hold_timer || s->hold)
		return;
	s->hold_timer = tmr_once(s->k->config.tmr, ms, wkr_on_hold_timer, s);
}

/* Sends the scheduled hold. */
static void wkr_on_hold_timer(void *arg, int64_t now)
{
	struct wkr_session *s = arg;
	enum cpu_kind before = cpu_enter(CPU_LISTS);

	s->hold_timer = 0;
	wkr_send_hold(s);
	cpu_leave(before);
}

/* Processes the answer to a hold. */
void wkr_on_hold_end(struct wkr_session *s, int status, struct lstr body,
		     int64_t sent_ms)
{
	const struct wkr_codec *codec = s->k->config.codec;
	struct wkr_report r = {0};
	int64_t clock_ms = 0;
	enum wkr_answer answer;

	/*
	 * A list of the earlier lifetime would be applied behind the next one:
	 * the numbers of its ends would acknowledge those of the new process,
	 * whose tasks would then run twice.
	 */
	if (s->w->restart_proposed)
		return;
	if (status == 200 && codec->report(body, &r)) {
		if (wkr_is_lifetime(s, &r)) {
			wkr_mark_reachable(s, r.clock_ms);
			wkr_process_report(s, &r, sent_ms);
		} else {
			wkr_mark_unreachable(s);
			wkr_schedule_hold(s, s->retry_ms);
		}
		codec->report_done(&r);
		return;
	}
	answer = codec->answer(status, body, &clock_ms);
	if (answer == WKR_OTHER_INSTANCE) {
		wkr_notify_ended(s, EVD_OTHER_INSTANCE, sent_ms);
		return;
	}
	if (answer == WKR_UNHEALTHY)
		s->backoff_until =
			tmr_now(s->k->config.tmr) + WKR_UNHEALTHY_BACKOFF_MS;
	wkr_mark_unreachable(s);
	wkr_schedule_hold(s, s->retry_ms);
}

/* Processes a worker's list. */
static void wkr_process_report(struct wkr_session *s,
			       const struct wkr_report *r, int64_t sent_ms)
{
	int64_t now = tmr_now(s->k->config.tmr);
	uint64_t last = 0;
	guint i;

	for (i = 0; i < r->rows->len; i++)
		wkr_process_row(s, &g_array_index(r->rows, struct wkr_row, i),
				now);
	if (!r->partial)
		wkr_process_missing(s, r, sent_ms);
	s->polled = true;
	s->shown_ms = sent_ms;
	s->lists_ends = s->started_ms && r->ends->len;
	if (sent_ms > s->doubted_ms)
		s->doubted_ms = 0;
	for (i = 0; i < r->ends->len; i++)
		last = MAX(last, g_array_index(r->ends, struct wkr_end, i).no);
	if (last > s->w->last_end_no) {
		s->await_end_no = last;
		s->k->ops->ends(s->k->arg, s->w,
				(const struct wkr_end *)r->ends->data,
				r->ends->len);
	} else if (s->w->runs->len || s->stale->len || last) {
		wkr_schedule_hold(s, wkr_hold_delay_ms(s, now - sent_ms));
	}
	s->k->ops->seen(s->k->arg, s->w);
	wkr_stop_stale_starts(s);
	wkr_send_orders(s);
}

/*
 * Whether connections are too few for each worker with runs to occupy one while
 * its hold waits for an end. Orders would find no connection then, and leases
 * of other workers would expire.
 */
static bool wkr_conns_scarce(const struct wkr *k)
{
	guint most = (guint)k->config.conns_max;

	return ups_urgent_waiting(k->ups) || (most && k->busy > most / 2);
}

/*
 * Returns the delay before the next hold after one that brought nothing new,
 * ms.
 */
static int64_t wkr_hold_delay_ms(const struct wkr_session *s, int64_t took_ms)
{
	/* first starts wait until the ends are acknowledged */
	if (s->ack_withheld && wkr_ack_no(s))
		return 0;
	if (wkr_conns_scarce(s->k))
		return WKR_POLL_INTERVAL_MS;
	/*
	 * A worker that does not wait as requested must not make the leader
	 * poll in a busy loop.
	 */
	return took_ms < WKR_MIN_INTERVAL_MS ? WKR_MIN_INTERVAL_MS : 0;
}

/* Processes one run of a worker's list. */
static void wkr_process_row(struct wkr_session *s, const struct wkr_row *row,
			    int64_t now)
{
	struct jtb_run *run = jtb_find_run(s->k->config.jtb, &row->name,
					   row->attempt, s->w->info.id);

	if (!run) {
		wkr_stop_unknown(s, row);
		return;
	}
	run->job->start_unconfirmed = false;
	evd_record_running(run, row->percent, now);
	run->metric_value = row->figure;
	if (run->phase == WKR_NEW)
		run->phase = WKR_ACCEPTED;
	run->may_have_started = true;
}

/*
 * Stops a listed run that the job table does not have: its start arrived after
 * the run was abandoned. It must end before its task is seen to run twice.
 */
static void wkr_stop_unknown(struct wkr_session *s, const struct wkr_row *row)
{
	char task[JTB_ID_MAX + 40];

	jtb_name_format(&row->name, task, sizeof(task));
	msg(MSG_WKR_STRAY, "worker=%s task=%s attempt=%u does=stop",
	    s->w->info.id, task, row->attempt);
	wkr_send_stop(s, &row->name, row->attempt, NULL);
}

/*
 * Reports as lost each run that the worker had, or was told to forget, before
 * its list was requested, and that the list has neither as running nor as
 * ended. A list with an unreadable row, or with only the first of many ends,
 * proves nothing about missing runs.
 */
static void wkr_process_missing(struct wkr_session *s,
				const struct wkr_report *r, int64_t sent_ms)
{
	struct evd_moment m = wkr_moment(s->k);
	GPtrArray *missing = g_ptr_array_new();
	struct evd e = {0};
	guint i;

	for (i = 0; i < s->w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(s->w->runs, i);
		struct jtb_name n;
		bool listed = false;
		guint j;

		if (!evd_unlisted(run, sent_ms, &m, &e))
			continue;
		jtb_name_of(run, &n);
		for (j = 0; j < r->rows->len && !listed; j++) {
			const struct wkr_row *row =
				&g_array_index(r->rows, struct wkr_row, j);

			listed = row->attempt == run->attempt &&
				 jtb_name_equal(&row->name, &n);
		}
		if (!listed && !wkr_report_has_end(r, run))
			g_ptr_array_add(missing, run);
	}
	for (i = 0; i < missing->len; i++)
		s->k->ops->lost(s->k->arg, g_ptr_array_index(missing, i), &e);
	g_ptr_array_free(missing, TRUE);
}

/* Whether a list contains the end of a run. */
static bool wkr_report_has_end(const struct wkr_report *r,
			       const struct jtb_run *run)
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
