#ifndef TALLY_H
#define TALLY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "hst.h"
#include "sched.h"

/* What became of a request, as its caller sees it. */
enum outcome {
	OUT_WHOLE, /* all of the answer to its own request */
	OUT_NOT_RUN, /* refused, and told that it was not run */
	OUT_UNKNOWN, /* told so, or no answer at all */
	OUT_CUT, /* broken off, and the caller can tell */
	OUT_SHORT, /* complete by its framing, yet not as the target made it */
	OUT_SWAPPED, /* the whole answer to somebody else's request */
	OUT_ERROR, /* answered with an error that says nothing of the above */
	OUT_UNREACHED, /* no address took the connection; nothing was sent */
	OUTCOMES
};

/* A request that is over; its place in the array is its number. */
struct tally_request {
	enum outcome outcome;
	guint seg;
	unsigned sends;
	uint64_t runs; /* at the targets, once collected */
};

/* Sums of a segment of the schedule, or of all. */
struct tally_row {
	uint64_t sent;
	uint64_t n[OUTCOMES];
	uint64_t resent; /* sendings after the first */
	uint64_t no_retry_after; /* refusals that don't say when to come back */
	struct hst *whole; /* us from the due time to the whole answer */
	struct hst *refused; /* the same to the refusal */
	struct hst *late; /* us from the due time to the sending */
	/* by the runs at the targets */
	uint64_t lost; /* whole, but no target ran it */
	uint64_t doubled; /* run more than once */
	uint64_t denied; /* told not run, but run */
	uint64_t unknown_ran; /* unknown, cut or short, and run */
};

struct tally {
	const struct sched *sched;
	GArray *requests; /* struct tally_request */
	struct tally_row *rows; /* by segment, the sum last */
	GArray *ticks; /* struct tally_tick, for the plot */
	unsigned targets; /* asked for their runs */
	unsigned targets_silent; /* that gave none */
};

void tally_init(struct tally *t, const struct sched *sched);
void tally_free(struct tally *t);
size_t tally_begin(struct tally *t, guint seg);
void tally_sent(struct tally *t, size_t no, int64_t late_us);
void tally_refusal_without_retry(struct tally *t, size_t no);
void tally_end(struct tally *t, size_t no, enum outcome outcome, int64_t due_us,
	       int64_t took_us);
void tally_run(struct tally *t, size_t no, uint64_t runs);
void tally_close(struct tally *t);
bool tally_promises_held(const struct tally *t, bool idempotent);
void tally_table(const struct tally *t, FILE *out);
void tally_tsv(const struct tally *t, FILE *out);
bool tally_plot(const struct tally *t, const char *prefix);

#endif
