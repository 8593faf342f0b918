#ifndef SET_H
#define SET_H

/* set: command-line and environment settings of a program. */

#include <stddef.h>

/*
 * Each setting is a flag --NAME and an environment variable ENDIVE_NAME (upper
 * case, "-" as "_"); the flag has precedence. All settings are checked before
 * the program does anything else.
 */
enum set_kind {
	SET_STR, /* char **: non-empty text */
	SET_INT, /* long long *: whole number from min to max */
	SET_ADDR, /* char **: IP:PORT */
	SET_ADDRS, /* char ***: comma-separated IP:PORT, NULL-terminated */
	SET_NODES, /* char ***: comma-separated NODE=IP:PORT, likewise */
	SET_WORD, /* char **: one of words */
	SET_NAME, /* char **: letters, digits, "-", up to 31 characters */
	SET_FILE, /* char **: a readable file */
	SET_DIR, /* char **: a writable folder */
	SET_FLAG, /* gboolean *: flag without value; 1 or 0 in environment */
};

/* Definition of a setting. */
struct set_def {
	const char *name;
	enum set_kind kind;
	void *dest;
	const char *dflt; /* default; NULL: required; "": optional */
	long long min;
	long long max;
	const char *words; /* for SET_WORD: "a|b|c" */
	const char *help;
};

/* Exit status for an invalid setting. */
#define SET_EXIT_USAGE 2

void set_free(const struct set_def *defs, size_t n);

int set_parse(const char *program, const char *summary,
	      const struct set_def *defs, size_t n, int *argc, char ***argv);

#endif
