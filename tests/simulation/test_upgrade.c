/* Services, and days on which the nodes are replaced by a new version while they serve. */
#include "test.h"

#include <dlfcn.h>
#include "base/log.h"
#include "sim.h"
#include "store/records.h"

#define DAY_S 150
#define REST_S 200

static const struct sim_faults none = {0};

static void submit_services(struct sim *sim, double from) {
    sim_submit(sim, from + 1, "service", 3, 1, 0, from + 260);
    sim_submit(sim, from + 2, "service", 6, 1, 0, from + 120);
    sim_submit(sim, from + 5, "service", 2, 2, 0, from + 255);
    sim_submit(sim, from + 40, "service", 4, 1, 0, from + 250);
}

static void submit_arrays(struct sim *sim, double from) {
    for (int i = 0; i < 6; i++)
        sim_submit(sim, from + 1 + i * 12, "sweep", 40, 1, 14, 0);
    sim_submit(sim, from + 20, "ensemble", 2, 8, 20, 0);
}

static void expect_sound(struct sim *sim, unsigned long seed) {
    if (sim->violation[0])
        fail_msg("seed %lu: %s", seed, sim->violation);
}

static double up_share(const struct sim *sim) {
    double up = 0;
    double down = 0;
    for (int i = 0; i < sim->n_jobs; i++) {
        up += sim->jobs[i].up_s;
        down += sim->jobs[i].down_s;
    }
    return up / (up + down);
}

/* ---- services ---- */

/* On a fleet full of low work, replicas run within the time of a fetch, and again where one ends by
 * itself, whatever it says; no array's work is stopped for longer than that takes. */
static void replicas_stand(void **state) {
    static const struct sim_faults ends = {.replica_exit_s = 100};
    struct sim *sim = sim_new(40, &ends, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 40; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 20, 0);
    submit_services(sim, 30);
    sim_run(sim, 300);
    expect_sound(sim, 40);
    /* Of each 100 s, an end costs the simulated fetch of 0.5 to 1.5 s, and up to half a second
     * until it is reported. */
    if (up_share(sim) < 0.97)
        fail_msg("up share %.4f", up_share(sim));
    assert_true(sim->n_direct > 15);
    sim_end_faults(sim);
    sim_run(sim, 150);
    expect_sound(sim, 40);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* A machine that hangs is given back as soon as it neither reports nor answers: its replicas don't
 * wait for its lease. */
static void hung_machine_frees_replicas(void **state) {
    struct sim *sim = sim_new(41, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 12; i++)
        sim_submit(sim, 1 + i, "sweep", 40, 2, 30, 0);
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    int job = sim_submit(sim, 40, "service", 6, 1, 0, 300);
    sim_run(sim, 60);
    struct sim_worker *worker = NULL;
    for (int i = 0; i < sim->size.workers && !worker; i++)
        for (int k = 0; sim->workers[i].used && k < sim->workers[i].n_tasks; k++)
            if (sim->workers[i].tasks[k].job_index == job &&
                sim->workers[i].tasks[k].state == RP_TASK_RUNNING)
                worker = &sim->workers[i];
    assert_non_null(worker);
    worker->paused_until = sim->now + 60;
    sim_run(sim, 10);
    for (uint32_t t = 0; t < 6; t++)
        assert_true(sim->jobs[job].down_since[t] <= 0);
    expect_sound(sim, 41);
    sim_free(sim);
}

/* A service whose replicas end at once: other machines, growing pauses, few starts. */
static void bad_image_costs_little(void **state) {
    struct sim *sim = sim_new(42, &none, SIM_SOUND, 3);
    (void)state;
    submit_arrays(sim, 0);
    sim_run(sim, 60);
    int job = sim_submit(sim, sim->now + 100, "service", 4, 1, 0, 0);
    sim->jobs[job].fails_always = true;
    sim_run(sim, 100);
    unsigned long starts = sim->n_starts;
    sim_run(sim, 120);
    assert_true(sim->jobs[job].begun);
    assert_true(sim->n_starts - starts < 80);
    expect_sound(sim, 42);
    sim_free(sim);
}

/* What is kept known of direct starts doesn't grow for ever: another term lets workers forget it.
 */
static void ended_attempts_are_forgotten(void **state) {
    struct sim *sim = sim_new(54, &none, SIM_SOUND, 3);
    size_t listed = 0;
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 12; i++)
        sim_submit(sim, 1 + i * 14, "service", 40, 1, 0, 30 + i * 14);
    sim_run(sim, 60);
    uint64_t token = sim->nodes[sim_leader(sim)].node->election.fencing_token;
    sim_run(sim, 160);
    assert_true(sim_leader(sim) >= 0);
    assert_true(sim->nodes[sim_leader(sim)].node->election.fencing_token > token);
    sim_run(sim, 10);
    for (int i = 0; i < sim->size.workers; i++)
        for (int k = 0; sim->workers[i].used && k < sim->workers[i].n_tasks; k++)
            listed += sim->workers[i].tasks[k].state == RP_TASK_EXITED;
    assert_true(listed < 300);
    sim_run(sim, 60);
    expect_sound(sim, 54);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

static void service_days(int nodes, const struct sim_faults *faults, unsigned long first,
                         int days) {
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *sim = sim_new(seed, faults, SIM_SOUND, nodes);
        submit_services(sim, 3);
        submit_arrays(sim, 0);
        sim_run(sim, DAY_S);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        expect_sound(sim, seed);
        if (!sim_all_terminal(sim))
            fail_msg("seed %lu: work left undone", seed);
        sim_free(sim);
    }
}

/* Direct commands lost, late and repeated, across sessions, leaders and machines that go. */
static void services_in_trouble(void **state) {
    static const struct sim_faults faults = {.drop = 0.02,
                                             .delay = 0.03,
                                             .duplicate = 0.08,
                                             .late_duplicate = 0.03,
                                             .crash_s = 40,
                                             .pause_s = 20,
                                             .machine_crash_s = 40,
                                             .one_way_partition_s = 40,
                                             .replica_exit_s = 15,
                                             .spot_notice_s = 30};
    (void)state;
    service_days(3, &faults, 1000, 16);
}

static void services_in_everything(void **state) {
    static const struct sim_faults faults = {.drop = 0.01,
                                             .delay = 0.01,
                                             .duplicate = 0.05,
                                             .late_duplicate = 0.03,
                                             .crash_s = 40,
                                             .store_outage_s = 90,
                                             .store_refusal_s = 60,
                                             .partitioned_node_s = 60,
                                             .one_way_partition_s = 50,
                                             .fast_restart_s = 15,
                                             .pause_s = 25,
                                             .machine_crash_s = 50,
                                             .node_pause_s = 40,
                                             .replica_exit_s = 20,
                                             .task_error = 0.01};
    (void)state;
    service_days(5, &faults, 1100, 12);
}

/* ---- rolls ---- */

/* Every node is replaced, with troubles all the while: nodes end before their turn and come back
 * old. The limits come down right after the last one is back, and then services come. */
static unsigned old_after_new, new_after_old; /* takeovers */

/* Lets the world go on, and counts who takes over from whom. */
static void run_counted(struct sim *sim, double seconds) {
    static int was = -1; /* -1 nobody, 0 new, 1 old */
    for (double end = sim->now + seconds; sim->now < end && !sim->violation[0];) {
        sim_run(sim, 0.1);
        int leader = sim_leader(sim);
        int is = leader < 0 ? -1 : sim->nodes[leader].is_old_version;
        old_after_new += was == 0 && is == 1;
        new_after_old += was == 1 && is == 0;
        was = is < 0 ? was : is;
    }
}

static void roll(unsigned long seed, int nodes, const struct sim_faults *faults) {
    struct sim *sim = sim_new(seed, faults, SIM_SOUND, nodes);
    sim_start_as_old_version(sim);
    submit_arrays(sim, 0);
    sim_submit(sim, 10, "sweep", 30, 1, 25, 70);
    run_counted(sim, 25 + (double)(seed % 7));
    for (int i = 0; i < nodes; i++) {
        int node = (int)((unsigned long)i * (1 + seed % 2) + seed) % nodes;
        while (!sim->nodes[node].restarts_as_old)
            node = (node + 1) % nodes;
        sim_upgrade(sim, node, 0.2 + (double)(seed % 4));
        run_counted(sim, i + 1 < nodes ? 3 + (double)(seed % 11) : 4);
        expect_sound(sim, seed);
    }
    sim_lower_limits(sim);
    submit_services(sim, sim->now);
    submit_arrays(sim, sim->now);
    sim_run(sim, DAY_S);
    sim_end_faults(sim);
    sim_run(sim, REST_S);
    sim_check_served(sim);
    expect_sound(sim, seed);
    if (!sim_all_terminal(sim) || sim->format_active_at <= 0)
        fail_msg("seed %lu: work left undone", seed);
    sim_free(sim);
}

static void rolls(void **state) {
    static const struct sim_faults faults = {.drop = 0.005,
                                             .delay = 0.005,
                                             .duplicate = 0.03,
                                             .late_duplicate = 0.02,
                                             .crash_s = 20,
                                             .fast_restart_s = 25,
                                             .store_outage_s = 90,
                                             .pause_s = 40,
                                             .machine_crash_s = 60,
                                             .node_pause_s = 60,
                                             .replica_exit_s = 30};
    (void)state;
    for (unsigned long seed = 1200; seed < 1212; seed++)
        roll(seed, 3, &faults);
    for (unsigned long seed = 1220; seed < 1226; seed++)
        roll(seed, 5, &faults);
    assert_true(old_after_new >= 5 && new_after_old >= 5);
}

/* Without troubles the format is active within two seconds of the last node's return, and nothing
 * is lost: no lease ends, and after it a service is accepted and runs at once. */
static void quiet_roll(void **state) {
    struct sim *sim = sim_new(43, &none, SIM_SOUND, 5);
    (void)state;
    sim_start_as_old_version(sim);
    for (int i = 0; i < 6; i++)
        sim_submit(sim, 1, "sweep", 40, 1, 60, 0);
    sim_run(sim, 30);
    for (int i = 0; i < sim->n_nodes; i++) {
        sim_upgrade(sim, i, 3);
        assert_true(sim->format_active_at <= 0);
        sim_run(sim, i + 1 < sim->n_nodes ? 8 : 3);
    }
    sim_run(sim, 2);
    assert_true(sim->format_active_at > 0);
    sim_run(sim, 1);
    sim_lower_limits(sim);
    int job = sim_submit(sim, sim->now, "service", 3, 1, 0, sim->now + 60);
    sim_run(sim, 1);
    assert_true(sim->jobs[job].accepted);
    /* Its team is at its limit, on spot machines: lower work makes way while a machine boots. */
    sim_run(sim, 24);
    for (uint32_t t = 0; t < 3; t++)
        assert_true(sim->jobs[job].down_since[t] <= 0);
    for (int i = 0; i < sim->size.workers; i++)
        assert_true(!sim->workers[i].used || sim->workers[i].incarnation <= 1);
    sim_run(sim, 250);
    expect_sound(sim, 43);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim->n_oversized_writes, 0);
    sim_free(sim);
}

/* While one node is away nothing is activated, and a service isn't accepted; the rest goes on. */
static void absent_node_counts_as_old(void **state) {
    struct sim *sim = sim_new(44, &none, SIM_SOUND, 3);
    (void)state;
    sim_start_as_old_version(sim);
    sim_run(sim, 5);
    sim_upgrade(sim, 0, 1);
    sim_upgrade(sim, 1, 1);
    sim_crash(sim, 2, 120);
    int job = sim_submit(sim, 10, "service", 2, 1, 0, 200);
    int array = sim_submit(sim, 10, "sweep", 20, 1, 10, 0);
    sim_run(sim, 100);
    assert_true(sim->format_active_at <= 0 && !sim->jobs[job].accepted);
    assert_true(sim->jobs[array].told_done);
    sim->nodes[2].restarts_as_old = sim->nodes[2].is_old_version = false; /* it comes back new */
    sim_run(sim, 40);
    assert_true(sim->format_active_at > 0 && sim->jobs[job].accepted);
    sim_run(sim, 100);
    expect_sound(sim, 44);
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

/* An operator may keep the way back open: one node that says nothing is enough. */
static void held_back_by_the_operators(void **state) {
    struct sim *sim = sim_new(45, &none, SIM_SOUND, 3);
    (void)state;
    sim->nodes[1].restarts_as_old = true;
    sim_crash(sim, 1, 0.1);
    sim_run(sim, 30);
    int job = sim_submit(sim, sim->now, "sweep", 20, 1, 10, 0);
    sim_run(sim, 60);
    assert_true(sim->jobs[job].told_done);
    assert_int_equal(sim_count_stored(sim, RP_KEY_ROOT "over/"), 1);
    assert_int_equal(rp_record_format(sim_find_record(sim, RP_KEY_ROOT "over/j-000000")), 1);
    expect_sound(sim, 45);
    sim_free(sim);
}

/* ---- what is stored large ---- */

/* Records that the version before wrote within the old limits: read, ended, and where they have to
 * change, moved to smaller ones, without one request that the new limits refuse. */
static void large_records_end(void **state) {
    static const char open[] =
        "{\"spec\":{\"ref\":\"j-777777\",\"rig\":\"a\",\"crew\":\"t\",\"haul\":\"sweep\","
        "\"precedence\":\"low\",\"lifts\":30000,\"vcpus\":1.0,\"cards\":0.0,\"memory_gb\":1.0,"
        "\"payload\":\"img\",\"image_gb\":1.0,\"frames\":[\"none-such\"],\"one_zone\":false,"
        "\"spread\":false,\"loaners\":true,\"run_guess_s\":10.0,\"brace_every_s\":0.0,"
        "\"brace_s\":0.0},\"at\":1790000000.5}";
    char hex[2049];
    char text[4096];
    char key[RP_KEY_MAX];
    struct sim *sim = sim_new(46, &none, SIM_SOUND, 3);
    (void)state;
    memset(hex, '5', 2048);
    hex[2048] = '\0';
    sim_put_record(sim, RP_KEY_OPEN "j-777777", open);
    for (unsigned c = 0; c < 4; c++) {
        snprintf(text, sizeof text, "{\"done\":\"%.*s\"}", c < 3 ? 2048 : 1000, hex);
        rp_key_progress(key, "j-777777", c);
        sim_put_record(sim, key, text);
    }
    int n = snprintf(text, sizeof text,
                     "{\"type\":\"wide\",\"zone\":\"a\",\"spot\":false,"
                     "\"count\":50,\"asked\":1790000000.5,\"machines\":[");
    for (int i = 0; i < 50; i++)
        n += snprintf(text + n, sizeof text - (size_t)n, "%s\"vm-with-a-long-name-%06d\"",
                      i ? "," : "", i);
    snprintf(text + n, sizeof text - (size_t)n, "],\"up\":[\"vm-with-a-long-name-000003\"]}");
    sim_put_record(sim, RP_KEY_PROVISION "r-1-1", text);
    sim_run(sim, 4);
    assert_true(sim->format_active_at > 0);
    sim_lower_limits(sim);
    const struct rp_job *job = rp_jobs_find(&sim->nodes[sim_leader(sim)].node->jobs, "j-777777");
    assert_non_null(job);
    assert_int_equal(job->n_done, 14288); /* half of 3 * 8192 + 4000 */
    /* A leader that dies in the middle of the splitting leaves nothing that the next can't read. */
    for (int i = 0; i < 6; i++) {
        sim_run(sim, 11);
        sim_crash(sim, sim_leader(sim) >= 0 ? sim_leader(sim) : 0, 0.3);
    }
    sim_run(sim, 150);
    assert_null(sim_find_record(sim, RP_KEY_PROVISION "r-1-1"));
    struct rp_request none_such = {0};
    (void)none_such;
    int other = sim_submit(sim, sim->now, "sweep", 40, 1, 10, 0);
    /* Its user cancels it. (With only the id changed here, a repeated submission named another job,
     * and its answer "pending" passed for one that went back, on every fourth seed.) */
    sim_set_field(sim, other, "ref", json_string("j-777777"));
    sim->jobs[other].accepted = true;
    sim->jobs[other].cancel_at = sim->now;
    sim_run(sim, 30);
    assert_true(sim->jobs[other].told_cancelled);
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    assert_int_equal(sim->n_oversized_writes, 0);
    expect_sound(sim, 46);
    sim_free(sim);
}

/* Descriptions too long for one value of the new limits: stored in parts, known to the next leader,
 * run to their end, and nothing of them is left. Before the activation they wait, or are stored
 * whole where today's limit lets them. */
static void long_descriptions(void **state) {
    struct sim *sim = sim_new(47, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(sim, 5);
    sim_lower_limits(sim);
    int first = sim_submit_long(sim, 6, 30, 20);
    sim_run(sim, 5);
    assert_true(sim->jobs[first].accepted);
    assert_true(sim_count_stored(sim, RP_KEY_PART) >= 1);
    sim_crash(sim, sim_leader(sim), 2);
    sim_run(sim, 60);
    int second = sim_submit_long(sim, sim->now, 5, 5);
    sim_run(sim, 100);
    assert_true(sim->jobs[first].told_done && sim->jobs[second].told_done);
    assert_int_equal(sim_count_stored(sim, RP_KEY_PART), 0);
    assert_int_equal(sim->n_oversized_writes, 0);
    expect_sound(sim, 47);
    sim_free(sim);
}

/* Limits that come down further than anybody announced: smaller pieces and a slower pace, no
 * refused request in a loop, and no leadership lost for it. */
static void limits_below_all_promises(void **state) {
    struct sim *sim = sim_new(48, &none, SIM_SOUND, 3);
    (void)state;
    submit_arrays(sim, 0);
    sim_run(sim, 20);
    int leader = sim_leader(sim);
    sim->limits = (struct sim_limits){.value_bytes = 700, .txn_ops = 2, .write_rps = 5};
    sim->announced_limits =
        (struct sim_limits){.value_bytes = 1e9, .txn_ops = 1e9, .write_rps = 1e9};
    sim_run(sim, 280);
    expect_sound(sim, 48);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_leader(sim), leader);
    assert_true(sim->n_oversized_writes < 40);
    sim_free(sim);
}

/* Few changes a second, told beforehand: progress and sweeps got no turn at all where what was kept
 * free for finishing jobs was more than the budget ever held. */
static void few_changes_a_second(void **state) {
    static const struct sim_size slow = {64, 6, 2, 14, 39, 200, 6, 5};
    struct sim *sim = sim_new_sized(53, &none, SIM_SOUND, 3, &slow);
    (void)state;
    sim_run(sim, 5);
    sim_lower_limits(sim);
    for (int i = 0; i < 3; i++)
        sim_submit(sim, 6, "sweep", 40, 1, 30 + 5 * i, 0);
    sim_run(sim, 50);
    assert_true(sim_count_stored(sim, RP_KEY_PROGRESS) > 0);
    sim_run(sim, 180);
    expect_sound(sim, 53);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    sim_free(sim);
}

/* Records that can't be read, or are of a later version, stay as they are and harm nothing else. */
static void strange_records(void **state) {
    static const char *const odd[][2] = {
        {RP_KEY_OPEN "j-900001", "{\"f\":3,\"spec\":{},\"more\":1}"},
        {RP_KEY_OPEN "j-900002", "[1,2]"},
        {RP_KEY_OPEN "j-900003", "{\"f\":2,\"parts\":2,\"text\":\"{\"}"},
        {RP_KEY_PROGRESS "j-900001/u07", "{\"f\":3,\"done\":\"ff\"}"},
        {RP_KEY_PROVISION "x-1", "{\"f\":9,\"machines\":\"?\"}"},
        {RP_KEY_PROVISION "x-2", "7"}};
    struct sim *sim = sim_new(49, &none, SIM_SOUND, 3);
    (void)state;
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
        sim_put_record(sim, odd[i][0], odd[i][1]);
    submit_arrays(sim, 0);
    sim_run(sim, 30);
    sim_crash(sim, sim_leader(sim), 1);
    sim_run(sim, 200);
    expect_sound(sim, 49);
    assert_true(sim_all_terminal(sim));
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++) {
        json_t *value = json_loads(odd[i][1], JSON_DECODE_ANY, NULL);
        assert_true(json_equal(sim_find_record(sim, odd[i][0]), value));
        json_decref(value);
    }
    sim_free(sim);
}

/* A node that comes back of this version once a later one's format is active keeps away. */
static void too_old_keeps_away(void **state) {
    struct sim *sim = sim_new(55, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(sim, 5);
    assert_true(sim_leader(sim) >= 0);
    sim_put_record(sim, RP_KEY_FORMAT, "{\"f\":3}");
    for (int i = 0; i < sim->n_nodes; i++)
        sim_crash(sim, i, 0.5);
    sim_run(sim, 20);
    assert_int_equal(sim_leader(sim), -1);
    for (int i = 0; i < sim->n_nodes; i++)
        assert_false(rp_node_is_healthy(sim->nodes[i].node));
    expect_sound(sim, 55);
    sim_free(sim);
}

/* The checks can fail. */
static void broken_rolls_are_caught(void **state) {
    (void)state;
    /* Somebody says of old nodes that they are new. */
    struct sim *sim = sim_new(50, &none, SIM_SOUND, 3);
    sim_start_as_old_version(sim);
    for (int i = 0; i < 3; i++) {
        char key[RP_KEY_MAX];
        char name[8];
        snprintf(name, sizeof name, "n%d", i);
        rp_key(key, RP_KEY_VERSION, name);
        sim_put_record(sim, key, "{\"f\":2}");
    }
    sim_run(sim, 5);
    sim_upgrade(sim, 0, 0.1);
    sim_upgrade(sim, 1, 0.1);
    sim_run(sim, 20);
    assert_true(strstr(sim->violation, "activated_early") != NULL);
    sim_free(sim);
    /* What is to come is less than the nodes were told. */
    sim = sim_new(51, &none, SIM_SOUND, 3);
    sim->announced_limits.value_bytes = 100;
    submit_arrays(sim, 5);
    sim_run(sim, 30);
    assert_true(strstr(sim->violation, "too_large") != NULL);
    sim_free(sim);
    sim = sim_new(52, &none, SIM_REPLICAS_NEVER_START, 3);
    submit_services(sim, 3);
    sim_run(sim, 10);
    sim_end_faults(sim);
    sim_run(sim, 150);
    assert_true(strstr(sim->violation, "replica_down") != NULL);
    sim_free(sim);
}

/* Outside CI: nodes of the really built version in production (tests/mixed/run). */
static void load_old(const char *library) {
    void *so = library ? dlopen(library, RTLD_NOW | RTLD_LOCAL) : NULL;
    if (library && !so)
        fprintf(stderr, "%s\n", dlerror());
    sim_old_engine = so ? dlsym(so, SIM_ENGINE_SYMBOL) : NULL;
    if (library && !sim_old_engine)
        exit(2);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(replicas_stand),
                                       cmocka_unit_test(hung_machine_frees_replicas),
                                       cmocka_unit_test(bad_image_costs_little),
                                       cmocka_unit_test(ended_attempts_are_forgotten),
                                       cmocka_unit_test(services_in_trouble),
                                       cmocka_unit_test(services_in_everything),
                                       cmocka_unit_test(rolls),
                                       cmocka_unit_test(quiet_roll),
                                       cmocka_unit_test(absent_node_counts_as_old),
                                       cmocka_unit_test(held_back_by_the_operators),
                                       cmocka_unit_test(large_records_end),
                                       cmocka_unit_test(long_descriptions),
                                       cmocka_unit_test(limits_below_all_promises),
                                       cmocka_unit_test(few_changes_a_second),
                                       cmocka_unit_test(strange_records),
                                       cmocka_unit_test(too_old_keeps_away),
                                       cmocka_unit_test(broken_rolls_are_caught)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    load_old(getenv("RP_OLD_NODE"));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
