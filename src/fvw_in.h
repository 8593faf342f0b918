#ifndef FVW_IN_H
#define FVW_IN_H

#include "fvw.h"

/* Declarations shared by the fvw_*.c files; not for other modules. */

/*
 * Format, the first field of a packed view. A view of another format is
 * refused completely, because one that is misread could place work on a VM of
 * another pool.
 */
enum fvw_format {
	FVW_FULL = 1, /* all fields */
	FVW_DELTA = 2, /* changes since a version */
};

void fvw_pack_body(const struct fvw *v, struct pk_out *o);
bool fvw_unpack_body(struct pk_in *in, struct fvw *v, GError **err);
bool fvw_unpack_names(struct pk_in *in, GPtrArray *names, guint max,
		      const char *what, GError **err);
bool fvw_finish(struct fvw *v, GError **err);
bool fvw_reject(GError **err, const char *what, guint at);

#endif
