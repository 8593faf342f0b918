#include <fcntl.h>

#include "fuzz.h"
#include "set.h"

struct parsed {
	char *text;
	long long number;
	char *addr;
	char **addrs;
	char *word;
	char *name;
	gboolean flag;
};

static struct parsed parsed;

static const struct set_def defs[] = {
	{"text", SET_STR, &parsed.text, "", 0, 0, NULL, "text"},
	{"number", SET_INT, &parsed.number, "5", 3, 4000, NULL, "number"},
	{"addr", SET_ADDR, &parsed.addr, "127.0.0.1:1", 0, 0, NULL, "addr"},
	{"addrs", SET_ADDRS, &parsed.addrs, "", 0, 0, NULL, "addrs"},
	{"word", SET_WORD, &parsed.word, "a", 0, 0, "a|bc|d", "word"},
	{"name", SET_NAME, &parsed.name, NULL, 0, 0, NULL, "name"},
	{"flag", SET_FLAG, &parsed.flag, "0", 0, 0, NULL, "flag"},
};

static int error_output = -1;

/* Such arguments are not tried, since --help ends the process. */
static bool requests_help(char **args)
{
	for (; *args; args++)
		if (**args == '-' &&
		    (args[0][1] != '-' || g_str_has_prefix(*args, "--help")))
			return true;
	return false;
}

static void free_parsed(void)
{
	g_free(parsed.text);
	g_free(parsed.addr);
	g_free(parsed.word);
	g_free(parsed.name);
	g_strfreev(parsed.addrs);
	parsed = (struct parsed){0};
}

static void check_parsed(void)
{
	g_assert_cmpint(parsed.number, >=, 3);
	g_assert_cmpint(parsed.number, <=, 4000);
	g_assert_nonnull(parsed.addr);
	g_assert_nonnull(parsed.name);
	g_assert_cmpuint(strlen(parsed.name), <=, 31);
	g_assert_true(strcmp(parsed.word, "a") == 0 ||
		      strcmp(parsed.word, "bc") == 0 ||
		      strcmp(parsed.word, "d") == 0);
}

/* Rejected arguments must be reported in exactly one line. */
static void check_error_line(void)
{
	char text[FUZZ_INPUT_MAX * 2];
	ssize_t len = pread(error_output, text, sizeof(text), 0);
	ssize_t lines = 0;
	ssize_t i;

	for (i = 0; i < len; i++)
		lines += text[i] == '\n';
	g_assert_cmpint(lines, ==, 1);
}

static void open_error_output(void)
{
	char *path;

	error_output = g_file_open_tmp("endive-set-XXXXXX", &path, NULL);
	g_assert_cmpint(error_output, >=, 0);
	unlink(path);
	g_free(path);
	g_assert_cmpint(fcntl(error_output, F_SETFL, O_APPEND), ==, 0);
}

/* Parses the lines of the input as arguments. */
static void parse_input(struct lstr input)
{
	char *text = lstr_dup(input);
	char *line = g_strconcat("fuzz\n", text, NULL);
	char **args = g_strsplit(line, "\n", -1);
	char **argv =
		g_memdup2(args, sizeof(*args) * (g_strv_length(args) + 1));
	char **original_argv = argv;
	int argc = (int)g_strv_length(args);
	int rc = 0;
	int saved;

	if (error_output < 0)
		open_error_output();
	g_assert_cmpint(ftruncate(error_output, 0), ==, 0);
	fflush(stderr);
	saved = dup(STDERR_FILENO);
	dup2(error_output, STDERR_FILENO);
	if (!requests_help(args))
		rc = set_parse("fuzz", "fuzz", defs, G_N_ELEMENTS(defs), &argc,
			       &argv);
	dup2(saved, STDERR_FILENO);
	close(saved);
	g_assert_true(rc == -1 || rc == 0 || rc == SET_EXIT_USAGE);
	if (rc == -1)
		check_parsed();
	if (rc == SET_EXIT_USAGE)
		check_error_line();
	free_parsed();
	g_free(original_argv);
	g_strfreev(args);
	g_free(line);
	g_free(text);
}

FUZZ_MAIN("set", parse_input, 20000)
