#ifndef FLO_H
#define FLO_H

/* Autoscaler for worker pools: moves VMs between pools to follow the load. */

#include <stdbool.h>
#include <stdint.h>

#include "div.h"
#include "jtb.h"
#include "vms.h"

/*
 * Autoscaler: decides how many VMs each pool has. It moves VMs to the pools
 * whose load needs them and switches off VMs that no pool needs. It reads the
 * job table and the VM list and does no input or output itself.
 */
struct flo;

struct flo_ops {
	/*
	 * Orders the move of a VM to another pool; called again until the order
	 * is answered.
	 */
	void (*order)(void *arg, const char *vm, const char *pool);
	/* Stops a run, which is started again elsewhere. */
	void (*stop)(void *arg, struct jtb_run *run, const char *why);
	/* Whether a run may be stopped within the budget of its step. */
	bool (*may_stop)(void *arg, const struct jtb_run *run);
	/* Whether a worker answers. */
	bool (*is_reachable)(void *arg, const struct jtb_worker *w);
	/* Whether a VM must not be moved. */
	bool (*is_pinned)(void *arg, const char *vm);
	/*
	 * VMs that an operator keeps for a pool whatever others need; NULL:
	 * none
	 */
	guint (*floor)(void *arg, const char *pool);
};

/* Why a VM is moved. */
enum flo_cause {
	FLO_SHORT, /* its new pool is short of VMs, its old one has to spare */
	FLO_IDLE, /* its pool does not need it */
	FLO_DIVIDED, /* the pools together need more than all VMs have */
	FLO_CAUSES
};

/* The last division of VMs among pools that need more than there is. */
struct flo_division {
	const struct div_way *way;
	bool scarce; /* the pools together need more than all VMs have */
	int64_t changed_ms; /* last change of who should have how much */
	guint vms; /* VMs that were divided */
	guint planned; /* VMs that it had moved */
	guint begun; /* of these, moves that began */
};

/* Measurements of a pool from the last tick, for decisions, logs and tests. */
struct flo_pool {
	char *name;
	bool standby;
	double cores; /* cores of its VMs and of VMs being moved to it */
	double mem_mb; /* memory of the same VMs, MB */
	double used; /* cores in use by runs and pending starts */
	double load; /* cores it can use now and until a fetched VM arrives */
	double in_time; /* cores whose work can still be in time */
	double begun; /* of these, cores of jobs that have begun */
	double late; /* cores whose work can only be late */
	guint wanted; /* VMs that its load asks for */
	guint entitled_vms; /* `entitled` in VMs */
	guint floor; /* VMs that an operator keeps for it */
	/*
	 * cores that the division gives it while the pools together need more
	 * than all VMs have; 0: they do not
	 */
	double entitled;
	double long_running; /* part of load due to long-running work */
	double rate; /* cores requested by new jobs, moving mean */
	double rate_slow; /* the same over a longer time */
	double rate_jobs; /* number of jobs in that mean */
	/* moving mean of the new jobs' longest chain of steps, ms */
	double chain_ms;
	bool growing; /* the rate of new jobs is growing */
	/* when long-running work last found too little free capacity */
	int64_t unschedulable_ms;
	/* since when it has excess capacity; 0: it has none */
	int64_t spare_ms;
	/* when its load was last near its capacity; 0: never */
	int64_t busy_ms;
	guint jobs; /* live jobs */
	guint due; /* live jobs with tasks that could run now */
	guint vms_at_once; /* most VMs that one of its steps needs at once */
	/* struct flo_candidate of this tick, the cheapest last */
	GArray *candidates;
	guint vms; /* VMs of the pool and those being moved to it */
	guint coming; /* VMs being moved to it */
	guint going; /* VMs being moved away */
};

struct flo *flo_new(struct jtb *jtb, const struct vms *vms,
		    const struct flo_ops *ops, void *arg);
void flo_set_way(struct flo *f, const struct div_way *way);
const struct flo_division *flo_division(const struct flo *f);
void flo_append_division(const struct flo *f, GString *out);
void flo_append_metrics(const struct flo *f, GString *out);
void flo_free(struct flo *f);
void flo_reset(struct flo *f);
void flo_tick(struct flo *f, int64_t now_ms, int64_t wall_ms);
void flo_report_unschedulable(struct flo *f, const char *pool, int64_t now_ms);
void flo_answered(struct flo *f, const char *vm, enum vms_answer answer,
		  int64_t now_ms);
const char *flo_worker(const struct flo *f, const char *vm);
bool flo_is_moving(const struct flo *f, const char *vm);
bool flo_is_spare(const struct flo *f, const char *vm);
void flo_add_closed(const struct flo *f, GHashTable *ids);
guint flo_count_moves(const struct flo *f);
GPtrArray *flo_pools(const struct flo *f);
const struct flo_pool *flo_pool(const struct flo *f, const char *name);

#endif
