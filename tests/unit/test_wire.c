/* Outside words to structs and back; records. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"
#include "store/records.h"

static const char good[] =
    "{\"ref\":\"j-000412\",\"rig\":\"train\",\"crew\":\"vision\",\"haul\":\"ensemble\","
    "\"precedence\":\"urgent\",\"lifts\":16,\"vcpus\":8.0,\"cards\":1,\"memory_gb\":64.0,"
    "\"payload\":\"img-07\",\"image_gb\":6.2,\"frames\":[\"g8\"],\"yard\":null,\"one_zone\":true,"
    "\"spread\":false,\"loaners\":true,\"run_guess_s\":240.0,\"brace_every_s\":30.0,\"brace_s\":4."
    "0,"
    "\"due_s\":900.0,\"new\":[1]}";

static bool reads(const char *text) {
    struct rp_job_spec spec;
    struct rp_codec_error error;
    bool is_read = rp_user_codec_parse_submission(text, strlen(text), &spec, &error);
    rp_job_spec_free(&spec);
    return is_read;
}

/* `good` with the value of a field replaced. */
static bool reads_with(const char *field, const char *value) {
    json_t *submission = json_loads(good, 0, NULL);
    json_t *replacement = value ? json_loads(value, JSON_DECODE_ANY, NULL) : NULL;
    if (value)
        json_object_set_new(submission, field, replacement);
    else
        json_object_del(submission, field);
    char *text = json_dumps(submission, 0);
    bool is_read = reads(text);
    free(text);
    json_decref(submission);
    return is_read;
}

static void submissions(void **state) {
    struct rp_job_spec spec;
    struct rp_codec_error error;
    (void)state;
    assert_true(rp_user_codec_parse_submission(good, strlen(good), &spec, &error));
    assert_string_equal(spec.id, "j-000412");
    assert_int_equal(spec.kind, RP_JOB_GANG);
    assert_int_equal(spec.priority, RP_PRIORITY_HIGH);
    assert_int_equal(spec.n_tasks, 16);
    assert_int_equal(spec.n_types, 1);
    assert_true(spec.zone[0] == '\0' && spec.one_zone && spec.deadline_s == 900);
    /* The stored form reads back the same. */
    json_t *stored = rp_record_open(&spec, rp_ts(12.5));
    struct rp_job_spec again;
    struct timespec submitted_at;
    assert_true(rp_record_open_read(stored, &again, &submitted_at));
    assert_true(rp_ts_s(submitted_at) == 12.5 && again.each.cpus == 8 && again.n_types == 1);
    assert_string_equal(again.types[0], "g8");
    rp_job_spec_free(&again);
    rp_job_spec_free(&spec);
    json_decref(stored);
    assert_true(reads_with("frames", "null") && reads_with("frames", NULL));
    assert_true(reads_with("due_s", NULL) && reads_with("yard", "\"a\""));
}

static void bad_submissions(void **state) {
    static const char *const cases[][2] = {
        {"ref", "\"x-1\""},      {"ref", "\"j-\""},   {"ref", "\"j-1/2\""},  {"ref", "7"},
        {"lifts", "0"},          {"lifts", "100001"}, {"lifts", "1.5"},      {"lifts", "\"1\""},
        {"vcpus", "-1"},         {"vcpus", "\"8\""},  {"memory_gb", "null"}, {"haul", "\"x\""},
        {"precedence", "null"},  {"frames", "[]"},    {"frames", "[1]"},     {"frames", "\"g8\""},
        {"yard", "3"},           {"one_zone", "1"},   {"loaners", "null"},   {"due_s", "-3"},
        {"run_guess_s", "true"}, {"payload", "\"\""}, {"crew", "null"},      {"rig", NULL},
        {"vcpus", NULL},         {"lifts", NULL},     {"spread", NULL},      {"brace_s", NULL}};
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
        if (reads_with(cases[i][0], cases[i][1]))
            fail_msg("%s = %s was taken", cases[i][0], cases[i][1] ? cases[i][1] : "absent");
    assert_false(reads("") || reads("[]") || reads("null") || reads("{") || reads("\xff"));
    assert_false(reads("{\"vcpus\":1e999}"));
}

static void reports(void **state) {
    static const char text[] =
        "{\"sheave\":\"vm-1\",\"address\":\"10.1.0.2:9000\",\"frame\":\"g8\",\"yard\":\"a\","
        "\"loaners\":true,\"stint\":1,\"tick\":88,\"warrant\":41,\"recall_s\":7.5,\"lifts\":["
        "{\"lift\":\"j-000412/3\",\"pull\":2,\"tension\":\"running\"},"
        "{\"lift\":\"j-000398/0\",\"pull\":1,\"tension\":\"exited\",\"slack_reason\":\"done\"}]}";
    struct rp_heartbeat heartbeat;
    (void)state;
    assert_true(rp_worker_codec_parse_heartbeat(text, strlen(text), &heartbeat));
    assert_int_equal(heartbeat.n_tasks, 2);
    assert_int_equal(heartbeat.tasks[0].task, 3);
    assert_int_equal(heartbeat.tasks[1].exit_reason, RP_EXIT_DONE);
    assert_true(heartbeat.has_notice && heartbeat.notice_s == 7.5 && heartbeat.fencing_token == 41);
    rp_heartbeat_free(&heartbeat);
    assert_false(rp_worker_codec_parse_heartbeat("{}", 2, &heartbeat));
    assert_false(rp_worker_codec_parse_heartbeat("{\"sheave\":\"vm-1\"}", 17, &heartbeat));
}

/* Bytes changed at random in good messages: read or refused, never a crash or a leak; what is read
 * stays within its limits. */
static void mutated_messages(void **state) {
    static const char heartbeat_text[] =
        "{\"sheave\":\"vm-1\",\"address\":\"a:1\",\"frame\":\"g8\",\"yard\":\"a\",\"loaners\":true,"
        "\"stint\":1,\"tick\":88,\"warrant\":41,\"recall_s\":null,\"lifts\":[{\"lift\":"
        "\"j-000412/3\",\"pull\":2,\"tension\":\"exited\",\"slack_reason\":\"done\"}]}";
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 17);
    for (int trial = 0; trial < 20000; trial++) {
        bool job = trial % 2;
        char text[1024];
        struct rp_codec_error error;
        struct rp_job_spec spec;
        struct rp_heartbeat heartbeat;
        strcpy(text, job ? good : heartbeat_text);
        size_t len = strlen(text);
        for (unsigned k = 0; k <= gsl_rng_uniform_int(rng, 3); k++)
            text[gsl_rng_uniform_int(rng, len)] = (char)(32 + gsl_rng_uniform_int(rng, 96));
        if (job && rp_user_codec_parse_submission(text, len, &spec, &error)) {
            assert_true(rp_job_codec_is_id(spec.id) && spec.n_tasks >= 1 &&
                        spec.n_tasks <= RP_TASKS_MAX && spec.each.cpus >= 0);
            rp_job_spec_free(&spec);
        } else if (!job && rp_worker_codec_parse_heartbeat(text, len, &heartbeat)) {
            assert_true(heartbeat.n_tasks <= 1 && strlen(heartbeat.machine) < RP_TEXT_MAX);
            rp_heartbeat_free(&heartbeat);
        }
    }
    gsl_rng_free(rng);
}

/* An answer's only line must stay below 64 KiB with the most commands it may carry. */
static void answers_fit(void **state) {
    struct rp_command *command = calloc(400, sizeof *command);
    (void)state;
    assert_non_null(command);
    for (int i = 0; i < 400; i++) {
        command[i] = (struct rp_command){.kind = RP_COMMAND_STOP,
                                         .task = 99999,
                                         .attempt = UINT64_MAX >> 1,
                                         .grace_s = 12.3456789};
        strcpy(command[i].job, "j-12345678901234567890");
    }
    char *text = rp_worker_codec_write_heartbeat_response(UINT64_MAX >> 1, command, 400);
    assert_less_than(strlen(text), 65536);
    free(text);
    free(command);
}

/* A job of 100,000 tasks: every record stays far below the value limit and reads back. */
static void progress(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    uint8_t bits[RP_CHUNK_BYTES];
    uint8_t back[RP_CHUNK_BYTES] = {0};
    char key[RP_KEY_MAX];
    char job[RP_ID_MAX];
    unsigned chunk;
    bool unit;
    (void)state;
    gsl_rng_set(rng, 3);
    for (size_t i = 0; i < sizeof bits; i++)
        bits[i] = (uint8_t)gsl_rng_uniform_int(rng, 256);
    json_t *value = rp_record_progress(bits, sizeof bits);
    char *text = json_dumps(value, 0);
    assert_less_than(strlen(text), 4096);
    assert_true(rp_record_progress_read(value, back, sizeof back));
    assert_memory_equal(bits, back, sizeof bits);
    assert_false(rp_record_progress_read(value, back, 3));
    free(text);
    json_decref(value);
    rp_key_progress(key, "j-000001", 12);
    assert_true(rp_key_progress_read(key, job, &chunk, &unit) && !unit);
    assert_string_equal(job, "j-000001");
    assert_int_equal(chunk, 12);
    rp_key_unit(key, "j-000001", 48);
    assert_true(rp_key_progress_read(key, job, &chunk, &unit) && unit);
    assert_int_equal(chunk, 48);
    assert_false(rp_key_progress_read(RP_KEY_PROGRESS "x", job, &chunk, &unit));
    assert_false(rp_key_progress_read(RP_KEY_PROGRESS "j-1/u49", job, &chunk, &unit));
    gsl_rng_free(rng);
}

/* ---- the version in production ---- */

/* Records as version 0.1.0 (commit f31ac04) wrote them: taken from the key-value store of a
 * simulated day of its nodes. Until the activation this version writes the same, to the letter of
 * their meaning; it reads them always. */
static const char *const production_job =
    "{\"spec\":{\"ref\":\"j-000001\",\"rig\":\"g\",\"crew\":\"t\",\"haul\":\"ensemble\","
    "\"precedence\":\"urgent\",\"lifts\":2,\"vcpus\":8.0,\"cards\":0.0,\"memory_gb\":2.0,"
    "\"payload\":\"img-1\",\"image_gb\":1.0,\"one_zone\":true,\"spread\":false,\"loaners\":true,"
    "\"run_guess_s\":90.0,\"brace_every_s\":5.0,\"brace_s\":1.0},\"at\":1796179601.6135132}";
static const char *const production_rental =
    "{\"type\":\"small\",\"zone\":\"b\",\"spot\":true,\"count\":2,\"asked\":1796179601.61427,"
    "\"machines\":[\"vm-000006\",\"vm-000007\"],\"up\":[\"vm-000006\"]}";

static void same(json_t *written, const char *literal) {
    json_t *value = json_loads(literal, 0, NULL);
    assert_non_null(value);
    if (!json_equal(written, value))
        fail_msg("%s is not %s", json_dumps(written, 0), literal);
    json_decref(value);
    json_decref(written);
}

static void job_of_production(void) {
    struct rp_job_spec spec;
    struct timespec submitted_at;
    json_t *value = json_loads(production_job, 0, NULL);
    assert_true(rp_record_open_read(value, &spec, &submitted_at));
    assert_true(spec.kind == RP_JOB_GANG && spec.n_tasks == 2 && spec.one_zone && spec.spot);
    json_decref(value);
    value = rp_record_open(&spec, submitted_at);
    assert_int_equal(rp_record_format(value), 1);
    /* The time of day goes through a struct timespec: the same within a microsecond. */
    assert_true(fabs(json_number_value(json_object_get(value, "at")) - 1796179601.6135132) < 1e-6);
    json_object_set_new(value, "at", json_real(1796179601.6135132));
    same(value, production_job);
    rp_job_spec_free(&spec);
}

static void provision_request_of_production(void) {
    struct rp_provision_record record;
    const char *names[] = {"vm-000006", "vm-000007"};
    const bool is_up[] = {true, false};
    json_t *value = json_loads(production_rental, 0, NULL);
    assert_true(rp_record_provision_read(value, &record) && record.answered && record.count == 2);
    assert_true(rp_record_provision_is_up(value, names[0]) &&
                !rp_record_provision_is_up(value, names[1]));
    json_decref(value);
    value = rp_record_provision(&record, names, is_up, 2);
    json_object_set_new(value, "asked", json_real(1796179601.61427));
    same(value, production_rental);
}

static void records_of_production(void **state) {
    uint8_t bits[RP_CHUNK_BYTES] = {0x0f, 0xa0, 1};
    uint8_t back[RP_CHUNK_BYTES] = {0};
    enum rp_job_phase phase;
    (void)state;
    job_of_production();
    provision_request_of_production();
    same(rp_record_terminal(RP_JOB_DONE), "{\"end\":\"done\"}");
    same(rp_record_terminal(RP_JOB_CANCELLED), "{\"end\":\"cancelled\"}");
    const struct rp_leader_record leader = {.node = "n0"};
    same(rp_record_leader(&leader), "{\"node\":\"n0\"}");
    same(rp_record_progress(bits, sizeof bits), "{\"done\":\"0fa001\"}");
    json_t *value = json_loads("{\"done\":\"0fa001\"}", 0, NULL);
    assert_true(rp_record_progress_read(value, back, sizeof back) && memcmp(bits, back, 3) == 0);
    json_decref(value);
    value = json_loads("{\"end\":\"cancelled\"}", 0, NULL);
    assert_true(rp_record_terminal_read(value, &phase) && phase == RP_JOB_CANCELLED);
    json_decref(value);
    value = json_loads("{\"end\":\"of a later version\"}", 0, NULL);
    assert_false(rp_record_terminal_read(value, &phase));
    json_decref(value);
}

/* What nodes of format 1 read of marked records, and that they pass new keys over. */
static void records_of_today(void **state) {
    struct rp_job_spec spec;
    struct timespec submitted_at;
    json_t *pieces[RP_PARTS_MAX];
    char job[RP_ID_MAX];
    unsigned part;
    (void)state;
    json_t *value = json_loads(production_job, 0, NULL);
    rp_record_mark(value);
    assert_int_equal(rp_record_format(value), RP_FORMAT);
    assert_true(rp_record_open_read(value, &spec, &submitted_at));
    rp_job_spec_free(&spec);
    for (size_t most = 160; most < 1000; most += 37) {
        size_t n = rp_record_split(value, most, pieces, RP_PARTS_MAX);
        assert_true(n > 0 && rp_record_n_parts(pieces[0]) == n - 1);
        for (size_t i = 0; i < n; i++)
            assert_true(rp_record_size(pieces[i]) <= most);
        json_t *whole = rp_record_join(pieces, n);
        assert_true(json_equal(whole, value));
        json_decref(whole);
        for (size_t i = 0; i < n; i++)
            json_decref(pieces[i]);
    }
    assert_int_equal(rp_record_split(value, 160, pieces, 2), 0);
    json_object_set_new(value, "f", json_integer(RP_FORMAT + 1));
    assert_false(rp_record_open_read(value, &spec, &submitted_at));
    json_decref(value);
    assert_true(rp_key_part_read(RP_KEY_PART "j-1/03", job, &part) && part == 3);
    assert_false(rp_key_part_read(RP_KEY_PART "j-1/64", job, &part));
    assert_false(rp_key_part_read(RP_KEY_PART "j-1", job, &part));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(submissions),
                                       cmocka_unit_test(bad_submissions),
                                       cmocka_unit_test(reports),
                                       cmocka_unit_test(answers_fit),
                                       cmocka_unit_test(progress),
                                       cmocka_unit_test(mutated_messages),
                                       cmocka_unit_test(records_of_production),
                                       cmocka_unit_test(records_of_today)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
