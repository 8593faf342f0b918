#ifndef ADM_INT_H
#define ADM_INT_H

#include <glib.h>

#include "adm.h"

/* Shared by the files of adm only. */

#define ADM_MS INT64_C(1000)
#define ADM_SEC INT64_C(1000000)

/* A min-heap whose members know their place, so that any can be moved. */
struct adm_heap_node {
	int64_t key;
	int pos; /* -1: in no heap */
};

struct adm_heap {
	struct adm_heap_node **nodes;
	int len;
	int cap;
};

void adm_heap_put(struct adm_heap *h, struct adm_heap_node *n, int64_t key);
void adm_heap_remove(struct adm_heap *h, struct adm_heap_node *n);
void adm_heap_clear(struct adm_heap *h);

/* Measured service times of one group of requests, microseconds. */
struct adm_est {
	uint32_t n;
	double mean;
	double low; /* about one in ten is faster */
	double high; /* about one in ten is slower */
	int64_t sampled_at; /* of the last answer */
};

/* Groups by declared size, a power of two each; 0 holds all requests. */
#define ADM_SIZE_GROUPS 33

/* Where a target stands for placement. */
enum adm_list {
	ADM_LIST_FAST, /* takes work */
	ADM_LIST_SLOW, /* takes work that would else wait longer */
	ADM_LIST_PROBE, /* was ejected, may be tried with one request */
	ADM_LISTS,
	ADM_LIST_NONE = ADM_LISTS, /* full, leaving or ejected */
};

enum adm_health {
	ADM_HEALTHY,
	ADM_SLOW,
	ADM_EJECTED, /* gets nothing until .ejected_until, then probes */
	ADM_HEALTHS
};

struct adm_target {
	uint64_t handle;
	uint32_t pool;
	enum adm_target_state state;
	int64_t lease_until;
	int in_flight; /* our requests running there */
	/* adm_share: slots busy with others' requests, as last learnt */
	double others_busy;
	int64_t others_updated_at;
	int64_t others_decay_us; /* after that long we know nothing any more */
	int busy_streak; /* refusals for load in a row */
	/* adm_health */
	enum adm_health health;
	double fail_rate; /* share of failed attempts, lately */
	double latency_ratio; /* service time over what is usual; 1 is usual */
	int consecutive_fails; /* in a row */
	int samples;
	int probes_ok;
	int64_t ejected_until;
	int64_t ejection_us;
	/* adm_pick_target */
	int counted_as; /* where in the pool's n_health; -1: takes no work */
	enum adm_list list;
	int list_index; /* place in that list */
	int pool_index; /* place in the pool's targets */
	struct adm_heap_node recheck; /* when it must be filed anew */
};

/* The requests of one caller and class in one pool. */
struct adm_flow {
	uint64_t key;
	enum adm_class class;
	struct adm_heap_node
		vtime; /* slot time it has had, on the class's scale */
	GQueue queue; /* struct adm_req */
	int running;
};

enum adm_req_state {
	ADM_REQ_FREE,
	ADM_REQ_QUEUED,
	ADM_REQ_RUNNING,
	ADM_REQ_SHIFTED,
};

struct adm_req {
	uint32_t index;
	uint32_t gen;
	enum adm_req_state state;
	uint32_t pool;
	uint64_t caller;
	enum adm_class class;
	int64_t deadline;
	int64_t offered_at; /* first offered */
	bool repeatable;
	bool no_shift; /* may not be shifted (again) */
	bool from_other_zone;
	bool probe;
	int size_group; /* group in est */
	int64_t cost; /* slot time charged to its caller in advance */
	int failed_attempts; /* failed attempts */

	uint64_t last_target; /* target of the last attempt */
	bool has_last_target;
	void *user;
	struct adm_flow *flow;
	struct adm_target *target;
	int zone;
	GList link; /* in its flow's queue */
	struct adm_heap_node expiry;
};

/* What we know of another zone's room for a pool. */
struct adm_zone_credit {
	int64_t reported_at;
	int sustained; /* ours that may run there, without fresh ones */
	int additional; /* how many more we may send */
	int peak; /* the most of ours in flight there since .peak_from */
	int64_t peak_since;
	int64_t paused_until; /* nothing is sent after a refusal */
	int in_flight;
	bool has_report;
};

struct adm_pool {
	bool set;
	struct adm_pool_spec spec;
	/* adm_pick_target */
	GPtrArray *lists[ADM_LISTS];
	struct adm_heap recheck;
	GPtrArray *targets; /* all, in no order */
	int n_health[ADM_HEALTHS]; /* of targets that take work */
	int64_t slow_probed_at;
	int starts_since_slow_probe; /* since a slow target was last tried */
	int in_flight;
	/* adm_queue */
	GHashTable *flows;
	struct adm_heap ready[ADM_CLASSES]; /* flows that wait, by vtime */
	int n_queued[ADM_CLASSES];
	int bypassed[ADM_CLASSES]; /* starts that went ahead of this class */
	int64_t vtime[ADM_CLASSES];
	struct adm_heap expiry;
	/* adm_limit */
	struct adm_est est[ADM_SIZE_GROUPS];
	int64_t demand_window_start;
	int demand_offered; /* offered since then */
	double demand_ratio; /* asked for over what could run; 0: nothing waits */
	int64_t overload_since; /* demand is above 1; 0: it isn't */
	/* adm_retry */
	double tokens;
	/* adm_shift */
	struct adm_zone_credit zones[ADM_ZONES_MAX];
	bool saturated; /* saturated: shifting */
	int64_t transition_since; /* since when the opposite of hot is seen; 0: not */
	int inbound_left; /* for work from elsewhere, when last added up */
	int64_t inbound_refreshed_at;
};

struct adm {
	struct adm_config conf;
	uint64_t rng;
	GPtrArray *pools; /* struct adm_pool, NULL where unset */
	GHashTable *targets; /* by handle */
	GPtrArray *reqs; /* all records, by index */
	GArray *free_reqs; /* uint32_t */
	GPtrArray *pools_waiting; /* pools in which requests wait */
	struct adm_stats stats;
	int highest_priority;
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
int adm_size_group(uint64_t hint);
const struct adm_est *adm_est_for(const struct adm_pool *p, int size);
void adm_est_record(struct adm_pool *p, int size, int64_t service_us,
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
void adm_flow_settle(struct adm_pool *p, struct adm_req *r, int64_t service);
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

/* adm_pick_target.c */
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
 * adm_retry.c: retries and hedges of a pool draw on one budget, a tenth of the
 * requests taken in and this many to begin with, so that a quiet pool may
 * retry at all. At worst the load grows by a tenth.
 */
#define ADM_BUDGET_MAX 10.0
void adm_budget_credit(struct adm_pool *p);

/* adm_admit.c */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool again);
void adm_detach_flow(struct adm_pool *p, struct adm_req *r);

#endif
