#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/interference.h"

/* Runs that the recent mean is taken over. */
#define RECENT_RUNS 32.0
/*
 * Residuals count as this much at most.  Run times vary with a spread of 0.4,
 * and so do the errors of their estimates; a few in 100 take 7 times as long.
 */
#define MAX_RESIDUAL 1.0
/* Added to each diagonal element: weight of the assumption of no effect. */
#define RIDGE 1.0
/* Variance of a residual, assumed with the weight of so many runs. */
#define PRIOR_VARIANCE 0.36
#define PRIOR_RUNS     8.0
/* A queue whose concurrency has varied less is left out. */
#define MIN_SQUARES 0.5
/* Least runs behind an estimate. */
#define MIN_RUNS 40.0
/* An estimate with a larger standard deviation is not reported. */
#define MAX_DEVIATION 0.4

/*
 * Half-life of the worker's level, and the number of runs with which it counts
 * half.
 */
#define LEVEL_MS	 1000.0
#define LEVEL_PRIOR_RUNS 1.0
/* The regression has a column for each queue and one for the worker's level. */
#define N_COLUMNS (ITF_QUEUES + 1)
#define LEVEL	  ITF_QUEUES

/*
 * How slow the latest runs of a queue were beyond what is known of its pairs.
 * The mean over the other queues is a column of a queue's regression: a worker
 * that turns slow also has more concurrent runs then, which would be implicated.
 */
struct level {
	double sum;
	double runs;
	int64_t at_ms;
};

/* Weighted sums over the runs of one queue; all but runs are of differences. */
struct sums {
	double runs;
	double x_x[N_COLUMNS][N_COLUMNS]; /* lower triangle */
	double x_y[N_COLUMNS];
	double y_y;
	double samples; /* since the last reset, for the recent means */
	double recent_x[N_COLUMNS];
	double recent_y;
	int64_t at_ms; /* the sums are decayed until then */
	int64_t last_run_ms;
	bool stale; /* the estimates are older than the sums */
	double mean[N_COLUMNS];
	double variance[N_COLUMNS]; /* 0: none */
};

struct itf {
	struct sums queues[ITF_QUEUES];
	struct level levels[ITF_QUEUES];
};

struct itf *
itf_new(void)
{
	return g_new0(struct itf, 1);
}

void
itf_free(struct itf *itf)
{
	g_free(itf);
}

/*
 * The effect of several runs may be that of one, or grow with their number.  This
 * is between the two.
 */
double
itf_exposure(uint32_t n)
{
	static const double exposures[] = {0, 1, 1.3, 1.5};

	return exposures[MIN(n, 3)];
}

double
itf_sigma(double mean, double variance)
{
	return (mean - log(ITF_MIN_FACTOR)) / sqrt(fmax(variance, 1e-9));
}

static void
decay(struct sums *s, double factor)
{
	uint32_t i, j;

	s->runs *= factor;
	s->y_y *= factor;
	for (i = 0; i < N_COLUMNS; i++) {
		s->x_y[i] *= factor;
		for (j = 0; j <= i; j++)
			s->x_x[i][j] *= factor;
	}
}

static void
decay_until(struct sums *s, int64_t now_ms)
{
	if (s->runs > 0 && now_ms > s->at_ms) {
		decay(s, exp2(-(double)(now_ms - s->at_ms) / ITF_HALF_LIFE_MS));
		s->stale = true;
	}
	s->at_ms = now_ms;
}

static void
decay_level(struct level *level, int64_t now_ms)
{
	double factor = exp2(-(double)(now_ms - level->at_ms) / LEVEL_MS);

	level->sum *= factor;
	level->runs *= factor;
	level->at_ms = now_ms;
}

static double
level_of_others(struct itf *itf, uint32_t queue, int64_t now_ms)
{
	double sum = 0, runs = LEVEL_PRIOR_RUNS;
	uint32_t q;

	for (q = 0; q < ITF_QUEUES; q++) {
		if (q == queue || itf->levels[q].runs <= 0)
			continue;
		decay_level(&itf->levels[q], now_ms);
		sum += itf->levels[q].sum;
		runs += itf->levels[q].runs;
	}
	return sum / runs;
}

static double
clamp_abs(double value, double limit)
{
	return fmax(fmin(value, limit), -limit);
}

/* What the first n columns explain of the difference from the recent mean. */
static double
explained_y(const struct sums *s, const double *x, uint32_t n)
{
	double y = 0;
	uint32_t i;

	for (i = 0; i < n; i++)
		y += s->mean[i] * x[i];
	return y;
}

/* A difference from the recent mean, as far as it is no outlier. */
static double
limited_y(const struct sums *s, const double *x, double y)
{
	double expected = explained_y(s, x, N_COLUMNS);

	return expected + clamp_abs(y - expected, MAX_RESIDUAL);
}

static void
add_differences(struct sums *s, const double *x, double y, double weight)
{
	uint32_t i, j;

	decay(s, exp2(-weight / ITF_HALF_LIFE_RUNS));
	s->runs += weight;
	s->y_y += weight * y * y;
	for (i = 0; i < N_COLUMNS; i++) {
		s->x_y[i] += weight * x[i] * y;
		for (j = 0; j <= i; j++)
			s->x_x[i][j] += weight * x[i] * x[j];
	}
}

static void
add_to_level(struct level *level, double y, double weight, int64_t now_ms)
{
	decay_level(level, now_ms);
	level->sum += weight * y;
	level->runs += weight;
}

static void
update_recent(struct sums *s, const double *x, double y, double weight)
{
	double share;
	uint32_t i;

	s->samples += weight;
	share = weight / fmin(s->samples, RECENT_RUNS);
	for (i = 0; i < N_COLUMNS; i++)
		s->recent_x[i] += share * x[i];
	s->recent_y += share * y;
}

void
itf_add(struct itf *itf, const struct itf_run *run, int64_t now_ms)
{
	struct sums *s = &itf->queues[run->queue];
	double x[N_COLUMNS], y;
	uint32_t i;

	if (run->run_ms <= 0 || run->nominal_ms <= 0 || run->weight <= 0)
		return;
	decay_until(s, now_ms);
	for (i = 0; i < ITF_QUEUES; i++)
		x[i] = run->exposure[i] - s->recent_x[i];
	x[LEVEL] =
	    level_of_others(itf, run->queue, now_ms) - s->recent_x[LEVEL];
	y = log((double)run->run_ms / (double)run->nominal_ms) - s->recent_y;
	if (s->samples > 0) {
		y = limited_y(s, x, y);
		add_differences(s, x, y, run->weight);
		add_to_level(&itf->levels[run->queue],
		    y - explained_y(s, x, ITF_QUEUES), run->weight, now_ms);
	}
	update_recent(s, x, y, run->weight);
	s->last_run_ms = now_ms;
	s->stale = true;
}

/* The number is also that of another queue beside each queue. */
void
itf_reset(struct itf *itf, uint32_t queue)
{
	uint32_t i, q;

	itf->queues[queue] = (struct sums){0};
	itf->levels[queue] = (struct level){0};
	for (q = 0; q < ITF_QUEUES; q++) {
		struct sums *s = &itf->queues[q];

		for (i = 0; i < N_COLUMNS; i++)
			s->x_x[MAX(i, queue)][MIN(i, queue)] = 0;
		s->x_y[queue] = s->recent_x[queue] = 0;
		s->mean[queue] = s->variance[queue] = 0;
	}
}

/* The sums of the queues whose concurrency has varied. */
struct system {
	uint32_t n;
	uint32_t queue[N_COLUMNS];
	double root[N_COLUMNS][N_COLUMNS]; /* lower triangle */
	double inverse_root[N_COLUMNS][N_COLUMNS];
};

static void
select_queues(const struct sums *s, struct system *system)
{
	uint32_t i;

	system->n = 0;
	for (i = 0; i < N_COLUMNS; i++) {
		if (s->x_x[i][i] >= MIN_SQUARES)
			system->queue[system->n++] = i;
	}
}

/* Cholesky factor of the sums; the ridge keeps it positive definite. */
static void
factorize(const struct sums *s, struct system *system)
{
	uint32_t i, j, k;

	for (i = 0; i < system->n; i++) {
		for (j = 0; j <= i; j++) {
			double sum = s->x_x[system->queue[i]][system->queue[j]];

			if (i == j)
				sum += RIDGE;
			for (k = 0; k < j; k++)
				sum -= system->root[i][k] * system->root[j][k];
			system->root[i][j] = i == j ? sqrt(fmax(sum, 1e-6))
						    : sum / system->root[j][j];
		}
	}
}

static void
invert(struct system *system)
{
	uint32_t i, j, k;

	for (j = 0; j < system->n; j++) {
		system->inverse_root[j][j] = 1 / system->root[j][j];
		for (i = j + 1; i < system->n; i++) {
			double sum = 0;

			for (k = j; k < i; k++)
				sum += system->root[i][k] *
				       system->inverse_root[k][j];
			system->inverse_root[i][j] = -sum / system->root[i][i];
		}
	}
}

/* Element of the inverse of the sums. */
static double
inverse_at(const struct system *system, uint32_t i, uint32_t j)
{
	double sum = 0;
	uint32_t k;

	for (k = MAX(i, j); k < system->n; k++)
		sum += system->inverse_root[k][i] * system->inverse_root[k][j];
	return sum;
}

/*
 * Ridge regression.  The variance of the residuals is that of the weighted
 * runs, which is cautious, since weights are 1 at most.
 */
static void
solve(struct sums *s)
{
	struct system system;
	double explained = 0, residual;
	uint32_t i, j;

	memset(s->mean, 0, sizeof(s->mean));
	memset(s->variance, 0, sizeof(s->variance));
	select_queues(s, &system);
	factorize(s, &system);
	invert(&system);
	for (i = 0; i < system.n; i++) {
		uint32_t q = system.queue[i];

		for (j = 0; j < system.n; j++)
			s->mean[q] +=
			    inverse_at(&system, i, j) * s->x_y[system.queue[j]];
		explained += s->mean[q] * s->x_y[q];
	}
	residual = (fmax(s->y_y - explained, 0) + PRIOR_RUNS * PRIOR_VARIANCE) /
		   (fmax(s->runs - system.n, 0) + PRIOR_RUNS);
	for (i = 0; i < system.n; i++)
		s->variance[system.queue[i]] =
		    residual * inverse_at(&system, i, i);
	s->stale = false;
}

void
itf_refresh(struct itf *itf, int64_t now_ms)
{
	uint32_t q;

	for (q = 0; q < ITF_QUEUES; q++) {
		struct sums *s = &itf->queues[q];

		if (s->runs <= 0)
			continue;
		decay_until(s, now_ms);
		if (s->stale)
			solve(s);
	}
}

bool
itf_estimate(const struct itf *itf, uint32_t queue, uint32_t other,
    int64_t now_ms, struct itf_row *row)
{
	const struct sums *s = &itf->queues[queue];
	double variance = s->variance[other];

	if (queue == other || s->runs < MIN_RUNS || variance <= 0 ||
	    variance > MAX_DEVIATION * MAX_DEVIATION)
		return false;
	row->weight = (uint32_t)s->runs;
	row->mean = clamp_abs(s->mean[other], log(ITF_MAX_FACTOR));
	row->variance = variance;
	row->age_ms = now_ms - s->last_run_ms;
	return true;
}
