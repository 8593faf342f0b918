#include "hub_int.h"

#include <inttypes.h>

#include "msg.h"

/* Metrics of the control daemon, and the log line on the leader's own work. */

/* Interval between log lines on the leader's own work, ms. */
#define HUB_WORK_LOG_INTERVAL_MS 1000

static void hub_write_state(const struct hub *h, GString *out);
static void hub_write_connections(const struct hub *h, GString *out);

static const struct cnt_def hub_counters[HUB_COUNTS] = {
	[HUB_CALLS] = {"endive_calls_total", "counter",
		       "Calls of callers, workers and operators"},
	[HUB_JOBS] = {"endive_jobs_accepted_total", "counter", "Jobs accepted"},
	[HUB_STARTS] = {"endive_starts_total", "counter",
			"Runs of tasks ordered"},
	[HUB_ENDS] = {"endive_ends_total", "counter", "Runs of tasks over"},
	[HUB_FAILED_RUNS] = {"endive_runs_failed_total", "counter",
			     "Runs that failed"},
	[HUB_LOST_RUNS] = {"endive_runs_lost_total", "counter",
			   "Runs lost with their worker or lease"},
	[HUB_STOPS] = {"endive_stops_total", "counter", "Runs stopped by us"},
	[HUB_CANCELS] = {"endive_cancels_total", "counter", "Jobs cancelled"},
	[HUB_BATCHES] = {"endive_log_entries_total", "counter",
			 "Entries proposed to the log"},
	[HUB_READS] = {"endive_reads_total", "counter",
		       "Rounds that confirmed a read"},
	[HUB_LEADS] = {"endive_leads_total", "counter",
		       "Times this replica began to lead"},
	[HUB_PACES] = {"endive_paces_total", "counter",
		       "Runs slowed down or let go"},
	[HUB_MOVES] = {"endive_vm_moves_total", "counter",
		       "Moves of VMs to a pool asked for, with repeats"},
	[HUB_UPKEEPS] = {"endive_vm_upkeeps_total", "counter",
			 "Upkeeps of VMs asked for, with repeats"},
	[HUB_UPKEEPS_DONE] = {"endive_vm_upkeeps_done_total", "counter",
			      "VMs whose upkeep was done"},
	[HUB_UNKNOWN_CALLS] = {"endive_calls_unknown_total", "counter",
			       "Calls that a lost leadership left unanswered"},
	[HUB_REPORTS] = {"endive_worker_reports_total", "counter",
			 "Reports of workers with nothing new"},
	[HUB_CRASHES] = {"endive_workers_crashed_total", "counter",
			 "Workers that ended by themselves"},
	[HUB_CRASHING_JOBS] = {"endive_jobs_crashing_total", "counter",
			       "Jobs given up as a task crashed its workers"},
	[HUB_LATE_ENDS] = {"endive_late_ends_total", "counter",
			   "Ends of runs that had been taken for over"},
	[HUB_KEYS_REFUSED] = {"endive_keys_refused_total", "counter",
			      "Calls refused for their key"},
	[HUB_NEVER_FIT] = {"endive_jobs_over_limit_total", "counter",
			   "Jobs refused, as a limit would never let them run"},
	[HUB_PREEMPTED] = {"endive_preempted_total", "counter",
			   "Runs stopped for work of a queue that goes first"},
	[HUB_BEHIND] = {"endive_calls_refused_log_behind_total", "counter",
			"Calls refused, as the log had too much to store"},
	[HUB_DIRECT_STARTS] =
		{"endive_starts_direct_total", "counter",
		 "Runs first ordered without a relay, where relays are used"},
	[HUB_RESTARTS] = {"endive_worker_restarts_total", "counter",
			  "Workers that started again under their ids"},
	[HUB_REPORTS_UNREADABLE] =
		{"endive_worker_reports_unreadable_total", "counter",
		 "Reports refused: fields missing or of another type"},
	[HUB_REPORTS_UNKNOWN] =
		{"endive_worker_reports_unknown_total", "counter",
		 "Reports refused: a state or pool that isn't known"},
	[HUB_REPORTS_EARLIER] = {"endive_worker_reports_earlier_total",
				 "counter",
				 "Late reports of workers' earlier lifetimes"},
	[HUB_REPORTS_NO_START] =
		{"endive_worker_reports_no_start_total", "counter",
		 "Reports refused: no start, of a worker that had one"},
	[HUB_REPORTS_BAD_START] =
		{"endive_worker_reports_bad_start_total", "counter",
		 "Reports refused: a start that is no time, or far ahead"},
	[HUB_UNADVISED] =
		{"endive_jobs_unadvised_total", "counter",
		 "Jobs refused, as nobody gives the advice they need"},
};

static const struct {
	const char *name;
	const char *help;
} hub_time_defs[HUB_TIMES] = {
	[HUB_ANSWER] = {"endive_call_seconds", "Calls, until their answer"},
	[HUB_FIRST_START] = {"endive_job_first_start_seconds",
			     "Jobs, from acceptance to their first start"},
	[HUB_COMPLETED] = {"endive_job_seconds",
			   "Completed jobs, from acceptance to their end"},
	[HUB_OVERRUN] = {"endive_job_late_seconds",
			 "What completed jobs took beyond their objective"},
	[HUB_RUN] = {"endive_run_seconds",
		     "Runs that are done, from their order to their end"},
	[HUB_COMMIT] = {"endive_commit_seconds",
			"Log entries, until a majority has stored them"},
	[HUB_READ] = {"endive_read_seconds",
		      "Reads, until a majority has confirmed the leader"},
};

/* Adds a duration to its histogram. */
void hub_record_time(struct hub *h, enum hub_duration what, int64_t ms)
{
	cnt_time_ms(&h->times[what], ms);
}

/* Appends all metrics in the Prometheus text format. */
void hub_write_metrics(const struct hub *h, GString *out)
{
	const struct wkr_stats *s = wkr_stats(h->wkr);
	const struct adv_stats *a = adv_line_stats(h->advice);
	size_t i;

	cnt_text(out, hub_counters, h->counts, HUB_COUNTS, "");
	hub_write_state(h, out);
	hld_append_metrics(&h->pending, out);
	quo_append_metrics(jtb_usage(h->jtb), out);
	itk_append_metrics(h->itk, out);
	flo_append_metrics(h->flo, out);
	for (i = 0; i < HUB_TIMES; i++)
		cnt_times_text(out, hub_time_defs[i].name,
			       hub_time_defs[i].help, &h->times[i]);
	cnt_times_text(out, "endive_order_seconds",
		       "Orders to workers, until their answer", &s->answers);
	cnt_times_text(out, "endive_lease_margin_seconds",
		       "What was left of workers' leases when renewed",
		       &s->margin);
	cnt_times_text(out, "endive_advice_seconds",
		       "Calls for advice, until their answer", &a->answers);
	cnt_times_text(out, "endive_sync_seconds", "Syncs of the data folder",
		       rep_sync_times(h->rep));
	cnt_times_text(out, "endive_leaderless_seconds",
		       "Times without a leader, as this replica saw them",
		       rep_leaderless_times(h->rep));
	hub_write_connections(h, out);
	cpu_text(out);
	cnt_times_text(out, "endive_loop_lag_seconds",
		       "How late timers are called", tmr_lag(h->tmr));
	cnt_process(out);
}

/*
 * Logs each second the time that the leader spent on each kind of work, us.
 * After an incident the lines show whether the leader fell behind, and with
 * which work.
 */
void hub_log_work(struct hub *h, int64_t now)
{
	GString *text;
	int i;

	if (now - h->work_logged_ms < HUB_WORK_LOG_INTERVAL_MS)
		return;
	text = g_string_new(NULL);
	g_string_append_printf(text, "for_ms=%" PRId64 " lag_ms=%" PRId64,
			       h->work_logged_ms ? now - h->work_logged_ms : 0,
			       tmr_lag_ms(h->tmr));
	for (i = CPU_LOOP + 1; i < CPU_KINDS; i++) {
		uint64_t used = cpu_used_us(i);

		g_string_append_printf(text, " %s=%" PRIu64, cpu_name(i),
				       used - h->work_logged_us[i]);
		h->work_logged_us[i] = used;
	}
	msg(MSG_HUB_WORK, "%s", text->str);
	g_string_free(text, TRUE);
	h->work_logged_ms = now;
}

/* Appends the descriptors and the memory of connections, and their limits. */
static void hub_write_connections(const struct hub *h, GString *out)
{
	struct srv_stats callers = srv_stats(h->srv);
	struct srv_stats operators = srv_stats(h->metrics);
	struct wire_stats peers = rep_wire_stats(h->rep);
	struct ups_stats workers = wkr_conns(h->wkr);
	const struct fdb_use use[FDB_PARTS] = {
		[FDB_PEERS] = {peers.open, peers.crowded},
		[FDB_OPERATORS] = {operators.open, operators.crowded},
		[FDB_CALLERS] = {callers.open, callers.crowded},
		[FDB_TARGETS] = {workers.open, workers.waited},
	};

	fdb_append_metrics(h->config.descriptors, use, out);
	mbd_append_metrics(h->memory, out);
}

/* Appends the current state, and the counters of other modules. */
static void hub_write_state(const struct hub *h, GString *out)
{
	const struct wkr_stats *s = wkr_stats(h->wkr);
	struct rep_quorum q = rep_quorum(h->rep);
	const struct adv_stats *a = adv_line_stats(h->advice);
	struct rly_stats r = rly_stats(h->rly);
	struct rly_stats rc = rly_relay_stats(h->relay_server);
	const struct cnt_def defs[] = {
		{"endive_leading", "gauge", "1 on the replica that leads"},
		{"endive_voters", "gauge", "Replicas that vote"},
		{"endive_voters_reached", "gauge",
		 "Of these, heard by this replica, itself too"},
		{"endive_voters_needed", "gauge", "Voters that make a quorum"},
		{"endive_learners", "gauge",
		 "Replicas that have the log and don't vote"},
		{"endive_voter", "gauge", "1 if this replica votes"},
		{"endive_leaderless_ms", "gauge",
		 "Time without a leader until now, ms; 0: one is known"},
		{"endive_jobs_live", "gauge", "Jobs that aren't over"},
		{"endive_workers", "gauge", "Workers in the table"},
		{"endive_vms_moving", "gauge", "VMs on their way to a pool"},
		{"endive_disk_full", "gauge",
		 "1 while the disk of the data folder has no space"},
		{"endive_overrides", "gauge",
		 "Floors and weights that operators ordered for now"},
		{"endive_syncs_total", "counter", "Syncs of the data folder"},
		{"endive_sync_us", "gauge", "Moving mean of a sync, us"},
		{"endive_worker_connects_total", "counter",
		 "Connections opened to workers"},
		{"endive_orders_unanswered_total", "counter",
		 "Calls to workers without an answer"},
		{"endive_orders_untried_total", "counter",
		 "Calls to workers given up for want of a connection of ours"},
		{"endive_calls_carried_total", "counter",
		 "Calls to workers that other replicas made for us"},
		{"endive_starts_carried_total", "counter",
		 "Runs whose first order another replica made for us"},
		{"endive_calls_lost_total", "counter",
		 "Of these, what no replica told the end of"},
		{"endive_calls_carried_for_others_total", "counter",
		 "Calls to workers made for a leader"},
		{"endive_calls_dropped_total", "counter",
		 "Of these, that came too late to be made"},
		{"endive_starts_refused_total", "counter",
		 "Starts that a worker refused"},
		{"endive_lapses_total", "counter",
		 "Workers given up since their lease was over"},
		{"endive_zones_silent_total", "counter",
		 "Zones whose workers stopped answering together"},
		{"endive_runs_given_back_total", "counter",
		 "Runs never sent to a worker that stopped answering"},
		{"endive_foreign_lists_total", "counter",
		 "Lists of another lifetime of a worker than the known one"},
		{"endive_acks_withheld_total", "counter",
		 "Calls that left ends unconfirmed, as a worker may have "
		 "restarted"},
		{"endive_advice_waiting", "gauge",
		 "Steps that are due and have no ticket"},
		{"endive_advice_steps", "gauge", "Steps whose advice is kept"},
		{"endive_advice_calls_total", "counter", "Calls for advice"},
		{"endive_advice_failed_total", "counter",
		 "Calls for advice without a good answer"},
		{"endive_advice_named_total", "counter",
		 "Workers asked for, with repeats"},
		{"endive_advice_approved_total", "counter",
		 "Workers approved, with repeats"},
		{"endive_tickets_refused_total", "counter",
		 "Starts that a worker refused for their ticket"},
	};
	const uint64_t values[] = {
		h->leading,
		(uint64_t)q.voters,
		(uint64_t)q.reached,
		(uint64_t)q.needed,
		(uint64_t)q.learners,
		q.votes,
		(uint64_t)q.leaderless_ms,
		jtb_live(h->jtb)->len,
		g_hash_table_size(jtb_workers(h->jtb)),
		flo_count_moves(h->flo),
		!rep_is_storing(h->rep),
		ovr_count(jtb_overrides(h->jtb), hub_wall_ms()),
		rep_syncs(h->rep),
		(uint64_t)rep_sync_us(h->rep),
		wkr_conns(h->wkr).connects,
		s->unanswered,
		s->not_sent,
		r.calls,
		s->starts_relayed,
		r.lost,
		rc.relayed,
		rc.dropped,
		s->refused,
		s->expired,
		s->zones_silent,
		s->dropped,
		s->foreign_lists,
		s->acks_withheld,
		adv_waiting(h->adv, tmr_now(h->tmr), hub_wall_ms()),
		adv_step_count(h->adv),
		a->calls,
		a->failed,
		a->named,
		a->approved,
		s->ticket_refusals,
	};

	G_STATIC_ASSERT(G_N_ELEMENTS(defs) == G_N_ELEMENTS(values));
	cnt_text(out, defs, values, G_N_ELEMENTS(values), "");
}
