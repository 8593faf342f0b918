#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "plt_map.h"
#include "plt_peer.h"
#include "set.h"
#include "tmr.h"
#include "ups.h"

/*
 * Stands in for the minions of one service, all in one process. Each has its
 * own address, id, leases, runs and list of ends, as PROTOCOL.md, "Running work
 * units", describes them. A minion may crash: it then answers nothing, forgets
 * everything and comes back at its address under a new id.
 *
 * A task-spec says what a work unit does, as words NAME=NUMBER:
 *	ms	how long it works
 *	fail	1: it fails at the end of its work
 *	save	it saves its progress each so many ms of work; 0: never
 *	size	bytes of its saved progress
 *	gang	number of members of its gang; 0: it is in none
 *	lasts	1: it works until it is stopped, and is at work after 300 ms
 *
 * Each line on standard output starts with the time, ms since the start.
 */

/* heartbeat-ms of the sites, and when the next node is called */
#define MINIONS_BEAT_MS 1500
#define MINIONS_BEAT_AGAIN_MS 300
#define MINIONS_BEAT_CHECK_MS 50
#define MINIONS_STEP_MS 10
#define MINIONS_CALL_MS 400
#define MINIONS_ID_MAX 32
/* Startup of a work unit that lasts, ms. */
#define MINIONS_STARTUP_MS 300

struct run {
	struct jtb_name name;
	uint32_t attempt;
	int64_t started_ms;
	int64_t work_ms; /* whole work */
	int64_t done_ms; /* work that is done */
	int64_t saved_ms; /* work that the saved progress holds */
	int64_t save_each_ms;
	int64_t save_bytes;
	int64_t from_ms; /* progress that the start carried */
	unsigned int gang;
	bool at_work;
	bool fails;
	bool lasts;
};

struct wait {
	struct evhttp_request *req;
	int64_t until_ms;
};

struct minion {
	struct minions *all;
	unsigned int no;
	char *addr;
	char id[MINIONS_ID_MAX];
	unsigned int life;
	bool up;
	int64_t back_ms; /* when it comes back after a crash */
	int64_t begun_ms; /* when its lifetime began */
	int64_t born_ms; /* the same, ms since 1970 */
	int64_t cut_until_ms; /* it hears and says nothing until then */
	int64_t reborn_ms; /* it crashes and starts again then; 0: not */
	struct evhttp *http;
	char *reports_to;
	guint at; /* of control */
	int64_t beat_due_ms;
	uint64_t sequence;
	uint64_t fence;
	uint64_t end_no;
	int64_t lease_ms;
	GArray *runs; /* struct run */
	GArray *ends; /* struct wkr_end; saved is owned */
	GArray *waits; /* struct wait */
	GHashTable *never; /* work unit: highest run that may not start */
};

struct minions {
	struct event_base *base;
	struct tmr *tmr;
	struct ups *ups;
	int64_t start_ms;
	char *pool;
	char *host;
	char **control;
	long long port;
	long long count;
	long long cpu;
	long long guards; /* 1: a start that does not fit is rejected */
	long long hold_max_ms;
	long long gang_wait_ms;
	long long stop_ms;
	char *crash; /* work units whose names begin so crash their minion */
	long long crash_times;
	long long crash_work_ms; /* after so much work */
	long long crash_down_ms;
	long long born; /* 1: a minion keeps its id, and says its start */
	char *late; /* the first start of a work unit of that name is late */
	long long late_ms; /* how much */
	long long cut_ms; /* its minion is cut off for so long from then on */
	long long reborn_ms; /* and starts again after so long; 0: not */
	struct minion *list;
};

/* An order that is carried out late. */
struct late_order {
	struct minion *m;
	char id[MINIONS_ID_MAX];
	char *uri;
	GBytes *body;
};

/* A beat in flight. */
struct beat {
	struct minion *m;
	unsigned int life;
};

static void minion_on_order(struct evhttp_request *req, void *arg);
static int64_t minion_clock(const struct minion *m);
static bool minion_delays(struct minion *m, struct evhttp_request *req,
			  struct lstr bytes);
static void minion_apply_late(void *arg, int64_t now);
static const char *minion_start(struct minion *m, const struct plt_doc *d,
				const struct plt_peer_order *o);
static void minion_stop(struct minion *m, const struct plt_peer_order *o);
static void minion_end(struct minion *m, guint i, enum jtb_end how);
static void minion_report(struct minion *m, struct evhttp_request *req);
static void minion_begin(struct minion *m);
static void minion_up(struct minion *m);
static void minion_crash(struct minion *m);
static void minion_beat_end(void *arg, enum ups_end end,
			    const struct ups_answer *a);

static const struct ups_ops minion_ups_ops = {
	.end = minion_beat_end,
};

/* Prints a line with the time. */
static void say(const struct minion *m, const char *what, const char *task,
		uint32_t attempt, const char *more)
{
	printf("%6lld %s %s %s run=%u %s\n",
	       (long long)(tmr_now(m->all->tmr) - m->all->start_ms), m->id,
	       what, task, attempt, more);
	fflush(stdout);
}

/* Reads the number of a word NAME=NUMBER in a task-spec. */
static int64_t spec_number(struct lstr spec, const char *name)
{
	char *text = lstr_dup(spec);
	char **words = g_strsplit(text, " ", -1);
	size_t len = strlen(name);
	int64_t v = 0;
	guint i;

	for (i = 0; words[i]; i++)
		if (strncmp(words[i], name, len) == 0 && words[i][len] == '=')
			v = g_ascii_strtoll(words[i] + len + 1, NULL, 10);
	g_strfreev(words);
	g_free(text);
	return v;
}

/* Answers an order. */
static void minion_send(struct evhttp_request *req, int status,
			struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", PLT_TYPE);
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

/* Returns the saved progress of a run, to be freed; "" if there is none. */
static char *run_saved(const struct run *r)
{
	GString *out = g_string_new(NULL);

	if (!r->save_each_ms || r->saved_ms <= 0)
		return g_string_free(out, FALSE);
	g_string_printf(out, "at=%lld", (long long)r->saved_ms);
	if ((int64_t)out->len < r->save_bytes)
		g_string_append_c(out, ' ');
	while ((int64_t)out->len < r->save_bytes)
		g_string_append_c(out, 'x');
	return g_string_free(out, FALSE);
}

/* Forgets the ends that the caller has taken note of. */
static void minion_take_note(struct minion *m, uint64_t ack)
{
	char task[JTB_ID_MAX + 40];

	while (m->ends->len &&
	       g_array_index(m->ends, struct wkr_end, 0).no <= ack) {
		const struct wkr_end *e =
			&g_array_index(m->ends, struct wkr_end, 0);

		jtb_name_format(&e->name, task, sizeof(task));
		say(m, "noted", task, e->attempt, jtb_end_name(e->how));
		g_array_remove_index(m->ends, 0);
	}
}

/* Takes an order. */
static void minion_on_order(struct evhttp_request *req, void *arg)
{
	struct minion *m = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct lstr bytes = lstr_n((const char *)evbuffer_pullup(in, -1), len);
	const char *life = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Expect-Instance");
	struct evbuffer *body = evbuffer_new();
	int64_t now = minion_clock(m);
	struct wait wait = {.req = req};
	struct plt_peer_order o;
	struct plt_doc d;
	const char *why = NULL;

	/* an order behind a cut, or one that is late, gets no answer */
	if (tmr_now(m->all->tmr) < m->cut_until_ms ||
	    minion_delays(m, req, bytes)) {
		evbuffer_free(body);
		return;
	}
	if (life && strcmp(life, m->id) != 0) {
		minion_send(req, 421, body);
		return;
	}
	if (!plt_peer_order(evhttp_request_get_uri(req), bytes, &o) ||
	    !plt_doc_open(&d, bytes)) {
		minion_send(req, 400, body);
		return;
	}
	if (o.fence < m->fence)
		why = "fence";
	m->fence = MAX(m->fence, o.fence);
	if (!why && o.until_ms)
		m->lease_ms = MAX(m->lease_ms,
				  MIN(o.until_ms, now + m->all->hold_max_ms));
	if (!why && o.kind == WKR_START)
		why = minion_start(m, &d, &o);
	else if (!why && o.kind == WKR_STOP)
		minion_stop(m, &o);
	plt_doc_done(&d);
	if (!why && o.kind == WKR_HOLD) {
		minion_take_note(m, o.ack);
		wait.until_ms =
			tmr_now(m->all->tmr) + (m->ends->len ? 0 : o.wait_ms);
		g_array_append_val(m->waits, wait);
		evbuffer_free(body);
		return;
	}
	plt_peer_answer(now, why, body);
	minion_send(req, why ? 409 : 200, body);
}

/* Starts a work unit; returns the reason if it is rejected. */
static const char *minion_start(struct minion *m, const struct plt_doc *d,
				const struct plt_peer_order *o)
{
	struct run r = {
		.name = o->name,
		.attempt = o->attempt,
		.started_ms = tmr_now(m->all->tmr),
	};
	struct lstr spec = {0};
	struct lstr saved = {0};
	char task[JTB_ID_MAX + 40];
	char more[80];
	guint i;

	jtb_name_format(&o->name, task, sizeof(task));
	for (i = 0; i < m->runs->len; i++) {
		const struct run *other =
			&g_array_index(m->runs, struct run, i);

		if (jtb_name_equal(&other->name, &o->name) &&
		    other->attempt == o->attempt)
			return NULL;
	}
	if (o->until_ms && o->until_ms <= minion_clock(m))
		return "late";
	if (GPOINTER_TO_UINT(g_hash_table_lookup(m->never, task)) >= o->attempt)
		return "old";
	if (m->all->guards && (long long)m->runs->len >= m->all->guards)
		return "room";
	plt_text(d->root, "task-spec", &spec);
	if (!plt_text(d->root, "checkpoint", &saved))
		saved = lstr_n("", 0);
	r.work_ms = spec_number(spec, "ms");
	r.fails = spec_number(spec, "fail") > 0;
	r.lasts = spec_number(spec, "lasts") > 0;
	r.save_each_ms = spec_number(spec, "save");
	r.save_bytes = spec_number(spec, "size");
	r.gang = (unsigned int)spec_number(spec, "gang");
	if (saved.len > 2)
		r.from_ms = spec_number(saved, "at");
	r.done_ms = r.saved_ms = r.from_ms;
	g_array_append_val(m->runs, r);
	g_snprintf(more, sizeof(more), "checkpoint=\"%.*s\"",
		   (int)MIN(saved.len, 16), saved.len ? saved.p : "");
	say(m, "start", task, o->attempt, more);
	return NULL;
}

/* Stops a work unit; one that never began must not begin later. */
static void minion_stop(struct minion *m, const struct plt_peer_order *o)
{
	char task[JTB_ID_MAX + 40];
	uint32_t old;
	guint i;

	jtb_name_format(&o->name, task, sizeof(task));
	old = GPOINTER_TO_UINT(g_hash_table_lookup(m->never, task));
	g_hash_table_replace(m->never, g_strdup(task),
			     GUINT_TO_POINTER(MAX(old, o->attempt)));
	for (i = m->runs->len; i > 0; i--) {
		struct run *r = &g_array_index(m->runs, struct run, i - 1);

		if (!jtb_name_equal(&r->name, &o->name) ||
		    r->attempt != o->attempt)
			continue;
		if (r->save_each_ms)
			r->saved_ms = r->done_ms;
		minion_end(m, i - 1, JTB_STOPPED);
	}
}

/* Ends a work unit and keeps the end until it is taken note of. */
static void minion_end(struct minion *m, guint i, enum jtb_end how)
{
	struct run *r = &g_array_index(m->runs, struct run, i);
	struct wkr_end e = {
		.no = ++m->end_no,
		.name = r->name,
		.known = true,
		.attempt = r->attempt,
		.how = how,
	};
	char task[JTB_ID_MAX + 40];
	char more[80] = "";

	jtb_name_format(&r->name, task, sizeof(task));
	if (r->save_each_ms && r->saved_ms > 0 && how != JTB_DONE) {
		/* "at=N" names the work that it holds */
		e.saved = lstr_from(run_saved(r));
		g_snprintf(more, sizeof(more), "saved=\"%.16s\" of %zu bytes",
			   e.saved.p, e.saved.len);
	}
	say(m, jtb_end_name(how), task, r->attempt, more);
	g_hash_table_replace(m->never, g_strdup(task),
			     GUINT_TO_POINTER(r->attempt));
	g_array_append_val(m->ends, e);
	g_array_remove_index(m->runs, i);
}

/* Writes the list of what runs and what ended. */
static void minion_report(struct minion *m, struct evhttp_request *req)
{
	struct evbuffer *body = evbuffer_new();
	char task[JTB_ID_MAX + 40];
	msgpack_sbuffer buf;
	msgpack_packer p;
	guint i;

	pk_buf_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, m->all->born ? 4 : 3);
	plt_put_int(&p, "clock-ms", minion_clock(m));
	if (m->all->born)
		plt_put_int(&p, "born", m->born_ms);
	msgpack_pack_str(&p, 7);
	msgpack_pack_str_body(&p, "running", 7);
	msgpack_pack_array(&p, m->runs->len);
	for (i = 0; i < m->runs->len; i++) {
		const struct run *r = &g_array_index(m->runs, struct run, i);
		int64_t part = r->work_ms ? 99 * r->done_ms / r->work_ms : 0;
		char *saved;

		if (r->lasts)
			part = r->done_ms > MINIONS_STARTUP_MS ? 100 : 0;

		jtb_name_format(&r->name, task, sizeof(task));
		saved = run_saved(r);
		msgpack_pack_array(&p, 4);
		msgpack_pack_str(&p, strlen(task));
		msgpack_pack_str_body(&p, task, strlen(task));
		msgpack_pack_uint32(&p, r->attempt);
		msgpack_pack_str(&p, strlen(saved));
		msgpack_pack_str_body(&p, saved, strlen(saved));
		g_free(saved);
		msgpack_pack_int64(&p, part);
	}
	msgpack_pack_str(&p, 8);
	msgpack_pack_str_body(&p, "finished", 8);
	msgpack_pack_array(&p, MIN(m->ends->len, 500));
	for (i = 0; i < MIN(m->ends->len, 500); i++) {
		const struct wkr_end *e =
			&g_array_index(m->ends, struct wkr_end, i);
		const char *how = jtb_end_name(e->how);

		jtb_name_format(&e->name, task, sizeof(task));
		msgpack_pack_array(&p, 5);
		msgpack_pack_uint64(&p, e->no);
		msgpack_pack_str(&p, strlen(task));
		msgpack_pack_str_body(&p, task, strlen(task));
		msgpack_pack_uint32(&p, e->attempt);
		msgpack_pack_str(&p, strlen(how));
		msgpack_pack_str_body(&p, how, strlen(how));
		msgpack_pack_str(&p, e->saved.len);
		msgpack_pack_str_body(&p, e->saved.len ? e->saved.p : "",
				      e->saved.len);
	}
	evbuffer_add(body, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	minion_send(req, 200, body);
}

/* Whether all members of a run's gang are there with the same progress. */
static bool gang_is_whole(const struct minions *s, const struct run *r)
{
	unsigned int n = 0;
	long long i;
	guint j;

	for (i = 0; i < s->count; i++) {
		const struct minion *m = &s->list[i];

		for (j = 0; m->up && j < m->runs->len; j++) {
			const struct run *o =
				&g_array_index(m->runs, struct run, j);

			n += strcmp(o->name.id, r->name.id) == 0 &&
			     o->name.turn == r->name.turn &&
			     o->name.step == r->name.step &&
			     o->attempt == r->attempt &&
			     o->from_ms == r->from_ms;
		}
	}
	return n == r->gang;
}

/* Ends the other members of a run's gang. */
static void gang_end(struct minions *s, const struct run *ended,
		     enum jtb_end how)
{
	struct run r = *ended;
	long long i;
	guint j;

	for (i = 0; r.gang && i < s->count; i++) {
		struct minion *m = &s->list[i];

		for (j = m->up ? m->runs->len : 0; j > 0; j--) {
			const struct run *o =
				&g_array_index(m->runs, struct run, j - 1);

			if (strcmp(o->name.id, r.name.id) == 0 &&
			    o->name.turn == r.name.turn &&
			    o->name.step == r.name.step &&
			    o->attempt == r.attempt && o->at_work)
				minion_end(m, j - 1, how);
		}
	}
}

/* Works on one run; returns whether it, or anything else, ended. */
static bool run_step(struct minion *m, guint i, int64_t now)
{
	struct minions *s = m->all;
	struct run *r = &g_array_index(m->runs, struct run, i);
	char task[JTB_ID_MAX + 40];
	struct run copy;

	if (m->lease_ms && minion_clock(m) > m->lease_ms) {
		copy = *r;
		minion_end(m, i, JTB_LEASE_EXPIRED);
		gang_end(s, &copy, JTB_GANG_BROKEN);
		return true;
	}
	jtb_name_format(&r->name, task, sizeof(task));
	if (r->gang && !r->at_work && gang_is_whole(s, r))
		r->at_work = true;
	else if (!r->gang)
		r->at_work = true;
	if (!r->at_work && now - r->started_ms > s->gang_wait_ms) {
		minion_end(m, i, JTB_GANG_INCOMPLETE);
		return true;
	}
	if (!r->at_work)
		return false;
	r->done_ms += MINIONS_STEP_MS;
	if (r->save_each_ms && r->done_ms - r->saved_ms >= r->save_each_ms)
		r->saved_ms = r->done_ms;
	if (s->crash_times > 0 && *s->crash &&
	    g_str_has_prefix(task, s->crash) &&
	    r->done_ms - r->from_ms >= s->crash_work_ms) {
		s->crash_times--;
		copy = *r;
		minion_crash(m);
		gang_end(s, &copy, JTB_GANG_BROKEN);
		return true;
	}
	if (r->lasts || r->done_ms < r->work_ms)
		return false;
	copy = *r;
	minion_end(m, i, copy.fails ? JTB_FAILED_RUN : JTB_DONE);
	gang_end(s, &copy, copy.fails ? JTB_GANG_BROKEN : JTB_DONE);
	return true;
}

/* Goes on with everything. */
static void minions_step(void *arg, int64_t now)
{
	struct minions *s = arg;
	long long i;
	guint j;

	for (i = 0; i < s->count; i++) {
		struct minion *m = &s->list[i];

		if (!m->up && now >= m->back_ms)
			minion_up(m);
		if (m->reborn_ms && now >= m->reborn_ms) {
			/* behind the cut: nobody sees a connection close */
			say(m, "CRASH", m->addr, 0, "");
			m->reborn_ms = 0;
			minion_begin(m);
		}
		if (m->cut_until_ms && now >= m->cut_until_ms) {
			m->cut_until_ms = 0;
			say(m, "cut-healed", m->addr, 0, "");
		}
		for (j = 0; m->up && j < m->runs->len;)
			if (run_step(m, j, now))
				j = 0;
			else
				j++;
		for (j = m->up ? m->waits->len : 0; j > 0; j--) {
			struct wait *w =
				&g_array_index(m->waits, struct wait, j - 1);

			if (!m->ends->len && now < w->until_ms)
				continue;
			minion_report(m, w->req);
			g_array_remove_index_fast(m->waits, j - 1);
		}
	}
}

/* The minion's own clock. */
static int64_t minion_clock(const struct minion *m)
{
	int64_t now = tmr_now(m->all->tmr);

	return m->all->born ? now - m->begun_ms + 1 : now;
}

/*
 * Whether an order is one that gets no answer and is carried out late. Its
 * minion is cut off from then on.
 */
static bool minion_delays(struct minion *m, struct evhttp_request *req,
			  struct lstr bytes)
{
	struct minions *s = m->all;
	int64_t now = tmr_now(s->tmr);
	struct plt_peer_order o;
	struct late_order *l;
	char task[JTB_ID_MAX + 40];

	if (!*s->late || !s->late_ms ||
	    !plt_peer_order(evhttp_request_get_uri(req), bytes, &o) ||
	    o.kind != WKR_START)
		return false;
	jtb_name_format(&o.name, task, sizeof(task));
	if (strcmp(task, s->late) != 0)
		return false;
	l = g_new0(struct late_order, 1);
	l->m = m;
	g_strlcpy(l->id, m->id, sizeof(l->id));
	l->uri = g_strdup(evhttp_request_get_uri(req));
	l->body = g_bytes_new(bytes.p, bytes.len);
	tmr_once(s->tmr, s->late_ms, minion_apply_late, l);
	s->late_ms = 0;
	say(m, "start-held-up", task, o.attempt, "");
	if (s->cut_ms) {
		say(m, "CUT-OFF", m->addr, 0, "");
		m->cut_until_ms = now + s->cut_ms;
	}
	m->reborn_ms = s->reborn_ms ? now + s->reborn_ms : 0;
	return true;
}

/* Carries out an order late; nobody hears of the answer. */
static void minion_apply_late(void *arg, int64_t now)
{
	struct late_order *l = arg;
	struct minion *m = l->m;
	gsize len;
	const char *p = g_bytes_get_data(l->body, &len);
	const char *why = "instance";
	struct plt_peer_order o;
	struct plt_doc d;

	if (m->up && strcmp(m->id, l->id) == 0 &&
	    plt_peer_order(l->uri, lstr_n(p, len), &o) &&
	    plt_doc_open(&d, lstr_n(p, len))) {
		if (o.fence < m->fence) {
			why = "fence";
		} else {
			m->fence = o.fence;
			m->lease_ms =
				MAX(m->lease_ms,
				    MIN(o.until_ms,
					minion_clock(m) + m->all->hold_max_ms));
			why = minion_start(m, &d, &o);
		}
		plt_doc_done(&d);
	}
	say(m, "late-start", m->addr, 0, why ? why : "carried out");
	g_free(l->uri);
	g_bytes_unref(l->body);
	g_free(l);
}

/* Begins a lifetime: nothing is left of the one before. */
static void minion_begin(struct minion *m)
{
	m->life++;
	g_snprintf(m->id, sizeof(m->id), "i-%02u%04u", m->no,
		   m->all->born ? 1 : m->life);
	m->begun_ms = tmr_now(m->all->tmr);
	m->born_ms = g_get_real_time() / 1000;
	m->up = true;
	m->sequence = 0;
	m->beat_due_ms = 0;
	m->fence = 0;
	m->end_no = 0;
	m->lease_ms = 0;
	g_array_set_size(m->runs, 0);
	g_array_set_size(m->ends, 0);
	g_array_set_size(m->waits, 0);
	g_hash_table_remove_all(m->never);
	say(m, "up", m->addr, 0, "");
}

/* Comes up at its address. */
static void minion_up(struct minion *m)
{
	char ip[32];
	char *colon;

	g_strlcpy(ip, m->addr, sizeof(ip));
	colon = strrchr(ip, ':');
	*colon = '\0';
	m->http = evhttp_new(m->all->base);
	evhttp_set_gencb(m->http, minion_on_order, m);
	if (evhttp_bind_socket(m->http, ip, (uint16_t)m->all->port) != 0) {
		fprintf(stderr, "minions: can't listen at %s\n", m->addr);
		exit(2);
	}
	minion_begin(m);
}

/* A crash: nothing is told to anybody. */
static void minion_crash(struct minion *m)
{
	say(m, "CRASH", m->addr, 0, "");
	m->up = false;
	m->back_ms = tmr_now(m->all->tmr) + m->all->crash_down_ms;
	g_array_set_size(m->runs, 0);
	g_array_set_size(m->waits, 0);
	evhttp_free(m->http);
	m->http = NULL;
}

/* Writes a minion's report about itself. */
static void minion_describe(struct minion *m, struct evbuffer *body)
{
	char rack[16];
	msgpack_sbuffer buf;
	msgpack_packer p;

	g_snprintf(rack, sizeof(rack), "r-%u", m->no / 4);
	pk_buf_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, m->all->born ? 9 : 8);
	plt_put_cstr(&p, "backend", m->all->pool);
	plt_put_cstr(&p, "address", m->addr);
	plt_put_cstr(&p, "zone", "z1");
	plt_put_cstr(&p, "state", "ready");
	plt_put_int(&p, "sequence", (int64_t)++m->sequence);
	plt_put_int(&p, "clock-ms", minion_clock(m));
	if (m->all->born)
		plt_put_int(&p, "born", m->born_ms);
	msgpack_pack_str(&p, 8);
	msgpack_pack_str_body(&p, "capacity", 8);
	msgpack_pack_map(&p, 3);
	plt_put_int(&p, "cpu", m->all->cpu);
	plt_put_int(&p, "mem-mb", 65536);
	plt_put_int(&p, "gpus", 0);
	msgpack_pack_str(&p, 6);
	msgpack_pack_str_body(&p, "labels", 6);
	msgpack_pack_array(&p, 2);
	msgpack_pack_str(&p, 1);
	msgpack_pack_str_body(&p, "a", 1);
	msgpack_pack_str(&p, strlen(rack));
	msgpack_pack_str_body(&p, rack, strlen(rack));
	evbuffer_add(body, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
}

/* Sends the liveness reports. */
static void minions_beat(void *arg, int64_t now)
{
	struct minions *s = arg;
	struct ups_header type = {(char *)"Content-Type", (char *)PLT_TYPE};
	long long i;

	for (i = 0; i < s->count; i++) {
		struct minion *m = &s->list[i];
		struct evbuffer *body = evbuffer_new();
		char *uri = g_strdup_printf("/v1/instances/%s", m->id);
		struct beat *b;

		if (now < m->beat_due_ms) {
			evbuffer_free(body);
			g_free(uri);
			continue;
		}
		m->beat_due_ms = now + MINIONS_BEAT_MS;
		b = g_new0(struct beat, 1);
		b->m = m;
		b->life = m->life;
		minion_describe(m, body);
		if (m->up && now >= m->cut_until_ms)
			ups_start(s->ups,
				  &(struct ups_request){
					  .addr = m->reports_to
							  ? m->reports_to
							  : s->control[m->at],
					  .method = EVHTTP_REQ_PUT,
					  .uri = uri,
					  .headers = &type,
					  .n_headers = 1,
					  .body = body,
					  .timeout_ms = MINIONS_CALL_MS,
					  .connect_ms = 300,
					  .max_answer = 4096,
				  },
				  &minion_ups_ops, b);
		else
			g_free(b);
		evbuffer_free(body);
		g_free(uri);
	}
}

/* A beat ended: its answer may say where the next ones go. */
static void minion_beat_end(void *arg, enum ups_end end,
			    const struct ups_answer *a)
{
	struct beat *b = arg;
	struct minion *m = b->m;
	struct evbuffer *body = end == UPS_WHOLE ? a->body : NULL;
	const char *leader = NULL;
	char *next = NULL;

	g_free(b);
	if (body && a->status == 200)
		next = plt_peer_reports_to(
			lstr_n((const char *)evbuffer_pullup(body, -1),
			       evbuffer_get_length(body)));
	else if (end == UPS_WHOLE && a->status == 307)
		leader = ups_header_find(a, "Location");
	if (leader)
		next = plt_peer_host(leader);
	g_free(m->reports_to);
	m->reports_to = next;
	if (!leader && (end != UPS_WHOLE || a->status != 200))
		m->at = (m->at + 1) % g_strv_length(m->all->control);
	if (end != UPS_WHOLE || a->status != 200)
		m->beat_due_ms = tmr_now(m->all->tmr) + MINIONS_BEAT_AGAIN_MS;
}

static void on_term(evutil_socket_t sig, short what, void *arg)
{
	event_base_loopbreak(arg);
}

int main(int argc, char **argv)
{
	struct minions s = {0};
	const struct set_def defs[] = {
		{"pool", SET_NAME, &s.pool, NULL, 0, 0, NULL, "Service"},
		{"net", SET_STR, &s.host, NULL, 0, 0, NULL,
		 "First three parts of the minions' addresses"},
		{"port", SET_INT, &s.port, NULL, 1024, 65535, NULL,
		 "Their port"},
		{"count", SET_INT, &s.count, "9", 1, 100, NULL, "Minions"},
		{"control", SET_ADDRS, &s.control, NULL, 0, 0, NULL,
		 "Control daemons"},
		{"cpu", SET_INT, &s.cpu, "16000", 1, 1000000, NULL,
		 "Thousandths of a core of a minion"},
		{"guards", SET_INT, &s.guards, "0", 0, 1000, NULL,
		 "Work units that a minion takes; 0: any number"},
		{"hold-max-ms", SET_INT, &s.hold_max_ms, "10000", 1, 100000,
		 NULL, "Longest lease"},
		{"gang-wait-ms", SET_INT, &s.gang_wait_ms, "3000", 1, 100000,
		 NULL, "How long a member waits for its gang"},
		{"born", SET_INT, &s.born, "0", 0, 1, NULL,
		 "1: minions keep their ids, and say when they started"},
		{"late", SET_STR, &s.late, "", 0, 0, NULL,
		 "The first start of this work unit is carried out late"},
		{"late-ms", SET_INT, &s.late_ms, "0", 0, 100000, NULL,
		 "How late"},
		{"cut-ms", SET_INT, &s.cut_ms, "0", 0, 100000, NULL,
		 "How long its minion is cut off from then on"},
		{"reborn-ms", SET_INT, &s.reborn_ms, "0", 0, 100000, NULL,
		 "When its minion starts again behind the cut"},
		{"crash", SET_STR, &s.crash, "", 0, 0, NULL,
		 "Work units whose names begin so crash their minion"},
		{"crash-times", SET_INT, &s.crash_times, "0", 0, 100, NULL,
		 "How many crashes"},
		{"crash-work-ms", SET_INT, &s.crash_work_ms, "50", 0, 100000,
		 NULL, "After how much work"},
		{"crash-down-ms", SET_INT, &s.crash_down_ms, "3000", 1, 100000,
		 NULL, "How long the minion is down"},
	};
	struct event *term;
	long long i;
	int rc = set_parse("minions", "Stands in for minions.", defs,
			   G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	if (!s.crash)
		s.crash = g_strdup("");
	if (!s.late)
		s.late = g_strdup("");
	s.base = event_base_new();
	s.tmr = tmr_new(s.base);
	s.ups = ups_new(s.base, s.tmr);
	s.start_ms = tmr_now(s.tmr);
	s.list = g_new0(struct minion, s.count);
	for (i = 0; i < s.count; i++) {
		struct minion *m = &s.list[i];

		m->all = &s;
		m->no = (unsigned int)i;
		m->addr =
			g_strdup_printf("%s.%lld:%lld", s.host, i + 1, s.port);
		m->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
		m->ends = g_array_new(FALSE, TRUE, sizeof(struct wkr_end));
		m->waits = g_array_new(FALSE, TRUE, sizeof(struct wait));
		m->never = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
		minion_up(m);
	}
	tmr_every(s.tmr, MINIONS_STEP_MS, minions_step, &s);
	tmr_every(s.tmr, MINIONS_BEAT_CHECK_MS, minions_beat, &s);
	tmr_once(s.tmr, 0, minions_beat, &s);
	term = evsignal_new(s.base, SIGTERM, on_term, s.base);
	evsignal_add(term, NULL);
	event_base_dispatch(s.base);
	return 0;
}
