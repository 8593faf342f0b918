#include "jtb_int.h"

/*
 * The workers of each pool. A plan of one pool looks at that pool's workers
 * alone: with a walk over all workers in each, a plan of all pools cost pools
 * times workers.
 */

static GPtrArray *jtb_index_pool(struct jtb *t, const char *pool);

/* Returns an empty index. */
GHashTable *jtb_index_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_ptr_array_unref);
}

/* Adds a worker to the pool that its description names. */
void jtb_index_add(struct jtb *t, struct jtb_worker *w)
{
	GPtrArray *workers = jtb_index_pool(t, w->info.pool);

	w->index_in_pool = workers->len;
	g_ptr_array_add(workers, w);
}

/* Removes a worker; its description must be the one that it was added with. */
void jtb_index_remove(struct jtb *t, struct jtb_worker *w)
{
	GPtrArray *workers = jtb_index_pool(t, w->info.pool);
	struct jtb_worker *last;

	g_ptr_array_remove_index_fast(workers, w->index_in_pool);
	if (w->index_in_pool == workers->len)
		return;
	last = g_ptr_array_index(workers, w->index_in_pool);
	last->index_in_pool = w->index_in_pool;
}

static GPtrArray *jtb_index_pool(struct jtb *t, const char *pool)
{
	GPtrArray *workers = g_hash_table_lookup(t->by_pool, pool);

	if (workers)
		return workers;
	workers = g_ptr_array_new();
	g_hash_table_insert(t->by_pool, g_strdup(pool), workers);
	return workers;
}

/*
 * Returns the workers of a pool in no certain order, or NULL if there never was
 * one; the table owns the array, which changes with each command.
 */
GPtrArray *jtb_pool_workers(const struct jtb *t, const char *pool)
{
	return g_hash_table_lookup(t->by_pool, pool);
}
