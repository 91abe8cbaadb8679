#include <string.h>

#include "connection/address.h"

GSocketAddress *
addr_parse(const char *text, struct status *st)
{
	GSocketConnectable *parsed = g_network_address_parse(text, 0, NULL);
	GSocketAddress *address = NULL;
	GNetworkAddress *net;

	if (parsed != NULL) {
		net = G_NETWORK_ADDRESS(parsed);
		address = g_inet_socket_address_new_from_string(
		    g_network_address_get_hostname(net),
		    g_network_address_get_port(net));
		g_object_unref(parsed);
	}
	if (address == NULL)
		st_set(st, ST_INVALID, "address \"%s\": expected \"ip:port\"",
		    text);
	return address;
}

bool
addr_is_valid(const char *text)
{
	GSocketAddress *address = addr_parse(text, NULL);
	g_autofree char *usual = NULL;
	GInetSocketAddress *inet;
	uint16_t port;

	if (address == NULL)
		return false;
	inet = G_INET_SOCKET_ADDRESS(address);
	port = g_inet_socket_address_get_port(inet);
	usual = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(inet));
	g_object_unref(address);
	return port != 0 && strcmp(text, usual) == 0;
}
