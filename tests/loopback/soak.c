/* Random faults on real processes: the nodes are processes on loopback, the simulation
 * (tests/simulation/) provides the key-value store, the cloud, the workers and the users, and
 * checks the rules from outside, by what users and workers saw. One seed decides the troubles,
 * which come in overlaps of two or three until FAULTS_S; the jobs must end, and stay known,
 * afterwards.
 *
 * Usage: soak PROGRAM DIRECTORY PORT SEED [FAULTS_S] [PLANTED]. PLANTED is a defect of the
 * simulation that must make the run fail: forgotten, ran_twice, ran_cancelled, went_back. The exit
 * code is 0, 1 for a broken rule, 2 for wrong usage. DIRECTORY keeps the logs of the nodes and
 * events.log. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "loopback/cluster.h"

#define STEP_S 0.02
#define STARTUP_S 12.0    /* before the first trouble */
#define COMPLETION_S 85.0 /* after the troubles: longer than a job may be without an answer */
#define DEFAULT_FAULTS_S 150.0
#define TROUBLE_MIN_S 2.0
#define TROUBLE_MAX_S 24.0
#define LEADER_SERIES_MAX_S 40.0
#define CLOUD_OUTAGE_MAX_S 125.0 /* longer than a job may be without an answer */
#define JOB_INTERVAL_S 0.6
#define JOBS_MAX 150
#define TROUBLES_MAX 3 /* at the same time */
#define SMALL_FLEET 40
#define LARGE_FLEET 240
#define LARGE_EVERY 5 /* one run of so many has the large fleet */
#define SERIES_PERIOD_S 7.0
#define TIMELINE_LINES 60
#define TIMELINE_LINE_MAX 400

enum trouble_kind {
    KILL_LEADER, /* back within a fraction of a second or later */
    KILL_ANY,
    KILL_ALL,
    PAUSE_LEADER,
    LEADER_SERIES, /* the leader is killed again and again */
    REFUSE_NODE,   /* by the store */
    STORE_OUTAGE,
    STORE_SLOW,
    CUT_NODE, /* from the store; its requests are lost or executed late */
    PEERS_REFUSE,
    LATE_WRITES,
    LOST_ANSWERS,
    LATE_COMMANDS,   /* direct commands are executed late, without an answer */
    COMMAND_COPIES,  /* copies of direct commands that were answered arrive later */
    MACHINES_SILENT, /* neither reports nor commands pass */
    MACHINES_MUTE,   /* reports do not pass, commands do */
    MACHINES_DEAF,   /* reports pass, answers and commands do not */
    MACHINES_HANG,
    MACHINES_DIE,
    MACHINES_RESTART,
    LATE_REPORTS,
    CLOUD_OUTAGE, /* it refuses, or is silent; in half of the outages machines stop as it begins */
    CANCEL_RUNNING,
    TROUBLE_KINDS
};

static const char *const trouble_names[TROUBLE_KINDS] = {
    "kill_leader",   "kill_any",      "kill_all",      "pause_leader",   "leader_series",
    "refuse_node",   "store_outage",  "store_slow",    "cut_node",       "peers_refuse",
    "late_writes",   "lost_answers",  "late_commands", "command_copies", "machines_silent",
    "machines_mute", "machines_deaf", "machines_hang", "machines_die",   "machines_restart",
    "late_reports",  "cloud_outage",  "cancel_running"};

/* A trouble that lasts until a time. */
struct trouble {
    double until;
    int node;
};

struct soak {
    struct cluster cluster;
    struct trouble troubles[TROUBLE_KINDS];
    gsl_rng *rng;
    double next_trouble_at, next_job_at, next_kill_at, faults_s;
    const char *planted;
    unsigned n_troubles;
};

static FILE *events;

static double uniform(const struct soak *run, double from, double to) {
    return from + (to - from) * gsl_rng_uniform(run->rng);
}

static bool chance(const struct soak *run, double probability) {
    return gsl_rng_uniform(run->rng) < probability;
}

static bool lasts(const struct soak *run, enum trouble_kind kind) {
    return run->cluster.sim->now < run->troubles[kind].until;
}

/* ---- the record of events ---- */

static void observe(const struct sim_message *message) {
    fprintf(events, "%8.2f n%d to %s: %d %s\n", message->time, message->from, message->to,
            message->status, message->body ? message->body : "");
}

/* Prints the last events that name the job of a broken rule. */
static void print_timeline(const struct soak *run) {
    static char lines[TIMELINE_LINES][TIMELINE_LINE_MAX];
    const char *job = strstr(run->cluster.sim->violation, "j-");
    char id[RP_ID_MAX] = "";
    char path[256];
    unsigned long n = 0;
    if (!job)
        return;
    memcpy(id, job, strcspn(job, " /:,"));
    snprintf(path, sizeof path, "%s/events.log", run->cluster.directory);
    FILE *file = fopen(path, "r");
    while (file && fgets(lines[n % TIMELINE_LINES], TIMELINE_LINE_MAX, file))
        n += strstr(lines[n % TIMELINE_LINES], id) || strstr(lines[n % TIMELINE_LINES], "trouble");
    unsigned long first = n > TIMELINE_LINES - 1 ? n - (TIMELINE_LINES - 1) : 0;
    for (unsigned long i = first; i < n; i++)
        printf("%.*s\n", (int)strcspn(lines[i % TIMELINE_LINES], "\n"), lines[i % TIMELINE_LINES]);
    if (file)
        fclose(file);
}

static _Noreturn void finish(struct soak *run, bool has_node_ended) {
    const struct sim *sim = run->cluster.sim;
    bool is_broken = *sim->violation || has_node_ended;
    cluster_end_nodes(&run->cluster);
    fclose(events);
    printf("soak seed=%lu workers=%d troubles=%u jobs=%d done=%lu starts=%lu polls=%lu "
           "answered=%lu rules=%s\n",
           run->cluster.seed, run->cluster.n_workers, run->n_troubles, sim->n_jobs,
           sim->n_done_jobs, sim->n_starts, sim->n_polls, sim->n_polls_answered,
           *sim->violation  ? sim->violation
           : has_node_ended ? "a node ended"
                            : "kept");
    if (is_broken) {
        printf("again: tests/loopback/soak-seeds 1 %lu 1; logs: %s\n", run->cluster.seed,
               run->cluster.directory);
        print_timeline(run);
    }
    fflush(stdout);
    exit(is_broken);
}

/* ---- troubles ---- */

static bool is_transaction(const struct rp_request *req) {
    return strcmp(req->target, "/txn") == 0;
}

static bool is_watch(const struct rp_request *req) {
    return strncmp(req->target, "/follow", strlen("/follow")) == 0;
}

static enum cluster_fate fate_at_store(const struct soak *run, const struct cluster_server *server,
                                       const struct rp_request *req, double *delay_s) {
    if (lasts(run, REFUSE_NODE) && run->troubles[REFUSE_NODE].node == server->from)
        return CLUSTER_REFUSED;
    if (lasts(run, CUT_NODE) && run->troubles[CUT_NODE].node == server->from) {
        *delay_s = run->troubles[CUT_NODE].until - run->cluster.sim->now;
        return is_transaction(req) && chance(run, 0.5) ? CLUSTER_LATE : CLUSTER_LOST;
    }
    *delay_s = uniform(run, 2, 12);
    if (lasts(run, LATE_WRITES) && is_transaction(req) && chance(run, 0.1))
        return CLUSTER_LATE;
    if (lasts(run, LOST_ANSWERS) && is_transaction(req) && chance(run, 0.15))
        return CLUSTER_ANSWER_LOST;
    *delay_s = uniform(run, 0.1, 1.2);
    return lasts(run, STORE_SLOW) && !is_watch(req) && chance(run, 0.3) ? CLUSTER_SLOW
                                                                        : CLUSTER_DELIVERED;
}

static enum cluster_fate fate_at_worker(const struct soak *run, const struct rp_request *req,
                                        double *delay_s) {
    bool is_command = strcmp(req->method, "POST") == 0;
    *delay_s = uniform(run, 1, 16);
    if (lasts(run, LATE_COMMANDS) && is_command && chance(run, 0.5))
        return CLUSTER_LATE;
    /* From milliseconds to a minute late. */
    *delay_s = chance(run, 0.3) ? uniform(run, 0.002, 0.1) : uniform(run, 0.1, 60);
    return lasts(run, COMMAND_COPIES) && is_command ? CLUSTER_REPEATED : CLUSTER_DELIVERED;
}

static enum cluster_fate decide_fate(struct cluster *cluster, const struct cluster_server *server,
                                     const struct rp_request *req, double *delay_s) {
    const struct soak *run = cluster->owner;
    switch (server->service) {
    case CLUSTER_STORE:
        return fate_at_store(run, server, req, delay_s);
    case CLUSTER_WORKER:
        return fate_at_worker(run, req, delay_s);
    case CLUSTER_CLOUD:
    case CLUSTER_PEER:
        break;
    }
    return CLUSTER_DELIVERED;
}

/* Applies a trouble to a share of the machines. */
static void trouble_machines(struct soak *run, enum trouble_kind kind, double until, double share) {
    struct sim *sim = run->cluster.sim;
    for (int i = 0; i < sim->size.n_workers; i++) {
        struct sim_worker *worker = &sim->workers[i];
        if (!worker->used || !worker->up || !chance(run, share))
            continue;
        if (kind == MACHINES_SILENT || kind == MACHINES_MUTE)
            worker->unreachable_until = until;
        if (kind == MACHINES_SILENT || kind == MACHINES_DEAF)
            worker->one_way_partition_until = until;
        if (kind == MACHINES_HANG)
            worker->paused_until = until;
        if (kind == MACHINES_DIE)
            worker->alive = false;
    }
}

static void kill_node(struct soak *run, int node) {
    if (node >= 0)
        cluster_kill_node(&run->cluster, node,
                          chance(run, 0.5) ? uniform(run, 0.05, 0.6) : uniform(run, 2, 5));
}

/* Begins a trouble of processes. Returns false if the kind is another one. */
static bool trouble_nodes(struct soak *run, enum trouble_kind kind, double for_s) {
    struct cluster *cluster = &run->cluster;
    int leader = cluster_key_holder(cluster);
    if (kind == KILL_LEADER)
        kill_node(run, leader);
    else if (kind == KILL_ANY)
        kill_node(run, run->troubles[kind].node);
    else if (kind == PAUSE_LEADER && leader >= 0)
        cluster_stop_node(cluster, leader, for_s);
    else if (kind == PEERS_REFUSE)
        cluster_set_proxies_open(cluster, false);
    for (int i = 0; kind == KILL_ALL && i < CLUSTER_NODES; i++)
        kill_node(run, i);
    return kind == KILL_LEADER || kind == KILL_ANY || kind == PAUSE_LEADER ||
           kind == PEERS_REFUSE || kind == KILL_ALL;
}

static void begin_cloud_outage(struct soak *run, double until) {
    struct sim *sim = run->cluster.sim;
    sim->cloud_outage_until = until;
    sim->is_cloud_silent = chance(run, 0.5);
    if (chance(run, 0.5))
        trouble_machines(run, MACHINES_DIE, until, 0.1);
}

/* Begins a trouble that lasts for `for_s`. Kinds that are not named here take effect in each step
 * or at each message. */
static void begin_trouble(struct soak *run, enum trouble_kind kind, double for_s) {
    struct sim *sim = run->cluster.sim;
    int leader = cluster_key_holder(&run->cluster);
    struct trouble *trouble = &run->troubles[kind];
    trouble->until = sim->now + for_s;
    trouble->node = (int)gsl_rng_uniform_int(run->rng, CLUSTER_NODES);
    if (chance(run, 0.5) && leader >= 0)
        trouble->node = leader;
    run->n_troubles++;
    fprintf(events, "%8.2f trouble %s for %.1f s, node %d\n", sim->now, trouble_names[kind], for_s,
            trouble->node);
    if (trouble_nodes(run, kind, for_s))
        return;
    if (kind == STORE_OUTAGE)
        sim->store_outage_until = trouble->until;
    else if (kind == CLOUD_OUTAGE)
        begin_cloud_outage(run, trouble->until);
    else if (kind == CANCEL_RUNNING)
        sim_cancel_running(sim, 5, chance(run, 0.5) ? uniform(run, 2, 18) : 0);
    else if (kind == MACHINES_DIE)
        trouble_machines(run, kind, trouble->until, 0.1);
    else if (kind == MACHINES_SILENT || kind == MACHINES_MUTE || kind == MACHINES_DEAF ||
             kind == MACHINES_HANG)
        trouble_machines(run, kind, trouble->until, uniform(run, 0.05, 0.4));
}

/* What lasting troubles do in each step. */
static void apply_lasting_troubles(struct soak *run) {
    struct sim *sim = run->cluster.sim;
    sim->faults.late_duplicate = lasts(run, LATE_REPORTS) ? 0.2 : 0;
    sim->faults.fast_restart_s = lasts(run, MACHINES_RESTART) ? 0.5 : 0;
    sim->faults.slow_watch = lasts(run, STORE_SLOW) ? 0.5 : 0.05;
    if (!lasts(run, PEERS_REFUSE))
        cluster_set_proxies_open(&run->cluster, true);
    if (lasts(run, LEADER_SERIES) && sim->now > run->next_kill_at &&
        cluster_key_holder(&run->cluster) >= 0) {
        kill_node(run, cluster_key_holder(&run->cluster));
        run->next_kill_at = sim->now + uniform(run, 0.6, 1.6) * SERIES_PERIOD_S;
    }
}

static double trouble_max_s(enum trouble_kind kind) {
    if (kind == LEADER_SERIES)
        return LEADER_SERIES_MAX_S;
    return kind == CLOUD_OUTAGE ? CLOUD_OUTAGE_MAX_S : TROUBLE_MAX_S;
}

static void begin_troubles(struct soak *run) {
    const struct sim *sim = run->cluster.sim;
    int n = 0;
    for (int kind = 0; kind < TROUBLE_KINDS; kind++)
        n += lasts(run, (enum trouble_kind)kind);
    if (sim->now < run->next_trouble_at || n >= TROUBLES_MAX)
        return;
    run->next_trouble_at = sim->now + uniform(run, 0.5, 6);
    enum trouble_kind kind = (enum trouble_kind)gsl_rng_uniform_int(run->rng, TROUBLE_KINDS);
    if (!lasts(run, kind))
        begin_trouble(run, kind, uniform(run, TROUBLE_MIN_S, trouble_max_s(kind)));
}

/* ---- users ---- */

static void submit_next_job(struct soak *run) {
    struct sim *sim = run->cluster.sim;
    if (sim->now < run->next_job_at || sim->n_jobs >= JOBS_MAX)
        return;
    run->next_job_at = sim->now + JOB_INTERVAL_S;
    double cancel_at = chance(run, 0.3) ? sim->now + uniform(run, 0, 15) : 0;
    double run_s = chance(run, 0.2) ? 30 : uniform(run, 1, 12);
    unsigned n_tasks = 1 + (unsigned)gsl_rng_uniform_int(run->rng, 8);
    double service_end = STARTUP_S + run->faults_s + 5;
    int kind = (int)gsl_rng_uniform_int(run->rng, 6);
    int job;
    if (kind == 0)
        job = sim_submit(sim, sim->now, "service", 1 + n_tasks % 3, 1, 0, service_end);
    else if (kind == 1)
        job = sim_submit(sim, sim->now, "ensemble", 2 + n_tasks % 3, 2, run_s, cancel_at);
    else
        job = sim_submit(sim, sim->now, "sweep", n_tasks, 1, run_s, cancel_at);
    if (chance(run, 0.1))
        sim->jobs[job].fetch_s = uniform(run, 2, 20);
    if (chance(run, 0.1) && cancel_at <= 0)
        sim->jobs[job].cancel_at_end = kind != 0;
    if (chance(run, 0.05) && kind != 0)
        sim->jobs[job].cancel_on_acceptance = true;
}

/* ---- the course of a run ---- */

static void end_faults(struct soak *run) {
    struct sim *sim = run->cluster.sim;
    for (int kind = 0; kind < TROUBLE_KINDS; kind++)
        run->troubles[kind].until = 0;
    sim->cloud_outage_until = 0;
    for (int i = 0; i < sim->size.n_workers; i++)
        sim->workers[i].paused_until = 0;
    for (int i = 0; i < CLUSTER_NODES; i++)
        run->cluster.nodes[i].resumes_at = sim->now;
    sim_end_faults(sim);
    fprintf(events, "%8.2f troubles are over\n", sim->now);
}

static void on_step(void *arg) {
    struct soak *run = arg;
    struct cluster *cluster = &run->cluster;
    struct sim *sim = cluster->sim;
    double faults_end_at = STARTUP_S + run->faults_s;
    rp_timer_set(&cluster->loop, &cluster->timer, STEP_S);
    sim_step(sim, cluster_now(cluster));
    if (sim->now < faults_end_at)
        submit_next_job(run);
    if (sim->now > STARTUP_S && sim->now < faults_end_at)
        begin_troubles(run);
    else if (sim->now >= faults_end_at && sim->faults_ended_at <= 0)
        end_faults(run);
    apply_lasting_troubles(run);
    if (!cluster_restore_nodes(cluster))
        finish(run, true);
    bool is_over = sim->now > faults_end_at + COMPLETION_S ||
                   (sim->faults_ended_at > 0 && sim_all_terminal(sim));
    if (*sim->violation || is_over)
        finish(run, false);
}

static enum sim_breakage planted_breakage(const char *name) {
    static const struct {
        const char *name;
        enum sim_breakage breakage;
    } planted[] = {{"forgotten", SIM_POLLS_ARE_DROPPED},
                   {"ran_twice", SIM_WORKERS_KEEP_TASKS},
                   {"ran_cancelled", SIM_WORKERS_IGNORE_STOPS},
                   {"went_back", SIM_ANSWERS_ARE_STALE}};
    for (size_t i = 0; name && i < sizeof planted / sizeof planted[0]; i++)
        if (strcmp(planted[i].name, name) == 0)
            return planted[i].breakage;
    if (name) {
        fprintf(stderr, "unknown defect: %s\n", name);
        exit(2);
    }
    return SIM_NO_BREAKAGE;
}

static void set_up_users(const struct soak *run) {
    static const char *const judged[] = {"forgotten", "ran_twice",   "ran_cancelled",
                                         "went_back", "not_done",    "invented",
                                         "quota",     "wrong_place", NULL};
    struct sim *sim = run->cluster.sim;
    sim->breakage = planted_breakage(run->planted);
    sim->judged_rules = judged;
    sim->has_polls_at_all_nodes = true;
    sim->has_concurrent_reads = true;
    sim->faults.invalid_request_s = 3;
}

int main(int argc, char **argv) {
    static struct soak run;
    struct cluster *cluster = &run.cluster;
    char path[256];
    if (argc < 5 || argc > 7) {
        fprintf(stderr, "usage: soak PROGRAM DIRECTORY PORT SEED [FAULTS_S] [PLANTED]\n");
        return 2;
    }
    cluster->program = argv[1];
    cluster->operator_file = "/dev/null";
    cluster->directory = argv[2];
    cluster->next_port = (int)strtol(argv[3], NULL, 10);
    cluster->seed = strtoul(argv[4], NULL, 10);
    run.faults_s = argc > 5 ? strtod(argv[5], NULL) : DEFAULT_FAULTS_S;
    run.planted = argc > 6 ? argv[6] : NULL;
    (void)planted_breakage(run.planted);
    cluster->n_workers = cluster->seed % LARGE_EVERY == 0 ? LARGE_FLEET : SMALL_FLEET;
    cluster->has_proxies = true;
    cluster->decide_fate = decide_fate;
    cluster->owner = &run;
    snprintf(path, sizeof path, "%s/events.log", cluster->directory);
    events = fopen(path, "w");
    if (!events) {
        perror(path);
        return 2;
    }
    run.rng = gsl_rng_alloc(gsl_rng_taus2);
    gsl_rng_set(run.rng, cluster->seed);
    rp_log_setup("soak", rp_log_level_named("error"));
    struct sim_size size = {cluster->n_workers, cluster->n_workers / 8 + 1, 2, 14, 39, 800, 80, 10};
    cluster_open(cluster, &size);
    set_up_users(&run);
    sim_observer = observe;
    run.next_trouble_at = STARTUP_S;
    cluster->timer = (struct rp_timer){.fn = on_step, .arg = &run};
    rp_timer_set(&cluster->loop, &cluster->timer, STEP_S);
    return rp_loop_run(&cluster->loop) < 0 ? 2 : 0;
}
