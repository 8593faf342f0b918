#include "gcm.h"

#include <glib.h>

/*
 * Between two batches, in times that a batch takes to be stored. Each costs the
 * loop a sync, during which it stands still, and a message to each replica: a
 * busy leader that sent one every few ms came to little else in a burst.
 */
#define GCM_SHARE 1.5
/* Least and most time between two batches, ms; a sound disk syncs in 4 to 6. */
#define GCM_LEAST_MS 5
#define GCM_MOST_MS 50
/* Weight of the newest batch in the mean: 1 in so many. */
#define GCM_MEAN 8

/* How long the next batch has to wait, ms; 0: it may go. */
int64_t gcm_wait_ms(const struct gcm *g, int64_t now_ms)
{
	int64_t pause = CLAMP((int64_t)(g->stored_ms * GCM_SHARE), GCM_LEAST_MS,
			      GCM_MOST_MS);

	return MAX(0, g->sent_ms + pause - now_ms);
}

/* A batch went to the log. */
void gcm_sent(struct gcm *g, int64_t now_ms)
{
	g->sent_ms = now_ms;
}

/* A batch was stored by a majority, so long after it went. */
void gcm_stored(struct gcm *g, int64_t took_ms)
{
	g->stored_ms += ((double)took_ms - g->stored_ms) / GCM_MEAN;
}
