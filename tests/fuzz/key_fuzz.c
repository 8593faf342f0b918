#include <fcntl.h>

#include "fuzz.h"
#include "key.h"

static char *path;
static int fd = -1;

static void put_file(struct lstr input)
{
	if (fd < 0)
		fd = g_file_open_tmp("endive-key-XXXXXX", &path, NULL);
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(ftruncate(fd, 0), ==, 0);
	g_assert_cmpint(pwrite(fd, input.p, input.len, 0), ==,
			(gint64)input.len);
}

/* A ring that was taken has a first key, found by its name, with a role. */
static void one(struct lstr input)
{
	GError *err = NULL;
	const struct key *first;
	struct keyring *ring;

	put_file(input);
	ring = keyring_load(path, &err);
	if (!ring) {
		g_assert_nonnull(err);
		g_error_free(err);
		return;
	}
	first = keyring_first(ring);
	g_assert_cmpint(first->role, <, KEY_ROLES);
	g_assert_cmpuint(strlen(first->name), <=, KEY_NAME_MAX);
	g_assert_true(keyring_find(ring, lstr_from(first->name)) == first);
	keyring_free(ring);
}

int main(void)
{
	int rc = fuzz_run("key", one, 5000);

	unlink(path);
	g_free(path);
	return rc;
}
