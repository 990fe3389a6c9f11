/* Whole nodes in a small world, the rules checked after each step (sim.h). */
#include "test.h"

#include <math.h>
#include "base/log.h"
#include "sim.h"

#define DAY_S 150
#define REST_S 250

static void submit_some(struct sim *sim, unsigned long seed) {
    sim_submit(sim, 1, "sweep", 20, 1, 8, 0);
    sim_submit(sim, 2, "sweep", 40, 1, 15, 0);
    sim_submit(sim, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(sim, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(sim, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(sim, 30, "sweep", 1, 1, 3, 0);
    sim_submit(sim, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(sim, 60, "sweep", 40, 1, 6, 0);
    sim_submit(sim, 80, "sweep", 12, 3, 20, 0);
    sim_submit(sim, 15, "sweep", 2, 1, 200, 40); /* ends by its cancellation only */
}

struct kept_answer {
    struct rp_request req;
    int status;
    char body[8192];
};

static void keep_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct kept_answer *answer = (struct kept_answer *)(void *)req;
    (void)retry_after;
    answer->status = status;
    snprintf(answer->body, sizeof answer->body, "%s", body);
}

static void check_status_page(struct sim *sim) {
    struct kept_answer a = {
        .req = {.method = "GET", .target = "/status", .body = "", .respond = keep_answer}};
    rp_node_peer_request(sim->nodes[sim_leader(sim)].node, &a.req);
    json_t *value = json_loads(a.body, 0, NULL);
    assert_int_equal(a.status, 200);
    assert_string_equal(json_string_value(json_object_get(value, "state")), "leading");
    assert_true(json_integer_value(json_object_get(value, "starts")) >= 100);
    assert_true(json_is_object(json_object_get(json_object_get(value, "latencies"), "submit_s")));
    json_decref(value);
}

static void quiet_day(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(1, &none, SIM_SOUND, 3);
    (void)state;
    submit_some(sim, 1);
    sim_run(sim, DAY_S);
    sim_run(sim, REST_S);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    assert_true(sim->n_starts >= 120);
    check_status_page(sim);
    sim_free(sim);
}

/* A node that alone gets no answer from the state service leaves the load balancer, and comes back;
 * in an outage, when all of them get none, all stay. */
static void refused_node_steps_aside(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(5, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(sim, 5);
    sim->nodes[1].store_refusal_until = sim->now + 8;
    sim_run(sim, 4);
    assert_true(rp_node_is_healthy(sim->nodes[0].node));
    assert_false(rp_node_is_healthy(sim->nodes[1].node));
    sim_run(sim, 8);
    assert_true(rp_node_is_healthy(sim->nodes[1].node));
    sim->store_outage_until = sim->now + 10;
    sim_run(sim, 6);
    for (int i = 0; i < sim->n_nodes; i++)
        assert_true(rp_node_is_healthy(sim->nodes[i].node));
    sim_free(sim);
}

/* Incident c8a9: a leader that reached the state service but no worker kept the key for 50 s, and
 * returned every machine. */
static void isolated_leader_gives_way(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(6, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 6; i++)
        sim_submit(sim, 1, "sweep", 30, 1, 60, 0);
    sim_run(sim, 60);
    int leader = sim_leader(sim);
    unsigned long returned = sim->nodes[leader].node->fleet.release.n_released;
    assert_true(sim->nodes[leader].node->cluster.n_machines >= 4);
    sim->node_without_heartbeats = leader + 1;
    sim_run(sim, 11);
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    assert_int_equal(sim->nodes[sim_leader(sim)].node->fleet.release.n_released, 0);
    assert_true(sim->nodes[leader].node->fleet.release.n_released <= returned + 1);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Days with one kind of trouble, then all together; afterwards the world is left in peace, and all
 * that was accepted must come to its end. */
static void days_of_trouble_on(int nodes, const struct sim_faults *faults, unsigned long first,
                               int days) {
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *sim = sim_new(seed, faults, SIM_SOUND, nodes);
        submit_some(sim, seed);
        sim_run(sim, DAY_S);
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

static void days_of_trouble(const struct sim_faults *faults, unsigned long first, int days) {
    days_of_trouble_on(3, faults, first, days);
}

static void bad_network(void **state) {
    static const struct sim_faults faults = {.drop = 0.02, .delay = 0.02, .duplicate = 0.05};
    (void)state;
    days_of_trouble(&faults, 100, 8);
}

static void crashes(void **state) {
    static const struct sim_faults faults = {.crash_s = 12, .duplicate = 0.02};
    (void)state;
    days_of_trouble(&faults, 200, 8);
}

static void state_troubles(void **state) {
    static const struct sim_faults faults = {
        .store_outage_s = 40, .store_refusal_s = 25, .delay = 0.01};
    (void)state;
    days_of_trouble(&faults, 300, 8);
}

static void machine_troubles(void **state) {
    static const struct sim_faults faults = {
        .pause_s = 15, .machine_crash_s = 20, .spot_notice_s = 10, .task_error = 0.02};
    (void)state;
    days_of_trouble(&faults, 400, 8);
}

static void everything(void **state) {
    static const struct sim_faults faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.03,
                                             .crash_s = 25,
                                             .store_outage_s = 80,
                                             .store_refusal_s = 60,
                                             .pause_s = 25,
                                             .machine_crash_s = 40,
                                             .node_pause_s = 30,
                                             .task_error = 0.01};
    (void)state;
    days_of_trouble(&faults, 500, 24);
}

/* Machines whose reports arrive while answers don't, with takeovers among it. */
static void deaf_machines(void **state) {
    static const struct sim_faults faults = {.one_way_partition_s = 12, .crash_s = 50};
    (void)state;
    days_of_trouble(&faults, 600, 8);
}

/* Copies of reports seconds to five leases late, across sessions, leaders, and machines that are
 * gone. */
static void late_copies(void **state) {
    static const struct sim_faults faults = {.late_duplicate = 0.1,
                                             .pause_s = 20,
                                             .machine_crash_s = 30,
                                             .crash_s = 30,
                                             .spot_notice_s = 20};
    (void)state;
    days_of_trouble(&faults, 620, 8);
}

/* Nodes that lose the state service and the other nodes, but not the workers. */
static void lonely_nodes(void **state) {
    static const struct sim_faults faults = {
        .partitioned_node_s = 20, .duplicate = 0.02, .delay = 0.01};
    (void)state;
    days_of_trouble(&faults, 640, 4);
    days_of_trouble_on(5, &faults, 650, 4);
}

/* Processes and machines back within 50 to 500 ms, at any moment: between the write of a key and
 * its answer, during an election, during a takeover; their old requests arrive late, and again. */
static void split_second_returns(void **state) {
    static const struct sim_faults faults = {
        .fast_restart_s = 4, .duplicate = 0.1, .delay = 0.03, .drop = 0.01, .late_duplicate = 0.05};
    (void)state;
    days_of_trouble(&faults, 660, 6);
    days_of_trouble_on(5, &faults, 670, 6);
}

static void everything_on_five(void **state) {
    static const struct sim_faults faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.03,
                                             .late_duplicate = 0.03,
                                             .crash_s = 30,
                                             .store_outage_s = 90,
                                             .store_refusal_s = 60,
                                             .partitioned_node_s = 50,
                                             .one_way_partition_s = 40,
                                             .fast_restart_s = 20,
                                             .pause_s = 30,
                                             .machine_crash_s = 50,
                                             .node_pause_s = 40,
                                             .spot_notice_s = 30,
                                             .task_error = 0.01};
    (void)state;
    days_of_trouble_on(5, &faults, 700, 16);
}

static struct sim_worker *busiest_worker(struct sim *sim) {
    struct sim_worker *best = NULL;
    for (int i = 0; i < sim->size.workers; i++)
        if (sim->workers[i].used && sim->workers[i].up &&
            (!best || sim->workers[i].n_tasks > best->n_tasks))
            best = &sim->workers[i];
    return best;
}

/* A machine that reports but gets no answers looked like a good one for ever: starts went to it
 * again and again. It gets no more work, and goes back. */
static void deaf_machine_goes_back(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(7, &none, SIM_SOUND, 3);
    char name[RP_TEXT_MAX];
    (void)state;
    for (int i = 0; i < 6; i++)
        sim_submit(sim, 1, "sweep", 40, 1, 12, 0);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    worker->one_way_partition_until = sim->now + 1000;
    strcpy(name, worker->name);
    sim_run(sim, 35);
    struct rp_cluster *cluster = &sim->nodes[sim_leader(sim)].node->cluster;
    const struct rp_machine *machine = rp_machine_find(cluster, name);
    assert_true(!machine || !rp_machine_is_usable(machine));
    assert_true(!machine || machine->n_allocations == 0);
    sim_run(sim, 40);
    assert_null(rp_machine_find(cluster, name));
    sim_run(sim, 100);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* After a takeover such a machine shows no token: it kept all work of before from being started,
 * for as long as its reports were answered. */
static void deaf_machine_and_takeover(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(8, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 4; i++)
        sim_submit(sim, 1, "sweep", 40, 1, 20, 0);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    worker->one_way_partition_until = sim->now + 1000;
    sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 45);
    assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
    sim_run(sim, 120);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* A late copy of a report by a machine that is gone, read by a leader who never knew it, made a
 * machine that plans counted on. */
static void ghost_is_no_machine(void **state) {
    static const struct sim_faults none = {0};
    static const char text[] =
        "{\"sheave\":\"vm-ghost\",\"address\":\"vm-ghost\",\"frame\":\"wide\",\"yard\":\"a\","
        "\"loaners\":false,\"stint\":3,\"tick\":50,\"warrant\":0,\"recall_s\":null,\"lifts\":[]}";
    struct sim *sim = sim_new(9, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(sim, 10);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    struct kept_answer a = {.req = {.method = "POST",
                                    .target = "/checkin",
                                    .body = text,
                                    .len = strlen(text),
                                    .respond = keep_answer}};
    rp_node_client_request(node, &a.req);
    assert_int_equal(a.status, 200); /* if it is there, it learns the token and comes again */
    assert_null(rp_machine_find(&node->cluster, "vm-ghost"));
    sim_free(sim);
}

/* The leader loses the state service and the other nodes, but not its workers: it lets them go well
 * within their lease, and no task dies. */
static void lonely_leader_lets_workers_go(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(10, &none, SIM_SOUND, 5);
    uint64_t sessions[SIM_WORKERS] = {0};
    int kept = 0;
    int all = 0;
    (void)state;
    for (int i = 0; i < 6; i++)
        sim_submit(sim, 1, "sweep", 30, 1, 60, 0);
    sim_run(sim, 40);
    int leader = sim_leader(sim);
    for (int i = 0; i < sim->size.workers; i++)
        sessions[i] = sim->workers[i].used && sim->workers[i].up ? sim->workers[i].incarnation : 0;
    sim->nodes[leader].partitioned_until = sim->now + 40;
    sim_run(sim, 6);
    assert_false(rp_node_is_healthy(sim->nodes[leader].node));
    sim_run(sim, 20);
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    for (int i = 0; i < sim->size.workers; i++)
        if (sessions[i] && sim->workers[i].used) {
            all++;
            kept += sim->workers[i].incarnation == sessions[i];
        }
    assert_true(all >= 4);
    assert_int_equal(kept, all);
    sim_run(sim, 30);
    assert_true(rp_node_is_healthy(sim->nodes[leader].node));
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* How many of the machines that are up 24 s after the trouble have kept their lease through it. */
static void leases_outlive(int nodes, unsigned long first, int days,
                           void (*trouble)(struct sim *sim)) {
    static const struct sim_faults none = {0};
    int kept = 0;
    int all = 0;
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, nodes);
        for (int i = 0; i < sim->n_nodes; i++)
            sim->settings[i].teams[0].cpus_max = 1e6;
        for (int i = 0; i < 12; i++)
            sim_submit(sim, 1, "sweep", 40, 1, 120, 0);
        sim_run(sim, 40);
        trouble(sim);
        sim_run(sim, 24);
        assert_true(sim_leader(sim) >= 0);
        for (int i = 0; i < sim->size.workers; i++)
            if (sim->workers[i].used && sim->workers[i].up) {
                all++;
                kept += sim->workers[i].incarnation == 1;
            }
        assert_string_equal(sim->violation, "");
        sim_free(sim);
    }
    assert_true(all >= 10 * days);
    if (kept < all - all / 10)
        fail_msg("machines that kept their lease: %d of %d", kept, all);
}

static void freeze_leader(struct sim *sim) {
    sim->nodes[sim_leader(sim)].paused_until = sim->now + 25;
}

/* A leader that stands still keeps its key until the lease ends: the others went on naming it, and
 * workers that were sent back to it lost their leases before they found the next one. */
static void frozen_leader_is_not_named(void **state) {
    (void)state;
    leases_outlive(5, 20, 6, freeze_leader);
}

static void freeze_two_leaders(struct sim *sim) {
    sim->nodes[sim_leader(sim)].paused_until = sim->now + 300;
    sim_run(sim, 35);
    assert_true(sim_leader(sim) >= 0);
    freeze_leader(sim);
}

/* Of three nodes one answers nobody for minutes, and then the next leader stands still, too: a
 * worker that the third one sent away was back there only after ten seconds, having waited at both
 * others, and lost its lease (incident 1096). */
static void frozen_leader_while_another_is_silent(void **state) {
    (void)state;
    leases_outlive(3, 40, 4, freeze_two_leaders);
}

static void end_leader_apart(struct sim *sim) {
    sim->peer_partition_until = sim->now + 60;
    sim_run(sim, 5);
    sim_crash(sim, sim_leader(sim), 40);
}

static void end_all_without_the_cloud(struct sim *sim) {
    sim->cloud_outage_until = sim->now + 60;
    for (int i = 0; i < sim->n_nodes; i++)
        sim_crash(sim, i, 3);
    int job = sim_submit(sim, sim->now + 6, "sweep", 2, 1, 20, 0);
    sim_run(sim, 10);
    assert_true(sim_leader(sim) >= 0);
    assert_true(sim->jobs[job].accepted);
}

/* Without the machine types, which the cloud tells, a node takes part in no election and accepts
 * nothing: processes that came back while the cloud was out waited for its return, and workers
 * lost their leases meanwhile. */
static void return_while_the_cloud_is_out(void **state) {
    (void)state;
    leases_outlive(3, 70, 3, end_all_without_the_cloud);
}

/* Nodes that can't connect to one another still know who leads, by the key: a refused connection
 * says nothing of the leader, and workers are named the next one. */
static void takeover_while_nodes_refuse_one_another(void **state) {
    (void)state;
    leases_outlive(5, 26, 4, end_leader_apart);
}

/* A gang of several that loses a machine before it has begun, with no other machine about: none was
 * rented for what it missed, as no plan had it, and its other tasks waited for ever. */
static void gang_that_loses_a_machine_begins(void **state) {
    static const struct sim_faults none = {0};
    int lost = 0;
    (void)state;
    for (unsigned long seed = 80; seed < 83; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        int gang = sim_submit(sim, 1, "ensemble", 3, 8, 20, 0);
        for (int step = 0; step < 1500 && !lost; step++) {
            sim_run(sim, 0.02);
            for (int i = 0; i < sim->size.workers && !lost; i++)
                if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0 &&
                    sim->workers[i].tasks[0].state == RP_TASK_FETCHING) {
                    sim->workers[i].alive = false;
                    lost++;
                }
        }
        assert_int_equal(lost, 1);
        assert_false(sim->jobs[gang].begun);
        sim_run(sim, 180);
        assert_string_equal(sim->violation, "");
        assert_true(sim->jobs[gang].told_done);
        sim_free(sim);
        lost = 0;
    }
}

/* Every takeover stopped every gang of several tasks, since not all of them had been heard of yet.
 */
static void takeover_keeps_gangs(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(11, &none, SIM_SOUND, 3);
    (void)state;
    int gang = sim_submit(sim, 1, "ensemble", 4, 8, 60, 0);
    sim_run(sim, 30);
    assert_true(sim->jobs[gang].begun);
    unsigned long starts = sim->n_starts;
    sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 70);
    assert_true(sim->jobs[gang].told_done);
    assert_int_equal(sim->n_starts, starts);
    sim_free(sim);
}

/* A new leader knew only of the images of tasks that ran, and sent work, replicas above all, to
 * machines that had to fetch: the others remember for it, and tell one that was away. */
static void takeover_keeps_images(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(16, &none, SIM_SOUND, 3);
    size_t with_image = 0;
    size_t still = 0;
    (void)state;
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 22, "service", 2, 1, 0, 100);
    sim_run(sim, 32);
    for (const struct rp_machine *machine = sim->nodes[sim_leader(sim)].node->cluster.first;
         machine; machine = machine->next)
        with_image += machine->n_images > 0;
    assert_true(with_image >= 3);
    sim_crash(sim, sim_leader(sim), 0.3);
    sim_run(sim, 2);
    for (const struct rp_machine *machine = sim->nodes[sim_leader(sim)].node->cluster.first;
         machine; machine = machine->next)
        still += machine->n_images > 0;
    assert_int_equal(still, with_image);
    sim_free(sim);
}

/* Gangs of whole machines starved on a full fleet, where what falls free is taken by what needs
 * less: their machines are gathered. And a cloud that has no more is not asked all the time. */
static void large_gangs_begin_on_a_full_fleet(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(12, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 40; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 20, 0);
    sim_run(sim, 40);
    int gang = sim_submit(sim, sim->now, "ensemble", 4, 24, 20, 0);
    sim_run(sim, 60);
    assert_true(sim->jobs[gang].begun);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(node->fleet.provisioning.refusals.n_refused > 0 &&
                node->fleet.provisioning.refusals.n_refused < 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines that were kept for a gang, and idle until the last of them was free, went back at their
 * unit's end, were rented again and booted, for minutes: the gang never had all of them together.
 */
static void kept_machines_stay(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(17, &none, SIM_SOUND, 3);
    int kept = 0;
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 14; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 30 + 5 * (i % 5), 0);
    sim_run(sim, 45);
    for (int i = 0; i < 4; i++)
        sim_submit(sim, sim->now + i, "ensemble:low", 6, 24, 20, 0);
    for (int i = 0; i < 1500; i++) {
        sim_run(sim, 0.1);
        const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
        for (const struct rp_machine *machine = node->cluster.first; machine;
             machine = machine->next) {
            const struct rp_job *job = *machine->reservation.job_id
                                           ? rp_jobs_find(&node->jobs, machine->reservation.job_id)
                                           : NULL;
            if (!job || job->state != RP_JOB_OPEN || job->n_allocated > 0 ||
                machine->health.quarantined || machine->spot_notice.received ||
                rp_ts_reached(rp_loop_now(node->loop), machine->reservation.until))
                continue;
            kept += machine->n_allocations == 0;
            assert_int_equal(machine->state, RP_MACHINE_UP);
        }
    }
    assert_true(kept > 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Incident f8f1: gangs of one task that takes a whole machine waited for seven minutes behind small
 * work of their own priority, which took all room that fell free. */
static void whole_machine_task_begins_on_a_full_fleet(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(15, &none, SIM_SOUND, 3);
    int gangs[3];
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++) {
        struct rp_settings *settings = &sim->settings[i];
        settings->teams[0].cpus_max = 1e6;
        settings->objectives = calloc(1, sizeof *settings->objectives);
        assert_non_null(settings->objectives);
        settings->n_objectives = 1;
        /* So the arrays come first in every order. */
        settings->objectives[0] =
            (struct rp_objective){.kind = RP_OBJECTIVE_FINISHED, .within_s = 90};
        strcpy(settings->objectives[0].class_name, "a");
    }
    for (int i = 0; i < 90; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 20, 0);
    sim_run(sim, 40);
    for (int i = 0; i < 3; i++)
        gangs[i] = sim_submit(sim, sim->now, "ensemble:low", 1, 24, 20, 0);
    sim_run(sim, 100);
    for (int i = 0; i < 3; i++)
        assert_true(sim->jobs[gangs[i]].begun);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Incident 4d52: jobs that fail wherever they are started had every third good machine that they
 * met given back, with its images; and all their tasks were started again and again. */
static void bad_jobs_condemn_no_machine(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(18, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 12; i++)
        sim_submit(sim, 1 + i * 6, "sweep", 40, 2, 12, 0);
    for (int i = 0; i < 5; i++) {
        int bad = sim_submit(sim, 20 + i * 5, "sweep", 40, 1, 1, 100);
        sim->jobs[bad].fails_always = true;
    }
    for (int i = 0; i < 800; i++) {
        sim_run(sim, 0.1);
        for (int k = 0; sim_leader(sim) >= 0 && k < sim->size.workers; k++) {
            const struct rp_machine *machine =
                rp_machine_find(&sim->nodes[sim_leader(sim)].node->cluster, sim->workers[k].name);
            assert_true(!machine || !machine->health.quarantined);
        }
    }
    assert_true(sim->n_task_errors >= 20);
    assert_true(sim->n_task_errors <= 5 * 40 + 5 * 30); /* all once, then a few at a time */
    sim_run(sim, 150);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines that never come up are told from slow ones, given back and replaced: they hold no work
 * for ever, and cost a bounded time. */
static void machines_that_never_come_up(void **state) {
    static const struct sim_faults faults = {.boot_failure = 0.4};
    int never = 0;
    (void)state;
    for (unsigned long seed = 40; seed < 44; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        double longest = 0;
        submit_some(sim, seed);
        for (int i = 0; i < 150; i++) {
            sim_run(sim, 1);
            if (i == 40)
                sim_crash(sim, sim_leader(sim), 3);
            for (int k = 0; k < sim->size.workers; k++)
                if (sim->workers[k].used && sim->workers[k].boots_at > 1e8) {
                    longest = fmax(longest, sim->now - sim->workers[k].provisioned_at);
                    never += sim->now - sim->workers[k].provisioned_at < 1;
                }
        }
        /* The slowest type boots in 12 s; a new leader reckons anew here, where no time of day is.
         */
        assert_true(longest > 10 && longest < 12 * sim->settings[0].tuning.boot_patience * 2 + 20);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
    assert_true(never >= 8);
}

/* A team's guarantee: other teams' work beyond their own makes way, of any priority, and they get
 * what the guarantee leaves. */
static void guarantee_is_given(void **state) {
    static const struct sim_faults none = {0};
    (void)state;
    for (unsigned long seed = 90; seed < 93; seed++) {
        struct sim *sim = sim_new(seed, &none, SIM_SOUND, 3);
        int guest[2];
        for (int i = 0; i < sim->n_nodes; i++) {
            sim->settings[i].teams[0].cpus_max = 1e6;
            sim->settings[i].teams[1].cpus = 24;
        }
        for (int i = 0; i < 14; i++)
            sim_submit(sim, 1, "sweep", 40, 4, 150, 0);
        sim_run(sim, 60);
        for (int i = 0; i < 2; i++) {
            guest[i] = sim_submit(sim, 60, "sweep", 24, 1, 20, 0);
            sim_set_field(sim, guest[i], "crew", json_string("guests"));
            sim_set_field(sim, guest[i], "precedence", json_string("low"));
        }
        sim_run(sim, 55);
        assert_true(sim->jobs[guest[0]].told_done);
        /* The second job is beyond the guarantee until the first is over. */
        assert_true(sim->jobs[guest[1]].begun);
        sim_run(sim, 30);
        assert_true(sim->jobs[guest[1]].told_done);
        sim_end_faults(sim);
        sim_run(sim, 600);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
}

/* Users who ask twenty times as often, far beyond what the state service takes: submissions and
 * cancellations pass all the same, and what is too much is refused at once. */
static void questions_starve_nothing(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(60, &none, SIM_SOUND, 3);
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
    assert_true(polls > 60 * 250);         /* asked */
    assert_true((double)reads < 60 * 200); /* and what the settings allow */
    sim_run(sim, 20);
    for (int i = 0; i < 100; i++) {
        late += sim->jobs[i].accepted_at > 1 + i + 1.5;
        cancelled += i % 4 == 0 && (sim->jobs[i].told_done || sim->jobs[i].told_cancelled);
    }
    assert_true(late <= 2);
    assert_int_equal(cancelled, 25);
    sim_end_faults(sim);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Questions beyond the budget share requests: hundreds of users who ask about running jobs were
 * refused two times in three (incidents 5bf9 and 092b). */
static void questions_are_answered_together(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(61, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 100; i++)
        sim_submit(sim, 1 + i * 0.2, "sweep", 2, 1, 200, 0);
    sim_run(sim, 40);
    sim->has_eager_users = true;
    sim_run(sim, 5);
    unsigned long polls = sim->n_polls;
    unsigned long known = sim->n_polls_known;
    unsigned long requests = sim->n_state_reads + sim->n_comparisons;
    sim_run(sim, 40);
    polls = sim->n_polls - polls;
    known = sim->n_polls_known - known;
    requests = sim->n_state_reads + sim->n_comparisons - requests;
    assert_true(polls > 40 * 400);
    assert_true((double)requests < 40 * 200 * 0.6);
    if ((double)known < 0.97 * (double)polls)
        fail_msg("questions that got the job's state: %lu of %lu", known, polls);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* A team without a guarantee, with a batch for idle times, a huge array and a swarm of single
 * tasks, among another team's work for more than all machines: its jobs begin within four minutes,
 * half of them at least are served (sim_check.c), and no job waits while there is room. */
static void guests_are_served(void **state) {
    static const struct sim_faults faults = {.crash_s = 80, .spot_notice_s = 30};
    (void)state;
    for (unsigned long seed = 50; seed < 53; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        int begun = 0;
        int swarm = 0;
        for (int i = 0; i < 30; i++)
            sim_submit(sim, 1 + i * 4, i % 6 ? "sweep" : "ensemble", i % 6 ? 20 : 3, i % 6 ? 1 : 4,
                       12, 0);
        for (int i = 0; i < 80; i++) {
            int j = i < 4 ? sim_submit(sim, 20, "sweep", 40, 2, 60, 0)
                          : sim_submit(sim, 30 + i, "sweep", 1, 1, 5, 0);
            sim_set_field(sim, j, "crew", json_string("guests"));
        }
        sim_run(sim, 150);
        for (int i = 0; i < sim->n_jobs; i++) {
            bool guest = strcmp(sim->jobs[i].spec.team, "guests") == 0;
            begun += guest && sim->jobs[i].begun;
            swarm += guest && sim->jobs[i].told_done && sim->jobs[i].spec.n_tasks == 1;
        }
        assert_true(begun >= 70);
        assert_true(swarm >= 60);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        sim_free(sim);
    }
}

/* A machine that fails everything has room all the time, and draws work: it is found, also when
 * there are jobs about that fail everywhere. */
static void bad_machines_are_found(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(19, &none, SIM_SOUND, 3);
    int bad = 0;
    int left = 0;
    (void)state;
    for (int i = 0; i < 12; i++)
        sim_submit(sim, 1 + i * 4, "sweep", 20, 1, 8, 0);
    int job = sim_submit(sim, 15, "sweep", 10, 1, 1, 60);
    sim->jobs[job].fails_always = true;
    sim_run(sim, 20);
    for (int i = 0; i < sim->size.workers && bad < 2; i++)
        if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0) {
            sim->workers[i].fails_tasks = true;
            bad++;
        }
    assert_int_equal(bad, 2);
    sim_run(sim, 40);
    for (int i = 0; i < sim->size.workers; i++)
        left += sim->workers[i].used && sim->workers[i].fails_tasks;
    assert_int_equal(left, 0);
    assert_true(sim->n_task_errors <= 120);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* A cut that held packets back delivered reports of sessions that had ended: their tasks, which ran
 * elsewhere by then, were taken to be on the old machines as well. */
static void held_reports_bring_nothing_back(void **state) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(13, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 4; i++)
        sim_submit(sim, 1, "sweep", 40, 1, 30, 0);
    sim_run(sim, 25);
    struct sim_worker *worker = busiest_worker(sim);
    sim->delayed_worker = (int)(worker - sim->workers) + 1;
    sim->delayed_until = sim->now + 20;
    sim_run(sim, 19.9);
    int leader = sim_leader(sim);
    const struct rp_node *node = sim->nodes[leader].node;
    const struct rp_machine *machine = rp_machine_find(&node->cluster, worker->name);
    assert_true(machine && machine->state == RP_MACHINE_LOST);
    for (int i = 0; i < 20; i++) {
        sim_run(sim, 0.02);
        assert_int_equal(sim_leader(sim), leader);
        for (const struct rp_job *job = node->jobs.table.first; job; job = job->next)
            for (uint32_t t = 0; t < job->spec.n_tasks; t++)
                assert_true(rp_job_n_task_allocations(job, t) <= 1);
    }
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* Incident 592a: the machines of a zone that was cut off for 35 s were all given back, the last of
 * them when the first had come back, and rented anew, with a boot and every image to fetch. And if
 * the leader changed meanwhile, their reports were taken for those of the lost session, and refused
 * until they had gone back. */
static void cut_zone(bool takeover) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new(14, &none, SIM_SOUND, 3);
    int in_zone = 0;
    int before = 0;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 40; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 40, 0);
    sim_run(sim, 45);
    for (int i = 0; i < sim->size.workers; i++)
        before += sim->workers[i].used && sim->workers[i].up && sim->workers[i].zone == 0;
    assert_true(before >= 4);
    sim->partitioned_zone = 1;
    sim_run(sim, 5);
    if (takeover)
        sim_crash(sim, sim_leader(sim), 3);
    sim_run(sim, 30);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_fleet_is_zone_silent(&node->fleet, 0));
    int lost = 0;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        lost += machine->zone == 0 && machine->state == RP_MACHINE_LOST;
    assert_int_equal(lost, before);
    sim->partitioned_zone = 0;
    sim_run(sim, 14);
    assert_false(rp_fleet_is_zone_silent(&node->fleet, 0));
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        in_zone += machine->zone == 0 && machine->state == RP_MACHINE_UP &&
                   machine->contact.incarnation > 1;
    assert_int_equal(in_zone, before);
    sim_run(sim, 200);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

static void cut_zone_keeps_its_machines(void **state) {
    (void)state;
    cut_zone(false);
    cut_zone(true);
}

/* ---- some 1,300 machines ---- */

static const struct sim_size large = {1400, 163, 4, 22, 47, 800, 80, 10};

static int machines_in(const struct sim *sim, enum rp_machine_state state) {
    int n = 0;
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        n += machine->state == state;
    return n;
}

/* A world in which 1,304 machines are up and busy. */
static struct sim *large_fleet(unsigned long seed, double run_s) {
    static const struct sim_faults none = {0};
    struct sim *sim = sim_new_sized(seed, &none, SIM_SOUND, 5, &large);
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 120; i++)
        sim_submit(sim, 1 + i * 0.05, "sweep", 40, 8, run_s, 0);
    sim_run(sim, 45);
    assert_string_equal(sim->violation, "");
    assert_true(machines_in(sim, RP_MACHINE_UP) >= 1290);
    return sim;
}

static int kept_sessions(const struct sim *sim) {
    int n = 0;
    for (int i = 0; i < sim->size.workers; i++)
        n += sim->workers[i].used && sim->workers[i].up && sim->workers[i].incarnation == 1;
    return n;
}

/* Reports 4 s apart made every second machine pass for one that gets no answers, and what a report
 * freed was started with the next one, 4 s later: here both show as time without work. And what
 * users' questions cost: one read a question about a job that is open. */
static void large_fleet_is_used(void **state) {
    (void)state;
    struct sim *sim = large_fleet(31, 10);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long reads = sim->n_state_reads;
    unsigned long polls = sim->n_polls;
    unsigned long looks = node->scheduler.n_probes;
    unsigned long rounds = node->scheduler.n_cycles;
    sim_run(sim, 8);
    for (const struct rp_machine *machine = node->cluster.first; machine; machine = machine->next)
        assert_false(rp_machine_is_one_way_partitioned(machine));
    assert_true(sim->n_idle >= 500);
    /* A task's exit is reported after up to 0.5 s and what follows it starts with the answer. */
    assert_true(sim->idle_s / (double)sim->n_idle < 1.5);
    assert_true(sim->n_polls > polls);
    /* Two for a job that is over; and each node's look at the leader's key, twice a second. */
    assert_true(sim->n_state_reads - reads <= 2 * (sim->n_polls - polls) + 5 * 2 * 8 + 10);
    /* Each heuristic may look at each machine a few times, not once for every group. */
    rounds = node->scheduler.n_cycles - rounds;
    assert_true(rounds > 0);
    assert_true(node->scheduler.n_probes - looks < 6 * 1304 * rounds);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader's process ends: its workers all come to the next one, which reads every record once.
 * No machine's lease may end, nothing be rented or given back for it. */
static void large_fleet_takeover(void **state) {
    (void)state;
    struct sim *sim = large_fleet(32, 150);
    int leader = sim_leader(sim);
    int sessions = kept_sessions(sim);
    int rented = sim->next_machine;
    int before = machines_in(sim, RP_MACHINE_UP);
    unsigned long lists = sim->n_state_lists;
    unsigned long rows = sim->n_rows_read;
    sim_crash(sim, leader, 0.2); /* back within a split second */
    sim_run(sim, 8);
    assert_true(sim_leader(sim) >= 0);
    const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    unsigned long records = node->jobs.table.n_jobs;
    for (const struct rp_provision_request *request = node->fleet.provisioning.requests.first;
         request; request = request->next)
        records++;
    assert_true(sim->n_state_lists - lists <= 3); /* jobs, progress, rentals: a page each */
    assert_true(sim->n_rows_read - rows <= 2 * records);
    sim_run(sim, 6);
    assert_true(rp_cluster_is_reconciled(&sim->nodes[sim_leader(sim)].node->cluster));
    assert_int_equal(kept_sessions(sim), sessions);
    assert_true(machines_in(sim, RP_MACHINE_UP) >= before - 5);
    assert_true(sim->next_machine <= rented + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The leader stands still for longer than its lease while its clocks run on, then goes on with
 * hundreds of reports waiting: another leads by then, and answers them all. */
static void large_fleet_frozen_leader(void **state) {
    (void)state;
    struct sim *sim = large_fleet(33, 150);
    int leader = sim_leader(sim);
    int sessions = kept_sessions(sim);
    int rented = sim->next_machine;
    sim->nodes[leader].paused_until = sim->now + 24;
    sim_run(sim, 23);
    assert_true(sim_leader(sim) >= 0);
    sim_run(sim, 9);
    assert_int_equal(sim->nodes[leader].node->state, RP_NODE_FOLLOWING);
    assert_true(kept_sessions(sim) >= sessions - sessions / 20);
    assert_true(sim->next_machine <= rented + 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* 150 machines hang for longer than their lease, 60 die: what hangs is waited for, what has died is
 * replaced, and no more. Before, whatever was silent for 16 s beyond its lease went back. */
static void large_fleet_mass_loss(void **state) {
    (void)state;
    struct sim *sim = large_fleet(34, 150);
    int rented = sim->next_machine;
    int hung = 0;
    int kept = 0;
    for (int i = 0; i < sim->size.workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (!worker->used || !worker->up)
            continue;
        if (i % 21 == 0)
            worker->alive = false;
        else if (i % 9 == 0)
            worker->paused_until = sim->now + 42;
        hung += worker->alive && i % 9 == 0;
    }
    assert_true(hung >= 100);
    sim_run(sim, 50);
    for (int i = 0; i < sim->size.workers; i++)
        kept += sim->workers[i].used && sim->workers[i].paused_until > 0;
    assert_true(kept >= hung - hung / 20);
    assert_true(sim->next_machine - rented <= 90);
    assert_true(machines_in(sim, RP_MACHINE_LOST) <= 5);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* ---- 4,000 machines ---- */

/* The users' fleet: no fixed limit may stand below it. With load and an end of the leader, which
 * has to be replaced by another node, every machine is known, used and kept, and the rules hold. */
static void users_fleet_takeover(void **state) {
    static const struct sim_size users_fleet = {4200, 500, 4, 22, 47, 2400, 240, 30};
    static const struct sim_faults none = {0};
    (void)state;
    struct sim *sim = sim_new_sized(36, &none, SIM_SOUND, 5, &users_fleet);
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 320; i++)
        sim_submit(sim, 1 + i * 0.02, "sweep", 40, 8, 60, 0);
    for (int i = 0; i < 20; i++)
        sim_submit(sim, 40 + i * 0.5, i % 2 ? "ensemble" : "sweep", 4, 8, 10, 0);
    sim_run(sim, 60);
    assert_string_equal(sim->violation, "");
    assert_true(machines_in(sim, RP_MACHINE_UP) >= 3950);
    int leader = sim_leader(sim);
    int sessions = kept_sessions(sim);
    int rented = sim->next_machine;
    assert_int_equal(sim->nodes[leader].node->scheduler.n_over_bounds, 0);
    sim_crash(sim, leader, 60);
    sim_run(sim, 24);
    assert_string_equal(sim->violation, "");
    assert_true(sim_leader(sim) >= 0 && sim_leader(sim) != leader);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(rp_cluster_is_reconciled(&node->cluster));
    assert_true(node->cluster.n_machines >= 3950);
    assert_true(kept_sessions(sim) >= sessions - sessions / 100);
    assert_true(sim->next_machine <= rented + 40);
    assert_true(node->workers.context.counters.n_starts > 2000);
    unsigned long done = sim->n_done_jobs;
    sim_run(sim, 10);
    assert_true(sim->n_done_jobs > done + 50);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* The checks can fail: each broken world must be caught on some day. */
static void catches(enum sim_breakage breakage, const struct sim_faults *faults, const char *rule) {
    for (unsigned long seed = 900; seed < 930; seed++) {
        struct sim *sim = sim_new(seed, faults, breakage, 3);
        submit_some(sim, seed);
        sim_set_field(sim, sim_submit(sim, 5, "sweep", 4, 1, 5, 0), "yard", json_string("a"));
        sim_run(sim, DAY_S);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        bool caught = strstr(sim->violation, rule) != NULL;
        sim_free(sim);
        if (caught)
            return;
    }
    fail_msg("no %s in 30 days, world %d", rule, (int)breakage);
}

static void broken_worlds_are_caught(void **state) {
    static const struct sim_faults cut = {.pause_s = 6};
    static const struct sim_faults calm = {0};
    static const struct sim_faults late = {
        .drop = 0.05, .delay = 0.1, .duplicate = 0.1, .crash_s = 10};
    (void)state;
    catches(SIM_WORKERS_KEEP_TASKS, &cut, "ran_twice");
    catches(SIM_WORKERS_IGNORE_STOPS, &calm, "ran_cancelled");
    catches(SIM_STORE_IGNORES_CONDITIONS, &late, "went_back");
    static const struct sim_faults copies = {.late_duplicate = 0.2};
    static const struct sim_faults alone = {
        .partitioned_node_s = 8, .delay = 0.05, .duplicate = 0.05};
    catches(SIM_DUPLICATES_LOOK_NEW, &copies, "ran_twice");
    catches(SIM_STORE_IGNORES_CONDITIONS, &alone, ": "); /* whichever rule is first */
    catches(SIM_POLLS_ARE_DROPPED, &calm, "forgotten");
    catches(SIM_LARGE_NEVER_BEGIN, &calm, "not_begun");
    static const struct sim_faults odd = {.invalid_request_s = 5};
    catches(SIM_INVALID_IS_ACCEPTED, &odd, "invented");
    catches(SIM_ANSWERS_ARE_STALE, &calm, "went_back");
    catches(SIM_UNKNOWN_IS_FOUND, &odd, "invented");
    catches(SIM_DONE_TOO_EARLY, &calm, "not_done");
    catches(SIM_GANGS_ARE_NOT_SERVED, &calm, "not_served");
    catches(SIM_LIMIT_IS_LOWER, &calm, "quota");
    catches(SIM_MACHINES_ELSEWHERE, &calm, "wrong_place");
    catches(SIM_STARTS_ARE_DROPPED, &calm, "left_waiting");
    catches(SIM_RENEWED_WITHOUT_STOPS, &calm, "kept_cancelled");
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(quiet_day),
                                       cmocka_unit_test(refused_node_steps_aside),
                                       cmocka_unit_test(isolated_leader_gives_way),
                                       cmocka_unit_test(bad_network),
                                       cmocka_unit_test(crashes),
                                       cmocka_unit_test(state_troubles),
                                       cmocka_unit_test(machine_troubles),
                                       cmocka_unit_test(everything),
                                       cmocka_unit_test(deaf_machines),
                                       cmocka_unit_test(late_copies),
                                       cmocka_unit_test(lonely_nodes),
                                       cmocka_unit_test(split_second_returns),
                                       cmocka_unit_test(everything_on_five),
                                       cmocka_unit_test(deaf_machine_goes_back),
                                       cmocka_unit_test(deaf_machine_and_takeover),
                                       cmocka_unit_test(ghost_is_no_machine),
                                       cmocka_unit_test(lonely_leader_lets_workers_go),
                                       cmocka_unit_test(frozen_leader_is_not_named),
                                       cmocka_unit_test(frozen_leader_while_another_is_silent),
                                       cmocka_unit_test(return_while_the_cloud_is_out),
                                       cmocka_unit_test(takeover_while_nodes_refuse_one_another),
                                       cmocka_unit_test(gang_that_loses_a_machine_begins),
                                       cmocka_unit_test(takeover_keeps_gangs),
                                       cmocka_unit_test(takeover_keeps_images),
                                       cmocka_unit_test(large_gangs_begin_on_a_full_fleet),
                                       cmocka_unit_test(kept_machines_stay),
                                       cmocka_unit_test(whole_machine_task_begins_on_a_full_fleet),
                                       cmocka_unit_test(bad_jobs_condemn_no_machine),
                                       cmocka_unit_test(bad_machines_are_found),
                                       cmocka_unit_test(machines_that_never_come_up),
                                       cmocka_unit_test(guests_are_served),
                                       cmocka_unit_test(guarantee_is_given),
                                       cmocka_unit_test(questions_starve_nothing),
                                       cmocka_unit_test(questions_are_answered_together),
                                       cmocka_unit_test(held_reports_bring_nothing_back),
                                       cmocka_unit_test(cut_zone_keeps_its_machines),
                                       cmocka_unit_test(large_fleet_is_used),
                                       cmocka_unit_test(large_fleet_takeover),
                                       cmocka_unit_test(large_fleet_frozen_leader),
                                       cmocka_unit_test(large_fleet_mass_loss),
                                       cmocka_unit_test(users_fleet_takeover),
                                       cmocka_unit_test(broken_worlds_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
