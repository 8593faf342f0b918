#include "fau.h"

#include <sodium.h>

#include "qtb.h"

/* Records in one answer to a query of the trail. */
#define FAU_PAGE_ROWS 1000

/* A record as it is kept: packed, and the chain's hash up to it. */
struct fau_item {
	uint8_t hash[FAU_HASH];
	size_t len;
	char *bytes;
};

struct fau {
	uint64_t trimmed; /* sequence number of the last one trimmed */
	uint8_t anchor[FAU_HASH]; /* its hash; zeros before the first */
	GArray *items; /* struct fau_item */
};

static void fau_item_clear(gpointer p);
static void fau_pack(const struct fau_rec *r, struct pk_out *o);
static bool fau_unpack(struct fau_rec *r, struct pk_in *in, struct lstr bytes);
static void fau_hash_bytes(const uint8_t *prev, struct lstr bytes,
			   uint8_t *out);
static void fau_trim(struct fau *a);
static bool fau_restore_items(struct fau *a, struct pk_in *in);
static void fau_put_row(const struct fau *a, uint64_t seq, struct qtb *t);

/* An empty trail. */
struct fau *fau_new(void)
{
	struct fau *a = g_new0(struct fau, 1);

	a->items = g_array_new(FALSE, TRUE, sizeof(struct fau_item));
	g_array_set_clear_func(a->items, fau_item_clear);
	return a;
}

/* Frees a trail; NULL is allowed. */
void fau_free(struct fau *a)
{
	if (!a)
		return;
	g_array_free(a->items, TRUE);
	g_free(a);
}

static void fau_item_clear(gpointer p)
{
	g_free(((struct fau_item *)p)->bytes);
}

/* Adds a record and gives it its sequence number. */
void fau_add(struct fau *a, struct fau_rec *r)
{
	struct fau_item item = {0};
	const uint8_t *prev = fau_hash(a, fau_last(a));
	struct pk_out o;
	struct lstr bytes;

	r->seq = fau_last(a) + 1;
	pk_out_init(&o);
	fau_pack(r, &o);
	bytes = pk_out_view(&o);
	fau_hash_bytes(prev, bytes, item.hash);
	item.len = bytes.len;
	item.bytes = g_memdup2(bytes.p, bytes.len);
	g_array_append_val(a->items, item);
	pk_out_done(&o);
	fau_trim(a);
}

/*
 * At 34,000 changes a day a trail without end would fill every voter's 64 MB
 * in weeks; the oldest go, in blocks so that a change costs no copying.
 */
static void fau_trim(struct fau *a)
{
	if (a->items->len < FAU_KEEP + FAU_BLOCK)
		return;
	memcpy(a->anchor, fau_hash(a, a->trimmed + FAU_BLOCK), FAU_HASH);
	g_array_remove_range(a->items, 0, FAU_BLOCK);
	a->trimmed += FAU_BLOCK;
}

static void fau_pack(const struct fau_rec *r, struct pk_out *o)
{
	pk_arr(o, 10);
	pk_u(o, r->seq);
	pk_u(o, r->index);
	pk_i(o, r->time_ms);
	pk_str(o, r->who);
	pk_str(o, r->role);
	pk_str(o, r->kind);
	pk_str(o, r->what);
	pk_u(o, r->from);
	pk_str(o, r->outcome);
	pk_str(o, r->text);
}

static bool fau_unpack(struct fau_rec *r, struct pk_in *in, struct lstr bytes)
{
	if (!pk_in_init(in, bytes))
		return false;
	r->seq = pk_get_u(in);
	r->index = pk_get_u(in);
	r->time_ms = pk_get_i(in);
	r->who = pk_get_str(in);
	r->role = pk_get_str(in);
	r->kind = pk_get_str(in);
	r->what = pk_get_str(in);
	r->from = pk_get_u(in);
	r->outcome = pk_get_str(in);
	r->text = pk_get_str(in);
	if (pk_in_ok(in) && pk_in_left(in) == 0)
		return true;
	pk_in_done(in);
	return false;
}

static void fau_hash_bytes(const uint8_t *prev, struct lstr bytes, uint8_t *out)
{
	/* Keyed by the hash before it: no record fits elsewhere. */
	crypto_generichash(out, FAU_HASH, (const unsigned char *)bytes.p,
			   bytes.len, prev, FAU_HASH);
}

/* The hash a record must have that follows one of hash prev. */
void fau_chain(const uint8_t *prev, const struct fau_rec *r, uint8_t *out)
{
	struct pk_out o;

	pk_out_init(&o);
	fau_pack(r, &o);
	fau_hash_bytes(prev, pk_out_view(&o), out);
	pk_out_done(&o);
}

/* Sequence number of the first record still kept. */
uint64_t fau_first(const struct fau *a)
{
	return a->trimmed + 1;
}

/* Sequence number of the last record; 0: there never was one. */
uint64_t fau_last(const struct fau *a)
{
	return a->trimmed + a->items->len;
}

/* Reads a record; its strings live until pk_in_done(in). False: not kept. */
bool fau_get(const struct fau *a, uint64_t seq, struct fau_rec *r,
	     struct pk_in *in)
{
	const struct fau_item *item;

	if (seq < fau_first(a) || seq > fau_last(a))
		return false;
	item = &g_array_index(a->items, struct fau_item, seq - fau_first(a));
	return fau_unpack(r, in, lstr_n(item->bytes, item->len));
}

/* The hash of a record that is kept, or the anchor's of the one before. */
const uint8_t *fau_hash(const struct fau *a, uint64_t seq)
{
	if (seq <= a->trimmed)
		return a->anchor;
	return g_array_index(a->items, struct fau_item, seq - fau_first(a))
		.hash;
}

/* The first record whose hash does not follow from the chain; 0: all do. */
uint64_t fau_verify(const struct fau *a)
{
	const uint8_t *prev = a->anchor;
	uint8_t want[FAU_HASH];
	guint i;

	for (i = 0; i < a->items->len; i++) {
		const struct fau_item *item =
			&g_array_index(a->items, struct fau_item, i);
		struct lstr bytes = lstr_n(item->bytes, item->len);

		fau_hash_bytes(prev, bytes, want);
		if (memcmp(want, item->hash, FAU_HASH) != 0)
			return fau_first(a) + i;
		prev = item->hash;
	}
	return 0;
}

/*
 * Lists one page of records after the sequence number arg; "": the last page.
 */
void fau_query(const struct fau *a, struct lstr arg, struct pk_out *result)
{
	static const char *const cols[] = {"seq",  "index", "time_ms",
					   "who",  "role",  "kind",
					   "what", "from",  "outcome",
					   "text", "prev",  "hash"};
	uint64_t last = fau_last(a);
	unsigned long long after =
		last > FAU_PAGE_ROWS ? last - FAU_PAGE_ROWS : 0;
	struct qtb t;
	uint64_t seq;

	if (arg.len && !lstr_u64(arg, &after)) {
		qtb_fail(result, PROTO_REFUSED, "not a number");
		return;
	}
	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	seq = MAX(after, fau_first(a) - 1);
	while (seq < last && t.n_rows < FAU_PAGE_ROWS)
		fau_put_row(a, ++seq, &t);
	qtb_finish(&t, result);
}

/* Adds a record to a table, with its hash and that of the one before. */
static void fau_put_row(const struct fau *a, uint64_t seq, struct qtb *t)
{
	char hash[2 * FAU_HASH + 1];
	struct fau_rec r;
	struct pk_in in;
	struct pk_out *o;

	if (!fau_get(a, seq, &r, &in))
		return;
	o = qtb_row(t);
	pk_u(o, r.seq);
	pk_u(o, r.index);
	pk_i(o, r.time_ms);
	pk_str(o, r.who);
	pk_str(o, r.role);
	pk_str(o, r.kind);
	pk_str(o, r.what);
	pk_u(o, r.from);
	pk_str(o, r.outcome);
	pk_str(o, r.text);
	sodium_bin2hex(hash, sizeof(hash), fau_hash(a, seq - 1), FAU_HASH);
	pk_cstr(o, hash);
	sodium_bin2hex(hash, sizeof(hash), fau_hash(a, seq), FAU_HASH);
	pk_cstr(o, hash);
	pk_in_done(&in);
}

/* Packs the trail: [last trimmed, anchor, last hash, [record...]]. */
void fau_snapshot(const struct fau *a, struct pk_out *o)
{
	guint i;

	pk_arr(o, 4);
	pk_u(o, a->trimmed);
	pk_str(o, lstr_n(a->anchor, FAU_HASH));
	pk_str(o, lstr_n(fau_hash(a, fau_last(a)), FAU_HASH));
	pk_arr(o, a->items->len);
	for (i = 0; i < a->items->len; i++) {
		const struct fau_item *item =
			&g_array_index(a->items, struct fau_item, i);

		pk_str(o, lstr_n(item->bytes, item->len));
	}
}

/*
 * Reads a packed trail; NULL where it is not one, or where its records don't
 * lead from its anchor to its last hash.
 */
struct fau *fau_restore(struct pk_in *in)
{
	struct fau *a = fau_new();
	struct pk_in top = pk_get_arr(in);
	struct lstr anchor;
	struct lstr last;

	a->trimmed = pk_get_u(&top);
	anchor = pk_get_str(&top);
	last = pk_get_str(&top);
	if (pk_in_ok(&top) && anchor.len == FAU_HASH && last.len == FAU_HASH &&
	    a->trimmed < UINT64_MAX / 2) {
		memcpy(a->anchor, anchor.p, FAU_HASH);
		if (fau_restore_items(a, &top) &&
		    memcmp(fau_hash(a, fau_last(a)), last.p, FAU_HASH) == 0)
			return a;
	}
	fau_free(a);
	return NULL;
}

static bool fau_restore_items(struct fau *a, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);
	struct fau_rec r;
	struct pk_in one;

	if (!pk_in_ok(&list) || pk_in_left(in) ||
	    pk_in_left(&list) >= FAU_KEEP + FAU_BLOCK)
		return false;
	while (pk_in_left(&list)) {
		struct lstr bytes = pk_get_str(&list);
		struct fau_item item = {0};

		if (!pk_in_ok(&list) || !fau_unpack(&r, &one, bytes))
			return false;
		pk_in_done(&one);
		if (r.seq != fau_last(a) + 1)
			return false;
		fau_hash_bytes(fau_hash(a, fau_last(a)), bytes, item.hash);
		item.len = bytes.len;
		item.bytes = g_memdup2(bytes.p, bytes.len);
		g_array_append_val(a->items, item);
	}
	return true;
}
