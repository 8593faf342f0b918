#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define NET_POLL_US 2000
/* Limit of open files while the descriptors are exhausted. */
#define NET_LOW_FILE_LIMIT 128

const struct fdb net_descriptors = {
	.limit = 500,
	.share = {100, 100, 100, 100, 100},
};

/*
 * Ignores SIGPIPE, as each daemon does at its start: a closed peer is an error
 * for the code under test to handle and must not end the test.
 */
__attribute__((constructor)) static void net_ignore_sigpipe(void)
{
	signal(SIGPIPE, SIG_IGN);
}

/* Returns a listening socket on a free port, which is stored in port. */
int net_listen(int *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert(bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0);
	g_assert(listen(fd, 16) == 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	return fd;
}

/* Returns a socket that is connected to a loopback port. */
int net_dial(int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert(connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0);
	g_assert(fcntl(fd, F_SETFL, O_NONBLOCK) == 0);
	return fd;
}

/* Sends len bytes, or a string if len is -1. A closed peer is not an error. */
void net_send(int fd, const char *bytes, gssize len)
{
	ssize_t n = send(fd, bytes, len < 0 ? strlen(bytes) : (size_t)len,
			 MSG_NOSIGNAL);

	(void)n;
}

/* Runs the loop for ms milliseconds. */
void net_run(struct event_base *base, int ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;

	while (g_get_monotonic_time() < end) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		g_usleep(NET_POLL_US / 4);
	}
}

/*
 * Runs the loop until the peer has closed fd, `until` has arrived or ms have
 * passed. Returns the bytes read; closed: whether the peer has closed fd.
 */
GString *net_read(struct event_base *base, int fd, const char *until, int ms,
		  bool *closed)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;
	GString *got = g_string_new("");
	char buf[4096];
	ssize_t n;

	*closed = false;
	while (g_get_monotonic_time() < end && !*closed) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), 0);
		if (n > 0)
			g_string_append_len(got, buf, n);
		else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
			*closed = true;
		else
			g_usleep(NET_POLL_US / 4);
		if (until && strstr(got->str, until))
			break;
	}
	return got;
}

/* Returns the next connection to a listening socket, or -1 after ms. */
int net_accept(struct event_base *base, int fd, int ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;
	int got = -1;

	while (got < 0 && g_get_monotonic_time() < end) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		got = accept4(fd, NULL, NULL, SOCK_NONBLOCK);
		if (got < 0)
			g_usleep(NET_POLL_US / 4);
	}
	return got;
}

/*
 * Lowers the limit of open files and opens all descriptors below it but
 * n_spare, so that the code under test runs out of them.
 */
struct net_held_descriptors net_exhaust_descriptors(unsigned int n_spare)
{
	struct net_held_descriptors t = {
		.fds = g_array_new(FALSE, FALSE, sizeof(int))};
	struct rlimit r;
	int fd;

	g_assert(getrlimit(RLIMIT_NOFILE, &r) == 0);
	t.limit = r.rlim_cur;
	r.rlim_cur = NET_LOW_FILE_LIMIT;
	g_assert(setrlimit(RLIMIT_NOFILE, &r) == 0);
	while ((fd = dup(STDERR_FILENO)) >= 0)
		g_array_append_val(t.fds, fd);
	g_assert(errno == EMFILE && t.fds->len >= n_spare);
	for (; n_spare; n_spare--) {
		close(g_array_index(t.fds, int, t.fds->len - 1));
		g_array_set_size(t.fds, t.fds->len - 1);
	}
	return t;
}

/* Closes the held descriptors and restores the limit of open files. */
void net_release_descriptors(struct net_held_descriptors *t)
{
	struct rlimit r;
	guint i;

	for (i = 0; i < t->fds->len; i++)
		close(g_array_index(t->fds, int, i));
	g_array_free(t->fds, TRUE);
	g_assert(getrlimit(RLIMIT_NOFILE, &r) == 0);
	r.rlim_cur = t->limit;
	g_assert(setrlimit(RLIMIT_NOFILE, &r) == 0);
}
