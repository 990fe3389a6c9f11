/* What a leader records about machines that have not reported to it, for the next leader
 * (cluster/withheld_answers.h). A record that is believed although its machine was answered after
 * it was written starts the machine's tasks twice. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include "base/log.h"
#include "scenario.h"
#include "store/records.h"

#define SETTLED_S 35.0    /* tasks run on all machines by then */
#define LONG_RUN_S 200.0  /* run time of tasks */
#define SILENT_S 9.0      /* longer than until answers are withheld, shorter than a lease */
#define LEASE_S 14.0      /* of a worker */
#define NEXT_LEADER_S 4.0 /* time from the end of a leader to the next one's first answers */
#define DOWNTIME_S 3.0    /* of a process */
#define N_WRITES 4        /* writes of the record that are interrupted, one in each run */
#define N_RANDOM 12       /* runs with faults at random */
#define RANDOM_SEED 8850

static struct sim *start(unsigned long seed) {
    struct sim *sim = scenario_new(seed, 3);
    scenario_remove_team_limit(sim);
    scenario_submit_arrays(sim, 10, 1, 0.2, 8, 4, LONG_RUN_S);
    sim_run(sim, SETTLED_S);
    return sim;
}

static void silence_machines(struct sim *sim, int every, double for_s) {
    for (int i = 0; i < sim->size.n_workers; i += every)
        sim->workers[i].unreachable_until = sim->workers[i].one_way_partition_until =
            sim->now + for_s;
}

static void count_machine(void *n, const char *machine, double lease_end_s) {
    (void)machine;
    (void)lease_end_s;
    ++*(size_t *)n;
}

static size_t n_withheld(struct sim *sim) {
    size_t n = 0;
    const json_t *record = sim_find_record(sim, RP_KEY_WITHHELD "0");
    assert_true(record && rp_record_withheld_read(record, count_machine, &n));
    return n;
}

static void end_leader(struct sim *sim) {
    if (sim_leader(sim) >= 0)
        sim_crash(sim, sim_leader(sim), DOWNTIME_S);
}

/* Workers that report again get an answer soon enough to keep their tasks. */
static void machine_that_reports_again_keeps_its_tasks(void **state) {
    (void)state;
    struct sim *sim = start(8840);
    silence_machines(sim, 3, SILENT_S);
    end_leader(sim);
    scenario_run(sim, SILENT_S - 0.1);
    assert_more_than(n_withheld(sim), 0);
    scenario_run(sim, LEASE_S);
    assert_int_equal(n_withheld(sim), 0);
    for (int i = 0; i < sim->size.n_workers; i++)
        if (sim->workers[i].used && sim->workers[i].up)
            assert_int_equal(sim->workers[i].incarnation, 1);
    sim_free(sim);
}

/* A series of leaders, none of which lasts as long as a lease: the second one goes on from what the
 * first one has recorded, and starts the waiting tasks. */
static void next_leader_continues_an_earlier_leaders_count(void **state) {
    (void)state;
    struct sim *sim = start(8841);
    silence_machines(sim, 3, 100);
    sim_submit(sim, sim->now, "sweep", 4, 1, LONG_RUN_S, 0);
    for (int i = 0; i < 4; i++) {
        end_leader(sim);
        scenario_run(sim, LEASE_S - 3);
    }
    assert_true(sim->jobs[sim->n_jobs - 1].has_started);
    sim_free(sim);
}

/* A machine reports again, gets new tasks, and is out of reach again as the leader ends. Whatever
 * became of the record's writes, the next leader must reckon with a whole lease for it. */
static void run_with_machines_that_return(const struct sim_interruption *interruption,
                                          double ends_after_s) {
    struct sim *sim = start(8842);
    sim->interruption = *interruption;
    silence_machines(sim, 3, SILENT_S);
    end_leader(sim);
    sim_run(sim, SILENT_S + ends_after_s);
    silence_machines(sim, 3, LEASE_S + NEXT_LEADER_S);
    end_leader(sim);
    scenario_submit_arrays(sim, 4, sim->now, 0.2, 4, 4, LONG_RUN_S / 4);
    sim_run(sim, 2 * LEASE_S);
    sim_end_faults(sim);
    sim_run(sim, SCENARIO_COMPLETION_S);
    if (sim->violation[0] || !sim_all_terminal(sim))
        fail_msg("write %lu, kind %d, the leader ends after %.1f s: %s", interruption->nth,
                 (int)interruption->kind, ends_after_s,
                 sim->violation[0] ? sim->violation : "not all jobs have ended");
    sim_free(sim);
}

static void interrupted_writes_start_no_task_twice(void **state) {
    static const double ends_after_s[] = {0.3, 1.5, 3.0, 6.0};
    (void)state;
    for (int kind = 0; kind < SIM_INTERRUPTIONS; kind++)
        for (unsigned long nth = 1; nth <= N_WRITES; nth++)
            for (size_t i = 0; i < sizeof ends_after_s / sizeof ends_after_s[0]; i++)
                run_with_machines_that_return(
                    &(struct sim_interruption){.prefix = RP_KEY_WITHHELD,
                                               .nth = nth,
                                               .kind = (enum sim_interruption_kind)kind},
                    ends_after_s[i]);
}

/* Leaders in series, machines out of reach for less and for more than a lease, late and lost
 * writes, late copies of heartbeats. */
static void leaders_in_series_break_no_rule(void **state) {
    static const struct sim_faults faults = {.crash_s = 12,
                                             .unreachable_s = 3,
                                             .one_way_partition_s = 20,
                                             .pause_s = 20,
                                             .node_pause_s = 40,
                                             .delayed_write = 0.02,
                                             .dropped_answer = 0.02,
                                             .late_duplicate = 0.02,
                                             .peer_partition_s = 60};
    (void)state;
    scenario_run_seeds(&(struct scenario_seeds){.faults = &faults,
                                                .first = RANDOM_SEED,
                                                .n = N_RANDOM,
                                                .prepare = scenario_submit_for_polls_at_all_nodes});
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(machine_that_reports_again_keeps_its_tasks),
        cmocka_unit_test(next_leader_continues_an_earlier_leaders_count),
        cmocka_unit_test(interrupted_writes_start_no_task_twice),
        cmocka_unit_test(leaders_in_series_break_no_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
