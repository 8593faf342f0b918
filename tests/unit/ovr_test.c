#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "jtb_int.h"
#include "ovr.h"
#include "qtb.h"

#define NOW 1000000

static bool any_pool;
static bool gym_gone;
static int64_t span_ms = 1000;

static bool has_pool(const void *arg, const char *name)
{
	return any_pool || (strcmp(name, "gym") == 0 && !gym_gone);
}

static bool has_org(const void *arg, const char *name)
{
	return strcmp(name, "Casa Ñu") == 0;
}

static const struct ovr_names names = {.has_pool = has_pool,
				       .has_org = has_org};

/* Orders an override for span_ms under an id; returns its outcome. */
static enum proto_result order(struct ovr *o, enum fcm_kind kind,
			       const char *name, int64_t value, const char *id,
			       enum key_role role)
{
	struct fcm_cmd cmd = {
		.kind = kind,
		.id = lstr_from(id),
		.made_ms = NOW,
		.override = {.name = lstr_from(name),
			     .value = value,
			     .for_ms = span_ms,
			     .reason = LSTR("rush")},
	};
	struct fcm_result r;
	struct pk_out p;

	pk_out_init(&p);
	fcm_encode(&cmd, &p);
	ovr_apply(o,
		  &(struct ovr_order){.time_ms = NOW,
				      .who = LSTR("mara"),
				      .role = role,
				      .cmd = pk_out_view(&p)},
		  &names);
	pk_out_done(&p);
	assert_true(ovr_result(o, LSTR("mara"), lstr_from(id), &r));
	fcm_result_clear(&r);
	return r.code;
}

static uint64_t records(const struct ovr *o)
{
	struct pk_out p;
	struct qtb_in t;
	uint64_t n;

	pk_out_init(&p);
	assert_true(ovr_query(o, LSTR("audit"), LSTR(""), NOW, &p));
	assert_true(qtb_read(&t, pk_out_view(&p)));
	n = t.n_rows;
	qtb_read_done(&t);
	pk_out_done(&p);
	return n;
}

static void override_holds_until_its_end(void **state)
{
	struct ovr *o = ovr_new();

	assert_int_equal(order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY),
			 PROTO_OK);
	assert_int_equal(order(o, FCM_WEIGHT, "Casa Ñu", 2500, "b", KEY_DUTY),
			 PROTO_OK);
	assert_int_equal(ovr_floor(o, "gym", NOW + 999), 12);
	assert_int_equal(ovr_floor(o, "gym", NOW + 1000), 0);
	assert_true(ovr_weight(o, "Casa Ñu", NOW) == 2.5);
	assert_true(ovr_weight(o, "Casa Ñu", NOW + 1000) == 0);
	assert_int_equal(ovr_count(o, NOW), 2);
	ovr_free(o);
}

/* Guards against an order that takes effect again after a lost answer. */
static void repeated_order_takes_effect_once(void **state)
{
	struct ovr *o = ovr_new();

	order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY);
	order(o, FCM_FLOOR, "gym", FCM_NO_OVERRIDE, "b", KEY_DUTY);
	assert_int_equal(order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY),
			 PROTO_OK);
	assert_int_equal(ovr_floor(o, "gym", NOW), 0);
	assert_int_equal(records(o), 2);
	ovr_free(o);
}

/* Guards against an invalid order that changes what is in force. */
static void invalid_order_changes_nothing(void **state)
{
	static const struct {
		enum fcm_kind kind;
		const char *name;
		int64_t value;
		enum key_role role;
		enum proto_result code;
	} bad[] = {
		{FCM_FLOOR, "golf", 5, KEY_DUTY, PROTO_REFUSED},
		{FCM_FLOOR, "gym", -2, KEY_DUTY, PROTO_REFUSED},
		{FCM_FLOOR, "gym", INT64_MAX, KEY_DUTY, PROTO_REFUSED},
		{FCM_FLOOR, "gym", 5, KEY_OPERATE, PROTO_FORBIDDEN},
		{FCM_WEIGHT, "nobody", 1000, KEY_DUTY, PROTO_REFUSED},
		{FCM_WEIGHT, "Casa Ñu", 0, KEY_DUTY, PROTO_REFUSED},
		{FCM_WEIGHT, "Casa Ñu", -5, KEY_DUTY, PROTO_REFUSED},
		{FCM_WEIGHT, "Casa Ñu", INT64_MAX, KEY_DUTY, PROTO_REFUSED},
	};
	static const int64_t spans[] = {0, -1, INT64_MIN, INT64_MAX,
					8LL * 24 * 3600 * 1000};
	struct ovr *o = ovr_new();
	char id[] = "x0";
	size_t i;

	order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		id[1] = (char)('0' + i);
		assert_int_equal(order(o, bad[i].kind, bad[i].name,
				       bad[i].value, id, bad[i].role),
				 bad[i].code);
		assert_int_equal(ovr_floor(o, "gym", NOW), 12);
		assert_int_equal(ovr_count(o, NOW), 1);
	}
	for (i = 0; i < G_N_ELEMENTS(spans); i++) {
		id[1] = (char)('a' + i);
		span_ms = spans[i];
		assert_int_equal(order(o, FCM_FLOOR, "gym", 13, id, KEY_DUTY),
				 PROTO_REFUSED);
		assert_int_equal(ovr_floor(o, "gym", NOW), 12);
	}
	span_ms = 1000;
	ovr_free(o);
}

/* Guards against a flood of orders that fills every leader's look-ups. */
static void overrides_in_force_are_bounded(void **state)
{
	struct ovr *o = ovr_new();
	char name[24];
	int i;

	any_pool = true;
	for (i = 0; i < 64; i++) {
		g_snprintf(name, sizeof(name), "p%d", i);
		assert_int_equal(order(o, FCM_FLOOR, name, 1, name, KEY_DUTY),
				 PROTO_OK);
	}
	assert_int_equal(order(o, FCM_FLOOR, "p64", 1, "p64", KEY_DUTY),
			 PROTO_REFUSED);
	assert_int_equal(order(o, FCM_FLOOR, "p0", 2, "again", KEY_DUTY),
			 PROTO_OK);
	any_pool = false;
	assert_int_equal(ovr_count(o, NOW), 64);
	ovr_free(o);
}

/* Guards against a floor that outlives its pool and holds its successor's VMs. */
static void override_goes_with_its_pool(void **state)
{
	struct ovr *o = ovr_new();

	order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY);
	gym_gone = true;
	ovr_names_changed(o, &names);
	gym_gone = false;
	assert_int_equal(ovr_floor(o, "gym", NOW), 0);
	assert_int_equal(records(o), 2);
	ovr_free(o);
}

/* Guards against a restart that forgets overrides or the trail. */
static void snapshot_keeps_overrides_results_and_trail(void **state)
{
	struct ovr *o = ovr_new();
	struct ovr *copy = ovr_new();
	struct pk_out p;
	struct pk_in in;

	order(o, FCM_FLOOR, "gym", 12, "a", KEY_DUTY);
	order(o, FCM_WEIGHT, "Casa Ñu", 1, "b", KEY_DUTY);
	pk_out_init(&p);
	pk_arr(&p, 1);
	ovr_snapshot(o, &p);
	assert_true(pk_in_init(&in, pk_out_view(&p)));
	assert_true(ovr_restore(copy, &in));
	pk_in_done(&in);
	pk_out_done(&p);
	assert_int_equal(ovr_floor(copy, "gym", NOW), 12);
	assert_true(ovr_weight(copy, "Casa Ñu", NOW) == 0.001);
	assert_int_equal(records(copy), 2);
	order(copy, FCM_FLOOR, "gym", 99, "a", KEY_DUTY);
	assert_int_equal(ovr_floor(copy, "gym", NOW), 12);
	ovr_free(copy);
	ovr_free(o);
}

/* Guards against parts of a snapshot that are read in another order. */
static void table_snapshot_keeps_overrides(void **state)
{
	static const struct jtb_watch watch;
	struct jtb *t = jtb_new(&watch, NULL);
	struct jtb *copy = jtb_new(&watch, NULL);
	struct pk_out p;

	jtb_add_removed(t, "w1", 77);
	order((struct ovr *)jtb_overrides(t), FCM_FLOOR, "gym", 12, "a",
	      KEY_DUTY);
	pk_out_init(&p);
	jtb_snapshot(t, &p);
	assert_true(jtb_restore(copy, pk_out_view(&p)));
	pk_out_done(&p);
	assert_int_equal(ovr_floor(jtb_overrides(copy), "gym", NOW), 12);
	assert_true(jtb_lifetime_is_over(copy, "w1", 77));
	jtb_free(copy);
	jtb_free(t);
}

/* Guards against a data folder of an earlier version that can't be read. */
static void snapshot_without_overrides_is_read(void **state)
{
	static const struct jtb_watch watch;
	struct jtb *t = jtb_new(&watch, NULL);
	struct pk_out p;
	int i;

	pk_out_init(&p);
	pk_arr(&p, 6);
	pk_u(&p, 0);
	for (i = 0; i < 5; i++)
		pk_arr(&p, 0);
	assert_true(jtb_restore(t, pk_out_view(&p)));
	pk_out_done(&p);
	jtb_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(override_holds_until_its_end),
		cmocka_unit_test(repeated_order_takes_effect_once),
		cmocka_unit_test(invalid_order_changes_nothing),
		cmocka_unit_test(overrides_in_force_are_bounded),
		cmocka_unit_test(override_goes_with_its_pool),
		cmocka_unit_test(snapshot_keeps_overrides_results_and_trail),
		cmocka_unit_test(table_snapshot_keeps_overrides),
		cmocka_unit_test(snapshot_without_overrides_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
