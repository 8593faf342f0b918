#include <rapidcheck.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "sto.h"
}

/* A disk writes whole sectors of so many bytes. */
static const size_t SECTOR_BYTES = 512;

/*
 * Simulated data folder that can crash at any operation and then lose unsynced
 * data.
 */
struct Folder {
	struct Write {
		size_t at;
		std::string bytes;
	};
	struct Inode {
		std::string data;
		std::string synced;
		std::vector<Write> unsynced;
		bool cut = false; /* truncated since the last sync */

		void add(const void *p, size_t len)
		{
			unsynced.push_back({data.size(),
					    std::string((const char *)p, len)});
			data.append((const char *)p, len);
		}
		void sync()
		{
			synced = data;
			unsynced.clear();
			cut = false;
		}
	};
	using Dir = std::map<std::string, std::shared_ptr<Inode>>;

	std::mt19937 rng;
	Dir now;
	Dir durable;
	std::vector<std::function<void(Dir &)>> unsynced;
	std::map<int, std::shared_ptr<Inode>> open;
	int next_fd = 3;
	int crash_in = -1; /* operations until the crash; -1: never */
	int fail_sync_in = -1;
	size_t space_left = SIZE_MAX;
	bool short_writes = false;
	sto_io io = {};

	explicit Folder(uint32_t seed) : rng(seed)
	{
		io.arg = this;
		io.create = create;
		io.write = write;
		io.sync = sync;
		io.truncate = truncate;
		io.close = close;
		io.read = read;
		io.list = list;
		io.rename = rename;
		io.remove = remove;
		io.sync_folder = sync_folder;
	}
	size_t up_to(size_t n)
	{
		return std::uniform_int_distribution<size_t>(0, n)(rng);
	}
	static Folder &of(void *arg)
	{
		return *static_cast<Folder *>(arg);
	}
	bool count_operation()
	{
		if (crash_in > 0)
			crash_in--;
		errno = EIO;
		return crash_in == 0;
	}
	void dir_op(std::function<void(Dir &)> op)
	{
		op(now);
		unsynced.push_back(op);
	}
	static int create(void *arg, const char *name)
	{
		Folder &f = of(arg);
		auto inode = std::make_shared<Inode>();
		std::string n = name;

		if (f.count_operation())
			return -1;
		f.dir_op([n, inode](Dir &d) { d[n] = inode; });
		f.open[f.next_fd] = inode;
		return f.next_fd++;
	}
	static ssize_t write(void *arg, int fd, const void *p, size_t len)
	{
		Folder &f = of(arg);
		auto inode = f.open.at(fd);

		if (f.crash_in == 0)
			return -1;
		if (f.count_operation()) {
			inode->add(p, f.up_to(len));
			return -1;
		}
		if (f.short_writes && len > 1 && f.up_to(3) == 0)
			len = 1 + f.up_to(len - 2);
		if (f.space_left < len) {
			len = f.space_left;
			f.space_left = 0;
			errno = ENOSPC;
			if (len == 0)
				return -1;
		} else if (f.space_left != SIZE_MAX) {
			f.space_left -= len;
		}
		inode->add(p, len);
		return (ssize_t)len;
	}
	static int sync(void *arg, int fd)
	{
		Folder &f = of(arg);
		auto inode = f.open.at(fd);

		if (f.count_operation())
			return -1;
		if (f.fail_sync_in > 0 && --f.fail_sync_in == 0) {
			errno = EIO;
			return -1;
		}
		inode->sync();
		return 0;
	}
	static int truncate(void *arg, int fd, uint64_t len)
	{
		Folder &f = of(arg);
		auto inode = f.open.at(fd);

		if (f.count_operation())
			return -1;
		inode->data.resize(len);
		while (!inode->unsynced.empty() &&
		       inode->unsynced.back().at >= len)
			inode->unsynced.pop_back();
		inode->cut = true;
		return 0;
	}
	static int close(void *arg, int fd)
	{
		of(arg).open.erase(fd);
		return 0;
	}
	static GBytes *read(void *arg, const char *name)
	{
		auto it = of(arg).now.find(name);

		if (it == of(arg).now.end())
			return nullptr;
		return g_bytes_new(it->second->data.data(),
				   it->second->data.size());
	}
	static char **list(void *arg)
	{
		GPtrArray *names = g_ptr_array_new();

		for (auto &e : of(arg).now)
			g_ptr_array_add(names, g_strdup(e.first.c_str()));
		g_ptr_array_add(names, nullptr);
		return (char **)g_ptr_array_free(names, FALSE);
	}
	static int rename(void *arg, const char *from, const char *to)
	{
		Folder &f = of(arg);
		std::string a = from;
		std::string b = to;

		if (f.count_operation() || !f.now.count(a))
			return -1;
		auto inode = f.now[a];
		f.dir_op([a, b, inode](Dir &d) {
			if (d.count(a) && d[a] == inode)
				d.erase(a);
			d[b] = inode;
		});
		return 0;
	}
	static int remove(void *arg, const char *name)
	{
		Folder &f = of(arg);
		std::string n = name;

		if (f.count_operation())
			return -1;
		f.dir_op([n](Dir &d) { d.erase(n); });
		return 0;
	}
	static int sync_folder(void *arg)
	{
		Folder &f = of(arg);

		if (f.count_operation())
			return -1;
		for (auto &op : f.unsynced)
			op(f.durable);
		f.unsynced.clear();
		return 0;
	}
	/* Applies what a disk may keep of an interrupted write. */
	void tear(std::string &kept, const Write &w)
	{
		size_t end = w.at + w.bytes.size();
		size_t part = up_to(w.bytes.size());

		switch (up_to(2)) {
		case 0: /* the first bytes; the file ends after them */
			kept.resize(std::max(kept.size(), w.at + part));
			kept.replace(w.at, part, w.bytes, 0, part);
			break;
		case 1: /* the first bytes and the full length */
			kept.resize(std::max(kept.size(), end));
			kept.replace(w.at, part, w.bytes, 0, part);
			break;
		default: /* any sectors and the full length */
			kept.resize(std::max(kept.size(), end));
			for (size_t i = w.at; i < end;) {
				size_t next = std::min(end, (i / SECTOR_BYTES +
							     1) * SECTOR_BYTES);

				if (up_to(1))
					kept.replace(i, next - i, w.bytes,
						     i - w.at, next - i);
				i = next;
			}
		}
	}
	/*
	 * Simulates a power loss. Each unsynced creation, rename or removal of
	 * a name is kept or lost independently, and each unsynced write is
	 * kept, lost or torn; in some runs everything or nothing is kept.
	 */
	void crash()
	{
		size_t keep = up_to(4); /* 0: everything is kept, 1: nothing */

		for (auto &op : unsynced)
			if (keep == 0 || (keep > 1 && up_to(1)))
				op(durable);
		unsynced.clear();
		now = durable;
		open.clear();
		for (auto &e : now) {
			Inode &n = *e.second;
			std::string kept = n.synced;

			if (n.cut && (keep == 0 || (keep > 1 && up_to(1))))
				kept.resize(
					std::min(kept.size(), n.data.size()));
			for (auto &w : n.unsynced) {
				size_t outcome = keep == 0   ? 0
						 : keep == 1 ? 1
							     : up_to(3);

				if (outcome == 0) {
					kept.resize(std::max(
						kept.size(),
						w.at + w.bytes.size()));
					kept.replace(w.at, w.bytes.size(),
						     w.bytes);
				} else if (outcome > 1) {
					tear(kept, w);
				}
			}
			n.data = kept;
			n.sync();
		}
		crash_in = -1;
	}
	std::string any_file()
	{
		auto it = now.begin();

		std::advance(it, up_to(now.size() - 1));
		return it->first;
	}
};

/* The expected content of a folder. */
struct State {
	uint64_t term = 0;
	uint64_t vote = 0;
	uint64_t snap = 0;
	std::map<uint64_t, uint64_t> log; /* index: term, after snap */

	bool operator==(const State &o) const
	{
		return term == o.term && vote == o.vote && snap == o.snap &&
		       log == o.log;
	}
	uint64_t last() const
	{
		return log.empty() ? snap : log.rbegin()->first;
	}
};

static State loaded_state(const sto_loaded &l)
{
	State st;

	st.term = l.term;
	st.vote = l.vote;
	st.snap = l.snap ? l.snap->index : 0;
	for (guint i = 0; i < l.entries->len; i++) {
		auto &e = g_array_index(l.entries, cns_entry, i);

		st.log[e.index] = e.term;
	}
	return st;
}

/*
 * Uses a folder as a voter does. possible holds all states that a crash could
 * leave.
 */
class Writer
{
      public:
	Folder f;
	State st;
	State safe; /* as of the last sync */
	bool in_snapshot = false; /* a snapshot of its own is being written */
	bool snap_left_out = false; /* the last of these found no space */
	cns_snap *pending = nullptr; /* a snapshot that found no space */
	std::vector<State> possible;
	sto *s = nullptr;
	uint64_t id = 0;

	explicit Writer(uint32_t seed) : f(seed)
	{
	}
	~Writer()
	{
		cns_snap_free(pending);
		sto_free(s);
	}
	bool open(sto_loaded *l)
	{
		sto_free(s);
		s = sto_open(&f.io, "n1", 1000 + f.up_to(1 << 30), l, nullptr);
		return s != nullptr;
	}
	void begin()
	{
		sto_loaded l;

		RC_ASSERT(open(&l));
		RC_ASSERT(l.fresh);
		id = l.id;
		possible = {st};
		safe = st;
		sto_loaded_clear(&l);
	}
	bool sync()
	{
		if (!sto_sync(s, nullptr))
			return false;
		possible = {st};
		safe = st;
		return true;
	}
	void vote()
	{
		if (f.up_to(1))
			st.term++;
		st.vote = f.up_to(3);
		sto_vote(s, st.term, st.vote);
		possible.push_back(st);
	}
	void entry()
	{
		uint64_t first = st.snap + 1;
		uint64_t last = st.last();
		uint64_t index = last + 1;
		std::string data(f.up_to(300), f.up_to(1) ? 'd' : '\0');
		cns_entry e = {};

		if (index > first && f.up_to(9) == 0)
			index = first + f.up_to(last - first);
		st.log.erase(st.log.lower_bound(index), st.log.end());
		st.log[index] = st.term + 1;
		e.index = index;
		e.term = st.term + 1;
		e.data = g_bytes_new(data.data(), data.size());
		sto_entry(s, &e);
		g_bytes_unref(e.data);
		possible.push_back(st);
	}
	bool snapshot(bool install)
	{
		std::string data(f.up_to(2000), 's');
		struct cns_members m = {};
		State then = st;
		cns_snap *snap;
		GBytes *b;
		bool ok;

		if (!install && st.log.empty())
			return true;
		then.snap = install ? st.last() + 1 + f.up_to(5)
				    : st.snap + 1 + f.up_to(st.log.size() - 1);
		then.log.erase(then.log.begin(),
			       then.log.upper_bound(then.snap));
		if (install)
			then.log.clear();
		b = g_bytes_new(data.data(), data.size());
		snap = cns_snap_new(then.snap,
				    install ? st.term + 9 : st.log[then.snap],
				    &m, b);
		g_bytes_unref(b);
		for (size_t i = possible.size(); i-- > 0;) {
			State partial = possible[i];

			partial.snap = then.snap;
			partial.log = then.log;
			possible.push_back(partial);
		}
		possible.push_back(then);
		in_snapshot = !install;
		ok = install ? sto_install(s, snap, nullptr)
			     : sto_snapshot(s, snap, nullptr);
		st = then;
		if (ok) {
			possible = {st};
			safe = st;
			in_snapshot = false;
			snap_left_out = false;
		}
		if (!ok && install && sto_is_full(s))
			pending = snap;
		else
			cns_snap_free(snap);
		return ok;
	}
	/* Goes on after a full disk, as a voter does. */
	void resume()
	{
		RC_ASSERT(sto_is_full(s));
		f.space_left = SIZE_MAX;
		RC_ASSERT(sto_resume(s));
		if (pending) {
			RC_ASSERT(sto_install(s, pending, nullptr));
			cns_snap_free(pending);
			pending = nullptr;
			possible = {st};
			safe = st;
		} else if (in_snapshot) {
			snap_left_out = true;
			safe = st;
		} else {
			st = safe;
			possible = {st};
		}
		in_snapshot = false;
	}
	/*
	 * Runs random operations; returns false if the folder crashed or
	 * failed.
	 */
	bool run(int steps)
	{
		bool ok = true;

		while (ok && steps-- > 0) {
			size_t action = f.up_to(99);

			if (action < 20)
				vote();
			else if (action < 70)
				entry();
			else if (action < 94)
				ok = sync();
			else
				ok = sync() && snapshot(action > 97);
		}
		return ok;
	}
	bool is_possible(const sto_loaded &l)
	{
		for (auto &m : possible)
			if (m == loaded_state(l) ||
			    m == without_snap(l, m.snap, snap_left_out))
				return true;
		return false;
	}
	/*
	 * A missing snapshot is no loss as long as the log has every entry; with
	 * older, every entry after an older snapshot.
	 */
	static State without_snap(const sto_loaded &l, uint64_t snap,
				  bool older)
	{
		State got = loaded_state(l);

		if ((got.snap == 0 || (older && got.snap < snap)) &&
		    got.log.count(got.snap + 1) && got.last() >= snap) {
			got.snap = snap;
			got.log.erase(got.log.begin(),
				      got.log.upper_bound(snap));
		}
		return got;
	}
	/*
	 * Opens the folder after a crash and checks that it holds everything
	 * acknowledged; power may be lost again during the opening.
	 */
	void reopen()
	{
		sto_loaded l;

		while (f.up_to(3) == 0) {
			f.crash_in = 1 + (int)f.up_to(8);
			if (open(&l))
				sto_loaded_clear(&l);
			f.crash();
		}
		RC_ASSERT(open(&l));
		if (l.damage)
			RC_LOG() << l.damage << "\n";
		RC_ASSERT(!l.fresh);
		RC_ASSERT(l.id == id);
		RC_ASSERT(is_possible(l));
		st = loaded_state(l);
		possible = {st};
		safe = st;
		in_snapshot = false;
		snap_left_out = false;
		cns_snap_free(pending);
		pending = nullptr;
		sto_loaded_clear(&l);
	}
};

int main()
{
	bool ok = true;
	auto any = [] {
		return *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
	};

	/*
	 * Guards against lost votes or entries and against intact folders set
	 * aside. Power is lost at any operation, also during the opening; any
	 * mixture of the unsynced data is kept, and the last write may be torn
	 * anywhere. Everything synced must be found again: beside one lost
	 * disk, the others need this voter's vote.
	 */
	ok &= rc::check("synced data survives a crash at any operation", [any] {
		Writer w(any());
		auto crashes = *rc::gen::inRange(1, 12);

		w.f.short_writes = w.f.up_to(1);
		w.begin();
		while (crashes-- > 0) {
			w.f.crash_in = 1 + (int)w.f.up_to(60);
			w.run(200);
			w.f.crash();
			w.reopen();
		}
	});

	/*
	 * Guards against an intact folder set aside because a power loss during
	 * the removal of log files kept some of their names. Everything in the
	 * files is in the snapshot.
	 */
	ok &= rc::check("partly removed log files are no damage", [any] {
		Writer w(any());
		auto files = *rc::gen::inRange(2, 9);

		w.begin();
		while (files-- > 0) {
			w.entry();
			RC_ASSERT(w.sync());
			w.f.crash();
			w.reopen();
		}
		w.f.crash_in = 4 + (int)w.f.up_to(16);
		w.snapshot(w.f.up_to(1));
		w.f.crash();
		w.reopen();
	});

	/*
	 * Guards against a half-created folder that is reported as damaged.
	 * Nothing was acknowledged yet, so it is created again.
	 */
	ok &= rc::check("a half-created folder is not damaged", [any] {
		Writer w(any());
		sto_loaded l;
		bool made = false;

		while (!made) {
			w.f.crash_in = 1 + (int)w.f.up_to(20);
			made = w.open(&l);
			if (made)
				sto_loaded_clear(&l);
			w.f.crash();
		}
		RC_ASSERT(w.open(&l));
		RC_ASSERT(!l.damage);
		RC_ASSERT(l.term == 0 && l.entries->len == 0);
		sto_loaded_clear(&l);
	});

	/*
	 * Guards against a bit flip in synced data that is taken for part of a
	 * torn write after it. The folder must be set aside, unless the byte is
	 * not needed.
	 */
	ok &= rc::check("a bit flip before a torn write is detected", [any] {
		Writer w(any());
		std::map<std::string, size_t> sizes;
		sto_loaded l;

		w.begin();
		w.run(60);
		RC_ASSERT(w.sync());
		for (auto &e : w.f.now)
			sizes[e.first] = e.second->synced.size();
		w.vote();
		w.entry();
		w.f.crash_in = 1 + (int)w.f.up_to(1);
		RC_ASSERT(!w.sync());
		w.f.crash();
		std::string name = w.f.any_file();
		RC_PRE(sizes[name] > 0);
		w.f.now[name]->data[w.f.up_to(sizes[name] - 1)] ^=
			(char)(1 << w.f.up_to(7));
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.is_possible(l)));
		RC_TAG(l.fresh ? "set aside" : "not needed");
		sto_loaded_clear(&l);
	});

	/*
	 * Guards against a voter that uses a damaged folder. One bit flips
	 * anywhere while the machine is off; unless the byte is never read, the
	 * folder must be set aside and the voter gets a new id.
	 */
	ok &= rc::check("a bit flip is detected", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.run(100);
		w.sync();
		w.f.crash();
		std::string &data = w.f.now[w.f.any_file()]->data;
		RC_PRE(!data.empty());
		data[w.f.up_to(data.size() - 1)] ^= (char)(1 << w.f.up_to(7));
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.is_possible(l)));
		RC_TAG(l.fresh ? "set aside" : "not needed");
		sto_loaded_clear(&l);
	});

	/*
	 * Guards against synced bytes that a disk lost and reads as zeros. Torn
	 * writes leave zeros as well, but a later write shows that these bytes
	 * were synced; the folder must be set aside.
	 */
	ok &= rc::check("lost bytes before a later write are detected", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.run(60);
		RC_ASSERT(w.sync());
		std::string name = w.f.any_file();
		size_t before = w.f.now[name]->data.size();
		RC_PRE(before > 0);
		w.entry();
		RC_ASSERT(w.sync());
		w.f.crash();
		size_t from = w.f.up_to(before - 1);
		size_t n = std::min(before - from, 1 + w.f.up_to(600));
		w.f.now[name]->data.replace(from, n, n, '\0');
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.is_possible(l)));
		RC_TAG(l.fresh ? "set aside" : "not needed");
		sto_loaded_clear(&l);
	});

	/*
	 * Guards against a voter that votes with a folder from which a file is
	 * missing. Any file is removed except the newest log file, whose loss
	 * looks like a crash before its creation; either it held nothing
	 * acknowledged, or the folder must be set aside.
	 */
	ok &= rc::check("a missing file is detected", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.run(100);
		w.sync();
		w.f.crash();
		w.reopen();
		w.entry();
		w.sync();
		std::string name = w.f.any_file();
		auto newest = std::string();
		for (auto &e : w.f.now)
			if (e.first.compare(0, 4, "log-") == 0)
				newest = e.first;
		RC_PRE(name != newest && name != "tmp");
		w.f.now.erase(name);
		RC_ASSERT(w.open(&l));
		RC_LOG() << "without " << name << ": "
			 << (l.damage ? l.damage : "nothing found") << "\n";
		RC_ASSERT((l.fresh ? l.id != w.id && l.damage && !l.term
				   : w.is_possible(l)));
		RC_TAG(l.fresh ? "set aside" : "not needed");
		sto_loaded_clear(&l);
	});

	/*
	 * Guards against a voter that continues after a failed sync: this write
	 * and all later ones must report an error even if the disk works again,
	 * as its content is unknown.
	 */
	ok &= rc::check("a failed sync is final", [any] {
		Writer w(any());
		GError *err = nullptr;

		w.begin();
		w.f.fail_sync_in = 1 + (int)w.f.up_to(5);
		RC_ASSERT(!w.run(400));
		RC_ASSERT(!sto_is_full(w.s));
		RC_ASSERT(!sto_resume(w.s));
		w.vote();
		RC_ASSERT(!sto_sync(w.s, &err));
		RC_ASSERT((err != nullptr));
		g_clear_error(&err);
		w.f.crash();
		w.reopen();
	});

	/*
	 * Guards against a voter that a full disk ends, and against torn records
	 * before later ones: the call that found no space reports it, nothing of
	 * it counts, and with space the folder goes on, through power losses
	 * before and after.
	 */
	ok &= rc::check("a full disk loses nothing", [any] {
		Writer w(any());

		w.begin();
		w.f.short_writes = w.f.up_to(1);
		for (int i = 0; i < 8; i++) {
			w.f.space_left = w.f.up_to(3000);
			if (w.run(30)) {
				w.f.space_left = SIZE_MAX;
			} else if (w.f.up_to(3) == 0) {
				w.f.space_left = SIZE_MAX;
				w.f.crash();
				w.reopen();
			} else {
				w.resume();
			}
			RC_ASSERT(w.sync());
		}
		w.f.crash();
		w.reopen();
	});
	return ok ? 0 : 1;
}
