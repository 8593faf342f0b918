#include "fst_in.h"

/*
 * Identities of commands and the first result of each, within a window that
 * is bounded in time and in number.
 */

static void fst_id_drop_first(struct fst *f);

/* Whose command it is and which: freed with g_free. */
char *fst_id_key(struct lstr who, struct lstr id)
{
	return g_strdup_printf(LSTR_FMT "\n" LSTR_FMT, LSTR_ARG(who),
			       LSTR_ARG(id));
}

/* The identity's record, or NULL where it is not (or no longer) known. */
const struct fst_id *fst_id_find(const struct fst *f, const char *key)
{
	return g_hash_table_lookup(f->ids, key);
}

/* Remembers the first result of a command. */
void fst_id_add(struct fst *f, const char *key, int64_t made_ms,
		const uint8_t *digest, struct lstr result)
{
	struct fst_id *id = g_new0(struct fst_id, 1);

	id->key = g_strdup(key);
	/* A clock far ahead must not keep an identity for ever. */
	id->made_ms = MIN(made_ms, f->time_ms + FST_CLOCK_AHEAD_MS);
	memcpy(id->digest, digest, FST_DIGEST);
	id->result = g_bytes_new(result.p, result.len);
	id->at = g_sequence_insert_sorted(f->ids_by_made, id, fst_id_order,
					  NULL);
	g_hash_table_insert(f->ids, id->key, id);
	if (g_hash_table_size(f->ids) > FST_IDS_MAX)
		fst_id_drop_first(f);
}

/*
 * Forgets identities that left the window. The floor rises with it, so that
 * what is forgotten can't be applied again: a resend gets "unknown" instead.
 */
void fst_id_expire(struct fst *f)
{
	f->id_floor_ms = MAX(f->id_floor_ms, f->time_ms - FST_ID_WINDOW_MS);
	while (!g_sequence_is_empty(f->ids_by_made)) {
		const struct fst_id *id = g_sequence_get(
			g_sequence_get_begin_iter(f->ids_by_made));

		if (id->made_ms > f->id_floor_ms)
			return;
		fst_id_drop_first(f);
	}
}

static void fst_id_drop_first(struct fst *f)
{
	GSequenceIter *first = g_sequence_get_begin_iter(f->ids_by_made);
	const struct fst_id *id = g_sequence_get(first);

	f->id_floor_ms = MAX(f->id_floor_ms, id->made_ms);
	g_hash_table_remove(f->ids, id->key);
	g_sequence_remove(first);
}

/* Frees an identity's record. */
void fst_id_free(gpointer p)
{
	struct fst_id *id = p;

	g_free(id->key);
	g_bytes_unref(id->result);
	g_free(id);
}

/* Order of the window: by the time the command was made, then by key. */
int fst_id_order(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct fst_id *x = a;
	const struct fst_id *y = b;

	if (x->made_ms != y->made_ms)
		return x->made_ms < y->made_ms ? -1 : 1;
	return strcmp(x->key, y->key);
}
