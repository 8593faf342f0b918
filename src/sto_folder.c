#include "sto.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "err.h"

/* A data folder in the file system. */
struct sto_folder {
	struct sto_io io;
	char *path;
	int fd;
};

static int sto_folder_create(void *arg, const char *name);
static ssize_t sto_folder_write(void *arg, int fd, const void *p, size_t len);
static int sto_folder_sync(void *arg, int fd);
static int sto_folder_truncate(void *arg, int fd, uint64_t len);
static int sto_folder_close(void *arg, int fd);
static GBytes *sto_folder_read(void *arg, const char *name);
static char **sto_folder_list(void *arg);
static int sto_folder_rename(void *arg, const char *from, const char *to);
static int sto_folder_remove(void *arg, const char *name);
static int sto_folder_sync_folder(void *arg);

static const struct sto_io sto_folder_io = {
	.create = sto_folder_create,
	.write = sto_folder_write,
	.sync = sto_folder_sync,
	.truncate = sto_folder_truncate,
	.close = sto_folder_close,
	.read = sto_folder_read,
	.list = sto_folder_list,
	.rename = sto_folder_rename,
	.remove = sto_folder_remove,
	.sync_folder = sto_folder_sync_folder,
};

/*
 * Opens and locks a folder. Two voters sharing one folder would each overwrite
 * what the other has acknowledged. Returns NULL with ERR_IO.
 */
struct sto_io *sto_folder_new(const char *path, GError **err)
{
	struct sto_folder *f = g_new0(struct sto_folder, 1);

	f->io = sto_folder_io;
	f->io.arg = f;
	f->path = g_strdup(path);
	f->fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (f->fd >= 0 && flock(f->fd, LOCK_EX | LOCK_NB) == 0)
		return &f->io;
	err_set(err, ERR_IO, "open data folder", NULL, "%s: %s", path,
		errno == EWOULDBLOCK ? "locked by another process"
				     : g_strerror(errno));
	sto_folder_free(&f->io);
	return NULL;
}

/* Closes and unlocks a folder. */
void sto_folder_free(struct sto_io *io)
{
	struct sto_folder *f;

	if (!io)
		return;
	f = io->arg;
	if (f->fd >= 0)
		close(f->fd);
	g_free(f->path);
	g_free(f);
}

static int sto_folder_create(void *arg, const char *name)
{
	struct sto_folder *f = arg;

	return openat(f->fd, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
		      0600);
}

static ssize_t sto_folder_write(void *arg, int fd, const void *p, size_t len)
{
	return write(fd, p, len);
}

static int sto_folder_sync(void *arg, int fd)
{
	return fdatasync(fd);
}

/*
 * Cuts a file off, and continues to write at its end: written at the old place,
 * the next bytes would follow a hole, and be read as torn.
 */
static int sto_folder_truncate(void *arg, int fd, uint64_t len)
{
	if (ftruncate(fd, (off_t)len) != 0)
		return -1;
	return lseek(fd, (off_t)len, SEEK_SET) == (off_t)len ? 0 : -1;
}

static int sto_folder_close(void *arg, int fd)
{
	return close(fd);
}

static GBytes *sto_folder_read(void *arg, const char *name)
{
	struct sto_folder *f = arg;
	char *path = g_build_filename(f->path, name, NULL);
	char *text = NULL;
	gsize len = 0;
	bool ok = g_file_get_contents(path, &text, &len, NULL);
	int why = errno;

	g_free(path);
	errno = why;
	return ok ? g_bytes_new_take(text, len) : NULL;
}

static char **sto_folder_list(void *arg)
{
	struct sto_folder *f = arg;
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int fd = openat(f->fd, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *dir = fd >= 0 ? fdopendir(fd) : NULL;
	struct dirent *e;
	int why = errno;

	if (!dir && fd >= 0)
		close(fd);
	if (dir) {
		for (errno = 0; (e = readdir(dir)); errno = 0)
			g_ptr_array_add(names, g_strdup(e->d_name));
		why = errno;
		closedir(dir);
	}
	if (dir && why == 0) {
		g_ptr_array_add(names, NULL);
		g_ptr_array_set_free_func(names, NULL);
		return (char **)g_ptr_array_free(names, FALSE);
	}
	g_ptr_array_free(names, TRUE);
	errno = why;
	return NULL;
}

static int sto_folder_rename(void *arg, const char *from, const char *to)
{
	struct sto_folder *f = arg;

	return renameat(f->fd, from, f->fd, to);
}

static int sto_folder_remove(void *arg, const char *name)
{
	struct sto_folder *f = arg;

	return unlinkat(f->fd, name, 0);
}

static int sto_folder_sync_folder(void *arg)
{
	struct sto_folder *f = arg;

	return fsync(f->fd);
}
