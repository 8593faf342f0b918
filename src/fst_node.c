#include "fst_in.h"

/*
 * The entry daemons that may place work. A move of a VM waits for every entry
 * daemon of its zone, so the list is part of the replicated state: a new
 * leader has heard from only a few of them and would otherwise treat the
 * others as having released the VM.
 */

static int fst_compare_nodes(gconstpointer a, gconstpointer b);

/*
 * Handles FCM_JOIN: registers an entry daemon. It gets no view before it is
 * registered, so that moves wait for every entry daemon that uses a view.
 */
void fst_handle_join(struct fst_exec *ex)
{
	const struct fcm_node *c = &ex->cmd->node;
	struct fst_node *n = fst_node_find(ex->f, c->node);

	if (n && lstr_eq(c->zone, lstr_from(n->zone))) {
		fst_exec_finish(ex, PROTO_OK, "was known already");
		return;
	}
	if (n) {
		fst_exec_finish(
			ex, PROTO_REFUSED,
			"%s is of zone %s; allowed: one name in the fleet",
			n->name, n->zone);
		return;
	}
	if (ex->f->nodes->len >= FST_NODES_MAX) {
		fst_exec_finish(ex, PROTO_REFUSED,
				"allowed: up to %d entry daemons",
				FST_NODES_MAX);
		return;
	}
	n = g_new0(struct fst_node, 1);
	n->name = lstr_dup(c->node);
	n->zone = lstr_dup(c->zone);
	fst_stamp_update(&n->stamp, ex);
	g_ptr_array_add(ex->f->nodes, n);
	g_ptr_array_sort(ex->f->nodes, fst_compare_nodes);
	fst_exec_finish(ex, PROTO_OK, "joined");
}

/* Handles FCM_FORGET: removes an entry daemon; moves no longer wait for it. */
void fst_handle_forget(struct fst_exec *ex)
{
	const struct fcm_node *c = &ex->cmd->node;
	struct fst_node *n = fst_node_find(ex->f, c->node);

	if (!n) {
		fst_exec_finish(ex, PROTO_REFUSED, "no entry daemon " LSTR_FMT,
				LSTR_ARG(c->node));
		return;
	}
	g_ptr_array_remove(ex->f->nodes, n);
	fst_exec_finish(ex, PROTO_OK, "forgotten");
}

/* Returns the number of registered entry daemons. */
guint fst_node_count(const struct fst *f)
{
	return f->nodes->len;
}

/* Returns name and zone of the i-th registered entry daemon, by name. */
void fst_node(const struct fst *f, guint i, const char **name,
	      const char **zone)
{
	const struct fst_node *n = g_ptr_array_index(f->nodes, i);

	*name = n->name;
	*zone = n->zone;
}

/*
 * Returns whether an entry daemon is registered in that zone, and so may get
 * views.
 */
bool fst_node_registered(const struct fst *f, struct lstr node,
			 struct lstr zone)
{
	const char *known = fst_node_zone(f, node);

	return known && lstr_eq(zone, lstr_from(known));
}

/* Returns the zone of a registered entry daemon, or NULL. */
const char *fst_node_zone(const struct fst *f, struct lstr node)
{
	const struct fst_node *n = fst_node_find(f, node);

	return n ? n->zone : NULL;
}

/* Returns the entry daemon of that name, or NULL. */
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

/* Frees the record of an entry daemon (struct fst_node). */
void fst_node_free(gpointer p)
{
	struct fst_node *n = p;

	g_free(n->name);
	g_free(n->zone);
	fst_stamp_clear(&n->stamp);
	g_free(n);
}

static int fst_compare_nodes(gconstpointer a, gconstpointer b)
{
	const struct fst_node *const *x = a;
	const struct fst_node *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}
