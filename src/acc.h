#ifndef ACC_H
#define ACC_H

#include <event2/listener.h>

#include "tmr.h"

/*
 * A listener whose connections can't be taken, for want of a descriptor: it
 * rests for a moment. libevent would ask the kernel again in each turn of the
 * loop, which then comes to nothing else.
 */
struct acc {
	struct tmr *tmr;
	struct evconnlistener *l;
	const char *addr; /* of the listener; the owner's */
	uint64_t timer; /* 0: it doesn't rest */
	uint64_t failed; /* connections that couldn't be taken, tries */
};

void acc_init(struct acc *a, struct tmr *tmr, struct evconnlistener *l,
	      const char *addr);
void acc_done(struct acc *a);
void acc_rest(struct acc *a);

#endif
