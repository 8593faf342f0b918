#include "fst_in.h"

static void fst_view_vms(const struct fst *f, const struct cfg_obj *site,
			 struct fvw *v);
static int fst_view_pool(const struct fvw *v, const char *name);

/* Packs the view of the only site, or of all with the base file's values. */
void fst_view(const struct fst *f, struct pk_out *o)
{
	fst_view_zone(f, LSTR(""), o);
}

/*
 * Packs the view for entry daemons of a zone: the pools as its site has them
 * and that site's VMs. A zone the configuration lacks gets what fst_view
 * gives.
 */
void fst_view_zone(const struct fst *f, struct lstr zone, struct pk_out *o)
{
	struct fvw *v = fvw_new(f->version);
	const struct cfg_obj *site = NULL;
	char *name = lstr_dup(zone);
	guint i;

	if (f->cfg) {
		site = g_hash_table_lookup(f->cfg->zones, name);
		if (!site && f->cfg->objs[CFG_SITE]->len == 1)
			site = g_ptr_array_index(f->cfg->objs[CFG_SITE], 0);
		cfg_view_pools(f->cfg, site, v);
		for (i = 0; i < v->pools->len; i++) {
			struct fvw_pool *p =
				&g_array_index(v->pools, struct fvw_pool, i);
			int priority = fst_priority(f, p->name);

			if (priority != FCM_NO_PRIORITY)
				p->priority = priority;
		}
		fst_view_vms(f, site, v);
	}
	for (i = 0; i < f->keepers->len; i++)
		g_ptr_array_add(v->keepers, fvw_keepers_copy(g_ptr_array_index(
						    f->keepers, i)));
	fvw_pack(v, o);
	fvw_free(v);
	g_free(name);
}

static void fst_view_vms(const struct fst *f, const struct cfg_obj *site,
			 struct fvw *v)
{
	guint i;

	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);
		const struct cfg_vm *line = cfg_vm(f->cfg, vm->name);
		struct fvw_vm out = {
			.name = NULL,
			.pool = fst_view_pool(v, vm->pool),
			.epoch = vm->epoch,
			/* A VM on its way gets no new work of either pool. */
			.drained = vm->drained || vm->phase != FST_SETTLED,
		};

		g_assert(line && out.pool >= 0);
		if (site && line->site != site)
			continue;
		out.name = g_strdup(vm->name);
		g_array_append_val(v->vms, out);
	}
	for (i = 0; i < f->drains->len; i++) {
		const struct fst_drain *d = g_ptr_array_index(f->drains, i);

		g_ptr_array_add(v->drained, g_strdup(d->name));
	}
}

static int fst_view_pool(const struct fvw *v, const char *name)
{
	int low = 0;
	int high = (int)v->pools->len - 1;

	while (low <= high) {
		int mid = low + (high - low) / 2;
		int c = strcmp(
			name,
			g_array_index(v->pools, struct fvw_pool, mid).name);

		if (c == 0)
			return mid;
		if (c < 0)
			high = mid - 1;
		else
			low = mid + 1;
	}
	return -1;
}
