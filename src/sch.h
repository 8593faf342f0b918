#ifndef SCH_H
#define SCH_H

/* Scheduler: decides which tasks of a pool start next and on which workers. */

#include <stdbool.h>
#include <stdint.h>

#include "dom.h"
#include "jtb.h"
#include "shr.h"

/* What all workers of all pools have and use, for shares of organisations. */
struct sch_totals {
	struct org_amount total;
	struct org_amount used; /* with what is proposed */
};

/*
 * What a plan is made from, and the functions it calls. Decisions depend on the
 * job table alone and do no input or output. Each pool is planned separately.
 */
struct sch_view {
	const struct jtb *jtb;
	/* ids of workers being drained for a move or upkeep */
	GHashTable *closed;
	/*
	 * kept over the plans of several pools at one time; NULL: summed up in
	 * each plan
	 */
	struct sch_totals *totals;
	struct shr *shares; /* of organisations; NULL: they count for nothing */
	/* how a job's tasks are kept in few zones; NULL: zones don't count */
	const struct dom_way *domains;
	int64_t now_ms; /* monotonic */
	int64_t wall_ms; /* since 1970 */
	void *arg;
	/* Whether new work may be assigned to a worker. */
	bool (*usable)(void *arg, const struct jtb_worker *w);
	/*
	 * Whether a worker's VM is due for upkeep; long-running tasks are then
	 * placed elsewhere if possible.
	 */
	bool (*upkeep_due)(void *arg, const struct jtb_worker *w);
	/*
	 * Whether a worker of the same rack was lost a moment ago; NULL: never.
	 */
	bool (*rack_lost)(void *arg, const struct jtb_worker *w);
	/*
	 * Whether a worker has a ticket for a step of a queue that requires
	 * advice; NULL: every worker has one.
	 */
	bool (*has_ticket)(void *arg, const struct jtb_job *job, uint32_t turn,
			   uint32_t step, const struct jtb_worker *w);
	/* Starts a task on a worker; called while planning. */
	void (*start)(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w);
	/* Reports that no worker of a pool could take a long-running task. */
	void (*unschedulable)(void *arg, const char *pool);
};

/*
 * A run that its worker has listed for less than this time counts as just
 * started, ms: should the worker crash, this run may be the cause.
 */
#define SCH_JUST_STARTED_MS 200

/* Values of sch_observed_ms for a run without an observed running time. */
enum sch_observed {
	SCH_NOT_OBSERVED = -1, /* the worker has never listed the run */
	/* the worker was never sent the run, or has finished with it */
	SCH_NOT_SENT = -2,
	SCH_UNKNOWN = -3, /* started by an earlier leader at an unknown time */
};

/* What a job can still achieve, best first. */
enum sch_chance {
	SCH_IN_TIME,
	SCH_LATE, /* past its objective, worth less than its full value */
	SCH_WORTHLESS, /* so late that its result has no value */
};

void sch_sum_workers(const struct jtb *jtb, struct sch_totals *out);
uint32_t sch_plan(const struct sch_view *v, const char *pool);
int64_t sch_objective_ms(const struct jtb_queue *q, const struct jtb_job *job);
enum sch_chance sch_chance(const struct jtb_queue *q, const struct jtb_job *job,
			   int64_t wall_ms);
double sch_urgency(const struct jtb_queue *q, const struct jtb_job *job,
		   int64_t wall_ms);
uint32_t sch_min_workers(const struct jtb_job *job, int64_t wall_ms);
bool sch_is_long_running(const struct jtb_job *job);
const char *sch_rack_of(const struct jtb_worker *w);
int64_t sch_observed_ms(const struct jtb_run *run);
bool sch_is_suspect_task(const struct jtb_job *job, uint32_t step,
			 uint32_t index);
bool sch_runs_long_running(const struct jtb_worker *w);
bool sch_is_time_sample(const struct jtb_run *run, enum jtb_end how,
			int64_t led_ms);
bool sch_is_suspect_worker(const struct jtb_worker *w, int64_t now_ms);
double sch_remaining_work(const struct jtb_job *job, int64_t wall_ms);
double sch_usable_cores(const struct jtb_job *job, int64_t wall_ms,
			double core_mb);

#endif
