#ifndef CTL_H
#define CTL_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "fdb.h"
#include "key.h"

/*
 * The control daemon: one of the voters that agree on the fleet state, over
 * wire and a data folder. Takes commands and queries of operators, and tells
 * entry daemons the view they work by.
 */
struct ctl;

struct ctl_config {
	struct event_base *base;
	struct keyring *keys;
	char *node;
	char *zone;
	char *listen; /* IP:PORT */
	char *http; /* health and metrics, IP:PORT */
	struct fdb descriptors;
	char **peers; /* NODE=IP:PORT of every voter, this one too */
	char *data; /* folder */
	gboolean initial; /* a new fleet may be begun */
	long long silence_ms; /* of a peer, until it is taken as gone */
};

struct ctl *ctl_new(const struct ctl_config *config, GError **err);
void ctl_free(struct ctl *c);
void ctl_drain(struct ctl *c);
bool ctl_failed(const struct ctl *c);
bool ctl_recover(const struct ctl_config *config, GError **err);

#endif
