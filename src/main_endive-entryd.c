#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "ent.h"
#include "msg.h"
#include "set.h"

static void entryd_on_term(evutil_socket_t sig, short what, void *arg);

static void entryd_on_term(evutil_socket_t sig, short what, void *arg)
{
	ent_drain(arg);
}

int main(int argc, char **argv)
{
	struct ent_config cfg = {0};
	char *key_path = NULL;
	char *level = NULL;
	static const struct fdb_demand wants[FDB_PARTS] = {
		[FDB_FILES] = {.min = 32},
		[FDB_PEERS] = {.min = 48, .weight = 1},
		/* targets announce themselves there */
		[FDB_OPERATORS] = {.min = 48, .weight = 4},
		[FDB_CALLERS] = {.min = 48, .weight = 4},
		[FDB_TARGETS] = {.min = 48, .weight = 4},
	};
	long long descriptors = 0;
	const struct set_def defs[] = {
		{"node", SET_NAME, &cfg.node, NULL, 0, 0, NULL,
		 "Name of this process, one in the fleet"},
		{"zone", SET_NAME, &cfg.zone, NULL, 0, 0, NULL,
		 "Availability zone it is in"},
		{"listen", SET_ADDR, &cfg.listen, NULL, 0, 0, NULL,
		 "Where callers and other zones reach it"},
		{"admin", SET_ADDR, &cfg.admin, NULL, 0, 0, NULL,
		 "Where targets announce themselves; health and metrics"},
		{"wire", SET_ADDR, &cfg.wire, NULL, 0, 0, NULL,
		 "Where other entry daemons reach it"},
		{"voters", SET_ADDRS, &cfg.voters, "", 0, 0, NULL,
		 "Control daemons"},
		{"peers", SET_ADDRS, &cfg.peers, "", 0, 0, NULL,
		 "Wires of all entry daemons, this one may be among them"},
		{"keys", SET_FILE, &key_path, NULL, 0, 0, NULL,
		 "Key file; its first key is this process's own"},
		{"max-conns", SET_INT, &cfg.max_conns, "4000", 1, 60000, NULL,
		 "Callers' connections at once"},
		{"memory-mb", SET_INT, &cfg.memory, "0", 0, 1000000, NULL,
		 "Memory it may use, MiB; 0: the machine's"},
		{"descriptors", SET_INT, &descriptors, "0", 0, 10000000, NULL,
		 "Open files it may have; 0: the limit that it runs under"},
		{"drain-ms", SET_INT, &cfg.drain_ms, "3000", 0, 600000, NULL,
		 "After SIGTERM: serve on while the health page fails"},
		{"stop-ms", SET_INT, &cfg.stop_ms, "60000", 1, 3600000, NULL,
		 "After that: longest wait for requests in flight"},
		{"silence-ms", SET_INT, &cfg.silence_ms, "1000", 100, 60000,
		 NULL, "A peer not heard for so long is taken as gone"},
		{"log-level", SET_WORD, &level, "notice", 0, 0,
		 "debug|info|notice|warn|error", "Least level that is logged"},
	};
	enum msg_level lowest = MSG_NOTICE;
	struct event *term;
	struct event *intr;
	GError *err = NULL;
	struct ent *e;
	int rc;

	rc = set_parse("endive-entryd",
		       "Carries callers' requests to the targets of a zone.",
		       defs, G_N_ELEMENTS(defs), &argc, &argv);
	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	cfg.memory <<= 20;
	msg_level_parse(level, &lowest);
	msg_init("endive-entryd", lowest);
	if (fdb_split(&cfg.descriptors, fdb_limit(descriptors, 0), wants, &err))
		cfg.keys = keyring_load(key_path, &err);
	if (!cfg.keys) {
		fprintf(stderr, "endive-entryd: %s\n", err->message);
		return SET_EXIT_USAGE;
	}
	cfg.base = event_base_new();
	e = ent_new(&cfg, &err);
	if (!e) {
		fprintf(stderr, "endive-entryd: %s\n", err->message);
		return 1;
	}
	term = evsignal_new(cfg.base, SIGTERM, entryd_on_term, e);
	intr = evsignal_new(cfg.base, SIGINT, entryd_on_term, e);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	event_base_dispatch(cfg.base);
	event_free(term);
	event_free(intr);
	ent_free(e);
	/* callbacks that libevent has deferred keep closed connections */
	event_base_loop(cfg.base, EVLOOP_NONBLOCK);
	event_base_free(cfg.base);
	keyring_free(cfg.keys);
	set_free(defs, G_N_ELEMENTS(defs));
	msg_done();
	return 0;
}
