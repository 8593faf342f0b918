#include "itk_int.h"

/* Ways to tell how long a job waits in line. */

/*
 * Rounds that find the time of a line in which organisations have limits of
 * their own. Each takes at least the limited ones' part off the error.
 */
#define ITK_LIMIT_ROUNDS 3

static double itk_pool_line(const struct itk_pool *p,
			    const struct itk_account *a);
static double itk_org_line(const struct itk_pool *p,
			   const struct itk_account *a);
static double itk_served_before(const struct itk_pool *p, double level,
				double within_s);

static const struct itk_way itk_ways[] = {
	{.name = "all"},
	{.name = "pool", .line_s = itk_pool_line},
	{.name = "organisation", .line_s = itk_org_line},
};

/* Returns the way of a name, or NULL. */
const struct itk_way *itk_way(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(itk_ways); i++)
		if (g_strcmp0(itk_ways[i].name, name) == 0)
			return &itk_ways[i];
	return NULL;
}

/* Returns the names of all ways, for an error. */
const char *itk_way_names(void)
{
	return "all, pool or organisation";
}

/* All that waits in the pool is served first. */
static double itk_pool_line(const struct itk_pool *p,
			    const struct itk_account *a)
{
	return p->core_s / p->room;
}

/*
 * What waits of the organisation itself is served first, and of each other as
 * much as its weight gives it in that time: generalised processor sharing. Who
 * has less than its share leaves the rest to the others.
 */
static double itk_org_line(const struct itk_pool *p,
			   const struct itk_account *a)
{
	double level = a->core_s / a->weight;
	double line = itk_served_before(p, level, 0) / p->room;
	int i;

	for (i = 0; p->has_limits && i < ITK_LIMIT_ROUNDS; i++)
		line = itk_served_before(p, level, line) / p->room;
	if (a->limit_cores > 0)
		line = MAX(line, a->core_s / a->limit_cores);
	return line;
}

/*
 * Returns the core-seconds that all accounts are served until each has had this
 * much for its weight, or all of its work; within that time, s, none gets more
 * than its limit. 0: limits don't count.
 */
static double itk_served_before(const struct itk_pool *p, double level,
				double within_s)
{
	double sum = 0;
	guint i;

	for (i = 0; i < p->accounts->len; i++) {
		const struct itk_account *a =
			&g_array_index(p->accounts, struct itk_account, i);
		double most = MIN(a->core_s, a->weight * level);

		if (within_s > 0 && a->limit_cores > 0)
			most = MIN(most, a->limit_cores * within_s);
		sum += most;
	}
	return sum;
}
