#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "idm.h"

#define KEY LSTR("z.1.1.k")
#define MAX_QUEUE 64

/*
 * Orders that random schedules come upon too rarely, played by hand: each is
 * what one safeguard of the memory is for.
 */
struct node {
	struct bed *bed;
	const char *name;
	struct idm *m;
	int verdicts;
	enum idm_verdict last;
	void *last_user;
};

/* Two or three nodes; messages wait until the test lets them through. */
struct bed {
	struct node nodes[3];
	struct {
		struct node *from;
		struct node *to;
		GBytes *bytes;
	} queue[MAX_QUEUE];
	int queued;
};

static struct node *named(struct bed *b, const char *name)
{
	int i;

	for (i = 0; i < 3; i++)
		if (strcmp(b->nodes[i].name, name) == 0)
			return &b->nodes[i];
	return NULL;
}

static void on_send(void *arg, const char *to, struct lstr bytes)
{
	struct node *n = arg;
	struct bed *b = n->bed;

	assert_true(b->queued < MAX_QUEUE);
	b->queue[b->queued].from = n;
	b->queue[b->queued].to = named(b, to);
	b->queue[b->queued++].bytes = g_bytes_new(bytes.p, bytes.len);
}

static void on_propose(void *arg, const struct idm_view *want)
{
	/* The test sets every view itself. */
}

static void on_verdict(void *arg, void *user, enum idm_verdict v,
		       struct lstr bytes)
{
	struct node *n = arg;

	n->verdicts++;
	n->last = v;
	n->last_user = user;
}

static const struct idm_ops ops = {
	.send = on_send,
	.propose = on_propose,
	.verdict = on_verdict,
};

/* Lets messages through, those from `not_from` are lost. */
static void flow(struct bed *b, const struct node *not_from)
{
	int i;

	for (i = 0; i < b->queued; i++) {
		gsize len;
		const void *p = g_bytes_get_data(b->queue[i].bytes, &len);
		struct node *from = b->queue[i].from;
		struct node *to = b->queue[i].to;

		if (from != not_from && to->m)
			idm_recv(to->m, 100, from->name, lstr_n(p, len));
		g_bytes_unref(b->queue[i].bytes);
	}
	b->queued = 0;
}

static struct idm *make(struct node *n, uint64_t boot)
{
	return idm_new(&(struct idm_config){.node = n->name,
					    .boot = boot,
					    .max_bytes = 1 << 20,
					    .keep_ms = IDM_KEEP_MS},
		       &ops, n);
}

/* Node i has boot i + 1 and knows all the others. */
static int setup(void **state)
{
	static const char *const names[] = {"a", "b", "c"};
	struct bed *b = g_new0(struct bed, 1);
	int i;
	int j;

	for (i = 0; i < 3; i++) {
		b->nodes[i].bed = b;
		b->nodes[i].name = names[i];
		b->nodes[i].m = make(&b->nodes[i], (uint64_t)i + 1);
	}
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++)
			if (i != j)
				idm_peer_up(b->nodes[i].m, 1, names[j],
					    (uint64_t)j + 1);
	*state = b;
	return 0;
}

static int teardown(void **state)
{
	struct bed *b = *state;
	int i;

	flow(b, NULL);
	for (i = 0; i < 3; i++)
		idm_free(b->nodes[i].m);
	flow(b, NULL);
	g_free(b);
	return 0;
}

/* Sets the view of a node: keepers are names of nodes, one letter each. */
static void view(struct bed *b, int i, uint64_t number, const char *keepers)
{
	struct idm_view *v = idm_view_new(1, number);

	for (; *keepers; keepers++)
		g_ptr_array_add(v->keepers,
				g_strdup_printf("%c/%x", *keepers,
						*keepers - 'a' + 1));
	idm_set_view(b->nodes[i].m, 10, v);
	idm_view_free(v);
}

static uint64_t ask(struct bed *b, int i)
{
	static const uint8_t digest[IDM_DIGEST] = {7};
	struct node *n = &b->nodes[i];
	uint64_t id = idm_ask(n->m, 20, KEY, digest, n);

	idm_go(n->m, 20, id);
	return id;
}

/* The first view is a's; b and c learn and join. */
static void all_keep(struct bed *b)
{
	int i;

	for (i = 0; i < 3; i++)
		view(b, i, 1, "a");
	idm_tick(b->nodes[0].m, 50);
	flow(b, NULL);
	flow(b, NULL);
	for (i = 0; i < 3; i++)
		view(b, i, 2, "abc");
	flow(b, NULL);
	flow(b, NULL);
}

static void a_claim_is_granted_when_all_hold_it(void **state)
{
	struct bed *b = *state;

	all_keep(b);
	ask(b, 0);
	assert_int_equal(b->nodes[0].verdicts, 0);
	flow(b, &b->nodes[2]);
	flow(b, &b->nodes[2]);
	assert_int_equal(b->nodes[0].verdicts, 0);
	view(b, 0, 3, "ab");
	flow(b, NULL);
	flow(b, NULL);
	assert_int_equal(b->nodes[0].verdicts, 1);
	assert_int_equal(b->nodes[0].last, IDM_GRANTED);
}

/*
 * a leads and is cut off from the voters; the others go on without it. A
 * caller's first sending reaches b and runs; the second reaches a, which does
 * not know it leads no more. b's word is all that keeps it from running again.
 */
static void a_replaced_leader_grants_nothing(void **state)
{
	struct bed *b = *state;

	all_keep(b);
	view(b, 0, 3, "ab");
	view(b, 1, 3, "ab");
	flow(b, NULL);
	flow(b, NULL);
	/* Only b hears that a is out. */
	view(b, 1, 4, "b");
	ask(b, 1);
	assert_int_equal(b->nodes[1].last, IDM_GRANTED);
	ask(b, 0);
	flow(b, NULL);
	flow(b, NULL);
	flow(b, NULL);
	assert_int_equal(b->nodes[0].verdicts, 0);
}

/*
 * c was a keeper, is asked out, and misses a claim. When it is a keeper again
 * it must learn first: with its old copy it would grant the key a second time.
 */
static void a_copy_with_gaps_does_not_count(void **state)
{
	struct bed *b = *state;

	all_keep(b);
	view(b, 0, 3, "ab");
	view(b, 1, 3, "ab");
	view(b, 2, 3, "ab");
	flow(b, NULL);
	ask(b, 0);
	flow(b, &b->nodes[2]);
	flow(b, &b->nodes[2]);
	assert_int_equal(b->nodes[0].last, IDM_GRANTED);
	assert_false(idm_is_keeper(b->nodes[2].m));
	/* Straight to a view that c leads, without having learnt anything. */
	view(b, 2, 4, "cb");
	assert_false(idm_is_keeper(b->nodes[2].m));
	ask(b, 2);
	flow(b, &b->nodes[0]);
	flow(b, &b->nodes[0]);
	assert_int_equal(b->nodes[2].verdicts, 0);
}

/*
 * b is made a keeper, but what it should have learnt was lost on the way. Its
 * word must not count: a's memory would be held by nobody else while all
 * believe in a second copy.
 */
static void a_keeper_that_has_not_learnt_is_silent(void **state)
{
	struct bed *b = *state;

	view(b, 0, 1, "a");
	view(b, 1, 1, "a");
	view(b, 0, 2, "ab");
	view(b, 1, 2, "ab");
	flow(b, &b->nodes[0]);
	ask(b, 0);
	flow(b, NULL);
	flow(b, NULL);
	assert_int_equal(b->nodes[0].verdicts, 0);
}

/*
 * A daemon is started anew while the first keeper still owes it a verdict. It
 * must not take that verdict for one on an ask of its new life: its caller
 * would get somebody else's answer.
 */
static void verdicts_of_an_earlier_life_are_let_pass(void **state)
{
	struct bed *b = *state;

	all_keep(b);
	ask(b, 1);
	/* The ask is on its way; b is started anew and asks for the same. */
	idm_free(b->nodes[1].m);
	b->nodes[1].m = make(&b->nodes[1], 9);
	assert_int_not_equal(ask(b, 1), 1);
	flow(b, NULL);
	flow(b, NULL);
	flow(b, NULL);
	assert_int_equal(b->nodes[1].verdicts, 0);
}

static void keys_are_read_strictly(void **state)
{
	static const char *const bad[] = {
		"",
		"a",
		"a.1",
		"a.1.2",
		"a.1.2.",
		".1.2.x",
		"a..2.x",
		"a.1..x",
		"a.g.2.x",
		"a.1.2.x y",
		"a.00000000000000001.2.x",
	};
	char *prefix = idm_key_prefix("zone", 0xab, 120000);
	char *text = g_strconcat(prefix, ".rest.of.it", NULL);
	struct idm_key key;
	size_t i;

	assert_true(idm_key_parse(lstr_from(text), &key));
	assert_true(lstr_eq(key.zone, LSTR("zone")));
	assert_int_equal(key.epoch, 0xab);
	assert_int_equal(key.minute, 2);
	assert_true(lstr_eq(key.rest, LSTR("rest.of.it")));
	assert_int_equal(idm_key_age(&key, 120000), IDM_AGE_OK);
	assert_int_equal(idm_key_age(&key,
				     120000 + (IDM_VALID_MIN + 1) * 60000),
			 IDM_AGE_OLD);
	key.minute += IDM_SKEW_MIN + 1;
	assert_int_equal(idm_key_age(&key, 120000), IDM_AGE_FUTURE);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_false(idm_key_parse(lstr_from(bad[i]), &key));
	g_free(text);
	g_free(prefix);
}

int main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		T(a_claim_is_granted_when_all_hold_it),
		T(a_replaced_leader_grants_nothing),
		T(a_copy_with_gaps_does_not_count),
		T(a_keeper_that_has_not_learnt_is_silent),
		T(verdicts_of_an_earlier_life_are_let_pass),
		cmocka_unit_test(keys_are_read_strictly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
