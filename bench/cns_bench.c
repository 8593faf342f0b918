#include <event2/event.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "cns.h"
#include "sto.h"

/*
 * Three members in one process, each with its folder: what consensus and
 * syncs cost, without a network. Lines: name, value, unit, baseline.
 */
#define BENCH_NODES 3
#define BENCH_CHANGES 2000
#define BENCH_BYTES 200
#define BENCH_BEHIND 1000
#define BENCH_SNAP (5 << 20)

struct bench_node {
	struct cns *c;
	struct sto_io *io;
	struct sto *sto;
	char *path;
	uint64_t applied;
	bool away;
};

struct bench {
	struct bench_node nodes[BENCH_NODES];
	GPtrArray *net;
	int64_t now;
	char *dir;
};

static double bench_clock(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void bench_send(struct bench *b, const GPtrArray *msgs)
{
	guint i;

	for (i = 0; i < msgs->len; i++)
		g_ptr_array_add(b->net,
				cns_msg_copy(g_ptr_array_index(msgs, i)));
}

static void bench_pump(struct bench *b, struct bench_node *n)
{
	struct cns_ready rd;
	GError *err = NULL;
	guint i;

	while (cns_ready(n->c, &rd)) {
		bench_send(b, rd.send_now);
		if (rd.vote_changed)
			sto_vote(n->sto, rd.term, rd.vote);
		for (i = 0; i < rd.entries->len; i++)
			sto_entry(n->sto, &g_array_index(rd.entries,
							 struct cns_entry, i));
		if (!sto_sync(n->sto, &err))
			g_error("%s", err->message);
		bench_send(b, rd.send_after_sync);
		n->applied += rd.committed->len;
		cns_advance(n->c, &rd);
	}
}

static void bench_deliver(struct bench *b)
{
	GPtrArray *batch = b->net;
	guint i;
	int k;

	b->net = g_ptr_array_new();
	for (i = 0; i < batch->len; i++) {
		struct cns_msg *m = g_ptr_array_index(batch, i);

		for (k = 0; k < BENCH_NODES; k++)
			if (m->to == (uint64_t)k + 1 && !b->nodes[k].away)
				cns_step(b->nodes[k].c, m);
		cns_msg_free(m);
	}
	g_ptr_array_free(batch, TRUE);
	for (k = 0; k < BENCH_NODES; k++)
		if (!b->nodes[k].away)
			bench_pump(b, &b->nodes[k]);
}

static void bench_tick(struct bench *b, int64_t ms)
{
	int k;

	b->now += ms;
	for (k = 0; k < BENCH_NODES; k++) {
		if (b->nodes[k].away)
			continue;
		cns_tick(b->nodes[k].c, b->now);
		bench_pump(b, &b->nodes[k]);
	}
}

static void bench_open(struct bench *b, struct bench_node *n, uint64_t id,
		       struct sto_loaded *l)
{
	struct cns_config config = {.id = id,
				    .seed = (uint32_t)id,
				    .now_ms = b->now,
				    .heartbeat_ms = 200,
				    .election_ms = 600};
	struct cns_stored stored;
	GError *err = NULL;

	n->path = g_strdup_printf("%s/%d", b->dir, (int)id);
	g_mkdir_with_parents(n->path, 0700);
	n->io = sto_folder_new(n->path, &err);
	if (!n->io)
		g_error("%s", err->message);
	n->sto = sto_open(n->io, "bench", id, l, &err);
	if (!n->sto)
		g_error("%s", err->message);
	stored = (struct cns_stored){
		.term = l->term,
		.vote = l->vote,
		.snap = l->snap,
		.entries = l->entries,
	};
	n->c = cns_new(&config, &stored);
}

static void bench_close(struct bench_node *n)
{
	cns_free(n->c);
	sto_free(n->sto);
	sto_folder_free(n->io);
	g_free(n->path);
}

static void bench_start(struct bench *b)
{
	struct cns_members s = {.lineage = 1, .n = BENCH_NODES};
	struct sto_loaded l;
	int k;

	b->net = g_ptr_array_new();
	for (k = 0; k < BENCH_NODES; k++) {
		s.m[k] = (struct cns_member){.id = (uint64_t)k + 1,
					     .voter = true};
		bench_open(b, &b->nodes[k], (uint64_t)k + 1, &l);
		sto_loaded_clear(&l);
	}
	cns_bootstrap(b->nodes[0].c, &s);
	bench_pump(b, &b->nodes[0]);
	while (cns_role(b->nodes[0].c) != CNS_LEADER ||
	       cns_commit(b->nodes[0].c) < 2) {
		bench_tick(b, 20);
		bench_deliver(b);
	}
}

/* Changes one after the other, each accepted before the next. */
static double bench_changes(struct bench *b, int n)
{
	struct bench_node *lead = &b->nodes[0];
	char bytes[BENCH_BYTES] = "change";
	double t = bench_clock();
	uint64_t index = 0;

	while (n-- > 0) {
		cns_propose(lead->c, lstr_n(bytes, sizeof(bytes)), &index);
		bench_pump(b, lead);
		while (cns_commit(lead->c) < index)
			bench_deliver(b);
	}
	return bench_clock() - t;
}

/* What a sync of so many bytes costs by itself, in the same folder. */
static double bench_bare(const struct bench *b, int n)
{
	char bytes[BENCH_BYTES] = "bare";
	char *path = g_strdup_printf("%s/bare", b->dir);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	double t = bench_clock();

	while (n-- > 0)
		if (write(fd, bytes, sizeof(bytes)) != sizeof(bytes) ||
		    fdatasync(fd) != 0)
			g_error("bare sync failed");
	t = bench_clock() - t;
	close(fd);
	g_free(path);
	return t;
}

/* A member that was away for some changes: until it has them all on disk. */
static double bench_catch_up(struct bench *b)
{
	struct bench_node *away = &b->nodes[2];
	double t;

	away->away = true;
	bench_changes(b, BENCH_BEHIND);
	away->away = false;
	t = bench_clock();
	while (cns_commit(away->c) < cns_commit(b->nodes[0].c)) {
		bench_tick(b, 20);
		bench_deliver(b);
	}
	return bench_clock() - t;
}

/* A start from a snapshot: until the member has read and checked it. */
static double bench_snap_start(struct bench *b)
{
	struct bench_node *n = &b->nodes[1];
	GBytes *data = g_bytes_new_take(g_malloc0(BENCH_SNAP), BENCH_SNAP);
	struct sto_loaded l;
	GError *err = NULL;
	double t;

	if (!sto_snapshot(n->sto, cns_compact(n->c, cns_commit(n->c), data),
			  &err))
		g_error("%s", err->message);
	g_bytes_unref(data);
	bench_close(n);
	t = bench_clock();
	bench_open(b, n, 2, &l);
	t = bench_clock() - t;
	g_assert(l.snap && g_bytes_get_size(l.snap->data) == BENCH_SNAP);
	sto_loaded_clear(&l);
	return t;
}

static void bench_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *sub = g_build_filename(path, name, NULL);

		bench_remove(sub);
		g_free(sub);
	}
	if (dir)
		g_dir_close(dir);
	remove(path);
}

int main(void)
{
	struct bench b = {.now = 1000};
	double changes;
	double bare;
	int k;

	b.dir = g_dir_make_tmp("endive-bench-XXXXXX", NULL);
	bench_start(&b);
	bare = bench_bare(&b, BENCH_CHANGES);
	changes = bench_changes(&b, BENCH_CHANGES);
	printf("cns_changes_with_sync\t%.0f\t1/s\t%.0f\n",
	       BENCH_CHANGES / changes, BENCH_CHANGES / bare);
	printf("cns_share_of_bare_sync\t%.1f\t%%\t100\n", 100 * bare / changes);
	printf("cns_catch_up_1000\t%.1f\tms\t\n", 1000 * bench_catch_up(&b));
	printf("cns_start_snapshot_5MB\t%.1f\tms\t\n",
	       1000 * bench_snap_start(&b));
	for (k = 0; k < BENCH_NODES; k++)
		bench_close(&b.nodes[k]);
	for (k = 0; k < (int)b.net->len; k++)
		cns_msg_free(g_ptr_array_index(b.net, k));
	g_ptr_array_free(b.net, TRUE);
	bench_remove(b.dir);
	g_free(b.dir);
	return 0;
}
