/*
 * Messages between entry and agent, several in one input: one byte selects the
 * message, two are its length.  What decodes is encoded to the same length.
 */
#include <string.h>

#include "connection/run_xdr.h"
#include "fuzz/check.h"

#define HEADER_BYTES 3

struct kind {
	xdrproc_t proc;
	size_t size;
};

static const struct kind kinds[] = {
    {(xdrproc_t)xdr_run_open_args, sizeof(run_open_args)},
    {(xdrproc_t)xdr_run_start_args, sizeof(run_start_args)},
    {(xdrproc_t)xdr_run_cancel_args, sizeof(run_cancel_args)},
    {(xdrproc_t)xdr_run_heartbeat_args, sizeof(run_heartbeat_args)},
    {(xdrproc_t)xdr_run_worker_args, sizeof(run_worker_args)},
    {(xdrproc_t)xdr_run_update_args, sizeof(run_update_args)},
    {(xdrproc_t)xdr_run_crash_args, sizeof(run_crash_args)},
    {(xdrproc_t)xdr_run_interference_args, sizeof(run_interference_args)},
    {(xdrproc_t)xdr_run_cancelled_args, sizeof(run_cancelled_args)},
    {(xdrproc_t)xdr_run_cancels_known_args, sizeof(run_cancels_known_args)},
};

static void
decode(const struct kind *kind, char *data, size_t size)
{
	void *args = calloc(1, kind->size);
	XDR xdrs;

	xdrmem_create(&xdrs, data, (u_int)size, XDR_DECODE);
	if (kind->proc(&xdrs, args))
		fz_check(xdr_sizeof(kind->proc, args) <= xdr_getpos(&xdrs));
	xdr_free(kind->proc, args);
	xdr_destroy(&xdrs);
	free(args);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t len;
	char *copy;

	while (size >= HEADER_BYTES) {
		const struct kind *kind =
		    &kinds[data[0] % (sizeof(kinds) / sizeof(kinds[0]))];

		len = (size_t)data[1] * 256 + data[2];
		data += HEADER_BYTES;
		size -= HEADER_BYTES;
		len = len < size ? len : size;
		copy = malloc(len + 1);
		memcpy(copy, data, len);
		decode(kind, copy, len);
		free(copy);
		data += len;
		size -= len;
	}
	return 0;
}
