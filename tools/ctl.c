#include "ctl.h"

#include <errno.h>
#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>

#include "addr.h"

/* Listens on IP:PORT; where that fails, says so on standard error. */
bool ctl_bind(evhtp_t *htp, const char *program, const char *addr)
{
	uint16_t port;
	char *ip = addr_split(addr, &port);
	bool ok = evhtp_bind_socket(htp, ip, port, CTL_BACKLOG) == 0;

	if (!ok)
		fprintf(stderr, "%s: listen on %s: %s\n", program, addr,
			g_strerror(errno));
	g_free(ip);
	return ok;
}

/* Answers with a text. */
void ctl_reply(evhtp_request_t *req, evhtp_res code, const char *text)
{
	evbuffer_add_printf(req->buffer_out, "%s", text);
	evhtp_send_reply(req, code);
}

/* The form in a request's body; NULL: none. */
static evhtp_query_t *ctl_form(evhtp_request_t *req)
{
	size_t len = evbuffer_get_length(req->buffer_in);

	if (len == 0)
		return NULL;
	return evhtp_parse_query(
		(const char *)evbuffer_pullup(req->buffer_in, -1), len);
}

/*
 * Gives the form in a request's body to fn and answers 200, or 400 with what
 * is allowed where there is no form or fn does not take it.
 */
void ctl_change(evhtp_request_t *req, bool (*fn)(void *, evhtp_query_t *),
		void *arg, const char *allowed)
{
	evhtp_query_t *form = ctl_form(req);
	bool ok = form && fn(arg, form);

	if (form)
		evhtp_kvs_free(form);
	ctl_reply(req, ok ? EVHTP_RES_OK : EVHTP_RES_BADREQ,
		  ok ? "ok\n" : allowed);
}

/* The place of word in words, or -1. */
int ctl_word(const char *const *words, int n, const char *word)
{
	int i;

	for (i = 0; i < n; i++)
		if (strcmp(word, words[i]) == 0)
			return i;
	return -1;
}
