#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "err.h"
#include "lstr.h"
#include "msg.h"
#include "pk.h"
#include "tmr.h"

static void numbers_are_digits_only(void **state)
{
	unsigned long long v = 7;

	assert_true(lstr_u64(LSTR("18446744073709551615"), &v));
	assert_false(lstr_u64(LSTR("18446744073709551616"), &v));
	assert_false(lstr_u64(LSTR("+1"), &v));
	assert_false(lstr_u64(LSTR("1 "), &v));
	assert_false(lstr_u64(LSTR(""), &v));
}

static void errors_carry_step_and_peer(void **state)
{
	GError *err = NULL;
	GError *copy;

	err_set(&err, ERR_PEER, "dial", "127.0.0.1:9", "gone after %d", 3);
	copy = g_error_copy(err);
	g_error_free(err);
	assert_string_equal(err_step(copy), "dial");
	assert_string_equal(err_peer(copy), "127.0.0.1:9");
	assert_string_equal(copy->message, "dial: 127.0.0.1:9: gone after 3");
	g_error_free(copy);
}

static void note_time(void *arg, int64_t now)
{
	int64_t **at = arg;

	*(*at)++ = now;
}

static void timers_run_in_order_of_due_time(void **state)
{
	int64_t seen[4] = {0};
	int64_t *at = seen;
	struct tmr *t = tmr_new_manual(100);
	uint64_t id;

	tmr_once(t, 30, note_time, &at);
	id = tmr_every(t, 20, note_time, &at);
	tmr_advance(t, 45);
	tmr_cancel(t, id);
	tmr_advance(t, 100);
	assert_int_equal(at - seen, 3);
	assert_int_equal(seen[0], 120);
	assert_int_equal(seen[1], 130);
	assert_int_equal(seen[2], 140);
	tmr_free(t);
}

static void every_message_has_its_own_name(void **state)
{
	int i;
	int j;

	for (i = 0; i < MSG_MAX; i++) {
		assert_non_null(msg_name_of(i));
		for (j = 0; j < i; j++)
			assert_string_not_equal(msg_name_of(i), msg_name_of(j));
	}
}

static void a_missing_field_spoils_the_rest(void **state)
{
	struct pk_out o;
	struct pk_in in;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, 5);
	pk_cstr(&o, "five");
	pk_i(&o, -5);
	assert_true(pk_in_init(&in, pk_out_view(&o)));
	assert_int_equal(pk_get_u(&in), 5);
	assert_true(lstr_eq(pk_get_str(&in), LSTR("five")));
	assert_int_equal(pk_get_i(&in), -5);
	assert_true(pk_in_ok(&in));
	assert_int_equal(pk_get_u(&in), 0);
	assert_false(pk_in_ok(&in));
	pk_in_done(&in);
	assert_false(pk_in_init(&in, LSTR("\xc1")));
	pk_out_done(&o);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(numbers_are_digits_only),
		cmocka_unit_test(errors_carry_step_and_peer),
		cmocka_unit_test(timers_run_in_order_of_due_time),
		cmocka_unit_test(every_message_has_its_own_name),
		cmocka_unit_test(a_missing_field_spoils_the_rest),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
