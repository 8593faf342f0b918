#include "vot.h"

#include <inttypes.h>
#include <sodium.h>

#include "err.h"
#include "msg.h"

/* The newest sync has a weight of 1/VOT_SYNC_MEAN_WEIGHT in the moving mean. */
#define VOT_SYNC_MEAN_WEIGHT 8
/* Interval between attempts to write to a full disk, us. */
#define VOT_FULL_RETRY_US (200 * G_TIME_SPAN_MILLISECOND)

struct vot {
	struct vot_config config;
	const struct vot_ops *ops;
	void *arg;
	struct sto_io *io;
	struct sto *sto;
	struct cns *cns;
	uint64_t id;
	uint64_t applied;
	uint64_t snap_index;
	size_t snap_bytes; /* size of the newest snapshot */
	size_t log_bytes; /* bytes applied since the newest snapshot */
	uint64_t syncs;
	uint64_t snapshots;
	int64_t sync_us; /* moving mean of the duration of a sync */
	int64_t last_sync_us;
	struct cnt_times sync_times;
	bool pumping;
	bool failed;
	struct cns_ready rd; /* work in progress */
	bool full; /* rd waits for space on the disk */
	int64_t full_since_us;
	int64_t retry_us; /* next attempt */
};

static bool vot_work(struct vot *v);
static bool vot_store(struct vot *v);
static void vot_wait_for_space(struct vot *v, GError *why);
static void vot_go_on(struct vot *v);
static void vot_release(struct cns_ready *rd);
static bool vot_load(struct vot *v, GError **err);
static bool vot_write(struct vot *v, const struct cns_ready *rd, GError **err);
static bool vot_sync(struct vot *v, GError **err);
static void vot_send_all(struct vot *v, const GPtrArray *msgs);
static bool vot_restore(struct vot *v, const struct cns_snap *snap,
			GError **err);
static void vot_apply(struct vot *v, const struct cns_entry *e);
static void vot_snapshot(struct vot *v);
static void vot_log_full(const struct vot *v, const GError *why,
			 const char *does);
static void vot_log_failure(const struct vot *v, const GError *why);
static void vot_fail(struct vot *v, GError *why);

/*
 * Opens the data folder and continues from the state in it. Returns NULL with
 * ERR_IO, ERR_INPUT or the error of the owner's restore function.
 */
struct vot *vot_open(const struct vot_config *config, const struct vot_ops *ops,
		     void *arg, GError **err)
{
	struct vot *v = g_new0(struct vot, 1);

	v->config = *config;
	v->ops = ops;
	v->arg = arg;
	if (vot_load(v, err))
		return v;
	vot_free(v);
	return NULL;
}

/* Closes a voter; everything it acknowledged is on disk. */
void vot_free(struct vot *v)
{
	if (!v)
		return;
	if (v->full)
		vot_release(&v->rd);
	cns_free(v->cns);
	sto_free(v->sto);
	sto_folder_free(v->io);
	g_free(v);
}

/* Does all work that the consensus library returns, in the required order. */
void vot_pump(struct vot *v)
{
	if (v->pumping)
		return;
	v->pumping = true;
	while (!v->failed && (v->full || cns_ready(v->cns, &v->rd)))
		if (!vot_work(v))
			break;
	v->pumping = false;
	vot_snapshot(v);
}

/* Does one portion of work; returns false if the disk took none of it. */
static bool vot_work(struct vot *v)
{
	struct cns_ready *rd = &v->rd;
	guint i;

	if (!v->full)
		vot_send_all(v, rd->send_now);
	if (!vot_store(v))
		return false;
	vot_send_all(v, rd->send_after_sync);
	for (i = 0; i < rd->committed->len; i++)
		vot_apply(v,
			  &g_array_index(rd->committed, struct cns_entry, i));
	for (i = 0; i < rd->reads->len; i++)
		v->ops->read_done(v->arg, &g_array_index(rd->reads,
							 struct cns_read, i));
	cns_advance(v->cns, rd);
	if (v->full)
		vot_go_on(v);
	return true;
}

/*
 * Writes what the work in progress needs on disk. Returns false if that isn't
 * there: no message that acknowledges it may be sent.
 */
static bool vot_store(struct vot *v)
{
	GError *err = NULL;

	if (v->full &&
	    (g_get_monotonic_time() < v->retry_us || !sto_resume(v->sto))) {
		return false;
	}
	if (vot_write(v, &v->rd, &err))
		return true;
	if (sto_is_full(v->sto)) {
		vot_wait_for_space(v, err);
		return false;
	}
	vot_release(&v->rd);
	v->full = false;
	vot_fail(v, err);
	return false;
}

/* Keeps the work in progress until the disk has space; frees why. */
static void vot_wait_for_space(struct vot *v, GError *why)
{
	int64_t now = g_get_monotonic_time();

	v->retry_us = now + VOT_FULL_RETRY_US;
	if (!v->full) {
		v->full = true;
		v->full_since_us = now;
		vot_log_full(v, why, "wait");
		v->ops->full(v->arg, true);
	}
	g_error_free(why);
}

/*
 * The disk has space again. A voter that led resigns: its owner has acted as a
 * follower meanwhile, and only an election tells whether another voter leads.
 */
static void vot_go_on(struct vot *v)
{
	v->full = false;
	msg(MSG_STO_SPACE, "node=%s full_ms=%" PRId64, v->config.node,
	    (g_get_monotonic_time() - v->full_since_us) / 1000);
	cns_resign(v->cns);
	v->ops->full(v->arg, false);
}

/* Frees work that is not done. */
static void vot_release(struct cns_ready *rd)
{
	g_array_free(rd->entries, TRUE);
	g_array_free(rd->committed, TRUE);
}

/*
 * Returns the consensus member. Every call that changes it must be followed by
 * vot_pump.
 */
struct cns *vot_cns(const struct vot *v)
{
	return v->cns;
}

/* Returns the id of the data folder. */
uint64_t vot_id(const struct vot *v)
{
	return v->id;
}

/* Whether the disk has no space: this voter takes part in nothing until then. */
bool vot_is_full(const struct vot *v)
{
	return v->full;
}

/* Whether the data folder failed; if so, the process must end. */
bool vot_failed(const struct vot *v)
{
	return v->failed;
}

/* Returns the index of the last applied entry. */
uint64_t vot_applied(const struct vot *v)
{
	return v->applied;
}

/* Returns the number of syncs since the start. */
uint64_t vot_syncs(const struct vot *v)
{
	return v->syncs;
}

/* Returns the number of snapshots since the start. */
uint64_t vot_snapshots(const struct vot *v)
{
	return v->snapshots;
}

/* Returns the histogram of sync durations. */
const struct cnt_times *vot_sync_times(const struct vot *v)
{
	return &v->sync_times;
}

/* Returns the moving mean of the duration of a sync, us. */
int64_t vot_sync_us(const struct vot *v)
{
	return v->sync_us;
}

/* Returns the duration of the newest sync, us. */
int64_t vot_last_sync_us(const struct vot *v)
{
	return v->last_sync_us;
}

/* Reads the vote, the snapshot and the log from the data folder. */
static bool vot_load(struct vot *v, GError **err)
{
	struct sto_loaded l;
	struct cns_stored stored;
	struct cns_config config = {
		.seed = randombytes_random(),
		.now_ms = v->config.now_ms,
		.heartbeat_ms = v->config.heartbeat_ms,
		.election_ms = v->config.election_ms,
	};
	GError *why = NULL;
	bool ok = true;

	v->io = sto_folder_new(v->config.data, err);
	if (!v->io)
		return false;
	v->sto = sto_open(v->io, v->config.node, v->config.new_id, &l, &why);
	if (!v->sto) {
		if (g_error_matches(why, ERR_DOMAIN, ERR_IO))
			vot_log_failure(v, why);
		g_propagate_error(err, why);
		return false;
	}
	v->id = l.id;
	config.id = l.id;
	if (l.damage)
		msg(MSG_STO_DAMAGED,
		    "why=\"%s\" does=\"set aside; rejoins as a new member "
		    "once caught up\"",
		    l.damage);
	msg(MSG_STO_OPEN,
	    "folder=%016" PRIx64 " fresh=%d cut=%" PRIu64 " entries=%u", l.id,
	    l.fresh, l.torn_bytes, l.entries->len);
	stored = (struct cns_stored){
		.term = l.term,
		.vote = l.vote,
		.snap = l.snap,
		.entries = l.entries,
	};
	if (l.snap)
		ok = vot_restore(v, l.snap, err);
	if (ok)
		v->cns = cns_new(&config, &stored);
	sto_loaded_clear(&l);
	return ok;
}

/* Writes and syncs the pending term, vote, snapshot and entries. */
static bool vot_write(struct vot *v, const struct cns_ready *rd, GError **err)
{
	guint i;

	if (rd->vote_changed)
		sto_vote(v->sto, rd->term, rd->vote);
	if (rd->install && (!sto_install(v->sto, rd->install, err) ||
			    !vot_restore(v, rd->install, err)))
		return false;
	for (i = 0; i < rd->entries->len; i++)
		sto_entry(v->sto,
			  &g_array_index(rd->entries, struct cns_entry, i));
	if (!rd->vote_changed && !rd->entries->len)
		return true;
	return vot_sync(v, err);
}

/* Syncs the data folder and measures the duration. */
static bool vot_sync(struct vot *v, GError **err)
{
	int64_t from = g_get_monotonic_time();
	bool ok = sto_sync(v->sto, err);

	v->last_sync_us = g_get_monotonic_time() - from;
	v->syncs++;
	cnt_time(&v->sync_times, (double)v->last_sync_us / G_USEC_PER_SEC);
	v->sync_us += (v->last_sync_us - v->sync_us) / VOT_SYNC_MEAN_WEIGHT;
	return ok;
}

/* Sends all messages of a list. */
static void vot_send_all(struct vot *v, const GPtrArray *msgs)
{
	guint i;

	for (i = 0; i < msgs->len; i++)
		v->ops->send(v->arg, g_ptr_array_index(msgs, i));
}

/* Passes a snapshot to the owner. */
static bool vot_restore(struct vot *v, const struct cns_snap *snap,
			GError **err)
{
	gsize len;
	const char *p = g_bytes_get_data(snap->data, &len);

	if (!v->ops->restore(v->arg, lstr_n(p, len), err))
		return false;
	v->applied = snap->index;
	v->snap_index = snap->index;
	v->snap_bytes = len;
	v->log_bytes = 0;
	return true;
}

/* Passes a committed entry to the owner. */
static void vot_apply(struct vot *v, const struct cns_entry *e)
{
	v->applied = e->index;
	v->log_bytes += g_bytes_get_size(e->data);
	v->ops->apply(v->arg, e);
}

/*
 * Takes a snapshot of the owner's state and compacts the log, if enough entries
 * or bytes were applied since the last one.
 */
static void vot_snapshot(struct vot *v)
{
	GError *err = NULL;
	struct pk_out o;
	struct lstr view;
	GBytes *data;

	if (v->failed || v->full || v->applied == v->snap_index ||
	    (v->applied - v->snap_index < v->config.snap_entries &&
	     v->log_bytes < MAX(v->config.snap_bytes, 2 * v->snap_bytes)))
		return;
	pk_out_init(&o);
	v->ops->snapshot(v->arg, &o);
	view = pk_out_view(&o);
	data = g_bytes_new(view.p, view.len);
	v->snap_bytes = view.len;
	pk_out_done(&o);
	v->snap_index = v->applied;
	v->log_bytes = 0;
	v->snapshots++;
	if (!sto_snapshot(v->sto, cns_compact(v->cns, v->applied, data),
			  &err)) {
		/* without space the log stays whole, and the next one may fit */
		if (sto_is_full(v->sto) && sto_resume(v->sto))
			vot_log_full(v, err, "keep-log");
		else
			vot_fail(v, g_steal_pointer(&err));
		g_clear_error(&err);
	}
	g_bytes_unref(data);
}

/* Logs that the disk has no space, and what the voter does about it. */
static void vot_log_full(const struct vot *v, const GError *why,
			 const char *does)
{
	msg(MSG_STO_FULL, "node=%s why=\"%s\" does=%s", v->config.node,
	    why->message, does);
}

/*
 * Logs a failure of the data folder, with the same line at startup and later.
 */
static void vot_log_failure(const struct vot *v, const GError *why)
{
	msg(MSG_STO_FAILED, "node=%s why=\"%s\" does=\"stop\"", v->config.node,
	    why->message);
}

/*
 * Handles a failure of the data folder: its content is unknown now, so this
 * process must not answer any request. The next start reads what the folder
 * holds.
 */
static void vot_fail(struct vot *v, GError *why)
{
	v->failed = true;
	vot_log_failure(v, why);
	v->ops->failed(v->arg, why);
	g_error_free(why);
}
