#include "fvw.h"

/* Returns new key replicas of a zone, with an empty list of names. */
struct fvw_key_replicas *fvw_key_replicas_new(struct lstr zone, uint64_t epoch,
					      uint64_t number)
{
	struct fvw_key_replicas *k = g_new0(struct fvw_key_replicas, 1);

	k->zone = lstr_dup(zone);
	k->epoch = epoch;
	k->number = number;
	k->names = g_ptr_array_new_with_free_func(g_free);
	return k;
}

/* Returns a copy of a zone's key replicas. */
struct fvw_key_replicas *fvw_key_replicas_copy(const struct fvw_key_replicas *k)
{
	struct fvw_key_replicas *copy =
		fvw_key_replicas_new(lstr_from(k->zone), k->epoch, k->number);
	guint i;

	for (i = 0; i < k->names->len; i++)
		g_ptr_array_add(copy->names,
				g_strdup(g_ptr_array_index(k->names, i)));
	return copy;
}

/* Frees a zone's key replicas; NULL is allowed. */
void fvw_key_replicas_free(gpointer p)
{
	struct fvw_key_replicas *k = p;

	if (!k)
		return;
	g_ptr_array_free(k->names, TRUE);
	g_free(k->zone);
	g_free(k);
}

/* Packs a zone's key replicas. */
void fvw_key_replicas_pack(const struct fvw_key_replicas *k, struct pk_out *o)
{
	guint i;

	pk_arr(o, 4);
	pk_cstr(o, k->zone);
	pk_u(o, k->epoch);
	pk_u(o, k->number);
	pk_arr(o, k->names->len);
	for (i = 0; i < k->names->len; i++)
		pk_cstr(o, g_ptr_array_index(k->names, i));
}

/* Returns whether a name has the form NODE/BOOT, with BOOT in hexadecimal. */
bool fvw_is_key_replica_name(struct lstr name)
{
	struct lstr node;
	struct lstr boot;
	size_t i;

	if (name.len > FVW_NAME_MAX || !lstr_cut(name, '/', &node, &boot) ||
	    node.len == 0 || boot.len == 0)
		return false;
	for (i = 0; i < node.len; i++)
		if (!g_ascii_isgraph(node.p[i]))
			return false;
	for (i = 0; i < boot.len; i++)
		if (!g_ascii_isxdigit(boot.p[i]))
			return false;
	return true;
}

/* Reads a zone's key replicas; returns NULL if malformed. */
struct fvw_key_replicas *fvw_key_replicas_unpack(struct pk_in *in)
{
	struct pk_in rec = pk_get_arr(in);
	struct lstr zone = pk_get_str(&rec);
	uint64_t epoch = pk_get_u(&rec);
	uint64_t number = pk_get_u(&rec);
	struct pk_in names = pk_get_arr(&rec);
	struct fvw_key_replicas *k;
	struct lstr name;
	bool ok = pk_in_ok(&rec) && pk_in_left(&rec) == 0 && zone.len &&
		  zone.len <= FVW_NAME_MAX && epoch && number &&
		  pk_in_left(&names) &&
		  pk_in_left(&names) <= FVW_KEY_REPLICAS_MAX;

	if (!ok)
		return NULL;
	k = fvw_key_replicas_new(zone, epoch, number);
	while (ok && pk_in_left(&names)) {
		name = pk_get_str(&names);
		ok = pk_in_ok(&names) && fvw_is_key_replica_name(name);
		g_ptr_array_add(k->names, lstr_dup(name));
	}
	if (ok)
		return k;
	fvw_key_replicas_free(k);
	return NULL;
}
