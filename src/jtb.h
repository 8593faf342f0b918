#ifndef JTB_H
#define JTB_H

/* The job table: the replicated state machine of jobs, tasks and workers. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "evd.h"
#include "lstr.h"
#include "ovr.h"
#include "pk.h"
#include "quo.h"
#include "slw.h"

/*
 * The table holds the configuration, the workers, the jobs and their runs, as
 * agreed by the replicas. Only commands change it: each is packed by a
 * jtb_put_ function and applied in the same order on every replica. Fields
 * marked "leader's" are local to the leader: they are not replicated and not
 * part of a snapshot.
 */
struct jtb;

#define JTB_ID_MAX 32
/* Maximum steps of a job: a set of steps is a bit mask in one 64-bit word. */
#define JTB_STEPS_MAX 64
/* Maximum tasks of a job over all steps; larger jobs are refused. */
#define JTB_TASKS_MAX 20000
/* Maximum turns of a repeated job; jobs with more are refused. */
#define JTB_REPEATS_MAX 10000

/* A queue: the address callers submit jobs to, and the policy for its jobs. */
struct jtb_queue {
	char *name;
	char *host;
	char *prefix; /* path prefix, ends with "/" */
	char *pool;
	uint32_t timeout_ms; /* time limit of a request, as configured */
	uint32_t slack_ms; /* constant part of a job's completion objective */
	uint32_t priority; /* 0 is scheduled first */
	uint32_t attempts; /* failed runs of one task that fail the job */
	double stretch; /* objective's multiple of the critical path */
	bool open; /* callers need no key */
	bool advised; /* starts need a ticket from the advice service */
	uint32_t advice_ms; /* time of one call to the advice service */
	uint32_t advice_each_ms; /* additional time for each worker named */
	uint32_t advice_valid_ms; /* validity of its tickets; 0: unknown */
};

/* A pool of VMs that run jobs. */
struct jtb_pool {
	char *name;
	bool enforces_capacity; /* its workers refuse tasks that don't fit */
	bool standby; /* its VMs are switched off */
};

struct jtb_config {
	uint64_t version;
	GPtrArray
		*queues; /* struct jtb_queue, filled by jtb_config_add_queue */
	GPtrArray *pools; /* struct jtb_pool, filled by jtb_config_add_pool */
	GHashTable *queue_by_name; /* first queue of each name */
	GHashTable
		*queues_by_host; /* lower case: GPtrArray of struct jtb_queue */
	GHashTable *pool_by_name; /* first pool of each name */
	struct orgs *orgs;
	GBytes *document; /* text of the configuration as submitted */
};

enum jtb_step_flag {
	JTB_CHECKPOINTS = 1 << 0, /* its tasks write checkpoints */
	JTB_GANG = 1 << 1, /* gang scheduling: all tasks run or none */
	JTB_RACK_SENSITIVE = 1 << 2, /* slower when spread over several racks */
	JTB_SPECULATIVE = 1 << 3, /* speculative copies of a task are allowed */
	JTB_LONG_RUNNING = 1 << 4, /* runs until the job is cancelled */
	JTB_BEST_EFFORT = 1 << 5, /* uses only idle processor time */
};

/* A step of a job: a number of tasks of one kind. */
struct jtb_step {
	uint32_t count;
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpus;
	uint32_t estimate_ms; /* caller's estimate of a task's run time */
	uint32_t max_per_worker; /* maximum tasks on one worker; 0: no limit */
	uint32_t slo_ms; /* tail latency objective of a service; 0: none */
	uint32_t may_miss; /* tasks that may be unavailable at a time */
	uint32_t flags; /* enum jtb_step_flag */
	uint64_t after; /* bit mask of steps that must be done first */
	char *label; /* label that a worker must have; or NULL */
	char *rack; /* rack that holds the input data; or NULL */
	char *image; /* tasks of one image behave alike; or NULL */
};

struct jtb_spec {
	char id[JTB_ID_MAX + 1];
	char *queue;
	char *text; /* opaque payload, passed to the workers */
	char *org; /* organisation whose key submitted it; or NULL */
	/* zone of the entry daemon that took it; NULL: not known */
	char *zone;
	struct jtb_step *steps;
	uint32_t n_steps;
	uint32_t repeats; /* 0: runs once, immediately */
	int64_t first_ms; /* start of the first turn, ms since 1970 */
	int64_t every_ms;
};

enum jtb_job_state {
	JTB_QUEUED,
	JTB_RUNNING,
	JTB_COMPLETED,
	JTB_FAILED,
	JTB_CANCELLED,
	JTB_JOB_STATES
};

/* How a run ended. */
enum jtb_end {
	JTB_DONE,
	JTB_FAILED_RUN,
	JTB_STOPPED,
	JTB_LEASE_EXPIRED,
	JTB_GANG_BROKEN, /* another task of its gang ended */
	JTB_GANG_INCOMPLETE, /* not all tasks of its gang could be started */
	JTB_LOST, /* its worker was lost, or the run never started */
	JTB_ENDS
};

struct jtb_run;

struct jtb_task {
	struct jtb_run *run; /* or NULL */
	/* most recent usable one, or NULL; a gang's is with its first task */
	char *checkpoint;
	uint32_t attempt; /* number of its most recent run */
	uint32_t failures;
	bool done;
	bool start_proposed; /* leader's: a start is not yet committed */
	struct jtb_worker *proposed_worker; /* NULL: that worker was removed */
	int64_t last_end_ms; /* leader's: end of its most recent run */
};

/*
 * A task that may have crashed workers, counted over all turns of its job.
 * Kept in a list of its own, since few jobs have such tasks.
 */
struct jtb_suspect {
	uint32_t step;
	uint32_t index;
	uint32_t crashes; /* workers lost while this task was starting */
	uint32_t correlated_crashes; /* those lost together with others */
};

/* State of one step in one turn of a job. */
struct jtb_step_state {
	struct jtb_task *tasks;
	uint32_t n_done;
	uint32_t n_runs;
	uint32_t n_proposed; /* leader's: starts that are proposed */
};

/* State of one turn of a job. */
struct jtb_turn {
	struct jtb_step_state *steps; /* one a step; NULL: none started */
	uint64_t done; /* bit mask of steps that are done */
};

/* Why a job or task is pending, and since when; leader's. */
struct jtb_pending_reason {
	int64_t pending_since_ms; /* pending since; 0: not pending */
	int64_t reason_since_ms; /* pending for this reason since */
	int64_t logged_ms; /* last log line about it; 0: none yet */
	uint8_t reason; /* enum hld_reason */
};

struct jtb_job {
	struct jtb_spec spec;
	enum jtb_job_state state;
	uint64_t seq; /* position in the order of acceptance */
	int64_t accepted_ms; /* since 1970, by the leader's clock */
	int64_t ended_ms;
	int64_t ended_seen_ms; /* leader's: first seen as ended; 0: not yet */
	double estimate_ratio; /* leader's: actual to estimated time; 0: 1 */
	int64_t first_start_ms; /* leader's: first start since 1970; 0: none */
	struct jtb_turn *turns; /* one a repetition; at least one */
	uint32_t n_turns;
	uint32_t turns_done;
	uint32_t n_runs;
	struct quo_use *use; /* account of its organisation; or NULL */
	GArray *suspects; /* struct jtb_suspect; NULL: there never was one */
	bool started; /* the start of one of its tasks was committed */
	bool begun; /* a worker has reported an end of one of its runs */
	bool start_unconfirmed; /* leader's: and no worker confirmed one */
	/* leader's, or NULL: of the job, then of each long-running task */
	struct jtb_pending_reason *pending_reasons;
	int64_t rack_wait_since_ms; /* leader's: of a gang for a rack; or 0 */
	double core_seconds; /* estimated core-seconds of one turn */
	uint32_t critical_path_ms; /* estimated length of the critical path */
};

struct jtb_worker_info {
	char *id; /* of the worker; a restarted one may have it again */
	char *pool;
	char *addr;
	char *zone;
	char **labels; /* its kind, then its rack */
	uint32_t cpu; /* thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpus;
	bool draining;
	/* start of the worker's process, ms since 1970; 0: not reported */
	int64_t started_ms;
	/* it leaves at the earliest then, ms since 1970; 0: not reported */
	int64_t leaves_at_ms;
};

struct jtb_worker {
	struct jtb_worker_info info;
	uint64_t last_end_no; /* number of the last end that was applied */
	GPtrArray *runs; /* struct jtb_run */
	bool removal_proposed; /* leader's: its removal is proposed */
	struct evd removal_evidence; /* leader's: evidence for that removal */
	bool restart_proposed; /* leader's: its next lifetime is proposed */
	int64_t restarted_ms; /* leader's: that was applied; 0: never */
	bool leaving; /* leader's: it announced its shutdown */
	guint index_in_pool; /* position in the index of its pool */
	struct evd_absence absence; /* leader's: lists of VMs that lack it */
	uint32_t runs_lost_count; /* times all its runs were ended as lost */
	uint32_t used_cpu;
	uint32_t used_mem;
	uint32_t used_gpus;
	uint32_t proposed_cpu; /* leader's: reserved for proposed starts */
	uint32_t proposed_mem;
	uint32_t proposed_gpus;
	uint32_t tasks_of_step; /* leader's: of the step being placed */
	uint32_t failed_jobs; /* leader's: different jobs, in a row */
	uint64_t last_failed_job; /* seq + 1 of the last of these jobs */
	uint32_t failed_jobs_seen; /* value of that count in the last plan */
	int64_t failed_jobs_changed_ms; /* last change of that count */
	struct slw speed; /* leader's: how long tasks take on it */
	bool slow_logged; /* leader's: logged as slow */
	bool suspect_logged; /* leader's: logged as failing every job */
	bool excluded; /* leader's: has no ticket for the step being placed */
	uint64_t isolated_for; /* leader's: seq + 1 of the job retried alone */
	int64_t isolated_ms; /* last time it was reserved for that retry */
	bool isolated_started; /* a task of that job was started on it */
	uint64_t reserved_for; /* leader's: seq + 1 of that job */
	int64_t reserved_ms; /* last time it was reserved for that job */
	void *owner; /* leader's data */
};

/* A start of a task on a worker, until its end is committed. */
struct jtb_run {
	struct jtb_job *job;
	struct jtb_worker *worker;
	uint32_t turn;
	uint32_t step;
	uint32_t index;
	uint32_t attempt;
	bool stopping; /* a stop was committed and is sent to its worker */
	/* of an earlier lifetime of its worker; its start may still arrive */
	bool earlier_life;
	/* leader's from here on */
	uint64_t serial;
	uint8_t phase; /* enum wkr_phase */
	bool stop_wanted; /* a stop order is to be sent to its worker */
	bool inherited; /* an earlier leader started it: start time unknown */
	bool stop_proposed; /* a stop is proposed, not yet committed */
	bool may_have_started; /* its worker may have received the start */
	uint16_t orders_sent; /* start and stop orders sent */
	uint16_t orders_unanswered; /* those of them without an answer */
	struct evd end_evidence; /* evidence that it is over */
	int64_t ordered_ms;
	int64_t first_running_ms; /* first reported as running */
	int64_t last_running_ms; /* last reported as running */
	int64_t progress_ms; /* last change of its progress */
	int64_t still_ms; /* how long lists have shown that progress */
	int32_t percent; /* progress; -1: not reported */
	int32_t metric_value; /* tail latency in ms, or processor in use */
	int32_t pace; /* limit of its work rate, percent */
	int32_t pace_sent; /* limit last sent to its worker; -1: unknown */
	int64_t pace_changed_ms; /* last change of that limit */
};

/* Identifies a task: job, turn, step and index in the step. */
struct jtb_name {
	char id[JTB_ID_MAX + 1];
	uint32_t turn;
	uint32_t step;
	uint32_t index;
};

/* The tasks that a lost worker incriminates or clears as cause of crashes. */
struct jtb_blame {
	GArray *suspects; /* struct jtb_name: may have crashed the worker */
	GArray *cleared; /* struct jtb_name: former suspects that did not */
	bool correlated; /* lost with others: most likely no task's fault */
};

enum jtb_vm_state {
	JTB_VM_WAITING,
	JTB_VM_BEGUN, /* its upkeep was ordered and accepted */
	JTB_VM_DONE,
};

/* A maintenance wave: VMs that must have their upkeep by a deadline. */
struct jtb_wave {
	uint64_t no;
	int64_t from_ms; /* since 1970 */
	int64_t within_ms;
	uint32_t at_once; /* maximum VMs in upkeep at a time */
	GPtrArray *vms; /* struct jtb_wave_vm */
	GHashTable *by_name; /* first entry of each VM name */
	bool completed;
};

struct jtb_wave_vm {
	char *vm;
	enum jtb_vm_state state;
	char *worker_before; /* worker id on it as its upkeep began; or NULL */
	struct evd_absence absence; /* leader's: lists of VMs that lack it */
};

/* Callbacks for changes of the table as commands are applied. */
struct jtb_watch {
	void (*run_began)(void *arg, struct jtb_run *run);
	void (*run_ends)(void *arg, struct jtb_run *run, enum jtb_end how);
	void (*run_stops)(void *arg, struct jtb_run *run);
	/* the actual end of a run that had been ended as lost is applied */
	void (*late_end)(void *arg, const struct jtb_worker *w,
			 const struct jtb_name *n, uint32_t attempt,
			 enum jtb_end how);
	void (*job_changed)(void *arg, struct jtb_job *job);
	void (*worker_changed)(void *arg, struct jtb_worker *w);
	void (*worker_removed)(void *arg, struct jtb_worker *w);
	void (*config_changed)(void *arg);
};

struct jtb *jtb_new(const struct jtb_watch *watch, void *arg);
void jtb_free(struct jtb *t);
bool jtb_apply(struct jtb *t, struct lstr batch);
void jtb_snapshot(const struct jtb *t, struct pk_out *o);
bool jtb_restore(struct jtb *t, struct lstr bytes);

const struct jtb_config *jtb_config(const struct jtb *t);
struct jtb_job *jtb_job(const struct jtb *t, const char *id);
struct jtb_worker *jtb_worker(const struct jtb *t, const char *id);
GHashTable *jtb_workers(const struct jtb *t);
GPtrArray *jtb_pool_workers(const struct jtb *t, const char *pool);
GHashTable *jtb_jobs(const struct jtb *t);
GPtrArray *jtb_live(const struct jtb *t);
GPtrArray *jtb_waves(const struct jtb *t);
struct quo *jtb_usage(const struct jtb *t);
const struct ovr *jtb_overrides(const struct jtb *t);
struct jtb_wave *jtb_wave(const struct jtb *t, uint64_t no);
bool jtb_lifetime_is_over(const struct jtb *t, const char *worker,
			  int64_t started_ms);
const struct jtb_queue *jtb_queue(const struct jtb_config *c, const char *name);
const struct jtb_queue *jtb_route(const struct jtb_config *c, const char *host,
				  const char *path);
const struct jtb_pool *jtb_pool(const struct jtb_config *c, const char *name);
const char *jtb_pool_of(const struct jtb *t, const struct jtb_job *job);
uint32_t jtb_count_pending(const struct jtb *t, const char *queue);
struct jtb_run *jtb_find_run(const struct jtb *t, const struct jtb_name *name,
			     uint32_t attempt, const char *worker);
uint32_t jtb_count_reruns(const struct jtb_job *job);
uint32_t jtb_max_crashes(const struct jtb_job *job);
const struct jtb_suspect *jtb_suspect(const struct jtb_job *job, uint32_t step,
				      uint32_t index);
bool jtb_step_due(const struct jtb_job *job, uint32_t turn, uint32_t step,
		  int64_t wall_ms);
void jtb_propose_start(struct jtb_job *job, const struct jtb_name *n,
		       struct jtb_worker *w);
const char *jtb_checkpoint(const struct jtb_run *run);
bool jtb_gang_has_left(const struct jtb_run *run);
struct jtb_step_state *jtb_step_state(const struct jtb_job *job, uint32_t turn,
				      uint32_t step);
void jtb_drop_proposals(struct jtb *t);
void jtb_doubt_starts(struct jtb *t);
bool jtb_run_is_stopping(const struct jtb_run *run);
bool jtb_fits(const struct jtb_worker *w, const struct jtb_step *s);
struct org_amount jtb_step_amount(const struct jtb_step *s);
int jtb_oversized_step(const struct jtb_spec *spec, const struct org *o);
bool jtb_is_overcommitted(const struct jtb_worker *w);
bool jtb_may_forget(struct jtb_job *job, int64_t now_ms, int64_t retention_ms);
int64_t jtb_turn_due(const struct jtb_job *job, uint32_t turn);

/* Commands; each call appends one element of a batch. */
void jtb_put_config(struct pk_out *o, const struct jtb_config *c);
void jtb_put_job(struct pk_out *o, const struct jtb_spec *s, int64_t wall_ms);
void jtb_put_override(struct pk_out *o, const struct ovr_order *order);
void jtb_put_cancel(struct pk_out *o, const char *id, int64_t wall_ms);
void jtb_put_start(struct pk_out *o, const struct jtb_name *name,
		   uint32_t attempt, const char *worker);
void jtb_put_stop(struct pk_out *o, const struct jtb_name *name,
		  uint32_t attempt, const char *worker);
void jtb_put_end(struct pk_out *o, const char *worker, uint64_t no,
		 const struct jtb_name *name, uint32_t attempt,
		 enum jtb_end how, struct lstr checkpoint, int64_t wall_ms);
void jtb_put_worker(struct pk_out *o, const struct jtb_worker_info *i);
void jtb_put_worker_restarted(struct pk_out *o, const struct jtb_worker_info *i,
			      const GArray *kept, const struct jtb_blame *blame,
			      int64_t wall_ms);
void jtb_put_worker_lost(struct pk_out *o, const char *worker, bool permanent);
void jtb_put_worker_leaving(struct pk_out *o, const char *worker);
void jtb_put_worker_crashed(struct pk_out *o, const char *worker,
			    bool permanent, const struct jtb_blame *blame,
			    int64_t wall_ms);
void jtb_put_wave(struct pk_out *o, const struct jtb_wave *w);
void jtb_put_vm(struct pk_out *o, uint64_t wave, const char *vm,
		enum jtb_vm_state state, const char *worker_before);
void jtb_put_forget(struct pk_out *o, const char *id);

struct jtb_config *jtb_config_new(void);
void jtb_config_free(struct jtb_config *c);
void jtb_config_add_queue(struct jtb_config *c, struct jtb_queue *q);
void jtb_config_add_pool(struct jtb_config *c, struct jtb_pool *p);
enum org_fault jtb_config_add_org(struct jtb_config *c, struct org *o);
void jtb_queue_free(gpointer p);
void jtb_pool_free(gpointer p);
void jtb_spec_clear(struct jtb_spec *s);
struct jtb_job *jtb_job_new(const struct jtb_spec *spec);
void jtb_blame_init(struct jtb_blame *b);
void jtb_blame_clear(struct jtb_blame *b);
bool jtb_blame_single_job(const struct jtb_blame *b);
void jtb_worker_info_clear(struct jtb_worker_info *i);
bool jtb_worker_info_is_current(const struct jtb_worker_info *known,
				const struct jtb_worker_info *reported);
struct jtb_wave *jtb_wave_new(uint64_t no);
struct jtb_wave_vm *jtb_wave_add(struct jtb_wave *w, const char *vm);
struct jtb_wave_vm *jtb_wave_find(const struct jtb_wave *w, const char *vm);
void jtb_wave_free(gpointer p);
void jtb_name_of(const struct jtb_run *run, struct jtb_name *out);
void jtb_name_format(const struct jtb_name *name, char *out, size_t size);
bool jtb_name_equal(const struct jtb_name *a, const struct jtb_name *b);
bool jtb_name_parse(struct lstr text, struct jtb_name *out);
const char *jtb_state_name(enum jtb_job_state state);
const char *jtb_end_name(enum jtb_end how);
bool jtb_job_ended(const struct jtb_job *job);

#endif
