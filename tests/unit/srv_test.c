#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "srv.h"

#define READ_MS 3000
#define QUIET_MS 150
#define BODY_MAX 1000
#define MAX_CONNS 16
#define MAX_BYTES 4000
/* Longer than a connection is idle before it makes place. */
#define IDLE_MS 700

/* A server that echoes method, uri and body, or holds requests back. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct srv *srv;
	struct srv_req *held;
	bool hold;
	int requests;
	int gone;
	int port;
};

static void echo(struct srv_req *r)
{
	struct srv_req_info info = srv_info(r);
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "<%s %s ", info.method, info.uri);
	evbuffer_add_buffer(body, srv_body(r));
	evbuffer_add(body, ">", 1);
	srv_reply(r, 200, NULL, 0, body);
	evbuffer_free(body);
}

static void bed_request(void *arg, struct srv_req *r)
{
	struct bed *b = arg;

	b->requests++;
	if (b->hold)
		b->held = r;
	else
		echo(r);
}

static void bed_gone(void *arg, struct srv_req *r)
{
	struct bed *b = arg;

	b->gone++;
	b->held = NULL;
}

static const struct srv_ops bed_ops = {
	.request = bed_request,
	.gone = bed_gone,
};

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	char addr[32];
	int fd = net_listen(&b->port);

	close(fd);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", b->port);
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->srv = srv_new(
		&(struct srv_config){
			.base = b->base,
			.tmr = b->tmr,
			.addr = addr,
			.max_body = BODY_MAX,
			.max_bytes = MAX_BYTES,
			.slow_ms = 300,
			.max_conns = MAX_CONNS,
		},
		&bed_ops, b, NULL);
	assert_non_null(b->srv);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	srv_free(b->srv);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_free(b);
	return 0;
}

static char *ask(struct bed *b, const char *bytes, const char *until,
		 bool *closed)
{
	int fd = net_dial(b->port);
	GString *got;

	net_send(fd, bytes, -1);
	got = net_read(b->base, fd, until, READ_MS, closed);
	close(fd);
	net_run(b->base, 5);
	return g_string_free(got, FALSE);
}

static void a_request_gets_its_answer(void **state)
{
	struct bed *b = *state;
	bool closed;
	char *got = ask(b,
			"POST /a/b?c=%20d HTTP/1.1\r\nHost: x\r\n"
			"Content-Length: 4\r\n\r\nbody",
			">", &closed);

	assert_non_null(strstr(got, "HTTP/1.1 200"));
	assert_non_null(strstr(got, "<POST /a/b?c=%20d body>"));
	g_free(got);
}

/*
 * A caller's job is accepted under another id than it was given, and asking
 * after it says that there is no such job. On a slow link a request line comes
 * in two pieces, and libevhtp puts a byte of its own between those of a path.
 */
static void a_path_in_two_pieces_stays_the_same(void **state)
{
	static const char line[] = "GET /abc/9dfcce07fd267eeb HTTP/1.1\r\n"
				   "Host: x\r\n\r\n";
	struct bed *b = *state;
	size_t cut;

	for (cut = 1; cut < sizeof(line) - 1; cut++) {
		int fd = net_dial(b->port);
		bool closed;
		GString *got;

		net_send(fd, line, (gssize)cut);
		net_run(b->base, 2);
		net_send(fd, line + cut, -1);
		got = net_read(b->base, fd, ">", READ_MS, &closed);
		assert_non_null(
			strstr(got->str, "<GET /abc/9dfcce07fd267eeb >"));
		g_string_free(got, TRUE);
		close(fd);
	}
}

/*
 * Two readers of one request see two values, or a caller waits for an answer
 * that never comes: a NUL within a value ends it for one reader, and a chunk
 * whose length doesn't fit a number is waited for without end.
 */
static void what_two_readers_take_differently_is_refused(void **state)
{
	static const struct lstr bad[] = {
		LSTR_INIT("GET /a HTTP/1.1\r\nHost: x\r\nX: a\0b\r\n\r\n"),
		LSTR_INIT("POST /a HTTP/1.1\r\nHost: x\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n"
			  "FFFFFFFFFFFFFFFFF\r\n"),
		LSTR_INIT("GET /a HTTP/1.1\nHost: x\n\n"),
	};
	struct bed *b = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		int fd = net_dial(b->port);
		bool closed = false;
		GString *got;

		net_send(fd, bad[i].p, (gssize)bad[i].len);
		got = net_read(b->base, fd, NULL, READ_MS, &closed);
		assert_true(closed);
		assert_int_equal(strncmp(got->str, "HTTP/1.1 400 ", 13), 0);
		g_string_free(got, TRUE);
		close(fd);
	}
	assert_int_equal(b->requests, 0);
}

static void chunks_make_one_body(void **state)
{
	struct bed *b = *state;
	bool closed;
	char *got = ask(b,
			"POST /a HTTP/1.1\r\nHost: x\r\n"
			"Transfer-Encoding: chunked\r\n\r\n"
			"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
			">", &closed);

	assert_non_null(strstr(got, "<POST /a abcde>"));
	g_free(got);
}

/*
 * A request that two readers could end at different places: the bytes behind
 * it would be another caller's request. It gets a 4xx or a close, it is not
 * run, and nothing behind it on the connection is run either.
 */
static void two_ways_to_read_are_refused(void **state)
{
	static const char *const bad[] = {
		/* length beside encoding */
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 4\r\n\r\n0\r\n\r\n",
		/* two lengths */
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		"Content-Length: 5\r\n\r\nabcde",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n"
		"\r\nabcd",
		/* malformed lengths */
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: "
		"0x4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4 "
		"4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\n"
		"Content-Length: 99999999999999999999\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\nabcd",
		/* other encodings */
		"POST /a HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.0\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		/* chunks that are none */
		"POST /a HTTP/1.1\r\nHost: x\r\n"
		"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"\r\nffffffffffffffff1\r\nab\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"\r\n2\r\nabcd\r\n0\r\n\r\n",
		/* no Host, two Hosts */
		"GET /a HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		/* a blank before the colon, a folded line */
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd",
		"POST /a HTTP/1.1\r\nHost: x\r\nX: y\r\n Content-Length: 4\r\n"
		"\r\nabcd",
		/* not a request */
		"\r\n\r\n\x01\x02\x03\r\n\r\n",
		"GET /a HTTP/3.0\r\nHost: x\r\n\r\n",
		"GET /a\r\n\r\n",
	};
	struct bed *b = *state;
	bool closed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *all =
			g_strconcat(bad[i],
				    "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
				    NULL);
		char *got = ask(b, all, NULL, &closed);

		if (!closed || b->requests || strstr(got, " 200 ")) {
			print_error("case %zu: closed=%d requests=%d got=%s\n",
				    i, closed, b->requests, got);
			fail();
		}
		if (*got)
			assert_non_null(strstr(got, "not-run"));
		g_free(got);
		g_free(all);
	}
}

static void too_large_is_refused(void **state)
{
	struct bed *b = *state;
	GString *big = g_string_new("GET /a HTTP/1.1\r\nHost: x\r\n");
	bool closed;
	char *got;
	int i;

	got = ask(b,
		  "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n",
		  NULL, &closed);
	assert_non_null(strstr(got, "413"));
	assert_true(closed);
	g_free(got);
	for (i = 0; i < 1000; i++)
		g_string_append_printf(big, "X-%d: 0123456789012345678\r\n", i);
	g_string_append(big, "\r\n");
	got = ask(b, big->str, NULL, &closed);
	assert_true(closed);
	g_free(got);
	/* chunks that add up to more than is allowed */
	g_string_assign(big, "POST /a HTTP/1.1\r\nHost: x\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i < 101; i++)
		g_string_append(big, "a\r\n0123456789\r\n");
	g_string_append(big, "0\r\n\r\n");
	got = ask(b, big->str, NULL, &closed);
	assert_true(closed);
	assert_int_equal(b->requests, 0);
	g_free(got);
	g_string_free(big, TRUE);
}

/* Two requests in one packet: each gets its own answer, in order. */
static void pipelined_requests_keep_their_order(void **state)
{
	struct bed *b = *state;
	int fd = net_dial(b->port);
	bool closed;
	GString *got;

	b->hold = true;
	net_send(fd,
		 "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
		 "GET /two HTTP/1.1\r\nHost: x\r\n\r\n",
		 -1);
	net_run(b->base, QUIET_MS);
	assert_int_equal(b->requests, 1);
	b->hold = false;
	echo(b->held);
	got = net_read(b->base, fd, "/two >", READ_MS, &closed);
	assert_non_null(strstr(got->str, "<GET /one >"));
	assert_true(strstr(got->str, "/one") < strstr(got->str, "/two"));
	assert_int_equal(b->requests, 2);
	g_string_free(got, TRUE);
	close(fd);
}

static void head_has_no_body(void **state)
{
	struct bed *b = *state;
	bool closed;
	char *got = ask(b,
			"HEAD /h HTTP/1.1\r\nHost: x\r\n"
			"Connection: close\r\n\r\n",
			NULL, &closed);

	assert_non_null(strstr(got, " 200 "));
	assert_null(strstr(got, "<HEAD"));
	g_free(got);
}

/* A sender that stops half-way holds its connection for slow_ms at most. */
static void a_slow_sender_is_cut(void **state)
{
	struct bed *b = *state;
	bool closed;
	char *got = ask(b,
			"POST /a HTTP/1.1\r\nHost: x\r\n"
			"Content-Length: 10\r\n\r\nabc",
			NULL, &closed);

	assert_true(closed);
	assert_int_equal(b->requests, 0);
	g_free(got);
}

/*
 * A planned stop. An idle connection is closed at once; an upload in progress
 * is read to its end and answered; the answer closes its connection.
 */
static void a_drain_finishes_uploads(void **state)
{
	struct bed *b = *state;
	int idle = net_dial(b->port);
	int busy = net_dial(b->port);
	bool closed;
	GString *got;

	net_send(idle, "GET /i HTTP/1.1\r\nHost: x\r\n\r\n", -1);
	got = net_read(b->base, idle, "/i >", READ_MS, &closed);
	g_string_free(got, TRUE);
	net_send(busy,
		 "POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc",
		 -1);
	net_run(b->base, 50);
	srv_stop_accepting(b->srv);
	srv_drain(b->srv);
	got = net_read(b->base, idle, NULL, READ_MS, &closed);
	assert_true(closed);
	g_string_free(got, TRUE);
	net_send(busy, "def", -1);
	got = net_read(b->base, busy, NULL, READ_MS, &closed);
	assert_non_null(strstr(got->str, "<POST /up abcdef>"));
	assert_true(closed);
	g_string_free(got, TRUE);
	close(idle);
	close(busy);
}

/* The caller leaves while its request waits: the owner is told once. */
static void a_caller_who_leaves_is_told(void **state)
{
	struct bed *b = *state;
	int fd = net_dial(b->port);

	b->hold = true;
	net_send(fd, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n", -1);
	net_run(b->base, 50);
	assert_non_null(b->held);
	close(fd);
	net_run(b->base, 500);
	assert_int_equal(b->gone, 1);
}

/* Guards against callers left without a word when there are too many. */
static void one_too_many_is_told_when_to_come(void **state)
{
	struct bed *b = *state;
	int fds[MAX_CONNS + 1];
	struct srv_req *held = NULL;
	bool closed;
	GString *got;
	int i;

	b->hold = true;
	for (i = 0; i <= MAX_CONNS; i++) {
		fds[i] = net_dial(b->port);
		net_send(fds[i], "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", -1);
		net_run(b->base, 5);
		if (i == 0)
			held = b->held;
	}
	assert_int_equal(b->requests, MAX_CONNS - MAX_CONNS / 16);
	/* the last that is taken gets an answer, one more isn't taken */
	got = net_read(b->base, fds[MAX_CONNS - 1], NULL, READ_MS, &closed);
	assert_true(closed);
	assert_non_null(strstr(got->str, "HTTP/1.1 503"));
	assert_non_null(strstr(got->str, "Retry-After: 1"));
	assert_non_null(strstr(got->str, "Endive-Outcome: not-run"));
	g_string_free(got, TRUE);
	got = net_read(b->base, fds[MAX_CONNS], NULL, READ_MS, &closed);
	assert_true(closed);
	g_string_free(got, TRUE);
	assert_int_equal(srv_stats(b->srv).crowded, 2);
	echo(held);
	got = net_read(b->base, fds[0], ">", READ_MS, &closed);
	assert_non_null(strstr(got->str, "<GET /a >"));
	g_string_free(got, TRUE);
	for (i = 0; i <= MAX_CONNS; i++)
		close(fds[i]);
	net_run(b->base, QUIET_MS);
}

/* Guards against idle connections that keep new callers out. */
static void an_idle_caller_makes_place(void **state)
{
	struct bed *b = *state;
	int fds[MAX_CONNS];
	bool closed;
	GString *got;
	int fd;
	int i;

	for (i = 0; i < MAX_CONNS; i++) {
		fds[i] = net_dial(b->port);
		net_run(b->base, 5);
	}
	net_run(b->base, IDLE_MS);
	fd = net_dial(b->port);
	net_send(fd, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", -1);
	got = net_read(b->base, fd, ">", READ_MS, &closed);
	assert_non_null(strstr(got->str, "<GET /a >"));
	g_string_free(got, TRUE);
	got = net_read(b->base, fds[0], NULL, READ_MS, &closed);
	assert_true(closed);
	g_string_free(got, TRUE);
	for (i = 0; i < MAX_CONNS; i++)
		close(fds[i]);
	close(fd);
}

/* Guards against a daemon that is killed for the bodies of many callers. */
static void bodies_beyond_the_bound_are_refused(void **state)
{
	static const char large[] = "POST /a HTTP/1.1\r\nHost: x\r\n"
				    "Content-Length: 900\r\n\r\nhalf";
	struct bed *b = *state;
	int fds[MAX_BYTES / 900];
	bool closed;
	GString *got;
	size_t i;
	int fd;

	for (i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = net_dial(b->port);
		net_send(fds[i], large, -1);
		net_run(b->base, 5);
	}
	fd = net_dial(b->port);
	net_send(fd, large, -1);
	got = net_read(b->base, fd, "at once", READ_MS, &closed);
	assert_non_null(strstr(got->str, "HTTP/1.1 503"));
	assert_non_null(strstr(got->str, "Retry-After: 1"));
	assert_non_null(strstr(got->str, "Endive-Outcome: not-run"));
	g_string_free(got, TRUE);
	close(fd);
	for (i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	net_run(b->base, QUIET_MS);
	assert_int_equal(srv_stats(b->srv).bytes, 0);
	fd = net_dial(b->port);
	net_send(fd,
		 "POST /a HTTP/1.1\r\nHost: x\r\n"
		 "Content-Length: 4\r\n\r\nbody",
		 -1);
	got = net_read(b->base, fd, ">", READ_MS, &closed);
	assert_non_null(strstr(got->str, "<POST /a body>"));
	assert_int_equal(srv_stats(b->srv).bytes, 0);
	g_string_free(got, TRUE);
	close(fd);
}

/* Guards against a daemon that does nothing but ask for connections in vain. */
static void a_listener_without_descriptors_rests(void **state)
{
	struct bed *b = *state;
	int fd = net_dial(b->port);
	struct net_taken taken = net_take_descriptors(0);
	bool closed;
	GString *got;

	net_send(fd, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", -1);
	net_run(b->base, 2 * QUIET_MS);
	assert_in_range(srv_stats(b->srv).unaccepted, 1, 4);
	net_give_back(&taken);
	got = net_read(b->base, fd, ">", READ_MS, &closed);
	assert_non_null(strstr(got->str, "<GET /a >"));
	g_string_free(got, TRUE);
	close(fd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(a_request_gets_its_answer,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			a_path_in_two_pieces_stays_the_same, setup, teardown),
		cmocka_unit_test_setup_teardown(
			what_two_readers_take_differently_is_refused, setup,
			teardown),
		cmocka_unit_test_setup_teardown(chunks_make_one_body, setup,
						teardown),
		cmocka_unit_test_setup_teardown(two_ways_to_read_are_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(too_large_is_refused, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			pipelined_requests_keep_their_order, setup, teardown),
		cmocka_unit_test_setup_teardown(head_has_no_body, setup,
						teardown),
		cmocka_unit_test_setup_teardown(a_slow_sender_is_cut, setup,
						teardown),
		cmocka_unit_test_setup_teardown(a_drain_finishes_uploads, setup,
						teardown),
		cmocka_unit_test_setup_teardown(a_caller_who_leaves_is_told,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			one_too_many_is_told_when_to_come, setup, teardown),
		cmocka_unit_test_setup_teardown(an_idle_caller_makes_place,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			bodies_beyond_the_bound_are_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
			a_listener_without_descriptors_rests, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
