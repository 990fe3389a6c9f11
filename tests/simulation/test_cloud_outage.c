/* The cloud does not respond for longer than a job may be without an answer, while machines stop,
 * hang, are taken away or receive no answers: it delays the renting of machines, but neither the
 * answers about jobs nor the restarts of their tasks. Users poll all nodes each second. */
#include "test.h"

#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "scenario.h"

#define OUTAGE_S 130.0
#define SETTLED_S 40.0 /* the machines are up and the tasks run by then */
/* Seconds within which a job is placed while a machine that fits has room. */
#define PLACED_WITHIN_S 90.0
#define N_TASKS 2
#define FIRST_SEED 9100
#define RANDOM_SEED 9200
#define N_RANDOM 12

enum machine_fate {
    DIES,
    RETURNS_WITHIN_LEASE,
    RETURNS_AFTER_LEASE,
    IS_TAKEN, /* after a notice, as a spot machine */
    RECEIVES_NO_ANSWERS_AND_DIES,
    MACHINE_FATES
};

static const char *const fate_names[MACHINE_FATES] = {"dies", "returns within its lease",
                                                      "returns after its lease", "is taken",
                                                      "receives no answers and dies"};

struct outage_case {
    const char *kind; /* of the job */
    enum machine_fate fate;
    bool is_cloud_silent;
    bool does_leader_end;
};

/* Submits one job in each zone that keeps a machine of it with much free room, and the job whose
 * tasks fit on both machines. Returns the latter. */
static int submit_jobs(struct sim *sim, const char *kind) {
    for (int zone = 0; zone < 2; zone++) {
        int keeper = sim_submit(sim, 1, "service", 1, 2, 0, SETTLED_S + OUTAGE_S + 60);
        sim_set_field(sim, keeper, "yard", json_string(zone ? "b" : "a"));
    }
    bool is_service = strcmp(kind, "service") == 0;
    int job = sim_submit(sim, 20, kind, N_TASKS, 1, is_service ? 0 : SETTLED_S + OUTAGE_S,
                         is_service ? SETTLED_S + OUTAGE_S + 60 : 0);
    sim_set_field(sim, job, "spread", json_false());
    return job;
}

static struct sim_worker *find_machine_of(struct sim *sim, int job) {
    for (int i = 0; i < sim->size.n_workers; i++)
        for (int k = 0; sim->workers[i].used && k < sim->workers[i].n_tasks; k++)
            if (sim->workers[i].tasks[k].job_index == job)
                return &sim->workers[i];
    return NULL;
}

static void begin_fate(const struct sim *sim, struct sim_worker *worker, enum machine_fate fate) {
    if (fate == DIES)
        worker->alive = false;
    else if (fate == RETURNS_WITHIN_LEASE)
        worker->paused_until = sim->now + 0.8 * sim->size.lease_s;
    else if (fate == RETURNS_AFTER_LEASE)
        worker->paused_until = sim->now + 2.5 * sim->size.lease_s;
    else if (fate == IS_TAKEN)
        worker->reclaimed_at = sim->now + 3;
    else
        worker->one_way_partition_until = sim->now + OUTAGE_S;
}

static void run_case(const struct outage_case *the_case, unsigned long seed) {
    struct sim *sim = scenario_new(seed, 3);
    sim->has_polls_at_all_nodes = true;
    int job = submit_jobs(sim, the_case->kind);
    sim_run(sim, SETTLED_S);
    assert_int_equal(scenario_count_running_tasks(sim, job), N_TASKS);
    sim->cloud_outage_until = sim->now + OUTAGE_S;
    sim->is_cloud_silent = the_case->is_cloud_silent;
    struct sim_worker *worker = find_machine_of(sim, job);
    assert_non_null(worker);
    begin_fate(sim, worker, the_case->fate);
    sim_run(sim, 8);
    if (the_case->does_leader_end)
        scenario_crash_leader(sim, 3);
    sim_run(sim, 32);
    if (the_case->fate == RECEIVES_NO_ANSWERS_AND_DIES)
        worker->alive = false;
    sim_run(sim, PLACED_WITHIN_S - 1);
    int n_running = scenario_count_running_tasks(sim, job);
    sim_run(sim, SETTLED_S + OUTAGE_S - sim->now);
    sim_end_faults(sim);
    sim_run(sim, SCENARIO_COMPLETION_S);
    if (sim->violation[0] || n_running != N_TASKS || !sim_all_terminal(sim))
        fail_msg("%s whose machine %s, silent cloud %d, end of the leader %d: expected %d tasks to "
                 "run, %d do; all jobs to end; no violation of a rule: %s",
                 the_case->kind, fate_names[the_case->fate], the_case->is_cloud_silent,
                 the_case->does_leader_end, N_TASKS, n_running, sim->violation);
    sim_free(sim);
}

static void run_cases(const char *kind) {
    unsigned long seed = FIRST_SEED;
    for (int fate = 0; fate < MACHINE_FATES; fate++)
        for (int i = 0; i < 4; i++)
            run_case(&(struct outage_case){.kind = kind,
                                           .fate = (enum machine_fate)fate,
                                           .is_cloud_silent = i & 1,
                                           .does_leader_end = i & 2},
                     seed++);
}

/* Fault (review/10): a machine whose replicas wait was released, and its tasks counted as on it
 * until the cloud confirmed its deletion, however long ago its lease had expired. No node told the
 * state of the service, and its replicas were not started again. */
static void replicas_are_started_again_while_cloud_is_out(void **state) {
    (void)state;
    run_cases("service");
}

/* The same for arrays, whose machines are released later, for other reasons. */
static void tasks_of_arrays_are_started_again_while_cloud_is_out(void **state) {
    (void)state;
    run_cases("sweep");
}

/* The same for gangs. */
static void gangs_are_started_again_while_cloud_is_out(void **state) {
    (void)state;
    run_cases("ensemble");
}

static struct rp_machine *begin_outage_at_machine_of(struct sim *sim, int job,
                                                     struct sim_worker **worker) {
    sim_run(sim, SETTLED_S);
    *worker = find_machine_of(sim, job);
    sim->cloud_outage_until = sim->now + OUTAGE_S;
    assert_non_null(*worker);
    return rp_machine_find(&scenario_leader(sim)->cluster, (*worker)->name);
}

static int send_late_report(const struct sim *sim, const struct rp_machine *machine,
                            const struct sim_job *job) {
    struct rp_node *node = scenario_leader(sim);
    char body[512];
    snprintf(body, sizeof body,
             "{\"sheave\":\"%s\",\"address\":\"%s\",\"frame\":\"small\",\"yard\":\"a\","
             "\"loaners\":false,\"stint\":%lu,\"tick\":%lu,\"warrant\":%lu,\"recall_s\":null,"
             "\"lifts\":[{\"lift\":\"%s/0\",\"pull\":1,\"tension\":\"running\"}]}",
             machine->name, machine->addr, (unsigned long)machine->contact.incarnation,
             (unsigned long)machine->contact.seq + 9, (unsigned long)node->election.fencing_token,
             job->spec.id);
    struct scenario_answer answer = {.req = {.method = "POST",
                                             .target = "/checkin",
                                             .body = body,
                                             .len = strlen(body),
                                             .respond = scenario_keep_answer}};
    rp_node_client_request(node, &answer.req);
    return answer.status;
}

/* Fault: once a lost machine was being released, a late report of its ended lease was read like a
 * new one. Its tasks, which run elsewhere by then, counted once more, against the limit of their
 * team too, until the cloud confirmed the deletion. */
static void late_report_of_ended_lease_counts_no_task_during_release(void **state) {
    struct sim *sim = scenario_new(9150, 3);
    struct sim_worker *worker;
    (void)state;
    int job = submit_jobs(sim, "sweep");
    const struct rp_machine *machine = begin_outage_at_machine_of(sim, job, &worker);
    worker->alive = false;
    scenario_run(sim, 60);
    assert_int_equal(strncmp(rp_machine_state_name(machine->state), "releasing", 9), 0);
    assert_int_equal(send_late_report(sim, machine, &sim->jobs[job]), 503);
    assert_int_equal(machine->n_allocations, 0);
    assert_int_equal(rp_jobs_find(&scenario_leader(sim)->jobs, sim->jobs[job].spec.id)->n_allocated,
                     N_TASKS);
    sim_free(sim);
}

/* Fault: a machine of an earlier leader that is released before it has shown the new leader's
 * token, and that receives no answers, was answered on and on. Its lease never ended for the
 * leader, and the jobs that may have had a task there waited until the cloud confirmed the
 * deletion. */
static void released_machine_without_answers_keeps_no_job_waiting(void **state) {
    struct sim *sim = scenario_new(9151, 3);
    struct sim_worker *worker;
    (void)state;
    int job = submit_jobs(sim, "sweep");
    (void)begin_outage_at_machine_of(sim, job, &worker);
    worker->one_way_partition_until = sim->now + OUTAGE_S;
    scenario_crash_leader(sim, 3);
    while (sim_leader(sim) < 0)
        scenario_run(sim, 0.1);
    struct rp_node *node = scenario_leader(sim);
    struct rp_machine *machine = rp_machine_find(&node->cluster, worker->name);
    assert_int_equal(machine->state, RP_MACHINE_UNRECONCILED);
    rp_fleet_scale_in(&node->fleet, machine, "for the test");
    scenario_run(sim, 3 * sim->size.lease_s);
    assert_true(rp_cluster_is_reconciled(&node->cluster));
    sim_free(sim);
}

/* Fault: machines that fell idle while the cloud was out were released, and could take no task
 * until it had deleted them: a job waited beside idle machines that it fits. */
static void idle_machines_take_work_while_cloud_is_out(void **state) {
    (void)state;
    for (int is_silent = 0; is_silent < 2; is_silent++) {
        struct sim *sim = scenario_new(9152, 3);
        sim_submit(sim, 1, "sweep", 8, 1, 30, 0);
        int job = sim_submit(sim, SETTLED_S + OUTAGE_S - 30, "sweep", 8, 1, 20, 0);
        sim_run(sim, SETTLED_S / 2);
        sim->cloud_outage_until = sim->now + OUTAGE_S;
        sim->is_cloud_silent = is_silent;
        scenario_run(sim, OUTAGE_S - 5);
        assert_true(sim->now > sim->jobs[job].accepted_at);
        assert_int_equal(scenario_count_running_tasks(sim, job), 8);
        scenario_end(sim);
    }
}

/* Outages of the cloud of up to 125 s beside machines that stop, hang, are taken away, receive no
 * answers or reach no node, late reports, and ends of nodes. */
static void long_cloud_outages_beside_machine_faults_break_no_rule(void **state) {
    static const struct sim_faults faults = {.cloud_outage_s = 50,
                                             .machine_crash_s = 25,
                                             .pause_s = 25,
                                             .spot_notice_s = 30,
                                             .one_way_partition_s = 40,
                                             .unreachable_s = 40,
                                             .late_duplicate = 0.03,
                                             .delay = 0.005,
                                             .crash_s = 60};
    (void)state;
    scenario_run_seeds(&(struct scenario_seeds){.faults = &faults,
                                                .first = RANDOM_SEED,
                                                .n = N_RANDOM,
                                                .faults_s = 200,
                                                .prepare = scenario_submit_for_polls_at_all_nodes});
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(replicas_are_started_again_while_cloud_is_out),
        cmocka_unit_test(tasks_of_arrays_are_started_again_while_cloud_is_out),
        cmocka_unit_test(gangs_are_started_again_while_cloud_is_out),
        cmocka_unit_test(late_report_of_ended_lease_counts_no_task_during_release),
        cmocka_unit_test(released_machine_without_answers_keeps_no_job_waiting),
        cmocka_unit_test(idle_machines_take_work_while_cloud_is_out),
        cmocka_unit_test(long_cloud_outages_beside_machine_faults_break_no_rule)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
