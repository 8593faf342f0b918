#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/*
 * Runs a hundred requests one after the other and counts in got those that each
 * target gets. service: time that each target takes, us; failing: target 1
 * fails all requests.
 */
static void run_requests(struct adm *a, int64_t *now, const int64_t *service,
			 bool failing, int *got)
{
	int i;

	for (i = 0; i < 100; i++) {
		struct adm_verdict v = offer_request(a, *now, "a", ADM_NORMAL);
		bool fails = failing && v.target == 1;

		if (v.kind != ADM_RUN)
			continue;
		got[v.target]++;
		*now += service[v.target];
		end_request(a, *now, v.ticket,
			    fails ? ADM_DONE_FAILED : ADM_DONE_OK,
			    service[v.target]);
	}
}

/*
 * Guards against requests to a target that leaves, is drained or whose lease
 * has expired while this VM is partitioned. The target gets no new requests
 * from that time on, and its running request still completes.
 */
static void leaving_or_expired_target_gets_no_requests(void **state)
{
	const struct adm_target_spec lapsing = {.state = ADM_SERVING,
						.lease_until_us = 3 * SEC};
	struct adm *a = new_zone(2, 1);
	struct adm_verdict v = offer_request(a, 0, "a", ADM_NORMAL);
	uint64_t other = 3 - v.target;
	int i;

	set_target_state(a, 1, v.target, ADM_NO_NEW_WORK);
	for (i = 0; i < SLOTS; i++)
		assert_true(offer_request(a, 1, "a", ADM_NORMAL).target ==
			    other);
	assert_int_equal(offer_request(a, 1, "a", ADM_NORMAL).kind, ADM_QUEUED);
	end_request(a, 2, v.ticket, ADM_DONE_OK, 1);
	adm_target_set(a, 2, v.target, &lapsing);
	assert_true(offer_request(a, 2, "b", ADM_NORMAL).kind == ADM_QUEUED);
	adm_free(a);

	a = new_zone(0, 1);
	adm_target_set(a, 0, 1, &lapsing);
	assert_int_equal(offer_request(a, 3 * SEC - 1, "a", ADM_NORMAL).kind,
			 ADM_RUN);
	v = offer_request(a, 3 * SEC, "a", ADM_NORMAL);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_NO_TARGETS);
	adm_free(a);
}

/*
 * Guards against requests that wait although no target is left. When the last
 * target is removed, they are refused immediately, not after their longest
 * wait.
 */
static void loss_of_last_target_refuses_waiting_requests(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict out[4];
	adm_ticket held[SLOTS] = {0};
	int64_t next;

	fill_slots(a, now, held, SLOTS);
	offer_request(a, now, "b", ADM_NORMAL);
	offer_request(a, now, "c", ADM_NORMAL);
	set_target_state(a, now, 1, ADM_REMOVED);
	assert_int_equal(adm_poll(a, now, out, 4, &next), 2);
	assert_int_equal(out[0].reason, ADM_NO_TARGETS);
	end_request(a, now, held[0], ADM_DONE_OK, 100 * MS);
	set_target_state(a, now, 1, ADM_SERVING);
	assert_int_equal(fill_slots(a, now, held + 1, SLOTS - 1), SLOTS - 1);
	adm_free(a);
}

/*
 * Guards against a black hole: one of four targets fails all requests within a
 * millisecond and so is always idle. It gets a few requests until it is
 * ejected, and then single probes.
 */
static void fast_failing_target_attracts_no_requests(void **state)
{
	const int64_t service[5] = {0, 1 * MS, 100 * MS, 100 * MS, 100 * MS};
	struct adm *a = new_zone(4, 1);
	int got[5] = {0};
	int64_t now = 0;
	int i;

	for (i = 0; i < 10; i++)
		run_requests(a, &now, service, true, got);
	assert_in_range(got[1], 5, 30);
	assert_in_range(got[2] + got[3] + got[4], 970, 995);
	assert_true(adm_stats(a).ejected > 1);
	adm_free(a);
}

/*
 * Guards against a target that stays ejected after its recovery. After
 * successful probes it gets its share of the requests again.
 */
static void recovered_target_gets_its_share(void **state)
{
	const int64_t service[3] = {0, 10 * MS, 10 * MS};
	struct adm *a = new_zone(2, 1);
	int got[3] = {0};
	int64_t now = 0;
	int i;

	run_requests(a, &now, service, true, got);
	assert_true(adm_stats(a).ejected >= 1);
	now += 60 * SEC;
	got[1] = 0;
	for (i = 0; i < 5; i++)
		run_requests(a, &now, service, false, got);
	assert_int_equal(adm_stats(a).restored, 1);
	assert_in_range(got[1], 100, 400);
	adm_free(a);
}

/*
 * Guards against cascading overload when a failed dependency makes every target
 * fail: ejecting one after the other would concentrate all requests on the
 * last one. Half of the targets stay in use.
 */
static void at_most_half_of_targets_are_ejected(void **state)
{
	struct adm *a = new_zone(8, 1);
	int seen = 0;
	int64_t now = 0;
	int i;

	for (i = 0; i < 400; i++) {
		struct adm_verdict v = offer_request(a, now, "a", ADM_URGENT);

		end_request(a, now, v.ticket, ADM_DONE_FAILED, MS);
	}
	for (i = 0; i < 200; i++) {
		struct adm_verdict v = offer_request(a, now, "a", ADM_URGENT);

		seen |= 1 << v.target;
		end_request(a, now, v.ticket, ADM_DONE_FAILED, MS);
	}
	assert_true(__builtin_popcount((unsigned)seen) >= 4);
	adm_free(a);
}

/* A constant rate of requests; target 1 takes 1 s, all others 100 ms. */
struct load {
	struct adm *a;
	int64_t now;
	adm_ticket tickets[10 * SLOTS]; /* of running requests; 0: unused */
	int64_t until[10 * SLOTS]; /* end of each request */
	bool slow[10 * SLOTS]; /* runs on target 1 */
	int n_slow; /* requests started on target 1 */
};

/* Adds a request to the running ones if the verdict is to run it. */
static void load_start(struct load *l, struct adm_verdict v)
{
	size_t i = 0;

	if (v.kind != ADM_RUN)
		return;
	while (l->tickets[i])
		i++;
	l->tickets[i] = v.ticket;
	l->slow[i] = v.target == 1;
	l->until[i] = l->now + (l->slow[i] ? 1000 : 100) * MS;
	l->n_slow += l->slow[i];
}

/* Offers a request each interval until a time, and ends those that are due. */
static void load_run(struct load *l, int64_t interval, int64_t until)
{
	struct adm_verdict out[10 * SLOTS];
	int64_t next;
	size_t i;
	size_t n;

	for (; l->now < until; l->now += interval) {
		for (i = 0; i < G_N_ELEMENTS(l->tickets); i++) {
			if (!l->tickets[i] || l->until[i] > l->now)
				continue;
			end_request(l->a, l->now, l->tickets[i], ADM_DONE_OK,
				    (l->slow[i] ? 1000 : 100) * MS);
			l->tickets[i] = 0;
		}
		n = adm_poll(l->a, l->now, out, 10 * SLOTS, &next);
		for (i = 0; i < n; i++)
			load_start(l, out[i]);
		load_start(l, offer_request(l->a, l->now, "a", ADM_NORMAL));
	}
}

/*
 * Guards against a slow target that delays its full share of callers. One of
 * ten targets is ten times slower, at half of the pool's capacity. It is not
 * ejected, as it answers, but it gets less than one request in a hundred; it
 * still gets some as probes, so that its recovery would be noticed.
 */
static void slow_target_gets_few_requests(void **state)
{
	struct load l = {.a = new_zone(10, 1)};

	load_run(&l, 2500, 2 * SEC);
	l.n_slow = 0;
	load_run(&l, 2500, 20 * SEC);
	assert_in_range(l.n_slow, 5, 72);
	assert_int_equal(adm_stats(l.a).ejected, 0);
	adm_free(l.a);
}

/*
 * Guards against a slow target that attracts requests under overload, as its
 * slots are the only free ones. Waiting for a fast target takes less time, so
 * that the slow one gets probes only.
 */
static void slow_target_gets_few_requests_under_saturation(void **state)
{
	struct load l = {.a = new_zone(10, 1)};

	load_run(&l, 1000, 2 * SEC);
	l.n_slow = 0;
	load_run(&l, 1000, 20 * SEC);
	assert_in_range(l.n_slow, 5, 40);
	adm_free(l.a);
}

/*
 * Guards against refusals while a slow target is left. All targets but the slow
 * one are removed, and requests go to it.
 */
static void slow_target_is_used_if_it_is_the_only_one(void **state)
{
	struct load l = {.a = new_zone(10, 1)};
	uint64_t t;

	load_run(&l, 2500, 2 * SEC);
	for (t = 2; t <= 10; t++)
		set_target_state(l.a, l.now, t, ADM_REMOVED);
	assert_int_equal(offer_request(l.a, l.now, "a", ADM_URGENT).target, 1);
	adm_free(l.a);
}

/*
 * Guards against a failing target that can't be ejected. Three of four targets
 * fail all requests immediately; two are ejected, which is the limit. The third
 * stays, but ranks lower than the working one and gets few requests.
 */
static void failing_target_not_ejected_ranks_last(void **state)
{
	struct adm *a = new_zone(4, 1);
	int n_failed = 0;
	int i;

	for (i = 0; i < 300; i++) {
		struct adm_verdict v = offer_request(a, 0, "a", ADM_URGENT);
		bool fails = v.target != 1;

		n_failed += fails && i >= 100;
		end_request(a, 0, v.ticket,
			    fails ? ADM_DONE_FAILED : ADM_DONE_OK, MS);
	}
	assert_in_range(n_failed, 0, 10);
	adm_free(a);
}

/*
 * Guards against requests to a target whose slots other entry VMs hold. After a
 * report or a refusal by the target, requests wait until the reported number of
 * busy slots has decayed.
 */
static void slots_held_by_other_entry_vms_are_avoided(void **state)
{
	const struct adm_result full = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = new_zone(1, 3);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict out[2];
	struct adm_verdict v;
	int64_t next;
	int i;

	adm_target_set_busy(a, now, 1, SLOTS - 2);
	for (i = 0; i < 2; i++)
		assert_int_equal(offer_request(a, now, "a", ADM_NORMAL).kind,
				 ADM_RUN);
	v = offer_request(a, now, "a", ADM_NORMAL);
	assert_int_equal(v.kind, ADM_QUEUED);
	assert_int_equal(adm_poll(a, now, out, 2, &next), 0);
	for (i = 0; i < 20 && !adm_poll(a, now, out, 2, &next); i++)
		now = next;
	assert_int_equal(out[0].kind, ADM_RUN);
	assert_true(out[0].ticket == v.ticket);
	v = adm_retry(a, now, v.ticket, &full);
	assert_int_equal(v.kind, ADM_QUEUED);
	assert_int_equal(adm_poll(a, now, out, 2, &next), 0);
	adm_free(a);
}

/*
 * Guards against repeated attempts on a full target, each of which costs a
 * request a round trip. Each consecutive refusal doubles the time until the
 * next attempt.
 */
static void consecutive_refusals_back_off_exponentially(void **state)
{
	const struct adm_result full = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = new_zone(1, 3);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict v = offer_request(a, now, "a", ADM_NORMAL);
	int64_t waits[3];
	struct adm_verdict out[2];
	int64_t next;
	int i;

	for (i = 0; i < 3; i++) {
		int64_t from = now;

		v = adm_retry(a, now, v.ticket, &full);
		assert_int_equal(v.kind, ADM_QUEUED);
		while (!adm_poll(a, now, out, 2, &next))
			now = next;
		assert_int_equal(out[0].kind, ADM_RUN);
		waits[i] = now - from;
	}
	assert_in_range(waits[1], 2 * waits[0] - 10, 2 * waits[0] + 10);
	assert_in_range(waits[2], 4 * waits[0] - 10, 4 * waits[0] + 10);
	adm_free(a);
}

/*
 * Guards against reuse of a slot on which the target may still be working. The
 * slots of a cancelled and of a timed-out request are not given to the next
 * request immediately.
 */
static void abandoned_request_still_holds_its_slot(void **state)
{
	struct adm *a = new_zone(1, 1);
	adm_ticket held[SLOTS] = {0};

	fill_slots(a, 0, held, SLOTS);
	adm_cancel(a, 0, held[0]);
	end_request(a, 0, held[1], ADM_DONE_TIMEOUT, 0);
	assert_int_equal(offer_request(a, 0, "a", ADM_NORMAL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * Guards against probes of an ejected target with requests that must not fail.
 * After the ejection time, requests that are not repeatable or are urgent go to
 * the other target, and a repeatable normal one is the probe.
 */
static void probes_use_repeatable_requests(void **state)
{
	const struct adm_request once = {.caller = LSTR("a"),
					 .class = ADM_NORMAL};
	struct adm *a = new_zone(2, 1);
	int64_t now = 0;
	int i;

	while (!adm_stats(a).ejected) {
		struct adm_verdict v = offer_request(a, now, "a", ADM_NORMAL);

		end_request(a, now, v.ticket,
			    v.target == 1 ? ADM_DONE_FAILED : ADM_DONE_OK, MS);
	}
	now += 2 * SEC;
	for (i = 0; i < 4; i++)
		assert_true(adm_offer(a, now, &once, NULL).target == 2);
	assert_true(offer_request(a, now, "a", ADM_URGENT).target == 2);
	assert_true(offer_request(a, now, "a", ADM_NORMAL).target == 1);
	assert_int_equal(adm_stats(a).probes, 1);
	adm_free(a);
}

/*
 * Guards against entry VMs that together exceed a target's limit of 64
 * connections: only those beyond its slots are divided between the VMs, here 3,
 * 30 and 60.
 */
static void idle_connections_are_divided_between_entry_vms(void **state)
{
	struct adm *a = new_zone(1, 3);

	assert_int_equal(adm_idle_conns(a, 0), 18);
	adm_set_entries(a, 30, 60);
	assert_int_equal(adm_idle_conns(a, 0), 1);
	adm_set_entries(a, 60, 60);
	assert_int_equal(adm_idle_conns(a, 0), 0);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(leaving_or_expired_target_gets_no_requests),
		cmocka_unit_test(loss_of_last_target_refuses_waiting_requests),
		cmocka_unit_test(fast_failing_target_attracts_no_requests),
		cmocka_unit_test(recovered_target_gets_its_share),
		cmocka_unit_test(at_most_half_of_targets_are_ejected),
		cmocka_unit_test(slow_target_gets_few_requests),
		cmocka_unit_test(
			slow_target_gets_few_requests_under_saturation),
		cmocka_unit_test(slow_target_is_used_if_it_is_the_only_one),
		cmocka_unit_test(failing_target_not_ejected_ranks_last),
		cmocka_unit_test(slots_held_by_other_entry_vms_are_avoided),
		cmocka_unit_test(consecutive_refusals_back_off_exponentially),
		cmocka_unit_test(abandoned_request_still_holds_its_slot),
		cmocka_unit_test(probes_use_repeatable_requests),
		cmocka_unit_test(
			idle_connections_are_divided_between_entry_vms),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
