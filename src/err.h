#ifndef ERR_H
#define ERR_H

#include <glib.h>

/* What went wrong, as a caller can act on it. */
enum err_code {
	ERR_INPUT, /* given bytes or values that are not allowed */
	ERR_IO, /* the machine's files or sockets failed */
	ERR_NO_SPACE, /* the disk takes no more bytes now */
	ERR_PEER, /* the other side broke the protocol or went away */
	ERR_AUTH, /* the other side is not who it must be */
	ERR_CONFLICT, /* changed meanwhile by somebody else */
	ERR_REFUSED, /* understood and not done; nothing has happened */
	ERR_UNKNOWN, /* may or may not have happened */
	ERR_CORRUPT, /* stored bytes fail their checksum */
	ERR_TIMEOUT, /* no answer in time */
};

#define ERR_DOMAIN (err_quark())
GQuark err_quark(void);

void err_set(GError **err, enum err_code code, const char *step,
	     const char *peer, const char *fmt, ...) G_GNUC_PRINTF(5, 6);
const char *err_step(const GError *err);
const char *err_peer(const GError *err);

#endif
