#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/http.h>
#include <unistd.h>

#include "adv.h"
#include "jobs_make.h"
#include "net.h"

/* Enough time for some retries, ms. */
#define SETTLE_MS 500
#define WAIT_MS 10000

/* An advice service that answers as the test sets it, and the leader's side. */
struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct evhttp *http;
	char addr[32];
	struct jtb *jtb;
	struct adv *adv;
	struct adv_line *line;
	GHashTable *closed;
	int calls;
	int unanswered; /* calls without an answer so far */
	int max_unanswered;
	int polls;
	int busy_replies; /* calls to answer with 429 */
	int unavailable_replies; /* calls to answer with 503 */
	int rejections; /* calls to answer with 400 */
	int dropped_connections; /* calls to drop without an answer */
	bool no_answers; /* no call is answered */
	char last_query[256]; /* body of the last query */
	GPtrArray *open_requests; /* struct evhttp_request without an answer */
};

static const char *fake_write(const struct adv_query *query,
			      struct evbuffer *body)
{
	evbuffer_add_printf(body, "%s %u", query->step.id, query->workers->len);
	return "/ask";
}

/* The body is the id of the approved worker. */
static enum adv_result fake_answer(int status, struct lstr body,
				   GPtrArray *rows, int64_t *valid_ms)
{
	struct adv_row *row;

	if (status != 200)
		return status == 429   ? ADV_BUSY
		       : status == 400 ? ADV_REJECTED
				       : ADV_UNAVAILABLE;
	row = g_new0(struct adv_row, 1);
	row->worker = lstr_dup(body);
	row->ticket = g_strdup("t");
	g_ptr_array_add(rows, row);
	return ADV_OK;
}

static const struct adv_codec fake_codec = {
	.content_type = "text/plain",
	.write = fake_write,
	.answer = fake_answer,
};

static void fake_reply(struct fixture *f, struct evhttp_request *req,
		       int status)
{
	struct evbuffer *body = evbuffer_new();

	f->unanswered--;
	evbuffer_add_printf(body, "w");
	evhttp_send_reply(req, status, "x", status == 200 ? body : NULL);
	evbuffer_free(body);
}

static void fake_on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = MIN(evbuffer_get_length(in), sizeof(f->last_query) - 1);

	evbuffer_copyout(in, f->last_query, n);
	f->last_query[n] = '\0';
	f->calls++;
	f->unanswered++;
	f->max_unanswered = MAX(f->max_unanswered, f->unanswered);
	if (f->dropped_connections > 0) {
		f->dropped_connections--;
		f->unanswered--;
		evhttp_connection_free(evhttp_request_get_connection(req));
	} else if (f->busy_replies > 0) {
		f->busy_replies--;
		fake_reply(f, req, 429);
	} else if (f->unavailable_replies > 0) {
		f->unavailable_replies--;
		fake_reply(f, req, 503);
	} else if (f->rejections > 0) {
		f->rejections--;
		fake_reply(f, req, 400);
	} else if (f->no_answers) {
		g_ptr_array_add(f->open_requests, req);
	} else {
		fake_reply(f, req, 200);
	}
}

static bool is_usable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static void poll_line(struct fixture *f)
{
	struct sch_view v = {
		.jtb = f->jtb,
		.closed = f->closed,
		.now_ms = tmr_now(f->tmr),
		.wall_ms = JOBS_WALL_MS,
		.arg = f,
		.usable = is_usable,
	};

	adv_line_poll(f->line, &v);
}

static void on_changed(void *arg)
{
	struct fixture *f = arg;

	poll_line(f);
}

static void on_poll(void *arg)
{
	struct fixture *f = arg;

	f->polls++;
	poll_line(f);
}

static const struct adv_ops fixture_ops = {
	.changed = on_changed,
	.poll = on_poll,
};

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct jtb_queue *q;
	int port;

	close(net_listen(&port));
	g_snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d", port);
	f->open_requests = g_ptr_array_new();
	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->http = evhttp_new(f->base);
	evhttp_set_gencb(f->http, fake_on_request, f);
	assert_int_equal(
		evhttp_bind_socket(f->http, "127.0.0.1", (uint16_t)port), 0);
	f->jtb = jtb_new(NULL, NULL);
	f->closed = g_hash_table_new(g_str_hash, g_str_equal);
	jobs_config(f->jtb, 1, "p", 3);
	q = (struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");
	q->advised = true;
	jobs_worker(f->jtb, "w", 4000, false);
	f->adv = adv_new(f->jtb);
	f->line = adv_line_new(&(struct adv_config){.base = f->base,
						    .tmr = f->tmr,
						    .codec = &fake_codec,
						    .addr = f->addr},
			       f->adv, &fixture_ops, f);
	adv_line_lead(f->line);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	adv_line_free(f->line);
	adv_free(f->adv);
	jtb_free(f->jtb);
	g_hash_table_destroy(f->closed);
	evhttp_free(f->http);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_ptr_array_free(f->open_requests, TRUE);
	g_free(f);
	return 0;
}

static void add_job(struct fixture *f, const char *id)
{
	struct jtb_step s = {.count = 1, .cpu = 1000, .guess_ms = 3000};

	jobs_job(f->jtb, id, &s, 1, JOBS_WALL_MS);
}

static bool has_ticket(struct fixture *f, const char *id)
{
	return adv_has_ticket(f->adv, jtb_job(f->jtb, id), 0, 0,
			      jtb_worker(f->jtb, "w"), tmr_now(f->tmr));
}

static void wait_for_ticket(struct fixture *f, const char *id)
{
	int ms;

	for (ms = 0; ms < WAIT_MS && !has_ticket(f, id); ms += 20)
		net_run(f->base, 20);
	assert_true(has_ticket(f, id));
}

/*
 * Guards against concurrent calls: the service works on one call of a leader at
 * a time, so others would only wait there.
 */
static void one_call_at_a_time_is_sent(void **state)
{
	struct fixture *f = *state;

	add_job(f, "j");
	add_job(f, "k");
	poll_line(f);
	poll_line(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->calls, 2);
	assert_int_equal(f->max_unanswered, 1);
	assert_true(has_ticket(f, "j"));
	assert_true(has_ticket(f, "k"));
	assert_int_equal(adv_line_stats(f->line)->approved, 2);
	assert_int_equal(adv_line_stats(f->line)->failed, 0);
}

/*
 * Guards against accepted work that never runs because the call for its ticket
 * got no valid answer: the call must be repeated, after a growing delay.
 */
static void failed_call_is_retried(void **state)
{
	struct fixture *f = *state;

	f->dropped_connections = 1;
	f->busy_replies = 1;
	f->unavailable_replies = 1;
	add_job(f, "j");
	poll_line(f);
	wait_for_ticket(f, "j");
	assert_int_equal(f->calls, 4);
	assert_int_equal(adv_line_stats(f->line)->failed, 3);
}

/* Guards against a rejected query that blocks the query after it. */
static void rejected_query_does_not_block_others(void **state)
{
	struct fixture *f = *state;

	f->rejections = 1;
	add_job(f, "j");
	add_job(f, "k");
	poll_line(f);
	wait_for_ticket(f, "j");
	assert_false(has_ticket(f, "k"));
}

/*
 * Guards against a service that does not answer in time: the query must be sent
 * again.
 */
static void call_without_answer_is_retried(void **state)
{
	struct fixture *f = *state;
	int ms;

	f->no_answers = true;
	add_job(f, "j");
	poll_line(f);
	for (ms = 0; ms < WAIT_MS && f->calls < 2; ms += 20)
		net_run(f->base, 20);
	assert_int_equal(f->calls, 2);
	assert_int_equal(adv_line_stats(f->line)->failed, 1);
}

/*
 * Guards against queries by a replica that does not lead, and against tickets
 * kept until it leads again.
 */
static void follower_sends_no_query(void **state)
{
	struct fixture *f = *state;

	add_job(f, "j");
	poll_line(f);
	adv_line_step_down(f->line);
	net_run(f->base, SETTLE_MS);
	assert_false(has_ticket(f, "j"));
	f->calls = 0;
	poll_line(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->calls, 0);
	adv_line_lead(f->line);
	poll_line(f);
	wait_for_ticket(f, "j");
}

/*
 * Guards against a call that is lost when the settings change the service's
 * address during the call.
 */
static void changed_address_is_used_at_once(void **state)
{
	struct fixture *f = *state;

	adv_line_set_addr(f->line, NULL);
	assert_false(adv_line_configured(f->line));
	add_job(f, "j");
	poll_line(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->calls, 0);
	adv_line_set_addr(f->line, "127.0.0.1:1");
	poll_line(f);
	adv_line_set_addr(f->line, f->addr);
	poll_line(f);
	wait_for_ticket(f, "j");
	assert_int_equal(f->calls, 1);
}

/*
 * Guards against polls twenty times a second for ever at a site where no queue
 * needs advice.
 */
static void no_poll_if_no_queue_needs_advice(void **state)
{
	struct fixture *f = *state;
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(f->jtb), "q");

	q->advised = false;
	add_job(f, "j");
	poll_line(f);
	poll_line(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->polls, 0);
	assert_int_equal(f->calls, 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(one_call_at_a_time_is_sent),
		T(failed_call_is_retried),
		T(rejected_query_does_not_block_others),
		T(call_without_answer_is_retried),
		T(follower_sends_no_query),
		T(changed_address_is_used_at_once),
		T(no_poll_if_no_queue_needs_advice),
	};

	return cmocka_run_group_tests_name("adv_line", tests, NULL, NULL);
}
