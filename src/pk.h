#ifndef PK_H
#define PK_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "lstr.h"

/*
 * Packing and unpacking of our own messages and stored records, over
 * msgpack-c. A message is one array of fields in a fixed order.
 */
struct pk_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

/*
 * A reading place in an array. The first field that is missing or of another
 * type sets bad and all later reads give zero, so that a decoder checks once
 * at its end.
 */
struct pk_in {
	msgpack_unpacked *own; /* NULL in a nested place */
	msgpack_object_array arr;
	uint32_t at;
	bool bad;
};

void pk_buf_init(msgpack_sbuffer *buf);
void pk_out_init(struct pk_out *o);
void pk_out_done(struct pk_out *o);
struct lstr pk_out_view(const struct pk_out *o);
void pk_arr(struct pk_out *o, size_t n);
void pk_u(struct pk_out *o, uint64_t v);
void pk_i(struct pk_out *o, int64_t v);
void pk_bool(struct pk_out *o, bool v);
void pk_f(struct pk_out *o, double v);
void pk_str(struct pk_out *o, struct lstr s);
void pk_cstr(struct pk_out *o, const char *s);

bool pk_scan(struct lstr bytes);
bool pk_unpack(msgpack_unpacked *u, struct lstr bytes);
bool pk_in_init(struct pk_in *in, struct lstr bytes);
void pk_in_done(struct pk_in *in);
uint32_t pk_in_left(const struct pk_in *in);
void pk_skip(struct pk_in *in);
uint64_t pk_get_u(struct pk_in *in);
int64_t pk_get_i(struct pk_in *in);
bool pk_get_bool(struct pk_in *in);
double pk_get_f(struct pk_in *in);
struct lstr pk_get_str(struct pk_in *in);
struct pk_in pk_get_arr(struct pk_in *in);
bool pk_in_ok(const struct pk_in *in);

#endif
