#include "connection/startspecs.h"

GPtrArray *
ssp_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

uint32_t
ssp_add(GPtrArray *specs, GBytes *spec)
{
	guint n = specs->len;

	/* Tasks of a job are started in sequence. */
	if (n > 0 && specs->pdata[n - 1] == spec)
		return n - 1;
	g_ptr_array_add(specs, g_bytes_ref(spec));
	return n;
}

run_spec *
ssp_to_wire(const GPtrArray *specs)
{
	run_spec *to = g_new0(run_spec, specs->len);
	gsize len;
	guint i;

	for (i = 0; i < specs->len; i++) {
		to[i].run_spec_val =
		    (char *)g_bytes_get_data(specs->pdata[i], &len);
		to[i].run_spec_len = (u_int)len;
	}
	return to;
}

GPtrArray *
ssp_from_wire(const run_start_args *args)
{
	GPtrArray *specs = ssp_new();
	uint32_t i;

	for (i = 0; i < args->specs.specs_len; i++) {
		const run_spec *spec = &args->specs.specs_val[i];

		g_ptr_array_add(
		    specs, g_bytes_new(spec->run_spec_val, spec->run_spec_len));
	}
	return specs;
}
