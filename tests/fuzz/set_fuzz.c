#include <fcntl.h>

#include "fuzz.h"
#include "set.h"

struct taken {
	char *text;
	long long number;
	char *addr;
	char **addrs;
	char *word;
	char *name;
	gboolean flag;
};

static struct taken taken;

static const struct set_def defs[] = {
	{"text", SET_STR, &taken.text, "", 0, 0, NULL, "text"},
	{"number", SET_INT, &taken.number, "5", 3, 4000, NULL, "number"},
	{"addr", SET_ADDR, &taken.addr, "127.0.0.1:1", 0, 0, NULL, "addr"},
	{"addrs", SET_ADDRS, &taken.addrs, "", 0, 0, NULL, "addrs"},
	{"word", SET_WORD, &taken.word, "a", 0, 0, "a|bc|d", "word"},
	{"name", SET_NAME, &taken.name, NULL, 0, 0, NULL, "name"},
	{"flag", SET_FLAG, &taken.flag, "0", 0, 0, NULL, "flag"},
};

static int complaints = -1;

/* Help ends the process, as it should. */
static bool asks_for_help(char **args)
{
	for (; *args; args++)
		if (**args == '-' &&
		    (args[0][1] != '-' || g_str_has_prefix(*args, "--help")))
			return true;
	return false;
}

static void forget_taken(void)
{
	g_free(taken.text);
	g_free(taken.addr);
	g_free(taken.word);
	g_free(taken.name);
	g_strfreev(taken.addrs);
	taken = (struct taken){0};
}

static void check_taken(void)
{
	g_assert_cmpint(taken.number, >=, 3);
	g_assert_cmpint(taken.number, <=, 4000);
	g_assert_nonnull(taken.addr);
	g_assert_nonnull(taken.name);
	g_assert_cmpuint(strlen(taken.name), <=, 31);
	g_assert_true(strcmp(taken.word, "a") == 0 ||
		      strcmp(taken.word, "bc") == 0 ||
		      strcmp(taken.word, "d") == 0);
}

/* What is refused is told in one line, no more and no less. */
static void check_complaint(void)
{
	char text[FUZZ_INPUT_MAX * 2];
	ssize_t len = pread(complaints, text, sizeof(text), 0);
	ssize_t lines = 0;
	ssize_t i;

	for (i = 0; i < len; i++)
		lines += text[i] == '\n';
	g_assert_cmpint(lines, ==, 1);
}

static void open_complaints(void)
{
	char *path;

	complaints = g_file_open_tmp("endive-set-XXXXXX", &path, NULL);
	g_assert_cmpint(complaints, >=, 0);
	unlink(path);
	g_free(path);
	g_assert_cmpint(fcntl(complaints, F_SETFL, O_APPEND), ==, 0);
}

/* Lines of the input are the arguments. */
static void one(struct lstr input)
{
	char *text = lstr_dup(input);
	char *line = g_strconcat("fuzz\n", text, NULL);
	char **args = g_strsplit(line, "\n", -1);
	char **argv =
		g_memdup2(args, sizeof(*args) * (g_strv_length(args) + 1));
	char **all = argv;
	int argc = (int)g_strv_length(args);
	int rc = 0;
	int saved;

	if (complaints < 0)
		open_complaints();
	g_assert_cmpint(ftruncate(complaints, 0), ==, 0);
	fflush(stderr);
	saved = dup(STDERR_FILENO);
	dup2(complaints, STDERR_FILENO);
	if (!asks_for_help(args))
		rc = set_parse("fuzz", "fuzz", defs, G_N_ELEMENTS(defs), &argc,
			       &argv);
	dup2(saved, STDERR_FILENO);
	close(saved);
	g_assert_true(rc == -1 || rc == 0 || rc == SET_EXIT_USAGE);
	if (rc == -1)
		check_taken();
	if (rc == SET_EXIT_USAGE)
		check_complaint();
	forget_taken();
	g_free(all);
	g_strfreev(args);
	g_free(line);
	g_free(text);
}

FUZZ_MAIN("set", one, 20000)
