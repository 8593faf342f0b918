#ifndef UPS_H
#define UPS_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "tmr.h"

/*
 * Requests to targets over evhttp. An answer is told as whole only if its own
 * framing says so; everything else is typed by what is known of the outcome.
 */
struct ups;
struct ups_call;

enum ups_end {
	UPS_WHOLE, /* all of the answer is there */
	UPS_NOT_SENT, /* no byte of the request left this process */
	UPS_CUT, /* sent; the connection ended before the answer did */
	UPS_BAD, /* sent; the answer's framing can't be trusted */
	UPS_TIMEOUT, /* sent; no whole answer in time */
	UPS_NO_ROOM, /* no connection was to be had here; nothing was tried */
	UPS_LOST, /* who was to send it for us told nothing; see rly */
	UPS_ENDS
};

struct ups_header {
	char *name;
	char *value;
};

struct ups_request {
	const char *addr; /* IP:PORT of the target */
	enum evhttp_cmd_type method;
	const char *uri; /* path and query as they go out */
	const struct ups_header *headers;
	size_t n_headers;
	struct evbuffer *body; /* kept by the owner until the end; or NULL */
	int64_t timeout_ms; /* for all of it */
	int64_t connect_ms; /* of that, until the connection is there */
	int64_t max_answer; /* bytes held; larger ones are passed on */
	bool urgent; /* goes before others where connections are short */
};

/* What came back. Valid during the call-backs; headers until the call ends. */
struct ups_answer {
	int status; /* 0: none */
	const struct ups_header *headers;
	size_t n_headers;
	struct evbuffer *body; /* the whole body, or the next part of it */
	bool reused; /* over a connection that had served before */
};

struct ups_ops {
	/*
	 * whether the request may be written, asked as it is written; false:
	 * no byte leaves. NULL: always
	 */
	bool (*may)(void *arg);
	/* the answer is larger than max_answer: its start, from now in parts */
	void (*start)(void *arg, const struct ups_answer *a);
	/* the next part; false: stop reading until ups_more */
	bool (*part)(void *arg, const struct ups_answer *a);
	/* the end, always once, never from within ups_start */
	void (*end)(void *arg, enum ups_end end, const struct ups_answer *a);
};

struct ups_stats {
	uint64_t connects;
	uint64_t reuses;
	uint64_t ends[UPS_ENDS];
	uint64_t waited; /* calls that had to wait for a connection */
	uint64_t evicted; /* idle connections closed for another target */
	uint64_t open; /* connections now */
	uint64_t idle; /* of these, that serve no call */
	uint64_t waiting; /* calls now that have no connection yet */
};

struct ups *ups_new(struct event_base *base, struct tmr *tmr);
void ups_free(struct ups *u);
struct ups_call *ups_start(struct ups *u, const struct ups_request *r,
			   const struct ups_ops *ops, void *arg);
void ups_more(struct ups_call *call);
void ups_cancel(struct ups_call *call);
int64_t ups_held(const struct ups_call *call);
void ups_set_reuse(struct ups *u, int64_t ms);
void ups_set_most(struct ups *u, unsigned int most);
bool ups_crowded(const struct ups *u);
void ups_set_held(struct ups *u, int64_t ms);
void ups_forget(struct ups *u, const char *addr);
struct ups_stats ups_stats(const struct ups *u);
const char *ups_header_find(const struct ups_answer *a, const char *name);

#endif
