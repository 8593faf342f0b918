#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"
#include "pac.h"

/*
 * How much longer than its guess a run may stand still before it is taken as
 * hung, and the least such time, ms. Guesses are off by up to nine tenths, and
 * figures of a run come about once a second.
 */
#define HUB_HUNG_FACTOR 3
#define HUB_HUNG_MS 4000
/* How often ended jobs are looked through, and how many go at once. */
#define HUB_FORGET_MS 5000
#define HUB_FORGET_MAX 500
/* A job's first start was an earlier leader's, who alone knew its time. */
#define HUB_BEGUN_BEFORE (-1)

static void hub_run_began(void *arg, struct jtb_run *run);
static void hub_run_ends(void *arg, struct jtb_run *run, enum jtb_end how);
static void hub_run_stops(void *arg, struct jtb_run *run);
static void hub_late_end(void *arg, const struct jtb_worker *w,
			 const struct jtb_name *n, uint32_t attempt,
			 enum jtb_end how);
static void hub_job_changed(void *arg, struct jtb_job *job);
static void hub_job_over(struct hub *h, const struct jtb_job *job);
static void hub_worker_changed(void *arg, struct jtb_worker *w);
static void hub_worker_gone(void *arg, struct jtb_worker *w);
static void hub_config_changed(void *arg);
static void hub_ends(void *arg, struct jtb_worker *w, const struct wkr_end *e,
		     size_t n);
static void hub_lost(void *arg, struct jtb_run *run, const struct evd *e);
static void hub_tell_end(const struct hub *h, const struct jtb_run *run,
			 enum jtb_end how);
static void hub_stop_gang(struct hub *h, const struct jtb_run *run);
static void hub_gone(void *arg, struct jtb_worker *w, const struct evd *e);
static void hub_seen(void *arg, struct jtb_worker *w);
static void hub_pace(void *arg, struct jtb_run *run, int percent);
static void hub_dirty(struct hub *h, const char *pool);
static void hub_dirty_job(struct hub *h, const struct jtb_job *job);
static void hub_plan_timer(void *arg, int64_t now);
static void hub_plan(struct hub *h);
static bool hub_usable(void *arg, const struct jtb_worker *w);
static bool hub_leaving(void *arg, const struct jtb_worker *w);
static bool hub_ticketed(void *arg, const struct jtb_job *job, uint32_t turn,
			 uint32_t step, const struct jtb_worker *w);
static bool hub_ticket(void *arg, const struct jtb_run *run, const char **out);
static void hub_ticket_refused(void *arg, const struct jtb_run *run);
static void hub_advised(void *arg);
static void hub_look_for_advice(void *arg);
static void hub_check_advice(const struct hub *h);
static void hub_starved(void *arg, const char *pool);
static void hub_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w);
static void hub_stop_job(struct hub *h, struct jtb_job *job);
static void hub_check_runs(struct hub *h, struct jtb_worker *w, int64_t now);
static void hub_learn(struct hub *h, const struct jtb_run *run,
		      enum jtb_end how);
static void hub_scale(struct hub *h);
static bool hub_hung(const struct jtb_run *run, int64_t now);
static int64_t hub_objective_ms(const struct hub *h, const struct jtb_job *job);
static void hub_forget(struct hub *h, int64_t now);

const struct jtb_watch hub_watch = {
	.run_began = hub_run_began,
	.run_ends = hub_run_ends,
	.run_stops = hub_run_stops,
	.late_end = hub_late_end,
	.job_changed = hub_job_changed,
	.worker_changed = hub_worker_changed,
	.worker_gone = hub_worker_gone,
	.config_changed = hub_config_changed,
};

static const struct pac_ops hub_pac_ops = {
	.pace = hub_pace,
};

const struct wkr_ops hub_wkr_ops = {
	.ends = hub_ends,
	.lost = hub_lost,
	.gone = hub_gone,
	.seen = hub_seen,
	.ticket = hub_ticket,
	.ticket_refused = hub_ticket_refused,
	.sure = hub_sure,
	.carrier = hub_carrier,
};

static const char *const hub_phases[] = {
	[WKR_NEW] = "unsent",	[WKR_SENT] = "sent",	   [WKR_ON] = "there",
	[WKR_OVER] = "stopped", [WKR_DROPPED] = "dropped",
};

const struct adv_ops hub_adv_ops = {
	.changed = hub_advised,
	.look = hub_look_for_advice,
};

/*
 * We lead: what may run is in the table, so that work goes on at once, on each
 * worker as soon as it has told what it runs.
 */
void hub_plan_lead(struct hub *h, uint64_t term)
{
	GPtrArray *live = jtb_live(h->jtb);
	guint i;

	h->leading = true;
	h->led_ms = tmr_now(h->tmr);
	h->counts[HUB_LEADS]++;
	jtb_unplan_all(h->jtb);
	est_clear(h->est);
	crs_clear(h->crs);
	adv_line_lead(h->advice);
	hub_carry_lead(h, term);
	wkr_lead(h->wkr, term);
	hub_vm_lead(h, term);
	hub_held_lead(h);
	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);

		if (jtb_ended(job))
			hub_stop_job(h, job);
		job->begun_ms = job->started ? HUB_BEGUN_BEFORE : 0;
		job->unseen = false;
	}
	msg(MSG_HUB_LEAD,
	    "term=%" PRIu64 " config=%" PRIu64 " workers=%u live=%u", term,
	    jtb_config(h->jtb)->version, g_hash_table_size(jtb_workers(h->jtb)),
	    live->len);
	hub_check_advice(h);
}

/* We don't lead any more. */
void hub_plan_rest(struct hub *h)
{
	h->leading = false;
	h->held = (struct hld_sum){0};
	wkr_rest(h->wkr);
	rly_rest(h->rly);
	adv_line_rest(h->advice);
	hub_vm_rest(h);
	jtb_unplan_all(h->jtb);
	g_hash_table_remove_all(h->dirty);
	g_hash_table_remove_all(h->heard);
	msg(MSG_HUB_REST, "term=%" PRIu64, rep_term(h->rep));
}

/* What is looked after from time to time while we lead. */
void hub_plan_tick(struct hub *h, int64_t now)
{
	GHashTableIter it;
	enum cpu_kind before;
	struct jtb_worker *w;

	if (!h->leading)
		return;
	before = cpu_enter(CPU_UPKEEP);
	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w)) {
		hub_check_runs(h, w, now);
		/* what ran there as it said that it ends is over */
		if (w->leaves && w->info.draining && !w->runs->len)
			hub_worker_leaves(h, w);
	}
	hub_scale(h);
	hub_vm_tick(h, now);
	hub_forget(h, now);
	hub_plan_all(h);
	h->looks = true;
	hub_tell_work(h, now);
	cpu_leave(before);
}

/* All pools are to be planned. */
void hub_plan_all(struct hub *h)
{
	const struct jtb_config *c = jtb_config(h->jtb);
	guint i;

	for (i = 0; i < c->pools->len; i++) {
		const struct jtb_pool *p = g_ptr_array_index(c->pools, i);

		hub_dirty(h, p->name);
	}
}

/* A start is stored: its worker may be told. */
static void hub_run_began(void *arg, struct jtb_run *run)
{
	struct hub *h = arg;
	char task[JTB_ID_MAX + 40];
	struct jtb_name n;

	if (!h->leading)
		return;
	h->counts[HUB_STARTS]++;
	run->ordered_ms = tmr_now(h->tmr);
	if (!run->job->begun_ms) {
		run->job->begun_ms = hub_wall_ms();
		run->job->unseen = true;
		hub_time(h, HUB_FIRST_START,
			 run->job->begun_ms - run->job->accepted_ms);
	}
	jtb_name_of(run, &n);
	jtb_name_text(&n, task, sizeof(task));
	msg_job(MSG_HUB_START, run->job->spec.id,
		"task=%s attempt=%u worker=%s used_cpu=%u", task, run->attempt,
		run->worker->info.id, run->worker->used_cpu);
	wkr_run(h->wkr, run);
	if (jtb_ended(run->job))
		hub_stop(h, run, "job is over");
}

/* The end of a run is stored. */
static void hub_run_ends(void *arg, struct jtb_run *run, enum jtb_end how)
{
	struct hub *h = arg;
	struct jtb_turn *turn = &run->job->turns[run->turn];

	if (!h->leading)
		return;
	h->counts[HUB_ENDS]++;
	h->counts[HUB_FAILED_RUNS] += how == JTB_FAILED_RUN;
	h->counts[HUB_LOST_RUNS] += how == JTB_LOST || how == JTB_LAPSED;
	turn->parts[run->step].tasks[run->index].free_ms = tmr_now(h->tmr);
	if (how == JTB_DONE)
		hub_time(h, HUB_RUN, tmr_now(h->tmr) - run->ordered_ms);
	else
		hub_tell_end(h, run, how);
	hub_learn(h, run, how);
	wkr_run_over(h->wkr, run);
	hub_dirty(h, run->worker->info.pool);
	hub_dirty_job(h, run->job);
}

/*
 * Tells how a run ended other than done, and of one that its worker didn't tell
 * the end of by what evidence it was taken for over: each may be wrong in another
 * way, and the task runs twice then.
 */
static void hub_tell_end(const struct hub *h, const struct jtb_run *run,
			 enum jtb_end how)
{
	const struct evd *e = run->over.why ? &run->over : &run->worker->over;
	int64_t now = tmr_now(h->tmr);
	char task[JTB_ID_MAX + 40];
	char why[160] = " why=worker-told";
	struct jtb_name n;

	jtb_name_of(run, &n);
	jtb_name_text(&n, task, sizeof(task));
	if (how == JTB_LOST)
		g_snprintf(why, sizeof(why),
			   " why=%s as_of_ms=%" PRId64 " concluded_ms=%" PRId64
			   " lag_ms=%" PRId64,
			   evd_name(e->why), e->why ? now - e->as_of_ms : -1,
			   e->why ? now - e->at_ms : -1, e->lag_ms);
	msg_job(MSG_HUB_END, run->job->spec.id,
		"task=%s attempt=%u worker=%s how=%s took_ms=%" PRId64
		" percent=%d asked=%d seen_ms=%" PRId64
		" phase=%s sends=%u unanswered=%u%s",
		task, run->attempt, run->worker->info.id, jtb_end_name(how),
		now - run->ordered_ms, run->percent, jtb_leaves(run),
		wkr_seen_ms(h->wkr, run), hub_phases[run->phase], run->sends,
		run->unanswered, why);
}

/* A stop is stored: its worker may be told. */
static void hub_run_stops(void *arg, struct jtb_run *run)
{
	struct hub *h = arg;

	if (h->leading)
		wkr_stop(h->wkr, run);
}

/* A run that had been taken for over did end, and that counts. */
static void hub_late_end(void *arg, const struct jtb_worker *w,
			 const struct jtb_name *n, uint32_t attempt,
			 enum jtb_end how)
{
	struct hub *h = arg;
	char task[JTB_ID_MAX + 40];

	if (!h->leading)
		return;
	h->counts[HUB_LATE_ENDS]++;
	jtb_name_text(n, task, sizeof(task));
	msg_job(MSG_HUB_LATE_END, n->id, "task=%s attempt=%u worker=%s how=%s",
		task, attempt, w->info.id, jtb_end_name(how));
}

/* A job became another: those who ask for it are told. */
static void hub_job_changed(void *arg, struct jtb_job *job)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	if (jtb_ended(job)) {
		hub_job_over(h, job);
		hub_stop_job(h, job);
	}
	hub_dirty_job(h, job);
}

/* Tells how a job ended, and where its time went. */
static void hub_job_over(struct hub *h, const struct jtb_job *job)
{
	int64_t objective = hub_objective_ms(h, job);
	int64_t took = job->ended_ms - job->accepted_ms;
	int64_t waited =
		job->begun_ms > 0 ? job->begun_ms - job->accepted_ms : -1;
	/* of a queue that is gone nobody can say what is late */
	int64_t late = objective ? MAX(0, took - objective) : 0;
	uint32_t crashes = jtb_crashes(job);
	bool fails = job->state == JTB_FAILED ||
		     (job->state == JTB_COMPLETED && late > 0);

	h->counts[HUB_GIVEN_UP] += job->state == JTB_FAILED && crashes > 1;
	if (job->state == JTB_COMPLETED) {
		hub_time(h, HUB_COMPLETED, took);
		hub_time(h, HUB_LATE, late);
	}
	msg_job_at(__FILE__, __LINE__, MSG_HUB_JOB_END, job->spec.id,
		   fails ? MSG_FAILURE : MSG_SAMPLED,
		   "job=%s queue=%s state=%s waited_ms=%" PRId64
		   " after_ms=%" PRId64 " chain_ms=%u objective_ms=%" PRId64
		   " again=%u crashes=%u",
		   job->spec.id, job->spec.queue, jtb_state_name(job->state),
		   waited, took, job->chain_ms, objective, jtb_runs_again(job),
		   crashes);
}

/* A worker is new or told something else of itself. */
static void hub_worker_changed(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_WORKER, "worker=%s pool=%s addr=%s draining=%d runs=%u",
	    w->info.id, w->info.pool, w->info.addr, w->info.draining,
	    w->runs->len);
	wkr_worker(h->wkr, w);
	hub_dirty(h, w->info.pool);
}

/* A worker is no longer in the table. */
static void hub_worker_gone(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_WORKER_GONE, "worker=%s addr=%s", w->info.id, w->info.addr);
	wkr_forget(h->wkr, w);
	g_hash_table_remove(h->heard, w->info.id);
	vms_forget_worker(h->vms, w->info.id);
	hub_dirty(h, w->info.pool);
}

/* Another configuration is in force. */
static void hub_config_changed(void *arg)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_CONFIG, "version=%" PRIu64 " queues=%u pools=%u",
	    jtb_config(h->jtb)->version, jtb_config(h->jtb)->queues->len,
	    jtb_config(h->jtb)->pools->len);
	hub_check_advice(h);
	hub_plan_all(h);
}

/* A worker told the end of a run. */
static void hub_ends(void *arg, struct jtb_worker *w, const struct wkr_end *e,
		     size_t n)
{
	struct hub *h = arg;
	int64_t wall = hub_wall_ms();
	size_t i;

	for (i = 0; i < n; i++)
		jtb_put_end(hub_put(h), w->info.id, e[i].no, &e[i].name,
			    e[i].known ? e[i].attempt : 0, e[i].how, e[i].saved,
			    wall);
}

/* A run is over, and its worker didn't tell its end. */
static void hub_lost(void *arg, struct jtb_run *run, const struct evd *e)
{
	struct hub *h = arg;
	struct jtb_name n;

	run->over = *e;
	jtb_name_of(run, &n);
	jtb_put_end(hub_put(h), run->worker->info.id, 0, &n, run->attempt,
		    JTB_LOST, lstr_n("", 0), hub_wall_ms());
	if (run->job->spec.steps[run->step].flags & JTB_GANG && !run->began_ms)
		hub_stop_gang(h, run);
}

/*
 * A member of a gang never began: the others would hold their room and wait for
 * it in vain.
 */
static void hub_stop_gang(struct hub *h, const struct jtb_run *run)
{
	const struct jtb_part *part = jtb_part(run->job, run->turn, run->step);
	uint32_t i;

	for (i = 0; i < run->job->spec.steps[run->step].count; i++) {
		struct jtb_run *other = part->tasks[i].run;

		if (other && other != run && other->attempt == run->attempt)
			hub_stop(h, other, "a member of its gang never began");
	}
}

/* A worker is over, or was silent beyond its leases. */
static void hub_gone(void *arg, struct jtb_worker *w, const struct evd *e)
{
	struct hub *h = arg;

	hub_worker_lost(h, w, e);
}

/* A worker has told all that it runs. */
static void hub_seen(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	hub_dirty(h, w->info.pool);
	hub_check_runs(h, w, tmr_now(h->tmr));
	pac_look(w, tmr_now(h->tmr), &hub_pac_ops, h);
}

/* When we last knew that we lead, on the timer service's clock. */
int64_t hub_sure(void *arg)
{
	const struct hub *h = arg;

	return rep_sure_ms(h->rep);
}

/* What fills a worker should work faster or slower. */
static void hub_pace(void *arg, struct jtb_run *run, int percent)
{
	struct hub *h = arg;

	h->counts[HUB_PACES]++;
	msg_job(MSG_HUB_PACE, run->job->spec.id,
		"job=%s step=%u index=%u worker=%s percent=%d",
		run->job->spec.id, run->step, run->index, run->worker->info.id,
		percent);
	wkr_pace(h->wkr, run, percent);
}

/* A pool has something new to plan. */
static void hub_dirty(struct hub *h, const char *pool)
{
	int64_t now;

	g_hash_table_add(h->dirty, g_strdup(pool));
	if (h->plan_timer || !h->leading)
		return;
	now = tmr_now(h->tmr);
	h->plan_timer = tmr_once(
		h->tmr,
		lod_plan_wait_ms(&h->planned, gcm_wait_ms(&h->gcm, now), now),
		hub_plan_timer, h);
}

/* The pool of a job has something new to plan. */
static void hub_dirty_job(struct hub *h, const struct jtb_job *job)
{
	const char *pool = jtb_pool_of(h->jtb, job);

	if (pool)
		hub_dirty(h, pool);
}

/* Plans all pools in which something changed. */
static void hub_plan_timer(void *arg, int64_t now)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_PLAN);
	uint64_t from_us = cpu_used_us(CPU_PLAN);

	h->plan_timer = 0;
	if (h->leading)
		hub_plan(h);
	cpu_leave(before);
	lod_planned(&h->planned,
		    (double)(cpu_used_us(CPU_PLAN) - from_us) / 1000,
		    tmr_now(h->tmr));
}

/* Starts what can be started in one pool. */
static void hub_plan(struct hub *h)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v;
	GHashTableIter it;
	char *pool;

	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_view(h, closed, &v);
	g_hash_table_iter_init(&it, h->dirty);
	while (g_hash_table_iter_next(&it, (gpointer *)&pool, NULL))
		sch_plan(&v, pool);
	g_hash_table_remove_all(h->dirty);
	adv_line_look(h->advice, &v);
	g_hash_table_destroy(closed);
	/* right after a plan of all pools: what has no reason then is a fault */
	if (h->looks)
		hub_held_tick(h, v.now_ms);
	h->looks = false;
}

/* What plans go by now; closed are workers that are being emptied. */
void hub_view(struct hub *h, GHashTable *closed, struct sch_view *v)
{
	*v = (struct sch_view){
		.jtb = h->jtb,
		.closed = closed,
		.now_ms = tmr_now(h->tmr),
		.wall_ms = hub_wall_ms(),
		.arg = h,
		.usable = hub_usable,
		.leaving = hub_leaving,
		.ticketed = hub_ticketed,
		.start = hub_start,
		.starved = hub_starved,
	};
}

/* Whether a worker may be given work now. */
static bool hub_usable(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return wkr_usable(h->wkr, w);
}

/* Whether a worker is being emptied. */
static bool hub_leaving(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return upk_due(h->upk, w->info.id);
}

/* Whether a step of a queue with advice may be started on a worker. */
static bool hub_ticketed(void *arg, const struct jtb_job *job, uint32_t turn,
			 uint32_t step, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return adv_ticketed(h->adv, job, turn, step, w, tmr_now(h->tmr));
}

/* The ticket that an order to start carries; false: it needs one it hasn't. */
static bool hub_ticket(void *arg, const struct jtb_run *run, const char **out)
{
	const struct hub *h = arg;
	const struct jtb_queue *q =
		jtb_queue(jtb_config(h->jtb), run->job->spec.queue);

	*out = NULL;
	if (!q || !q->advised)
		return true;
	*out = adv_ticket(h->adv, run->job, run->turn, run->step, run->worker,
			  tmr_now(h->tmr));
	return *out != NULL;
}

/* A worker refused a ticket: another is asked for. */
static void hub_ticket_refused(void *arg, const struct jtb_run *run)
{
	struct hub *h = arg;

	msg(MSG_ADV_REFUSED, "job=%s turn=%u step=%u index=%u worker=%s",
	    run->job->spec.id, run->turn, run->step, run->index,
	    run->worker->info.id);
	adv_drop(h->adv, run, tmr_now(h->tmr));
}

/* Tickets came in: what waited for them may be started. */
static void hub_advised(void *arg)
{
	struct hub *h = arg;

	if (h->leading)
		hub_plan_all(h);
}

/* It is time to look what to ask; no plan is needed for that. */
static void hub_look_for_advice(void *arg)
{
	struct hub *h = arg;
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v;

	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_view(h, closed, &v);
	adv_line_look(h->advice, &v);
	g_hash_table_destroy(closed);
}

/* Says loudly that queues need advice and nobody gives it. */
static void hub_check_advice(const struct hub *h)
{
	const struct jtb_config *c = jtb_config(h->jtb);
	uint32_t n = 0;
	guint i;

	for (i = 0; i < c->queues->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(c->queues, i);

		n += q->advised;
	}
	if (n && !adv_line_there(h->advice))
		msg(MSG_ADV_NOBODY,
		    "queues=%u config=%" PRIu64 " setting=\"[node] advice\"", n,
		    c->version);
}

/* Work that lasts found no room in a pool. */
static void hub_starved(void *arg, const char *pool)
{
	struct hub *h = arg;

	flo_report_unschedulable(h->flo, pool, tmr_now(h->tmr));
}

/* A task is to start on a worker: a command for the log. */
static void hub_start(void *arg, struct jtb_job *job, const struct jtb_name *n,
		      uint32_t attempt, struct jtb_worker *w)
{
	struct hub *h = arg;

	jtb_plan(job, n, w);
	jtb_put_start(hub_put(h), n, attempt, w->info.id);
}

/*
 * Ends a run as soon as its worker can be told. Of work that lasts that is put
 * into the log first: a worker lists the run as at work until it has ended, and
 * the next leader would stop another of its step meanwhile.
 */
void hub_stop(void *arg, struct jtb_run *run, const char *why)
{
	struct hub *h = arg;
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	bool agree = s->flags & JTB_LASTS && !jtb_ended(run->job);
	struct jtb_name n;

	if (run->stop || (agree && jtb_leaves(run)))
		return;
	h->counts[HUB_STOPS]++;
	msg_job(MSG_HUB_STOP, run->job->spec.id,
		"job=%s turn=%u step=%u index=%u attempt=%u "
		"worker=%s percent=%d away=%u may_miss=%u why=\"%s\"",
		run->job->spec.id, run->turn, run->step, run->index,
		run->attempt, run->worker->info.id, run->percent,
		s->flags & JTB_LASTS ? upk_count_unavailable(h->upk, run) : 0,
		s->may_miss, why);
	if (!agree) {
		wkr_stop(h->wkr, run);
		return;
	}
	run->stop_planned = true;
	jtb_name_of(run, &n);
	jtb_put_stop(hub_put(h), &n, run->attempt, run->worker->info.id);
}

/* Nothing of a job that is over may go on running. */
static void hub_stop_job(struct hub *h, struct jtb_job *job)
{
	uint32_t t;
	uint32_t s;
	uint32_t i;

	if (!job->n_runs)
		return;
	for (t = 0; t < job->n_turns; t++) {
		for (s = 0; job->turns[t].parts && s < job->spec.n_steps; s++) {
			struct jtb_part *part = &job->turns[t].parts[s];

			for (i = 0; i < job->spec.steps[s].count; i++)
				if (part->tasks[i].run)
					hub_stop(h, part->tasks[i].run,
						 "job is over");
		}
	}
}

/*
 * Work on some workers stands still though they answer: a run whose figures
 * don't move is stopped and done again elsewhere.
 */
static void hub_check_runs(struct hub *h, struct jtb_worker *w, int64_t now)
{
	guint i;

	if (sch_suspect(w, now) != w->suspect) {
		w->suspect = !w->suspect;
		msg(MSG_HUB_SUSPECT, "worker=%s suspect=%d failed=%u",
		    w->info.id, w->suspect, w->fails);
	}
	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!run->stop && hub_hung(run, now))
			hub_stop(h, run, "it stands still");
	}
}

/* Learns from a run that is done how long its queue's tasks take. */
static void hub_learn(struct hub *h, const struct jtb_run *run,
		      enum jtb_end how)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];

	if (sch_tells_time(run, how, h->led_ms))
		est_learn(h->est, run->job->spec.queue, s->guess_ms,
			  tmr_now(h->tmr) - run->ordered_ms);
}

/* Gives each job that isn't over the scale of its guesses. */
static void hub_scale(struct hub *h)
{
	GPtrArray *live = jtb_live(h->jtb);
	guint i;
	uint32_t s;

	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);
		double guessed = 0;
		double scaled = 0;

		for (s = 0; s < job->spec.n_steps; s++) {
			const struct jtb_step *step = &job->spec.steps[s];
			double work = (double)step->count * step->cpu *
				      step->guess_ms;

			guessed += work;
			scaled += work * est_scale(h->est, job->spec.queue,
						   step->guess_ms);
		}
		job->scale = guessed > 0 ? scaled / guessed : 1;
	}
}

/* Whether a run went on far beyond what its owner expects. */
static bool hub_hung(const struct jtb_run *run, int64_t now)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	int64_t patience =
		MAX(HUB_HUNG_MS, (int64_t)s->guess_ms * HUB_HUNG_FACTOR);

	if (s->flags & (JTB_LASTS | JTB_GANG | JTB_FILLS) || !run->began_ms ||
	    run->percent >= 100 || run->pace < 100)
		return false;
	return now - run->moved_ms > patience;
}

/* How long a job may take to be in time, ms; 0: its queue is gone. */
static int64_t hub_objective_ms(const struct hub *h, const struct jtb_job *job)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(h->jtb), job->spec.queue);

	return q ? sch_objective_ms(q, job) : 0;
}

/*
 * Jobs that ended long ago leave the table; it would else grow with every job
 * that there ever was, and each snapshot with it.
 */
static void hub_forget(struct hub *h, int64_t now)
{
	int64_t keep_ms = h->config.keep_ms + HUB_FORGET_MS;
	GHashTableIter it;
	struct jtb_job *job;
	int n = 0;

	if (now - h->forgot_ms < HUB_FORGET_MS)
		return;
	h->forgot_ms = now;
	g_hash_table_iter_init(&it, jtb_jobs(h->jtb));
	while (n < HUB_FORGET_MAX &&
	       g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
		if (!jtb_may_forget(job, now, keep_ms))
			continue;
		jtb_put_forget(hub_put(h), job->spec.id);
		n++;
	}
}
