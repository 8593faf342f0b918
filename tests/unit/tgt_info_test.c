#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tgt.h"

/*
 * A caller at an entry VM other than a target's home is refused although the
 * target is idle: the home tells its neighbours what the target announced,
 * and they can't read it, so that they know of no target at all.
 */
static void neighbours_read_what_the_home_tells(void **state)
{
	struct tgt_info info;
	struct tgt_info got;
	struct pk_out o;
	struct pk_in in;
	bool gone = false;

	assert_true(tgt_form(LSTR("name=t-1&service=drafts&addr=127.0.0.1:80&"
				  "zone=z&vm=w-1&slots=8&conns=64&busy=3&"
				  "state=leaving&boot=18446744073709551615&"
				  "seq=7"),
			     &info, NULL));
	pk_out_init(&o);
	pk_arr(&o, 1);
	tgt_pack(&o, &info, true);
	assert_true(pk_in_init(&in, pk_out_view(&o)));
	assert_true(tgt_unpack(&in, &got, &gone));
	assert_string_equal(got.name, "t-1");
	assert_string_equal(got.service, "drafts");
	assert_string_equal(got.addr, "127.0.0.1:80");
	assert_string_equal(got.zone, "z");
	assert_string_equal(got.vm, "w-1");
	assert_int_equal(got.slots, 8);
	assert_int_equal(got.conns, 64);
	assert_int_equal(got.busy, 3);
	assert_true(got.leaving);
	assert_true(got.boot == UINT64_MAX);
	assert_true(got.seq == 7);
	assert_true(gone);
	tgt_info_clear(&info);
	tgt_info_clear(&got);
	pk_in_done(&in);
	pk_out_done(&o);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(neighbours_read_what_the_home_tells),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
