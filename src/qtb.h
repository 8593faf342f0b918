#ifndef QTB_H
#define QTB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"
#include "proto.h"

/*
 * Answers to queries: a table that carries its columns' names, so that the
 * client shows any of them, and that of a later module, without knowing it.
 * Packed as [code, text, [column...], [[cell...]...]].
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

/* A cell of an answer. */
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

/* An answer as it was read; strings live as long as it does. */
struct qtb_in {
	struct pk_in in;
	enum proto_result code;
	struct lstr text;
	guint n_cols;
	guint n_rows;
	struct lstr *cols;
	struct qtb_cell *cells; /* row after row */
};

bool qtb_read(struct qtb_in *t, struct lstr bytes);
void qtb_read_done(struct qtb_in *t);
const struct qtb_cell *qtb_cell(const struct qtb_in *t, guint row,
				const char *col);

#endif
