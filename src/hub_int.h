#ifndef HUB_INT_H
#define HUB_INT_H

/* Declarations shared by the files of the control daemon. */

#include "adv.h"
#include "bat.h"
#include "cnt.h"
#include "cpu.h"
#include "crs.h"
#include "est.h"
#include "flo.h"
#include "gcm.h"
#include "hld.h"
#include "hub.h"
#include "itk.h"
#include "lod.h"
#include "prm.h"
#include "rep.h"
#include "sch.h"
#include "srv.h"
#include "tmr.h"
#include "upk.h"
#include "vms.h"

/*
 * The files of the control daemon. Each file calls only the files before it:
 *
 *	hub_call	calls and their answers
 *	hub_log		commands and reads in progress in the log
 *	hub_carry	which replica sends the calls to a worker
 *	hub_lost	workers that crash
 *	hub_life	workers that start again under their ids
 *	hub_plan	what the leader runs
 *	hub_held	why a pending task does not run
 *	hub_shr		how organisations' shares decide
 *	hub_prm		whose runs stop for a queue that goes first
 *	hub_vm		upkeep of VMs
 *	hub_intake	which jobs are refused for want of room
 *	hub_take	requests that the protocol layer passes on
 *	hub_operator	orders and queries of operators
 *	hub_tell	metrics
 *	hub		start, stop and network input of the daemon
 */

/* A call of a caller, worker or operator, and its answer. */
struct hub_call {
	struct hub *h;
	enum hub_origin origin;
	struct wire_conn *conn; /* of an entry daemon; NULL: disconnected */
	uint64_t no; /* number of the call on its connection */
	struct srv_req *req; /* at the control address; NULL: disconnected */
	char *method;
	char *host;
	char *path;
	char *credentials; /* caller's header with its key; "": none */
	GBytes *body;
	struct mbd_hold hold; /* of a call relayed by an entry daemon */
	void *user; /* freed with the call */
	bool answered;
	int refs; /* one until answered, one per waiting command or read */
	int64_t arrived_ms;
};

/* A call that waits for an entry or a read of the log. */
struct hub_waiter {
	struct hub_call *c;
	hub_resume_fn resume;
	uint64_t after; /* number of the last command that it waits for */
};

/* A batch or a read in progress in the log. */
struct hub_inflight {
	GArray *waiters; /* struct hub_waiter */
	int64_t started_ms;
};

/* Counters in /metrics. */
enum hub_count {
	HUB_CALLS,
	HUB_JOBS,
	HUB_STARTS,
	HUB_ENDS,
	HUB_FAILED_RUNS,
	HUB_LOST_RUNS,
	HUB_STOPS,
	HUB_CANCELS,
	HUB_BATCHES,
	HUB_READS,
	HUB_LEADS,
	HUB_PACES,
	HUB_MOVES,
	HUB_UPKEEPS,
	HUB_UPKEEPS_DONE,
	HUB_UNKNOWN_CALLS,
	HUB_UNADVISED,
	HUB_REPORTS,
	HUB_CRASHES,
	HUB_CRASHING_JOBS,
	HUB_LATE_ENDS,
	HUB_KEYS_REFUSED,
	HUB_NEVER_FIT,
	HUB_DIRECT_STARTS,
	HUB_RESTARTS,
	HUB_REPORTS_UNREADABLE,
	HUB_REPORTS_UNKNOWN,
	HUB_REPORTS_EARLIER,
	HUB_REPORTS_NO_START,
	HUB_REPORTS_BAD_START,
	HUB_PREEMPTED,
	HUB_BEHIND,
	HUB_COUNTS
};

/* Durations in /metrics. */
enum hub_duration {
	HUB_ANSWER, /* from a call to its answer */
	HUB_FIRST_START, /* from a job's acceptance to its first order */
	HUB_COMPLETED, /* from a completed job's acceptance to its stored end */
	HUB_OVERRUN, /* a completed job's time beyond its objective */
	HUB_RUN, /* from the order to the end of a completed run */
	HUB_COMMIT, /* of a batch, until a majority has stored it */
	HUB_READ, /* until a majority has confirmed leadership */
	HUB_TIMES
};

struct hub {
	struct hub_config config;
	struct tmr *tmr;
	struct mbd *memory; /* of all connections */
	struct rep *rep;
	struct srv *srv;
	struct srv *metrics;
	struct jtb *jtb;
	struct wkr *wkr;
	struct rly *rly; /* calls that other replicas make for this leader */
	struct rly_relay *relay_server; /* calls made here for the leader */
	GPtrArray *peers; /* addresses of the reachable voters */
	GPtrArray *relays; /* those of peers that can relay calls; borrowed */
	struct vms *vms; /* unused if config.vms is NULL */
	struct adv *adv;
	struct adv_line *advice;
	struct upk *upk;
	struct flo *flo;
	struct itk *itk;
	int64_t pools_logged_ms; /* when the pools were last logged */
	int64_t division_logged_ms; /* when a division was last logged */
	/* when the time per kind of work was last logged, and those times */
	int64_t work_logged_ms;
	uint64_t work_logged_us[CPU_KINDS];
	int64_t forget_checked_ms; /* when ended jobs were last checked */
	int64_t vm_orders_from_ms; /* earliest time of an order to a VM */
	uint64_t vm_timer; /* plans VM orders at vm_orders_from_ms */
	int64_t lead_lost_ms; /* when leadership was last lost; 0: never */
	GHashTable *calls; /* all open calls, struct hub_call */
	/* The log. */
	struct bat batch; /* commands that are not proposed yet */
	uint64_t batch_proposed; /* number of the commands proposed so far */
	GArray *batch_waiters; /* struct hub_waiter, in order */
	bool log_refused; /* the log took no more of the batch last time */
	GHashTable *proposals; /* log index: struct hub_inflight */
	GArray *read_waiters; /* struct hub_waiter, for the next read */
	GHashTable *reads; /* tag: struct hub_inflight */
	uint64_t next_read_tag;
	uint64_t flush_timer;
	struct gcm gcm; /* delay until the next batch */
	/* Planning. */
	bool leading;
	/* worker's id: sequence number of its newest report */
	GHashTable *report_seqs;
	int64_t lead_since_ms; /* when this replica last became leader */
	struct est *est; /* estimates of run times */
	struct crs *crs; /* tasks that workers crashed under */
	struct shr *shares; /* of organisations */
	int64_t shares_logged_ms; /* last line about them */
	struct prm *prm; /* preemption by queues that go first */
	GHashTable *dirty_pools; /* pools to plan */
	struct hld_sum pending; /* tasks that are due and not running */
	int64_t pending_checked_ms; /* when pending was last computed */
	bool pending_due; /* the next plan, of all pools, updates pending */
	struct lod_plan plan_load; /* delay until the next plan */
	uint64_t plan_timer;
	uint64_t tick_timer;
	int64_t drain_until_ms;
	uint64_t counts[HUB_COUNTS];
	struct cnt_times times[HUB_TIMES];
};

/* hub_call */
struct hub_call *hub_call_new(struct hub *h, enum hub_origin origin);
bool hub_call_fits(struct hub_call *c);
void hub_call_unref(struct hub_call *c);
void hub_call_disconnect(struct hub_call *c);
void hub_conn_closed(struct hub *h, const struct wire_conn *conn);
/* hub_log */
void hub_log_init(struct hub *h);
void hub_log_free(struct hub *h);
void hub_log_applied(struct hub *h, uint64_t index);
void hub_log_read_done(struct hub *h, uint64_t tag, bool ok);
void hub_log_abort(struct hub *h);
bool hub_refuse_behind(struct hub *h, struct hub_call *c);
/* hub_carry */
void hub_relay_init(struct hub *h);
void hub_relay_free(struct hub *h);
void hub_relay_lead(struct hub *h, uint64_t term);
void hub_relay_tick(struct hub *h);
const char *hub_relay_addr(void *arg, const struct jtb_worker *w,
			   uint32_t turn);
void hub_relay_direct(void *arg, const struct jtb_run *run, uint32_t n_lost);
/* hub_plan */
extern const struct jtb_watch hub_watch;
extern const struct wkr_ops hub_wkr_ops;
extern const struct adv_ops hub_adv_ops;
int64_t hub_lead_confirmed_ms(void *arg);
void hub_plan_lead(struct hub *h, uint64_t term);
void hub_plan_step_down(struct hub *h);
void hub_plan_tick(struct hub *h, int64_t now);
void hub_mark_all_pools(struct hub *h);
double hub_estimate_ratio(const struct hub *h, const struct jtb_spec *spec);
bool hub_run_hung(const struct jtb_run *run);
bool hub_worker_usable(void *arg, const struct jtb_worker *w);
void hub_init_sch_view(struct hub *h, GHashTable *closed, struct sch_view *v);
void hub_stop_run(void *arg, struct jtb_run *run, const char *why);
/* hub_lost */
extern const struct crs_ops hub_crs_ops;
void hub_remove_lost_worker(struct hub *h, struct jtb_worker *w,
			    const struct evd *e);
void hub_record_leave(struct hub *h, struct jtb_worker *w);
void hub_remove_left_worker(struct hub *h, struct jtb_worker *w,
			    enum evd_why why, int64_t as_of_ms);
struct evd_moment hub_evd_moment(const struct hub *h);
/* hub_life */
bool hub_judge_lifetime(struct hub *h, struct hub_call *c,
			const struct jtb_worker *w,
			const struct jtb_worker_info *info,
			hub_resume_fn resume);
bool hub_is_restart(const struct jtb_worker *w,
		    const struct jtb_worker_info *info);
void hub_propose_restart(struct hub *h, struct jtb_worker *w,
			 const struct jtb_worker_info *info);
/* hub_held */
void hub_pending_reset(struct hub *h);
void hub_pending_tick(struct hub *h, int64_t now);
/* hub_shr */
void hub_shr_tick(struct hub *h, int64_t now);
/* hub_prm */
void hub_prm_tick(struct hub *h, int64_t now);
/* hub_vm */
void hub_vm_init(struct hub *h);
void hub_vm_free(struct hub *h);
void hub_vm_lead(struct hub *h, uint64_t term);
void hub_vm_step_down(struct hub *h);
void hub_vm_tick(struct hub *h, int64_t now);
void hub_vm_worker_evidence(const struct hub *h, struct jtb_worker *w,
			    int64_t since, struct evd_vm *out);
/* hub_operator */
bool hub_operator_message(struct hub *h, struct wire_conn *conn, uint64_t kind,
			  struct pk_in *in);
void hub_operator_tick(struct hub *h);
/* hub_intake */
void hub_intake_tick(struct hub *h, int64_t now);
bool hub_intake_refuse(struct hub *h, struct hub_call *c,
		       const struct jtb_spec *spec);
/* hub_tell */
void hub_record_time(struct hub *h, enum hub_duration what, int64_t ms);
void hub_write_metrics(const struct hub *h, GString *out);
void hub_log_work(struct hub *h, int64_t now);

#endif
