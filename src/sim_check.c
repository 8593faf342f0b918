#include "sim_int.h"

/* The checker: each start, each end of a day and idle room against the rules. */

/* Tasks of a step that a pool's workers could take; one each but of a gang. */
struct sim_free {
	uint32_t all;
	uint32_t open; /* of these, on workers that aren't closed */
	bool any_open;
};

static void sim_settle_job(struct sim *s, const struct jtb_job *job);
static void sim_settle_tasks(struct sim *s, const struct jtb_job *job);
static bool sim_room(const struct sim *s, const struct hld_view *v,
		     const struct jtb_job *job, uint32_t turn, uint32_t step);
static struct sim_free sim_free(const struct sim *s, const struct hld_view *v,
				const struct jtb_job *job, uint32_t turn,
				uint32_t step);
static bool sim_failed_by_itself(const struct sim *s, const struct jtb_queue *q,
				 const struct jtb_job *job);
static uint32_t sim_room_of(const struct sim *s, const char *worker);
static bool sim_is_away(const struct sim *s, const struct jtb_run *run,
			const struct jtb_name *n);
static bool sim_at_work(const struct sim *s, const struct jtb_name *n);
static void sim_check_part(struct sim *s, const struct hld_view *v,
			   struct jtb_job *job, uint32_t turn, uint32_t step);
static void sim_check_task(struct sim *s, const struct jtb_name *n,
			   enum hld_reason why, bool room);
static enum hld_reason sim_bar(void *arg, const struct jtb_worker *w);
static enum hld_reason sim_run_stands(void *arg, const struct jtb_run *run);

/* Adds up what the jobs became. */
void sim_settle(struct sim *s)
{
	uint64_t id;
	uint64_t found = 0;
	char text[JTB_ID_MAX + 1];

	for (id = 0; id < s->next_id; id++) {
		const struct jtb_job *job;

		g_snprintf(text, sizeof(text), "%016" PRIx64, id);
		job = jtb_job(s->jtb, text);
		if (!job)
			continue;
		found++;
		sim_settle_job(s, job);
	}
	if (found != s->accepted)
		sim_broken(s, SIM_LOST, "jobs are gone from the table");
	s->result.worth = s->owed > 0 ? s->earned / s->owed : 0;
}

/* Adds up what a job became, and checks that all of it was done. */
static void sim_settle_job(struct sim *s, const struct jtb_job *job)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(s->jtb), job->spec.queue);
	int64_t took = job->ended_ms - job->accepted_ms;
	int64_t limit = sch_objective_ms(q, job);

	s->result.given_up +=
		job->state == JTB_FAILED && sim_has_crasher(s, job);
	if (job->state == JTB_FAILED && !sim_failed_by_itself(s, q, job))
		sim_broken(s, SIM_LOST, job->spec.id);
	if (sch_is_long_running(job) || job->state == JTB_CANCELLED ||
	    sim_has_crasher(s, job))
		return;
	if (job->state == JTB_COMPLETED)
		sim_settle_tasks(s, job);
	/* what comes by the clock is no wish for room at once */
	if (job->spec.repeats)
		return;
	s->result.jobs++;
	s->owed += 1 + job->core_seconds;
	if (job->state != JTB_COMPLETED)
		return;
	s->result.in_time += took <= limit;
	s->result.late += took > limit && took <= SIM_LATE_FACTOR * limit;
	if (took <= limit)
		s->earned += 1 + job->core_seconds;
	else if (took <= SIM_LATE_FACTOR * limit)
		s->earned += SIM_LATE_WORTH * (1 + job->core_seconds);
}

/*
 * Whether a job may have failed: a task failed too often, or crashes workers, or
 * one crashed under it that no other task and no rack took down.
 */
static bool sim_failed_by_itself(const struct sim *s, const struct jtb_queue *q,
				 const struct jtb_job *job)
{
	uint32_t t;
	uint32_t p;
	uint32_t i;

	for (t = 0; t < job->n_turns; t++)
		for (p = 0; job->turns[t].steps && p < job->spec.n_steps; p++)
			for (i = 0; i < job->spec.steps[p].count; i++)
				if (job->turns[t].steps[p].tasks[i].failures >=
				    q->attempts)
					return true;
	return sim_has_crasher(s, job) ||
	       g_hash_table_contains(s->unlucky, job->spec.id);
}

/* Checks that all tasks of a completed job were done, in each turn. */
static void sim_settle_tasks(struct sim *s, const struct jtb_job *job)
{
	char name[JTB_ID_MAX + 40];
	struct jtb_name n = {0};

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.turn = 0; n.turn < job->n_turns; n.turn++) {
		for (n.step = 0; n.step < job->spec.n_steps; n.step++) {
			for (n.index = 0;
			     n.index < job->spec.steps[n.step].count;
			     n.index++) {
				jtb_name_format(&n, name, sizeof(name));
				if (!g_hash_table_contains(s->done, name))
					sim_broken(s, SIM_MIXED, name);
			}
		}
	}
}

/* A rule was broken; the first one is kept as text. */
void sim_broken(struct sim *s, enum sim_rule rule, const char *what)
{
	if (!s->result.first[0])
		g_snprintf(s->result.first, sizeof(s->result.first),
			   "%s at %" PRId64 " ms: %s", sim_rule_name(rule),
			   s->now, what);
	s->result.broken[rule]++;
}

/* What a worker and the callers can say of a start. */
void sim_check_start(struct sim *s, const struct sim_run *r,
		     const struct jtb_job *job, const struct jtb_worker *w)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(s->jtb), job->spec.queue);
	const struct jtb_step *step = &job->spec.steps[r->name.step];
	char text[JTB_ID_MAX + 40];
	uint32_t cpu = 0;
	uint32_t mem = 0;
	uint32_t same = 0;
	struct sim_crasher *c = sim_crasher_of(s, &r->name);
	guint i;

	jtb_name_format(&r->name, text, sizeof(text));
	if (c && c->crashes >= SIM_CRASHES && ++c->starts >= SIM_CRASHES)
		sim_broken(s, SIM_BUDGET, text);
	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *o = g_ptr_array_index(s->runs, i);

		if (strcmp(o->worker, r->worker) == 0) {
			cpu += o->step.cpu;
			mem += o->step.mem_mb;
			same += strcmp(o->name.id, r->name.id) == 0 &&
				o->name.step == r->name.step;
		}
		if (o != r && jtb_name_equal(&o->name, &r->name))
			sim_broken(s, SIM_TWICE, text);
	}
	if (g_hash_table_contains(s->done, text))
		sim_broken(s, SIM_TWICE, text);
	if (cpu > sim_room_of(s, r->worker) || mem > SIM_MEM_MB)
		sim_broken(s, SIM_LIMIT, text);
	if (strcmp(q->pool, w->info.pool) != 0 ||
	    (step->max_per_worker && same > step->max_per_worker))
		sim_broken(s, SIM_ROUTE, text);
	if (!jtb_step_due(job, r->name.turn, r->name.step,
			  SIM_EPOCH_MS + s->now))
		sim_broken(s, SIM_ORDER, text);
	if (job->turns[r->name.turn]
			    .steps[r->name.step]
			    .tasks[r->name.index]
			    .failures >= q->attempts &&
	    !(step->flags & JTB_LONG_RUNNING))
		sim_broken(s, SIM_BUDGET, text);
	if (jtb_job_ended(job))
		sim_broken(s, SIM_UNASKED, text);
	sim_org_check_start(s, r);
}

/* Room of a worker; less of it counts only a while after it has shrunk. */
static uint32_t sim_room_of(const struct sim *s, const char *worker)
{
	const struct sim_vm *m = sim_vm_of(s, worker);

	if (!m || (m->shrunk_ms && s->now - m->shrunk_ms <= SIM_SHRUNK_MS))
		return SIM_CPU;
	return m->cpu;
}

/*
 * What the workers say of a stop: of work that lasts no more than so many others
 * may be away. The table doesn't know what an earlier leader stopped.
 */
void sim_check_stop(struct sim *s, const struct jtb_run *run)
{
	const struct jtb_step *step = &run->job->spec.steps[run->step];
	char text[JTB_ID_MAX + 40];
	struct jtb_name n;
	uint32_t away = 0;

	jtb_name_of(run, &n);
	jtb_name_format(&n, text, sizeof(text));
	for (n.index = 0; n.index < step->count; n.index++)
		away += n.index != run->index && sim_is_away(s, run, &n);
	if (away >= MAX(1, step->may_miss))
		sim_broken(s, SIM_AVAIL, text);
}

/*
 * Whether another task of a run's step is away. One whose worker crashed a moment
 * ago isn't yet: nobody could know.
 */
static bool sim_is_away(const struct sim *s, const struct jtb_run *run,
			const struct jtb_name *n)
{
	const struct jtb_run *other =
		jtb_step_state(run->job, n->turn, n->step)->tasks[n->index].run;

	return !sim_at_work(s, n) &&
	       (!other || sim_vm_of(s, other->worker->info.id));
}

/* Whether a task that lasts is at work and isn't being stopped. */
static bool sim_at_work(const struct sim *s, const struct jtb_name *n)
{
	guint i;

	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (jtb_name_equal(&r->name, n) && !r->stop_ms &&
		    s->now - r->from_ms >= SIM_LASTING_MS)
			return true;
	}
	return false;
}

/*
 * Whether workers could take a task of a step twice over at this moment, of a
 * gang all its members. For work that lasts also those that we have closed
 * count; for other work only if its pool has none open: a VM that leaves for a
 * pool in greater need is no room for what is full beside it.
 */
static bool sim_room(const struct sim *s, const struct hld_view *v,
		     const struct jtb_job *job, uint32_t turn, uint32_t step)
{
	struct sim_free f = sim_free(s, v, job, turn, step);
	const struct jtb_step *need = &job->spec.steps[step];
	uint32_t twice = 2 * (need->flags & JTB_GANG ? need->count : 1);

	return (need->flags & JTB_LONG_RUNNING || !f.any_open
			? f.all
			: f.open) >= twice;
}

/* Adds up the tasks of a step that workers could take. */
static struct sim_free sim_free(const struct sim *s, const struct hld_view *v,
				const struct jtb_job *job, uint32_t turn,
				uint32_t step)
{
	const struct jtb_step *need = &job->spec.steps[step];
	const char *pool = jtb_pool_of(s->jtb, job);
	GHashTableIter it;
	struct jtb_worker *w;
	struct sim_free f = {0};
	guint i;

	g_hash_table_iter_init(&it, jtb_workers(s->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		uint32_t same = 0;
		uint32_t fits;

		if (strcmp(w->info.pool, pool) != 0 ||
		    sim_is_cut(s, w->info.id))
			continue;
		for (i = 0; i < w->runs->len; i++) {
			const struct jtb_run *r = g_ptr_array_index(w->runs, i);

			same += r->job == job && r->turn == turn &&
				r->step == step;
		}
		fits = MIN((w->info.cpu -
			    MIN(w->info.cpu, w->used_cpu + w->proposed_cpu)) /
				   need->cpu,
			   (w->info.mem_mb - w->used_mem - w->proposed_mem) /
				   need->mem_mb);
		if (need->max_per_worker)
			fits = MIN(fits,
				   need->max_per_worker -
					   MIN(same, need->max_per_worker));
		fits = need->flags & JTB_GANG ? fits : MIN(fits, 1);
		f.all += fits;
		/* nor is a worker on which something is tried alone */
		if (g_hash_table_contains(v->sch->closed, w->info.id) ||
		    (w->isolated_for && w->isolated_for != job->seq + 1))
			continue;
		f.any_open = true;
		f.open += fits;
	}
	return f;
}

/*
 * What is owed must not be without a run while there is room for it twice
 * over: not for SIM_IDLE_MS in all, nor for longer by one reason than that
 * reason may take.
 */
void sim_check_idle(struct sim *s)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *live = jtb_live(s->jtb);
	struct sch_view plan;
	struct hld_view v = {
		.sch = &plan,
		.moving = g_hash_table_new(g_str_hash, g_str_equal),
		.upkeep = g_hash_table_new(g_str_hash, g_str_equal),
		.worker_reason = sim_bar,
		.run = sim_run_stands,
	};
	uint32_t t;
	uint32_t p;
	guint i;

	sim_view(s, &plan, closed);
	upk_add_closed(s->upk, v.upkeep);
	flo_add_closed(s->flo, v.moving);
	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);

		for (t = 0; t < job->n_turns; t++)
			for (p = 0; p < job->spec.n_steps; p++)
				sim_check_part(s, &v, job, t, p);
	}
	g_hash_table_destroy(closed);
	g_hash_table_destroy(v.moving);
	g_hash_table_destroy(v.upkeep);
}

/* Looks at each task of a step in one turn. */
static void sim_check_part(struct sim *s, const struct hld_view *v,
			   struct jtb_job *job, uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	bool room = !jtb_job_ended(job) &&
		    jtb_step_due(job, turn, step, v->sch->wall_ms) &&
		    sim_room(s, v, job, turn, step);
	struct jtb_name n = {.turn = turn, .step = step};

	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (n.index = 0; n.index < job->spec.steps[step].count; n.index++) {
		bool over = part && part->tasks[n.index].done;

		sim_check_task(s, &n,
			       room && !over ? hld_task(v, job, &n) : HLD_OVER,
			       room);
	}
}

/* Looks at one task and what holds it back. */
static void sim_check_task(struct sim *s, const struct jtb_name *n,
			   enum hld_reason why, bool room)
{
	char text[JTB_ID_MAX + 40];
	char what[JTB_ID_MAX + 80];
	struct sim_idle *idle;
	int64_t most;

	if (why == HLD_ORG_LIMIT && sim_org_waits_for_lease(s, n))
		why = HLD_LEASE_VALID;
	most = hld_limit_ms(why);
	jtb_name_format(n, text, sizeof(text));
	idle = g_hash_table_lookup(s->idle, text);
	/* the rest of a gang may run on, and a silent worker its work */
	if (!room || !hld_is_pending(why) || why == HLD_GANG ||
	    (why == HLD_ORG_LIMIT && sim_org_may_wait(s, n))) {
		if (idle)
			g_hash_table_remove(s->idle, text);
		return;
	}
	if (!idle) {
		idle = g_new0(struct sim_idle, 1);
		*idle = (struct sim_idle){
			.from_ms = s->now, .why_ms = s->now, .why = why};
		g_hash_table_insert(s->idle, g_strdup(text), idle);
	}
	if (why == HLD_LEASE_VALID)
		idle->from_ms = s->now;
	if (idle->why != why)
		idle->why_ms = s->now;
	idle->why = why;
	if (s->now - idle->from_ms <= SIM_IDLE_MS &&
	    (!most || s->now - idle->why_ms <= most))
		return;
	g_snprintf(what, sizeof(what), "%s: %s", text, hld_name(why));
	sim_broken(s, SIM_IDLE, what);
	idle->from_ms = s->now;
	idle->why_ms = s->now;
}

/* Why a worker may not be given work, but for being emptied. */
static enum hld_reason sim_bar(void *arg, const struct jtb_worker *w)
{
	if (w->info.draining)
		return HLD_DRAINING;
	return sim_is_cut(arg, w->info.id) ? HLD_UNREACHABLE : HLD_NONE;
}

/* How a run of the table stands in the world. */
static enum hld_reason sim_run_stands(void *arg, const struct jtb_run *run)
{
	const struct sim *s = arg;
	struct jtb_name n;
	guint i;

	if (sim_is_cut(s, run->worker->info.id))
		return HLD_LEASE_VALID;
	jtb_name_of(run, &n);
	for (i = 0; i < s->runs->len; i++) {
		const struct sim_run *r = g_ptr_array_index(s->runs, i);

		if (r->attempt == run->attempt && jtb_name_equal(&r->name, &n))
			return run->stop_wanted ? HLD_STOPPING : HLD_RUNS;
	}
	return HLD_ENDING;
}
