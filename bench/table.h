#ifndef BENCH_TABLE_H
#define BENCH_TABLE_H

#include <stdio.h>
#include <time.h>

#include "jtb.h"

/* What benches on a job table share. */

/* Processor time of this process, ms. */
static inline double bench_now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* Applies n commands. */
static inline void bench_apply(struct jtb *t, struct pk_out *cmds, uint32_t n)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, n);
	msgpack_sbuffer_write(&o.buf, cmds->buf.data, cmds->buf.size);
	if (!jtb_apply(t, pk_out_view(&o)))
		fprintf(stderr, "bench: a command was not taken\n");
	pk_out_done(&o);
	pk_out_done(cmds);
}

#endif
