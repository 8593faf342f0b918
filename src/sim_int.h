#ifndef SIM_INT_H
#define SIM_INT_H

#include "sim.h"

#include <inttypes.h>
#include <stdio.h>

#include "crs.h"
#include "flo.h"
#include "hld.h"
#include "sch.h"
#include "upk.h"

/* Step of virtual time, ms. */
#define SIM_STEP_MS 10
/* Between plans of pools and upkeep, ms; as the control daemon does. */
#define SIM_LOOK_MS 200
/* A VM's move between pools and its upkeep, ms. */
#define SIM_MOVE_MS 1500
#define SIM_UPKEEP_MS 2000
/* A crashed VM's worker is back after that, ms, */
#define SIM_CRASH_MS 4000
/* and the leader knows of the crash after that. */
#define SIM_SILENT_MS 400
/* VMs of a rack. */
#define SIM_RACK 4
/* A worker has less room for that long, ms; */
#define SIM_SHRINK_MS 6000
/* it tells so within that, */
#define SIM_BEAT_MS 1500
/* and a start over its room counts so long after it has shrunk. */
#define SIM_SHRUNK_MS 4500
/* The leader sees what runs on a worker so often, ms. */
#define SIM_SEEN_MS 100
/* Work that lasts is at work after that, ms. */
#define SIM_LASTING_MS 700
/* A leader that is lost was cut off before for that long, ms, */
#define SIM_CUT_MS 450
/* and the cut heals so long after its loss. */
#define SIM_HEALS_MS 5000
/* A stop takes that long, ms; the run is listed as at work meanwhile. */
#define SIM_STOP_MS 900
/* What is owed may be without a run for that long while there is room. */
#define SIM_IDLE_MS 6000
/* A command is stored that long after it was proposed, ms. */
#define SIM_LOG_MS 20
/* An end whose first telling is lost is told again after that, ms. */
#define SIM_AGAIN_MS 700
/* Without a word from the leader runs end after that, ms; */
#define SIM_LEASE_MS 5000
/* and the leader takes them for over after that, by a slow clock. */
#define SIM_LAPSE_MS 5350
/* Shortest and longest time that a worker is cut off, ms. */
#define SIM_CUT_LEAST_MS 1000
#define SIM_CUT_MOST_MS 9000
/* A gang whose members aren't all there by then ends, ms. */
#define SIM_ALONE_MS 1000
/* By how much the clock of plans is ahead, ms: 0 means never to them. */
#define SIM_PLAN_MS 1000
/* Room and memory of a VM. */
#define SIM_CPU 16000
#define SIM_MEM_MB 65536
/* Worth of a job that is late, as a share of one in time. */
#define SIM_LATE_WORTH 0.07
#define SIM_LATE_FACTOR 3
/* A zone that is cut off comes back after that, ms. */
#define SIM_ZONE_CUT_MS 6000
/* Length of a zone's name. */
#define SIM_ZONE_TEXT 16
/* Most organisations of a day, and length of their names and keys. */
#define SIM_ORGS_MAX 8
#define SIM_ORG_TEXT 32
/* The time of day at which all begins, ms since 1970. */
#define SIM_EPOCH_MS 1000000000LL

/* What really runs on a worker, as it knows itself. */
struct sim_run {
	struct jtb_name name;
	uint32_t attempt;
	int64_t from_ms;
	int64_t ends_ms; /* -1: lasts */
	bool fails;
	int64_t stop_ms; /* is over by then; 0: not told */
	enum jtb_end stop_how;
	struct jtb_step step; /* its texts are not kept */
	char *worker;
	int org; /* -1: none */
};

struct sim_org {
	uint64_t limit_cpu; /* while it is not low */
	bool low;
	uint32_t key_no;
};

struct sim_vm {
	struct vms_vm vm;
	int64_t busy_until; /* moving, in upkeep or down until */
	int64_t cut_ms; /* its worker is cut off since; 0: it isn't */
	int64_t cut_until;
	bool given_up; /* its runs are taken for over, or about to be */
	char *next_pool; /* when it comes back */
	double slowness; /* times as long as elsewhere tasks take on it */
	uint32_t cpu; /* room that its worker has, */
	int64_t shrunk_ms; /* less of it since; 0: no, */
	int64_t told_ms; /* and tells of that by then; 0: nothing to tell */
	uint64_t fence; /* the highest that an order for it had */
};

/* An order about a VM as the service that switches them gets it. */
struct sim_vm_order {
	char *vm;
	char *pool; /* move; NULL: upkeep */
	uint64_t fence;
	int64_t comes_ms; /* held up until */
};

enum sim_cmd_kind {
	SIM_CMD_START,
	SIM_CMD_END,
	SIM_CMD_LAPSE,
	SIM_CMD_STOP,
	SIM_CMD_CRASH,
};

/* A command on its way through the log. */
struct sim_cmd {
	enum sim_cmd_kind kind;
	int64_t due_ms;
	struct jtb_name name;
	uint32_t attempt;
	enum jtb_end how;
	char *worker;
	int64_t wall_ms;
};

/* A task that crashes each worker that starts it. */
struct sim_crasher {
	uint32_t crashes;
	uint32_t starts; /* after SIM_CRASHES of them */
};

/* After so many crashes a task may be started less than so often. */
#define SIM_CRASHES 3

/* Since when something owed has no run though there is room. */
struct sim_idle {
	int64_t from_ms; /* since any reason */
	int64_t why_ms; /* since this one */
	enum hld_reason why;
};

struct sim {
	struct sim_config config;
	struct sim_result result;
	GRand *rand;
	struct event_base *base;
	struct tmr *tmr;
	struct jtb *jtb;
	struct vms *vms;
	struct flo *flo;
	struct upk *upk;
	struct crs *crs;
	struct shr *shares;
	GPtrArray *machines; /* struct sim_vm */
	GPtrArray *runs; /* struct sim_run */
	GPtrArray *held; /* struct sim_vm_order behind a cut */
	GHashTable *done; /* names of tasks that ended as done */
	GHashTable *crashers; /* task of any turn: struct sim_crasher */
	GHashTable *unlucky; /* jobs on a worker that crashed for no reason */
	GPtrArray *log; /* struct sim_cmd, not stored yet */
	GHashTable *idle; /* task: struct sim_idle */
	int64_t led_ms; /* when the last leader began */
	int64_t now;
	uint64_t fence; /* the leader's */
	bool cut; /* the leader reaches nobody, and will be lost */
	uint64_t next_id;
	uint64_t accepted;
	uint64_t version; /* of the configuration */
	struct sim_org orgs[SIM_ORGS_MAX];
	struct orgs *first_orgs; /* of the first configuration */
	int org_changes;
	double owed;
	double earned;
};

void sim_config_put(struct sim *s);
void sim_orgs_open(struct sim *s);
void sim_orgs_put(const struct sim *s, struct jtb_config *c);
void sim_orgs_change(struct sim *s);
int sim_org_caller(struct sim *s);
bool sim_org_takes(const struct sim *s, int org, const struct jtb_spec *spec);
int sim_org_of(const struct jtb_job *job);
void sim_org_check_start(struct sim *s, const struct sim_run *r);
bool sim_org_may_wait(const struct sim *s, const struct jtb_name *n);
bool sim_org_waits_for_lease(const struct sim *s, const struct jtb_name *n);
void sim_org_fault(struct sim *s);
void sim_batch(struct pk_out *o);
void sim_apply(struct sim *s, struct pk_out *cmd);
void sim_add_vm(struct sim *s, const char *pool);
void sim_runs_gone(struct sim *s, const char *worker);
void sim_worker_down(struct sim *s, struct sim_vm *m);
void sim_list(struct sim *s);
void sim_demand(struct sim *s);
void sim_submit(struct sim *s, int pool, bool lasts);
void sim_progress(struct sim *s);
void sim_run_free(gpointer p);
enum vms_answer sim_vm_order(struct sim *s, const char *vm, const char *pool);
void sim_held_come(struct sim *s);
void sim_order_free(gpointer p);
void sim_failover(struct sim *s);
void sim_crash(struct sim *s);
void sim_vm_crashes(struct sim *s, struct sim_vm *m, enum jtb_end how);
void sim_power(struct sim *s);
void sim_shrink(struct sim *s);
void sim_rooms_go_on(struct sim *s);
void sim_tell(struct sim *s, const struct sim_vm *m, uint32_t cpu);
struct sim_crasher *sim_crasher_of(const struct sim *s,
				   const struct jtb_name *n);
bool sim_has_crasher(const struct sim *s, const struct jtb_job *job);
void sim_cancel(struct sim *s);
void sim_wave(struct sim *s);
void sim_settle(struct sim *s);
void sim_broken(struct sim *s, enum sim_rule rule, const char *what);
void sim_check_start(struct sim *s, const struct sim_run *r,
		     const struct jtb_job *job, const struct jtb_worker *w);
void sim_check_stop(struct sim *s, const struct jtb_run *run);
void sim_check_idle(struct sim *s);
void sim_propose(struct sim *s, enum sim_cmd_kind kind,
		 const struct jtb_name *name, uint32_t attempt,
		 enum jtb_end how, const char *worker, int64_t after_ms);
void sim_store(struct sim *s);
void sim_cmd_free(gpointer p);
void sim_run_stops(struct sim *s, const struct sim_cmd *c);
void sim_run_new(struct sim *s, const struct jtb_name *n, uint32_t attempt,
		 const char *worker);
void sim_cut(struct sim *s);
void sim_zone_cut(struct sim *s);
void sim_zone_name(const struct sim *s, uint64_t no, char out[SIM_ZONE_TEXT]);
void sim_cuts_go_on(struct sim *s);
bool sim_is_cut(const struct sim *s, const char *worker);
void sim_view(struct sim *s, struct sch_view *v, GHashTable *closed);
struct sim_vm *sim_vm_named(struct sim *s, const char *name);
struct sim_vm *sim_vm_of(const struct sim *s, const char *worker);

#endif
