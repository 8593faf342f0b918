#include "sch_int.h"

#include <stdlib.h>

/* Where a gang that runs slowly on more than one rack may run. */

/*
 * A gang that runs slowly on more than one rack takes about this many times as
 * long when it is spread, as the users' sites report.
 */
#define SCH_SPREAD_SLOWDOWN 3
/* Longest time that a gang waits for enough capacity on one rack, ms. */
#define SCH_RACK_WAIT_MS 1500

/* A rack, and how many tasks of a step fit on its workers. */
struct sch_rack {
	const char *name;
	uint32_t fits;
	bool data; /* the step's data is there */
};

static GArray *sch_list_racks(struct sch_pool *p, const struct jtb_step *s,
			      bool now);
static int sch_compare_racks(gconstpointer a, gconstpointer b);

/*
 * Finds workers on one rack for a gang that runs slowly on more than one: on
 * the rack of its data, or else on the rack with the most free capacity that
 * holds it. Returns false if no rack holds it or the step is not of this kind.
 */
bool sch_place_on_one_rack(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn, uint32_t step, GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	GArray *racks;
	bool placed = false;
	guint i;

	if (!(s->flags & JTB_RACK_SENSITIVE))
		return false;
	racks = sch_list_racks(p, s, true);
	for (i = 0; i < racks->len && !placed; i++) {
		const struct sch_rack *r =
			&g_array_index(racks, struct sch_rack, i);

		if (r->fits < s->count)
			continue;
		placed = sch_place_gang(p, job, turn, step, r->name, places);
	}
	g_array_free(racks, TRUE);
	return placed;
}

/*
 * Whether a gang that fits on no single rack now waits for one. Spread over
 * several racks it takes about three times as long, that is, two times its
 * estimate more. It therefore waits at most that long, and takes at most twice
 * the best possible time whenever a rack gets free; but no longer than 1.5 s,
 * as its caller sees a job that does not start beside free capacity. Where no
 * rack could hold the gang even when empty, it does not wait.
 */
bool sch_waits_for_rack(struct sch_pool *p, struct jtb_job *job, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	int64_t timeout =
		MIN((int64_t)s->estimate_ms * (SCH_SPREAD_SLOWDOWN - 1),
		    SCH_RACK_WAIT_MS);
	GArray *racks;
	bool possible = false;
	guint i;

	if (!(s->flags & JTB_RACK_SENSITIVE))
		return false;
	racks = sch_list_racks(p, s, false);
	for (i = 0; i < racks->len && !possible; i++)
		possible = g_array_index(racks, struct sch_rack, i).fits >=
			   s->count;
	g_array_free(racks, TRUE);
	if (!possible)
		return false;
	if (!job->rack_wait_since_ms)
		job->rack_wait_since_ms = p->v->now_ms;
	return p->v->now_ms - job->rack_wait_since_ms < timeout;
}

/*
 * Returns the racks of a pool with the number of tasks of a step that fit
 * there, now or when empty: the rack of the step's data first, then by that
 * number.
 */
static GArray *sch_list_racks(struct sch_pool *p, const struct jtb_step *s,
			      bool now)
{
	GArray *racks = g_array_new(FALSE, TRUE, sizeof(struct sch_rack));
	guint i;
	guint r;

	for (i = 0; i < p->workers->len; i++) {
		const struct jtb_worker *w = g_ptr_array_index(p->workers, i);
		const char *name = sch_rack_of(w);
		struct sch_rack rack = {.name = name};

		if (!name || w->excluded ||
		    (s->label && !sch_has_label(w, s->label)))
			continue;
		for (r = 0; r < racks->len; r++)
			if (strcmp(g_array_index(racks, struct sch_rack, r)
					   .name,
				   name) == 0)
				break;
		rack.data = s->rack && strcmp(s->rack, name) == 0;
		if (r == racks->len)
			g_array_append_val(racks, rack);
		g_array_index(racks, struct sch_rack, r).fits +=
			sch_count_fits(w, s, now);
	}
	g_array_sort(racks, sch_compare_racks);
	return racks;
}

/* Returns how many tasks of a step fit on a worker, now or when it is empty. */
uint32_t sch_count_fits(const struct jtb_worker *w, const struct jtb_step *s,
			bool now)
{
	uint32_t n = s->max_per_worker ? s->max_per_worker : JTB_TASKS_MAX;
	uint32_t cpu = now ? w->used_cpu + w->proposed_cpu : 0;
	uint32_t mem = now ? w->used_mem + w->proposed_mem : 0;
	uint32_t gpus = now ? w->used_gpus + w->proposed_gpus : 0;

	if (s->cpu && !(s->flags & JTB_BEST_EFFORT))
		n = MIN(n, (w->info.cpu - MIN(cpu, w->info.cpu)) / s->cpu);
	if (s->mem_mb)
		n = MIN(n, (w->info.mem_mb - MIN(mem, w->info.mem_mb)) /
				   s->mem_mb);
	if (s->gpus)
		n = MIN(n, (w->info.gpus - MIN(gpus, w->info.gpus)) / s->gpus);
	return n;
}

/* Compares racks: the rack of the data first, then by how many tasks fit. */
static int sch_compare_racks(gconstpointer a, gconstpointer b)
{
	const struct sch_rack *x = a;
	const struct sch_rack *y = b;

	if (x->data != y->data)
		return x->data ? -1 : 1;
	if (x->fits != y->fits)
		return x->fits > y->fits ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* Returns the rack that a worker is in, or NULL. */
const char *sch_rack_of(const struct jtb_worker *w)
{
	char **labels = w->info.labels;

	return labels && labels[0] ? labels[1] : NULL;
}
