#include "cfg_in.h"

#include <stdlib.h>

static struct cfg_obj *cfg_search(const GPtrArray *objs, enum cfg_kind kind,
				  const char *name);
static int cfg_vm_named(const void *name, const void *vm);
static const struct cfg_val *cfg_overlaid(const struct cfg *c,
					  const struct cfg_obj *site,
					  const struct cfg_obj *o,
					  enum cfg_key key);

/*
 * Effective values: the overlay's where it states one, else the base file's,
 * else the default of the key.
 */

/* The default of each key, parsed once. */
static struct cfg_val cfg_defaults[CFG_KEYS];

/* The default of a key; it has one. */
const struct cfg_val *cfg_default(enum cfg_key key)
{
	struct cfg_val *v = &cfg_defaults[key];

	if (!v->text) {
		g_assert(cfg_keys[key].dflt);
		v->text = (char *)cfg_keys[key].dflt;
		if (!cfg_parse(key, v->text, &v->num))
			g_assert_not_reached();
	}
	return v;
}

/* The object of that kind and name in the base file, or NULL. */
const struct cfg_obj *cfg_find(const struct cfg *c, enum cfg_kind kind,
			       const char *name)
{
	return cfg_search(c->objs[kind], kind, name);
}

static struct cfg_obj *cfg_search(const GPtrArray *objs, enum cfg_kind kind,
				  const char *name)
{
	struct cfg_obj want = {.kind = kind, .name = (char *)name};
	const struct cfg_obj *key = &want;
	struct cfg_obj **at;

	if (objs->len == 0)
		return NULL;
	at = bsearch(&key, objs->pdata, objs->len, sizeof(*objs->pdata),
		     cfg_obj_order);
	return at ? *at : NULL;
}

/* Order of objects in sorted lists: by kind, then by name. */
int cfg_obj_order(gconstpointer a, gconstpointer b)
{
	const struct cfg_obj *const *x = a;
	const struct cfg_obj *const *y = b;

	if ((*x)->kind != (*y)->kind)
		return (int)(*x)->kind - (int)(*y)->kind;
	return strcmp((*x)->name, (*y)->name);
}

/* The VM of that name, or NULL. */
const struct cfg_vm *cfg_vm(const struct cfg *c, const char *name)
{
	if (c->vms->len == 0)
		return NULL;
	return bsearch(name, c->vms->data, c->vms->len, sizeof(struct cfg_vm),
		       cfg_vm_named);
}

static int cfg_vm_named(const void *name, const void *vm)
{
	return strcmp(name, ((const struct cfg_vm *)vm)->name);
}

/* What an overlay of the site states for the key; NULL: nothing. */
static const struct cfg_val *cfg_overlaid(const struct cfg *c,
					  const struct cfg_obj *site,
					  const struct cfg_obj *o,
					  enum cfg_key key)
{
	const struct cfg_val *v;
	const struct cfg_obj *d;
	guint i;

	for (i = 0; i < c->overlays->len; i++) {
		const struct cfg_overlay *ov =
			g_ptr_array_index(c->overlays, i);

		if (ov->site != site)
			continue;
		d = cfg_search(ov->objs, o->kind, o->name);
		v = d ? &d->vals[key - cfg_kinds[o->kind].first] : NULL;
		return v && v->text ? v : NULL;
	}
	return NULL;
}

/*
 * The value in force at a site for a key of an object of the base file; site
 * NULL leaves overlays out.
 */
const struct cfg_val *cfg_value(const struct cfg *c, const struct cfg_obj *site,
				const struct cfg_obj *o, enum cfg_key key)
{
	const struct cfg_val *v = NULL;

	g_assert(key >= cfg_kinds[o->kind].first &&
		 key <= cfg_kinds[o->kind].last);
	if (site && cfg_keys[key].overlay)
		v = cfg_overlaid(c, site, o, key);
	if (!v)
		v = &o->vals[key - cfg_kinds[o->kind].first];
	return v->text ? v : cfg_default(key);
}

/* The number of a value in force; see enum cfg_type for its unit. */
int64_t cfg_num(const struct cfg *c, const struct cfg_obj *site,
		const struct cfg_obj *o, enum cfg_key key)
{
	return cfg_value(c, site, o, key)->num;
}

/* The text of a value in force. */
const char *cfg_str(const struct cfg *c, const struct cfg_obj *site,
		    const struct cfg_obj *o, enum cfg_key key)
{
	return cfg_value(c, site, o, key)->text;
}

/* "FILE:LINE" of a value, or "default"; freed with g_free. */
char *cfg_origin(const struct cfg *c, const struct cfg_val *v)
{
	if (v->line == 0)
		return g_strdup("default");
	return g_strdup_printf(
		"%s:%d", (char *)g_ptr_array_index(c->files, v->file), v->line);
}

/* Appends the pools of a site, by name, as entry daemons work by them. */
void cfg_view_pools(const struct cfg *c, const struct cfg_obj *site,
		    struct fvw *v)
{
	guint i;

	for (i = 0; i < c->objs[CFG_POOL]->len; i++) {
		const struct cfg_obj *o =
			g_ptr_array_index(c->objs[CFG_POOL], i);
		struct fvw_pool p = {
			.name = g_strdup(o->name),
			.service =
				g_strdup(cfg_str(c, site, o, CFG_POOL_SERVICE)),
			.slots = (int)cfg_num(c, site, o, CFG_POOL_SLOTS),
			.conns = (int)cfg_num(c, site, o, CFG_POOL_CONNECTIONS),
			.deadline_ms = cfg_num(c, site, o, CFG_POOL_DEADLINE),
			.max_answer = cfg_num(c, site, o, CFG_POOL_MAX_ANSWER),
			.max_body = cfg_num(c, site, o, CFG_POOL_MAX_BODY),
			.queue_ms =
				(int)cfg_num(c, site, o, CFG_POOL_QUEUE_WAIT),
			.priority = (int)cfg_num(c, site, o, CFG_POOL_PRIORITY),
		};

		g_array_append_val(v->pools, p);
	}
}
