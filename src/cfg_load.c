#include "cfg_in.h"

#define CFG_VM_KEY "vm."
#define CFG_VMS_MAX 12000

/* Reading one file into objects; those of an overlay are kept apart. */
struct cfg_reader {
	struct cfg *c;
	GPtrArray *faults;
	GHashTable *byname; /* "group" -> struct cfg_obj of the base */
	guint file;
	struct cfg_overlay *overlay; /* NULL in the base file */
	struct cfg_obj *obj; /* of the current section; NULL: faulty */
};

static void cfg_overlay_free(gpointer p);
static void cfg_vm_clear(gpointer p);
static void cfg_add_file(struct cfg_reader *r, const struct cfg_text *t);
static void cfg_read_file(struct cfg_reader *r, const struct cfg_text *t);
static void cfg_read_group(struct cfg_reader *r, const struct cfg_item *it,
			   const struct cfg_place *at);
static void cfg_read_key(struct cfg_reader *r, const struct cfg_item *it,
			 const struct cfg_place *at);
static void cfg_read_vm(struct cfg_reader *r, const struct cfg_item *it,
			const struct cfg_place *at);
static struct cfg_obj *cfg_add_obj(struct cfg_reader *r, enum cfg_kind kind,
				   const char *name, const char *group,
				   const struct cfg_place *at);
static void cfg_check_missing(struct cfg_reader *r, GPtrArray *objs);
static void cfg_end_overlay(struct cfg_reader *r);
static void cfg_sort(struct cfg *c);
static int cfg_vm_order(gconstpointer a, gconstpointer b);
static int cfg_fault_order(gconstpointer a, gconstpointer b, gpointer files);
static bool cfg_too_large(const struct cfg_text *files, guint n,
			  GPtrArray *faults);

/*
 * Reads and checks a base file (the first) and overlays as a whole. NULL
 * where a fault keeps it from being accepted; faults gets these and what is
 * worth pointing out. The texts aren't needed afterwards.
 */
struct cfg *cfg_load(const struct cfg_text *files, guint n, GPtrArray *faults)
{
	struct cfg *c;
	struct cfg_reader r = {.faults = faults};
	guint i;

	if (cfg_too_large(files, n, faults))
		return NULL;
	c = g_new0(struct cfg, 1);
	c->files = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < CFG_KINDS; i++)
		c->objs[i] = g_ptr_array_new_with_free_func(cfg_obj_free);
	c->overlays = g_ptr_array_new_with_free_func(cfg_overlay_free);
	c->vms = g_array_new(FALSE, TRUE, sizeof(struct cfg_vm));
	g_array_set_clear_func(c->vms, cfg_vm_clear);
	c->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r.c = c;
	r.byname = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (r.file = 0; r.file < n; r.file++) {
		cfg_add_file(&r, &files[r.file]);
		cfg_read_file(&r, &files[r.file]);
	}
	g_hash_table_destroy(r.byname);
	cfg_sort(c);
	/* Faults that follow from earlier ones would only confuse. */
	if (cfg_faults_hard(faults) == 0)
		cfg_check_whole(c, faults);
	g_ptr_array_sort_with_data(faults, cfg_fault_order, c->files);
	if (cfg_faults_hard(faults) == 0)
		return c;
	cfg_free(c);
	return NULL;
}

static bool cfg_too_large(const struct cfg_text *files, guint n,
			  GPtrArray *faults)
{
	struct cfg_place at = {.file = "configuration"};
	guint max = 1 + cfg_kinds[CFG_SITE].max;
	size_t sum = 0;
	guint i;

	for (i = 0; i < n; i++)
		sum += files[i].text.len;
	if (n == 0 || n > max)
		cfg_fault(faults, &at,
			  "%u files; allowed: a base file and up to %u "
			  "overlays",
			  n, max - 1);
	else if (sum > CFG_TEXT_MAX)
		cfg_fault(faults, &at,
			  "%zu bytes; allowed: up to %u for all files "
			  "together",
			  sum, CFG_TEXT_MAX);
	else
		return false;
	return true;
}

/* In the order in which an editor meets them. */
static int cfg_fault_order(gconstpointer a, gconstpointer b, gpointer files)
{
	const struct cfg_fault *x = *(const struct cfg_fault *const *)a;
	const struct cfg_fault *y = *(const struct cfg_fault *const *)b;
	guint i = 0;
	guint j = 0;

	g_ptr_array_find_with_equal_func(files, x->file, g_str_equal, &i);
	g_ptr_array_find_with_equal_func(files, y->file, g_str_equal, &j);
	if (i != j)
		return i < j ? -1 : 1;
	return x->line - y->line;
}

/* Frees a configuration; NULL is allowed. */
void cfg_free(struct cfg *c)
{
	guint i;

	if (!c)
		return;
	g_ptr_array_free(c->overlays, TRUE);
	g_array_free(c->vms, TRUE);
	for (i = 0; i < CFG_KINDS; i++)
		g_ptr_array_free(c->objs[i], TRUE);
	g_ptr_array_free(c->files, TRUE);
	g_hash_table_destroy(c->zones);
	g_free(c);
}

static void cfg_overlay_free(gpointer p)
{
	struct cfg_overlay *o = p;

	g_ptr_array_free(o->objs, TRUE);
	g_free(o);
}

static void cfg_vm_clear(gpointer p)
{
	g_free(((struct cfg_vm *)p)->name);
}

/* An object with no value stated yet. */
struct cfg_obj *cfg_obj_new(enum cfg_kind kind, const char *name)
{
	struct cfg_obj *o = g_new0(struct cfg_obj, 1);
	const struct cfg_kind_def *def = &cfg_kinds[kind];

	o->kind = kind;
	o->name = g_strdup(name);
	o->group = g_strdup_printf("%s%s%s", def->name, *name ? " " : "", name);
	o->vals = g_new0(struct cfg_val, (gsize)(def->last - def->first) + 1);
	return o;
}

/* Frees an object and its values. */
void cfg_obj_free(gpointer p)
{
	struct cfg_obj *o = p;
	const struct cfg_kind_def *def = &cfg_kinds[o->kind];
	int i;

	for (i = 0; i <= (int)(def->last - def->first); i++)
		g_free(o->vals[i].text);
	g_free(o->vals);
	g_free(o->name);
	g_free(o->group);
	g_free(o);
}

/* Faults and origins name files, so no two may share a name. */
static void cfg_add_file(struct cfg_reader *r, const struct cfg_text *t)
{
	char *name = lstr_dup(t->name);
	struct cfg_place at = {.file = name};

	if (g_ptr_array_find_with_equal_func(r->c->files, name, g_str_equal,
					     NULL))
		cfg_fault(r->faults, &at, "two files have this name");
	else if (!cfg_is_name(t->name))
		cfg_fault(r->faults, &at,
			  "allowed in a file's name: letters, digits, \".\", "
			  "\"_\", \"-\", up to %d characters",
			  CFG_NAME_MAX);
	g_ptr_array_add(r->c->files, name);
}

static void cfg_read_file(struct cfg_reader *r, const struct cfg_text *t)
{
	const char *file = g_ptr_array_index(r->c->files, r->file);
	GPtrArray *items = cfg_scan(file, t->text, r->faults);
	guint i;

	r->obj = NULL;
	r->overlay = NULL;
	if (!items)
		return;
	if (r->file > 0) {
		r->overlay = g_new0(struct cfg_overlay, 1);
		r->overlay->file = r->file;
		r->overlay->objs = g_ptr_array_new_with_free_func(cfg_obj_free);
		g_ptr_array_add(r->c->overlays, r->overlay);
	}
	for (i = 0; i < items->len; i++) {
		const struct cfg_item *it = g_ptr_array_index(items, i);
		struct cfg_place at = {.file = file,
				       .line = it->line,
				       .group = it->group,
				       .key = it->key,
				       .value = it->value};

		if (*it->key == '\0')
			cfg_read_group(r, it, &at);
		else if (r->obj)
			cfg_read_key(r, it, &at);
	}
	g_ptr_array_free(items, TRUE);
	if (r->overlay)
		cfg_end_overlay(r);
	else
		for (i = 0; i < CFG_KINDS; i++)
			cfg_check_missing(r, r->c->objs[i]);
}

/* Kinds of which an overlay may state differences. */
static bool cfg_kind_fits(const struct cfg_reader *r, enum cfg_kind kind)
{
	if (!r->overlay)
		return kind != CFG_OVERLAY;
	return kind == CFG_OVERLAY || kind == CFG_POOL || kind == CFG_TEAM ||
	       kind == CFG_JOB;
}

static void cfg_read_group(struct cfg_reader *r, const struct cfg_item *it,
			   const struct cfg_place *at)
{
	struct lstr word;
	struct lstr rest;
	char *name;
	int kind;

	r->obj = NULL;
	lstr_cut(lstr_from(it->group), ' ', &word, &rest);
	for (kind = 0; kind < CFG_KINDS; kind++)
		if (lstr_eq(word, lstr_from(cfg_kinds[kind].name)))
			break;
	if (kind == CFG_KINDS || !cfg_kind_fits(r, (enum cfg_kind)kind)) {
		cfg_fault(r->faults, at, "%s",
			  r->overlay ? "allowed in an overlay: [overlay], "
				       "[pool NAME], [team NAME], [job NAME]"
				     : "allowed in the base file: [fleet], "
				       "[site NAME], [size NAME], [pool NAME], "
				       "[team NAME], [job NAME], [rack NAME]");
		return;
	}
	if (cfg_kinds[kind].named ? !cfg_is_name(rest) : rest.len > 0) {
		cfg_fault(r->faults, at, "allowed: [%s%s]",
			  cfg_kinds[kind].name,
			  cfg_kinds[kind].named ? " NAME" : "");
		return;
	}
	name = lstr_dup(rest);
	r->obj = cfg_add_obj(r, (enum cfg_kind)kind, name, it->group, at);
	g_free(name);
}

static struct cfg_obj *cfg_add_obj(struct cfg_reader *r, enum cfg_kind kind,
				   const char *name, const char *group,
				   const struct cfg_place *at)
{
	GPtrArray *list = r->overlay ? r->overlay->objs : r->c->objs[kind];
	struct cfg_obj *o;

	if (r->overlay && kind != CFG_OVERLAY &&
	    !g_hash_table_contains(r->byname, group)) {
		cfg_fault(r->faults, at, "the base file has no such section");
		return NULL;
	}
	if (!r->overlay && list->len >= cfg_kinds[kind].max) {
		cfg_fault(r->faults, at, "allowed: up to %u [%s] sections",
			  cfg_kinds[kind].max, cfg_kinds[kind].name);
		return NULL;
	}
	o = cfg_obj_new(kind, name);
	o->file = r->file;
	o->line = at->line;
	g_ptr_array_add(list, o);
	if (!r->overlay)
		g_hash_table_insert(r->byname, g_strdup(group), o);
	return o;
}

static void cfg_read_key(struct cfg_reader *r, const struct cfg_item *it,
			 const struct cfg_place *at)
{
	const struct cfg_kind_def *kind = &cfg_kinds[r->obj->kind];
	struct cfg_val *v;
	char *allowed;
	int key;

	if (r->obj->kind == CFG_RACK && g_str_has_prefix(it->key, CFG_VM_KEY)) {
		cfg_read_vm(r, it, at);
		return;
	}
	for (key = (int)kind->first; key <= (int)kind->last; key++)
		if (g_str_equal(cfg_keys[key].name, it->key))
			break;
	if (key > (int)kind->last) {
		cfg_fault(r->faults, at, "[%s] has no such key", kind->name);
		return;
	}
	if (r->overlay && r->obj->kind != CFG_OVERLAY &&
	    !cfg_keys[key].overlay) {
		cfg_fault(r->faults, at,
			  "is the same at every site; allowed "
			  "in the base file only");
		return;
	}
	v = &r->obj->vals[key - (int)kind->first];
	v->file = r->file;
	v->line = it->line;
	if (!cfg_parse((enum cfg_key)key, it->value, &v->num)) {
		allowed = cfg_allowed((enum cfg_key)key);
		cfg_fault(r->faults, at, "%s", allowed);
		g_free(allowed);
		return;
	}
	v->text = g_strdup(it->value);
}

/* "vm.NAME = POOL SIZE"; both are looked up once the whole file is read. */
static void cfg_read_vm(struct cfg_reader *r, const struct cfg_item *it,
			const struct cfg_place *at)
{
	struct cfg_vm vm = {.rack = r->obj, .line = it->line};
	struct lstr pool;
	struct lstr size;
	char *group;

	if (r->c->vms->len >= CFG_VMS_MAX) {
		if (r->c->vms->len == CFG_VMS_MAX)
			cfg_fault(r->faults, at, "allowed: up to %d VMs",
				  CFG_VMS_MAX);
		return;
	}
	lstr_cut(lstr_from(it->value), ' ', &pool, &size);
	group = g_strdup_printf("pool " LSTR_FMT, LSTR_ARG(pool));
	vm.pool = g_hash_table_lookup(r->byname, group);
	g_free(group);
	size = lstr_trim(size);
	group = g_strdup_printf("size " LSTR_FMT, LSTR_ARG(size));
	vm.size = g_hash_table_lookup(r->byname, group);
	g_free(group);
	if (!vm.pool || !vm.size) {
		cfg_fault(r->faults, at,
			  "allowed: POOL SIZE, the names of a [pool] and a "
			  "[size] that stand above");
		return;
	}
	vm.name = g_strdup(it->key + strlen(CFG_VM_KEY));
	if (cfg_is_name(lstr_from(vm.name))) {
		g_array_append_val(r->c->vms, vm);
		return;
	}
	g_free(vm.name);
	cfg_fault(r->faults, at, "allowed: vm.NAME = POOL SIZE");
}

static void cfg_check_missing(struct cfg_reader *r, GPtrArray *objs)
{
	guint i;
	int key;

	for (i = 0; i < objs->len; i++) {
		const struct cfg_obj *o = g_ptr_array_index(objs, i);
		const struct cfg_kind_def *kind = &cfg_kinds[o->kind];
		struct cfg_place at = {.file = g_ptr_array_index(r->c->files,
								 o->file),
				       .line = o->line,
				       .group = o->group};

		for (key = (int)kind->first; key <= (int)kind->last; key++) {
			/* Given, though perhaps not as it must be. */
			if (cfg_keys[key].dflt ||
			    o->vals[key - (int)kind->first].line)
				continue;
			at.key = cfg_keys[key].name;
			cfg_fault(r->faults, &at, "must be given");
		}
	}
}

/* An overlay must say whose it is; the rest is compared with the base. */
static void cfg_end_overlay(struct cfg_reader *r)
{
	struct cfg_place at = {.file = g_ptr_array_index(r->c->files, r->file)};
	struct cfg_overlay *ov = r->overlay;
	const struct cfg_val *site = NULL;
	guint i;

	for (i = 0; i < ov->objs->len; i++) {
		const struct cfg_obj *o = g_ptr_array_index(ov->objs, i);

		if (o->kind == CFG_OVERLAY)
			site = &o->vals[0];
	}
	if (!site || !site->text) {
		cfg_fault(r->faults, &at,
			  "must begin with [overlay] and site = NAME");
		return;
	}
	at.line = site->line;
	at.group = "overlay";
	at.key = "site";
	at.value = site->text;
	for (i = 0; i < r->c->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *o =
			g_ptr_array_index(r->c->objs[CFG_SITE], i);

		if (g_str_equal(o->name, site->text))
			ov->site = o;
	}
	if (!ov->site)
		cfg_fault(r->faults, &at, "the base file has no such site");
	for (i = 0; ov->site && i + 1 < r->c->overlays->len; i++) {
		const struct cfg_overlay *other =
			g_ptr_array_index(r->c->overlays, i);

		if (other->site == ov->site)
			cfg_fault(r->faults, &at, "%s is of this site already",
				  (char *)g_ptr_array_index(r->c->files,
							    other->file));
	}
}

static void cfg_sort(struct cfg *c)
{
	guint i;

	for (i = 0; i < CFG_KINDS; i++)
		g_ptr_array_sort(c->objs[i], cfg_obj_order);
	for (i = 0; i < c->overlays->len; i++) {
		struct cfg_overlay *ov = g_ptr_array_index(c->overlays, i);

		g_ptr_array_sort(ov->objs, cfg_obj_order);
	}
	g_array_sort(c->vms, cfg_vm_order);
}

static int cfg_vm_order(gconstpointer a, gconstpointer b)
{
	const struct cfg_vm *x = a;
	const struct cfg_vm *y = b;
	int c = strcmp(x->name, y->name);

	return c ? c : x->line - y->line;
}
