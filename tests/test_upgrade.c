/* Services, and days on which the nodes are replaced by a new version while they serve. */
#include "test.h"

#include <dlfcn.h>
#include "base/log.h"
#include "store/records.h"
#include "sim.h"

#define DAY_S 150
#define REST_S 200

static const struct sim_faults none = {0};

static void submit_services(struct sim *s, double from) {
    sim_submit(s, from + 1, "service", 3, 1, 0, from + 260);
    sim_submit(s, from + 2, "service", 6, 1, 0, from + 120);
    sim_submit(s, from + 5, "service", 2, 2, 0, from + 255);
    sim_submit(s, from + 40, "service", 4, 1, 0, from + 250);
}

static void submit_arrays(struct sim *s, double from) {
    for (int i = 0; i < 6; i++)
        sim_submit(s, from + 1 + i * 12, "sweep", 40, 1, 14, 0);
    sim_submit(s, from + 20, "ensemble", 2, 8, 20, 0);
}

static void expect_sound(struct sim *s, unsigned long seed) {
    if (s->broken[0])
        fail_msg("seed %lu: %s", seed, s->broken);
}

static double up_share(const struct sim *s) {
    double up = 0, down = 0;
    for (int i = 0; i < s->n_jobs; i++) {
        up += s->jobs[i].up_s;
        down += s->jobs[i].down_s;
    }
    return up / (up + down);
}

/* ---- services ---- */

/* On a fleet full of low work, replicas run within the time of a fetch, and again where one ends by
 * itself, whatever it says; no array's work is stopped for longer than that takes. */
static void replicas_stand(void **state) {
    static const struct sim_faults ends = {.end_s = 100};
    struct sim *s = sim_new(40, &ends, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < s->n_nodes; i++)
        s->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 40; i++)
        sim_submit(s, 1 + i * 2, "sweep", 40, 2, 20, 0);
    submit_services(s, 30);
    sim_run(s, 300);
    expect_sound(s, 40);
    /* Of each 100 s, an end costs the simulated fetch of 0.5 to 1.5 s, and up to half a second
     * until it is reported. */
    if (up_share(s) < 0.97)
        fail_msg("up share %.4f", up_share(s));
    assert_true(s->n_direct > 15);
    sim_calm(s);
    sim_run(s, 150);
    expect_sound(s, 40);
    assert_true(sim_all_over(s));
    sim_free(s);
}

/* A machine that hangs is given back as soon as it neither reports nor answers: its replicas don't
 * wait for its lease. */
static void hung_machine_frees_replicas(void **state) {
    struct sim *s = sim_new(41, &none, SIM_SOUND, 3);
    (void)state;
    for (int i = 0; i < 12; i++)
        sim_submit(s, 1 + i, "sweep", 40, 2, 30, 0);
    for (int i = 0; i < s->n_nodes; i++)
        s->settings[i].teams[0].cpus_max = 1e6;
    int job = sim_submit(s, 40, "service", 6, 1, 0, 300);
    sim_run(s, 60);
    struct sim_worker *w = NULL;
    for (int i = 0; i < s->size.workers && !w; i++)
        for (int k = 0; s->workers[i].used && k < s->workers[i].n_tasks; k++)
            if (s->workers[i].tasks[k].job_index == job &&
                s->workers[i].tasks[k].state == RP_TASK_RUNNING)
                w = &s->workers[i];
    assert_non_null(w);
    w->hung_until = s->now + 60;
    sim_run(s, 10);
    for (uint32_t t = 0; t < 6; t++)
        assert_true(s->jobs[job].down_since[t] <= 0);
    expect_sound(s, 41);
    sim_free(s);
}

/* A service whose replicas end at once: other machines, growing pauses, few starts. */
static void bad_image_costs_little(void **state) {
    struct sim *s = sim_new(42, &none, SIM_SOUND, 3);
    (void)state;
    submit_arrays(s, 0);
    sim_run(s, 60);
    int job = sim_submit(s, s->now + 100, "service", 4, 1, 0, 0);
    s->jobs[job].faulty = true;
    sim_run(s, 100);
    unsigned long starts = s->n_starts;
    sim_run(s, 120);
    assert_true(s->jobs[job].begun);
    assert_true(s->n_starts - starts < 80);
    expect_sound(s, 42);
    sim_free(s);
}

/* What is kept known of direct starts doesn't grow for ever: another term lets workers forget it.
 */
static void ended_attempts_are_forgotten(void **state) {
    struct sim *s = sim_new(54, &none, SIM_SOUND, 3);
    size_t listed = 0;
    (void)state;
    for (int i = 0; i < s->n_nodes; i++)
        s->settings[i].teams[0].cpus_max = 1e6;
    for (int i = 0; i < 12; i++)
        sim_submit(s, 1 + i * 14, "service", 40, 1, 0, 30 + i * 14);
    sim_run(s, 60);
    uint64_t token = s->nodes[sim_leader(s)].node->election.token;
    sim_run(s, 160);
    assert_true(sim_leader(s) >= 0);
    assert_true(s->nodes[sim_leader(s)].node->election.token > token);
    sim_run(s, 10);
    for (int i = 0; i < s->size.workers; i++)
        for (int k = 0; s->workers[i].used && k < s->workers[i].n_tasks; k++)
            listed += s->workers[i].tasks[k].state == RP_TASK_EXITED;
    assert_true(listed < 300);
    sim_run(s, 60);
    expect_sound(s, 54);
    assert_true(sim_all_over(s));
    sim_free(s);
}

static void service_days(int nodes, const struct sim_faults *f, unsigned long first, int days) {
    for (unsigned long seed = first; seed < first + (unsigned long)days; seed++) {
        struct sim *s = sim_new(seed, f, SIM_SOUND, nodes);
        submit_services(s, 3);
        submit_arrays(s, 0);
        sim_run(s, DAY_S);
        sim_calm(s);
        sim_run(s, REST_S);
        sim_check_served(s);
        expect_sound(s, seed);
        if (!sim_all_over(s))
            fail_msg("seed %lu: work left undone", seed);
        sim_free(s);
    }
}

/* Direct commands lost, late and repeated, across sessions, leaders and machines that go. */
static void services_in_trouble(void **state) {
    static const struct sim_faults f = {.lose = 0.02,
                                        .late = 0.03,
                                        .repeat = 0.08,
                                        .copies = 0.03,
                                        .crash_s = 40,
                                        .hang_s = 20,
                                        .death_s = 40,
                                        .deaf_s = 40,
                                        .end_s = 15,
                                        .take_s = 30};
    (void)state;
    service_days(3, &f, 1000, 16);
}

static void services_in_everything(void **state) {
    static const struct sim_faults f = {.lose = 0.01,
                                        .late = 0.01,
                                        .repeat = 0.05,
                                        .copies = 0.03,
                                        .crash_s = 40,
                                        .outage_s = 90,
                                        .refused_s = 60,
                                        .alone_s = 60,
                                        .deaf_s = 50,
                                        .blink_s = 15,
                                        .hang_s = 25,
                                        .death_s = 50,
                                        .stall_s = 40,
                                        .end_s = 20,
                                        .task_error = 0.01};
    (void)state;
    service_days(5, &f, 1100, 12);
}

/* ---- rolls ---- */

/* Every node is replaced, with troubles all the while: nodes end before their turn and come back
 * old. The limits come down right after the last one is back, and then services come. */
static unsigned old_after_new, new_after_old; /* takeovers */

/* Lets the world go on, and counts who takes over from whom. */
static void run_counted(struct sim *s, double seconds) {
    static int was = -1; /* -1 nobody, 0 new, 1 old */
    for (double end = s->now + seconds; s->now < end && !s->broken[0];) {
        sim_run(s, 0.1);
        int leader = sim_leader(s), is = leader < 0 ? -1 : s->nodes[leader].old;
        old_after_new += was == 0 && is == 1;
        new_after_old += was == 1 && is == 0;
        was = is < 0 ? was : is;
    }
}

static void roll(unsigned long seed, int nodes, const struct sim_faults *f) {
    struct sim *s = sim_new(seed, f, SIM_SOUND, nodes);
    sim_all_old(s);
    submit_arrays(s, 0);
    sim_submit(s, 10, "sweep", 30, 1, 25, 70);
    run_counted(s, 25 + (double)(seed % 7));
    for (int i = 0; i < nodes; i++) {
        int node = (int)((unsigned long)i * (1 + seed % 2) + seed) % nodes;
        while (!s->nodes[node].next_old)
            node = (node + 1) % nodes;
        sim_upgrade(s, node, 0.2 + (double)(seed % 4));
        run_counted(s, i + 1 < nodes ? 3 + (double)(seed % 11) : 4);
        expect_sound(s, seed);
    }
    sim_lower_limits(s);
    submit_services(s, s->now);
    submit_arrays(s, s->now);
    sim_run(s, DAY_S);
    sim_calm(s);
    sim_run(s, REST_S);
    sim_check_served(s);
    expect_sound(s, seed);
    if (!sim_all_over(s) || s->activated <= 0)
        fail_msg("seed %lu: work left undone", seed);
    sim_free(s);
}

static void rolls(void **state) {
    static const struct sim_faults f = {.lose = 0.005,
                                        .late = 0.005,
                                        .repeat = 0.03,
                                        .copies = 0.02,
                                        .crash_s = 20,
                                        .blink_s = 25,
                                        .outage_s = 90,
                                        .hang_s = 40,
                                        .death_s = 60,
                                        .stall_s = 60,
                                        .end_s = 30};
    (void)state;
    for (unsigned long seed = 1200; seed < 1212; seed++)
        roll(seed, 3, &f);
    for (unsigned long seed = 1220; seed < 1226; seed++)
        roll(seed, 5, &f);
    assert_true(old_after_new >= 5 && new_after_old >= 5);
}

/* Without troubles the format is active within two seconds of the last node's return, and nothing
 * is lost: no lease ends, and after it a service is accepted and runs at once. */
static void quiet_roll(void **state) {
    struct sim *s = sim_new(43, &none, SIM_SOUND, 5);
    (void)state;
    sim_all_old(s);
    for (int i = 0; i < 6; i++)
        sim_submit(s, 1, "sweep", 40, 1, 60, 0);
    sim_run(s, 30);
    for (int i = 0; i < s->n_nodes; i++) {
        sim_upgrade(s, i, 3);
        assert_true(s->activated <= 0);
        sim_run(s, i + 1 < s->n_nodes ? 8 : 3);
    }
    sim_run(s, 2);
    assert_true(s->activated > 0);
    sim_run(s, 1);
    sim_lower_limits(s);
    int job = sim_submit(s, s->now, "service", 3, 1, 0, s->now + 60);
    sim_run(s, 1);
    assert_true(s->jobs[job].accepted);
    /* Its team is at its limit, on spot machines: lower work makes way while a machine boots. */
    sim_run(s, 24);
    for (uint32_t t = 0; t < 3; t++)
        assert_true(s->jobs[job].down_since[t] <= 0);
    for (int i = 0; i < s->size.workers; i++)
        assert_true(!s->workers[i].used || s->workers[i].session <= 1);
    sim_run(s, 250);
    expect_sound(s, 43);
    assert_true(sim_all_over(s));
    assert_int_equal(s->n_bad, 0);
    sim_free(s);
}

/* While one node is away nothing is activated, and a service isn't accepted; the rest goes on. */
static void absent_node_counts_as_old(void **state) {
    struct sim *s = sim_new(44, &none, SIM_SOUND, 3);
    (void)state;
    sim_all_old(s);
    sim_run(s, 5);
    sim_upgrade(s, 0, 1);
    sim_upgrade(s, 1, 1);
    sim_crash(s, 2, 120);
    int job = sim_submit(s, 10, "service", 2, 1, 0, 200);
    int array = sim_submit(s, 10, "sweep", 20, 1, 10, 0);
    sim_run(s, 100);
    assert_true(s->activated <= 0 && !s->jobs[job].accepted);
    assert_true(s->jobs[array].told_done);
    s->nodes[2].next_old = s->nodes[2].old = false; /* it comes back new */
    sim_run(s, 40);
    assert_true(s->activated > 0 && s->jobs[job].accepted);
    sim_run(s, 100);
    expect_sound(s, 44);
    assert_true(sim_all_over(s));
    sim_free(s);
}

/* An operator may keep the way back open: one node that says nothing is enough. */
static void held_back_by_the_operators(void **state) {
    struct sim *s = sim_new(45, &none, SIM_SOUND, 3);
    (void)state;
    s->nodes[1].next_old = true;
    sim_crash(s, 1, 0.1);
    sim_run(s, 30);
    int job = sim_submit(s, s->now, "sweep", 20, 1, 10, 0);
    sim_run(s, 60);
    assert_true(s->jobs[job].told_done);
    assert_int_equal(sim_count_stored(s, RP_KEY_ROOT "over/"), 1);
    assert_int_equal(rp_record_format(sim_stored(s, RP_KEY_ROOT "over/j-000000")), 1);
    expect_sound(s, 45);
    sim_free(s);
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
    char hex[2049], text[4096], key[RP_KEY_MAX];
    struct sim *s = sim_new(46, &none, SIM_SOUND, 3);
    (void)state;
    memset(hex, '5', 2048);
    hex[2048] = '\0';
    sim_store(s, RP_KEY_OPEN "j-777777", open);
    for (unsigned c = 0; c < 4; c++) {
        snprintf(text, sizeof text, "{\"done\":\"%.*s\"}", c < 3 ? 2048 : 1000, hex);
        rp_key_progress(key, "j-777777", c);
        sim_store(s, key, text);
    }
    int n = snprintf(text, sizeof text,
                     "{\"type\":\"wide\",\"zone\":\"a\",\"spot\":false,"
                     "\"count\":50,\"asked\":1790000000.5,\"machines\":[");
    for (int i = 0; i < 50; i++)
        n += snprintf(text + n, sizeof text - (size_t)n, "%s\"vm-with-a-long-name-%06d\"",
                      i ? "," : "", i);
    snprintf(text + n, sizeof text - (size_t)n, "],\"up\":[\"vm-with-a-long-name-000003\"]}");
    sim_store(s, RP_KEY_RENTAL "r-1-1", text);
    sim_run(s, 4);
    assert_true(s->activated > 0);
    sim_lower_limits(s);
    const struct rp_job *job = rp_jobs_find(&s->nodes[sim_leader(s)].node->jobs, "j-777777");
    assert_non_null(job);
    assert_int_equal(job->n_done, 14288); /* half of 3 * 8192 + 4000 */
    /* A leader that dies in the middle of the splitting leaves nothing that the next can't read. */
    for (int i = 0; i < 6; i++) {
        sim_run(s, 11);
        sim_crash(s, sim_leader(s) >= 0 ? sim_leader(s) : 0, 0.3);
    }
    sim_run(s, 150);
    assert_null(sim_stored(s, RP_KEY_RENTAL "r-1-1"));
    struct rp_request none_such = {0};
    (void)none_such;
    int other = sim_submit(s, s->now, "sweep", 40, 1, 10, 0);
    /* Its user cancels it. (With only the id changed here, a repeated submission named another job,
     * and its answer "pending" passed for one that went back, on every fourth seed.) */
    sim_change(s, other, "ref", json_string("j-777777"));
    s->jobs[other].accepted = true;
    s->jobs[other].cancel_at = s->now;
    sim_run(s, 30);
    assert_true(s->jobs[other].told_cancelled);
    assert_int_equal(sim_count_stored(s, RP_KEY_PROGRESS), 0);
    assert_int_equal(s->n_bad, 0);
    expect_sound(s, 46);
    sim_free(s);
}

/* Descriptions too long for one value of the new limits: stored in parts, known to the next leader,
 * run to their end, and nothing of them is left. Before the activation they wait, or are stored
 * whole where today's limit lets them. */
static void long_descriptions(void **state) {
    struct sim *s = sim_new(47, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(s, 5);
    sim_lower_limits(s);
    int first = sim_submit_long(s, 6, 30, 20);
    sim_run(s, 5);
    assert_true(s->jobs[first].accepted);
    assert_true(sim_count_stored(s, RP_KEY_PART) >= 1);
    sim_crash(s, sim_leader(s), 2);
    sim_run(s, 60);
    int second = sim_submit_long(s, s->now, 5, 5);
    sim_run(s, 100);
    assert_true(s->jobs[first].told_done && s->jobs[second].told_done);
    assert_int_equal(sim_count_stored(s, RP_KEY_PART), 0);
    assert_int_equal(s->n_bad, 0);
    expect_sound(s, 47);
    sim_free(s);
}

/* Limits that come down further than anybody announced: smaller pieces and a slower pace, no
 * refused request in a loop, and no leadership lost for it. */
static void limits_below_all_promises(void **state) {
    struct sim *s = sim_new(48, &none, SIM_SOUND, 3);
    (void)state;
    submit_arrays(s, 0);
    sim_run(s, 20);
    int leader = sim_leader(s);
    s->limits = (struct sim_limits){.value_bytes = 700, .txn_ops = 2, .write_rps = 5};
    s->next = (struct sim_limits){.value_bytes = 1e9, .txn_ops = 1e9, .write_rps = 1e9};
    sim_run(s, 280);
    expect_sound(s, 48);
    assert_true(sim_all_over(s));
    assert_int_equal(sim_leader(s), leader);
    assert_true(s->n_bad < 40);
    sim_free(s);
}

/* Few changes a second, told beforehand: progress and sweeps got no turn at all where what was kept
 * free for finishing jobs was more than the budget ever held. */
static void few_changes_a_second(void **state) {
    static const struct sim_size slow = {64, 6, 2, 14, 39, 200, 6, 5};
    struct sim *s = sim_new_sized(53, &none, SIM_SOUND, 3, &slow);
    (void)state;
    sim_run(s, 5);
    sim_lower_limits(s);
    for (int i = 0; i < 3; i++)
        sim_submit(s, 6, "sweep", 40, 1, 30 + 5 * i, 0);
    sim_run(s, 50);
    assert_true(sim_count_stored(s, RP_KEY_PROGRESS) > 0);
    sim_run(s, 180);
    expect_sound(s, 53);
    assert_true(sim_all_over(s));
    assert_int_equal(sim_count_stored(s, RP_KEY_PROGRESS), 0);
    sim_free(s);
}

/* Records that can't be read, or are of a later version, stay as they are and harm nothing else. */
static void strange_records(void **state) {
    static const char *const odd[][2] = {
        {RP_KEY_OPEN "j-900001", "{\"f\":3,\"spec\":{},\"more\":1}"},
        {RP_KEY_OPEN "j-900002", "[1,2]"},
        {RP_KEY_OPEN "j-900003", "{\"f\":2,\"parts\":2,\"text\":\"{\"}"},
        {RP_KEY_PROGRESS "j-900001/u07", "{\"f\":3,\"done\":\"ff\"}"},
        {RP_KEY_RENTAL "x-1", "{\"f\":9,\"machines\":\"?\"}"},
        {RP_KEY_RENTAL "x-2", "7"}};
    struct sim *s = sim_new(49, &none, SIM_SOUND, 3);
    (void)state;
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
        sim_store(s, odd[i][0], odd[i][1]);
    submit_arrays(s, 0);
    sim_run(s, 30);
    sim_crash(s, sim_leader(s), 1);
    sim_run(s, 200);
    expect_sound(s, 49);
    assert_true(sim_all_over(s));
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++) {
        json_t *v = json_loads(odd[i][1], JSON_DECODE_ANY, NULL);
        assert_true(json_equal(sim_stored(s, odd[i][0]), v));
        json_decref(v);
    }
    sim_free(s);
}

/* A node that comes back of this version once a later one's format is active keeps away. */
static void too_old_keeps_away(void **state) {
    struct sim *s = sim_new(55, &none, SIM_SOUND, 3);
    (void)state;
    sim_run(s, 5);
    assert_true(sim_leader(s) >= 0);
    sim_store(s, RP_KEY_FORMAT, "{\"f\":3}");
    for (int i = 0; i < s->n_nodes; i++)
        sim_crash(s, i, 0.5);
    sim_run(s, 20);
    assert_int_equal(sim_leader(s), -1);
    for (int i = 0; i < s->n_nodes; i++)
        assert_false(rp_node_healthy(s->nodes[i].node));
    expect_sound(s, 55);
    sim_free(s);
}

/* The checks can fail. */
static void broken_rolls_are_caught(void **state) {
    (void)state;
    /* Somebody says of old nodes that they are new. */
    struct sim *s = sim_new(50, &none, SIM_SOUND, 3);
    sim_all_old(s);
    for (int i = 0; i < 3; i++) {
        char key[RP_KEY_MAX], name[8];
        snprintf(name, sizeof name, "n%d", i);
        rp_key(key, RP_KEY_VERSION, name);
        sim_store(s, key, "{\"f\":2}");
    }
    sim_run(s, 5);
    sim_upgrade(s, 0, 0.1);
    sim_upgrade(s, 1, 0.1);
    sim_run(s, 20);
    assert_true(strstr(s->broken, "activated_early") != NULL);
    sim_free(s);
    /* What is to come is less than the nodes were told. */
    s = sim_new(51, &none, SIM_SOUND, 3);
    s->next.value_bytes = 100;
    submit_arrays(s, 5);
    sim_run(s, 30);
    assert_true(strstr(s->broken, "too_large") != NULL);
    sim_free(s);
    s = sim_new(52, &none, SIM_REPLICAS_NEVER_START, 3);
    submit_services(s, 3);
    sim_run(s, 10);
    sim_calm(s);
    sim_run(s, 150);
    assert_true(strstr(s->broken, "replica_down") != NULL);
    sim_free(s);
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
