#include "gcm.h"

#include <glib.h>

/*
 * Interval between two batches as a multiple of a batch's commit time. Each
 * batch costs the event loop a sync, which blocks it, and a message to each
 * replica: a busy leader that sends one every few ms does little else in a
 * burst.
 */
#define GCM_INTERVAL_FACTOR 1.5
/*
 * Least and longest interval between two batches, ms; a healthy disk syncs in 4
 * to 6 ms.
 */
#define GCM_MIN_MS 5
#define GCM_MAX_MS 50
/* Weight of the newest batch in the moving mean: 1 in GCM_MEAN_WEIGHT. */
#define GCM_MEAN_WEIGHT 8

/* Returns how long the next batch has to wait, ms; 0: it may be sent now. */
int64_t gcm_wait_ms(const struct gcm *g, int64_t now_ms)
{
	int64_t interval = CLAMP((int64_t)(g->stored_ms * GCM_INTERVAL_FACTOR),
				 GCM_MIN_MS, GCM_MAX_MS);

	return MAX(0, g->sent_ms + interval - now_ms);
}

/* Records that a batch was sent to the log. */
void gcm_sent(struct gcm *g, int64_t now_ms)
{
	g->sent_ms = now_ms;
}

/*
 * Records that a batch was committed by a majority took_ms after it was sent.
 */
void gcm_stored(struct gcm *g, int64_t took_ms)
{
	g->stored_ms += ((double)took_ms - g->stored_ms) / GCM_MEAN_WEIGHT;
}
