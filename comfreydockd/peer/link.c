#include "comfreydockd/peer/link.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counters.h"

#define READ_CHUNK_BYTES (64 * 1024)
/* A link reads at most about this much per loop iteration, so that none delays
 * the others. A partly written output buffer is compacted once the written part
 * exceeds this, as each compaction moves the rest. */
#define READ_TURN_BYTES (1024 * 1024)

/* An empty buffer that has grown larger than this is freed. Of a thousand links
 * most are idle at any moment, and each would otherwise keep the memory for its
 * largest frame. */
#define BUFFER_KEEP_BYTES 2048

struct link {
	LIST_ENTRY(link) all_node; /* in group->all */
	LIST_ENTRY(link) flush_node; /* in group->to_flush */
	struct link_group *group;
	struct link_callbacks callbacks;
	int fd; /* -1: an in-memory link */
	struct link *other; /* the other end of an in-memory link */
	ev_io reader;
	ev_io writer;
	ev_timer close_timer; /* calls handle_closed from the loop */
	GByteArray *in;
	GByteArray *out;
	guint in_peak; /* largest length since the buffer was allocated */
	guint out_peak;
	size_t out_start;
	uint64_t queued; /* all bytes ever passed to link_send() */
	uint64_t handed_over; /* those given to the kernel or the other end */
	bool flush_scheduled; /* in group->to_flush */
	bool trusted;
	bool failed;
	bool dispatching;
	bool destroyed;
	char error[64];
};

static void link_free(struct link *link)
{
	g_byte_array_unref(link->in);
	g_byte_array_unref(link->out);
	g_free(link);
}

static void buffer_trim(GByteArray **buffer, guint *peak)
{
	if (*peak <= BUFFER_KEEP_BYTES)
		return;
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
	*peak = 0;
}

static void link_append_input(struct link *link, const uint8_t *bytes, guint size)
{
	g_byte_array_append(link->in, bytes, size);
	link->in_peak = MAX(link->in_peak, link->in->len);
}

void link_fail(struct link *link, const char *error)
{
	if (link->failed)
		return;
	link->failed = true;
	g_strlcpy(link->error, error, sizeof(link->error));
	ev_io_stop(link->group->loop, &link->reader);
	ev_io_stop(link->group->loop, &link->writer);
	ev_timer_stop(link->group->loop, &link->close_timer);
	ev_timer_set(&link->close_timer, 0.0, 0.0);
	ev_timer_start(link->group->loop, &link->close_timer);
}

static bool link_handle_frame(struct link *link, const uint8_t *data, size_t size)
{
	Cfd__Frame *frame = cfd__frame__unpack(NULL, size, data);

	if (!frame || frame->kind_case == CFD__FRAME__KIND__NOT_SET) {
		if (frame)
			cfd__frame__free_unpacked(frame, NULL);
		counters.peer_bad_frames++;
		link_fail(link, "malformed frame");
		return false;
	}
	counters.peer_frames_in++;
	link->callbacks.handle_frame(link, frame, link->callbacks.data);
	cfd__frame__free_unpacked(frame, NULL);
	return !link->failed && !link->destroyed;
}

static size_t link_frame_limit(const struct link *link)
{
	return link->trusted ? LINK_MAX_FRAME_BYTES : LINK_MAX_HELLO_BYTES;
}

/*
 * Passes all complete frames in the input to the handler.
 *
 * RETURN VALUE: false if the handler destroyed the link.
 */
static bool link_parse(struct link *link)
{
	size_t at = 0;
	uint32_t size;

	link->dispatching = true;
	while (!link->failed && !link->destroyed &&
	       link->in->len - at >= LINK_LENGTH_BYTES) {
		memcpy(&size, link->in->data + at, LINK_LENGTH_BYTES);
		size = ntohl(size);
		if (size == 0 || size > link_frame_limit(link)) {
			counters.peer_bad_frames++;
			link_fail(link, "invalid frame length");
			break;
		}
		if (link->in->len - at - LINK_LENGTH_BYTES < size)
			break;
		at += LINK_LENGTH_BYTES + size;
		if (!link_handle_frame(link, link->in->data + at - size, size))
			break;
	}
	link->dispatching = false;
	if (link->destroyed) {
		link_free(link);
		return false;
	}
	if (at > 0)
		g_byte_array_remove_range(link->in, 0, (guint)at);
	if (link->in->len == 0)
		buffer_trim(&link->in, &link->in_peak);
	return true;
}

static ssize_t link_read_chunk(struct link *link)
{
	uint8_t *chunk = link->group->chunk;
	ssize_t got = recv(link->fd, chunk, READ_CHUNK_BYTES, MSG_DONTWAIT);

	if (got > 0)
		link_append_input(link, chunk, (guint)got);
	return got;
}

/* Reads what has arrived, about max_bytes at most, and handles the complete
 * frames. Fails the link if the stream has ended or an error occurred, but only
 * after the frames that arrived before. */
static void link_read(struct link *link, size_t max_bytes)
{
	const char *error = NULL;
	size_t total = 0;
	ssize_t got;

	do {
		got = link_read_chunk(link);
		if (got == 0)
			error = "closed by peer";
		else if (got < 0 && errno != EAGAIN && errno != EINTR)
			error = g_strerror(errno);
		total += (size_t)MAX(got, 0);
	} while (got == READ_CHUNK_BYTES && total < max_bytes);
	if (total > 0 && !link_parse(link))
		return;
	if (error)
		link_fail(link, error);
}

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	link_read(io->data, READ_TURN_BYTES);
}

static void link_discard_written(struct link *link, size_t size)
{
	link->handed_over += size;
	link->out_start += size;
	if (link->out_start == link->out->len) {
		g_byte_array_set_size(link->out, 0);
		link->out_start = 0;
		buffer_trim(&link->out, &link->out_peak);
	} else if (link->out_start > READ_TURN_BYTES) {
		g_byte_array_remove_range(link->out, 0, (guint)link->out_start);
		link->out_start = 0;
	}
}

static void link_write(struct link *link)
{
	size_t left = link->out->len - link->out_start;
	ssize_t sent;

	if (left == 0)
		return;
	sent = send(link->fd, link->out->data + link->out_start, left,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
		link_fail(link, g_strerror(errno));
		return;
	}
	if (sent > 0)
		link_discard_written(link, (size_t)sent);
	if (link->out->len > link->out_start)
		ev_io_start(link->group->loop, &link->writer);
	else
		ev_io_stop(link->group->loop, &link->writer);
}

static void handle_writable(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	link_write(io->data);
}

/* Delivers the output of an in-memory link to its other end. The loop calls
 * this, so that the other end's handler never runs within link_send(). */
static void link_deliver_to_other(struct link *link)
{
	size_t left = link->out->len - link->out_start;
	struct link *other = link->other;

	if (!other || other->failed) {
		link_fail(link, "closed by peer");
		return;
	}
	link_append_input(other, link->out->data + link->out_start, (guint)left);
	link_discard_written(link, left);
	link_parse(other);
}

static void link_unschedule_flush(struct link *link)
{
	if (!link->flush_scheduled)
		return;
	link->flush_scheduled = false;
	LIST_REMOVE(link, flush_node);
}

static void link_group_flush(struct link_group *group)
{
	struct link *link;

	while ((link = LIST_FIRST(&group->to_flush))) {
		link_unschedule_flush(link);
		if (link->failed)
			continue;
		if (link->fd < 0)
			link_deliver_to_other(link);
		else
			link_write(link);
	}
	ev_timer_stop(group->loop, &group->flush_timer);
}

static void handle_flush(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	(void)loop;
	(void)events;
	link_group_flush(prepare->data);
}

static void handle_flush_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	link_group_flush(timer->data);
}

void link_group_init(struct link_group *group, struct ev_loop *loop)
{
	group->loop = loop;
	group->chunk = g_malloc(READ_CHUNK_BYTES);
	LIST_INIT(&group->to_flush);
	LIST_INIT(&group->all);
	group->next_to_read = NULL;
	ev_prepare_init(&group->flush_prepare, handle_flush);
	ev_timer_init(&group->flush_timer, handle_flush_timer, 0.0, 0.0);
	group->flush_prepare.data = group;
	group->flush_timer.data = group;
	ev_prepare_start(loop, &group->flush_prepare);
}

void link_group_finish(struct link_group *group)
{
	ev_prepare_stop(group->loop, &group->flush_prepare);
	ev_timer_stop(group->loop, &group->flush_timer);
	g_free(group->chunk);
}

void link_group_read_input(struct link_group *group)
{
	struct link *link = LIST_FIRST(&group->all);

	while (link) {
		group->next_to_read = LIST_NEXT(link, all_node);
		if (link->fd >= 0 && !link->failed && !link->dispatching)
			link_read(link, SIZE_MAX);
		link = group->next_to_read;
	}
}

static void handle_close_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct link *link = timer->data;

	(void)loop;
	(void)events;
	link->callbacks.handle_closed(link, link->error, link->callbacks.data);
}

static struct link *link_new(struct link_group *group, int fd,
			     const struct link_callbacks *callbacks)
{
	struct link *link = g_new0(struct link, 1);

	link->group = group;
	link->callbacks = *callbacks;
	link->fd = fd;
	link->in = g_byte_array_new();
	link->out = g_byte_array_new();
	ev_io_init(&link->reader, handle_readable, fd, EV_READ);
	ev_io_init(&link->writer, handle_writable, fd, EV_WRITE);
	ev_timer_init(&link->close_timer, handle_close_timer, 0.0, 0.0);
	link->reader.data = link;
	link->writer.data = link;
	link->close_timer.data = link;
	LIST_INSERT_HEAD(&group->all, link, all_node);
	return link;
}

struct link *link_create(struct link_group *group, int fd,
			 const struct link_callbacks *callbacks)
{
	struct link *link = link_new(group, fd, callbacks);

	if (fd >= 0)
		ev_io_start(group->loop, &link->reader);
	return link;
}

void link_create_pair(struct link_group *group, struct link *ends[2],
		      const struct link_callbacks *a,
		      const struct link_callbacks *b)
{
	ends[0] = link_new(group, -1, a);
	ends[1] = link_new(group, -1, b);
	ends[0]->other = ends[1];
	ends[1]->other = ends[0];
	link_set_trusted(ends[0]);
	link_set_trusted(ends[1]);
}

void link_destroy(struct link *link)
{
	if (!link || link->destroyed)
		return;
	ev_io_stop(link->group->loop, &link->reader);
	ev_io_stop(link->group->loop, &link->writer);
	ev_timer_stop(link->group->loop, &link->close_timer);
	link_unschedule_flush(link);
	if (link->group->next_to_read == link)
		link->group->next_to_read = LIST_NEXT(link, all_node);
	LIST_REMOVE(link, all_node);
	if (link->other) {
		link->other->other = NULL;
		link_fail(link->other, "closed by peer");
	}
	if (link->fd >= 0)
		close(link->fd);
	link->destroyed = true;
	if (!link->dispatching)
		link_free(link);
}

void link_set_trusted(struct link *link)
{
	link->trusted = true;
}

static void link_schedule_flush(struct link *link)
{
	if (link->flush_scheduled)
		return;
	link->flush_scheduled = true;
	LIST_INSERT_HEAD(&link->group->to_flush, link, flush_node);
	/* If the prepare watchers of this iteration have already run, the loop
	 * could block before it flushes the link. The due timer prevents
	 * this. */
	ev_timer_start(link->group->loop, &link->group->flush_timer);
}

uint64_t link_send(struct link *link, const Cfd__Frame *frame)
{
	uint64_t position = link->queued;
	size_t size = cfd__frame__get_packed_size(frame);
	uint32_t length = htonl((uint32_t)size);
	guint at = link->out->len;

	if (link->failed)
		return position;
	g_byte_array_set_size(link->out, at + LINK_LENGTH_BYTES + (guint)size);
	link->out_peak = MAX(link->out_peak, link->out->len);
	memcpy(link->out->data + at, &length, LINK_LENGTH_BYTES);
	cfd__frame__pack(frame, link->out->data + at + LINK_LENGTH_BYTES);
	link->queued += LINK_LENGTH_BYTES + size;
	counters.peer_frames_out++;
	link_schedule_flush(link);
	return position;
}

bool link_has_begun_sending(const struct link *link, uint64_t position)
{
	return link->handed_over > position;
}
