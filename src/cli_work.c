#include "cli.h"

#include <string.h>

#include "cpu.h"
#include "lgl.h"

/*
 * Where the time of leaders went, out of log files: one row for each stretch in
 * which one daemon led, with its worst second.
 */

/* Without a line for so long a daemon didn't lead, ms: it writes each second. */
#define CLI_WORK_GAP_MS 5000

/* One stretch of leading. */
struct work_row {
	char *where;
	int64_t from_ms;
	int64_t until_ms;
	int64_t spent_us[CPU_KINDS];
	int64_t lag_ms; /* the most */
	int64_t lag_at_ms;
};

struct work {
	GPtrArray *rows; /* struct work_row */
	const char *file; /* being read */
	int64_t first_ms; /* of all lines; 0: none yet */
};

static void work_line(void *arg, struct lgl *l);
static struct work_row *work_row_for(struct work *t, const struct lgl *l);
static void work_row_free(gpointer p);
static int work_order(gconstpointer a, gconstpointer b);
static void work_print(const struct cli *c, const struct work *t);

/* Sums up where leaders' time went. */
int cli_do_work(struct cli *c, const struct cli_cmd *cmd, char **args, int n)
{
	struct work t = {.rows = g_ptr_array_new_with_free_func(work_row_free)};
	bool ok = true;
	int i;

	for (i = 0; i < n && ok; i++) {
		t.file = args[i];
		ok = cli_read_log(args[i], work_line, &t);
	}
	if (ok)
		work_print(c, &t);
	g_ptr_array_free(t.rows, TRUE);
	return ok ? CLI_OK : CLI_REFUSED;
}

/* Takes in a line, if it tells of work. */
static void work_line(void *arg, struct lgl *l)
{
	struct work *t = arg;
	int64_t lag = lgl_number(l, "lag_ms");
	int64_t spent = lgl_number(l, "for_ms");
	struct work_row *r;
	int k;

	if (!t->first_ms || l->at_ms < t->first_ms)
		t->first_ms = l->at_ms;
	/* the first line of a leader has nothing to compare with */
	if (strcmp(l->msg, "work") == 0 && spent > 0) {
		r = work_row_for(t, l);
		r->until_ms = l->at_ms;
		for (k = CPU_LOOP + 1; k < CPU_KINDS; k++)
			r->spent_us[k] += lgl_number(l, cpu_name(k));
		if (lag > r->lag_ms) {
			r->lag_ms = lag;
			r->lag_at_ms = l->at_ms;
		}
	}
	lgl_free(l);
}

/* The stretch that a line goes on with, or a new one. */
static struct work_row *work_row_for(struct work *t, const struct lgl *l)
{
	const char *where = l->where ? l->where : t->file;
	struct work_row *r;
	guint i;

	for (i = t->rows->len; i > 0; i--) {
		r = g_ptr_array_index(t->rows, i - 1);
		if (strcmp(r->where, where) == 0 &&
		    l->at_ms - r->until_ms < CLI_WORK_GAP_MS)
			return r;
	}
	r = g_new0(struct work_row, 1);
	r->where = g_strdup(where);
	r->from_ms = l->at_ms - lgl_number(l, "for_ms");
	r->until_ms = l->at_ms;
	g_ptr_array_add(t->rows, r);
	return r;
}

/* Frees a row. */
static void work_row_free(gpointer p)
{
	struct work_row *r = p;

	g_free(r->where);
	g_free(r);
}

/* Orders rows by time. */
static int work_order(gconstpointer a, gconstpointer b)
{
	const struct work_row *x = *(struct work_row *const *)a;
	const struct work_row *y = *(struct work_row *const *)b;

	return (x->from_ms > y->from_ms) - (x->from_ms < y->from_ms);
}

/* Prints the rows; times count from the first line, shares are percents. */
static void work_print(const struct cli *c, const struct work *t)
{
	const char *cols[CPU_KINDS + 4] = {"leader", "from_ms", "for_ms",
					   "lag_ms", "lag_at_ms"};
	guint n = 5;
	struct qtb table;
	guint i;
	int k;

	for (k = CPU_LOOP + 1; k < CPU_KINDS; k++)
		cols[n++] = cpu_name(k);
	g_ptr_array_sort(t->rows, work_order);
	qtb_init(&table, cols, n);
	for (i = 0; i < t->rows->len; i++) {
		const struct work_row *r = g_ptr_array_index(t->rows, i);
		int64_t for_ms = MAX(1, r->until_ms - r->from_ms);
		struct pk_out *o = qtb_row(&table);

		pk_cstr(o, r->where);
		pk_i(o, r->from_ms - t->first_ms);
		pk_i(o, for_ms);
		pk_i(o, r->lag_ms);
		pk_i(o, r->lag_at_ms ? r->lag_at_ms - t->first_ms : 0);
		for (k = CPU_LOOP + 1; k < CPU_KINDS; k++)
			pk_i(o, r->spent_us[k] / 10 / for_ms);
	}
	cli_print_local(c, &table);
}
