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
 * A valuation is being issued when its connection breaks. It may have run:
 * sending it again could issue it twice, so the caller is told instead. One
 * that never left us goes to another target.
 */
static void what_may_have_run_is_not_sent_again(void **state)
{
	const struct adm_request r = {.caller = LSTR("a")};
	struct adm *a = fake_zone(2, 1);
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
 * A target fails a request while all slots of the others hang. Rather than to
 * wait for them, and to hold up all behind it, it is tried there once more.
 */
static void a_retry_does_not_hold_up_the_queue(void **state)
{
	struct adm *a = fake_zone(2, 1);
	adm_ticket held[2 * SLOTS] = {0};
	struct adm_verdict v = fake_offer(a, 0, "a", ADM_NORMAL);
	struct adm_verdict again;

	fake_fill(a, 0, held, 2 * SLOTS);
	again = adm_retry(a, MS, v.ticket, &failed);
	assert_int_equal(again.kind, ADM_RUN);
	assert_true(again.target == v.target);
	adm_free(a);
}

/*
 * One VM of two has died without a word, and the other is known as slow. The
 * dead one stands alone among the fast targets; a request that could not be
 * sent there goes to the slow one, and is not given up.
 */
static void a_slow_target_is_better_than_a_dead_one(void **state)
{
	const struct adm_request r = {.caller = LSTR("a")};
	struct adm *a = fake_zone(2, 1);
	struct adm_verdict v;
	int64_t now = 0;
	int i;

	/* Target 2 answers ten times slower than target 1 for long. */
	for (i = 0; i < 400; i++) {
		v = fake_offer(a, now, "warm", ADM_NORMAL);
		now += 100 * MS;
		fake_done(a, now, v.ticket, ADM_DONE_OK,
			  v.target == 2 ? 100 * MS : 10 * MS);
	}
	for (i = 0; i < 8; i++) {
		v = adm_offer(a, now, &r, NULL);
		if (v.target == 1)
			v = adm_retry(a, now, v.ticket, &unsent);
		assert_int_equal(v.kind, ADM_RUN);
		assert_int_equal(v.target, 2);
		fake_done(a, now + MS, v.ticket, ADM_DONE_OK, 100 * MS);
		now += 100 * MS;
	}
	adm_free(a);
}

/* Each target fails a request: after three attempts its caller is told. */
static void a_request_is_tried_three_times(void **state)
{
	struct adm *a = fake_zone(3, 1);
	struct adm_verdict v = fake_offer(a, 0, "a", ADM_NORMAL);
	int tries = 1;

	while ((v = adm_retry(a, 0, v.ticket, &failed)).kind == ADM_RUN)
		tries++;
	assert_int_equal(tries, 3);
	assert_int_equal(v.reason, ADM_RETRY_COUNT);
	adm_free(a);
}

/*
 * A fault makes half of all attempts fail. If each were sent again, the load
 * would grow by half just then; retries and hedges together stay under a tenth
 * of what is taken in, and ten.
 */
static void retries_and_hedges_share_a_budget(void **state)
{
	struct adm *a = fake_zone(8, 1);
	struct adm_stats s;
	bool spent = false;
	int i;

	for (i = 0; i < 1000; i++) {
		struct adm_verdict v = fake_offer(a, i, "a", ADM_NORMAL);
		struct adm_verdict h = {0};

		if (i % 4 == 0)
			h = adm_hedge(a, i, v.ticket);
		if (h.kind == ADM_RUN)
			adm_cancel(a, i, h.ticket);
		if (i % 2) {
			fake_done(a, i, v.ticket, ADM_DONE_OK, 1);
			continue;
		}
		v = adm_retry(a, i, v.ticket, &failed);
		spent |= v.reason == ADM_RETRY_BUDGET;
		fake_done(a, i, v.ticket, ADM_DONE_OK, 1);
	}
	s = adm_stats(a);
	assert_true(spent);
	assert_in_range(s.retries + s.hedges, 100, 110);
	assert_true(s.hedges > 10);
	adm_free(a);
}

/*
 * A caller has waited long; a second attempt goes to another target. Work that
 * isn't repeatable gets none, and neither does anyone while others wait.
 */
static void hedges_go_elsewhere_and_only_with_slots_free(void **state)
{
	const struct adm_request once = {.caller = LSTR("a")};
	struct adm *a = fake_zone(2, 1);
	struct adm_verdict v = fake_offer(a, 0, "a", ADM_NORMAL);
	struct adm_verdict h = adm_hedge(a, MS, v.ticket);
	adm_ticket held[2 * SLOTS] = {0};

	assert_int_equal(h.kind, ADM_RUN);
	assert_true(h.target != v.target);
	assert_true(h.ticket != v.ticket);
	assert_int_equal(
		adm_hedge(a, 0, adm_offer(a, 0, &once, NULL).ticket).reason,
		ADM_MAY_HAVE_RUN);
	fake_fill(a, MS, held, 2 * SLOTS);
	assert_int_equal(adm_hedge(a, MS, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(fake_offer(a, MS, "b", ADM_NORMAL).kind, ADM_QUEUED);
	fake_done(a, MS, h.ticket, ADM_DONE_OK, MS);
	assert_int_equal(adm_hedge(a, MS, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(adm_stats(a).refused[ADM_QUEUE_WAIT], 0);
	adm_free(a);
}

/* Late and doubled reports about a ticket that is over change nothing. */
static void a_ticket_is_over_once(void **state)
{
	const struct adm_result ok = {.outcome = ADM_DONE_OK, .busy = -1};
	struct adm *a = fake_zone(1, 1);
	struct adm_verdict v = fake_offer(a, 0, "a", ADM_NORMAL);

	assert_true(adm_done(a, 0, v.ticket, &ok));
	assert_false(adm_done(a, 0, v.ticket, &ok));
	assert_false(adm_cancel(a, 0, v.ticket));
	assert_int_equal(adm_retry(a, 0, v.ticket, &failed).kind, ADM_REFUSE);
	assert_int_equal(adm_hedge(a, 0, v.ticket).kind, ADM_REFUSE);
	assert_int_equal(fake_offer(a, 0, "b", ADM_NORMAL).kind, ADM_RUN);
	assert_false(adm_done(a, 0, v.ticket, &ok));
	assert_int_equal(adm_stats(a).in_flight, 1);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_may_have_run_is_not_sent_again),
		cmocka_unit_test(a_retry_does_not_hold_up_the_queue),
		cmocka_unit_test(a_slow_target_is_better_than_a_dead_one),
		cmocka_unit_test(a_request_is_tried_three_times),
		cmocka_unit_test(retries_and_hedges_share_a_budget),
		cmocka_unit_test(hedges_go_elsewhere_and_only_with_slots_free),
		cmocka_unit_test(a_ticket_is_over_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
