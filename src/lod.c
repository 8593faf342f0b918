#include "lod.h"

#include <glib.h>

/* Planning may use one part in this many of the leader's time. */
#define LOD_PLAN_TIME_PARTS 8
/*
 * Longest delay of a plan because of its duration, ms. A longer one would leave
 * free capacity unused.
 */
#define LOD_PLAN_DELAY_MAX_MS 150
/* EWMA weight of the newest plan's duration: one part in this many. */
#define LOD_PLAN_EWMA_PARTS 4
/* Iterations of the event loop between a call and the reading of its answer. */
#define LOD_TIMEOUT_ITERATIONS 4
/*
 * A timeout is extended up to one part in this many of the lease time, so that
 * the lease can still be renewed in time.
 */
#define LOD_TIMEOUT_LEASE_PARTS 2
/* Time of the leader that one more poll of a worker takes, us. */
#define LOD_POLL_COST_US 150
/* Polling all busy workers within this time is no significant load, ms. */
#define LOD_POLL_ROUND_FREE_MS 10
/* Longest delay of a poll because of the number of busy workers, ms. */
#define LOD_POLL_DELAY_MAX_MS 80
/*
 * Longest delay of a poll on a lagging leader, ms, where other work waits
 * longer anyway.
 */
#define LOD_POLL_DELAY_LAG_MAX_MS 250

/*
 * Returns the delay until the next plan, in ms. batch_ms: time until the next
 * batch of commands goes to the log.
 *
 * Load: bursts, in which reports of workers and ended tasks arrive in each
 * iteration of the event loop while thousands of jobs wait. Harm: a plan scans
 * all of them, so that its duration grows with the backlog; planning in each
 * iteration would leave no time for the orders that reduce the backlog. Limits:
 * planning uses at most an eighth of the time, unless that delays it by more
 * than 150 ms; and as starts are committed with the next batch, a plan runs
 * just before it, since an earlier one gains nothing. On an idle leader both
 * delays are over, and a job is planned as soon as it arrives.
 */
int64_t lod_plan_wait_ms(const struct lod_plan *p, int64_t batch_ms,
			 int64_t now_ms)
{
	int64_t pause_ms =
		CLAMP((int64_t)(p->mean_ms * (LOD_PLAN_TIME_PARTS - 1)), 0,
		      LOD_PLAN_DELAY_MAX_MS);

	return MAX(0, MAX(batch_ms - 1, p->ended_ms + pause_ms - now_ms));
}

/*
 * Records the end and the duration of a plan, in ms. The duration is capped, as
 * the time added by a process pause says nothing about the next plans.
 */
void lod_record_plan(struct lod_plan *p, double took_ms, int64_t now_ms)
{
	double capped_ms = MIN(took_ms, LOD_PLAN_DELAY_MAX_MS);

	p->ended_ms = now_ms;
	p->mean_ms += (capped_ms - p->mean_ms) / LOD_PLAN_EWMA_PARTS;
}

/*
 * Returns the timeout for an answer, in ms: timeout_ms, extended on an event
 * loop that lags by lag_ms.
 *
 * Load: a lagging leader. Harm: answers wait in its socket buffers for an
 * iteration or more, and workers that have answered count as unreachable; their
 * orders are sent again over new connections, which makes the leader lag more
 * (retry storm). Limit: half of the lease time, or timeout_ms if that is
 * longer, so that a lost worker is detected while its lease is still valid.
 */
int64_t lod_answer_timeout_ms(int64_t timeout_ms, int64_t lease_ms,
			      int64_t lag_ms)
{
	int64_t max_ms = MAX(timeout_ms, lease_ms / LOD_TIMEOUT_LEASE_PARTS);

	return MIN(timeout_ms + LOD_TIMEOUT_ITERATIONS * lag_ms, max_ms);
}

/*
 * Returns the delay, in ms, before a worker whose ended tasks are stored is
 * polled again, so that it can batch more of them. busy: number of workers that
 * have something to run; lag_ms: lag of the event loop.
 *
 * Load: bursts on hundreds of workers. Harm: with a call for each ended task
 * the leader does little else, and processes the reports so late that capacity
 * which is free counts as in use. Limits: no delay if polling all busy workers
 * takes 10 ms or less, as each delay of a report delays the steps that depend
 * on the task; at most 80 ms without lag and 250 ms with it.
 */
int64_t lod_poll_delay_ms(unsigned int busy, int64_t lag_ms)
{
	int64_t round_ms = (int64_t)busy * LOD_POLL_COST_US / 1000;

	return CLAMP(round_ms - LOD_POLL_ROUND_FREE_MS, 0,
		     LOD_POLL_DELAY_MAX_MS) +
	       MIN(lag_ms, LOD_POLL_DELAY_LAG_MAX_MS - LOD_POLL_DELAY_MAX_MS);
}

/*
 * Returns the index of the replica that relays the calls to a worker, from 0 to
 * relays - 1, or -1 if the leader makes them itself.
 *
 * Load: large fleets, where HTTP alone takes more time than the leader has,
 * while the other replicas are idle and relaying a call costs the leader only a
 * small part of that time. Without relays (small fleets) calls are direct, as
 * this is faster.
 *
 * worker: a hash that is constant for a worker, so that its connections are
 * reused. attempt: number of calls lost so far; the next one goes through
 * another replica, and after all of them directly from the leader.
 */
int lod_pick_relay(unsigned int relays, uint32_t worker, uint32_t attempt)
{
	uint32_t choices = relays + (attempt > 0);
	uint32_t choice;

	if (!relays)
		return -1;
	choice = (worker % relays + attempt) % choices;
	return choice < relays ? (int)choice : -1;
}
