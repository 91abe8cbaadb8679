#ifndef SP_TESTS_POLICY_REPLAY_H
#define SP_TESTS_POLICY_REPLAY_H

/*
 * Replays every tests/cases/<prefix>*.txt against place and eject. Returns the
 * number of lines whose result differs, after printing them, and the number of
 * files replayed.  The commands are listed in tests/cases/policy-commands.txt.
 */
int policy_replay_all(const char *prefix, int *files);

#endif
