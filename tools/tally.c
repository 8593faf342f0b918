#include "tally.h"

#include <errno.h>

#define TICK_US 100000
#define TICK_BITS 4 /* of the latencies in a tick: 1/16 is enough to draw */
#define MS(us) ((double)(us) / 1000)

static const char *const outcome_names[OUTCOMES] = {
	[OUT_WHOLE] = "whole",	   [OUT_NOT_RUN] = "not_run",
	[OUT_UNKNOWN] = "unknown", [OUT_CUT] = "cut",
	[OUT_SHORT] = "short",	   [OUT_SWAPPED] = "swapped",
	[OUT_ERROR] = "error",	   [OUT_UNREACHED] = "unreached",
};

/* What fell due within one tick of the run. */
struct tally_tick {
	uint64_t n[OUTCOMES];
	struct hst *whole;
};

/* Starts with nothing counted; sched is kept by the caller. */
void tally_init(struct tally *t, const struct sched *sched)
{
	guint n = sched->segs->len + 1;
	guint i;

	*t = (struct tally){
		.sched = sched,
		.requests =
			g_array_new(FALSE, TRUE, sizeof(struct tally_request)),
		.rows = g_new0(struct tally_row, n),
		.ticks = g_array_new(FALSE, TRUE, sizeof(struct tally_tick)),
	};
	for (i = 0; i < n; i++) {
		t->rows[i].whole = hst_new(HST_BITS);
		t->rows[i].refused = hst_new(HST_BITS);
		t->rows[i].late = hst_new(HST_BITS);
	}
}

/* Frees all that was counted. */
void tally_free(struct tally *t)
{
	guint i;

	for (i = 0; i <= t->sched->segs->len; i++) {
		hst_free(t->rows[i].whole);
		hst_free(t->rows[i].refused);
		hst_free(t->rows[i].late);
	}
	for (i = 0; i < t->ticks->len; i++)
		hst_free(g_array_index(t->ticks, struct tally_tick, i).whole);
	g_array_free(t->ticks, TRUE);
	g_array_free(t->requests, TRUE);
	g_free(t->rows);
}

static struct tally_request *tally_request(const struct tally *t, size_t no)
{
	return &g_array_index(t->requests, struct tally_request, no);
}

static struct tally_tick *tally_tick(struct tally *t, int64_t due_us)
{
	guint at = (guint)(due_us / TICK_US);
	struct tally_tick *tick;

	if (t->ticks->len <= at)
		g_array_set_size(t->ticks, at + 1);
	tick = &g_array_index(t->ticks, struct tally_tick, at);
	if (!tick->whole)
		tick->whole = hst_new(TICK_BITS);
	return tick;
}

/* Counts a request of a segment that fell due; the result is its number. */
size_t tally_begin(struct tally *t, guint seg)
{
	struct tally_request r = {.outcome = OUT_UNKNOWN, .seg = seg};

	g_array_append_val(t->requests, r);
	t->rows[seg].sent++;
	return t->requests->len - 1;
}

/* Counts a sending of request no, so long after it fell due. */
void tally_sent(struct tally *t, size_t no, int64_t late_us)
{
	struct tally_request *r = tally_request(t, no);

	if (r->sends++)
		t->rows[r->seg].resent++;
	else
		hst_add(t->rows[r->seg].late, (uint64_t)late_us);
}

/* Counts a refusal that doesn't say when to come back. */
void tally_refusal_without_retry(struct tally *t, size_t no)
{
	t->rows[tally_request(t, no)->seg].no_retry_after++;
}

/* Counts how request no ended, so long after it fell due. */
void tally_end(struct tally *t, size_t no, enum outcome outcome, int64_t due_us,
	       int64_t took_us)
{
	struct tally_request *r = tally_request(t, no);
	struct tally_row *row = &t->rows[r->seg];
	struct tally_tick *tick = tally_tick(t, due_us);

	r->outcome = outcome;
	row->n[outcome]++;
	tick->n[outcome]++;
	if (outcome == OUT_WHOLE) {
		hst_add(row->whole, (uint64_t)took_us);
		hst_add(tick->whole, (uint64_t)took_us);
	} else if (outcome == OUT_NOT_RUN) {
		hst_add(row->refused, (uint64_t)took_us);
	}
}

/* Notes that a target began request no so many times. */
void tally_run(struct tally *t, size_t no, uint64_t runs)
{
	if (no < t->requests->len)
		tally_request(t, no)->runs += runs;
}

/*
 * A request that a target ran although it was told not run breaks the
 * promise; one that nobody was reached for must not have run either.
 */
static void tally_judge(const struct tally *t, const struct tally_request *r)
{
	struct tally_row *row = &t->rows[r->seg];

	if (r->runs > 1)
		row->doubled++;
	switch (r->outcome) {
	case OUT_WHOLE:
		row->lost += r->runs == 0;
		break;
	case OUT_NOT_RUN:
	case OUT_UNREACHED:
		row->denied += r->runs > 0;
		break;
	case OUT_UNKNOWN:
	case OUT_CUT:
	case OUT_SHORT:
		row->unknown_ran += r->runs > 0;
		break;
	default:
		break;
	}
}

static void tally_add_row(struct tally_row *into, const struct tally_row *from)
{
	int i;

	into->sent += from->sent;
	for (i = 0; i < OUTCOMES; i++)
		into->n[i] += from->n[i];
	into->resent += from->resent;
	into->no_retry_after += from->no_retry_after;
	into->lost += from->lost;
	into->doubled += from->doubled;
	into->denied += from->denied;
	into->unknown_ran += from->unknown_ran;
	hst_merge(into->whole, from->whole);
	hst_merge(into->refused, from->refused);
	hst_merge(into->late, from->late);
}

/* Compares outcomes with runs and sums up; nothing is counted after it. */
void tally_close(struct tally *t)
{
	guint n = t->sched->segs->len;
	guint i;

	for (i = 0; i < t->requests->len; i++)
		tally_judge(t, tally_request(t, i));
	for (i = 0; i < n; i++)
		tally_add_row(&t->rows[n], &t->rows[i]);
}

/*
 * Whether no request was lost, run though told not run, swapped or short,
 * and, where it is not idempotent, none was run twice. A target that gave no
 * runs may hold those that seem lost: they are then let pass.
 */
bool tally_promises_held(const struct tally *t, bool idempotent)
{
	const struct tally_row *sum = &t->rows[t->sched->segs->len];

	if (sum->n[OUT_SHORT] || sum->n[OUT_SWAPPED] || sum->denied)
		return false;
	if (sum->lost && t->targets && !t->targets_silent)
		return false;
	return idempotent || sum->doubled == 0;
}

static double tally_seconds(const struct tally *t, guint seg)
{
	if (seg == t->sched->segs->len)
		return (double)sched_len_us(t->sched) / G_USEC_PER_SEC;
	return (double)sched_seg(t->sched, seg)->len_us / G_USEC_PER_SEC;
}

static void tally_name(const struct tally *t, guint seg, char *name, gsize len)
{
	const struct sched_seg *s;

	if (seg == t->sched->segs->len) {
		g_strlcpy(name, "all", len);
		return;
	}
	s = sched_seg(t->sched, seg);
	g_snprintf(name, len, "%gs@%u", (double)s->len_us / G_USEC_PER_SEC,
		   s->rate);
}

static void tally_table_row(const struct tally *t, guint seg, FILE *out)
{
	const struct tally_row *row = &t->rows[seg];
	char name[32];
	int i;

	tally_name(t, seg, name, sizeof(name));
	fprintf(out, "%-12s %8" G_GUINT64_FORMAT, name, row->sent);
	for (i = 0; i < OUTCOMES; i++)
		fprintf(out, " %9" G_GUINT64_FORMAT, row->n[i]);
	fprintf(out, " %9.1f %8.2f %8.2f %8.2f %8.2f\n",
		(double)row->n[OUT_WHOLE] / tally_seconds(t, seg),
		MS(hst_percentile(row->whole, 50)),
		MS(hst_percentile(row->whole, 99)),
		MS(hst_percentile(row->whole, 99.9)), MS(hst_max(row->whole)));
}

/* Writes the counts as a table for people. */
void tally_table(const struct tally *t, FILE *out)
{
	guint n = t->sched->segs->len;
	const struct tally_row *sum = &t->rows[n];
	guint i;

	fprintf(out, "%-12s %8s", "segment", "due");
	for (i = 0; i < OUTCOMES; i++)
		fprintf(out, " %9s", outcome_names[i]);
	fprintf(out, " %9s %8s %8s %8s %8s\n", "whole/s", "p50 ms", "p99 ms",
		"p99.9 ms", "max ms");
	for (i = 0; i <= n; i++)
		tally_table_row(t, i, out);
	fprintf(out,
		"refusals: p99 %.2f ms, %" G_GUINT64_FORMAT
		" without Retry-After; sent again: %" G_GUINT64_FORMAT
		"; this tool was late by p99 %.2f ms\n",
		MS(hst_percentile(sum->refused, 99)), sum->no_retry_after,
		sum->resent, MS(hst_percentile(sum->late, 99)));
	if (t->targets == 0) {
		fprintf(out, "runs: no target was asked\n");
		return;
	}
	fprintf(out,
		"runs: lost %" G_GUINT64_FORMAT ", doubled %" G_GUINT64_FORMAT
		", run though told not run %" G_GUINT64_FORMAT
		", unknown to the caller but run %" G_GUINT64_FORMAT
		"; %u targets asked, %u silent%s\n",
		sum->lost, sum->doubled, sum->denied, sum->unknown_ran,
		t->targets, t->targets_silent,
		t->targets_silent ? " (they may hold what seems lost)" : "");
}

/* Writes the counts as tab-separated lines under a line of names. */
void tally_tsv(const struct tally *t, FILE *out)
{
	char name[32];
	guint i;
	int o;

	fprintf(out, "segment\tseconds\tdue");
	for (o = 0; o < OUTCOMES; o++)
		fprintf(out, "\t%s", outcome_names[o]);
	fprintf(out, "\tresent\tno_retry_after\tlost\tdoubled\t"
		     "run_though_not_run\tunknown_ran\ttargets\t"
		     "targets_silent\tp50_ms\tp90_ms\tp99_ms\tp99.9_ms\tmax_ms"
		     "\trefused_p99_ms\tlate_p99_ms\n");
	for (i = 0; i <= t->sched->segs->len; i++) {
		const struct tally_row *row = &t->rows[i];

		tally_name(t, i, name, sizeof(name));
		fprintf(out, "%s\t%g\t%" G_GUINT64_FORMAT, name,
			tally_seconds(t, i), row->sent);
		for (o = 0; o < OUTCOMES; o++)
			fprintf(out, "\t%" G_GUINT64_FORMAT, row->n[o]);
		fprintf(out,
			"\t%" G_GUINT64_FORMAT "\t%" G_GUINT64_FORMAT
			"\t%" G_GUINT64_FORMAT "\t%" G_GUINT64_FORMAT
			"\t%" G_GUINT64_FORMAT "\t%" G_GUINT64_FORMAT
			"\t%u\t%u",
			row->resent, row->no_retry_after, row->lost,
			row->doubled, row->denied, row->unknown_ran, t->targets,
			t->targets_silent);
		fprintf(out, "\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n",
			MS(hst_percentile(row->whole, 50)),
			MS(hst_percentile(row->whole, 90)),
			MS(hst_percentile(row->whole, 99)),
			MS(hst_percentile(row->whole, 99.9)),
			MS(hst_max(row->whole)),
			MS(hst_percentile(row->refused, 99)),
			MS(hst_percentile(row->late, 99)));
	}
}

static FILE *tally_open(const char *prefix, const char *suffix)
{
	char *path = g_strconcat(prefix, suffix, NULL);
	FILE *f = fopen(path, "we");

	if (!f)
		fprintf(stderr, "%s: %s\n", path, g_strerror(errno));
	g_free(path);
	return f;
}

static bool tally_plot_data(const struct tally *t, const char *prefix)
{
	const double per_second = (double)G_USEC_PER_SEC / TICK_US;
	FILE *f = tally_open(prefix, ".dat");
	guint i;

	if (!f)
		return false;
	fprintf(f, "# s whole/s not_run/s others/s p50_ms p99_ms\n");
	for (i = 0; i < t->ticks->len; i++) {
		const struct tally_tick *tick =
			&g_array_index(t->ticks, struct tally_tick, i);
		uint64_t others = 0;
		int o;

		for (o = OUT_UNKNOWN; o < OUTCOMES; o++)
			others += tick->n[o];
		fprintf(f, "%g %g %g %g", i / per_second,
			(double)tick->n[OUT_WHOLE] * per_second,
			(double)tick->n[OUT_NOT_RUN] * per_second,
			(double)others * per_second);
		if (tick->whole && hst_count(tick->whole))
			fprintf(f, " %g %g\n",
				MS(hst_percentile(tick->whole, 50)),
				MS(hst_percentile(tick->whole, 99)));
		else
			fprintf(f, " NaN NaN\n");
	}
	return fclose(f) == 0;
}

/*
 * Writes PREFIX.dat and PREFIX.gp, from which "gnuplot PREFIX.gp" draws
 * PREFIX.svg: what callers saw by the time it fell due.
 */
bool tally_plot(const struct tally *t, const char *prefix)
{
	FILE *f;

	if (!tally_plot_data(t, prefix))
		return false;
	f = tally_open(prefix, ".gp");
	if (!f)
		return false;
	fprintf(f,
		"set terminal svg size 900,600 background rgb 'white'\n"
		"set output '%s.svg'\n"
		"set multiplot layout 2,1\n"
		"set key outside top horizontal\nset grid\n"
		"set ylabel 'requests a second'\nset yrange [0:*]\n"
		"plot '%s.dat' using 1:2 with lines title 'whole', "
		"'' using 1:3 with lines title 'refused', "
		"'' using 1:4 with lines title 'others'\n"
		"set xlabel 'due, seconds'\nset ylabel 'ms'\n"
		"plot '%s.dat' using 1:5 with lines title 'p50', "
		"'' using 1:6 with lines title 'p99'\n",
		prefix, prefix, prefix);
	return fclose(f) == 0;
}
