#ifndef GCM_H
#define GCM_H

/* Group commit: decides when the next batch of commands goes to the log. */

#include <stdint.h>

/*
 * State of group commit. While a batch is being committed the next one gathers,
 * and the slower the log, the more commands it gathers.
 */
struct gcm {
	int64_t sent_ms; /* when the last batch was sent to the log */
	double stored_ms; /* moving mean of a batch's commit time, ms */
};

int64_t gcm_wait_ms(const struct gcm *g, int64_t now_ms);
void gcm_sent(struct gcm *g, int64_t now_ms);
void gcm_stored(struct gcm *g, int64_t took_ms);

#endif
