#include "hst.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Larger than the rounding of a rank below 10^9. */
#define RANK_SLACK 1e-6

struct hst {
	unsigned bits;
	size_t n_cells;
	uint64_t total;
	uint64_t min;
	uint64_t max;
	double sum;
	uint64_t cells[];
};

static size_t hst_cell(const struct hst *h, uint64_t value);
static uint64_t hst_cell_top(const struct hst *h, size_t cell);

/* An empty histogram with a relative error of 1/2^bits. */
struct hst *hst_new(unsigned bits)
{
	size_t n_cells;
	struct hst *h;

	g_assert(bits >= 1 && bits <= HST_BITS_MAX);
	n_cells = (size_t)(64 - bits + 1) << bits;
	h = g_malloc(sizeof(*h) + n_cells * sizeof(h->cells[0]));
	h->bits = bits;
	h->n_cells = n_cells;
	hst_reset(h);
	return h;
}

/* Frees h; NULL is let pass. */
void hst_free(struct hst *h)
{
	g_free(h);
}

/* Forgets all values. */
void hst_reset(struct hst *h)
{
	h->total = 0;
	h->min = UINT64_MAX;
	h->max = 0;
	h->sum = 0;
	memset(h->cells, 0, h->n_cells * sizeof(h->cells[0]));
}

/* Counts a value. */
void hst_add(struct hst *h, uint64_t value)
{
	h->cells[hst_cell(h, value)]++;
	h->total++;
	h->sum += (double)value;
	if (value < h->min)
		h->min = value;
	if (value > h->max)
		h->max = value;
}

/*
 * Adds all values of from, as if each had been added to into. False, with
 * nothing done, where the two differ in their relative error.
 */
bool hst_merge(struct hst *into, const struct hst *from)
{
	size_t i;

	if (into->bits != from->bits)
		return false;
	for (i = 0; i < into->n_cells; i++)
		into->cells[i] += from->cells[i];
	into->total += from->total;
	into->sum += from->sum;
	if (from->min < into->min)
		into->min = from->min;
	if (from->max > into->max)
		into->max = from->max;
	return true;
}

/* How many values were counted. */
uint64_t hst_count(const struct hst *h)
{
	return h->total;
}

/* The smallest value, exact; 0 for none. */
uint64_t hst_min(const struct hst *h)
{
	return h->total ? h->min : 0;
}

/* The largest value, exact; 0 for none. */
uint64_t hst_max(const struct hst *h)
{
	return h->max;
}

/* The mean, exact but for rounding; 0 for none. */
double hst_mean(const struct hst *h)
{
	return h->total ? h->sum / (double)h->total : 0;
}

/*
 * The smallest value that at least percent of all values do not exceed; never
 * too small, too large by at most 1/2^bits of itself. 0 for an empty one.
 */
uint64_t hst_percentile(const struct hst *h, double percent)
{
	uint64_t want;
	uint64_t seen = 0;
	uint64_t top;
	size_t i;

	g_assert(percent >= 0 && percent <= 100);
	/* 99.9 is no binary fraction: its error must not ask for one more. */
	want = (uint64_t)ceil(percent * (double)h->total / 100 - RANK_SLACK);
	if (want < 1)
		want = 1;
	for (i = 0; i < h->n_cells; i++) {
		seen += h->cells[i];
		if (seen < want)
			continue;
		top = hst_cell_top(h, i);
		return top < h->max ? top : h->max;
	}
	return h->max;
}

static size_t hst_cell(const struct hst *h, uint64_t value)
{
	unsigned shift;

	if (value >> h->bits == 0)
		return (size_t)value;
	shift = 63 - (unsigned)__builtin_clzll(value) - h->bits;
	return ((size_t)shift << h->bits) + (size_t)(value >> shift);
}

static uint64_t hst_cell_top(const struct hst *h, size_t cell)
{
	size_t shift = cell >> h->bits;
	uint64_t lead;

	if (shift == 0)
		return cell;
	shift--;
	lead = cell - (shift << h->bits);
	/* Wraps to the largest value for the last cell, as it must. */
	return ((lead + 1) << shift) - 1;
}
