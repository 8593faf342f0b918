#ifndef PRM_H
#define PRM_H

/* Preemption: whose runs stop for work of a queue that goes first. */

#include <stdbool.h>
#include <stdint.h>

#include "jtb.h"

/* What was decided on a pool. */
struct prm_result {
	uint32_t waiting; /* tasks that would be late if they waited */
	uint32_t served; /* of these, those that room is made for */
	uint32_t stops;
	double thrown; /* core-seconds of the runs that were stopped */
	double budget; /* core-seconds that may still be thrown away */
};

/* What decisions are made from, and the functions that take them. */
struct prm_view {
	const struct jtb *jtb;
	/* ids of workers being drained for a move or upkeep */
	GHashTable *closed;
	int64_t now_ms; /* monotonic */
	int64_t wall_ms; /* since 1970 */
	void *arg;
	/* Whether new work may be assigned to a worker. */
	bool (*usable)(void *arg, const struct jtb_worker *w);
	/* Stops a run, which is started again later. */
	void (*stop)(void *arg, struct jtb_run *run, const char *why);
	/* Reports what was decided on a pool in which tasks would be late. */
	void (*decided)(void *arg, const char *pool,
			const struct prm_result *r);
};

struct prm;

struct prm *prm_new(void);
void prm_free(struct prm *m);
void prm_lead(struct prm *m);
void prm_plan(struct prm *m, const struct prm_view *v);

#endif
