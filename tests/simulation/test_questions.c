/* Users who poll far beyond the request budget of the key-value store. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"

/* Users poll twenty times as often as usual, far beyond what the key-value store accepts.
 * Submissions and cancellations must still be served, and queries beyond the budget must be
 * refused at once. */
static void excess_queries_delay_no_submission_or_cancellation(void **state) {
    struct sim *sim = scenario_new(60, 3);
    int n_late = 0;
    int n_ended = 0;
    (void)state;
    sim->has_eager_users = true;
    for (int i = 0; i < 100; i++)
        sim_submit(sim, 1 + i, "sweep", 2, 1, 6, i % 4 ? 0 : 11 + i);
    sim_run(sim, 40);
    unsigned long n_polls = sim->n_polls;
    unsigned long n_requests = sim->n_state_reads + sim->n_comparisons;
    sim_run(sim, 60);
    n_polls = sim->n_polls - n_polls;
    n_requests = sim->n_state_reads + sim->n_comparisons - n_requests;
    /* The users send more than 250 queries per second. The nodes send the store fewer than the 200
     * requests per second that the settings allow. */
    assert_more_than(n_polls, 60 * 250);
    assert_less_than((double)n_requests, 60 * 200);
    sim_run(sim, 20);
    for (int i = 0; i < 100; i++) {
        n_late += sim->jobs[i].accepted_at > 1 + i + 1.5;
        n_ended += i % 4 == 0 && (sim->jobs[i].reported_done || sim->jobs[i].reported_cancelled);
    }
    assert_at_most(n_late, 2);
    assert_int_equal(n_ended, 25);
    sim_end_faults(sim);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Fault (incidents 5bf9 and 092b): of the queries of hundreds of users about running jobs, two in
 * three were refused. Queries beyond the budget must share requests to the key-value store, and the
 * responses to at least 97 % of all queries must contain the job's state. */
static void queries_beyond_budget_share_requests(void **state) {
    struct sim *sim = scenario_new(61, 3);
    (void)state;
    scenario_submit_arrays(sim, 100, 1, 0.2, 2, 1, 200);
    sim_run(sim, 40);
    sim->has_eager_users = true;
    sim_run(sim, 5);
    unsigned long n_polls = sim->n_polls;
    unsigned long n_answered = sim->n_polls_answered;
    unsigned long n_requests = sim->n_state_reads + sim->n_comparisons;
    sim_run(sim, 40);
    n_polls = sim->n_polls - n_polls;
    n_answered = sim->n_polls_answered - n_answered;
    n_requests = sim->n_state_reads + sim->n_comparisons - n_requests;
    assert_more_than(n_polls, 40 * 400);
    assert_less_than((double)n_requests, 40 * 200 * 0.6);
    if ((double)n_answered < 0.97 * (double)n_polls)
        fail_msg("expected at least 97 %% of the queries to get the job's state: %lu of %lu",
                 n_answered, n_polls);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(excess_queries_delay_no_submission_or_cancellation),
        cmocka_unit_test(queries_beyond_budget_share_requests)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
