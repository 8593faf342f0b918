#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "tgt.h"

/*
 * A report of a target that other entry daemons can't unpack would leave them
 * without the target: callers at entry VMs other than its home would be refused
 * although the target is idle.
 */
static void packed_report_unpacks_unchanged(void **state)
{
	struct tgt_info info;
	struct tgt_info unpacked;
	struct pk_out o;
	struct pk_in in;
	bool expired = false;

	assert_true(
		tgt_parse_form(LSTR("name=t-1&service=drafts&addr=127.0.0.1:80&"
				    "zone=z&vm=w-1&slots=8&conns=64&busy=3&"
				    "state=leaving&boot=18446744073709551615&"
				    "seq=7"),
			       &info, NULL));
	pk_out_init(&o);
	pk_arr(&o, 1);
	tgt_pack(&o, &info, true);
	assert_true(pk_in_init(&in, pk_out_view(&o)));
	assert_true(tgt_unpack(&in, &unpacked, &expired));
	assert_string_equal(unpacked.name, "t-1");
	assert_string_equal(unpacked.service, "drafts");
	assert_string_equal(unpacked.addr, "127.0.0.1:80");
	assert_string_equal(unpacked.zone, "z");
	assert_string_equal(unpacked.vm, "w-1");
	assert_int_equal(unpacked.slots, 8);
	assert_int_equal(unpacked.conns, 64);
	assert_int_equal(unpacked.busy, 3);
	assert_true(unpacked.leaving);
	assert_true(unpacked.boot == UINT64_MAX);
	assert_true(unpacked.seq == 7);
	assert_true(expired);
	tgt_info_clear(&info);
	tgt_info_clear(&unpacked);
	pk_in_done(&in);
	pk_out_done(&o);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(packed_report_unpacks_unchanged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
