/* Proves that a change of the sources keeps the nodes' behaviour: runs a fixed list of simulated
 * days (tests/simulation/sim.h) and prints, for each, a hash over all that the nodes sent and a
 * hash over what the state service holds at the end. Two builds that print the same behave the same
 * on these days. See README.md here; `compare` builds and runs two commits.
 *
 * Output, one line for each run: scenario, seed, number of messages, hash of the messages, hash of
 * the store. With --dump the messages themselves, and then the store. */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include "base/log.h"
#include "protocol/user_codec.h"
#include "simulation/sim.h"

#define DAY_S 150.0                  /* troubles last for so long */
#define REST_S 100.0                 /* and then the work comes to its end */
#define JSON_HASH_SEED 20240229      /* jansson takes a random one otherwise */
#define WALL_CLOCK_BEGINS 1700000000 /* of the simulated world, seconds since 1970 */
#define PLANTED_CHANGE "RP_BEHAVIOUR_PLANTED_CHANGE"
#define PLANTED_ROUND_PERIOD_S 2.5 /* the simulated nodes' period is 2 s */
#define NO_CPU_LIMIT 1e6
#define HEURISTICS 4 /* in a setting of full_fleet_day */
#define RESULT_MAX 256
#define JOBS_MAX 256

/* One kind of day; run for the seeds first_seed to first_seed + seeds - 1. */
struct scenario {
    const char *name;
    unsigned long first_seed, seeds;
    int nodes;
    const struct sim_size *size; /* NULL: the small world of sim_new */
    struct sim_faults faults;
    bool standby;
    /* Submits work and lets the world go on for the whole day. */
    void (*day)(struct sim *world, unsigned long seed);
};

/* What is known of the run so far. */
static struct {
    const struct sim *world; /* NULL while it is being made */
    XXH3_state_t *messages;
    unsigned long n_messages;
    bool dump;
} g_run;

/* The wall clock of the simulated world, in place of the C library's: records carry such times. The
 * simulated nodes ask for no other clock. */
int clock_gettime(clockid_t clock, struct timespec *out) {
    double now = g_run.world ? g_run.world->now : 0;
    (void)clock;
    out->tv_sec = WALL_CLOCK_BEGINS + (time_t)now;
    out->tv_nsec = (long)((now - (double)(time_t)now) * 1e9);
    return 0;
}

/* ---- messages and the store ---- */

/* Prints a body so that it takes one line. */
static void print_body(const char *body) {
    for (const unsigned char *at = (const unsigned char *)body; *at; at++)
        if (*at < ' ')
            printf("\\x%02x", *at);
        else
            putchar(*at);
    putchar('\n');
}

/* The observer of the simulated world: hashes a message, and prints it if asked to. */
static void take_message(const struct sim_message *message) {
    char head[1024];
    int length = snprintf(head, sizeof head, "%.6f n%d %s %s %s %d %d %zu ", message->time,
                          message->from, message->to, *message->method ? message->method : "-",
                          *message->target ? message->target : "-", message->status,
                          message->retry_after, strlen(message->body));
    if (length < 0 || (size_t)length >= sizeof head)
        abort(); /* a part of the message would be left out */
    XXH3_128bits_update(g_run.messages, head, (size_t)length);
    XXH3_128bits_update(g_run.messages, message->body, strlen(message->body));
    g_run.n_messages++;
    if (g_run.dump) {
        fputs(head, stdout);
        print_body(message->body);
    }
}

static int by_key(const void *a, const void *b) {
    const struct sim_key *x = a, *y = b;
    return strcmp(x->key, y->key);
}

/* Hashes the records that the state service holds, in the order of their keys. */
static XXH128_hash_t hash_store(struct sim *world) {
    XXH3_state_t *state = XXH3_createState();
    XXH3_128bits_reset(state);
    qsort(world->keys, (size_t)world->n_keys, sizeof world->keys[0], by_key);
    for (int i = 0; i < world->n_keys; i++) {
        const struct sim_key *key = &world->keys[i];
        char *value = json_dumps(key->value, JSON_COMPACT | JSON_ENCODE_ANY);
        char version[64];
        if (!value)
            abort();
        snprintf(version, sizeof version, " %llu %llu ", (unsigned long long)key->revision,
                 (unsigned long long)key->lease);
        XXH3_128bits_update(state, key->key, strlen(key->key));
        XXH3_128bits_update(state, version, strlen(version));
        XXH3_128bits_update(state, value, strlen(value) + 1);
        if (g_run.dump) {
            printf("store %s%s", key->key, version);
            print_body(value);
        }
        free(value);
    }
    XXH128_hash_t hash = XXH3_128bits_digest(state);
    XXH3_freeState(state);
    return hash;
}

/* ---- work ---- */

/* Some work of every kind but services. */
static void submit_work(struct sim *world, unsigned long seed) {
    sim_submit(world, 1, "sweep", 20, 1, 8, 0);
    sim_submit(world, 2, "sweep", 40, 1, 15, 0);
    sim_submit(world, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(world, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(world, 15, "sweep", 2, 1, 200, 40); /* ends by its cancellation only */
    sim_submit(world, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(world, 30, "sweep", 1, 1, 3, 0);
    sim_submit(world, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(world, 60, "sweep", 40, 1, 6, 0);
    sim_submit(world, 80, "sweep", 12, 3, 20, 0);
}

static void submit_services(struct sim *world, double from) {
    sim_submit(world, from + 1, "service", 3, 1, 0, from + 150);
    sim_submit(world, from + 2, "service", 6, 1, 0, from + 100);
    sim_submit(world, from + 5, "service", 2, 2, 0, from + 140);
    sim_submit(world, from + 40, "service", 4, 1, 0, from + 145);
}

/* Many short jobs, so that something is about to be written at every moment. */
static void submit_stream(struct sim *world) {
    for (int i = 0; i < 60; i++)
        sim_submit(world, 10 + i, "sweep", 3, 1, 2, i % 5 == 4 ? 12 + i : 0);
}

static void lift_team_limit(struct sim *world) {
    for (int i = 0; i < world->n_nodes; i++)
        world->settings[i].teams[0].cpus_max = NO_CPU_LIMIT;
}

/* Lets the faults last for the rest of the day, ends them, and lets the work come to its end. */
static void run_day(struct sim *world) {
    if (world->now < DAY_S)
        sim_run(world, DAY_S - world->now);
    sim_end_faults(world);
    sim_run(world, REST_S);
}

/* Lets the world go on until some node leads, and returns it; any node after a minute. */
static int wait_for_leader(struct sim *world) {
    for (int i = 0; i < 600 && sim_leader(world) < 0; i++)
        sim_run(world, 0.1);
    return sim_leader(world) < 0 ? 0 : sim_leader(world);
}

/* ---- days ---- */

static void work_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    run_day(world);
}

/* Users ask often, and at all nodes after each change. */
static void curious_day(struct sim *world, unsigned long seed) {
    world->has_eager_users = world->has_concurrent_reads = true;
    work_day(world, seed);
}

static void service_day(struct sim *world, unsigned long seed) {
    lift_team_limit(world);
    submit_work(world, seed);
    for (int i = 0; i < 10; i++)
        sim_submit(world, 1 + 3 * i, "sweep", 40, 2, 20, 0);
    submit_services(world, 20);
    run_day(world);
}

/* Two teams beyond their limits, then one of them takes up its guarantee. */
static void team_day(struct sim *world, unsigned long seed) {
    for (int i = 0; i < world->n_nodes; i++) {
        world->settings[i].teams[0].cpus_max = seed % 2 ? NO_CPU_LIMIT : 60;
        world->settings[i].teams[1].cpus = 24;
        world->settings[i].teams[1].cpus_max = seed % 3 ? 0 : 40;
    }
    for (int i = 0; i < 10; i++)
        sim_submit(world, 1, "sweep", 40, 2, 20 + (double)(seed % 5), 0);
    for (int i = 0; i < 4; i++) {
        int job = sim_submit(world, 30 + 10 * i, i == 3 ? "ensemble:low" : "sweep", 12, 1, 15, 0);
        sim_set_field(world, job, "crew", json_string("guests"));
        sim_set_field(world, job, "precedence", json_string(i % 2 ? "low" : "urgent"));
    }
    run_day(world);
}

/* The leader is refused by the state service alone, then an outage comes, and users cancel. */
static void refused_leader_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    for (int i = 0; i < 5; i++)
        sim_submit(world, 1, "sweep", 12, 1, 90, 0);
    sim_run(world, 45);
    world->nodes[wait_for_leader(world)].store_refusal_until =
        world->now + 4 + (double)(seed % 3) * 8;
    sim_cancel_running(world, 4, seed % 2 ? 20 : 0);
    sim_run(world, 2);
    world->store_outage_until = world->now + 15;
    run_day(world);
}

/* Jobs are cancelled just as the leader's process ends, or its leadership is given up. */
static void cancelled_at_takeover_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    submit_stream(world);
    sim_run(world, 38 + (double)(seed % 7));
    for (int i = 0; i < 10; i++)
        world->jobs[i].cancel_at = world->now - 0.5 + 0.5 * i;
    int leader = wait_for_leader(world);
    if (seed % 3 == 2)
        rp_election_resign(&world->nodes[leader].node->election, 5);
    else
        sim_crash(world, leader, seed % 3 ? 3 : 0.2);
    run_day(world);
}

/* The leader stands still for a short and a long while, and then loses state service and nodes. */
static void silent_leader_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    submit_stream(world);
    sim_run(world, 30 + 0.07 * (double)(seed % 11));
    world->nodes[wait_for_leader(world)].paused_until = world->now + 1.5;
    sim_run(world, 15);
    world->nodes[wait_for_leader(world)].paused_until = world->now + 20;
    sim_run(world, 30);
    world->nodes[wait_for_leader(world)].partitioned_until = world->now + 25;
    run_day(world);
}

/* A zone is cut off with a node in it, later a node that no report reaches; some reports wait. */
static void cut_zone_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    sim_run(world, 30);
    world->partitioned_zone = 1 + (int)(seed % 2);
    world->node_in_partition = 1 + wait_for_leader(world);
    sim_run(world, 25);
    world->partitioned_zone = world->node_in_partition = 0;
    world->node_without_heartbeats = 1 + wait_for_leader(world);
    sim_run(world, 15);
    world->node_without_heartbeats = 0;
    world->cloud_outage_until = world->now + 30;
    run_day(world);
}

/* Hundreds of users ask about running jobs, more than the state service's budget lets through. */
static void many_questions_day(struct sim *world, unsigned long seed) {
    for (int i = 0; i < 100; i++)
        sim_submit(world, 1 + i * 0.2, "sweep", 2, 1, 40 + (double)(seed % 5), 0);
    sim_run(world, 30);
    world->has_eager_users = true;
    sim_run(world, 15);
    sim_crash(world, wait_for_leader(world), 2);
    sim_run(world, 30);
    sim_end_faults(world);
    sim_run(world, 40);
}

/* Descriptions too long for one value of the lowered limits, stored in parts, and a takeover. */
static void long_records_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    sim_run(world, 8);
    sim_lower_limits(world);
    for (int i = 0; i < 3; i++)
        sim_submit_long(world, 9 + 4 * i, 30, 10);
    sim_run(world, 5 + (double)(seed % 5));
    sim_crash(world, wait_for_leader(world), 2);
    run_day(world);
}

/* Objectives for both classes of submit_work's jobs, and orders that the defaults leave out. */
static void set_planning(struct rp_settings *settings, unsigned long seed) {
    static const char *const names[][HEURISTICS] = {{"FCFS-RND", "RR-LM", "ESW-SM", "EDF-CP"},
                                                    {"LJF-LA", "SJF-EA", "ESW-LD", "SRW-BF"},
                                                    {"LTJF-ED", "STJF-LAA", "ESW-EAA", "EDF-CP"},
                                                    {"SRW-CFH", "FCFS-FFH", "ESW-BF", "RR-SM"}};
    static const struct rp_objective objectives[] = {
        {.kind = RP_OBJECTIVE_FINISHED, .class_name = "a", .within_s = 90, .share = 0.9},
        {.kind = RP_OBJECTIVE_DEADLINE, .class_name = "a", .times = 1, .share = 0.9},
        {.kind = RP_OBJECTIVE_WAIT, .class_name = "g", .within_s = 30, .share = 0.9}};
    settings->objectives = malloc(sizeof objectives);
    if (!settings->objectives)
        abort();
    memcpy(settings->objectives, objectives, sizeof objectives);
    settings->n_objectives = sizeof objectives / sizeof objectives[0];
    settings->tuning.n_heuristics = HEURISTICS;
    for (size_t i = 0; i < HEURISTICS; i++)
        snprintf(settings->tuning.heuristics[i], sizeof settings->tuning.heuristics[i], "%s",
                 names[seed % (sizeof names / sizeof names[0])][i]);
}

/* More work than room, and gangs of whole machines, some with a time by which they are due. */
static void full_fleet_day(struct sim *world, unsigned long seed) {
    lift_team_limit(world);
    for (int i = 0; i < world->n_nodes; i++)
        set_planning(&world->settings[i], seed);
    for (int i = 0; i < 40; i++) {
        int job = sim_submit(world, 1 + 2 * i, "sweep", 40, 2, 20 + 5 * (i % 5), 0);
        if (i % 4 == 0)
            sim_set_field(world, job, "due_s", json_real(60 + 10 * i));
    }
    for (int i = 0; i < 3; i++) {
        sim_submit(world, 40 + 3 * i, "ensemble", 4, 24, 20, 0);
        sim_submit(world, 45 + 3 * i, "ensemble:low", 6, 24, 20, 0);
        sim_submit(world, 50 + 3 * i, "ensemble:low", 1, 24, 20, 0);
    }
    submit_services(world, 60);
    run_day(world);
}

/* Some machines and some jobs are bad: what runs there, or of them, fails. */
static void bad_work_day(struct sim *world, unsigned long seed) {
    submit_work(world, seed);
    world->jobs[seed % 5].fails_always = true;
    sim_run(world, 25);
    for (int i = 0; i < world->size.workers; i += 4)
        world->workers[i].fails_tasks = true;
    run_day(world);
}

/* Nodes of the version before are replaced one after the other; then the limits come down. */
static void roll_day(struct sim *world, unsigned long seed) {
    sim_start_as_old_version(world);
    submit_work(world, seed);
    sim_run(world, 25 + (double)(seed % 7));
    for (int i = 0; i < world->n_nodes; i++) {
        int node = (i + (int)(seed % 5)) % world->n_nodes;
        sim_upgrade(world, node, 0.2 + (double)(seed % 4));
        sim_run(world, 4 + (double)(seed % 6));
    }
    sim_run(world, 4);
    sim_lower_limits(world);
    submit_services(world, world->now);
    for (int i = 0; i < 4; i++)
        sim_submit(world, world->now + 10 * i, "sweep", 40, 1, 14, 0);
    sim_run(world, DAY_S);
    run_day(world);
}

/* Long records are written within the old limits; one node keeps the way back open to the end. */
static void held_roll_day(struct sim *world, unsigned long seed) {
    sim_start_as_old_version(world);
    submit_work(world, seed);
    sim_submit_long(world, 5, 30, 10);
    sim_run(world, 20);
    for (int i = 0; i + 1 < world->n_nodes; i++) {
        sim_upgrade(world, i, 1);
        sim_run(world, 8);
    }
    sim_submit(world, world->now, "service", 2, 1, 0, world->now + 60);
    run_day(world);
}

/* About 500 machines full of work; the leader's process ends, and another one stands still. */
static void large_fleet_day(struct sim *world, unsigned long seed) {
    lift_team_limit(world);
    for (int i = 0; i < 50; i++)
        sim_submit(world, 1 + i * 0.05, "sweep", 40, 8, 15 + (double)(seed % 4), 0);
    for (int i = 0; i < 6; i++)
        sim_submit(world, 40 + i, "ensemble", 8, 8, 10, 0);
    sim_submit(world, 30, "service", 12, 2, 0, 70);
    sim_run(world, 40);
    sim_crash(world, wait_for_leader(world), 5);
    sim_run(world, 20);
    world->nodes[wait_for_leader(world)].paused_until = world->now + 12;
    sim_run(world, 30);
    sim_end_faults(world);
    sim_run(world, 15);
}

/* ---- scenarios ---- */

/* 500 machines and some: of two types in two zones, ordinary and spot. */
static const struct sim_size large_fleet = {560, 64, 4, 22, 47, 800, 80, 10};
/* Longer leases and more room at the state service, as the operators have them. */
static const struct sim_size wide = {64, 6, 4, 22, 47, 800, 80, 10};

#define EVERYTHING                                                                                 \
    {                                                                                              \
        .drop = 0.01, .delay = 0.01, .duplicate = 0.03, .crash_s = 25, .store_outage_s = 80,       \
        .store_refusal_s = 60, .pause_s = 25, .machine_crash_s = 40, .node_pause_s = 30,           \
        .task_error = 0.01                                                                         \
    }
#define EVERYTHING_AND_MORE                                                                        \
    {                                                                                              \
        .drop = 0.01, .delay = 0.01, .duplicate = 0.03, .late_duplicate = 0.03, .crash_s = 30,     \
        .store_outage_s = 90, .store_refusal_s = 60, .partitioned_node_s = 50,                     \
        .one_way_partition_s = 40, .fast_restart_s = 20, .unreachable_s = 60,                      \
        .peer_partition_s = 90, .invalid_request_s = 20, .pause_s = 30, .machine_crash_s = 50,     \
        .node_pause_s = 40, .spot_notice_s = 30, .replica_exit_s = 20, .task_error = 0.01          \
    }
#define MEETINGS                                                                                   \
    {                                                                                              \
        .duplicate = 0.02, .crash_s = 40, .slow_store = 0.05, .delayed_write = 0.02,               \
        .dropped_answer = 0.02, .held_duplicate = 0.05, .unreachable_s = 40,                       \
        .peer_partition_s = 50                                                                     \
    }
#define BOOTS                                                                                      \
    { .boot_failure = 0.15, .fast_boot = 0.3, .spot_notice_s = 20, .machine_crash_s = 30 }
#define ROLL                                                                                       \
    {                                                                                              \
        .drop = 0.005, .delay = 0.005, .duplicate = 0.03, .late_duplicate = 0.02, .crash_s = 20,   \
        .fast_restart_s = 25, .store_outage_s = 90, .pause_s = 40, .machine_crash_s = 60,          \
        .node_pause_s = 60, .replica_exit_s = 30                                                   \
    }

/* The longest ones come first, so that none is left over at the end. */
static const struct scenario scenarios[] = {
    {"large_fleet", 1, 2, 5, &large_fleet, {0}, false, large_fleet_day},
    {"large_fleet_with_standby", 3, 1, 5, &large_fleet, {0}, true, large_fleet_day},
    {"large_fleet_in_trouble", 4, 1, 5, &large_fleet, EVERYTHING, false, large_fleet_day},
    {"everything", 500, 8, 3, NULL, EVERYTHING, false, work_day},
    {"everything_on_five", 700, 6, 5, NULL, EVERYTHING_AND_MORE, false, work_day},
    {"everything_with_standby", 720, 6, 5, NULL, EVERYTHING_AND_MORE, true, work_day},
    {"services_in_everything", 1100, 6, 5, NULL, EVERYTHING_AND_MORE, false, service_day},
    {"services_with_standby", 1120, 4, 3, NULL, EVERYTHING, true, service_day},
    {"roll_in_trouble", 1200, 6, 3, NULL, ROLL, false, roll_day},
    {"roll_on_five", 1220, 3, 5, NULL, ROLL, false, roll_day},
    {"roll_with_standby", 1230, 3, 3, NULL, ROLL, true, roll_day},
    {"quiet_roll", 1240, 2, 5, NULL, {0}, false, roll_day},
    {"held_roll", 1250, 2, 3, NULL, {0}, false, held_roll_day},
    {"quiet", 1, 4, 3, NULL, {0}, false, work_day},
    {"quiet_with_standby", 5, 2, 3, NULL, {0}, true, work_day},
    {"bad_network", 100, 3, 3, NULL, {0.02, 0.02, 0.05}, false, work_day},
    {"crashes", 200, 3, 3, NULL, {.crash_s = 12, .duplicate = 0.02}, false, work_day},
    {"state_troubles",
     300,
     3,
     3,
     NULL,
     {.store_outage_s = 40, .store_refusal_s = 25, .delay = 0.01},
     false,
     work_day},
    {"machine_troubles",
     400,
     3,
     3,
     NULL,
     {.pause_s = 15, .machine_crash_s = 20, .spot_notice_s = 10, .task_error = 0.02},
     false,
     work_day},
    {"boots", 420, 3, 3, NULL, BOOTS, false, work_day},
    {"many_questions", 1300, 2, 3, NULL, {0}, false, many_questions_day},
    {"long_records", 1310, 3, 3, NULL, {0}, false, long_records_day},
    {"long_records_with_standby", 1320, 2, 3, NULL, {0}, true, long_records_day},
    {"full_fleet", 1400, 8, 3, NULL, {0}, false, full_fleet_day},
    {"full_fleet_in_trouble", 1410, 4, 3, NULL, EVERYTHING, false, full_fleet_day},
    {"bad_work", 440, 3, 3, NULL, {0}, false, bad_work_day},
    {"curious_users",
     460,
     3,
     3,
     &wide,
     {.invalid_request_s = 3, .crash_s = 60},
     false,
     curious_day},
    {"lonely_and_back_at_once",
     660,
     3,
     5,
     NULL,
     {.partitioned_node_s = 20,
      .fast_restart_s = 6,
      .duplicate = 0.1,
      .delay = 0.03,
      .late_duplicate = 0.05},
     false,
     work_day},
    {"meetings", 800, 4, 3, NULL, MEETINGS, false, work_day},
    {"meetings_with_standby", 810, 4, 3, NULL, MEETINGS, true, work_day},
    {"refused_leader", 820, 3, 3, &wide, {0}, false, refused_leader_day},
    {"cancelled_at_takeover", 830, 3, 3, NULL, {0}, false, cancelled_at_takeover_day},
    {"cancelled_at_standby_takeover", 840, 3, 3, NULL, {0}, true, cancelled_at_takeover_day},
    {"silent_leader", 850, 2, 3, NULL, {0}, false, silent_leader_day},
    {"silent_leader_with_standby", 860, 3, 5, NULL, {0}, true, silent_leader_day},
    {"cut_zone", 870, 2, 3, NULL, {0}, false, cut_zone_day},
    {"services", 1000, 4, 3, NULL, {.replica_exit_s = 15}, false, service_day},
    {"teams", 900, 6, 3, NULL, {0}, false, team_day},
    {"teams_in_trouble", 910, 3, 3, NULL, EVERYTHING, false, team_day},
};
#define N_SCENARIOS (sizeof scenarios / sizeof scenarios[0])

/* ---- runs ---- */

/* Shows that the hashes see a change of behaviour: the nodes plan less often. */
static void plant_change(struct sim *world) {
    for (int i = 0; i < world->n_nodes; i++)
        world->settings[i].tuning.round_period_s = PLANTED_ROUND_PERIOD_S;
}

/* An answer that is taken from a node without a way through the network. */
static void take_answer(struct rp_request *request, int status, const char *body, int retry_after) {
    take_message(&(struct sim_message){.time = g_run.world->now,
                                       .to = "operator",
                                       .method = request->method,
                                       .target = request->target,
                                       .status = status,
                                       .retry_after = retry_after,
                                       .body = body});
}

/* Asks every node what operators and the load balancer ask; all of it is answered at once. */
static void ask_nodes(struct sim *world) {
    for (int i = 0; i < world->n_nodes; i++) {
        struct rp_node *node = world->nodes[i].node;
        struct rp_request request = {.method = "GET", .body = "", .respond = take_answer};
        if (!world->nodes[i].alive)
            continue;
        request.target = "/status";
        rp_node_peer_request(node, &request);
        request.target = "/no-such-path";
        rp_node_peer_request(node, &request);
        request.target = RP_PATH_HEALTH;
        rp_node_client_request(node, &request);
    }
}

/* Runs one day and writes its result line; with --dump only the messages are printed. */
static void run_one(const struct scenario *scenario, unsigned long seed, char line[RESULT_MAX]) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    g_run.messages = XXH3_createState();
    XXH3_128bits_reset(g_run.messages);
    sim_standby = scenario->standby;
    sim_observer = take_message;
    struct sim *world = sim_new_sized(seed, &scenario->faults, SIM_SOUND, scenario->nodes,
                                      scenario->size ? scenario->size : &small);
    g_run.world = world;
    if (getenv(PLANTED_CHANGE))
        plant_change(world);
    scenario->day(world, seed);
    ask_nodes(world);
    if (world->violation[0])
        fprintf(stderr, "%s %lu: a rule broke: %s\n", scenario->name, seed, world->violation);
    XXH128_hash_t messages = XXH3_128bits_digest(g_run.messages), store = hash_store(world);
    snprintf(line, RESULT_MAX, "%s %lu %lu %016llx%016llx %016llx%016llx\n", scenario->name, seed,
             g_run.n_messages, (unsigned long long)messages.high64,
             (unsigned long long)messages.low64, (unsigned long long)store.high64,
             (unsigned long long)store.low64);
    sim_observer = NULL;
    sim_free(world);
    g_run.world = NULL;
    XXH3_freeState(g_run.messages);
}

/* A run in a process of its own. */
struct run {
    const struct scenario *scenario;
    unsigned long seed;
    pid_t process; /* 0: not begun, or over */
    int output;
    char line[RESULT_MAX];
};

static void start_run(struct run *run) {
    int ends[2];
    if (pipe(ends) != 0 || (run->process = fork()) < 0) {
        perror("behaviour_digest");
        exit(EXIT_FAILURE);
    }
    if (run->process == 0) {
        run_one(run->scenario, run->seed, run->line);
        size_t length = strlen(run->line);
        _exit(write(ends[1], run->line, length) == (ssize_t)length ? EXIT_SUCCESS : EXIT_FAILURE);
    }
    close(ends[1]);
    run->output = ends[0];
}

/* Waits for some process to end and reads its line. Returns false when it failed. */
static bool finish_run(struct run *runs, size_t n_runs) {
    int status = 0;
    pid_t process = wait(&status);
    for (size_t i = 0; i < n_runs; i++) {
        struct run *run = &runs[i];
        if (process <= 0 || run->process != process)
            continue;
        ssize_t length = read(run->output, run->line, sizeof run->line - 1);
        run->line[length > 0 ? length : 0] = '\0';
        close(run->output);
        run->process = 0;
        if (WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS && length > 0)
            return true;
        snprintf(run->line, sizeof run->line, "%s %lu failed\n", run->scenario->name, run->seed);
        return false;
    }
    return false;
}

/* Every run there is, in the order of the table. */
static size_t list_runs(struct run **out) {
    size_t n = 0, count = 0;
    for (size_t i = 0; i < N_SCENARIOS; i++)
        count += scenarios[i].seeds;
    struct run *runs = calloc(count, sizeof *runs);
    if (!runs)
        abort();
    for (size_t i = 0; i < N_SCENARIOS; i++)
        for (unsigned long k = 0; k < scenarios[i].seeds; k++)
            runs[n++] =
                (struct run){.scenario = &scenarios[i], .seed = scenarios[i].first_seed + k};
    *out = runs;
    return n;
}

/* Runs everything, `jobs` processes at a time. Returns the exit code. */
static int run_all(long jobs) {
    struct run *runs;
    size_t n_runs = list_runs(&runs), begun = 0, over = 0;
    bool ok = true;
    while (over < n_runs) {
        if (begun < n_runs && (long)(begun - over) < jobs) {
            start_run(&runs[begun++]);
            continue;
        }
        ok &= finish_run(runs, n_runs);
        over++;
    }
    for (size_t i = 0; i < n_runs; i++)
        fputs(runs[i].line, stdout);
    free(runs);
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static const struct scenario *find_scenario(const char *name) {
    for (size_t i = 0; i < N_SCENARIOS; i++)
        if (strcmp(scenarios[i].name, name) == 0)
            return &scenarios[i];
    return NULL;
}

static int run_named(const char *name, unsigned long seed) {
    char line[RESULT_MAX];
    const struct scenario *scenario = find_scenario(name);
    if (!scenario) {
        fprintf(stderr, "behaviour_digest: there is no scenario '%s'\n", name);
        return EXIT_FAILURE;
    }
    run_one(scenario, seed, line);
    if (!g_run.dump)
        fputs(line, stdout);
    return EXIT_SUCCESS;
}

static int usage(void) {
    fprintf(stderr, "usage: behaviour_digest [--jobs N]\n"
                    "       behaviour_digest --scenario NAME --seed N [--dump]\n");
    return EXIT_FAILURE;
}

int main(int argc, char **argv) {
    static const struct option options[] = {{"jobs", required_argument, NULL, 'j'},
                                            {"scenario", required_argument, NULL, 's'},
                                            {"seed", required_argument, NULL, 'n'},
                                            {"dump", no_argument, NULL, 'd'},
                                            {NULL, 0, NULL, 0}};
    const char *scenario = NULL, *seed = NULL;
    long jobs = sysconf(_SC_NPROCESSORS_ONLN);
    int option;
    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1)
        switch (option) {
        case 'j':
            jobs = strtol(optarg, NULL, 10);
            break;
        case 's':
            scenario = optarg;
            break;
        case 'n':
            seed = optarg;
            break;
        case 'd':
            g_run.dump = true;
            break;
        default:
            return usage();
        }
    if (optind < argc || jobs < 1 || jobs > JOBS_MAX || !scenario != !seed ||
        (g_run.dump && !scenario))
        return usage();
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    json_object_seed(JSON_HASH_SEED);
    return scenario ? run_named(scenario, strtoul(seed, NULL, 10)) : run_all(jobs);
}
