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

/* Long enough for some retries, ms. */
#define SETTLE_MS 500
#define WAIT_MS 10000

/* A service that answers as a test tells it, and the leader's side. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct evhttp *http;
	char addr[32];
	struct jtb *jtb;
	struct adv *adv;
	struct adv_line *line;
	GHashTable *closed;
	int calls;
	int waiting; /* calls that got no answer yet */
	int most_waiting;
	int looks;
	int refuse; /* so many are told that too many wait */
	int sick; /* so many are told that it can't now */
	int odd; /* so many are turned down */
	int cut; /* so many get no answer, their connection ends */
	bool silent; /* none gets an answer */
	char last[256]; /* the last question */
	GPtrArray *kept; /* struct evhttp_request without an answer */
};

static const char *bed_write(const struct adv_ask *ask, struct evbuffer *body)
{
	evbuffer_add_printf(body, "%s %u", ask->step.id, ask->workers->len);
	return "/ask";
}

/* The body is who is approved. */
static enum adv_result bed_answer(int status, struct lstr body, GPtrArray *rows,
				  int64_t *valid_ms)
{
	struct adv_row *row;

	if (status != 200)
		return status == 429   ? ADV_BUSY
		       : status == 400 ? ADV_TURNED_DOWN
				       : ADV_SICK;
	row = g_new0(struct adv_row, 1);
	row->worker = lstr_dup(body);
	row->ticket = g_strdup("t");
	g_ptr_array_add(rows, row);
	return ADV_TOLD;
}

static const struct adv_codec bed_codec = {
	.content_type = "text/plain",
	.write = bed_write,
	.answer = bed_answer,
};

static void bed_reply(struct bed *b, struct evhttp_request *req, int status)
{
	struct evbuffer *body = evbuffer_new();

	b->waiting--;
	evbuffer_add_printf(body, "w");
	evhttp_send_reply(req, status, "x", status == 200 ? body : NULL);
	evbuffer_free(body);
}

static void bed_on_request(struct evhttp_request *req, void *arg)
{
	struct bed *b = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = MIN(evbuffer_get_length(in), sizeof(b->last) - 1);

	evbuffer_copyout(in, b->last, n);
	b->last[n] = '\0';
	b->calls++;
	b->waiting++;
	b->most_waiting = MAX(b->most_waiting, b->waiting);
	if (b->cut > 0) {
		b->cut--;
		b->waiting--;
		evhttp_connection_free(evhttp_request_get_connection(req));
	} else if (b->refuse > 0) {
		b->refuse--;
		bed_reply(b, req, 429);
	} else if (b->sick > 0) {
		b->sick--;
		bed_reply(b, req, 503);
	} else if (b->odd > 0) {
		b->odd--;
		bed_reply(b, req, 400);
	} else if (b->silent) {
		g_ptr_array_add(b->kept, req);
	} else {
		bed_reply(b, req, 200);
	}
}

static bool bed_usable(void *arg, const struct jtb_worker *w)
{
	return true;
}

static void look(struct bed *b)
{
	struct sch_view v = {
		.jtb = b->jtb,
		.closed = b->closed,
		.now_ms = tmr_now(b->tmr),
		.wall_ms = JOBS_WALL_MS,
		.arg = b,
		.usable = bed_usable,
	};

	adv_line_look(b->line, &v);
}

static void bed_changed(void *arg)
{
	struct bed *b = arg;

	look(b);
}

static void bed_look(void *arg)
{
	struct bed *b = arg;

	b->looks++;
	look(b);
}

static const struct adv_ops bed_ops = {
	.changed = bed_changed,
	.look = bed_look,
};

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	struct jtb_queue *q;
	int port;

	close(net_listen(&port));
	g_snprintf(b->addr, sizeof(b->addr), "127.0.0.1:%d", port);
	b->kept = g_ptr_array_new();
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->http = evhttp_new(b->base);
	evhttp_set_gencb(b->http, bed_on_request, b);
	assert_int_equal(
		evhttp_bind_socket(b->http, "127.0.0.1", (uint16_t)port), 0);
	b->jtb = jtb_new(NULL, NULL);
	b->closed = g_hash_table_new(g_str_hash, g_str_equal);
	jobs_config(b->jtb, 1, "p", 3);
	q = (struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");
	q->advised = true;
	jobs_worker(b->jtb, "w", 4000, false);
	b->adv = adv_new(b->jtb);
	b->line = adv_line_new(&(struct adv_config){.base = b->base,
						    .tmr = b->tmr,
						    .codec = &bed_codec,
						    .addr = b->addr},
			       b->adv, &bed_ops, b);
	adv_line_lead(b->line);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	adv_line_free(b->line);
	adv_free(b->adv);
	jtb_free(b->jtb);
	g_hash_table_destroy(b->closed);
	evhttp_free(b->http);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_ptr_array_free(b->kept, TRUE);
	g_free(b);
	return 0;
}

static void job(struct bed *b, const char *id)
{
	struct jtb_step s = {.count = 1, .cpu = 1000, .estimate_ms = 3000};

	jobs_job(b->jtb, id, &s, 1, JOBS_WALL_MS);
}

static bool ticketed(struct bed *b, const char *id)
{
	return adv_ticketed(b->adv, jtb_job(b->jtb, id), 0, 0,
			    jtb_worker(b->jtb, "w"), tmr_now(b->tmr));
}

static void wait_for_ticket(struct bed *b, const char *id)
{
	int ms;

	for (ms = 0; ms < WAIT_MS && !ticketed(b, id); ms += 20)
		net_run(b->base, 20);
	assert_true(ticketed(b, id));
}

/* The service works on one call of ours at a time: others would wait there. */
static void one_call_at_a_time_is_sent(void **state)
{
	struct bed *b = *state;

	job(b, "j");
	job(b, "k");
	look(b);
	look(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->calls, 2);
	assert_int_equal(b->most_waiting, 1);
	assert_true(ticketed(b, "j"));
	assert_true(ticketed(b, "k"));
	assert_int_equal(adv_line_stats(b->line)->approved, 2);
	assert_int_equal(adv_line_stats(b->line)->failed, 0);
}

/*
 * Accepted work stands still for good: the call for its ticket got no answer,
 * or a bad one. It is made again, each time a little later.
 */
static void a_call_that_failed_is_made_again(void **state)
{
	struct bed *b = *state;

	b->cut = 1;
	b->refuse = 1;
	b->sick = 1;
	job(b, "j");
	look(b);
	wait_for_ticket(b, "j");
	assert_int_equal(b->calls, 4);
	assert_int_equal(adv_line_stats(b->line)->failed, 3);
}

/* A question that isn't taken is put off; the one after it has its turn. */
static void a_question_turned_down_lets_others_pass(void **state)
{
	struct bed *b = *state;

	b->odd = 1;
	job(b, "j");
	job(b, "k");
	look(b);
	wait_for_ticket(b, "j");
	assert_false(ticketed(b, "k"));
}

/* An answer that comes after its call was given up: asked again. */
static void a_service_that_is_silent_is_asked_again(void **state)
{
	struct bed *b = *state;
	int ms;

	b->silent = true;
	job(b, "j");
	look(b);
	for (ms = 0; ms < WAIT_MS && b->calls < 2; ms += 20)
		net_run(b->base, 20);
	assert_int_equal(b->calls, 2);
	assert_int_equal(adv_line_stats(b->line)->failed, 1);
}

/* Who leads no more asks nothing, and keeps no ticket for when it does. */
static void who_doesnt_lead_asks_nothing(void **state)
{
	struct bed *b = *state;

	job(b, "j");
	look(b);
	adv_line_rest(b->line);
	net_run(b->base, SETTLE_MS);
	assert_false(ticketed(b, "j"));
	b->calls = 0;
	look(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->calls, 0);
	adv_line_lead(b->line);
	look(b);
	wait_for_ticket(b, "j");
}

/* Settings change the service's address while a call is on its way. */
static void another_address_is_asked_at_once(void **state)
{
	struct bed *b = *state;

	adv_line_set_addr(b->line, NULL);
	assert_false(adv_line_there(b->line));
	job(b, "j");
	look(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->calls, 0);
	adv_line_set_addr(b->line, "127.0.0.1:1");
	look(b);
	adv_line_set_addr(b->line, b->addr);
	look(b);
	wait_for_ticket(b, "j");
	assert_int_equal(b->calls, 1);
}

/*
 * A leader looks for advice twenty times a second, for good, on a site where no
 * queue needs any.
 */
static void nothing_is_looked_for_where_no_queue_needs_it(void **state)
{
	struct bed *b = *state;
	struct jtb_queue *q =
		(struct jtb_queue *)jtb_queue(jtb_config(b->jtb), "q");

	q->advised = false;
	job(b, "j");
	look(b);
	look(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->looks, 0);
	assert_int_equal(b->calls, 0);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(one_call_at_a_time_is_sent),
		T(a_call_that_failed_is_made_again),
		T(a_question_turned_down_lets_others_pass),
		T(a_service_that_is_silent_is_asked_again),
		T(who_doesnt_lead_asks_nothing),
		T(another_address_is_asked_at_once),
		T(nothing_is_looked_for_where_no_queue_needs_it),
	};

	return cmocka_run_group_tests_name("adv_line", tests, NULL, NULL);
}
