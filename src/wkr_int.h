#ifndef WKR_INT_H
#define WKR_INT_H

/* Declarations shared by the files of the worker sessions. */

#include "wkr.h"

#include <inttypes.h>

#include "cpu.h"
#include "lod.h"
#include "msg.h"
#include "sch.h"
#include "zon.h"

/*
 * Length of a lease, ms: longer than a leader's failure, an election and the
 * first call together (about 2.5 s), so that a change of leader ends no run;
 * short, since tasks of an unreachable worker wait for its expiry.
 */
#define WKR_LEASE_MS 5000
/* How long a hold waits on the worker for an end, ms. */
#define WKR_HOLD_WAIT_MS 500
/*
 * The same while a long-running task is starting: until that has been observed
 * running, no other task of its step may be moved, and a longer wait delayed
 * whole maintenance waves. Also during an isolated retry, as its worker gets
 * nothing else meanwhile.
 */
#define WKR_WAIT_STARTING_MS 250
/* Timeout of a hold beyond its own wait, ms; far above a round trip of 2 ms. */
#define WKR_HOLD_TIMEOUT_MS 400
/* Timeout of an order, ms; it is then sent again, which is idempotent. */
#define WKR_ORDER_TIMEOUT_MS 400
#define WKR_CONNECT_TIMEOUT_MS 500
/* Interval between holds that do not wait, while connections are scarce, ms. */
#define WKR_POLL_INTERVAL_MS 250
/* Least interval between two holds that brought nothing new, ms. */
#define WKR_MIN_INTERVAL_MS 40
/* Most orders in flight to one worker; more would only queue there. */
#define WKR_ORDER_WINDOW 4
/*
 * Bounds of the delay between retries of unanswered calls, which doubles, ms.
 */
#define WKR_RETRY_MIN_MS 100
#define WKR_RETRY_MAX_MS 1000
/* Back-off from a worker that refused a start for lack of capacity, ms. */
#define WKR_FULL_BACKOFF_MS 150
/* Back-off from a worker that answered that it is unhealthy, ms. */
#define WKR_UNHEALTHY_BACKOFF_MS 1500
/* Largest answer accepted, bytes: 500 ends and all runs of a large worker. */
#define WKR_ANSWER_MAX (1 << 20)
/* Pace of best-effort runs until a new leader has figures, percent. */
#define WKR_INITIAL_PACE 50
/*
 * How long after a call without an answer its order may still be carried out,
 * ms; workers that do so take up to 12 s.
 */
#define WKR_LATE_MS 15000
/* How long an idle connection is reused, ms; orders may safely be repeated. */
#define WKR_REUSE_MS 20000

/* An abandoned run whose start may still arrive at the worker. */
struct wkr_stale_start {
	struct jtb_name name;
	uint32_t attempt;
	int64_t at_ms; /* when it was recorded */
	bool stopping; /* a stop for the run is in flight */
};

/* A call in flight. */
struct wkr_call {
	struct wkr_session *session;
	struct ups_call *ups; /* call made by the leader, or */
	struct rly_call *rly; /* call relayed by another replica */
	struct evbuffer *body;
	enum wkr_order_kind kind;
	uint64_t serial; /* serial of the run; 0: hold, or not for a run */
	/* stale start that this call stops; or NULL */
	struct wkr_stale_start *stale;
	int64_t sent_ms;
	int percent;
	/* enum wkr_phase of the run when the call was sent */
	uint8_t phase_before;
};

/* The session with one worker. */
struct wkr_session {
	struct wkr *k;
	struct jtb_worker *w;
	struct zon_zone *zone;
	bool polled; /* the worker has sent a list in this term */
	struct wkr_call *hold;
	uint64_t hold_timer;
	uint64_t order_timer;
	GPtrArray *calls; /* struct wkr_call, without the hold */
	/* the worker's clock, leases and reachability */
	struct evd_worker state;
	int64_t retry_ms;
	int64_t backoff_until;
	/*
	 * number of calls lost or not answered, by which the next route is
	 * selected
	 */
	uint32_t n_lost;
	int64_t lost_ms; /* when n_lost last grew */
	/* end that must be committed before the next hold; 0: none */
	uint64_t await_end_no;
	/*
	 * The owner was told that nothing runs on the worker, and the job table
	 * does not show that yet: no order or lease may be sent in between, as
	 * it would make that wrong.
	 */
	bool abandoned;
	uint32_t cleared; /* the worker's cleared count at that time */
	/*
	 * The worker gets no lease until it has answered a stop for each of
	 * these: with a lease it would accept the start, beside the run that
	 * has replaced it.
	 */
	GPtrArray *stale; /* struct wkr_stale_start */
	int64_t started_ms; /* lifetime that the session is with; 0: unknown */
	/*
	 * Runs that are over and of which an order was not answered: the next
	 * lifetime under the worker's id would carry it out.
	 */
	GPtrArray *late; /* struct wkr_stale_start */
	/*
	 * Last call without an answer, since which no list has shown that the
	 * worker is still in its lifetime; 0: none.
	 */
	int64_t doubted_ms;
	/* an order to an earlier lifetime may give the worker a lease until */
	int64_t late_until;
	bool superseded; /* it listed a later lifetime than it reported */
	int64_t shown_ms; /* when the last list of its lifetime was requested */
	bool lists_ends; /* the last list had ends to acknowledge */
	bool ack_withheld; /* the last hold left these unacknowledged */
};

struct wkr {
	struct wkr_config config;
	const struct wkr_ops *ops;
	void *arg;
	struct ups *ups;
	guint busy; /* workers with runs, as of the last tick */
	GPtrArray *sessions;
	GHashTable *runs; /* serial: struct jtb_run */
	/* worker's id: struct wkr_stale_start, of sessions that were closed */
	GHashTable *departed;
	struct zon *zones;
	uint64_t fence;
	int64_t lease_ms;
	int64_t led_since;
	uint64_t tick;
	bool leading;
	struct wkr_stats stats;
};

void wkr_send_call(struct wkr_session *s, struct wkr_call *c,
		   const struct wkr_order *o, int64_t timeout_ms);
guint wkr_window(const struct wkr *k);
void wkr_send_hold(struct wkr_session *s);
void wkr_schedule_hold(struct wkr_session *s, int64_t ms);
void wkr_on_hold_end(struct wkr_session *s, int status, struct lstr body,
		     int64_t sent_ms);
void wkr_send_orders(struct wkr_session *s);
void wkr_schedule_orders(struct wkr_session *s, int64_t ms);
void wkr_send_order(struct wkr_session *s, struct jtb_run *run,
		    enum wkr_order_kind kind);
void wkr_send_stop(struct wkr_session *s, const struct jtb_name *name,
		   uint32_t attempt, struct wkr_stale_start *stale);
void wkr_record_stale_starts(struct wkr_session *s);
void wkr_stop_stale_starts(struct wkr_session *s);
void wkr_on_answer(struct wkr_session *s, const struct wkr_call *c,
		   enum wkr_answer answer);
void wkr_on_no_answer(struct wkr_session *s, const struct wkr_call *c,
		      bool sent);
void wkr_on_not_sent(struct wkr_session *s, const struct wkr_call *c);
void wkr_record_silent(struct wkr_session *s);
void wkr_drop_unsent_runs(struct wkr_session *s);
void wkr_session_cancel(struct wkr_session *s);
void wkr_record_late(struct wkr_session *s, const struct jtb_run *run);
void wkr_confirm_stale(struct wkr_session *s, struct wkr_stale_start *stale);
void wkr_keep_departed(struct wkr_session *s);
void wkr_take_departed(struct wkr_session *s);
void wkr_begin_lifetime(struct wkr_session *s);
void wkr_doubt_lifetime(struct wkr_session *s);
bool wkr_may_have_restarted(const struct wkr_session *s);
uint64_t wkr_ack_no(const struct wkr_session *s);
bool wkr_is_lifetime(struct wkr_session *s, const struct wkr_report *r);
bool wkr_awaits_late_order(const struct wkr_session *s, int64_t now);
void wkr_next_route(struct wkr_session *s);
void wkr_on_call_lost(struct wkr_session *s, const struct wkr_call *c);
void wkr_mark_unreachable(struct wkr_session *s);
void wkr_mark_reachable(struct wkr_session *s, int64_t clock_ms);
int64_t wkr_lease_end(struct wkr_session *s);
struct evd_moment wkr_moment(const struct wkr *k);
void wkr_notify_ended(struct wkr_session *s, enum evd_why why,
		      int64_t as_of_ms);

#endif
