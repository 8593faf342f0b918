#include "hld.h"

#include "sch_int.h"

/*
 * A worker counts as kept free for work that lasts if a plan has kept it
 * within this, ms: plans are made five times a second without a cause.
 */
#define HLD_KEPT_MS 400
/* Work held back for so long is told of, ms: rules allow 6 s with room. */
#define HLD_TELL_MS 3000
/* And again after so long, if nothing changed. */
#define HLD_TELL_AGAIN_MS 10000
/*
 * Sizes of tasks whose reason is remembered within one look, by pool, and
 * reasons worked out in one look beyond those, so that no mix of sizes takes
 * a leader's time: the rest keeps what was last seen of it.
 */
#define HLD_SEEN 256
#define HLD_FRESH_MAX 100

static const struct {
	const char *name;
	/*
	 * Longest that it may hold something back while there is room for it,
	 * ms; 0: as long as it is so. Two plans; a batch and its log; an order
	 * or a stop with a retry; a lease on a slow clock after that of a
	 * leader before; an end whose telling is lost, and then the leader;
	 * the longest shun; trials one after another, on a part of the pool;
	 * what is waited for until a VM is empty.
	 */
	int64_t most_ms;
} hld_defs[HLD_REASONS] = {
	[HLD_NONE] = {"none", 400},
	[HLD_OVER] = {"over", 0},
	[HLD_RUNS] = {"runs", 0},
	[HLD_NOT_DUE] = {"not-due", 0},
	[HLD_STEP] = {"earlier-step", 0},
	[HLD_QUEUE] = {"queue-gone", 0},
	[HLD_PROPOSED] = {"start-not-stored", 1000},
	[HLD_ORDERED] = {"ordered", 2000},
	[HLD_STOPPING] = {"being-stopped", 2000},
	[HLD_SILENT] = {"lease-not-over", 12000},
	[HLD_ENDING] = {"end-not-stored", 3000},
	[HLD_GANG] = {"rest-of-gang", 0},
	[HLD_JUST_ENDED] = {"just-ended", 400},
	[HLD_TRIAL] = {"tried-alone", 5000},
	[HLD_NO_WORKER] = {"no-worker", 0},
	[HLD_LABEL] = {"no-label", 0},
	[HLD_TOO_LARGE] = {"too-large", 0},
	[HLD_DRAINING] = {"draining", 0},
	[HLD_UNREACHED] = {"unreached", 0},
	[HLD_SHUNNED] = {"shunned", 16000},
	[HLD_MOVING] = {"closed-for-move", 5000},
	[HLD_UPKEEP] = {"closed-for-upkeep", 5000},
	[HLD_TICKET] = {"needs-ticket", 0},
	[HLD_APART] = {"kept-apart", 0},
	[HLD_NO_ROOM] = {"no-room", 0},
	[HLD_KEPT] = {"kept-for-other", 5000},
	[HLD_RESERVED] = {"kept-for-trial", 5000},
	[HLD_GANG_ROOM] = {"no-room-for-gang", 0},
	[HLD_RACK] = {"waits-for-rack", 2000},
};

/* A pool during one look. */
struct hld_pool {
	struct sch_pool sch;
	GPtrArray *all; /* struct jtb_worker, also what may not be used */
	struct {
		const struct jtb_step *step; /* NULL: none yet */
		enum hld_reason why;
	} seen[HLD_SEEN];
};

/* One look at all that is owed. */
struct hld_look {
	const struct hld_view *v;
	struct hld_sum *sum;
	hld_tell tell;
	void *arg;
	GHashTable *pools; /* struct hld_pool */
	int fresh; /* reasons worked out */
};

static enum hld_reason hld_tried(enum hld_reason why, const struct jtb_job *job,
				 const struct jtb_name *n);
static enum hld_reason hld_own(const struct hld_view *v,
			       const struct jtb_job *job,
			       const struct jtb_name *n, enum hld_reason step);
static enum hld_reason hld_step(const struct hld_view *v,
				const struct jtb_job *job, uint32_t turn,
				uint32_t step);
static enum hld_reason hld_place(const struct hld_view *v, struct hld_pool *p,
				 const struct jtb_job *job, uint32_t turn,
				 uint32_t step);
static enum hld_reason hld_worker(const struct hld_view *v,
				  const struct hld_pool *p,
				  const struct jtb_job *job,
				  const struct jtb_step *s,
				  const struct jtb_worker *w);
static enum hld_reason hld_barred(const struct hld_view *v,
				  const struct jtb_worker *w);
static bool hld_kept(const struct hld_view *v, const struct jtb_job *job,
		     const struct jtb_worker *w);
static struct hld_pool *hld_pool_new(const struct hld_view *v,
				     const char *name);
static void hld_pool_free(gpointer arg);
static void hld_look_silent(const struct hld_view *v, struct hld_sum *sum);
static void hld_look_job(struct hld_look *l, struct jtb_job *job);
static enum hld_reason hld_look_part(struct hld_look *l, struct jtb_job *job,
				     uint32_t turn, uint32_t step);
static void hld_look_lasting(struct hld_look *l, struct jtb_job *job,
			     uint32_t turn, uint32_t step);
static struct jtb_pending_reason *hld_held(struct jtb_job *job);
static enum hld_reason hld_seen(struct hld_look *l, struct jtb_job *job,
				uint32_t turn, uint32_t step);
static bool hld_alike(const struct jtb_step *a, const struct jtb_step *b);
static struct hld_pool *hld_pool_of(struct hld_look *l,
				    const struct jtb_job *job);
static void hld_note(struct hld_look *l, const struct jtb_job *job,
		     const struct jtb_name *n, struct jtb_pending_reason *h,
		     enum hld_reason why);

/* A reason's name in logs and metrics. */
const char *hld_name(enum hld_reason why)
{
	return hld_defs[why].name;
}

/* Longest that a reason may hold back what has room, ms; 0: any time. */
int64_t hld_most_ms(enum hld_reason why)
{
	return hld_defs[why].most_ms;
}

/* Whether a task that a reason holds back is owed now. */
bool hld_is_owed(enum hld_reason why)
{
	return why != HLD_OVER && why != HLD_RUNS && why != HLD_NOT_DUE &&
	       why != HLD_STEP;
}

/* Why a task doesn't run; HLD_RUNS or HLD_OVER if it does or needn't. */
enum hld_reason hld_task(const struct hld_view *v, struct jtb_job *job,
			 const struct jtb_name *n)
{
	enum hld_reason why =
		hld_own(v, job, n, hld_step(v, job, n->turn, n->step));
	struct hld_pool *p;

	if (why != HLD_NONE)
		return why;
	p = hld_pool_new(v, jtb_pool_of(v->sch->jtb, job));
	why = hld_place(v, p, job, n->turn, n->step);
	hld_pool_free(p);
	return hld_tried(why, job, n);
}

/* What holds a task back that has room: it may have to be tried alone. */
static enum hld_reason hld_tried(enum hld_reason why, const struct jtb_job *job,
				 const struct jtb_name *n)
{
	bool suspected = sch_suspected(job, n->step, n->index);

	return suspected && (why == HLD_NONE || why >= HLD_NO_ROOM) ? HLD_TRIAL
								    : why;
}

/*
 * What of the task itself holds it back; HLD_NONE: it waits for a worker. step
 * is what holds back all tasks of its step.
 */
static enum hld_reason hld_own(const struct hld_view *v,
			       const struct jtb_job *job,
			       const struct jtb_name *n, enum hld_reason step)
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
	if (task && v->sch->now_ms - task->last_end_ms < SCH_AGAIN_MS)
		return HLD_JUST_ENDED;
	return HLD_NONE;
}

/* What holds back all tasks of a step alike, but for its pool. */
static enum hld_reason hld_step(const struct hld_view *v,
				const struct jtb_job *job, uint32_t turn,
				uint32_t step)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(v->sch->jtb), job->spec.queue);

	if (jtb_job_ended(job) || job->turns[turn].done & 1ULL << step)
		return HLD_OVER;
	if (v->sch->wall_ms < jtb_turn_due(job, turn))
		return HLD_NOT_DUE;
	if (!jtb_step_due(job, turn, step, v->sch->wall_ms))
		return HLD_STEP;
	if (!q)
		return HLD_QUEUE;
	return HLD_NONE;
}

/* What the workers of its pool hold a task of a step back for. */
static enum hld_reason hld_place(const struct hld_view *v, struct hld_pool *p,
				 const struct jtb_job *job, uint32_t turn,
				 uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	enum hld_reason best = HLD_NO_WORKER;
	GPtrArray *places;
	guint i;

	p->sch.queue = jtb_queue(jtb_config(v->sch->jtb), job->spec.queue);
	sch_tickets(&p->sch, job, turn, step);
	sch_count_same(&p->sch, job, turn, step);
	for (i = 0; i < p->all->len && best != HLD_NONE; i++) {
		enum hld_reason why =
			hld_worker(v, p, job, s, g_ptr_array_index(p->all, i));

		best = why == HLD_NONE ? why : MAX(best, why);
	}
	if (best != HLD_NONE || !(s->flags & JTB_GANG))
		return best;
	places = g_ptr_array_new();
	if (!sch_places(&p->sch, job, turn, step, NULL, places))
		best = HLD_GANG_ROOM;
	else if (s->flags & JTB_RACK_SENSITIVE && job->rack_wait_since_ms)
		best = HLD_RACK;
	g_ptr_array_free(places, TRUE);
	return best;
}

/* Why a worker doesn't take a task, by what a plan goes by. */
static enum hld_reason hld_worker(const struct hld_view *v,
				  const struct hld_pool *p,
				  const struct jtb_job *job,
				  const struct jtb_step *s,
				  const struct jtb_worker *w)
{
	if (s->label && !sch_has_label(w, s->label))
		return HLD_LABEL;
	if ((!(s->flags & JTB_BEST_EFFORT) && w->info.cpu < s->cpu) ||
	    w->info.mem_mb < s->mem_mb || w->info.gpus < s->gpus)
		return HLD_TOO_LARGE;
	if (!sch_usable(v->sch, w))
		return hld_barred(v, w);
	if (sch_shunned(&p->sch, w, s, false))
		return HLD_SHUNNED;
	if (w->excluded)
		return HLD_TICKET;
	if (!sch_allowed(w, s))
		return HLD_APART;
	if (!sch_fits(w, s))
		return HLD_NO_ROOM;
	if (hld_kept(v, job, w))
		return HLD_KEPT;
	return sch_reserved(&p->sch, w, job) ? HLD_RESERVED : HLD_NONE;
}

/* Why a worker may not be given work. */
static enum hld_reason hld_barred(const struct hld_view *v,
				  const struct jtb_worker *w)
{
	enum hld_reason why = v->bar(v->sch->arg, w);

	if (why != HLD_NONE)
		return why;
	return g_hash_table_contains(v->upkeep, w->info.id) ? HLD_UPKEEP
							    : HLD_MOVING;
}

/* Whether a worker is kept free for other work that lasts. */
static bool hld_kept(const struct hld_view *v, const struct jtb_job *job,
		     const struct jtb_worker *w)
{
	return w->reserved_for && w->reserved_for != job->seq + 1 &&
	       v->sch->now_ms - w->reserved_ms <= HLD_KEPT_MS;
}

/* Takes stock of a pool's workers. */
static struct hld_pool *hld_pool_new(const struct hld_view *v, const char *name)
{
	struct hld_pool *p = g_new0(struct hld_pool, 1);
	GHashTableIter it;
	struct jtb_worker *w;

	sch_pool_init(&p->sch, v->sch, name);
	p->all = g_ptr_array_new();
	g_hash_table_iter_init(&it, jtb_workers(v->sch->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		if (strcmp(w->info.pool, name) == 0)
			g_ptr_array_add(p->all, w);
	return p;
}

/* Frees what was seen of a pool. */
static void hld_pool_free(gpointer arg)
{
	struct hld_pool *p = arg;

	sch_pool_done(&p->sch);
	g_ptr_array_free(p->all, TRUE);
	g_free(p);
}

/*
 * Looks at all that is owed, once a second by a leader: adds up what each
 * reason holds back, and tells of what has waited for long. Tasks of a step
 * share what their pool says of them; those that last are looked at one by
 * one, as each of them is owed at every moment.
 */
void hld_look(const struct hld_view *v, struct hld_sum *sum, hld_tell tell,
	      void *arg)
{
	struct hld_look l = {.v = v, .sum = sum, .tell = tell, .arg = arg};
	GPtrArray *live = jtb_live(v->sch->jtb);
	guint i;

	memset(sum->tasks, 0, sizeof(sum->tasks));
	sum->longest_ms = 0;
	l.pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					hld_pool_free);
	for (i = 0; i < live->len; i++)
		hld_look_job(&l, g_ptr_array_index(live,
						   (sum->at + i) % live->len));
	sum->at += HLD_FRESH_MAX;
	g_hash_table_destroy(l.pools);
	hld_look_silent(v, sum);
}

/* Adds what hangs on workers that don't answer; what lasts is in already. */
static void hld_look_silent(const struct hld_view *v, struct hld_sum *sum)
{
	GHashTableIter it;
	struct jtb_worker *w;
	guint i;

	g_hash_table_iter_init(&it, jtb_workers(v->sch->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		if (!w->runs->len || v->bar(v->sch->arg, w) != HLD_UNREACHED)
			continue;
		for (i = 0; i < w->runs->len; i++) {
			const struct jtb_run *r = g_ptr_array_index(w->runs, i);

			sum->tasks[HLD_SILENT] +=
				!(r->job->spec.steps[r->step].flags &
				  JTB_LONG_RUNNING);
		}
	}
}

/* Appends what is held back in the text form that monitoring reads. */
void hld_text(const struct hld_sum *sum, GString *out)
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

/* A new leader counts from its own first look. */
void hld_forget(const struct jtb *t)
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
 * Looks at one job. As a whole it is held back while something of it is due
 * and nothing of it runs or is about to.
 */
static void hld_look_job(struct hld_look *l, struct jtb_job *job)
{
	enum hld_reason first = HLD_OVER;
	bool moves = job->n_runs > 0;
	uint32_t t;
	uint32_t s;

	if (jtb_job_ended(job))
		return;
	for (t = 0;
	     t < job->n_turns && l->v->sch->wall_ms >= jtb_turn_due(job, t);
	     t++) {
		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step_state *part =
				jtb_step_state(job, t, s);
			enum hld_reason why;

			if (job->spec.steps[s].flags & JTB_LONG_RUNNING) {
				hld_look_lasting(l, job, t, s);
				continue;
			}
			moves = moves || (part && part->n_proposed);
			why = hld_look_part(l, job, t, s);
			if (!hld_is_owed(first))
				first = why;
		}
	}
	if (moves)
		first = HLD_RUNS;
	if (job->pending_reasons || hld_is_owed(first))
		hld_note(l, job, NULL, hld_held(job), first);
}

/* Adds a step's tasks that wait to the sum; returns what holds them back. */
static enum hld_reason hld_look_part(struct hld_look *l, struct jtb_job *job,
				     uint32_t turn, uint32_t step)
{
	const struct jtb_step_state *part = jtb_step_state(job, turn, step);
	uint32_t waits = job->spec.steps[step].count;
	enum hld_reason why = hld_step(l->v, job, turn, step);

	if (part) {
		uint32_t busy = part->n_done + part->n_runs + part->n_proposed;

		l->sum->tasks[HLD_PROPOSED] += part->n_proposed;
		waits -= MIN(waits, busy);
		if (waits && why == HLD_NONE && busy &&
		    job->spec.steps[step].flags & JTB_GANG)
			why = HLD_GANG;
	}
	if (!waits)
		return HLD_OVER;
	if (why == HLD_NONE)
		why = hld_seen(l, job, turn, step);
	if (why == HLD_NONE && job->suspects && job->suspects->len)
		why = HLD_TRIAL;
	l->sum->tasks[why] += waits;
	return why;
}

/* Looks at each task of a step that lasts. */
static void hld_look_lasting(struct hld_look *l, struct jtb_job *job,
			     uint32_t turn, uint32_t step)
{
	struct jtb_pending_reason *held = hld_held(job) + 1;
	struct jtb_name n = {.turn = turn, .step = step};
	enum hld_reason all = hld_step(l->v, job, turn, step);
	enum hld_reason pool = HLD_OVER;
	uint32_t s;

	for (s = 0; s < step; s++)
		if (job->spec.steps[s].flags & JTB_LONG_RUNNING)
			held += job->spec.steps[s].count;
	g_strlcpy(n.id, job->spec.id, sizeof(n.id));
	for (; n.index < job->spec.steps[step].count; n.index++) {
		enum hld_reason why = hld_own(l->v, job, &n, all);

		if (why == HLD_NONE && pool == HLD_OVER)
			pool = hld_seen(l, job, turn, step);
		why = why == HLD_NONE ? hld_tried(pool, job, &n) : why;
		l->sum->tasks[why] += hld_is_owed(why);
		hld_note(l, job, &n, &held[n.index], why);
	}
}

/* What is kept of a job: of the whole, then of each task that lasts. */
static struct jtb_pending_reason *hld_held(struct jtb_job *job)
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
 * What a job's pool holds a step back for. Steps of one size and label share
 * the answer, unless they must be kept apart, come together or may have a
 * worker kept for them.
 */
static enum hld_reason hld_seen(struct hld_look *l, struct jtb_job *job,
				uint32_t turn, uint32_t step)
{
	const struct jtb_step *s = &job->spec.steps[step];
	struct hld_pool *p = hld_pool_of(l, job);
	const struct jtb_queue *q =
		jtb_queue(jtb_config(l->v->sch->jtb), job->spec.queue);
	/* tickets and room for all of a gang are a step's own matter */
	bool own = s->flags & (JTB_GANG | JTB_LONG_RUNNING) || q->advised;
	guint cell = (s->cpu * 31 + s->mem_mb * 17 + s->gpus * 7 +
		      (s->label ? g_str_hash(s->label) : 0) +
		      (s->flags & JTB_BEST_EFFORT)) %
		     HLD_SEEN;
	enum hld_reason why;

	if (!own && !s->max_per_worker && p->seen[cell].step &&
	    hld_alike(p->seen[cell].step, s))
		return p->seen[cell].why;
	if (!(s->flags & JTB_LONG_RUNNING) && l->fresh >= HLD_FRESH_MAX)
		return job->pending_reasons &&
				       hld_is_owed(job->pending_reasons->reason)
			       ? job->pending_reasons->reason
			       : HLD_NO_ROOM;
	l->fresh++;
	why = hld_place(l->v, p, job, turn, step);
	if (!own && !s->max_per_worker) {
		p->seen[cell].step = s;
		p->seen[cell].why = why;
	}
	return why;
}

/* Whether a pool's answer for one step is that for another. */
static bool hld_alike(const struct jtb_step *a, const struct jtb_step *b)
{
	return a->cpu == b->cpu && a->mem_mb == b->mem_mb &&
	       a->gpus == b->gpus &&
	       (a->flags & JTB_BEST_EFFORT) == (b->flags & JTB_BEST_EFFORT) &&
	       g_strcmp0(a->label, b->label) == 0;
}

/* The pool of a job whose queue is there, begun with the first of them. */
static struct hld_pool *hld_pool_of(struct hld_look *l,
				    const struct jtb_job *job)
{
	const char *name = jtb_pool_of(l->v->sch->jtb, job);
	struct hld_pool *p = g_hash_table_lookup(l->pools, name);

	if (p)
		return p;
	p = hld_pool_new(l->v, name);
	g_hash_table_insert(l->pools, (gpointer)name, p);
	return p;
}

/* Notes what holds something back now, and tells of it if it is due. */
static void hld_note(struct hld_look *l, const struct jtb_job *job,
		     const struct jtb_name *n, struct jtb_pending_reason *h,
		     enum hld_reason why)
{
	int64_t now = l->v->sch->now_ms;

	if (!hld_is_owed(why)) {
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
	l->sum->longest_ms = MAX(l->sum->longest_ms, now - h->pending_since_ms);
	if (now - h->pending_since_ms < HLD_TELL_MS ||
	    (h->logged_ms && now - h->logged_ms < HLD_TELL_AGAIN_MS))
		return;
	h->logged_ms = now;
	l->tell(l->arg, job, n, why, now - h->reason_since_ms,
		now - h->pending_since_ms);
}
