#include "hdr.h"

#include <glib.h>

#include "lstr.h"

/* Headers between two neighbours only (RFC 9110, section 7.6.1). */
static const char *const hdr_hop[] = {
	"Connection", "Keep-Alive", "Proxy-Connection",	 "TE",
	"Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
	"Host",	      "Expect",
};

static const char *const hdr_ours[] = {
	HDR_REQUEST_ID, HDR_OUTCOME, HDR_HOP, HDR_BUSY, HDR_REPLAYED,
};

/*
 * Takes one header into account. Two lengths, a length beside an encoding, or
 * an encoding other than "chunked" make the message bad: two readers would
 * find its end at different places, and one caller's bytes would become
 * another's request or answer.
 */
void hdr_framing_add(struct hdr_framing *f, const char *name, const char *value)
{
	unsigned long long v;

	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		if (f->has_length || f->chunked ||
		    !lstr_u64(lstr_from(value), &v) || v > G_MAXINT64)
			f->bad = true;
		else
			f->length = v;
		f->has_length = true;
	} else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		if (f->has_length || f->chunked ||
		    g_ascii_strcasecmp(value, "chunked") != 0)
			f->bad = true;
		f->chunked = true;
	}
}

/*
 * Whether a name has only the bytes that names may have. "Length :" is a
 * length to one reader and nothing to another.
 */
bool hdr_name_ok(const char *name)
{
	const char *p;

	for (p = name; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("!#$%&'*+-.^_`|~", *p))
			return false;
	return p != name;
}

/* Whether a header concerns one connection only and is not passed on. */
bool hdr_is_hop(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hdr_hop); i++)
		if (g_ascii_strcasecmp(name, hdr_hop[i]) == 0)
			return true;
	return false;
}

/* Whether a header is this system's own: what others say there is dropped. */
bool hdr_is_ours(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hdr_ours); i++)
		if (g_ascii_strcasecmp(name, hdr_ours[i]) == 0)
			return true;
	return false;
}
