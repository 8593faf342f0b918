#include "ent_int.h"

#include "hdr.h"
#include "msg.h"

static void ent_reply_too_large(struct ent_req *q);

/* Appends a header to a list; the strings must outlive the list. */
void ent_add_header(GArray *out, const char *name, const char *value)
{
	struct ups_header h = {(char *)name, (char *)value};

	g_array_append_val(out, h);
}

/*
 * Returns the headers to forward: all but hop-by-hop headers and this project's
 * own.
 */
GArray *ent_forwarded_headers(const struct ups_header *in, size_t n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	size_t i;

	for (i = 0; i < n; i++)
		if (!hdr_is_hop(in[i].name) && !hdr_is_ours(in[i].name))
			g_array_append_val(out, in[i]);
	return out;
}

/*
 * Answers an HTTP/1.0 caller whose request ran and whose answer came in parts:
 * the caller could not tell the parts from a truncated answer.
 */
static void ent_reply_too_large(struct ent_req *q)
{
	const struct ups_header headers[] = {
		{(char *)HDR_REQUEST_ID, q->id},
		{(char *)HDR_OUTCOME, (char *)"ran"},
	};
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "ran: answer-too-large-for-http-1.0\n");
	srv_reply(q->srv, 502, headers, G_N_ELEMENTS(headers), body);
	evbuffer_free(body);
}

/* Sends a target's complete answer to the caller and frees the request. */
void ent_reply_answer(struct ent_req *q, const struct ups_answer *a)
{
	GArray *headers;

	q->e->counts[ENT_RAN]++;
	if (q->claim_id)
		ent_key_finish(q, IDM_DONE, a);
	if (q->srv && q->streaming) {
		srv_stream_part(q->srv, a->body);
		srv_stream_end(q->srv);
	} else if (q->srv && q->in_parts) {
		/* The last part would look like the whole answer. */
		ent_reply_too_large(q);
	} else if (q->srv) {
		headers = ent_forwarded_headers(a->headers, a->n_headers);
		ent_add_header(headers, HDR_REQUEST_ID, q->id);
		ent_add_header(headers, HDR_OUTCOME, "ran");
		srv_reply(q->srv, a->status, (void *)headers->data,
			  headers->len, a->body);
		g_array_free(headers, TRUE);
	}
	ent_req_free(q);
}

/*
 * Sends the final answer to a request that was refused or failed, with the time
 * to retry after, and frees the request.
 */
void ent_reply_refusal(struct ent_req *q, const struct ent_refusal *why)
{
	struct ent *e = q->e;
	bool unknown = strcmp(why->outcome, "unknown") == 0;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	struct evbuffer *body = evbuffer_new();
	char retry_after[24];

	e->counts[unknown ? ENT_UNKNOWN : ENT_NOT_RUN]++;
	if (q->claim_id)
		ent_key_finish(q, unknown ? IDM_UNKNOWN : IDM_FREE, NULL);
	msg(MSG_REQ, "id=%s status=%d outcome=%s reason=%s", q->id, why->status,
	    why->outcome, why->reason);
	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	ent_add_header(headers, HDR_OUTCOME, why->outcome);
	ent_add_header(headers, "Content-Type", "text/plain; charset=utf-8");
	/*
	 * In whole seconds and never zero, so that a caller does not retry at
	 * once.
	 */
	g_snprintf(retry_after, sizeof(retry_after), "%u",
		   MAX(1u, (why->retry_after_ms + 999) / 1000));
	if (unknown || why->status == 503)
		ent_add_header(headers, "Retry-After", retry_after);
	evbuffer_add_printf(body, "%s: %s\n", why->outcome, why->reason);
	if (q->srv)
		srv_reply(q->srv, why->status, (void *)headers->data,
			  headers->len, body);
	evbuffer_free(body);
	g_array_free(headers, TRUE);
	ent_req_free(q);
}
