#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "key.h"
#include "lstr.h"

/*
 * What stands on the wire, without any socket: hello messages, session keys
 * and the tags of frames.
 */

#define WIRE_LEN_BYTES 4
#define WIRE_TAG_BYTES 16
#define WIRE_NONCE_BYTES 32
#define WIRE_NODE_MAX 31

/* Largest frame from a peer that has not proved its key yet, bytes. */
#define WIRE_HELLO_MAX 256

/* The first frame of each side; in the clear, without a tag. */
struct wire_hello {
	char key_name[KEY_NAME_MAX + 1];
	char node[WIRE_NODE_MAX + 1];
	char zone[WIRE_NODE_MAX + 1];
	uint8_t nonce[WIRE_NONCE_BYTES];
};

/* One direction of a session: its key and the number of the next frame. */
struct wire_dir {
	uint8_t key[KEY_BYTES];
	uint64_t seq;
};

void wire_hello_fill(struct wire_hello *h, const char *key_name,
		     const char *node, const char *zone);
GString *wire_hello_pack(const struct wire_hello *h);
bool wire_hello_unpack(struct lstr bytes, struct wire_hello *h);
void wire_session(const struct key *key, const struct wire_hello *dialler,
		  const struct wire_hello *acceptor,
		  struct wire_dir *from_dialler,
		  struct wire_dir *from_acceptor);
void wire_tag(struct wire_dir *dir, struct lstr payload,
	      uint8_t tag[WIRE_TAG_BYTES]);
bool wire_tag_check(struct wire_dir *dir, struct lstr payload,
		    const uint8_t tag[WIRE_TAG_BYTES]);

#endif
