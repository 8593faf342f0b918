#ifndef ENT_H
#define ENT_H

#include <event2/event.h>
#include <glib.h>

#include "fdb.h"
#include "key.h"

/*
 * The entry daemon: takes callers' requests and carries them to targets that
 * announced themselves, under the fleet view that the voters agreed on.
 */
struct ent;

struct ent_config {
	struct event_base *base;
	struct keyring *keys;
	char *node;
	char *zone;
	char *listen; /* callers, IP:PORT */
	char *admin; /* announcements, health, metrics, IP:PORT */
	char *wire; /* other entry daemons, IP:PORT by which they reach us */
	char **voters; /* IP:PORT of control daemons, or NULL */
	char **peers; /* IP:PORT of all entry daemons' wires, or NULL */
	long long max_conns; /* callers' connections at once */
	struct fdb descriptors;
	long long drain_ms; /* from SIGTERM until new connections are refused */
	long long stop_ms; /* longest wait for requests in flight after that */
	long long silence_ms; /* of a peer, until it is taken as gone */
};

struct ent *ent_new(const struct ent_config *config, GError **err);
void ent_free(struct ent *e);
void ent_drain(struct ent *e);

#endif
