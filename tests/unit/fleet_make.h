#ifndef FLEET_MAKE_H
#define FLEET_MAKE_H

/* Builds model fleets for tests and benchmarks, in C and C++. */

#include "flt.h"
#include "pln.h"

/*
 * Returns a fleet of racks with per_rack VMs each. Each rack has its own
 * switch, and racks are assigned to the zones in turn.
 */
static inline struct flt *fleet_make(int zones, int racks, int per_rack)
{
	struct flt *f = flt_new();
	char name[32];
	int rack;
	int i;

	for (i = 0; i < zones; i++) {
		g_snprintf(name, sizeof(name), "zone%d", i);
		flt_add_zone(f, lstr_from(name), 0);
	}
	for (rack = 0; rack < racks; rack++) {
		g_snprintf(name, sizeof(name), "rack%d", rack);
		flt_add_rack(f, lstr_from(name), rack % zones, rack);
		for (i = 0; i < per_rack; i++) {
			g_snprintf(name, sizeof(name), "vm%d",
				   (int)f->vms->len);
			flt_add_vm(f, lstr_from(name), rack, 0);
		}
	}
	return f;
}

/* Adds a pool that may use VMs of any site; returns its index. */
static inline int fleet_pool(struct flt *f, int wanted, int missing,
			     bool survive_zone)
{
	struct flt_budget b = {};
	char name[32];

	b.site = FLT_ANY_SITE;
	b.wanted = wanted;
	b.missing = missing;
	b.survive_zone = survive_zone;
	g_snprintf(name, sizeof(name), "pool%d", (int)f->pools->len);
	return flt_add_pool(f, lstr_from(name), &b);
}

/*
 * Returns how many VMs of a pool serve outside of one switch (with zone -1) or
 * outside of one zone (with sw -1).
 */
static inline int fleet_serving_without(const struct flt *f, int pool, int sw,
					int zone)
{
	int n = 0;
	int i;

	for (i = 0; i < (int)f->vms->len; i++)
		n += flt_vm(f, i)->pool == pool &&
		     flt_vm(f, i)->state == FLT_UP &&
		     !flt_zone_of(f, i)->partitioned &&
		     flt_rack_of(f, i)->sw != sw &&
		     flt_rack_of(f, i)->zone != zone;
	return n;
}

/*
 * Whether a pool keeps its floor through each failure it declared. Tries each
 * failure, independent of the counts that the code under test maintains.
 */
static inline bool fleet_survives(const struct flt *f, int pool)
{
	const struct flt_budget *b = &flt_pool(f, pool)->budget;
	int fewest = (int)f->vms->len;
	int i;

	if (pool == FLT_SPARE)
		return true;
	for (i = 0; i < f->n_switches; i++)
		fewest = MIN(fewest, fleet_serving_without(f, pool, i, -1));
	for (i = 0; b->survive_zone && i < (int)f->zones->len; i++)
		fewest = MIN(fewest, fleet_serving_without(f, pool, -1, i));
	return fewest >= b->wanted - b->missing;
}

/* Returns the weights of a user to whom buffer and moves are expensive. */
static inline struct pln_config fleet_harrowgate(void)
{
	struct pln_config c = {};

	c.weights.buffer = 4;
	c.weights.rollout = 1;
	c.weights.moves = 4;
	c.slack = 1;
	return c;
}

/* Returns the weights of a user to whom roll-out time is expensive. */
static inline struct pln_config fleet_jadranski(void)
{
	struct pln_config c = {};

	c.weights.buffer = 1;
	c.weights.rollout = 8;
	c.weights.moves = 1;
	c.slack = 1;
	return c;
}

#define FLEET_STEP 500

/* Returns a complete plan, made in small steps; to be freed by the caller. */
static inline struct pln *fleet_plan(const struct flt *f,
				     const struct pln_config *config,
				     const int *lend)
{
	struct pln *p = pln_new(f, config, lend);

	while (!pln_step(p, FLEET_STEP))
		;
	return p;
}

/* Makes a plan and carries it out; returns the number of moves done. */
static inline int fleet_replan(struct flt *f, const struct pln_config *config)
{
	struct pln *p = fleet_plan(f, config, NULL);
	const GArray *moves = pln_moves(p);
	int done = 0;
	guint i;

	for (i = 0; i < moves->len; i++) {
		struct pln_move *m = &g_array_index(moves, struct pln_move, i);

		done += flt_move(f, m->vm, m->to) == FLT_OK;
	}
	pln_free(p);
	return done;
}

#endif
