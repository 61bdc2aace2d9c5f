#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/peer/link.h"
#include "common/slice.h"
#include "paused_clock.h"

#define FRAMES 8
#define STEPS 40 /* of work on a frame or in a job, 1 ms each */
#define PART_MAX 60 /* bytes that arrive at once; a frame has ten or fewer */

/* One end of a socket pair is a link; the test writes to the other one. */
struct fixture {
	struct ev_loop *loop;
	struct link_group group;
	struct link *link;
	struct slice_queue *slice_queue;
	GString *handled; /* the numbers of the frames, in order */
	GByteArray *bytes; /* FRAMES frames */
	int far;
	bool is_handling;
	bool has_more; /* to be written while the first frame is handled */
};

static void work(void)
{
	for (int i = 0; i < STEPS; i++) {
		paused_clock_advance_us(1000);
		slice_yield();
	}
}

static void append_frame(GByteArray *bytes, uint64_t seq)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	uint8_t packed[64];
	uint32_t size;
	uint32_t length;

	cancel.seq = seq;
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	size = (uint32_t)cfd__frame__pack(&frame, packed);
	length = htonl(size);
	g_byte_array_append(bytes, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(bytes, packed, size);
}

static void write_half(struct fixture *f, bool is_second)
{
	size_t half = f->bytes->len / 2;
	size_t size = is_second ? f->bytes->len - half : half;

	g_assert_cmpint(
		write(f->far, f->bytes->data + (is_second ? half : 0), size),
		==, (gssize)size);
}

static void handle_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	struct fixture *f = data;

	(void)link;
	g_assert_false(f->is_handling);
	f->is_handling = true;
	g_string_append_printf(f->handled, "%d ", (int)frame->cancel->seq);
	if (f->has_more) {
		f->has_more = false;
		write_half(f, true);
	}
	work();
	f->is_handling = false;
}

static void handle_closed(struct link *link, const char *error, void *data)
{
	(void)link;
	(void)error;
	(void)data;
	g_assert_not_reached();
}

static void setup(struct fixture *f, gconstpointer unused)
{
	struct link_callbacks callbacks = {handle_frame, handle_closed, f};
	int ends[2];

	(void)unused;
	f->loop = ev_loop_new(0);
	f->handled = g_string_new(NULL);
	f->bytes = g_byte_array_new();
	for (uint64_t i = 1; i <= FRAMES; i++)
		append_frame(f->bytes, i);
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
			==, 0);
	f->far = ends[1];
	link_group_init(&f->group, f->loop);
	f->link = link_create(&f->group, ends[0], &callbacks);
	f->slice_queue = slice_queue_create(f->loop);
}

static void teardown(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	slice_queue_destroy(f->slice_queue);
	link_destroy(f->link);
	link_group_finish(&f->group);
	close(f->far);
	g_byte_array_unref(f->bytes);
	g_string_free(f->handled, TRUE);
	ev_loop_destroy(f->loop);
}

static void run_job(void *data)
{
	struct fixture *f = data;

	write_half(f, false);
	f->has_more = true;
	work();
}

static void free_nothing(void *data)
{
	(void)data;
}

/* Guards against frames that are handled twice, and a read beyond the buffer,
 * as more of them arrive while a job runs and a handler takes long. */
static void test_frames_during_a_job_are_handled_once(struct fixture *f,
						      gconstpointer unused)
{
	(void)unused;
	slice_queue_add(f->slice_queue, run_job, free_nothing, f);
	for (int i = 0; i < 4 * STEPS; i++) {
		paused_clock_advance_us(1000);
		ev_run(f->loop, EVRUN_NOWAIT);
	}
	g_assert_cmpstr(f->handled->str, ==, "1 2 3 4 5 6 7 8 ");
}

/* Reads the input of all links, as an owner does before it starts a request. */
static void read_input_within_handler(struct link *link, Cfd__Frame *frame,
				      void *data)
{
	struct fixture *f = data;

	(void)link;
	g_string_append_printf(f->handled, "%d ", (int)frame->cancel->seq);
	if (f->has_more) {
		f->has_more = false;
		write_half(f, true);
	}
	link_group_read_input(&f->group);
}

/* Guards against frames that are handled twice because the handler of a frame
 * reads the input of all links. */
static void test_frames_read_by_a_handler_are_handled_once(struct fixture *f,
							   gconstpointer unused)
{
	struct link_callbacks callbacks = {read_input_within_handler,
					   handle_closed, f};
	int ends[2];

	(void)unused;
	link_destroy(f->link);
	close(f->far);
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
			==, 0);
	f->far = ends[1];
	f->link = link_create(&f->group, ends[0], &callbacks);
	f->has_more = true;
	write_half(f, false);
	for (int i = 0; i < 10; i++)
		ev_run(f->loop, EVRUN_NOWAIT);
	g_assert_cmpstr(f->handled->str, ==, "1 2 3 4 5 6 7 8 ");
}

/* A link whose other end goes away in the middle of its bytes. */
struct cut {
	unsigned int handled;
	unsigned int closed;
};

static void note_cut_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	struct cut *cut = data;

	(void)link;
	g_assert_cmpuint(cut->closed, ==, 0);
	cut->handled++;
	g_assert_cmpuint(frame->cancel->seq, ==, cut->handled);
}

static void note_cut(struct link *link, const char *error, void *data)
{
	struct cut *cut = data;

	(void)link;
	(void)error;
	cut->closed++;
}

static unsigned int count_whole_frames(const GByteArray *bytes, guint size)
{
	unsigned int count = 0;
	uint32_t length;

	for (guint at = 0; at + sizeof(length) <= size; count++) {
		memcpy(&length, bytes->data + at, sizeof(length));
		at += (guint)sizeof(length) + ntohl(length);
		if (at > size)
			break;
	}
	return count;
}

static void play_cut(struct fixture *f, const GByteArray *bytes, guint size,
		     bool is_reset)
{
	struct cut cut = {0};
	struct link_callbacks callbacks = {note_cut_frame, note_cut, &cut};
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	struct link *link;
	int pair[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair),
			==, 0);
	link = link_create(&f->group, pair[0], &callbacks);
	link_set_trusted(link);
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	/* Unread bytes turn the close into a reset. */
	if (is_reset)
		link_send(link, &frame);
	paused_clock_advance_us(1000);
	ev_run(f->loop, EVRUN_NOWAIT);
	g_assert_cmpint(write(pair[1], bytes->data, size), ==, (gssize)size);
	close(pair[1]);
	for (int i = 0; i < 5; i++) {
		paused_clock_advance_us(1000);
		ev_run(f->loop, EVRUN_NOWAIT);
	}
	g_assert_cmpuint(cut.handled, ==, count_whole_frames(bytes, size));
	g_assert_cmpuint(cut.closed, ==, 1);
	link_destroy(link);
}

#define READ_BYTES (64 * 1024) /* a link reads at once */

/* Guards against a frame that is cut and handled as a whole one, against frames in
 * front of the cut that are dropped, and against any that come after the loss. */
static void test_cut_frames(struct fixture *f, gconstpointer is_reset)
{
	GByteArray *bytes = g_byte_array_new();

	for (guint size = 0; size <= f->bytes->len; size++)
		play_cut(f, f->bytes, size, is_reset);
	for (uint64_t seq = 1; bytes->len < READ_BYTES + PART_MAX; seq++)
		append_frame(bytes, seq);
	for (guint size = READ_BYTES - 1; size <= READ_BYTES + 1; size++)
		play_cut(f, bytes, size, is_reset);
	g_byte_array_unref(bytes);
}

/* Bytes arrive on several links while jobs and handlers work, in an order that
 * is drawn from a seed. */

#define SEEDS 100
#define LINKS 4
#define DRAWN_FRAMES 40 /* on each link */
#define DRAWN_JOBS 6
#define STEPS_MAX 20 /* of work in a job or a handler, 1 ms each */

struct end {
	struct link *link;
	int far; /* the test writes to it */
	GByteArray *bytes; /* all frames */
	guint written;
	uint64_t handled; /* number of the last frame */
	bool is_handling;
};

static struct ev_loop *loop;
static struct link_group group;
static struct slice_queue *slice_queue;
static struct end ends[LINKS];
static GRand *source;
static unsigned int jobs_done;

static guint draw_below(guint limit)
{
	return (guint)g_rand_int_range(source, 0, (gint)limit);
}

/* Something arrives on some of the links. */
static void write_some(void)
{
	for (int i = 0; i < LINKS; i++) {
		struct end *end = &ends[i];
		guint size = draw_below(PART_MAX);

		size = MIN(size, end->bytes->len - end->written);
		if (draw_below(2) || size == 0)
			continue;
		g_assert_cmpint(
			write(end->far, end->bytes->data + end->written, size),
			==, (gssize)size);
		end->written += size;
	}
}

static void work_drawn_time(void)
{
	for (guint i = draw_below(STEPS_MAX); i > 0; i--) {
		paused_clock_advance_us(1000);
		write_some();
		slice_yield();
	}
}

static void handle_drawn_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	struct end *end = data;

	(void)link;
	g_assert_false(end->is_handling);
	g_assert_cmpuint(frame->cancel->seq, ==, end->handled + 1);
	end->is_handling = true;
	if (draw_below(4) == 0)
		work_drawn_time();
	if (draw_below(4) == 0)
		link_group_read_input(&group);
	end->is_handling = false;
	end->handled = frame->cancel->seq;
}

static void end_init(struct end *end)
{
	struct link_callbacks callbacks = {handle_drawn_frame, handle_closed,
					   end};
	int pair[2];

	*end = (struct end){.bytes = g_byte_array_new()};
	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair),
			==, 0);
	end->far = pair[1];
	end->link = link_create(&group, pair[0], &callbacks);
	for (uint64_t seq = 1; seq <= DRAWN_FRAMES; seq++)
		append_frame(end->bytes, seq);
}

static void end_finish(struct end *end)
{
	link_destroy(end->link);
	close(end->far);
	g_byte_array_unref(end->bytes);
}

static void run_drawn_job(void *data)
{
	(void)data;
	work_drawn_time();
}

static void note_done(void *data)
{
	(void)data;
	jobs_done++;
}

static bool is_done(void)
{
	for (int i = 0; i < LINKS; i++) {
		if (ends[i].handled < DRAWN_FRAMES)
			return false;
	}
	return jobs_done == DRAWN_JOBS;
}

static void play(guint32 seed)
{
	source = g_rand_new_with_seed(seed);
	loop = ev_loop_new(0);
	link_group_init(&group, loop);
	slice_queue = slice_queue_create(loop);
	jobs_done = 0;
	for (int i = 0; i < LINKS; i++)
		end_init(&ends[i]);
	for (int i = 0; i < DRAWN_JOBS; i++)
		slice_queue_add(slice_queue, run_drawn_job, note_done, NULL);
	for (int i = 0; i < 10000 && !is_done(); i++) {
		paused_clock_advance_us(1000);
		write_some();
		ev_run(loop, EVRUN_NOWAIT);
	}
	if (!is_done())
		g_error("seed %u: frames or jobs are missing", seed);
	slice_queue_destroy(slice_queue);
	for (int i = 0; i < LINKS; i++)
		end_finish(&ends[i]);
	link_group_finish(&group);
	ev_loop_destroy(loop);
	g_rand_free(source);
}

/* Guards against a handler that is entered again, and frames that are handled
 * twice, late or never, whatever arrives while jobs and handlers work. */
static void test_drawn_schedules(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++)
		play(seed);
}

#define ADD(path, function) \
	g_test_add(path, struct fixture, NULL, setup, function, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/link/job", test_frames_during_a_job_are_handled_once);
	ADD("/link/read-input", test_frames_read_by_a_handler_are_handled_once);
	g_test_add("/link/cut/closed", struct fixture, NULL, setup,
		   test_cut_frames, teardown);
	g_test_add("/link/cut/reset", struct fixture, GINT_TO_POINTER(1), setup,
		   test_cut_frames, teardown);
	g_test_add_func("/link/drawn", test_drawn_schedules);
	return g_test_run();
}
