/* Checks that a change of the sources preserves the nodes' behaviour: runs a fixed list of
 * simulated scenarios (digest_scenarios.c) and prints, for each run, a hash of all messages that
 * the nodes sent and a hash of the key-value store's final records. Two builds that print the same
 * lines behave the same in these runs. See README.md in this directory; `compare` builds and runs
 * two commits.
 *
 * Output, one line for each run: scenario, seed, number of messages, hash of the messages, hash of
 * the store. With --dump: the messages themselves, followed by the store's records. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include "base/log.h"
#include "digest_hash.h"
#include "digest_scenarios.h"
#include "protocol/user_codec.h"
#include "simulation/sim.h"

#define JSON_HASH_SEED 20240229 /* fixed, since jansson uses a random seed by default */
#define PLANTED_CHANGE "RP_BEHAVIOUR_PLANTED_CHANGE"
#define PLANTED_ROUND_PERIOD_S 2.5 /* the simulated nodes' regular cycle period is 2 s */
#define RESULT_MAX 256
#define MAX_PROCESSES 256

/* Changes the nodes' behaviour on purpose, so that a test can check that the hashes change: the
 * nodes run scheduling cycles less often than usual. */
static void apply_planted_change(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++)
        sim->settings[i].tuning.round_period_s = PLANTED_ROUND_PERIOD_S;
}

/* A request of an operator, passed to a node directly and not over the simulated network. `request`
 * must be the first member, since on_operator_response casts its address. */
struct operator_request {
    struct rp_request request;
    const struct sim *sim;
};

/* Hashes a node's response to an operator's request. */
static void on_operator_response(struct rp_request *request, int status, const char *body,
                                 int retry_after) {
    const struct operator_request *operator_request = (const struct operator_request *)request;
    digest_add_message(&(struct sim_message){.time = operator_request->sim->now,
                                             .to = "operator",
                                             .method = request->method,
                                             .target = request->target,
                                             .status = status,
                                             .retry_after = retry_after,
                                             .body = body});
}

/* Sends every running node the requests of operators and of the load balancer, to which nodes
 * respond immediately. */
static void request_status_of_nodes(struct sim *sim) {
    for (int i = 0; i < sim->n_nodes; i++) {
        struct rp_node *node = sim->nodes[i].node;
        struct operator_request operator_request = {
            .request = {.method = "GET", .body = "", .respond = on_operator_response}, .sim = sim};
        if (!sim->nodes[i].alive)
            continue;
        operator_request.request.target = "/status";
        rp_node_peer_request(node, &operator_request.request);
        operator_request.request.target = "/no-such-path";
        rp_node_peer_request(node, &operator_request.request);
        operator_request.request.target = RP_PATH_HEALTH;
        rp_node_client_request(node, &operator_request.request);
    }
}

/* Runs a scenario with a seed and writes the result to `line`; if `dump`, prints the messages and
 * the store. */
static void run_scenario(const struct scenario *scenario, unsigned long seed, bool dump,
                         char line[RESULT_MAX]) {
    static const struct sim_size small = {64, 6, 2, 14, 39, 200, 20, 5};
    digest_begin(dump);
    sim_standby = scenario->has_standby;
    struct sim *sim = sim_new_sized(seed, &scenario->faults, SIM_NO_BREAKAGE, scenario->n_nodes,
                                    scenario->size ? scenario->size : &small);
    digest_set_simulation(sim);
    if (getenv(PLANTED_CHANGE))
        apply_planted_change(sim);
    scenario->run(sim, seed);
    request_status_of_nodes(sim);
    if (sim->violation[0])
        fprintf(stderr, "%s %lu: a rule was violated: %s\n", scenario->name, seed, sim->violation);
    struct digest digest = digest_end(sim);
    snprintf(line, RESULT_MAX, "%s %lu %lu %s %s\n", scenario->name, seed, digest.n_messages,
             digest.messages, digest.store);
    sim_free(sim);
}

/* A run of a scenario with one seed, in a process of its own. */
struct run {
    const struct scenario *scenario;
    unsigned long seed;
    pid_t process; /* 0: not started, or ended */
    int output;    /* read end of the pipe on which the process writes its line */
    char line[RESULT_MAX];
};

static void start_run(struct run *run) {
    int ends[2];
    if (pipe(ends) != 0 || (run->process = fork()) < 0) {
        perror("behaviour_digest");
        exit(EXIT_FAILURE);
    }
    if (run->process == 0) {
        run_scenario(run->scenario, run->seed, false, run->line);
        size_t length = strlen(run->line);
        _exit(write(ends[1], run->line, length) == (ssize_t)length ? EXIT_SUCCESS : EXIT_FAILURE);
    }
    close(ends[1]);
    run->output = ends[0];
}

/* Waits for the next process that ends and reads its line. Returns false if it failed. */
static bool finish_run(struct run *runs, size_t n_runs) {
    int status = 0;
    pid_t process = wait(&status);
    for (size_t i = 0; i < n_runs; i++) {
        struct run *run = &runs[i];
        if (process <= 0 || run->process != process)
            continue;
        ssize_t length = read(run->output, run->line, sizeof run->line - 1);
        run->line[length > 0 ? length : 0] = '\0';
        close(run->output);
        run->process = 0;
        if (WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS && length > 0)
            return true;
        snprintf(run->line, sizeof run->line, "%s %lu failed\n", run->scenario->name, run->seed);
        return false;
    }
    return false;
}

/* Lists the runs of all scenarios, in the order of the table. Returns their number. */
static size_t list_runs(struct run **out) {
    size_t n = 0;
    size_t n_runs = 0;
    for (size_t i = 0; i < n_digest_scenarios; i++)
        n_runs += digest_scenarios[i].n_seeds;
    struct run *runs = n_runs > 0 ? calloc(n_runs, sizeof *runs) : NULL;
    if (!runs)
        abort();
    for (size_t i = 0; i < n_digest_scenarios; i++)
        for (unsigned long k = 0; k < digest_scenarios[i].n_seeds; k++)
            runs[n++] = (struct run){.scenario = &digest_scenarios[i],
                                     .seed = digest_scenarios[i].first_seed + k};
    *out = runs;
    return n;
}

/* Runs all scenarios, at most `max_processes` at a time. Returns the exit code. */
static int run_all(long max_processes) {
    struct run *runs;
    size_t n_runs = list_runs(&runs);
    size_t n_started = 0;
    size_t n_ended = 0;
    bool have_all_passed = true;
    while (n_ended < n_runs) {
        if (n_started < n_runs && (long)(n_started - n_ended) < max_processes) {
            start_run(&runs[n_started++]);
            continue;
        }
        have_all_passed &= finish_run(runs, n_runs);
        n_ended++;
    }
    for (size_t i = 0; i < n_runs; i++)
        fputs(runs[i].line, stdout);
    free(runs);
    return have_all_passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int run_named(const char *name, unsigned long seed, bool dump) {
    char line[RESULT_MAX];
    const struct scenario *scenario = digest_find_scenario(name);
    if (!scenario) {
        fprintf(stderr, "behaviour_digest: there is no scenario '%s'\n", name);
        return EXIT_FAILURE;
    }
    run_scenario(scenario, seed, dump, line);
    if (!dump)
        fputs(line, stdout);
    return EXIT_SUCCESS;
}

static int usage(void) {
    fprintf(stderr, "usage: behaviour_digest [--jobs N]\n"
                    "       behaviour_digest --scenario NAME --seed N [--dump]\n");
    return EXIT_FAILURE;
}

/* Options of the command line. */
struct options {
    const char *scenario; /* NULL: all scenarios */
    const char *seed;
    long max_processes; /* --jobs: processes that run at the same time */
    bool dump;
};

/* Parses the command line. Returns false if it is invalid. */
static bool read_options(int argc, char **argv, struct options *out) {
    static const struct option known[] = {{"jobs", required_argument, NULL, 'j'},
                                          {"scenario", required_argument, NULL, 's'},
                                          {"seed", required_argument, NULL, 'n'},
                                          {"dump", no_argument, NULL, 'd'},
                                          {NULL, 0, NULL, 0}};
    int option;
    while ((option = getopt_long(argc, argv, "", known, NULL)) != -1)
        switch (option) {
        case 'j':
            out->max_processes = strtol(optarg, NULL, 10);
            break;
        case 's':
            out->scenario = optarg;
            break;
        case 'n':
            out->seed = optarg;
            break;
        case 'd':
            out->dump = true;
            break;
        default:
            return false;
        }
    bool is_one_run = out->scenario && out->seed;
    bool is_every_run = !out->scenario && !out->seed && !out->dump;
    bool is_limit_valid = out->max_processes >= 1 && out->max_processes <= MAX_PROCESSES;
    return optind >= argc && is_limit_valid && (is_one_run || is_every_run);
}

int main(int argc, char **argv) {
    struct options options = {.max_processes = sysconf(_SC_NPROCESSORS_ONLN)};
    if (!read_options(argc, argv, &options))
        return usage();
    rp_log_setup("sim", rp_log_level_named(getenv("LOG_LEVEL")));
    json_object_seed(JSON_HASH_SEED);
    return options.scenario
               ? run_named(options.scenario, strtoul(options.seed, NULL, 10), options.dump)
               : run_all(options.max_processes);
}
