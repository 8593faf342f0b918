#ifndef FLT_H
#define FLT_H

/* Fleet model: VMs, racks, zones and pools with availability budgets. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The fleet model that the planner, waves and jobs share: VMs in racks in zones
 * in sites, and pools with their availability budgets. It uses no clock, file
 * or socket. All objects are identified by index. Fields may be read directly;
 * they are changed only by the functions below, which keep the counts
 * consistent.
 */

/* In the order of the state names in charts/vm.chart. */
enum flt_state {
	FLT_UP,
	FLT_DRAINING,
	FLT_REBOOTING,
	FLT_CHECKING,
	FLT_HELD, /* drained by an operator */
	FLT_DOWN,
	FLT_STATES
};

enum flt_event {
	FLT_TAKE,
	FLT_GIVE_BACK,
	FLT_EMPTIED,
	FLT_BOOTED,
	FLT_HEALTHY,
	FLT_HOLD,
	FLT_FAIL,
	FLT_EVENTS
};

/* Why an operation on a VM is refused now. */
enum flt_refusal {
	FLT_OK,
	FLT_NOT_UP,
	FLT_PARTITIONED, /* the zone of the VM is partitioned */
	FLT_IN_WAVE, /* the VM is in maintenance by another wave */
	FLT_BUDGET, /* the budget would not survive the declared failure */
	FLT_RACK_BUDGET, /* too many VMs missing behind one switch */
	FLT_ZONE_BUDGET, /* too many VMs missing in one zone */
	FLT_UNFIT, /* the pool cannot use the VM's kind or site */
	FLT_REFUSALS
};

/* The pool of all VMs that are in no other pool. */
#define FLT_SPARE 0
#define FLT_ANY_SITE (-1)
#define FLT_NO_WAVE 0

struct flt_zone {
	char *name;
	int site;
	bool partitioned; /* the zone is partitioned from the control daemons */
};

/* A rack is connected to one switch; racks of one switch fail together. */
struct flt_rack {
	char *name;
	int zone;
	int sw;
};

struct flt_vm {
	char *name;
	int rack;
	int kind; /* kind of machine; a pool uses VMs of its kind */
	int pool;
	enum flt_state state;
	bool hold; /* an operator has drained it; remains after a failure */
	uint64_t wave; /* wave that maintains it; FLT_NO_WAVE: none */
	uint64_t epoch; /* epoch of its pool membership; grows with each move */
	int64_t maintained_ms; /* when its last maintenance ended; 0: never */
};

/* What an operator declares for a pool; numbers are VMs. */
struct flt_budget {
	int kind; /* of its VMs */
	int site; /* or FLT_ANY_SITE */
	int wanted; /* VMs that the pool should have */
	/*
	 * most of wanted that may be missing, also after the declared failure
	 */
	int missing;
	/* most that may be missing behind one switch; 0: no limit of its own */
	int missing_rack;
	/* most that may be missing in one zone; 0: no limit of its own */
	int missing_zone;
	/*
	 * the declared failure is the loss of any zone, otherwise of any switch
	 */
	bool survive_zone;
	int priority; /* pools of higher priority get spare VMs first */
};

/* Numbers of VMs. */
struct flt_tally {
	uint16_t size; /* all VMs */
	uint16_t serving; /* VMs that are up and reachable */
};

/*
 * The VMs of a pool behind one switch; most pools have VMs behind few switches.
 */
struct flt_place {
	int sw;
	struct flt_tally tally;
};

struct flt_pool {
	char *name;
	struct flt_budget budget;
	int size; /* all VMs */
	int serving; /* VMs that are up and reachable */
	/* struct flt_place, switches with VMs of the pool, sorted by switch */
	GArray *places;
	GArray *by_zone; /* struct flt_tally by zone */
	/* int: number of switches with N serving VMs, by N */
	GArray *n_switches_by_serving;
	int max_behind_switch; /* most serving VMs behind one switch */
};

struct flt {
	GArray *zones; /* struct flt_zone */
	GArray *racks; /* struct flt_rack */
	GArray *vms; /* struct flt_vm */
	GArray *pools; /* struct flt_pool */
	int n_switches; /* switches are numbered from 0 */
};

struct flt *flt_new(void);
struct flt *flt_clone(const struct flt *f);
void flt_free(struct flt *f);
int flt_add_zone(struct flt *f, struct lstr name, int site);
int flt_add_rack(struct flt *f, struct lstr name, int zone, int sw);
int flt_add_vm(struct flt *f, struct lstr name, int rack, int kind);
int flt_add_pool(struct flt *f, struct lstr name,
		 const struct flt_budget *budget);
void flt_set_budget(struct flt *f, int pool, const struct flt_budget *budget);

struct flt_vm *flt_vm(const struct flt *f, int vm);
struct flt_zone *flt_zone(const struct flt *f, int zone);
struct flt_rack *flt_rack(const struct flt *f, int rack);
struct flt_rack *flt_rack_of(const struct flt *f, int vm);
struct flt_zone *flt_zone_of(const struct flt *f, int vm);
struct flt_pool *flt_pool(const struct flt *f, int pool);
const struct flt_tally *flt_behind_switch(const struct flt_pool *p, int sw);
struct flt_tally *flt_in_zone(const struct flt_pool *p, int zone);
int flt_find_vm(const struct flt *f, struct lstr name);
int flt_find_pool(const struct flt *f, struct lstr name);

int flt_floor(const struct flt_pool *p);
int flt_largest_loss(const struct flt_pool *p);
int flt_margin(const struct flt_pool *p);
enum flt_refusal flt_can_lose(struct flt *f, int vm);
enum flt_refusal flt_check_budget(const struct flt *f, int vm);
bool flt_fits(const struct flt *f, int vm, int pool);

bool flt_vm_event(struct flt *f, int vm, enum flt_event ev);
enum flt_refusal flt_claim(struct flt *f, int vm, uint64_t wave);
enum flt_refusal flt_hold(struct flt *f, int vm, bool force);
void flt_unhold(struct flt *f, int vm);
enum flt_refusal flt_move(struct flt *f, int vm, int to);
void flt_assign(struct flt *f, int vm, int to);
void flt_fail_rack(struct flt *f, int rack);
void flt_fail_zone(struct flt *f, int zone);
void flt_set_partitioned(struct flt *f, int zone, bool partitioned);

const char *flt_refusal_text(enum flt_refusal why);
const char *flt_state_name(enum flt_state state);
void flt_pack(const struct flt *f, struct pk_out *o);
struct flt *flt_unpack(struct lstr bytes, GError **err);

#endif
