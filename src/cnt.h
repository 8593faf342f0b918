#ifndef CNT_H
#define CNT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* A counter ("counter") or a reading ("gauge") as /metrics shows it. */
struct cnt_def {
	const char *name;
	const char *kind;
	const char *help;
};

/* Cells of a histogram of times; the last takes what is longer than all. */
#define CNT_CELLS 15

/* Times, counted by how long they are. */
struct cnt_times {
	uint64_t cells[CNT_CELLS];
	double sum_s;
};

void cnt_text(GString *out, const struct cnt_def *defs, const uint64_t *values,
	      size_t n, const char *labels);
void cnt_time(struct cnt_times *t, double seconds);
void cnt_time_ms(struct cnt_times *t, int64_t ms);
void cnt_times_text(GString *out, const char *name, const char *help,
		    const struct cnt_times *t);
void cnt_process(GString *out);

#endif
