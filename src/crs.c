#include "crs.h"

/* A recently lost worker. */
struct crs_loss {
	int64_t at_ms;
	char *rack;
	bool has_suspects; /* some run on it had just started */
};

struct crs {
	const struct crs_ops *ops;
	void *arg;
	GPtrArray *losses; /* struct crs_loss, oldest first */
};

static void crs_free_loss(gpointer p);
static void crs_drop_old(struct crs *c, int64_t now);
static bool crs_is_shared(const struct crs *c, const struct jtb_worker *w);
static void crs_add_suspects(const struct crs *c, const struct jtb_worker *w,
			     struct jtb_blame *out);
static void crs_add_cleared(const struct crs *c, const struct jtb_worker *w,
			    GArray *out);

/* Returns a new state without any loss recorded. */
struct crs *crs_new(const struct crs_ops *ops, void *arg)
{
	struct crs *c = g_new0(struct crs, 1);

	c->ops = ops;
	c->arg = arg;
	c->losses = g_ptr_array_new_with_free_func(crs_free_loss);
	return c;
}

/* Frees the state; c may be NULL. */
void crs_free(struct crs *c)
{
	if (!c)
		return;
	g_ptr_array_free(c->losses, TRUE);
	g_free(c);
}

/* Drops all recorded losses, for a new leader. */
void crs_clear(struct crs *c)
{
	g_ptr_array_set_size(c->losses, 0);
}

/*
 * Records the loss of a worker with all its runs, and fills out with the tasks
 * to suspect and to clear; jtb_blame_clear frees that. crashed: the worker
 * process has ended; otherwise the worker has only been unreachable for longer
 * than its leases and may be partitioned.
 *
 * This handles tasks that crash every worker as they start: runs that had just
 * started are suspects, and runs that had been observed running are cleared. If
 * several workers are lost together, of one rack or with a worker on which
 * nothing had just started, a power or network failure is the likelier reason,
 * and the loss alone makes none of their tasks guilty.
 */
void crs_record_loss(struct crs *c, const struct jtb_worker *w, bool crashed,
		     int64_t now_ms, struct jtb_blame *out)
{
	struct crs_loss *loss;

	jtb_blame_init(out);
	crs_drop_old(c, now_ms);
	/* An idle worker may have exited as planned. */
	if (!w->runs->len)
		return;
	/* A worker that is only partitioned has not crashed. */
	if (!crashed && c->ops->alive && c->ops->alive(c->arg, w))
		return;
	loss = g_new0(struct crs_loss, 1);
	out->correlated = !crashed || crs_is_shared(c, w);
	crs_add_suspects(c, w, out);
	loss->at_ms = now_ms;
	loss->rack = g_strdup(sch_rack_of(w));
	loss->has_suspects = out->suspects->len > 0;
	g_ptr_array_add(c->losses, loss);
	crs_add_cleared(c, w, out->cleared);
}

/*
 * Whether another worker of a worker's rack was lost with runs on it within
 * CRS_WINDOW_MS; false for a worker without a rack.
 */
bool crs_rack_lost(const struct crs *c, const struct jtb_worker *w,
		   int64_t now_ms)
{
	const char *rack = sch_rack_of(w);
	guint i;

	for (i = c->losses->len; rack && i > 0; i--) {
		const struct crs_loss *loss =
			g_ptr_array_index(c->losses, i - 1);

		if (now_ms - loss->at_ms > CRS_WINDOW_MS)
			break;
		if (g_strcmp0(loss->rack, rack) == 0)
			return true;
	}
	return false;
}

/* Frees the record of a loss. */
static void crs_free_loss(gpointer p)
{
	struct crs_loss *loss = p;

	g_free(loss->rack);
	g_free(loss);
}

/* Drops losses older than CRS_WINDOW_MS. */
static void crs_drop_old(struct crs *c, int64_t now)
{
	const struct crs_loss *first;

	while (c->losses->len) {
		first = g_ptr_array_index(c->losses, 0);
		if (now - first->at_ms <= CRS_WINDOW_MS)
			return;
		g_ptr_array_remove_index(c->losses, 0);
	}
}

/*
 * Whether a worker was probably lost for a reason that affected others as well.
 */
static bool crs_is_shared(const struct crs *c, const struct jtb_worker *w)
{
	const char *rack = sch_rack_of(w);
	guint i;

	if (c->ops->rack_unreachable(c->arg, w))
		return true;
	for (i = 0; i < c->losses->len; i++) {
		const struct crs_loss *loss = g_ptr_array_index(c->losses, i);

		if (!loss->has_suspects ||
		    (rack && g_strcmp0(loss->rack, rack) == 0))
			return true;
	}
	return false;
}

/* Adds the tasks of a lost worker that had just started to the suspects. */
static void crs_add_suspects(const struct crs *c, const struct jtb_worker *w,
			     struct jtb_blame *out)
{
	struct jtb_name n;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);
		int64_t seen = c->ops->observed_ms(c->arg, run);

		if (seen == SCH_NOT_SENT || seen >= SCH_JUST_STARTED_MS)
			continue;
		/*
		 * A run of unknown age counts as a suspect, but the loss alone
		 * makes no task guilty.
		 */
		out->correlated |= seen == SCH_UNKNOWN;
		jtb_name_of(run, &n);
		g_array_append_val(out->suspects, n);
	}
}

/* Adds earlier suspects that had been observed running to the cleared tasks. */
static void crs_add_cleared(const struct crs *c, const struct jtb_worker *w,
			    GArray *out)
{
	struct jtb_name n;
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		const struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!jtb_suspect(run->job, run->step, run->index) ||
		    c->ops->observed_ms(c->arg, run) < SCH_JUST_STARTED_MS)
			continue;
		jtb_name_of(run, &n);
		g_array_append_val(out, n);
	}
}
