#include "acc.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>

#include "msg.h"

/* How long a listener rests after a connection that couldn't be taken, ms. */
#define ACC_REST_MS 100

static void acc_go_on(void *arg, int64_t now);

/* A listener that doesn't rest; addr must outlive it. */
void acc_init(struct acc *a, struct tmr *tmr, struct evconnlistener *l,
	      const char *addr)
{
	*a = (struct acc){.tmr = tmr, .l = l, .addr = addr};
}

/* To be called before the listener is freed. */
void acc_done(struct acc *a)
{
	if (a->timer)
		tmr_cancel(a->tmr, a->timer);
	a->timer = 0;
	a->l = NULL;
}

/*
 * Lets the listener rest; to be called from its error call-back, with errno as
 * accept left it. Callers wait in the kernel's queue meanwhile.
 */
void acc_rest(struct acc *a)
{
	const char *why = g_strerror(errno);

	a->failed++;
	if (a->timer || !a->l)
		return;
	msg(MSG_ACC_FAILED, "addr=%s why=\"%s\" failed=%" PRIu64 " rest_ms=%d",
	    a->addr, why, a->failed, ACC_REST_MS);
	evconnlistener_disable(a->l);
	a->timer = tmr_once(a->tmr, ACC_REST_MS, acc_go_on, a);
}

/* The listener takes connections again. */
static void acc_go_on(void *arg, int64_t now)
{
	struct acc *a = arg;

	a->timer = 0;
	evconnlistener_enable(a->l);
}
