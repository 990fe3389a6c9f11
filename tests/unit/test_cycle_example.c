/* Checks that the numbers of the worked example in docs/scheduling-cycle.md are those that the
 * planner calculates. */
#include "test.h"

#include "scheduler/portfolio.h"

#define PAGE_MAX 16384
#define N_HEURISTICS 3

/* The example has two existing machines, two jobs and two machine types that the cloud offers. */
static const struct rp_plan_offering offerings[] = {
    {.type = 0, .price = 0.36, .boot_s = 35, .capacity = {8, 0, 32}},
    {.type = 1, .price = 3.11, .boot_s = 50, .capacity = {64, 0, 256}},
};

static const struct rp_plan_machine machines[] = {
    {.type = 0,
     .price = 0.36,
     .capacity = {8, 0, 32},
     .free_now = {2, 0, 8},
     .free_later = {8, 0, 32},
     .free_later_after_s = 35,
     .age_s = 50,
     .busy_s = 20,
     .work_s = 15},
    {.type = 1,
     .price = 3.11,
     .capacity = {64, 0, 256},
     .free_now = {10, 0, 40},
     .free_later = {10, 0, 40},
     .free_later_after_s = 50,
     .age_s = 130,
     .busy_s = 90,
     .work_s = 76},
};

static struct rp_plan_group make_group(uint32_t n_tasks, double cpus, double run_s,
                                       double slack_s) {
    return (struct rp_plan_group){.n_tasks = n_tasks,
                                  .kind = RP_JOB_ARRAY,
                                  .priority = RP_PRIORITY_NORMAL,
                                  .task_resources = {cpus, 0, cpus * 3},
                                  .run_s = run_s,
                                  .slack_s = slack_s,
                                  .class_jobs = 1,
                                  .team = -1,
                                  .types = 3,
                                  .zones = 1,
                                  .fixed_zone = -1,
                                  .spread_max = n_tasks};
}

static const struct rp_heuristic heuristics[N_HEURISTICS] = {
    {RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_CP},
    {RP_JOB_ORDER_ESW, RP_MACHINE_ORDER_SM},
    {RP_JOB_ORDER_FCFS, RP_MACHINE_ORDER_LD}};
static const char *const heuristic_names[N_HEURISTICS] = {"ESW-CP", "ESW-SM", "FCFS-LD"};

/* Writes a row of the page's table: heuristic, starting and waiting tasks, unplaced work, new
 * machines and cost. */
static void format_row(char *out, size_t size, const char *name, const struct rp_plan *plan) {
    snprintf(out, size, "| %s | %u | %u | %.1f | %zu | %.4f |", name, plan->n_starting,
             plan->n_waiting, plan->unplaced_work, plan->n_new_machines, plan->cost);
}

static void assert_row_is_on_page(const char *page, const char *row) {
    if (!strstr(page, row))
        fail_msg("docs/scheduling-cycle.md has no row\n%s", row);
}

static void example_on_the_page_matches_the_planner(void **state) {
    static char page[PAGE_MAX];
    struct rp_plan_group groups[] = {make_group(12, 1, 40, 60), make_group(6, 4, 30, 20)};
    const struct rp_plan_input input = {.offerings = offerings,
                                        .n_offerings = 2,
                                        .machines = machines,
                                        .n_machines = 2,
                                        .groups = groups,
                                        .n_groups = 2,
                                        .billing_unit_s = 20,
                                        .new_machines_max = 20};
    char row[128];
    struct rp_plan plan = {0};
    (void)state;
    FILE *file = fopen(RP_DOCS_DIR "/scheduling-cycle.md", "r");
    assert_non_null(file);
    assert_more_than(fread(page, 1, sizeof page - 1, file), 0);
    fclose(file);
    for (size_t i = 0; i < N_HEURISTICS; i++) {
        rp_plan_build(&input, heuristics[i], &plan);
        format_row(row, sizeof row, heuristic_names[i], &plan);
        assert_row_is_on_page(page, row);
        rp_plan_free(&plan);
    }
    size_t winner = rp_plan_best(&input, heuristics, N_HEURISTICS, &plan);
    snprintf(row, sizeof row, "The winner is %s.", heuristic_names[winner]);
    assert_row_is_on_page(page, row);
    for (size_t i = 0; i < plan.n_placements; i++) {
        const struct rp_placement *placement = &plan.placements[i];
        snprintf(row, sizeof row, "| job %zu | machine %zu | %u | %s |", placement->group + 1,
                 placement->machine + 1, placement->count, placement->starts_now ? "now" : "later");
        assert_row_is_on_page(page, row);
    }
    rp_plan_free(&plan);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(example_on_the_page_matches_the_planner)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
