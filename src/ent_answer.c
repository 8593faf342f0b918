#include "ent_int.h"

#include "hdr.h"
#include "msg.h"

static void ent_too_large(struct ent_req *q);

/* Adds a header to a list; the strings must outlive it. */
void ent_add_header(GArray *out, const char *name, const char *value)
{
	struct ups_header h = {(char *)name, (char *)value};

	g_array_append_val(out, h);
}

/* Headers that go on from one side to the other. */
GArray *ent_pass_headers(const struct ups_header *in, size_t n)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	size_t i;

	for (i = 0; i < n; i++)
		if (!hdr_is_hop(in[i].name) && !hdr_is_ours(in[i].name))
			g_array_append_val(out, in[i]);
	return out;
}

/* It ran; an HTTP/1.0 caller could not tell its parts from a cut answer. */
static void ent_too_large(struct ent_req *q)
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

/* Gives the caller a target's whole answer. */
void ent_deliver(struct ent_req *q, const struct ups_answer *a)
{
	GArray *headers;

	q->e->counts[ENT_RAN]++;
	if (q->ask)
		ent_key_end(q, IDM_DONE, a);
	if (q->srv && q->streaming) {
		srv_part(q->srv, a->body);
		srv_part_end(q->srv);
	} else if (q->srv && q->passed_on) {
		/* What is left of it would look like the whole answer. */
		ent_too_large(q);
	} else if (q->srv) {
		headers = ent_pass_headers(a->headers, a->n_headers);
		ent_add_header(headers, HDR_REQUEST_ID, q->id);
		ent_add_header(headers, HDR_OUTCOME, "ran");
		srv_reply(q->srv, a->status, (void *)headers->data,
			  headers->len, a->body);
		g_array_free(headers, TRUE);
	}
	ent_req_free(q);
}

/*
 * Gives the caller the final answer to a request that was given up, with when
 * to come back.
 */
void ent_give_up(struct ent_req *q, const struct ent_refusal *why)
{
	struct ent *e = q->e;
	bool unknown = strcmp(why->outcome, "unknown") == 0;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ups_header));
	struct evbuffer *body = evbuffer_new();
	char after[24];

	e->counts[unknown ? ENT_UNKNOWN : ENT_NOT_RUN]++;
	if (q->ask)
		ent_key_end(q, unknown ? IDM_UNKNOWN : IDM_FREE, NULL);
	msg(MSG_REQ, "id=%s status=%d outcome=%s reason=%s", q->id, why->status,
	    why->outcome, why->reason);
	ent_add_header(headers, HDR_REQUEST_ID, q->id);
	ent_add_header(headers, HDR_OUTCOME, why->outcome);
	ent_add_header(headers, "Content-Type", "text/plain; charset=utf-8");
	/* Whole seconds, never zero: a caller must not come back at once. */
	g_snprintf(after, sizeof(after), "%u",
		   MAX(1u, (why->retry_after_ms + 999) / 1000));
	if (unknown || why->status == 503)
		ent_add_header(headers, "Retry-After", after);
	evbuffer_add_printf(body, "%s: %s\n", why->outcome, why->reason);
	if (q->srv)
		srv_reply(q->srv, why->status, (void *)headers->data,
			  headers->len, body);
	evbuffer_free(body);
	g_array_free(headers, TRUE);
	ent_req_free(q);
}
