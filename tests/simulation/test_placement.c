/* What is placed when: gangs and whole machines on a full fleet, guaranteed quotas, teams without
 * one. */
#include "test.h"

#include "base/log.h"
#include "day.h"

#define REST_S 250

/* A gang of several that loses a machine before it has begun, with no other machine about: none was
 * rented for what it missed, as no plan had it, and its other tasks waited for ever. */
static void gang_that_loses_a_machine_begins(void **state) {
    int lost = 0;
    (void)state;
    for (unsigned long seed = 80; seed < 83; seed++) {
        struct sim *sim = day_new(seed, 3);
        int gang = sim_submit(sim, 1, "ensemble", 3, 8, 20, 0);
        for (int step = 0; step < 1500 && !lost; step++) {
            sim_run(sim, 0.02);
            for (int i = 0; i < sim->size.workers && !lost; i++)
                if (sim->workers[i].used && sim->workers[i].up && sim->workers[i].n_tasks > 0 &&
                    sim->workers[i].tasks[0].state == RP_TASK_FETCHING) {
                    sim->workers[i].alive = false;
                    lost++;
                }
        }
        assert_int_equal(lost, 1);
        assert_false(sim->jobs[gang].begun);
        sim_run(sim, 180);
        assert_string_equal(sim->violation, "");
        assert_true(sim->jobs[gang].told_done);
        sim_free(sim);
        lost = 0;
    }
}

/* Gangs of whole machines starved on a full fleet, where what falls free is taken by what needs
 * less: their machines are gathered. And a cloud that has no more is not asked all the time. */
static void large_gangs_begin_on_a_full_fleet(void **state) {
    struct sim *sim = day_new(12, 3);
    (void)state;
    day_lift_team_limit(sim);
    day_submit_arrays(sim, 40, 1, 2, 40, 2, 20);
    sim_run(sim, 40);
    int gang = sim_submit(sim, sim->now, "ensemble", 4, 24, 20, 0);
    sim_run(sim, 60);
    assert_true(sim->jobs[gang].begun);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_true(node->fleet.provisioning.refusals.n_refused > 0 &&
                node->fleet.provisioning.refusals.n_refused < 60);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Machines that were kept for a gang, and idle until the last of them was free, went back at their
 * unit's end, were rented again and booted, for minutes: the gang never had all of them together.
 */
static void reserved_machines_stay(void **state) {
    struct sim *sim = day_new(17, 3);
    int kept = 0;
    (void)state;
    day_lift_team_limit(sim);
    for (int i = 0; i < 14; i++)
        sim_submit(sim, 1 + i * 2, "sweep", 40, 2, 30 + 5 * (i % 5), 0);
    sim_run(sim, 45);
    for (int i = 0; i < 4; i++)
        sim_submit(sim, sim->now + i, "ensemble:low", 6, 24, 20, 0);
    for (int i = 0; i < 1500; i++) {
        sim_run(sim, 0.1);
        const struct rp_node *node = sim->nodes[sim_leader(sim)].node;
        for (const struct rp_machine *machine = node->cluster.first; machine;
             machine = machine->next) {
            const struct rp_job *job = *machine->reservation.job_id
                                           ? rp_jobs_find(&node->jobs, machine->reservation.job_id)
                                           : NULL;
            if (!job || job->state != RP_JOB_OPEN || job->n_allocated > 0 ||
                machine->health.quarantined || machine->spot_notice.received ||
                rp_ts_is_reached(rp_loop_now(node->loop), machine->reservation.until))
                continue;
            kept += machine->n_allocations == 0;
            assert_int_equal(machine->state, RP_MACHINE_UP);
        }
    }
    assert_more_than(kept, 20);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* Incident f8f1: gangs of one task that takes a whole machine waited for seven minutes behind small
 * work of their own priority, which took all capacity that fell free. */
static void whole_machine_task_begins_on_a_full_fleet(void **state) {
    struct sim *sim = day_new(15, 3);
    int gangs[3];
    (void)state;
    for (int i = 0; i < sim->n_nodes; i++) {
        struct rp_settings *settings = &sim->settings[i];
        settings->teams[0].cpus_max = 1e6;
        settings->objectives = calloc(1, sizeof *settings->objectives);
        assert_non_null(settings->objectives);
        settings->n_objectives = 1;
        /* So the arrays come first in every order. */
        settings->objectives[0] =
            (struct rp_objective){.kind = RP_OBJECTIVE_FINISHED, .within_s = 90};
        strcpy(settings->objectives[0].class_name, "a");
    }
    day_submit_arrays(sim, 90, 1, 2, 40, 2, 20);
    sim_run(sim, 40);
    for (int i = 0; i < 3; i++)
        gangs[i] = sim_submit(sim, sim->now, "ensemble:low", 1, 24, 20, 0);
    sim_run(sim, 100);
    for (int i = 0; i < 3; i++)
        assert_true(sim->jobs[gangs[i]].begun);
    assert_string_equal(sim->violation, "");
    sim_free(sim);
}

/* A team's guarantee: other teams' work beyond their own makes way, of any priority, and they get
 * what the guarantee leaves. */
static void guaranteed_quota_is_given(void **state) {
    (void)state;
    for (unsigned long seed = 90; seed < 93; seed++) {
        struct sim *sim = day_new(seed, 3);
        int guest[2];
        for (int i = 0; i < sim->n_nodes; i++) {
            sim->settings[i].teams[0].cpus_max = 1e6;
            sim->settings[i].teams[1].cpus = 24;
        }
        day_submit_arrays(sim, 14, 1, 0, 40, 4, 150);
        sim_run(sim, 60);
        for (int i = 0; i < 2; i++) {
            guest[i] = sim_submit(sim, 60, "sweep", 24, 1, 20, 0);
            sim_set_field(sim, guest[i], "crew", json_string("guests"));
            sim_set_field(sim, guest[i], "precedence", json_string("low"));
        }
        sim_run(sim, 55);
        assert_true(sim->jobs[guest[0]].told_done);
        /* The second job is beyond the guarantee until the first is over. */
        assert_true(sim->jobs[guest[1]].begun);
        sim_run(sim, 30);
        assert_true(sim->jobs[guest[1]].told_done);
        sim_end_faults(sim);
        sim_run(sim, 600);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        assert_true(sim_all_terminal(sim));
        sim_free(sim);
    }
}

/* Another team's work for more than all machines, and the guests' jobs among it. */
static void submit_with_guests(struct sim *sim) {
    for (int i = 0; i < 30; i++)
        sim_submit(sim, 1 + i * 4, i % 6 ? "sweep" : "ensemble", i % 6 ? 20 : 3, i % 6 ? 1 : 4, 12,
                   0);
    for (int i = 0; i < 80; i++) {
        int j = i < 4 ? sim_submit(sim, 20, "sweep", 40, 2, 60, 0)
                      : sim_submit(sim, 30 + i, "sweep", 1, 1, 5, 0);
        sim_set_field(sim, j, "crew", json_string("guests"));
    }
}

/* A team without a guaranteed quota, with a batch for idle times, a huge array and a swarm of
 * single tasks, among another team's work for more than all machines: its jobs begin within four
 * minutes, half of them at least are served (rules.c), and no job waits while there is capacity. */
static void guests_are_served(void **state) {
    static const struct sim_faults faults = {.crash_s = 80, .spot_notice_s = 30};
    (void)state;
    for (unsigned long seed = 50; seed < 53; seed++) {
        struct sim *sim = sim_new(seed, &faults, SIM_SOUND, 3);
        int begun = 0;
        int swarm = 0;
        submit_with_guests(sim);
        sim_run(sim, 150);
        for (int i = 0; i < sim->n_jobs; i++) {
            bool guest = strcmp(sim->jobs[i].spec.team, "guests") == 0;
            begun += guest && sim->jobs[i].begun;
            swarm += guest && sim->jobs[i].told_done && sim->jobs[i].spec.n_tasks == 1;
        }
        assert_at_least(begun, 70);
        assert_at_least(swarm, 60);
        sim_end_faults(sim);
        sim_run(sim, REST_S);
        sim_check_served(sim);
        assert_string_equal(sim->violation, "");
        sim_free(sim);
    }
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(gang_that_loses_a_machine_begins),
                                       cmocka_unit_test(large_gangs_begin_on_a_full_fleet),
                                       cmocka_unit_test(reserved_machines_stay),
                                       cmocka_unit_test(whole_machine_task_begins_on_a_full_fleet),
                                       cmocka_unit_test(guests_are_served),
                                       cmocka_unit_test(guaranteed_quota_is_given)};
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    choose_test(argc, argv);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
