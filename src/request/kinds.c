#include <glib.h>
#include <math.h>
#include <string.h>

#include "request/kinds.h"

/*
 * Kinds count as equally fast up to this ratio of their run times: learned
 * speeds of equal kinds differ by up to some 20%.
 */
#define DIFFERENT_KINDS 1.3
/* Fast capacity is scarce when less than this share of it is free. */
#define SCARCE_SHARE 0.25
/*
 * A task goes to a slower worker, to spare the fast ones, only if the worker
 * leaves a margin of half of the run time: run times vary by as much.
 */
#define SLOWER_MARGIN 1.5
/* A task that is held is looked at again within this time. */
#define PASS_INTERVAL_MS 50

void
knd_clear(struct knd *knd)
{
	knd->n = 0;
	knd->has_blocked = false;
}

static bool
is_same_size(const struct wk_size *a, const struct wk_size *b)
{
	return wk_fits(a, b) && wk_fits(b, a);
}

static uint32_t
find_class(const struct knd *knd, const char *service,
    const struct spd_worker *kind, const struct wk_size *capacity)
{
	uint32_t i;

	for (i = 0; i < knd->n; i++) {
		const struct knd_class *c = &knd->classes[i];

		if (c->kind == kind && is_same_size(&c->capacity, capacity) &&
		    strcmp(c->service, service) == 0)
			break;
	}
	return i;
}

uint32_t
knd_add(struct knd *knd, const char *service, const struct spd_worker *kind,
    const struct wk_size *capacity, const struct wk_size *room)
{
	uint32_t i = find_class(knd, service, kind, capacity);
	struct knd_class *c;

	if (i == KND_MAX)
		return KND_NONE;
	c = &knd->classes[i];
	if (i == knd->n) {
		knd->n++;
		*c = (struct knd_class){
		    .service = service,
		    .kind = kind,
		    .capacity = *capacity,
		    .slowness = spd_kind_slowness(kind),
		};
	}
	c->cpu_milli += capacity->cpu_milli;
	c->free_cpu_milli += MAX(room->cpu_milli, 0);
	return i;
}

/* The classes that could run the task with all their capacity free. */
static uint32_t
runnable(const struct knd *knd, const struct knd_task *task)
{
	uint32_t i, set = 0;

	for (i = 0; i < knd->n; i++) {
		const struct knd_class *c = &knd->classes[i];

		if ((task->may_run >> i & 1) != 0 &&
		    wk_fits(&task->size, &c->capacity) &&
		    strcmp(c->service, task->service) == 0)
			set |= 1U << i;
	}
	return set;
}

static double
fastest(const struct knd *knd, uint32_t set)
{
	double min = INFINITY;
	uint32_t i;

	for (i = 0; i < knd->n; i++) {
		if ((set >> i & 1) != 0)
			min = fmin(min, knd->classes[i].slowness);
	}
	return min;
}

static uint32_t
as_fast_as(const struct knd *knd, uint32_t set, double slowness)
{
	uint32_t i, fast = 0;

	for (i = 0; i < knd->n; i++) {
		if ((set >> i & 1) != 0 && knd->classes[i].slowness <= slowness)
			fast |= 1U << i;
	}
	return fast;
}

/* Sums over a set of classes. */
struct totals {
	double cpu_milli;
	double free_cpu_milli;
	double held_cpu_ms;
};

static struct totals
totals_of(const struct knd *knd, uint32_t set)
{
	struct totals t = {0};
	uint32_t i;

	for (i = 0; i < knd->n; i++) {
		const struct knd_class *c = &knd->classes[i];

		if ((set >> i & 1) == 0)
			continue;
		t.cpu_milli += (double)c->cpu_milli;
		t.free_cpu_milli += (double)c->free_cpu_milli;
		t.held_cpu_ms += c->held_cpu_ms;
	}
	return t;
}

/*
 * The least time until a fast worker is free for the task: the work of those
 * that were held before it.  Other entries' tasks come on top, which this one
 * does not know.
 */
static double
wait_ms(const struct totals *fast)
{
	return fast->cpu_milli > 0 ? fast->held_cpu_ms / fast->cpu_milli : 0;
}

/*
 * A task waits for a fast worker only as long as it could still end there in
 * time if it got one in the next pass; so it never waits past the objective.
 */
struct knd_plan
knd_plan_of(const struct knd *knd, const struct knd_task *task)
{
	struct knd_plan plan = KND_ANY;
	uint32_t i, slower, set = runnable(knd, task);
	double min = fastest(knd, set);
	struct totals fast;

	if (set == 0)
		return plan;
	plan.fast = as_fast_as(knd, set, min * DIFFERENT_KINDS);
	slower = set & ~plan.fast;
	fast = totals_of(knd, plan.fast);
	if (slower == 0 ||
	    wait_ms(&fast) + PASS_INTERVAL_MS + task->average_run_ms * min >
		task->left_ms)
		return plan;
	plan.max_spare_ms = task->left_ms / SLOWER_MARGIN;
	for (i = 0; i < knd->n; i++) {
		double run_ms = task->average_run_ms * knd->classes[i].slowness;

		if ((slower >> i & 1) == 0)
			continue;
		if (run_ms > task->left_ms)
			plan.allowed &= ~(1U << i);
		else if (run_ms <= plan.max_spare_ms &&
			 fast.free_cpu_milli < fast.cpu_milli * SCARCE_SHARE)
			plan.spare |= 1U << i;
	}
	return plan;
}

void
knd_record_sent(
    struct knd *knd, uint32_t class_index, const struct wk_size *size)
{
	struct knd_class *c;

	if (class_index >= knd->n)
		return;
	c = &knd->classes[class_index];
	c->free_cpu_milli = MAX(c->free_cpu_milli - size->cpu_milli, 0);
}

/* The work is spread over the classes by their capacity. */
void
knd_record_held(struct knd *knd, const struct knd_plan *plan,
    const struct knd_task *task, uint32_t n)
{
	double cpu_milli = totals_of(knd, plan->fast).cpu_milli;
	double work = n * (double)task->size.cpu_milli * task->average_run_ms;
	uint32_t i;

	for (i = 0; i < knd->n && cpu_milli > 0; i++) {
		struct knd_class *c = &knd->classes[i];

		if ((plan->fast >> i & 1) != 0)
			c->held_cpu_ms += work * c->slowness *
					  (double)c->cpu_milli / cpu_milli;
	}
}

void
knd_record_blocked(
    struct knd *knd, const struct knd_plan *plan, const struct wk_size *size)
{
	if (knd->has_blocked && !wk_fits(size, &knd->blocked_size))
		return;
	knd->has_blocked = true;
	knd->blocked_allowed = plan->allowed;
	knd->blocked_size = *size;
}

bool
knd_is_blocked(const struct knd *knd, const struct knd_plan *plan,
    const struct wk_size *size)
{
	return knd->has_blocked && plan->allowed != UINT32_MAX &&
	       (plan->allowed & ~knd->blocked_allowed) == 0 &&
	       wk_fits(&knd->blocked_size, size);
}
