/* The planner against cases worked by hand, and its constraints on random inputs. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "scheduler/plan_cost.h"
#include "scheduler/plan_resources.h"
#include "scheduler/portfolio.h"

static const struct rp_heuristic fcfs_sm = {RP_JOB_ORDER_FCFS, RP_MACHINE_ORDER_SM};

static struct rp_plan_offering kind(int type, bool spot, double cpus, double price) {
    return (struct rp_plan_offering){
        .type = type, .spot = spot, .price = price, .boot_s = 30, .capacity = {cpus, 0, cpus * 4}};
}

static struct rp_plan_machine machine(int type, double cpus, double free_cpus) {
    return (struct rp_plan_machine){.type = type,
                                    .price = 1,
                                    .capacity = {cpus, 0, cpus * 4},
                                    .free_now = {free_cpus, 0, cpus * 4},
                                    .free_later = {free_cpus, 0, cpus * 4},
                                    .free_later_after_s = 30};
}

static struct rp_plan_group group(uint32_t n, double cpus, double run_s) {
    return (struct rp_plan_group){.n_tasks = n,
                                  .each = {cpus, 0, 1},
                                  .run_s = run_s,
                                  .team = -1,
                                  .types = 3,
                                  .zones = 3,
                                  .spot = true,
                                  .fixed_zone = -1,
                                  .spread_max = (n + 1) / 2};
}

static struct rp_plan_input input(struct rp_plan_offering *offering, size_t n_offerings,
                                  struct rp_plan_machine *machine, size_t n_machines,
                                  struct rp_plan_group *group, size_t n_groups) {
    return (struct rp_plan_input){.offerings = offering,
                                  .n_offerings = n_offerings,
                                  .machines = machine,
                                  .n_machines = n_machines,
                                  .groups = group,
                                  .n_groups = n_groups,
                                  .unit_s = 60,
                                  .new_machines_max = 20};
}

static uint32_t put_on(const struct rp_plan *plan, size_t group, size_t machine) {
    uint32_t n = 0;
    for (size_t i = 0; i < plan->n_placements; i++)
        if (plan->placements[i].group == group && plan->placements[i].machine == machine)
            n += plan->placements[i].count;
    return n;
}

static void formula_one(void **state) {
    (void)state;
    /* 61 s from its start are two units of 60 s: 2/60 of an hour's price. */
    assert_true(fabs(rp_plan_machine_cost(3600, 0, 61, 60) - 120) < 1e-9);
    assert_true(fabs(rp_plan_machine_cost(3600, 30, 30, 60) - 60) < 1e-9);
    assert_true(fabs(rp_plan_machine_cost(3600, 30, 31, 60) - 120) < 1e-9);
}

static void first_with_room(void **state) {
    struct rp_plan_machine machines[] = {machine(1, 32, 32), machine(0, 8, 5)};
    struct rp_plan_group groups[] = {group(8, 1, 50)};
    struct rp_plan_input planned = input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    rp_plan_build(&planned, fcfs_sm, &plan); /* the smaller machine first */
    assert_int_equal(put_on(&plan, 0, 1), 5);
    assert_int_equal(put_on(&plan, 0, 0), 3);
    assert_int_equal(plan.n_starting, 8);
    assert_int_equal(plan.n_new_machines, 0);
    rp_plan_free(&plan);
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_FCFS, RP_MACHINE_ORDER_LM}, &plan);
    assert_int_equal(put_on(&plan, 0, 0), 8);
    rp_plan_free(&plan);
}

static void rents_most_capacity_per_price(void **state) {
    struct rp_plan_offering kinds[] = {kind(0, false, 8, 0.5), kind(1, false, 32, 1.5),
                                       kind(1, true, 32, 0.4)};
    struct rp_plan_group groups[] = {group(40, 1, 50)};
    struct rp_plan_input planned = input(kinds, 3, NULL, 0, groups, 1);
    struct rp_plan plan;
    (void)state;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.n_new_machines, 2);
    assert_int_equal(plan.new_machines[0], 2); /* spot: 80 CPUs for 1 */
    assert_int_equal(plan.n_waiting, 40);
    rp_plan_free(&plan);
    groups[0].spot = false;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.new_machines[0], 1); /* 21 against 16 */
    rp_plan_free(&plan);
    kinds[1].refused = true;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.n_new_machines, 5); /* the next best, while the best is refused */
    rp_plan_free(&plan);
}

static void waits_rather_than_rents(void **state) {
    struct rp_plan_offering kinds[] = {kind(0, false, 8, 0.5)};
    struct rp_plan_machine machines[] = {machine(0, 8, 0)};
    struct rp_plan_group groups[] = {group(8, 1, 50)};
    struct rp_plan_input planned = input(kinds, 1, machines, 1, groups, 1);
    struct rp_plan plan;
    (void)state;
    machines[0].free_later.cpus = 8; /* free before another machine could be up */
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.n_new_machines, 0);
    assert_int_equal(plan.n_starting, 0);
    assert_int_equal(plan.n_waiting, 8);
    rp_plan_free(&plan);
}

static void gangs_whole_only(void **state) {
    struct rp_plan_machine machines[] = {machine(0, 8, 8), machine(0, 8, 8)};
    struct rp_plan_group groups[] = {group(3, 8, 50), group(2, 8, 50)};
    struct rp_plan_input planned = input(NULL, 0, machines, 2, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].kind = groups[1].kind = RP_JOB_GANG;
    groups[0].age_s = 100;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 0, 0) + put_on(&plan, 0, 1), 0);
    assert_int_equal(put_on(&plan, 1, 0) + put_on(&plan, 1, 1), 2);
    rp_plan_free(&plan);
    /* In one zone: the second zone holds it, the first doesn't. */
    machines[1].zone = 1;
    machines[1].capacity.cpus = machines[1].free_now.cpus = machines[1].free_later.cpus = 16;
    groups[1].one_zone = true;
    groups[0].n_tasks = 9;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 1, 1), 2);
    rp_plan_free(&plan);
}

static void limits_and_spread(void **state) {
    struct rp_plan_machine machines[] = {machine(0, 64, 64), machine(0, 64, 64)};
    struct rp_plan_group groups[] = {group(9, 1, 50)};
    struct rp_plan_team team[] = {{.cpus_left = 4, .gpus_left = 1e9}};
    struct rp_plan_input planned = input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    machines[1].zone = 1;
    groups[0].spread = true;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 0, 0), 5);
    assert_int_equal(put_on(&plan, 0, 1), 4);
    rp_plan_free(&plan);
    planned.teams = team;
    planned.n_teams = 1;
    groups[0].team = 0;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.n_starting, 4);
    rp_plan_free(&plan);
}

static void priority_first(void **state) {
    struct rp_plan_machine machines[] = {machine(0, 8, 8)};
    struct rp_plan_group groups[] = {group(8, 1, 50), group(1, 8, 50)};
    struct rp_plan_input planned = input(NULL, 0, machines, 1, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].age_s = 1000;
    groups[1].priority = RP_PRIORITY_HIGH;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 1, 0), 1);
    assert_int_equal(put_on(&plan, 0, 0), 0);
    rp_plan_free(&plan);
}

static void portfolio_takes_least_left_then_cheapest(void **state) {
    struct rp_plan left = {.unplaced_work = 1, .cost = 5};
    struct rp_plan dear = {.unplaced_work = 0, .cost = 9};
    struct rp_plan cheap = {.unplaced_work = 0, .cost = 8};
    (void)state;
    assert_true(rp_plan_is_better(&dear, &left));
    assert_true(rp_plan_is_better(&cheap, &dear));
    assert_false(rp_plan_is_better(&dear, &cheap));
}

#define RANDOM_MACHINES 12
#define RANDOM_GROUPS 20
#define RANDOM_NEW_MACHINES 20 /* as input() allows */
#define RANDOM_DAYS 400
#define ROUNDING 1e-6 /* of sums of resources */

/* An input at random. */
struct random_day {
    struct rp_plan_offering offerings[3];
    struct rp_plan_machine machines[RANDOM_MACHINES];
    struct rp_plan_group groups[RANDOM_GROUPS];
    struct rp_plan_team team;
    size_t n_machines, n_groups;
    struct rp_plan_input input;
};

static void draw_machine(gsl_rng *rng, struct rp_plan_machine *drawn) {
    int type = (int)gsl_rng_uniform_int(rng, 2);
    double cpus = type ? 32 : 8;
    *drawn = machine(type, cpus, floor(gsl_rng_uniform(rng) * cpus));
    drawn->free_later.cpus += floor(gsl_rng_uniform(rng) * (cpus - drawn->free_now.cpus));
    drawn->zone = (int)gsl_rng_uniform_int(rng, 2);
    drawn->spot = gsl_rng_uniform(rng) < 0.3;
}

static void draw_group(gsl_rng *rng, struct rp_plan_group *drawn) {
    *drawn = group(1 + (uint32_t)gsl_rng_uniform_int(rng, 20), 1 + gsl_rng_uniform(rng) * 6, 30);
    drawn->kind = gsl_rng_uniform(rng) < 0.3 ? RP_JOB_GANG : RP_JOB_ARRAY;
    drawn->spot = gsl_rng_uniform(rng) < 0.5;
    drawn->one_zone = gsl_rng_uniform(rng) < 0.3;
    drawn->zones = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    drawn->team = gsl_rng_uniform(rng) < 0.5 ? 0 : -1;
    drawn->spread = !drawn->one_zone && gsl_rng_uniform(rng) < 0.3;
}

static void draw_day(gsl_rng *rng, struct random_day *day) {
    *day = (struct random_day){
        .offerings = {kind(0, false, 8, 0.5), kind(1, false, 32, 1.5), kind(1, true, 32, 0.4)},
        .team = {.cpus_left = gsl_rng_uniform(rng) * 100, .gpus_left = 1e9}};
    day->n_machines = gsl_rng_uniform_int(rng, RANDOM_MACHINES + 1);
    day->n_groups = gsl_rng_uniform_int(rng, RANDOM_GROUPS + 1);
    day->offerings[0].zone = (int)gsl_rng_uniform_int(rng, 2);
    for (size_t i = 0; i < day->n_machines; i++)
        draw_machine(rng, &day->machines[i]);
    for (size_t i = 0; i < day->n_groups; i++)
        draw_group(rng, &day->groups[i]);
    day->input =
        input(day->offerings, 3, day->machines, day->n_machines, day->groups, day->n_groups);
    day->input.teams = &day->team;
    day->input.n_teams = 1;
}

/* What a plan uses. */
struct usage {
    double now_cpus[RANDOM_MACHINES + RANDOM_NEW_MACHINES]; /* of a machine, at once */
    double cpus[RANDOM_MACHINES + RANDOM_NEW_MACHINES];     /* and in all */
    double team_cpus;
    uint32_t placed[RANDOM_GROUPS];
    uint32_t in_zone[RANDOM_GROUPS][2];
};

static void check_placement(const struct random_day *day, const struct rp_plan *plan,
                            const struct rp_placement *placement, struct usage *usage) {
    const struct rp_plan_group *placed = &day->groups[placement->group];
    bool is_new = placement->machine >= day->n_machines;
    const struct rp_plan_offering *offering =
        is_new ? &day->offerings[plan->new_machines[placement->machine - day->n_machines]] : NULL;
    int zone = is_new ? offering->zone : day->machines[placement->machine].zone;
    bool is_spot = is_new ? offering->spot : day->machines[placement->machine].spot;
    double cpus = placement->count * placed->each.cpus;
    usage->cpus[placement->machine] += cpus;
    usage->now_cpus[placement->machine] += placement->starts_now ? cpus : 0;
    usage->team_cpus += placed->team == 0 ? cpus : 0;
    usage->placed[placement->group] += placement->count;
    usage->in_zone[placement->group][zone] += placement->count;
    assert_true(placed->zones >> zone & 1);
    assert_true(!is_spot || placed->spot);
    assert_false(is_new && placement->starts_now);
}

static void check_machines(const struct random_day *day, const struct rp_plan *plan,
                           const struct usage *usage) {
    for (size_t i = 0; i < day->n_machines + plan->n_new_machines; i++) {
        bool is_new = i >= day->n_machines;
        double capacity =
            is_new ? day->offerings[plan->new_machines[i - day->n_machines]].capacity.cpus
                   : day->machines[i].free_later.cpus;
        assert_at_most(usage->cpus[i], capacity + ROUNDING);
        assert_true(is_new || usage->now_cpus[i] <= day->machines[i].free_now.cpus + ROUNDING);
    }
}

static void check_groups(const struct random_day *day, const struct usage *usage) {
    for (size_t i = 0; i < day->n_groups; i++) {
        const struct rp_plan_group *planned = &day->groups[i];
        assert_at_most(usage->placed[i], planned->n_tasks);
        assert_true(planned->kind != RP_JOB_GANG || usage->placed[i] == 0 ||
                    usage->placed[i] == planned->n_tasks);
        assert_true(!planned->one_zone || !usage->in_zone[i][0] || !usage->in_zone[i][1]);
        for (int zone = 0; zone < 2; zone++)
            assert_true(!planned->spread || usage->in_zone[i][zone] <= planned->spread_max);
    }
}

/* Whatever the input: no machine is overfilled, nothing is put where it isn't allowed, gangs are
 * whole, limits and zones hold. */
static void random_inputs(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 11);
    for (int i = 0; i < RANDOM_DAYS; i++) {
        struct random_day day;
        struct usage usage = {.team_cpus = 0};
        struct rp_plan plan;
        draw_day(rng, &day);
        struct rp_heuristic heuristic = {(enum rp_job_order)gsl_rng_uniform_int(rng, 7),
                                         (enum rp_machine_order)gsl_rng_uniform_int(rng, 11)};
        rp_plan_build(&day.input, heuristic, &plan);
        assert_false(plan.failed);
        for (size_t k = 0; k < plan.n_placements; k++)
            check_placement(&day, &plan, &plan.placements[k], &usage);
        check_machines(&day, &plan, &usage);
        check_groups(&day, &usage);
        assert_at_most(usage.team_cpus, day.team.cpus_left + ROUNDING);
        rp_plan_free(&plan);
    }
    gsl_rng_free(rng);
}

/* Under a load that lasts, those about to be late took the capacity of those that could be in time:
 * the largest is given up instead, and its first task begins all the same. */
static void gives_up_the_largest(void **state) {
    enum { MACHINES = 40 };
    struct rp_plan_machine machines[MACHINES];
    struct rp_plan_group groups[] = {group(4000, 1, 60), group(1, 1, 60), group(300, 1, 60),
                                     group(20, 1, 60)};
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < MACHINES; i++)
        machines[i] = machine(0, 8, 8);
    for (int i = 0; i < 4; i++)
        groups[i].slack_s = 100;
    groups[0].slack_s = 10;         /* about to be late, and far too large to be in time */
    groups[1].is_first_task = true; /* the first task of another large one */
    struct rp_plan_input planned = input(NULL, 0, machines, MACHINES, groups, 4);
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    uint32_t placed[4] = {0};
    for (size_t i = 0; i < plan.n_placements; i++)
        placed[plan.placements[i].group] += plan.placements[i].count;
    assert_true(plan.short_of_capacity[0] && !plan.short_of_capacity[1]);
    assert_int_equal(placed[1], 1);
    assert_int_equal(placed[2], 299);
    assert_int_equal(placed[3], 20);
    assert_int_equal(placed[0], 0);
    rp_plan_free(&plan);
    /* With time enough for all, nothing is given up. */
    for (int i = 0; i < 4; i++)
        groups[i].slack_s = 2000;
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_false(plan.short_of_capacity[0]);
    rp_plan_free(&plan);
}

/* A machine kept for a gang is for nobody else; the gang itself starts once all of them have
 * capacity.
 */
static void kept_machines(void **state) {
    struct rp_plan_machine machines[] = {machine(0, 8, 8), machine(0, 8, 0), machine(0, 8, 8)};
    struct rp_plan_group groups[] = {group(2, 8, 50), group(5, 2, 50)};
    struct rp_plan_input planned = input(NULL, 0, machines, 3, groups, 2);
    struct rp_plan plan;
    int gang;
    int other;
    (void)state;
    groups[0].kind = RP_JOB_GANG;
    groups[0].has_reservation = true;
    groups[0].ref = &gang;
    groups[1].ref = &other;
    machines[0].reserved_for = machines[1].reserved_for = &gang;
    machines[2].free_now.cpus = machines[2].free_later.cpus = 6;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 1, 0) + put_on(&plan, 1, 1), 0);
    assert_int_equal(put_on(&plan, 1, 2), 3);
    assert_int_equal(put_on(&plan, 0, 0), 0);
    rp_plan_free(&plan);
    machines[1].free_now.cpus = machines[1].free_later.cpus = 8;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 0, 0) + put_on(&plan, 0, 1), 2);
    assert_int_equal(put_on(&plan, 1, 2), 3);
    rp_plan_free(&plan);
}

/* Work without GPUs takes what GPU work leaves of its machines, never the rest, and only while the
 * machine is in use anyway. */
static void spare_room_of_gpu_machines(void **state) {
    struct rp_plan_machine machines[] = {machine(1, 24, 24), machine(1, 24, 24)};
    struct rp_plan_group groups[] = {group(10, 1, 40)};
    struct rp_plan_input planned = input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < 2; i++) {
        machines[i].capacity.gpus = machines[i].free_now.gpus = machines[i].free_later.gpus = 4;
        machines[i].free_spare = (struct rp_resources){3, 0, 20};
    }
    machines[0].busy_s = machines[0].own_busy_s = 60;
    machines[1].busy_s = 60; /* by such work itself: that would keep the machine for ever */
    machines[1].own_busy_s = 5;
    groups[0].types = 1;
    groups[0].spare_types = 2;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 0, 0), 3);
    assert_int_equal(put_on(&plan, 0, 1), 0);
    rp_plan_free(&plan);
}

/* Under overload a cycle with hundreds of groups on a fleet without capacity looks at each machine
 * a few times, not once for every group. */
static void full_machines_are_not_looked_at(void **state) {
    enum { MACHINES = 1300, GROUPS = 600 };
    struct rp_plan_machine *machines = calloc(MACHINES, sizeof *machines);
    struct rp_plan_group *groups = calloc(GROUPS, sizeof *groups);
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < MACHINES; i++) {
        machines[i] = machine(0, 8, 8);
        machines[i].free_now.cpus = machines[i].free_later.cpus = i < 40 ? 8 : 0.5;
    }
    for (int i = 0; i < GROUPS; i++)
        groups[i] = group(100, 1, 30);
    struct rp_plan_input planned = input(NULL, 0, machines, MACHINES, groups, GROUPS);
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(plan.n_starting, 320);
    assert_true(plan.n_machines_examined > 0 && plan.n_machines_examined < 1000);
    rp_plan_free(&plan);
    free(machines);
    free(groups);
}

/* However many gangs there are, the only class of arrays has its small jobs first while there is
 * more work than can be in time. */
static void gangs_make_no_class_rare(void **state) {
    struct rp_plan_machine machines[10];
    struct rp_plan_group groups[] = {group(400, 1, 60), group(160, 1, 10), group(8, 1, 10),
                                     group(1, 100, 60)};
    struct rp_plan plan;
    uint32_t small = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        machines[i] = machine(0, 8, 8);
    for (int i = 0; i < 4; i++) {
        groups[i].slack_s = i == 0 ? 30 : i == 2 ? 60 : 50;
        groups[i].class_jobs = i == 3 ? 40 : 1;
    }
    groups[3].kind = RP_JOB_GANG;
    struct rp_plan_input planned = input(NULL, 0, machines, 10, groups, 4);
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_true(plan.short_of_capacity[0]);
    for (size_t i = 0; i < 10; i++)
        small += put_on(&plan, 2, i);
    assert_int_equal(small, 8);
    rp_plan_free(&plan);
}

/* What fits a team's guarantee waits for no other team's work, whatever the priorities. */
static void guaranteed_work_goes_first(void **state) {
    struct rp_plan_machine machines[] = {machine(0, 8, 8)};
    struct rp_plan_group groups[] = {group(8, 1, 50), group(6, 1, 50)};
    struct rp_plan_input planned = input(NULL, 0, machines, 1, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].priority = RP_PRIORITY_CRITICAL;
    groups[1].priority = RP_PRIORITY_LOW;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 1, 0), 0);
    rp_plan_free(&plan);
    groups[1].is_guaranteed = true;
    rp_plan_build(&planned, fcfs_sm, &plan);
    assert_int_equal(put_on(&plan, 1, 0), 6);
    assert_int_equal(put_on(&plan, 0, 0), 2);
    rp_plan_free(&plan);
}

/* More work than can be in time: of a class of forty jobs some are given up rather than the only
 * job of another class, though that is larger than any of them (incident 5bf9). */
static void rare_classes_are_served(void **state) {
    struct rp_plan_machine machines[10];
    struct rp_plan_group groups[41];
    struct rp_plan plan;
    uint32_t rare = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        machines[i] = machine(0, 8, 8);
    for (int i = 0; i < 40; i++) {
        groups[i] = group(8, 1, 60);
        groups[i].slack_s = 40;
        groups[i].class_jobs = 40;
    }
    groups[40] = group(160, 1, 10);
    groups[40].slack_s = 60;
    groups[40].class_jobs = 1;
    struct rp_plan_input planned = input(NULL, 0, machines, 10, groups, 41);
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_true(plan.short_of_capacity[0]);
    for (size_t i = 0; i < 10; i++)
        rare += put_on(&plan, 40, i);
    assert_int_equal(rare, 80);
    rp_plan_free(&plan);
    /* As one job of many it is given up, as before. */
    groups[40].class_jobs = 40;
    rp_plan_build(&planned, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    rare = 0;
    for (size_t i = 0; i < 10; i++)
        rare += put_on(&plan, 40, i);
    assert_int_equal(rare, 0);
    rp_plan_free(&plan);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(rare_classes_are_served),
                                       cmocka_unit_test(gangs_make_no_class_rare),
                                       cmocka_unit_test(guaranteed_work_goes_first),
                                       cmocka_unit_test(formula_one),
                                       cmocka_unit_test(first_with_room),
                                       cmocka_unit_test(rents_most_capacity_per_price),
                                       cmocka_unit_test(waits_rather_than_rents),
                                       cmocka_unit_test(gangs_whole_only),
                                       cmocka_unit_test(limits_and_spread),
                                       cmocka_unit_test(priority_first),
                                       cmocka_unit_test(portfolio_takes_least_left_then_cheapest),
                                       cmocka_unit_test(gives_up_the_largest),
                                       cmocka_unit_test(kept_machines),
                                       cmocka_unit_test(spare_room_of_gpu_machines),
                                       cmocka_unit_test(full_machines_are_not_looked_at),
                                       cmocka_unit_test(random_inputs)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
