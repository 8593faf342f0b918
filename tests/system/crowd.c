#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "key.h"
#include "wire_frame.h"

/*
 * Clients that don't behave: each connection sends one shape of bytes, reads no
 * answer and stays open until this process is ended. Usage:
 *
 *   crowd IP:PORT PATH SHAPE CONNECTIONS BYTES [IP:PORT PATH ...]
 *
 * BYTES is what each connection sends at most. One line is printed once nothing
 * more can be sent.
 */

/* No connection could send for this long: the crowd is settled, ms. */
#define CROWD_SETTLED_MS 1000
/* Between two turns of shapes that send single bytes, us. */
#define CROWD_DRIP_US 100
#define CROWD_POLL_US 2000
#define CROWD_RECEIVE_BUFFER 4096
#define CROWD_HANDSHAKE_S 3
#define CROWD_LARGE_CHUNK (32 << 10)
/* More than the head of a request takes, bytes. */
#define CROWD_HEAD_SPARE 200
/* A frame that a proved peer may send. */
#define CROWD_FRAME_BYTES (4u << 20)

struct crowd;

/* A shape of bytes. */
struct crowd_shape {
	const char *name;
	/* appends what a connection begins with; may be NULL */
	void (*begin)(const struct crowd *c, GString *out);
	/* appends what it goes on with */
	void (*next)(const struct crowd *c, GString *out);
	bool (*handshake)(int fd); /* before the first byte; may be NULL */
	bool drip; /* a byte a packet */
};

/* Connections of one shape to one address. */
struct crowd {
	const struct crowd_shape *shape;
	struct sockaddr_in to;
	const char *path;
	size_t bytes;
};

struct crowd_conn {
	const struct crowd *crowd;
	int fd; /* -1: closed */
	GString *out;
	size_t sent_of_out;
	size_t sent;
};

static void crowd_chunked(const struct crowd *c, GString *out);
static void crowd_one_byte_chunks(const struct crowd *c, GString *out);
static void crowd_extended_chunks(const struct crowd *c, GString *out);
static void crowd_large_chunks(const struct crowd *c, GString *out);
static void crowd_length(const struct crowd *c, GString *out);
static void crowd_whole(const struct crowd *c, GString *out);
static void crowd_body_bytes(const struct crowd *c, GString *out);
static void crowd_request_line(const struct crowd *c, GString *out);
static void crowd_header(const struct crowd *c, GString *out);
static void crowd_trailers(const struct crowd *c, GString *out);
static void crowd_trailer(const struct crowd *c, GString *out);
static void crowd_request(const struct crowd *c, GString *out);
static void crowd_burst(const struct crowd *c, GString *out);
static void crowd_bare_request(const struct crowd *c, GString *out);
static void crowd_old_request(const struct crowd *c, GString *out);
static void crowd_half_hello(const struct crowd *c, GString *out);
static void crowd_large_frame(const struct crowd *c, GString *out);
static bool crowd_prove(int fd);
static bool crowd_read(int fd, void *buf, size_t len);
static void crowd_parse(struct crowd *c, char **argv);
static struct crowd_conn *crowd_open(const struct crowd *c);
static bool crowd_send(struct crowd_conn *c);
static void crowd_fill(struct crowd_conn *c);
static void crowd_close(struct crowd_conn *c);
static bool crowd_turn(GPtrArray *conns);
static void crowd_run(GPtrArray *conns);
static void crowd_report(const GPtrArray *conns);

static const struct crowd_shape crowd_shapes[] = {
	{"one-byte-chunks", crowd_chunked, crowd_one_byte_chunks, NULL, false},
	{"extended-chunks", crowd_chunked, crowd_extended_chunks, NULL, false},
	{"large-chunks", crowd_chunked, crowd_large_chunks, NULL, false},
	{"length", crowd_length, crowd_body_bytes, NULL, false},
	{"whole", crowd_whole, crowd_body_bytes, NULL, false},
	{"slow-length", crowd_length, crowd_body_bytes, NULL, true},
	{"slow-chunks", crowd_chunked, crowd_one_byte_chunks, NULL, true},
	{"head", crowd_request_line, crowd_header, NULL, false},
	{"slow-head", crowd_request_line, crowd_header, NULL, true},
	{"trailers", crowd_trailers, crowd_trailer, NULL, false},
	{"ahead", NULL, crowd_request, NULL, false},
	{"burst", NULL, crowd_burst, NULL, false},
	{"bare", NULL, crowd_bare_request, NULL, false},
	{"old", NULL, crowd_old_request, NULL, false},
	{"half-hello", crowd_half_hello, crowd_body_bytes, NULL, true},
	{"large-frame", crowd_large_frame, crowd_body_bytes, NULL, false},
	{"peer-frame", crowd_large_frame, crowd_body_bytes, crowd_prove, false},
};

/* The head of a request with a chunked body. */
static void crowd_chunked(const struct crowd *c, GString *out)
{
	g_string_append_printf(out,
			       "POST %s00000000000000ff HTTP/1.1\r\n"
			       "Host: 127.0.0.4\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n",
			       c->path);
}

/* A chunk of one byte. */
static void crowd_one_byte_chunks(const struct crowd *c, GString *out)
{
	g_string_append(out, "1\r\nx\r\n");
}

/* A chunk of one byte with an extension of 200. */
static void crowd_extended_chunks(const struct crowd *c, GString *out)
{
	g_string_append_printf(out, "1;%0200d\r\nx\r\n", 0);
}

/* A large chunk. */
static void crowd_large_chunks(const struct crowd *c, GString *out)
{
	g_string_append_printf(out, "%x\r\n", CROWD_LARGE_CHUNK);
	crowd_body_bytes(c, out);
	g_string_append(out, "\r\n");
}

/* The head of a request whose body lacks its last byte. */
static void crowd_length(const struct crowd *c, GString *out)
{
	g_string_append_printf(out,
			       "POST %s00000000000000ff HTTP/1.1\r\n"
			       "Host: 127.0.0.4\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       c->path, c->bytes);
}

/* The head of a request that arrives whole; a part of another follows. */
static void crowd_whole(const struct crowd *c, GString *out)
{
	g_string_append_printf(out,
			       "POST %s00000000000000ff HTTP/1.1\r\n"
			       "Host: 127.0.0.4\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       c->path, c->bytes - CROWD_HEAD_SPARE);
}

/* Bytes of a body. */
static void crowd_body_bytes(const struct crowd *c, GString *out)
{
	static char bytes[CROWD_LARGE_CHUNK];

	g_string_append_len(out, bytes, sizeof(bytes));
}

/* The first line of a request whose head doesn't end. */
static void crowd_request_line(const struct crowd *c, GString *out)
{
	g_string_append_printf(out, "GET %s HTTP/1.1\r\nHost: 127.0.0.4\r\n",
			       c->path);
}

/* A line of a head that doesn't end. */
static void crowd_header(const struct crowd *c, GString *out)
{
	g_string_append_printf(out, "X-Header: %0180d\r\n", 0);
}

/* A chunked body that has ended but for its trailers. */
static void crowd_trailers(const struct crowd *c, GString *out)
{
	crowd_chunked(c, out);
	g_string_append(out, "1\r\nx\r\n0\r\n");
}

/* A short trailer. */
static void crowd_trailer(const struct crowd *c, GString *out)
{
	g_string_append(out, "a:b\r\n");
}

/* A whole request. */
static void crowd_request(const struct crowd *c, GString *out)
{
	g_string_append_printf(
		out, "GET %s HTTP/1.1\r\nHost: 127.0.0.4\r\n\r\n", c->path);
}

/* Many requests in one packet. */
static void crowd_burst(const struct crowd *c, GString *out)
{
	int i;

	for (i = 0; i < 100; i++)
		crowd_request(c, out);
}

/* A request without headers. */
static void crowd_bare_request(const struct crowd *c, GString *out)
{
	g_string_append_printf(out, "GET %s HTTP/1.1\r\n\r\n", c->path);
}

/* A request of HTTP/1.0 that keeps the connection. */
static void crowd_old_request(const struct crowd *c, GString *out)
{
	g_string_append_printf(
		out, "GET %s HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		c->path);
}

/* A first frame of the wire that lacks its last byte. */
static void crowd_half_hello(const struct crowd *c, GString *out)
{
	uint32_t be = htonl((uint32_t)c->bytes);

	g_string_append_len(out, (const char *)&be, sizeof(be));
}

/* The length of a large frame of the wire. */
static void crowd_large_frame(const struct crowd *c, GString *out)
{
	uint32_t be = htonl(CROWD_FRAME_BYTES);

	g_string_append_len(out, (const char *)&be, sizeof(be));
}

/* Opens a session of the wire as a peer of an open network does. */
static bool crowd_prove(int fd)
{
	struct keyring *keys = keyring_open_network();
	const struct key *key = keyring_first(keys);
	uint32_t proof_be = htonl(WIRE_TAG_BYTES);
	uint8_t tag[WIRE_TAG_BYTES];
	char answer[WIRE_HELLO_MAX];
	struct wire_hello ours;
	struct wire_hello theirs;
	struct wire_dir out;
	struct wire_dir in;
	GString *hello;
	uint32_t be;
	bool ok;

	wire_hello_fill(&ours, key->name, "crowd", "nowhere");
	hello = wire_hello_pack(&ours);
	be = htonl((uint32_t)hello->len);
	ok = send(fd, &be, sizeof(be), MSG_NOSIGNAL) == sizeof(be) &&
	     send(fd, hello->str, hello->len, MSG_NOSIGNAL) ==
		     (ssize_t)hello->len &&
	     crowd_read(fd, &be, sizeof(be)) && ntohl(be) <= sizeof(answer) &&
	     crowd_read(fd, answer, ntohl(be)) &&
	     wire_hello_unpack(lstr_n(answer, ntohl(be)), &theirs);
	if (ok) {
		wire_session(key, &ours, &theirs, &out, &in);
		wire_tag(&out, lstr_n("", 0), tag);
		ok = send(fd, &proof_be, sizeof(proof_be), MSG_NOSIGNAL) ==
			     sizeof(proof_be) &&
		     send(fd, tag, sizeof(tag), MSG_NOSIGNAL) == sizeof(tag);
	}
	g_string_free(hello, TRUE);
	keyring_free(keys);
	return ok;
}

/* Reads len bytes from a blocking socket. */
static bool crowd_read(int fd, void *buf, size_t len)
{
	return recv(fd, buf, len, MSG_WAITALL) == (ssize_t)len;
}

/* Reads the five arguments of a crowd; ends the process if one is wrong. */
static void crowd_parse(struct crowd *c, char **argv)
{
	char *colon = strchr(argv[0], ':');
	size_t i;

	c->path = argv[1];
	c->bytes = strtoul(argv[4], NULL, 10);
	for (i = 0; i < G_N_ELEMENTS(crowd_shapes); i++)
		if (strcmp(crowd_shapes[i].name, argv[2]) == 0)
			c->shape = &crowd_shapes[i];
	if (colon)
		*colon = '\0';
	c->to.sin_family = AF_INET;
	if (!colon || !c->shape ||
	    inet_pton(AF_INET, argv[0], &c->to.sin_addr) != 1) {
		fprintf(stderr, "crowd: address \"%s\" or shape \"%s\"\n",
			argv[0], argv[2]);
		exit(2);
	}
	c->to.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
}

/* Opens a connection. */
static struct crowd_conn *crowd_open(const struct crowd *c)
{
	struct crowd_conn *conn = g_new0(struct crowd_conn, 1);
	const struct timeval patience = {.tv_sec = CROWD_HANDSHAKE_S};
	int small = CROWD_RECEIVE_BUFFER;
	int one = 1;

	conn->crowd = c;
	conn->out = g_string_new(NULL);
	conn->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	setsockopt(conn->fd, SOL_SOCKET, SO_RCVTIMEO, &patience,
		   sizeof(patience));
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(conn->fd, (const struct sockaddr *)&c->to, sizeof(c->to)) !=
		    0 ||
	    (c->shape->handshake && !c->shape->handshake(conn->fd))) {
		crowd_close(conn);
		return conn;
	}
	fcntl(conn->fd, F_SETFL, O_NONBLOCK);
	if (c->shape->begin)
		c->shape->begin(c, conn->out);
	return conn;
}

/* Sends what a connection can take now; false: nothing. */
static bool crowd_send(struct crowd_conn *c)
{
	const struct crowd *crowd = c->crowd;
	size_t left;
	ssize_t n;

	if (c->fd < 0 || c->sent + 1 >= crowd->bytes)
		return false;
	if (c->sent_of_out == c->out->len)
		crowd_fill(c);
	/* the last byte is never sent */
	left = MIN(c->out->len - c->sent_of_out, crowd->bytes - 1 - c->sent);
	if (crowd->shape->drip)
		left = 1;
	n = send(c->fd, c->out->str + c->sent_of_out, left, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN)
		crowd_close(c);
	if (n <= 0)
		return false;
	c->sent_of_out += (size_t)n;
	c->sent += (size_t)n;
	return true;
}

/* Prepares the next bytes of a connection. */
static void crowd_fill(struct crowd_conn *c)
{
	g_string_truncate(c->out, 0);
	c->sent_of_out = 0;
	c->crowd->shape->next(c->crowd, c->out);
}

/* Closes a connection. */
static void crowd_close(struct crowd_conn *c)
{
	close(c->fd);
	c->fd = -1;
}

/* Has each connection send once; false: none could. */
static bool crowd_turn(GPtrArray *conns)
{
	bool any = false;
	guint i;

	for (i = 0; i < conns->len; i++)
		any |= crowd_send(g_ptr_array_index(conns, i));
	return any;
}

/* Sends until no connection can send any more. */
static void crowd_run(GPtrArray *conns)
{
	const struct crowd_conn *first = g_ptr_array_index(conns, 0);
	gint64 last_us = g_get_monotonic_time();

	while (g_get_monotonic_time() - last_us < CROWD_SETTLED_MS * 1000) {
		if (crowd_turn(conns)) {
			last_us = g_get_monotonic_time();
			if (first->crowd->shape->drip)
				g_usleep(CROWD_DRIP_US);
		} else {
			g_usleep(CROWD_POLL_US);
		}
	}
}

/* Prints what was sent, and how many connections the peer has closed. */
static void crowd_report(const GPtrArray *conns)
{
	unsigned int closed = 0;
	size_t sent = 0;
	guint i;

	for (i = 0; i < conns->len; i++) {
		const struct crowd_conn *c = g_ptr_array_index(conns, i);
		struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};

		sent += c->sent;
		if (c->fd < 0 ||
		    (poll(&p, 1, 0) == 1 &&
		     (p.revents & (POLLRDHUP | POLLHUP | POLLERR))))
			closed++;
	}
	printf("settled connections=%u closed=%u sent_kib=%zu\n", conns->len,
	       closed, sent >> 10);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	GPtrArray *conns = g_ptr_array_new();
	GPtrArray *crowds = g_ptr_array_new_with_free_func(g_free);
	int i;

	if (argc < 6 || argc % 5 != 1) {
		fprintf(stderr, "usage: crowd IP:PORT PATH SHAPE CONNECTIONS "
				"BYTES ...\n");
		return 2;
	}
	for (i = 1; i < argc; i += 5) {
		struct crowd *c = g_new0(struct crowd, 1);
		unsigned long n = strtoul(argv[i + 3], NULL, 10);

		g_ptr_array_add(crowds, c);
		crowd_parse(c, argv + i);
		while (n--)
			g_ptr_array_add(conns, crowd_open(c));
	}
	crowd_run(conns);
	crowd_report(conns);
	pause();
	return 0;
}
