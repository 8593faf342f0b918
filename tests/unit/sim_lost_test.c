#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sim.h"

/*
 * Guards against an innocent job that fails as its workers are lost four times
 * just after it started there or just after a change of leader.
 */
static void four_losses_beside_its_starts_fail_no_innocent_job(void **state)
{
	struct sim_config c = sim_defaults(362246);
	struct sim_result r;

	c.length_ms = 12000;
	c.pools = 3;
	c.vms = 5;
	c.spare = 5;
	c.load = 0.39;
	c.burst = 1.96;
	c.turn_ms = 5000;
	c.fail = 0.10;
	c.guess_off = 0.16;
	c.crashes = 4;
	c.failovers = 5;
	c.cancel = 0.05;
	c.wave = false;
	c.power = 3;
	c.shrinks = 0;
	c.crashers = 0.03;
	c.orgs = 5;
	c.org_limit = 0.65;
	c.org_changes = 9;
	r = sim_play(&c);
	if (!sim_clean(&r))
		fail_msg("%s", r.first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			four_losses_beside_its_starts_fail_no_innocent_job),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
