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

/* A fleet state with its log position and the result of the last command. */
struct fixture {
	struct fst *f;
	uint64_t index;
	int64_t now_ms;
	guint n_commands;
	struct fcm_result result;
};

static struct fixture *fixture_new(void)
{
	struct fixture *fx = g_new0(struct fixture, 1);

	fx->f = fst_new();
	fx->now_ms = 1000000;
	return fx;
}

static void fixture_free(struct fixture *fx)
{
	fcm_result_clear(&fx->result);
	fst_free(fx->f);
	g_free(fx);
}

static enum proto_result apply_command(struct fixture *fx, const char *who,
				       enum key_role role,
				       const struct fcm_cmd *cmd)
{
	struct pk_out c;
	struct pk_out e;
	struct pk_out o;

	pk_out_init(&c);
	pk_out_init(&e);
	pk_out_init(&o);
	fcm_encode(cmd, &c);
	fst_entry_pack(&e, fx->now_ms, lstr_from(who), role, pk_out_view(&c));
	fst_apply(fx->f, ++fx->index, pk_out_view(&e), &o);
	fcm_result_clear(&fx->result);
	assert_true(fcm_result_unpack(&fx->result, pk_out_view(&o)));
	pk_out_done(&c);
	pk_out_done(&e);
	pk_out_done(&o);
	return fx->result.code;
}

static enum proto_result apply_new_command(struct fixture *fx, const char *who,
					   struct fcm_cmd *cmd)
{
	char *id = g_strdup_printf("id-%u", ++fx->n_commands);
	enum proto_result code;

	cmd->id = lstr_from(id);
	cmd->made_ms = fx->now_ms;
	code = apply_command(fx, who, KEY_PEER, cmd);
	g_free(id);
	return code;
}

static enum proto_result apply_config(struct fixture *fx, const char *who,
				      uint64_t base, const char *text)
{
	struct fcm_cmd cmd = {
		.kind = FCM_APPLY,
		.apply = {.base = base,
			  .n_files = 1,
			  .files = {{LSTR("base.conf"), lstr_from(text)}}}};

	return apply_new_command(fx, who, &cmd);
}

static enum proto_result begin_move(struct fixture *fx, const char *vm,
				    const char *pool)
{
	struct fcm_cmd cmd = {.kind = FCM_MOVE,
			      .move = {.vm = lstr_from(vm),
				       .pool = lstr_from(pool),
				       .base = FCM_ANY_BASE}};

	return apply_new_command(fx, "anna", &cmd);
}

static enum proto_result apply_move_step(struct fixture *fx, enum fcm_kind kind,
					 const char *vm, uint64_t epoch)
{
	struct fcm_cmd cmd = {.kind = kind,
			      .step = {.vm = lstr_from(vm), .epoch = epoch}};

	return apply_new_command(fx, "ctl", &cmd);
}

static struct fst_member find_vm(const struct fixture *fx, const char *name)
{
	struct fst_member m = {0};
	guint i;

	for (i = 0; i < fst_member_count(fx->f); i++) {
		fst_member(fx->f, i, &m);
		if (strcmp(m.vm, name) == 0)
			return m;
	}
	fail();
	return m;
}

/*
 * Guards against lost updates: two operators edit the same version, and
 * applying the second edit would silently revert the first. The second gets a
 * conflict that names who made the change, when and what; nothing changes.
 */
static void concurrent_config_change_is_a_conflict(void **state)
{
	struct fixture *fx = fixture_new();
	uint64_t version;

	assert_int_equal(apply_config(fx, "anna", 0, base_text), PROTO_OK);
	assert_int_equal(fx->result.number, 1);
	assert_int_equal(apply_config(fx, "anna", 1, base_text), PROTO_OK);
	version = fst_version(fx->f);
	assert_int_equal(apply_config(fx, "ivo", 1, base_text), PROTO_CONFLICT);
	assert_non_null(strstr(fx->result.text,
			       "made from configuration 1, but 2 is in force: "
			       "by anna at 1970-01-01T00:16:40Z: configuration "
			       "base.conf and 0 overlays, made from 1"));
	assert_int_equal(fst_version(fx->f), version);
	fixture_free(fx);
}

/*
 * Guards against applying a command twice: the answer to a drain is lost, an
 * operator undrains the VM, and the client resends the drain. The resend gets
 * the first result and drains nothing. An hour later the command's ID is
 * evicted; the resend gets "outcome unknown" and still drains nothing.
 */
static void resent_command_is_applied_once(void **state)
{
	struct fixture *fx = fixture_new();
	struct fcm_cmd drain = {.kind = FCM_DRAIN,
				.id = LSTR("x"),
				.made_ms = fx->now_ms,
				.drain = {.name = LSTR("w1"),
					  .base = FCM_ANY_BASE}};
	struct fcm_cmd other = drain;
	struct fcm_cmd undrain = {.kind = FCM_UNDRAIN, .drain = drain.drain};
	uint64_t index;

	apply_config(fx, "anna", 0, base_text);
	assert_int_equal(apply_command(fx, "ivo", KEY_OPERATE, &drain),
			 PROTO_OK);
	index = fx->result.index;
	assert_int_equal(apply_new_command(fx, "anna", &undrain), PROTO_OK);
	assert_int_equal(apply_command(fx, "ivo", KEY_OPERATE, &drain),
			 PROTO_OK);
	assert_int_equal(fx->result.index, index);
	assert_false(find_vm(fx, "w1").drained);
	other.drain.name = LSTR("w2");
	assert_int_equal(apply_command(fx, "ivo", KEY_OPERATE, &other),
			 PROTO_REFUSED);
	fx->now_ms += 3600 * 1000;
	assert_int_equal(apply_command(fx, "ivo", KEY_OPERATE, &drain),
			 PROTO_OUTCOME_UNKNOWN);
	assert_false(find_vm(fx, "w1").drained);
	fixture_free(fx);
}

/*
 * Guards against a delayed step: a move is begun, cancelled and begun again,
 * then a leader resumes from a process pause and submits "released" for the
 * first move. An entry daemon may still place work on the VM, so the step must
 * be rejected.
 */
static void step_of_cancelled_move_is_rejected(void **state)
{
	struct fixture *fx = fixture_new();
	uint64_t first;

	apply_config(fx, "anna", 0, base_text);
	assert_int_equal(begin_move(fx, "w1", "draft"), PROTO_OK);
	first = find_vm(fx, "w1").epoch;
	assert_int_equal(apply_move_step(fx, FCM_MOVED, "w1", first),
			 PROTO_REFUSED);
	assert_int_equal(begin_move(fx, "w1", "check"), PROTO_OK);
	assert_int_equal(begin_move(fx, "w1", "draft"), PROTO_OK);
	assert_int_equal(apply_move_step(fx, FCM_RELEASED, "w1", first),
			 PROTO_CONFLICT);
	assert_int_equal(find_vm(fx, "w1").phase, FST_RELEASING);
	assert_string_equal(find_vm(fx, "w1").pool, "check");
	assert_int_equal(apply_move_step(fx, FCM_RELEASED, "w1",
					 find_vm(fx, "w1").epoch),
			 PROTO_OK);
	assert_int_equal(apply_move_step(fx, FCM_MOVED, "w1",
					 find_vm(fx, "w1").epoch),
			 PROTO_OK);
	assert_string_equal(find_vm(fx, "w1").pool, "draft");
	fixture_free(fx);
}

/*
 * Guards against reverting an operator's move of w1: a configuration is
 * applied whose line for w1 is unchanged and names the old pool.
 */
static void unchanged_config_line_keeps_manual_move(void **state)
{
	struct fixture *fx = fixture_new();

	apply_config(fx, "anna", 0, base_text);
	begin_move(fx, "w1", "draft");
	apply_move_step(fx, FCM_RELEASED, "w1", find_vm(fx, "w1").epoch);
	apply_move_step(fx, FCM_MOVED, "w1", find_vm(fx, "w1").epoch);
	assert_int_equal(apply_config(fx, "ivo", 1, base_text), PROTO_OK);
	assert_string_equal(find_vm(fx, "w1").pool, "draft");
	assert_null(find_vm(fx, "w1").to);
	fixture_free(fx);
}

static void roles_are_enforced(void **state)
{
	struct fixture *fx = fixture_new();
	struct fcm_cmd cmd = {.kind = FCM_PRIORITY,
			      .id = LSTR("p"),
			      .made_ms = fx->now_ms,
			      .priority = {.pool = LSTR("check"),
					   .priority = 99}};

	apply_config(fx, "anna", 0, base_text);
	assert_int_equal(apply_command(fx, "ivo", KEY_OPERATE, &cmd),
			 PROTO_FORBIDDEN);
	assert_int_equal(apply_command(fx, "mara", KEY_DUTY, &cmd), PROTO_OK);
	assert_int_equal(fst_priority(fx->f, "check"), 99);
	fixture_free(fx);
}

static void view_matches_applied_config(void **state)
{
	struct fixture *fx = fixture_new();
	struct pk_out o;
	struct fvw *v;
	GError *err = NULL;

	apply_config(fx, "anna", 0, base_text);
	begin_move(fx, "w1", "draft");
	pk_out_init(&o);
	fst_view(fx->f, &o);
	v = fvw_unpack(pk_out_view(&o), &err);
	assert_non_null(v);
	assert_int_equal(v->version, fst_version(fx->f));
	assert_int_equal(v->vms->len, 3);
	assert_true(fvw_vm(v, LSTR("w1"))->drained);
	assert_string_equal(g_array_index(v->pools, struct fvw_pool,
					  fvw_vm(v, LSTR("w1"))->pool)
				    .name,
			    "check");
	assert_int_equal(fvw_pool_for_service(v, LSTR("c"))->slots, 8);
	fvw_free(v);
	pk_out_done(&o);
	fixture_free(fx);
}

static void snapshot_restores_same_state(void **state)
{
	struct fixture *fx = fixture_new();
	struct fst *other = fst_new();
	struct pk_out a;
	struct pk_out b;
	GError *err = NULL;

	apply_config(fx, "anna", 0, base_text);
	begin_move(fx, "w1", "draft");
	pk_out_init(&a);
	pk_out_init(&b);
	fst_snapshot(fx->f, &a);
	assert_true(fst_restore(other, pk_out_view(&a), &err));
	fst_snapshot(other, &b);
	assert_true(lstr_eq(pk_out_view(&a), pk_out_view(&b)));
	a.buf.size--;
	assert_false(fst_restore(other, pk_out_view(&a), &err));
	assert_true(g_error_matches(err, ERR_DOMAIN, ERR_CORRUPT));
	assert_int_equal(fst_index(other), fst_index(fx->f));
	g_clear_error(&err);
	pk_out_done(&a);
	pk_out_done(&b);
	fst_free(other);
	fixture_free(fx);
}

static void every_query_returns_a_table(void **state)
{
	static const char *const names[] = {"config", "history", "show",
					    "audit",  "vms",	 "moves",
					    "pools",  "drains",	 "status"};
	struct fixture *fx = fixture_new();
	size_t i;

	apply_config(fx, "anna", 0, base_text);
	begin_move(fx, "w1", "draft");
	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		struct pk_out o;
		struct qtb_in t;

		pk_out_init(&o);
		fst_query(fx->f, lstr_from(names[i]),
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
	fixture_free(fx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(concurrent_config_change_is_a_conflict),
		cmocka_unit_test(resent_command_is_applied_once),
		cmocka_unit_test(step_of_cancelled_move_is_rejected),
		cmocka_unit_test(unchanged_config_line_keeps_manual_move),
		cmocka_unit_test(roles_are_enforced),
		cmocka_unit_test(view_matches_applied_config),
		cmocka_unit_test(snapshot_restores_same_state),
		cmocka_unit_test(every_query_returns_a_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
