#ifndef DIV_H
#define DIV_H

/* Division of VMs among pools whose needs together exceed all VMs. */

#include <glib.h>
#include <stdint.h>

/*
 * A pool's demand curve: what its first cores serve is worth most, and work
 * that is late is worth little however many cores it gets. Work of no use any
 * more is not part of it.
 */
struct div_pool {
	const char *name;
	guint held; /* VMs of the pool and those on their way to it */
	guint movable; /* of these, VMs that may be taken from it now */
	guint keep; /* VMs below which it gives none */
	guint claim; /* VMs that it gets before all others' needs */
	double vm_cores; /* cores of its mean VM, above 0 */
	double load; /* cores it can use, late work weighed down */
	double in_time; /* cores whose work can still be in time */
	double begun; /* of these, cores of work that has begun */
	double late; /* cores whose work can only be late */
	double weight; /* of the callers whose work it is; above 0 */
	uint32_t priority; /* 0 goes first where nothing else decides */
	double empty_ms; /* mean time until a movable VM is empty */
	guint entitled; /* result: VMs that the pool should have */
};

/* VMs that one pool gives to another, as indices of struct div_pool. */
struct div_pair {
	guint from;
	guint to;
	guint count;
};

/* A rule of division. */
struct div_way {
	const char *name;
	/*
	 * Sets `entitled` of n pools, which comes in as `held`; the sum stays,
	 * and no pool falls below div_least().
	 */
	void (*divide)(struct div_pool *pools, guint n);
};

/* The rule follows from the configuration; see flo_divide. */
#define DIV_AUTO "auto"
/* The rules that it then follows, with organisations and without. */
#define DIV_SHARED_WAY "ratio"
#define DIV_PLAIN_WAY "first-come"

const struct div_way *div_find_way(const char *name);
char *div_way_names(void);
guint div_least(const struct div_pool *p);
double div_need(const struct div_pool *p);
double div_margin(const struct div_pool *p, guint vms);
GArray *div_plan(const struct div_way *way, struct div_pool *pools, guint n);

#endif
