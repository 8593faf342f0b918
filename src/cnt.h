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

void cnt_text(GString *out, const struct cnt_def *defs, const uint64_t *values,
	      size_t n, const char *labels);
void cnt_process(GString *out);

#endif
