#ifndef CTL_H
#define CTL_H

#include <evhtp.h>
#include <glib.h>
#include <stdbool.h>

/* Control ports of the stand-ins: small HTTP servers for tests and scripts. */

#define CTL_BACKLOG 1024

bool ctl_bind(evhtp_t *htp, const char *program, const char *addr);
void ctl_reply(evhtp_request_t *req, evhtp_res code, const char *text);
void ctl_change(evhtp_request_t *req, bool (*fn)(void *, evhtp_query_t *),
		void *arg, const char *allowed);
int ctl_word(const char *const *words, int n, const char *word);

#endif
