#include "lstr.h"

#include <glib.h>

/* View of a NUL-terminated string; NULL gives the empty view. */
struct lstr lstr_from(const char *s)
{
	return (struct lstr){s ? s : "", s ? strlen(s) : 0};
}

/* View of len bytes at p. */
struct lstr lstr_n(const void *p, size_t len)
{
	return (struct lstr){p ? p : "", len};
}

/* Whether both views hold the same bytes. */
bool lstr_eq(struct lstr a, struct lstr b)
{
	return a.len == b.len && memcmp(a.p, b.p, a.len) == 0;
}

/* Byte order, the shorter first where one is the other's prefix. */
int lstr_cmp(struct lstr a, struct lstr b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int c = memcmp(a.p, b.p, n);

	if (c != 0)
		return c;
	return a.len < b.len ? -1 : a.len > b.len;
}

/*
 * Splits s at the first sep. Without one, head is all of s, tail is empty and
 * the result is false.
 */
bool lstr_cut(struct lstr s, char sep, struct lstr *head, struct lstr *tail)
{
	const char *at = s.len ? memchr(s.p, sep, s.len) : NULL;

	if (!at) {
		*head = s;
		*tail = lstr_n(s.p + s.len, 0);
		return false;
	}
	*head = lstr_n(s.p, (size_t)(at - s.p));
	*tail = lstr_n(at + 1, s.len - head->len - 1);
	return true;
}

/* Without leading and trailing ASCII white space. */
struct lstr lstr_trim(struct lstr s)
{
	while (s.len && g_ascii_isspace(s.p[0])) {
		s.p++;
		s.len--;
	}
	while (s.len && g_ascii_isspace(s.p[s.len - 1]))
		s.len--;
	return s;
}

/*
 * Reads an unsigned decimal: digits only, no sign, no blanks, no overflow.
 * False leaves *out alone.
 */
bool lstr_u64(struct lstr s, unsigned long long *out)
{
	unsigned long long v = 0;
	size_t i;

	if (s.len == 0)
		return false;
	for (i = 0; i < s.len; i++) {
		if (!g_ascii_isdigit(s.p[i]))
			return false;
		if (__builtin_mul_overflow(v, 10ULL, &v) ||
		    __builtin_add_overflow(
			    v, (unsigned long long)(s.p[i] - '0'), &v))
			return false;
	}
	*out = v;
	return true;
}

/* A NUL-terminated copy, freed with g_free. */
char *lstr_dup(struct lstr s)
{
	return g_strndup(s.p, s.len);
}
