/* A small world for whole nodes: stand-ins of the key-value store, the cloud, workers and users
 * that speak the published protocol, a network that loses, delays, repeats and reorders, and the
 * rules, checked after each step. Everything follows from the seed. */
#ifndef RP_SIM_H
#define RP_SIM_H

#include <gsl/gsl_rng.h>
#include <jansson.h>
#include "controller/node.h"
#include "controller/node_requests.h"
#include "engine.h"

#define SIM_NODES_MAX 5
#define SIM_WORKERS 4200
#define SIM_TASKS 64 /* on one machine */
#define SIM_JOBS 640
#define SIM_JOB_TASKS 40
#define SIM_KEYS 4096
#define SIM_EVENTS 16384
#define SIM_LEASES 64

/* Faults, as chances for a message or shares of time; all zero: a quiet day. */
struct sim_faults {
    double drop;            /* the request or its answer never arrives */
    double delay;           /* the request is carried out seconds later, its answer is lost */
    double duplicate;       /* a copy of the request is carried out once more, later */
    double crash_s;         /* mean time between crashes of some node, 0: none */
    double store_outage_s;  /* mean time between outages of the key-value store */
    double store_refusal_s; /* mean time between single nodes' cuts from the key-value store */
    double pause_s;         /* mean time between hangs of some worker */
    double machine_crash_s; /* mean time between deaths of some worker */
    double node_pause_s;    /* mean time between stalls of some node */
    double spot_notice_s;   /* mean time between takings of some spot machine, most with notice */
    double task_error;      /* chance that a task fails */
    double
        late_duplicate; /* chance that a heartbeat's copy comes, seconds to several leases late */
    double one_way_partition_s; /* mean time until some machine's answers stop coming, though its
                                   heartbeats go */
    double partitioned_node_s;  /* mean time until a node loses key-value store and nodes, not the
                                   workers */
    double
        fast_restart_s; /* mean time between ends of processes and machines that are back at once */
    double
        unreachable_s; /* mean time until some machine reaches no node; direct commands reach it */
    double peer_partition_s;  /* mean time until nodes can't connect to one another for a while */
    double invalid_request_s; /* mean time between requests that are wrong in some way */
    double slow_store;        /* share of the key-value store's answers that take up to 1.4 s */
    double delayed_write;     /* a transaction gets no answer, and is carried out 2 to 12 s later */
    double dropped_answer;    /* a transaction is carried out at once, only its answer is lost */
    double
        held_duplicate;  /* a heartbeat's copy comes to every node just as the next leader begins */
    double boot_failure; /* a machine stays booting, and charged, until it is given back */
    double fast_boot;    /* a machine is up within two seconds */
    double replica_exit_s; /* mean time until some replica of a service ends by itself */
};

/* How large the world is, and its time constants. */
struct sim_size {
    int workers;  /* machines at one time, at most SIM_WORKERS */
    int capacity; /* machines of a type in a zone, ordinary or spot */
    double heartbeat_s, lease_s, cancel_s;
    double rps, write_rps, cloud_rps;
};

/* Deliberately broken worlds, to show that the checks can fail. */
enum sim_breakage {
    SIM_SOUND,
    SIM_WORKERS_KEEP_TASKS, /* a lease's end kills nothing */
    SIM_STORE_IGNORES_CONDITIONS,
    SIM_WORKERS_IGNORE_STOPS,  /* cancelled tasks go on */
    SIM_DUPLICATES_LOOK_NEW,   /* copies of heartbeats carry a number above all others */
    SIM_POLLS_ARE_DROPPED,     /* no question about the first job is answered */
    SIM_LARGE_NEVER_BEGIN,     /* tasks of the largest jobs fetch their image for ever */
    SIM_REPLICAS_NEVER_START,  /* services' tasks fetch their image for ever */
    SIM_INVALID_IS_ACCEPTED,   /* what can't run, or lacks a field, is accepted */
    SIM_ANSWERS_ARE_STALE,     /* a job called done is called pending again */
    SIM_RENEWED_WITHOUT_STOPS, /* workers take answers for renewals, and leave the stops undone */
    SIM_DONE_TOO_EARLY,        /* tasks are reported as done before they are */
    SIM_GANGS_ARE_NOT_SERVED,  /* their users never hear of an end */
    SIM_LIMIT_IS_LOWER,        /* teams' limits are lower than the nodes are told */
    SIM_MACHINES_ELSEWHERE,    /* machines stand in another zone than the cloud says */
    SIM_UNKNOWN_IS_FOUND,      /* a job that nobody submitted is answered for */
    SIM_STARTS_ARE_DROPPED     /* no start of the second job's tasks is executed */
};

/* Where nodes of the version before come from: the really built one (tests/mixed/run), or, NULL,
 * this version's that keeps to the old forms and is shown nothing else. */
extern const struct sim_engine *sim_old_engine;

/* Whether the nodes take part in takeovers; from the environment (RP_SIM_STANDBY) as well. */
extern bool sim_standby;

/* Something that leaves a node: a request, or its answer to one. */
struct sim_message {
    double time; /* the world's */
    int from;    /* the node's index */
    const char *to;
    const char *method, *target; /* "" where a user or a worker is answered */
    int status;                  /* 0: a request */
    int retry_after;
    const char *body; /* "": none */
};

/* Is shown every message at the moment at which it leaves a simulated node; NULL: nobody looks.
 * What happens in the world doesn't depend on it. */
extern void (*sim_observer)(const struct sim_message *message);

/* What the key-value store takes; 0: as its settings say. */
struct sim_limits {
    double value_bytes, txn_ops, write_rps;
};

struct sim_task {
    char job[RP_ID_MAX];
    int job_index;
    uint32_t index;
    uint64_t attempt;
    int state; /* enum rp_task_state */
    const char *exit_reason;
    bool checkpointed;
    double ready_at; /* image fetched, saved */
    double began_at; /* running since, saved progress taken off */
    double stopped_at;
};

struct sim_worker {
    bool used, alive, up;
    char name[RP_TEXT_MAX];
    int type, zone;
    bool spot;
    bool fails_tasks; /* fails whatever starts on it */
    double provisioned_at, boots_at, paused_until;
    double one_way_partition_until; /* its heartbeats arrive, answers and direct commands don't */
    double unreachable_until;       /* it reaches no node, direct commands reach it */
    double reclaimed_at;            /* 0: not to be taken */
    uint64_t incarnation, sequence_number, fencing_token;
    double renewed_at; /* when the last answered heartbeat was sent */
    struct sim_task tasks[SIM_TASKS];
    int n_tasks;
    int node; /* gets its heartbeats */
    bool heartbeat_in_flight;
    double sent_at, next_heartbeat_at;
    uint64_t heartbeat_number; /* number of the heartbeat in flight */
    bool changed;
    double exited_at; /* when a task last exited with nothing started since; 0: none */
};

struct sim_job {
    bool used;
    struct rp_job_spec spec;
    char *body;
    bool accepted, told_done, told_cancelled, cancel_asked, begun;
    double answered_at; /* when a question about it was last answered */
    double cancelled_at, told_at, accepted_at, poll_at, submit_at, cancel_at;
    bool done[SIM_JOB_TASKS];
    bool fails_always;
    double checkpointed_s[SIM_JOB_TASKS]; /* saved progress of an array's task */
    double stagger_s;                     /* each task runs so much longer than the one before it */
    bool cancel_at_end, cancel_on_acceptance;
    bool cancel_again;                /* when it is over already */
    double placeable_since;           /* it waits though there is capacity; 0: it doesn't */
    double down_since[SIM_JOB_TASKS]; /* of a replica; 0: it runs */
    double down_s, up_s;              /* replicas' time, summed up, from 10 s after acceptance on */
};

struct sim_node {
    bool alive;
    unsigned long process_number;
    struct rp_loop loop;
    struct rp_node *node; /* NULL: of the engine */
    void *old_node;
    bool is_old_version;  /* of the version before */
    bool restarts_as_old; /* once it has ended */
    char *settings;       /* its settings file */
    double clock_drift, clock_offset_s, restarts_at, paused_until, store_refusal_until;
    double partitioned_until; /* cut from the key-value store and the other nodes */
};

struct sim_key {
    char *key;
    json_t *value;
    uint64_t revision, lease;
};

struct sim_lease {
    uint64_t id;
    double expires_at, ttl_s;
};

struct sim_event;

/* How a world reaches nodes that are processes of their own (tests/loopback). */
struct sim_remote {
    void *ctx;
    /* Sends a node a request; `answered` is called once, status 0: no answer. */
    void (*call)(void *ctx, int node, const char *method, const char *target, const char *body,
                 rp_answer_fn answered, void *arg);
    /* Where nodes reach a worker. */
    const char *(*worker_addr)(void *ctx, int worker);
};

struct sim {
    const struct sim_remote *remote; /* NULL: the nodes are simulated as well */
    gsl_rng *rng;
    unsigned long steps;
    struct sim_size size;
    double now;
    int n_nodes;
    struct sim_faults faults;
    struct sim_limits limits;           /* in force */
    struct sim_limits announced_limits; /* what is to fit from the activation on */
    double format_active_at;            /* 0: not yet */
    double write_tokens, write_tokens_at;
    unsigned long n_oversized_writes, n_rate_limited_writes, n_direct;
    double faults_ended_at; /* all faults are over, 0: they aren't */
    enum sim_breakage breakage;
    struct rp_settings settings[SIM_NODES_MAX];
    struct sim_node nodes[SIM_NODES_MAX];
    struct sim_worker workers[SIM_WORKERS];
    struct sim_job jobs[SIM_JOBS];
    int n_jobs;
    struct sim_key keys[SIM_KEYS];
    int n_keys;
    struct sim_lease leases[SIM_LEASES];
    uint64_t next_lease, revision;
    json_t *change_log; /* changes, for watches */
    double store_outage_until;
    double cloud_outage_until;
    int delayed_worker;          /* 1 + the worker whose heartbeats are held back, 0: none */
    double delayed_until;        /* and arrive then */
    int partitioned_zone;        /* 1 + the zone whose machines reach no node, 0: none */
    int node_in_partition;       /* 1 + the node that is cut off with that zone, 0: none */
    int node_without_heartbeats; /* 1 + the node that no heartbeat reaches, 0: none */
    double peer_partition_until; /* no node can connect to another */
    bool has_eager_users;        /* users ask twenty times as often */
    bool has_concurrent_reads;   /* users look at all nodes after each change of a job */
    uint64_t last_fencing_token;
    json_t *provisioned; /* request name -> answer */
    int next_machine;
    struct sim_event *events[SIM_EVENTS];
    int n_events;
    char violation[256]; /* the first rule that broke, "" for none */
    unsigned long n_starts, n_done_jobs, n_task_errors;
    uint64_t started_token; /* the highest token under which a worker has accepted a start, */
    double started_at;      /* and when it accepted the first one */
    /* Counted, so that tests can tell that a fault came about. */
    unsigned long n_delayed_writes, n_dropped_answers, n_held_duplicates, n_held_delivered,
        n_leaders, n_concurrent_reads;
    unsigned long n_invalid_requests, n_invalid_refused, n_cancelled_at_end,
        n_direct_to_unreachable;
    double start_after_cancel_s; /* from a confirmed cancellation to a start of the job, at the
                                    worst */
    /* Counted, so that tests can bound what things cost. */
    unsigned long n_state_reads, n_state_lists, n_rows_read, n_polls;
    unsigned long n_comparisons; /* transactions without changes */
    unsigned long n_polls_known; /* questions that got the job's state */
    double idle_s; /* between a task's exit and the next start on its machine, summed up */
    unsigned long n_idle;
};

struct sim *sim_new(unsigned long seed, const struct sim_faults *faults, enum sim_breakage breakage,
                    int n_nodes);
struct sim *sim_new_sized(unsigned long seed, const struct sim_faults *faults,
                          enum sim_breakage breakage, int n_nodes, const struct sim_size *size);
/* A world whose nodes are processes of their own: it goes on by sim_step alone, and is told of what
 * they ask the key-value store ("state"), the cloud ("cloud") or a worker (by its name). */
struct sim *sim_new_remote(unsigned long seed, int n_nodes, const struct sim_size *size,
                           const struct sim_remote *remote);
void sim_step(struct sim *sim, double now);
void sim_remote_request(struct sim *sim, const char *addr, const char *method, const char *target,
                        const char *body, rp_answer_fn fn, void *arg);
/* Ends all faults: from now on every accepted job must be known and begin in time. */
void sim_end_faults(struct sim *sim);
/* At the end of a day: notes a broken rule if under half of a class or of its largest jobs has been
 * served. */
void sim_check_served(struct sim *sim);
void sim_free(struct sim *sim);
/* Lets the world go on; stops early when a rule breaks. */
void sim_run(struct sim *sim, double seconds);
/* Submits a job at a time; returns its index. Gangs are urgent, but for "ensemble:low". */
int sim_submit(struct sim *sim, double submit_at, const char *kind, unsigned tasks, double cpus,
               double run_s, double cancel_at);
/* Another value for a field of a job that is still to be submitted. */
void sim_set_field(struct sim *sim, int index, const char *field, json_t *value);
/* An array whose description is longer than the lowered limits let one value be. */
int sim_submit_long(struct sim *sim, double submit_at, unsigned tasks, double run_s);
/* Users call off so many jobs that run, at once; with `hang_s`, some of their machines hang. */
void sim_cancel_running(struct sim *sim, int count, double hang_s);
bool sim_all_terminal(const struct sim *sim);
/* Kills a node's process; it comes back `back_s` later. */
void sim_crash(struct sim *sim, int index, double back_s);
/* The same, and from then on it is of this version. */
void sim_upgrade(struct sim *sim, int index, double back_s);
/* Makes all nodes of the version before, at the beginning of a day. */
void sim_start_as_old_version(struct sim *sim);
/* The key-value store takes less from now on: what the settings announce. */
void sim_lower_limits(struct sim *sim);
/* A record that stands in the key-value store from before. */
void sim_put_record(struct sim *sim, const char *key, const char *text);
const json_t *sim_find_record(struct sim *sim, const char *key);
/* Whether some record of progress holds the task's result. */
bool sim_has_stored_result(struct sim *sim, const char *job, uint32_t task);
size_t sim_count_stored(struct sim *sim, const char *prefix);
int sim_leader(const struct sim *sim);

#endif
