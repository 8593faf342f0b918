#ifndef LIF_H
#define LIF_H

/* Lifetimes of workers: what the start in a report says of its sender. */

#include <stdbool.h>
#include <stdint.h>

/* Which lifetime a report is of. */
enum lif {
	LIF_CURRENT, /* the one that is known, or a worker that is not */
	LIF_NEXT, /* the worker has started again under its id */
	LIF_EARLIER, /* one that is over: a late report */
	LIF_MISSING, /* no start, from a worker that has reported one */
	LIF_DAMAGED, /* not a time */
	LIF_AHEAD, /* further in the future than clocks may differ */
	LIF_KINDS
};

enum lif lif_judge(int64_t known_ms, int64_t reported_ms, int64_t wall_ms);
const char *lif_name(enum lif lif);
bool lif_is_valid(enum lif lif);

#endif
