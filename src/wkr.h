#ifndef WKR_H
#define WKR_H

/* Worker sessions: orders, leases and run lists between leader and workers. */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "cnt.h"
#include "evd.h"
#include "jtb.h"
#include "rly.h"
#include "tmr.h"
#include "ups.h"

/*
 * The leader's sessions with all workers. The codec defines how orders look on
 * the wire; the owner decides what the ends of runs cause.
 */
struct wkr;

/* State of a run's orders. */
enum wkr_phase {
	WKR_NEW, /* a start is to be sent */
	WKR_SENT, /* an order is in flight */
	WKR_ACCEPTED, /* the worker has accepted the start or lists the run */
	WKR_OVER, /* the worker has answered that the run never starts again */
	WKR_DROPPED, /* abandoned by the leader; the run's end is proposed */
};

/* Whether a worker may be assigned new work, and if not, why. */
enum wkr_availability {
	WKR_AVAILABLE, /* the worker may be assigned work */
	WKR_DRAINING, /* the worker has reported that it is draining */
	WKR_UNREACHABLE, /* the worker does not answer, or has not yet */
	WKR_BACKED_OFF, /* the worker was unhealthy or full recently */
};

/* A worker's answer to an order. */
enum wkr_answer {
	WKR_YES,
	WKR_FENCED, /* the worker has seen a higher fencing token */
	WKR_RUN_OVER, /* the run is over on the worker */
	WKR_LEASE_EXPIRED, /* the lease had expired when the order arrived */
	WKR_NO_CAPACITY,
	WKR_NO_TICKET,
	WKR_UNHEALTHY, /* the worker is unable to now, and did nothing */
	WKR_OTHER_INSTANCE, /* another process instance is at that address */
	WKR_MALFORMED, /* the worker could not parse the order */
	WKR_UNREADABLE, /* the answer could not be parsed */
};

enum wkr_order_kind {
	WKR_START,
	WKR_STOP,
	WKR_HOLD,
	WKR_PACE,
};

/*
 * An order for the codec to encode; fields that a kind does not use are zero.
 */
struct wkr_order {
	enum wkr_order_kind kind;
	const char *task;
	uint32_t attempt;
	const char *text; /* start */
	const char *saved; /* start: saved progress to resume from; or NULL */
	const char *ticket; /* start: or NULL */
	uint64_t fence;
	int64_t until_ms; /* end of the lease, on the worker's clock; 0: none */
	uint64_t ack; /* hold: ends up to this number are committed */
	int64_t wait_ms; /* hold: how long the worker may wait for an end */
	int percent; /* pace */
};

/* In place of a worker's start: it was reported and is not a time. */
#define WKR_START_DAMAGED (-1)

/* A run in a worker's list. */
struct wkr_row {
	struct jtb_name name;
	uint32_t attempt;
	struct lstr saved;
	int32_t percent; /* share of the work done; -1: not reported */
	/* tail latency in ms, or processor in use; -1: not reported */
	int32_t figure;
};

/* The end of a run as a worker reports it. */
struct wkr_end {
	uint64_t no;
	struct jtb_name name;
	bool known; /* the task's name could be parsed */
	uint32_t attempt;
	enum jtb_end how;
	struct lstr saved;
};

/*
 * A worker's answer to a hold; its strings are valid as long as the answer's
 * bytes.
 */
struct wkr_report {
	int64_t clock_ms; /* the worker's clock; 0: not reported */
	/* as in struct jtb_worker_info; WKR_START_DAMAGED: not a time */
	int64_t started_ms;
	GArray *rows; /* struct wkr_row */
	GArray *ends; /* struct wkr_end */
	bool partial; /* the report is, or may be, incomplete */
	void *owner; /* data of the codec */
};

/* Encodes orders and decodes answers. */
struct wkr_codec {
	const char *content_type;
	/* header with the id of the worker instance addressed */
	const char *instance_header;
	const char *(*write)(const struct wkr_order *o, struct evbuffer *body);
	/* Decodes an answer; clock_ms is set to 0 if it has no clock. */
	enum wkr_answer (*answer)(int status, struct lstr body,
				  int64_t *clock_ms);
	bool (*report)(struct lstr body, struct wkr_report *out);
	void (*report_done)(struct wkr_report *r);
};

struct wkr_ops {
	/* Reports the ends of runs on w; e is valid during the call. */
	void (*ends)(void *arg, struct jtb_worker *w, const struct wkr_end *e,
		     size_t n);
	/* Reports that a run is over without an end from the worker. */
	void (*lost)(void *arg, struct jtb_run *run, const struct evd *e);
	/* Reports that nothing runs on w any more. */
	void (*gone)(void *arg, struct jtb_worker *w, const struct evd *e);
	/* Reports that a new list of w was processed. */
	void (*seen)(void *arg, struct jtb_worker *w);
	/*
	 * Returns in out the ticket that a start needs, NULL if it needs none.
	 * Returns false if it needs one and has none.
	 */
	bool (*ticket)(void *arg, const struct jtb_run *run, const char **out);
	/* Reports that the worker refused a start because of its ticket. */
	void (*ticket_refused)(void *arg, const struct jtb_run *run);
	/*
	 * Returns when this replica's leadership was last confirmed, on the
	 * clock of tmr.
	 */
	int64_t (*confirmed_ms)(void *arg);
	/*
	 * Returns the replica that relays the calls to w, or NULL if the leader
	 * makes them itself. n_lost grows with each call to w that was lost.
	 */
	const char *(*relay)(void *arg, const struct jtb_worker *w,
			     uint32_t n_lost);
	/*
	 * Reports that the leader makes the first call that starts a run
	 * itself; may be NULL.
	 */
	void (*direct)(void *arg, const struct jtb_run *run, uint32_t n_lost);
};

struct wkr_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct wkr_codec *codec;
	struct jtb *jtb;
	int64_t hold_max_ms; /* longest lease that workers accept */
	int conns_max; /* most connections to workers at once; 0: unlimited */
	struct rly *rly; /* calls relayed by other replicas; or NULL */
};

/* Counters since the start. */
struct wkr_stats {
	uint64_t orders[WKR_PACE + 1];
	uint64_t unanswered;
	/* orders not sent for lack of a connection of this replica */
	uint64_t not_sent;
	uint64_t starts_relayed; /* runs whose first order went by a relay */
	uint64_t refused; /* starts refused by workers */
	uint64_t ticket_refusals; /* of these, for lack of a ticket */
	uint64_t restarts; /* workers that started again under their ids */
	/* lists of another lifetime than the worker's, or that name none */
	uint64_t foreign_lists;
	/* holds that left ends unacknowledged, as a restart was possible */
	uint64_t acks_withheld;
	uint64_t zones_silent; /* zones whose workers fell silent together */
	uint64_t dropped; /* runs never sent that a silent worker gave back */
	uint64_t expired; /* workers abandoned as their leases expired */
	struct cnt_times answers; /* times from orders to their answers */
	struct cnt_times margin; /* remaining times of leases when renewed */
};

struct wkr *wkr_new(const struct wkr_config *config, const struct wkr_ops *ops,
		    void *arg);
void wkr_free(struct wkr *k);
void wkr_lead(struct wkr *k, uint64_t fence);
void wkr_stop_leading(struct wkr *k);
void wkr_update_worker(struct wkr *k, struct jtb_worker *w);
void wkr_remove_worker(struct wkr *k, struct jtb_worker *w);
void wkr_add_run(struct wkr *k, struct jtb_run *run);
void wkr_remove_run(struct wkr *k, struct jtb_run *run);
void wkr_stop_run(struct wkr *k, struct jtb_run *run);
void wkr_set_pace(struct wkr *k, struct jtb_run *run, int percent);
void wkr_on_commit(struct wkr *k);
void wkr_poll(struct wkr *k, struct jtb_worker *w);
void wkr_set_clock(struct wkr *k, struct jtb_worker *w, int64_t clock_ms);
enum wkr_availability wkr_availability(const struct wkr *k,
				       const struct jtb_worker *w);
bool wkr_usable(const struct wkr *k, const struct jtb_worker *w);
int64_t wkr_unreachable_since(const struct wkr *k, const struct jtb_worker *w);
int64_t wkr_observed_ms(const struct wkr *k, const struct jtb_run *run);
GArray *wkr_reachable_runs(const struct jtb_worker *w);
bool wkr_evidence_is_outdated(const struct jtb_worker *w, int64_t as_of_ms);
bool wkr_is_reachable(const struct wkr *k, const struct jtb_worker *w);
const struct wkr_stats *wkr_stats(const struct wkr *k);
struct ups_stats wkr_conns(const struct wkr *k);
struct ups *wkr_ups(const struct wkr *k);

#endif
