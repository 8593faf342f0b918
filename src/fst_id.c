#include "fst_in.h"

/*
 * Deduplication of commands: stores the ID of each command with the result of
 * its first sending, within a window bounded in time and in number.
 */

static void fst_id_evict_oldest(struct fst *f);

/* Returns the key of a command, SENDER\nID; the caller frees it with g_free. */
char *fst_id_key(struct lstr who, struct lstr id)
{
	return g_strdup_printf(LSTR_FMT "\n" LSTR_FMT, LSTR_ARG(who),
			       LSTR_ARG(id));
}

/* Returns the record of a command, or NULL if there is none (any more). */
const struct fst_id *fst_id_find(const struct fst *f, const char *key)
{
	return g_hash_table_lookup(f->ids, key);
}

/* Stores the result of a command's first sending. */
void fst_id_add(struct fst *f, const char *key, int64_t made_ms,
		const uint8_t *digest, struct lstr result)
{
	struct fst_id *id = g_new0(struct fst_id, 1);

	id->key = g_strdup(key);
	/* A client clock far ahead must not keep the ID stored for ever. */
	id->made_ms = MIN(made_ms, f->time_ms + FST_CLOCK_AHEAD_MS);
	memcpy(id->digest, digest, FST_DIGEST_BYTES);
	id->result = g_bytes_new(result.p, result.len);
	id->iter = g_sequence_insert_sorted(f->ids_by_made, id, fst_compare_ids,
					    NULL);
	g_hash_table_insert(f->ids, id->key, id);
	if (g_hash_table_size(f->ids) > FST_IDS_MAX)
		fst_id_evict_oldest(f);
}

/*
 * Evicts the IDs that have left the window and raises id_floor_ms with them,
 * so that an evicted command is not applied again: its resend gets
 * PROTO_OUTCOME_UNKNOWN.
 */
void fst_id_expire(struct fst *f)
{
	f->id_floor_ms = MAX(f->id_floor_ms, f->time_ms - FST_ID_WINDOW_MS);
	while (!g_sequence_is_empty(f->ids_by_made)) {
		const struct fst_id *id = g_sequence_get(
			g_sequence_get_begin_iter(f->ids_by_made));

		if (id->made_ms > f->id_floor_ms)
			return;
		fst_id_evict_oldest(f);
	}
}

static void fst_id_evict_oldest(struct fst *f)
{
	GSequenceIter *first = g_sequence_get_begin_iter(f->ids_by_made);
	const struct fst_id *id = g_sequence_get(first);

	f->id_floor_ms = MAX(f->id_floor_ms, id->made_ms);
	g_hash_table_remove(f->ids, id->key);
	g_sequence_remove(first);
}

/* Frees the record of a command (struct fst_id). */
void fst_id_free(gpointer p)
{
	struct fst_id *id = p;

	g_free(id->key);
	g_bytes_unref(id->result);
	g_free(id);
}

/* Compares records by the time the command was made, then by key. */
int fst_compare_ids(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct fst_id *x = a;
	const struct fst_id *y = b;

	if (x->made_ms != y->made_ms)
		return x->made_ms < y->made_ms ? -1 : 1;
	return strcmp(x->key, y->key);
}
