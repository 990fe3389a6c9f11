/* Creates and frees a simulation, and runs its steps. */
#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "config/platform_file.h"
#include "protocol/job_codec.h"

bool sim_standby;

void sim_set_first_numbers(struct sim *sim, uint64_t revision, uint64_t others) {
    sim->revision = revision;
    sim->next_lease = sim->first_number = others;
}

void sim_step(struct sim *sim, double now) {
    sim->now = now;
    sim_inject_faults(sim);
    sim_store_step(sim);
    for (int i = 0; i < sim->n_nodes && !sim->remote; i++)
        sim_node_step(sim, i);
    for (int i = 0; i < sim->size.n_workers; i++)
        sim_worker_step(sim, i);
    for (int i = 0; i < sim->n_jobs; i++)
        sim_user_step(sim, i);
    sim_process_events(sim);
    sim->steps++;
    sim_check_step(sim);
}

void sim_run(struct sim *sim, double seconds) {
    double end = sim->now + seconds;
    while (sim->now < end && !sim->violation[0])
        sim_step(sim, sim->now + SIM_STEP_S);
}

bool sim_all_terminal(const struct sim *sim) {
    for (int i = 0; i < sim->n_jobs; i++)
        if (!sim->jobs[i].reported_done && !sim->jobs[i].reported_cancelled &&
            !sim->jobs[i].fails_always)
            return false;
    return true;
}

static const char settings_text[] =
    "{\"node_name\":\"n%d\",\"location\":\"a\",\"client_listen\":\"10.0.0.1:1\",\"peer_listen\":"
    "\"10.0.0.1:2\",\"seeds\":[%s],\"external\":{\"cloud\":\"cloud\",\"state\":\"state\"},"
    "\"params\":{\"nodes\":%d,\"zones\":[\"a\",\"b\"],\"teams\":[{\"name\":\"t\",\"cpus\":0,"
    "\"cpus_max\":60,\"gpus\":0,\"gpus_max\":0},{\"name\":\"guests\",\"cpus\":0,\"cpus_max\":0,"
    "\"gpus\":0,\"gpus_max\":0}],\"objectives\":[],\"workers\":{\"report_s\":%g,"
    "\"lease_s\":%g,\"gang_wait_s\":40,\"gang_peer_s\":5,\"cancel_s\":%g},\"state\":{\"rps\":%g,"
    "\"write_rps\":%g,\"value_kb\":8,\"txn_ops\":8,\"next\":{\"write_rps\":%g,"
    "\"value_kb\":1,\"txn_ops\":4}},\"cloud\":{\"rps\":%g,\"list_lag_s\":3},"
    "\"machine_limits\":{\"cpu_share\":0.1,\"mem_mb\":64,\"max_connections\":800}}}";

struct sim *sim_new(unsigned long seed, const struct sim_faults *faults, enum sim_breakage breakage,
                    int n_nodes) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    return sim_new_sized(seed, faults, breakage, n_nodes, &small);
}

/* Generates the text of a node's settings file and parses it. */
static void set_up_node(struct sim *sim, int index) {
    const struct sim_size *size = &sim->size;
    struct rp_settings *settings = &sim->settings[index];
    char *text;
    char peers[1024] = "";
    for (int peer = 0; peer < sim->n_nodes; peer++)
        if (peer != index)
            sprintf(peers + strlen(peers),
                    "%s{\"node_name\":\"n%d\",\"location\":\"a\",\"addr\":\"peer%d\"}",
                    *peers ? "," : "", peer, peer);
    if (asprintf(&text, settings_text, index, peers, sim->n_nodes, size->heartbeat_s, size->lease_s,
                 size->cancel_s, size->rps, size->write_rps, sim->announced_limits.write_rps,
                 size->cloud_rps) < 0 ||
        rp_platform_file_parse(settings, text, "settings", stderr))
        abort();
    sim->nodes[index].settings = text;
    rp_settings_complete(settings);
    settings->tuning.round_period_s = 2;
    settings->tuning.standby = sim_standby || getenv("RP_SIM_STANDBY");
}

static struct sim *create_simulation(unsigned long seed, const struct sim_faults *faults,
                                     enum sim_breakage breakage, int n_nodes,
                                     const struct sim_size *size, const struct sim_remote *remote) {
    struct sim *sim = calloc(1, sizeof *sim);
    if (!sim)
        abort();
    sim->rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(sim->rng, seed);
    sim->watch_rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(sim->watch_rng, seed);
    sim->size = *size;
    sim->n_nodes = n_nodes;
    sim->remote = remote;
    sim->faults = *faults;
    sim->breakage = breakage;
    sim->limits = (struct sim_limits){8192, 8, size->write_rps};
    sim->announced_limits = (struct sim_limits){1024, 4, size->write_rps * 0.75};
    sim->write_tokens = size->write_rps;
    sim->change_log = json_array();
    sim->provisioned = json_object();
    sim->machine_prefix = "vm-";
    for (int i = 0; i < sim->n_nodes; i++) {
        set_up_node(sim, i);
        sim_node_start(sim, i);
    }
    return sim;
}

struct sim *sim_new_sized(unsigned long seed, const struct sim_faults *faults,
                          enum sim_breakage breakage, int n_nodes, const struct sim_size *size) {
    return create_simulation(seed, faults, breakage, n_nodes, size, NULL);
}

struct sim *sim_new_remote(unsigned long seed, int n_nodes, const struct sim_size *size,
                           const struct sim_remote *remote) {
    static const struct sim_faults none = {0};
    struct sim *sim = create_simulation(seed, &none, SIM_NO_BREAKAGE, n_nodes, size, remote);
    sim->nodes[SIM_REMOTE_NODE].alive = true;
    return sim;
}

void sim_free(struct sim *sim) {
    sim->nodes[SIM_REMOTE_NODE].alive &= !sim->remote;
    for (int i = 0; i < sim->n_nodes; i++) {
        sim_crash(sim, i, SIM_NEVER);
        free(sim->nodes[i].settings);
        rp_settings_free(&sim->settings[i]);
    }
    for (int i = 0; i < sim->n_events; i++)
        sim_event_free(sim->events[i]);
    sim_store_free(sim);
    for (int i = 0; i < sim->n_jobs; i++) {
        free(sim->jobs[i].body);
        free(sim->jobs[i].done);
        free(sim->jobs[i].checkpointed_s);
        free(sim->jobs[i].down_since);
        rp_job_spec_free(&sim->jobs[i].spec);
    }
    for (int i = 0; i < sim->size.n_workers; i++)
        free(sim->workers[i].tasks);
    json_decref(sim->provisioned);
    gsl_rng_free(sim->rng);
    gsl_rng_free(sim->watch_rng);
    free(sim);
}
