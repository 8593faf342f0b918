#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <event2/event.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "cli.h"
#include "fst.h"
#include "wire.h"

#define VOTERS 2

/* What a voter does with what it is asked. */
enum mood {
	ANSWERS,
	LOSES_ANSWER, /* applies, then closes instead of answering */
	FOLLOWS, /* names the other voter as the leader */
	NO_MAJORITY,
	SILENT,
};

struct rig;

struct voter {
	struct rig *rig;
	struct wire *wire;
	char addr[32];
	enum mood mood;
	guint asked;
};

/* Two voters over one state, and a client, all on one loop. */
struct rig {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	char *key_path;
	struct fst *f;
	struct voter voters[VOTERS];
	struct cli cli;
};

static void voter_apply(struct rig *g, struct wire_conn *c, struct lstr cmd,
			struct pk_out *result)
{
	struct pk_out e;

	pk_out_init(&e);
	fst_entry_pack(&e, g_get_real_time() / 1000,
		       lstr_from(wire_key_name(c)), wire_role(c), cmd);
	fst_apply(g->f, fst_index(g->f) + 1, pk_out_view(&e), result);
	pk_out_done(&e);
}

static void voter_answer(struct voter *v, struct wire_conn *c, uint64_t request,
			 enum proto_result code, struct lstr bytes,
			 const char *leader)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_u(&o, PROTO_RESULT);
	pk_u(&o, request);
	pk_u(&o, code);
	pk_str(&o, bytes);
	pk_cstr(&o, leader);
	wire_send(c, pk_out_view(&o));
	pk_out_done(&o);
}

static void voter_recv(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct voter *v = arg;
	struct voter *other = &v->rig->voters[v == v->rig->voters];
	struct pk_in in;
	struct pk_out result;
	uint64_t kind;
	uint64_t request;
	struct lstr first;

	v->asked++;
	assert_true(pk_in_init(&in, payload));
	kind = pk_get_u(&in);
	request = pk_get_u(&in);
	first = pk_get_str(&in);
	pk_out_init(&result);
	if (v->mood == FOLLOWS) {
		voter_answer(v, c, request, PROTO_NOT_LEADER, LSTR(""),
			     other->addr);
	} else if (v->mood == NO_MAJORITY) {
		voter_answer(v, c, request, PROTO_NO_QUORUM, LSTR(""), "");
	} else if (v->mood != SILENT) {
		if (kind == PROTO_SUBMIT)
			voter_apply(v->rig, c, first, &result);
		else
			fst_query(v->rig->f, first, pk_get_str(&in), &result);
		if (v->mood == LOSES_ANSWER)
			wire_close(c);
		else
			voter_answer(v, c, request, PROTO_OK,
				     pk_out_view(&result), "");
	}
	pk_out_done(&result);
	pk_in_done(&in);
}

static void voter_up(void *arg, struct wire_conn *c)
{
}

static void voter_down(void *arg, struct wire_conn *c, const GError *why)
{
}

static const struct wire_ops voter_ops = {
	.up = voter_up, .recv = voter_recv, .down = voter_down};

static void rig_config(struct rig *g)
{
	static const char text[] = "[fleet]\nname = f\n[site s]\nzones = a\n"
				   "[size std]\ncores = 16\nmemory = 64G\n"
				   "[pool check]\nservice = c\ncapacity = 1\n"
				   "[rack r1]\nzone = a\nvm.w1 = check std\n";
	struct fcm_cmd cmd = {
		.kind = FCM_APPLY,
		.id = LSTR("first"),
		.made_ms = g_get_real_time() / 1000,
		.apply = {.n_files = 1,
			  .files = {{LSTR("base.conf"), LSTR(text)}}}};
	struct pk_out c;
	struct pk_out e;
	struct pk_out o;

	pk_out_init(&c);
	pk_out_init(&e);
	pk_out_init(&o);
	fcm_encode(&cmd, &c);
	fst_entry_pack(&e, cmd.made_ms, LSTR("anna"), KEY_OPERATE,
		       pk_out_view(&c));
	fst_apply(g->f, 1, pk_out_view(&e), &o);
	pk_out_done(&c);
	pk_out_done(&e);
	pk_out_done(&o);
}

static struct rig *rig_new(enum mood first, enum mood second)
{
	static const char keys[] = "anna duty 00112233445566778899aabbccddeeff"
				   "00112233445566778899aabbccddeeff\n";
	const char *port = g_getenv("ENDIVE_CLI_TEST_PORT");
	struct rig *g = g_new0(struct rig, 1);
	GError *err = NULL;
	int fd;
	int i;

	g->base = event_base_new();
	g->tmr = tmr_new(g->base);
	fd = g_file_open_tmp("endive-keys-XXXXXX", &g->key_path, &err);
	assert_true(fd >= 0);
	assert_int_equal(write(fd, keys, strlen(keys)), strlen(keys));
	close(fd);
	g_chmod(g->key_path, 0600);
	g->keys = keyring_load(g->key_path, &err);
	assert_non_null(g->keys);
	g->f = fst_new();
	rig_config(g);
	g->cli.set.servers = g_new0(char *, VOTERS + 1);
	for (i = 0; i < VOTERS; i++) {
		struct voter *v = &g->voters[i];

		v->rig = g;
		v->mood = i ? second : first;
		g_snprintf(v->addr, sizeof(v->addr), "127.0.0.1:%d",
			   (port ? atoi(port) : 21200) + i);
		v->wire = wire_new(&(struct wire_config){.base = g->base,
							 .tmr = g->tmr,
							 .keys = g->keys,
							 .node = "voter",
							 .zone = "a",
							 .silence_ms = 5000});
		assert_int_equal(
			wire_listen(v->wire, v->addr, &voter_ops, v, &err), 0);
		g->cli.set.servers[i] = g_strdup(v->addr);
	}
	g->cli.set.keys = g->key_path;
	g->cli.set.timeout_s = 5;
	g->cli.link = cli_link_new(&g->cli.set, g->base, &err);
	assert_non_null(g->cli.link);
	return g;
}

static void rig_free(struct rig *g)
{
	int i;

	cli_link_free(g->cli.link);
	for (i = 0; i < VOTERS; i++)
		wire_free(g->voters[i].wire);
	g_strfreev(g->cli.set.servers);
	tmr_free(g->tmr);
	event_base_free(g->base);
	keyring_free(g->keys);
	fst_free(g->f);
	g_unlink(g->key_path);
	g_free(g->key_path);
	g_free(g);
}

static int rig_drain(struct rig *g)
{
	struct fcm_cmd cmd = {.kind = FCM_DRAIN,
			      .drain = {.name = LSTR("w1"),
					.base = FCM_ANY_BASE}};
	struct fcm_result r;
	int rc = cli_submit(&g->cli, &cmd, &r);

	if (rc == CLI_OK)
		fcm_result_clear(&r);
	return rc;
}

/* The client asks a voter that follows; it goes on to the leader by itself. */
static void the_leader_is_followed(void **state)
{
	struct rig *g = rig_new(FOLLOWS, ANSWERS);

	assert_int_equal(rig_drain(g), CLI_OK);
	assert_int_equal(g->voters[0].asked, 1);
	assert_int_equal(g->voters[1].asked, 1);
	rig_free(g);
}

/*
 * The leader applies a drain and dies before it answers. The client asks the
 * next voter with the same identity and says "accepted" for what was done
 * the first time; the state has changed once.
 */
static void a_lost_answer_is_asked_for_again(void **state)
{
	struct rig *g = rig_new(LOSES_ANSWER, ANSWERS);
	uint64_t version = fst_version(g->f);

	assert_int_equal(rig_drain(g), CLI_OK);
	assert_int_equal(g->voters[0].asked, 1);
	assert_int_equal(g->voters[1].asked, 1);
	assert_int_equal(fst_version(g->f), version + 1);
	rig_free(g);
}

/*
 * Every answer is lost. The drain was done, but the client can't know: it
 * must neither say accepted nor refused, and status tells later.
 */
static void what_cannot_be_known_is_told_as_that(void **state)
{
	struct rig *g = rig_new(LOSES_ANSWER, LOSES_ANSWER);
	struct fst_member m;

	g->cli.set.timeout_s = 1;
	cli_link_free(g->cli.link);
	g->cli.link = cli_link_new(&g->cli.set, g->base, NULL);
	assert_int_equal(rig_drain(g), CLI_UNKNOWN);
	fst_member(g->f, 0, &m);
	assert_true(m.drained);
	rig_free(g);
}

/* Nothing was done, and the client says just that. */
static void without_a_majority_nothing_is_done(void **state)
{
	struct rig *g = rig_new(NO_MAJORITY, NO_MAJORITY);

	g->cli.set.timeout_s = 1;
	cli_link_free(g->cli.link);
	g->cli.link = cli_link_new(&g->cli.set, g->base, NULL);
	assert_int_equal(rig_drain(g), CLI_NOT_DONE);
	rig_free(g);
}

/* The first voter is frozen: it takes the connection and never answers. */
static void a_silent_voter_is_passed_over(void **state)
{
	struct rig *g = rig_new(SILENT, ANSWERS);

	assert_int_equal(rig_drain(g), CLI_OK);
	assert_int_equal(g->voters[1].asked, 1);
	rig_free(g);
}

static void queries_reach_the_state(void **state)
{
	struct rig *g = rig_new(ANSWERS, ANSWERS);
	struct cli_reply reply;
	struct qtb_in t;

	assert_int_equal(cli_ask(&g->cli, "vms", "w1", &t, &reply), CLI_OK);
	assert_int_equal(t.n_rows, 1);
	qtb_read_done(&t);
	cli_reply_clear(&reply);
	assert_int_equal(cli_ask(&g->cli, "status", "none", &t, &reply),
			 CLI_UNKNOWN);
	rig_free(g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_leader_is_followed),
		cmocka_unit_test(a_lost_answer_is_asked_for_again),
		cmocka_unit_test(what_cannot_be_known_is_told_as_that),
		cmocka_unit_test(without_a_majority_nothing_is_done),
		cmocka_unit_test(a_silent_voter_is_passed_over),
		cmocka_unit_test(queries_reach_the_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
