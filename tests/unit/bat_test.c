#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "bat.h"

/* Length of a command's text, and of a command packed, bytes. */
#define TEXT 100
#define COMMAND (TEXT + 2)
#define COMMANDS 10

static int setup(void **state)
{
	struct bat *b = g_new0(struct bat, 1);

	bat_init(b);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	bat_done(*state);
	g_free(*state);
	return 0;
}

/* Adds commands, each a text that begins with its number. */
static void add(struct bat *b, int n)
{
	char text[TEXT];
	int i;

	for (i = 0; i < n; i++) {
		memset(text, 'a' + i, TEXT);
		pk_str(bat_add(b), lstr_n(text, TEXT));
	}
}

/*
 * Guards against a log that stores nothing any more: an entry of all commands
 * that were gathered is longer than a message between replicas.
 */
static void entries_fit_into_their_limit(void **state)
{
	struct bat *b = *state;
	char next = 'a';

	add(b, COMMANDS);
	while (bat_count(b)) {
		guint n = bat_fitting(b, 3 * COMMAND);
		struct pk_out o;
		struct pk_in in;

		assert_int_equal(n, MIN(3, COMMANDS - (next - 'a')));
		pk_out_init(&o);
		bat_pack(b, n, &o);
		assert_true(pk_in_init(&in, pk_out_view(&o)));
		assert_int_equal(pk_in_left(&in), n);
		while (pk_in_left(&in))
			assert_int_equal(pk_get_str(&in).p[0], next++);
		pk_in_done(&in);
		pk_out_done(&o);
		bat_drop(b, n);
	}
	assert_int_equal(next, 'a' + COMMANDS);
	assert_int_equal(bat_bytes(b), 0);
}

/* Guards against a batch that never ends, with a command over the limit. */
static void long_command_is_an_entry_of_its_own(void **state)
{
	struct bat *b = *state;

	add(b, 2);
	assert_int_equal(bat_fitting(b, COMMAND - 1), 1);
	bat_drop(b, 1);
	assert_int_equal(bat_fitting(b, COMMAND - 1), 1);
	bat_drop(b, 1);
	assert_int_equal(bat_fitting(b, COMMAND - 1), 0);
}

/* Guards against commands lost or cut that come while others are proposed. */
static void command_follows_those_that_are_left(void **state)
{
	struct bat *b = *state;

	add(b, 2);
	bat_drop(b, 1);
	add(b, 1);
	assert_int_equal(bat_count(b), 2);
	assert_int_equal(bat_bytes(b), 2 * COMMAND);
	assert_int_equal(bat_fitting(b, 2 * COMMAND), 2);
	assert_int_equal(bat_fitting(b, 2 * COMMAND - 1), 1);
}

/* Guards against memory that grows while there is always a command left. */
static void dropped_commands_are_let_go(void **state)
{
	struct bat *b = *state;
	int i;

	add(b, COMMANDS);
	for (i = 0; i < 1000; i++) {
		add(b, 1);
		bat_drop(b, 1);
		assert_int_equal(bat_count(b), COMMANDS);
		assert_int_equal(bat_bytes(b), COMMANDS * COMMAND);
		assert_true(b->out.buf.size <= 3 * COMMANDS * COMMAND);
	}
	bat_drop(b, COMMANDS);
	assert_int_equal(b->out.buf.size, 0);
}

int main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		T(entries_fit_into_their_limit),
		T(long_command_is_an_entry_of_its_own),
		T(command_follows_those_that_are_left),
		T(dropped_commands_are_let_go),
	};

	return cmocka_run_group_tests_name("bat", tests, NULL, NULL);
}
