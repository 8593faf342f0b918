#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "hub_int.h"
#include "net.h"

#define WAIT_MS 20000
/* Commands of half a megabyte: together more than the log takes at once. */
#define COMMANDS 30
#define COMMAND_BYTES (512u << 10)
/* Longest entry: what several commands may have, and their array's head. */
#define ENTRY_MAX ((1u << 20) + 16)

/* A leader with a log of its own, as the only replica. */
struct rig {
	struct hub h;
	struct event_base *base;
	struct keyring *keys;
	char *data;
	char *seeds[2];
	size_t longest; /* entry, bytes */
	int applied; /* commands */
	int resumed; /* calls */
	int early; /* calls that were resumed before their command was stored */
};

static void on_apply(void *arg, uint64_t index, struct lstr cmd)
{
	struct rig *r = arg;
	struct pk_in in;

	assert_true(pk_in_init(&in, cmd));
	r->applied += (int)pk_in_left(&in);
	r->longest = MAX(r->longest, cmd.len);
	pk_in_done(&in);
	hub_log_applied(&r->h, index);
}

static bool on_restore(void *arg, struct lstr snap)
{
	return true;
}

static void on_snapshot(void *arg, struct pk_out *o)
{
	pk_arr(o, 0);
}

static void on_lead(void *arg, bool leading, uint64_t term)
{
	((struct rig *)arg)->h.leading = leading;
}

static void on_read_done(void *arg, uint64_t tag, bool ok)
{
}

static void on_message(void *arg, struct wire_conn *conn, uint64_t kind,
		       struct pk_in *in)
{
}

static void on_closed(void *arg, struct wire_conn *conn)
{
}

static const struct rep_ops rep_ops = {
	.apply = on_apply,
	.restore = on_restore,
	.snapshot = on_snapshot,
	.leadership_changed = on_lead,
	.read_done = on_read_done,
	.message = on_message,
	.closed = on_closed,
};

static int setup(void **state)
{
	struct rig *r = g_new0(struct rig, 1);
	struct hub *h = &r->h;
	int port;
	int ms;

	close(net_listen(&port));
	r->seeds[0] = g_strdup_printf("127.0.0.1:%d", port);
	r->data = g_dir_make_tmp("endive-log-XXXXXX", NULL);
	r->base = event_base_new();
	r->keys = keyring_open_network();
	h->tmr = tmr_new(r->base);
	h->calls = g_hash_table_new(NULL, NULL);
	hub_log_init(h);
	h->rep = rep_new(&(struct rep_config){.base = r->base,
					      .tmr = h->tmr,
					      .keys = r->keys,
					      .node = "n",
					      .zone = "z",
					      .addr = r->seeds[0],
					      .data = r->data,
					      .seeds = r->seeds,
					      .bootstrap = true,
					      .voters = vtp_find("odd"),
					      .voters_min = 1},
			 &rep_ops, r, NULL);
	assert_non_null(h->rep);
	for (ms = 0; ms < WAIT_MS && !h->leading; ms++)
		net_run(r->base, 1);
	assert_true(h->leading);
	*state = r;
	return 0;
}

static int teardown(void **state)
{
	struct rig *r = *state;
	struct hub *h = &r->h;
	GDir *dir;
	const char *name;

	rep_free(h->rep);
	hub_log_free(h);
	g_hash_table_destroy(h->calls);
	tmr_cancel(h->tmr, h->flush_timer);
	tmr_free(h->tmr);
	keyring_free(r->keys);
	event_base_free(r->base);
	dir = g_dir_open(r->data, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		char *file = g_build_filename(r->data, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
	g_rmdir(r->data);
	g_free(r->data);
	g_free(r->seeds[0]);
	g_free(r);
	return 0;
}

/* A call is resumed: the commands up to its own are stored. */
static void resume(struct hub *h, struct hub_call *c)
{
	struct rig *r = (struct rig *)h;

	r->resumed++;
	r->early += r->applied < r->resumed;
	hub_answer_status(h, c, 200);
}

/*
 * Guards against a log that stores nothing any more, as one entry is longer than
 * a message or all commands together are more than the log takes, and against a
 * call that is answered before its command is stored, or never.
 */
static void many_long_commands_are_stored(void **state)
{
	struct rig *r = *state;
	char *text = g_malloc0(COMMAND_BYTES);
	int i;

	for (i = 0; i < COMMANDS; i++) {
		pk_str(hub_append_command(&r->h), lstr_n(text, COMMAND_BYTES));
		hub_commit(&r->h, hub_call_new(&r->h, HUB_FROM_ENTRY), resume);
	}
	for (i = 0; i < WAIT_MS && r->resumed < COMMANDS; i++)
		net_run(r->base, 1);
	assert_int_equal(r->applied, COMMANDS);
	assert_int_equal(r->resumed, COMMANDS);
	assert_int_equal(r->early, 0);
	assert_true(r->longest <= ENTRY_MAX);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(many_long_commands_are_stored,
						setup, teardown),
	};

	return cmocka_run_group_tests_name("hub_log", tests, NULL, NULL);
}
