#ifndef FLT_H
#define FLT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"
#include "pk.h"

/*
 * The fleet model that planner, waves and jobs share: VMs in racks in zones
 * in sites, and the pools with their availability budgets. No clock, file or
 * socket; things are named by their index. Fields are read freely and changed
 * only through the functions below, which keep the counts right.
 */

/* In the order of the names that charts/vm.chart uses. */
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

/* Why an act of ours is not done now. */
enum flt_why {
	FLT_OK,
	FLT_NOT_UP,
	FLT_CUT_OFF,
	FLT_TAKEN, /* by another wave */
	FLT_BUDGET,
	FLT_RACK_BUDGET,
	FLT_ZONE_BUDGET,
	FLT_UNFIT, /* kind or site that the pool can't use */
	FLT_WHYS
};

/* The pool of every VM that no other pool has. */
#define FLT_SPARE 0
#define FLT_ANY_SITE (-1)
#define FLT_NO_WAVE 0

struct flt_zone {
	char *name;
	int site;
	bool cut; /* the control side can't reach it */
};

/* A rack hangs on one switch; racks of one switch are lost together. */
struct flt_rack {
	char *name;
	int zone;
	int sw;
};

struct flt_vm {
	char *name;
	int rack;
	int kind; /* of machine: a pool takes VMs of its kind */
	int pool;
	enum flt_state state;
	bool hold; /* an operator wants it drained, also after a failure */
	uint64_t wave; /* that took it; FLT_NO_WAVE: none */
	uint64_t epoch; /* of its membership; grows with each move */
	int64_t maintained_ms;
};

/* What an operator declares of a pool; counts are VMs. */
struct flt_budget {
	int kind;
	int site;
	int wanted;
	int missing; /* of wanted, at most, after the declared failure too */
	int missing_rack; /* in the racks of one switch; 0: no own limit */
	int missing_zone; /* in one zone; 0: no own limit */
	bool survive_zone; /* declared failure: any zone, not any switch */
	int priority; /* larger gets spare VMs first */
};

struct flt_tally {
	uint16_t size;
	uint16_t serving;
};

/* What a pool has behind one switch; most pools are behind few of them. */
struct flt_place {
	int sw;
	struct flt_tally tally;
};

struct flt_pool {
	char *name;
	struct flt_budget budget;
	int size;
	int serving;
	GArray *places; /* struct flt_place, those with VMs, by switch */
	GArray *by_zone; /* struct flt_tally by zone */
	GArray *sw_having; /* int: switches that have N serving, by N */
	int worst_sw; /* most serving behind one switch */
};

struct flt {
	GArray *zones; /* struct flt_zone */
	GArray *racks; /* struct flt_rack */
	GArray *vms; /* struct flt_vm */
	GArray *pools; /* struct flt_pool */
	int n_switches;
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
struct flt_rack *flt_rack_of(const struct flt *f, int vm);
struct flt_zone *flt_zone_of(const struct flt *f, int vm);
struct flt_pool *flt_pool(const struct flt *f, int pool);
const struct flt_tally *flt_at_sw(const struct flt_pool *p, int sw);
struct flt_tally *flt_at_zone(const struct flt_pool *p, int zone);
int flt_find_vm(const struct flt *f, struct lstr name);
int flt_find_pool(const struct flt *f, struct lstr name);

int flt_floor(const struct flt_pool *p);
int flt_largest_loss(const struct flt_pool *p);
int flt_margin(const struct flt_pool *p);
enum flt_why flt_can_lose(struct flt *f, int vm);
enum flt_why flt_kept(const struct flt *f, int vm);
bool flt_fits(const struct flt *f, int vm, int pool);

bool flt_vm_event(struct flt *f, int vm, enum flt_event ev);
enum flt_why flt_take(struct flt *f, int vm, uint64_t wave);
enum flt_why flt_hold(struct flt *f, int vm, bool force);
void flt_unhold(struct flt *f, int vm);
enum flt_why flt_move(struct flt *f, int vm, int to);
void flt_put(struct flt *f, int vm, int to);
void flt_fail_rack(struct flt *f, int rack);
void flt_fail_zone(struct flt *f, int zone);
void flt_cut(struct flt *f, int zone, bool cut);

const char *flt_why_text(enum flt_why why);
const char *flt_state_name(enum flt_state state);
void flt_pack(const struct flt *f, struct pk_out *o);
struct flt *flt_unpack(struct lstr bytes, GError **err);

#endif
