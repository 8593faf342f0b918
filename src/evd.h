#ifndef EVD_H
#define EVD_H

/* Failure evidence: proofs that a run or a worker is over. */

#include <stdbool.h>
#include <stdint.h>

struct jtb_run;

/*
 * Evidence that a run, or a worker with all its runs, is over. A task is
 * started elsewhere only on such evidence. All evidence is made in this module
 * and records its kind, when it was concluded and the time it refers to, and
 * thereby which later messages it rules out.
 */
enum evd_why {
	EVD_NONE, /* concluded by an earlier leader */
	EVD_UNSENT, /* no start request can be in flight or delivered */
	EVD_UNLISTED, /* missing from a later list of its worker's runs */
	/* the worker's leases have expired, even on the slowest clock */
	EVD_LEASE,
	/* another process instance answers at the worker's address */
	EVD_OTHER_INSTANCE,
	EVD_VM_DOWN, /* worker unreachable, and its VM listed as not up */
	/* worker unreachable, and its VM listed with another worker */
	EVD_VM_OTHER,
	/* worker unreachable, and no longer on any list of VMs */
	EVD_VM_NONE,
	/* the leader ordered an operation that takes the worker's VM */
	EVD_VM_ORDER,
	EVD_RESTARTED, /* the worker reported a later lifetime */
	EVD_LEFT, /* the worker reported its exit and had no runs */
	EVD_KINDS
};

struct evd {
	enum evd_why why;
	int64_t at_ms; /* when the evidence was concluded */
	int64_t as_of_ms; /* when the list was requested or the lease granted */
	int64_t lag_ms; /* delay of the leader's event loop at that time */
};

/*
 * What a leader knows of a worker's clock, leases and reachability; local times
 * are on the clock of tmr, in ms.
 */
struct evd_worker {
	int64_t clock_ms; /* clock last reported by the worker */
	int64_t clock_at; /* local time of that report; 0: none yet */
	int64_t granted_at; /* when a lease was last granted; 0: never */
	int64_t granted_until; /* latest lease expiry, on the worker's clock */
	int64_t failed_since; /* unreachable since; 0: reachable */
	int64_t answered_ms; /* time of the worker's last answer */
};

/* What the newest complete list of VMs says about a worker. */
struct evd_vm {
	int64_t asked_ms; /* when the list was requested */
	bool listed; /* the worker or its last known VM is on the list */
	bool up; /* the worker's last known VM is up */
	bool other; /* the last known VM is listed with another worker */
	bool worker_unknown; /* the list names no worker for a VM that is up */
	/* for how long lists in a row have lacked the worker and its VM */
	int64_t absent_ms;
};

/* For how long lists of VMs have lacked something. */
struct evd_absence {
	/*
	 * when the newest list that counts was requested; before the first one,
	 * since when lists count; 0: nothing is missing
	 */
	int64_t asked_ms;
	int64_t shown_ms; /* time that the lists since then account for */
};

/* The point in time at which evidence is evaluated. */
struct evd_moment {
	int64_t now_ms;
	int64_t lag_ms; /* recent delay of the event loop */
	int64_t led_since_ms; /* when this leader's term began */
};

const char *evd_name(enum evd_why why);
bool evd_is_permanent(const struct evd *e);
void evd_record_answer(struct evd_worker *w, int64_t clock_ms, int64_t now_ms);
int64_t evd_lease_end(const struct evd_worker *w, int64_t confirmed_ms,
		      int64_t lease_ms);
bool evd_unsent(const struct jtb_run *run, const struct evd_moment *m,
		struct evd *out);
bool evd_unlisted(const struct jtb_run *run, int64_t asked_ms,
		  const struct evd_moment *m, struct evd *out);
bool evd_may_arrive(const struct jtb_run *run);
bool evd_may_reach_successor(const struct jtb_run *run);
bool evd_may_be_of_successor(const struct jtb_run *run, int64_t led_since_ms,
			     int64_t shown_ms);
bool evd_lease_over(const struct evd_worker *w, int64_t lease_ms,
		    const struct evd_moment *m, struct evd *out);
bool evd_vm_over(const struct evd_vm *vm, int64_t unreachable_since,
		 const struct evd_moment *m, struct evd *out);
int64_t evd_absent_ms(struct evd_absence *a, bool listed, int64_t asked_ms,
		      int64_t since_ms);
bool evd_vm_empty(struct evd_absence *a, bool known, int64_t asked_ms,
		  int64_t since_ms);
bool evd_vm_gone(struct evd_absence *a, bool listed, int64_t asked_ms,
		 int64_t now_ms);
void evd_record_running(struct jtb_run *run, int32_t percent, int64_t now_ms);
bool evd_stands_still(const struct jtb_run *run, int64_t timeout_ms);
void evd_set(enum evd_why why, int64_t as_of_ms, const struct evd_moment *m,
	     struct evd *out);

#endif
