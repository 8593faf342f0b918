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
/* Longest lease that the worker accepts, ms. */
#define LEASE_MS 400
/* How long a previous leader may still grant leases, ms. */
#define OLD_LEADER_MS 1000
#define WAIT_MS 10000
/* Longest delay between two calls to an unreachable worker, ms. */
#define RETRY_MAX_MS 1000
/* The constant reading of the worker's clock. */
#define WORKER_MS 100000

/*
 * The leader's sessions, and a worker that answers orders as the test requires.
 */
struct fixture {
	struct event_base *base;
	int port;
	struct tmr *tmr;
	struct evhttp *http;
	struct jtb *jtb;
	struct wkr *wkr;
	struct rly *rly;
	bool relayed; /* calls use a relay that reports nothing about them */
	int relay_messages; /* messages to the relay */
	struct jtb_run *run;
	int starts;
	int stops;
	int holds;
	int refuse_starts; /* starts still to be refused for lack of capacity */
	int unanswered_starts;
	int unanswered_stops;
	int refuse_stops; /* stops still to be refused */
	/* starts still to be answered by another instance */
	int other_instance_starts;
	bool unanswered_holds; /* holds get no answer */
	bool unreachable; /* nothing gets an answer */
	bool lists_end; /* the run is listed as ended */
	bool lists_unknown; /* an unknown run is listed */
	/* holds still to be answered by another instance */
	int other_instance_holds;
	int seen;
	bool partial; /* its lists are incomplete */
	bool lists_run; /* the run is listed as running */
	/* the run is listed from the list after the next on */
	bool lists_run_next;
	/* age of the last confirmation of leadership */
	int64_t confirmed_ago_ms;
	bool needs_ticket; /* starts need a ticket */
	const char *ticket; /* NULL: there is none */
	char sent_ticket[16]; /* ticket of the last start */
	char saved[2][16]; /* checkpoint of the last start of each gang task */
	/* starts still to be answered with an unreadable answer */
	int unreadable_starts;
	int refuse_tickets; /* starts still to be refused for their ticket */
	int tickets_refused;
	int64_t until_ms; /* lease of the last start */
	int64_t hold_until_ms; /* lease of the last hold */
	uint64_t ack; /* acknowledged end of the last hold */
	uint64_t ack_after_start; /* greatest ack since the last start */
	uint64_t ack_before_start; /* ack of the last hold before that start */
	int64_t wait_ms; /* time that the last hold may wait */
	int lost;
	enum evd_why why; /* evidence for the last run or worker that is over */
	int gone;
	int gone_permanently;
	int ends;
	int64_t led_ms;
	int64_t gone_ms;
	int64_t started_ms; /* lifetime that its lists name */
	GPtrArray *unanswered;
};

static struct fixture *the_fixture;

static const char *on_write(const struct wkr_order *o, struct evbuffer *body)
{
	static const char *const paths[] = {
		[WKR_START] = "/start",
		[WKR_STOP] = "/stop",
		[WKR_HOLD] = "/hold",
		[WKR_PACE] = "/pace",
	};

	if (o->kind == WKR_START) {
		the_fixture->until_ms = o->until_ms;
		if (g_str_has_prefix(o->task, "g.0.0."))
			g_strlcpy(the_fixture->saved[o->task[6] - '0'],
				  o->saved ? o->saved : "",
				  sizeof(the_fixture->saved[0]));
		the_fixture->ack_before_start = the_fixture->ack;
		the_fixture->ack_after_start = 0;
		g_strlcpy(the_fixture->sent_ticket, o->ticket ? o->ticket : "",
			  sizeof(the_fixture->sent_ticket));
	}
	if (o->kind == WKR_HOLD) {
		the_fixture->hold_until_ms = o->until_ms;
		the_fixture->ack = o->ack;
		the_fixture->ack_after_start =
			MAX(the_fixture->ack_after_start, o->ack);
		the_fixture->wait_ms = o->wait_ms;
	}
	evbuffer_add_printf(body, "%d", (int)o->kind);
	return paths[o->kind];
}

static enum wkr_answer on_answer(int status, struct lstr body,
				 int64_t *clock_ms)
{
	*clock_ms = WORKER_MS;
	if (status == 421)
		return WKR_OTHER_INSTANCE;
	if (status == 500)
		return WKR_UNREADABLE;
	if (status == 403)
		return WKR_NO_TICKET;
	return status == 200 ? WKR_YES : WKR_NO_CAPACITY;
}

static bool on_report(struct lstr body, struct wkr_report *out)
{
	struct wkr_row row = {.attempt = 1, .percent = 10};

	*out = (struct wkr_report){
		.clock_ms = WORKER_MS,
		.started_ms = the_fixture->started_ms,
		.partial = the_fixture->partial,
		.rows = g_array_new(FALSE, TRUE, sizeof(struct wkr_row)),
		.ends = g_array_new(FALSE, TRUE, sizeof(struct wkr_end)),
	};
	if (the_fixture->lists_end) {
		struct wkr_end end = {
			.no = 1, .attempt = 1, .how = JTB_DONE, .known = true};

		g_strlcpy(end.name.id, "j", sizeof(end.name.id));
		g_array_append_val(out->ends, end);
	}
	if (the_fixture->lists_unknown) {
		g_strlcpy(row.name.id, "x", sizeof(row.name.id));
		g_array_append_val(out->rows, row);
	}
	if (the_fixture->lists_run) {
		g_strlcpy(row.name.id, "j", sizeof(row.name.id));
		g_array_append_val(out->rows, row);
	}
	return true;
}

static void on_report_done(struct wkr_report *r)
{
	g_array_free(r->rows, TRUE);
	g_array_free(r->ends, TRUE);
}

static const struct wkr_codec test_codec = {
	.content_type = "text/plain",
	.instance_header = "Life",
	.write = on_write,
	.answer = on_answer,
	.report = on_report,
	.report_done = on_report_done,
};

static void on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	const char *uri = evhttp_request_get_uri(req);
	bool is_start = strcmp(uri, "/start") == 0;

	f->starts += is_start;
	f->stops += strcmp(uri, "/stop") == 0;
	f->holds += strcmp(uri, "/hold") == 0;
	if (strcmp(uri, "/stop") == 0 && f->refuse_stops > 0) {
		f->refuse_stops--;
		evhttp_send_reply(req, 409, "No", NULL);
		return;
	}
	if (strcmp(uri, "/stop") == 0 && f->unanswered_stops > 0) {
		f->unanswered_stops--;
		g_ptr_array_add(f->unanswered, req);
		return;
	}
	if (f->unreachable || (is_start && f->unanswered_starts > 0) ||
	    (f->unanswered_holds && strcmp(uri, "/hold") == 0)) {
		f->unanswered_starts -= is_start && !f->unreachable;
		g_ptr_array_add(f->unanswered, req);
		return;
	}
	if (f->other_instance_holds > 0 && strcmp(uri, "/hold") == 0) {
		f->other_instance_holds--;
		evhttp_send_reply(req, 421, "No", NULL);
		return;
	}
	if (is_start && f->other_instance_starts > 0) {
		f->other_instance_starts--;
		evhttp_send_reply(req, 421, "No", NULL);
		return;
	}
	if (is_start && f->unreadable_starts > 0) {
		f->unreadable_starts--;
		evhttp_send_reply(req, 500, "Bad", NULL);
		return;
	}
	if (is_start && f->refuse_tickets > 0) {
		f->refuse_tickets--;
		evhttp_send_reply(req, 403, "No", NULL);
		return;
	}
	if (is_start && f->refuse_starts > 0) {
		f->refuse_starts--;
		evhttp_send_reply(req, 409, "No", NULL);
		return;
	}
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void on_ends(void *arg, struct jtb_worker *w, const struct wkr_end *e,
		    size_t n)
{
	struct fixture *f = arg;

	f->ends += (int)n;
}

static void on_lost(void *arg, struct jtb_run *run, const struct evd *e)
{
	struct fixture *f = arg;

	f->lost++;
	f->why = e->why;
}

static void on_gone(void *arg, struct jtb_worker *w, const struct evd *e)
{
	struct fixture *f = arg;

	if (!f->gone)
		f->gone_ms = tmr_now(f->tmr);
	f->gone++;
	f->gone_permanently += evd_is_permanent(e);
	f->why = e->why;
}

static void on_seen(void *arg, struct jtb_worker *w)
{
	struct fixture *f = arg;

	f->seen++;
	f->lists_run = f->lists_run || f->lists_run_next;
}

static bool on_ticket(void *arg, const struct jtb_run *run, const char **out)
{
	const struct fixture *f = arg;

	*out = f->needs_ticket ? f->ticket : NULL;
	return !f->needs_ticket || f->ticket;
}

static void on_ticket_refused(void *arg, const struct jtb_run *run)
{
	struct fixture *f = arg;

	f->tickets_refused++;
}

static int64_t on_confirmed_ms(void *arg)
{
	struct fixture *f = arg;

	return tmr_now(f->tmr) - f->confirmed_ago_ms;
}

/* Accepts a message to the relay and loses it. */
static bool on_carry(void *arg, const char *addr, struct lstr payload)
{
	struct fixture *f = arg;

	f->relay_messages++;
	return true;
}

static const struct rly_ops rly_callbacks = {.send = on_carry};

/* Uses the relay first, and the leader itself after a lost call. */
static const char *on_relay(void *arg, const struct jtb_worker *w,
			    uint32_t n_lost)
{
	const struct fixture *f = arg;

	return f->relayed && n_lost == 0 ? "relay" : NULL;
}

static const struct wkr_ops wkr_callbacks = {
	.ends = on_ends,
	.lost = on_lost,
	.gone = on_gone,
	.seen = on_seen,
	.ticket = on_ticket,
	.ticket_refused = on_ticket_refused,
	.confirmed_ms = on_confirmed_ms,
	.relay = on_relay,
};

static void apply_command(struct fixture *f, struct pk_out *cmd)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 1);
	msgpack_sbuffer_write(&o.buf, cmd->buf.data, cmd->buf.size);
	assert_true(jtb_apply(f->jtb, pk_out_view(&o)));
	pk_out_done(&o);
	pk_out_done(cmd);
}

static struct pk_out pack_worker(int port, uint32_t cpu, bool draining,
				 int64_t started_ms, const GArray *kept)
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
		.started_ms = started_ms,
	};
	struct jtb_blame none;
	struct pk_out o;

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	pk_out_init(&o);
	jtb_blame_init(&none);
	if (kept)
		jtb_put_worker_restarted(&o, &info, kept, &none, 1);
	else
		jtb_put_worker(&o, &info);
	jtb_blame_clear(&none);
	return o;
}

static void put_worker_with_cpu(struct fixture *f, int port, uint32_t cpu,
				bool draining)
{
	struct pk_out o = pack_worker(port, cpu, draining, 0, NULL);

	apply_command(f, &o);
}

/* The worker reports its start: at first, or after it has started again. */
static void put_lifetime(struct fixture *f, int64_t started_ms,
			 const GArray *kept)
{
	struct pk_out o = pack_worker(f->port, 16000, false, started_ms, kept);

	f->started_ms = started_ms;
	apply_command(f, &o);
	wkr_update_worker(f->wkr, jtb_worker(f->jtb, "w"));
}

static void put_worker(struct fixture *f, int port, bool draining)
{
	put_worker_with_cpu(f, port, 16000, draining);
}

/* Applies a configuration with the organisation "org" and its limit of cores. */
static void put_config(struct fixture *f, uint64_t version, uint64_t limit_cpu)
{
	struct jtb_config *c = jtb_config_new();
	struct jtb_queue *q = g_new0(struct jtb_queue, 1);
	struct org *org = org_new("org");
	struct pk_out o;

	c->version = version;
	c->document = g_bytes_new("d", 1);
	q->name = g_strdup("q");
	q->host = g_strdup("h");
	q->prefix = g_strdup("/");
	q->pool = g_strdup("p");
	q->attempts = 3;
	jtb_config_add_queue(c, q);
	org->limit.cpu = limit_cpu;
	jtb_config_add_org(c, org);
	pk_out_init(&o);
	jtb_put_config(&o, c);
	apply_command(f, &o);
	jtb_config_free(c);
}

static void put_job_of(struct fixture *f, const char *id, struct jtb_step step)
{
	char queue[] = "q";
	char text[] = "t";
	char org[] = "org";
	struct jtb_spec spec = {.queue = queue,
				.text = text,
				.org = org,
				.steps = &step,
				.n_steps = 1};
	struct pk_out o;

	g_strlcpy(spec.id, id, sizeof(spec.id));
	pk_out_init(&o);
	jtb_put_job(&o, &spec, 1);
	apply_command(f, &o);
}

/* Adds a job of one task. */
static void put_job(struct fixture *f, const char *id)
{
	put_job_of(
		f, id,
		(struct jtb_step){.count = 1, .cpu = 1000, .estimate_ms = 100});
}

static void fill_job_table(struct fixture *f, int port)
{
	put_config(f, 1, 0);
	put_worker(f, port, false);
	put_job(f, "j");
}

static int setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	int fd = net_listen(&f->port);

	the_fixture = f;
	close(fd);
	f->unanswered = g_ptr_array_new();
	f->base = event_base_new();
	f->tmr = tmr_new(f->base);
	f->http = evhttp_new(f->base);
	evhttp_set_gencb(f->http, on_request, f);
	assert_int_equal(
		evhttp_bind_socket(f->http, "127.0.0.1", (uint16_t)f->port), 0);
	f->jtb = jtb_new(NULL, NULL);
	fill_job_table(f, f->port);
	f->rly = rly_new(f->tmr, &rly_callbacks, f);
	f->wkr = wkr_new(
		&(struct wkr_config){
			.base = f->base,
			.tmr = f->tmr,
			.codec = &test_codec,
			.jtb = f->jtb,
			.hold_max_ms = LEASE_MS,
			.rly = f->rly,
		},
		&wkr_callbacks, f);
	f->led_ms = tmr_now(f->tmr);
	wkr_lead(f->wkr, FENCE);
	net_run(f->base, 50);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;

	wkr_free(f->wkr);
	rly_free(f->rly);
	jtb_free(f->jtb);
	evhttp_free(f->http);
	tmr_free(f->tmr);
	event_base_free(f->base);
	g_ptr_array_free(f->unanswered, TRUE);
	g_free(f);
	return 0;
}

static void start_run_of(struct fixture *f, const char *id)
{
	struct jtb_name n = {0};
	struct pk_out o;

	g_strlcpy(n.id, id, sizeof(n.id));
	pk_out_init(&o);
	jtb_put_start(&o, &n, 1, "w");
	apply_command(f, &o);
	f->run = jtb_find_run(f->jtb, &n, 1, "w");
	assert_non_null(f->run);
	wkr_add_run(f->wkr, f->run);
}

static void start_run(struct fixture *f)
{
	start_run_of(f, "j");
}

/* Runs the event loop until a counter has reached a value. */
static void wait_until(struct fixture *f, const int *count, int value)
{
	int i;

	for (i = 0; i < WAIT_MS && *count < value; i++)
		net_run(f->base, 1);
	assert_true(*count >= value);
}

/* Runs the event loop until a counter is above zero. */
static void wait_for(struct fixture *f, const int *count)
{
	wait_until(f, count, 1);
}

/*
 * Guards against a task that runs twice: a worker refuses a start for lack of
 * capacity, and the run is abandoned. If the start were retried before that is
 * committed, the worker could accept it while the task is started elsewhere.
 */
static void refused_start_is_not_retried(void **state)
{
	struct fixture *f = *state;

	f->refuse_starts = 1;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->lost, 1);
	assert_int_equal(f->starts, 1);
}

/*
 * Guards against a task that runs twice: a start gets no answer and may be
 * carried out seconds later; the retry is refused. The task may start elsewhere
 * only after the worker was told to forget the run.
 */
static void start_without_answer_is_stopped_first(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	f->refuse_starts = 1;
	start_run(f);
	net_run(f->base, 1600);
	assert_int_equal(f->starts, 2);
	assert_int_equal(f->stops, 1);
	assert_true(f->lost >= 1);
	assert_int_equal(f->run->phase, WKR_OVER);
}

/*
 * Guards against a task that runs twice: the worker accepted a start, and its
 * answer was unreadable.
 */
static void start_with_unreadable_answer_is_stopped_first(void **state)
{
	struct fixture *f = *state;

	f->unreadable_starts = 1;
	f->refuse_starts = 1;
	start_run(f);
	wait_for(f, &f->lost);
	assert_int_equal(f->starts, 2);
	assert_int_equal(f->stops, 1);
	assert_int_equal(f->why, EVD_UNLISTED);
}

/*
 * Guards against a task that runs twice: a relay that reports nothing may have
 * delivered the start.
 */
static void start_lost_by_relay_is_stopped_first(void **state)
{
	struct fixture *f = *state;

	f->relayed = true;
	f->refuse_starts = 1;
	start_run(f);
	net_run(f->base, 1600);
	assert_true(f->relay_messages >= 1);
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->stops, 1);
	assert_int_equal(f->run->phase, WKR_OVER);
}

/*
 * Guards against a worker that gets no work as the replica that relays its
 * calls is lost.
 */
static void lost_relay_leaves_worker_usable(void **state)
{
	struct fixture *f = *state;

	f->relayed = true;
	f->lists_run = true;
	start_run(f);
	net_run(f->base, 1600);
	assert_true(f->relay_messages >= 1);
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->run->phase, WKR_ACCEPTED);
	assert_int_equal(wkr_unreachable_since(f->wkr, jtb_worker(f->jtb, "w")),
			 0);
	assert_int_equal(wkr_stats(f->wkr)->expired, 0);
}

/*
 * Guards against a leader that makes all calls itself once each relay was lost.
 */
static void relay_is_used_again_after_a_while(void **state)
{
	struct fixture *f = *state;
	int before;

	f->relayed = true;
	f->lists_run = true;
	start_run(f);
	net_run(f->base, 1600);
	before = f->relay_messages;
	net_run(f->base, 2 * LEASE_MS + 1600);
	assert_true(f->relay_messages > before);
}

/*
 * Guards against jobs reported as started though no worker has answered their
 * start.
 */
static void job_is_pending_until_start_is_accepted(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	f->lists_run = false;
	start_run(f);
	f->run->job->start_unconfirmed = true;
	wait_for(f, &f->starts);
	net_run(f->base, 50);
	assert_int_equal(jtb_count_pending(f->jtb, "q"), 1);
	f->seen = 0;
	f->lists_run = true;
	wait_for(f, &f->seen);
	assert_int_equal(jtb_count_pending(f->jtb, "q"), 0);
}

/* An accepted start is followed by holds, and the run keeps its state. */
static void accepted_start_is_followed_by_holds(void **state)
{
	struct fixture *f = *state;
	int before = f->holds;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->lost, 0);
	assert_int_equal(f->run->phase, WKR_ACCEPTED);
	assert_int_equal(f->run->percent, 10);
	assert_true(f->holds > before);
}

/*
 * Guards against a run that hangs for ever, as lists that show it without
 * progress don't count, and against one that is stopped by what lists of an
 * earlier term showed.
 */
static void lists_tell_how_long_a_run_stands_still(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->run->percent, 10);
	assert_true(f->run->still_ms > 0);
	wkr_lead(f->wkr, FENCE + 1);
	assert_int_equal(f->run->still_ms, 0);
}

/*
 * Guards against a task that never runs again: its worker accepted the run, and
 * lists it neither as running nor as ended.
 */
static void run_missing_from_list_is_lost(void **state)
{
	struct fixture *f = *state;

	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 1);
	assert_true(f->lost >= 1);
}

/* Guards against a task that runs twice: the row of its run was unreadable. */
static void incomplete_list_is_not_evidence(void **state)
{
	struct fixture *f = *state;

	f->partial = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 1);
	assert_int_equal(f->lost, 0);
	f->partial = false;
	wait_for(f, &f->lost);
}

/*
 * Guards against a task that runs twice: a leader's process pauses for 12 s,
 * and another leader assigns its work elsewhere; after the pause, before it
 * learns of that, the first one sends its pending starts. Their lease must have
 * expired before they arrive.
 */
static void paused_leader_grants_no_valid_lease(void **state)
{
	struct fixture *f = *state;

	f->confirmed_ago_ms = 12000;
	start_run(f);
	wait_for(f, &f->starts);
	assert_true(f->until_ms < WORKER_MS);
}

/*
 * Returns the number of margins counted; none: those of leases that had nearly
 * expired.
 */
static uint64_t count_margins(const struct fixture *f, uint64_t *none)
{
	const struct cnt_times *t = &wkr_stats(f->wkr)->margin;
	uint64_t n = 0;
	size_t i;

	for (i = 0; i < CNT_CELLS; i++)
		n += t->cells[i];
	*none = t->cells[0];
	return n;
}

/*
 * The statistics show how long orders take, and how much of each lease remains
 * when it is renewed.
 */
static void statistics_time_orders_and_leases(void **state)
{
	const struct wkr_stats *s;
	struct fixture *f = *state;
	uint64_t orders = 0;
	uint64_t none;
	uint64_t n;
	size_t i;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	s = wkr_stats(f->wkr);
	n = count_margins(f, &none);
	assert_true(n > 0);
	assert_true(s->margin.sum_s * 1000 <= (double)n * LEASE_MS);
	assert_true(s->margin.sum_s * 1000 > (double)n * LEASE_MS / 2);
	for (i = 0; i < CNT_CELLS; i++)
		orders += s->answers.cells[i];
	assert_int_equal(orders, s->orders[WKR_START] + s->orders[WKR_STOP]);
}

/*
 * A worker without runs needs no lease: its expired lease at the time of the
 * next start does not count as one nearly missed.
 */
static void lease_without_runs_has_no_margin(void **state)
{
	struct jtb_name n = {.id = "j"};
	struct fixture *f = *state;
	struct pk_out o;
	uint64_t none;

	start_run(f);
	wait_for(f, &f->starts);
	pk_out_init(&o);
	jtb_put_end(&o, "w", 0, &n, 1, JTB_LOST, lstr_n("", 0), 1);
	apply_command(f, &o);
	assert_int_equal(jtb_worker(f->jtb, "w")->runs->len, 0);
	net_run(f->base, LEASE_MS + SETTLE_MS);
	pk_out_init(&o);
	jtb_put_start(&o, &n, 2, "w");
	apply_command(f, &o);
	f->run = jtb_find_run(f->jtb, &n, 2, "w");
	assert_non_null(f->run);
	wkr_add_run(f->wkr, f->run);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 2);
	count_margins(f, &none);
	assert_int_equal(none, 0);
}

/* A start has a lease that begins now and is no longer than workers accept. */
static void start_has_a_lease(void **state)
{
	struct fixture *f = *state;

	start_run(f);
	wait_for(f, &f->starts);
	assert_true(f->until_ms >= WORKER_MS);
	assert_true(f->until_ms - WORKER_MS <=
		    tmr_now(f->tmr) - f->led_ms + LEASE_MS);
}

/*
 * Guards against a task that runs twice: a worker is partitioned from a new
 * leader and not from the old one, which may renew its leases until it steps
 * down. The new leader must wait for the expiry of all of them, by the slowest
 * clock.
 */
static void leases_of_previous_leader_must_expire(void **state)
{
	struct fixture *f = *state;

	f->unreachable = true;
	start_run(f);
	wait_for(f, &f->gone);
	assert_int_equal(f->gone_permanently, 0);
	assert_true(f->gone_ms - f->led_ms >
		    OLD_LEADER_MS + LEASE_MS + LEASE_MS / 50);
}

/*
 * Guards against tasks of a partitioned worker that are never started
 * elsewhere: each hold renewed the lease, as the worker might have received it.
 */
static void unreachable_worker_gets_no_lease(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_true(f->hold_until_ms > 0);
	f->unreachable = true;
	wait_for(f, &f->gone);
	assert_int_equal(f->hold_until_ms, 0);
}

/*
 * Guards against a task that runs twice: an abandoned worker answers again
 * before that is committed, and its tasks are being started elsewhere.
 */
static void abandoned_worker_gets_no_start(void **state)
{
	struct fixture *f = *state;
	int starts;

	f->unreachable = true;
	start_run(f);
	wait_for(f, &f->gone);
	starts = f->starts;
	f->unreachable = false;
	net_run(f->base, RETRY_MAX_MS + SETTLE_MS);
	assert_int_equal(f->starts, starts);
	assert_int_equal(f->gone, 1);
}

/*
 * Guards against a task that runs twice: a worker became unreachable while a
 * start for it may still arrive, was abandoned, and gets work again.
 */
static void stale_start_is_stopped_after_expiry(void **state)
{
	struct fixture *f = *state;
	struct jtb_worker *w = jtb_worker(f->jtb, "w");
	struct pk_out o;

	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	f->unreachable = true;
	wait_for(f, &f->gone);
	wkr_remove_run(f->wkr, f->run);
	pk_out_init(&o);
	jtb_put_worker_lost(&o, "w", false);
	apply_command(f, &o);
	wkr_update_worker(f->wkr, w);
	f->unanswered_stops = 1;
	f->unreachable = false;
	while (f->stops < 2) {
		assert_false(wkr_usable(f->wkr, w));
		net_run(f->base, 10);
	}
	assert_int_equal(f->hold_until_ms, 0);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->stops, 2);
	assert_true(wkr_usable(f->wkr, w));
}

/*
 * Guards against a task that is reported lost while it runs, and is started
 * again: a list without it was requested before its start.
 */
static void list_requested_before_start_is_not_evidence(void **state)
{
	struct fixture *f = *state;

	f->unanswered_holds = true;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	net_run(f->base, 20);
	assert_int_equal(f->unanswered->len, 1);
	start_run(f);
	net_run(f->base, 50);
	f->unanswered_holds = false;
	evhttp_send_reply(g_ptr_array_index(f->unanswered, 0), 200, "OK", NULL);
	f->seen = 0;
	f->lists_run_next = true;
	wait_for(f, &f->seen);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->lost, 0);
	assert_int_equal(f->run->phase, WKR_ACCEPTED);
}

/* A draining worker gets no message about runs that were never sent to it. */
static void draining_worker_gets_no_start(void **state)
{
	struct fixture *f = *state;

	start_run(f);
	put_worker(f, f->port, true);
	wait_for(f, &f->lost);
	assert_int_equal(f->starts, 0);
	assert_int_equal(f->stops, 0);
}

/*
 * Guards against a task that starts on a worker seconds after the leader
 * acknowledged that it leaves: an earlier start got no answer, and was sent
 * again.
 */
static void unanswered_start_on_draining_worker_is_stopped(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	put_worker(f, f->port, true);
	wait_for(f, &f->stops);
	assert_int_equal(f->starts, 1);
}

/*
 * Guards against a task that runs twice: a start was carried out after its run
 * was abandoned. A leader that sees the run listed stops it.
 */
static void unknown_run_is_stopped(void **state)
{
	struct fixture *f = *state;

	f->lists_unknown = true;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	wait_for(f, &f->stops);
}

/*
 * Guards against an overloaded worker: a new leader doesn't know yet what runs
 * there.
 */
static void new_leader_polls_before_it_orders(void **state)
{
	struct fixture *f = *state;

	f->unanswered_holds = true;
	wkr_lead(f->wkr, FENCE + 1);
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 0);
	f->unanswered_holds = false;
	wait_for(f, &f->starts);
}

/*
 * Guards against a task that runs twice: a start of the previous leader is
 * still in flight; that of the new one is refused, and the task is about to
 * start elsewhere.
 */
static void start_of_previous_leader_is_stopped_first(void **state)
{
	struct fixture *f = *state;

	f->refuse_starts = 2;
	f->unanswered_holds = true;
	start_run(f);
	wkr_lead(f->wkr, FENCE + 1);
	f->unanswered_holds = false;
	wait_for(f, &f->stops);
	assert_int_equal(f->starts, 1);
}

/* Leaves the leader without a free descriptor or an idle connection. */
static struct net_held_descriptors exhaust_descriptors(struct fixture *f)
{
	ups_close_idle(f->wkr->ups, jtb_worker(f->jtb, "w")->info.addr);
	net_run(f->base, 20);
	return net_exhaust_descriptors(0);
}

static void close_port(struct fixture *f)
{
	evhttp_free(f->http);
	f->http = evhttp_new(f->base);
	net_run(f->base, 20);
}

/*
 * Guards against an overloaded worker that shrank between the commit of a start
 * and its order.
 */
static void start_that_no_longer_fits_is_not_sent(void **state)
{
	struct fixture *f = *state;

	start_run(f);
	put_worker_with_cpu(f, f->port, 500, false);
	wait_for(f, &f->lost);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 0);
}

/*
 * Guards against work beyond a usage limit that fell between the commit of a
 * start and its order.
 */
static void start_beyond_a_lowered_limit_is_not_sent(void **state)
{
	struct fixture *f = *state;

	start_run(f);
	put_config(f, 2, 500);
	wait_for(f, &f->lost);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 0);
}

/*
 * Guards against an overloaded worker that shrank before a start was sent
 * again: the first one may still arrive.
 */
static void unanswered_start_that_no_longer_fits_is_stopped(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	put_worker_with_cpu(f, f->port, 500, false);
	wait_for(f, &f->stops);
	assert_int_equal(f->starts, 1);
}

/*
 * Guards against a task that runs twice: its start may still arrive, the
 * following stop got no answer either, and a list without the run was treated
 * as its end.
 */
static void unanswered_stop_does_not_end_a_run(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	f->unanswered_stops = 2;
	start_run(f);
	wait_for(f, &f->starts);
	put_worker(f, f->port, true);
	wait_for(f, &f->stops);
	/* Lists arrive until the stop times out and is sent again. */
	while (f->stops < 2) {
		assert_int_equal(f->lost, 0);
		net_run(f->base, 10);
	}
	assert_int_equal(f->lost, 0);
	/* The answer to a later stop confirms that the run never starts. */
	wait_for(f, &f->lost);
	assert_int_equal(f->stops, 3);
}

/*
 * Guards against a task that runs twice: its start may still arrive, and an
 * unhealthy worker answered the stop that it did nothing.
 */
static void refused_stop_does_not_end_a_run(void **state)
{
	struct fixture *f = *state;

	f->unanswered_starts = 1;
	f->refuse_stops = 2;
	start_run(f);
	wait_for(f, &f->starts);
	put_worker(f, f->port, true);
	wait_for(f, &f->stops);
	while (f->stops < 2) {
		assert_int_equal(f->lost, 0);
		net_run(f->base, 10);
	}
	assert_int_equal(f->lost, 0);
	wait_for(f, &f->lost);
	assert_int_equal(f->stops, 3);
}

/*
 * Guards against a service that loses two tasks at once: one of them by a stop
 * decided in an earlier term of the same leader.
 */
static void stop_of_earlier_term_is_dropped(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	wkr_stop_run(f->wkr, f->run);
	wkr_stop_leading(f->wkr);
	wkr_lead(f->wkr, FENCE + 2);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->stops, 0);
	assert_false(jtb_run_is_stopping(f->run));
}

/*
 * Guards against a committed stop that is never carried out as its leader was
 * lost.
 */
static void committed_stop_is_sent_by_next_leader(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	f->run->stopping = true;
	wkr_lead(f->wkr, FENCE + 1);
	wait_for(f, &f->stops);
}

/*
 * Guards against a task that runs twice: a draining worker is behind a
 * partition where connections are refused.
 */
static void closed_port_of_draining_worker_is_not_evidence(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	put_worker(f, f->port, true);
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	close_port(f);
	wait_for(f, &f->gone);
	assert_int_equal(f->why, EVD_LEASE);
	assert_int_equal(f->gone_permanently, 0);
}

/*
 * Guards against a task that runs twice: a worker that never reported its exit
 * can't be reached, as behind a firewall that refuses connections; its lease
 * must expire first.
 */
static void closed_port_is_not_evidence(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	close_port(f);
	wait_for(f, &f->gone);
	assert_int_equal(f->gone_permanently, 0);
}

/*
 * All runs of a worker instance are over once another instance answers at its
 * address.
 */
static void another_instance_is_evidence(void **state)
{
	struct fixture *f = *state;

	f->other_instance_starts = 1;
	start_run(f);
	wait_for(f, &f->gone_permanently);
	assert_int_equal(f->starts, 1);
	f->gone_permanently = 0;
	f->other_instance_holds = 1;
	wait_for(f, &f->gone_permanently);
}

/*
 * Guards against a completed task that runs again: the worker drops an end that
 * the leader acknowledged, and the leader is killed before the end is
 * committed.
 */
static void end_is_acknowledged_once_committed(void **state)
{
	struct fixture *f = *state;
	struct jtb_name n = {.id = "j"};
	struct pk_out o;
	int holds;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	f->lists_end = true;
	wait_for(f, &f->ends);
	holds = f->holds;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->holds, holds);
	assert_int_equal(f->ack, 0);
	f->lists_end = false;
	pk_out_init(&o);
	jtb_put_end(&o, "w", 1, &n, 1, JTB_DONE, lstr_n("", 0), 1);
	apply_command(f, &o);
	wkr_on_commit(f->wkr);
	f->holds = 0;
	wait_for(f, &f->holds);
	assert_int_equal(f->ack, 1);
}

/*
 * Guards against a leader that does nothing but poll in a burst on hundreds of
 * workers, so that jobs are late beside free capacity: each end was answered
 * with the next hold at once. With many workers, ends are gathered for a
 * moment.
 */
static void ends_of_many_workers_are_gathered(void **state)
{
	struct fixture *f = *state;
	struct wkr_session *l;
	struct jtb_name n = {.id = "j"};
	struct pk_out o;

	assert_int_equal(lod_poll_delay_ms(49, 0), 0);
	assert_int_equal(lod_poll_delay_ms(9200, 0), 80);
	f->wkr->busy = 9200;
	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	f->lists_end = true;
	wait_for(f, &f->ends);
	f->lists_end = false;
	pk_out_init(&o);
	jtb_put_end(&o, "w", 1, &n, 1, JTB_DONE, lstr_n("", 0), 1);
	apply_command(f, &o);
	f->wkr->busy = 400;
	wkr_on_commit(f->wkr);
	l = g_ptr_array_index(f->wkr->sessions, 0);
	assert_null(l->hold);
	assert_true(l->hold_timer != 0);
	f->holds = 0;
	wait_for(f, &f->holds);
	assert_int_equal(f->ack, 1);
}

/* Starts both members of the gang "g". */
static void start_gang(struct fixture *f, uint32_t attempt)
{
	struct jtb_name n = {.id = "g"};
	struct jtb_run *run;
	struct pk_out o;

	for (n.index = 0; n.index < 2; n.index++) {
		pk_out_init(&o);
		jtb_put_start(&o, &n, attempt, "w");
		apply_command(f, &o);
	}
	for (n.index = 0; n.index < 2; n.index++) {
		run = jtb_find_run(f->jtb, &n, attempt, "w");
		assert_non_null(run);
		wkr_add_run(f->wkr, run);
	}
}

/* Applies the end of a member of the gang. */
static void end_member(struct fixture *f, uint32_t index, uint32_t attempt,
		       enum jtb_end how, const char *saved)
{
	struct jtb_name n = {.id = "g", .index = index};
	struct pk_out o;

	wkr_remove_run(f->wkr, jtb_find_run(f->jtb, &n, attempt, "w"));
	pk_out_init(&o);
	jtb_put_end(&o, "w", 0, &n, attempt, how, lstr_from(saved), 1);
	apply_command(f, &o);
}

/*
 * Guards against a gang that never works again: after a crash only the member
 * that was left has a checkpoint, and members with different ones wait for each
 * other in vain.
 */
static void members_of_a_gang_start_with_one_checkpoint(void **state)
{
	struct fixture *f = *state;
	uint32_t left;

	put_job_of(f, "g",
		   (struct jtb_step){.count = 2,
				     .cpu = 1000,
				     .flags = JTB_GANG | JTB_CHECKPOINTS});
	for (left = 0; left < 2; left++) {
		const char *value = left ? "second" : "first";
		uint32_t attempt = 2 * left + 1;

		start_gang(f, attempt);
		net_run(f->base, 50);
		end_member(f, left, attempt, JTB_GANG_BROKEN, value);
		end_member(f, 1 - left, attempt, JTB_LOST, "");
		start_gang(f, attempt + 1);
		net_run(f->base, 50);
		assert_string_equal(f->saved[0], value);
		assert_string_equal(f->saved[1], value);
		end_member(f, 0, attempt + 1, JTB_GANG_INCOMPLETE, "");
		end_member(f, 1, attempt + 1, JTB_LOST, "");
	}
}

/*
 * Guards against a member that waits alone: its start is repeated after another
 * member has ended, with that one's checkpoint.
 */
static void start_of_a_broken_gang_is_stopped(void **state)
{
	struct fixture *f = *state;

	put_job_of(f, "g",
		   (struct jtb_step){.count = 2,
				     .cpu = 1000,
				     .flags = JTB_GANG | JTB_CHECKPOINTS});
	f->unanswered_starts = 1;
	start_gang(f, 1);
	wait_until(f, &f->starts, 2);
	end_member(f, 1, 1, JTB_GANG_INCOMPLETE, "");
	wait_for(f, &f->stops);
	assert_int_equal(f->starts, 2);
}

/*
 * Begins a lifetime of which four ends are applied and one is still listed, so
 * that the next hold acknowledges the four.
 */
static void begin_lifetime_with_ends(struct fixture *f)
{
	struct jtb_name n = {.id = "before"};
	struct pk_out o;

	put_lifetime(f, 100, NULL);
	pk_out_init(&o);
	jtb_put_end(&o, "w", 4, &n, 1, JTB_DONE, lstr_n("", 0), 1);
	apply_command(f, &o);
	f->lists_end = true;
	f->seen = 0;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	wait_for(f, &f->seen);
}

/*
 * Guards against a done task that runs again: its worker started again under
 * its id unnoticed, and the earlier lifetime's acknowledgement makes it forget
 * the end.
 */
static void start_in_an_unknown_lifetime_stops_acknowledgements(void **state)
{
	struct fixture *f = *state;

	begin_lifetime_with_ends(f);
	f->started_ms = 200;
	start_run(f);
	wait_for(f, &f->starts);
	net_run(f->base, SETTLE_MS);
	assert_true(wkr_stats(f->wkr)->foreign_lists > 0);
	assert_int_equal(f->ack_after_start, 0);
}

/*
 * The same where a list has named the next lifetime, and then the late answer
 * to a start shows the worker as reachable.
 */
static void late_answer_hides_no_next_lifetime(void **state)
{
	struct fixture *f = *state;
	struct evhttp_request *req;

	begin_lifetime_with_ends(f);
	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	f->started_ms = 200;
	f->holds = 0;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	wait_for(f, &f->holds);
	net_run(f->base, 50);
	assert_true(wkr_stats(f->wkr)->foreign_lists > 0);
	req = g_ptr_array_index(f->unanswered, 0);
	evhttp_send_reply(req, 200, "OK", NULL);
	f->holds = 0;
	wait_for(f, &f->holds);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->ack_after_start, 0);
	assert_false(wkr_usable(f->wkr, jtb_worker(f->jtb, "w")));
}

/*
 * The same for an idle worker, and where a list of an older lifetime comes
 * behind that of the next one.
 */
static void older_list_hides_no_next_lifetime(void **state)
{
	static const int64_t lists[] = {200, 50};
	struct fixture *f = *state;
	struct wkr_session *s = g_ptr_array_index(f->wkr->sessions, 0);
	size_t i;

	begin_lifetime_with_ends(f);
	for (i = 0; i < G_N_ELEMENTS(lists); i++) {
		f->started_ms = lists[i];
		f->holds = 0;
		wait_for(f, &f->holds);
		net_run(f->base, 50);
	}
	assert_true(wkr_stats(f->wkr)->foreign_lists > 1);
	wkr_mark_reachable(s, 0);
	f->ack = 9;
	wkr_poll(f->wkr, s->w);
	assert_int_equal(f->ack, 0);
}

/*
 * Guards against a worker whose ends pile up beyond what a list holds, as there
 * is always a start that no list has shown yet.
 */
static void starts_wait_for_an_acknowledgement(void **state)
{
	struct fixture *f = *state;

	begin_lifetime_with_ends(f);
	put_job(f, "k");
	f->unreadable_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	f->holds = 0;
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	wait_for(f, &f->holds);
	assert_int_equal(f->ack_after_start, 0);
	start_run_of(f, "k");
	wait_until(f, &f->starts, 3);
	assert_int_equal(f->ack_before_start, 4);
}

/*
 * Guards against a task that runs twice: a draining worker counted as over
 * though it could not be polled.
 */
static void lack_of_sockets_does_not_end_draining_worker(void **state)
{
	struct fixture *f = *state;
	struct net_held_descriptors taken;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	f->unanswered_holds = true;
	net_run(f->base, SETTLE_MS);
	put_worker(f, f->port, true);
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	taken = exhaust_descriptors(f);
	net_run(f->base, WKR_HOLD_WAIT_MS + WKR_HOLD_TIMEOUT_MS + SETTLE_MS);
	net_release_descriptors(&taken);
	assert_int_equal(f->gone_permanently, 0);
}

/*
 * Guards against tasks that are moved away from workers which only could not be
 * polled.
 */
static void lack_of_sockets_leaves_worker_reachable(void **state)
{
	struct fixture *f = *state;
	const struct jtb_worker *w = jtb_worker(f->jtb, "w");
	struct net_held_descriptors taken;

	net_run(f->base, SETTLE_MS);
	assert_true(wkr_usable(f->wkr, w));
	taken = exhaust_descriptors(f);
	wkr_poll(f->wkr, jtb_worker(f->jtb, "w"));
	net_run(f->base, SETTLE_MS);
	net_release_descriptors(&taken);
	assert_true(wkr_is_reachable(f->wkr, w));
	assert_int_equal(wkr_unreachable_since(f->wkr, w), 0);
	f->holds = 0;
	wait_for(f, &f->holds);
}

/* Guards against holds that wait on all available connections. */
static void hold_does_not_wait_while_connections_are_scarce(void **state)
{
	struct fixture *f = *state;

	f->lists_run = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_true(f->wait_ms > 0);
	f->wkr->config.conns_max = 1;
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->wait_ms, 0);
}

/*
 * Guards against a new connection for each order while connections are scarce.
 */
static void order_window_fits_the_connections(void **state)
{
	struct fixture *f = *state;

	f->wkr->busy = 1100;
	assert_int_equal(wkr_window(f->wkr), WKR_ORDER_WINDOW);
	f->wkr->config.conns_max = 2400;
	assert_int_equal(wkr_window(f->wkr), 1);
	f->wkr->config.conns_max = 4000;
	assert_int_equal(wkr_window(f->wkr), 2);
	f->wkr->config.conns_max = 100;
	assert_int_equal(wkr_window(f->wkr), 1);
	f->wkr->busy = 0;
	assert_int_equal(wkr_window(f->wkr), WKR_ORDER_WINDOW);
}

/* A start carries its ticket, and its refusal for that ticket is reported. */
static void start_carries_its_ticket(void **state)
{
	struct fixture *f = *state;

	f->needs_ticket = true;
	f->ticket = "t1";
	f->refuse_tickets = 1;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 1);
	assert_string_equal(f->sent_ticket, "t1");
	assert_int_equal(f->tickets_refused, 1);
	assert_int_equal(f->lost, 1);
	assert_int_equal(wkr_stats(f->wkr)->ticket_refusals, 1);
}

/*
 * A start whose ticket expired while it was committed is not sent: the worker
 * would refuse it.
 */
static void start_without_ticket_is_not_sent(void **state)
{
	struct fixture *f = *state;

	f->needs_ticket = true;
	start_run(f);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 0);
	assert_int_equal(f->stops, 0);
	assert_int_equal(f->lost, 1);
}

/*
 * Guards against a task that runs twice: a start of the previous leader is in
 * flight, and the new one has no ticket to send it again. The worker must be
 * told never to accept it before the task starts elsewhere.
 */
static void stale_start_without_ticket_is_stopped(void **state)
{
	struct fixture *f = *state;

	f->needs_ticket = true;
	start_run(f);
	f->run->may_have_started = true;
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->starts, 0);
	assert_int_equal(f->stops, 1);
}

/*
 * Guards against a task that runs twice: the worker has started again, and a
 * start that got no answer arrives at the new process, which would carry it out.
 */
static void start_without_answer_is_stopped_in_next_lifetime(void **state)
{
	struct fixture *f = *state;
	GArray *kept = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));
	struct jtb_name n = {.id = "j"};

	put_lifetime(f, 100, NULL);
	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	assert_true(evd_may_reach_successor(f->run));
	g_array_append_val(kept, n);
	f->unreachable = true;
	put_lifetime(f, 200, kept);
	g_array_free(kept, TRUE);
	/* the lease of the earlier process says nothing of the next one's */
	net_run(f->base, LEASE_MS + LEASE_MS / 33 + 1000);
	assert_int_equal(f->gone, 0);
	assert_int_equal(f->lost, 0);
	f->unreachable = false;
	f->stops = 0;
	wait_for(f, &f->lost);
	assert_int_equal(f->why, EVD_UNLISTED);
	assert_int_equal(f->stops, 1);
	assert_int_equal(f->starts, 1);
}

/*
 * Guards against a task that runs again although it is done: an order of it got
 * no answer, and arrives after the worker has started again.
 */
static void start_of_ended_run_is_stopped_in_next_lifetime(void **state)
{
	struct fixture *f = *state;
	struct jtb_worker *w = jtb_worker(f->jtb, "w");
	GArray *none = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));

	put_lifetime(f, 100, NULL);
	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	net_run(f->base, 2 * SETTLE_MS);
	wkr_remove_run(f->wkr, f->run);
	f->stops = 0;
	put_lifetime(f, 200, none);
	assert_false(wkr_usable(f->wkr, w));
	wait_for(f, &f->stops);
	net_run(f->base, SETTLE_MS);
	assert_int_equal(f->stops, 1);
	assert_true(wkr_usable(f->wkr, w));
	g_array_free(none, TRUE);
}

/* The same where the worker was removed in between. */
static void start_is_stopped_as_a_removed_worker_returns(void **state)
{
	struct fixture *f = *state;
	struct pk_out o;

	put_lifetime(f, 100, NULL);
	f->unanswered_starts = 1;
	start_run(f);
	wait_for(f, &f->starts);
	wkr_remove_run(f->wkr, f->run);
	wkr_remove_worker(f->wkr, jtb_worker(f->jtb, "w"));
	pk_out_init(&o);
	jtb_put_worker_lost(&o, "w", true);
	apply_command(f, &o);
	f->stops = 0;
	put_lifetime(f, 200, NULL);
	assert_false(wkr_usable(f->wkr, jtb_worker(f->jtb, "w")));
	wait_for(f, &f->stops);
}

/*
 * Guards against ends and runs of one lifetime that are read into another: a
 * list names a lifetime other than the one in the table, or none.
 */
static void list_of_another_lifetime_is_not_read(void **state)
{
	static const int64_t others[] = {99, 101, 0, WKR_START_DAMAGED};
	struct fixture *f = *state;
	struct jtb_worker *w = jtb_worker(f->jtb, "w");
	size_t i;

	put_lifetime(f, 100, NULL);
	for (i = 0; i < G_N_ELEMENTS(others); i++) {
		f->started_ms = others[i];
		f->lists_end = true;
		f->holds = 0;
		wkr_poll(f->wkr, w);
		wait_for(f, &f->holds);
		net_run(f->base, 50);
		assert_int_equal(f->ends, 0);
		assert_false(wkr_usable(f->wkr, w));
	}
	assert_true(wkr_stats(f->wkr)->foreign_lists >= G_N_ELEMENTS(others));
	f->lists_end = false;
	f->started_ms = 100;
	f->seen = 0;
	wait_for(f, &f->seen);
	assert_true(wkr_usable(f->wkr, w));
}

/*
 * Guards against a task that waits for a lease though nothing of it can have
 * begun: its worker's port is closed before the start is sent.
 */
static void start_never_sent_to_a_silent_worker_is_given_back(void **state)
{
	struct fixture *f = *state;

	close_port(f);
	start_run(f);
	net_run(f->base, SETTLE_MS / 2);
	assert_int_equal(f->lost, 1);
	assert_int_equal(f->why, EVD_UNSENT);
	assert_int_equal(f->gone, 0);
}

/* Adds a worker of a zone and opens its session. */
static struct jtb_worker *add_worker(struct fixture *f, const char *id,
				     const char *zone, int port)
{
	char addr[32];
	char *labels[] = {NULL};
	struct jtb_worker_info info = {
		.id = (char *)id,
		.pool = (char *)"p",
		.addr = addr,
		.zone = (char *)zone,
		.labels = labels,
		.cpu = 16000,
		.mem_mb = 1000,
	};
	struct pk_out o;

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	pk_out_init(&o);
	jtb_put_worker(&o, &info);
	apply_command(f, &o);
	wkr_update_worker(f->wkr, jtb_worker(f->jtb, id));
	return jtb_worker(f->jtb, id);
}

/* Adds workers of a zone that refuse connections. */
static void add_silent_workers(struct fixture *f, const char *zone)
{
	static const char *const ids[ZON_SILENT_WORKERS] = {"s1", "s2", "s3"};
	int port;
	int i;

	close(net_listen(&port));
	for (i = 0; i < ZON_SILENT_WORKERS; i++)
		add_worker(f, ids[i], zone, port);
	net_run(f->base, 50);
}

/*
 * Guards against work that is placed on the idle workers of a zone that is cut
 * off, one after the other, and waits for the lease of each.
 */
static void idle_worker_of_a_silent_zone_gets_no_work(void **state)
{
	struct fixture *f = *state;
	struct jtb_worker *idle = add_worker(f, "idle", "far", f->port);

	net_run(f->base, 50);
	assert_true(wkr_usable(f->wkr, idle));
	f->unreachable = true;
	add_silent_workers(f, "far");
	assert_false(wkr_usable(f->wkr, idle));
	assert_true(wkr_usable(f->wkr, jtb_worker(f->jtb, "w")));
	assert_int_equal(wkr_stats(f->wkr)->zones_silent, 1);
	f->unreachable = false;
	f->seen = 0;
	wait_for(f, &f->seen);
	assert_true(wkr_usable(f->wkr, idle));
}

/* Removes a worker from the table and closes its session. */
static void remove_worker(struct fixture *f, const char *id)
{
	struct pk_out o;

	wkr_remove_worker(f->wkr, jtb_worker(f->jtb, id));
	pk_out_init(&o);
	jtb_put_worker_lost(&o, id, true);
	apply_command(f, &o);
}

/*
 * Guards against a zone that gets no work for ever: all of its workers that were
 * silent or asked are removed, as their VMs were moved, and nobody calls the
 * idle ones.
 */
static void zone_gets_work_again_though_those_asked_are_gone(void **state)
{
	struct fixture *f = *state;
	struct jtb_worker *left = NULL;
	char id[ZON_ASKS + 1][8];
	int i;

	for (i = 0; i <= ZON_ASKS; i++) {
		g_snprintf(id[i], sizeof(id[i]), "i%d", i);
		add_worker(f, id[i], "far", f->port);
	}
	net_run(f->base, 50);
	f->unreachable = true;
	add_silent_workers(f, "far");
	for (i = 0; i <= ZON_ASKS; i++) {
		const struct wkr_session *s = jtb_worker(f->jtb, id[i])->owner;

		if (s->hold)
			remove_worker(f, id[i]);
		else
			left = jtb_worker(f->jtb, id[i]);
	}
	remove_worker(f, "s1");
	remove_worker(f, "s2");
	remove_worker(f, "s3");
	f->unreachable = false;
	assert_non_null(left);
	assert_false(wkr_usable(f->wkr, left));
	f->seen = 0;
	wait_for(f, &f->seen);
	assert_true(wkr_usable(f->wkr, left));
}

/*
 * Guards against a zone that gets no work as some of its workers crash at once
 * while the others are idle: one of these is asked and answers.
 */
static void crashes_beside_idle_workers_close_no_zone(void **state)
{
	struct fixture *f = *state;
	struct jtb_worker *idle = add_worker(f, "idle", "far", f->port);

	net_run(f->base, 50);
	add_silent_workers(f, "far");
	net_run(f->base, 50);
	assert_true(wkr_usable(f->wkr, idle));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(refused_start_is_not_retried),
		T(start_without_answer_is_stopped_first),
		T(start_with_unreadable_answer_is_stopped_first),
		T(start_lost_by_relay_is_stopped_first),
		T(lost_relay_leaves_worker_usable),
		T(relay_is_used_again_after_a_while),
		T(job_is_pending_until_start_is_accepted),
		T(accepted_start_is_followed_by_holds),
		T(lists_tell_how_long_a_run_stands_still),
		T(run_missing_from_list_is_lost),
		T(incomplete_list_is_not_evidence),
		T(paused_leader_grants_no_valid_lease),
		T(start_has_a_lease),
		T(statistics_time_orders_and_leases),
		T(lease_without_runs_has_no_margin),
		T(leases_of_previous_leader_must_expire),
		T(unreachable_worker_gets_no_lease),
		T(abandoned_worker_gets_no_start),
		T(stale_start_is_stopped_after_expiry),
		T(list_requested_before_start_is_not_evidence),
		T(draining_worker_gets_no_start),
		T(unanswered_start_on_draining_worker_is_stopped),
		T(unknown_run_is_stopped),
		T(new_leader_polls_before_it_orders),
		T(start_of_previous_leader_is_stopped_first),
		T(unanswered_stop_does_not_end_a_run),
		T(refused_stop_does_not_end_a_run),
		T(start_that_no_longer_fits_is_not_sent),
		T(start_beyond_a_lowered_limit_is_not_sent),
		T(unanswered_start_that_no_longer_fits_is_stopped),
		T(stop_of_earlier_term_is_dropped),
		T(committed_stop_is_sent_by_next_leader),
		T(closed_port_of_draining_worker_is_not_evidence),
		T(closed_port_is_not_evidence),
		T(another_instance_is_evidence),
		T(end_is_acknowledged_once_committed),
		T(lack_of_sockets_does_not_end_draining_worker),
		T(lack_of_sockets_leaves_worker_reachable),
		T(hold_does_not_wait_while_connections_are_scarce),
		T(order_window_fits_the_connections),
		T(ends_of_many_workers_are_gathered),
		T(start_carries_its_ticket),
		T(start_without_ticket_is_not_sent),
		T(stale_start_without_ticket_is_stopped),
		T(start_without_answer_is_stopped_in_next_lifetime),
		T(start_of_ended_run_is_stopped_in_next_lifetime),
		T(start_is_stopped_as_a_removed_worker_returns),
		T(members_of_a_gang_start_with_one_checkpoint),
		T(start_of_a_broken_gang_is_stopped),
		T(list_of_another_lifetime_is_not_read),
		T(start_in_an_unknown_lifetime_stops_acknowledgements),
		T(late_answer_hides_no_next_lifetime),
		T(older_list_hides_no_next_lifetime),
		T(starts_wait_for_an_acknowledgement),
		T(start_never_sent_to_a_silent_worker_is_given_back),
		T(idle_worker_of_a_silent_zone_gets_no_work),
		T(zone_gets_work_again_though_those_asked_are_gone),
		T(crashes_beside_idle_workers_close_no_zone),
	};

	return cmocka_run_group_tests_name("wkr", tests, NULL, NULL);
}
