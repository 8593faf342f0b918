#include "lif.h"

#include "wkr.h"

/*
 * How far a start may lie ahead of this replica's clock, ms. A start far ahead
 * that was taken for a worker's would make each true report after it one of an
 * earlier lifetime, and the worker would be lost until then.
 */
#define LIF_AHEAD_MS (3600 * 1000)

static const char *const lif_names[LIF_KINDS] = {
	[LIF_CURRENT] = "current",	    [LIF_NEXT] = "restarted",
	[LIF_EARLIER] = "earlier-lifetime", [LIF_MISSING] = "start-missing",
	[LIF_DAMAGED] = "start-not-a-time", [LIF_AHEAD] = "start-in-the-future",
};

/*
 * Returns which lifetime a report is of. known_ms is the start of the worker's
 * known lifetime and reported_ms that of the report; 0: none. wall_ms is this
 * replica's clock; all are ms since 1970.
 */
enum lif lif_judge(int64_t known_ms, int64_t reported_ms, int64_t wall_ms)
{
	if (reported_ms < 0)
		return LIF_DAMAGED;
	if (reported_ms > wall_ms + LIF_AHEAD_MS)
		return LIF_AHEAD;
	if (!known_ms || reported_ms == known_ms)
		return LIF_CURRENT;
	if (!reported_ms)
		return LIF_MISSING;
	return reported_ms > known_ms ? LIF_NEXT : LIF_EARLIER;
}

/* Returns the name of a lifetime's kind in log lines and metrics. */
const char *lif_name(enum lif lif)
{
	return lif_names[lif];
}

/* Whether a report names a worker to use. */
bool lif_is_valid(enum lif lif)
{
	return lif == LIF_CURRENT || lif == LIF_NEXT;
}
