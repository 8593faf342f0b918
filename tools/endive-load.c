#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "addr.h"
#include "bal.h"
#include "lstr.h"
#include "sched.h"
#include "set.h"
#include "tally.h"
#include "tmr.h"
#include "work.h"

#define PROGRAM "endive-load"
#define ID_MAX 48
#define RESEND_MS 50
#define COLLECT_TIMEOUT_S 5
#define POISSON_SEED 20261202
#define BODY_MAX (16 << 20)

struct options {
	char **entry;
	char **admin;
	char **targets;
	char *path;
	char *method;
	char *schedule;
	char *caller;
	char *tsv;
	char *plot;
	long long conns;
	long long ms;
	long long size;
	long long body;
	long long deadline_ms;
	long long timeout_ms;
	long long resend;
	long long closed;
	gboolean key;
	char *key_prefix;
	gboolean urgent;
	gboolean poisson;
	gboolean check;
};

struct load {
	struct event_base *base;
	struct tmr *tmr;
	struct bal *bal;
	struct event *due_ev;
	struct sched sched;
	struct tally tally;
	int64_t start_us;
	int64_t next_us; /* due time of the next request since the start */
	guint next_seg;
	char *body;
	uint64_t digest; /* of body */
	char prefix[16]; /* of our request identities, one for each run */
	size_t open; /* requests that are not over */
	bool issued_all;
	GPtrArray *collectors; /* connections to targets, freed at the end */
	int collecting; /* targets that have not told their runs yet */
};

/* A request until its caller gives up on it or has its answer. */
struct call {
	struct load *load;
	size_t no;
	int64_t due_us;
	long long sends;
	int avoid;
	bool maybe_ran; /* an earlier sending ended unknown or cut */
	char id[ID_MAX];
};

static struct options options = {0};

static const struct set_def settings[] = {
	{"entry", SET_ADDRS, &options.entry, NULL, 0, 0, NULL,
	 "addresses that requests go to in turn"},
	{"admin", SET_ADDRS, &options.admin, "", 0, 0, NULL,
	 "their admin addresses in the same order, for health checks"},
	{"targets", SET_ADDRS, &options.targets, "", 0, 0, NULL,
	 "control addresses of stand-in targets, asked for /runs at the end"},
	{"path", SET_STR, &options.path, "/drafts/work", 0, 0, NULL,
	 "path of each request"},
	{"method", SET_WORD, &options.method, "GET", 0, 0, "GET|POST",
	 "GET or POST"},
	{"schedule", SET_STR, &options.schedule, "10s@100", 0, 0, NULL,
	 "for how long at how many a second: 10s@100,500ms@1000"},
	{"caller", SET_STR, &options.caller, "", 0, 0, NULL,
	 "name in Endive-Caller"},
	{"conns", SET_INT, &options.conns, "64", 1, 20000, NULL,
	 "most connections to one address"},
	{"ms", SET_INT, &options.ms, "0", 0, 86400000, NULL,
	 "how long the target is to work on each"},
	{"size", SET_INT, &options.size, "200", 0, 64 << 20, NULL,
	 "bytes of each answer"},
	{"body", SET_INT, &options.body, "100", 0, BODY_MAX, NULL,
	 "bytes of each body sent by POST"},
	{"deadline-ms", SET_INT, &options.deadline_ms, "0", 0, 86400000, NULL,
	 "Endive-Deadline-Ms; 0: none"},
	{"timeout-ms", SET_INT, &options.timeout_ms, "10000", 1, 86400000, NULL,
	 "how long a caller waits for an answer to what it sent"},
	{"resend", SET_INT, &options.resend, "0", 0, 100, NULL,
	 "sendings again after an unknown outcome; needs --key"},
	{"closed", SET_INT, &options.closed, "0", 0, 20000, NULL,
	 "closed loop of so many callers in place of the rates"},
	{"key", SET_FLAG, &options.key, "0", 0, 0, NULL,
	 "send an Idempotency-Key"},
	{"key-prefix", SET_STR, &options.key_prefix, "", 0, 0, NULL,
	 "its start, as /endive/key of an entry daemon gives it: A.B.C"},
	{"urgent", SET_FLAG, &options.urgent, "0", 0, 0, NULL,
	 "send Endive-Priority: urgent"},
	{"poisson", SET_FLAG, &options.poisson, "0", 0, 0, NULL,
	 "random distances between due times, not even ones"},
	{"check", SET_FLAG, &options.check, "0", 0, 0, NULL,
	 "end with 1 where a promise to callers was broken"},
	{"tsv", SET_STR, &options.tsv, "", 0, 0, NULL,
	 "file for the counts as tab-separated lines"},
	{"plot", SET_STR, &options.plot, "", 0, 0, NULL,
	 "write PREFIX.dat and PREFIX.gp for gnuplot"},
};

static void call_begin(struct load *l, int64_t due_us, guint seg);
static void call_send(void *arg, int64_t now);
static void load_drained(struct load *l);

static int64_t load_clock(const struct load *l)
{
	return g_get_monotonic_time() - l->start_us;
}

static enum outcome judge_body(const struct call *c, struct lstr body)
{
	switch (work_check(body, c->id, c->load->digest)) {
	case WORK_WHOLE:
		return OUT_WHOLE;
	case WORK_SWAPPED:
		return OUT_SWAPPED;
	default:
		return OUT_SHORT;
	}
}

/* What the caller may conclude from one answer. */
static enum outcome judge(const struct call *c, const struct bal_answer *a)
{
	if (!a->sent)
		return OUT_UNREACHED;
	if (a->status == 0)
		return a->began ? OUT_CUT : OUT_UNKNOWN;
	if (a->told == BAL_TOLD_NOT_RUN)
		return OUT_NOT_RUN;
	if (a->told == BAL_TOLD_UNKNOWN)
		return OUT_UNKNOWN;
	if (a->status == HTTP_OK)
		return judge_body(c, a->body);
	/* A target's own refusal carries no header of the system. */
	if (a->status == HTTP_SERVUNAVAIL && a->told == BAL_TOLD_NOTHING)
		return OUT_NOT_RUN;
	return OUT_ERROR;
}

/* Whether one more sending may tell what an earlier one left open. */
static bool call_again(struct call *c, enum outcome outcome)
{
	if (outcome == OUT_UNKNOWN || outcome == OUT_CUT)
		c->maybe_ran = true;
	else if (!c->maybe_ran || outcome == OUT_WHOLE)
		return false;
	return c->sends <= options.resend;
}

static void call_answered(void *arg, const struct bal_answer *answer)
{
	struct call *c = arg;
	struct load *l = c->load;
	enum outcome outcome = judge(c, answer);

	if (outcome == OUT_NOT_RUN && !answer->retry_after)
		tally_refusal_without_retry(&l->tally, c->no);
	if (call_again(c, outcome)) {
		c->avoid = answer->address;
		tmr_once(l->tmr, RESEND_MS, call_send, c);
		return;
	}
	/* A later refusal says nothing of the sending before it. */
	if (c->maybe_ran &&
	    (outcome == OUT_NOT_RUN || outcome == OUT_UNREACHED))
		outcome = OUT_UNKNOWN;
	tally_end(&l->tally, c->no, outcome, c->due_us,
		  load_clock(l) - c->due_us);
	g_free(c);
	l->open--;
	if (options.closed && !l->issued_all)
		call_begin(l, load_clock(l), 0);
	if (l->issued_all && l->open == 0)
		load_drained(l);
}

static void call_send(void *arg, int64_t now)
{
	struct call *c = arg;
	struct load *l = c->load;
	char deadline[24];
	char uri[512];
	struct bal_request request = {
		.method = l->body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
		.uri = uri,
		.body = lstr_from(l->body),
		.avoid = c->avoid,
	};
	char key[ID_MAX + 64];
	int n = 0;

	g_snprintf(uri, sizeof(uri), "%s?ms=%lld&size=%lld&run=%s",
		   options.path, options.ms, options.size, c->id);
	g_snprintf(key, sizeof(key), "%s%s%s",
		   options.key_prefix ? options.key_prefix : "",
		   options.key_prefix ? "." : "", c->id);
	g_snprintf(deadline, sizeof(deadline), "%lld", options.deadline_ms);
	request.headers[n++] = (struct bal_header){"Endive-Run-Id", c->id};
	if (options.caller)
		request.headers[n++] =
			(struct bal_header){"Endive-Caller", options.caller};
	if (options.key)
		request.headers[n++] =
			(struct bal_header){"Idempotency-Key", key};
	if (options.urgent)
		request.headers[n++] =
			(struct bal_header){"Endive-Priority", "urgent"};
	if (options.deadline_ms)
		request.headers[n++] =
			(struct bal_header){"Endive-Deadline-Ms", deadline};
	c->sends++;
	tally_sent(&l->tally, c->no, load_clock(l) - c->due_us);
	bal_send(l->bal, &request, call_answered, c);
}

static void call_begin(struct load *l, int64_t due_us, guint seg)
{
	struct call *c = g_new0(struct call, 1);

	c->load = l;
	c->no = tally_begin(&l->tally, seg);
	c->due_us = due_us;
	c->avoid = BAL_ANYWHERE;
	g_snprintf(c->id, sizeof(c->id), "%s-%zu", l->prefix, c->no);
	l->open++;
	call_send(c, 0);
}

static void load_issued_all(struct load *l)
{
	l->issued_all = true;
	if (l->open == 0)
		load_drained(l);
}

/*
 * Sends all that is due. Requests that fell due while this process was busy
 * are sent late but measured from their due time: a slow answer must not hide
 * the wait of those behind it (coordinated omission).
 */
static void load_due(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	int64_t now = load_clock(l);
	struct timeval tv;

	if (l->issued_all)
		return;
	while (l->next_us <= now) {
		call_begin(l, l->next_us, l->next_seg);
		if (!sched_next(&l->sched, &l->next_us, &l->next_seg)) {
			load_issued_all(l);
			return;
		}
	}
	now = l->next_us - now;
	tv.tv_sec = now / G_USEC_PER_SEC;
	tv.tv_usec = now % G_USEC_PER_SEC;
	event_add(l->due_ev, &tv);
}

static void load_closed_over(void *arg, int64_t now)
{
	load_issued_all(arg);
}

static void load_start(struct load *l)
{
	long long i;

	l->start_us = g_get_monotonic_time();
	if (options.closed) {
		tmr_once(l->tmr, sched_len_us(&l->sched) / 1000,
			 load_closed_over, l);
		for (i = 0; i < options.closed; i++)
			call_begin(l, load_clock(l), 0);
		return;
	}
	if (!sched_next(&l->sched, &l->next_us, &l->next_seg))
		load_issued_all(l);
	else
		load_due(-1, 0, l);
}

static void runs_read_line(struct load *l, struct lstr line)
{
	size_t len = strlen(l->prefix);
	unsigned long long no;
	unsigned long long runs;
	struct lstr id;

	if (!lstr_cut(line, '\t', &id, &line) || id.len <= len + 1 ||
	    memcmp(id.p, l->prefix, len) != 0)
		return;
	if (lstr_u64(lstr_n(id.p + len + 1, id.len - len - 1), &no) &&
	    lstr_u64(line, &runs))
		tally_run(&l->tally, (size_t)no, runs);
}

static void runs_collected(struct evhttp_request *req, void *arg)
{
	struct load *l = arg;
	struct lstr rest = {0};
	struct lstr line;

	if (req && evhttp_request_get_response_code(req) == HTTP_OK) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);

		rest = lstr_n(evbuffer_pullup(in, -1), evbuffer_get_length(in));
	} else {
		l->tally.targets_silent++;
	}
	while (rest.len) {
		lstr_cut(rest, '\n', &line, &rest);
		runs_read_line(l, line);
	}
	if (--l->collecting == 0)
		event_base_loopexit(l->base, NULL);
}

static void runs_ask(struct load *l, const char *addr)
{
	uint16_t port;
	char *ip = addr_split(addr, &port);
	struct evhttp_connection *conn =
		evhttp_connection_base_new(l->base, NULL, ip, port);
	struct evhttp_request *req = evhttp_request_new(runs_collected, l);

	g_free(ip);
	evhttp_connection_set_timeout(conn, COLLECT_TIMEOUT_S);
	g_ptr_array_add(l->collectors, conn);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  "target");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	l->collecting++;
	evhttp_make_request(conn, req, EVHTTP_REQ_GET, "/runs");
}

/* All is answered: ask the targets what they ran. */
static void load_drained(struct load *l)
{
	size_t i;

	if (!options.targets) {
		event_base_loopexit(l->base, NULL);
		return;
	}
	l->tally.targets = g_strv_length(options.targets);
	l->collectors = g_ptr_array_new_with_free_func(
		(GDestroyNotify)evhttp_connection_free);
	for (i = 0; options.targets[i]; i++)
		runs_ask(l, options.targets[i]);
}

static bool load_report(struct load *l)
{
	FILE *f;

	tally_close(&l->tally);
	tally_table(&l->tally, stdout);
	if (options.plot && !tally_plot(&l->tally, options.plot))
		return false;
	if (!options.tsv)
		return true;
	f = fopen(options.tsv, "we");
	if (!f) {
		fprintf(stderr, PROGRAM ": %s: %s\n", options.tsv,
			g_strerror(errno));
		return false;
	}
	tally_tsv(&l->tally, f);
	return fclose(f) == 0;
}

/* What set.h can't see: settings that don't go together. */
static bool options_fit(struct load *l)
{
	if (!sched_init(&l->sched, options.schedule, options.poisson,
			POISSON_SEED)) {
		fprintf(stderr,
			PROGRAM
			": setting --schedule=%s: not allowed; "
			"allowed: TIME@RATE with commas between, TIME "
			"as 10s or 500ms, RATE a second up to 1000000\n",
			options.schedule);
		return false;
	}
	if (options.resend && !options.key) {
		fprintf(stderr,
			PROGRAM ": setting --resend=%lld: not allowed without "
				"--key; allowed: 0\n",
			options.resend);
		return false;
	}
	if (options.admin &&
	    g_strv_length(options.admin) != g_strv_length(options.entry)) {
		fprintf(stderr, PROGRAM ": setting --admin: not allowed; "
					"allowed: as many as --entry\n");
		return false;
	}
	return true;
}

/* Millisecond timers would send in bursts and add up to 1 ms to latencies. */
static struct event_base *precise_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static void load_prepare(struct load *l)
{
	struct bal_config config;

	l->base = precise_base();
	l->tmr = tmr_new(l->base);
	l->due_ev = evtimer_new(l->base, load_due, l);
	tally_init(&l->tally, &l->sched);
	g_snprintf(l->prefix, sizeof(l->prefix), "r%08x", randombytes_random());
	if (g_strcmp0(options.method, "POST") == 0)
		l->body = g_strnfill((gsize)options.body, 'b');
	l->digest = work_sum(lstr_from(l->body));
	config = (struct bal_config){
		.base = l->base,
		.tmr = l->tmr,
		.entries = options.entry,
		.admins = options.admin,
		.conns = (int)options.conns,
		.timeout_ms = options.timeout_ms,
	};
	l->bal = bal_new(&config);
}

int main(int argc, char **argv)
{
	struct load l = {0};
	bool held;
	bool ok;
	int rc = set_parse(PROGRAM,
			   "Sends requests at the due times of a schedule and "
			   "counts what their callers see.",
			   settings, G_N_ELEMENTS(settings), &argc, &argv);

	if (rc != -1)
		return rc;
	if (!options_fit(&l)) {
		sched_done(&l.sched);
		return SET_EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	load_prepare(&l);
	load_start(&l);
	event_base_dispatch(l.base);
	ok = load_report(&l);
	held = tally_promises_held(&l.tally, l.body == NULL);
	if (l.collectors)
		g_ptr_array_free(l.collectors, TRUE);
	bal_free(l.bal);
	tally_free(&l.tally);
	sched_done(&l.sched);
	g_free(l.body);
	event_free(l.due_ev);
	tmr_free(l.tmr);
	event_base_free(l.base);
	if (!ok)
		return 1;
	return options.check && !held ? 1 : 0;
}
