#ifndef FDB_H
#define FDB_H

/* fdb: the file descriptor budget of a process. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The descriptors of a process are divided among the parts below. Each part
 * limits itself to its share; connections beyond it wait or are refused. If
 * callers or workers could use all descriptors, the daemon would fail to open
 * the next file of its data folder.
 */
enum fdb_part {
	FDB_FILES, /* data folder, settings, event loop */
	FDB_PEERS, /* connections with own processes, in both directions */
	FDB_OPERATORS, /* connections for metrics and health */
	FDB_CALLERS, /* other incoming connections */
	FDB_TARGETS, /* other outgoing connections */
	FDB_PARTS
};

/*
 * Demand of a part: the minimum it needs, and its weight in the division of
 * the descriptors that remain after all minimums.
 */
struct fdb_demand {
	int min;
	int weight;
};

/* Division of a process's descriptors. */
struct fdb {
	int limit;
	int share[FDB_PARTS];
};

/* Usage of a part, for metrics. */
struct fdb_use {
	uint64_t used;
	uint64_t refused; /* since the start; or closed in favour of others */
};

int fdb_limit(long long configured, long long reserved);
bool fdb_split(struct fdb *f, int limit, const struct fdb_demand *want,
	       GError **err);
void fdb_append_metrics(const struct fdb *f, const struct fdb_use *use,
			GString *out);

#endif
