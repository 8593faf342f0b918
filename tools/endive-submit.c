#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "fcm.h"
#include "key.h"
#include "qtb.h"
#include "set.h"
#include "tmr.h"
#include "wire.h"

/*
 * Submits notes to the voters, several at a time, and sends each again until
 * it is accepted; or asks one query. For tests and measurements; the
 * operators' client is endivectl.
 */

/* A voter that doesn't answer for so long is left for the next one, ms. */
#define SUBMIT_TRY_MS 1000
/* One that doesn't take the connection, sooner, ms. */
#define SUBMIT_DIAL_MS 100
#define SUBMIT_TICK_MS 20

struct submit {
	struct event_base *base;
	struct tmr *tmr;
	struct wire *wire;
	char **voters;
	char *prefix;
	char *query;
	long long count;
	long long window;
	long long timeout_ms;
	int64_t made_ms; /* the same in each sending of a command */
	size_t at; /* voter that is asked */
	char *leader;
	struct wire_conn *conn;
	int64_t heard_ms;
	int64_t retry_ms; /* when to ask on; 0: not waiting */
	long long sent; /* commands up to here are on their way */
	long long accepted;
	bool *done;
	bool over;
	int rc;
};

static void submit_up(void *arg, struct wire_conn *c);
static void submit_recv(void *arg, struct wire_conn *c, struct lstr payload);
static void submit_down(void *arg, struct wire_conn *c, const GError *why);

static const struct wire_ops submit_ops = {
	.up = submit_up,
	.recv = submit_recv,
	.down = submit_down,
};

static void submit_end(struct submit *s, int rc)
{
	s->over = true;
	s->rc = rc;
	event_base_loopbreak(s->base);
}

static void submit_dial(struct submit *s)
{
	if (s->conn)
		wire_close(s->conn);
	s->conn = wire_dial(s->wire, s->leader ? s->leader : s->voters[s->at],
			    &submit_ops, s);
	if (!s->leader)
		s->at = s->voters[s->at + 1] ? s->at + 1 : 0;
	g_free(s->leader);
	s->leader = NULL;
	s->heard_ms = tmr_now(s->tmr);
	s->retry_ms = 0;
}

static void submit_send(struct submit *s, long long i)
{
	char id[FCM_ID_MAX];
	struct fcm_cmd cmd = {.kind = FCM_NOTE};
	struct pk_out body;
	struct pk_out o;

	g_snprintf(id, sizeof(id), "%s-%lld", s->prefix, i);
	cmd.id = lstr_from(id);
	cmd.made_ms = s->made_ms;
	cmd.note.text = lstr_from(id);
	pk_out_init(&body);
	fcm_encode(&cmd, &body);
	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_SUBMIT);
	pk_u(&o, (uint64_t)i);
	pk_str(&o, pk_out_view(&body));
	wire_send(s->conn, pk_out_view(&o));
	pk_out_done(&body);
	pk_out_done(&o);
}

static void submit_fill(struct submit *s)
{
	while (s->sent < s->count && s->sent - s->accepted < s->window)
		submit_send(s, s->sent++);
}

static void submit_up(void *arg, struct wire_conn *c)
{
	struct submit *s = arg;
	struct pk_out o;
	long long i;

	s->heard_ms = tmr_now(s->tmr);
	if (*s->query) {
		pk_out_init(&o);
		pk_arr(&o, 4);
		pk_u(&o, PROTO_QUERY);
		pk_u(&o, 0);
		pk_cstr(&o, s->query);
		pk_cstr(&o, "");
		wire_send(c, pk_out_view(&o));
		pk_out_done(&o);
		return;
	}
	for (i = 0; i < s->sent; i++)
		if (!s->done[i])
			submit_send(s, i);
	submit_fill(s);
}

static void submit_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct submit *s = arg;

	if (!s->retry_ms)
		s->retry_ms = tmr_now(s->tmr) + 50;
}

static void submit_table(struct submit *s, struct lstr bytes)
{
	struct qtb_in t;
	guint r;
	guint k;

	if (!qtb_read(&t, bytes)) {
		submit_end(s, 1);
		return;
	}
	for (r = 0; r < t.n_rows; r++) {
		for (k = 0; k < t.n_cols; k++) {
			const struct qtb_cell *cell =
				&t.cells[r * t.n_cols + k];

			if (cell->type == QTB_STR)
				printf(LSTR_FMT "\t", LSTR_ARG(cell->str));
			else
				printf("%lld\t", (long long)cell->num);
		}
		printf("\n");
	}
	qtb_read_done(&t);
	submit_end(s, 0);
}

static void submit_recv(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct submit *s = arg;
	struct pk_in in;
	uint64_t no;
	uint64_t code;
	struct lstr bytes;
	struct lstr leader;

	if (!pk_in_init(&in, payload))
		return;
	pk_get_u(&in);
	no = pk_get_u(&in);
	code = pk_get_u(&in);
	bytes = pk_get_str(&in);
	leader = pk_get_str(&in);
	s->heard_ms = tmr_now(s->tmr);
	if (code == PROTO_OK && *s->query) {
		submit_table(s, bytes);
	} else if (code == PROTO_OK && no < (uint64_t)s->sent) {
		s->accepted += !s->done[no];
		s->done[no] = true;
		if (s->accepted == s->count)
			submit_end(s, 0);
		else
			submit_fill(s);
	} else if (code == PROTO_NOT_LEADER || code == PROTO_NO_QUORUM ||
		   code == PROTO_OUTCOME_UNKNOWN) {
		g_free(s->leader);
		s->leader = leader.len ? lstr_dup(leader) : NULL;
		if (!s->retry_ms)
			s->retry_ms = tmr_now(s->tmr) + (s->leader ? 1 : 50);
	} else {
		fprintf(stderr, "endive-submit: code %d\n", (int)code);
		submit_end(s, 1);
	}
	pk_in_done(&in);
}

static void submit_tick(void *arg, int64_t now)
{
	struct submit *s = arg;
	int64_t patience = wire_is_up(s->conn) ? SUBMIT_TRY_MS : SUBMIT_DIAL_MS;

	if ((s->retry_ms && now >= s->retry_ms) || now - s->heard_ms > patience)
		submit_dial(s);
}

static void submit_late(void *arg, int64_t now)
{
	struct submit *s = arg;

	fprintf(stderr, "endive-submit: %lld of %lld accepted in time\n",
		s->accepted, s->count);
	submit_end(s, 1);
}

int main(int argc, char **argv)
{
	struct submit s = {0};
	char *key_path = NULL;
	const struct set_def defs[] = {
		{"keys", SET_FILE, &key_path, NULL, 0, 0, NULL, "Key file"},
		{"voters", SET_ADDRS, &s.voters, NULL, 0, 0, NULL, "Voters"},
		{"prefix", SET_NAME, &s.prefix, "note", 0, 0, NULL,
		 "Of the commands' identities"},
		{"count", SET_INT, &s.count, "1", 1, 10000000, NULL,
		 "Commands"},
		{"window", SET_INT, &s.window, "1", 1, 10000, NULL,
		 "Commands on their way at once"},
		{"timeout-ms", SET_INT, &s.timeout_ms, "20000", 1, 3600000,
		 NULL, "For all of them"},
		{"query", SET_STR, &s.query, "", 0, 0, NULL, "Ask this query"},
	};
	GError *err = NULL;
	struct keyring *keys;
	int64_t began;
	int rc = set_parse("endive-submit", "Submits notes to the voters.",
			   defs, G_N_ELEMENTS(defs), &argc, &argv);

	if (rc >= 0)
		return rc;
	keys = keyring_load(key_path, &err);
	if (!keys) {
		fprintf(stderr, "endive-submit: %s\n", err->message);
		return SET_EXIT_USAGE;
	}
	if (!s.query)
		s.query = g_strdup("");
	s.done = g_new0(bool, s.count);
	s.base = event_base_new();
	s.tmr = tmr_new(s.base);
	s.wire = wire_new(&(struct wire_config){.base = s.base,
						.tmr = s.tmr,
						.keys = keys,
						.node = "submit",
						.zone = "test",
						.silence_ms = 2000});
	s.made_ms = g_get_real_time() / 1000;
	began = tmr_now(s.tmr);
	submit_dial(&s);
	tmr_every(s.tmr, SUBMIT_TICK_MS, submit_tick, &s);
	tmr_once(s.tmr, s.timeout_ms, submit_late, &s);
	event_base_dispatch(s.base);
	if (!*s.query)
		printf("accepted %lld in %lld ms\n", s.accepted,
		       (long long)(tmr_now(s.tmr) - began));
	wire_free(s.wire);
	tmr_free(s.tmr);
	event_base_free(s.base);
	keyring_free(keys);
	g_free(s.done);
	g_free(s.query);
	g_free(s.prefix);
	g_free(s.leader);
	g_free(key_path);
	g_strfreev(s.voters);
	return s.rc;
}
