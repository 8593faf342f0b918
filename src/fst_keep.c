#include "fst_in.h"

/*
 * The key replicas of each zone: the entry daemons that store its idempotency
 * records. Entry daemons propose a set; the replicated log decides, so that
 * no two entry daemons use different sets.
 */

static struct fvw_key_replicas *fst_key_replicas_find(const struct fst *f,
						      struct lstr zone);
static int fst_compare_zones(gconstpointer a, gconstpointer b);

/*
 * Handles FCM_KEY_REPLICAS: replaces a zone's key replicas if the proposal has
 * the next number. Of two proposals made from the same view one is accepted;
 * the other gets a conflict, and its sender proposes anew.
 */
void fst_handle_key_replicas(struct fst_exec *ex)
{
	const struct fcm_key_replicas *c = &ex->cmd->key_replicas;
	struct fvw_key_replicas *k = fst_key_replicas_find(ex->f, c->zone);
	struct fvw_key_replicas *next;
	bool lost = k && k->epoch != c->epoch;
	guint i;

	if (c->number != (k ? k->number : 0) + 1 || c->epoch == 0) {
		fst_exec_finish(ex, PROTO_CONFLICT, "number %llu is in force",
				(unsigned long long)(k ? k->number : 0));
		return;
	}
	if (!k && ex->f->key_replicas->len >= FST_KEY_ZONES_MAX) {
		fst_exec_finish(ex, PROTO_REFUSED, "allowed: up to %d zones",
				FST_KEY_ZONES_MAX);
		return;
	}
	for (i = 0; i < c->n; i++) {
		if (fvw_is_key_replica_name(c->names[i]))
			continue;
		fst_exec_finish(ex, PROTO_REFUSED,
				"keeper " LSTR_FMT "; allowed: NODE/BOOT",
				LSTR_ARG(c->names[i]));
		return;
	}
	next = fvw_key_replicas_new(c->zone, c->epoch, c->number);
	for (i = 0; i < c->n; i++)
		g_ptr_array_add(next->names, lstr_dup(c->names[i]));
	if (k)
		g_ptr_array_remove(ex->f->key_replicas, k);
	g_ptr_array_add(ex->f->key_replicas, next);
	g_ptr_array_sort(ex->f->key_replicas, fst_compare_zones);
	fst_bump_version(ex->f);
	fst_exec_finish(ex, PROTO_OK, "in force%s",
			lost ? "; the memory before is lost" : "");
}

/* Packs the key replicas of all zones. */
void fst_key_replicas_pack(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->key_replicas->len);
	for (i = 0; i < f->key_replicas->len; i++)
		fvw_key_replicas_pack(g_ptr_array_index(f->key_replicas, i), o);
}

/* Reads the output of fst_key_replicas_pack; returns false if malformed. */
bool fst_key_replicas_unpack(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);
	struct fvw_key_replicas *k;

	while (pk_in_ok(&list) && pk_in_left(&list)) {
		k = fvw_key_replicas_unpack(&list);
		if (!k)
			return false;
		g_ptr_array_add(f->key_replicas, k);
	}
	return pk_in_ok(&list);
}

static struct fvw_key_replicas *fst_key_replicas_find(const struct fst *f,
						      struct lstr zone)
{
	guint i;

	for (i = 0; i < f->key_replicas->len; i++) {
		struct fvw_key_replicas *k =
			g_ptr_array_index(f->key_replicas, i);

		if (lstr_eq(zone, lstr_from(k->zone)))
			return k;
	}
	return NULL;
}

static int fst_compare_zones(gconstpointer a, gconstpointer b)
{
	const struct fvw_key_replicas *const *x = a;
	const struct fvw_key_replicas *const *y = b;

	return strcmp((*x)->zone, (*y)->zone);
}
