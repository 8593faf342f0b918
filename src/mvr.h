#ifndef MVR_H
#define MVR_H

#include <glib.h>
#include <stdint.h>

#include "fcm.h"
#include "fst.h"

/*
 * The mover: decides, at the leader, when a VM on its way between pools may
 * take the next step. Without I/O; time is passed in.
 */
struct mvr;

struct mvr_ops {
	/* the version an entry daemon said it works by; 0: not heard of */
	uint64_t (*works_by)(void *arg, const char *node);
	/* submits a step; its identity and time are the submitter's */
	void (*submit)(void *arg, const struct fcm_cmd *cmd);
};

struct mvr *mvr_new(const struct mvr_ops *ops, void *arg);
void mvr_free(struct mvr *m);
void mvr_run(struct mvr *m, const struct fst *f, int64_t now_ms);
char *mvr_waits_for(const struct mvr *m, const struct fst *f, const char *vm);

#endif
