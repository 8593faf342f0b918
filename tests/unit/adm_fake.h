#ifndef ADM_FAKE_H
#define ADM_FAKE_H

#include <glib.h>

#include "adm.h"

/* Fixtures shared by the unit tests of adm: a zone with one pool, requests. */

#define MS INT64_C(1000)
#define SEC INT64_C(1000000)
#define SLOTS 8

/*
 * Returns an instance with pool 0 and targets 1 to targets, in a zone with the
 * given number of entry VMs.
 */
static inline struct adm *new_zone(int targets, int entries)
{
	const struct adm_config conf = {.seed = 7, .entries = entries};
	const struct adm_pool_spec pool = {.slots = SLOTS,
					   .conns = 64,
					   .queue_us = 500 * MS,
					   .deadline_us = 2 * SEC};
	const struct adm_target_spec serving = {.state = ADM_SERVING,
						.lease_until_us = ADM_NEVER};
	struct adm *a = adm_new(&conf);
	int i;

	adm_pool_set(a, 0, &pool);
	for (i = 0; i < targets; i++)
		adm_target_set(a, 0, (uint64_t)i + 1, &serving);
	return a;
}

/* Sets the state of a target of pool 0, with a lease that never expires. */
static inline void set_target_state(struct adm *a, int64_t now, uint64_t target,
				    enum adm_target_state state)
{
	const struct adm_target_spec spec = {.state = state,
					     .lease_until_us = ADM_NEVER};

	adm_target_set(a, now, target, &spec);
}

/* Offers a repeatable request without a deadline and size of its own. */
static inline struct adm_verdict offer_request(struct adm *a, int64_t now,
					       const char *caller,
					       enum adm_class class)
{
	const struct adm_request r = {.caller = lstr_from(caller),
				      .class = class,
				      .repeatable = true};

	return adm_offer(a, now, &r, NULL);
}

/* Ends a request; its answer doesn't report the target's busy slots. */
static inline void end_request(struct adm *a, int64_t now, adm_ticket ticket,
			       enum adm_outcome outcome, int64_t service_us)
{
	const struct adm_result res = {
		.outcome = outcome, .service_us = service_us, .busy = -1};

	adm_done(a, now, ticket, &res);
}

/*
 * Runs n requests one after the other, so that the pool's service time is
 * measured. Returns the time at the end.
 */
static inline int64_t warm_up(struct adm *a, int64_t now, int n,
			      int64_t service_us)
{
	int i;

	for (i = 0; i < n; i++) {
		struct adm_verdict v =
			offer_request(a, now, "warm", ADM_NORMAL);

		now += service_us;
		end_request(a, now, v.ticket, ADM_DONE_OK, service_us);
	}
	return now;
}

/*
 * Starts up to max requests until no slot is free. Writes their tickets and
 * returns their number.
 */
static inline int fill_slots(struct adm *a, int64_t now, adm_ticket *tickets,
			     int max)
{
	int n = 0;

	while (n < max) {
		struct adm_verdict v =
			offer_request(a, now, "fill", ADM_NORMAL);

		if (v.kind != ADM_RUN) {
			adm_cancel(a, now, v.ticket);
			break;
		}
		tickets[n++] = v.ticket;
	}
	return n;
}

#endif
