#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/*
 * Ends the request *held and returns the verdict about the request that is
 * started in its place, with its ticket in *held.
 */
static struct adm_verdict replace_ended_request(struct adm *a, int64_t now,
						adm_ticket *held)
{
	struct adm_verdict out[1] = {{0}};
	int64_t next;

	end_request(a, now, *held, ADM_DONE_OK, 10 * MS);
	adm_poll(a, now, out, 1, &next);
	*held = out[0].ticket;
	return out[0];
}

/*
 * Guards against a flooding caller that delays all others. The few requests of
 * a second caller start in turn with those of the first, not behind all of
 * them.
 */
static void flooding_caller_does_not_delay_others(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	adm_ticket quiet[3];
	int order[3] = {0};
	int i;
	int j;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 100; i++)
		offer_request(a, now, "flood", ADM_NORMAL);
	for (i = 0; i < 3; i++)
		quiet[i] = offer_request(a, now, "quiet", ADM_NORMAL).ticket;
	for (i = 0; i < 12; i++) {
		struct adm_verdict v = replace_ended_request(a, now, &held[0]);

		for (j = 0; j < 3; j++)
			if (v.ticket == quiet[j])
				order[j] = i + 1;
	}
	assert_in_range(order[0], 1, 2);
	assert_in_range(order[1], 2, 4);
	assert_in_range(order[2], 3, 6);
	adm_free(a);
}

/*
 * Guards against fair queueing by the number of requests: a caller whose
 * requests run ten times longer, at the same declared size, would get ten
 * elevenths of the pool. By slot time each caller gets about half.
 */
static void callers_share_slot_time_equally(void **state)
{
	struct adm *a = new_zone(1, 1);
	const struct adm_request shorts = {.caller = LSTR("short"),
					   .class = ADM_NORMAL,
					   .deadline_us = 100 * SEC};
	const struct adm_request longs = {.caller = LSTR("long"),
					  .class = ADM_NORMAL,
					  .deadline_us = 100 * SEC};
	static int long_user;
	int64_t now = warm_up(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict out[1];
	bool is_long = false;
	int64_t next;
	int starts[2] = {0};
	int i;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 300; i++) {
		adm_offer(a, now, &shorts, NULL);
		adm_offer(a, now, &longs, &long_user);
		end_request(a, now, held[0], ADM_DONE_OK,
			    (is_long ? 100 : 10) * MS);
		assert_int_equal(adm_poll(a, now, out, 1, &next), 1);
		assert_int_equal(out[0].kind, ADM_RUN);
		held[0] = out[0].ticket;
		is_long = out[0].user == &long_user;
		starts[is_long]++;
	}
	assert_in_range(starts[0], 8 * starts[1], 13 * starts[1]);
	adm_free(a);
}

/*
 * Guards against urgent requests that wait behind a long queue, and against
 * starvation of the other classes in a storm. Urgent requests start first,
 * while normal and batch work still get their minimum number of starts.
 */
static void urgent_starts_first_without_starving_others(void **state)
{
	struct adm *a = new_zone(1, 1);
	static int user[ADM_CLASSES];
	struct adm_request r = {.caller = LSTR("a"), .deadline_us = 100 * SEC};
	int64_t now = warm_up(a, 0, 20, 10 * MS);
	int starts[ADM_CLASSES] = {0};
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int i;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 120; i++) {
		r.class = i % 2 ? ADM_NORMAL : ADM_BATCH;
		adm_offer(a, now, &r, &user[r.class]);
	}
	r.class = ADM_URGENT;
	for (i = 0; i < 90; i++) {
		adm_offer(a, now, &r, &user[ADM_URGENT]);
		v = replace_ended_request(a, now, &held[0]);
		assert_int_equal(v.kind, ADM_RUN);
		starts[(int *)v.user - user]++;
		if (i == 0)
			assert_ptr_equal(v.user, &user[ADM_URGENT]);
	}
	assert_in_range(starts[ADM_URGENT], 70, 80);
	assert_in_range(starts[ADM_NORMAL], 8, 12);
	assert_in_range(starts[ADM_BATCH], 4, 6);
	adm_free(a);
}

/*
 * Guards against long batch work that takes all slots of an idle pool, so that
 * an urgent request would wait for minutes. Batch work leaves one slot of each
 * target free.
 */
static void batch_work_leaves_one_slot_per_target(void **state)
{
	struct adm *a = new_zone(2, 1);
	int i;
	int ran = 0;

	for (i = 0; i < 40; i++)
		ran += offer_request(a, 0, "archive", ADM_BATCH).kind ==
		       ADM_RUN;
	assert_int_equal(ran, 2 * (SLOTS - 1));
	adm_free(a);

	a = new_zone(2, 1);
	for (i = 0; i < 2 * (SLOTS - 1); i++)
		offer_request(a, 0, "archive", ADM_BATCH);
	assert_int_equal(offer_request(a, 0, "duty", ADM_URGENT).kind, ADM_RUN);
	adm_free(a);
}

/*
 * Guards against a standing queue under sustained overload. After a time, the
 * longest wait is reduced to two service times, and the requests that exceed it
 * are refused immediately.
 */
static void sustained_overload_keeps_queue_short(void **state)
{
	struct adm *a = new_zone(1, 1);
	int64_t now = warm_up(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	uint32_t longest = 0;
	int i;
	int j;

	fill_slots(a, now, held, SLOTS);
	for (i = 0; i < 1500; i++) {
		char caller[2] = {(char)('a' + i % 4), 0};

		now += 10 * MS / SLOTS;
		for (j = 0; j < 3; j++)
			offer_request(a, now, caller, ADM_NORMAL);
		replace_ended_request(a, now, &held[i % SLOTS]);
		longest = MAX(longest, adm_stats(a).in_queue);
	}
	assert_in_range(longest, 300, 410);
	assert_in_range(adm_stats(a).in_queue, SLOTS, 3 * SLOTS);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(flooding_caller_does_not_delay_others),
		cmocka_unit_test(callers_share_slot_time_equally),
		cmocka_unit_test(urgent_starts_first_without_starving_others),
		cmocka_unit_test(batch_work_leaves_one_slot_per_target),
		cmocka_unit_test(sustained_overload_keeps_queue_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
