#include "wire_frame.h"

#include <sodium.h>

#include "pk.h"

/* Changes with any change that an older process could not read. */
#define WIRE_MAGIC "endive-wire-1"

static bool wire_copy_name(char *dst, size_t size, struct lstr src);
static void wire_hash_hello(crypto_generichash_state *st,
			    const struct wire_hello *h);
static void wire_tag_raw(const struct wire_dir *dir, struct lstr payload,
			 uint8_t tag[WIRE_TAG_BYTES]);

/* Fills a hello with who we are and a fresh nonce. */
void wire_hello_fill(struct wire_hello *h, const char *key_name,
		     const char *node, const char *zone)
{
	memset(h, 0, sizeof(*h));
	g_strlcpy(h->key_name, key_name, sizeof(h->key_name));
	g_strlcpy(h->node, node, sizeof(h->node));
	g_strlcpy(h->zone, zone, sizeof(h->zone));
	randombytes_buf(h->nonce, sizeof(h->nonce));
}

/* The bytes of a hello, without the frame's length. */
GString *wire_hello_pack(const struct wire_hello *h)
{
	struct pk_out o;
	struct lstr v;
	GString *s;

	pk_out_init(&o);
	pk_arr(&o, 5);
	pk_str(&o, LSTR(WIRE_MAGIC));
	pk_cstr(&o, h->key_name);
	pk_cstr(&o, h->node);
	pk_cstr(&o, h->zone);
	pk_str(&o, lstr_n(h->nonce, sizeof(h->nonce)));
	v = pk_out_view(&o);
	s = g_string_new_len(v.p, (gssize)v.len);
	pk_out_done(&o);
	return s;
}

/* Reads a hello; false for anything but one. */
bool wire_hello_unpack(struct lstr bytes, struct wire_hello *h)
{
	struct pk_in in;
	struct lstr nonce;
	bool ok;

	memset(h, 0, sizeof(*h));
	if (!pk_in_init(&in, bytes))
		return false;
	ok = lstr_eq(pk_get_str(&in), LSTR(WIRE_MAGIC)) &&
	     wire_copy_name(h->key_name, sizeof(h->key_name),
			    pk_get_str(&in)) &&
	     wire_copy_name(h->node, sizeof(h->node), pk_get_str(&in)) &&
	     wire_copy_name(h->zone, sizeof(h->zone), pk_get_str(&in));
	nonce = pk_get_str(&in);
	ok = ok && pk_in_ok(&in) && nonce.len == sizeof(h->nonce);
	if (ok)
		memcpy(h->nonce, nonce.p, nonce.len);
	pk_in_done(&in);
	return ok;
}

/*
 * Derives the keys of both directions from the shared key and both hellos. A
 * frame recorded on another connection fails its tag, as at least one nonce
 * differs; a frame reflected to its sender fails, as the directions differ.
 */
void wire_session(const struct key *key, const struct wire_hello *dialler,
		  const struct wire_hello *acceptor,
		  struct wire_dir *from_dialler, struct wire_dir *from_acceptor)
{
	struct wire_dir *dirs[] = {from_dialler, from_acceptor};
	crypto_generichash_state st;
	uint8_t which;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dirs); i++) {
		which = (uint8_t)i;
		crypto_generichash_init(&st, key->bytes, KEY_BYTES, KEY_BYTES);
		crypto_generichash_update(&st, &which, 1);
		wire_hash_hello(&st, dialler);
		wire_hash_hello(&st, acceptor);
		crypto_generichash_final(&st, dirs[i]->key, KEY_BYTES);
		dirs[i]->seq = 0;
	}
}

/* The tag of the next frame of a direction. */
void wire_tag(struct wire_dir *dir, struct lstr payload,
	      uint8_t tag[WIRE_TAG_BYTES])
{
	wire_tag_raw(dir, payload, tag);
	dir->seq++;
}

/*
 * Whether tag is that of the next frame. The number of the frame is part of
 * it, so a frame left out, doubled or swapped with another is found.
 */
bool wire_tag_check(struct wire_dir *dir, struct lstr payload,
		    const uint8_t tag[WIRE_TAG_BYTES])
{
	uint8_t want[WIRE_TAG_BYTES];

	wire_tag_raw(dir, payload, want);
	if (sodium_memcmp(want, tag, WIRE_TAG_BYTES) != 0)
		return false;
	dir->seq++;
	return true;
}

static bool wire_copy_name(char *dst, size_t size, struct lstr src)
{
	size_t i;

	if (src.len >= size)
		return false;
	for (i = 0; i < src.len; i++)
		if (!g_ascii_isalnum(src.p[i]) && src.p[i] != '-')
			return false;
	memcpy(dst, src.p, src.len);
	return true;
}

static void wire_hash_hello(crypto_generichash_state *st,
			    const struct wire_hello *h)
{
	/* Fixed sizes, zero-filled: no two hellos give the same bytes. */
	crypto_generichash_update(st, (const uint8_t *)h->key_name,
				  sizeof(h->key_name));
	crypto_generichash_update(st, (const uint8_t *)h->node,
				  sizeof(h->node));
	crypto_generichash_update(st, (const uint8_t *)h->zone,
				  sizeof(h->zone));
	crypto_generichash_update(st, h->nonce, sizeof(h->nonce));
}

static void wire_tag_raw(const struct wire_dir *dir, struct lstr payload,
			 uint8_t tag[WIRE_TAG_BYTES])
{
	crypto_generichash_state st;
	uint64_t seq = GUINT64_TO_LE(dir->seq);

	crypto_generichash_init(&st, dir->key, KEY_BYTES, WIRE_TAG_BYTES);
	crypto_generichash_update(&st, (const uint8_t *)&seq, sizeof(seq));
	crypto_generichash_update(&st, (const uint8_t *)payload.p, payload.len);
	crypto_generichash_final(&st, tag, WIRE_TAG_BYTES);
}
