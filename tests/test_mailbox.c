#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "process/mailbox.h"
#include "runner.h"

#define N_SENDERS  4
#define N_MESSAGES 2000

struct message {
	int sender;
	int number;
};

struct inbox {
	struct mbx *mbx;
	int next[N_SENDERS];
	int taken;
};

struct sender {
	struct inbox *inbox;
	int index;
};

static int discarded;

static void
handle_message(void *data, void *ctx)
{
	struct message *message = data;
	struct inbox *inbox = ctx;

	ck_assert_int_eq(message->number, inbox->next[message->sender]++);
	inbox->taken++;
	g_free(message);
}

static void
discard(gpointer data)
{
	discarded++;
	g_free(data);
}

static void
post(struct inbox *inbox, int sender, int number)
{
	struct message *message = g_new0(struct message, 1);

	message->sender = sender;
	message->number = number;
	mbx_post(inbox->mbx, message);
}

static gpointer
run_sender(gpointer data)
{
	struct sender *sender = data;
	int i;

	for (i = 0; i < N_MESSAGES; i++)
		post(sender->inbox, sender->index, i);
	return NULL;
}

static void
open_inbox(struct inbox *inbox)
{
	struct mbx_options opts = {
	    .handle_message = handle_message, .discard = discard, .ctx = inbox};

	inbox->mbx = mbx_new(&opts);
}

/* Fails when a message is lost, out of order, or does not wake the loop. */
START_TEST(many_senders)
{
	struct inbox inbox = {0};
	struct sender senders[N_SENDERS];
	GThread *threads[N_SENDERS];
	int i;

	open_inbox(&inbox);
	for (i = 0; i < N_SENDERS; i++) {
		senders[i] = (struct sender){&inbox, i};
		threads[i] = g_thread_new("sender", run_sender, &senders[i]);
	}
	while (inbox.taken < N_SENDERS * N_MESSAGES)
		g_main_context_iteration(NULL, TRUE);
	for (i = 0; i < N_SENDERS; i++)
		g_thread_join(threads[i]);
	mbx_free(inbox.mbx);
}
END_TEST

/* Fails when a message that nobody took leaks or is taken after the end. */
START_TEST(discards_the_rest)
{
	struct inbox inbox = {0};

	open_inbox(&inbox);
	post(&inbox, 0, 0);
	post(&inbox, 0, 1);
	mbx_free(inbox.mbx);
	while (g_main_context_iteration(NULL, FALSE))
		;
	ck_assert_int_eq(inbox.taken, 0);
	ck_assert_int_eq(discarded, 2);
}
END_TEST

TEST_MAIN("mailbox", 0, many_senders, discards_the_rest)
