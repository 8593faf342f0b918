#include "cpu.h"

#include <time.h>

/* One loop on one thread does all work of a daemon. */
static struct {
	enum cpu_kind kind; /* being worked on */
	int64_t since_ns;
	uint64_t used_ns[CPU_KINDS];
} cpu;

static int64_t cpu_now_ns(void);

static const char *const cpu_names[CPU_KINDS] = {
	[CPU_LOOP] = "loop",	 [CPU_CALLERS] = "callers",
	[CPU_BEATS] = "beats",	 [CPU_ORDERS] = "orders",
	[CPU_LISTS] = "lists",	 [CPU_PLAN] = "plan",
	[CPU_UPKEEP] = "upkeep", [CPU_LOG] = "log",
	[CPU_APPLY] = "apply",
};

/* Begins work of a kind; returns the kind that it interrupts. */
enum cpu_kind cpu_enter(enum cpu_kind kind)
{
	enum cpu_kind before = cpu.kind;
	int64_t now = cpu_now_ns();

	cpu.used_ns[before] += (uint64_t)(now - cpu.since_ns);
	cpu.since_ns = now;
	cpu.kind = kind;
	return before;
}

/* Ends work of a kind and goes on with the one that it interrupted. */
void cpu_leave(enum cpu_kind before)
{
	cpu_enter(before);
}

/* Time spent on a kind since the start, us; of the loop with its waits. */
uint64_t cpu_used_us(enum cpu_kind kind)
{
	return cpu.used_ns[kind] / 1000;
}

/* What logs and metrics call a kind. */
const char *cpu_name(enum cpu_kind kind)
{
	return cpu_names[kind];
}

/* Appends the times of all kinds but the loop, which waits in between. */
void cpu_text(GString *out)
{
	int i;

	g_string_append(out, "# HELP endive_work_seconds_total Time spent by "
			     "kind of work\n"
			     "# TYPE endive_work_seconds_total counter\n");
	for (i = CPU_LOOP + 1; i < CPU_KINDS; i++)
		g_string_append_printf(
			out, "endive_work_seconds_total{kind=\"%s\"} %.6f\n",
			cpu_names[i], (double)cpu.used_ns[i] / 1e9);
}

/*
 * The clock that counts without a system call: asked for twice with each piece
 * of work, the processor's own would cost more than much of the work.
 */
static int64_t cpu_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}
