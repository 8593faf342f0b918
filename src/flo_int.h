#ifndef FLO_INT_H
#define FLO_INT_H

#include "flo.h"

#include "sch.h"

/*
 * Files, each using only those before it: flo_rate (what comes), flo_load (what
 * pools have and need), flo_pick (which VM is missed least), flo (moves).
 */

/* From the decision to fetch a VM until work runs on it: mostly the move, ms. */
#define FLO_FETCH_MS 1800.0
/* A pool whose load is over this share of its room is busy. */
#define FLO_BUSY 0.75
/* A giver keeps this much more room than it has load. */
#define FLO_SPARE 1.5
/*
 * A pool is given this much more room than it has load: a VM that idles costs
 * far less than work that is late for want of it.
 */
#define FLO_ROOM 1.25
/* Time over which the jobs that come are averaged, ms. */
#define FLO_RATE_MS 500
/* And over which they are, to see whether they grow. */
#define FLO_RATE_SLOW_MS 1500
/*
 * How far ahead of a growing rate VMs are asked for, times the difference of
 * the two means: they lag by half a second and by two, and the rate is wanted
 * as it will be when a VM has come.
 */
#define FLO_AHEAD ((FLO_FETCH_MS + FLO_RATE_MS) / FLO_RATE_SLOW_MS)
/* Share of one more job in the mean of their chains. */
#define FLO_CHAIN_SHARE 0.1
/*
 * Jobs in that time by which half of the rate is believed: one large job alone
 * must not fetch VMs for a stream of its like. Up to so many, no rate grows: a
 * job now and then in between two bursts kept all VMs of the last one.
 */
#define FLO_RATE_JOBS 2
/*
 * Share of its room that work counts for which will be late whatever is done:
 * its callers have little use of it any more, and it would hold the VMs that the
 * next burst's first jobs need to be in time.
 */
#define FLO_LATE 0.4
/*
 * More comes if the rate is so many times that of a moment ago: then no VM is
 * taken for idle, as bursts begin slowly and a VM taken is away for 3 s.
 */
#define FLO_GROWS 1.3
/*
 * A VM that its pool hasn't needed for so long is taken away, ms. A move costs
 * as much as 1.2 s of a VM, and bursts of one pool are far apart.
 */
#define FLO_IDLE_MS 800
/* VMs a pool keeps: enough to begin on a burst while others come. */
#define FLO_LEAST 3
/* A VM whose work isn't done by then stays where it is, ms. */
#define FLO_PATIENCE_MS 1800
/*
 * Work that saves its progress makes way for a burst if it would go on for
 * longer than it takes to stop it and to learn so, ms.
 */
#define FLO_STOP_MS 400
/* Progress from which a run's own pace is believed before its guess, percent. */
#define FLO_TOLD_PERCENT 10
/* An order without a good answer is given again after so long, ms. */
#define FLO_AGAIN_MS 700
/* And given up after so long, unless it was agreed to. */
#define FLO_GIVE_UP_MS 5000
/* Memory for each core where a pool has no VM to tell, MB. */
#define FLO_CORE_MB 4096.0
/*
 * A pool in which work that lasts found no room within this is given one more
 * VM at a time, ms: tasks of odd sizes may leave no gap that is large enough.
 */
#define FLO_STARVED_MS 500
/* A worker kept free for work that lasts is left alone for so long, ms. */
#define FLO_KEPT_MS 1000
/* An agreed move that isn't listed as done by then is forgotten. */
#define FLO_LISTED_MS 8000

/* A VM on its way. */
struct flo_move {
	char *vm;
	char *worker;
	char *from;
	char *to;
	int64_t from_ms;
	int64_t ordered_ms; /* 0: not yet */
	int64_t agreed_ms; /* 0: not yet */
	bool urgent; /* its pool waits for it */
	bool over;
};

/* A VM that may be taken from its pool. */
struct flo_pick {
	const struct vms_vm *vm;
	double cost; /* of taking it */
	guint place; /* in the list of VMs */
};

struct flo {
	struct jtb *jtb;
	const struct vms *vms;
	const struct flo_ops *ops;
	void *arg;
	GPtrArray *moves; /* struct flo_move */
	GHashTable *by_vm; /* the same, by VM */
	GPtrArray *pools; /* struct flo_pool */
	int64_t ticked_ms;
	uint64_t seen; /* jobs before this one are in the rates */
};

struct flo_move *flo_move_of(const struct flo *f, const char *vm);
struct flo_pool *flo_pool_at(struct flo *f, const char *name);
void flo_rate(struct flo *f, int64_t now, int64_t wall);
void flo_measure(struct flo *f, int64_t now, int64_t wall);
guint flo_least_vms(const struct flo_pool *p);
double flo_least(const struct flo_pool *p);
void flo_rank(struct flo *f);
const struct vms_vm *flo_choose(const struct flo_pool *from);
int64_t flo_left_ms(const struct jtb_run *run, int64_t now);

#endif
