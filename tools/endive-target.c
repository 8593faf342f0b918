#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <evhtp.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#include "addr.h"
#include "ctl.h"
#include "lstr.h"
#include "set.h"
#include "tmr.h"
#include "work.h"

#define PROGRAM "endive-target"
#define BODY_MAX (64u << 20)
#define ANSWER_MAX (64u << 20)
#define WORK_MS_MAX (24 * 3600 * 1000)
#define ANNOUNCE_MS 1000
#define ANNOUNCE_TIMEOUT_S 1
#define LEAVE_CHECK_MS 20
#define FACTOR_MAX 100000
#define SWAP_ID "someone-else"

/* What goes wrong with the answers of this target. */
enum fault {
	FAULT_NONE,
	FAULT_FAIL, /* 500 at once */
	FAULT_CUT, /* half of the answer, then closed */
	FAULT_NO_LENGTH, /* neither length nor chunks: ended by the close */
	FAULT_NO_LENGTH_CUT, /* the same, closed half-way: nobody can tell */
	FAULT_WRONG_LENGTH, /* states half its length on a connection kept */
	FAULT_SILENT, /* never answers */
	FAULT_REFUSE, /* 503 at once */
	FAULT_SWAP, /* answers with the id of another request */
	FAULT_LIE, /* runs it and says 503: a check must find that */
	FAULT_UNCOUNTED, /* answers without a run: a check must find that */
	FAULTS
};

static const char *const fault_names[FAULTS] = {
	[FAULT_NONE] = "none",
	[FAULT_FAIL] = "fail",
	[FAULT_CUT] = "cut",
	[FAULT_NO_LENGTH] = "no-length",
	[FAULT_NO_LENGTH_CUT] = "no-length-cut",
	[FAULT_WRONG_LENGTH] = "wrong-length",
	[FAULT_SILENT] = "silent",
	[FAULT_REFUSE] = "refuse",
	[FAULT_SWAP] = "swap",
	[FAULT_LIE] = "lie",
	[FAULT_UNCOUNTED] = "uncounted",
};
#define FAULT_WORDS                                                         \
	"none|fail|cut|no-length|no-length-cut|wrong-length|silent|refuse|" \
	"swap|lie|uncounted"

struct options {
	char *name;
	char *service;
	char *listen;
	char *advertise;
	char *control;
	char **announce;
	char *zone;
	char *vm;
	char *fault;
	long long slots;
	long long conns;
	long long factor;
	long long count;
	long long linger_ms;
};

/* One stand-in target; a process may play many on addresses in a row. */
struct target {
	struct stand *stand;
	evhtp_t *htp;
	char *name;
	char *vm;
	char *addr; /* as announced */
	uint64_t boot;
	uint64_t seq;
	int busy;
	/* announcing: the entry VM that answers for it, or the next to ask */
	struct evhttp_connection *conn;
	char *home; /* NULL: not told, or it went away */
	guint next_announce;
	uint64_t timer; /* 0: an announcement is on its way */
	int refused_code; /* the last refusal, so that it is told once */
	bool redial; /* dial again for the next announcement */
	int64_t interval_ms;
	bool told_leaving; /* an entry VM has taken the leave */
};

/* All targets of the process and what they share. */
struct stand {
	struct event_base *base;
	struct tmr *tmr;
	struct options opt;
	struct target *targets;
	enum fault fault;
	evhtp_t *control;
	GHashTable *runs; /* request identity -> times it was begun */
	uint64_t begun;
	uint64_t refused;
	uint64_t anonymous;
	bool leaving;
	int64_t left_at;
	int64_t last_work_after_leave; /* ms after the leave; -1: none */
};

/* A request in a slot; stays there although its caller may have gone. */
struct work {
	struct target *target;
	evhtp_request_t *req; /* NULL: the caller has gone */
	char *id;
	uint64_t digest;
	size_t size;
	enum fault fault;
};

static struct options options = {0};

static const struct set_def settings[] = {
	{"name", SET_NAME, &options.name, NULL, 0, 0, NULL,
	 "name of the target"},
	{"service", SET_NAME, &options.service, NULL, 0, 0, NULL,
	 "service it offers; first part of the path"},
	{"listen", SET_ADDR, &options.listen, NULL, 0, 0, NULL,
	 "address for requests"},
	{"advertise", SET_ADDR, &options.advertise, "", 0, 0, NULL,
	 "address to announce in place of --listen"},
	{"control", SET_ADDR, &options.control, NULL, 0, 0, NULL,
	 "address for /runs, /status, /fault and /leave"},
	{"announce", SET_ADDRS, &options.announce, "", 0, 0, NULL,
	 "admin addresses of entry VMs to announce to"},
	{"zone", SET_NAME, &options.zone, "zone-1", 0, 0, NULL,
	 "availability zone"},
	{"vm", SET_NAME, &options.vm, "", 0, 0, NULL,
	 "VM it runs on; as --name where left out"},
	{"slots", SET_INT, &options.slots, "8", 1, 1000000, NULL,
	 "requests it runs at once; more get 503"},
	{"conns", SET_INT, &options.conns, "64", 1, 1000000, NULL,
	 "connections it announces to allow"},
	{"fault", SET_WORD, &options.fault, "none", 0, 0, FAULT_WORDS,
	 "what goes wrong: " FAULT_WORDS},
	{"factor", SET_INT, &options.factor, "1", 1, FACTOR_MAX, NULL,
	 "times slower than asked"},
	{"count", SET_INT, &options.count, "1", 1, 2000, NULL,
	 "play so many targets, NAME-1 and on, on IP numbers in a row"},
	{"linger-ms", SET_INT, &options.linger_ms, "3000", 0, 600000, NULL,
	 "serve so long after the leave was announced"},
};

static void announce(void *arg, int64_t now);
static void announce_elsewhere(struct target *t);
static void announce_answered(struct evhttp_request *req, void *arg);
static void reply_raw(struct work *w, const GString *head, struct lstr body);
static void refuse(struct target *t, evhtp_request_t *req);

static const char *query_get(const evhtp_request_t *req, const char *key)
{
	if (!req->uri || !req->uri->query)
		return NULL;
	return evhtp_kv_find(req->uri->query, key);
}

static size_t query_number(const evhtp_request_t *req, const char *key,
			   size_t max)
{
	const char *text = query_get(req, key);
	unsigned long long v = 0;

	if (text && lstr_u64(lstr_from(text), &v) && v > max)
		v = max;
	return (size_t)v;
}

static void header_add(evhtp_request_t *req, const char *key, const char *val)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(key, val, 1, 1));
}

static void header_add_number(evhtp_request_t *req, const char *key, size_t n)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%zu", n);
	header_add(req, key, text);
}

/* The identity by which runs are counted. */
static char *work_identity(struct stand *s, evhtp_request_t *req)
{
	const char *id = evhtp_header_find(req->headers_in, "Endive-Run-Id");

	if (!id)
		id = query_get(req, "run");
	if (!id)
		id = evhtp_header_find(req->headers_in, "Endive-Request-Id");
	if (id)
		return g_strdup(id);
	return g_strdup_printf("anonymous-%" G_GUINT64_FORMAT, ++s->anonymous);
}

static void work_free(struct work *w)
{
	if (w->req)
		evhtp_request_unset_hook(w->req, evhtp_hook_on_request_fini);
	g_free(w->id);
	g_free(w);
}

static evhtp_res work_abandoned(evhtp_request_t *req, void *arg)
{
	struct work *w = arg;

	w->req = NULL;
	if (w->fault == FAULT_SILENT) {
		w->target->busy--;
		work_free(w);
	}
	return EVHTP_RES_OK;
}

static void reply_whole(struct work *w, const GString *body)
{
	evhtp_request_t *req = w->req;

	header_add(req, "Content-Type", "text/plain");
	header_add_number(req, "Endive-Busy", (size_t)w->target->busy);
	if (w->fault == FAULT_WRONG_LENGTH)
		header_add_number(req, "Content-Length", body->len / 2);
	evbuffer_add(req->buffer_out, body->str, body->len);
	evhtp_send_reply(req, EVHTP_RES_OK);
}

/* The faults for which the library's own framing is too good. */
static void reply_broken(struct work *w, const GString *body)
{
	GString *head = g_string_new("HTTP/1.1 200 OK\r\n");
	size_t send = body->len;

	if (w->fault == FAULT_CUT)
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       body->len);
	else
		g_string_append(head, "Connection: close\r\n");
	if (w->fault != FAULT_NO_LENGTH)
		send /= 2;
	g_string_append(head, "\r\n");
	reply_raw(w, head, lstr_n(body->str, send));
	g_string_free(head, TRUE);
}

static void raw_written(struct bufferevent *bev, void *arg)
{
	bufferevent_free(bev);
}

static void raw_event(struct bufferevent *bev, short what, void *arg)
{
	bufferevent_free(bev);
}

static void reply_raw(struct work *w, const GString *head, struct lstr body)
{
	evhtp_connection_t *conn = evhtp_request_get_connection(w->req);
	struct bufferevent *bev;

	evhtp_request_unset_hook(w->req, evhtp_hook_on_request_fini);
	w->req = NULL;
	bev = evhtp_connection_take_ownership(conn);
	evhtp_connection_free(conn);
	bufferevent_setcb(bev, NULL, raw_written, raw_event, NULL);
	bufferevent_enable(bev, EV_WRITE);
	evbuffer_add(bufferevent_get_output(bev), head->str, head->len);
	evbuffer_add(bufferevent_get_output(bev), body.p, body.len);
}

static void reply(struct work *w, const GString *body)
{
	switch (w->fault) {
	case FAULT_CUT:
	case FAULT_NO_LENGTH:
	case FAULT_NO_LENGTH_CUT:
		reply_broken(w, body);
		break;
	case FAULT_LIE:
		refuse(w->target, w->req);
		break;
	default:
		reply_whole(w, body);
		break;
	}
}

static void work_done(void *arg, int64_t now)
{
	struct work *w = arg;
	const char *id = w->fault == FAULT_SWAP ? SWAP_ID : w->id;
	GString *body;

	w->target->busy--;
	if (w->req) {
		body = g_string_new(NULL);
		work_make(body, id, w->digest, w->size);
		reply(w, body);
		g_string_free(body, TRUE);
	}
	work_free(w);
}

static void count_run(struct stand *s, const char *id)
{
	gpointer times = g_hash_table_lookup(s->runs, id);

	g_hash_table_insert(s->runs, g_strdup(id),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(times) + 1));
	s->begun++;
	if (s->leaving)
		s->last_work_after_leave = tmr_now(s->tmr) - s->left_at;
}

static uint64_t body_digest(evhtp_request_t *req)
{
	size_t len = evbuffer_get_length(req->buffer_in);

	return work_sum(lstr_n(evbuffer_pullup(req->buffer_in, -1), len));
}

/* Puts a request into a slot until its time is over; it counts as run. */
static void work_begin(struct target *t, evhtp_request_t *req)
{
	struct stand *s = t->stand;
	size_t ms = query_number(req, "ms", WORK_MS_MAX);
	struct work *w = g_new(struct work, 1);

	*w = (struct work){
		.target = t,
		.req = req,
		.id = work_identity(s, req),
		.digest = body_digest(req),
		.size = query_number(req, "size", ANSWER_MAX),
		.fault = s->fault,
	};
	if (s->fault != FAULT_UNCOUNTED)
		count_run(s, w->id);
	t->busy++;
	evhtp_request_set_hook(req, evhtp_hook_on_request_fini,
			       (evhtp_hook)work_abandoned, w);
	if (s->fault == FAULT_SILENT)
		return;
	/* A broken answer frees its connection, which its callback still uses. */
	if (ms == 0 && s->fault == FAULT_NONE)
		work_done(w, 0);
	else
		tmr_once(s->tmr, (int64_t)ms * s->opt.factor, work_done, w);
}

/* A target that fails all it starts: it did begin, so that counts as run. */
static void fail(struct target *t, evhtp_request_t *req)
{
	char *id = work_identity(t->stand, req);

	count_run(t->stand, id);
	g_free(id);
	ctl_reply(req, EVHTP_RES_SERVERR, "failed\n");
}

static void refuse(struct target *t, evhtp_request_t *req)
{
	t->stand->refused++;
	header_add(req, "Retry-After", "1");
	header_add_number(req, "Endive-Busy", (size_t)t->busy);
	ctl_reply(req, EVHTP_RES_SERVUNAVAIL, "no slot\n");
}

static void serve(evhtp_request_t *req, void *arg)
{
	struct target *t = arg;
	struct stand *s = t->stand;
	char *path = g_strdup_printf("/%s/work", s->opt.service);
	bool known = req->uri && req->uri->path &&
		     strcmp(req->uri->path->full, path) == 0;

	g_free(path);
	if (!known) {
		ctl_reply(req, EVHTP_RES_NOTFOUND, "no such path\n");
		return;
	}
	if (s->fault == FAULT_REFUSE || t->busy >= s->opt.slots) {
		refuse(t, req);
		return;
	}
	if (s->fault == FAULT_FAIL)
		fail(t, req);
	else
		work_begin(t, req);
}

static struct evhttp_connection *announce_connection(struct target *t)
{
	char **list = t->stand->opt.announce;
	const char *addr = t->home;
	uint16_t port;
	char *ip;

	if (t->conn && !t->redial)
		return t->conn;
	if (t->conn)
		evhttp_connection_free(t->conn);
	t->redial = false;
	if (!addr)
		addr = list[t->next_announce++ % g_strv_length(list)];
	ip = addr_split(addr, &port);
	t->conn = evhttp_connection_base_new(t->stand->base, NULL, ip, port);
	evhttp_connection_set_timeout(t->conn, ANNOUNCE_TIMEOUT_S);
	g_free(ip);
	return t->conn;
}

/* Tells an entry VM about this target; the answer sets the next time. */
static void announce(void *arg, int64_t now)
{
	struct target *t = arg;
	const struct options *opt = &t->stand->opt;
	struct evhttp_connection *conn = announce_connection(t);
	struct evhttp_request *req = evhttp_request_new(announce_answered, t);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", "entry");
	evhttp_add_header(headers, "Content-Type",
			  "application/x-www-form-urlencoded");
	evbuffer_add_printf(
		evhttp_request_get_output_buffer(req),
		"name=%s&service=%s&addr=%s&zone=%s&vm=%s&slots=%lld&"
		"conns=%lld&state=%s&boot=%" G_GUINT64_FORMAT
		"&seq=%" G_GUINT64_FORMAT "&busy=%d",
		t->name, opt->service, t->addr, opt->zone, t->vm, opt->slots,
		opt->conns, t->stand->leaving ? "leaving" : "serving", t->boot,
		++t->seq, t->busy);
	t->timer = 0;
	if (evhttp_make_request(conn, req, EVHTTP_REQ_POST, "/announce") != 0)
		announce_elsewhere(t);
}

/*
 * The connection is freed with the next announcement, not now: this runs in
 * its own callback.
 */
static void announce_elsewhere(struct target *t)
{
	t->redial = true;
	g_clear_pointer(&t->home, g_free);
	t->timer = tmr_once(t->stand->tmr, t->interval_ms / 4, announce, t);
}

static void announce_read_line(struct target *t, struct lstr line)
{
	struct lstr key;
	struct lstr val;
	unsigned long long ms;

	lstr_cut(lstr_trim(line), '=', &key, &val);
	if (lstr_eq(key, LSTR("interval_ms")) && lstr_u64(val, &ms) && ms > 0 &&
	    ms < G_MAXINT)
		t->interval_ms = (int64_t)ms;
	if (!lstr_eq(key, LSTR("home")) || val.len == 0 ||
	    (t->home && lstr_eq(val, lstr_from(t->home))))
		return;
	g_free(t->home);
	t->home = lstr_dup(val);
	t->redial = true;
}

static void announce_taken(struct target *t, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct lstr rest = lstr_n(evbuffer_pullup(in, -1), len);
	struct lstr line;

	while (rest.len) {
		lstr_cut(rest, '\n', &line, &rest);
		announce_read_line(t, line);
	}
	if (t->stand->leaving)
		t->told_leaving = true;
	t->timer = tmr_once(t->stand->tmr, t->interval_ms, announce, t);
}

static void announce_answered(struct evhttp_request *req, void *arg)
{
	struct target *t = arg;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	if (code == HTTP_OK) {
		announce_taken(t, req);
		return;
	}
	if (code >= 400 && code < 500 && code != t->refused_code)
		fprintf(stderr, PROGRAM ": %s: announcement refused: %d\n",
			t->name, code);
	t->refused_code = code;
	announce_elsewhere(t);
}

static bool all_idle(const struct stand *s)
{
	long long i;

	for (i = 0; i < s->opt.count; i++)
		if (s->targets[i].busy)
			return false;
	return true;
}

static bool all_told(const struct stand *s)
{
	long long i;

	if (!s->opt.announce)
		return true;
	for (i = 0; i < s->opt.count; i++)
		if (!s->targets[i].told_leaving)
			return false;
	return true;
}

/*
 * Ends once the entry VMs know of the leave, have had time to act on it and
 * nothing is running. Where none of them answers, twice that time is enough.
 */
static void leave_check(void *arg, int64_t now)
{
	struct stand *s = arg;
	int64_t since = now - s->left_at;

	if (since < s->opt.linger_ms || !all_idle(s))
		return;
	if (all_told(s) || since >= 2 * s->opt.linger_ms)
		event_base_loopexit(s->base, NULL);
}

static void leave(struct stand *s)
{
	long long i;

	if (s->leaving)
		return;
	s->leaving = true;
	s->left_at = tmr_now(s->tmr);
	tmr_every(s->tmr, LEAVE_CHECK_MS, leave_check, s);
	for (i = 0; s->opt.announce && i < s->opt.count; i++) {
		struct target *t = &s->targets[i];

		/* With an announcement on its way, the next one follows it. */
		if (!t->timer) {
			t->interval_ms = LEAVE_CHECK_MS;
			continue;
		}
		tmr_cancel(s->tmr, t->timer);
		announce(t, 0);
	}
}

static void leave_signal(evutil_socket_t fd, short what, void *arg)
{
	leave(arg);
}

static void control_runs(evhtp_request_t *req, void *arg)
{
	struct stand *s = arg;
	GHashTableIter it;
	gpointer id;
	gpointer times;

	g_hash_table_iter_init(&it, s->runs);
	while (g_hash_table_iter_next(&it, &id, &times))
		evbuffer_add_printf(req->buffer_out, "%s\t%zu\n",
				    (const char *)id, GPOINTER_TO_SIZE(times));
	evhtp_send_reply(req, EVHTP_RES_OK);
}

static void control_status(evhtp_request_t *req, void *arg)
{
	struct stand *s = arg;
	int busy = 0;
	long long i;

	for (i = 0; i < s->opt.count; i++)
		busy += s->targets[i].busy;
	evbuffer_add_printf(req->buffer_out,
			    "begun=%" G_GUINT64_FORMAT
			    "\nrefused=%" G_GUINT64_FORMAT
			    "\nbusy=%d\nfault=%s\nfactor=%lld\nstate=%s\n"
			    "last_work_after_leave_ms=%" G_GINT64_FORMAT "\n",
			    s->begun, s->refused, busy, fault_names[s->fault],
			    s->opt.factor, s->leaving ? "leaving" : "serving",
			    s->last_work_after_leave);
	evhtp_send_reply(req, EVHTP_RES_OK);
}

/* Takes "kind=NAME", "factor=N" or both; nothing of a bad one. */
static bool fault_set(void *arg, evhtp_query_t *form)
{
	struct stand *s = arg;
	const char *kind = evhtp_kv_find(form, "kind");
	const char *factor = evhtp_kv_find(form, "factor");
	unsigned long long times = (unsigned long long)s->opt.factor;
	int fault = (int)s->fault;

	if (!kind && !factor)
		return false;
	if (kind)
		fault = ctl_word(fault_names, FAULTS, kind);
	if (fault < 0)
		return false;
	if (factor && (!lstr_u64(lstr_from(factor), &times) || times < 1 ||
		       times > FACTOR_MAX))
		return false;
	s->fault = (enum fault)fault;
	s->opt.factor = (long long)times;
	return true;
}

static void control_fault(evhtp_request_t *req, void *arg)
{
	ctl_change(req, fault_set, arg,
		   "allowed: kind=" FAULT_WORDS " and factor=N\n");
}

static void control_leave(evhtp_request_t *req, void *arg)
{
	leave(arg);
	ctl_reply(req, EVHTP_RES_OK, "leaving\n");
}

static char *target_name(const struct options *opt, const char *base, int i)
{
	if (opt->count == 1)
		return g_strdup(base);
	return g_strdup_printf("%s-%d", base, i + 1);
}

static bool target_start(struct stand *s, struct target *t, int i)
{
	const struct options *opt = &s->opt;
	const char *base = opt->advertise ? opt->advertise : opt->listen;
	char *addr = addr_plus(opt->listen, (unsigned)i);
	bool ok;

	*t = (struct target){
		.stand = s,
		.htp = evhtp_new(s->base, NULL),
		.name = target_name(opt, opt->name, i),
		.vm = target_name(opt, opt->vm ? opt->vm : opt->name, i),
		.addr = addr_plus(base, (unsigned)i),
		.next_announce = (guint)i,
		.interval_ms = ANNOUNCE_MS,
	};
	randombytes_buf(&t->boot, sizeof(t->boot));
	evhtp_set_max_body_size(t->htp, BODY_MAX);
	evhtp_set_gencb(t->htp, serve, t);
	ok = ctl_bind(t->htp, PROGRAM, addr);
	g_free(addr);
	if (ok && opt->announce)
		announce(t, 0);
	return ok;
}

static bool stand_start(struct stand *s)
{
	int i;

	s->control = evhtp_new(s->base, NULL);
	evhtp_set_cb(s->control, "/runs", control_runs, s);
	evhtp_set_cb(s->control, "/status", control_status, s);
	evhtp_set_cb(s->control, "/fault", control_fault, s);
	evhtp_set_cb(s->control, "/leave", control_leave, s);
	if (!ctl_bind(s->control, PROGRAM, s->opt.control))
		return false;
	for (i = 0; i < s->opt.count; i++)
		if (!target_start(s, &s->targets[i], i))
			return false;
	return true;
}

/*
 * Static, and not taken apart at the end: the connections that callers keep
 * open belong to the library, which has no call that ends them all.
 */
static struct stand stand = {.last_work_after_leave = -1};

int main(int argc, char **argv)
{
	struct stand *s = &stand;
	int rc = set_parse(PROGRAM,
			   "Stand-in target: announces itself to entry VMs and "
			   "answers /SERVICE/work?ms=N&size=N.",
			   settings, G_N_ELEMENTS(settings), &argc, &argv);

	if (rc != -1)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	s->opt = options;
	if (options.fault)
		s->fault = (enum fault)ctl_word(fault_names, FAULTS,
						options.fault);
	s->base = event_base_new();
	s->tmr = tmr_new(s->base);
	s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->targets = g_new0(struct target, (gsize)options.count);
	event_add(evsignal_new(s->base, SIGTERM, leave_signal, s), NULL);
	event_add(evsignal_new(s->base, SIGINT, leave_signal, s), NULL);
	if (!stand_start(s))
		return 1;
	event_base_dispatch(s->base);
	return 0;
}
