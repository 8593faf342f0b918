#include "ent_int.h"

#include "hdr.h"
#include "msg.h"

/* Verdicts fetched from the admission control in one call. */
#define ENT_VERDICT_BATCH 64

/*
 * Connect timeout, ms. Zones are about a millisecond apart, and the request can
 * safely be placed on another target, as no byte of it was sent.
 */
#define ENT_CONNECT_TIMEOUT_MS 250

/*
 * Retry time for callers refused because all of this daemon's connections to
 * targets were in use, ms.
 */
#define ENT_NO_CONNECTION_RETRY_MS 1000

static void ent_request(void *arg, struct srv_req *srv);
static void ent_caller_left(void *arg, struct srv_req *srv);
static void ent_caller_writable(void *arg, struct srv_req *srv);
static void ent_call_start(void *arg, const struct ups_answer *a);
static bool ent_call_part(void *arg, const struct ups_answer *a);
static void ent_call_end(void *arg, enum ups_end end,
			 const struct ups_answer *a);
static void ent_call_no_connection(struct ent_req *q);
static void ent_apply_verdict(struct ent_req *q, const struct adm_verdict *v);
static void ent_refuse(struct ent_req *q, const struct adm_verdict *v,
		       int status);
static void ent_attempt_failed(struct ent_req *q, const struct adm_result *res);
static void ent_poll_due(void *arg, int64_t now);

const struct srv_ops ent_caller_ops = {
	.request = ent_request,
	.disconnected = ent_caller_left,
	.writable = ent_caller_writable,
};

static const struct ups_ops ent_call_ops = {
	.start = ent_call_start,
	.part = ent_call_part,
	.end = ent_call_end,
};

/* Supported methods; idempotent ones may be retried (RFC 9110, 9.2.2). */
static const struct {
	const char *name;
	enum evhttp_cmd_type method;
	bool idempotent;
} ent_methods[] = {
	{"GET", EVHTTP_REQ_GET, true},
	{"HEAD", EVHTTP_REQ_HEAD, true},
	{"POST", EVHTTP_REQ_POST, false},
	{"PUT", EVHTTP_REQ_PUT, true},
	{"DELETE", EVHTTP_REQ_DELETE, true},
	{"OPTIONS", EVHTTP_REQ_OPTIONS, true},
	{"PATCH", EVHTTP_REQ_PATCH, false},
};

static int ent_method(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ent_methods); i++)
		if (strcmp(ent_methods[i].name, name) == 0)
			return (int)i;
	return -1;
}

static struct lstr ent_service(const char *path)
{
	struct lstr s = lstr_from(path);
	struct lstr head;
	struct lstr tail;

	if (s.len && s.p[0] == '/')
		s = lstr_n(s.p + 1, s.len - 1);
	lstr_cut(s, '/', &head, &tail);
	return head;
}

static int64_t ent_deadline(const struct srv_req *srv,
			    const struct ent_pool *pool)
{
	const char *text = srv_header(srv, HDR_DEADLINE);
	unsigned long long ms;

	/* No caller may use a slot for longer than the pool allows. */
	if (text && lstr_u64(lstr_from(text), &ms) && ms > 0 &&
	    ms < (unsigned long long)pool->deadline_ms)
		return (int64_t)ms;
	return pool->deadline_ms;
}

static enum adm_class ent_class(const struct srv_req *srv)
{
	const char *text = srv_header(srv, HDR_PRIORITY);

	if (text && strcmp(text, "urgent") == 0)
		return ADM_URGENT;
	if (text && strcmp(text, "batch") == 0)
		return ADM_BATCH;
	return ADM_NORMAL;
}

static void ent_request(void *arg, struct srv_req *srv)
{
	struct ent *e = arg;
	struct srv_req_info info = srv_info(srv);
	int method_index = ent_method(info.method);
	const struct fvw_pool *view_pool;
	struct ent_req *q;

	if (strcmp(info.path, "/endive/key") == 0) {
		ent_key_issue(e, srv);
		return;
	}
	e->counts[ENT_REQUESTS]++;
	q = g_new0(struct ent_req, 1);
	q->e = e;
	q->srv = srv;
	g_snprintf(q->id, sizeof(q->id), "%s-%" G_GUINT64_FORMAT,
		   e->config.node, ++e->next_request);
	srv_set_user(srv, q);
	g_ptr_array_add(e->requests, q);
	if (method_index < 0) {
		ent_reply_refusal(q, &(struct ent_refusal){501, "not-run",
							   "method", 0});
		return;
	}
	q->method = ent_methods[method_index].method;
	q->repeatable = ent_methods[method_index].idempotent;
	if (!e->view) {
		ent_reply_refusal(q, &(struct ent_refusal){503, "not-run",
							   "no-configuration",
							   1000});
		return;
	}
	q->pool = ent_pool_of_service(e, ent_service(info.path), &view_pool);
	if (!q->pool) {
		ent_reply_refusal(q,
				  &(struct ent_refusal){404, "not-run",
							"unknown-service", 0});
		return;
	}
	if ((int64_t)evbuffer_get_length(srv_body(srv)) > view_pool->max_body) {
		ent_reply_refusal(q,
				  &(struct ent_refusal){413, "not-run",
							"body-too-large", 0});
		return;
	}
	if (srv_header(srv, HDR_HOP))
		e->counts[ENT_SHIFTED_IN]++;
	q->deadline_ms = tmr_now(e->tmr) + ent_deadline(srv, q->pool);
	if (ent_key_required(q))
		ent_key_claim(q);
	else
		ent_request_admission(q);
}

/* Passes a request to the admission control and applies its verdict. */
void ent_request_admission(struct ent_req *q)
{
	struct ent *e = q->e;
	const char *caller = srv_header(q->srv, HDR_CALLER);
	struct adm_verdict v;

	v = adm_offer(
		e->adm, ent_now_us(e),
		&(struct adm_request){
			.pool = q->pool->id,
			.caller = lstr_from(caller ? caller
						   : srv_info(q->srv).peer_ip),
			.class = ent_class(q->srv),
			.deadline_us = q->deadline_ms * ENT_US_PER_MS,
			.repeatable = q->repeatable,
			/*
			 * A request whose key was claimed here must run in this
			 * zone.
			 */
			.shifted = srv_header(q->srv, HDR_HOP) && !q->claim_id,
		},
		q);
	ent_apply_verdict(q, &v);
	ent_poll_admission(e);
}

/* Applies the admission control's verdict on a request. */
static void ent_apply_verdict(struct ent_req *q, const struct adm_verdict *v)
{
	struct ent *e = q->e;
	const struct tgt *t;
	const char *addr;

	q->ticket = v->ticket;
	q->target = 0;
	switch (v->kind) {
	case ADM_RUN:
		t = tgt_by_id(e->targets, v->target);
		q->target = v->target;
		ent_send(q, t->info.addr, false);
		break;
	case ADM_QUEUED:
		break;
	case ADM_SHIFT:
		addr = ent_zone_addr(e, v->zone);
		if (!addr) {
			ent_attempt_failed(
				q,
				&(struct adm_result){.outcome = ADM_DONE_UNSENT,
						     .busy = -1});
			break;
		}
		e->counts[ENT_SHIFTED_OUT]++;
		ent_send(q, addr, true);
		break;
	case ADM_REFUSE:
		q->ticket = 0;
		ent_refuse(q, v, 503);
		break;
	}
}

/*
 * Refuses a request with the final answer. Says "not-run" only if no byte of
 * any attempt reached a target: otherwise a caller that sends the request again
 * would have it run twice.
 */
static void ent_refuse(struct ent_req *q, const struct adm_verdict *v,
		       int status)
{
	ent_reply_refusal(
		q, &(struct ent_refusal){
			   status, q->may_have_run ? "unknown" : "not-run",
			   adm_reason_name(v->reason), v->retry_after_ms});
}

/*
 * Starts queued requests that can start now and refuses those that waited too
 * long.
 */
void ent_poll_admission(struct ent *e)
{
	struct adm_verdict v[ENT_VERDICT_BATCH];
	int64_t next = ADM_NEVER;
	int64_t now;
	size_t n;
	size_t i;

	do {
		now = ent_now_us(e);
		n = adm_poll(e->adm, now, v, ENT_VERDICT_BATCH, &next);
		for (i = 0; i < n; i++)
			ent_apply_verdict(v[i].user, &v[i]);
	} while (n == ENT_VERDICT_BATCH);
	tmr_cancel(e->tmr, e->poll_timer);
	e->poll_timer = 0;
	if (next != ADM_NEVER)
		e->poll_timer = tmr_once(e->tmr,
					 MAX(1, (next - now + ENT_US_PER_MS -
						 1) / ENT_US_PER_MS),
					 ent_poll_due, e);
}

static void ent_poll_due(void *arg, int64_t now)
{
	struct ent *e = arg;

	e->poll_timer = 0;
	ent_poll_admission(e);
}

/* Sends a request to a target, or (hop) to another zone's entry daemon. */
void ent_send(struct ent_req *q, const char *addr, bool hop)
{
	struct ent *e = q->e;
	GArray *received = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	struct srv_req_info info = srv_info(q->srv);
	int64_t remaining_ms = q->deadline_ms - tmr_now(e->tmr);
	char ms[24];
	GArray *headers;

	srv_headers(q->srv, received);
	headers = ent_forwarded_headers((void *)received->data, received->len);
	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT, MAX(remaining_ms, 1));
	if (hop) {
		ent_add_header(headers, HDR_HOP, e->config.zone);
		ent_add_header(headers, HDR_DEADLINE, ms);
	}
	q->sent_us = ent_now_us(e);
	q->call = ups_start(e->ups,
			    &(struct ups_request){
				    .addr = addr,
				    .method = q->method,
				    .uri = info.uri,
				    .headers = (void *)headers->data,
				    .n_headers = headers->len,
				    .body = srv_body(q->srv),
				    .timeout_ms = MAX(remaining_ms, 1),
				    .connect_ms = MIN(MAX(remaining_ms, 1),
						      ENT_CONNECT_TIMEOUT_MS),
				    .max_answer = q->pool->max_answer,
			    },
			    &ent_call_ops, q);
	g_array_free(headers, TRUE);
	g_array_free(received, TRUE);
}

static void ent_call_start(void *arg, const struct ups_answer *a)
{
	struct ent_req *q = arg;
	GArray *headers = ent_forwarded_headers(a->headers, a->n_headers);

	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	ent_add_header(headers, HDR_OUTCOME, "ran");
	q->in_parts = true;
	q->streaming =
		q->srv && srv_stream_start(q->srv, a->status,
					   (void *)headers->data, headers->len);
	g_array_free(headers, TRUE);
}

static bool ent_call_part(void *arg, const struct ups_answer *a)
{
	struct ent_req *q = arg;

	if (q->streaming && q->srv)
		return srv_stream_part(q->srv, a->body);
	/*
	 * The caller has disconnected or can't receive parts: keep reading, so
	 * that the connection to the target can be reused.
	 */
	evbuffer_drain(a->body, evbuffer_get_length(a->body));
	return true;
}

static enum adm_outcome ent_outcome(enum ups_end end,
				    const struct ups_answer *a)
{
	static const enum adm_outcome failed[] = {
		[UPS_NOT_SENT] = ADM_DONE_UNSENT,
		[UPS_TRUNCATED] = ADM_DONE_FAILED,
		[UPS_MALFORMED] = ADM_DONE_FAILED,
		[UPS_TIMEOUT] = ADM_DONE_TIMEOUT,
	};
	const char *outcome;

	if (end != UPS_WHOLE)
		return failed[end];
	outcome = ups_header_find(a, HDR_OUTCOME);
	if (a->status == 503 && outcome && strcmp(outcome, "not-run") == 0)
		return ADM_DONE_BUSY;
	return a->status >= 500 ? ADM_DONE_FAILED : ADM_DONE_OK;
}

static void ent_call_end(void *arg, enum ups_end end,
			 const struct ups_answer *a)
{
	struct ent_req *q = arg;
	struct ent *e = q->e;
	const char *busy = ups_header_find(a, HDR_BUSY);
	unsigned long long n;
	struct adm_result res = {
		.outcome = ent_outcome(end, a),
		.service_us = ent_now_us(e) - q->sent_us,
		.busy = -1,
	};

	q->call = NULL;
	if (q->forwarded) {
		ent_key_forward_end(q, end, a);
		return;
	}
	if (end == UPS_NO_CONNECTION) {
		ent_call_no_connection(q);
		return;
	}
	if (res.outcome == ADM_DONE_FAILED || res.outcome == ADM_DONE_TIMEOUT)
		q->may_have_run = true;
	if (busy && lstr_u64(lstr_from(busy), &n) && n < G_MAXINT)
		res.busy = (int)n;
	if (!q->srv || q->streaming || res.outcome == ADM_DONE_OK ||
	    (end == UPS_WHOLE && res.outcome == ADM_DONE_FAILED &&
	     !q->repeatable)) {
		adm_done(e->adm, ent_now_us(e), q->ticket, &res);
		q->ticket = 0;
		if (end == UPS_WHOLE)
			ent_reply_answer(q, a);
		else if (q->srv && q->streaming) {
			e->counts[ENT_TRUNCATED]++;
			srv_abort(q->srv);
			ent_req_free(q);
		} else
			ent_req_free(q);
		ent_poll_admission(e);
		return;
	}
	if (end == UPS_WHOLE && res.outcome == ADM_DONE_FAILED) {
		/*
		 * A complete answer that reports the target's failure is better
		 * than none.
		 */
		struct adm_verdict v =
			adm_retry(e->adm, ent_now_us(e), q->ticket, &res);

		if (v.kind == ADM_REFUSE) {
			q->ticket = 0;
			ent_reply_answer(q, a);
		} else {
			e->counts[ENT_RETRIES]++;
			ent_apply_verdict(q, &v);
		}
	} else {
		ent_attempt_failed(q, &res);
	}
	ent_poll_admission(e);
}

/*
 * Handles an attempt that found no free connection to a target. No target is at
 * fault, and no other could be reached either; whether an earlier attempt ran
 * stays unknown.
 */
static void ent_call_no_connection(struct ent_req *q)
{
	struct ent *e = q->e;

	adm_done(e->adm, ent_now_us(e), q->ticket,
		 &(struct adm_result){.outcome = ADM_DONE_CANCELLED,
				      .busy = -1});
	q->ticket = 0;
	if (q->srv)
		ent_reply_refusal(
			q, &(struct ent_refusal){q->may_have_run ? 502 : 503,
						 q->may_have_run ? "unknown"
								 : "not-run",
						 "no-connection",
						 ENT_NO_CONNECTION_RETRY_MS});
	else
		ent_req_free(q);
	ent_poll_admission(e);
}

/*
 * Handles an attempt without a usable answer. The admission control decides
 * whether and where to retry; if it does not, the caller gets the final answer.
 */
static void ent_attempt_failed(struct ent_req *q, const struct adm_result *res)
{
	struct ent *e = q->e;
	struct adm_verdict v = adm_retry(e->adm, ent_now_us(e), q->ticket, res);

	if (v.kind != ADM_REFUSE) {
		e->counts[ENT_RETRIES]++;
		ent_apply_verdict(q, &v);
		return;
	}
	q->ticket = 0;
	if (!q->may_have_run)
		ent_refuse(q, &v, 503);
	else
		ent_refuse(q, &v, res->outcome == ADM_DONE_TIMEOUT ? 504 : 502);
}

/*
 * Handles a caller that disconnected. A queued or repeatable request is
 * cancelled; another one runs to its end, since it can't be known how much of
 * it was done.
 */
static void ent_caller_left(void *arg, struct srv_req *srv)
{
	struct ent *e = arg;
	struct ent_req *q = srv_user(srv);

	q->srv = NULL;
	e->counts[ENT_CALLER_LEFT]++;
	if (q->call && !q->repeatable)
		return;
	if (q->call) {
		ups_cancel(q->call);
		q->may_have_run = true;
		adm_done(e->adm, ent_now_us(e), q->ticket,
			 &(struct adm_result){.outcome = ADM_DONE_CANCELLED,
					      .busy = -1});
	} else if (q->ticket) {
		adm_cancel(e->adm, ent_now_us(e), q->ticket);
	}
	ent_req_free(q);
}

static void ent_caller_writable(void *arg, struct srv_req *srv)
{
	struct ent_req *q = srv_user(srv);

	if (q->call)
		ups_resume(q->call);
}

/* Frees a request and finishes its key's claim. */
void ent_req_free(struct ent_req *q)
{
	if (q->claim_id)
		ent_key_finish(q, q->may_have_run ? IDM_UNKNOWN : IDM_FREE,
			       NULL);
	tmr_cancel(q->e->tmr, q->claim_timer);
	g_ptr_array_remove_fast(q->e->requests, q);
	g_free(q);
}
