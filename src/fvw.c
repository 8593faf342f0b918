#include "fvw_in.h"

#include <stdlib.h>

#include "err.h"

static void fvw_clear_pool(gpointer p);
static void fvw_clear_vm(gpointer p);
static void fvw_pack_pool(const struct fvw_pool *p, struct pk_out *o);
static bool fvw_unpack_fields(struct pk_in *in, struct fvw *v, GError **err);
static bool fvw_unpack_pools(struct pk_in *in, struct fvw *v, GError **err);
static bool fvw_unpack_vms(struct pk_in *in, struct fvw *v, GError **err);
static bool fvw_unpack_key_replicas(struct pk_in *in, struct fvw *v,
				    GError **err);
static bool fvw_unpack_name(struct pk_in *in, char **out);
static int64_t fvw_unpack_num(struct pk_in *in, int64_t max);
static int fvw_compare_services(gconstpointer a, gconstpointer b, gpointer arg);
static bool fvw_check_services_unique(const struct fvw *v, GError **err);
static int fvw_compare_vm_name(const void *name, const void *vm);

/* Returns a new, empty view of that version. */
struct fvw *fvw_new(uint64_t version)
{
	struct fvw *v = g_new0(struct fvw, 1);

	v->version = version;
	v->pools = g_array_new(FALSE, TRUE, sizeof(struct fvw_pool));
	g_array_set_clear_func(v->pools, fvw_clear_pool);
	v->vms = g_array_new(FALSE, TRUE, sizeof(struct fvw_vm));
	g_array_set_clear_func(v->vms, fvw_clear_vm);
	v->drained = g_ptr_array_new_with_free_func(g_free);
	v->key_replicas = g_ptr_array_new_with_free_func(fvw_key_replicas_free);
	v->services = g_array_new(FALSE, TRUE, sizeof(guint));
	return v;
}

/* Frees a view and the names in it; NULL is allowed. */
void fvw_free(struct fvw *v)
{
	if (!v)
		return;
	g_array_free(v->pools, TRUE);
	g_array_free(v->vms, TRUE);
	g_ptr_array_free(v->drained, TRUE);
	g_ptr_array_free(v->key_replicas, TRUE);
	g_array_free(v->services, TRUE);
	g_free(v);
}

static void fvw_clear_pool(gpointer p)
{
	struct fvw_pool *pool = p;

	g_free(pool->name);
	g_free(pool->service);
}

static void fvw_clear_vm(gpointer p)
{
	g_free(((struct fvw_vm *)p)->name);
}

/*
 * Builds the index by service. Needed once after a caller has filled in the
 * pools itself; fvw_unpack and fvw_update call it.
 */
void fvw_index(struct fvw *v)
{
	guint i;

	g_array_set_size(v->services, 0);
	for (i = 0; i < v->pools->len; i++)
		g_array_append_val(v->services, i);
	g_array_sort_with_data(v->services, fvw_compare_services, v);
}

static int fvw_compare_services(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct fvw *v = arg;
	guint i = *(const guint *)a;
	guint j = *(const guint *)b;

	return strcmp(g_array_index(v->pools, struct fvw_pool, i).service,
		      g_array_index(v->pools, struct fvw_pool, j).service);
}

/* Packs a full view; its pools, VMs and drained targets must be sorted. */
void fvw_pack(const struct fvw *v, struct pk_out *o)
{
	pk_arr(o, 6);
	pk_u(o, FVW_FULL);
	pk_u(o, v->version);
	fvw_pack_body(v, o);
}

/* Packs pools, VMs, drained targets and key replicas as four fields. */
void fvw_pack_body(const struct fvw *v, struct pk_out *o)
{
	guint i;

	pk_arr(o, v->pools->len);
	for (i = 0; i < v->pools->len; i++)
		fvw_pack_pool(&g_array_index(v->pools, struct fvw_pool, i), o);
	pk_arr(o, v->vms->len);
	for (i = 0; i < v->vms->len; i++) {
		const struct fvw_vm *vm =
			&g_array_index(v->vms, struct fvw_vm, i);

		pk_arr(o, 4);
		pk_cstr(o, vm->name);
		pk_i(o, vm->pool);
		pk_u(o, vm->epoch);
		pk_bool(o, vm->drained);
	}
	pk_arr(o, v->drained->len);
	for (i = 0; i < v->drained->len; i++)
		pk_cstr(o, g_ptr_array_index(v->drained, i));
	pk_arr(o, v->key_replicas->len);
	for (i = 0; i < v->key_replicas->len; i++)
		fvw_key_replicas_pack(g_ptr_array_index(v->key_replicas, i), o);
}

static void fvw_pack_pool(const struct fvw_pool *p, struct pk_out *o)
{
	pk_arr(o, 9);
	pk_cstr(o, p->name);
	pk_cstr(o, p->service);
	pk_i(o, p->slots);
	pk_i(o, p->conns);
	pk_i(o, p->deadline_ms);
	pk_i(o, p->max_answer);
	pk_i(o, p->max_body);
	pk_i(o, p->queue_ms);
	pk_i(o, p->priority);
}

/*
 * Reads and checks a packed full view: format, limits, names in strict order,
 * one pool per service, each VM in an existing pool. Returns NULL with
 * ERR_INPUT if a check fails; the caller then keeps the view it has.
 */
struct fvw *fvw_unpack(struct lstr bytes, GError **err)
{
	struct fvw *v;
	struct pk_in in;
	bool ok;

	if (!pk_in_init(&in, bytes)) {
		err_set(err, ERR_INPUT, "read view", NULL, "not a message");
		return NULL;
	}
	v = fvw_new(0);
	ok = fvw_unpack_fields(&in, v, err);
	pk_in_done(&in);
	if (ok)
		return v;
	fvw_free(v);
	return NULL;
}

static bool fvw_unpack_fields(struct pk_in *in, struct fvw *v, GError **err)
{
	uint64_t format = pk_get_u(in);

	v->version = pk_get_u(in);
	if (!pk_in_ok(in) || format != FVW_FULL) {
		err_set(err, ERR_INPUT, "read view", NULL,
			"format %llu; allowed: %d", (unsigned long long)format,
			FVW_FULL);
		return false;
	}
	if (!fvw_unpack_body(in, v, err))
		return false;
	if (!pk_in_ok(in) || pk_in_left(in) != 0)
		return fvw_reject(err, "fields", 0);
	return fvw_finish(v, err);
}

/*
 * Reads pools, VMs, drained targets and key replicas. VMs are checked against
 * the pools that v then has.
 */
bool fvw_unpack_body(struct pk_in *in, struct fvw *v, GError **err)
{
	return fvw_unpack_pools(in, v, err) && fvw_unpack_vms(in, v, err) &&
	       fvw_unpack_names(in, v->drained, FVW_DRAINED_MAX,
				"drained target", err) &&
	       fvw_unpack_key_replicas(in, v, err);
}

/* Builds the index of a view and checks that each service has one pool. */
bool fvw_finish(struct fvw *v, GError **err)
{
	fvw_index(v);
	return fvw_check_services_unique(v, err);
}

static bool fvw_unpack_pools(struct pk_in *in, struct fvw *v, GError **err)
{
	struct pk_in list = pk_get_arr(in);
	const char *last = "";
	guint i;

	if (!pk_in_ok(&list) || pk_in_left(&list) > FVW_POOLS_MAX)
		return fvw_reject(err, "pools", 0);
	for (i = 0; pk_in_left(&list); i++) {
		struct pk_in one = pk_get_arr(&list);
		struct fvw_pool p = {0};
		bool named = fvw_unpack_name(&one, &p.name) &&
			     fvw_unpack_name(&one, &p.service);

		p.slots = (int)fvw_unpack_num(&one, INT32_MAX);
		p.conns = (int)fvw_unpack_num(&one, INT32_MAX);
		p.deadline_ms = fvw_unpack_num(&one, INT64_MAX);
		p.max_answer = fvw_unpack_num(&one, INT64_MAX);
		p.max_body = fvw_unpack_num(&one, INT64_MAX);
		p.queue_ms = (int)fvw_unpack_num(&one, INT32_MAX);
		p.priority = (int)fvw_unpack_num(&one, INT32_MAX);
		g_array_append_val(v->pools, p);
		if (!named || !pk_in_ok(&one) || pk_in_left(&one) ||
		    strcmp(p.name, last) <= 0 || p.slots == 0 || p.conns == 0)
			return fvw_reject(err, "pool", i);
		last = p.name;
	}
	return true;
}

static bool fvw_unpack_vms(struct pk_in *in, struct fvw *v, GError **err)
{
	struct pk_in list = pk_get_arr(in);
	const char *last = "";
	guint i;

	if (!pk_in_ok(&list) || pk_in_left(&list) > FVW_VMS_MAX)
		return fvw_reject(err, "VMs", 0);
	for (i = 0; pk_in_left(&list); i++) {
		struct pk_in one = pk_get_arr(&list);
		struct fvw_vm vm = {0};
		bool named = fvw_unpack_name(&one, &vm.name);

		vm.pool = (int)fvw_unpack_num(&one, INT32_MAX);
		vm.epoch = pk_get_u(&one);
		vm.drained = pk_get_bool(&one);
		g_array_append_val(v->vms, vm);
		if (!named || !pk_in_ok(&one) || pk_in_left(&one) ||
		    (guint)vm.pool >= v->pools->len ||
		    strcmp(vm.name, last) <= 0)
			return fvw_reject(err, "VM", i);
		last = vm.name;
	}
	return true;
}

static bool fvw_unpack_key_replicas(struct pk_in *in, struct fvw *v,
				    GError **err)
{
	struct pk_in list = pk_get_arr(in);
	struct fvw_key_replicas *k;
	const char *last = "";
	guint i;

	if (!pk_in_ok(&list) || pk_in_left(&list) > FVW_ZONES_MAX)
		return fvw_reject(err, "zones' keepers", 0);
	for (i = 0; pk_in_left(&list); i++) {
		k = fvw_key_replicas_unpack(&list);
		if (!k)
			return fvw_reject(err, "zone's keepers", i);
		g_ptr_array_add(v->key_replicas, k);
		if (strcmp(k->zone, last) <= 0)
			return fvw_reject(err, "zone's keepers", i);
		last = k->zone;
	}
	return true;
}

/* Reads a list of at most max names, which must be in strict order. */
bool fvw_unpack_names(struct pk_in *in, GPtrArray *names, guint max,
		      const char *what, GError **err)
{
	struct pk_in list = pk_get_arr(in);
	const char *last = "";
	char *name;
	guint i;

	if (!pk_in_ok(&list) || pk_in_left(&list) > max)
		return fvw_reject(err, what, 0);
	for (i = 0; pk_in_left(&list); i++) {
		if (!fvw_unpack_name(&list, &name))
			return fvw_reject(err, what, i);
		g_ptr_array_add(names, name);
		if (strcmp(name, last) <= 0)
			return fvw_reject(err, what, i);
		last = name;
	}
	return true;
}

/* Reads a name of printable ASCII without blanks; false: invalid or empty. */
static bool fvw_unpack_name(struct pk_in *in, char **out)
{
	struct lstr s = pk_get_str(in);
	size_t i;

	if (s.len == 0 || s.len > FVW_NAME_MAX)
		return false;
	for (i = 0; i < s.len; i++)
		if (!g_ascii_isgraph(s.p[i]))
			return false;
	*out = lstr_dup(s);
	return true;
}

static int64_t fvw_unpack_num(struct pk_in *in, int64_t max)
{
	int64_t n = pk_get_i(in);

	if (n >= 0 && n <= max)
		return n;
	in->bad = true;
	return 0;
}

/*
 * Checks that no two pools have the same service; it would be undefined which
 * pool's limits apply to a request.
 */
static bool fvw_check_services_unique(const struct fvw *v, GError **err)
{
	guint i;

	for (i = 1; i < v->services->len; i++) {
		guint *at = &g_array_index(v->services, guint, i);

		if (fvw_compare_services(at - 1, at, (gpointer)v) == 0)
			return fvw_reject(err, "service of pool", *at);
	}
	return true;
}

/* Sets the error for the invalid element what[at]; always returns false. */
bool fvw_reject(GError **err, const char *what, guint at)
{
	err_set(err, ERR_INPUT, "read view", NULL, "%s %u not allowed", what,
		at);
	return false;
}

/* Returns the pool of a service, or NULL. */
const struct fvw_pool *fvw_pool_for_service(const struct fvw *v,
					    struct lstr service)
{
	guint low = 0;
	guint high = v->services->len;

	g_assert(v->services->len == v->pools->len);
	while (low < high) {
		guint mid = low + (high - low) / 2;
		guint at = g_array_index(v->services, guint, mid);
		const struct fvw_pool *p =
			&g_array_index(v->pools, struct fvw_pool, at);
		int c = lstr_cmp(service, lstr_from(p->service));

		if (c == 0)
			return p;
		if (c < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

/* Returns the VM of that name, or NULL. */
const struct fvw_vm *fvw_vm(const struct fvw *v, struct lstr name)
{
	if (v->vms->len == 0)
		return NULL;
	return bsearch(&name, v->vms->data, v->vms->len, sizeof(struct fvw_vm),
		       fvw_compare_vm_name);
}

static int fvw_compare_vm_name(const void *name, const void *vm)
{
	const struct lstr *want = name;

	return lstr_cmp(*want, lstr_from(((const struct fvw_vm *)vm)->name));
}

/* Returns the index in v->pools of the pool of that name, or -1. */
int fvw_pool_index(const struct fvw *v, const char *name)
{
	int low = 0;
	int high = (int)v->pools->len - 1;

	while (low <= high) {
		int mid = low + (high - low) / 2;
		const struct fvw_pool *p =
			&g_array_index(v->pools, struct fvw_pool, mid);
		int c = strcmp(name, p->name);

		if (c == 0)
			return mid;
		if (c < 0)
			high = mid - 1;
		else
			low = mid + 1;
	}
	return -1;
}

/* Returns whether the target of that name is drained by name. */
bool fvw_target_drained(const struct fvw *v, struct lstr target)
{
	guint i;

	/* Few targets are drained by name, so a linear search suffices. */
	for (i = 0; i < v->drained->len; i++)
		if (lstr_eq(target,
			    lstr_from(g_ptr_array_index(v->drained, i))))
			return true;
	return false;
}
