/** @file
 * A machine: its type and zone, its lifecycle state, the message exchange with its worker, and the
 * allocations on it. This module defines the data and the predicates that depend on one machine
 * only. Functions that also change the counts of the cluster state are in allocation.h,
 * unknown_tasks.h and machine_lifecycle.h. */
#ifndef RP_CLUSTER_MACHINE_H
#define RP_CLUSTER_MACHINE_H

#include "jobs/jobs.h"
#include "model/catalog.h"
#include "model/heartbeat.h"
#include "model/job_spec.h"

/** The lifecycle state of a machine; rp_machine_set_state (machine_lifecycle.c) lists the edges. */
enum rp_machine_state {
    RP_MACHINE_BOOTING,      /* provisioned, has sent no heartbeat yet, cannot hold any task */
    RP_MACHINE_UNRECONCILED, /* loaded from an earlier leader's records: may hold any task */
    RP_MACHINE_UP,           /* its heartbeats list every task that the machine holds */
    RP_MACHINE_LOST, /* silent until its lease expired: holds no task; released unless it reports
                        again in time */
    RP_MACHINE_RELEASING, /* is being deleted in the cloud, never used again; holds its tasks until
                             its lease expires */
    RP_MACHINE_RELEASING_LOST /* is being deleted; holds no task: its lease has expired, or it has
                                 never been up */
};

/** The state of a task that may be on a machine; rp_allocation_set_state (allocation.c) lists the
 * edges. */
enum rp_allocation_state {
    RP_ALLOCATION_PLANNED, /* no start command was sent: the allocation can be dropped at once */
    RP_ALLOCATION_SENT,  /* the start command was sent; a newer message of the machine shows whether
                            the command took effect */
    RP_ALLOCATION_SEEN,  /* the machine lists the task as not exited */
    RP_ALLOCATION_EXITED /* the task has exited: it no longer runs on the machine and is to be
                            forgotten */
};

/** A task that may be on a machine. Until the allocation is RP_ALLOCATION_EXITED, the task counts
 * towards the tasks of its job, of its zone and of its team, and is started on no other machine. */
struct rp_allocation {
    struct rp_job *job;
    uint32_t task;
    uint64_t attempt;
    enum rp_allocation_state state;
    enum rp_task_state task_state;
    enum rp_exit_reason exit_reason;
    uint64_t sent_seq; /* sequence number of the heartbeat whose answer carried the start command,
                          or of the newest heartbeat before a direct start */
    uint64_t seen_seq; /* sequence number of the newest message that listed the task */
    bool started_directly; /* the start was a direct command: late copies of the command may arrive
                              at the machine */
    bool direct_start_pending; /* the response to the direct start command is outstanding */
    struct timespec planned_at;
    struct timespec running_since; /* when a message first listed the task as running */
    bool stop_requested;           /* the task is to be stopped */
    double grace_s;
    struct timespec stop_sent_at;
    bool listed; /* used only while a heartbeat is read: that heartbeat lists the task */
};

/** Maximum number of images recorded for a machine, at 24 bytes each; when it is reached, the least
 * recently used image is evicted. */
#define RP_IMAGES_MAX 128
/** Maximum number of tasks of unknown jobs recorded for a machine; further such tasks are only
 * counted. */
#define RP_UNKNOWN_TASKS_MAX 256

/** A task on a machine, of a job that this leader has no record of, or no longer has: the task is
 * stopped and forgotten. */
struct rp_unknown_task {
    char job[RP_ID_MAX];
    uint32_t task;
    uint64_t attempt;
    bool exited;
};

/** An image on a machine's disk. */
struct rp_image {
    uint64_t hash; /* hash of the image's name: a collision costs one fetch, nothing else */
    double gb;
    struct timespec used_at;
};

struct rp_provision_request;

/** The message exchange with a machine's worker, and what it proves. An instant of zero means that
 * the event has not happened. */
struct rp_machine_contact {
    /* The worker's incarnation, which increases each time its lease expires. */
    uint64_t incarnation;
    /* Sequence number of the newest message: a heartbeat or the response to a direct command or
     * probe. */
    uint64_t seq;
    uint64_t heartbeat_seq; /* sequence number of the newest heartbeat */
    unsigned n_direct;      /* direct commands and probes sent since the newest heartbeat */
    bool unreachable; /* the newest direct command could not be delivered, and no heartbeat has
                         arrived since */
    bool probing;     /* a probe is in flight */
    unsigned n_probes_failed; /* consecutive probes without a response */
    struct timespec probed_at;
    bool fencing_token_seen;       /* the newest heartbeat shows this leader's fencing token */
    bool fenced_without_heartbeat; /* the machine has responded to this leader's fencing command,
                                      and no heartbeat has arrived since */
    struct timespec last_heartbeat_at;
    struct timespec last_message_at; /* when the newest message of any kind arrived */
    /* When the newest message had been read that lists the tasks as they were on its arrival. */
    struct timespec described_at;
    struct timespec lease_expiry; /* no task runs on the machine after this instant unless a later
                                     heartbeat is answered */
    /* Times of this leader's answers to heartbeats. */
    struct timespec first_answer_at, last_answer_at;
    uint64_t lost_incarnation; /* incarnation in which the machine last became lost; 0: none */
    struct timespec answers_lost_since; /* since when heartbeats have arrived, but nothing shows
                                           that the worker receives answers */
};

/** The cloud's notice that it is about to reclaim a spot machine. */
struct rp_spot_notice {
    bool received;
    struct timespec ends_at;
};

/** Errors of tasks that suggest that the machine is faulty (quarantine.h). */
struct rp_machine_health {
    unsigned n_consecutive_errors; /* errors since the last task that succeeded */
    unsigned n_error_jobs;         /* number of jobs that caused these errors */
    uint64_t last_error_job; /* hash of the id of the job with the newest error; 0: no errors */
    bool suspected; /* it is undecided whether the machine or the job with the newest error is at
                       fault */
    struct timespec suspected_until;
    bool quarantined;
};

/** A reservation of the machine's capacity for one job. */
struct rp_reservation {
    char job_id[RP_ID_MAX]; /* "": the machine is not reserved */
    struct timespec until;
};

/** The state of returning a machine to the cloud. */
struct rp_scale_in {
    bool draining;         /* the machine's tasks are moved to other machines before its release */
    struct timespec since; /* when the release began */
    bool delete_sent;
    unsigned n_lists_missing; /* number of complete lists received from the cloud since a list last
                                 named the machine, including that list */
    bool listed_failed;       /* the cloud lists the machine as failed */
};

/** Whether the machine's heartbeats are answered (withheld_answers.h, whose module changes it). */
enum rp_withholding {
    RP_WITHHOLDING_NONE,      /* no record names the machine */
    RP_WITHHOLDING_SUBMITTED, /* a record that names the machine is being written */
    RP_WITHHOLDING_RECORDED,  /* a record names the machine */
    RP_WITHHOLDING_ENDING     /* the machine reports, and the record has to be written without it */
};

/** A machine provisioned from the cloud, and the tasks that may be on it. Owned by the cluster
 * state; pointers to it are valid until rp_machine_remove. */
struct rp_machine {
    /* Identity and kind. */
    char name[RP_TEXT_MAX], addr[RP_TEXT_MAX];
    int type; /* index in the catalog's types; -1: the catalog does not have the type */
    int zone; /* index in the catalog's zones; -1: unknown */
    bool spot;
    /* Lifecycle. */
    enum rp_machine_state state;
    enum rp_withholding withholding; /* unless NONE, it gets no answer and no start command */
    bool is_omitted_from_record;     /* used only while records of withheld answers are written */
    double withheld_until_wall_s; /* time of day in the records; 0: no record names the machine */
    bool recorded;                /* a durable record names the machine */
    bool up_recorded; /* a durable record marks the machine as up; no task is started before */
    unsigned n_stale_records; /* records of other requests that name the machine, too, until they
                                 are written again: it is not marked as up before */
    struct rp_provision_request *provision_request;
    struct timespec requested_at, up_at, lost_since;
    struct rp_scale_in scale_in;
    struct rp_machine_contact contact;
    struct rp_spot_notice spot_notice;
    struct rp_machine_health health;
    struct rp_reservation reservation;
    /* Tasks and images that may be on it. */
    struct rp_allocation *allocations;
    size_t n_allocations, cap_allocations;
    struct rp_unknown_task *unknown_tasks;
    size_t n_unknown_tasks;
    size_t n_unknown_not_exited; /* unknown tasks that have not exited, and those beyond
                                    RP_UNKNOWN_TASKS_MAX */
    struct rp_image *images;
    size_t n_images, cap_images;
    struct rp_machine *prev, *next; /* all machines, in the order in which they were added */
    struct rp_machine *hash_next;   /* machines of the same bucket */
};

/** The state's name for log lines, such as "unreconciled". */
const char *rp_machine_state_name(enum rp_machine_state state);
/** Sets the machine's kind (type, zone, spot or on-demand) from names found in a record, the
 * cloud's list or the worker's heartbeat. Does nothing once type and zone are known, or while the
 * machine has allocations, since allocations are counted by the machine's zone. */
void rp_machine_set_kind(struct rp_machine *machine, const struct rp_catalog *catalog,
                         const char *type, const char *zone, bool spot);
/** Whether the machine is being deleted in the cloud. */
bool rp_machine_is_releasing(const struct rp_machine *machine);
/** Whether the machine is silent and holds no task: its lease has expired, or it was released
 * before it was up, and no heartbeat has shown this leader's fencing token since. */
bool rp_machine_is_lost(const struct rp_machine *machine);
/** Whether the state of this machine allows starting tasks on it. Whether a particular task may
 * start there is decided by start_permission.h. */
bool rp_machine_is_usable(const struct rp_machine *machine);
/** Whether the machine's heartbeats arrive, but nothing shows that it receives this leader's
 * answers. */
bool rp_machine_is_one_way_partitioned(const struct rp_machine *machine);
/** Whether no task is or may be on the machine. Exited allocations that were started directly do
 * not count: the worker keeps their attempts listed, so that late copies of their starts have no
 * effect. */
bool rp_machine_is_idle(const struct rp_machine *machine);
/** Whether the task may still be on the machine, and is therefore counted. */
static inline bool rp_allocation_is_counted(const struct rp_allocation *allocation) {
    return allocation->state != RP_ALLOCATION_EXITED;
}

#endif
