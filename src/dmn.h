#ifndef DMN_H
#define DMN_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "fdb.h"
#include "key.h"
#include "nst.h"

/*
 * What the daemons that are run by a settings file share: its path, signals,
 * reloads and the loop.
 */
struct dmn;

struct dmn_ops {
	const char *name;
	const char *summary;
	struct fdb_demand descriptors[FDB_PARTS];
	bool (*start)(struct dmn *d, GError **err);
	void (*stop)(struct dmn *d);
	/* a planned stop: end the loop when nothing is left to do */
	void (*drain)(struct dmn *d);
	/* the settings have changed */
	void (*reload)(struct dmn *d);
	int (*result)(const struct dmn *d);
};

struct dmn {
	const struct dmn_ops *ops;
	struct event_base *base;
	struct nst *settings;
	struct nst *first; /* the settings it was started with */
	struct keyring *keys;
	struct fdb descriptors;
	void *service;
	struct event *look;
	long long changed; /* of the file, ns */
};

int dmn_main(const struct dmn_ops *ops, const char *path_variable, int argc,
	     char **argv);
bool dmn_needs(const struct dmn *d, const char *key, const char *value,
	       GError **err);

#endif
