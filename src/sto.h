#ifndef STO_H
#define STO_H

/* Persistent storage of a Raft voter: write-ahead log and snapshots. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "cns.h"

/*
 * A voter's data folder, with the state that Raft requires to be persistent.
 * Records are written in batches and are durable after sto_sync; after a failed
 * write or sync every later call fails. A disk without space is no failure: the
 * folder then holds what it held before the call, and takes records again after
 * sto_resume.
 */
struct sto;

/*
 * The file operations that a data folder needs. Names are relative to the
 * folder; results are those of the system calls of the same name, with errno
 * set.
 */
struct sto_io {
	void *arg;
	/* creates an empty file; returns a descriptor */
	int (*create)(void *arg, const char *name);
	ssize_t (*write)(void *arg, int fd, const void *p, size_t len);
	int (*sync)(void *arg, int fd);
	int (*truncate)(void *arg, int fd, uint64_t len);
	int (*close)(void *arg, int fd);
	/* content of the file, or NULL */
	GBytes *(*read)(void *arg, const char *name);
	char **(*list)(void *arg); /* all file names, or NULL */
	int (*rename)(void *arg, const char *from, const char *to);
	int (*remove)(void *arg, const char *name);
	int (*sync_folder)(void *arg);
};

/* The content of a data folder, as read by sto_open. */
struct sto_loaded {
	uint64_t id; /* id of the folder */
	bool fresh; /* the folder was created by this call */
	char *damage; /* why old content was set aside; NULL if it was not */
	/* bytes dropped of a write that was never synced */
	uint64_t torn_bytes;
	uint64_t term;
	uint64_t vote;
	struct cns_snap *snap; /* NULL: none */
	GArray *entries; /* struct cns_entry after snap */
};

struct sto_io *sto_folder_new(const char *path, GError **err);
void sto_folder_free(struct sto_io *io);

struct sto *sto_open(const struct sto_io *io, const char *node, uint64_t new_id,
		     struct sto_loaded *out, GError **err);
void sto_free(struct sto *s);
void sto_loaded_clear(struct sto_loaded *l);
void sto_vote(struct sto *s, uint64_t term, uint64_t vote);
void sto_entry(struct sto *s, const struct cns_entry *e);
bool sto_sync(struct sto *s, GError **err);
bool sto_is_full(const struct sto *s);
bool sto_resume(struct sto *s);
bool sto_install(struct sto *s, const struct cns_snap *snap, GError **err);
bool sto_snapshot(struct sto *s, const struct cns_snap *snap, GError **err);

#endif
