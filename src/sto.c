#include "sto_int.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>

#include "err.h"

/*
 * Bytes of a log file before the next is begun; with 200 bytes a change it
 * holds 20,000 changes, half a day's of the fleet in two years.
 */
#define STO_SEG_MAX (4u << 20)
/* A log file's number in a folder that is being made. */
#define STO_FIRST 1
/* Bytes of a log file that holds no more than its head, at most. */
#define STO_HEAD_MAX 64

static bool sto_empty(struct sto *s, GError **err);
static bool sto_half_made(struct sto *s, uint64_t no, GError **err);
static bool sto_set_aside(struct sto *s, GError **err);
static bool sto_make(struct sto *s, const char *node, uint64_t new_id,
		     GError **err);
static uint64_t sto_random_id(void);
static bool sto_go_on(struct sto *s, const struct sto_loaded *out,
		      GError **err);
static bool sto_tidy(struct sto *s, GError **err);
static bool sto_begin(struct sto *s, uint64_t reset, uint64_t term,
		      GError **err);
static void sto_pend(struct sto *s, enum sto_kind kind, struct pk_out *o);
static bool sto_write(struct sto *s, int fd, const char *name,
		      const GByteArray *bytes, GError **err);
static bool sto_put_snap(struct sto *s, const struct cns_snap *snap,
			 GError **err);
static void sto_trim(struct sto *s);

/*
 * Opens a folder, an empty one as a new member with new_id. Content that may
 * have lost what others were promised is set aside and the folder is made
 * anew: the old member then never answers again, as if its machine were gone,
 * and the new one is let in only once it has caught up. So no promise is ever
 * broken, at the price of one repair. Its id is drawn then, and new_id not
 * taken: a caller may give the same one at every start. NULL with ERR_IO or ERR_INPUT.
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
	out->fresh = sto_empty(s, err);
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
		ok = sto_make(s, node, new_id, err);
	else if (ok)
		ok = sto_go_on(s, out, err);
	out->id = s->id;
	if (ok)
		return s;
	sto_loaded_clear(out);
	sto_free(s);
	return NULL;
}

/* Closes a folder; what was not synced is lost. */
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

/* Frees what a folder held. */
void sto_loaded_clear(struct sto_loaded *l)
{
	cns_snap_free(l->snap);
	if (l->entries)
		g_array_free(l->entries, TRUE);
	g_free(l->damage);
	*l = (struct sto_loaded){0};
}

/* Notes term and vote, to last from the next sync on. */
void sto_vote(struct sto *s, uint64_t term, uint64_t vote)
{
	struct pk_out o;

	s->term = term;
	s->vote = vote;
	pk_out_init(&o);
	pk_arr(&o, 2);
	pk_u(&o, term);
	pk_u(&o, vote);
	sto_pend(s, STO_VOTE, &o);
}

/* Notes an entry in place of it and all later ones. */
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
	sto_pend(s, STO_ENTRY, &o);
	seg->max_index = MAX(seg->max_index, e->index);
	s->last = e->index;
}

/*
 * Makes all that was noted last. False with ERR_IO: what the disk holds is not
 * known any more (a failed sync may have dropped pages and marked them clean),
 * so every later call fails too and the voter must stop.
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
	name = sto_name(STO_PREFIX_LOG, seg->no);
	ok = sto_write(s, s->fd, name, s->pending, err);
	g_free(name);
	if (!ok)
		return false;
	s->size += s->pending->len;
	g_byte_array_set_size(s->pending, 0);
	return s->size < STO_SEG_MAX || sto_begin(s, 0, 0, err);
}

/* Puts a leader's snapshot in place of the whole log. */
bool sto_install(struct sto *s, const struct cns_snap *snap, GError **err)
{
	guint old = s->segs->len;

	if (s->failed)
		return sto_fail(s, "install", STO_PREFIX_SNAP, err);
	g_byte_array_set_size(s->pending, 0);
	s->last = snap->index;
	if (!sto_put_snap(s, snap, err) ||
	    !sto_begin(s, snap->index, snap->term, err))
		return false;
	while (old-- > 0)
		g_array_index(s->segs, struct sto_seg, old).max_index = 0;
	sto_trim(s);
	return true;
}

/* Writes our own snapshot and drops the files that it makes needless. */
bool sto_snapshot(struct sto *s, const struct cns_snap *snap, GError **err)
{
	if (!sto_sync(s, err) || !sto_put_snap(s, snap, err) ||
	    !sto_begin(s, 0, 0, err))
		return false;
	sto_trim(s);
	return true;
}

/* A file's name. */
char *sto_name(const char *prefix, uint64_t no)
{
	return g_strdup_printf("%s%016" G_GINT64_MODIFIER "x", prefix, no);
}

/*
 * Names of the folder's files. NULL with an error: it can't be listed now. An
 * empty list instead would have a member's folder made anew under its files.
 */
char **sto_list(struct sto *s, GError **err)
{
	char **names = s->io.list(s->io.arg);

	if (!names)
		sto_fail(s, "list", "names", err);
	return names;
}

/* The number in a name with that prefix; false: another name. */
bool sto_number(const char *name, const char *prefix, uint64_t *no)
{
	char *end = NULL;

	if (!g_str_has_prefix(name, prefix))
		return false;
	*no = g_ascii_strtoull(name + strlen(prefix), &end, 16);
	return end && *end == '\0' && end != name + strlen(prefix);
}

/* Notes that the folder has failed for good, with errno. */
bool sto_fail(struct sto *s, const char *step, const char *name, GError **err)
{
	s->failed = true;
	err_set(err, ERR_IO, step, NULL, "data folder: %s: %s", name,
		errno ? g_strerror(errno) : "it failed before");
	return false;
}

/*
 * Whether nothing of ours is in the folder, or a folder that was never made;
 * false as well when the disk fails, which s->failed tells.
 */
static bool sto_empty(struct sto *s, GError **err)
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
		    sto_number(names[i], STO_PREFIX_SNAP, &no) ||
		    (sto_number(names[i], STO_PREFIX_LOG, &no) &&
		     !sto_half_made(s, no, err)))
			empty = false;
	g_strfreev(names);
	return empty;
}

/*
 * Whether a log file is what sto_make leaves when power goes before there is
 * an identity: the first, with no more than a head. Nobody was answered then.
 */
static bool sto_half_made(struct sto *s, uint64_t no, GError **err)
{
	char *name;
	GBytes *b;
	bool half;

	if (no != STO_FIRST)
		return false;
	name = sto_name(STO_PREFIX_LOG, no);
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
 * Renames all content, for whoever wants to look into it; only the newest set
 * is kept. The identity goes first and is synced: whatever of the rest a crash
 * leaves behind is then without one, and never read as a member again.
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

		if (sto_number(names[i], STO_PREFIX_LOG, &no) ||
		    sto_number(names[i], STO_PREFIX_SNAP, &no))
			s->io.rename(s->io.arg, names[i], to);
		g_free(to);
	}
	g_strfreev(names);
	g_array_set_size(s->segs, 0);
	s->set_aside = true;
	s->term = 0;
	s->vote = 0;
	s->last = 0;
	if (s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "set aside", "folder", err);
	return true;
}

/*
 * Begins a folder: the identity comes last, so that it has a log for sure. What
 * was set aside, now or before a crash, may have made promises under the given
 * id: the folder must be somebody else's.
 */
static bool sto_make(struct sto *s, const char *node, uint64_t new_id,
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
	ok = sto_begin(s, 0, 0, err) &&
	     sto_put_file(s, STO_NAME_IDENTITY, bytes, err);
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

/* Goes on in a new log file, so that the old ones are never written again. */
static bool sto_go_on(struct sto *s, const struct sto_loaded *out, GError **err)
{
	uint64_t reset = 0;
	uint64_t term = 0;

	if (out->snap) {
		s->snap_index = out->snap->index;
		s->last = out->snap->index;
		if (out->entries->len == 0) {
			reset = out->snap->index;
			term = out->snap->term;
		}
	}
	if (out->entries->len)
		s->last = g_array_index(out->entries, struct cns_entry,
					out->entries->len - 1)
				  .index;
	/*
	 * The snapshot that was read may owe its name to a rename that a killed
	 * process never synced: removing the one before it first could, after a
	 * loss of power, leave neither.
	 */
	if (s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "sync folder", "names", err);
	return sto_tidy(s, err) && sto_begin(s, reset, term, err);
}

/* Removes what crashes left half done. */
static bool sto_tidy(struct sto *s, GError **err)
{
	uint64_t first = g_array_index(s->segs, struct sto_seg, 0).no;
	char **names = sto_list(s, err);
	uint64_t no;
	size_t i;

	if (!names)
		return false;
	for (i = 0; names[i]; i++)
		if (strcmp(names[i], STO_NAME_TMP) == 0 ||
		    (sto_number(names[i], STO_PREFIX_LOG, &no) && no < first) ||
		    (sto_number(names[i], STO_PREFIX_SNAP, &no) &&
		     no != s->snap_index))
			s->io.remove(s->io.arg, names[i]);
	g_strfreev(names);
	return true;
}

/* Begins the next log file; with reset, the log starts after that index. */
static bool sto_begin(struct sto *s, uint64_t reset, uint64_t term,
		      GError **err)
{
	struct sto_seg seg = {.no = STO_FIRST};
	GByteArray *bytes = s->pending;
	struct pk_out o;
	char *name;
	bool ok;

	if (s->segs->len)
		seg.no =
			g_array_index(s->segs, struct sto_seg, s->segs->len - 1)
				.no +
			1;
	g_assert(bytes->len == 0);
	if (s->fd >= 0)
		s->io.close(s->io.arg, s->fd);
	g_array_append_val(s->segs, seg);
	s->size = 0;
	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, s->id);
	pk_u(&o, seg.no);
	pk_u(&o, s->term);
	pk_u(&o, s->vote);
	pk_u(&o, reset ? 0 : s->last);
	sto_pend(s, STO_HEAD, &o);
	if (reset) {
		pk_out_init(&o);
		pk_arr(&o, 2);
		pk_u(&o, reset);
		pk_u(&o, term);
		sto_pend(s, STO_RESET, &o);
	}
	name = sto_name(STO_PREFIX_LOG, seg.no);
	s->fd = s->io.create(s->io.arg, name);
	ok = s->fd >= 0 ? sto_write(s, s->fd, name, bytes, err)
			: sto_fail(s, "create", name, err);
	if (ok && s->io.sync_folder(s->io.arg) != 0)
		ok = sto_fail(s, "sync folder", name, err);
	s->size = bytes->len;
	g_byte_array_set_size(bytes, 0);
	g_free(name);
	return ok;
}

/* Adds a record to what the next sync writes; takes o over. */
static void sto_pend(struct sto *s, enum sto_kind kind, struct pk_out *o)
{
	const struct sto_seg *seg =
		&g_array_index(s->segs, struct sto_seg, s->segs->len - 1);

	sto_rec_add_log(s->pending, seg->no, s->size, kind, pk_out_view(o));
	pk_out_done(o);
}

/*
 * Writes all bytes and syncs them. A write that the kernel cut short is synced
 * before the rest: of two that are not, the second alone may last.
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
			return sto_fail(s, "write", name, err);
		at += (size_t)n;
		if (s->io.sync(s->io.arg, fd) != 0)
			return sto_fail(s, "sync", name, err);
	}
	return true;
}

/* A whole file, or none: written under another name, synced, renamed. */
bool sto_put_file(struct sto *s, const char *name, const GByteArray *bytes,
		  GError **err)
{
	int fd = s->io.create(s->io.arg, STO_NAME_TMP);
	bool ok;

	if (fd < 0)
		return sto_fail(s, "create", name, err);
	ok = sto_write(s, fd, name, bytes, err);
	s->io.close(s->io.arg, fd);
	if (!ok)
		return false;
	if (s->io.rename(s->io.arg, STO_NAME_TMP, name) != 0 ||
	    s->io.sync_folder(s->io.arg) != 0)
		return sto_fail(s, "rename", name, err);
	return true;
}

static bool sto_put_snap(struct sto *s, const struct cns_snap *snap,
			 GError **err)
{
	GByteArray *bytes = g_byte_array_new();
	char *name = sto_name(STO_PREFIX_SNAP, snap->index);
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
	ok = sto_put_file(s, name, bytes, err);
	if (ok && s->snap_index && s->snap_index != snap->index) {
		char *old = sto_name(STO_PREFIX_SNAP, s->snap_index);

		s->io.remove(s->io.arg, old);
		g_free(old);
	}
	if (ok)
		s->snap_index = snap->index;
	g_byte_array_free(bytes, TRUE);
	g_free(name);
	return ok;
}

/* Removes the oldest log files, as far as the snapshot holds all of them. */
static void sto_trim(struct sto *s)
{
	while (s->segs->len > 1) {
		const struct sto_seg *seg =
			&g_array_index(s->segs, struct sto_seg, 0);
		char *name;

		if (seg->max_index > s->snap_index)
			break;
		name = sto_name(STO_PREFIX_LOG, seg->no);
		s->io.remove(s->io.arg, name);
		g_free(name);
		g_array_remove_index(s->segs, 0);
	}
	s->io.sync_folder(s->io.arg);
}
