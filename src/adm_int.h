#ifndef ADM_INT_H
#define ADM_INT_H

/* Structures and functions internal to the files of adm. */

#include <glib.h>

#include "adm.h"

#define ADM_MS INT64_C(1000) /* us */
#define ADM_SEC INT64_C(1000000) /* us */

/*
 * A binary min-heap of nodes embedded in other structures. Each node stores its
 * position, so that any node can be moved or removed in O(log n).
 */
struct adm_heap_node {
	int64_t key;
	int pos; /* index in adm_heap.nodes; -1: in no heap */
};

struct adm_heap {
	struct adm_heap_node **nodes;
	int len;
	int cap;
};

void adm_heap_put(struct adm_heap *h, struct adm_heap_node *n, int64_t key);
void adm_heap_remove(struct adm_heap *h, struct adm_heap_node *n);
void adm_heap_clear(struct adm_heap *h);

/* Estimated service times of one size group, in microseconds. */
struct adm_est {
	uint32_t n; /* samples */
	double mean; /* EWMA */
	double low; /* about the 10th percentile */
	double high; /* about the 90th percentile */
	int64_t sampled_at; /* time of the last sample */
};

/*
 * Groups of requests by declared size, a factor of four each; group 0 holds
 * the samples of all requests.
 */
#define ADM_SIZE_GROUPS 33

/* The list of its pool that a target is in, which limits what it may get. */
enum adm_list {
	ADM_LIST_FAST, /* accepts requests */
	ADM_LIST_SLOW, /* accepts requests that would wait longer elsewhere */
	ADM_LIST_PROBE, /* ejection time over; may get one probe request */
	ADM_LISTS,
	ADM_LIST_NONE = ADM_LISTS, /* no free slot, leaving or ejected */
};

/* The health of a target, as judged by its answers to this entry VM. */
enum adm_health {
	ADM_HEALTHY,
	ADM_SLOW,
	ADM_EJECTED, /* gets no requests until .ejected_until, then probes */
	ADM_HEALTHS
};

struct adm_target {
	uint64_t handle;
	uint32_t pool;
	enum adm_target_state state;
	int64_t lease_until;
	int in_flight; /* requests of this entry VM */
	/* adm_share: slots held by other entry VMs, as of the last report */
	double others_busy;
	int64_t others_updated_at;
	int64_t others_decay_us; /* others_busy decays to 0 over this time */
	int busy_streak; /* consecutive overload refusals */
	/* adm_health */
	enum adm_health health;
	double fail_rate; /* EWMA, 0 to 1 */
	double latency_ratio; /* EWMA of service time over its group's mean */
	int consecutive_fails;
	int samples; /* attempts counted in fail_rate */
	int probes_ok; /* consecutive successful probes */
	int64_t ejected_until;
	int64_t ejection_us; /* of the last ejection; halved on recovery */
	/* adm_place */
	int counted_as; /* index into n_health of the pool; -1: not counted */
	enum adm_list list;
	int list_index; /* index in that list */
	int pool_index; /* index in the pool's targets */
	struct adm_heap_node recheck; /* when to classify the target again */
};

/* The requests of one caller and class in one pool, for fair queueing. */
struct adm_flow {
	uint64_t key;
	enum adm_class class;
	struct adm_heap_node vtime; /* virtual time: slot time used, in us */
	GQueue queue; /* waiting requests, struct adm_req */
	int running;
};

enum adm_req_state {
	ADM_REQ_FREE,
	ADM_REQ_QUEUED,
	ADM_REQ_RUNNING,
	ADM_REQ_SHIFTED,
};

struct adm_req {
	uint32_t index; /* in adm.reqs */
	uint32_t gen; /* generation; tells tickets of a reused record apart */
	enum adm_req_state state;
	uint32_t pool;
	uint64_t caller;
	enum adm_class class;
	int64_t deadline;
	int64_t offered_at;
	bool repeatable;
	bool no_shift; /* was shifted once already, or is a hedge */
	bool from_other_zone;
	bool probe;
	int size_group; /* index into est of the pool */
	int64_t cost; /* slot time charged to its flow in advance, us */
	int failed_attempts;

	uint64_t last_target; /* of the last attempt */
	bool has_last_target;
	void *user;
	struct adm_flow *flow;
	struct adm_target *target;
	int zone; /* that the request was shifted to */
	GList link; /* in the queue of its flow */
	struct adm_heap_node expiry;
};

/* How many requests of one pool may be shifted to another zone. */
struct adm_zone_credit {
	int64_t reported_at;
	int sustained; /* in flight that may be replaced as requests end */
	int additional; /* share of the capacity last reported */
	int peak; /* maximum of in_flight since .peak_since */
	int64_t peak_since;
	int64_t paused_until; /* no shifting before, after a refusal */
	int in_flight; /* requests shifted to the zone */
	bool has_report;
};

struct adm_pool {
	bool set;
	struct adm_pool_spec spec;
	/* adm_place */
	GPtrArray *lists[ADM_LISTS];
	struct adm_heap recheck;
	GPtrArray *targets; /* all, unordered */
	int n_health[ADM_HEALTHS]; /* targets that accept work, by health */
	int64_t slow_probed_at;
	int starts_since_slow_probe;
	int in_flight;
	/* adm_queue */
	GHashTable *flows;
	struct adm_heap ready[ADM_CLASSES]; /* flows that wait, by vtime */
	int n_queued[ADM_CLASSES];
	int bypassed[ADM_CLASSES]; /* starts made ahead of the waiting class */
	int64_t vtime[ADM_CLASSES]; /* virtual time of the last flow served */
	struct adm_heap expiry; /* waiting requests, by latest start */
	/* adm_limit */
	struct adm_est est[ADM_SIZE_GROUPS];
	int64_t demand_window_start;
	int demand_offered; /* requests offered in the current window */
	double demand_ratio; /* EWMA of demand over capacity; 0: empty queue */
	int64_t overload_since; /* demand exceeds capacity; 0: it doesn't */
	/* adm_retry */
	double tokens; /* of the retry budget, a token bucket */
	/* adm_shift */
	struct adm_zone_credit zones[ADM_ZONES_MAX];
	bool saturated; /* requests may be shifted to other zones */
	int64_t transition_since; /* the wait demands a change; 0: no */
	int inbound_left; /* shifted requests that may still be accepted */
	int64_t inbound_refreshed_at;
};

struct adm {
	struct adm_config conf;
	uint64_t rng;
	GPtrArray *pools; /* struct adm_pool, NULL where unset */
	GHashTable *targets; /* by handle */
	GPtrArray *reqs; /* all records, by index */
	GArray *free_reqs; /* indexes of unused records, uint32_t */
	GPtrArray *pools_waiting; /* pools with queued requests */
	struct adm_stats stats;
	int highest_priority; /* of all pools */
};

/* adm.c */
struct adm_pool *adm_pool_find(const struct adm *a, uint32_t pool);
struct adm_req *adm_req_find(const struct adm *a, adm_ticket ticket);
adm_ticket adm_req_ticket(const struct adm_req *r);
struct adm_req *adm_req_new(struct adm *a);
void adm_req_free(struct adm *a, struct adm_req *r);
uint32_t adm_random(struct adm *a, uint32_t below);
void adm_end_attempt(struct adm *a, int64_t now, struct adm_req *r,
		     const struct adm_result *res);
struct adm_verdict adm_start(struct adm *a, int64_t now, struct adm_req *r,
			     struct adm_target *t);
struct adm_verdict adm_refuse(struct adm *a, struct adm_pool *p,
			      struct adm_req *r, enum adm_reason reason,
			      int64_t wait_us);

/* adm_limit.c */
int adm_size_group(uint64_t size_hint);
const struct adm_est *adm_est_for(const struct adm_pool *p, int size_group);
void adm_est_record(struct adm_pool *p, int size_group, int64_t service_us,
		    int64_t now);
int64_t adm_mean_service(const struct adm_pool *p);
int64_t adm_latest_start(const struct adm_pool *p, const struct adm_req *r);
void adm_demand_record(struct adm_pool *p, int64_t now);
int64_t adm_max_wait(const struct adm_pool *p, int64_t now);
bool adm_deadline_too_short(const struct adm_pool *p, const struct adm_req *r,
			    int64_t now);

/* adm_queue.c */
struct adm_flow *adm_flow_get(struct adm_pool *p, uint64_t caller,
			      enum adm_class class);
void adm_flow_charge(struct adm_pool *p, struct adm_req *r);
void adm_flow_settle(struct adm_pool *p, struct adm_req *r, int64_t service_us);
void adm_flow_free_if_idle(struct adm_pool *p, struct adm_flow *f);
void adm_queue_add(struct adm *a, struct adm_pool *p, struct adm_req *r,
		   bool front);
void adm_queue_remove(struct adm *a, struct adm_pool *p, struct adm_req *r);
struct adm_req *adm_queue_peek(struct adm_pool *p);
bool adm_queue_must_serve(const struct adm_pool *p, enum adm_class class);
struct adm_req *adm_queue_peek_highest(struct adm_pool *p);
void adm_queue_count_bypass(struct adm_pool *p, enum adm_class class);
struct adm_req *adm_queue_expired(struct adm_pool *p, int64_t now);
int adm_queue_len(const struct adm_pool *p);
bool adm_queue_full(const struct adm *a, const struct adm_pool *p,
		    const struct adm_flow *f);
int64_t adm_queue_estimate_wait(const struct adm *a, const struct adm_pool *p,
				const struct adm_flow *f);

/* adm_place.c */
void adm_target_classify(struct adm_pool *p, struct adm_target *t, int64_t now);
void adm_target_unlist(struct adm_pool *p, struct adm_target *t);
void adm_recheck_due(struct adm_pool *p, int64_t now);
struct adm_target *adm_pick_target(struct adm *a, struct adm_pool *p,
				   const struct adm_req *r, int64_t now,
				   bool *probe);
int adm_usable_targets(const struct adm_pool *p);

/* adm_share.c */
double adm_others_busy(const struct adm_target *t, int64_t now);
bool adm_has_free_slot(const struct adm_pool *p, const struct adm_target *t,
		       int64_t now);
int64_t adm_next_slot_free_at(const struct adm_pool *p,
			      const struct adm_target *t, int64_t now);
void adm_share_reported(const struct adm_pool *p, struct adm_target *t,
			int64_t now, int busy);
void adm_share_refused(const struct adm_pool *p, struct adm_target *t,
		       int64_t now);
void adm_share_abandoned(const struct adm_pool *p, struct adm_target *t,
			 int64_t now);

/* adm_health.c */
void adm_health_record(struct adm *a, struct adm_pool *p, struct adm_target *t,
		       const struct adm_req *r, const struct adm_result *res,
		       int64_t now);
double adm_health_penalty(const struct adm_target *t);

/* adm_shift.c */
void adm_shift_record_wait(struct adm_pool *p, int64_t now, int64_t wait);
int adm_shift_pick_zone(struct adm *a, struct adm_pool *p,
			const struct adm_req *r, int64_t now);
struct adm_verdict adm_shift(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int zone);
void adm_shift_done(struct adm *a, struct adm_pool *p, struct adm_req *r,
		    enum adm_outcome outcome, int64_t now);
bool adm_accept_shifted(struct adm *a, struct adm_pool *p, int64_t now);

/*
 * adm_retry.c: capacity and initial fill of a pool's token bucket for retries
 * and hedges. Each accepted request adds a tenth of a token, so that retries
 * add at most a tenth to the load, against retry storms; the initial tokens
 * allow retries also where there are few requests.
 */
#define ADM_BUDGET_MAX 10.0
void adm_budget_credit(struct adm_pool *p);

/* adm_admit.c */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool readmit);
void adm_detach_flow(struct adm_pool *p, struct adm_req *r);

#endif
