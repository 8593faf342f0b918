#ifndef WORK_H
#define WORK_H

#include <glib.h>
#include <stdint.h>

#include "lstr.h"

/*
 * The answer of the stand-in target, so that the side that makes it and the
 * side that checks it can't drift apart. It opens with a line
 * "run=ID body=DIGEST" (ID of the request, digest of the request's body),
 * goes on with filler up to the wanted size and ends with the checksum of all
 * before it.
 */

#define WORK_SUM_LEN 16
#define WORK_HEAD_MAX 256

enum work_verdict {
	WORK_WHOLE, /* all of it, and of this request */
	WORK_CUT, /* not as the target made it: bytes are missing or changed */
	WORK_SWAPPED, /* whole, but of another request */
};

uint64_t work_sum(struct lstr s);
void work_make(GString *out, const char *id, uint64_t digest, size_t size);
enum work_verdict work_check(struct lstr body, const char *id, uint64_t digest);

#endif
