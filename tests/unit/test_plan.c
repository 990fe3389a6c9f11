/* Compares the planner's results with cases calculated by hand, and checks its constraints on
 * random inputs. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "scheduler/plan_cost.h"
#include "scheduler/plan_resources.h"
#include "scheduler/portfolio.h"

static const struct rp_heuristic fcfs_sm = {RP_JOB_ORDER_FCFS, RP_MACHINE_ORDER_SM};

static struct rp_plan_offering make_offering(int type, bool spot, double cpus, double price) {
    return (struct rp_plan_offering){
        .type = type, .spot = spot, .price = price, .boot_s = 30, .capacity = {cpus, 0, cpus * 4}};
}

static struct rp_plan_machine make_machine(int type, double cpus, double free_cpus) {
    return (struct rp_plan_machine){.type = type,
                                    .price = 1,
                                    .capacity = {cpus, 0, cpus * 4},
                                    .free_now = {free_cpus, 0, cpus * 4},
                                    .free_later = {free_cpus, 0, cpus * 4},
                                    .free_later_after_s = 30};
}

static struct rp_plan_group make_group(uint32_t n, double cpus, double run_s) {
    return (struct rp_plan_group){.n_tasks = n,
                                  .task_resources = {cpus, 0, 1},
                                  .run_s = run_s,
                                  .team = -1,
                                  .types = 3,
                                  .zones = 3,
                                  .spot = true,
                                  .fixed_zone = -1,
                                  .spread_max = (n + 1) / 2};
}

static struct rp_plan_input make_input(struct rp_plan_offering *offerings, size_t n_offerings,
                                       struct rp_plan_machine *machines, size_t n_machines,
                                       struct rp_plan_group *groups, size_t n_groups) {
    return (struct rp_plan_input){.offerings = offerings,
                                  .n_offerings = n_offerings,
                                  .machines = machines,
                                  .n_machines = n_machines,
                                  .groups = groups,
                                  .n_groups = n_groups,
                                  .billing_unit_s = 60,
                                  .new_machines_max = 20};
}

static uint32_t n_placed_on(const struct rp_plan *plan, size_t group, size_t machine) {
    uint32_t n = 0;
    for (size_t i = 0; i < plan->n_placements; i++)
        if (plan->placements[i].group == group && plan->placements[i].machine == machine)
            n += plan->placements[i].count;
    return n;
}

static void machine_cost_charges_whole_billing_units(void **state) {
    (void)state;
    /* 61 s since the machine's start are charged as two billing units of 60 s, which cost 2/60 of
     * the hourly price. */
    assert_true(fabs(rp_plan_machine_cost(3600, 0, 61, 60) - 120) < 1e-9);
    assert_true(fabs(rp_plan_machine_cost(3600, 30, 30, 60) - 60) < 1e-9);
    assert_true(fabs(rp_plan_machine_cost(3600, 30, 31, 60) - 120) < 1e-9);
}

static void tasks_fill_machines_in_heuristic_order(void **state) {
    struct rp_plan_machine machines[] = {make_machine(1, 32, 32), make_machine(0, 8, 5)};
    struct rp_plan_group groups[] = {make_group(8, 1, 50)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    rp_plan_build(&input, fcfs_sm, &plan); /* smallest machine first */
    assert_int_equal(n_placed_on(&plan, 0, 1), 5);
    assert_int_equal(n_placed_on(&plan, 0, 0), 3);
    assert_int_equal(plan.n_starting, 8);
    assert_int_equal(plan.n_new_machines, 0);
    rp_plan_free(&plan);
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_FCFS, RP_MACHINE_ORDER_LM}, &plan);
    assert_int_equal(n_placed_on(&plan, 0, 0), 8);
    rp_plan_free(&plan);
}

static void offering_with_most_capacity_per_price_is_provisioned(void **state) {
    struct rp_plan_offering offerings[] = {make_offering(0, false, 8, 0.5),
                                           make_offering(1, false, 32, 1.5),
                                           make_offering(1, true, 32, 0.4)};
    struct rp_plan_group groups[] = {make_group(40, 1, 50)};
    struct rp_plan_input input = make_input(offerings, 3, NULL, 0, groups, 1);
    struct rp_plan plan;
    (void)state;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(plan.n_new_machines, 2);
    assert_int_equal(plan.new_machines[0], 2); /* spot: 80 CPUs per unit of price */
    assert_int_equal(plan.n_waiting, 40);
    rp_plan_free(&plan);
    groups[0].spot = false;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(plan.new_machines[0], 1); /* 21 CPUs per unit of price, against 16 */
    rp_plan_free(&plan);
    offerings[1].refused = true;
    rp_plan_build(&input, fcfs_sm, &plan);
    /* The second best offering is provisioned while the best one is refused. */
    assert_int_equal(plan.n_new_machines, 5);
    rp_plan_free(&plan);
}

static void nothing_is_provisioned_when_capacity_is_freed_in_time(void **state) {
    struct rp_plan_offering offerings[] = {make_offering(0, false, 8, 0.5)};
    struct rp_plan_machine machines[] = {make_machine(0, 8, 0)};
    struct rp_plan_group groups[] = {make_group(8, 1, 50)};
    struct rp_plan_input input = make_input(offerings, 1, machines, 1, groups, 1);
    struct rp_plan plan;
    (void)state;
    machines[0].free_later.cpus = 8; /* free before a new machine could be up */
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(plan.n_new_machines, 0);
    assert_int_equal(plan.n_starting, 0);
    assert_int_equal(plan.n_waiting, 8);
    rp_plan_free(&plan);
}

static void gang_is_placed_whole_or_not_at_all(void **state) {
    struct rp_plan_machine machines[] = {make_machine(0, 8, 8), make_machine(0, 8, 8)};
    struct rp_plan_group groups[] = {make_group(3, 8, 50), make_group(2, 8, 50)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 2, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].kind = groups[1].kind = RP_JOB_GANG;
    groups[0].age_s = 100;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 0, 0) + n_placed_on(&plan, 0, 1), 0);
    assert_int_equal(n_placed_on(&plan, 1, 0) + n_placed_on(&plan, 1, 1), 2);
    rp_plan_free(&plan);
    /* The gang must be in one zone, and only the second zone has capacity for it. */
    machines[1].zone = 1;
    machines[1].capacity.cpus = machines[1].free_now.cpus = machines[1].free_later.cpus = 16;
    groups[1].one_zone = true;
    groups[0].n_tasks = 9;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 1, 1), 2);
    rp_plan_free(&plan);
}

static void spread_and_team_limit_bound_placements(void **state) {
    struct rp_plan_machine machines[] = {make_machine(0, 64, 64), make_machine(0, 64, 64)};
    struct rp_plan_group groups[] = {make_group(9, 1, 50)};
    struct rp_plan_team team[] = {{.cpus_left = 4, .gpus_left = 1e9}};
    struct rp_plan_input input = make_input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    machines[1].zone = 1;
    groups[0].spread = true;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 0, 0), 5);
    assert_int_equal(n_placed_on(&plan, 0, 1), 4);
    rp_plan_free(&plan);
    input.teams = team;
    input.n_teams = 1;
    groups[0].team = 0;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(plan.n_starting, 4);
    rp_plan_free(&plan);
}

static void higher_priority_is_placed_first(void **state) {
    struct rp_plan_machine machines[] = {make_machine(0, 8, 8)};
    struct rp_plan_group groups[] = {make_group(8, 1, 50), make_group(1, 8, 50)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 1, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].age_s = 1000;
    groups[1].priority = RP_PRIORITY_HIGH;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 1, 0), 1);
    assert_int_equal(n_placed_on(&plan, 0, 0), 0);
    rp_plan_free(&plan);
}

static void better_plan_has_less_unplaced_work_then_lower_cost(void **state) {
    struct rp_plan leaves_work = {.unplaced_work = 1, .cost = 5};
    struct rp_plan expensive = {.unplaced_work = 0, .cost = 9};
    struct rp_plan cheap = {.unplaced_work = 0, .cost = 8};
    (void)state;
    assert_true(rp_plan_is_better(&expensive, &leaves_work));
    assert_true(rp_plan_is_better(&cheap, &expensive));
    assert_false(rp_plan_is_better(&expensive, &cheap));
}

#define RANDOM_MACHINES 12
#define RANDOM_GROUPS 20
#define RANDOM_NEW_MACHINES 20 /* the limit that make_input() sets */
#define RANDOM_CASES 400
#define ROUNDING_TOLERANCE 1e-6 /* in comparisons of sums of resources */

/* A random planner input with its arrays. */
struct random_case {
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
    *drawn = make_machine(type, cpus, floor(gsl_rng_uniform(rng) * cpus));
    drawn->free_later.cpus += floor(gsl_rng_uniform(rng) * (cpus - drawn->free_now.cpus));
    drawn->zone = (int)gsl_rng_uniform_int(rng, 2);
    drawn->spot = gsl_rng_uniform(rng) < 0.3;
}

static void draw_group(gsl_rng *rng, struct rp_plan_group *drawn) {
    *drawn =
        make_group(1 + (uint32_t)gsl_rng_uniform_int(rng, 20), 1 + gsl_rng_uniform(rng) * 6, 30);
    drawn->kind = gsl_rng_uniform(rng) < 0.3 ? RP_JOB_GANG : RP_JOB_ARRAY;
    drawn->spot = gsl_rng_uniform(rng) < 0.5;
    drawn->one_zone = gsl_rng_uniform(rng) < 0.3;
    drawn->zones = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
    drawn->team = gsl_rng_uniform(rng) < 0.5 ? 0 : -1;
    drawn->spread = !drawn->one_zone && gsl_rng_uniform(rng) < 0.3;
}

static void draw_case(gsl_rng *rng, struct random_case *drawn) {
    *drawn = (struct random_case){
        .offerings = {make_offering(0, false, 8, 0.5), make_offering(1, false, 32, 1.5),
                      make_offering(1, true, 32, 0.4)},
        .team = {.cpus_left = gsl_rng_uniform(rng) * 100, .gpus_left = 1e9}};
    drawn->n_machines = gsl_rng_uniform_int(rng, RANDOM_MACHINES + 1);
    drawn->n_groups = gsl_rng_uniform_int(rng, RANDOM_GROUPS + 1);
    drawn->offerings[0].zone = (int)gsl_rng_uniform_int(rng, 2);
    for (size_t i = 0; i < drawn->n_machines; i++)
        draw_machine(rng, &drawn->machines[i]);
    for (size_t i = 0; i < drawn->n_groups; i++)
        draw_group(rng, &drawn->groups[i]);
    drawn->input = make_input(drawn->offerings, 3, drawn->machines, drawn->n_machines,
                              drawn->groups, drawn->n_groups);
    drawn->input.teams = &drawn->team;
    drawn->input.n_teams = 1;
}

/* The resources and tasks that a plan places. */
struct usage {
    /* CPUs of each machine that tasks use which start now. */
    double now_cpus[RANDOM_MACHINES + RANDOM_NEW_MACHINES];
    /* CPUs of each machine that all placed tasks use. */
    double cpus[RANDOM_MACHINES + RANDOM_NEW_MACHINES];
    double team_cpus;
    uint32_t placed[RANDOM_GROUPS];
    uint32_t in_zone[RANDOM_GROUPS][2];
};

static void check_placement(const struct random_case *drawn, const struct rp_plan *plan,
                            const struct rp_placement *placement, struct usage *usage) {
    const struct rp_plan_group *group = &drawn->groups[placement->group];
    bool is_new = placement->machine >= drawn->n_machines;
    const struct rp_plan_offering *offering =
        is_new ? &drawn->offerings[plan->new_machines[placement->machine - drawn->n_machines]]
               : NULL;
    int zone = is_new ? offering->zone : drawn->machines[placement->machine].zone;
    bool is_spot = is_new ? offering->spot : drawn->machines[placement->machine].spot;
    double cpus = placement->count * group->task_resources.cpus;
    usage->cpus[placement->machine] += cpus;
    usage->now_cpus[placement->machine] += placement->starts_now ? cpus : 0;
    usage->team_cpus += group->team == 0 ? cpus : 0;
    usage->placed[placement->group] += placement->count;
    usage->in_zone[placement->group][zone] += placement->count;
    assert_true(group->zones >> zone & 1);
    assert_true(!is_spot || group->spot);
    assert_false(is_new && placement->starts_now);
}

static void check_machines(const struct random_case *drawn, const struct rp_plan *plan,
                           const struct usage *usage) {
    for (size_t i = 0; i < drawn->n_machines + plan->n_new_machines; i++) {
        bool is_new = i >= drawn->n_machines;
        double capacity =
            is_new ? drawn->offerings[plan->new_machines[i - drawn->n_machines]].capacity.cpus
                   : drawn->machines[i].free_later.cpus;
        assert_at_most(usage->cpus[i], capacity + ROUNDING_TOLERANCE);
        assert_true(is_new ||
                    usage->now_cpus[i] <= drawn->machines[i].free_now.cpus + ROUNDING_TOLERANCE);
    }
}

static void check_groups(const struct random_case *drawn, const struct usage *usage) {
    for (size_t i = 0; i < drawn->n_groups; i++) {
        const struct rp_plan_group *group = &drawn->groups[i];
        assert_at_most(usage->placed[i], group->n_tasks);
        assert_true(group->kind != RP_JOB_GANG || usage->placed[i] == 0 ||
                    usage->placed[i] == group->n_tasks);
        assert_true(!group->one_zone || !usage->in_zone[i][0] || !usage->in_zone[i][1]);
        for (int zone = 0; zone < 2; zone++)
            assert_true(!group->spread || usage->in_zone[i][zone] <= group->spread_max);
    }
}

/* For any input, no machine's capacity is exceeded, tasks are placed only where their job allows
 * it, gangs are placed whole, and team limits and zone constraints hold. */
static void random_inputs_keep_all_constraints(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 11);
    for (int i = 0; i < RANDOM_CASES; i++) {
        struct random_case drawn;
        struct usage usage = {.team_cpus = 0};
        struct rp_plan plan;
        draw_case(rng, &drawn);
        struct rp_heuristic heuristic = {(enum rp_job_order)gsl_rng_uniform_int(rng, 7),
                                         (enum rp_machine_order)gsl_rng_uniform_int(rng, 11)};
        rp_plan_build(&drawn.input, heuristic, &plan);
        assert_false(plan.failed);
        for (size_t k = 0; k < plan.n_placements; k++)
            check_placement(&drawn, &plan, &plan.placements[k], &usage);
        check_machines(&drawn, &plan, &usage);
        check_groups(&drawn, &usage);
        assert_at_most(usage.team_cpus, drawn.team.cpus_left + ROUNDING_TOLERANCE);
        rp_plan_free(&plan);
    }
    gsl_rng_free(rng);
}

/* Under sustained overload without load shedding, jobs that are about to be late take the capacity
 * of those that could meet their objectives. The largest job is shed instead, and the first task of
 * a large job still starts. */
static void largest_job_is_shed_under_overload(void **state) {
    enum { MACHINES = 40 };
    struct rp_plan_machine machines[MACHINES];
    struct rp_plan_group groups[] = {make_group(4000, 1, 60), make_group(1, 1, 60),
                                     make_group(300, 1, 60), make_group(20, 1, 60)};
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < MACHINES; i++)
        machines[i] = make_machine(0, 8, 8);
    for (int i = 0; i < 4; i++)
        groups[i].slack_s = 100;
    groups[0].slack_s = 10;         /* about to be late, and far too large to meet its objective */
    groups[1].is_first_task = true; /* the first task of another large job */
    struct rp_plan_input input = make_input(NULL, 0, machines, MACHINES, groups, 4);
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    uint32_t placed[4] = {0};
    for (size_t i = 0; i < plan.n_placements; i++)
        placed[plan.placements[i].group] += plan.placements[i].count;
    assert_true(plan.short_of_capacity[0] && !plan.short_of_capacity[1]);
    assert_int_equal(placed[1], 1);
    assert_int_equal(placed[2], 299);
    assert_int_equal(placed[3], 20);
    assert_int_equal(placed[0], 0);
    rp_plan_free(&plan);
    /* With enough slack for all jobs, nothing is shed. */
    for (int i = 0; i < 4; i++)
        groups[i].slack_s = 2000;
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_false(plan.short_of_capacity[0]);
    rp_plan_free(&plan);
}

/* Machines that are reserved for a gang are not used by other groups; the gang starts once all of
 * these machines have capacity for the gang's tasks. */
static void reserved_machines_are_used_by_their_gang_only(void **state) {
    struct rp_plan_machine machines[] = {make_machine(0, 8, 8), make_machine(0, 8, 0),
                                         make_machine(0, 8, 8)};
    struct rp_plan_group groups[] = {make_group(2, 8, 50), make_group(5, 2, 50)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 3, groups, 2);
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
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 1, 0) + n_placed_on(&plan, 1, 1), 0);
    assert_int_equal(n_placed_on(&plan, 1, 2), 3);
    assert_int_equal(n_placed_on(&plan, 0, 0), 0);
    rp_plan_free(&plan);
    machines[1].free_now.cpus = machines[1].free_later.cpus = 8;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 0, 0) + n_placed_on(&plan, 0, 1), 2);
    assert_int_equal(n_placed_on(&plan, 1, 2), 3);
    rp_plan_free(&plan);
}

/* Work without GPUs uses only the capacity that GPU work leaves on its machines, and only while GPU
 * work keeps the machine in use anyway. */
static void spare_capacity_of_busy_gpu_machines_is_used(void **state) {
    struct rp_plan_machine machines[] = {make_machine(1, 24, 24), make_machine(1, 24, 24)};
    struct rp_plan_group groups[] = {make_group(10, 1, 40)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 2, groups, 1);
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < 2; i++) {
        machines[i].capacity.gpus = machines[i].free_now.gpus = machines[i].free_later.gpus = 4;
        machines[i].free_spare = (struct rp_resources){3, 0, 20};
    }
    machines[0].busy_s = machines[0].gpu_busy_s = 60;
    machines[1].busy_s = 60; /* used by work without GPUs, which would keep it in use forever */
    machines[1].gpu_busy_s = 5;
    groups[0].types = 1;
    groups[0].spare_types = 2;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 0, 0), 3);
    assert_int_equal(n_placed_on(&plan, 0, 1), 0);
    rp_plan_free(&plan);
}

/* Under overload, with hundreds of groups and hardly any free capacity, a plan examines each
 * machine a few times at most, not once for every group. */
static void full_machines_are_not_examined(void **state) {
    enum { MACHINES = 1300, GROUPS = 600 };
    struct rp_plan_machine *machines = calloc(MACHINES, sizeof *machines);
    struct rp_plan_group *groups = calloc(GROUPS, sizeof *groups);
    struct rp_plan plan;
    (void)state;
    for (int i = 0; i < MACHINES; i++) {
        machines[i] = make_machine(0, 8, 8);
        machines[i].free_now.cpus = machines[i].free_later.cpus = i < 40 ? 8 : 0.5;
    }
    for (int i = 0; i < GROUPS; i++)
        groups[i] = make_group(100, 1, 30);
    struct rp_plan_input input = make_input(NULL, 0, machines, MACHINES, groups, GROUPS);
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(plan.n_starting, 320);
    assert_true(plan.n_machines_examined > 0 && plan.n_machines_examined < 1000);
    rp_plan_free(&plan);
    free(machines);
    free(groups);
}

/* While not all jobs can meet their objectives, the small jobs of the only class of arrays are
 * placed first. A class of gangs with more jobs must not make the class of arrays count as rare. */
static void gangs_do_not_make_an_array_class_rare(void **state) {
    struct rp_plan_machine machines[10];
    struct rp_plan_group groups[] = {make_group(400, 1, 60), make_group(160, 1, 10),
                                     make_group(8, 1, 10), make_group(1, 100, 60)};
    struct rp_plan plan;
    uint32_t small = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        machines[i] = make_machine(0, 8, 8);
    for (int i = 0; i < 4; i++) {
        groups[i].slack_s = i == 0 ? 30 : i == 2 ? 60 : 50;
        groups[i].class_jobs = i == 3 ? 40 : 1;
    }
    groups[3].kind = RP_JOB_GANG;
    struct rp_plan_input input = make_input(NULL, 0, machines, 10, groups, 4);
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_true(plan.short_of_capacity[0]);
    for (size_t i = 0; i < 10; i++)
        small += n_placed_on(&plan, 2, i);
    assert_int_equal(small, 8);
    rp_plan_free(&plan);
}

/* Work within a team's guaranteed quota is placed before the work of other teams, regardless of the
 * priorities. */
static void guaranteed_work_precedes_higher_priority(void **state) {
    struct rp_plan_machine machines[] = {make_machine(0, 8, 8)};
    struct rp_plan_group groups[] = {make_group(8, 1, 50), make_group(6, 1, 50)};
    struct rp_plan_input input = make_input(NULL, 0, machines, 1, groups, 2);
    struct rp_plan plan;
    (void)state;
    groups[0].priority = RP_PRIORITY_CRITICAL;
    groups[1].priority = RP_PRIORITY_LOW;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 1, 0), 0);
    rp_plan_free(&plan);
    groups[1].is_guaranteed = true;
    rp_plan_build(&input, fcfs_sm, &plan);
    assert_int_equal(n_placed_on(&plan, 1, 0), 6);
    assert_int_equal(n_placed_on(&plan, 0, 0), 2);
    rp_plan_free(&plan);
}

/* When not all jobs can meet their objectives, some jobs of a class of forty are shed rather than
 * the only job of another class, although that job is larger than each of them (incident 5bf9). */
static void only_job_of_a_class_is_not_shed(void **state) {
    struct rp_plan_machine machines[10];
    struct rp_plan_group groups[41];
    struct rp_plan plan;
    uint32_t rare = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        machines[i] = make_machine(0, 8, 8);
    for (int i = 0; i < 40; i++) {
        groups[i] = make_group(8, 1, 60);
        groups[i].slack_s = 40;
        groups[i].class_jobs = 40;
    }
    groups[40] = make_group(160, 1, 10);
    groups[40].slack_s = 60;
    groups[40].class_jobs = 1;
    struct rp_plan_input input = make_input(NULL, 0, machines, 10, groups, 41);
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    assert_true(plan.short_of_capacity[0]);
    for (size_t i = 0; i < 10; i++)
        rare += n_placed_on(&plan, 40, i);
    assert_int_equal(rare, 80);
    rp_plan_free(&plan);
    /* As one of forty jobs of its class, the large job is shed. */
    groups[40].class_jobs = 40;
    rp_plan_build(&input, (struct rp_heuristic){RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM}, &plan);
    rare = 0;
    for (size_t i = 0; i < 10; i++)
        rare += n_placed_on(&plan, 40, i);
    assert_int_equal(rare, 0);
    rp_plan_free(&plan);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_job_of_a_class_is_not_shed),
        cmocka_unit_test(gangs_do_not_make_an_array_class_rare),
        cmocka_unit_test(guaranteed_work_precedes_higher_priority),
        cmocka_unit_test(machine_cost_charges_whole_billing_units),
        cmocka_unit_test(tasks_fill_machines_in_heuristic_order),
        cmocka_unit_test(offering_with_most_capacity_per_price_is_provisioned),
        cmocka_unit_test(nothing_is_provisioned_when_capacity_is_freed_in_time),
        cmocka_unit_test(gang_is_placed_whole_or_not_at_all),
        cmocka_unit_test(spread_and_team_limit_bound_placements),
        cmocka_unit_test(higher_priority_is_placed_first),
        cmocka_unit_test(better_plan_has_less_unplaced_work_then_lower_cost),
        cmocka_unit_test(largest_job_is_shed_under_overload),
        cmocka_unit_test(reserved_machines_are_used_by_their_gang_only),
        cmocka_unit_test(spare_capacity_of_busy_gpu_machines_is_used),
        cmocka_unit_test(full_machines_are_not_examined),
        cmocka_unit_test(random_inputs_keep_all_constraints)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
