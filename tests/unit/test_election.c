/* Tests of the lease's validity, the resignation of a leader, the event loop's timers, and request
 * budgets. */
#include "test.h"

#include "base/token_bucket.h"
#include "election/election.h"

static void lease_trust_ends_before_lease_expiry(void **state) {
    struct timespec sent_at = rp_ts(100);
    (void)state;
    for (double ttl_s = 1; ttl_s < 100; ttl_s *= 1.7) {
        /* The node's clock may run 0.05% fast, and the store's clock at its own rate: the time that
         * the node measures as the lease's length must be less than the store grants. */
        double trusted_s = rp_ts_since(rp_election_trusted_until(sent_at, ttl_s), sent_at);
        assert_less_than(trusted_s * 1.0005, ttl_s * 0.9995);
        assert_more_than(trusted_s, ttl_s * 0.8);
    }
}

static void leadership_is_valid_only_while_key_and_lease_are_held(void **state) {
    struct rp_election election = {.state = RP_ELECTION_HOLDING_KEY, .valid_until = rp_ts(50)};
    (void)state;
    assert_true(rp_election_is_valid(&election, rp_ts(49.9)));
    assert_false(rp_election_is_valid(&election, rp_ts(50)));
    election.state = RP_ELECTION_FOLLOWING;
    assert_false(rp_election_is_valid(&election, rp_ts(49.9)));
}

struct fired_timers {
    struct rp_loop *loop;
    double fired_at[8];
    int n_fired;
};

static void on_fired(void *arg) {
    struct fired_timers *fired = arg;
    fired->fired_at[fired->n_fired++] = rp_ts_s(rp_loop_now(fired->loop));
}

static void timers_fire_in_order_of_due_time(void **state) {
    struct rp_loop loop;
    struct fired_timers fired = {.loop = &loop};
    struct rp_timer timers[5];
    static const double due_at[] = {3, 1, 2, 5, 4};
    (void)state;
    assert_int_equal(rp_loop_init(&loop, true), 0);
    for (int i = 0; i < 5; i++) {
        timers[i] = (struct rp_timer){.fn = on_fired, .arg = &fired};
        assert_int_equal(rp_timer_set(&loop, &timers[i], due_at[i]), 0);
    }
    rp_timer_cancel(&loop, &timers[3]);
    assert_int_equal(rp_timer_set(&loop, &timers[1], 2.5), 0);
    rp_loop_advance(&loop, rp_ts(10));
    assert_int_equal(fired.n_fired, 4);
    assert_true(fired.fired_at[0] == 2 && fired.fired_at[1] == 2.5 && fired.fired_at[2] == 3 &&
                fired.fired_at[3] == 4);
    rp_loop_close(&loop);
}

static void token_bucket_keeps_rate_and_repays_large_take(void **state) {
    struct rp_token_bucket bucket;
    double taken = 0;
    (void)state;
    rp_token_bucket_init(&bucket, 10, 5, rp_ts(0));
    for (int i = 0; i <= 1000; i++)
        while (rp_token_bucket_has(&bucket, 1, rp_ts(i * 0.01))) {
            rp_token_bucket_take(&bucket, 1);
            taken++;
        }
    assert_true(taken >= 100 && taken <= 106);
    /* A take of more tokens than the bucket's depth is allowed when the bucket is full, and is paid
     * back. */
    assert_true(rp_token_bucket_has(&bucket, 50, rp_ts(100)));
    rp_token_bucket_take(&bucket, 50);
    assert_false(rp_token_bucket_has(&bucket, 1, rp_ts(104)));
    assert_true(rp_token_bucket_has(&bucket, 1, rp_ts(105)));
}

/* A node does not name a leader whose key it read too long ago. Otherwise, a node that is
 * partitioned from the key-value store redirects workers in circles. */
static void stale_or_silent_leader_is_not_named(void **state) {
    struct rp_election election = {.state = RP_ELECTION_FOLLOWING,
                                   .node = "n0",
                                   .leader = "n1",
                                   .ttl_s = 10,
                                   .leader_key_read_at = rp_ts(50)};
    (void)state;
    assert_string_equal(rp_election_leader(&election, rp_ts(55)), "n1");
    assert_null(rp_election_leader(&election, rp_ts(63)));
    /* A leader that does not respond is not named. It is named again once its lease would have
     * ended and it still has the key. */
    struct rp_loop loop = {.is_virtual = true, .virtual_now = rp_ts(51)};
    election.loop = &loop;
    rp_election_record_leader_response(&election, false);
    assert_null(rp_election_leader(&election, rp_ts(52)));
    election.leader_key_read_at = rp_ts(61);
    assert_string_equal(rp_election_leader(&election, rp_ts(61.6)), "n1");
    rp_election_record_leader_response(&election, true);
    assert_string_equal(rp_election_leader(&election, rp_ts(62)), "n1");
    election.state = RP_ELECTION_HOLDING_KEY;
    assert_null(rp_election_leader(&election, rp_ts(62)));
}

/* A key-value store that records the requests sent to it, for the test to answer. */
struct recorded_requests {
    int n_reads, n_writes;
    rp_response_fn fn[64];
    void *arg[64];
    bool answered[64];
};

static void record_request(void *ctx, const char *addr, const char *method, const char *target,
                           const char *body, double timeout_s, rp_response_fn fn, void *arg) {
    struct recorded_requests *requests = ctx;
    (void)addr, (void)target, (void)body, (void)timeout_s;
    assert_less_than(requests->n_reads + requests->n_writes, 64);
    requests->fn[requests->n_reads + requests->n_writes] = fn;
    requests->arg[requests->n_reads + requests->n_writes] = arg;
    if (strcmp(method, "POST") == 0)
        requests->n_writes++;
    else
        requests->n_reads++;
}

static void on_result(void *arg, const struct rp_kv_result *result) {
    *(int *)arg += result->outcome == RP_KV_REFUSED;
}

static struct rp_kv_txn *single_write_txn(void) {
    struct rp_kv_txn *txn = rp_kv_txn_begin();
    rp_kv_txn_put(txn, "a/b", json_object(), RP_KV_NO_LEASE);
    return txn;
}

/* Submissions and queries have queues of their own, a burst of submissions is sent at once, and
 * requests that wait too long are refused. With a single queue, submissions on five nodes waited
 * behind the polling queries, and each node sent fewer than two of them at once. */
static void waiting_queries_do_not_delay_submissions(void **state) {
    struct rp_loop loop;
    struct rp_kv_client client;
    struct recorded_requests requests = {0};
    struct rp_net net = {.ctx = &requests, .call = record_request};
    int n_refused = 0;
    (void)state;
    assert_int_equal(rp_loop_init(&loop, true), 0);
    loop.virtual_now = rp_ts(100);
    rp_kv_client_init(&client, &loop, net, "state", 200, 20, 5, 0.6);
    for (int i = 0; i < 200; i++)
        rp_kv_get(&client, RP_KV_BUDGET_QUERIES, "a/b", on_result, &n_refused);
    assert_less_than(requests.n_reads, 40);
    for (int i = 0; i < 5; i++)
        rp_kv_txn_submit(&client, RP_KV_BUDGET_SUBMISSIONS, single_write_txn(), on_result,
                         &n_refused);
    assert_int_equal(requests.n_writes, 5);
    for (int i = 0; i < 20; i++)
        rp_kv_txn_submit(&client, RP_KV_BUDGET_SUBMISSIONS, single_write_txn(), on_result,
                         &n_refused);
    assert_int_equal(requests.n_writes, 5);
    assert_int_equal(n_refused, 0);
    for (int i = 0; i < 50; i++)
        rp_loop_advance(&loop, rp_ts(100 + i * 0.02));
    assert_more_than(n_refused, 150);
    assert_int_equal(client.n_shed, n_refused);
    for (int i = 0; i < requests.n_reads + requests.n_writes; i++)
        requests.fn[i](requests.arg[i], &(struct rp_response){.status = 404, .body = ""});
    rp_kv_client_close(&client);
    rp_loop_close(&loop);
}

/* Users of one node may make more changes than its even share of the changes of all nodes, since
 * the leader rarely needs all of its own share. With the even share, 3 changes per second of 20 on
 * one of five nodes waited and were refused (incident 5bf9). */
static void submissions_above_even_share_are_not_refused(void **state) {
    struct rp_loop loop;
    struct rp_kv_client client;
    struct recorded_requests requests = {0};
    struct rp_net net = {.ctx = &requests, .call = record_request};
    int n_refused = 0;
    (void)state;
    assert_int_equal(rp_loop_init(&loop, true), 0);
    loop.virtual_now = rp_ts(100);
    rp_kv_client_init(&client, &loop, net, "state", 200, 20, 5, 0.6);
    for (int i = 0; i < 45; i++) {
        rp_loop_advance(&loop, rp_ts(100 + i / 3.0));
        rp_kv_txn_submit(&client, RP_KV_BUDGET_SUBMISSIONS, single_write_txn(), on_result,
                         &n_refused);
    }
    rp_loop_advance(&loop, rp_ts(116));
    assert_int_equal(n_refused, 0);
    assert_int_equal(requests.n_writes, 45);
    for (int i = 0; i < requests.n_writes; i++)
        requests.fn[i](requests.arg[i], &(struct rp_response){.status = 200, .body = ""});
    rp_kv_client_close(&client);
    rp_loop_close(&loop);
}

static void on_leadership_change(void *arg) {
    ++*(int *)arg;
}

static void answer_request(struct recorded_requests *requests, int index, int status,
                           const char *body) {
    requests->answered[index] = true;
    requests->fn[index](requests->arg[index],
                        &(struct rp_response){status, false, body, strlen(body)});
}

static void answer_last_request(struct recorded_requests *requests, int status, const char *body) {
    answer_request(requests, requests->n_reads + requests->n_writes - 1, status, body);
}

/* Lets the requests that were not answered time out. */
static void time_out_unanswered(struct recorded_requests *requests) {
    for (int i = 0; i < requests->n_reads + requests->n_writes; i++)
        if (!requests->answered[i])
            answer_request(requests, i, 0, "");
}

/* Answers a claim of the free key with the lease that was granted and the key's new revision. */
static void answer_claim(struct recorded_requests *requests, const char *lease,
                         const char *revision) {
    answer_last_request(requests, 404, "{}");
    answer_last_request(requests, 200, lease);
    answer_last_request(requests, 200, revision);
}

/* A node that claimed the leader's key at 100 s of the test's clock, with lease 7 and at revision
 * 5. */
struct leading_node {
    struct rp_loop loop;
    struct rp_kv_client client;
    struct rp_election election;
    struct recorded_requests requests;
    int n_changes;
};

static void leading_node_open(struct leading_node *node) {
    struct rp_net net = {.ctx = &node->requests, .call = record_request};
    memset(node, 0, sizeof *node);
    assert_int_equal(rp_loop_init(&node->loop, true), 0);
    node->loop.virtual_now = rp_ts(100);
    rp_kv_client_init(&node->client, &node->loop, net, "state", 200, 20, 3, 0.6);
    rp_election_init(&node->election, &node->loop, &node->client, "n0", 10, 1, on_leadership_change,
                     on_leadership_change, &node->n_changes);
    rp_election_start(&node->election);
    rp_loop_advance(&node->loop, rp_ts(100.01));
    answer_claim(&node->requests, "{\"lashing\":7}", "{\"ledger_rev\":5}");
    assert_true(node->election.state == RP_ELECTION_HOLDING_KEY &&
                node->election.fencing_token == 5);
}

static void leading_node_close(struct leading_node *node) {
    time_out_unanswered(&node->requests);
    rp_election_stop(&node->election);
    rp_kv_client_close(&node->client);
    rp_loop_close(&node->loop);
}

/* The response to a renewal of an earlier term's lease arrives during the next term. If it is taken
 * for the response to the renewal in progress, it proves a lease that was not renewed, or ends a
 * valid term. */
static void late_response_to_earlier_renewal_is_ignored(void **state) {
    struct leading_node node;
    (void)state;
    leading_node_open(&node);
    rp_loop_advance(&node.loop, rp_ts(101));
    int earlier_renewal =
        node.requests.n_reads + node.requests.n_writes - 1; /* the renewal of lease 7 */
    rp_election_resign(&node.election, 0);
    rp_loop_advance(&node.loop, rp_ts(102.5));
    answer_claim(&node.requests, "{\"lashing\":8}", "{\"ledger_rev\":9}");
    assert_true(node.election.state == RP_ELECTION_HOLDING_KEY && node.election.fencing_token == 9);
    struct timespec valid_until = node.election.valid_until;
    rp_loop_advance(&node.loop, rp_ts(104)); /* the renewal of lease 8 is in progress */
    answer_request(&node.requests, earlier_renewal, 200, "{}");
    assert_int_equal(rp_ts_cmp(node.election.valid_until, valid_until), 0);
    assert_int_equal(node.election.state, RP_ELECTION_HOLDING_KEY);
    answer_last_request(&node.requests, 200, "{}");
    assert_int_equal(rp_ts_cmp(node.election.valid_until, valid_until), 1);
    assert_int_equal(node.n_changes, 3);
    leading_node_close(&node);
}

/* Reads of the key that were sent in an earlier term are answered in the next one, with the key as
 * it was before this node's claim. Taken for news, they ended the valid term. */
static void late_reads_of_an_earlier_term_end_no_term(void **state) {
    struct leading_node node;
    (void)state;
    leading_node_open(&node);
    int first_read = node.requests.n_reads + node.requests.n_writes;
    rp_election_verify(&node.election);
    rp_election_verify(&node.election);
    rp_election_verify(&node.election);
    rp_election_resign(&node.election, 0);
    rp_loop_advance(&node.loop, rp_ts(101.5));
    answer_claim(&node.requests, "{\"lashing\":8}", "{\"ledger_rev\":9}");
    answer_request(&node.requests, first_read, 200,
                   "{\"path\":\"rp/main/leader\",\"v\":{\"node\":\"n0\"},\"key_rev\":5}");
    answer_request(&node.requests, first_read + 1, 404, "{\"ledger_rev\":8}");
    assert_int_equal(node.election.state, RP_ELECTION_HOLDING_KEY);
    answer_request(&node.requests, first_read + 2, 404, "{\"ledger_rev\":10}");
    assert_int_equal(node.election.state, RP_ELECTION_FOLLOWING);
    leading_node_close(&node);
}

/* A node that gave up the leader's key reads its own name in the key until the revocation of its
 * lease is carried out. If the node claims the key again in that time, the other nodes have no
 * chance to lead. */
static void resigned_node_does_not_reclaim_key_during_backoff(void **state) {
    static const char own_record[] =
        "{\"path\":\"rp/main/leader\",\"v\":{\"node\":\"n0\"},\"key_rev\":5}";
    struct leading_node node;
    (void)state;
    leading_node_open(&node);
    rp_election_resign(&node.election, 5);
    for (double t = 101.1; t < 104.9; t += 1.1) {
        rp_loop_advance(&node.loop, rp_ts(t));
        answer_last_request(&node.requests, 200, own_record);
        assert_int_equal(node.election.state, RP_ELECTION_FOLLOWING);
    }
    rp_loop_advance(&node.loop, rp_ts(106.5));
    answer_last_request(&node.requests, 200, own_record);
    assert_int_equal(node.election.state, RP_ELECTION_ACQUIRING_LEASE);
    leading_node_close(&node);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lease_trust_ends_before_lease_expiry),
        cmocka_unit_test(leadership_is_valid_only_while_key_and_lease_are_held),
        cmocka_unit_test(timers_fire_in_order_of_due_time),
        cmocka_unit_test(token_bucket_keeps_rate_and_repays_large_take),
        cmocka_unit_test(stale_or_silent_leader_is_not_named),
        cmocka_unit_test(late_response_to_earlier_renewal_is_ignored),
        cmocka_unit_test(late_reads_of_an_earlier_term_end_no_term),
        cmocka_unit_test(resigned_node_does_not_reclaim_key_during_backoff),
        cmocka_unit_test(waiting_queries_do_not_delay_submissions),
        cmocka_unit_test(submissions_above_even_share_are_not_refused)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
