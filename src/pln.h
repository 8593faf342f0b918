#ifndef PLN_H
#define PLN_H

#include <glib.h>
#include <stdbool.h>

#include "flt.h"

/*
 * The planner: which VMs change pools so that each pool has what it wants
 * and keeps its budget through the failure it declared. It plans on a copy of
 * the fleet, in steps that the caller bounds, and keeps nothing between
 * plans: after a restart the same fleet gives the same plan. Whoever carries
 * a move out calls flt_move, which checks again.
 */

/* Prices of the three measures; only their ratios matter. */
struct pln_weights {
	double buffer; /* a VM set aside */
	double rollout; /* a round of maintenance of one pool */
	double moves; /* a VM that changes pools */
};

struct pln_config {
	struct pln_weights weights;
	/*
	 * VMs a pool may lack beside its declared failure before its budget
	 * is at stake; 1 lets a wave go on while nothing has failed.
	 */
	int slack;
	/* VMs that fail by themselves and are being replaced at any time. */
	int single_failures;
};

enum pln_reason {
	PLN_REFILL, /* fewer serve than are wanted */
	PLN_SURVIVE, /* the declared failure would break the budget */
	PLN_LEND, /* a wave goes faster with it */
	PLN_REASONS
};

struct pln_move {
	int vm;
	int from;
	int to;
	enum pln_reason reason;
};

/* A need that no VM of the fleet can meet now. */
struct pln_shortage {
	int pool;
	int lacking; /* VMs */
	enum pln_reason reason;
};

/* The users' three measures of a fleet as it stands, and what is short. */
struct pln_measures {
	int wanted;
	int embedded; /* VMs beyond wanted that declared failures call for */
	int reserve; /* further VMs that the worst single failure calls for */
	int rounds; /* of maintenance, for the pool that takes longest */
	int broken; /* pools below their floor */
	int at_stake; /* pools whose declared failure would break the budget */
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
