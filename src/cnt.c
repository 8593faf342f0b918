#include "cnt.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

/*
 * Upper bounds of the cells, seconds: from a round trip within a zone to the
 * longest that a caller waits for a job, two or three to a decade.
 */
static const double cnt_bounds[CNT_CELLS - 1] = {
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
	0.25,  0.5,    1,     2.5,  5,	   10,	 30,
};

/*
 * Appends n values in the text form that monitoring reads; labels is the part
 * between braces, or "".
 */
void cnt_text(GString *out, const struct cnt_def *defs, const uint64_t *values,
	      size_t n, const char *labels)
{
	size_t i;

	for (i = 0; i < n; i++) {
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				       defs[i].name, defs[i].help, defs[i].name,
				       defs[i].kind);
		if (*labels)
			g_string_append_printf(out,
					       "%s{%s} %" G_GUINT64_FORMAT "\n",
					       defs[i].name, labels, values[i]);
		else
			g_string_append_printf(out,
					       "%s %" G_GUINT64_FORMAT "\n",
					       defs[i].name, values[i]);
	}
}

/* Counts a time. */
void cnt_time(struct cnt_times *t, double seconds)
{
	size_t i = 0;

	while (i < G_N_ELEMENTS(cnt_bounds) && seconds > cnt_bounds[i])
		i++;
	t->cells[i]++;
	t->sum_s += seconds;
}

/* Counts a time told in ms, as most clocks here tell it. */
void cnt_time_ms(struct cnt_times *t, int64_t ms)
{
	cnt_time(t, (double)ms / 1000);
}

/*
 * Appends times as a histogram in the text form that monitoring reads: each
 * line counts what took no longer than its bound.
 */
void cnt_times_text(GString *out, const char *name, const char *help,
		    const struct cnt_times *t)
{
	uint64_t n = 0;
	size_t i;

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
			       help, name);
	for (i = 0; i < G_N_ELEMENTS(cnt_bounds); i++) {
		n += t->cells[i];
		g_string_append_printf(out,
				       "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT
				       "\n",
				       name, cnt_bounds[i], n);
	}
	n += t->cells[i];
	g_string_append_printf(out,
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\n%s_sum %.3f\n%s_count %" G_GUINT64_FORMAT
			       "\n",
			       name, n, name, t->sum_s, name, n);
}

/* Appends what this process costs: processor time and resident memory. */
void cnt_process(GString *out)
{
	struct rusage ru;
	unsigned long pages = 0;
	FILE *f = fopen("/proc/self/statm", "re");

	if (f) {
		if (fscanf(f, "%*s %lu", &pages) != 1)
			pages = 0;
		fclose(f);
	}
	getrusage(RUSAGE_SELF, &ru);
	g_string_append_printf(
		out,
		"# TYPE process_cpu_seconds_total counter\n"
		"process_cpu_seconds_total %.3f\n"
		"# TYPE process_resident_memory_bytes gauge\n"
		"process_resident_memory_bytes %lu\n",
		(double)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) +
			(double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) /
				1e6,
		pages * (unsigned long)sysconf(_SC_PAGESIZE));
}
