#include "sto_rec.h"

#include <sodium.h>

/*
 * A record is a header (length of the body, kind, sum of the body, sum of the
 * header itself) and the body. The sums are keyed by file and offset, so that
 * bytes of another place or folder never pass.
 */
#define STO_SUM crypto_shorthash_BYTES
#define STO_HEADER (4 + 4 + 2 * STO_SUM)

static void sto_sum(uint8_t *out, uint64_t file, uint64_t offset, const void *p,
		    size_t len);
static bool sto_all_zero(struct lstr s);

/* Adds a record that will stand at offset of a file. */
void sto_rec_add(GByteArray *out, uint64_t file, uint64_t offset,
		 enum sto_kind kind, struct lstr body)
{
	uint8_t head[STO_HEADER];
	uint32_t len = GUINT32_TO_LE((uint32_t)body.len);
	uint32_t k = GUINT32_TO_LE((uint32_t)kind);

	memcpy(head, &len, 4);
	memcpy(head + 4, &k, 4);
	sto_sum(head + 8, file, offset, body.p, body.len);
	sto_sum(head + 8 + STO_SUM, file, offset, head, 8 + STO_SUM);
	g_byte_array_append(out, head, sizeof(head));
	g_byte_array_append(out, (const guint8 *)body.p, (guint)body.len);
}

/*
 * Reads the record at *at and moves on. A record that ends beyond the file is
 * torn, not damaged: a sync makes the length last before anybody is answered,
 * so what is missing was never promised. Bytes that are there with a wrong sum
 * may have been, and are bad; but for a header of zeros up to the end, which a
 * file system leaves that had grown the file and not yet written to it.
 */
enum sto_read sto_rec_read(uint64_t file, struct lstr bytes, size_t *at,
			   struct sto_rec *out)
{
	struct lstr rest = lstr_n(bytes.p + *at, bytes.len - *at);
	const uint8_t *head = (const uint8_t *)rest.p;
	uint8_t sum[STO_SUM];
	uint32_t len;
	uint32_t kind;

	if (rest.len == 0)
		return STO_READ_END;
	if (rest.len < STO_HEADER || sto_all_zero(rest))
		return STO_READ_TORN;
	sto_sum(sum, file, *at, head, 8 + STO_SUM);
	if (memcmp(sum, head + 8 + STO_SUM, STO_SUM) != 0)
		return STO_READ_BAD;
	memcpy(&len, head, 4);
	memcpy(&kind, head + 4, 4);
	len = GUINT32_FROM_LE(len);
	if (len > rest.len - STO_HEADER)
		return STO_READ_TORN;
	sto_sum(sum, file, *at, rest.p + STO_HEADER, len);
	if (memcmp(sum, head + 8, STO_SUM) != 0)
		return STO_READ_BAD;
	out->kind = (enum sto_kind)GUINT32_FROM_LE(kind);
	out->body = lstr_n(rest.p + STO_HEADER, len);
	*at += STO_HEADER + len;
	return STO_READ_REC;
}

static void sto_sum(uint8_t *out, uint64_t file, uint64_t offset, const void *p,
		    size_t len)
{
	uint64_t key[2] = {GUINT64_TO_LE(file), GUINT64_TO_LE(offset)};

	G_STATIC_ASSERT(sizeof(key) == crypto_shorthash_KEYBYTES);
	crypto_shorthash(out, p, len, (const unsigned char *)key);
}

static bool sto_all_zero(struct lstr s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (s.p[i])
			return false;
	return true;
}
