#include "fdb.h"

#include <sys/resource.h>

#include "err.h"

/* Limit if the system sets none; more than any own daemon can use. */
#define FDB_LIMIT_MAX 100000

static const char *const fdb_names[FDB_PARTS] = {
	[FDB_FILES] = "files",	       [FDB_PEERS] = "peers",
	[FDB_OPERATORS] = "operators", [FDB_CALLERS] = "callers",
	[FDB_TARGETS] = "targets",
};

/*
 * Returns the number of descriptors that this process may open: the lower of
 * its RLIMIT_NOFILE and the configured limit (0: none). Descriptors reserved
 * for other uses are subtracted from the configured limit.
 */
int fdb_limit(long long configured, long long reserved)
{
	long long limit = FDB_LIMIT_MAX;
	struct rlimit r;

	if (getrlimit(RLIMIT_NOFILE, &r) == 0 && r.rlim_cur < FDB_LIMIT_MAX)
		limit = (long long)r.rlim_cur;
	if (configured)
		limit = MIN(limit, configured - reserved);
	return (int)MAX(limit, 0);
}

/*
 * Divides a limit among the FDB_PARTS parts by their demands. Returns false
 * with ERR_INPUT if the limit is below the sum of the minimums.
 */
bool fdb_split(struct fdb *f, int limit, const struct fdb_demand *want,
	       GError **err)
{
	int least = 0;
	int weights = 0;
	size_t i;

	for (i = 0; i < FDB_PARTS; i++) {
		least += want[i].min;
		weights += want[i].weight;
	}
	if (limit < least) {
		err_set(err, ERR_INPUT, "share descriptors", NULL,
			"%d open files are allowed; at least %d are needed",
			limit, least);
		return false;
	}
	f->limit = limit;
	for (i = 0; i < FDB_PARTS; i++) {
		f->share[i] = want[i].min;
		if (weights)
			f->share[i] += (int)((long long)(limit - least) *
					     want[i].weight / weights);
	}
	return true;
}

/* Appends the metrics of all parts in the Prometheus text format. */
void fdb_append_metrics(const struct fdb *f, const struct fdb_use *use,
			GString *out)
{
	size_t i;

	g_string_append_printf(
		out,
		"# HELP endive_descriptors_limit Descriptors we may have\n"
		"# TYPE endive_descriptors_limit gauge\n"
		"endive_descriptors_limit %d\n"
		"# HELP endive_descriptors_share Of these, a part's own\n"
		"# TYPE endive_descriptors_share gauge\n",
		f->limit);
	for (i = 0; i < FDB_PARTS; i++)
		g_string_append_printf(
			out, "endive_descriptors_share{part=\"%s\"} %d\n",
			fdb_names[i], f->share[i]);
	g_string_append(out, "# HELP endive_descriptors_used In use now\n"
			     "# TYPE endive_descriptors_used gauge\n");
	for (i = 0; i < FDB_PARTS; i++)
		if (i != FDB_FILES)
			g_string_append_printf(out,
					       "endive_descriptors_used{part="
					       "\"%s\"} %" G_GUINT64_FORMAT
					       "\n",
					       fdb_names[i], use[i].used);
	g_string_append(
		out, "# HELP endive_descriptors_refused_total Connections "
		     "refused, made to wait or closed early for want of more\n"
		     "# TYPE endive_descriptors_refused_total counter\n");
	for (i = 0; i < FDB_PARTS; i++)
		if (i != FDB_FILES)
			g_string_append_printf(
				out,
				"endive_descriptors_refused_total{part=\"%s\"} "
				"%" G_GUINT64_FORMAT "\n",
				fdb_names[i], use[i].refused);
}
