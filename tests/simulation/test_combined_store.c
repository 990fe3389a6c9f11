/* The store refuses the leader, is out, carries transactions out late, or loses answers, in
 * combination with other faults. */
#include "test.h"

#include <math.h>
#include "base/log.h"
#include "day.h"

static void refused_then_out(unsigned long seed, const struct sim_size *size, double refused_s,
                             double outage_after, double outage_s, double cancel_after) {
    struct sim *sim = sim_new_sized(seed, &day_no_faults, SIM_NO_BREAKAGE, 3, size);
    int confirmed = 0;
    int running = 0;
    day_submit_arrays(sim, 5, 1, 0, 12, 1, 150);
    day_run(sim, 45);
    running = day_count_all_running_tasks(sim);
    assert_at_least(running, 50);
    int leader = sim_leader(sim);
    double start = sim->now;
    sim->nodes[leader].store_refusal_until = start + refused_s;
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = start + cancel_after;
    day_run(sim, outage_after);
    for (int i = 0; i < 5; i++)
        confirmed += sim->jobs[i].reported_cancelled;
    /* The meeting came about: users were told by others, the leader didn't hear of it. */
    assert_at_least(confirmed, 1);
    assert_true(rp_jobs_staleness_s(&sim->nodes[leader].node->jobs) > 0);
    sim->store_outage_until = sim->now + outage_s;
    day_run(sim, fmax(sim->size.cancel_s + 20, outage_s + 20));
    day_end(sim);
}

/* Refused alone for a moment, then an outage for longer than cancel_s; the refusal ends before the
 * outage, in it and after it. The workers send their heartbeats to the old leader all along. */
static void leader_refused_then_outage(void **state) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    const struct sim_size *sizes[] = {&small, &day_large_limits};
    (void)state;
    for (int k = 0; k < 2; k++)
        for (unsigned long seed = 1; seed <= 3; seed++) {
            double outage = sizes[k]->cancel_s + 12;
            refused_then_out(seed, sizes[k], 14, 2, outage, 0);
            refused_then_out(seed + 10, sizes[k], 1.8, 2, outage, 0.1);
            refused_then_out(seed + 20, sizes[k], outage + 20, 2, outage, 0.1);
            refused_then_out(seed + 30, sizes[k], 9.5, 9, outage, 6);
        }
}

/* An outage that the leader's lease outlives again and again: leases have their full time after
 * each, and the leader is refused whenever there is none. Nobody else can lead, and it hears of
 * nothing. */
static void leader_refused_between_outages(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim =
            sim_new_sized(seed, &day_no_faults, SIM_NO_BREAKAGE, 3, &day_large_limits);
        int confirmed = 0;
        day_submit_arrays(sim, 5, 1, 0, 12, 1, 150);
        day_run(sim, 45);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 5 * 9;
        for (int i = 0; i < 5; i++)
            sim->jobs[i].cancel_at = sim->now;
        for (int outage = 0; outage < 5; outage++) {
            day_run(sim, 3);
            for (int i = 0; i < 5; i++)
                confirmed += sim->jobs[i].reported_cancelled;
            sim->store_outage_until = sim->now + 6;
            day_run(sim, 6);
        }
        assert_at_least(confirmed, 1);
        day_end(sim);
    }
}

/* An old leader that is let in again after an outage, its lease alive, has heard nothing for long:
 * it answers no worker before it has read what was written. */
static void leader_catches_up_before_it_answers(void **state) {
    struct sim *sim = sim_new_sized(50, &day_no_faults, SIM_NO_BREAKAGE, 3, &day_large_limits);
    (void)state;
    day_submit_arrays(sim, 5, 1, 0, 12, 1, 200);
    day_run(sim, 45);
    int leader = sim_leader(sim);
    struct rp_node *node = sim->nodes[leader].node;
    unsigned long life = sim->nodes[leader].process_number;
    uint64_t token = node->election.fencing_token;
    double most = rp_settings_max_staleness_s(node->settings);
    sim->nodes[leader].store_refusal_until = sim->now + 2;
    sim->jobs[0].cancel_at = sim->now;
    day_run(sim, 1.9);
    assert_true(sim->jobs[0].reported_cancelled);
    sim->store_outage_until = sim->now + 18;
    day_run(sim, 17.9);
    assert_true(rp_jobs_staleness_s(&node->jobs) > most);
    assert_false(rp_jobs_may_answer_heartbeats(&node->jobs));
    for (int i = 0; i < 400 && !rp_jobs_may_answer_heartbeats(&node->jobs); i++)
        day_run(sim, 0.02);
    /* It leads on, knows of the cancellation before it answers, and no task of it is let run on. */
    assert_true(sim->nodes[leader].process_number == life && node->election.fencing_token == token);
    const struct rp_job *job = rp_jobs_find(&node->jobs, sim->jobs[0].spec.id);
    assert_true(!job || job->state == RP_JOB_CLOSED);
    day_run(sim, 8);
    assert_int_equal(day_count_running_tasks(sim, 0), 0);
    assert_true(node->election.fencing_token == token);
    day_end(sim);
}

/* While other nodes confirm cancellations that the refused leader can't hear of, it starts nothing:
 * it went on for 9 s. */
static void refused_leader_starts_nothing(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 60; seed < 66; seed++) {
        struct sim *sim = day_new(seed, 3);
        day_submit_arrays(sim, 40, 1, 0, 12, 1, 4);
        day_run(sim, 30);
        sim->nodes[sim_leader(sim)].store_refusal_until = sim->now + 12;
        for (int i = 0; i < 40; i++)
            sim->jobs[i].cancel_at = sim->now + 0.1;
        day_run(sim, 30);
        for (int i = 0; i < 40; i++)
            confirmed += sim->jobs[i].reported_cancelled;
        /* A look at the others takes 2 s at the most, a start's answer is on its way for less. */
        assert_less_than(sim->start_after_cancel_s, 2.6);
        day_end(sim);
    }
    assert_at_least(confirmed, 60);
}

/* No answer, and carried out seconds later, after newer ones of the same node. */
static void delayed_transactions(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.15, .crash_s = 40};
    unsigned long late = 0; /* counted, to show that the meeting came about */
    (void)state;
    for (unsigned long seed = 200; seed < 208; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        day_submit_long_work(sim, 30);
        sim->jobs[0].cancel_at = 45;
        sim->jobs[1].cancel_on_acceptance = true;
        for (int i = 0; i < 20; i++)
            sim_submit(sim, 25 + i * 4, "sweep", 1 + (unsigned)i % 4, 1, 5, i % 5 ? 0 : 30 + i * 4);
        day_run(sim, 120);
        late += sim->n_delayed_writes;
        day_end(sim);
    }
    assert_at_least(late, 100);
}

static size_t n_stored_results(struct sim *sim, const char *job, uint32_t n_tasks) {
    size_t stored = 0;
    for (uint32_t task = 0; task < n_tasks; task++)
        stored += sim_has_stored_result(sim, job, task);
    return stored;
}

/* A write of progress that comes late took results away that a newer one held: their workers had
 * forgotten them, and after a change of leader the tasks ran again. */
static void delayed_progress_takes_nothing_away(void **state) {
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *sim = day_new(seed, 3);
        int j = sim_submit(sim, 1, "sweep", 40, 1, 5, 0);
        sim->jobs[j].stagger_s = 0.8;
        size_t most = 0;
        day_run(sim, 12);
        sim->faults.delayed_write = 0.4;
        for (int i = 0; i < 300 && !sim->jobs[j].reported_done; i++) {
            day_run(sim, 0.1);
            size_t stored = n_stored_results(sim, sim->jobs[j].spec.id, 40);
            /* (The record goes when the job is over.) */
            if (stored > 0 || sim_count_stored(sim, RP_KEY_OPEN) > 0)
                assert_at_least(stored, most);
            most = stored > most ? stored : most;
        }
        assert_at_least(most, 5);
        late += sim->n_delayed_writes;
        day_end(sim);
    }
    assert_at_least(late, 20);
}

/* Carried out at once, only the answer is lost, while others read what it wrote. */
static void dropped_answers(void **state) {
    static const struct sim_faults faults = {.dropped_answer = 0.3, .crash_s = 50};
    unsigned long lost = 0;
    (void)state;
    for (unsigned long seed = 220; seed < 228; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        sim->has_concurrent_reads = true;
        day_submit_long_work(sim, 30);
        sim->jobs[0].cancel_at = 40;
        sim->jobs[4].cancel_on_acceptance = true;
        day_run(sim, 100);
        lost += sim->n_dropped_answers;
        assert_at_least(sim->n_concurrent_reads, 50);
        day_end(sim);
    }
    assert_at_least(lost, 150);
}

/* More work than capacity, urgent and not, over slow links to the key-value store. */
static void more_work_than_room(void **state) {
    static const struct sim_faults faults = {.slow_store = 0.3, .drop = 0.02};
    (void)state;
    for (unsigned long seed = 530; seed < 533; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_NO_BREAKAGE, 3);
        for (int i = 0; i < 30; i++)
            sim_submit(sim, 1 + i * 2, i % 5 ? "sweep" : "ensemble", i % 5 ? 20 : 3, i % 5 ? 2 : 8,
                       15, i % 7 ? 0 : 40 + i);
        day_run(sim, 100);
        sim_end_faults(sim);
        day_run(sim, 200);
        day_end(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(leader_refused_then_outage),
                                       cmocka_unit_test(leader_refused_between_outages),
                                       cmocka_unit_test(leader_catches_up_before_it_answers),
                                       cmocka_unit_test(refused_leader_starts_nothing),
                                       cmocka_unit_test(delayed_transactions),
                                       cmocka_unit_test(delayed_progress_takes_nothing_away),
                                       cmocka_unit_test(dropped_answers),
                                       cmocka_unit_test(more_work_than_room)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
