/*
 * Common start of the fuzz targets.
 */
#include <json-c/json.h>

#include "fuzz/check.h"

/*
 * json-c's default hash of names has a random seed, which would make the covered
 * code, and so the inputs that are tried, differ from run to run.
 */
int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return json_global_set_string_hash(JSON_C_STR_HASH_PERLLIKE);
}
