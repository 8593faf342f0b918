#include "key.h"

#include <errno.h>
#include <sodium.h>
#include <sys/stat.h>

#include "err.h"

#define KEY_FILE_MAX (1 << 20)

struct keyring {
	GArray *keys; /* struct key */
};

static gboolean key_read_line(struct keyring *ring, const char *path, int no,
			      struct lstr line, GError **err);
static gboolean key_read_all(struct keyring *ring, const char *path,
			     const char *text, gsize len, GError **err);
static gboolean key_private(const char *path, GError **err);

static const char *const key_roles[KEY_ROLES] = {
	[KEY_READ] = "read",
	[KEY_OPERATE] = "operate",
	[KEY_DUTY] = "duty",
	[KEY_PEER] = "peer",
};

/* The name of a role as it stands in key files. */
const char *key_role_name(enum key_role role)
{
	return key_roles[role];
}

/*
 * Reads a key file: lines "NAME ROLE HEX", HEX of 64 digits, "#" comments.
 * NULL with ERR_INPUT (path and line) or ERR_IO. A file that others on the
 * machine can read is refused: its keys would no longer tell who speaks.
 */
struct keyring *keyring_load(const char *path, GError **err)
{
	struct keyring *ring;
	GError *io = NULL;
	char *text = NULL;
	gsize len = 0;
	gboolean ok;

	if (!key_private(path, err))
		return NULL;
	if (!g_file_get_contents(path, &text, &len, &io)) {
		err_set(err, ERR_IO, "read keys", NULL, "%s", io->message);
		g_clear_error(&io);
		return NULL;
	}
	ring = g_new0(struct keyring, 1);
	ring->keys = g_array_new(FALSE, TRUE, sizeof(struct key));
	ok = key_read_all(ring, path, text, len, err);
	sodium_memzero(text, len);
	g_free(text);
	if (ok)
		return ring;
	keyring_free(ring);
	return NULL;
}

/*
 * The keys of a network that only the fleet's own machines can reach: one
 * that anybody may know. It keeps processes of another kind from being taken
 * for ours by mistake and protects against nobody else.
 */
struct keyring *keyring_open_network(void)
{
	struct keyring *ring = g_new0(struct keyring, 1);
	struct key k = {.name = "open-network", .role = KEY_PEER};

	memset(k.bytes, 'e', sizeof(k.bytes));
	ring->keys = g_array_new(FALSE, TRUE, sizeof(struct key));
	g_array_append_val(ring->keys, k);
	return ring;
}

/* Wipes and frees the keys. */
void keyring_free(struct keyring *ring)
{
	if (!ring)
		return;
	sodium_memzero(ring->keys->data, ring->keys->len * sizeof(struct key));
	g_array_free(ring->keys, TRUE);
	g_free(ring);
}

/* The key of that name, or NULL. */
const struct key *keyring_find(const struct keyring *ring, struct lstr name)
{
	guint i;

	for (i = 0; i < ring->keys->len; i++) {
		const struct key *k = &g_array_index(ring->keys, struct key, i);

		if (lstr_eq(name, lstr_from(k->name)))
			return k;
	}
	return NULL;
}

/* The first key of the file: the one its holder speaks with. */
const struct key *keyring_first(const struct keyring *ring)
{
	return &g_array_index(ring->keys, struct key, 0);
}

static gboolean key_private(const char *path, GError **err)
{
	struct stat st;

	if (stat(path, &st) != 0) {
		err_set(err, ERR_IO, "read keys", NULL, "%s: %s", path,
			g_strerror(errno));
		return FALSE;
	}
	if (st.st_mode & (S_IRWXG | S_IRWXO)) {
		err_set(err, ERR_INPUT, "read keys", NULL,
			"%s: mode %03o; allowed: no rights for group and "
			"others",
			path, st.st_mode & 0777);
		return FALSE;
	}
	if (st.st_size > KEY_FILE_MAX) {
		err_set(err, ERR_INPUT, "read keys", NULL,
			"%s: larger than a key file can be", path);
		return FALSE;
	}
	return TRUE;
}

static gboolean key_read_all(struct keyring *ring, const char *path,
			     const char *text, gsize len, GError **err)
{
	struct lstr rest = lstr_n(text, len);
	struct lstr line;
	struct lstr comment;
	int no = 0;

	while (rest.len) {
		lstr_cut(rest, '\n', &line, &rest);
		no++;
		lstr_cut(line, '#', &line, &comment);
		line = lstr_trim(line);
		if (line.len && !key_read_line(ring, path, no, line, err))
			return FALSE;
	}
	if (ring->keys->len)
		return TRUE;
	err_set(err, ERR_INPUT, "read keys", NULL, "%s: no key in it", path);
	return FALSE;
}

static gboolean key_read_line(struct keyring *ring, const char *path, int no,
			      struct lstr line, GError **err)
{
	struct key k = {.role = KEY_ROLES};
	struct lstr name;
	struct lstr role;
	struct lstr hex;
	size_t got = 0;
	int i;

	lstr_cut(line, ' ', &name, &line);
	lstr_cut(lstr_trim(line), ' ', &role, &hex);
	hex = lstr_trim(hex);
	for (i = 0; i < KEY_ROLES; i++)
		if (lstr_eq(role, lstr_from(key_roles[i])))
			k.role = (enum key_role)i;
	if (name.len > KEY_NAME_MAX || k.role == KEY_ROLES ||
	    sodium_hex2bin(k.bytes, sizeof(k.bytes), hex.p, hex.len, NULL, &got,
			   NULL) != 0 ||
	    got != KEY_BYTES || hex.len != 2 * (size_t)KEY_BYTES) {
		err_set(err, ERR_INPUT, "read keys", NULL,
			"%s: line %d: allowed: NAME read|operate|duty|peer and "
			"64 hex digits",
			path, no);
		return FALSE;
	}
	if (keyring_find(ring, name)) {
		err_set(err, ERR_INPUT, "read keys", NULL,
			"%s: line %d: name " LSTR_FMT " stands twice", path, no,
			LSTR_ARG(name));
		return FALSE;
	}
	memcpy(k.name, name.p, name.len);
	g_array_append_val(ring->keys, k);
	sodium_memzero(&k, sizeof(k));
	return TRUE;
}
