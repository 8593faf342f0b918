#include "cli.h"

#include <stdio.h>
#include <string.h>

#include "lgl.h"

/*
 * What callers lost, out of log files: the jobs that came to nothing or too
 * late and the requests that were refused, by queue and reason, and the seconds
 * in which most of them came.
 */

/* A reason's worst time is told as a window of so long, ms. */
#define CLI_LOSSES_WINDOW_MS 2000

enum losses_reason {
	LOSSES_FAILED, /* it couldn't be done */
	LOSSES_CRASHES, /* the same: workers crashed under a task of it */
	LOSSES_LEADER, /* an earlier leader began it */
	LOSSES_AGAIN, /* tasks of it ran more than once */
	LOSSES_ROOM, /* its first start waited for most of its leeway */
	LOSSES_WORK, /* begun in time, its work took too long */
	LOSSES_REASONS
};

static const char *const losses_names[] = {
	[LOSSES_FAILED] = "failed for good",
	[LOSSES_CRASHES] = "crashed its workers",
	[LOSSES_LEADER] = "change of leader",
	[LOSSES_AGAIN] = "run more than once",
	[LOSSES_ROOM] = "waited for room",
	[LOSSES_WORK] = "took longer than its leeway",
};

/* What was lost for one reason in one queue. */
struct losses_row {
	char *queue;
	char *reason;
	guint n;
	int64_t late_ms; /* sum */
	GHashTable *windows; /* number of the window: how many */
	int64_t worst; /* the window with most */
	guint worst_n;
};

struct losses {
	GPtrArray *rows; /* struct losses_row */
	guint n;
	int64_t first_ms; /* of all lines; 0: none yet */
	guint left_out; /* lines that daemons left out */
};

static void losses_line(void *arg, struct lgl *l);
static void losses_job(struct losses *t, const struct lgl *l);
static enum losses_reason losses_why(const struct lgl *l);
static void losses_refused(struct losses *t, const struct lgl *l);
static void losses_no_room(struct losses *t, const struct lgl *l);
static void losses_add(struct losses *t, const struct lgl *l, const char *queue,
		       const char *reason, int64_t late_ms);
static struct losses_row *losses_row_at(struct losses *t, const char *queue,
					const char *reason);
static void losses_row_free(gpointer p);
static int losses_most(gconstpointer a, gconstpointer b);
static void losses_print(const struct cli *c, struct losses *t);

/* Sums up what was lost in log files. */
int cli_do_losses(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct losses t = {
		.rows = g_ptr_array_new_with_free_func(losses_row_free)};
	bool ok = true;
	int i;

	for (i = 0; i < n && ok; i++)
		ok = cli_read_log(args[i], losses_line, &t);
	if (ok)
		losses_print(c, &t);
	g_ptr_array_free(t.rows, TRUE);
	return ok ? CLI_OK : CLI_REFUSED;
}

/* Takes in a line, if it tells of something lost. */
static void losses_line(void *arg, struct lgl *l)
{
	struct losses *t = arg;

	if (!t->first_ms || l->at_ms < t->first_ms)
		t->first_ms = l->at_ms;
	if (strcmp(l->msg, "job-ended") == 0)
		losses_job(t, l);
	else if (strcmp(l->msg, "entry-refused") == 0)
		losses_refused(t, l);
	else if (strcmp(l->msg, "job-refused") == 0)
		losses_no_room(t, l);
	else if (strcmp(l->msg, "suppressed") == 0)
		t->left_out += (guint)lgl_number(l, "lines");
	lgl_free(l);
}

/* The end of a job. */
static void losses_job(struct losses *t, const struct lgl *l)
{
	int64_t late =
		lgl_number(l, "after_ms") - lgl_number(l, "objective_ms");
	char *state = lgl_fact(l, "state");
	char *queue = lgl_fact(l, "queue");
	bool failed = g_strcmp0(state, "failed") == 0;

	/* of a queue that is gone nobody can say what is late */
	if (lgl_number(l, "objective_ms") <= 0 && !failed)
		late = 0;
	if (failed)
		losses_add(t, l, queue,
			   losses_names[lgl_number(l, "crashes") > 1
						? LOSSES_CRASHES
						: LOSSES_FAILED],
			   0);
	else if (g_strcmp0(state, "completed") == 0 && late > 0)
		losses_add(t, l, queue, losses_names[losses_why(l)], late);
	g_free(queue);
	g_free(state);
}

/* Why a job was late, the first reason that would have been enough. */
static enum losses_reason losses_why(const struct lgl *l)
{
	int64_t waited = lgl_number(l, "waited_ms");
	int64_t leeway =
		lgl_number(l, "objective_ms") - lgl_number(l, "chain_ms");

	if (waited < 0)
		return LOSSES_LEADER;
	if (lgl_number(l, "again") > 0)
		return LOSSES_AGAIN;
	return waited > leeway / 2 ? LOSSES_ROOM : LOSSES_WORK;
}

/* A request for a new job that was turned away. */
static void losses_refused(struct losses *t, const struct lgl *l)
{
	char *method = lgl_fact(l, "method");
	char *why = lgl_fact(l, "why");
	char *path = lgl_fact(l, "path");
	char *reason = g_strdup_printf("refused: %s", why ? why : "?");

	if (g_strcmp0(method, "POST") == 0) {
		char *cut = path ? strrchr(path, '/') : NULL;

		/* its id goes, what names the queue stays */
		if (cut)
			cut[1] = '\0';
		losses_add(t, l, path, reason, 0);
	}
	g_free(reason);
	g_free(path);
	g_free(why);
	g_free(method);
}

/* A job that the leader refused for want of room. */
static void losses_no_room(struct losses *t, const struct lgl *l)
{
	char *queue = lgl_fact(l, "queue");
	char *why = lgl_fact(l, "why");
	char *reason = g_strdup_printf("refused: no room, %s", why ? why : "?");

	losses_add(t, l, queue, reason, 0);
	g_free(reason);
	g_free(why);
	g_free(queue);
}

/* One more. */
static void losses_add(struct losses *t, const struct lgl *l, const char *queue,
		       const char *reason, int64_t late_ms)
{
	struct losses_row *r = losses_row_at(t, queue ? queue : "?", reason);
	int64_t window =
		(l->at_ms - lgl_number(l, "after_ms")) / CLI_LOSSES_WINDOW_MS;
	guint n =
		GPOINTER_TO_UINT(g_hash_table_lookup(r->windows, &window)) + 1;

	g_hash_table_replace(r->windows, g_memdup2(&window, sizeof(window)),
			     GUINT_TO_POINTER(n));
	if (n > r->worst_n) {
		r->worst = window;
		r->worst_n = n;
	}
	r->n++;
	r->late_ms += late_ms;
	t->n++;
}

/* The row of a queue and a reason, begun here if it is new. */
static struct losses_row *losses_row_at(struct losses *t, const char *queue,
					const char *reason)
{
	struct losses_row *r;
	guint i;

	for (i = 0; i < t->rows->len; i++) {
		r = g_ptr_array_index(t->rows, i);
		if (strcmp(r->queue, queue) == 0 &&
		    strcmp(r->reason, reason) == 0)
			return r;
	}
	r = g_new0(struct losses_row, 1);
	r->queue = g_strdup(queue);
	r->reason = g_strdup(reason);
	r->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   NULL);
	g_ptr_array_add(t->rows, r);
	return r;
}

/* Frees a row. */
static void losses_row_free(gpointer p)
{
	struct losses_row *r = p;

	g_hash_table_destroy(r->windows);
	g_free(r->queue);
	g_free(r->reason);
	g_free(r);
}

/* Orders rows by how much they tell of. */
static int losses_most(gconstpointer a, gconstpointer b)
{
	const struct losses_row *x = *(struct losses_row *const *)a;
	const struct losses_row *y = *(struct losses_row *const *)b;

	if (x->n != y->n)
		return x->n < y->n ? 1 : -1;
	return strcmp(x->queue, y->queue);
}

/* Prints the rows, most first; windows count from the first line of all. */
static void losses_print(const struct cli *c, struct losses *t)
{
	static const char *const cols[] = {"queue",    "reason",  "lost",
					   "percent",  "late_ms", "worst_at_ms",
					   "lost_then"};
	struct qtb table;
	guint i;

	g_ptr_array_sort(t->rows, losses_most);
	qtb_init(&table, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < t->rows->len; i++) {
		const struct losses_row *r = g_ptr_array_index(t->rows, i);
		struct pk_out *o = qtb_row(&table);

		g_assert(t->n);
		pk_cstr(o, r->queue);
		pk_cstr(o, r->reason);
		pk_u(o, r->n);
		pk_u(o, r->n * 100 / t->n);
		pk_i(o, r->late_ms / r->n);
		pk_i(o, r->worst * CLI_LOSSES_WINDOW_MS - t->first_ms);
		pk_u(o, r->worst_n);
	}
	cli_print_local(c, &table);
	if (!c->set.json && t->left_out)
		printf("\nleft out by daemons meanwhile: %u lines; some losses "
		       "may be missing here\n",
		       t->left_out);
}
