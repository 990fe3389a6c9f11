/* Queries that share a request to the key-value store, and terminal states that need no request. */
#include "test.h"

#include <jansson.h>
#include "jobs/job_lookup.h"
#include "jobs/terminal_states.h"

#define CALLS_MAX 16
#define RPS 10.0 /* on one node: 5.4 queries per second, the first 4 at once */

/* A fake key-value store that records its requests, and answers them when the test calls `answer`.
 */
struct fake_store {
    size_t n;
    struct {
        json_t *body;
        rp_response_fn fn;
        void *arg;
    } calls[CALLS_MAX];
};

static void record_call(void *ctx, const char *addr, const char *method, const char *target,
                        const char *body, double timeout_s, rp_response_fn fn, void *arg) {
    struct fake_store *fake_store = ctx;
    (void)addr, (void)method, (void)target, (void)timeout_s;
    assert_less_than(fake_store->n, CALLS_MAX);
    fake_store->calls[fake_store->n].body = body ? json_loads(body, 0, NULL) : NULL;
    fake_store->calls[fake_store->n].fn = fn;
    fake_store->calls[fake_store->n++].arg = arg;
}

static void answer(struct fake_store *fake_store, size_t call, int status, const char *body) {
    json_decref(fake_store->calls[call].body);
    fake_store->calls[call].fn(fake_store->calls[call].arg,
                               &(struct rp_response){status, false, body, strlen(body)});
}

static size_t n_conditions(const struct fake_store *fake_store, size_t call) {
    return json_array_size(json_object_get(fake_store->calls[call].body, "when"));
}

struct fixture {
    struct rp_loop loop;
    struct fake_store fake_store;
    struct rp_kv_client store;
    struct rp_settings settings;
    struct rp_job_lookup lookup;
};

static void fixture_open(struct fixture *fixture) {
    struct rp_net net = {.ctx = &fixture->fake_store, .call = record_call};
    memset(fixture, 0, sizeof *fixture);
    fixture->settings.kv_limits_lowest.txn_ops = 2;
    assert_int_equal(rp_loop_init(&fixture->loop, true), 0);
    fixture->loop.virtual_now = rp_ts(100);
    rp_kv_client_init(&fixture->store, &fixture->loop, net, "state", RPS, 10, 1, 0.6);
    rp_job_lookup_init(&fixture->lookup, &fixture->loop, &fixture->store, &fixture->settings);
    while (!rp_job_lookup_should_batch(&fixture->lookup))
        rp_token_bucket_take(&fixture->store.budgets.requests[RP_KV_BUDGET_QUERIES], 1);
}

static void fixture_close(struct fixture *fixture) {
    rp_job_lookup_close(&fixture->lookup);
    rp_kv_client_close(&fixture->store);
    rp_loop_close(&fixture->loop);
}

static void record_result(void *arg, enum rp_lookup_result result) {
    *(int *)arg = (int)result;
}

/* Queries that wait for the budget together are answered by one request. */
static void queries_waiting_for_the_budget_share_one_request(void **state) {
    struct fixture fixture;
    int results[3] = {-1, -1, -1};
    (void)state;
    fixture_open(&fixture);
    rp_job_lookup_add(&fixture.lookup, "j-000001", record_result, &results[0]);
    rp_job_lookup_add(&fixture.lookup, "j-000002", record_result, &results[1]);
    rp_job_lookup_add(&fixture.lookup, "j-000001", record_result, &results[2]);
    assert_int_equal(fixture.fake_store.n, 0);
    rp_loop_advance(&fixture.loop, rp_ts(101));
    assert_int_equal(fixture.fake_store.n, 1);
    /* Two queries for the same job share one condition. */
    assert_int_equal(n_conditions(&fixture.fake_store, 0), 2);
    answer(&fixture.fake_store, 0, 409,
           "{\"failed\":[\"rp/main/open/j-000001\"],\"ledger_rev\":7}");
    assert_int_equal(results[0], RP_LOOKUP_OPEN);
    assert_int_equal(results[1], RP_LOOKUP_NOT_OPEN);
    assert_int_equal(results[2], RP_LOOKUP_OPEN);
    fixture_close(&fixture);
}

/* A query that arrives while a request is in flight is not answered by that request: the response
 * of that request may be older than the query. */
static void query_added_during_a_request_gets_a_newer_result(void **state) {
    struct fixture fixture;
    int early = -1;
    int late = -1;
    (void)state;
    fixture_open(&fixture);
    rp_job_lookup_add(&fixture.lookup, "j-000001", record_result, &early);
    rp_loop_advance(&fixture.loop, rp_ts(101));
    assert_int_equal(fixture.fake_store.n, 1);
    rp_job_lookup_add(&fixture.lookup, "j-000001", record_result, &late);
    answer(&fixture.fake_store, 0, 200, "{\"ledger_rev\":7}");
    assert_int_equal(early, RP_LOOKUP_NOT_OPEN);
    assert_int_equal(late, -1);
    rp_loop_advance(&fixture.loop, rp_ts(102));
    assert_int_equal(fixture.fake_store.n, 2);
    answer(&fixture.fake_store, 1, 409, "{\"failed\":[\"rp/main/open/j-000001\"]}");
    assert_int_equal(late, RP_LOOKUP_OPEN);
    fixture_close(&fixture);
}

/* Queries that do not fit into a transaction are sent in the next one. A refused request, or one
 * without a response, gives no information about any job. */
static void batch_over_the_bound_is_split_and_failures_are_unavailable(void **state) {
    struct fixture fixture;
    int results[9];
    char id[RP_ID_MAX];
    (void)state;
    fixture_open(&fixture);
    for (int i = 0; i < 9; i++) {
        results[i] = -1;
        snprintf(id, sizeof id, "j-%06d", i);
        rp_job_lookup_add(&fixture.lookup, id, record_result, &results[i]);
    }
    rp_loop_advance(&fixture.loop, rp_ts(101));
    assert_int_equal(fixture.fake_store.n, 2);
    /* Four conditions for each of the two changes of a transaction. */
    assert_int_equal(n_conditions(&fixture.fake_store, 0), 8);
    assert_int_equal(n_conditions(&fixture.fake_store, 1), 1);
    answer(&fixture.fake_store, 0, 503, "{}");
    answer(&fixture.fake_store, 1, 0, "");
    for (int i = 0; i < 9; i++)
        assert_int_equal(results[i], RP_LOOKUP_UNAVAILABLE);
    fixture_close(&fixture);
}

static void recorded_terminal_states_are_found_and_never_confused(void **state) {
    struct rp_terminal_states *terminal_states = calloc(1, sizeof *terminal_states);
    enum rp_job_phase phase;
    (void)state;
    assert_non_null(terminal_states);
    assert_false(rp_terminal_states_find(terminal_states, "j-000001", &phase));
    rp_terminal_states_record(terminal_states, "j-000001", RP_JOB_DONE);
    rp_terminal_states_record(terminal_states, "j-000002", RP_JOB_CANCELLED);
    assert_true(rp_terminal_states_find(terminal_states, "j-000001", &phase) &&
                phase == RP_JOB_DONE);
    assert_true(rp_terminal_states_find(terminal_states, "j-000002", &phase) &&
                phase == RP_JOB_CANCELLED);
    /* Beyond the bound, entries replace older ones; the state of one job is never returned for
     * another. */
    for (int i = 0; i < 3 * RP_TERMINAL_STATES_MAX; i++) {
        char id[RP_ID_MAX];
        snprintf(id, sizeof id, "j-%06d", 100 + i);
        assert_false(rp_terminal_states_find(terminal_states, id, &phase));
        rp_terminal_states_record(terminal_states, id, RP_JOB_DONE);
    }
    free(terminal_states);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(queries_waiting_for_the_budget_share_one_request),
        cmocka_unit_test(query_added_during_a_request_gets_a_newer_result),
        cmocka_unit_test(batch_over_the_bound_is_split_and_failures_are_unavailable),
        cmocka_unit_test(recorded_terminal_states_are_found_and_never_confused)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
