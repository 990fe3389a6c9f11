/* Questions that share a request to the key-value store, and final states that need none. */
#include "test.h"

#include <jansson.h>
#include "jobs/job_lookup.h"
#include "jobs/terminal_states.h"

#define CALLS_MAX 16
#define RPS 10.0 /* on one node: 5.4 questions a second, the first 4 at once */

/* A key-value store that keeps what it is asked, and answers when told. */
struct service {
    size_t n;
    struct {
        json_t *body;
        rp_answer_fn fn;
        void *arg;
    } calls[CALLS_MAX];
};

static void keep_call(void *ctx, const char *addr, const char *method, const char *target,
                      const char *body, double timeout_s, rp_answer_fn fn, void *arg) {
    struct service *service = ctx;
    (void)addr, (void)method, (void)target, (void)timeout_s;
    assert_less_than(service->n, CALLS_MAX);
    service->calls[service->n].body = body ? json_loads(body, 0, NULL) : NULL;
    service->calls[service->n].fn = fn;
    service->calls[service->n++].arg = arg;
}

static void answer(struct service *service, size_t call, int status, const char *body) {
    json_decref(service->calls[call].body);
    service->calls[call].fn(service->calls[call].arg,
                            &(struct rp_answer){status, false, body, strlen(body)});
}

static size_t n_conditions(const struct service *service, size_t call) {
    return json_array_size(json_object_get(service->calls[call].body, "when"));
}

struct world {
    struct rp_loop loop;
    struct service service;
    struct rp_kv_client state;
    struct rp_settings settings;
    struct rp_job_lookup lookup;
};

static void world_open(struct world *world) {
    struct rp_net net = {.ctx = &world->service, .call = keep_call};
    memset(world, 0, sizeof *world);
    world->settings.kv_limits_lowest.txn_ops = 2;
    assert_int_equal(rp_loop_init(&world->loop, true), 0);
    world->loop.virtual_now = rp_ts(100);
    rp_kv_client_init(&world->state, &world->loop, net, "state", RPS, 10, 1, 0.6);
    rp_job_lookup_init(&world->lookup, &world->loop, &world->state, &world->settings);
    while (!rp_job_lookup_must_batch(&world->lookup))
        rp_token_bucket_take(&world->state.budgets.requests[RP_KV_BUDGET_QUERIES], 1);
}

static void world_close(struct world *world) {
    rp_job_lookup_close(&world->lookup);
    rp_kv_client_close(&world->state);
    rp_loop_close(&world->loop);
}

static void keep_result(void *arg, enum rp_lookup_result result) {
    *(int *)arg = (int)result;
}

/* Questions wait for the budget together, and one request answers them all. */
static void questions_share_a_request(void **state) {
    struct world world;
    int results[3] = {-1, -1, -1};
    (void)state;
    world_open(&world);
    rp_job_lookup_add(&world.lookup, "j-000001", keep_result, &results[0]);
    rp_job_lookup_add(&world.lookup, "j-000002", keep_result, &results[1]);
    rp_job_lookup_add(&world.lookup, "j-000001", keep_result, &results[2]);
    assert_int_equal(world.service.n, 0);
    rp_loop_advance(&world.loop, rp_ts(101));
    assert_int_equal(world.service.n, 1);
    assert_int_equal(n_conditions(&world.service, 0), 2); /* a job asked about twice stands once */
    answer(&world.service, 0, 409, "{\"failed\":[\"rp/main/open/j-000001\"],\"ledger_rev\":7}");
    assert_int_equal(results[0], RP_LOOKUP_OPEN);
    assert_int_equal(results[1], RP_LOOKUP_NOT_OPEN);
    assert_int_equal(results[2], RP_LOOKUP_OPEN);
    world_close(&world);
}

/* A question that comes when a request is under way isn't answered by it: that answer may be older
 * than the question. */
static void answers_are_never_older(void **state) {
    struct world world;
    int early = -1;
    int late = -1;
    (void)state;
    world_open(&world);
    rp_job_lookup_add(&world.lookup, "j-000001", keep_result, &early);
    rp_loop_advance(&world.loop, rp_ts(101));
    assert_int_equal(world.service.n, 1);
    rp_job_lookup_add(&world.lookup, "j-000001", keep_result, &late);
    answer(&world.service, 0, 200, "{\"ledger_rev\":7}");
    assert_int_equal(early, RP_LOOKUP_NOT_OPEN);
    assert_int_equal(late, -1);
    rp_loop_advance(&world.loop, rp_ts(102));
    assert_int_equal(world.service.n, 2);
    answer(&world.service, 1, 409, "{\"failed\":[\"rp/main/open/j-000001\"]}");
    assert_int_equal(late, RP_LOOKUP_OPEN);
    world_close(&world);
}

/* What a transaction can't hold goes with the next; refusals and silence say nothing of a job. */
static void bounds_and_failures(void **state) {
    struct world world;
    int results[9];
    char id[RP_ID_MAX];
    (void)state;
    world_open(&world);
    for (int i = 0; i < 9; i++) {
        results[i] = -1;
        snprintf(id, sizeof id, "j-%06d", i);
        rp_job_lookup_add(&world.lookup, id, keep_result, &results[i]);
    }
    rp_loop_advance(&world.loop, rp_ts(101));
    assert_int_equal(world.service.n, 2);
    assert_int_equal(n_conditions(&world.service, 0), 8); /* four for each of the two changes */
    assert_int_equal(n_conditions(&world.service, 1), 1);
    answer(&world.service, 0, 503, "{}");
    answer(&world.service, 1, 0, "");
    for (int i = 0; i < 9; i++)
        assert_int_equal(results[i], RP_LOOKUP_UNAVAILABLE);
    world_close(&world);
}

static void final_states_are_kept(void **state) {
    struct rp_terminal_states *terminal_states = calloc(1, sizeof *terminal_states);
    enum rp_job_phase phase;
    (void)state;
    assert_non_null(terminal_states);
    assert_false(rp_terminal_states_find(terminal_states, "j-000001", &phase));
    rp_terminal_states_note(terminal_states, "j-000001", RP_JOB_DONE);
    rp_terminal_states_note(terminal_states, "j-000002", RP_JOB_CANCELLED);
    assert_true(rp_terminal_states_find(terminal_states, "j-000001", &phase) &&
                phase == RP_JOB_DONE);
    assert_true(rp_terminal_states_find(terminal_states, "j-000002", &phase) &&
                phase == RP_JOB_CANCELLED);
    /* Beyond the bound old ones go; none is ever mistaken for another. */
    for (int i = 0; i < 3 * RP_TERMINAL_STATES_MAX; i++) {
        char id[RP_ID_MAX];
        snprintf(id, sizeof id, "j-%06d", 100 + i);
        assert_false(rp_terminal_states_find(terminal_states, id, &phase));
        rp_terminal_states_note(terminal_states, id, RP_JOB_DONE);
    }
    free(terminal_states);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(questions_share_a_request), cmocka_unit_test(answers_are_never_older),
        cmocka_unit_test(bounds_and_failures), cmocka_unit_test(final_states_are_kept)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
