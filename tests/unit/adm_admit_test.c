#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/*
 * Guards against callers that wait in vain under saturation. Requests beyond
 * the slots are queued, and those that would wait longer than the pool allows
 * are refused immediately, with a retry delay.
 */
static void saturated_pool_refuses_excess_immediately(void **state)
{
	struct adm *a = new_zone(2, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	int kinds[ADM_REFUSE + 1] = {0};
	struct adm_verdict v = {0};
	int i;

	for (i = 0; i < 200; i++) {
		char caller[2] = {(char)('a' + i % 8), 0};

		v = offer_request(a, now, caller, ADM_NORMAL);
		kinds[v.kind]++;
	}
	assert_int_equal(kinds[ADM_RUN], 2 * SLOTS);
	/* 500 ms of queue at 16 slots and 100 ms per request */
	assert_in_range(kinds[ADM_QUEUED], 64, 80);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_QUEUE_WAIT);
	assert_in_range(v.retry_after_ms, 50, 1000);
	adm_free(a);
}

/*
 * Guards against work that can't be done in time. A deadline shorter than any
 * measured service time is refused although slots are free, and without a retry
 * delay, as a retry would not help.
 */
static void deadline_below_service_time_is_refused(void **state)
{
	struct adm *a = new_zone(2, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	const struct adm_request r = {.caller = LSTR("a"),
				      .deadline_us = now + 20 * MS};
	struct adm_verdict v = adm_offer(a, now, &r, NULL);

	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_DEADLINE_SHORT);
	assert_int_equal(v.retry_after_ms, 0);
	adm_free(a);
}

/*
 * Guards against permanent refusals after a period of slow targets. Once the
 * estimate is stale, a request with a short deadline is admitted, as otherwise
 * no new service time would ever be measured.
 */
static void stale_estimate_refuses_no_request(void **state)
{
	struct adm *a = new_zone(2, 1);
	int64_t now = warm_up(a, 0, 20, SEC);
	struct adm_request r = {.caller = LSTR("a")};

	r.deadline_us = now + 9 * SEC + 300 * MS;
	assert_int_equal(adm_offer(a, now + 9 * SEC, &r, NULL).reason,
			 ADM_DEADLINE_SHORT);
	r.deadline_us = now + 10 * SEC + 300 * MS;
	assert_int_equal(adm_offer(a, now + 10 * SEC, &r, NULL).kind, ADM_RUN);
	adm_free(a);
}

/*
 * Guards against requests that are started too late. The queue would delay the
 * start by 400 ms, the deadline is in 450 ms, and the service time is 100 ms:
 * the request is refused when it is offered.
 */
static void deadline_missed_by_queueing_is_refused(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_request r = {.caller = LSTR("a"), .class = ADM_NORMAL};
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int i;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 4 * SLOTS - 1; i++)
		offer_request(a, now, "a", ADM_NORMAL);
	r.deadline_us = now + 450 * MS;
	v = adm_offer(a, now, &r, NULL);
	assert_int_equal(v.reason, ADM_DEADLINE_LOAD);
	assert_in_range(v.retry_after_ms, 400, 600);
	r.deadline_us = now + 900 * MS;
	assert_int_equal(adm_offer(a, now, &r, NULL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * Guards against requests that wait without limit for slots held by hanging
 * requests. A waiting request is refused when the longest wait of the pool has
 * passed, and its ticket becomes invalid.
 */
static void longest_wait_ends_in_refusal(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict out[4];
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int64_t next;

	assert_int_equal(fill_slots(a, now, held, SLOTS), SLOTS);
	v = offer_request(a, now, "b", ADM_NORMAL);
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
 * Guards against estimates that trust declared sizes. A caller declares long
 * requests as tiny; after some answers, the measured time of that size group
 * decides, and a deadline that such requests can't meet is refused.
 */
static void measured_time_overrides_declared_size(void **state)
{
	struct adm *a = new_zone(2, 1);
	struct adm_request r = {.caller = LSTR("a"), .size_hint = 1};
	struct adm_verdict v;
	int64_t now = 0;
	int i;

	for (i = 0; i < 40; i++) {
		r.deadline_us = 0;
		v = adm_offer(a, now, &r, NULL);
		now += SEC;
		end_request(a, now, v.ticket, ADM_DONE_OK, SEC);
		now = warm_up(a, now, 4, 10 * MS);
	}
	r.deadline_us = now + 300 * MS;
	v = adm_offer(a, now, &r, NULL);
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_DEADLINE_SHORT);
	adm_free(a);
}

/*
 * Guards against abandoned work after a flood of cancellations. Waiting and
 * running requests are cancelled; none of them is started afterwards, and the
 * counts of queued and running requests are 0.
 */
static void cancelled_requests_free_queue_and_slots(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict out[8];
	adm_ticket held[SLOTS] = {0};
	adm_ticket waiting[20];
	int64_t next;
	int i;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 20; i++)
		waiting[i] = offer_request(a, now, "b", ADM_NORMAL).ticket;
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
 * Guards against one caller that uses all queue memory while no service time is
 * measured, so that waits can't be estimated. The caller gets an eighth of the
 * memory, and a request of another caller is still queued.
 */
static void one_caller_gets_an_eighth_of_queue_memory(void **state)
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
	set_target_state(a, 0, 1, ADM_SERVING);
	fill_slots(a, 0, held, SLOTS);
	for (i = 0; i < 100; i++) {
		v = offer_request(a, 0, "flood", ADM_NORMAL);
		waiting += v.kind == ADM_QUEUED;
	}
	assert_int_equal(v.reason, ADM_QUEUE_FULL);
	assert_int_equal(waiting, 11);
	assert_int_equal(offer_request(a, 0, "b", ADM_NORMAL).kind, ADM_QUEUED);
	adm_free(a);
}

/*
 * Guards against a low-priority pool that uses all queue memory. Many callers
 * send to two pools while no service time is measured: the last quarter of the
 * memory is reserved for the pool of higher priority, and the limit holds.
 */
static void queue_memory_is_reserved_for_high_priority(void **state)
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
		cmocka_unit_test(saturated_pool_refuses_excess_immediately),
		cmocka_unit_test(deadline_below_service_time_is_refused),
		cmocka_unit_test(stale_estimate_refuses_no_request),
		cmocka_unit_test(deadline_missed_by_queueing_is_refused),
		cmocka_unit_test(longest_wait_ends_in_refusal),
		cmocka_unit_test(measured_time_overrides_declared_size),
		cmocka_unit_test(cancelled_requests_free_queue_and_slots),
		cmocka_unit_test(one_caller_gets_an_eighth_of_queue_memory),
		cmocka_unit_test(queue_memory_is_reserved_for_high_priority),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
