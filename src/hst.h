#ifndef HST_H
#define HST_H

/* Log-linear histogram, for percentiles of latencies and the like. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A log-linear histogram of unsigned integers. Each power of two is split into
 * 2^bits buckets of equal width, so a value read back is too large by at most
 * 1/2^bits of itself, and values below 2^bits are exact.
 */
struct hst;

/* Relative error 1/128 in 58 KB: enough for latencies in microseconds. */
#define HST_BITS 7
#define HST_BITS_MAX 14

struct hst *hst_new(unsigned bits);
void hst_free(struct hst *h);
void hst_reset(struct hst *h);
void hst_add(struct hst *h, uint64_t value);
bool hst_merge(struct hst *into, const struct hst *from);
uint64_t hst_count(const struct hst *h);
uint64_t hst_min(const struct hst *h);
uint64_t hst_max(const struct hst *h);
double hst_mean(const struct hst *h);
uint64_t hst_percentile(const struct hst *h, double percent);

#endif
