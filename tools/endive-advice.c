#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "plt_peer.h"
#include "set.h"
#include "tmr.h"

/* Questions that may wait; more are turned away. */
#define ADVICE_WAIT_MAX 32

/*
 * A stand-in for the service that says which workers may run a step: takes one
 * question after another, and says on standard output what it answers. A
 * ticket names step, worker and end, so that endive-worker can check it.
 */
struct advice {
	struct event_base *base;
	struct tmr *tmr;
	struct evhttp *http;
	GQueue *waiting; /* struct evhttp_request */
	bool busy;
	long long answer_ms;
	long long each_ms;
	long long valid_ms;
	long long percent; /* workers that are approved */
	long long lost_percent; /* questions without an answer */
	unsigned int seed;
};

static void advice_on_ask(struct evhttp_request *req, void *arg);
static void advice_next(struct advice *a);
static void advice_due(void *arg, int64_t now);
static GPtrArray *advice_rows(const struct advice *a,
			      const struct adv_query *ask, int64_t now);
static unsigned int advice_draw(const char *about);
static bool advice_read(struct evhttp_request *req, struct adv_query *ask);
static void advice_send(struct evhttp_request *req, int status,
			struct evbuffer *body);
static void advice_on_term(evutil_socket_t sig, short what, void *arg);

/* A question comes in. */
static void advice_on_ask(struct evhttp_request *req, void *arg)
{
	struct advice *a = arg;

	if (g_queue_get_length(a->waiting) >= ADVICE_WAIT_MAX) {
		advice_send(req, 429, evbuffer_new());
		return;
	}
	g_queue_push_tail(a->waiting, req);
	if (!a->busy)
		advice_next(a);
}

/* Begins with the question that has waited longest. */
static void advice_next(struct advice *a)
{
	struct evhttp_request *req = g_queue_peek_head(a->waiting);
	struct adv_query ask;
	int64_t takes = a->answer_ms;

	a->busy = req != NULL;
	if (!req)
		return;
	if (advice_read(req, &ask))
		takes += a->each_ms * ask.workers->len;
	adv_query_clear(&ask);
	tmr_once(a->tmr, takes, advice_due, a);
}

/* The answer has been found. */
static void advice_due(void *arg, int64_t now)
{
	struct advice *a = arg;
	struct evhttp_request *req = g_queue_pop_head(a->waiting);
	struct evbuffer *body = evbuffer_new();
	struct adv_query ask;
	GPtrArray *rows;

	if (!advice_read(req, &ask)) {
		advice_send(req, 400, body);
	} else if (rand_r(&a->seed) % 100 < a->lost_percent) {
		evbuffer_free(body);
		evhttp_connection_free(evhttp_request_get_connection(req));
	} else {
		rows = advice_rows(a, &ask, now);
		plt_peer_advice(rows, a->valid_ms, body);
		advice_send(req, 200, body);
		printf("step %s.%u.%u named %u approved %u\n", ask.step.id,
		       ask.step.turn, ask.step.step, ask.workers->len,
		       rows->len);
		fflush(stdout);
		g_ptr_array_free(rows, TRUE);
	}
	adv_query_clear(&ask);
	advice_next(a);
}

/* Who may run the step: the same each time it is asked. */
static GPtrArray *advice_rows(const struct advice *a,
			      const struct adv_query *ask, int64_t now)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
	guint i;

	for (i = 0; i < ask->workers->len; i++) {
		const char *id = g_ptr_array_index(ask->workers, i);
		char *about =
			g_strdup_printf("%s.%u.%u/%s", ask->step.id,
					ask->step.turn, ask->step.step, id);
		struct adv_row *row;

		if (advice_draw(about) < a->percent) {
			row = g_new0(struct adv_row, 1);
			row->worker = g_strdup(id);
			row->ticket = g_strdup_printf(
				"%s/%lld", about, (long long)now + a->valid_ms);
			g_ptr_array_add(rows, row);
		}
		g_free(about);
	}
	return rows;
}

/* 0 to 99 by a name; names that differ in one letter are far apart. */
static unsigned int advice_draw(const char *about)
{
	return ((g_str_hash(about) * 2654435761U) >> 16) % 100;
}

/* Reads a question; false: it isn't one. */
static bool advice_read(struct evhttp_request *req, struct adv_query *ask)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return plt_peer_question(
		evhttp_request_get_uri(req),
		lstr_n((const char *)evbuffer_pullup(in, -1), len), ask);
}

/* Answers a question. */
static void advice_send(struct evhttp_request *req, int status,
			struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", PLT_TYPE);
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

/* Ends the stand-in. */
static void advice_on_term(evutil_socket_t sig, short what, void *arg)
{
	event_base_loopbreak(arg);
}

int main(int argc, char **argv)
{
	struct advice a = {0};
	char *listen = NULL;
	long long seed = 0;
	const struct set_def defs[] = {
		{"listen", SET_ADDR, &listen, NULL, 0, 0, NULL,
		 "Where questions come in"},
		{"answer-ms", SET_INT, &a.answer_ms, "50", 0, 60000, NULL,
		 "What an answer takes"},
		{"each-ms", SET_INT, &a.each_ms, "2", 0, 1000, NULL,
		 "And for each worker named"},
		{"valid-ms", SET_INT, &a.valid_ms, "3000", 1, 3600000, NULL,
		 "How long a ticket holds"},
		{"percent", SET_INT, &a.percent, "50", 0, 100, NULL,
		 "Workers that are approved"},
		{"lost-percent", SET_INT, &a.lost_percent, "0", 0, 100, NULL,
		 "Questions without an answer"},
		{"seed", SET_INT, &seed, "1", 0, 1000000, NULL, "Of these"},
	};
	struct event *term;
	char *colon;
	int rc = set_parse("endive-advice",
			   "Stands in for the service that gives advice.", defs,
			   G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	a.seed = (unsigned int)seed;
	a.base = event_base_new();
	a.tmr = tmr_new(a.base);
	a.waiting = g_queue_new();
	a.http = evhttp_new(a.base);
	evhttp_set_gencb(a.http, advice_on_ask, &a);
	colon = strrchr(listen, ':');
	*colon = '\0';
	if (evhttp_bind_socket(a.http, listen,
			       (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
		fprintf(stderr, "endive-advice: can't listen at %s:%s\n",
			listen, colon + 1);
		return 1;
	}
	term = evsignal_new(a.base, SIGTERM, advice_on_term, a.base);
	evsignal_add(term, NULL);
	event_base_dispatch(a.base);
	return 0;
}
