#include "adv.h"

#include <inttypes.h>

#include "msg.h"

/*
 * An answer may take so much longer than the queue says: twice, and this, ms.
 * A call that is given up is still worked on there, and the next of ours waits
 * behind it; too little patience would have each wait for the one before.
 */
#define ADV_SLACK_MS 1500
/* After calls without an answer the patience doubles, up to so long, ms. */
#define ADV_PATIENCE_MAX_MS 60000
#define ADV_CONNECT_MS 500
/* Largest answer taken: 100 rows of an id and a ticket, ten times over. */
#define ADV_ANSWER_MAX (256 << 10)
#define ADV_REUSE_MS 10000
/* Between a call that failed and the next, ms, doubling; tried for ever. */
#define ADV_RETRY_MIN_MS 100
#define ADV_RETRY_MAX_MS 2000
/*
 * Least time between two looks that found nothing to ask, ms: a look goes
 * through all jobs of queues with advice, and plans are made every few ms.
 */
#define ADV_LOOK_MS 50

struct adv_line {
	struct adv_config config;
	char *addr; /* or NULL */
	struct adv *adv;
	const struct adv_ops *ops;
	void *arg;
	struct ups *ups;
	struct ups_call *call; /* the one on its way; or NULL */
	struct evbuffer *body; /* of it */
	struct adv_ask ask; /* what it asks */
	int64_t sent_ms;
	int64_t not_before; /* no call until then */
	int64_t retry_ms;
	uint32_t silent; /* calls in a row without an answer */
	uint64_t wake; /* timer of the next look */
	bool leading;
	struct adv_stats stats;
};

static void adv_send(struct adv_line *l);
static void adv_on_end(void *arg, enum ups_end end, const struct ups_answer *a);
static void adv_told(struct adv_line *l, const GPtrArray *rows);
static void adv_failed(struct adv_line *l, const char *why);
static void adv_call_over(struct adv_line *l);
static void adv_wake_at(struct adv_line *l, int64_t at);
static void adv_on_wake(void *arg, int64_t now);

static const struct ups_ops adv_ups_ops = {
	.end = adv_on_end,
};

static const char *const adv_results[] = {
	[ADV_TOLD] = "told",
	[ADV_BUSY] = "too many calls wait",
	[ADV_TURNED_DOWN] = "turned down",
	[ADV_SICK] = "can't now",
	[ADV_UNREADABLE] = "not understood",
};

/* A session that rests until adv_line_lead; its parts must outlive it. */
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
	ups_set_reuse(l->ups, ADV_REUSE_MS);
	ups_set_most(l->ups, ADV_CONNS_MAX);
	return l;
}

/* Ends the session. */
void adv_line_free(struct adv_line *l)
{
	if (!l)
		return;
	adv_line_rest(l);
	ups_free(l->ups);
	g_free(l->addr);
	g_free(l);
}

/* We lead: all is asked anew. */
void adv_line_lead(struct adv_line *l)
{
	adv_line_rest(l);
	l->leading = true;
}

/* We don't lead any more. */
void adv_line_rest(struct adv_line *l)
{
	l->leading = false;
	if (l->call) {
		ups_cancel(l->call);
		adv_call_over(l);
	}
	tmr_cancel(l->config.tmr, l->wake);
	l->wake = 0;
	l->not_before = 0;
	l->retry_ms = 0;
	l->silent = 0;
	adv_clear(l->adv);
}

/*
 * Asks what matters most, unless a call is on its way: the service handles one
 * at a time for us, so that a second would only wait there, out of turn.
 */
void adv_line_look(struct adv_line *l, const struct sch_view *v)
{
	if (!l->leading || !l->addr || l->call || !adv_needed(l->adv))
		return;
	if (v->now_ms < l->not_before) {
		adv_wake_at(l, l->not_before);
		return;
	}
	if (adv_next(l->adv, v, &l->ask))
		adv_send(l);
	else
		l->not_before = v->now_ms + ADV_LOOK_MS;
}

/* Another address, from changed settings; or NULL. */
void adv_line_set_addr(struct adv_line *l, const char *addr)
{
	if (g_strcmp0(l->addr, addr) == 0)
		return;
	if (l->call) {
		ups_cancel(l->call);
		adv_call_over(l);
	}
	g_free(l->addr);
	l->addr = g_strdup(addr);
	l->not_before = 0;
	l->retry_ms = 0;
	l->silent = 0;
}

/* Whether there is a service to ask. */
bool adv_line_there(const struct adv_line *l)
{
	return l->addr != NULL;
}

/* Counters since the start. */
const struct adv_stats *adv_line_stats(const struct adv_line *l)
{
	return &l->stats;
}

/* Sends the question. */
static void adv_send(struct adv_line *l)
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
	int64_t patience = 2 * l->ask.takes_ms + ADV_SLACK_MS;

	r.timeout_ms = MIN(patience << MIN(l->silent, 6),
			   MAX(patience, ADV_PATIENCE_MAX_MS));
	l->body = evbuffer_new();
	r.uri = codec->write(&l->ask, l->body);
	r.body = l->body;
	l->sent_ms = tmr_now(l->config.tmr);
	l->stats.calls++;
	l->stats.named += l->ask.workers->len;
	l->call = ups_start(l->ups, &r, &adv_ups_ops, l);
}

/* The call ended, with an answer or without. */
static void adv_on_end(void *arg, enum ups_end end, const struct ups_answer *a)
{
	struct adv_line *l = arg;
	GPtrArray *rows = g_ptr_array_new_with_free_func(adv_row_free);
	enum adv_result result = ADV_UNREADABLE;
	struct lstr body = {0};

	if (end == UPS_WHOLE && a->body) {
		size_t len = evbuffer_get_length(a->body);

		body = lstr_n(evbuffer_pullup(a->body, -1), len);
	}
	if (end == UPS_WHOLE)
		result = l->config.codec->answer(a->status, body, rows,
						 &l->ask.valid_ms);
	l->silent = end == UPS_TIMEOUT ? l->silent + 1 : 0;
	if (end != UPS_WHOLE)
		adv_failed(l, "no answer");
	else if (result == ADV_TOLD)
		adv_told(l, rows);
	else
		adv_failed(l, adv_results[result]);
	if (end == UPS_WHOLE &&
	    (result == ADV_TURNED_DOWN || result == ADV_UNREADABLE))
		adv_turned_down(l->adv, &l->ask, tmr_now(l->config.tmr));
	g_ptr_array_free(rows, TRUE);
	adv_call_over(l);
	if (result == ADV_TOLD)
		l->ops->changed(l->arg);
}

/* Takes a good answer in. */
static void adv_told(struct adv_line *l, const GPtrArray *rows)
{
	int64_t now = tmr_now(l->config.tmr);

	l->stats.approved += rows->len;
	l->retry_ms = 0;
	l->not_before = 0;
	cnt_time_ms(&l->stats.answers, now - l->sent_ms);
	adv_answered(l->adv, &l->ask, rows, l->sent_ms, now);
	msg_job(MSG_ADV_TOLD, l->ask.step.id,
		"job=%s turn=%u step=%u named=%u approved=%u took_ms=%" PRId64
		" valid_ms=%" PRId64,
		l->ask.step.id, l->ask.step.turn, l->ask.step.step,
		l->ask.workers->len, rows->len, now - l->sent_ms,
		l->ask.valid_ms);
}

/* No good answer: the next call waits. */
static void adv_failed(struct adv_line *l, const char *why)
{
	int64_t now = tmr_now(l->config.tmr);

	l->stats.failed++;
	l->retry_ms = l->retry_ms ? MIN(2 * l->retry_ms, ADV_RETRY_MAX_MS)
				  : ADV_RETRY_MIN_MS;
	l->not_before = now + l->retry_ms;
	adv_wake_at(l, l->not_before);
	msg(MSG_ADV_FAILED,
	    "job=%s turn=%u step=%u named=%u why=\"%s\" took_ms=%" PRId64
	    " again_ms=%" PRId64,
	    l->ask.step.id, l->ask.step.turn, l->ask.step.step,
	    l->ask.workers->len, why, now - l->sent_ms, l->retry_ms);
}

/* Frees what the call held. */
static void adv_call_over(struct adv_line *l)
{
	l->call = NULL;
	evbuffer_free(l->body);
	l->body = NULL;
	adv_ask_clear(&l->ask);
}

/* Has the owner look again at that time. */
static void adv_wake_at(struct adv_line *l, int64_t at)
{
	int64_t now = tmr_now(l->config.tmr);

	if (!l->wake)
		l->wake = tmr_once(l->config.tmr, MAX(0, at - now), adv_on_wake,
				   l);
}

/* The time to look again has come. */
static void adv_on_wake(void *arg, int64_t now)
{
	struct adv_line *l = arg;

	l->wake = 0;
	l->ops->look(l->arg);
}
