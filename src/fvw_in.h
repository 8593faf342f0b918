#ifndef FVW_IN_H
#define FVW_IN_H

#include "fvw.h"

/* Between the files of fvw only. */

/*
 * First field of a packed view. A view of another format is refused as a
 * whole: half understood, it could place work on a VM of another pool.
 */
enum fvw_format {
	FVW_WHOLE = 1,
	FVW_DELTA = 2,
};

void fvw_pack_parts(const struct fvw *v, struct pk_out *o);
bool fvw_get_parts(struct pk_in *in, struct fvw *v, GError **err);
bool fvw_get_names(struct pk_in *in, GPtrArray *names, guint max,
		   const char *what, GError **err);
bool fvw_seal(struct fvw *v, GError **err);
bool fvw_bad(GError **err, const char *what, guint at);

#endif
