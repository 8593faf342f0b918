#include "sto_int.h"

#include <errno.h>

#include "err.h"

/* What the reader of a folder has found so far. */
struct sto_reader {
	struct sto *s;
	struct sto_loaded *out;
	char **names; /* of the folder's files */
	char *damage; /* first fault that may have cost a promise */
	uint64_t reset; /* index after which the log was started anew */
	uint64_t gone; /* last entry that no file or snapshot holds; 0: none */
	bool last; /* the file being read is the newest */
	GError **err; /* of the disk, not of what it holds */
};

static bool sto_goes_on(const struct sto_reader *r);
static void sto_load_identity(struct sto_reader *r, const char *node,
			      GError **err);
static GBytes *sto_read_listed(struct sto_reader *r, const char *name);
static GArray *sto_numbers(struct sto_reader *r, const char *prefix);
static void sto_load_snap(struct sto_reader *r);
static void sto_take_snap(struct sto_reader *r, struct lstr body);
static void sto_load_logs(struct sto_reader *r);
static void sto_skip_gap(struct sto_reader *r);
static void sto_load_log(struct sto_reader *r, struct sto_seg *seg);
static void sto_write_anew(struct sto_reader *r, const char *name,
			   struct lstr bytes);
static void sto_take(struct sto_reader *r, struct sto_seg *seg,
		     const struct sto_rec *rec);
static void sto_match_head(struct sto_reader *r, uint64_t last);
static void sto_take_entry(struct sto_reader *r, struct sto_seg *seg,
			   struct pk_in *in);
static void sto_match_snap(struct sto_reader *r);
static void sto_damage(struct sto_reader *r, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);
static gint sto_by_number(gconstpointer a, gconstpointer b);

/*
 * Reads a folder that has an identity. *damage tells of content that may have
 * cost a promise. False with an error: the folder is another node's, or its
 * disk failed.
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
	if (sto_goes_on(&r))
		sto_load_snap(&r);
	if (sto_goes_on(&r))
		sto_load_logs(&r);
	g_strfreev(r.names);
	if (s->failed) {
		g_free(r.damage);
		return false;
	}
	if (!r.damage)
		sto_match_snap(&r);
	out->id = s->id;
	out->term = s->term;
	out->vote = s->vote;
	*damage = r.damage;
	return true;
}

/* Whether neither content nor disk has shown a fault so far. */
static bool sto_goes_on(const struct sto_reader *r)
{
	return !r->damage && !r->s->failed;
}

/*
 * Reads a file that the folder lists. That the disk or the machine can't give
 * it now (EIO, EMFILE, ENOMEM) says nothing about what it holds: taken for a
 * torn write it would lose votes and entries in silence, taken for damage it
 * would cost a sound folder. So it ends the start, and NULL means that.
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
		sto_damage(r, "%s can't be read", STO_NAME_IDENTITY);
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

/* Numbers of the files with a prefix, lowest first. */
static GArray *sto_numbers(struct sto_reader *r, const char *prefix)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t no;
	size_t i;

	for (i = 0; r->names[i]; i++)
		if (sto_number(r->names[i], prefix, &no))
			g_array_append_val(numbers, no);
	g_array_sort(numbers, sto_by_number);
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
	name = sto_name(STO_PREFIX_SNAP, no);
	b = sto_read_listed(r, name);
	p = b ? g_bytes_get_data(b, &len) : NULL;
	if (p && sto_rec_read(no, lstr_n(p, len), &at, &rec) == STO_READ_REC &&
	    rec.kind == STO_SNAP && at == len)
		sto_take_snap(r, rec.body);
	if (b && (!r->out->snap || r->out->snap->index != no))
		sto_damage(r, "%s is damaged", name);
	if (b)
		g_bytes_unref(b);
	g_free(name);
}

static void sto_take_snap(struct sto_reader *r, struct lstr body)
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
		sto_damage(r, "the log is gone");
	for (i = 0; sto_goes_on(r) && i < numbers->len; i++) {
		uint64_t no = g_array_index(numbers, uint64_t, i);

		if (i > 0 && no != seg.no + 1)
			sto_skip_gap(r);
		seg = (struct sto_seg){.no = no};
		r->last = i == numbers->len - 1;
		sto_load_log(r, &seg);
	}
	if (sto_goes_on(r) && r->s->segs->len == 0)
		sto_damage(r, "the log is empty");
	g_array_free(numbers, TRUE);
}

/*
 * Files before a gap were on the way out: of several that a snapshot makes
 * needless, a loss of power during their removal keeps any. The head after the
 * gap tells whether the snapshot has all that was before it, and repeats the
 * vote; if not, a file was lost that is needed.
 */
static void sto_skip_gap(struct sto_reader *r)
{
	g_array_set_size(r->s->segs, 0);
	g_array_set_size(r->out->entries, 0);
	r->reset = 0;
	r->gone = 0;
}

static void sto_load_log(struct sto_reader *r, struct sto_seg *seg)
{
	struct sto *s = r->s;
	char *name = sto_name(STO_PREFIX_LOG, seg->no);
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
			sto_damage(r, "%s has no head", name);
		else
			sto_take(r, seg, &rec);
	}
	if (got == STO_READ_BAD && r->last &&
	    sto_rec_unsynced(seg->no, lstr_n(p ? p : "", len), at))
		got = STO_READ_TORN;
	if (got == STO_READ_BAD || (got == STO_READ_TORN && !r->last))
		sto_damage(r, "%s is damaged at byte %zu", name, at);
	if (!r->damage && got == STO_READ_TORN)
		r->out->cut = len - at;
	if (!r->damage && r->last && at > 0)
		sto_write_anew(r, name, lstr_n(p, at));
	if (at == 0 && r->last && !r->damage)
		s->io.remove(s->io.arg, name);
	else
		g_array_append_val(s->segs, *seg);
	sto_rec_done(&rec);
	g_bytes_unref(b);
	g_free(name);
}

/*
 * Makes what was read of the newest file last, without the rest. A process that
 * was killed between writing and syncing, or whose sync failed, leaves bytes
 * that are read here and gone after a loss of power: entries that we would
 * answer for, and a gap in the log for which a sound folder would be set aside.
 * A sync of the file itself wouldn't do: after one that failed, the kernel may
 * hold the bytes for written and have nothing to do. So they are written anew;
 * until the new file has its name the old one is whole. No older file can hold
 * such bytes, since none is begun before the one before it was synced.
 */
static void sto_write_anew(struct sto_reader *r, const char *name,
			   struct lstr bytes)
{
	GByteArray *copy = g_byte_array_new();

	g_byte_array_append(copy, (const guint8 *)bytes.p, (guint)bytes.len);
	sto_put_file(r->s, name, copy, r->err);
	g_byte_array_free(copy, TRUE);
}

static void sto_take(struct sto_reader *r, struct sto_seg *seg,
		     const struct sto_rec *rec)
{
	struct sto *s = r->s;
	struct pk_in in;

	if (!pk_in_init(&in, rec->body)) {
		sto_damage(r, "a record can't be read");
		return;
	}
	if (rec->kind == STO_HEAD && pk_get_u(&in) != s->id)
		sto_damage(r, "a log file is of another folder");
	if (rec->kind == STO_HEAD && pk_get_u(&in) != seg->no)
		sto_damage(r, "a log file was renamed");
	if (rec->kind == STO_HEAD || rec->kind == STO_VOTE) {
		s->term = pk_get_u(&in);
		s->vote = pk_get_u(&in);
		if (rec->kind == STO_HEAD)
			sto_match_head(r, pk_get_u(&in));
	} else if (rec->kind == STO_ENTRY) {
		sto_take_entry(r, seg, &in);
	} else if (rec->kind == STO_RESET) {
		r->reset = pk_get_u(&in);
		r->gone = 0;
		g_array_set_size(r->out->entries, 0);
	}
	if (!pk_in_ok(&in))
		sto_damage(r, "a record can't be read");
	pk_in_done(&in);
}

/*
 * A log file goes on where those before it ended: else entries were lost with
 * a whole file. Where none are held, the snapshot has them all. It is no loss
 * where the log is then reset: a crash came while a leader's snapshot took the
 * place of a log that had gone astray, and some of its files were removed.
 */
static void sto_match_head(struct sto_reader *r, uint64_t last)
{
	const GArray *list = r->out->entries;
	uint64_t index = r->out->snap ? r->out->snap->index : 0;

	if (list->len && last)
		index = g_array_index(list, struct cns_entry, list->len - 1)
				.index;
	if (list->len && last ? last != index : last > index)
		r->gone = last;
}

static void sto_take_entry(struct sto_reader *r, struct sto_seg *seg,
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
			sto_damage(r, "entries are missing");
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
 * Brings log and snapshot together. A log that disagrees with the snapshot is
 * one that the snapshot was to replace when we crashed: nothing that follows
 * was promised in that case.
 */
static void sto_match_snap(struct sto_reader *r)
{
	GArray *list = r->out->entries;
	const struct cns_snap *snap = r->out->snap;
	uint64_t index = snap ? snap->index : 0;
	uint64_t first = index + 1;
	const struct cns_entry *at;

	if (r->gone) {
		sto_damage(r, "entries up to %" G_GUINT64_FORMAT " are gone",
			   r->gone);
		return;
	}
	if (r->reset > index) {
		sto_damage(r, "the snapshot is gone");
		return;
	}
	if (list->len)
		first = g_array_index(list, struct cns_entry, 0).index;
	if (first > index + 1) {
		sto_damage(r, "the snapshot, or entries after it, are gone");
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

static void sto_damage(struct sto_reader *r, const char *fmt, ...)
{
	va_list ap;

	if (r->damage)
		return;
	va_start(ap, fmt);
	r->damage = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static gint sto_by_number(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}
