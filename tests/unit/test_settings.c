/* Parsing of both settings files: which text is accepted, and which is rejected with which error.
 */
#include "test.h"

#include <gsl/gsl_rng.h>
#include "config/platform_file.h"
#include "config/settings.h"

/* What the last parser call wrote to its error output. */
static char error_text[4096];

static int parse_operators_file(const char *text, struct rp_tuning *tuning) {
    FILE *error_output = fmemopen(error_text, sizeof error_text, "w");
    memset(error_text, 0, sizeof error_text);
    rp_tuning_defaults(tuning);
    int n_errors = rp_tuning_parse(tuning, text, "op", error_output);
    fclose(error_output);
    return n_errors;
}

static void operators_file_sets_its_fields(void **state) {
    struct rp_tuning tuning;
    (void)state;
    assert_int_equal(parse_operators_file("", &tuning), 0);
    assert_more_than(tuning.round_period_s, 0);
    assert_int_equal(
        parse_operators_file("# a comment\nround_period_s: 4.5\npreemption: false;\n"
                             "heuristic: \"FCFS-SM\"\nheuristic: 'LTJF-CFH'\nfaulty_after: 3\n",
                             &tuning),
        0);
    assert_true(tuning.round_period_s == 4.5 && !tuning.preemption && tuning.faulty_after == 3);
    assert_int_equal(tuning.n_heuristics, 2);
    assert_string_equal(tuning.heuristics[1], "LTJF-CFH");
    assert_int_equal(parse_operators_file("heuristic: [\"FCFS-SM\", \"SJF-LM\"]", &tuning), 0);
    assert_int_equal(tuning.n_heuristics, 2);
}

static void operators_file_errors_have_a_position(void **state) {
    static const struct {
        const char *text, *expected_error;
    } cases[] = {
        {"round_perio_s: 1", "op:1:1: unknown field"},
        {"\n  round_period_s: 1\nround_period_s: 2", "op:3:1: field 'round_period_s' occurs twice"},
        {"round_period_s 1", "op:1:16: round_period_s: ':' was expected"},
        {"round_period_s: x", "op:1:17: round_period_s: a number"},
        {"round_period_s: 1e999", "op:1:17: round_period_s: number is out of range"},
        {"round_period_s: 0.01", "op: round_period_s: must be between 0.5 and 60, but is 0.01"},
        {"faulty_after: 1.5",
         "op:1:15: faulty_after: a whole number from 0 to 4294967295 was expected, not 1.5"},
        {"faulty_after: -1",
         "op:1:15: faulty_after: a whole number from 0 to 4294967295 was expected, not -1"},
        {"preemption: maybe", "op:1:13: preemption: true or false"},
        {"heuristic: FCFS", "op:1:12: heuristic: a quoted string"},
        {"heuristic: \"FCFS", "op:1:12: heuristic: string has no closing quote"},
        {"heuristic: \"A\\n\"", "escape sequences are not supported"},
        {"heuristic: \"FCFS-XX\"", "'FCFS-XX' is not a known heuristic"},
        {"heuristic: [\"FCFS-SM\"", "',' or ']' was expected"},
        {"}", "op:1:1: a name was expected"},
        {"standby: 1", "op:1:10: standby: true or false"},
        {"suspect_after_s: 2", "op: suspect_after_s: must be between 2.5 and 60, but is 2"},
    };
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        struct rp_tuning tuning;
        assert_int_not_equal(parse_operators_file(cases[i].text, &tuning), 0);
        if (!strstr(error_text, cases[i].expected_error))
            fail_msg("'%s' reported '%s'", cases[i].text, error_text);
    }
}

/* A platform file as a format: lease_s, cancel_s and the value of mem_mb are filled in. */
static const char platform_format[] =
    "{\"node_name\":\"n0\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[],\"external\":{\"cloud\":\"c\",\"state\":\"s\"},\"unknown\":1,"
    "\"params\":{\"nodes\":3,\"zones\":[\"a\"],\"teams\":[],\"objectives\":[{\"kind\":\"new\"}],"
    "\"workers\":{\"report_s\":2,\"lease_s\":%g,\"gang_wait_s\":40,\"gang_peer_s\":5,\"cancel_s\":"
    "%g},\"state\":{\"rps\":200,\"write_rps\":20,\"value_kb\":8,\"txn_ops\":8},\"cloud\":{\"rps\":"
    "5,\"list_lag_s\":3},\"machine_limits\":{\"cpu_share\":0.1,\"mem_mb\":%s,\"max_connections\":"
    "800}}}";

/* Returns the number of errors. The caller must free the settings. */
static int load_platform_file(double lease_s, double cancel_s, const char *memory,
                              struct rp_settings *settings) {
    char text[2048];
    FILE *error_output = fmemopen(error_text, sizeof error_text, "w");
    memset(error_text, 0, sizeof error_text);
    snprintf(text, sizeof text, platform_format, lease_s, cancel_s, memory);
    int n_errors = rp_platform_file_parse(settings, text, "p", error_output);
    rp_settings_complete(settings);
    if (!n_errors)
        n_errors = rp_settings_check(settings, error_output);
    fclose(error_output);
    return n_errors;
}

static void platform_file_is_read_and_checked(void **state) {
    struct rp_settings settings;
    (void)state;
    assert_int_equal(load_platform_file(14, 39, "56", &settings), 0);
    assert_string_equal(settings.node, "n0");
    assert_int_equal(settings.n_objectives, 0);
    assert_true(settings.tuning.leader_ttl_s == 10);
    rp_settings_free(&settings);
    assert_int_equal(load_platform_file(14, 39, "\"x\"", &settings), 1);
    assert_non_null(strstr(error_text, "p: params.machine_limits.mem_mb: must be a number"));
    rp_settings_free(&settings);
    assert_int_equal(load_platform_file(14, 39, "-1", &settings), 1);
    assert_non_null(strstr(
        error_text, "p: params.machine_limits.mem_mb: must be between 8 and 1e+09, but is -1"));
    rp_settings_free(&settings);
}

/* `params.state.next` gives future limits of the key-value store. The lower one of each current and
 * future limit applies, and an invalid future limit is reported with its path. */
static void lower_of_current_and_next_limits_applies(void **state) {
    static const struct {
        const char *next, *expected_error; /* NULL: accepted */
        double value_kb;
    } cases[] = {
        {"null", NULL, 8},
        {"{}", NULL, 8},
        {"{\"value_kb\":2,\"txn_ops\":4,\"write_rps\":15,\"later\":1}", NULL, 2},
        {"{\"value_kb\":64}", NULL, 8},
        {"7", "params.state.next: must be an object", 0},
        {"{\"value_kb\":\"2\"}", "params.state.next.value_kb: must be a number", 0},
        {"{\"txn_ops\":1}", "params.state.next.txn_ops: must be between 2 and 1e+06, but is 1", 0},
        {"{\"write_rps\":-1}",
         "params.state.next.write_rps: must be between 1 and 1e+06, but is -1", 0}};
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        struct rp_settings settings;
        char text[2048];
        char text_with_next[2400];
        snprintf(text, sizeof text, platform_format, 14.0, 39.0, "56");
        char *insertion = strstr(text, "\"txn_ops\":8") + strlen("\"txn_ops\":8");
        snprintf(text_with_next, sizeof text_with_next, "%.*s,\"next\":%s%s",
                 (int)(insertion - text), text, cases[i].next, insertion);
        FILE *error_output = fmemopen(error_text, sizeof error_text, "w");
        memset(error_text, 0, sizeof error_text);
        int n_errors = rp_platform_file_parse(&settings, text_with_next, "p", error_output);
        fclose(error_output);
        if ((n_errors > 0) != (cases[i].expected_error != NULL) ||
            (cases[i].expected_error && !strstr(error_text, cases[i].expected_error)))
            fail_msg("%s reported '%s'", cases[i].next, error_text);
        if (!cases[i].expected_error) {
            assert_true(settings.kv_limits_current.value_kb == 8 &&
                        settings.kv_limits_current.txn_ops == 8);
            assert_true(settings.kv_limits_lowest.value_kb == cases[i].value_kb);
        }
        rp_settings_free(&settings);
    }
}

/* Guards against a fixed default of the leader's lease: where the workers' lease is short, such a
 * default exceeds it, the settings are rejected as contradictory and the nodes do not start. */
static void short_worker_lease_shortens_leader_lease(void **state) {
    struct rp_settings settings;
    (void)state;
    assert_int_equal(load_platform_file(6, 12, "56", &settings), 0);
    assert_true(settings.tuning.leader_ttl_s < 2 && settings.tuning.leader_ttl_s >= 1);
    settings.tuning.leader_ttl_s = 5;
    FILE *error_output = fmemopen(error_text, sizeof error_text, "w");
    assert_int_not_equal(rp_settings_check(&settings, error_output), 0);
    fclose(error_output);
    rp_settings_free(&settings);
}

/* Returns whether these settings are accepted. Checks that the staleness bound of accepted settings
 * keeps cancel_s, and that the error of rejected settings names cancel_s. */
static bool is_accepted_with_staleness_bound(double lease_s, double cancel_s) {
    struct rp_settings settings;
    bool is_accepted = load_platform_file(lease_s, cancel_s, "56", &settings) == 0;
    if (is_accepted) {
        double max_staleness_s = rp_settings_max_staleness_s(&settings);
        assert_more_than(max_staleness_s, settings.tuning.leader_ttl_s);
        assert_less_than((max_staleness_s + lease_s) * 1.001 + 3, cancel_s);
    } else {
        assert_non_null(strstr(error_text, "cancel_s"));
    }
    rp_settings_free(&settings);
    return is_accepted;
}

/* A leader that cannot read a cancellation stops renewing leases in time: the last lease that it
 * renews expires within cancel_s of the confirmation. The bound is also large enough that changes
 * which arrive without a fault are never too old. */
static void staleness_bound_keeps_cancel_s(void **state) {
    struct rp_settings settings;
    int n_accepted = 0;
    (void)state;
    for (double lease_s = 4; lease_s < 60; lease_s *= 1.3)
        for (double excess_s = 1; excess_s < 60; excess_s *= 1.2)
            n_accepted += is_accepted_with_staleness_bound(lease_s, lease_s + excess_s);
    assert_at_least(n_accepted, 100);
    assert_int_equal(load_platform_file(14, 39, "56", &settings), 0);
    assert_true(rp_settings_max_staleness_s(&settings) == settings.tuning.leader_ttl_s + 4.5);
    rp_settings_free(&settings);
}

/* Random text is parsed or rejected with an error, without a crash or a memory leak. */
static void random_text_is_parsed_or_rejected(void **state) {
    static const char fragments[][20] = {"round_period_s",
                                         "heuristic",
                                         ":",
                                         " ",
                                         "\n",
                                         "\"FCFS-SM\"",
                                         "[",
                                         "]",
                                         ",",
                                         "2.5",
                                         "-",
                                         "true",
                                         "#",
                                         "'",
                                         "preemption",
                                         "1e400",
                                         "{",
                                         "\x7f",
                                         "faulty_after",
                                         "3"};
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 13);
    for (int trial = 0; trial < 5000; trial++) {
        char text[256] = "";
        struct rp_tuning tuning;
        for (int k = 0; k < 8; k++)
            strcat(text,
                   fragments[gsl_rng_uniform_int(rng, sizeof fragments / sizeof fragments[0])]);
        int n_errors = parse_operators_file(text, &tuning);
        assert_true(n_errors > 0 || (tuning.n_heuristics > 0 && tuning.round_period_s >= 0.5));
        assert_true((n_errors > 0) == (error_text[0] != '\0'));
    }
    gsl_rng_free(rng);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(operators_file_sets_its_fields),
                                       cmocka_unit_test(operators_file_errors_have_a_position),
                                       cmocka_unit_test(platform_file_is_read_and_checked),
                                       cmocka_unit_test(lower_of_current_and_next_limits_applies),
                                       cmocka_unit_test(short_worker_lease_shortens_leader_lease),
                                       cmocka_unit_test(staleness_bound_keeps_cancel_s),
                                       cmocka_unit_test(random_text_is_parsed_or_rejected)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
