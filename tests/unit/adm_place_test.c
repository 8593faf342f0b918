#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/* What each of some targets got of a hundred requests, one after another. */
static void spread(struct adm *a, int64_t *now, const int64_t *service,
		   bool failing, int *got)
{
	int i;

	for (i = 0; i < 100; i++) {
		struct adm_verdict v = fake_offer(a, *now, "a", ADM_NORMAL);
		bool bad = failing && v.target == 1;

		if (v.kind != ADM_RUN)
			continue;
		got[v.target]++;
		*now += service[v.target];
		fake_done(a, *now, v.ticket,
			  bad ? ADM_DONE_FAILED : ADM_DONE_OK,
			  service[v.target]);
	}
}

/*
 * A target announces that it leaves, is drained, or its lease lapses while
 * this VM is cut off from everyone. From that moment on it gets nothing more,
 * and its running request still ends well.
 */
static void leaving_targets_get_no_new_work(void **state)
{
	const struct adm_target_spec lapsing = {.state = ADM_SERVING,
						.lease_until_us = 3 * SEC};
	struct adm *a = fake_zone(2, 1);
	struct adm_verdict v = fake_offer(a, 0, "a", ADM_NORMAL);
	uint64_t other = 3 - v.target;
	int i;

	fake_state(a, 1, v.target, ADM_NO_NEW_WORK);
	for (i = 0; i < SLOTS; i++)
		assert_true(fake_offer(a, 1, "a", ADM_NORMAL).target == other);
	assert_int_equal(fake_offer(a, 1, "a", ADM_NORMAL).kind, ADM_QUEUED);
	fake_done(a, 2, v.ticket, ADM_DONE_OK, 1);
	adm_target_set(a, 2, v.target, &lapsing);
	assert_true(fake_offer(a, 2, "b", ADM_NORMAL).kind == ADM_QUEUED);
	adm_free(a);

	a = fake_zone(0, 1);
	adm_target_set(a, 0, 1, &lapsing);
	assert_int_equal(fake_offer(a, 3 * SEC - 1, "a", ADM_NORMAL).kind,
			 ADM_RUN);
	v = fake_offer(a, 3 * SEC, "a", ADM_NORMAL);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_NO_TARGETS);
	adm_free(a);
}

/*
 * Requests wait, and the last target leaves. They are refused at once, not
 * when their wait is over.
 */
static void waiting_ends_when_the_last_target_leaves(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict out[4];
	adm_ticket held[SLOTS] = {0};
	int64_t next;

	fake_fill(a, now, held, SLOTS);
	fake_offer(a, now, "b", ADM_NORMAL);
	fake_offer(a, now, "c", ADM_NORMAL);
	fake_state(a, now, 1, ADM_GONE);
	assert_int_equal(adm_poll(a, now, out, 4, &next), 2);
	assert_int_equal(out[0].reason, ADM_NO_TARGETS);
	fake_done(a, now, held[0], ADM_DONE_OK, 100 * MS);
	fake_state(a, now, 1, ADM_SERVING);
	assert_int_equal(fake_fill(a, now, held + 1, SLOTS - 1), SLOTS - 1);
	adm_free(a);
}

/*
 * One of four targets fails everything within a millisecond and so is always
 * idle. It gets a few requests until that is seen, then single probes.
 */
static void a_fast_failing_target_attracts_no_work(void **state)
{
	const int64_t service[5] = {0, 1 * MS, 100 * MS, 100 * MS, 100 * MS};
	struct adm *a = fake_zone(4, 1);
	int got[5] = {0};
	int64_t now = 0;
	int i;

	for (i = 0; i < 10; i++)
		spread(a, &now, service, true, got);
	assert_in_range(got[1], 5, 30);
	assert_in_range(got[2] + got[3] + got[4], 970, 995);
	assert_true(adm_stats(a).ejected > 1);
	adm_free(a);
}

/* A failed target is mended. After good probes it gets its part again. */
static void a_mended_target_comes_back(void **state)
{
	const int64_t service[3] = {0, 10 * MS, 10 * MS};
	struct adm *a = fake_zone(2, 1);
	int got[3] = {0};
	int64_t now = 0;
	int i;

	spread(a, &now, service, true, got);
	assert_true(adm_stats(a).ejected >= 1);
	now += 60 * SEC;
	got[1] = 0;
	for (i = 0; i < 5; i++)
		spread(a, &now, service, false, got);
	assert_int_equal(adm_stats(a).restored, 1);
	assert_in_range(got[1], 100, 400);
	adm_free(a);
}

/*
 * A broken dependency makes every target fail. Ejecting one after the other
 * would crowd all work onto the last; half of them stay in use.
 */
static void half_of_the_targets_are_never_ejected(void **state)
{
	struct adm *a = fake_zone(8, 1);
	int seen = 0;
	int64_t now = 0;
	int i;

	for (i = 0; i < 400; i++) {
		struct adm_verdict v = fake_offer(a, now, "a", ADM_URGENT);

		fake_done(a, now, v.ticket, ADM_DONE_FAILED, MS);
	}
	for (i = 0; i < 200; i++) {
		struct adm_verdict v = fake_offer(a, now, "a", ADM_URGENT);

		seen |= 1 << v.target;
		fake_done(a, now, v.ticket, ADM_DONE_FAILED, MS);
	}
	assert_true(__builtin_popcount((unsigned)seen) >= 4);
	adm_free(a);
}

/* A request each interval for some seconds; the first target takes 1 s. */
struct load {
	struct adm *a;
	int64_t now;
	adm_ticket tickets[10 * SLOTS];
	int64_t until[10 * SLOTS];
	bool slow[10 * SLOTS];
	int got_slow;
};

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
	l->got_slow += l->slow[i];
}

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
			fake_done(l->a, l->now, l->tickets[i], ADM_DONE_OK,
				  (l->slow[i] ? 1000 : 100) * MS);
			l->tickets[i] = 0;
		}
		n = adm_poll(l->a, l->now, out, 10 * SLOTS, &next);
		for (i = 0; i < n; i++)
			load_start(l, out[i]);
		load_start(l, fake_offer(l->a, l->now, "a", ADM_NORMAL));
	}
}

/*
 * One of ten targets is ten times slower, at half of the pool's load. It isn't
 * ejected, since it answers, yet fewer than one caller in a hundred is held up
 * by it; and it is tried now and then, so that its recovery would be seen.
 */
static void a_slow_target_gets_less(void **state)
{
	struct load l = {.a = fake_zone(10, 1)};

	load_run(&l, 2500, 2 * SEC);
	l.got_slow = 0;
	load_run(&l, 2500, 20 * SEC);
	assert_in_range(l.got_slow, 5, 72);
	assert_int_equal(adm_stats(l.a).ejected, 0);
	adm_free(l.a);
}

/*
 * The same with more load than the pool can do. Its slots are the only ones
 * ever free, yet to wait for a fast one is shorter: callers are not sent there
 * but for the tries.
 */
static void a_slow_target_gets_no_more_under_saturation(void **state)
{
	struct load l = {.a = fake_zone(10, 1)};

	load_run(&l, 1000, 2 * SEC);
	l.got_slow = 0;
	load_run(&l, 1000, 20 * SEC);
	assert_in_range(l.got_slow, 5, 40);
	adm_free(l.a);
}

/*
 * All targets but the slow one are lost. Slow is better than nothing: callers
 * get their answers from it.
 */
static void a_slow_target_is_used_where_there_is_no_other(void **state)
{
	struct load l = {.a = fake_zone(10, 1)};
	uint64_t t;

	load_run(&l, 2500, 2 * SEC);
	for (t = 2; t <= 10; t++)
		fake_state(l.a, l.now, t, ADM_GONE);
	assert_int_equal(fake_offer(l.a, l.now, "a", ADM_URGENT).target, 1);
	adm_free(l.a);
}

/*
 * Three of four targets fail everything at once. Two are ejected, which is the
 * most; the third stays, and still loses against the one that works.
 */
static void a_failing_target_that_stays_is_chosen_last(void **state)
{
	struct adm *a = fake_zone(4, 1);
	int bad = 0;
	int i;

	for (i = 0; i < 300; i++) {
		struct adm_verdict v = fake_offer(a, 0, "a", ADM_URGENT);
		bool fails = v.target != 1;

		bad += fails && i >= 100;
		fake_done(a, 0, v.ticket, fails ? ADM_DONE_FAILED : ADM_DONE_OK,
			  MS);
	}
	assert_in_range(bad, 0, 10);
	adm_free(a);
}

/*
 * Other entry VMs have filled a target. It says so in its answer or refuses;
 * we hold back, and ask again once that knowledge has faded.
 */
static void slots_held_by_others_are_respected(void **state)
{
	const struct adm_result full = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = fake_zone(1, 3);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict out[2];
	struct adm_verdict v;
	int64_t next;
	int i;

	adm_target_busy(a, now, 1, SLOTS - 2);
	for (i = 0; i < 2; i++)
		assert_int_equal(fake_offer(a, now, "a", ADM_NORMAL).kind,
				 ADM_RUN);
	v = fake_offer(a, now, "a", ADM_NORMAL);
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
 * A target refuses each time we ask, since others hold it. We ask less and less
 * often: each ask costs a request a round trip.
 */
static void refusals_in_a_row_are_asked_after_later(void **state)
{
	const struct adm_result full = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = fake_zone(1, 3);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict v = fake_offer(a, now, "a", ADM_NORMAL);
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
 * A caller leaves, or its time is over, while its request runs. The target may
 * go on with it: its slot isn't given to the next one at once.
 */
static void work_given_up_may_still_hold_its_slot(void **state)
{
	struct adm *a = fake_zone(1, 1);
	adm_ticket held[SLOTS] = {0};

	fake_fill(a, 0, held, SLOTS);
	adm_cancel(a, 0, held[0]);
	fake_done(a, 0, held[1], ADM_DONE_TIMEOUT, 0);
	assert_int_equal(fake_offer(a, 0, "a", ADM_NORMAL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * A target is ejected, and its time is over. What may not run twice isn't used
 * to find out whether it still fails, unless there is nothing else for long.
 */
static void probes_are_made_with_repeatable_requests(void **state)
{
	const struct adm_request once = {.caller = LSTR("a"),
					 .class = ADM_NORMAL};
	struct adm *a = fake_zone(2, 1);
	int64_t now = 0;
	int i;

	while (!adm_stats(a).ejected) {
		struct adm_verdict v = fake_offer(a, now, "a", ADM_NORMAL);

		fake_done(a, now, v.ticket,
			  v.target == 1 ? ADM_DONE_FAILED : ADM_DONE_OK, MS);
	}
	now += 2 * SEC;
	for (i = 0; i < 4; i++)
		assert_true(adm_offer(a, now, &once, NULL).target == 2);
	assert_true(fake_offer(a, now, "a", ADM_URGENT).target == 2);
	assert_true(fake_offer(a, now, "a", ADM_NORMAL).target == 1);
	assert_int_equal(adm_stats(a).probes, 1);
	adm_free(a);
}

/* 64 connections of a target, 30 entry VMs: those in use come first. */
static void idle_connections_are_divided(void **state)
{
	struct adm *a = fake_zone(1, 3);

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
		cmocka_unit_test(leaving_targets_get_no_new_work),
		cmocka_unit_test(waiting_ends_when_the_last_target_leaves),
		cmocka_unit_test(a_fast_failing_target_attracts_no_work),
		cmocka_unit_test(a_mended_target_comes_back),
		cmocka_unit_test(half_of_the_targets_are_never_ejected),
		cmocka_unit_test(a_slow_target_gets_less),
		cmocka_unit_test(a_slow_target_gets_no_more_under_saturation),
		cmocka_unit_test(a_slow_target_is_used_where_there_is_no_other),
		cmocka_unit_test(a_failing_target_that_stays_is_chosen_last),
		cmocka_unit_test(slots_held_by_others_are_respected),
		cmocka_unit_test(refusals_in_a_row_are_asked_after_later),
		cmocka_unit_test(work_given_up_may_still_hold_its_slot),
		cmocka_unit_test(probes_are_made_with_repeatable_requests),
		cmocka_unit_test(idle_connections_are_divided),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
