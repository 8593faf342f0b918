#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "plt_peer.h"
#include "set.h"
#include "tmr.h"
#include "ups.h"

/* Between announcements, ms. */
#define WORKER_BEAT_MS 500
/* How finely runs are looked after, ms. */
#define WORKER_STEP_MS 10

/* A run on this stand-in. */
struct worker_run {
	struct jtb_name name;
	uint32_t attempt;
	int64_t ends_ms;
};

/* A hold that waits for an end. */
struct worker_wait {
	struct evhttp_request *req;
	int64_t until_ms;
};

/*
 * A stand-in for a worker: announces itself, takes orders, and says on
 * standard output what it starts and ends, one line each.
 */
struct worker {
	struct event_base *base;
	struct tmr *tmr;
	struct evhttp *http;
	struct ups *ups;
	struct jtb_worker_info info;
	char **control;
	guint at; /* of control */
	char *reports_to; /* as the last answer told; NULL: it told none */
	uint64_t sequence;
	uint64_t fence;
	uint64_t end_no;
	int64_t lease_ms; /* all runs end then */
	GArray *runs; /* struct worker_run */
	GArray *ends; /* struct wkr_end, not confirmed */
	GArray *waits; /* struct worker_wait */
	GHashTable *never; /* tasks: highest attempt that may not start */
	long long task_ms;
	long long late_percent; /* orders carried out and not answered */
	long long fail_percent;
	long long tickets; /* 1: starts need one */
	unsigned int seed;
};

static void worker_on_order(struct evhttp_request *req, void *arg);
static const char *worker_start(struct worker *w,
				const struct plt_peer_order *o);
static bool worker_ticket(const struct worker *w,
			  const struct plt_peer_order *o);
static void worker_stop(struct worker *w, const struct plt_peer_order *o);
static void worker_end(struct worker *w, guint i, enum jtb_end how);
static void worker_never(struct worker *w, const char *task, uint32_t attempt);
static void worker_report(struct worker *w, struct evhttp_request *req);
static void worker_send(struct evhttp_request *req, int status,
			struct evbuffer *body);
static void worker_step(void *arg, int64_t now);
static void worker_beat(void *arg, int64_t now);
static void worker_beat_end(void *arg, enum ups_end end,
			    const struct ups_answer *a);
static bool worker_chance(struct worker *w, long long percent);
static void worker_on_term(evutil_socket_t sig, short what, void *arg);

static const struct ups_ops worker_ups_ops = {
	.end = worker_beat_end,
};

/* An order comes in. */
static void worker_on_order(struct evhttp_request *req, void *arg)
{
	struct worker *w = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *life = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Expect-Instance");
	struct evbuffer *body = evbuffer_new();
	struct plt_peer_order o;
	const char *why = NULL;
	int64_t now = tmr_now(w->tmr);
	struct worker_wait wait = {.req = req};

	if (life && strcmp(life, w->info.id) != 0) {
		worker_send(req, 421, body);
		return;
	}
	if (!plt_peer_order(evhttp_request_get_uri(req),
			    lstr_n((const char *)evbuffer_pullup(in, -1), len),
			    &o)) {
		worker_send(req, 400, body);
		return;
	}
	if (o.fence < w->fence)
		why = "fence";
	w->fence = MAX(w->fence, o.fence);
	if (!why && o.until_ms)
		w->lease_ms = MAX(w->lease_ms, o.until_ms);
	if (!why && o.kind == WKR_START)
		why = worker_start(w, &o);
	else if (!why && o.kind == WKR_STOP)
		worker_stop(w, &o);
	if (!why && o.kind == WKR_HOLD) {
		while (w->ends->len &&
		       g_array_index(w->ends, struct wkr_end, 0).no <= o.ack)
			g_array_remove_index(w->ends, 0);
		wait.until_ms = now + (w->ends->len ? 0 : o.wait_ms);
		g_array_append_val(w->waits, wait);
		evbuffer_free(body);
		return;
	}
	if (worker_chance(w, w->late_percent)) {
		/* carried out, and nobody will hear of it */
		evbuffer_free(body);
		evhttp_connection_free(evhttp_request_get_connection(req));
		return;
	}
	plt_peer_answer(now, why, body);
	worker_send(req, why ? 409 : 200, body);
}

/* Starts a run, unless there is no room. */
static const char *worker_start(struct worker *w,
				const struct plt_peer_order *o)
{
	struct worker_run run = {
		.name = o->name,
		.attempt = o->attempt,
		.ends_ms = tmr_now(w->tmr) + w->task_ms,
	};
	char task[JTB_ID_MAX + 40];
	guint i;

	jtb_name_format(&o->name, task, sizeof(task));
	for (i = 0; i < w->runs->len; i++) {
		const struct worker_run *r =
			&g_array_index(w->runs, struct worker_run, i);

		if (jtb_name_equal(&r->name, &o->name) &&
		    r->attempt == o->attempt)
			return NULL;
	}
	if (o->until_ms && o->until_ms <= tmr_now(w->tmr))
		return "late";
	if (w->tickets && !worker_ticket(w, o)) {
		printf("ticket %s %u\n", task, o->attempt);
		fflush(stdout);
		return "ticket";
	}
	if (GPOINTER_TO_UINT(g_hash_table_lookup(w->never, task)) >= o->attempt)
		return "old";
	printf("start %s %u\n", task, o->attempt);
	fflush(stdout);
	g_array_append_val(w->runs, run);
	return NULL;
}

/* Whether a ticket is of this step and worker, and holds (endive-advice). */
static bool worker_ticket(const struct worker *w,
			  const struct plt_peer_order *o)
{
	char *about = g_strdup_printf("%s.%u.%u/%s/", o->name.id, o->name.turn,
				      o->name.step, w->info.id);
	bool good = g_str_has_prefix(o->ticket, about) &&
		    g_ascii_strtoll(o->ticket + strlen(about), NULL, 10) >
			    tmr_now(w->tmr);

	g_free(about);
	return good;
}

/* Stops a run. */
static void worker_stop(struct worker *w, const struct plt_peer_order *o)
{
	char task[JTB_ID_MAX + 40];
	guint i;

	jtb_name_format(&o->name, task, sizeof(task));
	worker_never(w, task, o->attempt);
	for (i = w->runs->len; i > 0; i--) {
		const struct worker_run *r =
			&g_array_index(w->runs, struct worker_run, i - 1);

		if (jtb_name_equal(&r->name, &o->name) &&
		    r->attempt == o->attempt)
			worker_end(w, i - 1, JTB_STOPPED);
	}
}

/* Keeps the end of a run until it is known to be stored. */
static void worker_end(struct worker *w, guint i, enum jtb_end how)
{
	const struct worker_run *r =
		&g_array_index(w->runs, struct worker_run, i);
	struct wkr_end e = {
		.no = ++w->end_no,
		.name = r->name,
		.known = true,
		.attempt = r->attempt,
		.how = how,
	};
	char task[JTB_ID_MAX + 40];

	jtb_name_format(&r->name, task, sizeof(task));
	printf("%s %s %u\n", jtb_end_name(how), task, r->attempt);
	fflush(stdout);
	worker_never(w, task, r->attempt);
	g_array_append_val(w->ends, e);
	g_array_remove_index(w->runs, i);
}

/* Notes that a run which never began must not begin later. */
static void worker_never(struct worker *w, const char *task, uint32_t attempt)
{
	uint32_t old = GPOINTER_TO_UINT(g_hash_table_lookup(w->never, task));

	g_hash_table_replace(w->never, g_strdup(task),
			     GUINT_TO_POINTER(MAX(old, attempt)));
}

/* Writes the list of all that runs and ended. */
static void worker_report(struct worker *w, struct evhttp_request *req)
{
	struct wkr_report r = {
		.clock_ms = tmr_now(w->tmr),
		.rows = g_array_new(FALSE, TRUE, sizeof(struct wkr_row)),
		.ends = w->ends,
	};
	struct evbuffer *body = evbuffer_new();
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct worker_run *run =
			&g_array_index(w->runs, struct worker_run, i);
		struct wkr_row row = {.name = run->name,
				      .attempt = run->attempt,
				      .percent = 50};

		g_array_append_val(r.rows, row);
	}
	plt_peer_report(&r, body);
	worker_send(req, 200, body);
	g_array_free(r.rows, TRUE);
}

/* Answers an order. */
static void worker_send(struct evhttp_request *req, int status,
			struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", PLT_TYPE);
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

/* Goes on with all runs, and ends those without a lease. */
static void worker_step(void *arg, int64_t now)
{
	struct worker *w = arg;
	guint i;

	for (i = w->runs->len; i > 0; i--) {
		const struct worker_run *r =
			&g_array_index(w->runs, struct worker_run, i - 1);

		if (w->lease_ms && now > w->lease_ms)
			worker_end(w, i - 1, JTB_LEASE_EXPIRED);
		else if (now >= r->ends_ms)
			worker_end(w, i - 1,
				   worker_chance(w, w->fail_percent)
					   ? JTB_FAILED_RUN
					   : JTB_DONE);
	}
	for (i = w->waits->len; i > 0; i--) {
		struct worker_wait *wait =
			&g_array_index(w->waits, struct worker_wait, i - 1);

		if (!w->ends->len && now < wait->until_ms)
			continue;
		worker_report(w, wait->req);
		g_array_remove_index_fast(w->waits, i - 1);
	}
}

/* Tells the control daemons of this worker. */
static void worker_beat(void *arg, int64_t now)
{
	struct worker *w = arg;
	struct evbuffer *body = evbuffer_new();
	char *uri = g_strdup_printf("/v1/instances/%s", w->info.id);
	struct ups_header type = {(char *)"Content-Type", (char *)PLT_TYPE};

	plt_peer_beat(&w->info, ++w->sequence, now, body);
	ups_start(w->ups,
		  &(struct ups_request){
			  .addr = w->reports_to ? w->reports_to
						: w->control[w->at],
			  .method = EVHTTP_REQ_PUT,
			  .uri = uri,
			  .headers = &type,
			  .n_headers = 1,
			  .body = body,
			  .timeout_ms = 400,
			  .connect_ms = 300,
			  .max_answer = 4096,
		  },
		  &worker_ups_ops, w);
	/* the request holds on to its body until its end */
	evbuffer_free(body);
	g_free(uri);
}

/*
 * The next report goes where a good answer says, or to the one that a replica
 * names as its leader; after any other answer, to the next control daemon.
 */
static void worker_beat_end(void *arg, enum ups_end end,
			    const struct ups_answer *a)
{
	struct worker *w = arg;
	struct evbuffer *body = end == UPS_WHOLE ? a->body : NULL;
	const char *leader = NULL;
	char *next = NULL;

	if (body && a->status == 200)
		next = plt_peer_reports_to(lstr_n(evbuffer_pullup(body, -1),
						  evbuffer_get_length(body)));
	else if (body && a->status == 307)
		leader = ups_header_find(a, "Location");
	if (leader)
		next = plt_peer_host(leader);
	g_free(w->reports_to);
	w->reports_to = next;
	if (!leader && (end != UPS_WHOLE || a->status != 200))
		w->at = (w->at + 1) % g_strv_length(w->control);
}

/* True with that chance in a hundred. */
static bool worker_chance(struct worker *w, long long percent)
{
	return percent && rand_r(&w->seed) % 100 < percent;
}

/* Ends the stand-in. */
static void worker_on_term(evutil_socket_t sig, short what, void *arg)
{
	event_base_loopbreak(arg);
}

int main(int argc, char **argv)
{
	struct worker w = {0};
	char *listen = NULL;
	long long cpu = 0;
	long long seed = 0;
	char *labels[] = {NULL};
	const struct set_def defs[] = {
		{"id", SET_NAME, &w.info.id, NULL, 0, 0, NULL,
		 "Of this lifetime"},
		{"pool", SET_NAME, &w.info.pool, NULL, 0, 0, NULL,
		 "Pool it belongs to"},
		{"zone", SET_NAME, &w.info.zone, "zone", 0, 0, NULL,
		 "Availability zone"},
		{"listen", SET_ADDR, &listen, NULL, 0, 0, NULL,
		 "Where orders come in"},
		{"control", SET_ADDRS, &w.control, NULL, 0, 0, NULL,
		 "Control daemons to announce itself to"},
		{"cpu", SET_INT, &cpu, "4000", 1, 1000000, NULL,
		 "Thousandths of a core"},
		{"task-ms", SET_INT, &w.task_ms, "200", 1, 600000, NULL,
		 "What a task takes"},
		{"late-percent", SET_INT, &w.late_percent, "0", 0, 100, NULL,
		 "Orders that are carried out and not answered"},
		{"fail-percent", SET_INT, &w.fail_percent, "0", 0, 100, NULL,
		 "Runs that fail"},
		{"tickets", SET_INT, &w.tickets, "0", 0, 1, NULL,
		 "1: starts need a ticket of endive-advice"},
		{"seed", SET_INT, &seed, "1", 0, 1000000, NULL, "Of both"},
	};
	struct event *term;
	char *colon;
	int rc = set_parse("endive-worker",
			   "Stands in for a worker that runs tasks.", defs,
			   G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	w.seed = (unsigned int)seed;
	w.info.addr = g_strdup(listen);
	w.info.cpu = (uint32_t)cpu;
	w.info.mem_mb = 16000;
	w.info.labels = labels;
	w.base = event_base_new();
	w.tmr = tmr_new(w.base);
	w.ups = ups_new(w.base, w.tmr);
	w.runs = g_array_new(FALSE, TRUE, sizeof(struct worker_run));
	w.ends = g_array_new(FALSE, TRUE, sizeof(struct wkr_end));
	w.waits = g_array_new(FALSE, TRUE, sizeof(struct worker_wait));
	w.never = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w.http = evhttp_new(w.base);
	evhttp_set_gencb(w.http, worker_on_order, &w);
	colon = strrchr(listen, ':');
	*colon = '\0';
	if (evhttp_bind_socket(w.http, listen,
			       (uint16_t)strtoul(colon + 1, NULL, 10)) != 0) {
		fprintf(stderr, "endive-worker: can't listen at %s\n",
			w.info.addr);
		return 1;
	}
	tmr_every(w.tmr, WORKER_STEP_MS, worker_step, &w);
	tmr_every(w.tmr, WORKER_BEAT_MS, worker_beat, &w);
	tmr_once(w.tmr, 0, worker_beat, &w);
	term = evsignal_new(w.base, SIGTERM, worker_on_term, w.base);
	evsignal_add(term, NULL);
	event_base_dispatch(w.base);
	return 0;
}
