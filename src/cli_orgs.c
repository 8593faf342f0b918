#include "cli.h"

#include <stdio.h>
#include <string.h>

/*
 * What organisations have running and what they wait for, out of the metrics of
 * the leader.
 */

/* What each metric of an organisation starts with. */
#define CLI_ORGS_PREFIX "endive_organisation_"
#define CLI_ORGS_LABEL "{organisation=\""

/* Columns behind the name, and the metrics they come from. */
static const struct {
	const char *column;
	const char *metric;
	double scale; /* of the metric's unit to the column's */
} orgs_columns[] = {
	{"cores", "cores", 1},		 {"of", "cores_max", 1},
	{"most", "cores_peak", 1},	 {"memory_mb", "memory_mb", 1},
	{"of_mb", "memory_mb_max", 1},	 {"gpus", "gpus", 1},
	{"of_gpus", "gpus_max", 1},	 {"runs", "runs", 1},
	{"waiting", "waiting_tasks", 1}, {"at_limit", "limited_tasks", 1},
	{"refused", "refused_total", 1}, {"share_pct", "share", 100},
	{"owed_pct", "owed", 100},
};

struct orgs_row {
	char *name;
	double values[G_N_ELEMENTS(orgs_columns)];
};

static char *orgs_read(const char *path, GError **err);
static void orgs_line(GPtrArray *rows, const char *line);
static char *orgs_label(const char *at, const char **end);
static struct orgs_row *orgs_row_of(GPtrArray *rows, const char *name);
static void orgs_row_free(gpointer p);
static void orgs_print(const struct cli *c, const GPtrArray *rows);

/* Shows the organisations in files of metrics; "-" is standard input. */
int cli_do_organisations(struct cli *c, const struct cli_cmd *cmd, char **args,
			 int n)
{
	GPtrArray *rows = g_ptr_array_new_with_free_func(orgs_row_free);
	GError *err = NULL;
	int i;

	for (i = 0; i < n && !err; i++) {
		char *text = orgs_read(args[i], &err);
		char **lines = text ? g_strsplit(text, "\n", -1) : NULL;
		char **p;

		for (p = lines; p && *p; p++)
			orgs_line(rows, *p);
		g_strfreev(lines);
		g_free(text);
	}
	if (err)
		fprintf(stderr, "endivectl: %s\n", err->message);
	else
		orgs_print(c, rows);
	g_ptr_array_free(rows, TRUE);
	i = err ? CLI_REFUSED : CLI_OK;
	g_clear_error(&err);
	return i;
}

/* Returns the text of a file, or NULL with err. */
static char *orgs_read(const char *path, GError **err)
{
	GIOChannel *in;
	char *text = NULL;

	if (strcmp(path, "-") != 0) {
		g_file_get_contents(path, &text, NULL, err);
		return text;
	}
	in = g_io_channel_unix_new(0);
	g_io_channel_set_encoding(in, NULL, NULL);
	g_io_channel_read_to_end(in, &text, NULL, err);
	g_io_channel_unref(in);
	return text;
}

/* Takes a line in, if it is a metric of an organisation. */
static void orgs_line(GPtrArray *rows, const char *line)
{
	const char *label;
	const char *value;
	char *name;
	size_t len;
	size_t i;

	if (!g_str_has_prefix(line, CLI_ORGS_PREFIX))
		return;
	line += strlen(CLI_ORGS_PREFIX);
	label = strstr(line, CLI_ORGS_LABEL);
	if (!label)
		return;
	len = (size_t)(label - line);
	name = orgs_label(label + strlen(CLI_ORGS_LABEL), &value);
	for (i = 0; value && i < G_N_ELEMENTS(orgs_columns); i++)
		if (strlen(orgs_columns[i].metric) == len &&
		    strncmp(orgs_columns[i].metric, line, len) == 0)
			orgs_row_of(rows, name)->values[i] =
				g_ascii_strtod(value, NULL) *
				orgs_columns[i].scale;
	g_free(name);
}

/*
 * Returns a label's value without its escapes; sets end to what follows its
 * closing quote and brace, NULL if they are missing.
 */
static char *orgs_label(const char *at, const char **end)
{
	GString *out = g_string_new(NULL);

	for (; *at && *at != '"'; at++) {
		if (*at != '\\' || !at[1]) {
			g_string_append_c(out, *at);
			continue;
		}
		at++;
		g_string_append_c(out, *at == 'n' ? '\n' : *at);
	}
	*end = strncmp(at, "\"} ", 3) == 0 ? at + 3 : NULL;
	return g_string_free(out, FALSE);
}

/* Returns the row of an organisation, which is added if it is new. */
static struct orgs_row *orgs_row_of(GPtrArray *rows, const char *name)
{
	struct orgs_row *r;
	guint i;

	for (i = 0; i < rows->len; i++) {
		r = g_ptr_array_index(rows, i);
		if (strcmp(r->name, name) == 0)
			return r;
	}
	r = g_new0(struct orgs_row, 1);
	r->name = g_strdup(name);
	g_ptr_array_add(rows, r);
	return r;
}

/* Frees a row. */
static void orgs_row_free(gpointer p)
{
	struct orgs_row *r = p;

	g_free(r->name);
	g_free(r);
}

/* Prints the rows in the order of the metrics. */
static void orgs_print(const struct cli *c, const GPtrArray *rows)
{
	const char *cols[1 + G_N_ELEMENTS(orgs_columns)] = {"organisation"};
	struct qtb table;
	size_t k;
	guint i;

	for (k = 0; k < G_N_ELEMENTS(orgs_columns); k++)
		cols[1 + k] = orgs_columns[k].column;
	qtb_init(&table, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < rows->len; i++) {
		const struct orgs_row *r = g_ptr_array_index(rows, i);
		struct pk_out *o = qtb_row(&table);

		pk_cstr(o, r->name);
		for (k = 0; k < G_N_ELEMENTS(orgs_columns); k++)
			pk_i(o, (int64_t)r->values[k]);
	}
	cli_print_local(c, &table);
}
