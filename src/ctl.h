#ifndef CTL_H
#define CTL_H

/* Control daemon: Raft voter for the fleet configuration and state. */

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "fdb.h"
#include "key.h"

/*
 * The control daemon: one of the voters that replicate the fleet state by Raft.
 * It accepts commands and queries of operators and pushes the current view to
 * the entry daemons.
 */
struct ctl;

struct ctl_config {
	struct event_base *base;
	struct keyring *keys;
	char *node;
	char *zone;
	char *listen; /* IP:PORT */
	char *http; /* health page and metrics, IP:PORT */
	struct fdb descriptors;
	long long memory; /* of this process, bytes; 0: the machine's */
	char **peers; /* NODE=IP:PORT of every voter, including this one */
	char *data; /* folder */
	gboolean initial; /* whether a new fleet may be created */
	/* time without data after which a peer counts as down */
	long long silence_ms;
};

struct ctl *ctl_new(const struct ctl_config *config, GError **err);
void ctl_free(struct ctl *c);
void ctl_drain(struct ctl *c);
bool ctl_failed(const struct ctl *c);
bool ctl_recover(const struct ctl_config *config, GError **err);

#endif
