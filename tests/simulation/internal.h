/* Declarations that the parts of the simulation share. events.c has the event queue, network.c the
 * requests and responses in transit; store.c, cloud.c, workers.c with tasks.c, users.c and nodes.c
 * simulate the parties; faults.c injects faults, rules.c checks the rules, world.c sets up the
 * simulation and runs its steps. The order of the random draws determines what a seed means:
 * changing it changes every simulated scenario. */
#ifndef RP_SIM_INTERNAL_H
#define RP_SIM_INTERNAL_H

#include "sim.h"

#define SIM_STEP_S 0.02
#define SIM_LARGE_JOB_TASKS 40 /* a job with this many tasks or more is one of the largest */
#define SIM_NEVER 1e9          /* a time in seconds that no run reaches */
/* Index that represents all nodes that are processes of their own. The requests of such nodes do
 * not show which of them sent them, hence no fault affects a single one. */
#define SIM_REMOTE_NODE (SIM_NODES_MAX - 1)

enum event_kind {
    EV_REQUEST,          /* a node's request to the store, the cloud, a worker or another node */
    EV_HEARTBEAT,        /* a worker's heartbeat to a node */
    EV_HEARTBEAT_ANSWER, /* a node's response to a worker's heartbeat */
    EV_CONCURRENT_READ,  /* a user is due to send a request to the event's node */
    EV_USER_ANSWER,      /* a node's response to a user's valid request */
    EV_INVALID_ANSWER    /* a node's response to a user's invalid request */
};

/* A message in transit, or an action that is due at a later time. */
struct sim_event {
    enum event_kind kind;
    double due_at;
    int node;                     /* the node that sent the request, or that receives it */
    unsigned long process_number; /* the process that sent the request */
    char addr[64], method[8], *target, *body;
    bool answered; /* no caller waits for the response, or the caller has stopped waiting */
    double deadline;
    rp_response_fn on_answer;
    void *on_answer_arg;
    bool unsent; /* the request is never executed: the caller is informed that no connection was
                    made */
    int status;
    /* Index of the worker or, in messages of users, of the job; of an invalid request, the status
     * that it must get. */
    int index;
    uint64_t heartbeat_number;
    int user_op;    /* enum sim_user_op */
    double sent_at; /* when the user sent the request, or the worker the heartbeat */
    /* The worker's number of the heartbeat, also of a copy. */
    uint64_t heartbeat_sent_number;
    /* The user's request was answered beside a node built from the sources of the previous version,
     * or by it. */
    bool is_beside_old_node;
    bool is_command_copy; /* of a direct command that was executed before */
    /* A copy of a heartbeat that arrives at every node when the next leader begins to lead. */
    bool held_for_next_leader;
    double changes_due_at; /* when a watch's response with changes is due; 0: there are none yet */
};

enum sim_user_op { USER_SUBMITS, USER_POLLS, USER_CANCELS };

/* A request of a worker or a user to a node, and how its response is delivered. */
struct sim_call {
    const char *method, *target, *body;
    enum event_kind answer; /* the kind of event that delivers the response */
    int index;              /* as in struct sim_event */
    uint64_t heartbeat_number;
    enum sim_user_op user_op;
};

struct sim_machine_type {
    const char *name;
    double cpus, gpus, memory, price, spot_price, boot;
};
extern const struct sim_machine_type sim_types[2];
extern const char *const sim_zones[2];

/* ---- events.c ---- */

double sim_uniform(struct sim *sim);
bool sim_chance(struct sim *sim, double probability);
/* Records that a rule was broken; only the first violation is kept. */
void sim_record_violation(struct sim *sim, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
struct sim_event *sim_event_new(struct sim *sim, enum event_kind kind, double after_s);
void sim_event_free(struct sim_event *event);
/* Processes all events that are due. */
void sim_process_events(struct sim *sim);

/* ---- network.c ---- */

double sim_network_delay(struct sim *sim);
/* Copies the value of a query parameter from a request's target; NULL: it has none. */
const char *sim_query_parameter(const char *target, const char *name, char *out, size_t size);
/* Returns the network interface of a node's process; `process_number` distinguishes the process
 * from earlier ones of the node. */
struct rp_net sim_network_connect(struct sim *sim, int node, unsigned long process_number);
/* Processes a request of a node that is due; true: it is finished, and its event can be freed. */
bool sim_on_request(struct sim *sim, struct sim_event *event);
/* Reports to the caller that there is no response, unless it has already received one. */
void sim_time_out(struct sim *sim, struct sim_event *event);
void sim_on_heartbeat(struct sim *sim, const struct sim_event *event);
/* Adds a copy of the request, due in `after_s` seconds, whose response no caller waits for. */
struct sim_event *sim_request_duplicate(struct sim *sim, const struct sim_event *event,
                                        double after_s);
/* Draws whether a copy of the direct command, which was just executed, arrives later. */
void sim_inject_command_fault(struct sim *sim, const struct sim_event *event);
/* Passes a request of a worker or a user to a node, if the node runs. */
void sim_node_receive(struct sim *sim, int index, const struct sim_call *call);

/* ---- store.c ---- */

/* Executes a request and returns the response's status; sets `out` to the body if there is one. */
int sim_store_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);
/* Whether the store responds to all requests of the node with 503, in an outage or because it
 * refuses this node. */
bool sim_store_is_refusing(const struct sim *sim, int node);
/* The integer in a field of an object; 0 when it is absent or no integer from 0 to 2^64 - 1. */
uint64_t sim_count_of(const json_t *object, const char *name);
/* The response to a watch: the changes after the revision in the event's target, in an order that
 * is drawn; nodes of the previous version get them in the order of their revisions. */
json_t *sim_store_changes(struct sim *sim, const struct sim_event *event);
/* Expires leases; during an outage none expires. */
void sim_store_step(struct sim *sim);
void sim_store_free(struct sim *sim);

/* ---- cloud.c ---- */

int sim_cloud_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);

/* ---- workers.c, tasks.c ---- */

/* The address at which nodes reach the worker. */
const char *sim_worker_address(const struct sim *sim, const struct sim_worker *worker);
/* Executes a direct command or a probe that arrives; returns the response's status, 0: the worker
 * does not respond. */
int sim_worker_request(struct sim *sim, const struct sim_event *event, json_t *body, json_t **out);
/* Whether the machine is paused or its zone is partitioned; requests to it are delivered later. */
bool sim_worker_is_paused(struct sim *sim, const struct sim_event *event);
void sim_worker_on_heartbeat_answer(struct sim *sim, const struct sim_event *event);
void sim_worker_step(struct sim *sim, int index);
bool sim_task_is_placed(const struct sim_task *task);
void sim_task_start(struct sim *sim, struct sim_worker *worker, const char *job_id, uint32_t index,
                    uint64_t attempt, bool directly);
void sim_task_stop(struct sim *sim, struct sim_worker *worker, struct sim_task *task,
                   double grace_s);
void sim_task_step(struct sim *sim, struct sim_worker *worker, struct sim_task *task);

/* ---- nodes.c ---- */

void sim_node_start(struct sim *sim, int index);
void sim_node_step(struct sim *sim, int index);

/* ---- users.c ---- */

void sim_send_for_user(struct sim *sim, int job, enum sim_user_op operation, int node);
void sim_user_on_answer(struct sim *sim, const struct sim_event *event);
void sim_user_step(struct sim *sim, int index);

/* ---- faults.c ---- */

/* Draws the random faults of a step, the users' invalid requests among them, and delivers the held
 * heartbeats when a new leader begins to lead. */
void sim_inject_faults(struct sim *sim);
/* Draw the faults of a transaction or a heartbeat that is being sent. */
void sim_inject_transaction_fault(struct sim *sim, struct sim_event *event);
void sim_inject_heartbeat_fault(struct sim *sim, const struct sim_event *event);
/* Right after a job was accepted, has ended or was cancelled, its user polls all nodes several
 * times within 50 ms and submits the job to each of them once more. */
void sim_read_concurrently(struct sim *sim, int job);

/* ---- rules.c ---- */

void sim_check_start(struct sim *sim, const struct sim_worker *worker, const struct sim_task *task);
void sim_record_start_command(struct sim *sim, const struct sim_job *job);
void sim_check_lease_renewal(struct sim *sim, const struct sim_worker *worker);
void sim_check_done(struct sim *sim, const struct sim_job *job);
/* Called when a user polls a node, and when a response with the job's state has arrived in time. */
void sim_record_poll(struct sim *sim, struct sim_job *job, int node);
void sim_record_poll_answer(struct sim_job *job, int node);
/* Called when a worker's heartbeat arrives. */
void sim_record_report(struct sim *sim, const struct sim_event *event);
void sim_check_phase(struct sim *sim, const struct sim_event *answer, const char *phase);
bool sim_has_node_of_old_sources(const struct sim *sim);
void sim_check_invalid_request(struct sim *sim, const struct sim_event *event);
void sim_check_step(struct sim *sim);

#endif
