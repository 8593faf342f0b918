#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "ups.h"

#define WAIT_MS 3000
#define MAX_ANSWER 100
/* More than the kernel buffers for a target that does not read. */
#define UNREAD_BYTES (16 << 20)

#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

/* A target whose answers the test sends, and the result of a call. */
struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct ups *ups;
	int listener;
	char addr[32];
	bool ended;
	enum ups_end end;
	int status;
	GString *body;
	int starts;
	int parts;
};

static void on_start(void *arg, const struct ups_answer *a)
{
	struct fixture *f = arg;

	f->starts++;
	f->status = a->status;
}

static bool on_part(void *arg, const struct ups_answer *a)
{
	struct fixture *f = arg;
	char buf[4096];
	int n;

	f->parts++;
	while ((n = evbuffer_remove(a->body, buf, sizeof(buf))) > 0)
		g_string_append_len(f->body, buf, n);
	return true;
}

static void on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct fixture *f = arg;
	size_t len = evbuffer_get_length(a->body);

	assert_false(f->ended);
	f->ended = true;
	f->end = end;
	f->status = a->status;
	g_string_append_len(f->body, (char *)evbuffer_pullup(a->body, -1),
			    (gssize)len);
}

static const struct ups_ops fixture_ops = {
	.start = on_start,
	.part = on_part,
	.end = on_end,
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int port;

	f->listener = net_listen(&port);
	g_snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d", port);
	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->ups = ups_new(f->base, f->tmr);
	f->body = g_string_new("");
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	ups_free(f->ups);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_string_free(f->body, TRUE);
	if (f->listener >= 0)
		close(f->listener);
	g_free(f);
	return 0;
}

static struct ups_call *start_request_with(struct fixture *f,
					   enum evhttp_cmd_type method,
					   int64_t timeout_ms,
					   const struct ups_ops *ops)
{
	f->ended = false;
	f->starts = 0;
	f->parts = 0;
	g_string_truncate(f->body, 0);
	return ups_start(f->ups,
			 &(struct ups_request){
				 .addr = f->addr,
				 .method = method,
				 .uri = "/a",
				 .timeout_ms = timeout_ms,
				 .connect_ms = 200,
				 .max_answer = MAX_ANSWER,
			 },
			 ops, f);
}

static struct ups_call *start_request(struct fixture *f,
				      enum evhttp_cmd_type method,
				      int64_t timeout_ms)
{
	return start_request_with(f, method, timeout_ms, &fixture_ops);
}

static void wait_end(struct fixture *f)
{
	int i;

	for (i = 0; i < WAIT_MS && !f->ended; i++)
		net_run(f->base, 1);
	assert_true(f->ended);
}

/*
 * Accepts a connection, reads the request and answers it with the bytes given.
 * Returns the connection's socket.
 */
static int accept_and_answer(struct fixture *f, const char *answer)
{
	bool closed;
	int fd = net_accept(f->base, f->listener, WAIT_MS);
	GString *got;

	assert_true(fd >= 0);
	got = net_read(f->base, fd, "\r\n\r\n", WAIT_MS, &closed);
	g_string_free(got, TRUE);
	net_send(fd, answer, -1);
	return fd;
}

static void reports_whole_answer(void **state)
{
	struct fixture *f = *state;
	int fd;

	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	fd = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	assert_string_equal(f->body->str, "good");
	close(fd);
}

/*
 * Guards against a partial answer reported as whole, when a target dies in the
 * middle of its answer or sends a malformed one.
 */
static void partial_answer_is_never_whole(void **state)
{
	static const char *const bad[] = {
		/* no length, ended by the close */
		"HTTP/1.1 200 OK\r\n\r\nhalf",
		"HTTP/1.0 200 OK\r\n\r\nhalf",
		/* short of its length */
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		/* chunks without the last one, truncated chunk */
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhal",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nhalf\r\n0\r\n",
		/* two lengths, length and encoding, other encodings */
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
		"Content-Length: 8\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhalf",
		/* malformed lengths and chunks */
		"HTTP/1.1 200 OK\r\nContent-Length: 4x\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"zz\r\nhalf\r\n0\r\n\r\n",
		/* an interim answer is not the answer */
		"HTTP/1.1 103 Early Hints\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		/* no end of headers; nothing; not HTTP */
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
		"SSH-2.0-x\r\n\r\n",
	};
	struct fixture *f = *state;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		start_request(f, EVHTTP_REQ_GET, WAIT_MS);
		fd = accept_and_answer(f, bad[i]);
		net_run(f->base, 10);
		close(fd);
		wait_end(f);
		if (f->end != UPS_TRUNCATED && f->end != UPS_MALFORMED) {
			print_error("case %zu: end=%d body=%s\n", i, f->end,
				    f->body->str);
			fail();
		}
	}
}

/*
 * Guards against a crash when a stalled process finds an answer and its expired
 * deadline in one iteration of the event loop: the deadline's timer found a
 * call without a connection. The caller gets the answer.
 */
static void answer_and_deadline_in_one_loop_iteration(void **state)
{
	struct fixture *f = *state;
	int fd;

	start_request(f, EVHTTP_REQ_GET, 100);
	fd = accept_and_answer(f, OK_ANSWER);
	g_usleep(150 * 1000);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	net_run(f->base, 20);
	close(fd);
}

/*
 * Guards against a crash when a stalled process finds a refused connection and
 * its expired connect timeout in one iteration of the event loop.
 */
static void refusal_and_connect_timeout_in_one_loop_iteration(void **state)
{
	struct fixture *f = *state;

	close(f->listener);
	f->listener = -1;
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	g_usleep(250 * 1000);
	wait_end(f);
	assert_int_equal(f->end, UPS_NOT_SENT);
	net_run(f->base, 20);
}

static void answers_without_body_are_whole(void **state)
{
	struct fixture *f = *state;
	int fd;

	start_request(f, EVHTTP_REQ_HEAD, WAIT_MS);
	fd = accept_and_answer(f,
			       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	close(fd);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	net_run(f->base, 20);
	fd = accept_and_answer(f, "HTTP/1.1 204 No Content\r\n\r\n");
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	assert_int_equal(f->body->len, 0);
	close(fd);
}

/*
 * Guards against an answer that arrives after its request timed out and is
 * taken for that of the next request, which uses another connection.
 */
static void late_answer_is_discarded(void **state)
{
	struct fixture *f = *state;
	int late;
	int fd;

	start_request(f, EVHTTP_REQ_GET, 100);
	late = accept_and_answer(f, "");
	wait_end(f);
	assert_int_equal(f->end, UPS_TIMEOUT);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	net_send(late, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", -1);
	fd = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_string_equal(f->body->str, "good");
	close(late);
	close(fd);
}

/*
 * Guards against excess bytes after an answer taken for the answer to the next
 * request: the connection is not reused.
 */
static void closes_connection_with_excess_bytes(void **state)
{
	struct fixture *f = *state;
	int first;
	int second;

	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	first = accept_and_answer(
		f,
		OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
	wait_end(f);
	assert_string_equal(f->body->str, "good");
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	second = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_string_equal(f->body->str, "good");
	close(first);
	close(second);
}

/*
 * Guards against the reuse of a connection that has been idle for long, which a
 * device on the path may have dropped.
 */
static void reuses_only_recent_connections(void **state)
{
	struct fixture *f = *state;
	bool closed;
	GString *got;
	int fd;
	int again;

	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	fd = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	got = net_read(f->base, fd, "\r\n\r\n", WAIT_MS, &closed);
	assert_non_null(strstr(got->str, "GET /a"));
	g_string_free(got, TRUE);
	net_send(fd, OK_ANSWER, -1);
	wait_end(f);
	assert_int_equal(ups_stats(f->ups).reuses, 1);
	net_run(f->base, 700);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	again = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_int_equal(ups_stats(f->ups).reuses, 1);
	assert_int_equal(f->end, UPS_WHOLE);
	close(fd);
	close(again);
}

/* Guards against a request reported as sent although nothing listens. */
static void connection_failure_is_not_sent(void **state)
{
	struct fixture *f = *state;

	close(f->listener);
	f->listener = -1;
	start_request(f, EVHTTP_REQ_POST, WAIT_MS);
	wait_end(f);
	assert_int_equal(f->end, UPS_NOT_SENT);
}

static void streams_large_answers(void **state)
{
	struct fixture *f = *state;
	GString *answer =
		g_string_new("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
	int fd;
	int i;

	for (i = 0; i < 100; i++)
		g_string_append(answer, "0123456789");
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	fd = accept_and_answer(f, answer->str);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->body->len, 1000);
	close(fd);
	/* truncated: parts were passed on, and the end reports it */
	g_string_truncate(answer, 600);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	net_run(f->base, 300);
	fd = accept_and_answer(f, answer->str);
	net_run(f->base, 10);
	close(fd);
	wait_end(f);
	assert_int_equal(f->end, UPS_TRUNCATED);
	assert_int_equal(f->starts, 1);
	g_string_free(answer, TRUE);
}

/*
 * Guards against a leader that a worker's long list ends, and each next leader
 * after it: nobody takes the answer in parts.
 */
static void too_long_an_answer_ends_its_call_only(void **state)
{
	static const struct ups_ops whole_only = {.end = on_end};
	struct fixture *f = *state;
	char *body = g_strnfill(50 * MAX_ANSWER, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s",
		50 * MAX_ANSWER, body);
	int fd;

	start_request_with(f, EVHTTP_REQ_GET, WAIT_MS, &whole_only);
	fd = accept_and_answer(f, answer);
	wait_end(f);
	assert_int_equal(f->end, UPS_MALFORMED);
	assert_int_equal(f->body->len, 0);
	close(fd);
	/* an answer whose second half never comes */
	answer[strlen(answer) / 2] = '\0';
	start_request_with(f, EVHTTP_REQ_GET, WAIT_MS, &whole_only);
	fd = accept_and_answer(f, answer);
	wait_end(f);
	assert_int_equal(f->end, UPS_MALFORMED);
	close(fd);
	start_request_with(f, EVHTTP_REQ_GET, WAIT_MS, &whole_only);
	fd = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	close(fd);
	g_free(answer);
	g_free(body);
}

/*
 * Guards against a control daemon of a large fleet that crashes, and again
 * after each start, with its descriptors used up by connections to workers:
 * without a socket, a call ends within the function that starts it.
 */
static void call_without_descriptor_ends(void **state)
{
	struct fixture *f = *state;
	struct net_held_descriptors taken = net_exhaust_descriptors(0);
	int fd;

	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	wait_end(f);
	assert_int_equal(f->end, UPS_NO_CONNECTION);
	net_release_descriptors(&taken);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	fd = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	close(fd);
}

/* Result of one of several concurrent calls. */
struct call_result {
	bool ended;
	enum ups_end end;
};

static void on_call_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct call_result *o = arg;

	assert_false(o->ended);
	o->ended = true;
	o->end = end;
}

static struct ups_call *start_call(struct fixture *f, const char *addr,
				   bool urgent, int64_t timeout_ms,
				   struct call_result *o)
{
	static const struct ups_ops ops = {.end = on_call_end};

	*o = (struct call_result){0};
	return ups_start(f->ups,
			 &(struct ups_request){
				 .addr = addr,
				 .method = EVHTTP_REQ_GET,
				 .uri = "/a",
				 .timeout_ms = timeout_ms,
				 .connect_ms = 200,
				 .max_answer = MAX_ANSWER,
				 .urgent = urgent,
			 },
			 &ops, o);
}

static void wait_result(struct fixture *f, const struct call_result *o)
{
	int i;

	for (i = 0; i < WAIT_MS && !o->ended; i++)
		net_run(f->base, 1);
	assert_true(o->ended);
}

/* Reads a request from a connection and answers it. */
static void answer_next_request(struct fixture *f, int fd)
{
	bool closed;

	g_string_free(net_read(f->base, fd, "\r\n\r\n", WAIT_MS, &closed),
		      TRUE);
	assert_false(closed);
	net_send(fd, OK_ANSWER, -1);
}

/* Guards against a daemon that uses all its descriptors for calls. */
static void calls_beyond_connection_limit_wait(void **state)
{
	struct fixture *f = *state;
	struct call_result o[3];
	int fds[2];
	int i;

	ups_set_conns_max(f->ups, 2);
	for (i = 0; i < 3; i++)
		start_call(f, f->addr, false, WAIT_MS, &o[i]);
	fds[0] = net_accept(f->base, f->listener, WAIT_MS);
	fds[1] = net_accept(f->base, f->listener, WAIT_MS);
	assert_int_equal(net_accept(f->base, f->listener, 50), -1);
	assert_int_equal(ups_stats(f->ups).open, 2);
	assert_int_equal(ups_stats(f->ups).waiting, 1);
	answer_next_request(f, fds[0]);
	wait_result(f, &o[0]);
	answer_next_request(f, fds[0]);
	answer_next_request(f, fds[1]);
	for (i = 0; i < 3; i++) {
		wait_result(f, &o[i]);
		assert_int_equal(o[i].end, UPS_WHOLE);
	}
	assert_int_equal(ups_stats(f->ups).connects, 2);
	close(fds[0]);
	close(fds[1]);
}

/* Guards against idle connections that prevent calls to other targets. */
static void evicts_idle_connection(void **state)
{
	struct fixture *f = *state;
	struct call_result o[2];
	char addr[32];
	int port;
	int other = net_listen(&port);
	int fds[2];

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	ups_set_conns_max(f->ups, 1);
	ups_set_idle_timeout(f->ups, 2 * WAIT_MS);
	start_call(f, f->addr, false, WAIT_MS, &o[0]);
	fds[0] = net_accept(f->base, f->listener, WAIT_MS);
	answer_next_request(f, fds[0]);
	wait_result(f, &o[0]);
	start_call(f, addr, false, WAIT_MS, &o[1]);
	fds[1] = net_accept(f->base, other, WAIT_MS);
	answer_next_request(f, fds[1]);
	wait_result(f, &o[1]);
	assert_int_equal(o[1].end, UPS_WHOLE);
	assert_int_equal(ups_stats(f->ups).open, 1);
	assert_int_equal(ups_stats(f->ups).evicted, 1);
	close(fds[0]);
	close(fds[1]);
	close(other);
}

/*
 * Guards against leases that expire while less urgent calls are served first.
 */
static void urgent_calls_go_first(void **state)
{
	struct fixture *f = *state;
	struct call_result o[3];
	int fd;

	ups_set_conns_max(f->ups, 1);
	start_call(f, f->addr, false, WAIT_MS, &o[0]);
	start_call(f, f->addr, false, WAIT_MS, &o[1]);
	start_call(f, f->addr, true, WAIT_MS, &o[2]);
	assert_true(ups_urgent_waiting(f->ups));
	fd = net_accept(f->base, f->listener, WAIT_MS);
	answer_next_request(f, fd);
	wait_result(f, &o[0]);
	answer_next_request(f, fd);
	wait_result(f, &o[2]);
	assert_false(o[1].ended);
	assert_false(ups_urgent_waiting(f->ups));
	answer_next_request(f, fd);
	wait_result(f, &o[1]);
	close(fd);
}

/*
 * Guards against a call reported as run that timed out waiting for a
 * connection.
 */
static void call_that_timed_out_waiting_was_not_tried(void **state)
{
	struct fixture *f = *state;
	struct ups_call *cancelled;
	struct call_result o[3];
	int fd;

	ups_set_conns_max(f->ups, 1);
	start_call(f, f->addr, false, WAIT_MS, &o[0]);
	start_call(f, f->addr, false, 20, &o[1]);
	cancelled = start_call(f, f->addr, false, WAIT_MS, &o[2]);
	wait_result(f, &o[1]);
	assert_int_equal(o[1].end, UPS_NO_CONNECTION);
	ups_cancel(cancelled);
	fd = net_accept(f->base, f->listener, WAIT_MS);
	answer_next_request(f, fd);
	wait_result(f, &o[0]);
	net_run(f->base, 20);
	assert_int_equal(ups_stats(f->ups).waiting, 0);
	assert_int_equal(ups_stats(f->ups).reuses, 0);
	assert_false(o[2].ended);
	close(fd);
}

/*
 * Guards against an end reported for a cancelled call, and against the reuse of
 * its connection.
 */
static void cancelled_call_reports_no_end(void **state)
{
	struct fixture *f = *state;
	struct ups_call *call = start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	int fd = accept_and_answer(f, "HTTP/1.1 200 OK\r\nContent-Le");
	int next;

	ups_cancel(call);
	net_send(fd, "ngth: 4\r\n\r\nlate", -1);
	net_run(f->base, 50);
	assert_false(f->ended);
	start_request(f, EVHTTP_REQ_GET, WAIT_MS);
	next = accept_and_answer(f, OK_ANSWER);
	wait_end(f);
	assert_string_equal(f->body->str, "good");
	close(fd);
	close(next);
}

/* Reads until the connection ends. Returns whether the sender reset it. */
static bool read_until_reset(struct fixture *f, int fd, size_t *got)
{
	static char buf[1 << 16];
	ssize_t n;
	int i;

	*got = 0;
	for (i = 0; i < WAIT_MS;) {
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n > 0) {
			*got += (size_t)n;
			continue;
		}
		if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
			return n < 0 && errno == ECONNRESET;
		net_run(f->base, 1);
		i++;
	}
	return false;
}

/*
 * Guards against a target that carries out a request seconds after its caller
 * gave it up: a network partition delays the request in the caller's kernel,
 * which sends it when the partition heals. A target that does not read stands
 * for the partition.
 */
static void unsent_bytes_are_dropped_with_call(void **state)
{
	static const struct {
		bool cancelled;
		int64_t timeout_ms;
	} ends[] = {{true, WAIT_MS}, {false, 150}};
	struct fixture *f = *state;
	char *bytes = g_malloc0(UNREAD_BYTES);
	struct ups_request r = {
		.addr = f->addr,
		.method = EVHTTP_REQ_POST,
		.uri = "/a",
		.connect_ms = 100,
		.max_answer = MAX_ANSWER,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		struct ups_call *call;
		size_t got;
		int fd;

		r.body = evbuffer_new();
		evbuffer_add(r.body, bytes, UNREAD_BYTES);
		r.timeout_ms = ends[i].timeout_ms;
		f->ended = false;
		call = ups_start(f->ups, &r, &fixture_ops, f);
		fd = net_accept(f->base, f->listener, WAIT_MS);
		net_run(f->base, 50);
		if (ends[i].cancelled) {
			assert_true(ups_unacked_bytes(call) > 0);
			ups_cancel(call);
		} else {
			wait_end(f);
			assert_int_equal(f->end, UPS_TIMEOUT);
		}
		net_run(f->base, 10);
		assert_true(read_until_reset(f, fd, &got));
		assert_true(got < UNREAD_BYTES);
		close(fd);
		evbuffer_free(r.body);
	}
	g_free(bytes);
}

int main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		T(reports_whole_answer),
		T(partial_answer_is_never_whole),
		T(answer_and_deadline_in_one_loop_iteration),
		T(refusal_and_connect_timeout_in_one_loop_iteration),
		T(answers_without_body_are_whole),
		T(late_answer_is_discarded),
		T(closes_connection_with_excess_bytes),
		T(reuses_only_recent_connections),
		T(connection_failure_is_not_sent),
		T(streams_large_answers),
		T(too_long_an_answer_ends_its_call_only),
		T(call_without_descriptor_ends),
		T(calls_beyond_connection_limit_wait),
		T(evicts_idle_connection),
		T(urgent_calls_go_first),
		T(call_that_timed_out_waiting_was_not_tried),
		T(cancelled_call_reports_no_end),
		T(unsent_bytes_are_dropped_with_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
