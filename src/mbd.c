#include "mbd.h"

#include <unistd.h>

/*
 * Part of a process's memory that clients' connections may take. Estimates may
 * be low by half, and what the requests are for needs the rest.
 */
#define MBD_PART 4

/* Smallest block of an event buffer, and its header, bytes. */
#define MBD_BLOCK_MIN 1024u
#define MBD_BLOCK_HEADER 64u
/* A buffer's last block is at most this much larger than its content, bytes. */
#define MBD_BLOCK_SPARE (8u << 10)

struct mbd {
	struct mbd *whole; /* what is held counts there too; or NULL */
	uint64_t limit;
	uint64_t held;
	uint64_t released;
	/* releasable holds by size, the longest in its class first */
	GQueue classes[MBD_CLASSES];
};

static unsigned int mbd_class(uint64_t bytes);
static void mbd_unqueue(struct mbd_hold *h);
static struct mbd_hold *mbd_largest(struct mbd *b);

/* Returns a budget of limit bytes. */
struct mbd *mbd_new(uint64_t limit)
{
	struct mbd *b = g_new0(struct mbd, 1);
	size_t i;

	b->limit = limit;
	for (i = 0; i < MBD_CLASSES; i++)
		g_queue_init(&b->classes[i]);
	return b;
}

/*
 * Returns a budget of a divisor-th part of another. Its holds count in both, but
 * are only released by mbd_reclaim on the part. It must be freed first.
 */
struct mbd *mbd_part_new(struct mbd *whole, uint64_t divisor)
{
	struct mbd *b = mbd_new(whole->limit / divisor);

	b->whole = whole;
	return b;
}

/* Frees a budget, which no hold may use any more; NULL is allowed. */
void mbd_free(struct mbd *b)
{
	if (!b)
		return;
	g_assert(b->held == 0);
	g_free(b);
}

/*
 * Returns the budget, bytes, of a process that may use that much memory; 0: the
 * machine's.
 */
uint64_t mbd_limit(uint64_t memory)
{
	if (!memory)
		memory = (uint64_t)sysconf(_SC_PHYS_PAGES) *
			 (uint64_t)sysconf(_SC_PAGESIZE);
	return memory / MBD_PART;
}

/*
 * Starts an empty hold on a budget. release(arg) must end the hold; NULL for one
 * that is never releasable.
 */
void mbd_hold_begin(struct mbd_hold *h, struct mbd *b,
		    void (*release)(void *arg), void *arg)
{
	*h = (struct mbd_hold){.budget = b, .release = release, .arg = arg};
	h->link.data = h;
}

/* Sets what a hold counts, and whether it may be released. */
void mbd_hold_set(struct mbd_hold *h, uint64_t bytes, bool releasable)
{
	unsigned int class = mbd_class(bytes);
	struct mbd *b;

	for (b = h->budget; b; b = b->whole)
		b->held += bytes - h->bytes;
	h->bytes = bytes;
	if (h->queued && releasable && class == h->size_class)
		return;
	mbd_unqueue(h);
	h->size_class = class;
	h->queued = releasable;
	if (releasable)
		g_queue_push_tail_link(&h->budget->classes[class], &h->link);
}

/* Ends a hold: its memory has been freed. */
void mbd_hold_end(struct mbd_hold *h)
{
	mbd_hold_set(h, 0, false);
}

/* Has a hold released by its owner. */
void mbd_release(struct mbd_hold *h)
{
	mbd_unqueue(h);
	h->budget->released++;
	h->release(h->arg);
}

/*
 * Releases the largest holds until the rest is within the limit. Returns false
 * if own would be the next, or nothing more can be released: what it is for
 * must then be refused.
 */
bool mbd_reclaim(struct mbd *b, const struct mbd_hold *own)
{
	while (b->held > b->limit) {
		struct mbd_hold *h = mbd_largest(b);

		if (!h || h == own)
			return false;
		mbd_release(h);
	}
	return true;
}

/*
 * Returns what the content of an event buffer takes, bytes. It holds for
 * buffers that are filled by evbuffer_add or by reading from a socket.
 */
uint64_t mbd_buffer_bytes(const struct evbuffer *buffer)
{
	uint64_t len = evbuffer_get_length(buffer);
	uint64_t block = MBD_BLOCK_MIN;

	if (len == 0)
		return 0;
	if (len + MBD_BLOCK_HEADER > MBD_BLOCK_SPARE)
		return len + MBD_BLOCK_SPARE;
	while (block < len + MBD_BLOCK_HEADER)
		block *= 2;
	return block;
}

/* Returns the counters since the start. */
struct mbd_stats mbd_stats(const struct mbd *b)
{
	return (struct mbd_stats){b->limit, b->held, b->released};
}

/* Appends the metrics in the Prometheus text format. */
void mbd_append_metrics(const struct mbd *b, GString *out)
{
	g_string_append_printf(
		out,
		"# HELP endive_connections_memory_limit_bytes Memory that "
		"clients' connections may take\n"
		"# TYPE endive_connections_memory_limit_bytes gauge\n"
		"endive_connections_memory_limit_bytes %" G_GUINT64_FORMAT "\n"
		"# HELP endive_connections_memory_bytes Of this, in use now\n"
		"# TYPE endive_connections_memory_bytes gauge\n"
		"endive_connections_memory_bytes %" G_GUINT64_FORMAT "\n"
		"# HELP endive_connections_released_total Connections ended "
		"for want of it\n"
		"# TYPE endive_connections_released_total counter\n"
		"endive_connections_released_total %" G_GUINT64_FORMAT "\n",
		b->limit, b->held, b->released);
}

/* The size class of a hold. */
static unsigned int mbd_class(uint64_t bytes)
{
	return bytes ? g_bit_storage(bytes) : 0;
}

/* Takes a hold out of its queue. */
static void mbd_unqueue(struct mbd_hold *h)
{
	if (h->queued)
		g_queue_unlink(&h->budget->classes[h->size_class], &h->link);
	h->queued = false;
}

/* The hold to be released next, or NULL. */
static struct mbd_hold *mbd_largest(struct mbd *b)
{
	unsigned int n;

	for (n = MBD_CLASSES; n > 0; n--)
		if (b->classes[n - 1].head)
			return b->classes[n - 1].head->data;
	return NULL;
}
