#include "fst_in.h"

/*
 * The entry daemons that may place work. A move waits for each of the VM's
 * zone, so they stand in the replicated state: a leader that has just come up
 * has heard of few of them, and would else take silence for consent.
 */

static int fst_node_order(gconstpointer a, gconstpointer b);

/*
 * An entry daemon joins. It is given no view before this is accepted, so that
 * none works by a view without being waited for.
 */
void fst_do_join(struct fst_run *r)
{
	const struct fcm_node *c = &r->cmd->node;
	struct fst_node *n = fst_node_find(r->f, c->node);

	if (n && lstr_eq(c->zone, lstr_from(n->zone))) {
		fst_run_end(r, PROTO_OK, "was known already");
		return;
	}
	if (n) {
		fst_run_end(r, PROTO_REFUSED,
			    "%s is of zone %s; allowed: one name in the fleet",
			    n->name, n->zone);
		return;
	}
	if (r->f->nodes->len >= FST_NODES_MAX) {
		fst_run_end(r, PROTO_REFUSED, "allowed: up to %d entry daemons",
			    FST_NODES_MAX);
		return;
	}
	n = g_new0(struct fst_node, 1);
	n->name = lstr_dup(c->node);
	n->zone = lstr_dup(c->zone);
	fst_stamp_set(&n->stamp, r);
	g_ptr_array_add(r->f->nodes, n);
	g_ptr_array_sort(r->f->nodes, fst_node_order);
	fst_run_end(r, PROTO_OK, "joined");
}

/* An entry daemon is gone for good: no move waits for it any more. */
void fst_do_forget(struct fst_run *r)
{
	const struct fcm_node *c = &r->cmd->node;
	struct fst_node *n = fst_node_find(r->f, c->node);

	if (!n) {
		fst_run_end(r, PROTO_REFUSED, "no entry daemon " LSTR_FMT,
			    LSTR_ARG(c->node));
		return;
	}
	g_ptr_array_remove(r->f->nodes, n);
	fst_run_end(r, PROTO_OK, "forgotten");
}

/* How many entry daemons may place work. */
guint fst_nodes(const struct fst *f)
{
	return f->nodes->len;
}

/* Name and zone of the entry daemon at place i in order of name. */
void fst_node(const struct fst *f, guint i, const char **name,
	      const char **zone)
{
	const struct fst_node *n = g_ptr_array_index(f->nodes, i);

	*name = n->name;
	*zone = n->zone;
}

/* Whether an entry daemon has joined from that zone, and may get views. */
bool fst_node_known(const struct fst *f, struct lstr node, struct lstr zone)
{
	const char *known = fst_node_zone(f, node);

	return known && lstr_eq(zone, lstr_from(known));
}

/* The zone an entry daemon has joined from, or NULL. */
const char *fst_node_zone(const struct fst *f, struct lstr node)
{
	const struct fst_node *n = fst_node_find(f, node);

	return n ? n->zone : NULL;
}

/* The entry daemon of that name, or NULL. */
struct fst_node *fst_node_find(const struct fst *f, struct lstr name)
{
	guint i;

	for (i = 0; i < f->nodes->len; i++) {
		struct fst_node *n = g_ptr_array_index(f->nodes, i);

		if (lstr_eq(name, lstr_from(n->name)))
			return n;
	}
	return NULL;
}

/* Frees an entry daemon's record. */
void fst_node_free(gpointer p)
{
	struct fst_node *n = p;

	g_free(n->name);
	g_free(n->zone);
	fst_stamp_clear(&n->stamp);
	g_free(n);
}

static int fst_node_order(gconstpointer a, gconstpointer b)
{
	const struct fst_node *const *x = a;
	const struct fst_node *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}
