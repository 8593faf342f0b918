#include "cli.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <stdio.h>

#define CLI_COL_MAX 60

static void cli_print_json(const struct qtb_in *t);
static void cli_print_table(const struct qtb_in *t);
static char *cli_cell_text(const struct qtb_cell *cell);
static void cli_put_json(JsonBuilder *b);

/* Hands each line of a log file on; false after a line that says why not. */
bool cli_read_log(const char *path, lgl_take take, void *arg)
{
	if (lgl_file(path, take, arg))
		return true;
	fprintf(stderr, "endivectl: %s: %s\n", path, g_strerror(errno));
	return false;
}

/* Prints an answer: columns for people, or an array of objects. */
void cli_print(const struct cli *c, const struct qtb_in *t)
{
	if (c->set.json)
		cli_print_json(t);
	else
		cli_print_table(t);
}

/* Prints a table made here, and frees it. */
void cli_print_local(const struct cli *c, struct qtb *t)
{
	struct pk_out o;
	struct qtb_in in;

	pk_out_init(&o);
	qtb_finish(t, &o);
	if (qtb_read(&in, pk_out_view(&o))) {
		cli_print(c, &in);
		qtb_read_done(&in);
	}
	pk_out_done(&o);
}

static void cli_put_json(JsonBuilder *b)
{
	JsonGenerator *gen = json_generator_new();
	JsonNode *root = json_builder_get_root(b);
	char *text;

	json_generator_set_pretty(gen, TRUE);
	json_generator_set_root(gen, root);
	text = json_generator_to_data(gen, NULL);
	puts(text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(gen);
	g_object_unref(b);
}

static void cli_print_json(const struct qtb_in *t)
{
	JsonBuilder *b = json_builder_new();
	guint i;
	guint j;

	json_builder_begin_array(b);
	for (i = 0; i < t->n_rows; i++) {
		json_builder_begin_object(b);
		for (j = 0; j < t->n_cols; j++) {
			const struct qtb_cell *cell =
				&t->cells[(gsize)i * t->n_cols + j];
			char *name = lstr_dup(t->cols[j]);
			char *text = cli_cell_text(cell);

			json_builder_set_member_name(b, name);
			if (cell->type == QTB_NUM)
				json_builder_add_int_value(b, cell->num);
			else if (cell->type == QTB_BOOL)
				json_builder_add_boolean_value(b, cell->num);
			else
				json_builder_add_string_value(b, text);
			g_free(text);
			g_free(name);
		}
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
	cli_put_json(b);
}

static char *cli_cell_text(const struct qtb_cell *cell)
{
	if (cell->type == QTB_NUM)
		return g_strdup_printf("%lld", (long long)cell->num);
	if (cell->type == QTB_BOOL)
		return g_strdup(cell->num ? "yes" : "no");
	return g_utf8_make_valid(cell->str.p, (gssize)cell->str.len);
}

/* A cell on one line; what is empty shows as "-" so that columns count. */
static char *cli_cell_line(const struct qtb_cell *cell)
{
	char *text = cli_cell_text(cell);

	g_strdelimit(text, "\n\r\t\033", ' ');
	if (*text)
		return text;
	g_free(text);
	return g_strdup("-");
}

static void cli_print_table(const struct qtb_in *t)
{
	guint *width = g_new0(guint, t->n_cols);
	gsize n = (gsize)t->n_cols * t->n_rows;
	char **text = g_new0(char *, n + 1);
	gsize i;
	guint j;

	for (j = 0; j < t->n_cols; j++)
		width[j] = (guint)t->cols[j].len;
	for (i = 0; i < n; i++) {
		guint len;

		j = (guint)(i % t->n_cols);
		text[i] = cli_cell_line(&t->cells[i]);
		len = (guint)g_utf8_strlen(text[i], -1);
		width[j] = MAX(width[j], MIN(len, CLI_COL_MAX));
	}
	for (j = 0; j < t->n_cols; j++)
		printf("%-*.*s%s", j + 1 < t->n_cols ? (int)width[j] : 0,
		       LSTR_ARG(t->cols[j]), j + 1 < t->n_cols ? "  " : "\n");
	for (i = 0; i < n; i++) {
		guint len = (guint)g_utf8_strlen(text[i], -1);

		j = (guint)(i % t->n_cols);
		fputs(text[i], stdout);
		if (j + 1 == t->n_cols)
			putchar('\n');
		else
			printf("%*s",
			       (int)(len < width[j] ? width[j] - len : 0) + 2,
			       "");
	}
	g_strfreev(text);
	g_free(width);
}

/* Prints how a command ended, with its identity and what it brought. */
void cli_print_result(const struct cli *c, const struct fcm_cmd *cmd,
		      const struct fcm_result *r)
{
	JsonBuilder *b;
	char *id = lstr_dup(cmd->id);

	if (c->set.json) {
		b = json_builder_new();
		json_builder_begin_object(b);
		json_builder_set_member_name(b, "id");
		json_builder_add_string_value(b, id);
		json_builder_set_member_name(b, "outcome");
		json_builder_add_string_value(b, fcm_outcome_name(r->code));
		json_builder_set_member_name(b, "index");
		json_builder_add_int_value(b, (gint64)r->index);
		json_builder_set_member_name(b, "version");
		json_builder_add_int_value(b, (gint64)r->version);
		json_builder_set_member_name(b, "configuration");
		json_builder_add_int_value(b, (gint64)r->number);
		json_builder_set_member_name(b, "text");
		json_builder_add_string_value(b, r->text ? r->text : "");
		json_builder_end_object(b);
		cli_put_json(b);
	} else if (r->code == PROTO_OK) {
		printf("accepted: %s\n", r->text ? r->text : "");
	} else {
		fprintf(stderr, "endivectl: %s: %s\n",
			fcm_outcome_name(r->code), r->text ? r->text : "");
	}
	g_free(id);
}
