#include "fst_in.h"

static const struct cfg_obj *fst_view_site(const struct fst *f,
					   struct lstr zone);
static struct fvw *fst_view_make(const struct fst *f,
				 const struct cfg_obj *site, uint64_t from);
static void fst_view_pools(const struct fst *f, const struct cfg_obj *site,
			   struct fvw *v);
static GPtrArray *fst_view_gone(const struct fst *f, uint64_t from);
static struct fst_site *fst_site_find(const struct fst *f, const char *name);

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
	struct fvw *v = fst_view_make(f, fst_view_site(f, zone), 0);

	fvw_pack(v, o);
	fvw_free(v);
}

/*
 * Packs what changed in that view since a version an entry daemon works by
 * (see fvw_update); the whole view where that is not known any more.
 */
void fst_view_since(const struct fst *f, struct lstr zone, uint64_t from,
		    struct pk_out *o)
{
	const struct cfg_obj *site = fst_view_site(f, zone);
	const struct fst_site *s = site ? fst_site_find(f, site->name) : NULL;
	bool pools = s && s->since > from;
	GPtrArray *gone;
	struct fvw *v;

	if (!s || from < f->whole_since || from == 0 || from > f->version) {
		fst_view_zone(f, zone, o);
		return;
	}
	v = fst_view_make(f, site, from);
	if (!pools)
		g_array_set_size(v->pools, 0);
	gone = fst_view_gone(f, from);
	fvw_delta_pack(v, from, pools, gone, o);
	g_ptr_array_free(gone, TRUE);
	fvw_free(v);
}

static const struct cfg_obj *fst_view_site(const struct fst *f,
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

/* The view with all pools and those VMs that changed after version from. */
static struct fvw *fst_view_make(const struct fst *f,
				 const struct cfg_obj *site, uint64_t from)
{
	struct fvw *v = fvw_new(f->version);
	guint i;

	/* Few and short, so always all of them. */
	for (i = 0; i < f->keepers->len; i++)
		g_ptr_array_add(v->keepers, fvw_keepers_copy(g_ptr_array_index(
						    f->keepers, i)));
	if (!f->cfg)
		return v;
	fst_view_pools(f, site, v);
	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);
		struct fvw_vm out = {
			.epoch = vm->epoch,
			/* A VM on its way gets no new work of either pool. */
			.drained = vm->drained || vm->phase != FST_SETTLED,
		};

		if (vm->since <= from ||
		    (site && cfg_vm(f->cfg, vm->name)->site != site))
			continue;
		out.pool = fvw_pool_at(v, vm->pool);
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

static void fst_view_pools(const struct fst *f, const struct cfg_obj *site,
			   struct fvw *v)
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

static int fst_name_order(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Names of VMs removed after version from, of whichever site. */
static GPtrArray *fst_view_gone(const struct fst *f, uint64_t from)
{
	GPtrArray *gone = g_ptr_array_new();
	guint i;

	for (i = f->gone->len; i-- > 0;) {
		const struct fst_vm *vm = g_ptr_array_index(f->gone, i);

		if (vm->since <= from)
			break;
		g_ptr_array_add(gone, vm->name);
	}
	g_ptr_array_sort(gone, fst_name_order);
	return gone;
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

/* Frees a site's record. */
void fst_site_free(gpointer p)
{
	struct fst_site *s = p;

	g_free(s->name);
	g_free(s);
}

/* The pools of every site have changed. */
void fst_sites_touch(struct fst *f)
{
	guint i;

	for (i = 0; i < f->sites->len; i++)
		((struct fst_site *)g_ptr_array_index(f->sites, i))->since =
			f->version;
}

/* Whether the pools of a site are the same under both configurations. */
static bool fst_same_pools(const struct cfg *was, const struct cfg *next,
			   const char *name)
{
	struct fvw *a = fvw_new(0);
	struct fvw *b = fvw_new(0);
	struct pk_out x;
	struct pk_out y;
	bool same;

	cfg_view_pools(was, cfg_find(was, CFG_SITE, name), a);
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
 * Notes for each site of the next configuration whether its pools change
 * with it; a site that is new needs whole views.
 */
void fst_sites_take(struct fst *f, const struct cfg *next)
{
	GPtrArray *sites = g_ptr_array_new_with_free_func(fst_site_free);
	guint i;

	for (i = 0; i < next->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *site =
			g_ptr_array_index(next->objs[CFG_SITE], i);
		const struct fst_site *was = fst_site_find(f, site->name);
		struct fst_site *s = g_new0(struct fst_site, 1);

		s->name = g_strdup(site->name);
		s->since = f->version;
		if (!was)
			f->whole_since = f->version;
		else if (fst_same_pools(f->cfg, next, site->name))
			s->since = was->since;
		g_ptr_array_add(sites, s);
	}
	/* Zones may have gone to another site, and VMs with them. */
	if (f->cfg && f->sites->len != sites->len)
		f->whole_since = f->version;
	g_ptr_array_free(f->sites, TRUE);
	f->sites = sites;
}
