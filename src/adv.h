#ifndef ADV_H
#define ADV_H

/*
 * Advice (adv): obtains tickets, which starts of some queues must carry, from
 * an outside service.
 */

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
 * Some queues let only some workers run a step, and only the advice service,
 * which is not part of the fleet, knows which. For each worker that it approves
 * it issues a ticket, which the start must carry. struct adv decides which
 * query comes next and keeps the tickets, without input or output; struct
 * adv_line is the connection to the service. Only the leader uses them, and
 * both are empty when a replica becomes leader.
 */
struct adv;
struct adv_line;

/* Most workers in one query; the service accepts no more. */
#define ADV_NAMES_MAX 100
/*
 * Connections to the advice service: one call at a time, and idle connections
 * of calls that were cancelled.
 */
#define ADV_CONNS_MAX 4

/* A query: which of these workers may run this step. */
struct adv_query {
	struct jtb_name step; /* without a task index */
	GPtrArray *workers; /* char *, ids of workers' lifetimes */
	int64_t takes_ms; /* expected time until the answer */
	int64_t valid_ms; /* validity of the tickets; 0: not known, no limit */
};

/* An approved worker in an answer, and its ticket. */
struct adv_row {
	char *worker;
	char *ticket;
};

struct adv *adv_new(const struct jtb *t);
void adv_free(struct adv *a);
void adv_clear(struct adv *a);
bool adv_needed(struct adv *a);
bool adv_next_query(struct adv *a, const struct sch_view *v,
		    struct adv_query *out);
void adv_accept_answer(struct adv *a, const struct adv_query *query,
		       const GPtrArray *rows, int64_t sent_ms, int64_t now_ms);
void adv_reject_query(struct adv *a, const struct adv_query *query,
		      int64_t now_ms);
void adv_drop_ticket(struct adv *a, const struct jtb_run *run, int64_t now_ms);
void adv_forget_worker(struct adv *a, const char *worker);
const char *adv_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		       uint32_t step, const struct jtb_worker *w,
		       int64_t now_ms);
bool adv_has_ticket(struct adv *a, const struct jtb_job *job, uint32_t turn,
		    uint32_t step, const struct jtb_worker *w, int64_t now_ms);
uint32_t adv_waiting(struct adv *a, int64_t now_ms, int64_t wall_ms);
uint32_t adv_step_count(const struct adv *a);
void adv_query_clear(struct adv_query *query);
void adv_row_free(gpointer p);

/* Meaning of an answer of the advice service. */
enum adv_result {
	ADV_OK,
	ADV_BUSY, /* too many calls wait at the service */
	ADV_REJECTED, /* the service rejects this query */
	ADV_UNAVAILABLE, /* the service is unavailable */
	ADV_MALFORMED, /* the answer is malformed */
};

/* Encoding of queries and answers. */
struct adv_codec {
	const char *content_type;
	/* writes a query into body; returns the path to post it to */
	const char *(*write)(const struct adv_query *query,
			     struct evbuffer *body);
	/*
	 * Decodes an answer: appends struct adv_row to rows, and sets valid_ms,
	 * the validity of the tickets, if the answer contains it.
	 */
	enum adv_result (*answer)(int status, struct lstr body, GPtrArray *rows,
				  int64_t *valid_ms);
};

/* Callbacks to the owner. */
struct adv_ops {
	/* tickets have arrived: the tasks that wait for them may start */
	void (*changed)(void *arg);
	/* adv_line_poll should be called again */
	void (*poll)(void *arg);
};

struct adv_config {
	struct event_base *base;
	struct tmr *tmr;
	const struct adv_codec *codec;
	const char *addr; /* IP:PORT; or NULL: no advice service */
};

/* Counters since the start of the process. */
struct adv_stats {
	uint64_t calls;
	uint64_t failed; /* calls without a usable answer */
	uint64_t named; /* workers in all queries */
	uint64_t approved; /* workers in all answers */
	struct cnt_times answers; /* time from calls to answers */
};

struct adv_line *adv_line_new(const struct adv_config *config, struct adv *adv,
			      const struct adv_ops *ops, void *arg);
void adv_line_free(struct adv_line *l);
void adv_line_lead(struct adv_line *l);
void adv_line_step_down(struct adv_line *l);
void adv_line_poll(struct adv_line *l, const struct sch_view *v);
void adv_line_set_addr(struct adv_line *l, const char *addr);
bool adv_line_configured(const struct adv_line *l);
const struct adv_stats *adv_line_stats(const struct adv_line *l);

#endif
