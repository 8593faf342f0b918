#include "jtb_int.h"

#include <stdio.h>

static bool jtb_worker_info_equal(const struct jtb_worker_info *a,
				  const struct jtb_worker_info *b);

static const char *const jtb_state_names[JTB_JOB_STATES] = {
	[JTB_QUEUED] = "queued",       [JTB_RUNNING] = "running",
	[JTB_COMPLETED] = "completed", [JTB_FAILED] = "failed",
	[JTB_CANCELLED] = "cancelled",
};

static const char *const jtb_end_names[JTB_ENDS] = {
	[JTB_DONE] = "done",	      [JTB_FAILED_RUN] = "failed",
	[JTB_STOPPED] = "stopped",    [JTB_LEASE_EXPIRED] = "lapsed",
	[JTB_GANG_BROKEN] = "broken", [JTB_GANG_INCOMPLETE] = "alone",
	[JTB_LOST] = "lost",
};

static bool jtb_parse_number(struct lstr *rest, uint32_t *out);

/* Creates an empty configuration. */
struct jtb_config *jtb_config_new(void)
{
	struct jtb_config *c = g_new0(struct jtb_config, 1);

	c->queues = g_ptr_array_new_with_free_func(jtb_queue_free);
	c->pools = g_ptr_array_new_with_free_func(jtb_pool_free);
	c->queue_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->queues_by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	c->pool_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	c->orgs = orgs_new();
	return c;
}

/*
 * Adds a queue and takes ownership of it; its name and host must be set.
 * Of several queues of one name, a lookup finds the first.
 */
void jtb_config_add_queue(struct jtb_config *c, struct jtb_queue *q)
{
	char *host = g_ascii_strdown(q->host, -1);
	GPtrArray *of_host = g_hash_table_lookup(c->queues_by_host, host);

	g_ptr_array_add(c->queues, q);
	if (!g_hash_table_contains(c->queue_by_name, q->name))
		g_hash_table_insert(c->queue_by_name, q->name, q);
	if (!of_host) {
		of_host = g_ptr_array_new();
		g_hash_table_insert(c->queues_by_host, g_strdup(host), of_host);
	}
	g_ptr_array_add(of_host, q);
	g_free(host);
}

/*
 * Adds a pool and takes ownership of it; its name must be set. Of several
 * pools of one name, a lookup finds the first.
 */
void jtb_config_add_pool(struct jtb_config *c, struct jtb_pool *p)
{
	g_ptr_array_add(c->pools, p);
	if (!g_hash_table_contains(c->pool_by_name, p->name))
		g_hash_table_insert(c->pool_by_name, p->name, p);
}

/*
 * Adds an organisation and takes ownership of it; returns what keeps it from
 * being added.
 */
enum org_fault jtb_config_add_org(struct jtb_config *c, struct org *o)
{
	return orgs_add(c->orgs, o);
}

/* Frees a configuration; c may be NULL. */
void jtb_config_free(struct jtb_config *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->queue_by_name);
	g_hash_table_destroy(c->queues_by_host);
	g_hash_table_destroy(c->pool_by_name);
	g_ptr_array_free(c->queues, TRUE);
	g_ptr_array_free(c->pools, TRUE);
	orgs_free(c->orgs);
	if (c->document)
		g_bytes_unref(c->document);
	g_free(c);
}

/* Frees a queue. */
void jtb_queue_free(gpointer p)
{
	struct jtb_queue *q = p;

	g_free(q->name);
	g_free(q->host);
	g_free(q->prefix);
	g_free(q->pool);
	g_free(q);
}

/* Frees a pool. */
void jtb_pool_free(gpointer p)
{
	struct jtb_pool *pool = p;

	g_free(pool->name);
	g_free(pool);
}

/* Frees the members of a job specification and zeroes it. */
void jtb_spec_clear(struct jtb_spec *s)
{
	uint32_t i;

	for (i = 0; i < s->n_steps; i++) {
		g_free(s->steps[i].label);
		g_free(s->steps[i].rack);
		g_free(s->steps[i].image);
	}
	g_free(s->steps);
	g_free(s->queue);
	g_free(s->text);
	g_free(s->org);
	g_free(s->zone);
	*s = (struct jtb_spec){0};
}

/* Frees the members of a worker's description and zeroes it. */
void jtb_worker_info_clear(struct jtb_worker_info *i)
{
	g_free(i->id);
	g_free(i->pool);
	g_free(i->addr);
	g_free(i->zone);
	g_strfreev(i->labels);
	*i = (struct jtb_worker_info){0};
}

/*
 * Whether a worker's reported description needs no update of the stored one.
 * A report that isn't draining, after one that was, is out of date: a worker
 * that drains never goes back.
 */
bool jtb_worker_info_is_current(const struct jtb_worker_info *known,
				const struct jtb_worker_info *reported)
{
	if (known->started_ms != reported->started_ms)
		return false;
	return jtb_worker_info_equal(known, reported) ||
	       (known->draining && !reported->draining);
}

/*
 * Whether two descriptions of a worker are equal, apart from id, zone and when
 * it leaves, of which the first word counts.
 */
static bool jtb_worker_info_equal(const struct jtb_worker_info *a,
				  const struct jtb_worker_info *b)
{
	return strcmp(a->pool, b->pool) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       a->cpu == b->cpu && a->mem_mb == b->mem_mb &&
	       a->gpus == b->gpus && a->draining == b->draining &&
	       g_strv_equal((const char *const *)a->labels,
			    (const char *const *)b->labels);
}

/* Creates a maintenance wave without VMs. */
struct jtb_wave *jtb_wave_new(uint64_t no)
{
	struct jtb_wave *w = g_new0(struct jtb_wave, 1);

	w->no = no;
	w->vms = g_ptr_array_new();
	w->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return w;
}

/* Adds a VM that waits for its upkeep; the wave owns the entry. */
struct jtb_wave_vm *jtb_wave_add(struct jtb_wave *w, const char *vm)
{
	struct jtb_wave_vm *v = g_new0(struct jtb_wave_vm, 1);

	v->vm = g_strdup(vm);
	g_ptr_array_add(w->vms, v);
	if (!g_hash_table_contains(w->by_name, v->vm))
		g_hash_table_insert(w->by_name, v->vm, v);
	return v;
}

/* Returns the first entry of a wave for a VM, or NULL. */
struct jtb_wave_vm *jtb_wave_find(const struct jtb_wave *w, const char *vm)
{
	return g_hash_table_lookup(w->by_name, vm);
}

/* Frees a maintenance wave and its entries. */
void jtb_wave_free(gpointer p)
{
	struct jtb_wave *w = p;
	guint i;

	for (i = 0; i < w->vms->len; i++) {
		struct jtb_wave_vm *v = g_ptr_array_index(w->vms, i);

		g_free(v->vm);
		g_free(v->worker_before);
		g_free(v);
	}
	g_hash_table_destroy(w->by_name);
	g_ptr_array_free(w->vms, TRUE);
	g_free(w);
}

/* Creates a job without runs; takes over the members of spec. */
struct jtb_job *jtb_job_new(const struct jtb_spec *spec)
{
	struct jtb_job *job = g_new0(struct jtb_job, 1);
	uint32_t ends[JTB_STEPS_MAX] = {0};
	uint32_t i;
	uint32_t j;

	job->spec = *spec;
	job->n_turns = MAX(1, spec->repeats);
	job->turns = g_new0(struct jtb_turn, job->n_turns);
	for (i = 0; i < spec->n_steps; i++) {
		const struct jtb_step *s = &spec->steps[i];

		job->core_seconds += s->count * (s->cpu / 1000.0) *
				     (s->estimate_ms / 1000.0);
		for (j = 0; j < i; j++)
			if (s->after & (1ULL << j))
				ends[i] = MAX(ends[i], ends[j]);
		ends[i] += s->estimate_ms;
		job->critical_path_ms = MAX(job->critical_path_ms, ends[i]);
	}
	return job;
}

/* Frees a job that has no runs. */
void jtb_job_free(gpointer p)
{
	struct jtb_job *job = p;
	uint32_t t;
	uint32_t s;
	uint32_t i;

	for (t = 0; t < job->n_turns; t++) {
		for (s = 0; job->turns[t].steps && s < job->spec.n_steps; s++) {
			struct jtb_step_state *state = &job->turns[t].steps[s];

			for (i = 0; i < job->spec.steps[s].count; i++)
				g_free(state->tasks[i].checkpoint);
			g_free(state->tasks);
		}
		g_free(job->turns[t].steps);
	}
	g_free(job->turns);
	g_free(job->pending_reasons);
	if (job->suspects)
		g_array_free(job->suspects, TRUE);
	jtb_spec_clear(&job->spec);
	g_free(job);
}

/* Frees a worker that has no runs. */
void jtb_worker_free(gpointer p)
{
	struct jtb_worker *w = p;

	jtb_worker_info_clear(&w->info);
	g_ptr_array_free(w->runs, TRUE);
	g_free(w);
}

/* Writes the name of a run's task to out. */
void jtb_name_of(const struct jtb_run *run, struct jtb_name *out)
{
	g_strlcpy(out->id, run->job->spec.id, sizeof(out->id));
	out->turn = run->turn;
	out->step = run->step;
	out->index = run->index;
}

/* Formats a task's name as JOB.TURN.STEP.INDEX. */
void jtb_name_format(const struct jtb_name *name, char *out, size_t size)
{
	g_snprintf(out, size, "%s.%u.%u.%u", name->id, name->turn, name->step,
		   name->index);
}

/* Whether two names denote the same task. */
bool jtb_name_equal(const struct jtb_name *a, const struct jtb_name *b)
{
	return a->index == b->index && a->step == b->step &&
	       a->turn == b->turn && strcmp(a->id, b->id) == 0;
}

/* Parses JOB.TURN.STEP.INDEX; returns false if text isn't a task's name. */
bool jtb_name_parse(struct lstr text, struct jtb_name *out)
{
	struct lstr id;
	struct lstr rest;

	if (!lstr_cut(text, '.', &id, &rest) || id.len == 0 ||
	    id.len > JTB_ID_MAX)
		return false;
	memcpy(out->id, id.p, id.len);
	out->id[id.len] = '\0';
	return jtb_parse_number(&rest, &out->turn) &&
	       jtb_parse_number(&rest, &out->step) &&
	       jtb_parse_number(&rest, &out->index) && rest.len == 0;
}

/* Parses the next number of a task's name and advances rest behind it. */
static bool jtb_parse_number(struct lstr *rest, uint32_t *out)
{
	struct lstr head = *rest;
	struct lstr tail = lstr_n("", 0);
	unsigned long long v;

	lstr_cut(*rest, '.', &head, &tail);
	if (!lstr_u64(head, &v) || v > UINT32_MAX)
		return false;
	*out = (uint32_t)v;
	*rest = tail;
	return true;
}

/* Returns a job's state as it appears in answers to callers. */
const char *jtb_state_name(enum jtb_job_state state)
{
	return jtb_state_names[state];
}

/* Returns how a run ended, as it appears in logs. */
const char *jtb_end_name(enum jtb_end how)
{
	return jtb_end_names[how];
}

/* Whether a job is completed, failed or cancelled; its runs may go on. */
bool jtb_job_ended(const struct jtb_job *job)
{
	return job->state >= JTB_COMPLETED;
}

/* Initializes an attribution of a crash without any task. */
void jtb_blame_init(struct jtb_blame *b)
{
	b->suspects = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));
	b->cleared = g_array_new(FALSE, TRUE, sizeof(struct jtb_name));
	b->correlated = false;
}

/* Frees the members of an attribution of a crash. */
void jtb_blame_clear(struct jtb_blame *b)
{
	g_array_free(b->suspects, TRUE);
	g_array_free(b->cleared, TRUE);
}

/*
 * Whether the tasks of a single job are the only possible cause of a crash:
 * no other worker was lost with it and all suspects are of one job.
 */
bool jtb_blame_single_job(const struct jtb_blame *b)
{
	const struct jtb_name *first;
	guint i;

	if (b->correlated || !b->suspects->len)
		return false;
	first = &g_array_index(b->suspects, struct jtb_name, 0);
	for (i = 1; i < b->suspects->len; i++)
		if (strcmp(g_array_index(b->suspects, struct jtb_name, i).id,
			   first->id) != 0)
			return false;
	return true;
}
