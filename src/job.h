#ifndef JOB_H
#define JOB_H

/* The job scheduler: admission, placement, preemption and retry of jobs. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * A job is accepted, or refused with a reason. It is placed on a worker of its
 * pool under a lease, may be preempted for urgent work, is retried, and has
 * exactly one outcome. The module uses no clock, file or socket. Pools, teams
 * and workers are identified by numbers that the caller chooses.
 */

/* States of a job, in the order of the names in charts/job.chart. */
enum job_state {
	JOB_WAITING,
	JOB_RUNNING,
	JOB_STOPPING, /* preempted by urgent work */
	JOB_CANCELLING,
	JOB_LOST, /* its worker's lease expired */
	JOB_FINISHED,
	JOB_CANCELLED,
	JOB_REFUSED,
	JOB_STATES
};

/* Events of a job. */
enum job_event {
	JOB_PLACE,
	JOB_COMPLETE,
	JOB_FAIL,
	JOB_REFUSE,
	JOB_PREEMPT,
	JOB_STOPPED,
	JOB_CANCEL,
	JOB_LOSE,
	JOB_ENDED,
	JOB_EVENTS
};

enum job_class {
	JOB_ARCHIVE, /* lowest class: may wait and may be preempted */
	JOB_NORMAL,
	JOB_URGENT,
	JOB_CLASSES
};

/* Why a job is refused, on submission or after a failure. */
enum job_reason {
	JOB_OK,
	JOB_UNKNOWN_POOL,
	JOB_UNKNOWN_TEAM,
	JOB_TOO_LARGE, /* exceeds every worker of the pool */
	JOB_OVER_QUOTA, /* exceeds the whole quota of the team */
	JOB_QUEUE_FULL, /* too many jobs are waiting; may be retried later */
	JOB_FAILED_REPEATEDLY, /* failed on different workers */
	JOB_NOT_IDEMPOTENT, /* and had started before it failed */
	JOB_REASONS
};

struct job_size {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t accels;
};

struct job_spec {
	uint64_t id; /* chosen by the team; submission is idempotent by id */
	int pool;
	int team;
	enum job_class cls;
	struct job_size size; /* declared; actual usage may be far higher */
	bool idempotent;
	bool checkpoints; /* resumes where it was stopped */
};

/* Limits and times; docs/design/jobs.md gives the reason for each. */
struct job_config {
	int waiting_max; /* maximum jobs waiting over all pools */
	int oldest_every; /* placements after which the oldest job goes first */
	int stops_max; /* maximum preemptions of one job */
	int suspect_after; /* different jobs or workers that fail in a row */
	int64_t margin_ms; /* maximum clock difference */
};

enum job_order_kind {
	JOB_ORDER_START,
	JOB_ORDER_STOP, /* with a checkpoint, if the job supports that */
	JOB_ORDER_THROTTLE, /* limit usage to the declared size */
};

/* An order to a worker, which executes each (job, attempt, kind) once. */
struct job_order {
	enum job_order_kind kind;
	uint64_t job;
	uint32_t attempt;
	int worker;
};

/* The final outcome of a job; reported to its team once. */
struct job_outcome {
	uint64_t job;
	enum job_state outcome;
	enum job_reason reason;
};

/* Output of the calls below; the caller sends it and clears it. */
struct job_out {
	GArray *urgent; /* struct job_order, to be sent before the others */
	GArray *orders; /* struct job_order */
	GArray *outcomes; /* struct job_outcome */
	GPtrArray *audit; /* char *, owned: lines for the audit log */
};

struct job_status {
	enum job_state state;
	enum job_reason reason;
	int worker; /* -1: none */
	uint32_t attempt;
	int stops; /* preemptions so far */
};

/* The table of jobs, pools, teams and workers. */
struct jobs;

struct jobs *jobs_new(const struct job_config *config);
void jobs_free(struct jobs *j);
void job_set_pool(struct jobs *j, int pool);
void job_set_team(struct jobs *j, int team, const struct job_size *quota);
void job_set_worker(struct jobs *j, int worker, int pool,
		    const struct job_size *capacity, struct job_out *out);
void job_set_priority(struct jobs *j, int team, enum job_class cls,
		      int priority);
void job_renew_lease(struct jobs *j, int worker, int64_t until_ms);
void job_drain(struct jobs *j, int worker, bool drain);
enum job_reason job_submit(struct jobs *j, const struct job_spec *spec,
			   int64_t now_ms, struct job_out *out);
void job_cancel(struct jobs *j, uint64_t id, struct job_out *out);
void job_report_end(struct jobs *j, uint64_t id, uint32_t attempt,
		    enum job_event ev, bool begun, struct job_out *out);
void job_report_usage(struct jobs *j, uint64_t id, uint32_t attempt,
		      const struct job_size *used, struct job_out *out);
bool job_schedule(struct jobs *j, int64_t now_ms, int budget,
		  struct job_out *out);
void job_resend(struct jobs *j, struct job_out *out);
bool job_status(const struct jobs *j, uint64_t id, struct job_status *out);
bool job_is_suspect(const struct jobs *j, int worker);
void job_clear_suspect(struct jobs *j, int worker);
bool job_forget(struct jobs *j, uint64_t id);
int job_count(const struct jobs *j, enum job_state state);
const char *job_reason_text(enum job_reason why);
const char *job_state_name(enum job_state state);
void jobs_pack(const struct jobs *j, struct pk_out *o);
struct jobs *jobs_unpack(struct lstr bytes, GError **err);

void job_out_init(struct job_out *out);
void job_out_clear(struct job_out *out);
void job_out_done(struct job_out *out);

#endif
