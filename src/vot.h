#ifndef VOT_H
#define VOT_H

/* Raft voter: runs the consensus library on a data folder. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cns.h"
#include "cnt.h"
#include "pk.h"
#include "sto.h"

/*
 * A voter. It does the work that the consensus library returns: writes to the
 * data folder, sends messages and applies entries, in the order the library
 * requires. The state machine and the transport belong to the owner.
 */
struct vot;

struct vot_ops {
	void (*send)(void *arg, const struct cns_msg *m);
	/* an entry is committed; called for all entry kinds */
	void (*apply)(void *arg, const struct cns_entry *e);
	bool (*restore)(void *arg, struct lstr snap, GError **err);
	void (*snapshot)(void *arg, struct pk_out *o);
	void (*read_done)(void *arg, const struct cns_read *r);
	/*
	 * The disk has no space, or has some again. Meanwhile nothing is written
	 * or acknowledged, and no function that changes the consensus member
	 * may be called; vot_pump goes on where it stopped once there is space.
	 */
	void (*full)(void *arg, bool full);
	/*
	 * The data folder failed: no request may be answered from now on. The
	 * caller frees why.
	 */
	void (*failed)(void *arg, const GError *why);
};

struct vot_config {
	const char *node;
	const char *data; /* folder */
	/*
	 * id for a folder that never held data; a damaged folder gets a random
	 * id
	 */
	uint64_t new_id;
	int64_t now_ms;
	int64_t heartbeat_ms;
	int64_t election_ms;
	/*
	 * a snapshot is taken after so many applied entries, or bytes of them
	 */
	uint64_t snap_entries;
	size_t snap_bytes;
};

struct vot *vot_open(const struct vot_config *config, const struct vot_ops *ops,
		     void *arg, GError **err);
void vot_free(struct vot *v);
void vot_pump(struct vot *v);
struct cns *vot_cns(const struct vot *v);
uint64_t vot_id(const struct vot *v);
bool vot_failed(const struct vot *v);
bool vot_is_full(const struct vot *v);
uint64_t vot_applied(const struct vot *v);
const struct cnt_times *vot_sync_times(const struct vot *v);
uint64_t vot_syncs(const struct vot *v);
uint64_t vot_snapshots(const struct vot *v);
int64_t vot_sync_us(const struct vot *v);
int64_t vot_last_sync_us(const struct vot *v);

#endif
