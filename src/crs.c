#include "crs.h"

/* A worker that was lost. */
struct crs_loss {
	int64_t at_ms;
	char *rack;
	bool explained; /* something had just begun on it */
};

struct crs {
	const struct crs_ops *ops;
	void *arg;
	GPtrArray *losses; /* struct crs_loss, oldest first */
};

static void crs_loss_free(gpointer p);
static void crs_forget(struct crs *c, int64_t now);
static bool crs_shared(const struct crs *c, const struct jtb_worker *w);
static void crs_look(const struct crs *c, const struct jtb_worker *w,
		     struct jtb_blame *out);
static void crs_look_cleared(const struct crs *c, const struct jtb_worker *w,
			     GArray *out);

/* Begins without a loss. */
struct crs *crs_new(const struct crs_ops *ops, void *arg)
{
	struct crs *c = g_new0(struct crs, 1);

	c->ops = ops;
	c->arg = arg;
	c->losses = g_ptr_array_new_with_free_func(crs_loss_free);
	return c;
}

/* Frees it. */
void crs_free(struct crs *c)
{
	if (!c)
		return;
	g_ptr_array_free(c->losses, TRUE);
	g_free(c);
}

/* A new leader knows of no loss. */
void crs_clear(struct crs *c)
{
	g_ptr_array_set_size(c->losses, 0);
}

/*
 * A worker is lost with all it runs. crashed: its lifetime is over; else it has
 * only been silent for longer than its leases, and may be cut off. Fills out,
 * which jtb_blame_clear empties.
 *
 * Made for tasks that crash each worker as they begin: suspect is what had just
 * begun, and what had been at work is cleared. Of several
 * workers that are lost together, of one rack or with one on which nothing had
 * begun, power or network is the likelier reason, so that none of their tasks is
 * found guilty by that alone.
 */
void crs_lost(struct crs *c, const struct jtb_worker *w, bool crashed,
	      int64_t now_ms, struct jtb_blame *out)
{
	struct crs_loss *loss;

	jtb_blame_init(out);
	crs_forget(c, now_ms);
	/* an idle one may have ended as planned */
	if (!w->runs->len)
		return;
	/* nor is one that is only cut off a crash */
	if (!crashed && c->ops->alive && c->ops->alive(c->arg, w))
		return;
	loss = g_new0(struct crs_loss, 1);
	out->correlated = !crashed || crs_shared(c, w);
	crs_look(c, w, out);
	loss->at_ms = now_ms;
	loss->rack = g_strdup(sch_rack_of(w));
	loss->explained = out->suspects->len > 0;
	g_ptr_array_add(c->losses, loss);
	crs_look_cleared(c, w, out->cleared);
}

/* Frees a loss. */
static void crs_loss_free(gpointer p)
{
	struct crs_loss *loss = p;

	g_free(loss->rack);
	g_free(loss);
}

/* Drops losses of long ago. */
static void crs_forget(struct crs *c, int64_t now)
{
	const struct crs_loss *first;

	while (c->losses->len) {
		first = g_ptr_array_index(c->losses, 0);
		if (now - first->at_ms <= CRS_NEAR_MS)
			return;
		g_ptr_array_remove_index(c->losses, 0);
	}
}

/* Whether a worker was probably lost for a reason that took others with it. */
static bool crs_shared(const struct crs *c, const struct jtb_worker *w)
{
	const char *rack = sch_rack_of(w);
	guint i;

	if (c->ops->rack_silent(c->arg, w))
		return true;
	for (i = 0; i < c->losses->len; i++) {
		const struct crs_loss *loss = g_ptr_array_index(c->losses, i);

		if (!loss->explained ||
		    (rack && g_strcmp0(loss->rack, rack) == 0))
			return true;
	}
	return false;
}

/* Adds the tasks of a worker that had just begun. */
static void crs_look(const struct crs *c, const struct jtb_worker *w,
		     struct jtb_blame *out)
{
	struct jtb_name n;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		int64_t seen = c->ops->seen_ms(c->arg, run);

		if (seen == SCH_NOT_SENT || seen >= SCH_FRESH_MS)
			continue;
		/* it counts, and finds nobody guilty */
		out->correlated |= seen == SCH_UNKNOWN;
		jtb_name_of(run, &n);
		g_array_append_val(out->suspects, n);
	}
}

/* Adds suspects of before that had been at work. */
static void crs_look_cleared(const struct crs *c, const struct jtb_worker *w,
			     GArray *out)
{
	struct jtb_name n;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_suspect(run->job, run->step, run->index) ||
		    c->ops->seen_ms(c->arg, run) < SCH_FRESH_MS)
			continue;
		jtb_name_of(run, &n);
		g_array_append_val(out, n);
	}
}
