#include "fuzz.h"
#include "plt_int.h"

static void check_report(struct lstr input)
{
	struct plt_report r;

	if (plt_report_read("i-1", input, &r) == HUB_REPORT_USABLE) {
		g_assert_cmpstr(r.info.id, ==, "i-1");
		g_assert_nonnull(r.info.pool);
		g_assert_nonnull(r.info.addr);
		g_assert_nonnull(r.info.zone);
		g_assert_nonnull(r.info.labels);
		g_assert_true(r.info.cpu > 0);
		g_assert_true(r.info.started_ms >= WKR_START_DAMAGED);
		g_assert_true(r.leaves_in_ms >= 0 && r.clock_ms >= 0);
	}
	jtb_worker_info_clear(&r.info);
}

static void check_runs(struct lstr input)
{
	struct wkr_report r;
	guint i;

	if (!plt_codec.report(input, &r))
		return;
	g_assert_true(r.started_ms >= WKR_START_DAMAGED && r.clock_ms >= 0);
	for (i = 0; i < r.rows->len; i++)
		g_assert_true(
			g_array_index(r.rows, struct wkr_row, i).name.id[0]);
	for (i = 0; i < r.ends->len; i++)
		g_assert_true(g_array_index(r.ends, struct wkr_end, i).how <
			      JTB_ENDS);
	plt_codec.report_done(&r);
}

static void check_vms(struct lstr input)
{
	GPtrArray *vms = g_ptr_array_new_with_free_func(vms_vm_free);
	GPtrArray *unreadable = g_ptr_array_new_with_free_func(g_free);
	char *next = NULL;
	guint i;

	if (!plt_vm_codec.list(input, vms, &next, unreadable))
		g_assert_true(vms->len == 0 && !next);
	for (i = 0; i < vms->len; i++) {
		const struct vms_vm *vm = g_ptr_array_index(vms, i);

		g_assert_true(vm->name && vm->pool && vm->worker);
		g_assert_true(vm->state <= VMS_DOWN);
	}
	g_free(next);
	g_ptr_array_free(unreadable, TRUE);
	g_ptr_array_free(vms, TRUE);
}

/*
 * What is read of a worker's report, of its list of runs and of the list of VMs
 * is complete and within its range, whoever wrote it.
 */
static void check(struct lstr input)
{
	check_report(input);
	check_runs(input);
	check_vms(input);
}

FUZZ_MAIN("worker", check, 60000)
