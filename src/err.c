#include "err.h"

/* The two facts each error carries besides its text; GLib copies them. */
typedef struct {
	char *step;
	char *peer;
} ErrPrivate;

static void err_private_init(ErrPrivate *priv);
static void err_private_copy(const ErrPrivate *src, ErrPrivate *dst);
static void err_private_clear(ErrPrivate *priv);

G_DEFINE_EXTENDED_ERROR(Err, err)

static void err_private_init(ErrPrivate *priv)
{
	priv->step = NULL;
	priv->peer = NULL;
}

static void err_private_copy(const ErrPrivate *src, ErrPrivate *dst)
{
	dst->step = g_strdup(src->step);
	dst->peer = g_strdup(src->peer);
}

static void err_private_clear(ErrPrivate *priv)
{
	g_free(priv->step);
	g_free(priv->peer);
}

/*
 * Sets *err with the step at which it arose and the peer it concerns; peer is
 * NULL where none is involved. err may be NULL. The text names both, so that
 * one log line is enough.
 */
void err_set(GError **err, enum err_code code, const char *step,
	     const char *peer, const char *fmt, ...)
{
	ErrPrivate *priv;
	va_list ap;
	char *text;

	if (!err)
		return;
	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (peer)
		g_set_error(err, ERR_DOMAIN, (int)code, "%s: %s: %s", step,
			    peer, text);
	else
		g_set_error(err, ERR_DOMAIN, (int)code, "%s: %s", step, text);
	g_free(text);
	priv = err_get_private(*err);
	priv->step = g_strdup(step);
	priv->peer = g_strdup(peer);
}

/* The step at which err arose; "" for an error of another library. */
const char *err_step(const GError *err)
{
	if (!err || err->domain != ERR_DOMAIN)
		return "";
	return ((ErrPrivate *)err_get_private(err))->step;
}

/* The peer err concerns; "" where there is none. */
const char *err_peer(const GError *err)
{
	const char *peer = NULL;

	if (err && err->domain == ERR_DOMAIN)
		peer = ((ErrPrivate *)err_get_private(err))->peer;
	return peer ? peer : "";
}
