#ifndef QTB_H
#define QTB_H

/* Query tables: encode and decode the tables that answer queries. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"
#include "proto.h"

/*
 * An answer to a query being built: a table with the names of its columns, so
 * that a client can show any table, also one of a module added later, without
 * knowing it. Packed as [code, text, [column...], [[cell...]...]].
 */
struct qtb {
	const char *const *cols;
	guint n_cols;
	struct pk_out rows;
	guint n_rows;
};

void qtb_init(struct qtb *t, const char *const *cols, guint n_cols);
struct pk_out *qtb_row(struct qtb *t);
void qtb_finish(struct qtb *t, struct pk_out *result);
void qtb_fail(struct pk_out *result, enum proto_result code, const char *text);

/* Type of a cell. */
enum qtb_type {
	QTB_NUM,
	QTB_STR,
	QTB_BOOL,
};

struct qtb_cell {
	enum qtb_type type;
	int64_t num; /* QTB_NUM, and 0 or 1 for QTB_BOOL */
	struct lstr str;
};

/* A decoded answer; its strings are valid until qtb_read_done. */
struct qtb_in {
	struct pk_in in;
	enum proto_result code;
	struct lstr text;
	guint n_cols;
	guint n_rows;
	struct lstr *cols;
	struct qtb_cell *cells; /* in order of rows */
};

bool qtb_read(struct qtb_in *t, struct lstr bytes);
void qtb_read_done(struct qtb_in *t);
const struct qtb_cell *qtb_cell(const struct qtb_in *t, guint row,
				const char *col);

#endif
