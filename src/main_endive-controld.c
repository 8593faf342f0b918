#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "ctl.h"
#include "err.h"
#include "msg.h"
#include "set.h"

/* Interval between attempts to start on a full disk, us. */
#define FULL_RETRY_US (500 * G_TIME_SPAN_MILLISECOND)

static void controld_on_term(evutil_socket_t sig, short what, void *arg);
static struct ctl *controld_start(const struct ctl_config *cfg, GError **err);
static int controld_run(struct ctl_config *cfg);
static int controld_recover(const struct ctl_config *cfg);
static void controld_free(struct ctl_config *cfg);

static void controld_on_term(evutil_socket_t sig, short what, void *arg)
{
	ctl_drain(arg);
}

/* Starts the voter; a full disk is waited out. */
static struct ctl *controld_start(const struct ctl_config *cfg, GError **err)
{
	struct ctl *c = ctl_new(cfg, err);
	bool said = false;

	while (!c && g_error_matches(*err, ERR_DOMAIN, ERR_NO_SPACE)) {
		if (!said)
			msg(MSG_STO_FULL, "node=%s why=\"%s\" does=wait",
			    cfg->node, (*err)->message);
		said = true;
		g_clear_error(err);
		g_usleep(FULL_RETRY_US);
		c = ctl_new(cfg, err);
	}
	return c;
}

static int controld_run(struct ctl_config *cfg)
{
	struct event *term;
	struct event *intr;
	GError *err = NULL;
	struct ctl *c;
	int rc;

	cfg->base = event_base_new();
	c = controld_start(cfg, &err);
	if (!c) {
		fprintf(stderr, "endive-controld: %s\n", err->message);
		g_clear_error(&err);
		event_base_free(cfg->base);
		return 1;
	}
	term = evsignal_new(cfg->base, SIGTERM, controld_on_term, c);
	intr = evsignal_new(cfg->base, SIGINT, controld_on_term, c);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	event_base_dispatch(cfg->base);
	rc = ctl_failed(c) ? 1 : 0;
	event_free(term);
	event_free(intr);
	ctl_free(c);
	/* callbacks that libevent has deferred keep closed connections */
	event_base_loop(cfg->base, EVLOOP_NONBLOCK);
	event_base_free(cfg->base);
	return rc;
}

static int controld_recover(const struct ctl_config *cfg)
{
	GError *err = NULL;

	if (ctl_recover(cfg, &err)) {
		printf("This voter is the only one now. Changes that only the "
		       "lost voters had\naccepted are LOST; the audit trail "
		       "says so. Start it without --recover-alone,\nand the "
		       "others with empty data folders.\n");
		return 0;
	}
	fprintf(stderr, "endive-controld: %s\n", err->message);
	g_clear_error(&err);
	return 1;
}

static void controld_free(struct ctl_config *cfg)
{
	g_free(cfg->node);
	g_free(cfg->zone);
	g_free(cfg->listen);
	g_free(cfg->http);
	g_free(cfg->data);
	g_strfreev(cfg->peers);
}

int main(int argc, char **argv)
{
	struct ctl_config cfg = {0};
	char *key_path = NULL;
	char *level = NULL;
	char *recover = NULL;
	static const struct fdb_demand wants[FDB_PARTS] = {
		[FDB_FILES] = {.min = 32},
		[FDB_PEERS] = {.min = 96, .weight = 8},
		[FDB_OPERATORS] = {.min = 16, .weight = 1},
	};
	long long descriptors = 0;
	const struct set_def defs[] = {
		{"node", SET_NAME, &cfg.node, NULL, 0, 0, NULL,
		 "Name of this process, one in the fleet"},
		{"zone", SET_NAME, &cfg.zone, NULL, 0, 0, NULL,
		 "Availability zone it is in"},
		{"listen", SET_ADDR, &cfg.listen, NULL, 0, 0, NULL,
		 "Where voters, entry daemons and clients reach it"},
		{"http", SET_ADDR, &cfg.http, NULL, 0, 0, NULL,
		 "Health page and metrics"},
		{"peers", SET_NODES, &cfg.peers, NULL, 0, 0, NULL,
		 "All voters, this one too"},
		{"keys", SET_FILE, &key_path, NULL, 0, 0, NULL,
		 "Key file; its first key is this process's own"},
		{"data", SET_DIR, &cfg.data, NULL, 0, 0, NULL,
		 "Data folder, of this voter alone"},
		{"initial", SET_FLAG, &cfg.initial, "0", 0, 0, NULL,
		 "Begin a new fleet if no voter has anything yet"},
		{"recover-alone", SET_WORD, &recover, "", 0, 0, "accept-loss",
		 "Make this the only voter, then end: the others are gone for "
		 "good, with what only they had accepted"},
		{"memory-mb", SET_INT, &cfg.memory, "0", 0, 1000000, NULL,
		 "Memory it may use, MiB; 0: the machine's"},
		{"descriptors", SET_INT, &descriptors, "0", 0, 10000000, NULL,
		 "Open files it may have; 0: the limit that it runs under"},
		{"silence-ms", SET_INT, &cfg.silence_ms, "2000", 100, 60000,
		 NULL, "A peer not heard for so long is taken as gone"},
		{"log-level", SET_WORD, &level, "notice", 0, 0,
		 "debug|info|notice|warn|error", "Least level that is logged"},
	};
	enum msg_level lowest = MSG_NOTICE;
	GError *err = NULL;
	int rc;

	rc = set_parse("endive-controld",
		       "Agrees with the other voters on the fleet's state.",
		       defs, G_N_ELEMENTS(defs), &argc, &argv);
	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	/* A full disk by file-size limit must come back as a failed write. */
	signal(SIGXFSZ, SIG_IGN);
	msg_level_parse(level, &lowest);
	msg_init("endive-controld", lowest);
	cfg.memory <<= 20;
	if (fdb_split(&cfg.descriptors, fdb_limit(descriptors, 0), wants, &err))
		cfg.keys = keyring_load(key_path, &err);
	if (!cfg.keys) {
		fprintf(stderr, "endive-controld: %s\n", err->message);
		g_clear_error(&err);
		return SET_EXIT_USAGE;
	}
	rc = recover ? controld_recover(&cfg) : controld_run(&cfg);
	keyring_free(cfg.keys);
	controld_free(&cfg);
	g_free(key_path);
	g_free(level);
	g_free(recover);
	msg_done();
	return rc;
}
