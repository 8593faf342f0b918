#ifndef ITK_INT_H
#define ITK_INT_H

/* Declarations shared by the files of the intake control. */

#include "itk.h"

/* Work of one organisation that waits in a pool. */
struct itk_account {
	char *org;
	double weight;
	double limit_cores; /* most that may run for it; 0: no limit */
	double core_s;
	int64_t return_ms; /* when the last refused job is to return; 0: none */
};

/* The line of a pool. */
struct itk_pool {
	char *name;
	struct itk_capacity capacity;
	double room; /* cores that serve its line */
	double core_s; /* of all accounts */
	double weights; /* of all accounts with work, in the last full count */
	bool has_limits; /* an account with work has a limit */
	bool counted; /* the present count has its capacity */
	GArray *accounts; /* struct itk_account */
	GHashTable *by_org; /* org: index in accounts + 1 */
};

struct itk_way {
	const char *name;
	/*
	 * Returns the time, s, until a job that joins the account now is
	 * served; the pool has room. NULL: accepts all.
	 */
	double (*line_s)(const struct itk_pool *p, const struct itk_account *a);
};

struct itk {
	const struct itk_way *way;
	struct itk_bounds bounds;
	GPtrArray *pools; /* struct itk_pool */
	GHashTable *by_name; /* pool: struct itk_pool */
	GHashTable *joining; /* id: struct itk_joining */
	struct itk_bounds live; /* live jobs as of now */
	int64_t counted_ms; /* when work was last counted; 0: never */
	int64_t memory_return_ms; /* last return of a job refused for memory */
	uint64_t refused[ITK_WHYS];
	GHashTable *refused_orgs; /* organisation: uint64_t */
};

#endif
