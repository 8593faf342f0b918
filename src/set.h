#ifndef SET_H
#define SET_H

#include <stddef.h>

/*
 * Settings: each is a flag --NAME and an environment variable ENDIVE_NAME
 * (upper case, "-" as "_"); the flag goes first. Each is checked before
 * anything else happens.
 */
enum set_kind {
	SET_STR, /* char **: any text that is not empty */
	SET_INT, /* long long *: whole number from min to max */
	SET_ADDR, /* char **: IP:PORT */
	SET_ADDRS, /* char ***: IP:PORT with commas between, NULL at the end */
	SET_NODES, /* char ***: NODE=IP:PORT with commas between, NULL at end */
	SET_WORD, /* char **: one of words */
	SET_NAME, /* char **: letters, digits, "-", up to 31 characters */
	SET_FILE, /* char **: a file that can be read */
	SET_DIR, /* char **: a folder that can be written */
	SET_FLAG, /* gboolean *: present or not; 1 or 0 in the environment */
};

struct set_def {
	const char *name;
	enum set_kind kind;
	void *dest;
	const char *dflt; /* NULL: must be given; "": may be left out */
	long long min;
	long long max;
	const char *words; /* for SET_WORD: "a|b|c" */
	const char *help;
};

#define SET_EXIT_USAGE 2

void set_free(const struct set_def *defs, size_t n);

int set_parse(const char *program, const char *summary,
	      const struct set_def *defs, size_t n, int *argc, char ***argv);

#endif
