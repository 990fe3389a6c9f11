/** @file
 * Who may be where: machines, and on each the tasks that may be on it. A task may be started only
 * by rp_cluster_may_start's leave, which counts everything that MAY be on a machine: in flight,
 * fetching, stopping, on machines that can't be reached. */
#ifndef RP_CLUSTER_CLUSTER_H
#define RP_CLUSTER_CLUSTER_H

#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/heartbeat.h"
#include "model/job_spec.h"

enum rp_machine_state {
    RP_MACHINE_BOOTING,      /* rented, has not reported yet, can hold nothing */
    RP_MACHINE_UNRECONCILED, /* from an earlier leader's records: may hold any task */
    RP_MACHINE_UP,           /* its reports are the truth */
    RP_MACHINE_LOST,         /* silent beyond its lease: holds nothing, is to be returned */
    RP_MACHINE_RELEASING     /* the cloud is being told; never used again */
};

enum rp_allocation_state {
    RP_ALLOCATION_PLANNED, /* no command has been sent: can be dropped at once */
    RP_ALLOCATION_SENT,    /* the start is in a report's answer; a newer report settles it */
    RP_ALLOCATION_SEEN,    /* in the machine's newest report */
    RP_ALLOCATION_EXITED   /* reported as exited: no longer on the machine, to be forgotten */
};

struct rp_allocation {
    struct rp_job *job;
    uint32_t task;
    uint64_t attempt;
    enum rp_allocation_state state;
    enum rp_task_state task_state;
    enum rp_exit_reason exit_reason;
    uint64_t sent_seq;          /* number of the report whose answer carried the start */
    uint64_t seen_seq;          /* number of the newest message that listed it */
    bool started_directly;      /* the start went as a direct command: copies of it may come late */
    bool direct_start_pending;  /* and that command's answer is still waited for */
    struct timespec planned_at; /* planned */
    struct timespec running_since; /* first seen running */
    bool stop_requested;           /* is to be stopped */
    double grace_s;
    struct timespec stop_sent_at;
    bool marked; /* scratch of a report's reading */
};

#define RP_IMAGES_KEPT 128 /* by 24 bytes; beyond, the one used longest ago is forgotten */
#define RP_UNKNOWN_TASKS_KEPT 256

/** A task on a machine whose job this leader doesn't know (any more): stopped and forgotten. */
struct rp_unknown_task {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    bool exited;
};

struct rp_image {
    uint64_t hash; /* of the name: a wrong guess costs a fetch, no more */
    double gb;
    struct timespec used;
};

struct rp_provision_request;

/** The exchange with a machine's worker, and what it proves. A time of zero: never. */
struct rp_machine_contact {
    uint64_t incarnation;   /* of the worker; it grows each time the worker's lease expires */
    uint64_t seq;           /* of the newest message: a heartbeat or a direct command's answer */
    uint64_t heartbeat_seq; /* of the newest heartbeat */
    unsigned n_direct;      /* direct commands and probes sent since that heartbeat */
    bool unreachable;       /* a direct command found no way there, and nothing has come since */
    bool probing;           /* a probe is under way */
    unsigned probes_failed; /* in a row */
    struct timespec probed_at;
    bool fencing_token_seen;    /* the newest heartbeat shows this leader's token */
    bool known_by_fencing_only; /* it answered a new leader's token, but sent no heartbeat yet */
    struct timespec last_heartbeat;
    struct timespec last_heard;   /* the newest message of any kind */
    struct timespec lease_expiry; /* its tasks are gone by then unless it is answered again */
    struct timespec first_answer, last_answer; /* sent by this leader */
    uint64_t lost_incarnation;          /* in which it was lost; 0: none that this leader knows */
    struct timespec answers_lost_since; /* heartbeats arrive, but answers don't get there */
};

/** The cloud is about to take a spot machine away. */
struct rp_spot_notice {
    bool received;
    struct timespec ends_at;
};

/** Errors of tasks, as evidence against the machine (quarantine.h). */
struct rp_machine_health {
    unsigned consecutive_errors; /* since the last task that ended well */
    unsigned n_error_jobs;       /* jobs that these errors were of */
    uint64_t last_error_job;     /* the last of them, as a hash of its id */
    bool suspected;              /* either the machine or that job is at fault */
    struct timespec suspected_until;
    bool quarantined;
};

/** Capacity kept for one job. */
struct rp_reservation {
    char job_id[RP_ID_MAX]; /* "": none */
    struct timespec until;
};

/** The way of a machine back to the cloud. */
struct rp_scale_in {
    bool draining;         /* its work moves elsewhere first */
    struct timespec since; /* in RP_MACHINE_RELEASING */
    bool delete_sent;
    unsigned n_lists_missing; /* lists of the cloud, in a row, that didn't name it */
    bool listed_failed;       /* the cloud lists it as failed */
};

struct rp_machine {
    /* What it is. */
    char name[RP_TEXT_MAX], addr[RP_TEXT_MAX];
    int type; /* index in the catalog; -1: a type that it doesn't have */
    int zone; /* index in the catalog's zones; -1: unknown */
    bool spot;
    /* Its lifecycle. */
    enum rp_machine_state state;
    bool recorded;    /* its name is durable */
    bool up_recorded; /* and that it is up: only then may starts go to it */
    struct rp_provision_request *provision_request;
    struct timespec requested_at, up_at, lost_since;
    struct rp_scale_in scale_in;
    struct rp_machine_contact contact;
    struct rp_spot_notice spot_notice;
    struct rp_machine_health health;
    struct rp_reservation reservation;
    /* What it holds. */
    struct rp_allocation *allocations;
    size_t n_allocations, cap_allocations;
    struct rp_unknown_task *unknown_tasks;
    size_t n_unknown_tasks;
    size_t n_unknown_live; /* of them those that haven't exited, and those beyond the bound */
    struct rp_image *images;
    size_t n_images, cap_images;
    struct rp_machine *prev, *next;
    struct rp_machine *hash_next;
};

#define RP_CLUSTER_BUCKETS 8192

struct rp_cluster {
    struct rp_loop *loop;
    struct rp_jobs *jobs;
    const struct rp_settings *settings;
    const struct rp_catalog *catalog;
    struct rp_machine *first, *last;
    size_t n_machines;
    struct rp_machine *buckets[RP_CLUSTER_BUCKETS];
    /* The machines that may hold tasks this leader doesn't know of; found anew after a change. */
    struct rp_machine **unreconciled;
    size_t n_unreconciled, cap_unreconciled;
    bool unreconciled_stale;
    size_t n_with_unknown_live;    /* machines that hold tasks of unknown jobs, not exited */
    double *team_cpus, *team_gpus; /* what each team's tasks may use now */
    uint64_t fencing_token;
    uint64_t attempt_base, attempt_next;
    /* A machine's address or session is known anew, it is being returned, or it is gone; NULL:
     * nobody wants to know. */
    void (*on_machine)(void *arg, const struct rp_machine *machine, bool gone);
    void *on_machine_arg;
};

int rp_cluster_init(struct rp_cluster *cluster, struct rp_loop *loop, struct rp_jobs *jobs,
                    const struct rp_settings *settings, const struct rp_catalog *catalog);
/** Forgets everything and starts numbering attempts for this token. */
void rp_cluster_reset(struct rp_cluster *cluster, uint64_t token);
void rp_cluster_free(struct rp_cluster *cluster);

struct rp_machine *rp_machine_find(const struct rp_cluster *cluster, const char *name);
struct rp_machine *rp_machine_add(struct rp_cluster *cluster, const char *name,
                                  enum rp_machine_state state);
/** The machine is certainly gone: everything on it is, too. */
void rp_machine_remove(struct rp_cluster *cluster, struct rp_machine *machine);
/** The one place where a machine changes its state. */
void rp_machine_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                          enum rp_machine_state state);
/** Where it can be reached, and in which session, as its newest message says. */
void rp_machine_note_contact(struct rp_cluster *cluster, struct rp_machine *machine,
                             const char *addr, uint64_t incarnation);
/** Whether its newest report shows our token. */
void rp_machine_note_fencing_token(struct rp_cluster *cluster, struct rp_machine *machine,
                                   bool seen);
/** Forgets, and adds, tasks of jobs that this leader doesn't know; false beyond
 * RP_UNKNOWN_TASKS_KEPT. */
void rp_machine_clear_unknown_tasks(struct rp_cluster *cluster, struct rp_machine *machine);
bool rp_machine_add_unknown_task(struct rp_cluster *cluster, struct rp_machine *machine,
                                 const struct rp_unknown_task *unknown_tasks);
/** The session is over: no task of it is on the machine any more. */
void rp_machine_end_incarnation(struct rp_cluster *cluster, struct rp_machine *machine);

/** Unique over all leaders: the token and a count. */
uint64_t rp_cluster_next_attempt(struct rp_cluster *cluster);
/** No machine may hold tasks that this leader doesn't know of. */
bool rp_cluster_is_reconciled(struct rp_cluster *cluster);
/** No machine may hold tasks of this job that this leader doesn't know of. */
bool rp_cluster_is_job_reconciled(struct rp_cluster *cluster, const struct rp_job *job);
struct rp_resources rp_machine_free_resources(const struct rp_cluster *cluster,
                                              const struct rp_machine *machine);
bool rp_machine_is_usable(const struct rp_machine *machine);
bool rp_machine_is_one_way_partitioned(const struct rp_machine *machine);
/** The types, zones and kinds that the job allows. */
bool rp_cluster_is_allowed(const struct rp_cluster *cluster, const struct rp_job_spec *spec,
                           int type, int zone, bool spot);
bool rp_cluster_may_start(struct rp_cluster *cluster, const struct rp_job *job, uint32_t task,
                          const struct rp_machine *machine);
/** What the very message that starts a task gives back before: of the machine's room, and of what
 * the job's team uses. */
struct rp_released_resources {
    struct rp_resources room, team;
};
/** The same with that. */
bool rp_cluster_may_start_after_release(struct rp_cluster *cluster, const struct rp_job *job,
                                        uint32_t task, const struct rp_machine *machine,
                                        const struct rp_released_resources *freed);
/** How far one more task of the job would be beyond its team's limit; not above 0: it isn't. */
struct rp_resources rp_cluster_over_quota(const struct rp_cluster *cluster,
                                          const struct rp_job *job);
/** Nothing is on the machine, nor may be. What has ended may still be listed: attempts that were
 * started directly are kept known there, so that late copies of their starts do nothing. */
bool rp_machine_is_idle(const struct rp_machine *machine);
struct rp_allocation *rp_allocation_add(struct rp_cluster *cluster, struct rp_machine *machine,
                                        struct rp_job *job, uint32_t task, uint64_t attempt,
                                        enum rp_allocation_state state);
/** The one place where an allocation changes its state; keeps all counts. */
void rp_allocation_set_state(struct rp_cluster *cluster, struct rp_machine *machine,
                             struct rp_allocation *allocation, enum rp_allocation_state state);
void rp_allocation_remove(struct rp_cluster *cluster, struct rp_machine *machine, size_t index);
void rp_allocation_request_stop(struct rp_allocation *allocation, double grace_s);
/** Wants every task of the job stopped, wherever it may be. */
void rp_cluster_stop_job(struct rp_cluster *cluster, struct rp_job *job, double grace_s);
/** Images are known by the hashes of their names. */
void rp_machine_note_image(struct rp_cluster *cluster, struct rp_machine *machine, uint64_t hash,
                           double gb);
bool rp_machine_has_image(const struct rp_machine *machine, uint64_t hash);

#endif
