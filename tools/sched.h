#ifndef SCHED_H
#define SCHED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * When requests fall due: segments of a steady rate, one after the other,
 * written as "10s@100,500ms@1000" (for how long, at how many a second).
 */
struct sched_seg {
	int64_t start_us;
	int64_t len_us;
	unsigned rate;
};

struct sched {
	GArray *segs; /* struct sched_seg */
	GRand *rand; /* NULL: at even distances */
	guint seg;
	double next_us; /* within the whole schedule */
};

bool sched_init(struct sched *s, const char *text, bool poisson, guint32 seed);
void sched_done(struct sched *s);
bool sched_next(struct sched *s, int64_t *due_us, guint *seg);
int64_t sched_len_us(const struct sched *s);
const struct sched_seg *sched_seg(const struct sched *s, guint i);

#endif
