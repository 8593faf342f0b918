#include "div.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/*
 * Load: two or more pools want more VMs than there are, each in its own burst.
 * Harm prevented: the pool that came first keeps all VMs for work that is late
 * whatever is done, while the work of the next one could still be in time.
 */

/* Value of a VM that a pool has a claim to, above all weights. */
#define DIV_CLAIM_VALUE 1e9
/* Value of a core of late work against one of work in time. */
#define DIV_LATE_VALUE 0.4
/* Time from the order of a move until work runs on the VM, ms. */
#define DIV_MOVE_MS 1800.0
/*
 * Time over which a move has to pay, ms. Beyond it the demand of a burst is
 * not known.
 */
#define DIV_HORIZON_MS 8000.0
/* A pool gives to one whose ratio of cores to load is less by this factor. */
#define DIV_RATIO_GAP 1.3
/*
 * Share of a pool's VMs by which it has to be off its max-min share: the share
 * changes with each job, and a VM that moves works for nobody.
 */
#define DIV_SHARE_BAND 0.125

/* What VMs are exchanged by; both in the same unit. */
struct div_trade {
	/* of one more VM, 0: the pool takes none */
	double (*value)(const struct div_pool *p);
	/* of the loss and the move of one VM */
	double (*cost)(const struct div_pool *p);
};

static void div_first_come(struct div_pool *pools, guint n);
static void div_by_ratio(struct div_pool *pools, guint n);
static void div_by_margin(struct div_pool *pools, guint n);
static void div_max_min(struct div_pool *pools, guint n);
static void div_exchange(struct div_pool *pools, guint n,
			 const struct div_trade *trade);
static struct div_pool *div_find_taker(struct div_pool *pools, guint n,
				       const struct div_trade *trade);
static struct div_pool *div_find_giver(struct div_pool *pools, guint n,
				       const struct div_pool *to,
				       const struct div_trade *trade);
static double div_ratio(const struct div_pool *p);
static double div_ratio_value(const struct div_pool *p);
static double div_ratio_cost(const struct div_pool *p);
static double div_margin_value(const struct div_pool *p);
static double div_margin_cost(const struct div_pool *p);
static double div_cores(const struct div_pool *p);
static void div_fill(struct div_pool *pools, const double *needs, guint n,
		     guint *left);
static guint div_find_lowest(const struct div_pool *pools, const double *needs,
			     guint n);
static void div_keep_near(struct div_pool *pools, guint n);
static struct div_pool *div_find_most_given(struct div_pool *pools, guint n);
static GArray *div_pair_up(const struct div_pool *pools, guint n);

static const struct div_way div_ways[] = {
	{.name = "first-come", .divide = div_first_come},
	{.name = "ratio", .divide = div_by_ratio},
	{.name = "marginal", .divide = div_by_margin},
	{.name = "max-min", .divide = div_max_min},
};

/* Returns the rule of a name, or NULL. */
const struct div_way *div_find_way(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(div_ways); i++)
		if (strcmp(div_ways[i].name, name) == 0)
			return &div_ways[i];
	return NULL;
}

/* Returns the names of all rules for messages; to be freed. */
char *div_way_names(void)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(div_ways); i++)
		g_string_append_printf(s, "%s%s", i ? ", " : "",
				       div_ways[i].name);
	return g_string_free(s, FALSE);
}

/* Returns the VMs that a pool is left with in any case. */
guint div_least(const struct div_pool *p)
{
	guint fixed = p->held - MIN(p->movable, p->held);

	return MAX(fixed, MIN(MAX(p->keep, p->claim), p->held));
}

/* Returns the cores that a pool's work of any use can occupy. */
double div_need(const struct div_pool *p)
{
	return MAX(p->in_time + p->late, p->claim * p->vm_cores);
}

/*
 * Returns the value of one more VM for a pool that has `vms` of them: by how
 * much sooner the mean job gets its turn, since n times the cores make a line n
 * times as fast.
 */
double div_margin(const struct div_pool *p, guint vms)
{
	double given = vms * p->vm_cores;

	if (vms < p->claim)
		return DIV_CLAIM_VALUE;
	if (given >= div_need(p))
		return 0;
	return p->weight * (p->in_time + DIV_LATE_VALUE * p->late) /
	       MAX(given, p->vm_cores);
}

/*
 * Divides the VMs of n pools: sets `entitled` of each and returns the moves
 * that lead there, struct div_pair, to be freed. No pool is in more than one
 * role.
 */
GArray *div_plan(const struct div_way *way, struct div_pool *pools, guint n)
{
	guint i;

	for (i = 0; i < n; i++) {
		g_assert(pools[i].vm_cores > 0 && pools[i].weight > 0);
		pools[i].entitled = pools[i].held;
	}
	way->divide(pools, n);
	return div_pair_up(pools, n);
}

/* Leaves all VMs where they are. */
static void div_first_come(struct div_pool *pools, guint n)
{
}

/* Evens out the ratios of cores to load, beyond a gap that pays for a move. */
static void div_by_ratio(struct div_pool *pools, guint n)
{
	static const struct div_trade trade = {
		.value = div_ratio_value,
		.cost = div_ratio_cost,
	};

	div_exchange(pools, n, &trade);
}

/* Moves VMs as long as their use grows by more than their move costs. */
static void div_by_margin(struct div_pool *pools, guint n)
{
	static const struct div_trade trade = {
		.value = div_margin_value,
		.cost = div_margin_cost,
	};

	div_exchange(pools, n, &trade);
}

/*
 * Gives VMs one by one from the pool that loses least to the one that gains
 * most, while the gain is more. Ends, as a pool that took never gives.
 */
static void div_exchange(struct div_pool *pools, guint n,
			 const struct div_trade *trade)
{
	for (;;) {
		struct div_pool *to = div_find_taker(pools, n, trade);
		struct div_pool *from =
			to ? div_find_giver(pools, n, to, trade) : NULL;

		if (!from || trade->cost(from) >= trade->value(to))
			return;
		from->entitled--;
		to->entitled++;
	}
}

/* Returns the pool for which one more VM has the highest value, or NULL. */
static struct div_pool *div_find_taker(struct div_pool *pools, guint n,
				       const struct div_trade *trade)
{
	struct div_pool *best = NULL;
	double most = 0;
	guint i;

	for (i = 0; i < n; i++) {
		struct div_pool *p = &pools[i];
		double value = trade->value(p);

		if (p->entitled < p->held || value <= 0)
			continue;
		if (!best || value > most ||
		    (value == most && p->priority < best->priority)) {
			best = p;
			most = value;
		}
	}
	return best;
}

/* Returns the pool that loses least with one VM, or NULL. */
static struct div_pool *div_find_giver(struct div_pool *pools, guint n,
				       const struct div_pool *to,
				       const struct div_trade *trade)
{
	struct div_pool *best = NULL;
	double least = 0;
	guint i;

	for (i = 0; i < n; i++) {
		struct div_pool *p = &pools[i];
		double cost;

		if (p == to || p->entitled > p->held ||
		    p->entitled <= div_least(p))
			continue;
		cost = trade->cost(p);
		if (!best || cost < least ||
		    (cost == least && p->priority > best->priority)) {
			best = p;
			least = cost;
		}
	}
	return best;
}

/* Returns a pool's load for each core that it has, or would have with one VM. */
static double div_ratio(const struct div_pool *p)
{
	return p->load / MAX(div_cores(p), p->vm_cores);
}

static double div_ratio_value(const struct div_pool *p)
{
	if (p->entitled < p->claim)
		return DIV_CLAIM_VALUE;
	return div_cores(p) < p->load ? div_ratio(p) : 0;
}

static double div_ratio_cost(const struct div_pool *p)
{
	return DIV_RATIO_GAP * div_ratio(p);
}

/*
 * Returns the value of a pool's next VM. Where only late work is left to serve
 * it is below that of any VM with work in time.
 */
static double div_margin_value(const struct div_pool *p)
{
	double value = div_margin(p, p->entitled);

	if (p->entitled < p->claim || div_cores(p) < p->in_time)
		return value;
	return MIN(value, p->weight * DIV_LATE_VALUE);
}

/*
 * Returns what a pool's last VM is worth over the time in which a move has to
 * pay, for each ms that it works in its new pool. Work that has begun and can
 * be in time keeps its VMs: until its end it needs less than work that has not,
 * for the same use to its callers.
 */
static double div_margin_cost(const struct div_pool *p)
{
	double works_ms =
		DIV_HORIZON_MS - DIV_MOVE_MS - MIN(p->empty_ms, DIV_MOVE_MS);

	if ((p->entitled - 1) * p->vm_cores < p->begun)
		return DIV_CLAIM_VALUE;
	return div_margin(p, p->entitled - 1) * DIV_HORIZON_MS / works_ms;
}

static double div_cores(const struct div_pool *p)
{
	return p->entitled * p->vm_cores;
}

/*
 * Weighted max-min fairness: pools are filled evenly by weight until their need
 * is met, first what they have a claim to, then what can be in time, then what
 * is late. What is left stays where it is.
 */
static void div_max_min(struct div_pool *pools, guint n)
{
	double *needs = g_new(double, n);
	guint left = 0;
	guint i;

	for (i = 0; i < n; i++) {
		guint least = div_least(&pools[i]);

		left += pools[i].held - least;
		pools[i].entitled = least;
		needs[i] = pools[i].claim * pools[i].vm_cores;
	}
	div_fill(pools, needs, n, &left);
	for (i = 0; i < n; i++)
		needs[i] = pools[i].in_time;
	div_fill(pools, needs, n, &left);
	for (i = 0; i < n; i++)
		needs[i] = div_need(&pools[i]);
	div_fill(pools, needs, n, &left);
	for (i = 0; i < n && left; i++) {
		guint back = pools[i].held > pools[i].entitled
				     ? pools[i].held - pools[i].entitled
				     : 0;

		back = MIN(back, left);
		pools[i].entitled += back;
		left -= back;
	}
	g_assert(left == 0);
	g_free(needs);
	div_keep_near(pools, n);
}

/* Hands out VMs one by one to the pool with the least by weight. */
static void div_fill(struct div_pool *pools, const double *needs, guint n,
		     guint *left)
{
	while (*left) {
		guint i = div_find_lowest(pools, needs, n);

		if (i == n)
			return;
		pools[i].entitled++;
		(*left)--;
	}
}

/*
 * Returns the pool with the fewest cores by weight of those whose need is not
 * met; n: there is none.
 */
static guint div_find_lowest(const struct div_pool *pools, const double *needs,
			     guint n)
{
	guint best = n;
	double least = 0;
	guint i;

	for (i = 0; i < n; i++) {
		double level = div_cores(&pools[i]) / pools[i].weight;

		if (div_cores(&pools[i]) >= needs[i])
			continue;
		if (best == n || level < least ||
		    (level == least &&
		     pools[i].priority < pools[best].priority)) {
			best = i;
			least = level;
		}
	}
	return best;
}

/*
 * Leaves pools that are near their share as they are: VMs move only to those
 * that are far below it, from those that are most above it.
 */
static void div_keep_near(struct div_pool *pools, guint n)
{
	guint back = 0;
	guint i;

	for (i = 0; i < n; i++) {
		struct div_pool *p = &pools[i];

		if (p->entitled <= p->held ||
		    p->entitled > p->held + ceil(p->held * DIV_SHARE_BAND))
			continue;
		back += p->entitled - p->held;
		p->entitled = p->held;
	}
	while (back--)
		div_find_most_given(pools, n)->entitled++;
}

/* Returns the pool that gives most; there is one. */
static struct div_pool *div_find_most_given(struct div_pool *pools, guint n)
{
	struct div_pool *best = NULL;
	guint most = 0;
	guint i;

	for (i = 0; i < n; i++) {
		struct div_pool *p = &pools[i];

		if (p->held > p->entitled + most) {
			best = p;
			most = p->held - p->entitled;
		}
	}
	g_assert(best);
	return best;
}

/* Pairs pools that have too many VMs with pools that have too few. */
static GArray *div_pair_up(const struct div_pool *pools, guint n)
{
	GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct div_pair));
	guint given = 0; /* by pool `from` so far */
	guint from = 0;
	guint to;

	for (to = 0; to < n; to++) {
		guint lacks = pools[to].entitled > pools[to].held
				      ? pools[to].entitled - pools[to].held
				      : 0;

		while (lacks) {
			struct div_pair pair = {.from = from, .to = to};

			g_assert(from < n);
			if (pools[from].held > pools[from].entitled + given)
				pair.count = MIN(lacks,
						 pools[from].held -
							 pools[from].entitled -
							 given);
			if (!pair.count) {
				from++;
				given = 0;
				continue;
			}
			g_array_append_val(pairs, pair);
			given += pair.count;
			lacks -= pair.count;
		}
	}
	return pairs;
}
