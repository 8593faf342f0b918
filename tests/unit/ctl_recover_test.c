#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "ctl.h"
#include "err.h"
#include "sto.h"

static int setup(void **state)
{
	*state = g_dir_make_tmp("endive-recover-XXXXXX", NULL);
	return 0;
}

static int teardown(void **state)
{
	char *path = *state;
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
	g_rmdir(path);
	g_free(path);
	return 0;
}

static bool recover(const char *path, GError **err)
{
	char *peers[] = {(char *)"n1=127.0.0.1:1", NULL};
	struct ctl_config config = {
		.node = (char *)"n1",
		.listen = (char *)"127.0.0.1:1",
		.data = (char *)path,
		.peers = peers,
	};

	return ctl_recover(&config, err);
}

static void check_refused(const char *path)
{
	GError *err = NULL;

	assert_false(recover(path, &err));
	assert_true(g_error_matches(err, err_quark(), ERR_REFUSED));
	g_error_free(err);
}

/*
 * Guards against recovery from an empty folder. The first refused call created
 * a folder, and the second one took that for a voter's: it started a fleet
 * without state and reported that the fleet was recovered.
 */
static void an_empty_folder_is_refused_twice(void **state)
{
	check_refused(*state);
	check_refused(*state);
}

/*
 * Guards against recovery from a folder that holds a vote and no entry. With an
 * entry, recovery must succeed, also when repeated.
 */
static void a_folder_without_entries_is_refused(void **state)
{
	struct sto_io *io = sto_folder_new(*state, NULL);
	struct cns_entry e = {.index = 1, .term = 1, .kind = CNS_NOOP};
	struct sto_loaded l;
	struct sto *s = sto_open(io, "n1", 7, &l, NULL);

	sto_loaded_clear(&l);
	sto_vote(s, 1, 7);
	assert_true(sto_sync(s, NULL));
	sto_free(s);
	sto_folder_free(io);
	check_refused(*state);
	io = sto_folder_new(*state, NULL);
	s = sto_open(io, "n1", 7, &l, NULL);
	assert_int_equal(l.vote, 7);
	sto_loaded_clear(&l);
	e.data = g_bytes_new(NULL, 0);
	sto_entry(s, &e);
	g_bytes_unref(e.data);
	assert_true(sto_sync(s, NULL));
	sto_free(s);
	sto_folder_free(io);
	assert_true(recover(*state, NULL));
	assert_true(recover(*state, NULL));
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(an_empty_folder_is_refused_twice),
		T(a_folder_without_entries_is_refused),
	};

	return cmocka_run_group_tests_name("ctl_recover", tests, NULL, NULL);
}
