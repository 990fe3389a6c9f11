/* Outside words to structs and back; records. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include "records.h"
#include "wire.h"

static const char good[] =
    "{\"ref\":\"j-000412\",\"rig\":\"train\",\"crew\":\"vision\",\"haul\":\"ensemble\","
    "\"precedence\":\"urgent\",\"lifts\":16,\"vcpus\":8.0,\"cards\":1,\"memory_gb\":64.0,"
    "\"payload\":\"img-07\",\"image_gb\":6.2,\"frames\":[\"g8\"],\"yard\":null,\"one_zone\":true,"
    "\"spread\":false,\"loaners\":true,\"run_guess_s\":240.0,\"brace_every_s\":30.0,\"brace_s\":4."
    "0,"
    "\"due_s\":900.0,\"new\":[1]}";

static bool reads(const char *text) {
    struct rp_job_spec spec;
    char why[128];
    bool ok = rp_wire_submission(text, strlen(text), &spec, why);
    rp_job_spec_free(&spec);
    return ok;
}

/* `good` with the value of a field replaced. */
static bool reads_with(const char *field, const char *value) {
    json_t *v = json_loads(good, 0, NULL),
           *x = value ? json_loads(value, JSON_DECODE_ANY, NULL) : NULL;
    if (value)
        json_object_set_new(v, field, x);
    else
        json_object_del(v, field);
    char *text = json_dumps(v, 0);
    bool ok = reads(text);
    free(text);
    json_decref(v);
    return ok;
}

static void submissions(void **state) {
    struct rp_job_spec spec;
    char why[128];
    (void)state;
    assert_true(rp_wire_submission(good, strlen(good), &spec, why));
    assert_string_equal(spec.id, "j-000412");
    assert_int_equal(spec.kind, RP_GANG);
    assert_int_equal(spec.priority, RP_HIGH);
    assert_int_equal(spec.n_tasks, 16);
    assert_int_equal(spec.n_types, 1);
    assert_true(spec.zone[0] == '\0' && spec.one_zone && spec.deadline_s == 900);
    /* The stored form reads back the same. */
    json_t *stored = rp_record_open(&spec, rp_ts(12.5));
    struct rp_job_spec again;
    struct timespec at;
    assert_true(rp_record_open_read(stored, &again, &at));
    assert_true(rp_ts_s(at) == 12.5 && again.each.cpus == 8 && again.n_types == 1);
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
    struct rp_report r;
    (void)state;
    assert_true(rp_wire_report(text, strlen(text), &r));
    assert_int_equal(r.n_tasks, 2);
    assert_int_equal(r.tasks[0].task, 3);
    assert_int_equal(r.tasks[1].why, RP_EXIT_DONE);
    assert_true(r.has_notice && r.notice_s == 7.5 && r.token == 41);
    rp_report_free(&r);
    assert_false(rp_wire_report("{}", 2, &r));
    assert_false(rp_wire_report("{\"sheave\":\"vm-1\"}", 17, &r));
}

/* Bytes changed at random in good messages: read or refused, never a crash or a leak; what is read
 * stays within its limits. */
static void mutated_messages(void **state) {
    static const char report[] =
        "{\"sheave\":\"vm-1\",\"address\":\"a:1\",\"frame\":\"g8\",\"yard\":\"a\",\"loaners\":true,"
        "\"stint\":1,\"tick\":88,\"warrant\":41,\"recall_s\":null,\"lifts\":[{\"lift\":"
        "\"j-000412/3\",\"pull\":2,\"tension\":\"exited\",\"slack_reason\":\"done\"}]}";
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 17);
    for (int round = 0; round < 20000; round++) {
        bool job = round % 2;
        char text[1024], why[128];
        struct rp_job_spec spec;
        struct rp_report r;
        strcpy(text, job ? good : report);
        size_t len = strlen(text);
        for (unsigned k = 0; k <= gsl_rng_uniform_int(rng, 3); k++)
            text[gsl_rng_uniform_int(rng, len)] = (char)(32 + gsl_rng_uniform_int(rng, 96));
        if (job && rp_wire_submission(text, len, &spec, why)) {
            assert_true(rp_wire_id_valid(spec.id) && spec.n_tasks >= 1 &&
                        spec.n_tasks <= RP_TASKS_MAX && spec.each.cpus >= 0);
            rp_job_spec_free(&spec);
        } else if (!job && rp_wire_report(text, len, &r)) {
            assert_true(r.n_tasks <= 1 && strlen(r.machine) < RP_TEXT_MAX);
            rp_report_free(&r);
        }
    }
    gsl_rng_free(rng);
}

/* An answer's only line must stay below 64 KiB with the most commands it may carry. */
static void answers_fit(void **state) {
    struct rp_command *c = calloc(400, sizeof *c);
    (void)state;
    assert_non_null(c);
    for (int i = 0; i < 400; i++) {
        c[i] = (struct rp_command){
            .op = RP_OP_STOP, .task = 99999, .attempt = UINT64_MAX >> 1, .grace_s = 12.3456789};
        strcpy(c[i].job, "j-12345678901234567890");
    }
    char *text = rp_wire_report_answer(UINT64_MAX >> 1, c, 400);
    assert_true(strlen(text) < 65536);
    free(text);
    free(c);
}

/* A job of 100,000 tasks: every record stays far below the value limit and reads back. */
static void progress(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    uint8_t bits[RP_CHUNK_BYTES], back[RP_CHUNK_BYTES] = {0};
    char key[RP_KEY_MAX], job[RP_ID_MAX];
    unsigned chunk;
    bool unit;
    (void)state;
    gsl_rng_set(rng, 3);
    for (size_t i = 0; i < sizeof bits; i++)
        bits[i] = (uint8_t)gsl_rng_uniform_int(rng, 256);
    json_t *v = rp_record_progress(bits, sizeof bits);
    char *text = json_dumps(v, 0);
    assert_true(strlen(text) < 4096);
    assert_true(rp_record_progress_read(v, back, sizeof back));
    assert_memory_equal(bits, back, sizeof bits);
    assert_false(rp_record_progress_read(v, back, 3));
    free(text);
    json_decref(v);
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

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(submissions), cmocka_unit_test(bad_submissions),
        cmocka_unit_test(reports),     cmocka_unit_test(answers_fit),
        cmocka_unit_test(progress),    cmocka_unit_test(mutated_messages)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
