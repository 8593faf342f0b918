#ifndef TRC_H
#define TRC_H

#include <glib.h>
#include <stdint.h>

#include "lstr.h"

/*
 * Recorded traces: lines of a time (HH:MM:SS since the start), a verb and its
 * words; "#" begins a comment. Times never go back.
 */
struct trc_line {
	int line; /* in the file */
	int64_t at_ms;
	char **words; /* the verb first; NULL at the end */
	int n;
};

GArray *trc_read(struct lstr text, GError **err);
GArray *trc_load(const char *path, GError **err);
void trc_free(GArray *lines);

#endif
