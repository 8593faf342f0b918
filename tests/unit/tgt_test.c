#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tgt.h"

/* Counts the table's callbacks for its only target. */
struct callbacks {
	int places;
	int stops;
	int forgets;
	int notified;
	bool allowed;
};

static void on_place(void *arg, const struct tgt *t)
{
	((struct callbacks *)arg)->places++;
}

static void on_stop(void *arg, const struct tgt *t)
{
	((struct callbacks *)arg)->stops++;
}

static void on_forget(void *arg, const struct tgt *t)
{
	((struct callbacks *)arg)->forgets++;
}

static bool on_allowed(void *arg, const struct tgt_info *info)
{
	return ((struct callbacks *)arg)->allowed;
}

static void on_notify(void *arg, const struct tgt *t, bool expired)
{
	((struct callbacks *)arg)->notified++;
}

static const struct tgt_ops ops = {
	.place = on_place,
	.stop = on_stop,
	.forget = on_forget,
	.allowed = on_allowed,
	.notify = on_notify,
};

static struct tgt_info make_info(uint64_t boot, uint64_t seq, bool leaving)
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
	struct tgt_info info = make_info(boot, seq, leaving);

	return tgt_announce(tab, now, &info, NULL);
}

static enum tgt_state state_of(const struct tgt_table *tab)
{
	return tgt_find(tab, "t")->state;
}

/*
 * A target restarts and leaves, then an announcement of its first start arrives
 * late. Accepting it would bring back a target that has left, and send callers'
 * requests to it.
 */
static void announcement_of_earlier_start_ignored(void **state)
{
	struct callbacks callbacks = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &callbacks);

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
 * A target and its home fail at the same time, so that no daemon reports the
 * expiry of the lease. The others must stop the target themselves: with 1 s of
 * silence before, within the 3 s guaranteed.
 */
static void target_without_home_stopped_in_time(void **state)
{
	struct callbacks callbacks = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &callbacks);
	struct tgt_info info = make_info(1, 1, false);

	tgt_record_report(tab, 0, "home", &info, false);
	tgt_tick(tab, 1000000);
	assert_int_equal(callbacks.stops, 0);
	tgt_home_down(tab, 1000000, "other");
	tgt_home_down(tab, 1000000, "home");
	tgt_tick(tab, 1000000 + TGT_HOME_GRACE_MS - 1);
	assert_int_equal(callbacks.stops, 0);
	tgt_tick(tab, 1000000 + TGT_HOME_GRACE_MS);
	assert_int_equal(callbacks.stops, 1);
	assert_int_equal(state_of(tab), TGT_LAPSED);
	assert_true(1000 + TGT_HOME_GRACE_MS <= 3000);
	tgt_table_free(tab);
}

/*
 * A target's home fails, but the target runs on: it finds another home and gets
 * work without interruption.
 */
static void target_with_new_home_keeps_serving(void **state)
{
	struct callbacks callbacks = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &callbacks);
	struct tgt_info info = make_info(1, 1, false);

	tgt_record_report(tab, 0, "home", &info, false);
	tgt_home_down(tab, 100, "home");
	info = make_info(1, 2, false);
	tgt_record_report(tab, 900, "new", &info, false);
	/* The old home reconnects and reports that the lease expired there. */
	tgt_record_report(tab, 950, "home", &info, true);
	tgt_tick(tab, 60000);
	assert_int_equal(callbacks.stops, 0);
	assert_int_equal(state_of(tab), TGT_SERVING);
	tgt_table_free(tab);
}

/*
 * A home's list after a partition: a target that is missing from it has expired
 * without a report.
 */
static void target_missing_from_home_list_expires(void **state)
{
	struct callbacks callbacks = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &callbacks);
	struct tgt_info info = make_info(1, 1, false);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	tgt_record_report(tab, 0, "home", &info, false);
	tgt_home_list_done(tab, 10, "home", names);
	assert_int_equal(callbacks.stops, 1);
	g_hash_table_destroy(names);
	tgt_table_free(tab);
}

/*
 * Guards against the loss of all targets at once: their home stood still, and
 * ticks before it has read what they announced meanwhile.
 */
static void pause_of_the_home_expires_no_target(void **state)
{
	struct callbacks callbacks = {.allowed = true};
	struct tgt_table *tab = tgt_table_new(&ops, &callbacks);
	int64_t now = 60000;

	assert_true(announce(tab, 0, 1, 1, false));
	tgt_tick(tab, 100);
	tgt_resumed(tab, now, now - 200);
	tgt_tick(tab, now);
	assert_int_equal(callbacks.stops, 0);
	assert_int_equal(state_of(tab), TGT_SERVING);
	tgt_tick(tab, now + TGT_LEASE_MS);
	assert_int_equal(callbacks.stops, 1);
	tgt_table_free(tab);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(announcement_of_earlier_start_ignored),
		cmocka_unit_test(target_without_home_stopped_in_time),
		cmocka_unit_test(target_with_new_home_keeps_serving),
		cmocka_unit_test(target_missing_from_home_list_expires),
		cmocka_unit_test(pause_of_the_home_expires_no_target),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
