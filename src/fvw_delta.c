#include "fvw_in.h"

#include <stdlib.h>

#include "err.h"

/*
 * Deltas: the changes of a view since an earlier version. A delta holds the
 * present values, so it applies to any version from its base version on.
 * Deltas keep a node within its budget of 3 KB/s: at 34,000 changes a day,
 * full views of a large site would exceed that many times over.
 */

static bool fvw_unpack_delta(struct pk_in *in, const struct fvw *old,
			     struct fvw *v, GError **err);
static bool fvw_check_delta_base(const struct fvw *old, uint64_t from,
				 uint64_t version, GError **err);
static void fvw_copy_pools(const struct fvw *from, struct fvw *to);
static bool fvw_add_unchanged_vms(const struct fvw *old,
				  const GPtrArray *removed, struct fvw *v,
				  GError **err);
static int fvw_compare_vms(gconstpointer a, gconstpointer b);
static bool fvw_copy_vm(const struct fvw *old, const struct fvw_vm *vm,
			const struct fvw *v, GArray *out);
static bool fvw_has_name(const GPtrArray *names, const char *name);

/*
 * Packs a delta since version from: the VMs and drained targets of changed, its
 * pools if pools is set, and the sorted names of removed VMs. A VM's pool is
 * its index in the pools of the new version.
 */
void fvw_delta_pack(const struct fvw *changed, uint64_t from, bool pools,
		    const GPtrArray *removed, struct pk_out *o)
{
	guint i;

	pk_arr(o, 9);
	pk_u(o, FVW_DELTA);
	pk_u(o, changed->version);
	pk_u(o, from);
	pk_bool(o, pools);
	fvw_pack_body(changed, o);
	pk_arr(o, removed->len);
	for (i = 0; i < removed->len; i++)
		pk_cstr(o, g_ptr_array_index(removed, i));
}

/* Returns the base version of a packed delta; 0 if bytes are not a delta. */
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
 * Returns the new view from packed bytes, which are a full view or a delta to
 * be applied to old; old may be NULL. Returns NULL with ERR_INPUT if the bytes
 * are neither, or if the delta does not apply to the version of old; the
 * caller then keeps old and requests a full view.
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
	ok = fvw_unpack_delta(&in, old, v, err);
	pk_in_done(&in);
	if (ok)
		return v;
	fvw_free(v);
	return NULL;
}

static bool fvw_unpack_delta(struct pk_in *in, const struct fvw *old,
			     struct fvw *v, GError **err)
{
	uint64_t from = pk_get_u(in);
	bool pools = pk_get_bool(in);
	GPtrArray *removed;
	bool ok;

	if (!pk_in_ok(in))
		return fvw_reject(err, "fields", 0);
	if (!fvw_check_delta_base(old, from, v->version, err))
		return false;
	if (!pools)
		fvw_copy_pools(old, v);
	removed = g_ptr_array_new_with_free_func(g_free);
	ok = fvw_unpack_body(in, v, err) &&
	     fvw_unpack_names(in, removed, FVW_VMS_MAX, "VM that is gone", err);
	if (ok && (!pk_in_ok(in) || pk_in_left(in)))
		ok = fvw_reject(err, "fields", 0);
	ok = ok && fvw_add_unchanged_vms(old, removed, v, err) &&
	     fvw_finish(v, err);
	g_ptr_array_free(removed, TRUE);
	return ok;
}

/*
 * Checks that a delta applies to old. Applied to a version older than its base
 * it would miss the changes between the two.
 */
static bool fvw_check_delta_base(const struct fvw *old, uint64_t from,
				 uint64_t version, GError **err)
{
	if (old && old->version >= from && old->version <= version)
		return true;
	err_set(err, ERR_INPUT, "read view", NULL,
		"changes from version %llu to %llu; present version is %llu",
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

/* Adds the VMs of old that were neither changed nor removed to v, sorted. */
static bool fvw_add_unchanged_vms(const struct fvw *old,
				  const GPtrArray *removed, struct fvw *v,
				  GError **err)
{
	GArray *unchanged = g_array_new(FALSE, TRUE, sizeof(struct fvw_vm));
	bool ok = true;
	guint i;

	for (i = 0; ok && i < old->vms->len; i++) {
		const struct fvw_vm *vm =
			&g_array_index(old->vms, struct fvw_vm, i);

		if (!fvw_vm(v, lstr_from(vm->name)) &&
		    !fvw_has_name(removed, vm->name))
			ok = fvw_copy_vm(old, vm, v, unchanged);
	}
	if (unchanged->len)
		g_array_append_vals(v->vms, unchanged->data, unchanged->len);
	g_array_free(unchanged, TRUE);
	g_array_sort(v->vms, fvw_compare_vms);
	if (!ok || v->vms->len > FVW_VMS_MAX)
		return fvw_reject(err, "VMs", 0);
	return true;
}

static int fvw_compare_vms(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct fvw_vm *)a)->name,
		      ((const struct fvw_vm *)b)->name);
}

/*
 * Copies a VM of old to out, with its pool's index in v. Returns false if v
 * lacks the pool.
 */
static bool fvw_copy_vm(const struct fvw *old, const struct fvw_vm *vm,
			const struct fvw *v, GArray *out)
{
	const struct fvw_pool *old_pool =
		&g_array_index(old->pools, struct fvw_pool, vm->pool);
	int pool = fvw_pool_index(v, old_pool->name);
	struct fvw_vm copy = {.name = g_strdup(vm->name),
			      .pool = pool,
			      .epoch = vm->epoch,
			      .drained = vm->drained};

	g_array_append_val(out, copy);
	return pool >= 0;
}

static int fvw_compare_names(const void *a, const void *b)
{
	return strcmp(a, *(const char *const *)b);
}

static bool fvw_has_name(const GPtrArray *names, const char *name)
{
	return names->len && bsearch(name, names->pdata, names->len,
				     sizeof(*names->pdata), fvw_compare_names);
}
