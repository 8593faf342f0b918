#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/http.h>
#include <unistd.h>

#include "net.h"
#include "wkr_int.h"

/* Long enough for several retries of an order, ms. */
#define SETTLE_MS 400
#define FENCE 7
/* Longest lease that the worker takes, ms. */
#define LEASE_MS 400
/* How long an old leader may still give leases, ms. */
#define OLD_LEADER_MS 1000
#define WAIT_MS 10000
/* Longest pause between two tries of a worker that is silent, ms. */
#define RETRY_MOST_MS 1000
/* What the worker's clock always shows. */
#define WORKER_MS 100000

/* A worker that answers orders as a test tells it, and the leader's side. */
struct bed {
	struct event_base *base;
	int port;
	struct tmr *tmr;
	struct evhttp *http;
	struct jtb *jtb;
	struct wkr *wkr;
	struct rly *rly;
	bool carried; /* calls go by a carrier that tells nothing of them */
	int carries; /* messages to it */
	struct jtb_run *run;
	int starts;
	int stops;
	int holds;
	int refuse_starts; /* so many are refused for want of room */
	int silent_starts;
	int silent_stops;
	int refuse_stops; /* so many get no answer */
	int other_life; /* so many are told that another lifetime is there */
	bool silent_holds; /* calls for the list are kept without an answer */
	bool dead; /* nothing gets an answer */
	bool tells_end; /* the run is listed as ended */
	bool lists_stray; /* a run is listed that nobody knows */
	int other_life_holds; /* as other_life, for calls for the list */
	int seen;
	bool partial; /* its lists can't be read whole */
	bool lists; /* the run is listed as running */
	bool lists_next; /* from the list after the next on */
	int64_t unsure_ms; /* we last knew so long ago that we lead */
	bool advised; /* starts need a ticket */
	const char *ticket; /* or NULL: there is none */
	char sent_ticket[16]; /* of the last start */
	int unread_starts; /* so many are answered with what can't be read */
	int refuse_tickets; /* so many starts are refused for theirs */
	int tickets_refused;
	int64_t until_ms; /* lease of the last start */
	int64_t hold_until_ms; /* and of the last call for the list */
	uint64_t ack; /* of the last call for the list, */
	int64_t wait_ms; /* and how long it may wait */
	int lost;
	enum evd_why why; /* of the last run or worker told as over */
	int gone;
	int gone_for_good;
	int ends;
	int64_t led_ms;
	int64_t gone_ms;
	GPtrArray *silent;
};

static struct bed *the_bed;

static const char *bed_write(const struct wkr_order *o, struct evbuffer *body)
{
	static const char *const paths[] = {
		[WKR_START] = "/start",
		[WKR_STOP] = "/stop",
		[WKR_HOLD] = "/hold",
		[WKR_PACE] = "/pace",
	};

	if (o->kind == WKR_START) {
		the_bed->until_ms = o->until_ms;
		g_strlcpy(the_bed->sent_ticket, o->ticket ? o->ticket : "",
			  sizeof(the_bed->sent_ticket));
	}
	if (o->kind == WKR_HOLD) {
		the_bed->hold_until_ms = o->until_ms;
		the_bed->ack = o->ack;
		the_bed->wait_ms = o->wait_ms;
	}
	evbuffer_add_printf(body, "%d", (int)o->kind);
	return paths[o->kind];
}

static enum wkr_answer bed_answer(int status, struct lstr body,
				  int64_t *clock_ms)
{
	*clock_ms = WORKER_MS;
	if (status == 421)
		return WKR_OTHER_LIFE;
	if (status == 500)
		return WKR_UNREADABLE;
	if (status == 403)
		return WKR_NO_TICKET;
	return status == 200 ? WKR_YES : WKR_NO_ROOM;
}

static bool bed_report(struct lstr body, struct wkr_report *out)
{
	struct wkr_row row = {.attempt = 1, .percent = 10};

	*out = (struct wkr_report){
		.clock_ms = WORKER_MS,
		.partial = the_bed->partial,
		.rows = g_array_new(FALSE, TRUE, sizeof(struct wkr_row)),
		.ends = g_array_new(FALSE, TRUE, sizeof(struct wkr_end)),
	};
	if (the_bed->tells_end) {
		struct wkr_end end = {
			.no = 1, .attempt = 1, .how = JTB_DONE, .known = true};

		g_strlcpy(end.name.id, "j", sizeof(end.name.id));
		g_array_append_val(out->ends, end);
	}
	if (the_bed->lists_stray) {
		g_strlcpy(row.name.id, "x", sizeof(row.name.id));
		g_array_append_val(out->rows, row);
	}
	if (the_bed->lists) {
		g_strlcpy(row.name.id, "j", sizeof(row.name.id));
		g_array_append_val(out->rows, row);
	}
	return true;
}

static void bed_report_done(struct wkr_report *r)
{
	g_array_free(r->rows, TRUE);
	g_array_free(r->ends, TRUE);
}

static const struct wkr_codec bed_codec = {
	.content_type = "text/plain",
	.life_header = "Life",
	.write = bed_write,
	.answer = bed_answer,
	.report = bed_report,
	.report_done = bed_report_done,
};

static void bed_on_request(struct evhttp_request *req, void *arg)
{
	struct bed *b = arg;
	const char *uri = evhttp_request_get_uri(req);
	bool start = strcmp(uri, "/start") == 0;

	b->starts += start;
	b->stops += strcmp(uri, "/stop") == 0;
	b->holds += strcmp(uri, "/hold") == 0;
	if (strcmp(uri, "/stop") == 0 && b->refuse_stops > 0) {
		b->refuse_stops--;
		evhttp_send_reply(req, 409, "No", NULL);
		return;
	}
	if (strcmp(uri, "/stop") == 0 && b->silent_stops > 0) {
		b->silent_stops--;
		g_ptr_array_add(b->silent, req);
		return;
	}
	if (b->dead || (start && b->silent_starts > 0) ||
	    (b->silent_holds && strcmp(uri, "/hold") == 0)) {
		b->silent_starts -= start && !b->dead;
		g_ptr_array_add(b->silent, req);
		return;
	}
	if (b->other_life_holds > 0 && strcmp(uri, "/hold") == 0) {
		b->other_life_holds--;
		evhttp_send_reply(req, 421, "No", NULL);
		return;
	}
	if (start && b->other_life > 0) {
		b->other_life--;
		evhttp_send_reply(req, 421, "No", NULL);
		return;
	}
	if (start && b->unread_starts > 0) {
		b->unread_starts--;
		evhttp_send_reply(req, 500, "Odd", NULL);
		return;
	}
	if (start && b->refuse_tickets > 0) {
		b->refuse_tickets--;
		evhttp_send_reply(req, 403, "No", NULL);
		return;
	}
	if (start && b->refuse_starts > 0) {
		b->refuse_starts--;
		evhttp_send_reply(req, 409, "No", NULL);
		return;
	}
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void bed_ends(void *arg, struct jtb_worker *w, const struct wkr_end *e,
		     size_t n)
{
	struct bed *b = arg;

	b->ends += (int)n;
}

static void bed_lost(void *arg, struct jtb_run *run, const struct evd *e)
{
	struct bed *b = arg;

	b->lost++;
	b->why = e->why;
}

static void bed_gone(void *arg, struct jtb_worker *w, const struct evd *e)
{
	struct bed *b = arg;

	if (!b->gone)
		b->gone_ms = tmr_now(b->tmr);
	b->gone++;
	b->gone_for_good += evd_for_good(e);
	b->why = e->why;
}

static void bed_seen(void *arg, struct jtb_worker *w)
{
	struct bed *b = arg;

	b->seen++;
	b->lists = b->lists || b->lists_next;
}

static bool bed_ticket(void *arg, const struct jtb_run *run, const char **out)
{
	const struct bed *b = arg;

	*out = b->advised ? b->ticket : NULL;
	return !b->advised || b->ticket;
}

static void bed_ticket_refused(void *arg, const struct jtb_run *run)
{
	struct bed *b = arg;

	b->tickets_refused++;
}

static int64_t bed_sure(void *arg)
{
	struct bed *b = arg;

	return tmr_now(b->tmr) - b->unsure_ms;
}

/* Loses what it gets. */
static bool bed_carry(void *arg, const char *addr, struct lstr payload)
{
	struct bed *b = arg;

	b->carries++;
	return true;
}

static const struct rly_ops bed_rly_ops = {.send = bed_carry};

/* The carrier is asked first, and the leader itself after each loss. */
static const char *bed_carrier(void *arg, const struct jtb_worker *w,
			       uint32_t turn)
{
	const struct bed *b = arg;

	return b->carried && turn == 0 ? "carrier" : NULL;
}

static const struct wkr_ops bed_ops = {
	.ends = bed_ends,
	.lost = bed_lost,
	.gone = bed_gone,
	.seen = bed_seen,
	.ticket = bed_ticket,
	.ticket_refused = bed_ticket_refused,
	.sure = bed_sure,
	.carrier = bed_carrier,
};

static void apply(struct bed *b, struct pk_out *cmd)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 1);
	msgpack_sbuffer_write(&o.buf, cmd->buf.data, cmd->buf.size);
	assert_true(jtb_apply(b->jtb, pk_out_view(&o)));
	pk_out_done(&o);
	pk_out_done(cmd);
}

static void put_worker_of(struct bed *b, int port, uint32_t cpu, bool draining)
{
	char addr[32];
	char *labels[] = {NULL};
	char id[] = "w";
	char pool[] = "p";
	char zone[] = "z";
	struct jtb_worker_info info = {
		.id = id,
		.pool = pool,
		.addr = addr,
		.zone = zone,
		.labels = labels,
		.cpu = cpu,
		.mem_mb = 1000,
		.draining = draining,
	};
	struct pk_out o;

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	apply(b, &o);
}

static void put_worker(struct bed *b, int port, bool draining)
{
	put_worker_of(b, port, 16000, draining);
}

static void fill_table(struct bed *b, int port)
{
	char queue[] = "q";
	char text[] = "t";
	struct jtb_step step = {.count = 1, .cpu = 1000, .guess_ms = 100};
	struct jtb_spec spec = {.id = "j",
				.queue = queue,
				.text = text,
				.steps = &step,
				.n_steps = 1};
	struct jtb_config *c = jtb_config_new();
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);
	struct pk_out o;

	c->version = 1;
	c->document = g_bytes_new("d", 1);
	q->name = g_strdup("q");
	q->host = g_strdup("h");
	q->prefix = g_strdup("/");
	q->pool = g_strdup("p");
	q->attempts = 3;
	jtb_config_add_queue(c, q);
	pk_out_init(&o);
	jtb_put_config(&o, c);
	apply(b, &o);
	jtb_config_free(c);
	put_worker(b, port, false);
	pk_out_init(&o);
	jtb_put_job(&o, &spec, 1);
	apply(b, &o);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	int fd = net_listen(&b->port);

	the_bed = b;
	close(fd);
	b->silent = g_ptr_array_new();
	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->http = evhttp_new(b->base);
	evhttp_set_gencb(b->http, bed_on_request, b);
	assert_int_equal(
		evhttp_bind_socket(b->http, "127.0.0.1", (uint16_t)b->port), 0);
	b->jtb = jtb_new(NULL, NULL);
	fill_table(b, b->port);
	b->rly = rly_new(b->tmr, &bed_rly_ops, b);
	b->wkr = wkr_new(
		&(struct wkr_config){
			.base = b->base,
			.tmr = b->tmr,
			.codec = &bed_codec,
			.jtb = b->jtb,
			.hold_max_ms = LEASE_MS,
			.rly = b->rly,
		},
		&bed_ops, b);
	b->led_ms = tmr_now(b->tmr);
	wkr_lead(b->wkr, FENCE);
	net_run(b->base, 50);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;

	wkr_free(b->wkr);
	rly_free(b->rly);
	jtb_free(b->jtb);
	evhttp_free(b->http);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_ptr_array_free(b->silent, TRUE);
	g_free(b);
	return 0;
}

static void start(struct bed *b)
{
	struct jtb_name n = {.id = "j"};
	struct pk_out o;

	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w");
	apply(b, &o);
	b->run = jtb_find_run(b->jtb, &n, 1, "w");
	assert_non_null(b->run);
	wkr_run(b->wkr, b->run);
}

/* Runs the loop until a counter of the bed is above zero. */
static void wait_for(struct bed *b, const int *count)
{
	int i;

	for (i = 0; i < WAIT_MS && !*count; i++)
		net_run(b->base, 1);
	assert_true(*count > 0);
}

/*
 * One task runs twice at the same time. A worker refuses a start for want of
 * room; the run is given up and the task is about to be started elsewhere.
 * Were the start tried once more until that is in the log, the worker could
 * take it after all.
 */
static void a_refused_start_is_not_tried_again(void **state)
{
	struct bed *b = *state;

	b->refuse_starts = 1;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->lost, 1);
	assert_int_equal(b->starts, 1);
}

/*
 * One task runs twice at the same time. A start gets no answer and may be
 * carried out seconds later; the next try is refused. Only after the worker
 * has been told to forget the run may the task go elsewhere.
 */
static void a_start_that_may_come_late_is_stopped_first(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	b->refuse_starts = 1;
	start(b);
	net_run(b->base, 1600);
	assert_int_equal(b->starts, 2);
	assert_int_equal(b->stops, 1);
	assert_true(b->lost >= 1);
	assert_int_equal(b->run->phase, WKR_OVER);
}

/* Guards against two runs: the worker took a start, and nobody could read so. */
static void a_start_with_an_odd_answer_is_stopped_first(void **state)
{
	struct bed *b = *state;

	b->unread_starts = 1;
	b->refuse_starts = 1;
	start(b);
	wait_for(b, &b->lost);
	assert_int_equal(b->starts, 2);
	assert_int_equal(b->stops, 1);
	assert_int_equal(b->why, EVD_UNLISTED);
}

/* Guards against two runs of a task where a carrier may have given its order. */
static void a_start_that_its_carrier_lost_is_stopped_first(void **state)
{
	struct bed *b = *state;

	b->carried = true;
	b->refuse_starts = 1;
	start(b);
	net_run(b->base, 1600);
	assert_true(b->carries >= 1);
	assert_int_equal(b->starts, 1);
	assert_int_equal(b->stops, 1);
	assert_int_equal(b->run->phase, WKR_OVER);
}

/* Guards against a worker without work since the replica between is lost. */
static void a_lost_carrier_says_nothing_of_the_worker(void **state)
{
	struct bed *b = *state;

	b->carried = true;
	b->lists = true;
	start(b);
	net_run(b->base, 1600);
	assert_true(b->carries >= 1);
	assert_int_equal(b->starts, 1);
	assert_int_equal(b->run->phase, WKR_ON);
	assert_int_equal(wkr_silent_since(b->wkr, jtb_worker(b->jtb, "w")), 0);
	assert_int_equal(wkr_stats(b->wkr)->lapses, 0);
}

/* Guards against a leader that keeps the calls of every carrier once lost. */
static void a_carrier_is_tried_again_after_a_while(void **state)
{
	struct bed *b = *state;
	int before;

	b->carried = true;
	b->lists = true;
	start(b);
	net_run(b->base, 1600);
	before = b->carries;
	net_run(b->base, 2 * LEASE_MS + 1600);
	assert_true(b->carries > before);
}

/* Guards against jobs told as begun whose start no worker has answered. */
static void a_job_waits_until_a_worker_took_it(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	b->lists = false;
	start(b);
	b->run->job->unseen = true;
	wait_for(b, &b->starts);
	net_run(b->base, 50);
	assert_int_equal(jtb_pending(b->jtb, "q"), 1);
	b->seen = 0;
	b->lists = true;
	wait_for(b, &b->seen);
	assert_int_equal(jtb_pending(b->jtb, "q"), 0);
}

/* An order that was taken is held on to, and asked after. */
static void a_taken_start_is_looked_after(void **state)
{
	struct bed *b = *state;
	int before = b->holds;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 1);
	assert_int_equal(b->lost, 0);
	assert_int_equal(b->run->phase, WKR_ON);
	assert_int_equal(b->run->percent, 10);
	assert_true(b->holds > before);
}

/*
 * A task never runs again though its worker has none of it. The worker took
 * the run, and lists it neither as running nor as ended.
 */
static void a_run_that_is_nowhere_is_told_as_lost(void **state)
{
	struct bed *b = *state;

	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 1);
	assert_true(b->lost >= 1);
}

/* Guards against two runs: the row of a run couldn't be read. */
static void a_list_that_isnt_whole_says_nothing_of_a_run(void **state)
{
	struct bed *b = *state;

	b->partial = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 1);
	assert_int_equal(b->lost, 0);
	b->partial = false;
	wait_for(b, &b->lost);
}

/*
 * One task runs twice at the same time. A leader stood still for 12 s while
 * another took its place and gave its work out anew; awake again, it sends the
 * starts that it had still to send before it learns so. Their lease must be
 * over before they come.
 */
static void a_leader_that_stood_still_starts_nothing(void **state)
{
	struct bed *b = *state;

	b->unsure_ms = 12000;
	start(b);
	wait_for(b, &b->starts);
	assert_true(b->until_ms < WORKER_MS);
}

/* Margins that were counted, and of them those of leases all but over. */
static uint64_t margins(const struct bed *b, uint64_t *none)
{
	const struct cnt_times *t = &wkr_stats(b->wkr)->margin;
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < CNT_CELLS; i++)
		n += t->cells[i];
	*none = t->cells[0];
	return n;
}

/*
 * Monitoring sees how long orders take, and how near to its end each lease is
 * when it is renewed.
 */
static void orders_and_leases_are_timed(void **state)
{
	const struct wkr_stats *s;
	struct bed *b = *state;
	uint64_t orders = 0;
	uint64_t none;
	uint64_t n;
	size_t i;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	s = wkr_stats(b->wkr);
	n = margins(b, &none);
	assert_true(n > 0);
	assert_true(s->margin.sum_s * 1000 <= (double)n * LEASE_MS);
	assert_true(s->margin.sum_s * 1000 > (double)n * LEASE_MS / 2);
	for (i = 0; i < CNT_CELLS; i++)
		orders += s->answers.cells[i];
	assert_int_equal(orders, s->orders[WKR_START] + s->orders[WKR_STOP]);
}

/*
 * A worker without work needs no lease: that its last one is long over when
 * the next work comes is no lease nearly missed.
 */
static void a_lease_of_no_work_has_no_margin(void **state)
{
	struct jtb_name n = {.id = "j"};
	struct bed *b = *state;
	struct pk_out o;
	uint64_t none;

	start(b);
	wait_for(b, &b->starts);
	pk_out_init(&o);
	jtb_put_end(&o, "w", 0, &n, 1, JTB_LOST, lstr_n("", 0), 1);
	apply(b, &o);
	assert_int_equal(jtb_worker(b->jtb, "w")->runs->len, 0);
	net_run(b->base, LEASE_MS + SETTLE_MS);
	pk_out_init(&o);
	jtb_put_start(&o, &n, 2, "w");
	apply(b, &o);
	b->run = jtb_find_run(b->jtb, &n, 2, "w");
	assert_non_null(b->run);
	wkr_run(b->wkr, b->run);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 2);
	margins(b, &none);
	assert_int_equal(none, 0);
}

/* A start is good from now on, for no longer than a worker takes. */
static void a_start_has_a_lease(void **state)
{
	struct bed *b = *state;

	start(b);
	wait_for(b, &b->starts);
	assert_true(b->until_ms >= WORKER_MS);
	assert_true(b->until_ms - WORKER_MS <=
		    tmr_now(b->tmr) - b->led_ms + LEASE_MS);
}

/*
 * One task runs twice at the same time. A worker is cut off from a new leader
 * and not from the old one, which may renew its leases until it steps down;
 * the new one must wait for the end of all of them, by the slowest clock.
 */
static void leases_of_the_old_leader_are_waited_for(void **state)
{
	struct bed *b = *state;

	b->dead = true;
	start(b);
	wait_for(b, &b->gone);
	assert_int_equal(b->gone_for_good, 0);
	assert_true(b->gone_ms - b->led_ms >
		    OLD_LEADER_MS + LEASE_MS + LEASE_MS / 50);
}

/*
 * Work of a worker that is cut off is never done elsewhere: each call for its
 * list renewed the lease, as it might have been heard.
 */
static void a_silent_worker_gets_no_lease(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_true(b->hold_until_ms > 0);
	b->dead = true;
	wait_for(b, &b->gone);
	assert_int_equal(b->hold_until_ms, 0);
}

/*
 * One task runs twice at the same time. A worker was given up, and answers
 * again before that is in the log; what it was to start is on its way to
 * another.
 */
static void a_worker_that_was_given_up_is_told_to_start_nothing(void **state)
{
	struct bed *b = *state;
	int starts;

	b->dead = true;
	start(b);
	wait_for(b, &b->gone);
	starts = b->starts;
	b->dead = false;
	net_run(b->base, RETRY_MOST_MS + SETTLE_MS);
	assert_int_equal(b->starts, starts);
	assert_int_equal(b->gone, 1);
}

/*
 * Guards against two runs: a worker fell silent with a start that may come late,
 * was given up, and is given work again.
 */
static void a_start_that_may_come_after_a_lapse_is_stopped_first(void **state)
{
	struct bed *b = *state;
	struct jtb_worker *w = jtb_worker(b->jtb, "w");
	struct pk_out o;

	b->silent_starts = 1;
	start(b);
	wait_for(b, &b->starts);
	b->dead = true;
	wait_for(b, &b->gone);
	wkr_run_over(b->wkr, b->run);
	pk_out_init(&o);
	jtb_put_gone(&o, "w", false);
	apply(b, &o);
	wkr_worker(b->wkr, w);
	b->silent_stops = 1;
	b->dead = false;
	while (b->stops < 2) {
		assert_false(wkr_usable(b->wkr, w));
		net_run(b->base, 10);
	}
	assert_int_equal(b->hold_until_ms, 0);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->stops, 2);
	assert_true(wkr_usable(b->wkr, w));
}

/*
 * A task is told as lost while it runs, and started once more. The list that
 * doesn't have it was asked for before its start.
 */
static void an_older_list_says_nothing_of_a_run(void **state)
{
	struct bed *b = *state;

	b->silent_holds = true;
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	net_run(b->base, 20);
	assert_int_equal(b->silent->len, 1);
	start(b);
	net_run(b->base, 50);
	b->silent_holds = false;
	evhttp_send_reply(g_ptr_array_index(b->silent, 0), 200, "OK", NULL);
	b->seen = 0;
	b->lists_next = true;
	wait_for(b, &b->seen);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->lost, 0);
	assert_int_equal(b->run->phase, WKR_ON);
}

/* A worker that leaves is told nothing of work that it never got. */
static void a_leaving_worker_is_sent_no_start(void **state)
{
	struct bed *b = *state;

	start(b);
	put_worker(b, b->port, true);
	wait_for(b, &b->lost);
	assert_int_equal(b->starts, 0);
	assert_int_equal(b->stops, 0);
}

/*
 * Work starts on a worker seconds after we have acknowledged that it leaves: a
 * start got no answer before, and was sent again.
 */
static void a_start_that_a_leaving_worker_may_have_is_stopped(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	start(b);
	wait_for(b, &b->starts);
	put_worker(b, b->port, true);
	wait_for(b, &b->stops);
	assert_int_equal(b->starts, 1);
}

/*
 * One task runs twice at the same time. A start was carried out late, of a run
 * that was given up meanwhile: whoever sees it listed ends it.
 */
static void a_run_that_nobody_knows_is_stopped(void **state)
{
	struct bed *b = *state;

	b->lists_stray = true;
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	wait_for(b, &b->stops);
}

/*
 * More is started on a worker than it holds: a new leader doesn't know yet
 * what runs there.
 */
static void a_new_leader_asks_before_it_orders(void **state)
{
	struct bed *b = *state;

	b->silent_holds = true;
	wkr_lead(b->wkr, FENCE + 1);
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 0);
	b->silent_holds = false;
	wait_for(b, &b->starts);
}

/*
 * One task runs twice at the same time. A start of the last leader is on its
 * way yet; ours is refused, and the task is about to go elsewhere.
 */
static void a_start_of_the_last_leader_may_come_late(void **state)
{
	struct bed *b = *state;

	b->refuse_starts = 2;
	b->silent_holds = true;
	start(b);
	wkr_lead(b->wkr, FENCE + 1);
	b->silent_holds = false;
	wait_for(b, &b->stops);
	assert_int_equal(b->starts, 1);
}

/* Leaves the leader without a descriptor or an idle connection. */
static struct net_taken take_descriptors(struct bed *b)
{
	ups_forget(b->wkr->ups, jtb_worker(b->jtb, "w")->info.addr);
	net_run(b->base, 20);
	return net_take_descriptors(0);
}

static void close_port(struct bed *b)
{
	evhttp_free(b->http);
	b->http = evhttp_new(b->base);
	net_run(b->base, 20);
}

/* A worker is overrun: it shrank between a start and its order. */
static void a_start_that_no_longer_fits_is_not_sent(void **state)
{
	struct bed *b = *state;

	start(b);
	put_worker_of(b, b->port, 500, false);
	wait_for(b, &b->lost);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 0);
}

/* The same by an order that is repeated: its first copy may come late. */
static void a_start_that_no_longer_fits_is_stopped(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	start(b);
	wait_for(b, &b->starts);
	put_worker_of(b, b->port, 500, false);
	wait_for(b, &b->stops);
	assert_int_equal(b->starts, 1);
}

/*
 * One task runs twice: its start may come late, the stop behind it got no answer
 * either, and a list without it was taken for its end.
 */
static void a_stop_without_an_answer_says_nothing_of_a_run(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	b->silent_stops = 2;
	start(b);
	wait_for(b, &b->starts);
	put_worker(b, b->port, true);
	wait_for(b, &b->stops);
	/* until it is given up and asked for again, lists come in */
	while (b->stops < 2) {
		assert_int_equal(b->lost, 0);
		net_run(b->base, 10);
	}
	assert_int_equal(b->lost, 0);
	/* the answer to a later stop is the worker's word */
	wait_for(b, &b->lost);
	assert_int_equal(b->stops, 3);
}

/* The same where the worker is ill and answers that it did nothing. */
static void a_refused_stop_says_nothing_of_a_run(void **state)
{
	struct bed *b = *state;

	b->silent_starts = 1;
	b->refuse_stops = 2;
	start(b);
	wait_for(b, &b->starts);
	put_worker(b, b->port, true);
	wait_for(b, &b->stops);
	while (b->stops < 2) {
		assert_int_equal(b->lost, 0);
		net_run(b->base, 10);
	}
	assert_int_equal(b->lost, 0);
	wait_for(b, &b->lost);
	assert_int_equal(b->stops, 3);
}

/* A service loses two tasks at once: one by a stop that nobody decided now. */
static void a_stop_of_an_earlier_lead_is_forgotten(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	wkr_stop(b->wkr, b->run);
	wkr_rest(b->wkr);
	wkr_lead(b->wkr, FENCE + 2);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->stops, 0);
	assert_false(jtb_leaves(b->run));
}

/* A stop that was agreed on is never carried out: its leader was lost first. */
static void an_agreed_stop_is_ordered_by_the_next_leader(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	b->run->stopping = true;
	wkr_lead(b->wkr, FENCE + 1);
	wait_for(b, &b->stops);
}

/* Guards against work done twice behind a cut that refuses connections. */
static void a_leaving_worker_is_not_over_with_its_port(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	put_worker(b, b->port, true);
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	close_port(b);
	wait_for(b, &b->gone);
	assert_int_equal(b->why, EVD_LEASE);
	assert_int_equal(b->gone_for_good, 0);
}

/*
 * One task runs twice at the same time. A worker that never said that it ends
 * can't be reached, as behind a firewall that refuses; its lease is waited for.
 */
static void a_closed_port_alone_is_no_end(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	close_port(b);
	wait_for(b, &b->gone);
	assert_int_equal(b->gone_for_good, 0);
}

/* All that ran in a lifetime is over once another answers in its place. */
static void another_lifetime_ends_the_one_we_meant(void **state)
{
	struct bed *b = *state;

	b->other_life = 1;
	start(b);
	wait_for(b, &b->gone_for_good);
	assert_int_equal(b->starts, 1);
	b->gone_for_good = 0;
	b->other_life_holds = 1;
	wait_for(b, &b->gone_for_good);
}

/*
 * A task that was done is done again. The worker forgets an end that we have
 * acknowledged, and our log hasn't got it yet when we are killed.
 */
static void an_end_is_acknowledged_once_it_is_stored(void **state)
{
	struct bed *b = *state;
	struct jtb_name n = {.id = "j"};
	struct pk_out o;
	int holds;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	b->tells_end = true;
	wait_for(b, &b->ends);
	holds = b->holds;
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->holds, holds);
	assert_int_equal(b->ack, 0);
	b->tells_end = false;
	pk_out_init(&o);
	jtb_put_end(&o, "w", 1, &n, 1, JTB_DONE, lstr_n("", 0), 1);
	apply(b, &o);
	wkr_stored(b->wkr);
	b->holds = 0;
	wait_for(b, &b->holds);
	assert_int_equal(b->ack, 1);
}

/*
 * A burst runs on hundreds of workers. Each end was answered with a call for
 * the next, the leader came to nothing else, and callers saw their jobs late
 * with room free. Ends are gathered for a moment there, and not where workers
 * are few.
 */
static void ends_of_a_large_fleet_are_gathered(void **state)
{
	struct bed *b = *state;
	struct wkr_link *l;
	struct jtb_name n = {.id = "j"};
	struct pk_out o;

	assert_int_equal(lod_poll_delay_ms(49, 0), 0);
	assert_int_equal(lod_poll_delay_ms(9200, 0), 80);
	b->wkr->busy = 9200;
	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	b->tells_end = true;
	wait_for(b, &b->ends);
	b->tells_end = false;
	pk_out_init(&o);
	jtb_put_end(&o, "w", 1, &n, 1, JTB_DONE, lstr_n("", 0), 1);
	apply(b, &o);
	b->wkr->busy = 400;
	wkr_stored(b->wkr);
	l = g_ptr_array_index(b->wkr->links, 0);
	assert_null(l->hold);
	assert_true(l->hold_timer != 0);
	b->holds = 0;
	wait_for(b, &b->holds);
	assert_int_equal(b->ack, 1);
}

/* Guards against tasks run twice: a worker that leaves, taken as gone unasked. */
static void a_leaving_worker_is_not_over_for_want_of_a_socket(void **state)
{
	struct bed *b = *state;
	struct net_taken taken;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	b->silent_holds = true;
	net_run(b->base, SETTLE_MS);
	put_worker(b, b->port, true);
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	taken = take_descriptors(b);
	net_run(b->base, WKR_WAIT_MS + WKR_ANSWER_MS + SETTLE_MS);
	net_give_back(&taken);
	assert_int_equal(b->gone_for_good, 0);
}

/* Guards against work taken from workers that just couldn't be asked. */
static void a_worker_is_not_silent_for_want_of_a_socket(void **state)
{
	struct bed *b = *state;
	const struct jtb_worker *w = jtb_worker(b->jtb, "w");
	struct net_taken taken;

	net_run(b->base, SETTLE_MS);
	assert_true(wkr_usable(b->wkr, w));
	taken = take_descriptors(b);
	wkr_ask(b->wkr, jtb_worker(b->jtb, "w"));
	net_run(b->base, SETTLE_MS);
	net_give_back(&taken);
	assert_true(wkr_reached(b->wkr, w));
	assert_int_equal(wkr_silent_since(b->wkr, w), 0);
	b->holds = 0;
	wait_for(b, &b->holds);
}

/* Guards against lists that are waited for on all connections there may be. */
static void a_list_is_not_waited_for_where_connections_are_few(void **state)
{
	struct bed *b = *state;

	b->lists = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_true(b->wait_ms > 0);
	b->wkr->config.conns_max = 1;
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->wait_ms, 0);
}

/* Guards against a new connection for each order where these are few. */
static void orders_at_once_fit_the_connections(void **state)
{
	struct bed *b = *state;

	b->wkr->busy = 1100;
	assert_int_equal(wkr_window(b->wkr), WKR_WINDOW);
	b->wkr->config.conns_max = 2400;
	assert_int_equal(wkr_window(b->wkr), 1);
	b->wkr->config.conns_max = 4000;
	assert_int_equal(wkr_window(b->wkr), 2);
	b->wkr->config.conns_max = 100;
	assert_int_equal(wkr_window(b->wkr), 1);
	b->wkr->busy = 0;
	assert_int_equal(wkr_window(b->wkr), WKR_WINDOW);
}

/* A start carries its ticket, and the owner learns that it was refused. */
static void a_start_carries_its_ticket(void **state)
{
	struct bed *b = *state;

	b->advised = true;
	b->ticket = "t1";
	b->refuse_tickets = 1;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 1);
	assert_string_equal(b->sent_ticket, "t1");
	assert_int_equal(b->tickets_refused, 1);
	assert_int_equal(b->lost, 1);
	assert_int_equal(wkr_stats(b->wkr)->unticketed, 1);
}

/* Its ticket ended on the way through the log: the worker would refuse it. */
static void a_start_without_a_ticket_is_not_sent(void **state)
{
	struct bed *b = *state;

	b->advised = true;
	start(b);
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 0);
	assert_int_equal(b->stops, 0);
	assert_int_equal(b->lost, 1);
}

/*
 * One task runs twice at the same time. A start of the last leader is on its
 * way, and the new one has no ticket to send it again: the worker is told to
 * take it never, before the task goes elsewhere.
 */
static void a_start_that_may_come_is_stopped_without_a_ticket(void **state)
{
	struct bed *b = *state;

	b->advised = true;
	start(b);
	b->run->may_be_there = true;
	net_run(b->base, SETTLE_MS);
	assert_int_equal(b->starts, 0);
	assert_int_equal(b->stops, 1);
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_refused_start_is_not_tried_again),
		T(a_start_that_may_come_late_is_stopped_first),
		T(a_start_with_an_odd_answer_is_stopped_first),
		T(a_start_that_its_carrier_lost_is_stopped_first),
		T(a_lost_carrier_says_nothing_of_the_worker),
		T(a_carrier_is_tried_again_after_a_while),
		T(a_job_waits_until_a_worker_took_it),
		T(a_taken_start_is_looked_after),
		T(a_run_that_is_nowhere_is_told_as_lost),
		T(a_list_that_isnt_whole_says_nothing_of_a_run),
		T(a_leader_that_stood_still_starts_nothing),
		T(a_start_has_a_lease),
		T(orders_and_leases_are_timed),
		T(a_lease_of_no_work_has_no_margin),
		T(leases_of_the_old_leader_are_waited_for),
		T(a_silent_worker_gets_no_lease),
		T(a_worker_that_was_given_up_is_told_to_start_nothing),
		T(a_start_that_may_come_after_a_lapse_is_stopped_first),
		T(an_older_list_says_nothing_of_a_run),
		T(a_leaving_worker_is_sent_no_start),
		T(a_start_that_a_leaving_worker_may_have_is_stopped),
		T(a_run_that_nobody_knows_is_stopped),
		T(a_new_leader_asks_before_it_orders),
		T(a_start_of_the_last_leader_may_come_late),
		T(a_stop_without_an_answer_says_nothing_of_a_run),
		T(a_refused_stop_says_nothing_of_a_run),
		T(a_start_that_no_longer_fits_is_not_sent),
		T(a_start_that_no_longer_fits_is_stopped),
		T(a_stop_of_an_earlier_lead_is_forgotten),
		T(an_agreed_stop_is_ordered_by_the_next_leader),
		T(a_leaving_worker_is_not_over_with_its_port),
		T(a_closed_port_alone_is_no_end),
		T(another_lifetime_ends_the_one_we_meant),
		T(an_end_is_acknowledged_once_it_is_stored),
		T(a_leaving_worker_is_not_over_for_want_of_a_socket),
		T(a_worker_is_not_silent_for_want_of_a_socket),
		T(a_list_is_not_waited_for_where_connections_are_few),
		T(orders_at_once_fit_the_connections),
		T(ends_of_a_large_fleet_are_gathered),
		T(a_start_carries_its_ticket),
		T(a_start_without_a_ticket_is_not_sent),
		T(a_start_that_may_come_is_stopped_without_a_ticket),
	};

	return cmocka_run_group_tests_name("wkr", tests, NULL, NULL);
}
