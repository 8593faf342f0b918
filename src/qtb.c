#include "qtb.h"

static bool qtb_read_rows(struct qtb_in *t, struct pk_in *rows);
static bool qtb_read_cell(struct pk_in *row, struct qtb_cell *cell);

/* Starts a table with n_cols columns; the names must outlive it. */
void qtb_init(struct qtb *t, const char *const *cols, guint n_cols)
{
	*t = (struct qtb){.cols = cols, .n_cols = n_cols};
	pk_out_init(&t->rows);
}

/*
 * Starts a row, and returns the output into which its cells, one per column,
 * are packed.
 */
struct pk_out *qtb_row(struct qtb *t)
{
	t->n_rows++;
	pk_arr(&t->rows, t->n_cols);
	return &t->rows;
}

/* Packs the table into result as the answer, and frees its rows. */
void qtb_finish(struct qtb *t, struct pk_out *result)
{
	struct lstr rows = pk_out_view(&t->rows);
	guint i;

	pk_arr(result, 4);
	pk_u(result, PROTO_OK);
	pk_cstr(result, "");
	pk_arr(result, t->n_cols);
	for (i = 0; i < t->n_cols; i++)
		pk_cstr(result, t->cols[i]);
	pk_arr(result, t->n_rows);
	if (rows.len)
		msgpack_sbuffer_write(&result->buf, rows.p, rows.len);
	pk_out_done(&t->rows);
}

/* Packs an answer that consists of an error code and text only. */
void qtb_fail(struct pk_out *result, enum proto_result code, const char *text)
{
	pk_arr(result, 4);
	pk_u(result, code);
	pk_cstr(result, text);
	pk_arr(result, 0);
	pk_arr(result, 0);
}

/*
 * Decodes an answer. Returns false, with nothing to free, if the bytes are not
 * a valid answer; otherwise qtb_read_done frees it.
 */
bool qtb_read(struct qtb_in *t, struct lstr bytes)
{
	struct pk_in cols;
	struct pk_in rows;
	guint i;

	*t = (struct qtb_in){0};
	if (!pk_in_init(&t->in, bytes))
		return false;
	t->code = (enum proto_result)pk_get_u(&t->in);
	t->text = pk_get_str(&t->in);
	cols = pk_get_arr(&t->in);
	rows = pk_get_arr(&t->in);
	if (!pk_in_ok(&t->in) || (unsigned int)t->code > PROTO_FORBIDDEN) {
		pk_in_done(&t->in);
		return false;
	}
	t->n_cols = pk_in_left(&cols);
	t->n_rows = pk_in_left(&rows);
	t->cols = g_new0(struct lstr, t->n_cols);
	for (i = 0; i < t->n_cols; i++)
		t->cols[i] = pk_get_str(&cols);
	t->cells = g_new0(struct qtb_cell, (gsize)t->n_cols * t->n_rows);
	if (pk_in_ok(&cols) && qtb_read_rows(t, &rows))
		return true;
	qtb_read_done(t);
	return false;
}

/* Decodes the cells of all rows; false if a row is malformed. */
static bool qtb_read_rows(struct qtb_in *t, struct pk_in *rows)
{
	struct qtb_cell *cell = t->cells;
	guint i;
	guint j;

	for (i = 0; i < t->n_rows; i++) {
		struct pk_in row = pk_get_arr(rows);

		if (!pk_in_ok(&row) || pk_in_left(&row) != t->n_cols)
			return false;
		for (j = 0; j < t->n_cols; j++)
			if (!qtb_read_cell(&row, cell++))
				return false;
	}
	return true;
}

/* Decodes the next cell of a row; false if it is malformed. */
static bool qtb_read_cell(struct pk_in *row, struct qtb_cell *cell)
{
	switch (row->arr.ptr[row->at].type) {
	case MSGPACK_OBJECT_BIN:
		cell->type = QTB_STR;
		cell->str = pk_get_str(row);
		break;
	case MSGPACK_OBJECT_BOOLEAN:
		cell->type = QTB_BOOL;
		cell->num = pk_get_bool(row);
		break;
	default:
		cell->type = QTB_NUM;
		cell->num = pk_get_i(row);
		break;
	}
	return pk_in_ok(row);
}

/* Frees a decoded answer. */
void qtb_read_done(struct qtb_in *t)
{
	g_free(t->cols);
	g_free(t->cells);
	pk_in_done(&t->in);
}

/*
 * Returns the cell of a row in the column named col, or NULL if there is no
 * such column.
 */
const struct qtb_cell *qtb_cell(const struct qtb_in *t, guint row,
				const char *col)
{
	guint i;

	for (i = 0; i < t->n_cols; i++)
		if (lstr_eq(t->cols[i], lstr_from(col)))
			return &t->cells[(gsize)row * t->n_cols + i];
	return NULL;
}
