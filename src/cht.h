#ifndef CHT_H
#define CHT_H

#include <glib.h>

#include "lstr.h"

/*
 * A state chart: a table from (state, event) to (next state, action), read
 * from a file of charts/ that is compiled in. Codes are the positions of the
 * names in the lists that the owner of the chart passes, so that its enums
 * and the file can't drift apart unseen.
 */
struct cht;

/* The owner's names, each list in the order of its enum. */
struct cht_names {
	const char *const *states;
	int n_states;
	const char *const *events;
	int n_events;
	const char *const *actions;
	int n_actions;
};

/* What an event does in a state. */
struct cht_step {
	int next; /* state to go to; the same where the event is ignored */
	int action; /* -1: none */
};

#define CHT_NONE (-1)

struct cht *cht_load(struct lstr text, const struct cht_names *names,
		     GError **err);
struct cht *cht_builtin(const char *name, const struct cht_names *names);
void cht_free(struct cht *c);
int cht_start(const struct cht *c);
gboolean cht_is_final(const struct cht *c, int state);
gboolean cht_step(const struct cht *c, int state, int event,
		  struct cht_step *out);

/* Committed output of charts/embed.sh: name and text of each chart. */
struct cht_file {
	const char *name;
	const char *text;
};
extern const struct cht_file cht_files[];
extern const int cht_files_len;

#endif
