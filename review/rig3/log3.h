#ifndef LOG3_H
#define LOG3_H

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/*
 * The record of a case.  All processes of a case append lines to the file that
 * RIG3_RECORD names; times are milliseconds since RIG3_T0 on the steady clock.
 */

static inline int64_t
steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static inline int64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

__attribute__((format(printf, 1, 2))) static inline void
rec(const char *format, ...)
{
	static int fd = -2;
	static int64_t t0_ms;
	char line[1024];
	va_list ap;
	int n;

	if (fd == -2) {
		const char *path = getenv("RIG3_RECORD");
		const char *t0 = getenv("RIG3_T0");

		fd = path == NULL
			 ? 1
			 : open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
		t0_ms = t0 == NULL ? 0 : atoll(t0);
	}
	n = snprintf(
	    line, sizeof(line), "%8lld ", (long long)(steady_ms() - t0_ms));
	va_start(ap, format);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, format, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(fd, line, (size_t)n) < 0)
		abort();
}

#endif
