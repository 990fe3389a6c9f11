#include "scheduler/cycle_input_build.h"

#include <stdlib.h>
#include <string.h>
#include "scheduler/group_input.h"
#include "scheduler/image_input.h"
#include "scheduler/machine_input.h"

/* Number of CPUs or GPUs that a team without a limit may still use. */
#define NO_TEAM_LIMIT 1e15
/* Greatest number of machines that one plan may provision. */
#define NEW_MACHINES_MAX 60
/* When this many machines of an offering are requested, no more are requested until the cloud has
 * responded. */
#define REQUESTED_MACHINES_MAX 8

static void build_offerings(struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    const struct rp_catalog *catalog = rp_scheduler_catalog(scheduler);
    input->offerings =
        calloc(catalog->n_types * catalog->n_zones * 2 + 1, sizeof *input->offerings);
    for (size_t t = 0; input->offerings && t < catalog->n_types; t++)
        for (size_t z = 0; z < catalog->n_zones; z++)
            for (int spot = 1; spot >= 0; spot--) {
                const struct rp_machine_type *type = &catalog->types[t];
                if (!(type->zones >> z & 1) || (spot && type->spot_price <= 0))
                    continue;
                input->offerings[input->plan_input.n_offerings++] = (struct rp_plan_offering){
                    .type = (int)t,
                    .zone = (int)z,
                    .spot = spot,
                    /* Until the cloud has responded to the outstanding requests, it is unknown
                     * whether it has more machines of this offering. */
                    .refused = rp_fleet_is_zone_silent(scheduler->fleet, (int)z) ||
                               rp_fleet_is_refused(scheduler->fleet, (int)t, (int)z, spot) ||
                               rp_fleet_n_requested(scheduler->fleet, (int)t, (int)z, spot) >=
                                   REQUESTED_MACHINES_MAX,
                    .price = rp_fleet_hourly_price(catalog, (int)t, spot),
                    .boot_s = type->boot_s,
                    .fetch_gb_per_s = type->fetch_gb_per_s,
                    .capacity = type->capacity};
            }
    input->plan_input.offerings = input->offerings;
}

static void build_teams(struct rp_scheduler *scheduler, struct rp_cycle_input *input) {
    const struct rp_settings *settings = scheduler->settings;
    input->teams = calloc(settings->n_teams + 1, sizeof *input->teams);
    for (size_t i = 0; input->teams && i < settings->n_teams; i++) {
        input->teams[i].cpus_left =
            settings->teams[i].cpus_max > 0
                ? settings->teams[i].cpus_max - scheduler->cluster->team_cpus[i]
                : NO_TEAM_LIMIT;
        input->teams[i].gpus_left =
            settings->teams[i].gpus_max > 0
                ? settings->teams[i].gpus_max - scheduler->cluster->team_gpus[i]
                : NO_TEAM_LIMIT;
    }
    input->plan_input.teams = input->teams;
    input->plan_input.n_teams = settings->n_teams;
}

bool rp_cycle_input_build(struct rp_scheduler *scheduler, struct rp_cycle_input *input,
                          struct timespec now) {
    memset(input, 0, sizeof *input);
    input->plan_input.billing_unit_s = scheduler->settings->tuning.billing_unit_s;
    input->plan_input.seed = scheduler->n_cycles;
    input->plan_input.new_machines_max = NEW_MACHINES_MAX;
    build_offerings(scheduler, input);
    rp_machine_input_build(scheduler, input, now);
    rp_group_input_build(scheduler, input, now);
    rp_image_input_build(input);
    build_teams(scheduler, input);
    return input->offerings && input->machines && input->releases && input->holdings &&
           input->groups && input->teams && input->has_image && input->guarantees_left;
}
