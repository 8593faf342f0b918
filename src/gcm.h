#ifndef GCM_H
#define GCM_H

#include <stdint.h>

/*
 * When the next batch of commands goes to the log: while one is on its way the
 * next gathers, and the slower the log, the more gathers.
 */
struct gcm {
	int64_t sent_ms; /* when the last batch went */
	double stored_ms; /* moving mean of a batch's time to be stored */
};

int64_t gcm_wait_ms(const struct gcm *g, int64_t now_ms);
void gcm_sent(struct gcm *g, int64_t now_ms);
void gcm_stored(struct gcm *g, int64_t took_ms);

#endif
