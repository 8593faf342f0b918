#include "flo_int.h"

/*
 * Remembers which VMs have just come to their pool, as the VM list shows it.
 * Load: pools that are all short by turns. Harm prevented: a VM that is moved
 * back and forth works for nobody.
 *
 * Also remembers VMs whose move was given up after orders without an answer: it
 * may have been made, and what the list from before says of them is outdated.
 */

struct flo_came {
	char *pool; /* as last listed */
	bool moving; /* as last listed */
	int64_t held_ms; /* when it came or could not be emptied; 0: unknown */
	/* last order of a move that was given up; 0: none */
	int64_t ordered_ms;
};

static void flo_came_free(gpointer p);
static struct flo_came *flo_came_get(struct flo *f, const struct vms_vm *vm);
static gboolean flo_came_is_gone(gpointer name, gpointer value, gpointer arg);

/* Creates an empty memory. */
void flo_came_init(struct flo *f)
{
	f->came = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					flo_came_free);
}

/*
 * Takes in the VM list. A VM that a new leader first sees on its way counts
 * from its arrival, like all others; one that it sees up may be divided.
 */
void flo_came_update(struct flo *f, int64_t now)
{
	GPtrArray *all = vms_all(f->vms);
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(all, i);
		struct flo_came *c = flo_came_get(f, vm);
		bool moving = vm->state == VMS_MOVING;

		if (strcmp(c->pool, vm->pool) != 0) {
			g_free(c->pool);
			c->pool = g_strdup(vm->pool);
			c->held_ms = now;
		} else if (c->moving && !moving) {
			c->held_ms = now;
		}
		c->moving = moving;
	}
	if (g_hash_table_size(f->came) > all->len)
		g_hash_table_foreach_remove(f->came, flo_came_is_gone, f);
}

/* Keeps a VM from being divided, as if it had just come. */
void flo_came_hold(struct flo *f, const char *vm, int64_t now)
{
	struct flo_came *c = g_hash_table_lookup(f->came, vm);

	if (c)
		c->held_ms = now;
}

/* Whether a VM came to its pool within FLO_STAY_MS. */
bool flo_came_lately(const struct flo *f, const char *vm, int64_t now)
{
	const struct flo_came *c = g_hash_table_lookup(f->came, vm);

	return c && c->held_ms && now - c->held_ms < FLO_STAY_MS;
}

/* Records that a VM's move, last ordered at ordered_ms, is given up. */
void flo_came_give_up(struct flo *f, const char *vm, int64_t ordered_ms)
{
	struct flo_came *c = g_hash_table_lookup(f->came, vm);

	if (c)
		c->ordered_ms = ordered_ms;
}

/*
 * Whether a VM may have been moved unseen: no list was requested since the last
 * order of a move that was given up can have been carried out.
 */
bool flo_came_unseen(const struct flo *f, const char *vm)
{
	const struct flo_came *c = g_hash_table_lookup(f->came, vm);

	return c && c->ordered_ms &&
	       vms_listed_ms(f->vms) - c->ordered_ms <= FLO_ORDER_OPEN_MS;
}

static void flo_came_free(gpointer p)
{
	struct flo_came *c = p;

	g_free(c->pool);
	g_free(c);
}

/* Returns the memory of a VM, added if it is new. */
static struct flo_came *flo_came_get(struct flo *f, const struct vms_vm *vm)
{
	struct flo_came *c = g_hash_table_lookup(f->came, vm->name);

	if (c)
		return c;
	c = g_new0(struct flo_came, 1);
	c->pool = g_strdup(vm->pool);
	g_hash_table_insert(f->came, g_strdup(vm->name), c);
	return c;
}

static gboolean flo_came_is_gone(gpointer name, gpointer value, gpointer arg)
{
	const struct flo *f = arg;

	return vms_find(f->vms, name) == NULL;
}
