/* Records of earlier and later versions, and records larger than the limits allow. */
#include "test.h"

#include "base/log.h"
#include "day.h"
#include "store/records.h"

#define LARGE_JOB "j-777777"
#define LARGE_REQUEST RP_KEY_PROVISION "r-1-1"
#define CHUNK_DIGITS 2048 /* of a full record of progress, four tasks each */

static void put_large_job(struct sim *sim) {
    static const char open[] =
        "{\"spec\":{\"ref\":\"" LARGE_JOB "\",\"rig\":\"a\",\"crew\":\"t\",\"haul\":\"sweep\","
        "\"precedence\":\"low\",\"lifts\":30000,\"vcpus\":1.0,\"cards\":0.0,\"memory_gb\":1.0,"
        "\"payload\":\"img\",\"image_gb\":1.0,\"frames\":[\"none-such\"],\"one_zone\":false,"
        "\"spread\":false,\"loaners\":true,\"run_guess_s\":10.0,\"brace_every_s\":0.0,"
        "\"brace_s\":0.0},\"at\":1790000000.5}";
    char hex[CHUNK_DIGITS + 1];
    memset(hex, '5', CHUNK_DIGITS);
    hex[CHUNK_DIGITS] = '\0';
    sim_put_record(sim, RP_KEY_OPEN LARGE_JOB, open);
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
    sim_put_record(sim, LARGE_REQUEST, text);
}

/* Its user cancels the job that stands in the store. */
static void cancel_large_job(struct sim *sim) {
    int other = sim_submit(sim, sim->now, "sweep", 40, 1, 10, 0);
    /* With only the id changed here, a repeated submission named another job, and its answer
     * "pending" passed for one that went back, on every fourth seed. */
    sim_set_field(sim, other, "ref", json_string(LARGE_JOB));
    sim->jobs[other].accepted = true;
    sim->jobs[other].cancel_at = sim->now;
    sim_run(sim, 30);
    assert_true(sim->jobs[other].reported_cancelled);
}

/* Records that the version before wrote within the old limits: read, ended, and where they have to
 * change, moved to smaller ones, without one request that the new limits refuse. */
static void large_records_end(void **state) {
    struct sim *sim = day_new(46, 3);
    (void)state;
    put_large_job(sim);
    put_large_provision_request(sim);
    sim_run(sim, 4);
    assert_more_than(sim->format_active_at, 0);
    sim_lower_limits(sim);
    const struct rp_job *job = rp_jobs_find(&sim->nodes[sim_leader(sim)].node->jobs, LARGE_JOB);
    assert_non_null(job);
    assert_int_equal(job->n_done, 14288); /* half of 3 * 8192 + 4000 */
    /* A leader that dies in the middle of the splitting leaves nothing that the next can't read. */
    for (int i = 0; i < 6; i++) {
        sim_run(sim, 11);
        sim_crash(sim, sim_leader(sim) >= 0 ? sim_leader(sim) : 0, 0.3);
    }
    sim_run(sim, 150);
    assert_null(sim_find_record(sim, LARGE_REQUEST));
    cancel_large_job(sim);
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    assert_int_equal(sim->n_oversized_writes, 0);
    day_expect_no_violation(sim, 46);
    sim_free(sim);
}

/* Descriptions too long for one value of the new limits: stored in parts, known to the next leader,
 * run to their end, and nothing of them is left. Before the activation they wait, or are stored
 * whole where today's limit lets them. */
static void long_descriptions(void **state) {
    struct sim *sim = day_new(47, 3);
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
    day_expect_no_violation(sim, 47);
    sim_free(sim);
}

/* Limits that come down further than anybody announced: smaller pieces and a slower pace, no
 * refused request in a loop, and no leadership lost for it. */
static void limits_below_all_promises(void **state) {
    struct sim *sim = day_new(48, 3);
    (void)state;
    day_submit_array_stream(sim, 0);
    sim_run(sim, 20);
    int leader = sim_leader(sim);
    sim->limits = (struct sim_limits){.value_bytes = 700, .txn_ops = 2, .write_rps = 5};
    sim->announced_limits =
        (struct sim_limits){.value_bytes = 1e9, .txn_ops = 1e9, .write_rps = 1e9};
    sim_run(sim, 280);
    day_expect_no_violation(sim, 48);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_leader(sim), leader);
    assert_less_than(sim->n_oversized_writes, 40);
    sim_free(sim);
}

/* Few changes a second, told beforehand: progress and sweeps got no turn at all where what was kept
 * free for finishing jobs was more than the budget ever held. */
static void few_changes_a_second(void **state) {
    static const struct sim_size slow = {64, 6, 2, 14, 39, 200, 6, 5};
    struct sim *sim = sim_new_sized(53, &day_no_faults, SIM_NO_BREAKAGE, 3, &slow);
    (void)state;
    sim_run(sim, 5);
    sim_lower_limits(sim);
    for (int i = 0; i < 3; i++)
        sim_submit(sim, 6, "sweep", 40, 1, 30 + 5 * i, 0);
    sim_run(sim, 50);
    assert_more_than(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    sim_run(sim, 180);
    day_expect_no_violation(sim, 53);
    assert_true(sim_all_terminal(sim));
    assert_int_equal(sim_count_stored(sim, RP_KEY_PROGRESS), 0);
    sim_free(sim);
}

/* Records that can't be read, or are of a later version, stay as they are and harm nothing else. */
static void unreadable_records(void **state) {
    static const char *const odd[][2] = {
        {RP_KEY_OPEN "j-900001", "{\"f\":3,\"spec\":{},\"more\":1}"},
        {RP_KEY_OPEN "j-900002", "[1,2]"},
        {RP_KEY_OPEN "j-900003", "{\"f\":2,\"parts\":2,\"text\":\"{\"}"},
        {RP_KEY_PROGRESS "j-900001/u07", "{\"f\":3,\"done\":\"ff\"}"},
        {RP_KEY_PROVISION "x-1", "{\"f\":9,\"machines\":\"?\"}"},
        {RP_KEY_PROVISION "x-2", "7"}};
    struct sim *sim = day_new(49, 3);
    (void)state;
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
        sim_put_record(sim, odd[i][0], odd[i][1]);
    day_submit_array_stream(sim, 0);
    sim_run(sim, 30);
    sim_crash(sim, sim_leader(sim), 1);
    sim_run(sim, 200);
    day_expect_no_violation(sim, 49);
    assert_true(sim_all_terminal(sim));
    for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++) {
        json_t *value = json_loads(odd[i][1], JSON_DECODE_ANY, NULL);
        assert_true(json_equal(sim_find_record(sim, odd[i][0]), value));
        json_decref(value);
    }
    sim_free(sim);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(large_records_end), cmocka_unit_test(long_descriptions),
        cmocka_unit_test(limits_below_all_promises), cmocka_unit_test(few_changes_a_second),
        cmocka_unit_test(unreadable_records)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
