/* Days on which two troubles meet, as the operators met them (docs/safety.md has the list). The
 * rules are checked after each step (sim_check.c); each test shows besides that its meeting came
 * about. */
#include "test.h"

#include "base/log.h"
#include "sim.h"

#define REST_S 250

static const struct sim_faults none = {0};

/* Ends all troubles, and lets everything that was accepted come to its end. */
static void rest(struct sim *sim) {
    sim_end_faults(sim);
    sim_run(sim, REST_S);
    sim_check_served(sim);
    if (sim->violation[0])
        fail_msg("%s", sim->violation);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

static void run(struct sim *sim, double seconds) {
    sim_run(sim, seconds);
    if (sim->violation[0])
        fail_msg("%s", sim->violation);
}

static struct rp_node *leader_of(const struct sim *sim) {
    assert_true(sim_leader(sim) >= 0);
    return sim->nodes[sim_leader(sim)].node;
}

/* Ends the leader's process; where nobody leads just then, the next one's. */
static void crash_leader(struct sim *sim, double back_s) {
    for (int i = 0; i < 200 && sim_leader(sim) < 0; i++)
        run(sim, 0.1);
    assert_true(sim_leader(sim) >= 0);
    sim_crash(sim, sim_leader(sim), back_s);
}

static int running_tasks(const struct sim *sim, int job) {
    int n = 0;
    for (int i = 0; i < sim->size.workers; i++)
        for (int k = 0;
             sim->workers[i].used && sim->workers[i].alive && k < sim->workers[i].n_tasks; k++)
            n += sim->workers[i].tasks[k].job_index == job &&
                 sim->workers[i].tasks[k].state == RP_TASK_RUNNING;
    return n;
}

static int all_running(const struct sim *sim) {
    int n = 0;
    for (int j = 0; j < sim->n_jobs; j++)
        n += running_tasks(sim, j);
    return n;
}

/* Some work of every kind, long enough to be met by troubles. */
static void submit_some(struct sim *sim, double run_s) {
    sim_submit(sim, 1, "sweep", 20, 1, run_s, 0);
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 2, "ensemble", 3, 4, run_s / 2, 0);
    sim_submit(sim, 4, "sweep", 3, 1, run_s / 2, 0);
    sim_submit(sim, 20, "sweep", 30, 1, 6, 0);
    sim_submit(sim, 30, "ensemble", 2, 6, 10, 0);
}

/* ---- the state service refuses the leader alone, and then everybody ---- */

static const struct sim_size wide = {64, 6, 4, 22, 47, 800, 80, 10};

static void refused_then_out(unsigned long seed, const struct sim_size *size, double refused_s,
                             double outage_after, double outage_s, double cancel_after) {
    struct sim *sim = sim_new_sized(seed, &none, SIM_SOUND, 3, size);
    int confirmed = 0;
    int running = 0;
    for (int i = 0; i < 5; i++)
        sim_submit(sim, 1, "sweep", 12, 1, 150, 0);
    run(sim, 45);
    running = all_running(sim);
    assert_true(running >= 50);
    int leader = sim_leader(sim);
    double start = sim->now;
    sim->nodes[leader].store_refusal_until = start + refused_s;
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = start + cancel_after;
    run(sim, outage_after);
    for (int i = 0; i < 5; i++)
        confirmed += sim->jobs[i].told_cancelled;
    /* The meeting came about: users were told by others, the leader didn't hear of it. */
    assert_true(confirmed >= 1);
    assert_true(rp_jobs_staleness_s(&sim->nodes[leader].node->jobs) > 0);
    sim->store_outage_until = sim->now + outage_s;
    run(sim, fmax(sim->size.cancel_s + 20, outage_s + 20));
    rest(sim);
}

/* Refused alone for a moment, then an outage for longer than cancel_s; the refusal ends before the
 * outage, in it and after it. The workers report to the old leader all along. */
static void leader_refused_then_outage(void **state) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    const struct sim_size *sizes[] = {&small, &wide};
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
 * each, and the leader is refused whenever there is none. Nobody can take over, and it hears of
 * nothing. */
static void leader_refused_between_outages(void **state) {
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim = sim_new_sized(seed, &none, SIM_SOUND, 3, &wide);
        int confirmed = 0;
        for (int i = 0; i < 5; i++)
            sim_submit(sim, 1, "sweep", 12, 1, 150, 0);
        run(sim, 45);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 5 * 9;
        for (int i = 0; i < 5; i++)
            sim->jobs[i].cancel_at = sim->now;
        for (int round = 0; round < 5; round++) {
            run(sim, 3);
            for (int i = 0; i < 5; i++)
                confirmed += sim->jobs[i].told_cancelled;
            sim->store_outage_until = sim->now + 6;
            run(sim, 6);
        }
        assert_true(confirmed >= 1);
        rest(sim);
    }
}

/* An old leader that is let in again after an outage, its lease alive, has heard nothing for long:
 * it answers no worker before it has read what was written. */
static void leader_catches_up_before_it_answers(void **state) {
    struct sim *sim = sim_new_sized(50, &none, SIM_SOUND, 3, &wide);
    (void)state;
    for (int i = 0; i < 5; i++)
        sim_submit(sim, 1, "sweep", 12, 1, 200, 0);
    run(sim, 45);
    int leader = sim_leader(sim);
    struct rp_node *node = sim->nodes[leader].node;
    unsigned long life = sim->nodes[leader].process_number;
    uint64_t token = node->election.fencing_token;
    double most = rp_settings_max_staleness_s(node->settings);
    sim->nodes[leader].store_refusal_until = sim->now + 2;
    sim->jobs[0].cancel_at = sim->now;
    run(sim, 1.9);
    assert_true(sim->jobs[0].told_cancelled);
    sim->store_outage_until = sim->now + 18;
    run(sim, 17.9);
    assert_true(rp_jobs_staleness_s(&node->jobs) > most);
    assert_false(rp_jobs_may_answer_heartbeats(&node->jobs));
    for (int i = 0; i < 400 && !rp_jobs_may_answer_heartbeats(&node->jobs); i++)
        run(sim, 0.02);
    /* It leads on, knows of the cancellation before it answers, and no task of it is let run on. */
    assert_true(sim->nodes[leader].process_number == life && node->election.fencing_token == token);
    const struct rp_job *job = rp_jobs_find(&node->jobs, sim->jobs[0].spec.id);
    assert_true(!job || job->state == RP_JOB_CLOSED);
    run(sim, 8);
    assert_int_equal(running_tasks(sim, 0), 0);
    assert_true(node->election.fencing_token == token);
    rest(sim);
}

/* While other nodes confirm cancellations that the refused leader can't hear of, it starts nothing:
 * it went on for 9 s. */
static void refused_leader_starts_nothing(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 60; seed < 66; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 40; i++)
            sim_submit(sim, 1, "sweep", 12, 1, 4, 0);
        run(sim, 30);
        sim->nodes[sim_leader(sim)].store_refusal_until = sim->now + 12;
        for (int i = 0; i < 40; i++)
            sim->jobs[i].cancel_at = sim->now + 0.1;
        run(sim, 30);
        for (int i = 0; i < 40; i++)
            confirmed += sim->jobs[i].told_cancelled;
        /* A look at the others takes 2 s at the most, a start's answer is on its way for less. */
        assert_true(sim->start_after_cancel_s < 2.6);
        rest(sim);
    }
    assert_true(confirmed >= 60);
}

/* ---- changes of leader ---- */

/* Jobs are cancelled in the very seconds in which the work of one node goes to another: by an end,
 * a restart within a split second, or leadership given up. */
static void cancelled_while_work_changes_hands(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 100; seed < 108; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, 1, "sweep", 6, 1, 120, 0);
        run(sim, 40);
        uint64_t token = leader_of(sim)->election.fencing_token;
        for (int i = 0; i < 10; i++)
            sim->jobs[i].cancel_at = sim->now - 0.5 + 0.5 * i;
        if (seed % 3 == 0)
            crash_leader(sim, 3);
        else if (seed % 3 == 1)
            crash_leader(sim, 0.2);
        else
            rp_election_resign(&leader_of(sim)->election, 5);
        run(sim, 16);
        assert_true(leader_of(sim)->election.fencing_token > token);
        for (int i = 0; i < 10; i++)
            confirmed += sim->jobs[i].told_cancelled;
        rest(sim);
    }
    assert_true(confirmed >= 70);
}

/* The first answers of a new leader came without stops, and renewed the leases of cancelled tasks:
 * a machine that hung right then ran them for one more lease. Here the old leader is refused by the
 * state service, an outage gives its key another 10 s, and its workers still hold their leases when
 * the new one begins, more than cancel_s - lease_s after the cancellations. */
static void first_answers_carry_stops(void **state) {
    int hung = 0;
    (void)state;
    for (unsigned long seed = 110; seed < 116; seed++) {
        struct sim *sim = sim_new_sized(seed, &none, SIM_SOUND, 3, &wide);
        for (int i = 0; i < 5; i++)
            sim_submit(sim, 1, "sweep", 12, 1, 100, 0);
        run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].store_refusal_until = sim->now + 60;
        for (int i = 0; i < 3; i++)
            sim->jobs[i].cancel_at = sim->now;
        run(sim, 2.5);
        assert_true(sim->jobs[0].told_cancelled || sim->jobs[1].told_cancelled);
        sim->store_outage_until = sim->now + 8;
        run(sim, 8);
        for (int i = 0; i < 1000 && (sim_leader(sim) < 0 || sim_leader(sim) == leader); i++)
            run(sim, 0.02);
        assert_true(sim_leader(sim) != leader);
        for (int i = 0; i < 150; i++) {
            run(sim, 0.02);
            for (int k = 0; k < sim->size.workers; k++) {
                struct sim_worker *worker = &sim->workers[k];
                /* It hangs as soon as it has taken the new leader's first answer. */
                if (worker->used && worker->up && worker->n_tasks > 0 &&
                    worker->paused_until <= 0 && worker->incarnation == 1 &&
                    worker->fencing_token == leader_of(sim)->election.fencing_token) {
                    worker->paused_until = sim->now + 21;
                    hung++;
                }
            }
        }
        run(sim, 40);
        rest(sim);
    }
    assert_true(hung >= 20);
}

/* A machine that is about to go back was answered without stops, while the cloud didn't answer. */
static void returning_machine_gets_stops(void **state) {
    struct sim *sim = sim_new(118, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 5; i++)
        sim_submit(sim, 1, "sweep", 12, 1, 100, 0);
    run(sim, 40);
    struct rp_node *node = leader_of(sim);
    int on_it = 0;
    sim->cloud_outage_until = sim->now + 60;
    for (struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        if (machine->state == RP_MACHINE_UP && machine->n_allocations > 0) {
            on_it += (int)machine->n_allocations;
            rp_fleet_scale_in(&node->fleet, machine, "to see what becomes of its tasks");
        }
    assert_true(on_it >= 50);
    run(sim, 1);
    for (int i = 0; i < 5; i++)
        sim->jobs[i].cancel_at = sim->now;
    run(sim, 8);
    assert_int_equal(all_running(sim), 0);
    rest(sim);
}

static void ten_leaders(void **state) {
    (void)state;
    for (unsigned long seed = 120; seed < 124; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        unsigned changes = 0;
        submit_some(sim, 40);
        run(sim, 20);
        for (int i = 0; i < 12; i++) {
            sim->jobs[i % sim->n_jobs].cancel_at = i == 5 ? sim->now : 0;
            uint64_t token = sim_leader(sim) >= 0 ? leader_of(sim)->election.fencing_token : 0;
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.1 : 3);
            if (i == 6)
                sim->store_outage_until = sim->now + 12;
            run(sim, 10);
            changes += sim_leader(sim) >= 0 && leader_of(sim)->election.fencing_token != token;
        }
        assert_true(changes >= 10);
        rest(sim);
    }
}

/* Nodes hand over and back, all end, and one returns, all within seconds. */
static void hand_over_and_back(void **state) {
    (void)state;
    for (unsigned long seed = 130; seed < 136; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        submit_some(sim, 60);
        run(sim, 25);
        int first = sim_leader(sim);
        for (int turn = 0; turn < 4; turn++) {
            if (sim_leader(sim) >= 0)
                rp_election_resign(&leader_of(sim)->election, 1);
            run(sim, 0.3 + 0.7 * (turn % 2));
            sim->jobs[turn].cancel_at = turn == 1 ? sim->now : 0;
        }
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, i == first ? 0.05 + 0.1 * (double)(seed % 8) : 25);
        run(sim, 13);                             /* another's key takes its lease to go */
        assert_int_equal(sim_leader(sim), first); /* alone, and back within a second */
        run(sim, 30);
        rest(sim);
    }
}

/* Every node is away for longer than the workers' lease. */
static void all_nodes_away(void **state) {
    (void)state;
    for (unsigned long seed = 140; seed < 144; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        submit_some(sim, 60);
        run(sim, 25);
        sim->jobs[0].cancel_at = sim->now - 0.3;
        run(sim, 0.1);
        for (int i = 0; i < sim->n_nodes; i++)
            sim_crash(sim, i, sim->size.lease_s + 3 + i);
        run(sim, sim->size.lease_s + 2);
        assert_int_equal(all_running(sim), 0);
        rest(sim);
    }
}

/* The tasks of a job end far apart, the leader changes in between, and writes come late: no result
 * is lost that a worker has forgotten. */
static void tasks_that_end_far_apart(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.3};
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 150; seed < 158; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        for (int i = 0; i < 8; i++) {
            int j = sim_submit(sim, 1 + i, "sweep", 3, 1, 6, 0);
            sim->jobs[j].stagger_s = 25;
        }
        run(sim, 30);
        crash_leader(sim, 3);
        run(sim, 60);
        late += sim->n_delayed_writes;
        rest(sim);
    }
    assert_true(late >= 100);
}

/* ---- transactions ---- */

/* No answer, and carried out seconds later, after newer ones of the same node. */
static void late_transactions(void **state) {
    static const struct sim_faults faults = {.delayed_write = 0.15, .crash_s = 40};
    unsigned long late = 0; /* counted, to show that the meeting came about */
    (void)state;
    for (unsigned long seed = 200; seed < 208; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 30);
        sim->jobs[0].cancel_at = 45;
        sim->jobs[1].cancel_on_acceptance = true;
        for (int i = 0; i < 20; i++)
            sim_submit(sim, 25 + i * 4, "sweep", 1 + (unsigned)i % 4, 1, 5, i % 5 ? 0 : 30 + i * 4);
        run(sim, 120);
        late += sim->n_delayed_writes;
        rest(sim);
    }
    assert_true(late >= 100);
}

/* A write of progress that comes late took results away that a newer one held: their workers had
 * forgotten them, and after a change of leader the tasks ran again. */
static void late_progress_takes_nothing_away(void **state) {
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 210; seed < 216; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        int j = sim_submit(sim, 1, "sweep", 40, 1, 5, 0);
        sim->jobs[j].stagger_s = 0.8;
        size_t most = 0;
        run(sim, 12);
        sim->faults.delayed_write = 0.4;
        for (int i = 0; i < 300 && !sim->jobs[j].told_done; i++) {
            size_t bits = 0;
            run(sim, 0.1);
            for (uint32_t t = 0; t < 40; t++)
                bits += sim_has_stored_result(sim, sim->jobs[j].spec.id, t);
            /* (The record goes when the job is over.) */
            if (bits > 0 || sim_count_stored(sim, RP_KEY_OPEN) > 0)
                assert_true(bits >= most);
            most = bits > most ? bits : most;
        }
        assert_true(most >= 5);
        late += sim->n_delayed_writes;
        rest(sim);
    }
    assert_true(late >= 20);
}

/* Carried out at once, only the answer is lost, while others read what it wrote. */
static void lost_answers(void **state) {
    static const struct sim_faults faults = {.dropped_answer = 0.3, .crash_s = 50};
    unsigned long lost = 0;
    (void)state;
    for (unsigned long seed = 220; seed < 228; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        sim->has_concurrent_reads = true;
        submit_some(sim, 30);
        sim->jobs[0].cancel_at = 40;
        sim->jobs[4].cancel_on_acceptance = true;
        run(sim, 100);
        lost += sim->n_dropped_answers;
        assert_true(sim->n_concurrent_reads >= 50);
        rest(sim);
    }
    assert_true(lost >= 150);
}

/* ---- users ---- */

static void four_jobs_a_second(void **state) {
    (void)state;
    for (unsigned long seed = 300; seed < 302; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 480; i++)
            sim_submit(sim, 5 + 0.25 * i, "sweep", 1, 1, 4, i % 4 ? 0 : 5.5 + 0.25 * i + i % 7);
        run(sim, 60);
        crash_leader(sim, 3);
        run(sim, 70);
        int over = 0;
        int cancelled = 0;
        for (int i = 0; i < sim->n_jobs; i++) {
            over += sim->jobs[i].told_done || sim->jobs[i].told_cancelled;
            cancelled += sim->jobs[i].told_cancelled;
        }
        assert_true(over >= 440);
        assert_true(cancelled >= 40);
        rest(sim);
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
        struct sim *sim = sim_new(seed, seed % 2 ? &none : &troubled, SIM_SOUND, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int j = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 3, 1, 2 + i % 5, 0);
            sim->jobs[j].cancel_at_end = i % 2;
            sim->jobs[j].cancel_again = true;
        }
        run(sim, 110);
        met += sim->n_cancelled_at_end;
        for (int i = 0; i < sim->n_jobs; i++) {
            done += sim->jobs[i].cancel_asked && sim->jobs[i].told_done;
            cancelled += sim->jobs[i].told_cancelled;
        }
        rest(sim);
    }
    assert_true(met >= 100);
    assert_true(done >= 10 && cancelled >= 10); /* both came first at times */
}

/* Users look at all nodes within milliseconds after a job was accepted, ended or cancelled, and
 * submit it again; some cancel at once. */
static void close_looks(void **state) {
    static const struct sim_faults faults = {
        .crash_s = 30, .store_refusal_s = 30, .drop = 0.01, .duplicate = 0.05, .slow_store = 0.1};
    (void)state;
    for (unsigned long seed = 320; seed < 326; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        sim->has_concurrent_reads = true;
        for (int i = 0; i < 40; i++) {
            int j = sim_submit(sim, 1 + i * 2, "sweep", 1 + (unsigned)i % 4, 1, 3, 0);
            sim->jobs[j].cancel_on_acceptance = i % 3 == 0;
            sim->jobs[j].cancel_again = i % 2;
        }
        run(sim, 110);
        assert_true(sim->n_concurrent_reads >= 40 * 9);
        rest(sim);
    }
}

/* What can't run, or lacks a field, is refused by every node, in trouble too, and never accepted;
 * a job that nobody submitted stays unknown. */
static void odd_requests(void **state) {
    static const struct sim_faults faults = {.invalid_request_s = 0.5,
                                             .crash_s = 30,
                                             .store_outage_s = 40,
                                             .store_refusal_s = 40,
                                             .delayed_write = 0.03};
    unsigned long answered = 0;
    unsigned long asked = 0;
    (void)state;
    for (unsigned long seed = 330; seed < 336; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 30);
        run(sim, 110);
        assert_int_equal(sim_count_stored(sim, RP_KEY_OPEN "j-9"), 0);
        assert_int_equal(sim_count_stored(sim, RP_KEY_TERMINAL "j-9"), 0);
        asked += sim->n_invalid_requests;
        answered += sim->n_invalid_refused;
        rest(sim);
    }
    assert_true(asked >= 1000 && answered * 2 > asked);
}

/* ---- machines ---- */

/* The leader ends while machines with long tasks reach no node, hang, or don't hear the new one. */
static void leader_ends_machines_out_of_reach(void **state) {
    (void)state;
    for (unsigned long seed = 400; seed < 409; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        int out = 0;
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 100, i % 2 ? 50 : 0);
        run(sim, 45);
        double until = sim->now + 5 + 5 * (double)(seed % 9);
        for (int i = 0; i < sim->size.workers; i++) {
            struct sim_worker *worker = &sim->workers[i];
            if (!worker->used || !worker->up || i % 2)
                continue;
            out++;
            *(seed % 3 == 0   ? &worker->unreachable_until
              : seed % 3 == 1 ? &worker->one_way_partition_until
                              : &worker->paused_until) = until;
        }
        assert_true(out >= 2);
        crash_leader(sim, 3);
        run(sim, 70);
        rest(sim);
    }
}

/* New machines are up within two seconds and get work at once while writes lag, and the leader ends
 * before it has recorded them. */
static void fast_machines_slow_writes(void **state) {
    static const struct sim_faults faults = {
        .fast_boot = 1, .delayed_write = 0.2, .slow_store = 0.5};
    unsigned long late = 0;
    (void)state;
    for (unsigned long seed = 410; seed < 418; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 40);
        for (int i = 0; i < 6; i++) {
            run(sim, 4 + 0.37 * (double)(seed % 5));
            sim_submit(sim, sim->now, "sweep", 12, 2, 20, 0);
            run(sim, 0.5 + 0.4 * i);
            if (sim_leader(sim) >= 0)
                sim_crash(sim, sim_leader(sim), i % 2 ? 0.3 : 4);
            run(sim, 8);
        }
        late += sim->n_delayed_writes;
        rest(sim);
    }
    assert_true(late >= 60);
}

/* Machines that reach no node while direct commands reach them, under services' direct starts. */
static void mute_machines(void **state) {
    static const struct sim_faults faults = {.unreachable_s = 8, .crash_s = 50};
    unsigned long reached = 0;
    (void)state;
    for (unsigned long seed = 420; seed < 428; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 30);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 15 + i * 10, "service", 3, 1, 0, 45 + i * 10);
        run(sim, 120);
        reached += sim->n_direct_to_unreachable;
        rest(sim);
    }
    assert_true(reached >= 10);
}

/* A command, or its answer, is held up with the machine, which then goes on; the job is cancelled
 * meanwhile, or its user's replicas are wanted elsewhere. */
static void held_up_commands(void **state) {
    static const struct sim_faults faults = {.pause_s = 5};
    unsigned long direct = 0;
    (void)state;
    for (unsigned long seed = 430; seed < 438; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 30);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, 12 + i * 8, "service", 3, 1, 0, 12.6 + i * 8 + i % 4 * 7);
        run(sim, 60);
        crash_leader(sim, 0.2);
        run(sim, 60);
        direct += sim->n_direct;
        rest(sim);
    }
    assert_true(direct >= 100);
}

/* Users call off jobs that run, their machines hang at the same moment, for less than a lease and
 * for longer; the leader changes or doesn't. */
static void cancelled_on_hung_machines(void **state) {
    int confirmed = 0;
    (void)state;
    for (unsigned long seed = 440; seed < 448; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 150, 0);
        run(sim, 40);
        sim_cancel_running(sim, 5, 4 + 4 * (double)(seed % 8));
        if (seed % 2)
            crash_leader(sim, 3);
        run(sim, 60);
        for (int i = 0; i < 8; i++)
            confirmed += sim->jobs[i].told_cancelled;
        rest(sim);
    }
    assert_int_equal(confirmed, 40);
}

/* Every team is at its limit while jobs are cancelled on machines that are cut off or hang, and the
 * leader changes: what waits may not start before the cancelled tasks are known to be gone. */
static void full_team_meets_takeover(void **state) {
    (void)state;
    for (unsigned long seed = 450; seed < 458; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 10; i++)
            sim_submit(sim, 1 + i * 0.3, "sweep", 10, 1, 60, 0);
        run(sim, 40);
        assert_true(all_running(sim) >= 55); /* of 60 */
        for (int i = 0; i < sim->size.workers; i++)
            if (sim->workers[i].used && sim->workers[i].up && i % 3 == 0)
                *(seed % 2 ? &sim->workers[i].paused_until : &sim->workers[i].unreachable_until) =
                    sim->now + 4 + 4 * (double)(seed % 8);
        sim_cancel_running(sim, 4, 0);
        crash_leader(sim, seed % 4 ? 0.2 : 3);
        run(sim, 60);
        rest(sim);
    }
}

/* Jobs that may run in one zone only lose machines, arrays too. */
static void zone_bound_jobs_lose_machines(void **state) {
    static const struct sim_faults faults = {
        .machine_crash_s = 6, .spot_notice_s = 6, .crash_s = 60};
    (void)state;
    for (unsigned long seed = 460; seed < 466; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        for (int i = 0; i < 10; i++) {
            int j = i % 3 ? sim_submit(sim, 1 + i * 5, "sweep", 10, 1, 15, 0)
                          : sim_submit(sim, 1 + i * 5, "ensemble", 3, 4, 15, 0);
            sim_set_field(sim, j, "yard", json_string(i % 2 ? "a" : "b"));
        }
        run(sim, 90);
        rest(sim);
    }
}

/* A zone with its workers and a node, the leader or another, is cut off for longer than the lease;
 * jobs are cancelled outside. */
static void cut_zone_with_its_node(void **state) {
    (void)state;
    for (unsigned long seed = 470; seed < 478; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 60, 0);
        run(sim, 40);
        int inside = seed % 2 ? sim_leader(sim) : (sim_leader(sim) + 1) % sim->n_nodes;
        sim->partitioned_zone = 1 + (int)(seed / 2 % 2);
        sim->node_in_partition = inside + 1;
        sim->nodes[inside].partitioned_until = sim->now + 30;
        for (int i = 0; i < 4; i++)
            sim->jobs[i].cancel_at = sim->now + i;
        run(sim, 30);
        sim->partitioned_zone = sim->node_in_partition = 0;
        run(sim, 30);
        for (int i = 0; i < 4; i++)
            assert_true(sim->jobs[i].told_cancelled);
        rest(sim);
    }
}

/* ---- reports ---- */

/* Copies come after newer ones, from earlier sessions and attempts too, beyond a lease; others are
 * kept until the next leader acts, and come to every node just then. */
static void old_reports(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .held_duplicate = 0.1,
                                             .pause_s = 25,
                                             .crash_s = 25,
                                             .fast_restart_s = 30};
    unsigned long kept = 0;
    unsigned long leaders = 0;
    (void)state;
    for (unsigned long seed = 500; seed < 510; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        submit_some(sim, 25);
        for (int i = 0; i < 6; i++)
            sim_submit(sim, 20 + i * 10, "sweep", 10, 2, 12, i % 3 ? 0 : 40 + i * 10);
        run(sim, 120);
        kept += sim->n_held_delivered;
        leaders += sim->n_leaders;
        rest(sim);
    }
    assert_true(kept >= 200 && leaders >= 30);
}

/* A node loses the state service and the other nodes, not its workers and users, and jobs are
 * cancelled through the new leader. */
static void lonely_leader_and_cancellations(void **state) {
    (void)state;
    for (unsigned long seed = 520; seed < 526; seed++) {
        struct sim *sim = sim_new_sized(seed, &none, SIM_SOUND, seed % 2 ? 3 : 5, &wide);
        for (int i = 0; i < 8; i++)
            sim_submit(sim, 1, "sweep", 7, 1, 120, 0);
        run(sim, 40);
        int leader = sim_leader(sim);
        sim->nodes[leader].partitioned_until = sim->now + 45;
        for (int i = 0; i < 6; i++)
            sim->jobs[i].cancel_at = sim->now + 3 * i;
        run(sim, 20);
        assert_true(sim_leader(sim) != leader);
        run(sim, 50);
        rest(sim);
    }
}

/* More work than room, urgent and not, over slow links to the state service. */
static void more_work_than_room(void **state) {
    static const struct sim_faults faults = {.slow_store = 0.3, .drop = 0.02};
    (void)state;
    for (unsigned long seed = 530; seed < 533; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        for (int i = 0; i < 30; i++)
            sim_submit(sim, 1 + i * 2, i % 5 ? "sweep" : "ensemble", i % 5 ? 20 : 3, i % 5 ? 2 : 8,
                       15, i % 7 ? 0 : 40 + i);
        run(sim, 100);
        sim_end_faults(sim);
        run(sim, 200);
        rest(sim);
    }
}

/* ---- any of them, by chance ---- */

/* Two to four kinds of trouble at a time, drawn with their strength. */
static void random_meetings(void **state) {
    (void)state;
    for (unsigned long seed = 600; seed < 630; seed++) {
        struct sim_faults faults = {0};
        gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
        gsl_rng_set(rng, seed);
        double *const often[] = {&faults.crash_s,         &faults.store_outage_s,
                                 &faults.store_refusal_s, &faults.pause_s,
                                 &faults.machine_crash_s, &faults.node_pause_s,
                                 &faults.spot_notice_s,   &faults.one_way_partition_s,
                                 &faults.unreachable_s,   &faults.partitioned_node_s,
                                 &faults.fast_restart_s,  &faults.peer_partition_s};
        double *const shares[] = {
            &faults.drop,           &faults.delay,          &faults.duplicate,
            &faults.late_duplicate, &faults.slow_store,     &faults.delayed_write,
            &faults.dropped_answer, &faults.held_duplicate, &faults.fast_boot};
        for (unsigned long n = 2 + gsl_rng_uniform_int(rng, 3); n > 0; n--) {
            unsigned long k = gsl_rng_uniform_int(rng, 21);
            if (k < 12)
                *often[k] = 10 + 30 * gsl_rng_uniform(rng);
            else
                *shares[k - 12] = 0.02 + 0.2 * gsl_rng_uniform(rng) * gsl_rng_uniform(rng);
        }
        gsl_rng_free(rng);
        faults.invalid_request_s = 5;
        struct sim *sim =
            sim_new_sized(seed, &faults, SIM_SOUND, seed % 3 ? 3 : 5,
                          seed % 2 ? &wide : &(struct sim_size){64, 6, 2, 14, 39, 200, 20, 5});
        sim->has_concurrent_reads = seed % 2;
        submit_some(sim, 40);
        for (int i = 0; i < 20; i++) {
            int j = sim_submit(sim, 10 + i * 5, i % 6 ? "sweep" : "ensemble", 1 + (unsigned)i % 5,
                               2, 5 + i * 2, i % 4 ? 0 : 14 + i * 6);
            sim->jobs[j].cancel_at_end = i % 5 == 1;
            sim->jobs[j].cancel_on_acceptance = i % 9 == 5;
        }
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
    const struct CMUnitTest tests[] = {cmocka_unit_test(leader_refused_then_outage),
                                       cmocka_unit_test(leader_refused_between_outages),
                                       cmocka_unit_test(leader_catches_up_before_it_answers),
                                       cmocka_unit_test(refused_leader_starts_nothing),
                                       cmocka_unit_test(cancelled_while_work_changes_hands),
                                       cmocka_unit_test(first_answers_carry_stops),
                                       cmocka_unit_test(returning_machine_gets_stops),
                                       cmocka_unit_test(ten_leaders),
                                       cmocka_unit_test(hand_over_and_back),
                                       cmocka_unit_test(all_nodes_away),
                                       cmocka_unit_test(tasks_that_end_far_apart),
                                       cmocka_unit_test(late_transactions),
                                       cmocka_unit_test(late_progress_takes_nothing_away),
                                       cmocka_unit_test(lost_answers),
                                       cmocka_unit_test(four_jobs_a_second),
                                       cmocka_unit_test(ends_meet_requests),
                                       cmocka_unit_test(close_looks),
                                       cmocka_unit_test(odd_requests),
                                       cmocka_unit_test(leader_ends_machines_out_of_reach),
                                       cmocka_unit_test(fast_machines_slow_writes),
                                       cmocka_unit_test(mute_machines),
                                       cmocka_unit_test(held_up_commands),
                                       cmocka_unit_test(cancelled_on_hung_machines),
                                       cmocka_unit_test(full_team_meets_takeover),
                                       cmocka_unit_test(zone_bound_jobs_lose_machines),
                                       cmocka_unit_test(cut_zone_with_its_node),
                                       cmocka_unit_test(old_reports),
                                       cmocka_unit_test(lonely_leader_and_cancellations),
                                       cmocka_unit_test(more_work_than_room),
                                       cmocka_unit_test(random_meetings)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
