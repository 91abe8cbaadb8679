#ifndef SP_LOG_H
#define SP_LOG_H

/* Levels are those of syslog(3): LOG_ERR, LOG_WARNING, LOG_INFO, LOG_DEBUG. */
#include <syslog.h>

/* program is borrowed until the process exits. */
void log_open(const char *program, int max_level);
/* Returns the level with this name, or -1. */
int log_level_parse(const char *name);
/* Writes "time program[pid]: level: message" to standard error. */
void log_line(int level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
