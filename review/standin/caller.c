#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "plt_map.h"
#include "pk.h"

/*
 * Stands in for a consumer or an operator: makes one call and prints its
 * answer. The words after the target are fields of the body.
 *
 *	caller config TO HOST VERSION SERVICES ROUTES ATTEMPTS
 *	caller job TO HOST PATH SPEC FIELD=NUMBER...
 *	caller get TO HOST PATH
 *	caller delete TO HOST PATH
 *
 * TO is IP:PORT; SERVICES and ROUTES are lists with commas between, and a
 * route has the name of its service: /NAME/ is its prefix. The fields of a job
 * are those of its only step; a flag is FIELD=true, and repeat-count,
 * start-at-ms and interval-ms are the job's own. Prints "STATUS STATE"; 0: no
 * answer.
 */

#define CALLER_WAIT_MS 3000
#define CALLER_REDIRECTS 2
#define CALLER_ANSWER_MAX (1 << 20)

static void put_key(msgpack_packer *p, const char *key)
{
	msgpack_pack_str(p, strlen(key));
	msgpack_pack_str_body(p, key, strlen(key));
}

static void put_config(msgpack_packer *p, char **v)
{
	char **services = g_strsplit(v[1], ",", -1);
	char **routes = *v[2] ? g_strsplit(v[2], ",", -1) : g_new0(char *, 1);
	guint i;

	msgpack_pack_map(p, 3);
	plt_put_int(p, "version", atoll(v[0]));
	put_key(p, "routes");
	msgpack_pack_array(p, g_strv_length(routes));
	for (i = 0; routes[i]; i++) {
		char *prefix = g_strdup_printf("/%s/", routes[i]);

		msgpack_pack_map(p, 8);
		plt_put_cstr(p, "name", routes[i]);
		plt_put_cstr(p, "hostname", "pule25.example");
		plt_put_cstr(p, "path-prefix", prefix);
		plt_put_cstr(p, "route-type", "unsafe");
		plt_put_cstr(p, "backend", routes[i]);
		plt_put_int(p, "timeout-ms", 3000);
		plt_put_int(p, "slo-ms", 2500);
		plt_put_int(p, "attempts", atoll(v[3]));
		g_free(prefix);
	}
	put_key(p, "services");
	msgpack_pack_array(p, g_strv_length(services));
	for (i = 0; services[i]; i++) {
		msgpack_pack_map(p, 2);
		plt_put_cstr(p, "name", services[i]);
		put_key(p, "enforces-capacity");
		msgpack_pack_true(p);
	}
}

static bool is_jobs_own(const char *field)
{
	return g_str_has_prefix(field, "repeat-count=") ||
	       g_str_has_prefix(field, "start-at-ms=") ||
	       g_str_has_prefix(field, "interval-ms=");
}

static void put_field(msgpack_packer *p, const char *field)
{
	char **part = g_strsplit(field, "=", 2);

	put_key(p, part[0]);
	if (strcmp(part[1], "true") == 0)
		msgpack_pack_true(p);
	else
		msgpack_pack_uint64(p, g_ascii_strtoull(part[1], NULL, 10));
	g_strfreev(part);
}

static void put_job(msgpack_packer *p, char **v)
{
	guint n = g_strv_length(v + 1);
	guint own = 0;
	guint i;

	for (i = 1; v[i]; i++)
		own += is_jobs_own(v[i]);
	msgpack_pack_map(p, 2 + own);
	plt_put_cstr(p, "task-spec", v[0]);
	for (i = 1; v[i]; i++)
		if (is_jobs_own(v[i]))
			put_field(p, v[i]);
	put_key(p, "phases");
	msgpack_pack_array(p, 1);
	msgpack_pack_map(p, n - own);
	for (i = 1; v[i]; i++)
		if (!is_jobs_own(v[i]))
			put_field(p, v[i]);
}

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* Sends a request and reads until the other side closes. */
static GString *call(const char *to, const GString *request)
{
	char ip[64];
	char *colon;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int64_t end_ms = now_ms() + CALLER_WAIT_MS;
	GString *out = g_string_new(NULL);
	char part[65536];

	g_strlcpy(ip, to, sizeof(ip));
	colon = strrchr(ip, ':');
	if (!colon)
		return out;
	*colon = '\0';
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &sa.sin_addr);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    send(fd, request->str, request->len, MSG_NOSIGNAL) ==
		    (ssize_t)request->len)
		while (out->len < CALLER_ANSWER_MAX) {
			struct pollfd pf = {.fd = fd, .events = POLLIN};
			int64_t left = end_ms - now_ms();
			ssize_t got;

			if (left <= 0 || poll(&pf, 1, (int)left) <= 0)
				break;
			got = recv(fd, part, sizeof(part), 0);
			if (got <= 0)
				break;
			g_string_append_len(out, part, got);
		}
	close(fd);
	return out;
}

/* The value of a header in an answer, to be freed, or NULL. */
static char *header(const GString *answer, const char *name)
{
	char **lines = g_strsplit(answer->str, "\r\n", -1);
	size_t len = strlen(name);
	char *value = NULL;
	guint i;

	for (i = 0; lines[i] && *lines[i] && !value; i++)
		if (g_ascii_strncasecmp(lines[i], name, len) == 0 &&
		    lines[i][len] == ':')
			value = g_strdup(g_strstrip(lines[i] + len + 1));
	g_strfreev(lines);
	return value;
}

int main(int argc, char **argv)
{
	msgpack_sbuffer buf;
	msgpack_packer p;
	GString *answer = NULL;
	const char *method = "GET";
	const char *path = "/v1/config";
	struct lstr state = {0};
	struct plt_doc d;
	char *to;
	char *body;
	int status = 0;
	int turn;

	if (argc < 5) {
		fprintf(stderr, "caller: see the source for its use\n");
		return 2;
	}
	to = g_strdup(argv[2]);
	pk_buf_init(&buf);
	msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
	if (strcmp(argv[1], "config") == 0) {
		method = "PUT";
		put_config(&p, argv + 4);
	} else if (strcmp(argv[1], "job") == 0) {
		method = "POST";
		path = argv[4];
		put_job(&p, argv + 5);
	} else {
		method = strcmp(argv[1], "delete") == 0 ? "DELETE" : "GET";
		path = argv[4];
	}
	for (turn = 0; turn <= CALLER_REDIRECTS; turn++) {
		GString *r = g_string_new(NULL);
		char *location;

		g_string_append_printf(r,
				       "%s %s HTTP/1.1\r\nHost: %s\r\n"
				       "Deadline-Ms: %d\r\n"
				       "Content-Type: application/msgpack\r\n"
				       "Content-Length: %zu\r\n"
				       "Connection: close\r\n\r\n",
				       method, path, argv[3], CALLER_WAIT_MS,
				       buf.size);
		g_string_append_len(r, buf.data, (gssize)buf.size);
		answer = call(to, r);
		g_string_free(r, TRUE);
		status = 0;
		sscanf(answer->str, "HTTP/1.1 %d", &status);
		location = status == 307 ? header(answer, "Location") : NULL;
		if (!location)
			break;
		g_free(to);
		to = g_strndup(location + strlen("http://"),
			       strcspn(location + strlen("http://"), "/"));
		g_free(location);
	}
	body = strstr(answer->str, "\r\n\r\n");
	if (body && status == 200 &&
	    plt_doc_open(
		    &d, lstr_n(body + 4,
			       answer->len - (size_t)(body + 4 - answer->str))))
		plt_text(d.root, "state", &state);
	printf("%d " LSTR_FMT "\n", status, LSTR_ARG(state));
	return 0;
}
