#include "sto_int.h"

#include <errno.h>

#include "err.h"

/* State while a folder is read. */
struct sto_reader {
	struct sto *s;
	struct sto_loaded *out;
	char **names; /* names of the folder's files */
	char *damage; /* first fault that may have lost acknowledged data */
	uint64_t reset_index; /* index after which the log was restarted */
	/* last entry known to be missing from files and snapshot; 0: none */
	uint64_t missing_index;
	bool is_newest; /* the log file being read is the newest one */
	GError **err; /* errors of the disk, not of its content */
};

static bool sto_is_sound(const struct sto_reader *r);
static void sto_load_identity(struct sto_reader *r, const char *node,
			      GError **err);
static GBytes *sto_read_listed(struct sto_reader *r, const char *name);
static GArray *sto_numbers(struct sto_reader *r, const char *prefix);
static void sto_load_snap(struct sto_reader *r);
static void sto_decode_snap(struct sto_reader *r, struct lstr body);
static void sto_load_logs(struct sto_reader *r);
static void sto_skip_gap(struct sto_reader *r);
static void sto_load_log(struct sto_reader *r, struct sto_seg *seg);
static void sto_rewrite_valid(struct sto_reader *r, const char *name,
			      struct lstr bytes);
static void sto_apply_record(struct sto_reader *r, struct sto_seg *seg,
			     const struct sto_rec *rec);
static void sto_check_head(struct sto_reader *r, uint64_t last);
static void sto_apply_entry(struct sto_reader *r, struct sto_seg *seg,
			    struct pk_in *in);
static void sto_reconcile_snap(struct sto_reader *r);
static void sto_set_damage(struct sto_reader *r, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
static gint sto_compare_numbers(gconstpointer a, gconstpointer b);

/*
 * Reads a folder that has an identity. Sets *damage to a text if content may be
 * lost that was acknowledged. Returns false with an error if the folder belongs
 * to another node or its disk failed.
 */
bool sto_load(struct sto *s, const char *node, struct sto_loaded *out,
	      char **damage, GError **err)
{
	struct sto_reader r = {.s = s, .out = out, .err = err};
	GError *fatal = NULL;

	r.names = sto_list(s, err);
	if (!r.names)
		return false;
	sto_load_identity(&r, node, &fatal);
	if (fatal) {
		g_strfreev(r.names);
		g_propagate_error(err, fatal);
		return false;
	}
	if (sto_is_sound(&r))
		sto_load_snap(&r);
	if (sto_is_sound(&r))
		sto_load_logs(&r);
	g_strfreev(r.names);
	if (s->failed) {
		g_free(r.damage);
		return false;
	}
	if (!r.damage)
		sto_reconcile_snap(&r);
	out->id = s->id;
	out->term = s->term;
	out->vote = s->vote;
	*damage = r.damage;
	return true;
}

/* Whether no damage and no disk error was found so far. */
static bool sto_is_sound(const struct sto_reader *r)
{
	return !r->damage && !r->s->failed;
}

/*
 * Reads a file that the folder lists. An error of the disk or the machine (EIO,
 * EMFILE, ENOMEM) says nothing about the file's content: treated as a torn
 * write it would silently lose votes and entries, treated as damage it would
 * cost an intact folder. So an error ends the start; NULL is returned only
 * then.
 */
static GBytes *sto_read_listed(struct sto_reader *r, const char *name)
{
	GBytes *b = r->s->io.read(r->s->io.arg, name);

	if (!b)
		sto_fail(r->s, "read", name, r->err);
	return b;
}

static void sto_load_identity(struct sto_reader *r, const char *node,
			      GError **err)
{
	const char *const *names = (const char *const *)r->names;
	GBytes *b = g_strv_contains(names, STO_NAME_IDENTITY)
			    ? sto_read_listed(r, STO_NAME_IDENTITY)
			    : NULL;
	struct sto_rec rec = {0};
	struct pk_in in;
	struct lstr name;
	size_t at = 0;
	gsize len = 0;
	const char *p = b ? g_bytes_get_data(b, &len) : NULL;

	if (r->s->failed)
		return;
	if (!p || sto_rec_read(0, lstr_n(p, len), &at, &rec) != STO_READ_REC ||
	    rec.kind != STO_IDENTITY || !pk_in_init(&in, rec.body)) {
		sto_set_damage(r, "%s can't be read", STO_NAME_IDENTITY);
	} else {
		r->s->id = pk_get_u(&in);
		name = pk_get_str(&in);
		if (!lstr_eq(name, lstr_from(node)))
			err_set(err, ERR_INPUT, "open data folder", NULL,
				"it belongs to node " LSTR_FMT ", not %s",
				LSTR_ARG(name), node);
		pk_in_done(&in);
	}
	if (b)
		g_bytes_unref(b);
}

/* Returns the numbers of the files with a prefix, in ascending order. */
static GArray *sto_numbers(struct sto_reader *r, const char *prefix)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t no;
	size_t i;

	for (i = 0; r->names[i]; i++)
		if (sto_parse_name(r->names[i], prefix, &no))
			g_array_append_val(numbers, no);
	g_array_sort(numbers, sto_compare_numbers);
	return numbers;
}

static void sto_load_snap(struct sto_reader *r)
{
	GArray *numbers = sto_numbers(r, STO_PREFIX_SNAP);
	struct sto_rec rec = {0};
	uint64_t no;
	size_t at = 0;
	char *name;
	GBytes *b;
	gsize len = 0;
	const char *p;

	if (numbers->len == 0) {
		g_array_free(numbers, TRUE);
		return;
	}
	no = g_array_index(numbers, uint64_t, numbers->len - 1);
	g_array_free(numbers, TRUE);
	name = sto_file_name(STO_PREFIX_SNAP, no);
	b = sto_read_listed(r, name);
	p = b ? g_bytes_get_data(b, &len) : NULL;
	if (p && sto_rec_read(no, lstr_n(p, len), &at, &rec) == STO_READ_REC &&
	    rec.kind == STO_SNAP && at == len)
		sto_decode_snap(r, rec.body);
	if (b && (!r->out->snap || r->out->snap->index != no))
		sto_set_damage(r, "%s is damaged", name);
	if (b)
		g_bytes_unref(b);
	g_free(name);
}

static void sto_decode_snap(struct sto_reader *r, struct lstr body)
{
	struct cns_members members;
	struct pk_in in;
	uint64_t index;
	uint64_t term;
	struct lstr data;
	GBytes *copy;

	if (!pk_in_init(&in, body))
		return;
	index = pk_get_u(&in);
	term = pk_get_u(&in);
	if (cns_members_unpack(pk_get_str(&in), &members)) {
		data = pk_get_str(&in);
		copy = g_bytes_new(data.p, data.len);
		if (pk_in_ok(&in))
			r->out->snap =
				cns_snap_new(index, term, &members, copy);
		g_bytes_unref(copy);
	}
	pk_in_done(&in);
}

static void sto_load_logs(struct sto_reader *r)
{
	GArray *numbers = sto_numbers(r, STO_PREFIX_LOG);
	struct sto_seg seg = {0};
	guint i;

	if (numbers->len == 0)
		sto_set_damage(r, "all log files are missing");
	for (i = 0; sto_is_sound(r) && i < numbers->len; i++) {
		uint64_t no = g_array_index(numbers, uint64_t, i);

		if (i > 0 && no != seg.no + 1)
			sto_skip_gap(r);
		seg = (struct sto_seg){.no = no};
		r->is_newest = i == numbers->len - 1;
		sto_load_log(r, &seg);
	}
	if (sto_is_sound(r) && r->s->segs->len == 0)
		sto_set_damage(r, "the log files contain no records");
	g_array_free(numbers, TRUE);
}

/*
 * Handles a gap in the numbers of the log files. The files before it were being
 * removed: if a snapshot makes several files obsolete, a power loss during
 * their removal may leave any of them. The head record after the gap tells
 * whether the snapshot covers everything before it, and repeats the vote; if
 * the snapshot does not, a needed file was lost.
 */
static void sto_skip_gap(struct sto_reader *r)
{
	g_array_set_size(r->s->segs, 0);
	g_array_set_size(r->out->entries, 0);
	r->reset_index = 0;
	r->missing_index = 0;
}

static void sto_load_log(struct sto_reader *r, struct sto_seg *seg)
{
	struct sto *s = r->s;
	char *name = sto_file_name(STO_PREFIX_LOG, seg->no);
	GBytes *b = sto_read_listed(r, name);
	struct sto_rec rec = {0};
	enum sto_read got = STO_READ_BAD;
	size_t at = 0;
	size_t n_recs = 0;
	gsize len = 0;
	const char *p = b ? g_bytes_get_data(b, &len) : NULL;

	if (!b) {
		g_free(name);
		return;
	}
	while (!r->damage) {
		got = sto_rec_read(seg->no, lstr_n(p ? p : "", len), &at, &rec);
		if (got != STO_READ_REC)
			break;
		if ((rec.kind == STO_HEAD) != (n_recs++ == 0))
			sto_set_damage(r, "%s has no valid head record", name);
		else
			sto_apply_record(r, seg, &rec);
	}
	if (got == STO_READ_BAD && r->is_newest &&
	    sto_rec_unsynced(seg->no, lstr_n(p ? p : "", len), at))
		got = STO_READ_TORN;
	if (got == STO_READ_BAD || (got == STO_READ_TORN && !r->is_newest))
		sto_set_damage(r, "%s is damaged at byte %zu", name, at);
	if (!r->damage && got == STO_READ_TORN)
		r->out->torn_bytes = len - at;
	if (!r->damage && r->is_newest && at > 0)
		sto_rewrite_valid(r, name, lstr_n(p, at));
	if (at == 0 && r->is_newest && !r->damage)
		s->io.remove(s->io.arg, name);
	else
		g_array_append_val(s->segs, *seg);
	sto_rec_clear(&rec);
	g_bytes_unref(b);
	g_free(name);
}

/*
 * Makes the valid part of the newest log file durable, without the rest. A
 * process that was killed between write and sync, or whose sync failed, leaves
 * bytes that can be read now and may be lost in a power loss: the voter would
 * acknowledge entries that it then loses, and an intact folder with a gap in
 * its log would be set aside. Syncing the file itself is not enough: after a
 * failed sync the kernel may consider the bytes written and do nothing. So the
 * bytes are written to a new file, and the old one stays complete until the new
 * one is renamed over it. Older files cannot contain such bytes, since a new
 * log file is started only after the previous one was synced.
 */
static void sto_rewrite_valid(struct sto_reader *r, const char *name,
			      struct lstr bytes)
{
	GByteArray *copy = g_byte_array_new();

	g_byte_array_append(copy, (const guint8 *)bytes.p, (guint)bytes.len);
	/* without space for it the start fails, and can be repeated */
	if (!sto_write_file(r->s, name, copy, r->err))
		r->s->failed = true;
	g_byte_array_free(copy, TRUE);
}

static void sto_apply_record(struct sto_reader *r, struct sto_seg *seg,
			     const struct sto_rec *rec)
{
	struct sto *s = r->s;
	struct pk_in in;

	if (!pk_in_init(&in, rec->body)) {
		sto_set_damage(r, "a record can't be read");
		return;
	}
	if (rec->kind == STO_HEAD && pk_get_u(&in) != s->id)
		sto_set_damage(r, "a log file belongs to another folder");
	if (rec->kind == STO_HEAD && pk_get_u(&in) != seg->no)
		sto_set_damage(r, "a log file was renamed");
	if (rec->kind == STO_HEAD || rec->kind == STO_VOTE) {
		s->term = pk_get_u(&in);
		s->vote = pk_get_u(&in);
		if (rec->kind == STO_HEAD)
			sto_check_head(r, pk_get_u(&in));
	} else if (rec->kind == STO_ENTRY) {
		sto_apply_entry(r, seg, &in);
	} else if (rec->kind == STO_RESET) {
		r->reset_index = pk_get_u(&in);
		r->missing_index = 0;
		g_array_set_size(r->out->entries, 0);
	}
	if (!pk_in_ok(&in))
		sto_set_damage(r, "a record can't be read");
	pk_in_done(&in);
}

/*
 * Checks that a log file continues where the previous ones ended; otherwise
 * entries were lost with a whole file. If there are no previous entries, the
 * snapshot must cover them. It is no loss if the log is then reset: a crash
 * came while a leader's snapshot replaced a diverged log, and some of its files
 * were already removed.
 */
static void sto_check_head(struct sto_reader *r, uint64_t last)
{
	const GArray *list = r->out->entries;
	uint64_t index = r->out->snap ? r->out->snap->index : 0;

	if (list->len && last)
		index = g_array_index(list, struct cns_entry, list->len - 1)
				.index;
	if (list->len && last ? last != index : last > index)
		r->missing_index = last;
}

static void sto_apply_entry(struct sto_reader *r, struct sto_seg *seg,
			    struct pk_in *in)
{
	GArray *list = r->out->entries;
	struct cns_entry e = {.index = pk_get_u(in)};
	struct lstr data;
	uint64_t first;

	e.term = pk_get_u(in);
	e.kind = (enum cns_entry_kind)pk_get_u(in);
	data = pk_get_str(in);
	if (list->len) {
		first = g_array_index(list, struct cns_entry, 0).index;
		if (e.index > first + list->len)
			sto_set_damage(r, "entries are missing");
		else
			g_array_set_size(list,
					 e.index > first ? e.index - first : 0);
	}
	e.data = g_bytes_new(data.p, data.len);
	cns_entries_add(list, &e);
	g_bytes_unref(e.data);
	seg->max_index = MAX(seg->max_index, e.index);
}

/*
 * Reconciles log and snapshot. A log that conflicts with the snapshot was about
 * to be replaced by it when the process crashed; none of the entries after it
 * were acknowledged in that case.
 */
static void sto_reconcile_snap(struct sto_reader *r)
{
	GArray *list = r->out->entries;
	const struct cns_snap *snap = r->out->snap;
	uint64_t index = snap ? snap->index : 0;
	uint64_t first = index + 1;
	const struct cns_entry *at;

	if (r->missing_index) {
		sto_set_damage(r,
			       "entries up to %" G_GUINT64_FORMAT " are gone",
			       r->missing_index);
		return;
	}
	if (r->reset_index > index) {
		sto_set_damage(r, "the snapshot is missing");
		return;
	}
	if (list->len)
		first = g_array_index(list, struct cns_entry, 0).index;
	if (first > index + 1) {
		sto_set_damage(r,
			       "the snapshot, or entries after it, are gone");
		return;
	}
	if (!snap || first > index)
		return;
	if (index - first < list->len) {
		at = &g_array_index(list, struct cns_entry, index - first);
		if (at->term != snap->term)
			g_array_set_size(list, 0);
	}
	g_array_remove_range(list, 0, (guint)MIN(list->len, index - first + 1));
}

static void sto_set_damage(struct sto_reader *r, const char *fmt, ...)
{
	va_list ap;

	if (r->damage)
		return;
	va_start(ap, fmt);
	r->damage = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static gint sto_compare_numbers(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}
