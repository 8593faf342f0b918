#ifndef ADM_FAKE_H
#define ADM_FAKE_H

#include <glib.h>

#include "adm.h"

/* Small pieces that the tests of adm share: one pool, a zone, requests. */

#define MS INT64_C(1000)
#define SEC INT64_C(1000000)
#define SLOTS 8

static inline struct adm *fake_zone(int targets, int entries)
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

static inline void fake_state(struct adm *a, int64_t now, uint64_t target,
			      enum adm_target_state state)
{
	const struct adm_target_spec spec = {.state = state,
					     .lease_until_us = ADM_NEVER};

	adm_target_set(a, now, target, &spec);
}

static inline struct adm_verdict
fake_offer(struct adm *a, int64_t now, const char *caller, enum adm_class class)
{
	const struct adm_request r = {.caller = lstr_from(caller),
				      .class = class,
				      .repeatable = true};

	return adm_offer(a, now, &r, NULL);
}

static inline void fake_done(struct adm *a, int64_t now, adm_ticket ticket,
			     enum adm_outcome outcome, int64_t service)
{
	const struct adm_result res = {
		.outcome = outcome, .service_us = service, .busy = -1};

	adm_done(a, now, ticket, &res);
}

/* One after the other, so that the pool's service time is known. */
static inline int64_t fake_learn(struct adm *a, int64_t now, int n,
				 int64_t service)
{
	int i;

	for (i = 0; i < n; i++) {
		struct adm_verdict v = fake_offer(a, now, "warm", ADM_NORMAL);

		now += service;
		fake_done(a, now, v.ticket, ADM_DONE_OK, service);
	}
	return now;
}

/* Runs normal work until every slot is taken; gives the tickets. */
static inline int fake_fill(struct adm *a, int64_t now, adm_ticket *tickets,
			    int max)
{
	int n = 0;

	while (n < max) {
		struct adm_verdict v = fake_offer(a, now, "fill", ADM_NORMAL);

		if (v.kind != ADM_RUN) {
			adm_cancel(a, now, v.ticket);
			break;
		}
		tickets[n++] = v.ticket;
	}
	return n;
}

#endif
