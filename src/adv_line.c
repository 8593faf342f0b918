#include "adv.h"

#include <inttypes.h>

#include "msg.h"

/*
 * A call times out after twice the time that the queue's figures predict, and
 * this many ms more. The service goes on working on a call after its timeout,
 * and the next call waits behind it: with too short a timeout each call would
 * time out waiting for the previous one.
 */
#define ADV_TIMEOUT_SLACK_MS 1500
/* The timeout doubles after each call without an answer, up to this, ms. */
#define ADV_TIMEOUT_MAX_MS 60000
#define ADV_CONNECT_MS 500
/* Largest accepted answer, bytes: ten times 100 rows of an id and a ticket. */
#define ADV_ANSWER_MAX (256 << 10)
#define ADV_REUSE_MS 10000
/*
 * Delay between a failed call and the next, ms, doubling up to the maximum;
 * calls are retried for ever.
 */
#define ADV_RETRY_MIN_MS 100
#define ADV_RETRY_MAX_MS 2000
/*
 * Least interval between polls that found no query, ms: a poll scans all jobs
 * of queues with advice, and plans are made every few ms.
 */
#define ADV_POLL_INTERVAL_MS 50

struct adv_line {
	struct adv_config config;
	char *addr; /* or NULL */
	struct adv *adv;
	const struct adv_ops *ops;
	void *arg;
	struct ups *ups;
	struct ups_call *call; /* call in progress; or NULL */
	struct evbuffer *body; /* of the call */
	struct adv_query query; /* query of the call */
	int64_t sent_ms; /* when the call was sent */
	int64_t not_before_ms; /* earliest time of the next call */
	int64_t backoff_ms;
	uint32_t timeouts; /* consecutive calls without an answer */
	uint64_t poll_timer; /* calls the owner's poll */
	bool leading;
	struct adv_stats stats;
};

static void adv_send_query(struct adv_line *l);
static void adv_on_end(void *arg, enum ups_end end, const struct ups_answer *a);
static void adv_on_answer(struct adv_line *l, const GPtrArray *rows);
static void adv_on_failure(struct adv_line *l, const char *why);
static void adv_release_call(struct adv_line *l);
static void adv_schedule_poll(struct adv_line *l, int64_t at);
static void adv_on_poll_timer(void *arg, int64_t now);

static const struct ups_ops adv_ups_ops = {
	.end = adv_on_end,
};

static const char *const adv_results[] = {
	[ADV_OK] = "told",
	[ADV_BUSY] = "too many calls wait",
	[ADV_REJECTED] = "turned down",
	[ADV_UNAVAILABLE] = "can't now",
	[ADV_MALFORMED] = "not understood",
};

/*
 * Returns a connection to the advice service, idle until adv_line_lead. The
 * parts of config, adv and ops must outlive it.
 */
struct adv_line *adv_line_new(const struct adv_config *config, struct adv *adv,
			      const struct adv_ops *ops, void *arg)
{
	struct adv_line *l = g_new0(struct adv_line, 1);

	l->config = *config;
	l->addr = g_strdup(config->addr);
	l->adv = adv;
	l->ops = ops;
	l->arg = arg;
	l->ups = ups_new(config->base, config->tmr);
	ups_set_idle_timeout(l->ups, ADV_REUSE_MS);
	ups_set_conns_max(l->ups, ADV_CONNS_MAX);
	return l;
}

/* Frees the connection. */
void adv_line_free(struct adv_line *l)
{
	if (!l)
		return;
	adv_line_step_down(l);
	ups_free(l->ups);
	g_free(l->addr);
	g_free(l);
}

/* Becomes leader: starts without tickets. */
void adv_line_lead(struct adv_line *l)
{
	adv_line_step_down(l);
	l->leading = true;
}

/* Steps down as leader: cancels the call and drops all tickets. */
void adv_line_step_down(struct adv_line *l)
{
	l->leading = false;
	if (l->call) {
		ups_cancel(l->call);
		adv_release_call(l);
	}
	tmr_cancel(l->config.tmr, l->poll_timer);
	l->poll_timer = 0;
	l->not_before_ms = 0;
	l->backoff_ms = 0;
	l->timeouts = 0;
	adv_clear(l->adv);
}

/*
 * Sends the next query unless a call is in progress: the service handles one
 * call of a leader at a time, so a second call would only wait there,
 * regardless of urgency.
 */
void adv_line_poll(struct adv_line *l, const struct sch_view *v)
{
	if (!l->leading || !l->addr || l->call || !adv_needed(l->adv))
		return;
	if (v->now_ms < l->not_before_ms) {
		adv_schedule_poll(l, l->not_before_ms);
		return;
	}
	if (adv_next_query(l->adv, v, &l->query))
		adv_send_query(l);
	else
		l->not_before_ms = v->now_ms + ADV_POLL_INTERVAL_MS;
}

/*
 * Sets the address of the service, after the settings have changed; NULL: no
 * service.
 */
void adv_line_set_addr(struct adv_line *l, const char *addr)
{
	if (g_strcmp0(l->addr, addr) == 0)
		return;
	if (l->call) {
		ups_cancel(l->call);
		adv_release_call(l);
	}
	g_free(l->addr);
	l->addr = g_strdup(addr);
	l->not_before_ms = 0;
	l->backoff_ms = 0;
	l->timeouts = 0;
}

/* Whether an advice service is configured. */
bool adv_line_configured(const struct adv_line *l)
{
	return l->addr != NULL;
}

/* Returns the counters since the start of the process. */
const struct adv_stats *adv_line_stats(const struct adv_line *l)
{
	return &l->stats;
}

/*
 * Sends the query. The timeout grows with the number of calls in a row without
 * an answer.
 */
static void adv_send_query(struct adv_line *l)
{
	const struct adv_codec *codec = l->config.codec;
	struct ups_header type = {(char *)"Content-Type",
				  (char *)codec->content_type};
	struct ups_request r = {
		.addr = l->addr,
		.method = EVHTTP_REQ_POST,
		.headers = &type,
		.n_headers = 1,
		.connect_ms = ADV_CONNECT_MS,
		.max_answer = ADV_ANSWER_MAX,
	};
	int64_t timeout_ms = 2 * l->query.takes_ms + ADV_TIMEOUT_SLACK_MS;

	r.timeout_ms = MIN(timeout_ms << MIN(l->timeouts, 6),
			   MAX(timeout_ms, ADV_TIMEOUT_MAX_MS));
	l->body = evbuffer_new();
	r.uri = codec->write(&l->query, l->body);
	r.body = l->body;
	l->sent_ms = tmr_now(l->config.tmr);
	l->stats.calls++;
	l->stats.named += l->query.workers->len;
	l->call = ups_start(l->ups, &r, &adv_ups_ops, l);
}

/* The call ended, with or without an answer. */
static void adv_on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct adv_line *l = arg;
	GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
	enum adv_result result = ADV_MALFORMED;
	struct lstr body = {0};

	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	if (end == UPS_WHOLE)
		result = l->config.codec->answer(a->status, body, rows,
						 &l->query.valid_ms);
	l->timeouts = end == UPS_TIMEOUT ? l->timeouts + 1 : 0;
	if (end != UPS_WHOLE)
		adv_on_failure(l, "no answer");
	else if (result == ADV_OK)
		adv_on_answer(l, rows);
	else
		adv_on_failure(l, adv_results[result]);
	if (end == UPS_WHOLE &&
	    (result == ADV_REJECTED || result == ADV_MALFORMED))
		adv_reject_query(l->adv, &l->query, tmr_now(l->config.tmr));
	g_ptr_array_free(rows, TRUE);
	adv_release_call(l);
	if (result == ADV_OK)
		l->ops->changed(l->arg);
}

/* Stores a valid answer. */
static void adv_on_answer(struct adv_line *l, const GPtrArray *rows)
{
	int64_t now = tmr_now(l->config.tmr);

	l->stats.approved += rows->len;
	l->backoff_ms = 0;
	l->not_before_ms = 0;
	cnt_time_ms(&l->stats.answers, now - l->sent_ms);
	adv_accept_answer(l->adv, &l->query, rows, l->sent_ms, now);
	msg_job(MSG_ADV_TOLD, l->query.step.id,
		"job=%s turn=%u step=%u named=%u approved=%u took_ms=%" PRId64
		" valid_ms=%" PRId64,
		l->query.step.id, l->query.step.turn, l->query.step.step,
		l->query.workers->len, rows->len, now - l->sent_ms,
		l->query.valid_ms);
}

/* There was no valid answer: delays the next call. */
static void adv_on_failure(struct adv_line *l, const char *why)
{
	int64_t now = tmr_now(l->config.tmr);

	l->stats.failed++;
	l->backoff_ms = l->backoff_ms ? MIN(2 * l->backoff_ms, ADV_RETRY_MAX_MS)
				      : ADV_RETRY_MIN_MS;
	l->not_before_ms = now + l->backoff_ms;
	adv_schedule_poll(l, l->not_before_ms);
	msg(MSG_ADV_FAILED,
	    "job=%s turn=%u step=%u named=%u why=\"%s\" took_ms=%" PRId64
	    " again_ms=%" PRId64,
	    l->query.step.id, l->query.step.turn, l->query.step.step,
	    l->query.workers->len, why, now - l->sent_ms, l->backoff_ms);
}

/* Frees the data of the call. */
static void adv_release_call(struct adv_line *l)
{
	l->call = NULL;
	evbuffer_free(l->body);
	l->body = NULL;
	adv_query_clear(&l->query);
}

/* Schedules a call of the owner's poll, at ms on the timer service's clock. */
static void adv_schedule_poll(struct adv_line *l, int64_t at)
{
	int64_t now = tmr_now(l->config.tmr);

	if (!l->poll_timer)
		l->poll_timer = tmr_once(l->config.tmr, MAX(0, at - now),
					 adv_on_poll_timer, l);
}

/* Calls the owner's poll. */
static void adv_on_poll_timer(void *arg, int64_t now)
{
	struct adv_line *l = arg;

	l->poll_timer = 0;
	l->ops->poll(l->arg);
}
