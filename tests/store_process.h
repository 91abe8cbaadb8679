#ifndef STORE_PROCESS_H
#define STORE_PROCESS_H

#include <stdbool.h>

/* A standin_store process of a test. */
struct store_process;

typedef bool (*condition_fn)(void *ctx);

struct store_process *store_process_start(void);
void store_process_stop(struct store_process *sp);
const char *store_process_url(const struct store_process *sp);
/* Sends a control request such as "outage?mode=refuse". */
void store_process_control(struct store_process *sp, const char *request);
/* Runs the main loop until the condition holds; false after the time. */
bool run_until(condition_fn fn, void *ctx, int timeout_ms);
void run_for(int ms);

#endif
