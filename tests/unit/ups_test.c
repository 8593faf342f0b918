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
/* More than the kernel holds for a target that doesn't read. */
#define HELD_BYTES (16 << 20)

#define OK_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

/* A target whose bytes the test plays by hand, and what a call came to. */
struct bed {
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
	struct bed *b = arg;

	b->starts++;
	b->status = a->status;
}

static bool on_part(void *arg, const struct ups_answer *a)
{
	struct bed *b = arg;
	char buf[4096];
	int n;

	b->parts++;
	while ((n = evbuffer_remove(a->body, buf, sizeof(buf))) > 0)
		g_string_append_len(b->body, buf, n);
	return true;
}

static void on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct bed *b = arg;
	size_t len = evbuffer_get_length(a->body);

	assert_false(b->ended);
	b->ended = true;
	b->end = end;
	b->status = a->status;
	g_string_append_len(b->body, (char *)evbuffer_pullup(a->body, -1),
			    (gssize)len);
}

static const struct ups_ops bed_ops = {
	.start = on_start,
	.part = on_part,
	.end = on_end,
};

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	int port;

	b->listener = net_listen(&port);
	g_snprintf(b->addr, sizeof(b->addr), "127.0.0.1:%d", port);
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->ups = ups_new(b->base, b->tmr);
	b->body = g_string_new("");
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	ups_free(b->ups);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_string_free(b->body, TRUE);
	if (b->listener >= 0)
		close(b->listener);
	g_free(b);
	return 0;
}

static struct ups_call *start(struct bed *b, enum evhttp_cmd_type method,
			      int64_t timeout_ms)
{
	b->ended = false;
	b->starts = 0;
	b->parts = 0;
	g_string_truncate(b->body, 0);
	return ups_start(b->ups,
			 &(struct ups_request){
				 .addr = b->addr,
				 .method = method,
				 .uri = "/a",
				 .timeout_ms = timeout_ms,
				 .connect_ms = 200,
				 .max_answer = MAX_ANSWER,
			 },
			 &bed_ops, b);
}

static void wait_end(struct bed *b)
{
	int i;

	for (i = 0; i < WAIT_MS && !b->ended; i++)
		net_run(b->base, 1);
	assert_true(b->ended);
}

/* Takes the request off a new connection and answers it with bytes. */
static int play(struct bed *b, const char *answer)
{
	bool closed;
	int fd = net_accept(b->base, b->listener, WAIT_MS);
	GString *got;

	assert_true(fd >= 0);
	got = net_read(b->base, fd, "\r\n\r\n", WAIT_MS, &closed);
	g_string_free(got, TRUE);
	net_send(fd, answer, -1);
	return fd;
}

static void a_whole_answer_is_told_whole(void **state)
{
	struct bed *b = *state;
	int fd;

	start(b, EVHTTP_REQ_GET, WAIT_MS);
	fd = play(b, OK_ANSWER);
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	assert_string_equal(b->body->str, "good");
	close(fd);
}

/*
 * The target dies, or is not what it seems, in the middle of its answer. The
 * caller must not get a part as the whole: none of these is told as whole.
 */
static void half_an_answer_is_never_whole(void **state)
{
	static const char *const bad[] = {
		/* no length, ended by the close */
		"HTTP/1.1 200 OK\r\n\r\nhalf",
		"HTTP/1.0 200 OK\r\n\r\nhalf",
		/* short of its length */
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		/* chunks without the last one, cut inside one */
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhal",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nhalf\r\n0\r\n",
		/* two lengths, length beside encoding, other encodings */
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
		/* no headers' end; nothing; not HTTP */
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
		"SSH-2.0-x\r\n\r\n",
	};
	struct bed *b = *state;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		start(b, EVHTTP_REQ_GET, WAIT_MS);
		fd = play(b, bad[i]);
		net_run(b->base, 10);
		close(fd);
		wait_end(b);
		if (b->end != UPS_CUT && b->end != UPS_BAD) {
			print_error("case %zu: end=%d body=%s\n", i, b->end,
				    b->body->str);
			fail();
		}
	}
}

/*
 * The caller gets the answer that is there, and the daemon lives on. This
 * process was held up: an answer lies ready and its deadline has passed, so
 * that both are seen in one turn of the loop. The deadline then found a call
 * without its connection, and ended the daemon.
 */
static void an_answer_and_its_deadline_in_one_turn(void **state)
{
	struct bed *b = *state;
	int fd;

	start(b, EVHTTP_REQ_GET, 100);
	fd = play(b, OK_ANSWER);
	g_usleep(150 * 1000);
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	net_run(b->base, 20);
	close(fd);
}

/* The same with a connection that is refused and its own patience. */
static void a_refusal_and_its_patience_in_one_turn(void **state)
{
	struct bed *b = *state;

	close(b->listener);
	b->listener = -1;
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	g_usleep(250 * 1000);
	wait_end(b);
	assert_int_equal(b->end, UPS_NOT_SENT);
	net_run(b->base, 20);
}

static void answers_without_body_are_whole(void **state)
{
	struct bed *b = *state;
	int fd;

	start(b, EVHTTP_REQ_HEAD, WAIT_MS);
	fd = play(b, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	close(fd);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	net_run(b->base, 20);
	fd = play(b, "HTTP/1.1 204 No Content\r\n\r\n");
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	assert_int_equal(b->body->len, 0);
	close(fd);
}

/*
 * A request timed out; its answer comes after all. The next request must not
 * get it: it goes over another connection and gets its own.
 */
static void a_late_answer_meets_nobody(void **state)
{
	struct bed *b = *state;
	int late;
	int fd;

	start(b, EVHTTP_REQ_GET, 100);
	late = play(b, "");
	wait_end(b);
	assert_int_equal(b->end, UPS_TIMEOUT);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	net_send(late, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", -1);
	fd = play(b, OK_ANSWER);
	wait_end(b);
	assert_string_equal(b->body->str, "good");
	close(late);
	close(fd);
}

/*
 * A target sends more than its answer. The bytes behind would be taken for
 * the answer to the next request on that connection: it is not used again.
 */
static void bytes_behind_an_answer_end_the_connection(void **state)
{
	struct bed *b = *state;
	int first;
	int second;

	start(b, EVHTTP_REQ_GET, WAIT_MS);
	first = play(b, OK_ANSWER
		     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
	wait_end(b);
	assert_string_equal(b->body->str, "good");
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	second = play(b, OK_ANSWER);
	wait_end(b);
	assert_string_equal(b->body->str, "good");
	close(first);
	close(second);
}

/* A young connection serves again; an old one might be forgotten between. */
static void only_young_connections_serve_again(void **state)
{
	struct bed *b = *state;
	bool closed;
	GString *got;
	int fd;
	int again;

	start(b, EVHTTP_REQ_GET, WAIT_MS);
	fd = play(b, OK_ANSWER);
	wait_end(b);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	got = net_read(b->base, fd, "\r\n\r\n", WAIT_MS, &closed);
	assert_non_null(strstr(got->str, "GET /a"));
	g_string_free(got, TRUE);
	net_send(fd, OK_ANSWER, -1);
	wait_end(b);
	assert_int_equal(ups_stats(b->ups).reuses, 1);
	net_run(b->base, 700);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	again = play(b, OK_ANSWER);
	wait_end(b);
	assert_int_equal(ups_stats(b->ups).reuses, 1);
	assert_int_equal(b->end, UPS_WHOLE);
	close(fd);
	close(again);
}

/* Nobody listens, or nobody accepts: not sent, so it was not run. */
static void without_connection_nothing_was_sent(void **state)
{
	struct bed *b = *state;

	close(b->listener);
	b->listener = -1;
	start(b, EVHTTP_REQ_POST, WAIT_MS);
	wait_end(b);
	assert_int_equal(b->end, UPS_NOT_SENT);
}

static void larger_answers_come_in_parts(void **state)
{
	struct bed *b = *state;
	GString *answer =
		g_string_new("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
	int fd;
	int i;

	for (i = 0; i < 100; i++)
		g_string_append(answer, "0123456789");
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	fd = play(b, answer->str);
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	assert_int_equal(b->starts, 1);
	assert_int_equal(b->body->len, 1000);
	close(fd);
	/* cut half-way: parts were passed on, and the end says so */
	g_string_truncate(answer, 600);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	net_run(b->base, 300);
	fd = play(b, answer->str);
	net_run(b->base, 10);
	close(fd);
	wait_end(b);
	assert_int_equal(b->end, UPS_CUT);
	assert_int_equal(b->starts, 1);
	g_string_free(answer, TRUE);
}

/*
 * A control daemon of a large fleet ends with a fault, and again after each
 * start: it has as many connections to workers as it may have files open, and
 * the next call ends within the call that begins it, for want of a socket.
 */
static void a_call_without_a_descriptor_ends(void **state)
{
	struct bed *b = *state;
	struct net_taken taken = net_take_descriptors(0);
	int fd;

	start(b, EVHTTP_REQ_GET, WAIT_MS);
	wait_end(b);
	assert_int_equal(b->end, UPS_NO_ROOM);
	net_give_back(&taken);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	fd = play(b, OK_ANSWER);
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	close(fd);
}

/* One of several calls at once. */
struct one {
	bool ended;
	enum ups_end end;
};

static void on_one_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct one *o = arg;

	assert_false(o->ended);
	o->ended = true;
	o->end = end;
}

static struct ups_call *start_one(struct bed *b, const char *addr, bool urgent,
				  int64_t timeout_ms, struct one *o)
{
	static const struct ups_ops ops = {.end = on_one_end};

	*o = (struct one){0};
	return ups_start(b->ups,
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

static void wait_one(struct bed *b, const struct one *o)
{
	int i;

	for (i = 0; i < WAIT_MS && !o->ended; i++)
		net_run(b->base, 1);
	assert_true(o->ended);
}

/* Reads a request off a connection and answers it. */
static void answer(struct bed *b, int fd)
{
	bool closed;

	g_string_free(net_read(b->base, fd, "\r\n\r\n", WAIT_MS, &closed),
		      TRUE);
	assert_false(closed);
	net_send(fd, OK_ANSWER, -1);
}

/* Guards against a daemon that takes all descriptors of its process for calls. */
static void calls_beyond_the_bound_wait(void **state)
{
	struct bed *b = *state;
	struct one o[3];
	int fds[2];
	int i;

	ups_set_most(b->ups, 2);
	for (i = 0; i < 3; i++)
		start_one(b, b->addr, false, WAIT_MS, &o[i]);
	fds[0] = net_accept(b->base, b->listener, WAIT_MS);
	fds[1] = net_accept(b->base, b->listener, WAIT_MS);
	assert_int_equal(net_accept(b->base, b->listener, 50), -1);
	assert_int_equal(ups_stats(b->ups).open, 2);
	assert_int_equal(ups_stats(b->ups).waiting, 1);
	answer(b, fds[0]);
	wait_one(b, &o[0]);
	answer(b, fds[0]);
	answer(b, fds[1]);
	for (i = 0; i < 3; i++) {
		wait_one(b, &o[i]);
		assert_int_equal(o[i].end, UPS_WHOLE);
	}
	assert_int_equal(ups_stats(b->ups).connects, 2);
	close(fds[0]);
	close(fds[1]);
}

/* Guards against idle connections that keep other targets from being asked. */
static void an_idle_connection_makes_place(void **state)
{
	struct bed *b = *state;
	struct one o[2];
	char addr[32];
	int port;
	int other = net_listen(&port);
	int fds[2];

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	ups_set_most(b->ups, 1);
	ups_set_reuse(b->ups, 2 * WAIT_MS);
	start_one(b, b->addr, false, WAIT_MS, &o[0]);
	fds[0] = net_accept(b->base, b->listener, WAIT_MS);
	answer(b, fds[0]);
	wait_one(b, &o[0]);
	start_one(b, addr, false, WAIT_MS, &o[1]);
	fds[1] = net_accept(b->base, other, WAIT_MS);
	answer(b, fds[1]);
	wait_one(b, &o[1]);
	assert_int_equal(o[1].end, UPS_WHOLE);
	assert_int_equal(ups_stats(b->ups).open, 1);
	assert_int_equal(ups_stats(b->ups).evicted, 1);
	close(fds[0]);
	close(fds[1]);
	close(other);
}

/* Guards against leases that end while less urgent calls go first. */
static void urgent_calls_go_first(void **state)
{
	struct bed *b = *state;
	struct one o[3];
	int fd;

	ups_set_most(b->ups, 1);
	start_one(b, b->addr, false, WAIT_MS, &o[0]);
	start_one(b, b->addr, false, WAIT_MS, &o[1]);
	start_one(b, b->addr, true, WAIT_MS, &o[2]);
	assert_true(ups_crowded(b->ups));
	fd = net_accept(b->base, b->listener, WAIT_MS);
	answer(b, fd);
	wait_one(b, &o[0]);
	answer(b, fd);
	wait_one(b, &o[2]);
	assert_false(o[1].ended);
	assert_false(ups_crowded(b->ups));
	answer(b, fd);
	wait_one(b, &o[1]);
	close(fd);
}

/* Guards against a call that waited in vain and is taken for one that ran. */
static void a_call_that_waited_in_vain_was_not_tried(void **state)
{
	struct bed *b = *state;
	struct ups_call *cancelled;
	struct one o[3];
	int fd;

	ups_set_most(b->ups, 1);
	start_one(b, b->addr, false, WAIT_MS, &o[0]);
	start_one(b, b->addr, false, 20, &o[1]);
	cancelled = start_one(b, b->addr, false, WAIT_MS, &o[2]);
	wait_one(b, &o[1]);
	assert_int_equal(o[1].end, UPS_NO_ROOM);
	ups_cancel(cancelled);
	fd = net_accept(b->base, b->listener, WAIT_MS);
	answer(b, fd);
	wait_one(b, &o[0]);
	net_run(b->base, 20);
	assert_int_equal(ups_stats(b->ups).waiting, 0);
	assert_int_equal(ups_stats(b->ups).reuses, 0);
	assert_false(o[2].ended);
	close(fd);
}

/* A call given up is never told, and its connection never used again. */
static void a_cancelled_call_is_silent(void **state)
{
	struct bed *b = *state;
	struct ups_call *call = start(b, EVHTTP_REQ_GET, WAIT_MS);
	int fd = play(b, "HTTP/1.1 200 OK\r\nContent-Le");
	int next;

	ups_cancel(call);
	net_send(fd, "ngth: 4\r\n\r\nlate", -1);
	net_run(b->base, 50);
	assert_false(b->ended);
	start(b, EVHTTP_REQ_GET, WAIT_MS);
	next = play(b, OK_ANSWER);
	wait_end(b);
	assert_string_equal(b->body->str, "good");
	close(fd);
	close(next);
}

/* Reads what is there; true: the sender broke the connection off. */
static bool read_to_reset(struct bed *b, int fd, size_t *got)
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
		net_run(b->base, 1);
		i++;
	}
	return false;
}

/*
 * A target carries out seconds later what its caller has given up. A cut holds
 * the request up in the caller's kernel; the caller gives up and closes; the
 * cut heals and the kernel sends on what it was told to send. Here a target
 * that doesn't read stands for the cut: what it hasn't got by the time of the
 * end must never come.
 */
static void what_is_held_up_is_lost_with_its_call(void **state)
{
	static const struct {
		bool cancelled;
		int64_t timeout_ms;
	} ends[] = {{true, WAIT_MS}, {false, 150}};
	struct bed *b = *state;
	char *bytes = g_malloc0(HELD_BYTES);
	struct ups_request r = {
		.addr = b->addr,
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
		evbuffer_add(r.body, bytes, HELD_BYTES);
		r.timeout_ms = ends[i].timeout_ms;
		b->ended = false;
		call = ups_start(b->ups, &r, &bed_ops, b);
		fd = net_accept(b->base, b->listener, WAIT_MS);
		net_run(b->base, 50);
		if (ends[i].cancelled) {
			assert_true(ups_held(call) > 0);
			ups_cancel(call);
		} else {
			wait_end(b);
			assert_int_equal(b->end, UPS_TIMEOUT);
		}
		net_run(b->base, 10);
		assert_true(read_to_reset(b, fd, &got));
		assert_true(got < HELD_BYTES);
		close(fd);
		evbuffer_free(r.body);
	}
	g_free(bytes);
}

int main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		T(a_whole_answer_is_told_whole),
		T(half_an_answer_is_never_whole),
		T(an_answer_and_its_deadline_in_one_turn),
		T(a_refusal_and_its_patience_in_one_turn),
		T(answers_without_body_are_whole),
		T(a_late_answer_meets_nobody),
		T(bytes_behind_an_answer_end_the_connection),
		T(only_young_connections_serve_again),
		T(without_connection_nothing_was_sent),
		T(larger_answers_come_in_parts),
		T(a_call_without_a_descriptor_ends),
		T(calls_beyond_the_bound_wait),
		T(an_idle_connection_makes_place),
		T(urgent_calls_go_first),
		T(a_call_that_waited_in_vain_was_not_tried),
		T(a_cancelled_call_is_silent),
		T(what_is_held_up_is_lost_with_its_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
