#include "pk.h"

#include <stdlib.h>

/*
 * Bytes that a message begins with, packed and read. Both grow as they must;
 * the library's 8 KB for each of many small ones took the allocator off its
 * fast path.
 */
#define PK_OUT 512
#define PK_ZONE 960

static const msgpack_object *pk_next(struct pk_in *in,
				     msgpack_object_type want);

/* Starts an empty buffer, to be freed with msgpack_sbuffer_destroy. */
void pk_buf_init(msgpack_sbuffer *buf)
{
	msgpack_sbuffer_init(buf);
	buf->data = malloc(PK_OUT);
	buf->alloc = buf->data ? PK_OUT : 0;
}

/* Starts an empty message. */
void pk_out_init(struct pk_out *o)
{
	pk_buf_init(&o->buf);
	msgpack_packer_init(&o->pk, &o->buf, msgpack_sbuffer_write);
}

/* Frees the bytes of a message. */
void pk_out_done(struct pk_out *o)
{
	msgpack_sbuffer_destroy(&o->buf);
}

/* The bytes packed so far; valid until the next pk call on o. */
struct lstr pk_out_view(const struct pk_out *o)
{
	return lstr_n(o->buf.data, o->buf.size);
}

/* Opens an array of n fields, which must follow. */
void pk_arr(struct pk_out *o, size_t n)
{
	msgpack_pack_array(&o->pk, n);
}

/* Packs an unsigned number. */
void pk_u(struct pk_out *o, uint64_t v)
{
	msgpack_pack_uint64(&o->pk, v);
}

/* Packs a signed number. */
void pk_i(struct pk_out *o, int64_t v)
{
	msgpack_pack_int64(&o->pk, v);
}

/* Packs a truth value. */
void pk_bool(struct pk_out *o, bool v)
{
	if (v)
		msgpack_pack_true(&o->pk);
	else
		msgpack_pack_false(&o->pk);
}

/* Packs a floating number. */
void pk_f(struct pk_out *o, double v)
{
	msgpack_pack_double(&o->pk, v);
}

/* Packs counted bytes; text and binary alike. */
void pk_str(struct pk_out *o, struct lstr s)
{
	msgpack_pack_bin(&o->pk, s.len);
	msgpack_pack_bin_body(&o->pk, s.p, s.len);
}

/* Packs a NUL-terminated string, NULL as empty. */
void pk_cstr(struct pk_out *o, const char *s)
{
	pk_str(o, lstr_from(s));
}

/*
 * Reads bytes that must be one object and nothing after it. False: they are
 * not. Either way u is to be destroyed.
 */
bool pk_unpack(msgpack_unpacked *u, struct lstr bytes)
{
	size_t off = 0;

	msgpack_unpacked_init(u);
	u->zone = msgpack_zone_new(PK_ZONE);
	return u->zone && bytes.len && pk_scan(bytes) &&
	       msgpack_unpack(bytes.p, bytes.len, &off, u->zone, &u->data) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       off == bytes.len;
}

/*
 * Opens bytes that must be one array and nothing after it. False: they are
 * not; pk_in_done is then not needed. Strings read later point into a buffer
 * that lives until pk_in_done.
 */
bool pk_in_init(struct pk_in *in, struct lstr bytes)
{
	*in = (struct pk_in){.own = g_new(msgpack_unpacked, 1)};
	if (pk_unpack(in->own, bytes) &&
	    in->own->data.type == MSGPACK_OBJECT_ARRAY) {
		in->arr = in->own->data.via.array;
		return true;
	}
	in->bad = true;
	pk_in_done(in);
	return false;
}

/* Frees what pk_in_init holds. */
void pk_in_done(struct pk_in *in)
{
	if (!in->own)
		return;
	msgpack_unpacked_destroy(in->own);
	g_free(in->own);
	in->own = NULL;
}

/* Fields not read yet. */
uint32_t pk_in_left(const struct pk_in *in)
{
	return in->arr.size - in->at;
}

/* Passes over the next field, of whatever kind. */
void pk_skip(struct pk_in *in)
{
	if (in->at < in->arr.size)
		in->at++;
}

/* Next field as unsigned number. */
uint64_t pk_get_u(struct pk_in *in)
{
	const msgpack_object *o = pk_next(in, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

/* Next field as signed number. */
int64_t pk_get_i(struct pk_in *in)
{
	const msgpack_object *o;

	if (!in->bad && in->at < in->arr.size &&
	    in->arr.ptr[in->at].type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		o = &in->arr.ptr[in->at++];
		if (o->via.u64 > INT64_MAX) {
			in->bad = true;
			return 0;
		}
		return (int64_t)o->via.u64;
	}
	o = pk_next(in, MSGPACK_OBJECT_NEGATIVE_INTEGER);
	return o ? o->via.i64 : 0;
}

/* Next field as truth value. */
bool pk_get_bool(struct pk_in *in)
{
	const msgpack_object *o = pk_next(in, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

/* Next field as floating number. */
double pk_get_f(struct pk_in *in)
{
	const msgpack_object *o = pk_next(in, MSGPACK_OBJECT_FLOAT64);

	return o ? o->via.f64 : 0;
}

/* Next field as counted bytes. */
struct lstr pk_get_str(struct pk_in *in)
{
	const msgpack_object *o = pk_next(in, MSGPACK_OBJECT_BIN);

	return o ? lstr_n(o->via.bin.ptr, o->via.bin.size) : lstr_n("", 0);
}

/* Next field as nested array; shares the memory of in. */
struct pk_in pk_get_arr(struct pk_in *in)
{
	const msgpack_object *o = pk_next(in, MSGPACK_OBJECT_ARRAY);

	if (!o)
		return (struct pk_in){.bad = true};
	return (struct pk_in){.arr = o->via.array};
}

/* Whether every read so far found its field. */
bool pk_in_ok(const struct pk_in *in)
{
	return !in->bad;
}

static const msgpack_object *pk_next(struct pk_in *in, msgpack_object_type want)
{
	if (in->bad || in->at >= in->arr.size ||
	    in->arr.ptr[in->at].type != want) {
		in->bad = true;
		return NULL;
	}
	return &in->arr.ptr[in->at++];
}
