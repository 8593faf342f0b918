#include "cfg_in.h"

/*
 * Key files are read by GLib, which keeps no line numbers, joins sections of
 * one name and lets the last of two equal keys win. This walk over the lines
 * finds where each key stands and what GLib would pass over in silence;
 * values come from GLib alone.
 */
struct cfg_scan {
	const char *file;
	GPtrArray *faults;
	GPtrArray *items; /* struct cfg_item in order of line */
	GHashTable *seen; /* "group" or "group\nkey" -> line */
	char *group; /* NULL before the first section */
	int line;
};

static void cfg_item_free(gpointer p);
static void cfg_scan_line(struct cfg_scan *s, struct lstr line);
static void cfg_scan_group(struct cfg_scan *s, struct lstr line);
static void cfg_scan_key(struct cfg_scan *s, struct lstr line);
static void cfg_scan_note(struct cfg_scan *s, const char *key, char *id);
static bool cfg_scan_values(struct cfg_scan *s, struct lstr text);
static bool cfg_scan_bytes(const char *file, struct lstr text,
			   GPtrArray *faults);

/*
 * The items of a key file in order of line; NULL where a fault of form was
 * found, which is then in faults. Freed with g_ptr_array_free.
 */
GPtrArray *cfg_scan(const char *file, struct lstr text, GPtrArray *faults)
{
	guint before = cfg_faults_hard(faults);
	struct cfg_scan s = {
		.file = file,
		.faults = faults,
		.items = g_ptr_array_new_with_free_func(cfg_item_free),
		.seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL),
	};
	struct lstr rest = text;
	struct lstr line;
	bool ok = cfg_scan_bytes(file, text, faults);

	while (ok && rest.len) {
		lstr_cut(rest, '\n', &line, &rest);
		s.line++;
		cfg_scan_line(&s, lstr_trim(line));
	}
	ok = ok && cfg_faults_hard(faults) == before &&
	     cfg_scan_values(&s, text);
	g_hash_table_destroy(s.seen);
	g_free(s.group);
	if (ok)
		return s.items;
	g_ptr_array_free(s.items, TRUE);
	return NULL;
}

static void cfg_item_free(gpointer p)
{
	struct cfg_item *it = p;

	g_free(it->group);
	g_free(it->key);
	g_free(it->value);
	g_free(it);
}

/* GLib stops at a NUL and refuses bad UTF-8, both without saying where. */
static bool cfg_scan_bytes(const char *file, struct lstr text,
			   GPtrArray *faults)
{
	struct cfg_place at = {.file = file, .line = 1};
	const char *end = text.p;
	const char *p;

	if (g_utf8_validate_len(text.p, text.len, &end))
		return true;
	for (p = text.p; p < end; p++)
		at.line += *p == '\n';
	cfg_fault(faults, &at, "a byte that is not UTF-8 text");
	return false;
}

static void cfg_scan_line(struct cfg_scan *s, struct lstr line)
{
	if (line.len == 0 || line.p[0] == '#')
		return;
	if (line.p[0] == '[')
		cfg_scan_group(s, line);
	else
		cfg_scan_key(s, line);
}

static void cfg_scan_group(struct cfg_scan *s, struct lstr line)
{
	char *text = lstr_dup(line);
	struct cfg_place at = {.file = s->file, .line = s->line, .value = text};
	size_t i;
	bool ok = line.len > 2 && line.p[line.len - 1] == ']';

	for (i = 1; ok && i + 1 < line.len; i++)
		ok = g_ascii_isgraph(line.p[i]) ? !strchr("[]", line.p[i])
						: line.p[i] == ' ';
	g_free(s->group);
	s->group = g_strndup(line.p + 1, ok ? line.len - 2 : 0);
	if (ok)
		cfg_scan_note(s, "", g_strdup(s->group));
	else
		cfg_fault(s->faults, &at, "allowed: [KIND] or [KIND NAME]");
	g_free(text);
}

static void cfg_scan_key(struct cfg_scan *s, struct lstr line)
{
	char *text = lstr_dup(line);
	struct cfg_place at = {.file = s->file, .line = s->line, .value = text};
	struct lstr key;
	struct lstr value;
	bool has_value = lstr_cut(line, '=', &key, &value);
	char *name;

	key = lstr_trim(key);
	name = lstr_dup(key);
	if (!has_value || !cfg_is_name(key))
		cfg_fault(s->faults, &at, "allowed: KEY = VALUE, or # comment");
	else if (!s->group)
		cfg_fault(s->faults, &at, "stands before the first section");
	else
		cfg_scan_note(s, name,
			      g_strdup_printf("%s\n%s", s->group, name));
	g_free(name);
	g_free(text);
}

/* Takes over id, the item's name within the file. */
static void cfg_scan_note(struct cfg_scan *s, const char *key, char *id)
{
	struct cfg_item *it;
	int earlier = GPOINTER_TO_INT(g_hash_table_lookup(s->seen, id));

	if (earlier) {
		struct cfg_place at = {.file = s->file,
				       .line = s->line,
				       .group = s->group,
				       .key = key};

		cfg_fault(s->faults, &at, "stands at line %d already", earlier);
		g_free(id);
		return;
	}
	g_hash_table_insert(s->seen, id, GINT_TO_POINTER(s->line));
	it = g_new0(struct cfg_item, 1);
	it->group = g_strdup(s->group);
	it->key = g_strdup(key);
	it->line = s->line;
	g_ptr_array_add(s->items, it);
}

static bool cfg_scan_values(struct cfg_scan *s, struct lstr text)
{
	GKeyFile *kf = g_key_file_new();
	GError *err = NULL;
	struct cfg_place at = {.file = s->file};
	guint i;

	if (!g_key_file_load_from_data(kf, text.len ? text.p : "#",
				       text.len ? text.len : 1, G_KEY_FILE_NONE,
				       &err)) {
		cfg_fault(s->faults, &at, "%s", err->message);
		g_clear_error(&err);
		g_key_file_free(kf);
		return false;
	}
	for (i = 0; i < s->items->len; i++) {
		struct cfg_item *it = g_ptr_array_index(s->items, i);

		if (*it->key)
			it->value = g_key_file_get_value(kf, it->group, it->key,
							 NULL);
		else
			it->value = g_strdup("");
		/* The walk saw a key that GLib did not: never go on half. */
		if (!it->value) {
			at.line = it->line;
			cfg_fault(s->faults, &at, "not readable as a key file");
			it->value = g_strdup("");
		}
	}
	g_key_file_free(kf);
	return true;
}
