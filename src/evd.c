#include "evd.h"

#include <glib.h>

#include "wkr.h"

/*
 * Longest that a lease of ms may last by the leader's clock, in ms: the
 * worker's clock may be slow by 1 in 50; the rest of the margin allows for the
 * leader's own clock.
 */
#define EVD_LEASE_MAX_MS(ms) ((ms) + (ms) / 33 + 200)
/*
 * A partitioned leader may grant leases until it steps down; its step-down
 * timeout is 600 ms, and a call may still be in flight.
 */
#define EVD_OLD_LEADER_MS 1000
/*
 * For how long lists must lack an unreachable worker, ms: one list may lack a
 * VM that has just been switched on, or change while it is read page by page,
 * and so may another one right behind it.
 */
#define EVD_ABSENT_MS 600
/*
 * For how long lists must name no worker on a VM until there is none that had
 * got work before the first of them, ms.
 */
#define EVD_NAMED_MS 500
/*
 * A VM that lists have shown as absent for this long is gone for good, ms. A VM
 * that has just been switched on is listed some 100 ms later.
 */
#define EVD_GONE_MS 5000
/*
 * Most that one list adds to that time, ms: some more than the interval at which
 * lists are requested. The time without an answer from the platform shows
 * nothing.
 */
#define EVD_LIST_STEP_MS 1000
/*
 * Most that one list of a worker's runs adds to the time that a run stands
 * still, ms: a list is requested, at the latest, when the one before has been
 * held for 0.5 s.
 */
#define EVD_STILL_STEP_MS 1000

static const char *const evd_names[EVD_KINDS] = {
	[EVD_NONE] = "earlier-leader",
	[EVD_UNSENT] = "never-sent",
	[EVD_UNLISTED] = "not-listed",
	[EVD_LEASE] = "lease-over",
	[EVD_OTHER_INSTANCE] = "other-lifetime",
	[EVD_VM_DOWN] = "vm-not-up",
	[EVD_VM_OTHER] = "vm-of-another",
	[EVD_VM_NONE] = "vm-not-listed",
	[EVD_VM_ORDER] = "vm-ordered",
	[EVD_RESTARTED] = "restarted",
	[EVD_LEFT] = "left",
};

/* Returns the name of a kind of evidence in log lines. */
const char *evd_name(enum evd_why why)
{
	return evd_names[why];
}

/*
 * Whether the evidence proves that the worker process has ended permanently,
 * not only that its leases have expired.
 */
bool evd_is_permanent(const struct evd *e)
{
	return e->why >= EVD_OTHER_INSTANCE;
}

/*
 * Records an answer of a worker. clock_ms is the worker's clock, or 0 if the
 * answer did not report it.
 */
void evd_record_answer(struct evd_worker *w, int64_t clock_ms, int64_t now_ms)
{
	w->answered_ms = now_ms;
	w->failed_since = 0;
	if (clock_ms <= 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = now_ms;
}

/*
 * Returns the expiry, on the worker's clock, of a lease of lease_ms granted
 * now; 0 if the worker's clock is not known. The lease never lasts longer than
 * lease_ms, as the worker's clock may be slow by 1 in 50.
 *
 * confirmed_ms is when this leader's leadership was last confirmed, and the
 * lease is counted from there. Otherwise a leader whose process paused while
 * another one took over could, after it resumes and before it learns of that,
 * start work that the new leader has assigned elsewhere. Wherever the pause occurs, what
 * it sends has expired by the worker's clock; the next leader waits
 * EVD_OLD_LEADER_MS longer than the lease for what was sent before.
 */
int64_t evd_lease_end(const struct evd_worker *w, int64_t confirmed_ms,
		      int64_t lease_ms)
{
	int64_t elapsed = confirmed_ms - w->clock_at;

	if (!w->clock_at)
		return 0;
	return w->clock_ms + elapsed - MAX(0, elapsed) / 50 + lease_ms;
}

/*
 * Whether no start request of a run can have reached its worker or be in
 * flight: none was sent, or the worker answered each one that it did nothing.
 */
bool evd_unsent(const struct jtb_run *run, const struct evd_moment *m,
		struct evd *out)
{
	if (run->may_have_started)
		return false;
	evd_set(EVD_UNSENT, run->ordered_ms, m, out);
	return true;
}

/*
 * Whether a worker's list of runs, requested at asked_ms and without this run
 * among the running and the ended ones, proves that the run is over: the worker
 * had the run, or had been told never to start it, before the list was
 * requested.
 */
bool evd_unlisted(const struct jtb_run *run, int64_t asked_ms,
		  const struct evd_moment *m, struct evd *out)
{
	if ((run->phase != WKR_ACCEPTED && run->phase != WKR_OVER) ||
	    run->ordered_ms >= asked_ms)
		return false;
	evd_set(EVD_UNLISTED, asked_ms, m, out);
	return true;
}

/*
 * Whether a start request of a run that is abandoned with its worker's leases
 * may still arrive there: this leader sent one, the worker has not been seen
 * with the run, and it has not answered a stop. Starts sent by an earlier
 * leader don't count: the worker rejects them once it has received anything
 * from this leader.
 */
bool evd_may_arrive(const struct jtb_run *run)
{
	return run->orders_sent && !run->first_running_ms &&
	       (run->phase == WKR_SENT ||
		(run->phase == WKR_NEW && run->may_have_started));
}

/*
 * Whether a worker's next lifetime under the same id may be reached by a start
 * of a run, or may have taken it already: an order was not answered, or was
 * answered and no list of the earlier lifetime showed the run, so that either
 * may have answered. Orders of an earlier leader aren't known, and the next
 * lifetime has seen no fence.
 */
bool evd_may_reach_successor(const struct jtb_run *run)
{
	if (run->inherited || run->orders_unanswered || run->phase == WKR_SENT)
		return true;
	if (!run->orders_sent || run->phase == WKR_DROPPED ||
	    (run->phase == WKR_NEW && !run->may_have_started))
		return false;
	return !run->first_running_ms;
}

/*
 * Whether a start of a run may have been carried out in a later lifetime of its
 * worker than the lists show, so that the run's end would be numbered in that
 * later lifetime. The listed lifetime has carried out the start if one of its
 * lists showed the run, or if the start was answered before the last list was
 * requested, at shown_ms. Only lists since led_since_ms count, when this
 * replica became leader.
 */
bool evd_may_be_of_successor(const struct jtb_run *run, int64_t led_since_ms,
			     int64_t shown_ms)
{
	if (run->last_running_ms && run->last_running_ms >= led_since_ms)
		return false;
	switch (run->phase) {
	case WKR_DROPPED:
		return false;
	case WKR_NEW:
		return run->may_have_started;
	case WKR_ACCEPTED:
	case WKR_OVER:
		return run->ordered_ms >= shown_ms;
	default:
		return true;
	}
}

/*
 * Whether all leases of an unreachable worker have certainly expired, including
 * those that a previous leader may have granted.
 */
bool evd_lease_over(const struct evd_worker *w, int64_t lease_ms,
		    const struct evd_moment *m, struct evd *out)
{
	int64_t last_grant =
		MAX(w->granted_at, m->led_since_ms + EVD_OLD_LEADER_MS);

	if (!w->failed_since ||
	    m->now_ms <= last_grant + EVD_LEASE_MAX_MS(lease_ms))
		return false;
	evd_set(EVD_LEASE, last_grant, m, out);
	return true;
}

/*
 * Whether the list of VMs proves that an unreachable worker is over. Only a
 * list requested after the worker became unreachable counts; a worker that is
 * only partitioned is listed as before. Absence from the list alone is no
 * proof: the row may be missing for a moment, or may not name the worker on the
 * VM, and the work of a worker that is only partitioned would run twice.
 */
bool evd_vm_over(const struct evd_vm *vm, int64_t unreachable_since,
		 const struct evd_moment *m, struct evd *out)
{
	enum evd_why why = EVD_NONE;

	if (!unreachable_since || unreachable_since >= vm->asked_ms)
		return false;
	if (vm->listed && !vm->up)
		why = EVD_VM_DOWN;
	else if (vm->other)
		why = EVD_VM_OTHER;
	else if (!vm->listed && !vm->worker_unknown &&
		 vm->absent_ms >= EVD_ABSENT_MS)
		why = EVD_VM_NONE;
	if (why)
		evd_set(why, vm->asked_ms, m, out);
	return why != EVD_NONE;
}

/*
 * Counts what the newest list of VMs, requested at asked_ms, says about
 * something that may be absent from the lists; returns for how long, in ms,
 * lists have shown that. Only lists that were requested after since_ms count,
 * each of them once: an older one may be from before the thing was there, and
 * looking at a list again shows nothing.
 */
int64_t evd_absent_ms(struct evd_absence *a, bool listed, int64_t asked_ms,
		      int64_t since_ms)
{
	if (listed) {
		*a = (struct evd_absence){0};
		return 0;
	}
	if (!a->asked_ms)
		a->asked_ms = since_ms;
	if (asked_ms > a->asked_ms) {
		a->shown_ms += MIN(asked_ms - a->asked_ms, EVD_LIST_STEP_MS);
		a->asked_ms = asked_ms;
	}
	return a->shown_ms;
}

/* Whether lists show that a VM, found missing by now, is gone for good. */
bool evd_vm_gone(struct evd_absence *a, bool listed, int64_t asked_ms,
		 int64_t now_ms)
{
	return evd_absent_ms(a, listed, asked_ms, now_ms) > EVD_GONE_MS;
}

/*
 * Whether lists show that nothing runs on a VM whose worker isn't known. From
 * since_ms on, workers that no list has have got no work, so that one on the VM
 * which had some before is named in the meantime.
 */
bool evd_vm_empty(struct evd_absence *a, bool known, int64_t asked_ms,
		  int64_t since_ms)
{
	int64_t shown_ms = evd_absent_ms(a, known, asked_ms, since_ms);

	return known || shown_ms >= EVD_NAMED_MS;
}

/*
 * Records that a list of its worker's runs, read now, shows a run with that
 * progress, in percent.
 */
void evd_record_running(struct jtb_run *run, int32_t percent, int64_t now_ms)
{
	if (run->percent != percent) {
		run->percent = percent;
		run->progress_ms = now_ms;
		run->still_ms = 0;
	} else if (run->last_running_ms) {
		run->still_ms +=
			MIN(now_ms - run->last_running_ms, EVD_STILL_STEP_MS);
	}
	if (!run->first_running_ms)
		run->first_running_ms = now_ms;
	run->last_running_ms = now_ms;
}

/*
 * Whether lists have shown a run without progress for longer than timeout_ms.
 * The time in which its worker was silent, or this replica didn't lead, shows
 * nothing: the run may have gone on, or its VM stood still.
 */
bool evd_stands_still(const struct jtb_run *run, int64_t timeout_ms)
{
	return run->still_ms > timeout_ms;
}

/*
 * Fills in evidence of a kind that the caller has established, as of as_of_ms.
 */
void evd_set(enum evd_why why, int64_t as_of_ms, const struct evd_moment *m,
	     struct evd *out)
{
	*out = (struct evd){
		.why = why,
		.at_ms = m->now_ms,
		.as_of_ms = as_of_ms,
		.lag_ms = m->lag_ms,
	};
}
