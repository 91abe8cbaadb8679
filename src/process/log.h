#ifndef SP_LOG_H
#define SP_LOG_H

/* Levels are those of syslog(3): LOG_ERR, LOG_WARNING, LOG_INFO, LOG_DEBUG. */
#include <syslog.h>

void log_open(const char *program, int max_level);
int log_level_parse(const char *name);
void log_line(int level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
