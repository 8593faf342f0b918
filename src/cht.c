#include "cht.h"

#include "err.h"

/*
 * A cell of the table. Every cell must be filled by the file: an event that
 * was not thought of in a state would else be found by a caller, not at load.
 */
enum cht_kind {
	CHT_MISSING,
	CHT_GO,
	CHT_IGNORE,
	CHT_REJECT,
};

struct cht_cell {
	enum cht_kind kind;
	struct cht_step step;
};

struct cht {
	struct cht_cell *cells; /* n_states rows of n_events */
	gboolean *final;
	int n_states;
	int n_events;
	int start;
};

/* Where the reader stands in a file, for its errors. */
struct cht_reader {
	struct cht *c;
	const struct cht_names *names;
	int line;
	GError **err;
};

static int cht_find(struct lstr word, const char *const *names, int n);
static GPtrArray *cht_words(struct lstr line);
static gboolean cht_read_line(struct cht_reader *r, struct lstr line);
static gboolean cht_read_start(struct cht_reader *r, char **words, int n);
static gboolean cht_read_final(struct cht_reader *r, char **words, int n);
static gboolean cht_read_cell(struct cht_reader *r, char **words, int n);
static gboolean cht_fill(struct cht_reader *r, const char *state,
			 const char *event, struct cht_cell cell);
static gboolean cht_check(struct cht_reader *r);
static gboolean cht_check_reach(struct cht_reader *r);
static gboolean cht_bad(struct cht_reader *r, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

/*
 * Reads a chart. Lines are
 *	start STATE
 *	final STATE...
 *	STATE EVENT -> STATE [: ACTION]
 *	STATE EVENT ignore
 *	STATE EVENT reject
 * with "*" for every state whose cell is still empty, and "#" comments.
 * NULL with ERR_INPUT: the line at fault, or a state that can't be reached, a
 * state that can't be left and is not final, an event not handled in a state.
 */
struct cht *cht_load(struct lstr text, const struct cht_names *names,
		     GError **err)
{
	struct cht *c = g_new0(struct cht, 1);
	struct cht_reader r = {.c = c, .names = names, .err = err};
	struct lstr line;
	gboolean ok = TRUE;

	c->n_states = names->n_states;
	c->n_events = names->n_events;
	c->start = CHT_NONE;
	c->cells = g_new0(struct cht_cell, c->n_states * c->n_events);
	c->final = g_new0(gboolean, c->n_states);
	while (ok && text.len) {
		lstr_cut(text, '\n', &line, &text);
		r.line++;
		ok = cht_read_line(&r, lstr_trim(line));
	}
	if (ok && cht_check(&r))
		return c;
	cht_free(c);
	return NULL;
}

/*
 * Loads a chart that is compiled in. A fault in it is a fault of this
 * program, so it ends here with the reason.
 */
struct cht *cht_builtin(const char *name, const struct cht_names *names)
{
	GError *err = NULL;
	struct cht *c;
	int i;

	for (i = 0; i < cht_files_len; i++) {
		if (strcmp(cht_files[i].name, name) != 0)
			continue;
		c = cht_load(lstr_from(cht_files[i].text), names, &err);
		if (!c)
			g_error("chart %s: %s", name, err->message);
		return c;
	}
	g_error("no chart %s", name);
}

/* Frees a chart. */
void cht_free(struct cht *c)
{
	if (!c)
		return;
	g_free(c->cells);
	g_free(c->final);
	g_free(c);
}

/* The state in which everything begins. */
int cht_start(const struct cht *c)
{
	return c->start;
}

/* Whether a state is one of those in which things may end. */
gboolean cht_is_final(const struct cht *c, int state)
{
	return c->final[state];
}

/*
 * What event does in state. FALSE: the chart rejects it there; the caller
 * must refuse whatever brought it. An ignored event stays, without action.
 */
gboolean cht_step(const struct cht *c, int state, int event,
		  struct cht_step *out)
{
	const struct cht_cell *cell;

	g_assert(state >= 0 && state < c->n_states);
	g_assert(event >= 0 && event < c->n_events);
	cell = &c->cells[state * c->n_events + event];
	*out = (struct cht_step){.next = state, .action = CHT_NONE};
	if (cell->kind == CHT_REJECT)
		return FALSE;
	if (cell->kind == CHT_GO)
		*out = cell->step;
	return TRUE;
}

static int cht_find(struct lstr word, const char *const *names, int n)
{
	int i;

	for (i = 0; i < n; i++)
		if (lstr_eq(word, lstr_from(names[i])))
			return i;
	return CHT_NONE;
}

/* The words of a line, without the empty ones that runs of blanks leave. */
static GPtrArray *cht_words(struct lstr line)
{
	GPtrArray *words = g_ptr_array_new_with_free_func(g_free);
	struct lstr word;
	size_t i;

	while (line.len) {
		for (i = 0; i < line.len && !g_ascii_isspace(line.p[i]); i++)
			;
		word = lstr_n(line.p, i);
		g_ptr_array_add(words, lstr_dup(word));
		line = lstr_trim(lstr_n(line.p + i, line.len - i));
	}
	return words;
}

static gboolean cht_read_line(struct cht_reader *r, struct lstr line)
{
	gboolean ok;
	struct lstr rest;
	GPtrArray *words;
	char **w;

	lstr_cut(line, '#', &line, &rest);
	line = lstr_trim(line);
	if (line.len == 0)
		return TRUE;
	words = cht_words(line);
	w = (char **)words->pdata;
	if (strcmp(w[0], "start") == 0)
		ok = cht_read_start(r, w, (int)words->len);
	else if (strcmp(w[0], "final") == 0)
		ok = cht_read_final(r, w, (int)words->len);
	else
		ok = cht_read_cell(r, w, (int)words->len);
	g_ptr_array_free(words, TRUE);
	return ok;
}

static gboolean cht_read_start(struct cht_reader *r, char **words, int n)
{
	if (n != 2 || r->c->start != CHT_NONE)
		return cht_bad(r, "one \"start STATE\" is wanted");
	r->c->start = cht_find(lstr_from(words[1]), r->names->states,
			       r->names->n_states);
	if (r->c->start == CHT_NONE)
		return cht_bad(r, "no state %s", words[1]);
	return TRUE;
}

static gboolean cht_read_final(struct cht_reader *r, char **words, int n)
{
	int state;
	int i;

	for (i = 1; i < n; i++) {
		state = cht_find(lstr_from(words[i]), r->names->states,
				 r->names->n_states);
		if (state == CHT_NONE)
			return cht_bad(r, "no state %s", words[i]);
		r->c->final[state] = TRUE;
	}
	return TRUE;
}

static gboolean cht_read_cell(struct cht_reader *r, char **words, int n)
{
	const struct cht_names *names = r->names;
	struct cht_cell cell = {.kind = CHT_GO, .step = {.action = CHT_NONE}};

	if (n == 3 && strcmp(words[2], "ignore") == 0) {
		cell.kind = CHT_IGNORE;
		return cht_fill(r, words[0], words[1], cell);
	}
	if (n == 3 && strcmp(words[2], "reject") == 0) {
		cell.kind = CHT_REJECT;
		return cht_fill(r, words[0], words[1], cell);
	}
	if ((n != 4 && n != 6) || strcmp(words[2], "->") != 0 ||
	    (n == 6 && strcmp(words[4], ":") != 0))
		return cht_bad(r, "not a transition");
	cell.step.next =
		cht_find(lstr_from(words[3]), names->states, names->n_states);
	if (cell.step.next == CHT_NONE)
		return cht_bad(r, "no state %s", words[3]);
	if (n == 6) {
		cell.step.action = cht_find(lstr_from(words[5]), names->actions,
					    names->n_actions);
		if (cell.step.action == CHT_NONE)
			return cht_bad(r, "no action %s", words[5]);
	}
	return cht_fill(r, words[0], words[1], cell);
}

static gboolean cht_fill(struct cht_reader *r, const char *state,
			 const char *event, struct cht_cell cell)
{
	const struct cht_names *names = r->names;
	struct cht *c = r->c;
	gboolean every = strcmp(state, "*") == 0;
	int e = cht_find(lstr_from(event), names->events, names->n_events);
	int s = cht_find(lstr_from(state), names->states, names->n_states);

	if (e == CHT_NONE)
		return cht_bad(r, "no event %s", event);
	if (s == CHT_NONE && !every)
		return cht_bad(r, "no state %s", state);
	if (!every && c->cells[s * c->n_events + e].kind != CHT_MISSING)
		return cht_bad(r, "%s %s stands twice", state, event);
	for (s = every ? 0 : s; s < c->n_states; s++) {
		struct cht_cell *at = &c->cells[s * c->n_events + e];

		if (at->kind == CHT_MISSING)
			*at = cell;
		if (!every)
			break;
	}
	return TRUE;
}

static gboolean cht_check(struct cht_reader *r)
{
	const struct cht_names *names = r->names;
	struct cht *c = r->c;
	gboolean leaves;
	int s;
	int e;

	if (c->start == CHT_NONE)
		return cht_bad(r, "no start state");
	for (s = 0; s < c->n_states; s++) {
		leaves = c->final[s];
		for (e = 0; e < c->n_events; e++) {
			const struct cht_cell *at =
				&c->cells[s * c->n_events + e];

			if (at->kind == CHT_MISSING)
				return cht_bad(r, "%s: event %s not handled",
					       names->states[s],
					       names->events[e]);
			if (at->kind == CHT_GO && at->step.next != s)
				leaves = TRUE;
		}
		if (!leaves)
			return cht_bad(r, "%s: dead end", names->states[s]);
	}
	return cht_check_reach(r);
}

static gboolean cht_check_reach(struct cht_reader *r)
{
	struct cht *c = r->c;
	gboolean *seen = g_new0(gboolean, c->n_states);
	gboolean grew = TRUE;
	gboolean ok = TRUE;
	int s;
	int e;

	seen[c->start] = TRUE;
	while (grew) {
		grew = FALSE;
		for (s = 0; s < c->n_states; s++) {
			for (e = 0; seen[s] && e < c->n_events; e++) {
				const struct cht_cell *at =
					&c->cells[s * c->n_events + e];

				if (at->kind != CHT_GO || seen[at->step.next])
					continue;
				seen[at->step.next] = TRUE;
				grew = TRUE;
			}
		}
	}
	for (s = 0; ok && s < c->n_states; s++)
		if (!seen[s])
			ok = cht_bad(r, "%s: never reached",
				     r->names->states[s]);
	g_free(seen);
	return ok;
}

static gboolean cht_bad(struct cht_reader *r, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	err_set(r->err, ERR_INPUT, "read chart", NULL, "line %d: %s", r->line,
		text);
	g_free(text);
	return FALSE;
}
