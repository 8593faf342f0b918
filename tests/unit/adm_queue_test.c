#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

/* Frees one held slot and gives what is started in its place. */
static struct adm_verdict next_start(struct adm *a, int64_t now,
				     adm_ticket *held)
{
	struct adm_verdict out[1] = {{0}};
	int64_t next;

	fake_done(a, now, *held, ADM_DONE_OK, 10 * MS);
	adm_poll(a, now, out, 1, &next);
	*held = out[0].ticket;
	return out[0];
}

/*
 * One caller floods, another asks now and then. The second one's requests are
 * not behind all of the first one's: they take turns.
 */
static void a_flooding_caller_does_not_crowd_out_others(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	adm_ticket quiet[3];
	int order[3] = {0};
	int i;
	int k;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 100; i++)
		fake_offer(a, now, "flood", ADM_NORMAL);
	for (i = 0; i < 3; i++)
		quiet[i] = fake_offer(a, now, "quiet", ADM_NORMAL).ticket;
	for (i = 0; i < 12; i++) {
		struct adm_verdict v = next_start(a, now, &held[0]);

		for (k = 0; k < 3; k++)
			if (v.ticket == quiet[k])
				order[k] = i + 1;
	}
	assert_in_range(order[0], 1, 2);
	assert_in_range(order[1], 2, 4);
	assert_in_range(order[2], 3, 6);
	adm_free(a);
}

/*
 * One caller's requests run ten times longer than the other's, at the same
 * declared size. Turns by requests would give it ten elevenths of the pool;
 * by slot time each gets about half.
 */
static void turns_are_by_slot_time(void **state)
{
	struct adm *a = fake_zone(1, 1);
	const struct adm_request shorts = {.caller = LSTR("short"),
					   .class = ADM_NORMAL,
					   .deadline_us = 100 * SEC};
	const struct adm_request longs = {.caller = LSTR("long"),
					  .class = ADM_NORMAL,
					  .deadline_us = 100 * SEC};
	static int long_user;
	int64_t now = fake_learn(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict out[1];
	bool is_long = false;
	int64_t next;
	int starts[2] = {0};
	int i;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 300; i++) {
		adm_offer(a, now, &shorts, NULL);
		adm_offer(a, now, &longs, &long_user);
		fake_done(a, now, held[0], ADM_DONE_OK,
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
 * A storm: the duty officer's requests come behind a queue of others. They go
 * first, yet the others and the archive work get a start now and then, so
 * that nothing waits for ever.
 */
static void urgent_goes_first_and_the_rest_is_not_starved(void **state)
{
	struct adm *a = fake_zone(1, 1);
	static int user[ADM_CLASSES];
	struct adm_request r = {.caller = LSTR("a"), .deadline_us = 100 * SEC};
	int64_t now = fake_learn(a, 0, 20, 10 * MS);
	int starts[ADM_CLASSES] = {0};
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int i;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 120; i++) {
		r.class = i % 2 ? ADM_NORMAL : ADM_BATCH;
		adm_offer(a, now, &r, &user[r.class]);
	}
	r.class = ADM_URGENT;
	for (i = 0; i < 90; i++) {
		adm_offer(a, now, &r, &user[ADM_URGENT]);
		v = next_start(a, now, &held[0]);
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
 * Archive work that runs for minutes comes while the pool is idle. It leaves a
 * slot of each target, so that an alert isn't behind it for minutes.
 */
static void archive_work_leaves_a_slot_for_alerts(void **state)
{
	struct adm *a = fake_zone(2, 1);
	int i;
	int ran = 0;

	for (i = 0; i < 40; i++)
		ran += fake_offer(a, 0, "archive", ADM_BATCH).kind == ADM_RUN;
	assert_int_equal(ran, 2 * (SLOTS - 1));
	adm_free(a);

	a = fake_zone(2, 1);
	for (i = 0; i < 2 * (SLOTS - 1); i++)
		fake_offer(a, 0, "archive", ADM_BATCH);
	assert_int_equal(fake_offer(a, 0, "duty", ADM_URGENT).kind, ADM_RUN);
	adm_free(a);
}

/*
 * More comes than can run, for long. The queue isn't kept at its longest: whoever
 * is taken in waits for two service times, the others are refused at once.
 */
static void lasting_overload_keeps_the_queue_short(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 10 * MS);
	adm_ticket held[SLOTS] = {0};
	uint32_t longest = 0;
	int i;
	int k;

	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 1500; i++) {
		char caller[2] = {(char)('a' + i % 4), 0};

		now += 10 * MS / SLOTS;
		for (k = 0; k < 3; k++)
			fake_offer(a, now, caller, ADM_NORMAL);
		next_start(a, now, &held[i % SLOTS]);
		longest = MAX(longest, adm_stats(a).in_queue);
	}
	assert_in_range(longest, 300, 410);
	assert_in_range(adm_stats(a).in_queue, SLOTS, 3 * SLOTS);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_flooding_caller_does_not_crowd_out_others),
		cmocka_unit_test(turns_are_by_slot_time),
		cmocka_unit_test(urgent_goes_first_and_the_rest_is_not_starved),
		cmocka_unit_test(archive_work_leaves_a_slot_for_alerts),
		cmocka_unit_test(lasting_overload_keeps_the_queue_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
