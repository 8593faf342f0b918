#ifndef ADM_H
#define ADM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lstr.h"

/*
 * Decisions of one entry VM under load: admitting, queueing, refusing,
 * placing, shifting to another zone, retrying. Without I/O and without a
 * clock: every call is given the time in microseconds of a monotonic clock,
 * and the same seed and calls give the same decisions. One thread.
 */
struct adm;

#define ADM_ZONES_MAX 16
#define ADM_POOLS_MAX 1024
#define ADM_NEVER INT64_MAX

/* Names a running, queued or shifted request; 0 names none. */
typedef uint64_t adm_ticket;

/* What the VM knows about itself; may change while running. */
struct adm_config {
	uint64_t seed;
	int zone; /* our own, 0 to ADM_ZONES_MAX - 1 */
	int entries; /* entry VMs in our zone, ourselves included */
	int entries_away; /* entry VMs in all other zones together */
	uint32_t queue_max; /* requests held in all queues; 0: 20000 */
	int choices; /* targets compared for a placement; 0: 2 */
};

/* A pool (service) as the operators declare it. */
struct adm_pool_spec {
	int slots; /* requests at once a target runs, for all entry VMs */
	int conns; /* connections a target takes, from all entry VMs */
	int64_t queue_us; /* longest wait before a refusal */
	int64_t deadline_us; /* for a request that states none */
	int priority; /* larger keeps its queue longer when memory is short */
};

enum adm_target_state {
	ADM_SERVING,
	ADM_NO_NEW_WORK, /* leaving, drained or lapsed; running work goes on */
	ADM_GONE, /* as above, and forgotten once nothing runs there */
};

struct adm_target_spec {
	uint32_t pool;
	enum adm_target_state state;
	int64_t lease_until_us; /* nothing is placed from then on; ADM_NEVER */
};

enum adm_class {
	ADM_URGENT, /* the duty officer's */
	ADM_NORMAL,
	ADM_BATCH, /* may wait, must finish */
	ADM_CLASSES
};

struct adm_request {
	uint32_t pool;
	struct lstr caller; /* who asks, for fairness; copied as a hash */
	enum adm_class class;
	int64_t deadline_us; /* moment; 0: the pool's from now on */
	bool repeatable; /* idempotent, or keyed so that twice is once */
	bool shifted; /* came from another zone's entry VM */
	uint64_t size_hint; /* bytes or units, as declared; 0: unknown */
};

enum adm_kind {
	ADM_RUN, /* send it to .target now, then adm_done */
	ADM_QUEUED, /* wait for adm_poll; adm_cancel if the caller leaves */
	ADM_SHIFT, /* send it to an entry VM of .zone now, then adm_done */
	ADM_REFUSE, /* answer now with .reason and .retry_after_ms; not run */
};

enum adm_reason {
	ADM_OK,
	ADM_NO_POOL, /* unknown pool */
	ADM_NO_TARGETS, /* none of the pool's targets takes work */
	ADM_DEADLINE_SHORT, /* too short even when idle; no wait helps */
	ADM_DEADLINE_LOAD, /* can't be met at this load */
	ADM_QUEUE_WAIT, /* would wait, or has waited, longer than allowed */
	ADM_QUEUE_FULL, /* no memory for one more; others wait less */
	ADM_ZONE_FULL, /* shifted to us, but our room is taken */
	ADM_MAY_HAVE_RUN, /* not repeatable; its outcome is unknown */
	ADM_RETRY_BUDGET, /* retries would add to an overload */
	ADM_RETRY_COUNT, /* tried often enough */
	ADM_REASONS
};

struct adm_verdict {
	enum adm_kind kind;
	enum adm_reason reason;
	adm_ticket ticket; /* over already for ADM_REFUSE */
	uint64_t target; /* handle, for ADM_RUN */
	int zone; /* for ADM_SHIFT */
	uint32_t retry_after_ms; /* for ADM_REFUSE; 0: don't come back */
	void *user;
};

/* How an attempt ended. Only ADM_DONE_OK says anything about speed. */
enum adm_outcome {
	ADM_DONE_OK, /* a whole answer, also one that blames the caller (4xx) */
	ADM_DONE_BUSY, /* refused for load by target or zone: not run */
	ADM_DONE_UNSENT, /* no connection: not run */
	ADM_DONE_FAILED, /* 5xx, reset or cut: may have run */
	ADM_DONE_TIMEOUT, /* no answer in time: may have run */
	ADM_DONE_LEFT, /* the caller left; says nothing about the target */
};

/* What came with the answer. */
struct adm_result {
	enum adm_outcome outcome;
	int64_t service_us; /* from sending to the whole answer */
	/*
	 * Slots busy at the target as it answered, without this request; -1
	 * where the answer doesn't tell.
	 */
	int busy;
};

/* For /metrics; all count from the start. */
struct adm_stats {
	uint64_t offered;
	uint64_t run; /* placed on a target, retries and hedges included */
	uint64_t queued;
	uint64_t shifted;
	uint64_t refused[ADM_REASONS];
	uint64_t done_ok;
	uint64_t done_busy;
	uint64_t done_failed; /* failed, unsent or timed out */
	uint64_t left; /* callers who left */
	uint64_t retries;
	uint64_t hedges;
	uint64_t ejected;
	uint64_t restored;
	uint64_t probes;
	uint64_t wait_us; /* sum over requests that left the queue to run */
	uint32_t in_queue; /* now */
	uint32_t in_flight; /* now, shifted ones not included */
	uint32_t in_shift; /* now */
};

/* Another zone's or our own free room for a pool, in requests at once. */
struct adm_room {
	uint32_t slots; /* the zone's slots that may run work */
	uint32_t free; /* for work from elsewhere; the reserve is taken off */
};

struct adm *adm_new(const struct adm_config *config);
void adm_free(struct adm *a);
void adm_set_entries(struct adm *a, int entries, int entries_away);

bool adm_pool_set(struct adm *a, uint32_t pool,
		  const struct adm_pool_spec *spec);
bool adm_target_set(struct adm *a, int64_t now, uint64_t handle,
		    const struct adm_target_spec *spec);
void adm_target_busy(struct adm *a, int64_t now, uint64_t handle, int busy);

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

void adm_zone_room(struct adm *a, int64_t now, uint32_t pool, int zone,
		   struct adm_room room, int64_t age_us);
struct adm_room adm_room(struct adm *a, int64_t now, uint32_t pool);

struct adm_stats adm_stats(const struct adm *a);
const char *adm_reason_name(enum adm_reason reason);

#endif
