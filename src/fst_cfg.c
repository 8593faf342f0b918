#include "fst_in.h"

#define FST_FAULTS_TOLD 20

static struct cfg *fst_load(struct fst_run *r);
static void fst_accept(struct fst_run *r, struct cfg *next);
static struct fst_config *fst_config_new(struct fst_run *r);
static GBytes *fst_share_text(const struct fst *f, struct lstr text);
static void fst_trim_history(struct fst *f);
static void fst_drop_prios(struct fst_run *r);

/* Takes a configuration in force, as a whole or not at all. */
void fst_do_apply(struct fst_run *r)
{
	const struct fcm_apply *a = &r->cmd->apply;
	const struct fst_config *last = fst_config_last(r->f);
	uint64_t number = last ? last->number : 0;
	char *when;
	struct cfg *next;

	r->from = a->base;
	/*
	 * Of two operators who start from the same version the second would
	 * take back the first one's change without having seen it.
	 */
	if (a->base != number && a->base != FCM_ANY_BASE) {
		if (!last) {
			fst_run_end(r, PROTO_CONFLICT,
				    "no configuration is in force yet; made "
				    "from %llu",
				    (unsigned long long)a->base);
			return;
		}
		when = fst_time_text(last->stamp.time_ms);
		fst_run_end(r, PROTO_CONFLICT,
			    "made from configuration %llu, but %llu is in "
			    "force: by %s at %s: %s",
			    (unsigned long long)a->base,
			    (unsigned long long)number, last->stamp.who, when,
			    last->stamp.what);
		g_free(when);
		return;
	}
	next = fst_load(r);
	if (!next)
		return;
	if (fst_members_fit(r, next))
		fst_accept(r, next);
	else
		cfg_free(next);
}

static struct cfg *fst_load(struct fst_run *r)
{
	const struct fcm_apply *a = &r->cmd->apply;
	GPtrArray *faults = cfg_faults_new();
	GString *told = g_string_new(NULL);
	struct cfg *c = cfg_load(a->files, a->n_files, faults);
	guint i;

	for (i = 0; !c && i < faults->len && i < FST_FAULTS_TOLD; i++) {
		char *text = cfg_fault_text(g_ptr_array_index(faults, i));

		g_string_append_printf(told, "%s%s", i ? "\n" : "", text);
		g_free(text);
	}
	if (!c)
		fst_run_end(r, PROTO_REFUSED, "%s", told->str);
	g_string_free(told, TRUE);
	g_ptr_array_free(faults, TRUE);
	return c;
}

static void fst_accept(struct fst_run *r, struct cfg *next)
{
	struct fst *f = r->f;
	struct fst_config *c = fst_config_new(r);

	fst_touch(f);
	c->version = f->version;
	fst_sites_take(f, next);
	fst_members_take(r, next);
	cfg_free(f->cfg);
	f->cfg = next;
	g_ptr_array_add(f->configs, c);
	fst_drop_prios(r);
	fst_trim_history(f);
	fst_run_end(r, PROTO_OK, "configuration %llu accepted",
		    (unsigned long long)c->number);
}

static struct fst_config *fst_config_new(struct fst_run *r)
{
	const struct fcm_apply *a = &r->cmd->apply;
	const struct fst_config *last = fst_config_last(r->f);
	struct fst_config *c = g_new0(struct fst_config, 1);
	guint i;

	c->number = last ? last->number + 1 : 1;
	fst_stamp_set(&c->stamp, r);
	c->names = g_ptr_array_new_with_free_func(g_free);
	c->texts =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (i = 0; i < a->n_files; i++) {
		g_ptr_array_add(c->names, lstr_dup(a->files[i].name));
		g_ptr_array_add(c->texts,
				fst_share_text(r->f, a->files[i].text));
	}
	return c;
}

/* Most changes leave most files alone; equal texts are kept once. */
static GBytes *fst_share_text(const struct fst *f, struct lstr text)
{
	const struct fst_config *last = fst_config_last(f);
	guint i;

	for (i = 0; last && i < last->texts->len; i++) {
		GBytes *b = g_ptr_array_index(last->texts, i);
		gsize len;
		const char *p = g_bytes_get_data(b, &len);

		if (lstr_eq(lstr_n(p, len), text))
			return g_bytes_ref(b);
	}
	return g_bytes_new(text.p, text.len);
}

static void fst_trim_history(struct fst *f)
{
	GHashTable *seen = g_hash_table_new(NULL, NULL);
	size_t bytes = 0;
	guint i;
	guint j;

	if (f->configs->len > FST_HISTORY_MAX)
		g_ptr_array_remove_index(f->configs, 0);
	for (i = f->configs->len; i-- > 0;) {
		struct fst_config *c = g_ptr_array_index(f->configs, i);

		for (j = 0; j < c->texts->len; j++) {
			GBytes *b = g_ptr_array_index(c->texts, j);

			if (g_hash_table_add(seen, b) &&
			    i + 1 < f->configs->len)
				bytes += g_bytes_get_size(b);
		}
		if (bytes > FST_HISTORY_BYTES)
			g_ptr_array_set_size(c->texts, 0);
	}
	g_hash_table_destroy(seen);
}

/* A priority of a pool that is no more would come back with its name. */
static void fst_drop_prios(struct fst_run *r)
{
	struct fst *f = r->f;
	guint i;

	for (i = f->prios->len; i-- > 0;) {
		const struct fst_prio *p = g_ptr_array_index(f->prios, i);

		if (cfg_find(f->cfg, CFG_POOL, p->pool))
			continue;
		if (p->priority != FCM_NO_PRIORITY)
			fst_run_auto(r,
				     "priority %lld of pool %s dropped: the "
				     "pool is gone",
				     (long long)p->priority, p->pool);
		g_ptr_array_remove_index(f->prios, i);
	}
}

/* The configuration in force, or NULL before the first. */
const struct fst_config *fst_config_last(const struct fst *f)
{
	if (f->configs->len == 0)
		return NULL;
	return g_ptr_array_index(f->configs, f->configs->len - 1);
}

/* Frees an accepted configuration. */
void fst_config_free(gpointer p)
{
	struct fst_config *c = p;

	fst_stamp_clear(&c->stamp);
	g_ptr_array_free(c->names, TRUE);
	g_ptr_array_free(c->texts, TRUE);
	g_free(c);
}
