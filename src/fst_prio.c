#include "fst_in.h"

/*
 * Pool priorities set by the duty officer. They override the configuration
 * until they are cleared, so that applying a configuration does not revert
 * them.
 */

static struct fst_prio *fst_prio_add(struct fst *f, struct lstr pool);
static int fst_compare_prios(gconstpointer a, gconstpointer b);

/* Handles FCM_PRIORITY: sets or clears a pool's priority at every site. */
void fst_handle_priority(struct fst_exec *ex)
{
	const struct fcm_priority *c = &ex->cmd->priority;
	const struct fst_stamp never = {0};
	struct fst_prio *p = fst_prio_find(ex->f, c->pool);
	char *pool = lstr_dup(c->pool);
	int64_t max = cfg_keys[CFG_POOL_PRIORITY].max;

	if (!ex->f->cfg || !cfg_find(ex->f->cfg, CFG_POOL, pool)) {
		fst_exec_finish(ex, PROTO_REFUSED, "no pool %s", pool);
	} else if (c->priority < FCM_NO_PRIORITY || c->priority > max) {
		fst_exec_finish(ex, PROTO_REFUSED,
				"priority %lld; allowed: 0 to %lld",
				(long long)c->priority, (long long)max);
	} else if (!fst_exec_has_conflict(ex, p ? &p->stamp : &never,
					  c->base)) {
		if (!p)
			p = fst_prio_add(ex->f, c->pool);
		p->priority = c->priority;
		fst_stamp_update(&p->stamp, ex);
		fst_bump_version(ex->f);
		fst_mark_sites_changed(ex->f);
		fst_exec_finish(ex, PROTO_OK, "%s", ex->what->str);
	}
	g_free(pool);
}

/* Refuses a floor or a weight: this fleet runs no jobs. */
void fst_handle_override(struct fst_exec *ex)
{
	fst_exec_finish(ex, PROTO_REFUSED,
			"%s is an order to a fleet that runs jobs",
			fcm_defs[ex->cmd->kind].name);
}

static struct fst_prio *fst_prio_add(struct fst *f, struct lstr pool)
{
	struct fst_prio *p = g_new0(struct fst_prio, 1);

	p->pool = lstr_dup(pool);
	g_ptr_array_add(f->prios, p);
	g_ptr_array_sort(f->prios, fst_compare_prios);
	return p;
}

static int fst_compare_prios(gconstpointer a, gconstpointer b)
{
	const struct fst_prio *const *x = a;
	const struct fst_prio *const *y = b;

	return strcmp((*x)->pool, (*y)->pool);
}

/*
 * Returns the priority record of a pool, also if the priority was cleared, or
 * NULL if none was ever set.
 */
struct fst_prio *fst_prio_find(const struct fst *f, struct lstr pool)
{
	guint i;

	for (i = 0; i < f->prios->len; i++) {
		struct fst_prio *p = g_ptr_array_index(f->prios, i);

		if (lstr_eq(pool, lstr_from(p->pool)))
			return p;
	}
	return NULL;
}

/* Returns the duty officer's priority of a pool, or FCM_NO_PRIORITY. */
int fst_priority(const struct fst *f, const char *pool)
{
	const struct fst_prio *p = fst_prio_find(f, lstr_from(pool));

	return p ? (int)p->priority : FCM_NO_PRIORITY;
}

/* Frees a priority record (struct fst_prio). */
void fst_prio_free(gpointer p)
{
	struct fst_prio *prio = p;

	g_free(prio->pool);
	fst_stamp_clear(&prio->stamp);
	g_free(prio);
}
