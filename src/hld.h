#ifndef HLD_H
#define HLD_H

/* Scheduling diagnostics: determines why a task that is due does not run. */

#include "sch.h"

/*
 * A task that is pending, that is, due and without a run, has one reason, found
 * by the same rules as plans follow. Nothing here does input or output.
 */

/*
 * Why a task does not run. Of the reasons that a pool's workers give, the one
 * of the worker nearest to taking the task is reported: the values are in that
 * order, and so are the checks of a plan.
 */
enum hld_reason {
	HLD_NONE, /* none: a plan made now starts it */
	/* not pending */
	HLD_OVER, /* the task is done, or the job has ended */
	HLD_RUNS, /* the task runs */
	/* not due */
	HLD_NOT_DUE, /* the time of the task's turn has not come */
	HLD_EARLIER_STEP, /* earlier steps are not done */
	HLD_NO_QUEUE, /* the job's queue is not in the configuration */
	/* being started, stopped or ended */
	HLD_PROPOSED, /* the task's start is not committed yet */
	HLD_ORDERED, /* the worker has not acknowledged the start */
	HLD_STOPPING, /* the task's run is being stopped */
	/* the run's worker is unreachable and the lease may still be valid */
	HLD_LEASE_VALID,
	HLD_ENDING, /* the end of the last run is not committed yet */
	HLD_GANG, /* other members of the gang run or are being started */
	/* the last run has just ended, and the task is retried shortly */
	HLD_JUST_ENDED,
	/* the task may have crashed a worker and awaits its isolated retry */
	HLD_ISOLATED_RETRY,
	/* the organisation's usage limit leaves no room for the task */
	HLD_ORG_LIMIT,
	/*
	 * given by the workers of the task's pool: what keeps the best of them,
	 * the one with the last of these reasons, from taking the task
	 */
	HLD_NO_WORKER, /* the pool has no worker */
	HLD_NO_LABEL, /* the best worker lacks the label */
	HLD_TOO_LARGE, /* the best worker is too small */
	HLD_DRAINING, /* the best worker is draining */
	HLD_UNREACHABLE, /* the best worker is unreachable */
	/* the best worker is backed off from after failures or refusals */
	HLD_BACKED_OFF,
	/* the best worker is being drained for a move to another pool */
	HLD_MOVING,
	HLD_UPKEEP, /* the best worker is being drained for upkeep */
	/* the best worker has no ticket for the task from the advice service */
	HLD_NO_TICKET,
	/* the best worker has reached the step's limit of tasks per worker */
	HLD_WORKER_LIMIT,
	HLD_NO_CAPACITY, /* the best worker lacks free capacity */
	HLD_RESERVED, /* the best worker is reserved for a long-running task */
	/* the best worker is reserved for an isolated retry */
	HLD_RESERVED_FOR_RETRY,
	HLD_NO_GANG_CAPACITY, /* not all members of the gang fit */
	/* all members of the gang fit, but wait for one rack */
	HLD_WAITS_FOR_RACK,
	HLD_REASONS
};

struct hld_view {
	const struct sch_view *sch;
	GHashTable *moving; /* ids of workers closed for a move */
	GHashTable *upkeep;
	/* HLD_NONE, or why a worker that sch->usable rejects is not usable */
	enum hld_reason (*worker_reason)(void *arg, const struct jtb_worker *w);
	/* HLD_RUNS, or what a run waits for */
	enum hld_reason (*run)(void *arg, const struct jtb_run *run);
};

/* Pending tasks by reason, as of the last scan; initialise with zeros. */
struct hld_sum {
	uint64_t tasks[HLD_REASONS];
	/*
	 * longest time that a pending job or long-running task has had no run
	 */
	int64_t longest_ms;
	guint next_job; /* index of the job with which the next scan begins */
};

/*
 * Reports a task, or a job if n is NULL, that has been pending for long: for
 * reason_ms for the reason why, and for pending_ms altogether.
 */
typedef void (*hld_report_fn)(void *arg, const struct jtb_job *job,
			      const struct jtb_name *n, enum hld_reason why,
			      int64_t reason_ms, int64_t pending_ms);

enum hld_reason hld_task(const struct hld_view *v, struct jtb_job *job,
			 const struct jtb_name *n);
bool hld_is_pending(enum hld_reason why);
const char *hld_name(enum hld_reason why);
int64_t hld_limit_ms(enum hld_reason why);
void hld_scan_all(const struct hld_view *v, struct hld_sum *sum,
		  hld_report_fn report, void *arg);
void hld_clear(const struct jtb *t);
void hld_append_metrics(const struct hld_sum *sum, GString *out);

#endif
