#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <unistd.h>

#include "gat.h"
#include "net.h"
#include "pk.h"
#include "proto.h"
#include "wire.h"

#define REPLICAS 2
#define WAIT_MS 10000
/* For what must not happen, or happens in one turn of the loop. */
#define SETTLE_MS 200

struct bed;

/* A stand-in replica that answers as it is told. */
struct replica {
	struct bed *bed;
	struct wire *wire;
	struct wire_conn *conn; /* of the entry daemon */
	char addr[32];
	bool leads;
	uint64_t term;
	int calls;
	uint64_t no; /* of the newest call */
	GString *path; /* of the newest call */
};

struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	char *seeds[REPLICAS + 1];
	struct replica replicas[REPLICAS];
	struct gat *gat;
	int callers;
	char callers_addr[32];
	char wire_addr[32];
};

/* Tells the entry daemon whether this replica leads. */
static void tell(struct replica *r)
{
	struct pk_out o;

	if (!r->conn)
		return;
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_LEADER);
	pk_u(&o, r->term);
	pk_cstr(&o, r->leads ? r->addr : "");
	pk_arr(&o, 0);
	wire_send(r->conn, pk_out_view(&o));
	pk_out_done(&o);
}

static void lead(struct replica *r, uint64_t term)
{
	r->leads = true;
	r->term = term;
	tell(r);
	net_run(r->bed->base, SETTLE_MS);
}

/* Runs the loop until so many calls have come to a replica. */
static void wait_calls(struct replica *r, int calls)
{
	int i;

	for (i = 0; i < WAIT_MS && r->calls < calls; i++)
		net_run(r->bed->base, 1);
	assert_int_equal(r->calls, calls);
}

static void answer(struct replica *r, uint64_t status, uint64_t after_s,
		   const char *body)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 6);
	pk_u(&o, PROTO_ANSWER);
	pk_u(&o, r->no);
	pk_u(&o, status);
	pk_u(&o, after_s);
	pk_cstr(&o, "text/plain");
	pk_cstr(&o, body);
	wire_send(r->conn, pk_out_view(&o));
	pk_out_done(&o);
}

static void replica_up(void *arg, struct wire_conn *conn)
{
	struct replica *r = arg;

	r->conn = conn;
	tell(r);
}

static void replica_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct replica *r = arg;
	struct lstr path;
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	if (pk_get_u(&in) == PROTO_CALL) {
		r->calls++;
		r->no = pk_get_u(&in);
		pk_get_str(&in); /* method */
		pk_get_str(&in); /* host */
		path = pk_get_str(&in);
		g_string_truncate(r->path, 0);
		g_string_append_len(r->path, path.p, (gssize)path.len);
	}
	pk_in_done(&in);
}

static void replica_down(void *arg, struct wire_conn *conn, const GError *why)
{
	struct replica *r = arg;

	if (r->conn == conn)
		r->conn = NULL;
}

static const struct wire_ops replica_ops = {
	.up = replica_up,
	.recv = replica_recv,
	.down = replica_down,
};

static void replica_start(struct replica *r)
{
	GError *err = NULL;

	r->wire = wire_new(&(struct wire_config){
		.base = r->bed->base,
		.tmr = r->bed->tmr,
		.keys = r->bed->keys,
		.node = "replica",
		.zone = "z",
		.silence_ms = 5000,
	});
	assert_int_equal(wire_listen(r->wire, r->addr, &replica_ops, r, &err),
			 0);
}

/* A replica's process ends. */
static void replica_die(struct replica *r)
{
	wire_free(r->wire);
	r->wire = NULL;
	r->conn = NULL;
}

static void addr_of_free_port(char *addr, size_t size, int *port)
{
	int fd = net_listen(port);

	close(fd);
	g_snprintf(addr, size, "127.0.0.1:%d", *port);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	char node[] = "e";
	char zone[] = "z";
	GError *err = NULL;
	int port;
	int i;

	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->keys = keyring_open_network();
	for (i = 0; i < REPLICAS; i++) {
		struct replica *r = &b->replicas[i];

		r->bed = b;
		r->path = g_string_new(NULL);
		addr_of_free_port(r->addr, sizeof(r->addr), &port);
		b->seeds[i] = r->addr;
		replica_start(r);
	}
	addr_of_free_port(b->callers_addr, sizeof(b->callers_addr),
			  &b->callers);
	b->gat = gat_new(
		&(struct gat_config){
			.base = b->base,
			.keys = b->keys,
			.node = node,
			.zone = zone,
			.callers = b->callers_addr,
			.seeds = b->seeds,
			.body_max = 1000,
			.grace_ms = 5000,
			.descriptors = &net_descriptors,
		},
		&err);
	assert_non_null(b->gat);
	for (i = 0;
	     i < WAIT_MS && !(b->replicas[0].conn && b->replicas[1].conn); i++)
		net_run(b->base, 1);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;
	int i;

	gat_free(b->gat);
	for (i = 0; i < REPLICAS; i++) {
		wire_free(b->replicas[i].wire);
		g_string_free(b->replicas[i].path, TRUE);
	}
	keyring_free(b->keys);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_free(b);
	return 0;
}

/* A caller hands a job in. */
static int ask(struct bed *b)
{
	int fd = net_dial(b->callers);

	net_send(fd,
		 "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		 -1);
	return fd;
}

/* A caller hands a job in, and it has come to the first replica, which leads. */
static int ask_leader(struct bed *b)
{
	int fd;

	lead(&b->replicas[0], 1);
	fd = ask(b);
	wait_calls(&b->replicas[0], 1);
	return fd;
}

/* The whole answer; the test fails if none comes. */
static void expect(struct bed *b, int fd, const char *first, const char *part)
{
	bool closed = false;
	GString *got = net_read(b->base, fd, "\r\n\r\n", WAIT_MS, &closed);

	assert_true(g_str_has_prefix(got->str, first));
	if (part)
		assert_non_null(strstr(got->str, part));
	g_string_free(got, TRUE);
	close(fd);
}

static void the_leader_answers(void **state)
{
	struct bed *b = *state;
	struct replica *r = &b->replicas[0];
	int fd = ask_leader(b);

	assert_string_equal(r->path->str, "/q/1");
	answer(r, 429, 7, "later");
	expect(b, fd, "HTTP/1.1 429", "Retry-After: 7");
}

/*
 * Callers wait for nothing. No leader is known; a request is refused at once,
 * as not run, and is told when an election will be over.
 */
static void without_a_leader_a_request_is_refused_at_once(void **state)
{
	struct bed *b = *state;
	int fd = ask(b);

	expect(b, fd, "HTTP/1.1 503", "Retry-After: 1");
	assert_int_equal(b->replicas[0].calls + b->replicas[1].calls, 0);
}

/*
 * The leader is killed with a request on its way to it, and another leads soon
 * after: the request goes there, and its caller sees nothing of it.
 */
static void a_request_goes_on_to_the_next_leader(void **state)
{
	struct bed *b = *state;
	int fd = ask_leader(b);

	replica_die(&b->replicas[0]);
	lead(&b->replicas[1], 2);
	wait_calls(&b->replicas[1], 1);
	answer(&b->replicas[1], 201, 0, "ok");
	expect(b, fd, "HTTP/1.1 201", NULL);
}

/*
 * The leader is killed with a request on its way and nobody follows. Whether it
 * was carried out isn't known: the caller must not be told that it was not.
 */
static void a_sent_request_without_an_answer_is_unknown(void **state)
{
	struct bed *b = *state;
	int fd = ask_leader(b);

	replica_die(&b->replicas[0]);
	expect(b, fd, "HTTP/1.1 504", "Retry-After:");
}

/* Two replicas say that they lead: which of them gets a request. */
static void expect_leader(struct bed *b, uint64_t first, uint64_t second,
			  int leader)
{
	struct replica *r = &b->replicas[leader];
	int fd;

	lead(&b->replicas[0], first);
	lead(&b->replicas[1], second);
	fd = ask(b);
	wait_calls(r, 1);
	assert_int_equal(b->replicas[1 - leader].calls, 0);
	answer(r, 200, 0, "");
	expect(b, fd, "HTTP/1.1 200", NULL);
}

/*
 * A replica that was frozen while another took its place still says that it
 * leads. What is sent there waits for an answer that doesn't come.
 */
static void the_newer_leader_counts(void **state)
{
	expect_leader(*state, 1, 2, 1);
}

static void an_older_leader_that_speaks_later_does_not(void **state)
{
	expect_leader(*state, 2, 1, 0);
}

/* One that says that it doesn't lead did nothing: the request is sent again. */
static void a_replica_that_does_not_lead_is_left(void **state)
{
	struct bed *b = *state;
	int fd = ask_leader(b);

	answer(&b->replicas[0], 421, 0, "");
	lead(&b->replicas[1], 2);
	wait_calls(&b->replicas[1], 1);
	answer(&b->replicas[1], 202, 0, "");
	expect(b, fd, "HTTP/1.1 202", NULL);
}

/* An answer to a caller who has left is let go. */
static void a_caller_may_leave(void **state)
{
	struct bed *b = *state;
	int fd = ask_leader(b);

	close(fd);
	net_run(b->base, SETTLE_MS);
	answer(&b->replicas[0], 200, 0, "late");
	fd = ask(b);
	wait_calls(&b->replicas[0], 2);
	answer(&b->replicas[0], 200, 0, "");
	expect(b, fd, "HTTP/1.1 200", NULL);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(the_leader_answers),
		T(without_a_leader_a_request_is_refused_at_once),
		T(a_request_goes_on_to_the_next_leader),
		T(a_sent_request_without_an_answer_is_unknown),
		T(the_newer_leader_counts),
		T(an_older_leader_that_speaks_later_does_not),
		T(a_replica_that_does_not_lead_is_left),
		T(a_caller_may_leave),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
