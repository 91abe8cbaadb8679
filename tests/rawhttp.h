#ifndef RAWHTTP_H
#define RAWHTTP_H

#include <stdint.h>

/* Requests that are written byte by byte, on loopback connections. */

/* Returns a socket, on which recv() fails after receive_ms. */
int rh_connect(uint16_t port, int64_t receive_ms);
/*
 * Returns what is received until the end of the connection, until receive_ms
 * pass without a byte, or the first max_bytes; free with g_free().
 */
char *rh_receive(int fd, size_t max_bytes);
/* Number of status lines in a text. */
int rh_count_answers(const char *text);
/* Status of the first answer, 0 if there is none. */
int rh_status(const char *text);

#endif
