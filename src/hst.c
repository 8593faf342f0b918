#include "hst.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Larger than the rounding error of a rank below 10^9. */
#define RANK_SLACK 1e-6

struct hst {
	unsigned bits;
	size_t n_buckets;
	uint64_t total;
	uint64_t min;
	uint64_t max;
	double sum;
	uint64_t buckets[];
};

static size_t hst_bucket_of(const struct hst *h, uint64_t value);
static uint64_t hst_bucket_max(const struct hst *h, size_t bucket);

/*
 * Creates an empty histogram with a relative error of 1/2^bits; bits is from 1
 * to HST_BITS_MAX.
 */
struct hst *hst_new(unsigned bits)
{
	size_t n_buckets;
	struct hst *h;

	g_assert(bits >= 1 && bits <= HST_BITS_MAX);
	n_buckets = (size_t)(64 - bits + 1) << bits;
	h = g_malloc(sizeof(*h) + n_buckets * sizeof(h->buckets[0]));
	h->bits = bits;
	h->n_buckets = n_buckets;
	hst_reset(h);
	return h;
}

/* Frees h; NULL is allowed. */
void hst_free(struct hst *h)
{
	g_free(h);
}

/* Removes all values. */
void hst_reset(struct hst *h)
{
	h->total = 0;
	h->min = UINT64_MAX;
	h->max = 0;
	h->sum = 0;
	memset(h->buckets, 0, h->n_buckets * sizeof(h->buckets[0]));
}

/* Adds a value. */
void hst_add(struct hst *h, uint64_t value)
{
	h->buckets[hst_bucket_of(h, value)]++;
	h->total++;
	h->sum += (double)value;
	if (value < h->min)
		h->min = value;
	if (value > h->max)
		h->max = value;
}

/*
 * Adds all values of from, as if each had been added to into. Returns false and
 * changes nothing if their relative errors differ.
 */
bool hst_merge(struct hst *into, const struct hst *from)
{
	size_t i;

	if (into->bits != from->bits)
		return false;
	for (i = 0; i < into->n_buckets; i++)
		into->buckets[i] += from->buckets[i];
	into->total += from->total;
	into->sum += from->sum;
	if (from->min < into->min)
		into->min = from->min;
	if (from->max > into->max)
		into->max = from->max;
	return true;
}

/* Returns the number of values. */
uint64_t hst_count(const struct hst *h)
{
	return h->total;
}

/* Returns the smallest value, exact; 0 if there is none. */
uint64_t hst_min(const struct hst *h)
{
	return h->total ? h->min : 0;
}

/* Returns the largest value, exact; 0 if there is none. */
uint64_t hst_max(const struct hst *h)
{
	return h->max;
}

/* Returns the mean, exact but for rounding; 0 if there is no value. */
double hst_mean(const struct hst *h)
{
	return h->total ? h->sum / (double)h->total : 0;
}

/*
 * Returns the given percentile: the smallest value that at least percent % of
 * all values do not exceed. The result is never too small, and too large by at
 * most 1/2^bits of itself; 0 if there is no value.
 */
uint64_t hst_percentile(const struct hst *h, double percent)
{
	uint64_t rank;
	uint64_t count = 0;
	uint64_t top;
	size_t i;

	g_assert(percent >= 0 && percent <= 100);
	/*
	 * 99.9 is no binary fraction: its rounding error must not raise the
	 * rank by one.
	 */
	rank = (uint64_t)ceil(percent * (double)h->total / 100 - RANK_SLACK);
	if (rank < 1)
		rank = 1;
	for (i = 0; i < h->n_buckets; i++) {
		count += h->buckets[i];
		if (count < rank)
			continue;
		top = hst_bucket_max(h, i);
		return top < h->max ? top : h->max;
	}
	return h->max;
}

/* Returns the index of a value's bucket. */
static size_t hst_bucket_of(const struct hst *h, uint64_t value)
{
	unsigned shift;

	if (value >> h->bits == 0)
		return (size_t)value;
	shift = 63 - (unsigned)__builtin_clzll(value) - h->bits;
	return ((size_t)shift << h->bits) + (size_t)(value >> shift);
}

/* Returns the largest value of a bucket. */
static uint64_t hst_bucket_max(const struct hst *h, size_t bucket)
{
	size_t shift = bucket >> h->bits;
	uint64_t mantissa;

	if (shift == 0)
		return bucket;
	shift--;
	mantissa = bucket - (shift << h->bits);
	/* Wraps to the largest value for the last bucket, as intended. */
	return ((mantissa + 1) << shift) - 1;
}
