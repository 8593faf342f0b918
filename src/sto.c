#include "sto_int.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>

#include "err.h"

/*
 * Size of a log file at which the next one is started. At 200 bytes a command a
 * file holds 20,000 commands, which is half a day of the fleet's expected load
 * in two years.
 */
#define STO_SEG_MAX (4u << 20)
/* Number of the first log file of a new folder. */
#define STO_FIRST_SEG 1
/* Maximum size of a log file that contains only its head record. */
#define STO_HEAD_MAX 64

static bool sto_is_empty(struct sto *s, GError **err);
static bool sto_is_half_created(struct sto *s, uint64_t no, GError **err);
static bool sto_set_aside(struct sto *s, GError **err);
static bool sto_create(struct sto *s, const char *node, uint64_t new_id,
		       GError **err);
static uint64_t sto_random_id(void);
static bool sto_continue(struct sto *s, const struct sto_loaded *out,
			 GError **err);
static bool sto_remove_leftovers(struct sto *s, GError **err);
static bool sto_start_segment(struct sto *s, uint64_t reset, uint64_t term,
			      GError **err);
static void sto_add_pending(struct sto *s, enum sto_kind kind,
			    struct pk_out *o);
static bool sto_write(struct sto *s, int fd, const char *name,
		      const GByteArray *bytes, GError **err);
static bool sto_write_snap(struct sto *s, const struct cns_snap *snap,
			   GError **err);
static void sto_remove_old_segments(struct sto *s);
static void sto_mark_synced(struct sto *s);
static bool sto_is_space_error(int why);
static bool sto_discard(struct sto *s, const char *name);

/*
 * Opens a data folder; an empty one is created with new_id. If damaged content
 * may have lost something acknowledged to others, the content is set aside and
 * the folder is created again: the old member then never responds again, as if
 * its machine were lost, and the new member is admitted only once it has caught
 * up. This breaks no promise and costs one repair. In that case the id is drawn
 * at random and new_id is not used, since a caller may pass the same one at
 * every start. Returns NULL with ERR_IO or ERR_INPUT.
 */
struct sto *sto_open(const struct sto_io *io, const char *node, uint64_t new_id,
		     struct sto_loaded *out, GError **err)
{
	struct sto *s = g_new0(struct sto, 1);
	bool ok = true;

	*out = (struct sto_loaded){.entries = cns_entries_new()};
	s->io = *io;
	s->fd = -1;
	s->segs = g_array_new(FALSE, FALSE, sizeof(struct sto_seg));
	s->pending = g_byte_array_new();
	out->fresh = sto_is_empty(s, err);
	if (s->failed)
		ok = false;
	else if (!out->fresh)
		ok = sto_load(s, node, out, &out->damage, err);
	if (ok && out->damage) {
		char *damage = g_steal_pointer(&out->damage);

		sto_loaded_clear(out);
		*out = (struct sto_loaded){.entries = cns_entries_new(),
					   .damage = damage,
					   .fresh = true};
		ok = sto_set_aside(s, err);
	}
	if (ok && out->fresh)
		ok = sto_create(s, node, new_id, err);
	else if (ok)
		ok = sto_continue(s, out, err);
	out->id = s->id;
	if (ok)
		return s;
	sto_loaded_clear(out);
	sto_free(s);
	return NULL;
}

/* Closes a data folder; unsynced records are lost. */
void sto_free(struct sto *s)
{
	if (!s)
		return;
	if (s->fd >= 0)
		s->io.close(s->io.arg, s->fd);
	g_array_free(s->segs, TRUE);
	g_byte_array_free(s->pending, TRUE);
	g_free(s);
}

/* Frees the content returned by sto_open. */
void sto_loaded_clear(struct sto_loaded *l)
{
	cns_snap_free(l->snap);
	if (l->entries)
		g_array_free(l->entries, TRUE);
	g_free(l->damage);
	*l = (struct sto_loaded){0};
}

/* Adds a record of term and vote, which is durable after the next sync. */
void sto_vote(struct sto *s, uint64_t term, uint64_t vote)
{
	struct pk_out o;

	s->term = term;
	s->vote = vote;
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, term);
	pk_u(&o, vote);
	sto_add_pending(s, STO_VOTE, &o);
}

/*
 * Adds a record of an entry, which replaces the entry at its index and all
 * later ones.
 */
void sto_entry(struct sto *s, const struct cns_entry *e)
{
	struct sto_seg *seg =
		&g_array_index(s->segs, struct sto_seg, s->segs->len - 1);
	struct pk_out o;
	gsize len;
	const char *p = g_bytes_get_data(e->data, &len);

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, e->index);
	pk_u(&o, e->term);
	pk_u(&o, e->kind);
	pk_str(&o, lstr_n(p ? p : "", len));
	sto_add_pending(s, STO_ENTRY, &o);
	seg->max_index = MAX(seg->max_index, e->index);
	s->last_index = e->index;
}

/*
 * Writes and syncs all pending records. Returns false with ERR_NO_SPACE if the
 * disk is full: none of them counts, and sto_resume must be called. Returns
 * false with ERR_IO otherwise: the content of the disk is unknown then (a failed
 * sync may have dropped pages and marked them clean), so every later call fails
 * as well and the voter must stop.
 */
bool sto_sync(struct sto *s, GError **err)
{
	const struct sto_seg *seg =
		&g_array_index(s->segs, struct sto_seg, s->segs->len - 1);
	char *name;
	bool ok;

	if (s->failed)
		return sto_fail(s, "sync", "log", err);
	if (s->pending->len == 0)
		return true;
	name = sto_file_name(STO_PREFIX_LOG, seg->no);
	s->torn = true;
	ok = sto_write(s, s->fd, name, s->pending, err);
	g_free(name);
	if (!ok)
		return false;
	s->torn = false;
	s->size += s->pending->len;
	sto_mark_synced(s);
	g_byte_array_set_size(s->pending, 0);
	if (s->size < STO_SEG_MAX || sto_start_segment(s, 0, 0, err))
		return true;
	if (s->failed)
		return false;
	/* without space for the next file the log goes on in this one */
	s->full = false;
	g_clear_error(err);
	return true;
}

/* Whether the last call found no space, and sto_resume must be called. */
bool sto_is_full(const struct sto *s)
{
	return s->full && !s->failed;
}

/*
 * Drops what a call without space left behind, pending records included, so
 * that the same records can be added again. A part of them may have reached the
 * file; with more records behind it the folder would look damaged. Returns
 * false if that part can't be cut off yet.
 */
bool sto_resume(struct sto *s)
{
	if (s->failed)
		return false;
	if (s->torn && (s->io.truncate(s->io.arg, s->fd, s->size) != 0 ||
			s->io.sync(s->io.arg, s->fd) != 0))
		return false;
	s->torn = false;
	s->full = false;
	s->term = s->synced_term;
	s->vote = s->synced_vote;
	s->last_index = s->synced_index;
	g_byte_array_set_size(s->pending, 0);
	return true;
}

/* Replaces the whole log by a leader's snapshot. */
bool sto_install(struct sto *s, const struct cns_snap *snap, GError **err)
{
	guint old = s->segs->len;

	if (s->failed)
		return sto_fail(s, "install", STO_PREFIX_SNAP, err);
	g_byte_array_set_size(s->pending, 0);
	s->last_index = snap->index;
	if (!sto_write_snap(s, snap, err) ||
	    !sto_start_segment(s, snap->index, snap->term, err))
		return false;
	sto_mark_synced(s);
	while (old-- > 0)
		g_array_index(s->segs, struct sto_seg, old).max_index = 0;
	sto_remove_old_segments(s);
	return true;
}

/*
 * Writes a snapshot of the local state and removes the log files that it makes
 * obsolete.
 */
bool sto_snapshot(struct sto *s, const struct cns_snap *snap, GError **err)
{
	if (!sto_sync(s, err) || !sto_write_snap(s, snap, err) ||
	    !sto_start_segment(s, 0, 0, err))
		return false;
	sto_remove_old_segments(s);
	return true;
}

/* Returns the name of a file: the prefix followed by the number. */
char *sto_file_name(const char *prefix, uint64_t no)
{
	return g_strdup_printf("%s%016" G_GINT64_MODIFIER "x", prefix, no);
}

/*
 * Returns the names of the folder's files; NULL with an error if the folder
 * cannot be listed. If an empty list were returned instead, a member's folder
 * would be created again over its files.
 */
char **sto_list(struct sto *s, GError **err)
{
	char **names = s->io.list(s->io.arg);

	if (!names)
		sto_fail(s, "list", "names", err);
	return names;
}

/*
 * Parses the number in a file name with that prefix; returns false for any
 * other name.
 */
bool sto_parse_name(const char *name, const char *prefix, uint64_t *no)
{
	char *end = NULL;

	if (!g_str_has_prefix(name, prefix))
		return false;
	*no = g_ascii_strtoull(name + strlen(prefix), &end, 16);
	return end && *end == '\0' && end != name + strlen(prefix);
}

/*
 * Marks the folder as permanently failed and reports errno; always returns
 * false.
 */
bool sto_fail(struct sto *s, const char *step, const char *name, GError **err)
{
	s->failed = true;
	err_set(err, sto_is_space_error(errno) ? ERR_NO_SPACE : ERR_IO, step,
		NULL, "data folder: %s: %s", name,
		errno ? g_strerror(errno) : "an earlier operation failed");
	return false;
}

/*
 * Reports errno of a write or of a new file; always returns false. Nothing that
 * was synced before has changed if the disk only had no space for it.
 */
bool sto_refuse(struct sto *s, const char *step, const char *name, GError **err)
{
	if (!sto_is_space_error(errno))
		return sto_fail(s, step, name, err);
	s->full = true;
	err_set(err, ERR_NO_SPACE, step, NULL, "data folder: %s: %s", name,
		g_strerror(errno));
	return false;
}

/* Notes that everything added so far is on disk. */
static void sto_mark_synced(struct sto *s)
{
	s->synced_term = s->term;
	s->synced_vote = s->vote;
	s->synced_index = s->last_index;
}

/* Whether an error of a write means that there is no space for it. */
static bool sto_is_space_error(int why)
{
	return why == ENOSPC || why == EDQUOT || why == EFBIG;
}

/*
 * Removes a file that could not be written whole, for good: were it there again
 * after a power loss, it would be read.
 */
static bool sto_discard(struct sto *s, const char *name)
{
	s->io.remove(s->io.arg, name);
	s->failed = s->failed || s->io.sync_folder(s->io.arg) != 0;
	return !s->failed;
}

/*
 * Whether the folder contains no data, or only the start of an interrupted
 * creation. Also returns false if the disk fails; s->failed is set then.
 */
static bool sto_is_empty(struct sto *s, GError **err)
{
	char **names = sto_list(s, err);
	bool empty = true;
	uint64_t no;
	size_t i;

	if (!names)
		return false;
	for (i = 0; names[i]; i++)
		if (g_str_has_prefix(names[i], STO_PREFIX_DAMAGED))
			s->set_aside = true;
	for (i = 0; empty && names[i]; i++)
		if (strcmp(names[i], STO_NAME_IDENTITY) == 0 ||
		    sto_parse_name(names[i], STO_PREFIX_SNAP, &no) ||
		    (sto_parse_name(names[i], STO_PREFIX_LOG, &no) &&
		     !sto_is_half_created(s, no, err)))
			empty = false;
	g_strfreev(names);
	return empty;
}

/*
 * Whether a log file is what a power loss leaves before sto_create has written
 * the identity: the first log file, with at most a head record. The folder has
 * acknowledged nothing then.
 */
static bool sto_is_half_created(struct sto *s, uint64_t no, GError **err)
{
	char *name;
	GBytes *b;
	bool half;

	if (no != STO_FIRST_SEG)
		return false;
	name = sto_file_name(STO_PREFIX_LOG, no);
	b = s->io.read(s->io.arg, name);
	half = b && g_bytes_get_size(b) <= STO_HEAD_MAX;
	if (b)
		g_bytes_unref(b);
	else
		sto_fail(s, "read", name, err);
	g_free(name);
	return half;
}

/*
 * Renames all content so that it can be inspected; only the newest set is kept.
 * The identity is renamed first and synced: any other files that a crash leaves
 * are then without an identity and are never read as a member's again.
 */
static bool sto_set_aside(struct sto *s, GError **err)
{
	char **names = sto_list(s, err);
	uint64_t no;
	size_t i;

	if (!names)
		return false;
	for (i = 0; names[i]; i++)
		if (g_str_has_prefix(names[i], STO_PREFIX_DAMAGED))
			s->io.remove(s->io.arg, names[i]);
	s->io.rename(s->io.arg, STO_NAME_IDENTITY,
		     STO_PREFIX_DAMAGED STO_NAME_IDENTITY);
	if (s->io.sync_folder(s->io.arg) != 0) {
		g_strfreev(names);
		return sto_fail(s, "set aside", STO_NAME_IDENTITY, err);
	}
	for (i = 0; names[i]; i++) {
		char *to = g_strconcat(STO_PREFIX_DAMAGED, names[i], NULL);

		if (sto_parse_name(names[i], STO_PREFIX_LOG, &no) ||
		    sto_parse_name(names[i], STO_PREFIX_SNAP, &no))
			s->io.rename(s->io.arg, names[i], to);
		g_free(to);
	}
	g_strfreev(names);
	g_array_set_size(s->segs, 0);
	s->set_aside = true;
	s->term = 0;
	s->vote = 0;
	s->last_index = 0;
	if (s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "set aside", "folder", err);
	return true;
}

/*
 * Creates a folder. The identity is written last, so that a folder with an
 * identity always has a log. Content that was set aside, now or before a crash,
 * may have been acknowledged under new_id, so the folder then gets another id.
 */
static bool sto_create(struct sto *s, const char *node, uint64_t new_id,
		       GError **err)
{
	GByteArray *bytes = g_byte_array_new();
	struct pk_out o;
	bool ok;

	s->id = s->set_aside ? sto_random_id() : new_id;
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, s->id);
	pk_cstr(&o, node);
	sto_rec_add(bytes, 0, 0, STO_IDENTITY, pk_out_view(&o));
	pk_out_done(&o);
	ok = sto_start_segment(s, 0, 0, err) &&
	     sto_write_file(s, STO_NAME_IDENTITY, bytes, err);
	g_byte_array_free(bytes, TRUE);
	return ok;
}

static uint64_t sto_random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		randombytes_buf(&id, sizeof(id));
	return id;
}

/* Continues in a new log file, so that old files are never written to again. */
static bool sto_continue(struct sto *s, const struct sto_loaded *out,
			 GError **err)
{
	uint64_t reset = 0;
	uint64_t term = 0;

	if (out->snap) {
		s->snap_index = out->snap->index;
		s->last_index = out->snap->index;
		if (out->entries->len == 0) {
			reset = out->snap->index;
			term = out->snap->term;
		}
	}
	if (out->entries->len)
		s->last_index = g_array_index(out->entries, struct cns_entry,
					      out->entries->len - 1)
					.index;
	sto_mark_synced(s);
	/*
	 * The rename of the snapshot that was read may not be synced yet if the
	 * process that made it was killed. Removing the previous snapshot
	 * before that sync could leave neither of them after a power loss.
	 */
	if (s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "sync folder", "names", err);
	return sto_remove_leftovers(s, err) &&
	       sto_start_segment(s, reset, term, err);
}

/* Removes files left by interrupted operations. */
static bool sto_remove_leftovers(struct sto *s, GError **err)
{
	uint64_t first = g_array_index(s->segs, struct sto_seg, 0).no;
	char **names = sto_list(s, err);
	uint64_t no;
	size_t i;

	if (!names)
		return false;
	for (i = 0; names[i]; i++)
		if (strcmp(names[i], STO_NAME_TMP) == 0 ||
		    (sto_parse_name(names[i], STO_PREFIX_LOG, &no) &&
		     no < first) ||
		    (sto_parse_name(names[i], STO_PREFIX_SNAP, &no) &&
		     no != s->snap_index))
			s->io.remove(s->io.arg, names[i]);
	g_strfreev(names);
	return true;
}

/*
 * Starts the next log file; if reset is not zero, the log starts after that
 * index. Without space for it the log stays as it is, in the present file.
 */
static bool sto_start_segment(struct sto *s, uint64_t reset, uint64_t term,
			      GError **err)
{
	struct sto_seg seg = {.no = STO_FIRST_SEG};
	GByteArray *bytes = g_byte_array_new();
	struct pk_out o;
	char *name;
	bool ok;
	int fd;

	if (s->segs->len)
		seg.no =
			g_array_index(s->segs, struct sto_seg, s->segs->len - 1)
				.no +
			1;
	g_assert(s->pending->len == 0);
	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, s->id);
	pk_u(&o, seg.no);
	pk_u(&o, s->term);
	pk_u(&o, s->vote);
	pk_u(&o, reset ? 0 : s->last_index);
	sto_rec_add_log(bytes, seg.no, 0, STO_HEAD, pk_out_view(&o));
	pk_out_done(&o);
	if (reset) {
		pk_out_init(&o);
		pk_arr(&o, 2);
		pk_u(&o, reset);
		pk_u(&o, term);
		sto_rec_add_log(bytes, seg.no, 0, STO_RESET, pk_out_view(&o));
		pk_out_done(&o);
	}
	name = sto_file_name(STO_PREFIX_LOG, seg.no);
	fd = s->io.create(s->io.arg, name);
	ok = fd >= 0 ? sto_write(s, fd, name, bytes, err)
		     : sto_refuse(s, "create", name, err);
	if (ok && s->io.sync_folder(s->io.arg) != 0)
		ok = sto_fail(s, "sync folder", name, err);
	if (ok) {
		if (s->fd >= 0)
			s->io.close(s->io.arg, s->fd);
		g_array_append_val(s->segs, seg);
		s->fd = fd;
		s->size = bytes->len;
	} else if (fd >= 0) {
		s->io.close(s->io.arg, fd);
		if (!s->failed && !sto_discard(s, name))
			sto_fail(s, "remove", name, NULL);
	}
	g_byte_array_free(bytes, TRUE);
	g_free(name);
	return ok;
}

/* Adds a record to the pending batch; takes ownership of o. */
static void sto_add_pending(struct sto *s, enum sto_kind kind, struct pk_out *o)
{
	const struct sto_seg *seg =
		&g_array_index(s->segs, struct sto_seg, s->segs->len - 1);

	sto_rec_add_log(s->pending, seg->no, s->size, kind, pk_out_view(o));
	pk_out_done(o);
}

/*
 * Writes all bytes and syncs them. After a short write the written part is
 * synced before the rest is written: of two unsynced writes, only the second
 * might survive a power loss.
 */
static bool sto_write(struct sto *s, int fd, const char *name,
		      const GByteArray *bytes, GError **err)
{
	size_t at = 0;
	ssize_t n;

	errno = 0;
	while (at < bytes->len) {
		n = s->io.write(s->io.arg, fd, bytes->data + at,
				bytes->len - at);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return sto_refuse(s, "write", name, err);
		at += (size_t)n;
		if (s->io.sync(s->io.arg, fd) != 0)
			return sto_fail(s, "sync", name, err);
	}
	return true;
}

/* Writes a file atomically: under a temporary name, synced, then renamed. */
bool sto_write_file(struct sto *s, const char *name, const GByteArray *bytes,
		    GError **err)
{
	int fd = s->io.create(s->io.arg, STO_NAME_TMP);
	bool ok;

	if (fd < 0)
		return sto_refuse(s, "create", name, err);
	ok = sto_write(s, fd, name, bytes, err);
	s->io.close(s->io.arg, fd);
	if (!ok) {
		/* it takes space from the log */
		s->io.remove(s->io.arg, STO_NAME_TMP);
		return false;
	}
	if (s->io.rename(s->io.arg, STO_NAME_TMP, name) != 0 ||
	    s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "rename", name, err);
	return true;
}

static bool sto_write_snap(struct sto *s, const struct cns_snap *snap,
			   GError **err)
{
	GByteArray *bytes = g_byte_array_new();
	char *name = sto_file_name(STO_PREFIX_SNAP, snap->index);
	struct pk_out members;
	struct pk_out o;
	gsize len;
	const char *p = g_bytes_get_data(snap->data, &len);
	bool ok;

	pk_out_init(&members);
	cns_members_pack(&snap->members, &members);
	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, snap->index);
	pk_u(&o, snap->term);
	pk_str(&o, pk_out_view(&members));
	pk_str(&o, lstr_n(p ? p : "", len));
	sto_rec_add(bytes, snap->index, 0, STO_SNAP, pk_out_view(&o));
	pk_out_done(&members);
	pk_out_done(&o);
	ok = sto_write_file(s, name, bytes, err);
	if (ok && s->snap_index && s->snap_index != snap->index) {
		char *old = sto_file_name(STO_PREFIX_SNAP, s->snap_index);

		s->io.remove(s->io.arg, old);
		g_free(old);
	}
	if (ok)
		s->snap_index = snap->index;
	g_byte_array_free(bytes, TRUE);
	g_free(name);
	return ok;
}

/*
 * Removes the oldest log files whose entries are all covered by the snapshot.
 */
static void sto_remove_old_segments(struct sto *s)
{
	while (s->segs->len > 1) {
		const struct sto_seg *seg =
			&g_array_index(s->segs, struct sto_seg, 0);
		char *name;

		if (seg->max_index > s->snap_index)
			break;
		name = sto_file_name(STO_PREFIX_LOG, seg->no);
		s->io.remove(s->io.arg, name);
		g_free(name);
		g_array_remove_index(s->segs, 0);
	}
	s->io.sync_folder(s->io.arg);
}
