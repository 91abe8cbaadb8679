#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log.h"

#define LOG_MESSAGE_MAX_BYTES 1024

static const char *log_program = "sequoiaplank";
static int log_max_level = LOG_INFO;

static const struct {
	const char *name;
	int level;
} levels[] = {
    {"err", LOG_ERR},
    {"warning", LOG_WARNING},
    {"notice", LOG_NOTICE},
    {"info", LOG_INFO},
    {"debug", LOG_DEBUG},
};

void
log_open(const char *program, int max_level)
{
	log_program = program;
	log_max_level = max_level;
}

int
log_level_parse(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (strcmp(levels[i].name, name) == 0)
			return levels[i].level;
	}
	return -1;
}

static const char *
level_name(int level)
{
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++) {
		if (levels[i].level == level)
			return levels[i].name;
	}
	return "notice";
}

/* Messages can contain text from peers, which must not forge log lines. */
static void
replace_controls(char *s)
{
	for (; *s != '\0'; s++) {
		if ((unsigned char)*s < ' ' || *s == 0x7f)
			*s = '?';
	}
}

void
log_line(int level, const char *fmt, ...)
{
	char message[LOG_MESSAGE_MAX_BYTES], when[32];
	struct timespec ts;
	struct tm tm;
	va_list ap;

	if (level > log_max_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	replace_controls(message);
	fprintf(stderr, "%s.%03ldZ %s[%d]: %s: %s\n", when,
	    ts.tv_nsec / 1000000, log_program, (int)getpid(), level_name(level),
	    message);
}
