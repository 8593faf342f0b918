#ifndef TEST_NET_H
#define TEST_NET_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "fdb.h"

/* Raw loopback sockets beside a loop of the code under test. */

int net_listen(int *port);
int net_dial(int port);
void net_send(int fd, const char *bytes, gssize len);
/* Runs the loop until the peer closed fd, or `until` bytes or ms are there. */
GString *net_read(struct event_base *base, int fd, const char *until, int ms,
		  bool *closed);
int net_accept(struct event_base *base, int fd, int ms);
void net_run(struct event_base *base, int ms);

/* All descriptors that a process may have, taken away from the code under
 * test; spare ones are left to it.
 */
struct net_taken {
	GArray *fds;
	unsigned long limit;
};

/* More than a test uses of each. */
extern const struct fdb net_descriptors;

struct net_taken net_take_descriptors(unsigned int spare);
void net_give_back(struct net_taken *t);

#endif
