#include <event2/event.h>
#include <stdio.h>

#include "table.h"
#include "tmr.h"

/*
 * What a call's time limit costs a daemon that has many of them open: it is
 * subscribed to behind others, and cancelled when the answer comes. The baseline
 * is a tenth of what such a call may take in all.
 */

#define OPEN 1000
#define CALLS 200000
#define LIMIT_MS 400
#define CALL_US 5.0

static void never(void *arg, int64_t now)
{
}

int main(void)
{
	struct event_base *base = event_base_new();
	struct tmr *t = tmr_new(base);
	double from;
	int i;

	for (i = 0; i < OPEN; i++)
		tmr_once(t, LIMIT_MS + i % 100, never, NULL);
	from = bench_now_ms();
	for (i = 0; i < CALLS; i++)
		tmr_cancel(t, tmr_once(t, LIMIT_MS, never, NULL));
	printf("tmr/%d/limit-of-a-call\t%.3f\tus\t%.1f\n", OPEN,
	       (bench_now_ms() - from) * 1000 / CALLS, CALL_US);
	tmr_free(t);
	event_base_free(base);
	return 0;
}
