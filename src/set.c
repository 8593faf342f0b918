#include "set.h"

#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endiveslip.h"
#include "lstr.h"

#define SET_NAME_MAX 31

typedef gboolean (*set_check_fn)(const struct set_def *def, const char *value);

static gboolean set_check_str(const struct set_def *def, const char *value);
static gboolean set_check_int(const struct set_def *def, const char *value);
static gboolean set_check_addr(const struct set_def *def, const char *value);
static gboolean set_check_addrs(const struct set_def *def, const char *value);
static gboolean set_check_nodes(const struct set_def *def, const char *value);
static gboolean set_check_word(const struct set_def *def, const char *value);
static gboolean set_check_name(const struct set_def *def, const char *value);
static gboolean set_check_file(const struct set_def *def, const char *value);
static gboolean set_check_dir(const struct set_def *def, const char *value);
static gboolean set_check_flag(const struct set_def *def, const char *value);

/*
 * For each kind: the function that checks and stores a value, the allowed
 * values for error messages, and the placeholder in the help.
 */
static const struct {
	set_check_fn check;
	const char *allowed;
	const char *arg;
} set_kinds[] = {
	[SET_STR] = {set_check_str, "non-empty text", "TEXT"},
	[SET_INT] = {set_check_int, NULL, "NUMBER"},
	[SET_ADDR] = {set_check_addr, "IP:PORT, the IP in numbers", "IP:PORT"},
	[SET_ADDRS] = {set_check_addrs, "IP:PORT with commas between",
		       "IP:PORT,..."},
	[SET_NODES] = {set_check_nodes, "NODE=IP:PORT with commas between",
		       "NODE=IP:PORT,..."},
	[SET_WORD] = {set_check_word, NULL, "WORD"},
	[SET_NAME] = {set_check_name,
		      "letters, digits and \"-\", at most 31 characters",
		      "NAME"},
	[SET_FILE] = {set_check_file, "a file that can be read", "FILE"},
	[SET_DIR] = {set_check_dir, "a folder that can be written", "FOLDER"},
	[SET_FLAG] = {set_check_flag, "1 or 0", NULL},
};

static char *set_env_name(const char *name)
{
	char *env = g_strconcat("ENDIVE_", name, NULL);
	char *p;

	for (p = env; *p; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
	return env;
}

static void set_print_error(const char *program, const struct set_def *def,
			    const char *value)
{
	if (!value) {
		fprintf(stderr,
			"%s: setting --%s is missing; allowed: ", program,
			def->name);
	} else {
		fprintf(stderr,
			"%s: setting --%s=%s: not allowed; allowed: ", program,
			def->name, value);
	}
	if (def->kind == SET_INT)
		fprintf(stderr, "a whole number from %lld to %lld\n", def->min,
			def->max);
	else if (def->kind == SET_WORD)
		fprintf(stderr, "%s\n", def->words);
	else
		fprintf(stderr, "%s\n", set_kinds[def->kind].allowed);
}

static gboolean set_store_value(const char *program, const struct set_def *def,
				const char *flag)
{
	char *env = set_env_name(def->name);
	const char *value = flag ? flag : g_getenv(env);

	g_free(env);
	if (!value)
		value = def->dflt;
	if (!value) {
		set_print_error(program, def, NULL);
		return FALSE;
	}
	/* An omitted optional setting leaves the caller's initial value. */
	if (*value == '\0' && value == def->dflt)
		return TRUE;
	if (set_kinds[def->kind].check(def, value))
		return TRUE;
	set_print_error(program, def, value);
	return FALSE;
}

static char *set_format_help(const struct set_def *def)
{
	if (!def->dflt || *def->dflt == '\0' || def->kind == SET_FLAG)
		return g_strdup(def->help);
	return g_strdup_printf("%s [%s]", def->help, def->dflt);
}

/*
 * Reads the settings of a program from its flags and the environment and
 * stores them at the dest pointers of defs. Removes flags from argv and leaves
 * the other arguments. Returns -1 if the program shall continue; otherwise the
 * exit status: 0 after --help or --version, SET_EXIT_USAGE (2) after one error
 * line that names the setting, its value and the allowed values.
 */
int set_parse(const char *program, const char *summary,
	      const struct set_def *defs, size_t n, int *argc, char ***argv)
{
	GOptionEntry *entries = g_new0(GOptionEntry, n + 2);
	char **values = g_new0(char *, n);
	gboolean *flags = g_new0(gboolean, n);
	char **help = g_new0(char *, n + 1);
	gboolean version = FALSE;
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *err = NULL;
	int rc = -1;
	size_t i;

	for (i = 0; i < n; i++) {
		gboolean is_flag = defs[i].kind == SET_FLAG;

		help[i] = set_format_help(&defs[i]);
		entries[i] = (GOptionEntry){
			.long_name = defs[i].name,
			.arg = is_flag ? G_OPTION_ARG_NONE
				       : G_OPTION_ARG_STRING,
			.arg_data = is_flag ? (gpointer)&flags[i]
					    : (gpointer)&values[i],
			.description = help[i],
			.arg_description = set_kinds[defs[i].kind].arg,
		};
	}
	entries[n] = (GOptionEntry){
		.long_name = "version",
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &version,
		.description = "Show the version and exit",
	};
	g_option_context_set_summary(ctx, summary);
	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &err)) {
		fprintf(stderr, "%s: %s\n", program, err->message);
		g_clear_error(&err);
		rc = SET_EXIT_USAGE;
	} else if (version) {
		printf("%s %s\n", program, ES_VERSION);
		rc = 0;
	}
	for (i = 0; rc == -1 && i < n; i++)
		if (!set_store_value(program, &defs[i],
				     flags[i] ? "1" : values[i]))
			rc = SET_EXIT_USAGE;
	for (i = 0; i < n; i++)
		g_free(values[i]);
	g_option_context_free(ctx);
	g_strfreev(help);
	g_free(flags);
	g_free(values);
	g_free(entries);
	return rc;
}

/* Frees the values that set_parse stored at the dest pointers of defs. */
void set_free(const struct set_def *defs, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (defs[i].kind == SET_ADDRS)
			g_strfreev(*(char ***)defs[i].dest);
		else if (defs[i].kind != SET_INT && defs[i].kind != SET_FLAG)
			g_free(*(char **)defs[i].dest);
	}
}

static gboolean set_store_string(const struct set_def *def, const char *value)
{
	char **dest = def->dest;

	*dest = g_strdup(value);
	return TRUE;
}

static gboolean set_check_str(const struct set_def *def, const char *value)
{
	return *value && set_store_string(def, value);
}

static gboolean set_check_int(const struct set_def *def, const char *value)
{
	unsigned long long v;
	long long *dest = def->dest;

	if (!lstr_u64(lstr_from(value), &v) ||
	    v > (unsigned long long)G_MAXINT64)
		return FALSE;
	if ((long long)v < def->min || (long long)v > def->max)
		return FALSE;
	*dest = (long long)v;
	return TRUE;
}

static gboolean set_is_addr(const char *value)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	if (evutil_parse_sockaddr_port(value, (struct sockaddr *)&ss, &len))
		return FALSE;
	if (ss.ss_family == AF_INET)
		return ((struct sockaddr_in *)&ss)->sin_port != 0;
	return ((struct sockaddr_in6 *)&ss)->sin6_port != 0;
}

static gboolean set_check_addr(const struct set_def *def, const char *value)
{
	return set_is_addr(value) && set_store_string(def, value);
}

static gboolean set_is_name(const char *value, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (!g_ascii_isalnum(value[i]) && value[i] != '-')
			return FALSE;
	return len > 0 && len <= SET_NAME_MAX;
}

static gboolean set_is_node(const char *value)
{
	const char *eq = strchr(value, '=');

	return eq && set_is_name(value, (size_t)(eq - value)) &&
	       set_is_addr(eq + 1);
}

/* Stores a comma-separated list if every element is valid. */
static gboolean set_check_list(const struct set_def *def, const char *value,
			       gboolean (*is_valid)(const char *value))
{
	char ***dest = def->dest;
	char **list = g_strsplit(value, ",", -1);
	size_t i;

	for (i = 0; list[i]; i++) {
		if (is_valid(list[i]))
			continue;
		g_strfreev(list);
		return FALSE;
	}
	*dest = list;
	return TRUE;
}

static gboolean set_check_addrs(const struct set_def *def, const char *value)
{
	return set_check_list(def, value, set_is_addr);
}

static gboolean set_check_nodes(const struct set_def *def, const char *value)
{
	return set_check_list(def, value, set_is_node);
}

static gboolean set_check_word(const struct set_def *def, const char *value)
{
	char **words = g_strsplit(def->words, "|", -1);
	gboolean known = g_strv_contains((const char *const *)words, value);

	g_strfreev(words);
	return known && set_store_string(def, value);
}

static gboolean set_check_name(const struct set_def *def, const char *value)
{
	return set_is_name(value, strlen(value)) &&
	       set_store_string(def, value);
}

static gboolean set_check_file(const struct set_def *def, const char *value)
{
	return access(value, R_OK) == 0 && set_store_string(def, value);
}

static gboolean set_check_dir(const struct set_def *def, const char *value)
{
	return g_file_test(value, G_FILE_TEST_IS_DIR) &&
	       access(value, W_OK) == 0 && set_store_string(def, value);
}

static gboolean set_check_flag(const struct set_def *def, const char *value)
{
	gboolean *dest = def->dest;

	if (strcmp(value, "1") != 0 && strcmp(value, "0") != 0)
		return FALSE;
	*dest = *value == '1';
	return TRUE;
}
