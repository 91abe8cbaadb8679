/* Settings files: each is read or refused with a message. */
#include "fuzz/check.h"
#include "process/jsonc.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct status st = {.code = ST_OK};
	struct jsonc *doc = jsonc_parse("input", (const char *)data, size, &st);
	struct jsonc_node root;
	char *name = NULL;
	int64_t number = 0;

	if (doc == NULL) {
		fz_check(st.code != ST_OK && *st.message != '\0');
		return 0;
	}
	if (jsonc_root(doc, &root, &st)) {
		jsonc_string(&root, "name", JSONC_OPTIONAL, &name, &st);
		if (jsonc_int(&root, "n", JSONC_REQUIRED, 1, 9, &number, &st))
			fz_check(number >= 1 && number <= 9);
	}
	free(name);
	jsonc_free(doc);
	return 0;
}
