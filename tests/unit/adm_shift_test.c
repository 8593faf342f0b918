#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/* Reports the spare capacity of a zone for pool 0. */
static void report_capacity(struct adm *a, int64_t now, int zone,
			    uint32_t spare)
{
	adm_set_zone_capacity(
		a, now, 0, zone,
		(struct adm_spare_capacity){.slots = 80, .free = spare}, 0);
}

/*
 * Offers requests until one is not shifted. Returns the number of shifted ones,
 * and the verdict about the last request in last.
 */
static int shift_all(struct adm *a, int64_t now, struct adm_verdict *last)
{
	int n = 0;

	while ((*last = offer_request(a, now, "a", ADM_NORMAL)).kind ==
	       ADM_SHIFT)
		n++;
	return n;
}

/*
 * Guards against cascading overload after the loss of zones. The six entry VMs
 * of two zones without targets shift requests to the third simultaneously.
 * Together they shift no more than the capacity that it reported; the rest is
 * refused immediately.
 */
static void lost_zones_share_capacity_of_third_zone(void **state)
{
	int sum = 0;
	int i;

	for (i = 0; i < 6; i++) {
		struct adm *a = new_zone(0, 3);
		struct adm_verdict v;

		adm_set_entries(a, 3, 6);
		report_capacity(a, 0, 2, 20);
		sum += shift_all(a, 0, &v);
		assert_int_equal(v.reason, ADM_NO_TARGETS);
		adm_free(a);
	}
	assert_in_range(sum, 12, 20);
}

/*
 * Guards against unused capacity in another zone. Each shifted request that
 * ends allows the next one to be shifted.
 */
static void ended_shifted_request_frees_credit(void **state)
{
	struct adm *a = new_zone(0, 1);
	struct adm_verdict v;
	struct adm_verdict first;

	report_capacity(a, 0, 1, 4);
	first = offer_request(a, 0, "a", ADM_NORMAL);
	assert_int_equal(first.kind, ADM_SHIFT);
	assert_int_equal(first.zone, 1);
	assert_int_equal(shift_all(a, 0, &v), 3);
	end_request(a, MS, first.ticket, ADM_DONE_OK, MS);
	assert_int_equal(shift_all(a, MS, &v), 1);
	adm_free(a);
}

/*
 * Guards against shifting to a zone that is partitioned. Its last report is
 * used in full for 1 s, then to a decreasing part, and not at all after 5 s.
 */
static void capacity_report_decays_with_age(void **state)
{
	const int64_t ages[] = {SEC, 3 * SEC, 5 * SEC};
	const int shifted[] = {20, 10, 0};
	int i;

	for (i = 0; i < 3; i++) {
		struct adm *a = new_zone(0, 1);
		struct adm_verdict v;

		report_capacity(a, 0, 1, 20);
		assert_int_equal(shift_all(a, ages[i], &v), shifted[i]);
		adm_free(a);
	}
}

/*
 * Guards against a request that is shifted between zones until its deadline.
 * Two zones have lost their targets; a request that one of them shifted to the
 * other is refused there, not shifted back or to a third zone.
 */
static void request_is_shifted_at_most_once(void **state)
{
	const struct adm_request r = {.caller = LSTR("a"), .shifted = true};
	struct adm *a = new_zone(0, 1);

	report_capacity(a, 0, 1, 20);
	assert_int_equal(adm_offer(a, 0, &r, NULL).reason, ADM_NO_TARGETS);
	adm_free(a);
}

/*
 * Guards against shifted requests that fill all slots of a zone. If it gets
 * more than it has capacity for, it accepts them up to its reserve and refuses
 * the rest immediately; its own callers still get slots.
 */
static void shifted_requests_leave_reserve_of_zone(void **state)
{
	const struct adm_request shifted = {.caller = LSTR("a"),
					    .shifted = true};
	struct adm *a = new_zone(5, 1);
	struct adm_verdict v;
	int n = 0;

	while ((v = adm_offer(a, 0, &shifted, NULL)).kind == ADM_RUN)
		n++;
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_ZONE_FULL);
	assert_int_equal(n, 5 * SLOTS * 4 / 5);
	assert_int_equal(adm_spare_capacity(a, 0, 0).free, 0);
	assert_int_equal(offer_request(a, 0, "own", ADM_NORMAL).kind, ADM_RUN);
	adm_free(a);
}

/*
 * Guards against continued shifting to a zone that refuses. Shifting to it is
 * paused, and then resumes with less credit; the refused request may still run
 * in its own zone.
 */
static void refusal_pauses_and_reduces_shifting(void **state)
{
	const struct adm_result busy = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = new_zone(0, 1);
	struct adm_verdict v;
	struct adm_verdict last;

	report_capacity(a, 0, 1, 16);
	v = offer_request(a, 0, "a", ADM_NORMAL);
	set_target_state(a, 0, 1, ADM_SERVING);
	v = adm_retry(a, MS, v.ticket, &busy);
	assert_int_equal(v.kind, ADM_RUN);
	set_target_state(a, MS, 1, ADM_REMOVED);
	assert_int_equal(shift_all(a, MS, &last), 0);
	assert_int_equal(shift_all(a, 50 * MS, &last), 0);
	assert_int_equal(shift_all(a, 51 * MS, &last), 14);
	adm_free(a);
}

/*
 * Guards against a loss of credit with each report. The VMs of a zone report
 * every half second, and by chance few shifted requests are in flight at that
 * time. The credit for the recent peak is kept while the zone has spare
 * capacity, and is lost once it reports none.
 */
static void capacity_report_keeps_recent_peak(void **state)
{
	struct adm *a = new_zone(0, 1);
	adm_ticket tickets[8] = {0};
	struct adm_verdict last;
	int i;

	report_capacity(a, SEC, 1, 8);
	for (i = 0; i < 8; i++)
		tickets[i] = offer_request(a, SEC, "a", ADM_NORMAL).ticket;
	for (i = 0; i < 6; i++)
		end_request(a, SEC, tickets[i], ADM_DONE_OK, MS);
	report_capacity(a, SEC + 500 * MS, 1, 1);
	report_capacity(a, SEC + 500 * MS, 1, 1);
	assert_int_equal(shift_all(a, SEC + 500 * MS, &last), 6 + 1);
	end_request(a, SEC + 500 * MS, tickets[6], ADM_DONE_OK, MS);
	report_capacity(a, 2 * SEC, 1, 0);
	assert_int_equal(shift_all(a, 2 * SEC, &last), 0);
	adm_free(a);
}

/*
 * Guards against oscillation between zones. In a burst that the queue absorbs,
 * requests stay in their zone; they are shifted once the wait has been long for
 * some time, until it has been short for 1 s.
 */
static void shifting_has_hysteresis(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 100 * MS);
	struct adm_verdict out[16];
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int64_t next;
	int i;

	report_capacity(a, now, 1, 40);
	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 25; i++) {
		v = offer_request(a, now, "a", ADM_NORMAL);
		assert_int_equal(v.kind, ADM_QUEUED);
	}
	now += 100 * MS;
	assert_int_equal(offer_request(a, now, "a", ADM_NORMAL).kind,
			 ADM_SHIFT);
	for (i = 0; i < SLOTS; i++)
		end_request(a, now, held[i], ADM_DONE_OK, 100 * MS);
	assert_int_equal(adm_poll(a, now, out, 16, &next), SLOTS);
	for (i = 0; i < SLOTS; i++)
		held[i] = out[i].ticket;
	now += 500 * MS;
	adm_poll(a, now, out, 16, &next);
	adm_poll(a, now, out, 16, &next);
	assert_int_equal(adm_stats(a).in_queue, 0);
	assert_int_equal(offer_request(a, now, "a", ADM_NORMAL).kind,
			 ADM_SHIFT);
	end_request(a, now, held[0], ADM_DONE_OK, 100 * MS);
	held[0] = offer_request(a, now, "a", ADM_NORMAL).ticket;
	now += SEC;
	end_request(a, now, held[0], ADM_DONE_OK, 100 * MS);
	assert_int_equal(offer_request(a, now, "a", ADM_NORMAL).kind, ADM_RUN);
	report_capacity(a, now, 1, 40);
	assert_int_equal(offer_request(a, now, "a", ADM_NORMAL).kind,
			 ADM_QUEUED);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_zones_share_capacity_of_third_zone),
		cmocka_unit_test(ended_shifted_request_frees_credit),
		cmocka_unit_test(capacity_report_decays_with_age),
		cmocka_unit_test(request_is_shifted_at_most_once),
		cmocka_unit_test(shifted_requests_leave_reserve_of_zone),
		cmocka_unit_test(refusal_pauses_and_reduces_shifting),
		cmocka_unit_test(capacity_report_keeps_recent_peak),
		cmocka_unit_test(shifting_has_hysteresis),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
