#include "zon.h"

#include <glib.h>
#include <string.h>

/*
 * Load: a zone is cut off in a burst. Harm: its workers are found to be
 * unreachable one by one, each by an order of its own that goes unanswered; an
 * idle one is found so only by work that is placed there, and that work waits
 * until the worker's lease is over, beside free cores in other zones. Rule: once
 * some workers of a zone have fallen silent and none has answered since, the
 * zone counts as silent, and its other workers get no work until one of them
 * answers. Workers that crash by themselves or with their rack stay below that
 * line, as others of their zone answer in between.
 */

struct zon {
	GHashTable *zones; /* name: struct zon_zone */
	guint n_silent;
};

static bool zon_is_over_line(const struct zon_zone *zone);
static void zon_zone_free(gpointer p);

/* Returns an empty table. */
struct zon *zon_new(void)
{
	struct zon *z = g_new0(struct zon, 1);

	z->zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 zon_zone_free);
	return z;
}

/* Frees the table; NULL is allowed. */
void zon_free(struct zon *z)
{
	if (!z)
		return;
	g_hash_table_destroy(z->zones);
	g_free(z);
}

static void zon_zone_free(gpointer p)
{
	struct zon_zone *zone = p;

	g_free(zone->name);
	g_free(zone);
}

/* Forgets what was seen of all zones; the zones stay. */
void zon_clear(struct zon *z)
{
	GHashTableIter it;
	struct zon_zone *zone;

	g_hash_table_iter_init(&it, z->zones);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&zone))
		zone->in_row = 0;
	z->n_silent = 0;
}

/* Returns the zone of a name, which stays valid as long as the table. */
struct zon_zone *zon_zone(struct zon *z, const char *name)
{
	struct zon_zone *zone = g_hash_table_lookup(z->zones, name);

	if (zone)
		return zone;
	zone = g_new0(struct zon_zone, 1);
	zone->name = g_strdup(name);
	g_hash_table_insert(z->zones, zone->name, zone);
	return zone;
}

/*
 * Records that a worker of a zone fell silent. Returns whether the zone counts
 * as silent from now on and did not before.
 */
bool zon_record_silent(struct zon *z, struct zon_zone *zone)
{
	zone->in_row++;
	if (zone->in_row != ZON_SILENT_WORKERS)
		return false;
	z->n_silent++;
	return true;
}

/*
 * Records an answer of a worker of a zone. Returns whether the zone counted as
 * silent and does no more.
 */
bool zon_record_answer(struct zon *z, struct zon_zone *zone)
{
	bool was_silent = zon_is_over_line(zone);

	zone->in_row = 0;
	z->n_silent -= was_silent;
	return was_silent;
}

/*
 * Whether an idle worker of a zone is to be asked now, and counts it as asked.
 * Work is what makes workers answer, and a silent zone gets none: without these
 * calls it would stay silent for ever once those that fell silent are removed.
 */
bool zon_take_ask(struct zon_zone *zone, int64_t now_ms)
{
	if (!zon_is_over_line(zone))
		return false;
	if (now_ms - zone->asks_since_ms >= ZON_ASK_INTERVAL_MS) {
		zone->asks_since_ms = now_ms;
		zone->asks = 0;
	}
	if (zone->asks == ZON_ASKS)
		return false;
	zone->asks++;
	return true;
}

static bool zon_is_over_line(const struct zon_zone *zone)
{
	return zone->in_row >= ZON_SILENT_WORKERS;
}

/*
 * Whether work should go to other zones than this one. Where all zones are
 * silent it is this process that is cut off, or there is only one: that says
 * nothing about where work is better off.
 */
bool zon_is_silent(const struct zon *z, const struct zon_zone *zone)
{
	return zon_is_over_line(zone) &&
	       z->n_silent < g_hash_table_size(z->zones);
}
