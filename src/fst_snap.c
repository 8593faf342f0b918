#include "err.h"
#include "fst_in.h"

/*
 * Snapshot and restore of the whole state as one packed array. Equal states
 * give equal bytes on every voter.
 */

#define FST_SNAPSHOT_FORMAT 2

/* A section of the snapshot; new sections go at the end. */
struct fst_section {
	void (*pack)(const struct fst *f, struct pk_out *o);
	bool (*unpack)(struct fst *f, struct pk_in *in);
};

static void fst_pack_header(const struct fst *f, struct pk_out *o);
static bool fst_unpack_header(struct fst *f, struct pk_in *in);
static void fst_pack_configs(const struct fst *f, struct pk_out *o);
static bool fst_unpack_configs(struct fst *f, struct pk_in *in);
static void fst_pack_vms(const struct fst *f, struct pk_out *o);
static bool fst_unpack_vms(struct fst *f, struct pk_in *in);
static void fst_pack_removed(const struct fst *f, struct pk_out *o);
static bool fst_unpack_removed(struct fst *f, struct pk_in *in);
static void fst_pack_drains(const struct fst *f, struct pk_out *o);
static bool fst_unpack_drains(struct fst *f, struct pk_in *in);
static void fst_pack_prios(const struct fst *f, struct pk_out *o);
static bool fst_unpack_prios(struct fst *f, struct pk_in *in);
static void fst_pack_nodes(const struct fst *f, struct pk_out *o);
static bool fst_unpack_nodes(struct fst *f, struct pk_in *in);
static void fst_pack_sites(const struct fst *f, struct pk_out *o);
static bool fst_unpack_sites(struct fst *f, struct pk_in *in);
static void fst_pack_ids(const struct fst *f, struct pk_out *o);
static bool fst_unpack_ids(struct fst *f, struct pk_in *in);
static void fst_pack_audit(const struct fst *f, struct pk_out *o);
static bool fst_unpack_audit(struct fst *f, struct pk_in *in);
static void fst_pack_stamp(const struct fst_stamp *s, struct pk_out *o);
static void fst_unpack_stamp(struct fst_stamp *s, struct pk_in *in);
static bool fst_reload_config(struct fst *f);
static bool fst_is_consistent(const struct fst *f);

static const struct fst_section fst_sections[] = {
	{fst_pack_header, fst_unpack_header},
	{fst_pack_configs, fst_unpack_configs},
	{fst_pack_vms, fst_unpack_vms},
	{fst_pack_removed, fst_unpack_removed},
	{fst_pack_drains, fst_unpack_drains},
	{fst_pack_prios, fst_unpack_prios},
	{fst_pack_nodes, fst_unpack_nodes},
	{fst_key_replicas_pack, fst_key_replicas_unpack},
	{fst_pack_sites, fst_unpack_sites},
	{fst_pack_ids, fst_unpack_ids},
	{fst_pack_audit, fst_unpack_audit},
};

/* Packs a snapshot of the whole state. */
void fst_snapshot(const struct fst *f, struct pk_out *o)
{
	size_t i;

	pk_arr(o, 1 + G_N_ELEMENTS(fst_sections));
	pk_u(o, FST_SNAPSHOT_FORMAT);
	for (i = 0; i < G_N_ELEMENTS(fst_sections); i++)
		fst_sections[i].pack(f, o);
}

/*
 * Replaces the state of f by that of a snapshot. Returns false with
 * ERR_CORRUPT if the snapshot is malformed or inconsistent; f is then
 * unchanged.
 */
bool fst_restore(struct fst *f, struct lstr bytes, GError **err)
{
	struct fst *next = fst_new();
	struct fst old;
	struct pk_in in;
	bool ok = pk_in_init(&in, bytes);
	size_t i;

	if (ok) {
		ok = pk_get_u(&in) == FST_SNAPSHOT_FORMAT;
		for (i = 0; ok && i < G_N_ELEMENTS(fst_sections); i++)
			ok = fst_sections[i].unpack(next, &in) && pk_in_ok(&in);
		ok = ok && pk_in_left(&in) == 0 && fst_reload_config(next) &&
		     fst_is_consistent(next);
		pk_in_done(&in);
	}
	if (ok) {
		old = *f;
		*f = *next;
		*next = old;
	} else {
		err_set(err, ERR_CORRUPT, "restore state", NULL,
			"not a snapshot of format %d", FST_SNAPSHOT_FORMAT);
	}
	fst_free(next);
	return ok;
}

static void fst_pack_header(const struct fst *f, struct pk_out *o)
{
	pk_arr(o, 6);
	pk_u(o, f->index);
	pk_i(o, f->time_ms);
	pk_u(o, f->version);
	pk_u(o, f->full_view_since);
	pk_u(o, f->epoch_floor);
	pk_i(o, f->id_floor_ms);
}

static bool fst_unpack_header(struct fst *f, struct pk_in *in)
{
	struct pk_in head = pk_get_arr(in);

	f->index = pk_get_u(&head);
	f->time_ms = pk_get_i(&head);
	f->version = pk_get_u(&head);
	f->full_view_since = pk_get_u(&head);
	f->epoch_floor = pk_get_u(&head);
	f->id_floor_ms = pk_get_i(&head);
	return pk_in_ok(&head) && pk_in_left(&head) == 0 && f->time_ms >= 0 &&
	       f->time_ms <= FST_TIME_MAX &&
	       f->id_floor_ms <= f->time_ms + FST_CLOCK_AHEAD_MS;
}

static void fst_pack_stamp(const struct fst_stamp *s, struct pk_out *o)
{
	pk_u(o, s->index);
	pk_i(o, s->time_ms);
	pk_cstr(o, s->who);
	pk_cstr(o, s->what);
}

static void fst_unpack_stamp(struct fst_stamp *s, struct pk_in *in)
{
	s->index = pk_get_u(in);
	s->time_ms = pk_get_i(in);
	s->who = lstr_dup(pk_get_str(in));
	s->what = lstr_dup(pk_get_str(in));
}

/*
 * Returns the distinct configuration texts in order of first use, and adds
 * the index of each to indexes.
 */
static GPtrArray *fst_collect_texts(const struct fst *f, GHashTable *indexes)
{
	GPtrArray *texts = g_ptr_array_new();
	guint i;
	guint j;

	for (i = 0; i < f->configs->len; i++) {
		const struct fst_config *c = g_ptr_array_index(f->configs, i);

		for (j = 0; j < c->texts->len; j++) {
			GBytes *b = g_ptr_array_index(c->texts, j);

			if (g_hash_table_contains(indexes, b))
				continue;
			g_hash_table_insert(indexes, b,
					    GUINT_TO_POINTER(texts->len));
			g_ptr_array_add(texts, b);
		}
	}
	return texts;
}

static void fst_pack_configs(const struct fst *f, struct pk_out *o)
{
	GHashTable *indexes = g_hash_table_new(NULL, NULL);
	GPtrArray *texts = fst_collect_texts(f, indexes);
	guint i;
	guint j;

	pk_arr(o, 2);
	pk_arr(o, texts->len);
	for (i = 0; i < texts->len; i++) {
		gsize len;
		const char *p =
			g_bytes_get_data(g_ptr_array_index(texts, i), &len);

		pk_str(o, lstr_n(p, len));
	}
	pk_arr(o, f->configs->len);
	for (i = 0; i < f->configs->len; i++) {
		const struct fst_config *c = g_ptr_array_index(f->configs, i);

		pk_arr(o, 8);
		pk_u(o, c->number);
		pk_u(o, c->version);
		fst_pack_stamp(&c->stamp, o);
		pk_arr(o, c->names->len);
		for (j = 0; j < c->names->len; j++)
			pk_cstr(o, g_ptr_array_index(c->names, j));
		pk_arr(o, c->texts->len);
		for (j = 0; j < c->texts->len; j++)
			pk_u(o,
			     GPOINTER_TO_UINT(g_hash_table_lookup(
				     indexes, g_ptr_array_index(c->texts, j))));
	}
	g_ptr_array_free(texts, TRUE);
	g_hash_table_destroy(indexes);
}

static bool fst_unpack_config(struct fst *f, struct pk_in *one,
			      GPtrArray *texts)
{
	struct fst_config *c = g_new0(struct fst_config, 1);
	struct pk_in names;
	struct pk_in indexes;

	g_ptr_array_add(f->configs, c);
	c->names = g_ptr_array_new_with_free_func(g_free);
	c->texts =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	c->number = pk_get_u(one);
	c->version = pk_get_u(one);
	fst_unpack_stamp(&c->stamp, one);
	names = pk_get_arr(one);
	indexes = pk_get_arr(one);
	if (!pk_in_ok(one) || pk_in_left(one) ||
	    pk_in_left(&names) > FCM_FILES_MAX ||
	    pk_in_left(&indexes) > pk_in_left(&names))
		return false;
	while (pk_in_left(&names) && pk_in_ok(&names))
		g_ptr_array_add(c->names, lstr_dup(pk_get_str(&names)));
	while (pk_in_left(&indexes)) {
		uint64_t at = pk_get_u(&indexes);

		if (!pk_in_ok(&indexes) || at >= texts->len)
			return false;
		g_ptr_array_add(c->texts, g_bytes_ref(g_ptr_array_index(
						  texts, (guint)at)));
	}
	return pk_in_ok(&names) &&
	       (c->texts->len == 0 || c->texts->len == c->names->len);
}

static bool fst_unpack_configs(struct fst *f, struct pk_in *in)
{
	struct pk_in top = pk_get_arr(in);
	struct pk_in list = pk_get_arr(&top);
	GPtrArray *texts =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	bool ok = pk_in_ok(&top);

	while (ok && pk_in_left(&list)) {
		struct lstr s = pk_get_str(&list);

		ok = pk_in_ok(&list);
		g_ptr_array_add(texts, g_bytes_new(s.p, s.len));
	}
	list = pk_get_arr(&top);
	ok = ok && pk_in_ok(&top) && pk_in_left(&top) == 0 &&
	     pk_in_left(&list) <= FST_HISTORY_MAX;
	while (ok && pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);

		ok = pk_in_ok(&one) && fst_unpack_config(f, &one, texts);
	}
	g_ptr_array_free(texts, TRUE);
	return ok;
}

static void fst_pack_vm_list(const GPtrArray *vms, struct pk_out *o)
{
	guint i;

	pk_arr(o, vms->len);
	for (i = 0; i < vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(vms, i);

		pk_arr(o, 11);
		pk_cstr(o, vm->name);
		pk_cstr(o, vm->pool);
		pk_cstr(o, vm->to);
		pk_u(o, vm->phase);
		pk_u(o, vm->epoch);
		pk_u(o, vm->since);
		pk_bool(o, vm->drained);
		fst_pack_stamp(&vm->stamp, o);
	}
}

static bool fst_unpack_vm_list(GPtrArray *vms, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct fst_vm *vm = g_new0(struct fst_vm, 1);
		struct lstr to;

		g_ptr_array_add(vms, vm);
		vm->name = lstr_dup(pk_get_str(&one));
		vm->pool = lstr_dup(pk_get_str(&one));
		to = pk_get_str(&one);
		vm->to = to.len ? lstr_dup(to) : NULL;
		vm->phase = (enum fst_phase)pk_get_u(&one);
		vm->epoch = pk_get_u(&one);
		vm->since = pk_get_u(&one);
		vm->drained = pk_get_bool(&one);
		fst_unpack_stamp(&vm->stamp, &one);
		if (!pk_in_ok(&one) || pk_in_left(&one) ||
		    (unsigned int)vm->phase > FST_RELEASED ||
		    (vm->phase == FST_SETTLED) != (vm->to == NULL))
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_vms(const struct fst *f, struct pk_out *o)
{
	fst_pack_vm_list(f->vms, o);
}

static bool fst_unpack_vms(struct fst *f, struct pk_in *in)
{
	return fst_unpack_vm_list(f->vms, in);
}

static void fst_pack_removed(const struct fst *f, struct pk_out *o)
{
	fst_pack_vm_list(f->removed, o);
}

static bool fst_unpack_removed(struct fst *f, struct pk_in *in)
{
	return fst_unpack_vm_list(f->removed, in);
}

static void fst_pack_drains(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->drains->len);
	for (i = 0; i < f->drains->len; i++) {
		const struct fst_drain *d = g_ptr_array_index(f->drains, i);

		pk_arr(o, 5);
		pk_cstr(o, d->name);
		fst_pack_stamp(&d->stamp, o);
	}
}

static bool fst_unpack_drains(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct fst_drain *d = g_new0(struct fst_drain, 1);

		g_ptr_array_add(f->drains, d);
		d->name = lstr_dup(pk_get_str(&one));
		fst_unpack_stamp(&d->stamp, &one);
		if (!pk_in_ok(&one) || pk_in_left(&one))
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_prios(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->prios->len);
	for (i = 0; i < f->prios->len; i++) {
		const struct fst_prio *p = g_ptr_array_index(f->prios, i);

		pk_arr(o, 6);
		pk_cstr(o, p->pool);
		pk_i(o, p->priority);
		fst_pack_stamp(&p->stamp, o);
	}
}

static bool fst_unpack_prios(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct fst_prio *p = g_new0(struct fst_prio, 1);

		g_ptr_array_add(f->prios, p);
		p->pool = lstr_dup(pk_get_str(&one));
		p->priority = pk_get_i(&one);
		fst_unpack_stamp(&p->stamp, &one);
		if (!pk_in_ok(&one) || pk_in_left(&one))
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_nodes(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->nodes->len);
	for (i = 0; i < f->nodes->len; i++) {
		const struct fst_node *n = g_ptr_array_index(f->nodes, i);

		pk_arr(o, 6);
		pk_cstr(o, n->name);
		pk_cstr(o, n->zone);
		fst_pack_stamp(&n->stamp, o);
	}
}

static bool fst_unpack_nodes(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct fst_node *n = g_new0(struct fst_node, 1);

		g_ptr_array_add(f->nodes, n);
		n->name = lstr_dup(pk_get_str(&one));
		n->zone = lstr_dup(pk_get_str(&one));
		fst_unpack_stamp(&n->stamp, &one);
		if (!pk_in_ok(&one) || pk_in_left(&one))
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_sites(const struct fst *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, f->sites->len);
	for (i = 0; i < f->sites->len; i++) {
		const struct fst_site *s = g_ptr_array_index(f->sites, i);

		pk_arr(o, 2);
		pk_cstr(o, s->name);
		pk_u(o, s->since);
	}
}

static bool fst_unpack_sites(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		struct fst_site *s = g_new0(struct fst_site, 1);

		g_ptr_array_add(f->sites, s);
		s->name = lstr_dup(pk_get_str(&one));
		s->since = pk_get_u(&one);
		if (!pk_in_ok(&one) || pk_in_left(&one))
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_ids(const struct fst *f, struct pk_out *o)
{
	GSequenceIter *it = g_sequence_get_begin_iter(f->ids_by_made);

	pk_arr(o, g_hash_table_size(f->ids));
	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		const struct fst_id *id = g_sequence_get(it);
		gsize len;
		const char *p = g_bytes_get_data(id->result, &len);

		pk_arr(o, 4);
		pk_cstr(o, id->key);
		pk_i(o, id->made_ms);
		pk_str(o, lstr_n(id->digest, FST_DIGEST_BYTES));
		pk_str(o, lstr_n(p, len));
	}
}

static bool fst_unpack_ids(struct fst *f, struct pk_in *in)
{
	struct pk_in list = pk_get_arr(in);

	if (pk_in_left(&list) > FST_IDS_MAX)
		return false;
	while (pk_in_left(&list)) {
		struct pk_in one = pk_get_arr(&list);
		char *key = lstr_dup(pk_get_str(&one));
		int64_t made_ms = pk_get_i(&one);
		struct lstr digest = pk_get_str(&one);
		struct lstr result = pk_get_str(&one);
		bool ok = pk_in_ok(&one) && pk_in_left(&one) == 0 &&
			  digest.len == FST_DIGEST_BYTES &&
			  !fst_id_find(f, key);

		if (ok)
			fst_id_add(f, key, made_ms, (const uint8_t *)digest.p,
				   result);
		g_free(key);
		if (!ok)
			return false;
	}
	return pk_in_ok(&list);
}

static void fst_pack_audit(const struct fst *f, struct pk_out *o)
{
	fau_snapshot(f->audit, o);
}

static bool fst_unpack_audit(struct fst *f, struct pk_in *in)
{
	struct fau *a = fau_restore(in);

	if (!a)
		return false;
	fau_free(f->audit);
	f->audit = a;
	return true;
}

/* Parses the newest configuration, which a snapshot holds as text. */
static bool fst_reload_config(struct fst *f)
{
	const struct fst_config *c = fst_config_last(f);
	struct cfg_text files[FCM_FILES_MAX];
	GPtrArray *faults;
	guint i;

	if (!c)
		return f->vms->len == 0;
	if (c->texts->len == 0)
		return false;
	for (i = 0; i < c->texts->len; i++) {
		gsize len;
		const char *p =
			g_bytes_get_data(g_ptr_array_index(c->texts, i), &len);

		files[i].name = lstr_from(g_ptr_array_index(c->names, i));
		files[i].text = lstr_n(p, len);
	}
	faults = cfg_faults_new();
	f->cfg = cfg_load(files, c->texts->len, faults);
	g_ptr_array_free(faults, TRUE);
	return f->cfg != NULL;
}

/* Returns whether VMs and configuration match each other; views rely on it. */
static bool fst_is_consistent(const struct fst *f)
{
	const char *last = "";
	guint i;

	if (!f->cfg)
		return true;
	if (f->vms->len != f->cfg->vms->len)
		return false;
	for (i = 0; i < f->vms->len; i++) {
		const struct fst_vm *vm = g_ptr_array_index(f->vms, i);

		if (strcmp(vm->name, last) <= 0 || !cfg_vm(f->cfg, vm->name) ||
		    !cfg_find(f->cfg, CFG_POOL, vm->pool) ||
		    (vm->to && !cfg_find(f->cfg, CFG_POOL, vm->to)))
			return false;
		last = vm->name;
	}
	return true;
}
