#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>
#include <sys/resource.h>

#include "err.h"
#include "sto.h"

/* Of which a disk writes whole ones, bytes. */
#define WORD 8

/* What a loss of power leaves of bytes that were never synced. */
enum loss {
	LOSS_GONE,
	LOSS_THERE,
	LOSS_TORN, /* the first of those that tear a write */
	LOSS_PREFIX = LOSS_TORN, /* half of them last */
	LOSS_ZEROS, /* their length does */
	LOSS_HEAD, /* zeros for the first two words */
	LOSS_MIDDLE, /* zeros for a word in the middle */
	LOSS_TAIL, /* zeros for the second half */
	LOSS_KINDS
};

struct file {
	GByteArray *data;
	gsize synced;
	bool clean; /* a sync failed: the rest counts as written and isn't */
	int refs;
};

/* A change of names that the folder's next sync makes last. */
struct change {
	char *name;
	struct file *file; /* NULL: the name is removed */
};

/*
 * A folder whose process can be killed at any operation, which leaves all as
 * it was written, and whose machine can lose power, which leaves what was
 * synced and any choice of the rest.
 */
struct disk {
	GHashTable *now; /* name: struct file */
	GHashTable *lasting;
	GArray *changes; /* struct change */
	GPtrArray *open; /* struct file, by descriptor */
	int left; /* operations until the kill; -1: none comes */
	int lists; /* of the folder until one fails; 0: none does */
	int drops; /* syncs until one fails and marks all clean; 0: none */
	const char *unreadable; /* the file that can't be read; NULL: none */
};

static void file_unref(gpointer p)
{
	struct file *f = p;

	if (--f->refs)
		return;
	g_byte_array_free(f->data, TRUE);
	g_free(f);
}

static struct file *file_ref(struct file *f)
{
	f->refs++;
	return f;
}

static GHashTable *names_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     file_unref);
}

static void names_put(GHashTable *names, const struct change *c)
{
	if (c->file)
		g_hash_table_replace(names, g_strdup(c->name),
				     file_ref(c->file));
	else
		g_hash_table_remove(names, c->name);
}

static void change_clear(gpointer p)
{
	struct change *c = p;

	g_free(c->name);
	if (c->file)
		file_unref(c->file);
}

/* Whether the process is gone by now; each operation is a moment to die. */
static bool dead(struct disk *d)
{
	if (d->left > 0)
		d->left--;
	errno = EIO;
	return d->left == 0;
}

static void change(struct disk *d, const char *name, struct file *file)
{
	struct change c = {
		.name = g_strdup(name),
		.file = file ? file_ref(file) : NULL,
	};

	names_put(d->now, &c);
	g_array_append_val(d->changes, c);
}

static int disk_create(void *arg, const char *name)
{
	struct disk *d = arg;
	struct file *f;

	if (dead(d))
		return -1;
	f = g_new0(struct file, 1);
	f->refs = 1;
	f->data = g_byte_array_new();
	change(d, name, f);
	g_ptr_array_add(d->open, f);
	return (int)d->open->len - 1;
}

static ssize_t disk_write(void *arg, int fd, const void *p, size_t len)
{
	struct disk *d = arg;
	struct file *f = g_ptr_array_index(d->open, fd);

	if (dead(d))
		return -1;
	g_byte_array_append(f->data, p, (guint)len);
	return (ssize_t)len;
}

static int disk_sync(void *arg, int fd)
{
	struct disk *d = arg;
	struct file *f = g_ptr_array_index(d->open, fd);

	if (dead(d))
		return -1;
	if (d->drops && --d->drops == 0) {
		f->clean = true;
		return -1;
	}
	if (!f->clean)
		f->synced = f->data->len;
	return 0;
}

static int disk_close(void *arg, int fd)
{
	return 0;
}

static GBytes *disk_read(void *arg, const char *name)
{
	struct disk *d = arg;
	struct file *f = g_hash_table_lookup(d->now, name);

	errno = EIO;
	if (g_strcmp0(d->unreadable, name) == 0)
		return NULL;
	return f ? g_bytes_new(f->data->data, f->data->len) : NULL;
}

static char **disk_list(void *arg)
{
	struct disk *d = arg;
	guint n;
	char **keys = (char **)g_hash_table_get_keys_as_array(d->now, &n);
	char **copy = NULL;

	errno = EMFILE;
	if (!d->lists || --d->lists)
		copy = g_strdupv(keys);
	g_free(keys);
	return copy;
}

static int disk_rename(void *arg, const char *from, const char *to)
{
	struct disk *d = arg;
	struct file *f = g_hash_table_lookup(d->now, from);

	if (!f || dead(d))
		return -1;
	file_ref(f);
	change(d, to, f);
	change(d, from, NULL);
	file_unref(f);
	return 0;
}

static int disk_remove(void *arg, const char *name)
{
	struct disk *d = arg;

	if (!g_hash_table_contains(d->now, name) || dead(d))
		return -1;
	change(d, name, NULL);
	return 0;
}

static int disk_sync_folder(void *arg)
{
	struct disk *d = arg;
	guint i;

	if (dead(d))
		return -1;
	for (i = 0; i < d->changes->len; i++)
		names_put(d->lasting,
			  &g_array_index(d->changes, struct change, i));
	g_array_set_size(d->changes, 0);
	return 0;
}

static struct sto_io disk_io(struct disk *d)
{
	return (struct sto_io){
		.arg = d,
		.create = disk_create,
		.write = disk_write,
		.sync = disk_sync,
		.close = disk_close,
		.read = disk_read,
		.list = disk_list,
		.rename = disk_rename,
		.remove = disk_remove,
		.sync_folder = disk_sync_folder,
	};
}

static struct disk *disk_new(void)
{
	struct disk *d = g_new0(struct disk, 1);

	d->now = names_new();
	d->lasting = names_new();
	d->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(d->changes, change_clear);
	d->open = g_ptr_array_new_with_free_func(file_unref);
	d->left = -1;
	return d;
}

static void disk_free(struct disk *d)
{
	g_array_free(d->changes, TRUE);
	g_hash_table_destroy(d->now);
	g_hash_table_destroy(d->lasting);
	g_ptr_array_free(d->open, TRUE);
	g_free(d);
}

/* The process is gone; a new one finds all as it was written. */
static void disk_killed(struct disk *d)
{
	d->left = -1;
	g_ptr_array_set_size(d->open, 0);
}

/* What a loss of power leaves of a file. */
static void file_torn(struct file *f, enum loss loss)
{
	gsize left = f->data->len - f->synced;
	guint8 *p = f->data->data + f->synced;

	if (loss == LOSS_GONE)
		g_byte_array_set_size(f->data, (guint)f->synced);
	else if (loss == LOSS_PREFIX)
		g_byte_array_set_size(f->data, (guint)(f->synced + left / 2));
	else if (left && loss == LOSS_ZEROS)
		memset(p, 0, left);
	else if (left && loss == LOSS_HEAD)
		memset(p, 0, MIN(2 * WORD, left));
	else if (left >= 4 * WORD && loss == LOSS_MIDDLE)
		memset(p + left / 2 / WORD * WORD, 0, WORD);
	else if (left && loss == LOSS_TAIL)
		memset(p + left / 2, 0, left - left / 2);
	f->synced = f->data->len;
	f->clean = false;
}

/* The machine is dark; of unsynced names, those in mask have lasted. */
static void disk_dark(struct disk *d, unsigned int mask, enum loss loss)
{
	GHashTableIter it;
	struct file *f;
	gpointer name;
	guint i;

	for (i = 0; i < d->changes->len; i++)
		if (mask & 1U << i)
			names_put(d->lasting,
				  &g_array_index(d->changes, struct change, i));
	g_array_set_size(d->changes, 0);
	g_hash_table_remove_all(d->now);
	g_hash_table_iter_init(&it, d->lasting);
	while (g_hash_table_iter_next(&it, &name, (gpointer *)&f)) {
		file_torn(f, loss);
		g_hash_table_insert(d->now, g_strdup(name), file_ref(f));
	}
	disk_killed(d);
}

/* What was promised so far, by the voter that holds the folder. */
struct promise {
	bool made; /* there is a folder */
	uint64_t id;
	uint64_t term;
	uint64_t vote;
	uint64_t last; /* entry */
};

/* Opens the folder, which must hold what was promised; NULL: killed. */
static struct sto *life(struct disk *d, uint64_t new_id, struct promise *p)
{
	struct sto_io io = disk_io(d);
	struct sto_loaded l;
	uint64_t last;
	struct sto *s;

	s = sto_open(&io, "n", new_id, &l, NULL);
	if (!s)
		return NULL;
	/* a folder whose making was cut short never was a voter's */
	if (p->made && l.damage)
		fail_msg("said to be damaged: %s", l.damage);
	if (p->made && l.fresh)
		fail_msg("said to be empty");
	last = l.snap ? l.snap->index : 0;
	if (l.entries->len)
		last = g_array_index(l.entries, struct cns_entry,
				     l.entries->len - 1)
			       .index;
	assert_true(!p->made || l.id == p->id);
	assert_true(last >= p->last);
	assert_true(l.term >= p->term);
	assert_true(l.term > p->term || l.vote == p->vote);
	/* what it has read it answers for from now on */
	*p = (struct promise){
		.made = true,
		.id = l.id,
		.term = l.term,
		.vote = l.vote,
		.last = last,
	};
	sto_loaded_clear(&l);
	return s;
}

/* Stores one more entry, or a vote; false: killed. */
static bool store_entry(struct sto *s, struct promise *p)
{
	GBytes *data = g_bytes_new_static("command", 7);
	struct cns_entry e = {
		.index = p->last + 1,
		.term = MAX(1, p->term),
		.kind = CNS_COMMAND,
		.data = data,
	};
	bool ok;

	sto_entry(s, &e);
	ok = sto_sync(s, NULL);
	g_bytes_unref(data);
	p->last += ok;
	return ok;
}

static bool store_vote(struct sto *s, struct promise *p, uint64_t term)
{
	sto_vote(s, term, 5);
	if (!sto_sync(s, NULL))
		return false;
	p->term = term;
	p->vote = 5;
	return true;
}

static bool store_snapshot(struct sto *s, const struct promise *p)
{
	struct cns_members members = {.lineage = 1};
	GBytes *data = g_bytes_new_static("state", 5);
	struct cns_snap *snap =
		cns_snap_new(p->last, MAX(1, p->term), &members, data);
	bool ok = sto_snapshot(s, snap, NULL);

	cns_snap_free(snap);
	g_bytes_unref(data);
	return ok;
}

/* Puts a leader's snapshot in place of the log. */
static bool store_install(struct sto *s, struct promise *p)
{
	struct cns_members members = {.lineage = 1};
	GBytes *data = g_bytes_new_static("state", 5);
	struct cns_snap *snap = cns_snap_new(p->last + 3, 2, &members, data);
	bool ok = sto_install(s, snap, NULL);

	if (ok)
		p->last = snap->index;
	cns_snap_free(snap);
	g_bytes_unref(data);
	return ok;
}

/* The same of one that is far behind and gets the leader's snapshots. */
static bool fall_behind(struct disk *d, struct promise *p)
{
	struct sto *s = life(d, 7, p);
	bool ok = s && store_vote(s, p, 1) && store_entry(s, p) &&
		  store_install(s, p) && store_entry(s, p) &&
		  store_install(s, p) && store_entry(s, p) &&
		  store_snapshot(s, p) && store_entry(s, p);

	sto_free(s);
	return ok;
}

/* What a voter's process does until it is killed; false: it was. */
static bool work(struct disk *d, struct promise *p)
{
	struct sto *s = life(d, 7, p);
	bool ok = s && store_vote(s, p, 1) && store_entry(s, p) &&
		  store_entry(s, p) && store_snapshot(s, p) &&
		  store_entry(s, p) && store_vote(s, p, 2) &&
		  store_entry(s, p) && store_snapshot(s, p) &&
		  store_entry(s, p);

	sto_free(s);
	return ok;
}

/* One choice of what goes wrong when. */
struct woe {
	bool (*work)(struct disk *d, struct promise *p);
	int kill_at; /* operation of the first process */
	int again_at; /* of one after it; 0: there is none */
	int dark_at; /* operation of the second */
	unsigned int mask; /* names that last */
	enum loss loss;
	/* what became of it */
	bool killed; /* the first process had more to do */
	bool again; /* so had the one after it */
	bool cut_short; /* so had the second */
	guint changes; /* names that weren't synced */
};

/*
 * One process is killed, perhaps another, the next goes on for a moment until
 * the machine is dark, and the last must find all that they promised.
 */
static void kill_then_dark(struct woe *woe)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	struct sto *s;

	d->left = woe->kill_at;
	woe->killed = !woe->work(d, &p);
	disk_killed(d);
	if (woe->again_at) {
		d->left = woe->again_at;
		s = life(d, 18, &p);
		woe->again = !s || !store_entry(s, &p);
		sto_free(s);
		disk_killed(d);
	}
	d->left = woe->dark_at;
	s = life(d, 8, &p);
	woe->cut_short = !s || !store_entry(s, &p);
	sto_free(s);
	woe->changes = d->changes->len;
	disk_dark(d, woe->mask, woe->loss);
	s = life(d, 9, &p);
	assert_non_null(s);
	assert_true(store_entry(s, &p));
	sto_free(s);
	disk_free(d);
}

/*
 * Every choice of what a loss of power leaves of names, and of writes whole or
 * not at all; writes are torn in one way at each moment, with all names or none.
 */
static void each_loss(struct woe *woe)
{
	int loss;

	for (loss = 0; loss < LOSS_TORN; loss++) {
		woe->loss = (enum loss)loss;
		woe->changes = 0;
		for (woe->mask = 0; woe->mask >> woe->changes == 0; woe->mask++)
			kill_then_dark(woe);
	}
	loss += (woe->kill_at + woe->dark_at) % (LOSS_KINDS - LOSS_TORN);
	woe->loss = (enum loss)loss;
	woe->mask = 0;
	kill_then_dark(woe);
	woe->mask = ~0U;
	kill_then_dark(woe);
}

/* One choice of what a loss of power leaves, another at each moment. */
static void one_loss(struct woe *woe)
{
	int n = woe->kill_at + woe->again_at + woe->dark_at;

	woe->mask = n % 2 ? ~0U : 0;
	woe->loss = (enum loss)(n % LOSS_KINDS);
	kill_then_dark(woe);
}

/*
 * After all control VMs have lost power at once, and one of them its disk, no
 * leader is ever found again: every request is refused and work whose leases
 * ran out isn't started anew. Long before, another control daemon had been
 * killed between writing to its log and syncing it. The next process read the
 * bytes, which the kernel still had, and went on in a new file without ever
 * syncing the old one; the loss of power took them. Its log then said
 *     folder-damaged why="entries up to 649 are gone" does="set aside; ..."
 * and two of three voters were gone for good, of which one had lost nothing
 * but what it was never asked to keep.
 */
static void a_kill_before_a_loss_of_power_costs_no_folder(void **state)
{
	struct woe woe = {.work = work, .killed = true};

	for (woe.kill_at = 1; woe.killed; woe.kill_at++) {
		woe.cut_short = true;
		for (woe.dark_at = 1; woe.cut_short; woe.dark_at++)
			each_loss(&woe);
		assert_true(woe.dark_at > 5);
	}
	assert_true(woe.kill_at > 30);
}

/* A start that must end with an error of the disk. */
static void start_fails(struct disk *d)
{
	struct sto_io io = disk_io(d);
	struct sto_loaded l;
	GError *err = NULL;

	assert_null(sto_open(&io, "n", 8, &l, &err));
	assert_true(g_error_matches(err, err_quark(), ERR_IO));
	g_error_free(err);
	disk_killed(d);
}

/*
 * A voter has voted and stored entries, and all of it was answered for. At its
 * next start a file of its folder is there and can't be read for a moment: the
 * disk gives EIO, or the process has no descriptor or memory left. The newest
 * log was taken for a write that power had cut short, and the voter came up as
 * the same member without its vote; the others were taken for damage, which
 * costs the folder. The start must fail, and the next find all that was there.
 */
static void a_log_that_cant_be_read_is_no_torn_write(void **state)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	char **names;
	struct sto *s;
	int i;

	assert_true(work(d, &p));
	disk_killed(d);
	s = life(d, 8, &p);
	assert_true(store_entry(s, &p));
	sto_free(s);
	names = disk_list(d);
	assert_true(g_strv_length(names) > 3);
	for (i = 0; names[i]; i++) {
		d->unreadable = names[i];
		start_fails(d);
		d->unreadable = NULL;
		s = life(d, 8, &p);
		assert_non_null(s);
		sto_free(s);
		disk_killed(d);
	}
	g_strfreev(names);
	disk_free(d);
}

/*
 * Power went while a folder was being made: it has a log and no identity. If
 * that log can't be read, nobody knows what the folder is: it may neither be
 * made anew nor set aside.
 */
static void a_half_made_folder_that_cant_be_read_is_kept(void **state)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	struct sto *s = life(d, 7, &p);

	assert_true(store_vote(s, &p, 1) && store_entry(s, &p));
	sto_free(s);
	disk_killed(d);
	assert_int_equal(disk_rename(d, "identity", "elsewhere"), 0);
	d->unreadable = "log-0000000000000001";
	start_fails(d);
	assert_int_equal(disk_rename(d, "elsewhere", "identity"), 0);
	d->unreadable = NULL;
	s = life(d, 8, &p);
	assert_non_null(s);
	sto_free(s);
	disk_free(d);
}

/*
 * Power is lost after a failed sync and a restart, and entries are gone that
 * the restarted voter answered for. A sync fails once, and the kernel marks the
 * pages clean that it couldn't write. The voter ends, as it must. The next
 * process reads the bytes, which are still in memory; a sync of its own has
 * nothing to write and succeeds, so it answered for what no disk holds.
 */
static void what_a_failed_sync_left_in_memory_is_not_answered_for(void **state)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	struct sto *s = life(d, 7, &p);

	assert_true(store_vote(s, &p, 1) && store_entry(s, &p));
	d->drops = 1;
	assert_false(store_entry(s, &p));
	sto_free(s);
	disk_killed(d);
	s = life(d, 8, &p);
	assert_non_null(s);
	assert_true(store_entry(s, &p));
	sto_free(s);
	disk_dark(d, 0, LOSS_GONE);
	s = life(d, 9, &p);
	assert_non_null(s);
	sto_free(s);
	disk_free(d);
}

/*
 * The same, where it is a sync of the start itself that fails: first the one
 * for the bytes that a killed process wrote, then each of those that follow.
 * The start ends, and the next one may not take the bytes for synced either.
 */
static void a_failed_sync_at_a_start_is_not_forgotten(void **state)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	struct sto *s = life(d, 7, &p);
	int at;

	assert_true(store_vote(s, &p, 1) && store_entry(s, &p));
	d->left = 2; /* written, and killed before the sync */
	assert_false(store_entry(s, &p));
	sto_free(s);
	disk_killed(d);
	for (at = 1; at <= 2; at++) {
		d->drops = at;
		start_fails(d);
		assert_int_equal(d->drops, 0);
		s = life(d, 8, &p);
		assert_non_null(s);
		sto_free(s);
		disk_dark(d, 0, LOSS_GONE);
		s = life(d, 9, &p);
		assert_non_null(s);
		sto_free(s);
		disk_killed(d);
	}
	disk_free(d);
}

/*
 * A voter starts while its process has no descriptor left, or its disk fails,
 * and the folder can't be listed. It counted as empty: identity and first log
 * were written over, and the voter came back as somebody who had promised
 * nothing. Whichever look at the folder fails, the start must end and the next
 * one find all that was there.
 */
static void a_folder_that_cant_be_listed_is_not_empty(void **state)
{
	struct disk *d = disk_new();
	struct promise p = {0};
	struct sto *s;
	int at;

	assert_true(work(d, &p));
	disk_killed(d);
	for (at = 1; at <= 3; at++) {
		d->lists = at;
		start_fails(d);
		assert_int_equal(d->lists, 0);
		s = life(d, 8, &p);
		assert_non_null(s);
		sto_free(s);
		disk_killed(d);
	}
	disk_free(d);
}

/*
 * The same of a folder of the machine, whose process has no descriptor left: an
 * error comes back, not an empty list, and once there are some all names do.
 */
static void no_descriptor_for_a_list_is_an_error(void **state)
{
	char *path = g_dir_make_tmp("endive-sto-XXXXXX", NULL);
	struct sto_io *io = sto_folder_new(path, NULL);
	struct rlimit none = {0};
	struct rlimit old;
	char **names;

	assert_non_null(io);
	assert_int_equal(getrlimit(RLIMIT_NOFILE, &old), 0);
	none.rlim_max = old.rlim_max;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &none), 0);
	names = io->list(io->arg);
	assert_int_equal(errno, EMFILE);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &old), 0);
	assert_null(names);
	names = io->list(io->arg);
	assert_non_null(names);
	g_strfreev(names);
	sto_folder_free(io);
	assert_int_equal(g_rmdir(path), 0);
	g_free(path);
}

/*
 * The same of a voter that lies far behind, and gets snapshots of a leader in
 * place of its log: files of before are on their way out at most moments.
 */
static void a_kill_during_an_install_costs_no_folder(void **state)
{
	struct woe woe = {.work = fall_behind, .killed = true};

	for (woe.kill_at = 1; woe.killed; woe.kill_at++) {
		woe.cut_short = true;
		for (woe.dark_at = 1; woe.cut_short; woe.dark_at++)
			each_loss(&woe);
	}
	assert_true(woe.kill_at > 30);
}

/*
 * The same where a second process is killed during its start, as a daemon is
 * that its supervisor starts anew at once. Of unsynced names all or none last,
 * and of all moments every sixth is tried.
 */
static void two_kills_before_a_loss_of_power_cost_no_folder(void **state)
{
	struct woe woe = {.work = work, .killed = true};

	for (woe.kill_at = 1; woe.killed; woe.kill_at++) {
		woe.again = true;
		woe.again_at = 1 + woe.kill_at % 2;
		for (; woe.again; woe.again_at += 2) {
			woe.cut_short = true;
			woe.dark_at = 1 + woe.again_at % 3;
			for (; woe.cut_short; woe.dark_at += 3)
				one_loss(&woe);
		}
	}
	assert_true(woe.kill_at > 30);
}

/* Turns a bit of a file around. */
static void flip(struct disk *d, const char *name)
{
	struct file *f = g_hash_table_lookup(d->now, name);

	f->data->data[f->data->len / 2] ^= 1;
}

/*
 * A replica of a fleet that is begun is given the same id at each start, worked
 * out from its address. Its folder is damaged, and it came back under that id:
 * a member that has forgotten what it promised, such as its vote. However often
 * it is killed while the folder is set aside and made anew, it must come back
 * as somebody else.
 */
static void a_damaged_folder_never_gets_its_id_back(void **state)
{
	bool killed = true;
	int at;

	for (at = 1; killed; at++) {
		struct disk *d = disk_new();
		struct sto_io io = disk_io(d);
		struct promise p = {0};
		struct sto_loaded l;
		struct sto *s;

		assert_true(work(d, &p));
		disk_killed(d);
		flip(d, "identity");
		d->left = at;
		s = sto_open(&io, "n", 7, &l, NULL);
		killed = !s;
		if (s)
			assert_true(l.fresh && l.id != 7);
		sto_loaded_clear(&l);
		sto_free(s);
		disk_dark(d, ~0U, LOSS_GONE);
		s = sto_open(&io, "n", 7, &l, NULL);
		assert_non_null(s);
		assert_true(l.id != 7);
		assert_int_equal(l.term, 0);
		assert_int_equal(l.entries->len, 0);
		sto_loaded_clear(&l);
		sto_free(s);
		disk_free(d);
	}
	assert_true(at > 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_kill_before_a_loss_of_power_costs_no_folder),
		cmocka_unit_test(a_kill_during_an_install_costs_no_folder),
		cmocka_unit_test(
			two_kills_before_a_loss_of_power_cost_no_folder),
		cmocka_unit_test(a_log_that_cant_be_read_is_no_torn_write),
		cmocka_unit_test(a_half_made_folder_that_cant_be_read_is_kept),
		cmocka_unit_test(
			what_a_failed_sync_left_in_memory_is_not_answered_for),
		cmocka_unit_test(a_failed_sync_at_a_start_is_not_forgotten),
		cmocka_unit_test(a_folder_that_cant_be_listed_is_not_empty),
		cmocka_unit_test(no_descriptor_for_a_list_is_an_error),
		cmocka_unit_test(a_damaged_folder_never_gets_its_id_back),
	};

	return cmocka_run_group_tests_name("sto", tests, NULL, NULL);
}
