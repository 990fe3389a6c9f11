/* The planner against cases worked by hand, and its constraints on random inputs. */
#include "test.h"

#include <gsl/gsl_rng.h>
#include <math.h>
#include "scheduler/planner.h"

static const struct rp_heuristic fcfs_sm = {RP_FCFS, RP_SM};

static struct rp_plan_kind kind(int type, bool spot, double cpus, double price) {
    return (struct rp_plan_kind){
        .type = type, .spot = spot, .price = price, .boot_s = 30, .capacity = {cpus, 0, cpus * 4}};
}

static struct rp_plan_machine machine(int type, double cpus, double room) {
    return (struct rp_plan_machine){.type = type,
                                    .price = 1,
                                    .capacity = {cpus, 0, cpus * 4},
                                    .room = {room, 0, cpus * 4},
                                    .later = {room, 0, cpus * 4},
                                    .wait_s = 30};
}

static struct rp_plan_group group(uint32_t n, double cpus, double run_s) {
    return (struct rp_plan_group){.n = n,
                                  .each = {cpus, 0, 1},
                                  .run_s = run_s,
                                  .team = -1,
                                  .types = 3,
                                  .zones = 3,
                                  .spot = true,
                                  .fixed_zone = -1,
                                  .spread_max = (n + 1) / 2};
}

static struct rp_plan_input input(struct rp_plan_kind *k, size_t nk, struct rp_plan_machine *m,
                                  size_t nm, struct rp_plan_group *g, size_t ng) {
    return (struct rp_plan_input){.kinds = k,
                                  .n_kinds = nk,
                                  .machines = m,
                                  .n_machines = nm,
                                  .groups = g,
                                  .n_groups = ng,
                                  .unit_s = 60,
                                  .new_max = 20};
}

static uint32_t put_on(const struct rp_plan *p, size_t group, size_t machine) {
    uint32_t n = 0;
    for (size_t i = 0; i < p->n_puts; i++)
        if (p->puts[i].group == group && p->puts[i].machine == machine)
            n += p->puts[i].count;
    return n;
}

static void formula_one(void **state) {
    (void)state;
    /* 61 s from its start are two units of 60 s: 2/60 of an hour's price. */
    assert_true(fabs(rp_plan_cost(3600, 0, 61, 60) - 120) < 1e-9);
    assert_true(fabs(rp_plan_cost(3600, 30, 30, 60) - 60) < 1e-9);
    assert_true(fabs(rp_plan_cost(3600, 30, 31, 60) - 120) < 1e-9);
}

static void first_with_room(void **state) {
    struct rp_plan_machine m[] = {machine(1, 32, 32), machine(0, 8, 5)};
    struct rp_plan_group g[] = {group(8, 1, 50)};
    struct rp_plan_input in = input(NULL, 0, m, 2, g, 1);
    struct rp_plan p;
    (void)state;
    rp_plan_by(&in, fcfs_sm, &p); /* the smaller machine first */
    assert_int_equal(put_on(&p, 0, 1), 5);
    assert_int_equal(put_on(&p, 0, 0), 3);
    assert_int_equal(p.n_now, 8);
    assert_int_equal(p.n_fresh, 0);
    rp_plan_free(&p);
    rp_plan_by(&in, (struct rp_heuristic){RP_FCFS, RP_LM}, &p);
    assert_int_equal(put_on(&p, 0, 0), 8);
    rp_plan_free(&p);
}

static void rents_most_capacity_per_price(void **state) {
    struct rp_plan_kind k[] = {kind(0, false, 8, 0.5), kind(1, false, 32, 1.5),
                               kind(1, true, 32, 0.4)};
    struct rp_plan_group g[] = {group(40, 1, 50)};
    struct rp_plan_input in = input(k, 3, NULL, 0, g, 1);
    struct rp_plan p;
    (void)state;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.n_fresh, 2);
    assert_int_equal(p.fresh[0], 2); /* spot: 80 CPUs for 1 */
    assert_int_equal(p.n_wait, 40);
    rp_plan_free(&p);
    g[0].spot = false;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.fresh[0], 1); /* 21 against 16 */
    rp_plan_free(&p);
    k[1].refused = true;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.n_fresh, 5); /* the next best, while the best is refused */
    rp_plan_free(&p);
}

static void waits_rather_than_rents(void **state) {
    struct rp_plan_kind k[] = {kind(0, false, 8, 0.5)};
    struct rp_plan_machine m[] = {machine(0, 8, 0)};
    struct rp_plan_group g[] = {group(8, 1, 50)};
    struct rp_plan_input in = input(k, 1, m, 1, g, 1);
    struct rp_plan p;
    (void)state;
    m[0].later.cpus = 8; /* free before another machine could be up */
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.n_fresh, 0);
    assert_int_equal(p.n_now, 0);
    assert_int_equal(p.n_wait, 8);
    rp_plan_free(&p);
}

static void gangs_whole_only(void **state) {
    struct rp_plan_machine m[] = {machine(0, 8, 8), machine(0, 8, 8)};
    struct rp_plan_group g[] = {group(3, 8, 50), group(2, 8, 50)};
    struct rp_plan_input in = input(NULL, 0, m, 2, g, 2);
    struct rp_plan p;
    (void)state;
    g[0].kind = g[1].kind = RP_GANG;
    g[0].age_s = 100;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 0, 0) + put_on(&p, 0, 1), 0);
    assert_int_equal(put_on(&p, 1, 0) + put_on(&p, 1, 1), 2);
    rp_plan_free(&p);
    /* In one zone: the second zone holds it, the first doesn't. */
    m[1].zone = 1;
    m[1].capacity.cpus = m[1].room.cpus = m[1].later.cpus = 16;
    g[1].one_zone = true;
    g[0].n = 9;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 1, 1), 2);
    rp_plan_free(&p);
}

static void limits_and_spread(void **state) {
    struct rp_plan_machine m[] = {machine(0, 64, 64), machine(0, 64, 64)};
    struct rp_plan_group g[] = {group(9, 1, 50)};
    struct rp_plan_team team[] = {{.cpus_left = 4, .gpus_left = 1e9}};
    struct rp_plan_input in = input(NULL, 0, m, 2, g, 1);
    struct rp_plan p;
    (void)state;
    m[1].zone = 1;
    g[0].spread = true;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 0, 0), 5);
    assert_int_equal(put_on(&p, 0, 1), 4);
    rp_plan_free(&p);
    in.teams = team;
    in.n_teams = 1;
    g[0].team = 0;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.n_now, 4);
    rp_plan_free(&p);
}

static void priority_first(void **state) {
    struct rp_plan_machine m[] = {machine(0, 8, 8)};
    struct rp_plan_group g[] = {group(8, 1, 50), group(1, 8, 50)};
    struct rp_plan_input in = input(NULL, 0, m, 1, g, 2);
    struct rp_plan p;
    (void)state;
    g[0].age_s = 1000;
    g[1].priority = RP_HIGH;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 1, 0), 1);
    assert_int_equal(put_on(&p, 0, 0), 0);
    rp_plan_free(&p);
}

static void portfolio_takes_least_left_then_cheapest(void **state) {
    struct rp_plan a = {.left = 1, .cost = 5}, b = {.left = 0, .cost = 9},
                   c = {.left = 0, .cost = 8};
    (void)state;
    assert_true(rp_plan_better(&b, &a));
    assert_true(rp_plan_better(&c, &b));
    assert_false(rp_plan_better(&b, &c));
}

/* Whatever the input: no machine is overfilled, nothing is put where it isn't allowed, gangs are
 * whole, limits and zones hold. */
static void random_inputs(void **state) {
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
    (void)state;
    gsl_rng_set(rng, 11);
    for (int round = 0; round < 400; round++) {
        struct rp_plan_kind k[] = {kind(0, false, 8, 0.5), kind(1, false, 32, 1.5),
                                   kind(1, true, 32, 0.4)};
        struct rp_plan_machine m[12];
        struct rp_plan_group g[20];
        struct rp_plan_team team[] = {{.cpus_left = gsl_rng_uniform(rng) * 100, .gpus_left = 1e9}};
        size_t nm = gsl_rng_uniform_int(rng, 13), ng = gsl_rng_uniform_int(rng, 21);
        k[0].zone = (int)gsl_rng_uniform_int(rng, 2);
        for (size_t i = 0; i < nm; i++) {
            int t = (int)gsl_rng_uniform_int(rng, 2);
            double cpus = t ? 32 : 8;
            m[i] = machine(t, cpus, floor(gsl_rng_uniform(rng) * cpus));
            m[i].later.cpus += floor(gsl_rng_uniform(rng) * (cpus - m[i].room.cpus));
            m[i].zone = (int)gsl_rng_uniform_int(rng, 2);
            m[i].spot = gsl_rng_uniform(rng) < 0.3;
        }
        for (size_t i = 0; i < ng; i++) {
            g[i] =
                group(1 + (uint32_t)gsl_rng_uniform_int(rng, 20), 1 + gsl_rng_uniform(rng) * 6, 30);
            g[i].kind = gsl_rng_uniform(rng) < 0.3 ? RP_GANG : RP_ARRAY;
            g[i].spot = gsl_rng_uniform(rng) < 0.5;
            g[i].one_zone = gsl_rng_uniform(rng) < 0.3;
            g[i].zones = 1 + (uint32_t)gsl_rng_uniform_int(rng, 3);
            g[i].team = gsl_rng_uniform(rng) < 0.5 ? 0 : -1;
            g[i].spread = !g[i].one_zone && gsl_rng_uniform(rng) < 0.3;
        }
        struct rp_plan_input in = input(k, 3, m, nm, g, ng);
        struct rp_heuristic h = {(enum rp_job_order)gsl_rng_uniform_int(rng, 7),
                                 (enum rp_machine_order)gsl_rng_uniform_int(rng, 11)};
        in.teams = team;
        in.n_teams = 1;
        struct rp_plan p;
        double now_used[40] = {0}, used[40] = {0}, team_used = 0;
        uint32_t placed[20] = {0}, zone_used[20][2] = {{0}};
        rp_plan_by(&in, h, &p);
        assert_false(p.failed);
        for (size_t i = 0; i < p.n_puts; i++) {
            const struct rp_plan_put *u = &p.puts[i];
            bool fresh = u->machine >= nm;
            const struct rp_plan_kind *kd = fresh ? &k[p.fresh[u->machine - nm]] : NULL;
            int zone = fresh ? kd->zone : m[u->machine].zone;
            bool spot = fresh ? kd->spot : m[u->machine].spot;
            used[u->machine] += u->count * g[u->group].each.cpus;
            now_used[u->machine] += u->now ? u->count * g[u->group].each.cpus : 0;
            placed[u->group] += u->count;
            zone_used[u->group][zone] += u->count;
            team_used += g[u->group].team == 0 ? u->count * g[u->group].each.cpus : 0;
            assert_true(g[u->group].zones >> zone & 1);
            assert_true(!spot || g[u->group].spot);
            assert_false(fresh && u->now);
        }
        for (size_t i = 0; i < nm + p.n_fresh; i++) {
            double later = i < nm ? m[i].later.cpus : k[p.fresh[i - nm]].capacity.cpus;
            assert_true(used[i] <= later + 1e-6);
            assert_true(i >= nm || now_used[i] <= m[i].room.cpus + 1e-6);
        }
        for (size_t i = 0; i < ng; i++) {
            assert_true(placed[i] <= g[i].n);
            assert_true(g[i].kind != RP_GANG || placed[i] == 0 || placed[i] == g[i].n);
            assert_true(!g[i].one_zone || !zone_used[i][0] || !zone_used[i][1]);
            for (int z = 0; z < 2; z++)
                assert_true(!g[i].spread || zone_used[i][z] <= g[i].spread_max);
        }
        assert_true(team_used <= team[0].cpus_left + 1e-6);
        rp_plan_free(&p);
    }
    gsl_rng_free(rng);
}

/* Under a load that lasts, those about to be late took the room of those that could be in time: the
 * largest is given up instead, and its first task begins all the same. */
static void gives_up_the_largest(void **state) {
    enum { MACHINES = 40 };
    struct rp_plan_machine m[MACHINES];
    struct rp_plan_group g[] = {group(4000, 1, 60), group(1, 1, 60), group(300, 1, 60),
                                group(20, 1, 60)};
    struct rp_plan p;
    (void)state;
    for (int i = 0; i < MACHINES; i++)
        m[i] = machine(0, 8, 8);
    for (int i = 0; i < 4; i++)
        g[i].slack_s = 100;
    g[0].slack_s = 10; /* about to be late, and far too large to be in time */
    g[1].begin = true; /* the first task of another large one */
    struct rp_plan_input in = input(NULL, 0, m, MACHINES, g, 4);
    rp_plan_by(&in, (struct rp_heuristic){RP_ESW, RP_SM}, &p);
    uint32_t placed[4] = {0};
    for (size_t i = 0; i < p.n_puts; i++)
        placed[p.puts[i].group] += p.puts[i].count;
    assert_true(p.short_of_room[0] && !p.short_of_room[1]);
    assert_int_equal(placed[1], 1);
    assert_int_equal(placed[2], 299);
    assert_int_equal(placed[3], 20);
    assert_int_equal(placed[0], 0);
    rp_plan_free(&p);
    /* With time enough for all, nothing is given up. */
    for (int i = 0; i < 4; i++)
        g[i].slack_s = 2000;
    rp_plan_by(&in, (struct rp_heuristic){RP_ESW, RP_SM}, &p);
    assert_false(p.short_of_room[0]);
    rp_plan_free(&p);
}

/* A machine kept for a gang is for nobody else; the gang itself starts once all of them have room.
 */
static void kept_machines(void **state) {
    struct rp_plan_machine m[] = {machine(0, 8, 8), machine(0, 8, 0), machine(0, 8, 8)};
    struct rp_plan_group g[] = {group(2, 8, 50), group(5, 2, 50)};
    struct rp_plan_input in = input(NULL, 0, m, 3, g, 2);
    struct rp_plan p;
    int gang, other;
    (void)state;
    g[0].kind = RP_GANG;
    g[0].held = true;
    g[0].ref = &gang;
    g[1].ref = &other;
    m[0].kept = m[1].kept = &gang;
    m[2].room.cpus = m[2].later.cpus = 6;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 1, 0) + put_on(&p, 1, 1), 0);
    assert_int_equal(put_on(&p, 1, 2), 3);
    assert_int_equal(put_on(&p, 0, 0), 0);
    rp_plan_free(&p);
    m[1].room.cpus = m[1].later.cpus = 8;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 0, 0) + put_on(&p, 0, 1), 2);
    assert_int_equal(put_on(&p, 1, 2), 3);
    rp_plan_free(&p);
}

/* Work without GPUs takes what GPU work leaves of its machines, never the rest, and only while the
 * machine is in use anyway. */
static void spare_room_of_gpu_machines(void **state) {
    struct rp_plan_machine m[] = {machine(1, 24, 24), machine(1, 24, 24)};
    struct rp_plan_group g[] = {group(10, 1, 40)};
    struct rp_plan_input in = input(NULL, 0, m, 2, g, 1);
    struct rp_plan p;
    (void)state;
    for (int i = 0; i < 2; i++) {
        m[i].capacity.gpus = m[i].room.gpus = m[i].later.gpus = 4;
        m[i].spare = (struct rp_resources){3, 0, 20};
    }
    m[0].busy_s = m[0].own_busy_s = 60;
    m[1].busy_s = 60; /* by such work itself: that would keep the machine for ever */
    m[1].own_busy_s = 5;
    g[0].types = 1;
    g[0].spare_types = 2;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 0, 0), 3);
    assert_int_equal(put_on(&p, 0, 1), 0);
    rp_plan_free(&p);
}

/* Under overload a round of hundreds of groups on a fleet without room looks at each machine a few
 * times, not once for every group. */
static void full_machines_are_not_looked_at(void **state) {
    enum { MACHINES = 1300, GROUPS = 600 };
    struct rp_plan_machine *m = calloc(MACHINES, sizeof *m);
    struct rp_plan_group *g = calloc(GROUPS, sizeof *g);
    struct rp_plan p;
    (void)state;
    for (int i = 0; i < MACHINES; i++) {
        m[i] = machine(0, 8, 8);
        m[i].room.cpus = m[i].later.cpus = i < 40 ? 8 : 0.5;
    }
    for (int i = 0; i < GROUPS; i++)
        g[i] = group(100, 1, 30);
    struct rp_plan_input in = input(NULL, 0, m, MACHINES, g, GROUPS);
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(p.n_now, 320);
    assert_true(p.n_looks > 0 && p.n_looks < 1000);
    rp_plan_free(&p);
    free(m);
    free(g);
}

/* However many gangs there are, the only class of arrays has its small jobs first while there is
 * more work than can be in time. */
static void gangs_make_no_class_rare(void **state) {
    struct rp_plan_machine m[10];
    struct rp_plan_group g[] = {group(400, 1, 60), group(160, 1, 10), group(8, 1, 10),
                                group(1, 100, 60)};
    struct rp_plan p;
    uint32_t small = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        m[i] = machine(0, 8, 8);
    for (int i = 0; i < 4; i++) {
        g[i].slack_s = i == 0 ? 30 : i == 2 ? 60 : 50;
        g[i].class_jobs = i == 3 ? 40 : 1;
    }
    g[3].kind = RP_GANG;
    struct rp_plan_input in = input(NULL, 0, m, 10, g, 4);
    rp_plan_by(&in, (struct rp_heuristic){RP_ESW, RP_SM}, &p);
    assert_true(p.short_of_room[0]);
    for (size_t i = 0; i < 10; i++)
        small += put_on(&p, 2, i);
    assert_int_equal(small, 8);
    rp_plan_free(&p);
}

/* What fits a team's guarantee waits for no other team's work, whatever the priorities. */
static void guaranteed_work_goes_first(void **state) {
    struct rp_plan_machine m[] = {machine(0, 8, 8)};
    struct rp_plan_group g[] = {group(8, 1, 50), group(6, 1, 50)};
    struct rp_plan_input in = input(NULL, 0, m, 1, g, 2);
    struct rp_plan p;
    (void)state;
    g[0].priority = RP_PRODUCTION;
    g[1].priority = RP_LOW;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 1, 0), 0);
    rp_plan_free(&p);
    g[1].guaranteed = true;
    rp_plan_by(&in, fcfs_sm, &p);
    assert_int_equal(put_on(&p, 1, 0), 6);
    assert_int_equal(put_on(&p, 0, 0), 2);
    rp_plan_free(&p);
}

/* More work than can be in time: of a class of forty jobs some are given up rather than the only
 * job of another class, though that is larger than any of them (incident 5bf9). */
static void rare_classes_are_served(void **state) {
    struct rp_plan_machine m[10];
    struct rp_plan_group g[41];
    struct rp_plan p;
    uint32_t rare = 0;
    (void)state;
    for (int i = 0; i < 10; i++)
        m[i] = machine(0, 8, 8);
    for (int i = 0; i < 40; i++) {
        g[i] = group(8, 1, 60);
        g[i].slack_s = 40;
        g[i].class_jobs = 40;
    }
    g[40] = group(160, 1, 10);
    g[40].slack_s = 60;
    g[40].class_jobs = 1;
    struct rp_plan_input in = input(NULL, 0, m, 10, g, 41);
    rp_plan_by(&in, (struct rp_heuristic){RP_ESW, RP_SM}, &p);
    assert_true(p.short_of_room[0]);
    for (size_t i = 0; i < 10; i++)
        rare += put_on(&p, 40, i);
    assert_int_equal(rare, 80);
    rp_plan_free(&p);
    /* As one job of many it is given up, as before. */
    g[40].class_jobs = 40;
    rp_plan_by(&in, (struct rp_heuristic){RP_ESW, RP_SM}, &p);
    rare = 0;
    for (size_t i = 0; i < 10; i++)
        rare += put_on(&p, 40, i);
    assert_int_equal(rare, 0);
    rp_plan_free(&p);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(rare_classes_are_served),
                                       cmocka_unit_test(gangs_make_no_class_rare),
                                       cmocka_unit_test(guaranteed_work_goes_first),
                                       cmocka_unit_test(formula_one),
                                       cmocka_unit_test(first_with_room),
                                       cmocka_unit_test(rents_most_capacity_per_price),
                                       cmocka_unit_test(waits_rather_than_rents),
                                       cmocka_unit_test(gangs_whole_only),
                                       cmocka_unit_test(limits_and_spread),
                                       cmocka_unit_test(priority_first),
                                       cmocka_unit_test(portfolio_takes_least_left_then_cheapest),
                                       cmocka_unit_test(gives_up_the_largest),
                                       cmocka_unit_test(kept_machines),
                                       cmocka_unit_test(spare_room_of_gpu_machines),
                                       cmocka_unit_test(full_machines_are_not_looked_at),
                                       cmocka_unit_test(random_inputs)};
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
