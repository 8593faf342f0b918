#ifndef FLO_H
#define FLO_H

#include <stdbool.h>
#include <stdint.h>

#include "jtb.h"
#include "vms.h"

/*
 * How many VMs each pool has: VMs follow the load from pool to pool, and those
 * that nobody needs are switched off. Decides on the job table and the list of
 * VMs, without input or output.
 */
struct flo;

struct flo_ops {
	/* the VM is to go to another pool; told again until answered */
	void (*order)(void *arg, const char *vm, const char *pool);
	/* a run must end, to begin elsewhere */
	void (*stop)(void *arg, struct jtb_run *run, const char *why);
	/* whether ending a run leaves enough of its step */
	bool (*may_stop)(void *arg, const struct jtb_run *run);
	/* whether a VM must stay where it is */
	bool (*held)(void *arg, const char *vm);
};

/* What became clear of a pool in the last tick, for logs and tests. */
struct flo_pool {
	char *name;
	bool standby;
	double cores; /* of its workers, and of VMs on their way to it */
	double mem_mb; /* of the same */
	double used; /* of cores, by runs and starts on their way */
	double load; /* cores it could use, and will until VMs come */
	double lasting; /* of these, by work that lasts */
	double rate; /* cores that jobs ask for as they come, moving mean */
	double rate_slow; /* as rate, over a longer time */
	double rate_jobs; /* how many of them it is the mean of */
	double chain_ms; /* longest chain of jobs that came, moving mean */
	bool grows; /* more comes than did a moment ago */
	int64_t starved_ms; /* when work that lasts last found no room */
	int64_t spare_ms; /* it has had too much room since; 0: it hasn't */
	int64_t busy_ms; /* when its load was last near its room; 0: never */
	guint jobs; /* live */
	guint due; /* of these, with tasks that could run */
	guint apart; /* VMs that one of its steps needs at once */
	GArray *picks; /* struct flo_pick of this tick; the last goes first */
	guint vms;
	guint coming;
	guint going;
};

struct flo *flo_new(struct jtb *jtb, const struct vms *vms,
		    const struct flo_ops *ops, void *arg);
void flo_free(struct flo *f);
void flo_lead(struct flo *f);
void flo_tick(struct flo *f, int64_t now_ms, int64_t wall_ms);
void flo_starved(struct flo *f, const char *pool, int64_t now_ms);
void flo_answered(struct flo *f, const char *vm, enum vms_answer answer,
		  int64_t now_ms);
const char *flo_worker(const struct flo *f, const char *vm);
bool flo_holds(const struct flo *f, const char *vm);
bool flo_spared(const struct flo *f, const char *vm);
void flo_closed(const struct flo *f, GHashTable *ids);
guint flo_moving(const struct flo *f);
GPtrArray *flo_pools(const struct flo *f);
const struct flo_pool *flo_pool(const struct flo *f, const char *name);

#endif
