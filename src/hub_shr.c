#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Interval between lines about shares, ms. */
#define HUB_SHARES_LOG_INTERVAL_MS 1000

/*
 * Logs the plan of the last second that left most jobs waiting, if
 * organisations competed in it: who had more than it is owed, and who waited
 * with less.
 */
void hub_shr_tick(struct hub *h, int64_t now)
{
	struct shr_decision d;

	if (now - h->shares_logged_ms < HUB_SHARES_LOG_INTERVAL_MS)
		return;
	h->shares_logged_ms = now;
	shr_take_decision(h->shares, &d);
	if (!d.pool)
		return;
	msg(MSG_HUB_SHARES,
	    "pool=%s method=%s organisations=%u waiting=%u jobs=%u "
	    "above=\"%s\" above_share=%.3f above_owed=%.3f "
	    "below=\"%s\" below_share=%.3f below_owed=%.3f age_ms=%" PRId64,
	    d.pool, shr_method_name(h->config.shares), d.parties, d.waiting,
	    d.jobs, d.above.name ? d.above.name : "", d.above.share,
	    d.above.owed, d.below.name ? d.below.name : "", d.below.share,
	    d.below.owed, now - d.at_ms);
}
