#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "adm_fake.h"

static void tell(struct adm *a, int64_t now, int zone, uint32_t room)
{
	adm_zone_room(a, now, 0, zone,
		      (struct adm_room){.slots = 80, .free = room}, 0);
}

/* Offers until a request isn't shifted any more; gives how many were. */
static int shift_all(struct adm *a, int64_t now, struct adm_verdict *last)
{
	int n = 0;

	while ((*last = fake_offer(a, now, "a", ADM_NORMAL)).kind == ADM_SHIFT)
		n++;
	return n;
}

/*
 * A zone loses all its targets; six entry VMs of two lost zones shift to the
 * third at once. Together they send no more than the room it told, so that it
 * isn't taken down too; whoever finds no room is refused at once.
 */
static void lost_zones_share_the_room_of_the_third(void **state)
{
	int sum = 0;
	int i;

	for (i = 0; i < 6; i++) {
		struct adm *a = fake_zone(0, 3);
		struct adm_verdict v;

		adm_set_entries(a, 3, 6);
		tell(a, 0, 2, 20);
		sum += shift_all(a, 0, &v);
		assert_int_equal(v.reason, ADM_NO_TARGETS);
		adm_free(a);
	}
	assert_in_range(sum, 12, 20);
}

/* Each shifted request that ends gives its place to the next one. */
static void places_come_free_as_shifted_work_ends(void **state)
{
	struct adm *a = fake_zone(0, 1);
	struct adm_verdict v;
	struct adm_verdict first;

	tell(a, 0, 1, 4);
	first = fake_offer(a, 0, "a", ADM_NORMAL);
	assert_int_equal(first.kind, ADM_SHIFT);
	assert_int_equal(first.zone, 1);
	assert_int_equal(shift_all(a, 0, &v), 3);
	fake_done(a, MS, first.ticket, ADM_DONE_OK, MS);
	assert_int_equal(shift_all(a, MS, &v), 1);
	adm_free(a);
}

/*
 * A zone is cut off; what it last told grows old. It is believed for a
 * second, then less and less, and after five not at all.
 */
static void old_room_is_believed_less_and_less(void **state)
{
	const int64_t ages[] = {SEC, 3 * SEC, 5 * SEC};
	const int room[] = {20, 10, 0};
	int i;

	for (i = 0; i < 3; i++) {
		struct adm *a = fake_zone(0, 1);
		struct adm_verdict v;

		tell(a, 0, 1, 20);
		assert_int_equal(shift_all(a, ages[i], &v), room[i]);
		adm_free(a);
	}
}

/*
 * Two zones have lost their targets. A request that one sent to the other
 * isn't sent back or on: it would go round until its deadline.
 */
static void a_request_is_shifted_once(void **state)
{
	const struct adm_request r = {.caller = LSTR("a"), .shifted = true};
	struct adm *a = fake_zone(0, 1);

	tell(a, 0, 1, 20);
	assert_int_equal(adm_offer(a, 0, &r, NULL).reason, ADM_NO_TARGETS);
	adm_free(a);
}

/*
 * The zone that gets shifted work has less room than others believe. It takes
 * in what its own work doesn't need and refuses the rest at once; its own
 * callers still find slots.
 */
static void shifted_work_never_fills_the_zone(void **state)
{
	const struct adm_request away = {.caller = LSTR("a"), .shifted = true};
	struct adm *a = fake_zone(5, 1);
	struct adm_verdict v;
	int n = 0;

	while ((v = adm_offer(a, 0, &away, NULL)).kind == ADM_RUN)
		n++;
	assert_int_equal(v.kind, ADM_REFUSE);
	assert_int_equal(v.reason, ADM_ZONE_FULL);
	assert_int_equal(n, 5 * SLOTS * 4 / 5);
	assert_int_equal(adm_room(a, 0, 0).free, 0);
	assert_int_equal(fake_offer(a, 0, "own", ADM_NORMAL).kind, ADM_RUN);
	adm_free(a);
}

/*
 * The other zone refuses: it is full at this moment. Nothing more goes there
 * for a while, then less than before; the request may still run at home.
 */
static void a_refusal_pauses_shifting(void **state)
{
	const struct adm_result busy = {.outcome = ADM_DONE_BUSY, .busy = -1};
	struct adm *a = fake_zone(0, 1);
	struct adm_verdict v;
	struct adm_verdict last;

	tell(a, 0, 1, 16);
	v = fake_offer(a, 0, "a", ADM_NORMAL);
	fake_state(a, 0, 1, ADM_SERVING);
	v = adm_retry(a, MS, v.ticket, &busy);
	assert_int_equal(v.kind, ADM_RUN);
	fake_state(a, MS, 1, ADM_GONE);
	assert_int_equal(shift_all(a, MS, &last), 0);
	assert_int_equal(shift_all(a, 50 * MS, &last), 0);
	assert_int_equal(shift_all(a, 51 * MS, &last), 14);
	adm_free(a);
}

/*
 * The zone's VMs tell room each half second while our requests come and go. By
 * chance few run just then; the places of the others are kept while it has
 * room, and are not filled again once it tells of none.
 */
static void places_outlast_a_telling(void **state)
{
	struct adm *a = fake_zone(0, 1);
	adm_ticket tickets[8] = {0};
	struct adm_verdict last;
	int i;

	tell(a, SEC, 1, 8);
	for (i = 0; i < 8; i++)
		tickets[i] = fake_offer(a, SEC, "a", ADM_NORMAL).ticket;
	for (i = 0; i < 6; i++)
		fake_done(a, SEC, tickets[i], ADM_DONE_OK, MS);
	tell(a, SEC + 500 * MS, 1, 1);
	tell(a, SEC + 500 * MS, 1, 1);
	assert_int_equal(shift_all(a, SEC + 500 * MS, &last), 6 + 1);
	fake_done(a, SEC + 500 * MS, tickets[6], ADM_DONE_OK, MS);
	tell(a, 2 * SEC, 1, 0);
	assert_int_equal(shift_all(a, 2 * SEC, &last), 0);
	adm_free(a);
}

/*
 * The own zone is saturated for a while. A burst that the queue takes stays at
 * home; when the wait stays long, requests go elsewhere; when it has been
 * short for a second, they stay at home again.
 */
static void shifting_starts_late_and_ends_late(void **state)
{
	struct adm *a = fake_zone(1, 1);
	int64_t now = fake_learn(a, 0, 20, 100 * MS);
	struct adm_verdict out[16];
	adm_ticket held[SLOTS] = {0};
	struct adm_verdict v;
	int64_t next;
	int i;

	tell(a, now, 1, 40);
	fake_fill(a, now, held, SLOTS);
	for (i = 0; i < 25; i++) {
		v = fake_offer(a, now, "a", ADM_NORMAL);
		assert_int_equal(v.kind, ADM_QUEUED);
	}
	now += 100 * MS;
	assert_int_equal(fake_offer(a, now, "a", ADM_NORMAL).kind, ADM_SHIFT);
	for (i = 0; i < SLOTS; i++)
		fake_done(a, now, held[i], ADM_DONE_OK, 100 * MS);
	assert_int_equal(adm_poll(a, now, out, 16, &next), SLOTS);
	for (i = 0; i < SLOTS; i++)
		held[i] = out[i].ticket;
	now += 500 * MS;
	adm_poll(a, now, out, 16, &next);
	adm_poll(a, now, out, 16, &next);
	assert_int_equal(adm_stats(a).in_queue, 0);
	assert_int_equal(fake_offer(a, now, "a", ADM_NORMAL).kind, ADM_SHIFT);
	fake_done(a, now, held[0], ADM_DONE_OK, 100 * MS);
	held[0] = fake_offer(a, now, "a", ADM_NORMAL).ticket;
	now += SEC;
	fake_done(a, now, held[0], ADM_DONE_OK, 100 * MS);
	assert_int_equal(fake_offer(a, now, "a", ADM_NORMAL).kind, ADM_RUN);
	tell(a, now, 1, 40);
	assert_int_equal(fake_offer(a, now, "a", ADM_NORMAL).kind, ADM_QUEUED);
	adm_free(a);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_zones_share_the_room_of_the_third),
		cmocka_unit_test(places_come_free_as_shifted_work_ends),
		cmocka_unit_test(old_room_is_believed_less_and_less),
		cmocka_unit_test(a_request_is_shifted_once),
		cmocka_unit_test(shifted_work_never_fills_the_zone),
		cmocka_unit_test(a_refusal_pauses_shifting),
		cmocka_unit_test(places_outlast_a_telling),
		cmocka_unit_test(shifting_starts_late_and_ends_late),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
