#ifndef BAT_H
#define BAT_H

/* The commands that are gathered for the log, and the entries cut from them. */

#include <glib.h>
#include <stddef.h>

#include "pk.h"

struct bat {
	struct pk_out out; /* the packed commands, one after another */
	GArray *starts; /* size_t: where each of them begins */
	guint first; /* those before it are dropped and still held */
};

void bat_init(struct bat *b);
void bat_done(struct bat *b);
struct pk_out *bat_add(struct bat *b);
guint bat_count(const struct bat *b);
size_t bat_bytes(const struct bat *b);
guint bat_fitting(const struct bat *b, size_t max);
void bat_pack(const struct bat *b, guint n, struct pk_out *out);
void bat_drop(struct bat *b, guint n);

#endif
