#ifndef MVR_H
#define MVR_H

/* Controls VM moves between pools: decides when each phase is complete. */

#include <glib.h>
#include <stdint.h>

#include "fcm.h"
#include "fst.h"

/*
 * The mover: decides, on the leader, when a VM that is being moved between
 * pools may take the next step. It does no input or output itself; time is
 * passed in.
 */
struct mvr;

struct mvr_ops {
	/*
	 * Returns the view version that an entry daemon has reported as
	 * applied; 0: none.
	 */
	uint64_t (*applied_version)(void *arg, const char *node);
	/*
	 * Submits a step; the command's identity and time are set by the
	 * submitter.
	 */
	void (*submit)(void *arg, const struct fcm_cmd *cmd);
};

struct mvr *mvr_new(const struct mvr_ops *ops, void *arg);
void mvr_free(struct mvr *m);
void mvr_run(struct mvr *m, const struct fst *f, int64_t now_ms);
char *mvr_waits_for(const struct mvr *m, const struct fst *f, const char *vm);

#endif
