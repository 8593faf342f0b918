#ifndef FDB_H
#define FDB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The descriptors of a process, shared out among its parts. Each part bounds
 * itself by its share, and what is over it waits or is refused there: a daemon
 * whose callers or workers took all would lose its data folder with the next
 * file that it has to open.
 */
enum fdb_part {
	FDB_FILES, /* data folder, settings, the loop itself */
	FDB_PEERS, /* our own processes, those that we dial and the others */
	FDB_OPERATORS, /* metrics and health */
	FDB_CALLERS, /* all others that dial us */
	FDB_TARGETS, /* all others that we dial */
	FDB_PARTS
};

/* What a part asks for; all that is left is shared by weight. */
struct fdb_want {
	int least;
	int weight;
};

struct fdb {
	int limit;
	int share[FDB_PARTS];
};

/* How a part stands, for metrics. */
struct fdb_use {
	uint64_t used;
	uint64_t refused; /* since the start: turned away, closed for others */
};

int fdb_limit(long long set, long long kept);
bool fdb_split(struct fdb *f, int limit, const struct fdb_want *want,
	       GError **err);
void fdb_text(const struct fdb *f, const struct fdb_use *use, GString *out);

#endif
