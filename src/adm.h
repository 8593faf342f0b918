#ifndef ADM_H
#define ADM_H

/* Admission control and load balancing of an entry VM. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lstr.h"

/*
 * An instance decides for each request of one entry VM whether to run it (and
 * on which target), queue it, shift it to another zone, retry it or refuse it.
 * The module does no I/O and reads no clock: each call gets the time in
 * microseconds of a monotonic clock, and the same seed and sequence of calls
 * give the same decisions. An instance is to be used by one thread only.
 */
struct adm;

#define ADM_ZONES_MAX 16 /* zones are numbered from 0 */
#define ADM_POOLS_MAX 1024 /* pools are numbered from 0 */
#define ADM_NEVER INT64_MAX /* a time that is not reached */

/* Identifies a running, queued or shifted request; 0 is never used. */
typedef uint64_t adm_ticket;

/* Settings of an instance; adm_set_entries changes the numbers of entry VMs. */
struct adm_config {
	uint64_t seed; /* of the pseudo-random numbers */
	int zone; /* own zone, 0 to ADM_ZONES_MAX - 1 */
	int entries; /* entry VMs in the own zone, including this one */
	int entries_elsewhere; /* entry VMs in all other zones together */
	uint32_t queue_max; /* requests held in all queues; 0: 20000 */
	int choices; /* targets compared for a placement; 0: 2 */
};

/* Limits of a pool (service), as configured by the operators. */
struct adm_pool_spec {
	int slots; /* concurrent requests per target, from all entry VMs */
	int conns; /* connections per target, from all entry VMs */
	int64_t queue_us; /* longest time in the queue before a refusal, us */
	int64_t deadline_us; /* for a request that states none, us from now */
	int priority; /* a larger one may use more of the queue memory */
};

/* Whether a target gets new requests. */
enum adm_target_state {
	ADM_SERVING,
	ADM_NO_NEW_WORK, /* leaving, drained or expired; running work goes on */
	ADM_REMOVED, /* as above; freed once no request runs on the target */
};

struct adm_target_spec {
	uint32_t pool;
	enum adm_target_state state;
	int64_t lease_until_us; /* no placements from then on, or ADM_NEVER */
};

/* Priority classes, the highest first. */
enum adm_class {
	ADM_URGENT, /* requests of the duty officer */
	ADM_NORMAL,
	ADM_BATCH, /* may be delayed, but must finish */
	ADM_CLASSES
};

struct adm_request {
	uint32_t pool;
	struct lstr caller; /* for fair queueing; only a hash is kept */
	enum adm_class class;
	int64_t deadline_us; /* point in time; 0: the pool's deadline_us */
	bool repeatable; /* idempotent, or deduplicated by its key */
	bool shifted; /* was sent by an entry VM of another zone */
	uint64_t size_hint; /* declared size, bytes or units; 0: unknown */
};

/* What to do with a request. */
enum adm_kind {
	ADM_RUN, /* send it to .target now, report the end by adm_done */
	ADM_QUEUED, /* wait for adm_poll; adm_cancel if the caller leaves */
	ADM_SHIFT, /* send it to an entry VM of .zone now, then adm_done */
	ADM_REFUSE, /* answer now with .reason and .retry_after_ms; not run */
};

/* Why a request is refused. */
enum adm_reason {
	ADM_OK,
	ADM_NO_POOL, /* unknown pool */
	ADM_NO_TARGETS, /* no target of the pool accepts work */
	ADM_DEADLINE_SHORT, /* too short even for an idle target */
	ADM_DEADLINE_LOAD, /* can't be met at the current load */
	ADM_QUEUE_WAIT, /* would wait, or has waited, longer than allowed */
	ADM_QUEUE_FULL, /* no queue memory for this caller or pool */
	ADM_ZONE_FULL, /* shifted to this zone, which has no spare capacity */
	ADM_MAY_HAVE_RUN, /* not repeatable, and its outcome is unknown */
	ADM_RETRY_BUDGET, /* retry budget spent: it would add to an overload */
	ADM_RETRY_COUNT, /* the maximum number of attempts was made */
	ADM_REASONS
};

/* The decision about a request. */
struct adm_verdict {
	enum adm_kind kind;
	enum adm_reason reason;
	adm_ticket ticket; /* no longer valid for ADM_REFUSE */
	uint64_t target; /* handle, for ADM_RUN */
	int zone; /* for ADM_SHIFT */
	uint32_t retry_after_ms; /* for ADM_REFUSE; 0: don't retry */
	void *user; /* as given to adm_offer */
};

/* How an attempt ended. Only the time of ADM_DONE_OK is a service time. */
enum adm_outcome {
	ADM_DONE_OK, /* complete answer, also one with a client error (4xx) */
	ADM_DONE_BUSY, /* overload refusal by target or zone: not run */
	ADM_DONE_UNSENT, /* no connection: not run */
	ADM_DONE_FAILED, /* 5xx, reset or truncated: may have run */
	ADM_DONE_TIMEOUT, /* no answer in time: may have run */
	ADM_DONE_CANCELLED, /* the caller left; no sign of target health */
};

/* The end of an attempt and what the answer reported. */
struct adm_result {
	enum adm_outcome outcome;
	int64_t service_us; /* from sending to the complete answer */
	/*
	 * Slots busy at the target when it answered, not counting this
	 * request; -1 if the answer doesn't report them.
	 */
	int busy;
};

/* Counters since the start and, where marked so, current values. */
struct adm_stats {
	uint64_t offered;
	uint64_t started; /* sent to a target, including retries and hedges */
	uint64_t queued;
	uint64_t shifted;
	uint64_t refused[ADM_REASONS];
	uint64_t done_ok;
	uint64_t done_busy;
	uint64_t done_failed; /* failed, unsent or timed out */
	uint64_t cancelled; /* by their callers */
	uint64_t retries;
	uint64_t hedges;
	uint64_t ejected;
	uint64_t restored;
	uint64_t probes;
	uint64_t wait_us; /* total time in queue of requests that then ran */
	uint32_t in_queue; /* current */
	uint32_t in_flight; /* current, excluding shifted requests */
	uint32_t in_shift; /* current */
};

/* Spare capacity of a zone for a pool, in concurrent requests. */
struct adm_spare_capacity {
	uint32_t slots; /* all slots of the zone's healthy targets */
	uint32_t free; /* for work of other zones, less the zone's reserve */
};

struct adm *adm_new(const struct adm_config *config);
void adm_free(struct adm *a);
void adm_set_entries(struct adm *a, int entries, int entries_elsewhere);

bool adm_pool_set(struct adm *a, uint32_t pool,
		  const struct adm_pool_spec *spec);
bool adm_target_set(struct adm *a, int64_t now, uint64_t handle,
		    const struct adm_target_spec *spec);
void adm_target_set_busy(struct adm *a, int64_t now, uint64_t handle, int busy);

int adm_idle_conns(const struct adm *a, uint32_t pool);

struct adm_verdict adm_offer(struct adm *a, int64_t now,
			     const struct adm_request *request, void *user);
bool adm_done(struct adm *a, int64_t now, adm_ticket ticket,
	      const struct adm_result *result);
struct adm_verdict adm_retry(struct adm *a, int64_t now, adm_ticket ticket,
			     const struct adm_result *result);
struct adm_verdict adm_hedge(struct adm *a, int64_t now, adm_ticket ticket);
bool adm_cancel(struct adm *a, int64_t now, adm_ticket ticket);
size_t adm_poll(struct adm *a, int64_t now, struct adm_verdict *out, size_t max,
		int64_t *next);

void adm_set_zone_capacity(struct adm *a, int64_t now, uint32_t pool, int zone,
			   struct adm_spare_capacity capacity, int64_t age_us);
struct adm_spare_capacity adm_spare_capacity(struct adm *a, int64_t now,
					     uint32_t pool);

struct adm_stats adm_stats(const struct adm *a);
const char *adm_reason_name(enum adm_reason reason);

#endif
