#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include "net.h"
#include "rep_int.h"

#define REPLICAS 3
#define WAIT_MS 20000
/* Longer than a member must be unreachable before it may be removed, ms. */
#define PAUSE_MS 4500
/*
 * Number of interrupted repairs; each is interrupted this much later than the
 * one before, ms.
 */
#define REPAIRS 6
#define REPAIR_STEP_MS 150
/*
 * The load of a leader of 1,100 workers: entries that a new member lacks, bytes
 * of each, duration of an iteration of the event loop in us, and the largest
 * number of iterations that a repair may take.
 */
#define LOAD_ENTRIES 200
#define LOAD_BYTES (10 << 10)
#define BUSY_US 20000
#define REPAIR_ITERATIONS_MAX 300

struct fixture;

struct node {
	struct fixture *fixture;
	struct rep *rep;
	char *data;
	char name[8];
	char addr[32];
	int leads;
	bool leading; /* as its owner was told last */
	bool applied_as_leader; /* the last command, by that */
	bool restarted; /* true after the fleet's first start */
	GString *log; /* applied commands */
};

/* Fixture: three replicas on one event loop. */
struct fixture {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	char *seeds[REPLICAS + 1];
	struct node nodes[REPLICAS];
	int fake_port; /* port of a fake replica without membership; 0: none */
};

static void node_apply(void *arg, uint64_t index, struct lstr cmd)
{
	struct node *n = arg;

	n->applied_as_leader = n->leading;
	g_string_append_len(n->log, cmd.p, (gssize)cmd.len);
}

static bool node_restore(void *arg, struct lstr snap)
{
	struct node *n = arg;

	g_string_truncate(n->log, 0);
	g_string_append_len(n->log, snap.p, (gssize)snap.len);
	return true;
}

static void node_snapshot(void *arg, struct pk_out *o)
{
	struct node *n = arg;

	msgpack_sbuffer_write(&o->buf, n->log->str, n->log->len);
}

static void node_lead(void *arg, bool leading, uint64_t term)
{
	struct node *n = arg;

	n->leads += leading;
	n->leading = leading;
}

static void node_read_done(void *arg, uint64_t tag, bool ok)
{
}

static void node_message(void *arg, struct wire_conn *conn, uint64_t kind,
			 struct pk_in *in)
{
}

static void node_closed(void *arg, struct wire_conn *conn)
{
}

static const struct rep_ops node_ops = {
	.apply = node_apply,
	.restore = node_restore,
	.snapshot = node_snapshot,
	.leadership_changed = node_lead,
	.read_done = node_read_done,
	.message = node_message,
	.closed = node_closed,
};

static void node_start(struct node *n)
{
	GError *err = NULL;

	n->rep = rep_new(
		&(struct rep_config){
			.base = n->fixture->base,
			.tmr = n->fixture->tmr,
			.keys = n->fixture->keys,
			.node = n->name,
			.zone = "z",
			.addr = n->addr,
			.data = n->data,
			.seeds = n->fixture->seeds,
			.bootstrap = !n->restarted,
			.voters = vtp_find("odd"),
			.voters_min = 1,
		},
		&node_ops, n, &err);
	assert_null(err);
}

/* Gives a replica a name, a free address and an empty folder. */
static void node_init(struct node *n, struct fixture *b, int no)
{
	int port;
	int fd = net_listen(&port);

	g_snprintf(n->addr, sizeof(n->addr), "127.0.0.1:%d", port);
	close(fd);
	g_snprintf(n->name, sizeof(n->name), "n%d", no);
	n->fixture = b;
	n->data = g_dir_make_tmp("endive-rep-XXXXXX", NULL);
	n->log = g_string_new(NULL);
}

static int setup(void **state)
{
	struct fixture *b = g_new0(struct fixture, 1);
	int i;

	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->keys = keyring_open_network();
	for (i = 0; i < REPLICAS; i++) {
		node_init(&b->nodes[i], b, i);
		b->seeds[i] = b->nodes[i].addr;
	}
	for (i = 0; i < REPLICAS; i++)
		node_start(&b->nodes[i]);
	*state = b;
	return 0;
}

static void empty_folder(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
}

static void node_done(struct node *n)
{
	rep_free(n->rep);
	empty_folder(n->data);
	rmdir(n->data);
	g_free(n->data);
	g_string_free(n->log, TRUE);
}

static int teardown(void **state)
{
	struct fixture *b = *state;
	int i;

	for (i = 0; i < REPLICAS; i++)
		node_done(&b->nodes[i]);
	keyring_free(b->keys);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_free(b);
	return 0;
}

/* Returns the replica that leads; waits for it if needed. */
static struct node *leader(struct fixture *b)
{
	int ms;
	int i;

	for (ms = 0; ms < WAIT_MS; ms++) {
		for (i = 0; i < REPLICAS; i++)
			if (b->nodes[i].rep && rep_leading(b->nodes[i].rep))
				return &b->nodes[i];
		net_run(b->base, 1);
	}
	fail();
	return NULL;
}

/* Whether text was applied on all replicas. */
static bool applied_on_all(const struct fixture *b, const char *text)
{
	int i;

	for (i = 0; i < REPLICAS; i++)
		if (!strstr(b->nodes[i].log->str, text))
			return false;
	return true;
}

/*
 * Proposes text and waits until it is applied on all replicas. A command that a
 * leader took but no quorum stored can be lost with its leadership, as after a
 * pause of all replicas; so it is proposed again to a new leader, as an owner
 * would do.
 */
static void commit(struct fixture *b, const char *text)
{
	struct node *proposer = NULL;
	uint64_t index;
	int ms;

	for (ms = 0; ms < WAIT_MS && !applied_on_all(b, text); ms++) {
		if (!proposer || !rep_leading(proposer->rep)) {
			proposer = leader(b);
			if (!rep_propose(proposer->rep, lstr_from(text),
					 &index))
				proposer = NULL;
		}
		net_run(b->base, 1);
	}
	assert_true(applied_on_all(b, text));
}

static void a_command_is_applied_on_all_replicas(void **state)
{
	struct fixture *b = *state;
	int i;

	commit(b, "one ");
	commit(b, "two ");
	for (i = 0; i < REPLICAS; i++)
		assert_string_equal(b->nodes[i].log->str, "one two ");
}

/* A leadership transfer keeps all accepted commands. */
static void a_leadership_transfer_keeps_commands(void **state)
{
	struct fixture *b = *state;
	struct node *old = leader(b);
	int ms;

	commit(b, "one ");
	rep_transfer_leadership(old->rep);
	for (ms = 0; ms < WAIT_MS && rep_leading(old->rep); ms++)
		net_run(b->base, 1);
	assert_false(rep_leading(old->rep));
	assert_ptr_not_equal(leader(b), old);
	commit(b, "two ");
}

/* Returns an entry of the log with a command or without. */
static struct cns_entry make_entry(uint64_t term, uint64_t index,
				   const char *cmd)
{
	return (struct cns_entry){
		.index = index,
		.term = term,
		.kind = cmd ? CNS_COMMAND : CNS_NOOP,
		.data = g_bytes_new(cmd, cmd ? strlen(cmd) : 0),
	};
}

/*
 * Passes a leader the first message of the next one: other entries where it has
 * entries of its own, and stored already.
 */
static void replace_leader(struct fixture *b, struct node *old)
{
	struct cns *c = old->rep->cns;
	uint64_t from = cns_commit(c);
	uint64_t term = cns_term(c) + 1;
	struct cns_entry e[] = {make_entry(term, from + 1, NULL),
				make_entry(term, from + 2, "other ")};
	struct cns_msg m = {
		.kind = CNS_APPEND,
		.from = old == &b->nodes[0] ? b->nodes[1].rep->id
					    : b->nodes[0].rep->id,
		.to = old->rep->id,
		.term = term,
		.index = from,
		.log_term = term - 1,
		.commit = from + 2,
		.entries = cns_entries_new(),
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(e); i++) {
		cns_entries_add(m.entries, &e[i]);
		g_bytes_unref(e[i].data);
	}
	cns_step(c, &m);
	g_array_free(m.entries, TRUE);
}

/*
 * Guards against an acknowledgement of what was never stored: a leader that
 * stood still, or is cut off in one direction, is sent other commands for the
 * indexes of its own ones, and takes them for those.
 */
static void replaced_leader_is_told_before_others_commands(void **state)
{
	struct fixture *b = *state;
	struct node *old;
	uint64_t mine;
	uint64_t index;
	int ms;

	commit(b, "one ");
	old = leader(b);
	assert_true(rep_propose(old->rep, LSTR("mine "), &mine));
	assert_true(rep_propose(old->rep, LSTR("mine too "), &index));
	assert_int_equal(mine, cns_commit(old->rep->cns) + 1);
	replace_leader(b, old);
	for (ms = 0; ms < WAIT_MS && !strstr(old->log->str, "other "); ms++)
		net_run(b->base, 1);
	assert_string_equal(old->log->str, "one other ");
	assert_false(old->applied_as_leader);
}

/* Has every write of this process to a file fail, or succeed again. */
static void set_disks_full(bool full)
{
	struct rlimit limit;

	signal(SIGXFSZ, SIG_IGN);
	getrlimit(RLIMIT_FSIZE, &limit);
	limit.rlim_cur = full ? 0 : limit.rlim_max;
	setrlimit(RLIMIT_FSIZE, &limit);
}

/*
 * Guards against replicas that full disks end, and against a leader that goes
 * on without storing: nobody leads, nothing is accepted and nothing is lost.
 */
static void full_disks_are_waited_out(void **state)
{
	struct fixture *b = *state;
	struct node *old = leader(b);
	uint64_t term;
	uint64_t index;
	int ms;
	int i;

	commit(b, "one ");
	term = rep_term(old->rep);
	set_disks_full(true);
	rep_propose(old->rep, LSTR("two "), &index);
	for (ms = 0; ms < WAIT_MS && rep_leading(old->rep); ms++)
		net_run(b->base, 1);
	assert_false(rep_leading(old->rep));
	assert_false(rep_is_storing(old->rep));
	assert_false(rep_propose(old->rep, LSTR("three "), &index));
	assert_false(rep_read(old->rep, 1));
	net_run(b->base, 1500);
	for (i = 0; i < REPLICAS; i++) {
		assert_false(rep_failed(b->nodes[i].rep));
		assert_false(rep_leading(b->nodes[i].rep));
	}
	set_disks_full(false);
	commit(b, "four ");
	assert_true(rep_is_storing(old->rep));
	assert_true(rep_term(leader(b)->rep) > term);
	assert_null(strstr(old->log->str, "three"));
}

/*
 * Guards against a leader that leads on in its old term once its disk has space:
 * its owner was told that the leadership is lost, and forgot what it had ordered.
 */
static void leader_whose_disk_was_full_is_elected_anew(void **state)
{
	struct fixture *b = *state;
	struct node *old = leader(b);
	uint64_t term = rep_term(old->rep);
	uint64_t index;
	int ms;

	set_disks_full(true);
	rep_propose(old->rep, LSTR("one "), &index);
	for (ms = 0; ms < WAIT_MS && rep_leading(old->rep); ms++)
		net_run(b->base, 1);
	set_disks_full(false);
	assert_false(rep_leading(old->rep));
	for (ms = 0; ms < WAIT_MS && !rep_is_storing(old->rep); ms++)
		net_run(b->base, 1);
	assert_true(rep_is_storing(old->rep));
	assert_false(rep_leading(old->rep));
	commit(b, "two ");
	assert_true(rep_term(leader(b)->rep) > term);
}

/*
 * Guards against a removed member after all replicas were paused together, as
 * on a host that is suspended. Afterwards the leader has heard nobody for long,
 * but must not remove a member: the next loss would stop the fleet.
 */
static void no_member_is_removed_after_a_pause_of_all(void **state)
{
	struct fixture *b = *state;

	commit(b, "one ");
	g_usleep(PAUSE_MS * 1000);
	commit(b, "two ");
	net_run(b->base, 1000);
	assert_int_equal(rep_members(leader(b)->rep)->n, REPLICAS);
}

/*
 * Guards against dead members that stay because a new replica cannot be added.
 * The membership is full, most of its members are dead, and one more replica
 * says hello; the dead members must be removed and the new one added.
 */
static void dead_members_leave_a_full_membership(void **state)
{
	struct fixture *b = *state;
	bool added = false;
	int ms;
	int i;

	commit(b, "one ");
	for (i = REPLICAS; i < CNS_MEMBERS_MAX; i++) {
		struct cns_member dead = {.id = (uint64_t)i};

		g_snprintf(dead.addr, sizeof(dead.addr), "127.0.0.1:%d", i);
		while (cns_add_learner(leader(b)->rep->cns, &dead) != CNS_OK)
			net_run(b->base, 1);
		rep_schedule_pump(leader(b)->rep);
	}
	for (ms = 0; ms < WAIT_MS && !added; ms++) {
		struct rep *r = leader(b)->rep;
		struct rep_peer *p = rep_peer_at(r, "127.0.0.1:1");

		p->id = CNS_MEMBERS_MAX;
		p->heard_ms = tmr_now(b->tmr);
		added = cns_find_member(rep_members(r), p->id);
		net_run(b->base, 1);
	}
	assert_true(added);
}

/*
 * Guards against a replica that logs nothing when two of three folders are lost
 * and no leader can be elected. It must report what the quorum lacks, as
 * operators have no other sign.
 */
static void a_replica_reports_a_missing_quorum(void **state)
{
	struct fixture *b = *state;
	struct node *left = leader(b);
	struct rep_quorum q;
	int i;
	int ms;

	commit(b, "one ");
	q = rep_quorum(left->rep);
	assert_int_equal(q.voters, REPLICAS);
	assert_int_equal(q.needed, 2);
	assert_int_equal(q.leaderless_ms, 0);
	for (i = 0; i < REPLICAS; i++)
		if (&b->nodes[i] != left) {
			rep_free(b->nodes[i].rep);
			b->nodes[i].rep = NULL;
		}
	for (ms = 0; ms < WAIT_MS && q.reached != 1; ms++) {
		net_run(b->base, 1);
		q = rep_quorum(left->rep);
	}
	assert_int_equal(q.reached, 1);
	assert_int_equal(q.voters, REPLICAS);
	for (ms = 0; ms < WAIT_MS && !q.leaderless_ms; ms++) {
		net_run(b->base, 1);
		q = rep_quorum(left->rep);
	}
	assert_true(q.leaderless_ms > 0);
}

/* Stops all replicas at once; the folder of the one at lost is emptied. */
static void power_loss(struct fixture *b, int lost)
{
	int i;

	for (i = 0; i < REPLICAS; i++) {
		struct node *n = &b->nodes[i];

		rep_free(n->rep);
		n->rep = NULL;
		n->restarted = true;
		g_string_truncate(n->log, 0);
	}
	if (lost >= 0)
		empty_folder(b->nodes[lost].data);
}

/* Waits until the members are the current folders, each a voter. */
static void wait_repaired(struct fixture *b)
{
	const struct cns_members *s = NULL;
	int voters = 0;
	int ms;
	int i;

	for (ms = 0; ms < WAIT_MS && voters != REPLICAS; ms++) {
		s = rep_members(leader(b)->rep);
		voters = 0;
		for (i = 0; s->n == REPLICAS && i < REPLICAS; i++)
			voters +=
				cns_find_member(s, b->nodes[i].rep->id) &&
				cns_find_member(s, b->nodes[i].rep->id)->voter;
		net_run(b->base, 1);
	}
	assert_int_equal(voters, REPLICAS);
}

/*
 * Guards against a fleet without a leader after a power loss that also destroys
 * one folder. Two folders are a majority and must be enough; the lost one is
 * replaced. It is repeated with each folder: an old member that stayed after
 * the first repair would make the next loss one too many.
 */
static void a_power_loss_with_a_lost_folder_is_survived(void **state)
{
	struct fixture *b = *state;
	int lost;
	int i;

	commit(b, "one ");
	for (lost = 0; lost < REPLICAS; lost++) {
		power_loss(b, lost);
		for (i = 0; i < REPLICAS; i++)
			node_start(&b->nodes[i]);
		wait_repaired(b);
		commit(b, "again ");
		assert_true(applied_on_all(b, "one "));
	}
}

/*
 * Guards against a fleet without a leader after a power loss during the repair
 * of a lost folder, before, within or after the membership changes. All
 * replicas restart with what they had written.
 */
static void a_power_loss_during_a_repair_is_survived(void **state)
{
	struct fixture *b = *state;
	int round;
	int i;

	commit(b, "one ");
	for (round = 0; round < REPAIRS; round++) {
		power_loss(b, round % REPLICAS);
		for (i = 0; i < REPLICAS; i++)
			node_start(&b->nodes[i]);
		leader(b);
		net_run(b->base, round * REPAIR_STEP_MS);
		power_loss(b, -1);
		for (i = 0; i < REPLICAS; i++) {
			node_start(&b->nodes[(round + i) % REPLICAS]);
			net_run(b->base, REPAIR_STEP_MS);
		}
		wait_repaired(b);
		commit(b, "again ");
		assert_true(applied_on_all(b, "one "));
	}
}

/* Runs one long iteration of a busy event loop, in which a command arrives. */
static void busy_iteration(struct fixture *b, const char *cmd)
{
	const struct node *n = NULL;
	uint64_t index;
	int i;

	for (i = 0; i < REPLICAS; i++)
		if (b->nodes[i].rep && rep_leading(b->nodes[i].rep))
			n = &b->nodes[i];
	if (n)
		rep_propose(n->rep, lstr_from(cmd), &index);
	event_base_loop(b->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	g_usleep(BUSY_US);
}

/* Whether all current replicas are voters and nobody else is a member. */
static bool all_voters(const struct fixture *b)
{
	const struct cns_members *s = NULL;
	int voters = 0;
	int i;

	for (i = 0; i < REPLICAS; i++)
		if (b->nodes[i].rep && rep_leading(b->nodes[i].rep))
			s = rep_members(b->nodes[i].rep);
	for (i = 0; s && i < REPLICAS; i++) {
		const struct rep *r = b->nodes[i].rep;
		const struct cns_member *m =
			r ? cns_find_member(s, r->id) : NULL;

		voters += m && m->voter;
	}
	return s && s->n == REPLICAS && voters == REPLICAS;
}

/* Guards against a repair that does not finish before the load ends. */
static void a_lost_folder_is_replaced_under_load(void **state)
{
	struct fixture *b = *state;
	char *cmd = g_strnfill(LOAD_BYTES, 'x');
	struct node *lost;
	int iterations;
	int i;

	commit(b, "one ");
	for (i = 0; i < LOAD_ENTRIES; i++)
		busy_iteration(b, cmd);
	lost = leader(b) == &b->nodes[0] ? &b->nodes[1] : &b->nodes[0];
	rep_free(lost->rep);
	lost->rep = NULL;
	empty_folder(lost->data);
	g_string_truncate(lost->log, 0);
	lost->restarted = true;
	node_start(lost);
	for (iterations = 0;
	     iterations < REPAIR_ITERATIONS_MAX && !all_voters(b); iterations++)
		busy_iteration(b, cmd);
	assert_true(all_voters(b));
	g_free(cmd);
}

/*
 * Whether a leader removed another member at its own address; false if it lost
 * its leadership first, as on a busy machine.
 */
static bool own_old_member_removed(struct fixture *b, struct node *n)
{
	struct cns_member old = {.id = n->rep->id + 1};
	int ms;

	g_strlcpy(old.addr, n->addr, sizeof(old.addr));
	g_strlcpy(old.name, n->addr, sizeof(old.name));
	if (cns_add_learner(n->rep->cns, &old) != CNS_OK)
		return false;
	rep_schedule_pump(n->rep);
	for (ms = 0; ms < WAIT_MS && rep_leading(n->rep); ms++) {
		if (!cns_find_member(rep_members(n->rep), old.id))
			return true;
		net_run(b->base, 1);
	}
	/* it still leads and did not remove the old member */
	assert_false(rep_leading(n->rep));
	return false;
}

/*
 * Guards against an old member that stays because the leader is its
 * replacement: a replica lost its folder, was added again, and leads before its
 * old member was removed, as after a power loss at that moment. It has no
 * connection to itself, so no hello told it that the old member is gone, and
 * one of four voters never responds.
 */
static void a_restored_leader_removes_its_old_member(void **state)
{
	struct fixture *b = *state;
	int ms;

	commit(b, "one ");
	for (ms = 0; ms < WAIT_MS && !own_old_member_removed(b, leader(b));
	     ms++)
		net_run(b->base, 1);
	assert_true(ms < WAIT_MS);
	wait_repaired(b);
}

/* Adds a fake replica to the peers of all replicas. */
static void add_fake_peer(struct fixture *b, int port, uint64_t id,
			  int64_t unreachable_ms)
{
	char addr[32];
	int i;

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	for (i = 0; i < REPLICAS; i++) {
		struct rep_peer *p = rep_peer_at(b->nodes[i].rep, addr);

		p->id = id;
		p->heard_ms = tmr_now(b->tmr) - unreachable_ms;
	}
}

/* Runs the leader's membership update until id is a member, or is not. */
static void wait_membership(struct fixture *b, uint64_t id, bool member)
{
	struct node *l = leader(b);
	int ms;

	for (ms = 0; ms < WAIT_MS &&
		     !!cns_find_member(rep_members(l->rep), id) != member;
	     ms++) {
		l = leader(b);
		if (b->fake_port)
			add_fake_peer(b, b->fake_port, CNS_MEMBERS_MAX, 0);
		rep_update_members(l->rep, tmr_now(b->tmr));
		net_run(b->base, 1);
	}
	assert_true(!!cns_find_member(rep_members(l->rep), id) == member);
}

/* Fills the membership with fake replicas. */
static void fill_membership(struct fixture *b)
{
	int id;

	for (id = 1; id <= CNS_MEMBERS_MAX - REPLICAS; id++) {
		add_fake_peer(b, id, (uint64_t)id, 0);
		wait_membership(b, (uint64_t)id, true);
	}
	assert_int_equal(rep_members(leader(b)->rep)->n, CNS_MEMBERS_MAX);
}

/*
 * Guards against a leader that does no other membership change while a new
 * replica cannot be added. There are more replicas than the membership can
 * hold; dead members stayed forever and learners that had caught up were never
 * promoted.
 */
static void a_refused_learner_does_not_block_changes(void **state)
{
	struct fixture *b = *state;

	fill_membership(b);
	b->fake_port = CNS_MEMBERS_MAX;
	add_fake_peer(b, 1, 1, VTP_DEAD_MS + 1);
	wait_membership(b, 1, false);
	wait_membership(b, CNS_MEMBERS_MAX, true);
}

/*
 * Guards against control VMs beyond the membership that turn all away: workers'
 * reports and readers of the configuration. They hear nothing of the leader
 * themselves, and send callers to the one that members tell of.
 */
static void a_replica_outside_names_the_leader(void **state)
{
	struct fixture *b = *state;
	struct node outside = {.restarted = true};
	char *leads = NULL;
	char *own;
	int ms;

	fill_membership(b);
	node_init(&outside, b, REPLICAS);
	node_start(&outside);
	for (ms = 0; ms < WAIT_MS && !leads; ms++) {
		net_run(b->base, 1);
		leads = rep_leader_hint(outside.rep);
	}
	own = rep_leader_addr(outside.rep);
	assert_null(own);
	assert_string_equal(leads, leader(b)->addr);
	g_free(leads);
	node_done(&outside);
}

/*
 * Guards against a lost folder that is never replaced because the membership is
 * full: the new member could not be added before the old one was removed, and
 * the old one was to be removed only afterwards.
 */
static void a_lost_folder_is_replaced_in_a_full_membership(void **state)
{
	struct fixture *b = *state;

	fill_membership(b);
	b->fake_port = 1;
	wait_membership(b, 1, false);
	wait_membership(b, CNS_MEMBERS_MAX, true);
}

/*
 * Guards against a leader that does not remove its own old member, so that one
 * more loss stops the fleet. The replica lost its folder, was added again and
 * became leader; the leader searched for lost folders only among its peers,
 * which do not include itself.
 */
static void a_leader_removes_its_own_old_member(void **state)
{
	struct fixture *b = *state;
	struct node *l = leader(b);
	struct cns_member old = {.id = 1};

	g_strlcpy(old.addr, l->addr, sizeof(old.addr));
	g_strlcpy(old.name, l->addr, sizeof(old.name));
	commit(b, "one ");
	assert_int_equal(cns_add_learner(l->rep->cns, &old), CNS_OK);
	rep_schedule_pump(l->rep);
	assert_non_null(cns_find_member(rep_members(l->rep), old.id));
	wait_membership(b, old.id, false);
	commit(b, "two ");
}

/*
 * Guards against a damaged folder that is recreated under its old id. A replica
 * that still has the settings of a new fleet derives its id from its address,
 * but may have acknowledged something before; it must join as another member.
 */
static void a_damaged_folder_gets_a_new_id(void **state)
{
	struct fixture *b = *state;
	struct node *n = &b->nodes[leader(b) == &b->nodes[0]];
	uint64_t id = n->rep->id;
	char *path = g_build_filename(n->data, "log-0000000000000001", NULL);
	char *text;
	gsize len;

	commit(b, "one ");
	rep_free(n->rep);
	assert_true(g_file_get_contents(path, &text, &len, NULL));
	text[len / 2] ^= 1;
	assert_true(g_file_set_contents(path, text, (gssize)len, NULL));
	g_free(text);
	g_free(path);
	g_string_truncate(n->log, 0);
	node_start(n);
	assert_int_not_equal(n->rep->id, id);
	wait_repaired(b);
	commit(b, "two ");
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_command_is_applied_on_all_replicas),
		T(a_leadership_transfer_keeps_commands),
		T(full_disks_are_waited_out),
		T(leader_whose_disk_was_full_is_elected_anew),
		T(replaced_leader_is_told_before_others_commands),
		T(no_member_is_removed_after_a_pause_of_all),
		T(a_restored_leader_removes_its_old_member),
		T(dead_members_leave_a_full_membership),
		T(a_replica_reports_a_missing_quorum),
		T(a_power_loss_with_a_lost_folder_is_survived),
		T(a_power_loss_during_a_repair_is_survived),
		T(a_lost_folder_is_replaced_under_load),
		T(a_refused_learner_does_not_block_changes),
		T(a_replica_outside_names_the_leader),
		T(a_lost_folder_is_replaced_in_a_full_membership),
		T(a_leader_removes_its_own_old_member),
		T(a_damaged_folder_gets_a_new_id),
	};

	return cmocka_run_group_tests_name("rep", tests, NULL, NULL);
}
