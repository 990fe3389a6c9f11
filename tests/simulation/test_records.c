/* Records of earlier and later versions, and records larger than the limits allow. */
#include "test.h"

#include "base/log.h"
#include "scenario.h"
#include "store/records.h"

#define LARGE_JOB "j-777777"
#define LARGE_REQUEST_KEY RP_KEY_PROVISION "r-1-1"
#define CHUNK_DIGITS 2048 /* hexadecimal digits in a full record of progress, four tasks each */

static void put_large_job(struct sim *sim) {
    static const char open_record[] =
        "{\"spec\":{\"ref\":\"" LARGE_JOB "\",\"rig\":\"a\",\"crew\":\"t\",\"haul\":\"sweep\","
        "\"precedence\":\"low\",\"lifts\":30000,\"vcpus\":1.0,\"cards\":0.0,\"memory_gb\":1.0,"
        "\"payload\":\"img\",\"image_gb\":1.0,\"frames\":[\"none-such\"],\"one_zone\":false,"
        "\"spread\":false,\"loaners\":true,\"run_guess_s\":10.0,\"brace_every_s\":0.0,"
        "\"brace_s\":0.0},\"at\":1790000000.5}";
    char hex[CHUNK_DIGITS + 1];
    memset(hex, '5', CHUNK_DIGITS);
    hex[CHUNK_DIGITS] = '\0';
    sim_put_record(sim, RP_KEY_OPEN LARGE_JOB, open_record);
    for (unsigned i = 0; i < 4; i++) {
        char text[4096];
        char key[RP_KEY_MAX];
        snprintf(text, sizeof text, "{\"done\":\"%.*s\"}", i < 3 ? CHUNK_DIGITS : 1000, hex);
        rp_key_progress(key, LARGE_JOB, i);
        sim_put_record(sim, key, text);
    }
}

static void put_large_provision_request(struct sim *sim) {
    char text[4096];
    int n = snprintf(text, sizeof text,
                     "{\"type\":\"wide\",\"zone\":\"a\",\"spot\":false,"
                     "\"count\":50,\"asked\":1790000000.5,\"machines\":[");
    for (int i = 0; i < 50; i++)
        n += snprintf(text + n, sizeof text - (size_t)n, "%s\"vm-with-a-long-name-%06d\"",
                      i ? "," : "", i);
    snprintf(text + n, sizeof text - (size_t)n, "],\"up\":[\"vm-with-a-long-name-000003\"]}");
    sim_put_record(sim, LARGE_REQUEST_KEY, text);
}

/* The user of the large job, which is stored in the key-value store, cancels it. */
static void cancel_large_job(struct sim *sim) {
    int job = sim_submit(sim, sim->now, "sweep", 40, 1, 10, 0);
    /* The field is set in the body of the submission as well. With only the id changed, a repeated
     * submission named another job, and the response "pending" to it violated the rule
     * went_back, with every fourth seed. */
    sim_set_field(sim, job, "ref", json_string(LARGE_JOB));
    sim->jobs[job].accepted = true;
    sim->jobs[job].cancel_at = sim->now;
    sim_run(sim, 30);
    assert_true(sim->jobs[job].reported_cancelled);
}

/* Records that the previous version wrote within the old limits must be read, and be deleted when
 * they are no longer needed. Where they have to change before that, they must be split into smaller
 * records. None of these requests may exceed the new limits. */
static void oversized_records_are_split_and_deleted(void **state) {
    struct sim *sim = scenario_new(46, 3);
    (void)state;
    put_large_job(sim);
    put_large_provision_request(sim);
    sim_run(sim, 4);
    assert_more_than(sim->format_active_at, 0);
    sim_lower_limits(sim);
    const struct rp_job *job = rp_jobs_find(&sim->nodes[sim_leader(sim)].node->jobs, LARGE_JOB);
    assert_non_null(job);
    assert_int_equal(job->n_done, 14288); /* half of 3 * 8192 + 4000 tasks */
    /* A leader that crashes while it splits records leaves nothing that the next leader cannot
     * read. */
    for (int i = 0; i < 6; i++) {
        sim_run(sim, 11);
        sim_crash(sim, sim_leader(sim) >= 0 ? sim_leader(sim) : 0, 0.3);
    }
    sim_run(sim, 150);
    assert_null(sim_find_record(sim, LARGE_REQUEST_KEY));
    cancel_large_job(sim);
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    assert_int_equal(sim->n_oversized_writes, 0);
    scenario_expect_no_violation(sim, 46);
    sim_free(sim);
}

/* Job descriptions that are too long for one value under the new limits must be stored in parts.
 * The next leader must read them, the jobs must end, and no part may be left. Before the activation
 * of the new record format, such a job waits, or is stored whole where the current limit allows
 * this. */
static void long_descriptions_are_stored_in_parts_and_deleted(void **state) {
    struct sim *sim = scenario_new(47, 3);
    (void)state;
    sim_run(sim, 5);
    sim_lower_limits(sim);
    int first = sim_submit_long(sim, 6, 30, 20);
    sim_run(sim, 5);
    assert_true(sim->jobs[first].accepted);
    assert_at_least(sim_count_stored(sim, RP_KEY_PART), 1);
    sim_crash(sim, sim_leader(sim), 2);
    sim_run(sim, 60);
    int second = sim_submit_long(sim, sim->now, 5, 5);
    sim_run(sim, 100);
    assert_true(sim->jobs[first].reported_done && sim->jobs[second].reported_done);
    assert_int_equal(sim_count_stored(sim, RP_KEY_PART), 0);
    assert_int_equal(sim->n_oversized_writes, 0);
    scenario_expect_no_violation(sim, 47);
    sim_free(sim);
}

/* The key-value store lowers its limits further than announced. The nodes must write smaller pieces
 * at a lower rate, must not repeat refused requests in a loop, and the leader must not lose its
 * leadership because of the refusals. */
static void limits_below_announced_ones_cost_no_leadership(void **state) {
    struct sim *sim = scenario_new(48, 3);
    (void)state;
    scenario_submit_array_stream(sim, 0);
    sim_run(sim, 20);
    int leader = sim_leader(sim);
    sim->limits = (struct sim_limits){.value_bytes = 700, .txn_ops = 2, .write_rps = 5};
    sim->announced_limits =
        (struct sim_limits){.value_bytes = 1e9, .txn_ops = 1e9, .write_rps = 1e9};
    sim_run(sim, 280);
    scenario_expect_no_violation(sim, 48);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_leader(sim), leader);
    assert_less_than(sim->n_oversized_writes, 40);
    sim_free(sim);
}

/* The key-value store allows only few changes a second, as the settings have announced. Fault:
 * progress was not written and obsolete records were not deleted at all, because the changes
 * reserved for finishing jobs were more than the write budget could ever hold. */
static void progress_is_written_at_low_write_rate(void **state) {
    static const struct sim_size slow = {64, 6, 2, 14, 39, 200, 6, 5};
    struct sim *sim = sim_new_sized(53, &scenario_no_faults, SIM_NO_BREAKAGE, 3, &slow);
    (void)state;
    sim_run(sim, 5);
    sim_lower_limits(sim);
    for (int i = 0; i < 3; i++)
        sim_submit(sim, 6, "sweep", 40, 1, 30 + 5 * i, 0);
    sim_run(sim, 50);
    assert_more_than(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    sim_run(sim, 180);
    scenario_expect_no_violation(sim, 53);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    sim_free(sim);
}

/* An earlier version was interrupted while it split a record: the old record names a machine
 * without a mark, the new one marks it as up. No leader may take it for a machine that boots, and
 * the record with the mark must not be deleted while the other one names the machine. */
static void machine_marked_by_one_of_two_records_may_hold_tasks(void **state) {
    static const char old_record[] = "{\"type\":\"wide\",\"zone\":\"a\",\"spot\":false,\"count\":2,"
                                     "\"asked\":1790000000.5,\"machines\":[\"vm-900001\","
                                     "\"vm-900002\"],\"up\":[]}";
    static const char new_record[] = "{\"type\":\"wide\",\"zone\":\"a\",\"spot\":false,\"count\":1,"
                                     "\"asked\":1790000000.5,\"machines\":[\"vm-900002\"],"
                                     "\"up\":[\"vm-900002\"]}";
    struct sim *sim = scenario_new(54, 3);
    (void)state;
    sim_put_record(sim, RP_KEY_PROVISION "r-1-1", old_record);
    sim_put_record(sim, RP_KEY_PROVISION "s-1-2", new_record);
    sim->interruption = (struct sim_interruption){
        .prefix = RP_KEY_PROVISION, .nth = 1, .kind = SIM_WRITE_LATE, .repeats = true};
    for (int leader = 0; leader < 3; leader++) {
        while (sim_leader(sim) < 0)
            sim_run(sim, 0.02);
        const struct rp_node *node = scenario_leader(sim);
        const struct rp_machine *booting = rp_machine_find(&node->cluster, "vm-900001");
        const struct rp_machine *marked = rp_machine_find(&node->cluster, "vm-900002");
        assert_int_equal(booting->state, RP_MACHINE_BOOTING);
        assert_int_equal(marked->state, RP_MACHINE_UNRECONCILED);
        assert_true(marked->up_recorded);
        sim_run(sim, 1);
        sim_crash(sim, sim_leader(sim), 0.2);
    }
    sim_run(sim, 12);
    json_t *first = json_deep_copy(sim_find_record(sim, RP_KEY_PROVISION "r-1-1"));
    json_t *second = json_deep_copy(sim_find_record(sim, RP_KEY_PROVISION "s-1-2"));
    assert_int_equal(rp_record_provision_n_names(first), 1);
    assert_string_equal(rp_record_provision_name(first, 0), "vm-900001");
    assert_true(rp_record_provision_is_up(second, "vm-900002"));
    json_decref(first);
    json_decref(second);
    scenario_expect_no_violation(sim, 54);
    sim_free(sim);
}

/* Records that cannot be read, or that a later version wrote, must remain unchanged and must not
 * affect any other job. */
static void unreadable_records_stay_unchanged(void **state) {
    static const char *const records[][2] = {
        {RP_KEY_OPEN "j-900001", "{\"f\":3,\"spec\":{},\"more\":1}"},
        {RP_KEY_OPEN "j-900002", "[1,2]"},
        {RP_KEY_OPEN "j-900003", "{\"f\":2,\"parts\":2,\"text\":\"{\"}"},
        {RP_KEY_PROGRESS "j-900001/u07", "{\"f\":3,\"done\":\"ff\"}"},
        {RP_KEY_PROVISION "x-1", "{\"f\":9,\"machines\":\"?\"}"},
        {RP_KEY_PROVISION "x-2", "7"}};
    struct sim *sim = scenario_new(49, 3);
    (void)state;
    for (size_t i = 0; i < sizeof records / sizeof records[0]; i++)
        sim_put_record(sim, records[i][0], records[i][1]);
    scenario_submit_array_stream(sim, 0);
    sim_run(sim, 30);
    sim_crash(sim, sim_leader(sim), 1);
    sim_run(sim, 200);
    scenario_expect_no_violation(sim, 49);
    assert_true(sim_all_terminal(sim));
    for (size_t i = 0; i < sizeof records / sizeof records[0]; i++) {
        json_t *value = json_loads(records[i][1], JSON_DECODE_ANY, NULL);
        assert_true(json_equal(sim_find_record(sim, records[i][0]), value));
        json_decref(value);
    }
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(oversized_records_are_split_and_deleted),
        cmocka_unit_test(long_descriptions_are_stored_in_parts_and_deleted),
        cmocka_unit_test(limits_below_announced_ones_cost_no_leadership),
        cmocka_unit_test(progress_is_written_at_low_write_rate),
        cmocka_unit_test(machine_marked_by_one_of_two_records_may_hold_tasks),
        cmocka_unit_test(unreadable_records_stay_unchanged)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
