#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "div.h"
#include "dom.h"
#include "nst.h"
#include "vtp.h"

#define VALID_SETTINGS                                         \
	"[node]\nname = n1\nzone = z1\nwire = 10.0.0.1:7000\n" \
	"seeds = 10.0.0.2:80,10.0.0.3:80\nbootstrap = true\n"  \
	"[bounds]\nkeep-s = 5\n"

static struct nst *load_text(const char *text, GError **err)
{
	char path[] = "/tmp/endive-nst-XXXXXX";
	int fd = mkstemp(path);
	struct nst *s;

	assert_true(write(fd, text, strlen(text)) == (ssize_t)strlen(text));
	close(fd);
	s = nst_load(path, err);
	unlink(path);
	return s;
}

static void valid_settings_are_parsed(void **state)
{
	GError *err = NULL;
	struct nst *s = load_text(VALID_SETTINGS, &err);

	assert_non_null(s);
	assert_string_equal(s->node, "n1");
	assert_true(s->bootstrap);
	assert_false(s->open_network);
	assert_null(s->callers);
	assert_null(s->advice);
	assert_ptr_equal(s->intake, itk_way("all"));
	assert_int_equal(s->job_retention_ms, 5000);
	assert_int_equal(s->losses, 1);
	assert_ptr_equal(s->voters, vtp_find("odd"));
	assert_string_equal(s->division, DIV_AUTO);
	assert_ptr_equal(s->domains, dom_find_way("away"));
	/* The ports of seeds are replaced by the port of wire. */
	assert_string_equal(s->seeds[0], "10.0.0.2:7000");
	assert_string_equal(s->seeds[1], "10.0.0.3:7000");
	nst_free(s);
}

/* The error names the invalid setting, its value and the allowed values. */
static void invalid_setting_is_named_in_error(void **state)
{
	static const char *const cases[][2] = {
		{"[node]\nzone = z\nwire = 1.1.1.1:1\nseeds = 1.1.1.1:1\n",
		 "[node] name is \"\""},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1\nintake = some\n",
		 "[node] intake is \"some\"; allowed: all, pool or "},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1\ndivision = fair\n",
		 "[node] division is \"fair\"; allowed: first-come, ratio"},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1\ndomains = halls\n",
		 "[node] domains is \"halls\"; allowed: none, zones, near"},
		{"[node]\nname = n\nzone = z\nwire = here\n"
		 "seeds = 1.1.1.1:1\n",
		 "[node] wire is \"here\"; allowed: IP:PORT"},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:70000\n"
		 "seeds = 1.1.1.1:1\n",
		 "[node] wire is"},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1,x\n",
		 "[node] seeds is \"x\""},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1\nadvice = there\n",
		 "[node] advice is \"there\"; allowed: IP:PORT"},
		{VALID_SETTINGS "losses = 9\n",
		 "[bounds] losses is \"9\"; allowed: a whole number, 0 to 5"},
		{VALID_SETTINGS "voters = some\n",
		 "[bounds] voters is \"some\"; allowed: odd, all or fewest"},
		{VALID_SETTINGS "grace-s = soon\n",
		 "[bounds] grace-s is \"soon\""},
		{"[node]\nname = n\nzone = z\nwire = 1.1.1.1:1\n"
		 "seeds = 1.1.1.1:1\nbootstrap = yes\n",
		 "[node] bootstrap is \"yes\"; allowed: true or false"},
		{"nothing", "settings"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GError *err = NULL;

		assert_null(load_text(cases[i][0], &err));
		assert_non_null(strstr(err->message, cases[i][1]));
		g_error_free(err);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(valid_settings_are_parsed),
		cmocka_unit_test(invalid_setting_is_named_in_error),
	};

	return cmocka_run_group_tests_name("nst", tests, NULL, NULL);
}
