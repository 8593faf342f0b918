#ifndef CRS_H
#define CRS_H

/* Crash attribution: finds the tasks that may have crashed a lost worker. */

#include "sch.h"

/*
 * State of crash attribution. Some twenty tasks may have run on a lost worker,
 * of which at most one crashes it as it starts. Decisions depend on the job
 * table and on what the leader observed, and do no input or output.
 */
struct crs;

/*
 * Workers lost within this time of each other may have been lost for one
 * reason, ms.
 */
#define CRS_WINDOW_MS 2000

struct crs_ops {
	/*
	 * Returns for how long a run had been observed running when its worker
	 * last answered, ms, or a value of enum sch_observed.
	 */
	int64_t (*observed_ms)(void *arg, const struct jtb_run *run);
	/*
	 * Whether another worker of the same rack became unreachable within
	 * CRS_WINDOW_MS.
	 */
	bool (*rack_unreachable)(void *arg, const struct jtb_worker *w);
	/*
	 * Whether an unreachable worker is known to be still running; NULL:
	 * never.
	 */
	bool (*alive)(void *arg, const struct jtb_worker *w);
};

struct crs *crs_new(const struct crs_ops *ops, void *arg);
void crs_free(struct crs *c);
void crs_clear(struct crs *c);
bool crs_rack_lost(const struct crs *c, const struct jtb_worker *w,
		   int64_t now_ms);
void crs_record_loss(struct crs *c, const struct jtb_worker *w, bool crashed,
		     int64_t now_ms, struct jtb_blame *out);

#endif
