#include "sch_int.h"

/* In which zones, and near which rack, a step's tasks are placed. */

/*
 * Raises the score of a worker in the rack of the task placed before, above all
 * that packing gives and below what the rack of the data does.
 */
#define SCH_SAME_RACK_SCORE 2

static struct sch_zone *sch_zone_of(struct sch_pool *p, const char *name);
static void sch_zone_clear(gpointer p);
static bool sch_goes_by_zones(const struct sch_pool *p,
			      const struct jtb_step *s);
static void sch_see_zone(struct sch_pool *p, const struct sch_zone *z,
			 const struct jtb_job *job, const struct jtb_step *s,
			 uint32_t wanted, struct dom_zone *out);
static uint32_t sch_count_room(struct sch_pool *p, const struct sch_zone *z,
			       const struct jtb_job *job,
			       const struct jtb_step *s, uint32_t wanted);
static bool sch_zone_has_rack(const struct sch_zone *z, const char *rack);
static void sch_count_runs(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn);

/* Returns an empty list of zones. */
GArray *sch_zones_new(void)
{
	GArray *zones = g_array_new(FALSE, TRUE, sizeof(struct sch_zone));

	g_array_set_clear_func(zones, sch_zone_clear);
	return zones;
}

static void sch_zone_clear(gpointer p)
{
	struct sch_zone *z = p;

	g_ptr_array_free(z->workers, TRUE);
}

/* Adds a worker to the zone that it is in. */
void sch_zones_add(struct sch_pool *p, struct jtb_worker *w)
{
	struct sch_zone *z = sch_zone_of(p, w->info.zone);
	struct sch_zone new_zone = {.name = w->info.zone};

	if (!z) {
		new_zone.workers = g_ptr_array_new();
		g_array_append_val(p->zones, new_zone);
		z = sch_zone_of(p, w->info.zone);
	}
	g_ptr_array_add(z->workers, w);
}

/* Returns the zone of a name, or NULL. */
static struct sch_zone *sch_zone_of(struct sch_pool *p, const char *name)
{
	guint i;

	for (i = 0; i < p->zones->len; i++) {
		struct sch_zone *z =
			&g_array_index(p->zones, struct sch_zone, i);

		if (strcmp(z->name, name) == 0)
			return z;
	}
	return NULL;
}

/*
 * Sets the order in which zones are asked for workers, for the tasks of a step
 * that have no run, until sch_end_zones.
 */
void sch_begin_zones(struct sch_pool *p, const struct jtb_job *job,
		     uint32_t turn, uint32_t step, uint32_t wanted)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct dom_step need = {.wanted = wanted, .job = job->seq};
	guint i;

	p->n_order = 0;
	p->near_rack = NULL;
	if (!sch_goes_by_zones(p, s))
		return;
	sch_count_runs(p, job, turn);
	p->n_order = MIN(p->zones->len, SCH_ZONES_MAX);
	for (i = 0; i < p->n_order; i++)
		sch_see_zone(p, &g_array_index(p->zones, struct sch_zone, i),
			     job, s, wanted, &p->order[i]);
	dom_order(p->v->domains, p->order, p->n_order, &need);
}

/* From here on tasks go to the best worker of any zone. */
void sch_end_zones(struct sch_pool *p)
{
	p->n_order = 0;
	p->near_rack = NULL;
}

/*
 * Whether the tasks of a step are kept in few zones. Those that last are to be
 * spread: what is lost of them is missed until they run again. Gangs and tasks
 * kept apart have rules of their own, and tasks that use idle processors go to
 * where these are.
 */
static bool sch_goes_by_zones(const struct sch_pool *p,
			      const struct jtb_step *s)
{
	return p->v->domains && p->v->domains->zones && p->zones->len > 1 &&
	       p->zones->len <= SCH_ZONES_MAX && !s->max_per_worker &&
	       !(s->flags & (JTB_LONG_RUNNING | JTB_GANG | JTB_BEST_EFFORT));
}

/* Describes a zone to the decision. */
static void sch_see_zone(struct sch_pool *p, const struct sch_zone *z,
			 const struct jtb_job *job, const struct jtb_step *s,
			 uint32_t wanted, struct dom_zone *out)
{
	*out = (struct dom_zone){
		.name = z->name,
		.room = sch_count_room(p, z, job, s, wanted),
		.runs = z->runs_of_job,
		.data = s->rack && sch_zone_has_rack(z, s->rack),
		.caller = g_strcmp0(job->spec.zone, z->name) == 0,
	};
}

/* Counts the tasks of a step that fit into a zone, up to those wanted. */
static uint32_t sch_count_room(struct sch_pool *p, const struct sch_zone *z,
			       const struct jtb_job *job,
			       const struct jtb_step *s, uint32_t wanted)
{
	uint32_t room = 0;
	guint i;

	for (i = 0; i < z->workers->len && room < wanted; i++) {
		const struct jtb_worker *w = g_ptr_array_index(z->workers, i);

		if (sch_allowed(w, s) && !sch_is_reserved(p, w) &&
		    !sch_is_backed_off(p, w, s, false) &&
		    !sch_is_too_slow(p, w, s) &&
		    !sch_is_reserved_for_retry(p, w, job))
			room += sch_count_fits(w, s, true);
	}
	return MIN(room, wanted);
}

/* Whether a worker of a zone is in a rack. */
static bool sch_zone_has_rack(const struct sch_zone *z, const char *rack)
{
	guint i;

	for (i = 0; i < z->workers->len; i++)
		if (sch_has_label(g_ptr_array_index(z->workers, i), rack))
			return true;
	return false;
}

/* Counts for each zone the tasks of a job that run or are about to. */
static void sch_count_runs(struct sch_pool *p, const struct jtb_job *job,
			   uint32_t turn)
{
	const struct jtb_step_state *steps = job->turns[turn].steps;
	struct sch_zone *z;
	uint32_t s;
	uint32_t i;

	for (i = 0; i < p->zones->len; i++)
		g_array_index(p->zones, struct sch_zone, i).runs_of_job = 0;
	for (s = 0; steps && s < job->spec.n_steps; s++) {
		if (!steps[s].n_runs && !steps[s].n_proposed)
			continue;
		for (i = 0; i < job->spec.steps[s].count; i++) {
			const struct jtb_task *t = &steps[s].tasks[i];
			const struct jtb_worker *w =
				t->run		    ? t->run->worker
				: t->start_proposed ? t->proposed_worker
						    : NULL;

			z = w ? sch_zone_of(p, w->info.zone) : NULL;
			if (z)
				z->runs_of_job++;
		}
	}
}

/* Returns the workers of the i-th zone to be asked. */
GPtrArray *sch_zone_workers(struct sch_pool *p, guint i)
{
	return sch_zone_of(p, p->order[i].name)->workers;
}

/* Records where a task of the step was placed. */
void sch_placed_near(struct sch_pool *p, const struct jtb_worker *w)
{
	if (p->n_order && p->v->domains->racks)
		p->near_rack = sch_rack_of(w);
}

/*
 * Returns what a worker's score gains by its rack. Load: a rack loses its
 * power. Harm: each job with a task in it waits for that one.
 */
double sch_near_score(const struct sch_pool *p, const struct jtb_worker *w)
{
	return p->near_rack && g_strcmp0(sch_rack_of(w), p->near_rack) == 0
		       ? SCH_SAME_RACK_SCORE
		       : 0;
}
