#ifndef HDR_H
#define HDR_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rules about HTTP headers that both sides of an entry daemon share; the
 * libraries take some messages that say two things at once.
 */

/* What a message's headers say about where its body ends. */
struct hdr_framing {
	bool has_length;
	bool chunked;
	bool bad; /* said twice, in two ways, or not understood */
	uint64_t length;
};

void hdr_framing_add(struct hdr_framing *f, const char *name,
		     const char *value);
bool hdr_is_hop(const char *name);
bool hdr_is_ours(const char *name);

#endif
