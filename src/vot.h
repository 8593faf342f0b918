#ifndef VOT_H
#define VOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cns.h"
#include "cnt.h"
#include "pk.h"
#include "sto.h"

/*
 * A voter's engine: does what consensus asks for on its data folder, in its
 * order, and hands the rest to its owner. What the state is and how messages
 * travel is the owner's.
 */
struct vot;

struct vot_ops {
	void (*send)(void *arg, const struct cns_msg *m);
	/* an entry is final; kinds other than commands too */
	void (*apply)(void *arg, const struct cns_entry *e);
	bool (*restore)(void *arg, struct lstr snap, GError **err);
	void (*snapshot)(void *arg, struct pk_out *o);
	void (*read_done)(void *arg, const struct cns_read *r);
	/* the folder failed: nobody may be answered any more; why is freed */
	void (*failed)(void *arg, const GError *why);
};

struct vot_config {
	const char *node;
	const char *data; /* folder */
	uint64_t new_id; /* of a folder that never held anything */
	int64_t now_ms;
	int64_t beat_ms;
	int64_t election_ms;
	/* applied entries, or bytes of them, between snapshots */
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
uint64_t vot_applied(const struct vot *v);
const struct cnt_times *vot_sync_times(const struct vot *v);
uint64_t vot_syncs(const struct vot *v);
uint64_t vot_snapshots(const struct vot *v);
int64_t vot_sync_us(const struct vot *v);
int64_t vot_last_sync_us(const struct vot *v);

#endif
