#ifndef ADV_H
#define ADV_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "cnt.h"
#include "jtb.h"
#include "lstr.h"
#include "sch.h"
#include "tmr.h"
#include "ups.h"

/*
 * Advice: some queues let only some workers run a step, and only an outside
 * service knows which. For those it approves it gives tickets, which starts
 * must carry. struct adv decides whom to ask for what next and keeps the
 * tickets, without input or output; struct adv_line is the session with the
 * service. Both are the leader's alone, and begin empty with each leader.
 */
struct adv;
struct adv_line;

/* Workers named in one call at most; the service takes no more. */
#define ADV_NAMES_MAX 100
/* Connections to the service that gives advice: one call at a time, and an idle
 * connection that was given up.
 */
#define ADV_CONNS_MAX 4

/* A question: which of these workers may run that step. */
struct adv_ask {
	struct jtb_name step; /* without an index */
	GPtrArray *workers; /* char *, ids of lifetimes */
	int64_t takes_ms; /* until the answer, as the queue says */
	int64_t valid_ms; /* of its tickets; 0: not told */
};

/* A worker that may run the step. */
struct adv_row {
	char *worker;
	char *ticket;
};

struct adv *adv_new(const struct jtb *t);
void adv_free(struct adv *a);
void adv_clear(struct adv *a);
bool adv_needed(struct adv *a);
bool adv_next(struct adv *a, const struct sch_view *v, struct adv_ask *out);
void adv_answered(struct adv *a, const struct adv_ask *ask,
		  const GPtrArray *rows, int64_t asked_ms, int64_t now_ms);
void adv_turned_down(struct adv *a, const struct adv_ask *ask, int64_t now_ms);
void adv_drop(struct adv *a, const struct jtb_run *run, int64_t now_ms);
const char *adv_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		       uint32_t step, const struct jtb_worker *w,
		       int64_t now_ms);
bool adv_ticketed(struct adv *a, const struct jtb_job *job, uint32_t turn,
		  uint32_t step, const struct jtb_worker *w, int64_t now_ms);
uint32_t adv_waiting(struct adv *a, int64_t now_ms, int64_t wall_ms);
uint32_t adv_kept(const struct adv *a);
void adv_ask_clear(struct adv_ask *ask);
void adv_row_free(gpointer p);

/* What an answer of the service means. */
enum adv_result {
	ADV_TOLD,
	ADV_BUSY, /* too many calls wait there */
	ADV_TURNED_DOWN, /* it doesn't take this question */
	ADV_SICK, /* it can't now */
	ADV_UNREADABLE, /* we didn't understand it */
};

/* How questions and answers look on the wire. */
struct adv_codec {
	const char *content_type;
	/* returns the path */
	const char *(*write)(const struct adv_ask *ask, struct evbuffer *body);
	/* adds struct adv_row; valid_ms: of tickets, as it was if not told */
	enum adv_result (*answer)(int status, struct lstr body, GPtrArray *rows,
				  int64_t *valid_ms);
};

struct adv_ops {
	/* tickets came in: what waited for them may be started */
	void (*changed)(void *arg);
	/* the time has come to call adv_line_look again */
	void (*look)(void *arg);
};

struct adv_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct adv_codec *codec;
	const char *addr; /* IP:PORT; or NULL: nobody gives advice */
};

/* Counters since the start. */
struct adv_stats {
	uint64_t calls;
	uint64_t failed; /* calls without a good answer */
	uint64_t named; /* workers asked for */
	uint64_t approved;
	struct cnt_times answers; /* how long calls took to be answered */
};

struct adv_line *adv_line_new(const struct adv_config *config, struct adv *adv,
			      const struct adv_ops *ops, void *arg);
void adv_line_free(struct adv_line *l);
void adv_line_lead(struct adv_line *l);
void adv_line_rest(struct adv_line *l);
void adv_line_look(struct adv_line *l, const struct sch_view *v);
void adv_line_set_addr(struct adv_line *l, const char *addr);
bool adv_line_there(const struct adv_line *l);
const struct adv_stats *adv_line_stats(const struct adv_line *l);

#endif
