/* Users who poll far beyond the request budget of the store. */
#include "test.h"

#include "base/log.h"
#include "day.h"

/* Users who ask twenty times as often, far beyond what the key-value store takes: submissions and
 * cancellations pass all the same, and what is too much is refused at once. */
static void questions_starve_nothing(void **state) {
    struct sim *sim = day_new(60, 3);
    int late = 0;
    int cancelled = 0;
    (void)state;
    sim->has_eager_users = true;
    for (int i = 0; i < 100; i++)
        sim_submit(sim, 1 + i, "sweep", 2, 1, 6, i % 4 ? 0 : 11 + i);
    sim_run(sim, 40);
    unsigned long polls = sim->n_polls;
    unsigned long reads = sim->n_state_reads + sim->n_comparisons;
    sim_run(sim, 60);
    polls = sim->n_polls - polls;
    reads = sim->n_state_reads + sim->n_comparisons - reads;
    assert_more_than(polls, 60 * 250);         /* asked */
    assert_less_than((double)reads, 60 * 200); /* and what the settings allow */
    sim_run(sim, 20);
    for (int i = 0; i < 100; i++) {
        late += sim->jobs[i].accepted_at > 1 + i + 1.5;
        cancelled += i % 4 == 0 && (sim->jobs[i].reported_done || sim->jobs[i].reported_cancelled);
    }
    assert_at_most(late, 2);
    assert_int_equal(cancelled, 25);
    sim_end_faults(sim);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Questions beyond the budget share requests: hundreds of users who ask about running jobs were
 * refused two times in three (incidents 5bf9 and 092b). */
static void questions_are_answered_together(void **state) {
    struct sim *sim = day_new(61, 3);
    (void)state;
    day_submit_arrays(sim, 100, 1, 0.2, 2, 1, 200);
    sim_run(sim, 40);
    sim->has_eager_users = true;
    sim_run(sim, 5);
    unsigned long polls = sim->n_polls;
    unsigned long known = sim->n_polls_answered;
    unsigned long requests = sim->n_state_reads + sim->n_comparisons;
    sim_run(sim, 40);
    polls = sim->n_polls - polls;
    known = sim->n_polls_answered - known;
    requests = sim->n_state_reads + sim->n_comparisons - requests;
    assert_more_than(polls, 40 * 400);
    assert_less_than((double)requests, 40 * 200 * 0.6);
    if ((double)known < 0.97 * (double)polls)
        fail_msg("questions that got the job's state: %lu of %lu", known, polls);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(questions_starve_nothing),
                                       cmocka_unit_test(questions_are_answered_together)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
