#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/http.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "net.h"
#include "proto.h"
#include "rly.h"

#define TERM 7
#define LIMIT_MS 300
#define WAIT_MS 5000
/* How long a replica stands still, ms. */
#define FREEZE_MS 12000
#define CARRIER "carrier:1"

/* A leader, a carrier and a worker; messages between the two as a test says. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct ups *ups;
	struct rly *rly;
	struct rly_carry *carry;
	struct evhttp *http;
	char addr[32]; /* the worker's */
	uint64_t carrier_term;
	bool cut; /* messages to the carrier can't be sent */
	bool mute; /* the carrier's answers get lost, */
	bool delay; /* or are held up */
	GBytes *answer;
	bool hold; /* messages to the carrier are held up */
	GBytes *held;
	bool silent; /* the worker keeps calls without an answer */
	int made; /* calls that reached the worker */
	int ends;
	enum ups_end end;
	int status;
	char body[32];
};

static struct bed *the_bed;
static int64_t frozen_ms;

/* The machines' clocks, as if all had stood still for that long. */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = (int)syscall(SYS_clock_gettime, clock, ts);

	if (clock == CLOCK_BOOTTIME)
		ts->tv_sec += frozen_ms / 1000;
	return rc;
}

/* Has the carrier take a message, as rep and hub do. */
static void deliver(struct bed *b, struct lstr payload)
{
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	assert_int_equal(pk_get_u(&in), PROTO_CARRY);
	rly_carry_calls(b->carry, (struct wire_conn *)b, b->carrier_term, &in);
	pk_in_done(&in);
}

static bool bed_send(void *arg, const char *addr, struct lstr payload)
{
	struct bed *b = arg;

	assert_string_equal(addr, CARRIER);
	if (b->hold)
		b->held = g_bytes_new(payload.p, payload.len);
	else if (!b->cut)
		deliver(b, payload);
	return !b->cut;
}

static const struct rly_ops bed_ops = {.send = bed_send};

/* Has the leader take a message of the carrier. */
static void take_answer(struct bed *b, struct lstr payload)
{
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	assert_int_equal(pk_get_u(&in), PROTO_CARRIED);
	rly_answers(b->rly, CARRIER, &in);
	pk_in_done(&in);
}

/* The leader gets the carrier's answers. */
static bool bed_tell(struct wire_conn *conn, struct lstr payload)
{
	struct bed *b = (struct bed *)conn;

	if (b->delay)
		b->answer = g_bytes_new(payload.p, payload.len);
	else if (!b->mute)
		take_answer(b, payload);
	return true;
}

/* The worker answers with what it was sent. */
static void on_request(struct evhttp_request *req, void *arg)
{
	struct bed *b = arg;
	struct evbuffer *out = evbuffer_new();

	b->made++;
	assert_string_equal(
		evhttp_find_header(evhttp_request_get_input_headers(req),
				   "Life"),
		"w1");
	evbuffer_add_buffer(out, evhttp_request_get_input_buffer(req));
	if (!b->silent)
		evhttp_send_reply(req, 409, "Conflict", out);
	evbuffer_free(out);
}

static void on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct bed *b = arg;

	b->ends++;
	b->end = end;
	b->status = a->status;
	if (a->body && end == UPS_WHOLE)
		evbuffer_remove(a->body, b->body, sizeof(b->body) - 1);
}

static const struct ups_ops call_ops = {.end = on_end};

/* Has the carrier make a call. */
static struct rly_call *call(struct bed *b)
{
	struct ups_header life = {(char *)"Life", (char *)"w1"};
	struct evbuffer *body = evbuffer_new();
	struct rly_call *c;

	evbuffer_add_printf(body, "order");
	c = rly_start(b->rly, CARRIER,
		      &(struct ups_request){.addr = b->addr,
					    .method = EVHTTP_REQ_POST,
					    .uri = "/start",
					    .headers = &life,
					    .n_headers = 1,
					    .body = body,
					    .timeout_ms = LIMIT_MS,
					    .connect_ms = LIMIT_MS,
					    .max_answer = 1000},
		      &call_ops, b);
	evbuffer_free(body);
	return c;
}

/* Runs until a call has ended. */
static void wait_end(struct bed *b)
{
	int before = b->ends;
	int waited = 0;

	while (b->ends == before && waited < WAIT_MS) {
		net_run(b->base, 10);
		waited += 10;
	}
	assert_int_equal(b->ends, before + 1);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	struct evhttp_bound_socket *s;
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	the_bed = b;
	frozen_ms = 0;
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->ups = ups_new(b->base, b->tmr);
	b->carrier_term = TERM;
	b->rly = rly_new(b->tmr, &bed_ops, b);
	b->carry = rly_carry_new(b->tmr, b->ups, bed_tell);
	b->http = evhttp_new(b->base);
	evhttp_set_gencb(b->http, on_request, b);
	s = evhttp_bind_socket_with_handle(b->http, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(s), (struct sockaddr *)&sin,
		    &len);
	g_snprintf(b->addr, sizeof(b->addr), "127.0.0.1:%d",
		   ntohs(sin.sin_port));
	rly_lead(b->rly, TERM);
	rly_ask(b->rly, CARRIER);
	net_run(b->base, 20);
	assert_true(rly_ready(b->rly, CARRIER));
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	rly_carry_free(b->carry);
	rly_free(b->rly);
	ups_free(b->ups);
	evhttp_free(b->http);
	tmr_free(b->tmr);
	event_base_free(b->base);
	if (b->held)
		g_bytes_unref(b->held);
	if (b->answer)
		g_bytes_unref(b->answer);
	g_free(b);
	return 0;
}

/* Guards against a call that changes on its way through a carrier. */
static void a_call_and_its_answer_arrive_as_they_were(void **state)
{
	struct bed *b = *state;

	call(b);
	wait_end(b);
	assert_int_equal(b->end, UPS_WHOLE);
	assert_int_equal(b->status, 409);
	assert_string_equal(b->body, "order");
	assert_int_equal(b->made, 1);
	assert_int_equal(rly_stats(b->rly).lost, 0);
	assert_int_equal(rly_carry_stats(b->carry).carried, 1);
}

/* Guards against a message for each of many calls. */
static void calls_of_a_turn_go_together(void **state)
{
	struct bed *b = *state;
	struct pk_in in;
	gsize len;
	const char *p;

	b->hold = true;
	call(b);
	call(b);
	call(b);
	net_run(b->base, 20);
	p = g_bytes_get_data(b->held, &len);
	assert_true(pk_in_init(&in, lstr_n(p, len)));
	pk_skip(&in);
	pk_skip(&in);
	pk_skip(&in);
	in = (struct pk_in){.arr = pk_get_arr(&in).arr, .own = in.own};
	assert_int_equal(pk_in_left(&in), 3);
	pk_in_done(&in);
}

/* Guards against a worker taken for silent since its carrier is lost. */
static void what_no_carrier_tells_is_lost(void **state)
{
	struct bed *b = *state;

	b->mute = true;
	call(b);
	wait_end(b);
	assert_int_equal(b->end, UPS_LOST);
	assert_int_equal(rly_stats(b->rly).lost, 1);
	b->mute = false;
	b->cut = true;
	call(b);
	wait_end(b);
	assert_int_equal(b->end, UPS_LOST);
}

/* Guards against a worker's silence that its carrier hides. */
static void a_silent_worker_is_told_as_such(void **state)
{
	struct bed *b = *state;

	b->silent = true;
	call(b);
	wait_end(b);
	assert_int_equal(b->end, UPS_TIMEOUT);
}

/* Hands on what was held up. */
static void let_go(struct bed *b)
{
	gsize len;
	const char *p = g_bytes_get_data(b->held, &len);

	b->hold = false;
	deliver(b, lstr_n(p, len));
}

/* Guards against orders that a replica gives after it has stood still. */
static void what_a_carrier_gets_late_is_not_made(void **state)
{
	struct bed *b = *state;

	b->hold = true;
	call(b);
	net_run(b->base, 20);
	frozen_ms = FREEZE_MS;
	let_go(b);
	wait_end(b);
	assert_int_equal(b->made, 0);
	assert_true(b->end == UPS_LOST || b->end == UPS_NO_ROOM);
	assert_int_equal(rly_carry_stats(b->carry).dropped, 1);
}

/* Guards against the same on a connection over which nothing has come before. */
static void the_first_calls_after_a_standstill_are_late(void **state)
{
	struct bed *b = *state;

	rly_carry_gone(b->carry, (struct wire_conn *)b);
	what_a_carrier_gets_late_is_not_made(state);
}

/* Guards against calls by way of a replica whose clock isn't known. */
static void a_call_without_a_mark_is_not_made(void **state)
{
	struct bed *b = *state;
	struct rly *other = rly_new(b->tmr, &bed_ops, b);

	rly_free(b->rly);
	b->rly = other;
	rly_lead(b->rly, TERM);
	assert_false(rly_ready(b->rly, CARRIER));
	call(b);
	wait_end(b);
	assert_int_equal(b->made, 0);
	assert_int_equal(b->end, UPS_NO_ROOM);
}

/* Guards against a carrier that began anew and takes old marks for young. */
static void a_mark_that_is_ahead_is_late(void **state)
{
	struct bed *b = *state;

	b->hold = true;
	frozen_ms = FREEZE_MS;
	call(b);
	net_run(b->base, 100);
	frozen_ms = 0;
	let_go(b);
	wait_end(b);
	assert_int_equal(b->made, 0);
}

/* Guards against calls dropped since the leader reads its answers late. */
static void an_answer_that_is_read_late_makes_no_call_late(void **state)
{
	struct bed *b = *state;
	gsize len;
	const char *p;

	b->delay = true;
	rly_ask(b->rly, CARRIER);
	net_run(b->base, 800);
	b->delay = false;
	p = g_bytes_get_data(b->answer, &len);
	take_answer(b, lstr_n(p, len));
	call(b);
	wait_end(b);
	assert_int_equal(b->made, 1);
}

/* The leader hears a clock; returns the mark of its next calls. */
static int64_t mark_after(struct bed *b, int64_t clock_ms)
{
	struct pk_out o;
	struct pk_in in;
	int64_t mark;
	gsize len;
	const char *p;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CARRIED);
	pk_i(&o, clock_ms);
	pk_arr(&o, 0);
	take_answer(b, pk_out_view(&o));
	pk_out_done(&o);
	b->hold = true;
	rly_ask(b->rly, CARRIER);
	p = g_bytes_get_data(b->held, &len);
	assert_true(pk_in_init(&in, lstr_n(p, len)));
	pk_skip(&in);
	pk_skip(&in);
	mark = pk_get_i(&in);
	pk_in_done(&in);
	g_bytes_unref(b->held);
	b->held = NULL;
	return mark;
}

/* Guards against marks by the clock that a carrier had before it began anew. */
static void a_clock_that_began_anew_counts_at_once(void **state)
{
	struct bed *b = *state;
	int64_t high = 1000000000000;

	assert_in_range(mark_after(b, high), high, high + 1000);
	assert_in_range(mark_after(b, 5000), 5000, 6000);
}

/* Guards against calls by way of a replica that tells nothing any more. */
static void a_carrier_that_is_not_heard_is_not_ready(void **state)
{
	struct bed *b = *state;

	b->mute = true;
	rly_ask(b->rly, CARRIER);
	net_run(b->base, 700);
	assert_false(rly_ready(b->rly, CARRIER));
	b->mute = false;
	rly_ask(b->rly, CARRIER);
	net_run(b->base, 20);
	assert_true(rly_ready(b->rly, CARRIER));
}

/*
 * Guards against an order that a carrier writes as it wakes: it stood still
 * after it had begun to connect, and the loop looks at sockets before timers.
 */
static void what_cannot_be_written_in_time_is_not_made(void **state)
{
	struct bed *b = *state;
	int turns = 0;

	call(b);
	while (!ups_stats(b->ups).connects && turns++ < 100)
		event_base_loop(b->base, EVLOOP_ONCE);
	assert_int_equal(ups_stats(b->ups).connects, 1);
	frozen_ms = FREEZE_MS;
	wait_end(b);
	net_run(b->base, 50);
	assert_int_equal(b->made, 0);
}

/* Guards against orders that go out after the lead is lost, in the next term. */
static void what_waits_to_be_sent_goes_with_the_lead(void **state)
{
	struct bed *b = *state;

	rly_cancel(call(b));
	rly_rest(b->rly);
	net_run(b->base, 50);
	assert_int_equal(b->made, 0);
	/* a later lead begins with nothing of it */
	call(b);
	rly_lead(b->rly, TERM + 1);
	net_run(b->base, 50);
	assert_int_equal(b->made, 0);
}

/* Guards against orders of a leader that has been replaced. */
static void a_carrier_knows_a_later_term(void **state)
{
	struct bed *b = *state;

	b->carrier_term = TERM + 1;
	call(b);
	wait_end(b);
	assert_int_equal(b->made, 0);
	assert_int_equal(b->end, UPS_NO_ROOM);
}

/* Guards against a new leader that goes on with its predecessor's orders. */
static void a_new_leader_breaks_off_what_it_carried(void **state)
{
	struct bed *b = *state;

	b->silent = true;
	call(b);
	net_run(b->base, 50);
	assert_int_equal(b->made, 1);
	rly_carry_drop(b->carry);
	wait_end(b);
	assert_int_equal(b->end, UPS_LOST);
}

/* Guards against answers over a connection that is gone. */
static void a_connection_that_is_gone_gets_no_answer(void **state)
{
	struct bed *b = *state;

	b->silent = true;
	call(b);
	net_run(b->base, 50);
	rly_carry_gone(b->carry, (struct wire_conn *)b);
	wait_end(b);
	assert_int_equal(b->end, UPS_LOST);
}

/* Guards against the end of a call whose owner has given it up. */
static void a_call_that_is_given_up_is_not_told(void **state)
{
	struct bed *b = *state;

	rly_cancel(call(b));
	net_run(b->base, LIMIT_MS);
	assert_int_equal(b->ends, 0);
}

/* Guards against bytes that are no message of ours. */
static void what_cannot_be_read_is_left(void **state)
{
	struct bed *b = *state;
	struct pk_out o;
	struct pk_in in;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, TERM);
	pk_i(&o, 1);
	pk_arr(&o, 1);
	pk_arr(&o, 1);
	pk_cstr(&o, "x");
	assert_true(pk_in_init(&in, pk_out_view(&o)));
	rly_carry_calls(b->carry, (struct wire_conn *)b, TERM, &in);
	pk_in_done(&in);
	pk_out_done(&o);
	assert_int_equal(b->made, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
#define ONE(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
		ONE(a_call_and_its_answer_arrive_as_they_were),
		ONE(calls_of_a_turn_go_together),
		ONE(what_no_carrier_tells_is_lost),
		ONE(a_silent_worker_is_told_as_such),
		ONE(what_a_carrier_gets_late_is_not_made),
		ONE(the_first_calls_after_a_standstill_are_late),
		ONE(a_call_without_a_mark_is_not_made),
		ONE(a_mark_that_is_ahead_is_late),
		ONE(an_answer_that_is_read_late_makes_no_call_late),
		ONE(a_clock_that_began_anew_counts_at_once),
		ONE(a_carrier_that_is_not_heard_is_not_ready),
		ONE(what_cannot_be_written_in_time_is_not_made),
		ONE(what_waits_to_be_sent_goes_with_the_lead),
		ONE(a_carrier_knows_a_later_term),
		ONE(a_new_leader_breaks_off_what_it_carried),
		ONE(a_connection_that_is_gone_gets_no_answer),
		ONE(a_call_that_is_given_up_is_not_told),
		ONE(what_cannot_be_read_is_left),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
