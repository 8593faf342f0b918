#include "hfd.h"

#include <glib.h>
#include <string.h>

#include "hdr.h"
#include "lstr.h"

/* Largest request head, bytes; a larger one is refused while it arrives. */
#define HFD_HEAD_MAX (24u << 10)
/* Longest line in a chunked body (chunk size, extension, trailer), bytes. */
#define HFD_LINE_MAX 256
/* Bytes of all fields after the last chunk of a body. */
#define HFD_TRAILERS_MAX (8u << 10)
/* Most hex digits of a chunk size, enough for any body that is allowed. */
#define HFD_CHUNK_SIZE_DIGITS 15

typedef enum hfd_verdict (*hfd_state_fn)(struct hfd *h, struct evbuffer *from,
					 struct evbuffer *to);

static enum hfd_verdict hfd_pass_head(struct hfd *h, struct evbuffer *from,
				      struct evbuffer *to);
static enum hfd_verdict hfd_pass_body(struct hfd *h, struct evbuffer *from,
				      struct evbuffer *to);
static enum hfd_verdict
hfd_pass_chunk_size(struct hfd *h, struct evbuffer *from, struct evbuffer *to);
static enum hfd_verdict hfd_pass_trailer(struct hfd *h, struct evbuffer *from,
					 struct evbuffer *to);
static enum hfd_verdict hfd_pass_nothing(struct hfd *h, struct evbuffer *from,
					 struct evbuffer *to);
static bool hfd_is_head_valid(const char *p, size_t len);
static void hfd_read_framing(struct hfd *h, const char *p, size_t len);
static void hfd_read_field(struct hdr_framing *f, struct lstr line);
static bool hfd_parse_chunk_size(const char *line, size_t len, uint64_t *out);
static char *hfd_read_line(struct evbuffer *from, size_t *len,
			   enum hfd_verdict *verdict);
static void hfd_pass_bytes(struct evbuffer *from, struct evbuffer *to,
			   size_t n);

static const hfd_state_fn hfd_state_fns[] = {
	[HFD_HEAD] = hfd_pass_head,
	[HFD_FIXED_BODY] = hfd_pass_body,
	[HFD_CHUNK_SIZE] = hfd_pass_chunk_size,
	[HFD_CHUNK_DATA] = hfd_pass_body,
	[HFD_TRAILER] = hfd_pass_trailer,
	[HFD_COMPLETE] = hfd_pass_nothing,
	[HFD_CLOSED] = hfd_pass_nothing,
};

/*
 * Passes bytes from the connection's buffer from to the library's buffer to, as
 * far as possible in the current state. To be called until it returns a value
 * other than HFD_PASS.
 */
enum hfd_verdict hfd_step(struct hfd *h, struct evbuffer *from,
			  struct evbuffer *to)
{
	enum hfd_verdict v;

	if (!evbuffer_get_length(from))
		return HFD_WAIT;
	v = hfd_state_fns[h->state](h, from, to);
	if (v == HFD_MALFORMED || v == HFD_HEAD_TOO_LARGE)
		h->state = HFD_CLOSED;
	return v;
}

/* Allows the next request, once the one that was passed on is answered. */
void hfd_next(struct hfd *h)
{
	if (h->state == HFD_COMPLETE)
		h->state = HFD_HEAD;
}

/* Passes on a request head if it is complete and valid. */
static enum hfd_verdict hfd_pass_head(struct hfd *h, struct evbuffer *from,
				      struct evbuffer *to)
{
	struct evbuffer_ptr end;
	const char *p;
	size_t len;

	/* RFC 9112 requires to ignore empty lines before a request. */
	while (evbuffer_get_length(from) >= 2 &&
	       memcmp(evbuffer_pullup(from, 2), "\r\n", 2) == 0)
		evbuffer_drain(from, 2);
	end = evbuffer_search(from, "\r\n\r\n", 4, NULL);
	if (end.pos < 0) {
		len = evbuffer_get_length(from);
		if (evbuffer_search(from, "\n\n", 2, NULL).pos >= 0)
			return HFD_MALFORMED;
		return len > HFD_HEAD_MAX ? HFD_HEAD_TOO_LARGE : HFD_WAIT;
	}
	len = (size_t)end.pos + 4;
	if (len > HFD_HEAD_MAX)
		return HFD_HEAD_TOO_LARGE;
	p = (const char *)evbuffer_pullup(from, (ev_ssize_t)len);
	if (!hfd_is_head_valid(p, len))
		return HFD_MALFORMED;
	hfd_read_framing(h, p, len);
	hfd_pass_bytes(from, to, len);
	return HFD_PASS;
}

/* Passes on bytes of a body of known length or of a chunk. */
static enum hfd_verdict hfd_pass_body(struct hfd *h, struct evbuffer *from,
				      struct evbuffer *to)
{
	size_t n = MIN(evbuffer_get_length(from), h->remaining);

	hfd_pass_bytes(from, to, n);
	h->remaining -= n;
	if (h->remaining == 0)
		h->state = h->state == HFD_CHUNK_DATA ? HFD_CHUNK_SIZE
						      : HFD_COMPLETE;
	return HFD_PASS;
}

/*
 * Passes on the size of a chunk without its extensions, which libevhtp takes
 * for an error (RFC 9112 requires to ignore them).
 */
static enum hfd_verdict
hfd_pass_chunk_size(struct hfd *h, struct evbuffer *from, struct evbuffer *to)
{
	enum hfd_verdict verdict;
	uint64_t size;
	size_t len;
	char *line = hfd_read_line(from, &len, &verdict);
	bool valid;

	if (!line)
		return verdict;
	valid = hfd_parse_chunk_size(line, len, &size);
	g_free(line);
	if (!valid)
		return HFD_MALFORMED;
	evbuffer_add_printf(to, "%" G_GINT64_MODIFIER "x\r\n", size);
	h->state = size ? HFD_CHUNK_DATA : HFD_TRAILER;
	h->remaining = size + 2;
	return HFD_PASS;
}

/*
 * Drops the fields after the last chunk and passes on the empty line that ends
 * the request. libevhtp reports such a field as a header without a value, which
 * ended a process that read it.
 */
static enum hfd_verdict hfd_pass_trailer(struct hfd *h, struct evbuffer *from,
					 struct evbuffer *to)
{
	enum hfd_verdict verdict;
	size_t len;
	char *line;

	while ((line = hfd_read_line(from, &len, &verdict))) {
		g_free(line);
		h->trailer_bytes += len + 2;
		if (h->trailer_bytes > HFD_TRAILERS_MAX)
			return HFD_HEAD_TOO_LARGE;
		if (len)
			continue;
		evbuffer_add(to, "\r\n", 2);
		h->state = HFD_COMPLETE;
		return HFD_PASS;
	}
	return verdict;
}

/* Passes nothing on: the request is complete, or the connection is closed. */
static enum hfd_verdict hfd_pass_nothing(struct hfd *h, struct evbuffer *from,
					 struct evbuffer *to)
{
	return HFD_WAIT;
}

/*
 * Whether a head is free of bytes that parsers may interpret differently: CR or
 * LF outside of CR LF, and control characters such as NUL.
 */
static bool hfd_is_head_valid(const char *p, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		unsigned char c = (unsigned char)p[i];

		if (c == '\r' && (i + 1 == len || p[i + 1] != '\n'))
			return false;
		if (c == '\n' && (i == 0 || p[i - 1] != '\r'))
			return false;
		if ((c < ' ' && c != '\t' && c != '\r' && c != '\n') ||
		    c == 0x7f)
			return false;
	}
	return true;
}

/*
 * Determines from a head how its body is framed. A head with invalid or
 * contradictory framing (request smuggling) is passed on without a body, so
 * that the request is refused and the bytes after it are ignored.
 */
static void hfd_read_framing(struct hfd *h, const char *p, size_t len)
{
	struct hdr_framing f = {0};
	struct lstr rest = lstr_n(p, len - 2);
	struct lstr line;
	bool is_request_line = true;

	while (rest.len) {
		lstr_cut(rest, '\n', &line, &rest);
		if (!is_request_line)
			hfd_read_field(&f, lstr_trim(line));
		is_request_line = false;
	}
	h->remaining = f.length;
	h->trailer_bytes = 0;
	if (f.bad)
		h->state = HFD_CLOSED;
	else if (f.chunked)
		h->state = HFD_CHUNK_SIZE;
	else
		h->state = f.has_length && f.length ? HFD_FIXED_BODY
						    : HFD_COMPLETE;
}

/* Reads a header field that may determine the framing of the body. */
static void hfd_read_field(struct hdr_framing *f, struct lstr line)
{
	struct lstr name;
	struct lstr value;
	char *name_z;
	char *value_z;

	if (!lstr_cut(line, ':', &name, &value))
		return;
	name_z = lstr_dup(lstr_trim(name));
	value_z = lstr_dup(lstr_trim(value));
	hdr_framing_add(f, name_z, value_z);
	g_free(name_z);
	g_free(value_z);
}

/*
 * Parses the line with a chunk size: hex digits, followed by nothing or by an
 * extension. Returns false if it is malformed or has too many digits.
 */
static bool hfd_parse_chunk_size(const char *line, size_t len, uint64_t *out)
{
	size_t digits = 0;

	*out = 0;
	while (digits < len && g_ascii_isxdigit(line[digits])) {
		*out = *out * 16 + (uint64_t)g_ascii_xdigit_value(line[digits]);
		if (++digits > HFD_CHUNK_SIZE_DIGITS)
			return false;
	}
	return digits > 0 && (digits == len || line[digits] == ';' ||
			      line[digits] == ' ' || line[digits] == '\t');
}

/*
 * Removes the next line from a buffer and returns it without its line end, to
 * be freed by the caller. Returns NULL and sets verdict to HFD_WAIT if the line
 * is incomplete, or to HFD_MALFORMED if it is too long or has a NUL or a bare
 * LF.
 */
static char *hfd_read_line(struct evbuffer *from, size_t *len,
			   enum hfd_verdict *verdict)
{
	struct evbuffer_ptr end = evbuffer_search(from, "\r\n", 2, NULL);
	char *line;

	*verdict = HFD_WAIT;
	if (end.pos < 0 ? evbuffer_get_length(from) > HFD_LINE_MAX
			: end.pos > HFD_LINE_MAX)
		*verdict = HFD_MALFORMED;
	if (end.pos < 0 || *verdict == HFD_MALFORMED)
		return NULL;
	*len = (size_t)end.pos;
	line = g_malloc(*len + 1);
	evbuffer_remove(from, line, *len);
	evbuffer_drain(from, 2);
	line[*len] = '\0';
	if (memchr(line, '\0', *len) || memchr(line, '\n', *len)) {
		*verdict = HFD_MALFORMED;
		g_free(line);
		return NULL;
	}
	return line;
}

/* Passes on the first n bytes of a buffer. */
static void hfd_pass_bytes(struct evbuffer *from, struct evbuffer *to, size_t n)
{
	evbuffer_remove_buffer(from, to, n);
}
