#include "pk.h"

/* How a value of a first byte from 0xc0 to 0xdf goes on. */
struct pk_form {
	uint8_t fixed; /* bytes that always follow */
	uint8_t len; /* bytes of a count after the first byte */
	uint8_t per; /* values for each counted; 0: bytes are counted */
};

#define PK_FORM_FIRST 0xc0
#define PK_NEGATIVE_FIRST 0xe0

static const struct pk_form pk_forms[PK_NEGATIVE_FIRST - PK_FORM_FIRST] = {
	[0x04] = {.len = 1},
	[0x05] = {.len = 2},
	[0x06] = {.len = 4},
	[0x07] = {.fixed = 1, .len = 1},
	[0x08] = {.fixed = 1, .len = 2},
	[0x09] = {.fixed = 1, .len = 4},
	[0x0a] = {.fixed = 4},
	[0x0b] = {.fixed = 8},
	[0x0c] = {.fixed = 1},
	[0x0d] = {.fixed = 2},
	[0x0e] = {.fixed = 4},
	[0x0f] = {.fixed = 8},
	[0x10] = {.fixed = 1},
	[0x11] = {.fixed = 2},
	[0x12] = {.fixed = 4},
	[0x13] = {.fixed = 8},
	[0x14] = {.fixed = 2},
	[0x15] = {.fixed = 3},
	[0x16] = {.fixed = 5},
	[0x17] = {.fixed = 9},
	[0x18] = {.fixed = 17},
	[0x19] = {.len = 1},
	[0x1a] = {.len = 2},
	[0x1b] = {.len = 4},
	[0x1c] = {.len = 2, .per = 1},
	[0x1d] = {.len = 4, .per = 1},
	[0x1e] = {.len = 2, .per = 2},
	[0x1f] = {.len = 4, .per = 2},
};

/* Takes the next value's head; false: it reaches beyond the end. */
static bool pk_scan_value(struct lstr *s, uint64_t *values)
{
	uint8_t first = (uint8_t)s->p[0];
	struct pk_form form = {0};
	uint64_t count = 0;
	uint64_t skip;

	s->p++;
	s->len--;
	if (first >= PK_FORM_FIRST && first < PK_NEGATIVE_FIRST)
		form = pk_forms[first - PK_FORM_FIRST];
	else if (first >= 0xa0 && first < PK_FORM_FIRST)
		form.fixed = first & 0x1f; /* short text */
	else if (first >= 0x90 && first < 0xa0)
		*values += first & 0x0f; /* short array */
	else if (first >= 0x80 && first < 0x90)
		*values += 2 * (uint64_t)(first & 0x0f); /* short map */
	if (form.len > s->len)
		return false;
	for (; form.len; form.len--) {
		count = count << 8 | (uint8_t)s->p[0];
		s->p++;
		s->len--;
	}
	*values += count * form.per;
	skip = form.fixed + (form.per ? 0 : count);
	if (skip > s->len)
		return false;
	s->p += skip;
	s->len -= skip;
	return true;
}

/*
 * Whether bytes can hold as many values as their array and map heads claim.
 * msgpack-c allocates an array by its claimed count before it has seen one
 * value: six bytes made it ask for 128 GB, and arrays that claim a lot within
 * one another multiply. Each value takes one byte at least, so that no honest
 * message claims more values than it has bytes.
 */
bool pk_scan(struct lstr bytes)
{
	uint64_t values = 1;
	struct lstr rest = bytes;

	while (rest.len) {
		if (!pk_scan_value(&rest, &values) || values > bytes.len)
			return false;
	}
	return true;
}
