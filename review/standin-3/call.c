#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * One call over HTTP/1.1, as an operator or a caller makes it: call METHOD
 * IP:PORT PATH TIMEOUT_MS [HOST [BODY_FILE]]. Follows a 307 twice. Prints the
 * status, or 000 if there was no whole answer in time, and the answer's body.
 */

#define ANSWER_MAX (4 << 20)

static char answer[ANSWER_MAX + 1];
static char *body;
static size_t body_len;
static long long end_ms;

static long long now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int wait_for(int fd, short events)
{
	struct pollfd p = {.fd = fd, .events = events};
	long long left = end_ms - now_ms();

	return left > 0 && poll(&p, 1, (int)left) == 1;
}

static int send_all(int fd, const char *p, size_t len)
{
	ssize_t n;

	while (len) {
		if (!wait_for(fd, POLLOUT))
			return 0;
		n = send(fd, p, len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n <= 0)
			return 0;
		p += n;
		len -= (size_t)n;
	}
	return 1;
}

/* Returns a header's value, or NULL; the head ends with an empty line. */
static const char *header(const char *name)
{
	const char *p = answer;
	size_t n = strlen(name);

	while ((p = strstr(p, "\r\n")) && p[2] != '\r') {
		p += 2;
		if (strncasecmp(p, name, n) == 0 && p[n] == ':')
			return p + n + 1 + strspn(p + n + 1, " ");
	}
	return NULL;
}

/* Makes one call; returns the status, 0: none. *out is the answer's body. */
static int call(const char *method, const char *addr, const char *path,
		const char *host, const char **out, size_t *out_len)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	char ip[32] = "";
	char head[1024];
	char *end = NULL;
	size_t got = 0;
	size_t want = 0;
	ssize_t n = 0;
	int status = 0;
	int fd;

	if (!colon || (size_t)(colon - addr) >= sizeof(ip))
		return 0;
	memcpy(ip, addr, (size_t)(colon - addr));
	to.sin_port = htons((unsigned short)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &to.sin_addr) != 1 ||
	    (ntohl(to.sin_addr.s_addr) >> 24) != 127)
		return 0;
	fd = socket(AF_INET, SOCK_STREAM, 0);
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return 0;
	}
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
		 "Content-Type: application/msgpack\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 method, path, host ? host : addr, body_len);
	if (send_all(fd, head, strlen(head)) && send_all(fd, body, body_len))
		while (got < ANSWER_MAX && wait_for(fd, POLLIN)) {
			n = recv(fd, answer + got, ANSWER_MAX - got, 0);
			if (n <= 0)
				break;
			got += (size_t)n;
			answer[got] = '\0';
			end = strstr(answer, "\r\n\r\n");
			if (!end)
				continue;
			want = header("Content-Length")
				       ? strtoul(header("Content-Length"), NULL,
						 10)
				       : 0;
			if (got >= (size_t)(end + 4 - answer) + want) {
				status = atoi(answer + strlen("HTTP/1.1 "));
				break;
			}
		}
	close(fd);
	*out = status ? end + 4 : "";
	*out_len = status ? want : 0;
	return status;
}

int main(int argc, char **argv)
{
	char addr[64];
	char path[256];
	const char *out = "";
	const char *to;
	size_t len = 0;
	int status;
	int hops;
	FILE *f;

	if (argc < 5)
		return 2;
	snprintf(addr, sizeof(addr), "%s", argv[2]);
	snprintf(path, sizeof(path), "%s", argv[3]);
	body = malloc(ANSWER_MAX);
	if (argc > 6 && (f = fopen(argv[6], "r"))) {
		body_len = fread(body, 1, ANSWER_MAX, f);
		fclose(f);
	}
	end_ms = now_ms() + atoi(argv[4]);
	status = call(argv[1], addr, path, argc > 5 ? argv[5] : NULL, &out,
		      &len);
	for (hops = 0; status == 307 && hops < 2; hops++) {
		to = header("Location");
		if (!to || sscanf(to, "http://%63[0-9.:]%255[^\r]", addr,
				  path) != 2)
			break;
		status = call(argv[1], addr, path, NULL, &out, &len);
	}
	printf("%03d ", status);
	fwrite(out, 1, len, stdout);
	putchar('\n');
	return 0;
}
