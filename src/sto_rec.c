#include "sto_rec.h"

#include <sodium.h>

/*
 * A record is a header (length of the body, kind, checksum of the body,
 * checksum of the header itself) followed by the body. The checksums are keyed
 * by file and offset, so that bytes copied from another place or folder never
 * pass.
 */
#define STO_SUM_BYTES crypto_shorthash_BYTES
#define STO_HEADER_BYTES (4 + 4 + 2 * STO_SUM_BYTES)

/*
 * A log record can also be distinguished from the result of a torn write, which
 * has zeros in place of bytes that were not written. Its header holds the
 * offset up to which the file was synced before, its body is masked, and it
 * consists of whole words that are never zero (except with probability 2^-64),
 * and whose last byte is never zero. A disk writes whole sectors, and these
 * consist of whole words.
 */
#define STO_WORD_BYTES 8
#define STO_LOG_HEADER_BYTES (STO_HEADER_BYTES + STO_WORD_BYTES)
/*
 * Marks the kind field of a log record; records of the earlier format have
 * zeros there.
 */
#define STO_LOG_MARK 0xa5c35a00u
/*
 * Constant stored next to the synced offset, so that this word of the header is
 * not zero.
 */
#define STO_LOG_MAGIC 0x5aa53cc3u
/* Padding of the last word. */
#define STO_PAD_BYTE 0xff

/* A decoded header. */
struct sto_header {
	enum sto_kind kind;
	bool log;
	size_t size; /* size of the header */
	uint32_t len; /* length of the body */
	/* log record: size of the file when it was last synced */
	uint32_t synced;
	const uint8_t *sum; /* checksum of the body */
};

static bool sto_header_read(uint64_t file, struct lstr bytes, size_t at,
			    struct sto_header *h);
static size_t sto_stored_len(const struct sto_header *h);
static void sto_mask(uint64_t file, uint64_t offset, uint8_t *p, size_t len);
static bool sto_has_hole(struct lstr bytes, size_t from, size_t to);
static void sto_put_u32(GByteArray *out, uint32_t x);
static uint32_t sto_get_u32(const uint8_t *p);
static void sto_checksum(uint8_t *out, uint64_t file, uint64_t offset,
			 const void *p, size_t len);
static bool sto_all_zero(struct lstr s);

/*
 * Appends a record of a file that is written at once; the record will be at
 * offset.
 */
void sto_rec_add(GByteArray *out, uint64_t file, uint64_t offset,
		 enum sto_kind kind, struct lstr body)
{
	guint from = out->len;
	uint8_t sum[STO_SUM_BYTES];

	sto_put_u32(out, (uint32_t)body.len);
	sto_put_u32(out, (uint32_t)kind);
	sto_checksum(sum, file, offset, body.p, body.len);
	g_byte_array_append(out, sum, sizeof(sum));
	sto_checksum(sum, file, offset, out->data + from, out->len - from);
	g_byte_array_append(out, sum, sizeof(sum));
	g_byte_array_append(out, (const guint8 *)body.p, (guint)body.len);
}

/*
 * Appends a log record to a batch that will be written at offset synced;
 * everything before that offset is synced.
 */
void sto_rec_add_log(GByteArray *out, uint64_t file, uint64_t synced,
		     enum sto_kind kind, struct lstr body)
{
	struct sto_header h = {.log = true, .len = (uint32_t)body.len};
	uint64_t offset = synced + out->len;
	uint8_t *stored = g_malloc(sto_stored_len(&h));
	guint from = out->len;
	uint8_t sum[STO_SUM_BYTES];

	memset(stored, STO_PAD_BYTE, sto_stored_len(&h));
	memcpy(stored, body.p, body.len);
	sto_mask(file, offset, stored, body.len);
	sto_put_u32(out, h.len);
	sto_put_u32(out, (uint32_t)kind | STO_LOG_MARK);
	sto_put_u32(out, (uint32_t)synced);
	sto_put_u32(out, STO_LOG_MAGIC);
	sto_checksum(sum, file, offset, stored, sto_stored_len(&h));
	g_byte_array_append(out, sum, sizeof(sum));
	sto_checksum(sum, file, offset, out->data + from, out->len - from);
	g_byte_array_append(out, sum, sizeof(sum));
	g_byte_array_append(out, stored, (guint)sto_stored_len(&h));
	g_free(stored);
}

/*
 * Reads the record at *at and advances *at. A record that ends beyond the end
 * of the file is torn, not damaged: a sync makes the length of the file durable
 * before anything is acknowledged, so the missing bytes were never
 * acknowledged. Complete bytes with a wrong checksum may have been acknowledged
 * and are bad, except for zeros from the header to the end of the file: a file
 * system leaves these if it had extended the file and not written to it yet.
 * See sto_rec_unsynced for the other cases.
 */
enum sto_read sto_rec_read(uint64_t file, struct lstr bytes, size_t *at,
			   struct sto_rec *out)
{
	struct lstr rest = lstr_n(bytes.p + *at, bytes.len - *at);
	struct sto_header h;
	const uint8_t *body;
	uint8_t sum[STO_SUM_BYTES];

	if (rest.len == 0)
		return STO_READ_END;
	if (rest.len < STO_HEADER_BYTES || sto_all_zero(rest))
		return STO_READ_TORN;
	if (!sto_header_read(file, bytes, *at, &h))
		return STO_READ_BAD;
	if (sto_stored_len(&h) > rest.len - h.size)
		return STO_READ_TORN;
	body = (const uint8_t *)rest.p + h.size;
	sto_checksum(sum, file, *at, body, sto_stored_len(&h));
	if (memcmp(sum, h.sum, STO_SUM_BYTES) != 0)
		return STO_READ_BAD;
	out->kind = h.kind;
	out->body = lstr_n((const char *)body, h.len);
	if (h.log) {
		if (!out->plain)
			out->plain = g_byte_array_new();
		g_byte_array_set_size(out->plain, 0);
		g_byte_array_append(out->plain, body,
				    (guint)sto_stored_len(&h));
		sto_mask(file, *at, out->plain->data, h.len);
		out->body = lstr_n((const char *)out->plain->data, h.len);
	}
	*at += h.size + sto_stored_len(&h);
	return STO_READ_REC;
}

/*
 * Whether the bad bytes at an offset of a log were never synced, so that
 * nothing in them was acknowledged: no later record says that they were synced,
 * and the wrong header or body has a hole of zeros, which a torn write leaves
 * and a bit flip does not. This applies only to the newest file, as the next
 * one is started after a sync. Without the test for a hole, a bit flip in
 * acknowledged bytes would pass for a torn write; without the search for later
 * records, a sector that the disk lost later would.
 */
bool sto_rec_unsynced(uint64_t file, struct lstr bytes, size_t at)
{
	struct sto_header h;
	/*
	 * Every body has at least one word, in which a hole in the last bytes
	 * of the header continues.
	 */
	size_t end = at + STO_LOG_HEADER_BYTES + STO_WORD_BYTES;
	/* Records of the earlier format are not aligned. */
	size_t step = at > 0 ? STO_WORD_BYTES : 1;
	size_t i;

	/* In files of the earlier format zeros prove nothing. */
	if (at > 0 && (!sto_header_read(file, bytes, 0, &h) || !h.log))
		return false;
	for (i = at + step; i < bytes.len; i += step)
		if (sto_header_read(file, bytes, i, &h) &&
		    (!h.log || h.synced > at))
			return false;
	if (sto_header_read(file, bytes, at, &h))
		end = at + h.size + sto_stored_len(&h);
	return end > bytes.len || sto_has_hole(bytes, at, end);
}

/* Frees the buffer of a record. */
void sto_rec_clear(struct sto_rec *rec)
{
	if (rec->plain)
		g_byte_array_free(rec->plain, TRUE);
	rec->plain = NULL;
}

/*
 * Decodes a header of either format; returns false if there is none with a
 * valid checksum.
 */
static bool sto_header_read(uint64_t file, struct lstr bytes, size_t at,
			    struct sto_header *h)
{
	const uint8_t *p = (const uint8_t *)bytes.p + at;
	size_t left = bytes.len - at;
	uint8_t sum[STO_SUM_BYTES];
	uint32_t kind;

	if (left < STO_HEADER_BYTES)
		return false;
	kind = sto_get_u32(p + 4);
	*h = (struct sto_header){
		.len = sto_get_u32(p),
		.kind = (enum sto_kind)(kind & ~STO_LOG_MARK),
		.log = (kind & STO_LOG_MARK) == STO_LOG_MARK,
	};
	h->size = h->log ? STO_LOG_HEADER_BYTES : STO_HEADER_BYTES;
	if (left < h->size)
		return false;
	if (h->log)
		h->synced = sto_get_u32(p + 8);
	h->sum = p + h->size - 2 * STO_SUM_BYTES;
	sto_checksum(sum, file, at, p, h->size - STO_SUM_BYTES);
	return memcmp(sum, p + h->size - STO_SUM_BYTES, STO_SUM_BYTES) == 0;
}

/* Returns the size of a body in the file, in bytes. */
static size_t sto_stored_len(const struct sto_header *h)
{
	return h->log ? (h->len / STO_WORD_BYTES + 1) * STO_WORD_BYTES : h->len;
}

/*
 * Masks or unmasks bytes. The mask only hides runs of zeros; it is not
 * encryption.
 */
static void sto_mask(uint64_t file, uint64_t offset, uint8_t *p, size_t len)
{
	uint64_t nonce = GUINT64_TO_LE(offset);
	uint64_t key[4] = {GUINT64_TO_LE(file)};

	G_STATIC_ASSERT(sizeof(key) == crypto_stream_chacha20_KEYBYTES);
	G_STATIC_ASSERT(sizeof(nonce) == crypto_stream_chacha20_NONCEBYTES);
	crypto_stream_chacha20_xor(p, p, len, (const unsigned char *)&nonce,
				   (const unsigned char *)key);
}

/*
 * Whether a range contains a word of zeros, or zeros that extend to the end of
 * the file.
 */
static bool sto_has_hole(struct lstr bytes, size_t from, size_t to)
{
	size_t end = bytes.len;
	size_t i;

	while (end > from && bytes.p[end - 1] == 0)
		end--;
	if (end < to)
		return true;
	for (i = from; i + STO_WORD_BYTES <= to; i += STO_WORD_BYTES)
		if (sto_all_zero(lstr_n(bytes.p + i, STO_WORD_BYTES)))
			return true;
	return false;
}

static void sto_put_u32(GByteArray *out, uint32_t x)
{
	x = GUINT32_TO_LE(x);
	g_byte_array_append(out, (const guint8 *)&x, sizeof(x));
}

static uint32_t sto_get_u32(const uint8_t *p)
{
	uint32_t x;

	memcpy(&x, p, sizeof(x));
	return GUINT32_FROM_LE(x);
}

static void sto_checksum(uint8_t *out, uint64_t file, uint64_t offset,
			 const void *p, size_t len)
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
