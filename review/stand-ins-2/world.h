/* Stand-ins for a small deployment on loopback addresses and the real clock: the state service, the
 * cloud, the workers, the users and the platform that starts and ends the controllers. They follow
 * the users' pages; what a case makes them do besides is a trouble that the pages name. One process
 * runs them all, and writes what was sent, answered and run to the case's record. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <stdbool.h>
#include "base/net.h"

#define WORLD_NODES 3
#define WORLD_MACHINES_MAX 64
#define WORLD_TASKS_MAX 64
#define WORLD_JOBS_MAX 64
#define WORLD_TEXT_MAX 96

enum task_state { TASK_FETCHING, TASK_RUNNING, TASK_FLUSHING, TASK_EXITED };

struct world_job {
    char ref[32];
    const char *haul, *crew;
    const char *frame; /* the only allowed machine type; NULL: any */
    const char *yard;  /* the only allowed zone; NULL: any */
    double cards;
    const char *precedence; /* NULL: low */
    bool has_mistake;       /* its tasks fail on every machine */
    int lifts;
    double vcpus, run_s;
    double submit_at; /* seconds since the start of the case */
    int node;         /* the node that its user submits to */
    bool is_accepted;
    double accepted_at;
    double cancelled_at; /* when its user was told that it is cancelled; 0: not yet */
};

struct world_task {
    struct world_job *job;
    int index;
    json_int_t pull;
    enum task_state state;
    const char *why;
    double ready_at, running_since;
};

struct world_machine {
    char name[WORLD_TEXT_MAX], address[32];
    const char *frame, *yard;
    double vcpus, cards; /* of its type */
    bool is_spot, is_up, is_gone;
    bool is_cut; /* no message from or to it arrives; its tasks go on */
    double rented_at, boots_at;
    int node; /* the node that it reports to */
    json_int_t stint, tick, warrant;
    double session_since; /* when the last answered report was sent, or the session began */
    bool is_report_in_flight, has_changed;
    unsigned long report_number;
    double sent_at, report_at, token_change_at;
    struct world_task tasks[WORLD_TASKS_MAX];
    int n_tasks;
};

/* What a case sets before world_start. */
struct world_options {
    const char *name;          /* of the case; part of the names of its temporary files */
    const char *record_path;   /* where the record is written */
    const char *catalog;       /* body of the response to GET /catalog */
    const char *teams, *zones; /* JSON, for the settings */
    const char *state;         /* JSON: params.state of the settings */
    const char *objectives;    /* JSON */
    const char *name_prefix;   /* before the number in the machines' names */
    double fetch_s;            /* time of an image fetch */
    double lease_s, report_s, cancel_s;
    /* The number of machines of this type, zone and kind that the cloud has. NULL: any number. */
    int (*capacity)(const char *frame, const char *yard, bool is_spot);
    double duration_s;           /* the case ends after this time */
    double (*boot_s)(int index); /* time until the machine with this number is up */
    void (*on_step)(void);       /* called about every 20 ms */
    /* What happens to a transaction: 0: it is carried out at once and answered; above 0: it gets no
     * answer and is carried out that many seconds later. NULL: 0. */
    double (*late_write_s)(const json_t *body);
    /* Called when a task has its image, before it is marked as running. */
    void (*on_task_start)(struct world_machine *machine, struct world_task *task);
    /* Called with each answer to a poll. */
    void (*on_poll_answer)(int node, struct world_job *job, double sent_at, int status,
                           const json_t *body);
};

extern struct world_options options;
extern struct world_machine machines[WORLD_MACHINES_MAX];
extern int n_machines;
extern struct world_job jobs[WORLD_JOBS_MAX];
extern int n_jobs;

/* Seconds since the start of the case. */
double world_now(void);
/* Writes a line to the record, with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Starts the stand-ins and the controllers, runs the loop for options.duration_s or until
 * world_end, ends all processes and returns the code that was passed to world_end (0 otherwise).
 * Returns 2 if the case could not run. */
int world_run(void);
void world_end(int code);

/* ---- the platform ---- */

void node_kill(int node);  /* SIGKILL */
void node_start(int node); /* with the same settings */
bool node_is_running(int node);
/* While refused, connections of the controllers to one another are refused. */
void peers_refuse(bool is_refused);

/* ---- the state service ---- */

/* The node named by the leader's key; -1: none. */
int leader_node(void);
/* The number of keys below the prefix, and the value of a key (NULL: none). */
int n_keys_below(const char *prefix);
const json_t *stored_value(const char *key);

/* ---- workers and users ---- */

/* What the tasks on the machine leave free. */
double free_vcpus(const struct world_machine *machine);
bool task_is_on_machine(const struct world_machine *machine, const struct world_task *task);
struct world_job *add_job(const char *ref, const char *haul, int lifts, double vcpus, double run_s,
                          double submit_at, int node);
void poll_job(int node, struct world_job *job);
void cancel_job(int node, struct world_job *job);

#endif
