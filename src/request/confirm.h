#ifndef SP_CONFIRM_H
#define SP_CONFIRM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Decides when an entry may acknowledge a cancel: when it is in the store, which
 * all entries watch and which outlives all processes, and so many agents (relays)
 * have it that every other entry is connected to one of them, or don't answer.
 * Holds no sockets and reads no clock.
 */
struct cfm;

/* All relays are asked after this time without enough answers. */
#define CFM_ASK_ALL_MS 150
/* Then the store suffices. */
#define CFM_STORE_MS 400
/* A cancel is refused after this time. */
#define CFM_GIVE_UP_MS 2500
/*
 * Writes to the store of one entry, each of which reaches all entries.  Cancels
 * that come meanwhile go into the next one, up to CFM_WRITE_MAX.
 */
#define CFM_WRITES_PER_S 20
#define CFM_WRITE_MAX	 64

struct cfm_options {
	/* Sends the cancel to a relay, which answers by cfm_known(). */
	void (*ask)(uint64_t relay, uint64_t key, void *ctx);
	/* Writes cancels to the store, which answers by cfm_stored(). */
	void (*write)(const uint64_t *keys, size_t n, void *ctx);
	/* Runs once for each waiter. */
	void (*decided)(void *waiter, bool confirmed, void *ctx);
	/* Frees a waiter for which decided() did not run. */
	void (*drop)(void *waiter);
	void *ctx;
};

struct cfm *cfm_new(const struct cfm_options *opts);
/* decided() does not run; NULL is allowed. */
void cfm_free(struct cfm *cfm);

/* A relay is connected, or no longer; repetitions have no effect. */
void cfm_relay_up(struct cfm *cfm, uint64_t relay);
void cfm_relay_down(struct cfm *cfm, uint64_t relay);
/* Number of agents in the fleet; an entry is connected to a share of them. */
void cfm_set_agents(struct cfm *cfm, uint32_t n_agents);

void cfm_begin(struct cfm *cfm, uint64_t key, void *waiter, int64_t now_ms);
void cfm_known(struct cfm *cfm, uint64_t relay, uint64_t key);
/* The write in progress has ended; there is one at a time. */
void cfm_stored(struct cfm *cfm, bool ok, int64_t now_ms);
/* To be called every few tens of milliseconds. */
void cfm_tick(struct cfm *cfm, int64_t now_ms);

/* Answers of relays that a cancel needs now; 0: they can't suffice. */
uint32_t cfm_needed(const struct cfm *cfm);
uint32_t cfm_n_pending(const struct cfm *cfm);

#endif
