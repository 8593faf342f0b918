#ifndef SCH_INT_H
#define SCH_INT_H

#include "dom.h"
#include "sch.h"

/*
 * Files of the scheduler, each using only those before it: sch_job (needs of a
 * job), sch_trial (isolated retries of suspect tasks), sch_place (where a task
 * may run), sch_zone (in which zones a step's tasks are placed), sch_rack (where
 * a gang that needs one rack may run), sch (plans), hld (why a task that is due
 * does not run).
 */

/*
 * Delay before a refused or lost run is tried again, ms: an immediate retry
 * would mostly fail for the same reason.
 */
#define SCH_RETRY_DELAY_MS 50

/*
 * Task sizes that a plan remembers as not fitting on any worker. Beyond this
 * number each step is tried on every worker, which only costs time.
 */
#define SCH_NO_FIT_MAX 40

/* A task size for which no worker has enough free capacity. */
struct sch_no_fit {
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gpus;
};

/* Most zones that a plan tells apart; with more, they count for nothing. */
#define SCH_ZONES_MAX 64

/* The workers of a pool in one zone. */
struct sch_zone {
	const char *name;
	GPtrArray *workers; /* struct jtb_worker */
	uint32_t runs_of_job; /* tasks of the job being planned */
};

/* The state of one pool while it is planned. */
struct sch_pool {
	const struct sch_view *v;
	const char *name;
	GPtrArray *workers; /* struct jtb_worker that may be assigned work */
	GArray *zones; /* struct sch_zone, of these workers */
	/* zones in the order in which they are asked; none: all at once */
	struct dom_zone order[SCH_ZONES_MAX];
	guint n_order;
	const char *near_rack; /* rack of the task placed before; or NULL */
	GPtrArray *reserved; /* of these, reserved for long-running tasks */
	struct sch_no_fit no_fits[SCH_NO_FIT_MAX];
	uint32_t n_no_fits;
	const struct jtb_queue *queue; /* queue of the job being planned */
	/* some workers are marked as excluded, from the last step */
	bool excluded;
	const char *rack; /* rack that a gang must be placed on; NULL: any */
	/* few enough workers are suspect that they are avoided */
	bool avoid_suspects;
	bool avoid_slow; /* the same for workers on which tasks take longer */
	bool skip_slow; /* of these, even one that is idle gets no task now */
	bool lacks_room; /* a task of the job being planned found no room */
	uint32_t started;
};

void sch_update_isolation(const struct sch_pool *p, struct jtb_worker *w);
bool sch_is_reserved_for_retry(const struct sch_pool *p,
			       const struct jtb_worker *w,
			       const struct jtb_job *job);
struct jtb_worker *sch_place_isolated(struct sch_pool *p,
				      const struct jtb_job *job,
				      const struct jtb_step *s,
				      bool failed_before);
void sch_exclude_busy(struct sch_pool *p, const struct jtb_job *job);
void sch_start_isolated(const struct sch_pool *p, struct jtb_worker *w,
			const struct jtb_job *job);
void sch_pool_init(struct sch_pool *p, const struct sch_view *v,
		   const char *name);
void sch_pool_clear(struct sch_pool *p);
bool sch_usable(const struct sch_view *v, const struct jtb_worker *w);
struct jtb_worker *sch_place(struct sch_pool *p, const struct jtb_job *job,
			     uint32_t step, bool failed_before);
bool sch_is_too_slow(const struct sch_pool *p, const struct jtb_worker *w,
		     const struct jtb_step *s);
bool sch_is_backed_off(const struct sch_pool *p, const struct jtb_worker *w,
		       const struct jtb_step *s, bool failed_before);
bool sch_place_gang(struct sch_pool *p, const struct jtb_job *job,
		    uint32_t turn, uint32_t step, const char *rack,
		    GPtrArray *places);
bool sch_apply_tickets(struct sch_pool *p, const struct jtb_job *job,
		       uint32_t turn, uint32_t step);
bool sch_place_on_one_rack(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn, uint32_t step, GPtrArray *places);
bool sch_waits_for_rack(struct sch_pool *p, struct jtb_job *job, uint32_t step);
void sch_reserve_worker(struct sch_pool *p, const struct jtb_job *job,
			uint32_t step);
bool sch_is_no_fit(const struct sch_pool *p, const struct jtb_step *s);
void sch_record_no_fit(struct sch_pool *p, const struct jtb_step *s);
bool sch_has_label(const struct jtb_worker *w, const char *label);
bool sch_allowed(const struct jtb_worker *w, const struct jtb_step *s);
bool sch_fits(const struct jtb_worker *w, const struct jtb_step *s);
bool sch_is_reserved(const struct sch_pool *p, const struct jtb_worker *w);
uint32_t sch_count_fits(const struct jtb_worker *w, const struct jtb_step *s,
			bool now);
GArray *sch_zones_new(void);
void sch_zones_add(struct sch_pool *p, struct jtb_worker *w);
void sch_begin_zones(struct sch_pool *p, const struct jtb_job *job,
		     uint32_t turn, uint32_t step, uint32_t wanted);
void sch_end_zones(struct sch_pool *p);
GPtrArray *sch_zone_workers(struct sch_pool *p, guint i);
void sch_placed_near(struct sch_pool *p, const struct jtb_worker *w);
double sch_near_score(const struct sch_pool *p, const struct jtb_worker *w);
void sch_count_step_tasks(struct sch_pool *p, const struct jtb_job *job,
			  uint32_t turn, uint32_t step);

#endif
