#ifndef UPS_H
#define UPS_H

/* HTTP client for requests to upstream targets, over libevent's evhttp. */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "tmr.h"

/*
 * An answer is reported as whole only if its own framing proves it. Any other
 * end is classified by what is known of the request's outcome.
 */
struct ups;
struct ups_call;

enum ups_end {
	UPS_WHOLE, /* the whole answer has arrived */
	UPS_NOT_SENT, /* no byte of the request has left this process */
	UPS_TRUNCATED, /* sent; connection closed before the answer was whole */
	/* sent; the answer's framing isn't reliable, or it is too long */
	UPS_MALFORMED,
	UPS_TIMEOUT, /* sent; no whole answer in time */
	UPS_NO_CONNECTION, /* no connection available here; not tried */
	UPS_LOST, /* the relay that was to send it reported no end; see rly */
	UPS_ENDS
};

struct ups_header {
	char *name;
	char *value;
};

struct ups_request {
	const char *addr; /* IP:PORT of the target */
	enum evhttp_cmd_type method;
	const char *uri; /* path and query as sent */
	const struct ups_header *headers;
	size_t n_headers;
	struct evbuffer *body; /* must live until the end; or NULL */
	int64_t timeout_ms; /* time limit of the whole call */
	int64_t connect_ms; /* of that, time limit to connect */
	int64_t max_answer; /* bytes buffered; larger answers are streamed */
	bool urgent; /* is served first when connections are scarce */
};

/* An answer. Valid during the callbacks; its headers until the call ends. */
struct ups_answer {
	int status; /* 0: no answer */
	const struct ups_header *headers;
	size_t n_headers;
	struct evbuffer *body; /* the whole body, or its next part */
	bool reused; /* received over a reused connection */
};

struct ups_ops {
	/*
	 * Whether the request may be written, checked as it is written. False:
	 * no byte is sent. NULL: always.
	 */
	bool (*may_write)(void *arg);
	/*
	 * The answer is larger than max_answer; its body follows in parts.
	 * NULL: such an answer ends the call.
	 */
	void (*start)(void *arg, const struct ups_answer *a);
	/* The next part. Returns false to stop reading until ups_resume. */
	bool (*part)(void *arg, const struct ups_answer *a);
	/* The end. Called exactly once, never from within ups_start. */
	void (*end)(void *arg, enum ups_end end, const struct ups_answer *a);
};

struct ups_stats {
	uint64_t connects;
	uint64_t reuses;
	uint64_t ends[UPS_ENDS];
	uint64_t waited; /* calls that had to wait for a connection */
	uint64_t evicted; /* idle connections closed for other targets */
	uint64_t open; /* open connections */
	uint64_t idle; /* of these, serving no call */
	uint64_t waiting; /* calls without a connection yet */
};

struct ups *ups_new(struct event_base *base, struct tmr *tmr);
void ups_free(struct ups *u);
struct ups_call *ups_start(struct ups *u, const struct ups_request *r,
			   const struct ups_ops *ops, void *arg);
void ups_resume(struct ups_call *call);
void ups_cancel(struct ups_call *call);
int64_t ups_unacked_bytes(const struct ups_call *call);
void ups_set_idle_timeout(struct ups *u, int64_t ms);
void ups_set_conns_max(struct ups *u, unsigned int conns_max);
bool ups_urgent_waiting(const struct ups *u);
void ups_set_user_timeout(struct ups *u, int64_t ms);
void ups_close_idle(struct ups *u, const char *addr);
struct ups_stats ups_stats(const struct ups *u);
const char *ups_header_find(const struct ups_answer *a, const char *name);

#endif
