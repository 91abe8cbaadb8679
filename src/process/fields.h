#ifndef SP_FIELDS_H
#define SP_FIELDS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/status.h"

/*
 * Decodes JSON from outside by tables of fields.  A document is refused as a
 * whole, with the name of the field, if one is missing, of another type or out
 * of range.  Members that no table names are ignored.
 */
enum fld_type {
	FLD_INT,    /* int64_t */
	FLD_REAL,   /* double */
	FLD_TEXT,   /* const char *, borrowed from the document */
	FLD_BYTES,  /* struct fld_bytes */
	FLD_BOOL,   /* bool */
	FLD_TEXTS,  /* struct fld_texts */
	FLD_OBJECT, /* its members go to the same struct */
	FLD_ANY	    /* any value or none, which is not decoded */
};

#define FLD_MAX_TEXTS	   64
#define FLD_MAX_TEXT_BYTES 256

/* A text that may have U+0000; borrowed from the document. */
struct fld_bytes {
	const char *data;
	size_t len;
};

struct fld_texts {
	const char *texts[FLD_MAX_TEXTS]; /* borrowed from the document */
	size_t n;
};

struct fld {
	const char *name;
	enum fld_type type;
	bool required;
	/* Value of a number, bytes of a text without escapes, number of texts. */
	int64_t min;
	int64_t max;
	/* Further check of a text, or NULL. */
	bool (*is_valid)(const char *text);
	size_t offset; /* of the value in the struct that is filled */
	const struct fld *members; /* of an object; the last one has no name */
};

/*
 * Parses a document, which is the caller's to put.  Returns NULL, with the
 * reason in st, for anything but one JSON value in valid UTF-8 that is at most
 * JSON_TOKENER_DEFAULT_DEPTH levels deep.  data may be NULL if len is 0.
 */
struct json_object *fld_parse(const char *data, size_t len, struct status *st);
/* The same for a document of an outside writer, which jtx_fits() bounds. */
struct json_object *fld_parse_bounded(
    const char *data, size_t len, struct status *st);
/*
 * Decodes the members of an object into a struct, which holds the values of
 * absent fields.  fields end with one that has no name.  Returns false, with
 * the reason in st, if the object is refused; the struct is undefined then.
 */
bool fld_decode(struct json_object *from, const struct fld *fields, void *to,
    struct status *st);
/* As fld_decode(), for an array; fields describe its elements in their order. */
bool fld_decode_row(struct json_object *from, const struct fld *fields,
    void *to, struct status *st);
/*
 * Sets the status of a refused field and returns false; for checks that a table
 * can't express.  Each why becomes a label of a counter, so it must be constant.
 */
bool fld_refuse(struct status *st, const char *name, const char *why);
/*
 * What is wrong with the field that a refused document names, without the name
 * of the field; part of the status.
 */
const char *fld_reason(const struct status *st);

#endif
