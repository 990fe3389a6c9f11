/* Requests of users in the very moment of an end, a cancellation or a change of the leader; invalid
 * requests; two to four random faults at a time. */
#include "test.h"

#include "base/log.h"
#include "day.h"

#define REST_S 250

static void four_jobs_a_second(void **state) {
    (void)state;
    for (unsigned long seed = 300; seed < 302; seed++) {
        struct sim *sim = day_new(seed, 3);
        for (int i = 0; i < 480; i++)
            sim_submit(sim, 5 + 0.25 * i, "sweep", 1, 1, 4, i % 4 ? 0 : 5.5 + 0.25 * i + i % 7);
        day_run(sim, 60);
        day_crash_leader(sim, 3);
        day_run(sim, 70);
        int over = 0;
        int cancelled = 0;
        for (int i = 0; i < sim->n_jobs; i++) {
            over += sim->jobs[i].reported_done || sim->jobs[i].reported_cancelled;
            cancelled += sim->jobs[i].reported_cancelled;
        }
        assert_at_least(over, 440);
        assert_at_least(cancelled, 40);
        day_end(sim);
    }
}

/* Cancellations, questions and repeated submissions meet the end of the last task. */
static void ends_meet_requests(void **state) {
    static const struct sim_faults troubled = {.crash_s = 30, .delayed_write = 0.05};
    unsigned long met = 0;
    unsigned long done = 0;
    unsigned long cancelled = 0;
    (void)state;
    for (unsigned long seed = 310; seed < 318; seed++) {
        struct sim *sim = sim_new(seed, seed % 2 ? &day_no_faults : &troubled, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int j = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 3, 1, 2 + i % 5, 0);
            sim->jobs[j].cancel_at_end = i % 2;
            sim->jobs[j].cancel_again = true;
        }
        day_run(sim, 110);
        met += sim->n_cancelled_at_end;
        for (int i = 0; i < sim->n_jobs; i++) {
            done += sim->jobs[i].cancel_requested && sim->jobs[i].reported_done;
            cancelled += sim->jobs[i].reported_cancelled;
        }
        day_end(sim);
    }
    assert_at_least(met, 100);
    assert_true(done >= 10 && cancelled >= 10); /* both came first at times */
}

/* Users look at all nodes within milliseconds after a job was accepted, ended or cancelled, and
 * submit it again; some cancel at once. */
static void concurrent_reads(void **state) {
    static const struct sim_faults faults = {
        .crash_s = 30, .store_refusal_s = 30, .drop = 0.01, .duplicate = 0.05, .slow_store = 0.1};
    (void)state;
    for (unsigned long seed = 320; seed < 326; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int j = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 4, 1, 3, 0);
            sim->jobs[j].cancel_on_acceptance = i % 3 == 0;
            sim->jobs[j].cancel_again = i % 2;
        }
        day_run(sim, 110);
        assert_at_least(sim->n_concurrent_reads, 40 * 9);
        day_end(sim);
    }
}

/* What can't run, or lacks a field, is refused by every node, during faults too, and never
 * accepted; a job that nobody submitted stays unknown. */
static void invalid_requests(void **state) {
    static const struct sim_faults faults = {.invalid_request_s = 0.5,
                                             .crash_s = 30,
                                             .store_outage_s = 40,
                                             .store_refusal_s = 40,
                                             .delayed_write = 0.03};
    unsigned long answered = 0;
    unsigned long asked = 0;
    (void)state;
    for (unsigned long seed = 330; seed < 336; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 30);
        day_run(sim, 110);
        assert_int_equal(sim_count_stored(sim, RP_KEY_OPEN "j-9"), 0);
        assert_int_equal(sim_count_stored(sim, RP_KEY_TERMINAL "j-9"), 0);
        asked += sim->n_invalid_requests;
        answered += sim->n_invalid_refused;
        day_end(sim);
    }
    assert_true(asked >= 1000 && answered * 2 > asked);
}

#define MEANS 12 /* faults that are given by their mean time */
#define SHARES 9 /* and by their chance */

/* Two to four kinds of fault, drawn with their strength. */
static void draw_faults(unsigned long seed, struct sim_faults *faults) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(rng, seed);
    double *const means[MEANS] = {&faults->crash_s,         &faults->store_outage_s,
                                  &faults->store_refusal_s, &faults->pause_s,
                                  &faults->machine_crash_s, &faults->node_pause_s,
                                  &faults->spot_notice_s,   &faults->one_way_partition_s,
                                  &faults->unreachable_s,   &faults->partitioned_node_s,
                                  &faults->fast_restart_s,  &faults->peer_partition_s};
    double *const shares[SHARES] = {
        &faults->drop,           &faults->delay,          &faults->duplicate,
        &faults->late_duplicate, &faults->slow_store,     &faults->delayed_write,
        &faults->dropped_answer, &faults->held_duplicate, &faults->fast_boot};
    for (unsigned long n = 2 + gsl_rng_uniform_int(rng, 3); n > 0; n--) {
        unsigned long k = gsl_rng_uniform_int(rng, MEANS + SHARES);
        if (k < MEANS)
            *means[k] = 10 + 30 * gsl_rng_uniform(rng);
        else
            *shares[k - MEANS] = 0.02 + 0.2 * gsl_rng_uniform(rng) * gsl_rng_uniform(rng);
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

/* Two to four kinds of fault at a time, drawn with their strength. */
static void random_combinations(void **state) {
    (void)state;
    for (unsigned long seed = 600; seed < 630; seed++) {
        struct sim_faults faults = {0};
        draw_faults(seed, &faults);
        faults.invalid_request_s = 5;
        struct sim *sim = sim_new_sized(
            seed, &faults, SIM_NO_BREAKAGE, seed % 3 ? 3 : 5,
            seed % 2 ? &day_large_limits : &(struct sim_size){64, 6, 2, 14, 39, 200, 20, 5});
        sim->has_concurrent_reads = seed % 2;
        day_submit_long_work(sim, 40);
        submit_short_work(sim);
        sim_submit(sim, 30, "service", 3, 1, 0, 100);
        sim_run(sim, 70);
        sim_cancel_running(sim, 2, seed % 2 ? 10 : 0);
        sim_run(sim, 60);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        if (sim->violation[0])
            fail_msg("seed %lu: %s", seed, sim->violation);
        if (!sim_all_terminal(sim))
            fail_msg("seed %lu: work left undone", seed);
        sim_free(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(four_jobs_a_second), cmocka_unit_test(ends_meet_requests),
        cmocka_unit_test(concurrent_reads), cmocka_unit_test(invalid_requests),
        cmocka_unit_test(random_combinations)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
