#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

static const struct adm_result failed = {.outcome = ADM_DONE_FAILED,
					 .busy = -1};
static const struct adm_result unsent = {.outcome = ADM_DONE_UNSENT,
					 .busy = -1};

/*
 * Guards against running a request twice that is not repeatable, such as one
 * that issues a valuation. If its connection breaks, it may have run and is
 * refused; a request that was not sent is retried on another target.
 */
static void request_that_may_have_run_is_not_retried(void **state)
{
	const struct adm_request r = {.caller = LSTR("a")};
	struct adm *a = new_zone(2, 1);
	struct adm_verdict v = adm_offer(a, 0, &r, NULL);
	struct adm_verdict again;

	again = adm_retry(a, MS, v.ticket, &failed);
	assert_int_equal(again.kind, ADM_REFUSE);
	assert_int_equal(again.reason, ADM_MAY_HAVE_RUN);
	assert_int_equal(again.retry_after_ms, 0);
	assert_int_equal(adm_stats(a).in_flight, 0);

	v = adm_offer(a, 0, &r, NULL);
	again = adm_retry(a, MS, v.ticket, &unsent);
	assert_int_equal(again.kind, ADM_RUN);
	assert_true(again.target != v.target);
	adm_free(a);
}

/*
 * Guards against head-of-line blocking by a retry. A target fails a request
 * while all slots of the other target are held by hanging requests; the retry
 * goes to the same target instead of waiting.
 */
static void retry_does_not_block_the_queue(void **state)
{
	struct adm *a = new_zone(2, 1);
	adm_ticket held[2 * SLOTS] = {0};
	struct adm_verdict v = offer_request(a, 0, "a", ADM_NORMAL);
	struct adm_verdict again;

	fill_slots(a, 0, held, 2 * SLOTS);
	again = adm_retry(a, MS, v.ticket, &failed);
	assert_int_equal(again.kind, ADM_RUN);
	assert_true(again.target == v.target);
	adm_free(a);
}

/*
 * Guards against refusals while a slow target is left. One of two targets is
 * down but not ejected, so that it is the only fast one, and the other is slow.
 * A request that could not be sent to the first goes to the second.
 */
static void retry_prefers_slow_target_over_dead_one(void **state)
{
	const struct adm_request r = {.caller = LSTR("a")};
	struct adm *a = new_zone(2, 1);
	struct adm_verdict v;
	int64_t now = 0;
	int i;

	/* Target 2 is ten times slower than target 1 for a long time. */
	for (i = 0; i < 400; i++) {
		v = offer_request(a, now, "warm", ADM_NORMAL);
		now += 100 * MS;
		end_request(a, now, v.ticket, ADM_DONE_OK,
			    v.target == 2 ? 100 * MS : 10 * MS);
	}
	for (i = 0; i < 8; i++) {
		v = adm_offer(a, now, &r, NULL);
		if (v.target == 1)
			v = adm_retry(a, now, v.ticket, &unsent);
		assert_int_equal(v.kind, ADM_RUN);
		assert_int_equal(v.target, 2);
		end_request(a, now + MS, v.ticket, ADM_DONE_OK, 100 * MS);
		now += 100 * MS;
	}
	adm_free(a);
}

/*
 * Guards against unlimited retries. Every target fails a request; it is refused
 * after three attempts.
 */
static void request_is_attempted_three_times(void **state)
{
	struct adm *a = new_zone(3, 1);
	struct adm_verdict v = offer_request(a, 0, "a", ADM_NORMAL);
	int tries = 1;

	while ((v = adm_retry(a, 0, v.ticket, &failed)).kind == ADM_RUN)
		tries++;
	assert_int_equal(tries, 3);
	assert_int_equal(v.reason, ADM_RETRY_COUNT);
	adm_free(a);
}

/*
 * Guards against a retry storm. Half of all attempts fail, and retrying each of
 * them would add half to the load; retries and hedges together are limited to a
 * tenth of the accepted requests plus ten.
 */
static void retries_and_hedges_share_a_budget(void **state)
{
	struct adm *a = new_zone(8, 1);
	struct adm_stats s;
	bool budget_spent = false;
	int i;

	for (i = 0; i < 1000; i++) {
		struct adm_verdict v = offer_request(a, i, "a", ADM_NORMAL);
		struct adm_verdict h = {0};

		if (i % 4 == 0)
			h = adm_hedge(a, i, v.ticket);
		if (h.kind == ADM_RUN)
			adm_cancel(a, i, h.ticket);
		if (i % 2) {
			end_request(a, i, v.ticket, ADM_DONE_OK, 1);
			continue;
		}
		v = adm_retry(a, i, v.ticket, &failed);
		budget_spent |= v.reason == ADM_RETRY_BUDGET;
		end_request(a, i, v.ticket, ADM_DONE_OK, 1);
	}
	s = adm_stats(a);
	assert_true(budget_spent);
	assert_in_range(s.retries + s.hedges, 100, 110);
	assert_true(s.hedges > 10);
	adm_free(a);
}

/*
 * Guards against hedges that do harm. A hedge goes to another target than the
 * first attempt; it is refused for a request that is not repeatable, without a
 * free slot, and while other requests wait.
 */
static void hedge_needs_another_target_and_free_slots(void **state)
{
	const struct adm_request once = {.caller = LSTR("a")};
	struct adm *a = new_zone(2, 1);
	struct adm_verdict v = offer_request(a, 0, "a", ADM_NORMAL);
	struct adm_verdict h = adm_hedge(a, MS, v.ticket);
	adm_ticket held[2 * SLOTS] = {0};

	assert_int_equal(h.kind, ADM_RUN);
	assert_true(h.target != v.target);
	assert_true(h.ticket != v.ticket);
	assert_int_equal(
		adm_hedge(a, 0, adm_offer(a, 0, &once, NULL).ticket).reason,
		ADM_MAY_HAVE_RUN);
	fill_slots(a, MS, held, 2 * SLOTS);
	assert_int_equal(adm_hedge(a, MS, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(offer_request(a, MS, "b", ADM_NORMAL).kind,
			 ADM_QUEUED);
	end_request(a, MS, h.ticket, ADM_DONE_OK, MS);
	assert_int_equal(adm_hedge(a, MS, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(adm_stats(a).refused[ADM_QUEUE_WAIT], 0);
	adm_free(a);
}

/*
 * Guards against late and duplicate reports for a request that has ended. They
 * are rejected and change nothing, even after its record is reused.
 */
static void ended_ticket_is_rejected(void **state)
{
	const struct adm_result ok = {.outcome = ADM_DONE_OK, .busy = -1};
	struct adm *a = new_zone(1, 1);
	struct adm_verdict v = offer_request(a, 0, "a", ADM_NORMAL);

	assert_true(adm_done(a, 0, v.ticket, &ok));
	assert_false(adm_done(a, 0, v.ticket, &ok));
	assert_false(adm_cancel(a, 0, v.ticket));
	assert_int_equal(adm_retry(a, 0, v.ticket, &failed).kind, ADM_REFUSE);
	assert_int_equal(adm_hedge(a, 0, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(offer_request(a, 0, "b", ADM_NORMAL).kind, ADM_RUN);
	assert_false(adm_done(a, 0, v.ticket, &ok));
	assert_int_equal(adm_stats(a).in_flight, 1);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_that_may_have_run_is_not_retried),
		cmocka_unit_test(retry_does_not_block_the_queue),
		cmocka_unit_test(retry_prefers_slow_target_over_dead_one),
		cmocka_unit_test(request_is_attempted_three_times),
		cmocka_unit_test(retries_and_hedges_share_a_budget),
		cmocka_unit_test(hedge_needs_another_target_and_free_slots),
		cmocka_unit_test(ended_ticket_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
