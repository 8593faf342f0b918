#include "flt.h"

#include "cht.h"
#include "err.h"

static const char *const flt_states[FLT_STATES] = {
	[FLT_UP] = "up",
	[FLT_DRAINING] = "draining",
	[FLT_REBOOTING] = "rebooting",
	[FLT_CHECKING] = "checking",
	[FLT_HELD] = "held",
	[FLT_DOWN] = "down",
};

static const char *const flt_events[FLT_EVENTS] = {
	[FLT_TAKE] = "take",	   [FLT_GIVE_BACK] = "give-back",
	[FLT_EMPTIED] = "emptied", [FLT_BOOTED] = "booted",
	[FLT_HEALTHY] = "healthy", [FLT_HOLD] = "hold",
	[FLT_FAIL] = "fail",
};

static const char *const flt_refusals[FLT_REFUSALS] = {
	[FLT_OK] = "allowed",
	[FLT_NOT_UP] = "VM is not up",
	[FLT_PARTITIONED] = "zone is cut off",
	[FLT_IN_WAVE] = "taken by another wave",
	[FLT_BUDGET] = "budget would not survive the declared failure",
	[FLT_RACK_BUDGET] = "too many of the pool missing behind one switch",
	[FLT_ZONE_BUDGET] = "too many of the pool missing in one zone",
	[FLT_UNFIT] = "kind or site that the pool can't use",
};

static const struct cht *flt_chart(void);
static bool flt_is_serving(const struct flt *f, int vm);
static void flt_add_count(struct flt *f, int vm, int size, int serving);
static void flt_add_switch_count(struct flt_pool *p, int sw, int size,
				 int serving);
static void flt_add_serving(struct flt_pool *p, struct flt_tally *t,
			    int serving);
static struct flt_place *flt_get_place(const struct flt_pool *p, guint at);
static guint flt_find_place(const struct flt_pool *p, int sw);
static void flt_grow_pool(const struct flt *f, struct flt_pool *p);
static struct flt_pool flt_copy_pool(const struct flt_pool *p);
static void flt_clear_pool(struct flt_pool *p);
static int flt_max_serving(const GArray *tallies);
static void flt_pack_budget(const struct flt_budget *b, struct pk_out *o);
static struct flt_budget flt_unpack_budget(struct pk_in *in);
static bool flt_unpack_topology(struct flt *f, struct pk_in *in);
static bool flt_unpack_pools(struct flt *f, struct pk_in *in);
static bool flt_unpack_vms(struct flt *f, struct pk_in *in);
static int flt_find(const GArray *a, size_t stride, struct lstr name);

/* Creates a fleet that has only the spare pool. */
struct flt *flt_new(void)
{
	struct flt *f = g_new0(struct flt, 1);
	struct flt_budget none = {.site = FLT_ANY_SITE};

	f->zones = g_array_new(FALSE, TRUE, sizeof(struct flt_zone));
	f->racks = g_array_new(FALSE, TRUE, sizeof(struct flt_rack));
	f->vms = g_array_new(FALSE, TRUE, sizeof(struct flt_vm));
	f->pools = g_array_new(FALSE, TRUE, sizeof(struct flt_pool));
	flt_add_pool(f, LSTR("spare"), &none);
	return f;
}

/*
 * Returns a copy of a fleet that a plan may apply its moves to. The copy has no
 * names: a plan uses none, and copying them took longer than the plan after a
 * lost rack.
 */
struct flt *flt_clone(const struct flt *f)
{
	struct flt *c = g_new0(struct flt, 1);
	guint i;

	c->n_switches = f->n_switches;
	c->zones = g_array_copy(f->zones);
	c->racks = g_array_copy(f->racks);
	c->vms = g_array_copy(f->vms);
	c->pools = g_array_copy(f->pools);
	for (i = 0; i < c->zones->len; i++)
		g_array_index(c->zones, struct flt_zone, i).name = NULL;
	for (i = 0; i < c->racks->len; i++)
		g_array_index(c->racks, struct flt_rack, i).name = NULL;
	for (i = 0; i < c->vms->len; i++)
		flt_vm(c, (int)i)->name = NULL;
	for (i = 0; i < c->pools->len; i++)
		*flt_pool(c, (int)i) = flt_copy_pool(flt_pool(f, (int)i));
	return c;
}

/* Frees a fleet; NULL is allowed. */
void flt_free(struct flt *f)
{
	guint i;

	if (!f)
		return;
	for (i = 0; i < f->zones->len; i++)
		g_free(g_array_index(f->zones, struct flt_zone, i).name);
	for (i = 0; i < f->racks->len; i++)
		g_free(g_array_index(f->racks, struct flt_rack, i).name);
	for (i = 0; i < f->vms->len; i++)
		g_free(flt_vm(f, (int)i)->name);
	for (i = 0; i < f->pools->len; i++)
		flt_clear_pool(flt_pool(f, (int)i));
	g_array_free(f->zones, TRUE);
	g_array_free(f->racks, TRUE);
	g_array_free(f->vms, TRUE);
	g_array_free(f->pools, TRUE);
	g_free(f);
}

/* Adds a zone; returns its index. */
int flt_add_zone(struct flt *f, struct lstr name, int site)
{
	struct flt_zone z = {.name = lstr_dup(name), .site = site};
	guint i;

	g_array_append_val(f->zones, z);
	for (i = 0; i < f->pools->len; i++)
		flt_grow_pool(f, flt_pool(f, (int)i));
	return (int)f->zones->len - 1;
}

/*
 * Adds a rack behind switch sw (numbered from 0 over the fleet); returns its
 * index.
 */
int flt_add_rack(struct flt *f, struct lstr name, int zone, int sw)
{
	struct flt_rack r = {.name = lstr_dup(name), .zone = zone, .sw = sw};

	g_assert(zone >= 0 && zone < (int)f->zones->len && sw >= 0);
	g_array_append_val(f->racks, r);
	f->n_switches = MAX(f->n_switches, sw + 1);
	return (int)f->racks->len - 1;
}

/* Adds a VM, up and in the spare pool; returns its index. */
int flt_add_vm(struct flt *f, struct lstr name, int rack, int kind)
{
	struct flt_vm v = {
		.name = lstr_dup(name),
		.rack = rack,
		.kind = kind,
		.pool = FLT_SPARE,
		.epoch = 1,
	};

	g_assert(rack >= 0 && rack < (int)f->racks->len);
	g_array_append_val(f->vms, v);
	flt_add_count(f, (int)f->vms->len - 1, 1,
		      flt_is_serving(f, (int)f->vms->len - 1));
	return (int)f->vms->len - 1;
}

/* Adds a pool without VMs; returns its index. */
int flt_add_pool(struct flt *f, struct lstr name,
		 const struct flt_budget *budget)
{
	struct flt_pool p = {.name = lstr_dup(name), .budget = *budget};

	p.places = g_array_new(FALSE, TRUE, sizeof(struct flt_place));
	p.by_zone = g_array_new(FALSE, TRUE, sizeof(struct flt_tally));
	p.n_switches_by_serving = g_array_new(FALSE, TRUE, sizeof(int));
	flt_grow_pool(f, &p);
	g_array_append_val(f->pools, p);
	return (int)f->pools->len - 1;
}

/* Changes the declared budget of a pool. */
void flt_set_budget(struct flt *f, int pool, const struct flt_budget *budget)
{
	flt_pool(f, pool)->budget = *budget;
}

/* Returns the VM at an index. */
struct flt_vm *flt_vm(const struct flt *f, int vm)
{
	g_assert(vm >= 0 && vm < (int)f->vms->len);
	return &g_array_index(f->vms, struct flt_vm, vm);
}

/* Returns the zone at an index. */
struct flt_zone *flt_zone(const struct flt *f, int zone)
{
	g_assert(zone >= 0 && zone < (int)f->zones->len);
	return &g_array_index(f->zones, struct flt_zone, zone);
}

/* Returns the rack at an index. */
struct flt_rack *flt_rack(const struct flt *f, int rack)
{
	g_assert(rack >= 0 && rack < (int)f->racks->len);
	return &g_array_index(f->racks, struct flt_rack, rack);
}

/* Returns the rack of a VM. */
struct flt_rack *flt_rack_of(const struct flt *f, int vm)
{
	return &g_array_index(f->racks, struct flt_rack, flt_vm(f, vm)->rack);
}

/* Returns the zone of a VM. */
struct flt_zone *flt_zone_of(const struct flt *f, int vm)
{
	return &g_array_index(f->zones, struct flt_zone,
			      flt_rack_of(f, vm)->zone);
}

/* Returns the pool at an index. */
struct flt_pool *flt_pool(const struct flt *f, int pool)
{
	g_assert(pool >= 0 && pool < (int)f->pools->len);
	return &g_array_index(f->pools, struct flt_pool, pool);
}

/* Returns a pool's numbers of VMs behind a switch. */
const struct flt_tally *flt_behind_switch(const struct flt_pool *p, int sw)
{
	static const struct flt_tally none;
	guint at = flt_find_place(p, sw);

	if (at == p->places->len || flt_get_place(p, at)->sw != sw)
		return &none;
	return &flt_get_place(p, at)->tally;
}

/* Returns a pool's numbers of VMs in a zone. */
struct flt_tally *flt_in_zone(const struct flt_pool *p, int zone)
{
	return &g_array_index(p->by_zone, struct flt_tally, zone);
}

/* Returns the index of the VM of that name, or -1. */
int flt_find_vm(const struct flt *f, struct lstr name)
{
	return flt_find(f->vms, sizeof(struct flt_vm), name);
}

/* Returns the index of the pool of that name, or -1. */
int flt_find_pool(const struct flt *f, struct lstr name)
{
	return flt_find(f->pools, sizeof(struct flt_pool), name);
}

/* Returns the least number of VMs that must serve in a pool at any time. */
int flt_floor(const struct flt_pool *p)
{
	return MAX(0, p->budget.wanted - p->budget.missing);
}

/*
 * Returns the number of serving VMs that the largest failure the pool declared
 * would take.
 */
int flt_largest_loss(const struct flt_pool *p)
{
	if (!p->budget.survive_zone)
		return p->max_behind_switch;
	return MAX(p->max_behind_switch, flt_max_serving(p->by_zone));
}

/*
 * Returns how many serving VMs the pool has above its floor after its largest
 * declared failure. If negative, that failure would break the budget, so no VM
 * may be taken from the pool.
 */
int flt_margin(const struct flt_pool *p)
{
	return p->serving - flt_largest_loss(p) - flt_floor(p);
}

/*
 * Returns whether a VM's pool keeps its budget without the VM through the
 * largest failure it declared: FLT_OK, or the limit that would be exceeded.
 * This is the check for waves and moves: with a check of the current counts
 * alone, a rack lost a minute later would break the budget while the VMs taken
 * out are already rebooting.
 */
enum flt_refusal flt_can_lose(struct flt *f, int vm)
{
	enum flt_refusal why;

	if (!flt_is_serving(f, vm))
		return FLT_OK;
	flt_add_count(f, vm, 0, -1);
	why = flt_check_budget(f, vm);
	flt_add_count(f, vm, 0, 1);
	return why;
}

/*
 * Returns whether the pool of a VM, with all its VMs that are out now, keeps
 * its budget through its declared failure: FLT_OK, or the limit that is
 * exceeded.
 */
enum flt_refusal flt_check_budget(const struct flt *f, int vm)
{
	const struct flt_pool *p = flt_pool(f, flt_vm(f, vm)->pool);
	const struct flt_rack *r = flt_rack_of(f, vm);
	const struct flt_budget *b = &p->budget;
	const struct flt_tally *sw = flt_behind_switch(p, r->sw);
	const struct flt_tally *zone = flt_in_zone(p, r->zone);

	if (b->missing_rack && sw->size - sw->serving > b->missing_rack)
		return FLT_RACK_BUDGET;
	if (b->missing_zone && zone->size - zone->serving > b->missing_zone)
		return FLT_ZONE_BUDGET;
	if (flt_vm(f, vm)->pool != FLT_SPARE && flt_margin(p) < 0)
		return FLT_BUDGET;
	return FLT_OK;
}

/* Whether a pool can use a VM, by its kind and site. */
bool flt_fits(const struct flt *f, int vm, int pool)
{
	const struct flt_budget *b = &flt_pool(f, pool)->budget;

	if (pool == FLT_SPARE)
		return true;
	return flt_vm(f, vm)->kind == b->kind &&
	       (b->site == FLT_ANY_SITE || b->site == flt_zone_of(f, vm)->site);
}

/*
 * Applies an event to a VM and updates the counts. Returns false if the state
 * chart rejects the event in the VM's state.
 */
bool flt_vm_event(struct flt *f, int vm, enum flt_event ev)
{
	struct flt_vm *v = flt_vm(f, vm);
	bool was_serving = flt_is_serving(f, vm);
	struct cht_step step;

	if (!cht_step(flt_chart(), (int)v->state, (int)ev, &step))
		return false;
	v->state = (enum flt_state)step.next;
	/*
	 * A hold remains in force after a failure: the operator's reason still
	 * applies.
	 */
	if (v->state == FLT_UP && v->hold)
		v->state = FLT_HELD;
	flt_add_count(f, vm, 0, (int)flt_is_serving(f, vm) - (int)was_serving);
	return true;
}

/* Takes a VM out for a wave, to be drained, if its pool can do without it. */
enum flt_refusal flt_claim(struct flt *f, int vm, uint64_t wave)
{
	struct flt_vm *v = flt_vm(f, vm);
	enum flt_refusal why;

	if (v->wave != FLT_NO_WAVE && v->wave != wave)
		return FLT_IN_WAVE;
	if (v->state != FLT_UP)
		return FLT_NOT_UP;
	if (flt_zone_of(f, vm)->partitioned)
		return FLT_PARTITIONED;
	why = flt_can_lose(f, vm);
	if (why != FLT_OK)
		return why;
	v->wave = wave;
	flt_vm_event(f, vm, FLT_TAKE);
	return FLT_OK;
}

/*
 * Drains a VM for an operator; force overrides the budget, not the state chart.
 */
enum flt_refusal flt_hold(struct flt *f, int vm, bool force)
{
	struct flt_vm *v = flt_vm(f, vm);
	enum flt_refusal why = FLT_OK;

	if (v->wave != FLT_NO_WAVE)
		return FLT_IN_WAVE;
	if (v->state == FLT_UP && !force)
		why = flt_can_lose(f, vm);
	if (why != FLT_OK)
		return why;
	v->hold = true;
	if (v->state == FLT_UP)
		flt_vm_event(f, vm, FLT_HOLD);
	return FLT_OK;
}

/* Ends an operator's hold: the VM serves again. */
void flt_unhold(struct flt *f, int vm)
{
	struct flt_vm *v = flt_vm(f, vm);

	v->hold = false;
	if (v->state == FLT_HELD)
		flt_vm_event(f, vm, FLT_GIVE_BACK);
}

/*
 * Moves a VM to another pool. This is checked here again, not only while
 * planning: between plan and move a VM may fail, be taken by a wave or be
 * partitioned.
 */
enum flt_refusal flt_move(struct flt *f, int vm, int to)
{
	struct flt_vm *v = flt_vm(f, vm);
	enum flt_refusal why;

	if (!flt_fits(f, vm, to))
		return FLT_UNFIT;
	if (v->wave != FLT_NO_WAVE)
		return FLT_IN_WAVE;
	if (v->state != FLT_UP && v->state != FLT_HELD)
		return FLT_NOT_UP;
	if (flt_zone_of(f, vm)->partitioned)
		return FLT_PARTITIONED;
	why = flt_can_lose(f, vm);
	if (why != FLT_OK)
		return why;
	flt_assign(f, vm, to);
	return FLT_OK;
}

/*
 * Changes a VM's pool without a check: for first assignments, and to apply and
 * undo moves on a plan's copy.
 */
void flt_assign(struct flt *f, int vm, int to)
{
	struct flt_vm *v = flt_vm(f, vm);
	int serving = flt_is_serving(f, vm);

	flt_add_count(f, vm, -1, -serving);
	v->pool = to;
	v->epoch++;
	flt_add_count(f, vm, 1, serving);
}

/* Fails all VMs of a rack. */
void flt_fail_rack(struct flt *f, int rack)
{
	guint i;

	for (i = 0; i < f->vms->len; i++)
		if (flt_vm(f, (int)i)->rack == rack)
			flt_vm_event(f, (int)i, FLT_FAIL);
}

/* Fails all VMs of a zone. */
void flt_fail_zone(struct flt *f, int zone)
{
	guint i;

	for (i = 0; i < f->vms->len; i++)
		if (flt_rack_of(f, (int)i)->zone == zone)
			flt_vm_event(f, (int)i, FLT_FAIL);
}

/*
 * Marks a zone as partitioned or reachable again. VMs of a partitioned zone
 * count as missing: whether they serve is unknown, and no VM of the reachable
 * zones may be taken down on the assumption that they do.
 */
void flt_set_partitioned(struct flt *f, int zone, bool partitioned)
{
	struct flt_zone *z = flt_zone(f, zone);
	bool was_serving;
	guint i;

	if (z->partitioned == partitioned)
		return;
	for (i = 0; i < f->vms->len; i++) {
		if (flt_rack_of(f, (int)i)->zone != zone)
			continue;
		z->partitioned = !partitioned;
		was_serving = flt_is_serving(f, (int)i);
		z->partitioned = partitioned;
		flt_add_count(f, (int)i, 0,
			      (int)flt_is_serving(f, (int)i) -
				      (int)was_serving);
	}
	z->partitioned = partitioned;
}

/* Returns the reason as a text for audit entries and operators. */
const char *flt_refusal_text(enum flt_refusal why)
{
	return flt_refusals[why];
}

/* Returns the state's name as in the chart. */
const char *flt_state_name(enum flt_state state)
{
	return flt_states[state];
}

/* Packs the whole fleet. */
void flt_pack(const struct flt *f, struct pk_out *o)
{
	guint i;

	pk_arr(o, 4);
	pk_arr(o, (size_t)f->zones->len * 3);
	for (i = 0; i < f->zones->len; i++) {
		const struct flt_zone *z = flt_zone(f, (int)i);

		pk_cstr(o, z->name);
		pk_i(o, z->site);
		pk_bool(o, z->partitioned);
	}
	pk_arr(o, (size_t)f->racks->len * 3);
	for (i = 0; i < f->racks->len; i++) {
		const struct flt_rack *r = flt_rack(f, (int)i);

		pk_cstr(o, r->name);
		pk_i(o, r->zone);
		pk_i(o, r->sw);
	}
	pk_arr(o, (size_t)(f->pools->len - 1) * 2);
	for (i = 1; i < f->pools->len; i++) {
		pk_cstr(o, flt_pool(f, (int)i)->name);
		flt_pack_budget(&flt_pool(f, (int)i)->budget, o);
	}
	pk_arr(o, (size_t)f->vms->len * 9);
	for (i = 0; i < f->vms->len; i++) {
		const struct flt_vm *v = flt_vm(f, (int)i);

		pk_cstr(o, v->name);
		pk_i(o, v->rack);
		pk_i(o, v->kind);
		pk_i(o, v->pool);
		pk_i(o, v->state);
		pk_bool(o, v->hold);
		pk_u(o, v->wave);
		pk_u(o, v->epoch);
		pk_i(o, v->maintained_ms);
	}
}

/* Returns the fleet that flt_pack wrote, or NULL with ERR_CORRUPT. */
struct flt *flt_unpack(struct lstr bytes, GError **err)
{
	struct flt *f = flt_new();
	struct pk_in in;
	bool ok = pk_in_init(&in, bytes);

	if (ok) {
		ok = flt_unpack_topology(f, &in) && flt_unpack_pools(f, &in) &&
		     flt_unpack_vms(f, &in);
		pk_in_done(&in);
	}
	if (ok)
		return f;
	flt_free(f);
	err_set(err, ERR_CORRUPT, "read fleet", NULL, "not a fleet");
	return NULL;
}

/* Returns the VM state chart, loaded once; it never changes after that. */
static const struct cht *flt_chart(void)
{
	static struct cht *chart;
	const struct cht_names names = {
		.states = flt_states,
		.n_states = FLT_STATES,
		.events = flt_events,
		.n_events = FLT_EVENTS,
	};

	if (!chart)
		chart = cht_builtin("vm", &names);
	return chart;
}

/* Whether a VM is up and its zone is reachable. */
static bool flt_is_serving(const struct flt *f, int vm)
{
	return flt_vm(f, vm)->state == FLT_UP &&
	       !flt_zone_of(f, vm)->partitioned;
}

/* Adds to the counts of a VM's pool, in total, by zone and by switch. */
static void flt_add_count(struct flt *f, int vm, int size, int serving)
{
	struct flt_pool *p = flt_pool(f, flt_vm(f, vm)->pool);
	const struct flt_rack *r = flt_rack_of(f, vm);
	struct flt_tally *zone = flt_in_zone(p, r->zone);

	if (size == 0 && serving == 0)
		return;
	p->size += size;
	p->serving += serving;
	zone->size = (uint16_t)(zone->size + size);
	zone->serving = (uint16_t)(zone->serving + serving);
	flt_add_switch_count(p, r->sw, size, serving);
}

/*
 * Updates a pool's counts behind a switch. The numbers of switches by serving
 * VMs give the largest count in O(1).
 */
static void flt_add_switch_count(struct flt_pool *p, int sw, int size,
				 int serving)
{
	struct flt_place place = {.sw = sw};
	guint at = flt_find_place(p, sw);
	struct flt_tally *t;

	if (at == p->places->len || flt_get_place(p, at)->sw != sw)
		g_array_insert_val(p->places, at, place);
	t = &flt_get_place(p, at)->tally;
	t->size = (uint16_t)(t->size + size);
	if (serving)
		flt_add_serving(p, t, serving);
	if (t->size == 0)
		g_array_remove_index(p->places, at);
}

/* Adds to the serving VMs behind a switch and keeps the maximum up to date. */
static void flt_add_serving(struct flt_pool *p, struct flt_tally *t,
			    int serving)
{
	int *n_switches_with;

	if (p->n_switches_by_serving->len < (guint)t->serving + 2)
		g_array_set_size(p->n_switches_by_serving,
				 (guint)t->serving + 2);
	n_switches_with = (int *)(void *)p->n_switches_by_serving->data;
	n_switches_with[t->serving]--;
	t->serving = (uint16_t)(t->serving + serving);
	n_switches_with[t->serving]++;
	p->max_behind_switch = MAX(p->max_behind_switch, (int)t->serving);
	while (p->max_behind_switch > 0 &&
	       n_switches_with[p->max_behind_switch] == 0)
		p->max_behind_switch--;
}

static struct flt_place *flt_get_place(const struct flt_pool *p, guint at)
{
	return &g_array_index(p->places, struct flt_place, at);
}

/*
 * Returns the position of a switch in the pool's list, or where it would be
 * inserted.
 */
static guint flt_find_place(const struct flt_pool *p, int sw)
{
	guint low = 0;
	guint high = p->places->len;
	guint mid;

	while (low < high) {
		mid = (low + high) / 2;
		if (flt_get_place(p, mid)->sw < sw)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static void flt_grow_pool(const struct flt *f, struct flt_pool *p)
{
	g_array_set_size(p->by_zone, f->zones->len);
}

static struct flt_pool flt_copy_pool(const struct flt_pool *p)
{
	struct flt_pool c = *p;

	c.name = NULL;
	c.places = g_array_copy(p->places);
	c.by_zone = g_array_copy(p->by_zone);
	c.n_switches_by_serving = g_array_copy(p->n_switches_by_serving);
	return c;
}

static void flt_clear_pool(struct flt_pool *p)
{
	g_free(p->name);
	g_array_free(p->places, TRUE);
	g_array_free(p->by_zone, TRUE);
	g_array_free(p->n_switches_by_serving, TRUE);
}

static int flt_max_serving(const GArray *tallies)
{
	int most = 0;
	guint i;

	for (i = 0; i < tallies->len; i++)
		most = MAX(most,
			   g_array_index(tallies, struct flt_tally, i).serving);
	return most;
}

static void flt_pack_budget(const struct flt_budget *b, struct pk_out *o)
{
	pk_arr(o, 8);
	pk_i(o, b->kind);
	pk_i(o, b->site);
	pk_i(o, b->wanted);
	pk_i(o, b->missing);
	pk_i(o, b->missing_rack);
	pk_i(o, b->missing_zone);
	pk_bool(o, b->survive_zone);
	pk_i(o, b->priority);
}

static struct flt_budget flt_unpack_budget(struct pk_in *in)
{
	struct pk_in a = pk_get_arr(in);
	struct flt_budget b;

	b.kind = (int)pk_get_i(&a);
	b.site = (int)pk_get_i(&a);
	b.wanted = (int)pk_get_i(&a);
	b.missing = (int)pk_get_i(&a);
	b.missing_rack = (int)pk_get_i(&a);
	b.missing_zone = (int)pk_get_i(&a);
	b.survive_zone = pk_get_bool(&a);
	b.priority = (int)pk_get_i(&a);
	in->bad |= !pk_in_ok(&a);
	return b;
}

static bool flt_unpack_topology(struct flt *f, struct pk_in *in)
{
	struct pk_in zones = pk_get_arr(in);
	struct pk_in racks = pk_get_arr(in);
	struct lstr name;
	int zone;
	int at;

	while (pk_in_ok(&zones) && pk_in_left(&zones)) {
		name = pk_get_str(&zones);
		at = flt_add_zone(f, name, (int)pk_get_i(&zones));
		g_array_index(f->zones, struct flt_zone, at).partitioned =
			pk_get_bool(&zones);
	}
	while (pk_in_ok(&racks) && pk_in_left(&racks)) {
		name = pk_get_str(&racks);
		zone = (int)pk_get_i(&racks);
		at = (int)pk_get_i(&racks);
		/*
		 * Switches are numbered densely, so a larger number means
		 * corrupt data.
		 */
		if (zone < 0 || zone >= (int)f->zones->len || at < 0 ||
		    at > UINT16_MAX)
			return false;
		flt_add_rack(f, name, zone, at);
	}
	return pk_in_ok(&zones) && pk_in_ok(&racks);
}

static bool flt_unpack_pools(struct flt *f, struct pk_in *in)
{
	struct pk_in pools = pk_get_arr(in);
	struct flt_budget budget;
	struct lstr name;

	while (pk_in_ok(&pools) && pk_in_left(&pools)) {
		name = pk_get_str(&pools);
		budget = flt_unpack_budget(&pools);
		flt_add_pool(f, name, &budget);
	}
	return pk_in_ok(&pools);
}

static bool flt_unpack_vms(struct flt *f, struct pk_in *in)
{
	struct pk_in vms = pk_get_arr(in);
	struct flt_vm v;
	int state;

	while (pk_in_ok(&vms) && pk_in_left(&vms)) {
		v.name = lstr_dup(pk_get_str(&vms));
		v.rack = (int)pk_get_i(&vms);
		v.kind = (int)pk_get_i(&vms);
		v.pool = (int)pk_get_i(&vms);
		state = (int)pk_get_i(&vms);
		v.state = (enum flt_state)state;
		v.hold = pk_get_bool(&vms);
		v.wave = pk_get_u(&vms);
		v.epoch = pk_get_u(&vms);
		v.maintained_ms = pk_get_i(&vms);
		if (!pk_in_ok(&vms) || v.rack < 0 ||
		    v.rack >= (int)f->racks->len || v.pool < 0 ||
		    v.pool >= (int)f->pools->len || state < 0 ||
		    state >= FLT_STATES) {
			g_free(v.name);
			return false;
		}
		g_array_append_val(f->vms, v);
		flt_add_count(f, (int)f->vms->len - 1, 1,
			      flt_is_serving(f, (int)f->vms->len - 1));
	}
	return pk_in_ok(&vms);
}

/*
 * Returns the index of the element of that name, or -1. Each element type
 * begins with its name.
 */
static int flt_find(const GArray *a, size_t stride, struct lstr name)
{
	char *const *at;
	guint i;

	for (i = 0; i < a->len; i++) {
		at = (char *const *)(const void *)(a->data + i * stride);
		if (lstr_eq(lstr_from(*at), name))
			return (int)i;
	}
	return -1;
}
