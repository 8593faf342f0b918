#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

/* Commands on a configuration: check, diff, apply. */

#define CLI_POLL_MS 200

static bool cli_files_from_answer(struct cli_files *f, const struct qtb_in *t);
static int cli_in_force(struct cli *c, struct cli_files *f, uint64_t *number);
static int cli_load_other(struct cli *c, struct cli_files *f, uint64_t *number);

static void cli_diff(const struct cfg *was, const struct cfg *now,
		     struct qtb *t);

/* Reads files; false after one line that names the first that can't be. */
bool cli_files_read(struct cli_files *f, char **paths, int n)
{
	GError *err = NULL;
	gsize len;
	int i;

	*f = (struct cli_files){0};
	if (n > FCM_FILES_MAX) {
		fprintf(stderr,
			"endivectl: %d files; allowed: a base file and up to "
			"%d overlays\n",
			n, FCM_FILES_MAX - 1);
		return false;
	}
	for (i = 0; i < n; i++) {
		if (!g_file_get_contents(paths[i], &f->texts[i], &len, &err)) {
			fprintf(stderr, "endivectl: %s\n", err->message);
			g_clear_error(&err);
			cli_files_clear(f);
			return false;
		}
		f->names[i] = g_path_get_basename(paths[i]);
		f->n++;
		f->views[i] =
			(struct cfg_text){.name = lstr_from(f->names[i]),
					  .text = lstr_n(f->texts[i], len)};
	}
	return true;
}

/* Frees what files hold. */
void cli_files_clear(struct cli_files *f)
{
	guint i;

	for (i = 0; i < f->n; i++) {
		g_free(f->names[i]);
		g_free(f->texts[i]);
	}
	f->n = 0;
}

static bool cli_files_from_answer(struct cli_files *f, const struct qtb_in *t)
{
	guint i;

	*f = (struct cli_files){0};
	if (t->n_rows > FCM_FILES_MAX)
		return false;
	for (i = 0; i < t->n_rows; i++) {
		const struct qtb_cell *name = qtb_cell(t, i, "file");
		const struct qtb_cell *text = qtb_cell(t, i, "text");

		if (!name || !text)
			return false;
		f->names[i] = lstr_dup(name->str);
		f->texts[i] = lstr_dup(text->str);
		f->views[i] = (struct cfg_text){.name = lstr_from(f->names[i]),
						.text = lstr_n(f->texts[i],
							       text->str.len)};
		f->n++;
	}
	return true;
}

static void cli_show_faults(const struct cli *c, const GPtrArray *faults)
{
	static const char *const cols[] = {
		"remark", "file", "line", "section", "key", "value", "allowed"};
	struct qtb t;
	guint i;

	if (c->set.json)
		qtb_init(&t, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < faults->len; i++) {
		const struct cfg_fault *f = g_ptr_array_index(faults, i);
		char *text;
		struct pk_out *o;

		if (!c->set.json) {
			text = cfg_fault_text(f);
			puts(text);
			g_free(text);
			continue;
		}
		o = qtb_row(&t);
		pk_bool(o, f->remark);
		pk_cstr(o, f->file);
		pk_i(o, f->line);
		pk_cstr(o, f->group);
		pk_cstr(o, f->key);
		pk_cstr(o, f->value);
		pk_cstr(o, f->allowed);
	}
	if (c->set.json)
		cli_print_local(c, &t);
}

/* Checks files as a whole; NULL where they can't be accepted. */
struct cfg *cli_files_load(const struct cli *c, const struct cli_files *f,
			   bool show)
{
	GPtrArray *faults = cfg_faults_new();
	struct cfg *cfg = cfg_load(f->views, f->n, faults);

	if (show || !cfg)
		cli_show_faults(c, faults);
	g_ptr_array_free(faults, TRUE);
	return cfg;
}

/* Checks a base file and overlays as a whole, without asking anybody. */
int cli_do_check(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct cli_files f;
	struct cfg *cfg;

	if (!cli_files_read(&f, args, n))
		return CLI_REFUSED;
	cfg = cli_files_load(c, &f, true);
	cli_files_clear(&f);
	if (!cfg)
		return CLI_REFUSED;
	if (!c->set.json)
		printf("sound: sites %u, pools %u, VMs %u, teams %u, jobs "
		       "%u\n",
		       cfg->objs[CFG_SITE]->len, cfg->objs[CFG_POOL]->len,
		       cfg->vms->len, cfg->objs[CFG_TEAM]->len,
		       cfg->objs[CFG_JOB]->len);
	cfg_free(cfg);
	return CLI_OK;
}

static int cli_in_force(struct cli *c, struct cli_files *f, uint64_t *number)
{
	struct cli_reply reply;
	struct qtb_in t;
	const struct qtb_cell *cell;
	int rc = cli_ask(c, "config", "", &t, &reply);

	*number = 0;
	if (rc != CLI_OK)
		return rc;
	if (t.n_rows) {
		cell = qtb_cell(&t, 0, "number");
		*number = cell ? (uint64_t)cell->num : 0;
	}
	if (!cli_files_from_answer(f, &t))
		rc = CLI_NOT_DONE;
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	return rc;
}

/* The other side of a diff: what is in force, or files of --against. */
static int cli_load_other(struct cli *c, struct cli_files *f, uint64_t *number)
{
	char **paths;
	bool ok;

	*number = 0;
	if (!c->set.against) {
		if (c->link)
			return cli_in_force(c, f, number);
		fprintf(stderr, "endivectl: setting --servers: not given; "
				"allowed: that, or --against\n");
		return CLI_USAGE;
	}
	paths = g_strsplit(c->set.against, ",", -1);
	ok = cli_files_read(f, paths, (int)g_strv_length(paths));
	g_strfreev(paths);
	return ok ? CLI_OK : CLI_REFUSED;
}

/* Shows what files would change, as each site would see it. */
int cli_do_diff(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	static const char *const cols[] = {"site", "section", "key",	 "was",
					   "from", "now",     "now_from"};
	struct cli_files ours;
	struct cli_files other;
	struct cfg *now = NULL;
	struct cfg *was = NULL;
	struct qtb t;
	uint64_t number;
	int rc;

	if (!cli_files_read(&ours, args, n))
		return CLI_REFUSED;
	rc = cli_load_other(c, &other, &number);
	if (rc == CLI_OK) {
		now = cli_files_load(c, &ours, false);
		was = other.n ? cli_files_load(c, &other, false) : NULL;
		if (!now || (other.n && !was))
			rc = CLI_REFUSED;
		cli_files_clear(&other);
	}
	if (rc == CLI_OK) {
		if (!c->set.against)
			fprintf(stderr, "against configuration %llu\n",
				(unsigned long long)number);
		qtb_init(&t, cols, G_N_ELEMENTS(cols));
		cli_diff(was, now, &t);
		cli_print_local(c, &t);
	}
	cfg_free(now);
	cfg_free(was);
	cli_files_clear(&ours);
	return rc;
}

static void cli_diff_row(struct qtb *t, const char *site, const char *section,
			 const char *key, const char *was, const char *from,
			 const char *now, const char *now_from)
{
	struct pk_out *o = qtb_row(t);

	pk_cstr(o, site);
	pk_cstr(o, section);
	pk_cstr(o, key);
	pk_cstr(o, was);
	pk_cstr(o, from);
	pk_cstr(o, now);
	pk_cstr(o, now_from);
}

/* A default says nothing about a section that comes or goes. */
static bool cli_differs(enum cfg_key key, const struct cfg_val *was,
			const struct cfg_val *now)
{
	if (was && now)
		return !cfg_same(key, was, now);
	return (was && was->line) || (now && now->line);
}

/* Values of one object at one site; a and b are NULL where it is missing. */
static void cli_diff_obj(const struct cfg *was, const struct cfg *now,
			 const struct cfg_obj *was_site,
			 const struct cfg_obj *now_site,
			 const struct cfg_obj *a, const struct cfg_obj *b,
			 struct qtb *t)
{
	const struct cfg_obj *any = a ? a : b;
	const char *site = now_site   ? now_site->name
			   : was_site ? was_site->name
				      : "all";
	int key;

	for (key = (int)cfg_kinds[any->kind].first;
	     key <= (int)cfg_kinds[any->kind].last; key++) {
		enum cfg_key k = (enum cfg_key)key;
		const struct cfg_val *x =
			a ? cfg_value(was, was_site, a, k) : NULL;
		const struct cfg_val *y =
			b ? cfg_value(now, now_site, b, k) : NULL;
		char *from = x ? cfg_origin(was, x) : NULL;
		char *to = y ? cfg_origin(now, y) : NULL;

		if (cli_differs(k, x, y))
			cli_diff_row(t, site, any->group, cfg_keys[k].name,
				     x ? x->text : NULL, from,
				     y ? y->text : NULL, to);
		g_free(from);
		g_free(to);
	}
}

/* Both lists are in order of name; was_objs may be NULL. */
static void cli_diff_kind(const struct cfg *was, const struct cfg *now,
			  const struct cfg_obj *was_site,
			  const struct cfg_obj *now_site, enum cfg_kind kind,
			  struct qtb *t)
{
	const GPtrArray *y = now->objs[kind];
	const GPtrArray *x = was ? was->objs[kind] : NULL;
	guint i = 0;
	guint j = 0;

	while ((x && i < x->len) || j < y->len) {
		const struct cfg_obj *a =
			x && i < x->len ? g_ptr_array_index(x, i) : NULL;
		const struct cfg_obj *b =
			j < y->len ? g_ptr_array_index(y, j) : NULL;
		int order = !a ? 1 : !b ? -1 : strcmp(a->name, b->name);

		cli_diff_obj(was, now, was_site, now_site,
			     order <= 0 ? a : NULL, order >= 0 ? b : NULL, t);
		i += order <= 0;
		j += order >= 0;
	}
}

static void cli_diff_vms(const struct cfg *was, const struct cfg *now,
			 struct qtb *t)
{
	guint i;

	for (i = 0; was && i < was->vms->len; i++) {
		const struct cfg_vm *a =
			&g_array_index(was->vms, struct cfg_vm, i);

		if (!cfg_vm(now, a->name))
			cli_diff_row(t, a->site->name, a->rack->group, a->name,
				     a->pool->name, NULL, NULL, NULL);
	}
	for (i = 0; i < now->vms->len; i++) {
		const struct cfg_vm *b =
			&g_array_index(now->vms, struct cfg_vm, i);
		const struct cfg_vm *a = was ? cfg_vm(was, b->name) : NULL;

		if (!a || strcmp(a->pool->name, b->pool->name) != 0)
			cli_diff_row(t, b->site->name, b->rack->group, b->name,
				     a ? a->pool->name : NULL, NULL,
				     b->pool->name, NULL);
	}
}

/*
 * The differences of effective values: what is the same at every site once,
 * what may differ by site for each of them.
 */
static void cli_diff(const struct cfg *was, const struct cfg *now,
		     struct qtb *t)
{
	static const enum cfg_kind common[] = {CFG_FLEET, CFG_SITE, CFG_SIZE,
					       CFG_RACK};
	static const enum cfg_kind by_site[] = {CFG_POOL, CFG_TEAM, CFG_JOB};
	guint i;
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(common); k++)
		cli_diff_kind(was, now, NULL, NULL, common[k], t);
	for (i = 0; i < now->objs[CFG_SITE]->len; i++) {
		const struct cfg_obj *site =
			g_ptr_array_index(now->objs[CFG_SITE], i);
		const struct cfg_obj *before =
			was ? cfg_find(was, CFG_SITE, site->name) : NULL;

		for (k = 0; k < G_N_ELEMENTS(by_site); k++)
			cli_diff_kind(was, now, before, site, by_site[k], t);
	}
	cli_diff_vms(was, now, t);
}

/* How far one site is. */
struct cli_site_progress {
	const char *site;
	guint nodes;
	guint done;
	GString *lagging;
};

static const char *cli_site_of_zone(const struct cfg *cfg, struct lstr zone)
{
	char *name = lstr_dup(zone);
	const struct cfg_obj *site = g_hash_table_lookup(cfg->zones, name);

	g_free(name);
	return site ? site->name : "(no site)";
}

static struct cli_site_progress *cli_progress_of(GArray *sites,
						 const char *site)
{
	struct cli_site_progress p = {.site = site};
	guint i;

	for (i = 0; i < sites->len; i++) {
		struct cli_site_progress *at =
			&g_array_index(sites, struct cli_site_progress, i);

		if (g_str_equal(at->site, site))
			return at;
	}
	p.lagging = g_string_new(NULL);
	g_array_append_val(sites, p);
	return &g_array_index(sites, struct cli_site_progress, sites->len - 1);
}

/* Counts the entry daemons of each site and names those that lag. */
static GArray *cli_progress(const struct cfg *cfg, const struct qtb_in *t,
			    uint64_t version)
{
	GArray *sites =
		g_array_new(FALSE, TRUE, sizeof(struct cli_site_progress));
	guint i;

	for (i = 0; i < t->n_rows; i++) {
		const struct qtb_cell *node = qtb_cell(t, i, "node");
		const struct qtb_cell *zone = qtb_cell(t, i, "zone");
		const struct qtb_cell *works = qtb_cell(t, i, "version");
		struct cli_site_progress *p;

		if (!node || !zone || !works)
			continue;
		p = cli_progress_of(sites, cli_site_of_zone(cfg, zone->str));
		p->nodes++;
		if ((uint64_t)works->num >= version)
			p->done++;
		else
			g_string_append_printf(p->lagging,
					       "%s" LSTR_FMT " (works by %lld)",
					       p->lagging->len ? ", " : "",
					       LSTR_ARG(node->str),
					       (long long)works->num);
	}
	return sites;
}

/* Prints the progress where it differs from last; true: in force all over. */
static bool cli_tell_progress(GArray *sites, char **last)
{
	GString *s = g_string_new(NULL);
	bool all = sites->len > 0;
	guint i;

	for (i = 0; i < sites->len; i++) {
		struct cli_site_progress *p =
			&g_array_index(sites, struct cli_site_progress, i);

		all = all && p->done == p->nodes;
		g_string_append_printf(s, "%s: %u of %u entry daemons%s%s\n",
				       p->site, p->done, p->nodes,
				       p->lagging->len ? "; lagging: " : "",
				       p->lagging->str);
		g_string_free(p->lagging, TRUE);
	}
	if (!sites->len)
		g_string_append(s, "no entry daemon is known yet\n");
	if (!*last || strcmp(*last, s->str) != 0)
		fputs(s->str, stderr);
	g_free(*last);
	*last = g_string_free(s, FALSE);
	g_array_free(sites, TRUE);
	return all;
}

/* Waits until every entry daemon works by the version, or time is up. */
static int cli_wait_in_force(struct cli *c, const struct cfg *cfg,
			     uint64_t version)
{
	int64_t until = cli_link_now(c->link) + c->set.timeout_s * 1000;
	struct cli_reply reply;
	struct qtb_in t;
	char *last = NULL;
	bool all = false;
	int rc = CLI_OK;

	while (rc == CLI_OK && !all && cli_link_now(c->link) < until) {
		rc = cli_ask(c, "nodes", "", &t, &reply);
		if (rc != CLI_OK)
			break;
		all = cli_tell_progress(cli_progress(cfg, &t, version), &last);
		qtb_read_done(&t);
		cli_reply_clear(&reply);
		if (!all)
			cli_link_wait(c->link, CLI_POLL_MS);
	}
	g_free(last);
	if (all) {
		fprintf(stderr, "in force everywhere\n");
		return CLI_OK;
	}
	fprintf(stderr, "endivectl: accepted, and not known to be in force "
			"everywhere yet; it will be wherever it is heard of\n");
	return CLI_NOT_IN_FORCE;
}

/* --base: the number of the configuration the files were made from. */
static int cli_base(struct cli *c, uint64_t *base)
{
	struct cli_files f = {0};
	unsigned long long v;
	int rc;

	*base = 0;
	if (!c->set.base)
		return CLI_OK;
	if (strcmp(c->set.base, "last") == 0) {
		rc = cli_in_force(c, &f, base);
		cli_files_clear(&f);
		return rc;
	}
	if (lstr_u64(lstr_from(c->set.base), &v)) {
		*base = v;
		return CLI_OK;
	}
	fprintf(stderr,
		"endivectl: setting --base=%s: not allowed; allowed: a number "
		"of history, or last\n",
		c->set.base);
	return CLI_USAGE;
}

/* Puts a configuration in force and waits until it is so everywhere. */
int cli_do_apply(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct fcm_cmd apply = {.kind = FCM_APPLY};
	struct fcm_result result;
	struct cli_files f;
	struct cfg *cfg;
	guint i;
	int rc;

	if (!cli_files_read(&f, args, n))
		return CLI_REFUSED;
	cfg = cli_files_load(c, &f, false);
	rc = cfg ? cli_base(c, &apply.apply.base) : CLI_REFUSED;
	if (rc == CLI_OK) {
		apply.apply.reason = lstr_from(c->set.reason);
		apply.apply.n_files = f.n;
		for (i = 0; i < f.n; i++)
			apply.apply.files[i] = f.views[i];
		rc = cli_submit(c, &apply, &result);
	}
	if (rc == CLI_OK) {
		rc = cli_wait_in_force(c, cfg, result.version);
		fcm_result_clear(&result);
	}
	cfg_free(cfg);
	cli_files_clear(&f);
	return rc;
}
