#ifndef SIM_H
#define SIM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * An emulator of workers, VMs and callers in virtual time. It drives the real
 * job table, scheduler, pool sizes and upkeep without sockets, and checks from
 * what workers and callers see that no rule is broken.
 */

enum sim_order {
	SIM_PRODUCT, /* as the scheduler decides */
	SIM_FIXED_POOLS, /* the same, and no VM ever moves */
};

/* Rules that the checker knows; named as in docs/design/scheduler-safety.md. */
enum sim_rule {
	SIM_LIMIT, /* more on a worker than it has room for */
	SIM_TWICE, /* two runs of a task at once, or one after it was done */
	SIM_ORDER, /* a step before those it comes after */
	SIM_ROUTE, /* on a worker of another pool, or too many of a step on one */
	SIM_BUDGET, /* a start after the last allowed failure */
	SIM_MIXED, /* completed with a task that isn't done */
	SIM_UNASKED, /* a start of a job that was cancelled before */
	SIM_AVAIL, /* more of a lasting step taken away than may be */
	SIM_IDLE, /* what is owed without a run for too long, with room */
	SIM_LOST, /* a job that was accepted is gone from the table */
	SIM_ONE, /* an order of an earlier leader after a later one's */
	SIM_QUOTA, /* more at work for an organisation than its limit */
	SIM_KEY, /* a removed key obeyed, or a valid one refused */
	SIM_RULES
};

struct sim_config {
	uint64_t seed;
	int64_t length_ms;
	enum sim_order order;
	int pools; /* beside the one that is switched off */
	int vms; /* of each pool */
	int spare; /* VMs switched off at the start */
	double load; /* mean demand as a share of a pool's cores */
	double burst; /* how many times the mean in a pool's turn */
	int64_t turn_ms;
	int slow_each; /* one VM in so many is slow; 0: none */
	double slowness; /* times as long as elsewhere tasks take there */
	bool ignore_speed; /* the leader doesn't learn that */
	double fail; /* share of runs that fail */
	double guess_off; /* guesses are off by up to this share */
	int crashes; /* workers that crash, in all */
	int power; /* racks that lose their power, in all */
	int shrinks; /* workers that have less room for a while, in all */
	double crashers; /* share of jobs with a task that crashes its worker */
	int64_t crash_ms; /* such a task does so after that */
	int failovers; /* leaders that are lost, in all */
	int64_t handover_ms; /* between planned changes of the leader; 0: none */
	int zones; /* that racks are dealt to in turn */
	int zone_cuts; /* zones that are cut off in the middle of a turn */
	const char *domains; /* how a job is kept in few zones, a dom_way */
	int cuts; /* workers that are silent for a while, in all */
	double late_ends; /* share of ends whose first telling is lost */
	double gangs; /* share of jobs whose first step is a gang */
	double repeats; /* share of jobs that are repeated by the clock */
	double cancel; /* share of jobs that are cancelled */
	bool wave; /* half of the VMs have their upkeep */
	int orgs; /* organisations; 0: jobs have none */
	double org_limit; /* share of all cores that each may use */
	int org_changes; /* how often a key and a limit change */
	/* the checker is shown a fault; for its own tests */
	bool break_rule; /* a task is started twice */
	bool forget_usage; /* a change of leader forgets what runs for whom */
	bool stuck_usage; /* a change of leader takes each limit for used up */
	bool keep_keys; /* callers are judged by the first configuration */
	bool keep_proposed; /* starts lost with a leader stay proposed */
	int64_t no_plans_ms; /* nothing is planned any more from then on; 0 */
	/*
	 * a lost leader's last orders arrive when its cut heals, as if it had
	 * not broken them off
	 */
	bool orders_come_late;
};

struct sim_result {
	uint64_t jobs;
	uint64_t in_time;
	uint64_t late;
	uint64_t starts;
	uint64_t moves;
	uint64_t upkeeps;
	uint64_t given_up; /* jobs with a task that crashes its workers */
	uint64_t running_at_cuts; /* jobs that ran as a zone was cut off */
	uint64_t hit_by_cuts; /* of these, jobs with a run in that zone */
	double worth; /* share of what the jobs could have been worth */
	double vm_s; /* seconds of VMs that are switched on */
	double wasted; /* core-seconds of runs that were lost or stopped */
	uint64_t broken[SIM_RULES];
	char first[160]; /* the first broken rule, in words */
};

struct sim_config sim_defaults(uint64_t seed);
struct sim_result sim_play(const struct sim_config *config);
const char *sim_rule_name(enum sim_rule rule);
bool sim_clean(const struct sim_result *r);

#endif
