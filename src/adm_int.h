#ifndef ADM_INT_H
#define ADM_INT_H

#include <glib.h>

#include "adm.h"

/* Shared by the files of adm only. */

#define ADM_MS INT64_C(1000)
#define ADM_SEC INT64_C(1000000)

/* A min-heap whose members know their place, so that any can be moved. */
struct adm_node {
	int64_t key;
	int at; /* -1: in no heap */
};

struct adm_heap {
	struct adm_node **v;
	int n;
	int cap;
};

void adm_heap_put(struct adm_heap *h, struct adm_node *n, int64_t key);
void adm_heap_drop(struct adm_heap *h, struct adm_node *n);
void adm_heap_done(struct adm_heap *h);

/* Measured service times of one group of requests, microseconds. */
struct adm_est {
	uint32_t n;
	double mean;
	double low; /* about one in ten is faster */
	double high; /* about one in ten is slower */
	int64_t at; /* of the last answer */
};

/* Groups by declared size, a power of two each; 0 holds all requests. */
#define ADM_SIZES 33

/* Where a target stands for placement. */
enum adm_list {
	ADM_FAST, /* takes work */
	ADM_SLOW, /* takes work that would else wait longer */
	ADM_PROBE, /* was ejected, may be tried with one request */
	ADM_LISTS,
	ADM_SHUT = ADM_LISTS, /* full, leaving or ejected */
};

enum adm_health {
	ADM_HEALTHY,
	ADM_SLUGGISH,
	ADM_EJECTED, /* gets nothing until .ejected_until, then probes */
	ADM_HEALTHS
};

struct adm_target {
	uint64_t handle;
	uint32_t pool;
	enum adm_target_state state;
	int64_t lease_until;
	int mine; /* our requests running there */
	/* adm_share: slots busy with others' requests, as last learnt */
	double others;
	int64_t others_at;
	int64_t others_fade; /* after that long we know nothing any more */
	int busy_streak; /* refusals for load in a row */
	/* adm_health */
	enum adm_health health;
	double fail; /* share of failed attempts, lately */
	double speed; /* service time over what is usual; 1 is usual */
	int fails; /* in a row */
	int samples;
	int good_probes;
	int64_t ejected_until;
	int64_t eject_for;
	/* adm_place */
	int counted; /* where in the pool's n_health; -1: takes no work */
	enum adm_list list;
	int at; /* place in that list */
	int at_all; /* place in the pool's targets */
	struct adm_node wake; /* when it must be filed anew */
};

/* The requests of one caller and class in one pool. */
struct adm_flow {
	uint64_t key;
	enum adm_class class;
	struct adm_node vtime; /* slot time it has had, on the class's scale */
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
	int64_t since; /* first offered */
	bool repeatable;
	bool shifted; /* may not be shifted (again) */
	bool from_away;
	bool probe;
	int size; /* group in est */
	int64_t cost; /* slot time charged to its caller in advance */
	int tries; /* failed attempts */

	uint64_t tried; /* target of the last attempt */
	bool has_tried;
	void *user;
	struct adm_flow *flow;
	struct adm_target *target;
	int zone;
	GList link; /* in its flow's queue */
	struct adm_node expiry;
};

/* What we know of another zone's room for a pool. */
struct adm_away {
	int64_t heard_at;
	int base; /* ours in flight there when it was heard */
	int fresh; /* how many more we may send */
	int in_flight;
	bool heard;
};

struct adm_pool {
	bool set;
	struct adm_pool_spec spec;
	/* adm_place */
	GPtrArray *lists[ADM_LISTS];
	struct adm_heap wake;
	GPtrArray *targets; /* all, in no order */
	int n_health[ADM_HEALTHS]; /* of targets that take work */
	int64_t slow_probed_at;
	int starts_since; /* since a slow target was last tried */
	int in_flight;
	/* adm_queue */
	GHashTable *flows;
	struct adm_heap ready[ADM_CLASSES]; /* flows that wait, by vtime */
	int n_queued[ADM_CLASSES];
	int passed[ADM_CLASSES]; /* starts that went ahead of this class */
	int64_t vtime[ADM_CLASSES];
	struct adm_heap expiry;
	/* adm_limit */
	struct adm_est est[ADM_SIZES];
	int64_t demand_from;
	int demand_n; /* offered since then */
	double demand; /* asked for over what could run; 0: nothing waits */
	int64_t over_since; /* demand is above 1; 0: it isn't */
	/* adm_retry */
	double tokens;
	/* adm_shift */
	struct adm_away away[ADM_ZONES_MAX];
	bool hot; /* saturated: shifting */
	int64_t turned_at; /* since when the opposite of hot is seen; 0: not */
	int room; /* for work from elsewhere, when last added up */
	int64_t room_at;
};

struct adm {
	struct adm_config conf;
	uint64_t rng;
	GPtrArray *pools; /* struct adm_pool, NULL where unset */
	GHashTable *targets; /* by handle */
	GPtrArray *reqs; /* all records, by index */
	GArray *free_reqs; /* uint32_t */
	GPtrArray *waiting; /* pools in which requests wait */
	struct adm_stats stats;
	int top_priority;
};

/* adm.c */
struct adm_pool *adm_pool_of(const struct adm *a, uint32_t pool);
struct adm_req *adm_req_of(const struct adm *a, adm_ticket ticket);
adm_ticket adm_ticket_of(const struct adm_req *r);
struct adm_req *adm_req_new(struct adm *a);
void adm_req_free(struct adm *a, struct adm_req *r);
uint32_t adm_random(struct adm *a, uint32_t below);
void adm_finish(struct adm *a, int64_t now, struct adm_req *r,
		const struct adm_result *res);
struct adm_verdict adm_run(struct adm *a, int64_t now, struct adm_req *r,
			   struct adm_target *t);
struct adm_verdict adm_give_up(struct adm *a, struct adm_pool *p,
			       struct adm_req *r, enum adm_reason reason,
			       int64_t wait_us);

/* adm_limit.c */
int adm_size_group(uint64_t hint);
const struct adm_est *adm_est_for(const struct adm_pool *p, int size);
void adm_est_add(struct adm_pool *p, int size, int64_t service_us, int64_t now);
int64_t adm_mean(const struct adm_pool *p);
int64_t adm_latest_start(const struct adm_pool *p, const struct adm_req *r);
void adm_demand_note(struct adm_pool *p, int64_t now);
int64_t adm_longest_wait(const struct adm_pool *p, int64_t now);
bool adm_too_short(const struct adm_pool *p, const struct adm_req *r,
		   int64_t now);

/* adm_queue.c */
struct adm_flow *adm_flow_of(struct adm_pool *p, uint64_t caller,
			     enum adm_class class);
void adm_flow_charge(struct adm_pool *p, struct adm_req *r);
void adm_flow_settle(struct adm_pool *p, struct adm_req *r, int64_t service);
void adm_flow_release(struct adm_pool *p, struct adm_flow *f);
void adm_queue_put(struct adm *a, struct adm_pool *p, struct adm_req *r,
		   bool front);
void adm_queue_drop(struct adm *a, struct adm_pool *p, struct adm_req *r);
struct adm_req *adm_queue_next(struct adm_pool *p);
bool adm_queue_due(const struct adm_pool *p, enum adm_class class);
struct adm_req *adm_queue_highest(struct adm_pool *p);
void adm_queue_passed(struct adm_pool *p, enum adm_class class);
struct adm_req *adm_queue_expired(struct adm_pool *p, int64_t now);
int adm_queue_len(const struct adm_pool *p);
bool adm_queue_full(const struct adm *a, const struct adm_pool *p,
		    const struct adm_flow *f);
int64_t adm_queue_wait(const struct adm *a, const struct adm_pool *p,
		       const struct adm_flow *f);

/* adm_place.c */
void adm_file(struct adm_pool *p, struct adm_target *t, int64_t now);
void adm_unfile(struct adm_pool *p, struct adm_target *t);
void adm_wake(struct adm_pool *p, int64_t now);
struct adm_target *adm_place(struct adm *a, struct adm_pool *p,
			     const struct adm_req *r, int64_t now, bool *probe);
int adm_targets_ok(const struct adm_pool *p);

/* adm_share.c */
double adm_others(const struct adm_target *t, int64_t now);
bool adm_slot_free(const struct adm_pool *p, const struct adm_target *t,
		   int64_t now);
int64_t adm_slot_free_at(const struct adm_pool *p, const struct adm_target *t,
			 int64_t now);
void adm_share_heard(const struct adm_pool *p, struct adm_target *t,
		     int64_t now, int busy);
void adm_share_refused(const struct adm_pool *p, struct adm_target *t,
		       int64_t now);
void adm_share_left(const struct adm_pool *p, struct adm_target *t,
		    int64_t now);

/* adm_health.c */
void adm_health_note(struct adm *a, struct adm_pool *p, struct adm_target *t,
		     const struct adm_req *r, const struct adm_result *res,
		     int64_t now);
double adm_health_score(const struct adm_target *t);

/* adm_shift.c */
void adm_shift_note(struct adm_pool *p, int64_t now, int64_t wait);
int adm_shift_zone(struct adm *a, struct adm_pool *p, const struct adm_req *r,
		   int64_t now);
struct adm_verdict adm_shift(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int zone);
void adm_shift_done(struct adm *a, struct adm_pool *p, struct adm_req *r,
		    enum adm_outcome outcome);
bool adm_room_take(struct adm *a, struct adm_pool *p, int64_t now);

/*
 * adm_retry.c: retries and hedges of a pool draw on one budget, a tenth of the
 * requests taken in and this many to begin with, so that a quiet pool may
 * retry at all. At worst the load grows by a tenth.
 */
#define ADM_BUDGET_MAX 10.0
void adm_budget_earn(struct adm_pool *p);

/* adm_admit.c */
struct adm_verdict adm_admit(struct adm *a, struct adm_pool *p,
			     struct adm_req *r, int64_t now, bool again);
void adm_leave_flow(struct adm_pool *p, struct adm_req *r);

#endif
