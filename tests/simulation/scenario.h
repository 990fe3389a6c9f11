/* Helpers for tests that run one simulated scenario: they create a simulation without random
 * faults, submit work, find the leader, advance the time and check the end of the scenario. The
 * rules are checked after each step (rules.c). */
#ifndef RP_SCENARIO_H
#define RP_SCENARIO_H

#include "sim.h"

/* Every accepted job must be terminal this many simulated seconds after the faults have ended. */
#define SCENARIO_COMPLETION_S 250
/* Simulated seconds with faults at random, unless a test says otherwise. */
#define SCENARIO_FAULTS_S 150

extern const struct sim_faults scenario_no_faults;
/* Longer leases and higher request rates of the store than usual, as in the operators' settings. */
extern const struct sim_size scenario_large_limits;

/* A node's response to a request that a test sends to it directly, with `req.respond` set to
 * scenario_keep_answer. */
struct scenario_answer {
    struct rp_request req;
    int status;
    char body[8192];
};
void scenario_keep_answer(struct rp_request *req, int status, const char *body, int retry_after);

/* Creates a simulation of the usual size without random faults. */
struct sim *scenario_new(unsigned long seed, int n_nodes);
/* Removes the CPU limit of the team that has one. */
void scenario_remove_team_limit(struct sim *sim);
/* Submits `count` arrays of `tasks` tasks, one every `every_s` seconds from `first_at` on. */
void scenario_submit_arrays(struct sim *sim, int count, double first_at, double every_s,
                            unsigned tasks, double cpus, double run_s);
/* Submits arrays and gangs over the first 80 s, some of which are cancelled at times that the seed
 * determines. */
void scenario_submit_mixed_work(struct sim *sim, unsigned long seed);
/* Submits arrays and gangs within the first 30 s that run long enough for faults to affect them. */
void scenario_submit_long_work(struct sim *sim, double run_s);
/* Submits arrays over a minute, and a gang. */
void scenario_submit_array_stream(struct sim *sim, double from);
/* Submits mixed work and services; users poll all nodes. */
void scenario_submit_for_polls_at_all_nodes(struct sim *sim, unsigned long seed);
/* Submits services that are cancelled two to four minutes later. */
void scenario_submit_services(struct sim *sim, double from);
/* Fails the test if a rule was broken. */
void scenario_expect_no_violation(struct sim *sim, unsigned long seed);
/* Runs with faults at random, one for each seed. After `faults_s` the faults end; no rule may be
 * broken, and every accepted job must be terminal `completion_s` later. */
struct scenario_seeds {
    const struct sim_faults *faults;
    unsigned long first, n;
    int n_nodes;                                          /* 0: three or five, by turns */
    double faults_s;                                      /* 0: SCENARIO_FAULTS_S */
    double completion_s;                                  /* 0: SCENARIO_COMPLETION_S */
    void (*prepare)(struct sim *sim, unsigned long seed); /* submits the jobs */
    void (*check)(const struct sim *sim);                 /* at the end; NULL: nothing more */
};
void scenario_run_seeds(const struct scenario_seeds *seeds);
/* Advances the simulation by `seconds`; fails the test if a rule is broken. */
void scenario_run(struct sim *sim, double seconds);
/* Ends all faults, advances the simulation by SCENARIO_COMPLETION_S, fails the test if a rule was
 * broken or a job is not terminal by then, and frees the simulation. */
void scenario_end(struct sim *sim);
/* Returns the leader; fails the test if there is none. */
struct rp_node *scenario_leader(const struct sim *sim);
/* Crashes the leader's process, or, if no node leads at the moment, that of the next leader. */
void scenario_crash_leader(struct sim *sim, double restart_after_s);
int scenario_count_running_tasks(const struct sim *sim, int job);
int scenario_count_all_running_tasks(const struct sim *sim);

#endif
