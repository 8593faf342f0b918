#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"
#include "pac.h"

/*
 * A run counts as hung when its progress has not changed for HUB_HUNG_FACTOR
 * times its estimate, and for at least HUB_HUNG_MIN_MS. Estimates are off by up
 * to nine tenths, and a run's progress is reported about once a second.
 */
#define HUB_HUNG_FACTOR 3
#define HUB_HUNG_MIN_MS 4000
/*
 * Interval between checks for ended jobs to remove, and the most jobs removed
 * per check.
 */
#define HUB_FORGET_INTERVAL_MS 5000
#define HUB_FORGET_MAX 500
/*
 * The first start was ordered by an earlier leader, and its time is not stored.
 */
#define HUB_START_UNKNOWN (-1)

static void hub_on_run_start(void *arg, struct jtb_run *run);
static void hub_on_run_end(void *arg, struct jtb_run *run, enum jtb_end how);
static void hub_on_run_stop(void *arg, struct jtb_run *run);
static void hub_on_late_end(void *arg, const struct jtb_worker *w,
			    const struct jtb_name *n, uint32_t attempt,
			    enum jtb_end how);
static void hub_on_job_change(void *arg, struct jtb_job *job);
static void hub_record_job_end(struct hub *h, const struct jtb_job *job);
static void hub_on_worker_change(void *arg, struct jtb_worker *w);
static void hub_on_worker_removed(void *arg, struct jtb_worker *w);
static void hub_on_config_change(void *arg);
static void hub_on_worker_ends(void *arg, struct jtb_worker *w,
			       const struct wkr_end *e, size_t n);
static void hub_on_run_lost(void *arg, struct jtb_run *run,
			    const struct evd *e);
static void hub_log_run_end(const struct hub *h, const struct jtb_run *run,
			    enum jtb_end how);
static void hub_stop_gang(struct hub *h, const struct jtb_run *run);
static void hub_on_worker_gone(void *arg, struct jtb_worker *w,
			       const struct evd *e);
static void hub_on_worker_seen(void *arg, struct jtb_worker *w);
static void hub_set_pace(void *arg, struct jtb_run *run, int percent);
static void hub_mark_pool(struct hub *h, const char *pool);
static void hub_mark_job_pool(struct hub *h, const struct jtb_job *job);
static void hub_on_plan_timer(void *arg, int64_t now);
static void hub_plan_pools(struct hub *h);
static bool hub_worker_upkeep_due(void *arg, const struct jtb_worker *w);
static bool hub_rack_lost(void *arg, const struct jtb_worker *w);
static bool hub_has_ticket(void *arg, const struct jtb_job *job, uint32_t turn,
			   uint32_t step, const struct jtb_worker *w);
static bool hub_get_ticket(void *arg, const struct jtb_run *run,
			   const char **out);
static void hub_on_ticket_refused(void *arg, const struct jtb_run *run);
static void hub_on_advice(void *arg);
static void hub_poll_advice(void *arg);
static void hub_warn_no_advice(const struct hub *h);
static void hub_on_unschedulable(void *arg, const char *pool);
static void hub_start_task(void *arg, struct jtb_job *job,
			   const struct jtb_name *n, uint32_t attempt,
			   struct jtb_worker *w);
static void hub_stop_job_runs(struct hub *h, struct jtb_job *job);
static void hub_check_runs(struct hub *h, struct jtb_worker *w, int64_t now);
static void hub_forget_speeds(struct hub *h);
static void hub_log_speed(struct jtb_worker *w);
static void hub_record_run_time(struct hub *h, const struct jtb_run *run,
				enum jtb_end how);
static void hub_scale_estimates(struct hub *h);
static int64_t hub_objective_ms(const struct hub *h, const struct jtb_job *job);
static void hub_forget_jobs(struct hub *h, int64_t now);

const struct jtb_watch hub_watch = {
	.run_began = hub_on_run_start,
	.run_ends = hub_on_run_end,
	.run_stops = hub_on_run_stop,
	.late_end = hub_on_late_end,
	.job_changed = hub_on_job_change,
	.worker_changed = hub_on_worker_change,
	.worker_removed = hub_on_worker_removed,
	.config_changed = hub_on_config_change,
};

static const struct pac_ops hub_pac_ops = {
	.pace = hub_set_pace,
};

const struct wkr_ops hub_wkr_ops = {
	.ends = hub_on_worker_ends,
	.lost = hub_on_run_lost,
	.gone = hub_on_worker_gone,
	.seen = hub_on_worker_seen,
	.ticket = hub_get_ticket,
	.ticket_refused = hub_on_ticket_refused,
	.confirmed_ms = hub_lead_confirmed_ms,
	.relay = hub_relay_addr,
	.direct = hub_relay_direct,
};

static const char *const hub_phase_names[] = {
	[WKR_NEW] = "unsent",	   [WKR_SENT] = "sent",
	[WKR_ACCEPTED] = "there",  [WKR_OVER] = "stopped",
	[WKR_DROPPED] = "dropped",
};

const struct adv_ops hub_adv_ops = {
	.changed = hub_on_advice,
	.poll = hub_poll_advice,
};

/*
 * Becomes leader. The table holds everything that may run, so work continues at
 * once, on each worker as soon as it has listed its runs.
 */
void hub_plan_lead(struct hub *h, uint64_t term)
{
	GPtrArray *live = jtb_live(h->jtb);
	guint i;

	h->leading = true;
	h->lead_since_ms = tmr_now(h->tmr);
	h->counts[HUB_LEADS]++;
	jtb_drop_proposals(h->jtb);
	jtb_doubt_starts(h->jtb);
	est_clear(h->est);
	hub_forget_speeds(h);
	crs_clear(h->crs);
	shr_lead(h->shares);
	itk_reset(h->itk);
	prm_lead(h->prm);
	hub_operator_tick(h);
	adv_line_lead(h->advice);
	hub_relay_lead(h, term);
	wkr_lead(h->wkr, term);
	hub_vm_lead(h, term);
	hub_pending_reset(h);
	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);

		if (jtb_job_ended(job))
			hub_stop_job_runs(h, job);
		job->first_start_ms = job->started ? HUB_START_UNKNOWN : 0;
	}
	msg(MSG_HUB_LEAD,
	    "term=%" PRIu64 " config=%" PRIu64 " workers=%u live=%u", term,
	    jtb_config(h->jtb)->version, g_hash_table_size(jtb_workers(h->jtb)),
	    live->len);
	hub_warn_no_advice(h);
}

/* Steps down as leader. */
void hub_plan_step_down(struct hub *h)
{
	h->leading = false;
	h->pending = (struct hld_sum){0};
	wkr_stop_leading(h->wkr);
	rly_drop_unsent(h->rly);
	adv_line_step_down(h->advice);
	itk_reset(h->itk);
	hub_vm_step_down(h);
	jtb_drop_proposals(h->jtb);
	g_hash_table_remove_all(h->dirty_pools);
	g_hash_table_remove_all(h->report_seqs);
	msg(MSG_HUB_REST, "term=%" PRIu64, rep_term(h->rep));
}

/* Periodic work of the leader. */
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
		/*
		 * the runs that the worker still had when it announced its end
		 * are over
		 */
		if (w->leaving && w->info.draining && !w->runs->len &&
		    !w->restart_proposed)
			hub_record_leave(h, w);
	}
	hub_scale_estimates(h);
	hub_operator_tick(h);
	hub_vm_tick(h, now);
	hub_intake_tick(h, now);
	hub_forget_jobs(h, now);
	hub_mark_all_pools(h);
	h->pending_due = true;
	hub_shr_tick(h, now);
	hub_prm_tick(h, now);
	hub_log_work(h, now);
	cpu_leave(before);
}

/* Marks all pools for the next plan. */
void hub_mark_all_pools(struct hub *h)
{
	const struct jtb_config *c = jtb_config(h->jtb);
	guint i;

	for (i = 0; i < c->pools->len; i++) {
		const struct jtb_pool *p = g_ptr_array_index(c->pools, i);

		hub_mark_pool(h, p->name);
	}
}

/* A start is stored: sends the order to its worker. */
static void hub_on_run_start(void *arg, struct jtb_run *run)
{
	struct hub *h = arg;
	char task[JTB_ID_MAX + 40];
	struct jtb_name n;

	if (!h->leading)
		return;
	h->counts[HUB_STARTS]++;
	run->ordered_ms = tmr_now(h->tmr);
	if (!run->job->first_start_ms) {
		run->job->first_start_ms = hub_wall_ms();
		run->job->start_unconfirmed = true;
		hub_record_time(h, HUB_FIRST_START,
				run->job->first_start_ms -
					run->job->accepted_ms);
	}
	jtb_name_of(run, &n);
	jtb_name_format(&n, task, sizeof(task));
	msg_job(MSG_HUB_START, run->job->spec.id,
		"task=%s attempt=%u worker=%s used_cpu=%u", task, run->attempt,
		run->worker->info.id, run->worker->used_cpu);
	wkr_add_run(h->wkr, run);
	if (jtb_job_ended(run->job))
		hub_stop_run(h, run, "job is over");
}

/* The end of a run is stored. */
static void hub_on_run_end(void *arg, struct jtb_run *run, enum jtb_end how)
{
	struct hub *h = arg;
	struct jtb_turn *turn = &run->job->turns[run->turn];

	if (!h->leading)
		return;
	h->counts[HUB_ENDS]++;
	h->counts[HUB_FAILED_RUNS] += how == JTB_FAILED_RUN;
	h->counts[HUB_LOST_RUNS] += how == JTB_LOST || how == JTB_LEASE_EXPIRED;
	turn->steps[run->step].tasks[run->index].last_end_ms = tmr_now(h->tmr);
	if (how == JTB_DONE)
		hub_record_time(h, HUB_RUN, tmr_now(h->tmr) - run->ordered_ms);
	else
		hub_log_run_end(h, run, how);
	hub_record_run_time(h, run, how);
	wkr_remove_run(h->wkr, run);
	hub_mark_pool(h, run->worker->info.pool);
	hub_mark_job_pool(h, run->job);
}

/*
 * Logs the end of a run that did not complete. For a run whose end was not
 * reported by its worker, logs the evidence for the end: each kind of evidence
 * can be wrong in a different way, and the task then runs twice.
 */
static void hub_log_run_end(const struct hub *h, const struct jtb_run *run,
			    enum jtb_end how)
{
	const struct evd *e = run->end_evidence.why
				      ? &run->end_evidence
				      : &run->worker->removal_evidence;
	int64_t now = tmr_now(h->tmr);
	char task[JTB_ID_MAX + 40];
	char why[160] = " why=worker-told";
	struct jtb_name n;

	jtb_name_of(run, &n);
	jtb_name_format(&n, task, sizeof(task));
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
		now - run->ordered_ms, run->percent, jtb_run_is_stopping(run),
		wkr_observed_ms(h->wkr, run), hub_phase_names[run->phase],
		run->orders_sent, run->orders_unanswered, why);
}

/* A stop is stored: sends the order to its worker. */
static void hub_on_run_stop(void *arg, struct jtb_run *run)
{
	struct hub *h = arg;

	if (h->leading)
		wkr_stop_run(h->wkr, run);
}

/*
 * A run that was assumed over reported its end after all, and the end counts.
 */
static void hub_on_late_end(void *arg, const struct jtb_worker *w,
			    const struct jtb_name *n, uint32_t attempt,
			    enum jtb_end how)
{
	struct hub *h = arg;
	char task[JTB_ID_MAX + 40];

	if (!h->leading)
		return;
	h->counts[HUB_LATE_ENDS]++;
	jtb_name_format(n, task, sizeof(task));
	msg_job(MSG_HUB_LATE_END, n->id, "task=%s attempt=%u worker=%s how=%s",
		task, attempt, w->info.id, jtb_end_name(how));
}

/* A job's state changed: stops its runs if it is over, and plans its pool. */
static void hub_on_job_change(void *arg, struct jtb_job *job)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	if (jtb_job_ended(job)) {
		hub_record_job_end(h, job);
		hub_stop_job_runs(h, job);
	}
	hub_mark_job_pool(h, job);
}

/* Counts and logs how a job ended and where its time went. */
static void hub_record_job_end(struct hub *h, const struct jtb_job *job)
{
	int64_t objective = hub_objective_ms(h, job);
	int64_t took = job->ended_ms - job->accepted_ms;
	int64_t waited = job->first_start_ms > 0
				 ? job->first_start_ms - job->accepted_ms
				 : -1;
	/* without its queue, a job has no deadline to miss */
	int64_t late = objective ? MAX(0, took - objective) : 0;
	uint32_t crashes = jtb_max_crashes(job);
	bool fails = job->state == JTB_FAILED ||
		     (job->state == JTB_COMPLETED && late > 0);

	h->counts[HUB_CRASHING_JOBS] += job->state == JTB_FAILED && crashes > 1;
	if (job->state == JTB_COMPLETED) {
		hub_record_time(h, HUB_COMPLETED, took);
		hub_record_time(h, HUB_OVERRUN, late);
	}
	msg_job_at(__FILE__, __LINE__, MSG_HUB_JOB_END, job->spec.id,
		   fails ? MSG_FAILURE : MSG_SAMPLED,
		   "job=%s queue=%s state=%s waited_ms=%" PRId64
		   " after_ms=%" PRId64 " chain_ms=%u objective_ms=%" PRId64
		   " again=%u crashes=%u",
		   job->spec.id, job->spec.queue, jtb_state_name(job->state),
		   waited, took, job->critical_path_ms, objective,
		   jtb_count_reruns(job), crashes);
}

/* A worker is new or reported changed properties. */
static void hub_on_worker_change(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_WORKER, "worker=%s pool=%s addr=%s draining=%d runs=%u",
	    w->info.id, w->info.pool, w->info.addr, w->info.draining,
	    w->runs->len);
	wkr_update_worker(h->wkr, w);
	hub_mark_pool(h, w->info.pool);
}

/* A worker was removed from the table. */
static void hub_on_worker_removed(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_WORKER_GONE, "worker=%s addr=%s", w->info.id, w->info.addr);
	wkr_remove_worker(h->wkr, w);
	g_hash_table_remove(h->report_seqs, w->info.id);
	vms_forget_worker(h->vms, w->info.id);
	hub_mark_pool(h, w->info.pool);
}

/* A new configuration is in force. */
static void hub_on_config_change(void *arg)
{
	struct hub *h = arg;

	if (!h->leading)
		return;
	msg(MSG_HUB_CONFIG,
	    "version=%" PRIu64 " queues=%u pools=%u organisations=%u",
	    jtb_config(h->jtb)->version, jtb_config(h->jtb)->queues->len,
	    jtb_config(h->jtb)->pools->len,
	    orgs_count(jtb_config(h->jtb)->orgs));
	hub_warn_no_advice(h);
	hub_mark_all_pools(h);
}

/* A worker reported the ends of runs: puts them into the log. */
static void hub_on_worker_ends(void *arg, struct jtb_worker *w,
			       const struct wkr_end *e, size_t n)
{
	struct hub *h = arg;
	int64_t wall = hub_wall_ms();
	size_t i;

	for (i = 0; i < n; i++)
		jtb_put_end(hub_append_command(h), w->info.id, e[i].no,
			    &e[i].name, e[i].known ? e[i].attempt : 0, e[i].how,
			    e[i].saved, wall);
}

/* A run is over although its worker did not report its end. */
static void hub_on_run_lost(void *arg, struct jtb_run *run, const struct evd *e)
{
	struct hub *h = arg;
	struct jtb_name n;

	run->end_evidence = *e;
	jtb_name_of(run, &n);
	jtb_put_end(hub_append_command(h), run->worker->info.id, 0, &n,
		    run->attempt, JTB_LOST, lstr_n("", 0), hub_wall_ms());
	if (run->job->spec.steps[run->step].flags & JTB_GANG &&
	    !run->first_running_ms)
		hub_stop_gang(h, run);
}

/*
 * A member of a gang never started: stops the other members, which would hold
 * their capacity and wait for the missing one in vain.
 */
static void hub_stop_gang(struct hub *h, const struct jtb_run *run)
{
	const struct jtb_step_state *part =
		jtb_step_state(run->job, run->turn, run->step);
	uint32_t i;

	for (i = 0; i < run->job->spec.steps[run->step].count; i++) {
		struct jtb_run *other = part->tasks[i].run;

		if (other && other != run && other->attempt == run->attempt)
			hub_stop_run(h, other,
				     "a member of its gang never started");
	}
}

/* A worker is over, or has been unreachable for longer than its leases. */
static void hub_on_worker_gone(void *arg, struct jtb_worker *w,
			       const struct evd *e)
{
	struct hub *h = arg;

	hub_remove_lost_worker(h, w, e);
}

/* A worker has listed all its runs. */
static void hub_on_worker_seen(void *arg, struct jtb_worker *w)
{
	struct hub *h = arg;

	hub_mark_pool(h, w->info.pool);
	hub_check_runs(h, w, tmr_now(h->tmr));
	pac_update(w, tmr_now(h->tmr), &hub_pac_ops, h);
}

/*
 * Returns when leadership was last confirmed, ms on the timer service's clock.
 */
int64_t hub_lead_confirmed_ms(void *arg)
{
	const struct hub *h = arg;

	return rep_confirmed_ms(h->rep);
}

/* Makes a run that uses spare capacity work faster or slower. */
static void hub_set_pace(void *arg, struct jtb_run *run, int percent)
{
	struct hub *h = arg;

	h->counts[HUB_PACES]++;
	msg_job(MSG_HUB_PACE, run->job->spec.id,
		"job=%s step=%u index=%u worker=%s percent=%d",
		run->job->spec.id, run->step, run->index, run->worker->info.id,
		percent);
	wkr_set_pace(h->wkr, run, percent);
}

/* Marks a pool for the next plan, and schedules that plan. */
static void hub_mark_pool(struct hub *h, const char *pool)
{
	int64_t now;

	g_hash_table_add(h->dirty_pools, g_strdup(pool));
	if (h->plan_timer || !h->leading)
		return;
	now = tmr_now(h->tmr);
	h->plan_timer = tmr_once(
		h->tmr,
		lod_plan_wait_ms(&h->plan_load, gcm_wait_ms(&h->gcm, now), now),
		hub_on_plan_timer, h);
}

/* Marks the pool of a job for the next plan. */
static void hub_mark_job_pool(struct hub *h, const struct jtb_job *job)
{
	const char *pool = jtb_pool_of(h->jtb, job);

	if (pool)
		hub_mark_pool(h, pool);
}

/* Plans the marked pools. */
static void hub_on_plan_timer(void *arg, int64_t now)
{
	struct hub *h = arg;
	enum cpu_kind before = cpu_enter(CPU_PLAN);
	uint64_t from_us = cpu_used_us(CPU_PLAN);

	h->plan_timer = 0;
	if (h->leading)
		hub_plan_pools(h);
	cpu_leave(before);
	lod_record_plan(&h->plan_load,
			(double)(cpu_used_us(CPU_PLAN) - from_us) / 1000,
			tmr_now(h->tmr));
}

/*
 * Starts what can be started in the marked pools, and queries the advice
 * service.
 */
static void hub_plan_pools(struct hub *h)
{
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_totals totals;
	struct sch_view v;
	GHashTableIter it;
	char *pool;

	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_init_sch_view(h, closed, &v);
	sch_sum_workers(h->jtb, &totals);
	v.totals = &totals;
	g_hash_table_iter_init(&it, h->dirty_pools);
	while (g_hash_table_iter_next(&it, (gpointer *)&pool, NULL))
		sch_plan(&v, pool);
	g_hash_table_remove_all(h->dirty_pools);
	adv_line_poll(h->advice, &v);
	g_hash_table_destroy(closed);
	/*
	 * Right after a plan of all pools, a pending task without a reason is a
	 * fault.
	 */
	if (h->pending_due)
		hub_pending_tick(h, v.now_ms);
	h->pending_due = false;
}

/*
 * Fills in the scheduler's input. closed: ids of the workers that are being
 * drained.
 */
void hub_init_sch_view(struct hub *h, GHashTable *closed, struct sch_view *v)
{
	*v = (struct sch_view){
		.jtb = h->jtb,
		.closed = closed,
		.shares = h->shares,
		.domains = h->config.domains,
		.now_ms = tmr_now(h->tmr),
		.wall_ms = hub_wall_ms(),
		.arg = h,
		.usable = hub_worker_usable,
		.upkeep_due = hub_worker_upkeep_due,
		.rack_lost = hub_rack_lost,
		.has_ticket = hub_has_ticket,
		.start = hub_start_task,
		.unschedulable = hub_on_unschedulable,
	};
}

/* Whether a worker may be given work now. */
bool hub_worker_usable(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return wkr_usable(h->wkr, w);
}

/* Whether a worker's VM is due for upkeep. */
static bool hub_worker_upkeep_due(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return upk_due(h->upk, w->info.id);
}

/* Whether a worker of the same rack was lost a moment ago. */
static bool hub_rack_lost(void *arg, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return crs_rack_lost(h->crs, w, tmr_now(h->tmr));
}

/*
 * Whether a ticket allows a step of a queue with advice to start on a worker.
 */
static bool hub_has_ticket(void *arg, const struct jtb_job *job, uint32_t turn,
			   uint32_t step, const struct jtb_worker *w)
{
	const struct hub *h = arg;

	return adv_has_ticket(h->adv, job, turn, step, w, tmr_now(h->tmr));
}

/*
 * Sets the ticket that an order to start must carry, or NULL if it needs none.
 * Returns false if it needs a ticket and none is valid.
 */
static bool hub_get_ticket(void *arg, const struct jtb_run *run,
			   const char **out)
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

/* A worker refused a ticket: drops it, so that another is requested. */
static void hub_on_ticket_refused(void *arg, const struct jtb_run *run)
{
	struct hub *h = arg;

	msg(MSG_ADV_REFUSED, "job=%s turn=%u step=%u index=%u worker=%s",
	    run->job->spec.id, run->turn, run->step, run->index,
	    run->worker->info.id);
	adv_drop_ticket(h->adv, run, tmr_now(h->tmr));
}

/* Tickets have arrived: plans the tasks that waited for them. */
static void hub_on_advice(void *arg)
{
	struct hub *h = arg;

	if (h->leading)
		hub_mark_all_pools(h);
}

/* Queries the advice service again; no plan is needed for that. */
static void hub_poll_advice(void *arg)
{
	struct hub *h = arg;
	GHashTable *closed = g_hash_table_new(g_str_hash, g_str_equal);
	struct sch_view v;

	upk_add_closed(h->upk, closed);
	flo_add_closed(h->flo, closed);
	hub_init_sch_view(h, closed, &v);
	adv_line_poll(h->advice, &v);
	g_hash_table_destroy(closed);
}

/* Logs that queues need advice while no advice service is configured. */
static void hub_warn_no_advice(const struct hub *h)
{
	const struct jtb_config *c = jtb_config(h->jtb);
	uint32_t n = 0;
	guint i;

	for (i = 0; i < c->queues->len; i++) {
		const struct jtb_queue *q = g_ptr_array_index(c->queues, i);

		n += q->advised;
	}
	if (n && !adv_line_configured(h->advice))
		msg(MSG_ADV_NOBODY,
		    "queues=%u config=%" PRIu64 " setting=\"[node] advice\"", n,
		    c->version);
}

/* A long-running task found no capacity in a pool. */
static void hub_on_unschedulable(void *arg, const char *pool)
{
	struct hub *h = arg;

	flo_report_unschedulable(h->flo, pool, tmr_now(h->tmr));
}

/* Puts the start of a task on a worker into the log. */
static void hub_start_task(void *arg, struct jtb_job *job,
			   const struct jtb_name *n, uint32_t attempt,
			   struct jtb_worker *w)
{
	struct hub *h = arg;

	jtb_propose_start(job, n, w);
	jtb_put_start(hub_append_command(h), n, attempt, w->info.id);
}

/*
 * Stops a run as soon as its worker can be reached. The stop of a long-running
 * task is put into the log first: a worker lists the run as running until it
 * has ended, and without the stored stop the next leader would stop another run
 * of the same step in the meantime.
 */
void hub_stop_run(void *arg, struct jtb_run *run, const char *why)
{
	struct hub *h = arg;
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	bool log_first =
		s->flags & JTB_LONG_RUNNING && !jtb_job_ended(run->job);
	struct jtb_name n;

	if (run->stop_wanted || (log_first && jtb_run_is_stopping(run)))
		return;
	h->counts[HUB_STOPS]++;
	msg_job(MSG_HUB_STOP, run->job->spec.id,
		"job=%s turn=%u step=%u index=%u attempt=%u "
		"worker=%s percent=%d away=%u may_miss=%u why=\"%s\"",
		run->job->spec.id, run->turn, run->step, run->index,
		run->attempt, run->worker->info.id, run->percent,
		s->flags & JTB_LONG_RUNNING ? upk_count_unavailable(h->upk, run)
					    : 0,
		s->may_miss, why);
	if (!log_first) {
		wkr_stop_run(h->wkr, run);
		return;
	}
	run->stop_proposed = true;
	jtb_name_of(run, &n);
	jtb_put_stop(hub_append_command(h), &n, run->attempt,
		     run->worker->info.id);
}

/* Stops all runs of a job that is over. */
static void hub_stop_job_runs(struct hub *h, struct jtb_job *job)
{
	uint32_t t;
	uint32_t s;
	uint32_t i;

	if (!job->n_runs)
		return;
	for (t = 0; t < job->n_turns; t++) {
		for (s = 0; job->turns[t].steps && s < job->spec.n_steps; s++) {
			struct jtb_step_state *part = &job->turns[t].steps[s];

			for (i = 0; i < job->spec.steps[s].count; i++)
				if (part->tasks[i].run)
					hub_stop_run(h, part->tasks[i].run,
						     "job is over");
		}
	}
}

/*
 * Stops hung runs, so that their tasks run again elsewhere: on some workers
 * runs make no progress although the worker answers.
 */
static void hub_check_runs(struct hub *h, struct jtb_worker *w, int64_t now)
{
	guint i;

	if (sch_is_suspect_worker(w, now) != w->suspect_logged) {
		w->suspect_logged = !w->suspect_logged;
		msg(MSG_HUB_SUSPECT, "worker=%s suspect=%d failed=%u",
		    w->info.id, w->suspect_logged, w->failed_jobs);
	}
	for (i = 0; i < w->runs->len; i++) {
		struct jtb_run *run = g_ptr_array_index(w->runs, i);

		if (!run->stop_wanted && hub_run_hung(run))
			hub_stop_run(h, run, "it stands still");
	}
}

/* Updates the factor of a queue's estimates from the end of a run. */
static void hub_record_run_time(struct hub *h, const struct jtb_run *run,
				enum jtb_end how)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];

	int64_t now = tmr_now(h->tmr);
	int64_t took_ms = now - run->ordered_ms;

	if (!sch_is_time_sample(run, how, h->lead_since_ms))
		return;
	if (est_is_learned(h->est, run->job->spec.queue))
		slw_record(&run->worker->speed,
			   s->estimate_ms * est_scale(h->est,
						      run->job->spec.queue,
						      s->estimate_ms),
			   took_ms, run->job->seq, now);
	est_learn(h->est, run->job->spec.queue, s->estimate_ms, took_ms);
	hub_log_speed(run->worker);
}

/*
 * Forgets how fast workers are, for a new leader: what this replica learned
 * when it last led may be long out of date.
 */
static void hub_forget_speeds(struct hub *h)
{
	GHashTableIter it;
	struct jtb_worker *w;

	g_hash_table_iter_init(&it, jtb_workers(h->jtb));
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&w))
		w->speed = (struct slw){0};
}

/* Logs that a worker has become slow, or is slow no more. */
static void hub_log_speed(struct jtb_worker *w)
{
	if (slw_is_slow(&w->speed) == w->slow_logged)
		return;
	w->slow_logged = !w->slow_logged;
	msg(MSG_HUB_SLOW, "worker=%s pool=%s slow=%d times=%.1f", w->info.id,
	    w->info.pool, w->slow_logged, slw_ratio(&w->speed));
}

/*
 * Sets the factor by which the estimates of each job that is not over are
 * scaled.
 */
static void hub_scale_estimates(struct hub *h)
{
	GPtrArray *live = jtb_live(h->jtb);
	guint i;

	for (i = 0; i < live->len; i++) {
		struct jtb_job *job = g_ptr_array_index(live, i);

		job->estimate_ratio = hub_estimate_ratio(h, &job->spec);
	}
}

/* Returns the expected time of a job's tasks for each ms of its estimates. */
double hub_estimate_ratio(const struct hub *h, const struct jtb_spec *spec)
{
	double guessed = 0;
	double scaled = 0;
	uint32_t s;

	for (s = 0; s < spec->n_steps; s++) {
		const struct jtb_step *step = &spec->steps[s];
		double work =
			(double)step->count * step->cpu * step->estimate_ms;

		guessed += work;
		scaled += work *
			  est_scale(h->est, spec->queue, step->estimate_ms);
	}
	return guessed > 0 ? scaled / guessed : 1;
}

/* Whether a run has made no progress for far longer than its estimate. */
bool hub_run_hung(const struct jtb_run *run)
{
	const struct jtb_step *s = &run->job->spec.steps[run->step];
	int64_t timeout_ms =
		MAX(HUB_HUNG_MIN_MS, (int64_t)s->estimate_ms * HUB_HUNG_FACTOR);

	if (s->flags & (JTB_LONG_RUNNING | JTB_GANG | JTB_BEST_EFFORT) ||
	    !run->first_running_ms || run->percent >= 100 || run->pace < 100)
		return false;
	return evd_stands_still(run, timeout_ms);
}

/*
 * Returns how long a job may take to meet its deadline, ms; 0: its queue no
 * longer exists.
 */
static int64_t hub_objective_ms(const struct hub *h, const struct jtb_job *job)
{
	const struct jtb_queue *q =
		jtb_queue(jtb_config(h->jtb), job->spec.queue);

	return q ? sch_objective_ms(q, job) : 0;
}

/*
 * Removes jobs that ended long ago. The table and each snapshot would otherwise
 * grow with every job ever accepted.
 */
static void hub_forget_jobs(struct hub *h, int64_t now)
{
	int64_t retention_ms =
		h->config.job_retention_ms + HUB_FORGET_INTERVAL_MS;
	GHashTableIter it;
	struct jtb_job *job;
	int n = 0;

	if (now - h->forget_checked_ms < HUB_FORGET_INTERVAL_MS)
		return;
	h->forget_checked_ms = now;
	g_hash_table_iter_init(&it, jtb_jobs(h->jtb));
	while (n < HUB_FORGET_MAX &&
	       g_hash_table_iter_next(&it, NULL, (gpointer *)&job)) {
		if (!jtb_may_forget(job, now, retention_ms))
			continue;
		jtb_put_forget(hub_append_command(h), job->spec.id);
		n++;
	}
}
