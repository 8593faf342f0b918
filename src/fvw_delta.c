#include "fvw_in.h"

#include <stdlib.h>

#include "err.h"

/*
 * What changed in a view since an earlier version: values as they are now, so
 * that it may be laid over any version from the one it was made for on. At
 * 34,000 changes a day whole views of a large site would take many times the
 * 3 KB a second that a node may spend.
 */

static bool fvw_delta_get(struct pk_in *in, const struct fvw *old,
			  struct fvw *v, GError **err);
static bool fvw_delta_fits(const struct fvw *old, uint64_t from,
			   uint64_t version, GError **err);
static void fvw_copy_pools(const struct fvw *from, struct fvw *to);
static bool fvw_lay_over(const struct fvw *old, const GPtrArray *gone,
			 struct fvw *v, GError **err);
static int fvw_vm_order(gconstpointer a, gconstpointer b);
static bool fvw_keep_vm(const struct fvw *old, const struct fvw_vm *vm,
			const struct fvw *v, GArray *out);
static bool fvw_is_named(const GPtrArray *names, const char *name);

/*
 * Packs what changed since version from: the VMs, targets drained and, with
 * pools, the pools of changed, and the names of VMs that are gone, in order.
 * A VM's pool is its place among the pools of the new version.
 */
void fvw_delta_pack(const struct fvw *changed, uint64_t from, bool pools,
		    const GPtrArray *gone, struct pk_out *o)
{
	guint i;

	pk_arr(o, 9);
	pk_u(o, FVW_DELTA);
	pk_u(o, changed->version);
	pk_u(o, from);
	pk_bool(o, pools);
	fvw_pack_parts(changed, o);
	pk_arr(o, gone->len);
	for (i = 0; i < gone->len; i++)
		pk_cstr(o, g_ptr_array_index(gone, i));
}

/* The version a packed delta was made from; 0: a whole view, or neither. */
uint64_t fvw_delta_from(struct lstr bytes)
{
	struct pk_in in;
	uint64_t from = 0;

	if (!pk_in_init(&in, bytes))
		return 0;
	if (pk_get_u(&in) == FVW_DELTA) {
		pk_get_u(&in);
		from = pk_get_u(&in);
	}
	pk_in_done(&in);
	return from;
}

/*
 * The view that packed bytes lead to: a whole one by itself, a delta laid
 * over old, which may be NULL. NULL with ERR_INPUT where they are neither or
 * the delta doesn't fit old; the caller goes on with old and asks for a whole
 * one.
 */
struct fvw *fvw_update(const struct fvw *old, struct lstr bytes, GError **err)
{
	struct fvw *v;
	struct pk_in in;
	bool ok;

	if (!pk_in_init(&in, bytes)) {
		err_set(err, ERR_INPUT, "read view", NULL, "not a message");
		return NULL;
	}
	if (pk_get_u(&in) != FVW_DELTA) {
		pk_in_done(&in);
		return fvw_unpack(bytes, err);
	}
	v = fvw_new(pk_get_u(&in));
	ok = fvw_delta_get(&in, old, v, err);
	pk_in_done(&in);
	if (ok)
		return v;
	fvw_free(v);
	return NULL;
}

static bool fvw_delta_get(struct pk_in *in, const struct fvw *old,
			  struct fvw *v, GError **err)
{
	uint64_t from = pk_get_u(in);
	bool pools = pk_get_bool(in);
	GPtrArray *gone;
	bool ok;

	if (!pk_in_ok(in))
		return fvw_bad(err, "fields", 0);
	if (!fvw_delta_fits(old, from, v->version, err))
		return false;
	if (!pools)
		fvw_copy_pools(old, v);
	gone = g_ptr_array_new_with_free_func(g_free);
	ok = fvw_get_parts(in, v, err) &&
	     fvw_get_names(in, gone, FVW_VMS_MAX, "VM that is gone", err);
	if (ok && (!pk_in_ok(in) || pk_in_left(in)))
		ok = fvw_bad(err, "fields", 0);
	ok = ok && fvw_lay_over(old, gone, v, err) && fvw_seal(v, err);
	g_ptr_array_free(gone, TRUE);
	return ok;
}

/* Laid over an older version than it was made for, it would leave gaps. */
static bool fvw_delta_fits(const struct fvw *old, uint64_t from,
			   uint64_t version, GError **err)
{
	if (old && old->version >= from && old->version <= version)
		return true;
	err_set(err, ERR_INPUT, "read view", NULL,
		"changes from version %llu to %llu; works by %llu",
		(unsigned long long)from, (unsigned long long)version,
		(unsigned long long)(old ? old->version : 0));
	return false;
}

static void fvw_copy_pools(const struct fvw *from, struct fvw *to)
{
	guint i;

	for (i = 0; i < from->pools->len; i++) {
		struct fvw_pool p =
			g_array_index(from->pools, struct fvw_pool, i);

		p.name = g_strdup(p.name);
		p.service = g_strdup(p.service);
		g_array_append_val(to->pools, p);
	}
}

/* Adds old's VMs that are neither changed nor gone to v's, in order. */
static bool fvw_lay_over(const struct fvw *old, const GPtrArray *gone,
			 struct fvw *v, GError **err)
{
	GArray *kept = g_array_new(FALSE, TRUE, sizeof(struct fvw_vm));
	bool ok = true;
	guint i;

	for (i = 0; ok && i < old->vms->len; i++) {
		const struct fvw_vm *vm =
			&g_array_index(old->vms, struct fvw_vm, i);

		if (!fvw_vm(v, lstr_from(vm->name)) &&
		    !fvw_is_named(gone, vm->name))
			ok = fvw_keep_vm(old, vm, v, kept);
	}
	if (kept->len)
		g_array_append_vals(v->vms, kept->data, kept->len);
	g_array_free(kept, TRUE);
	g_array_sort(v->vms, fvw_vm_order);
	if (!ok || v->vms->len > FVW_VMS_MAX)
		return fvw_bad(err, "VMs", 0);
	return true;
}

static int fvw_vm_order(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct fvw_vm *)a)->name,
		      ((const struct fvw_vm *)b)->name);
}

static bool fvw_keep_vm(const struct fvw *old, const struct fvw_vm *vm,
			const struct fvw *v, GArray *out)
{
	const struct fvw_pool *was =
		&g_array_index(old->pools, struct fvw_pool, vm->pool);
	int pool = fvw_pool_at(v, was->name);
	struct fvw_vm copy = {.name = g_strdup(vm->name),
			      .pool = pool,
			      .epoch = vm->epoch,
			      .drained = vm->drained};

	g_array_append_val(out, copy);
	return pool >= 0;
}

static int fvw_names_order(const void *a, const void *b)
{
	return strcmp(a, *(const char *const *)b);
}

static bool fvw_is_named(const GPtrArray *names, const char *name)
{
	return names->len && bsearch(name, names->pdata, names->len,
				     sizeof(*names->pdata), fvw_names_order);
}
