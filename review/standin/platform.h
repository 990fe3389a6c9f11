/** @file
 * A stand-in for everything outside the controller nodes, on loopback addresses and the real clock:
 * the key-value store, the cloud, the workers and the users of PROTOCOL, in one process with one
 * event loop. It starts the nodes as separate processes with the command of the deploy file and
 * writes to the record what is sent, answered and run. The cases in review/N/ drive it.
 *
 * Gangs of more than one task are not simulated. */
#ifndef REVIEW_PLATFORM_H
#define REVIEW_PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>
#include "http/client.h"
#include "http/server.h"

#define N_NODES 3
#define MACHINES_MAX 200
#define JOBS_MAX 64
#define ADDR_BYTES 32
#define NAME_BYTES 64

/** A machine type of the cloud. */
struct frame {
    const char *name;
    double vcpus, cards, memory_gb, price, market_price, boot_s, fetch_gb_per_s;
    /** Machines that the cloud has to give in each zone, ordinary and spot together. */
    int capacity[8];
};

/** A controller node: its process, and what the load balancer knows of it. */
struct node {
    struct platform *platform;
    int index;
    pid_t pid;          /**< 0: not running */
    double restarts_at; /**< 0: it is not to be restarted */
    bool is_healthy, is_probing;
    unsigned n_failed, n_succeeded; /**< probes in a row */
    double removed_at, probed_at, answered_at;
    double longest_silence_s; /**< longest time without an answer while its process was running */
};

/** What a case chooses; the rest is as in the site kowhai-registry. */
struct platform_options {
    const char *program;       /**< the run command of the deploy file without its arguments */
    const char *record;        /**< path of record.txt */
    const char *directory;     /**< temporary folder, for settings and logs */
    const char *team_settings; /**< JSON of params.teams */
    uint64_t first_revision;   /**< the store's revision before the first change of this run */
    const struct frame *frames;
    int n_frames;
    const char *const *zones;
    int n_zones;
    double boot_s; /**< time from the rental to the first report */
};

enum task_state { FETCHING, RUNNING, FLUSHING, EXITED };

/** A task on a machine, as its worker keeps it. */
struct task {
    int job; /**< index in the platform's jobs; -1: no such job */
    char lift[NAME_BYTES];
    uint32_t index;
    uint64_t pull;
    enum task_state state;
    const char *why;
    bool stored;
    double ready_at, ends_at;
};

struct platform;

/** A rented machine and its worker. */
struct machine {
    struct platform *platform;
    char name[NAME_BYTES], address[ADDR_BYTES];
    int frame, zone;
    bool spot, is_up, is_gone;
    double rented_at, gone_at;
    struct rp_http_server server;
    bool is_listening;
    uint64_t stint, tick, warrant;
    double renewed_at, sent_at, next_report_at;
    bool in_flight, has_changed;
    int node;
    struct task *tasks;
    size_t n_tasks, cap_tasks;
    char (*images)[NAME_BYTES];
    double *image_ready_at;
    size_t n_images;
    unsigned long n_refused_reports; /**< reports that got 400 or 413 */
    unsigned long n_lease_ends, n_killed;
    size_t largest_report; /**< bytes */
};

/** A job of a user. */
struct job {
    bool used;
    char ref[NAME_BYTES];
    json_t *spec; /**< the body that the user submits */
    double vcpus, cards, memory_gb, image_gb, brace_every_s, brace_s, run_s;
    uint32_t lifts;
    bool is_service, fails; /**< `fails`: submitted with a mistake */
    bool submitted, accepted, cancel_asked, cancelled, done;
    double answered_at; /**< when an answer last told the job's state; 0: never */
    double submit_at, accepted_at, cancel_at, cancelled_at, done_at, next_try_at, next_poll_at;
    bool in_flight;
    bool *is_result_kept;
    uint32_t n_completed;     /**< tasks that a worker has completed */
    unsigned long n_starts;   /**< starts of tasks: the image is there and the task runs */
    unsigned long n_killed;   /**< running tasks that ended with their worker's lease */
    unsigned long n_received; /**< start commands that workers have received */
    double first_start_at;    /**< 0: no task has run */
    uint32_t n_running;
};

/** What a user submits, and when. All types and zones are allowed, and no checkpoints are saved. */
struct job_options {
    const char *rig, *crew, *haul, *precedence, *payload;
    uint32_t lifts;
    double vcpus, cards, memory_gb;
    double run_guess_s, run_s; /**< the owner's estimate, and a task's true run time */
    double submit_at;
    double cancel_at; /**< 0: never */
};

struct store;

struct platform {
    struct platform_options options;
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_http_server store_server, cloud_server;
    char store_addr[ADDR_BYTES], cloud_addr[ADDR_BYTES];
    char node_addr[N_NODES][ADDR_BYTES], peer_addr[N_NODES][ADDR_BYTES];
    const char *directory;
    struct node nodes[N_NODES];
    struct timespec started_at;
    struct rp_timer timer;
    struct store *store;
    struct machine machines[MACHINES_MAX];
    int n_machines;
    struct job jobs[JOBS_MAX];
    int n_jobs;
    json_t *hires; /**< hire -> answer */
    double cloud_tokens, cloud_tokens_at;
    int user_node;
    FILE *record;
    unsigned long n_bad_pulls;                   /**< start commands whose `pull` is no count */
    unsigned long n_hires, n_refused_hires;      /**< answers 200 and 503 to rental requests */
    void (*step)(struct platform *, double now); /**< called by the case's main about 100 times a
                                                      second */
};

/** Seconds since the start of the run. */
double platform_now(const struct platform *platform);
/** Writes a line, with the time, to the record. */
void platform_note(struct platform *platform, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Opens the servers, writes the settings and starts the nodes. */
void platform_start(struct platform *platform, const struct platform_options *options,
                    void (*step)(struct platform *, double now));
/** Runs until a step calls platform_finish. */
int platform_run(struct platform *platform);
/** Ends all processes that were started, and exits with `code`: 0 the rule held, 1 it was broken,
 * 2 the case could not run. */
_Noreturn void platform_finish(struct platform *platform, int code, const char *why);
/** Ends a node's process without a signal to it, as the platform does, and starts it again after
 * `after_s`. */
void platform_crash(struct platform *platform, int index, double after_s);
/** The node that the leader's key names; -1: the key is free. */
int platform_leader(const struct platform *platform);
/** Adds a job. */
struct job *platform_add_job(struct platform *platform, const struct job_options *options);
/** Whether a task of the job fits on the machine beside the tasks that are there, as its worker
 * knows them. */
bool platform_has_room(const struct platform *platform, const struct machine *machine,
                       const struct job *job);

/** Whether the case is run with its disruption: unless TROUBLE is 0. */
bool platform_has_trouble(void);
/** Whether some machine that is up, and that the job allows, has room for a task of the job. The
 * jobs of the cases allow every type and zone. */
bool platform_has_room_for(const struct platform *platform, const struct job *job);
/** A port of the loopback interface that was free a moment ago. */
int free_port(void);

/* store.c */
struct store *store_new(struct platform *platform, uint64_t first_revision);
void store_on_request(void *arg, struct rp_request *req);
void store_step(struct store *store, double now);
uint64_t store_revision(const struct store *store);
/** The node that the leader's key names; "" if the key is free. */
const char *store_leader(struct store *store);
/* machines.c */
void cloud_on_request(void *arg, struct rp_request *req);
void machines_step(struct platform *platform, double now);

#endif
