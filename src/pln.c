#include "pln.h"

/*
 * Greedy repair: pools in the order of their priority take, one by one, the
 * VM that keeps them spread best, until they have what they want and survive
 * what they declared. docs/design/planner.md has the ways weighed beside it.
 *
 * A VM beyond what its pool needs stays where it is and may be taken by any
 * pool that lacks one: a buffer is shared without moves to a common place and
 * back.
 */

/* What one touch of a switch while a pool's heap is built costs, in steps. */
#define PLN_STEP_SWITCH 1
/* What moving one VM costs, in steps. */
#define PLN_STEP_MOVE 16
/*
 * VMs in a row that may join without bringing the pool further through its
 * declared failure. An even spread over switches, and over zones, has one
 * such VM each, the first of a new layer.
 */
#define PLN_FUTILE_MAX 2

enum pln_phase {
	PLN_INDEX,
	PLN_OPEN,
	PLN_FILL,
	PLN_DONE,
};

/* A switch that has donors, by what the pool already has there. */
struct pln_place {
	uint64_t key;
	int sw;
	int zone;
};

struct pln {
	struct flt *f; /* copy, with the moves so far done */
	struct pln_config config;
	int *lend; /* by pool, VMs beyond slack */
	int *coming; /* by pool, VMs that a wave has out */
	enum pln_phase phase;
	int work; /* done in this step */
	int vm; /* last that was indexed */
	int *donor; /* by switch: first VM that may change pools, or -1 */
	int *next; /* by VM: the next behind its switch, or -1 */
	int *zone_of_sw;
	GArray *order; /* int: pools, most important first */
	guint at; /* in order */
	GArray *heap; /* struct pln_place of the pool being filled */
	int futile;
	GArray *moves;
	GArray *shortages;
};

static void pln_add_lacking(const struct flt_pool *pool, int *lacking,
			    int *always);
static void pln_index(struct pln *p);
static void pln_open(struct pln *p);
static bool pln_in_site(const struct pln *p, int pool, int zone);
static void pln_fill(struct pln *p);
static int pln_by_priority(gconstpointer a, gconstpointer b, gpointer data);
static int pln_slack(const struct pln *p, int pool);
static int pln_lacking(const struct pln *p, int pool, enum pln_reason *why);
static bool pln_zone_cut(const struct flt *f, const struct flt_pool *pool);
static uint64_t pln_key(const struct pln *p, int pool, int sw, int zone);
static int pln_pick(struct pln *p, int pool);
static int pln_donor(struct pln *p, int sw, int pool);
static bool pln_gives(struct pln *p, int vm, int to);
static void pln_give_up(struct pln *p, int pool, int lacking,
			enum pln_reason why);
static struct pln_place *pln_heap_at(GArray *heap, guint i);
static void pln_swap(GArray *heap, guint i, guint j);
static bool pln_before(GArray *heap, guint i, guint j);
static void pln_sift_up(GArray *heap, guint i);
static void pln_sift_down(GArray *heap, guint i);
static struct pln_place pln_pop(GArray *heap);

static void (*const pln_phases[])(struct pln *p) = {
	[PLN_INDEX] = pln_index,
	[PLN_OPEN] = pln_open,
	[PLN_FILL] = pln_fill,
};

static const char *const pln_reasons[PLN_REASONS] = {
	[PLN_REFILL] = "fewer VMs serve than the pool wants",
	[PLN_SURVIVE] = "the failure the pool declared would break its budget",
	[PLN_LEND] = "the pool's maintenance wave goes faster with it",
};

/*
 * Begins a plan for the fleet as it is now. lend, by pool, are VMs that its
 * wave may use beyond the configured slack; NULL: none.
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
	p->coming = g_new0(int, f->pools->len);
	p->donor = g_new(int, f->n_switches + 1);
	for (i = 0; i < f->n_switches; i++)
		p->donor[i] = -1;
	p->next = g_new(int, f->vms->len + 1);
	p->vm = (int)f->vms->len;
	p->zone_of_sw = g_new0(int, f->n_switches + 1);
	for (i = 0; i < (int)f->racks->len; i++) {
		struct flt_rack *r =
			&g_array_index(f->racks, struct flt_rack, i);

		p->zone_of_sw[r->sw] = r->zone;
	}
	p->order = g_array_new(FALSE, FALSE, sizeof(int));
	for (i = 1; i < (int)f->pools->len; i++)
		g_array_append_val(p->order, i);
	g_array_sort_with_data(p->order, pln_by_priority, p->f);
	p->heap = g_array_new(FALSE, FALSE, sizeof(struct pln_place));
	p->moves = g_array_new(FALSE, FALSE, sizeof(struct pln_move));
	p->shortages = g_array_new(FALSE, FALSE, sizeof(struct pln_shortage));
	return p;
}

/* Frees a plan, finished or not. */
void pln_free(struct pln *p)
{
	if (!p)
		return;
	g_free(p->donor);
	g_free(p->next);
	g_free(p->zone_of_sw);
	g_free(p->lend);
	g_free(p->coming);
	g_array_free(p->order, TRUE);
	g_array_free(p->heap, TRUE);
	g_array_free(p->moves, TRUE);
	g_array_free(p->shortages, TRUE);
	flt_free(p->f);
	g_free(p);
}

/*
 * Plans on for about budget steps (each well under a microsecond), so that
 * the loop of the caller is never held for long. True: the plan is complete.
 */
bool pln_step(struct pln *p, int budget)
{
	p->work = 0;
	while (p->phase != PLN_DONE && p->work < budget)
		pln_phases[p->phase](p);
	return p->phase == PLN_DONE;
}

/* The moves, struct pln_move, in the order in which they must be done. */
const GArray *pln_moves(const struct pln *p)
{
	return p->moves;
}

/* What can't be met, struct pln_shortage. */
const GArray *pln_shortages(const struct pln *p)
{
	return p->shortages;
}

/* The fleet with the moves done. */
const struct flt *pln_after(const struct pln *p)
{
	return p->f;
}

/* The reason in words. */
const char *pln_reason_text(enum pln_reason reason)
{
	return pln_reasons[reason];
}

/*
 * VMs that must stand ready so that whichever single switch of a site is
 * lost, every pool gets back what it wants: for each site the worst sum over
 * one switch, not the sum of every pool's worst. Spare VMs behind that switch
 * don't count, so they are added on top.
 */
int pln_reserve(const struct flt *f, const struct pln_config *config)
{
	GHashTable *worst = g_hash_table_new(NULL, NULL); /* by site + 1 */
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
		const struct flt_rack *r =
			&g_array_index(f->racks, struct flt_rack, i);

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
 * What a pool would lack after the loss of each switch that it is behind;
 * what it lacks whatever is lost goes into always.
 */
static void pln_add_lacking(const struct flt_pool *pool, int *lacking,
			    int *always)
{
	int now = pool->budget.wanted - pool->serving;
	const struct flt_place *place;
	guint i;

	*always += MAX(0, now);
	for (i = 0; i < pool->places->len; i++) {
		place = &g_array_index(pool->places, struct flt_place, i);
		lacking[place->sw] +=
			MAX(0, now + place->tally.serving) - MAX(0, now);
	}
}

/* The three measures of a fleet as it stands. */
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
		/* What is above the slack is surplus, and serves any pool. */
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
 * VMs worth lending to a pool while its wave runs, at most available: each
 * shortens the wave by some rounds, is set aside for it and costs a move to
 * it and one away. The weights decide, so one user's fleet rolls out fast and another's stays
 * still.
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

/* One VM of the fleet, the last first: may it change pools at all? */
static void pln_index(struct pln *p)
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
	p->work++;
	p->coming[v->pool] += v->wave != FLT_NO_WAVE && v->state != FLT_UP &&
			      v->state != FLT_DOWN;
	if (v->state == FLT_UP && v->wave == FLT_NO_WAVE && !v->hold &&
	    !flt_zone_of(p->f, p->vm)->cut &&
	    (v->pool == FLT_SPARE || pool->serving > flt_floor(pool))) {
		sw = flt_rack_of(p->f, p->vm)->sw;
		p->next[p->vm] = p->donor[sw];
		p->donor[sw] = p->vm;
	}
}

/* The next pool: passed by in O(1) if it lacks nothing. */
static void pln_open(struct pln *p)
{
	struct pln_place place;
	enum pln_reason why;
	int pool;

	p->work++;
	if (p->at >= p->order->len) {
		p->phase = PLN_DONE;
		return;
	}
	pool = g_array_index(p->order, int, p->at);
	if (pln_lacking(p, pool, &why) <= 0) {
		p->at++;
		return;
	}
	g_array_set_size(p->heap, 0);
	for (place.sw = 0; place.sw < p->f->n_switches; place.sw++) {
		p->work += PLN_STEP_SWITCH;
		if (p->donor[place.sw] < 0)
			continue;
		place.zone = p->zone_of_sw[place.sw];
		if (!pln_in_site(p, pool, place.zone))
			continue;
		place.key = pln_key(p, pool, place.sw, place.zone);
		g_array_append_val(p->heap, place);
		pln_sift_up(p->heap, p->heap->len - 1);
	}
	p->futile = 0;
	p->phase = PLN_FILL;
}

/* Else the zones of all other sites, where it has none, would come first. */
static bool pln_in_site(const struct pln *p, int pool, int zone)
{
	int site = flt_pool(p->f, pool)->budget.site;

	return site == FLT_ANY_SITE ||
	       site == g_array_index(p->f->zones, struct flt_zone, zone).site;
}

/* One VM more for the pool that is open. */
static void pln_fill(struct pln *p)
{
	struct pln_move move = {.to = g_array_index(p->order, int, p->at)};
	const struct flt_pool *pool = flt_pool(p->f, move.to);
	int lacking = pln_lacking(p, move.to, &move.reason);
	int margin = flt_margin(pool);

	p->work += PLN_STEP_MOVE;
	if (lacking > 0) {
		move.vm =
			p->futile > PLN_FUTILE_MAX ? -1 : pln_pick(p, move.to);
		if (move.vm < 0)
			pln_give_up(p, move.to, lacking, move.reason);
	}
	if (lacking <= 0 || move.vm < 0) {
		p->at++;
		p->phase = PLN_OPEN;
		return;
	}
	move.from = flt_vm(p->f, move.vm)->pool;
	flt_put(p->f, move.vm, move.to);
	g_array_append_val(p->moves, move);
	if (move.reason == PLN_REFILL || flt_margin(pool) > margin)
		p->futile = 0;
	else
		p->futile++;
}

static int pln_by_priority(gconstpointer a, gconstpointer b, gpointer data)
{
	int pa = *(const int *)a;
	int pb = *(const int *)b;
	int more = flt_pool(data, pb)->budget.priority -
		   flt_pool(data, pa)->budget.priority;

	return more ? more : pa - pb;
}

static int pln_slack(const struct pln *p, int pool)
{
	return p->config.slack + p->lend[pool];
}

/*
 * VMs that a pool lacks and the first reason for it. While a zone is cut off
 * a pool is only kept above its floor: the zone may well serve on its own
 * side, and refilling for every cut would move a third of the fleet and back.
 * What a wave has out comes back in minutes and is not replaced either,
 * unless a failure beside it has put the budget at stake.
 */
static int pln_lacking(const struct pln *p, int pool, enum pln_reason *why)
{
	const struct flt_pool *at = flt_pool(p->f, pool);
	int coming = p->coming[pool];
	int margin = flt_margin(at);

	*why = PLN_REFILL;
	if (at->budget.wanted == 0)
		return 0;
	if (pln_zone_cut(p->f, at))
		return flt_floor(at) - at->serving;
	if (at->budget.wanted > at->serving + coming)
		return at->budget.wanted - at->serving - coming;
	*why = margin + coming < p->config.slack || margin < 0 ? PLN_SURVIVE
							       : PLN_LEND;
	return MAX(-margin, pln_slack(p, pool) - margin - coming);
}

static bool pln_zone_cut(const struct flt *f, const struct flt_pool *pool)
{
	guint z;

	for (z = 0; z < f->zones->len; z++)
		if (g_array_index(f->zones, struct flt_zone, z).cut &&
		    flt_at_zone(pool, (int)z)->size)
			return true;
	return false;
}

/*
 * Smaller is better: fewest of the pool where its declared failure strikes,
 * then fewest in the other kind of domain, then the switch with most spare
 * VMs, so that what stays spare is spread too and the next pool finds it so.
 */
static uint64_t pln_key(const struct pln *p, int pool, int sw, int zone)
{
	const struct flt_pool *at = flt_pool(p->f, pool);
	uint64_t in_zone = flt_at_zone(at, zone)->serving;
	uint64_t in_sw = flt_at_sw(at, sw)->serving;
	const struct flt_pool *spare = flt_pool(p->f, FLT_SPARE);
	uint64_t few = UINT16_MAX - flt_at_sw(spare, sw)->serving;

	if (at->budget.survive_zone)
		return in_zone << 32 | in_sw << 16 | few;
	return in_sw << 32 | in_zone << 16 | few;
}

/*
 * The best VM for a pool, or -1. Keys only grow while the pool is filled, so
 * a stale smallest one is put back with its present key.
 */
static int pln_pick(struct pln *p, int pool)
{
	struct pln_place place;
	uint64_t key;
	int vm;

	while (p->heap->len) {
		place = pln_pop(p->heap);
		p->work += PLN_STEP_SWITCH;
		key = pln_key(p, pool, place.sw, place.zone);
		if (key != place.key) {
			place.key = key;
			g_array_append_val(p->heap, place);
			pln_sift_up(p->heap, p->heap->len - 1);
			continue;
		}
		vm = pln_donor(p, place.sw, pool);
		if (vm < 0)
			continue;
		g_array_append_val(p->heap, place);
		pln_sift_up(p->heap, p->heap->len - 1);
		return vm;
	}
	return -1;
}

/* A VM behind a switch that the pool may have: a spare one if there is. */
static int pln_donor(struct pln *p, int sw, int pool)
{
	int found = -1;
	int vm;

	for (vm = p->donor[sw]; vm >= 0; vm = p->next[vm]) {
		p->work += PLN_STEP_SWITCH;
		if (!pln_gives(p, vm, pool))
			continue;
		if (flt_vm(p->f, vm)->pool == FLT_SPARE)
			return vm;
		if (found < 0)
			found = vm;
	}
	return found;
}

/*
 * Whether a VM may leave its pool for another. A pool gives what it has
 * beyond its own needs; one that is less important also gives what it wants
 * but can do without, while the other is below its floor.
 */
static bool pln_gives(struct pln *p, int vm, int to)
{
	const struct flt_vm *v = flt_vm(p->f, vm);
	const struct flt_pool *from = flt_pool(p->f, v->pool);
	const struct flt_pool *taker = flt_pool(p->f, to);
	bool surplus;

	if (v->pool == to || !flt_fits(p->f, vm, to))
		return false;
	if (v->pool == FLT_SPARE)
		return true;
	surplus = from->serving > from->budget.wanted &&
		  flt_margin(from) > pln_slack(p, v->pool);
	if (surplus)
		return flt_can_lose(p->f, vm) == FLT_OK;
	return taker->serving < flt_floor(taker) &&
	       from->budget.priority < taker->budget.priority &&
	       flt_margin(from) > 0 && flt_can_lose(p->f, vm) == FLT_OK;
}

/* Nothing helps: what didn't is taken back, and the shortage is told. */
static void pln_give_up(struct pln *p, int pool, int lacking,
			enum pln_reason why)
{
	struct pln_shortage s = {
		.pool = pool, .lacking = lacking, .reason = why};
	struct pln_move *last;

	while (p->futile > 0) {
		last = &g_array_index(p->moves, struct pln_move,
				      p->moves->len - 1);
		flt_put(p->f, last->vm, last->from);
		g_array_set_size(p->moves, p->moves->len - 1);
		p->futile--;
	}
	g_array_append_val(p->shortages, s);
}

static struct pln_place *pln_heap_at(GArray *heap, guint i)
{
	return &g_array_index(heap, struct pln_place, i);
}

static void pln_swap(GArray *heap, guint i, guint j)
{
	struct pln_place t = *pln_heap_at(heap, i);

	*pln_heap_at(heap, i) = *pln_heap_at(heap, j);
	*pln_heap_at(heap, j) = t;
}

/* Equal keys go by switch, so that every voter plans the same. */
static bool pln_before(GArray *heap, guint i, guint j)
{
	const struct pln_place *a = pln_heap_at(heap, i);
	const struct pln_place *b = pln_heap_at(heap, j);

	return a->key < b->key || (a->key == b->key && a->sw < b->sw);
}

static void pln_sift_up(GArray *heap, guint i)
{
	while (i > 0 && pln_before(heap, i, (i - 1) / 2)) {
		pln_swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void pln_sift_down(GArray *heap, guint i)
{
	guint least = i;
	guint kid;

	for (;;) {
		for (kid = 2 * i + 1; kid <= 2 * i + 2; kid++)
			if (kid < heap->len && pln_before(heap, kid, least))
				least = kid;
		if (least == i)
			return;
		pln_swap(heap, i, least);
		i = least;
	}
}

static struct pln_place pln_pop(GArray *heap)
{
	struct pln_place top = *pln_heap_at(heap, 0);

	pln_swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	pln_sift_down(heap, 0);
	return top;
}
