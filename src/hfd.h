#ifndef HFD_H
#define HFD_H

/* A filter for HTTP/1.1 requests in front of an HTTP library's parser. */

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The filter passes the bytes of a connection on to the HTTP library: request
 * heads only when they are complete, and one request at a time. It works around
 * faults of libevhtp, which parses a path that arrives in two parts with an
 * extra byte between them, accepts a NUL in a header value, waits forever
 * after a chunk whose length exceeds 64 bits, and reports fields after the last
 * chunk without their values.
 */

enum hfd_state {
	HFD_HEAD,
	HFD_FIXED_BODY, /* a body with a Content-Length */
	HFD_CHUNK_SIZE, /* the line with the size of a chunk */
	HFD_CHUNK_DATA, /* the data of a chunk and its line end */
	HFD_TRAILER, /* the lines after the last chunk */
	HFD_COMPLETE, /* request passed on; the next one waits for hfd_next */
	HFD_CLOSED, /* the rest of the stream has no defined framing */
};

struct hfd {
	enum hfd_state state;
	/* bytes left of the body, or of the chunk and its line end */
	uint64_t remaining;
	size_t trailer_bytes; /* received of the fields after the last chunk */
};

enum hfd_verdict {
	HFD_WAIT, /* nothing to pass on until more bytes arrive */
	HFD_PASS, /* some bytes were passed on */
	HFD_MALFORMED, /* answer 400 and close the connection */
	HFD_HEAD_TOO_LARGE, /* head or trailers too large: answer 431 and close */
};

enum hfd_verdict hfd_step(struct hfd *h, struct evbuffer *from,
			  struct evbuffer *to);
void hfd_next(struct hfd *h);

#endif
