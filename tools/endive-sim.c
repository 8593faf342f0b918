#include <glib.h>
#include <inttypes.h>
#include <stdio.h>

#include "set.h"
#include "sim.h"

static void sim_print(const char *policy, const struct sim_result *r);
static int sim_seeds(const struct sim_config *from, long long n);

/* One policy's line: name, then its figures, by tabs. */
static void sim_print(const char *policy, const struct sim_result *r)
{
	printf("%s\t%.3f\t%" PRIu64 "\t%" PRIu64 "\t%" PRIu64 "\t%.0f\t%" PRIu64
	       "\t%.1f\t%s\n",
	       policy, r->worth, r->jobs, r->in_time, r->late, r->vm_s,
	       r->moves, r->wasted, sim_clean(r) ? "-" : r->first);
}

/* Plays days until one breaks a rule; tells its seed. */
static int sim_seeds(const struct sim_config *from, long long n)
{
	struct sim_config c = *from;
	long long i;

	for (i = 0; i < n; i++) {
		struct sim_result r;

		c.seed = from->seed + (uint64_t)i;
		r = sim_play(&c);
		if (sim_clean(&r))
			continue;
		printf("seed %" PRIu64 " breaks a rule: %s\n", c.seed, r.first);
		return 1;
	}
	printf("%lld days from seed %" PRIu64 ": no rule broken\n", n,
	       from->seed);
	return 0;
}

int main(int argc, char **argv)
{
	struct sim_config c = sim_defaults(1);
	struct sim_result product;
	struct sim_result fixed;
	long long seed = 1;
	long long days = 0;
	long long load = 45;
	long long burst = 4;
	long long orgs = 4;
	long long org_limit = 30;
	const struct set_def defs[] = {
		{"seed", SET_INT, &seed, "1", 0, 1000000000, NULL,
		 "Of the first day"},
		{"days", SET_INT, &days, "0", 0, 10000000, NULL,
		 "Play so many days and stop at the first broken rule"},
		{"load", SET_INT, &load, "45", 1, 1000, NULL,
		 "Mean demand, percent of a pool's cores"},
		{"burst", SET_INT, &burst, "4", 1, 100, NULL,
		 "Demand in a pool's turn, times the mean"},
		{"organisations", SET_INT, &orgs, "4", 0, 8, NULL,
		 "Organisations that hand jobs in"},
		{"limit", SET_INT, &org_limit, "30", 1, 100, NULL,
		 "Of each of these, percent of all cores"},
	};
	int rc = set_parse("endive-sim",
			   "Plays days of an emulated fleet in virtual time.",
			   defs, G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	c.seed = (uint64_t)seed;
	c.load = (double)load / 100;
	c.burst = (double)burst;
	c.orgs = (int)orgs;
	c.org_limit = (double)org_limit / 100;
	if (days)
		return sim_seeds(&c, days);
	product = sim_play(&c);
	c.order = SIM_FIXED_POOLS;
	fixed = sim_play(&c);
	printf("policy\tworth\tjobs\tin time\tlate\tVM s\tmoves\t"
	       "wasted core s\tbroken\n");
	sim_print("product", &product);
	sim_print("fixed pools", &fixed);
	return 0;
}
