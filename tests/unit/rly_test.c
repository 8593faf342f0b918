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
/* Length of a process pause, ms. */
#define PAUSE_MS 12000
#define RELAY "relay:1"

/*
 * A leader, a relay and a worker; the test controls the messages between leader
 * and relay.
 */
struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct ups *ups;
	struct rly *rly;
	struct rly_relay *relay;
	struct evhttp *http;
	char addr[32]; /* the worker's */
	uint64_t relay_term;
	bool unreachable; /* messages to the relay cannot be sent */
	bool drop_answers; /* the relay's answers are lost */
	bool delay_answers; /* the relay's answers are delayed */
	GBytes *delayed_answer;
	bool hold_messages; /* messages to the relay are delayed */
	GBytes *held_message;
	bool worker_unresponsive; /* the worker does not answer calls */
	int received_calls; /* calls that reached the worker */
	int ends;
	enum ups_end end;
	int status;
	char body[32];
};

static struct fixture *the_fixture;
static int64_t paused_ms;

/*
 * Replaces clock_gettime: the boot-time clock of all processes is ahead by the
 * pause, as after a stall.
 */
int clock_gettime(clockid_t clock, struct timespec *ts)
{
	int rc = (int)syscall(SYS_clock_gettime, clock, ts);

	if (clock == CLOCK_BOOTTIME)
		ts->tv_sec += paused_ms / 1000;
	return rc;
}

/* Delivers a message to the relay, as rep and hub do. */
static void deliver_to_relay(struct fixture *f, struct lstr payload)
{
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	assert_int_equal(pk_get_u(&in), PROTO_CARRY);
	rly_relay_on_calls(f->relay, (struct wire_conn *)f, f->relay_term, &in);
	pk_in_done(&in);
}

static bool send_to_relay(void *arg, const char *addr, struct lstr payload)
{
	struct fixture *f = arg;

	assert_string_equal(addr, RELAY);
	if (f->hold_messages)
		f->held_message = g_bytes_new(payload.p, payload.len);
	else if (!f->unreachable)
		deliver_to_relay(f, payload);
	return !f->unreachable;
}

static const struct rly_ops fixture_ops = {.send = send_to_relay};

/* Delivers a message to the leader. */
static void deliver_to_leader(struct fixture *f, struct lstr payload)
{
	struct pk_in in;

	assert_true(pk_in_init(&in, payload));
	assert_int_equal(pk_get_u(&in), PROTO_CARRIED);
	rly_on_answers(f->rly, RELAY, &in);
	pk_in_done(&in);
}

/* Sends the relay's answers to the leader, as the test demands. */
static bool send_to_leader(struct wire_conn *conn, struct lstr payload)
{
	struct fixture *f = (struct fixture *)conn;

	if (f->delay_answers)
		f->delayed_answer = g_bytes_new(payload.p, payload.len);
	else if (!f->drop_answers)
		deliver_to_leader(f, payload);
	return true;
}

/* Answers a call to the worker with the call's body. */
static void on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *out = evbuffer_new();

	f->received_calls++;
	assert_string_equal(
		evhttp_find_header(evhttp_request_get_input_headers(req),
				   "Life"),
		"w1");
	evbuffer_add_buffer(out, evhttp_request_get_input_buffer(req));
	if (!f->worker_unresponsive)
		evhttp_send_reply(req, 409, "Conflict", out);
	evbuffer_free(out);
}

static void on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct fixture *f = arg;

	f->ends++;
	f->end = end;
	f->status = a->status;
	if (a->body && end == UPS_WHOLE)
		evbuffer_remove(a->body, f->body, sizeof(f->body) - 1);
}

static const struct ups_ops call_ops = {.end = on_end};

/* Starts a call by way of the relay. */
static struct rly_call *start_call(struct fixture *f)
{
	struct ups_header life = {(char *)"Life", (char *)"w1"};
	struct evbuffer *body = evbuffer_new();
	struct rly_call *c;

	evbuffer_add_printf(body, "order");
	c = rly_start(f->rly, RELAY,
		      &(struct ups_request){.addr = f->addr,
					    .method = EVHTTP_REQ_POST,
					    .uri = "/start",
					    .headers = &life,
					    .n_headers = 1,
					    .body = body,
					    .timeout_ms = LIMIT_MS,
					    .connect_ms = LIMIT_MS,
					    .max_answer = 1000},
		      &call_ops, f);
	evbuffer_free(body);
	return c;
}

/* Runs the loop until a call has ended. */
static void wait_end(struct fixture *f)
{
	int before = f->ends;
	int waited = 0;

	while (f->ends == before && waited < WAIT_MS) {
		net_run(f->base, 10);
		waited += 10;
	}
	assert_int_equal(f->ends, before + 1);
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct evhttp_bound_socket *s;
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);

	the_fixture = f;
	paused_ms = 0;
	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->ups = ups_new(f->base, f->tmr);
	f->relay_term = TERM;
	f->rly = rly_new(f->tmr, &fixture_ops, f);
	f->relay = rly_relay_new(f->tmr, f->ups, send_to_leader);
	f->http = evhttp_new(f->base);
	evhttp_set_gencb(f->http, on_request, f);
	s = evhttp_bind_socket_with_handle(f->http, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(s), (struct sockaddr *)&sin,
		    &len);
	g_snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d",
		   ntohs(sin.sin_port));
	rly_set_term(f->rly, TERM);
	rly_request_clock(f->rly, RELAY);
	net_run(f->base, 20);
	assert_true(rly_is_ready(f->rly, RELAY));
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	rly_relay_free(f->relay);
	rly_free(f->rly);
	ups_free(f->ups);
	evhttp_free(f->http);
	tmr_free(f->tmr);
	event_base_free(f->base);
	if (f->held_message)
		g_bytes_unref(f->held_message);
	if (f->delayed_answer)
		g_bytes_unref(f->delayed_answer);
	g_free(f);
	return 0;
}

/* Guards against a call or an answer that is changed on its way. */
static void relays_call_and_answer_unchanged(void **state)
{
	struct fixture *f = *state;

	start_call(f);
	wait_end(f);
	assert_int_equal(f->end, UPS_WHOLE);
	assert_int_equal(f->status, 409);
	assert_string_equal(f->body, "order");
	assert_int_equal(f->received_calls, 1);
	assert_int_equal(rly_stats(f->rly).lost, 0);
	assert_int_equal(rly_relay_stats(f->relay).relayed, 1);
}

/* Guards against one message for each of many calls. */
static void batches_calls_of_one_loop_iteration(void **state)
{
	struct fixture *f = *state;
	struct pk_in in;
	gsize len;
	const char *p;

	f->hold_messages = true;
	start_call(f);
	start_call(f);
	start_call(f);
	net_run(f->base, 20);
	p = g_bytes_get_data(f->held_message, &len);
	assert_true(pk_in_init(&in, lstr_n(p, len)));
	pk_skip(&in);
	pk_skip(&in);
	pk_skip(&in);
	in = (struct pk_in){.arr = pk_get_arr(&in).arr, .own = in.own};
	assert_int_equal(pk_in_left(&in), 3);
	pk_in_done(&in);
}

/* Guards against a worker taken for unreachable because its relay is lost. */
static void call_without_report_is_lost(void **state)
{
	struct fixture *f = *state;

	f->drop_answers = true;
	start_call(f);
	wait_end(f);
	assert_int_equal(f->end, UPS_LOST);
	assert_int_equal(rly_stats(f->rly).lost, 1);
	f->drop_answers = false;
	f->unreachable = true;
	start_call(f);
	wait_end(f);
	assert_int_equal(f->end, UPS_LOST);
}

/* Guards against a relay that hides that a worker does not answer. */
static void reports_timeout_of_unreachable_worker(void **state)
{
	struct fixture *f = *state;

	f->worker_unresponsive = true;
	start_call(f);
	wait_end(f);
	assert_int_equal(f->end, UPS_TIMEOUT);
}

/* Delivers the message that was delayed. */
static void deliver_held_message(struct fixture *f)
{
	gsize len;
	const char *p = g_bytes_get_data(f->held_message, &len);

	f->hold_messages = false;
	deliver_to_relay(f, lstr_n(p, len));
}

/*
 * Guards against stale orders: a relay receives a batch after a process pause.
 */
static void drops_batch_delayed_by_pause(void **state)
{
	struct fixture *f = *state;

	f->hold_messages = true;
	start_call(f);
	net_run(f->base, 20);
	paused_ms = PAUSE_MS;
	deliver_held_message(f);
	wait_end(f);
	assert_int_equal(f->received_calls, 0);
	assert_true(f->end == UPS_LOST || f->end == UPS_NO_CONNECTION);
	assert_int_equal(rly_relay_stats(f->relay).dropped, 1);
}

/* Guards against stale orders on a connection without an earlier message. */
static void drops_first_batch_of_connection_after_pause(void **state)
{
	struct fixture *f = *state;

	rly_relay_on_disconnect(f->relay, (struct wire_conn *)f);
	drops_batch_delayed_by_pause(state);
}

/* Guards against calls sent to a relay whose clock is not known. */
static void drops_batch_without_timestamp(void **state)
{
	struct fixture *f = *state;
	struct rly *other = rly_new(f->tmr, &fixture_ops, f);

	rly_free(f->rly);
	f->rly = other;
	rly_set_term(f->rly, TERM);
	assert_false(rly_is_ready(f->rly, RELAY));
	start_call(f);
	wait_end(f);
	assert_int_equal(f->received_calls, 0);
	assert_int_equal(f->end, UPS_NO_CONNECTION);
}

/*
 * Guards against a relay that accepts old batches after its clock restarted:
 * their timestamps are in the future.
 */
static void drops_batch_with_future_timestamp(void **state)
{
	struct fixture *f = *state;

	f->hold_messages = true;
	paused_ms = PAUSE_MS;
	start_call(f);
	net_run(f->base, 100);
	paused_ms = 0;
	deliver_held_message(f);
	wait_end(f);
	assert_int_equal(f->received_calls, 0);
}

/*
 * Guards against calls dropped as late because the leader was slow to read the
 * relay's answers.
 */
static void answer_read_late_does_not_expire_calls(void **state)
{
	struct fixture *f = *state;
	gsize len;
	const char *p;

	f->delay_answers = true;
	rly_request_clock(f->rly, RELAY);
	net_run(f->base, 800);
	f->delay_answers = false;
	p = g_bytes_get_data(f->delayed_answer, &len);
	deliver_to_leader(f, lstr_n(p, len));
	start_call(f);
	wait_end(f);
	assert_int_equal(f->received_calls, 1);
}

/*
 * Reports a relay's clock to the leader. Returns the timestamp of the leader's
 * next batch.
 */
static int64_t stamp_after_clock(struct fixture *f, int64_t clock_ms)
{
	struct pk_out o;
	struct pk_in in;
	int64_t stamp_ms;
	gsize len;
	const char *p;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_CARRIED);
	pk_i(&o, clock_ms);
	pk_arr(&o, 0);
	deliver_to_leader(f, pk_out_view(&o));
	pk_out_done(&o);
	f->hold_messages = true;
	rly_request_clock(f->rly, RELAY);
	p = g_bytes_get_data(f->held_message, &len);
	assert_true(pk_in_init(&in, lstr_n(p, len)));
	pk_skip(&in);
	pk_skip(&in);
	stamp_ms = pk_get_i(&in);
	pk_in_done(&in);
	g_bytes_unref(f->held_message);
	f->held_message = NULL;
	return stamp_ms;
}

/* Guards against timestamps by a clock that has restarted since. */
static void adopts_restarted_relay_clock(void **state)
{
	struct fixture *f = *state;
	int64_t high = 1000000000000;

	assert_in_range(stamp_after_clock(f, high), high, high + 1000);
	assert_in_range(stamp_after_clock(f, 5000), 5000, 6000);
}

/* Guards against calls sent to a relay that no longer answers. */
static void unheard_relay_is_not_ready(void **state)
{
	struct fixture *f = *state;

	f->drop_answers = true;
	rly_request_clock(f->rly, RELAY);
	net_run(f->base, 700);
	assert_false(rly_is_ready(f->rly, RELAY));
	f->drop_answers = false;
	rly_request_clock(f->rly, RELAY);
	net_run(f->base, 20);
	assert_true(rly_is_ready(f->rly, RELAY));
}

/*
 * Guards against an order written after a process pause: the relay was paused
 * while it connected, and the event loop handles sockets before timers.
 */
static void writes_no_call_past_deadline(void **state)
{
	struct fixture *f = *state;
	int turns = 0;

	start_call(f);
	while (!ups_stats(f->ups).connects && turns++ < 100)
		event_base_loop(f->base, EVLOOP_ONCE);
	assert_int_equal(ups_stats(f->ups).connects, 1);
	paused_ms = PAUSE_MS;
	wait_end(f);
	net_run(f->base, 50);
	assert_int_equal(f->received_calls, 0);
}

/* Guards against orders of a lost leadership that are sent in the next term. */
static void drops_unsent_calls_when_leadership_ends(void **state)
{
	struct fixture *f = *state;

	rly_cancel(start_call(f));
	rly_drop_unsent(f->rly);
	net_run(f->base, 50);
	assert_int_equal(f->received_calls, 0);
	/* a later leadership starts without unsent calls */
	start_call(f);
	rly_set_term(f->rly, TERM + 1);
	net_run(f->base, 50);
	assert_int_equal(f->received_calls, 0);
}

/* Guards against orders of a leader that has been replaced. */
static void drops_batch_of_earlier_term(void **state)
{
	struct fixture *f = *state;

	f->relay_term = TERM + 1;
	start_call(f);
	wait_end(f);
	assert_int_equal(f->received_calls, 0);
	assert_int_equal(f->end, UPS_NO_CONNECTION);
}

/* Guards against a new leader that continues its predecessor's orders. */
static void new_leader_cancels_relayed_calls(void **state)
{
	struct fixture *f = *state;

	f->worker_unresponsive = true;
	start_call(f);
	net_run(f->base, 50);
	assert_int_equal(f->received_calls, 1);
	rly_relay_cancel_all(f->relay);
	wait_end(f);
	assert_int_equal(f->end, UPS_LOST);
}

/* Guards against answers sent over a closed connection. */
static void closed_connection_gets_no_answer(void **state)
{
	struct fixture *f = *state;

	f->worker_unresponsive = true;
	start_call(f);
	net_run(f->base, 50);
	rly_relay_on_disconnect(f->relay, (struct wire_conn *)f);
	wait_end(f);
	assert_int_equal(f->end, UPS_LOST);
}

/* Guards against an end reported for a cancelled call. */
static void cancelled_call_reports_no_end(void **state)
{
	struct fixture *f = *state;

	rly_cancel(start_call(f));
	net_run(f->base, LIMIT_MS);
	assert_int_equal(f->ends, 0);
}

/* Guards against malformed messages. */
static void ignores_malformed_batch(void **state)
{
	struct fixture *f = *state;
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
	rly_relay_on_calls(f->relay, (struct wire_conn *)f, TERM, &in);
	pk_in_done(&in);
	pk_out_done(&o);
	assert_int_equal(f->received_calls, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
#define ONE(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
		ONE(relays_call_and_answer_unchanged),
		ONE(batches_calls_of_one_loop_iteration),
		ONE(call_without_report_is_lost),
		ONE(reports_timeout_of_unreachable_worker),
		ONE(drops_batch_delayed_by_pause),
		ONE(drops_first_batch_of_connection_after_pause),
		ONE(drops_batch_without_timestamp),
		ONE(drops_batch_with_future_timestamp),
		ONE(answer_read_late_does_not_expire_calls),
		ONE(adopts_restarted_relay_clock),
		ONE(unheard_relay_is_not_ready),
		ONE(writes_no_call_past_deadline),
		ONE(drops_unsent_calls_when_leadership_ends),
		ONE(drops_batch_of_earlier_term),
		ONE(new_leader_cancels_relayed_calls),
		ONE(closed_connection_gets_no_answer),
		ONE(cancelled_call_reports_no_end),
		ONE(ignores_malformed_batch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
