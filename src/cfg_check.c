#include "cfg_in.h"

static void cfg_check_zones(struct cfg *c, GPtrArray *faults);
static void cfg_check_vms(struct cfg *c, GPtrArray *faults);
static void cfg_check_services(struct cfg *c, GPtrArray *faults);
static void cfg_check_refs(struct cfg *c, GPtrArray *faults);
static void cfg_check_pools(struct cfg *c, GPtrArray *faults);
static void cfg_check_pool(struct cfg *c, const struct cfg_obj *site,
			   const struct cfg_obj *pool, GPtrArray *faults);
static void cfg_check_jobs(struct cfg *c, GPtrArray *faults);
static void cfg_check_repeats(struct cfg *c, GPtrArray *faults);
static void cfg_check_repeat(struct cfg *c, const struct cfg_obj *o,
			     GPtrArray *faults);

static void (*const cfg_checks[])(struct cfg *c, GPtrArray *faults) = {
	cfg_check_zones, cfg_check_vms,	 cfg_check_services, cfg_check_refs,
	cfg_check_pools, cfg_check_jobs, cfg_check_repeats,
};

/* Checks what no line shows by itself: names, sums, and each site's values. */
void cfg_check_whole(struct cfg *c, GPtrArray *faults)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cfg_checks); i++)
		cfg_checks[i](c, faults);
}

/* The place of a value, or of its object where it is the default. */
static struct cfg_place cfg_place_of(const struct cfg *c,
				     const struct cfg_obj *o, enum cfg_key key,
				     const struct cfg_val *v)
{
	guint file = v && v->line ? v->file : o->file;

	return (struct cfg_place){
		.file = g_ptr_array_index(c->files, file),
		.line = v && v->line ? v->line : o->line,
		.group = o->group,
		.key = key < CFG_KEYS ? cfg_keys[key].name : "",
		.value = v ? v->text : "",
	};
}

static void cfg_check_zones(struct cfg *c, GPtrArray *faults)
{
	GPtrArray *sites = c->objs[CFG_SITE];
	guint i;
	guint j;

	for (i = 0; i < sites->len; i++) {
		const struct cfg_obj *site = g_ptr_array_index(sites, i);
		const struct cfg_val *v = &site->vals[0];
		struct cfg_place at = cfg_place_of(c, site, CFG_SITE_ZONES, v);
		char **names = g_strsplit_set(v->text, " ", -1);

		for (j = 0; names[j]; j++) {
			if (*names[j] == '\0')
				continue;
			if (!g_hash_table_insert(c->zones, g_strdup(names[j]),
						 (gpointer)site))
				cfg_fault(faults, &at,
					  "zone %s stands twice; allowed: "
					  "each zone at one site",
					  names[j]);
		}
		g_strfreev(names);
	}
}

static void cfg_check_vms(struct cfg *c, GPtrArray *faults)
{
	guint i;

	for (i = 0; i < c->objs[CFG_RACK]->len; i++) {
		const struct cfg_obj *rack =
			g_ptr_array_index(c->objs[CFG_RACK], i);
		struct cfg_place at =
			cfg_place_of(c, rack, CFG_RACK_ZONE, &rack->vals[0]);

		if (!g_hash_table_contains(c->zones, rack->vals[0].text))
			cfg_fault(faults, &at,
				  "allowed: a zone that a [site] names");
	}
	for (i = 0; i < c->vms->len; i++) {
		struct cfg_vm *vm = &g_array_index(c->vms, struct cfg_vm, i);
		const struct cfg_vm *last = i ? vm - 1 : NULL;

		vm->zone = vm->rack->vals[0].text;
		vm->site = g_hash_table_lookup(c->zones, vm->zone);
		if (last && g_str_equal(last->name, vm->name)) {
			struct cfg_place at =
				cfg_place_of(c, vm->rack, CFG_KEYS, NULL);

			at.line = vm->line;
			at.key = vm->name;
			cfg_fault(faults, &at, "VM stands at line %d already",
				  last->line);
		}
	}
}

static void cfg_check_services(struct cfg *c, GPtrArray *faults)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < c->objs[CFG_POOL]->len; i++) {
		const struct cfg_obj *pool =
			g_ptr_array_index(c->objs[CFG_POOL], i);
		const struct cfg_val *v = &pool->vals[0];
		const char *other = g_hash_table_lookup(seen, v->text);
		struct cfg_place at =
			cfg_place_of(c, pool, CFG_POOL_SERVICE, v);

		if (other)
			cfg_fault(faults, &at,
				  "pool %s serves it already; allowed: one "
				  "pool a service",
				  other);
		g_hash_table_insert(seen, v->text, pool->name);
	}
	g_hash_table_destroy(seen);
}

static void cfg_check_refs(struct cfg *c, GPtrArray *faults)
{
	static const enum cfg_key refs[] = {CFG_JOB_POOL, CFG_JOB_TEAM};
	guint i;
	size_t k;

	for (i = 0; i < c->objs[CFG_JOB]->len; i++) {
		const struct cfg_obj *job =
			g_ptr_array_index(c->objs[CFG_JOB], i);

		for (k = 0; k < G_N_ELEMENTS(refs); k++) {
			const struct cfg_val *v =
				cfg_value(c, NULL, job, refs[k]);
			struct cfg_place at = cfg_place_of(c, job, refs[k], v);
			char *allowed = cfg_allowed(refs[k]);

			if (!cfg_find(c, cfg_keys[refs[k]].ref, v->text))
				cfg_fault(faults, &at, "%s", allowed);
			g_free(allowed);
		}
	}
}

static void cfg_check_pools(struct cfg *c, GPtrArray *faults)
{
	GPtrArray *sites = c->objs[CFG_SITE];
	struct cfg_place at = {.file = g_ptr_array_index(c->files, 0)};
	guint i;
	guint j;

	if (c->objs[CFG_FLEET]->len == 0)
		cfg_fault(faults, &at, "must have [fleet] and name = NAME");
	if (sites->len == 0)
		cfg_fault(faults, &at, "must have a [site NAME]");
	for (i = 0; i < sites->len; i++)
		for (j = 0; j < c->objs[CFG_POOL]->len; j++)
			cfg_check_pool(c, g_ptr_array_index(sites, i),
				       g_ptr_array_index(c->objs[CFG_POOL], j),
				       faults);
}

static void cfg_check_pool(struct cfg *c, const struct cfg_obj *site,
			   const struct cfg_obj *pool, GPtrArray *faults)
{
	const struct cfg_val *capacity =
		cfg_value(c, site, pool, CFG_POOL_CAPACITY);
	const struct cfg_val *slots = cfg_value(c, site, pool, CFG_POOL_SLOTS);
	const struct cfg_val *conns =
		cfg_value(c, site, pool, CFG_POOL_CONNECTIONS);
	const struct cfg_val *budget =
		cfg_value(c, site, pool, CFG_POOL_BUDGET);
	struct cfg_place at;

	if (slots->num > conns->num) {
		at = cfg_place_of(c, pool, CFG_POOL_SLOTS, slots);
		cfg_fault(faults, &at,
			  "at site %s: more than its connections, %s; allowed: "
			  "a connection for each slot",
			  site->name, conns->text);
	}
	/* A pool of one VM that may miss it would keep its budget while gone. */
	if (budget->num > 0 && budget->num >= capacity->num) {
		at = cfg_place_of(c, pool, CFG_POOL_BUDGET, budget);
		cfg_fault(faults, &at,
			  "at site %s: allowed: less than the capacity, %s",
			  site->name, capacity->text);
	}
}

/* A size of VM that stands in a pool. */
struct cfg_fit {
	const struct cfg_obj *pool;
	const struct cfg_obj *size;
};

/* Few sizes stand in a pool, so jobs are held against these, not each VM. */
static GArray *cfg_fits(const struct cfg *c)
{
	GArray *fits = g_array_new(FALSE, TRUE, sizeof(struct cfg_fit));
	guint i;
	guint j;

	for (i = 0; i < c->vms->len; i++) {
		const struct cfg_vm *vm =
			&g_array_index(c->vms, struct cfg_vm, i);
		struct cfg_fit fit = {vm->pool, vm->size};

		for (j = 0; j < fits->len; j++) {
			const struct cfg_fit *f =
				&g_array_index(fits, struct cfg_fit, j);

			if (f->pool == fit.pool && f->size == fit.size)
				break;
		}
		if (j == fits->len)
			g_array_append_val(fits, fit);
	}
	return fits;
}

static bool cfg_job_fits(const struct cfg *c, const struct cfg_obj *job,
			 const struct cfg_fit *f)
{
	return g_str_equal(f->pool->name,
			   cfg_str(c, NULL, job, CFG_JOB_POOL)) &&
	       cfg_num(c, NULL, f->size, CFG_SIZE_CORES) >=
		       cfg_num(c, NULL, job, CFG_JOB_CORES) &&
	       cfg_num(c, NULL, f->size, CFG_SIZE_MEMORY) >=
		       cfg_num(c, NULL, job, CFG_JOB_MEMORY) &&
	       cfg_num(c, NULL, f->size, CFG_SIZE_ACCELERATORS) >=
		       cfg_num(c, NULL, job, CFG_JOB_ACCELERATORS);
}

/* A job that no VM of its pool can hold would wait for ever. */
static void cfg_check_jobs(struct cfg *c, GPtrArray *faults)
{
	GArray *fits = cfg_fits(c);
	guint i;
	guint j;

	for (i = 0; i < c->objs[CFG_JOB]->len; i++) {
		const struct cfg_obj *job =
			g_ptr_array_index(c->objs[CFG_JOB], i);
		struct cfg_place at = cfg_place_of(c, job, CFG_KEYS, NULL);

		for (j = 0; j < fits->len; j++)
			if (cfg_job_fits(c, job,
					 &g_array_index(fits, struct cfg_fit,
							j)))
				break;
		if (j == fits->len)
			cfg_remark(faults, &at,
				   "too large for every VM of pool %s: it can "
				   "never run there",
				   cfg_str(c, NULL, job, CFG_JOB_POOL));
	}
	g_array_free(fits, TRUE);
}

static void cfg_check_repeats(struct cfg *c, GPtrArray *faults)
{
	guint i;
	guint j;

	for (i = 0; i < c->overlays->len; i++) {
		const struct cfg_overlay *ov =
			g_ptr_array_index(c->overlays, i);

		for (j = 0; j < ov->objs->len; j++)
			cfg_check_repeat(c, g_ptr_array_index(ov->objs, j),
					 faults);
	}
}

static void cfg_check_repeat(struct cfg *c, const struct cfg_obj *o,
			     GPtrArray *faults)
{
	const struct cfg_kind_def *kind = &cfg_kinds[o->kind];
	const struct cfg_obj *base = cfg_find(c, o->kind, o->name);
	int key;

	if (o->kind == CFG_OVERLAY)
		return;
	for (key = (int)kind->first; key <= (int)kind->last; key++) {
		const struct cfg_val *v = &o->vals[key - (int)kind->first];
		const struct cfg_val *was;
		struct cfg_place at;
		char *origin;

		if (!v->text)
			continue;
		was = cfg_value(c, NULL, base, (enum cfg_key)key);
		if (!cfg_same((enum cfg_key)key, v, was))
			continue;
		at = cfg_place_of(c, o, (enum cfg_key)key, v);
		origin = cfg_origin(c, was);
		cfg_remark(faults, &at, "repeats the base's value (%s)",
			   origin);
		g_free(origin);
	}
}
