#include "hld.h"

#include "sch_int.h"

/*
 * A worker counts as reserved for a long-running task if a plan has reserved it
 * within this time, ms: plans are made five times a second even without a
 * cause.
 */
#define HLD_RESERVED_MS 400
/*
 * Pending time after which a task or job is reported, ms: at most 6 s are
 * allowed where capacity is free.
 */
#define HLD_REPORT_MS 3000
/* Time after which it is reported again if nothing changed, ms. */
#define HLD_REPORT_AGAIN_MS 10000
/*
 * Limits for one scan, so that no mix of task sizes takes too much of the
 * leader's time: task sizes per pool whose reason is cached, and reasons
 * evaluated beyond those. The rest keeps the reason last found.
 */
#define HLD_CACHE_SIZE 256
#define HLD_EVAL_MAX 100

static const struct {
	const char *name;
	/*
	 * Longest time that the reason may keep a task pending while capacity
	 * is free, ms; 0: any time. The values stand for, in order: two plans;
	 * a batch and its commit; an order or a stop with a retry; a lease on a
	 * slow clock after one granted by the previous leader; an end whose
	 * report is lost, followed by a loss of the leader; the longest
	 * back-off; isolated retries one after another on a part of the pool;
	 * what is waited for until a VM is drained.
	 */
	int64_t limit_ms;
} hld_defs[HLD_REASONS] = {
	[HLD_NONE] = {"none", 400},
	[HLD_OVER] = {"over", 0},
	[HLD_RUNS] = {"runs", 0},
	[HLD_NOT_DUE] = {"not-due", 0},
	[HLD_EARLIER_STEP] = {"earlier-step", 0},
	[HLD_NO_QUEUE] = {"queue-gone", 0},
	[HLD_PROPOSED] = {"start-not-stored", 1000},
	[HLD_ORDERED] = {"ordered", 2000},
	[HLD_STOPPING] = {"being-stopped", 2000},
	[HLD_LEASE_VALID] = {"lease-not-over", 12000},
	[HLD_ENDING] = {"end-not-stored", 3000},
	[HLD_GANG] = {"rest-of-gang", 0},
	[HLD_JUST_ENDED] = {"just-ended", 400},
	[HLD_ISOLATED_RETRY] = {"tried-alone", 5000},
	[HLD_ORG_LIMIT] = {"organisation-limit", 0},
	[HLD_NO_WORKER] = {"no-worker", 0},
	[HLD_NO_LABEL] = {"no-label", 0},
	[HLD_TOO_LARGE] = {"too-large", 0},
	[HLD_DRAINING] = {"draining", 0},
	[HLD_UNREACHABLE] = {"unreached", 0},
	[HLD_BACKED_OFF] = {"shunned", 16000},
	[HLD_MOVING] = {"closed-for-move", 5000},
	[HLD_UPKEEP] = {"closed-for-upkeep", 5000},
	[HLD_NO_TICKET] = {"needs-ticket", 0},
	[HLD_WORKER_LIMIT] = {"kept-apart", 0},
	[HLD_NO_CAPACITY] = {"no-room", 0},
	[HLD_RESERVED] = {"kept-for-other", 5000},
	[HLD_RESERVED_FOR_RETRY] = {"kept-for-trial", 5000},
	[HLD_NO_GANG_CAPACITY] = {"no-room-for-gang", 0},
	[HLD_WAITS_FOR_RACK] = {"waits-for-rack", 2000},
};

/* A pool during one scan. */
struct hld_pool {
	struct sch_pool sch;
	GPtrArray *all; /* struct jtb_worker, including unusable ones */
	struct {
		const struct jtb_step *step; /* NULL: unused entry */
		enum hld_reason why;
	} cache[HLD_CACHE_SIZE];
};

/* One scan of all pending tasks. */
struct hld_scan {
	const struct hld_view *v;
	struct hld_sum *sum;
	hld_report_fn report;
	void *arg;
	GHashTable *pools; /* struct hld_pool */
	int evaluated; /* reasons evaluated, without those cached */
};

static enum hld_reason hld_check_suspect(enum hld_reason why,
					 const struct jtb_job *job,
					 const struct jtb_name *n);
static enum hld_reason hld_task_reason(const struct hld_view *v,
				       const struct jtb_job *job,
				       const struct jtb_name *n,
				       enum hld_reason step);
static enum hld_reason hld_step_reason(const struct hld_view *v,
				       const struct jtb_job *job, uint32_t turn,
				       uint32_t step);
static enum hld_reason hld_pool_reason(const struct hld_view *v,
				       struct hld_pool *p,
				       const struct jtb_job *job, uint32_t turn,
				       uint32_t step);
static enum hld_reason hld_worker_reason(const struct hld_view *v,
					 const struct hld_pool *p,
					 const struct jtb_job *job,
					 const struct jtb_step *s,
					 const struct jtb_worker *w);
static enum hld_reason hld_closed_reason(const struct hld_view *v,
					 const struct jtb_worker *w);
static bool hld_is_reserved(const struct hld_view *v, const struct jtb_job *job,
			    const struct jtb_worker *w);
static struct hld_pool *hld_pool_new(const struct hld_view *v,
				     const char *name);
static void hld_pool_free(gpointer arg);
static void hld_count_unreachable(const struct hld_view *v,
				  struct hld_sum *sum);
static void hld_scan_job(struct hld_scan *scan, struct jtb_job *job);
static enum hld_reason hld_scan_step(struct hld_scan *scan, struct jtb_job *job,
				     uint32_t turn, uint32_t step);
static void hld_count(struct hld_scan *scan, const struct jtb_job *job,
		      enum hld_reason why, uint32_t tasks);
static void hld_scan_long_running(struct hld_scan *scan, struct jtb_job *job,
				  uint32_t turn, uint32_t step);
static struct jtb_pending_reason *hld_job_records(struct jtb_job *job);
static enum hld_reason hld_cached_reason(struct hld_scan *scan,
					 struct jtb_job *job, uint32_t turn,
					 uint32_t step);
static bool hld_same_size(const struct jtb_step *a, const struct jtb_step *b);
static struct hld_pool *hld_get_pool(struct hld_scan *scan,
				     const struct jtb_job *job);
static void hld_record(struct hld_scan *scan, const struct jtb_job *job,
		       const struct jtb_name *n, struct jtb_pending_reason *h,
		       enum hld_reason why);

/* Returns the name of a reason in logs and metrics. */
const char *hld_name(enum hld_reason why)
{
	return hld_defs[why].name;
}

/*
 * Returns the longest time that a reason may keep a task pending while capacity
 * is free, ms; 0: any time.
 */
int64_t hld_limit_ms(enum hld_reason why)
{
	return hld_defs[why].limit_ms;
}

/*
 * Whether a task with this reason is pending, that is, due and without a run.
 */
bool hld_is_pending(enum hld_reason why)
{
	return why != HLD_OVER && why != HLD_RUNS && why != HLD_NOT_DUE &&
	       why != HLD_EARLIER_STEP;
}

/*
 * Returns why a task does not run; HLD_RUNS if it runs, HLD_OVER if it need
 * not.
 */
enum hld_reason hld_task(const struct hld_view *v, struct jtb_job *job,
			 const struct jtb_name *n)
{
	enum hld_reason why = hld_task_reason(
		v, job, n, hld_step_reason(v, job, n->turn, n->step));
	struct hld_pool *p;

	if (why != HLD_NONE)
		return why;
	p = hld_pool_new(v, jtb_pool_of(v->sch->jtb, job));
	why = hld_pool_reason(v, p, job, n->turn, n->step);
	hld_pool_free(p);
	return hld_check_suspect(why, job, n);
}

/*
 * Returns HLD_ISOLATED_RETRY instead of HLD_NONE or a lack of capacity for a
 * suspect task, which needs an isolated retry; otherwise returns why.
 */
static enum hld_reason hld_check_suspect(enum hld_reason why,
					 const struct jtb_job *job,
					 const struct jtb_name *n)
{
	bool suspected = sch_is_suspect_task(job, n->step, n->index);

	return suspected && (why == HLD_NONE || why >= HLD_NO_CAPACITY)
		       ? HLD_ISOLATED_RETRY
		       : why;
}

/*
 * Returns the reason that lies in the task itself, or HLD_NONE if it waits for
 * a worker. step is the reason common to all tasks of its step.
 */
static enum hld_reason hld_task_reason(const struct hld_view *v,
				       const struct jtb_job *job,
				       const struct jtb_name *n,
				       enum hld_reason step)
{
	const struct jtb_step *s = &job->spec.steps[n->step];
	const struct jtb_step_state *part =
		jtb_step_state(job, n->turn, n->step);
	const struct jtb_task *task = part ? &part->tasks[n->index] : NULL;

	if (task && task->done)
		return HLD_OVER;
	if (task && task->run)
		return v->run(v->sch->arg, task->run);
	if (step != HLD_NONE)
		return step;
	if (task && task->start_proposed)
		return HLD_PROPOSED;
	if (s->flags & JTB_GANG && part &&
	    part->n_runs + part->n_proposed + part->n_done)
		return HLD_GANG;
	if (task && v->sch->now_ms - task->last_end_ms < SCH_RETRY_DELAY_MS)
		return HLD_JUST_ENDED;
	return HLD_NONE;
}

/*
 * Returns the reason common to all tasks of a step, apart from those of its
 * pool.
 */
static enum hld_reason hld_step_reason(const struct hld_view *v,
				       const struct jtb_job *job, uint32_t turn,
				       uint32_t step)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(v->sch->jtb), job->spec.queue);
	const struct jtb_step *s = &job->spec.steps[step];
	struct org_amount amount;

	if (jtb_job_ended(job) || job->turns[turn].done & 1ULL << step)
		return HLD_OVER;
	if (v->sch->wall_ms < jtb_turn_due(job, turn))
		return HLD_NOT_DUE;
	if (!jtb_step_due(job, turn, step, v->sch->wall_ms))
		return HLD_EARLIER_STEP;
	if (!q)
		return HLD_NO_QUEUE;
	amount = jtb_step_amount(s);
	if (!quo_may_start(job->use, &amount,
			   s->flags & JTB_GANG ? s->count : 1))
		return HLD_ORG_LIMIT;
	return HLD_NONE;
}

/* Returns the reason that the workers of the pool give for a step. */
static enum hld_reason hld_pool_reason(const struct hld_view *v,
				       struct hld_pool *p,
				       const struct jtb_job *job, uint32_t turn,
				       uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	enum hld_reason best = HLD_NO_WORKER;
	GPtrArray *places;
	guint i;

	p->sch.queue = jtb_queue(jtb_config(v->sch->jtb), job->spec.queue);
	sch_apply_tickets(&p->sch, job, turn, step);
	sch_count_step_tasks(&p->sch, job, turn, step);
	for (i = 0; i < p->all->len && best != HLD_NONE; i++) {
		enum hld_reason why = hld_worker_reason(
			v, p, job, s, g_ptr_array_index(p->all, i));

		best = why == HLD_NONE ? why : MAX(best, why);
	}
	if (best != HLD_NONE || !(s->flags & JTB_GANG))
		return best;
	places = g_ptr_array_new();
	if (!sch_place_gang(&p->sch, job, turn, step, NULL, places))
		best = HLD_NO_GANG_CAPACITY;
	else if (s->flags & JTB_RACK_SENSITIVE && job->rack_wait_since_ms)
		best = HLD_WAITS_FOR_RACK;
	g_ptr_array_free(places, TRUE);
	return best;
}

/* Returns why a worker does not take a task, by the rules of a plan. */
static enum hld_reason hld_worker_reason(const struct hld_view *v,
					 const struct hld_pool *p,
					 const struct jtb_job *job,
					 const struct jtb_step *s,
					 const struct jtb_worker *w)
{
	if (s->label && !sch_has_label(w, s->label))
		return HLD_NO_LABEL;
	if ((!(s->flags & JTB_BEST_EFFORT) && w->info.cpu < s->cpu) ||
	    w->info.mem_mb < s->mem_mb || w->info.gpus < s->gpus)
		return HLD_TOO_LARGE;
	if (!sch_usable(v->sch, w))
		return hld_closed_reason(v, w);
	if (sch_is_backed_off(&p->sch, w, s, false) ||
	    sch_is_too_slow(&p->sch, w, s))
		return HLD_BACKED_OFF;
	if (w->excluded)
		return HLD_NO_TICKET;
	if (!sch_allowed(w, s))
		return HLD_WORKER_LIMIT;
	if (!sch_fits(w, s))
		return HLD_NO_CAPACITY;
	if (hld_is_reserved(v, job, w))
		return HLD_RESERVED;
	return sch_is_reserved_for_retry(&p->sch, w, job)
		       ? HLD_RESERVED_FOR_RETRY
		       : HLD_NONE;
}

/* Returns why a worker may not be assigned work. */
static enum hld_reason hld_closed_reason(const struct hld_view *v,
					 const struct jtb_worker *w)
{
	enum hld_reason why = v->worker_reason(v->sch->arg, w);

	if (why != HLD_NONE)
		return why;
	return g_hash_table_contains(v->upkeep, w->info.id) ? HLD_UPKEEP
							    : HLD_MOVING;
}

/* Whether a worker is reserved for a long-running task of another job. */
static bool hld_is_reserved(const struct hld_view *v, const struct jtb_job *job,
			    const struct jtb_worker *w)
{
	return w->reserved_for && w->reserved_for != job->seq + 1 &&
	       v->sch->now_ms - w->reserved_ms <= HLD_RESERVED_MS;
}

/* Returns the state of a pool with its workers. */
static struct hld_pool *hld_pool_new(const struct hld_view *v, const char *name)
{
	struct hld_pool *p = g_new0(struct hld_pool, 1);
	GPtrArray *all = jtb_pool_workers(v->sch->jtb, name);

	sch_pool_init(&p->sch, v->sch, name);
	p->all = all ? g_ptr_array_ref(all) : g_ptr_array_new();
	return p;
}

/* Frees the state of a pool. */
static void hld_pool_free(gpointer arg)
{
	struct hld_pool *p = arg;

	sch_pool_clear(&p->sch);
	g_ptr_array_unref(p->all);
	g_free(p);
}

/*
 * Scans all pending tasks; called once a second by the leader. Counts the tasks
 * for each reason in sum and reports those pending for long. The tasks of a
 * step share the reason given by their pool; long-running tasks are evaluated
 * one by one, as each of them should run at any time.
 */
void hld_scan_all(const struct hld_view *v, struct hld_sum *sum,
		  hld_report_fn report, void *arg)
{
	struct hld_scan scan = {
		.v = v, .sum = sum, .report = report, .arg = arg};
	GPtrArray *live = jtb_live(v->sch->jtb);
	guint i;

	memset(sum->tasks, 0, sizeof(sum->tasks));
	quo_reset_waiting(jtb_usage(v->sch->jtb));
	sum->longest_ms = 0;
	scan.pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   hld_pool_free);
	for (i = 0; i < live->len; i++)
		hld_scan_job(&scan, g_ptr_array_index(live, (sum->next_job +
							     i) % live->len));
	sum->next_job += HLD_EVAL_MAX;
	g_hash_table_destroy(scan.pools);
	hld_count_unreachable(v, sum);
}

/*
 * Adds the runs on unreachable workers; long-running ones are counted already.
 */
static void hld_count_unreachable(const struct hld_view *v, struct hld_sum *sum)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	g_hash_table_iter_init(&it, jtb_workers(v->sch->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		if (!w->runs->len ||
		    v->worker_reason(v->sch->arg, w) != HLD_UNREACHABLE)
			continue;
		for (i = 0; i < w->runs->len; i++) {
			const struct jtb_run *r = g_ptr_array_index(w->runs, i);

			sum->tasks[HLD_LEASE_VALID] +=
				!(r->job->spec.steps[r->step].flags &
				  JTB_LONG_RUNNING);
		}
	}
}

/* Appends the metrics of pending tasks in the text format for monitoring. */
void hld_append_metrics(const struct hld_sum *sum, GString *out)
{
	int i;

	g_string_append(out, "# HELP endive_held_tasks Tasks that wait, by "
			     "what holds them back\n"
			     "# TYPE endive_held_tasks gauge\n");
	for (i = 0; i < HLD_REASONS; i++)
		if (i != HLD_OVER && i != HLD_RUNS)
			g_string_append_printf(out,
					       "endive_held_tasks{why=\"%s\"} "
					       "%" G_GUINT64_FORMAT "\n",
					       hld_name(i), sum->tasks[i]);
	g_string_append_printf(
		out,
		"# HELP endive_held_longest_seconds Longest that work which is "
		"due has been without a run\n"
		"# TYPE endive_held_longest_seconds gauge\n"
		"endive_held_longest_seconds %.1f\n",
		(double)sum->longest_ms / 1000);
}

/*
 * Drops all pending times, so that a new leader counts from its own first scan.
 */
void hld_clear(const struct jtb *t)
{
	GPtrArray *live = jtb_live(t);
	guint i;

	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);

		g_free(job->pending_reasons);
		job->pending_reasons = NULL;
	}
}

/*
 * Scans one job. The job as a whole is pending while some of it is due and none
 * of it runs or is being started.
 */
static void hld_scan_job(struct hld_scan *scan, struct jtb_job *job)
{
	enum hld_reason job_reason = HLD_OVER;
	bool active = job->n_runs > 0;
	uint32_t t;
	uint32_t s;

	if (jtb_job_ended(job))
		return;
	for (t = 0;
	     t < job->n_turns && scan->v->sch->wall_ms >= jtb_turn_due(job, t);
	     t++) {
		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step_state *part =
				jtb_step_state(job, t, s);
			enum hld_reason why;

			if (job->spec.steps[s].flags & JTB_LONG_RUNNING) {
				hld_scan_long_running(scan, job, t, s);
				continue;
			}
			active = active || (part && part->n_proposed);
			why = hld_scan_step(scan, job, t, s);
			if (!hld_is_pending(job_reason))
				job_reason = why;
		}
	}
	if (active)
		job_reason = HLD_RUNS;
	if (job->pending_reasons || hld_is_pending(job_reason))
		hld_record(scan, job, NULL, hld_job_records(job), job_reason);
}

/* Adds the waiting tasks of a step to the sum and returns their reason. */
static enum hld_reason hld_scan_step(struct hld_scan *scan, struct jtb_job *job,
				     uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t waiting = job->spec.steps[step].count;
	enum hld_reason why = hld_step_reason(scan->v, job, turn, step);

	if (part) {
		uint32_t occupied =
			part->n_done + part->n_runs + part->n_proposed;

		scan->sum->tasks[HLD_PROPOSED] += part->n_proposed;
		waiting -= MIN(waiting, occupied);
		if (waiting && why == HLD_NONE && occupied &&
		    job->spec.steps[step].flags & JTB_GANG)
			why = HLD_GANG;
	}
	if (!waiting)
		return HLD_OVER;
	if (why == HLD_NONE)
		why = hld_cached_reason(scan, job, turn, step);
	if (why == HLD_NONE && job->suspects && job->suspects->len)
		why = HLD_ISOLATED_RETRY;
	hld_count(scan, job, why, waiting);
	return why;
}

/* Adds pending tasks to the sum, and to what their organisation waits for. */
static void hld_count(struct hld_scan *scan, const struct jtb_job *job,
		      enum hld_reason why, uint32_t tasks)
{
	scan->sum->tasks[why] += tasks;
	if (!job->use || !hld_is_pending(why))
		return;
	job->use->waiting += tasks;
	job->use->at_limit += why == HLD_ORG_LIMIT ? tasks : 0;
}

/* Scans each task of a long-running step. */
static void hld_scan_long_running(struct hld_scan *scan, struct jtb_job *job,
				  uint32_t turn, uint32_t step)
{
	struct jtb_pending_reason *records = hld_job_records(job) + 1;
	struct jtb_name n = {.turn = turn, .step = step};
	enum hld_reason common = hld_step_reason(scan->v, job, turn, step);
	enum hld_reason pool_why = HLD_OVER;
	uint32_t s;

	for (s = 0; s < step; s++)
		if (job->spec.steps[s].flags & JTB_LONG_RUNNING)
			records += job->spec.steps[s].count;
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (; n.index < job->spec.steps[step].count; n.index++) {
		enum hld_reason why = hld_task_reason(scan->v, job, &n, common);

		if (why == HLD_NONE && pool_why == HLD_OVER)
			pool_why = hld_cached_reason(scan, job, turn, step);
		why = why == HLD_NONE ? hld_check_suspect(pool_why, job, &n)
				      : why;
		hld_count(scan, job, why, hld_is_pending(why));
		hld_record(scan, job, &n, &records[n.index], why);
	}
}

/*
 * Returns the records of a job, allocated on first use: one of the whole job,
 * then one of each long-running task.
 */
static struct jtb_pending_reason *hld_job_records(struct jtb_job *job)
{
	uint32_t n = 1;
	uint32_t s;

	for (s = 0; s < job->spec.n_steps && !job->pending_reasons; s++)
		if (job->spec.steps[s].flags & JTB_LONG_RUNNING)
			n += job->spec.steps[s].count;
	if (!job->pending_reasons)
		job->pending_reasons = g_new0(struct jtb_pending_reason, n);
	return job->pending_reasons;
}

/*
 * Returns the reason that a job's pool gives for a step. Steps of one size and
 * label share the cached reason, unless they have a limit of tasks per worker,
 * are a gang or may have a worker reserved for them.
 */
static enum hld_reason hld_cached_reason(struct hld_scan *scan,
					 struct jtb_job *job, uint32_t turn,
					 uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct hld_pool *p = hld_get_pool(scan, job);
	const struct jtb_queue *q =
		jtb_queue(jtb_config(scan->v->sch->jtb), job->spec.queue);
	/* Tickets and the capacity for a whole gang differ for each step. */
	bool uncacheable =
		s->flags & (JTB_GANG | JTB_LONG_RUNNING) || q->advised;
	guint slot = (s->cpu * 31 + s->mem_mb * 17 + s->gpus * 7 +
		      (s->label ? g_str_hash(s->label) : 0) +
		      (s->flags & JTB_BEST_EFFORT)) %
		     HLD_CACHE_SIZE;
	enum hld_reason why;

	if (!uncacheable && !s->max_per_worker && p->cache[slot].step &&
	    hld_same_size(p->cache[slot].step, s))
		return p->cache[slot].why;
	if (!(s->flags & JTB_LONG_RUNNING) && scan->evaluated >= HLD_EVAL_MAX)
		return job->pending_reasons &&
				       hld_is_pending(
					       job->pending_reasons->reason)
			       ? job->pending_reasons->reason
			       : HLD_NO_CAPACITY;
	scan->evaluated++;
	why = hld_pool_reason(scan->v, p, job, turn, step);
	if (!uncacheable && !s->max_per_worker) {
		p->cache[slot].step = s;
		p->cache[slot].why = why;
	}
	return why;
}

/* Whether a pool gives the same reason for two steps. */
static bool hld_same_size(const struct jtb_step *a, const struct jtb_step *b)
{
	return a->cpu == b->cpu && a->mem_mb == b->mem_mb &&
	       a->gpus == b->gpus &&
	       (a->flags & JTB_BEST_EFFORT) == (b->flags & JTB_BEST_EFFORT) &&
	       g_strcmp0(a->label, b->label) == 0;
}

/*
 * Returns the state of the pool of a job, created for its first job in the
 * scan. The job's queue must exist.
 */
static struct hld_pool *hld_get_pool(struct hld_scan *scan,
				     const struct jtb_job *job)
{
	const char *name = jtb_pool_of(scan->v->sch->jtb, job);
	struct hld_pool *p = g_hash_table_lookup(scan->pools, name);

	if (p)
		return p;
	p = hld_pool_new(scan->v, name);
	g_hash_table_insert(scan->pools, (gpointer)name, p);
	return p;
}

/*
 * Records the current reason of a task or job, and reports it if that is due.
 */
static void hld_record(struct hld_scan *scan, const struct jtb_job *job,
		       const struct jtb_name *n, struct jtb_pending_reason *h,
		       enum hld_reason why)
{
	int64_t now = scan->v->sch->now_ms;

	if (!hld_is_pending(why)) {
		*h = (struct jtb_pending_reason){0};
		return;
	}
	if (!h->pending_since_ms)
		h->pending_since_ms = now;
	if (h->reason != why || !h->reason_since_ms) {
		h->reason_since_ms = now;
		h->logged_ms = 0;
	}
	h->reason = (uint8_t)why;
	scan->sum->longest_ms =
		MAX(scan->sum->longest_ms, now - h->pending_since_ms);
	if (now - h->pending_since_ms < HLD_REPORT_MS ||
	    (h->logged_ms && now - h->logged_ms < HLD_REPORT_AGAIN_MS))
		return;
	h->logged_ms = now;
	scan->report(scan->arg, job, n, why, now - h->reason_since_ms,
		     now - h->pending_since_ms);
}
