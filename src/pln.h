#ifndef PLN_H
#define PLN_H

/* Placement planner: assigns VMs to pools by greedy repair. */

#include <glib.h>
#include <stdbool.h>

#include "flt.h"

/*
 * The planner decides which VMs change pools so that each pool has the VMs it
 * wants and keeps its availability budget through the failure it declared. It
 * plans on a copy of the fleet, in steps that the caller bounds, and keeps no
 * state between plans: after a restart the same fleet gives the same plan. A
 * move is carried out by flt_move(), which checks it again.
 */

/* Costs of the three measures; only their ratios matter. */
struct pln_weights {
	double buffer; /* cost of a reserved VM */
	double rollout; /* cost of a maintenance round of one pool */
	double moves; /* cost of a VM that changes pools */
};

struct pln_config {
	struct pln_weights weights;
	/*
	 * VMs that a pool may lack beside its declared failure without a
	 * violation of its budget; 1 lets a maintenance wave continue while
	 * nothing has failed.
	 */
	int slack;
	/*
	 * VMs that have failed by themselves and are being replaced at any
	 * time.
	 */
	int single_failures;
};

enum pln_reason {
	PLN_REFILL, /* fewer VMs serve than the pool wants */
	PLN_SURVIVE, /* the declared failure would violate the budget */
	PLN_LEND, /* a maintenance wave takes less time with the VM */
	PLN_REASONS
};

struct pln_move {
	int vm;
	int from;
	int to;
	enum pln_reason reason;
};

/* A need of a pool that no VM of the fleet can meet now. */
struct pln_shortage {
	int pool;
	int lacking; /* number of VMs */
	enum pln_reason reason;
};

/* The three measures of a fleet in its current state, and what is short. */
struct pln_measures {
	int wanted; /* VMs that the pools want in all */
	int embedded; /* VMs beyond wanted that the declared failures require */
	int reserve; /* further VMs that the worst single failure requires */
	int rounds; /* maintenance rounds of the pool that needs most */
	int broken; /* pools below their floor */
	/* pools whose declared failure would violate the budget */
	int at_stake;
};

struct pln;

struct pln *pln_new(const struct flt *f, const struct pln_config *config,
		    const int *lend);
void pln_free(struct pln *p);
bool pln_step(struct pln *p, int budget);
const GArray *pln_moves(const struct pln *p);
const GArray *pln_shortages(const struct pln *p);
const struct flt *pln_after(const struct pln *p);
void pln_measure(const struct flt *f, const struct pln_config *config,
		 struct pln_measures *out);
int pln_lend(const struct flt *f, const struct pln_config *config, int pool,
	     int available);
int pln_reserve(const struct flt *f, const struct pln_config *config);
const char *pln_reason_text(enum pln_reason reason);

#endif
