#include "fst_in.h"

/*
 * Who holds each zone's memory of idempotency keys. The entry daemons propose;
 * the log decides, so that no two of them go on with different keepers.
 */

static struct fvw_keepers *fst_keepers_find(const struct fst *f,
					    struct lstr zone);
static int fst_keepers_order(gconstpointer a, gconstpointer b);

/*
 * Sets a zone's keepers if they follow the present ones: of two proposals from
 * the same view one is accepted, the other is a conflict and is thought over.
 */
void fst_do_keepers(struct fst_run *r)
{
	const struct fcm_keepers *c = &r->cmd->keepers;
	struct fvw_keepers *k = fst_keepers_find(r->f, c->zone);
	struct fvw_keepers *next;
	bool lost = k && k->epoch != c->epoch;
	guint i;

	if (c->number != (k ? k->number : 0) + 1 || c->epoch == 0) {
		fst_run_end(r, PROTO_CONFLICT, "number %llu is in force",
			    (unsigned long long)(k ? k->number : 0));
		return;
	}
	if (!k && r->f->keepers->len >= FST_KEEPERS_MAX) {
		fst_run_end(r, PROTO_REFUSED, "allowed: up to %d zones",
			    FST_KEEPERS_MAX);
		return;
	}
	for (i = 0; i < c->n; i++) {
		if (fvw_keeper_ok(c->names[i]))
			continue;
		fst_run_end(r, PROTO_REFUSED,
			    "keeper " LSTR_FMT "; allowed: NODE/BOOT",
			    LSTR_ARG(c->names[i]));
		return;
	}
	next = fvw_keepers_new(c->zone, c->epoch, c->number);
	for (i = 0; i < c->n; i++)
		g_ptr_array_add(next->names, lstr_dup(c->names[i]));
	if (k)
		g_ptr_array_remove(r->f->keepers, k);
	g_ptr_array_add(r->f->keepers, next);
	g_ptr_array_sort(r->f->keepers, fst_keepers_order);
	fst_touch(r->f);
	fst_run_end(r, PROTO_OK, "in force%s",
		    lost ? "; the memory before is lost" : "");
}

/* Packs all zones' keepers. */
void fst_keepers_pack(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->keepers->len);
	for (i = 0; i < f->keepers->len; i++)
		fvw_keepers_pack(g_ptr_array_index(f->keepers, i), o);
}

/* Reads what fst_keepers_pack wrote. */
bool fst_keepers_unpack(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);
	struct fvw_keepers *k;

	while (pk_in_ok(&list) && pk_in_left(&list)) {
		k = fvw_keepers_unpack(&list);
		if (!k)
			return false;
		g_ptr_array_add(f->keepers, k);
	}
	return pk_in_ok(&list);
}

static struct fvw_keepers *fst_keepers_find(const struct fst *f,
					    struct lstr zone)
{
	guint i;

	for (i = 0; i < f->keepers->len; i++) {
		struct fvw_keepers *k = g_ptr_array_index(f->keepers, i);

		if (lstr_eq(zone, lstr_from(k->zone)))
			return k;
	}
	return NULL;
}

static int fst_keepers_order(gconstpointer a, gconstpointer b)
{
	const struct fvw_keepers *const *x = a;
	const struct fvw_keepers *const *y = b;

	return strcmp((*x)->zone, (*y)->zone);
}
