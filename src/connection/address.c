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
