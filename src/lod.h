#ifndef LOD_H
#define LOD_H

#include <stdint.h>

/*
 * What a busy leader puts off, and for how long. One thread does all its work:
 * what is done more often than it helps is taken from orders that callers wait
 * for. Pure decisions; time is passed in, ms.
 */

/* When pools are planned next. */
struct lod_plan {
	int64_t ended_ms; /* of the last plan */
	double took_ms; /* moving mean of a plan's time */
};

int64_t lod_plan_wait_ms(const struct lod_plan *p, int64_t batch_ms,
			 int64_t now_ms);
void lod_planned(struct lod_plan *p, double took_ms, int64_t now_ms);
int64_t lod_patience_ms(int64_t patience_ms, int64_t lease_ms, int64_t lag_ms);
int64_t lod_gather_ms(unsigned int busy, int64_t lag_ms);
int lod_carrier(unsigned int carriers, uint32_t worker, uint32_t turn);

#endif
