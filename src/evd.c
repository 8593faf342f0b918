#include "evd.h"

#include <glib.h>

#include "wkr.h"

/* A worker's clock may be slow by 1 in 50; one more for our own. */
#define EVD_CLOCK_SLACK(ms) ((ms) + (ms) / 33 + 200)
/*
 * A leader that was cut off may give leases until it steps down; its patience
 * is 600 ms, and a call may be on its way.
 */
#define EVD_OLD_LEADER_MS 1000
/* A list may lack a VM that has just been switched on, or is read page by page. */
#define EVD_LISTS_WITHOUT 2

static const char *const evd_names[EVD_KINDS] = {
	[EVD_NONE] = "earlier-leader",	  [EVD_UNSENT] = "never-sent",
	[EVD_UNLISTED] = "not-listed",	  [EVD_LEASE] = "lease-over",
	[EVD_LIFE] = "other-lifetime",	  [EVD_VM_DOWN] = "vm-not-up",
	[EVD_VM_OTHER] = "vm-of-another", [EVD_VM_NONE] = "vm-not-listed",
	[EVD_VM_ORDER] = "vm-ordered",	  [EVD_LEFT] = "left",
};

/* A kind of evidence as log lines name it. */
const char *evd_name(enum evd_why why)
{
	return evd_names[why];
}

/* Whether evidence says that a worker's lifetime is over, not just its leases. */
bool evd_for_good(const struct evd *e)
{
	return e->why >= EVD_LIFE;
}

/* A worker answered, and may have told its clock (0: it hasn't). */
void evd_heard(struct evd_worker *w, int64_t clock_ms, int64_t now_ms)
{
	w->ok_ms = now_ms;
	w->failed_since = 0;
	if (clock_ms <= 0)
		return;
	w->clock_ms = clock_ms;
	w->clock_at = now_ms;
}

/*
 * End of a lease given now, on the worker's clock; never later than the lease
 * is long, as the clock may be slow by 1 in 50. 0: the clock isn't known.
 *
 * It is counted from when we last knew that we lead. A leader that stood still
 * while another took its place would else, awake again and before it learns
 * so, start work that the other has given out anew. Wherever it stood still,
 * what it sends then is over by the worker's own clock; the next leader waits
 * EVD_OLD_LEADER_MS longer than the lease for what was sent before.
 */
int64_t evd_until(const struct evd_worker *w, int64_t sure_ms, int64_t lease_ms)
{
	int64_t passed = sure_ms - w->clock_at;

	if (!w->clock_at)
		return 0;
	return w->clock_ms + passed - MAX(0, passed) / 50 + lease_ms;
}

/*
 * Whether no start of a run can be on its worker or on the way there: none was
 * sent, or the worker's answer to each was that it did nothing.
 */
bool evd_unsent(const struct jtb_run *run, const struct evd_moment *m,
		struct evd *out)
{
	if (run->may_have_started)
		return false;
	evd_of(EVD_UNSENT, run->ordered_ms, m, out);
	return true;
}

/*
 * Whether a list that was asked for at asked_ms, and has a run neither as running
 * nor as ended, tells that it is over: the worker had it, or had been told to
 * take it never, before it was asked.
 */
bool evd_unlisted(const struct jtb_run *run, int64_t asked_ms,
		  const struct evd_moment *m, struct evd *out)
{
	if ((run->phase != WKR_ON && run->phase != WKR_OVER) ||
	    run->ordered_ms >= asked_ms)
		return false;
	evd_of(EVD_UNLISTED, asked_ms, m, out);
	return true;
}

/*
 * Whether a start of a run that is given up with its worker's leases may still
 * arrive there: we sent one, and neither has the worker been seen to have it, nor
 * has it answered a stop. Starts of an earlier leader don't count: the worker
 * turns them away as soon as it gets anything from us.
 */
bool evd_may_arrive(const struct jtb_run *run)
{
	return run->orders_sent && !run->first_running_ms &&
	       (run->phase == WKR_SENT ||
		(run->phase == WKR_NEW && run->may_have_started));
}

/*
 * Whether all leases of a worker that doesn't answer are over for sure, also
 * those that a leader before us may have given.
 */
bool evd_lease_over(const struct evd_worker *w, int64_t lease_ms,
		    const struct evd_moment *m, struct evd *out)
{
	int64_t given = MAX(w->granted_at, m->led_since_ms + EVD_OLD_LEADER_MS);

	if (!w->failed_since || m->now_ms <= given + EVD_CLOCK_SLACK(lease_ms))
		return false;
	evd_of(EVD_LEASE, given, m, out);
	return true;
}

/*
 * Whether the list of VMs tells that a worker that doesn't answer is over. Only a
 * list that was asked for since it fell silent does; one that was only cut off is
 * listed as before. That it isn't on the list is no evidence by itself: its row may
 * be missing for a moment, or not tell what is on the VM, and its work would run
 * twice while it is cut off.
 */
bool evd_vm_over(const struct evd_vm *vm, int64_t silent_since,
		 const struct evd_moment *m, struct evd *out)
{
	enum evd_why why = EVD_NONE;

	if (!silent_since || silent_since >= vm->asked_ms)
		return false;
	if (vm->listed && !vm->up)
		why = EVD_VM_DOWN;
	else if (vm->other)
		why = EVD_VM_OTHER;
	else if (!vm->listed && !vm->unread && vm->without >= EVD_LISTS_WITHOUT)
		why = EVD_VM_NONE;
	if (why)
		evd_of(why, vm->asked_ms, m, out);
	return why != EVD_NONE;
}

/* Evidence that its finder has by itself, as of a moment. */
void evd_of(enum evd_why why, int64_t as_of_ms, const struct evd_moment *m,
	    struct evd *out)
{
	*out = (struct evd){
		.why = why,
		.at_ms = m->now_ms,
		.as_of_ms = as_of_ms,
		.lag_ms = m->lag_ms,
	};
}
