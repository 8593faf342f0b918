#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "vtp.h"

/* Long enough for any time that a decision waits for, ms. */
#define LONG_MS 60000
#define MEMBERS_MAX 15
/* More changes than any group here needs. */
#define CHANGES_MAX 40

struct group {
	struct vtp_member m[MEMBERS_MAX];
	struct vtp_group g;
};

/* Makes a group: the zone of each member, and V for a voter, l for a learner. */
static void make(struct group *t, const char *way, int losses,
		 const char *zones, const char *votes)
{
	static const char *const names[] = {"a", "b", "c", "d"};

	*t = (struct group){.g = {.way = vtp_find(way),
				  .m = t->m,
				  .voters_min = 2 * losses + 1}};
	for (; zones[t->g.n]; t->g.n++)
		t->m[t->g.n] = (struct vtp_member){
			.id = (uint64_t)t->g.n + 1,
			.zone = names[zones[t->g.n] - 'a'],
			.voter = votes[t->g.n] == 'V',
			.self = t->g.n == 0,
			.ready = true,
			.steady_ms = LONG_MS,
		};
}

/* Has a member be silent for so long. */
static void silence(struct group *t, int i, int64_t ms)
{
	t->m[i].ready = false;
	t->m[i].steady_ms = 0;
	t->m[i].silent_ms = ms;
}

static void expect(const struct group *t, enum vtp_kind kind, uint64_t id)
{
	struct vtp_change c = vtp_next(&t->g);

	assert_int_equal(c.kind, kind);
	if (kind != VTP_NONE) {
		assert_int_equal(c.id, id);
		assert_non_null(c.why);
	}
}

/* Carries out what is decided, until nothing is; returns the voters left. */
static int settle(struct group *t)
{
	int voters = 0;
	int changes;
	int i;

	for (changes = 0; changes < CHANGES_MAX; changes++) {
		struct vtp_change c = vtp_next(&t->g);

		for (i = 0; i < t->g.n && t->m[i].id != c.id; i++)
			;
		if (c.kind == VTP_NONE)
			break;
		t->m[i].voter = c.kind == VTP_PROMOTE;
		if (c.kind == VTP_REMOVE)
			t->m[i] = t->m[--t->g.n];
	}
	assert_true(changes < CHANGES_MAX);
	for (i = 0; i < t->g.n; i++)
		voters += t->m[i].voter;
	return voters;
}

/* Returns the number of voters in a zone. */
static int voters_in(const struct group *t, const char *zone)
{
	int voters = 0;
	int i;

	for (i = 0; i < t->g.n; i++)
		voters += t->m[i].voter && g_str_equal(t->m[i].zone, zone);
	return voters;
}

/* Guards against halves of a cut of which neither is a quorum. */
static void an_odd_number_votes(void **state)
{
	static const struct {
		const char *way;
		int losses;
		const char *zones;
		int voters;
	} cases[] = {
		{"odd", 2, "abcabc", 5},    {"odd", 2, "abcdabcd", 7},
		{"odd", 1, "abca", 3},	    {"odd", 1, "abcabcabc", 9},
		{"odd", 2, "abca", 3},	    {"odd", 1, "aabb", 3},
		{"odd", 0, "ab", 2},	    {"all", 2, "abcabc", 6},
		{"fewest", 1, "abcabc", 3}, {"fewest", 2, "abcdabcd", 5},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct group t;

		make(&t, cases[i].way, cases[i].losses, cases[i].zones,
		     cases[i].zones[2] ? "VVVllllll" : "Vl");
		assert_int_equal(settle(&t), cases[i].voters);
	}
	assert_null(vtp_find("some"));
}

/* Guards against an even number for as long as the second learner takes. */
static void learners_are_promoted_in_pairs(void **state)
{
	struct group t;

	make(&t, "odd", 2, "abcab", "VVVll");
	t.m[4].ready = false;
	expect(&t, VTP_NONE, 0);
	t.m[4].ready = true;
	t.m[4].steady_ms = VTP_STEADY_MS - 1;
	expect(&t, VTP_NONE, 0);
	t.m[4].steady_ms = VTP_STEADY_MS;
	expect(&t, VTP_PROMOTE, 4);
	t.m[3].voter = true;
	expect(&t, VTP_PROMOTE, 5);
}

/* Guards against an even number that a slow learner keeps for good. */
static void an_even_number_does_not_stay(void **state)
{
	struct group t;

	make(&t, "odd", 1, "abcab", "VVVVl");
	t.m[4].ready = false;
	expect(&t, VTP_NONE, 0);
	t.g.even_ms = VTP_EVEN_MS;
	expect(&t, VTP_DEMOTE, 4);
}

/* Guards against a quorum that the loss of one zone takes. */
static void voters_are_spread_over_zones(void **state)
{
	struct group t;

	make(&t, "odd", 2, "aaabcbc", "VVVVVll");
	assert_int_equal(settle(&t), 7);
	make(&t, "odd", 2, "aaabbc", "VVVVVl");
	assert_int_equal(settle(&t), 5);
	assert_int_equal(voters_in(&t, "a"), 2);
	assert_int_equal(voters_in(&t, "c"), 1);
	make(&t, "odd", 1, "aaaabc", "VVVlll");
	assert_int_equal(settle(&t), 3);
	assert_int_equal(voters_in(&t, "a"), 1);
	assert_true(t.m[0].voter);
}

/* Guards against a lost voter that counts though a learner could take over. */
static void a_learner_takes_a_lost_voters_place(void **state)
{
	struct group t;

	make(&t, "odd", 2, "abcabc", "VVVVVl");
	silence(&t, 1, VTP_REPLACE_MS - 1);
	expect(&t, VTP_NONE, 0);
	t.m[1].silent_ms = VTP_REPLACE_MS;
	expect(&t, VTP_PROMOTE, 6);
	t.m[5].voter = true;
	expect(&t, VTP_DEMOTE, 2);
	t.m[1].voter = false;
	expect(&t, VTP_NONE, 0);
	/* it comes back, and stays a learner */
	t.m[1].silent_ms = 0;
	t.m[1].ready = true;
	t.m[1].steady_ms = LONG_MS;
	expect(&t, VTP_NONE, 0);
}

/* Guards against fewer voters than bear the losses of the settings. */
static void losses_to_be_borne_keep_their_voters(void **state)
{
	struct group t;

	make(&t, "odd", 2, "abcab", "VVVVV");
	silence(&t, 1, LONG_MS);
	silence(&t, 2, LONG_MS);
	assert_int_equal(settle(&t), 5);
	make(&t, "odd", 1, "abcab", "VVVVV");
	silence(&t, 1, LONG_MS);
	assert_int_equal(settle(&t), 3);
	assert_int_equal(t.g.n, 4);
}

/* Guards against a new member that waits for the old one of its folder. */
static void a_lost_folder_is_replaced(void **state)
{
	struct group t;

	make(&t, "odd", 1, "abcb", "VVVl");
	t.m[1].folder_lost = true;
	t.m[1].successor = true;
	t.m[1].steady_ms = 0;
	t.m[3].ready = false;
	expect(&t, VTP_NONE, 0);
	t.m[3].ready = true;
	expect(&t, VTP_PROMOTE, 4);
	t.m[3].voter = true;
	expect(&t, VTP_REMOVE, 2);
	/* the membership is full: the old one leaves first */
	make(&t, "odd", 0, "abcb", "VVVV");
	t.m[1].folder_lost = true;
	t.g.full = true;
	expect(&t, VTP_REMOVE, 2);
}

/* Guards against a vote that is taken from a leader, or while one is silent. */
static void a_leader_and_the_unheard_keep_their_votes(void **state)
{
	struct group t;

	make(&t, "odd", 0, "abab", "VVVV");
	t.m[0].id = 99;
	expect(&t, VTP_DEMOTE, 4);
	silence(&t, 1, 100);
	expect(&t, VTP_NONE, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_odd_number_votes),
		cmocka_unit_test(learners_are_promoted_in_pairs),
		cmocka_unit_test(an_even_number_does_not_stay),
		cmocka_unit_test(voters_are_spread_over_zones),
		cmocka_unit_test(a_learner_takes_a_lost_voters_place),
		cmocka_unit_test(losses_to_be_borne_keep_their_voters),
		cmocka_unit_test(a_lost_folder_is_replaced),
		cmocka_unit_test(a_leader_and_the_unheard_keep_their_votes),
	};

	return cmocka_run_group_tests_name("vtp", tests, NULL, NULL);
}
