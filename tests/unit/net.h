#ifndef TEST_NET_H
#define TEST_NET_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "fdb.h"

/* Raw loopback sockets, served beside the event loop of the code under test. */

int net_listen(int *port);
int net_dial(int port);
void net_send(int fd, const char *bytes, gssize len);
GString *net_read(struct event_base *base, int fd, const char *until, int ms,
		  bool *closed);
int net_accept(struct event_base *base, int fd, int ms);
void net_run(struct event_base *base, int ms);

/* Descriptors held by net_exhaust_descriptors, and the limit to restore. */
struct net_held_descriptors {
	GArray *fds;
	unsigned long limit;
};

/* Limits larger than a test's use of each kind of connection. */
extern const struct fdb net_descriptors;

struct net_held_descriptors net_exhaust_descriptors(unsigned int n_spare);
void net_release_descriptors(struct net_held_descriptors *t);

#endif
