#ifndef SP_JSONTEXT_H
#define SP_JSONTEXT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Parses JSON from outside.  json-c changes some documents without an error: a
 * lone surrogate becomes U+FFFD, a name ends at U+0000, and of several members
 * of one name the last is kept.  Here the last two are refused, and a text with
 * a lone surrogate, or with bytes that are not UTF-8, is none that
 * jtx_is_unicode() accepts, so that a decoder can name its field.
 */

/*
 * Returns the document, which is the caller's to put, or NULL with the reason in
 * st: ST_LIMIT if it has more than max_depth levels, else ST_INVALID.  data may
 * be NULL if len is 0.
 */
struct json_object *jtx_parse(
    const char *data, size_t len, uint32_t max_depth, struct status *st);
/*
 * Bounds the memory that a document of a client, a worker or another writer may
 * take once it is parsed; 0: no bound, as before the call.  Such a document can
 * take 300 times the memory of its text.  To be called before the first document
 * is parsed.
 */
void jtx_set_max_memory(uint64_t bytes);
/* Whether a document is within that bound, by an estimate from its text. */
bool jtx_fits(const char *data, size_t len);
/*
 * Whether all texts of a value, its names included, are Unicode; U+0000 is
 * allowed.
 */
bool jtx_is_unicode(struct json_object *value);
/*
 * Whether a whole number in a value may have been changed: json-c sets numbers
 * that it can't hold to the nearest that it can.
 */
bool jtx_has_clamped_number(struct json_object *value);
/* Returns a string that is Unicode without U+0000; otherwise NULL. */
const char *jtx_text(struct json_object *value);
/*
 * Whether the escape at p, of the form \uXXXX, is a surrogate that has no other
 * half.  end is the end of the text.
 */
bool jtx_is_lone_surrogate(const char *p, const char *end);
/* Number of bytes of the escape at p, a pair of surrogates as one. */
size_t jtx_escape_bytes(const char *p, const char *end);

#endif
