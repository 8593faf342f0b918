#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "err.h"
#include "fcm.h"
#include "fst.h"
#include "qtb.h"

static const char base_text[] =
	"[fleet]\nname = f\n[site s]\nzones = a b\n"
	"[size std]\ncores = 16\nmemory = 64G\n"
	"[pool check]\nservice = c\ncapacity = 2\n"
	"[pool draft]\nservice = d\ncapacity = 1\n"
	"[rack r1]\nzone = a\nvm.w1 = check std\nvm.w2 = check std\n"
	"[rack r2]\nzone = b\nvm.w3 = draft std\n";

/* A state with a log of its own, and the result of the last command. */
struct rig {
	struct fst *f;
	uint64_t index;
	int64_t now_ms;
	guint made;
	struct fcm_result result;
};

static struct rig *rig_new(void)
{
	struct rig *g = g_new0(struct rig, 1);

	g->f = fst_new();
	g->now_ms = 1000000;
	return g;
}

static void rig_free(struct rig *g)
{
	fcm_result_clear(&g->result);
	fst_free(g->f);
	g_free(g);
}

static enum proto_result rig_send(struct rig *g, const char *who,
				  enum key_role role, const struct fcm_cmd *cmd)
{
	struct pk_out c;
	struct pk_out e;
	struct pk_out o;

	pk_out_init(&c);
	pk_out_init(&e);
	pk_out_init(&o);
	fcm_encode(cmd, &c);
	fst_entry_pack(&e, g->now_ms, lstr_from(who), role, pk_out_view(&c));
	fst_apply(g->f, ++g->index, pk_out_view(&e), &o);
	fcm_result_clear(&g->result);
	assert_true(fcm_result_unpack(&g->result, pk_out_view(&o)));
	pk_out_done(&c);
	pk_out_done(&e);
	pk_out_done(&o);
	return g->result.code;
}

static enum proto_result rig_do(struct rig *g, const char *who,
				struct fcm_cmd *cmd)
{
	char *id = g_strdup_printf("id-%u", ++g->made);
	enum proto_result code;

	cmd->id = lstr_from(id);
	cmd->made_ms = g->now_ms;
	code = rig_send(g, who, KEY_PEER, cmd);
	g_free(id);
	return code;
}

static enum proto_result rig_apply(struct rig *g, const char *who,
				   uint64_t base, const char *text)
{
	struct fcm_cmd cmd = {
		.kind = FCM_APPLY,
		.apply = {.base = base,
			  .n_files = 1,
			  .files = {{LSTR("base.conf"), lstr_from(text)}}}};

	return rig_do(g, who, &cmd);
}

static enum proto_result rig_move(struct rig *g, const char *vm,
				  const char *pool)
{
	struct fcm_cmd cmd = {.kind = FCM_MOVE,
			      .move = {.vm = lstr_from(vm),
				       .pool = lstr_from(pool),
				       .base = FCM_ANY_BASE}};

	return rig_do(g, "anna", &cmd);
}

static enum proto_result rig_step(struct rig *g, enum fcm_kind kind,
				  const char *vm, uint64_t epoch)
{
	struct fcm_cmd cmd = {.kind = kind,
			      .step = {.vm = lstr_from(vm), .epoch = epoch}};

	return rig_do(g, "ctl", &cmd);
}

static struct fst_member rig_vm(const struct rig *g, const char *name)
{
	struct fst_member m = {0};
	guint i;

	for (i = 0; i < fst_members(g->f); i++) {
		fst_member(g->f, i, &m);
		if (strcmp(m.vm, name) == 0)
			return m;
	}
	fail();
	return m;
}

/*
 * Two operators edit the same version. The first one's change is in force
 * when the second one's comes; taken in, it would undo the first without a
 * word. The second is told who, when and what, and nothing changes.
 */
static void second_of_two_operators_gets_a_conflict(void **state)
{
	struct rig *g = rig_new();
	uint64_t version;

	assert_int_equal(rig_apply(g, "anna", 0, base_text), PROTO_OK);
	assert_int_equal(g->result.number, 1);
	assert_int_equal(rig_apply(g, "anna", 1, base_text), PROTO_OK);
	version = fst_version(g->f);
	assert_int_equal(rig_apply(g, "ivo", 1, base_text), PROTO_CONFLICT);
	assert_non_null(strstr(g->result.text,
			       "made from configuration 1, but 2 is in force: "
			       "by anna at 1970-01-01T00:16:40Z: configuration "
			       "base.conf and 0 overlays, made from 1"));
	assert_int_equal(fst_version(g->f), version);
	rig_free(g);
}

/*
 * The answer to a drain is lost and the client sends it again, through
 * another voter; meanwhile somebody undrained. The resend gets the first
 * one's result and drains nothing. An hour later its identity is forgotten:
 * it is still not applied, and the operator is told that nobody knows.
 */
static void resends_take_effect_once(void **state)
{
	struct rig *g = rig_new();
	struct fcm_cmd drain = {.kind = FCM_DRAIN,
				.id = LSTR("x"),
				.made_ms = g->now_ms,
				.drain = {.name = LSTR("w1"),
					  .base = FCM_ANY_BASE}};
	struct fcm_cmd other = drain;
	struct fcm_cmd undrain = {.kind = FCM_UNDRAIN, .drain = drain.drain};
	uint64_t index;

	rig_apply(g, "anna", 0, base_text);
	assert_int_equal(rig_send(g, "ivo", KEY_OPERATE, &drain), PROTO_OK);
	index = g->result.index;
	assert_int_equal(rig_do(g, "anna", &undrain), PROTO_OK);
	assert_int_equal(rig_send(g, "ivo", KEY_OPERATE, &drain), PROTO_OK);
	assert_int_equal(g->result.index, index);
	assert_false(rig_vm(g, "w1").drained);
	other.drain.name = LSTR("w2");
	assert_int_equal(rig_send(g, "ivo", KEY_OPERATE, &other),
			 PROTO_REFUSED);
	g->now_ms += 3600 * 1000;
	assert_int_equal(rig_send(g, "ivo", KEY_OPERATE, &drain),
			 PROTO_OUTCOME_UNKNOWN);
	assert_false(rig_vm(g, "w1").drained);
	rig_free(g);
}

/*
 * A move is begun, called off and begun anew to another pool. A leader that
 * was frozen since the first wakes up and says "released" for that one. An
 * entry daemon may still place on the VM: the old word must not count.
 */
static void word_of_an_older_move_releases_nothing(void **state)
{
	struct rig *g = rig_new();
	uint64_t first;

	rig_apply(g, "anna", 0, base_text);
	assert_int_equal(rig_move(g, "w1", "draft"), PROTO_OK);
	first = rig_vm(g, "w1").epoch;
	assert_int_equal(rig_step(g, FCM_MOVED, "w1", first), PROTO_REFUSED);
	assert_int_equal(rig_move(g, "w1", "check"), PROTO_OK);
	assert_int_equal(rig_move(g, "w1", "draft"), PROTO_OK);
	assert_int_equal(rig_step(g, FCM_RELEASED, "w1", first),
			 PROTO_CONFLICT);
	assert_int_equal(rig_vm(g, "w1").phase, FST_RELEASING);
	assert_string_equal(rig_vm(g, "w1").pool, "check");
	assert_int_equal(rig_step(g, FCM_RELEASED, "w1", rig_vm(g, "w1").epoch),
			 PROTO_OK);
	assert_int_equal(rig_step(g, FCM_MOVED, "w1", rig_vm(g, "w1").epoch),
			 PROTO_OK);
	assert_string_equal(rig_vm(g, "w1").pool, "draft");
	rig_free(g);
}

/*
 * An operator moved w1; later somebody applies a file whose line for w1 is
 * as it ever was. The move must not be taken back by that.
 */
static void an_unchanged_line_takes_no_move_back(void **state)
{
	struct rig *g = rig_new();

	rig_apply(g, "anna", 0, base_text);
	rig_move(g, "w1", "draft");
	rig_step(g, FCM_RELEASED, "w1", rig_vm(g, "w1").epoch);
	rig_step(g, FCM_MOVED, "w1", rig_vm(g, "w1").epoch);
	assert_int_equal(rig_apply(g, "ivo", 1, base_text), PROTO_OK);
	assert_string_equal(rig_vm(g, "w1").pool, "draft");
	assert_null(rig_vm(g, "w1").to);
	rig_free(g);
}

static void roles_are_kept(void **state)
{
	struct rig *g = rig_new();
	struct fcm_cmd cmd = {.kind = FCM_PRIORITY,
			      .id = LSTR("p"),
			      .made_ms = g->now_ms,
			      .priority = {.pool = LSTR("check"),
					   .priority = 99}};

	rig_apply(g, "anna", 0, base_text);
	assert_int_equal(rig_send(g, "ivo", KEY_OPERATE, &cmd),
			 PROTO_FORBIDDEN);
	assert_int_equal(rig_send(g, "mara", KEY_DUTY, &cmd), PROTO_OK);
	assert_int_equal(fst_priority(g->f, "check"), 99);
	rig_free(g);
}

static void the_view_is_what_was_applied(void **state)
{
	struct rig *g = rig_new();
	struct pk_out o;
	struct fvw *v;
	GError *err = NULL;

	rig_apply(g, "anna", 0, base_text);
	rig_move(g, "w1", "draft");
	pk_out_init(&o);
	fst_view(g->f, &o);
	v = fvw_unpack(pk_out_view(&o), &err);
	assert_non_null(v);
	assert_int_equal(v->version, fst_version(g->f));
	assert_int_equal(v->vms->len, 3);
	assert_true(fvw_vm(v, LSTR("w1"))->drained);
	assert_string_equal(g_array_index(v->pools, struct fvw_pool,
					  fvw_vm(v, LSTR("w1"))->pool)
				    .name,
			    "check");
	assert_int_equal(fvw_service(v, LSTR("c"))->slots, 8);
	fvw_free(v);
	pk_out_done(&o);
	rig_free(g);
}

static void a_snapshot_gives_the_same_state(void **state)
{
	struct rig *g = rig_new();
	struct fst *other = fst_new();
	struct pk_out a;
	struct pk_out b;
	GError *err = NULL;

	rig_apply(g, "anna", 0, base_text);
	rig_move(g, "w1", "draft");
	pk_out_init(&a);
	pk_out_init(&b);
	fst_snapshot(g->f, &a);
	assert_true(fst_restore(other, pk_out_view(&a), &err));
	fst_snapshot(other, &b);
	assert_true(lstr_eq(pk_out_view(&a), pk_out_view(&b)));
	a.buf.size--;
	assert_false(fst_restore(other, pk_out_view(&a), &err));
	assert_true(g_error_matches(err, ERR_DOMAIN, ERR_CORRUPT));
	assert_int_equal(fst_index(other), fst_index(g->f));
	g_clear_error(&err);
	pk_out_done(&a);
	pk_out_done(&b);
	fst_free(other);
	rig_free(g);
}

static void queries_are_tables(void **state)
{
	static const char *const names[] = {"config", "history", "show",
					    "audit",  "vms",	 "moves",
					    "pools",  "drains",	 "status"};
	struct rig *g = rig_new();
	size_t i;

	rig_apply(g, "anna", 0, base_text);
	rig_move(g, "w1", "draft");
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct pk_out o;
		struct qtb_in t;

		pk_out_init(&o);
		fst_query(g->f, lstr_from(names[i]),
			  strcmp(names[i], "status") ? LSTR("") : LSTR("id-2"),
			  &o);
		assert_true(qtb_read(&t, pk_out_view(&o)));
		assert_int_equal(t.code, PROTO_OK);
		if (strcmp(names[i], "drains") != 0)
			assert_true(t.n_rows > 0);
		if (strcmp(names[i], "moves") == 0)
			assert_true(lstr_eq(qtb_cell(&t, 0, "to")->str,
					    LSTR("draft")));
		qtb_read_done(&t);
		pk_out_done(&o);
	}
	rig_free(g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(second_of_two_operators_gets_a_conflict),
		cmocka_unit_test(resends_take_effect_once),
		cmocka_unit_test(word_of_an_older_move_releases_nothing),
		cmocka_unit_test(an_unchanged_line_takes_no_move_back),
		cmocka_unit_test(roles_are_kept),
		cmocka_unit_test(the_view_is_what_was_applied),
		cmocka_unit_test(a_snapshot_gives_the_same_state),
		cmocka_unit_test(queries_are_tables),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
