/* Requests of users at the very moment at which a job ends or is cancelled or the leader changes;
 * invalid requests; and two to four random faults at a time. After each step rules.c checks the
 * safety rules of PROTOCOL, such as: no task runs on two machines, no task of a cancelled job runs
 * more than cancel_s after the confirmation, no job is forgotten. Every test fails if a rule is
 * violated or an accepted job does not end. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

#define COMPLETION_S 250 /* simulated seconds after the faults, within which all jobs must end */

/* Users submit four jobs per second for two minutes, cancel a quarter of them, and the leader
 * crashes meanwhile. At least 440 of the 480 jobs must have been reported to their users as ended 5
 * s after the last submission. */
static void four_jobs_per_second_end_across_leader_crash(void **state) {
    (void)state;
    for (unsigned long seed = 300; seed < 302; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        for (int i = 0; i < 480; i++)
            sim_submit(sim, 5 + 0.25 * i, "sweep", 1, 1, 4, i % 4 ? 0 : 5.5 + 0.25 * i + i % 7);
        scenario_run(sim, 60);
        scenario_crash_leader(sim, 3);
        scenario_run(sim, 70);
        int n_ended = 0;
        int n_cancelled = 0;
        for (int i = 0; i < sim->n_jobs; i++) {
            n_ended += sim->jobs[i].reported_done || sim->jobs[i].reported_cancelled;
            n_cancelled += sim->jobs[i].reported_cancelled;
        }
        assert_at_least(n_ended, 440);
        assert_at_least(n_cancelled, 40);
        scenario_end(sim);
    }
}

/* Cancellations, queries and repeated submissions arrive at the moment at which the last task of a
 * job ends. No node may respond with an earlier state than the user has already received. */
static void requests_at_end_of_job_get_consistent_answers(void **state) {
    static const struct sim_faults faults = {.crash_s = 30, .delayed_write = 0.05};
    unsigned long n_cancelled_at_end = 0;
    unsigned long n_done = 0;
    unsigned long n_cancelled = 0;
    (void)state;
    for (unsigned long seed = 310; seed < 318; seed++) {
        struct sim *sim =
            sim_new(seed, seed % 2 ? &scenario_no_faults : &faults, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int job = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 3, 1, 2 + i % 5, 0);
            sim->jobs[job].cancel_at_end = i % 2;
            sim->jobs[job].cancel_again = true;
        }
        scenario_run(sim, 110);
        n_cancelled_at_end += sim->n_cancelled_at_end;
        for (int i = 0; i < sim->n_jobs; i++) {
            n_done += sim->jobs[i].cancel_requested && sim->jobs[i].reported_done;
            n_cancelled += sim->jobs[i].reported_cancelled;
        }
        scenario_end(sim);
    }
    assert_at_least(n_cancelled_at_end, 100);
    /* Some jobs ended before the cancellation, others were cancelled first. */
    assert_true(n_done >= 10 && n_cancelled >= 10);
}

/* Users query all nodes within milliseconds after a job was accepted, ended or cancelled, and
 * submit it again; some cancel it at once. No node may respond with an earlier state than the user
 * has already received. */
static void concurrent_reads_from_all_nodes_are_consistent(void **state) {
    static const struct sim_faults faults = {
        .crash_s = 30, .store_refusal_s = 30, .drop = 0.01, .duplicate = 0.05, .slow_store = 0.1};
    (void)state;
    for (unsigned long seed = 320; seed < 326; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int job = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 4, 1, 3, 0);
            sim->jobs[job].cancel_on_acceptance = i % 3 == 0;
            sim->jobs[job].cancel_again = i % 2;
        }
        scenario_run(sim, 110);
        assert_at_least(sim->n_concurrent_reads, 40 * 9);
        scenario_end(sim);
    }
}

/* A submission that cannot run, or lacks a field, must be refused by every node, also during
 * faults, and never be accepted. A job that no user submitted must remain unknown. */
static void invalid_requests_are_refused_during_faults(void **state) {
    static const struct sim_faults faults = {.invalid_request_s = 0.5,
                                             .crash_s = 30,
                                             .store_outage_s = 40,
                                             .store_refusal_s = 40,
                                             .delayed_write = 0.03};
    unsigned long n_refused = 0;
    unsigned long n_requests = 0;
    (void)state;
    for (unsigned long seed = 330; seed < 336; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 30);
        scenario_run(sim, 110);
        assert_int_equal(sim_count_stored(sim, RP_KEY_OPEN "j-9"), 0);
        assert_int_equal(sim_count_stored(sim, RP_KEY_TERMINAL "j-9"), 0);
        n_requests += sim->n_invalid_requests;
        n_refused += sim->n_invalid_refused;
        scenario_end(sim);
    }
    assert_true(n_requests >= 1000 && n_refused * 2 > n_requests);
}

#define N_MEAN_TIMES 12 /* kinds of fault that are given by the mean time between two of them */
#define N_CHANCES 9     /* kinds of fault that are given by their probability */

/* Draws two to four kinds of fault, and the mean time or probability of each. */
static void draw_faults(unsigned long seed, struct sim_faults *faults) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, seed);
    double *const mean_times_s[N_MEAN_TIMES] = {
        &faults->crash_s,         &faults->store_outage_s,
        &faults->store_refusal_s, &faults->pause_s,
        &faults->machine_crash_s, &faults->node_pause_s,
        &faults->spot_notice_s,   &faults->one_way_partition_s,
        &faults->unreachable_s,   &faults->partitioned_node_s,
        &faults->fast_restart_s,  &faults->peer_partition_s};
    double *const chances[N_CHANCES] = {
        &faults->drop,           &faults->delay,          &faults->duplicate,
        &faults->late_duplicate, &faults->slow_store,     &faults->delayed_write,
        &faults->dropped_answer, &faults->held_duplicate, &faults->fast_boot};
    for (unsigned long n = 2 + gsl_rng_uniform_int(rng, 3); n > 0; n--) {
        unsigned long k = gsl_rng_uniform_int(rng, N_MEAN_TIMES + N_CHANCES);
        if (k < N_MEAN_TIMES)
            *mean_times_s[k] = 10 + 30 * gsl_rng_uniform(rng);
        else
            *chances[k - N_MEAN_TIMES] = 0.02 + 0.2 * gsl_rng_uniform(rng) * gsl_rng_uniform(rng);
    }
    gsl_rng_free(rng);
}

static void submit_short_work(struct sim *sim) {
    for (int i = 0; i < 20; i++) {
        int job = sim_submit(sim, 10 + i * 5, i % 6 ? "sweep" : "ensemble", 1 + (unsigned)i % 5, 2,
                             5 + i * 2, i % 4 ? 0 : 14 + i * 6);
        sim->jobs[job].cancel_at_end = i % 5 == 1;
        sim->jobs[job].cancel_on_acceptance = i % 9 == 5;
    }
}

/* Two to four kinds of fault occur at a time, drawn at random with their mean times and
 * probabilities, on three or five nodes that run arrays, gangs and a service. No rule may be
 * broken, and all jobs must be terminal at the end. */
static void random_combinations_of_faults_break_no_rule(void **state) {
    (void)state;
    for (unsigned long seed = 600; seed < 630; seed++) {
        struct sim_faults faults = {0};
        draw_faults(seed, &faults);
        faults.invalid_request_s = 5;
        struct sim *sim = sim_new_sized(
            seed, &faults, SIM_NO_BREAKAGE, seed % 3 ? 3 : 5,
            seed % 2 ? &scenario_large_limits : &(struct sim_size){64, 6, 2, 14, 39, 200, 20, 5});
        sim->has_concurrent_reads = seed % 2;
        scenario_submit_long_work(sim, 40);
        submit_short_work(sim);
        sim_submit(sim, 30, "service", 3, 1, 0, 100);
        sim_run(sim, 70);
        sim_cancel_running(sim, 2, seed % 2 ? 10 : 0);
        sim_run(sim, 60);
        sim_end_faults(sim);
        sim_run(sim, COMPLETION_S);
        sim_check_served(sim);
        if (sim->violation[0])
            fail_msg("seed %lu: expected no violation of a rule: %s", seed, sim->violation);
        if (!sim_all_terminal(sim))
            fail_msg("seed %lu: expected all jobs to be terminal at the end of the run", seed);
        sim_free(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(four_jobs_per_second_end_across_leader_crash),
        cmocka_unit_test(requests_at_end_of_job_get_consistent_answers),
        cmocka_unit_test(concurrent_reads_from_all_nodes_are_consistent),
        cmocka_unit_test(invalid_requests_are_refused_during_faults),
        cmocka_unit_test(random_combinations_of_faults_break_no_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
