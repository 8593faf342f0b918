#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <unistd.h>

#include "net.h"
#include "rep_int.h"

#define REPLICAS 3
#define WAIT_MS 20000
/* Longer than a member may be silent before it is taken out, ms. */
#define FROZEN_MS 4500
/* Repairs broken off, each so much later than the one before, ms. */
#define ROUNDS 6
#define ROUND_MS 150
/* A leader of 1,100 workers: entries that a newcomer lacks, how large each is,
 * how long a turn of the loop lasts, and the turns that a repair may take.
 */
#define LOAD_ENTRIES 200
#define LOAD_BYTES (10 << 10)
#define BUSY_US 20000
#define REPAIR_TURNS 300

struct bed;

struct node {
	struct bed *bed;
	struct rep *rep;
	char *data;
	char name[8];
	char addr[32];
	int leads;
	bool restarted; /* not with the fleet's first start */
	GString *log; /* the commands that came out */
};

/* Three replicas on one loop. */
struct bed {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	char *seeds[REPLICAS + 1];
	struct node nodes[REPLICAS];
	int waiting; /* port of a pretended replica without a place; 0: none */
};

static void node_apply(void *arg, uint64_t index, struct lstr cmd)
{
	struct node *n = arg;

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
}

static void node_read_done(void *arg, uint64_t tag, bool ok)
{
}

static void node_message(void *arg, struct wire_conn *conn, uint64_t kind,
			 struct pk_in *in)
{
}

static void node_gone(void *arg, struct wire_conn *conn)
{
}

static const struct rep_ops node_ops = {
	.apply = node_apply,
	.restore = node_restore,
	.snapshot = node_snapshot,
	.lead = node_lead,
	.read_done = node_read_done,
	.message = node_message,
	.gone = node_gone,
};

static void node_start(struct node *n)
{
	GError *err = NULL;

	n->rep = rep_new(
		&(struct rep_config){
			.base = n->bed->base,
			.tmr = n->bed->tmr,
			.keys = n->bed->keys,
			.node = n->name,
			.zone = "z",
			.addr = n->addr,
			.data = n->data,
			.seeds = n->bed->seeds,
			.bootstrap = !n->restarted,
			.voters_min = 1,
		},
		&node_ops, n, &err);
	assert_null(err);
}

static int setup(void **state)
{
	struct bed *b = g_new0(struct bed, 1);
	int i;

	b->base = event_base_new();
	b->tmr = tmr_new(b->base);
	b->keys = keyring_open_network();
	for (i = 0; i < REPLICAS; i++) {
		struct node *n = &b->nodes[i];
		int port;
		int fd = net_listen(&port);

		g_snprintf(n->addr, sizeof(n->addr), "127.0.0.1:%d", port);
		close(fd);
		g_snprintf(n->name, sizeof(n->name), "n%d", i);
		n->bed = b;
		n->data = g_dir_make_tmp("endive-rep-XXXXXX", NULL);
		n->log = g_string_new(NULL);
		b->seeds[i] = n->addr;
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

static int teardown(void **state)
{
	struct bed *b = *state;
	int i;

	for (i = 0; i < REPLICAS; i++) {
		rep_free(b->nodes[i].rep);
		empty_folder(b->nodes[i].data);
		rmdir(b->nodes[i].data);
		g_free(b->nodes[i].data);
		g_string_free(b->nodes[i].log, TRUE);
	}
	keyring_free(b->keys);
	tmr_free(b->tmr);
	event_base_free(b->base);
	g_free(b);
	return 0;
}

/* The replica that leads, after some time if need be. */
static struct node *leader(struct bed *b)
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

/* Whether text came out on all replicas. */
static bool said(const struct bed *b, const char *text)
{
	int i;

	for (i = 0; i < REPLICAS; i++)
		if (!strstr(b->nodes[i].log->str, text))
			return false;
	return true;
}

/*
 * Proposes text and waits for it on all replicas. What a leader took but no
 * quorum has can go with its leadership, as after all stood still: so whoever
 * leads then is asked again, as an owner would.
 */
static void say(struct bed *b, const char *text)
{
	struct node *asked = NULL;
	uint64_t index;
	int ms;

	for (ms = 0; ms < WAIT_MS && !said(b, text); ms++) {
		if (!asked || !rep_leading(asked->rep)) {
			asked = leader(b);
			if (!rep_propose(asked->rep, lstr_from(text), &index))
				asked = NULL;
		}
		net_run(b->base, 1);
	}
	assert_true(said(b, text));
}

static void a_command_comes_out_on_all(void **state)
{
	struct bed *b = *state;
	int i;

	say(b, "one ");
	say(b, "two ");
	for (i = 0; i < REPLICAS; i++)
		assert_string_equal(b->nodes[i].log->str, "one two ");
}

/* Leadership goes elsewhere with all that was accepted. */
static void leadership_is_handed_over(void **state)
{
	struct bed *b = *state;
	struct node *old = leader(b);
	int ms;

	say(b, "one ");
	rep_hand_over(old->rep);
	for (ms = 0; ms < WAIT_MS && rep_leading(old->rep); ms++)
		net_run(b->base, 1);
	assert_false(rep_leading(old->rep));
	assert_ptr_not_equal(leader(b), old);
	say(b, "two ");
}

/*
 * The fleet has one replica less than it was given, and the next loss stops
 * it. All of them stand still together, as on a host that is suspended; awake
 * again, the leader has heard nobody for long, and must not take one out.
 */
static void nobody_is_taken_out_after_all_stood_still(void **state)
{
	struct bed *b = *state;

	say(b, "one ");
	g_usleep(FROZEN_MS * 1000);
	say(b, "two ");
	net_run(b->base, 1000);
	assert_int_equal(rep_members(leader(b)->rep)->n, REPLICAS);
}

/*
 * Callers lose their leader with the next loss, since nobody dead is taken out
 * any more. As many members as there can be stand in the log, most of them
 * gone; one more machine says hello. It can't be let in yet, which is no reason
 * to keep those that are gone: they leave, and it gets a place.
 */
static void a_newcomer_without_a_place_blocks_nobody(void **state)
{
	struct bed *b = *state;
	bool let_in = false;
	int ms;
	int i;

	say(b, "one ");
	for (i = REPLICAS; i < CNS_MEMBERS_MAX; i++) {
		struct cns_member gone = {.id = (uint64_t)i};

		g_snprintf(gone.addr, sizeof(gone.addr), "127.0.0.1:%d", i);
		while (cns_add_learner(leader(b)->rep->cns, &gone) != CNS_DONE)
			net_run(b->base, 1);
		rep_kick(leader(b)->rep);
	}
	for (ms = 0; ms < WAIT_MS && !let_in; ms++) {
		struct rep *r = leader(b)->rep;
		struct rep_peer *p = rep_peer_at(r, "127.0.0.1:1");

		p->id = CNS_MEMBERS_MAX;
		p->heard_ms = tmr_now(b->tmr);
		let_in = cns_find(rep_members(r), p->id);
		net_run(b->base, 1);
	}
	assert_true(let_in);
}

/*
 * Two of three replicas have lost their folders for good, so no leader can be
 * chosen any more and every caller is refused. The one that is left must say
 * what it lacks, as it does nothing else that an operator could see.
 */
static void a_replica_says_what_its_quorum_lacks(void **state)
{
	struct bed *b = *state;
	struct node *left = leader(b);
	struct rep_quorum q;
	int i;
	int ms;

	say(b, "one ");
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

/* Ends all replicas at once; the one at lost comes back without a folder. */
static void all_lose_power(struct bed *b, int lost)
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

/* Waits until the members are the folders of now, each a voter. */
static void repaired(struct bed *b)
{
	const struct cns_members *s = NULL;
	int voters = 0;
	int ms;
	int i;

	for (ms = 0; ms < WAIT_MS && voters != REPLICAS; ms++) {
		s = rep_members(leader(b)->rep);
		voters = 0;
		for (i = 0; s->n == REPLICAS && i < REPLICAS; i++)
			voters += cns_find(s, b->nodes[i].rep->id) &&
				  cns_find(s, b->nodes[i].rep->id)->voter;
		net_run(b->base, 1);
	}
	assert_int_equal(voters, REPLICAS);
}

/*
 * Callers find nobody who decides. All replicas lose power, one of them its
 * folder with it; two folders are a majority and must be enough, and the one
 * that was lost is replaced. Then the same with another, so that a member that
 * stayed behind from the first repair would be one loss too many.
 */
static void all_lose_power_and_one_its_folder(void **state)
{
	struct bed *b = *state;
	int lost;
	int i;

	say(b, "one ");
	for (lost = 0; lost < REPLICAS; lost++) {
		all_lose_power(b, lost);
		for (i = 0; i < REPLICAS; i++)
			node_start(&b->nodes[i]);
		repaired(b);
		say(b, "again ");
		assert_true(said(b, "one "));
	}
}

/*
 * Callers find nobody who decides. One replica lost its folder, and at any
 * moment of its repair, before, within or after the changes of members, all
 * lose power, with what they have written. All come back with their folders,
 * the one last that was not the newcomer.
 */
static void all_lose_power_during_a_repair(void **state)
{
	struct bed *b = *state;
	int round;
	int i;

	say(b, "one ");
	for (round = 0; round < ROUNDS; round++) {
		all_lose_power(b, round % REPLICAS);
		for (i = 0; i < REPLICAS; i++)
			node_start(&b->nodes[i]);
		leader(b);
		net_run(b->base, round * ROUND_MS);
		all_lose_power(b, -1);
		for (i = 0; i < REPLICAS; i++) {
			node_start(&b->nodes[(round + i) % REPLICAS]);
			net_run(b->base, ROUND_MS);
		}
		repaired(b);
		say(b, "again ");
		assert_true(said(b, "one "));
	}
}

/* One long turn of a loop that is busy, in which a command comes. */
static void busy_turn(struct bed *b, const char *cmd)
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

/* Whether all replicas of now are voters, and nobody else is a member. */
static bool whole(const struct bed *b)
{
	const struct cns_members *s = NULL;
	int voters = 0;
	int i;

	for (i = 0; i < REPLICAS; i++)
		if (b->nodes[i].rep && rep_leading(b->nodes[i].rep))
			s = rep_members(b->nodes[i].rep);
	for (i = 0; s && i < REPLICAS; i++) {
		const struct rep *r = b->nodes[i].rep;
		const struct cns_member *m = r ? cns_find(s, r->id) : NULL;

		voters += m && m->voter;
	}
	return s && s->n == REPLICAS && voters == REPLICAS;
}

/* Guards against a repair that lasts as long as the load does. */
static void a_lost_folder_is_replaced_under_load(void **state)
{
	struct bed *b = *state;
	char *cmd = g_strnfill(LOAD_BYTES, 'x');
	struct node *lost;
	int turns;
	int i;

	say(b, "one ");
	for (i = 0; i < LOAD_ENTRIES; i++)
		busy_turn(b, cmd);
	lost = leader(b) == &b->nodes[0] ? &b->nodes[1] : &b->nodes[0];
	rep_free(lost->rep);
	lost->rep = NULL;
	empty_folder(lost->data);
	g_string_truncate(lost->log, 0);
	lost->restarted = true;
	node_start(lost);
	for (turns = 0; turns < REPAIR_TURNS && !whole(b); turns++)
		busy_turn(b, cmd);
	assert_true(whole(b));
	g_free(cmd);
}

/*
 * Whether a leader took out another member at its own address; false: it lost
 * its leadership first, as on a busy machine.
 */
static bool old_self_goes(struct bed *b, struct node *n)
{
	struct cns_member old = {.id = n->rep->id + 1};
	int ms;

	g_strlcpy(old.addr, n->addr, sizeof(old.addr));
	g_strlcpy(old.name, n->addr, sizeof(old.name));
	if (cns_add_learner(n->rep->cns, &old) != CNS_DONE)
		return false;
	rep_kick(n->rep);
	for (ms = 0; ms < WAIT_MS && rep_leading(n->rep); ms++) {
		if (!cns_find(rep_members(n->rep), old.id))
			return true;
		net_run(b->base, 1);
	}
	assert_false(rep_leading(n->rep)); /* it leads, and the old one stays */
	return false;
}

/*
 * Callers lose their leader for good with the next disk. A replica lost its
 * folder and came back, was made a voter, and leads before its old self was
 * taken out, as after a loss of power at that moment. It dials everybody but
 * itself; so nobody told it that the old member at its own address is gone,
 * and there were four voters of which one never answers.
 */
static void a_leader_takes_its_own_old_self_out(void **state)
{
	struct bed *b = *state;
	int ms;

	say(b, "one ");
	for (ms = 0; ms < WAIT_MS && !old_self_goes(b, leader(b)); ms++)
		net_run(b->base, 1);
	assert_true(ms < WAIT_MS);
	repaired(b);
}

/* A replica at an address that only the others' records know. */
static void pretend(struct bed *b, int port, uint64_t id, int64_t silent_ms)
{
	char addr[32];
	int i;

	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", port);
	for (i = 0; i < REPLICAS; i++) {
		struct rep_peer *p = rep_peer_at(b->nodes[i].rep, addr);

		p->id = id;
		p->heard_ms = tmr_now(b->tmr) - silent_ms;
	}
}

/* Has the leader look after its members until id is one, or isn't. */
static void looked_after(struct bed *b, uint64_t id, bool member)
{
	struct node *l = leader(b);
	int ms;

	for (ms = 0;
	     ms < WAIT_MS && !!cns_find(rep_members(l->rep), id) != member;
	     ms++) {
		l = leader(b);
		if (b->waiting)
			pretend(b, b->waiting, CNS_MEMBERS_MAX, 0);
		rep_members_tick(l->rep, tmr_now(b->tmr));
		net_run(b->base, 1);
	}
	assert_true(!!cns_find(rep_members(l->rep), id) == member);
}

/* Fills all places for members with replicas that are pretended. */
static void fill_places(struct bed *b)
{
	int id;

	for (id = 1; id <= CNS_MEMBERS_MAX - REPLICAS; id++) {
		pretend(b, id, (uint64_t)id, 0);
		looked_after(b, (uint64_t)id, true);
	}
	assert_int_equal(rep_members(leader(b)->rep)->n, CNS_MEMBERS_MAX);
}

/*
 * A dead replica stays a member for ever, and so does a learner that has caught
 * up never count. There are more replicas than places for members; the leader
 * tried to let the one without a place in, was refused, and tried nothing else.
 * The dead one must go and its place be the newcomer's.
 */
static void a_newcomer_without_a_place_holds_nothing_up(void **state)
{
	struct bed *b = *state;

	fill_places(b);
	b->waiting = CNS_MEMBERS_MAX;
	pretend(b, 1, 1, REP_DEAD_MS + 1);
	looked_after(b, 1, false);
	looked_after(b, CNS_MEMBERS_MAX, true);
}

/*
 * All places are taken, and a replica comes back without its folder. It can't
 * be let in for want of a place, and the member that it was before, which never
 * comes back, would leave only after it was.
 */
static void a_lost_folder_is_replaced_though_places_are_full(void **state)
{
	struct bed *b = *state;

	fill_places(b);
	b->waiting = 1;
	looked_after(b, 1, false);
	looked_after(b, CNS_MEMBERS_MAX, true);
}

/*
 * A fleet keeps a member that never answers: one more loss than it bears stops
 * it. A replica lost its folder and was let in anew; before the member that it
 * was had been taken out, it became the leader. A leader looked for lost folders
 * among its peers only, of which it is none.
 */
static void a_leader_takes_out_who_it_was(void **state)
{
	struct bed *b = *state;
	struct node *l = leader(b);
	struct cns_member was = {.id = 1};

	g_strlcpy(was.addr, l->addr, sizeof(was.addr));
	g_strlcpy(was.name, l->addr, sizeof(was.name));
	say(b, "one ");
	assert_int_equal(cns_add_learner(l->rep->cns, &was), CNS_DONE);
	rep_kick(l->rep);
	assert_non_null(cns_find(rep_members(l->rep), was.id));
	looked_after(b, was.id, false);
	say(b, "two ");
}

/*
 * A replica of a fleet that has just begun, and still has the settings it was
 * begun with, finds its folder damaged. It may have promised something, and
 * came back as the member that it was. It must come back as somebody else.
 */
static void a_damaged_folder_comes_back_as_somebody_else(void **state)
{
	struct bed *b = *state;
	struct node *n = &b->nodes[leader(b) == &b->nodes[0]];
	uint64_t id = n->rep->id;
	char *path = g_build_filename(n->data, "log-0000000000000001", NULL);
	char *text;
	gsize len;

	say(b, "one ");
	rep_free(n->rep);
	assert_true(g_file_get_contents(path, &text, &len, NULL));
	text[len / 2] ^= 1;
	assert_true(g_file_set_contents(path, text, (gssize)len, NULL));
	g_free(text);
	g_free(path);
	g_string_truncate(n->log, 0);
	node_start(n);
	assert_int_not_equal(n->rep->id, id);
	repaired(b);
	say(b, "two ");
}

#define T(fn) cmocka_unit_test_setup_teardown(fn, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		T(a_command_comes_out_on_all),
		T(leadership_is_handed_over),
		T(nobody_is_taken_out_after_all_stood_still),
		T(a_leader_takes_its_own_old_self_out),
		T(a_newcomer_without_a_place_blocks_nobody),
		T(a_replica_says_what_its_quorum_lacks),
		T(all_lose_power_and_one_its_folder),
		T(all_lose_power_during_a_repair),
		T(a_lost_folder_is_replaced_under_load),
		T(a_newcomer_without_a_place_holds_nothing_up),
		T(a_lost_folder_is_replaced_though_places_are_full),
		T(a_leader_takes_out_who_it_was),
		T(a_damaged_folder_comes_back_as_somebody_else),
	};

	return cmocka_run_group_tests_name("rep", tests, NULL, NULL);
}
