#ifndef SP_HTTP_REPLY_H
#define SP_HTTP_REPLY_H

#include <libsoup/soup.h>

#include "request/refusal.h"

/* Set the answer of a message; the body is copied. */
void hr_json(
    SoupServerMessage *msg, uint32_t status, const char *body, size_t len);
void hr_text(SoupServerMessage *msg, uint32_t status, const char *body);
/* Answers with the HTTP status and the JSON body of a refusal. */
void hr_refuse(SoupServerMessage *msg, enum ref_code code, const char *message);

#endif
