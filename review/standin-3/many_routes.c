#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Writes a configuration in the body format of the deploy file to standard
 * output: one queue at /p/ for jobs, and any number of routes that get no
 * calls, all of the service "p".
 */

static void put_text(msgpack_packer *p, const char *text)
{
	msgpack_pack_str(p, strlen(text));
	msgpack_pack_str_body(p, text, strlen(text));
}

static void put_number(msgpack_packer *p, const char *key, uint64_t value)
{
	put_text(p, key);
	msgpack_pack_uint64(p, value);
}

static void put_field(msgpack_packer *p, const char *key, const char *text)
{
	put_text(p, key);
	put_text(p, text);
}

static void put_flag(msgpack_packer *p, const char *key)
{
	put_text(p, key);
	msgpack_pack_false(p);
}

/* Writes one route. */
static void put_route(msgpack_packer *p, const char *name, const char *host,
		      const char *prefix, uint64_t attempts)
{
	msgpack_pack_map(p, 10);
	put_field(p, "name", name);
	put_field(p, "hostname", host);
	put_field(p, "path-prefix", prefix);
	put_field(p, "route-type", "unsafe");
	put_number(p, "timeout-ms", 3000);
	put_number(p, "slo-ms", 600);
	put_number(p, "priority", 0);
	put_field(p, "backend", "p");
	put_number(p, "attempts", attempts);
	put_text(p, "stretch");
	msgpack_pack_double(p, 1.6);
}

/* Writes the services and the limits. */
static void put_rest(msgpack_packer *p)
{
	put_text(p, "services");
	msgpack_pack_array(p, 1);
	msgpack_pack_map(p, 7);
	put_field(p, "name", "p");
	put_field(p, "health-path", "/health");
	put_number(p, "max-conns", 64);
	put_field(p, "protocol", "h1");
	put_flag(p, "tls");
	put_flag(p, "enforces-capacity");
	put_flag(p, "standby");
	put_text(p, "limits");
	msgpack_pack_map(p, 4);
	put_number(p, "max-header-bytes", 16384);
	put_number(p, "max-body-bytes", 262144);
	put_number(p, "header-timeout-ms", 3000);
	put_number(p, "idle-timeout-ms", 15000);
}

int main(int argc, char **argv)
{
	uint64_t version = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	unsigned int routes = argc > 2 ? (unsigned int)atoi(argv[2]) : 0;
	const char *host = argc > 3 ? argv[3] : "127.0.0.4";
	uint64_t attempts = argc > 4 ? strtoull(argv[4], NULL, 10) : 3;
	msgpack_sbuffer out;
	msgpack_packer p;
	char name[32];
	char idle[32];
	char prefix[32];
	unsigned int i;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&p, &out, msgpack_sbuffer_write);
	msgpack_pack_map(&p, 4);
	put_number(&p, "version", version);
	put_text(&p, "routes");
	msgpack_pack_array(&p, routes + 1);
	put_route(&p, "p", host, "/p/", attempts);
	for (i = 0; i < routes; i++) {
		snprintf(name, sizeof(name), "r-%07u", i);
		snprintf(idle, sizeof(idle), "h%u.example", i % 40);
		snprintf(prefix, sizeof(prefix), "/idle%06u/", i);
		put_route(&p, name, idle, prefix, attempts);
	}
	put_rest(&p);
	fwrite(out.data, 1, out.size, stdout);
	msgpack_sbuffer_destroy(&out);
	return 0;
}
