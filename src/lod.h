#ifndef LOD_H
#define LOD_H

/* Load regulation of the leader: delays and timeouts that adapt to its load. */

#include <stdint.h>

/*
 * One thread does all work of the leader, so that work which is done more often
 * than it helps takes time from the orders that callers wait for. The functions
 * here decide how long such work is deferred. They are pure; the time is passed
 * in, in ms.
 */

/* State for the decision when to plan the pools again. */
struct lod_plan {
	int64_t ended_ms; /* end of the last plan */
	double mean_ms; /* EWMA of the duration of a plan */
};

int64_t lod_plan_wait_ms(const struct lod_plan *p, int64_t batch_ms,
			 int64_t now_ms);
void lod_record_plan(struct lod_plan *p, double took_ms, int64_t now_ms);
int64_t lod_answer_timeout_ms(int64_t timeout_ms, int64_t lease_ms,
			      int64_t lag_ms);
int64_t lod_poll_delay_ms(unsigned int busy, int64_t lag_ms);
int lod_pick_relay(unsigned int relays, uint32_t worker, uint32_t attempt);

#endif
