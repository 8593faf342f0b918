#ifndef CPU_H
#define CPU_H

#include <glib.h>
#include <stdint.h>

/*
 * Where a daemon's time goes, by kind of work. Work nests: while one kind calls
 * another, only the inner one is charged. What no kind claims is the loop's own
 * (sockets, timers) and the wait for events.
 */
enum cpu_kind {
	CPU_LOOP, /* what no other kind claims */
	CPU_CALLERS, /* calls passed on by entry daemons */
	CPU_BEATS, /* what workers and operators send */
	CPU_ORDERS, /* orders to workers, and their answers */
	CPU_LISTS, /* what workers list as running and ended */
	CPU_PLAN, /* which task runs where */
	CPU_UPKEEP, /* sizes of pools, upkeep, what is held back */
	CPU_LOG, /* entries written, synced and sent to replicas */
	CPU_APPLY, /* commands carried out on the job table */
	CPU_KINDS
};

enum cpu_kind cpu_enter(enum cpu_kind kind);
void cpu_leave(enum cpu_kind before);
uint64_t cpu_used_us(enum cpu_kind kind);
const char *cpu_name(enum cpu_kind kind);
void cpu_text(GString *out);

#endif
