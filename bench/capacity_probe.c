#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "adm.h"
#include "fcm.h"
#include "fst.h"
#include "fvw.h"
#include "pk.h"

/*
 * Size and time of the libraries by the size of the fleet, for make capacity.
 * Lines of measure, x and y, by tabs. Times are the least of several rounds:
 * what others do on the machine only adds.
 */

#define ZONES 16
#define SITES 4
#define VMS_A_RACK 4
#define VMS_A_POOL 57 /* 9,200 workers in 160 pools */
#define ROUNDS 5
#define COMMANDS 200
#define DECISIONS 20000

static const int fleet_sizes[] = {575, 1150, 2300, 4600, 9200};
static const int target_sizes[] = {50, 100, 200, 400, 575};

struct probe {
	struct fst *f;
	uint64_t index;
	unsigned made;
};

static void tell(const char *measure, double x, double y)
{
	printf("%s\t%g\t%g\n", measure, x, y);
}

static size_t heap(void)
{
	return mallinfo2().uordblks;
}

/* A base file of so many VMs, dealt over the zones by racks. */
static GString *base_file(int vms)
{
	GString *s = g_string_new("[fleet]\nname = f\n");
	int pools = vms / VMS_A_POOL + 1;
	int i;

	for (i = 0; i < SITES; i++)
		g_string_append_printf(s,
				       "[site s%d]\nzones = z%d z%d z%d z%d\n",
				       i, i, i + SITES, i + 2 * SITES,
				       i + 3 * SITES);
	g_string_append(s, "[size std]\ncores = 16\nmemory = 64G\n");
	for (i = 0; i < pools; i++)
		g_string_append_printf(s,
				       "[pool pool%03d]\nservice = svc%03d\n"
				       "capacity = 1\n",
				       i, i);
	for (i = 0; i < vms; i++) {
		if (i % VMS_A_RACK == 0)
			g_string_append_printf(s, "[rack r%04d]\nzone = z%d\n",
					       i / VMS_A_RACK,
					       i / VMS_A_RACK % ZONES);
		g_string_append_printf(s, "vm.vm%05d = pool%03d std\n", i,
				       i % pools);
	}
	return s;
}

static void do_command(struct probe *p, struct fcm_cmd *cmd)
{
	char id[32];
	struct fcm_result r = {0};
	struct pk_out c;
	struct pk_out e;
	struct pk_out o;

	g_snprintf(id, sizeof(id), "id-%u", ++p->made);
	cmd->id = lstr_from(id);
	cmd->made_ms = 1000;
	pk_out_init(&c);
	pk_out_init(&e);
	pk_out_init(&o);
	fcm_encode(cmd, &c);
	fst_entry_pack(&e, 1000, LSTR("ops"), KEY_PEER, pk_out_view(&c));
	fst_apply(p->f, ++p->index, pk_out_view(&e), &o);
	if (!fcm_result_unpack(&r, pk_out_view(&o)) || r.code != PROTO_OK)
		g_error("command refused: %s", r.text ? r.text : "no text");
	fcm_result_clear(&r);
	pk_out_done(&c);
	pk_out_done(&e);
	pk_out_done(&o);
}

static void apply_base(struct probe *p, const GString *base)
{
	struct fcm_cmd cmd = {
		.kind = FCM_APPLY,
		.apply = {.base = FCM_ANY_BASE,
			  .n_files = 1,
			  .files = {{LSTR("base.conf"),
				     lstr_n(base->str, base->len)}}},
	};

	do_command(p, &cmd);
}

static void drain(struct probe *p, int vm, bool undrain)
{
	char name[32];
	struct fcm_cmd cmd = {
		.kind = undrain ? FCM_UNDRAIN : FCM_DRAIN,
		.drain = {.base = FCM_ANY_BASE, .reason = LSTR("probe")},
	};

	g_snprintf(name, sizeof(name), "vm%05d", vm);
	cmd.drain.name = lstr_from(name);
	do_command(p, &cmd);
}

static double drain_us(struct probe *p, int vms)
{
	int64_t least = INT64_MAX;
	int round;
	int i;

	for (round = 0; round < ROUNDS; round++) {
		int64_t t = g_get_monotonic_time();

		for (i = 0; i < COMMANDS; i++)
			drain(p, i * (vms / COMMANDS), round % 2 == 1);
		t = g_get_monotonic_time() - t;
		least = MIN(least, t);
	}
	return (double)least / COMMANDS;
}

/* What follows a change: the zone's view is made and read once for each. */
static void probe_view(const struct probe *p, int vms)
{
	int64_t least_make = INT64_MAX;
	int64_t least_read = INT64_MAX;
	size_t mem = 0;
	struct pk_out o;
	int round;

	for (round = 0; round < ROUNDS; round++) {
		int64_t t = g_get_monotonic_time();
		struct fvw *v;

		pk_out_init(&o);
		fst_view_zone(p->f, LSTR("z0"), &o);
		least_make = MIN(least_make, g_get_monotonic_time() - t);
		mem = heap();
		t = g_get_monotonic_time();
		v = fvw_unpack(pk_out_view(&o), NULL);
		least_read = MIN(least_read, g_get_monotonic_time() - t);
		mem = heap() - mem;
		if (round == 0)
			tell("view_zone_bytes", vms,
			     (double)pk_out_view(&o).len);
		fvw_free(v);
		pk_out_done(&o);
	}
	tell("view_make_us", vms, (double)least_make);
	tell("view_read_us", vms, (double)least_read);
	tell("view_heap_bytes", vms, (double)mem);
	pk_out_init(&o);
	fst_view(p->f, &o);
	tell("view_whole_bytes", vms, (double)pk_out_view(&o).len);
	pk_out_done(&o);
}

static void probe_fleet(int vms)
{
	GString *base = base_file(vms);
	struct probe p = {0};
	size_t before = heap();
	int64_t t;
	struct pk_out o;

	p.f = fst_new();
	t = g_get_monotonic_time();
	apply_base(&p, base);
	tell("config_apply_us", vms, (double)(g_get_monotonic_time() - t));
	tell("config_text_bytes", vms, (double)base->len);
	tell("state_heap_bytes", vms, (double)(heap() - before));
	tell("command_us", vms, drain_us(&p, vms));
	probe_view(&p, vms);
	pk_out_init(&o);
	t = g_get_monotonic_time();
	fst_snapshot(p.f, &o);
	tell("snapshot_us", vms, (double)(g_get_monotonic_time() - t));
	tell("snapshot_bytes", vms, (double)pk_out_view(&o).len);
	pk_out_done(&o);
	fst_free(p.f);
	g_string_free(base, TRUE);
}

static int64_t decide(struct adm *a, int64_t *now)
{
	struct adm_request r = {
		.pool = 1,
		.caller = LSTR("caller"),
		.class = ADM_NORMAL,
		.repeatable = true,
	};
	struct adm_result ok = {
		.outcome = ADM_DONE_OK, .service_us = 5000, .busy = -1};
	int64_t t = g_get_monotonic_time();
	int i;

	for (i = 0; i < DECISIONS; i++) {
		struct adm_verdict v = adm_offer(a, *now, &r, NULL);

		if (v.kind == ADM_RUN)
			adm_done(a, *now + 5000, v.ticket, &ok);
		*now += 100;
	}
	return g_get_monotonic_time() - t;
}

static void probe_decisions(int targets)
{
	struct adm_config config = {.seed = 7, .entries = 1};
	struct adm_pool_spec pool = {.slots = 8,
				     .conns = 64,
				     .queue_us = 1000000,
				     .deadline_us = 10000000};
	struct adm_target_spec spec = {.pool = 1, .lease_until_us = ADM_NEVER};
	size_t before = heap();
	struct adm *a = adm_new(&config);
	int64_t least = INT64_MAX;
	int64_t now = 1;
	int i;

	adm_pool_set(a, 1, &pool);
	for (i = 0; i < targets; i++)
		adm_target_set(a, now, (uint64_t)i + 1, &spec);
	for (i = 0; i < ROUNDS; i++)
		least = MIN(least, decide(a, &now));
	tell("decision_us", targets, (double)least / DECISIONS);
	tell("decision_heap_bytes", targets, (double)(heap() - before));
	adm_free(a);
}

/* With a number: only prints a base file of so many VMs. */
int main(int argc, char **argv)
{
	unsigned long long vms;
	GString *base;
	size_t i;

	if (argc > 1) {
		if (!lstr_u64(lstr_from(argv[1]), &vms) || vms > FVW_VMS_MAX)
			return 2;
		base = base_file((int)vms);
		fputs(base->str, stdout);
		g_string_free(base, TRUE);
		return 0;
	}

	for (i = 0; i < G_N_ELEMENTS(fleet_sizes); i++)
		probe_fleet(fleet_sizes[i]);
	for (i = 0; i < G_N_ELEMENTS(target_sizes); i++)
		probe_decisions(target_sizes[i]);
	return 0;
}
