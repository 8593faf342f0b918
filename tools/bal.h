#ifndef BAL_H
#define BAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "tmr.h"

/*
 * A simple stand-in for the platform's balancer with a caller behind it:
 * requests go round the addresses whose health check passes, over
 * connections that are kept. A connection that can't be made goes to the next
 * address; a request that was sent is never sent again from here.
 */
struct bal;

struct bal_config {
	struct event_base *base;
	struct tmr *tmr;
	char **entries; /* where requests go */
	char **admins; /* their health pages in the same order; NULL: none */
	int conns; /* most connections to one address */
	int64_t timeout_ms; /* for an answer, after its request was sent */
};

#define BAL_HEADERS_MAX 8
#define BAL_ANYWHERE (-1)

struct bal_header {
	const char *name;
	const char *value;
};

/* What to send; all of it is copied. */
struct bal_request {
	enum evhttp_cmd_type method;
	const char *uri;
	struct bal_header headers[BAL_HEADERS_MAX]; /* up to a NULL name */
	struct lstr body;
	int avoid; /* address it must not go to if there is another */
};

/* What the header Endive-Outcome said. */
enum bal_told {
	BAL_TOLD_NOTHING,
	BAL_TOLD_RAN,
	BAL_TOLD_NOT_RUN,
	BAL_TOLD_UNKNOWN,
};

struct bal_answer {
	bool sent; /* false: no connection to any address, nothing sent */
	bool began; /* the head of an answer came */
	int status; /* 0: no whole answer as far as its framing tells */
	enum bal_told told;
	bool retry_after;
	struct lstr body; /* valid during the call */
	int address; /* which of the entries */
};

typedef void (*bal_fn)(void *arg, const struct bal_answer *answer);

struct bal *bal_new(const struct bal_config *config);
void bal_free(struct bal *b);
void bal_send(struct bal *b, const struct bal_request *request, bal_fn fn,
	      void *arg);

#endif
