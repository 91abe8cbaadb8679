#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection/sockwatch.h"
#include "runner.h"

#define N_PAIRS	   100
#define FILL_BYTES 4096
#define MAX_ROUNDS 1000
#define READ_BYTES 65536

struct end {
	int fd;	  /* watched */
	int peer; /* the other end */
	struct skw *watch;
	int n_readable, n_writable;
	struct end *frees; /* freed by the next callback */
};

static void
close_end(struct end *end)
{
	skw_free(end->watch);
	end->watch = NULL;
	close(end->fd);
	close(end->peer);
}

static void
free_other(struct end *end)
{
	if (end->frees == NULL || end->frees->watch == NULL)
		return;
	skw_free(end->frees->watch);
	end->frees->watch = NULL;
}

static void
on_readable(void *ctx)
{
	static char buf[READ_BYTES];
	struct end *end = ctx;

	end->n_readable++;
	ck_assert_int_ge(recv(end->fd, buf, sizeof(buf), MSG_DONTWAIT), 0);
	free_other(end);
}

static void
on_writable(void *ctx)
{
	struct end *end = ctx;

	end->n_writable++;
	free_other(end);
}

static void
open_end(struct end *end)
{
	int fds[2];

	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	memset(end, 0, sizeof(*end));
	end->fd = fds[0];
	end->peer = fds[1];
	end->watch = skw_new(&(struct skw_options){
	    .fd = end->fd,
	    .readable = on_readable,
	    .writable = on_writable,
	    .ctx = end,
	});
	ck_assert_ptr_nonnull(end->watch);
}

/* Runs the main loop until nothing is left to be done. */
static void
run_loop(void)
{
	int i;

	for (i = 0; i < MAX_ROUNDS && g_main_context_iteration(NULL, FALSE);
	     i++)
		continue;
	ck_assert_int_lt(i, MAX_ROUNDS);
}

START_TEST(input_is_reported)
{
	struct end end;

	open_end(&end);
	run_loop();
	ck_assert_int_eq(end.n_readable, 0);
	ck_assert_int_eq(write(end.peer, "x", 1), 1);
	run_loop();
	ck_assert_int_eq(end.n_readable, 1);
	ck_assert_int_eq(end.n_writable, 0);
	close_end(&end);
}
END_TEST

/* A connection whose end is not reported would stay open for ever. */
START_TEST(end_of_connection_is_reported)
{
	struct end end;

	open_end(&end);
	shutdown(end.peer, SHUT_RDWR);
	g_main_context_iteration(NULL, FALSE);
	ck_assert_int_ge(end.n_readable, 1);
	close_end(&end);
}
END_TEST

/* Bytes that did not fit would never be sent. */
START_TEST(room_for_output_is_reported_while_waited_for)
{
	static const char bytes[FILL_BYTES];
	static char buf[READ_BYTES];
	struct end end;

	open_end(&end);
	while (send(end.fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
		continue;
	skw_wait_writable(end.watch, true);
	run_loop();
	ck_assert_int_eq(end.n_writable, 0);
	while (recv(end.peer, buf, sizeof(buf), MSG_DONTWAIT) > 0)
		continue;
	g_main_context_iteration(NULL, FALSE);
	ck_assert_int_ge(end.n_writable, 1);
	skw_wait_writable(end.watch, false);
	end.n_writable = 0;
	run_loop();
	ck_assert_int_eq(end.n_writable, 0);
	close_end(&end);
}
END_TEST

/*
 * Each callback frees another watch whose event may have been fetched already;
 * it would be called with freed memory.
 */
START_TEST(freed_watch_is_not_called)
{
	static struct end ends[N_PAIRS];
	int i, n_called = 0;

	for (i = 0; i < N_PAIRS; i++) {
		open_end(&ends[i]);
		ends[i].frees = &ends[i ^ 1];
		ck_assert_int_eq(write(ends[i].peer, "x", 1), 1);
	}
	run_loop();
	for (i = 0; i < N_PAIRS; i++) {
		ck_assert_int_eq(ends[i].n_readable, ends[i].watch != NULL);
		n_called += ends[i].n_readable;
	}
	ck_assert_int_eq(n_called, N_PAIRS / 2);
	for (i = 0; i < N_PAIRS; i++)
		close_end(&ends[i]);
}
END_TEST

/* The number of a closed socket belongs to the next one. */
START_TEST(number_of_closed_socket_is_used_again)
{
	struct end end, next;

	open_end(&end);
	close_end(&end);
	open_end(&next);
	ck_assert_int_eq(next.fd, end.fd);
	ck_assert_int_eq(write(next.peer, "x", 1), 1);
	run_loop();
	ck_assert_int_eq(next.n_readable, 1);
	ck_assert_int_eq(end.n_readable, 0);
	close_end(&next);
}
END_TEST

START_TEST(closed_socket_is_no_watch)
{
	ck_assert_ptr_null(skw_new(&(struct skw_options){
	    .fd = -1, .readable = on_readable, .writable = on_writable}));
}
END_TEST

TEST_MAIN("sockwatch", 0, input_is_reported, end_of_connection_is_reported,
    room_for_output_is_reported_while_waited_for, freed_watch_is_not_called,
    number_of_closed_socket_is_used_again, closed_socket_is_no_watch)
