#ifndef FST_H
#define FST_H

/* fst: the replicated state machine that holds the fleet state. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cfg.h"
#include "key.h"
#include "lstr.h"
#include "pk.h"
#include "proto.h"

/*
 * The fleet state that the voters replicate. It is deterministic: it changes
 * only through log entries applied in index order, serialises to the same
 * bytes on every voter, and reads no clock, file or socket.
 */
struct fst;

struct fst *fst_new(void);
void fst_free(struct fst *f);

/* Log entries: a client's command with the time and sender of the leader. */
void fst_entry_pack(struct pk_out *o, int64_t time_ms, struct lstr who,
		    enum key_role role, struct lstr cmd);
void fst_apply(struct fst *f, uint64_t index, struct lstr entry,
	       struct pk_out *result);
void fst_snapshot(const struct fst *f, struct pk_out *o);
bool fst_restore(struct fst *f, struct lstr bytes, GError **err);
void fst_query(const struct fst *f, struct lstr name, struct lstr arg,
	       struct pk_out *result);

/* The view for entry daemons; every change of it increments the version. */
uint64_t fst_version(const struct fst *f);
void fst_view(const struct fst *f, struct pk_out *o);
void fst_view_zone(const struct fst *f, struct lstr zone, struct pk_out *o);
void fst_view_since(const struct fst *f, struct lstr zone, uint64_t from,
		    struct pk_out *o);

/* Phase of a VM's move between pools. */
enum fst_phase {
	FST_SETTLED, /* not moving */
	FST_RELEASING, /* entry daemons stop placing work on it */
	FST_RELEASED, /* no entry daemon can place work on it any more */
};

/* A VM's pool membership; its strings are valid until the next fst_apply. */
struct fst_member {
	const char *vm;
	const char *pool;
	const char *to; /* pool that the VM moves to, or NULL */
	enum fst_phase phase;
	uint64_t epoch; /* incremented with each change of membership */
	uint64_t since; /* view version of the last change of this VM */
	bool drained;
};

uint64_t fst_index(const struct fst *f);
const struct cfg *fst_config(const struct fst *f);
guint fst_member_count(const struct fst *f);
void fst_member(const struct fst *f, guint i, struct fst_member *out);
guint fst_node_count(const struct fst *f);
void fst_node(const struct fst *f, guint i, const char **name,
	      const char **zone);
const char *fst_node_zone(const struct fst *f, struct lstr node);
bool fst_node_registered(const struct fst *f, struct lstr node,
			 struct lstr zone);
int fst_priority(const struct fst *f, const char *pool);

#endif
