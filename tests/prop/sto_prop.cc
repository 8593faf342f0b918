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

/* The least that a disk writes whole, bytes. */
static const size_t SECTOR = 512;

/* A folder that can die at any operation and then lose what was not synced. */
struct Folder {
	struct Write {
		size_t at;
		std::string bytes;
	};
	struct Inode {
		std::string data;
		std::string synced;
		std::vector<Write> unsynced;

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
		}
	};
	using Dir = std::map<std::string, std::shared_ptr<Inode>>;

	std::mt19937 rng;
	Dir now;
	Dir lasting;
	std::vector<std::function<void(Dir &)>> unsynced;
	std::map<int, std::shared_ptr<Inode>> open;
	int next_fd = 3;
	int die_at = -1; /* operations until then; -1: never */
	int fail_sync_at = -1;
	size_t room = SIZE_MAX;
	bool short_writes = false;
	sto_io io = {};

	explicit Folder(uint32_t seed) : rng(seed)
	{
		io.arg = this;
		io.create = create;
		io.write = write;
		io.sync = sync;
		io.close = close;
		io.read = read;
		io.list = list;
		io.rename = rename;
		io.remove = remove;
		io.sync_folder = sync_folder;
	}
	size_t upto(size_t n)
	{
		return std::uniform_int_distribution<size_t>(0, n)(rng);
	}
	static Folder &of(void *arg)
	{
		return *static_cast<Folder *>(arg);
	}
	bool dead()
	{
		if (die_at > 0)
			die_at--;
		errno = EIO;
		return die_at == 0;
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

		if (f.dead())
			return -1;
		f.dir_op([n, inode](Dir &d) { d[n] = inode; });
		f.open[f.next_fd] = inode;
		return f.next_fd++;
	}
	static ssize_t write(void *arg, int fd, const void *p, size_t len)
	{
		Folder &f = of(arg);
		auto inode = f.open.at(fd);

		if (f.die_at == 0)
			return -1;
		if (f.dead()) {
			inode->add(p, f.upto(len));
			return -1;
		}
		if (f.short_writes && len > 1 && f.upto(3) == 0)
			len = 1 + f.upto(len - 2);
		if (f.room < len) {
			len = f.room;
			f.room = 0;
			errno = ENOSPC;
			if (len == 0)
				return -1;
		} else if (f.room != SIZE_MAX) {
			f.room -= len;
		}
		inode->add(p, len);
		return (ssize_t)len;
	}
	static int sync(void *arg, int fd)
	{
		Folder &f = of(arg);
		auto inode = f.open.at(fd);

		if (f.dead())
			return -1;
		if (f.fail_sync_at > 0 && --f.fail_sync_at == 0) {
			errno = EIO;
			return -1;
		}
		inode->sync();
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

		if (f.dead() || !f.now.count(a))
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

		if (f.dead())
			return -1;
		f.dir_op([n](Dir &d) { d.erase(n); });
		return 0;
	}
	static int sync_folder(void *arg)
	{
		Folder &f = of(arg);

		if (f.dead())
			return -1;
		for (auto &op : f.unsynced)
			op(f.lasting);
		f.unsynced.clear();
		return 0;
	}
	/* What a disk keeps of a write that it was busy with. */
	void tear(std::string &kept, const Write &w)
	{
		size_t end = w.at + w.bytes.size();
		size_t part = upto(w.bytes.size());

		switch (upto(2)) {
		case 0: /* the first bytes, and a file as long as these */
			kept.resize(std::max(kept.size(), w.at + part));
			kept.replace(w.at, part, w.bytes, 0, part);
			break;
		case 1: /* the first bytes, and the length of the whole */
			kept.resize(std::max(kept.size(), end));
			kept.replace(w.at, part, w.bytes, 0, part);
			break;
		default: /* any sectors, and the length of the whole */
			kept.resize(std::max(kept.size(), end));
			for (size_t i = w.at; i < end;) {
				size_t next = std::min(end, (i / SECTOR + 1) *
								    SECTOR);

				if (upto(1))
					kept.replace(i, next - i, w.bytes,
						     i - w.at, next - i);
				i = next;
			}
		}
	}
	/*
	 * The machine loses power. Of what was not synced, each name that was
	 * made, changed or removed lasts or not by itself, and each write is
	 * there, missing or torn; at some losses all or none of it lasts.
	 */
	void crash()
	{
		size_t mood = upto(4); /* 0: all lasts, 1: nothing */

		for (auto &op : unsynced)
			if (mood == 0 || (mood > 1 && upto(1)))
				op(lasting);
		unsynced.clear();
		now = lasting;
		open.clear();
		for (auto &e : now) {
			Inode &n = *e.second;
			std::string kept = n.synced;

			for (auto &w : n.unsynced) {
				size_t fate = mood == 0	  ? 0
					      : mood == 1 ? 1
							  : upto(3);

				if (fate == 0) {
					kept.resize(std::max(
						kept.size(),
						w.at + w.bytes.size()));
					kept.replace(w.at, w.bytes.size(),
						     w.bytes);
				} else if (fate > 1) {
					tear(kept, w);
				}
			}
			n.data = kept;
			n.sync();
		}
		die_at = -1;
	}
	std::string any_file()
	{
		auto it = now.begin();

		std::advance(it, upto(now.size() - 1));
		return it->first;
	}
};

/* What a folder is to hold. */
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

static State seen(const sto_loaded &l)
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

/* A voter's use of a folder; may is what a crash could leave. */
class Writer
{
      public:
	Folder f;
	State st;
	std::vector<State> may;
	sto *s = nullptr;
	uint64_t id = 0;

	explicit Writer(uint32_t seed) : f(seed)
	{
	}
	~Writer()
	{
		sto_free(s);
	}
	bool open(sto_loaded *l)
	{
		sto_free(s);
		s = sto_open(&f.io, "n1", 1000 + f.upto(1 << 30), l, nullptr);
		return s != nullptr;
	}
	void begin()
	{
		sto_loaded l;

		RC_ASSERT(open(&l));
		RC_ASSERT(l.fresh);
		id = l.id;
		may = {st};
		sto_loaded_clear(&l);
	}
	bool sync()
	{
		if (!sto_sync(s, nullptr))
			return false;
		may = {st};
		return true;
	}
	void vote()
	{
		if (f.upto(1))
			st.term++;
		st.vote = f.upto(3);
		sto_vote(s, st.term, st.vote);
		may.push_back(st);
	}
	void entry()
	{
		uint64_t first = st.snap + 1;
		uint64_t last = st.last();
		uint64_t index = last + 1;
		std::string data(f.upto(300), f.upto(1) ? 'd' : '\0');
		cns_entry e = {};

		if (index > first && f.upto(9) == 0)
			index = first + f.upto(last - first);
		st.log.erase(st.log.lower_bound(index), st.log.end());
		st.log[index] = st.term + 1;
		e.index = index;
		e.term = st.term + 1;
		e.data = g_bytes_new(data.data(), data.size());
		sto_entry(s, &e);
		g_bytes_unref(e.data);
		may.push_back(st);
	}
	bool snapshot(bool install)
	{
		std::string data(f.upto(2000), 's');
		struct cns_members m = {};
		State then = st;
		cns_snap *snap;
		GBytes *b;
		bool ok;

		if (!install && st.log.empty())
			return true;
		then.snap = install ? st.last() + 1 + f.upto(5)
				    : st.snap + 1 + f.upto(st.log.size() - 1);
		then.log.erase(then.log.begin(),
			       then.log.upper_bound(then.snap));
		if (install)
			then.log.clear();
		b = g_bytes_new(data.data(), data.size());
		snap = cns_snap_new(then.snap,
				    install ? st.term + 9 : st.log[then.snap],
				    &m, b);
		g_bytes_unref(b);
		for (size_t i = may.size(); i-- > 0;) {
			State half = may[i];

			half.snap = then.snap;
			half.log = then.log;
			may.push_back(half);
		}
		may.push_back(then);
		ok = install ? sto_install(s, snap, nullptr)
			     : sto_snapshot(s, snap, nullptr);
		cns_snap_free(snap);
		st = then;
		if (ok)
			may = {st};
		return ok;
	}
	/* False: the folder died on the way. */
	bool work(int steps)
	{
		bool ok = true;

		while (ok && steps-- > 0) {
			size_t dice = f.upto(99);

			if (dice < 20)
				vote();
			else if (dice < 70)
				entry();
			else if (dice < 94)
				ok = sync();
			else
				ok = sync() && snapshot(dice > 97);
		}
		return ok;
	}
	bool possible(const sto_loaded &l)
	{
		for (auto &m : may)
			if (m == seen(l) || m == without_snap(l, m.snap))
				return true;
		return false;
	}
	/* A lost snapshot costs nothing while the log has every entry. */
	static State without_snap(const sto_loaded &l, uint64_t snap)
	{
		State got = seen(l);

		if (got.snap == 0 && got.log.count(1) && got.last() >= snap) {
			got.snap = snap;
			got.log.erase(got.log.begin(),
				      got.log.upper_bound(snap));
		}
		return got;
	}
	/*
	 * After a crash the folder must hold what was promised; power may go
	 * again while it is opened.
	 */
	void reopen()
	{
		sto_loaded l;

		while (f.upto(3) == 0) {
			f.die_at = 1 + (int)f.upto(8);
			if (open(&l))
				sto_loaded_clear(&l);
			f.crash();
		}
		RC_ASSERT(open(&l));
		if (l.damage)
			RC_LOG() << l.damage << "\n";
		RC_ASSERT(!l.fresh);
		RC_ASSERT(l.id == id);
		RC_ASSERT(possible(l));
		st = seen(l);
		may = {st};
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
	 * A voter keeps its promises, and its place. Power goes at any
	 * operation of the folder, also while it is opened; some of what was
	 * not synced lasts, in any mixture, and the last write may be torn
	 * anywhere. The voter comes back with all that was synced, again and
	 * again, and never as damaged or as somebody else: beside one lost disk
	 * its vote is the one that the others need.
	 */
	ok &= rc::check("what was synced outlasts a crash anywhere", [any] {
		Writer w(any());
		auto crashes = *rc::gen::inRange(1, 12);

		w.f.short_writes = w.f.upto(1);
		w.begin();
		while (crashes-- > 0) {
			w.f.die_at = 1 + (int)w.f.upto(60);
			w.work(200);
			w.f.crash();
			w.reopen();
		}
	});

	/*
	 * Many log files are dropped by one snapshot. Power goes while they are
	 * removed; some of the names last and others don't, in any mixture. All
	 * that they held is in the snapshot, so the voter goes on.
	 */
	ok &= rc::check("log files dropped by halves are no damage", [any] {
		Writer w(any());
		auto files = *rc::gen::inRange(2, 9);

		w.begin();
		while (files-- > 0) {
			w.entry();
			RC_ASSERT(w.sync());
			w.f.crash();
			w.reopen();
		}
		w.f.die_at = 4 + (int)w.f.upto(16);
		w.snapshot(w.f.upto(1));
		w.f.crash();
		w.reopen();
	});

	/*
	 * Power goes while a folder is made. Nobody was answered yet, so what
	 * is there is begun anew, without a word of damage.
	 */
	ok &= rc::check("a folder half made is not a damaged one", [any] {
		Writer w(any());
		sto_loaded l;
		bool made = false;

		while (!made) {
			w.f.die_at = 1 + (int)w.f.upto(20);
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
	 * Power goes in the middle of a write, and a bit has flipped in what
	 * was synced before. The bytes that the write left behind don't excuse
	 * the flip: the folder is set aside, unless nobody needs the byte.
	 */
	ok &= rc::check("a flip before a torn write is found", [any] {
		Writer w(any());
		std::map<std::string, size_t> sizes;
		sto_loaded l;

		w.begin();
		w.work(60);
		RC_ASSERT(w.sync());
		for (auto &e : w.f.now)
			sizes[e.first] = e.second->synced.size();
		w.vote();
		w.entry();
		w.f.die_at = 1 + (int)w.f.upto(1);
		RC_ASSERT(!w.sync());
		w.f.crash();
		std::string name = w.f.any_file();
		RC_PRE(sizes[name] > 0);
		w.f.now[name]->data[w.f.upto(sizes[name] - 1)] ^=
			(char)(1 << w.f.upto(7));
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.possible(l)));
		RC_TAG(l.fresh ? "set aside" : "no matter");
		sto_loaded_clear(&l);
	});

	/*
	 * A voter never answers from a damaged folder. One bit flips anywhere
	 * while the machine is off; unless it hits bytes that nobody reads,
	 * the folder is set aside and the voter comes back as somebody else.
	 */
	ok &= rc::check("a flipped bit is never taken for a promise", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.work(100);
		w.sync();
		w.f.crash();
		std::string &data = w.f.now[w.f.any_file()]->data;
		RC_PRE(!data.empty());
		data[w.f.upto(data.size() - 1)] ^= (char)(1 << w.f.upto(7));
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.possible(l)));
		RC_TAG(l.fresh ? "set aside" : "no matter");
		sto_loaded_clear(&l);
	});

	/*
	 * A disk loses bytes that were synced, and reads zeros in their place.
	 * Zeros are also what a torn write leaves, but a later write says that
	 * these were synced; the folder is set aside.
	 */
	ok &= rc::check("lost bytes before a later write are found", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.work(60);
		RC_ASSERT(w.sync());
		std::string name = w.f.any_file();
		size_t before = w.f.now[name]->data.size();
		RC_PRE(before > 0);
		w.entry();
		RC_ASSERT(w.sync());
		w.f.crash();
		size_t from = w.f.upto(before - 1);
		size_t n = std::min(before - from, 1 + w.f.upto(600));
		w.f.now[name]->data.replace(from, n, n, '\0');
		RC_ASSERT(w.open(&l));
		RC_ASSERT((l.fresh ? l.id != w.id : w.possible(l)));
		RC_TAG(l.fresh ? "set aside" : "no matter");
		sto_loaded_clear(&l);
	});

	/*
	 * A voter whose folder lost a file must not vote from the rest. Any
	 * file is gone but the newest of the log, whose loss looks like a crash
	 * before it was made; either nothing promised was in it, or the folder
	 * is set aside.
	 */
	ok &= rc::check("a missing file is found", [any] {
		Writer w(any());
		sto_loaded l;

		w.begin();
		w.work(100);
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
				   : w.possible(l)));
		RC_TAG(l.fresh ? "set aside" : "no matter");
		sto_loaded_clear(&l);
	});

	/*
	 * A voter stops loudly. A sync fails once, or the disk is full for a
	 * while; the write is reported as failed, and so is every later one,
	 * though the disk would take it: nobody knows what it holds.
	 */
	ok &= rc::check("a failed write is final", [any] {
		Writer w(any());
		GError *err = nullptr;

		w.begin();
		if (w.f.upto(1))
			w.f.fail_sync_at = 1 + (int)w.f.upto(5);
		else
			w.f.room = w.f.upto(2000);
		RC_ASSERT(!w.work(400));
		w.f.room = SIZE_MAX;
		w.vote();
		RC_ASSERT(!sto_sync(w.s, &err));
		RC_ASSERT((err != nullptr));
		g_clear_error(&err);
		w.f.crash();
		w.reopen();
	});
	return ok ? 0 : 1;
}
