#include "dom.h"

#include <glib.h>
#include <string.h>

/*
 * Load: jobs of some ten tasks each in a burst, in the middle of which a zone
 * is cut off. Harm: a job is as late as its last task. With its tasks strewn
 * over five zones nearly every job has one in the zone that is cut off, and
 * waits until that zone's leases are over while the other zones have free
 * cores. Rule: a job's tasks go to as few zones as can hold them, and jobs are
 * spread evenly over the zones, so that the loss of one costs each queue the
 * share that runs there.
 *
 * The zone in which a job was handed in comes last: while it is cut off its
 * caller reaches nobody, but work in another zone goes on, and its result is
 * there as soon as the cut is over. In its own zone the caller would lose the
 * work as well, and the callers of a lost zone would bear all of the loss.
 */

static int dom_compare(gconstpointer a, gconstpointer b, gpointer arg);
static bool dom_holds(const struct dom_zone *z, const struct dom_step *step);
static int dom_compare_turns(const struct dom_zone *x, const struct dom_zone *y,
			     uint64_t job);
static uint32_t dom_turn(const struct dom_zone *z, uint64_t job);

static const struct dom_way dom_ways[] = {
	{.name = "none"},
	{.name = "zones", .zones = true},
	{.name = "near", .zones = true, .caller = 1},
	{.name = "away", .zones = true, .caller = -1},
	{.name = "racks", .zones = true, .caller = -1, .racks = true},
};

/* What the comparison of two zones goes by. */
struct dom_order {
	const struct dom_way *way;
	const struct dom_step *step;
};

/* Returns the rule of a name, or NULL. */
const struct dom_way *dom_find_way(const char *name)
{
	guint i;

	for (i = 0; i < G_N_ELEMENTS(dom_ways); i++)
		if (strcmp(dom_ways[i].name, name) == 0)
			return &dom_ways[i];
	return NULL;
}

/* Returns the names of all rules, for errors. */
const char *dom_way_names(void)
{
	return "none, zones, near, away or racks";
}

/* Sorts the zones for a step, the one to be asked first in front. */
void dom_order(const struct dom_way *way, struct dom_zone *zones, uint32_t n,
	       const struct dom_step *step)
{
	struct dom_order order = {.way = way, .step = step};

	g_qsort_with_data(zones, (gint)n, sizeof(*zones), dom_compare, &order);
}

/*
 * Compares two zones. A task away from its data takes several times as long, so
 * the zone of the data goes first. Next come zones where the job has tasks
 * already, as no other adds less to what it depends on, then those that hold
 * all that is left. Of zones that don't, the roomiest goes first: fewest are
 * then needed.
 */
static int dom_compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct dom_zone *x = a;
	const struct dom_zone *y = b;
	const struct dom_order *o = arg;
	bool holds = dom_holds(x, o->step);

	if (!x->room != !y->room)
		return x->room ? -1 : 1;
	if (x->data != y->data)
		return x->data ? -1 : 1;
	if (x->runs != y->runs)
		return x->runs > y->runs ? -1 : 1;
	if (holds != dom_holds(y, o->step))
		return holds ? -1 : 1;
	if (o->way->caller && x->caller != y->caller)
		return x->caller ? -o->way->caller : o->way->caller;
	if (!holds && x->room != y->room)
		return x->room > y->room ? -1 : 1;
	return dom_compare_turns(x, y, o->step->job);
}

/* Whether all that is left of a step fits into a zone. */
static bool dom_holds(const struct dom_zone *z, const struct dom_step *step)
{
	return z->room >= step->wanted;
}

/* Compares zones by an order that differs from job to job. */
static int dom_compare_turns(const struct dom_zone *x, const struct dom_zone *y,
			     uint64_t job)
{
	uint32_t a = dom_turn(x, job);
	uint32_t b = dom_turn(y, job);

	if (a != b)
		return a < b ? -1 : 1;
	return strcmp(x->name, y->name);
}

/*
 * Returns the place of a zone in a job's order. It hashes name and job: by the
 * job's number alone, queues whose jobs come by turns would each have a zone of
 * their own, and its loss would stop that queue.
 */
static uint32_t dom_turn(const struct dom_zone *z, uint64_t job)
{
	uint32_t hash = g_str_hash(z->name) ^ (uint32_t)job * 2654435761u;

	hash ^= hash >> 16;
	hash *= 2246822507u;
	hash ^= hash >> 13;
	hash *= 3266489909u;
	return hash ^ hash >> 16;
}
