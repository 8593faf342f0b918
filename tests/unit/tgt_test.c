#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tgt.h"

/* What the table has said to do for its only target. */
struct seen {
	int places;
	int stops;
	int forgets;
	int told;
	bool allowed;
};

static void on_place(void *arg, const struct tgt *t)
{
	((struct seen *)arg)->places++;
}

static void on_stop(void *arg, const struct tgt *t)
{
	((struct seen *)arg)->stops++;
}

static void on_forget(void *arg, const struct tgt *t)
{
	((struct seen *)arg)->forgets++;
}

static bool on_allowed(void *arg, const struct tgt_info *info)
{
	return ((struct seen *)arg)->allowed;
}

static void on_tell(void *arg, const struct tgt *t, bool gone)
{
	((struct seen *)arg)->told++;
}

static const struct tgt_ops ops = {
	.place = on_place,
	.stop = on_stop,
	.forget = on_forget,
	.allowed = on_allowed,
	.tell = on_tell,
};

static struct tgt_info says(uint64_t boot, uint64_t seq, bool leaving)
{
	return (struct tgt_info){
		.name = (char *)"t",
		.service = (char *)"s",
		.addr = (char *)"127.0.0.1:1",
		.zone = (char *)"a",
		.vm = (char *)"v",
		.slots = 8,
		.conns = 64,
		.leaving = leaving,
		.boot = boot,
		.seq = seq,
	};
}

static bool announce(struct tgt_table *tab, int64_t now, uint64_t boot,
		     uint64_t seq, bool leaving)
{
	struct tgt_info info = says(boot, seq, leaving);

	return tgt_announce(tab, now, &info, NULL);
}

static enum tgt_state state_of(const struct tgt_table *tab)
{
	return tgt_find(tab, "t")->state;
}

/*
 * A target leaves, is started anew and leaves again. An announcement of its
 * first life, held up on its way, comes last: taken, it would bring back a
 * target that is gone, and callers' requests with it.
 */
static void an_earlier_life_does_not_come_back(void **state)
{
	struct seen seen = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &seen);

	assert_true(announce(tab, 0, 1, 5, false));
	assert_false(announce(tab, 10, 1, 5, false));
	assert_false(announce(tab, 10, 1, 4, false));
	assert_true(announce(tab, 20, 2, 1, false));
	assert_true(announce(tab, 30, 2, 2, true));
	assert_int_equal(state_of(tab), TGT_LEAVING);
	assert_false(announce(tab, 40, 1, 6, false));
	assert_int_equal(state_of(tab), TGT_LEAVING);
	tgt_table_free(tab);
}

/*
 * A target and the entry daemon that is its home fail at the same time, so
 * that nobody tells of the lapse. The others stop by themselves: with the 1 s
 * of silence before, within the 3 s promised.
 */
static void a_target_that_lost_its_home_is_stopped(void **state)
{
	struct seen seen = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &seen);
	struct tgt_info info = says(1, 1, false);

	tgt_heard(tab, 0, "home", &info, false);
	tgt_tick(tab, 1000000);
	assert_int_equal(seen.stops, 0);
	tgt_home_down(tab, 1000000, "other");
	tgt_home_down(tab, 1000000, "home");
	tgt_tick(tab, 1000000 + TGT_ORPHAN_MS - 1);
	assert_int_equal(seen.stops, 0);
	tgt_tick(tab, 1000000 + TGT_ORPHAN_MS);
	assert_int_equal(seen.stops, 1);
	assert_int_equal(state_of(tab), TGT_LAPSED);
	assert_true(1000 + TGT_ORPHAN_MS <= 3000);
	tgt_table_free(tab);
}

/* The same, but the target lives: it finds another home and goes on. */
static void a_target_that_finds_a_home_goes_on(void **state)
{
	struct seen seen = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &seen);
	struct tgt_info info = says(1, 1, false);

	tgt_heard(tab, 0, "home", &info, false);
	tgt_home_down(tab, 100, "home");
	info = says(1, 2, false);
	tgt_heard(tab, 900, "new", &info, false);
	/* The old home comes back and says that the lease lapsed there. */
	tgt_heard(tab, 950, "home", &info, true);
	tgt_tick(tab, 60000);
	assert_int_equal(seen.stops, 0);
	assert_int_equal(state_of(tab), TGT_SERVING);
	tgt_table_free(tab);
}

/* A home's list after a cut: what is not on it has lapsed unheard. */
static void what_a_home_no_longer_lists_has_lapsed(void **state)
{
	struct seen seen = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &seen);
	struct tgt_info info = says(1, 1, false);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	tgt_heard(tab, 0, "home", &info, false);
	tgt_home_list_end(tab, 10, "home", names);
	assert_int_equal(seen.stops, 1);
	g_hash_table_destroy(names);
	tgt_table_free(tab);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(an_earlier_life_does_not_come_back),
		cmocka_unit_test(a_target_that_lost_its_home_is_stopped),
		cmocka_unit_test(a_target_that_finds_a_home_goes_on),
		cmocka_unit_test(what_a_home_no_longer_lists_has_lapsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
