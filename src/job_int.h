#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"

/* What the files of the job module share; nobody else includes this. */

/* Failures remembered of a job or worker; suspect_after is at most this. */
#define JOB_FAILS_MAX 8
/* Attempts of a job whose pool has too few workers to tell who is at fault. */
#define JOB_ATTEMPTS_MAX 5
/* Turns of the oldest job, without room for it, before others are held. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

/* Different ones that failed, in a row. */
struct job_fails {
	int n;
	uint64_t who[JOB_FAILS_MAX];
};

struct job {
	struct job_spec spec;
	enum job_state state;
	enum job_why why;
	uint64_t seq; /* of its acceptance */
	uint64_t turn; /* of its placement */
	uint32_t attempt;
	int worker; /* -1: none */
	int stops;
	int failures;
	struct job_size used; /* what it is reckoned with */
	int64_t ends_ms; /* lost: it can't be running any more */
	struct job_fails failed_on; /* workers */
	GList *link; /* in its queue, or in the list of its worker */
};

struct job_worker {
	int pool; /* -1: not known */
	struct job_size capacity;
	struct job_size used;
	int64_t lease_ms;
	bool up; /* lease has not run out */
	bool drained;
	bool suspect; /* fails everything */
	struct job_fails failed; /* jobs */
	GQueue jobs; /* struct job */
};

struct job_team {
	bool known;
	struct job_size quota;
	struct job_size used;
	int priority[JOB_CLASSES];
};

struct job_pool {
	bool known;
	bool dirty; /* something may be placed */
	int placed; /* since the oldest had its turn */
	int owed; /* urgent jobs for which others were stopped */
	GArray *workers; /* int */
	GPtrArray *queues; /* GQueue of struct job, by team and class */
};

struct jobs {
	struct job_config config;
	GHashTable *by_id; /* uint64_t * in the job to struct job */
	GArray *workers; /* struct job_worker */
	GArray *teams; /* struct job_team */
	GArray *pools; /* struct job_pool */
	GQueue lost; /* struct job */
	uint64_t seq;
	uint64_t turns;
	int counts[JOB_STATES];
	int next_pool; /* to be looked at for placement */
};

/* job.c: the table and each job's way through its chart */
struct job_worker *job_worker(const struct jobs *j, int worker);
struct job_team *job_team(const struct jobs *j, int team);
struct job_pool *job_pool(const struct jobs *j, int pool);
struct job *job_find(const struct jobs *j, uint64_t id);
bool job_event(struct jobs *j, struct job *b, enum job_event ev,
	       struct job_out *out);
void job_enqueue(struct jobs *j, struct job *b);
bool job_fits(const struct job_size *a, const struct job_size *room);
void job_add(struct job_size *to, const struct job_size *by, int sign);
void job_audit(struct job_out *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
GList *job_sorted(const struct jobs *j);

/* job_place.c: who runs where, and who has to stop for it */
void job_expire(struct jobs *j, int64_t now_ms, struct job_out *out);
int job_fill(struct jobs *j, struct job_pool *p, int budget,
	     struct job_out *out);

/* job_blame.c: whether the job or the worker is at fault */
void job_failed(struct jobs *j, struct job *b, bool begun, struct job_out *out);
bool job_fails_has(const struct job_fails *f, uint64_t who);

#endif
