#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "cht.h"

static const char *const states[] = {"off", "on"};
static const char *const events[] = {"press", "break"};
static const char *const actions[] = {"light"};
static const struct cht_names names = {
	.states = states,
	.n_states = 2,
	.events = events,
	.n_events = 2,
	.actions = actions,
	.n_actions = 1,
};

static void refused(const char *text, const char *why)
{
	GError *err = NULL;

	assert_null(cht_load(lstr_from(text), &names, &err));
	assert_non_null(strstr(err->message, why));
	g_error_free(err);
}

static void steps_follow_the_file(void **state)
{
	struct cht *c = cht_load(LSTR("start off\n"
				      "off press -> on : light\n"
				      "on press -> off\n"
				      "on break reject\n"
				      "* break ignore\n"),
				 &names, NULL);
	struct cht_step step;

	assert_non_null(c);
	assert_true(cht_step(c, 0, 0, &step));
	assert_int_equal(step.next, 1);
	assert_int_equal(step.action, 0);
	assert_true(cht_step(c, 0, 1, &step));
	assert_int_equal(step.next, 0);
	assert_int_equal(step.action, CHT_NONE);
	assert_false(cht_step(c, 1, 1, &step));
	cht_free(c);
}

static void faults_are_named(void **state)
{
	refused("off press -> on\n", "no start state");
	refused("start off\nstart on\n", "one \"start");
	refused("start off\noff press -> on\non press -> off\n",
		"event break not handled");
	refused("start off\noff press -> on\n* press ignore\n* break ignore\n",
		"on: dead end");
	refused("start off\nfinal off\non press -> off\n* press ignore\n"
		"* break ignore\n",
		"on: never reached");
	refused("start off\noff press -> on : dance\n", "line 2: no action");
	refused("start off\noff press on\n", "not a transition");
	refused("start off\noff press ignore\noff press ignore\n", "twice");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(steps_follow_the_file),
		cmocka_unit_test(faults_are_named),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
