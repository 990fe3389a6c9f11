#include "digest_scenarios.h"

#include <string.h>
#include "digest_workloads.h"

/* More than 500 machines, of two types in two zones, ordinary and spot. */
static const struct sim_size large_fleet = {560, 64, 4, 22, 47, 800, 80, 10};
/* A small fleet with longer leases and higher limits of the key-value store, as in production. */
static const struct sim_size production_limits = {64, 6, 4, 22, 47, 800, 80, 10};

#define MOST_FAULTS                                                                                \
    {                                                                                              \
        .drop = 0.01, .delay = 0.01, .duplicate = 0.03, .crash_s = 25, .store_outage_s = 80,       \
        .store_refusal_s = 60, .pause_s = 25, .machine_crash_s = 40, .node_pause_s = 30,           \
        .task_error = 0.01                                                                         \
    }
#define ALL_FAULTS                                                                                 \
    {                                                                                              \
        .drop = 0.01, .delay = 0.01, .duplicate = 0.03, .late_duplicate = 0.03, .crash_s = 30,     \
        .store_outage_s = 90, .store_refusal_s = 60, .partitioned_node_s = 50,                     \
        .one_way_partition_s = 40, .fast_restart_s = 20, .unreachable_s = 60,                      \
        .peer_partition_s = 90, .invalid_request_s = 20, .pause_s = 30, .machine_crash_s = 50,     \
        .node_pause_s = 40, .spot_notice_s = 30, .replica_exit_s = 20, .task_error = 0.01          \
    }
#define COMBINED_FAULTS                                                                            \
    {                                                                                              \
        .duplicate = 0.02, .crash_s = 40, .slow_store = 0.05, .delayed_write = 0.02,               \
        .dropped_answer = 0.02, .held_duplicate = 0.05, .unreachable_s = 40,                       \
        .peer_partition_s = 50                                                                     \
    }
#define BOOT_FAULTS                                                                                \
    { .boot_failure = 0.15, .fast_boot = 0.3, .spot_notice_s = 20, .machine_crash_s = 30 }
#define UPGRADE_FAULTS                                                                             \
    {                                                                                              \
        .drop = 0.005, .delay = 0.005, .duplicate = 0.03, .late_duplicate = 0.02, .crash_s = 20,   \
        .fast_restart_s = 25, .store_outage_s = 90, .pause_s = 40, .machine_crash_s = 60,          \
        .node_pause_s = 60, .replica_exit_s = 30                                                   \
    }

/* The scenarios with the longest run time come first: run at the end, one of them would delay the
 * result while the other processors are idle. */
const struct scenario digest_scenarios[] = {
    {"large_fleet", 1, 2, 5, &large_fleet, {0}, false, run_large_fleet},
    {"large_fleet_with_standby", 3, 1, 5, &large_fleet, {0}, true, run_large_fleet},
    {"large_fleet_in_trouble", 4, 1, 5, &large_fleet, MOST_FAULTS, false, run_large_fleet},
    {"everything", 500, 8, 3, NULL, MOST_FAULTS, false, run_mixed_jobs},
    {"everything_on_five", 700, 6, 5, NULL, ALL_FAULTS, false, run_mixed_jobs},
    {"everything_with_standby", 720, 6, 5, NULL, ALL_FAULTS, true, run_mixed_jobs},
    {"services_in_everything", 1100, 6, 5, NULL, ALL_FAULTS, false, run_services},
    {"services_with_standby", 1120, 4, 3, NULL, MOST_FAULTS, true, run_services},
    {"roll_in_trouble", 1200, 6, 3, NULL, UPGRADE_FAULTS, false, run_rolling_upgrade},
    {"roll_on_five", 1220, 3, 5, NULL, UPGRADE_FAULTS, false, run_rolling_upgrade},
    {"roll_with_standby", 1230, 3, 3, NULL, UPGRADE_FAULTS, true, run_rolling_upgrade},
    {"quiet_roll", 1240, 2, 5, NULL, {0}, false, run_rolling_upgrade},
    {"held_roll", 1250, 2, 3, NULL, {0}, false, run_incomplete_upgrade},
    {"quiet", 1, 4, 3, NULL, {0}, false, run_mixed_jobs},
    {"quiet_with_standby", 5, 2, 3, NULL, {0}, true, run_mixed_jobs},
    {"bad_network", 100, 3, 3, NULL, {0.02, 0.02, 0.05}, false, run_mixed_jobs},
    {"crashes", 200, 3, 3, NULL, {.crash_s = 12, .duplicate = 0.02}, false, run_mixed_jobs},
    {"state_troubles",
     300,
     3,
     3,
     NULL,
     {.store_outage_s = 40, .store_refusal_s = 25, .delay = 0.01},
     false,
     run_mixed_jobs},
    {"machine_troubles",
     400,
     3,
     3,
     NULL,
     {.pause_s = 15, .machine_crash_s = 20, .spot_notice_s = 10, .task_error = 0.02},
     false,
     run_mixed_jobs},
    {"boots", 420, 3, 3, NULL, BOOT_FAULTS, false, run_mixed_jobs},
    {"many_questions", 1300, 2, 3, NULL, {0}, false, run_query_overload},
    {"long_records", 1310, 3, 3, NULL, {0}, false, run_long_records},
    {"long_records_with_standby", 1320, 2, 3, NULL, {0}, true, run_long_records},
    {"full_fleet", 1400, 8, 3, NULL, {0}, false, run_full_fleet},
    {"full_fleet_in_trouble", 1410, 4, 3, NULL, MOST_FAULTS, false, run_full_fleet},
    {"bad_work", 440, 3, 3, NULL, {0}, false, run_failing_tasks},
    {"curious_users",
     460,
     3,
     3,
     &production_limits,
     {.invalid_request_s = 3, .crash_s = 60},
     false,
     run_frequent_queries},
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
     run_mixed_jobs},
    {"meetings", 800, 4, 3, NULL, COMBINED_FAULTS, false, run_mixed_jobs},
    {"meetings_with_standby", 810, 4, 3, NULL, COMBINED_FAULTS, true, run_mixed_jobs},
    {"refused_leader", 820, 3, 3, &production_limits, {0}, false, run_leader_refused_by_store},
    {"cancelled_at_takeover", 830, 3, 3, NULL, {0}, false, run_cancellations_at_failover},
    {"cancelled_at_standby_takeover", 840, 3, 3, NULL, {0}, true, run_cancellations_at_failover},
    {"silent_leader", 850, 2, 3, NULL, {0}, false, run_paused_leader},
    {"silent_leader_with_standby", 860, 3, 5, NULL, {0}, true, run_paused_leader},
    {"cut_zone", 870, 2, 3, NULL, {0}, false, run_partitioned_zone},
    {"services", 1000, 4, 3, NULL, {.replica_exit_s = 15}, false, run_services},
    {"teams", 900, 6, 3, NULL, {0}, false, run_team_limits},
    {"teams_in_trouble", 910, 3, 3, NULL, MOST_FAULTS, false, run_team_limits},
};
const size_t n_digest_scenarios = sizeof digest_scenarios / sizeof digest_scenarios[0];

const struct scenario *digest_find_scenario(const char *name) {
    for (size_t i = 0; i < n_digest_scenarios; i++)
        if (strcmp(digest_scenarios[i].name, name) == 0)
            return &digest_scenarios[i];
    return NULL;
}
