#ifndef LSTR_H
#define LSTR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/*
 * A view of bytes with a count; never owns and never needs a NUL. GString is
 * its growing, owning kin.
 */
struct lstr {
	const char *p;
	size_t len;
};

#define LSTR(lit) ((struct lstr){(lit), sizeof(lit) - 1})
/* The same where a constant is wanted. */
#define LSTR_INIT(lit)                 \
	{                              \
		(lit), sizeof(lit) - 1 \
	}
#define LSTR_FMT "%.*s"
#define LSTR_ARG(s) ((int)(s).len), (s).p

struct lstr lstr_from(const char *s);
struct lstr lstr_n(const void *p, size_t len);
bool lstr_eq(struct lstr a, struct lstr b);
int lstr_cmp(struct lstr a, struct lstr b);
bool lstr_cut(struct lstr s, char sep, struct lstr *head, struct lstr *tail);
struct lstr lstr_trim(struct lstr s);
bool lstr_u64(struct lstr s, unsigned long long *out);
char *lstr_dup(struct lstr s);

#endif
