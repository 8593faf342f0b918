#include "pln.h"

/*
 * Greedy repair: in the order of their priority, pools get VMs one by one, each
 * time the VM that keeps the pool spread best, until they have what they want
 * and survive the declared failure. docs/design/planner.md compares this with
 * other algorithms. A VM beyond what its pool needs stays in the pool and may
 * be moved to any pool that lacks one: so the buffer is shared without moves to
 * a common place and back.
 */

/* Cost, in steps, of one access to a switch while a pool's heap is built. */
#define PLN_COST_SWITCH 1
/* Cost, in steps, of moving one VM. */
#define PLN_COST_MOVE 16
/*
 * Most VMs in a row that may join a pool without improving its margin. An even
 * spread over switches, and over zones, has one such VM each, the first of a
 * new layer.
 */
#define PLN_FUTILE_MAX 2

enum pln_phase {
	PLN_INDEX,
	PLN_OPEN,
	PLN_FILL,
	PLN_DONE,
};

/* A switch that has donors, with its rank for the pool being filled. */
struct pln_switch {
	uint64_t rank;
	int sw;
	int zone;
};

struct pln {
	struct flt *f; /* copy of the fleet, with the planned moves applied */
	struct pln_config config;
	int *lend; /* by pool: VMs beyond slack */
	int *in_maintenance; /* by pool: VMs that are in a wave's maintenance */
	enum pln_phase phase;
	int steps_used; /* steps used in this pln_step() */
	int vm; /* the VM that was indexed last */
	int *donors; /* by switch: first VM that may change pools, or -1 */
	int *next_donor; /* by VM: the next donor behind its switch, or -1 */
	int *zone_of_sw;
	GArray *order; /* int: pools, in descending priority */
	guint at; /* position in order */
	GArray *heap; /* struct pln_switch, for the pool being filled */
	int futile;
	GArray *moves;
	GArray *shortages;
};

static void pln_add_lacking(const struct flt_pool *pool, int *lacking,
			    int *always);
static void pln_index_vm(struct pln *p);
static void pln_open_pool(struct pln *p);
static bool pln_is_in_site(const struct pln *p, int pool, int zone);
static void pln_fill_pool(struct pln *p);
static int pln_compare_priority(gconstpointer a, gconstpointer b,
				gpointer data);
static int pln_slack(const struct pln *p, int pool);
static int pln_count_lacking(const struct pln *p, int pool,
			     enum pln_reason *why);
static bool pln_has_partitioned_zone(const struct flt *f,
				     const struct flt_pool *pool);
static uint64_t pln_rank(const struct pln *p, int pool, int sw, int zone);
static int pln_choose_vm(struct pln *p, int pool);
static int pln_find_donor(struct pln *p, int sw, int pool);
static bool pln_may_give(struct pln *p, int vm, int to);
static void pln_record_shortage(struct pln *p, int pool, int lacking,
				enum pln_reason why);
static struct pln_switch *pln_heap_at(GArray *heap, guint i);
static void pln_heap_swap(GArray *heap, guint i, guint j);
static bool pln_heap_less(GArray *heap, guint i, guint j);
static void pln_heap_sift_up(GArray *heap, guint i);
static void pln_heap_sift_down(GArray *heap, guint i);
static struct pln_switch pln_heap_pop(GArray *heap);

static void (*const pln_phases[])(struct pln *p) = {
	[PLN_INDEX] = pln_index_vm,
	[PLN_OPEN] = pln_open_pool,
	[PLN_FILL] = pln_fill_pool,
};

static const char *const pln_reasons[PLN_REASONS] = {
	[PLN_REFILL] = "fewer VMs serve than the pool wants",
	[PLN_SURVIVE] = "the failure the pool declared would break its budget",
	[PLN_LEND] = "the pool's maintenance wave goes faster with it",
};

/*
 * Starts a plan for the fleet in its current state. lend has, by pool, the VMs
 * that a wave of the pool may use beyond the configured slack; NULL: none. f is
 * copied.
 */
struct pln *pln_new(const struct flt *f, const struct pln_config *config,
		    const int *lend)
{
	struct pln *p = g_new0(struct pln, 1);
	int i;

	p->f = flt_clone(f);
	p->config = *config;
	p->lend = g_new0(int, f->pools->len);
	if (lend)
		memcpy(p->lend, lend, f->pools->len * sizeof(*lend));
	p->in_maintenance = g_new0(int, f->pools->len);
	p->donors = g_new(int, f->n_switches + 1);
	for (i = 0; i < f->n_switches; i++)
		p->donors[i] = -1;
	p->next_donor = g_new(int, f->vms->len + 1);
	p->vm = (int)f->vms->len;
	p->zone_of_sw = g_new0(int, f->n_switches + 1);
	for (i = 0; i < (int)f->racks->len; i++) {
		struct flt_rack *r = flt_rack(f, (int)i);

		p->zone_of_sw[r->sw] = r->zone;
	}
	p->order = g_array_new(FALSE, FALSE, sizeof(int));
	for (i = 1; i < (int)f->pools->len; i++)
		g_array_append_val(p->order, i);
	g_array_sort_with_data(p->order, pln_compare_priority, p->f);
	p->heap = g_array_new(FALSE, FALSE, sizeof(struct pln_switch));
	p->moves = g_array_new(FALSE, FALSE, sizeof(struct pln_move));
	p->shortages = g_array_new(FALSE, FALSE, sizeof(struct pln_shortage));
	return p;
}

/* Frees a plan, complete or not; NULL is allowed. */
void pln_free(struct pln *p)
{
	if (!p)
		return;
	g_free(p->donors);
	g_free(p->next_donor);
	g_free(p->zone_of_sw);
	g_free(p->lend);
	g_free(p->in_maintenance);
	g_array_free(p->order, TRUE);
	g_array_free(p->heap, TRUE);
	g_array_free(p->moves, TRUE);
	g_array_free(p->shortages, TRUE);
	flt_free(p->f);
	g_free(p);
}

/*
 * Continues a plan for about budget steps of well under a microsecond each, so
 * that the caller's event loop is not blocked for long. Returns true when the
 * plan is complete.
 */
bool pln_step(struct pln *p, int budget)
{
	p->steps_used = 0;
	while (p->phase != PLN_DONE && p->steps_used < budget)
		pln_phases[p->phase](p);
	return p->phase == PLN_DONE;
}

/*
 * Returns the moves, struct pln_move, in the order in which they must be
 * carried out.
 */
const GArray *pln_moves(const struct pln *p)
{
	return p->moves;
}

/* Returns the needs that cannot be met, struct pln_shortage. */
const GArray *pln_shortages(const struct pln *p)
{
	return p->shortages;
}

/* Returns the fleet with the moves applied; it belongs to the plan. */
const struct flt *pln_after(const struct pln *p)
{
	return p->f;
}

/* Returns the text of a reason. */
const char *pln_reason_text(enum pln_reason reason)
{
	return pln_reasons[reason];
}

/*
 * Returns how many VMs must be in reserve so that every pool gets back what it
 * wants after the loss of any single switch of each site: for each site the
 * largest sum over one switch, not the sum of every pool's worst case. Spare
 * VMs behind the lost switch do not count towards the reserve and come on top
 * of it.
 */
int pln_reserve(const struct flt *f, const struct pln_config *config)
{
	/* site + 1: largest sum */
	GHashTable *worst = g_hash_table_new(NULL, NULL);
	int *lacking = g_new0(int, f->n_switches + 1);
	int sum = config->single_failures;
	int always = 0;
	gpointer site;
	int most;
	int all;
	guint i;

	for (i = 1; i < f->pools->len; i++)
		pln_add_lacking(flt_pool(f, (int)i), lacking, &always);
	for (i = 0; i < f->racks->len; i++) {
		const struct flt_rack *r = flt_rack(f, (int)i);

		site = GINT_TO_POINTER(
			g_array_index(f->zones, struct flt_zone, r->zone).site +
			1);
		most = GPOINTER_TO_INT(g_hash_table_lookup(worst, site));
		all = lacking[r->sw] + always;
		g_hash_table_insert(worst, site,
				    GINT_TO_POINTER(MAX(most, all)));
		sum += MAX(0, all - most);
	}
	g_hash_table_destroy(worst);
	g_free(lacking);
	return sum;
}

/*
 * Adds what a pool would lack after the loss of each switch that it has VMs
 * behind. What it lacks in any case is added to always.
 */
static void pln_add_lacking(const struct flt_pool *pool, int *lacking,
			    int *always)
{
	int now = pool->budget.wanted - pool->serving;
	const struct flt_place *entry;
	guint i;

	*always += MAX(0, now);
	for (i = 0; i < pool->places->len; i++) {
		entry = &g_array_index(pool->places, struct flt_place, i);
		lacking[entry->sw] +=
			MAX(0, now + entry->tally.serving) - MAX(0, now);
	}
}

/* Computes the measures of a fleet in its current state. */
void pln_measure(const struct flt *f, const struct pln_config *config,
		 struct pln_measures *out)
{
	const struct flt_pool *pool;
	int margin;
	guint i;

	*out = (struct pln_measures){0};
	for (i = 1; i < f->pools->len; i++) {
		pool = flt_pool(f, (int)i);
		margin = flt_margin(pool);
		out->wanted += pool->budget.wanted;
		/* VMs above the slack are surplus, which any pool may use. */
		out->embedded += MAX(0, pool->serving - pool->budget.wanted -
						MAX(0, margin - config->slack));
		out->broken += pool->serving < flt_floor(pool);
		out->at_stake += margin < 0;
		if (pool->size)
			out->rounds = MAX(out->rounds,
					  (pool->size + MAX(margin, 1) - 1) /
						  MAX(margin, 1));
	}
	out->reserve = pln_reserve(f, config);
}

/*
 * Returns how many VMs are worth lending to a pool while its wave runs, at most
 * available. Each shortens the wave by some rounds, is reserved for it, and
 * costs a move to the pool and one away; the weights decide which is preferred.
 */
int pln_lend(const struct flt *f, const struct pln_config *config, int pool,
	     int available)
{
	const struct flt_pool *p = flt_pool(f, pool);
	int margin = MAX(1, flt_margin(p));
	double best = 0;
	double gain;
	int lend = 0;
	int n;

	for (n = 1; n <= available; n++) {
		gain = config->weights.rollout *
			       ((double)p->size / margin -
				(double)p->size / (margin + n)) -
		       (config->weights.moves * 2 + config->weights.buffer) * n;
		if (gain <= best)
			continue;
		best = gain;
		lend = n;
	}
	return lend;
}

/*
 * Indexes one VM, from the last to the first: whether it may change pools at
 * all.
 */
static void pln_index_vm(struct pln *p)
{
	const struct flt_vm *v;
	const struct flt_pool *pool;
	int sw;

	if (p->vm == 0) {
		p->phase = PLN_OPEN;
		return;
	}
	p->vm--;
	v = flt_vm(p->f, p->vm);
	pool = flt_pool(p->f, v->pool);
	p->steps_used++;
	p->in_maintenance[v->pool] += v->wave != FLT_NO_WAVE &&
				      v->state != FLT_UP &&
				      v->state != FLT_DOWN;
	if (v->state == FLT_UP && v->wave == FLT_NO_WAVE && !v->hold &&
	    !flt_zone_of(p->f, p->vm)->partitioned &&
	    (v->pool == FLT_SPARE || pool->serving > flt_floor(pool))) {
		sw = flt_rack_of(p->f, p->vm)->sw;
		p->next_donor[p->vm] = p->donors[sw];
		p->donors[sw] = p->vm;
	}
}

/* Opens the next pool, or skips it in O(1) if it lacks nothing. */
static void pln_open_pool(struct pln *p)
{
	struct pln_switch entry;
	enum pln_reason why;
	int pool;

	p->steps_used++;
	if (p->at >= p->order->len) {
		p->phase = PLN_DONE;
		return;
	}
	pool = g_array_index(p->order, int, p->at);
	if (pln_count_lacking(p, pool, &why) <= 0) {
		p->at++;
		return;
	}
	g_array_set_size(p->heap, 0);
	for (entry.sw = 0; entry.sw < p->f->n_switches; entry.sw++) {
		p->steps_used += PLN_COST_SWITCH;
		if (p->donors[entry.sw] < 0)
			continue;
		entry.zone = p->zone_of_sw[entry.sw];
		if (!pln_is_in_site(p, pool, entry.zone))
			continue;
		entry.rank = pln_rank(p, pool, entry.sw, entry.zone);
		g_array_append_val(p->heap, entry);
		pln_heap_sift_up(p->heap, p->heap->len - 1);
	}
	p->futile = 0;
	p->phase = PLN_FILL;
}

/*
 * Whether a zone is in the pool's site. Without this check, zones of other
 * sites would rank first, as the pool has no VMs there.
 */
static bool pln_is_in_site(const struct pln *p, int pool, int zone)
{
	int site = flt_pool(p->f, pool)->budget.site;

	return site == FLT_ANY_SITE ||
	       site == g_array_index(p->f->zones, struct flt_zone, zone).site;
}

/* Adds one VM to the open pool. */
static void pln_fill_pool(struct pln *p)
{
	struct pln_move move = {.to = g_array_index(p->order, int, p->at)};
	const struct flt_pool *pool = flt_pool(p->f, move.to);
	int lacking = pln_count_lacking(p, move.to, &move.reason);
	int margin = flt_margin(pool);

	p->steps_used += PLN_COST_MOVE;
	if (lacking > 0) {
		move.vm = p->futile > PLN_FUTILE_MAX
				  ? -1
				  : pln_choose_vm(p, move.to);
		if (move.vm < 0)
			pln_record_shortage(p, move.to, lacking, move.reason);
	}
	if (lacking <= 0 || move.vm < 0) {
		p->at++;
		p->phase = PLN_OPEN;
		return;
	}
	move.from = flt_vm(p->f, move.vm)->pool;
	flt_assign(p->f, move.vm, move.to);
	g_array_append_val(p->moves, move);
	if (move.reason == PLN_REFILL || flt_margin(pool) > margin)
		p->futile = 0;
	else
		p->futile++;
}

static int pln_compare_priority(gconstpointer a, gconstpointer b, gpointer data)
{
	int pa = *(const int *)a;
	int pb = *(const int *)b;
	int more = flt_pool(data, pb)->budget.priority -
		   flt_pool(data, pa)->budget.priority;

	return more ? more : pa - pb;
}

/* Returns the slack of a pool, with the VMs lent to it. */
static int pln_slack(const struct pln *p, int pool)
{
	return p->config.slack + p->lend[pool];
}

/*
 * Returns how many VMs a pool lacks, and the first reason for it. While one of
 * its zones is partitioned, a pool is only kept above its floor: the zone may
 * well serve on its side, and refilling at every partition would move a third
 * of the fleet and back. VMs in a wave's maintenance come back in minutes and
 * are not replaced either, unless another failure has put the budget at stake.
 */
static int pln_count_lacking(const struct pln *p, int pool,
			     enum pln_reason *why)
{
	const struct flt_pool *at = flt_pool(p->f, pool);
	int in_maintenance = p->in_maintenance[pool];
	int margin = flt_margin(at);

	*why = PLN_REFILL;
	if (at->budget.wanted == 0)
		return 0;
	if (pln_has_partitioned_zone(p->f, at))
		return flt_floor(at) - at->serving;
	if (at->budget.wanted > at->serving + in_maintenance)
		return at->budget.wanted - at->serving - in_maintenance;
	*why = margin + in_maintenance < p->config.slack || margin < 0
		       ? PLN_SURVIVE
		       : PLN_LEND;
	return MAX(-margin, pln_slack(p, pool) - margin - in_maintenance);
}

static bool pln_has_partitioned_zone(const struct flt *f,
				     const struct flt_pool *pool)
{
	guint z;

	for (z = 0; z < f->zones->len; z++)
		if (g_array_index(f->zones, struct flt_zone, z).partitioned &&
		    flt_in_zone(pool, (int)z)->size)
			return true;
	return false;
}

/*
 * Returns the rank of a switch for a pool; the smallest is best: fewest of the
 * pool's VMs in the domain of its declared failure, then fewest in the other
 * kind of domain, then most spare VMs behind the switch. The last keeps the
 * spare VMs spread, too, for the pools that follow.
 */
static uint64_t pln_rank(const struct pln *p, int pool, int sw, int zone)
{
	const struct flt_pool *at = flt_pool(p->f, pool);
	uint64_t in_zone = flt_in_zone(at, zone)->serving;
	uint64_t in_sw = flt_behind_switch(at, sw)->serving;
	const struct flt_pool *spare = flt_pool(p->f, FLT_SPARE);
	uint64_t spare_rank =
		UINT16_MAX - flt_behind_switch(spare, sw)->serving;

	if (at->budget.survive_zone)
		return in_zone << 32 | in_sw << 16 | spare_rank;
	return in_sw << 32 | in_zone << 16 | spare_rank;
}

/*
 * Returns the best VM for a pool, or -1. Ranks only grow while a pool is
 * filled, so a smallest entry that is outdated is put back with its current
 * rank.
 */
static int pln_choose_vm(struct pln *p, int pool)
{
	struct pln_switch entry;
	uint64_t rank;
	int vm;

	while (p->heap->len) {
		entry = pln_heap_pop(p->heap);
		p->steps_used += PLN_COST_SWITCH;
		rank = pln_rank(p, pool, entry.sw, entry.zone);
		if (rank != entry.rank) {
			entry.rank = rank;
			g_array_append_val(p->heap, entry);
			pln_heap_sift_up(p->heap, p->heap->len - 1);
			continue;
		}
		vm = pln_find_donor(p, entry.sw, pool);
		if (vm < 0)
			continue;
		g_array_append_val(p->heap, entry);
		pln_heap_sift_up(p->heap, p->heap->len - 1);
		return vm;
	}
	return -1;
}

/*
 * Returns a VM behind a switch that the pool may have, preferably a spare one,
 * or -1.
 */
static int pln_find_donor(struct pln *p, int sw, int pool)
{
	int found = -1;
	int vm;

	for (vm = p->donors[sw]; vm >= 0; vm = p->next_donor[vm]) {
		p->steps_used += PLN_COST_SWITCH;
		if (!pln_may_give(p, vm, pool))
			continue;
		if (flt_vm(p->f, vm)->pool == FLT_SPARE)
			return vm;
		if (found < 0)
			found = vm;
	}
	return found;
}

/*
 * Whether a VM may move from its pool to another. A pool gives up VMs beyond
 * its own needs. A pool of lower priority also gives up VMs that it wants but
 * can do without while the other is below its floor.
 */
static bool pln_may_give(struct pln *p, int vm, int to)
{
	const struct flt_vm *v = flt_vm(p->f, vm);
	const struct flt_pool *from = flt_pool(p->f, v->pool);
	const struct flt_pool *target = flt_pool(p->f, to);
	bool surplus;

	if (v->pool == to || !flt_fits(p->f, vm, to))
		return false;
	if (v->pool == FLT_SPARE)
		return true;
	surplus = from->serving > from->budget.wanted &&
		  flt_margin(from) > pln_slack(p, v->pool);
	if (surplus)
		return flt_can_lose(p->f, vm) == FLT_OK;
	return target->serving < flt_floor(target) &&
	       from->budget.priority < target->budget.priority &&
	       flt_margin(from) > 0 && flt_can_lose(p->f, vm) == FLT_OK;
}

/* Records a shortage and undoes the moves that did not help. */
static void pln_record_shortage(struct pln *p, int pool, int lacking,
				enum pln_reason why)
{
	struct pln_shortage s = {
		.pool = pool, .lacking = lacking, .reason = why};
	struct pln_move *last;

	while (p->futile > 0) {
		last = &g_array_index(p->moves, struct pln_move,
				      p->moves->len - 1);
		flt_assign(p->f, last->vm, last->from);
		g_array_set_size(p->moves, p->moves->len - 1);
		p->futile--;
	}
	g_array_append_val(p->shortages, s);
}

static struct pln_switch *pln_heap_at(GArray *heap, guint i)
{
	return &g_array_index(heap, struct pln_switch, i);
}

static void pln_heap_swap(GArray *heap, guint i, guint j)
{
	struct pln_switch t = *pln_heap_at(heap, i);

	*pln_heap_at(heap, i) = *pln_heap_at(heap, j);
	*pln_heap_at(heap, j) = t;
}

/*
 * Whether heap entry i ranks before j. Equal ranks are ordered by switch, so
 * that every voter makes the same plan.
 */
static bool pln_heap_less(GArray *heap, guint i, guint j)
{
	const struct pln_switch *a = pln_heap_at(heap, i);
	const struct pln_switch *b = pln_heap_at(heap, j);

	return a->rank < b->rank || (a->rank == b->rank && a->sw < b->sw);
}

static void pln_heap_sift_up(GArray *heap, guint i)
{
	while (i > 0 && pln_heap_less(heap, i, (i - 1) / 2)) {
		pln_heap_swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void pln_heap_sift_down(GArray *heap, guint i)
{
	guint smallest = i;
	guint child;

	for (;;) {
		for (child = 2 * i + 1; child <= 2 * i + 2; child++)
			if (child < heap->len &&
			    pln_heap_less(heap, child, smallest))
				smallest = child;
		if (smallest == i)
			return;
		pln_heap_swap(heap, i, smallest);
		i = smallest;
	}
}

static struct pln_switch pln_heap_pop(GArray *heap)
{
	struct pln_switch top = *pln_heap_at(heap, 0);

	pln_heap_swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	pln_heap_sift_down(heap, 0);
	return top;
}
