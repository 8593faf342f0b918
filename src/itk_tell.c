#include "itk_int.h"

#include "quo.h"

/* Metrics of the intake control. */

/* Organisations that the metrics show. */
#define ITK_METRICS_MAX 100

static void itk_head(GString *out, const char *name, const char *type,
		     const char *help);
static void itk_append_orgs(const struct itk *k, GString *out);

/* Appends refusals and lines in the Prometheus text format. */
void itk_append_metrics(const struct itk *k, GString *out)
{
	static const enum itk_why whys[] = {ITK_LINE, ITK_MEMORY};
	guint i;

	itk_head(out, "endive_jobs_refused_total", "counter",
		 "Jobs refused for want of room");
	for (i = 0; i < G_N_ELEMENTS(whys); i++)
		g_string_append_printf(out,
				       "endive_jobs_refused_total{why=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       itk_why_name(whys[i]),
				       k->refused[whys[i]]);
	itk_append_orgs(k, out);
	itk_head(out, "endive_pool_line_seconds", "gauge",
		 "Work that waits and can be of use, by the cores for it");
	for (i = 0; i < k->pools->len; i++) {
		const struct itk_pool *p = g_ptr_array_index(k->pools, i);

		g_string_append(out, "endive_pool_line_seconds{pool=\"");
		quo_append_label(out, p->name);
		g_string_append_printf(out, "\"} %.3f\n",
				       p->room > 0 ? p->core_s / p->room : 0);
	}
}

/* Appends the refusals of each organisation. */
static void itk_append_orgs(const struct itk *k, GString *out)
{
	GHashTableIter it;
	const char *org;
	uint64_t *n;
	guint left = ITK_METRICS_MAX;

	itk_head(out, "endive_organisation_jobs_refused_total", "counter",
		 "Jobs of an organisation refused for want of room");
	g_hash_table_iter_init(&it, k->refused_orgs);
	while (left-- &&
	       g_hash_table_iter_next(&it, (gpointer *)&org, (gpointer *)&n)) {
		g_string_append(out, "endive_organisation_jobs_refused_total{"
				     "organisation=\"");
		quo_append_label(out, org);
		g_string_append_printf(out, "\"} %" G_GUINT64_FORMAT "\n", *n);
	}
}

/* Appends the name, type and meaning of a metric. */
static void itk_head(GString *out, const char *name, const char *type,
		     const char *help)
{
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", name, help,
			       name, type);
}
