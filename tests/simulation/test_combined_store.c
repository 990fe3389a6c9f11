/* The key-value store refuses the leader, has an outage, carries transactions out late, or its
 * responses are lost, combined with other faults. After each step rules.c checks the safety rules
 * of PROTOCOL, such as: no task runs on two machines, no task of a cancelled job runs more than
 * cancel_s after the confirmation, no job is forgotten. Every test fails if a rule is violated or
 * an accepted job does not end. */
#include "test.h"

#include <math.h>
#include "base/log.h"
#include "internal.h"
#include "scenario.h"

static void run_refusal_then_outage(unsigned long seed, const struct sim_size *size,
                                    double refused_s, double outage_after_s, double outage_s,
                                    double cancel_after_s) {
    struct sim *sim = sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE, 3, size);
    int n_confirmed = 0;
    int n_running = 0;
    scenario_submit_arrays(sim, 5, 1, 0, 12, 1, 150);
    scenario_run(sim, 45);
    n_running = scenario_count_all_running_tasks(sim);
    assert_at_least(n_running, 50);
    int leader = sim_leader(sim);
    double refused_at = sim->now;
    sim->nodes[leader].store_refusal_until = refused_at + refused_s;
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = refused_at + cancel_after_s;
    scenario_run(sim, outage_after_s);
    for (int i = 0; i < 5; i++)
        n_confirmed += sim->jobs[i].reported_cancelled;
    /* The combination has occurred: other nodes have confirmed cancellations to users, and the
     * leader has not been able to read them. */
    assert_at_least(n_confirmed, 1);
    assert_true(rp_jobs_staleness_s(&sim->nodes[leader].node->jobs) > 0);
    sim->store_outage_until = sim->now + outage_s;
    scenario_run(sim, fmax(sim->size.cancel_s + 20, outage_s + 20));
    scenario_end(sim);
}

/* The key-value store refuses the leader alone, so that other nodes confirm cancellations that the
 * leader has not read. Then an outage for longer than cancel_s keeps every other node from becoming
 * the leader, and the workers send their heartbeats to the old leader all the time. The refusal
 * ends before, during or after the outage. */
static void cancellations_hold_when_leader_is_refused_before_outage(void **state) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    const struct sim_size *sizes[] = {&small, &scenario_large_limits};
    (void)state;
    for (int k = 0; k < 2; k++)
        for (unsigned long seed = 1; seed <= 3; seed++) {
            double outage_s = sizes[k]->cancel_s + 12;
            run_refusal_then_outage(seed, sizes[k], 14, 2, outage_s, 0);
            run_refusal_then_outage(seed + 10, sizes[k], 1.8, 2, outage_s, 0.1);
            run_refusal_then_outage(seed + 20, sizes[k], outage_s + 20, 2, outage_s, 0.1);
            run_refusal_then_outage(seed + 30, sizes[k], 9.5, 9, outage_s, 6);
        }
}

/* Five outages of 6 s follow one another, 3 s apart. The key-value store extends all leases to
 * their full time after an outage, so the leader's lease outlives each outage and no other node can
 * become the leader. Between the outages the key-value store refuses the leader, which therefore
 * reads none of the cancellations that other nodes confirm. */
static void cancellations_hold_when_leader_is_refused_between_outages(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim =
            sim_new_sized(seed, &scenario_no_faults, SIM_NO_BREAKAGE, 3, &scenario_large_limits);
        int n_confirmed = 0;
        scenario_submit_arrays(sim, 5, 1, 0, 12, 1, 150);
        scenario_run(sim, 45);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 5 * 9;
        for (int i = 0; i < 5; i++)
            sim->jobs[i].cancel_at = sim->now;
        for (int outage = 0; outage < 5; outage++) {
            scenario_run(sim, 3);
            for (int i = 0; i < 5; i++)
                n_confirmed += sim->jobs[i].reported_cancelled;
            sim->store_outage_until = sim->now + 6;
            scenario_run(sim, 6);
        }
        assert_at_least(n_confirmed, 1);
        scenario_end(sim);
    }
}

/* The key-value store refuses the leader, and then has an outage, during which the leader's lease
 * does not expire. When the store responds to the leader again, what the leader has read is older
 * than the allowed staleness. The leader must read the changes written meanwhile before it responds
 * to a worker. */
static void stale_leader_reads_changes_before_it_answers_heartbeats(void **state) {
    struct sim *sim =
        sim_new_sized(50, &scenario_no_faults, SIM_NO_BREAKAGE, 3, &scenario_large_limits);
    (void)state;
    scenario_submit_arrays(sim, 5, 1, 0, 12, 1, 200);
    scenario_run(sim, 45);
    int leader = sim_leader(sim);
    struct rp_node *node = sim->nodes[leader].node;
    unsigned long process_number = sim->nodes[leader].process_number;
    uint64_t token = node->election.fencing_token;
    double max_staleness_s = rp_settings_max_staleness_s(node->settings);
    sim->nodes[leader].store_refusal_until = sim->now + 2;
    sim->jobs[0].cancel_requested = true;
    sim_send_for_user(sim, 0, USER_CANCELS, (leader + 1) % sim->n_nodes);
    scenario_run(sim, 1.9);
    assert_true(sim->jobs[0].reported_cancelled);
    sim->store_outage_until = sim->now + 18;
    scenario_run(sim, 17.9);
    assert_true(rp_jobs_staleness_s(&node->jobs) > max_staleness_s);
    assert_false(rp_jobs_may_answer_heartbeats(&node->jobs));
    for (int i = 0; i < 400 && !rp_jobs_may_answer_heartbeats(&node->jobs); i++)
        scenario_run(sim, 0.02);
    /* The same process leads in the same term, has read the cancellation before it responds
     * to heartbeats, and lets no task of the cancelled job continue. */
    assert_true(sim->nodes[leader].process_number == process_number &&
                node->election.fencing_token == token);
    const struct rp_job *job = rp_jobs_find(&node->jobs, sim->jobs[0].spec.id);
    assert_true(!job || job->state == RP_JOB_CLOSED);
    scenario_run(sim, 8);
    assert_int_equal(scenario_count_running_tasks(sim, 0), 0);
    assert_true(node->election.fencing_token == token);
    scenario_end(sim);
}

/* The key-value store refuses the leader alone, and other nodes confirm cancellations that the
 * leader cannot read. Fault: the leader continued to start tasks for 9 s, among them tasks of the
 * cancelled jobs. The leader must start nothing in that time: no task of a cancelled job may start
 * 2.6 s or more after the confirmation. */
static void leader_refused_by_store_starts_no_task(void **state) {
    int n_confirmed = 0;
    (void)state;
    for (unsigned long seed = 60; seed < 66; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        scenario_submit_arrays(sim, 40, 1, 0, 12, 1, 4);
        scenario_run(sim, 30);
        sim->nodes[sim_leader(sim)].store_refusal_until = sim->now + 12;
        for (int i = 0; i < 40; i++)
            sim->jobs[i].cancel_at = sim->now + 0.1;
        scenario_run(sim, 30);
        for (int i = 0; i < 40; i++)
            n_confirmed += sim->jobs[i].reported_cancelled;
        /* The leader queries the other nodes whether the store responds to them, which takes at
         * most 2 s; a response that contains a start is in transit for less than that. */
        assert_less_than(sim->start_after_cancel_s, 2.6);
        scenario_end(sim);
    }
    assert_at_least(n_confirmed, 60);
}

/* Transactions get no response and are carried out seconds later, after newer transactions of the
 * same node, while nodes crash. */
static void delayed_transactions_break_no_rule(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.15, .crash_s = 40};
    unsigned long n_delayed_writes = 0; /* counted to check that the fault occurred */
    (void)state;
    for (unsigned long seed = 200; seed < 208; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        scenario_submit_long_work(sim, 30);
        sim->jobs[0].cancel_at = 45;
        sim->jobs[1].cancel_on_acceptance = true;
        for (int i = 0; i < 20; i++)
            sim_submit(sim, 25 + i * 4, "sweep", 1 + (unsigned)i % 4, 1, 5, i % 5 ? 0 : 30 + i * 4);
        scenario_run(sim, 120);
        n_delayed_writes += sim->n_delayed_writes;
        scenario_end(sim);
    }
    assert_at_least(n_delayed_writes, 100);
}

static size_t n_stored_results(struct sim *sim, const char *job, uint32_t n_tasks) {
    size_t n_stored = 0;
    for (uint32_t task = 0; task < n_tasks; task++)
        n_stored += sim_has_stored_result(sim, job, task);
    return n_stored;
}

/* Fault: a delayed write of progress removed results that a newer write had stored. The workers had
 * already forgotten these results, so the tasks ran again after a change of the leader. The number
 * of stored results may never decrease while the job is open. */
static void delayed_write_of_progress_removes_no_result(void **state) {
    unsigned long n_delayed_writes = 0;
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *sim = scenario_new(seed, 3);
        int array = sim_submit(sim, 1, "sweep", 40, 1, 5, 0);
        sim->jobs[array].stagger_s = 0.8;
        size_t n_stored_max = 0;
        scenario_run(sim, 12);
        sim->faults.delayed_write = 0.4;
        for (int i = 0; i < 300 && !sim->jobs[array].reported_done; i++) {
            scenario_run(sim, 0.1);
            size_t n_stored = n_stored_results(sim, sim->jobs[array].spec.id, 40);
            /* The record is deleted when the job has ended. */
            if (n_stored > 0 || sim_count_stored(sim, RP_KEY_OPEN) > 0)
                assert_at_least(n_stored, n_stored_max);
            n_stored_max = n_stored > n_stored_max ? n_stored : n_stored_max;
        }
        assert_at_least(n_stored_max, 5);
        n_delayed_writes += sim->n_delayed_writes;
        scenario_end(sim);
    }
    assert_at_least(n_delayed_writes, 20);
}

/* Transactions are carried out at once and only their responses are lost, while users read from all
 * nodes what the transactions wrote, and nodes crash. */
static void lost_transaction_answers_break_no_rule(void **state) {
    static const struct sim_faults faults = {.dropped_answer = 0.3, .crash_s = 50};
    unsigned long n_dropped_answers = 0;
    (void)state;
    for (unsigned long seed = 220; seed < 228; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        scenario_submit_long_work(sim, 30);
        sim->jobs[0].cancel_at = 40;
        sim->jobs[4].cancel_on_acceptance = true;
        scenario_run(sim, 100);
        n_dropped_answers += sim->n_dropped_answers;
        assert_at_least(sim->n_concurrent_reads, 50);
        scenario_end(sim);
    }
    assert_at_least(n_dropped_answers, 150);
}

/* More work than the machines have capacity for, urgent gangs and arrays of low priority, with slow
 * responses of the key-value store and lost messages. All jobs must still end. */
static void work_beyond_capacity_ends_despite_slow_store(void **state) {
    static const struct sim_faults faults = {.slow_store = 0.3, .drop = 0.02};
    (void)state;
    for (unsigned long seed = 530; seed < 533; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 30; i++)
            sim_submit(sim, 1 + i * 2, i % 5 ? "sweep" : "ensemble", i % 5 ? 20 : 3, i % 5 ? 2 : 8,
                       15, i % 7 ? 0 : 40 + i);
        scenario_run(sim, 100);
        sim_end_faults(sim);
        scenario_run(sim, 200);
        scenario_end(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(cancellations_hold_when_leader_is_refused_before_outage),
        cmocka_unit_test(cancellations_hold_when_leader_is_refused_between_outages),
        cmocka_unit_test(stale_leader_reads_changes_before_it_answers_heartbeats),
        cmocka_unit_test(leader_refused_by_store_starts_no_task),
        cmocka_unit_test(delayed_transactions_break_no_rule),
        cmocka_unit_test(delayed_write_of_progress_removes_no_result),
        cmocka_unit_test(lost_transaction_answers_break_no_rule),
        cmocka_unit_test(work_beyond_capacity_ends_despite_slow_store)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
