#ifndef SIM_INT_H
#define SIM_INT_H

#include "sim.h"

#include <inttypes.h>
#include <stdio.h>

#include "flo.h"
#include "sch.h"
#include "upk.h"

/* Step of virtual time, ms. */
#define SIM_STEP_MS 10
/* Between plans of pools and upkeep, ms; as the control daemon does. */
#define SIM_LOOK_MS 200
/* A VM's move between pools and its upkeep, ms. */
#define SIM_MOVE_MS 1500
#define SIM_UPKEEP_MS 2000
/* A crashed VM's worker is back after that, ms. */
#define SIM_CRASH_MS 4000
/* Work that lasts is at work after that, ms. */
#define SIM_LASTING_MS 700
/* A leader that is lost was cut off before for that long, ms, */
#define SIM_CUT_MS 450
/* and the cut heals so long after its loss. */
#define SIM_HEALS_MS 5000
/* A stop takes that long, ms. */
#define SIM_STOP_MS 300
/* Work that lasts may be without a run for that long while there is room. */
#define SIM_IDLE_MS 6000
/* Room and memory of a VM. */
#define SIM_CPU 16000
#define SIM_MEM_MB 65536
/* Worth of a job that is late, as a share of one in time. */
#define SIM_LATE_WORTH 0.07
#define SIM_LATE_FACTOR 3
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
	struct jtb_step step; /* its texts are not kept */
	char *worker;
};

struct sim_vm {
	struct vms_vm vm;
	int64_t busy_until; /* moving, in upkeep or down until */
	char *next_pool; /* when it comes back */
	uint64_t fence; /* the highest that an order for it had */
};

/* An order about a VM as the service that switches them gets it. */
struct sim_vm_order {
	char *vm;
	char *pool; /* move; NULL: upkeep */
	uint64_t fence;
	int64_t comes_ms; /* held up until */
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
	GPtrArray *machines; /* struct sim_vm */
	GPtrArray *runs; /* struct sim_run */
	GPtrArray *held; /* struct sim_vm_order behind a cut */
	GHashTable *done; /* names of tasks that ended as done */
	GHashTable *idle; /* lasting task: since when it has no run, int64_t */
	int64_t now;
	uint64_t fence; /* the leader's */
	bool cut; /* the leader reaches nobody, and will be lost */
	uint64_t next_id;
	uint64_t accepted;
	double owed;
	double earned;
};

void sim_batch(struct pk_out *o);
void sim_apply(struct sim *s, struct pk_out *cmd);
void sim_add_vm(struct sim *s, const char *pool);
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
void sim_cancel(struct sim *s);
void sim_wave(struct sim *s);
void sim_settle(struct sim *s);
void sim_broken(struct sim *s, enum sim_rule rule, const char *what);
void sim_check_start(struct sim *s, const struct sim_run *r,
		     const struct jtb_job *job, const struct jtb_worker *w);
void sim_check_idle(struct sim *s);
struct sim_vm *sim_vm_named(struct sim *s, const char *name);

#endif
