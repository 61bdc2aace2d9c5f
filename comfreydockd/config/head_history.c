#include "comfreydockd/config/head_history.h"

#include <string.h>

static void forget_oldest(struct head_history *history)
{
	history->count--;
	memmove(history->entries, history->entries + 1,
		history->count * sizeof(history->entries[0]));
}

void head_history_note(struct head_history *history, uint64_t head, int64_t now_us)
{
	struct head_history_entry *last;

	if (history->count) {
		last = &history->entries[history->count - 1];
		if (head <= last->head)
			return;
		if (now_us - last->known_us < HEAD_HISTORY_STEP_US) {
			last->head = head;
			return;
		}
	}
	if (history->count == HEAD_HISTORY_SIZE)
		forget_oldest(history);
	history->entries[history->count++] =
		(struct head_history_entry){.head = head, .known_us = now_us};
}

void head_history_drop_above(struct head_history *history, uint64_t head)
{
	while (history->count && history->entries[history->count - 1].head > head)
		history->count--;
}

int64_t head_history_superseded_us(const struct head_history *history,
				   uint64_t head, int64_t now_us)
{
	for (unsigned int i = 0; i < history->count; i++) {
		if (history->entries[i].head > head)
			return now_us - history->entries[i].known_us;
	}
	return 0;
}
