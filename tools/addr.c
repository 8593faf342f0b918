#include "addr.h"

#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

/*
 * Splits an address that set.h has accepted; the IP number is freed with
 * g_free.
 */
char *addr_split(const char *addr, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');

	g_assert(colon);
	*port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	if (*addr == '[')
		return g_strndup(addr + 1, (gsize)(colon - addr - 2));
	return g_strndup(addr, (gsize)(colon - addr));
}

/* The address whose IPv4 number is by more than that of addr. */
char *addr_plus(const char *addr, unsigned by)
{
	struct sockaddr_storage ss;
	struct sockaddr_in *in4 = (struct sockaddr_in *)&ss;
	int len = sizeof(ss);
	char ip[INET_ADDRSTRLEN];

	if (by == 0 ||
	    evutil_parse_sockaddr_port(addr, (struct sockaddr *)&ss, &len) ||
	    ss.ss_family != AF_INET)
		return g_strdup(addr);
	in4->sin_addr.s_addr = htonl(ntohl(in4->sin_addr.s_addr) + by);
	evutil_inet_ntop(AF_INET, &in4->sin_addr, ip, sizeof(ip));
	return g_strdup_printf("%s:%u", ip, ntohs(in4->sin_port));
}
