#ifndef MBD_H
#define MBD_H

/* mbd: the memory budget of a process for what its clients make it hold. */

#include <event2/buffer.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Every connection has a hold: the bytes that the process holds for it, with
 * the allocator's share, whether received, parsed or not sent yet. Beyond the
 * limit the largest holds are released, as a client inside the limits of a
 * request holds less than those that have used the budget up. A hold that isn't
 * releasable, as its request is being carried out, only counts.
 */
struct mbd;

/* Size classes of holds, a power of two each. */
#define MBD_CLASSES 65

/* What is held for one connection; embedded by its owner. */
struct mbd_hold {
	struct mbd *budget;
	/* ends the connection and the hold */
	void (*release)(void *arg);
	void *arg;
	uint64_t bytes;
	unsigned int size_class;
	bool queued; /* link is in the queue of the class */
	GList link;
};

struct mbd_stats {
	uint64_t limit; /* bytes */
	uint64_t held; /* bytes */
	uint64_t released; /* holds released, since the start */
};

struct mbd *mbd_new(uint64_t limit);
struct mbd *mbd_part_new(struct mbd *whole, uint64_t divisor);
void mbd_free(struct mbd *b);
uint64_t mbd_limit(uint64_t memory);
void mbd_hold_begin(struct mbd_hold *h, struct mbd *b,
		    void (*release)(void *arg), void *arg);
void mbd_hold_set(struct mbd_hold *h, uint64_t bytes, bool releasable);
void mbd_hold_end(struct mbd_hold *h);
void mbd_release(struct mbd_hold *h);
bool mbd_reclaim(struct mbd *b, const struct mbd_hold *own);
uint64_t mbd_buffer_bytes(const struct evbuffer *buffer);
struct mbd_stats mbd_stats(const struct mbd *b);
void mbd_append_metrics(const struct mbd *b, GString *out);

#endif
