#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/*
 * Callers send more than the slots run. The first ones run, the next wait, and
 * those who would wait longer than the pool allows are told so at once and
 * when to come back, not after the wait.
 */
static void saturation_is_refused_at_once(void **state)
{
	struct adm *a = fake_zone(2, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	int kinds[ADM_REFUSE + 1] = {0};
	struct adm_verdict v = {0};
	int i;

	for (i = 0; i < 200; i++) {
		char caller[2] = {(char)('a' + i % 8), 0};

		v = fake_offer(a, now, caller, ADM_NORMAL);
		kinds[v.kind]++;
	}
	assert_int_equal(kinds[ADM_RUN], 2 * SLOTS);
	/* 500 ms of queue at 16 slots of 100 ms */
	assert_in_range(kinds[ADM_QUEUED], 64, 80);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_QUEUE_WAIT);
	assert_in_range(v.retry_after_ms, 50, 1000);
	adm_free(a);
}

/*
 * A request's deadline is nearer than any of its kind was ever done. It is
 * refused although slots are free; no wait helps, so none is named.
 */
static void too_short_a_deadline_is_refused(void **state)
{
	struct adm *a = fake_zone(2, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	const struct adm_request r = {.caller = LSTR("a"),
				      .deadline_us = now + 20 * MS};
	struct adm_verdict v = adm_offer(a, now, &r, NULL);

	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_DEADLINE_SHORT);
	assert_int_equal(v.retry_after_ms, 0);
	adm_free(a);
}

/*
 * Targets were slow for a while, then nobody asked for long. A caller with a
 * deadline that was too short then is let through, else nothing would ever be
 * learnt about how fast they are now.
 */
static void old_measurements_refuse_nobody(void **state)
{
	struct adm *a = fake_zone(2, 1);
	int64_t now = fake_learn(a, 0, 20, SEC);
	struct adm_request r = {.caller = LSTR("a")};

	r.deadline_us = now + 9 * SEC + 300 * MS;
	assert_int_equal(adm_offer(a, now + 9 * SEC, &r, NULL).reason,
			 ADM_DEADLINE_SHORT);
	r.deadline_us = now + 10 * SEC + 300 * MS;
	assert_int_equal(adm_offer(a, now + 10 * SEC, &r, NULL).kind, ADM_RUN);
	adm_free(a);
}

/*
 * The queue would let a request start after 400 ms; its deadline is in 450 ms
 * and its kind takes 100 ms. It is refused now, not started in vain then.
 */
static void a_deadline_that_the_queue_spends_is_refused(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_request r = {.caller = LSTR("a"), .class = ADM_NORMAL};
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int i;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 4 * SLOTS - 1; i++)
		fake_offer(a, now, "a", ADM_NORMAL);
	r.deadline_us = now + 450 * MS;
	v = adm_offer(a, now, &r, NULL);
	assert_int_equal(v.reason, ADM_DEADLINE_LOAD);
	assert_in_range(v.retry_after_ms, 400, 600);
	r.deadline_us = now + 900 * MS;
	assert_int_equal(adm_offer(a, now, &r, NULL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * All slots are held by work that hangs. A waiting request is given up when
 * its longest wait is over, and a slot that comes free then isn't its own.
 */
static void waiting_ends_in_a_refusal(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict out[4];
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int64_t next;

	assert_int_equal(fake_fill(a, now, held, SLOTS), SLOTS);
	v = fake_offer(a, now, "b", ADM_NORMAL);
	assert_int_equal(v.kind, ADM_QUEUED);
	assert_int_equal(adm_poll(a, now + 499 * MS, out, 4, &next), 0);
	assert_true(next <= now + 500 * MS);
	assert_int_equal(adm_poll(a, now + 500 * MS, out, 4, &next), 1);
	assert_int_equal(out[0].kind, ADM_REFUSE);
	assert_int_equal(out[0].reason, ADM_QUEUE_WAIT);
	assert_true(out[0].ticket == v.ticket);
	assert_false(adm_cancel(a, now + 500 * MS, v.ticket));
	assert_true(next == ADM_NEVER);
	adm_free(a);
}

/*
 * A caller declares its long work as tiny. After a few answers the size says
 * nothing good any more: a deadline that long work can't meet is refused.
 */
static void declared_sizes_are_corrected_by_measuring(void **state)
{
	struct adm *a = fake_zone(2, 1);
	struct adm_request r = {.caller = LSTR("a"), .size_hint = 1};
	struct adm_verdict v;
	int64_t now = 0;
	int i;

	for (i = 0; i < 40; i++) {
		r.deadline_us = 0;
		v = adm_offer(a, now, &r, NULL);
		now += SEC;
		fake_done(a, now, v.ticket, ADM_DONE_OK, SEC);
		now = fake_learn(a, now, 4, 10 * MS);
	}
	r.deadline_us = now + 300 * MS;
	v = adm_offer(a, now, &r, NULL);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_DEADLINE_SHORT);
	adm_free(a);
}

/*
 * A flood of cancellations: callers leave while they wait and while they run.
 * Nothing of theirs is started afterwards, and their slots are free.
 */
static void callers_who_leave_free_their_places(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict out[8];
	adm_ticket held[SLOTS] = {0};
	adm_ticket waiting[20];
	int64_t next;
	int i;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 20; i++)
		waiting[i] = fake_offer(a, now, "b", ADM_NORMAL).ticket;
	for (i = 0; i < 20; i++)
		assert_true(adm_cancel(a, now, waiting[i]));
	for (i = 0; i < SLOTS; i++)
		assert_true(adm_cancel(a, now, held[i]));
	assert_int_equal(adm_poll(a, now, out, 8, &next), 0);
	assert_int_equal(adm_stats(a).in_flight, 0);
	assert_int_equal(adm_stats(a).in_queue, 0);
	adm_free(a);
}

/*
 * Before any answer no wait can be foretold. One caller floods: it may hold an
 * eighth of the memory, and the next caller still finds a place.
 */
static void memory_is_bounded_and_shared(void **state)
{
	const struct adm_config conf = {
		.seed = 1, .entries = 1, .queue_max = 80};
	const struct adm_pool_spec pool = {.slots = SLOTS,
					   .conns = 64,
					   .queue_us = 500 * MS,
					   .deadline_us = 2 * SEC};
	struct adm *a = adm_new(&conf);
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int waiting = 0;
	int i;

	adm_pool_set(a, 0, &pool);
	fake_state(a, 0, 1, ADM_SERVING);
	fake_fill(a, 0, held, SLOTS);
	for (i = 0; i < 100; i++) {
		v = fake_offer(a, 0, "flood", ADM_NORMAL);
		waiting += v.kind == ADM_QUEUED;
	}
	assert_int_equal(v.reason, ADM_QUEUE_FULL);
	assert_int_equal(waiting, 11);
	assert_int_equal(fake_offer(a, 0, "b", ADM_NORMAL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * Before any answer many callers come at once, for two pools. All the memory
 * is used up and no more; its last quarter is for the pool of higher priority.
 */
static void memory_is_kept_for_the_higher_priority(void **state)
{
	const struct adm_config conf = {
		.seed = 1, .entries = 1, .queue_max = 80};
	struct adm_pool_spec pool = {.slots = 1,
				     .conns = 64,
				     .queue_us = 500 * MS,
				     .deadline_us = 2 * SEC};
	struct adm_target_spec serving = {.lease_until_us = ADM_NEVER};
	struct adm_request r = {.class = ADM_NORMAL};
	struct adm *a = adm_new(&conf);
	int queued[2] = {0};
	char caller;
	int i;

	for (r.pool = 0; r.pool < 2; r.pool++) {
		pool.priority = (int)r.pool;
		adm_pool_set(a, r.pool, &pool);
		serving.pool = r.pool;
		adm_target_set(a, 0, r.pool, &serving);
	}
	for (r.pool = 0; r.pool < 2; r.pool++) {
		for (i = 0; i < 100; i++) {
			caller = (char)i;
			r.caller = lstr_n(&caller, 1);
			queued[r.pool] +=
				adm_offer(a, 0, &r, NULL).kind == ADM_QUEUED;
		}
	}
	assert_int_equal(queued[0], 60);
	assert_int_equal(queued[1], 20);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(saturation_is_refused_at_once),
		cmocka_unit_test(too_short_a_deadline_is_refused),
		cmocka_unit_test(old_measurements_refuse_nobody),
		cmocka_unit_test(a_deadline_that_the_queue_spends_is_refused),
		cmocka_unit_test(waiting_ends_in_a_refusal),
		cmocka_unit_test(declared_sizes_are_corrected_by_measuring),
		cmocka_unit_test(callers_who_leave_free_their_places),
		cmocka_unit_test(memory_is_bounded_and_shared),
		cmocka_unit_test(memory_is_kept_for_the_higher_priority),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
