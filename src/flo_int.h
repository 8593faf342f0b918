#ifndef FLO_INT_H
#define FLO_INT_H

#include "flo.h"

#include "sch.h"

/*
 * Internals of the autoscaler, shared by its files. Each file uses only those
 * before it: flo_rate (rate of new jobs), flo_load (capacity and load of
 * pools), flo_pick (ranking of VMs by the cost of moving them), flo_came (VMs
 * that have just come to their pool), flo_divide (division of VMs among pools
 * that need more than there is), flo_tell (log and metrics), flo (moves).
 */

/*
 * Time from the decision to fetch a VM until work runs on it, mostly the move
 * itself, ms.
 */
#define FLO_FETCH_MS 1800.0
/* A pool is busy if its load exceeds this share of its cores. */
#define FLO_BUSY_SHARE 0.75
/* A pool that gives up VMs keeps at least its load times this in cores. */
#define FLO_SPARE_FACTOR 1.5
/*
 * A pool is given VMs until it has its load times this in cores: an idle VM
 * costs far less than work that is late for want of one.
 */
#define FLO_TARGET_FACTOR 1.25
/* Time constant of the mean rate of new jobs, ms. */
#define FLO_RATE_MS 500
/* Time constant of the slow mean, which shows whether the rate grows, ms. */
#define FLO_RATE_SLOW_MS 1500
/*
 * Factor of the difference of the two means by which a growing rate is
 * extrapolated: the means lag by half a second and by two, and the rate is
 * needed for the time when a fetched VM has arrived.
 */
#define FLO_TREND_FACTOR ((FLO_FETCH_MS + FLO_RATE_MS) / FLO_RATE_SLOW_MS)
/* Weight of one more job in the mean of the longest chains. */
#define FLO_CHAIN_SHARE 0.1
/*
 * Number of jobs within FLO_RATE_MS at which half of the rate counts: a single
 * large job must not fetch VMs for a stream of such jobs. Up to this number no
 * rate counts as growing: otherwise an occasional job between two bursts kept
 * all VMs of the last one.
 */
#define FLO_RATE_MIN_JOBS 2
/*
 * Weight of work that will be late whatever is done: it is of little use to its
 * callers any more, and at full weight it would occupy the VMs that the first
 * jobs of the next burst need to be in time.
 */
#define FLO_LATE_WEIGHT 0.4
/*
 * The rate grows if it exceeds its slow mean times this. No VM of a growing
 * pool counts as idle, as bursts begin slowly and a VM that is moved is
 * unavailable for 3 s.
 */
#define FLO_GROWTH_FACTOR 1.3
/*
 * A pool gives up VMs that it has not needed for this long, ms. A move costs as
 * much as 1.2 s of a VM, and the bursts of one pool are far apart.
 */
#define FLO_IDLE_MS 800
/*
 * VMs that a pool keeps at least: enough to begin on a burst while others are
 * fetched.
 */
#define FLO_MIN_VMS 3
/* A VM that is not drained by then stays in its pool, ms. */
#define FLO_DRAIN_TIMEOUT_MS 1800
/*
 * A run that saves its progress is stopped for a burst if it would otherwise go
 * on for longer than it takes to stop it and to receive the report of that, ms.
 */
#define FLO_STOP_COST_MS 400
/*
 * Progress from which the remaining time of a run is estimated by its own pace
 * instead of its caller's estimate, percent.
 */
#define FLO_MIN_PROGRESS_PERCENT 10
/* An order that was not accepted is sent again after this time, ms. */
#define FLO_RETRY_MS 700
/* The order of a move isn't sent any more after this time, ms. */
#define FLO_GIVE_UP_MS 5000
/* Memory for each core in a pool that has no VM to measure it by, MB. */
#define FLO_DEFAULT_CORE_MB 4096.0
/*
 * A pool in which long-running work found too little free capacity within this
 * time is given one more VM at a time, ms: tasks of differing sizes may leave
 * no gap that is large enough.
 */
#define FLO_UNSCHEDULABLE_MS 500
/* A worker reserved for long-running work is not moved for this long, ms. */
#define FLO_RESERVED_MS 1000
/*
 * An accepted move is dropped if a list that was requested this much later
 * doesn't show it as done, ms.
 */
#define FLO_LIST_TIMEOUT_MS 8000
/*
 * How long a move isn't given up after its order was last sent, ms: the call
 * ends after 1.5 s, and a platform that is slow takes up to a second more. Work
 * that an order ends which is carried out still later begins anew.
 */
#define FLO_ORDER_OPEN_MS 2500
/*
 * A VM that came to its pool is not divided again for this long, ms: the move
 * made it unavailable for about this time, and work has to have had as much of
 * it. The same holds for a VM that could not be emptied in time.
 */
#define FLO_STAY_MS 3000

/* A move of a VM from one pool to another. */
struct flo_move {
	char *vm;
	char *worker; /* id of the worker that the move ends */
	char *from; /* pool */
	char *to; /* pool */
	int64_t from_ms; /* when draining began */
	int64_t ordered_ms; /* when the order was last sent; 0: not yet */
	int64_t accepted_ms; /* when the order was accepted; 0: not yet */
	struct evd_absence absence; /* of its VM from the lists */
	enum flo_cause cause;
	bool finished; /* done or abandoned; removed by the next advance */
};

/* A VM that may be moved from its pool. */
struct flo_candidate {
	const struct vms_vm *vm;
	double cost; /* cost of moving it */
	double empty_ms; /* estimated time until it is empty */
	guint index; /* index in the VM list */
};

struct flo {
	struct jtb *jtb;
	const struct vms *vms;
	const struct flo_ops *ops;
	void *arg;
	GPtrArray *moves; /* struct flo_move */
	GHashTable *by_vm; /* the same moves, by VM name */
	GPtrArray *pools; /* struct flo_pool */
	GHashTable *came; /* VM name: struct flo_came */
	const struct div_way *way; /* NULL: by the configuration */
	struct flo_division division;
	uint64_t moves_begun[FLO_CAUSES];
	int64_t ticked_ms; /* time of the last flo_tick() */
	int64_t wall_ms; /* of the tick in progress, since 1970 */
	/* all jobs with lower sequence numbers are in the rates */
	uint64_t next_seq;
};

struct flo_move *flo_find_move(const struct flo *f, const char *vm);
struct flo_pool *flo_get_pool(struct flo *f, const char *name);
void flo_update_rates(struct flo *f, int64_t now, int64_t wall);
void flo_measure_pools(struct flo *f, int64_t now, int64_t wall);
double flo_vm_cores(const struct flo *f, const struct vms_vm *vm);
guint flo_min_vms(const struct flo_pool *p);
double flo_min_cores(const struct flo_pool *p);
bool flo_knows_worker(const struct flo *f, const struct vms_vm *vm);
void flo_rank_candidates(struct flo *f);
void flo_rank_for_division(struct flo *f, int64_t now);
const struct vms_vm *flo_best_candidate(const struct flo_pool *from);
int64_t flo_estimate_remaining_ms(const struct jtb_run *run, int64_t now);
enum sch_chance flo_chance(const struct jtb_queue *q, const struct jtb_job *job,
			   int64_t wall);
void flo_came_init(struct flo *f);
void flo_came_update(struct flo *f, int64_t now);
void flo_came_hold(struct flo *f, const char *vm, int64_t now);
bool flo_came_lately(const struct flo *f, const char *vm, int64_t now);
void flo_came_give_up(struct flo *f, const char *vm, int64_t ordered_ms);
bool flo_came_unseen(const struct flo *f, const char *vm);
GArray *flo_divide(struct flo *f, bool short_of_vms, int64_t now);
struct flo_pool *flo_divided_pool(const struct flo *f, guint index);

#endif
