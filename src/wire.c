#include "wire.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <sys/socket.h>

#include "acc.h"
#include "err.h"
#include "msg.h"
#include "wire_frame.h"

/* Longest wait from the connection to the peer's proof, ms. */
#define WIRE_PROVE_MS 2000

/* Waits between attempts to dial, doubling from the first to the last, ms. */
#define WIRE_REDIAL_MIN_MS 50
#define WIRE_REDIAL_MAX_MS 1000

/*
 * An attempt to dial that has not got on for so long has met a machine without
 * power, if its peer is heard elsewhere, ms. Twice the round trip of regions.
 */
#define WIRE_HURRY_MS 500

/*
 * Bytes a slow reader may leave unsent before it is dropped: it would else
 * take the memory of a process that must stay under 64 MB.
 */
#define WIRE_OUT_MAX (16u << 20)

/*
 * Bytes of one connection that a turn of the loop moves. libevent's own bounds,
 * 4 KB in and 16 KB out, have a batch of the log take a second on a daemon
 * whose turns are long, and the replica that gets it is never caught up.
 */
#define WIRE_TURN_MAX (512u << 10)
/* What libevent reads at once, and what is read where a frame is larger. */
#define WIRE_READ_ONCE (4u << 10)
#define WIRE_READ_MORE (64u << 10)

/*
 * Connections at once of which the peer has not proved its key, at least; or
 * half of all. Each costs some kilobytes, and a flood of them must not crowd
 * out our own peers; but all of these dial at once when a VM is back.
 */
#define WIRE_UNPROVED_MAX 64

/*
 * Part of the memory for clients' connections that those of peers who dial may
 * take. Each may leave a frame of 4 MiB unfinished.
 */
#define WIRE_MEMORY_DIVISOR 2
/* Memory of a connection without its frames. */
#define WIRE_CONN_BYTES (2u << 10)

enum wire_state {
	WIRE_IDLE, /* dialled: waiting to dial again */
	WIRE_CONNECTING,
	WIRE_HELLO, /* connected, the peer's hello is awaited */
	WIRE_PROOF, /* the peer's first tagged frame is awaited */
	WIRE_UP,
};

struct wire {
	struct wire_config config;
	GPtrArray *listeners; /* struct wire_listener */
	GPtrArray *conns; /* struct wire_conn, all */
	struct wire_stats stats;
	struct mbd *memory; /* of connections that peers have dialled */
	unsigned int unproved;
	uint64_t tick;
	int64_t ticked_ms; /* time of the last tick; 0: none */
};

struct wire_listener {
	struct wire *w;
	struct evconnlistener *ev;
	struct acc acc;
	char *addr;
	const struct wire_ops *ops;
	void *arg;
};

struct wire_conn {
	struct wire *w;
	const struct wire_ops *ops;
	void *arg;
	void *user;
	char *addr;
	bool dialled;
	bool closing; /* wire_close was called; no more callbacks */
	enum wire_state state;
	struct bufferevent *bev;
	struct wire_hello ours;
	struct wire_hello theirs;
	const struct key *key;
	struct wire_dir in;
	struct wire_dir out;
	int64_t since; /* when this state was entered */
	int64_t heard; /* when bytes came last */
	int64_t sent; /* when a frame was sent last */
	int64_t redial_ms;
	uint64_t redial_timer;
	struct mbd_hold hold; /* unless dialled */
};

static struct wire_conn *wire_conn_new(struct wire *w, const char *addr,
				       const struct wire_ops *ops, void *arg);
static void wire_conn_free(struct wire_conn *c);
static void wire_accept(struct evconnlistener *l, evutil_socket_t fd,
			struct sockaddr *sa, int len, void *arg);
static void wire_accept_error(struct evconnlistener *l, void *arg);
static unsigned int wire_unproved_max(const struct wire *w);
static bool wire_has_room(const struct wire_listener *l, const char *ip);
static void wire_try_dial(void *arg, int64_t now);
static void wire_attach(struct wire_conn *c, struct bufferevent *bev,
			enum wire_state state);
static void wire_enter(struct wire_conn *c, enum wire_state state);
static void wire_send_hello(struct wire_conn *c);
static void wire_raw(struct wire_conn *c, struct lstr payload,
		     const uint8_t *tag);
static void wire_frame_out(struct wire_conn *c, struct lstr payload);
static void wire_read(struct bufferevent *bev, void *arg);
static void wire_event(struct bufferevent *bev, short what, void *arg);
static bool wire_read_more(struct bufferevent *bev, size_t *read);
static bool wire_read_frame(struct wire_conn *c);
static bool wire_got_hello(struct wire_conn *c, struct lstr body);
static bool wire_got_frame(struct wire_conn *c, struct lstr body);
static void wire_drop(struct wire_conn *c, enum err_code code, const char *why);
static void wire_refuse(struct wire_conn *c, const char *why);
static void wire_count(struct wire_conn *c);
static void wire_release(void *arg);
static void wire_tick(void *arg, int64_t now);
static void wire_reap(void *arg, int64_t now);

static const char *const wire_steps[] = {
	[WIRE_IDLE] = "idle",	[WIRE_CONNECTING] = "connect",
	[WIRE_HELLO] = "hello", [WIRE_PROOF] = "prove",
	[WIRE_UP] = "talk",
};

/* A wire of this process; config's parts must outlive it. */
struct wire *wire_new(const struct wire_config *config)
{
	struct wire *w = g_new0(struct wire, 1);

	g_assert(config->silence_ms >= 4);
	if (sodium_init() < 0)
		g_error("libsodium can't start");
	w->config = *config;
	w->memory = config->memory
			    ? mbd_part_new(config->memory, WIRE_MEMORY_DIVISOR)
			    : mbd_new(UINT64_MAX);
	w->listeners = g_ptr_array_new();
	w->conns = g_ptr_array_new();
	w->tick = tmr_every(config->tmr, config->silence_ms / 4, wire_tick, w);
	return w;
}

/* Closes every connection and listener, without callbacks. */
void wire_free(struct wire *w)
{
	if (!w)
		return;
	while (w->conns->len)
		wire_conn_free(g_ptr_array_steal_index_fast(w->conns, 0));
	while (w->listeners->len) {
		struct wire_listener *l =
			g_ptr_array_steal_index_fast(w->listeners, 0);

		acc_done(&l->acc);
		evconnlistener_free(l->ev);
		g_free(l->addr);
		g_free(l);
	}
	tmr_cancel(w->config.tmr, w->tick);
	g_ptr_array_free(w->conns, TRUE);
	g_ptr_array_free(w->listeners, TRUE);
	mbd_free(w->memory);
	g_free(w);
}

/*
 * Listens at addr (IP:PORT). 0, or -1 with ERR_IO. Connections that come in
 * are told to ops->up once proved.
 */
int wire_listen(struct wire *w, const char *addr, const struct wire_ops *ops,
		void *arg, GError **err)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct wire_listener *l = g_new0(struct wire_listener, 1);

	*l = (struct wire_listener){.w = w, .ops = ops, .arg = arg};
	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&ss, &len) == 0)
		l->ev = evconnlistener_new_bind(
			w->config.base, wire_accept, l,
			LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE |
				LEV_OPT_CLOSE_ON_EXEC,
			-1, (struct sockaddr *)&ss, len);
	if (!l->ev) {
		err_set(err, ERR_IO, "listen", addr, "%s",
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
		g_free(l);
		return -1;
	}
	l->addr = g_strdup(addr);
	acc_init(&l->acc, w->config.tmr, l->ev, l->addr);
	evconnlistener_set_error_cb(l->ev, wire_accept_error);
	g_ptr_array_add(w->listeners, l);
	return 0;
}

/*
 * Keeps a connection to addr (IP:PORT): dials now, and again whenever it is
 * lost, until wire_close.
 */
struct wire_conn *wire_dial(struct wire *w, const char *addr,
			    const struct wire_ops *ops, void *arg)
{
	struct wire_conn *c = wire_conn_new(w, addr, ops, arg);

	c->dialled = true;
	c->redial_ms = WIRE_REDIAL_MIN_MS;
	c->redial_timer = tmr_once(w->config.tmr, 0, wire_try_dial, c);
	return c;
}

/*
 * Sends a message. False: the connection is not up, and nothing was sent. A
 * true answer doesn't mean that the peer gets it.
 */
bool wire_send(struct wire_conn *c, struct lstr payload)
{
	g_assert(payload.len > 0 && payload.len <= WIRE_PAYLOAD_MAX);
	if (c->state != WIRE_UP || c->closing)
		return false;
	wire_frame_out(c, payload);
	c->w->stats.msgs_out++;
	return true;
}

/*
 * The peer was heard elsewhere, so it is back: dials now what waits to dial,
 * and anew what hangs since before. After a loss of power of all the first
 * voters to be back would else wait seconds for a quorum that is there.
 */
void wire_hurry(struct wire_conn *c)
{
	struct tmr *tmr = c->w->config.tmr;

	if (!c->dialled || c->closing || c->state == WIRE_UP)
		return;
	if (c->state != WIRE_IDLE) {
		if (tmr_now(tmr) - c->since < WIRE_HURRY_MS)
			return;
		wire_drop(c, ERR_TIMEOUT, "it was begun before the peer");
	}
	c->redial_ms = WIRE_REDIAL_MIN_MS;
	tmr_cancel(tmr, c->redial_timer);
	c->redial_timer = tmr_once(tmr, 0, wire_try_dial, c);
}

/* Ends a connection for good; no callback follows. */
void wire_close(struct wire_conn *c)
{
	struct tmr *tmr = c->w->config.tmr;

	if (c->closing)
		return;
	c->closing = true;
	tmr_cancel(tmr, c->redial_timer);
	/* This call may come from within a callback of c. */
	c->redial_timer = tmr_once(tmr, 0, wire_reap, c);
}

/* Whether an address, IP:PORT, is of that machine. */
bool wire_addr_is_of(const char *addr, const char *ip)
{
	size_t len = strlen(ip);

	return strncmp(addr, ip, len) == 0 && addr[len] == ':';
}

/* Bytes of messages that the kernel hasn't taken yet. */
size_t wire_backlog(const struct wire_conn *c)
{
	return c->bev ? evbuffer_get_length(bufferevent_get_output(c->bev)) : 0;
}

/* Whether messages can be sent. */
bool wire_is_up(const struct wire_conn *c)
{
	return c->state == WIRE_UP && !c->closing;
}

/* The peer's name as it gave it; "" before it was up. */
const char *wire_node(const struct wire_conn *c)
{
	return c->theirs.node;
}

/* The peer's availability zone as it gave it; "" before it was up. */
const char *wire_zone(const struct wire_conn *c)
{
	return c->theirs.zone;
}

/* The address dialled, or that the peer came from. */
const char *wire_addr(const struct wire_conn *c)
{
	return c->addr;
}

/* The name of the key the peer proved. */
const char *wire_key_name(const struct wire_conn *c)
{
	return c->key ? c->key->name : "";
}

/* The role of the key the peer proved. */
enum key_role wire_role(const struct wire_conn *c)
{
	return c->key ? c->key->role : KEY_READ;
}

/* What the owner hung on the connection. */
void *wire_user(const struct wire_conn *c)
{
	return c->user;
}

/* Hangs something of the owner's on the connection. */
void wire_set_user(struct wire_conn *c, void *user)
{
	c->user = user;
}

/* Counters since the start. */
struct wire_stats wire_stats(const struct wire *w)
{
	struct wire_stats s = w->stats;

	s.open = w->conns->len;
	return s;
}

static struct wire_conn *wire_conn_new(struct wire *w, const char *addr,
				       const struct wire_ops *ops, void *arg)
{
	struct wire_conn *c = g_new0(struct wire_conn, 1);

	c->w = w;
	c->ops = ops;
	c->arg = arg;
	c->addr = g_strdup(addr);
	g_ptr_array_add(w->conns, c);
	return c;
}

static void wire_conn_free(struct wire_conn *c)
{
	wire_enter(c, WIRE_IDLE);
	tmr_cancel(c->w->config.tmr, c->redial_timer);
	if (c->bev)
		bufferevent_free(c->bev);
	if (!c->dialled)
		mbd_hold_end(&c->hold);
	sodium_memzero(&c->in, sizeof(c->in));
	sodium_memzero(&c->out, sizeof(c->out));
	g_free(c->addr);
	g_free(c);
}

static void wire_accept(struct evconnlistener *l, evutil_socket_t fd,
			struct sockaddr *sa, int len, void *arg)
{
	struct wire_listener *wl = arg;
	struct wire *w = wl->w;
	struct bufferevent *bev;
	struct wire_conn *c;
	char text[64];
	char ip[48];

	evutil_inet_ntop(
		sa->sa_family,
		sa->sa_family == AF_INET
			? (void *)&((struct sockaddr_in *)sa)->sin_addr
			: (void *)&((struct sockaddr_in6 *)sa)->sin6_addr,
		ip, sizeof(ip));
	g_snprintf(text, sizeof(text), "%s:%d", ip,
		   ntohs(sa->sa_family == AF_INET
				 ? ((struct sockaddr_in *)sa)->sin_port
				 : ((struct sockaddr_in6 *)sa)->sin6_port));
	if (w->unproved >= wire_unproved_max(w)) {
		w->stats.refused++;
		msg(MSG_WIRE_REFUSED, "peer=%s why=\"too many unproved\"",
		    text);
		evutil_closesocket(fd);
		return;
	}
	if (!wire_has_room(wl, ip)) {
		w->stats.crowded++;
		msg(MSG_WIRE_REFUSED, "peer=%s why=\"%u connections\"", text,
		    w->conns->len);
		evutil_closesocket(fd);
		return;
	}
	bev = bufferevent_socket_new(w->config.base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!bev) {
		evutil_closesocket(fd);
		return;
	}
	c = wire_conn_new(w, text, wl->ops, wl->arg);
	mbd_hold_begin(&c->hold, w->memory, wire_release, c);
	wire_attach(c, bev, WIRE_HELLO);
	wire_count(c);
}

/* Connections whose peers haven't proved their key, at most. */
static unsigned int wire_unproved_max(const struct wire *w)
{
	return MAX(WIRE_UNPROVED_MAX, (unsigned int)w->config.conns_max / 2);
}

/* Whether a connection from there may be taken. */
static bool wire_has_room(const struct wire_listener *l, const char *ip)
{
	const struct wire_config *c = &l->w->config;
	int open = (int)l->w->conns->len;

	if (!c->conns_max || open < c->conns_max - c->conns_kept)
		return true;
	return open < c->conns_max && l->ops->goes_first &&
	       l->ops->goes_first(l->arg, ip);
}

/* A peer's connection couldn't be taken. */
static void wire_accept_error(struct evconnlistener *l, void *arg)
{
	struct wire_listener *wl = arg;

	acc_rest(&wl->acc);
}

static void wire_try_dial(void *arg, int64_t now)
{
	struct wire_conn *c = arg;
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct bufferevent *bev;

	c->redial_timer = 0;
	if (evutil_parse_sockaddr_port(c->addr, (struct sockaddr *)&ss, &len))
		g_error("dial %s: not an address", c->addr);
	bev = bufferevent_socket_new(c->w->config.base, -1,
				     BEV_OPT_CLOSE_ON_FREE);
	wire_attach(c, bev, WIRE_CONNECTING);
	if (bufferevent_socket_connect(bev, (struct sockaddr *)&ss, len) < 0)
		wire_drop(c, ERR_IO, "can't connect");
}

static void wire_attach(struct wire_conn *c, struct bufferevent *bev,
			enum wire_state state)
{
	int one = 1;
	evutil_socket_t fd = bufferevent_getfd(bev);

	c->bev = bev;
	c->heard = tmr_now(c->w->config.tmr);
	c->sent = c->heard;
	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	wire_enter(c, state);
	bufferevent_setcb(bev, wire_read, NULL, wire_event, c);
	bufferevent_set_max_single_write(bev, WIRE_TURN_MAX);
	/* The largest frame a proved peer may send must fit in. */
	bufferevent_setwatermark(bev, EV_READ, 0, WIRE_HELLO_MAX + 64);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void wire_enter(struct wire_conn *c, enum wire_state state)
{
	bool was = !c->dialled &&
		   (c->state == WIRE_HELLO || c->state == WIRE_PROOF);
	bool is = !c->dialled && (state == WIRE_HELLO || state == WIRE_PROOF);

	c->w->unproved += (unsigned int)is;
	c->w->unproved -= (unsigned int)was;
	c->state = state;
	c->since = tmr_now(c->w->config.tmr);
}

static void wire_send_hello(struct wire_conn *c)
{
	const struct wire_config *cfg = &c->w->config;
	GString *bytes;

	if (c->dialled)
		c->key = keyring_first(cfg->keys);
	wire_hello_fill(&c->ours, c->key->name, cfg->node, cfg->zone);
	bytes = wire_hello_pack(&c->ours);
	wire_raw(c, lstr_n(bytes->str, bytes->len), NULL);
	g_string_free(bytes, TRUE);
}

/* Puts a frame into the connection's buffer; tag is NULL for a hello. */
static void wire_raw(struct wire_conn *c, struct lstr payload,
		     const uint8_t *tag)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	size_t len = payload.len + (tag ? WIRE_TAG_BYTES : 0);
	uint32_t be = htonl((uint32_t)len);

	evbuffer_add(out, &be, sizeof(be));
	evbuffer_add(out, payload.p, payload.len);
	if (tag)
		evbuffer_add(out, tag, WIRE_TAG_BYTES);
	c->sent = tmr_now(c->w->config.tmr);
	c->w->stats.bytes_out += sizeof(be) + len;
}

static void wire_frame_out(struct wire_conn *c, struct lstr payload)
{
	uint8_t tag[WIRE_TAG_BYTES];

	wire_tag(&c->out, payload, tag);
	wire_raw(c, payload, tag);
}

static void wire_event(struct bufferevent *bev, short what, void *arg)
{
	struct wire_conn *c = arg;
	int one = 1;

	if (c->closing)
		return;
	if (!(what & BEV_EVENT_CONNECTED)) {
		wire_drop(c, ERR_PEER,
			  what & BEV_EVENT_EOF
				  ? "closed by the peer"
				  : evutil_socket_error_to_string(
					    EVUTIL_SOCKET_ERROR()));
		return;
	}
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	wire_enter(c, WIRE_HELLO);
	wire_send_hello(c);
}

static void wire_read(struct bufferevent *bev, void *arg)
{
	struct wire_conn *c = arg;
	size_t read = 0;

	c->heard = tmr_now(c->w->config.tmr);
	do {
		while (!c->closing && c->bev == bev && wire_read_frame(c))
			;
		if (c->closing || c->bev != bev)
			return;
	} while (wire_read_more(bev, &read));
	wire_count(c);
	if (!mbd_reclaim(c->w->memory, &c->hold))
		mbd_release(&c->hold);
}

/*
 * Reads on in a frame that is larger than what libevent reads at once; false:
 * nothing more is there. Its end or error is left to libevent: it comes again.
 */
static bool wire_read_more(struct bufferevent *bev, size_t *read)
{
	struct evbuffer *in = bufferevent_get_input(bev);
	struct evbuffer_iovec v;
	ssize_t n;

	if (evbuffer_get_length(in) < WIRE_READ_ONCE || *read >= WIRE_TURN_MAX)
		return false;
	/* a bufferevent lets only its socket add to its input */
	evbuffer_unfreeze(in, 0);
	evbuffer_reserve_space(in, WIRE_READ_MORE, &v, 1);
	n = recv(bufferevent_getfd(bev), v.iov_base, v.iov_len, MSG_DONTWAIT);
	v.iov_len = n > 0 ? (size_t)n : 0;
	evbuffer_commit_space(in, &v, 1);
	evbuffer_freeze(in, 0);
	*read += v.iov_len;
	return n > 0;
}

/* Takes one frame out of the buffer; false when none is whole. */
static bool wire_read_frame(struct wire_conn *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	size_t max = c->state == WIRE_UP ? WIRE_PAYLOAD_MAX + WIRE_TAG_BYTES
					 : WIRE_HELLO_MAX;
	uint32_t be;
	size_t len;
	struct lstr body;
	bool go_on;

	if (evbuffer_copyout(in, &be, sizeof(be)) < (ev_ssize_t)sizeof(be))
		return false;
	len = ntohl(be);
	if (len == 0 || len > max) {
		wire_refuse(c, "frame of a size that is not allowed");
		return false;
	}
	if (evbuffer_get_length(in) < sizeof(be) + len)
		return false;
	body = lstr_n(evbuffer_pullup(in, (ev_ssize_t)(sizeof(be) + len)) +
			      sizeof(be),
		      len);
	c->w->stats.bytes_in += sizeof(be) + len;
	go_on = c->state == WIRE_HELLO ? wire_got_hello(c, body)
				       : wire_got_frame(c, body);
	if (go_on)
		evbuffer_drain(in, sizeof(be) + len);
	return go_on;
}

static bool wire_got_hello(struct wire_conn *c, struct lstr body)
{
	const struct key *key;

	if (!wire_hello_unpack(body, &c->theirs)) {
		wire_refuse(c, "not a hello");
		return false;
	}
	key = keyring_find(c->w->config.keys, lstr_from(c->theirs.key_name));
	if (!key || (c->dialled && key != c->key)) {
		wire_refuse(c, "unknown key");
		return false;
	}
	c->key = key;
	if (c->dialled) {
		wire_session(key, &c->ours, &c->theirs, &c->out, &c->in);
	} else {
		wire_send_hello(c);
		wire_session(key, &c->theirs, &c->ours, &c->in, &c->out);
	}
	wire_enter(c, WIRE_PROOF);
	wire_frame_out(c, lstr_n("", 0));
	return true;
}

/*
 * A tagged frame. An empty one is the proof that opens a session, or later a
 * sign of life; neither is a message.
 */
static bool wire_got_frame(struct wire_conn *c, struct lstr body)
{
	struct bufferevent *bev = c->bev;
	struct lstr payload;

	if (body.len < WIRE_TAG_BYTES) {
		wire_refuse(c, "frame without a tag");
		return false;
	}
	payload = lstr_n(body.p, body.len - WIRE_TAG_BYTES);
	if (!wire_tag_check(&c->in, payload,
			    (const uint8_t *)payload.p + payload.len)) {
		wire_refuse(c, "wrong key, or a frame of another session");
		return false;
	}
	if (c->state == WIRE_PROOF) {
		bufferevent_setwatermark(c->bev, EV_READ, 0,
					 WIRE_PAYLOAD_MAX + 64);
		wire_enter(c, WIRE_UP);
		c->redial_ms = WIRE_REDIAL_MIN_MS;
		msg(MSG_WIRE_UP, "peer=%s node=%s key=%s", c->addr,
		    c->theirs.node, c->key->name);
		c->ops->up(c->arg, c);
	}
	if (payload.len && !c->closing && c->bev == bev) {
		c->w->stats.msgs_in++;
		c->ops->recv(c->arg, c, payload);
	}
	return !c->closing && c->bev == bev;
}

/*
 * The connection is over. A dialled one waits and dials again; an accepted
 * one is freed once its owner was told.
 */
static void wire_drop(struct wire_conn *c, enum err_code code, const char *why)
{
	struct tmr *tmr = c->w->config.tmr;
	bool was_up = c->state == WIRE_UP;
	GError *err = NULL;

	if (was_up)
		msg(MSG_WIRE_DOWN, "peer=%s node=%s why=\"%s\"", c->addr,
		    c->theirs.node, why);
	err_set(&err, code, wire_steps[c->state], c->addr, "%s", why);
	if (c->bev) {
		bufferevent_free(c->bev);
		c->bev = NULL;
	}
	wire_count(c);
	wire_enter(c, WIRE_IDLE);
	if (was_up)
		c->ops->down(c->arg, c, err);
	g_error_free(err);
	if (c->closing)
		return;
	if (!c->dialled) {
		c->closing = true;
		c->redial_timer = tmr_once(tmr, 0, wire_reap, c);
		return;
	}
	/*
	 * A peer that was up is dialled at once: what lost track of the old
	 * connection lets a new one through.
	 */
	c->redial_timer =
		tmr_once(tmr, was_up ? 0 : c->redial_ms, wire_try_dial, c);
	if (!was_up)
		c->redial_ms = MIN(c->redial_ms * 2, WIRE_REDIAL_MAX_MS);
}

static void wire_refuse(struct wire_conn *c, const char *why)
{
	c->w->stats.refused++;
	msg(MSG_WIRE_REFUSED, "peer=%s step=%s why=\"%s\"", c->addr,
	    wire_steps[c->state], why);
	wire_drop(c, ERR_AUTH, why);
}

/* Counts what a connection that a peer dialled makes this process hold. */
static void wire_count(struct wire_conn *c)
{
	uint64_t bytes = 0;

	if (c->dialled)
		return;
	if (c->bev)
		bytes = WIRE_CONN_BYTES +
			mbd_buffer_bytes(bufferevent_get_input(c->bev)) +
			mbd_buffer_bytes(bufferevent_get_output(c->bev));
	mbd_hold_set(&c->hold, bytes, c->bev != NULL);
}

/* Ends a connection for the memory that its frames take. */
static void wire_release(void *arg)
{
	wire_refuse(arg, "its frames take too much memory");
}

/*
 * Signs of life, and the end of connections without any. Something between
 * the ends may have lost track of a connection: packets vanish and no reset
 * comes. TCP would retry for minutes; a new connection works at once.
 */
static void wire_tick(void *arg, int64_t now)
{
	struct wire *w = arg;
	int64_t paused_ms =
		tmr_paused_ms(&w->ticked_ms, now, w->config.silence_ms / 4);
	guint i;

	for (i = w->conns->len; i-- > 0;) {
		struct wire_conn *c = g_ptr_array_index(w->conns, i);

		if (c->closing || c->state == WIRE_IDLE)
			continue;
		wire_count(c);
		if (c->state != WIRE_UP) {
			if (now - c->since > WIRE_PROVE_MS)
				wire_drop(c, ERR_TIMEOUT, "no proof in time");
			continue;
		}
		c->heard = MIN(c->heard + paused_ms, now);
		if (now - c->heard > w->config.silence_ms)
			wire_drop(c, ERR_TIMEOUT, "silent");
		else if (evbuffer_get_length(bufferevent_get_output(c->bev)) >
			 WIRE_OUT_MAX)
			wire_drop(c, ERR_TIMEOUT, "reads too slowly");
		else if (now - c->sent >= w->config.silence_ms / 3)
			wire_frame_out(c, lstr_n("", 0));
	}
	mbd_reclaim(w->memory, NULL);
}

static void wire_reap(void *arg, int64_t now)
{
	struct wire_conn *c = arg;

	c->redial_timer = 0;
	g_ptr_array_remove_fast(c->w->conns, c);
	wire_conn_free(c);
}
