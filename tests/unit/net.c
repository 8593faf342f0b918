#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define NET_TURN_US 2000

/* A listening socket on a free port. */
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

/* A connected socket. */
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

/* Sends bytes; len -1: a string. A peer that is gone is no fault here. */
void net_send(int fd, const char *bytes, gssize len)
{
	ssize_t n = send(fd, bytes, len < 0 ? strlen(bytes) : (size_t)len,
			 MSG_NOSIGNAL);

	(void)n;
}

/* Runs the loop for ms. */
void net_run(struct event_base *base, int ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;

	while (g_get_monotonic_time() < end) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		g_usleep(NET_TURN_US / 4);
	}
}

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
			g_usleep(NET_TURN_US / 4);
		if (until && strstr(got->str, until))
			break;
	}
	return got;
}

/* The next connection to a listening socket, -1 if none comes. */
int net_accept(struct event_base *base, int fd, int ms)
{
	gint64 end = g_get_monotonic_time() + (gint64)ms * 1000;
	int got = -1;

	while (got < 0 && g_get_monotonic_time() < end) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		got = accept4(fd, NULL, NULL, SOCK_NONBLOCK);
		if (got < 0)
			g_usleep(NET_TURN_US / 4);
	}
	return got;
}
