/* Both settings files: what is read, and what is refused, with its position. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include "config/platform_file.h"
#include "config/settings.h"

static char told[4096];

static int tune(const char *text, struct rp_tuning *tuning) {
    FILE *errors = fmemopen(told, sizeof told, "w");
    memset(told, 0, sizeof told);
    rp_tuning_defaults(tuning);
    int mistakes = rp_tuning_parse(tuning, text, "op", errors);
    fclose(errors);
    return mistakes;
}

static void operators_file(void **state) {
    struct rp_tuning tuning;
    (void)state;
    assert_int_equal(tune("", &tuning), 0);
    assert_more_than(tuning.round_period_s, 0);
    assert_int_equal(tune("# a comment\nround_period_s: 4.5\npreemption: false;\n"
                          "heuristic: \"FCFS-SM\"\nheuristic: 'LTJF-CFH'\nfaulty_after: 3\n",
                          &tuning),
                     0);
    assert_true(tuning.round_period_s == 4.5 && !tuning.preemption && tuning.faulty_after == 3);
    assert_int_equal(tuning.n_heuristics, 2);
    assert_string_equal(tuning.heuristics[1], "LTJF-CFH");
    assert_int_equal(tune("heuristic: [\"FCFS-SM\", \"SJF-LM\"]", &tuning), 0);
    assert_int_equal(tuning.n_heuristics, 2);
}

static void operators_mistakes(void **state) {
    static const struct {
        const char *text, *told;
    } cases[] = {
        {"round_perio_s: 1", "op:1:1: unknown field"},
        {"\n  round_period_s: 1\nround_period_s: 2",
         "op:3:1: field 'round_period_s' is given twice"},
        {"round_period_s 1", "op:1:16: round_period_s: ':' was expected"},
        {"round_period_s: x", "op:1:17: round_period_s: a number"},
        {"round_period_s: 1e999", "op:1:17: round_period_s: number out of range"},
        {"round_period_s: 0.01", "op: round_period_s: must lie between"},
        {"faulty_after: 1.5", "op:1:15: faulty_after: a whole number"},
        {"faulty_after: -1", "op:1:15: faulty_after: a whole number"},
        {"preemption: maybe", "op:1:13: preemption: true or false"},
        {"heuristic: FCFS", "op:1:12: heuristic: a quoted string"},
        {"heuristic: \"FCFS", "op:1:12: heuristic: string without an end"},
        {"heuristic: \"A\\n\"", "escapes are not accepted"},
        {"heuristic: \"FCFS-XX\"", "'FCFS-XX' is not known"},
        {"heuristic: [\"FCFS-SM\"", "',' or ']' was expected"},
        {"}", "op:1:1: a name was expected"},
        {"standby: 1", "op:1:10: standby: true or false"},
        {"suspect_after_s: 2", "op: suspect_after_s: must lie between 2.5 and 60"},
    };
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        struct rp_tuning tuning;
        assert_int_not_equal(tune(cases[i].text, &tuning), 0);
        if (!strstr(told, cases[i].told))
            fail_msg("'%s' told '%s'", cases[i].text, told);
    }
}

static const char platform[] =
    "{\"node_name\":\"n0\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[],\"external\":{\"cloud\":\"c\",\"state\":\"s\"},\"unknown\":1,"
    "\"params\":{\"nodes\":3,\"zones\":[\"a\"],\"teams\":[],\"objectives\":[{\"kind\":\"new\"}],"
    "\"workers\":{\"report_s\":2,\"lease_s\":%g,\"gang_wait_s\":40,\"gang_peer_s\":5,\"cancel_s\":"
    "%g},\"state\":{\"rps\":200,\"write_rps\":20,\"value_kb\":8,\"txn_ops\":8},\"cloud\":{\"rps\":"
    "5,\"list_lag_s\":3},\"machine_limits\":{\"cpu_share\":0.1,\"mem_mb\":%s,\"max_connections\":"
    "800}}}";

static int read_platform(double lease, double cancel, const char *memory,
                         struct rp_settings *settings) {
    char text[2048];
    FILE *errors = fmemopen(told, sizeof told, "w");
    memset(told, 0, sizeof told);
    snprintf(text, sizeof text, platform, lease, cancel, memory);
    int mistakes = rp_platform_file_parse(settings, text, "p", errors);
    rp_settings_complete(settings);
    if (!mistakes)
        mistakes = rp_settings_check(settings, errors);
    fclose(errors);
    return mistakes;
}

static void platform_file(void **state) {
    struct rp_settings settings;
    (void)state;
    assert_int_equal(read_platform(14, 39, "56", &settings), 0);
    assert_string_equal(settings.node, "n0");
    assert_int_equal(settings.n_objectives, 0);
    assert_true(settings.tuning.leader_ttl_s == 10);
    rp_settings_free(&settings);
    assert_int_equal(read_platform(14, 39, "\"x\"", &settings), 1);
    assert_non_null(strstr(told, "p: params.machine_limits.mem_mb: must be a number"));
    rp_settings_free(&settings);
    assert_int_equal(read_platform(14, 39, "-1", &settings), 1);
    assert_non_null(strstr(told, "must lie between"));
    rp_settings_free(&settings);
}

/* Limits of the key-value store that are to come: what fits both is used; a bad one is named. */
static void limits_to_come(void **state) {
    static const struct {
        const char *next, *told;
        double value_kb;
    } cases[] = {{"null", NULL, 8},
                 {"{}", NULL, 8},
                 {"{\"value_kb\":2,\"txn_ops\":4,\"write_rps\":15,\"later\":1}", NULL, 2},
                 {"{\"value_kb\":64}", NULL, 8},
                 {"7", "params.state.next: must be an object", 0},
                 {"{\"value_kb\":\"2\"}", "params.state.next.value_kb: must be a number", 0},
                 {"{\"txn_ops\":1}", "params.state.next.txn_ops: must lie between 2", 0},
                 {"{\"write_rps\":-1}", "params.state.next.write_rps: must lie", 0}};
    (void)state;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        struct rp_settings settings;
        char text[2048];
        char with[2400];
        snprintf(text, sizeof text, platform, 14.0, 39.0, "56");
        char *insertion = strstr(text, "\"txn_ops\":8") + strlen("\"txn_ops\":8");
        snprintf(with, sizeof with, "%.*s,\"next\":%s%s", (int)(insertion - text), text,
                 cases[i].next, insertion);
        FILE *errors = fmemopen(told, sizeof told, "w");
        memset(told, 0, sizeof told);
        int mistakes = rp_platform_file_parse(&settings, with, "p", errors);
        fclose(errors);
        if ((mistakes > 0) != (cases[i].told != NULL) ||
            (cases[i].told && !strstr(told, cases[i].told)))
            fail_msg("%s told '%s'", cases[i].next, told);
        if (!cases[i].told) {
            assert_true(settings.state.value_kb == 8 && settings.state.txn_ops == 8);
            assert_true(settings.state_fit.value_kb == cases[i].value_kb);
        }
        rp_settings_free(&settings);
    }
}

/* A fixed leader lease contradicted short worker leases: nodes refused to start there. */
static void leader_lease_fits(void **state) {
    struct rp_settings settings;
    (void)state;
    assert_int_equal(read_platform(6, 12, "56", &settings), 0);
    assert_true(settings.tuning.leader_ttl_s < 2 && settings.tuning.leader_ttl_s >= 1);
    settings.tuning.leader_ttl_s = 5;
    FILE *errors = fmemopen(told, sizeof told, "w");
    assert_int_not_equal(rp_settings_check(&settings, errors), 0);
    fclose(errors);
    rp_settings_free(&settings);
}

/* Whether these settings are accepted; if so, their staleness bound keeps cancel_s, and if not, the
 * mistake names it. */
static bool staleness_fits(double lease_s, double cancel_s) {
    struct rp_settings settings;
    bool accepted = read_platform(lease_s, cancel_s, "56", &settings) == 0;
    if (accepted) {
        double max_staleness_s = rp_settings_max_staleness_s(&settings);
        assert_more_than(max_staleness_s, settings.tuning.leader_ttl_s);
        assert_less_than((max_staleness_s + lease_s) * 1.001 + 3, cancel_s);
    } else {
        assert_non_null(strstr(told, "cancel_s"));
    }
    rp_settings_free(&settings);
    return accepted;
}

/* What a leader that hears of no cancellation renews last is over within cancel_s of any that it
 * can't know of; and changes that come as they should are never too old. */
static void news_bound_keeps_cancellations(void **state) {
    struct rp_settings settings;
    int sound = 0;
    (void)state;
    for (double lease = 4; lease < 60; lease *= 1.3)
        for (double more = 1; more < 60; more *= 1.2)
            sound += staleness_fits(lease, lease + more);
    assert_at_least(sound, 100);
    assert_int_equal(read_platform(14, 39, "56", &settings), 0);
    assert_true(rp_settings_max_staleness_s(&settings) == settings.tuning.leader_ttl_s + 4.5);
    rp_settings_free(&settings);
}

/* Whatever the text: read or refused, never a crash or a leak. */
static void random_text(void **state) {
    static const char pieces[][20] = {"round_period_s",
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
            strcat(text, pieces[gsl_rng_uniform_int(rng, sizeof pieces / sizeof pieces[0])]);
        int mistakes = tune(text, &tuning);
        assert_true(mistakes > 0 || (tuning.n_heuristics > 0 && tuning.round_period_s >= 0.5));
        assert_true((mistakes > 0) == (told[0] != '\0'));
    }
    gsl_rng_free(rng);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(operators_file),    cmocka_unit_test(operators_mistakes),
        cmocka_unit_test(platform_file),     cmocka_unit_test(limits_to_come),
        cmocka_unit_test(leader_lease_fits), cmocka_unit_test(news_bound_keeps_cancellations),
        cmocka_unit_test(random_text)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
