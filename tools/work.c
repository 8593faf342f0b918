#include "work.h"

#include <string.h>

/* FNV-1a, 64 bits. */
uint64_t work_sum(struct lstr s)
{
	uint64_t h = 14695981039346656037ULL;
	size_t i;

	for (i = 0; i < s.len; i++) {
		h ^= (uint8_t)s.p[i];
		h *= 1099511628211ULL;
	}
	return h;
}

/* Appends to out the answer to request id, of size bytes where that holds. */
void work_make(GString *out, const char *id, uint64_t digest, size_t size)
{
	size_t from = out->len;
	size_t len;
	struct lstr whole;

	g_string_append_printf(
		out, "run=%.64s body=%016" G_GINT64_MODIFIER "x\n", id, digest);
	len = out->len - from + WORK_SUM_LEN;
	if (len < size) {
		size_t at = out->len;

		g_string_set_size(out, at + size - len);
		memset(out->str + at, 'e', size - len);
	}
	whole = lstr_n(out->str + from, out->len - from);
	g_string_append_printf(out, "%016" G_GINT64_MODIFIER "x",
			       work_sum(whole));
}

/*
 * Judges an answer to request id whose body had this digest. The length that
 * a header stated is not trusted: only the checksum at the end tells that the
 * answer is whole.
 */
enum work_verdict work_check(struct lstr body, const char *id, uint64_t digest)
{
	char want[WORK_HEAD_MAX];
	struct lstr head;
	struct lstr tail;
	struct lstr rest;

	if (body.len < WORK_SUM_LEN)
		return WORK_CUT;
	tail = lstr_n(body.p + body.len - WORK_SUM_LEN, WORK_SUM_LEN);
	rest = lstr_n(body.p, body.len - WORK_SUM_LEN);
	g_snprintf(want, sizeof(want), "%016" G_GINT64_MODIFIER "x",
		   work_sum(rest));
	if (!lstr_eq(tail, lstr_from(want)))
		return WORK_CUT;
	g_snprintf(want, sizeof(want),
		   "run=%.64s body=%016" G_GINT64_MODIFIER "x", id, digest);
	lstr_cut(rest, '\n', &head, &rest);
	return lstr_eq(head, lstr_from(want)) ? WORK_WHOLE : WORK_SWAPPED;
}
