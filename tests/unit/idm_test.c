#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "idm.h"

#define KEY LSTR("z.1.1.k")
#define MAX_QUEUE 64

/*
 * Message orders that random schedules rarely produce, set up explicitly; each
 * test covers one safeguard of the idempotency store.
 */
struct node {
	struct fixture *fixture;
	const char *name;
	struct idm *m;
	int verdicts;
	int proposals;
	enum idm_verdict last;
	void *last_user;
};

/* Three nodes; messages are queued until the test delivers them. */
struct fixture {
	struct node nodes[3];
	struct {
		struct node *from;
		struct node *to;
		GBytes *bytes;
	} queue[MAX_QUEUE];
	int queue_len;
};

static struct node *node_named(struct fixture *f, const char *name)
{
	int i;

	for (i = 0; i < 3; i++)
		if (strcmp(f->nodes[i].name, name) == 0)
			return &f->nodes[i];
	return NULL;
}

static void on_send(void *arg, const char *to, struct lstr bytes)
{
	struct node *n = arg;
	struct fixture *f = n->fixture;

	assert_true(f->queue_len < MAX_QUEUE);
	f->queue[f->queue_len].from = n;
	f->queue[f->queue_len].to = node_named(f, to);
	f->queue[f->queue_len++].bytes = g_bytes_new(bytes.p, bytes.len);
}

static void on_propose(void *arg, const struct idm_view *next_view)
{
	/* Every view is set by the test. */
	((struct node *)arg)->proposals++;
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

/* Delivers the queued messages; those from `not_from` are lost. */
static void deliver(struct fixture *f, const struct node *not_from)
{
	int i;

	for (i = 0; i < f->queue_len; i++) {
		gsize len;
		const void *p = g_bytes_get_data(f->queue[i].bytes, &len);
		struct node *from = f->queue[i].from;
		struct node *to = f->queue[i].to;

		if (from != not_from && to->m)
			idm_recv(to->m, 100, from->name, lstr_n(p, len));
		g_bytes_unref(f->queue[i].bytes);
	}
	f->queue_len = 0;
}

static struct idm *new_store(struct node *n, uint64_t boot)
{
	return idm_new(&(struct idm_config){.node = n->name,
					    .boot = boot,
					    .max_bytes = 1 << 20,
					    .retention_ms = IDM_RETENTION_MS},
		       &ops, n);
}

/* Node i has boot i + 1 and is connected to all others. */
static int setup(void **state)
{
	static const char *const names[] = {"a", "b", "c"};
	struct fixture *f = g_new0(struct fixture, 1);
	int i;
	int j;

	for (i = 0; i < 3; i++) {
		f->nodes[i].fixture = f;
		f->nodes[i].name = names[i];
		f->nodes[i].m = new_store(&f->nodes[i], (uint64_t)i + 1);
	}
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++)
			if (i != j)
				idm_peer_up(f->nodes[i].m, 1, names[j],
					    (uint64_t)j + 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	struct fixture *f = *state;
	int i;

	deliver(f, NULL);
	for (i = 0; i < 3; i++)
		idm_free(f->nodes[i].m);
	deliver(f, NULL);
	g_free(f);
	return 0;
}

/* Sets the view of a node; replicas are names of nodes, one letter each. */
static void set_view(struct fixture *f, int i, uint64_t number,
		     const char *replicas)
{
	struct idm_view *v = idm_view_new(1, number);

	for (; *replicas; replicas++)
		g_ptr_array_add(v->replicas,
				g_strdup_printf("%c/%x", *replicas,
						*replicas - 'a' + 1));
	idm_set_view(f->nodes[i].m, 10, v);
	idm_view_free(v);
}

static uint64_t claim(struct fixture *f, int i)
{
	static const uint8_t digest[IDM_DIGEST] = {7};
	struct node *n = &f->nodes[i];
	uint64_t id = idm_claim_new(n->m, 20, KEY, digest, n);

	idm_claim_send(n->m, 20, id);
	return id;
}

/* Node a is the only replica first; b and c are synchronised and join. */
static void replicate_to_all(struct fixture *f)
{
	int i;

	for (i = 0; i < 3; i++)
		set_view(f, i, 1, "a");
	idm_tick(f->nodes[0].m, 50);
	deliver(f, NULL);
	deliver(f, NULL);
	for (i = 0; i < 3; i++)
		set_view(f, i, 2, "abc");
	deliver(f, NULL);
	deliver(f, NULL);
}

static void claim_granted_once_all_replicas_hold_it(void **state)
{
	struct fixture *f = *state;

	replicate_to_all(f);
	claim(f, 0);
	assert_int_equal(f->nodes[0].verdicts, 0);
	deliver(f, &f->nodes[2]);
	deliver(f, &f->nodes[2]);
	assert_int_equal(f->nodes[0].verdicts, 0);
	set_view(f, 0, 3, "ab");
	deliver(f, NULL);
	deliver(f, NULL);
	assert_int_equal(f->nodes[0].verdicts, 1);
	assert_int_equal(f->nodes[0].last, IDM_GRANTED);
}

/*
 * The primary is partitioned from the voters and replaced, but does not know
 * it. A key runs at the new primary and is sent again to the old one, which
 * must not grant it since the new primary does not acknowledge the claim.
 */
static void replaced_primary_grants_nothing(void **state)
{
	struct fixture *f = *state;

	replicate_to_all(f);
	set_view(f, 0, 3, "ab");
	set_view(f, 1, 3, "ab");
	deliver(f, NULL);
	deliver(f, NULL);
	/* Only b receives the view without a. */
	set_view(f, 1, 4, "b");
	claim(f, 1);
	assert_int_equal(f->nodes[1].last, IDM_GRANTED);
	claim(f, 0);
	deliver(f, NULL);
	deliver(f, NULL);
	deliver(f, NULL);
	assert_int_equal(f->nodes[0].verdicts, 0);
}

/*
 * A replica is removed, misses a claim and becomes a replica again. Its records
 * must not count before it is synchronised, or it would grant the key a second
 * time.
 */
static void incomplete_replica_grants_nothing(void **state)
{
	struct fixture *f = *state;

	replicate_to_all(f);
	set_view(f, 0, 3, "ab");
	set_view(f, 1, 3, "ab");
	set_view(f, 2, 3, "ab");
	deliver(f, NULL);
	claim(f, 0);
	deliver(f, &f->nodes[2]);
	deliver(f, &f->nodes[2]);
	assert_int_equal(f->nodes[0].last, IDM_GRANTED);
	assert_false(idm_is_replica(f->nodes[2].m));
	/* A view with c as the primary, which has not been synchronised. */
	set_view(f, 2, 4, "cb");
	assert_false(idm_is_replica(f->nodes[2].m));
	claim(f, 2);
	deliver(f, &f->nodes[0]);
	deliver(f, &f->nodes[0]);
	assert_int_equal(f->nodes[2].verdicts, 0);
}

/*
 * A node joins the view, but the records sent to it are lost. It must not
 * acknowledge claims: the records would have no second copy although the view
 * says so.
 */
static void unsynchronised_replica_acknowledges_nothing(void **state)
{
	struct fixture *f = *state;

	set_view(f, 0, 1, "a");
	set_view(f, 1, 1, "a");
	set_view(f, 0, 2, "ab");
	set_view(f, 1, 2, "ab");
	deliver(f, &f->nodes[0]);
	claim(f, 0);
	deliver(f, NULL);
	deliver(f, NULL);
	assert_int_equal(f->nodes[0].verdicts, 0);
}

/*
 * A daemon restarts while the primary still has to send it a verdict. The
 * verdict must not be taken for one on a claim of the new boot: its caller
 * would get the answer to another request.
 */
static void verdict_of_previous_boot_ignored(void **state)
{
	struct fixture *f = *state;

	replicate_to_all(f);
	claim(f, 1);
	/*
	 * b restarts with its claim in flight, and claims the same key again.
	 */
	idm_free(f->nodes[1].m);
	f->nodes[1].m = new_store(&f->nodes[1], 9);
	assert_int_not_equal(claim(f, 1), 1);
	deliver(f, NULL);
	deliver(f, NULL);
	deliver(f, NULL);
	assert_int_equal(f->nodes[1].verdicts, 0);
}

/*
 * Guards against a store that is given up though its replicas are well: a
 * daemon lost its connections to them just before it stood still.
 */
static void pause_shows_no_loss_of_the_store(void **state)
{
	struct fixture *f = *state;
	struct node *c = &f->nodes[2];

	set_view(f, 2, 1, "ab");
	idm_peer_down(c->m, 100, "a");
	idm_peer_down(c->m, 100, "b");
	idm_tick(c->m, 200);
	idm_resumed(c->m, 60000, 59700);
	idm_tick(c->m, 60000);
	assert_int_equal(c->proposals, 0);
	idm_tick(c->m, 66000);
	assert_int_equal(c->proposals, 1);
}

static void key_format_and_age_checked(void **state)
{
	static const char *const malformed[] = {
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
	assert_int_equal(
		idm_key_age(&key, 120000 + (IDM_KEY_VALID_MINUTES + 1) * 60000),
		IDM_AGE_OLD);
	key.minute += IDM_CLOCK_SKEW_MINUTES + 1;
	assert_int_equal(idm_key_age(&key, 120000), IDM_AGE_FUTURE);
	for (i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_false(idm_key_parse(lstr_from(malformed[i]), &key));
	g_free(text);
	g_free(prefix);
}

int main(void)
{
#define T(name) cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		T(claim_granted_once_all_replicas_hold_it),
		T(replaced_primary_grants_nothing),
		T(incomplete_replica_grants_nothing),
		T(unsynchronised_replica_acknowledges_nothing),
		T(verdict_of_previous_boot_ignored),
		T(pause_shows_no_loss_of_the_store),
		cmocka_unit_test(key_format_and_age_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
