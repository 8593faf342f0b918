#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"

/* Shared by the files of the job module; private to them. */

/* Failures stored for a job or worker; suspect_after is at most this. */
#define JOB_FAILURES_MAX 8
/*
 * Maximum attempts of a job whose pool has too few workers to tell whether the
 * job or a worker is at fault.
 */
#define JOB_ATTEMPTS_MAX 5
/* Turns of the oldest job without free capacity before others wait for it. */
#define JOB_HOLD_TURNS 8
/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

/* Largest number of a pool, team or worker. */
#define JOB_NUMBER_MAX 100000

/* The different jobs, or workers, that failed in a row. */
struct job_failures {
	int n;
	uint64_t ids[JOB_FAILURES_MAX];
};

struct job {
	struct job_spec spec;
	enum job_state state;
	enum job_reason reason;
	uint64_t seq; /* position in the order of acceptance */
	uint64_t placement; /* position in the order of placement */
	uint32_t attempt;
	int worker; /* -1: none */
	int stops;
	int failures;
	struct job_size used; /* charged: the larger of declared and actual */
	int64_t lost_until_ms; /* 0; lost: no longer runs after this */
	struct job_failures failed_on; /* workers */
	GList *link; /* in its queue, its worker's jobs or the lost jobs */
};

struct job_worker {
	int pool; /* -1: unknown */
	struct job_size capacity;
	struct job_size used;
	int64_t lease_ms; /* end of its lease */
	bool lease_valid; /* its lease has not expired */
	bool drained;
	bool suspect; /* fails every job */
	struct job_failures failed; /* jobs */
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
	bool dirty; /* a waiting job may be placeable */
	int placed_since_oldest; /* since the oldest job went first */
	int preempted_for; /* urgent jobs for which others were preempted */
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
	uint64_t placements;
	int counts[JOB_STATES];
	int next_pool; /* pool that job_schedule starts with */
};

/* job.c: the table and the state machine of a job */
struct job_worker *job_worker(const struct jobs *j, int worker);
struct job_team *job_team(const struct jobs *j, int team);
struct job_pool *job_pool(const struct jobs *j, int pool);
struct job *job_find(const struct jobs *j, uint64_t id);
bool job_apply_event(struct jobs *j, struct job *b, enum job_event ev,
		     struct job_out *out);
void job_enqueue(struct jobs *j, struct job *b);
bool job_fits(const struct job_size *a, const struct job_size *available);
void job_add_size(struct job_size *to, const struct job_size *by, int sign);
void job_audit(struct job_out *out, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
GList *job_list_sorted(const struct jobs *j);

/* job_place.c: placement and preemption */
void job_expire_leases(struct jobs *j, int64_t now_ms, struct job_out *out);
int job_place_waiting(struct jobs *j, struct job_pool *p, int budget,
		      struct job_out *out);

/* job_blame.c: attribution of failures to jobs or workers */
void job_handle_failure(struct jobs *j, struct job *b, bool begun,
			struct job_out *out);
bool job_failures_contain(const struct job_failures *f, uint64_t id);

#endif
