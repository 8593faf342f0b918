#ifndef HDR_H
#define HDR_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rules about HTTP headers that both sides of an entry daemon share; the
 * libraries take some messages that say two things at once.
 */

/* Of a request: names it in every log, the caller's own copy included. */
#define HDR_REQUEST_ID "Endive-Request-Id"
/* Of an answer: "ran", "not-run" or "unknown". */
#define HDR_OUTCOME "Endive-Outcome"
/* Of a request between zones: the zone it was first received in. */
#define HDR_HOP "Endive-Hop"
/* Of a target's answer: slots busy there, without this request. */
#define HDR_BUSY "Endive-Busy"
/* Of a caller's request. */
#define HDR_CALLER "Endive-Caller"
#define HDR_DEADLINE "Endive-Deadline-Ms"
/* Of a caller's request: it may be sent again and runs once. */
#define HDR_KEY "Idempotency-Key"
/* Of an answer: it is that to an earlier sending of the same key. */
#define HDR_REPLAYED "Endive-Replayed"
#define HDR_PRIORITY "Endive-Priority"

/* What a message's headers say about where its body ends. */
struct hdr_framing {
	bool has_length;
	bool chunked;
	bool bad; /* said twice, in two ways, or not understood */
	uint64_t length;
};

void hdr_framing_add(struct hdr_framing *f, const char *name,
		     const char *value);
bool hdr_name_ok(const char *name);
bool hdr_is_hop(const char *name);
bool hdr_is_ours(const char *name);

#endif
