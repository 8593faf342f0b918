#include "fst_in.h"

#include "qtb.h"

/* Queries of the fleet state. Each returns a table (see qtb) or an error. */

static void fst_query_config(const struct fst *f, struct lstr arg,
			     struct pk_out *result);
static void fst_query_history(const struct fst *f, struct lstr arg,
			      struct pk_out *result);
static void fst_query_show(const struct fst *f, struct lstr arg,
			   struct pk_out *result);
static void fst_query_audit(const struct fst *f, struct lstr arg,
			    struct pk_out *result);
static void fst_query_status(const struct fst *f, struct lstr arg,
			     struct pk_out *result);
static void fst_query_vms(const struct fst *f, struct lstr arg,
			  struct pk_out *result);
static void fst_query_moves(const struct fst *f, struct lstr arg,
			    struct pk_out *result);
static void fst_query_pools(const struct fst *f, struct lstr arg,
			    struct pk_out *result);
static void fst_query_drains(const struct fst *f, struct lstr arg,
			     struct pk_out *result);
static void fst_query_entries(const struct fst *f, struct lstr arg,
			      struct pk_out *result);
static void fst_put_time(struct pk_out *o, int64_t time_ms);

static const struct {
	const char *name;
	void (*run)(const struct fst *f, struct lstr arg,
		    struct pk_out *result);
} fst_queries[] = {
	{"config", fst_query_config}, {"history", fst_query_history},
	{"show", fst_query_show},     {"audit", fst_query_audit},
	{"status", fst_query_status}, {"vms", fst_query_vms},
	{"moves", fst_query_moves},   {"pools", fst_query_pools},
	{"drains", fst_query_drains}, {"entries", fst_query_entries},
};

/*
 * Answers the query of that name; PROTO_REFUSED if there is none. The caller
 * ensures linearizability where an operator decides by the answer.
 */
void fst_query(const struct fst *f, struct lstr name, struct lstr arg,
	       struct pk_out *result)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fst_queries); i++) {
		if (!lstr_eq(name, lstr_from(fst_queries[i].name)))
			continue;
		fst_queries[i].run(f, arg, result);
		return;
	}
	qtb_fail(result, PROTO_REFUSED, "no such query");
}

static void fst_put_time(struct pk_out *o, int64_t time_ms)
{
	char *text = fst_format_time(time_ms);

	pk_cstr(o, text);
	g_free(text);
}

/* Lists the files of the configuration with number arg; "": the newest. */
static void fst_query_config(const struct fst *f, struct lstr arg,
			     struct pk_out *result)
{
	static const char *const cols[] = {"number", "file", "text"};
	const struct fst_config *c = fst_config_last(f);
	unsigned long long number;
	struct qtb t;
	guint i;

	if (arg.len) {
		c = NULL;
		if (!lstr_u64(arg, &number)) {
			qtb_fail(result, PROTO_REFUSED, "not a number");
			return;
		}
		for (i = 0; i < f->configs->len; i++) {
			const struct fst_config *at =
				g_ptr_array_index(f->configs, i);

			if (at->number == number)
				c = at;
		}
		if (!c || c->texts->len == 0) {
			qtb_fail(result, PROTO_REFUSED,
				 "no text of that number is kept");
			return;
		}
	}
	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; c && i < c->texts->len; i++) {
		struct pk_out *o = qtb_row(&t);
		gsize len;
		const char *p =
			g_bytes_get_data(g_ptr_array_index(c->texts, i), &len);

		pk_u(o, c->number);
		pk_cstr(o, g_ptr_array_index(c->names, i));
		pk_str(o, lstr_n(p, len));
	}
	qtb_finish(&t, result);
}

static void fst_query_history(const struct fst *f, struct lstr arg,
			      struct pk_out *result)
{
	static const char *const cols[] = {"number", "version", "time",
					   "who",    "text",	"what"};
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < f->configs->len; i++) {
		const struct fst_config *c = g_ptr_array_index(f->configs, i);
		struct pk_out *o = qtb_row(&t);

		pk_u(o, c->number);
		pk_u(o, c->version);
		fst_put_time(o, c->stamp.time_ms);
		pk_cstr(o, c->stamp.who);
		pk_cstr(o, c->texts->len ? "kept" : "dropped");
		pk_cstr(o, c->stamp.what);
	}
	qtb_finish(&t, result);
}

/* Adds the effective values of each object of a site, with their origin. */
static void fst_show_site(const struct fst *f, const struct cfg_obj *site,
			  struct qtb *t)
{
	int kind;
	guint i;
	int key;

	for (kind = 0; kind < CFG_KINDS; kind++) {
		const GPtrArray *objs = f->cfg->objs[kind];

		for (i = 0; i < objs->len; i++) {
			const struct cfg_obj *obj = g_ptr_array_index(objs, i);

			for (key = (int)cfg_kinds[kind].first;
			     key <= (int)cfg_kinds[kind].last; key++) {
				const struct cfg_val *v = cfg_value(
					f->cfg, site, obj, (enum cfg_key)key);
				char *origin = cfg_origin(f->cfg, v);
				struct pk_out *o = qtb_row(t);

				pk_cstr(o, site->name);
				pk_cstr(o, obj->group);
				pk_cstr(o, cfg_keys[key].name);
				pk_cstr(o, v->text);
				pk_cstr(o, origin);
				g_free(origin);
			}
		}
	}
}

static void fst_query_show(const struct fst *f, struct lstr arg,
			   struct pk_out *result)
{
	static const char *const cols[] = {"site", "section", "key", "value",
					   "from"};
	bool found = arg.len == 0;
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; f->cfg && i < f->cfg->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *site =
			g_ptr_array_index(f->cfg->objs[CFG_SITE], i);

		if (arg.len && !lstr_eq(arg, lstr_from(site->name)))
			continue;
		found = true;
		fst_show_site(f, site, &t);
	}
	if (found) {
		qtb_finish(&t, result);
		return;
	}
	pk_out_done(&t.rows);
	qtb_fail(result, PROTO_REFUSED, "no such site");
}

/* Lists one page of the audit trail. */
static void fst_query_audit(const struct fst *f, struct lstr arg,
			    struct pk_out *result)
{
	fau_query(f->audit, arg, result);
}

/* Lists the results of the commands with ID arg, one row per sender. */
static void fst_query_status(const struct fst *f, struct lstr arg,
			     struct pk_out *result)
{
	static const char *const cols[] = {"id",      "who",   "code",
					   "outcome", "index", "version",
					   "number",  "text"};
	GSequenceIter *it = g_sequence_get_begin_iter(f->ids_by_made);
	struct qtb t;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		const struct fst_id *id = g_sequence_get(it);
		struct lstr who;
		struct lstr name;
		struct fcm_result r;
		struct pk_out *o;
		gsize len;
		const char *p = g_bytes_get_data(id->result, &len);

		lstr_cut(lstr_from(id->key), '\n', &who, &name);
		if (!lstr_eq(name, arg) ||
		    !fcm_result_unpack(&r, lstr_n(p, len)))
			continue;
		o = qtb_row(&t);
		pk_str(o, name);
		pk_str(o, who);
		pk_u(o, r.code);
		pk_cstr(o, fcm_outcome_name(r.code));
		pk_u(o, r.index);
		pk_u(o, r.version);
		pk_u(o, r.number);
		pk_cstr(o, r.text);
		fcm_result_clear(&r);
	}
	if (t.n_rows) {
		qtb_finish(&t, result);
		return;
	}
	pk_out_done(&t.rows);
	qtb_fail(result, PROTO_OUTCOME_UNKNOWN,
		 "no command of that identity has taken effect within the "
		 "window; it may still arrive, or be older: see the audit "
		 "trail");
}

static void fst_put_vm(const struct fst *f, const struct fst_vm *vm,
		       struct qtb *t)
{
	const struct cfg_vm *conf = cfg_vm(f->cfg, vm->name);
	struct pk_out *o = qtb_row(t);

	pk_cstr(o, vm->name);
	pk_cstr(o, conf->site->name);
	pk_cstr(o, conf->zone);
	pk_cstr(o, conf->rack->name);
	pk_cstr(o, conf->size->name);
	pk_cstr(o, vm->pool);
	pk_cstr(o, vm->to);
	pk_cstr(o, fst_phase_name(vm->phase));
	pk_bool(o, vm->drained);
	pk_u(o, vm->epoch);
	pk_u(o, vm->since);
	pk_u(o, vm->stamp.index);
	fst_put_time(o, vm->stamp.time_ms);
	pk_cstr(o, vm->stamp.who);
	pk_cstr(o, vm->stamp.what);
}

static const char *const fst_vm_cols[] = {"vm",	     "site",  "zone",  "rack",
					  "size",    "pool",  "to",    "phase",
					  "drained", "epoch", "since", "stamp",
					  "time",    "who",   "what"};

/* Lists all VMs, or those whose name, pool, zone or site is arg. */
static void fst_query_vms(const struct fst *f, struct lstr arg,
			  struct pk_out *result)
{
	struct qtb t;
	guint i;

	qtb_init(&t, fst_vm_cols, G_N_ELEMENTS(fst_vm_cols));
	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);
		const struct cfg_vm *conf = cfg_vm(f->cfg, vm->name);

		if (arg.len == 0 || lstr_eq(arg, lstr_from(vm->name)) ||
		    lstr_eq(arg, lstr_from(vm->pool)) ||
		    lstr_eq(arg, lstr_from(conf->zone)) ||
		    lstr_eq(arg, lstr_from(conf->site->name)))
			fst_put_vm(f, vm, &t);
	}
	qtb_finish(&t, result);
}

static void fst_query_moves(const struct fst *f, struct lstr arg,
			    struct pk_out *result)
{
	struct qtb t;
	guint i;

	qtb_init(&t, fst_vm_cols, G_N_ELEMENTS(fst_vm_cols));
	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);

		if (vm->to)
			fst_put_vm(f, vm, &t);
	}
	qtb_finish(&t, result);
}

/* Counts of a pool's VMs at one site. */
struct fst_vm_counts {
	guint vms;
	guint moving;
	guint drained;
};

static struct fst_vm_counts fst_count_vms(const struct fst *f,
					  const struct cfg_obj *site,
					  const struct cfg_obj *pool)
{
	struct fst_vm_counts n = {0};
	guint i;

	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);

		if (!g_str_equal(vm->pool, pool->name) ||
		    cfg_vm(f->cfg, vm->name)->site != site)
			continue;
		n.vms++;
		n.moving += vm->to != NULL;
		n.drained += vm->drained;
	}
	return n;
}

static void fst_put_pool(const struct fst *f, const struct cfg_obj *site,
			 const struct cfg_obj *pool, struct qtb *t)
{
	const struct cfg *c = f->cfg;
	const struct fst_prio *p = fst_prio_find(f, lstr_from(pool->name));
	bool set = p && p->priority != FCM_NO_PRIORITY;
	struct fst_vm_counts n = fst_count_vms(f, site, pool);
	char *origin =
		cfg_origin(c, cfg_value(c, site, pool, CFG_POOL_PRIORITY));
	struct pk_out *o = qtb_row(t);

	pk_cstr(o, site->name);
	pk_cstr(o, pool->name);
	pk_cstr(o, cfg_str(c, site, pool, CFG_POOL_SERVICE));
	pk_i(o, cfg_num(c, site, pool, CFG_POOL_CAPACITY));
	pk_u(o, n.vms);
	pk_u(o, n.moving);
	pk_u(o, n.drained);
	pk_i(o, cfg_num(c, site, pool, CFG_POOL_BUDGET));
	pk_cstr(o, cfg_str(c, site, pool, CFG_POOL_SURVIVES));
	pk_i(o, set ? p->priority : cfg_num(c, site, pool, CFG_POOL_PRIORITY));
	pk_cstr(o, set ? p->stamp.who : origin);
	pk_u(o, p ? p->stamp.index : 0);
	g_free(origin);
}

/* Lists the pools of every site, or those whose pool or site is arg. */
static void fst_query_pools(const struct fst *f, struct lstr arg,
			    struct pk_out *result)
{
	static const char *const cols[] = {"site",     "pool",	 "service",
					   "capacity", "vms",	 "moving",
					   "drained",  "budget", "survives",
					   "priority", "from",	 "stamp"};
	struct qtb t;
	guint i;
	guint j;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; f->cfg && i < f->cfg->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *site =
			g_ptr_array_index(f->cfg->objs[CFG_SITE], i);

		for (j = 0; j < f->cfg->objs[CFG_POOL]->len; j++) {
			const struct cfg_obj *pool =
				g_ptr_array_index(f->cfg->objs[CFG_POOL], j);

			if (arg.len == 0 ||
			    lstr_eq(arg, lstr_from(site->name)) ||
			    lstr_eq(arg, lstr_from(pool->name)))
				fst_put_pool(f, site, pool, &t);
		}
	}
	qtb_finish(&t, result);
}

static void fst_query_drains(const struct fst *f, struct lstr arg,
			     struct pk_out *result)
{
	static const char *const cols[] = {"target", "time", "who", "what"};
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < f->drains->len; i++) {
		const struct fst_drain *d = g_ptr_array_index(f->drains, i);
		struct pk_out *o = qtb_row(&t);

		pk_cstr(o, d->name);
		fst_put_time(o, d->stamp.time_ms);
		pk_cstr(o, d->stamp.who);
		pk_cstr(o, d->stamp.what);
	}
	qtb_finish(&t, result);
}

/* Lists the registered entry daemons; moves wait for those of the zone. */
static void fst_query_entries(const struct fst *f, struct lstr arg,
			      struct pk_out *result)
{
	static const char *const cols[] = {"node", "zone", "time", "what"};
	struct qtb t;
	guint i;

	qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < f->nodes->len; i++) {
		const struct fst_node *n = g_ptr_array_index(f->nodes, i);
		struct pk_out *o = qtb_row(&t);

		pk_cstr(o, n->name);
		pk_cstr(o, n->zone);
		fst_put_time(o, n->stamp.time_ms);
		pk_cstr(o, n->stamp.what);
	}
	qtb_finish(&t, result);
}
