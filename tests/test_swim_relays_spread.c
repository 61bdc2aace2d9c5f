#include <glib.h>

#include "comfreydockd/member/swim_internal.h"
#include "swim_net.h"

/* How fast changes spread with relays, compared with the same changes without
 * them. */

#define MIN_HOSTS 8
#define CRASHING_KEY 7
#define EVACUATED_KEY 9
#define ROUNDS 3
#define DEATHS 8 /* at once, spread over the domains */
/* A change may take this much longer with relays than without. */
#define RELAY_DELAY_MAX_US SECOND

static void freeze_relays(int domain, bool is_frozen)
{
	for (int rank = 0; rank < SWIM_RELAYS_PER_DOMAIN; rank++)
		net.hosts[net_relay_of(domain, rank)].is_frozen = is_frozen;
}

enum change {
	DRAIN,
	DEATH,
	JOIN,
	HEAD,
	EVACUATION,
	QUARANTINE,
	CHANGES
};
static const char *const change_names[] = {"drain", "death",	  "join",
					   "head",  "evacuation", "quarantine"};

/* Bounds of the tests without relays: test_swim.c, test_swim_quarantine.c and
 * test_swim_evacuation.c. */
static const int64_t limits_us[] = {3 * SECOND, 40 * SECOND, 10 * SECOND,
				    3 * SECOND, 2 * SECOND,  4 * SECOND};

static void announce(int i, enum member_service_state state)
{
	char *groups[] = {"lookup-desk", NULL};

	g_assert_true(swim_announce(net.hosts[i].swim, state, groups, 9, 500,
				    net.now_us));
}

static void prepare(enum change change, int subject)
{
	if (change == DRAIN)
		announce(subject, MEMBER_SERVICE_UP);
	if (change == JOIN) {
		swim_leave(net.hosts[subject].swim, net.now_us);
		net_run(2 * SECOND);
		host_kill(subject);
	}
	net_run(3 * SECOND);
}

static void note_crashes(int subject, int round)
{
	for (int domain = 0; domain < QUARANTINE_CRASHES; domain++) {
		int i = domain == net.hosts[subject].domain ?
				subject :
				net_plain_host(domain, round);

		quarantine_note_crash(
			net.hosts[i].quarantine, CRASHING_KEY + (uint64_t)round,
			quarantine_crash_id(member_host_hash(net.hosts[i].name),
					    (uint64_t)round),
			net.now_us);
	}
}

static void evacuate(struct host *host, uint64_t as_of, uint64_t key)
{
	struct evacuation_change change = {as_of, key, true};

	evacuation_apply(&host->evacuation, as_of, &change, 1, net.now_us);
}

static void make_change(enum change change, int subject, int round)
{
	struct host *host = &net.hosts[subject];

	if (change == DRAIN) {
		announce(subject, MEMBER_SERVICE_DRAINING);
	} else if (change == JOIN) {
		host_start(subject);
	} else if (change == HEAD) {
		host->known_config_head = 42 + (uint64_t)round;
		swim_set_config_head(host->swim, host->known_config_head);
	} else if (change == EVACUATION) {
		evacuate(host, 5 + (uint64_t)round,
			 EVACUATED_KEY + (uint64_t)round);
	} else {
		note_crashes(subject, round);
	}
}

static bool knows(const struct host *host, enum change change, int subject,
		  int round)
{
	const struct member *member =
		member_table_find(host->table, net.hosts[subject].name);

	switch (change) {
	case DRAIN:
		return member->service_state == MEMBER_SERVICE_DRAINING;
	case DEATH:
		return member->state == MEMBER_DEAD;
	case JOIN:
		return member && member->state == MEMBER_ALIVE;
	case HEAD:
		return host->known_config_head >= 42 + (uint64_t)round;
	case EVACUATION:
		return evacuation_has(&host->evacuation,
				      EVACUATED_KEY + (uint64_t)round);
	default:
		return quarantine_held_count(host->quarantine) ==
		       (unsigned int)round + 1;
	}
}

static bool all_know(enum change change, int subject, int round)
{
	for (int i = 0; i < net.count; i++) {
		const struct host *host = &net.hosts[i];

		if (host->swim && !host->is_frozen &&
		    !knows(host, change, subject, round))
			return false;
	}
	return true;
}

enum fault {
	NO_FAULT,
	LOSS,
	CUT,
	HANGING_RELAYS
};

/* The change is made in domain 0. Its relays hang, or those of another domain. */
static void set_fault(enum fault fault, int round, bool is_on)
{
	if (fault == LOSS)
		net.loss_percent = is_on ? 5 : 0;
	if (fault == CUT)
		net_set_cut(0, 1, is_on);
	if (fault == HANGING_RELAYS)
		freeze_relays(round % 2, is_on);
}

/* RETURN VALUE: the average time until all hosts know of each of the deaths. Those
 * of single hosts differ by seconds, as they depend on who probes whom when. */
static int64_t measure_deaths(int round)
{
	int subjects[DEATHS];
	bool is_known[DEATHS] = {false};
	int64_t began_us = net.now_us;
	int64_t sum_us = 0;
	int left = DEATHS;

	for (int i = 0; i < DEATHS; i++) {
		subjects[i] = net_plain_host(i % net.domains, round * DEATHS + i);
		host_kill(subjects[i]);
	}
	while (left > 0) {
		net_step();
		g_assert_cmpint(net.now_us - began_us, <, 40 * SECOND);
		for (int i = 0; i < DEATHS; i++) {
			if (is_known[i] || !all_know(DEATH, subjects[i], round))
				continue;
			is_known[i] = true;
			sum_us += net.now_us - began_us;
			left--;
		}
	}
	for (int i = 0; i < DEATHS; i++)
		host_start(subjects[i]);
	return sum_us / DEATHS;
}

static int64_t measure_change(enum change change, int subject, int round)
{
	int64_t began_us = net.now_us;

	make_change(change, subject, round);
	while (!all_know(change, subject, round)) {
		net_step();
		g_assert_cmpint(net.now_us - began_us, <, 40 * SECOND);
	}
	return net.now_us - began_us;
}

/* RETURN VALUE: the time until all hosts know the change. The fault begins at the
 * same moment. */
static int64_t measure(enum change change, enum fault fault, int round)
{
	int subject = net_plain_host(0, round * CHANGES + (int)change);
	int64_t took_us;

	prepare(change, subject);
	set_fault(fault, round, true);
	took_us = change == DEATH ? measure_deaths(round) :
				    measure_change(change, subject, round);
	set_fault(fault, round, false);
	net_settle(60 * SECOND);
	return took_us;
}

/* Sums of the times over all rounds. */
static void measure_all(int domains, int hosts, uint32_t min_hosts,
			enum fault fault, int64_t sums_us[CHANGES])
{
	net_start_domains(domains, hosts, min_hosts);
	net_settle(20 * SECOND);
	net_run(10 * SECOND);
	for (int round = 0; round < ROUNDS; round++) {
		for (enum change change = 0; change < CHANGES; change++)
			sums_us[change] += measure(change, fault, round);
	}
	net_stop();
}

static void expect_no_later_than_without(int domains, int hosts, enum fault fault)
{
	int64_t without_us[CHANGES] = {0};
	int64_t with_us[CHANGES] = {0};

	measure_all(domains, hosts, 0, fault, without_us);
	measure_all(domains, hosts, MIN_HOSTS, fault, with_us);
	for (enum change i = 0; i < CHANGES; i++)
		g_test_message("%s: %.2f s without relays, %.2f s with them",
			       change_names[i],
			       (double)without_us[i] / ROUNDS / SECOND,
			       (double)with_us[i] / ROUNDS / SECOND);
	for (enum change i = 0; i < CHANGES; i++) {
		g_assert_cmpint(with_us[i], <=,
				without_us[i] + ROUNDS * RELAY_DELAY_MAX_US);
		g_assert_cmpint(with_us[i], <=, ROUNDS * limits_us[i]);
	}
}

/* Guards against changes that reach other domains late as only two hosts of each
 * domain carry them. */
static void test_changes_spread(void)
{
	expect_no_later_than_without(3, 29, NO_FAULT);
}

/* Guards against changes that wait for the comparison of digests if the packet
 * that carries them to another domain is lost. */
static void test_changes_spread_despite_loss(void)
{
	expect_no_later_than_without(3, 29, LOSS);
}

/* Guards against changes that don't pass between two domains that can't reach
 * each other, although a third one reaches both. */
static void test_changes_spread_around_cut(void)
{
	expect_no_later_than_without(4, 24, CUT);
}

/* Guards against changes that wait until hanging relays, of the domain of the
 * change or of another one, are suspected or dead. */
static void test_changes_spread_despite_hanging_relays(void)
{
	expect_no_later_than_without(3, 30, HANGING_RELAYS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/swim-relays-spread/no-fault", test_changes_spread);
	g_test_add_func("/swim-relays-spread/loss",
			test_changes_spread_despite_loss);
	g_test_add_func("/swim-relays-spread/cut",
			test_changes_spread_around_cut);
	g_test_add_func("/swim-relays-spread/hanging",
			test_changes_spread_despite_hanging_relays);
	return g_test_run();
}
