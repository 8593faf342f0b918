#ifndef ITK_H
#define ITK_H

/* Intake control: which jobs are refused for want of room. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Accounts of the work that waits, by pool and organisation, and the decision
 * whether a job still has use in its place in line. Does no input or output;
 * the caller counts the work from time to time and passes the time in.
 */
struct itk;

/* A way to tell how much work is served before a job. */
struct itk_way;

/* Why a job is accepted or refused. */
enum itk_why {
	ITK_ROOM, /* accepted: it can be of use */
	ITK_UNKNOWN, /* accepted: the length of the line isn't known */
	ITK_EXEMPT, /* accepted: work that is never refused for its line */
	ITK_LINE, /* refused: it would end too late to be of use */
	ITK_MEMORY, /* refused: too many live jobs */
	ITK_WHYS
};

/* A pool, as measured by the autoscaler. */
struct itk_capacity {
	double cores; /* of its VMs, and of those being moved to it */
	double used; /* cores in use */
	double load; /* cores that its jobs can use */
	double entitled; /* its part of all VMs; 0: not divided */
};

/*
 * A job that waits, or asks to. Strings are borrowed. Jobs that wait are counted
 * in the order in which they were accepted.
 */
struct itk_job {
	const char *id;
	const char *pool;
	const char *org; /* "": none */
	double weight; /* of its organisation */
	double limit_cores; /* of its organisation; 0: none */
	double core_s; /* work that waits and can be of use; 0: none */
	int64_t life_ms; /* time within which its turn must come; 0: any */
	uint64_t bytes; /* memory that the job takes while it lives */
};

/* What else a decision needs to know about a job. */
struct itk_need {
	bool exempt; /* never refused for its line */
	bool known; /* its times are learned, and the pools are known */
	int64_t chain_ms; /* time of its longest chain of steps */
	int64_t objective_ms; /* time within which it is of full use */
	int64_t limit_ms; /* time after which it is of no use */
};

struct itk_verdict {
	enum itk_why why;
	int64_t line_ms; /* 0: no line, or not known */
	int64_t age_ms; /* of the count of work */
	int retry_after_s; /* 0: accepted */
};

/* Bounds of live jobs; 0: none. */
struct itk_bounds {
	uint64_t jobs;
	uint64_t bytes;
};

/* Whether the job table has a job that was accepted. */
typedef bool (*itk_stored_fn)(void *arg, const char *id);

const struct itk_way *itk_way(const char *name);
const char *itk_way_names(void);
const char *itk_why_name(enum itk_why why);
bool itk_refuses(enum itk_why why);
struct itk_bounds itk_bounds(uint64_t memory);

struct itk *itk_new(const struct itk_way *way, struct itk_bounds bounds);
void itk_free(struct itk *k);
void itk_reset(struct itk *k);
void itk_count_begin(struct itk *k);
void itk_count_pool(struct itk *k, const char *pool,
		    const struct itk_capacity *c);
void itk_count_job(struct itk *k, const struct itk_job *job);
void itk_count_end(struct itk *k, itk_stored_fn stored, void *arg,
		   int64_t now_ms);
bool itk_is_joining(const struct itk *k, const char *id);
struct itk_verdict itk_decide(struct itk *k, const struct itk_job *job,
			      const struct itk_need *need, int64_t now_ms);
void itk_join(struct itk *k, const struct itk_job *job);
uint64_t itk_count_refused(const struct itk *k, enum itk_why why);
void itk_append_metrics(const struct itk *k, GString *out);

#endif
