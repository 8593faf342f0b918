#ifndef LGL_H
#define LGL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Lines of the daemons' logs, read back: time, level, program, a message and
 * its facts, key=value. What stands before the time was added by whoever
 * gathered them.
 */
struct lgl {
	int64_t at_ms; /* since 1970 */
	char *where; /* last word before the time; or NULL */
	char *msg;
	char *facts; /* what follows the message, without its place in the code */
};

/* Takes a line over, to be freed with lgl_free. */
typedef void (*lgl_take)(void *arg, struct lgl *l);

bool lgl_file(const char *path, lgl_take take, void *arg);
struct lgl *lgl_read(const char *line);
void lgl_free(gpointer l);
char *lgl_fact(const struct lgl *l, const char *key);
int64_t lgl_number(const struct lgl *l, const char *key);

#endif
