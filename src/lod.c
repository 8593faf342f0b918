#include "lod.h"

#include <glib.h>

/* A plan may take one part in so many of the leader's time, */
#define LOD_PLAN_PARTS 8
/* but is never put off for longer, ms: free room is waited for. */
#define LOD_PLAN_MOST_MS 150
/* Weight of the newest plan in the moving mean: 1 in so many. */
#define LOD_PLAN_MEAN 4
/* Turns of the loop between a call and its answer that a limit allows for. */
#define LOD_TURNS 4
/* A limit grows to one part in so many of a lease: that is renewed in time. */
#define LOD_PATIENCE_PARTS 2
/* Time of the leader that one more call for a list takes, us. */
#define LOD_CALL_US 150
/* So much for a round of all busy workers is no burden, ms. */
#define LOD_GATHER_FROM_MS 10
/* Longest that an end waits to be asked for, ms: */
#define LOD_GATHER_MOST_MS 80
/* and where the leader is behind, as others wait for longer then. */
#define LOD_GATHER_BEHIND_MS 250

/*
 * How long the next plan is put off, ms; batch_ms: until the next batch goes to
 * the log. Made for bursts, in which ends and lists come in at each turn of the
 * loop and thousands of jobs wait: a plan looks at all of them, and the longer
 * the backlog the longer it takes, so that planning at each turn left no time
 * for the orders that shorten it. Starts go with the next batch only, so that a
 * plan before that gains nothing; it is made just in time for it. While nothing
 * is on its way both waits are over, and a job is planned as it comes.
 */
int64_t lod_plan_wait_ms(const struct lod_plan *p, int64_t batch_ms,
			 int64_t now_ms)
{
	int64_t pause = CLAMP((int64_t)(p->took_ms * (LOD_PLAN_PARTS - 1)), 0,
			      LOD_PLAN_MOST_MS);

	return MAX(0, MAX(batch_ms - 1, p->ended_ms + pause - now_ms));
}

/*
 * A plan is made and took so long. What a standstill of the machine in the middle
 * of it added says nothing of the next ones.
 */
void lod_planned(struct lod_plan *p, double took_ms, int64_t now_ms)
{
	double took = MIN(took_ms, LOD_PLAN_MOST_MS);

	p->ended_ms = now_ms;
	p->took_ms += (took - p->took_ms) / LOD_PLAN_MEAN;
}

/*
 * How long an answer is waited for, ms, on a loop that comes so late to what is
 * due. Made for a leader that is behind: answers lie in its sockets for a turn
 * or more, and workers that had answered counted as silent. Their orders were
 * given again over new connections, which put the leader further behind.
 */
int64_t lod_patience_ms(int64_t patience_ms, int64_t lease_ms, int64_t lag_ms)
{
	int64_t most = MAX(patience_ms, lease_ms / LOD_PATIENCE_PARTS);

	return MIN(patience_ms + LOD_TURNS * lag_ms, most);
}

/*
 * How long a worker whose ends are stored may gather more before it is asked
 * again, ms; busy: how many have something to run. Made for bursts on hundreds
 * of workers: with a call for each end a leader came to little else, and ends
 * were taken in so late that their room looked as if it were in use. Few workers
 * are asked at once, as each moment that an end waits delays the steps behind it.
 */
int64_t lod_gather_ms(unsigned int busy, int64_t lag_ms)
{
	int64_t round = (int64_t)busy * LOD_CALL_US / 1000;

	return CLAMP(round - LOD_GATHER_FROM_MS, 0, LOD_GATHER_MOST_MS) +
	       MIN(lag_ms, LOD_GATHER_BEHIND_MS - LOD_GATHER_MOST_MS);
}

/*
 * Which of the other replicas makes the calls to a worker, from 0 on; -1: the
 * leader itself. Made for fleets on which HTTP alone takes more than a leader
 * has: to hand a call on takes a small part of its time, and the other replicas
 * are idle; a small fleet is served sooner without the detour. worker: a number
 * that is always the same for a worker, so that connections are used again;
 * turn: grows where a call was lost, so that the next one goes another way, in
 * the end the leader's own.
 */
int lod_carrier(unsigned int carriers, uint32_t worker, uint32_t turn)
{
	uint32_t ways = carriers + (turn > 0);
	uint32_t way;

	if (!carriers)
		return -1;
	way = (worker % carriers + turn) % ways;
	return way < carriers ? (int)way : -1;
}
