#include "digest_scenarios.h"

#include <string.h>
#include "digest_days.h"

/* 500 machines and some: of two types in two zones, ordinary and spot. */
static const struct sim_size large_fleet = {560, 64, 4, 22, 47, 800, 80, 10};
/* Longer leases and higher limits of the key-value store, as the operators have them. */
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
const struct scenario digest_scenarios[] = {
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
    {"cancelled_at_takeover", 830, 3, 3, NULL, {0}, false, cancelled_at_failover_day},
    {"cancelled_at_standby_takeover", 840, 3, 3, NULL, {0}, true, cancelled_at_failover_day},
    {"silent_leader", 850, 2, 3, NULL, {0}, false, silent_leader_day},
    {"silent_leader_with_standby", 860, 3, 5, NULL, {0}, true, silent_leader_day},
    {"cut_zone", 870, 2, 3, NULL, {0}, false, cut_zone_day},
    {"services", 1000, 4, 3, NULL, {.replica_exit_s = 15}, false, service_day},
    {"teams", 900, 6, 3, NULL, {0}, false, team_day},
    {"teams_in_trouble", 910, 3, 3, NULL, EVERYTHING, false, team_day},
};
const size_t n_digest_scenarios = sizeof digest_scenarios / sizeof digest_scenarios[0];

const struct scenario *digest_find_scenario(const char *name) {
    for (size_t i = 0; i < n_digest_scenarios; i++)
        if (strcmp(digest_scenarios[i].name, name) == 0)
            return &digest_scenarios[i];
    return NULL;
}
