#include "fst_in.h"

/*
 * Priorities the duty officer sets over the configuration's. They stay until
 * cleared, so that an operator's configuration can't take them back.
 */

static struct fst_prio *fst_prio_make(struct fst *f, struct lstr pool);
static int fst_prio_order(gconstpointer a, gconstpointer b);

/* Sets or clears the priority of a pool at every site. */
void fst_do_priority(struct fst_run *r)
{
	const struct fcm_priority *c = &r->cmd->priority;
	const struct fst_stamp never = {0};
	struct fst_prio *p = fst_prio_find(r->f, c->pool);
	char *pool = lstr_dup(c->pool);
	int64_t max = cfg_keys[CFG_POOL_PRIORITY].max;

	if (!r->f->cfg || !cfg_find(r->f->cfg, CFG_POOL, pool)) {
		fst_run_end(r, PROTO_REFUSED, "no pool %s", pool);
	} else if (c->priority < FCM_NO_PRIORITY || c->priority > max) {
		fst_run_end(r, PROTO_REFUSED,
			    "priority %lld; allowed: 0 to %lld",
			    (long long)c->priority, (long long)max);
	} else if (!fst_run_conflicts(r, p ? &p->stamp : &never, c->base)) {
		if (!p)
			p = fst_prio_make(r->f, c->pool);
		p->priority = c->priority;
		fst_stamp_set(&p->stamp, r);
		fst_touch(r->f);
		fst_sites_touch(r->f);
		fst_run_end(r, PROTO_OK, "%s", r->what->str);
	}
	g_free(pool);
}

static struct fst_prio *fst_prio_make(struct fst *f, struct lstr pool)
{
	struct fst_prio *p = g_new0(struct fst_prio, 1);

	p->pool = lstr_dup(pool);
	g_ptr_array_add(f->prios, p);
	g_ptr_array_sort(f->prios, fst_prio_order);
	return p;
}

static int fst_prio_order(gconstpointer a, gconstpointer b)
{
	const struct fst_prio *const *x = a;
	const struct fst_prio *const *y = b;

	return strcmp((*x)->pool, (*y)->pool);
}

/* What was set for a pool, cleared since or not; NULL: nothing ever. */
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

/* The priority the duty officer set for a pool, or FCM_NO_PRIORITY. */
int fst_priority(const struct fst *f, const char *pool)
{
	const struct fst_prio *p = fst_prio_find(f, lstr_from(pool));

	return p ? (int)p->priority : FCM_NO_PRIORITY;
}

/* Frees a priority. */
void fst_prio_free(gpointer p)
{
	struct fst_prio *prio = p;

	g_free(prio->pool);
	fst_stamp_clear(&prio->stamp);
	g_free(prio);
}
