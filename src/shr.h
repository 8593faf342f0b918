#ifndef SHR_H
#define SHR_H

/* Shares of organisations: whose job goes next where a pool lacks room. */

#include "quo.h"

/* Priority classes of jobs, highest first. */
enum shr_rank {
	SHR_LONG_RUNNING,
	SHR_STARTED,
	SHR_NEW,
	SHR_LATE,
	SHR_WORTHLESS,
	SHR_RANKS
};

/* More than any class that shr_class returns. */
#define SHR_CLASSES 8

/* Ways to order the jobs of a plan. */
enum shr_method {
	SHR_BY_AGE, /* organisations count for nothing */
	SHR_RUNNING, /* dominant share of what runs */
	SHR_RECENT, /* of what runs and ran in the last seconds */
	SHR_RECENT_ANY, /* the same, and a started job waits for its turn too */
	SHR_RECENT_OWED, /* the same, and late work of who is below goes first */
	SHR_METHODS
};

/* What a plan of one pool starts from. */
struct shr_input {
	const struct quo *usage;
	struct org_amount total; /* of all workers of all pools */
	struct org_amount used; /* of that, by all work */
	int64_t now_ms; /* monotonic */
};

/* An organisation in a decision. */
struct shr_party {
	const char *name; /* borrowed from the accounts; NULL: nobody */
	double share; /* of all capacity, 0 to 1 */
	double owed; /* by its weight among those that run or want to */
};

/* The plan that left most jobs waiting for room. */
struct shr_decision {
	const char *pool; /* NULL: no plan lacked room; valid until the next */
	uint32_t parties; /* accounts with jobs in the pool */
	uint32_t waiting; /* of these, with jobs that found no room */
	uint32_t jobs; /* that found no room */
	struct shr_party above; /* the one furthest above what it is owed */
	struct shr_party below; /* that waits, furthest below */
	int64_t at_ms;
	int64_t input_ms; /* when its input was read */
};

struct shr;

struct shr *shr_new(enum shr_method method);
void shr_free(struct shr *s);
bool shr_method_by_name(const char *name, enum shr_method *out);
const char *shr_method_name(enum shr_method method);
void shr_lead(struct shr *s);
void shr_begin(struct shr *s, const struct shr_input *in);
unsigned int shr_class(const struct shr *s, const struct quo_use *use,
		       enum shr_rank rank);
void shr_add(struct shr *s, const struct quo_use *use, unsigned int class_no,
	     void *job);
void *shr_next(struct shr *s);
void shr_charge(struct shr *s, const struct quo_use *use,
		const struct org_amount *each);
void shr_wait(struct shr *s, const struct quo_use *use);
void shr_end(struct shr *s, const char *pool);
void shr_take_decision(struct shr *s, struct shr_decision *out);
size_t shr_bytes(const struct shr *s);

#endif
