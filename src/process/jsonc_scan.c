#include <string.h>

#include "jsonc_scan.h"
#include "jsontext.h"

/*
 * State of a syntax check that is stricter than json-c, which accepts
 * duplicate keys and trailing commas.
 */
struct scan {
	const char *name;
	GHashTable *positions;
	const char *p;
	const char *end;
	const char *line_start;
	uint32_t line;
	uint32_t depth;
	GString *path;
	struct status *st;
};

static bool scan_value(struct scan *sc);

static bool
scan_error(const struct scan *sc, const char *at, const char *what)
{
	st_set(sc->st, ST_INVALID, "%s:%u:%u: %s", sc->name, sc->line,
	    (unsigned)(at - sc->line_start) + 1, what);
	return false;
}

static void
next_char(struct scan *sc)
{
	if (*sc->p++ == '\n') {
		sc->line++;
		sc->line_start = sc->p;
	}
}

static bool
skip_comment(struct scan *sc)
{
	const struct scan start = *sc;

	if (sc->end - sc->p >= 2 && sc->p[1] == '/') {
		while (sc->p < sc->end && *sc->p != '\n')
			next_char(sc);
		return true;
	}
	if (sc->end - sc->p < 2 || sc->p[1] != '*')
		return scan_error(sc, sc->p, "unexpected \"/\"");
	for (sc->p += 2; sc->end - sc->p >= 2; next_char(sc)) {
		if (sc->p[0] == '*' && sc->p[1] == '/') {
			sc->p += 2;
			return true;
		}
	}
	return scan_error(&start, start.p, "comment is not closed");
}

static bool
skip_space(struct scan *sc)
{
	while (sc->p < sc->end) {
		if (*sc->p == '/') {
			if (!skip_comment(sc))
				return false;
		} else if (strchr(" \t\r\n", *sc->p) != NULL && *sc->p != 0) {
			next_char(sc);
		} else {
			break;
		}
	}
	return true;
}

static bool
scan_string(struct scan *sc, bool is_key)
{
	const char *start = sc->p;

	for (sc->p++; sc->p < sc->end && *sc->p != '"'; sc->p++) {
		if ((unsigned char)*sc->p < ' ')
			return scan_error(
			    sc, sc->p, "control character in a string");
		if (*sc->p != '\\')
			continue;
		/* Duplicate keys are detected by comparing their raw text. */
		if (is_key)
			return scan_error(
			    sc, sc->p, "escapes are not allowed in a key");
		if (sc->end - sc->p < 2 ||
		    strchr("\"\\/bfnrtu", sc->p[1]) == NULL || sc->p[1] == 0)
			return scan_error(sc, sc->p, "unknown escape");
		if (jtx_is_lone_surrogate(sc->p, sc->end))
			return scan_error(sc, sc->p, "lone surrogate");
		sc->p += jtx_escape_bytes(sc->p, sc->end) - 1;
	}
	if (sc->p >= sc->end)
		return scan_error(sc, start, "string is not closed");
	if (!g_utf8_validate_len(start, (gsize)(sc->p - start), NULL))
		return scan_error(sc, start, "string is not UTF-8");
	sc->p++;
	return true;
}

static void
record_position(struct scan *sc, const char *at)
{
	struct jsonc_position *position = g_new(struct jsonc_position, 1);

	position->line = sc->line;
	position->column = (uint32_t)(at - sc->line_start) + 1;
	g_hash_table_replace(sc->positions, g_strdup(sc->path->str), position);
}

/* Reports a missing value at its key: what comes next may be lines below. */
static bool
check_value_begins(struct scan *sc)
{
	const struct jsonc_position *key =
	    g_hash_table_lookup(sc->positions, sc->path->str);

	if (!skip_space(sc))
		return false;
	if (sc->p >= sc->end || (*sc->p != ',' && *sc->p != '}'))
		return true;
	st_set(sc->st, ST_INVALID, "%s:%u:%u: %s: value is missing", sc->name,
	    key->line, key->column, sc->path->str);
	return false;
}

static bool
scan_member(struct scan *sc, GHashTable *seen)
{
	const char *start = sc->p;
	size_t path_len = sc->path->len;
	char *key;
	bool ok;

	if (*sc->p != '"')
		return scan_error(sc, sc->p, "expected a key in double quotes");
	if (!scan_string(sc, true))
		return false;
	key = g_strndup(start + 1, (gsize)(sc->p - start) - 2);
	g_string_append_printf(sc->path, "%s%s", path_len > 0 ? "." : "", key);
	record_position(sc, start);
	if (!g_hash_table_add(seen, key)) {
		st_set(sc->st, ST_INVALID, "%s:%u:%u: duplicate key \"%s\"",
		    sc->name, sc->line, (unsigned)(start - sc->line_start) + 1,
		    sc->path->str);
		return false;
	}
	if (!skip_space(sc))
		return false;
	if (sc->p >= sc->end || *sc->p != ':')
		return scan_error(sc, sc->p, "expected \":\" after a key");
	sc->p++;
	ok = check_value_begins(sc) && scan_value(sc);
	g_string_truncate(sc->path, path_len);
	return ok;
}

static bool
scan_element(struct scan *sc, uint32_t index)
{
	size_t path_len = sc->path->len;
	bool ok;

	g_string_append_printf(sc->path, "[%u]", index);
	record_position(sc, sc->p);
	ok = scan_value(sc);
	g_string_truncate(sc->path, path_len);
	return ok;
}

/* Reads "," or the closing character; sets *more to true for ",". */
static bool
scan_separator(struct scan *sc, char close, bool *more)
{
	const char *comma;

	if (!skip_space(sc))
		return false;
	if (sc->p < sc->end && *sc->p == close) {
		sc->p++;
		*more = false;
		return true;
	}
	if (sc->p >= sc->end || *sc->p != ',')
		return scan_error(sc, sc->p,
		    close == '}' ? "expected \",\" or \"}\""
				 : "expected \",\" or \"]\"");
	comma = sc->p++;
	if (sc->p < sc->end) {
		struct scan ahead = *sc;

		if (skip_space(&ahead) && ahead.p < ahead.end &&
		    *ahead.p == close)
			return scan_error(sc, comma, "trailing comma");
	}
	*more = true;
	return skip_space(sc);
}

static bool
scan_container(struct scan *sc, char close)
{
	GHashTable *seen;
	bool more = true, ok = true;
	uint32_t index = 0;

	if (++sc->depth > JSONC_MAX_DEPTH)
		return scan_error(sc, sc->p, "nested too deeply");
	sc->p++;
	if (!skip_space(sc))
		return false;
	if (sc->p < sc->end && *sc->p == close) {
		sc->p++;
		sc->depth--;
		return true;
	}
	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	while (ok && more) {
		if (sc->p >= sc->end)
			ok = scan_error(sc, sc->p, "unexpected end of text");
		else if (close == '}')
			ok = scan_member(sc, seen);
		else
			ok = scan_element(sc, index++);
		if (ok)
			ok = scan_separator(sc, close, &more);
	}
	g_hash_table_destroy(seen);
	sc->depth--;
	return ok;
}

static bool
scan_literal(struct scan *sc)
{
	const char *start = sc->p;
	char *word, *end;
	bool ok;

	while (sc->p < sc->end &&
	       (g_ascii_isalnum(*sc->p) || strchr("+-._", *sc->p) != NULL) &&
	       *sc->p != 0)
		sc->p++;
	word = g_strndup(start, (gsize)(sc->p - start));
	ok = strcmp(word, "true") == 0 || strcmp(word, "false") == 0 ||
	     strcmp(word, "null") == 0;
	if (!ok && (g_ascii_isdigit(word[0]) || word[0] == '-')) {
		g_ascii_strtod(word, &end);
		ok = end != word && *end == '\0' && strpbrk(word, "xX") == NULL;
	}
	g_free(word);
	return ok || scan_error(sc, start, "expected a value");
}

static bool
scan_value(struct scan *sc)
{
	if (!skip_space(sc))
		return false;
	if (sc->p >= sc->end)
		return scan_error(sc, sc->p, "unexpected end of text");
	if (*sc->p == '{')
		return scan_container(sc, '}');
	if (*sc->p == '[')
		return scan_container(sc, ']');
	if (*sc->p == '"')
		return scan_string(sc, false);
	return scan_literal(sc);
}

bool
jsonc_scan(const char *name, const char *text, size_t len,
    GHashTable *positions, struct status *st)
{
	struct scan sc = {.name = name,
	    .positions = positions,
	    .p = text,
	    .end = text + len,
	    .line_start = text,
	    .line = 1,
	    .st = st};
	bool ok;

	sc.path = g_string_new(NULL);
	ok = scan_value(&sc) && skip_space(&sc);
	if (ok && sc.p < sc.end)
		ok = scan_error(&sc, sc.p, "unexpected text after the value");
	g_string_free(sc.path, TRUE);
	return ok;
}
