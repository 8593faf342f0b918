#include "cli.h"

#include <inttypes.h>
#include <stdio.h>

#include "lgl.h"

/*
 * The story of one job out of log files: its own lines, what became of the
 * workers that it ran on, who led, and how full its pools were.
 */

/* A change of leader so long before a job is part of its story, ms. */
#define CLI_TRACE_BEFORE_MS 2000

struct trace {
	const char *id;
	GPtrArray *lines; /* struct lgl, in order of time */
	GHashTable *pools; /* worker: its pool, of all workers */
	GHashTable *workers; /* that ran something of the job */
	int64_t from_ms; /* of its first line */
	int64_t to_ms;
	unsigned int left_out; /* lines that daemons left out meanwhile */
};

static void trace_own(void *arg, struct lgl *l);
static bool trace_is_own(const struct trace *t, const struct lgl *l);
static void trace_around(void *arg, struct lgl *l);
static bool trace_touches(struct trace *t, const struct lgl *l);
static void trace_print(const struct cli *c, struct trace *t);
static void trace_sum(const struct trace *t);
static void trace_sum_end(const struct lgl *end);
static void trace_sum_refused(const struct lgl *l);
static void trace_drop_echoes(struct trace *t);
static bool trace_no_leader(const struct lgl *l);
static int64_t trace_leaderless_ms(const struct trace *t);
static int trace_earlier(gconstpointer a, gconstpointer b);

/* Tells the story of a job; its id comes first, then the log files. */
int cli_do_trace(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	static const lgl_take passes[] = {trace_own, trace_around};
	struct trace t = {.id = args[0]};
	int rc = CLI_OK;
	guint pass;
	int i;

	t.lines = g_ptr_array_new_with_free_func(lgl_free);
	t.pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	t.workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (pass = 0; pass < G_N_ELEMENTS(passes) && rc == CLI_OK; pass++) {
		for (i = 1; i < n && rc == CLI_OK; i++)
			if (!cli_read_log(args[i], passes[pass], &t))
				rc = CLI_REFUSED;
		if (rc == CLI_OK && !t.lines->len) {
			fprintf(stderr,
				"endivectl: job %s: no line of it in %d "
				"files\n",
				t.id, n - 1);
			rc = CLI_REFUSED;
		}
	}
	if (rc == CLI_OK)
		trace_print(c, &t);
	g_ptr_array_free(t.lines, TRUE);
	g_hash_table_destroy(t.pools);
	g_hash_table_destroy(t.workers);
	return rc;
}

/* First pass: the job's own lines, and which pool each worker is in. */
static void trace_own(void *arg, struct lgl *l)
{
	struct trace *t = arg;
	char *worker = lgl_fact(l, "worker");

	if (strcmp(l->msg, "worker") == 0 && worker)
		g_hash_table_replace(t->pools, g_strdup(worker),
				     lgl_fact(l, "pool"));
	if (!trace_is_own(t, l)) {
		lgl_free(l);
		g_free(worker);
		return;
	}
	if (worker)
		g_hash_table_add(t->workers, g_strdup(worker));
	if (!t->lines->len || l->at_ms < t->from_ms)
		t->from_ms = l->at_ms;
	t->to_ms = MAX(t->to_ms, l->at_ms);
	g_ptr_array_add(t->lines, l);
	g_free(worker);
}

/* Whether a line names the job, one of its tasks, or a path to it. */
static bool trace_is_own(const struct trace *t, const struct lgl *l)
{
	static const char *const keys[] = {"job", "task", "path"};
	bool own = false;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(keys) && !own; i++) {
		char *value = lgl_fact(l, keys[i]);
		char **parts = g_strsplit_set(value ? value : "", "/.", -1);

		own = g_strv_contains((const char *const *)parts, t->id);
		g_strfreev(parts);
		g_free(value);
	}
	return own;
}

/* Second pass: what else bears on it. */
static void trace_around(void *arg, struct lgl *l)
{
	struct trace *t = arg;

	if (l->at_ms < t->from_ms - CLI_TRACE_BEFORE_MS ||
	    l->at_ms > t->to_ms || trace_is_own(t, l) || !trace_touches(t, l)) {
		lgl_free(l);
		return;
	}
	if (strcmp(l->msg, "suppressed") == 0)
		t->left_out += (unsigned int)lgl_number(l, "lines");
	g_ptr_array_add(t->lines, l);
}

/* Whether a line tells of the job's workers, pools or leaders. */
static bool trace_touches(struct trace *t, const struct lgl *l)
{
	static const char *const leaders[] = {"lead", "lead-over",
					      "entry-leader", NULL};
	char *worker = lgl_fact(l, "worker");
	char *pool = lgl_fact(l, "pool");
	bool touches =
		g_strv_contains(leaders, l->msg) ||
		(strcmp(l->msg, "suppressed") == 0 && l->at_ms >= t->from_ms);
	GHashTableIter it;
	gpointer w;

	if (worker && g_str_has_prefix(l->msg, "worker"))
		touches = g_hash_table_contains(t->workers, worker);
	if (strcmp(l->msg, "pool") == 0 && l->at_ms >= t->from_ms) {
		g_hash_table_iter_init(&it, t->workers);
		while (!touches && g_hash_table_iter_next(&it, &w, NULL))
			touches = g_strcmp0(pool, g_hash_table_lookup(t->pools,
								      w)) == 0;
	}
	g_free(worker);
	g_free(pool);
	return touches;
}

/* Prints the lines by time, and for people what they come to. */
static void trace_print(const struct cli *c, struct trace *t)
{
	static const char *const cols[] = {"ms", "where", "what", "facts"};
	struct qtb table;
	guint i;

	g_ptr_array_sort(t->lines, trace_earlier);
	trace_drop_echoes(t);
	qtb_init(&table, cols, G_N_ELEMENTS(cols));
	for (i = 0; i < t->lines->len; i++) {
		const struct lgl *l = g_ptr_array_index(t->lines, i);
		struct pk_out *o = qtb_row(&table);

		pk_i(o, l->at_ms - t->from_ms);
		pk_cstr(o, l->where);
		pk_cstr(o, l->msg);
		pk_cstr(o, l->facts);
	}
	cli_print_local(c, &table);
	if (!c->set.json)
		trace_sum(t);
}

/*
 * Each entry daemon tells that the leader is lost and found; the first to miss
 * it and the leader's own word are enough.
 */
static void trace_drop_echoes(struct trace *t)
{
	bool nobody = false;
	guint i = 0;

	while (i < t->lines->len) {
		const struct lgl *l = g_ptr_array_index(t->lines, i);
		bool entry = strcmp(l->msg, "entry-leader") == 0;

		if (entry && (nobody || !trace_no_leader(l))) {
			g_ptr_array_remove_index(t->lines, i);
			continue;
		}
		if (trace_no_leader(l))
			nobody = true;
		if (strcmp(l->msg, "lead") == 0)
			nobody = false;
		i++;
	}
}

/* Whether a line tells that there is no leader any more. */
static bool trace_no_leader(const struct lgl *l)
{
	char *addr = lgl_fact(l, "addr");
	bool none = strcmp(l->msg, "lead-over") == 0 ||
		    (strcmp(l->msg, "entry-leader") == 0 &&
		     g_strcmp0(addr, "none") == 0);

	g_free(addr);
	return none;
}

/* What the lines come to. */
static void trace_sum(const struct trace *t)
{
	int64_t leaderless = trace_leaderless_ms(t);
	bool ended = false;
	guint i;

	putchar('\n');
	for (i = 0; i < t->lines->len; i++) {
		const struct lgl *l = g_ptr_array_index(t->lines, i);

		if (strcmp(l->msg, "job-refused") == 0)
			trace_sum_refused(l);
		if (strcmp(l->msg, "job-ended") != 0)
			continue;
		trace_sum_end(l);
		ended = true;
	}
	if (!ended)
		puts("no end of the job in these files");
	if (leaderless)
		printf("without a leader: %" PRId64 " ms of that time\n",
		       leaderless);
	if (t->left_out)
		printf("left out by daemons meanwhile: %u lines; runs may be "
		       "missing here\n",
		       t->left_out);
}

/* Why a job was refused, and when its caller was to come back. */
static void trace_sum_refused(const struct lgl *l)
{
	char *why = lgl_fact(l, "why");

	printf("refused for want of room (%s): a line of %" PRId64
	       " ms before it, due in %" PRId64
	       " ms; to come back after %" PRId64 " s\n",
	       why ? why : "?", lgl_number(l, "line_ms"),
	       lgl_number(l, "objective_ms"), lgl_number(l, "retry_after_s"));
	g_free(why);
}

/* How a job ended, and where its time went. */
static void trace_sum_end(const struct lgl *end)
{
	int64_t took = lgl_number(end, "after_ms");
	int64_t objective = lgl_number(end, "objective_ms");
	int64_t waited = lgl_number(end, "waited_ms");
	char *state = lgl_fact(end, "state");

	printf("%s after %" PRId64 " ms", state ? state : "ended", took);
	if (objective > 0 && took > objective)
		printf(", %" PRId64 " ms too late (due in %" PRId64 " ms)\n",
		       took - objective, objective);
	else
		printf(" (due in %" PRId64 " ms)\n", objective);
	if (waited >= 0)
		printf("waited for its first start: %" PRId64 " ms\n"
		       "from there to its end: %" PRId64
		       " ms, its longest chain by its caller's guess %" PRId64
		       " ms\n",
		       waited, took - waited, lgl_number(end, "chain_ms"));
	else
		puts("first start: not known, an earlier leader ordered it");
	printf("runs beyond the first of a task: %" PRId64 "\n",
	       lgl_number(end, "again"));
	g_free(state);
}

/* How long nobody led while the job was on its way, ms. */
static int64_t trace_leaderless_ms(const struct trace *t)
{
	int64_t since = 0;
	int64_t sum = 0;
	guint i;

	for (i = 0; i < t->lines->len; i++) {
		const struct lgl *l = g_ptr_array_index(t->lines, i);

		if (trace_no_leader(l) && !since)
			since = MAX(l->at_ms, t->from_ms);
		if (strcmp(l->msg, "lead") != 0 || !since)
			continue;
		sum += MAX(0, l->at_ms - since);
		since = 0;
	}
	return since ? sum + t->to_ms - since : sum;
}

/* Orders lines by their time. */
static int trace_earlier(gconstpointer a, gconstpointer b)
{
	const struct lgl *x = *(struct lgl *const *)a;
	const struct lgl *y = *(struct lgl *const *)b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}
