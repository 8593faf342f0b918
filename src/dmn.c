#include "dmn.h"

#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>

#include "err.h"
#include "msg.h"
#include "set.h"

/* How often the file is looked at; it may change without a signal. */
#define DMN_LOOK_S 1
/* Interval between attempts to start on a full disk, us. */
#define DMN_FULL_RETRY_US (500 * G_TIME_SPAN_MILLISECOND)

static void dmn_block_hup(int how);
static bool dmn_keys(struct dmn *d, GError **err);
static struct event_base *dmn_base_new(void);
static int dmn_run(struct dmn *d);
static bool dmn_start(struct dmn *d, GError **err);
static void dmn_on_term(evutil_socket_t sig, short what, void *arg);
static void dmn_on_hup(evutil_socket_t sig, short what, void *arg);
static void dmn_on_look(evutil_socket_t fd, short what, void *arg);
static void dmn_reload(struct dmn *d);
static long long dmn_changed(const char *path);
static int dmn_fail(const struct dmn *d, GError *err, int rc);

/*
 * Runs a daemon until its planned stop. The settings file is named by the flag
 * --settings or by the variable that a platform sets.
 */
int dmn_main(const struct dmn_ops *ops, const char *path_variable, int argc,
	     char **argv)
{
	struct dmn d = {.ops = ops};
	char *path = NULL;
	const struct set_def defs[] = {
		{"settings", SET_FILE, &path, g_getenv(path_variable), 0, 0,
		 NULL, "Settings file; see endiveslip-node.conf(5)"},
	};
	enum msg_level lowest = MSG_NOTICE;
	GError *err = NULL;
	int rc;

	dmn_block_hup(SIG_BLOCK);
	rc = set_parse(ops->name, ops->summary, defs, G_N_ELEMENTS(defs), &argc,
		       &argv);
	if (rc >= 0)
		return rc;
	signal(SIGPIPE, SIG_IGN);
	/* A full disk by file-size limit must come back as a failed write. */
	signal(SIGXFSZ, SIG_IGN);
	d.settings = nst_load(path, &err);
	g_free(path);
	if (!d.settings)
		return dmn_fail(&d, err, SET_EXIT_USAGE);
	d.first = d.settings;
	d.changed = dmn_changed(d.settings->path);
	msg_level_parse(d.settings->log_level, &lowest);
	msg_init(ops->name, lowest);
	if (!fdb_split(&d.descriptors,
		       fdb_limit(d.settings->descriptors,
				 d.settings->descriptors_reserved),
		       ops->descriptors, &err) ||
	    !dmn_keys(&d, &err))
		rc = dmn_fail(&d, err, SET_EXIT_USAGE);
	else
		rc = dmn_run(&d);
	keyring_free(d.keys);
	if (d.settings != d.first)
		nst_free(d.settings);
	nst_free(d.first);
	msg_done();
	return rc;
}

/*
 * Holds up the signal to read the settings again, or lets it come. It ends a
 * process that doesn't handle it yet, and a daemon may be told so while it still
 * starts, or waits for room on its disk.
 */
static void dmn_block_hup(int how)
{
	sigset_t hup;

	sigemptyset(&hup);
	sigaddset(&hup, SIGHUP);
	sigprocmask(how, &hup, NULL);
}

/* Whether a setting that this daemon needs is there. */
bool dmn_needs(const struct dmn *d, const char *key, const char *value,
	       GError **err)
{
	if (value)
		return true;
	err_set(err, ERR_INPUT, "read settings", NULL,
		"%s: [node] %s must be given for %s", d->settings->path, key,
		d->ops->name);
	return false;
}

/* Keys are required unless the network is said to be the fleet's alone. */
static bool dmn_keys(struct dmn *d, GError **err)
{
	const struct nst *s = d->settings;

	if (s->keys) {
		d->keys = keyring_load(s->keys, err);
		return d->keys != NULL;
	}
	if (!s->open_network) {
		err_set(err, ERR_INPUT, "read settings", NULL,
			"%s: [node] keys is missing, and open-network isn't "
			"true",
			s->path);
		return false;
	}
	msg(MSG_SETTINGS,
	    "open-network=true means=\"whoever reaches %s is "
	    "taken as one of the fleet\"",
	    s->wire);
	d->keys = keyring_open_network();
	return true;
}

/*
 * The loop of a daemon. Interest in a socket changes with each message that is
 * written to it; told to the kernel once a turn, and without locks that one
 * thread doesn't need, a leader has more of its time for callers in a burst.
 */
static struct event_base *dmn_base_new(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
	event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/* Runs a daemon until it ends; returns what its process ends with. */
static int dmn_run(struct dmn *d)
{
	const struct timeval every = {.tv_sec = DMN_LOOK_S};
	struct event *term;
	struct event *intr;
	struct event *hup;
	GError *err = NULL;
	int rc;

	d->base = dmn_base_new();
	if (!dmn_start(d, &err)) {
		event_base_free(d->base);
		return dmn_fail(d, err, 1);
	}
	term = evsignal_new(d->base, SIGTERM, dmn_on_term, d);
	intr = evsignal_new(d->base, SIGINT, dmn_on_term, d);
	hup = evsignal_new(d->base, SIGHUP, dmn_on_hup, d);
	d->look = event_new(d->base, -1, EV_PERSIST, dmn_on_look, d);
	evsignal_add(term, NULL);
	evsignal_add(intr, NULL);
	evsignal_add(hup, NULL);
	dmn_block_hup(SIG_UNBLOCK);
	event_add(d->look, &every);
	event_base_dispatch(d->base);
	rc = d->ops->result(d);
	event_free(term);
	event_free(intr);
	event_free(hup);
	event_free(d->look);
	d->ops->stop(d);
	/* callbacks that libevent has deferred keep closed connections */
	event_base_loop(d->base, EVLOOP_NONBLOCK);
	event_base_free(d->base);
	return rc;
}

/*
 * Starts the service. A full disk is waited out: the process would otherwise end
 * and be started again until somebody makes room, and a platform gives up on
 * what ends too often.
 */
static bool dmn_start(struct dmn *d, GError **err)
{
	bool said = false;

	while (!d->ops->start(d, err)) {
		if (!g_error_matches(*err, ERR_DOMAIN, ERR_NO_SPACE))
			return false;
		if (!said)
			msg(MSG_STO_FULL, "node=%s why=\"%s\" does=wait",
			    d->settings->node, (*err)->message);
		said = true;
		g_clear_error(err);
		g_usleep(DMN_FULL_RETRY_US);
	}
	return true;
}

/* The daemon is told to end: it drains first. */
static void dmn_on_term(evutil_socket_t sig, short what, void *arg)
{
	struct dmn *d = arg;

	d->ops->drain(d);
}

/* The daemon is told to read its settings again. */
static void dmn_on_hup(evutil_socket_t sig, short what, void *arg)
{
	dmn_reload(arg);
}

/* Looks whether the settings file changed. */
static void dmn_on_look(evutil_socket_t fd, short what, void *arg)
{
	struct dmn *d = arg;
	long long changed = dmn_changed(d->settings->path);

	if (changed && changed != d->changed)
		dmn_reload(d);
}

/* A file that can't be read or is wrong changes nothing. */
static void dmn_reload(struct dmn *d)
{
	GError *err = NULL;
	struct nst *s = nst_load(d->settings->path, &err);

	d->changed = dmn_changed(d->settings->path);
	if (!s) {
		msg(MSG_SETTINGS, "reload=refused why=\"%s\"", err->message);
		g_clear_error(&err);
		return;
	}
	if (d->settings != d->first)
		nst_free(d->settings);
	d->settings = s;
	d->ops->reload(d);
	msg(MSG_SETTINGS, "reload=done seeds=%u", g_strv_length(s->seeds));
}

/* When the settings file was last changed, ns; 0: it can't be read. */
static long long dmn_changed(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return st.st_mtim.tv_sec * 1000000000LL + st.st_mtim.tv_nsec;
}

/* Logs why a daemon can't go on. */
static int dmn_fail(const struct dmn *d, GError *err, int rc)
{
	fprintf(stderr, "%s: %s\n", d->ops->name, err->message);
	g_error_free(err);
	return rc;
}
