#include "cli.h"

#include <event2/event.h>
#include <stdio.h>
#include <unistd.h>

#include "tmr.h"
#include "wire.h"

/* How long one voter gets to answer before the next one is asked, ms. */
#define CLI_TRY_MS 2000
/* How long it gets to take the connection, ms. */
#define CLI_DIAL_MS 1000
/* Pause before voters are asked again that can't answer now, ms. */
#define CLI_PAUSE_MS 100
#define CLI_TICK_MS 20
#define CLI_SILENCE_MS 2000

/*
 * One request at a time to whichever voter answers. The callbacks only note
 * what happened; what follows is decided outside of them.
 */
struct cli_link {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	struct wire *wire;
	char *node;
	char **servers;
	guint next; /* server asked when no leader is known */
	char *leader; /* address a voter told; NULL: none */
	struct wire_conn *conn;
	int64_t timeout_ms;
	uint64_t request;
	int64_t dialled_ms;
	int64_t sent_ms; /* 0: not sent on this connection */
	bool lost; /* the connection went down */
	struct cli_reply *reply; /* of the request under way */
	bool done;
};

static void cli_on_up(void *arg, struct wire_conn *c);
static void cli_on_msg(void *arg, struct wire_conn *c, struct lstr payload);
static void cli_on_down(void *arg, struct wire_conn *c, const GError *why);
static void cli_on_tick(void *arg, int64_t now);
static void cli_link_call(struct cli_link *l, struct pk_out *payload,
			  struct cli_reply *out);
static void cli_link_dial(struct cli_link *l);
static void cli_link_leave(struct cli_link *l);
static bool cli_link_stalled(const struct cli_link *l);
static bool cli_link_answered(struct cli_link *l);

static const struct wire_ops cli_wire_ops = {
	.up = cli_on_up,
	.recv = cli_on_msg,
	.down = cli_on_down,
};

/*
 * A link to the voters of the settings over a loop that outlives it; NULL
 * where the keys can't be read.
 */
struct cli_link *cli_link_new(const struct cli_settings *set,
			      struct event_base *base, GError **err)
{
	struct keyring *keys = set->open_network ? keyring_open_network()
						 : keyring_load(set->keys, err);
	struct cli_link *l;

	if (!keys)
		return NULL;
	l = g_new0(struct cli_link, 1);
	l->keys = keys;
	l->base = base;
	l->tmr = tmr_new(l->base);
	l->node = g_strdup_printf("endivectl-%d", (int)getpid());
	l->servers = set->servers;
	l->timeout_ms = set->timeout_s * 1000;
	l->wire = wire_new(&(struct wire_config){.base = l->base,
						 .tmr = l->tmr,
						 .keys = keys,
						 .node = l->node,
						 .zone = "operator",
						 .silence_ms = CLI_SILENCE_MS});
	tmr_every(l->tmr, CLI_TICK_MS, cli_on_tick, l);
	return l;
}

/* Ends the link; NULL is allowed. */
void cli_link_free(struct cli_link *l)
{
	if (!l)
		return;
	wire_free(l->wire);
	tmr_free(l->tmr);
	keyring_free(l->keys);
	g_free(l->leader);
	g_free(l->node);
	g_free(l);
}

/* Time for the client's own waits, ms. */
int64_t cli_link_now(const struct cli_link *l)
{
	return tmr_now(l->tmr);
}

/* Waits while the link stays alive. */
void cli_link_wait(struct cli_link *l, int64_t ms)
{
	int64_t until = tmr_now(l->tmr) + ms;

	while (tmr_now(l->tmr) < until)
		event_base_loop(l->base, EVLOOP_ONCE);
}

static void cli_on_tick(void *arg, int64_t now)
{
	/* Its coming ends the loop's wait; see cli_link_wait. */
}

static void cli_on_up(void *arg, struct wire_conn *c)
{
	/* The request is sent from cli_link_call. */
}

static void cli_on_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct cli_link *l = arg;

	l->lost = true;
}

static void cli_on_msg(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct cli_link *l = arg;
	struct pk_in in;
	uint64_t kind;
	uint64_t request;
	uint64_t code;
	struct lstr bytes;
	struct lstr leader;

	if (!pk_in_init(&in, payload))
		return;
	kind = pk_get_u(&in);
	request = pk_get_u(&in);
	code = pk_get_u(&in);
	bytes = pk_get_str(&in);
	leader = pk_get_str(&in);
	if (l->reply && pk_in_ok(&in) && kind == PROTO_RESULT &&
	    request == l->request && code <= PROTO_FORBIDDEN) {
		cli_reply_clear(l->reply);
		l->reply->code = (enum proto_result)code;
		l->reply->bytes = g_bytes_new(bytes.p, bytes.len);
		l->reply->answered = true;
		g_free(l->leader);
		l->leader = leader.len ? lstr_dup(leader) : NULL;
		l->done = true;
	}
	pk_in_done(&in);
}

/* Asks a query and follows the leader until it is answered or time is up. */
void cli_link_query(struct cli_link *l, const char *name, const char *arg,
		    struct cli_reply *out)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 4);
	pk_u(&o, PROTO_QUERY);
	pk_u(&o, ++l->request);
	pk_cstr(&o, name);
	pk_cstr(&o, arg);
	cli_link_call(l, &o, out);
	pk_out_done(&o);
}

/*
 * Submits a command. The same bytes, with the same identity, go out again
 * after a lost answer, also to another voter: they take effect once.
 */
void cli_link_submit(struct cli_link *l, struct lstr cmd, struct cli_reply *out)
{
	struct pk_out o;

	pk_out_init(&o);
	pk_arr(&o, 3);
	pk_u(&o, PROTO_SUBMIT);
	pk_u(&o, ++l->request);
	pk_str(&o, cmd);
	cli_link_call(l, &o, out);
	pk_out_done(&o);
}

static void cli_link_call(struct cli_link *l, struct pk_out *payload,
			  struct cli_reply *out)
{
	int64_t deadline = tmr_now(l->tmr) + l->timeout_ms;

	*out = (struct cli_reply){0};
	l->reply = out;
	l->done = false;
	l->sent_ms = 0;
	while (tmr_now(l->tmr) < deadline) {
		if (!l->conn)
			cli_link_dial(l);
		if (l->sent_ms == 0 && wire_is_up(l->conn) &&
		    wire_send(l->conn, pk_out_view(payload)))
			l->sent_ms = tmr_now(l->tmr);
		event_base_loop(l->base, EVLOOP_ONCE);
		if (l->done && cli_link_answered(l))
			break;
		if (l->conn && cli_link_stalled(l)) {
			/* Sent and not answered: it may have been done. */
			out->maybe = out->maybe || l->sent_ms != 0;
			cli_link_leave(l);
		}
	}
	out->maybe = out->maybe || (l->sent_ms != 0 && !l->done);
	l->reply = NULL;
}

/* Whether this voter has had its time, to come up or to answer. */
static bool cli_link_stalled(const struct cli_link *l)
{
	int64_t now = tmr_now(l->tmr);

	if (l->lost)
		return true;
	if (l->sent_ms)
		return now >= l->sent_ms + CLI_TRY_MS;
	return now >= l->dialled_ms + CLI_DIAL_MS;
}

/* Whether the answer ends the request; else another voter is asked. */
static bool cli_link_answered(struct cli_link *l)
{
	struct cli_reply *r = l->reply;

	l->done = false;
	switch (r->code) {
	case PROTO_NOT_LEADER:
	case PROTO_NO_QUORUM:
		break;
	case PROTO_OUTCOME_UNKNOWN:
		/* With bytes the state itself says so, and always will. */
		if (g_bytes_get_size(r->bytes) > 0) {
			l->done = true;
			return true;
		}
		r->maybe = true;
		break;
	default:
		l->done = true;
		return true;
	}
	l->sent_ms = 0;
	if (r->code != PROTO_NOT_LEADER || !l->leader)
		cli_link_wait(l, CLI_PAUSE_MS);
	cli_link_leave(l);
	return false;
}

static void cli_link_dial(struct cli_link *l)
{
	const char *addr = l->leader ? l->leader : l->servers[l->next];

	l->lost = false;
	l->dialled_ms = tmr_now(l->tmr);
	l->conn = wire_dial(l->wire, addr, &cli_wire_ops, l);
	/* Asked once: if it is not there, the next server is. */
	if (!l->leader)
		l->next = l->servers[l->next + 1] ? l->next + 1 : 0;
	g_free(l->leader);
	l->leader = NULL;
}

static void cli_link_leave(struct cli_link *l)
{
	if (l->conn)
		wire_close(l->conn);
	l->conn = NULL;
	l->sent_ms = 0;
	l->lost = false;
}

/* Frees what a reply holds. */
void cli_reply_clear(struct cli_reply *r)
{
	if (r->bytes)
		g_bytes_unref(r->bytes);
	r->bytes = NULL;
}

/* The bytes of a reply; empty where there are none. */
struct lstr cli_reply_bytes(const struct cli_reply *r)
{
	gsize len = 0;
	const char *p = r->bytes ? g_bytes_get_data(r->bytes, &len) : NULL;

	return lstr_n(p, len);
}
