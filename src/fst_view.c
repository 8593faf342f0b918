#include "fst_in.h"

static const struct cfg_obj *fst_find_view_site(const struct fst *f,
						struct lstr zone);
static struct fvw *fst_build_view(const struct fst *f,
				  const struct cfg_obj *site, uint64_t from);
static void fst_build_view_pools(const struct fst *f,
				 const struct cfg_obj *site, struct fvw *v);
static GPtrArray *fst_removed_since(const struct fst *f, uint64_t from);
static struct fst_site *fst_site_find(const struct fst *f, const char *name);

/*
 * Packs the view without a zone: that of the only site, or of all sites with
 * the values of the base file.
 */
void fst_view(const struct fst *f, struct pk_out *o)
{
	fst_view_zone(f, LSTR(""), o);
}

/*
 * Packs the view for the entry daemons of a zone: pools with the values of
 * the zone's site, and the VMs of that site. A zone that the configuration
 * lacks gets the same view as fst_view.
 */
void fst_view_zone(const struct fst *f, struct lstr zone, struct pk_out *o)
{
	struct fvw *v = fst_build_view(f, fst_find_view_site(f, zone), 0);

	fvw_pack(v, o);
	fvw_free(v);
}

/*
 * Packs the changes of a zone's view since version from, which an entry
 * daemon has (see fvw_update); the full view if the changes are not known.
 */
void fst_view_since(const struct fst *f, struct lstr zone, uint64_t from,
		    struct pk_out *o)
{
	const struct cfg_obj *site = fst_find_view_site(f, zone);
	const struct fst_site *s = site ? fst_site_find(f, site->name) : NULL;
	bool pools = s && s->since > from;
	GPtrArray *removed;
	struct fvw *v;

	if (!s || from < f->full_view_since || from == 0 || from > f->version) {
		fst_view_zone(f, zone, o);
		return;
	}
	v = fst_build_view(f, site, from);
	if (!pools)
		g_array_set_size(v->pools, 0);
	removed = fst_removed_since(f, from);
	fvw_delta_pack(v, from, pools, removed, o);
	g_ptr_array_free(removed, TRUE);
	fvw_free(v);
}

static const struct cfg_obj *fst_find_view_site(const struct fst *f,
						struct lstr zone)
{
	const struct cfg_obj *site;
	char *name;

	if (!f->cfg)
		return NULL;
	name = lstr_dup(zone);
	site = g_hash_table_lookup(f->cfg->zones, name);
	g_free(name);
	if (!site && f->cfg->objs[CFG_SITE]->len == 1)
		site = g_ptr_array_index(f->cfg->objs[CFG_SITE], 0);
	return site;
}

/* Returns the view with all pools, and the VMs changed after version from. */
static struct fvw *fst_build_view(const struct fst *f,
				  const struct cfg_obj *site, uint64_t from)
{
	struct fvw *v = fvw_new(f->version);
	guint i;

	/* Key replicas are few and short, so they are always included. */
	for (i = 0; i < f->key_replicas->len; i++)
		g_ptr_array_add(v->key_replicas,
				fvw_key_replicas_copy(
					g_ptr_array_index(f->key_replicas, i)));
	if (!f->cfg)
		return v;
	fst_build_view_pools(f, site, v);
	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);
		struct fvw_vm out = {
			.epoch = vm->epoch,
			/* A moving VM gets no new work of either pool. */
			.drained = vm->drained || vm->phase != FST_SETTLED,
		};

		if (vm->since <= from ||
		    (site && cfg_vm(f->cfg, vm->name)->site != site))
			continue;
		out.pool = fvw_pool_index(v, vm->pool);
		g_assert(out.pool >= 0);
		out.name = g_strdup(vm->name);
		g_array_append_val(v->vms, out);
	}
	for (i = 0; i < f->drains->len; i++) {
		const struct fst_drain *d = g_ptr_array_index(f->drains, i);

		g_ptr_array_add(v->drained, g_strdup(d->name));
	}
	return v;
}

static void fst_build_view_pools(const struct fst *f,
				 const struct cfg_obj *site, struct fvw *v)
{
	guint i;

	cfg_view_pools(f->cfg, site, v);
	for (i = 0; i < v->pools->len; i++) {
		struct fvw_pool *p =
			&g_array_index(v->pools, struct fvw_pool, i);
		int priority = fst_priority(f, p->name);

		if (priority != FCM_NO_PRIORITY)
			p->priority = priority;
	}
}

static int fst_compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the names of VMs of all sites removed after version from. */
static GPtrArray *fst_removed_since(const struct fst *f, uint64_t from)
{
	GPtrArray *removed = g_ptr_array_new();
	guint i;

	for (i = f->removed->len; i-- > 0;) {
		const struct fst_vm *vm = g_ptr_array_index(f->removed, i);

		if (vm->since <= from)
			break;
		g_ptr_array_add(removed, vm->name);
	}
	g_ptr_array_sort(removed, fst_compare_names);
	return removed;
}

static struct fst_site *fst_site_find(const struct fst *f, const char *name)
{
	guint i;

	for (i = 0; i < f->sites->len; i++) {
		struct fst_site *s = g_ptr_array_index(f->sites, i);

		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

/* Frees the record of a site (struct fst_site). */
void fst_site_free(gpointer p)
{
	struct fst_site *s = p;

	g_free(s->name);
	g_free(s);
}

/* Marks the pools of every site as changed in the present version. */
void fst_mark_sites_changed(struct fst *f)
{
	guint i;

	for (i = 0; i < f->sites->len; i++)
		((struct fst_site *)g_ptr_array_index(f->sites, i))->since =
			f->version;
}

/* Returns whether a site's pools are the same in both configurations. */
static bool fst_pools_equal(const struct cfg *prev, const struct cfg *next,
			    const char *name)
{
	struct fvw *a = fvw_new(0);
	struct fvw *b = fvw_new(0);
	struct pk_out x;
	struct pk_out y;
	bool same;

	cfg_view_pools(prev, cfg_find(prev, CFG_SITE, name), a);
	cfg_view_pools(next, cfg_find(next, CFG_SITE, name), b);
	pk_out_init(&x);
	pk_out_init(&y);
	fvw_pack(a, &x);
	fvw_pack(b, &y);
	same = lstr_eq(pk_out_view(&x), pk_out_view(&y));
	pk_out_done(&x);
	pk_out_done(&y);
	fvw_free(a);
	fvw_free(b);
	return same;
}

/*
 * Updates the list of sites for the next configuration, with the version in
 * which each site's pools changed last. A new site needs full views.
 */
void fst_update_sites(struct fst *f, const struct cfg *next)
{
	GPtrArray *sites = g_ptr_array_new_with_free_func(fst_site_free);
	guint i;

	for (i = 0; i < next->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *site =
			g_ptr_array_index(next->objs[CFG_SITE], i);
		const struct fst_site *prev = fst_site_find(f, site->name);
		struct fst_site *s = g_new0(struct fst_site, 1);

		s->name = g_strdup(site->name);
		s->since = f->version;
		if (!prev)
			f->full_view_since = f->version;
		else if (fst_pools_equal(f->cfg, next, site->name))
			s->since = prev->since;
		g_ptr_array_add(sites, s);
	}
	/* Zones and their VMs may have been reassigned to another site. */
	if (f->cfg && f->sites->len != sites->len)
		f->full_view_since = f->version;
	g_ptr_array_free(f->sites, TRUE);
	f->sites = sites;
}
