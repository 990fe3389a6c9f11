/* Leadership's arithmetic and the loop's timers. */
#include "test.h"

#include "bucket.h"
#include "election.h"

static void trust_ends_before_the_lease(void **state) {
    struct timespec sent = rp_ts(100);
    (void)state;
    for (double ttl = 1; ttl < 100; ttl *= 1.7) {
        /* The node's clock may run 0.05% fast, the service's at its own pace: what the node
         * measures as the lease's time must be less than the service grants. */
        double trusted = rp_ts_since(rp_election_trust(sent, ttl), sent);
        assert_true(trusted * 1.0005 < ttl * 0.9995);
        assert_true(trusted > ttl * 0.8);
    }
}

static void holding_alone_is_not_enough(void **state) {
    struct rp_election e = {.at = RP_HOLDING, .valid_until = rp_ts(50)};
    (void)state;
    assert_true(rp_election_valid(&e, rp_ts(49.9)));
    assert_false(rp_election_valid(&e, rp_ts(50)));
    e.at = RP_FOLLOWING;
    assert_false(rp_election_valid(&e, rp_ts(49.9)));
}

struct fired {
    struct rp_loop *loop;
    double at[8];
    int n;
};

static void fire(void *arg) {
    struct fired *f = arg;
    f->at[f->n++] = rp_ts_s(rp_loop_now(f->loop));
}

static void timers_in_order(void **state) {
    struct rp_loop loop;
    struct fired f = {.loop = &loop};
    struct rp_timer t[5];
    static const double due[] = {3, 1, 2, 5, 4};
    (void)state;
    assert_int_equal(rp_loop_init(&loop, true), 0);
    for (int i = 0; i < 5; i++) {
        t[i] = (struct rp_timer){.fn = fire, .arg = &f};
        assert_int_equal(rp_timer_set(&loop, &t[i], due[i]), 0);
    }
    rp_timer_cancel(&loop, &t[3]);
    assert_int_equal(rp_timer_set(&loop, &t[1], 2.5), 0);
    rp_loop_advance(&loop, rp_ts(10));
    assert_int_equal(f.n, 4);
    assert_true(f.at[0] == 2 && f.at[1] == 2.5 && f.at[2] == 3 && f.at[3] == 4);
    rp_loop_close(&loop);
}

static void bucket_keeps_its_rate(void **state) {
    struct rp_bucket b;
    double taken = 0;
    (void)state;
    rp_bucket_init(&b, 10, 5, rp_ts(0));
    for (int i = 0; i <= 1000; i++)
        while (rp_bucket_has(&b, 1, rp_ts(i * 0.01))) {
            rp_bucket_take(&b, 1);
            taken++;
        }
    assert_true(taken >= 100 && taken <= 106);
    /* More than the bucket ever holds passes when it is full, and is paid back. */
    assert_true(rp_bucket_has(&b, 50, rp_ts(100)));
    rp_bucket_take(&b, 50);
    assert_false(rp_bucket_has(&b, 1, rp_ts(104)));
    assert_true(rp_bucket_has(&b, 1, rp_ts(105)));
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(trust_ends_before_the_lease),
                                       cmocka_unit_test(holding_alone_is_not_enough),
                                       cmocka_unit_test(timers_in_order),
                                       cmocka_unit_test(bucket_keeps_its_rate)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
