#include "drive.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

struct worker workers[MAX_WORKERS];
int n_workers;
struct queue queues[MAX_QUEUES];
int n_queues;
const char *pools[MAX_QUEUES + 1];
bool trouble = true;
int ends_failed;
int saved_bytes;
void (*on_start)(struct worker *, const char *, uint32_t, struct plan *);
void (*on_ack)(struct worker *, const struct end *, uint64_t);

#define MAX_MS 116000 /* a script runs for 120 s at most */

static struct event_base *base;
static FILE *rec;
static int64_t began_ms;
static char tmp[64];
static int port; /* wire; +1 control, +2 callers, +3 ready, +4 workers, +5 vms */
static pid_t gate_pid;
static struct {
	pid_t pid;
	int own_ends;
	int64_t ended_ms;
	bool started;
} cores[CORES + 1];
static struct evhttp *cloud;
static uint64_t cloud_fence[MAX_WORKERS];
static uint64_t config_version;

/* ---- time, record, loop ---- */

int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void record(const char *fmt, ...)
{
	va_list ap;

	fprintf(rec, "%8.3f ", (double)(now_ms() - began_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(rec, fmt, ap);
	va_end(ap);
	fputc('\n', rec);
	fflush(rec);
}

static void worker_tick(struct worker *w);

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	int i;

	for (i = 0; i < n_workers; i++)
		worker_tick(&workers[i]);
}

static void stop_loop(evutil_socket_t fd, short what, void *arg)
{
	*(bool *)arg = true;
}

void pump(int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};
	bool over = false;
	struct event *ev = evtimer_new(base, stop_loop, &over);

	evtimer_add(ev, &tv);
	while (!over)
		event_base_loop(base, EVLOOP_ONCE);
	event_free(ev);
	if (now_ms() - began_ms > MAX_MS)
		could_not("it takes too long");
}

/* ---- daemons ---- */

static int redirects(const char *addr);

static pid_t spawn(const char *program, const char *conf, const char *log)
{
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setenv("ENDIVESLIP_CONFIG", conf, 1);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	execl(program, program, (char *)NULL);
	_exit(127);
}

/* The settings that deploy/settings.conf.in renders for a small site. */
static void write_conf(const char *path, int no, bool core, bool bootstrap)
{
	FILE *f = fopen(path, "w");

	fprintf(f, "[node]\nname = %s-%d\nzone = z%d\nwire = 127.0.0.%d:%d\n",
		core ? "core" : "front", no, core ? no : 1, no, port);
	if (core)
		fprintf(f, "control = 127.0.0.%d:%d\ndata = %s/data%d\n"
			   "vms = 127.0.0.9:%d\n",
			no, port + 1, tmp, no, port + 5);
	else
		fprintf(f, "callers = 127.0.0.%d:%d\nready = 127.0.0.%d:%d\n",
			no, port + 2, no, port + 3);
	fprintf(f,
		"metrics = 127.0.0.%d:%d\norders = invoke\n"
		"seeds = 127.0.0.1:%d,127.0.0.2:%d,127.0.0.3:%d\n"
		"bootstrap = %s\nopen-network = true\nlog-level = info\n"
		"[bounds]\nlosses = 1\nhold-max-ms = %d\nvm-lease-ms = %d\n"
		"keep-s = %d\ngrace-s = %d\nmemory-mb = 256\n"
		"descriptors = 4096\ndescriptors-kept = 200\n",
		no, port + 6, port + 1, port + 1, port + 1,
		bootstrap ? "true" : "false", MAX_HOLD_MS, LEASE_MS, STATUS_S,
		GRACE_S);
	fclose(f);
}

void core_start(int no)
{
	char conf[96];
	char log[96];
	char data[96];

	snprintf(conf, sizeof(conf), "%s/core%d.conf", tmp, no);
	snprintf(log, sizeof(log), "%s/core%d.log", tmp, no);
	snprintf(data, sizeof(data), "%s/data%d", tmp, no);
	mkdir(data, 0700);
	write_conf(conf, no, true, !cores[no].started);
	cores[no].started = true;
	cores[no].ended_ms = 0;
	cores[no].pid = spawn("target/bin/endive-schedd", conf, log);
	record("core %d starts", no);
}

/* Notes processes that ended; one that nobody signalled ended by itself. */
static void reap(void)
{
	int status;
	pid_t pid;
	int i;

	while ((pid = waitpid(-1, &status, WNOHANG)) > 0) {
		if (pid == gate_pid) {
			gate_pid = 0;
			record("front ended, status %d signal %d",
			       WIFEXITED(status) ? WEXITSTATUS(status) : -1,
			       WIFSIGNALED(status) ? WTERMSIG(status) : 0);
		}
		for (i = 1; i <= CORES; i++) {
			if (cores[i].pid != pid)
				continue;
			cores[i].pid = 0;
			cores[i].ended_ms = now_ms();
			cores[i].own_ends++;
			record("core %d ENDED BY ITSELF, status %d signal %d "
			       "(time %d)",
			       i, WIFEXITED(status) ? WEXITSTATUS(status) : -1,
			       WIFSIGNALED(status) ? WTERMSIG(status) : 0,
			       cores[i].own_ends);
		}
	}
}

bool core_runs(int no)
{
	reap();
	return cores[no].pid != 0;
}

/* The control daemon that says that it leads, 0: none. */
int core_leader(void)
{
	char addr[32];
	int leader = 0;
	int i;

	for (i = 1; i <= CORES && !leader; i++) {
		if (!core_runs(i))
			continue;
		snprintf(addr, sizeof(addr), "127.0.0.%d:%d", i, port + 1);
		/* who leads answers itself; the others redirect */
		if (redirects(addr) == 0)
			leader = i;
	}
	return leader;
}

int core_own_ends(int no)
{
	reap();
	return cores[no].own_ends;
}

void core_signal(int no, int sig)
{
	pid_t pid = cores[no].pid;

	record("core %d gets signal %d", no, sig);
	if (sig != SIGKILL) {
		kill(pid, sig);
		return;
	}
	cores[no].pid = 0;
	kill(pid, sig);
	waitpid(pid, NULL, 0);
}

void cores_restart_ended(void)
{
	int i;

	reap();
	for (i = 1; i <= CORES; i++)
		if (cores[i].started && !cores[i].pid && cores[i].ended_ms &&
		    now_ms() - cores[i].ended_ms > 500)
			core_start(i);
}

static void kill_all(void)
{
	int i;

	for (i = 1; i <= CORES; i++)
		if (cores[i].pid > 0) {
			kill(cores[i].pid, SIGCONT);
			kill(cores[i].pid, SIGKILL);
			waitpid(cores[i].pid, NULL, 0);
		}
	if (gate_pid > 0) {
		kill(gate_pid, SIGKILL);
		waitpid(gate_pid, NULL, 0);
	}
}

void drive_finish(int rc)
{
	char cmd[128];

	record("result %d (%s)", rc,
	       rc == 0	 ? "the rule held"
	       : rc == 1 ? "the rule was broken"
			 : "the case could not run");
	kill_all();
	if (!getenv("KEEP")) {
		snprintf(cmd, sizeof(cmd), "rm -rf %s", tmp);
		if (system(cmd) != 0)
			fprintf(stderr, "%s is left\n", tmp);
	} else {
		fprintf(stderr, "logs in %s\n", tmp);
	}
	fclose(rec);
	exit(rc);
}

void could_not(const char *why)
{
	record("could not run: %s", why);
	fprintf(stderr, "could not run: %s\n", why);
	drive_finish(2);
}

static void on_term(int sig)
{
	kill_all();
	_exit(2);
}

/* ---- bodies ---- */

static void put_str(msgpack_packer *p, const char *s)
{
	msgpack_pack_str(p, strlen(s));
	msgpack_pack_str_body(p, s, strlen(s));
}

static void put_kv(msgpack_packer *p, const char *k, const char *v)
{
	put_str(p, k);
	put_str(p, v);
}

static void put_ki(msgpack_packer *p, const char *k, int64_t v)
{
	put_str(p, k);
	msgpack_pack_int64(p, v);
}

static void put_kb(msgpack_packer *p, const char *k, bool v)
{
	put_str(p, k);
	if (v)
		msgpack_pack_true(p);
	else
		msgpack_pack_false(p);
}

static const msgpack_object *get(const msgpack_object *map, const char *key)
{
	uint32_t i;

	for (i = 0; map->type == MSGPACK_OBJECT_MAP && i < map->via.map.size;
	     i++) {
		const msgpack_object_kv *kv = &map->via.map.ptr[i];

		if (kv->key.type == MSGPACK_OBJECT_STR &&
		    kv->key.via.str.size == strlen(key) &&
		    memcmp(kv->key.via.str.ptr, key, strlen(key)) == 0)
			return &kv->val;
	}
	return NULL;
}

static int64_t get_i(const msgpack_object *map, const char *key)
{
	const msgpack_object *o = get(map, key);

	return o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
		       ? (int64_t)o->via.u64
		       : 0;
}

static bool get_s(const msgpack_object *map, const char *key, char *out,
		  size_t size)
{
	const msgpack_object *o = get(map, key);

	if (!o || o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

/* ---- calls ---- */

struct pending {
	int status;
	bool done;
	char *out;
	size_t out_size;
	size_t out_len;
	char location[128];
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct pending *p = arg;

	p->done = true;
	if (!req)
		return;
	p->status = evhttp_request_get_response_code(req);
	if (p->out) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);

		p->out_len = MIN(evbuffer_get_length(in), p->out_size);
		evbuffer_copyout(in, p->out, p->out_len);
	}
	const char *to = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Location");
	if (to)
		g_strlcpy(p->location, to, sizeof(p->location));
}

static void split(const char *addr, char *ip, size_t size, int *to)
{
	const char *colon = strrchr(addr, ':');

	g_strlcpy(ip, addr, MIN(size, (size_t)(colon - addr) + 1));
	*to = atoi(colon + 1);
}

static int call_once(const char *addr, enum evhttp_cmd_type method,
		     const char *path, const void *body, size_t len,
		     int64_t timeout_ms, struct pending *p)
{
	struct timeval tv = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
	struct evhttp_connection *c;
	struct evhttp_request *req;
	char ip[32];
	int to;

	split(addr, ip, sizeof(ip), &to);
	c = evhttp_connection_base_new(base, NULL, ip, (ev_uint16_t)to);
	evhttp_connection_set_timeout_tv(c, &tv);
	evhttp_connection_set_retries(c, 0);
	req = evhttp_request_new(on_answer, p);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  "fleet.example");
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Connection", "close");
	if (len)
		evbuffer_add(evhttp_request_get_output_buffer(req), body, len);
	if (evhttp_make_request(c, req, method, path) != 0)
		p->done = true;
	while (!p->done)
		event_base_loop(base, EVLOOP_ONCE);
	evhttp_connection_free(c);
	return p->status;
}

/* Whether a control daemon sends on who reads the configuration: 307. */
static int redirects(const char *addr)
{
	struct pending p = {0};

	return call_once(addr, EVHTTP_REQ_GET, "/v1/config", NULL, 0, 500,
			 &p) != 200;
}

int call(const char *addr, enum evhttp_cmd_type method, const char *path,
	 const void *body, size_t len, int64_t timeout_ms, char *out,
	 size_t out_size, size_t *out_len)
{
	struct pending p = {.out = out, .out_size = out_size};
	char to[128];
	int hops;

	g_strlcpy(to, addr, sizeof(to));
	for (hops = 0; hops < 3; hops++) {
		p.done = false;
		p.status = 0;
		p.location[0] = '\0';
		call_once(to, method, path, body, len, timeout_ms, &p);
		if (p.status != 307 || !p.location[0])
			break;
		/* http://IP:PORT/path */
		char *host = strstr(p.location, "://") + 3;
		*strchr(host, '/') = '\0';
		g_strlcpy(to, host, sizeof(to));
	}
	if (out_len)
		*out_len = p.out_len;
	return p.status;
}

/* ---- workers ---- */

static void send_answer(struct evhttp_request *req, int status,
			const char *reason, int64_t clock)
{
	struct evbuffer *b = evbuffer_new();
	msgpack_sbuffer buf;
	msgpack_packer p;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, reason ? 2 : 1);
	put_ki(&p, "clock-ms", clock);
	if (reason)
		put_kv(&p, "reason", reason);
	evbuffer_add(b, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_send_reply(req, status, NULL, b);
	evbuffer_free(b);
}

static int64_t clock_of(const struct worker *w)
{
	return now_ms() - w->clock_from_ms;
}

static void never(struct worker *w, const char *task, uint32_t attempt)
{
	uint32_t old = GPOINTER_TO_UINT(g_hash_table_lookup(w->never, task));

	g_hash_table_replace(w->never, g_strdup(task),
			     GUINT_TO_POINTER(MAX(old, attempt)));
}

/* Whether a run has saved its progress: it does so each 2 s of work. */
static bool has_saved(const struct run *r)
{
	return saved_bytes && now_ms() - r->began_ms >= CHECKPOINT_MS;
}

static void end_run(struct worker *w, guint i, const char *how)
{
	const struct run *r = &g_array_index(w->runs, struct run, i);
	struct end e = {.no = ++w->end_no, .attempt = r->attempt, .how = how,
			.at_ms = now_ms()};

	g_strlcpy(e.task, r->task, sizeof(e.task));
	e.saved = has_saved(r) && strcmp(how, "done") != 0;
	ends_failed += strcmp(how, "failed") == 0;
	record("worker %d (%s) ends %s attempt %u: %s (number %" PRIu64 ")",
	       w->no, w->id, e.task, e.attempt, how, e.no);
	never(w, r->task, r->attempt);
	g_array_append_val(w->ends, e);
	g_array_remove_index(w->runs, i);
}

/* A checkpoint; its first characters name the task. */
static void put_saved(msgpack_packer *p, const char *task, bool saved)
{
	if (!saved) {
		put_str(p, "");
		return;
	}
	char *text = g_strnfill((gsize)saved_bytes, '0');

	memcpy(text, task, MIN(strlen(task), (size_t)saved_bytes));
	put_str(p, text);
	g_free(text);
}

static void answer_hold(struct worker *w, struct evhttp_request *req)
{
	struct evbuffer *b = evbuffer_new();
	msgpack_sbuffer buf;
	msgpack_packer p;
	guint n = MIN(w->ends->len, 500);
	guint i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, w->with_born ? 4 : 3);
	put_ki(&p, "clock-ms", clock_of(w));
	if (w->with_born)
		put_ki(&p, "born", w->born_ms);
	put_str(&p, "running");
	msgpack_pack_array(&p, w->runs->len);
	for (i = 0; i < w->runs->len; i++) {
		const struct run *r = &g_array_index(w->runs, struct run, i);
		int64_t span = MAX(1, r->ends_ms - r->began_ms);

		msgpack_pack_array(&p, 5);
		put_str(&p, r->task);
		msgpack_pack_uint32(&p, r->attempt);
		put_saved(&p, r->task, has_saved(r));
		msgpack_pack_int64(&p, MIN(99, 100 * (now_ms() - r->began_ms) /
						       span));
		msgpack_pack_int(&p, 0);
	}
	put_str(&p, "finished");
	msgpack_pack_array(&p, n);
	for (i = 0; i < n; i++) {
		const struct end *e = &g_array_index(w->ends, struct end, i);

		msgpack_pack_array(&p, 5);
		msgpack_pack_uint64(&p, e->no);
		put_str(&p, e->task);
		msgpack_pack_uint32(&p, e->attempt);
		put_str(&p, e->how);
		put_saved(&p, e->task, e->saved);
	}
	evbuffer_add(b, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_send_reply(req, 200, NULL, b);
	evbuffer_free(b);
}

struct late {
	struct evhttp_request *req;
	struct worker *w;
	uint32_t life;
	struct event *ev;
};

static void on_late(evutil_socket_t fd, short what, void *arg)
{
	struct late *l = arg;

	/* with its process its connections are gone */
	if (l->w->life == l->life && l->w->http) {
		record("worker %d sends the answer that was on its way",
		       l->w->no);
		send_answer(l->req, 200, NULL, clock_of(l->w));
	}
	event_free(l->ev);
	g_free(l);
}

static const char *start_run(struct worker *w, const char *task,
			     uint32_t attempt, int64_t until, int64_t *after)
{
	struct plan plan = {.ms = 200};
	struct run r = {.attempt = attempt, .began_ms = now_ms()};
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct run *o = &g_array_index(w->runs, struct run, i);

		if (o->attempt == attempt && strcmp(o->task, task) == 0)
			return NULL;
	}
	if (GPOINTER_TO_UINT(g_hash_table_lookup(w->never, task)) >= attempt)
		return "old";
	if (until && until <= clock_of(w))
		return "late";
	if (on_start)
		on_start(w, task, attempt, &plan);
	*after = plan.answer_after_ms;
	g_strlcpy(r.task, task, sizeof(r.task));
	r.ends_ms = r.began_ms + plan.ms * (w->slow ? w->slow : 10) / 10;
	r.fails = plan.fails;
	g_array_append_val(w->runs, r);
	record("worker %d (%s) starts %s attempt %u", w->no, w->id, task,
	       attempt);
	return NULL;
}

static void on_order(struct evhttp_request *req, void *arg)
{
	struct worker *w = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const char *uri = evhttp_request_get_uri(req);
	const char *expect = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Expect-Instance");
	msgpack_unpacked u;
	const msgpack_object *o;
	char task[80] = "";
	const char *why = NULL;
	uint64_t fence;
	int64_t until;
	int64_t after = 0;
	uint32_t attempt;
	guint i;

	if (w->cut) {
		/* its bytes never come; libevent frees it with its connection */
		return;
	}
	if (expect && strcmp(expect, w->id) != 0) {
		send_answer(req, 421, NULL, clock_of(w));
		return;
	}
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (char *)evbuffer_pullup(in, -1), len,
				NULL) != MSGPACK_UNPACK_SUCCESS) {
		send_answer(req, 400, NULL, clock_of(w));
		msgpack_unpacked_destroy(&u);
		return;
	}
	o = &u.data;
	fence = (uint64_t)get_i(o, "fencing-token");
	until = get_i(o, "until-ms");
	attempt = (uint32_t)get_i(o, "attempt");
	get_s(o, "task", task, sizeof(task));
	if (fence < w->fence) {
		send_answer(req, 409, "fence", clock_of(w));
		msgpack_unpacked_destroy(&u);
		return;
	}
	w->fence = fence;
	if (w->lease_ms && clock_of(w) > w->lease_ms)
		w->lapsed_ms = now_ms();
	if (strcmp(uri, "/v1/run-start") == 0)
		why = start_run(w, task, attempt, until, &after);
	if (until && g_strcmp0(why, "late") != 0)
		w->lease_ms = MAX(w->lease_ms,
				  MIN(until, clock_of(w) + MAX_HOLD_MS));
	if (strcmp(uri, "/v1/run-stop") == 0) {
		never(w, task, attempt);
		for (i = w->runs->len; i > 0; i--) {
			const struct run *r =
				&g_array_index(w->runs, struct run, i - 1);

			if (r->attempt == attempt &&
			    strcmp(r->task, task) == 0)
				end_run(w, i - 1, "stopped");
		}
	}
	if (strcmp(uri, "/v1/hold") == 0) {
		struct hold h = {.req = req};
		uint64_t ack = (uint64_t)get_i(o, "ack-cursor");

		while (w->ends->len &&
		       g_array_index(w->ends, struct end, 0).no <= ack) {
			const struct end *e =
				&g_array_index(w->ends, struct end, 0);

			record("worker %d (%s) is told ack-cursor %" PRIu64
			       " and forgets end %" PRIu64
			       ": %s attempt %u %s",
			       w->no, w->id, ack, e->no, e->task, e->attempt,
			       e->how);
			if (on_ack)
				on_ack(w, e, ack);
			g_array_remove_index(w->ends, 0);
		}
		h.until_ms = now_ms() +
			     (w->ends->len ? 0 : get_i(o, "wait-ms"));
		g_array_append_val(w->holds, h);
		msgpack_unpacked_destroy(&u);
		return;
	}
	msgpack_unpacked_destroy(&u);
	if (!why && after) {
		struct late *l = g_new0(struct late, 1);
		struct timeval tv = {after / 1000, (after % 1000) * 1000};

		*l = (struct late){.req = req, .w = w, .life = w->life};
		l->ev = evtimer_new(base, on_late, l);
		evtimer_add(l->ev, &tv);
		return;
	}
	send_answer(req, why ? 409 : 200, why, clock_of(w));
}

struct beat {
	struct evhttp_connection *c;
	struct worker *w;
	uint32_t life;
	char path[80];
	char addr[64];
	int hops;
	struct event *freeing;
	GByteArray *body;
};

static void beat_send(struct beat *b);

static void beat_free(evutil_socket_t fd, short what, void *arg)
{
	struct beat *b = arg;

	evhttp_connection_free(b->c);
	event_free(b->freeing);
	if (b->hops < 0) {
		g_byte_array_free(b->body, TRUE);
		g_free(b);
	} else {
		beat_send(b);
	}
}

static void on_beat_answer(struct evhttp_request *req, void *arg)
{
	struct beat *b = arg;
	struct worker *w = b->w;
	int status = req ? evhttp_request_get_response_code(req) : 0;
	const char *to =
		req ? evhttp_find_header(evhttp_request_get_input_headers(req),
					 "Location")
		    : NULL;
	struct timeval now = {0};

	if (status == 307 && to && b->hops < 2) {
		const char *host = strstr(to, "://") + 3;

		g_strlcpy(b->addr, host,
			  MIN(sizeof(b->addr),
			      (size_t)(strchr(host, '/') - host) + 1));
		b->hops++;
	} else {
		b->hops = -1;
		if (w->life == b->life) {
			g_clear_pointer(&w->beat_to, g_free);
			if (status == 200) {
				struct evbuffer *in =
					evhttp_request_get_input_buffer(req);
				size_t len = evbuffer_get_length(in);
				msgpack_unpacked u;
				char next[64];

				msgpack_unpacked_init(&u);
				if (len &&
				    msgpack_unpack_next(
					    &u, (char *)evbuffer_pullup(in, -1),
					    len, NULL) ==
					    MSGPACK_UNPACK_SUCCESS &&
				    get_s(&u.data, "heartbeat-addr", next,
					  sizeof(next)))
					w->beat_to = g_strdup(next);
				msgpack_unpacked_destroy(&u);
			} else {
				/* the next node is called */
				w->next_beat_ms =
					MIN(w->next_beat_ms, now_ms() + 100);
			}
		}
	}
	b->freeing = evtimer_new(base, beat_free, b);
	evtimer_add(b->freeing, &now);
}

static void beat_send(struct beat *b)
{
	struct timeval tv = {1, 0};
	struct evhttp_request *req;
	char ip[32];
	int to;

	split(b->addr, ip, sizeof(ip), &to);
	b->c = evhttp_connection_base_new(base, NULL, ip, (ev_uint16_t)to);
	evhttp_connection_set_timeout_tv(b->c, &tv);
	evhttp_connection_set_retries(b->c, 0);
	req = evhttp_request_new(on_beat_answer, b);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  b->addr);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), b->body->data,
		     b->body->len);
	evhttp_make_request(b->c, req, EVHTTP_REQ_PUT, b->path);
}

static void worker_beat(struct worker *w)
{
	struct beat *b = g_new0(struct beat, 1);
	msgpack_sbuffer buf;
	msgpack_packer p;

	w->next_beat_ms = now_ms() + BEAT_MS;
	b->w = w;
	b->life = w->life;
	snprintf(b->path, sizeof(b->path), "/v1/instances/%s", w->id);
	if (w->beat_to)
		g_strlcpy(b->addr, w->beat_to, sizeof(b->addr));
	else
		snprintf(b->addr, sizeof(b->addr), "127.0.0.%d:%d",
			 (int)(w->sequence + (uint64_t)w->no) % CORES + 1,
			 port + 1);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, w->with_born ? 12 : 11);
	put_kv(&p, "backend", w->pool);
	put_kv(&p, "address", w->addr);
	put_kv(&p, "zone", w->zone);
	put_kv(&p, "version", "v1");
	put_ki(&p, "slots", 8);
	put_kv(&p, "state", "ready");
	put_ki(&p, "cold-remaining-ms", 0);
	put_ki(&p, "clock-ms", clock_of(w));
	put_ki(&p, "sequence", (int64_t)++w->sequence);
	if (w->with_born)
		put_ki(&p, "born", w->born_ms);
	put_str(&p, "capacity");
	msgpack_pack_map(&p, 3);
	put_ki(&p, "cpu", w->cpu);
	put_ki(&p, "mem-mb", 65536);
	put_ki(&p, "gpus", 0);
	put_str(&p, "labels");
	msgpack_pack_array(&p, 2);
	put_str(&p, "a");
	put_str(&p, w->rack);
	b->body = g_byte_array_new();
	g_byte_array_append(b->body, (const guint8 *)buf.data, (guint)buf.size);
	msgpack_sbuffer_destroy(&buf);
	beat_send(b);
}

/* A new process on a machine; with_born and a life before: its id stays. */
void worker_begin(struct worker *w)
{
	w->life++;
	if (!w->with_born || w->life == 1)
		snprintf(w->id, sizeof(w->id), "i-%02d%04x%02u", w->no,
			 (unsigned)(g_random_int() & 0xffff), w->life);
	w->born_ms = wall_ms();
	w->clock_from_ms = now_ms() - 1000;
	w->sequence = 0;
	w->fence = 0;
	w->end_no = 0;
	w->lease_ms = 0;
	w->lapsed_ms = 0;
	w->ready_ms = 0;
	w->state = "up";
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
	w->ends = g_array_new(FALSE, TRUE, sizeof(struct end));
	w->holds = g_array_new(FALSE, TRUE, sizeof(struct hold));
	w->never = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->http = evhttp_new(base);
	evhttp_set_gencb(w->http, on_order, w);
	if (evhttp_bind_socket(w->http, w->ip, (ev_uint16_t)(port + 4)) != 0)
		could_not("a worker can't listen");
	w->next_beat_ms = now_ms();
}

/* Its process ends at once; its runs and all that it knew are gone. */
void worker_end_process(struct worker *w)
{
	guint i;

	if (!w->http)
		return;
	for (i = 0; i < w->runs->len; i++) {
		const struct run *r = &g_array_index(w->runs, struct run, i);

		record("worker %d (%s) dies with %s attempt %u", w->no, w->id,
		       r->task, r->attempt);
	}
	evhttp_free(w->http);
	w->http = NULL;
	g_array_free(w->runs, TRUE);
	g_array_free(w->ends, TRUE);
	g_array_free(w->holds, TRUE);
	g_hash_table_destroy(w->never);
	g_clear_pointer(&w->beat_to, g_free);
}

struct worker *worker_add(const char *pool, uint32_t cpu)
{
	struct worker *w = &workers[n_workers];

	w->no = n_workers++;
	w->cpu = cpu;
	g_strlcpy(w->pool, pool, sizeof(w->pool));
	snprintf(w->machine, sizeof(w->machine), "m-%03d", w->no);
	snprintf(w->rack, sizeof(w->rack), "r1-%d", w->no / 4);
	snprintf(w->zone, sizeof(w->zone), "z%d", w->no % 3 + 1);
	snprintf(w->ip, sizeof(w->ip), "127.0.1.%d", w->no + 1);
	snprintf(w->addr, sizeof(w->addr), "127.0.1.%d:%d", w->no + 1,
		 port + 4);
	w->state = "down";
	return w;
}

struct worker *worker_of(const char *task)
{
	guint k;
	int i;

	for (i = 0; i < n_workers; i++)
		for (k = 0; workers[i].http && k < workers[i].runs->len; k++)
			if (strcmp(g_array_index(workers[i].runs, struct run, k)
					   .task,
				   task) == 0)
				return &workers[i];
	return NULL;
}

static void worker_tick(struct worker *w)
{
	int64_t now = now_ms();
	guint i;

	if (!w->http) {
		if (w->ready_ms && now >= w->ready_ms) {
			worker_begin(w);
			record("worker %d is back as %s in %s", w->no, w->id,
			       w->pool);
		}
		return;
	}
	for (i = w->runs->len; i > 0; i--) {
		const struct run *r = &g_array_index(w->runs, struct run, i - 1);

		if (w->lease_ms && clock_of(w) > w->lease_ms)
			end_run(w, i - 1, "lapsed");
		else if (now >= r->ends_ms)
			end_run(w, i - 1, r->fails ? "failed" : "done");
	}
	for (i = w->holds->len; i > 0; i--) {
		struct hold h = g_array_index(w->holds, struct hold, i - 1);

		if (!w->ends->len && now < h.until_ms)
			continue;
		g_array_remove_index(w->holds, i - 1);
		if (w->cut)
			continue;
		answer_hold(w, h.req);
	}
	if (now >= w->next_beat_ms && !w->cut)
		worker_beat(w);
}

/* ---- the platform's machine service ---- */

static void on_cloud(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct evbuffer *b = evbuffer_new();
	const char *uri = evhttp_request_get_uri(req);
	const char *token = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Fencing-Token");
	msgpack_sbuffer buf;
	msgpack_packer p;
	msgpack_unpacked u;
	int status = 200;
	const char *why = NULL;
	char machine[32] = "";
	char pool[32] = "";
	int i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	if (g_str_has_prefix(uri, "/v1/machines")) {
		msgpack_pack_map(&p, 1);
		put_str(&p, "machines");
		msgpack_pack_array(&p, (size_t)n_workers);
		for (i = 0; i < n_workers; i++) {
			const struct worker *w = &workers[i];

			msgpack_pack_map(&p, w->http ? 7 : 6);
			put_kv(&p, "machine", w->machine);
			put_kv(&p, "pool", w->pool);
			put_kv(&p, "state", w->http ? "up" : w->state);
			put_kv(&p, "zone", w->zone);
			put_str(&p, "labels");
			msgpack_pack_array(&p, 2);
			put_str(&p, "a");
			put_str(&p, w->rack);
			put_str(&p, "capacity");
			msgpack_pack_map(&p, 3);
			put_ki(&p, "cpu", w->cpu);
			put_ki(&p, "mem-mb", 65536);
			put_ki(&p, "gpus", 0);
			if (w->http)
				put_kv(&p, "id", w->id);
		}
	} else {
		struct worker *w = NULL;
		uint64_t fence = token ? g_ascii_strtoull(token, NULL, 10) : 0;

		msgpack_unpacked_init(&u);
		if (msgpack_unpack_next(&u, (char *)evbuffer_pullup(in, -1),
					evbuffer_get_length(in),
					NULL) == MSGPACK_UNPACK_SUCCESS) {
			get_s(&u.data, "machine", machine, sizeof(machine));
			get_s(&u.data, "pool", pool, sizeof(pool));
		}
		msgpack_unpacked_destroy(&u);
		for (i = 0; i < n_workers; i++)
			if (strcmp(workers[i].machine, machine) == 0)
				w = &workers[i];
		if (!w || strcmp(uri, "/v1/machine-move") != 0) {
			status = 400;
		} else if (fence < cloud_fence[w->no]) {
			status = 409;
			why = "fence";
		} else if (strcmp(w->pool, pool) != 0 && !w->http) {
			status = 409;
			why = "busy";
		} else if (strcmp(w->pool, pool) != 0) {
			cloud_fence[w->no] = fence;
			record("machine %s moves from %s to %s", w->machine,
			       w->pool, pool);
			worker_end_process(w);
			w->state = "moving";
			w->slow = 0;
			g_strlcpy(w->pool, pool, sizeof(w->pool));
			w->ready_ms = now_ms() + MIGRATE_MS;
		}
		msgpack_pack_map(&p, why ? 1 : 0);
		if (why)
			put_kv(&p, "reason", why);
	}
	evbuffer_add(b, buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_send_reply(req, status, NULL, b);
	evbuffer_free(b);
}

/* ---- operator and callers ---- */

bool apply_config(uint64_t version, int64_t within_ms)
{
	int64_t until = now_ms() + within_ms;
	msgpack_sbuffer buf;
	msgpack_packer p;
	char addr[32];
	char text[40];
	int status = 0;
	int at = 0;
	int n = 0;
	int i;

	for (i = 0; i < n_queues; i++)
		n += !queues[i].dropped;
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, 4);
	put_ki(&p, "version", (int64_t)version);
	put_str(&p, "routes");
	msgpack_pack_array(&p, (size_t)n);
	for (i = 0; i < n_queues; i++) {
		const struct queue *q = &queues[i];

		if (q->dropped)
			continue;
		msgpack_pack_map(&p, 10);
		put_kv(&p, "name", q->name);
		put_kv(&p, "hostname", "fleet.example");
		snprintf(text, sizeof(text), "/%s/", q->name);
		put_kv(&p, "path-prefix", text);
		put_kv(&p, "route-type", "unsafe");
		put_ki(&p, "timeout-ms", 3000);
		put_ki(&p, "slo-ms", 600);
		put_ki(&p, "priority", 0);
		put_kv(&p, "backend", q->pool);
		put_ki(&p, "attempts", q->attempts);
		put_str(&p, "stretch");
		msgpack_pack_double(&p, q->stretch10 / 10.0);
	}
	put_str(&p, "services");
	for (n = 0; pools[n]; n++)
		;
	msgpack_pack_array(&p, (size_t)n);
	for (i = 0; i < n; i++) {
		msgpack_pack_map(&p, 7);
		put_kv(&p, "name", pools[i]);
		put_kv(&p, "health-path", "/health");
		put_ki(&p, "max-conns", 64);
		put_kv(&p, "protocol", "h1");
		put_kb(&p, "tls", false);
		put_kb(&p, "enforces-capacity", true);
		put_kb(&p, "standby", strcmp(pools[i], "spare") == 0);
	}
	put_str(&p, "limits");
	msgpack_pack_map(&p, 4);
	put_ki(&p, "max-header-bytes", 16384);
	put_ki(&p, "max-body-bytes", 262144);
	put_ki(&p, "header-timeout-ms", 3000);
	put_ki(&p, "idle-timeout-ms", 15000);
	while (status != 200 && now_ms() < until) {
		snprintf(addr, sizeof(addr), "127.0.0.%d:%d", at % CORES + 1,
			 port + 1);
		status = call(addr, EVHTTP_REQ_PUT, "/v1/config", buf.data,
			      buf.size, 1000, NULL, 0, NULL);
		at++;
		if (status != 200)
			pump(200);
	}
	msgpack_sbuffer_destroy(&buf);
	record("configuration %" PRIu64 " %s", version,
	       status == 200 ? "acknowledged" : "not acknowledged");
	if (status == 200)
		config_version = version;
	return status == 200;
}

int submit(const char *queue, const char *id, int steps, int tasks, int cpu,
	   int estimate_ms)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	char path[80];
	char addr[32];
	int status;
	int i;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	msgpack_pack_map(&p, 2);
	put_kv(&p, "task-spec", "(text)");
	put_str(&p, "phases");
	msgpack_pack_array(&p, (size_t)steps);
	for (i = 0; i < steps; i++) {
		msgpack_pack_map(&p, (i ? 5 : 4) + (saved_bytes ? 1 : 0));
		if (saved_bytes)
			put_kb(&p, "checkpointing", true);
		put_ki(&p, "count", tasks);
		put_ki(&p, "cpu", cpu);
		put_ki(&p, "mem-mb", 256);
		put_ki(&p, "estimate-ms", estimate_ms);
		if (i) {
			put_str(&p, "after");
			msgpack_pack_array(&p, 1);
			msgpack_pack_int(&p, i - 1);
		}
	}
	snprintf(path, sizeof(path), "/%s/%s", queue, id);
	snprintf(addr, sizeof(addr), "127.0.0.4:%d", port + 2);
	status = call(addr, EVHTTP_REQ_POST, path, buf.data, buf.size, 3000,
		      NULL, 0, NULL);
	msgpack_sbuffer_destroy(&buf);
	record("POST %s (%d x %d tasks): %d", path, steps, tasks, status);
	return status;
}

int cancel(const char *queue, const char *id)
{
	char path[80];
	char addr[32];
	int status;

	snprintf(path, sizeof(path), "/%s/%s", queue, id);
	snprintf(addr, sizeof(addr), "127.0.0.4:%d", port + 2);
	status = call(addr, EVHTTP_REQ_DELETE, path, NULL, 0, 3000, NULL, 0,
		      NULL);
	record("DELETE %s: %d", path, status);
	return status;
}

bool submit_until(const char *queue, const char *id, int steps, int tasks,
		  int cpu, int estimate_ms, int64_t within_ms)
{
	int64_t until = now_ms() + within_ms;

	while (submit(queue, id, steps, tasks, cpu, estimate_ms) != 200) {
		if (now_ms() > until)
			return false;
		pump(200);
	}
	return true;
}

int64_t pending(const char *queue)
{
	msgpack_unpacked u;
	char path[80];
	char addr[32];
	char out[256];
	size_t len = 0;
	int64_t n = -1;

	snprintf(path, sizeof(path), "/%s/", queue);
	snprintf(addr, sizeof(addr), "127.0.0.4:%d", port + 2);
	if (call(addr, EVHTTP_REQ_GET, path, NULL, 0, 3000, out, sizeof(out),
		 &len) != 200)
		return -1;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, out, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		n = get_i(&u.data, "pending");
	msgpack_unpacked_destroy(&u);
	return n;
}

const char *job_state(const char *queue, const char *id)
{
	static char state[32];
	msgpack_unpacked u;
	char path[80];
	char addr[32];
	char out[256];
	size_t len = 0;
	int status;

	snprintf(path, sizeof(path), "/%s/%s", queue, id);
	snprintf(addr, sizeof(addr), "127.0.0.4:%d", port + 2);
	status = call(addr, EVHTTP_REQ_GET, path, NULL, 0, 3000, out,
		      sizeof(out), &len);
	state[0] = '\0';
	if (status != 200) {
		snprintf(state, sizeof(state), "%d", status);
		return state;
	}
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, out, len, NULL) == MSGPACK_UNPACK_SUCCESS)
		get_s(&u.data, "state", state, sizeof(state));
	msgpack_unpacked_destroy(&u);
	return state;
}

const char *await_end(const char *queue, const char *id, int64_t within_ms)
{
	int64_t until = now_ms() + within_ms;
	const char *state;

	for (;;) {
		state = job_state(queue, id);
		if (strcmp(state, "completed") == 0 ||
		    strcmp(state, "failed") == 0 ||
		    strcmp(state, "cancelled") == 0 || now_ms() > until)
			break;
		pump(200);
	}
	record("GET /%s/%s: %s", queue, id, state);
	return state;
}

/* ---- start ---- */

static bool port_is_free(int p)
{
	struct evhttp *h = evhttp_new(base);
	bool ok = true;
	int i;

	for (i = 0; ok && i < 8; i++)
		ok = evhttp_bind_socket(h, "127.0.0.1", (ev_uint16_t)(p + i)) ==
		     0;
	evhttp_free(h);
	return ok;
}

void drive_init(int argc, char **argv)
{
	const char *t = getenv("TROUBLE");
	struct timeval tick = {0, 5000};
	int tries;

	if (argc != 2) {
		fprintf(stderr, "usage: %s RECORD\n", argv[0]);
		exit(2);
	}
	trouble = !t || strcmp(t, "0") != 0;
	rec = fopen(argv[1], "w");
	if (!rec)
		exit(2);
	setvbuf(rec, NULL, _IOFBF, 1 << 16);
	began_ms = now_ms();
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_term);
	signal(SIGINT, on_term);
	base = event_base_new();
	strcpy(tmp, "/tmp/review2.XXXXXX");
	if (!mkdtemp(tmp))
		exit(2);
	for (tries = 0; tries < 50; tries++) {
		port = 20000 + (int)(g_random_int() % 9000);
		if (port_is_free(port))
			break;
	}
	record("trouble %d", trouble);
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tick);
}

void fleet_start(void)
{
	char conf[96];
	char log[96];
	int i;

	cloud = evhttp_new(base);
	evhttp_set_gencb(cloud, on_cloud, NULL);
	if (evhttp_bind_socket(cloud, "127.0.0.9", (ev_uint16_t)(port + 5)))
		could_not("the machine service can't listen");
	for (i = 1; i <= CORES; i++)
		core_start(i);
	snprintf(conf, sizeof(conf), "%s/front4.conf", tmp);
	snprintf(log, sizeof(log), "%s/front4.log", tmp);
	write_conf(conf, 4, false, true);
	gate_pid = spawn("target/bin/endive-gated", conf, log);
	if (!apply_config(1, 15000))
		could_not("no configuration is acknowledged");
	for (i = 0; i < n_workers; i++)
		worker_begin(&workers[i]);
	pump(3000);
}
