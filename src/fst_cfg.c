#include "fst_in.h"

#define FST_FAULTS_REPORTED_MAX 20

static struct cfg *fst_load_config(struct fst_exec *ex);
static void fst_accept_config(struct fst_exec *ex, struct cfg *next);
static struct fst_config *fst_config_new(struct fst_exec *ex);
static GBytes *fst_intern_text(const struct fst *f, struct lstr text);
static void fst_trim_history(struct fst *f);
static void fst_drop_stale_priorities(struct fst_exec *ex);

/* Handles FCM_APPLY: puts a configuration in force, all of it or nothing. */
void fst_handle_apply(struct fst_exec *ex)
{
	const struct fcm_apply *a = &ex->cmd->apply;
	const struct fst_config *last = fst_config_last(ex->f);
	uint64_t number = last ? last->number : 0;
	char *when;
	struct cfg *next;

	ex->from = a->base;
	/*
	 * If two operators edit the same version, applying the second edit
	 * would revert the first one, which its author has not seen.
	 */
	if (a->base != number && a->base != FCM_ANY_BASE) {
		if (!last) {
			fst_exec_finish(
				ex, PROTO_CONFLICT,
				"no configuration is in force yet; made "
				"from %llu",
				(unsigned long long)a->base);
			return;
		}
		when = fst_format_time(last->stamp.time_ms);
		fst_exec_finish(ex, PROTO_CONFLICT,
				"made from configuration %llu, but %llu is in "
				"force: by %s at %s: %s",
				(unsigned long long)a->base,
				(unsigned long long)number, last->stamp.who,
				when, last->stamp.what);
		g_free(when);
		return;
	}
	next = fst_load_config(ex);
	if (!next)
		return;
	if (fst_vms_fit_config(ex, next))
		fst_accept_config(ex, next);
	else
		cfg_free(next);
}

static struct cfg *fst_load_config(struct fst_exec *ex)
{
	const struct fcm_apply *a = &ex->cmd->apply;
	GPtrArray *faults = cfg_faults_new();
	GString *report = g_string_new(NULL);
	struct cfg *c = cfg_load(a->files, a->n_files, faults);
	guint i;

	for (i = 0; !c && i < faults->len && i < FST_FAULTS_REPORTED_MAX; i++) {
		char *text = cfg_fault_text(g_ptr_array_index(faults, i));

		g_string_append_printf(report, "%s%s", i ? "\n" : "", text);
		g_free(text);
	}
	if (!c)
		fst_exec_finish(ex, PROTO_REFUSED, "%s", report->str);
	g_string_free(report, TRUE);
	g_ptr_array_free(faults, TRUE);
	return c;
}

static void fst_accept_config(struct fst_exec *ex, struct cfg *next)
{
	struct fst *f = ex->f;
	struct fst_config *c = fst_config_new(ex);

	fst_bump_version(f);
	c->version = f->version;
	fst_update_sites(f, next);
	fst_update_vms(ex, next);
	cfg_free(f->cfg);
	f->cfg = next;
	g_ptr_array_add(f->configs, c);
	fst_drop_stale_priorities(ex);
	fst_trim_history(f);
	fst_exec_finish(ex, PROTO_OK, "configuration %llu accepted",
			(unsigned long long)c->number);
}

static struct fst_config *fst_config_new(struct fst_exec *ex)
{
	const struct fcm_apply *a = &ex->cmd->apply;
	const struct fst_config *last = fst_config_last(ex->f);
	struct fst_config *c = g_new0(struct fst_config, 1);
	guint i;

	c->number = last ? last->number + 1 : 1;
	fst_stamp_update(&c->stamp, ex);
	c->names = g_ptr_array_new_with_free_func(g_free);
	c->texts =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (i = 0; i < a->n_files; i++) {
		g_ptr_array_add(c->names, lstr_dup(a->files[i].name));
		g_ptr_array_add(c->texts,
				fst_intern_text(ex->f, a->files[i].text));
	}
	return c;
}

/*
 * Returns a file's text as bytes, shared with the last configuration if that
 * has an equal text, since most changes leave most files unchanged.
 */
static GBytes *fst_intern_text(const struct fst *f, struct lstr text)
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

/*
 * Limits the history to FST_HISTORY_MAX configurations and drops the texts of
 * the oldest ones beyond FST_HISTORY_BYTES_MAX.
 */
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
		if (bytes > FST_HISTORY_BYTES_MAX)
			g_ptr_array_set_size(c->texts, 0);
	}
	g_hash_table_destroy(seen);
}

/*
 * Drops the priorities of removed pools; they would otherwise apply to a
 * later pool of the same name.
 */
static void fst_drop_stale_priorities(struct fst_exec *ex)
{
	struct fst *f = ex->f;
	guint i;

	for (i = f->prios->len; i-- > 0;) {
		const struct fst_prio *p = g_ptr_array_index(f->prios, i);

		if (cfg_find(f->cfg, CFG_POOL, p->pool))
			continue;
		if (p->priority != FCM_NO_PRIORITY)
			fst_audit_automatic(
				ex,
				"priority %lld of pool %s dropped: the "
				"pool is gone",
				(long long)p->priority, p->pool);
		g_ptr_array_remove_index(f->prios, i);
	}
}

/* Returns the configuration in force, or NULL before the first. */
const struct fst_config *fst_config_last(const struct fst *f)
{
	if (f->configs->len == 0)
		return NULL;
	return g_ptr_array_index(f->configs, f->configs->len - 1);
}

/* Frees an accepted configuration (struct fst_config). */
void fst_config_free(gpointer p)
{
	struct fst_config *c = p;

	fst_stamp_clear(&c->stamp);
	g_ptr_array_free(c->names, TRUE);
	g_ptr_array_free(c->texts, TRUE);
	g_free(c);
}
