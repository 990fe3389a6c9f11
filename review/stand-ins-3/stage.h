/* A small deployment on loopback for the cases of review/: three controller processes, which are
 * started with the command of the deploy file, and in this process stand-ins of the key-value
 * store, the cloud, the workers and the users. They follow PROTOCOL; where it says nothing, they
 * behave like sound ones. Each case has a script (cases.c), which decides what happens when. */
#ifndef REVIEW_STAGE_H
#define REVIEW_STAGE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/loop.h"
#include "http/client.h"
#include "http/server.h"

#define NODES 3
#define MACHINES_MAX 64
#define TASKS_MAX 64 /* of one machine */
#define JOBS_MAX 400
#define NAME_BYTES 64
#define ADDRESS_BYTES 32

/* ---- controllers ---- */

struct controller {
    int pid; /* 0: not running */
    char name[16];
    char client_addr[ADDRESS_BYTES], peer_addr[ADDRESS_BYTES];
    char settings_file[256];
};

/* ---- workers and machines ---- */

enum task_state { FETCHING, RUNNING, EXITED };

struct task {
    char job[NAME_BYTES];
    unsigned index;
    uint64_t attempt;
    enum task_state state;
    double ends_at; /* of the fetch, or of the run; 0: never */
    const char *exit_reason;
};

struct machine {
    bool exists, has_stopped; /* has_stopped: without power; it stays silent */
    bool is_cut;              /* nothing reaches it, and nothing comes from it */
    char name[NAME_BYTES], hire[NAME_BYTES], address[ADDRESS_BYTES];
    const char *type, *zone;
    bool spot;
    double requested_at, up_at, gone_at, stopped_at;
    struct rp_http_server server;
    bool has_server;
    /* the worker */
    uint64_t stint, tick, warrant, warrant_reported;
    double session_began_at, answered_sent_at, next_report_at, last_report_at;
    bool is_reporting, has_changed;
    unsigned report_number;
    int node; /* to which it reports */
    struct task tasks[TASKS_MAX];
    size_t n_tasks;
    char image[NAME_BYTES]; /* the image in its cache */
};

/* ---- users ---- */

struct job {
    char id[NAME_BYTES];
    json_t *body;
    double run_s, fetch_s; /* true run and fetch time of a task */
    double submitted_at, accepted_at, cancel_asked_at, cancelled_at, done_told_at;
    double next_try_at, next_poll_at, next_cancel_at;
    double poll_every_s; /* 0: nobody asks */
    bool in_flight;
    double
        failing_since; /* when the first poll after the last answer was sent; 0: it was answered */
    double longest_failing_s;
    unsigned n_polls, n_answered, n_failed_in_a_row;
    char state[16];
    unsigned n_tasks_done;
};

/* ---- the whole ---- */

struct stage {
    struct rp_loop loop;
    struct rp_http_client client;
    struct rp_net net;
    struct timespec began_at;
    FILE *record;
    const char *program, *directory;
    bool has_trouble;
    int next_port;
    struct controller nodes[NODES];
    struct rp_http_server store_server, cloud_server;
    char store_addr[ADDRESS_BYTES], cloud_addr[ADDRESS_BYTES];
    struct machine machines[MACHINES_MAX];
    size_t n_machines;
    struct job jobs[JOBS_MAX];
    size_t n_jobs;
    int next_node; /* of the load balancer */
    bool is_cloud_out;
    /* options of a case: the deployment's numbers, as its page has them */
    double report_s, lease_s, cancel_s;
    double state_rps, state_write_rps, cloud_rps;
    double cpu_share, memory_mb;
    int max_connections;
    bool lists_newest_first; /* the store's watch lists the newest change first */
    double watch_delay_s;    /* every third answer of the store to a watch comes that late */
    char broken[400];        /* the rule that was broken, and how */
    bool is_over;
    const char *unable; /* why the case could not run */
};

extern struct stage stage;

double now_s(void);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
void break_rule(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* store.c */
void store_request(void *arg, struct rp_request *req);
void store_step(void);
const json_t *store_value(const char *key);
uint64_t store_revision(void);

/* machines.c */
void cloud_request(void *arg, struct rp_request *req);
void machines_step(void);
struct machine *machine_of_task(const char *job, unsigned index);
unsigned n_tasks_in(const char *job, enum task_state state);

/* stage.c */
void start_node(int index);
void kill_node(int index);
void signal_node(int index, int signal_number);
int leading_node(void);
bool open_server(struct rp_http_server *server, char address[ADDRESS_BYTES], rp_request_fn fn,
                 void *arg);
struct job *add_job(const char *haul, unsigned n_tasks, double cpus, double gpus, double run_s,
                    double fetch_s, const char *frame, double poll_every_s);
struct job *find_job(const char *id);
void cancel_job(struct job *job);
bool is_accepted(const struct job *job);

/* cases.c */
bool set_case(const char *name);
void case_step(double t);

#endif
