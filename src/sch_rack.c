#include "sch_int.h"

#include <stdlib.h>

/* Where a gang may run that is slow on more than one rack. */

/*
 * A gang that is slow on more than one rack takes about so many times as long
 * there: what the users' sites say.
 */
#define SCH_SPREAD_FACTOR 3
/* Longest that it waits for one rack, ms. */
#define SCH_RACK_WAIT_MS 1500

/* A rack, and how many tasks of a step fit there. */
struct sch_rack {
	const char *name;
	uint32_t fits;
	bool data; /* the step's data is there */
};

static GArray *sch_racks(struct sch_pool *p, const struct jtb_step *s,
			 bool now);
static uint32_t sch_fit_count(const struct jtb_worker *w,
			      const struct jtb_step *s, bool now);
static int sch_rack_order(gconstpointer a, gconstpointer b);

/*
 * Places for a gang that is slow on more than one rack: on the rack of its
 * data, or else on the one with the most room that has enough.
 */
bool sch_one_rack(struct sch_pool *p, const struct jtb_job *job, uint32_t turn,
		  uint32_t step, GPtrArray *places)
{
	const struct jtb_step *s = &job->spec.steps[step];
	GArray *racks;
	bool room = false;
	guint i;

	if (!(s->flags & JTB_RACK_SENSITIVE))
		return false;
	racks = sch_racks(p, s, true);
	for (i = 0; i < racks->len && !room; i++) {
		const struct sch_rack *r =
			&g_array_index(racks, struct sch_rack, i);

		if (r->fits < s->count)
			continue;
		room = sch_places(p, job, turn, step, r->name, places);
	}
	g_array_free(racks, TRUE);
	return room;
}

/*
 * Whether a gang that found room on no single rack waits for it. Spread over
 * several it takes about three times as long: two times its guess more. So it
 * waits as long as that at most, and comes out no worse than twice what would
 * have been best, whenever a rack gets free; and for no longer than 1.5 s, as
 * its caller sees a job that stands still beside free room. Where no rack
 * could hold it even when empty, there is nothing to wait for.
 */
bool sch_waits_for_rack(struct sch_pool *p, struct jtb_job *job, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	int64_t patience =
		MIN((int64_t)s->estimate_ms * (SCH_SPREAD_FACTOR - 1),
		    SCH_RACK_WAIT_MS);
	GArray *racks;
	bool ever = false;
	guint i;

	if (!(s->flags & JTB_RACK_SENSITIVE))
		return false;
	racks = sch_racks(p, s, false);
	for (i = 0; i < racks->len && !ever; i++)
		ever = g_array_index(racks, struct sch_rack, i).fits >=
		       s->count;
	g_array_free(racks, TRUE);
	if (!ever)
		return false;
	if (!job->rack_wait_since_ms)
		job->rack_wait_since_ms = p->v->now_ms;
	return p->v->now_ms - job->rack_wait_since_ms < patience;
}

/*
 * The racks of a pool with how many tasks of a step fit there, now or when
 * empty; that of its data first, then those with the most room.
 */
static GArray *sch_racks(struct sch_pool *p, const struct jtb_step *s, bool now)
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
			sch_fit_count(w, s, now);
	}
	g_array_sort(racks, sch_rack_order);
	return racks;
}

/* How many tasks of a step fit into a worker, now or when it is empty. */
static uint32_t sch_fit_count(const struct jtb_worker *w,
			      const struct jtb_step *s, bool now)
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

/* Orders racks: where they have enough, that of the data first. */
static int sch_rack_order(gconstpointer a, gconstpointer b)
{
	const struct sch_rack *x = a;
	const struct sch_rack *y = b;

	if (x->data != y->data)
		return x->data ? -1 : 1;
	if (x->fits != y->fits)
		return x->fits > y->fits ? -1 : 1;
	return strcmp(x->name, y->name);
}

/* The rack that a worker is in, or NULL. */
const char *sch_rack_of(const struct jtb_worker *w)
{
	char **labels = w->info.labels;

	return labels && labels[0] ? labels[1] : NULL;
}
