#ifndef STO_H
#define STO_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "cns.h"

/*
 * A voter's data folder: what it promised to others. Records are written
 * together and last from sto_sync on; a failure of any write or sync is final.
 */
struct sto;

/*
 * The file operations a folder needs. Names are within the folder; results as
 * of the calls they are named for, with errno set.
 */
struct sto_io {
	void *arg;
	int (*create)(void *arg, const char *name); /* empty, to write at */
	ssize_t (*write)(void *arg, int fd, const void *p, size_t len);
	int (*sync)(void *arg, int fd);
	int (*close)(void *arg, int fd);
	GBytes *(*read)(void *arg, const char *name); /* whole, or NULL */
	char **(*list)(void *arg); /* all names, or NULL */
	int (*rename)(void *arg, const char *from, const char *to);
	int (*remove)(void *arg, const char *name);
	int (*sync_folder)(void *arg);
};

/* What a folder held. */
struct sto_loaded {
	uint64_t id; /* of the folder */
	bool fresh; /* made just now */
	char *damage; /* why old content was set aside; NULL: it was not */
	uint64_t cut; /* bytes of a write that was never synced */
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
bool sto_install(struct sto *s, const struct cns_snap *snap, GError **err);
bool sto_snapshot(struct sto *s, const struct cns_snap *snap, GError **err);

#endif
