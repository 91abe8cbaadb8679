#ifndef SP_WORK_H
#define SP_WORK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * A submitted job: steps, each of a number of equal tasks that run on workers.
 * Plain data, without sockets and clock.
 */
struct wk_size {
	int64_t cpu_milli; /* thousandths of a core */
	int64_t memory_mb;
	int64_t gpus;
};

struct wk_step {
	uint32_t count;
	struct wk_size size;
	int64_t estimate_ms; /* run time of one task; 0: not given */
	uint32_t *after;     /* indexes of the steps that must be done first */
	uint32_t n_after;
	char *required_label;	 /* NULL: any worker */
	char *preferred_rack;	 /* NULL: any */
	uint32_t max_per_worker; /* 0: any number */
};

struct wk_job {
	char *id;
	GBytes *spec; /* text for the worker, which may have U+0000 */
	struct wk_step *steps;
	uint32_t n_steps;
};

bool wk_fits(const struct wk_size *size, const struct wk_size *room);
void wk_add(struct wk_size *to, const struct wk_size *size);
void wk_subtract(struct wk_size *from, const struct wk_size *size);

/* Name of a task, unique among all jobs; free with g_free(). */
char *wk_task_name(const char *job, uint32_t step, uint32_t index);
/* Whether two tasks, given by their names, belong to the same job. */
bool wk_same_job(const char *task, const char *other);
/* A hash that is equal for the tasks of one job. */
uint32_t wk_job_hash(const char *task);

uint32_t wk_job_n_tasks(const struct wk_job *job);
/* Estimated run time of all tasks, in milliseconds of a core. */
double wk_job_work(const struct wk_job *job);
/* Sum of the estimates along the longest chain of dependent steps. */
int64_t wk_job_critical_path_ms(const struct wk_job *job);
/* Frees the contents and the struct; NULL is allowed. */
void wk_job_free(struct wk_job *job);

#endif
