#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "err.h"
#include "net.h"
#include "wire.h"
#include "wire_frame.h"

#define HEX_A "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HEX_B "ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define SILENCE_MS 200
/* A batch of the log, and the turns of the loop that it may take. */
#define LARGE (256 << 10)
#define LARGE_TURNS 16
/* Attempts are a second apart after so long, and none is due for a while. */
#define AWAY_MS 1700

/* One side: a wire, and what was seen on it. */
struct side {
	struct event_base *base;
	struct tmr *tmr;
	struct keyring *keys;
	struct wire *w;
	struct wire_conn *conn;
	GString *got;
	int ups;
	int downs;
	bool echo;
	bool first; /* who dials takes a kept place */
};

static void side_up(void *arg, struct wire_conn *c)
{
	struct side *s = arg;

	s->ups++;
	s->conn = c;
}

static void side_msg(void *arg, struct wire_conn *c, struct lstr payload)
{
	struct side *s = arg;

	g_string_append_len(s->got, payload.p, (gssize)payload.len);
	if (s->echo)
		wire_send(c, payload);
}

static void side_down(void *arg, struct wire_conn *c, const GError *why)
{
	struct side *s = arg;

	s->downs++;
	s->conn = NULL;
}

static const struct wire_ops side_ops = {
	.up = side_up,
	.recv = side_msg,
	.down = side_down,
};

static struct keyring *keys_of(const char *text, mode_t mode, GError **err)
{
	char *path = NULL;
	struct keyring *ring;
	int fd = g_file_open_tmp("es-keys-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	assert_int_equal(fchmod(fd, mode), 0);
	close(fd);
	ring = keyring_load(path, err);
	g_unlink(path);
	g_free(path);
	return ring;
}

static void side_init(struct side *s, struct event_base *base, struct tmr *tmr,
		      const char *keys, const char *node)
{
	*s = (struct side){.base = base, .tmr = tmr};
	s->got = g_string_new("");
	s->keys = keys_of(keys, 0600, NULL);
	assert_non_null(s->keys);
	s->w = wire_new(&(struct wire_config){
		.base = base,
		.tmr = tmr,
		.keys = s->keys,
		.node = node,
		.zone = "a",
		.silence_ms = SILENCE_MS,
	});
}

static void side_done(struct side *s)
{
	wire_free(s->w);
	keyring_free(s->keys);
	g_string_free(s->got, TRUE);
}

/* Runs the loop until *what reaches want, or a generous time is over. */
static bool run_until(struct event_base *base, const int *what, int want)
{
	struct timeval tick = {.tv_usec = 5000};
	int i;

	for (i = 0; i < 2000 && *what < want; i++) {
		event_base_loopexit(base, &tick);
		event_base_dispatch(base);
	}
	return *what >= want;
}

static int free_port(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return ntohs(sin.sin_port);
}

static int raw_dial(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

struct pair {
	struct event_base *base;
	struct tmr *tmr;
	struct side a;
	struct side b;
	char addr[32];
	int port;
};

static void pair_init(struct pair *p, const char *keys_a, const char *keys_b)
{
	p->base = event_base_new();
	p->tmr = tmr_new(p->base);
	p->port = free_port();
	g_snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%d", p->port);
	side_init(&p->a, p->base, p->tmr, keys_a, "alpha");
	side_init(&p->b, p->base, p->tmr, keys_b, "beta");
	assert_int_equal(wire_listen(p->b.w, p->addr, &side_ops, &p->b, NULL),
			 0);
}

static void pair_done(struct pair *p)
{
	side_done(&p->a);
	side_done(&p->b);
	tmr_free(p->tmr);
	event_base_free(p->base);
}

static void messages_pass_between_known_peers(void **state)
{
	struct pair p;
	int want = 5;
	int len;

	pair_init(&p, "peer peer " HEX_A "\n",
		  "op read " HEX_B "\npeer peer " HEX_A);
	p.b.echo = true;
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	assert_true(run_until(p.base, &p.a.ups, 1));
	assert_true(run_until(p.base, &p.b.ups, 1));
	assert_string_equal(wire_node(p.b.conn), "alpha");
	assert_int_equal(wire_role(p.b.conn), KEY_PEER);
	assert_true(wire_send(p.a.conn, LSTR("hello")));
	do {
		event_base_loop(p.base, EVLOOP_ONCE);
		len = (int)p.a.got->len;
	} while (len < want);
	assert_string_equal(p.a.got->str, "hello");
	pair_done(&p);
}

/* Guards against a replica that gets a batch of the log in a second or two. */
static void a_large_message_takes_few_turns(void **state)
{
	char *large = g_strnfill(LARGE, 'x');
	struct pair p;
	int turns = 0;

	pair_init(&p, "peer peer " HEX_A "\n", "peer peer " HEX_A);
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	assert_true(run_until(p.base, &p.a.ups, 1));
	assert_true(run_until(p.base, &p.b.ups, 1));
	assert_true(wire_send(p.a.conn, lstr_n(large, LARGE)));
	for (turns = 0; p.b.got->len < LARGE && turns < 1000; turns++)
		event_base_loop(p.base, EVLOOP_ONCE);
	assert_int_equal(p.b.got->len, LARGE);
	assert_in_range(turns, 1, LARGE_TURNS);
	pair_done(&p);
	g_free(large);
}

/*
 * A process with another key under a known name: its connection is closed
 * with its first tagged frame, nothing it sends is ever a message.
 */
static void a_wrong_key_is_not_let_in(void **state)
{
	struct pair p;
	int refused = 0;
	int i;

	pair_init(&p, "peer peer " HEX_B, "peer peer " HEX_A);
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	for (i = 0; i < 2000 && !refused; i++) {
		event_base_loop(p.base, EVLOOP_ONCE);
		refused = (int)(wire_stats(p.a.w).refused +
				wire_stats(p.b.w).refused);
	}
	assert_true(refused > 0);
	assert_int_equal(p.a.ups + p.b.ups, 0);
	pair_done(&p);
}

/* Garbage and a length of 4 GB: one refusal each, no message, no memory. */
static void garbage_and_oversized_frames_close(void **state)
{
	static const char *const bad[] = {"GET / HTTP/1.1\r\n\r\n",
					  "\xff\xff\xff\xff xxxx",
					  "\x00\x00\x00\x04 bad"};
	struct pair p;
	size_t i;
	int fd;
	int want;
	int refused;
	char byte;

	pair_init(&p, "peer peer " HEX_A, "peer peer " HEX_A);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		fd = raw_dial(p.port);
		want = (int)i + 1;
		assert_int_equal(write(fd, bad[i], 9), 9);
		do {
			event_base_loop(p.base, EVLOOP_ONCE);
			refused = (int)wire_stats(p.b.w).refused;
		} while (refused < want);
		event_base_loop(p.base, EVLOOP_NONBLOCK);
		assert_true(read(fd, &byte, 1) <= 0);
		close(fd);
	}
	assert_int_equal(p.b.ups, 0);
	pair_done(&p);
}

/*
 * A flood of connections that never prove a key. Only so many are held at
 * once; the rest are closed on arrival and cost nothing.
 */
static void unproved_connections_are_bounded(void **state)
{
	enum {
		FLOOD = 80,
		HELD = 64
	};
	struct pair p;
	int fds[FLOOD];
	int i;

	pair_init(&p, "peer peer " HEX_A, "peer peer " HEX_A);
	for (i = 0; i < FLOOD; i++)
		fds[i] = raw_dial(p.port);
	for (i = 0; i < 200 && wire_stats(p.b.w).refused < FLOOD - HELD; i++)
		event_base_loop(p.base, EVLOOP_ONCE);
	for (i = 0; i < 20; i++)
		event_base_loop(p.base, EVLOOP_NONBLOCK);
	assert_int_equal(wire_stats(p.b.w).refused, FLOOD - HELD);
	for (i = 0; i < FLOOD; i++)
		close(fds[i]);
	pair_done(&p);
}

static bool goes_first(void *arg, const char *ip)
{
	const struct side *s = arg;

	return s->first;
}

/* Guards against entry daemons that keep the replicas of a quorum apart. */
static void the_last_places_are_kept(void **state)
{
	struct wire_ops ops = side_ops;
	struct pair p;

	ops.goes_first = goes_first;
	p.base = event_base_new();
	p.tmr = tmr_new(p.base);
	p.port = free_port();
	g_snprintf(p.addr, sizeof(p.addr), "127.0.0.1:%d", p.port);
	side_init(&p.a, p.base, p.tmr, "peer peer " HEX_A "\n", "alpha");
	side_init(&p.b, p.base, p.tmr, "peer peer " HEX_A "\n", "beta");
	wire_free(p.b.w);
	p.b.w = wire_new(&(struct wire_config){
		.base = p.base,
		.tmr = p.tmr,
		.keys = p.b.keys,
		.node = "beta",
		.zone = "a",
		.silence_ms = SILENCE_MS,
		.conns_max = 2,
		.conns_kept = 1,
	});
	assert_int_equal(wire_listen(p.b.w, p.addr, &ops, &p.b, NULL), 0);
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	assert_true(run_until(p.base, &p.b.ups, 1));
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	net_run(p.base, SILENCE_MS);
	assert_int_equal(p.b.ups, 1);
	assert_true(wire_stats(p.b.w).crowded > 0);
	p.b.first = true;
	assert_true(run_until(p.base, &p.b.ups, 2));
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	net_run(p.base, SILENCE_MS);
	assert_int_equal(p.b.ups, 2);
	pair_done(&p);
}

/* Opens a session by hand; returns its socket. */
static int raw_prove(struct pair *p)
{
	const struct key *key = keyring_first(p->a.keys);
	uint32_t proof_be = htonl(WIRE_TAG_BYTES);
	uint8_t tag[WIRE_TAG_BYTES];
	int fd = net_dial(p->port);
	struct wire_hello ours;
	struct wire_hello theirs;
	struct wire_dir out;
	struct wire_dir in;
	char bytes[1024];
	GString *hello;
	uint32_t be;
	ssize_t n;

	wire_hello_fill(&ours, key->name, "raw", "a");
	hello = wire_hello_pack(&ours);
	be = htonl((uint32_t)hello->len);
	net_send(fd, (const char *)&be, sizeof(be));
	net_send(fd, hello->str, (gssize)hello->len);
	g_string_free(hello, TRUE);
	do {
		net_run(p->base, 5);
		n = recv(fd, bytes, sizeof(bytes), 0);
	} while (n < 0);
	memcpy(&be, bytes, sizeof(be));
	assert_true(wire_hello_unpack(lstr_n(bytes + sizeof(be), ntohl(be)),
				      &theirs));
	wire_session(key, &ours, &theirs, &out, &in);
	wire_tag(&out, lstr_n("", 0), tag);
	net_send(fd, (const char *)&proof_be, sizeof(proof_be));
	net_send(fd, (const char *)tag, sizeof(tag));
	return fd;
}

/* Sends part of the largest frame. */
static void raw_send_part(struct pair *p, int fd, size_t bytes)
{
	uint32_t be = htonl(WIRE_PAYLOAD_MAX);
	char part[4096] = {0};

	net_send(fd, (const char *)&be, sizeof(be));
	for (; bytes; bytes -= sizeof(part)) {
		net_send(fd, part, sizeof(part));
		net_run(p->base, 1);
	}
}

/*
 * Guards against a daemon killed for the memory of frames that don't end: the
 * largest goes, others stay.
 */
static void unfinished_frames_are_bounded(void **state)
{
	struct mbd *memory = mbd_new(1 << 20);
	struct pair p;
	int small;
	int large;

	p.base = event_base_new();
	p.tmr = tmr_new(p.base);
	p.port = free_port();
	g_snprintf(p.addr, sizeof(p.addr), "127.0.0.1:%d", p.port);
	side_init(&p.a, p.base, p.tmr, "peer peer " HEX_A "\n", "alpha");
	side_init(&p.b, p.base, p.tmr, "peer peer " HEX_A "\n", "beta");
	wire_free(p.b.w);
	p.b.w = wire_new(&(struct wire_config){
		.base = p.base,
		.tmr = p.tmr,
		.keys = p.b.keys,
		.node = "beta",
		.zone = "a",
		.silence_ms = 100 * SILENCE_MS,
		.memory = memory,
	});
	assert_int_equal(wire_listen(p.b.w, p.addr, &side_ops, &p.b, NULL), 0);
	small = raw_prove(&p);
	large = raw_prove(&p);
	assert_true(run_until(p.base, &p.b.ups, 2));
	raw_send_part(&p, small, 200 << 10);
	assert_in_range(mbd_stats(memory).held, 200 << 10, 512 << 10);
	raw_send_part(&p, large, 400 << 10);
	assert_int_equal(p.b.downs, 1);
	assert_int_equal(wire_stats(p.b.w).refused, 1);
	assert_in_range(mbd_stats(memory).held, 200 << 10, 512 << 10);
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	assert_true(run_until(p.base, &p.b.ups, 3));
	close(small);
	close(large);
	pair_done(&p);
	mbd_free(memory);
}

/*
 * The peer is stopped, or the network between forgot the connection: no byte
 * comes and no reset. The owner is told within the silence time, and a new
 * connection is made.
 */
static void a_silent_connection_is_given_up(void **state)
{
	struct pair p;
	struct event_base *other = event_base_new();
	struct tmr *other_tmr = tmr_new(other);
	struct side frozen;
	char addr[32];

	pair_init(&p, "peer peer " HEX_A, "peer peer " HEX_A);
	side_init(&frozen, other, other_tmr, "peer peer " HEX_A, "frozen");
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", free_port());
	assert_int_equal(wire_listen(frozen.w, addr, &side_ops, &frozen, NULL),
			 0);
	wire_dial(p.a.w, addr, &side_ops, &p.a);
	while (!p.a.ups) {
		event_base_loop(p.base, EVLOOP_NONBLOCK);
		event_base_loop(other, EVLOOP_NONBLOCK);
	}
	/* From here on the other loop stands still. */
	assert_true(run_until(p.base, &p.a.downs, 1));
	while (p.a.ups < 2) {
		event_base_loop(p.base, EVLOOP_NONBLOCK);
		event_base_loop(other, EVLOOP_NONBLOCK);
	}
	pair_done(&p);
	side_done(&frozen);
	tmr_free(other_tmr);
	event_base_free(other);
}

/*
 * Guards against the loss of all connections at once: this process stood still
 * for longer than the silence time, and ticks before it has read what came.
 */
static void a_pause_is_no_silence(void **state)
{
	struct pair p;

	pair_init(&p, "peer peer " HEX_A, "peer peer " HEX_A);
	wire_dial(p.a.w, p.addr, &side_ops, &p.a);
	assert_true(run_until(p.base, &p.a.ups, 1));
	assert_true(run_until(p.base, &p.b.ups, 1));
	net_run(p.base, SILENCE_MS);
	usleep(2 * SILENCE_MS * 1000);
	net_run(p.base, SILENCE_MS);
	assert_int_equal(p.a.downs, 0);
	assert_int_equal(p.b.downs, 0);
	pair_done(&p);
}

/*
 * Callers wait for a leader after a loss of power. Two connections to a peer
 * that is away wait longer and longer between attempts. The peer comes back;
 * the one whose owner has heard it elsewhere is up first, though it was to be
 * dialled after the other.
 */
static void a_peer_heard_elsewhere_is_dialled_at_once(void **state)
{
	struct side other = {0};
	struct wire_conn *hurried;
	struct pair p;
	char addr[32];

	pair_init(&p, "peer peer " HEX_A, "peer peer " HEX_A);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", free_port());
	wire_dial(p.a.w, addr, &side_ops, &other);
	hurried = wire_dial(p.a.w, addr, &side_ops, &p.a);
	net_run(p.base, AWAY_MS);
	assert_int_equal(wire_listen(p.b.w, addr, &side_ops, &p.b, NULL), 0);
	wire_hurry(hurried);
	assert_true(run_until(p.base, &p.a.ups, 1));
	assert_int_equal(other.ups, 0);
	wire_hurry(hurried); /* one that is up is left alone */
	assert_true(run_until(p.base, &other.ups, 1));
	assert_int_equal(p.a.downs, 0);
	pair_done(&p);
}

/* A frame is taken once, in its own direction, in its own session only. */
static void a_replayed_frame_fails_its_tag(void **state)
{
	struct key key = {.name = "peer", .role = KEY_PEER};
	struct wire_hello d;
	struct wire_hello a;
	struct wire_dir out;
	struct wire_dir in;
	struct wire_dir back;
	struct wire_dir unused;
	uint8_t tag[WIRE_TAG_BYTES];

	assert_true(sodium_init() >= 0);
	wire_hello_fill(&d, "peer", "d", "z");
	wire_hello_fill(&a, "peer", "a", "z");
	wire_session(&key, &d, &a, &out, &back);
	wire_session(&key, &d, &a, &in, &unused);
	wire_tag(&out, LSTR("move vm"), tag);
	assert_false(wire_tag_check(&back, LSTR("move vm"), tag));
	assert_true(wire_tag_check(&in, LSTR("move vm"), tag));
	assert_false(wire_tag_check(&in, LSTR("move vm"), tag));
	wire_hello_fill(&a, "peer", "a", "z");
	wire_session(&key, &d, &a, &in, &unused);
	assert_false(wire_tag_check(&in, LSTR("move vm"), tag));
}

static void key_files_are_checked(void **state)
{
	static const char *const bad[] = {
		"",
		"peer\n",
		"peer boss " HEX_A,
		"peer peer 00",
		"peer peer " HEX_A "00",
		"peer peer " HEX_A "\npeer read " HEX_B,
	};
	GError *err = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		assert_null(keys_of(bad[i], 0600, &err));
		assert_int_equal(err->code, ERR_INPUT);
		g_clear_error(&err);
	}
	assert_null(keys_of("peer peer " HEX_A, 0640, &err));
	assert_non_null(strstr(err->message, "group"));
	g_clear_error(&err);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(messages_pass_between_known_peers),
		cmocka_unit_test(a_large_message_takes_few_turns),
		cmocka_unit_test(a_wrong_key_is_not_let_in),
		cmocka_unit_test(garbage_and_oversized_frames_close),
		cmocka_unit_test(unproved_connections_are_bounded),
		cmocka_unit_test(the_last_places_are_kept),
		cmocka_unit_test(unfinished_frames_are_bounded),
		cmocka_unit_test(a_silent_connection_is_given_up),
		cmocka_unit_test(a_pause_is_no_silence),
		cmocka_unit_test(a_peer_heard_elsewhere_is_dialled_at_once),
		cmocka_unit_test(a_replayed_frame_fails_its_tag),
		cmocka_unit_test(key_files_are_checked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
