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
/* Time in which an unwanted event would show; it takes one loop iteration. */
#define SETTLE_MS 200

struct fixture;

/* A replica that answers as the test demands. */
struct replica {
	struct fixture *fixture;
	struct wire *wire;
	struct wire_conn *conn; /* to the entry daemon */
	char addr[32];
	bool is_leader;
	uint64_t term;
	int calls;
	uint64_t call_id; /* of the newest call */
	GString *path; /* of the newest call */
	GString *credentials; /* of the newest call */
};

struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	char *seeds[REPLICAS + 1];
	struct replica replicas[REPLICAS];
	struct gat *gat;
	int callers_port;
	char callers_addr[32];
	char wire_addr[32];
};

/* Sends the entry daemon whether this replica leads. */
static void send_leader(struct replica *r)
{
	struct pk_out o;

	if (!r->conn)
		return;
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_LEADER);
	pk_u(&o, r->term);
	pk_cstr(&o, r->is_leader ? r->addr : "");
	pk_arr(&o, 0);
	wire_send(r->conn, pk_out_view(&o));
	pk_out_done(&o);
}

static void become_leader(struct replica *r, uint64_t term)
{
	r->is_leader = true;
	r->term = term;
	send_leader(r);
	net_run(r->fixture->base, SETTLE_MS);
}

/* Runs the loop until a replica has received this many calls. */
static void wait_for_calls(struct replica *r, int calls)
{
	int i;

	for (i = 0; i < WAIT_MS && r->calls < calls; i++)
		net_run(r->fixture->base, 1);
	assert_int_equal(r->calls, calls);
}

static void send_answer(struct replica *r, uint64_t status, uint64_t after_s,
			const char *body)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 6);
	pk_u(&o, PROTO_ANSWER);
	pk_u(&o, r->call_id);
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
	send_leader(r);
}

static void replica_recv(void *arg, struct wire_conn *conn, struct lstr payload)
{
	struct replica *r = arg;
	struct lstr credentials;
	struct lstr path;
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	if (pk_get_u(&in) == PROTO_CALL) {
		r->calls++;
		r->call_id = pk_get_u(&in);
		pk_get_str(&in); /* method */
		pk_get_str(&in); /* host */
		path = pk_get_str(&in);
		g_string_truncate(r->path, 0);
		g_string_append_len(r->path, path.p, (gssize)path.len);
		pk_get_str(&in); /* body */
		credentials = pk_get_str(&in);
		g_string_truncate(r->credentials, 0);
		g_string_append_len(r->credentials, credentials.p,
				    (gssize)credentials.len);
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
		.base = r->fixture->base,
		.tmr = r->fixture->tmr,
		.keys = r->fixture->keys,
		.node = "replica",
		.zone = "z",
		.silence_ms = 5000,
	});
	assert_int_equal(wire_listen(r->wire, r->addr, &replica_ops, r, &err),
			 0);
}

/* Ends a replica's process: its connections close. */
static void replica_stop(struct replica *r)
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
	struct fixture *f = g_new0(struct fixture, 1);
	char node[] = "e";
	char zone[] = "z";
	GError *err = NULL;
	int port;
	int i;

	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->keys = keyring_open_network();
	for (i = 0; i < REPLICAS; i++) {
		struct replica *r = &f->replicas[i];

		r->fixture = f;
		r->path = g_string_new(NULL);
		r->credentials = g_string_new(NULL);
		addr_of_free_port(r->addr, sizeof(r->addr), &port);
		f->seeds[i] = r->addr;
		replica_start(r);
	}
	addr_of_free_port(f->callers_addr, sizeof(f->callers_addr),
			  &f->callers_port);
	f->gat = gat_new(
		&(struct gat_config){
			.base = f->base,
			.keys = f->keys,
			.node = node,
			.zone = zone,
			.callers = f->callers_addr,
			.seeds = f->seeds,
			.key_header = "X-Key",
			.key_scheme = "Scheme",
			.body_max = 1000,
			.grace_ms = 5000,
			.descriptors = &net_descriptors,
		},
		&err);
	assert_non_null(f->gat);
	for (i = 0;
	     i < WAIT_MS && !(f->replicas[0].conn && f->replicas[1].conn); i++)
		net_run(f->base, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	gat_free(f->gat);
	for (i = 0; i < REPLICAS; i++) {
		wire_free(f->replicas[i].wire);
		g_string_free(f->replicas[i].path, TRUE);
		g_string_free(f->replicas[i].credentials, TRUE);
	}
	keyring_free(f->keys);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_free(f);
	return 0;
}

/* Submits a job as a caller. Returns the caller's socket. */
static int submit_job(struct fixture *f)
{
	int fd = net_dial(f->callers_port);

	net_send(fd,
		 "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		 -1);
	return fd;
}

/* Submits a job that reaches the first replica, which leads. */
static int submit_job_to_leader(struct fixture *f)
{
	int fd;

	become_leader(&f->replicas[0], 1);
	fd = submit_job(f);
	wait_for_calls(&f->replicas[0], 1);
	return fd;
}

/* Reads a whole answer and checks its start and a part of it. */
static void expect_answer(struct fixture *f, int fd, const char *first,
			  const char *part)
{
	bool closed = false;
	GString *got = net_read(f->base, fd, "\r\n\r\n", WAIT_MS, &closed);

	assert_true(g_str_has_prefix(got->str, first));
	if (part)
		assert_non_null(strstr(got->str, part));
	g_string_free(got, TRUE);
	close(fd);
}

static void forwards_answer_of_leader(void **state)
{
	struct fixture *f = *state;
	struct replica *r = &f->replicas[0];
	int fd = submit_job_to_leader(f);

	assert_string_equal(r->path->str, "/q/1");
	send_answer(r, 429, 7, "later");
	expect_answer(f, fd, "HTTP/1.1 429", "Retry-After: 7");
}

/*
 * Guards against requests that wait while no leader is known. Such a request is
 * refused at once as not run, and Retry-After covers an election.
 */
static void refuses_request_without_leader(void **state)
{
	struct fixture *f = *state;
	int fd = submit_job(f);

	expect_answer(f, fd, "HTTP/1.1 503", "Retry-After: 1");
	assert_int_equal(f->replicas[0].calls + f->replicas[1].calls, 0);
}

/*
 * Guards against errors at callers when the leader is killed with a request
 * under way: the request is sent to the next leader.
 */
static void resends_request_to_next_leader(void **state)
{
	struct fixture *f = *state;
	int fd = submit_job_to_leader(f);

	replica_stop(&f->replicas[0]);
	become_leader(&f->replicas[1], 2);
	wait_for_calls(&f->replicas[1], 1);
	send_answer(&f->replicas[1], 201, 0, "ok");
	expect_answer(f, fd, "HTTP/1.1 201", NULL);
}

/*
 * Guards against a request reported as not run although a leader that was
 * killed may have run it. No other leader follows, so the outcome is unknown.
 */
static void unanswered_request_has_unknown_outcome(void **state)
{
	struct fixture *f = *state;
	int fd = submit_job_to_leader(f);

	replica_stop(&f->replicas[0]);
	expect_answer(f, fd, "HTTP/1.1 504", "Retry-After:");
}

/* Checks which of two replicas that claim to lead receives a request. */
static void expect_request_sent_to(struct fixture *f, uint64_t first,
				   uint64_t second, int leader)
{
	struct replica *r = &f->replicas[leader];
	int fd;

	become_leader(&f->replicas[0], first);
	become_leader(&f->replicas[1], second);
	fd = submit_job(f);
	wait_for_calls(r, 1);
	assert_int_equal(f->replicas[1 - leader].calls, 0);
	send_answer(r, 200, 0, "");
	expect_answer(f, fd, "HTTP/1.1 200", NULL);
}

/*
 * Guards against requests sent to a replaced leader. After a process pause it
 * still claims to lead, and requests sent to it get no answer.
 */
static void chooses_leader_of_higher_term(void **state)
{
	expect_request_sent_to(*state, 1, 2, 1);
}

static void ignores_later_claim_of_lower_term(void **state)
{
	expect_request_sent_to(*state, 2, 1, 0);
}

/*
 * Guards against a request lost at a replica that does not lead: such a replica
 * has not run it, so it is sent again.
 */
static void resends_request_answered_by_nonleader(void **state)
{
	struct fixture *f = *state;
	int fd = submit_job_to_leader(f);

	send_answer(&f->replicas[0], 421, 0, "");
	become_leader(&f->replicas[1], 2);
	wait_for_calls(&f->replicas[1], 1);
	send_answer(&f->replicas[1], 202, 0, "");
	expect_answer(f, fd, "HTTP/1.1 202", NULL);
}

/* Guards against a late answer that is sent to another caller's request. */
static void discards_answer_after_caller_disconnects(void **state)
{
	struct fixture *f = *state;
	int fd = submit_job_to_leader(f);

	close(fd);
	net_run(f->base, SETTLE_MS);
	send_answer(&f->replicas[0], 200, 0, "late");
	fd = submit_job(f);
	wait_for_calls(&f->replicas[0], 2);
	send_answer(&f->replicas[0], 200, 0, "");
	expect_answer(f, fd, "HTTP/1.1 200", NULL);
}

/* Sends a request with these headers and waits until the leader has it. */
static int get_with(struct fixture *f, const char *headers)
{
	char *text = g_strdup_printf("GET /q/1 HTTP/1.1\r\nHost: h\r\n%s\r\n",
				     headers);
	int calls = f->replicas[0].calls;
	int fd = net_dial(f->callers_port);

	net_send(fd, text, -1);
	g_free(text);
	wait_for_calls(&f->replicas[0], calls + 1);
	return fd;
}

/* Guards against a request with two keys being obeyed for either of them. */
static void doubled_key_header_is_no_key(void **state)
{
	struct fixture *f = *state;
	struct replica *r = &f->replicas[0];
	int fd;

	become_leader(r, 1);
	fd = get_with(f, "X-Key: one\r\n");
	assert_string_equal(r->credentials->str, "one");
	close(fd);
	fd = get_with(f, "");
	assert_string_equal(r->credentials->str, "");
	close(fd);
	fd = get_with(f, "x-key: one\r\nX-Key: one\r\n");
	assert_string_equal(r->credentials->str, "one\none");
	send_answer(r, 401, 0, "");
	expect_answer(f, fd, "HTTP/1.1 401", "WWW-Authenticate: Scheme");
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(forwards_answer_of_leader),
		T(refuses_request_without_leader),
		T(resends_request_to_next_leader),
		T(unanswered_request_has_unknown_outcome),
		T(chooses_leader_of_higher_term),
		T(ignores_later_claim_of_lower_term),
		T(resends_request_answered_by_nonleader),
		T(discards_answer_after_caller_disconnects),
		T(doubled_key_header_is_no_key),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
