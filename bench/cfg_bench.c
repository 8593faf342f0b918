#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "cfg.h"
#include "fcm.h"
#include "fst.h"

/*
 * Configuration and fleet state at sizes up to the two-year one. Lines: name,
 * value, unit, baseline; the baseline is the value at 500 VMs grown in
 * proportion to the VMs, so that what grows faster shows.
 * "cfg_bench print N" prints the base file for N VMs instead.
 */

#define RUNS 5
#define BASE_SIZE 500
#define RACK 4

enum measure {
	TEXT_BYTES,
	CHECK_MS,
	APPLY_FIRST_MS,
	APPLY_MS,
	DRAIN_MS,
	VIEW_BYTES,
	CHANGE_BYTES,
	CHANGE_PACK_MS,
	VIEW_PACK_MS,
	VIEW_UNPACK_MS,
	SNAPSHOT_BYTES,
	SNAPSHOT_MS,
	RESTORE_MS,
	STATE_BYTES,
	MEASURES
};

static const struct {
	const char *name;
	const char *unit;
} measures[MEASURES] = {
	[TEXT_BYTES] = {"text", "bytes"},
	[CHECK_MS] = {"check", "ms"},
	[APPLY_FIRST_MS] = {"apply_first", "ms"},
	[APPLY_MS] = {"apply_again", "ms"},
	[DRAIN_MS] = {"drain", "ms"},
	[VIEW_BYTES] = {"view_of_a_site", "bytes"},
	[CHANGE_BYTES] = {"view_change_by_a_drain", "bytes"},
	[CHANGE_PACK_MS] = {"view_change_pack", "ms"},
	[VIEW_PACK_MS] = {"view_pack", "ms"},
	[VIEW_UNPACK_MS] = {"view_unpack", "ms"},
	[SNAPSHOT_BYTES] = {"snapshot", "bytes"},
	[SNAPSHOT_MS] = {"snapshot", "ms"},
	[RESTORE_MS] = {"restore", "ms"},
	[STATE_BYTES] = {"state_in_memory", "bytes"},
};

static const int sizes[] = {50, 500, 2000, 9200};

static double now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

/* Up to 4 sites of 4 zones; one site of 3 zones as today below 500 VMs. */
static GString *base_file(int vms, const char *extra)
{
	GString *s = g_string_new("[fleet]\nname = bench\n");
	int sites = vms < 500 ? 1 : 4;
	int zones = vms < 500 ? 3 : 4;
	int pools = MAX(5, vms * 160 / 9200);
	int i;
	int j;

	for (i = 0; i < sites; i++) {
		g_string_append_printf(s, "[site s%d]\nzones =", i);
		for (j = 0; j < zones; j++)
			g_string_append_printf(s, " s%d-%c", i, 'a' + j);
		g_string_append_c(s, '\n');
	}
	g_string_append(s, "[size std]\ncores = 16\nmemory = 64G\n"
			   "accelerators = 1\n");
	for (i = 0; i < pools; i++)
		g_string_append_printf(s,
				       "[pool p%03d]\nservice = svc%03d\n"
				       "capacity = %d\nbudget = 1\n"
				       "deadline = 10s\npriority = %d\n",
				       i, i, MAX(2, vms / pools / sites - 2),
				       i % 100);
	for (i = 0; i < 58; i++)
		g_string_append_printf(s, "[team t%02d]\ncores = 2000\n", i);
	for (i = 0; i < pools; i++)
		g_string_append_printf(s,
				       "[job j%03d]\npool = p%03d\n"
				       "team = t%02d\n",
				       i, i, i % 58);
	for (i = 0; i < vms; i++) {
		if (i % RACK == 0)
			g_string_append_printf(s,
					       "[rack r%04d]\nzone = s%d-%c\n",
					       i / RACK, i / RACK % sites,
					       'a' + i / RACK / sites % zones);
		g_string_append_printf(s, "vm.w%05d = p%03d std\n", i,
				       i % pools);
	}
	g_string_append(s, extra);
	return s;
}

static void apply(struct fst *f, const struct fcm_cmd *cmd)
{
	struct fcm_result r;
	struct pk_out c;
	struct pk_out e;
	struct pk_out o;

	pk_out_init(&c);
	pk_out_init(&e);
	pk_out_init(&o);
	fcm_encode(cmd, &c);
	fst_entry_pack(&e, 1000, LSTR("bench"), KEY_DUTY, pk_out_view(&c));
	fst_apply(f, fst_index(f) + 1, pk_out_view(&e), &o);
	if (!fcm_result_unpack(&r, pk_out_view(&o)) || r.code != PROTO_OK) {
		fprintf(stderr, "cfg_bench: not accepted: %s\n", r.text);
		exit(1);
	}
	fcm_result_clear(&r);
	pk_out_done(&c);
	pk_out_done(&e);
	pk_out_done(&o);
}

static double apply_file(struct fst *f, const GString *text, const char *id)
{
	struct fcm_cmd cmd = {
		.kind = FCM_APPLY,
		.id = lstr_from(id),
		.made_ms = 900,
		.apply = {.base = FCM_ANY_BASE,
			  .n_files = 1,
			  .files = {{LSTR("base.conf"),
				     lstr_n(text->str, text->len)}}}};
	double from = now_ms();

	apply(f, &cmd);
	return now_ms() - from;
}

static double drain(struct fst *f)
{
	struct fcm_cmd cmd = {.kind = FCM_DRAIN,
			      .id = LSTR("drain"),
			      .made_ms = 900,
			      .drain = {.name = LSTR("w00000"),
					.base = FCM_ANY_BASE}};
	double from = now_ms();

	apply(f, &cmd);
	return now_ms() - from;
}

static void run(int vms, double *out)
{
	GString *text = base_file(vms, "");
	GString *changed = base_file(vms, "# changed\n");
	struct cfg_text file = {LSTR("base.conf"),
				lstr_n(text->str, text->len)};
	GPtrArray *faults = cfg_faults_new();
	struct fst *f = fst_new();
	struct fst *other = fst_new();
	struct pk_out view;
	struct pk_out snap;
	size_t before;
	double from = now_ms();

	cfg_free(cfg_load(&file, 1, faults));
	out[CHECK_MS] = now_ms() - from;
	out[TEXT_BYTES] = (double)text->len;
	before = mallinfo2().uordblks;
	out[APPLY_FIRST_MS] = apply_file(f, text, "first");
	out[STATE_BYTES] = (double)(mallinfo2().uordblks - before);
	out[APPLY_MS] = apply_file(f, changed, "again");
	out[DRAIN_MS] = drain(f);
	pk_out_init(&view);
	from = now_ms();
	fst_view_since(f, LSTR("s0-a"), fst_version(f) - 1, &view);
	out[CHANGE_PACK_MS] = now_ms() - from;
	out[CHANGE_BYTES] = (double)pk_out_view(&view).len;
	pk_out_done(&view);
	pk_out_init(&view);
	pk_out_init(&snap);
	from = now_ms();
	fst_view_zone(f, LSTR("s0-a"), &view);
	out[VIEW_PACK_MS] = now_ms() - from;
	out[VIEW_BYTES] = (double)pk_out_view(&view).len;
	from = now_ms();
	fvw_free(fvw_unpack(pk_out_view(&view), NULL));
	out[VIEW_UNPACK_MS] = now_ms() - from;
	from = now_ms();
	fst_snapshot(f, &snap);
	out[SNAPSHOT_MS] = now_ms() - from;
	out[SNAPSHOT_BYTES] = (double)pk_out_view(&snap).len;
	from = now_ms();
	if (!fst_restore(other, pk_out_view(&snap), NULL))
		exit(1);
	out[RESTORE_MS] = now_ms() - from;
	pk_out_done(&view);
	pk_out_done(&snap);
	fst_free(f);
	fst_free(other);
	g_ptr_array_free(faults, TRUE);
	g_string_free(text, TRUE);
	g_string_free(changed, TRUE);
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The median of RUNS runs, for each measure. */
static void measure(int vms, double *out)
{
	double all[RUNS][MEASURES];
	double one[RUNS];
	int i;
	int m;

	for (i = 0; i < RUNS; i++)
		run(vms, all[i]);
	for (m = 0; m < MEASURES; m++) {
		for (i = 0; i < RUNS; i++)
			one[i] = all[i][m];
		qsort(one, RUNS, sizeof(*one), by_value);
		out[m] = one[RUNS / 2];
	}
}

int main(int argc, char **argv)
{
	double got[G_N_ELEMENTS(sizes)][MEASURES];
	double base = 0;
	size_t i;
	int m;

	if (argc == 3 && strcmp(argv[1], "print") == 0) {
		GString *s = base_file(atoi(argv[2]), "");

		fputs(s->str, stdout);
		g_string_free(s, TRUE);
		return 0;
	}
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i], got[i]);
	for (m = 0; m < MEASURES; m++)
		for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
			if (sizes[i] == BASE_SIZE)
				base = got[i][m];
			printf("cfg.%s.%d_vms\t%.4g\t%s\t", measures[m].name,
			       sizes[i], got[i][m], measures[m].unit);
			if (sizes[i] > BASE_SIZE)
				printf("%.4g\n", base * sizes[i] / BASE_SIZE);
			else
				printf("-\n");
		}
	return 0;
}
