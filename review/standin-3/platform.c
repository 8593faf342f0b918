#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/*
 * A stand-in for the platform's calls about machines: lists them, and carries
 * out upkeep, which takes UPKEEP_MS. There is one pool, so that a move is done
 * already or names a pool that isn't there. Fences are checked for each machine;
 * wave 1 is of m-new alone. It says on standard output what happens, with the time in ms. The test tells it what to
 * do by GET on paths of its own:
 *
 *	/test/add	adds a machine right after the next list is answered
 *	/test/away?N	answers nothing for N ms
 */

#define UPKEEP_MS 2000
#define MACHINES_MAX 16

struct machine {
	char name[32];
	char worker[64];
	int lifetime;
	bool in_upkeep;
	bool upkeep_done; /* in its wave */
	unsigned long long fence; /* highest that was seen */
};

static struct machine machines[MACHINES_MAX];
static int n_machines;
static bool add_armed;
static int64_t away_until;
static struct event_base *base;
static int64_t began;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void say(const char *what, const char *machine)
{
	printf("%lld %s %s\n", (long long)(now_ms() - began), what, machine);
	fflush(stdout);
}

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

static void add_machine(const char *name, const char *worker)
{
	struct machine *m = &machines[n_machines++];

	memset(m, 0, sizeof(*m));
	snprintf(m->name, sizeof(m->name), "%s", name);
	snprintf(m->worker, sizeof(m->worker), "%s", worker);
	m->lifetime = 1;
}

/* Answers a request with what was packed. */
static void answer(struct evhttp_request *req, int status,
		   msgpack_sbuffer *packed)
{
	struct evbuffer *body = evbuffer_new();

	if (packed)
		evbuffer_add(body, packed->data, packed->size);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/msgpack");
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

/* Answers 409 with a reason. */
static void refuse(struct evhttp_request *req, const char *reason)
{
	msgpack_sbuffer out;
	msgpack_packer p;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&p, &out, msgpack_sbuffer_write);
	msgpack_pack_map(&p, 1);
	put_text(&p, "reason");
	put_text(&p, reason);
	answer(req, 409, &out);
	msgpack_sbuffer_destroy(&out);
}

static void list_machines(struct evhttp_request *req)
{
	msgpack_sbuffer out;
	msgpack_packer p;
	char id[96];
	int i;

	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&p, &out, msgpack_sbuffer_write);
	msgpack_pack_map(&p, 1);
	put_text(&p, "machines");
	msgpack_pack_array(&p, (size_t)n_machines);
	for (i = 0; i < n_machines; i++) {
		const struct machine *m = &machines[i];

		msgpack_pack_map(&p, m->in_upkeep ? 6 : 7);
		put_text(&p, "machine");
		put_text(&p, m->name);
		put_text(&p, "pool");
		put_text(&p, "p");
		put_text(&p, "state");
		put_text(&p, m->in_upkeep ? "upkeep" : "up");
		put_text(&p, "zone");
		put_text(&p, "hall-1");
		put_text(&p, "labels");
		msgpack_pack_array(&p, 0);
		put_text(&p, "capacity");
		msgpack_pack_map(&p, 3);
		put_number(&p, "cpu", 4000);
		put_number(&p, "mem-mb", 16000);
		put_number(&p, "gpus", 0);
		if (m->in_upkeep)
			continue;
		snprintf(id, sizeof(id), "%s-%d", m->worker, m->lifetime);
		put_text(&p, "id");
		put_text(&p, id);
	}
	answer(req, 200, &out);
	msgpack_sbuffer_destroy(&out);
	say("listed", n_machines ? machines[n_machines - 1].name : "-");
	if (!add_armed)
		return;
	add_armed = false;
	add_machine("m-new", "i-15");
	say("added", "m-new");
}

/* Upkeep is over: another lifetime runs on the machine. */
static void upkeep_over(evutil_socket_t fd, short what, void *arg)
{
	struct machine *m = arg;

	m->in_upkeep = false;
	m->lifetime++;
	say("upkeep-over", m->name);
}

/* Reads an order's text and number; false: it can't be read. */
static bool read_order(struct evhttp_request *req, const char *key,
		       char *text, size_t size, uint64_t *number)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	bool found = false;
	msgpack_unpacked u;
	uint32_t i;

	*number = 0;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, (const char *)evbuffer_pullup(in, -1), len,
				NULL) == MSGPACK_UNPACK_SUCCESS &&
	    u.data.type == MSGPACK_OBJECT_MAP)
		for (i = 0; i < u.data.via.map.size; i++) {
			const msgpack_object_kv *kv = &u.data.via.map.ptr[i];

			if (kv->val.type == MSGPACK_OBJECT_POSITIVE_INTEGER)
				*number = kv->val.via.u64;
			if (kv->val.type != MSGPACK_OBJECT_STR ||
			    kv->key.type != MSGPACK_OBJECT_STR ||
			    kv->key.via.str.size != strlen(key) ||
			    memcmp(kv->key.via.str.ptr, key, strlen(key)) ||
			    kv->val.via.str.size >= size)
				continue;
			memcpy(text, kv->val.via.str.ptr,
			       kv->val.via.str.size);
			text[kv->val.via.str.size] = '\0';
			found = true;
		}
	msgpack_unpacked_destroy(&u);
	return found;
}

static void on_order(struct evhttp_request *req, bool move)
{
	const struct timeval takes = {.tv_sec = UPKEEP_MS / 1000};
	const char *token = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Fencing-Token");
	unsigned long long fence = token ? strtoull(token, NULL, 10) : 0;
	struct machine *m = NULL;
	char name[32] = "";
	char pool[32] = "";
	uint64_t wave;
	int i;

	read_order(req, "pool", pool, sizeof(pool), &wave);
	if (read_order(req, "machine", name, sizeof(name), &wave))
		for (i = 0; i < n_machines; i++)
			if (strcmp(machines[i].name, name) == 0)
				m = &machines[i];
	if (!m || (move && strcmp(pool, "p") != 0)) {
		answer(req, 400, NULL);
		return;
	}
	if (fence < m->fence) {
		refuse(req, "fence");
		return;
	}
	m->fence = fence;
	if (!move && (wave != 1 || strcmp(m->name, "m-new") != 0)) {
		refuse(req, "wave");
		return;
	}
	if (!move && !m->upkeep_done) {
		m->upkeep_done = true;
		m->in_upkeep = true;
		say("upkeep-begins", m->name);
		event_base_once(base, -1, EV_TIMEOUT, upkeep_over, m, &takes);
	}
	answer(req, 200, NULL);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const char *uri = evhttp_request_get_uri(req);

	if (strcmp(uri, "/test/add") == 0) {
		add_armed = true;
		answer(req, 200, NULL);
	} else if (strncmp(uri, "/test/away?", 11) == 0) {
		away_until = now_ms() + atoi(uri + 11);
		say("away", uri + 11);
		answer(req, 200, NULL);
	} else if (now_ms() < away_until) {
		/* no answer; the connection stays open */
		say("unanswered", uri);
	} else if (strncmp(uri, "/v1/machines", 12) == 0) {
		list_machines(req);
	} else if (strcmp(uri, "/v1/machine-upkeep") == 0) {
		on_order(req, false);
	} else if (strcmp(uri, "/v1/machine-move") == 0) {
		on_order(req, true);
	} else {
		answer(req, 404, NULL);
	}
}

int main(int argc, char **argv)
{
	struct evhttp *http;
	char name[32];
	char worker[32];
	int i;

	if (argc != 3)
		return 2;
	began = now_ms();
	for (i = 11; i <= 14; i++) {
		snprintf(name, sizeof(name), "m-%d", i);
		snprintf(worker, sizeof(worker), "i-%d", i);
		add_machine(name, worker);
	}
	base = event_base_new();
	http = evhttp_new(base);
	evhttp_set_gencb(http, on_request, NULL);
	if (evhttp_bind_socket(http, argv[1], (unsigned short)atoi(argv[2])))
		return 2;
	return event_base_dispatch(base);
}
