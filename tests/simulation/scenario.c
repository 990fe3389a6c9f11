#include "test.h"

#include "scenario.h"

#define NO_LIMIT_CPUS 1e6
#define LEADER_WAIT_STEPS 200 /* steps of 0.1 s to wait for a leader */

const struct sim_faults scenario_no_faults = {0};
const struct sim_size scenario_large_limits = {64, 6, 4, 22, 47, 800, 80, 10};

void scenario_keep_answer(struct rp_request *req, int status, const char *body, int retry_after) {
    struct scenario_answer *answer = (struct scenario_answer *)(void *)req;
    (void)retry_after;
    answer->status = status;
    snprintf(answer->body, sizeof answer->body, "%s", body);
}

struct sim *scenario_new(unsigned long seed, int n_nodes) {
    struct sim *sim = sim_new(seed, &scenario_no_faults, SIM_NO_BREAKAGE, n_nodes);
    assert_non_null(sim);
    return sim;
}

void scenario_remove_team_limit(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].teams[0].cpus_max = NO_LIMIT_CPUS;
}

void scenario_submit_arrays(struct sim *sim, int count, double first_at, double every_s,
                            unsigned tasks, double cpus, double run_s) {
    for (int i = 0; i < count; i++)
        sim_submit(sim, first_at + i * every_s, "sweep", tasks, cpus, run_s, 0);
}

void scenario_submit_mixed_work(struct sim *sim, unsigned long seed) {
    sim_submit(sim, 1, "sweep", 20, 1, 8, 0);
    sim_submit(sim, 2, "sweep", 40, 1, 15, 0);
    sim_submit(sim, 3, "ensemble", 3, 8, 12, 0);
    sim_submit(sim, 10, "sweep", 30, 2, 10, 20 + (double)(seed % 17));
    sim_submit(sim, 20, "ensemble", 2, 20, 20, 0);
    sim_submit(sim, 30, "sweep", 1, 1, 3, 0);
    sim_submit(sim, 45, "ensemble", 4, 4, 25, 60 + (double)(seed % 13));
    sim_submit(sim, 60, "sweep", 40, 1, 6, 0);
    sim_submit(sim, 80, "sweep", 12, 3, 20, 0);
    sim_submit(sim, 15, "sweep", 2, 1, 200, 40); /* runs until it is cancelled */
}

void scenario_submit_long_work(struct sim *sim, double run_s) {
    sim_submit(sim, 1, "sweep", 20, 1, run_s, 0);
    sim_submit(sim, 1, "sweep", 40, 1, 8, 0);
    sim_submit(sim, 2, "ensemble", 3, 4, run_s / 2, 0);
    sim_submit(sim, 4, "sweep", 3, 1, run_s / 2, 0);
    sim_submit(sim, 20, "sweep", 30, 1, 6, 0);
    sim_submit(sim, 30, "ensemble", 2, 6, 10, 0);
}

void scenario_submit_array_stream(struct sim *sim, double from) {
    for (int i = 0; i < 6; i++)
        sim_submit(sim, from + 1 + i * 12, "sweep", 40, 1, 14, 0);
    sim_submit(sim, from + 20, "ensemble", 2, 8, 20, 0);
}

void scenario_submit_services(struct sim *sim, double from) {
    sim_submit(sim, from + 1, "service", 3, 1, 0, from + 260);
    sim_submit(sim, from + 2, "service", 6, 1, 0, from + 120);
    sim_submit(sim, from + 5, "service", 2, 2, 0, from + 255);
    sim_submit(sim, from + 40, "service", 4, 1, 0, from + 250);
}

void scenario_submit_for_polls_at_all_nodes(struct sim *sim, unsigned long seed) {
    sim->has_polls_at_all_nodes = true;
    scenario_submit_mixed_work(sim, seed);
    scenario_submit_services(sim, 5);
}

void scenario_expect_no_violation(struct sim *sim, unsigned long seed) {
    if (sim->violation[0])
        fail_msg("seed %lu: expected no violation of a rule: %s", seed, sim->violation);
}

static void run_seed(const struct scenario_seeds *seeds, unsigned long seed) {
    int n_nodes = seed % 2 ? 3 : 5;
    if (seeds->n_nodes > 0)
        n_nodes = seeds->n_nodes;
    struct sim *sim = sim_new(seed, seeds->faults, SIM_NO_BREAKAGE, n_nodes);
    seeds->prepare(sim, seed);
    sim_run(sim, seeds->faults_s > 0 ? seeds->faults_s : SCENARIO_FAULTS_S);
    sim_end_faults(sim);
    sim_run(sim, seeds->completion_s > 0 ? seeds->completion_s : SCENARIO_COMPLETION_S);
    sim_check_served(sim);
    scenario_expect_no_violation(sim, seed);
    if (!sim_all_terminal(sim))
        fail_msg("seed %lu: expected all jobs to be terminal at the end of the run", seed);
    if (seeds->check)
        seeds->check(sim);
    sim_free(sim);
}

void scenario_run_seeds(const struct scenario_seeds *seeds) {
    for (unsigned long seed = seeds->first; seed < seeds->first + seeds->n; seed++)
        run_seed(seeds, seed);
}

void scenario_run(struct sim *sim, double seconds) {
    sim_run(sim, seconds);
    if (sim->violation[0])
        fail_msg("expected no violation of a rule: %s", sim->violation);
}

void scenario_end(struct sim *sim) {
    sim_end_faults(sim);
    sim_run(sim, SCENARIO_COMPLETION_S);
    sim_check_served(sim);
    if (sim->violation[0])
        fail_msg("expected no violation of a rule: %s", sim->violation);
    for (int i = 0; i < sim->n_jobs; i++) {
        const struct sim_job *job = &sim->jobs[i];
        if (!job->reported_done && !job->reported_cancelled && !job->fails_always)
            fail_msg("expected %s to be terminal %d s after the end of the faults", job->spec.id,
                     SCENARIO_COMPLETION_S);
    }
    assert_true(sim_all_terminal(sim));
    sim_free(sim);
}

struct rp_node *scenario_leader(const struct sim *sim) {
    assert_true(sim_leader(sim) >= 0);
    struct rp_node *node = sim->nodes[sim_leader(sim)].node;
    assert_non_null(node);
    return node;
}

void scenario_crash_leader(struct sim *sim, double restart_after_s) {
    for (int i = 0; i < LEADER_WAIT_STEPS && sim_leader(sim) < 0; i++)
        scenario_run(sim, 0.1);
    assert_true(sim_leader(sim) >= 0);
    sim_crash(sim, sim_leader(sim), restart_after_s);
}

int scenario_count_running_tasks(const struct sim *sim, int job) {
    int n = 0;
    for (int i = 0; i < sim->size.n_workers; i++) {
        const struct sim_worker *worker = &sim->workers[i];
        for (int k = 0; worker->used && worker->alive && k < worker->n_tasks; k++)
            n += worker->tasks[k].job_index == job && worker->tasks[k].state == RP_TASK_RUNNING;
    }
    return n;
}

int scenario_count_all_running_tasks(const struct sim *sim) {
    int n = 0;
    for (int i = 0; i < sim->n_jobs; i++)
        n += scenario_count_running_tasks(sim, i);
    return n;
}
