#include "msg_rate.h"

#include <glib.h>

/*
 * Lines of one message a second before the rest is only counted: a flood of
 * one fault must not fill a small VM's disk nor hold up the loop.
 */
#define MSG_RATE_LINES 50
/*
 * The same for failures, and for the first second of a flood, whose share
 * isn't known yet. A line costs some 10 us: 200 of a kind are 2 ms of a second.
 */
#define MSG_RATE_MOST 200

/* 2^32 over the golden ratio: a product with it spreads neighbours apart. */
#define MSG_RATE_SPREAD 2654435761u

static bool msg_rate_shows(const struct msg_rate *r, const char *job);

/*
 * Begins a second; the share of jobs that are shown follows from how many lines
 * the last one wanted. Returns how many lines were left out since told last.
 */
unsigned int msg_rate_second(struct msg_rate *r, int64_t second)
{
	unsigned int dropped = r->dropped;

	if (r->second == second)
		return 0;
	r->share = r->wanted > MSG_RATE_LINES && r->second == second - 1
			   ? MSG_RATE_ALL * MSG_RATE_LINES / r->wanted
			   : MSG_RATE_ALL;
	r->second = second;
	r->wanted = 0;
	r->written = 0;
	r->dropped = 0;
	return dropped;
}

/* Whether a line is written; one that isn't is counted. job: or NULL. */
bool msg_rate_take(struct msg_rate *r, const char *job, enum msg_keep keep)
{
	unsigned int most = keep == MSG_PLAIN ? MSG_RATE_LINES : MSG_RATE_MOST;
	bool take = r->written < most;

	if (keep == MSG_SAMPLED)
		take = take && msg_rate_shows(r, job);
	r->wanted++;
	r->written += take;
	r->dropped += !take;
	return take;
}

/* Whether a job is among those that are shown, the same in all daemons. */
static bool msg_rate_shows(const struct msg_rate *r, const char *job)
{
	/* the low bits of g_str_hash alone are uneven for ids alike */
	uint32_t spread = g_str_hash(job) * MSG_RATE_SPREAD;

	return (spread >> 16) % MSG_RATE_ALL < r->share;
}
