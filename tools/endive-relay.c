#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "ctl.h"
#include "lstr.h"
#include "set.h"
#include "tmr.h"

#define PROGRAM "endive-relay"
#define DELAY_MAX_MS 60000

/* What the relay does with connections. */
enum mode {
	MODE_PASS,
	MODE_SILENT, /* passes nothing, closes nothing, new ones included */
	MODE_FORGET, /* those open now are silent for good; new ones pass */
	MODE_DROP, /* new ones are closed at once; open ones pass */
	MODE_DELAY, /* passes each byte later */
	MODES
};

static const char *const mode_names[MODES] = {
	[MODE_PASS] = "pass",	  [MODE_SILENT] = "silent",
	[MODE_FORGET] = "forget", [MODE_DROP] = "drop",
	[MODE_DELAY] = "delay",
};
#define MODE_WORDS "pass|silent|forget|drop|delay"

struct options {
	char *listen;
	char *to;
	char *control;
	char *mode;
	long long delay_ms;
};

struct relay {
	struct event_base *base;
	struct tmr *tmr;
	struct options opt;
	struct evconnlistener *listener;
	evhtp_t *control;
	struct sockaddr_storage to;
	int to_len;
	enum mode mode;
	GHashTable *pairs; /* set of struct pair */
	uint64_t accepted;
	uint64_t dropped;
	uint64_t bytes;
};

enum side {
	SIDE_FROM, /* who connected to us */
	SIDE_TO,
	SIDES
};

/* One connection and its other half. */
struct pair {
	struct relay *relay;
	struct bufferevent *bev[SIDES];
	bool ended[SIDES]; /* that side sends no more */
	bool forgotten;
	bool broken; /* freed once nothing is in flight */
	int64_t last_due; /* of what is in flight, so that order is kept */
	int in_flight;
};

/* Bytes, or the end, on their way to a side. */
struct parcel {
	struct pair *pair;
	enum side to;
	struct evbuffer *bytes; /* NULL: the end */
};

static struct options options = {0};

static const struct set_def settings[] = {
	{"listen", SET_ADDR, &options.listen, NULL, 0, 0, NULL,
	 "address to be connected to"},
	{"to", SET_ADDR, &options.to, NULL, 0, 0, NULL, "address to pass to"},
	{"control", SET_ADDR, &options.control, NULL, 0, 0, NULL,
	 "address for /mode and /status"},
	{"mode", SET_WORD, &options.mode, "pass", 0, 0, MODE_WORDS,
	 "what to begin with: " MODE_WORDS},
	{"delay-ms", SET_INT, &options.delay_ms, "100", 1, DELAY_MAX_MS, NULL,
	 "how much later bytes pass in mode delay"},
};

static void pair_event(struct bufferevent *bev, short what, void *arg);

static bool pair_is_quiet(const struct pair *p)
{
	return p->forgotten || p->relay->mode == MODE_SILENT;
}

/*
 * A quiet connection reads and writes nothing, so that it sees no close of
 * either end and passes none on.
 */
static void pair_set_events(struct pair *p)
{
	int i;

	for (i = 0; i < SIDES; i++) {
		if (pair_is_quiet(p))
			bufferevent_disable(p->bev[i], EV_READ | EV_WRITE);
		else
			bufferevent_enable(p->bev[i], EV_READ | EV_WRITE);
	}
}

static void pair_free(struct pair *p)
{
	g_hash_table_remove(p->relay->pairs, p);
	bufferevent_free(p->bev[SIDE_FROM]);
	bufferevent_free(p->bev[SIDE_TO]);
	g_free(p);
}

/* Ends what is over: broken, or ended by both sides with all passed on. */
static void pair_settle(struct pair *p)
{
	bool over = p->broken;
	int i;

	if (p->in_flight)
		return;
	if (!over)
		over = p->ended[SIDE_FROM] && p->ended[SIDE_TO];
	for (i = 0; i < SIDES && !p->broken; i++)
		if (evbuffer_get_length(bufferevent_get_output(p->bev[i])))
			over = false;
	if (over)
		pair_free(p);
}

static void pass_end(struct pair *p, enum side to)
{
	struct evbuffer *out = bufferevent_get_output(p->bev[to]);

	p->ended[!to] = true;
	if (evbuffer_get_length(out) == 0)
		shutdown(bufferevent_getfd(p->bev[to]), SHUT_WR);
}

static void parcel_arrive(void *arg, int64_t now)
{
	struct parcel *parcel = arg;
	struct pair *p = parcel->pair;

	p->in_flight--;
	if (!parcel->bytes) {
		pass_end(p, parcel->to);
	} else {
		p->relay->bytes += evbuffer_get_length(parcel->bytes);
		evbuffer_add_buffer(bufferevent_get_output(p->bev[parcel->to]),
				    parcel->bytes);
		evbuffer_free(parcel->bytes);
	}
	g_free(parcel);
	pair_settle(p);
}

/* Sends bytes, or with NULL the end, on to a side, now or later. */
static void parcel_send(struct pair *p, enum side to, struct evbuffer *bytes)
{
	struct relay *r = p->relay;
	struct parcel *parcel = g_new(struct parcel, 1);
	int64_t now = tmr_now(r->tmr);
	int64_t due = now;

	if (r->mode == MODE_DELAY)
		due += r->opt.delay_ms;
	if (p->in_flight && due < p->last_due)
		due = p->last_due;
	*parcel = (struct parcel){.pair = p, .to = to, .bytes = bytes};
	p->last_due = due;
	p->in_flight++;
	if (due == now && p->in_flight == 1)
		parcel_arrive(parcel, now);
	else
		tmr_once(r->tmr, due - now, parcel_arrive, parcel);
}

static enum side pair_side(const struct pair *p, const struct bufferevent *bev)
{
	return bev == p->bev[SIDE_FROM] ? SIDE_FROM : SIDE_TO;
}

static void pair_read(struct bufferevent *bev, void *arg)
{
	struct pair *p = arg;
	struct evbuffer *bytes = evbuffer_new();

	evbuffer_add_buffer(bytes, bufferevent_get_input(bev));
	parcel_send(p, !pair_side(p, bev), bytes);
}

static void pair_written(struct bufferevent *bev, void *arg)
{
	struct pair *p = arg;

	if (p->ended[!pair_side(p, bev)] && !p->in_flight)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	pair_settle(p);
}

static void pair_event(struct bufferevent *bev, short what, void *arg)
{
	struct pair *p = arg;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (what & BEV_EVENT_EOF) {
		parcel_send(p, !pair_side(p, bev), NULL);
		return;
	}
	p->broken = true;
	bufferevent_disable(p->bev[SIDE_FROM], EV_READ | EV_WRITE);
	bufferevent_disable(p->bev[SIDE_TO], EV_READ | EV_WRITE);
	pair_settle(p);
}

static void accepted(struct evconnlistener *l, evutil_socket_t fd,
		     struct sockaddr *addr, int len, void *arg)
{
	struct relay *r = arg;
	struct pair *p;
	int i;

	if (r->mode == MODE_DROP) {
		r->dropped++;
		evutil_closesocket(fd);
		return;
	}
	r->accepted++;
	p = g_new(struct pair, 1);
	*p = (struct pair){.relay = r};
	p->bev[SIDE_FROM] =
		bufferevent_socket_new(r->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->bev[SIDE_TO] =
		bufferevent_socket_new(r->base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (i = 0; i < SIDES; i++)
		bufferevent_setcb(p->bev[i], pair_read, pair_written,
				  pair_event, p);
	g_hash_table_add(r->pairs, p);
	if (bufferevent_socket_connect(p->bev[SIDE_TO],
				       (struct sockaddr *)&r->to,
				       r->to_len) != 0) {
		pair_free(p);
		return;
	}
	pair_set_events(p);
}

/* Changes what happens to open connections as the new mode asks. */
static void mode_enter(struct relay *r, enum mode mode)
{
	GHashTableIter it;
	gpointer key;

	r->mode = mode == MODE_FORGET ? MODE_PASS : mode;
	g_hash_table_iter_init(&it, r->pairs);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct pair *p = key;

		if (mode == MODE_FORGET)
			p->forgotten = true;
		if (!p->broken)
			pair_set_events(p);
	}
}

/* Takes "mode=NAME", "delay_ms=N" or both; nothing of a bad one. */
static bool mode_set(void *arg, evhtp_query_t *form)
{
	struct relay *r = arg;
	const char *name = evhtp_kv_find(form, "mode");
	const char *delay = evhtp_kv_find(form, "delay_ms");
	unsigned long long ms = (unsigned long long)r->opt.delay_ms;
	int mode = (int)r->mode;

	if (!name && !delay)
		return false;
	if (name)
		mode = ctl_word(mode_names, MODES, name);
	if (mode < 0)
		return false;
	if (delay &&
	    (!lstr_u64(lstr_from(delay), &ms) || ms < 1 || ms > DELAY_MAX_MS))
		return false;
	r->opt.delay_ms = (long long)ms;
	mode_enter(r, (enum mode)mode);
	return true;
}

static void control_mode(evhtp_request_t *req, void *arg)
{
	ctl_change(req, mode_set, arg,
		   "allowed: mode=" MODE_WORDS " and delay_ms=N\n");
}

static void control_status(evhtp_request_t *req, void *arg)
{
	struct relay *r = arg;
	guint forgotten = 0;
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, r->pairs);
	while (g_hash_table_iter_next(&it, &key, NULL))
		forgotten += ((struct pair *)key)->forgotten;
	evbuffer_add_printf(
		req->buffer_out,
		"mode=%s\nopen=%u\nforgotten=%u\naccepted=%" G_GUINT64_FORMAT
		"\ndropped=%" G_GUINT64_FORMAT "\nbytes=%" G_GUINT64_FORMAT
		"\n",
		mode_names[r->mode], g_hash_table_size(r->pairs), forgotten,
		r->accepted, r->dropped, r->bytes);
	evhtp_send_reply(req, EVHTP_RES_OK);
}

static void stop_signal(evutil_socket_t fd, short what, void *arg)
{
	struct relay *r = arg;

	event_base_loopexit(r->base, NULL);
}

static bool relay_listen(struct relay *r)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	r->to_len = sizeof(r->to);
	evutil_parse_sockaddr_port(r->opt.to, (struct sockaddr *)&r->to,
				   &r->to_len);
	evutil_parse_sockaddr_port(r->opt.listen, (struct sockaddr *)&ss, &len);
	r->listener = evconnlistener_new_bind(
		r->base, accepted, r, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
		CTL_BACKLOG, (struct sockaddr *)&ss, len);
	if (r->listener)
		return true;
	fprintf(stderr, PROGRAM ": listen on %s: %s\n", r->opt.listen,
		g_strerror(errno));
	return false;
}

static bool relay_start(struct relay *r)
{
	r->control = evhtp_new(r->base, NULL);
	evhtp_set_cb(r->control, "/mode", control_mode, r);
	evhtp_set_cb(r->control, "/status", control_status, r);
	return relay_listen(r) && ctl_bind(r->control, PROGRAM, r->opt.control);
}

/* Static, and not taken apart at the end: connections may be in any state. */
static struct relay relay;

int main(int argc, char **argv)
{
	struct relay *r = &relay;
	int rc = set_parse(PROGRAM,
			   "TCP relay whose connections can be made silent, "
			   "forgotten, dropped or late.",
			   settings, G_N_ELEMENTS(settings), &argc, &argv);

	if (rc != -1)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	r->opt = options;
	r->base = event_base_new();
	r->tmr = tmr_new(r->base);
	r->pairs = g_hash_table_new(NULL, NULL);
	event_add(evsignal_new(r->base, SIGTERM, stop_signal, r), NULL);
	event_add(evsignal_new(r->base, SIGINT, stop_signal, r), NULL);
	if (!relay_start(r))
		return 1;
	if (r->opt.mode)
		mode_enter(r,
			   (enum mode)ctl_word(mode_names, MODES, r->opt.mode));
	event_base_dispatch(r->base);
	return 0;
}
