#include "cnt.h"

#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

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
