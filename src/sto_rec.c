#include "sto_rec.h"

#include <sodium.h>

/*
 * A record is a header (length of the body, kind, sum of the body, sum of the
 * header itself) and the body. The sums are keyed by file and offset, so that
 * bytes of another place or folder never pass.
 */
#define STO_SUM crypto_shorthash_BYTES
#define STO_HEADER (4 + 4 + 2 * STO_SUM)

/*
 * A record of a log is also told from what a torn write leaves, which is zeros
 * in place of bytes that were not yet written: its header says how far the
 * file was synced before, its body is masked, and it is a number of whole
 * words that are never zero (but one in 2^64), the last byte neither. A disk
 * writes whole sectors, and these are whole words.
 */
#define STO_WORD 8
#define STO_LOG_HEADER (STO_HEADER + STO_WORD)
/* In the kind of a record of a log; earlier records have zeros there. */
#define STO_LOG_MARK 0xa5c35a00u
/* Beside the offset that was synced. */
#define STO_LOG_WORD 0x5aa53cc3u
/* Fills up the last word. */
#define STO_PAD 0xff

/* A header as read. */
struct sto_header {
	enum sto_kind kind;
	bool log;
	size_t size; /* of the header */
	uint32_t len; /* of the body */
	uint32_t synced; /* log: bytes of the file that were synced before */
	const uint8_t *sum; /* of the body */
};

static bool sto_header_read(uint64_t file, struct lstr bytes, size_t at,
			    struct sto_header *h);
static size_t sto_stored(const struct sto_header *h);
static void sto_mask(uint64_t file, uint64_t offset, uint8_t *p, size_t len);
static bool sto_hole(struct lstr bytes, size_t from, size_t to);
static void sto_put_u32(GByteArray *out, uint32_t x);
static uint32_t sto_get_u32(const uint8_t *p);
static void sto_sum(uint8_t *out, uint64_t file, uint64_t offset, const void *p,
		    size_t len);
static bool sto_all_zero(struct lstr s);

/* Adds a record of a whole file, which will stand at offset. */
void sto_rec_add(GByteArray *out, uint64_t file, uint64_t offset,
		 enum sto_kind kind, struct lstr body)
{
	guint from = out->len;
	uint8_t sum[STO_SUM];

	sto_put_u32(out, (uint32_t)body.len);
	sto_put_u32(out, (uint32_t)kind);
	sto_sum(sum, file, offset, body.p, body.len);
	g_byte_array_append(out, sum, sizeof(sum));
	sto_sum(sum, file, offset, out->data + from, out->len - from);
	g_byte_array_append(out, sum, sizeof(sum));
	g_byte_array_append(out, (const guint8 *)body.p, (guint)body.len);
}

/*
 * Adds a record of a log to what will be written together from offset synced
 * on, all before which was synced.
 */
void sto_rec_add_log(GByteArray *out, uint64_t file, uint64_t synced,
		     enum sto_kind kind, struct lstr body)
{
	struct sto_header h = {.log = true, .len = (uint32_t)body.len};
	uint64_t offset = synced + out->len;
	uint8_t *stored = g_malloc(sto_stored(&h));
	guint from = out->len;
	uint8_t sum[STO_SUM];

	memset(stored, STO_PAD, sto_stored(&h));
	memcpy(stored, body.p, body.len);
	sto_mask(file, offset, stored, body.len);
	sto_put_u32(out, h.len);
	sto_put_u32(out, (uint32_t)kind | STO_LOG_MARK);
	sto_put_u32(out, (uint32_t)synced);
	sto_put_u32(out, STO_LOG_WORD);
	sto_sum(sum, file, offset, stored, sto_stored(&h));
	g_byte_array_append(out, sum, sizeof(sum));
	sto_sum(sum, file, offset, out->data + from, out->len - from);
	g_byte_array_append(out, sum, sizeof(sum));
	g_byte_array_append(out, stored, (guint)sto_stored(&h));
	g_free(stored);
}

/*
 * Reads the record at *at and moves on. A record that ends beyond the file is
 * torn, not damaged: a sync makes the length last before anybody is answered,
 * so what is missing was never promised. Bytes that are there with a wrong sum
 * may have been, and are bad; but for a header of zeros up to the end, which a
 * file system leaves that had grown the file and not yet written to it. See
 * sto_rec_unsynced for the rest.
 */
enum sto_read sto_rec_read(uint64_t file, struct lstr bytes, size_t *at,
			   struct sto_rec *out)
{
	struct lstr rest = lstr_n(bytes.p + *at, bytes.len - *at);
	struct sto_header h;
	const uint8_t *body;
	uint8_t sum[STO_SUM];

	if (rest.len == 0)
		return STO_READ_END;
	if (rest.len < STO_HEADER || sto_all_zero(rest))
		return STO_READ_TORN;
	if (!sto_header_read(file, bytes, *at, &h))
		return STO_READ_BAD;
	if (sto_stored(&h) > rest.len - h.size)
		return STO_READ_TORN;
	body = (const uint8_t *)rest.p + h.size;
	sto_sum(sum, file, *at, body, sto_stored(&h));
	if (memcmp(sum, h.sum, STO_SUM) != 0)
		return STO_READ_BAD;
	out->kind = h.kind;
	out->body = lstr_n((const char *)body, h.len);
	if (h.log) {
		if (!out->plain)
			out->plain = g_byte_array_new();
		g_byte_array_set_size(out->plain, 0);
		g_byte_array_append(out->plain, body, (guint)sto_stored(&h));
		sto_mask(file, *at, out->plain->data, h.len);
		out->body = lstr_n((const char *)out->plain->data, h.len);
	}
	*at += h.size + sto_stored(&h);
	return STO_READ_REC;
}

/*
 * Whether bytes of a log that read as bad at an offset were never synced, so
 * that nobody was promised anything: no later record says that they were, and
 * the header or body that is wrong has a hole, as a torn write leaves it and a
 * flipped bit doesn't. Only for the newest file: a next one is begun after a
 * sync. Without the hole it would have to be taken for a promise; without the
 * look behind, a sector that a disk lost later would pass for a torn write.
 */
bool sto_rec_unsynced(uint64_t file, struct lstr bytes, size_t at)
{
	struct sto_header h;
	/* Any body has a word, where a hole in the header's last bytes goes on. */
	size_t end = at + STO_LOG_HEADER + STO_WORD;
	/* Records of an earlier format begin anywhere. */
	size_t step = at > 0 ? STO_WORD : 1;
	size_t i;

	/* In files of an earlier format zeros show nothing. */
	if (at > 0 && (!sto_header_read(file, bytes, 0, &h) || !h.log))
		return false;
	for (i = at + step; i < bytes.len; i += step)
		if (sto_header_read(file, bytes, i, &h) &&
		    (!h.log || h.synced > at))
			return false;
	if (sto_header_read(file, bytes, at, &h))
		end = at + h.size + sto_stored(&h);
	return end > bytes.len || sto_hole(bytes, at, end);
}

/* Frees what was kept for reading. */
void sto_rec_done(struct sto_rec *rec)
{
	if (rec->plain)
		g_byte_array_free(rec->plain, TRUE);
	rec->plain = NULL;
}

/* Reads a header of either kind; false: there is none with a right sum. */
static bool sto_header_read(uint64_t file, struct lstr bytes, size_t at,
			    struct sto_header *h)
{
	const uint8_t *p = (const uint8_t *)bytes.p + at;
	size_t left = bytes.len - at;
	uint8_t sum[STO_SUM];
	uint32_t kind;

	if (left < STO_HEADER)
		return false;
	kind = sto_get_u32(p + 4);
	*h = (struct sto_header){
		.len = sto_get_u32(p),
		.kind = (enum sto_kind)(kind & ~STO_LOG_MARK),
		.log = (kind & STO_LOG_MARK) == STO_LOG_MARK,
	};
	h->size = h->log ? STO_LOG_HEADER : STO_HEADER;
	if (left < h->size)
		return false;
	if (h->log)
		h->synced = sto_get_u32(p + 8);
	h->sum = p + h->size - 2 * STO_SUM;
	sto_sum(sum, file, at, p, h->size - STO_SUM);
	return memcmp(sum, p + h->size - STO_SUM, STO_SUM) == 0;
}

/* Bytes that a body takes in the file. */
static size_t sto_stored(const struct sto_header *h)
{
	return h->log ? (h->len / STO_WORD + 1) * STO_WORD : h->len;
}

/* Masks bytes, or takes the mask off; it hides runs of zeros, no secret. */
static void sto_mask(uint64_t file, uint64_t offset, uint8_t *p, size_t len)
{
	uint64_t nonce = GUINT64_TO_LE(offset);
	uint64_t key[4] = {GUINT64_TO_LE(file)};

	G_STATIC_ASSERT(sizeof(key) == crypto_stream_chacha20_KEYBYTES);
	G_STATIC_ASSERT(sizeof(nonce) == crypto_stream_chacha20_NONCEBYTES);
	crypto_stream_chacha20_xor(p, p, len, (const unsigned char *)&nonce,
				   (const unsigned char *)key);
}

/* Whether a word of zeros, or zeros up to the file's end, lie in a range. */
static bool sto_hole(struct lstr bytes, size_t from, size_t to)
{
	size_t end = bytes.len;
	size_t i;

	while (end > from && bytes.p[end - 1] == 0)
		end--;
	if (end < to)
		return true;
	for (i = from; i + STO_WORD <= to; i += STO_WORD)
		if (sto_all_zero(lstr_n(bytes.p + i, STO_WORD)))
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
