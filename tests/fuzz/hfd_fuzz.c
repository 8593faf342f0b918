#include "fuzz.h"
#include "hfd.h"

/*
 * Passes a stream through the filter in pieces of the given size. Returns the
 * bytes that were passed on, and the last verdict in last.
 */
static GString *feed(struct lstr input, size_t piece, enum hfd_verdict *last)
{
	struct hfd h = {0};
	struct evbuffer *from = evbuffer_new();
	struct evbuffer *to = evbuffer_new();
	GString *out = g_string_new(NULL);
	size_t at = 0;
	size_t n;

	*last = HFD_WAIT;
	while (at < input.len && *last != HFD_MALFORMED &&
	       *last != HFD_HEAD_TOO_LARGE) {
		n = MIN(piece, input.len - at);
		evbuffer_add(from, input.p + at, n);
		at += n;
		do {
			*last = hfd_step(&h, from, to);
			if (h.state == HFD_COMPLETE)
				hfd_next(&h);
		} while (*last == HFD_PASS);
	}
	n = evbuffer_get_length(to);
	g_string_append_len(out, (const char *)evbuffer_pullup(to, -1),
			    (gssize)n);
	evbuffer_free(from);
	evbuffer_free(to);
	return out;
}

/*
 * Guards against output that depends on how the stream was divided into
 * packets, as a head that is passed on before its end would.
 */
static void check_input(struct lstr input)
{
	enum hfd_verdict verdict_whole;
	enum hfd_verdict verdict_1;
	enum hfd_verdict verdict_7;
	GString *whole = feed(input, input.len ? input.len : 1, &verdict_whole);
	GString *pieces_1 = feed(input, 1, &verdict_1);
	GString *pieces_7 = feed(input, 7, &verdict_7);

	g_assert_true(g_string_equal(pieces_1, pieces_7));
	g_assert_cmpint(verdict_1, ==, verdict_7);
	/* A head that is too large is detected earlier in small pieces. */
	if (verdict_1 != HFD_HEAD_TOO_LARGE &&
	    verdict_whole != HFD_HEAD_TOO_LARGE)
		g_assert_true(g_string_equal(whole, pieces_1));
	g_string_free(whole, TRUE);
	g_string_free(pieces_1, TRUE);
	g_string_free(pieces_7, TRUE);
}

FUZZ_MAIN("hfd", check_input, 5000)
