/* Codecs of users' and workers' messages and of the records of the key-value store. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <math.h>
#include "protocol/codec.h"
#include "protocol/job_codec.h"
#include "protocol/json_text.h"
#include "protocol/kv_codec.h"
#include "protocol/phase_codec.h"
#include "protocol/user_codec.h"
#include "protocol/worker_codec.h"
#include "store/records.h"

/* A valid submission with all fields, an unknown one among them. */
static const char valid_submission[] =
    "{\"ref\":\"j-000412\",\"rig\":\"train\",\"crew\":\"vision\",\"haul\":\"ensemble\","
    "\"precedence\":\"urgent\",\"lifts\":16,\"vcpus\":8.0,\"cards\":1,\"memory_gb\":64.0,"
    "\"payload\":\"img-07\",\"image_gb\":6.2,\"frames\":[\"g8\"],\"yard\":null,\"one_zone\":true,"
    "\"spread\":false,\"loaners\":true,\"run_guess_s\":240.0,\"brace_every_s\":30.0,\"brace_s\":4."
    "0,"
    "\"due_s\":900.0,\"new\":[1]}";

static bool is_accepted(const char *text) {
    struct rp_job_spec spec;
    struct rp_codec_error error;
    bool is_ok = rp_user_codec_parse_submission(text, strlen(text), &spec, &error);
    rp_job_spec_free(&spec);
    return is_ok;
}

/* Whether `valid_submission` is accepted with the value of a field replaced, or with the field
 * removed when `value` is NULL. */
static bool is_accepted_with(const char *field, const char *value) {
    json_t *submission = json_loads(valid_submission, 0, NULL);
    json_t *replacement = value ? json_loads(value, JSON_DECODE_ANY, NULL) : NULL;
    if (value)
        json_object_set_new(submission, field, replacement);
    else
        json_object_del(submission, field);
    char *text = json_dumps(submission, 0);
    bool is_ok = is_accepted(text);
    free(text);
    json_decref(submission);
    return is_ok;
}

static void valid_submission_reads_back_from_its_record(void **state) {
    struct rp_job_spec spec;
    struct rp_codec_error error;
    (void)state;
    assert_true(
        rp_user_codec_parse_submission(valid_submission, strlen(valid_submission), &spec, &error));
    assert_string_equal(spec.id, "j-000412");
    assert_int_equal(spec.kind, RP_JOB_GANG);
    assert_int_equal(spec.priority, RP_PRIORITY_HIGH);
    assert_int_equal(spec.n_tasks, 16);
    assert_int_equal(spec.n_types, 1);
    assert_true(spec.zone[0] == '\0' && spec.one_zone && spec.deadline_s == 900);
    /* The record of the job reads back as the same specification. */
    json_t *stored = rp_record_open(&spec, rp_ts(12.5));
    struct rp_job_spec stored_spec;
    struct timespec submitted_at;
    assert_true(rp_record_open_read(stored, &stored_spec, &submitted_at));
    assert_true(rp_ts_s(submitted_at) == 12.5 && stored_spec.task_resources.cpus == 8 &&
                stored_spec.n_types == 1);
    assert_string_equal(stored_spec.types[0], "g8");
    rp_job_spec_free(&stored_spec);
    rp_job_spec_free(&spec);
    json_decref(stored);
    assert_true(is_accepted_with("frames", "null") && is_accepted_with("frames", NULL));
    assert_true(is_accepted_with("due_s", NULL) && is_accepted_with("yard", "\"a\""));
}

static void malformed_submission_is_rejected(void **state) {
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
        if (is_accepted_with(cases[i][0], cases[i][1]))
            fail_msg("%s = %s was accepted", cases[i][0], cases[i][1] ? cases[i][1] : "absent");
    assert_false(is_accepted("") || is_accepted("[]") || is_accepted("null") || is_accepted("{") ||
                 is_accepted("\xff"));
    assert_false(is_accepted("{\"vcpus\":1e999}"));
}

static void heartbeat_is_decoded_or_rejected(void **state) {
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

/* Valid messages with randomly changed bytes are decoded or rejected, without a crash or a memory
 * leak. What is decoded stays within its bounds. */
static void mutated_messages_are_decoded_or_rejected(void **state) {
    static const char heartbeat_text[] =
        "{\"sheave\":\"vm-1\",\"address\":\"a:1\",\"frame\":\"g8\",\"yard\":\"a\",\"loaners\":true,"
        "\"stint\":1,\"tick\":88,\"warrant\":41,\"recall_s\":null,\"lifts\":[{\"lift\":"
        "\"j-000412/3\",\"pull\":2,\"tension\":\"exited\",\"slack_reason\":\"done\"}]}";
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 17);
    for (int trial = 0; trial < 20000; trial++) {
        bool is_submission = trial % 2;
        char text[1024];
        struct rp_codec_error error;
        struct rp_job_spec spec;
        struct rp_heartbeat heartbeat;
        strcpy(text, is_submission ? valid_submission : heartbeat_text);
        size_t len = strlen(text);
        for (unsigned k = 0; k <= gsl_rng_uniform_int(rng, 3); k++)
            text[gsl_rng_uniform_int(rng, len)] = (char)(32 + gsl_rng_uniform_int(rng, 96));
        if (is_submission && rp_user_codec_parse_submission(text, len, &spec, &error)) {
            assert_true(rp_job_codec_is_id(spec.id) && spec.n_tasks >= 1 &&
                        spec.n_tasks <= RP_TASKS_MAX && spec.task_resources.cpus >= 0);
            rp_job_spec_free(&spec);
        } else if (!is_submission && rp_worker_codec_parse_heartbeat(text, len, &heartbeat)) {
            assert_true(heartbeat.n_tasks <= 1 && strlen(heartbeat.machine) < RP_TEXT_MAX);
            rp_heartbeat_free(&heartbeat);
        }
    }
    gsl_rng_free(rng);
}

/* The response to a heartbeat is a single line, which must stay below 64 KiB with the maximum
 * number of commands. */
static void largest_heartbeat_response_is_below_64_kib(void **state) {
    struct rp_command *commands = calloc(400, sizeof *commands);
    (void)state;
    assert_non_null(commands);
    for (int i = 0; i < 400; i++) {
        commands[i] = (struct rp_command){
            .kind = RP_COMMAND_STOP, .task = 99999, .attempt = UINT64_MAX, .grace_s = 12.3456789};
        strcpy(commands[i].job, "j-12345678901234567890");
    }
    char *text = rp_worker_codec_write_heartbeat_response(UINT64_MAX, commands, 400);
    assert_less_than(strlen(text), 65536);
    free(text);
    free(commands);
}

/* Counts at the ends of the ranges of the types that might hold them. */
static const uint64_t counts[] = {0,
                                  1,
                                  INT32_MAX,
                                  UINT32_MAX,
                                  (UINT64_C(1) << 53) + 1,
                                  INT64_MAX,
                                  (uint64_t)INT64_MAX + 1,
                                  UINT64_MAX};
#define N_COUNTS (sizeof counts / sizeof counts[0])

/* Fails unless the text has the field with exactly these digits. */
static void expect_field(const char *text, const char *name, uint64_t count) {
    char field[64];
    snprintf(field, sizeof field, "\"%s\":%" PRIu64, name, count);
    const char *found = strstr(text, field);
    if (!found || (found[strlen(field)] != ',' && found[strlen(field)] != '}'))
        fail_msg("%s is not in %s", field, text);
}

/* Tokens, attempts, incarnations and sequence numbers are integers below 2^64 (PROTOCOL). Those of
 * 2^63 and more were written as negative numbers, and made a node refuse the whole report. */
static void numbers_of_workers_pass_in_their_whole_range(void **state) {
    (void)state;
    for (size_t i = 0; i < N_COUNTS; i++) {
        struct rp_heartbeat heartbeat;
        char text[512];
        snprintf(text, sizeof text,
                 "{\"sheave\":\"vm-1\",\"address\":\"a:1\",\"frame\":\"g8\",\"yard\":\"a\","
                 "\"loaners\":true,\"stint\":%" PRIu64 ",\"tick\": %" PRIu64 ",\"warrant\":%" PRIu64
                 ",\"lifts\":[{\"lift\":\"j-1/3\",\"pull\":%" PRIu64
                 ",\"tension\":\"running\"}],\"unknown\":99999999999999999999999999}",
                 counts[i], counts[i], counts[i], counts[i]);
        assert_true(rp_worker_codec_parse_heartbeat(text, strlen(text), &heartbeat));
        assert_true(heartbeat.incarnation == counts[i] && heartbeat.seq == counts[i]);
        assert_true(heartbeat.fencing_token == counts[i]);
        assert_true(heartbeat.tasks[0].attempt == counts[i]);
        rp_heartbeat_free(&heartbeat);
        const struct rp_command command = {
            .kind = RP_COMMAND_START, .job = "j-1", .attempt = counts[i]};
        char *answer = rp_worker_codec_write_heartbeat_response(counts[i], &command, 1);
        expect_field(answer, "warrant", counts[i]);
        expect_field(answer, "pull", counts[i]);
        free(answer);
        answer = rp_worker_codec_write_direct_commands(counts[i], counts[i], &command, 1);
        expect_field(answer, "stint", counts[i]);
        free(answer);
    }
}

/* A number that is no count is refused, not taken for another one. */
static void numbers_that_are_no_counts_are_refused(void **state) {
    static const char *const values[] = {"-1",
                                         "18446744073709551616",
                                         "-9223372036854775808",
                                         "1.5",
                                         "-18446744073709551615",
                                         "1e3",
                                         "\"1\"",
                                         "null",
                                         "{\"count\":\"1\"}"};
    (void)state;
    for (size_t i = 0; i < sizeof values / sizeof values[0]; i++) {
        char text[64];
        uint64_t count = 7;
        snprintf(text, sizeof text, "{\"big\":9223372036854775808,\"n\":%s}", values[i]);
        json_t *object = rp_json_parse(text, strlen(text));
        assert_non_null(object);
        assert_true(rp_codec_read_count(object, "big", &count));
        assert_true(count == (uint64_t)INT64_MAX + 1);
        if (rp_codec_read_count(object, "n", &count))
            fail_msg("%s is taken for %" PRIu64, values[i], count);
        json_decref(object);
    }
}

/* Revisions and leases of the key-value store pass in their whole range. */
static void numbers_of_the_store_pass_in_their_whole_range(void **state) {
    (void)state;
    for (size_t i = 0; i < N_COUNTS; i++) {
        char text[256];
        struct rp_kv_item item;
        snprintf(text, sizeof text,
                 "{\"path\":\"a\",\"v\":{},\"key_rev\":%" PRIu64 ",\"lashing\":%" PRIu64
                 ",\"ledger_rev\":%" PRIu64 "}",
                 counts[i], counts[i], counts[i]);
        json_t *body = rp_codec_parse_object(text, strlen(text));
        assert_true(rp_kv_codec_read_item(body, &item));
        assert_true(item.revision == counts[i] && item.lease == counts[i]);
        assert_true(rp_kv_codec_read_revision(body) == counts[i]);
        json_decref(body);
        json_t *txn = rp_kv_codec_begin_txn();
        const struct rp_leader_record record = {.node = "n0",
                                                .own = {.lease = counts[i], .ttl_s = 10}};
        rp_kv_codec_add_condition(txn, "a", counts[i]);
        rp_kv_codec_add_put(txn, "b", rp_record_leader(&record), counts[i]);
        char *written = rp_json_write(txn);
        expect_field(written, "key_rev", counts[i]);
        if (counts[i] > 0) {
            expect_field(written, "lashing", counts[i]);
            expect_field(written, "lease", counts[i]);
        }
        free(written);
        json_decref(txn);
    }
}

/* A user's text that looks like the form in which large integers are held stays a text. */
static void texts_are_not_taken_for_numbers(void **state) {
    static const char text[] =
        "{\"payload\":\"{\\\"\\u0001count\\\":\\\"18446744073709551615\\\"}\",\"n\":"
        "18446744073709551615}";
    (void)state;
    json_t *object = rp_json_parse(text, strlen(text));
    assert_non_null(object);
    char *written = rp_json_write(object);
    assert_string_equal(written, text);
    free(written);
    json_decref(object);
}

/* The progress records of a job of 100,000 tasks are far below the store's limit of a value's size,
 * and read back unchanged. */
static void progress_record_is_small_and_reads_back(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    uint8_t bits[RP_CHUNK_BYTES];
    uint8_t read_bits[RP_CHUNK_BYTES] = {0};
    char key[RP_KEY_MAX];
    char job[RP_ID_MAX];
    unsigned chunk;
    bool is_unit;
    (void)state;
    gsl_rng_set(rng, 3);
    for (size_t i = 0; i < sizeof bits; i++)
        bits[i] = (uint8_t)gsl_rng_uniform_int(rng, 256);
    json_t *value = rp_record_progress(bits, sizeof bits);
    char *text = json_dumps(value, 0);
    assert_less_than(strlen(text), 4096);
    assert_true(rp_record_progress_read(value, read_bits, sizeof read_bits));
    assert_memory_equal(bits, read_bits, sizeof bits);
    assert_false(rp_record_progress_read(value, read_bits, 3));
    free(text);
    json_decref(value);
    rp_key_progress(key, "j-000001", 12);
    assert_true(rp_key_progress_read(key, job, &chunk, &is_unit) && !is_unit);
    assert_string_equal(job, "j-000001");
    assert_int_equal(chunk, 12);
    rp_key_unit(key, "j-000001", 48);
    assert_true(rp_key_progress_read(key, job, &chunk, &is_unit) && is_unit);
    assert_int_equal(chunk, 48);
    assert_false(rp_key_progress_read(RP_KEY_PROGRESS "x", job, &chunk, &is_unit));
    assert_false(rp_key_progress_read(RP_KEY_PROGRESS "j-1/u49", job, &chunk, &is_unit));
    gsl_rng_free(rng);
}

/* ---- records of version 0.1.0 ---- */

/* Records as version 0.1.0 (commit f31ac04) wrote them, copied from the key-value store of a
 * simulated day of its nodes. Until the current format is activated, this version writes records
 * that are equal as JSON values. It reads these records at any time. */
static const char *const job_record_0_1_0 =
    "{\"spec\":{\"ref\":\"j-000001\",\"rig\":\"g\",\"crew\":\"t\",\"haul\":\"ensemble\","
    "\"precedence\":\"urgent\",\"lifts\":2,\"vcpus\":8.0,\"cards\":0.0,\"memory_gb\":2.0,"
    "\"payload\":\"img-1\",\"image_gb\":1.0,\"one_zone\":true,\"spread\":false,\"loaners\":true,"
    "\"run_guess_s\":90.0,\"brace_every_s\":5.0,\"brace_s\":1.0},\"at\":1796179601.6135132}";
static const char *const provision_record_0_1_0 =
    "{\"type\":\"small\",\"zone\":\"b\",\"spot\":true,\"count\":2,\"asked\":1796179601.61427,"
    "\"machines\":[\"vm-000006\",\"vm-000007\"],\"up\":[\"vm-000006\"]}";

/* Checks that a record equals the JSON text `literal`, and releases the record. */
static void assert_json_equal(json_t *written, const char *literal) {
    json_t *value = json_loads(literal, 0, NULL);
    assert_non_null(value);
    if (!json_equal(written, value))
        fail_msg("%s is not %s", json_dumps(written, 0), literal);
    json_decref(value);
    json_decref(written);
}

static void check_job_record(void) {
    struct rp_job_spec spec;
    struct timespec submitted_at;
    json_t *value = json_loads(job_record_0_1_0, 0, NULL);
    assert_true(rp_record_open_read(value, &spec, &submitted_at));
    assert_true(spec.kind == RP_JOB_GANG && spec.n_tasks == 2 && spec.one_zone && spec.spot);
    json_decref(value);
    value = rp_record_open(&spec, submitted_at);
    assert_int_equal(rp_record_format(value), 1);
    /* The time of day is converted to a struct timespec and back, which keeps it within 1 us. */
    assert_true(fabs(json_number_value(json_object_get(value, "at")) - 1796179601.6135132) < 1e-6);
    json_object_set_new(value, "at", json_real(1796179601.6135132));
    assert_json_equal(value, job_record_0_1_0);
    rp_job_spec_free(&spec);
}

static void check_provision_record(void) {
    struct rp_provision_record record;
    const char *names[] = {"vm-000006", "vm-000007"};
    const bool is_up[] = {true, false};
    json_t *value = json_loads(provision_record_0_1_0, 0, NULL);
    assert_true(rp_record_provision_read(value, &record) && record.answered && record.count == 2);
    assert_true(rp_record_provision_is_up(value, names[0]) &&
                !rp_record_provision_is_up(value, names[1]));
    json_decref(value);
    value = rp_record_provision(&record, names, is_up, 2);
    json_object_set_new(value, "asked", json_real(1796179601.61427));
    assert_json_equal(value, provision_record_0_1_0);
}

static void records_of_0_1_0_are_read_and_written(void **state) {
    uint8_t bits[RP_CHUNK_BYTES] = {0x0f, 0xa0, 1};
    uint8_t read_bits[RP_CHUNK_BYTES] = {0};
    enum rp_job_phase phase;
    (void)state;
    check_job_record();
    check_provision_record();
    assert_json_equal(rp_record_terminal(RP_JOB_DONE), "{\"end\":\"done\"}");
    assert_json_equal(rp_record_terminal(RP_JOB_CANCELLED), "{\"end\":\"cancelled\"}");
    const struct rp_leader_record leader = {.node = "n0"};
    assert_json_equal(rp_record_leader(&leader), "{\"node\":\"n0\"}");
    assert_json_equal(rp_record_progress(bits, sizeof bits), "{\"done\":\"0fa001\"}");
    json_t *value = json_loads("{\"done\":\"0fa001\"}", 0, NULL);
    assert_true(rp_record_progress_read(value, read_bits, sizeof read_bits) &&
                memcmp(bits, read_bits, 3) == 0);
    json_decref(value);
    value = json_loads("{\"end\":\"cancelled\"}", 0, NULL);
    assert_true(rp_record_terminal_read(value, &phase) && phase == RP_JOB_CANCELLED);
    json_decref(value);
    value = json_loads("{\"end\":\"of a later version\"}", 0, NULL);
    assert_false(rp_record_terminal_read(value, &phase));
    json_decref(value);
}

/* Records that are marked with the current format read back, also after they were split into parts
 * of any size. Records of a later format are rejected, and so are keys without a valid part index.
 */
static void current_format_reads_back_and_later_one_is_rejected(void **state) {
    struct rp_job_spec spec;
    struct timespec submitted_at;
    json_t *parts[RP_PARTS_MAX];
    char job[RP_ID_MAX];
    unsigned part;
    (void)state;
    json_t *value = json_loads(job_record_0_1_0, 0, NULL);
    rp_record_mark(value);
    assert_int_equal(rp_record_format(value), RP_FORMAT);
    assert_true(rp_record_open_read(value, &spec, &submitted_at));
    rp_job_spec_free(&spec);
    for (size_t max_bytes = 160; max_bytes < 1000; max_bytes += 37) {
        size_t n = rp_record_split(value, max_bytes, parts, RP_PARTS_MAX);
        assert_true(n > 0 && rp_record_n_parts(parts[0]) == n - 1);
        for (size_t i = 0; i < n; i++)
            assert_true(rp_record_size(parts[i]) <= max_bytes);
        json_t *joined = rp_record_join(parts, n);
        assert_true(json_equal(joined, value));
        json_decref(joined);
        for (size_t i = 0; i < n; i++)
            json_decref(parts[i]);
    }
    assert_int_equal(rp_record_split(value, 160, parts, 2), 0);
    json_object_set_new(value, "f", json_integer(RP_FORMAT + 1));
    assert_false(rp_record_open_read(value, &spec, &submitted_at));
    json_decref(value);
    assert_true(rp_key_part_read(RP_KEY_PART "j-1/03", job, &part) && part == 3);
    assert_false(rp_key_part_read(RP_KEY_PART "j-1/64", job, &part));
    assert_false(rp_key_part_read(RP_KEY_PART "j-1", job, &part));
}

/* The phases of jobs pass from the leader to other nodes in a message and, compressed, in
 * records. If these have no room for all jobs, those that are missing are undetermined. */
static void phases_pass_in_both_forms(void **state) {
    static const struct rp_job_status jobs[] = {
        {.id = "j-000000", .phase = RP_JOB_UNDETERMINED, .done = 2, .age_s = 0.2},
        {.id = "j-000007", .phase = RP_JOB_RUNNING, .running = 36, .age_s = 0.0},
        {.id = "j-000412", .phase = RP_JOB_QUEUED, .done = 3, .age_s = 2.8},
        {.id = "j-999999", .phase = RP_JOB_RUNNING, .done = 100000, .running = 1, .age_s = 1.4}};
    enum { N_JOBS = sizeof jobs / sizeof jobs[0], N_MAX = 4, ONE_JOB_BYTES = 96 + 16 };
    static const size_t max_bytes[] = {1024, ONE_JOB_BYTES};
    const struct rp_phase_snapshot snapshot = {
        .jobs = (struct rp_job_status *)jobs, .n_jobs = N_JOBS, .is_complete = true};
    struct rp_phase_snapshot read[3] = {{0}};
    struct timespec as_of;
    json_t *records[N_MAX];
    (void)state;
    char *text = rp_phase_codec_write("n1", &snapshot);
    assert_true(rp_phase_codec_parse(text, strlen(text), &read[0]));
    for (int i = 0; i < 2; i++) {
        size_t n = rp_phase_codec_write_records(&snapshot, rp_ts(1790000000.5), max_bytes[i],
                                                records, N_MAX);
        assert_int_equal(n, i == 0 ? 1 : N_JOBS);
        for (size_t k = 0; k < n; k++) {
            assert_false(rp_phase_codec_read_record(records[k], n + 1, &read[2], &as_of));
            rp_phase_snapshot_free(&read[2]);
            assert_true(rp_phase_codec_read_record(records[k], n, &read[1], &as_of));
            assert_true(rp_ts_cmp(as_of, rp_ts(1790000000.5)) == 0);
            json_decref(records[k]);
        }
        rp_phase_snapshot_sort(&read[1]);
        for (size_t k = 0; k < 2 * N_JOBS; k++) {
            struct rp_job_status found = {0};
            snprintf(found.id, sizeof found.id, "%s", jobs[k % N_JOBS].id);
            rp_phase_snapshot_find(&read[k / N_JOBS], &found);
            assert_int_equal(found.phase, jobs[k % N_JOBS].phase);
            assert_int_equal(found.done, jobs[k % N_JOBS].done);
            assert_int_equal(found.running, jobs[k % N_JOBS].running);
            assert_true(fabs(found.age_s - jobs[k % N_JOBS].age_s) < 0.11);
        }
        rp_phase_snapshot_free(&read[1]);
    }
    rp_phase_snapshot_free(&read[0]);
    free(text);
}

/* Jobs for which the records have no room are undetermined, not idle. */
static void jobs_left_out_of_records_are_undetermined(void **state) {
    struct rp_job_status jobs[] = {{.id = "j-000001", .phase = RP_JOB_RUNNING, .running = 1},
                                   {.id = "j-000002", .phase = RP_JOB_RUNNING, .running = 1}};
    const struct rp_phase_snapshot snapshot = {.jobs = jobs, .n_jobs = 2, .is_complete = true};
    struct rp_phase_snapshot read = {0};
    struct timespec as_of;
    json_t *record;
    (void)state;
    assert_int_equal(
        rp_phase_codec_write_records(&snapshot, rp_ts(1790000000.5), 96 + 9, &record, 1), 1);
    assert_true(rp_phase_codec_read_record(record, 1, &read, &as_of));
    rp_phase_snapshot_find(&read, &jobs[0]);
    rp_phase_snapshot_find(&read, &jobs[1]);
    assert_int_equal(jobs[0].phase, RP_JOB_RUNNING);
    assert_int_equal(jobs[1].phase, RP_JOB_UNDETERMINED);
    rp_phase_snapshot_free(&read);
    json_decref(record);
}

/* A record that no leader has written is refused as a whole. */
static void malformed_phases_are_refused(void **state) {
    static const char *const lists[] = {"1", "1.",     "1.2",        "1.2.3.4",   "x y ",   "1.?.",
                                        "-", "1.2.3 ", "1.2.3.4.5 ", "1.-2.3.4 ", "1..3.4 "};
    (void)state;
    for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++) {
        struct rp_phase_snapshot snapshot = {0};
        struct timespec as_of;
        json_t *record = json_pack("{s:f,s:i,s:b,s:s}", "at", 1.0, "records", 1, "complete", 1,
                                   "jobs", lists[i]);
        assert_false(rp_phase_codec_read_record(record, 1, &snapshot, &as_of));
        rp_phase_snapshot_free(&snapshot);
        json_decref(record);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(phases_pass_in_both_forms),
        cmocka_unit_test(jobs_left_out_of_records_are_undetermined),
        cmocka_unit_test(malformed_phases_are_refused),
        cmocka_unit_test(valid_submission_reads_back_from_its_record),
        cmocka_unit_test(malformed_submission_is_rejected),
        cmocka_unit_test(heartbeat_is_decoded_or_rejected),
        cmocka_unit_test(numbers_of_workers_pass_in_their_whole_range),
        cmocka_unit_test(numbers_that_are_no_counts_are_refused),
        cmocka_unit_test(numbers_of_the_store_pass_in_their_whole_range),
        cmocka_unit_test(texts_are_not_taken_for_numbers),
        cmocka_unit_test(largest_heartbeat_response_is_below_64_kib),
        cmocka_unit_test(progress_record_is_small_and_reads_back),
        cmocka_unit_test(mutated_messages_are_decoded_or_rejected),
        cmocka_unit_test(records_of_0_1_0_are_read_and_written),
        cmocka_unit_test(current_format_reads_back_and_later_one_is_rejected)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
