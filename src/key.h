#ifndef KEY_H
#define KEY_H

#include <glib.h>
#include <stdint.h>

#include "lstr.h"

#define KEY_BYTES 32
#define KEY_NAME_MAX 31

/* What the holder of a key may do; each role may do all that stands above. */
enum key_role {
	KEY_READ,
	KEY_OPERATE,
	KEY_DUTY, /* duty officer: priorities, and recovery of a lost majority */
	KEY_PEER, /* our own daemons */
	KEY_ROLES
};

/* One line of a key file: NAME ROLE HEX. */
struct key {
	char name[KEY_NAME_MAX + 1];
	enum key_role role;
	uint8_t bytes[KEY_BYTES];
};

struct keyring;

struct keyring *keyring_load(const char *path, GError **err);
struct keyring *keyring_open_network(void);
void keyring_free(struct keyring *ring);
const struct key *keyring_find(const struct keyring *ring, struct lstr name);
const struct key *keyring_first(const struct keyring *ring);
const char *key_role_name(enum key_role role);

#endif
