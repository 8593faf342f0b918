#ifndef PAC_H
#define PAC_H

/* Pacing: limits the speed of best-effort tasks beside serving tasks. */

#include <stdint.h>

#include "jtb.h"

/*
 * Pacing of best-effort tasks, which use idle processors, on a worker that also
 * runs serving tasks, whose tail latency must stay below a bound. Decisions
 * depend on the figures that a worker lists, and do no input or output.
 */
struct pac_ops {
	/* Sets the speed of a run, percent of the full speed. */
	void (*pace)(void *arg, struct jtb_run *run, int percent);
};

void pac_update(struct jtb_worker *w, int64_t now_ms, const struct pac_ops *ops,
		void *arg);

#endif
