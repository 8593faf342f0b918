#include "flo_int.h"

/* What the autoscaler shows to operators. */

enum flo_metric {
	FLO_VMS_WANTED,
	FLO_VMS_HELD,
	FLO_VMS_ENTITLED,
	FLO_METRICS
};

static guint flo_metric_value(const struct flo_pool *p, enum flo_metric m);

static const char *const flo_cause_names[FLO_CAUSES] = {
	[FLO_SHORT] = "short",
	[FLO_IDLE] = "idle",
	[FLO_DIVIDED] = "divided",
};

static const struct {
	const char *name;
	const char *help;
} flo_metric_defs[FLO_METRICS] = {
	[FLO_VMS_WANTED] = {"endive_pool_vms_wanted",
			    "VMs that a pool's load asks for"},
	[FLO_VMS_HELD] = {"endive_pool_vms_held",
			  "VMs of a pool and on their way to it"},
	[FLO_VMS_ENTITLED] =
		{"endive_pool_vms_entitled",
		 "VMs that a pool should have while there are too few; "
		 "0: there are enough"},
};

/*
 * Appends, for a log line, what each pool wants, holds and should have, VMs,
 * and the cores of its work in time and late.
 */
void flo_append_division(const struct flo *f, GString *out)
{
	guint i;

	for (i = 0; i < f->pools->len; i++) {
		const struct flo_pool *p = g_ptr_array_index(f->pools, i);

		if (p->standby)
			continue;
		g_string_append_printf(out, " %s=%u/%u/%u,%.0f,%.0f", p->name,
				       p->wanted, p->vms, p->entitled_vms,
				       p->in_time, p->late);
	}
}

/* Appends the metrics of pools and moves in the Prometheus text format. */
void flo_append_metrics(const struct flo *f, GString *out)
{
	int m;
	guint i;

	for (m = 0; m < FLO_METRICS; m++) {
		g_string_append_printf(out, "# HELP %s %s\n# TYPE %s gauge\n",
				       flo_metric_defs[m].name,
				       flo_metric_defs[m].help,
				       flo_metric_defs[m].name);
		for (i = 0; i < f->pools->len; i++) {
			const struct flo_pool *p =
				g_ptr_array_index(f->pools, i);

			g_string_append_printf(out, "%s{pool=\"%s\"} %u\n",
					       flo_metric_defs[m].name, p->name,
					       flo_metric_value(p, m));
		}
	}
	g_string_append(out,
			"# HELP endive_pool_moves_total Moves of VMs between "
			"pools that began\n"
			"# TYPE endive_pool_moves_total counter\n");
	for (m = 0; m < FLO_CAUSES; m++)
		g_string_append_printf(out,
				       "endive_pool_moves_total{cause=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       flo_cause_names[m], f->moves_begun[m]);
}

static guint flo_metric_value(const struct flo_pool *p, enum flo_metric m)
{
	switch (m) {
	case FLO_VMS_WANTED:
		return p->wanted;
	case FLO_VMS_HELD:
		return p->vms;
	case FLO_VMS_ENTITLED:
		return p->entitled_vms;
	case FLO_METRICS:
		break;
	}
	g_assert_not_reached();
}
