#include <string.h>

#include "request/http_reply.h"

void
hr_json(SoupServerMessage *msg, uint32_t status, const char *body, size_t len)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(
	    msg, "application/json", SOUP_MEMORY_COPY, body, len);
}

void
hr_text(SoupServerMessage *msg, uint32_t status, const char *body)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, "text/plain; charset=utf-8",
	    SOUP_MEMORY_COPY, body, strlen(body));
}

void
hr_refuse(SoupServerMessage *msg, enum ref_code code, const char *message)
{
	char *body = ref_json(code, message);

	hr_json(msg, ref_http_status(code), body, strlen(body));
	g_free(body);
}
