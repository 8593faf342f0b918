#ifndef DOM_H
#define DOM_H

/* Failure domains: the order in which zones are asked to run a step's tasks. */

#include <stdbool.h>
#include <stdint.h>

/* A zone as a step sees it. */
struct dom_zone {
	const char *name;
	/* tasks of the step that fit there now, counted up to those wanted */
	uint32_t room;
	uint32_t runs; /* tasks of the job that run there or are about to */
	bool data; /* the step's data is there */
	bool caller; /* the job was handed in there */
};

/* A step whose tasks are to be placed. */
struct dom_step {
	uint32_t wanted; /* tasks without a run */
	uint64_t job; /* number of its job */
};

/* A rule that orders zones. */
struct dom_way {
	const char *name;
	bool zones; /* tasks go zone by zone; else to the best worker anywhere */
	/*
	 * how the zone counts in which a job was handed in: 1 it goes first, -1
	 * last, 0 not at all
	 */
	int caller;
	bool racks; /* within a zone a job's tasks go rack by rack */
};

#define DOM_DEFAULT "away"

const struct dom_way *dom_find_way(const char *name);
const char *dom_way_names(void);
void dom_order(const struct dom_way *way, struct dom_zone *zones, uint32_t n,
	       const struct dom_step *step);

#endif
