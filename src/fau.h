#ifndef FAU_H
#define FAU_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The audit trail: records whose hashes form a chain, so that a record that
 * was changed, left out or put in shows. Older records are trimmed in blocks;
 * the hash of the last one trimmed stays as the chain's anchor.
 */
#define FAU_HASH 32
#define FAU_KEEP 16384 /* records kept at least, once there are that many */
#define FAU_BLOCK 1024 /* records trimmed at a time */

/* Who did what, when, from which version, and how it ended. */
struct fau_rec {
	uint64_t seq; /* 1 for the first ever */
	uint64_t index; /* log entry */
	int64_t time_ms; /* leader's clock, since 1970 */
	struct lstr who;
	struct lstr role;
	struct lstr kind;
	struct lstr what;
	uint64_t from; /* version or stamp it was made from */
	struct lstr outcome;
	struct lstr text;
};

struct fau;

struct fau *fau_new(void);
void fau_free(struct fau *a);
void fau_add(struct fau *a, struct fau_rec *r);
uint64_t fau_first(const struct fau *a);
uint64_t fau_last(const struct fau *a);
bool fau_get(const struct fau *a, uint64_t seq, struct fau_rec *r,
	     struct pk_in *in);
const uint8_t *fau_hash(const struct fau *a, uint64_t seq);
uint64_t fau_verify(const struct fau *a);
void fau_chain(const uint8_t *prev, const struct fau_rec *r, uint8_t *out);
void fau_query(const struct fau *a, struct lstr arg, struct pk_out *result);
void fau_snapshot(const struct fau *a, struct pk_out *o);
struct fau *fau_restore(struct pk_in *in);

#endif
